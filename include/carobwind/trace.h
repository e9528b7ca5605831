/* Trace spans of requests, kept in a ring buffer of fixed size. */
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

/* Name of each cbw_hop_t. */
extern const char *const CbwTrace_HopString[];

/* Spans that are kept. */
#define Cbw_TRACE_RING_CAPACITY 4096

typedef struct {
    char trace[Cbw_TRACE_MAX]; /* trace id */
    cbw_hop_t hop;
    cbw_time_t start;
    cbw_time_t end;
    char detail[48]; /* what happened, for people */
} cbw_span_t;

/* A zeroed ring is empty. */
typedef struct {
    cbw_span_t spans[Cbw_TRACE_RING_CAPACITY];
    uint64_t written; /* spans ever added */
} cbw_trace_ring_t;

/* Adds a span, in place of the oldest one when the ring is full. Does nothing
 * when `ring` is NULL or `trace` is empty. */
void CbwTrace_Add(cbw_trace_ring_t *ring, const char *trace, cbw_hop_t hop,
                  cbw_time_t start, cbw_time_t end, const char *detail);
/* Calls `report` for each span of `trace` that is still kept, in the order in
 * which they were added. */
void CbwTrace_Find(const cbw_trace_ring_t *ring, const char *trace,
                   void (*report)(void *context, const cbw_span_t *span),
                   void *context);

#endif
