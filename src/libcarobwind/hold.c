#include "carobwind/hold.h"

/* Percentage of the expected wait that must fit. Above 100, since a request
 * that is refused later was held for nothing. */
#define EXPECTED_WAIT_PERCENT 200

/* Returns the time to which the percentages apply. */
static cbw_time_t
span_of(const cbw_hold_t *hold)
{
    return hold->target > 0 ? hold->target : hold->deadline - hold->arrived_at;
}

/* Returns the latest time at which the request is refused. */
static cbw_time_t
latest(const cbw_hold_t *hold)
{
    cbw_time_t by_target = hold->arrived_at + span_of(hold);
    cbw_time_t by_deadline =
        hold->arrived_at +
        (hold->deadline - hold->arrived_at) * Cbw_HOLD_DEADLINE_PERCENT / 100;

    return by_target < by_deadline ? by_target : by_deadline;
}

cbw_time_t
CbwHold_BlockedLimit(const cbw_hold_t *hold)
{
    return span_of(hold) * Cbw_HOLD_REVIEW_PERCENT / 100;
}

cbw_hold_decision_t
CbwHold_Decide(const cbw_hold_t *hold, cbw_time_t now)
{
    cbw_time_t waited = now - hold->arrived_at;
    bool in_time = waited * 100 < span_of(hold) * Cbw_HOLD_IN_TIME_PERCENT;

    if (now >= latest(hold) || (!in_time && hold->stalled) ||
        (hold->blocked && waited >= CbwHold_BlockedLimit(hold))) {
        return CBW_HOLD_REFUSE;
    }
    if (!in_time && !hold->behind) {
        return CBW_HOLD_PUT_BEHIND;
    }
    if (in_time && !hold->reviewed &&
        waited * 100 >= span_of(hold) * Cbw_HOLD_REVIEW_PERCENT) {
        return CBW_HOLD_REVIEW;
    }
    return CBW_HOLD_KEEP;
}

bool
CbwHold_IsTooLate(const cbw_hold_t *hold, cbw_time_t now, cbw_time_t wait)
{
    return wait > 0 &&
           (now + wait * EXPECTED_WAIT_PERCENT / 100 - hold->arrived_at) *
                   100 >
               span_of(hold) * Cbw_HOLD_IN_TIME_PERCENT;
}
