#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>

#include "carobwind/pool.h"
#include "private/pool.h"

static size_t
append(char *text, size_t size, size_t length, const char *format, ...)
{
    va_list arguments;
    int written;

    if (length >= size) {
        return length;
    }
    va_start(arguments, format);
    written = vsnprintf(text + length, size - length, format, arguments);
    va_end(arguments);
    return length + (size_t)written;
}

size_t
CbwPool_Explain(const cbw_pool_t *pool, cbw_time_t now, char *text,
                size_t size)
{
    size_t length =
        append(text, size, 0,
               "database\t%s\nphase\t%s\nprimary\t%s\nepoch\t%" PRIu64
               "\ntenure_valid_ms\t%" PRId64
               "\nby_endpoints_word\t%s\nposition\t%" PRIu64 ".%" PRIu64
               "\nqueue.primary\t%zu\nqueue.replicas\t%zu\n",
               pool->database, CbwPool_PhaseString[pool->phase],
               pool->tenure.record.primary, pool->tenure.record.epoch,
               CbwTenure_IsValid(&pool->tenure, now)
                   ? (pool->tenure.valid_until - now) / Cbw_MSEC
                   : 0,
               CbwPool_IsConfirmedByEndpoints_(pool, now) ? "yes" : "no",
               pool->primary_position.term, pool->primary_position.index,
               pool->primary_queue.length, pool->replica_queue.length);

    if (CbwPool_IsValidLogAwaited_(pool, now)) {
        length =
            append(text, size, length,
                   "waits_for_valid_log_ms\t%" PRId64 "\nbest_log\t%s\n",
                   (now - pool->promotion_since) / Cbw_MSEC, pool->best_log);
    }
    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        const cbw_pool_endpoint_t *e = &pool->endpoints[i];
        if (e->used) {
            length = append(
                text, size, length,
                "endpoint.%s\t%s%s%s position %" PRIu64 ".%" PRIu64
                " in flight %d transactions %d\n",
                e->info.name, i == pool->primary ? "primary" : "replica",
                e->down ? " down" : "", e->info.leaving ? " leaving" : "",
                e->position.term, e->position.index, e->in_flight,
                e->transactions);
        }
    }
    for (size_t i = pool->decision_count > Cbw_POOL_DECISIONS_MAX
                        ? pool->decision_count - Cbw_POOL_DECISIONS_MAX
                        : 0;
         i < pool->decision_count; i++) {
        const cbw_pool_decision_t *decision =
            &pool->decisions[i % Cbw_POOL_DECISIONS_MAX];
        length =
            append(text, size, length, "decision\t%" PRId64 " ms ago: %s\n",
                   (now - decision->time) / Cbw_MSEC, decision->text);
    }
    return length < size ? length : size - 1;
}
