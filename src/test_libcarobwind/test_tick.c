#include <ev.h>
#include <glib.h>
#include <unistd.h>

#include "share/tick.h"
#include "suites.h"

#define PAUSE_US 30000

static GString *order;

static void
on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)events;
    g_string_append_c(order, 'r');
    ev_io_stop(loop, watcher);
}

static void
on_timeout(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)watcher;
    (void)events;
    g_string_append_c(order, 't');
}

/* The process pauses. Meanwhile an answer arrives and the timeout of its call
 * passes: the answer is read first. */
static void
test_answers_before_timeouts(void)
{
    struct ev_loop *loop = ev_loop_new(0);
    ev_io reader;
    ev_timer timer;
    int ends[2];

    order = g_string_new(NULL);
    g_assert_cmpint(pipe(ends), ==, 0);
    ev_io_init(&reader, on_readable, ends[0], EV_READ);
    ev_io_start(loop, &reader);
    CbwTick_Init(&timer, on_timeout, 0.01, 0);
    ev_timer_start(loop, &timer);
    ev_run(loop, EVRUN_NOWAIT);
    g_assert_cmpint(write(ends[1], "x", 1), ==, 1);
    g_usleep(PAUSE_US);
    ev_run(loop, EVRUN_NOWAIT);
    g_assert_cmpstr(order->str, ==, "rt");
    g_string_free(order, TRUE);
    close(ends[0]);
    close(ends[1]);
    ev_loop_destroy(loop);
}

void
Suite_AddTick(void)
{
    g_test_add_func("/tick/answers-before-timeouts",
                    test_answers_before_timeouts);
}
