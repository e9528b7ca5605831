/* Decides whether a queued request stays in the queue, is moved behind those
 * that can still be served in time, or is refused.
 *
 * Load pattern: capacity drops or load grows while requests are queued, as
 * when an endpoint becomes slow. Requests that were admitted will then miss
 * their targets. Holding one until it expires leaves its caller no time for
 * another attempt, and serving it late takes a slot from one that would be in
 * time.
 *
 * All limits are percentages of the latency target or, without one, of the
 * time until the deadline. No request is held until its deadline.
 *
 * The module does no I/O, and the time is an argument. */
#ifndef CAROBWIND_HOLD_H
#define CAROBWIND_HOLD_H

#include <stdbool.h>

#include "carobwind/types.h"

/* When the expected remaining wait is checked, and how long a request is held
 * while no endpoint can take it, in percent of the target. A caller that is
 * refused within a quarter of the target has time for another attempt; the
 * difference is for the tick interval and the transfer to the entry. */
#define Cbw_HOLD_REVIEW_PERCENT 20
/* A request that is sent after this percentage of its target is late: a
 * statement sent after 75 % of it would miss the target. */
#define Cbw_HOLD_IN_TIME_PERCENT 60
/* A request is refused at the latest after this percentage of the time until
 * its deadline, so that its caller can make another attempt. */
#define Cbw_HOLD_DEADLINE_PERCENT 75

typedef enum {
    CBW_HOLD_KEEP,
    CBW_HOLD_REVIEW, /* ask CbwHold_IsTooLate, once */
    CBW_HOLD_PUT_BEHIND,
    CBW_HOLD_REFUSE,
} cbw_hold_decision_t;

/* A queued request and the state of its queue. */
typedef struct {
    cbw_time_t arrived_at;
    cbw_time_t target; /* 0: none */
    cbw_time_t deadline;
    bool reviewed;
    bool behind;
    bool blocked; /* no endpoint can take it */
    bool stalled; /* nothing was dispatched from its queue since it arrived */
} cbw_hold_t;

cbw_hold_decision_t CbwHold_Decide(const cbw_hold_t *hold, cbw_time_t now);
/* Returns whether a request with this expected remaining `wait` (0: unknown)
 * will be sent too late. */
bool CbwHold_IsTooLate(const cbw_hold_t *hold, cbw_time_t now,
                       cbw_time_t wait);
/* Returns the longest time that a request is held while no endpoint can take
 * it. */
cbw_time_t CbwHold_BlockedLimit(const cbw_hold_t *hold);

#endif
