/* Spans of requests, kept in a bounded ring. */
#ifndef CAROBWIND_TRACE_H
#define CAROBWIND_TRACE_H

#include "carobwind/types.h"

typedef enum {
    CBW_HOP_ENTRY,
    CBW_HOP_QUEUE,
    CBW_HOP_ENDPOINT,
    CBW_HOP_CONFIRM,
    CBW_HOP_SETTLE,
} cbw_hop_t;

/* Names of the members of cbw_hop_t, in their order. */
extern const char *const CbwTrace_HopString[];

#define Cbw_TRACE_RING_CAPACITY 4096

typedef struct {
    char trace[Cbw_TRACE_MAX];
    cbw_hop_t hop;
    cbw_time_t start;
    cbw_time_t end;
    char detail[48];
} cbw_span_t;

/* Owned by the caller; a zeroed ring is empty. */
typedef struct {
    cbw_span_t spans[Cbw_TRACE_RING_CAPACITY];
    uint64_t written;
} cbw_trace_ring_t;

/* Adds a span; does nothing when `ring` is NULL or `trace` is empty. */
void CbwTrace_Add(cbw_trace_ring_t *ring, const char *trace, cbw_hop_t hop,
                  cbw_time_t start, cbw_time_t end, const char *detail);
/* Calls `report` for each kept span of `trace`, oldest first. */
void CbwTrace_Find(const cbw_trace_ring_t *ring, const char *trace,
                   void (*report)(void *context, const cbw_span_t *span),
                   void *context);

#endif
