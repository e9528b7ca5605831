#include "carobwind/handover.h"

void
CbwHandover_SetPlacement(cbw_handover_t *handover, bool owned,
                         cbw_time_t moved_at)
{
    if (owned || moved_at != handover->moved_at) {
        handover->done = false;
        handover->next_offer_at = 0;
    }
    handover->owned = owned;
    handover->moved_at = moved_at;
}

static bool
is_recent(const cbw_handover_t *handover, cbw_time_t now)
{
    return handover->moved_at != 0 &&
           now - handover->moved_at < Cbw_HANDOVER_WAIT;
}

bool
CbwHandover_IsPending(const cbw_handover_t *handover, cbw_time_t now,
                      bool holds)
{
    return !handover->owned && holds && !handover->done &&
           is_recent(handover, now);
}

bool
CbwHandover_IsAssigned(const cbw_handover_t *handover, cbw_time_t now,
                       bool holds)
{
    return handover->owned ? holds || !is_recent(handover, now)
                           : CbwHandover_IsPending(handover, now, holds);
}

bool
CbwHandover_IsDue(const cbw_handover_t *handover, cbw_time_t now, bool holds,
                  bool may_leave)
{
    return may_leave && !handover->in_flight &&
           now >= handover->next_offer_at &&
           CbwHandover_IsPending(handover, now, holds);
}

void
CbwHandover_OnSent(cbw_handover_t *handover)
{
    handover->in_flight = true;
}

void
CbwHandover_OnAnswer(cbw_handover_t *handover, cbw_time_t now, bool ready)
{
    handover->in_flight = false;
    handover->done = ready && !handover->owned;
    handover->next_offer_at = now + Cbw_HANDOVER_RETRY_INTERVAL;
}
