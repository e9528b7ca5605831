#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "carobwindd/registry_records.h"
#include "suites.h"

#define CONFIG_KEY "config"
#define PREFIX "endpoints/"

/* The record's text is its version. */
static int
parse_config(const char *text, cbw_inventory_t *inventory,
             cbw_findings_t *findings)
{
    (void)findings;
    memset(inventory, 0, sizeof(*inventory));
    inventory->version = atoi(text);
    return 0;
}

static int
parse_endpoint(const char *name, const char *text, cbw_endpoint_t *endpoint,
               char *database, cbw_error_t *error)
{
    (void)error;
    snprintf(endpoint->name, sizeof(endpoint->name), "%s", name);
    snprintf(endpoint->address, sizeof(endpoint->address), "%s", text);
    snprintf(database, Cbw_NAME_MAX, "db");
    return 0;
}

static const registry_driver_t driver = {
    .config_key = CONFIG_KEY,
    .endpoints_prefix = PREFIX,
    .parse_config = parse_config,
    .parse_endpoint = parse_endpoint,
};

static cbw_counters_t counters;

static void
take(registry_records_t *records, const char *key, const char *text,
     uint64_t version)
{
    store_item_t item = {.key = (char *)key,
                         .value = (char *)text,
                         .value_size = text != NULL ? strlen(text) : 0,
                         .version = version};

    RegistryRecords_Apply(records, &item, Cbw_SEC);
}

/* `to` hears of the revision of `from`, and fetches what is newer. */
static void
hear(registry_records_t *to, const registry_records_t *from)
{
    peer_store_result result = {0};

    if (from->revision <= to->revision) {
        return;
    }
    RegistryRecords_EncodeSince(from, to->revision, &result);
    RegistryRecords_ApplyFetched(to, &result, Cbw_SEC);
    xdr_free((xdrproc_t)xdr_peer_store_result, &result);
}

static guint
count_endpoints(const registry_records_t *records)
{
    return g_hash_table_size(records->registrations);
}

static void
test_changes_are_fetched(void)
{
    registry_records_t a;
    registry_records_t b;

    RegistryRecords_Init(&a, &driver, &counters);
    RegistryRecords_Init(&b, &driver, &counters);
    take(&a, CONFIG_KEY, "1", 10);
    take(&a, PREFIX "e1", "10.0.0.1:1", 11);
    hear(&b, &a);
    g_assert_cmpint(b.base_inventory.version, ==, 1);
    g_assert_cmpuint(count_endpoints(&b), ==, 1);
    take(&a, PREFIX "e1", NULL, 12);
    hear(&b, &a);
    RegistryRecords_PurgeRemoved(&b, 10 * Cbw_SEC);
    g_assert_cmpuint(count_endpoints(&b), ==, 0);
    RegistryRecords_Finish(&a);
    RegistryRecords_Finish(&b);
}

/* An older record of the operators does not come back. */
static void
test_version_never_goes_back(void)
{
    registry_records_t a;

    RegistryRecords_Init(&a, &driver, &counters);
    take(&a, CONFIG_KEY, "3", 10);
    take(&a, CONFIG_KEY, "2", 11);
    g_assert_cmpint(a.base_inventory.version, ==, 3);
    RegistryRecords_Finish(&a);
}

/* One host finds a change that all watches missed, another learns of a later
 * one at the same moment: both announce the same revision. Who hears of the
 * later one first does not ask for the other, until that is announced again.
 */
static void
test_missed_change_is_announced_again(void)
{
    registry_records_t reader;
    registry_records_t watcher;
    registry_records_t other;
    uint64_t before;

    RegistryRecords_Init(&reader, &driver, &counters);
    RegistryRecords_Init(&watcher, &driver, &counters);
    RegistryRecords_Init(&other, &driver, &counters);
    take(&watcher, CONFIG_KEY, "1", 10);
    take(&watcher, PREFIX "e1", "10.0.0.1:1", 12);
    hear(&reader, &watcher);
    hear(&other, &watcher);
    before = reader.revision;
    take(&reader, CONFIG_KEY, "2", 11); /* missed, and read later */
    take(&watcher, PREFIX "e2", "10.0.0.2:1", 13);
    hear(&other, &watcher);
    hear(&other, &reader);
    g_assert_cmpint(other.base_inventory.version, ==, 1);
    RegistryRecords_Reannounce(&reader, before);
    hear(&other, &reader);
    g_assert_cmpint(other.base_inventory.version, ==, 2);
    g_assert_cmpuint(count_endpoints(&other), ==, 2);
    RegistryRecords_Finish(&reader);
    RegistryRecords_Finish(&watcher);
    RegistryRecords_Finish(&other);
}

/* `a` and `b` announce the same revision for different content. */
static void
merge(registry_records_t *to, const registry_records_t *from)
{
    peer_store_result result = {0};

    g_assert_cmpuint(to->revision, ==, from->revision);
    g_assert_cmpuint(RegistryRecords_Digest(to), !=,
                     RegistryRecords_Digest(from));
    RegistryRecords_EncodeAll(from, &result);
    RegistryRecords_ApplyFetched(to, &result, Cbw_SEC);
    xdr_free((xdrproc_t)xdr_peer_store_result, &result);
}

/* After a start of all hosts each has read another state of the store, and
 * numbers it by itself: one revision, two versions of the operators' record.
 */
static void
test_one_revision_of_two_contents(void)
{
    registry_records_t early;
    registry_records_t late;

    RegistryRecords_Init(&early, &driver, &counters);
    RegistryRecords_Init(&late, &driver, &counters);
    take(&early, PREFIX "e1", "10.0.0.1:1", 10);
    take(&early, CONFIG_KEY, "20", 8);
    take(&late, PREFIX "e1", "10.0.0.1:1", 10);
    take(&late, CONFIG_KEY, "23", 9);
    hear(&early, &late);
    g_assert_cmpint(early.base_inventory.version, ==, 20);
    merge(&early, &late);
    g_assert_cmpint(early.base_inventory.version, ==, 23);
    g_assert_cmpuint(RegistryRecords_Digest(&early), ==,
                     RegistryRecords_Digest(&late));
    RegistryRecords_Finish(&early);
    RegistryRecords_Finish(&late);
}

/* What one host saw removed does not come back from one that did not. */
static void
test_merge_keeps_removals(void)
{
    registry_records_t a;
    registry_records_t b;

    RegistryRecords_Init(&a, &driver, &counters);
    RegistryRecords_Init(&b, &driver, &counters);
    take(&a, PREFIX "e1", "10.0.0.1:1", 10);
    take(&a, PREFIX "e2", "10.0.0.2:1", 11);
    hear(&b, &a);
    take(&a, PREFIX "e1", NULL, 12);
    take(&b, PREFIX "e2", "10.0.0.3:1", 12);
    merge(&a, &b);
    RegistryRecords_PurgeRemoved(&a, 10 * Cbw_SEC);
    g_assert_cmpuint(count_endpoints(&a), ==, 1);
    hear(&b, &a);
    RegistryRecords_PurgeRemoved(&b, 10 * Cbw_SEC);
    if (RegistryRecords_Digest(&a) != RegistryRecords_Digest(&b)) {
        merge(&b, &a);
    }
    RegistryRecords_PurgeRemoved(&b, 10 * Cbw_SEC);
    g_assert_cmpuint(RegistryRecords_Digest(&a), ==,
                     RegistryRecords_Digest(&b));
    g_assert_cmpuint(count_endpoints(&b), ==, 1);
    /* The same endpoint, registered anew, is taken. */
    take(&a, PREFIX "e1", "10.0.0.1:1", 13);
    g_assert_cmpuint(count_endpoints(&a), ==, 2);
    RegistryRecords_Finish(&a);
    RegistryRecords_Finish(&b);
}

void
Suite_AddRegistry(void)
{
    g_test_add_func("/registry/changes-are-fetched", test_changes_are_fetched);
    g_test_add_func("/registry/one-revision-of-two-contents",
                    test_one_revision_of_two_contents);
    g_test_add_func("/registry/merge-keeps-removals",
                    test_merge_keeps_removals);
    g_test_add_func("/registry/version-never-goes-back",
                    test_version_never_goes_back);
    g_test_add_func("/registry/missed-change-is-announced-again",
                    test_missed_change_is_announced_again);
}
