#include <glib.h>
#include <string.h>

#include "carobwind/bootstrap.h"
#include "suites.h"

/* Replays starts of the hosts of one data centre in virtual time. */

#define HOSTS 16
#define HOSTS_MAX 100
#define STEP Cbw_MSEC
#define CALL_TIME (2 * Cbw_MSEC)   /* of a call to a peer */
#define STORE_TIME (60 * Cbw_MSEC) /* of a read of all records */

typedef struct {
    cbw_bootstrap_t bootstrap;
    cbw_time_t starts_at;
    bool unresponsive; /* does not answer peers */
    bool loaded;       /* has the records */
    bool reading;      /* the store */
    size_t asked;
    cbw_time_t done_at; /* of the call or read in flight; 0: none */
    bool lost;          /* the call gets no answer in time */
    cbw_time_t free_at; /* until then this host sends records */
    cbw_time_t loaded_at;
} host_t;

typedef struct {
    host_t hosts[HOSTS_MAX];
    size_t host_count;
    cbw_time_t transfer_time; /* of all records from one host to another */
    bool large;               /* the fleet */
    size_t reads;
} world_t;

/* Returns the host that is `peer` in the order of the others. */
static size_t
peer_of(size_t host, size_t peer)
{
    return peer < host ? peer : peer + 1;
}

static void
complete(world_t *world, size_t index, cbw_time_t now)
{
    host_t *host = &world->hosts[index];
    const host_t *peer = &world->hosts[host->asked];

    host->done_at = 0;
    if (host->reading || (peer->loaded && !host->lost)) {
        host->loaded = true;
        host->loaded_at = now;
        return;
    }
    CbwBootstrap_OnFailure(&host->bootstrap, now,
                           host->lost || now < peer->starts_at
                               ? CBW_BOOTSTRAP_LOST
                               : CBW_BOOTSTRAP_EMPTY);
}

/* Asks a peer. A host sends its transfers one after the other, including those
 * whose caller has stopped waiting. */
static void
ask(world_t *world, host_t *host, size_t asked, cbw_time_t now)
{
    host_t *peer = &world->hosts[asked];
    cbw_time_t answered_at = now + CALL_TIME;

    if (peer->loaded && !peer->unresponsive) {
        peer->free_at = MAX(peer->free_at, now) + world->transfer_time;
        answered_at = peer->free_at + CALL_TIME;
    }
    host->asked = asked;
    host->lost =
        peer->unresponsive || answered_at > now + host->bootstrap.timeout;
    host->done_at = host->lost ? now + host->bootstrap.timeout : answered_at;
}

static void
step(world_t *world, size_t index, cbw_time_t now)
{
    host_t *host = &world->hosts[index];

    if (host->loaded || now < host->starts_at) {
        return;
    }
    if (now == host->starts_at) {
        CbwBootstrap_Init(&host->bootstrap, now);
        host->bootstrap.large = world->large;
        CbwBootstrap_SetPeers(&host->bootstrap, index, world->host_count - 1);
    }
    if (host->done_at != 0) {
        if (now >= host->done_at) {
            complete(world, index, now);
        }
        return;
    }
    switch (CbwBootstrap_Next(&host->bootstrap, now)) {
    case CBW_BOOTSTRAP_READ_STORE:
        host->reading = true;
        host->done_at = now + STORE_TIME;
        world->reads++;
        break;
    case CBW_BOOTSTRAP_ASK:
        ask(world, host, peer_of(index, host->bootstrap.next_peer), now);
        break;
    case CBW_BOOTSTRAP_WAIT:
        break;
    }
}

static void
init_world(world_t *world, size_t host_count)
{
    memset(world, 0, sizeof(*world));
    world->host_count = host_count;
}

/* Runs until all hosts have the records or `limit` has passed. Returns when
 * the last one got them. */
static cbw_time_t
run_for(world_t *world, cbw_time_t limit)
{
    cbw_time_t last = 0;

    for (cbw_time_t now = STEP; now <= limit; now += STEP) {
        for (size_t i = 0; i < world->host_count; i++) {
            step(world, i, now);
        }
    }
    for (size_t i = 0; i < world->host_count; i++) {
        g_assert_true(world->hosts[i].loaded);
        last = MAX(last, world->hosts[i].loaded_at);
    }
    return last;
}

static cbw_time_t
run(world_t *world)
{
    return run_for(world, 4 * Cbw_SEC);
}

/* All hosts start at the same moment: the first two read the store, the others
 * have the records shortly after them. */
static void
test_all_start(void)
{
    static world_t world;
    cbw_time_t last;

    init_world(&world, HOSTS);
    for (size_t i = 0; i < HOSTS; i++) {
        world.hosts[i].starts_at = STEP;
    }
    last = run(&world);
    g_assert_cmpuint(world.reads, ==, Cbw_BOOTSTRAP_READERS);
    g_assert_cmpint(last, <=,
                    STORE_TIME + CALL_TIME + Cbw_BOOTSTRAP_ASK_INTERVAL +
                        10 * Cbw_MSEC);
}

/* All hosts of a large data centre start, and a host needs 20 ms to send the
 * records to another. Guards against calls to the first two hosts that time
 * out and are repeated until all hosts have read the store. */
static void
test_all_start_large(void)
{
    static world_t world;
    cbw_time_t last;

    init_world(&world, HOSTS_MAX);
    world.transfer_time = 20 * Cbw_MSEC;
    for (size_t i = 0; i < HOSTS_MAX; i++) {
        world.hosts[i].starts_at = STEP;
    }
    last = run(&world);
    g_assert_cmpuint(world.reads, ==, Cbw_BOOTSTRAP_READERS);
    g_assert_cmpint(last, <=, Cbw_SEC);
}

/* A data centre starts with the records of 770 databases: 577 kB, 460 ms of a
 * link of 10 Mbit/s. Guards against a store that all hosts read at once. */
static void
test_all_start_slow_links(void)
{
    static world_t world;
    cbw_time_t last;

    init_world(&world, 50);
    world.large = true;
    world.transfer_time = 460 * Cbw_MSEC;
    for (size_t i = 0; i < world.host_count; i++) {
        world.hosts[i].starts_at = STEP;
    }
    last = run_for(&world, 20 * Cbw_SEC);
    g_test_message("%zu reads, last after %d ms", world.reads,
                   (int)(last / Cbw_MSEC));
    g_assert_cmpuint(world.reads, ==, Cbw_BOOTSTRAP_READERS);
    g_assert_cmpint(last, <=, 6 * Cbw_SEC);
}

/* The first hosts start last, 0.3 s after the others: all hosts have the
 * records shortly after that. */
static void
test_readers_start_last(void)
{
    static world_t world;
    cbw_time_t last;

    init_world(&world, HOSTS);
    for (size_t i = 0; i < HOSTS; i++) {
        world.hosts[i].starts_at =
            i < Cbw_BOOTSTRAP_READERS ? 300 * Cbw_MSEC : STEP;
    }
    last = run(&world);
    g_assert_cmpint(last, <=,
                    300 * Cbw_MSEC + STORE_TIME + Cbw_BOOTSTRAP_ASK_INTERVAL +
                        CALL_TIME + 10 * Cbw_MSEC);
}

/* One host starts in a running fleet, at any position of the order: it does
 * not read the store. */
static void
test_one_restarts(void)
{
    static world_t world;

    for (size_t restarted = 0; restarted < HOSTS; restarted++) {
        init_world(&world, HOSTS);
        for (size_t i = 0; i < HOSTS; i++) {
            world.hosts[i].loaded = i != restarted;
            world.hosts[i].starts_at = i == restarted ? STEP : 0;
        }
        run(&world);
        g_assert_cmpuint(world.reads, ==, 0);
        g_assert_cmpint(world.hosts[restarted].loaded_at, <=, 10 * Cbw_MSEC);
    }
}

/* The first two hosts do not answer: the one that starts reads the store. */
static void
test_peers_silent(void)
{
    static world_t world;

    init_world(&world, HOSTS);
    for (size_t i = 0; i < HOSTS; i++) {
        world.hosts[i].loaded = i != 5;
        world.hosts[i].unresponsive = i < 2;
    }
    world.hosts[5].starts_at = STEP;
    run(&world);
    g_assert_cmpuint(world.reads, ==, 1);
    g_assert_cmpint(world.hosts[5].loaded_at, <=,
                    2 * Cbw_BOOTSTRAP_TIMEOUT + Cbw_BOOTSTRAP_ASK_INTERVAL +
                        STORE_TIME + 10 * Cbw_MSEC);
}

/* A host without peers reads the store. */
static void
test_alone(void)
{
    cbw_bootstrap_t bootstrap;

    CbwBootstrap_Init(&bootstrap, Cbw_SEC);
    g_assert_cmpint(CbwBootstrap_Next(&bootstrap, Cbw_SEC), ==,
                    CBW_BOOTSTRAP_WAIT);
    g_assert_cmpint(
        CbwBootstrap_Next(&bootstrap, Cbw_SEC + Cbw_BOOTSTRAP_ALONE_AFTER), ==,
        CBW_BOOTSTRAP_READ_STORE);
}

void
Suite_AddBootstrap(void)
{
    g_test_add_func("/bootstrap/all-start", test_all_start);
    g_test_add_func("/bootstrap/all-start-slow-links",
                    test_all_start_slow_links);
    g_test_add_func("/bootstrap/all-start-large", test_all_start_large);
    g_test_add_func("/bootstrap/readers-start-last", test_readers_start_last);
    g_test_add_func("/bootstrap/one-restarts", test_one_restarts);
    g_test_add_func("/bootstrap/peers-silent", test_peers_silent);
    g_test_add_func("/bootstrap/alone", test_alone);
}
