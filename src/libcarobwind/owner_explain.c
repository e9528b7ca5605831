#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>

#include "carobwind/owner.h"
#include "private/owner.h"

typedef struct {
    char *text;
    size_t size;
    size_t length;
} writer_t;

/* Appends one "name<TAB>value" line; what does not fit is cut. */
static void __attribute__((format(printf, 2, 3)))
put(writer_t *writer, const char *format, ...)
{
    va_list arguments;
    int written;

    if (writer->length >= writer->size) {
        return;
    }
    va_start(arguments, format);
    written = vsnprintf(writer->text + writer->length,
                        writer->size - writer->length, format, arguments);
    va_end(arguments);
    writer->length += (size_t)written;
    if (writer->length >= writer->size) {
        writer->length = writer->size - 1;
    }
}

static void
put_endpoints(const cbw_owner_t *owner, cbw_time_t now, writer_t *writer)
{
    for (int i = 0; i < owner->group.count; i++) {
        const cbw_group_endpoint_t *endpoint = &owner->group.endpoints[i];
        const char *name = owner->database->endpoints[i].name;
        put(writer, "endpoint.%s\t%s\n", name,
            CbwRoute_Explain(&owner->group, i, now));
        put(writer, "endpoint.%s.log\tterm %" PRIu64 " position %" PRIu64 "\n",
            name, endpoint->state.last_term, endpoint->state.position);
        put(writer, "endpoint.%s.heard_ms\t%" PRId64 "\n", name,
            endpoint->last_heard_at
                ? (now - endpoint->last_heard_at) / Cbw_MSEC
                : -1);
        put(writer, "endpoint.%s.in_flight\t%d of %d (at most %d)\n", name,
            endpoint->limit.in_flight, endpoint->limit.limit,
            endpoint->limit.maximum);
    }
}

static void
put_queues(const cbw_owner_t *owner, writer_t *writer)
{
    for (size_t i = 0; i < owner->inventory->rank_count; i++) {
        put(writer,
            "rank.%s\t%zu for the primary, %zu for replicas, admits %d.%d%%\n",
            owner->inventory->ranks[i].name,
            owner->primary_queue.ranks[i].length,
            owner->replica_queue.ranks[i].length,
            owner->admission_permille[i] / 10,
            owner->admission_permille[i] % 10);
    }
}

static void
put_decisions(const cbw_owner_t *owner, cbw_time_t now, writer_t *writer)
{
    size_t first = owner->decision_count > Cbw_OWNER_DECISIONS_MAX
                       ? owner->decision_count - Cbw_OWNER_DECISIONS_MAX
                       : 0;

    for (size_t i = first; i < owner->decision_count; i++) {
        const cbw_decision_t *decision =
            &owner->decisions[i % Cbw_OWNER_DECISIONS_MAX];
        put(writer, "decision.%zu\t%" PRId64 " ms ago: %s\n", i,
            (now - decision->time) / Cbw_MSEC, decision->text);
    }
}

size_t
CbwOwner_Explain(const cbw_owner_t *owner, cbw_time_t now, char *text,
                 size_t size)
{
    writer_t writer = {.text = text, .size = size};
    int primary = owner->group.primary;

    put(&writer, "database\t%s\n", owner->database->name);
    put(&writer, "term\t%" PRIu64 "\n", owner->group.term);
    put(&writer, "primary\t%s\n",
        primary >= 0 ? owner->database->endpoints[primary].name : "none");
    put(&writer, "promotion\t%s\n",
        CbwPromotion_StateString[owner->promotion.state]);
    put(&writer, "reach\t%s\n", CbwOwner_ReachString[owner->reach]);
    put(&writer, "writes\t%s\n",
        owner->switchover_started_at ? "paused: the primary hands over"
                                     : "go on");
    put(&writer, "proved_ms\t%" PRId64 "\n",
        owner->group.term_confirmed_at
            ? (now - owner->group.term_confirmed_at) / Cbw_MSEC
            : -1);
    put_endpoints(owner, now, &writer);
    put_queues(owner, &writer);
    put_decisions(owner, now, &writer);
    return writer.length;
}
