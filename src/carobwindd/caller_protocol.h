/* Parser for the commands of callers over RESP, as the entry task takes them.
 * Protocols that start and end sessions with messages have caller drivers
 * instead (drivers.h). */
#ifndef CAROBWINDD_CALLER_PROTOCOL_H
#define CAROBWINDD_CALLER_PROTOCOL_H

#include "carobwind/error.h"
#include "carobwind/request.h"

/* Longest deadline or age that a caller may ask for. */
#define CallerProtocol_TIME_MAX (600 * Cbw_SEC)

typedef enum {
    CALLER_PING,
    CALLER_REQUEST, /* STMT, BEGIN, COMMIT or ROLLBACK */
    CALLER_FAULT,   /* fault injection, for tests */
} caller_command_t;

/* Parses a message of `count` words, at least one. For CALLER_REQUEST it
 * fills in the verb, names, statement, key, token and trace of `request`, and
 * whether the caller may have sent it before. `age` and `deadline` are set to
 * durations, -1 where the caller gives none. Returns a caller_command_t, or -1
 * with `error` set. */
int CallerProtocol_Parse(int count, char *const *words, const size_t *sizes,
                         cbw_request_t *request, cbw_error_t *error);

#endif
