/* Concurrency limit of one endpoint: how many statements may be in flight. The
 * policy keeps it fixed or adapts it to the latencies of the endpoint. */
#ifndef CAROBWIND_LIMIT_H
#define CAROBWIND_LIMIT_H

#include "carobwind/types.h"

typedef struct {
    int limit;   /* statements that may be in flight */
    int maximum; /* upper bound of `limit` */
    int in_flight;
    /* Half the limit is used for one window, to measure the base latency. */
    bool probing;
    /* Average latency without queuing inside the endpoint; 0: unknown. */
    cbw_time_t base_latency;
    cbw_time_t average_latency; /* smoothed; 0: unknown */
    /* The window of replies that the adaptive policy averages. */
    cbw_time_t window_latency_sum;
    int window_replies;
    int windows_since_probe; /* since the base latency was last measured */
    bool limit_reached;      /* in this window */
} cbw_limit_t;

/* A limit policy. */
typedef struct {
    /* Takes a reply's latency into account. */
    void (*on_reply)(cbw_limit_t *limit, cbw_time_t latency);
} cbw_limit_ops_t;

/* Initializes a limit of `slots` + 1, where `slots` is the number of
 * statements that the endpoint runs at once. `maximum`, the connection
 * allowance, is its upper bound. Both must be above 0. */
void CbwLimit_Init(cbw_limit_t *limit, int slots, int maximum);
/* Returns the policy called `name` ("fixed" or "adaptive"), or NULL when there
 * is none. */
const cbw_limit_ops_t *CbwLimit_Policy(const char *name);
/* Returns whether another statement may be sent now. */
bool CbwLimit_CanSend(const cbw_limit_t *limit);
/* Returns the statements per second that the endpoint serves at the limit, by
 * Little's law; 0: unknown. */
double CbwLimit_Throughput(const cbw_limit_t *limit);
/* Counts a statement as in flight. */
void CbwLimit_OnSend(cbw_limit_t *limit);
/* Counts a statement as no longer in flight. `latency` is negative when no
 * reply came whose latency may be used. */
void CbwLimit_OnComplete(cbw_limit_t *limit, const cbw_limit_ops_t *ops,
                         cbw_time_t latency);

#endif
