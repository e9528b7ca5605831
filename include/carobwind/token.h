/* Session tokens: the log position of one database that the reads of a session
 * must include.
 *
 * Where the caller carries the token from answer to request, its session can
 * move between hosts that keep no state for it. Where the host keeps a
 * cbw_session_t, it keeps the token there, and only the session's writes and
 * commits advance it. */
#ifndef CAROBWIND_TOKEN_H
#define CAROBWIND_TOKEN_H

#include "carobwind/types.h"

typedef struct {
    char database[Cbw_NAME_MAX];
    uint64_t term;
    uint64_t position; /* log position, in `term`, that a read must include */
} cbw_token_t;

/* Parses "database:term:position", with blanks in place of the colons of the
 * name. Returns 0, or -1 if it is malformed. */
int CbwToken_Parse(cbw_token_t *token, const char *text);
/* Writes the token as text to `text`, which has Cbw_TOKEN_MAX bytes. */
void CbwToken_Format(const cbw_token_t *token, char *text);

#endif
