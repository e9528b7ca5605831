/* Admission to a queue: decides on arrival whether a request is queued, or
 * refused because it would wait too long.
 *
 * Load pattern: more requests arrive for a database than its endpoints serve,
 * as when its replicas lag and one endpoint serves all. All queued requests
 * would wait until they expire, and those that are served would be late. A
 * request that would expire is refused at once instead. While there is a
 * standing queue, that is, one that has not become short for a while, fewer
 * are admitted: the same number is served, after shorter waits. A short burst
 * is admitted as a whole.
 *
 * The module does no I/O, and the time is an argument. */
#ifndef CAROBWIND_GATE_H
#define CAROBWIND_GATE_H

#include <stdbool.h>
#include <stddef.h>

#include "carobwind/types.h"

/* Longest predicted wait, in percent of a request's target, with which it is
 * admitted: normally, and with a standing queue. */
#define Cbw_GATE_BURST_WAIT_PERCENT 100
#define Cbw_GATE_STANDING_WAIT_PERCENT 40

/* One queue's gate. Zero is its initial state. */
typedef struct {
    cbw_time_t dispatched_at; /* last; 0: never */
    bool has_backlog;         /* the queue was not empty after that */
    cbw_time_t interval;      /* of dispatches under backlog, smoothed;
                                 0: unknown */
    cbw_time_t measured_at;   /* when that was last updated */
    bool has_standing_queue;
    cbw_time_t contrary_since; /* since when waits contradict it; 0: they do
                                  not */
    unsigned refusals;
    /* In place of Cbw_GATE_BURST_WAIT_PERCENT; 0: that. */
    int burst_wait_percent;
} cbw_gate_t;

/* A request that waited for `waited` was dispatched; `left` others remain. */
void CbwGate_OnDispatch(cbw_gate_t *gate, cbw_time_t now, cbw_time_t waited,
                        cbw_time_t target, size_t left);
/* Returns how long it takes until `ahead` queued requests and one more are
 * dispatched; 0: unknown. */
cbw_time_t CbwGate_PredictWait(const cbw_gate_t *gate, cbw_time_t now,
                               size_t ahead);
/* Returns whether a request with a latency target (0: none) is admitted when
 * `ahead` others are queued before it. If not, sets `retry_after` to between
 * one and two times the predicted wait, so that callers do not all retry at
 * once. */
bool CbwGate_Admit(cbw_gate_t *gate, cbw_time_t now, size_t ahead,
                   cbw_time_t target, cbw_time_t *retry_after);

#endif
