/* Request queues and their policies. */
#ifndef CAROBWIND_QUEUE_H
#define CAROBWIND_QUEUE_H

#include "carobwind/request.h"

/* The queued requests of one rank. */
typedef struct {
    cbw_link_t requests;
    size_t length;
    double credit;        /* dispatches earned by the floor */
    double floor;         /* guaranteed share of the dispatches, 0..1 */
    double dispatch_rate; /* dispatches per second, smoothed */
    size_t dispatches;    /* in the current sample */
} cbw_rank_queue_t;

/* State of the policy "fair", see queue_fair.c. */
typedef struct cbw_fair_queue cbw_fair_queue_t;

typedef struct {
    size_t rank_count;
    cbw_rank_queue_t ranks[Cbw_RANKS_MAX];
    cbw_link_t fifo_requests; /* used by the "fifo" policy */
    size_t length;
    double throughput; /* statements per second that are served; 0: unknown */
    /* Sample of the dispatch rates. */
    cbw_time_t sample_started_at; /* 0: no dispatch yet */
    size_t sample_dispatches;     /* of all ranks */
    /* Allocated by the policy "fair" with the first request; NULL: none. */
    cbw_fair_queue_t *fair;
} cbw_queue_t;

/* A queue policy. */
typedef struct {
    void (*push)(cbw_queue_t *queue, cbw_request_t *request);
    /* Puts a request back in front of those of its rank. */
    void (*push_front)(cbw_queue_t *queue, cbw_request_t *request);
    /* Removes and returns the next request to dispatch. Returns NULL when the
     * queue is empty. */
    cbw_request_t *(*pop)(cbw_queue_t *queue);
    /* Estimates how long a new request of `rank` would wait. */
    cbw_time_t (*estimate_wait)(const cbw_queue_t *queue, int rank);
    /* Returns how many requests are dispatched before `request`, which is
     * queued or about to be. */
    size_t (*count_ahead)(const cbw_queue_t *queue,
                          const cbw_request_t *request);
    /* Puts a queued request behind those of its rank that were not put
     * behind. NULL: the policy cannot. */
    void (*put_behind)(cbw_queue_t *queue, cbw_request_t *request);
    /* Returns the queued request with this id, or NULL. NULL: the policy does
     * not look up requests. */
    cbw_request_t *(*find)(const cbw_queue_t *queue, uint64_t id);
} cbw_queue_ops_t;

void CbwQueue_Init(cbw_queue_t *queue, const cbw_rank_t *ranks,
                   size_t rank_count);
/* Frees what the policies allocated. The queue must be empty. */
void CbwQueue_Finish(cbw_queue_t *queue);
/* Returns the policy called `name` ("ranked", "fair" or "fifo"), or NULL when
 * there is none. */
const cbw_queue_ops_t *CbwQueue_Policy(const char *name);
/* Removes a request that is in the queue. */
void CbwQueue_Remove(cbw_queue_t *queue, cbw_request_t *request);
/* Sets how many statements per second the endpoints serve, for the estimate of
 * the wait. */
void CbwQueue_SetThroughput(cbw_queue_t *queue, double throughput);
/* Counts a dispatch of `rank`, for the estimate of the wait. */
void CbwQueue_OnDispatch(cbw_queue_t *queue, cbw_time_t now, int rank);

#endif
