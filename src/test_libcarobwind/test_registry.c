#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "carobwind/random.h"
#include "carobwindd/registry_records.h"
#include "suites.h"

#define CONFIG_KEY "config"
#define PREFIX "endpoints/"

/* The text of a test configuration record is its version number. */
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
    endpoint->leaving = strstr(text, "leaving") != NULL;
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
apply_record(registry_records_t *records, const char *key, const char *text,
             uint64_t version)
{
    store_item_t item = {.key = (char *)key,
                         .value = (char *)text,
                         .value_size = text != NULL ? strlen(text) : 0,
                         .version = version};

    RegistryRecords_Apply(records, &item, Cbw_SEC);
}

/* `to` fetches from `from` the changes after its own revision. */
static void
fetch_changes(registry_records_t *to, const registry_records_t *from)
{
    peer_store_result result = {0};

    if (from->revision <= to->revision) {
        return;
    }
    RegistryRecords_EncodeSince(from, to->revision, &result);
    RegistryRecords_ApplyFetched(to, &result, Cbw_SEC);
    xdr_free((xdrproc_t)xdr_peer_store_result, &result);
}

/* Includes removed registrations until they are purged. */
static guint
count_registrations(const registry_records_t *records)
{
    return g_hash_table_size(records->registrations);
}

/* Additions and removals reach a host that fetches them from a peer. */
static void
test_fetch_changes(void)
{
    registry_records_t a;
    registry_records_t b;

    RegistryRecords_Init(&a, &driver, &counters);
    RegistryRecords_Init(&b, &driver, &counters);
    apply_record(&a, CONFIG_KEY, "1", 10);
    apply_record(&a, PREFIX "e1", "10.0.0.1:1", 11);
    fetch_changes(&b, &a);
    g_assert_cmpint(b.base_inventory.version, ==, 1);
    g_assert_cmpuint(count_registrations(&b), ==, 1);
    apply_record(&a, PREFIX "e1", NULL, 12);
    fetch_changes(&b, &a);
    RegistryRecords_PurgeRemoved(&b, 10 * Cbw_SEC);
    g_assert_cmpuint(count_registrations(&b), ==, 0);
    RegistryRecords_Finish(&a);
    RegistryRecords_Finish(&b);
}

/* Guards against fetches without any change in them: a host may have a higher
 * revision with the content that the others have, as after a change that made
 * no difference. They take the revision over; only other content is fetched.
 */
static void
test_same_content_is_not_fetched(void)
{
    registry_records_t a;
    registry_records_t b;
    uint64_t digest;

    RegistryRecords_Init(&a, &driver, &counters);
    RegistryRecords_Init(&b, &driver, &counters);
    apply_record(&a, PREFIX "e1", "10.0.0.1:1", 10);
    apply_record(&b, PREFIX "e1", "10.0.0.1:1", 10);
    a.revision += 5;
    digest = RegistryRecords_Digest(&a);
    g_assert_cmpuint(a.revision, >, b.revision);
    g_assert_cmpint(RegistryRecords_Compare(&b, a.revision, digest), ==,
                    REGISTRY_KNOWN);
    g_assert_cmpuint(b.revision, ==, a.revision);
    apply_record(&a, PREFIX "e2", "10.0.0.2:1", 20);
    digest = RegistryRecords_Digest(&a);
    g_assert_cmpint(RegistryRecords_Compare(&b, a.revision, digest), ==,
                    REGISTRY_FETCH_CHANGES);
    g_assert_cmpint(RegistryRecords_Compare(&b, b.revision, digest), ==,
                    REGISTRY_FETCH_ALL);
    g_assert_cmpint(RegistryRecords_Compare(&b, b.revision - 1, digest), ==,
                    REGISTRY_KNOWN);
    fetch_changes(&b, &a);
    g_assert_cmpuint(count_registrations(&b), ==, 2);
    RegistryRecords_Finish(&a);
    RegistryRecords_Finish(&b);
}

#define MANY_RECORDS 800
/* Size of a registration of the users' platform. */
#define REGISTRATION_BYTES 170
/* Changes that share a store revision. */
#define CHANGES_TOGETHER 3

/* A host that starts gets the records of 2,400 endpoints page by page, from
 * two peers in turn, while registrations change and go. Guards against records
 * that fall between two pages, and against pages that take too long to send.
 */
static void
test_pages(void)
{
    registry_records_t peers[2];
    registry_records_t started;
    char text[REGISTRATION_BYTES + 1];
    char key[32];
    uint64_t since = 0;
    unsigned status = REGISTRY_RESULT_PARTIAL;
    int pages = 0;

    memset(text, 'x', REGISTRATION_BYTES);
    memcpy(text, "10.0.0.1:1", strlen("10.0.0.1:1"));
    text[REGISTRATION_BYTES] = '\0';
    RegistryRecords_Init(&started, &driver, &counters);
    for (int p = 0; p < 2; p++) {
        RegistryRecords_Init(&peers[p], &driver, &counters);
        apply_record(&peers[p], CONFIG_KEY, "1", 5);
        for (int i = 0; i < 3 * MANY_RECORDS; i++) {
            snprintf(key, sizeof(key), PREFIX "e%04d", i);
            apply_record(&peers[p], key, text,
                         10 + (uint64_t)(i / CHANGES_TOGETHER));
        }
    }
    while (status == REGISTRY_RESULT_PARTIAL && pages < 100) {
        peer_store_result result = {0};
        size_t bytes = 0;
        RegistryRecords_EncodeSince(&peers[pages % 2], since, &result);
        status = result.status;
        for (u_int i = 0; i < result.items.items_len; i++) {
            bytes += result.items.items_val[i].value.value_len;
        }
        g_assert_cmpuint(bytes, <,
                         REGISTRY_PAGE_BYTES + (size_t)(CHANGES_TOGETHER + 1) *
                                                   REGISTRATION_BYTES);
        g_assert_cmpuint(result.record_version, >, since);
        since = result.record_version;
        RegistryRecords_ApplyFetched(&started, &result, Cbw_SEC);
        xdr_free((xdrproc_t)xdr_peer_store_result, &result);
        pages++;
        /* One change and one removal between two pages, at both peers. */
        for (int p = 0; p < 2; p++) {
            snprintf(key, sizeof(key), PREFIX "e%04d", 7 * pages);
            apply_record(&peers[p], key, "10.0.0.2:1",
                         5000 + (uint64_t)(2 * pages));
            snprintf(key, sizeof(key), PREFIX "e%04d", 7 * pages + 1);
            apply_record(&peers[p], key, NULL, 5001 + (uint64_t)(2 * pages));
        }
    }
    g_assert_cmpint(pages, >, 3);
    g_assert_cmpint(status, ==, REGISTRY_RESULT_CHANGES);
    fetch_changes(&started, &peers[0]);
    g_assert_cmpuint(RegistryRecords_Digest(&started), ==,
                     RegistryRecords_Digest(&peers[0]));
    for (int p = 0; p < 2; p++) {
        RegistryRecords_Finish(&peers[p]);
    }
    RegistryRecords_Finish(&started);
}

/* Two hosts whose records differ altogether exchange them in pages of buckets.
 */
static void
test_differing_pages(void)
{
    registry_records_t a;
    registry_records_t b;
    char text[REGISTRATION_BYTES + 1];
    char key[32];
    int pages = 0;

    memset(text, 'x', REGISTRATION_BYTES);
    memcpy(text, "10.0.0.1:1", strlen("10.0.0.1:1"));
    text[REGISTRATION_BYTES] = '\0';
    RegistryRecords_Init(&a, &driver, &counters);
    RegistryRecords_Init(&b, &driver, &counters);
    apply_record(&a, CONFIG_KEY, "1", 5);
    for (int i = 0; i < 3 * MANY_RECORDS; i++) {
        snprintf(key, sizeof(key), PREFIX "e%04d", i);
        apply_record(&a, key, text, 10 + (uint64_t)i);
    }
    while (RegistryRecords_Digest(&a) != RegistryRecords_Digest(&b) &&
           pages < 100) {
        peer_store_result result = {0};
        uint64_t digests[REGISTRY_BUCKETS];
        RegistryRecords_BucketDigests(&b, digests);
        RegistryRecords_EncodeDiffering(&a, b.base_inventory.version, digests,
                                        &result);
        g_assert_cmpuint(result.items.items_len, >, 0);
        g_assert_cmpuint(result.items.items_len, <, 3 * MANY_RECORDS / 2);
        RegistryRecords_ApplyFetched(&b, &result, Cbw_SEC);
        xdr_free((xdrproc_t)xdr_peer_store_result, &result);
        pages++;
    }
    g_assert_cmpint(pages, >, 2);
    g_assert_cmpint(pages, <, 10);
    RegistryRecords_Finish(&a);
    RegistryRecords_Finish(&b);
}

/* Two hosts with many records differ in a few: these are exchanged, not all.
 */
static void
test_merge_differing(void)
{
    registry_records_t a;
    registry_records_t b;
    peer_store_result result = {0};
    uint64_t digests[REGISTRY_BUCKETS];
    char key[32];

    RegistryRecords_Init(&a, &driver, &counters);
    RegistryRecords_Init(&b, &driver, &counters);
    apply_record(&a, CONFIG_KEY, "1", 5);
    apply_record(&b, CONFIG_KEY, "1", 5);
    for (int i = 0; i < MANY_RECORDS; i++) {
        snprintf(key, sizeof(key), PREFIX "e%03d", i);
        apply_record(&a, key, "10.0.0.1:1", 10 + (uint64_t)i);
        apply_record(&b, key, "10.0.0.1:1", 10 + (uint64_t)i);
    }
    apply_record(&a, PREFIX "e007", "10.0.0.2:1", 2000);
    apply_record(&a, PREFIX "e008", NULL, 2001);
    apply_record(&b, PREFIX "e009", "10.0.0.3:1", 2001);
    RegistryRecords_BucketDigests(&b, digests);
    RegistryRecords_EncodeDiffering(&a, b.base_inventory.version, digests,
                                    &result);
    /* Three buckets of some seven records. */
    g_assert_cmpuint(result.items.items_len, <, 40);
    RegistryRecords_ApplyFetched(&b, &result, Cbw_SEC);
    xdr_free((xdrproc_t)xdr_peer_store_result, &result);
    memset(&result, 0, sizeof(result));
    RegistryRecords_BucketDigests(&a, digests);
    RegistryRecords_EncodeDiffering(&b, a.base_inventory.version, digests,
                                    &result);
    g_assert_cmpuint(result.items.items_len, <, 20);
    RegistryRecords_ApplyFetched(&a, &result, Cbw_SEC);
    xdr_free((xdrproc_t)xdr_peer_store_result, &result);
    g_assert_cmpuint(RegistryRecords_Digest(&a), ==,
                     RegistryRecords_Digest(&b));
    RegistryRecords_Finish(&a);
    RegistryRecords_Finish(&b);
}

#define LIST_SIZE 100

/* Guards against fetches that grow with the square of the fleet: the store
 * returns a list in the order of its keys, not of its versions. A host that
 * applied it in that order would renumber most records, so that its revision
 * exceeds that of the fleet, and all others would fetch all its records. A
 * host that reads the state that the others have must announce their revision.
 */
static void
test_list_keeps_revisions(void)
{
    registry_records_t fleet;
    registry_records_t newcomer;
    store_item_t items[LIST_SIZE];
    char keys[LIST_SIZE][32];

    RegistryRecords_Init(&fleet, &driver, &counters);
    RegistryRecords_Init(&newcomer, &driver, &counters);
    for (int i = 0; i < LIST_SIZE; i++) {
        snprintf(keys[i], sizeof(keys[i]), PREFIX "e%03d", i);
        /* 37 and the size are coprime, so each version occurs once. */
        items[i] =
            (store_item_t){.key = keys[i],
                           .value = (char *)"10.0.0.1:1",
                           .value_size = 10,
                           .version = 10 + (uint64_t)i * 37 % LIST_SIZE};
    }
    for (uint64_t version = 10; version < 10 + LIST_SIZE; version++) {
        for (int i = 0; i < LIST_SIZE; i++) {
            if (items[i].version == version) {
                RegistryRecords_Apply(&fleet, &items[i], Cbw_SEC);
            }
        }
    }
    RegistryRecords_ApplyAll(&newcomer, items, LIST_SIZE, Cbw_SEC);
    g_assert_cmpuint(newcomer.revision, ==, fleet.revision);
    g_assert_cmpuint(RegistryRecords_Digest(&newcomer), ==,
                     RegistryRecords_Digest(&fleet));
    RegistryRecords_Finish(&fleet);
    RegistryRecords_Finish(&newcomer);
}

/* The same for a host whose list was stale: it fetches from a peer what has
 * changed since, and ends at the peer's revision. */
static void
test_fetch_keeps_revisions(void)
{
    registry_records_t fleet;
    registry_records_t newcomer;
    char key[32];

    RegistryRecords_Init(&fleet, &driver, &counters);
    RegistryRecords_Init(&newcomer, &driver, &counters);
    apply_record(&newcomer, PREFIX "old", "10.0.0.9:1", 5);
    apply_record(&fleet, PREFIX "old", "10.0.0.9:1", 5);
    for (int i = 0; i < LIST_SIZE; i++) {
        snprintf(key, sizeof(key), PREFIX "e%03d", i * 37 % LIST_SIZE);
        apply_record(&fleet, key, "10.0.0.1:1", 10 + (uint64_t)i);
    }
    fetch_changes(&newcomer, &fleet);
    g_assert_cmpuint(newcomer.revision, ==, fleet.revision);
    g_assert_cmpuint(RegistryRecords_Digest(&newcomer), ==,
                     RegistryRecords_Digest(&fleet));
    RegistryRecords_Finish(&fleet);
    RegistryRecords_Finish(&newcomer);
}

/* A configuration record with a lower version is ignored, even when the store
 * delivers it at a later revision. */
static void
test_older_config_is_ignored(void)
{
    registry_records_t a;

    RegistryRecords_Init(&a, &driver, &counters);
    apply_record(&a, CONFIG_KEY, "3", 10);
    apply_record(&a, CONFIG_KEY, "2", 11);
    g_assert_cmpint(a.base_inventory.version, ==, 3);
    RegistryRecords_Finish(&a);
}

/* `from` announces its records to `to`, which fetches what it needs. Returns
 * the number of records that were sent. */
static size_t
announce(registry_records_t *to, const registry_records_t *from)
{
    peer_store_result result = {0};
    uint64_t digests[REGISTRY_BUCKETS];
    size_t sent;

    switch (RegistryRecords_Compare(to, from->revision,
                                    RegistryRecords_Digest(from))) {
    case REGISTRY_FETCH_CHANGES:
        RegistryRecords_EncodeSince(from, to->revision, &result);
        break;
    case REGISTRY_FETCH_ALL:
        RegistryRecords_BucketDigests(to, digests);
        RegistryRecords_EncodeDiffering(from, to->base_inventory.version,
                                        digests, &result);
        break;
    default:
        return 0;
    }
    RegistryRecords_ApplyFetched(to, &result, Cbw_SEC);
    sent = result.items.items_len;
    xdr_free((xdrproc_t)xdr_peer_store_result, &result);
    return sent;
}

/* Guards against a missed change that never spreads. One host polls a change
 * that all watches missed while another host learns of a later change. Each of
 * them has what the other lacks, and a third one has heard of the later change
 * only. */
static void
test_missed_change_spreads(void)
{
    registry_records_t poller;
    registry_records_t watcher;
    registry_records_t other;

    RegistryRecords_Init(&poller, &driver, &counters);
    RegistryRecords_Init(&watcher, &driver, &counters);
    RegistryRecords_Init(&other, &driver, &counters);
    apply_record(&watcher, CONFIG_KEY, "1", 10);
    apply_record(&watcher, PREFIX "e1", "10.0.0.1:1", 12);
    announce(&poller, &watcher);
    announce(&other, &watcher);
    apply_record(&poller, CONFIG_KEY, "2", 11); /* missed, then polled */
    apply_record(&watcher, PREFIX "e2", "10.0.0.2:1", 13);
    announce(&other, &watcher);
    announce(&other, &poller); /* of a lower revision: not fetched */
    g_assert_cmpint(other.base_inventory.version, ==, 1);
    announce(&poller, &other);
    announce(&other, &poller);
    announce(&watcher, &poller);
    g_assert_cmpint(other.base_inventory.version, ==, 2);
    g_assert_cmpuint(count_registrations(&other), ==, 2);
    g_assert_cmpint(watcher.base_inventory.version, ==, 2);
    g_assert_cmpuint(count_registrations(&poller), ==, 2);
    RegistryRecords_Finish(&poller);
    RegistryRecords_Finish(&watcher);
    RegistryRecords_Finish(&other);
}

#define FLEET_HOSTS 40
#define FLEET_RECORDS 200
#define ROUNDS_MAX 10

static bool
agree(const registry_records_t *fleet)
{
    for (int i = 1; i < FLEET_HOSTS; i++) {
        if (RegistryRecords_Digest(&fleet[i]) !=
            RegistryRecords_Digest(&fleet[0])) {
            return false;
        }
    }
    return true;
}

/* All hosts start while endpoints register: each has read another state of the
 * store, in pages, so that it lacks some records below its latest one.
 * Announcing to three others a round, as probes do, they agree after a few
 * rounds, and a record is not sent to a host more than a few times. */
static void
test_start_converges(void)
{
    static registry_records_t fleet[FLEET_HOSTS];
    cbw_random_t random;
    char key[32];
    size_t sent = 0;
    int rounds = 0;

    CbwRandom_Init(&random, 41);
    for (int i = 0; i < FLEET_HOSTS; i++) {
        uint64_t read_at = CbwRandom_Below(&random, FLEET_RECORDS);
        RegistryRecords_Init(&fleet[i], &driver, &counters);
        for (uint64_t j = 0; j <= read_at; j++) {
            snprintf(key, sizeof(key), PREFIX "e%03d", (int)(j * 37 % 200));
            if (i == 0 || CbwRandom_Below(&random, 10) != 0) {
                apply_record(&fleet[i], key, "10.0.0.1:1", 10 + j);
            }
        }
    }
    while (!agree(fleet) && rounds < 100) {
        rounds++;
        for (int i = 0; i < FLEET_HOSTS; i++) {
            for (int k = 0; k < 3; k++) {
                size_t to = (size_t)CbwRandom_Below(&random, FLEET_HOSTS);
                sent += announce(&fleet[to], &fleet[i]);
            }
        }
    }
    g_test_message("%d rounds, %zu records sent", rounds, sent);
    g_assert_cmpint(rounds, <=, ROUNDS_MAX);
    g_assert_cmpuint(sent, <=, (size_t)3 * FLEET_HOSTS * FLEET_RECORDS);
    for (int i = 0; i < FLEET_HOSTS; i++) {
        RegistryRecords_Finish(&fleet[i]);
    }
}

/* Both hosts announce the same revision with different content: `to` fetches
 * all records of `from`. */
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

/* Guards against hosts that keep different configurations under one revision.
 * When all hosts start together, each reads a different state of the store and
 * assigns its own revisions, which may be equal. */
static void
test_merge_same_revision(void)
{
    registry_records_t early;
    registry_records_t late;

    RegistryRecords_Init(&early, &driver, &counters);
    RegistryRecords_Init(&late, &driver, &counters);
    apply_record(&early, PREFIX "e1", "10.0.0.1:1", 10);
    apply_record(&early, CONFIG_KEY, "20", 8);
    apply_record(&late, PREFIX "e1", "10.0.0.1:1", 10);
    apply_record(&late, CONFIG_KEY, "23", 9);
    fetch_changes(&early, &late);
    g_assert_cmpint(early.base_inventory.version, ==, 20);
    merge(&early, &late);
    g_assert_cmpint(early.base_inventory.version, ==, 23);
    g_assert_cmpuint(RegistryRecords_Digest(&early), ==,
                     RegistryRecords_Digest(&late));
    RegistryRecords_Finish(&early);
    RegistryRecords_Finish(&late);
}

/* Guards against a removed registration that returns from a host which has not
 * seen its removal. */
static void
test_merge_removals(void)
{
    registry_records_t a;
    registry_records_t b;

    RegistryRecords_Init(&a, &driver, &counters);
    RegistryRecords_Init(&b, &driver, &counters);
    apply_record(&a, PREFIX "e1", "10.0.0.1:1", 10);
    apply_record(&a, PREFIX "e2", "10.0.0.2:1", 11);
    fetch_changes(&b, &a);
    apply_record(&a, PREFIX "e1", NULL, 12);
    apply_record(&b, PREFIX "e2", "10.0.0.3:1", 12);
    merge(&a, &b);
    RegistryRecords_PurgeRemoved(&a, 10 * Cbw_SEC);
    g_assert_cmpuint(count_registrations(&a), ==, 1);
    fetch_changes(&b, &a);
    RegistryRecords_PurgeRemoved(&b, 10 * Cbw_SEC);
    if (RegistryRecords_Digest(&a) != RegistryRecords_Digest(&b)) {
        merge(&b, &a);
    }
    RegistryRecords_PurgeRemoved(&b, 10 * Cbw_SEC);
    g_assert_cmpuint(RegistryRecords_Digest(&a), ==,
                     RegistryRecords_Digest(&b));
    g_assert_cmpuint(count_registrations(&b), ==, 1);
    /* A new registration of the same endpoint is accepted. */
    apply_record(&a, PREFIX "e1", "10.0.0.1:1", 13);
    g_assert_cmpuint(count_registrations(&a), ==, 2);
    RegistryRecords_Finish(&a);
    RegistryRecords_Finish(&b);
}

/* The digests that a host maintains are those of a host that has just fetched
 * its records, regardless of the changes that led to these. */
static void
test_digests_follow_changes(void)
{
    cbw_random_t random;
    registry_records_t changed;
    uint64_t version = 10;
    cbw_time_t now = Cbw_SEC;

    CbwRandom_Init(&random, 1);
    RegistryRecords_Init(&changed, &driver, &counters);
    for (int step = 0; step < 2000; step++) {
        char key[32];
        char text[32];
        store_item_t item = {.key = key, .value = text, .version = version};
        registry_records_t fresh;
        peer_store_result result = {0};
        uint64_t digests[2][REGISTRY_BUCKETS];
        snprintf(key, sizeof(key), PREFIX "e%d",
                 (int)CbwRandom_Below(&random, 12));
        item.value_size = (size_t)snprintf(text, sizeof(text), "10.0.0.%d:1",
                                           (int)CbwRandom_Below(&random, 3));
        switch (CbwRandom_Below(&random, 6)) {
        case 0:
            item.value = NULL; /* removed */
            item.value_size = 0;
            break;
        case 1:
            text[3] = '\0'; /* cannot be used */
            break;
        default:
            break;
        }
        RegistryRecords_Apply(&changed, &item, now);
        now += (cbw_time_t)CbwRandom_Below(&random, Cbw_SEC);
        RegistryRecords_PurgeRemoved(&changed, now);
        RegistryRecords_Init(&fresh, &driver, &counters);
        RegistryRecords_EncodeSince(&changed, 0, &result);
        RegistryRecords_ApplyFetched(&fresh, &result, now);
        g_assert_cmpuint(RegistryRecords_Digest(&changed), ==,
                         RegistryRecords_Digest(&fresh));
        RegistryRecords_BucketDigests(&changed, digests[0]);
        RegistryRecords_BucketDigests(&fresh, digests[1]);
        g_assert_cmpmem(digests[0], sizeof(digests[0]), digests[1],
                        sizeof(digests[1]));
        xdr_free((xdrproc_t)xdr_peer_store_result, &result);
        RegistryRecords_Finish(&fresh);
        version++;
    }
    RegistryRecords_Finish(&changed);
}

/* An endpoint's time to leave runs from the first registration that says so:
 * later ones do not prolong it. */
static void
test_leaving_since(void)
{
    static const struct {
        const char *text;
        cbw_time_t applied_at;
        cbw_time_t leaving_since;
    } steps[] = {
        {"address", 1 * Cbw_SEC, 0},
        {"address leaving", 2 * Cbw_SEC, 2 * Cbw_SEC},
        {"other address leaving", 5 * Cbw_SEC, 2 * Cbw_SEC},
        {"other address", 6 * Cbw_SEC, 0},
        {"other address leaving", 7 * Cbw_SEC, 7 * Cbw_SEC},
    };
    cbw_database_t database = {.name = "db"};
    registry_records_t records;

    RegistryRecords_Init(&records, &driver, &counters);
    apply_record(&records, CONFIG_KEY, "1", 1);
    records.base_inventory.databases = &database;
    records.base_inventory.database_count = 1;
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        store_item_t item = {.key = (char *)PREFIX "a",
                             .value = (char *)steps[i].text,
                             .value_size = strlen(steps[i].text),
                             .version = 2 + i};
        config_t *config;
        RegistryRecords_Apply(&records, &item, steps[i].applied_at);
        config = RegistryRecords_MakeConfig(&records);
        g_assert_cmpint(config->inventory.databases[0].endpoint_count, ==, 1);
        g_assert_cmpint(
            config->inventory.databases[0].endpoints[0].leaving_since, ==,
            steps[i].leaving_since);
        Config_Unref(config);
    }
    records.base_inventory.databases = NULL;
    records.base_inventory.database_count = 0;
    RegistryRecords_Finish(&records);
}

void
Suite_AddRegistry(void)
{
    g_test_add_func("/registry/leaving-since", test_leaving_since);
    g_test_add_func("/registry/digests-follow-changes",
                    test_digests_follow_changes);
    g_test_add_func("/registry/fetch-changes", test_fetch_changes);
    g_test_add_func("/registry/same-content-is-not-fetched",
                    test_same_content_is_not_fetched);
    g_test_add_func("/registry/pages", test_pages);
    g_test_add_func("/registry/differing-pages", test_differing_pages);
    g_test_add_func("/registry/merge-differing", test_merge_differing);
    g_test_add_func("/registry/list-keeps-revisions",
                    test_list_keeps_revisions);
    g_test_add_func("/registry/fetch-keeps-revisions",
                    test_fetch_keeps_revisions);
    g_test_add_func("/registry/merge-same-revision", test_merge_same_revision);
    g_test_add_func("/registry/merge-removals", test_merge_removals);
    g_test_add_func("/registry/older-config-is-ignored",
                    test_older_config_is_ignored);
    g_test_add_func("/registry/missed-change-spreads",
                    test_missed_change_spreads);
    g_test_add_func("/registry/start-converges", test_start_converges);
}
