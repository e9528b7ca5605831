/* Replays load in virtual time at a pool with three endpoints (pool_world.h),
 * each of which runs two statements at once. */
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "carobwind/hold.h"
#include "carobwind/random.h"
#include "pool_world.h"
#include "suites.h"

#define STEP Cbw_MSEC
#define TICK_STEPS 10
#define WORKSPACES 87
#define ZIPF_EXPONENT 1.2
#define SLOTS 2
#define ENDPOINTS 3
#define WORK (12 * Cbw_MSEC) /* on average */
#define TARGET (200 * Cbw_MSEC)
#define CAPACITY (ENDPOINTS * SLOTS * 1e6 / (double)WORK)
/* A workspace's limit, in its usual rates. */
#define LIMIT_FACTOR 1.6
#define REQUESTS_MAX 40000

static const endpoint_report_t reports[] = {
    {.primary = true, .term = 3}, {.term = 3}, {.term = 3}};

typedef struct {
    size_t arrived;
    size_t refused; /* on arrival, or soon enough */
    size_t held;    /* for more than a quarter of the target, then refused */
    size_t in_time;
    size_t late;
    cbw_time_t waits; /* of those that were sent, in the queue */
} result_t;

typedef struct {
    cbw_request_t *request;
    int workspace;
    cbw_time_t done_at; /* at the endpoint; 0: not sent yet */
    uint64_t call;
} item_t;

typedef struct {
    pool_world_t world;
    cbw_counters_t counters;
    /* Separate, so that the usual load is the same with a flood. */
    cbw_random_t random;
    cbw_random_t flood_random;
    cbw_random_t work_random;
    double weights[WORKSPACES];
    item_t items[REQUESTS_MAX];
    size_t item_count;
    size_t first_open;
    cbw_time_t slot_free_at[ENDPOINTS][SLOTS];
    result_t flood;
    result_t others;
} replay_t;

static double
fraction(cbw_random_t *random)
{
    return (double)CbwRandom_Below(random, 1000000) / 1e6;
}

static void
start(replay_t *replay, const char *policy)
{
    double sum = 0;

    memset(replay, 0, sizeof(*replay));
    PoolWorld_Init(&replay->world);
    replay->world.pool.counters = &replay->counters;
    CbwPool_SetQueuePolicy(&replay->world.pool, CbwQueue_Policy(policy));
    CbwRandom_Init(&replay->random, 7);
    CbwRandom_Init(&replay->flood_random, 8);
    CbwRandom_Init(&replay->work_random, 9);
    for (int i = 0; i < WORKSPACES; i++) {
        replay->weights[i] = pow(i + 1, -ZIPF_EXPONENT);
        sum += replay->weights[i];
    }
    for (int i = 0; i < WORKSPACES; i++) {
        replay->weights[i] /= sum;
    }
}

static void
arrive(replay_t *replay, int workspace)
{
    cbw_request_t *request =
        PoolWorld_NewRequest(&replay->world, false, CBW_READ_BOUNDED);

    g_assert_cmpuint(replay->item_count, <, REQUESTS_MAX);
    request->rank = 1;
    request->target = TARGET;
    request->deadline = request->arrived_at + 4 * Cbw_SEC;
    request->weight = replay->weights[workspace] * CAPACITY * LIMIT_FACTOR;
    snprintf(request->workspace, sizeof(request->workspace), "w%d", workspace);
    replay->items[replay->item_count++] =
        (item_t){.request = request, .workspace = workspace};
    PoolWorld_Submit(&replay->world, request);
}

static int
choose_workspace(replay_t *replay)
{
    double share = fraction(&replay->random);
    int workspace = 0;

    while (workspace < WORKSPACES - 1 && share >= replay->weights[workspace]) {
        share -= replay->weights[workspace++];
    }
    return workspace;
}

/* Has an endpoint begin the call when one of its slots is free. */
static cbw_time_t
begin_work(replay_t *replay, int endpoint)
{
    cbw_time_t *slots = replay->slot_free_at[endpoint];
    int slot = slots[0] <= slots[1] ? 0 : 1;
    cbw_time_t work =
        (cbw_time_t)((0.5 + fraction(&replay->work_random)) * (double)WORK);

    if (slots[slot] < replay->world.now) {
        slots[slot] = replay->world.now;
    }
    slots[slot] += work;
    return slots[slot];
}

static void
answer_call(replay_t *replay, uint64_t call)
{
    for (int i = 0; i < replay->world.sent_count; i++) {
        if (replay->world.sent[i].id == call && replay->world.sent[i].open) {
            PoolWorld_Reply(&replay->world, &replay->world.sent[i],
                            CBW_REPLY_OK, 9);
            return;
        }
    }
}

static void
count(replay_t *replay, const item_t *item, int flooder)
{
    result_t *result =
        item->workspace == flooder ? &replay->flood : &replay->others;
    const cbw_request_t *request = item->request;
    cbw_time_t took = replay->world.now - request->arrived_at;

    result->arrived++;
    if (request->answer.outcome != CBW_OUTCOME_DONE) {
        g_assert_cmpint(request->answer.outcome, ==, CBW_OUTCOME_NOTRUN);
        g_assert_cmpint(request->answer.refusal, ==, CBW_REFUSAL_NO_CAPACITY);
        g_assert_cmpint(request->answer.retry_after, >, 0);
        result->held += took > TARGET / 4;
        result->refused += took <= TARGET / 4;
        return;
    }
    result->in_time += took <= TARGET;
    result->late += took > TARGET;
    result->waits += request->sent_at - request->arrived_at;
}

static void
advance_items(replay_t *replay, int flooder)
{
    for (size_t i = replay->first_open; i < replay->item_count; i++) {
        item_t *item = &replay->items[i];
        if (item->request == NULL) {
            continue;
        }
        if (item->request->state == CBW_REQUEST_RUNNING &&
            item->done_at == 0) {
            item->done_at = begin_work(replay, item->request->endpoint);
            item->call = item->request->call;
        }
        if (item->done_at != 0 && replay->world.now >= item->done_at &&
            item->request->state == CBW_REQUEST_RUNNING) {
            answer_call(replay, item->call);
        }
        if (item->request->state == CBW_REQUEST_FINISHED) {
            count(replay, item, flooder);
            PoolWorld_FreeRequest(item->request);
            item->request = NULL;
        }
    }
    while (replay->first_open < replay->item_count &&
           replay->items[replay->first_open].request == NULL) {
        replay->first_open++;
    }
}

/* Runs at `load` of the capacity, while workspace `flooder` (-1: none) sends
 * `factor` times its usual rate. */
static void
run(replay_t *replay, cbw_time_t length, double load, int flooder,
    double factor)
{
    double usual = load * CAPACITY * (double)STEP / 1e6;
    double extra =
        flooder < 0 ? 0 : usual * replay->weights[flooder] * (factor - 1);
    int step = 0;

    for (cbw_time_t end = replay->world.now + length; replay->world.now < end;
         step++) {
        replay->world.now += STEP;
        if (fraction(&replay->random) < usual / 2) {
            arrive(replay, choose_workspace(replay));
        }
        if (fraction(&replay->random) < usual / 2) {
            arrive(replay, choose_workspace(replay));
        }
        /* Two draws, as a flood may exceed one request in a step. */
        for (int i = 0; i < 2; i++) {
            if (fraction(&replay->flood_random) < extra / 2) {
                arrive(replay, flooder);
            }
        }
        advance_items(replay, flooder);
        if (step % TICK_STEPS == 0) {
            PoolWorld_Tick(&replay->world, 0);
            PoolWorld_AnswerStates(&replay->world, reports);
        }
        PoolWorld_DiscardClosedCalls(&replay->world);
    }
}

static void
stop(replay_t *replay, int flooder)
{
    run(replay, Cbw_SEC, 0, flooder, 1);
    g_assert_cmpuint(replay->first_open, ==, replay->item_count);
    PoolWorld_Finish(&replay->world);
}

static double
mean_wait_ms(const result_t *result)
{
    size_t served = result->in_time + result->late;

    return served > 0 ? (double)result->waits / (double)served / Cbw_MSEC : 0;
}

static void
report(const char *name, const result_t *result)
{
    g_test_message("%s: arrived %zu in time %zu late %zu refused %zu held "
                   "%zu, mean wait %.2f ms",
                   name, result->arrived, result->in_time, result->late,
                   result->refused, result->held, mean_wait_ms(result));
}

static double
in_time_share(const result_t *result)
{
    return (double)result->in_time / (double)result->arrived;
}

/* One workspace sends 9 times its usual rate beside 86 others at an owner that
 * is nearly full. Guards against a cost to the others: their waits stay within
 * two statements' time of those without the flood, and nearly as many are
 * served in time. Without shares by workspace they do not. */
static void
test_flood(void)
{
    static const struct {
        const char *policy;
        int flooder; /* 0: the largest */
        double load;
        bool costs; /* the others are worse off */
    } cases[] = {
        {"fair", 0, 0.85, false},  {"fair", 1, 0.9, false},
        {"fair", 4, 0.9, false},   {"fair", 20, 0.9, false},
        {"ranked", 0, 0.85, true}, {"ranked", 4, 0.9, true},
    };
    static replay_t quiet;
    static replay_t flooded;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        int flooder = cases[i].flooder;
        double added_wait;
        double lost_share;
        start(&quiet, cases[i].policy);
        run(&quiet, 8 * Cbw_SEC, cases[i].load, flooder, 1);
        stop(&quiet, flooder);
        start(&flooded, cases[i].policy);
        run(&flooded, 8 * Cbw_SEC, cases[i].load, flooder, 9);
        stop(&flooded, flooder);
        added_wait =
            mean_wait_ms(&flooded.others) - mean_wait_ms(&quiet.others);
        lost_share =
            in_time_share(&quiet.others) - in_time_share(&flooded.others);
        g_test_message("case %zu", i);
        report("others, quiet", &quiet.others);
        report("others, flood", &flooded.others);
        report("flood", &flooded.flood);
        if (cases[i].costs) {
            g_assert_true(added_wait > 2.0 * WORK / Cbw_MSEC ||
                          lost_share > 0.1);
            continue;
        }
        g_assert_cmpfloat(added_wait, <=, 2.0 * WORK / Cbw_MSEC);
        g_assert_cmpfloat(lost_share, <=, 0.01);
        /* What cannot be served is refused soon. */
        g_assert_cmpuint(flooded.flood.held * 10, <=, flooded.flood.arrived);
        g_assert_cmpuint(flooded.others.held * 500, <=,
                         flooded.others.arrived);
    }
}

/* All workspaces send 2.5 times what they send usually for 6 s. Guards against
 * requests that are held and then not served, and against a service that does
 * not recover: what is served is in time, and afterwards all is. */
static void
test_burst_of_all(void)
{
    static replay_t replay;
    result_t burst;

    start(&replay, "fair");
    run(&replay, 2 * Cbw_SEC, 0.7, -1, 1);
    memset(&replay.others, 0, sizeof(replay.others));
    run(&replay, 6 * Cbw_SEC, 1.75, -1, 1);
    burst = replay.others;
    report("burst", &burst);
    run(&replay, Cbw_SEC, 0.7, -1, 1);
    memset(&replay.others, 0, sizeof(replay.others));
    run(&replay, 4 * Cbw_SEC, 0.7, -1, 1);
    report("after", &replay.others);
    g_assert_cmpuint(burst.held * 50, <=, burst.arrived);
    g_assert_cmpuint(burst.late * 20, <=, burst.in_time);
    g_assert_cmpfloat((double)(burst.in_time + burst.late), >=,
                      0.95 * 6 * CAPACITY);
    g_assert_cmpuint(replay.others.refused + replay.others.held, ==, 0);
    stop(&replay, -1);
}

/* A caller leaves. Guards against a dispatch for nobody, and against an abort
 * of what already runs. */
static void
test_caller_leaves(void)
{
    static pool_world_t world;
    static cbw_counters_t counters;
    cbw_request_t *requests[6];

    memset(&counters, 0, sizeof(counters));
    PoolWorld_Init(&world);
    world.pool.counters = &counters;
    CbwPool_SetQueuePolicy(&world.pool, CbwQueue_Policy("fair"));
    for (int i = 0; i < 6; i++) { /* three are sent, three wait */
        requests[i] = PoolWorld_NewRequest(&world, false, CBW_READ_BOUNDED);
        requests[i]->target = TARGET;
        requests[i]->id = 100 + (uint64_t)i;
        PoolWorld_Submit(&world, requests[i]);
    }
    g_assert_cmpuint(world.pool.replica_queue.length, ==, 3);
    g_assert_false(CbwPool_Cancel(&world.pool, world.now, 100));
    g_assert_false(CbwPool_Cancel(&world.pool, world.now, 99));
    g_assert_true(CbwPool_Cancel(&world.pool, world.now, 104));
    g_assert_false(CbwPool_Cancel(&world.pool, world.now, 104));
    g_assert_true(world.last_answered == requests[4]);
    g_assert_cmpint(requests[4]->answer.outcome, ==, CBW_OUTCOME_NOTRUN);
    g_assert_cmpint(requests[0]->state, ==, CBW_REQUEST_RUNNING);
    g_assert_cmpuint(world.pool.replica_queue.length, ==, 2);
    g_assert_cmpuint(counters.values[CBW_COUNTER_CANCELLED_IN_QUEUE], ==, 1);
    /* The two that wait are sent; the one that was taken out is not. */
    PoolWorld_Reply(&world, PoolWorld_LastOpenCall(&world, CBW_CALL_RUN),
                    CBW_REPLY_OK, 9);
    PoolWorld_Reply(&world, PoolWorld_LastOpenCall(&world, CBW_CALL_RUN),
                    CBW_REPLY_OK, 9);
    g_assert_cmpint(requests[3]->state, ==, CBW_REQUEST_RUNNING);
    g_assert_cmpint(requests[5]->state, !=, CBW_REQUEST_QUEUED);
    PoolWorld_Finish(&world);
    for (int i = 0; i < 6; i++) {
        PoolWorld_FreeRequest(requests[i]);
    }
}

/* The primary is down and none is promoted yet. Guards against writes that are
 * held although nothing can serve them: the first ones are refused after a
 * part of their target, later ones at once, with the cause; without workspaces
 * each is held for that time. */
static void
test_blocked_primary(void)
{
    static const struct {
        const char *policy;
        cbw_time_t limit; /* of the first ones */
        bool at_once;
    } cases[] = {
        {"fair", TARGET * Cbw_HOLD_REVIEW_PERCENT / 100, true},
        {"ranked", TARGET / Cbw_POOL_BLOCKED_WAIT_DIVISOR, false},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        static pool_world_t world;
        static cbw_counters_t counters;
        cbw_request_t *first;
        cbw_request_t *second;
        memset(&counters, 0, sizeof(counters));
        PoolWorld_Init(&world);
        world.pool.counters = &counters;
        CbwPool_SetQueuePolicy(&world.pool, CbwQueue_Policy(cases[i].policy));
        world.pool.endpoints[0].down = true;
        PoolWorld_Tick(&world, 0);
        first = PoolWorld_NewRequest(&world, true, CBW_READ_LATEST);
        first->target = TARGET;
        PoolWorld_Submit(&world, first);
        PoolWorld_Tick(&world, cases[i].limit - 1);
        g_assert_cmpint(first->state, ==, CBW_REQUEST_QUEUED);
        PoolWorld_Tick(&world, 1);
        g_assert_true(world.last_answered == first);
        second = PoolWorld_NewRequest(&world, true, CBW_READ_LATEST);
        second->target = TARGET;
        PoolWorld_Submit(&world, second);
        g_assert_cmpint(second->state == CBW_REQUEST_FINISHED, ==,
                        cases[i].at_once);
        PoolWorld_Tick(&world, TARGET / 4);
        g_assert_cmpint(second->state, ==, CBW_REQUEST_FINISHED);
        g_assert_cmpint(second->answer.outcome, ==, CBW_OUTCOME_NOTRUN);
        g_assert_cmpint(second->answer.refusal, ==, CBW_REFUSAL_NO_ENDPOINT);
        g_assert_cmpint(second->answer.retry_after, >, 0);
        g_assert_cmpuint(counters.values[CBW_COUNTER_REFUSED_NO_ENDPOINT], ==,
                         2);
        PoolWorld_Finish(&world);
        PoolWorld_FreeRequest(first);
        PoolWorld_FreeRequest(second);
    }
}

/* A configuration adds the first workspace, or removes the last one, while
 * requests are queued: all stay queued and are answered. */
static void
test_policy_changes(void)
{
    static pool_world_t world;
    cbw_request_t *requests[6];

    PoolWorld_Init(&world);
    for (int i = 0; i < 6; i++) {
        requests[i] = PoolWorld_NewRequest(&world, false, CBW_READ_BOUNDED);
        PoolWorld_Submit(&world, requests[i]);
    }
    CbwPool_SetQueuePolicy(&world.pool, CbwQueue_Policy("fair"));
    g_assert_cmpuint(world.pool.replica_queue.length, ==, 3);
    CbwPool_SetQueuePolicy(&world.pool, CbwQueue_Policy("ranked"));
    g_assert_cmpuint(world.pool.replica_queue.length, ==, 3);
    CbwPool_SetQueuePolicy(&world.pool, CbwQueue_Policy("fair"));
    PoolWorld_Finish(&world);
    g_assert_cmpint(world.answer_count, ==, 6);
    for (int i = 0; i < 6; i++) {
        PoolWorld_FreeRequest(requests[i]);
    }
}

void
Suite_AddScheduling(void)
{
    g_test_add_func("/scheduling/flood", test_flood);
    g_test_add_func("/scheduling/burst-of-all", test_burst_of_all);
    g_test_add_func("/scheduling/caller-leaves", test_caller_leaves);
    g_test_add_func("/scheduling/blocked-primary", test_blocked_primary);
    g_test_add_func("/scheduling/policy-changes", test_policy_changes);
}
