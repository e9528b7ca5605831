/* The store task: calls to the platform's service, within a budget and with
 * deadlines. A call that this host cannot make goes through a peer; one
 * without an answer ends as lost. */

#include <stdlib.h>
#include <string.h>

#include "carobwind/log.h"
#include "carobwind/plugin.h"
#include "drivers.h"
#include "share/net.h"

#define TICK_SECONDS 0.05
/* The users' sheets have 4 ms an answer, and 60 times that on bad days. */
#define CALL_TIMEOUT (700 * Cbw_MSEC)
/* Calls a second that one host makes at the most, and in a burst. */
#define CALLS_PER_SECOND 40.0
#define CALLS_BURST 80.0
/* Peers that are asked to make one call. */
#define PEERS_ASKED 2
/* While the store does not answer this host, its own call is tried this
 * often: while peers make its calls, and while they cannot either (a return
 * must be seen well within the 2 s in which registrations come back). */
#define OWN_TRY_INTERVAL (1 * Cbw_SEC)
#define OWN_TRY_INTERVAL_AWAY (300 * Cbw_MSEC)
/* Lost calls in a row after which the others are not made meanwhile: one may
 * be lost by itself. */
#define AWAY_FAILURES 2
/* After peers could not make a call either, they are left alone so long. */
#define PEERS_PAUSE (1 * Cbw_SEC)

typedef struct {
    daemon_t *daemon;
    const store_driver_t *driver;
    cbw_link_t calls;
    uint64_t next_id;
    double tokens;
    cbw_time_t refilled_at;
    bool answering;    /* as far as the last call shows */
    unsigned failures; /* of this host's own calls in a row */
    cbw_time_t own_tried_at;
    cbw_time_t peers_at;
    view_t *view;
    size_t next_peer;
    ev_timer timer;
} store_task_t;

static store_task_t self;

static void
note_health(bool answering)
{
    self.failures = answering ? 0 : self.failures + 1;
    if (answering != self.answering) {
        self.answering = answering;
        self.daemon->store_reachable = answering;
        CbwLog_Write(answering ? CBW_LOG_INFO : CBW_LOG_WARNING, "store",
                     answering ? "answers" : "silent", "address=%s",
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
    peer_store_result *result = &inbound->result.store;
    size_t count = call->status == CBW_STORE_OK ? call->item_count : 0;

    if (count > PEER_MEMBERS_MAX) {
        call->status = CBW_STORE_LOST;
        count = 0;
    }
    result->status = call->status;
    result->record_version = call->version;
    result->value = strdup(
        call->verb == STORE_GET && call->value != NULL ? call->value : "");
    result->items.items_val = calloc(count + 1, sizeof(peer_store_item));
    result->items.items_len = (u_int)count;
    if (result->items.items_val == NULL) {
        abort();
    }
    for (size_t i = 0; i < count; i++) {
        peer_store_item *to = &result->items.items_val[i];
        store_item_t *from = &call->items[i];
        to->key = from->key;
        to->value.value_val = from->value;
        to->value.value_len = (u_int)from->value_size;
        to->removed = from->value == NULL;
        to->record_version = from->version;
        from->key = NULL; /* they belong to the result now */
        from->value = NULL;
    }
    StoreCall_Free(call);
    Task_Post(TASK_STORE, TASK_PEER, MESSAGE_INBOUND_DONE, &inbound->message);
}

static void
deliver(store_call_t *call)
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

/* Through a peer. */

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

/* Returns whether a peer was asked. */
static bool
ask_peer(store_call_t *call)
{
    cbw_time_t now = CbwNet_Now();
    const cbw_member_record_t *peer;
    outbound_t *outbound;
    peer_store_args *args;

    if (call->inbound != NULL || call->verb == STORE_HOSTS ||
        call->verb == STORE_WATCH || now < self.peers_at ||
        call->peers_asked >= PEERS_ASKED) {
        return false;
    }
    peer = choose_peer();
    if (peer == NULL) {
        return false;
    }
    call->peers_asked++;
    call->through_peer = true;
    call->deadline = Cbw_NEVER; /* the peer's call has one */
    outbound = Outbound_New(PEER_STORE, peer->address);
    args = &outbound->args.store;
    args->verb = call->verb;
    args->key = strdup(call->key);
    args->record_version = call->version;
    args->value = strdup(call->verb == STORE_SWAP ? call->value : "");
    args->unconditional = call->unconditional;
    outbound->timeout = CALL_TIMEOUT + CALL_TIMEOUT / 2;
    outbound->reply_to = TASK_STORE;
    outbound->context = call;
    CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_STORE_THROUGH_PEERS, 1);
    Task_Post(TASK_STORE, TASK_PEER, MESSAGE_OUTBOUND, &outbound->message);
    return true;
}

static void
take_items(store_call_t *call, peer_store_result *result)
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
on_peer_done(outbound_t *outbound)
{
    store_call_t *call = outbound->context;
    peer_store_result *result = &outbound->result.store;

    call->status = CBW_STORE_LOST;
    if (outbound->answered && result->status <= CBW_STORE_LOST) {
        call->status = (cbw_store_status_t)result->status;
    }
    if (call->status == CBW_STORE_LOST) {
        Outbound_Free(outbound);
        if (!ask_peer(call)) {
            self.peers_at = CbwNet_Now() + PEERS_PAUSE;
            deliver(call);
        }
        return;
    }
    call->version = result->record_version;
    if (call->verb == STORE_GET) {
        free(call->value);
        call->value = strdup(result->value);
    }
    take_items(call, result);
    Outbound_Free(outbound);
    deliver(call);
}

/* Calls. */

static void
finish(store_call_t *call)
{
    bool lost = call->status == CBW_STORE_LOST;

    if (!is_watch(call) || !lost) {
        note_health(!lost);
    }
    if (lost && ask_peer(call)) {
        return;
    }
    deliver(call);
}

static bool
take_budget(cbw_time_t now)
{
    self.tokens +=
        (double)(now - self.refilled_at) / Cbw_SEC * CALLS_PER_SECOND;
    self.refilled_at = now;
    if (self.tokens > CALLS_BURST) {
        self.tokens = CALLS_BURST;
    }
    if (self.tokens < 1) {
        return false;
    }
    self.tokens -= 1;
    return true;
}

static bool
is_own_try_due(cbw_time_t now)
{
    cbw_time_t interval = self.view != NULL && now >= self.peers_at
                              ? OWN_TRY_INTERVAL
                              : OWN_TRY_INTERVAL_AWAY;

    return self.answering || now - self.own_tried_at >= interval;
}

static void
start(store_call_t *call)
{
    cbw_time_t now = CbwNet_Now();

    CbwList_Append(&self.calls, &call->message.link);
    call->status = CBW_STORE_LOST;
    call->deadline = now + CALL_TIMEOUT + call->wait;
    if (!take_budget(now)) {
        deliver(call);
        return;
    }
    if (!is_own_try_due(now)) {
        if (ask_peer(call)) {
            return;
        }
        if (self.failures >= AWAY_FAILURES) {
            CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_STORE_HELD_BACK,
                           1);
            deliver(call);
            return;
        }
    }
    self.own_tried_at = now;
    call->id = ++self.next_id;
    CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_STORE_CALLS, 1);
    self.driver->call(call);
}

static void
start_inbound(inbound_t *inbound)
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
    if (args->verb > STORE_DELETE || !self.answering) {
        call->status = CBW_STORE_LOST; /* this host would be no help */
        answer_inbound(call);
        return;
    }
    start(call);
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
    /* Giving up one call can end others: the search starts anew. */
    while ((call = find_expired(now)) != NULL) {
        self.driver->cancel(call);
        call->status = CBW_STORE_LOST;
        call->deadline = Cbw_NEVER;
        finish(call);
    }
}

static void
handle(void *state, message_t *message)
{
    (void)state;
    switch (message->type) {
    case MESSAGE_STORE:
        start(Cbw_LIST_ITEM(message, store_call_t, message));
        break;
    case MESSAGE_OUTBOUND_DONE:
        on_peer_done(Cbw_LIST_ITEM(message, outbound_t, message));
        break;
    case MESSAGE_INBOUND:
        start_inbound(Cbw_LIST_ITEM(message, inbound_t, message));
        break;
    case MESSAGE_VIEW:
        View_Replace(&self.view, message);
        break;
    default:
        break;
    }
}

static const store_events_t store_events = {.on_done = finish};

void
StoreTask_Start(daemon_t *daemon)
{
    self.daemon = daemon;
    self.driver =
        CbwPlugin_Find(CBW_PLUGIN_STORE_DRIVER, daemon->settings.store_driver);
    self.tokens = CALLS_BURST;
    self.refilled_at = CbwNet_Now();
    self.answering = true;
    daemon->store_reachable = true;
    CbwList_Init(&self.calls);
    self.driver->open(daemon, &store_events);
    Task_Register(daemon->loop, TASK_STORE, handle, NULL);
    ev_timer_init(&self.timer, on_tick, TICK_SECONDS, TICK_SECONDS);
    ev_timer_start(daemon->loop, &self.timer);
}
