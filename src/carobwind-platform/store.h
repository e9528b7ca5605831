/* The key-value part of the platform stand-in: versions, compare-and-swap and
 * leases. */
#ifndef CAROBWIND_PLATFORM_STORE_H
#define CAROBWIND_PLATFORM_STORE_H

#include <glib.h>

#include "carobwind/types.h"

/* Longest value, in bytes. */
#define VALUE_SIZE_MAX ((size_t)1024 * 1024)

typedef struct {
    char *value;
    uint64_t version; /* from 1 */
} record_t;

typedef struct {
    char *holder;
    cbw_time_t expires_at;
} lease_t;

typedef struct {
    GHashTable *records;
    GHashTable *leases;
} store_t;

void Store_Init(store_t *store);
void Store_Finish(store_t *store);
/* NULL when there is no such record. */
const record_t *Store_Get(const store_t *store, const char *key);
/* Swaps the value if the version is `expected` (0: no record yet). Returns the
 * new version, or 0 when it was another. */
uint64_t Store_Swap(store_t *store, const char *key, uint64_t expected,
                    const char *value);
/* Takes or renews a lease. Returns whether `holder` has it now. */
bool Store_AcquireLease(store_t *store, cbw_time_t now, const char *name,
                        const char *holder, cbw_time_t length);

#endif
