/* A retry budget: a token bucket that limits retries to a share of the recent
 * requests, so that retries cannot amplify a failure. */
#ifndef CAROBWIND_RETRY_H
#define CAROBWIND_RETRY_H

#include "carobwind/types.h"

/* Retries earned by each request. */
#define Cbw_RETRY_RATIO 0.2
/* Maximum number of retries that can be saved up. */
#define Cbw_RETRY_BURST 50.0

typedef struct {
    double tokens; /* one per retry */
} cbw_retry_budget_t;

/* Initializes a full budget. */
void CbwRetry_Init(cbw_retry_budget_t *budget);
/* Adds the share of a retry that a new request earns. */
void CbwRetry_OnRequest(cbw_retry_budget_t *budget);
/* Takes one retry from the budget; returns false if it is used up. */
bool CbwRetry_Take(cbw_retry_budget_t *budget);

#endif
