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
CbwSpread_OnFetched(cbw_spread_t *spread)
{
    spread->waiting_since = 0;
}
