/* Command line and environment of a program. Each long flag "--some-name" can
 * also be set as environment variable "CAROBWIND_SOME_NAME"; the flag takes
 * precedence. */
#ifndef CAROBWIND_SHARE_OPTIONS_H
#define CAROBWIND_SHARE_OPTIONS_H

#include "carobwind/error.h"

typedef enum {
    CBW_OPTION_STRING,
    CBW_OPTION_INTEGER,
    CBW_OPTION_DOUBLE,
    CBW_OPTION_FLAG,
} cbw_option_type_t;

/* One setting. `target` points to a const char *, long, double or bool,
 * depending on `type`, which holds the default value until it is parsed. */
typedef struct {
    cbw_option_type_t type;
    const char *name;       /* of the long flag, without "--" */
    const char *value_name; /* placeholder in the help text */
    const char *help;
    void *target;
    long min; /* CBW_OPTION_INTEGER only */
    long max; /* CBW_OPTION_INTEGER only */
} cbw_option_t;

typedef struct {
    const char *program;
    const char *summary;
    const char *arguments_help; /* for positional arguments; NULL: none */
    const cbw_option_t *options;
    int option_count;
    int arguments_max; /* positional arguments; at most
                          CbwOptions_ARGUMENTS_MAX */
} cbw_program_t;

/* Maximum number of positional arguments. */
#define CbwOptions_ARGUMENTS_MAX 512

/* Parses the environment and the command line into the targets of the
 * options; strings point into argv or the environment. Prints to standard
 * output and exits with 0 for --help and --version. Writes the positional
 * arguments to `arguments` (room for CbwOptions_ARGUMENTS_MAX) and returns
 * their number, or returns -1 with the errors added to `findings`. */
int CbwOptions_Parse(const cbw_program_t *program, int argc, char **argv,
                     const char **arguments, cbw_findings_t *findings);

#endif
