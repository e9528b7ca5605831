#include "store.h"

#include <string.h>

static void
free_record(void *pointer)
{
    record_t *record = pointer;

    g_free(record->value);
    g_free(record);
}

static void
free_lease(void *pointer)
{
    lease_t *lease = pointer;

    g_free(lease->holder);
    g_free(lease);
}

void
Store_Init(store_t *store)
{
    store->records =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_record);
    store->leases =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_lease);
}

void
Store_Finish(store_t *store)
{
    g_hash_table_destroy(store->records);
    g_hash_table_destroy(store->leases);
}

const record_t *
Store_Get(const store_t *store, const char *key)
{
    return g_hash_table_lookup(store->records, key);
}

uint64_t
Store_Swap(store_t *store, const char *key, uint64_t expected,
           const char *value)
{
    record_t *record = g_hash_table_lookup(store->records, key);

    if ((record != NULL ? record->version : 0) != expected) {
        return 0;
    }
    if (record == NULL) {
        record = g_new0(record_t, 1);
        g_hash_table_insert(store->records, g_strdup(key), record);
    }
    g_free(record->value);
    record->value = g_strdup(value);
    return ++record->version;
}

bool
Store_AcquireLease(store_t *store, cbw_time_t now, const char *name,
                   const char *holder, cbw_time_t length)
{
    lease_t *lease = g_hash_table_lookup(store->leases, name);

    if (lease != NULL && now < lease->expires_at &&
        strcmp(lease->holder, holder) != 0) {
        return false;
    }
    if (lease == NULL) {
        lease = g_new0(lease_t, 1);
        g_hash_table_insert(store->leases, g_strdup(name), lease);
    }
    g_free(lease->holder);
    lease->holder = g_strdup(holder);
    lease->expires_at = now + length;
    return true;
}
