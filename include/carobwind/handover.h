/* Hand-over of a database to a new owner after its home moved (see region.h).
 *
 * The current holder of the tenure asks the next owner to prepare, and serves
 * until that one has the tenure. The next owner does not take the tenure from
 * a live holder. Both stop waiting after Cbw_HANDOVER_WAIT, as the other one
 * may not know of the new home. */
#ifndef CAROBWIND_HANDOVER_H
#define CAROBWIND_HANDOVER_H

#include "carobwind/types.h"

/* Longer than it takes until all hosts know of a registration (at most 4 s)
 * and until the lease of the promotion request that moved the home is over
 * (Cbw_POOL_ORDER_LEASE). */
#define Cbw_HANDOVER_WAIT (10 * Cbw_SEC)
/* Interval between requests to the next owner. */
#define Cbw_HANDOVER_RETRY_INTERVAL (500 * Cbw_MSEC)

/* State of one host for one database. Zero is its initial state. */
typedef struct {
    bool owned; /* the placement names this host */
    /* When this host learned of the database's current home; 0: it has known
     * no other home. */
    cbw_time_t moved_at;
    bool in_flight;           /* the next owner has been asked */
    bool done;                /* it has the tenure */
    cbw_time_t next_offer_at; /* at the earliest */
} cbw_handover_t;

/* Sets the result of the placement. */
void CbwHandover_SetPlacement(cbw_handover_t *handover, bool owned,
                              cbw_time_t moved_at);
/* Returns whether this host holds the tenure (`holds`) and is to hand the
 * database over. Until it has, the database is assigned to it. */
bool CbwHandover_IsPending(const cbw_handover_t *handover, cbw_time_t now,
                           bool holds);
/* Returns whether the database is assigned to this host, see
 * CbwPool_SetAssigned. */
bool CbwHandover_IsAssigned(const cbw_handover_t *handover, cbw_time_t now,
                            bool holds);
/* Returns whether to ask the next owner now. `may_leave`: this host serves,
 * and carries out no promotion. */
bool CbwHandover_IsDue(const cbw_handover_t *handover, cbw_time_t now,
                       bool holds, bool may_leave);
/* The next owner was asked; its answer, false if there was none. */
void CbwHandover_OnSent(cbw_handover_t *handover);
void CbwHandover_OnAnswer(cbw_handover_t *handover, cbw_time_t now,
                          bool ready);

#endif
