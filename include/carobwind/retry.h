/* A budget for retries: a share of the recent requests, so that retries
 * cannot multiply a failure. */
#ifndef CAROBWIND_RETRY_H
#define CAROBWIND_RETRY_H

#include "carobwind/types.h"

#define Cbw_RETRY_RATIO 0.2
#define Cbw_RETRY_BURST 50.0

typedef struct {
    double tokens;
} cbw_retry_budget_t;

void CbwRetry_Init(cbw_retry_budget_t *budget);
/* Each first try earns a share of a retry. */
void CbwRetry_OnRequest(cbw_retry_budget_t *budget);
/* Takes one retry from the budget; false when it is used up. */
bool CbwRetry_Take(cbw_retry_budget_t *budget);

#endif
