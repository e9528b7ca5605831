/* Error reporting: an error that a call fills in, and a list of findings with
 * their source positions, for checks that report all problems of an input at
 * once. */
#ifndef CAROBWIND_ERROR_H
#define CAROBWIND_ERROR_H

#include <stddef.h>
#include <stdio.h>

typedef enum {
    CBW_ERROR_NONE,
    CBW_ERROR_INVALID,     /* malformed input */
    CBW_ERROR_IO,          /* a socket or file call failed */
    CBW_ERROR_CONFLICT,    /* a concurrent change came first */
    CBW_ERROR_UNAVAILABLE, /* the peer does not answer */
    CBW_ERROR_MEMORY,
} cbw_error_code_t;

/* Name of each cbw_error_code_t. */
extern const char *const CbwError_CodeString[];

typedef struct {
    cbw_error_code_t code;
    char text[256]; /* message for people */
} cbw_error_t;

/* Fills in `error`, unless it is NULL. Always returns -1, so that a function
 * can fail with `return CbwError_Set(...)`. */
int CbwError_Set(cbw_error_t *error, cbw_error_code_t code, const char *format,
                 ...) __attribute__((format(printf, 3, 4)));

/* A problem found in an input, and its position. */
typedef struct {
    char source[128]; /* file, flag or key of the input */
    int line;         /* 0: none */
    char text[200];
} cbw_finding_t;

/* A growing list of findings. Owns its array. */
typedef struct {
    cbw_finding_t *items;
    size_t count;
    size_t capacity;
} cbw_findings_t;

/* Makes an empty list. */
void CbwFindings_Init(cbw_findings_t *findings);
/* Frees the findings and leaves an empty list. */
void CbwFindings_Finish(cbw_findings_t *findings);
/* Adds a finding. Returns 0, or -1 when memory ran out. */
int CbwFindings_Add(cbw_findings_t *findings, const char *source, int line,
                    const char *format, ...)
    __attribute__((format(printf, 4, 5)));
/* Prints each finding as "source:line: text", sorted by line, and sorts the
 * list in doing so. */
void CbwFindings_Print(cbw_findings_t *findings, FILE *stream);

#endif
