/* What a host knows of the operators' record and of the endpoints'
 * registrations, and how it tells peers what has changed: each change gets a
 * revision of the host's own, the store's where that is higher. Without
 * sockets or clock; `now` is an argument. */
#ifndef CAROBWINDD_REGISTRY_RECORDS_H
#define CAROBWINDD_REGISTRY_RECORDS_H

#include <glib.h>

#include "drivers.h"

/* Removals that are kept to send differences from. */
#define REGISTRY_REMOVALS_MAX 512

typedef struct {
    char key[Cbw_NAME_MAX + 16];
    uint64_t learned_revision; /* the revision at which it came to be known */
    uint64_t removed_revision; /* the store's, or later */
    uint64_t version;          /* of the record that was removed */
} removal_t;

typedef struct {
    const registry_driver_t *driver;
    cbw_counters_t *counters;
    char *config_text; /* as the operators wrote it; owned */
    size_t config_size;
    uint64_t config_learned_revision; /* the revision at which it came to be
                                         known */
    uint64_t revision;                /* of the latest change that is known */
    removal_t removals[REGISTRY_REMOVALS_MAX];
    size_t removal_total;           /* ever */
    GHashTable *registrations;      /* by key; owned */
    cbw_inventory_t base_inventory; /* without endpoints */
    bool configured;                /* an operators' record is known */
    bool changed;                   /* since the caller cleared it */
} registry_records_t;

void RegistryRecords_Init(registry_records_t *records,
                          const registry_driver_t *driver,
                          cbw_counters_t *counters);
void RegistryRecords_Finish(registry_records_t *records);
/* Takes in a record of the store, or its removal. */
void RegistryRecords_Apply(registry_records_t *records,
                           const store_item_t *item, cbw_time_t now);
/* Around the records of a complete list made at the store's revision
 * `version`: registrations that do not stand in it are removed. */
void RegistryRecords_BeginSnapshot(registry_records_t *records);
void RegistryRecords_EndSnapshot(registry_records_t *records, uint64_t version,
                                 cbw_time_t now);
/* Drops removed registrations whose time to come back is over. */
void RegistryRecords_PurgeRemoved(registry_records_t *records, cbw_time_t now);
/* Gives what came to be known after `since` a new revision, so that peers ask
 * for it again. */
void RegistryRecords_Reannounce(registry_records_t *records, uint64_t since);
/* Fills an answer for a peer that knows all up to `since`; 0: nothing. */
void RegistryRecords_EncodeSince(const registry_records_t *records,
                                 uint64_t since, peer_store_result *result);
/* Fills one with all that is known, as changes: for a peer that announced the
 * same revision for other content. Both take the later state of each record.
 */
void RegistryRecords_EncodeAll(const registry_records_t *records,
                               peer_store_result *result);
/* Takes in such an answer. */
void RegistryRecords_ApplyFetched(registry_records_t *records,
                                  const peer_store_result *result,
                                  cbw_time_t now);
/* Sums up the records in use: hosts whose digests differ know different
 * things, though their revisions be the same. */
uint64_t RegistryRecords_Digest(const registry_records_t *records);
/* The inventory that the records make up; one reference, the caller's. */
config_t *RegistryRecords_MakeConfig(const registry_records_t *records);

#endif
