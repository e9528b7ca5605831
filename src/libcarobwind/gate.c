#include "carobwind/gate.h"

/* Reciprocal of the weight of a dispatch in the smoothed interval. */
#define SMOOTHING 16
/* An interval longer than this many times the smoothed one plus the allowance
 * is an interruption of the service, and is not averaged. */
#define INTERRUPTION_FACTOR 10
#define INTERRUPTION_ALLOWANCE (50 * Cbw_MSEC)
/* How long a measurement is valid. */
#define VALID_FOR (2 * Cbw_SEC)
/* There is a standing queue once all dispatched requests have waited for more
 * than this percentage of their targets, during this many targets; no longer,
 * once they have waited for less during the same time. */
#define STANDING_PERCENT 20
#define STANDING_TARGETS 2
/* The golden ratio in 1/1024: its multiples modulo 1 are spread evenly. */
#define SPREAD_STEP 633
#define SPREAD_UNIT 1024

static void
measure(cbw_gate_t *gate, cbw_time_t now)
{
    cbw_time_t interval = now - gate->dispatched_at;

    if (gate->interval == 0) {
        gate->interval = interval;
    }
    else if (interval <=
             INTERRUPTION_FACTOR * gate->interval + INTERRUPTION_ALLOWANCE) {
        gate->interval += (interval - gate->interval) / SMOOTHING;
    }
    gate->measured_at = now;
}

static void
update_standing(cbw_gate_t *gate, cbw_time_t now, bool long_wait,
                cbw_time_t target)
{
    if (long_wait == gate->has_standing_queue) {
        gate->contrary_since = 0;
    }
    else if (gate->contrary_since == 0) {
        gate->contrary_since = now;
    }
    else if (now - gate->contrary_since > STANDING_TARGETS * target) {
        gate->has_standing_queue = long_wait;
        gate->contrary_since = 0;
    }
}

void
CbwGate_OnDispatch(cbw_gate_t *gate, cbw_time_t now, cbw_time_t waited,
                   cbw_time_t target, size_t left)
{
    if (gate->has_backlog) {
        measure(gate, now);
    }
    gate->dispatched_at = now;
    gate->has_backlog = left > 0;
    if (target > 0) {
        update_standing(gate, now, waited * 100 > target * STANDING_PERCENT,
                        target);
    }
}

cbw_time_t
CbwGate_PredictWait(const cbw_gate_t *gate, cbw_time_t now, size_t ahead)
{
    return now - gate->measured_at <= VALID_FOR
               ? (cbw_time_t)(ahead + 1) * gate->interval
               : 0;
}

bool
CbwGate_Admit(cbw_gate_t *gate, cbw_time_t now, size_t ahead,
              cbw_time_t target, cbw_time_t *retry_after)
{
    int burst_wait_percent = gate->burst_wait_percent != 0
                                 ? gate->burst_wait_percent
                                 : Cbw_GATE_BURST_WAIT_PERCENT;
    cbw_time_t longest =
        target *
        (gate->has_standing_queue ? Cbw_GATE_STANDING_WAIT_PERCENT
                                  : burst_wait_percent) /
        100;
    cbw_time_t wait = CbwGate_PredictWait(gate, now, ahead);

    if (target <= 0 || ahead == 0 || wait <= longest) {
        return true;
    }
    gate->refusals++;
    *retry_after =
        wait + wait *
                   (cbw_time_t)(gate->refusals * SPREAD_STEP % SPREAD_UNIT) /
                   SPREAD_UNIT;
    return false;
}
