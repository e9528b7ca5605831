/* Tests of promotions with synchronous commits: what one replica has received
 * was acknowledged, and must be in the log of the endpoint that is promoted.
 */

#include <glib.h>

#include "pool_world.h"
#include "suites.h"

/* Longer than the candidates' states are awaited without synchronous commits,
 * and than state calls take to find an endpoint down. */
#define LONG_WAIT (2 * Cbw_SEC)

/* Long enough for several polls. */
#define POLLS (200 * Cbw_MSEC)

/* Both replicas lack what the primary has, and then e1 alone. */
static const endpoint_report_t behind[] = {{.primary = true, .term = 3},
                                           {.term = 3, .position = {3, 7}},
                                           {.term = 3, .position = {3, 7}}};
static const endpoint_report_t caught_up[] = {{.primary = true, .term = 3},
                                              {.term = 3, .position = {3, 7}},
                                              {.term = 3}};

static void
init_synchronous(pool_world_t *world)
{
    PoolWorld_Init(world);
    CbwPool_SetSynchronous(&world->pool, true);
}

/* The choice between e1, which is leaving, and e2, after a crash of e0. */
typedef struct {
    const char *name;
    bool synchronous;
    uint64_t positions[3];
    const char *promoted;
} choice_case_t;

static const choice_case_t choice_cases[] = {
    {"the longer log wins", true, {0, 9, 7}, "e1"},
    {"among equals, one that stays", true, {0, 9, 9}, "e2"},
    {"a replica that stays, without synchronous commits",
     false,
     {0, 9, 7},
     "e2"},
};

/* A leaving replica may be the only one that received the last commits. */
static void
test_longest_log_is_promoted(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(choice_cases); i++) {
        const choice_case_t *c = &choice_cases[i];
        const endpoint_report_t reports[] = {
            {.unresponsive = true},
            {.term = 3, .position = {3, c->positions[1]}},
            {.term = 3, .position = {3, c->positions[2]}}};
        pool_world_t world;

        g_test_message("%s", c->name);
        PoolWorld_Init(&world);
        CbwPool_SetSynchronous(&world.pool, c->synchronous);
        world.leaving[1] = true;
        PoolWorld_SetEndpoints(&world);
        g_assert_true(PoolWorld_RunUntilOrder(&world, 4 * Cbw_SEC, reports));
        g_assert_cmpstr(world.promotion_target, ==, c->promoted);
        PoolWorld_Finish(&world);
    }
}

/* A replica that does not answer may be the only one that received the last
 * commits: it is awaited as long as it is listed. */
static void
test_silent_replica_is_awaited(void)
{
    static const endpoint_report_t unresponsive[] = {
        {.unresponsive = true},
        {.unresponsive = true},
        {.term = 3, .position = {3, 7}}};
    static const endpoint_report_t answers[] = {
        {.unresponsive = true}, {.term = 3}, {.term = 3, .position = {3, 7}}};

    for (int unlisted = 0; unlisted < 2; unlisted++) {
        pool_world_t world;

        init_synchronous(&world);
        g_assert_false(PoolWorld_RunUntilOrder(&world, 4 * Cbw_SEC + LONG_WAIT,
                                               unresponsive));
        g_assert_true(world.record.promoting);
        world.unlisted[1] = unlisted;
        PoolWorld_SetEndpoints(&world);
        g_assert_true(PoolWorld_RunUntilOrder(
            &world, Cbw_SEC, unlisted ? unresponsive : answers));
        g_assert_cmpstr(world.promotion_target, ==, unlisted ? "e2" : "e1");
        PoolWorld_Finish(&world);
    }
}

/* A candidate that refuses, as it does not run, may be the only one that
 * received the last commits: no shorter log is promoted in its place. */
static void
test_refused_candidate_is_awaited(void)
{
    static const endpoint_report_t reports[] = {
        {.unresponsive = true}, {.term = 3}, {.term = 3, .position = {3, 7}}};
    static const endpoint_report_t stopped[] = {
        {.unresponsive = true},
        {.unresponsive = true},
        {.term = 3, .position = {3, 7}}};
    pool_world_t world;

    init_synchronous(&world);
    g_assert_true(PoolWorld_RunUntilOrder(&world, 4 * Cbw_SEC, reports));
    g_assert_cmpstr(world.promotion_target, ==, "e1");
    CbwPool_OnPromoteReply(&world.pool, world.now, CBW_PROMOTE_REFUSED);
    g_assert_false(PoolWorld_RunUntilOrder(&world, LONG_WAIT, stopped));
    g_assert_true(PoolWorld_RunUntilOrder(&world, 4 * Cbw_SEC, reports));
    g_assert_cmpstr(world.promotion_target, ==, "e1");
    PoolWorld_Finish(&world);
}

/* A leaving primary is replaced only when a replica that stays has its log,
 * and remains the primary until then. */
static void
test_leaving_primary_leads_on(void)
{
    pool_world_t world;
    cbw_request_t *write;

    init_synchronous(&world);
    world.leaving[0] = true;
    PoolWorld_SetEndpoints(&world);
    g_assert_false(PoolWorld_RunUntilOrder(
        &world, Cbw_POOL_DRAIN_TIMEOUT + LONG_WAIT, behind));
    g_assert_false(world.record.promoting);
    write = PoolWorld_NewRequest(&world, true, CBW_READ_LATEST);
    write->deadline = world.now + 10 * Cbw_SEC;
    PoolWorld_Submit(&world, write);
    PoolWorld_Run(&world, Cbw_POOL_DRAIN_TIMEOUT + 100 * Cbw_MSEC, behind);
    g_assert_nonnull(PoolWorld_LastOpenCall(&world, CBW_CALL_RUN));
    PoolWorld_Reply(&world, PoolWorld_LastOpenCall(&world, CBW_CALL_RUN),
                    CBW_REPLY_OK, 9);
    g_assert_cmpint(write->answer.outcome, ==, CBW_OUTCOME_DONE);
    g_assert_true(PoolWorld_RunUntilOrder(
        &world, Cbw_POOL_DRAIN_TIMEOUT + 2 * LONG_WAIT, caught_up));
    g_assert_cmpstr(world.promotion_target, ==, "e2");
    PoolWorld_Finish(&world);
    PoolWorld_FreeRequest(write);
}

/* A leaving endpoint receives nothing past its time, though no other one can
 * be the primary, and is replaced as soon as one can. */
static void
test_leaving_primary_time_is_over(void)
{
    pool_world_t world;
    cbw_request_t *write;

    init_synchronous(&world);
    CbwPool_SetLeavingLimit(&world.pool, 6 * Cbw_SEC);
    world.leaving[0] = true;
    PoolWorld_SetEndpoints(&world);
    g_assert_false(
        PoolWorld_RunUntilOrder(&world, 6 * Cbw_SEC + LONG_WAIT, behind));
    write = PoolWorld_NewRequest(&world, true, CBW_READ_LATEST);
    write->deadline = world.now + 10 * Cbw_SEC;
    PoolWorld_Submit(&world, write);
    PoolWorld_Run(&world, 3 * LONG_WAIT, behind);
    g_assert_cmpint(write->attempts, ==, 0);
    g_assert_true(PoolWorld_RunUntilOrder(&world, POLLS, caught_up));
    g_assert_cmpstr(world.promotion_target, ==, "e2");
    PoolWorld_Finish(&world);
    PoolWorld_FreeRequest(write);
}

/* The previous holder acknowledges commits until its tenure ends: logs that
 * were reported before then do not decide. */
static void
test_choice_follows_last_tenure(void)
{
    static const endpoint_report_t early[] = {
        {.unresponsive = true}, {.term = 3}, {.term = 3, .position = {3, 7}}};
    static const endpoint_report_t late[] = {
        {.unresponsive = true}, {.term = 3}, {.term = 3, .position = {3, 40}}};
    pool_world_t world;
    cbw_time_t taken_over_at;

    PoolWorld_InitPool(&world);
    CbwPool_SetSynchronous(&world.pool, true);
    world.version = 1;
    world.record = (cbw_tenure_record_t){
        .holder = {.nonce = 99, .host = "other"}, .primary = "e0"};
    world.unlisted[0] = true;
    PoolWorld_SetEndpoints(&world);
    while (!world.record.promoting) {
        PoolWorld_Run(&world, 20 * Cbw_MSEC, early);
    }
    taken_over_at = world.now;
    g_assert_false(PoolWorld_RunUntilOrder(
        &world, Cbw_TENURE_VALID_FOR - 500 * Cbw_MSEC, early));
    g_assert_true(PoolWorld_RunUntilOrder(&world, 4 * Cbw_SEC, late));
    g_assert_cmpint(world.now, >=,
                    taken_over_at + Cbw_TENURE_VALID_FOR - 500 * Cbw_MSEC);
    g_assert_cmpstr(world.promotion_target, ==, "e2");
    PoolWorld_Finish(&world);
}

void
Suite_AddPoolSynchronous(void)
{
    g_test_add_func("/pool/leaving-primary-time-is-over",
                    test_leaving_primary_time_is_over);
    g_test_add_func("/pool/choice-follows-last-tenure",
                    test_choice_follows_last_tenure);
    g_test_add_func("/pool/longest-log-is-promoted",
                    test_longest_log_is_promoted);
    g_test_add_func("/pool/silent-replica-is-awaited",
                    test_silent_replica_is_awaited);
    g_test_add_func("/pool/refused-candidate-is-awaited",
                    test_refused_candidate_is_awaited);
    g_test_add_func("/pool/leaving-primary-leads-on",
                    test_leaving_primary_leads_on);
}
