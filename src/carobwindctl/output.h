/* Prints answers as tables or as JSON. */
#ifndef CAROBWINDCTL_OUTPUT_H
#define CAROBWINDCTL_OUTPUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Prints lines of "name<TAB>value" as a table, or as one JSON object whose
 * values are strings. Lines that begin with "#" are skipped. */
void Output_PrintPairs(const char *text, bool json);
/* Prints a JSON object with a number and a string. */
void Output_PrintJsonText(const char *number_name, uint64_t number,
                          const char *text_name, const char *text);
/* Prints counters in Prometheus format as one JSON object of numbers. */
void Output_PrintJsonCounters(const char *text);

/* Maximum number of spans of a trace; further ones are dropped. */
#define SPANS_MAX 512

typedef struct {
    char host[48];
    char hop[16];
    int64_t start_us; /* by the clock of that host */
    int64_t length_us;
    char detail[48];
} span_t;

typedef struct {
    size_t count;
    span_t items[SPANS_MAX];
} span_list_t;

void Output_InitSpans(span_list_t *spans);
/* Parses lines of "host<TAB>hop<TAB>start<TAB>length<TAB>detail" and adds the
 * spans. Malformed lines are skipped. */
void Output_AddSpans(span_list_t *spans, const char *text);
/* Sorts the spans by start time and prints them. */
void Output_PrintSpans(span_list_t *spans, bool json);

#endif
