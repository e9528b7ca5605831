#include "registry_records.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "carobwind/log.h"

/* How long a removed registration stays in use. The platform specifies that
 * endpoints whose registrations expired during a store outage register again
 * within 2 s of the store's return; the rest is a margin. */
#define EXPIRED_GRACE_PERIOD (2200 * Cbw_MSEC)

static void
free_registration(void *object)
{
    registration_t *registration = object;

    free(registration->text);
    free(registration);
}

void
RegistryRecords_Init(registry_records_t *records,
                     const registry_driver_t *driver, cbw_counters_t *counters)
{
    memset(records, 0, sizeof(*records));
    records->driver = driver;
    records->counters = counters;
    records->registrations = g_hash_table_new_full(g_str_hash, g_str_equal,
                                                   NULL, free_registration);
}

void
RegistryRecords_Finish(registry_records_t *records)
{
    free(records->config_text);
    CbwInventory_Finish(&records->base_inventory);
    g_hash_table_destroy(records->registrations);
    memset(records, 0, sizeof(*records));
}

/* Inventory. */

static int
compare_endpoints(const void *a, const void *b)
{
    return strcmp(((const cbw_endpoint_t *)a)->name,
                  ((const cbw_endpoint_t *)b)->name);
}

/* Adds each registration to the database that it names, if it is configured.
 * The databases are sorted by name. */
static void
add_endpoints(const registry_records_t *records, cbw_inventory_t *inventory)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, records->registrations);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const registration_t *registration = value;
        const cbw_database_t *found =
            CbwInventory_FindDatabase(inventory, registration->database);
        cbw_database_t *database;
        cbw_endpoint_t *endpoint;
        if (found == NULL) {
            continue;
        }
        database = &inventory->databases[found - inventory->databases];
        if (database->endpoint_count == Cbw_ENDPOINTS_MAX) {
            CbwLog_Write(CBW_LOG_ERROR, "config", "too-many-endpoints",
                         "database=%s", database->name);
            continue;
        }
        endpoint = &database->endpoints[database->endpoint_count++];
        *endpoint = registration->endpoint;
        endpoint->connections = database->connections;
    }
    for (size_t i = 0; i < inventory->database_count; i++) {
        cbw_database_t *database = &inventory->databases[i];
        qsort(database->endpoints, (size_t)database->endpoint_count,
              sizeof(cbw_endpoint_t), compare_endpoints);
    }
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

config_t *
RegistryRecords_MakeConfig(const registry_records_t *records)
{
    config_t *config = calloc(1, sizeof(*config));
    cbw_inventory_t *inventory;

    if (config == NULL) {
        abort();
    }
    config->references = 1;
    config->revision = (int64_t)records->revision;
    config->digest = RegistryRecords_Digest(records);
    inventory = &config->inventory;
    *inventory = records->base_inventory;
    inventory->kinds =
        copy_array(records->base_inventory.kinds,
                   records->base_inventory.kind_count, sizeof(cbw_kind_t));
    inventory->databases = copy_array(records->base_inventory.databases,
                                      records->base_inventory.database_count,
                                      sizeof(cbw_database_t));
    inventory->workspaces = copy_array(records->base_inventory.workspaces,
                                       records->base_inventory.workspace_count,
                                       sizeof(cbw_workspace_t));
    inventory->keys = copy_array(records->base_inventory.keys,
                                 records->base_inventory.key_count,
                                 sizeof(cbw_workspace_key_t));
    add_endpoints(records, inventory);
    return config;
}

static uint64_t
hash_text(const char *text, uint64_t seed)
{
    return XXH64(text, strlen(text), seed);
}

/* Covers the fields that is_same_endpoint() compares. */
static uint64_t
hash_endpoint(const cbw_endpoint_t *endpoint)
{
    int64_t numbers[] = {endpoint->slots, endpoint->leaving,
                         endpoint->reports_primary, endpoint->started_at};
    uint64_t hash = XXH64(numbers, sizeof(numbers), 0);

    hash = hash_text(endpoint->name, hash);
    hash = hash_text(endpoint->data_centre, hash);
    return hash_text(endpoint->address, hash);
}

uint64_t
RegistryRecords_Digest(const registry_records_t *records)
{
    uint64_t digest = (uint64_t)records->base_inventory.version;

    for (size_t i = 0; i < REGISTRY_BUCKETS; i++) {
        digest += records->bucket_digests[i];
    }
    return digest;
}

size_t
RegistryRecords_Bucket(const char *key)
{
    return (size_t)(hash_text(key, 0) % REGISTRY_BUCKETS);
}

static void
add_to_digest(registry_records_t *records, const registration_t *registration)
{
    if (registration->purge_at == 0) {
        records->bucket_digests[RegistryRecords_Bucket(registration->key)] +=
            hash_endpoint(&registration->endpoint);
    }
}

/* To be called before a registration changes or is removed. */
static void
subtract_from_digest(registry_records_t *records,
                     const registration_t *registration)
{
    if (registration->purge_at == 0) {
        records->bucket_digests[RegistryRecords_Bucket(registration->key)] -=
            hash_endpoint(&registration->endpoint);
    }
}

void
RegistryRecords_BucketDigests(const registry_records_t *records,
                              uint64_t digests[REGISTRY_BUCKETS])
{
    memcpy(digests, records->bucket_digests, sizeof(records->bucket_digests));
}

/* Revisions. */

static void
raise_revision(registry_records_t *records, uint64_t revision)
{
    if (revision > records->revision) {
        records->revision = revision;
    }
}

/* Returns the registry revision of a change that the store made at
 * `store_revision`. A change that is learned late gets no new revision: hosts
 * with the same revision and different content detect that by their digests,
 * and if each host assigned its own they would keep overtaking each other. */
static uint64_t
assign_revision(registry_records_t *records, uint64_t store_revision)
{
    raise_revision(records, store_revision);
    return store_revision;
}

registry_need_t
RegistryRecords_Compare(registry_records_t *records, uint64_t revision,
                        uint64_t digest)
{
    if (revision < records->revision) {
        return REGISTRY_KNOWN;
    }
    if (digest == RegistryRecords_Digest(records)) {
        raise_revision(records, revision);
        return REGISTRY_KNOWN;
    }
    return revision > records->revision ? REGISTRY_FETCH_CHANGES
                                        : REGISTRY_FETCH_ALL;
}

/* Configuration record. */

static void
apply_config(registry_records_t *records, const store_item_t *item)
{
    const char *text = item->value;
    cbw_inventory_t inventory;
    cbw_findings_t findings;

    if (records->config_text != NULL &&
        strcmp(records->config_text, text) == 0) {
        return;
    }
    CbwFindings_Init(&findings);
    if (records->driver->parse_config(text, &inventory, &findings) != 0) {
        CbwCounter_Add(records->counters, CBW_COUNTER_RECORDS_UNUSABLE, 1);
        CbwLog_Write(CBW_LOG_ERROR, "config", "refused",
                     "findings=%zu first=\"%s: %s\"", findings.count,
                     findings.items[0].source, findings.items[0].text);
    }
    /* The valid parts of a record are used if it is newer than the current
     * one. */
    if (inventory.version > records->base_inventory.version) {
        CbwInventory_Finish(&records->base_inventory);
        records->base_inventory = inventory;
        records->configured = true;
        records->changed = true;
        free(records->config_text);
        records->config_text = records->driver->hide_keys != NULL
                                   ? records->driver->hide_keys(text)
                                   : NULL;
        if (records->config_text == NULL) {
            records->config_text = strdup(text);
        }
        records->config_size = strlen(records->config_text);
        records->config_registry_revision =
            assign_revision(records, item->version);
        CbwCounter_Add(records->counters, CBW_COUNTER_CONFIG_APPLIED, 1);
        /* `routes=` counts the kinds: the platform's record calls them
         * routes. */
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
record_removal(registry_records_t *records, const registration_t *registration,
               uint64_t store_revision)
{
    removal_t *removal =
        &records->removals[records->removal_total++ % REGISTRY_REMOVALS_MAX];

    snprintf(removal->key, sizeof(removal->key), "%s", registration->key);
    removal->version = registration->version;
    removal->store_revision = store_revision;
    removal->registry_revision = assign_revision(records, store_revision);
}

static removal_t *
latest_removal(registry_records_t *records)
{
    return &records->removals[(records->removal_total + REGISTRY_REMOVALS_MAX -
                               1) %
                              REGISTRY_REMOVALS_MAX];
}

/* Returns whether this version of the record, or a later one, is known to be
 * removed. Needed since reads of the store may be stale. */
static bool
is_version_removed(const registry_records_t *records, const char *key,
                   uint64_t version)
{
    size_t kept = records->removal_total < REGISTRY_REMOVALS_MAX
                      ? records->removal_total
                      : REGISTRY_REMOVALS_MAX;

    for (size_t i = 0; i < kept; i++) {
        if (records->removals[i].version >= version &&
            strcmp(records->removals[i].key, key) == 0) {
            return true;
        }
    }
    return false;
}

static bool
is_same_endpoint(const cbw_endpoint_t *a, const cbw_endpoint_t *b)
{
    return strcmp(a->name, b->name) == 0 &&
           strcmp(a->data_centre, b->data_centre) == 0 &&
           strcmp(a->address, b->address) == 0 && a->slots == b->slots &&
           a->leaving == b->leaving &&
           a->reports_primary == b->reports_primary &&
           a->started_at == b->started_at;
}

/* Sets since when the endpoint has been leaving. `known` is its previous
 * registration, or NULL. */
static void
set_leaving_since(const registration_t *known, registration_t *parsed,
                  cbw_time_t now)
{
    bool was_leaving =
        known != NULL && known->endpoint.leaving &&
        known->endpoint.started_at == parsed->endpoint.started_at;

    if (parsed->endpoint.leaving) {
        parsed->endpoint.leaving_since =
            was_leaving ? known->endpoint.leaving_since : now;
    }
}

static void
apply_registration(registry_records_t *records, const store_item_t *item,
                   cbw_time_t now)
{
    registration_t *known =
        g_hash_table_lookup(records->registrations, item->key);
    registration_t parsed;
    cbw_error_t error = {0};
    const char *name = item->key + strlen(records->driver->endpoints_prefix);

    if (known != NULL && item->version < known->version) {
        known->in_snapshot = true; /* a later version is known */
        return;
    }
    if ((known == NULL || known->purge_at != 0) &&
        is_version_removed(records, item->key, item->version)) {
        return;
    }
    memset(&parsed, 0, sizeof(parsed));
    if (strlen(item->key) >= sizeof(parsed.key) ||
        memchr(item->value, '\0', item->value_size) != NULL ||
        records->driver->parse_endpoint(name, item->value, &parsed.endpoint,
                                        parsed.database, &error) != 0) {
        /* `revision=` here and below is the record's version, which the
         * platform calls its revision. */
        CbwCounter_Add(records->counters, CBW_COUNTER_RECORDS_UNUSABLE, 1);
        CbwLog_Write(CBW_LOG_WARNING, "config", "unusable-registration",
                     "key=%.64s revision=%" PRIu64 " reason=\"%s\"", item->key,
                     item->version, error.text);
        if (known != NULL) {
            record_removal(records, known, item->version);
            subtract_from_digest(records, known);
            g_hash_table_remove(records->registrations, item->key);
            records->changed = true;
        }
        return;
    }
    snprintf(parsed.key, sizeof(parsed.key), "%s", item->key);
    parsed.version = item->version;
    parsed.in_snapshot = true;
    if (known != NULL && known->purge_at == 0 &&
        is_same_endpoint(&known->endpoint, &parsed.endpoint)) {
        known->in_snapshot = true;
        known->version = item->version;
        return;
    }
    set_leaving_since(known, &parsed, now);
    if (known == NULL) {
        known = calloc(1, sizeof(*known));
        if (known == NULL) {
            abort();
        }
        snprintf(known->key, sizeof(known->key), "%s", parsed.key);
        g_hash_table_insert(records->registrations, known->key, known);
    }
    else {
        subtract_from_digest(records, known);
    }
    free(known->text);
    parsed.registry_revision = assign_revision(records, item->version);
    *known = parsed;
    add_to_digest(records, known);
    known->text = malloc(item->value_size + 1);
    if (known->text == NULL) {
        abort();
    }
    memcpy(known->text, item->value, item->value_size + 1);
    known->text_size = item->value_size;
    records->changed = true;
    CbwLog_Write(CBW_LOG_INFO, "config", "registration",
                 "endpoint=%s database=%s address=%s leaving=%d primary=%d "
                 "born=%" PRId64 " revision=%" PRIu64,
                 parsed.endpoint.name, parsed.database,
                 parsed.endpoint.address, parsed.endpoint.leaving,
                 parsed.endpoint.reports_primary, parsed.endpoint.started_at,
                 parsed.version);
}

static void
remove_registration(registry_records_t *records, registration_t *registration,
                    uint64_t store_revision, cbw_time_t now)
{
    if (registration->purge_at != 0) {
        return;
    }
    record_removal(records, registration, store_revision);
    subtract_from_digest(records, registration);
    records->changed = true; /* so that peers fetch the removal */
    /* An endpoint that announced leaving is gone; any other registration may
     * have expired because of a store outage. */
    registration->purge_at =
        now + (registration->endpoint.leaving ? 0 : EXPIRED_GRACE_PERIOD);
    CbwLog_Write(CBW_LOG_INFO, "config", "registration-removed",
                 "endpoint=%s leaving=%d", registration->endpoint.name,
                 registration->endpoint.leaving);
}

void
RegistryRecords_PurgeRemoved(registry_records_t *records, cbw_time_t now)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, records->registrations);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const registration_t *registration = value;
        if (registration->purge_at != 0 && now >= registration->purge_at) {
            g_hash_table_iter_remove(&iterator);
            records->changed = true;
        }
    }
}

void
RegistryRecords_BeginSnapshot(registry_records_t *records)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, records->registrations);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        ((registration_t *)value)->in_snapshot = false;
    }
}

/* Removes the registrations that the list did not contain. A peer's list may
 * lack registrations that the peer has not learned of yet. These may return
 * with the same version, so their removals get version 0. */
static void
end_snapshot(registry_records_t *records, uint64_t store_revision,
             cbw_time_t now, bool from_peer)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, records->registrations);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        registration_t *registration = value;
        /* A registration newer than the list cannot be in it. */
        if (!registration->in_snapshot && registration->purge_at == 0 &&
            registration->version <= store_revision) {
            remove_registration(records, registration, store_revision, now);
            if (from_peer) {
                latest_removal(records)->version = 0;
            }
        }
    }
}

void
RegistryRecords_EndSnapshot(registry_records_t *records,
                            uint64_t store_revision, cbw_time_t now)
{
    end_snapshot(records, store_revision, now, false);
}

void
RegistryRecords_Apply(registry_records_t *records, const store_item_t *item,
                      cbw_time_t now)
{
    registration_t *known;

    if (strcmp(item->key, records->driver->config_key) == 0) {
        if (item->value != NULL) {
            apply_config(records, item);
        }
        return;
    }
    if (!g_str_has_prefix(item->key, records->driver->endpoints_prefix)) {
        return;
    }
    if (item->value != NULL) {
        apply_registration(records, item, now);
        return;
    }
    known = g_hash_table_lookup(records->registrations, item->key);
    if (known != NULL && known->version <= item->version) {
        remove_registration(records, known, item->version, now);
    }
}

static int
compare_versions(const void *a, const void *b)
{
    const store_item_t *left = a;
    const store_item_t *right = b;

    if (left->version != right->version) {
        return left->version < right->version ? -1 : 1;
    }
    return strcmp(left->key, right->key);
}

void
RegistryRecords_ApplyAll(registry_records_t *records, store_item_t *items,
                         size_t count, cbw_time_t now)
{
    if (count > 1) {
        qsort(items, count, sizeof(*items), compare_versions);
    }
    for (size_t i = 0; i < count; i++) {
        RegistryRecords_Apply(records, &items[i], now);
    }
}

void
RegistryRecords_ApplyFetched(registry_records_t *records,
                             const peer_store_result *result, cbw_time_t now)
{
    bool complete = result->status == REGISTRY_RESULT_COMPLETE;
    size_t count = result->items.items_len;
    store_item_t *items = g_new0(store_item_t, count);

    if (complete) {
        RegistryRecords_BeginSnapshot(records);
    }
    for (size_t i = 0; i < count; i++) {
        const peer_store_item *fetched = &result->items.items_val[i];
        items[i].key = fetched->key;
        items[i].value_size = fetched->value.value_len;
        items[i].version = fetched->record_version;
        if (!fetched->removed) {
            items[i].value =
                g_strndup(fetched->value.value_val, items[i].value_size);
        }
    }
    RegistryRecords_ApplyAll(records, items, count, now);
    for (size_t i = 0; i < count; i++) {
        g_free(items[i].value);
    }
    g_free(items);
    if (complete) {
        end_snapshot(records, result->record_version, now, true);
    }
    raise_revision(records, result->record_version);
}
