/* Structured log lines: time, level, task, event, key=value pairs.  Lines are
 * for changes of state; what happens per request is counted instead. */
#ifndef CAROBWIND_LOG_H
#define CAROBWIND_LOG_H

typedef enum {
    CBW_LOG_DEBUG,
    CBW_LOG_INFO,
    CBW_LOG_WARNING,
    CBW_LOG_ERROR,
} cbw_log_level_t;

/* Names of the members of cbw_log_level_t, in their order. */
extern const char *const CbwLog_LevelString[];

/* Lines below `level` are dropped; the default is CBW_LOG_INFO. */
void CbwLog_SetLevel(cbw_log_level_t level);
/* The level called `name`, or -1. */
int CbwLog_LevelFromString(const char *name);
/* Writes one line to standard error. `format` gives the key=value pairs. */
void CbwLog_Write(cbw_log_level_t level, const char *task, const char *event,
                  const char *format, ...)
    __attribute__((format(printf, 4, 5)));

#endif
