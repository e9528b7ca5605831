/* Decides whether a queued read is sent to another region: compares its
 * expected completion at the local endpoints with that at the remote ones.
 *
 * Only reads that would wait too long leave. As the queue becomes shorter, so
 * does the expected wait of its last request, and reads stay again: only the
 * excess leaves. The module does no I/O. */
#ifndef CAROBWIND_OFFLOAD_H
#define CAROBWIND_OFFLOAD_H

#include "carobwind/types.h"

/* Reads start to leave when the expected local completion is this percentage
 * of the remote one, and leave until it is no longer than the remote one. */
#define Cbw_OFFLOAD_START_PERCENT 125
/* Additional latency of the path, assumed until it is measured. */
#define Cbw_OFFLOAD_PATH_UNMEASURED (60 * Cbw_MSEC)
/* Loads of a link, in percent of its capacity, from which on it counts as
 * slow, is reserved for the most urgent rank, and is full. */
#define Cbw_OFFLOAD_LINK_SLOW 70
#define Cbw_OFFLOAD_LINK_URGENT 90
#define Cbw_OFFLOAD_LINK_FULL 97
/* Default of the price of bytes, see cbw_offload_t.cost_per_kb. */
#define Cbw_OFFLOAD_COST_PER_KB (5 * Cbw_MSEC)

typedef enum {
    CBW_OFFLOAD_STAYS,
    CBW_OFFLOAD_NO_ENDPOINT, /* no local one is usable */
    CBW_OFFLOAD_BEHIND,      /* local ones lack the position of the read */
    CBW_OFFLOAD_QUEUE,       /* the queue is too long */
} cbw_offload_reason_t;

/* The endpoints of one side. */
typedef struct {
    int slots;          /* of the usable ones together; 0: none is usable */
    int waiting;        /* reads in the queue for them */
    cbw_time_t latency; /* mean from sending to answer; 0: not measured */
    cbw_time_t lag;     /* until one holds what the read needs; 0: one does */
} cbw_offload_side_t;

typedef struct {
    int load;     /* of the link, in percent of its capacity; 0: not known */
    size_t bytes; /* of a statement with its answer */
} cbw_offload_link_t;

/* Zero but for the cost is its initial state. */
typedef struct {
    /* Price of sending 1,000 bytes to another region, as a waiting time. */
    cbw_time_t cost_per_kb;
    bool leaving; /* result of the last decision */
} cbw_offload_t;

/* Returns the expected completion of the last queued read. */
cbw_time_t CbwOffload_Expect(const cbw_offload_side_t *side);
/* Decides about the next read, of `rank` (0: the most urgent), and returns why
 * it leaves, or that it stays. */
cbw_offload_reason_t CbwOffload_Decide(cbw_offload_t *offload, int rank,
                                       const cbw_offload_side_t *here,
                                       const cbw_offload_side_t *there,
                                       const cbw_offload_link_t *link);

#endif
