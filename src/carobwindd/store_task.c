/* The store task: makes the calls to the platform's key-value store, with a
 * rate limit and a deadline for each call. While the store does not answer
 * this host, calls are relayed through a peer. A call without an answer ends
 * as CBW_STORE_LOST. */

#include <stdlib.h>
#include <string.h>

#include "carobwind/log.h"
#include "carobwind/plugin.h"
#include "drivers.h"
#include "share/net.h"
#include "share/tick.h"
#include "store_relay.h"

#define TICK_SECONDS 0.05
/* The store is specified to answer within 240 ms. */
#define CALL_TIMEOUT (700 * Cbw_MSEC)
/* Rate limit of one host's calls (token bucket), and its burst size. */
#define CALLS_PER_SECOND 40.0
#define CALLS_BURST 80.0
/* Number of peers that are tried in turn to relay one call. */
#define RELAY_ATTEMPTS_MAX 2
/* Time between this host's direct calls while the store does not answer it,
 * and peers relay its calls. */
#define DIRECT_RETRY_INTERVAL (1 * Cbw_SEC)
/* The same while peers cannot relay them either. The store's return must be
 * detected well within the 2 s in which endpoints register again. */
#define DIRECT_RETRY_INTERVAL_NO_RELAY (300 * Cbw_MSEC)
/* Consecutive lost calls that count as an outage, during which calls that no
 * peer can relay fail at once. A single call may be lost without an outage. */
#define OUTAGE_FAILURES 2
/* Time without relaying, after peers could not make a call either. */
#define RELAY_PAUSE (1 * Cbw_SEC)

typedef struct {
    daemon_t *daemon;
    const store_driver_t *driver;
    const registry_driver_t *registry; /* NULL: none is set */
    cbw_link_t calls; /* store_call_t in flight, direct or relayed */
    uint64_t next_id;
    double rate_tokens; /* left in the token bucket */
    cbw_time_t refilled_at;
    bool reachable;                /* the last direct call was answered */
    unsigned consecutive_failures; /* of direct calls */
    cbw_time_t direct_tried_at;
    cbw_time_t next_relay_at;
    view_t *view;
    size_t next_peer;
    ev_timer timer;
} store_task_t;

static store_task_t self;

static void
record_health(bool reachable)
{
    self.consecutive_failures = reachable ? 0 : self.consecutive_failures + 1;
    if (reachable != self.reachable) {
        self.reachable = reachable;
        self.daemon->store_reachable = reachable;
        CbwLog_Write(reachable ? CBW_LOG_INFO : CBW_LOG_WARNING, "store",
                     reachable ? "answers" : "silent", "address=%s",
                     self.daemon->settings.platform_address);
    }
}

static bool
is_watch(const store_call_t *call)
{
    return call->verb == STORE_WATCH || call->verb == STORE_CHANGES;
}

/* Answers. */

static void
answer_inbound(store_call_t *call)
{
    inbound_t *inbound = call->inbound;

    StoreRelay_FillResult(call, self.registry, &inbound->result.store);
    StoreCall_Free(call);
    Task_Post(TASK_STORE, TASK_PEER, MESSAGE_INBOUND_DONE, &inbound->message);
}

static void
deliver_result(store_call_t *call)
{
    CbwList_Remove(&call->message.link);
    if (call->status == CBW_STORE_LOST) {
        CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_STORE_FAILURES, 1);
    }
    if (call->inbound != NULL) {
        answer_inbound(call);
        return;
    }
    Task_Post(TASK_STORE, call->reply_to, MESSAGE_STORE_DONE, &call->message);
}

/* Relaying through a peer. */

static const cbw_member_record_t *
choose_peer(void)
{
    const cbw_membership_t *members;

    if (self.view == NULL) {
        return NULL;
    }
    members = &self.view->membership;
    for (size_t i = 0; i < members->count; i++) {
        const cbw_member_record_t *peer =
            &members->members[self.next_peer++ % members->count].record;
        if (peer != &members->members[0].record &&
            peer->state == CBW_MEMBER_ALIVE &&
            !CbwMembership_IsEndpoint(peer)) {
            return peer;
        }
    }
    return NULL;
}

/* Returns whether the call was sent to a peer. A peer does not relay the call
 * again. HOSTS and WATCH are not relayed: a peer's result (store_relay.h)
 * does not carry their answers. */
static bool
relay_to_peer(store_call_t *call)
{
    cbw_time_t now = CbwNet_Now();
    const cbw_member_record_t *peer;
    outbound_t *outbound;
    peer_store_args *args;

    if (call->inbound != NULL || call->verb == STORE_HOSTS ||
        call->verb == STORE_WATCH || now < self.next_relay_at ||
        call->peers_asked >= RELAY_ATTEMPTS_MAX) {
        return false;
    }
    peer = choose_peer();
    if (peer == NULL) {
        return false;
    }
    call->peers_asked++;
    call->through_peer = true;
    call->deadline = Cbw_NEVER; /* the outbound call has a timeout */
    outbound = Outbound_New(PEER_STORE, peer->address);
    args = &outbound->args.store;
    args->verb = call->verb;
    args->key = strdup(call->key);
    args->record_version = call->version;
    args->value = strdup(call->verb == STORE_SWAP ? call->value : "");
    args->unconditional = call->unconditional;
    /* The peer's own call may take CALL_TIMEOUT. */
    outbound->timeout = CALL_TIMEOUT + CALL_TIMEOUT / 2;
    outbound->reply_to = TASK_STORE;
    outbound->context = call;
    CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_STORE_THROUGH_PEERS, 1);
    Task_Post(TASK_STORE, TASK_PEER, MESSAGE_OUTBOUND, &outbound->message);
    return true;
}

static void
copy_items(store_call_t *call, peer_store_result *result)
{
    call->item_count = result->items.items_len;
    call->items = calloc(call->item_count + 1, sizeof(*call->items));
    if (call->items == NULL) {
        abort();
    }
    for (size_t i = 0; i < call->item_count; i++) {
        peer_store_item *from = &result->items.items_val[i];
        store_item_t *to = &call->items[i];
        to->key = strdup(from->key);
        to->version = from->record_version;
        if (!from->removed) {
            to->value = malloc(from->value.value_len + 1);
            if (to->value == NULL) {
                abort();
            }
            memcpy(to->value, from->value.value_val, from->value.value_len);
            to->value[from->value.value_len] = '\0';
            to->value_size = from->value.value_len;
        }
    }
}

static void
on_relay_done(outbound_t *outbound)
{
    store_call_t *call = outbound->context;
    peer_store_result *result = &outbound->result.store;

    call->status = CBW_STORE_LOST;
    if (outbound->answered && result->status <= CBW_STORE_LOST) {
        call->status = (cbw_store_status_t)result->status;
    }
    if (call->status == CBW_STORE_LOST) {
        Outbound_Free(outbound);
        if (!relay_to_peer(call)) {
            self.next_relay_at = CbwNet_Now() + RELAY_PAUSE;
            deliver_result(call);
        }
        return;
    }
    call->version = result->record_version;
    if (call->verb == STORE_GET) {
        free(call->value);
        call->value = strdup(result->value);
    }
    copy_items(call, result);
    Outbound_Free(outbound);
    deliver_result(call);
}

/* Calls. */

/* Ends a direct call that the driver finished or whose deadline has passed. A
 * lost watch does not count as a failure of the store. */
static void
on_call_done(store_call_t *call)
{
    bool lost = call->status == CBW_STORE_LOST;

    if (!is_watch(call) || !lost) {
        record_health(!lost);
    }
    if (lost && relay_to_peer(call)) {
        return;
    }
    deliver_result(call);
}

static bool
take_rate_token(cbw_time_t now)
{
    self.rate_tokens +=
        (double)(now - self.refilled_at) / Cbw_SEC * CALLS_PER_SECOND;
    self.refilled_at = now;
    if (self.rate_tokens > CALLS_BURST) {
        self.rate_tokens = CALLS_BURST;
    }
    if (self.rate_tokens < 1) {
        return false;
    }
    self.rate_tokens -= 1;
    return true;
}

static bool
is_direct_call_due(cbw_time_t now)
{
    cbw_time_t interval = self.view != NULL && now >= self.next_relay_at
                              ? DIRECT_RETRY_INTERVAL
                              : DIRECT_RETRY_INTERVAL_NO_RELAY;

    return self.reachable || now - self.direct_tried_at >= interval;
}

static void
start_call(store_call_t *call)
{
    cbw_time_t now = CbwNet_Now();

    CbwList_Append(&self.calls, &call->message.link);
    call->status = CBW_STORE_LOST;
    call->deadline = now + CALL_TIMEOUT + call->wait;
    if (!take_rate_token(now)) {
        deliver_result(call);
        return;
    }
    if (!is_direct_call_due(now)) {
        if (relay_to_peer(call)) {
            return;
        }
        if (self.consecutive_failures >= OUTAGE_FAILURES) {
            CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_STORE_HELD_BACK,
                           1);
            deliver_result(call);
            return;
        }
    }
    self.direct_tried_at = now;
    call->id = ++self.next_id;
    CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_STORE_CALLS, 1);
    CbwTraffic_AddStoreCall(&self.daemon->traffic, call->verb);
    self.driver->call(call);
}

static void
start_call_for_peer(inbound_t *inbound)
{
    const peer_store_args *args = &inbound->args.store;
    store_call_t *call;

    call = StoreCall_New((store_verb_t)args->verb, args->key);
    call->version = args->record_version;
    call->unconditional = args->unconditional;
    call->inbound = inbound;
    if (args->verb == STORE_SWAP) {
        call->value = strdup(args->value);
    }
    if (args->verb > STORE_CHECK || !self.reachable) {
        /* The verb is unknown, or the store does not answer this host
         * either. */
        call->status = CBW_STORE_LOST;
        answer_inbound(call);
        return;
    }
    start_call(call);
}

static store_call_t *
find_expired(cbw_time_t now)
{
    cbw_link_t *link = self.calls.next;

    for (; link != &self.calls; link = link->next) {
        store_call_t *call = Cbw_LIST_ITEM(link, store_call_t, message.link);
        if (now >= call->deadline) {
            return call;
        }
    }
    return NULL;
}

static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
    cbw_time_t now = CbwNet_Now();
    store_call_t *call;

    (void)loop;
    (void)watcher;
    (void)events;
    /* Cancelling one call can end others, so the search restarts each time. */
    while ((call = find_expired(now)) != NULL) {
        self.driver->cancel(call);
        call->status = CBW_STORE_LOST;
        call->deadline = Cbw_NEVER;
        on_call_done(call);
    }
}

static void
handle(void *state, message_t *message)
{
    (void)state;
    switch (message->type) {
    case MESSAGE_STORE:
        start_call(Cbw_LIST_ITEM(message, store_call_t, message));
        break;
    case MESSAGE_OUTBOUND_DONE:
        on_relay_done(Cbw_LIST_ITEM(message, outbound_t, message));
        break;
    case MESSAGE_INBOUND:
        start_call_for_peer(Cbw_LIST_ITEM(message, inbound_t, message));
        break;
    case MESSAGE_VIEW:
        View_Replace(&self.view, message);
        break;
    default:
        break;
    }
}

static const store_events_t store_events = {.on_done = on_call_done};

void
StoreTask_Start(daemon_t *daemon)
{
    self.daemon = daemon;
    self.driver =
        CbwPlugin_Find(CBW_PLUGIN_STORE_DRIVER, daemon->settings.store_driver);
    self.registry = CbwPlugin_Find(CBW_PLUGIN_REGISTRY_DRIVER,
                                   daemon->settings.registry_driver);
    self.rate_tokens = CALLS_BURST;
    self.refilled_at = CbwNet_Now();
    self.reachable = true;
    daemon->store_reachable = true;
    CbwList_Init(&self.calls);
    self.driver->open(daemon, &store_events);
    Task_Register(daemon->loop, TASK_STORE, handle, NULL);
    CbwTick_Init(&self.timer, on_tick, TICK_SECONDS, TICK_SECONDS);
    ev_timer_start(daemon->loop, &self.timer);
}
