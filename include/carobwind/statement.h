/* A caller's statement, decoded from its protocol. */
#ifndef CAROBWIND_STATEMENT_H
#define CAROBWIND_STATEMENT_H

#include "carobwind/types.h"

/* What a statement does. Not a kind of work, which is cbw_kind_t. */
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
    /* What follows the first word and the name: the value of SET, the
     * arguments of EXECUTE, or the shape of PREPARE, which is the text of the
     * prepared statement without arguments and without the word READ or WRITE
     * before it. */
    const char *rest;
} cbw_statement_t;

#endif
