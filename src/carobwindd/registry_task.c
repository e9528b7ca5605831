/* The configuration task for a platform on which endpoints register
 * themselves: the operators' record and the registrations make up one
 * inventory. A few hosts watch them; the others hear of their revisions with
 * the probes and fetch what has changed from the peer that knows it. A host
 * that reaches no others takes itself for one of the few. A version of
 * the operators' record never goes back. */

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "carobwind/log.h"
#include "carobwind/plugin.h"
#include "carobwind/random.h"
#include "drivers.h"
#include "registry_records.h"
#include "share/net.h"

#define TICK_SECONDS 0.1
/* Members that watch the store for all. */
#define WATCHERS 3
#define WATCHER_ROLE "registry"
/* Hosts that start together do not know of each other yet: none watches until
 * it has had a view for so long. Most members are heard of within the first
 * probes; what was read at the start serves until then. */
#define WATCH_DELAY (1 * Cbw_SEC)
#define FETCH_TIMEOUT (500 * Cbw_MSEC)
/* Longest wait of a watch: a silent one is found by its deadline well within
 * the time in which a change must be in force. */
#define WATCH_WAIT (9 * Cbw_SEC)
/* A watch may miss changes and say nothing of it (a store that drops its
 * history): one host reads the operators' record, and less often the
 * registrations, whatever its watches say. A change must be in force within
 * 3 s. */
#define POLL_INTERVAL (1 * Cbw_SEC)
#define POLLS_PER_RANGE 4
/* What a poll found is announced again with so many polls: a peer that had
 * just announced a later change would keep the others from asking for it. */
#define POLLS_ANNOUNCED 3
/* Pause after changes of registrations, which come in bunches. */
#define CHANGES_PAUSE (250 * Cbw_MSEC)
/* How often all records of a peer are asked for, whose content differs under
 * the same revision; a change must be in force within 3 s. */
#define MERGE_INTERVAL (500 * Cbw_MSEC)
#define RETRY_INTERVAL (150 * Cbw_MSEC)
/* How often changes are asked for through a peer. */
#define THROUGH_PEER_INTERVAL (700 * Cbw_MSEC)

typedef enum { WATCH_CONFIG, WATCH_ENDPOINTS, WATCH_COUNT_ } watch_id_t;

typedef struct {
    const char *key;
    bool read;   /* once, perhaps a state that lags */
    bool listed; /* the state at `version` is known */
    bool asked;
    uint64_t version; /* of the store, up to which it is known */
    cbw_time_t ask_at;
} watch_t;

typedef struct {
    daemon_t *daemon;
    const registry_driver_t *driver;
    view_t *view;
    cbw_time_t viewed_at; /* when the first one came; 0: none yet */
    registry_records_t records;
    watch_t watches[WATCH_COUNT_];
    bool fetching;       /* from a peer */
    cbw_time_t merge_at; /* not before; all of a peer's records are long */
    bool polling;
    cbw_time_t poll_at;
    unsigned polls;
    unsigned announcements_left; /* of what polls found after ... */
    uint64_t announce_since;     /* ... this revision */
    cbw_random_t random;
    ev_timer timer;
} registry_task_t;

static registry_task_t self;

static void
publish(void)
{
    static const task_id_t readers[] = {TASK_ENTRY, TASK_ROUTER, TASK_OWNER,
                                        TASK_MEMBER};
    config_t *config;

    if (!self.records.changed || !self.records.configured ||
        !self.watches[WATCH_ENDPOINTS].read) {
        return;
    }
    self.records.changed = false;
    config = RegistryRecords_MakeConfig(&self.records);
    for (size_t i = 0; i < sizeof(readers) / sizeof(readers[0]); i++) {
        config_message_t *message = calloc(1, sizeof(*message));
        if (message == NULL) {
            abort();
        }
        CbwList_Init(&message->message.link);
        message->config = Config_Ref(config);
        Task_Post(TASK_CONFIG, readers[i], MESSAGE_CONFIG, &message->message);
    }
    Config_Unref(config);
    self.daemon->configured = true;
}

/* Whether this host is among the first `count` of the role. */
static bool
has_role(cbw_time_t now, int count)
{
    return self.viewed_at != 0 && now - self.viewed_at >= WATCH_DELAY &&
           CbwMembership_RoleIndex(&self.view->membership, WATCHER_ROLE) <
               count;
}

static void
ask(watch_id_t id, cbw_time_t now)
{
    watch_t *watch = &self.watches[id];
    store_call_t *call;

    /* At the start everybody reads what is there, which may lag. */
    bool first = !watch->read;

    if (watch->asked || now < watch->ask_at ||
        (!first && !has_role(now, WATCHERS))) {
        return;
    }
    watch->asked = true;
    call =
        StoreCall_New(watch->listed ? STORE_CHANGES : STORE_RANGE, watch->key);
    call->version = watch->listed ? watch->version : 0;
    call->may_be_stale = first;
    call->wait = watch->listed ? WATCH_WAIT : 0;
    call->reply_to = TASK_CONFIG;
    call->context = (void *)(uintptr_t)id;
    Task_Post(TASK_CONFIG, TASK_STORE, MESSAGE_STORE, &call->message);
}

static void
poll_store(cbw_time_t now)
{
    bool range = self.polls % POLLS_PER_RANGE == POLLS_PER_RANGE - 1;
    store_call_t *call;

    if (self.polling || now < self.poll_at || !has_role(now, 1)) {
        return;
    }
    if (self.announcements_left > 0) {
        self.announcements_left--;
        RegistryRecords_Reannounce(&self.records, self.announce_since);
        publish();
    }
    self.polling = true;
    self.polls++;
    self.poll_at = now + POLL_INTERVAL;
    call = range ? StoreCall_New(STORE_RANGE, self.driver->endpoints_prefix)
                 : StoreCall_New(STORE_GET, self.driver->config_key);
    call->reply_to = TASK_CONFIG;
    call->context = &self.polling;
    Task_Post(TASK_CONFIG, TASK_STORE, MESSAGE_STORE, &call->message);
}

static void
on_polled(store_call_t *call)
{
    cbw_time_t now = CbwNet_Now();
    store_item_t config = {
        .key = call->key, .value = call->value, .version = call->version};

    uint64_t revision = self.records.revision;

    self.polling = false;
    if (call->status == CBW_STORE_OK && call->verb == STORE_GET) {
        RegistryRecords_Apply(&self.records, &config, now);
    }
    else if (call->status == CBW_STORE_OK) {
        RegistryRecords_BeginSnapshot(&self.records);
        for (size_t i = 0; i < call->item_count; i++) {
            RegistryRecords_Apply(&self.records, &call->items[i], now);
        }
        RegistryRecords_EndSnapshot(&self.records, call->version, now);
    }
    if (self.records.revision > revision) {
        if (self.announcements_left == 0) {
            self.announce_since = revision;
        }
        self.announcements_left = POLLS_ANNOUNCED;
    }
    StoreCall_Free(call);
    publish();
}

static void
on_store_done(store_call_t *call)
{
    watch_id_t id = (watch_id_t)(uintptr_t)call->context;
    watch_t *watch = &self.watches[id];
    cbw_time_t now = CbwNet_Now();

    watch->asked = false;
    watch->ask_at = now;
    if (call->status == CBW_STORE_CONFLICT) {
        watch->listed = false; /* the history is gone: reads it all anew */
    }
    else if (call->status != CBW_STORE_OK) {
        watch->ask_at =
            now + RETRY_INTERVAL +
            (cbw_time_t)CbwRandom_Below(&self.random, RETRY_INTERVAL);
    }
    else {
        if (call->verb == STORE_RANGE && id == WATCH_ENDPOINTS) {
            RegistryRecords_BeginSnapshot(&self.records);
        }
        for (size_t i = 0; i < call->item_count; i++) {
            RegistryRecords_Apply(&self.records, &call->items[i], now);
        }
        if (call->verb == STORE_RANGE && id == WATCH_ENDPOINTS &&
            !call->may_be_stale) {
            RegistryRecords_EndSnapshot(&self.records, call->version, now);
        }
        watch->read = true;
        watch->listed = !call->may_be_stale;
        watch->version = call->version;
        if (id == WATCH_ENDPOINTS && call->item_count > 0) {
            watch->ask_at = now + CHANGES_PAUSE;
        }
        if (call->through_peer) {
            watch->ask_at = now + THROUGH_PEER_INTERVAL; /* it does not wait */
        }
    }
    StoreCall_Free(call);
    publish();
    ask(id, now);
}

static void
on_fetched(outbound_t *outbound)
{
    self.fetching = false;
    if (outbound->answered &&
        (outbound->result.store.record_version > self.records.revision ||
         outbound->args.registry.all)) {
        CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_CONFIG_FETCHED, 1);
        RegistryRecords_ApplyFetched(&self.records, &outbound->result.store,
                                     CbwNet_Now());
        self.watches[WATCH_ENDPOINTS].read = true;
        self.watches[WATCH_CONFIG].read = true;
        self.records.changed = true;
        publish();
    }
    Outbound_Free(outbound);
}

static void
on_peer_version(peer_version_message_t *message)
{
    cbw_time_t now = CbwNet_Now();
    outbound_t *outbound;

    if (!self.fetching &&
        (message->version > (int64_t)self.records.revision ||
         (message->differs &&
          message->version == (int64_t)self.records.revision &&
          now >= self.merge_at))) {
        self.fetching = true;
        self.merge_at =
            message->differs ? now + MERGE_INTERVAL : self.merge_at;
        outbound = Outbound_New(PEER_REGISTRY, message->address);
        outbound->args.registry.since = self.records.revision;
        outbound->args.registry.all = message->differs;
        outbound->timeout = FETCH_TIMEOUT;
        outbound->reply_to = TASK_CONFIG;
        Task_Post(TASK_CONFIG, TASK_PEER, MESSAGE_OUTBOUND,
                  &outbound->message);
    }
    free(message);
}

static void
answer_registry(inbound_t *inbound)
{
    const peer_registry_args *args = &inbound->args.registry;

    if (args->all) {
        RegistryRecords_EncodeAll(&self.records, &inbound->result.store);
    }
    else {
        RegistryRecords_EncodeSince(&self.records, args->since,
                                    &inbound->result.store);
    }
}

static void
answer_config(inbound_t *inbound)
{
    inbound->result.config.text.text_val = NULL;
    inbound->result.config.text.text_len = 0;
    Task_Post(TASK_CONFIG, TASK_PEER, MESSAGE_INBOUND_DONE, &inbound->message);
}

static void
handle(void *state, message_t *message)
{
    (void)state;
    switch (message->type) {
    case MESSAGE_STORE_DONE: {
        store_call_t *call = Cbw_LIST_ITEM(message, store_call_t, message);
        if (call->context == &self.polling) {
            on_polled(call);
        }
        else {
            on_store_done(call);
        }
        break;
    }
    case MESSAGE_OUTBOUND_DONE:
        on_fetched(Cbw_LIST_ITEM(message, outbound_t, message));
        break;
    case MESSAGE_PEER_VERSION:
        on_peer_version(
            Cbw_LIST_ITEM(message, peer_version_message_t, message));
        break;
    case MESSAGE_INBOUND: {
        inbound_t *inbound = Cbw_LIST_ITEM(message, inbound_t, message);
        if (inbound->procedure == PEER_REGISTRY) {
            answer_registry(inbound);
            Task_Post(TASK_CONFIG, TASK_PEER, MESSAGE_INBOUND_DONE,
                      &inbound->message);
        }
        else {
            answer_config(inbound);
        }
        break;
    }
    case MESSAGE_VIEW:
        View_Replace(&self.view, message);
        if (self.viewed_at == 0) {
            self.viewed_at = CbwNet_Now();
        }
        break;
    default:
        break;
    }
}

static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
    cbw_time_t now = CbwNet_Now();

    (void)loop;
    (void)watcher;
    (void)events;
    RegistryRecords_PurgeRemoved(&self.records, now);
    publish();
    poll_store(now);
    for (int i = 0; i < WATCH_COUNT_; i++) {
        ask((watch_id_t)i, now);
    }
}

void
RegistryTask_Start(daemon_t *daemon)
{
    self.daemon = daemon;
    self.driver = CbwPlugin_Find(CBW_PLUGIN_REGISTRY_DRIVER,
                                 daemon->settings.registry_driver);
    self.watches[WATCH_CONFIG].key = self.driver->config_key;
    self.watches[WATCH_ENDPOINTS].key = self.driver->endpoints_prefix;
    RegistryRecords_Init(&self.records, self.driver, &daemon->counters);
    CbwRandom_Init(&self.random, daemon->nonce);
    Task_Register(daemon->loop, TASK_CONFIG, handle, NULL);
    ev_timer_init(&self.timer, on_tick, TICK_SECONDS, TICK_SECONDS);
    ev_timer_start(daemon->loop, &self.timer);
}
