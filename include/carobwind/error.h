/* Errors: one struct that is passed down, and a list that collects findings
 * with their place so that they can be reported together. */
#ifndef CAROBWIND_ERROR_H
#define CAROBWIND_ERROR_H

#include <stddef.h>
#include <stdio.h>

typedef enum {
    CBW_ERROR_NONE,
    CBW_ERROR_INVALID,     /* input that breaks its format */
    CBW_ERROR_IO,          /* a socket or file call failed */
    CBW_ERROR_CONFLICT,    /* somebody else changed it first */
    CBW_ERROR_UNAVAILABLE, /* the other side does not answer */
    CBW_ERROR_MEMORY,
} cbw_error_code_t;

/* Names of the members of cbw_error_code_t, in their order. */
extern const char *const CbwError_CodeString[];

typedef struct {
    cbw_error_code_t code;
    char text[256];
} cbw_error_t;

/* Sets `error` (which may be NULL) and returns -1, for `return CbwError_Set`.
 */
int CbwError_Set(cbw_error_t *error, cbw_error_code_t code, const char *format,
                 ...) __attribute__((format(printf, 3, 4)));

/* One finding: what is wrong and where. `line` is 0 when it has none. */
typedef struct {
    char source[128];
    int line;
    char text[200];
} cbw_finding_t;

/* A growing list of findings; owns its array. */
typedef struct {
    cbw_finding_t *items;
    size_t count;
    size_t capacity;
} cbw_findings_t;

void CbwFindings_Init(cbw_findings_t *findings);
void CbwFindings_Finish(cbw_findings_t *findings);
/* Adds a finding. Returns 0, or -1 when memory ran out. */
int CbwFindings_Add(cbw_findings_t *findings, const char *place, int line,
                    const char *format, ...)
    __attribute__((format(printf, 4, 5)));
/* Prints each finding as "place:line: text", in order of line. */
void CbwFindings_Print(cbw_findings_t *findings, FILE *stream);

#endif
