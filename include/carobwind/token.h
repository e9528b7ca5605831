/* Session tokens: what a session has seen of one database. They travel with
 * the caller, so that sessions roam between hosts with no state kept. */
#ifndef CAROBWIND_TOKEN_H
#define CAROBWIND_TOKEN_H

#include "carobwind/types.h"

typedef struct {
    char database[Cbw_NAME_MAX];
    uint64_t term;
    uint64_t position; /* log position that a read must include */
} cbw_token_t;

/* Parses "database:term:position". Returns 0, or -1 when it is malformed. */
int CbwToken_Parse(cbw_token_t *token, const char *text);
/* Writes the token's text to `text` of Cbw_TOKEN_MAX bytes. */
void CbwToken_Format(const cbw_token_t *token, char *text);

#endif
