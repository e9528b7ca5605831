/* Delay of this host itself: of its event loop, and of round trips on its
 * link. A delayed host would declare healthy peers and endpoints dead, since
 * their answers wait in its own queues. So its suspicion timeouts grow with
 * its delay, and it does not promote.
 *
 * Only late ticks and late answers count. Calls without an answer do not: they
 * may be due to a partition, whose detection must not be delayed.
 *
 * The module does no I/O, and the time is an argument. */
#ifndef CAROBWIND_LOCAL_HEALTH_H
#define CAROBWIND_LOCAL_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

#include "carobwind/types.h"

/* Delays below this are normal and count as 0. */
#define Cbw_LOCAL_HEALTH_TOLERANCE (100 * Cbw_MSEC)
/* How long a delay counts after it was measured. */
#define Cbw_LOCAL_HEALTH_WINDOW (2 * Cbw_SEC)
/* Upper bound of the delay, so that a host that was stopped for long detects
 * failures again soon. */
#define Cbw_LOCAL_HEALTH_DELAY_MAX (600 * Cbw_MSEC)
/* Number of answers in a window that must be late: a single one may be due to
 * a slow peer. */
#define Cbw_LOCAL_HEALTH_LATE_ANSWERS 3
/* Number of places whose shortest round trip is kept. */
#define Cbw_LOCAL_HEALTH_PLACES 32

/* Zero is the initial state. Needs no finish. */
typedef struct {
    cbw_time_t ticked_at; /* 0: never */
    cbw_time_t loop_delay;
    cbw_time_t loop_late_at; /* 0: never */
    cbw_time_t answer_delay; /* the smallest of the late answers */
    cbw_time_t answers_late_since;
    int late_answers;
    /* Shortest round trip to the hosts of a place, by the hash of its name. */
    struct {
        uint32_t hash; /* 0: free */
        cbw_time_t shortest;
    } places[Cbw_LOCAL_HEALTH_PLACES];
} cbw_local_health_t;

/* A timer of `interval` fired. */
void CbwLocalHealth_OnTick(cbw_local_health_t *health, cbw_time_t now,
                           cbw_time_t interval);
/* A call to a host of `place` was answered after `round_trip`. The first call
 * on a connection may take twice as long as the later ones. */
void CbwLocalHealth_OnAnswer(cbw_local_health_t *health, cbw_time_t now,
                             const char *place, cbw_time_t round_trip);
/* Returns the delay of this host; 0: none. */
cbw_time_t CbwLocalHealth_Delay(const cbw_local_health_t *health,
                                cbw_time_t now);
/* Returns `limit`, extended by the delay of this host. */
cbw_time_t CbwLocalHealth_Widen(const cbw_local_health_t *health,
                                cbw_time_t now, cbw_time_t limit);
/* Returns the usual round trip to hosts of a place; 0: it is not known. */
cbw_time_t CbwLocalHealth_RoundTrip(const cbw_local_health_t *health,
                                    const char *place);

#endif
