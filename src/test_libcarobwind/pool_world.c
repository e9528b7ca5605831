#include "pool_world.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

/* Step of PoolWorld_Run. */
#define RUN_STEP (20 * Cbw_MSEC)

static bool
op_call(void *context, int endpoint, const cbw_call_t *call)
{
    pool_world_t *world = context;

    g_assert_cmpint(world->sent_count, <, CALLS_MAX);
    world->step_downs += call->verb == CBW_CALL_STEP_DOWN;
    world->sent[world->sent_count++] =
        (sent_call_t){call->id, endpoint, *call, true};
    return true;
}

static bool
op_abort(void *context, int endpoint, uint64_t id)
{
    pool_world_t *world = context;

    (void)endpoint;
    for (int i = 0; i < world->sent_count; i++) {
        if (world->sent[i].id == id) {
            world->sent[i].open = false;
        }
    }
    return world->abort_may_have_sent;
}

static void
op_end_transaction(void *context, int endpoint, uint64_t transaction,
                   bool clean)
{
    (void)endpoint;
    (void)transaction;
    (void)clean;
    ((pool_world_t *)context)->transactions_ended++;
}

static bool
op_can_carry(void *context, const cbw_request_t *request)
{
    (void)request;
    return !((pool_world_t *)context)->carries_nothing;
}

static void
op_answer(void *context, cbw_request_t *request)
{
    pool_world_t *world = context;

    world->last_answered = request;
    world->answer_count++;
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
op_read_record(void *context)
{
    ((pool_world_t *)context)->read_pending = true;
}

static void
op_swap_record(void *context, uint64_t version,
               const cbw_tenure_record_t *record)
{
    pool_world_t *world = context;

    g_assert_cmpuint(version, ==, world->version);
    world->swap_pending = true;
    world->record = *record;
}

static void
op_ask_to_relinquish(void *context, const cbw_tenure_holder_t *holder)
{
    (void)holder;
    ((pool_world_t *)context)->relinquish_requests++;
}

static void
op_request_promotion(void *context, const char *endpoint, uint64_t fence)
{
    pool_world_t *world = context;

    g_strlcpy(world->promotion_target, endpoint,
              sizeof(world->promotion_target));
    world->fence = fence;
}

static void
op_cancel_promotion(void *context)
{
    ((pool_world_t *)context)->cancelled_orders++;
}

static void
op_ask_reach(void *context, int endpoint)
{
    pool_world_t *world = context;

    (void)endpoint;
    if (world->witnesses_unresponsive) {
        CbwPool_OnReachUnknown(&world->pool, world->now);
        return;
    }
    CbwPool_OnReach(&world->pool, world->now, NULL);
}

static bool
op_redirect(void *context, const char *host, bool must_take_over)
{
    pool_world_t *world = context;

    g_assert_false(must_take_over);
    g_strlcpy(world->redirected_to, host, sizeof(world->redirected_to));
    return true;
}

static void
op_log_decision(void *context, const char *text)
{
    (void)context;
    g_test_message("%s", text);
}

static bool
op_has_idle_connection(void *context, int endpoint, const char *workspace)
{
    const pool_world_t *world = context;

    return strcmp(workspace, world->idle_connections[endpoint]) == 0;
}

static const cbw_pool_ops_t ops = {
    .can_carry = op_can_carry,
    .call = op_call,
    .has_idle_connection = op_has_idle_connection,
    .abort = op_abort,
    .end_transaction = op_end_transaction,
    .answer = op_answer,
    .attach = op_attach,
    .detach = op_detach,
    .read_record = op_read_record,
    .swap_record = op_swap_record,
    .ask_to_relinquish = op_ask_to_relinquish,
    .request_promotion = op_request_promotion,
    .cancel_promotion = op_cancel_promotion,
    .ask_reach = op_ask_reach,
    .redirect = op_redirect,
    .log_decision = op_log_decision,
};

static const cbw_rank_t ranks[] = {{.name = "urgent"}, {.name = "other"}};

static void
init_owner(pool_world_t *world, const char *host)
{
    CbwPool_Init(&world->pool, "db", CbwQueue_Policy("ranked"), ranks,
                 G_N_ELEMENTS(ranks), &ops, world, NONCE + world->restarts,
                 host, "north", NULL);
}

void
PoolWorld_ServeStore(pool_world_t *world)
{
    for (int i = 0; i < 8 && (world->read_pending || world->swap_pending);
         i++) {
        if (world->read_pending) {
            world->read_pending = false;
            CbwPool_OnRecord(&world->pool, world->now,
                             world->version == 0 ? CBW_STORE_MISSING
                                                 : CBW_STORE_OK,
                             world->version, &world->record);
        }
        if (world->swap_pending) {
            world->swap_pending = false;
            world->version++;
            CbwPool_OnSwap(&world->pool, world->now, CBW_STORE_OK,
                           world->version);
        }
    }
}

void
PoolWorld_Tick(pool_world_t *world, cbw_time_t step)
{
    world->now += step;
    CbwPool_Tick(&world->pool, world->now, true);
    PoolWorld_ServeStore(world);
    CbwPool_Tick(&world->pool, world->now, true);
    PoolWorld_ServeStore(world);
}

void
PoolWorld_SetEndpoints(pool_world_t *world)
{
    cbw_endpoint_t endpoints[3];
    int count = 0;

    memset(endpoints, 0, sizeof(endpoints));
    for (int i = 0; i < 3; i++) {
        cbw_endpoint_t *endpoint = &endpoints[count];
        if (world->unlisted[i]) {
            continue;
        }
        snprintf(endpoint->name, sizeof(endpoint->name), "e%d%s", i,
                 world->suffixes[i] != NULL ? world->suffixes[i] : "");
        endpoint->started_at = world->started_at[i];
        snprintf(endpoint->address, sizeof(endpoint->address), "10.0.0.%d:1",
                 i + 1);
        snprintf(endpoint->data_centre, sizeof(endpoint->data_centre), "%s",
                 world->data_centres[i] != NULL ? world->data_centres[i] : "");
        endpoint->slots = 2;
        endpoint->connections = 40;
        endpoint->reports_primary = world->reports_primary[i];
        endpoint->leaving = world->leaving[i];
        if (world->leaving[i] && world->leaving_since[i] == 0) {
            world->leaving_since[i] = world->now;
        }
        endpoint->leaving_since = world->leaving_since[i];
        count++;
    }
    CbwPool_SetEndpoints(&world->pool, world->now, endpoints, count);
}

void
PoolWorld_AnswerStates(pool_world_t *world, const endpoint_report_t reports[3])
{
    static const endpoint_report_t removed = {.unresponsive = true};
    int count = world->sent_count;

    for (int i = 0; i < count; i++) {
        sent_call_t *sent = &world->sent[i];
        const cbw_pool_endpoint_t *endpoint =
            &world->pool.endpoints[sent->endpoint];
        /* An endpoint that was removed answers nothing, and has no name. */
        const endpoint_report_t *report =
            endpoint->used ? &reports[endpoint->info.name[1] - '0'] : &removed;
        cbw_position_t position = report->position.term != 0
                                      ? report->position
                                      : (cbw_position_t){3, 9};
        cbw_reply_t reply = {.status = CBW_REPLY_OK,
                             .state = {.term = report->term,
                                       .primary = report->primary,
                                       .last_term = position.term,
                                       .position = position.index}};
        if (!sent->open ||
            (sent->call.verb != CBW_CALL_STATE &&
             sent->call.verb != CBW_CALL_STEP_DOWN) ||
            report->unresponsive) {
            continue;
        }
        sent->open = false;
        CbwPool_OnReply(&world->pool, world->now, sent->id, &reply);
    }
}

void
PoolWorld_DiscardClosedCalls(pool_world_t *world)
{
    int kept = 0;

    for (int i = 0; i < world->sent_count; i++) {
        if (world->sent[i].open) {
            world->sent[kept++] = world->sent[i];
        }
    }
    world->sent_count = kept;
}

void
PoolWorld_InitPool(pool_world_t *world)
{
    memset(world, 0, sizeof(*world));
    world->now = 100 * Cbw_SEC;
    world->abort_may_have_sent = true;
    init_owner(world, "host");
    world->reports_primary[0] = true;
}

static const endpoint_report_t first_reports[] = {
    {.primary = true, .term = 3}, {.term = 3}, {.term = 3}};

void
PoolWorld_Init(pool_world_t *world)
{
    PoolWorld_InitPool(world);
    PoolWorld_SetEndpoints(world);
    PoolWorld_Tick(world, 0);
    PoolWorld_AnswerStates(world, first_reports);
    PoolWorld_Tick(world, Cbw_TENURE_RETRY_INTERVAL);
    g_assert_cmpint(world->pool.primary, ==, 0);
    PoolWorld_AnswerStates(world, first_reports);
    PoolWorld_DiscardClosedCalls(world);
}

void
PoolWorld_Run(pool_world_t *world, cbw_time_t duration,
              const endpoint_report_t reports[3])
{
    cbw_time_t end = world->now + duration;

    while (world->now < end) {
        PoolWorld_Tick(world, RUN_STEP);
        PoolWorld_AnswerStates(world, reports);
        PoolWorld_ServeStore(world);
        PoolWorld_DiscardClosedCalls(world);
    }
}

bool
PoolWorld_RunUntilOrder(pool_world_t *world, cbw_time_t limit,
                        const endpoint_report_t reports[3])
{
    cbw_time_t end = world->now + limit;

    world->promotion_target[0] = '\0';
    while (world->promotion_target[0] == '\0' && world->now < end) {
        PoolWorld_Run(world, RUN_STEP, reports);
    }
    return world->promotion_target[0] != '\0';
}

void
PoolWorld_ExpireTenure(pool_world_t *world, const endpoint_report_t reports[3])
{
    for (int i = 0; i < 120; i++) {
        world->now += 100 * Cbw_MSEC;
        CbwPool_Tick(&world->pool, world->now, true);
        PoolWorld_AnswerStates(world, reports);
        world->sent_count = 0;
        if (world->read_pending) {
            world->read_pending = false;
            CbwPool_OnRecord(&world->pool, world->now, CBW_STORE_LOST, 0,
                             NULL);
        }
    }
    g_assert_false(CbwTenure_IsValid(&world->pool.tenure, world->now));
}

void
PoolWorld_PollEndpoints(pool_world_t *world,
                        const endpoint_report_t reports[3])
{
    world->now += Cbw_POOL_CONFIRM_INTERVAL;
    CbwPool_Tick(&world->pool, world->now, true);
    PoolWorld_AnswerStates(world, reports);
}

void
PoolWorld_RestartOwner(pool_world_t *world)
{
    bool synchronous = world->pool.synchronous;

    CbwPool_Finish(&world->pool, world->now);
    world->sent_count = 0;
    world->read_pending = false;
    world->swap_pending = false;
    world->restarts++;
    init_owner(world, "other-host");
    CbwPool_SetSynchronous(&world->pool, synchronous);
    PoolWorld_SetEndpoints(world);
}

void
PoolWorld_Finish(pool_world_t *world)
{
    CbwPool_Finish(&world->pool, world->now);
}

cbw_request_t *
PoolWorld_NewRequest(pool_world_t *world, bool writes,
                     cbw_read_consistency_t consistency)
{
    cbw_request_t *request = g_new0(cbw_request_t, 1);

    CbwRequest_Init(request);
    CbwRequest_SetStatement(request, "READ k", 6);
    request->writes = writes;
    request->rule = consistency;
    request->age = Cbw_SEC;
    request->arrived_at = world->now;
    request->deadline = world->now + Cbw_SEC;
    return request;
}

void
PoolWorld_FreeRequest(cbw_request_t *request)
{
    CbwRequest_Finish(request);
    g_free(request);
}

sent_call_t *
PoolWorld_LastOpenCall(pool_world_t *world, cbw_call_verb_t verb)
{
    for (int i = world->sent_count - 1; i >= 0; i--) {
        if (world->sent[i].open && world->sent[i].call.verb == verb) {
            return &world->sent[i];
        }
    }
    return NULL;
}

void
PoolWorld_Reply(pool_world_t *world, sent_call_t *sent,
                cbw_reply_status_t status, uint64_t position)
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

void
PoolWorld_Submit(pool_world_t *world, cbw_request_t *request)
{
    world->last_answered = NULL;
    CbwPool_Submit(&world->pool, world->now, request);
}
