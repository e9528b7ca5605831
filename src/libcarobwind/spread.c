#include "carobwind/spread.h"

bool
CbwSpread_MayFetch(cbw_spread_t *spread, cbw_time_t now, bool local)
{
    if (local || spread->rank < Cbw_SPREAD_FETCHERS) {
        return true;
    }
    if (spread->waiting_since == 0) {
        spread->waiting_since = now;
    }
    return now - spread->waiting_since >= Cbw_SPREAD_WAIT;
}

bool
CbwSpread_MayRepair(cbw_spread_t *spread, cbw_time_t now, bool large)
{
    if (!large) {
        return true;
    }
    if (spread->differs_since == 0) {
        spread->differs_since = now;
    }
    return now - spread->differs_since >= Cbw_SPREAD_REPAIR_AFTER_MAX ||
           (now - spread->differs_since >= Cbw_SPREAD_REPAIR_AFTER &&
            now - spread->changed_at >= Cbw_SPREAD_REPAIR_AFTER);
}

void
CbwSpread_OnChanged(cbw_spread_t *spread, cbw_time_t now)
{
    spread->changed_at = now;
}

/* Returns `first`, doubled with each loss but the first one, up to `longest`.
 */
static cbw_time_t
back_off(const cbw_spread_t *spread, cbw_time_t first, cbw_time_t longest)
{
    for (int i = 1; i < spread->losses && first < longest; i++) {
        first *= 2;
    }
    return first < longest ? first : longest;
}

cbw_time_t
CbwSpread_OnSent(cbw_spread_t *spread, cbw_time_t now)
{
    spread->sent_at = now;
    spread->diff_refused = false;
    spread->differs_since = 0;
    spread->timeout = back_off(spread, Cbw_SPREAD_FETCH_TIMEOUT,
                               Cbw_SPREAD_FETCH_TIMEOUT_MAX);
    return spread->timeout;
}

cbw_time_t
CbwSpread_NextFetchAt(const cbw_spread_t *spread, cbw_time_t now,
                      cbw_random_t *random)
{
    cbw_time_t pause = back_off(spread, Cbw_SPREAD_FETCH_INTERVAL,
                                Cbw_SPREAD_FETCH_INTERVAL_MAX);
    cbw_time_t budget =
        (cbw_time_t)spread->last_bytes * Cbw_SEC / Cbw_SPREAD_BYTES_PER_SECOND;

    if (spread->losses > 1) {
        return now + pause +
               (cbw_time_t)CbwRandom_Below(random, (uint64_t)pause);
    }
    budget = budget < Cbw_SPREAD_BUDGET_PAUSE_MAX
                 ? budget
                 : Cbw_SPREAD_BUDGET_PAUSE_MAX;
    return spread->sent_at + (pause > budget ? pause : budget);
}

void
CbwSpread_OnLost(cbw_spread_t *spread, cbw_time_t now, bool diff)
{
    bool refused = now - spread->sent_at < spread->timeout;

    spread->diff_refused = diff && refused;
    spread->last_bytes = 0;
    spread->losses += !refused;
}

void
CbwSpread_OnFetched(cbw_spread_t *spread, size_t bytes)
{
    spread->waiting_since = 0;
    spread->losses = 0;
    spread->last_bytes = bytes;
}
