/* Tables for people and JSON for programs. */
#ifndef CAROBWINDCTL_OUTPUT_H
#define CAROBWINDCTL_OUTPUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Prints lines of "name<TAB>value" as a table or as one JSON object. */
void Output_PrintPairs(const char *text, bool json);
/* Prints a JSON object of a number and a text. */
void Output_PrintJsonText(const char *number_name, uint64_t number,
                          const char *text_name, const char *text);
/* Prints Prometheus text as one JSON object. */
void Output_PrintJsonCounters(const char *text);

#define SPANS_MAX 512

typedef struct {
    char host[48];
    char hop[16];
    int64_t start_us;  /* microseconds, of that host's clock */
    int64_t length_us; /* microseconds */
    char detail[48];
} span_t;

typedef struct {
    size_t count;
    span_t items[SPANS_MAX];
} span_list_t;

void Output_InitSpans(span_list_t *spans);
/* Adds lines of "host<TAB>hop<TAB>start<TAB>length<TAB>detail". */
void Output_AddSpans(span_list_t *spans, const char *text);
/* Prints the spans in order of their start. */
void Output_PrintSpans(span_list_t *spans, bool json);

#endif
