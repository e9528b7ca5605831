#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "pool_world.h"
#include "suites.h"

/* The expected handling of a statement, by the reply to its call. */
typedef struct {
    const char *name;
    bool writes;
    cbw_reply_status_t status;
    bool ends; /* else it is sent again */
    cbw_outcome_t outcome;
    cbw_cause_t cause;
} reply_case_t;

static const reply_case_t reply_cases[] = {
    {"write", true, CBW_REPLY_OK, true, CBW_OUTCOME_DONE, CBW_CAUSE_NONE},
    {"read", false, CBW_REPLY_OK, true, CBW_OUTCOME_DONE, CBW_CAUSE_NONE},
    {"lost write", true, CBW_REPLY_LOST, true, CBW_OUTCOME_UNKNOWN,
     CBW_CAUSE_IN_DOUBT},
    {"lost read", false, CBW_REPLY_LOST, false, CBW_OUTCOME_PENDING,
     CBW_CAUSE_NONE},
    {"write refused as busy", true, CBW_REPLY_BUSY, false, CBW_OUTCOME_PENDING,
     CBW_CAUSE_NONE},
    {"write without a connection", true, CBW_REPLY_NO_CONNECTION, false,
     CBW_OUTCOME_PENDING, CBW_CAUSE_NONE},
    {"write refused by a replica", true, CBW_REPLY_NOT_PRIMARY, false,
     CBW_OUTCOME_PENDING, CBW_CAUSE_NONE},
    {"failed write", true, CBW_REPLY_FAILED, true, CBW_OUTCOME_UNKNOWN,
     CBW_CAUSE_FAILED},
    {"timed-out write", true, CBW_REPLY_TIMEOUT, true, CBW_OUTCOME_UNKNOWN,
     CBW_CAUSE_TIMEOUT},
    {"read with too large a result", false, CBW_REPLY_TOO_LARGE, true,
     CBW_OUTCOME_UNKNOWN, CBW_CAUSE_FAILED},
    {"write with too large a result", true, CBW_REPLY_TOO_LARGE, true,
     CBW_OUTCOME_UNKNOWN, CBW_CAUSE_IN_DOUBT},
    {"write in an unknown transaction", true, CBW_REPLY_MISPLACED, true,
     CBW_OUTCOME_UNKNOWN, CBW_CAUSE_IN_DOUBT},
    {"read in an unknown transaction", false, CBW_REPLY_MISPLACED, false,
     CBW_OUTCOME_PENDING, CBW_CAUSE_NONE},
};

static void
test_replies(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(reply_cases); i++) {
        const reply_case_t *c = &reply_cases[i];
        pool_world_t world;
        cbw_request_t *request;
        PoolWorld_Init(&world);
        request = PoolWorld_NewRequest(&world, c->writes, CBW_READ_LATEST);
        PoolWorld_Submit(&world, request);
        PoolWorld_Reply(&world, PoolWorld_LastOpenCall(&world, CBW_CALL_RUN),
                        c->status, 7);
        g_test_message("%s", c->name);
        if (c->ends) {
            g_assert_true(world.last_answered == request);
            g_assert_cmpint(request->answer.outcome, ==, c->outcome);
            g_assert_cmpint(request->answer.cause, ==, c->cause);
        }
        else {
            g_assert_null(world.last_answered);
            PoolWorld_Tick(&world, 50 * Cbw_MSEC);
            g_assert_nonnull(PoolWorld_LastOpenCall(&world, CBW_CALL_RUN));
        }
        PoolWorld_Finish(&world);
        PoolWorld_FreeRequest(request);
    }
}

/* A commit is not acknowledged when its answer arrives after the tenure has
 * expired, for example because the host was frozen, and another owner has
 * begun a promotion meanwhile. */
static void
test_commit_requires_valid_tenure(void)
{
    pool_world_t world;
    cbw_request_t *request;

    PoolWorld_Init(&world);
    request = PoolWorld_NewRequest(&world, true, CBW_READ_LATEST);
    request->deadline = world.now + 60 * Cbw_SEC;
    PoolWorld_Submit(&world, request);
    world.now += Cbw_TENURE_VALID_FOR + Cbw_SEC;
    PoolWorld_Reply(&world, PoolWorld_LastOpenCall(&world, CBW_CALL_RUN),
                    CBW_REPLY_OK, 7);
    g_assert_null(world.last_answered);
    /* Another owner has begun a promotion. */
    world.record.holder.nonce = 99;
    world.record.promoting = true;
    world.version++;
    PoolWorld_Tick(&world, 10 * Cbw_MSEC);
    g_assert_true(world.last_answered == request);
    g_assert_cmpint(request->answer.cause, ==, CBW_CAUSE_IN_DOUBT);
    PoolWorld_Finish(&world);
    PoolWorld_FreeRequest(request);
}

/* A session's read at a replica carries the position of the session's last
 * write; when the replica lacks it, the primary is read. */
static void
test_replica_read_carries_position(void)
{
    pool_world_t world;
    cbw_request_t *write;
    cbw_request_t *read;
    sent_call_t *sent;

    PoolWorld_Init(&world);
    write = PoolWorld_NewRequest(&world, true, CBW_READ_LATEST);
    PoolWorld_Submit(&world, write);
    PoolWorld_Reply(&world, PoolWorld_LastOpenCall(&world, CBW_CALL_RUN),
                    CBW_REPLY_OK, 7);
    world.now += 100 * Cbw_MSEC;
    read = PoolWorld_NewRequest(&world, false, CBW_READ_SESSION);
    snprintf(read->token, sizeof(read->token), "%s", write->answer.token);
    PoolWorld_Submit(&world, read);
    sent = PoolWorld_LastOpenCall(&world, CBW_CALL_RUN);
    g_assert_cmpint(sent->endpoint, !=, 0);
    g_assert_cmpuint(sent->call.min_term, ==, 3);
    g_assert_cmpuint(sent->call.min_position, ==, 7);
    /* The replica lacks the position. */
    PoolWorld_Reply(&world, sent, CBW_REPLY_BEHIND, 5);
    sent = PoolWorld_LastOpenCall(&world, CBW_CALL_RUN);
    g_assert_cmpint(sent->endpoint, ==, 0);
    PoolWorld_Reply(&world, sent, CBW_REPLY_OK, 7);
    g_assert_cmpint(read->answer.outcome, ==, CBW_OUTCOME_DONE);
    PoolWorld_Finish(&world);
    PoolWorld_FreeRequest(write);
    PoolWorld_FreeRequest(read);
}

/* A read of the largest size with a log position before it would exceed what
 * an endpoint takes: it goes to the primary, without one. */
static void
test_long_read_carries_no_position(void)
{
    static const struct {
        size_t size;
        bool begins; /* then the position goes with the BEGIN */
        bool at_primary;
    } reads[] = {
        {Cbw_POOL_POSITIONED_STATEMENT_MAX, false, false},
        {Cbw_POOL_POSITIONED_STATEMENT_MAX + 1, false, true},
        {Cbw_POOL_POSITIONED_STATEMENT_MAX + 1, true, false},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(reads); i++) {
        pool_world_t world;
        char *text = g_strnfill(reads[i].size, 'x');
        cbw_request_t *write;
        cbw_request_t *read;
        sent_call_t *sent;
        PoolWorld_Init(&world);
        write = PoolWorld_NewRequest(&world, true, CBW_READ_LATEST);
        PoolWorld_Submit(&world, write);
        PoolWorld_Reply(&world, PoolWorld_LastOpenCall(&world, CBW_CALL_RUN),
                        CBW_REPLY_OK, 7);
        world.now += 100 * Cbw_MSEC;
        read = PoolWorld_NewRequest(&world, false, CBW_READ_SESSION);
        CbwRequest_SetStatement(read, text, reads[i].size);
        read->transaction = reads[i].begins ? 5 : 0;
        read->begins = reads[i].begins;
        read->reads_only = reads[i].begins;
        PoolWorld_Submit(&world, read);
        sent = PoolWorld_LastOpenCall(&world, CBW_CALL_RUN);
        g_test_message("read %zu", i);
        g_assert_cmpint(sent->endpoint == 0, ==, reads[i].at_primary);
        g_assert_cmpint(sent->call.min_term == 0, ==, reads[i].at_primary);
        PoolWorld_Reply(&world, sent, CBW_REPLY_OK, 7);
        PoolWorld_Finish(&world);
        PoolWorld_FreeRequest(write);
        PoolWorld_FreeRequest(read);
        g_free(text);
    }
}

/* Answers all state calls: `primary` reports that role (-1: none), in term 4
 * if it was promoted, and `positions` are the endpoints' log positions. */
static void
answer_state_calls(pool_world_t *world, int primary, const uint64_t *positions)
{
    sent_call_t *sent;

    while ((sent = PoolWorld_LastOpenCall(world, CBW_CALL_STATE)) != NULL) {
        cbw_reply_t reply = {.status = CBW_REPLY_OK,
                             .state = {.primary = sent->endpoint == primary,
                                       .term = primary > 0 ? 4 : 3,
                                       .last_term = 3,
                                       .position = positions[sent->endpoint]}};
        sent->open = false;
        CbwPool_OnReply(&world->pool, world->now, sent->id, &reply);
        PoolWorld_ServeStore(world);
    }
}

static void
take_primary_down(pool_world_t *world)
{
    for (int i = 0; i < 40 && !world->pool.endpoints[0].down; i++) {
        sent_call_t *sent;
        PoolWorld_Tick(world, 100 * Cbw_MSEC);
        while ((sent = PoolWorld_LastOpenCall(world, CBW_CALL_STATE)) !=
               NULL) {
            PoolWorld_Reply(world, sent, CBW_REPLY_NO_CONNECTION, 0);
        }
    }
    g_assert_true(world->pool.endpoints[0].down);
}

/* The replica with the highest log position is promoted, with the version of
 * the record as fencing token. */
static void
test_promotes_most_advanced_replica(void)
{
    static const uint64_t positions[] = {9, 5, 8};
    pool_world_t world;
    cbw_request_t *write;

    PoolWorld_Init(&world);
    take_primary_down(&world);
    for (int i = 0; i < 10 && world.promotion_target[0] == '\0'; i++) {
        PoolWorld_Tick(&world, 10 * Cbw_MSEC);
        answer_state_calls(&world, -1, positions);
    }
    g_assert_cmpstr(world.promotion_target, ==, "e2");
    g_assert_cmpuint(world.fence, ==, world.version);
    g_assert_true(world.record.promoting);
    CbwPool_OnPromoteReply(&world.pool, world.now, CBW_PROMOTE_ACCEPTED);
    /* Nothing is sent to the candidate before it is the primary. */
    write = PoolWorld_NewRequest(&world, true, CBW_READ_LATEST);
    PoolWorld_Submit(&world, write);
    g_assert_null(PoolWorld_LastOpenCall(&world, CBW_CALL_RUN));
    for (int i = 0; i < 10 && world.record.promoting; i++) {
        PoolWorld_Tick(&world, 50 * Cbw_MSEC);
        answer_state_calls(&world, i > 2 ? 2 : -1, positions);
    }
    g_assert_cmpstr(world.record.primary, ==, "e2");
    PoolWorld_Tick(&world, 10 * Cbw_MSEC);
    g_assert_cmpint(PoolWorld_LastOpenCall(&world, CBW_CALL_RUN)->endpoint, ==,
                    2);
    PoolWorld_Finish(&world);
    PoolWorld_FreeRequest(write);
}

/* A pool promotes from its request until the new primary is in the record, and
 * at least until the request's lease is over. */
static void
test_promoting_until_published(void)
{
    static const endpoint_report_t lost[] = {
        {.unresponsive = true}, {.term = 3}, {.term = 3}};
    static const endpoint_report_t promoted[] = {
        {.unresponsive = true}, {.primary = true, .term = 4}, {.term = 3}};
    pool_world_t world;
    cbw_time_t answered_at;

    PoolWorld_Init(&world);
    take_primary_down(&world);
    g_assert_false(CbwPool_IsPromoting(&world.pool, world.now));
    g_assert_true(PoolWorld_RunUntilOrder(&world, Cbw_SEC, lost));
    g_assert_true(CbwPool_IsPromoting(&world.pool, world.now));
    g_assert_false(CbwPool_Release(&world.pool, world.now));
    CbwPool_OnPromoteReply(&world.pool, world.now, CBW_PROMOTE_ACCEPTED);
    answered_at = world.now;
    PoolWorld_Run(&world, Cbw_SEC, lost);
    g_assert_true(CbwPool_IsPromoting(&world.pool, world.now));
    PoolWorld_Run(&world, 200 * Cbw_MSEC, promoted);
    g_assert_false(world.record.promoting);
    while (world.now < answered_at + Cbw_POOL_ORDER_LEASE) {
        g_assert_true(CbwPool_IsPromoting(&world.pool, world.now));
        g_assert_false(CbwPool_Release(&world.pool, world.now));
        PoolWorld_Run(&world, 20 * Cbw_MSEC, promoted);
    }
    g_assert_false(CbwPool_IsPromoting(&world.pool, world.now));
    g_assert_true(CbwPool_Release(&world.pool, world.now));
    PoolWorld_Finish(&world);
}

/* Once another owner has taken over the promotion, the owner that began it
 * must return to serving, cancel its request and relinquish its tenure as soon
 * as the request's lease is over. If it kept its promotion phase and refused,
 * the other owner would wait 6 s for the tenure to expire. */
static void
test_promotion_taken_over_by_other_owner(void)
{
    static const uint64_t positions[] = {9, 5, 8};
    pool_world_t world;

    PoolWorld_Init(&world);
    take_primary_down(&world);
    for (int i = 0; i < 10 && world.promotion_target[0] == '\0'; i++) {
        PoolWorld_Tick(&world, 10 * Cbw_MSEC);
        answer_state_calls(&world, -1, positions);
    }
    g_assert_false(CbwPool_Relinquish(&world.pool, world.now));
    world.record.holder.nonce = 99;
    world.record.epoch++;
    world.version++;
    PoolWorld_Tick(&world, Cbw_TENURE_RENEW_INTERVAL);
    g_assert_cmpint(world.pool.phase, ==, CBW_POOL_SERVING);
    g_assert_cmpint(world.cancelled_orders, ==, 1);
    g_assert_false(CbwPool_Relinquish(&world.pool, world.now));
    PoolWorld_Tick(&world, Cbw_POOL_ORDER_LEASE);
    g_assert_true(CbwPool_Relinquish(&world.pool, world.now));
    PoolWorld_Finish(&world);
}

/* An owner that pauses after it has begun a promotion must not request it when
 * it resumes and its tenure has expired: another owner may have promoted
 * meanwhile, and the order would be sent twice. */
static void
test_paused_promoter_does_not_order(void)
{
    static const uint64_t positions[] = {9, 5, 8};
    pool_world_t world;

    PoolWorld_Init(&world);
    take_primary_down(&world);
    for (int i = 0; i < 10 && world.pool.phase != CBW_POOL_CHOOSING_CANDIDATE;
         i++) {
        PoolWorld_Tick(&world, 10 * Cbw_MSEC);
    }
    g_assert_cmpint(world.pool.phase, ==, CBW_POOL_CHOOSING_CANDIDATE);
    CbwPool_Tick(&world.pool, world.now, true);
    g_assert_nonnull(PoolWorld_LastOpenCall(&world, CBW_CALL_STATE));
    g_assert_cmpstr(world.promotion_target, ==, "");
    world.now += 20 * Cbw_SEC;
    world.record.holder.nonce = 99;
    world.record.epoch++;
    world.record.promoting = false;
    snprintf(world.record.primary, sizeof(world.record.primary), "e1");
    world.version++;
    /* The candidates' answers have arrived meanwhile. */
    answer_state_calls(&world, -1, positions);
    g_assert_cmpstr(world.promotion_target, ==, "");
    for (int i = 0; i < 5; i++) {
        PoolWorld_Tick(&world, 100 * Cbw_MSEC);
        answer_state_calls(&world, 1, positions);
    }
    g_assert_cmpstr(world.promotion_target, ==, "");
    g_assert_cmpint(world.pool.phase, ==, CBW_POOL_SERVING);
    PoolWorld_Finish(&world);
}

/* While another owner promotes, requests are redirected to it. This owner must
 * continue to read the record: it serves as soon as the promotion has ended.
 */
static void
test_serves_after_other_promotion(void)
{
    pool_world_t world;

    PoolWorld_Init(&world);
    world.record.holder.nonce = 99;
    snprintf(world.record.holder.host, sizeof(world.record.holder.host),
             "other");
    world.record.epoch++;
    world.record.promoting = true;
    world.version++;
    PoolWorld_Tick(&world, Cbw_TENURE_RENEW_INTERVAL);
    g_assert_cmpstr(world.redirected_to, ==, "other");
    for (int i = 0; i < 50; i++) {
        PoolWorld_Tick(&world, 20 * Cbw_MSEC);
    }
    g_assert_false(CbwTenure_IsValid(&world.pool.tenure, world.now));
    world.record.promoting = false;
    snprintf(world.record.primary, sizeof(world.record.primary), "e1");
    memset(&world.record.holder, 0, sizeof(world.record.holder));
    world.version++;
    for (int i = 0; i < 20; i++) {
        PoolWorld_Tick(&world, 20 * Cbw_MSEC);
    }
    g_assert_true(CbwTenure_IsValid(&world.pool.tenure, world.now));
    g_assert_cmpint(world.pool.primary, ==, 1);
    g_assert_cmpint(world.pool.redirected_until, <=, world.now);
    PoolWorld_Finish(&world);
}

/* State calls to a candidate that is busy with reads must not open a
 * connection each: they would use up the connections, so that the candidate
 * counts as down and another one is ordered. */
static void
test_polls_of_candidate_reuse_connections(void)
{
    static const uint64_t positions[] = {9, 5, 8};
    pool_world_t world;
    cbw_request_t *read;
    int opened = 0;
    int polls = 0;

    PoolWorld_Init(&world);
    take_primary_down(&world);
    for (int i = 0; i < 10 && world.promotion_target[0] == '\0'; i++) {
        PoolWorld_Tick(&world, 10 * Cbw_MSEC);
        answer_state_calls(&world, -1, positions);
    }
    CbwPool_OnPromoteReply(&world.pool, world.now, CBW_PROMOTE_ACCEPTED);
    read = PoolWorld_NewRequest(&world, false, CBW_READ_BOUNDED);
    for (int i = 0; i < 20; i++) {
        sent_call_t *sent;
        /* A read stays in flight at the candidate. */
        world.pool.endpoints[2].unanswered_since = world.now;
        PoolWorld_Tick(&world, 50 * Cbw_MSEC);
        while ((sent = PoolWorld_LastOpenCall(&world, CBW_CALL_STATE)) !=
               NULL) {
            polls += sent->endpoint == 2;
            opened += sent->endpoint == 2 && sent->call.new_connection;
            PoolWorld_Reply(&world, sent, CBW_REPLY_OK, 8);
        }
    }
    g_assert_cmpint(polls, >=, 10);
    g_assert_cmpint(opened, ==, 0);
    PoolWorld_Finish(&world);
    PoolWorld_FreeRequest(read);
}

/* A candidate that refused the promotion, as it is not running, is not chosen
 * again: the next one is. */
static void
test_refused_candidate_is_skipped(void)
{
    static const uint64_t positions[] = {9, 5, 8};
    pool_world_t world;

    PoolWorld_Init(&world);
    take_primary_down(&world);
    for (int i = 0; i < 10 && world.promotion_target[0] == '\0'; i++) {
        PoolWorld_Tick(&world, 10 * Cbw_MSEC);
        answer_state_calls(&world, -1, positions);
    }
    world.promotion_target[0] = '\0';
    CbwPool_OnPromoteReply(&world.pool, world.now, CBW_PROMOTE_REFUSED);
    for (int i = 0; i < 10 && world.promotion_target[0] == '\0'; i++) {
        PoolWorld_Tick(&world, 20 * Cbw_MSEC);
        answer_state_calls(&world, -1, positions);
    }
    g_assert_cmpstr(world.promotion_target, ==, "e1");
    PoolWorld_Finish(&world);
}

/* Lost answers alone do not mark an endpoint as down: a state call on a new
 * connection decides. */
static void
test_lost_answer_does_not_mark_down(void)
{
    static const uint64_t positions[] = {7, 7, 7};
    pool_world_t world;

    PoolWorld_Init(&world);
    for (int i = 0; i < 5; i++) {
        cbw_request_t *write =
            PoolWorld_NewRequest(&world, true, CBW_READ_LATEST);
        PoolWorld_Submit(&world, write);
        PoolWorld_Reply(&world, PoolWorld_LastOpenCall(&world, CBW_CALL_RUN),
                        CBW_REPLY_LOST, 0);
        PoolWorld_FreeRequest(write);
        PoolWorld_Tick(&world, 10 * Cbw_MSEC);
        g_assert_true(PoolWorld_LastOpenCall(&world, CBW_CALL_STATE)
                          ->call.new_connection);
        answer_state_calls(&world, 0, positions);
    }
    g_assert_false(world.pool.endpoints[0].down);
    PoolWorld_Finish(&world);
}

/* A leaving primary is replaced after its running writes have ended; new
 * writes wait. */
static void
test_leaving_primary_is_drained(void)
{
    static const uint64_t positions[] = {9, 9, 9};
    pool_world_t world;
    cbw_request_t *write;
    cbw_request_t *second;

    PoolWorld_Init(&world);
    write = PoolWorld_NewRequest(&world, true, CBW_READ_LATEST);
    PoolWorld_Submit(&world, write);
    world.leaving[0] = true;
    PoolWorld_SetEndpoints(&world);
    PoolWorld_Tick(&world, 10 * Cbw_MSEC);
    second = PoolWorld_NewRequest(&world, true, CBW_READ_LATEST);
    PoolWorld_Submit(&world, second);
    g_assert_cmpint(world.pool.phase, ==, CBW_POOL_DRAINING);
    PoolWorld_Reply(&world, PoolWorld_LastOpenCall(&world, CBW_CALL_RUN),
                    CBW_REPLY_OK, 9);
    g_assert_cmpint(write->answer.outcome, ==, CBW_OUTCOME_DONE);
    /* The second write waits. */
    g_assert_null(PoolWorld_LastOpenCall(&world, CBW_CALL_RUN));
    for (int i = 0; i < 20 && world.promotion_target[0] == '\0'; i++) {
        PoolWorld_Tick(&world, 20 * Cbw_MSEC);
        answer_state_calls(&world, 0, positions);
    }
    g_assert_cmpstr(world.promotion_target, !=, "");
    g_assert_cmpstr(world.promotion_target, !=, "e0");
    PoolWorld_Finish(&world);
    PoolWorld_FreeRequest(write);
    PoolWorld_FreeRequest(second);
}

/* An endpoint that is listed while a promotion has no candidate is asked, and
 * ordered, at once. */
static void
test_new_endpoint_is_promoted(void)
{
    static const endpoint_report_t reports[] = {
        {.unresponsive = true}, {.unresponsive = true}, {.term = 3}};
    pool_world_t world;

    PoolWorld_Init(&world);
    world.unlisted[1] = true;
    world.unlisted[2] = true;
    PoolWorld_SetEndpoints(&world);
    while (!world.record.promoting) {
        PoolWorld_Run(&world, 20 * Cbw_MSEC, reports);
    }
    PoolWorld_Run(&world, 500 * Cbw_MSEC, reports);
    world.unlisted[2] = false;
    PoolWorld_SetEndpoints(&world);
    g_assert_true(PoolWorld_RunUntilOrder(&world, 100 * Cbw_MSEC, reports));
    g_assert_cmpstr(world.promotion_target, ==, "e2");
    PoolWorld_Finish(&world);
}

/* A new owner does not know the end of the log of a leaving primary: a replica
 * counts as caught up only after a reply of the primary. */
static void
test_new_owner_drains_primary(void)
{
    static const endpoint_report_t behind[] = {
        {.primary = true, .term = 3},
        {.term = 3, .position = {3, 7}},
        {.term = 3, .position = {3, 7}}};
    static const endpoint_report_t caught_up[] = {
        {.primary = true, .term = 3},
        {.term = 3, .position = {3, 7}},
        {.term = 3}};
    pool_world_t world;

    PoolWorld_Init(&world);
    world.leaving[0] = true;
    PoolWorld_SetEndpoints(&world);
    g_assert_false(PoolWorld_RunUntilOrder(
        &world, Cbw_POOL_DRAIN_TIMEOUT - 200 * Cbw_MSEC, behind));
    g_assert_true(PoolWorld_RunUntilOrder(&world, 150 * Cbw_MSEC, caught_up));
    g_assert_cmpstr(world.promotion_target, ==, "e2");
    PoolWorld_Finish(&world);
}

/* While its queue cannot be served, a request is refused after a quarter of
 * its latency target (Cbw_POOL_BLOCKED_WAIT_DIVISOR). */
static void
test_blocked_request_is_refused_early(void)
{
    pool_world_t world;
    cbw_request_t *write;

    PoolWorld_Init(&world);
    take_primary_down(&world);
    world.pool.phase = CBW_POOL_REQUESTING_PROMOTION; /* without a reply */
    write = PoolWorld_NewRequest(&world, true, CBW_READ_LATEST);
    write->target = 200 * Cbw_MSEC;
    PoolWorld_Submit(&world, write);
    PoolWorld_Tick(&world, 60 * Cbw_MSEC);
    g_assert_true(world.last_answered == write);
    g_assert_cmpint(write->answer.outcome, ==, CBW_OUTCOME_NOTRUN);
    g_assert_cmpint(write->answer.retry_after, >, 0);
    PoolWorld_Finish(&world);
    PoolWorld_FreeRequest(write);
}

/* A queued request is refused after 60 % of its latency target, which leaves
 * room for retries: with a deadline of three targets, the caller's third
 * attempt is queued for at most half of the time left. */
static void
test_long_wait_is_refused_early(void)
{
    pool_world_t world;
    cbw_request_t *writes[4];

    PoolWorld_Init(&world);
    for (size_t i = 0; i < G_N_ELEMENTS(writes); i++) {
        writes[i] = PoolWorld_NewRequest(&world, true, CBW_READ_LATEST);
        writes[i]->target = 1000 * Cbw_MSEC;
        writes[i]->deadline = world.now + 3000 * Cbw_MSEC;
        PoolWorld_Submit(&world, writes[i]);
    }
    world.now += 590 * Cbw_MSEC;
    CbwPool_Tick(&world.pool, world.now, true);
    g_assert_null(world.last_answered);
    world.now += 20 * Cbw_MSEC;
    CbwPool_Tick(&world.pool, world.now, true);
    g_assert_true(world.last_answered == writes[3]);
    g_assert_cmpint(writes[3]->answer.outcome, ==, CBW_OUTCOME_NOTRUN);
    PoolWorld_Finish(&world);
    for (size_t i = 0; i < G_N_ELEMENTS(writes); i++) {
        PoolWorld_FreeRequest(writes[i]);
    }
}

/* Makes another owner the holder in the record. */
static void
set_other_holder(pool_world_t *world)
{
    world->version++;
    world->record.holder = (cbw_tenure_holder_t){.nonce = NONCE + 1};
    g_strlcpy(world->record.holder.host, "other", Cbw_NAME_MAX);
    PoolWorld_Tick(world, Cbw_TENURE_RENEW_INTERVAL);
}

/* Hosts that see different members must not take a database from each other:
 * an owner that is not assigned the database redirects requests to the holder.
 */
static void
test_unassigned_owner_redirects_to_holder(void)
{
    pool_world_t world;
    cbw_request_t *request;
    uint64_t version;

    PoolWorld_Init(&world);
    CbwPool_SetAssigned(&world.pool, false);
    set_other_holder(&world);
    version = world.version;
    /* Until its own tenure has expired it serves requests itself. */
    for (int i = 0; i < 70; i++) {
        PoolWorld_Tick(&world, 100 * Cbw_MSEC);
    }
    request = PoolWorld_NewRequest(&world, true, CBW_READ_LATEST);
    PoolWorld_Submit(&world, request);
    for (int i = 0; i < 6; i++) {
        PoolWorld_Tick(&world, 100 * Cbw_MSEC);
    }
    g_assert_true(world.last_answered == request);
    g_assert_cmpint(request->answer.outcome, ==, CBW_OUTCOME_PENDING);
    g_assert_cmpstr(world.redirected_to, ==, "other");
    g_assert_cmpuint(world.version, ==, version);
    PoolWorld_FreeRequest(request);
    PoolWorld_Finish(&world);
}

/* An owner takes over the tenure when a request could not be delivered to the
 * holder, and when the database is assigned to it. */
static void
test_takes_over_from_holder(void)
{
    for (int assigned = 0; assigned < 2; assigned++) {
        pool_world_t world;
        cbw_request_t *request;

        PoolWorld_Init(&world);
        CbwPool_SetAssigned(&world.pool, false);
        set_other_holder(&world);
        PoolWorld_Tick(&world, 100 * Cbw_MSEC);
        g_assert_cmpuint(world.record.holder.nonce, ==, NONCE + 1);
        CbwPool_SetAssigned(&world.pool, assigned);
        request = PoolWorld_NewRequest(&world, true, CBW_READ_LATEST);
        request->takes_over = !assigned;
        request->deadline = world.now + 5 * Cbw_SEC;
        PoolWorld_Submit(&world, request);
        for (int i = 0; i < 20; i++) {
            PoolWorld_Tick(&world, 50 * Cbw_MSEC);
        }
        g_assert_cmpuint(world.record.holder.nonce, ==, NONCE);
        PoolWorld_Finish(&world);
        PoolWorld_FreeRequest(request);
    }
}

/* The idle timeout of transactions can be set, and 0 sets the default, which
 * is shorter than the time that this transaction has been idle. */
static void
test_transaction_idle_timeout(void)
{
    pool_world_t world;
    cbw_request_t *request;

    PoolWorld_Init(&world);
    CbwPool_SetTransactionIdleTimeout(&world.pool, 8 * Cbw_SEC);
    request = PoolWorld_NewRequest(&world, true, CBW_READ_LATEST);
    request->transaction = 7;
    request->begins = true;
    PoolWorld_Submit(&world, request);
    PoolWorld_Reply(&world, PoolWorld_LastOpenCall(&world, CBW_CALL_RUN),
                    CBW_REPLY_OK, 5);
    PoolWorld_FreeRequest(request);
    PoolWorld_Tick(&world, 4 * Cbw_SEC);
    g_assert_false(CbwPool_IsIdle(&world.pool));
    CbwPool_SetTransactionIdleTimeout(&world.pool, 0);
    PoolWorld_Tick(&world, 1 * Cbw_MSEC);
    g_assert_true(CbwPool_IsIdle(&world.pool));
    PoolWorld_Finish(&world);
}

/* Guards against sending a request that the endpoints' protocol cannot carry:
 * parts of it would run as separate messages. A transaction that it belongs to
 * ends. */
static void
test_uncarried_request_is_sent(void)
{
    for (int within = 0; within < 2; within++) {
        pool_world_t world;
        cbw_request_t *request;

        PoolWorld_Init(&world);
        request = PoolWorld_NewRequest(&world, true, CBW_READ_LATEST);
        request->transaction = 7;
        request->begins = true;
        PoolWorld_Submit(&world, request);
        PoolWorld_Reply(&world, PoolWorld_LastOpenCall(&world, CBW_CALL_RUN),
                        CBW_REPLY_OK, 5);
        PoolWorld_FreeRequest(request);
        request = PoolWorld_NewRequest(&world, true, CBW_READ_LATEST);
        request->transaction = within ? 7 : 0;
        world.carries_nothing = true;
        PoolWorld_Submit(&world, request);
        g_assert_null(PoolWorld_LastOpenCall(&world, CBW_CALL_RUN));
        g_assert_true(world.last_answered == request);
        g_assert_cmpint(request->answer.outcome, ==, CBW_OUTCOME_NOTRUN);
        g_assert_cmpint(request->answer.cause, ==, CBW_CAUSE_MALFORMED);
        g_assert_cmpint(world.transactions_ended, ==, within);
        g_assert_true(CbwPool_IsIdle(&world.pool) == (within == 1));
        PoolWorld_FreeRequest(request);
        PoolWorld_Finish(&world);
    }
}

/* Guards against a transaction that is begun twice and never ends: the pool
 * would take the reply to one copy for the other's, which stays busy and does
 * not expire. */
static void
test_transaction_begun_twice(void)
{
    pool_world_t world;
    cbw_request_t *copies[2];

    PoolWorld_Init(&world);
    for (int i = 0; i < 2; i++) {
        copies[i] = PoolWorld_NewRequest(&world, true, CBW_READ_LATEST);
        copies[i]->transaction = 7;
        copies[i]->begins = true;
        PoolWorld_Submit(&world, copies[i]);
    }
    /* The second copy is not sent. */
    g_assert_true(world.last_answered == copies[1]);
    g_assert_cmpint(copies[1]->answer.outcome, ==, CBW_OUTCOME_NOTRUN);
    g_assert_cmpint(copies[1]->answer.cause, ==, CBW_CAUSE_ABORTED);
    PoolWorld_Reply(&world, PoolWorld_LastOpenCall(&world, CBW_CALL_RUN),
                    CBW_REPLY_OK, 5);
    g_assert_cmpint(copies[0]->answer.outcome, ==, CBW_OUTCOME_DONE);
    g_assert_null(PoolWorld_LastOpenCall(&world, CBW_CALL_RUN));
    PoolWorld_Tick(&world, 2 * Cbw_POOL_TRANSACTION_IDLE_TIMEOUT);
    g_assert_true(CbwPool_IsIdle(&world.pool));
    for (int i = 0; i < 2; i++) {
        PoolWorld_FreeRequest(copies[i]);
    }
    PoolWorld_Finish(&world);
}

/* A read that did not run in its transaction was answered as if the writes
 * before it were rolled back, which is not known. */
static void
test_misplaced_read_claims_rollback(void)
{
    pool_world_t world;
    cbw_request_t *write;
    cbw_request_t *read;

    PoolWorld_Init(&world);
    write = PoolWorld_NewRequest(&world, true, CBW_READ_LATEST);
    write->transaction = 7;
    write->begins = true;
    PoolWorld_Submit(&world, write);
    PoolWorld_Reply(&world, PoolWorld_LastOpenCall(&world, CBW_CALL_RUN),
                    CBW_REPLY_OK, 5);
    read = PoolWorld_NewRequest(&world, false, CBW_READ_LATEST);
    read->transaction = 7;
    PoolWorld_Submit(&world, read);
    PoolWorld_Reply(&world, PoolWorld_LastOpenCall(&world, CBW_CALL_RUN),
                    CBW_REPLY_MISPLACED, 5);
    g_assert_true(world.last_answered == read);
    g_assert_cmpint(read->answer.outcome, ==, CBW_OUTCOME_UNKNOWN);
    g_assert_cmpint(read->answer.cause, ==, CBW_CAUSE_IN_DOUBT);
    g_assert_true(CbwPool_IsIdle(&world.pool));
    PoolWorld_FreeRequest(write);
    PoolWorld_FreeRequest(read);
    PoolWorld_Finish(&world);
}

void
Suite_AddPool(void)
{
    g_test_add_func("/pool/uncarried-request-is-sent",
                    test_uncarried_request_is_sent);
    g_test_add_func("/pool/unassigned-owner-redirects-to-holder",
                    test_unassigned_owner_redirects_to_holder);
    g_test_add_func("/pool/takes-over-from-holder",
                    test_takes_over_from_holder);
    g_test_add_func("/pool/replies", test_replies);
    g_test_add_func("/pool/transaction-idle-timeout",
                    test_transaction_idle_timeout);
    g_test_add_func("/pool/transaction-begun-twice",
                    test_transaction_begun_twice);
    g_test_add_func("/pool/misplaced-read-claims-rollback",
                    test_misplaced_read_claims_rollback);
    g_test_add_func("/pool/commit-requires-valid-tenure",
                    test_commit_requires_valid_tenure);
    g_test_add_func("/pool/replica-read-carries-position",
                    test_replica_read_carries_position);
    g_test_add_func("/pool/long-read-carries-no-position",
                    test_long_read_carries_no_position);
    g_test_add_func("/pool/promotes-most-advanced-replica",
                    test_promotes_most_advanced_replica);
    g_test_add_func("/pool/promoting-until-published",
                    test_promoting_until_published);
    g_test_add_func("/pool/paused-promoter",
                    test_paused_promoter_does_not_order);
    g_test_add_func("/pool/serves-after-other-promotion",
                    test_serves_after_other_promotion);
    g_test_add_func("/pool/polls-reuse-connections",
                    test_polls_of_candidate_reuse_connections);
    g_test_add_func("/pool/promotion-taken-over",
                    test_promotion_taken_over_by_other_owner);
    g_test_add_func("/pool/refused-candidate",
                    test_refused_candidate_is_skipped);
    g_test_add_func("/pool/lost-answer-does-not-mark-down",
                    test_lost_answer_does_not_mark_down);
    g_test_add_func("/pool/leaving-primary", test_leaving_primary_is_drained);
    g_test_add_func("/pool/new-endpoint-is-promoted",
                    test_new_endpoint_is_promoted);
    g_test_add_func("/pool/new-owner-drains-primary",
                    test_new_owner_drains_primary);
    g_test_add_func("/pool/long-wait-is-refused-early",
                    test_long_wait_is_refused_early);
    g_test_add_func("/pool/blocked-is-refused-early",
                    test_blocked_request_is_refused_early);
}
