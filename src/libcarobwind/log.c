#include "carobwind/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

const char *const CbwLog_LevelString[] = {"debug", "info", "warning", "error"};

static cbw_log_level_t lowest_level = CBW_LOG_INFO;

void
CbwLog_SetLevel(cbw_log_level_t level)
{
    lowest_level = level;
}

int
CbwLog_LevelFromString(const char *name)
{
    for (int i = CBW_LOG_DEBUG; i <= CBW_LOG_ERROR; i++) {
        if (strcmp(name, CbwLog_LevelString[i]) == 0) {
            return i;
        }
    }
    return -1;
}

void
CbwLog_Write(cbw_log_level_t level, const char *task, const char *event,
             const char *format, ...)
{
    char stamp[32];
    char pairs[512];
    struct timespec now;
    struct tm parts;
    va_list arguments;

    if (level < lowest_level) {
        return;
    }
    clock_gettime(CLOCK_REALTIME, &now);
    gmtime_r(&now.tv_sec, &parts);
    strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &parts);
    va_start(arguments, format);
    vsnprintf(pairs, sizeof(pairs), format, arguments);
    va_end(arguments);
    fprintf(stderr, "%s.%03ldZ level=%s task=%s event=%s %s\n", stamp,
            now.tv_nsec / 1000000, CbwLog_LevelString[level], task, event,
            pairs);
}
