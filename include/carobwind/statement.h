/* A statement of a caller, decoded from its protocol. */
#ifndef CAROBWIND_STATEMENT_H
#define CAROBWIND_STATEMENT_H

#include "carobwind/types.h"

typedef enum {
    CBW_STATEMENT_OTHER, /* not understood */
    CBW_STATEMENT_READ,
    CBW_STATEMENT_WRITE,
    CBW_STATEMENT_BEGIN,
    CBW_STATEMENT_BEGIN_READ,
    CBW_STATEMENT_COMMIT,
    CBW_STATEMENT_ROLLBACK,
    CBW_STATEMENT_SET,
    CBW_STATEMENT_PREPARE_READ,
    CBW_STATEMENT_PREPARE_WRITE,
    CBW_STATEMENT_EXECUTE,
    CBW_STATEMENT_DEALLOCATE,
} cbw_statement_kind_t;

/* Names of the members of cbw_statement_kind_t, in their order. */
extern const char *const CbwStatement_KindString[];

/* The texts belong to whoever decoded the statement; each ends with a NUL. */
typedef struct {
    cbw_statement_kind_t kind;
    const char *id;
    const char *text; /* whole, as the caller sent it */
    const char *name; /* SET, PREPARE, EXECUTE, DEALLOCATE; "" else */
    const char *rest; /* what follows the name: value, shape, arguments */
} cbw_statement_t;

#endif
