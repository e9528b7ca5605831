/* Service while the store is unresponsive. A confirmation of the primary by
 * all endpoints replaces the tenure: if one endpoint reports itself as the
 * primary, and no other endpoint of the group reports a higher term, then no
 * other promotion had taken effect when the first of them was asked. As a
 * promoted endpoint may not be listed any more, a term below the highest known
 * one is superseded, whatever the listed endpoints report. */

#include <inttypes.h>
#include <string.h>

#include "carobwind/pool.h"
#include "private/pool.h"

bool
CbwPool_IsConfirmedByEndpoints_(const cbw_pool_t *pool, cbw_time_t now)
{
    return pool->confirming && pool->confirmed_at != 0 &&
           now - pool->confirmed_at <= Cbw_POOL_CONFIRM_VALID_FOR;
}

bool
CbwPool_MayServe_(const cbw_pool_t *pool, cbw_time_t now)
{
    return CbwTenure_IsValid(&pool->tenure, now) ||
           CbwPool_IsConfirmedByEndpoints_(pool, now);
}

bool
CbwPool_WasPrimaryAt_(const cbw_pool_t *pool, cbw_time_t now, cbw_time_t time)
{
    return CbwTenure_IsValid(&pool->tenure, now) ||
           (pool->confirming && pool->confirmed_at > time);
}

/* Returns the endpoint that reports itself as the primary with the highest
 * term, or -1. */
static int
find_reported_primary(const cbw_pool_t *pool)
{
    int reported = -1;

    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        const cbw_pool_endpoint_t *e = &pool->endpoints[i];
        if (e->used && e->reported_as_of != 0 && e->is_primary &&
            e->reported_term >= pool->highest_term &&
            (reported < 0 ||
             e->reported_term > pool->endpoints[reported].reported_term)) {
            reported = i;
        }
    }
    return reported;
}

/* Returns the time up to which it is proved that no endpoint other than
 * `reported` had been promoted: the earliest send time of the endpoints'
 * latest answered state calls. Returns 0 when nothing is proved, as an
 * endpoint does not answer or reports a higher term. */
static cbw_time_t
find_confirmed_time(const cbw_pool_t *pool, int reported)
{
    const cbw_pool_endpoint_t *primary = &pool->endpoints[reported];
    cbw_time_t earliest = primary->reported_as_of;
    int others = 0;

    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        const cbw_pool_endpoint_t *e = &pool->endpoints[i];
        if (!e->used || i == reported) {
            continue;
        }
        if (e->down || e->reported_as_of == 0 ||
            e->reported_term > primary->reported_term) {
            return 0;
        }
        others++;
        earliest = e->reported_as_of < earliest ? e->reported_as_of : earliest;
    }
    return others > 0 && !primary->down ? earliest : 0;
}

void
CbwPool_ResetConfirmation_(cbw_pool_t *pool)
{
    pool->confirmed_at = 0;
    pool->unconfirmed_sample.time = 0;
}

static void
set_reported_primary(cbw_pool_t *pool, cbw_time_t now, int reported)
{
    uint64_t term = pool->endpoints[reported].reported_term;

    pool->primary_reported_term = term;
    if (CbwPool_SetPrimary_(pool, now, reported, term)) {
        CbwPool_LogDecision_(
            pool, now, "primary according to the endpoints: %s, term %" PRIu64,
            pool->endpoints[reported].info.name, term);
    }
}

void
CbwPool_UpdateConfirmation_(cbw_pool_t *pool, cbw_time_t now)
{
    int reported = pool->confirming ? find_reported_primary(pool) : -1;
    cbw_time_t confirmed_time;

    if (reported < 0) {
        return;
    }
    if (reported != pool->primary || pool->endpoints[reported].reported_term !=
                                         pool->primary_reported_term) {
        set_reported_primary(pool, now, reported);
    }
    confirmed_time = find_confirmed_time(pool, reported);
    if (confirmed_time <= pool->confirmed_at) {
        return;
    }
    if (pool->confirmed_at == 0) {
        CbwPool_LogDecision_(
            pool, now, "all endpoints confirm %s as the primary: serving",
            pool->endpoints[reported].info.name);
    }
    pool->confirmed_at = confirmed_time;
    if (pool->unconfirmed_sample.time != 0 &&
        pool->unconfirmed_sample.time <= confirmed_time) {
        CbwPool_ObservePosition_(pool, pool->unconfirmed_sample.time,
                                 pool->unconfirmed_sample.position);
        pool->unconfirmed_sample.time = 0;
    }
    CbwPool_ReleaseHeldAnswers_(pool, now);
}

static bool
needs_confirmation(const cbw_pool_t *pool, cbw_time_t now)
{
    return !pool->stopping && !pool->synchronous &&
           pool->phase < CBW_POOL_CLAIMING &&
           now - pool->last_submit_at <= Cbw_POOL_CONFIRM_IDLE_TIMEOUT &&
           CbwTenure_IsStoreUnresponsive(&pool->tenure, now) &&
           now + Cbw_POOL_CONFIRM_HEAD_START >= pool->tenure.valid_until;
}

void
CbwPool_TickConfirmation_(cbw_pool_t *pool, cbw_time_t now)
{
    if (!needs_confirmation(pool, now)) {
        if (pool->confirming) {
            CbwPool_LogDecision_(
                pool, now, "stops polling the endpoints for confirmation");
            pool->confirming = false;
            CbwPool_ResetConfirmation_(pool);
        }
        return;
    }
    if (!pool->confirming) {
        CbwPool_LogDecision_(pool, now,
                             "the store is unresponsive: polling the "
                             "endpoints to confirm the primary");
        pool->confirming = true;
        pool->primary_reported_term = 0;
        CbwPool_ResetConfirmation_(pool);
    }
    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        const cbw_pool_endpoint_t *e = &pool->endpoints[i];
        if (e->used && !e->down &&
            now - e->reported_as_of >= Cbw_POOL_CONFIRM_INTERVAL) {
            CbwPool_SendStateCall_(pool, now, i);
        }
    }
}
