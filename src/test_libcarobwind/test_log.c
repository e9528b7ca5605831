#include <ev.h>
#include <fcntl.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "carobwind/log.h"
#include "share/log_output.h"
#include "suites.h"

#define EVENT_COUNT 40
#define LONG_TEXT_SIZE 600

static cbw_time_t now;
static int line_count;
static char last_line[Cbw_LOG_LINE_MAX + 1];

static cbw_time_t
fake_time(void)
{
    return now;
}

static void
fake_write(const char *line, size_t size)
{
    line_count++;
    memcpy(last_line, line, size);
    last_line[size] = '\0';
}

static const cbw_log_output_t fake_output = {.time_of_day = fake_time,
                                             .write = fake_write};

/* Lines above the rate of an event are suppressed; the next second logs their
 * number. Other events are not affected. */
static void
test_rate_limit(void)
{
    line_count = 0;
    now = 5 * Cbw_SEC;
    CbwLog_SetOutput(&fake_output);
    for (int i = 0; i < 100; i++) {
        CbwLog_Write(CBW_LOG_INFO, "test", "flood", "n=%d", i);
    }
    g_assert_cmpint(line_count, ==, Cbw_LOG_EVENT_RATE_MAX);
    CbwLog_Write(CBW_LOG_INFO, "test", "other", "n=1");
    g_assert_cmpint(line_count, ==, Cbw_LOG_EVENT_RATE_MAX + 1);
    now += Cbw_SEC;
    CbwLog_Write(CBW_LOG_INFO, "test", "flood", "n=last");
    g_assert_cmpint(line_count, ==, Cbw_LOG_EVENT_RATE_MAX + 3);
    g_assert_nonnull(strstr(last_line, "event=flood n=last\n"));
    CbwLog_SetOutput(NULL);
}

/* Lines of level debug are not suppressed. */
static void
test_debug_is_not_limited(void)
{
    line_count = 0;
    now = 9 * Cbw_SEC;
    CbwLog_SetOutput(&fake_output);
    CbwLog_SetLevel(CBW_LOG_DEBUG);
    for (int i = 0; i < 100; i++) {
        CbwLog_Write(CBW_LOG_DEBUG, "test", "detail", "n=%d", i);
    }
    CbwLog_SetLevel(CBW_LOG_INFO);
    CbwLog_SetOutput(NULL);
    g_assert_cmpint(line_count, ==, 100);
}

/* A line that is too long is truncated and still ends with a newline. */
static void
test_long_line(void)
{
    char text[2 * Cbw_LOG_LINE_MAX];

    memset(text, 'x', sizeof(text) - 1);
    text[sizeof(text) - 1] = '\0';
    now += Cbw_SEC;
    CbwLog_SetOutput(&fake_output);
    CbwLog_Write(CBW_LOG_INFO, "test", "long", "text=%s", text);
    g_assert_cmpint(strlen(last_line), <, Cbw_LOG_LINE_MAX);
    g_assert_true(g_str_has_suffix(last_line, "\n"));
    CbwLog_SetOutput(NULL);
}

/* A text from another writer cannot begin a line of its own. */
static void
test_control_characters(void)
{
    now += Cbw_SEC;
    line_count = 0;
    CbwLog_SetOutput(&fake_output);
    CbwLog_Write(CBW_LOG_INFO, "test", "control", "key=%s", "a\r\nb\tc\x7f");
    g_assert_cmpint(line_count, ==, 1);
    g_assert_true(g_str_has_suffix(last_line, " key=a??b?c?\n"));
    CbwLog_SetOutput(NULL);
}

/* When the log is written to a pipe that nobody reads, lines are dropped and
 * the process does not block. */
static void
test_full_pipe(void)
{
    static char events[EVENT_COUNT][16];
    char text[LONG_TEXT_SIZE];
    int pipe_ends[2];

    g_assert_cmpint(pipe(pipe_ends), ==, 0);
    memset(text, 'x', sizeof(text) - 1);
    text[sizeof(text) - 1] = '\0';
    CbwLogOutput_Start(ev_default_loop(0), pipe_ends[1]);
    for (int i = 0; i < EVENT_COUNT; i++) {
        snprintf(events[i], sizeof(events[i]), "event-%d", i);
        for (int j = 0; j < Cbw_LOG_EVENT_RATE_MAX; j++) {
            CbwLog_Write(CBW_LOG_INFO, "test", events[i], "text=%s", text);
        }
    }
    g_assert_cmpuint(CbwLogOutput_DroppedLines(), >, 0);
    CbwLogOutput_Flush();
    CbwLog_SetOutput(NULL);
    close(pipe_ends[0]);
    close(pipe_ends[1]);
}

void
Suite_AddLog(void)
{
    g_test_add_func("/log/rate-limit", test_rate_limit);
    g_test_add_func("/log/debug-is-not-limited", test_debug_is_not_limited);
    g_test_add_func("/log/long-line", test_long_line);
    g_test_add_func("/log/control-characters", test_control_characters);
    g_test_add_func("/log/full-pipe", test_full_pipe);
}
