/* Reads in other regions: an owner's samples and leases for read dispatchers,
 * and the pool of a read dispatcher. */

#include <string.h>

#include "carobwind/pool.h"
#include "private/pool.h"

/* How long no lease is granted after a request to release the tenure. Longer
 * than a lease, so that the present ones have ended when it is repeated. */
#define LEASE_PAUSE (2 * Cbw_SEC)

void
CbwPool_SetReadDispatch(cbw_pool_t *pool, cbw_read_dispatch_t *reads)
{
    pool->reads = reads;
}

bool
CbwPool_HasLease(const cbw_pool_t *pool, cbw_time_t now)
{
    return now < pool->leases_until;
}

bool
CbwPool_HasTransaction(cbw_pool_t *pool, uint64_t id)
{
    return CbwPool_FindTransaction_(pool, id) != NULL;
}

void
CbwPool_HandBack_(cbw_pool_t *pool, cbw_request_t *request)
{
    CbwList_Remove(&request->link);
    request->answer.outcome = CBW_OUTCOME_PENDING;
    CbwCounter_Add(pool->counters, CBW_COUNTER_READS_HANDED_BACK, 1);
    pool->ops->answer(pool->context, request);
}

void
CbwPool_LeasedShare_(const cbw_pool_t *pool, int *connections, int *slots)
{
    *connections = pool->reads->connections - 1;
    *slots = pool->reads->slots;
}

bool
CbwPool_SuspendLeases_(cbw_pool_t *pool, cbw_time_t now)
{
    pool->no_leases_until = now + LEASE_PAUSE;
    return CbwPool_HasLease(pool, now);
}

void
CbwPool_EndLeases_(cbw_pool_t *pool, cbw_time_t now)
{
    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        cbw_pool_endpoint_t *e = &pool->endpoints[i];
        if (e->used && e->lease_until != 0 && now >= e->lease_until) {
            e->lease_until = 0;
            e->leased_connections = 0;
            e->leased_slots = 0;
        }
    }
}

/* Returns the latest sample if it proves anything: this owner has the tenure,
 * carries out no promotion, and the primary leads the highest known term with
 * an entry of its own. Before that entry, a log with discarded entries may go
 * beyond the primary's position. */
static const cbw_pool_sample_t *
provable_sample(const cbw_pool_t *pool, cbw_time_t now)
{
    if (pool->phase != CBW_POOL_SERVING || pool->stopping ||
        !CbwTenure_IsValid(&pool->tenure, now) || !pool->tenure.held ||
        pool->tenure.record.promoting || pool->primary < 0 ||
        pool->sample_count == 0 ||
        pool->primary_position.term != pool->highest_term) {
        return NULL;
    }
    return &pool->samples[(pool->sample_count - 1) % Cbw_POOL_SAMPLES_MAX];
}

/* Grants, or extends, the lease on an endpoint. */
static void
grant(cbw_pool_t *pool, cbw_time_t now, cbw_pool_endpoint_t *e,
      uint64_t holder, cbw_read_offer_t *offer)
{
    int connections = e->info.connections / Cbw_READ_LEASE_DIVISOR;
    cbw_time_t length = pool->tenure.valid_until - now - Cbw_READ_LEASE_MARGIN;

    if (length > Cbw_READ_LEASE) {
        length = Cbw_READ_LEASE;
    }
    if (length <= 0 || now < pool->no_leases_until ||
        e->info.connections < Cbw_READ_CONNECTIONS_MIN ||
        e->peak_connections > e->info.connections * 9 / 20 - connections ||
        (now < e->lease_until && e->lease_holder != holder)) {
        return;
    }
    e->lease_holder = holder;
    e->lease_until = now + length + Cbw_READ_LEASE_MARGIN;
    e->leased_connections = connections;
    e->leased_slots =
        connections - 1 < e->info.slots ? connections - 1 : e->info.slots;
    if (e->lease_until > pool->leases_until) {
        pool->leases_until = e->lease_until;
    }
    offer->lease = length;
    offer->connections = e->leased_connections;
    offer->slots = e->leased_slots;
}

bool
CbwPool_OfferReads(cbw_pool_t *pool, cbw_time_t now, uint64_t holder,
                   const char *endpoint, cbw_read_offer_t *offer)
{
    const cbw_pool_sample_t *sample = provable_sample(pool, now);
    const cbw_pool_endpoint_t *primary;
    int index = CbwPool_FindEndpoint_(pool, endpoint);

    memset(offer, 0, sizeof(*offer));
    if (sample == NULL) {
        return false;
    }
    primary = &pool->endpoints[pool->primary];
    if (now - sample->time >= Cbw_READ_SAMPLE_INTERVAL) {
        CbwPool_SendStateCall_(pool, now, pool->primary);
    }
    offer->owner = pool->tenure.self.nonce;
    offer->term = pool->highest_term;
    offer->position =
        CbwPosition_Compare(sample->position, pool->promotion_position) < 0
            ? pool->promotion_position
            : sample->position;
    offer->age = now - sample->time;
    /* A primary that may be lost is about to be replaced, and a promotion
     * waits until all leases have ended. */
    if (index >= 0 && index != pool->primary && !primary->suspect &&
        !primary->down && primary->consecutive_failures == 0 &&
        !pool->endpoints[index].is_in_region && !pool->endpoints[index].down &&
        !pool->endpoints[index].info.leaving) {
        grant(pool, now, &pool->endpoints[index], holder, offer);
    }
    return true;
}
