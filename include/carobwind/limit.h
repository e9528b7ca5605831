/* Limits of statements in flight at one endpoint, behind a table of
 * functions: a fixed limit, and one that adapts to what the endpoint shows. */
#ifndef CAROBWIND_LIMIT_H
#define CAROBWIND_LIMIT_H

#include "carobwind/types.h"

typedef struct {
    int limit;
    int maximum;
    int in_flight;
    bool probing; /* half the limit is used, to measure the base latency */
    cbw_time_t base_latency;    /* average without a queue; 0: not measured */
    cbw_time_t average_latency; /* smoothed; 0: not measured */
    cbw_time_t window_latency_sum;
    int window_replies;
    int windows_since_probe; /* since the base latency was measured */
    bool limit_reached;      /* the limit was reached in this window */
} cbw_limit_t;

typedef struct {
    void (*on_reply)(cbw_limit_t *limit, cbw_time_t latency);
} cbw_limit_ops_t;

/* `slots` from the inventory; `maximum` from the connection allowance. */
void CbwLimit_Init(cbw_limit_t *limit, int slots, int maximum);
/* The policy called `name` ("fixed" or "adaptive"), or NULL. */
const cbw_limit_ops_t *CbwLimit_Policy(const char *name);
bool CbwLimit_CanSend(const cbw_limit_t *limit);
/* Statements a second that the endpoint serves at the limit; 0: not known. */
double CbwLimit_Throughput(const cbw_limit_t *limit);
void CbwLimit_OnSend(cbw_limit_t *limit);
/* `latency` is negative when there was no answer to learn from. */
void CbwLimit_OnComplete(cbw_limit_t *limit, const cbw_limit_ops_t *ops,
                         cbw_time_t latency);

#endif
