/* Log-linear histogram of durations.
 *
 * Each power of two is divided into 32 buckets of equal width, which bounds
 * the error of a percentile to 1/32 (3.2%). */
#ifndef CAROBWIND_HISTOGRAM_H
#define CAROBWIND_HISTOGRAM_H

#include "carobwind/types.h"

/* Binary logarithm of the number of buckets in a power of two. */
#define Cbw_HISTOGRAM_SUB_BITS 5
/* Values above the last bucket are counted in it. */
#define Cbw_HISTOGRAM_BUCKETS (40 << Cbw_HISTOGRAM_SUB_BITS)

typedef struct {
    uint64_t count; /* of all buckets */
    uint64_t buckets[Cbw_HISTOGRAM_BUCKETS];
} cbw_histogram_t;

void CbwHistogram_Init(cbw_histogram_t *histogram);
/* Counts a value in microseconds. A negative one counts as 0. */
void CbwHistogram_Add(cbw_histogram_t *histogram, cbw_time_t value);
/* Adds the counts of `from` to `into`. */
void CbwHistogram_Merge(cbw_histogram_t *into, const cbw_histogram_t *from);
/* Returns the value at `percent` (0..100), in microseconds; 0 when the
 * histogram is empty. */
cbw_time_t CbwHistogram_Percentile(const cbw_histogram_t *histogram,
                                   double percent);

#endif
