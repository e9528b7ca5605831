/* Settings of a program in flags and environment variables. Each long flag
 * "--some-name" has a variable "CAROBWIND_SOME_NAME"; the flag goes first. */
#ifndef CAROBWIND_SHARE_OPTIONS_H
#define CAROBWIND_SHARE_OPTIONS_H

#include "carobwind/error.h"

typedef enum {
    CBW_OPTION_STRING,
    CBW_OPTION_INTEGER,
    CBW_OPTION_DOUBLE,
    CBW_OPTION_FLAG,
} cbw_option_type_t;

/* One setting. The value is written through `target`: const char **, long *,
 * double * or bool *, which holds the default before. */
typedef struct {
    cbw_option_type_t type;
    const char *name; /* of the long flag */
    const char *value_name;
    const char *help;
    void *target;
    long min; /* INTEGER only */
    long max; /* INTEGER only */
} cbw_option_t;

typedef struct {
    const char *program;
    const char *summary;
    const char *arguments_help; /* of the words after the flags; NULL: none */
    const cbw_option_t *options;
    int option_count;
    int arguments_max;
} cbw_program_t;

#define CbwOptions_ARGUMENTS_MAX 512

/* Parses flags and variables; strings point into argv or the environment.
 * Prints and exits with 0 for --help and --version. Sets `words` (of
 * CbwOptions_ARGUMENTS_MAX) and returns their number; or returns -1 with what
 * is wrong in `findings`. */
int CbwOptions_Parse(const cbw_program_t *program, int argc, char **argv,
                     const char **words, cbw_findings_t *findings);

#endif
