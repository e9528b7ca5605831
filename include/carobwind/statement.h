/* A caller's statement, decoded from its protocol. */
#ifndef CAROBWIND_STATEMENT_H
#define CAROBWIND_STATEMENT_H

#include "carobwind/types.h"

typedef enum {
    CBW_STATEMENT_OTHER, /* not recognized */
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

/* Texts for the members of cbw_statement_kind_t, in their order. */
extern const char *const CbwStatement_KindString[];

/* The strings end with a NUL and are owned by the protocol decoder. */
typedef struct {
    cbw_statement_kind_t kind;
    const char *id;
    const char *text; /* the whole statement, as received */
    const char *name; /* of SET, PREPARE, EXECUTE, DEALLOCATE; else "" */
    const char *rest; /* after the name: value, shape or arguments */
} cbw_statement_t;

#endif
