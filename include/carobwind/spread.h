/* Selects the peer from which a host fetches an announced change.
 *
 * Load pattern: a new configuration of hundreds of kilobytes spreads to
 * hundreds of hosts, or all endpoints register while all hosts start. If each
 * host fetched from the first peer that announces the change, most of the
 * bytes would cross the links between data centres. So the first hosts of a
 * data centre fetch across them, and the others wait for a while until a host
 * of their own data centre has the change.
 *
 * The module does no I/O, and the time is an argument. */
#ifndef CAROBWIND_SPREAD_H
#define CAROBWIND_SPREAD_H

#include <stdbool.h>
#include <stddef.h>

#include "carobwind/random.h"
#include "carobwind/types.h"

/* Number of hosts of a data centre that fetch from other data centres without
 * waiting. */
#define Cbw_SPREAD_FETCHERS 2
/* How long the others wait for a host of their own data centre. */
#define Cbw_SPREAD_WAIT (300 * Cbw_MSEC)
/* Timeout of a fetch. It doubles with each one that times out after the first,
 * up to the maximum: the peer still sends the late response, and the next one
 * only after it. */
#define Cbw_SPREAD_FETCH_TIMEOUT (500 * Cbw_MSEC)
#define Cbw_SPREAD_FETCH_TIMEOUT_MAX (4 * Cbw_SEC)
/* Minimum time between fetches. When all hosts start, each registration of an
 * endpoint is a change, which each host would otherwise fetch one by one. */
#define Cbw_SPREAD_FETCH_INTERVAL (250 * Cbw_MSEC)
#define Cbw_SPREAD_FETCH_INTERVAL_MAX (4 * Cbw_SEC)
/* Limit of bytes per second of fetches, and the longest pause after a fetch
 * for it: a change must be in force within 4 s. */
#define Cbw_SPREAD_BYTES_PER_SECOND 256000
#define Cbw_SPREAD_BUDGET_PAUSE_MAX (1500 * Cbw_MSEC)
/* In a large fleet a difference under the same revision is repaired only when
 * this host's records have not changed for this long, as changes that are
 * spreading end most differences; at the latest after the maximum time. */
#define Cbw_SPREAD_REPAIR_AFTER (400 * Cbw_MSEC)
#define Cbw_SPREAD_REPAIR_AFTER_MAX (1500 * Cbw_MSEC)

/* One host's state. Zero is its initial state. */
typedef struct {
    size_t rank;              /* in the order of its data centre */
    cbw_time_t waiting_since; /* a remote peer has announced a change since
                                 then; 0: none has */
    cbw_time_t sent_at;       /* of the latest fetch */
    /* The latest fetch asked for differing records only, and was refused: the
     * peer's version may not support it. The next one asks for all records. */
    bool diff_refused;
    int losses;         /* consecutive fetches that timed out */
    size_t last_bytes;  /* of the latest fetch */
    cbw_time_t timeout; /* of the latest fetch */
    cbw_time_t changed_at;
    cbw_time_t differs_since; /* 0: no difference to repair */
} cbw_spread_t;

/* Returns whether to fetch from a peer that announced a change: `local` if it
 * is in this host's data centre. */
bool CbwSpread_MayFetch(cbw_spread_t *spread, cbw_time_t now, bool local);
/* Returns whether to repair a difference under the same revision now. */
bool CbwSpread_MayRepair(cbw_spread_t *spread, cbw_time_t now, bool large);
/* This host's records changed. */
void CbwSpread_OnChanged(cbw_spread_t *spread, cbw_time_t now);
/* The host sends a fetch. Returns its timeout. */
cbw_time_t CbwSpread_OnSent(cbw_spread_t *spread, cbw_time_t now);
/* Returns when the next fetch may be sent, at the end of one. From the second
 * consecutive loss on, the pause grows, with a random part; a single loss may
 * be due to the peer. After an answer it grows with the bytes fetched. */
cbw_time_t CbwSpread_NextFetchAt(const cbw_spread_t *spread, cbw_time_t now,
                                 cbw_random_t *random);
/* A fetch got no answer; `diff`: it asked for differing records only. After a
 * timeout the next one does not ask for all: the peer is slow, and that would
 * increase its load. */
void CbwSpread_OnLost(cbw_spread_t *spread, cbw_time_t now, bool diff);
/* The host has fetched `bytes`, or knows what was announced (0). */
void CbwSpread_OnFetched(cbw_spread_t *spread, size_t bytes);

#endif
