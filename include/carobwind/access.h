/* Access control of callers: whether a session may start, and whether it may
 * continue after the configuration has changed.
 *
 * With workspaces, a caller sends a key when its session starts. It identifies
 * the workspace, unless the kind is public. Without workspaces, keys are
 * ignored. */
#ifndef CAROBWIND_ACCESS_H
#define CAROBWIND_ACCESS_H

#include "carobwind/inventory.h"

/* A session whose access was revoked in a transaction is closed after this
 * time. Together with the time in which a configuration spreads, this is less
 * than the 5 s for which a revoked key may remain in use. */
#define Cbw_ACCESS_TRANSACTION_GRACE (2 * Cbw_SEC)

typedef enum {
    CBW_ACCESS_GRANTED,
    CBW_ACCESS_NO_KIND, /* no kind has the name */
    CBW_ACCESS_NO_KEY,  /* no workspace has the key */
} cbw_access_result_t;

/* What a caller sent, and the workspace that was found. */
typedef struct {
    char kind[Cbw_NAME_MAX]; /* "": the session has not started */
    cbw_key_hash_t key;
    char workspace[Cbw_NAME_MAX]; /* "": none */
    /* When the access was revoked in a transaction; 0: not revoked. */
    cbw_time_t revoked_at;
} cbw_access_t;

/* Checks the access by the inventory, and sets `workspace` if it is granted.
 */
cbw_access_result_t CbwAccess_Check(cbw_access_t *access,
                                    const cbw_inventory_t *inventory);
/* Applies a changed inventory to a session that has started. Returns whether
 * it may continue. In a transaction, it may until Cbw_ACCESS_TRANSACTION_GRACE
 * after a revocation, and keeps its workspace. Without workspaces it always
 * may. */
bool CbwAccess_MayContinue(cbw_access_t *access, cbw_time_t now,
                           const cbw_inventory_t *inventory,
                           bool in_transaction);

#endif
