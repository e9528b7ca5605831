#include "carobwind/access.h"

#include <stdio.h>

cbw_access_result_t
CbwAccess_Check(cbw_access_t *access, const cbw_inventory_t *inventory)
{
    const cbw_kind_t *kind = CbwInventory_FindKind(inventory, access->kind);
    const cbw_workspace_t *workspace;

    if (kind == NULL) {
        return CBW_ACCESS_NO_KIND;
    }
    access->workspace[0] = '\0';
    if (kind->is_public || inventory->workspace_count == 0) {
        return CBW_ACCESS_GRANTED;
    }
    workspace = CbwInventory_FindWorkspaceByKey(inventory, access->key);
    if (workspace == NULL) {
        return CBW_ACCESS_NO_KEY;
    }
    snprintf(access->workspace, sizeof(access->workspace), "%s",
             workspace->name);
    return CBW_ACCESS_GRANTED;
}

bool
CbwAccess_MayContinue(cbw_access_t *access, cbw_time_t now,
                      const cbw_inventory_t *inventory, bool in_transaction)
{
    cbw_access_t checked = *access;

    if (inventory->workspace_count == 0) {
        return true;
    }
    if (CbwAccess_Check(&checked, inventory) == CBW_ACCESS_GRANTED) {
        /* A transaction keeps the connection of the workspace in which it
         * began. */
        if (!in_transaction) {
            *access = checked;
        }
        access->revoked_at = 0;
        return true;
    }
    if (!in_transaction) {
        return false;
    }
    if (access->revoked_at == 0) {
        access->revoked_at = now;
    }
    return now - access->revoked_at < Cbw_ACCESS_TRANSACTION_GRACE;
}
