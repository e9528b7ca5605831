#include "carobwind/latency.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>

const char *const CbwLatency_HopString[] = {"request",
                                            "queue",
                                            "endpoint",
                                            "endpoint_in_data_centre",
                                            "endpoint_in_region",
                                            "endpoint_outside_region"};

/* Upper bounds of the buckets, in milliseconds. */
static const int bucket_bounds_ms[Cbw_LATENCY_BUCKETS] = {
    1, 2, 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000};

void
CbwLatency_Add(cbw_latencies_t *latencies, cbw_latency_hop_t hop, int rank,
               cbw_time_t duration)
{
    cbw_latency_histogram_t *latency;
    int bucket = 0;

    if (latencies == NULL || rank < 0 || rank >= Cbw_RANKS_MAX) {
        return;
    }
    latency = &latencies->hops[hop][rank];
    while (bucket < Cbw_LATENCY_BUCKETS &&
           duration > bucket_bounds_ms[bucket] * Cbw_MSEC) {
        bucket++;
    }
    latency->counts[bucket]++;
    latency->sum += duration;
}

typedef struct {
    char *text;
    size_t size;
    size_t length;
} text_buffer_t;

/* Appends formatted text. Text that does not fit is truncated, and `length`
 * grows to `size` or more. */
static void __attribute__((format(printf, 2, 3)))
append(text_buffer_t *buffer, const char *format, ...)
{
    va_list arguments;
    int written;

    if (buffer->length >= buffer->size) {
        return;
    }
    va_start(arguments, format);
    written = vsnprintf(buffer->text + buffer->length,
                        buffer->size - buffer->length, format, arguments);
    va_end(arguments);
    buffer->length += (size_t)written;
}

/* Appends one histogram, with the cumulative buckets of the Prometheus format.
 * An empty one is left out. */
static void
append_histogram(text_buffer_t *buffer, const char *hop, int rank,
                 const cbw_latency_histogram_t *latency)
{
    uint64_t total = 0;

    for (int i = 0; i <= Cbw_LATENCY_BUCKETS; i++) {
        total += latency->counts[i];
    }
    if (total == 0) {
        return;
    }
    total = 0;
    for (int i = 0; i < Cbw_LATENCY_BUCKETS; i++) {
        total += latency->counts[i];
        append(buffer,
               "carobwind_%s_seconds_bucket{rank=\"%d\",le=\"%g\"} %" PRIu64
               "\n",
               hop, rank, bucket_bounds_ms[i] / 1000.0, total);
    }
    total += latency->counts[Cbw_LATENCY_BUCKETS];
    append(buffer,
           "carobwind_%s_seconds_bucket{rank=\"%d\",le=\"+Inf\"} %" PRIu64
           "\ncarobwind_%s_seconds_sum{rank=\"%d\"} %.6f\n"
           "carobwind_%s_seconds_count{rank=\"%d\"} %" PRIu64 "\n",
           hop, rank, total, hop, rank, (double)latency->sum / Cbw_SEC, hop,
           rank, total);
}

size_t
CbwLatency_Format(const cbw_latencies_t *latencies, char *text, size_t size)
{
    text_buffer_t buffer = {text, size, 0};

    for (int hop = 0; hop < CBW_LATENCY_HOP_COUNT_; hop++) {
        append(&buffer, "# TYPE carobwind_%s_seconds histogram\n",
               CbwLatency_HopString[hop]);
        for (int rank = 0; rank < Cbw_RANKS_MAX; rank++) {
            append_histogram(&buffer, CbwLatency_HopString[hop], rank,
                             &latencies->hops[hop][rank]);
        }
    }
    return buffer.length < size ? buffer.length : size - 1;
}
