/* Information from before a promotion must not decide about the freshness of
 * an answer after it. */

#include <glib.h>

#include "pool_world.h"
#include "suites.h"

#define ROUNDS_MAX 2

static const endpoint_report_t first_primary[] = {
    {.primary = true, .term = 3}, {.term = 3}, {.term = 3}};

typedef struct {
    const char *name;
    /* Reports while the request is in flight at e0, two polls with each. A
     * round without a primary ends the list. */
    endpoint_report_t rounds[ROUNDS_MAX][3];
    /* Then e2 is unresponsive until the confirmation is too old, and the
     * endpoints are listed again. */
    bool listed_again;
    bool done; /* whether the answer may count */
} generation_case_t;

static const generation_case_t generation_cases[] = {
    {.name = "e0 remains the primary",
     .rounds = {{{.primary = true, .term = 3}, {.term = 3}, {.term = 3}}},
     .done = true},
    {.name = "e1 replaced e0",
     .rounds = {{{.term = 4}, {.primary = true, .term = 4}, {.term = 4}}}},
    {.name = "e0 leads again in a later term",
     .rounds = {{{.primary = true, .term = 5}, {.term = 5}, {.term = 5}}}},
    {.name = "e1 replaced e0, then e0 leads again",
     .rounds = {{{.term = 4}, {.primary = true, .term = 4}, {.term = 4}},
                {{.primary = true, .term = 5}, {.term = 5}, {.term = 5}}}},
    {.name = "e1 replaced e0, which the record still names",
     .rounds = {{{.term = 4}, {.primary = true, .term = 4}, {.term = 4}}},
     .listed_again = true},
};

static void
list_again(pool_world_t *world)
{
    static const endpoint_report_t one_unresponsive[] = {
        {.term = 4}, {.primary = true, .term = 4}, {.unresponsive = true}};
    cbw_time_t end =
        world->now + Cbw_POOL_CONFIRM_VALID_FOR + Cbw_POOL_CONFIRM_INTERVAL;

    while (world->now < end) {
        PoolWorld_PollEndpoints(world, one_unresponsive);
    }
    PoolWorld_SetEndpoints(world);
}

static void
check_generation(const generation_case_t *item, bool writes)
{
    pool_world_t world;
    cbw_request_t *request;
    sent_call_t *run;

    PoolWorld_Init(&world);
    PoolWorld_ExpireTenure(&world, first_primary);
    request = PoolWorld_NewRequest(&world, writes, CBW_READ_LATEST);
    PoolWorld_Submit(&world, request);
    PoolWorld_PollEndpoints(&world, first_primary);
    run = PoolWorld_LastOpenCall(&world, CBW_CALL_RUN);
    g_assert_nonnull(run);
    g_assert_cmpint(run->endpoint, ==, 0);
    for (int i = 0; i < ROUNDS_MAX && item->rounds[i][0].term != 0; i++) {
        PoolWorld_PollEndpoints(&world, item->rounds[i]);
        PoolWorld_PollEndpoints(&world, item->rounds[i]);
    }
    if (item->listed_again) {
        list_again(&world);
    }
    g_test_message("%s, %s", item->name, writes ? "write" : "read");
    /* A write's answer does not state its term. */
    PoolWorld_Reply(&world, run, CBW_REPLY_OK, writes ? 0 : 9);
    if (item->done) {
        /* A write is confirmed after its answer. */
        PoolWorld_PollEndpoints(&world, item->rounds[0]);
        PoolWorld_PollEndpoints(&world, item->rounds[0]);
        g_assert_cmpint(request->answer.outcome, ==, CBW_OUTCOME_DONE);
    }
    else {
        /* The store answers again, which must not release it either. */
        PoolWorld_Tick(&world, Cbw_TENURE_RETRY_INTERVAL);
        g_assert_cmpint(request->answer.outcome, !=, CBW_OUTCOME_DONE);
    }
    PoolWorld_Finish(&world);
    PoolWorld_FreeRequest(request);
}

/* A request that was sent to e0 without a tenure is acknowledged only while e0
 * leads the same term, whichever endpoint is confirmed later. Its answer may
 * lack commits that another primary acknowledged, or its log may be
 * discarded. */
static void
test_request_of_earlier_generation(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(generation_cases); i++) {
        check_generation(&generation_cases[i], false);
        check_generation(&generation_cases[i], true);
    }
}

/* A sample of e0's log from before e1 replaced it says nothing about what a
 * read must see now: e2 has that position by entries which e1 lacks. */
static void
test_sample_of_earlier_generation(void)
{
    static const endpoint_report_t replaced[] = {
        {.term = 4, .position = {3, 5}},
        {.primary = true, .term = 4, .position = {3, 5}},
        {.term = 4}};
    pool_world_t world;
    cbw_request_t *earlier;
    cbw_request_t *read;
    const sent_call_t *run;

    PoolWorld_Init(&world);
    PoolWorld_ExpireTenure(&world, first_primary);
    earlier = PoolWorld_NewRequest(&world, false, CBW_READ_BOUNDED);
    PoolWorld_Submit(&world, earlier);
    PoolWorld_PollEndpoints(&world, first_primary);
    PoolWorld_Reply(&world, PoolWorld_LastOpenCall(&world, CBW_CALL_RUN),
                    CBW_REPLY_OK, 9);
    g_assert_cmpint(earlier->answer.outcome, ==, CBW_OUTCOME_DONE);
    for (int i = 0; i < 3; i++) {
        PoolWorld_PollEndpoints(&world, replaced);
    }
    g_assert_cmpint(world.pool.primary, ==, 1);
    read = PoolWorld_NewRequest(&world, false, CBW_READ_BOUNDED);
    PoolWorld_Submit(&world, read);
    run = PoolWorld_LastOpenCall(&world, CBW_CALL_RUN);
    g_assert_nonnull(run);
    g_assert_cmpint(run->endpoint, !=, 2);
    g_assert_cmpuint(run->call.min_position, <=, 5);
    PoolWorld_Finish(&world);
    PoolWorld_FreeRequest(earlier);
    PoolWorld_FreeRequest(read);
}

/* An answer that e1 gave as a replica arrives when e1 is the primary. It does
 * not state the end of the primary's log when the read was sent: e0 had
 * acknowledged more by then, which e1 received before its promotion. */
static void
test_late_answer_of_promoted_replica(void)
{
    static const endpoint_report_t before[] = {
        {.primary = true, .term = 3, .position = {3, 4}},
        {.term = 3, .position = {3, 4}},
        {.term = 3, .position = {3, 4}}};
    static const endpoint_report_t replaced[] = {
        {.term = 4, .position = {3, 4}},
        {.primary = true, .term = 4, .position = {3, 9}},
        {.term = 4, .position = {3, 4}}};
    pool_world_t world;
    cbw_request_t *earlier;
    cbw_request_t *read;
    sent_call_t *run;

    PoolWorld_Init(&world);
    PoolWorld_ExpireTenure(&world, before);
    /* Its log was at 3.9 in the first reports of the world. */
    world.pool.primary_position = (cbw_position_t){3, 4};
    earlier = PoolWorld_NewRequest(&world, false, CBW_READ_BOUNDED);
    PoolWorld_Submit(&world, earlier);
    PoolWorld_PollEndpoints(&world, before);
    run = PoolWorld_LastOpenCall(&world, CBW_CALL_RUN);
    g_assert_nonnull(run);
    g_assert_cmpint(run->endpoint, ==, 1);
    PoolWorld_PollEndpoints(&world, replaced);
    g_assert_cmpint(world.pool.primary, ==, 1);
    PoolWorld_Reply(&world, run, CBW_REPLY_OK, 4);
    for (int i = 0; i < 3; i++) {
        PoolWorld_PollEndpoints(&world, replaced);
    }
    read = PoolWorld_NewRequest(&world, false, CBW_READ_BOUNDED);
    PoolWorld_Submit(&world, read);
    run = PoolWorld_LastOpenCall(&world, CBW_CALL_RUN);
    g_assert_nonnull(run);
    g_assert_true(run->endpoint == 1 || run->call.min_position == 9);
    PoolWorld_Finish(&world);
    PoolWorld_FreeRequest(earlier);
    PoolWorld_FreeRequest(read);
}

/* Publishes the promotion of e1, which had received 3.5 when it began term 4.
 * By its last report, e2 has no more than that. */
static void
publish_e1(pool_world_t *world)
{
    static const endpoint_report_t lost[] = {{.unresponsive = true},
                                             {.term = 3, .position = {3, 5}},
                                             {.term = 3, .position = {3, 5}}};
    static const endpoint_report_t promoted[] = {
        {.unresponsive = true},
        {.primary = true, .term = 4, .position = {3, 5}},
        {.term = 3, .position = {3, 5}}};

    PoolWorld_Init(world);
    world->unlisted[0] = true;
    PoolWorld_SetEndpoints(world);
    g_assert_true(PoolWorld_RunUntilOrder(world, Cbw_SEC, lost));
    g_assert_cmpstr(world->promotion_target, ==, "e1");
    CbwPool_OnPromoteReply(&world->pool, world->now, CBW_PROMOTE_ACCEPTED);
    PoolWorld_Run(world, 400 * Cbw_MSEC, promoted);
    g_assert_cmpstr(world->record.primary, ==, "e1");
}

typedef struct {
    const char *name;
    uint64_t position; /* of term 3, in the replica's answer */
    cbw_outcome_t outcome;
} replica_case_t;

static const replica_case_t replica_cases[] = {
    {"the log as it was at the promotion", 5, CBW_OUTCOME_DONE},
    {"one discarded entry", 6, CBW_OUTCOME_PENDING},
    {"the log as the previous primary had it", 9, CBW_OUTCOME_PENDING},
};

/* A replica is chosen by its position of before the promotion, and answers
 * from a log that the promotion has discarded in part. */
static void
test_replica_with_discarded_entries(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(replica_cases); i++) {
        const replica_case_t *item = &replica_cases[i];
        pool_world_t world;
        cbw_request_t *read;
        sent_call_t *run;

        publish_e1(&world);
        read = PoolWorld_NewRequest(&world, false, CBW_READ_BOUNDED);
        PoolWorld_Submit(&world, read);
        run = PoolWorld_LastOpenCall(&world, CBW_CALL_RUN);
        g_assert_nonnull(run);
        g_assert_cmpint(run->endpoint, ==, 2);
        g_test_message("%s", item->name);
        PoolWorld_Reply(&world, run, CBW_REPLY_OK, item->position);
        g_assert_cmpint(read->answer.outcome, ==, item->outcome);
        if (item->outcome == CBW_OUTCOME_PENDING) {
            run = PoolWorld_LastOpenCall(&world, CBW_CALL_RUN);
            g_assert_nonnull(run);
            g_assert_cmpint(run->endpoint, ==, 1);
        }
        PoolWorld_Finish(&world);
        PoolWorld_FreeRequest(read);
    }
}

/* A confirmation by the endpoints that were listed says nothing about one that
 * is listed since: it may have been promoted. */
static void
test_confirmation_without_added_endpoint(void)
{
    static const endpoint_report_t promoted[] = {{.primary = true, .term = 3},
                                                 {.term = 3},
                                                 {.primary = true, .term = 4}};
    pool_world_t world;
    cbw_request_t *earlier;
    cbw_request_t *read;
    sent_call_t *run;

    PoolWorld_Init(&world);
    world.unlisted[2] = true;
    PoolWorld_SetEndpoints(&world);
    PoolWorld_ExpireTenure(&world, first_primary);
    earlier = PoolWorld_NewRequest(&world, false, CBW_READ_LATEST);
    PoolWorld_Submit(&world, earlier);
    PoolWorld_PollEndpoints(&world, first_primary);
    run = PoolWorld_LastOpenCall(&world, CBW_CALL_RUN);
    g_assert_nonnull(run);
    world.now += Cbw_MSEC;
    world.unlisted[2] = false;
    PoolWorld_SetEndpoints(&world);
    read = PoolWorld_NewRequest(&world, false, CBW_READ_LATEST);
    PoolWorld_Submit(&world, read);
    g_assert_true(PoolWorld_LastOpenCall(&world, CBW_CALL_RUN) == run);
    PoolWorld_PollEndpoints(&world, promoted);
    PoolWorld_PollEndpoints(&world, promoted);
    g_assert_cmpint(world.pool.primary, ==, 2);
    PoolWorld_Reply(&world, run, CBW_REPLY_OK, 9);
    g_assert_cmpint(earlier->answer.outcome, !=, CBW_OUTCOME_DONE);
    PoolWorld_Finish(&world);
    PoolWorld_FreeRequest(earlier);
    PoolWorld_FreeRequest(read);
}

void
Suite_AddPoolFreshness(void)
{
    g_test_add_func("/pool/confirmation-without-added-endpoint",
                    test_confirmation_without_added_endpoint);
    g_test_add_func("/pool/sample-of-earlier-generation",
                    test_sample_of_earlier_generation);
    g_test_add_func("/pool/late-answer-of-promoted-replica",
                    test_late_answer_of_promoted_replica);
    g_test_add_func("/pool/replica-with-discarded-entries",
                    test_replica_with_discarded_entries);
    g_test_add_func("/pool/request-of-earlier-generation",
                    test_request_of_earlier_generation);
}
