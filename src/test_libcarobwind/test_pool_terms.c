/* Tests of how the pool treats an endpoint that reports itself as the primary:
 * in the term that it has just been promoted to, or in one that another
 * endpoint has superseded. */

#include <glib.h>

#include "pool_world.h"
#include "suites.h"

/* Long enough for several polls, and shorter than any wait of a promotion. */
#define POLLS (400 * Cbw_MSEC)

/* After that time, a promotion waits for a better log than e0's, which has
 * discarded entries. */
#define LOG_WAIT (15 * Cbw_SEC)

/* e0, which leads a superseded term, alone answers. */
static const endpoint_report_t superseded[] = {
    {.primary = true, .term = 3, .position = {3, 12}},
    {.unresponsive = true},
    {.unresponsive = true}};

/* Has e0 promoted by an operator's order. */
static void
promote_with_loss(pool_world_t *world, cbw_time_t wait)
{
    g_assert_false(PoolWorld_RunUntilOrder(world, wait, superseded));
    g_assert_cmpint(CbwPool_AcceptLoss(&world->pool, world->now, "e0", NULL),
                    ==, 0);
    g_assert_true(PoolWorld_RunUntilOrder(world, POLLS, superseded));
    g_assert_cmpstr(world->promotion_target, ==, "e0");
}

/* e1 is promoted to term 4 after e0 was unlisted, and e0 is listed again. It
 * still leads term 3, in which its log has grown. */
static void
promote_e1(pool_world_t *world)
{
    static const endpoint_report_t before[] = {
        {.unresponsive = true}, {.term = 3}, {.term = 3}};
    static const endpoint_report_t after[] = {
        {.unresponsive = true}, {.primary = true, .term = 4}, {.term = 3}};

    PoolWorld_Init(world);
    world->unlisted[0] = true;
    PoolWorld_SetEndpoints(world);
    g_assert_true(PoolWorld_RunUntilOrder(world, Cbw_SEC, before));
    g_assert_cmpstr(world->promotion_target, ==, "e1");
    CbwPool_OnPromoteReply(&world->pool, world->now, CBW_PROMOTE_ACCEPTED);
    PoolWorld_Run(world, POLLS, after);
    g_assert_cmpstr(world->record.primary, ==, "e1");
    g_assert_false(world->record.promoting);
    world->reports_primary[1] = true;
    world->unlisted[0] = false;
    PoolWorld_SetEndpoints(world);
}

/* A candidate that still leads a superseded term has not been promoted yet:
 * writes that it commits in that term would be acknowledged. */
static void
test_superseded_candidate(void)
{
    static const endpoint_report_t promoted[] = {
        {.primary = true, .term = 5, .position = {3, 12}},
        {.unresponsive = true},
        {.unresponsive = true}};
    pool_world_t world;
    cbw_request_t *write;

    promote_e1(&world);
    promote_with_loss(&world, LOG_WAIT);
    CbwPool_OnPromoteReply(&world.pool, world.now, CBW_PROMOTE_ACCEPTED);
    write = PoolWorld_NewRequest(&world, true, CBW_READ_LATEST);
    PoolWorld_Submit(&world, write);
    PoolWorld_Run(&world, POLLS, superseded);
    g_assert_true(world.record.promoting);
    g_assert_null(PoolWorld_LastOpenCall(&world, CBW_CALL_RUN));
    PoolWorld_Run(&world, POLLS, promoted);
    g_assert_cmpstr(world.record.primary, ==, "e0");
    g_assert_cmpint(PoolWorld_LastOpenCall(&world, CBW_CALL_RUN)->endpoint, ==,
                    0);
    PoolWorld_Finish(&world);
    PoolWorld_FreeRequest(write);
}

/* An owner that did not see the promotion of e1 itself knows its term from the
 * record. */
static void
test_superseded_candidate_after_take_over(void)
{
    pool_world_t world;

    PoolWorld_Init(&world);
    world.record.epoch++;
    world.record.term = 4;
    CbwTermHistory_Add(&world.record.history, (cbw_term_start_t){4, 9});
    g_strlcpy(world.record.primary, "e1", sizeof(world.record.primary));
    world.version++;
    promote_with_loss(&world, Cbw_SEC + LOG_WAIT);
    CbwPool_OnPromoteReply(&world.pool, world.now, CBW_PROMOTE_ACCEPTED);
    /* Neither after the wait for an order that changes nothing. */
    PoolWorld_Run(&world, Cbw_POOL_PROMOTION_RETRY_AFTER + POLLS, superseded);
    g_assert_true(world.record.promoting);
    PoolWorld_Finish(&world);
}

/* A primary that was not listed when it was replaced is told to step down when
 * it is listed again, until it reports that it did. */
static void
test_superseded_primary_returns(void)
{
    static const endpoint_report_t outdated[] = {
        {.primary = true, .term = 3}, {.primary = true, .term = 4}, {0}};
    static const endpoint_report_t stepped_down[] = {
        {.term = 4}, {.primary = true, .term = 4}, {0}};
    pool_world_t world;
    const sent_call_t *sent;

    promote_e1(&world);
    world.step_downs = 0;
    PoolWorld_Run(&world, Cbw_SEC, outdated);
    g_assert_cmpint(world.step_downs, >=, 2);
    PoolWorld_Tick(&world, Cbw_POOL_DOWN_RETRY_INTERVAL);
    sent = PoolWorld_LastOpenCall(&world, CBW_CALL_STEP_DOWN);
    g_assert_nonnull(sent);
    g_assert_true(world.pool.endpoints[sent->endpoint].info.name[1] == '0');
    g_assert_cmpuint(sent->call.term, ==, 4);
    PoolWorld_Run(&world, POLLS, stepped_down);
    world.step_downs = 0;
    PoolWorld_Run(&world, Cbw_SEC, stepped_down);
    g_assert_cmpint(world.step_downs, ==, 0);
    PoolWorld_Finish(&world);
}

/* A previous primary that is listed is told to step down for the new
 * primary's term, which is above that of the log that it begins with. */
static void
test_previous_primary_steps_down(void)
{
    static const endpoint_report_t before[] = {
        {.unresponsive = true}, {.term = 3}, {.term = 3}};
    static const endpoint_report_t after[] = {
        {.unresponsive = true}, {.primary = true, .term = 4}, {.term = 3}};
    pool_world_t world;
    const sent_call_t *sent = NULL;

    PoolWorld_Init(&world);
    g_assert_true(PoolWorld_RunUntilOrder(&world, 4 * Cbw_SEC, before));
    CbwPool_OnPromoteReply(&world.pool, world.now, CBW_PROMOTE_ACCEPTED);
    for (int i = 0; i < 50 && sent == NULL; i++) {
        PoolWorld_Run(&world, 20 * Cbw_MSEC, after);
        sent = PoolWorld_LastOpenCall(&world, CBW_CALL_STEP_DOWN);
    }
    g_assert_nonnull(sent);
    g_assert_cmpint(sent->endpoint, ==, 0);
    g_assert_cmpuint(sent->call.term, ==, 4);
    PoolWorld_Finish(&world);
}

/* An inherited promotion of which the order has taken effect. */
typedef struct {
    const char *name;
    uint64_t record_term; /* of the previous primary, e0 */
    endpoint_report_t reports[3];
    bool waits; /* for an order that does not change the term */
    bool ends;
} inherited_case_t;

static const inherited_case_t inherited_cases[] = {
    {"all others report lower terms",
     3,
     {{.unresponsive = true}, {.primary = true, .term = 4}, {.term = 3}},
     false,
     true},
    {"one does not answer",
     3,
     {{.unresponsive = true},
      {.primary = true, .term = 4},
      {.unresponsive = true}},
     true,
     true},
    {"one reports a higher term",
     3,
     {{.unresponsive = true},
      {.primary = true, .term = 4, .position = {4, 1}},
      {.term = 5}},
     true,
     false},
    {"the previous primary's term is not known",
     0,
     {{.unresponsive = true}, {.primary = true, .term = 4}, {.term = 3}},
     true,
     true},
    {"the previous primary answers",
     0,
     {{.term = 4}, {.primary = true, .term = 4}, {.term = 3}},
     false,
     true},
};

/* The order to promote the present primary changes nothing, not even its term.
 * It ends the promotion at once if nothing contradicts that primary, and else
 * when the order has had time to take effect. */
static void
test_inherited_promotion(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(inherited_cases); i++) {
        const inherited_case_t *c = &inherited_cases[i];
        pool_world_t world;

        g_test_message("%s", c->name);
        PoolWorld_Init(&world);
        world.record.holder.nonce = 99;
        g_strlcpy(world.record.holder.host, "other",
                  sizeof(world.record.holder.host));
        world.record.epoch++;
        world.record.term = c->record_term;
        world.record.promoting = true;
        world.version++;
        PoolWorld_Tick(&world, Cbw_TENURE_RENEW_INTERVAL);
        CbwPool_OnHolderUnreachable(&world.pool, world.now, 99);
        g_assert_true(
            PoolWorld_RunUntilOrder(&world, 12 * Cbw_SEC, c->reports));
        g_assert_cmpstr(world.promotion_target, ==, "e1");
        CbwPool_OnPromoteReply(&world.pool, world.now, CBW_PROMOTE_ACCEPTED);
        PoolWorld_Run(&world, POLLS, c->reports);
        g_assert_cmpint(world.record.promoting, ==, c->waits);
        PoolWorld_Run(&world, Cbw_POOL_PROMOTION_RETRY_AFTER + POLLS,
                      c->reports);
        g_assert_cmpint(world.record.promoting, ==, !c->ends);
        PoolWorld_Finish(&world);
    }
}

/* While the store is unresponsive, an endpoint that leads a superseded term is
 * not confirmed by the endpoints that do not know of it either. */
static void
test_superseded_primary_is_not_confirmed(void)
{
    static const endpoint_report_t outdated[] = {
        {.primary = true, .term = 3}, {.unresponsive = true}, {.term = 3}};
    pool_world_t world;
    cbw_request_t *write;
    bool used = false;

    promote_e1(&world);
    world.unlisted[1] = true;
    PoolWorld_SetEndpoints(&world);
    write = PoolWorld_NewRequest(&world, true, CBW_READ_LATEST);
    write->deadline = world.now + 60 * Cbw_SEC;
    PoolWorld_Submit(&world, write);
    for (int i = 0; i < 500; i++) {
        world.now += 20 * Cbw_MSEC;
        CbwPool_Tick(&world.pool, world.now, true);
        PoolWorld_AnswerStates(&world, outdated);
        world.sent_count = 0;
        world.pool.last_submit_at = world.now;
        if (world.read_pending || world.swap_pending) {
            bool swap = world.swap_pending;
            world.read_pending = false;
            world.swap_pending = false;
            if (swap) {
                CbwPool_OnSwap(&world.pool, world.now, CBW_STORE_LOST, 0);
            }
            else {
                CbwPool_OnRecord(&world.pool, world.now, CBW_STORE_LOST, 0,
                                 NULL);
            }
        }
        used |= world.pool.primary >= 0;
    }
    g_assert_false(used);
    g_assert_cmpint(write->attempts, ==, 0);
    PoolWorld_Finish(&world);
    PoolWorld_FreeRequest(write);
}

/* The first record of a database names the primary of the highest term if
 * several endpoints say that they are the primary. */
static void
test_first_record(void)
{
    static const endpoint_report_t reports[] = {
        {.primary = true, .term = 4}, {.primary = true, .term = 3}, {0}};
    pool_world_t world;

    PoolWorld_InitPool(&world);
    world.reports_primary[1] = true;
    PoolWorld_SetEndpoints(&world);
    PoolWorld_Run(&world, 2 * Cbw_SEC, reports);
    g_assert_cmpuint(world.version, >, 0);
    g_assert_cmpstr(world.record.primary, ==, "e0");
    PoolWorld_Finish(&world);
}

/* A primary that was replaced continued to write: its log has entries that its
 * successor lacked. It is not promoted again if another endpoint can be, and
 * serves no read before it has discarded them: entries that reads have not
 * shown since would reappear. */
static void
test_discarded_entries(void)
{
    static const endpoint_report_t before[] = {
        {.term = 4, .position = {3, 12}},
        {.primary = true, .term = 4},
        {.unresponsive = true}};
    static const endpoint_report_t after[] = {
        {.term = 4, .position = {3, 12}}, {.unresponsive = true}, {.term = 3}};
    pool_world_t world;
    cbw_request_t *read;
    sent_call_t *sent;

    promote_e1(&world);
    PoolWorld_Run(&world, Cbw_SEC, before);
    read = PoolWorld_NewRequest(&world, false, CBW_READ_BOUNDED);
    PoolWorld_Submit(&world, read);
    sent = PoolWorld_LastOpenCall(&world, CBW_CALL_RUN);
    g_assert_nonnull(sent);
    g_assert_true(world.pool.endpoints[sent->endpoint].info.name[1] != '0');
    PoolWorld_Reply(&world, sent, CBW_REPLY_OK, 9);
    g_assert_true(PoolWorld_RunUntilOrder(&world, 3 * Cbw_SEC, after));
    g_assert_cmpstr(world.promotion_target, ==, "e2");
    PoolWorld_Finish(&world);
    PoolWorld_FreeRequest(read);
}

/* The position in the answer states the term of a commit: one of a superseded
 * term is not acknowledged, whichever endpoint is the primary now. */
static void
test_commit_of_superseded_term(void)
{
    static const endpoint_report_t reports[] = {
        {.term = 4}, {.primary = true, .term = 4}, {.term = 4}};

    for (uint64_t term = 3; term <= 4; term++) {
        pool_world_t world;
        cbw_request_t *write;
        sent_call_t *sent;
        cbw_reply_t reply = {.status = CBW_REPLY_OK,
                             .result = "",
                             .state = {.last_term = term, .position = 12}};

        promote_e1(&world);
        PoolWorld_Run(&world, POLLS, reports);
        write = PoolWorld_NewRequest(&world, true, CBW_READ_LATEST);
        PoolWorld_Submit(&world, write);
        sent = PoolWorld_LastOpenCall(&world, CBW_CALL_RUN);
        g_assert_nonnull(sent);
        sent->open = false;
        CbwPool_OnReply(&world.pool, world.now, sent->id, &reply);
        g_assert_true(world.last_answered == write);
        g_assert_cmpint(write->answer.outcome, ==,
                        term < 4 ? CBW_OUTCOME_UNKNOWN : CBW_OUTCOME_DONE);
        PoolWorld_Finish(&world);
        PoolWorld_FreeRequest(write);
    }
}

/* A primary that was unlisted, and returns when no other endpoint is left in
 * its unfinished promotion, is promoted itself: nothing else could serve. */
static void
test_previous_primary_is_last_resort(void)
{
    static const endpoint_report_t before[] = {
        {.unresponsive = true}, {.term = 3}, {.term = 3}};
    static const endpoint_report_t alone[] = {
        {.primary = true, .term = 3}, {.unresponsive = true}, {0}};
    static const endpoint_report_t promoted[] = {
        {.primary = true, .term = 5}, {.unresponsive = true}, {0}};
    pool_world_t world;

    PoolWorld_Init(&world);
    world.unlisted[0] = true;
    PoolWorld_SetEndpoints(&world);
    g_assert_true(PoolWorld_RunUntilOrder(&world, Cbw_SEC, before));
    CbwPool_OnPromoteReply(&world.pool, world.now, CBW_PROMOTE_ACCEPTED);
    world.unlisted[0] = false;
    world.unlisted[2] = true;
    PoolWorld_SetEndpoints(&world);
    g_assert_false(PoolWorld_RunUntilOrder(
        &world, Cbw_POOL_PROMOTION_RETRY_AFTER - 100 * Cbw_MSEC, alone));
    g_assert_true(PoolWorld_RunUntilOrder(
        &world, 2 * Cbw_POOL_PROMOTION_RETRY_AFTER, alone));
    g_assert_cmpstr(world.promotion_target, ==, "e0");
    CbwPool_OnPromoteReply(&world.pool, world.now, CBW_PROMOTE_ACCEPTED);
    PoolWorld_Run(&world, POLLS, alone);
    g_assert_true(world.record.promoting);
    PoolWorld_Run(&world, POLLS, promoted);
    g_assert_cmpstr(world.record.primary, ==, "e0");
    g_assert_false(world.record.promoting);
    PoolWorld_Finish(&world);
}

/* A group that was set up again begins with a low term: removing its record
 * makes the owner discard the previous terms. */
static void
test_removed_record_resets_terms(void)
{
    static const endpoint_report_t reports[] = {
        {.primary = true, .term = 1, .position = {1, 1}},
        {.term = 1, .position = {1, 1}},
        {.term = 1, .position = {1, 1}}};
    pool_world_t world;
    cbw_request_t *write;
    sent_call_t *sent;
    cbw_reply_t reply = {.status = CBW_REPLY_OK,
                         .result = "",
                         .state = {.last_term = 1, .position = 2}};

    promote_e1(&world);
    world.reports_primary[1] = false;
    PoolWorld_SetEndpoints(&world);
    world.version = 0;
    PoolWorld_Run(&world, 3 * Cbw_SEC, reports);
    g_assert_cmpstr(world.record.primary, ==, "e0");
    write = PoolWorld_NewRequest(&world, true, CBW_READ_LATEST);
    PoolWorld_Submit(&world, write);
    sent = PoolWorld_LastOpenCall(&world, CBW_CALL_RUN);
    g_assert_nonnull(sent);
    sent->open = false;
    CbwPool_OnReply(&world.pool, world.now, sent->id, &reply);
    g_assert_cmpint(write->answer.outcome, ==, CBW_OUTCOME_DONE);
    PoolWorld_Finish(&world);
    PoolWorld_FreeRequest(write);
}

void
Suite_AddPoolTerms(void)
{
    g_test_add_func("/pool/previous-primary-is-last-resort",
                    test_previous_primary_is_last_resort);
    g_test_add_func("/pool/removed-record-resets-terms",
                    test_removed_record_resets_terms);
    g_test_add_func("/pool/commit-of-superseded-term",
                    test_commit_of_superseded_term);
    g_test_add_func("/pool/discarded-entries", test_discarded_entries);
    g_test_add_func("/pool/superseded-candidate", test_superseded_candidate);
    g_test_add_func("/pool/superseded-candidate-after-take-over",
                    test_superseded_candidate_after_take_over);
    g_test_add_func("/pool/superseded-primary-returns",
                    test_superseded_primary_returns);
    g_test_add_func("/pool/previous-primary-steps-down",
                    test_previous_primary_steps_down);
    g_test_add_func("/pool/inherited-promotion", test_inherited_promotion);
    g_test_add_func("/pool/superseded-primary-is-not-confirmed",
                    test_superseded_primary_is_not_confirmed);
    g_test_add_func("/pool/first-record", test_first_record);
}
