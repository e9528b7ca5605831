#include "carobwind/queue.h"

#include <assert.h>
#include <string.h>

#include "carobwind/plugin.h"
#include "private/queue.h"

/* Maximum credit, in dispatches, that a rank with work accumulates. */
#define FLOOR_CREDIT_MAX 4.0
/* Dispatches in one sample of the dispatch rates. */
#define RATE_SAMPLE_DISPATCHES 16
/* Weight of a new sample in the smoothed rate. */
#define RATE_SMOOTHING 0.25

void
CbwQueue_Init(cbw_queue_t *queue, const cbw_rank_t *ranks, size_t rank_count)
{
    assert(rank_count <= Cbw_RANKS_MAX);
    memset(queue, 0, sizeof(*queue));
    queue->rank_count = rank_count;
    CbwList_Init(&queue->fifo_requests);
    for (size_t i = 0; i < rank_count; i++) {
        CbwList_Init(&queue->ranks[i].requests);
        queue->ranks[i].floor = ranks[i].floor_percent / 100.0;
    }
}

void
CbwQueue_Finish(cbw_queue_t *queue)
{
    CbwQueueFair_Finish_(queue);
}

static void
unlink_request(cbw_queue_t *queue, cbw_request_t *request)
{
    CbwList_Remove(&request->link);
    queue->ranks[request->rank].length--;
    queue->length--;
}

void
CbwQueue_Remove(cbw_queue_t *queue, cbw_request_t *request)
{
    if (request->place.node != NULL) {
        CbwQueueFair_Remove_(queue, request);
    }
    unlink_request(queue, request);
}

void
CbwQueue_OnQueued_(cbw_queue_t *queue, cbw_request_t *request)
{
    request->state = CBW_REQUEST_QUEUED;
    queue->ranks[request->rank].length++;
    queue->length++;
}

void
CbwQueue_SetThroughput(cbw_queue_t *queue, double throughput)
{
    queue->throughput = throughput;
}

void
CbwQueue_OnDispatch(cbw_queue_t *queue, cbw_time_t now, int rank)
{
    double seconds;

    queue->ranks[rank].dispatches++;
    queue->sample_dispatches++;
    if (queue->sample_started_at == 0) {
        queue->sample_started_at = now;
        queue->sample_dispatches = 0;
        return;
    }
    if (queue->sample_dispatches < RATE_SAMPLE_DISPATCHES) {
        return;
    }
    seconds = (double)(now - queue->sample_started_at + 1) / Cbw_SEC;
    for (size_t i = 0; i < queue->rank_count; i++) {
        cbw_rank_queue_t *rank_queue = &queue->ranks[i];
        rank_queue->dispatch_rate +=
            RATE_SMOOTHING * ((double)rank_queue->dispatches / seconds -
                              rank_queue->dispatch_rate);
        rank_queue->dispatches = 0;
    }
    queue->sample_started_at = now;
    queue->sample_dispatches = 0;
}

/* Returns the time to serve `ahead` requests at `rate` per second. */
static cbw_time_t
time_to_serve(size_t ahead, double rate)
{
    if (ahead == 0 || rate <= 0) {
        return 0;
    }
    return (cbw_time_t)((double)ahead * Cbw_SEC / rate);
}

/* Policy "ranked": the most urgent rank first, but each rank is guaranteed a
 * share of the dispatches, its floor, as long as it has work. */

static void
ranked_push(cbw_queue_t *queue, cbw_request_t *request)
{
    CbwList_Append(&queue->ranks[request->rank].requests, &request->link);
    CbwQueue_OnQueued_(queue, request);
}

static void
ranked_push_front(cbw_queue_t *queue, cbw_request_t *request)
{
    CbwList_Prepend(&queue->ranks[request->rank].requests, &request->link);
    CbwQueue_OnQueued_(queue, request);
}

/* Credits each rank that has work with its floor, once per dispatch. */
static void
earn_floor_credit(cbw_queue_t *queue)
{
    for (size_t i = 0; i < queue->rank_count; i++) {
        cbw_rank_queue_t *rank = &queue->ranks[i];
        if (rank->length == 0) {
            rank->credit = 0;
            continue;
        }
        rank->credit += rank->floor;
        if (rank->credit > FLOOR_CREDIT_MAX) {
            rank->credit = FLOOR_CREDIT_MAX;
        }
    }
}

/* Returns the rank to serve next: of the ranks whose credit pays for a
 * dispatch the one with the most credit, else the most urgent one with work.
 * Returns -1 when all are empty. */
static int
next_rank(const cbw_queue_t *queue)
{
    int most_credit = -1;
    int most_urgent = -1;

    for (size_t i = 0; i < queue->rank_count; i++) {
        const cbw_rank_queue_t *rank = &queue->ranks[i];
        if (rank->length == 0) {
            continue;
        }
        if (most_urgent < 0) {
            most_urgent = (int)i;
        }
        if (rank->credit >= 1.0 &&
            (most_credit < 0 ||
             rank->credit > queue->ranks[most_credit].credit)) {
            most_credit = (int)i;
        }
    }
    return most_credit >= 0 ? most_credit : most_urgent;
}

int
CbwQueue_TakeRank_(cbw_queue_t *queue)
{
    cbw_rank_queue_t *rank;
    int index;

    if (queue->length == 0) {
        return -1;
    }
    earn_floor_credit(queue);
    index = next_rank(queue);
    if (index >= 0) {
        rank = &queue->ranks[index];
        rank->credit = rank->credit >= 1.0 ? rank->credit - 1.0 : 0;
    }
    return index;
}

void
CbwQueue_OnTaken_(cbw_queue_t *queue, cbw_request_t *request)
{
    cbw_rank_queue_t *rank = &queue->ranks[request->rank];

    unlink_request(queue, request);
    if (rank->length == 0) {
        rank->credit = 0; /* an idle rank accumulates no credit */
    }
}

static cbw_request_t *
ranked_pop(cbw_queue_t *queue)
{
    int rank = CbwQueue_TakeRank_(queue);
    cbw_request_t *request;

    if (rank < 0) {
        return NULL;
    }
    request =
        Cbw_LIST_ITEM(queue->ranks[rank].requests.next, cbw_request_t, link);
    CbwQueue_OnTaken_(queue, request);
    return request;
}

/* Returns the length of the queues up to the request's rank. */
static size_t
count_to_rank(const cbw_queue_t *queue, const cbw_request_t *request)
{
    size_t ahead = 0;

    for (int i = 0; i <= request->rank; i++) {
        ahead += queue->ranks[i].length;
    }
    return ahead;
}

cbw_time_t
CbwQueue_EstimateWait_(const cbw_queue_t *queue, int rank)
{
    double floor_rate = queue->throughput * queue->ranks[rank].floor;
    double available_rate = queue->throughput;

    /* The rate that the more urgent ranks leave, but at least the floor. */
    for (int i = 0; i < rank; i++) {
        available_rate -= queue->ranks[i].dispatch_rate;
    }
    if (available_rate < floor_rate) {
        available_rate = floor_rate;
    }
    if (queue->throughput > 0 && available_rate < 1) {
        available_rate = 1;
    }
    return time_to_serve(queue->ranks[rank].length, available_rate);
}

/* Policy "fifo": first come, first served, whatever the rank. For comparison
 * in benchmarks. */

static void
fifo_push(cbw_queue_t *queue, cbw_request_t *request)
{
    CbwList_Append(&queue->fifo_requests, &request->link);
    CbwQueue_OnQueued_(queue, request);
}

static void
fifo_push_front(cbw_queue_t *queue, cbw_request_t *request)
{
    CbwList_Prepend(&queue->fifo_requests, &request->link);
    CbwQueue_OnQueued_(queue, request);
}

static cbw_request_t *
fifo_pop(cbw_queue_t *queue)
{
    cbw_request_t *request;

    if (CbwList_IsEmpty(&queue->fifo_requests)) {
        return NULL;
    }
    request = Cbw_LIST_ITEM(queue->fifo_requests.next, cbw_request_t, link);
    CbwQueue_Remove(queue, request);
    return request;
}

static cbw_time_t
fifo_estimate_wait(const cbw_queue_t *queue, int rank)
{
    (void)rank;
    return time_to_serve(queue->length, queue->throughput);
}

static const cbw_queue_ops_t ranked_ops = {
    .push = ranked_push,
    .push_front = ranked_push_front,
    .pop = ranked_pop,
    .estimate_wait = CbwQueue_EstimateWait_,
    .count_ahead = count_to_rank,
};

static const cbw_queue_ops_t fifo_ops = {
    .push = fifo_push,
    .push_front = fifo_push_front,
    .pop = fifo_pop,
    .estimate_wait = fifo_estimate_wait,
    .count_ahead = count_to_rank,
};

Cbw_PLUGIN_REGISTER(queue_ranked, CBW_PLUGIN_QUEUE, "ranked", &ranked_ops)
    Cbw_PLUGIN_REGISTER(queue_fifo, CBW_PLUGIN_QUEUE, "fifo", &fifo_ops)

        const cbw_queue_ops_t *CbwQueue_Policy(const char *name)
{
    return CbwPlugin_Find(CBW_PLUGIN_QUEUE, name);
}
