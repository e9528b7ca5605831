/* Which requests a pool admits to its queues, and how long it keeps them
 * there.
 *
 * Load pattern: the database is short of capacity, or no endpoint may serve it
 * for a while. With the policy "fair" (see queue_fair.c), which is used where
 * workspaces are configured, a request that cannot be served in time is
 * refused at once, and one whose caller left is removed. With the other
 * policies a request is refused when its wait limit has passed. */

#include "carobwind/hold.h"
#include "carobwind/pool.h"
#include "private/pool.h"

/* Whether the pool uses the policy "fair". */
static bool
is_fair(const cbw_pool_t *pool)
{
    return pool->queue_policy->put_behind != NULL;
}

static void
move_queue(cbw_queue_t *queue, const cbw_queue_ops_t *from,
           const cbw_queue_ops_t *to)
{
    cbw_request_t *request;
    cbw_link_t moved;
    cbw_link_t *link;

    CbwList_Init(&moved);
    while ((request = from->pop(queue)) != NULL) {
        CbwList_Append(&moved, &request->link);
    }
    while ((link = CbwList_TakeFirst(&moved)) != NULL) {
        to->push(queue, Cbw_LIST_ITEM(link, cbw_request_t, link));
    }
}

void
CbwPool_SetQueuePolicy(cbw_pool_t *pool, const cbw_queue_ops_t *policy)
{
    const cbw_queue_ops_t *before = pool->queue_policy;

    if (policy == before) {
        return;
    }
    move_queue(&pool->primary_queue, before, policy);
    move_queue(&pool->replica_queue, before, policy);
    pool->queue_policy = policy;
}

cbw_queue_t *
CbwPool_SelectQueue_(cbw_pool_t *pool, const cbw_request_t *request)
{
    return request->needs_primary ? &pool->primary_queue
                                  : &pool->replica_queue;
}

/* Counts a refusal and its wait by cause. */
static void
count_refusal(cbw_pool_t *pool, cbw_time_t now, const cbw_request_t *request,
              cbw_refusal_t refusal)
{
    static const struct {
        cbw_counter_id_t counter;
        cbw_latency_hop_t hop;
    } metrics[] = {
        [CBW_REFUSAL_QUOTA] = {CBW_COUNTER_REFUSED_QUOTA,
                               CBW_LATENCY_REFUSED_QUOTA},
        [CBW_REFUSAL_NO_CAPACITY] = {CBW_COUNTER_REFUSED_NO_CAPACITY,
                                     CBW_LATENCY_REFUSED_NO_CAPACITY},
        [CBW_REFUSAL_NO_ENDPOINT] = {CBW_COUNTER_REFUSED_NO_ENDPOINT,
                                     CBW_LATENCY_REFUSED_NO_ENDPOINT},
    };

    CbwCounter_Add(pool->counters, metrics[refusal].counter, 1);
    CbwLatency_Add(pool->latencies, metrics[refusal].hop, request->rank,
                   now - request->arrived_at);
}

void
CbwPool_Refuse_(cbw_pool_t *pool, cbw_time_t now, cbw_request_t *request,
                cbw_refusal_t refusal, cbw_time_t retry_after,
                const char *reason)
{
    count_refusal(pool, now, request, refusal);
    request->answer.refusal = refusal;
    request->answer.retry_after = retry_after;
    CbwPool_Answer_(pool, request, CBW_OUTCOME_NOTRUN, CBW_CAUSE_BUSY, reason);
}

/* On arrival. */

static cbw_gate_t *
gate_of(cbw_pool_t *pool, const cbw_queue_t *queue)
{
    return queue == &pool->primary_queue ? &pool->primary_gate
                                         : &pool->replica_gate;
}

static cbw_hold_t
make_hold(const cbw_request_t *request, bool blocked, bool stalled)
{
    return (cbw_hold_t){.arrived_at = request->arrived_at,
                        .target = request->target,
                        .deadline = request->deadline,
                        .reviewed = request->reviewed,
                        .behind = request->place.behind,
                        .blocked = blocked,
                        .stalled = stalled};
}

/* Returns whether no endpoint may serve the request at present. Without a
 * tenure it may be sent to another owner. */
static bool
has_no_endpoint(const cbw_pool_t *pool, cbw_time_t now,
                const cbw_request_t *request)
{
    return CbwPool_MayServe_(pool, now) && now >= pool->redirected_until &&
           CbwPool_UsablePrimary_(pool, now) < 0 &&
           !CbwPool_MayReplicaServe_(pool, now, request);
}

/* Returns whether no endpoint has been able to serve such requests for as long
 * as this one would be held. */
static bool
is_unservable(const cbw_pool_t *pool, cbw_time_t now,
              const cbw_request_t *request)
{
    cbw_hold_t hold = make_hold(request, true, false);

    return request->needs_primary && pool->primary_blocked_since != 0 &&
           now - pool->primary_blocked_since >= CbwHold_BlockedLimit(&hold) &&
           has_no_endpoint(pool, now, request);
}

/* Returns whether the request would have to wait until a log returns, which
 * takes seconds, if it comes at all. */
static bool
lacks_valid_log(const cbw_pool_t *pool, cbw_time_t now,
                const cbw_request_t *request)
{
    return CbwPool_IsValidLogAwaited_(pool, now) &&
           has_no_endpoint(pool, now, request);
}

bool
CbwPool_RefuseOnArrival_(cbw_pool_t *pool, cbw_time_t now,
                         cbw_request_t *request)
{
    cbw_queue_t *queue = CbwPool_SelectQueue_(pool, request);
    cbw_gate_t *gate = gate_of(pool, queue);
    size_t ahead = pool->queue_policy->count_ahead(queue, request);
    cbw_time_t retry_after = 0;

    request->reviewed = false; /* it may come from another owner's queue */
    gate->burst_wait_percent = is_fair(pool) ? Cbw_HOLD_IN_TIME_PERCENT : 0;
    if (lacks_valid_log(pool, now, request)) {
        CbwPool_Refuse_(pool, now, request, CBW_REFUSAL_NO_ENDPOINT,
                        CbwPool_LogWaitRetryAfter_(pool, now),
                        "the database waits for a log");
        return true;
    }
    if (is_fair(pool) && is_unservable(pool, now, request)) {
        CbwPool_Refuse_(pool, now, request, CBW_REFUSAL_NO_ENDPOINT,
                        Cbw_POOL_REFUSED_RETRY_AFTER,
                        "no endpoint may take it now");
        return true;
    }
    if (CbwGate_Admit(gate, now, ahead, request->target, &retry_after)) {
        return false;
    }
    CbwCounter_Add(pool->counters, CBW_COUNTER_REFUSED_BY_OWNER, 1);
    CbwPool_Refuse_(pool, now, request, CBW_REFUSAL_NO_CAPACITY, retry_after,
                    "the queue is too long for the deadline");
    return true;
}

/* In the queue. */

/* Returns when a queued request is refused without the policy "fair".
 * `blocked`: no primary is usable, or, for the replicas' queue, nothing may be
 * sent now. */
static cbw_time_t
queue_deadline(const cbw_request_t *request, bool blocked)
{
    cbw_time_t deadline = request->deadline;
    cbw_time_t wait =
        blocked ? request->target / Cbw_POOL_BLOCKED_WAIT_DIVISOR
                : request->target * Cbw_POOL_QUEUE_WAIT_PERCENT / 100;

    if (request->target > 0 && request->arrived_at + wait < deadline) {
        deadline = request->arrived_at + wait;
    }
    return deadline;
}

static void
refuse_queued(cbw_pool_t *pool, cbw_time_t now, cbw_queue_t *queue,
              cbw_request_t *request, bool blocked, cbw_time_t wait)
{
    CbwQueue_Remove(queue, request);
    CbwCounter_Add(pool->counters, CBW_COUNTER_EXPIRED_IN_QUEUE, 1);
    CbwPool_Refuse_(
        pool, now, request,
        blocked ? CBW_REFUSAL_NO_ENDPOINT : CBW_REFUSAL_NO_CAPACITY,
        wait > Cbw_POOL_REFUSED_RETRY_AFTER ? wait
                                            : Cbw_POOL_REFUSED_RETRY_AFTER,
        blocked ? "no endpoint may take it now"
                : "it waited too long in the queue");
}

static void
review(cbw_pool_t *pool, cbw_time_t now, cbw_queue_t *queue,
       cbw_request_t *request, const cbw_hold_t *hold)
{
    size_t ahead = pool->queue_policy->count_ahead(queue, request);
    cbw_time_t wait = CbwGate_PredictWait(gate_of(pool, queue), now, ahead);

    request->reviewed = true;
    if (CbwHold_IsTooLate(hold, now, wait)) {
        refuse_queued(pool, now, queue, request, false, wait);
    }
}

static void
check_queued(cbw_pool_t *pool, cbw_time_t now, cbw_queue_t *queue,
             cbw_request_t *request, bool blocked)
{
    bool stalled = gate_of(pool, queue)->dispatched_at < request->arrived_at;
    cbw_hold_t hold = make_hold(request, blocked, stalled);

    if (lacks_valid_log(pool, now, request)) {
        refuse_queued(pool, now, queue, request, true,
                      CbwPool_LogWaitRetryAfter_(pool, now));
        return;
    }
    if (!is_fair(pool)) {
        if (now >= queue_deadline(request, blocked)) {
            refuse_queued(pool, now, queue, request, blocked, 0);
        }
        return;
    }
    switch (CbwHold_Decide(&hold, now)) {
    case CBW_HOLD_KEEP:
        break;
    case CBW_HOLD_REVIEW:
        review(pool, now, queue, request, &hold);
        break;
    case CBW_HOLD_PUT_BEHIND:
        pool->queue_policy->put_behind(queue, request);
        break;
    case CBW_HOLD_REFUSE:
        refuse_queued(pool, now, queue, request, blocked, 0);
        break;
    }
}

static bool
is_replica_queue_blocked(const cbw_pool_t *pool, cbw_time_t now)
{
    if (!CbwPool_MayServe_(pool, now)) {
        return true;
    }
    if (!is_fair(pool) || CbwPool_UsablePrimary_(pool, now) >= 0) {
        return false;
    }
    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        const cbw_pool_endpoint_t *e = &pool->endpoints[i];
        if (i != pool->primary && e->used && !e->down && !e->info.leaving) {
            return false;
        }
    }
    return true;
}

void
CbwPool_ExpireQueues_(cbw_pool_t *pool, cbw_time_t now)
{
    bool blocked[] = {CbwPool_UsablePrimary_(pool, now) < 0,
                      is_replica_queue_blocked(pool, now)};
    cbw_queue_t *queues[] = {&pool->primary_queue, &pool->replica_queue};
    cbw_link_t *link;
    cbw_link_t *safe;

    if (!blocked[0]) {
        pool->primary_blocked_since = 0;
    }
    else if (pool->primary_blocked_since == 0) {
        pool->primary_blocked_since = now;
    }
    for (size_t i = 0; i < 2; i++) {
        for (size_t rank = 0; rank < queues[i]->rank_count; rank++) {
            Cbw_LIST_FOREACH (&queues[i]->ranks[rank].requests, link, safe) {
                check_queued(pool, now, queues[i],
                             Cbw_LIST_ITEM(link, cbw_request_t, link),
                             blocked[i]);
            }
        }
    }
}

/* Callers that left. */

bool
CbwPool_Cancel(cbw_pool_t *pool, cbw_time_t now, uint64_t id)
{
    cbw_queue_t *queues[] = {&pool->primary_queue, &pool->replica_queue};

    for (size_t i = 0; i < 2 && pool->queue_policy->find != NULL; i++) {
        cbw_request_t *request = pool->queue_policy->find(queues[i], id);
        if (request == NULL) {
            continue;
        }
        CbwQueue_Remove(queues[i], request);
        CbwCounter_Add(pool->counters, CBW_COUNTER_CANCELLED_IN_QUEUE, 1);
        CbwLatency_Add(pool->latencies, CBW_LATENCY_CANCELLED, request->rank,
                       now - request->arrived_at);
        CbwPool_Answer_(pool, request, CBW_OUTCOME_NOTRUN, CBW_CAUSE_BUSY,
                        "its caller left");
        return true;
    }
    return false;
}
