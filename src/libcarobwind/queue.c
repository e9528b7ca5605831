#include "carobwind/queue.h"

#include <assert.h>
#include <string.h>

#include "carobwind/plugin.h"

/* A floor saves up at most so many dispatches while its rank has work. */
#define CREDIT_MAX 4.0
/* Dispatches in one sample of the dispatch rate. */
#define RATE_SAMPLE 16
/* Weight of a new sample in a smoothed rate. */
#define RATE_WEIGHT 0.25

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
CbwQueue_Remove(cbw_queue_t *queue, cbw_request_t *request)
{
    CbwList_Remove(&request->link);
    queue->ranks[request->rank].length--;
    queue->length--;
}

static void
count_in(cbw_queue_t *queue, cbw_request_t *request)
{
    request->state = CBW_REQUEST_QUEUED;
    queue->ranks[request->rank].length++;
    queue->length++;
}

void
CbwQueue_SetThroughput(cbw_queue_t *queue, double capacity)
{
    queue->throughput = capacity;
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
    if (queue->sample_dispatches < RATE_SAMPLE) {
        return;
    }
    seconds = (double)(now - queue->sample_started_at + 1) / Cbw_SEC;
    for (size_t i = 0; i < queue->rank_count; i++) {
        cbw_rank_queue_t *r = &queue->ranks[i];
        r->dispatch_rate +=
            RATE_WEIGHT * ((double)r->dispatches / seconds - r->dispatch_rate);
        r->dispatches = 0;
    }
    queue->sample_started_at = now;
    queue->sample_dispatches = 0;
}

/* The time in which `ahead` requests are served at `rate` a second. */
static cbw_time_t
wait_for(size_t ahead, double rate)
{
    if (ahead == 0 || rate <= 0) {
        return 0;
    }
    return (cbw_time_t)((double)ahead * Cbw_SEC / rate);
}

/* Ranked policy: urgent first, but each lower rank earns a share of the
 * dispatches, its floor, as long as it has work. */

static void
ranked_push(cbw_queue_t *queue, cbw_request_t *request)
{
    CbwList_Append(&queue->ranks[request->rank].requests, &request->link);
    count_in(queue, request);
}

static void
ranked_push_front(cbw_queue_t *queue, cbw_request_t *request)
{
    CbwList_Prepend(&queue->ranks[request->rank].requests, &request->link);
    count_in(queue, request);
}

static void
earn_credit(cbw_queue_t *queue)
{
    for (size_t i = 0; i < queue->rank_count; i++) {
        cbw_rank_queue_t *rank = &queue->ranks[i];
        if (rank->length == 0) {
            rank->credit = 0;
            continue;
        }
        rank->credit += rank->floor;
        if (rank->credit > CREDIT_MAX) {
            rank->credit = CREDIT_MAX;
        }
    }
}

/* The rank to serve next: the one with most saved credit if any has earned a
 * dispatch, else the most urgent with work; -1 when there is none. */
static int
next_rank(const cbw_queue_t *queue)
{
    int best = -1;
    int urgent = -1;

    for (size_t i = 0; i < queue->rank_count; i++) {
        const cbw_rank_queue_t *rank = &queue->ranks[i];
        if (rank->length == 0) {
            continue;
        }
        if (urgent < 0) {
            urgent = (int)i;
        }
        if (rank->credit >= 1.0 &&
            (best < 0 || rank->credit > queue->ranks[best].credit)) {
            best = (int)i;
        }
    }
    return best >= 0 ? best : urgent;
}

static cbw_request_t *
ranked_pop(cbw_queue_t *queue)
{
    cbw_rank_queue_t *rank;
    cbw_request_t *request;
    int index;

    if (queue->length == 0) {
        return NULL;
    }
    earn_credit(queue);
    index = next_rank(queue);
    if (index < 0) {
        return NULL;
    }
    rank = &queue->ranks[index];
    rank->credit = rank->credit >= 1.0 ? rank->credit - 1.0 : 0;
    request = Cbw_LIST_ITEM(rank->requests.next, cbw_request_t, link);
    CbwQueue_Remove(queue, request);
    if (rank->length == 0) {
        rank->credit = 0; /* nothing is saved up while there is no work */
    }
    return request;
}

static cbw_time_t
ranked_estimate(const cbw_queue_t *queue, int rank)
{
    double least = queue->throughput * queue->ranks[rank].floor;
    double share = queue->throughput;

    /* What the more urgent ranks leave, but at least the floor. */
    for (int i = 0; i < rank; i++) {
        share -= queue->ranks[i].dispatch_rate;
    }
    if (share < least) {
        share = least;
    }
    if (queue->throughput > 0 && share < 1) {
        share = 1;
    }
    return wait_for(queue->ranks[rank].length, share);
}

/* First-come-first-served policy, the baseline. */

static void
fifo_push(cbw_queue_t *queue, cbw_request_t *request)
{
    CbwList_Append(&queue->fifo_requests, &request->link);
    count_in(queue, request);
}

static void
fifo_push_front(cbw_queue_t *queue, cbw_request_t *request)
{
    CbwList_Prepend(&queue->fifo_requests, &request->link);
    count_in(queue, request);
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
fifo_estimate(const cbw_queue_t *queue, int rank)
{
    (void)rank;
    return wait_for(queue->length, queue->throughput);
}

static const cbw_queue_ops_t ranked_ops = {
    .push = ranked_push,
    .push_front = ranked_push_front,
    .pop = ranked_pop,
    .estimate_wait = ranked_estimate,
};

static const cbw_queue_ops_t fifo_ops = {
    .push = fifo_push,
    .push_front = fifo_push_front,
    .pop = fifo_pop,
    .estimate_wait = fifo_estimate,
};

Cbw_PLUGIN_REGISTER(queue_ranked, CBW_PLUGIN_QUEUE, "ranked", &ranked_ops)
    Cbw_PLUGIN_REGISTER(queue_fifo, CBW_PLUGIN_QUEUE, "fifo", &fifo_ops)

        const cbw_queue_ops_t *CbwQueue_Policy(const char *name)
{
    return CbwPlugin_Find(CBW_PLUGIN_QUEUE, name);
}
