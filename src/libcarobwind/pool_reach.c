#include <string.h>

#include "carobwind/pool.h"
#include "private/pool.h"

/* Decisions by peers' answers about a primary that is down for this host. */

void
CbwPool_SetObserver(cbw_pool_t *pool, cbw_time_t delay, bool strict_witnesses)
{
    pool->observer_delay = delay;
    pool->strict_witnesses = strict_witnesses;
}

/* Whether the primary may seem down only because of this host's own delay. */
static bool
is_observer_delayed(const cbw_pool_t *pool, cbw_time_t now)
{
    return pool->observer_delay > 0 && pool->primary >= 0 &&
           now - pool->endpoints[pool->primary].down_since <
               Cbw_POOL_OBSERVER_LATE_MAX;
}

/* Peers are asked again after a pause. */
static void
retry_reach_later(cbw_pool_t *pool, cbw_time_t now, const char *reason)
{
    CbwPool_SetPhase_(pool, now, CBW_POOL_SERVING);
    pool->reach_due_at = now + Cbw_POOL_REACH_PAUSE;
    CbwPool_LogDecision_(pool, now, "peers are asked again: %s", reason);
}

void
CbwPool_OnReachUnknown(cbw_pool_t *pool, cbw_time_t now)
{
    if (pool->phase != CBW_POOL_ASKING_REACH) {
        return;
    }
    if (++pool->reach_rounds >= Cbw_POOL_REACH_ROUNDS) {
        CbwPool_OnReach(pool, now, NULL);
        return;
    }
    retry_reach_later(pool, now, "too few of them answered");
}

void
CbwPool_OnReach(cbw_pool_t *pool, cbw_time_t now, const char *host)
{
    if (pool->phase != CBW_POOL_ASKING_REACH) {
        return;
    }
    if (is_observer_delayed(pool, now)) {
        retry_reach_later(pool, now, "this host itself is late");
        return;
    }
    pool->reach_rounds = 0;
    CbwPool_SetPhase_(pool, now, CBW_POOL_SERVING);
    if (host == NULL) {
        pool->primary_unreachable_until = now + Cbw_POOL_PROMOTION_RETRY_AFTER;
        return;
    }
    CbwPool_LogDecision_(
        pool, now, "%s reaches the primary: requests are redirected to it",
        host);
    pool->redirected_until = now + Cbw_POOL_PROMOTION_RETRY_AFTER;
    pool->redirected_to_promoter = false;
    pool->ops->redirect(pool->context, host, true);
    CbwPool_ReturnUnsent(pool);
}
