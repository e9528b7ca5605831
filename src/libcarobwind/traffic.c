#include "carobwind/traffic.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>

static const char *const direction_names[] = {"sent", "received"};
static const char *const place_names[] = {"inside", "outside"};

void
CbwTraffic_Add(cbw_traffic_t *traffic, uint32_t kind,
               cbw_traffic_direction_t direction, cbw_traffic_place_t place,
               size_t bytes)
{
    if (kind < Cbw_TRAFFIC_KINDS) {
        cbw_traffic_cell_t *cell = &traffic->cells[kind][direction][place];
        cell->messages++;
        cell->bytes += bytes;
    }
}

void
CbwTraffic_AddStoreCall(cbw_traffic_t *traffic, uint32_t verb)
{
    if (verb < Cbw_TRAFFIC_VERBS) {
        traffic->store_calls[verb]++;
    }
}

cbw_traffic_cell_t
CbwTraffic_Sum(const cbw_traffic_t *traffic, uint32_t kind)
{
    cbw_traffic_cell_t sum = {0, 0};

    for (int d = 0; d < CBW_TRAFFIC_DIRECTIONS_; d++) {
        for (int p = 0; p < CBW_TRAFFIC_PLACES_; p++) {
            sum.messages += traffic->cells[kind][d][p].messages;
            sum.bytes += traffic->cells[kind][d][p].bytes;
        }
    }
    return sum;
}

typedef struct {
    char *text;
    size_t size;
    size_t length;
} output_t;

static void append(output_t *out, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static void
append(output_t *out, const char *format, ...)
{
    va_list arguments;
    int written;

    if (out->length + 1 >= out->size) {
        return;
    }
    va_start(arguments, format);
    written = vsnprintf(out->text + out->length, out->size - out->length,
                        format, arguments);
    va_end(arguments);
    out->length += written > 0 ? (size_t)written : 0;
    if (out->length >= out->size) {
        out->length = out->size - 1;
    }
}

/* Writes the name of a number, or the number if it has none, to `buffer`. */
static const char *
name_of(const char *const *names, int number, char buffer[16])
{
    if (names[number] != NULL) {
        return names[number];
    }
    snprintf(buffer, 16, "%d", number);
    return buffer;
}

static void
format_cells(output_t *out, const cbw_traffic_t *traffic,
             const char *const *kinds, bool bytes)
{
    const char *unit = bytes ? "bytes" : "messages";
    char buffer[16];

    append(out, "# TYPE carobwind_peer_%s_by_kind_total counter\n", unit);
    for (int i = 0;
         i < Cbw_TRAFFIC_KINDS * CBW_TRAFFIC_DIRECTIONS_ * CBW_TRAFFIC_PLACES_;
         i++) {
        int place = i % CBW_TRAFFIC_PLACES_;
        int direction = i / CBW_TRAFFIC_PLACES_ % CBW_TRAFFIC_DIRECTIONS_;
        int kind = i / CBW_TRAFFIC_PLACES_ / CBW_TRAFFIC_DIRECTIONS_;
        const cbw_traffic_cell_t *cell =
            &traffic->cells[kind][direction][place];
        if (cell->messages > 0) {
            append(out,
                   "carobwind_peer_%s_by_kind_total{kind=\"%s\","
                   "direction=\"%s\",place=\"%s\"} %" PRIu64 "\n",
                   unit, name_of(kinds, kind, buffer),
                   direction_names[direction], place_names[place],
                   bytes ? cell->bytes : cell->messages);
        }
    }
}

size_t
CbwTraffic_Format(const cbw_traffic_t *traffic,
                  const char *const kinds[Cbw_TRAFFIC_KINDS],
                  const char *const verbs[Cbw_TRAFFIC_VERBS], char *text,
                  size_t size)
{
    output_t out = {.text = text, .size = size};
    char buffer[16];

    format_cells(&out, traffic, kinds, false);
    format_cells(&out, traffic, kinds, true);
    append(&out, "# TYPE carobwind_peer_connections_opened_total counter\n");
    for (int i = 0; i < CBW_TRAFFIC_PLACES_; i++) {
        append(&out,
               "carobwind_peer_connections_opened_total{place=\"%s\"} "
               "%" PRIu64 "\n",
               place_names[i], traffic->connections_opened[i]);
    }
    append(&out, "# TYPE carobwind_store_calls_by_verb_total counter\n");
    for (int i = 0; i < Cbw_TRAFFIC_VERBS; i++) {
        if (traffic->store_calls[i] > 0) {
            append(&out,
                   "carobwind_store_calls_by_verb_total{verb=\"%s\"} "
                   "%" PRIu64 "\n",
                   name_of(verbs, i, buffer), traffic->store_calls[i]);
        }
    }
    return out.length;
}
