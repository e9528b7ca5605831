#include "carobwind/trace.h"

#include <stdio.h>
#include <string.h>

const char *const CbwTrace_HopString[] = {
    "entry", "queue", "endpoint", "confirm", "settle",
};

void
CbwTrace_Add(cbw_trace_ring_t *ring, const char *trace, cbw_hop_t hop,
             cbw_time_t start, cbw_time_t end, const char *detail)
{
    cbw_span_t *span;

    if (ring == NULL || trace[0] == '\0') {
        return;
    }
    span = &ring->spans[ring->written++ % Cbw_TRACE_RING_CAPACITY];
    snprintf(span->trace, sizeof(span->trace), "%s", trace);
    span->hop = hop;
    span->start = start;
    span->end = end;
    snprintf(span->detail, sizeof(span->detail), "%s", detail);
}

void
CbwTrace_Find(const cbw_trace_ring_t *ring, const char *trace,
              void (*report)(void *context, const cbw_span_t *span),
              void *context)
{
    uint64_t first = ring->written > Cbw_TRACE_RING_CAPACITY
                         ? ring->written - Cbw_TRACE_RING_CAPACITY
                         : 0;

    for (uint64_t i = first; i < ring->written; i++) {
        const cbw_span_t *span = &ring->spans[i % Cbw_TRACE_RING_CAPACITY];
        if (strcmp(span->trace, trace) == 0) {
            report(context, span);
        }
    }
}
