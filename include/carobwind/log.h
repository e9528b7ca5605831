/* Structured log lines: time, level, task, event, key=value pairs.  Lines are
 * for changes of state and for requests that were not done; all else is
 * counted.  The library has neither clock nor file: both are set. */
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

/* Names of the members of cbw_log_level_t, in their order. */
extern const char *const CbwLog_LevelString[];

/* Lines of one event that are written in a second; how many were left out is
 * said in a line of its own. At 50 statements a second and host this keeps the
 * lines of a flood below a hundredth of the host's processor time. */
#define Cbw_LOG_EVENT_RATE_MAX 20
/* Longest line, with its end. */
#define Cbw_LOG_LINE_MAX 768

typedef struct {
    /* Microseconds since 1970, for the date alone. */
    cbw_time_t (*time_of_day)(void);
    /* Takes a whole line with its end. Must not block. */
    void (*write)(const char *line, size_t size);
} cbw_log_output_t;

/* Until it is set nothing is written. `output` must outlive all calls. */
void CbwLog_SetOutput(const cbw_log_output_t *output);
/* Lines below `level` are dropped; the default is CBW_LOG_INFO. */
void CbwLog_SetLevel(cbw_log_level_t level);
/* The level called `name`, or -1. */
int CbwLog_LevelFromString(const char *name);
/* Writes one line. `event` must be a constant; `format` gives the key=value
 * pairs. */
void CbwLog_Write(cbw_log_level_t level, const char *task, const char *event,
                  const char *format, ...)
    __attribute__((format(printf, 4, 5)));

#endif
