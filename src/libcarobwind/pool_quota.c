#include <stdio.h>

#include "carobwind/pool.h"
#include "private/pool.h"

bool
CbwPool_RefuseByQuota_(cbw_pool_t *pool, cbw_time_t now,
                       cbw_request_t *request)
{
    char reason[sizeof(request->answer.reason)];
    cbw_time_t retry_after = 0;

    if (pool->quota == NULL || request->workspace[0] == '\0' ||
        CbwQuota_Reserve(pool->quota, now, request->workspace,
                         &request->quota_token, &retry_after)) {
        return false;
    }
    snprintf(reason, sizeof(reason), "the quota of workspace %.24s is used up",
             request->workspace);
    CbwPool_Refuse_(pool, now, request, CBW_REFUSAL_QUOTA, retry_after,
                    reason);
    return true;
}

void
CbwPool_UpdateToken_(cbw_pool_t *pool, cbw_time_t now, cbw_request_t *request,
                     cbw_pool_token_step_t step)
{
    cbw_quota_token_t *token = &request->quota_token;

    if (pool->quota == NULL || *token == CBW_QUOTA_TOKEN_NONE) {
        return;
    }
    switch (step) {
    case CBW_POOL_TOKEN_SENT:
        CbwQuota_Spend(pool->quota, request->workspace, token);
        break;
    case CBW_POOL_TOKEN_NOT_RUN:
        CbwQuota_Requeue(pool->quota, now, request->workspace, token, false);
        break;
    case CBW_POOL_TOKEN_REQUEUED:
        /* Its token stays spent: the request may have run. */
        CbwQuota_Requeue(pool->quota, now, request->workspace, token, true);
        break;
    case CBW_POOL_TOKEN_ENDED:
        CbwQuota_End(pool->quota, request->workspace, token);
        break;
    }
}
