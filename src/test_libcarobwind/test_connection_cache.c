#include <glib.h>
#include <math.h>
#include <string.h>

#include "carobwind/connection_cache.h"
#include "carobwind/random.h"
#include "pool_world.h"
#include "suites.h"

/* Replays the demand of one endpoint in virtual time: 87 workspaces of
 * Zipf-distributed size share 64 connections. */
#define WORKSPACES 87
#define EXPONENT 1.2
#define LIMIT 64
#define RATE 39.0 /* statements a second */
#define DURATION (300 * Cbw_SEC)
#define WARM_UP (60 * Cbw_SEC)  /* not counted */
#define SERVICE (45 * Cbw_MSEC) /* on average */
#define TRANSACTION_SHARE 0.15
#define TRANSACTION_TIME (120 * Cbw_MSEC)
#define OPENING_TIME (12 * Cbw_MSEC)
#define BURST_INTERVAL (20 * Cbw_SEC)
#define SHIFT_INTERVAL (60 * Cbw_SEC)
#define SEEDS 4

typedef struct {
    cbw_cached_connection_t cached;
    bool open;
    bool busy;
    cbw_time_t busy_until;
} connection_t;

typedef enum {
    DEMAND_STEADY,
    DEMAND_BURSTS,  /* 1 to 3 workspaces at 4 to 9 times their rate */
    DEMAND_SHIFTS,  /* all workspaces change their sizes */
    DEMAND_UNIFORM, /* all of one size */
    DEMAND_TURNS,   /* one after the other */
} demand_t;

typedef struct {
    cbw_connection_cache_t cache;
    cbw_random_t random;
    demand_t demand;
    connection_t connections[LIMIT];
    double size[WORKSPACES];
    double burst[WORKSPACES]; /* factors */
    cbw_time_t burst_until;
    cbw_time_t next_change_at;
    int turn;
    cbw_time_t now;
    /* Counted after the warm-up. */
    long statements;
    long opened;
} replay_t;

static bool
is_idle(const cbw_cached_connection_t *cached)
{
    return !Cbw_LIST_ITEM(cached, connection_t, cached)->busy;
}

static void
shuffle_sizes(replay_t *replay)
{
    for (int i = WORKSPACES - 1; i > 0; i--) {
        int other = (int)CbwRandom_Below(&replay->random, (uint64_t)i + 1);
        double size = replay->size[i];
        replay->size[i] = replay->size[other];
        replay->size[other] = size;
    }
}

static void
start_burst(replay_t *replay)
{
    int count = 1 + (int)CbwRandom_Below(&replay->random, 3);

    for (int i = 0; i < count; i++) {
        replay->burst[CbwRandom_Below(&replay->random, WORKSPACES)] =
            4 + 5 * CbwRandom_Unit(&replay->random);
    }
    replay->burst_until =
        replay->now +
        (cbw_time_t)((5 + 3 * CbwRandom_Unit(&replay->random)) * Cbw_SEC);
}

static void
change_demand(replay_t *replay)
{
    if (replay->now >= replay->burst_until) {
        for (int i = 0; i < WORKSPACES; i++) {
            replay->burst[i] = 1;
        }
    }
    if (replay->now < replay->next_change_at) {
        return;
    }
    if (replay->demand == DEMAND_BURSTS) {
        start_burst(replay);
        replay->next_change_at = replay->now + BURST_INTERVAL;
    }
    if (replay->demand == DEMAND_SHIFTS) {
        shuffle_sizes(replay);
        replay->next_change_at = replay->now + SHIFT_INTERVAL;
    }
}

static double
exponential(replay_t *replay)
{
    return -log(1 - CbwRandom_Unit(&replay->random));
}

/* Advances the time to the next statement and returns its workspace. */
static int
next_statement(replay_t *replay)
{
    double total = 0;
    double drawn;
    int workspace = 0;

    change_demand(replay);
    for (int i = 0; i < WORKSPACES; i++) {
        total += replay->size[i] * replay->burst[i];
    }
    replay->now +=
        (cbw_time_t)(exponential(replay) * Cbw_SEC / (RATE * total)) + 1;
    if (replay->demand == DEMAND_TURNS) {
        return replay->turn++ % WORKSPACES;
    }
    drawn = CbwRandom_Unit(&replay->random) * total;
    while (workspace < WORKSPACES - 1) {
        drawn -= replay->size[workspace] * replay->burst[workspace];
        if (drawn < 0) {
            break;
        }
        workspace++;
    }
    return workspace;
}

static connection_t *
find_idle(replay_t *replay, const char *name)
{
    cbw_link_t *list = CbwConnectionCache_Connections(&replay->cache, name);

    for (cbw_link_t *link = list->next; link != list; link = link->next) {
        cbw_cached_connection_t *cached =
            Cbw_LIST_ITEM(link, cbw_cached_connection_t, link);
        if (is_idle(cached)) {
            return Cbw_LIST_ITEM(cached, connection_t, cached);
        }
    }
    return NULL;
}

/* Opens a connection. Returns NULL when all are in use. */
static connection_t *
open_connection(replay_t *replay, const char *name)
{
    connection_t *connection = replay->connections;

    if (!CbwConnectionCache_HasRoom(&replay->cache, replay->now)) {
        cbw_cached_connection_t *chosen =
            CbwConnectionCache_Choose(&replay->cache, replay->now);
        if (chosen == NULL) {
            return NULL;
        }
        g_assert_true(is_idle(chosen));
        CbwConnectionCache_Remove(&replay->cache, chosen);
        Cbw_LIST_ITEM(chosen, connection_t, cached)->open = false;
    }
    while (connection->open) {
        connection++;
    }
    connection->open = true;
    g_assert_cmpint(
        CbwConnectionCache_Add(&replay->cache, &connection->cached, name), ==,
        0);
    return connection;
}

static void
run_statement(replay_t *replay, int workspace)
{
    char name[16];
    connection_t *connection;
    cbw_time_t time = (cbw_time_t)(exponential(replay) * SERVICE);
    bool counted = replay->now >= WARM_UP;

    if (CbwRandom_Unit(&replay->random) < TRANSACTION_SHARE) {
        time += TRANSACTION_TIME;
    }
    for (int i = 0; i < LIMIT; i++) {
        replay->connections[i].busy =
            replay->connections[i].busy_until > replay->now;
    }
    g_snprintf(name, sizeof(name), "w%d", workspace);
    CbwConnectionCache_OnDemand(&replay->cache, replay->now, name, 0);
    connection = find_idle(replay, name);
    replay->statements += counted;
    if (connection == NULL) {
        connection = open_connection(replay, name);
        replay->opened += counted;
        time += OPENING_TIME;
    }
    if (connection == NULL) {
        return;
    }
    CbwConnectionCache_Use(&replay->cache, &connection->cached);
    connection->busy_until = replay->now + time;
}

/* Returns the connections opened a second. */
static double
replay_demand(const char *policy, demand_t demand, double *hit_rate)
{
    long statements = 0;
    long opened = 0;

    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        replay_t *replay = g_new0(replay_t, 1);
        double total = 0;
        CbwRandom_Init(&replay->random, seed);
        replay->demand = demand;
        replay->next_change_at = BURST_INTERVAL;
        CbwConnectionCache_Init(
            &replay->cache, CbwConnectionCache_Policy(policy), is_idle, LIMIT);
        for (int i = 0; i < WORKSPACES; i++) {
            replay->size[i] =
                demand == DEMAND_UNIFORM ? 1 : pow(i + 1, -EXPONENT);
            total += replay->size[i];
        }
        for (int i = 0; i < WORKSPACES; i++) {
            replay->size[i] /= total;
        }
        while (replay->now < DURATION) {
            run_statement(replay, next_statement(replay));
            g_assert_cmpint(replay->cache.count, <=, LIMIT);
        }
        statements += replay->statements;
        opened += replay->opened;
        for (int i = 0; i < LIMIT; i++) {
            if (replay->connections[i].open) {
                CbwConnectionCache_Remove(&replay->cache,
                                          &replay->connections[i].cached);
            }
        }
        CbwConnectionCache_Finish(&replay->cache);
        g_free(replay);
    }
    *hit_rate = 1 - (double)opened / (double)statements;
    return (double)(opened * Cbw_SEC) / (double)(SEEDS * (DURATION - WARM_UP));
}

typedef struct {
    const char *name;
    demand_t demand;
    double bound; /* of the connections opened, relative to lru */
} replay_case_t;

static const replay_case_t replay_cases[] = {
    {"steady", DEMAND_STEADY, 0.85}, {"bursts", DEMAND_BURSTS, 0.85},
    {"shifts", DEMAND_SHIFTS, 1.0},  {"uniform", DEMAND_UNIFORM, 0.95},
    {"in turns", DEMAND_TURNS, 0.5},
};

/* The policy "demand" opens fewer connections than plain least-recently-used,
 * and not more when demand shifts. */
static void
test_compare_with_lru(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(replay_cases); i++) {
        const replay_case_t *item = &replay_cases[i];
        double lru_hits;
        double hits;
        double lru = replay_demand("lru", item->demand, &lru_hits);
        double opened = replay_demand("demand", item->demand, &hits);
        g_test_message("%s: lru hit rate %.4f, %.2f opened a second; demand "
                       "hit rate %.4f, %.2f opened a second",
                       item->name, lru_hits, lru, hits, opened);
        g_assert_cmpfloat(opened, <=, lru * item->bound);
    }
}

/* Adds connections with the given workspaces, all idle. */
static void
add_connections(cbw_connection_cache_t *cache, connection_t *connections,
                const char *const *workspaces, int count)
{
    memset(connections, 0, (size_t)count * sizeof(*connections));
    for (int i = 0; i < count; i++) {
        g_assert_cmpint(CbwConnectionCache_Add(cache, &connections[i].cached,
                                               workspaces[i]),
                        ==, 0);
    }
}

typedef struct {
    const char *name;
    const char *policy;
    const char *workspaces[4]; /* of the connections, oldest use first */
    bool busy[4];
    struct {
        const char *workspace;
        int rank;
        int count; /* statements, while none is in use */
    } demand[2];
    int chosen; /* index; -1: none */
} choice_case_t;

static const choice_case_t choice_cases[] = {
    {.name = "without workspaces, the least recently used",
     .policy = "demand",
     .workspaces = {"", "", "", ""},
     .chosen = 0},
    {.name = "only idle connections",
     .policy = "demand",
     .workspaces = {"", "", "", ""},
     .busy = {true, true, false, false},
     .chosen = 2},
    {.name = "none is idle",
     .policy = "demand",
     .workspaces = {"a", "a", "b", "b"},
     .busy = {true, true, true, true},
     .chosen = -1},
    {.name = "the workspace of less demand",
     .policy = "demand",
     .workspaces = {"a", "b", "", ""},
     .demand = {{"a", 0, 20}, {"b", 0, 4}},
     .busy = {false, false, true, true},
     .chosen = 1},
    {.name = "the workspace of less urgent demand",
     .policy = "demand",
     .workspaces = {"a", "b", "", ""},
     .demand = {{"a", 0, 8}, {"b", 2, 8}},
     .busy = {false, false, true, true},
     .chosen = 1},
    {.name = "a second connection that served nothing",
     .policy = "demand",
     .workspaces = {"a", "a", "b", ""},
     .demand = {{"a", 0, 40}, {"b", 0, 4}},
     .busy = {false, false, false, true},
     .chosen = 0},
    {.name = "of equal demand, the last one used",
     .policy = "demand",
     .workspaces = {"a", "b", "c", "c"},
     .demand = {{"a", 0, 5}, {"b", 0, 6}},
     .busy = {false, false, true, true},
     .chosen = 1},
    {.name = "lru: regardless of the demand",
     .policy = "lru",
     .workspaces = {"a", "b", "", ""},
     .demand = {{"a", 0, 20}, {"b", 0, 4}},
     .chosen = 0},
};

/* Which idle connection is closed for a new one. */
static void
test_choice(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(choice_cases); i++) {
        const choice_case_t *item = &choice_cases[i];
        cbw_connection_cache_t cache;
        connection_t connections[4];
        const cbw_cached_connection_t *chosen;
        CbwConnectionCache_Init(
            &cache, CbwConnectionCache_Policy(item->policy), is_idle, 4);
        add_connections(&cache, connections, item->workspaces, 4);
        for (int j = 0; j < 2; j++) {
            for (int k = 0; k < item->demand[j].count; k++) {
                CbwConnectionCache_OnDemand(&cache, Cbw_SEC,
                                            item->demand[j].workspace,
                                            item->demand[j].rank);
            }
        }
        for (int j = 0; j < 4; j++) {
            connections[j].busy = item->busy[j];
        }
        g_test_message("%s", item->name);
        g_assert_false(CbwConnectionCache_HasRoom(&cache, Cbw_SEC));
        chosen = CbwConnectionCache_Choose(&cache, Cbw_SEC);
        if (item->chosen < 0) {
            g_assert_null(chosen);
        }
        else {
            g_assert_true(chosen == &connections[item->chosen].cached);
        }
        for (int j = 0; j < 4; j++) {
            CbwConnectionCache_Remove(&cache, &connections[j].cached);
        }
        CbwConnectionCache_Finish(&cache);
    }
}

/* After a refusal, as while another owner still has its connections, no more
 * are opened than there are; then the limit holds again. */
static void
test_refused(void)
{
    static const char *const workspaces[] = {"a", "b"};
    cbw_connection_cache_t cache;
    connection_t connections[2];
    cbw_time_t now = Cbw_SEC;

    CbwConnectionCache_Init(&cache, CbwConnectionCache_Policy("demand"),
                            is_idle, 4);
    add_connections(&cache, connections, workspaces, 2);
    g_assert_true(CbwConnectionCache_HasRoom(&cache, now));
    CbwConnectionCache_OnRefused(&cache, now);
    g_assert_false(CbwConnectionCache_HasRoom(&cache, now));
    CbwConnectionCache_Remove(&cache, &connections[0].cached);
    g_assert_true(CbwConnectionCache_HasRoom(&cache, now));
    /* Without any connection, one may be tried. */
    CbwConnectionCache_Remove(&cache, &connections[1].cached);
    CbwConnectionCache_OnRefused(&cache, now);
    g_assert_true(CbwConnectionCache_HasRoom(&cache, now));
    add_connections(&cache, connections, workspaces, 2);
    g_assert_false(CbwConnectionCache_HasRoom(&cache, now));
    now += Cbw_CONNECTION_REFUSED_FOR;
    g_assert_true(CbwConnectionCache_HasRoom(&cache, now));
    CbwConnectionCache_Remove(&cache, &connections[0].cached);
    CbwConnectionCache_Remove(&cache, &connections[1].cached);
    CbwConnectionCache_Finish(&cache);
}

/* The demand of many workspaces is kept within a bound, and that of those with
 * connections or most demand stays known. */
static void
test_many_workspaces(void)
{
    static const char *const workspaces[] = {"kept"};
    cbw_connection_cache_t cache;
    connection_t connection;

    CbwConnectionCache_Init(&cache, CbwConnectionCache_Policy("demand"),
                            is_idle, 4);
    add_connections(&cache, &connection, workspaces, 1);
    CbwConnectionCache_OnDemand(&cache, 0, "large", 0);
    CbwConnectionCache_OnDemand(&cache, 0, "large", 0);
    for (int i = 0; i < 4096; i++) {
        char name[16];
        g_snprintf(name, sizeof(name), "w%d", i);
        CbwConnectionCache_OnDemand(&cache, 0, name, 0);
        g_assert_cmpuint(cache.group_count, <=, Cbw_CONNECTION_WORKSPACES_MAX);
    }
    g_assert_nonnull(CbwConnectionCache_Connections(&cache, "large"));
    g_assert_true(CbwConnectionCache_HasIdle(&cache, "kept"));
    g_assert_false(CbwConnectionCache_HasIdle(&cache, "large"));
    CbwConnectionCache_Remove(&cache, &connection.cached);
    CbwConnectionCache_Finish(&cache);
}

typedef struct {
    const char *name;
    const char *workspace; /* of the request */
    const char *idle[3];   /* workspaces of idle connections */
    bool first_is_in_use;
    int chosen;
} replica_case_t;

static const replica_case_t replica_cases[] = {
    {"none has a connection", "a", {"", "", ""}, false, 1},
    {"the second one has", "a", {"", "", "a"}, false, 2},
    {"both have", "a", {"", "a", "a"}, false, 1},
    {"one of another workspace", "a", {"", "", "b"}, false, 1},
    {"no workspace", "", {"", "", ""}, false, 1},
    {"the other one has more free slots", "a", {"", "a", ""}, true, 2},
};

/* Of equally good replicas, the one with an idle connection of the workspace
 * is chosen: a new connection would take a slot. */
static void
test_choice_of_replica(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(replica_cases); i++) {
        const replica_case_t *item = &replica_cases[i];
        pool_world_t world;
        cbw_request_t *write;
        cbw_request_t *requests[2];
        const sent_call_t *run;
        PoolWorld_Init(&world);
        /* Its answer states the end of the primary's log. */
        write = PoolWorld_NewRequest(&world, true, CBW_READ_LATEST);
        PoolWorld_Submit(&world, write);
        PoolWorld_Reply(&world, PoolWorld_LastOpenCall(&world, CBW_CALL_RUN),
                        CBW_REPLY_OK, 9);
        world.now += 100 * Cbw_MSEC;
        for (int j = 0; j < 2; j++) {
            requests[j] =
                PoolWorld_NewRequest(&world, false, CBW_READ_BOUNDED);
        }
        if (item->first_is_in_use) {
            PoolWorld_Submit(&world, requests[0]);
        }
        for (int j = 0; j < 3; j++) {
            g_strlcpy(world.idle_connections[j], item->idle[j], Cbw_NAME_MAX);
        }
        g_strlcpy(requests[1]->workspace, item->workspace, Cbw_NAME_MAX);
        PoolWorld_Submit(&world, requests[1]);
        run = PoolWorld_LastOpenCall(&world, CBW_CALL_RUN);
        g_test_message("%s", item->name);
        g_assert_nonnull(run);
        g_assert_cmpint(run->endpoint, ==, item->chosen);
        PoolWorld_Finish(&world);
        PoolWorld_FreeRequest(write);
        for (int j = 0; j < 2; j++) {
            PoolWorld_FreeRequest(requests[j]);
        }
    }
}

void
Suite_AddConnectionCache(void)
{
    g_test_add_func("/connection-cache/choice-of-replica",
                    test_choice_of_replica);
    g_test_add_func("/connection-cache/compare-with-lru",
                    test_compare_with_lru);
    g_test_add_func("/connection-cache/choice", test_choice);
    g_test_add_func("/connection-cache/refused", test_refused);
    g_test_add_func("/connection-cache/many-workspaces", test_many_workspaces);
}
