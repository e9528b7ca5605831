#include <glib.h>
#include <string.h>

#include "carobwind/random.h"
#include "carobwind/spread.h"
#include "suites.h"

/* Replays in virtual time how a change spreads over data centres. A host that
 * gets it announces it at once to some hosts of its data centre and to one of
 * any, and each host announces its state to one random host in each interval
 * of probes. */

#define CENTRES ((size_t)6)
#define HOSTS_PER_CENTRE 16
#define HOSTS (CENTRES * HOSTS_PER_CENTRE)
#define STEP (10 * Cbw_MSEC)
#define PROBE_STEPS 20
#define LOCAL_ANNOUNCEMENTS 4
#define RUN_TIME (2 * Cbw_SEC)

typedef struct {
    cbw_spread_t spread[HOSTS];
    bool has_change[HOSTS];
    bool unresponsive[HOSTS]; /* does not respond to others */
    bool heard_remote[HOSTS]; /* of the change, from another data centre */
    cbw_random_t random;
    size_t remote_fetches;
    cbw_time_t last;
} world_t;

static void announce(world_t *world, cbw_time_t now, size_t from, size_t to);

static size_t
random_host(world_t *world, size_t first, size_t count)
{
    return first + (size_t)CbwRandom_Below(&world->random, count);
}

static void
receive(world_t *world, cbw_time_t now, size_t host, bool local)
{
    size_t first = host - host % HOSTS_PER_CENTRE;

    world->has_change[host] = true;
    world->remote_fetches += !local;
    world->last = now;
    CbwSpread_OnFetched(&world->spread[host], 0);
    for (int i = 0; i < LOCAL_ANNOUNCEMENTS; i++) {
        announce(world, now, host,
                 random_host(world, first, HOSTS_PER_CENTRE));
    }
    announce(world, now, host, random_host(world, 0, HOSTS));
}

static void
announce(world_t *world, cbw_time_t now, size_t from, size_t to)
{
    bool local = from / HOSTS_PER_CENTRE == to / HOSTS_PER_CENTRE;

    if (world->has_change[to] || world->unresponsive[to]) {
        return;
    }
    world->heard_remote[to] |= !local;
    if (CbwSpread_MayFetch(&world->spread[to], now, local)) {
        receive(world, now, to, local);
    }
}

static void
run(world_t *world)
{
    int steps = 0;

    for (cbw_time_t now = Cbw_SEC; now <= Cbw_SEC + RUN_TIME; now += STEP) {
        if (steps++ == 0) {
            receive(world, now, 5, true); /* a watcher learns of it */
        }
        for (size_t host = 0; host < HOSTS; host++) {
            if (world->has_change[host] &&
                (steps + (int)host) % PROBE_STEPS == 0) {
                announce(world, now, host, random_host(world, 0, HOSTS));
            }
            /* Fetches a change that was announced to it earlier. */
            if (!world->has_change[host] && world->heard_remote[host] &&
                CbwSpread_MayFetch(&world->spread[host], now, false)) {
                receive(world, now, host, false);
            }
        }
    }
}

static void
start(world_t *world)
{
    memset(world, 0, sizeof(*world));
    CbwRandom_Init(&world->random, 61);
    for (size_t i = 0; i < HOSTS; i++) {
        world->spread[i].rank = i % HOSTS_PER_CENTRE;
    }
}

static size_t
count_with_change(const world_t *world)
{
    size_t count = 0;

    for (size_t i = 0; i < HOSTS; i++) {
        count += world->has_change[i];
    }
    return count;
}

/* All hosts have the change within a second, and few fetched it from another
 * data centre; five in six would if each took the first that it hears. */
static void
test_change_spreads(void)
{
    static world_t world;

    start(&world);
    run(&world);
    g_test_message("%zu remote fetches, last after %d ms",
                   world.remote_fetches,
                   (int)((world.last - Cbw_SEC) / Cbw_MSEC));
    g_assert_cmpuint(count_with_change(&world), ==, HOSTS);
    g_assert_cmpint(world.last - Cbw_SEC, <=, Cbw_SEC);
    g_assert_cmpuint(world.remote_fetches, <=, HOSTS / 4);
}

/* The first hosts of the data centres do not respond: the others wait for them
 * only briefly. */
static void
test_first_hosts_silent(void)
{
    static world_t world;

    start(&world);
    for (size_t i = 0; i < HOSTS; i++) {
        world.unresponsive[i] = i % HOSTS_PER_CENTRE < Cbw_SPREAD_FETCHERS;
    }
    run(&world);
    g_assert_cmpuint(count_with_change(&world), ==,
                     HOSTS - CENTRES * Cbw_SPREAD_FETCHERS);
    g_assert_cmpint(world.last - Cbw_SEC, <=, 2 * Cbw_SEC);
}

/* A peer that refuses to say what differs is asked for all records next, one
 * that lets the fetch time out is not. */
static void
test_lost_fetches(void)
{
    static const struct {
        const char *name;
        cbw_time_t lost_after;
        bool diff;
        bool refused;
    } cases[] = {
        {"refused", 5 * Cbw_MSEC, true, true},
        {"timed out", Cbw_SPREAD_FETCH_TIMEOUT, true, false},
        {"of changes", 5 * Cbw_MSEC, false, false},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cbw_spread_t spread = {0};
        g_test_message("%s", cases[i].name);
        CbwSpread_OnSent(&spread, Cbw_SEC);
        CbwSpread_OnLost(&spread, Cbw_SEC + cases[i].lost_after,
                         cases[i].diff);
        g_assert_cmpint(spread.diff_refused, ==, cases[i].refused);
        CbwSpread_OnSent(&spread, 2 * Cbw_SEC);
        g_assert_false(spread.diff_refused);
    }
}

/* Guards against self-sustaining fetches: a list that takes longer than the
 * time limit is sent repeatedly, and all hosts fetch differences that would
 * resolve themselves. */
static void
test_back_off(void)
{
    cbw_spread_t spread = {0};
    cbw_random_t random;
    cbw_time_t now = 10 * Cbw_SEC;

    CbwRandom_Init(&random, 7);
    for (int losses = 0; losses < 7; losses++) {
        cbw_time_t expected = Cbw_SPREAD_FETCH_TIMEOUT
                              << (losses > 0 ? losses - 1 : 0);
        cbw_time_t next;
        if (expected > Cbw_SPREAD_FETCH_TIMEOUT_MAX) {
            expected = Cbw_SPREAD_FETCH_TIMEOUT_MAX;
        }
        g_assert_cmpint(CbwSpread_OnSent(&spread, now), ==, expected);
        now += expected;
        CbwSpread_OnLost(&spread, now, true);
        next = CbwSpread_NextFetchAt(&spread, now, &random);
        if (losses == 0) {
            g_assert_cmpint(next, <=, now);
        }
        else {
            g_assert_cmpint(next - now, >=, expected);
            g_assert_cmpint(next - now, <=, 2 * Cbw_SPREAD_FETCH_INTERVAL_MAX);
        }
    }
    CbwSpread_OnSent(&spread, now);
    CbwSpread_OnFetched(&spread, 100);
    g_assert_cmpint(CbwSpread_NextFetchAt(&spread, now, &random), ==,
                    now + Cbw_SPREAD_FETCH_INTERVAL);
    CbwSpread_OnFetched(&spread, 256000);
    g_assert_cmpint(CbwSpread_NextFetchAt(&spread, now, &random), ==,
                    now + Cbw_SEC);
    CbwSpread_OnFetched(&spread, 2560000);
    g_assert_cmpint(CbwSpread_NextFetchAt(&spread, now, &random), ==,
                    now + Cbw_SPREAD_BUDGET_PAUSE_MAX);
    g_assert_cmpint(CbwSpread_OnSent(&spread, now), ==,
                    Cbw_SPREAD_FETCH_TIMEOUT);
}

/* A large fleet repairs a difference only once its records have stopped
 * changing, or after a time limit; a small one at once. */
static void
test_repair(void)
{
    for (int changing = 0; changing < 2; changing++) {
        cbw_spread_t spread = {0};
        cbw_time_t began = 10 * Cbw_SEC;
        cbw_time_t now = began;
        g_assert_true(CbwSpread_MayRepair(&spread, now, false));
        while (!CbwSpread_MayRepair(&spread, now, true)) {
            now += STEP;
            if (changing) {
                CbwSpread_OnChanged(&spread, now);
            }
        }
        g_assert_cmpint(now - began, ==,
                        changing ? Cbw_SPREAD_REPAIR_AFTER_MAX
                                 : Cbw_SPREAD_REPAIR_AFTER);
    }
}

void
Suite_AddSpread(void)
{
    g_test_add_func("/spread/back-off", test_back_off);
    g_test_add_func("/spread/repair", test_repair);
    g_test_add_func("/spread/lost-fetches", test_lost_fetches);
    g_test_add_func("/spread/change-spreads", test_change_spreads);
    g_test_add_func("/spread/first-hosts-silent", test_first_hosts_silent);
}
