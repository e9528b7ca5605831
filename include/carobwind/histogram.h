/* Log-linear histogram of durations. Each power of two is cut into 32 equal
 * buckets, so that a percentile is off by at most 1/32 (3.2%). */
#ifndef CAROBWIND_HISTOGRAM_H
#define CAROBWIND_HISTOGRAM_H

#include "carobwind/types.h"

#define Cbw_HISTOGRAM_SUB_BITS 5
#define Cbw_HISTOGRAM_BUCKETS (40 << Cbw_HISTOGRAM_SUB_BITS)

typedef struct {
    uint64_t count;
    uint64_t buckets[Cbw_HISTOGRAM_BUCKETS];
} cbw_histogram_t;

void CbwHistogram_Init(cbw_histogram_t *histogram);
void CbwHistogram_Add(cbw_histogram_t *histogram, cbw_time_t value);
void CbwHistogram_Merge(cbw_histogram_t *into, const cbw_histogram_t *from);
/* The value at `percent` (0..100), in microseconds; 0 when empty. */
cbw_time_t CbwHistogram_Percentile(const cbw_histogram_t *histogram,
                                   double percent);

#endif
