/* Latency metrics by hop and rank, with the coarse buckets of a Prometheus
 * histogram. */
#ifndef CAROBWIND_LATENCY_H
#define CAROBWIND_LATENCY_H

#include "carobwind/types.h"

typedef enum {
    CBW_LATENCY_REQUEST,  /* at the entry: from arrival to answer */
    CBW_LATENCY_QUEUE,    /* at the owner: from arrival to sending */
    CBW_LATENCY_ENDPOINT, /* at the owner: from sending to the answer */
    /* The same, of endpoints in the owner's data centre, else in its region,
     * else outside. */
    CBW_LATENCY_IN_DATA_CENTRE,
    CBW_LATENCY_IN_REGION,
    CBW_LATENCY_OUTSIDE,
    CBW_LATENCY_HOP_COUNT_,
} cbw_latency_hop_t;

/* Name of each cbw_latency_hop_t, as used in metric names. */
extern const char *const CbwLatency_HopString[];

#define Cbw_LATENCY_BUCKETS 12

typedef struct {
    /* Not cumulative. The last one counts what is above all bounds. */
    uint64_t counts[Cbw_LATENCY_BUCKETS + 1];
    cbw_time_t sum;
} cbw_latency_histogram_t;

/* A zeroed one is empty. */
typedef struct {
    cbw_latency_histogram_t hops[CBW_LATENCY_HOP_COUNT_][Cbw_RANKS_MAX];
} cbw_latencies_t;

/* Counts a duration. Does nothing when `latencies` is NULL or `rank` is out of
 * range. */
void CbwLatency_Add(cbw_latencies_t *latencies, cbw_latency_hop_t hop,
                    int rank, cbw_time_t duration);
/* Writes all histograms in the Prometheus text format to `text`, which holds
 * `size` bytes. Output that does not fit is truncated. Returns the length
 * written, without the terminating NUL. */
size_t CbwLatency_Format(const cbw_latencies_t *latencies, char *text,
                         size_t size);

#endif
