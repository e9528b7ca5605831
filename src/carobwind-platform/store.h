/* The key-value store of the platform stand-in: versioned values with
 * compare-and-swap, and leases, in memory only. */
#ifndef CAROBWIND_PLATFORM_STORE_H
#define CAROBWIND_PLATFORM_STORE_H

#include <glib.h>

#include "carobwind/types.h"

/* Maximum size of a value, in bytes. */
#define VALUE_SIZE_MAX ((size_t)1024 * 1024)

typedef struct {
    char *value;
    uint64_t version; /* 1 for the first value; each swap increments it */
} record_t;

typedef struct {
    char *holder; /* identifies the holder */
    cbw_time_t expires_at;
} lease_t;

typedef struct {
    GHashTable *records; /* key to record_t */
    GHashTable *leases;  /* name to lease_t */
} store_t;

void Store_Init(store_t *store);
void Store_Finish(store_t *store);
/* Returns the record of `key`, or NULL when there is none. */
const record_t *Store_Get(const store_t *store, const char *key);
/* Replaces the value of `key` if its version is `expected_version` (0: no
 * record yet). Returns the new version, or 0 when the key has another version.
 */
uint64_t Store_Swap(store_t *store, const char *key, uint64_t expected_version,
                    const char *value);
/* Acquires or renews a lease of `duration` for `holder`. Returns false when
 * the lease of another holder has not expired. */
bool Store_AcquireLease(store_t *store, cbw_time_t now, const char *name,
                        const char *holder, cbw_time_t duration);

#endif
