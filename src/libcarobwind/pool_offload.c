/* When an owner sends reads to endpoints of other regions. */

#include "carobwind/pool.h"
#include "private/pool.h"

/* A measurement contributes one part in this many to a mean. */
#define MEAN_DIVISOR 16
/* Bytes of a request and its answer, besides the statement and the result. */
#define MESSAGE_BYTES 200

void
CbwPool_SetRemoteCost(cbw_pool_t *pool, cbw_time_t cost_per_kb)
{
    pool->offload.cost_per_kb = cost_per_kb;
}

void
CbwPool_Measure_(cbw_pool_t *pool, cbw_time_t now, const cbw_pool_call_t *call,
                 const cbw_reply_t *reply)
{
    cbw_pool_endpoint_t *e = &pool->endpoints[call->endpoint];
    cbw_time_t latency = now - call->sent_at;
    size_t bytes = MESSAGE_BYTES + reply->result_size;

    if (call->request == NULL || reply->status != CBW_REPLY_OK) {
        return;
    }
    CbwLatency_Add(pool->latencies,
                   e->is_local       ? CBW_LATENCY_IN_DATA_CENTRE
                   : e->is_in_region ? CBW_LATENCY_IN_REGION
                                     : CBW_LATENCY_OUTSIDE,
                   call->request->rank, latency);
    bytes += call->request->statement_size;
    e->mean_latency =
        e->mean_latency == 0
            ? latency
            : e->mean_latency + (latency - e->mean_latency) / MEAN_DIVISOR;
    pool->mean_bytes =
        pool->mean_bytes == 0
            ? bytes
            : (pool->mean_bytes * (MEAN_DIVISOR - 1) + bytes) / MEAN_DIVISOR;
}

/* Sums up the endpoints that can serve reads, either in the owner's region or
 * outside of it. */
static cbw_offload_side_t
sum_side(const cbw_pool_t *pool, cbw_time_t now, bool in_region)
{
    cbw_offload_side_t side = {.slots = 0};
    cbw_time_t latencies = 0;
    int measured = 0;

    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        const cbw_pool_endpoint_t *e = &pool->endpoints[i];
        if (!e->used || e->down || e->info.leaving || now < e->skip_until ||
            now < e->lag_backoff_until || e->is_in_region != in_region ||
            (i == pool->primary && CbwPool_UsablePrimary_(pool, now) < 0)) {
            continue;
        }
        side.slots += e->info.slots - e->leased_slots;
        if (e->mean_latency != 0) {
            latencies += e->mean_latency;
            measured++;
        }
    }
    if (measured > 0) {
        side.latency = latencies / measured;
    }
    return side;
}

bool
CbwPool_MayLeaveRegion_(cbw_pool_t *pool, cbw_time_t now,
                        const cbw_request_t *request)
{
    cbw_offload_side_t here = sum_side(pool, now, true);
    cbw_offload_side_t there = sum_side(pool, now, false);
    cbw_offload_link_t link = {.bytes = pool->mean_bytes};
    cbw_offload_reason_t reason;

    /* The request was taken from the queue. */
    here.waiting = (int)pool->replica_queue.length + 1;
    reason =
        CbwOffload_Decide(&pool->offload, request->rank, &here, &there, &link);
    if (reason == CBW_OFFLOAD_STAYS) {
        return false;
    }
    CbwCounter_Add(pool->counters,
                   reason == CBW_OFFLOAD_NO_ENDPOINT
                       ? CBW_COUNTER_LEFT_NO_ENDPOINT
                   : reason == CBW_OFFLOAD_BEHIND ? CBW_COUNTER_LEFT_BEHIND
                                                  : CBW_COUNTER_LEFT_QUEUE,
                   1);
    return true;
}
