/* Tests of promotions with synchronous commits: what one replica has received
 * was acknowledged, and must be in the log of the endpoint that is promoted.
 */

#include <glib.h>
#include <string.h>

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

/* A failover with synchronous commits. e0, the primary, has written up to 3.40
 * when it is lost. */
typedef struct {
    const char *name;
    uint64_t positions[3];     /* of the replicas, in term 3, as e0 is lost */
    cbw_time_t gone_before;    /* e1 is gone for so long when e0 is lost */
    cbw_time_t unlisted_after; /* e1's entry, after it is gone; 0: never */
    bool writes_on;            /* e0 reaches 3.41 just before its loss */
    cbw_time_t answers_after;  /* e1, after the loss of e0; 0: never */
    cbw_time_t returns_after;  /* e0, after its loss; 0: never */
    const char *promoted;      /* NULL: none within LONG_LOSS */
    cbw_time_t promoted_after; /* at least */
} loss_case_t;

#define LONG_LOSS (600 * Cbw_SEC)
/* A promotion takes no longer once there is a complete log. */
#define FAILOVER_MAX (3 * Cbw_SEC)

static const loss_case_t loss_cases[] = {
    {.name = "the replica with all commits has lost the store (review/11)",
     .positions = {0, 40, 9},
     .gone_before = 1500 * Cbw_MSEC,
     .unlisted_after = Cbw_MSEC,
     .answers_after = 1400 * Cbw_MSEC,
     .promoted = "e1",
     .promoted_after = 1400 * Cbw_MSEC},
    {.name = "it is down, and expires during the wait (review/13)",
     .positions = {0, 40, 9},
     .gone_before = 200 * Cbw_MSEC,
     .unlisted_after = 4600 * Cbw_MSEC,
     .answers_after = 6800 * Cbw_MSEC,
     .promoted = "e1",
     .promoted_after = 6800 * Cbw_MSEC},
    {.name = "it is lost for good, and the primary returns",
     .positions = {0, 40, 9},
     .gone_before = 200 * Cbw_MSEC,
     .unlisted_after = 4600 * Cbw_MSEC,
     .returns_after = 20 * Cbw_SEC,
     .promoted = "e0",
     .promoted_after = 20 * Cbw_SEC},
    {.name = "both logs with all commits are lost for good",
     .positions = {0, 40, 9},
     .gone_before = 200 * Cbw_MSEC,
     .unlisted_after = 4600 * Cbw_MSEC},
    {.name = "a replica is down, and the other one has all commits",
     .positions = {0, 9, 40},
     .gone_before = 200 * Cbw_MSEC,
     .promoted = "e2"},
    {.name = "a replica was unlisted, and the other one has all commits",
     .positions = {0, 9, 40},
     .gone_before = 10 * Cbw_SEC,
     .unlisted_after = 4600 * Cbw_MSEC,
     .promoted = "e2"},
    {.name = "both answer, and lack an entry that no replica had received",
     .positions = {0, 39, 9},
     .answers_after = Cbw_MSEC,
     .promoted = "e1"},
    {.name = "one of these is silent",
     .positions = {0, 39, 38},
     .gone_before = 200 * Cbw_MSEC,
     .answers_after = 7 * Cbw_SEC,
     .promoted = "e1",
     .promoted_after = 7 * Cbw_SEC},
    {.name = "it was forgotten: a replica had everything 60 s later",
     .positions = {0, 9, 40},
     .gone_before = 2 * Cbw_POOL_COPY_FORGET_AFTER,
     .unlisted_after = 4600 * Cbw_MSEC,
     .writes_on = true,
     .promoted = "e2"},
    {.name = "it was not forgotten yet",
     .positions = {0, 9, 40},
     .gone_before = Cbw_POOL_COPY_FORGET_AFTER / 2,
     .unlisted_after = 4600 * Cbw_MSEC,
     .writes_on = true},
};

static void
run_with_listing(pool_world_t *world, const loss_case_t *c, cbw_time_t gone_at,
                 cbw_time_t until, const endpoint_report_t reports[3])
{
    cbw_time_t unlisted_at = gone_at + c->unlisted_after;

    if (c->unlisted_after != 0 && unlisted_at < until) {
        PoolWorld_RunUntilOrder(world, unlisted_at - world->now, reports);
        g_assert_cmpstr(world->promotion_target, ==, "");
        world->unlisted[1] = true;
        PoolWorld_SetEndpoints(world);
    }
    PoolWorld_RunUntilOrder(world, until - world->now, reports);
}

static void
play_loss(pool_world_t *world, const loss_case_t *c)
{
    endpoint_report_t reports[3] = {{.primary = true, .term = 3},
                                    {.term = 3, .position = {3, 9}},
                                    {.term = 3, .position = {3, 9}}};
    cbw_time_t gone_at;
    cbw_time_t lost_at;
    cbw_time_t changes_at;

    init_synchronous(world);
    for (uint64_t index = 10; index <= 40; index++) {
        reports[0].position = (cbw_position_t){3, index};
        PoolWorld_Run(world, 500 * Cbw_MSEC, reports);
    }
    reports[1].position.index = c->positions[1];
    reports[2].position.index = c->positions[2];
    gone_at = world->now;
    lost_at = gone_at + c->gone_before;
    reports[1].unresponsive = true;
    run_with_listing(world, c, gone_at, lost_at, reports);
    g_assert_cmpstr(world->promotion_target, ==, "");
    if (c->writes_on) {
        reports[0].position.index = 41;
        PoolWorld_Run(world, 600 * Cbw_MSEC, reports);
        lost_at = world->now;
    }
    reports[0].unresponsive = true;
    changes_at = c->answers_after != 0 ? c->answers_after : c->returns_after;
    if (changes_at != 0) {
        run_with_listing(world, c, gone_at, lost_at + changes_at, reports);
        g_assert_cmpstr(world->promotion_target, ==, "");
        reports[c->answers_after != 0].unresponsive = false;
        world->unlisted[1] &= c->answers_after == 0;
        PoolWorld_SetEndpoints(world);
    }
    if (c->promoted == NULL) {
        run_with_listing(world, c, gone_at, lost_at + LONG_LOSS, reports);
        g_assert_cmpstr(world->promotion_target, ==, "");
        return;
    }
    g_assert_true(PoolWorld_RunUntilOrder(world, FAILOVER_MAX, reports));
    g_assert_cmpstr(world->promotion_target, ==, c->promoted);
    g_assert_cmpint(world->now - lost_at, >=, c->promoted_after);
}

/* A replica that is not listed, or down, may be the only one that received the
 * last commits: a log that is not known to have them is not promoted, and one
 * that is, is not delayed. */
static void
test_acknowledged_commits_are_awaited(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(loss_cases); i++) {
        pool_world_t world;

        g_test_message("%s", loss_cases[i].name);
        play_loss(&world, &loss_cases[i]);
        PoolWorld_Finish(&world);
    }
}

/* What a new owner finds. e0, the primary, e1, which alone has all commits,
 * and the owner are lost at the same time; e2 answers. */
typedef struct {
    const char *name;
    bool unlisted; /* e1, when the new owner starts */
    /* What e1 is when it answers, 8 s later. */
    const char *suffix; /* of its name */
    int64_t started_at;
    uint64_t position;
    bool returns;         /* e0, after that */
    const char *promoted; /* NULL: none */
} takeover_case_t;

static const takeover_case_t takeover_cases[] = {
    {.name = "it returns as it was",
     .unlisted = true,
     .position = 40,
     .promoted = "e1"},
    {.name = "it was listed all the time", .position = 40, .promoted = "e1"},
    {.name = "it returns under another name at its address",
     .unlisted = true,
     .suffix = "b",
     .position = 40,
     .promoted = "e1b"},
    {.name = "another endpoint at its address has no log",
     .unlisted = true,
     .suffix = "b"},
    {.name = "the same, and the primary returns",
     .unlisted = true,
     .suffix = "b",
     .returns = true,
     .promoted = "e0"},
    {.name = "it starts again under its name, without its log",
     .unlisted = true,
     .started_at = 5},
};

static void
play_takeover(pool_world_t *world, const takeover_case_t *c)
{
    endpoint_report_t reports[3] = {
        {.primary = true, .term = 3, .position = {3, 40}},
        {.term = 3, .position = {3, 40}},
        {.term = 3, .position = {3, 9}}};

    init_synchronous(world);
    PoolWorld_Run(world, 2 * Cbw_SEC, reports);
    g_assert_cmpint(world->record.copies.count, ==, 3);
    reports[0].unresponsive = true;
    reports[1].unresponsive = true;
    world->unlisted[0] = true;
    world->unlisted[1] = c->unlisted;
    PoolWorld_RestartOwner(world);
    g_assert_false(PoolWorld_RunUntilOrder(world, 8 * Cbw_SEC, reports));
    reports[1].unresponsive = false;
    reports[1].position.index = c->position;
    world->unlisted[1] = false;
    world->suffixes[1] = c->suffix;
    world->started_at[1] = c->started_at;
    PoolWorld_SetEndpoints(world);
    if (c->position == 0) {
        g_assert_false(PoolWorld_RunUntilOrder(world, LONG_LOSS, reports));
    }
    world->unlisted[0] = !c->returns;
    reports[0].unresponsive = !c->returns;
    PoolWorld_SetEndpoints(world);
    g_assert_cmpint(PoolWorld_RunUntilOrder(world, LONG_LOSS, reports), ==,
                    c->promoted != NULL);
    if (c->promoted != NULL) {
        g_assert_cmpstr(world->promotion_target, ==, c->promoted);
    }
}

/* An owner that is lost leaves in the record which processes may have commits:
 * the next one awaits them, though it has seen neither them nor the primary.
 */
static void
test_copies_outlive_the_owner(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(takeover_cases); i++) {
        pool_world_t world;

        g_test_message("%s", takeover_cases[i].name);
        play_takeover(&world, &takeover_cases[i]);
        PoolWorld_Finish(&world);
    }
}

/* When there are too many processes, those that are listed stay awaited. */
static void
test_copies_are_bounded(void)
{
    static const endpoint_report_t reports[] = {
        {.primary = true, .term = 3}, {.term = 3}, {.term = 3}};
    const int64_t starts = 2 * (int64_t)Cbw_LOG_COPIES_MAX;
    pool_world_t world;
    int listed = 0;

    init_synchronous(&world);
    for (int64_t start = 1; start <= starts; start++) {
        world.started_at[1] = start;
        PoolWorld_SetEndpoints(&world);
        PoolWorld_Run(&world, Cbw_SEC, reports);
    }
    g_assert_cmpint(world.record.copies.count, ==, Cbw_LOG_COPIES_MAX);
    for (int i = 0; i < Cbw_LOG_COPIES_MAX; i++) {
        const cbw_log_copy_t *copy = &world.record.copies.items[i];
        listed += strcmp(copy->name, "e1") != 0 || copy->started_at == starts;
    }
    g_assert_cmpint(listed, ==, 3);
    PoolWorld_Finish(&world);
}

/* Commits of earlier terms may be in the log of the last primary only: other
 * logs that end before its term began are not complete, though all answer. */
static void
test_log_reaches_present_term(void)
{
    static const endpoint_report_t lost[] = {{.unresponsive = true},
                                             {.term = 3, .position = {3, 40}},
                                             {.term = 3, .position = {3, 9}}};
    static const endpoint_report_t promoted[] = {
        {.unresponsive = true},
        {.primary = true, .term = 4, .position = {3, 40}},
        {.term = 3, .position = {3, 9}}};
    static const endpoint_report_t lost_again[] = {
        {.term = 3, .position = {3, 20}},
        {.unresponsive = true},
        {.term = 3, .position = {3, 9}}};
    static const endpoint_report_t returned[] = {
        {.term = 3, .position = {3, 40}},
        {.unresponsive = true},
        {.term = 3, .position = {3, 9}}};
    pool_world_t world;

    init_synchronous(&world);
    g_assert_true(PoolWorld_RunUntilOrder(&world, 4 * Cbw_SEC, lost));
    g_assert_cmpstr(world.promotion_target, ==, "e1");
    CbwPool_OnPromoteReply(&world.pool, world.now, CBW_PROMOTE_ACCEPTED);
    PoolWorld_Run(&world, POLLS, promoted);
    g_assert_cmpuint(world.record.term, ==, 4);
    PoolWorld_RestartOwner(&world);
    g_assert_false(PoolWorld_RunUntilOrder(&world, LONG_LOSS, lost_again));
    g_assert_true(PoolWorld_RunUntilOrder(&world, 4 * Cbw_SEC, returned));
    g_assert_cmpstr(world.promotion_target, ==, "e0");
    PoolWorld_Finish(&world);
}

/* An operator may accept the loss of commits that no log which answers has. */
static void
test_loss_of_commits_is_accepted(void)
{
    const loss_case_t *c = &loss_cases[3];
    const endpoint_report_t reports[] = {
        {.unresponsive = true},
        {.unresponsive = true},
        {.term = 3, .position = {3, c->positions[2]}}};
    pool_world_t world;
    cbw_request_t *write;

    play_loss(&world, c);
    write = PoolWorld_NewRequest(&world, true, CBW_READ_LATEST);
    write->deadline = world.now + 60 * Cbw_SEC;
    PoolWorld_Submit(&world, write);
    g_assert_true(world.last_answered == write);
    g_assert_cmpint(write->answer.outcome, ==, CBW_OUTCOME_NOTRUN);
    g_assert_cmpint(CbwPool_AcceptLoss(&world.pool, world.now, "e2", NULL), ==,
                    0);
    g_assert_true(PoolWorld_RunUntilOrder(&world, FAILOVER_MAX, reports));
    g_assert_cmpstr(world.promotion_target, ==, "e2");
    PoolWorld_Finish(&world);
    PoolWorld_FreeRequest(write);
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
    g_test_add_func("/pool/acknowledged-commits-are-awaited",
                    test_acknowledged_commits_are_awaited);
    g_test_add_func("/pool/copies-outlive-the-owner",
                    test_copies_outlive_the_owner);
    g_test_add_func("/pool/copies-are-bounded", test_copies_are_bounded);
    g_test_add_func("/pool/log-reaches-present-term",
                    test_log_reaches_present_term);
    g_test_add_func("/pool/loss-of-commits-is-accepted",
                    test_loss_of_commits_is_accepted);
    g_test_add_func("/pool/refused-candidate-is-awaited",
                    test_refused_candidate_is_awaited);
    g_test_add_func("/pool/leaving-primary-leads-on",
                    test_leaving_primary_leads_on);
}
