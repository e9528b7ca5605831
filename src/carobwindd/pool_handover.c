#include "pool_handover.h"

#include <stdlib.h>
#include <string.h>

#include "carobwind/log.h"
#include "carobwind/placement.h"
#include "share/net.h"

static bool
is_this_host(void *context, const char *name)
{
    (void)context;
    return strcmp(name, PoolTask_State.daemon->settings.name) == 0;
}

bool
PoolHandover_AskNextOwner(const pool_instance_t *instance, void *context)
{
    const cbw_database_t *database = CbwInventory_FindDatabase(
        &PoolTask_State.config->inventory, instance->pool.database);
    const cbw_member_t *next;
    outbound_t *outbound;

    if (database == NULL) {
        return false;
    }
    next = CbwPlacement_FindOwner(&PoolTask_State.view->membership,
                                  &PoolTask_State.daemon->settings.regions,
                                  database, is_this_host, NULL);
    if (next == NULL) {
        return false;
    }
    outbound = Outbound_New(PEER_PREPARE, next->record.address);
    memcpy(outbound->name, next->record.name, sizeof(outbound->name));
    outbound->args.prepare.database = strdup(database->name);
    outbound->timeout = POOL_PREPARE_TIMEOUT;
    outbound->reply_to = TASK_OWNER;
    outbound->context = context;
    Task_Post(TASK_OWNER, TASK_PEER, MESSAGE_OUTBOUND, &outbound->message);
    return true;
}

void
PoolHandover_Tick(pool_instance_t *instance, cbw_time_t now)
{
    const cbw_pool_t *pool = &instance->pool;
    bool may_leave = !PoolTask_State.draining && !instance->unconfigured &&
                     pool->phase == CBW_POOL_SERVING &&
                     !CbwPool_IsPromoting(pool, now);

    if (CbwHandover_IsDue(&instance->handover, now, pool->tenure.held,
                          may_leave) &&
        PoolHandover_AskNextOwner(instance, (void *)(uintptr_t)instance->id)) {
        CbwHandover_OnSent(&instance->handover);
    }
}

void
PoolHandover_OnDone(outbound_t *outbound)
{
    pool_instance_t *instance =
        PoolInstance_FindById((uint64_t)(uintptr_t)outbound->context);
    bool ready = outbound->answered && outbound->result.flag;

    if (instance != NULL) {
        CbwHandover_OnAnswer(&instance->handover, CbwNet_Now(), ready);
    }
    if (instance != NULL && instance->handover.done) {
        CbwLog_Write(CBW_LOG_INFO, "owner", "handed-over", "database=%s to=%s",
                     instance->pool.database, outbound->name);
        memcpy(instance->moved_to, outbound->name, sizeof(instance->moved_to));
        instance->moved_takes = false;
        instance->handed_over = true;
        instance->moved_at = CbwNet_Now();
        CbwPool_ReturnUnsent(&instance->pool);
    }
    Outbound_Free(outbound);
}
