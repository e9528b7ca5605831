#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "carobwind/pool.h"
#include "suites.h"

#define CALLS_MAX 64
#define NONCE 42

/* A pool over three endpoints whose calls the test answers. */

typedef struct {
    uint64_t id;
    int endpoint;
    cbw_call_t call;
    bool open;
} sent_t;

typedef struct {
    cbw_pool_t pool;
    cbw_time_t now;
    sent_t sent[CALLS_MAX];
    int sent_count;
    bool aborted_sent; /* what an abort says of its call */
    cbw_request_t *answered;
    int answers;
    bool reading;
    bool swapping;
    uint64_t version;
    cbw_tenure_record_t record;
    char ordered[Cbw_NAME_MAX];
    uint64_t fence;
    int asked_formers;
    char moved_to[Cbw_NAME_MAX];
} world_t;

static bool
op_call(void *context, int endpoint, const cbw_call_t *call)
{
    world_t *world = context;

    g_assert_cmpint(world->sent_count, <, CALLS_MAX);
    world->sent[world->sent_count++] =
        (sent_t){call->id, endpoint, *call, true};
    return true;
}

static bool
op_abort(void *context, int endpoint, uint64_t id)
{
    world_t *world = context;

    (void)endpoint;
    for (int i = 0; i < world->sent_count; i++) {
        if (world->sent[i].id == id) {
            world->sent[i].open = false;
        }
    }
    return world->aborted_sent;
}

static void
op_end_transaction(void *context, int endpoint, uint64_t transaction,
                   bool clean)
{
    (void)context;
    (void)endpoint;
    (void)transaction;
    (void)clean;
}

static void
op_answer(void *context, cbw_request_t *request)
{
    world_t *world = context;

    world->answered = request;
    world->answers++;
}

static void
op_attach(void *context, int endpoint, const cbw_endpoint_t *info)
{
    (void)context;
    (void)endpoint;
    (void)info;
}

static void
op_detach(void *context, int endpoint)
{
    (void)context;
    (void)endpoint;
}

static void
op_read(void *context)
{
    ((world_t *)context)->reading = true;
}

static void
op_swap(void *context, uint64_t version, const cbw_tenure_record_t *record)
{
    world_t *world = context;

    g_assert_cmpuint(version, ==, world->version);
    world->swapping = true;
    world->record = *record;
}

static void
op_ask_former(void *context, const cbw_tenure_holder_t *former)
{
    (void)former;
    ((world_t *)context)->asked_formers++;
}

static void
op_order(void *context, const char *endpoint, uint64_t fence)
{
    world_t *world = context;

    g_strlcpy(world->ordered, endpoint, sizeof(world->ordered));
    world->fence = fence;
}

static void
op_ask_reach(void *context, int endpoint)
{
    world_t *world = context;

    (void)endpoint;
    CbwPool_OnReach(&world->pool, world->now, NULL);
}

static bool
op_move(void *context, const char *host, bool takes)
{
    world_t *world = context;

    g_assert_false(takes);
    g_strlcpy(world->moved_to, host, sizeof(world->moved_to));
    return true;
}

static void
op_decide(void *context, const char *text)
{
    (void)context;
    g_test_message("%s", text);
}

static const cbw_pool_ops_t ops = {
    .call = op_call,
    .abort = op_abort,
    .end_transaction = op_end_transaction,
    .answer = op_answer,
    .attach = op_attach,
    .detach = op_detach,
    .read_record = op_read,
    .swap_record = op_swap,
    .ask_former = op_ask_former,
    .order = op_order,
    .ask_reach = op_ask_reach,
    .move = op_move,
    .decide = op_decide,
};

static const cbw_rank_t ranks[] = {{.name = "urgent"}, {.name = "other"}};

/* The store answers what was asked of it. */
static void
serve_store(world_t *world)
{
    for (int i = 0; i < 8 && (world->reading || world->swapping); i++) {
        if (world->reading) {
            world->reading = false;
            CbwPool_OnRecord(&world->pool, world->now,
                             world->version == 0 ? CBW_STORE_MISSING
                                                 : CBW_STORE_OK,
                             world->version, &world->record);
        }
        if (world->swapping) {
            world->swapping = false;
            world->version++;
            CbwPool_OnSwap(&world->pool, world->now, CBW_STORE_OK,
                           world->version);
        }
    }
}

static void
tick(world_t *world, cbw_time_t step)
{
    world->now += step;
    CbwPool_Tick(&world->pool, world->now, true);
    serve_store(world);
    CbwPool_Tick(&world->pool, world->now, true);
    serve_store(world);
}

static void
set_endpoints(world_t *world, bool primary_leaves)
{
    cbw_endpoint_t endpoints[3];

    memset(endpoints, 0, sizeof(endpoints));
    for (int i = 0; i < 3; i++) {
        snprintf(endpoints[i].name, sizeof(endpoints[i].name), "e%d", i);
        snprintf(endpoints[i].address, sizeof(endpoints[i].address),
                 "10.0.0.%d:1", i + 1);
        endpoints[i].slots = 2;
        endpoints[i].connections = 40;
        endpoints[i].reports_primary = i == 0;
        endpoints[i].leaving = i == 0 && primary_leaves;
    }
    CbwPool_SetEndpoints(&world->pool, world->now, endpoints, 3);
}

static void
init_world(world_t *world)
{
    memset(world, 0, sizeof(*world));
    world->now = 100 * Cbw_SEC;
    world->aborted_sent = true;
    CbwPool_Init(&world->pool, "db", CbwQueue_Policy("ranked"), ranks,
                 G_N_ELEMENTS(ranks), &ops, world, NONCE, "host", "north",
                 NULL);
    set_endpoints(world, false);
    tick(world, 0);
    tick(world, Cbw_TENURE_RETRY_INTERVAL);
    g_assert_cmpint(world->pool.primary, ==, 0);
}

static void
finish_world(world_t *world)
{
    CbwPool_Finish(&world->pool, world->now);
}

static cbw_request_t *
new_request(world_t *world, bool writes, cbw_read_rule_t rule)
{
    cbw_request_t *request = g_new0(cbw_request_t, 1);

    CbwRequest_Init(request);
    CbwRequest_SetStatement(request, "READ k", 6);
    request->writes = writes;
    request->rule = rule;
    request->age = Cbw_SEC;
    request->arrived = world->now;
    request->deadline = world->now + Cbw_SEC;
    return request;
}

static void
free_request(cbw_request_t *request)
{
    CbwRequest_Finish(request);
    g_free(request);
}

/* The latest call that still waits for its answer; NULL: none. */
static sent_t *
last_sent(world_t *world, cbw_call_verb_t verb)
{
    for (int i = world->sent_count - 1; i >= 0; i--) {
        if (world->sent[i].open && world->sent[i].call.verb == verb) {
            return &world->sent[i];
        }
    }
    return NULL;
}

static void
reply_to(world_t *world, sent_t *sent, cbw_reply_status_t status,
         uint64_t position)
{
    cbw_reply_t reply = {
        .status = status,
        .result = "r",
        .result_size = 1,
        .state = {.last_term = position ? 3 : 0, .position = position}};

    g_assert_nonnull(sent);
    sent->open = false;
    CbwPool_OnReply(&world->pool, world->now, sent->id, &reply);
}

static void
submit(world_t *world, cbw_request_t *request)
{
    world->answered = NULL;
    CbwPool_Submit(&world->pool, world->now, request);
}

/* What becomes of a statement by the reply to it. */
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
    {"write that found no room", true, CBW_REPLY_BUSY, false,
     CBW_OUTCOME_PENDING, CBW_CAUSE_NONE},
    {"write that was not sent", true, CBW_REPLY_FULL, false,
     CBW_OUTCOME_PENDING, CBW_CAUSE_NONE},
    {"write at a replica", true, CBW_REPLY_NOT_PRIMARY, false,
     CBW_OUTCOME_PENDING, CBW_CAUSE_NONE},
    {"failed write", true, CBW_REPLY_FAILED, true, CBW_OUTCOME_UNKNOWN,
     CBW_CAUSE_FAILED},
    {"timed-out write", true, CBW_REPLY_TIMEOUT, true, CBW_OUTCOME_UNKNOWN,
     CBW_CAUSE_TIMEOUT},
};

static void
test_replies(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(reply_cases); i++) {
        const reply_case_t *c = &reply_cases[i];
        world_t world;
        cbw_request_t *request;
        init_world(&world);
        request = new_request(&world, c->writes, CBW_READ_LATEST);
        submit(&world, request);
        reply_to(&world, last_sent(&world, CBW_CALL_RUN), c->status, 7);
        g_test_message("%s", c->name);
        if (c->ends) {
            g_assert_true(world.answered == request);
            g_assert_cmpint(request->answer.outcome, ==, c->outcome);
            g_assert_cmpint(request->answer.cause, ==, c->cause);
        }
        else {
            g_assert_null(world.answered);
            tick(&world, 50 * Cbw_MSEC);
            g_assert_nonnull(last_sent(&world, CBW_CALL_RUN));
        }
        finish_world(&world);
        free_request(request);
    }
}

/* A commit's answer that comes after a freeze longer than the right. */
static void
test_commit_needs_valid_tenure(void)
{
    world_t world;
    cbw_request_t *request;

    init_world(&world);
    request = new_request(&world, true, CBW_READ_LATEST);
    request->deadline = world.now + 60 * Cbw_SEC;
    submit(&world, request);
    world.now += Cbw_TENURE_VALID_FOR + Cbw_SEC;
    reply_to(&world, last_sent(&world, CBW_CALL_RUN), CBW_REPLY_OK, 7);
    g_assert_null(world.answered);
    /* Another owner has promoted meanwhile. */
    world.record.holder.nonce = 99;
    world.record.promoting = true;
    world.version++;
    tick(&world, 10 * Cbw_MSEC);
    g_assert_true(world.answered == request);
    g_assert_cmpint(request->answer.cause, ==, CBW_CAUSE_IN_DOUBT);
    finish_world(&world);
    free_request(request);
}

static void
test_replica_read_carries_position(void)
{
    world_t world;
    cbw_request_t *write;
    cbw_request_t *read;
    sent_t *sent;

    init_world(&world);
    write = new_request(&world, true, CBW_READ_LATEST);
    submit(&world, write);
    reply_to(&world, last_sent(&world, CBW_CALL_RUN), CBW_REPLY_OK, 7);
    world.now += 100 * Cbw_MSEC;
    read = new_request(&world, false, CBW_READ_SESSION);
    snprintf(read->token, sizeof(read->token), "%s", write->answer.token);
    submit(&world, read);
    sent = last_sent(&world, CBW_CALL_RUN);
    g_assert_cmpint(sent->endpoint, !=, 0);
    g_assert_cmpuint(sent->call.after_term, ==, 3);
    g_assert_cmpuint(sent->call.after_position, ==, 7);
    /* It lacks that: the primary is read. */
    reply_to(&world, sent, CBW_REPLY_BEHIND, 5);
    sent = last_sent(&world, CBW_CALL_RUN);
    g_assert_cmpint(sent->endpoint, ==, 0);
    reply_to(&world, sent, CBW_REPLY_OK, 7);
    g_assert_cmpint(read->answer.outcome, ==, CBW_OUTCOME_DONE);
    finish_world(&world);
    free_request(write);
    free_request(read);
}

/* Answers all status calls: endpoint `leader` leads, `positions` are received.
 */
static void
answer_statuses(world_t *world, int leader, const uint64_t *positions)
{
    sent_t *sent;

    while ((sent = last_sent(world, CBW_CALL_STATE)) != NULL) {
        cbw_reply_t reply = {.status = CBW_REPLY_OK,
                             .state = {.primary = sent->endpoint == leader,
                                       .term = 3,
                                       .last_term = 3,
                                       .position = positions[sent->endpoint]}};
        sent->open = false;
        CbwPool_OnReply(&world->pool, world->now, sent->id, &reply);
        serve_store(world);
    }
}

static void
take_primary_down(world_t *world)
{
    for (int i = 0; i < 40 && !world->pool.endpoints[0].down; i++) {
        sent_t *sent;
        tick(world, 100 * Cbw_MSEC);
        while ((sent = last_sent(world, CBW_CALL_STATE)) != NULL) {
            reply_to(world, sent, CBW_REPLY_FULL, 0);
        }
    }
    g_assert_true(world->pool.endpoints[0].down);
}

static void
test_promotes_who_received_most(void)
{
    static const uint64_t positions[] = {9, 5, 8};
    world_t world;
    cbw_request_t *write;

    init_world(&world);
    take_primary_down(&world);
    for (int i = 0; i < 10 && world.ordered[0] == '\0'; i++) {
        tick(&world, 10 * Cbw_MSEC);
        answer_statuses(&world, -1, positions);
    }
    g_assert_cmpstr(world.ordered, ==, "e2");
    g_assert_cmpuint(world.fence, ==, world.version);
    g_assert_true(world.record.promoting);
    CbwPool_OnOrdered(&world.pool, world.now, CBW_ORDER_TAKEN);
    /* Nothing is sent to the candidate before it leads. */
    write = new_request(&world, true, CBW_READ_LATEST);
    submit(&world, write);
    g_assert_null(last_sent(&world, CBW_CALL_RUN));
    for (int i = 0; i < 10 && world.record.promoting; i++) {
        tick(&world, 50 * Cbw_MSEC);
        answer_statuses(&world, i > 2 ? 2 : -1, positions);
    }
    g_assert_cmpstr(world.record.primary, ==, "e2");
    tick(&world, 10 * Cbw_MSEC);
    g_assert_cmpint(last_sent(&world, CBW_CALL_RUN)->endpoint, ==, 2);
    finish_world(&world);
    free_request(write);
}

/* Found by trouble-3 of Tadla: the former promoter went on taking itself for
 * one, refused to give its right up, and made the next one wait 6 s. */
static void
test_promotion_taken_over(void)
{
    static const uint64_t positions[] = {9, 5, 8};
    world_t world;

    init_world(&world);
    take_primary_down(&world);
    for (int i = 0; i < 10 && world.ordered[0] == '\0'; i++) {
        tick(&world, 10 * Cbw_MSEC);
        answer_statuses(&world, -1, positions);
    }
    g_assert_false(CbwPool_GiveUp(&world.pool, world.now));
    world.record.holder.nonce = 99;
    world.record.epoch++;
    world.version++;
    tick(&world, Cbw_TENURE_RENEW_INTERVAL);
    g_assert_cmpint(world.pool.phase, ==, CBW_POOL_SERVING);
    g_assert_true(CbwPool_GiveUp(&world.pool, world.now));
    finish_world(&world);
}

static void
test_refused_candidate(void)
{
    static const uint64_t positions[] = {9, 5, 8};
    world_t world;

    init_world(&world);
    take_primary_down(&world);
    for (int i = 0; i < 10 && world.ordered[0] == '\0'; i++) {
        tick(&world, 10 * Cbw_MSEC);
        answer_statuses(&world, -1, positions);
    }
    world.ordered[0] = '\0';
    CbwPool_OnOrdered(&world.pool, world.now, CBW_ORDER_REFUSED);
    for (int i = 0; i < 10 && world.ordered[0] == '\0'; i++) {
        tick(&world, 20 * Cbw_MSEC);
        answer_statuses(&world, -1, positions);
    }
    g_assert_cmpstr(world.ordered, ==, "e1");
    finish_world(&world);
}

/* A lost answer alone is no sign that the endpoint is down. */
static void
test_lost_answer_is_not_down(void)
{
    static const uint64_t positions[] = {7, 7, 7};
    world_t world;

    init_world(&world);
    for (int i = 0; i < 5; i++) {
        cbw_request_t *write = new_request(&world, true, CBW_READ_LATEST);
        submit(&world, write);
        reply_to(&world, last_sent(&world, CBW_CALL_RUN), CBW_REPLY_LOST, 0);
        free_request(write);
        tick(&world, 10 * Cbw_MSEC);
        g_assert_true(last_sent(&world, CBW_CALL_STATE)->call.fresh);
        answer_statuses(&world, 0, positions);
    }
    g_assert_false(world.pool.endpoints[0].down);
    finish_world(&world);
}

static void
test_leaving_primary_is_replaced_first(void)
{
    static const uint64_t positions[] = {9, 9, 9};
    world_t world;
    cbw_request_t *write;
    cbw_request_t *second;

    init_world(&world);
    write = new_request(&world, true, CBW_READ_LATEST);
    submit(&world, write);
    set_endpoints(&world, true);
    tick(&world, 10 * Cbw_MSEC);
    second = new_request(&world, true, CBW_READ_LATEST);
    submit(&world, second);
    g_assert_cmpint(world.pool.phase, ==, CBW_POOL_DRAINING);
    reply_to(&world, last_sent(&world, CBW_CALL_RUN), CBW_REPLY_OK, 9);
    g_assert_cmpint(write->answer.outcome, ==, CBW_OUTCOME_DONE);
    g_assert_null(last_sent(&world, CBW_CALL_RUN)); /* the second waits */
    for (int i = 0; i < 20 && world.ordered[0] == '\0'; i++) {
        tick(&world, 20 * Cbw_MSEC);
        answer_statuses(&world, 0, positions);
    }
    g_assert_cmpstr(world.ordered, !=, "");
    g_assert_cmpstr(world.ordered, !=, "e0");
    finish_world(&world);
    free_request(write);
    free_request(second);
}

static void
test_blocked_request_is_told_early(void)
{
    world_t world;
    cbw_request_t *write;

    init_world(&world);
    take_primary_down(&world);
    world.pool.phase = CBW_POOL_ORDERING; /* and nothing comes of it */
    write = new_request(&world, true, CBW_READ_LATEST);
    write->target = 200 * Cbw_MSEC;
    submit(&world, write);
    tick(&world, 60 * Cbw_MSEC);
    g_assert_true(world.answered == write);
    g_assert_cmpint(write->answer.outcome, ==, CBW_OUTCOME_NOTRUN);
    g_assert_cmpint(write->answer.retry_after, >, 0);
    finish_world(&world);
    free_request(write);
}

/* Another owner holds the record. */
static void
give_to_other(world_t *world)
{
    world->version++;
    world->record.holder = (cbw_tenure_holder_t){.nonce = NONCE + 1};
    g_strlcpy(world->record.holder.host, "other", Cbw_NAME_MAX);
    tick(world, Cbw_TENURE_RENEW_INTERVAL);
}

/* Hosts that see different members do not take a database from each other: who
 * is not its owner by the fleet's order sends requests on to the holder. */
static void
test_leaves_it_to_the_holder(void)
{
    world_t world;
    cbw_request_t *request;
    uint64_t version;

    init_world(&world);
    CbwPool_SetOwned(&world.pool, false);
    give_to_other(&world);
    version = world.version;
    /* Until its own right has ended it serves under that. */
    for (int i = 0; i < 70; i++) {
        tick(&world, 100 * Cbw_MSEC);
    }
    request = new_request(&world, true, CBW_READ_LATEST);
    submit(&world, request);
    for (int i = 0; i < 6; i++) {
        tick(&world, 100 * Cbw_MSEC);
    }
    g_assert_true(world.answered == request);
    g_assert_cmpint(request->answer.outcome, ==, CBW_OUTCOME_PENDING);
    g_assert_cmpstr(world.moved_to, ==, "other");
    g_assert_cmpuint(world.version, ==, version);
    free_request(request);
    finish_world(&world);
}

/* It takes over when a request could not be brought to the holder, and when
 * the fleet's order names it. */
static void
test_takes_over_from_the_holder(void)
{
    for (int by_order = 0; by_order < 2; by_order++) {
        world_t world;
        cbw_request_t *request;

        init_world(&world);
        CbwPool_SetOwned(&world.pool, false);
        give_to_other(&world);
        tick(&world, 100 * Cbw_MSEC);
        g_assert_cmpuint(world.record.holder.nonce, ==, NONCE + 1);
        CbwPool_SetOwned(&world.pool, by_order);
        request = new_request(&world, true, CBW_READ_LATEST);
        request->takes_over = !by_order;
        request->deadline = world.now + 5 * Cbw_SEC;
        submit(&world, request);
        for (int i = 0; i < 20; i++) {
            tick(&world, 50 * Cbw_MSEC);
        }
        g_assert_cmpuint(world.record.holder.nonce, ==, NONCE);
        finish_world(&world);
        free_request(request);
    }
}

/* The operators' configuration says how long an open transaction may rest. */
static void
test_transaction_idle(void)
{
    world_t world;
    cbw_request_t *request;

    init_world(&world);
    CbwPool_SetTransactionIdle(&world.pool, 8 * Cbw_SEC);
    request = new_request(&world, true, CBW_READ_LATEST);
    request->transaction = 7;
    request->begins = true;
    submit(&world, request);
    reply_to(&world, last_sent(&world, CBW_CALL_RUN), CBW_REPLY_OK, 5);
    free_request(request);
    tick(&world, 4 * Cbw_SEC);
    g_assert_false(CbwPool_IsIdle(&world.pool));
    CbwPool_SetTransactionIdle(&world.pool, 0);
    tick(&world, 1 * Cbw_MSEC);
    g_assert_true(CbwPool_IsIdle(&world.pool));
    finish_world(&world);
}

void
Suite_AddPool(void)
{
    g_test_add_func("/pool/leaves-it-to-the-holder",
                    test_leaves_it_to_the_holder);
    g_test_add_func("/pool/takes-over-from-the-holder",
                    test_takes_over_from_the_holder);
    g_test_add_func("/pool/replies", test_replies);
    g_test_add_func("/pool/transaction-idle", test_transaction_idle);
    g_test_add_func("/pool/commit-needs-valid-tenure",
                    test_commit_needs_valid_tenure);
    g_test_add_func("/pool/replica-read-carries-position",
                    test_replica_read_carries_position);
    g_test_add_func("/pool/promotes-who-received-most",
                    test_promotes_who_received_most);
    g_test_add_func("/pool/promotion-taken-over", test_promotion_taken_over);
    g_test_add_func("/pool/refused-candidate", test_refused_candidate);
    g_test_add_func("/pool/lost-answer-is-not-down",
                    test_lost_answer_is_not_down);
    g_test_add_func("/pool/leaving-primary",
                    test_leaving_primary_is_replaced_first);
    g_test_add_func("/pool/blocked-is-told-early",
                    test_blocked_request_is_told_early);
}
