#include "carobwind/retry.h"

void
CbwRetry_Init(cbw_retry_budget_t *budget)
{
    budget->tokens = Cbw_RETRY_BURST;
}

void
CbwRetry_OnRequest(cbw_retry_budget_t *budget)
{
    budget->tokens += Cbw_RETRY_RATIO;
    if (budget->tokens > Cbw_RETRY_BURST) {
        budget->tokens = Cbw_RETRY_BURST;
    }
}

bool
CbwRetry_Take(cbw_retry_budget_t *budget)
{
    if (budget->tokens < 1.0) {
        return false;
    }
    budget->tokens -= 1.0;
    return true;
}
