#include <string.h>

#include "carobwind/pool.h"
#include "private/pool.h"

int
CbwPool_FindEndpoint_(const cbw_pool_t *pool, const char *name)
{
    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        if (pool->endpoints[i].used &&
            strcmp(pool->endpoints[i].info.name, name) == 0) {
            return i;
        }
    }
    return -1;
}

static void
drop_endpoint(cbw_pool_t *pool, cbw_time_t now, int index)
{
    CbwPool_LogDecision_(pool, now, "endpoint %s removed",
                         pool->endpoints[index].info.name);
    CbwPool_AbortCalls_(pool, now, index);
    pool->ops->detach(pool->context, index);
    /* An endpoint that returns under this name may have another log. */
    if (strcmp(pool->accepted_log, pool->endpoints[index].info.name) == 0) {
        pool->accepted_log[0] = '\0';
    }
    memset(&pool->endpoints[index], 0, sizeof(pool->endpoints[index]));
    if (index == pool->primary) {
        CbwPool_SetPrimary_(pool, now, -1, 0);
    }
}

static void
add_endpoint(cbw_pool_t *pool, cbw_time_t now, const cbw_endpoint_t *info)
{
    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        cbw_pool_endpoint_t *endpoint = &pool->endpoints[i];
        if (endpoint->used) {
            continue;
        }
        memset(endpoint, 0, sizeof(*endpoint));
        endpoint->used = true;
        endpoint->listed = true;
        endpoint->info = *info;
        endpoint->last_reply_at = now;
        endpoint->is_local = strcmp(info->data_centre, pool->data_centre) == 0;
        /* The confirmation does not include this endpoint, which may lead a
         * later term. */
        CbwPool_ResetConfirmation_(pool);
        endpoint->is_in_region = CbwRegions_IsSame(
            pool->regions, info->data_centre, pool->data_centre);
        CbwPool_LogDecision_(pool, now, "endpoint %s at %s, %d slots%s",
                             info->name, info->address, info->slots,
                             info->leaving ? ", leaving" : "");
        pool->ops->attach(pool->context, i, info);
        return;
    }
    CbwPool_LogDecision_(pool, now,
                         "endpoint %s ignored: the endpoint table is full",
                         info->name);
}

/* Returns whether both are the same incarnation. A new incarnation of an
 * endpoint holds no data of the previous one. */
static bool
is_same_incarnation(const cbw_endpoint_t *a, const cbw_endpoint_t *b)
{
    return strcmp(a->name, b->name) == 0 &&
           strcmp(a->address, b->address) == 0 &&
           a->started_at == b->started_at;
}

static const cbw_endpoint_t *
find_listed(const cbw_endpoint_t *endpoints, int count,
            const cbw_endpoint_t *wanted)
{
    for (int i = 0; i < count; i++) {
        if (is_same_incarnation(&endpoints[i], wanted)) {
            return &endpoints[i];
        }
    }
    return NULL;
}

void
CbwPool_SetRegions(cbw_pool_t *pool, const cbw_regions_t *regions)
{
    pool->regions = regions;
}

void
CbwPool_SetEndpoints(cbw_pool_t *pool, cbw_time_t now,
                     const cbw_endpoint_t *endpoints, int count)
{
    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        cbw_pool_endpoint_t *endpoint = &pool->endpoints[i];
        const cbw_endpoint_t *listed;
        if (!endpoint->used) {
            continue;
        }
        listed = find_listed(endpoints, count, &endpoint->info);
        if (listed == NULL) {
            drop_endpoint(pool, now, i);
            continue;
        }
        if (listed->leaving && !endpoint->info.leaving) {
            CbwPool_LogDecision_(pool, now, "endpoint %s is leaving",
                                 listed->name);
        }
        endpoint->info = *listed;
    }
    for (int i = 0; i < count; i++) {
        int index = CbwPool_FindEndpoint_(pool, endpoints[i].name);
        if (index < 0) {
            add_endpoint(pool, now, &endpoints[i]);
        }
    }
    if (pool->primary < 0 || !CbwPool_IsConfirmedByEndpoints_(pool, now)) {
        CbwPool_SetPrimary_(
            pool, now,
            CbwPool_FindEndpoint_(pool, pool->tenure.record.primary),
            CbwPool_RecordPrimaryTerm_(pool));
    }
    CbwPool_Dispatch_(pool, now);
}
