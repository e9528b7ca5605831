/* Structured logging: each line holds a time stamp, level, task, event and
 * key=value pairs.
 *
 * Log lines report state changes and failed requests; everything else is
 * counted. The library itself uses neither a clock nor a file: the process
 * provides both with CbwLog_SetOutput. */
#ifndef CAROBWIND_LOG_H
#define CAROBWIND_LOG_H

#include <stddef.h>

#include "carobwind/types.h"

typedef enum {
    CBW_LOG_DEBUG,
    CBW_LOG_INFO,
    CBW_LOG_WARNING,
    CBW_LOG_ERROR,
} cbw_log_level_t;

/* Name of each cbw_log_level_t. */
extern const char *const CbwLog_LevelString[];

/* Most lines of one event that are written per second, except at level debug.
 * The number of suppressed lines is logged in a line of its own. */
#define Cbw_LOG_EVENT_RATE_MAX 20
/* Size of the longest line, including the newline. */
#define Cbw_LOG_LINE_MAX 768

typedef struct {
    /* Returns the microseconds since 1970-01-01 UTC, for time stamps and for
     * the rate limit. */
    cbw_time_t (*time_of_day)(void);
    /* Writes a whole line, newline included. Must not block. */
    void (*write)(const char *line, size_t size);
} cbw_log_output_t;

/* Sets the output, which must outlive all calls that log. NULL, the default,
 * turns logging off. */
void CbwLog_SetOutput(const cbw_log_output_t *output);
/* Sets the lowest level that is logged. The default is CBW_LOG_INFO. */
void CbwLog_SetLevel(cbw_log_level_t level);
/* Returns the level called `name`, or -1 when there is none. */
int CbwLog_LevelFromString(const char *name);
/* Logs one line. `event` must be a constant string, as rates are kept by its
 * address. `format` formats the key=value pairs. */
void CbwLog_Write(cbw_log_level_t level, const char *task, const char *event,
                  const char *format, ...)
    __attribute__((format(printf, 4, 5)));

#endif
