/* Results that peers fetch from a host's records. */
#include <stdlib.h>
#include <string.h>

#include "registry_records.h"

static void
append_item(peer_store_result *result, const char *key, const char *text,
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

/* Returns whether all removals after `since` are still in the ring. */
static bool
has_removals_since(const registry_records_t *records, uint64_t since)
{
    return records->removal_total <= REGISTRY_REMOVALS_MAX ||
           records->removals[records->removal_total % REGISTRY_REMOVALS_MAX]
                   .registry_revision <= since;
}

/* Which records a result contains. */
typedef struct {
    uint64_t since;     /* those with a higher registry revision */
    bool complete;      /* all registrations, and no removals */
    bool config;        /* the configuration record, if later than `since` */
    const bool *wanted; /* by bucket; NULL: all buckets */
} selection_t;

static bool
is_selected(const selection_t *selection, const char *key,
            uint64_t registry_revision)
{
    return (selection->complete || registry_revision > selection->since) &&
           (selection->wanted == NULL ||
            selection->wanted[RegistryRecords_Bucket(key)]);
}

/* A record or removal that was selected. */
typedef struct {
    uint64_t registry_revision;
    const char *key;
    const char *text; /* NULL: a removal */
    size_t size;
    uint64_t version;
} selected_t;

static int
compare_registry_revisions(const void *a, const void *b)
{
    uint64_t left = ((const selected_t *)a)->registry_revision;
    uint64_t right = ((const selected_t *)b)->registry_revision;

    return left < right ? -1 : left > right;
}

static void
add_selected(GArray *list, uint64_t registry_revision, const char *key,
             const char *text, size_t size, uint64_t version)
{
    selected_t selected = {registry_revision, key, text, size, version};

    g_array_append_val(list, selected);
}

/* Returns the selected records and removals in the order of their registry
 * revisions. The configuration record has its registry revision as the
 * version. */
static GArray *
select_records(const registry_records_t *records, const selection_t *selection)
{
    size_t kept = records->removal_total < REGISTRY_REMOVALS_MAX
                      ? records->removal_total
                      : REGISTRY_REMOVALS_MAX;
    GArray *list = g_array_new(FALSE, FALSE, sizeof(selected_t));
    GHashTableIter iterator;
    gpointer value;

    if (selection->config && records->config_text != NULL &&
        records->config_registry_revision > selection->since) {
        add_selected(list, records->config_registry_revision,
                     records->driver->config_key, records->config_text,
                     records->config_size, records->config_registry_revision);
    }
    for (size_t i = 0; i < kept && !selection->complete; i++) {
        const removal_t *removal = &records->removals[i];
        if (is_selected(selection, removal->key, removal->registry_revision)) {
            add_selected(list, removal->registry_revision, removal->key, NULL,
                         0, removal->store_revision);
        }
    }
    g_hash_table_iter_init(&iterator, records->registrations);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const registration_t *registration = value;
        if (registration->purge_at == 0 &&
            is_selected(selection, registration->key,
                        registration->registry_revision)) {
            add_selected(list, registration->registry_revision,
                         registration->key, registration->text,
                         registration->text_size, registration->version);
        }
    }
    g_array_sort(list, compare_registry_revisions);
    return list;
}

/* Fills `result` with the first `count` records and removals of `list`. */
static void
encode_records(const registry_records_t *records, const GArray *list,
               guint count, registry_result_t status,
               peer_store_result *result)
{
    result->status = status;
    result->record_version = records->revision;
    result->value = strdup("");
    result->items.items_val = calloc(count + 1, sizeof(peer_store_item));
    if (result->items.items_val == NULL) {
        abort();
    }
    for (guint i = 0; i < count; i++) {
        const selected_t *selected = &g_array_index(list, selected_t, i);
        append_item(result, selected->key, selected->text, selected->size,
                    selected->version);
    }
}

/* Returns how many records of `list` make up a page. Changes of one registry
 * revision stay together, as the next page begins after a revision. */
static guint
page_length(const GArray *list)
{
    size_t bytes = 0;

    for (guint i = 0; i < list->len; i++) {
        const selected_t *selected = &g_array_index(list, selected_t, i);
        if (bytes >= REGISTRY_PAGE_BYTES && i > 0 &&
            selected->registry_revision !=
                g_array_index(list, selected_t, i - 1).registry_revision) {
            return i;
        }
        bytes += selected->size;
    }
    return list->len;
}

void
RegistryRecords_EncodeSince(const registry_records_t *records, uint64_t since,
                            peer_store_result *result)
{
    selection_t selection = {.since = since,
                             .complete = since != 0 &&
                                         !has_removals_since(records, since),
                             .config = true};
    GArray *list = select_records(records, &selection);
    guint count = selection.complete ? list->len : page_length(list);

    if (count < list->len) {
        encode_records(records, list, count, REGISTRY_RESULT_PARTIAL, result);
        result->record_version =
            g_array_index(list, selected_t, count - 1).registry_revision;
    }
    else if (since == 0) {
        g_array_unref(list);
        selection.complete = true;
        list = select_records(records, &selection);
        encode_records(records, list, list->len, REGISTRY_RESULT_COMPLETE,
                       result);
    }
    else {
        encode_records(records, list, count,
                       selection.complete ? REGISTRY_RESULT_COMPLETE
                                          : REGISTRY_RESULT_CHANGES,
                       result);
    }
    g_array_unref(list);
}

void
RegistryRecords_EncodeAll(const registry_records_t *records,
                          peer_store_result *result)
{
    GArray *list = select_records(records, &(selection_t){.config = true});

    encode_records(records, list, list->len, REGISTRY_RESULT_CHANGES, result);
    g_array_unref(list);
}

/* Sets `sizes` to the bytes of the registrations in each bucket. */
static void
measure_buckets(const registry_records_t *records,
                size_t sizes[REGISTRY_BUCKETS])
{
    GHashTableIter iterator;
    gpointer value;

    memset(sizes, 0, REGISTRY_BUCKETS * sizeof(sizes[0]));
    g_hash_table_iter_init(&iterator, records->registrations);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const registration_t *registration = value;
        sizes[RegistryRecords_Bucket(registration->key)] +=
            registration->text_size;
    }
}

void
RegistryRecords_EncodeDiffering(const registry_records_t *records,
                                int64_t config_version,
                                const uint64_t digests[REGISTRY_BUCKETS],
                                peer_store_result *result)
{
    uint64_t own[REGISTRY_BUCKETS];
    size_t sizes[REGISTRY_BUCKETS];
    bool wanted[REGISTRY_BUCKETS] = {false};
    selection_t selection = {.config = records->base_inventory.version >
                                       config_version,
                             .wanted = wanted};
    size_t bytes = selection.config ? records->config_size : 0;
    GArray *list;

    RegistryRecords_BucketDigests(records, own);
    measure_buckets(records, sizes);
    for (size_t i = 0; i < REGISTRY_BUCKETS && bytes < REGISTRY_PAGE_BYTES;
         i++) {
        wanted[i] = own[i] != digests[i];
        bytes += wanted[i] ? sizes[i] : 0;
    }
    list = select_records(records, &selection);
    encode_records(records, list, list->len, REGISTRY_RESULT_CHANGES, result);
    g_array_unref(list);
}
