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
#include "share/net.h"

#define TICK_SECONDS 0.1
/* Members that watch the store for all. */
#define WATCHERS 3
#define WATCHER_ROLE "registry"
#define FETCH_TIMEOUT (500 * Cbw_MSEC)
/* Removals that are kept to send differences from. */
#define REMOVALS_MAX 512
/* Longest wait of a watch: a silent one is found by its deadline well within
 * the time in which a change must be in force. */
#define WATCH_WAIT (9 * Cbw_SEC)
/* A watch may miss changes and say nothing of it (a store that drops its
 * history): one host reads the operators' record, and less often the
 * registrations, whatever its watches say. A change must be in force within
 * 3 s. */
#define POLL_INTERVAL (1 * Cbw_SEC)
#define POLLS_PER_RANGE 4
/* Pause after changes of registrations, which come in bunches. */
#define CHANGES_PAUSE (250 * Cbw_MSEC)
#define RETRY_INTERVAL (150 * Cbw_MSEC)
/* How often changes are asked for through a peer. */
#define THROUGH_PEER_INTERVAL (700 * Cbw_MSEC)
/* Registrations that lapsed while the store was away come back within 2 s of
 * its return; from the platform's page on service discovery. */
#define LAPSED_WAIT (2200 * Cbw_MSEC)

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
    char key[Cbw_NAME_MAX + 16];
    cbw_endpoint_t endpoint;
    char database[Cbw_NAME_MAX];
    uint64_t learned; /* the revision at which this host came to know it */
    char *text;       /* as registered; owned */
    size_t text_size;
    uint64_t version;
    bool seen;          /* in the list that is being read */
    cbw_time_t gone_at; /* removed, and kept until then; 0: registered */
} registration_t;

typedef struct {
    char key[Cbw_NAME_MAX + 16];
    uint64_t version;
} removal_t;

typedef struct {
    daemon_t *daemon;
    const registry_driver_t *driver;
    view_t *view;
    char *config_text; /* as the operators wrote it; owned */
    size_t config_size;
    uint64_t config_learned; /* the revision at which it came to be known */
    uint64_t revision;       /* of the latest change that is known */
    removal_t removals[REMOVALS_MAX];
    size_t removal_count; /* ever */
    watch_t watches[WATCH_COUNT_];
    GHashTable *registrations; /* key to registration_t, which it owns */
    cbw_inventory_t routes;    /* without endpoints */
    bool configured;
    bool changed;  /* since the last publication */
    bool fetching; /* from a peer */
    bool polling;
    cbw_time_t poll_at;
    unsigned polls;
    cbw_random_t random;
    ev_timer timer;
} registry_task_t;

static registry_task_t self;

static void
free_registration(void *object)
{
    registration_t *registration = object;

    free(registration->text);
    free(registration);
}

/* The inventory. */

static int
compare_endpoints(const void *a, const void *b)
{
    return strcmp(((const cbw_endpoint_t *)a)->name,
                  ((const cbw_endpoint_t *)b)->name);
}

static void
add_endpoints(cbw_database_t *database)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, self.registrations);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const registration_t *registration = value;
        cbw_endpoint_t *endpoint =
            &database->endpoints[database->endpoint_count];
        if (strcmp(registration->database, database->name) != 0) {
            continue;
        }
        if (database->endpoint_count == Cbw_ENDPOINTS_MAX) {
            CbwLog_Write(CBW_LOG_ERROR, "config", "too-many-endpoints",
                         "database=%s", database->name);
            break;
        }
        *endpoint = registration->endpoint;
        endpoint->connections = database->connections;
        database->endpoint_count++;
    }
    qsort(database->endpoints, (size_t)database->endpoint_count,
          sizeof(cbw_endpoint_t), compare_endpoints);
}

static void *
copy_array(const void *array, size_t count, size_t size)
{
    void *copy = calloc(count + 1, size);

    if (copy == NULL) {
        abort();
    }
    if (count > 0) {
        memcpy(copy, array, count * size);
    }
    return copy;
}

static config_t *
make_config(void)
{
    config_t *config = calloc(1, sizeof(*config));
    cbw_inventory_t *inventory;

    if (config == NULL) {
        abort();
    }
    config->references = 1;
    config->revision = (int64_t)self.revision;
    inventory = &config->inventory;
    *inventory = self.routes;
    inventory->kinds = copy_array(self.routes.kinds, self.routes.kind_count,
                                  sizeof(cbw_kind_t));
    inventory->databases =
        copy_array(self.routes.databases, self.routes.database_count,
                   sizeof(cbw_database_t));
    for (size_t i = 0; i < inventory->database_count; i++) {
        add_endpoints(&inventory->databases[i]);
    }
    return config;
}

static void
publish(void)
{
    static const task_id_t readers[] = {TASK_ENTRY, TASK_ROUTER, TASK_OWNER,
                                        TASK_MEMBER};
    config_t *config;

    if (!self.changed || !self.configured ||
        !self.watches[WATCH_ENDPOINTS].read) {
        return;
    }
    self.changed = false;
    config = make_config();
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

/* The operators' record. */

static void
note_revision(uint64_t revision)
{
    if (revision > self.revision) {
        self.revision = revision;
    }
}

/* A change that is known later than another that came after it gets a number
 * of its own, so that peers hear of it too. */
static uint64_t
learn(uint64_t version)
{
    note_revision(version > self.revision ? version : self.revision + 1);
    return self.revision;
}

static void
take_config(const store_item_t *item)
{
    const char *text = item->value;
    cbw_inventory_t inventory;
    cbw_findings_t findings;

    CbwFindings_Init(&findings);
    if (self.driver->parse_config(text, &inventory, &findings) != 0) {
        CbwLog_Write(CBW_LOG_ERROR, "config", "refused",
                     "findings=%zu first=\"%s: %s\"", findings.count,
                     findings.items[0].place, findings.items[0].text);
    }
    /* What can be used of a record is used, but for an older one. */
    if (inventory.version > self.routes.version) {
        CbwInventory_Finish(&self.routes);
        self.routes = inventory;
        self.configured = true;
        self.changed = true;
        free(self.config_text);
        self.config_text = strdup(text);
        self.config_size = strlen(text);
        self.config_learned = learn(item->version);
        CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_CONFIG_APPLIED, 1);
        CbwLog_Write(CBW_LOG_INFO, "config", "in-force",
                     "version=%" PRId64 " routes=%zu databases=%zu",
                     inventory.version, inventory.kind_count,
                     inventory.database_count);
    }
    else {
        CbwInventory_Finish(&inventory);
    }
    CbwFindings_Finish(&findings);
}

/* Registrations. */

static void
note_removal(const char *key, uint64_t version)
{
    removal_t *removal = &self.removals[self.removal_count++ % REMOVALS_MAX];

    snprintf(removal->key, sizeof(removal->key), "%s", key);
    removal->version = learn(version);
}

static bool
is_same_endpoint(const cbw_endpoint_t *a, const cbw_endpoint_t *b)
{
    return strcmp(a->name, b->name) == 0 &&
           strcmp(a->data_centre, b->data_centre) == 0 &&
           strcmp(a->address, b->address) == 0 && a->slots == b->slots &&
           a->leaving == b->leaving &&
           a->reports_primary == b->reports_primary && a->born == b->born;
}

static void
take_registration(const store_item_t *item)
{
    registration_t *known = g_hash_table_lookup(self.registrations, item->key);
    registration_t fresh;
    cbw_error_t error = {0};
    const char *name = item->key + strlen(self.watches[WATCH_ENDPOINTS].key);

    if (known != NULL && item->version < known->version) {
        known->seen = true; /* a later state of it is known */
        return;
    }
    memset(&fresh, 0, sizeof(fresh));
    if (strlen(item->key) >= sizeof(fresh.key) ||
        memchr(item->value, '\0', item->value_size) != NULL ||
        self.driver->parse_endpoint(name, item->value, &fresh.endpoint,
                                    fresh.database, &error) != 0) {
        CbwLog_Write(CBW_LOG_WARNING, "config", "unusable-registration",
                     "key=%.64s revision=%" PRIu64 " reason=\"%s\"", item->key,
                     item->version, error.text);
        if (known != NULL) {
            note_removal(item->key, item->version);
            g_hash_table_remove(self.registrations, item->key);
            self.changed = true;
        }
        return;
    }
    snprintf(fresh.key, sizeof(fresh.key), "%s", item->key);
    fresh.version = item->version;
    fresh.seen = true;
    if (known != NULL && known->gone_at == 0 &&
        is_same_endpoint(&known->endpoint, &fresh.endpoint)) {
        known->seen = true;
        known->version = item->version;
        return;
    }
    if (known == NULL) {
        known = calloc(1, sizeof(*known));
        if (known == NULL) {
            abort();
        }
        snprintf(known->key, sizeof(known->key), "%s", fresh.key);
        g_hash_table_insert(self.registrations, known->key, known);
    }
    free(known->text);
    fresh.learned = learn(item->version);
    *known = fresh;
    known->text = malloc(item->value_size + 1);
    if (known->text == NULL) {
        abort();
    }
    memcpy(known->text, item->value, item->value_size + 1);
    known->text_size = item->value_size;
    self.changed = true;
    CbwLog_Write(CBW_LOG_INFO, "config", "registration",
                 "endpoint=%s database=%s address=%s leaving=%d primary=%d "
                 "born=%" PRId64 " revision=%" PRIu64,
                 fresh.endpoint.name, fresh.database, fresh.endpoint.address,
                 fresh.endpoint.leaving, fresh.endpoint.reports_primary,
                 fresh.endpoint.born, fresh.version);
}

static void
remove_registration(registration_t *registration, uint64_t version,
                    cbw_time_t now)
{
    if (registration->gone_at != 0) {
        return;
    }
    note_removal(registration->key, version);
    self.changed = true; /* so that peers hear of it */
    /* One that said that it leaves has left; any other may have lapsed while
     * the store was away. */
    registration->gone_at =
        now + (registration->endpoint.leaving ? 0 : LAPSED_WAIT);
    CbwLog_Write(CBW_LOG_INFO, "config", "registration-removed",
                 "endpoint=%s leaving=%d", registration->endpoint.name,
                 registration->endpoint.leaving);
}

static void
forget_gone(cbw_time_t now)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, self.registrations);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const registration_t *registration = value;
        if (registration->gone_at != 0 && now >= registration->gone_at) {
            g_hash_table_iter_remove(&iterator);
            self.changed = true;
        }
    }
}

static void
mark_unseen(void)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, self.registrations);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        ((registration_t *)value)->seen = false;
    }
}

static void
remove_unseen(uint64_t version, cbw_time_t now)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, self.registrations);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        registration_t *registration = value;
        /* What came after the list was made does not stand in it. */
        if (!registration->seen && registration->version <= version) {
            remove_registration(registration, version, now);
        }
    }
}

/* Watches. */

static void
take_item(watch_id_t id, const store_item_t *item, cbw_time_t now)
{
    registration_t *known;

    if (id == WATCH_CONFIG) {
        if (item->value != NULL &&
            strcmp(item->key, self.driver->config_key) == 0) {
            take_config(item);
        }
        return;
    }
    if (item->value != NULL) {
        take_registration(item);
        return;
    }
    known = g_hash_table_lookup(self.registrations, item->key);
    if (known != NULL) {
        remove_registration(known, item->version, now);
    }
}

static bool
is_watcher(void)
{
    return self.view != NULL &&
           CbwMembership_Rank(&self.view->membership, WATCHER_ROLE) < WATCHERS;
}

static void
ask(watch_id_t id, cbw_time_t now)
{
    watch_t *watch = &self.watches[id];
    store_call_t *call;

    /* At the start everybody reads what is there, which may lag. */
    bool first = !watch->read;

    if (watch->asked || now < watch->ask_at || (!first && !is_watcher())) {
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

    if (self.polling || now < self.poll_at || self.view == NULL ||
        CbwMembership_Rank(&self.view->membership, WATCHER_ROLE) != 0) {
        return;
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

    self.polling = false;
    if (call->status == CBW_STORE_OK && call->verb == STORE_GET) {
        take_item(WATCH_CONFIG, &config, now);
    }
    else if (call->status == CBW_STORE_OK) {
        mark_unseen();
        for (size_t i = 0; i < call->item_count; i++) {
            take_item(WATCH_ENDPOINTS, &call->items[i], now);
        }
        remove_unseen(call->version, now);
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
            mark_unseen();
        }
        for (size_t i = 0; i < call->item_count; i++) {
            take_item(id, &call->items[i], now);
        }
        if (call->verb == STORE_RANGE && id == WATCH_ENDPOINTS &&
            !call->may_be_stale) {
            remove_unseen(call->version, now);
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

/* Peers. */

static void
take_fetched(const peer_store_result *result, cbw_time_t now)
{
    bool whole = result->status == 1;

    if (whole) {
        mark_unseen();
    }
    for (u_int i = 0; i < result->items.items_len; i++) {
        const peer_store_item *from = &result->items.items_val[i];
        store_item_t item = {.key = from->key,
                             .value_size = from->value.value_len,
                             .version = from->record_version};
        if (!from->removed) {
            item.value = g_strndup(from->value.value_val, item.value_size);
        }
        take_item(strcmp(item.key, self.driver->config_key) == 0
                      ? WATCH_CONFIG
                      : WATCH_ENDPOINTS,
                  &item, now);
        g_free(item.value);
    }
    if (whole) {
        remove_unseen(result->record_version, now);
    }
    note_revision(result->record_version);
}

static void
on_fetched(outbound_t *outbound)
{
    self.fetching = false;
    if (outbound->answered &&
        outbound->result.store.record_version > self.revision) {
        CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_CONFIG_FETCHED, 1);
        take_fetched(&outbound->result.store, CbwNet_Now());
        self.watches[WATCH_ENDPOINTS].read = true;
        self.watches[WATCH_CONFIG].read = true;
        self.changed = true;
        publish();
    }
    Outbound_Free(outbound);
}

static void
on_peer_version(version_message_t *message)
{
    outbound_t *outbound;

    if (message->version > (int64_t)self.revision && !self.fetching) {
        self.fetching = true;
        outbound = Outbound_New(PEER_REGISTRY, message->address);
        outbound->args.registry.since = self.revision;
        outbound->timeout = FETCH_TIMEOUT;
        outbound->reply_to = TASK_CONFIG;
        Task_Post(TASK_CONFIG, TASK_PEER, MESSAGE_OUTBOUND,
                  &outbound->message);
    }
    free(message);
}

static void
add_item(peer_store_result *result, const char *key, const char *text,
         size_t size, uint64_t version)
{
    peer_store_item *item =
        &result->items.items_val[result->items.items_len++];

    item->key = strdup(key);
    item->removed = text == NULL;
    item->record_version = version;
    if (text != NULL) {
        item->value.value_val = malloc(size + 1);
        if (item->value.value_val == NULL) {
            abort();
        }
        memcpy(item->value.value_val, text, size);
        item->value.value_len = (u_int)size;
    }
}

/* Whether all removals after `since` are still kept. */
static bool
has_removals_since(uint64_t since)
{
    return self.removal_count <= REMOVALS_MAX ||
           self.removals[self.removal_count % REMOVALS_MAX].version <= since;
}

static void
answer_registry(inbound_t *inbound)
{
    peer_store_result *result = &inbound->result.store;
    uint64_t since = inbound->args.registry.since;
    bool whole = since == 0 || !has_removals_since(since);
    size_t kept =
        self.removal_count < REMOVALS_MAX ? self.removal_count : REMOVALS_MAX;
    GHashTableIter iterator;
    gpointer value;

    result->status = whole;
    result->record_version = self.revision;
    result->value = strdup("");
    result->items.items_val =
        calloc(g_hash_table_size(self.registrations) + kept + 1,
               sizeof(peer_store_item));
    if (result->items.items_val == NULL) {
        abort();
    }
    if (self.config_text != NULL && self.config_learned > since) {
        add_item(result, self.driver->config_key, self.config_text,
                 self.config_size, self.config_learned);
    }
    for (size_t i = 0; i < kept && !whole; i++) {
        if (self.removals[i].version > since) {
            add_item(result, self.removals[i].key, NULL, 0,
                     self.removals[i].version);
        }
    }
    g_hash_table_iter_init(&iterator, self.registrations);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const registration_t *registration = value;
        if (registration->gone_at == 0 &&
            (whole || registration->learned > since)) {
            add_item(result, registration->key, registration->text,
                     registration->text_size, registration->version);
        }
    }
    Task_Post(TASK_CONFIG, TASK_PEER, MESSAGE_INBOUND_DONE, &inbound->message);
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
        on_peer_version(Cbw_LIST_ITEM(message, version_message_t, message));
        break;
    case MESSAGE_INBOUND: {
        inbound_t *inbound = Cbw_LIST_ITEM(message, inbound_t, message);
        if (inbound->procedure == PEER_REGISTRY) {
            answer_registry(inbound);
        }
        else {
            answer_config(inbound);
        }
        break;
    }
    case MESSAGE_VIEW: {
        view_message_t *view = Cbw_LIST_ITEM(message, view_message_t, message);
        View_Unref(self.view);
        self.view = view->view;
        free(view);
        break;
    }
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
    forget_gone(now);
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
    self.registrations = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                               free_registration);
    CbwRandom_Init(&self.random, daemon->nonce);
    Task_Register(daemon->loop, TASK_CONFIG, handle, NULL);
    ev_timer_init(&self.timer, on_tick, TICK_SECONDS, TICK_SECONDS);
    ev_timer_start(daemon->loop, &self.timer);
}
