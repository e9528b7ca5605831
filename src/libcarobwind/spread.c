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

void
CbwSpread_OnSent(cbw_spread_t *spread, cbw_time_t now)
{
    spread->sent_at = now;
    spread->diff_refused = false;
}

void
CbwSpread_OnLost(cbw_spread_t *spread, cbw_time_t now, bool diff)
{
    spread->diff_refused =
        diff && now - spread->sent_at < Cbw_SPREAD_FETCH_TIMEOUT;
}

void
CbwSpread_OnFetched(cbw_spread_t *spread)
{
    spread->waiting_since = 0;
}
