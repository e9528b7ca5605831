#include <glib.h>
#include <math.h>
#include <string.h>

#include "carobwind/gate.h"
#include "carobwind/random.h"
#include "suites.h"

/* Replays load in virtual time: requests arrive at random for an endpoint with
 * a few slots, wait in a queue in order of arrival, and are refused after 60
 * percent of their target, as in a pool. */

#define SLOTS 2
#define DEADLINE (1500 * Cbw_MSEC)
#define SERVICE (12 * Cbw_MSEC) /* on average */
#define TARGET (200 * Cbw_MSEC)
#define CAPACITY (SLOTS * 1e6 / (double)SERVICE) /* requests a second */
#define STEP ((cbw_time_t)100)                   /* microseconds */
#define QUEUE_MAX 4096

typedef struct {
    cbw_gate_t gate;
    cbw_random_t random;
    cbw_time_t queue[QUEUE_MAX]; /* arrival times; a ring */
    size_t head;
    size_t length;
    cbw_time_t busy_until[SLOTS];
    double arrivals_due;
    /* Counts since the last reset. */
    size_t arrived;
    size_t refused;
    size_t expired;
    size_t served;
    size_t served_soon; /* after a wait of up to half of the target */
    cbw_time_t slots_busy;
    cbw_time_t now;
} replay_t;

static void
reset_counts(replay_t *replay)
{
    replay->arrived = 0;
    replay->refused = 0;
    replay->expired = 0;
    replay->served = 0;
    replay->served_soon = 0;
    replay->slots_busy = 0;
}

static void
arrive(replay_t *replay)
{
    cbw_time_t retry_after = 0;

    replay->arrived++;
    if (!CbwGate_Admit(&replay->gate, replay->now, replay->length, TARGET,
                       &retry_after)) {
        replay->refused++;
        g_assert_cmpint(retry_after, >, 0);
        g_assert_cmpint(retry_after, <, DEADLINE / 2);
        return;
    }
    replay->queue[(replay->head + replay->length++) % QUEUE_MAX] = replay->now;
}

static cbw_time_t
take(replay_t *replay)
{
    cbw_time_t arrived_at = replay->queue[replay->head];

    replay->head = (replay->head + 1) % QUEUE_MAX;
    replay->length--;
    return arrived_at;
}

static void
step(replay_t *replay, double rate, bool serves)
{
    replay->now += STEP;
    replay->arrivals_due += rate * (double)STEP / 1e6;
    while (replay->arrivals_due >= 1) {
        /* 0 to 2, so that arrivals are uneven. */
        size_t count = (size_t)CbwRandom_Below(&replay->random, 3);
        replay->arrivals_due -= 1;
        for (size_t i = 0; i < count; i++) {
            arrive(replay);
        }
    }
    while (replay->length > 0 &&
           (replay->now - replay->queue[replay->head]) * 100 > TARGET * 60) {
        take(replay);
        replay->expired++;
    }
    for (int i = 0; i < SLOTS; i++) {
        double share;
        cbw_time_t waited;
        replay->slots_busy += replay->busy_until[i] > replay->now ? STEP : 0;
        if (!serves || replay->busy_until[i] > replay->now ||
            replay->length == 0) {
            continue;
        }
        waited = replay->now - take(replay);
        share = (double)(1 + CbwRandom_Below(&replay->random, 1000)) / 1001;
        replay->busy_until[i] =
            replay->now + (cbw_time_t)(-log(share) * (double)SERVICE);
        replay->served++;
        replay->served_soon += waited * 2 <= TARGET;
        CbwGate_OnDispatch(&replay->gate, replay->now, waited, TARGET,
                           replay->length);
    }
}

static void
run(replay_t *replay, cbw_time_t length, double load, bool serves)
{
    for (cbw_time_t end = replay->now + length; replay->now < end;) {
        step(replay, load * CAPACITY, serves);
    }
}

static void
start(replay_t *replay)
{
    memset(replay, 0, sizeof(*replay));
    replay->now = Cbw_SEC;
    CbwRandom_Init(&replay->random, 51);
}

/* 1.5 times the capacity for ten seconds: the slots stay busy, excess requests
 * are refused at once, and the others wait only briefly. */
static void
test_overload(void)
{
    static replay_t replay;

    start(&replay);
    run(&replay, 2 * Cbw_SEC, 1.5, true);
    reset_counts(&replay);
    run(&replay, 10 * Cbw_SEC, 1.5, true);
    g_test_message("arrived %zu served %zu soon %zu refused %zu expired %zu",
                   replay.arrived, replay.served, replay.served_soon,
                   replay.refused, replay.expired);
    g_assert_cmpint(replay.slots_busy, >=, 10 * Cbw_SEC * SLOTS * 97 / 100);
    g_assert_cmpuint(replay.expired * 10, <=, replay.refused);
    g_assert_cmpuint(replay.served_soon * 10, >=, replay.served * 9);
}

/* A burst that can be served in time is admitted completely, also after a busy
 * period. */
static void
test_burst(void)
{
    static replay_t replay;

    start(&replay);
    run(&replay, 2 * Cbw_SEC, 0.6, true);
    reset_counts(&replay);
    for (int i = 0; i < 12; i++) {
        arrive(&replay);
    }
    g_assert_cmpuint(replay.refused, ==, 0);
    run(&replay, Cbw_SEC, 0, true);
    g_assert_cmpuint(replay.expired, ==, 0);
}

/* An interruption of a second, as by a failover, does not count as overload:
 * soon after it all requests of an ordinary load are admitted. */
static void
test_interruption(void)
{
    static replay_t replay;

    start(&replay);
    run(&replay, 2 * Cbw_SEC, 0.7, true);
    run(&replay, Cbw_SEC, 0.7, false);
    run(&replay, 500 * Cbw_MSEC, 0.7, true);
    reset_counts(&replay);
    run(&replay, 4 * Cbw_SEC, 0.7, true);
    g_assert_cmpuint(replay.refused, ==, 0);
    g_assert_cmpuint(replay.expired, ==, 0);
}

/* After an overload an ordinary load is admitted again. */
static void
test_overload_ends(void)
{
    static replay_t replay;

    start(&replay);
    run(&replay, 4 * Cbw_SEC, 2.0, true);
    run(&replay, 500 * Cbw_MSEC, 0.6, true);
    reset_counts(&replay);
    run(&replay, 4 * Cbw_SEC, 0.6, true);
    g_assert_cmpuint(replay.refused, ==, 0);
}

/* Callers that are refused at the same time get different retry times. */
static void
test_retry_times_spread(void)
{
    cbw_gate_t gate = {.interval = 6 * Cbw_MSEC, .measured_at = Cbw_SEC};
    cbw_time_t times[20];

    for (int i = 0; i < 20; i++) {
        g_assert_false(CbwGate_Admit(&gate, Cbw_SEC, 40, TARGET, &times[i]));
        for (int j = 0; j < i; j++) {
            g_assert_cmpint(ABS(times[i] - times[j]), >=, 3 * Cbw_MSEC);
        }
    }
}

void
Suite_AddGate(void)
{
    g_test_add_func("/gate/overload", test_overload);
    g_test_add_func("/gate/burst", test_burst);
    g_test_add_func("/gate/interruption", test_interruption);
    g_test_add_func("/gate/overload-ends", test_overload_ends);
    g_test_add_func("/gate/retry-times-spread", test_retry_times_spread);
}
