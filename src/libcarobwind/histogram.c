#include "carobwind/histogram.h"

#include <string.h>

#define SUB_BUCKETS (1U << Cbw_HISTOGRAM_SUB_BITS)

void
CbwHistogram_Init(cbw_histogram_t *histogram)
{
    memset(histogram, 0, sizeof(*histogram));
}

static size_t
bucket_index(uint64_t value)
{
    unsigned shift;
    size_t index;

    if (value < SUB_BUCKETS) {
        return (size_t)value;
    }
    shift = 63U - (unsigned)__builtin_clzll(value) - Cbw_HISTOGRAM_SUB_BITS;
    index = ((size_t)(shift + 1) << Cbw_HISTOGRAM_SUB_BITS) +
            (size_t)((value >> shift) - SUB_BUCKETS);
    return index < Cbw_HISTOGRAM_BUCKETS ? index : Cbw_HISTOGRAM_BUCKETS - 1;
}

/* Returns the middle of a bucket. */
static cbw_time_t
bucket_value(size_t index)
{
    size_t shift;
    uint64_t low;

    if (index < SUB_BUCKETS) {
        return (cbw_time_t)index;
    }
    shift = (index >> Cbw_HISTOGRAM_SUB_BITS) - 1;
    low = (SUB_BUCKETS + (index & (SUB_BUCKETS - 1))) << shift;
    return (cbw_time_t)(low + ((UINT64_C(1) << shift) >> 1));
}

void
CbwHistogram_Add(cbw_histogram_t *histogram, cbw_time_t value)
{
    histogram->buckets[bucket_index(value > 0 ? (uint64_t)value : 0)]++;
    histogram->count++;
}

void
CbwHistogram_Merge(cbw_histogram_t *into, const cbw_histogram_t *from)
{
    for (size_t i = 0; i < Cbw_HISTOGRAM_BUCKETS; i++) {
        into->buckets[i] += from->buckets[i];
    }
    into->count += from->count;
}

cbw_time_t
CbwHistogram_Percentile(const cbw_histogram_t *histogram, double percent)
{
    uint64_t seen = 0;
    double wanted = (double)histogram->count * percent / 100.0;

    if (histogram->count == 0) {
        return 0;
    }
    for (size_t i = 0; i < Cbw_HISTOGRAM_BUCKETS; i++) {
        seen += histogram->buckets[i];
        if (seen > 0 && (double)seen >= wanted) {
            return bucket_value(i);
        }
    }
    return bucket_value(Cbw_HISTOGRAM_BUCKETS - 1);
}
