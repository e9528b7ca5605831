#include "pool_fleet.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "carobwind/pool.h"
#include "carobwind/random.h"

#define HOSTS 3
#define ENDPOINTS 3
#define TICK (10 * Cbw_MSEC)
#define PROMOTE_TIME (600 * Cbw_MSEC)
#define PROMOTE_TIME_MAX (900 * Cbw_MSEC)
/* Two hosts may not order within it. */
#define ORDER_LEASE (3 * Cbw_SEC)
#define STEP_DOWN_AFTER Cbw_SEC
/* TCP gives up bytes that are not acknowledged by then. */
#define UNACKNOWLEDGED_MAX (2 * Cbw_SEC)
#define STORE_CALL_TIMEOUT (700 * Cbw_MSEC)
#define PEER_CALL_TIMEOUT (250 * Cbw_MSEC)
/* A host that stops has ended by then. */
#define STOP_LIMIT (6 * Cbw_SEC)
#define DEAD_AFTER (1200 * Cbw_MSEC)
#define UNLISTED_AFTER (3600 * Cbw_MSEC)
#define QUIET_TIME (25 * Cbw_SEC)
#define QUIET_MEASURED (5 * Cbw_SEC)
#define FIRST_TERM 3
/* More terms than a run has promotions. */
#define TERMS_MAX 256

typedef struct fleet fleet_t;

/* An event: `run` is called with it at its time. The other fields are its
 * arguments. */
typedef struct event {
    cbw_time_t at;
    uint64_t sequence;
    void (*run)(fleet_t *fleet, struct event *event);
    int host;
    uint64_t generation; /* of the host's process; another one ignores it */
    int endpoint;
    int peer;
    uint64_t id;
    uint64_t version;
    cbw_call_verb_t verb;
    bool writes;
    bool flag;
    cbw_store_status_t status;
    cbw_promote_status_t promote_status;
    uint64_t fence;
    uint64_t nonce;
    uint64_t term;
    cbw_position_t needed;
    cbw_reply_t reply;
    cbw_tenure_record_t record;
    char name[Cbw_NAME_MAX];
    void *object;
} event_t;

typedef struct {
    bool up;
    bool listed;
    bool leaving;
    bool primary;
    uint64_t term;
    uint64_t last_term;
    uint64_t index;
    int incarnation;
    cbw_time_t reaches_leader_since;
    cbw_time_t unregistered_at; /* it does not renew its registration */
    int service_time;           /* extra, in ms */
} endpoint_t;

typedef struct {
    fleet_t *fleet;
    int index;
    char name[Cbw_NAME_MAX];
    bool running;
    bool stopping;
    bool paused;
    cbw_time_t stopping_since;
    uint64_t generation;
    bool assigned;
    bool released;
    cbw_time_t used_at;
    cbw_pool_t pool;
    GQueue waiting; /* events that came during a pause */
    int moved_to;   /* -1: none */
    bool moved_takes;
    cbw_time_t moved_at;
    bool endpoints_changed;
    uint64_t order; /* count of orders; a reply to another one is ignored */
    cbw_time_t started_at;
} host_t;

/* How a statement ran at an endpoint. */
typedef struct run {
    int endpoint; /* -1: did not run */
    uint64_t term;
    cbw_time_t at;
    cbw_position_t end; /* of the endpoint's log */
} run_t;

/* A caller's operation: a write, a read, or a transaction with two writes. */
typedef struct {
    cbw_request_t request;
    int host;
    uint64_t generation;
    int step; /* statements of the transaction that were sent; -1: single */
    uint64_t transaction;
    cbw_time_t begun_at;
    bool measured;
    cbw_position_t needed; /* highest acknowledged as the operation began */
    uint64_t noted_call;
    struct run *run; /* of the latest call; NULL: none */
} operation_t;

struct fleet {
    cbw_random_t random;
    const fleet_troubles_t *troubles;
    fleet_result_t *result;
    bool verbose;
    cbw_time_t now;
    cbw_time_t troubles_end;
    cbw_time_t end;
    uint64_t sequence;
    GQueue events;
    host_t hosts[HOSTS];
    endpoint_t endpoints[ENDPOINTS];
    bool host_cut[HOSTS][HOSTS];
    bool endpoint_cut[HOSTS][ENDPOINTS];
    bool group_cut[ENDPOINTS][ENDPOINTS];
    bool store_cut[HOSTS];
    bool store_down;
    bool orders_slow;
    cbw_time_t host_lost_at[HOSTS]; /* 0: running */
    uint64_t version;
    cbw_tenure_record_t record;
    int leader; /* the endpoint that was promoted last */
    uint64_t highest_term;
    uint64_t highest_fence;
    int last_order_by; /* -1: no order yet */
    cbw_time_t last_order_at;
    cbw_time_t led_since;
    cbw_position_t acknowledged; /* highest in a log that was not discarded */
    cbw_position_t bases[TERMS_MAX]; /* end of the log that led each term */
    uint64_t next_transaction;
    uint64_t next_nonce;
    uint64_t next_generation;
    GHashTable *runs; /* by the host's generation and the call's id */
    int owner;        /* to which callers' requests go */
};

static void
trace(const fleet_t *fleet, const char *format, ...)
{
    va_list arguments;

    if (!fleet->verbose) {
        return;
    }
    printf("%10.3f ", (double)fleet->now / Cbw_SEC);
    va_start(arguments, format);
    vprintf(format, arguments);
    va_end(arguments);
    printf("\n");
}

static void
report_fault(fleet_t *fleet, int *count, const char *format, ...)
{
    char text[256];
    va_list arguments;

    va_start(arguments, format);
    vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    if ((*count)++ == 0 && fleet->result->first_fault[0] == '\0') {
        snprintf(fleet->result->first_fault,
                 sizeof(fleet->result->first_fault), "%.3f %.200s",
                 (double)fleet->now / Cbw_SEC, text);
    }
    trace(fleet, "FAULT %s", text);
}

static bool
chance(fleet_t *fleet, int percent)
{
    return CbwRandom_Below(&fleet->random, 100) < (uint64_t)percent;
}

static cbw_time_t
between(fleet_t *fleet, cbw_time_t from, cbw_time_t to)
{
    return from +
           (cbw_time_t)CbwRandom_Below(&fleet->random, (uint64_t)(to - from));
}

/* Events. */

static gint
compare_events(gconstpointer a, gconstpointer b, gpointer data)
{
    const event_t *x = a;
    const event_t *y = b;

    (void)data;
    if (x->at != y->at) {
        return x->at < y->at ? -1 : 1;
    }
    return x->sequence < y->sequence ? -1 : 1;
}

static event_t *
new_event(void (*run)(fleet_t *, event_t *), int host, uint64_t generation)
{
    event_t *event = g_new0(event_t, 1);

    event->run = run;
    event->host = host;
    event->generation = generation;
    return event;
}

static void
schedule(fleet_t *fleet, cbw_time_t delay, event_t *event)
{
    event->at = fleet->now + delay;
    event->sequence = ++fleet->sequence;
    g_queue_insert_sorted(&fleet->events, event, compare_events, NULL);
}

static cbw_time_t
network_delay(fleet_t *fleet)
{
    return between(fleet, Cbw_MSEC / 2, 2 * Cbw_MSEC);
}

/* Whether the process that the event is for still runs. A paused one handles
 * it later; it is kept then. */
static bool
is_deliverable(fleet_t *fleet, event_t *event, bool *kept)
{
    host_t *host = &fleet->hosts[event->host];
    event_t *copy;

    *kept = false;
    if (!host->running || host->generation != event->generation) {
        return false;
    }
    if (!host->paused) {
        return true;
    }
    copy = g_new(event_t, 1);
    *copy = *event;
    g_queue_push_tail(&host->waiting, copy);
    *kept = true;
    return false;
}

/* Store. */

static void
deliver_store_answer(fleet_t *fleet, event_t *event)
{
    bool kept;

    if (!is_deliverable(fleet, event, &kept)) {
        return;
    }
    if (event->flag) {
        CbwPool_OnSwap(&fleet->hosts[event->host].pool, fleet->now,
                       event->status, event->version);
    }
    else {
        CbwPool_OnRecord(&fleet->hosts[event->host].pool, fleet->now,
                         event->status, event->version, &event->record);
    }
}

static bool
reaches_store(const fleet_t *fleet, int host)
{
    return !fleet->store_down && !fleet->store_cut[host];
}

/* Carries the call out at the store. A call that cannot be answered ends as
 * lost at its timeout, as if no answer had come. */
static void
run_store_call(fleet_t *fleet, event_t *event)
{
    event_t *answer = g_new(event_t, 1);

    *answer = *event;
    answer->run = deliver_store_answer;
    if (event->flag) {
        answer->status = event->version == fleet->version ? CBW_STORE_OK
                                                          : CBW_STORE_CONFLICT;
        if (answer->status == CBW_STORE_OK) {
            fleet->version += 1 + CbwRandom_Below(&fleet->random, 3);
            fleet->record = event->record;
            trace(fleet,
                  "store: version %" G_GUINT64_FORMAT
                  " holder %s promoting %d primary %s epoch %" G_GUINT64_FORMAT
                  " previous %d",
                  fleet->version, fleet->record.holder.host,
                  fleet->record.promoting, fleet->record.primary,
                  fleet->record.epoch, fleet->record.previous_holder_count);
        }
        answer->version = fleet->version;
    }
    else {
        answer->status =
            fleet->version == 0 ? CBW_STORE_MISSING : CBW_STORE_OK;
        answer->version = fleet->version;
        answer->record = fleet->record;
    }
    if (event->peer != 0) { /* the answer is lost */
        g_free(answer);
        return;
    }
    schedule(fleet, network_delay(fleet), answer);
}

static void
call_store(host_t *host, bool swap, uint64_t version,
           const cbw_tenure_record_t *record)
{
    fleet_t *fleet = host->fleet;
    event_t *call = new_event(run_store_call, host->index, host->generation);
    event_t *lost;
    bool answer_lost = fleet->troubles->lost_swaps &&
                       fleet->now < fleet->troubles_end && chance(fleet, 6);
    cbw_time_t delay = network_delay(fleet) + 2 * Cbw_MSEC;

    call->flag = swap;
    call->version = version;
    if (record != NULL) {
        call->record = *record;
    }
    if (!reaches_store(fleet, host->index) || answer_lost) {
        lost = new_event(deliver_store_answer, host->index, host->generation);
        lost->flag = swap;
        lost->status = CBW_STORE_LOST;
        schedule(fleet, STORE_CALL_TIMEOUT, lost);
        if (!answer_lost) {
            g_free(call);
            return;
        }
        call->peer = 1;
        if (chance(fleet, 50)) {
            delay = between(fleet, 0, 4 * Cbw_SEC);
        }
    }
    schedule(fleet, delay, call);
}

static void
op_read_record(void *context)
{
    call_store(context, false, 0, NULL);
}

static void
op_swap_record(void *context, uint64_t version,
               const cbw_tenure_record_t *record)
{
    call_store(context, true, version, record);
}

/* Endpoints. */

static void
deliver_reply(fleet_t *fleet, event_t *event)
{
    bool kept;

    if (fleet->endpoint_cut[event->host][event->endpoint] ||
        !is_deliverable(fleet, event, &kept)) {
        return;
    }
    event->reply.result = "r";
    event->reply.result_size = 1;
    CbwPool_OnReply(&fleet->hosts[event->host].pool, fleet->now, event->id,
                    &event->reply);
}

static run_t *
find_run(fleet_t *fleet, uint64_t generation, uint64_t call)
{
    gint64 key = (gint64)(generation << 32 | call);

    return g_hash_table_lookup(fleet->runs, &key);
}

static run_t *
new_run(fleet_t *fleet, uint64_t generation, uint64_t call)
{
    gint64 *key = g_new(gint64, 1);
    run_t *run = g_new0(run_t, 1);

    *key = (gint64)(generation << 32 | call);
    run->endpoint = -1;
    g_hash_table_insert(fleet->runs, key, run);
    return run;
}

static void
fill_state(const endpoint_t *e, cbw_reply_t *reply)
{
    reply->state.term = e->term;
    reply->state.primary = e->primary;
    reply->state.last_term = e->last_term;
    reply->state.position = e->index;
}

static void
run_statement(fleet_t *fleet, event_t *event, cbw_reply_t *reply)
{
    endpoint_t *e = &fleet->endpoints[event->endpoint];
    run_t *run = find_run(fleet, event->generation, event->id);
    bool commits =
        event->verb == CBW_CALL_COMMIT ||
        (event->verb == CBW_CALL_RUN && event->writes && event->term == 0);

    if ((event->writes || event->verb == CBW_CALL_COMMIT ||
         event->fence != 0) &&
        !e->primary) {
        reply->status = CBW_REPLY_NOT_PRIMARY;
        return;
    }
    if (CbwPosition_Compare((cbw_position_t){e->last_term, e->index},
                            event->needed) < 0) {
        reply->status = CBW_REPLY_BEHIND;
        return;
    }
    if (commits) {
        e->index++;
        e->last_term = e->term;
    }
    if (run != NULL) {
        *run = (run_t){
            event->endpoint, e->term, fleet->now, {e->last_term, e->index}};
    }
}

static void
run_call(fleet_t *fleet, event_t *event)
{
    endpoint_t *e = &fleet->endpoints[event->endpoint];
    event_t *answer;

    if (!e->up || fleet->endpoint_cut[event->host][event->endpoint]) {
        return;
    }
    answer = g_new(event_t, 1);
    *answer = *event;
    answer->run = deliver_reply;
    answer->reply.status = CBW_REPLY_OK;
    if (event->verb == CBW_CALL_STEP_DOWN) {
        if (e->primary && e->term < event->term) {
            trace(fleet, "e%d steps down", event->endpoint);
            e->primary = false;
            e->term = event->term;
        }
    }
    else if (event->verb != CBW_CALL_STATE) {
        run_statement(fleet, event, &answer->reply);
    }
    fill_state(e, &answer->reply);
    schedule(fleet, network_delay(fleet), answer);
}

static int
endpoint_of(const host_t *host, int slot)
{
    return host->pool.endpoints[slot].info.name[1] - '0';
}

static bool
op_call(void *context, int slot, const cbw_call_t *call)
{
    host_t *host = context;
    fleet_t *fleet = host->fleet;
    event_t *event = new_event(run_call, host->index, host->generation);
    const endpoint_t *e = &fleet->endpoints[endpoint_of(host, slot)];
    cbw_time_t service = between(fleet, 3 * Cbw_MSEC, 9 * Cbw_MSEC) +
                         e->service_time * Cbw_MSEC;

    event->endpoint = endpoint_of(host, slot);
    event->id = call->id;
    event->verb = call->verb;
    event->writes = call->writes;
    event->term =
        call->verb == CBW_CALL_STEP_DOWN ? call->term : call->transaction;
    event->needed = (cbw_position_t){call->min_term, call->min_position};
    event->fence = call->begins && !call->reads_only;
    if (call->verb == CBW_CALL_ROLLBACK) {
        event->verb = CBW_CALL_STATE;
    }
    schedule(fleet, network_delay(fleet) + service, event);
    return true;
}

static bool
op_abort(void *context, int slot, uint64_t id)
{
    (void)context;
    (void)slot;
    (void)id;
    return true;
}

static void
op_end_transaction(void *context, int slot, uint64_t transaction, bool clean)
{
    (void)context;
    (void)slot;
    (void)transaction;
    (void)clean;
}

static void
op_attach(void *context, int slot, const cbw_endpoint_t *info)
{
    (void)context;
    (void)slot;
    (void)info;
}

static void
op_detach(void *context, int slot)
{
    (void)context;
    (void)slot;
}

/* Promotions. */

static void
take_effect(fleet_t *fleet, event_t *event)
{
    endpoint_t *e = &fleet->endpoints[event->endpoint];

    if (!e->up || fleet->leader == event->endpoint) {
        return;
    }
    e->term = ++fleet->highest_term;
    e->primary = true;
    fleet->bases[e->term % TERMS_MAX] =
        (cbw_position_t){e->last_term, e->index};
    fleet->leader = event->endpoint;
    fleet->led_since = fleet->now;
    fleet->result->promotions++;
    for (int i = 0; i < ENDPOINTS; i++) {
        fleet->endpoints[i].reaches_leader_since = fleet->now;
    }
    if (CbwPosition_Compare(fleet->acknowledged,
                            (cbw_position_t){e->last_term, e->index}) > 0) {
        /* The promotion discards what it lacks. */
        fleet->acknowledged = (cbw_position_t){e->last_term, e->index};
    }
    trace(fleet,
          "PROMOTED e%d leads term %" G_GUINT64_FORMAT ", ordered by h%d",
          event->endpoint, e->term, event->host);
}

static void
deliver_promote_reply(fleet_t *fleet, event_t *event)
{
    bool kept;

    if (is_deliverable(fleet, event, &kept) &&
        fleet->hosts[event->host].order == event->id) {
        CbwPool_OnPromoteReply(&fleet->hosts[event->host].pool, fleet->now,
                               event->promote_status);
    }
}

static void
receive_order(fleet_t *fleet, event_t *event)
{
    endpoint_t *e = &fleet->endpoints[event->endpoint];
    event_t *answer = g_new(event_t, 1);
    event_t *effect;

    trace(fleet, "order of h%d for e%d arrives, fence %" G_GUINT64_FORMAT,
          event->host, event->endpoint, event->fence);
    if (event->fence < fleet->highest_fence) {
        report_fault(fleet, &fleet->result->lower_fences,
                     "order of h%d has a lower fence", event->host);
    }
    if (fleet->last_order_by >= 0 && fleet->last_order_by != event->host &&
        fleet->now - fleet->last_order_at < ORDER_LEASE) {
        report_fault(fleet, &fleet->result->orders_in_turn,
                     "orders of h%d and h%d within %.3f s",
                     fleet->last_order_by, event->host,
                     (double)(fleet->now - fleet->last_order_at) / Cbw_SEC);
    }
    fleet->last_order_by = event->host;
    fleet->last_order_at = fleet->now;
    fleet->highest_fence = MAX(fleet->highest_fence, event->fence);
    *answer = *event;
    answer->run = deliver_promote_reply;
    answer->promote_status = e->up && e->incarnation == (int)event->version
                                 ? CBW_PROMOTE_ACCEPTED
                                 : CBW_PROMOTE_REFUSED;
    if (answer->promote_status == CBW_PROMOTE_ACCEPTED &&
        fleet->leader != event->endpoint) {
        effect = g_new(event_t, 1);
        *effect = *event;
        effect->run = take_effect;
        schedule(fleet,
                 fleet->orders_slow && fleet->now < fleet->troubles_end
                     ? between(fleet, PROMOTE_TIME / 2, PROMOTE_TIME_MAX)
                     : PROMOTE_TIME,
                 effect);
    }
    if (event->flag) {
        g_free(answer);
        return;
    }
    schedule(fleet, network_delay(fleet), answer);
}

static void
op_request_promotion(void *context, const char *endpoint, uint64_t fence)
{
    host_t *host = context;
    fleet_t *fleet = host->fleet;
    event_t *event = new_event(receive_order, host->index, host->generation);
    bool troubled = fleet->now < fleet->troubles_end;
    cbw_time_t delay = network_delay(fleet);

    if (troubled && fleet->troubles->late_orders && fleet->orders_slow) {
        delay = between(fleet, 0, 6 * Cbw_SEC);
    }
    event->flag =
        troubled && fleet->troubles->lost_orders && chance(fleet, 30);
    event->endpoint = endpoint[1] - '0';
    event->version = (uint64_t)fleet->endpoints[event->endpoint].incarnation;
    event->fence = fence;
    event->id = ++host->order;
    fleet->result->orders++;
    if (delay > UNACKNOWLEDGED_MAX) {
        g_free(event);
        return;
    }
    schedule(fleet, delay, event);
}

/* What is held up on the way is lost when its sender ends the call, or ends.
 */
static void
drop_orders_on_the_way(fleet_t *fleet, const host_t *host)
{
    GList *link = fleet->events.head;

    while (link != NULL) {
        GList *next = link->next;
        event_t *event = link->data;
        if (event->run == receive_order && event->host == host->index) {
            g_queue_delete_link(&fleet->events, link);
            g_free(event);
        }
        link = next;
    }
}

static void
op_cancel_promotion(void *context)
{
    host_t *host = context;

    trace(host->fleet, "h%d cancels its order", host->index);
    drop_orders_on_the_way(host->fleet, host);
    host->order++;
}

/* Hosts among each other. */

static bool
counts_as_dead(const fleet_t *fleet, int from, int to)
{
    return fleet->host_cut[from][to] ||
           (fleet->host_lost_at[to] != 0 &&
            fleet->now - fleet->host_lost_at[to] > DEAD_AFTER);
}

static void
deliver_relinquished(fleet_t *fleet, event_t *event)
{
    bool kept;

    if (!is_deliverable(fleet, event, &kept)) {
        return;
    }
    if (event->flag) {
        CbwPool_OnRelinquished(&fleet->hosts[event->host].pool, fleet->now,
                               event->nonce);
    }
    else if (event->verb == 1 &&
             counts_as_dead(fleet, event->host, event->peer)) {
        CbwPool_OnHolderUnreachable(&fleet->hosts[event->host].pool,
                                    fleet->now, event->nonce);
    }
}

static void
receive_relinquish(fleet_t *fleet, event_t *event)
{
    host_t *peer = &fleet->hosts[event->peer];
    event_t *answer;

    if (!peer->running || peer->paused ||
        fleet->host_cut[event->host][event->peer]) {
        return;
    }
    answer = g_new(event_t, 1);
    *answer = *event;
    answer->run = deliver_relinquished;
    answer->flag = peer->pool.tenure.self.nonce == event->nonce
                       ? CbwPool_Relinquish(&peer->pool, fleet->now)
                       : fleet->now - peer->started_at >= ORDER_LEASE;
    schedule(fleet, network_delay(fleet), answer);
}

static void
op_ask_to_relinquish(void *context, const cbw_tenure_holder_t *holder)
{
    host_t *host = context;
    fleet_t *fleet = host->fleet;
    event_t *event =
        new_event(receive_relinquish, host->index, host->generation);
    event_t *timeout =
        new_event(deliver_relinquished, host->index, host->generation);

    event->peer = timeout->peer = holder->host[1] - '0';
    event->nonce = timeout->nonce = holder->nonce;
    timeout->verb = 1;
    schedule(fleet, network_delay(fleet), event);
    schedule(fleet, PEER_CALL_TIMEOUT, timeout);
}

static void
deliver_reach(fleet_t *fleet, event_t *event)
{
    bool kept;
    const char *reached = NULL;

    if (!is_deliverable(fleet, event, &kept)) {
        return;
    }
    for (int i = 0; i < HOSTS && event->endpoint >= 0; i++) {
        if (i != event->host && fleet->hosts[i].running &&
            !fleet->hosts[i].paused && !fleet->host_cut[event->host][i] &&
            !fleet->endpoint_cut[i][event->endpoint] &&
            fleet->endpoints[event->endpoint].up) {
            reached = fleet->hosts[i].name;
        }
    }
    CbwPool_OnReach(&fleet->hosts[event->host].pool, fleet->now, reached);
}

static void
op_ask_reach(void *context, int slot)
{
    host_t *host = context;
    event_t *event = new_event(deliver_reach, host->index, host->generation);

    event->endpoint = endpoint_of(host, slot);
    schedule(host->fleet, 10 * Cbw_MSEC, event);
}

static bool
op_redirect(void *context, const char *name, bool must_take_over)
{
    host_t *host = context;
    int to = name[1] - '0';

    if (counts_as_dead(host->fleet, host->index, to)) {
        return false;
    }
    host->moved_to = to;
    host->moved_takes = must_take_over;
    host->moved_at = host->fleet->now;
    return true;
}

static void
op_log_decision(void *context, const char *text)
{
    host_t *host = context;

    trace(host->fleet, "h%d: %s", host->index, text);
}

/* Callers. */

static void submit(fleet_t *fleet, operation_t *operation, int host_index);

static void
free_operation(operation_t *operation)
{
    CbwRequest_Finish(&operation->request);
    g_free(operation);
}

/* Whether a later promotion discarded the entry. */
static bool
is_discarded(const fleet_t *fleet, cbw_position_t entry)
{
    for (uint64_t term = entry.term + 1; term <= fleet->highest_term; term++) {
        if (CbwPosition_Compare(entry, fleet->bases[term % TERMS_MAX]) > 0) {
            return true;
        }
    }
    return false;
}

static void
check_answer(fleet_t *fleet, const operation_t *operation)
{
    const cbw_request_t *request = &operation->request;
    bool commits = request->transaction == 0
                       ? request->writes
                       : request->verb == CBW_VERB_COMMIT;
    const run_t *run = operation->run;

    if (request->answer.outcome != CBW_OUTCOME_DONE || run == NULL ||
        run->endpoint < 0) {
        return;
    }
    if (!commits) {
        if (request->transaction == 0) {
            fleet->result->reads_done++;
            if (CbwPosition_Compare(run->end, operation->needed) < 0 &&
                !is_discarded(fleet, operation->needed)) {
                report_fault(fleet, &fleet->result->stale_reads,
                             "read at e%d, term %" G_GUINT64_FORMAT,
                             run->endpoint, run->term);
            }
        }
        return;
    }
    fleet->result->commits_acknowledged++;
    if (run->at > fleet->led_since && run->term < fleet->highest_term) {
        report_fault(fleet, &fleet->result->superseded_commits,
                     "h%d acknowledges a commit at e%d in term "
                     "%" G_GUINT64_FORMAT " at %.3f, e%d leads since %.3f",
                     operation->host, run->endpoint, run->term,
                     (double)run->at / Cbw_SEC, fleet->leader,
                     (double)fleet->led_since / Cbw_SEC);
    }
    if (run->term == fleet->highest_term && run->endpoint == fleet->leader &&
        CbwPosition_Compare(run->end, fleet->acknowledged) > 0) {
        fleet->acknowledged = run->end;
    }
}

static void
next_statement(fleet_t *fleet, event_t *event)
{
    operation_t *operation = event->object;

    submit(fleet, operation, operation->host);
}

static void
resubmit(fleet_t *fleet, event_t *event)
{
    submit(fleet, event->object, event->peer);
}

static void
finish_operation(fleet_t *fleet, operation_t *operation)
{
    bool done = operation->request.answer.outcome == CBW_OUTCOME_DONE;

    if (operation->measured) {
        fleet->result->quiet_successes += done;
        fleet->result->quiet_failures += !done;
    }
    free_operation(operation);
}

static void
op_answer(void *context, cbw_request_t *request)
{
    host_t *host = context;
    fleet_t *fleet = host->fleet;
    operation_t *operation = (operation_t *)request;
    event_t *event;

    if (request->answer.outcome == CBW_OUTCOME_PENDING) {
        int to = host->moved_to >= 0 ? host->moved_to : fleet->owner;
        request->takes_over = host->moved_to >= 0 && host->moved_takes;
        if (fleet->now >= request->deadline) {
            free_operation(operation);
            return;
        }
        event = new_event(resubmit, 0, 0);
        event->object = operation;
        event->peer = to;
        schedule(fleet, network_delay(fleet), event);
        return;
    }
    check_answer(fleet, operation);
    if (operation->step < 0 || operation->step >= 2 ||
        request->answer.outcome != CBW_OUTCOME_DONE) {
        finish_operation(fleet, operation);
        return;
    }
    operation->step++;
    event = new_event(next_statement, 0, 0);
    event->object = operation;
    schedule(fleet,
             chance(fleet, 20) ? between(fleet, 0, 900 * Cbw_MSEC)
                               : between(fleet, 0, 20 * Cbw_MSEC),
             event);
}

static void
prepare_request(fleet_t *fleet, operation_t *operation, bool first)
{
    cbw_request_t *request = &operation->request;
    cbw_time_t deadline = operation->begun_at + 1500 * Cbw_MSEC;
    bool takes_over = request->takes_over;

    if (!first) {
        CbwRequest_Finish(request);
    }
    CbwRequest_Init(request);
    CbwRequest_SetStatement(request, "WRITE k v", 9);
    request->takes_over = takes_over;
    request->rule = CBW_READ_LATEST;
    request->age = Cbw_SEC;
    request->arrived_at = fleet->now;
    request->deadline = deadline;
    request->target = 150 * Cbw_MSEC;
    request->writes = operation->step != 2 && operation->transaction != 1;
    if (operation->step >= 0) {
        request->transaction = operation->transaction;
        request->begins = operation->step == 0;
        request->verb =
            operation->step == 2 ? CBW_VERB_COMMIT : CBW_VERB_STATEMENT;
    }
    operation->run = NULL;
    operation->noted_call = 0;
}

static void
submit(fleet_t *fleet, operation_t *operation, int host_index)
{
    host_t *host = &fleet->hosts[host_index];
    cbw_request_t *request = &operation->request;
    bool continues = operation->step > 0;

    if (!host->running || host->paused ||
        (continues && operation->generation != host->generation) ||
        fleet->now >= operation->begun_at + 1500 * Cbw_MSEC) {
        finish_operation(fleet, operation);
        return;
    }
    if (request->statement == NULL || continues) {
        prepare_request(fleet, operation, request->statement == NULL);
    }
    else {
        request->answer.outcome = CBW_OUTCOME_PENDING;
        CbwList_Init(&request->link);
    }
    if (host->moved_to >= 0 && !request->takes_over && !continues &&
        fleet->now - host->moved_at <
            (host->moved_takes ? 3 * Cbw_SEC : Cbw_POOL_DEFER_INTERVAL) &&
        host->moved_to != host_index) {
        host_index = host->moved_to;
        request->takes_over = host->moved_takes;
        host = &fleet->hosts[host_index];
        if (!host->running || host->paused) {
            finish_operation(fleet, operation);
            return;
        }
    }
    operation->host = host_index;
    operation->generation = host->generation;
    host->used_at = fleet->now;
    CbwPool_Submit(&host->pool, fleet->now, request);
}

/* `op_call` does not know the request: the pool's list of running requests
 * does. */
static void
note_running_calls(fleet_t *fleet, host_t *host)
{
    cbw_link_t *link = host->pool.running.next;

    for (; link != &host->pool.running; link = link->next) {
        cbw_request_t *request = Cbw_LIST_ITEM(link, cbw_request_t, link);
        operation_t *operation = (operation_t *)request;
        if (operation->noted_call != request->call) {
            operation->noted_call = request->call;
            operation->run = new_run(fleet, host->generation, request->call);
        }
    }
}

static void
new_operation(fleet_t *fleet, event_t *event)
{
    operation_t *operation = g_new0(operation_t, 1);
    event_t *again;

    operation->begun_at = fleet->now;
    operation->needed = fleet->acknowledged;
    operation->measured = fleet->now >= fleet->end - QUIET_MEASURED;
    operation->step = -1;
    switch (CbwRandom_Below(&fleet->random, 3)) {
    case 0:
        operation->step = 0;
        operation->transaction = ++fleet->next_transaction;
        break;
    case 1:
        operation->transaction = 1; /* a read */
        break;
    default:
        break;
    }
    (void)event;
    if (fleet->now < fleet->end - 2 * Cbw_SEC) {
        again = new_event(new_operation, 0, 0);
        schedule(fleet, between(fleet, 2 * Cbw_MSEC, 24 * Cbw_MSEC), again);
    }
    /* Entries whose views differ send to another host. */
    submit(fleet, operation,
           chance(fleet, 97) || fleet->now >= fleet->troubles_end
               ? fleet->owner
               : (int)CbwRandom_Below(&fleet->random, HOSTS));
}

/* Processes. */

static const cbw_pool_ops_t ops = {
    .call = op_call,
    .abort = op_abort,
    .end_transaction = op_end_transaction,
    .answer = op_answer,
    .attach = op_attach,
    .detach = op_detach,
    .read_record = op_read_record,
    .swap_record = op_swap_record,
    .ask_to_relinquish = op_ask_to_relinquish,
    .request_promotion = op_request_promotion,
    .cancel_promotion = op_cancel_promotion,
    .ask_reach = op_ask_reach,
    .redirect = op_redirect,
    .log_decision = op_log_decision,
};

static const cbw_rank_t ranks[] = {{.name = "urgent"}, {.name = "other"}};

static void
set_endpoints(fleet_t *fleet, host_t *host)
{
    cbw_endpoint_t list[ENDPOINTS];
    int count = 0;

    memset(list, 0, sizeof(list));
    for (int i = 0; i < ENDPOINTS; i++) {
        const endpoint_t *e = &fleet->endpoints[i];
        cbw_endpoint_t *info = &list[count];
        if (!e->listed) {
            continue;
        }
        snprintf(info->name, sizeof(info->name), "e%d", i);
        snprintf(info->address, sizeof(info->address), "10.0.0.%d:%d", i + 1,
                 e->incarnation + 1);
        info->slots = 3;
        info->connections = 49;
        info->reports_primary = e->primary;
        info->leaving = e->leaving;
        count++;
    }
    CbwPool_SetEndpoints(&host->pool, fleet->now, list, count);
}

static void
start_host(fleet_t *fleet, host_t *host)
{
    host->running = true;
    host->stopping = false;
    host->released = false;
    host->paused = false;
    host->moved_to = -1;
    host->started_at = fleet->now;
    host->generation = ++fleet->next_generation;
    fleet->host_lost_at[host->index] = 0;
    CbwPool_Init(&host->pool, "db", CbwQueue_Policy("ranked"), ranks,
                 G_N_ELEMENTS(ranks), &ops, host, ++fleet->next_nonce,
                 host->name, "north", NULL);
    set_endpoints(fleet, host);
    host->assigned = fleet->owner == host->index;
    trace(fleet, "h%d starts", host->index);
}

static void
end_host(fleet_t *fleet, host_t *host)
{
    event_t *event;

    trace(fleet, "h%d ends", host->index);
    drop_orders_on_the_way(fleet, host);
    host->paused = false;
    host->running = false;
    host->generation = 0; /* nothing reaches it while it ends */
    fleet->host_lost_at[host->index] = fleet->now;
    CbwPool_Finish(&host->pool, fleet->now);
    while ((event = g_queue_pop_head(&host->waiting)) != NULL) {
        g_free(event);
    }
}

static void
assign(fleet_t *fleet, int owner)
{
    trace(fleet, "h%d is assigned", owner);
    fleet->owner = owner;
    for (int i = 0; i < HOSTS; i++) {
        fleet->hosts[i].assigned = i == owner;
    }
}

static void
restart_host(fleet_t *fleet, event_t *event)
{
    host_t *host = &fleet->hosts[event->host];

    if (host->running) {
        return;
    }
    start_host(fleet, host);
    if (!fleet->hosts[fleet->owner].running ||
        fleet->hosts[fleet->owner].stopping) {
        assign(fleet, host->index);
    }
}

static void
resume_host(fleet_t *fleet, event_t *event)
{
    host_t *host = &fleet->hosts[event->host];
    event_t *waiting;

    if (!host->running || host->generation != event->generation ||
        !host->paused) {
        return;
    }
    trace(fleet, "h%d resumes", host->index);
    host->paused = false;
    while (host->running && !host->paused &&
           (waiting = g_queue_pop_head(&host->waiting)) != NULL) {
        waiting->run(fleet, waiting);
        note_running_calls(fleet, host);
        g_free(waiting);
    }
}

/* As the pool task does, see tick_instance. */
static void
tick_host(fleet_t *fleet, host_t *host)
{
    bool needed =
        host->assigned || fleet->now - host->used_at <= 1500 * Cbw_MSEC;
    event_t *event;

    CbwPool_SetAssigned(&host->pool, host->assigned && !host->stopping);
    CbwPool_SetDraining(&host->pool, host->stopping);
    CbwPool_Tick(&host->pool, fleet->now, needed && !host->stopping);
    if (CbwPool_IsIdle(&host->pool) && !needed && !host->released) {
        host->released = CbwPool_Release(&host->pool, fleet->now);
    }
    else if (needed && host->released) {
        host->released = false;
        host->pool.stopping = false;
    }
    if (host->stopping && ((CbwPool_IsIdle(&host->pool) &&
                            !CbwPool_IsPromoting(&host->pool, fleet->now) &&
                            !host->pool.tenure.call_in_flight &&
                            fleet->now - host->stopping_since > 2 * Cbw_SEC) ||
                           fleet->now - host->stopping_since > STOP_LIMIT)) {
        end_host(fleet, host);
        event = new_event(restart_host, host->index, 0);
        schedule(fleet, between(fleet, 50 * Cbw_MSEC, 900 * Cbw_MSEC), event);
    }
}

/* The endpoints follow the leader that they reach. */
static void
tick_endpoints(fleet_t *fleet)
{
    endpoint_t *leader = &fleet->endpoints[fleet->leader];

    for (int i = 0; i < ENDPOINTS; i++) {
        endpoint_t *e = &fleet->endpoints[i];
        bool reaches = e->up && leader->up && leader->primary &&
                       !fleet->group_cut[i][fleet->leader];
        if (i == fleet->leader) {
            continue;
        }
        if (!reaches) {
            e->reaches_leader_since = 0;
            continue;
        }
        if (e->reaches_leader_since == 0) {
            e->reaches_leader_since = fleet->now;
        }
        if (e->primary &&
            fleet->now - e->reaches_leader_since < STEP_DOWN_AFTER) {
            continue;
        }
        e->primary = false;
        if (chance(fleet, 30)) {
            e->term = leader->term;
            e->last_term = leader->last_term;
            e->index = leader->index;
        }
    }
}

static void
update_listing(fleet_t *fleet)
{
    bool changed = false;

    for (int i = 0; i < ENDPOINTS; i++) {
        endpoint_t *e = &fleet->endpoints[i];
        bool registers = e->up && e->unregistered_at == 0;
        bool listed =
            registers || (e->unregistered_at != 0 &&
                          fleet->now - e->unregistered_at < UNLISTED_AFTER);
        if (e->listed != listed) {
            e->listed = listed;
            changed = true;
            trace(fleet, "e%d %s", i, listed ? "listed" : "unlisted");
        }
    }
    for (int i = 0; i < HOSTS; i++) {
        host_t *host = &fleet->hosts[i];
        host->endpoints_changed |= changed;
        if (host->running && !host->paused && !fleet->store_down &&
            (host->endpoints_changed || chance(fleet, 5))) {
            host->endpoints_changed = false;
            set_endpoints(fleet, host);
        }
    }
}

static void
tick(fleet_t *fleet, event_t *event)
{
    (void)event;
    tick_endpoints(fleet);
    update_listing(fleet);
    for (int i = 0; i < HOSTS; i++) {
        if (fleet->hosts[i].running && !fleet->hosts[i].paused) {
            tick_host(fleet, &fleet->hosts[i]);
        }
    }
    if (fleet->now < fleet->end) {
        schedule(fleet, TICK, new_event(tick, 0, 0));
    }
}

/* Troubles. */

typedef void (*undo_t)(fleet_t *, event_t *);

static void
undo_bool(fleet_t *fleet, event_t *event)
{
    bool *flag = event->object;

    trace(fleet, "ends: %s", event->name);
    *flag = false;
}

static void
set_for(fleet_t *fleet, bool *flag, cbw_time_t length, const char *format, ...)
{
    event_t *event = new_event(undo_bool, 0, 0);
    va_list arguments;

    va_start(arguments, format);
    vsnprintf(event->name, sizeof(event->name), format, arguments);
    va_end(arguments);
    trace(fleet, "begins: %s", event->name);
    *flag = true;
    event->object = flag;
    schedule(fleet, length, event);
}

static void
return_endpoint(fleet_t *fleet, event_t *event)
{
    endpoint_t *e = &fleet->endpoints[event->endpoint];

    if (e->up) {
        return;
    }
    e->up = true;
    e->unregistered_at = 0;
    e->primary = fleet->leader == event->endpoint;
    trace(fleet, "e%d returns", event->endpoint);
}

static void
crash_endpoint(fleet_t *fleet, int index)
{
    event_t *event = new_event(return_endpoint, 0, 0);

    if (!fleet->endpoints[index].up) {
        g_free(event);
        return;
    }
    trace(fleet, "e%d crashes", index);
    fleet->endpoints[index].up = false;
    fleet->endpoints[index].unregistered_at = fleet->now;
    event->endpoint = index;
    schedule(fleet, between(fleet, 500 * Cbw_MSEC, 9 * Cbw_SEC), event);
}

static void
end_unregistered(fleet_t *fleet, event_t *event)
{
    if (fleet->endpoints[event->endpoint].up) {
        fleet->endpoints[event->endpoint].unregistered_at = 0;
    }
}

static void
end_leaving(fleet_t *fleet, event_t *event)
{
    endpoint_t *e = &fleet->endpoints[event->endpoint];

    /* Its log goes to a new endpoint at another address. */
    if (e->up && e->leaving && fleet->leader != event->endpoint) {
        e->incarnation++;
        e->primary = false;
    }
    e->leaving = false;
    for (int i = 0; i < HOSTS; i++) {
        fleet->hosts[i].endpoints_changed = true;
    }
}

static void
leave_endpoint(fleet_t *fleet, int index)
{
    event_t *event = new_event(end_leaving, 0, 0);

    trace(fleet, "e%d leaves", index);
    fleet->endpoints[index].leaving = true;
    for (int i = 0; i < HOSTS; i++) {
        fleet->hosts[i].endpoints_changed = true;
    }
    event->endpoint = index;
    schedule(fleet, 7 * Cbw_SEC, event);
}

/* Another host is assigned the database. */
static void
reassign(fleet_t *fleet, int from)
{
    for (int i = 1; i < HOSTS; i++) {
        const host_t *next = &fleet->hosts[(from + i) % HOSTS];
        if (next->running && !next->stopping) {
            assign(fleet, next->index);
            return;
        }
    }
}

static void
stop_host(fleet_t *fleet, host_t *host)
{
    event_t *event;

    if (!host->running || host->stopping) {
        return;
    }
    if (chance(fleet, 50)) {
        end_host(fleet, host);
        event = new_event(restart_host, host->index, 0);
        schedule(fleet, between(fleet, 50 * Cbw_MSEC, 3 * Cbw_SEC), event);
        if (fleet->owner == host->index) {
            reassign(fleet, host->index);
        }
        return;
    }
    trace(fleet, "h%d is told to stop", host->index);
    host->stopping = true;
    host->assigned = false;
    host->stopping_since = fleet->now;
    if (fleet->owner == host->index) {
        reassign(fleet, host->index);
    }
}

static void
pause_host(fleet_t *fleet, host_t *host)
{
    event_t *event;

    if (!host->running || host->paused) {
        return;
    }
    trace(fleet, "h%d pauses", host->index);
    host->paused = true;
    event = new_event(resume_host, host->index, host->generation);
    schedule(fleet, between(fleet, 100 * Cbw_MSEC, 9 * Cbw_SEC), event);
}

/* Disruptions that concern the hosts. */
static void
disrupt_hosts(fleet_t *fleet, int which, int host, cbw_time_t length)
{
    const fleet_troubles_t *troubles = fleet->troubles;
    int other =
        (host + 1 + (int)CbwRandom_Below(&fleet->random, HOSTS - 1)) % HOSTS;

    switch (which) {
    case 0:
        if (troubles->store_cuts) {
            set_for(fleet, &fleet->store_cut[host], length, "store cut h%d",
                    host);
        }
        break;
    case 1:
        if (troubles->store_cuts && chance(fleet, 30)) {
            set_for(fleet, &fleet->store_down, length, "store down");
        }
        break;
    case 2:
        if (troubles->host_cuts) {
            set_for(fleet, &fleet->host_cut[host][other], length,
                    "cut h%d-h%d", host, other);
            set_for(fleet, &fleet->host_cut[other][host], length,
                    "cut h%d-h%d", other, host);
        }
        break;
    case 3:
        if (troubles->restarts) {
            stop_host(fleet, &fleet->hosts[host]);
        }
        break;
    case 4:
        if (troubles->pauses) {
            pause_host(fleet, &fleet->hosts[host]);
        }
        break;
    default:
        if (fleet->hosts[host].running && !fleet->hosts[host].stopping) {
            assign(fleet, host);
        }
        break;
    }
}

/* Disruptions that concern the endpoints. */
static void
disrupt_endpoints(fleet_t *fleet, int which, int host, cbw_time_t length)
{
    const fleet_troubles_t *troubles = fleet->troubles;
    int e = chance(fleet, 60)
                ? fleet->leader
                : (int)CbwRandom_Below(&fleet->random, ENDPOINTS);
    int other = (e + 1 + (int)CbwRandom_Below(&fleet->random, ENDPOINTS - 1)) %
                ENDPOINTS;

    switch (which) {
    case 0:
        if (troubles->endpoint_crashes) {
            crash_endpoint(fleet, e);
        }
        break;
    case 1:
        if (troubles->endpoint_cuts) {
            set_for(fleet, &fleet->endpoint_cut[host][e], length,
                    "cut h%d-e%d", host, e);
        }
        break;
    case 2:
        if (troubles->group_cuts) {
            set_for(fleet, &fleet->group_cut[e][other], length, "cut e%d-e%d",
                    e, other);
            set_for(fleet, &fleet->group_cut[other][e], length, "cut e%d-e%d",
                    other, e);
        }
        break;
    case 3:
        if (troubles->releases) {
            leave_endpoint(fleet, e);
        }
        break;
    case 4:
        if (troubles->endpoint_cuts && fleet->endpoints[e].up &&
            fleet->endpoints[e].unregistered_at == 0) {
            event_t *event = new_event(end_unregistered, 0, 0);
            trace(fleet, "e%d loses the store", e);
            fleet->endpoints[e].unregistered_at = fleet->now;
            event->endpoint = e;
            schedule(fleet, length, event);
        }
        break;
    default:
        if (troubles->late_orders) {
            set_for(fleet, &fleet->orders_slow, length, "orders slow");
        }
        break;
    }
}

static void
disrupt(fleet_t *fleet, event_t *event)
{
    int host = chance(fleet, 60) ? fleet->owner
                                 : (int)CbwRandom_Below(&fleet->random, HOSTS);
    int which = (int)CbwRandom_Below(&fleet->random, 12);
    cbw_time_t length = between(fleet, 200 * Cbw_MSEC, 9 * Cbw_SEC);

    (void)event;
    if (fleet->now >= fleet->troubles_end) {
        return;
    }
    if (which < 6) {
        disrupt_hosts(fleet, which, host, length);
    }
    else {
        disrupt_endpoints(fleet, which - 6, host, length);
    }
    schedule(fleet, between(fleet, 20 * Cbw_MSEC, 2500 * Cbw_MSEC),
             new_event(disrupt, 0, 0));
}

static void
set_up(fleet_t *fleet)
{
    g_queue_init(&fleet->events);
    fleet->last_order_by = -1;
    fleet->runs =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    fleet->highest_term = FIRST_TERM;
    for (int i = 0; i < ENDPOINTS; i++) {
        fleet->endpoints[i].up = true;
        fleet->endpoints[i].listed = true;
        fleet->endpoints[i].term = FIRST_TERM;
        fleet->endpoints[i].last_term = FIRST_TERM;
        fleet->endpoints[i].index = 9;
    }
    fleet->endpoints[0].primary = true;
    for (int i = 0; i < HOSTS; i++) {
        host_t *host = &fleet->hosts[i];
        host->fleet = fleet;
        host->index = i;
        snprintf(host->name, sizeof(host->name), "h%d", i);
        g_queue_init(&host->waiting);
        start_host(fleet, host);
    }
    assign(fleet, 0);
}

static void
free_event(gpointer event)
{
    g_free(event);
}

static void
tear_down(fleet_t *fleet)
{
    for (int i = 0; i < HOSTS; i++) {
        if (fleet->hosts[i].running) {
            end_host(fleet, &fleet->hosts[i]);
        }
    }
    g_queue_clear_full(&fleet->events, free_event);
    g_hash_table_destroy(fleet->runs);
}

void
PoolFleet_Play(uint64_t seed, const fleet_troubles_t *troubles,
               cbw_time_t duration, bool verbose, fleet_result_t *result)
{
    fleet_t *fleet = g_new0(fleet_t, 1);
    event_t *event;

    memset(result, 0, sizeof(*result));
    CbwRandom_Init(&fleet->random, seed);
    fleet->troubles = troubles;
    fleet->result = result;
    fleet->verbose = verbose;
    fleet->now = 1000 * Cbw_SEC;
    fleet->troubles_end = fleet->now + duration;
    fleet->end = fleet->troubles_end + QUIET_TIME;
    set_up(fleet);
    schedule(fleet, 0, new_event(tick, 0, 0));
    schedule(fleet, Cbw_SEC, new_event(new_operation, 0, 0));
    schedule(fleet, 2 * Cbw_SEC, new_event(disrupt, 0, 0));
    while ((event = g_queue_pop_head(&fleet->events)) != NULL &&
           event->at <= fleet->end) {
        fleet->now = event->at;
        event->run(fleet, event);
        for (int i = 0; i < HOSTS; i++) {
            if (fleet->hosts[i].running) {
                note_running_calls(fleet, &fleet->hosts[i]);
            }
        }
        g_free(event);
    }
    g_free(event);
    tear_down(fleet);
    g_free(fleet);
}
