/* Queue policy "fair": ranks and floors as in "ranked". Within a rank,
 * workspaces share the dispatches in proportion to their weights.
 *
 * Load pattern: one of many workspaces sends 4 to 9 times its usual rate to an
 * owner whose endpoints are nearly busy. Its own requests queue up, and those
 * of the others wait as they did before. A workspace that sends many requests
 * at once after a pause is not served before those that sent evenly, and gets
 * no credit for the pause.
 *
 * The order is that of start-time fair queueing: a request starts at the later
 * of the rank's virtual time and the end of its workspace's previous request,
 * less an allowance for bursts, and lasts the reciprocal of its weight. The
 * virtual time is the start of the request dispatched last. */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "carobwind/plugin.h"
#include "private/queue.h"

/* How far a workspace may exceed its share without being delayed: this many
 * requests, and those of this time at its weight. Without an allowance,
 * requests of independent callers that send within their shares would wait for
 * each other. */
#define ALLOWANCE_REQUESTS 8
#define ALLOWANCE_SECONDS 0.1
/* Number of dispatches after which the mean advance of the virtual time is
 * used, and reciprocal of a dispatch's weight in the mean. */
#define ADVANCE_SAMPLES 64
/* See fair_count_ahead. */
#define EXPECTED_MAX 8

/* The requests of one workspace in one rank. */
typedef struct {
    char workspace[Cbw_NAME_MAX];
    double last_start; /* of its request queued last */
    /* End of that one, without the allowance. Reduced when a request leaves
     * the queue without a dispatch. */
    double end;
} fair_group_t;

typedef struct {
    GSequence *order;   /* of cbw_request_t */
    GHashTable *groups; /* workspace name: fair_group_t */
    double virtual_time;
    /* Of the virtual time in a dispatch while others are queued: the mean, and
     * in how many dispatches it was measured. */
    double advance;
    size_t advance_samples;
    /* The request taken last, which is put back if it can't be sent now, and
     * the virtual time before. Only compared: it may have been freed. NULL:
     * none. */
    const cbw_request_t *taken;
    double time_before;
    bool others_left; /* when it was taken */
} fair_rank_t;

struct cbw_fair_queue {
    fair_rank_t ranks[Cbw_RANKS_MAX];
    GHashTable *by_id; /* the queued requests that have an id */
    uint64_t last_sequence;
};

static int
compare_places(const void *a, const void *b, void *context)
{
    const cbw_queue_place_t *left = &((const cbw_request_t *)a)->place;
    const cbw_queue_place_t *right = &((const cbw_request_t *)b)->place;

    (void)context;
    if (left->behind != right->behind) {
        return left->behind ? 1 : -1;
    }
    if (left->start != right->start) {
        return left->start < right->start ? -1 : 1;
    }
    if (left->sequence != right->sequence) {
        return left->sequence < right->sequence ? -1 : 1;
    }
    return 0;
}

static cbw_fair_queue_t *
new_fair_queue(size_t rank_count)
{
    cbw_fair_queue_t *fair = g_new0(cbw_fair_queue_t, 1);

    fair->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
    for (size_t i = 0; i < rank_count; i++) {
        fair->ranks[i].order = g_sequence_new(NULL);
        fair->ranks[i].groups =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    }
    return fair;
}

void
CbwQueueFair_Finish_(cbw_queue_t *queue)
{
    if (queue->fair == NULL) {
        return;
    }
    for (size_t i = 0; i < queue->rank_count; i++) {
        g_sequence_free(queue->fair->ranks[i].order);
        g_hash_table_destroy(queue->fair->ranks[i].groups);
    }
    g_hash_table_destroy(queue->fair->by_id);
    g_free(queue->fair);
    queue->fair = NULL;
}

static double
duration_of(const cbw_request_t *request)
{
    return request->weight > 0 ? 1 / request->weight : 1;
}

/* Returns where a new request of the group would start. */
static double
next_start(const fair_rank_t *rank, const fair_group_t *group,
           const cbw_request_t *request)
{
    double start = rank->virtual_time;

    if (group == NULL) {
        return start;
    }
    start = MAX(start, group->end - ALLOWANCE_SECONDS -
                           ALLOWANCE_REQUESTS * duration_of(request));
    return MAX(start, group->last_start); /* in the order of arrival */
}

static fair_group_t *
find_group(const fair_rank_t *rank, const cbw_request_t *request)
{
    return g_hash_table_lookup(rank->groups, request->workspace);
}

static fair_group_t *
get_group(fair_rank_t *rank, const cbw_request_t *request)
{
    fair_group_t *group = find_group(rank, request);

    if (group == NULL) {
        group = g_new0(fair_group_t, 1);
        memcpy(group->workspace, request->workspace, Cbw_NAME_MAX);
        g_hash_table_insert(rank->groups, group->workspace, group);
    }
    return group;
}

/* When no requests are queued, the history of the workspaces no longer counts.
 */
static void
reset_rank(fair_rank_t *rank)
{
    g_hash_table_remove_all(rank->groups);
    rank->virtual_time = 0;
    rank->advance = 0;
    rank->advance_samples = 0;
    rank->taken = NULL;
}

static void
insert(cbw_queue_t *queue, cbw_request_t *request)
{
    cbw_fair_queue_t *fair = queue->fair;

    request->place.node = g_sequence_insert_sorted(
        fair->ranks[request->rank].order, request, compare_places, NULL);
    if (request->id != 0) {
        g_hash_table_insert(fair->by_id, &request->id, request);
    }
}

static void
take_out(cbw_queue_t *queue, cbw_request_t *request)
{
    g_sequence_remove(request->place.node);
    request->place.node = NULL;
    if (request->id != 0) {
        g_hash_table_remove(queue->fair->by_id, &request->id);
    }
}

static void
fair_push(cbw_queue_t *queue, cbw_request_t *request)
{
    fair_rank_t *rank;
    fair_group_t *group;
    double start;

    if (queue->fair == NULL) {
        queue->fair = new_fair_queue(queue->rank_count);
    }
    rank = &queue->fair->ranks[request->rank];
    if (queue->ranks[request->rank].length == 0) {
        reset_rank(rank);
    }
    group = get_group(rank, request);
    start = next_start(rank, group, request);
    group->last_start = start;
    group->end = MAX(group->end, rank->virtual_time) + duration_of(request);
    request->place = (cbw_queue_place_t){
        .start = start, .sequence = ++queue->fair->last_sequence};
    insert(queue, request);
    CbwList_Append(&queue->ranks[request->rank].requests, &request->link);
    CbwQueue_OnQueued_(queue, request);
}

static void
fair_push_front(cbw_queue_t *queue, cbw_request_t *request)
{
    fair_rank_t *rank;

    if (request->place.sequence == 0 || queue->fair == NULL) {
        fair_push(queue, request); /* it was not queued here before */
        return;
    }
    rank = &queue->fair->ranks[request->rank];
    if (request == rank->taken) {
        rank->taken = NULL;
        rank->virtual_time = rank->time_before;
    }
    else if (request->place.start > rank->virtual_time) {
        request->place.start = rank->virtual_time;
    }
    insert(queue, request);
    CbwList_Prepend(&queue->ranks[request->rank].requests, &request->link);
    CbwQueue_OnQueued_(queue, request);
}

void
CbwQueueFair_Remove_(cbw_queue_t *queue, cbw_request_t *request)
{
    fair_group_t *group =
        find_group(&queue->fair->ranks[request->rank], request);

    take_out(queue, request);
    if (group != NULL) {
        group->end -= duration_of(request);
    }
}

/* Counts the previous dispatch, unless its request was put back. */
static void
measure_advance(fair_rank_t *rank)
{
    double samples = ADVANCE_SAMPLES;

    if (rank->taken == NULL || !rank->others_left) {
        return;
    }
    if (rank->advance_samples < ADVANCE_SAMPLES) {
        samples = (double)++rank->advance_samples;
    }
    rank->advance +=
        (rank->virtual_time - rank->time_before - rank->advance) / samples;
}

static cbw_request_t *
fair_pop(cbw_queue_t *queue)
{
    int index = CbwQueue_TakeRank_(queue);
    cbw_request_t *request;
    fair_rank_t *rank;

    if (index < 0) {
        return NULL;
    }
    rank = &queue->fair->ranks[index];
    measure_advance(rank);
    request = g_sequence_get(g_sequence_get_begin_iter(rank->order));
    take_out(queue, request);
    CbwQueue_OnTaken_(queue, request);
    rank->taken = request;
    rank->time_before = rank->virtual_time;
    rank->others_left =
        queue->ranks[index].length > 0 && !request->place.behind;
    if (request->place.start > rank->virtual_time) {
        rank->virtual_time = request->place.start;
    }
    return request;
}

/* Requests of other workspaces that arrive later may be dispatched earlier as
 * well. Their number is estimated from the advance of the virtual time, as a
 * request is dispatched when the virtual time reaches its start. The estimate
 * is at most EXPECTED_MAX times the number queued ahead: the virtual time does
 * not advance while all send within their shares, and a short backlog ends
 * before it does. */
static size_t
fair_count_ahead(const cbw_queue_t *queue, const cbw_request_t *request)
{
    cbw_request_t probe = {.rank = request->rank, .place = request->place};
    const fair_rank_t *rank;
    double expected = 0;
    size_t urgent = 0;
    size_t ahead;

    for (int i = 0; i < request->rank; i++) {
        urgent += queue->ranks[i].length;
    }
    if (queue->fair == NULL || queue->ranks[request->rank].length == 0) {
        return urgent;
    }
    rank = &queue->fair->ranks[request->rank];
    if (request->place.node == NULL) {
        probe.place = (cbw_queue_place_t){
            .start = next_start(rank, find_group(rank, request), request),
            .sequence = UINT64_MAX};
    }
    ahead = (size_t)g_sequence_iter_get_position(
        request->place.node != NULL
            ? request->place.node
            : g_sequence_search(rank->order, &probe, compare_places, NULL));
    if (rank->advance_samples == ADVANCE_SAMPLES && rank->advance > 0) {
        expected = (probe.place.start - rank->virtual_time) / rank->advance;
    }
    expected = MIN(expected, EXPECTED_MAX * (double)ahead);
    return urgent + (expected > (double)ahead ? (size_t)expected : ahead);
}

static void
fair_put_behind(cbw_queue_t *queue, cbw_request_t *request)
{
    (void)queue;
    request->place.behind = true;
    g_sequence_sort_changed(request->place.node, compare_places, NULL);
}

static cbw_request_t *
fair_find(const cbw_queue_t *queue, uint64_t id)
{
    return queue->fair != NULL ? g_hash_table_lookup(queue->fair->by_id, &id)
                               : NULL;
}

static const cbw_queue_ops_t fair_ops = {
    .push = fair_push,
    .push_front = fair_push_front,
    .pop = fair_pop,
    .estimate_wait = CbwQueue_EstimateWait_,
    .count_ahead = fair_count_ahead,
    .put_behind = fair_put_behind,
    .find = fair_find,
};

Cbw_PLUGIN_REGISTER(queue_fair, CBW_PLUGIN_QUEUE, "fair", &fair_ops)
