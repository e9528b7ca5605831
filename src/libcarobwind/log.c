#include "carobwind/log.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

/* Events whose rates are limited separately; further ones share the last. */
#define EVENT_RATES_MAX 64

const char *const CbwLog_LevelString[] = {"debug", "info", "warning", "error"};

/* Lines of one event in the current second. */
typedef struct {
    const char *event; /* compared by address; NULL: unused */
    cbw_time_t second;
    unsigned written;
    unsigned suppressed;
} event_rate_t;

static const cbw_log_output_t *output;
static cbw_log_level_t lowest_level = CBW_LOG_INFO;
static event_rate_t rates[EVENT_RATES_MAX];

void
CbwLog_SetOutput(const cbw_log_output_t *value)
{
    output = value;
}

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

/* Replaces control characters, which names from the store may contain: a line
 * break would let a name forge a log line. */
static void
replace_control_characters(char *text)
{
    for (; *text != '\0'; text++) {
        if ((unsigned char)*text < ' ' || *text == 0x7f) {
            *text = '?';
        }
    }
}

static void
write_line(cbw_time_t now, cbw_log_level_t level, const char *task,
           const char *event, const char *pairs)
{
    char stamp[32];
    char line[Cbw_LOG_LINE_MAX];
    time_t seconds = (time_t)(now / Cbw_SEC);
    struct tm parts;
    int length;

    gmtime_r(&seconds, &parts);
    strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &parts);
    length = snprintf(line, sizeof(line) - 1,
                      "%s.%03dZ level=%s task=%s event=%s %s", stamp,
                      (int)(now % Cbw_SEC / Cbw_MSEC),
                      CbwLog_LevelString[level], task, event, pairs);
    if (length > (int)sizeof(line) - 2) {
        length = (int)sizeof(line) - 2;
    }
    line[length++] = '\n';
    output->write(line, (size_t)length);
}

static event_rate_t *
rate_of_event(const char *event)
{
    for (int i = 0; i < EVENT_RATES_MAX; i++) {
        if (rates[i].event == NULL) {
            rates[i].event = event;
        }
        if (rates[i].event == event) {
            return &rates[i];
        }
    }
    return &rates[EVENT_RATES_MAX - 1]; /* shared by all further events */
}

/* Returns whether another line of the event may be written in this second. At
 * the first line of a new second it logs how many were suppressed before. */
static bool
admit_line(cbw_time_t now, const char *task, const char *event)
{
    event_rate_t *rate = rate_of_event(event);
    char pairs[64];

    if (rate->second != now / Cbw_SEC) {
        if (rate->suppressed > 0) {
            snprintf(pairs, sizeof(pairs), "of=%.32s count=%u", event,
                     rate->suppressed);
            write_line(now, CBW_LOG_WARNING, task, "left-out", pairs);
        }
        rate->second = now / Cbw_SEC;
        rate->written = 0;
        rate->suppressed = 0;
    }
    if (rate->written >= Cbw_LOG_EVENT_RATE_MAX) {
        rate->suppressed++;
        return false;
    }
    rate->written++;
    return true;
}

void
CbwLog_Write(cbw_log_level_t level, const char *task, const char *event,
             const char *format, ...)
{
    char pairs[Cbw_LOG_LINE_MAX];
    cbw_time_t now;
    va_list arguments;

    if (level < lowest_level || output == NULL) {
        return;
    }
    now = output->time_of_day();
    if (level > CBW_LOG_DEBUG && !admit_line(now, task, event)) {
        return;
    }
    va_start(arguments, format);
    vsnprintf(pairs, sizeof(pairs), format, arguments);
    va_end(arguments);
    replace_control_characters(pairs);
    write_line(now, level, task, event, pairs);
}
