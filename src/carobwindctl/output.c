#include "output.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NAME_COLUMN_WIDTH 28

static void
print_json_string(const char *text, size_t size)
{
    putchar('"');
    for (size_t i = 0; i < size; i++) {
        unsigned char c = (unsigned char)text[i];
        if (c == '"' || c == '\\') {
            printf("\\%c", c);
        }
        else if (c < 0x20) {
            printf("\\u%04x", c);
        }
        else {
            putchar(c);
        }
    }
    putchar('"');
}

/* Calls `print` for each line of "name<separator>value". Lines that begin with
 * "#" are skipped. */
static void
for_each_pair(const char *text, char separator,
              void (*print)(const char *name, size_t name_size,
                            const char *value, size_t value_size,
                            size_t index))
{
    size_t index = 0;

    while (*text != '\0') {
        size_t length = strcspn(text, "\n");
        const char *split = memchr(text, separator, length);
        if (split != NULL && text[0] != '#') {
            size_t name_size = (size_t)(split - text);
            print(text, name_size, split + 1, length - name_size - 1, index);
            index++;
        }
        text += length + (text[length] == '\n');
    }
}

static void
print_table_row(const char *name, size_t name_size, const char *value,
                size_t value_size, size_t index)
{
    (void)index;
    printf("%-*.*s %.*s\n", NAME_COLUMN_WIDTH, (int)name_size, name,
           (int)value_size, value);
}

static void
print_string_field(const char *name, size_t name_size, const char *value,
                   size_t value_size, size_t index)
{
    printf("%s", index > 0 ? ",\n " : "{");
    print_json_string(name, name_size);
    printf(": ");
    print_json_string(value, value_size);
}

static void
print_number_field(const char *name, size_t name_size, const char *value,
                   size_t value_size, size_t index)
{
    printf("%s", index > 0 ? ",\n " : "{");
    print_json_string(name, name_size);
    printf(": %.*s", (int)value_size, value);
}

void
Output_PrintPairs(const char *text, bool json)
{
    for_each_pair(text, '\t', json ? print_string_field : print_table_row);
    if (json) {
        printf("}\n");
    }
}

void
Output_PrintJsonCounters(const char *text)
{
    for_each_pair(text, ' ', print_number_field);
    printf("}\n");
}

void
Output_PrintJsonText(const char *number_name, uint64_t number,
                     const char *text_name, const char *text)
{
    printf("{\"%s\": %" PRIu64 ", \"%s\": ", number_name, number, text_name);
    print_json_string(text, strlen(text));
    printf("}\n");
}

void
Output_InitSpans(span_list_t *spans)
{
    spans->count = 0;
}

void
Output_AddSpans(span_list_t *spans, const char *text)
{
    while (*text != '\0' && spans->count < SPANS_MAX) {
        span_t *span = &spans->items[spans->count];
        size_t length = strcspn(text, "\n");
        memset(span, 0, sizeof(*span));
        if (sscanf(text,
                   "%47[^\t]\t%15[^\t]\t%" SCNd64 "\t%" SCNd64 "\t%47[^\n]",
                   span->host, span->hop, &span->start_us, &span->length_us,
                   span->detail) >= 4) {
            spans->count++;
        }
        text += length + (text[length] == '\n');
    }
}

/* Orders spans by start time, an enclosing span before those within it. */
static int
compare_spans(const void *left, const void *right)
{
    const span_t *a = left;
    const span_t *b = right;

    if (a->start_us != b->start_us) {
        return a->start_us < b->start_us ? -1 : 1;
    }
    return a->length_us > b->length_us ? -1 : a->length_us < b->length_us;
}

void
Output_PrintSpans(span_list_t *spans, bool json)
{
    qsort(spans->items, spans->count, sizeof(spans->items[0]), compare_spans);
    if (!json) {
        printf("%-14s %-10s %12s %12s  %s\n", "host", "hop", "start us",
               "length us", "detail");
    }
    for (size_t i = 0; i < spans->count; i++) {
        const span_t *span = &spans->items[i];
        if (!json) {
            printf("%-14s %-10s %12" PRId64 " %12" PRId64 "  %s\n", span->host,
                   span->hop, span->start_us - spans->items[0].start_us,
                   span->length_us, span->detail);
            continue;
        }
        printf("%s{\"host\": ", i > 0 ? ",\n " : "[");
        print_json_string(span->host, strlen(span->host));
        printf(", \"hop\": \"%s\", \"start_us\": %" PRId64
               ", \"length_us\": %" PRId64 ", \"detail\": ",
               span->hop, span->start_us, span->length_us);
        print_json_string(span->detail, strlen(span->detail));
        printf("}");
    }
    if (json) {
        printf("]\n");
    }
}
