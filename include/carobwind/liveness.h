/* Tells whether the connection to an unresponsive peer is lost, or the peer is
 * only slow.
 *
 * Load pattern: a host freezes, becomes slow or is cut off for some hundred
 * milliseconds while calls to it are in flight; or a device between the hosts
 * drops one connection, while new ones work. A connection on which nothing
 * arrives for a while is retired: new calls use a new connection, and calls
 * that can be repeated end and are sent elsewhere. The others continue to
 * wait, since their answers may still arrive. They end once the new connection
 * carries answers and the retired one does not.
 *
 * The module does no I/O, and the time is an argument. */
#ifndef CAROBWIND_LIVENESS_H
#define CAROBWIND_LIVENESS_H

#include <stdbool.h>

#include "carobwind/types.h"

/* Time without input after which a connection with calls in flight is probed,
 * and after which it is retired. */
#define Cbw_LIVENESS_PROBE_AFTER (120 * Cbw_MSEC)
#define Cbw_LIVENESS_RETIRE_AFTER (300 * Cbw_MSEC)
/* A retired connection is lost when nothing has arrived on it for this long
 * after the new one carried an answer. A peer that resumes answers on both. */
#define Cbw_LIVENESS_LOST_AFTER (200 * Cbw_MSEC)

typedef enum {
    CBW_LIVENESS_GOOD,
    CBW_LIVENESS_PROBE,
    CBW_LIVENESS_RETIRE,
    CBW_LIVENESS_LOST,
} cbw_liveness_verdict_t;

/* State of a connection with calls in flight. */
typedef struct {
    cbw_time_t waiting_since; /* since when calls have been in flight */
    cbw_time_t heard_at;      /* when bytes last arrived; 0: never */
    bool probed;              /* a probe is in flight */
    cbw_time_t retired_at;    /* 0: it is not retired */
    /* When bytes first arrived on the new connection that replaces a retired
     * one; 0: none did. */
    cbw_time_t successor_heard_at;
    /* Delay of this host (local_health.h), for which the peer does not
     * account. */
    cbw_time_t local_delay;
} cbw_liveness_t;

cbw_liveness_verdict_t CbwLiveness_Judge(const cbw_liveness_t *liveness,
                                         cbw_time_t now);

#endif
