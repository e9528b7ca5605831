/* A host's copy of the configuration record and of the endpoint registrations,
 * and the change log that peers fetch from it. Three numbers are in use:
 *
 * - The store revision grows with each write to the store. The `version` of a
 *   registration is the store revision of its last write.
 * - The registry revision is the store revision of the latest change that a
 *   host knows. Peers compare it, and a digest of the records besides, since a
 *   host may have missed earlier changes.
 * - The configuration version is written by the operators into the
 *   configuration record.
 *
 * Uses no sockets and no clock; `now` is an argument. */
#ifndef CAROBWINDD_REGISTRY_RECORDS_H
#define CAROBWINDD_REGISTRY_RECORDS_H

#include <glib.h>

#include "drivers.h"

/* Number of latest removals that are kept, to answer peers with changes rather
 * than with a complete snapshot. */
#define REGISTRY_REMOVALS_MAX 512
/* Number of buckets into which registrations are divided by the hash of their
 * keys, so that hosts whose records differ exchange only some of them. */
#define REGISTRY_BUCKETS 128

/* A result for a peer ends with the record that exceeds this many bytes, so
 * that a slow or lost answer costs little: 0.1 s on a link of 10 Mbit/s. */
#define REGISTRY_PAGE_BYTES ((size_t)128 * 1024)

/* What the items of a result are, the `status` of a peer_store_result. */
typedef enum {
    REGISTRY_RESULT_CHANGES,  /* records and removals */
    REGISTRY_RESULT_COMPLETE, /* all records */
    REGISTRY_RESULT_PARTIAL,  /* changes, and later ones remain */
    REGISTRY_RESULT_LOADING,  /* none: the peer is loading them itself */
} registry_result_t;

/* An endpoint's registration. */
typedef struct {
    char key[Cbw_NAME_MAX + 16];
    cbw_endpoint_t endpoint;
    char database[Cbw_NAME_MAX];
    uint64_t registry_revision; /* of the latest change */
    char *text;                 /* the record as registered; owned */
    size_t text_size;
    uint64_t version;    /* store revision of the last write */
    bool in_snapshot;    /* it is in the list that is being applied */
    cbw_time_t purge_at; /* removed, and kept until then; 0: not removed */
} registration_t;

/* The removal of a registration. Kept so that peers can fetch it, and so that
 * a stale read of the store does not bring the registration back. */
typedef struct {
    char key[Cbw_NAME_MAX + 16];
    uint64_t registry_revision; /* when this host learned of the removal */
    uint64_t store_revision;    /* at which the removal was known */
    /* Version of the removed record. The registration is accepted again only
     * with a later version; 0: with any version. */
    uint64_t version;
} removal_t;

/* Initialized by RegistryRecords_Init; owns its allocations. */
typedef struct {
    const registry_driver_t *driver;
    cbw_counters_t *counters;
    char *config_text; /* with hashes in place of callers' keys */
    size_t config_size;
    uint64_t config_registry_revision; /* of the record's last change */
    uint64_t revision;                 /* of the latest change */
    removal_t removals[REGISTRY_REMOVALS_MAX];
    size_t removal_total; /* since the start; indexes the ring `removals` */
    GHashTable *registrations; /* registration_t by key */
    /* Sums of the hashes of the registrations that are not removed. */
    uint64_t bucket_digests[REGISTRY_BUCKETS];
    cbw_inventory_t base_inventory; /* as configured, without endpoints */
    bool configured;                /* a configuration record is known */
    bool changed;                   /* until the registry task clears it */
} registry_records_t;

void RegistryRecords_Init(registry_records_t *records,
                          const registry_driver_t *driver,
                          cbw_counters_t *counters);
void RegistryRecords_Finish(registry_records_t *records);
/* Applies a record of the store, or its removal. A record that is older than
 * the known one has no effect. */
void RegistryRecords_Apply(registry_records_t *records,
                           const store_item_t *item, cbw_time_t now);
/* Applies records in the order of their versions, so that they keep these as
 * their registry revisions: a host that reads the state which others have
 * announces the same revision as they do. Sorts `items`. */
void RegistryRecords_ApplyAll(registry_records_t *records, store_item_t *items,
                              size_t count, cbw_time_t now);
/* Enclose the calls for a complete list of registrations that the store
 * returned at its revision `store_revision`. Registrations that are missing
 * from the list, and are not newer than it, are removed. */
void RegistryRecords_BeginSnapshot(registry_records_t *records);
void RegistryRecords_EndSnapshot(registry_records_t *records,
                                 uint64_t store_revision, cbw_time_t now);
/* Drops removed registrations whose grace period is over. Until then they stay
 * in the inventory, since an endpoint whose registration expired during a
 * store outage registers again soon after the outage. */
void RegistryRecords_PurgeRemoved(registry_records_t *records, cbw_time_t now);
/* What a host has to fetch from a peer that announces its records. */
typedef enum {
    REGISTRY_KNOWN, /* nothing */
    REGISTRY_FETCH_CHANGES,
    REGISTRY_FETCH_ALL, /* other content under the same revision */
} registry_need_t;

/* Compares the records with what a peer announces. If the content is the same,
 * adopts a higher revision. */
registry_need_t RegistryRecords_Compare(registry_records_t *records,
                                        uint64_t revision, uint64_t digest);
/* Fills `result` for a peer that has this host's changes up to registry
 * revision `since`. The result is a complete snapshot if removals that the
 * peer needs were overwritten, or if `since` is 0 and it fits into one page.
 * More than a page of changes is cut after the changes of one registry
 * revision, the result's `record_version`. */
void RegistryRecords_EncodeSince(const registry_records_t *records,
                                 uint64_t since, peer_store_result *result);
/* Fills `result` with all records and removals, marked as changes and not as
 * a snapshot. Meant for a peer that announced the same registry revision with
 * different content: for each record the later version wins on both hosts. */
void RegistryRecords_EncodeAll(const registry_records_t *records,
                               peer_store_result *result);
/* Returns the index of the bucket that the registration `key` belongs to. */
size_t RegistryRecords_Bucket(const char *key);
/* Writes a digest of each bucket to `digests`. */
void RegistryRecords_BucketDigests(const registry_records_t *records,
                                   uint64_t digests[REGISTRY_BUCKETS]);
/* Fills `result` like RegistryRecords_EncodeAll, but only with what is in the
 * buckets whose digests differ from the peer's `digests`, and with the
 * configuration if it is later than the peer's version. Stops after the bucket
 * that fills a page. */
void RegistryRecords_EncodeDiffering(const registry_records_t *records,
                                     int64_t config_version,
                                     const uint64_t digests[REGISTRY_BUCKETS],
                                     peer_store_result *result);
/* Applies a result that a peer filled by one of the functions above. */
void RegistryRecords_ApplyFetched(registry_records_t *records,
                                  const peer_store_result *result,
                                  cbw_time_t now);
/* Returns a digest of the records in use. Hosts with the same registry
 * revision and different digests have different records. */
uint64_t RegistryRecords_Digest(const registry_records_t *records);
/* Builds the configuration with its complete inventory from the records. The
 * caller owns the one reference. */
config_t *RegistryRecords_MakeConfig(const registry_records_t *records);

#endif
