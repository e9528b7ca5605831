/* Latencies by hop and rank, in the few buckets of a Prometheus histogram. */
#ifndef CAROBWIND_LATENCY_H
#define CAROBWIND_LATENCY_H

#include "carobwind/types.h"

typedef enum {
    CBW_LATENCY_REQUEST,  /* at the entry, from arrival to answer */
    CBW_LATENCY_QUEUE,    /* at the owner, until it was sent */
    CBW_LATENCY_ENDPOINT, /* from sending to the endpoint's answer */
    CBW_LATENCY_HOP_COUNT_,
} cbw_latency_hop_t;

/* Names of the members of cbw_latency_hop_t, in their order. */
extern const char *const CbwLatency_HopString[];

#define Cbw_LATENCY_BUCKETS 12

typedef struct {
    uint64_t counts[Cbw_LATENCY_BUCKETS + 1]; /* the last: above all bounds */
    cbw_time_t sum;
} cbw_latency_histogram_t;

/* Zeroed: empty. */
typedef struct {
    cbw_latency_histogram_t hops[CBW_LATENCY_HOP_COUNT_][Cbw_RANKS_MAX];
} cbw_latencies_t;

/* Adds a duration; `latencies` may be NULL. */
void CbwLatency_Add(cbw_latencies_t *latencies, cbw_latency_hop_t hop,
                    int rank, cbw_time_t duration);
/* Writes Prometheus text, cut at `size` bytes. Returns the length written. */
size_t CbwLatency_Format(const cbw_latencies_t *latencies, char *text,
                         size_t size);

#endif
