#include "share/options.h"

#include <argtable2.h>
#include <ctype.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "share/version.h"

#define OPTIONS_MAX 40
#define VARIABLE_MAX 64
#define ERRORS_MAX 20

typedef union {
    struct arg_str *string;
    struct arg_int *integer;
    struct arg_dbl *number;
    struct arg_lit *flag;
    void *any;
} entry_t;

/* Formats the environment variable of a long flag into `name`. */
static void
format_variable_name(const char *option, char *name)
{
    size_t length =
        (size_t)snprintf(name, VARIABLE_MAX, "CAROBWIND_%s", option);

    for (size_t i = 0; i < length && i < VARIABLE_MAX - 1; i++) {
        name[i] = name[i] == '-' ? '_' : (char)toupper((unsigned char)name[i]);
    }
}

static void
set_integer(const cbw_option_t *option, const char *source, const char *text,
            cbw_findings_t *findings)
{
    char *end;
    long value = strtol(text, &end, 10);

    if (*text == '\0' || *end != '\0' || value < option->min ||
        value > option->max) {
        CbwFindings_Add(findings, source, 0,
                        "\"%s\" is not an integer from %ld to %ld", text,
                        option->min, option->max);
        return;
    }
    *(long *)option->target = value;
}

static void
set_double(const cbw_option_t *option, const char *source, const char *text,
           cbw_findings_t *findings)
{
    char *end;
    double value = strtod(text, &end);

    if (*text == '\0' || *end != '\0') {
        CbwFindings_Add(findings, source, 0, "\"%s\" is not a number", text);
        return;
    }
    *(double *)option->target = value;
}

static void
set_value(const cbw_option_t *option, const char *source, const char *text,
          cbw_findings_t *findings)
{
    switch (option->type) {
    case CBW_OPTION_STRING:
        *(const char **)option->target = text;
        break;
    case CBW_OPTION_INTEGER:
        set_integer(option, source, text, findings);
        break;
    case CBW_OPTION_DOUBLE:
        set_double(option, source, text, findings);
        break;
    case CBW_OPTION_FLAG:
        *(bool *)option->target =
            strcmp(text, "0") != 0 && strcmp(text, "") != 0;
        break;
    }
}

static void
apply_environment(const cbw_program_t *program, cbw_findings_t *findings)
{
    for (int i = 0; i < program->option_count; i++) {
        char name[VARIABLE_MAX];
        const char *text;
        format_variable_name(program->options[i].name, name);
        text = getenv(name);
        if (text != NULL) {
            set_value(&program->options[i], name, text, findings);
        }
    }
}

static void
fill_table(const cbw_program_t *program, entry_t *entries, void **table)
{
    for (int i = 0; i < program->option_count; i++) {
        const cbw_option_t *option = &program->options[i];
        if (option->type == CBW_OPTION_FLAG) {
            entries[i].flag = arg_lit0(NULL, option->name, option->help);
        }
        else {
            entries[i].string =
                arg_str0(NULL, option->name, option->value_name, option->help);
        }
        table[i] = entries[i].any;
    }
}

static void
apply_flags(const cbw_program_t *program, const entry_t *entries,
            cbw_findings_t *findings)
{
    for (int i = 0; i < program->option_count; i++) {
        const cbw_option_t *option = &program->options[i];
        char source[VARIABLE_MAX];
        snprintf(source, sizeof(source), "--%s", option->name);
        if (option->type == CBW_OPTION_FLAG) {
            if (entries[i].flag->count > 0) {
                *(bool *)option->target = true;
            }
        }
        else if (entries[i].string->count > 0) {
            set_value(option, source, entries[i].string->sval[0], findings);
        }
    }
}

static void
print_help(const cbw_program_t *program, void **table)
{
    printf("Usage: %s", program->program);
    arg_print_syntax(stdout, table, "\n");
    printf("%s\n\n", program->summary);
    if (program->arguments_help != NULL) {
        printf("%s\n\n", program->arguments_help);
    }
    arg_print_glossary(stdout, table, "  %-32s %s\n");
    printf("\nEach flag --some-name can be set as CAROBWIND_SOME_NAME in the "
           "environment;\nthe flag takes precedence.\n");
}

static void
add_parse_errors(struct arg_end *end, const char *program,
                 cbw_findings_t *findings)
{
    char messages[2048] = "";
    char *line;
    char *remaining = messages;
    FILE *stream = fmemopen(messages, sizeof(messages) - 1, "w");

    if (stream == NULL) {
        return;
    }
    arg_print_errors(stream, end, program);
    fclose(stream);
    while ((line = strsep(&remaining, "\n")) != NULL) {
        if (line[0] != '\0') {
            CbwFindings_Add(findings, "command line", 0, "%s", line);
        }
    }
}

int
CbwOptions_Parse(const cbw_program_t *program, int argc, char **argv,
                 const char **arguments, cbw_findings_t *findings)
{
    entry_t entries[OPTIONS_MAX];
    void *table[OPTIONS_MAX + 4];
    struct arg_lit *help = arg_lit0("h", "help", "print this help and exit");
    struct arg_lit *version =
        arg_lit0(NULL, "version", "print the version and exit");
    struct arg_str *positional =
        arg_strn(NULL, NULL, "WORD", 0, program->arguments_max, "see above");
    struct arg_end *end = arg_end(ERRORS_MAX);
    size_t findings_before = findings->count;
    int count = program->option_count;
    int table_size;
    int errors;

    fill_table(program, entries, table);
    table[count++] = help;
    table[count++] = version;
    if (program->arguments_max > 0) {
        table[count++] = positional;
    }
    else {
        free(positional); /* not freed with the table */
    }
    table[count++] = end;
    table_size = count;
    errors = arg_parse(argc, argv, table);
    if (help->count > 0) {
        print_help(program, table);
        exit(0);
    }
    if (version->count > 0) {
        printf("%s %s\n", program->program, CbwVersion_STRING);
        exit(0);
    }
    apply_environment(program, findings);
    if (errors > 0) {
        add_parse_errors(end, program->program, findings);
    }
    apply_flags(program, entries, findings);
    count = program->arguments_max > 0 ? positional->count : 0;
    for (int i = 0; i < count; i++) {
        arguments[i] = positional->sval[i];
    }
    errors = findings->count > findings_before;
    /* The strings point into argv and outlive the table. */
    arg_freetable(table, (size_t)table_size);
    return errors ? -1 : count;
}
