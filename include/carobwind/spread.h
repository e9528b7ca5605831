/* From whom a host fetches a change that peers announce.
 *
 * Load pattern: a new configuration of hundreds of kilobytes reaches hundreds
 * of hosts, or all endpoints register while all hosts start. If each host
 * fetched from the first peer that it hears, most of the bytes would cross the
 * links between data centres. So the first hosts of a data centre fetch across
 * them, and the others wait for a while until one of their own has the change.
 *
 * The module does no I/O, and the time is an argument. */
#ifndef CAROBWIND_SPREAD_H
#define CAROBWIND_SPREAD_H

#include <stdbool.h>
#include <stddef.h>

#include "carobwind/types.h"

/* Hosts of a data centre that fetch from other data centres at once. */
#define Cbw_SPREAD_FETCHERS 2
/* How long the others wait for a host of their own data centre. */
#define Cbw_SPREAD_WAIT (300 * Cbw_MSEC)
/* Time limit of a fetch. */
#define Cbw_SPREAD_FETCH_TIMEOUT (500 * Cbw_MSEC)

/* One host's state. Zero is its initial state. */
typedef struct {
    size_t rank;              /* in the order of its data centre */
    cbw_time_t waiting_since; /* a remote peer has announced a change since
                                 then; 0: none has */
    cbw_time_t sent_at;       /* of the latest fetch */
    /* The latest fetch was for what differs, and was refused: the peer may be
     * of a version that does not know this. The next one is for all. */
    bool diff_refused;
} cbw_spread_t;

/* Returns whether to fetch from a peer that announced a change: `local` if it
 * is in this host's data centre. */
bool CbwSpread_MayFetch(cbw_spread_t *spread, cbw_time_t now, bool local);
/* The host sends a fetch. */
void CbwSpread_OnSent(cbw_spread_t *spread, cbw_time_t now);
/* A fetch, `diff` if of what differs, got no answer. A peer that lets it time
 * out is slow: to ask for all records instead would load it more. */
void CbwSpread_OnLost(cbw_spread_t *spread, cbw_time_t now, bool diff);
/* The host has fetched, or knows what was announced. */
void CbwSpread_OnFetched(cbw_spread_t *spread);

#endif
