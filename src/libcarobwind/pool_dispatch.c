#include <stdlib.h>
#include <string.h>

#include "carobwind/pool.h"
#include "carobwind/token.h"
#include "private/pool.h"

int
CbwPool_ConnectionsMax(const cbw_endpoint_t *endpoint)
{
    return endpoint->connections * 9 / 20;
}

/* One request more than there are slots keeps all of them busy while answers
 * are in transit. */
bool
CbwPool_HasCapacity_(const cbw_pool_t *pool, int endpoint)
{
    const cbw_pool_endpoint_t *e = &pool->endpoints[endpoint];
    int allowance = CbwPool_ConnectionsMax(&e->info) - e->leased_connections;
    int slots = e->info.slots + 1 - e->leased_slots;

    if (pool->reads != NULL) {
        CbwPool_LeasedShare_(pool, &allowance, &slots);
    }
    return e->in_flight < slots && e->in_flight + e->transactions < allowance;
}

bool
CbwPool_IsDrainOver_(const cbw_pool_t *pool, cbw_time_t now, int endpoint)
{
    const cbw_endpoint_t *info = &pool->endpoints[endpoint].info;

    return info->leaving && info->leaving_since != 0 &&
           pool->leaving_limit != 0 &&
           now - info->leaving_since >= pool->leaving_limit;
}

int
CbwPool_UsablePrimary_(const cbw_pool_t *pool, cbw_time_t now)
{
    int primary = pool->primary;

    if (primary < 0 || pool->endpoints[primary].down ||
        CbwPool_IsDrainOver_(pool, now, primary) ||
        now < pool->redirected_until || !CbwPool_MayServe_(pool, now) ||
        (pool->tenure.record.promoting &&
         !CbwPool_IsConfirmedByEndpoints_(pool, now))) {
        return -1;
    }
    return primary;
}

/* Log positions that reads need. */

static bool
parse_session_token(const cbw_pool_t *pool, const cbw_request_t *request,
                    cbw_position_t *position)
{
    cbw_token_t token;

    if (request->token[0] == '\0' ||
        CbwToken_Parse(&token, request->token) != 0 ||
        strcmp(token.database, pool->database) != 0) {
        return false;
    }
    *position = (cbw_position_t){token.term, token.position};
    return true;
}

/* Finds the log position that a replica must hold to serve the request.
 * Returns false when it is not known, or when the statement is too long to be
 * sent with it: then only the primary can serve the request. */
static bool
required_position(const cbw_pool_t *pool, cbw_time_t now,
                  const cbw_request_t *request, cbw_position_t *position)
{
    cbw_time_t time = request->arrived_at;
    cbw_position_t session_position;

    if (!request->begins &&
        request->statement_size > Cbw_POOL_POSITIONED_STATEMENT_MAX) {
        return false;
    }
    if (request->rule != CBW_READ_LATEST) {
        time -= request->age;
    }
    if (pool->reads != NULL
            ? !CbwReadDispatch_PositionAt(pool->reads, now, time, position)
            : !CbwPool_PositionAt_(pool, time, position)) {
        return false;
    }
    if (request->rule == CBW_READ_SESSION &&
        parse_session_token(pool, request, &session_position)) {
        /* The promotion discarded older terms' entries after its position. */
        if (session_position.term < pool->promotion_term &&
            CbwPosition_Compare(session_position, pool->promotion_position) >
                0) {
            session_position = pool->promotion_position;
        }
        if (CbwPosition_Compare(session_position, *position) > 0) {
            *position = session_position;
        }
    }
    return true;
}

/* Returns whether a replica may serve a read that needs the position: it holds
 * the position, or what is known of it is out of date. A log with discarded
 * entries would show data that the database has lost. */
static bool
is_eligible(const cbw_pool_t *pool, cbw_time_t now, int index,
            cbw_position_t needed)
{
    const cbw_pool_endpoint_t *e = &pool->endpoints[index];

    if (!e->used || e->down || e->info.leaving || now < e->skip_until ||
        !CbwPool_MayShowLog_(pool, e->position)) {
        return false;
    }
    return CbwPosition_Compare(e->position, needed) >= 0 ||
           (now - e->last_reply_at >= Cbw_POOL_LAG_BACKOFF &&
            now >= e->lag_backoff_until);
}

typedef enum {
    REPLICA_FOUND,
    REPLICA_NO_CAPACITY, /* suitable ones have no capacity now */
    REPLICA_NONE,
} replica_choice_t;

/* Returns the preference for a replica: a local one with an idle slot comes
 * first, then the one with the most free capacity. */
static int
replica_score(const cbw_pool_endpoint_t *e)
{
    int free_capacity = e->info.slots + 1 - e->leased_slots - e->in_flight;

    return e->is_local && free_capacity > 1 ? free_capacity + e->info.slots
                                            : free_capacity;
}

/* Returns whether an idle connection of the workspace to the endpoint is
 * known. Not looked up without a workspace: any idle connection will do. */
static bool
has_connection(const cbw_pool_t *pool, int endpoint, const char *workspace)
{
    return workspace[0] != '\0' && pool->ops->has_idle_connection != NULL &&
           pool->ops->has_idle_connection(pool->context, endpoint, workspace);
}

/* Chooses the replica with the highest score among those that are eligible for
 * a read that needs the position `needed`; of equal ones, one with an idle
 * connection of the request's workspace. */
static replica_choice_t
choose_replica(const cbw_pool_t *pool, cbw_time_t now,
               const cbw_request_t *request, cbw_position_t needed,
               int *endpoint)
{
    replica_choice_t choice = REPLICA_NONE;
    int best = 0;
    bool best_has_connection = false;

    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        const cbw_pool_endpoint_t *e = &pool->endpoints[i];
        int score;
        bool connected;
        if (i == pool->primary || !is_eligible(pool, now, i, needed)) {
            continue;
        }
        if (!CbwPool_HasCapacity_(pool, i)) {
            choice = choice == REPLICA_NONE ? REPLICA_NO_CAPACITY : choice;
            continue;
        }
        choice = REPLICA_FOUND;
        if (best > 0 &&
            e->is_in_region != pool->endpoints[*endpoint].is_in_region) {
            /* A replica of the owner's region comes before all others. */
            if (e->is_in_region) {
                best = replica_score(e);
                best_has_connection =
                    has_connection(pool, i, request->workspace);
                *endpoint = i;
            }
            continue;
        }
        score = replica_score(e);
        connected = has_connection(pool, i, request->workspace);
        if (score > best ||
            (score == best && connected && !best_has_connection)) {
            best = score;
            best_has_connection = connected;
            *endpoint = i;
        }
    }
    return choice;
}

/* Dispatch. */

static bool
begin_transaction(cbw_pool_t *pool, cbw_time_t now, int endpoint,
                  const cbw_request_t *request)
{
    cbw_pool_transaction_t *transaction = calloc(1, sizeof(*transaction));

    if (transaction == NULL) {
        return false;
    }
    CbwList_Init(&transaction->link);
    transaction->id = request->transaction;
    transaction->endpoint = endpoint;
    transaction->reads_only = request->reads_only;
    transaction->has_written = request->writes;
    transaction->last_used_at = now;
    transaction->busy = true;
    CbwList_Append(&pool->transactions, &transaction->link);
    pool->endpoints[endpoint].transactions++;
    CbwCounter_Add(pool->counters, CBW_COUNTER_TRANSACTIONS, 1);
    return true;
}

/* Sends a request that was taken from `queue`. `needed`: the position that the
 * endpoint must hold, or NULL. Returns whether to continue. */
static bool
send_request(cbw_pool_t *pool, cbw_time_t now, int endpoint,
             cbw_request_t *request, cbw_queue_t *queue,
             const cbw_position_t *needed)
{
    cbw_call_t call = {
        .verb = CbwPool_CallVerb_(request),
        .writes = request->writes,
        .key = "",
        .trace = request->trace,
        .workspace = request->workspace,
        .rank = request->rank,
        .statement = request->statement,
        .statement_size = request->statement_size,
        .transaction = request->transaction,
        .values = request->values != NULL ? request->values : "",
        .shape = request->shape != NULL ? request->shape : "",
        .begins = request->begins,
        .reads_only = request->reads_only,
        .min_term = needed != NULL ? needed->term : 0,
        .min_position = needed != NULL ? needed->index : 0,
    };

    /* The request was sent twice, as hosts of earlier versions do. */
    if (request->begins &&
        CbwPool_FindTransaction_(pool, request->transaction) != NULL) {
        CbwPool_Answer_(pool, request, CBW_OUTCOME_NOTRUN, CBW_CAUSE_ABORTED,
                        "its transaction has already begun");
        return true;
    }
    if (request->begins && !begin_transaction(pool, now, endpoint, request)) {
        CbwPool_Answer_(pool, request, CBW_OUTCOME_NOTRUN, CBW_CAUSE_BUSY,
                        "out of memory");
        return true;
    }
    if (!CbwPool_Send_(pool, now, endpoint, &call, request,
                       request->deadline - now)) {
        if (request->begins) {
            CbwPool_DropTransaction_(
                pool, CbwPool_FindTransaction_(pool, request->transaction),
                false);
        }
        CbwPool_OnEndpointFailure_(pool, now, endpoint);
        request->attempts--;
        pool->queue_policy->push_front(queue, request);
        return false;
    }
    CbwQueue_OnDispatch(queue, now, request->rank);
    CbwGate_OnDispatch(queue == &pool->primary_queue ? &pool->primary_gate
                                                     : &pool->replica_gate,
                       now, now - request->queued_at, request->target,
                       queue->length);
    CbwLatency_Add(pool->latencies, CBW_LATENCY_QUEUE, request->rank,
                   now - request->queued_at);
    CbwCounter_Add(
        pool->counters,
        pool->endpoints[endpoint].is_local       ? CBW_COUNTER_SENT_DATA_CENTRE
        : pool->endpoints[endpoint].is_in_region ? CBW_COUNTER_SENT_REGION
                                                 : CBW_COUNTER_SENT_OUTSIDE,
        1);
    CbwCounter_Add(pool->counters,
                   request->writes             ? CBW_COUNTER_WRITES
                   : pool->reads != NULL       ? CBW_COUNTER_READS_DISPATCHED
                   : endpoint == pool->primary ? CBW_COUNTER_READS_PRIMARY
                                               : CBW_COUNTER_READS_REPLICA,
                   1);
    return true;
}

static bool
expire_request(cbw_pool_t *pool, cbw_time_t now, cbw_request_t *request)
{
    if (now < request->deadline) {
        return false;
    }
    CbwCounter_Add(pool->counters, CBW_COUNTER_EXPIRED_IN_QUEUE, 1);
    CbwPool_Refuse_(pool, now, request, CBW_REFUSAL_NO_CAPACITY, 0,
                    "the deadline passed in the queue");
    return true;
}

/* Chooses a replica for a read in the primary's queue that the primary cannot
 * serve now. Returns false when there is none. */
static bool
choose_replica_for_primary_queue(const cbw_pool_t *pool, cbw_time_t now,
                                 const cbw_request_t *request, int *endpoint,
                                 cbw_position_t *needed)
{
    bool needs_read_write =
        request->writes || (request->begins && !request->reads_only);

    return !needs_read_write &&
           required_position(pool, now, request, needed) &&
           choose_replica(pool, now, request, *needed, endpoint) ==
               REPLICA_FOUND;
}

bool
CbwPool_MayReplicaServe_(const cbw_pool_t *pool, cbw_time_t now,
                         const cbw_request_t *request)
{
    cbw_position_t needed;
    int endpoint;

    return choose_replica_for_primary_queue(pool, now, request, &endpoint,
                                            &needed);
}

/* Sends the primary queue's next request. Returns whether to continue. */
static bool
dispatch_primary(cbw_pool_t *pool, cbw_time_t now)
{
    int primary = CbwPool_UsablePrimary_(pool, now);
    cbw_request_t *request;
    cbw_position_t needed;
    int endpoint = primary;
    bool needs_read_write;

    if (pool->primary_queue.length == 0) {
        return false;
    }
    request = pool->queue_policy->pop(&pool->primary_queue);
    if (expire_request(pool, now, request)) {
        return true;
    }
    if (pool->reads != NULL) {
        CbwPool_HandBack_(pool, request);
        return true;
    }
    needs_read_write =
        request->writes || (request->begins && !request->reads_only);
    if (primary >= 0 && CbwPool_HasCapacity_(pool, primary) &&
        now >= pool->endpoints[primary].skip_until &&
        !(needs_read_write && pool->phase == CBW_POOL_DRAINING)) {
        return send_request(pool, now, primary, request, &pool->primary_queue,
                            NULL);
    }
    if (choose_replica_for_primary_queue(pool, now, request, &endpoint,
                                         &needed)) {
        return send_request(pool, now, endpoint, request, &pool->primary_queue,
                            &needed);
    }
    pool->queue_policy->push_front(&pool->primary_queue, request);
    return false;
}

static bool
primary_has_spare_capacity(const cbw_pool_t *pool, cbw_time_t now)
{
    int primary = CbwPool_UsablePrimary_(pool, now);

    return primary >= 0 && pool->primary_queue.length == 0 &&
           CbwPool_HasCapacity_(pool, primary) &&
           now >= pool->endpoints[primary].skip_until;
}

/* Sends the replica queue's next request. Returns whether to continue. */
static bool
dispatch_replica(cbw_pool_t *pool, cbw_time_t now)
{
    cbw_request_t *request;
    cbw_position_t needed;
    int endpoint = -1;
    replica_choice_t choice = REPLICA_NONE;

    if (pool->replica_queue.length == 0 ||
        (pool->reads == NULL && !CbwPool_MayServe_(pool, now))) {
        return false;
    }
    request = pool->queue_policy->pop(&pool->replica_queue);
    if (expire_request(pool, now, request)) {
        return true;
    }
    if (required_position(pool, now, request, &needed)) {
        choice = choose_replica(pool, now, request, needed, &endpoint);
    }
    if (choice == REPLICA_FOUND &&
        (pool->endpoints[endpoint].is_in_region ||
         (!primary_has_spare_capacity(pool, now) &&
          CbwPool_MayLeaveRegion_(pool, now, request)))) {
        return send_request(pool, now, endpoint, request, &pool->replica_queue,
                            &needed);
    }
    if (pool->reads != NULL && choice == REPLICA_NONE) {
        CbwPool_HandBack_(pool, request);
        return true;
    }
    if (primary_has_spare_capacity(pool, now)) {
        return send_request(pool, now, pool->primary, request,
                            &pool->replica_queue, NULL);
    }
    pool->queue_policy->push_front(&pool->replica_queue, request);
    return false;
}

void
CbwPool_Dispatch_(cbw_pool_t *pool, cbw_time_t now)
{
    while (dispatch_primary(pool, now)) {
    }
    while (dispatch_replica(pool, now)) {
    }
}

void
CbwPool_Requeue_(cbw_pool_t *pool, cbw_time_t now, cbw_request_t *request,
                 cbw_cause_t cause)
{
    if (pool->reads != NULL && now < request->deadline) {
        CbwPool_HandBack_(pool, request);
        return;
    }
    if (request->attempts >= Cbw_POOL_ATTEMPTS_MAX ||
        now >= request->deadline) {
        CbwPool_Answer_(pool, request, CBW_OUTCOME_NOTRUN, cause,
                        "it did not run, and there is no time to try again");
        return;
    }
    CbwCounter_Add(pool->counters, CBW_COUNTER_RETRIES, 1);
    CbwPool_UpdateToken_(pool, now, request, CBW_POOL_TOKEN_REQUEUED);
    pool->queue_policy->push_front(
        request->needs_primary ? &pool->primary_queue : &pool->replica_queue,
        request);
}
