/* State of a database's read dispatcher: the host that serves reads of its
 * region at an endpoint there, without the owner. See docs/design/regions.md.
 *
 * It requests samples from the owner. A sample proves that everything
 * acknowledged by a time is in the primary's log at or before a position. That
 * time is relative to the sending of the request, by the dispatcher's clock: a
 * delayed answer only makes the sample older, and the clocks of the two hosts
 * need not be synchronized. With the sample comes a lease on a share of the
 * endpoint. Samples are used only while the lease is valid.
 *
 * Does no I/O, and takes the time as an argument. */
#ifndef CAROBWIND_READ_DISPATCH_H
#define CAROBWIND_READ_DISPATCH_H

#include <stddef.h>

#include "carobwind/position.h"
#include "carobwind/types.h"

/* Interval between requests to the owner while reads arrive. */
#define Cbw_READ_SAMPLE_INTERVAL (50 * Cbw_MSEC)
/* Timeout of a request. Several times the round trip between two regions. */
#define Cbw_READ_SAMPLE_TIMEOUT (250 * Cbw_MSEC)
/* Requests stop when no read has arrived for this long. */
#define Cbw_READ_IDLE_TIMEOUT Cbw_SEC
/* Duration of a lease. Short, since a promotion waits for its end, but long
 * enough for a lost answer. */
#define Cbw_READ_LEASE (500 * Cbw_MSEC)
/* How much longer a lease counts at the owner: the dispatcher closes its
 * connections some ticks after the end. */
#define Cbw_READ_LEASE_MARGIN (250 * Cbw_MSEC)
/* A lease covers this fraction of an endpoint's connections. Two owners use at
 * most 9/20 each, so the allowance is kept even if a frozen dispatcher does
 * not close its connections when its lease ends. */
#define Cbw_READ_LEASE_DIVISOR 10
/* There is no lease on an endpoint with fewer connections: one of the two of a
 * lease is for control calls. */
#define Cbw_READ_CONNECTIONS_MIN (2 * Cbw_READ_LEASE_DIVISOR)
/* Number of samples kept: at one per Cbw_READ_SAMPLE_INTERVAL, enough for
 * reads that accept data up to 3 s old. */
#define Cbw_READ_SAMPLES_MAX 64

/* An owner's answer. */
typedef struct {
    uint64_t owner; /* the nonce of its tenure */
    uint64_t term;  /* of the primary */
    /* Covers everything acknowledged until `age` before the answer, by the
     * owner's clock. */
    cbw_position_t position;
    cbw_time_t age;
    cbw_time_t lease; /* from the sending of the request; 0: none */
    int connections;  /* share of the endpoint's connections */
    int slots;        /* share of its slots */
} cbw_read_offer_t;

/* A sample, by the dispatcher's clock. */
typedef struct {
    cbw_time_t covers; /* everything acknowledged by then */
    cbw_position_t position;
} cbw_read_sample_t;

/* Zero is its initial state. */
typedef struct {
    bool asking;             /* a request is in flight */
    cbw_time_t asked_at;     /* when it was sent */
    cbw_time_t next_ask_at;  /* at the earliest */
    cbw_time_t last_read_at; /* 0: no read yet */
    uint64_t owner;          /* of the samples; 0: there is none */
    uint64_t term;           /* likewise */
    cbw_read_sample_t samples[Cbw_READ_SAMPLES_MAX]; /* a ring */
    size_t sample_count;                             /* ever written */
    cbw_time_t lease_until;                          /* 0: none */
    int connections;
    int slots;
} cbw_read_dispatch_t;

/* A read has arrived. */
void CbwReadDispatch_OnRead(cbw_read_dispatch_t *dispatch, cbw_time_t now);
/* Returns whether to ask the owner now. */
bool CbwReadDispatch_IsAskDue(const cbw_read_dispatch_t *dispatch,
                              cbw_time_t now);
/* The owner was asked. One request is in flight at a time. */
void CbwReadDispatch_OnAsked(cbw_read_dispatch_t *dispatch, cbw_time_t now);
/* The request was answered; NULL: it timed out, or the host that was asked is
 * not the owner. */
void CbwReadDispatch_OnAnswer(cbw_read_dispatch_t *dispatch, cbw_time_t now,
                              const cbw_read_offer_t *offer);
/* An endpoint replied with a term. One higher than that of the samples
 * invalidates them. */
void CbwReadDispatch_OnTerm(cbw_read_dispatch_t *dispatch, uint64_t term);
/* Returns whether reads may be sent: the lease is valid. */
bool CbwReadDispatch_MayServe(const cbw_read_dispatch_t *dispatch,
                              cbw_time_t now);
/* Finds the position that an endpoint must hold to serve a read that must see
 * everything acknowledged by `time`. Returns false, and the owner has to serve
 * the read, when none is known or CbwReadDispatch_MayServe is false. */
bool CbwReadDispatch_PositionAt(const cbw_read_dispatch_t *dispatch,
                                cbw_time_t now, cbw_time_t time,
                                cbw_position_t *position);

#endif
