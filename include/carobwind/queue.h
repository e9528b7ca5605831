/* Queues of requests by rank, behind a table of functions. */
#ifndef CAROBWIND_QUEUE_H
#define CAROBWIND_QUEUE_H

#include "carobwind/request.h"

typedef struct {
    cbw_link_t requests;
    size_t length;
    double credit;        /* earned by the floor */
    double floor;         /* share, 0..1 */
    double dispatch_rate; /* dispatches a second, smoothed */
    size_t dispatches;    /* dispatches in this sample */
} cbw_rank_queue_t;

typedef struct {
    size_t rank_count;
    cbw_rank_queue_t ranks[Cbw_RANKS_MAX];
    cbw_link_t fifo_requests; /* of the first-come-first-served policy */
    size_t length;
    double throughput; /* statements a second that are served; 0: not known */
    cbw_time_t sample_started_at;
    size_t sample_dispatches;
} cbw_queue_t;

typedef struct {
    void (*push)(cbw_queue_t *queue, cbw_request_t *request);
    /* Puts a request back in front of its rank. */
    void (*push_front)(cbw_queue_t *queue, cbw_request_t *request);
    /* Takes the next request to dispatch, or NULL. */
    cbw_request_t *(*pop)(cbw_queue_t *queue);
    /* How long a new request of `rank` would wait. */
    cbw_time_t (*estimate_wait)(const cbw_queue_t *queue, int rank);
} cbw_queue_ops_t;

void CbwQueue_Init(cbw_queue_t *queue, const cbw_rank_t *ranks,
                   size_t rank_count);
/* The policy called `name` ("ranked" or "fifo"), or NULL. */
const cbw_queue_ops_t *CbwQueue_Policy(const char *name);
/* Removes a queued request. */
void CbwQueue_Remove(cbw_queue_t *queue, cbw_request_t *request);
/* Sets how many statements a second the endpoints serve. */
void CbwQueue_SetThroughput(cbw_queue_t *queue, double capacity);
/* Counts a dispatch for the estimate. */
void CbwQueue_OnDispatch(cbw_queue_t *queue, cbw_time_t now, int rank);

#endif
