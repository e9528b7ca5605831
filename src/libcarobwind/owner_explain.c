#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>

#include "carobwind/owner.h"
#include "private/owner.h"

/* Appends text to a buffer of fixed size. */
typedef struct {
    char *text;
    size_t size;
    size_t length;
} text_writer_t;

/* Appends one "name<TAB>value" line; text that does not fit is cut off. */
static void __attribute__((format(printf, 2, 3)))
append_line(text_writer_t *writer, const char *format, ...)
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
append_endpoints(const cbw_owner_t *owner, cbw_time_t now,
                 text_writer_t *writer)
{
    for (int i = 0; i < owner->group.count; i++) {
        const cbw_group_endpoint_t *endpoint = &owner->group.endpoints[i];
        const char *name = owner->database->endpoints[i].name;
        append_line(writer, "endpoint.%s\t%s\n", name,
                    CbwRoute_Explain(&owner->group, i, now));
        append_line(writer,
                    "endpoint.%s.log\tterm %" PRIu64 " position %" PRIu64 "\n",
                    name, endpoint->state.last_term, endpoint->state.position);
        append_line(writer, "endpoint.%s.heard_ms\t%" PRId64 "\n", name,
                    endpoint->last_heard_at
                        ? (now - endpoint->last_heard_at) / Cbw_MSEC
                        : -1);
        append_line(writer, "endpoint.%s.in_flight\t%d of %d (at most %d)\n",
                    name, endpoint->limit.in_flight, endpoint->limit.limit,
                    endpoint->limit.maximum);
    }
}

static void
append_queues(const cbw_owner_t *owner, text_writer_t *writer)
{
    for (size_t i = 0; i < owner->inventory->rank_count; i++) {
        append_line(
            writer,
            "rank.%s\t%zu for the primary, %zu for replicas, admits %d.%d%%\n",
            owner->inventory->ranks[i].name,
            owner->primary_queue.ranks[i].length,
            owner->replica_queue.ranks[i].length,
            owner->admission_permille[i] / 10,
            owner->admission_permille[i] % 10);
    }
}

static void
append_decisions(const cbw_owner_t *owner, cbw_time_t now,
                 text_writer_t *writer)
{
    size_t first = owner->decision_count > Cbw_OWNER_DECISIONS_MAX
                       ? owner->decision_count - Cbw_OWNER_DECISIONS_MAX
                       : 0;

    for (size_t i = first; i < owner->decision_count; i++) {
        const cbw_decision_t *decision =
            &owner->decisions[i % Cbw_OWNER_DECISIONS_MAX];
        append_line(writer, "decision.%zu\t%" PRId64 " ms ago: %s\n", i,
                    (now - decision->time) / Cbw_MSEC, decision->text);
    }
}

size_t
CbwOwner_Explain(const cbw_owner_t *owner, cbw_time_t now, char *text,
                 size_t size)
{
    text_writer_t writer = {.text = text, .size = size};
    int primary = owner->group.primary;

    append_line(&writer, "database\t%s\n", owner->database->name);
    append_line(&writer, "term\t%" PRIu64 "\n", owner->group.term);
    append_line(&writer, "primary\t%s\n",
                primary >= 0 ? owner->database->endpoints[primary].name
                             : "none");
    append_line(&writer, "promotion\t%s\n",
                CbwPromotion_StateString[owner->promotion.state]);
    append_line(&writer, "reach\t%s\n", CbwOwner_ReachString[owner->reach]);
    append_line(&writer, "writes\t%s\n",
                owner->switchover_started_at ? "paused: switchover under way"
                                             : "accepted");
    append_line(&writer, "proved_ms\t%" PRId64 "\n",
                owner->group.term_confirmed_at
                    ? (now - owner->group.term_confirmed_at) / Cbw_MSEC
                    : -1);
    append_endpoints(owner, now, &writer);
    append_queues(owner, &writer);
    append_decisions(owner, now, &writer);
    return writer.length;
}
