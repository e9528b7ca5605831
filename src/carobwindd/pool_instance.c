#include "pool_instance.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "carobwind/log.h"
#include "carobwind/plugin.h"
#include "quota_exchange.h"
#include "read_pool.h"
#include "share/net.h"

/* How many peers are asked whether they reach a primary. */
#define REACH_PEERS 3
/* Timeout of a call that asks a peer whether it reaches a primary, or to
 * relinquish a tenure. */
#define PEER_CALL_TIMEOUT (250 * Cbw_MSEC)
#define RECORD_KEY_FORMAT "group/%s"
/* Allowance for the time until this host learns that an endpoint is leaving,
 * and for requests on the way to the endpoint. */
#define LEAVING_NOTICE_DELAY (1 * Cbw_SEC)

pool_task_t PoolTask_State;

pool_instance_t *
PoolInstance_FindById(uint64_t id)
{
    cbw_link_t *link = PoolTask_State.instances.next;

    for (; link != &PoolTask_State.instances; link = link->next) {
        pool_instance_t *instance = Cbw_LIST_ITEM(link, pool_instance_t, link);
        if (instance->id == id) {
            return instance;
        }
    }
    return NULL;
}

pool_instance_t *
PoolInstance_Find(const char *database)
{
    cbw_link_t *link = PoolTask_State.instances.next;

    for (; link != &PoolTask_State.instances; link = link->next) {
        pool_instance_t *instance = Cbw_LIST_ITEM(link, pool_instance_t, link);
        if (!instance->unconfigured && !instance->dispatches &&
            strcmp(instance->pool.database, database) == 0) {
            return instance;
        }
    }
    return NULL;
}

/* Operations that CbwPool calls, see cbw_pool_ops_t. */

static bool
op_can_carry(void *context, const cbw_request_t *request)
{
    const endpoint_driver_t *driver = PoolTask_State.driver;

    (void)context;
    return driver->can_carry == NULL || driver->can_carry(request);
}

static bool
op_call(void *context, int endpoint, const cbw_call_t *call)
{
    pool_instance_t *instance = context;

    return PoolTask_State.driver->call(instance->endpoint_links[endpoint],
                                       call);
}

static bool
op_has_idle_connection(void *context, int endpoint, const char *workspace)
{
    const pool_instance_t *instance = context;
    const endpoint_driver_t *driver = PoolTask_State.driver;

    return driver->has_idle_connection != NULL &&
           driver->has_idle_connection(instance->endpoint_links[endpoint],
                                       workspace);
}

static bool
op_abort(void *context, int endpoint, uint64_t id)
{
    pool_instance_t *instance = context;

    return PoolTask_State.driver->abort(instance->endpoint_links[endpoint],
                                        id);
}

static void
op_end_transaction(void *context, int endpoint, uint64_t transaction,
                   bool clean)
{
    pool_instance_t *instance = context;

    PoolTask_State.driver->end_transaction(instance->endpoint_links[endpoint],
                                           transaction, clean);
}

static void
op_answer(void *context, cbw_request_t *request)
{
    pool_instance_t *instance = context;
    job_t *job = Cbw_LIST_ITEM(request, job_t, request);

    job->admission_count = 0;
    if (request->answer.outcome == CBW_OUTCOME_PENDING) {
        memcpy(job->moved_to, instance->moved_to, sizeof(job->moved_to));
        job->moved_takes = instance->moved_takes;
    }
    Task_Post(TASK_OWNER, job->reply_to, MESSAGE_JOB_DONE, &job->message);
}

static void
on_reply(void *context, uint64_t id, const cbw_reply_t *reply)
{
    endpoint_context_t *endpoint_context = context;

    CbwPool_OnReply(&endpoint_context->instance->pool, CbwNet_Now(), id,
                    reply);
}

static const endpoint_events_t endpoint_events = {.on_reply = on_reply};

static void
op_attach(void *context, int endpoint, const cbw_endpoint_t *info)
{
    pool_instance_t *instance = context;

    instance->endpoint_contexts[endpoint] =
        (endpoint_context_t){instance, endpoint};
    instance->endpoint_links[endpoint] = PoolTask_State.driver->open(
        PoolTask_State.daemon, instance->pool.database, info,
        /* Another owner may use the endpoint at the same time. The limit is
         * for requests and control calls together. */
        instance->dispatches
            ? instance->reads.connections
            : info->connections / 2 + Endpoint_CONTROL_CONNECTIONS,
        &endpoint_events, &instance->endpoint_contexts[endpoint]);
}

static void
op_detach(void *context, int endpoint)
{
    pool_instance_t *instance = context;

    PoolTask_State.driver->close(instance->endpoint_links[endpoint]);
    instance->endpoint_links[endpoint] = NULL;
}

static store_call_t *
new_record_call(const pool_instance_t *instance, store_verb_t verb)
{
    char key[Cbw_NAME_MAX + 8];
    store_call_t *call;

    snprintf(key, sizeof(key), RECORD_KEY_FORMAT, instance->pool.database);
    call = StoreCall_New(verb, key);
    call->reply_to = TASK_OWNER;
    call->context = (void *)(uintptr_t)instance->id;
    return call;
}

static void
op_read_record(void *context)
{
    store_call_t *call = new_record_call(context, STORE_GET);

    Task_Post(TASK_OWNER, TASK_STORE, MESSAGE_STORE, &call->message);
}

static void
op_swap_record(void *context, uint64_t version,
               const cbw_tenure_record_t *record)
{
    store_call_t *call = new_record_call(context, STORE_SWAP);

    call->version = version;
    call->value = malloc(Cbw_TENURE_TEXT_MAX);
    if (call->value == NULL) {
        abort();
    }
    CbwTenure_FormatRecord(record, call->value);
    Task_Post(TASK_OWNER, TASK_STORE, MESSAGE_STORE, &call->message);
}

void
PoolInstance_OnStoreDone(store_call_t *call)
{
    pool_instance_t *instance =
        PoolInstance_FindById((uint64_t)(uintptr_t)call->context);
    cbw_tenure_record_t record = {.epoch = 0};

    if (instance != NULL && call->verb == STORE_SWAP) {
        CbwPool_OnSwap(&instance->pool, CbwNet_Now(), call->status,
                       call->version);
    }
    else if (instance != NULL) {
        if (call->status == CBW_STORE_OK &&
            CbwTenure_ParseRecord(&record, call->value) != 0) {
            /* Unreadable: this owner replaces it. */
            CbwCounter_Add(&PoolTask_State.daemon->counters,
                           CBW_COUNTER_RECORDS_UNUSABLE, 1);
            CbwLog_Write(CBW_LOG_ERROR, "owner", "bad-record", "key=%s",
                         call->key);
        }
        CbwPool_OnRecord(&instance->pool, CbwNet_Now(), call->status,
                         call->version, &record);
    }
    StoreCall_Free(call);
}

static void
on_promote_reply(void *context, cbw_promote_status_t status)
{
    pool_instance_t *instance =
        PoolInstance_FindById((uint64_t)(uintptr_t)context);

    if (instance != NULL) {
        instance->order = NULL;
        CbwPool_OnPromoteReply(&instance->pool, CbwNet_Now(), status);
    }
}

static void
op_request_promotion(void *context, const char *endpoint, uint64_t fence)
{
    pool_instance_t *instance = context;

    instance->order = PoolTask_State.promotion_driver->promote(
        PoolTask_State.daemon, instance->pool.database, endpoint,
        PoolTask_State.daemon->settings.name, fence, on_promote_reply,
        (void *)(uintptr_t)instance->id);
}

static void
op_cancel_promotion(void *context)
{
    pool_instance_t *instance = context;

    if (instance->order != NULL) {
        PoolTask_State.promotion_driver->cancel(instance->order);
        instance->order = NULL;
    }
}

static void
op_log_decision(void *context, const char *text)
{
    pool_instance_t *instance = context;

    CbwLog_Write(CBW_LOG_INFO, "owner", "decision", "database=%s what=\"%s\"",
                 instance->pool.database, text);
}

/* Asks peers whether they reach a primary that this host does not reach. */

static void
ask_peer(pool_instance_t *instance, const cbw_member_record_t *peer,
         const cbw_endpoint_t *endpoint)
{
    outbound_t *outbound = Outbound_New(PEER_REACH, peer->address);

    outbound->args.reach.address = strdup(endpoint->address);
    outbound->args.reach.database = strdup(instance->pool.database);
    outbound->args.reach.endpoint = strdup(endpoint->name);
    memcpy(outbound->name, peer->name, sizeof(outbound->name));
    outbound->timeout = PEER_CALL_TIMEOUT;
    outbound->reply_to = TASK_OWNER;
    outbound->context = (void *)(uintptr_t)instance->id;
    outbound->reach_round = instance->reach_round;
    Task_Post(TASK_OWNER, TASK_PEER, MESSAGE_OUTBOUND, &outbound->message);
}

static bool
is_among(const cbw_member_record_t *peer, const cbw_member_record_t **peers,
         int count)
{
    for (int i = 0; i < count; i++) {
        if (peers[i] == peer) {
            return true;
        }
    }
    return false;
}

/* Adds alive members that are (not) `near` the endpoint, up to `limit`. */
static int
add_witnesses(const cbw_endpoint_t *endpoint, bool near,
              const cbw_member_record_t **peers, int count, int limit)
{
    const cbw_membership_t *members = &PoolTask_State.view->membership;
    size_t offset = (size_t)CbwNet_Now();

    for (size_t i = 0; i < members->count && count < limit; i++) {
        const cbw_member_record_t *peer =
            &members->members[(i + offset) % members->count].record;
        if (peer->state == CBW_MEMBER_ALIVE &&
            peer != &members->members[0].record &&
            !CbwMembership_IsEndpoint(peer) &&
            (strcmp(peer->data_centre, endpoint->data_centre) == 0) == near &&
            !is_among(peer, peers, count)) {
            peers[count++] = peer;
        }
    }
    return count;
}

/* Fills `peers` with members to ask, all but one of them in the data centre of
 * the endpoint if possible: from another region, a call to the endpoint takes
 * longer than a witness waits. Returns their number. */
static int
choose_witnesses(const cbw_endpoint_t *endpoint,
                 const cbw_member_record_t *peers[REACH_PEERS])
{
    int count = add_witnesses(endpoint, true, peers, 0, REACH_PEERS - 1);

    count = add_witnesses(endpoint, false, peers, count, REACH_PEERS);
    return add_witnesses(endpoint, true, peers, count, REACH_PEERS);
}

static void
op_ask_reach(void *context, int endpoint)
{
    pool_instance_t *instance = context;
    const cbw_endpoint_t *info = &instance->pool.endpoints[endpoint].info;
    const cbw_member_record_t *peers[REACH_PEERS];
    int count = choose_witnesses(info, peers);

    CbwWitness_Begin(&instance->witnesses, count,
                     !instance->pool.strict_witnesses);
    instance->reach_round++;
    for (int i = 0; i < count; i++) {
        ask_peer(instance, peers[i], info);
    }
    if (count == 0) {
        CbwPool_OnReach(&instance->pool, CbwNet_Now(), NULL);
    }
}

static bool
is_dead_or_unknown(const cbw_member_t *member)
{
    return member == NULL || member->record.state == CBW_MEMBER_DEAD;
}

/* Asks a present or previous holder to relinquish its tenure. A holder whose
 * host is not a member any more cannot be asked. One whose host is recorded as
 * dead is asked: while a partition heals, many such members are alive. */
static void
op_ask_to_relinquish(void *context, const cbw_tenure_holder_t *holder)
{
    pool_instance_t *instance = context;
    const cbw_member_t *member =
        CbwMembership_Find(&PoolTask_State.view->membership, holder->host);
    outbound_t *outbound;

    if (member == NULL) {
        CbwPool_OnHolderUnreachable(&instance->pool, CbwNet_Now(),
                                    holder->nonce);
        return;
    }
    outbound = Outbound_New(PEER_GIVE_UP, member->record.address);
    snprintf(outbound->name, sizeof(outbound->name), "%s", holder->host);
    outbound->args.give_up.database = strdup(instance->pool.database);
    outbound->args.give_up.nonce = holder->nonce;
    outbound->timeout = PEER_CALL_TIMEOUT;
    outbound->reply_to = TASK_OWNER;
    outbound->context = (void *)(uintptr_t)instance->id;
    Task_Post(TASK_OWNER, TASK_PEER, MESSAGE_OUTBOUND, &outbound->message);
}

void
PoolInstance_OnRelinquishDone(outbound_t *outbound)
{
    pool_instance_t *instance =
        PoolInstance_FindById((uint64_t)(uintptr_t)outbound->context);

    if (instance != NULL && outbound->answered && outbound->result.flag) {
        CbwPool_OnRelinquished(&instance->pool, CbwNet_Now(),
                               outbound->args.give_up.nonce);
    }
    else if (instance != NULL && !outbound->answered &&
             is_dead_or_unknown(CbwMembership_Find(
                 &PoolTask_State.view->membership, outbound->name))) {
        CbwPool_OnHolderUnreachable(&instance->pool, CbwNet_Now(),
                                    outbound->args.give_up.nonce);
    }
    Outbound_Free(outbound);
}

static void
on_witness_answer(pool_instance_t *instance, const outbound_t *outbound)
{
    cbw_witness_answer_t answer = CBW_WITNESS_SILENT;
    cbw_time_t now = CbwNet_Now();

    if (outbound->answered) {
        answer =
            outbound->result.flag ? CBW_WITNESS_REACHES : CBW_WITNESS_DOES_NOT;
    }
    switch (CbwWitness_OnAnswer(&instance->witnesses, answer)) {
    case CBW_WITNESS_REACHED:
        CbwPool_OnReach(&instance->pool, now, outbound->name);
        break;
    case CBW_WITNESS_LOST:
        CbwPool_OnReach(&instance->pool, now, NULL);
        break;
    case CBW_WITNESS_UNKNOWN:
        CbwPool_OnReachUnknown(&instance->pool, now);
        break;
    case CBW_WITNESS_PENDING:
        break;
    }
}

void
PoolInstance_OnReachDone(outbound_t *outbound)
{
    pool_instance_t *instance =
        PoolInstance_FindById((uint64_t)(uintptr_t)outbound->context);

    if (instance != NULL && outbound->reach_round == instance->reach_round) {
        on_witness_answer(instance, outbound);
    }
    Outbound_Free(outbound);
}

static bool
op_redirect(void *context, const char *host, bool must_take_over)
{
    pool_instance_t *instance = context;
    const cbw_member_t *member =
        CbwMembership_Find(&PoolTask_State.view->membership, host);

    if (is_dead_or_unknown(member)) {
        return false;
    }
    snprintf(instance->moved_to, sizeof(instance->moved_to), "%s", host);
    instance->moved_takes = must_take_over;
    instance->handed_over = false;
    instance->moved_at = CbwNet_Now();
    return true;
}

static const cbw_pool_ops_t pool_ops = {
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

/* Instances. */

/* With workspaces, the queue is fair to them whatever policy is set. */
static const cbw_queue_ops_t *
queue_policy(void)
{
    return CbwQueue_Policy(PoolTask_State.config->inventory.workspace_count > 0
                               ? "fair"
                               : PoolTask_State.daemon->settings.queue_policy);
}

void
PoolInstance_UpdateEndpoints(pool_instance_t *instance)
{
    const cbw_database_t *database = CbwInventory_FindDatabase(
        &PoolTask_State.config->inventory, instance->pool.database);

    instance->unconfigured = database == NULL;
    CbwPool_SetQueuePolicy(&instance->pool, queue_policy());
    CbwPool_SetTransactionIdleTimeout(
        &instance->pool,
        PoolTask_State.config->inventory.transaction_idle_timeout);
    if (PoolTask_State.daemon->settings.endpoint_drain >
        LEAVING_NOTICE_DELAY) {
        CbwPool_SetLeavingLimit(
            &instance->pool, PoolTask_State.daemon->settings.endpoint_drain -
                                 LEAVING_NOTICE_DELAY);
    }
    QuotaExchange_Configure(instance, CbwNet_Now());
    if (instance->dispatches) {
        ReadPool_UpdateEndpoints(instance);
    }
    else if (database != NULL) {
        CbwPool_SetSynchronous(&instance->pool, database->synchronous);
        CbwPool_SetEndpoints(&instance->pool, CbwNet_Now(),
                             database->endpoints, database->endpoint_count);
    }
}

static pool_instance_t *
new_instance(const cbw_database_t *database, bool dispatches)
{
    pool_instance_t *instance = calloc(1, sizeof(*instance));
    const cbw_inventory_t *inventory = &PoolTask_State.config->inventory;

    if (instance == NULL) {
        abort();
    }
    instance->id = ++PoolTask_State.next_id;
    instance->used_at = CbwNet_Now();
    CbwList_Init(&instance->link);
    CbwList_Append(&PoolTask_State.instances, &instance->link);
    CbwPool_Init(&instance->pool, database->name, queue_policy(),
                 inventory->ranks, inventory->rank_count, &pool_ops, instance,
                 PoolTask_State.daemon->owner_nonce + instance->id,
                 PoolTask_State.daemon->settings.name,
                 PoolTask_State.daemon->settings.data_centre,
                 &PoolTask_State.daemon->counters);
    CbwPool_SetRegions(&instance->pool,
                       &PoolTask_State.daemon->settings.regions);
    CbwPool_SetRemoteCost(&instance->pool,
                          PoolTask_State.daemon->settings.remote_cost_ms *
                              Cbw_MSEC);
    instance->dispatches = dispatches;
    if (dispatches) {
        CbwPool_SetReadDispatch(&instance->pool, &instance->reads);
    }
    instance->pool.latencies = &PoolTask_State.daemon->latencies;
    PoolInstance_UpdateEndpoints(instance);
    CbwLog_Write(CBW_LOG_INFO, "owner",
                 dispatches ? "reads-started" : "started", "database=%s",
                 database->name);
    return instance;
}

pool_instance_t *
PoolInstance_New(const cbw_database_t *database)
{
    return new_instance(database, false);
}

pool_instance_t *
PoolInstance_NewForReads(const cbw_database_t *database)
{
    return new_instance(database, true);
}

void
PoolInstance_Free(pool_instance_t *instance)
{
    cbw_time_t now = CbwNet_Now();

    CbwLog_Write(CBW_LOG_INFO, "owner",
                 instance->dispatches ? "reads-stopped" : "stopped",
                 "database=%s", instance->pool.database);
    if (instance->prepare_call != NULL) {
        PoolInstance_AnswerPrepare(instance);
    }
    if (CbwPool_IsPromoting(&instance->pool, now)) {
        PoolTask_State.orders_until = now;
    }
    CbwPool_Finish(&instance->pool, now);
    QuotaExchange_Finish(instance);
    CbwList_Remove(&instance->link);
    free(instance);
}

void
PoolInstance_AnswerPrepare(pool_instance_t *instance)
{
    inbound_t *inbound = instance->prepare_call;
    bool ready = CbwTenure_IsValid(&instance->pool.tenure, CbwNet_Now());

    instance->prepare_call = NULL;
    if (ready) {
        /* Requests were redirected to the host that asked. It sends them back
         * from now on. */
        instance->moved_to[0] = '\0';
    }
    inbound->result.flag = ready;
    Task_Post(TASK_OWNER, TASK_PEER, MESSAGE_INBOUND_DONE, &inbound->message);
}

double
PoolInstance_Weight(const char *workspace)
{
    const cbw_inventory_t *inventory = &PoolTask_State.config->inventory;
    const cbw_workspace_t *found =
        CbwInventory_FindWorkspace(inventory, workspace);
    double rate = found != NULL && found->rate > 0 ? found->rate
                                                   : PoolTask_State.mean_rate;

    return inventory->database_count > 0
               ? rate / (double)inventory->database_count
               : rate;
}

bool
PoolInstance_Cancel(const char *database, uint64_t id)
{
    pool_instance_t *instance = PoolInstance_Find(database);

    return instance != NULL &&
           CbwPool_Cancel(&instance->pool, CbwNet_Now(), id);
}
