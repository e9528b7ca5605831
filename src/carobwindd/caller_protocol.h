/* What callers say: the words of a message, checked. */
#ifndef CAROBWINDD_CALLER_PROTOCOL_H
#define CAROBWINDD_CALLER_PROTOCOL_H

#include "carobwind/error.h"
#include "carobwind/request.h"

/* Longest deadline or age that a caller may name. */
#define CallerProtocol_TIME_MAX (600 * Cbw_SEC)

typedef enum {
    CALLER_PING,
    CALLER_STATEMENT, /* STMT, BEGIN, COMMIT or ROLLBACK */
    CALLER_FAULT,     /* of tests */
} caller_command_t;

/* Parses a message. For CALLER_STATEMENT fills `request`: verb, names,
 * statement, key, token, trace; `age` and `deadline` are durations, or -1 when
 * the caller names none. Returns the command, or -1 with `error` set. */
int CallerProtocol_Parse(int count, char *const *words, const size_t *sizes,
                         cbw_request_t *request, cbw_error_t *error);

#endif
