#include "carobwind/error.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

const char *const CbwError_CodeString[] = {
    "none", "invalid", "io", "conflict", "unavailable", "memory",
};

int
CbwError_Set(cbw_error_t *error, cbw_error_code_t code, const char *format,
             ...)
{
    va_list arguments;

    if (error == NULL) {
        return -1;
    }
    error->code = code;
    va_start(arguments, format);
    vsnprintf(error->text, sizeof(error->text), format, arguments);
    va_end(arguments);
    return -1;
}

void
CbwFindings_Init(cbw_findings_t *findings)
{
    memset(findings, 0, sizeof(*findings));
}

void
CbwFindings_Finish(cbw_findings_t *findings)
{
    free(findings->items);
    CbwFindings_Init(findings);
}

static int
findings_reserve(cbw_findings_t *findings)
{
    size_t capacity;
    cbw_finding_t *items;

    if (findings->count < findings->capacity) {
        return 0;
    }
    capacity = findings->capacity ? 2 * findings->capacity : 16;
    items = realloc(findings->items, capacity * sizeof(*items));
    if (items == NULL) {
        return -1;
    }
    findings->items = items;
    findings->capacity = capacity;
    return 0;
}

int
CbwFindings_Add(cbw_findings_t *findings, const char *place, int line,
                const char *format, ...)
{
    va_list arguments;
    cbw_finding_t *finding;

    if (findings_reserve(findings) != 0) {
        return -1;
    }
    finding = &findings->items[findings->count++];
    snprintf(finding->source, sizeof(finding->source), "%s", place);
    finding->line = line;
    va_start(arguments, format);
    vsnprintf(finding->text, sizeof(finding->text), format, arguments);
    va_end(arguments);
    return 0;
}

static int
compare_findings(const void *left, const void *right)
{
    const cbw_finding_t *a = left;
    const cbw_finding_t *b = right;

    if (a->line != b->line) {
        return a->line < b->line ? -1 : 1;
    }
    return strcmp(a->text, b->text);
}

void
CbwFindings_Print(cbw_findings_t *findings, FILE *stream)
{
    if (findings->count == 0) {
        return;
    }
    qsort(findings->items, findings->count, sizeof(*findings->items),
          compare_findings);
    for (size_t i = 0; i < findings->count; i++) {
        const cbw_finding_t *finding = &findings->items[i];
        if (finding->line > 0) {
            fprintf(stream, "%s:%d: %s\n", finding->source, finding->line,
                    finding->text);
        }
        else {
            fprintf(stream, "%s: %s\n", finding->source, finding->text);
        }
    }
}
