/* The registry task: runs as TASK_CONFIG, in place of the config task, when
 * endpoints register themselves with the platform. The configuration record
 * and the registrations make up one inventory. A few hosts watch them in the
 * store; membership probes announce their registry revisions
 * (registry_records.h) to the other hosts, which then fetch the changes from
 * the announcing peer. A host that reaches no others counts itself among the
 * watchers. An older version of the configuration record never replaces a
 * newer one. */

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "carobwind/bootstrap.h"
#include "carobwind/log.h"
#include "carobwind/plugin.h"
#include "carobwind/random.h"
#include "carobwind/spread.h"
#include "drivers.h"
#include "registry_records.h"
#include "share/net.h"
#include "share/tick.h"

#define TICK_SECONDS 0.1
/* The same until the records are loaded. */
#define BOOTSTRAP_TICK_SECONDS 0.01
/* Number of members that watch the store on behalf of the fleet. */
#define WATCHER_COUNT 3
#define WATCHER_ROLE "registry"
/* Time from the first membership view until a host may watch. Hosts that start
 * together do not know each other yet, and all of them would watch. The first
 * probes announce most members; until then the records from the initial read
 * of the store are used. */
#define WATCHER_START_DELAY (1 * Cbw_SEC)
#define BOOTSTRAP_ROLE "records"
/* Long-poll time of a watch. The deadline of the call detects a watch that
 * gets no answer; until then, polls find the changes. */
#define WATCH_WAIT (9 * Cbw_SEC)
/* A watch can miss changes without an error, when the store drops its history.
 * So one host polls the configuration record, and in every fourth poll the
 * registrations instead, independently of its watches. A change must be in
 * force within 3 s. */
#define POLL_INTERVAL (1 * Cbw_SEC)
#define POLLS_PER_RANGE 4
/* Pause after changes of registrations, which arrive in bursts. */
#define CHANGE_BATCH_DELAY (250 * Cbw_MSEC)
/* Shortest delay before a failed call to the store is retried. A random time
 * of up to the same length is added. */
#define RETRY_INTERVAL (150 * Cbw_MSEC)
/* Time between requests for changes that are relayed through a peer. */
#define PEER_RELAY_INTERVAL (700 * Cbw_MSEC)

typedef enum { WATCH_CONFIG, WATCH_ENDPOINTS, WATCH_COUNT_ } watch_id_t;

typedef struct {
    const char *key;
    bool loaded;       /* records were read once, perhaps stale */
    bool synchronized; /* the state at `version` is complete */
    bool pending;
    uint64_t version; /* the store revision of the last answer */
    cbw_time_t next_call_at;
} watch_t;

typedef struct {
    daemon_t *daemon;
    const registry_driver_t *driver;
    view_t *view;
    cbw_time_t first_view_at; /* arrival of the first view; 0: none */
    registry_records_t records;
    cbw_bootstrap_t bootstrap;
    /* The peers that it asks, in its order. */
    char bootstrap_peers[Cbw_PEER_ORDER_MAX][Cbw_ADDRESS_MAX];
    watch_t watches[WATCH_COUNT_];
    /* Until the records are loaded: a peer has sent all changes up to this
     * registry revision; 0: none. */
    uint64_t loaded_up_to;
    cbw_time_t bootstrap_progress_at; /* when that last grew */
    bool fetching;                    /* a fetch from a peer is in flight */
    cbw_time_t next_fetch_at;
    cbw_spread_t spread;
    /* An announcement kept until a fetch may start; NULL: none. */
    peer_version_message_t *deferred;
    /* Version of the configuration record as last read from the store; 0: not
     * read. */
    uint64_t config_version;
    bool poll_pending;
    cbw_time_t next_poll_at;
    unsigned poll_count;
    cbw_random_t random;
    config_t *published; /* as last published: the homes of its databases */
    ev_timer timer;
} registry_task_t;

static registry_task_t self;

static void
publish_config(void)
{
    static const task_id_t subscribers[] = {TASK_ENTRY, TASK_ROUTER,
                                            TASK_OWNER, TASK_MEMBER};
    config_t *config;

    if (!self.records.changed || !self.records.configured ||
        !self.watches[WATCH_ENDPOINTS].loaded) {
        return;
    }
    self.records.changed = false;
    CbwSpread_OnChanged(&self.spread, CbwNet_Now());
    config = RegistryRecords_MakeConfig(&self.records);
    CbwRegions_SetHomes(&self.daemon->settings.regions, &config->inventory,
                        self.published != NULL ? &self.published->inventory
                                               : NULL,
                        CbwNet_Now());
    for (size_t i = 0; i < sizeof(subscribers) / sizeof(subscribers[0]); i++) {
        config_message_t *message = calloc(1, sizeof(*message));
        if (message == NULL) {
            abort();
        }
        CbwList_Init(&message->message.link);
        message->config = Config_Ref(config);
        Task_Post(TASK_CONFIG, subscribers[i], MESSAGE_CONFIG,
                  &message->message);
    }
    Config_Unref(self.published);
    self.published = config;
    self.daemon->configured = true;
}

/* Returns whether this host is among the first `count` members for the watcher
 * role, and WATCHER_START_DELAY has passed. */
static bool
has_role(cbw_time_t now, int count)
{
    return self.first_view_at != 0 &&
           now - self.first_view_at >= WATCHER_START_DELAY &&
           CbwMembership_RoleIndex(&self.view->membership, WATCHER_ROLE) <
               count;
}

/* Starts the watch's next call, unless one is in flight or this host is not a
 * watcher: first a read of all records, then calls for changes. */
static void
call_store(watch_id_t id, cbw_time_t now)
{
    watch_t *watch = &self.watches[id];
    store_call_t *call;

    /* A host that starts reads the records unless a peer has them; a stale
     * read is sufficient. */
    bool initial = !watch->loaded;

    if (watch->pending || now < watch->next_call_at ||
        (initial ? !self.bootstrap.read : !has_role(now, WATCHER_COUNT))) {
        return;
    }
    watch->pending = true;
    call = StoreCall_New(watch->synchronized ? STORE_CHANGES : STORE_RANGE,
                         watch->key);
    call->version = watch->synchronized ? watch->version : 0;
    call->may_be_stale = initial;
    call->wait = watch->synchronized ? WATCH_WAIT : 0;
    call->reply_to = TASK_CONFIG;
    call->context = (void *)(uintptr_t)id;
    Task_Post(TASK_CONFIG, TASK_STORE, MESSAGE_STORE, &call->message);
}

static bool
is_loaded(void)
{
    return self.records.configured && self.watches[WATCH_ENDPOINTS].loaded;
}

/* Until the records are loaded: fetches them from a peer, or lets call_store
 * read them. */
static void
run_bootstrap(cbw_time_t now)
{
    outbound_t *outbound;

    if (is_loaded() ||
        CbwBootstrap_Next(&self.bootstrap, now) != CBW_BOOTSTRAP_ASK) {
        return;
    }
    outbound = Outbound_New(PEER_REGISTRY,
                            self.bootstrap_peers[self.bootstrap.next_peer]);
    outbound->args.registry.since = self.loaded_up_to;
    outbound->timeout = self.bootstrap.timeout;
    outbound->reply_to = TASK_CONFIG;
    outbound->context = &self.bootstrap;
    Task_Post(TASK_CONFIG, TASK_PEER, MESSAGE_OUTBOUND, &outbound->message);
}

static void
on_peers_known(view_message_t *message)
{
    const cbw_membership_t *members = &message->view->membership;
    const cbw_member_t *peers[Cbw_PEER_ORDER_MAX];
    size_t rank;
    size_t count = CbwMembership_PeerOrder(
        members, BOOTSTRAP_ROLE, members->members[0].record.data_centre, peers,
        Cbw_PEER_ORDER_MAX, &rank);

    if (count == 0) {
        count = CbwMembership_PeerOrder(members, BOOTSTRAP_ROLE, NULL, peers,
                                        Cbw_PEER_ORDER_MAX, &rank);
    }

    for (size_t i = 0; i < count; i++) {
        memcpy(self.bootstrap_peers[i], peers[i]->record.address,
               Cbw_ADDRESS_MAX);
    }
    self.bootstrap.large = members->count > Cbw_MEMBERSHIP_SMALL;
    CbwBootstrap_SetPeers(&self.bootstrap, rank, count);
    View_Unref(message->view);
    free(message);
    run_bootstrap(CbwNet_Now());
}

/* Starts the next poll, unless one is in flight or this host is not the first
 * member for the watcher role. */
static void
poll_store(cbw_time_t now)
{
    bool poll_endpoints =
        self.poll_count % POLLS_PER_RANGE == POLLS_PER_RANGE - 1;
    store_call_t *call;

    if (self.poll_pending || now < self.next_poll_at || !has_role(now, 1)) {
        return;
    }
    self.poll_pending = true;
    self.poll_count++;
    self.next_poll_at = now + POLL_INTERVAL;
    if (poll_endpoints) {
        call = StoreCall_New(STORE_RANGE, self.driver->endpoints_prefix);
    }
    else if (self.config_version == 0) {
        call = StoreCall_New(STORE_GET, self.driver->config_key);
    }
    else {
        /* The record is large and seldom changes. */
        call = StoreCall_New(STORE_CHECK, self.driver->config_key);
        call->version = self.config_version;
    }
    call->reply_to = TASK_CONFIG;
    call->context = &self.poll_pending;
    Task_Post(TASK_CONFIG, TASK_STORE, MESSAGE_STORE, &call->message);
}

static void
on_poll_done(store_call_t *call)
{
    cbw_time_t now = CbwNet_Now();
    store_item_t config = {
        .key = call->key, .value = call->value, .version = call->version};

    self.poll_pending = false;
    if (call->verb == STORE_CHECK) {
        if (call->status == CBW_STORE_CONFLICT) {
            self.config_version = 0;
            self.next_poll_at = now; /* reads it */
        }
    }
    else if (call->status == CBW_STORE_OK && call->verb == STORE_GET) {
        self.config_version = call->version;
        RegistryRecords_Apply(&self.records, &config, now);
    }
    else if (call->status == CBW_STORE_OK) {
        RegistryRecords_BeginSnapshot(&self.records);
        RegistryRecords_ApplyAll(&self.records, call->items, call->item_count,
                                 now);
        RegistryRecords_EndSnapshot(&self.records, call->version, now);
    }
    StoreCall_Free(call);
    publish_config();
    poll_store(now);
}

static void
on_watch_done(store_call_t *call)
{
    watch_id_t id = (watch_id_t)(uintptr_t)call->context;
    watch_t *watch = &self.watches[id];
    cbw_time_t now = CbwNet_Now();

    watch->pending = false;
    watch->next_call_at = now;
    if (call->status == CBW_STORE_CONFLICT) {
        watch->synchronized = false; /* history compacted: read all again */
    }
    else if (call->status != CBW_STORE_OK) {
        watch->next_call_at =
            now + RETRY_INTERVAL +
            (cbw_time_t)CbwRandom_Below(&self.random, RETRY_INTERVAL);
    }
    else {
        if (call->verb == STORE_RANGE && id == WATCH_ENDPOINTS) {
            RegistryRecords_BeginSnapshot(&self.records);
        }
        RegistryRecords_ApplyAll(&self.records, call->items, call->item_count,
                                 now);
        if (call->verb == STORE_RANGE && id == WATCH_ENDPOINTS &&
            !call->may_be_stale) {
            RegistryRecords_EndSnapshot(&self.records, call->version, now);
        }
        watch->loaded = true;
        watch->synchronized = !call->may_be_stale;
        watch->version = call->version;
        if (id == WATCH_ENDPOINTS && call->item_count > 0) {
            watch->next_call_at = now + CHANGE_BATCH_DELAY;
        }
        if (call->through_peer) {
            watch->next_call_at =
                now + PEER_RELAY_INTERVAL; /* a relayed call returns at once */
        }
    }
    StoreCall_Free(call);
    publish_config();
    call_store(id, now);
}

/* Whether the result has something that this host lacks. */
static bool
is_useful(const outbound_t *outbound)
{
    const peer_store_result *result = &outbound->result.store;

    if (outbound->procedure == PEER_REGISTRY_DIFF ||
        outbound->args.registry.all || !is_loaded()) {
        return result->items.items_len > 0;
    }
    return result->record_version > self.records.revision;
}

/* Returns the approximate encoded size of the result in bytes. */
static size_t
size_of_result(const peer_store_result *result)
{
    size_t size = 0;

    for (u_int i = 0; i < result->items.items_len; i++) {
        size += result->items.items_val[i].value.value_len +
                strlen(result->items.items_val[i].key) + 24;
    }
    return size;
}

static void fetch_records(const char *address, registry_need_t need);

/* Handles a result after which the peer has more changes. */
static void
fetch_next_part(const outbound_t *outbound)
{
    cbw_time_t now = CbwNet_Now();

    if (!is_loaded()) {
        self.loaded_up_to = outbound->result.store.record_version;
        self.bootstrap_progress_at = now;
        if (outbound->context == &self.bootstrap) {
            CbwBootstrap_OnPart(&self.bootstrap, now);
        }
        return;
    }
    fetch_records(outbound->address, REGISTRY_FETCH_CHANGES);
}

static void
on_fetch_done(outbound_t *outbound)
{
    bool useful = outbound->answered && is_useful(outbound);
    cbw_time_t now = CbwNet_Now();
    unsigned status = outbound->result.store.status;

    if (outbound->context != &self.bootstrap) {
        self.fetching = false;
        if (outbound->answered) {
            CbwSpread_OnFetched(&self.spread,
                                size_of_result(&outbound->result.store));
        }
        else {
            CbwSpread_OnLost(&self.spread, now,
                             outbound->procedure == PEER_REGISTRY_DIFF);
        }
        self.next_fetch_at =
            CbwSpread_NextFetchAt(&self.spread, now, &self.random);
    }
    else if (!useful) {
        CbwBootstrap_OnFailure(&self.bootstrap, now,
                               !outbound->answered ? CBW_BOOTSTRAP_LOST
                               : status == REGISTRY_RESULT_LOADING
                                   ? CBW_BOOTSTRAP_LOADING
                                   : CBW_BOOTSTRAP_EMPTY);
    }
    if (useful) {
        CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_CONFIG_FETCHED, 1);
        RegistryRecords_ApplyFetched(&self.records, &outbound->result.store,
                                     now);
        if (status == REGISTRY_RESULT_PARTIAL) {
            fetch_next_part(outbound);
        }
        else {
            self.watches[WATCH_ENDPOINTS].loaded = true;
            self.watches[WATCH_CONFIG].loaded = true;
        }
        self.records.changed = true;
        publish_config();
    }
    Outbound_Free(outbound);
    run_bootstrap(now);
}

/* Keeps an announcement until a fetch may start: one from the own data centre
 * before others, and then that with the highest revision. */
static void
defer_fetch(peer_version_message_t *message)
{
    if (self.deferred != NULL &&
        (self.deferred->local > message->local ||
         (self.deferred->local == message->local &&
          self.deferred->peer_revision > message->peer_revision))) {
        free(message);
        return;
    }
    free(self.deferred);
    self.deferred = message;
}

static void
describe_records(peer_registry_diff_args *args)
{
    args->config_version = self.records.base_inventory.version;
    args->digests.digests_val =
        calloc(REGISTRY_BUCKETS, sizeof(*args->digests.digests_val));
    if (args->digests.digests_val == NULL) {
        abort();
    }
    args->digests.digests_len = REGISTRY_BUCKETS;
    RegistryRecords_BucketDigests(&self.records, args->digests.digests_val);
}

static void
fetch_records(const char *address, registry_need_t need)
{
    bool diff = need == REGISTRY_FETCH_ALL && !self.spread.diff_refused;
    outbound_t *outbound =
        Outbound_New(diff ? PEER_REGISTRY_DIFF : PEER_REGISTRY, address);

    self.fetching = true;
    outbound->timeout = CbwSpread_OnSent(&self.spread, CbwNet_Now());
    if (diff) {
        describe_records(&outbound->args.registry_diff);
    }
    else {
        outbound->args.registry.since =
            is_loaded() ? self.records.revision : self.loaded_up_to;
        outbound->args.registry.all = need == REGISTRY_FETCH_ALL;
    }
    outbound->reply_to = TASK_CONFIG;
    Task_Post(TASK_CONFIG, TASK_PEER, MESSAGE_OUTBOUND, &outbound->message);
}

static bool
is_large_fleet(void)
{
    return self.view != NULL &&
           self.view->membership.count > Cbw_MEMBERSHIP_SMALL;
}

static void
on_peer_version(peer_version_message_t *message)
{
    cbw_time_t now = CbwNet_Now();
    registry_need_t need = RegistryRecords_Compare(
        &self.records, (uint64_t)message->peer_revision, message->digest);

    if (need == REGISTRY_KNOWN || (!is_loaded() && !self.bootstrap.read)) {
        free(message);
        return;
    }
    if (self.fetching || now < self.next_fetch_at ||
        !CbwSpread_MayFetch(&self.spread, now, message->local) ||
        (need == REGISTRY_FETCH_ALL &&
         !CbwSpread_MayRepair(&self.spread, now, is_large_fleet()))) {
        defer_fetch(message);
        return;
    }
    fetch_records(message->address, need);
    free(message);
}

static void
answer_registry(inbound_t *inbound)
{
    const peer_registry_args *args = &inbound->args.registry;
    const peer_registry_diff_args *diff = &inbound->args.registry_diff;
    peer_store_result *result = &inbound->result.store;

    if (!is_loaded()) {
        result->value = strdup("");
        result->status =
            CbwNet_Now() - self.bootstrap_progress_at < Cbw_BOOTSTRAP_WAIT
                ? REGISTRY_RESULT_LOADING
                : REGISTRY_RESULT_CHANGES;
    }
    else if (inbound->procedure == PEER_REGISTRY_DIFF &&
             diff->digests.digests_len == REGISTRY_BUCKETS) {
        RegistryRecords_EncodeDiffering(&self.records, diff->config_version,
                                        diff->digests.digests_val, result);
    }
    else if (inbound->procedure == PEER_REGISTRY_DIFF || args->all) {
        RegistryRecords_EncodeAll(&self.records, result);
    }
    else {
        RegistryRecords_EncodeSince(&self.records, args->since, result);
    }
}

/* Sends no text: with a registry, hosts fetch the configuration record with
 * PEER_REGISTRY instead. */
static void
answer_config(inbound_t *inbound)
{
    inbound->result.config.text.text_val = NULL;
    inbound->result.config.text.text_len = 0;
    Task_Post(TASK_CONFIG, TASK_PEER, MESSAGE_INBOUND_DONE, &inbound->message);
}

static void
update_rank(void)
{
    const cbw_membership_t *members = &self.view->membership;

    CbwMembership_PeerOrder(members, BOOTSTRAP_ROLE,
                            members->members[0].record.data_centre, NULL, 0,
                            &self.spread.rank);
}

static void
handle(void *state, message_t *message)
{
    (void)state;
    switch (message->type) {
    case MESSAGE_STORE_DONE: {
        store_call_t *call = Cbw_LIST_ITEM(message, store_call_t, message);
        if (call->context == &self.poll_pending) {
            on_poll_done(call);
        }
        else {
            on_watch_done(call);
        }
        break;
    }
    case MESSAGE_OUTBOUND_DONE:
        on_fetch_done(Cbw_LIST_ITEM(message, outbound_t, message));
        break;
    case MESSAGE_PEER_VERSION:
        on_peer_version(
            Cbw_LIST_ITEM(message, peer_version_message_t, message));
        break;
    case MESSAGE_INBOUND: {
        inbound_t *inbound = Cbw_LIST_ITEM(message, inbound_t, message);
        if (inbound->procedure == PEER_REGISTRY ||
            inbound->procedure == PEER_REGISTRY_DIFF) {
            answer_registry(inbound);
            Task_Post(TASK_CONFIG, TASK_PEER, MESSAGE_INBOUND_DONE,
                      &inbound->message);
        }
        else {
            answer_config(inbound);
        }
        break;
    }
    case MESSAGE_PEERS_KNOWN:
        on_peers_known(Cbw_LIST_ITEM(message, view_message_t, message));
        break;
    case MESSAGE_VIEW:
        View_Replace(&self.view, message);
        update_rank();
        if (self.first_view_at == 0) {
            self.first_view_at = CbwNet_Now();
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
    publish_config();
    run_bootstrap(now);
    if (is_loaded() && self.timer.repeat != TICK_SECONDS) {
        self.timer.repeat = TICK_SECONDS;
        ev_timer_again(self.daemon->loop, &self.timer);
    }
    poll_store(now);
    if (self.deferred != NULL) {
        peer_version_message_t *deferred = self.deferred;
        self.deferred = NULL;
        on_peer_version(deferred);
    }
    for (int i = 0; i < WATCH_COUNT_; i++) {
        call_store((watch_id_t)i, now);
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
    CbwBootstrap_Init(&self.bootstrap, CbwNet_Now());
    Task_Register(daemon->loop, TASK_CONFIG, handle, NULL);
    CbwTick_Init(&self.timer, on_tick, BOOTSTRAP_TICK_SECONDS,
                 BOOTSTRAP_TICK_SECONDS);
    ev_timer_start(daemon->loop, &self.timer);
}
