/* Source of the fleet's records for a host that starts: a peer of its data
 * centre, or the store.
 *
 * Load pattern: all hosts start at once, or restart in turn. If each read the
 * store, the bytes over the links between data centres would grow with the
 * number of hosts times the number of records. So when all hosts start, only
 * the first ones of a data centre read the store, and the others fetch the
 * records from these; in a running fleet no host reads the store. Two hosts
 * cannot send all records to a hundred in time, and calls that time out and
 * are repeated cost them as much as those that succeed. So the hosts form a
 * tree by their order, and timeouts grow.
 *
 * The module does no I/O, and the time is an argument. */
#ifndef CAROBWIND_BOOTSTRAP_H
#define CAROBWIND_BOOTSTRAP_H

#include <stdbool.h>
#include <stddef.h>

#include "carobwind/types.h"

/* Number of hosts of a data centre that read the store when their peers have
 * no records. */
#define Cbw_BOOTSTRAP_READERS 2
/* Number of hosts that ask the same peer. */
#define Cbw_BOOTSTRAP_FANOUT 8
/* Timeout of the first call. It doubles with each call that is lost after a
 * peer has answered. */
#define Cbw_BOOTSTRAP_TIMEOUT (150 * Cbw_MSEC)
#define Cbw_BOOTSTRAP_TIMEOUT_MAX (600 * Cbw_MSEC)
/* A host that knows no peer after this time reads the store. */
#define Cbw_BOOTSTRAP_ALONE_AFTER (100 * Cbw_MSEC)
/* Pause before a peer without records is asked again. */
#define Cbw_BOOTSTRAP_ASK_INTERVAL (30 * Cbw_MSEC)
/* A host reads the store when its peers have had no records for this long,
 * times its level in the tree. */
#define Cbw_BOOTSTRAP_WAIT (600 * Cbw_MSEC)
/* Each host of a data centre waits this much longer than the one before it, so
 * that they do not all read the store at once. */
#define Cbw_BOOTSTRAP_STAGGER (20 * Cbw_MSEC)
/* A host that gets records, or whose peer is loading them, waits for
 * Cbw_BOOTSTRAP_WAIT from then on, but no longer than this in total: the
 * records of thousands of endpoints take longer than a level's share of the
 * time, and hosts that read the store instead would fill its link. */
#define Cbw_BOOTSTRAP_PROGRESS_MAX (6 * Cbw_SEC)
/* The wait when no peer has answered. In a common start all hosts start within
 * this time. */
#define Cbw_BOOTSTRAP_SILENCE (300 * Cbw_MSEC)

/* In a large fleet a small host may need half a second to send all records
 * once. So fewer hosts ask the same peer, calls to a peer that is starting too
 * have a longer timeout (a call that times out costs the peer as much), and
 * hosts wait longer before they read the store. */
#define Cbw_BOOTSTRAP_FANOUT_LARGE 3
#define Cbw_BOOTSTRAP_TIMEOUT_LARGE (4 * Cbw_SEC)
#define Cbw_BOOTSTRAP_WAIT_LARGE (3 * Cbw_SEC)

typedef enum {
    CBW_BOOTSTRAP_WAIT,
    CBW_BOOTSTRAP_ASK, /* the peer cbw_bootstrap_t.next_peer */
    CBW_BOOTSTRAP_READ_STORE,
} cbw_bootstrap_action_t;

typedef enum {
    CBW_BOOTSTRAP_EMPTY,   /* the peer has no records yet */
    CBW_BOOTSTRAP_LOST,    /* the peer did not answer */
    CBW_BOOTSTRAP_LOADING, /* the peer is loading the records itself */
} cbw_bootstrap_failure_t;

/* Needs no finish. */
typedef struct {
    cbw_time_t started_at;
    /* This host's place in the order of its data centre; the peers are those
     * in that order, without this host. */
    size_t rank;
    size_t peer_count; /* 0: none is known */
    bool large;        /* the fleet; set before CbwBootstrap_SetPeers */
    size_t next_peer;
    size_t failures;
    cbw_time_t timeout; /* of the next call */
    bool asking;        /* until CbwBootstrap_OnFailure */
    cbw_time_t ask_at;
    bool answered;          /* by a peer, even one without records */
    cbw_time_t progress_at; /* last; 0: none */
    bool read;              /* from now on reads the store */
} cbw_bootstrap_t;

void CbwBootstrap_Init(cbw_bootstrap_t *bootstrap, cbw_time_t now);
/* Sets the known peers of the data centre. */
void CbwBootstrap_SetPeers(cbw_bootstrap_t *bootstrap, size_t rank,
                           size_t peer_count);
/* Returns what to do now. After ASK, returns WAIT until the answer. */
cbw_bootstrap_action_t CbwBootstrap_Next(cbw_bootstrap_t *bootstrap,
                                         cbw_time_t now);
/* The peer that was asked sent a part of the records: it is asked for more at
 * once. */
void CbwBootstrap_OnPart(cbw_bootstrap_t *bootstrap, cbw_time_t now);
/* The peer that was asked sent no records. */
void CbwBootstrap_OnFailure(cbw_bootstrap_t *bootstrap, cbw_time_t now,
                            cbw_bootstrap_failure_t failure);

#endif
