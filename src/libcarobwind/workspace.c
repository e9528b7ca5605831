#include "carobwind/workspace.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "carobwind/inventory.h"

cbw_key_hash_t
CbwWorkspace_HashKey(const char *key)
{
    XXH128_hash_t hash = XXH3_128bits(key, strlen(key));

    return (cbw_key_hash_t){.high = hash.high64, .low = hash.low64};
}

int
CbwWorkspace_CompareKeys(cbw_key_hash_t a, cbw_key_hash_t b)
{
    if (a.high != b.high) {
        return a.high < b.high ? -1 : 1;
    }
    if (a.low != b.low) {
        return a.low < b.low ? -1 : 1;
    }
    return 0;
}

double
CbwWorkspace_MeanRate(const cbw_workspace_t *workspaces, size_t count)
{
    double sum = 0;
    size_t limited = 0;

    for (size_t i = 0; i < count; i++) {
        if (workspaces[i].rate > 0) {
            sum += workspaces[i].rate;
            limited++;
        }
    }
    return limited > 0 ? sum / (double)limited : 0;
}

static int
compare_name(const void *name, const void *workspace)
{
    return strcmp(name, ((const cbw_workspace_t *)workspace)->name);
}

const cbw_workspace_t *
CbwInventory_FindWorkspace(const cbw_inventory_t *inventory, const char *name)
{
    if (inventory->workspace_count == 0) {
        return NULL;
    }
    return bsearch(name, inventory->workspaces, inventory->workspace_count,
                   sizeof(*inventory->workspaces), compare_name);
}

static int
compare_hash(const void *hash, const void *key)
{
    return CbwWorkspace_CompareKeys(*(const cbw_key_hash_t *)hash,
                                    ((const cbw_workspace_key_t *)key)->hash);
}

const cbw_workspace_t *
CbwInventory_FindWorkspaceByKey(const cbw_inventory_t *inventory,
                                cbw_key_hash_t hash)
{
    const cbw_workspace_key_t *key;

    if (inventory->key_count == 0) {
        return NULL;
    }
    key = bsearch(&hash, inventory->keys, inventory->key_count,
                  sizeof(*inventory->keys), compare_hash);
    return key != NULL ? &inventory->workspaces[key->workspace] : NULL;
}
