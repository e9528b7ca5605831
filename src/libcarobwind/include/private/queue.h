/* Declarations that the queue policies share. */
#ifndef CAROBWIND_PRIVATE_QUEUE_H
#define CAROBWIND_PRIVATE_QUEUE_H

#include "carobwind/queue.h"

/* Updates the request's state and the lengths after the request was linked. */
void CbwQueue_OnQueued_(cbw_queue_t *queue, cbw_request_t *request);
/* Chooses the rank to serve next, by urgency and floors, and charges it for a
 * dispatch. Returns -1 when all are empty. */
int CbwQueue_TakeRank_(cbw_queue_t *queue);
/* Unlinks the request that was chosen from the rank charged. */
void CbwQueue_OnTaken_(cbw_queue_t *queue, cbw_request_t *request);
/* Estimates how long a new request of `rank` would wait behind all those of
 * its rank. */
cbw_time_t CbwQueue_EstimateWait_(const cbw_queue_t *queue, int rank);
/* Removes a request, which does not get its dispatch, from the fair order. */
void CbwQueueFair_Remove_(cbw_queue_t *queue, cbw_request_t *request);
/* Frees the state of the policy "fair". */
void CbwQueueFair_Finish_(cbw_queue_t *queue);

#endif
