/* Workspaces: the callers of one customer, which share a limit on operations
 * and the keys that identify them. They are part of the inventory (registry
 * only) and bind all databases.
 *
 * Only a hash of a key is kept, so that no record, message or log line made
 * from the inventory can reveal it. */
#ifndef CAROBWIND_WORKSPACE_H
#define CAROBWIND_WORKSPACE_H

#include <stddef.h>

#include "carobwind/types.h"

/* Maximum number of workspaces of an inventory, and of keys of a workspace. */
#define Cbw_WORKSPACES_MAX 4096
#define Cbw_WORKSPACE_KEYS_MAX 8

/* Hash of a caller's key. */
typedef struct {
    uint64_t high;
    uint64_t low;
} cbw_key_hash_t;

typedef struct {
    char name[Cbw_NAME_MAX];
    int rank;
    /* Limit for the whole fleet, in operations per second, and its burst, in
     * operations. `rate` 0: no limit. */
    double rate;
    double burst;
} cbw_workspace_t;

/* A key and its workspace, an index into the inventory's workspaces. */
typedef struct {
    cbw_key_hash_t hash;
    uint32_t workspace;
} cbw_workspace_key_t;

/* Returns the hash of a key. The same on all hosts. */
cbw_key_hash_t CbwWorkspace_HashKey(const char *key);
/* Returns the mean rate of the workspaces that have a limit, 0 when none has.
 */
double CbwWorkspace_MeanRate(const cbw_workspace_t *workspaces, size_t count);
/* Returns a value less than, equal to or greater than 0, as memcmp does. */
int CbwWorkspace_CompareKeys(cbw_key_hash_t a, cbw_key_hash_t b);

#endif
