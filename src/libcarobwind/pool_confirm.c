/* Service while the store is silent: the endpoints' own word on who leads
 * stands in for the tenure.  When the primary says that it leads, and every
 * other endpoint of the group that it follows in no higher term, then no
 * promotion had taken effect when the first of them was asked. */

#include <inttypes.h>
#include <string.h>

#include "carobwind/pool.h"
#include "private/pool.h"

bool
CbwPool_IsConfirmed_(const cbw_pool_t *pool, cbw_time_t now)
{
    return pool->confirming && pool->confirmed_at != 0 &&
           now - pool->confirmed_at <= Cbw_POOL_CONFIRM_VALID_FOR;
}

bool
CbwPool_MayServe_(const cbw_pool_t *pool, cbw_time_t now)
{
    return CbwTenure_IsValid(&pool->tenure, now) ||
           CbwPool_IsConfirmed_(pool, now);
}

bool
CbwPool_IsConfirmedAfter_(const cbw_pool_t *pool, cbw_time_t now,
                          cbw_time_t time)
{
    return CbwTenure_IsValid(&pool->tenure, now) ||
           (pool->confirming && pool->confirmed_at > time);
}

/* The endpoint that says that it leads, in the highest term; -1: none. */
static int
find_leader(const cbw_pool_t *pool)
{
    int leader = -1;

    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        const cbw_pool_endpoint_t *e = &pool->endpoints[i];
        if (e->used && e->status_sent_at != 0 && e->is_primary &&
            (leader < 0 ||
             e->status_term > pool->endpoints[leader].status_term)) {
            leader = i;
        }
    }
    return leader;
}

/* Until when nobody else had been promoted; 0: that is not known, as one does
 * not answer or knows a higher term. */
static cbw_time_t
leads_until(const cbw_pool_t *pool, int leader)
{
    const cbw_pool_endpoint_t *primary = &pool->endpoints[leader];
    cbw_time_t until = primary->status_sent_at;
    int others = 0;

    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        const cbw_pool_endpoint_t *e = &pool->endpoints[i];
        if (!e->used || i == leader) {
            continue;
        }
        if (e->down || e->status_sent_at == 0 ||
            e->status_term > primary->status_term) {
            return 0;
        }
        others++;
        until = e->status_sent_at < until ? e->status_sent_at : until;
    }
    return others > 0 && !primary->down ? until : 0;
}

static void
forget_confirmation(cbw_pool_t *pool)
{
    pool->confirmed_at = 0;
    pool->unconfirmed_sample.time = 0;
}

static void
change_leader(cbw_pool_t *pool, cbw_time_t now, int leader)
{
    if (pool->primary != leader || pool->confirmed_term != 0) {
        forget_confirmation(pool);
    }
    if (pool->confirmed_term != 0) {
        CbwPool_FailHeldAnswers_(pool, now); /* answers of the former one */
    }
    pool->confirmed_term = pool->endpoints[leader].status_term;
    if (pool->primary != leader) {
        pool->primary = leader;
        CbwPool_LogDecision_(
            pool, now, "primary by its endpoints: %s, term %" PRIu64,
            pool->endpoints[leader].info.name, pool->confirmed_term);
    }
}

void
CbwPool_UpdateConfirmation_(cbw_pool_t *pool, cbw_time_t now)
{
    int leader = pool->confirming ? find_leader(pool) : -1;
    cbw_time_t until;

    if (leader < 0) {
        return;
    }
    if (leader != pool->primary ||
        pool->endpoints[leader].status_term != pool->confirmed_term) {
        change_leader(pool, now, leader);
    }
    until = leads_until(pool, leader);
    if (until <= pool->confirmed_at) {
        return;
    }
    if (pool->confirmed_at == 0) {
        CbwPool_LogDecision_(pool, now,
                             "serves by its endpoints' word: %s leads",
                             pool->endpoints[leader].info.name);
    }
    pool->confirmed_at = until;
    if (pool->unconfirmed_sample.time != 0 &&
        pool->unconfirmed_sample.time <= until) {
        CbwPool_ObservePosition_(pool, pool->unconfirmed_sample.time,
                                 pool->unconfirmed_sample.position);
        pool->unconfirmed_sample.time = 0;
    }
    CbwPool_ReleaseHeldAnswers_(pool, now);
}

void
CbwPool_ObserveUnconfirmed_(cbw_pool_t *pool, cbw_time_t sent,
                            cbw_position_t position)
{
    if (pool->confirming && pool->unconfirmed_sample.time == 0) {
        pool->unconfirmed_sample =
            (cbw_pool_sample_t){.time = sent, .position = position};
    }
}

static bool
wants_confirmation(const cbw_pool_t *pool, cbw_time_t now)
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
    if (!wants_confirmation(pool, now)) {
        if (pool->confirming) {
            CbwPool_LogDecision_(pool, now, "asks its endpoints no more");
            pool->confirming = false;
            forget_confirmation(pool);
        }
        return;
    }
    if (!pool->confirming) {
        CbwPool_LogDecision_(
            pool, now, "the store is silent: asks the endpoints who leads");
        pool->confirming = true;
        pool->confirmed_term = 0;
        forget_confirmation(pool);
    }
    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        const cbw_pool_endpoint_t *e = &pool->endpoints[i];
        if (e->used && !e->down &&
            now - e->status_sent_at >= Cbw_POOL_CONFIRM_INTERVAL) {
            CbwPool_RequestStatus_(pool, now, i);
        }
    }
}
