#include "private/inventory_parser.h"

#include <ctype.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SECTION_FLAGS (CFGF_MULTI | CFGF_TITLE | CFGF_NO_TITLE_DUPES)
/* Start of libconfuse's error message for a duplicate section title. */
#define DUPLICATE_ERROR "found duplicate title"
/* Maximum number of syntax errors that are reported for one text. */
#define SYNTAX_ERRORS_MAX 50

/* libconfuse's callbacks have no context argument, so the context of the
 * current parse is kept in a thread-local variable. */
static __thread parse_context_t *current_context;

/* Validation callback: records the line in which an option is set. */
static int
record_option_line(cfg_t *section, cfg_opt_t *option)
{
    parse_context_t *context = current_context;

    if (context->line_count == context->line_capacity) {
        size_t capacity =
            context->line_capacity ? 2 * context->line_capacity : 256;
        option_line_t *lines =
            realloc(context->lines, capacity * sizeof(*lines));
        if (lines == NULL) {
            return 0;
        }
        context->lines = lines;
        context->line_capacity = capacity;
    }
    context->lines[context->line_count++] = (option_line_t){
        .section = section,
        .option = option->name,
        .line = section->line,
    };
    return 0;
}

/* Error callback: records the first error of a parse. */
static void
record_first_error(cfg_t *section, const char *format, va_list arguments)
{
    parse_context_t *context = current_context;

    if (context->error_line != 0) {
        return;
    }
    context->error_line = section != NULL ? section->line : 1;
    vsnprintf(context->error_text, sizeof(context->error_text), format,
              arguments);
}

/* Returns the line of an option or, when it is not set, the last line of its
 * section. */
static int
line_of_option(const parse_context_t *context, const cfg_t *section,
               const char *option)
{
    for (size_t i = context->line_count; i > 0; i--) {
        const option_line_t *line = &context->lines[i - 1];
        if (line->section == section && strcmp(line->option, option) == 0) {
            return line->line;
        }
    }
    return section->line;
}

void
CbwInventoryParser_AddFinding(const parse_context_t *context,
                              const cfg_t *section, const char *option,
                              const char *format, ...)
{
    char text[200];
    va_list arguments;

    va_start(arguments, format);
    vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    CbwFindings_Add(context->findings, context->source,
                    line_of_option(context, section, option), "%s", text);
}

static cfg_t *
new_parser(void)
{
    static cfg_opt_t endpoint_options[] = {
        CFG_STR("data-centre", NULL, CFGF_NONE),
        CFG_STR("address", NULL, CFGF_NONE),
        CFG_INT("connections", 0, CFGF_NONE),
        CFG_INT("slots", 0, CFGF_NONE),
        CFG_BOOL("leaving", cfg_false, CFGF_NONE),
        CFG_END(),
    };
    static cfg_opt_t database_options[] = {
        CFG_SEC("endpoint", endpoint_options, SECTION_FLAGS),
        CFG_END(),
    };
    static cfg_opt_t data_centre_options[] = {
        CFG_STR("region", "", CFGF_NONE),
        CFG_END(),
    };
    static cfg_opt_t rank_options[] = {
        CFG_INT("floor", 0, CFGF_NONE),
        CFG_END(),
    };
    static cfg_opt_t kind_options[] = {
        CFG_STR("rank", NULL, CFGF_NONE),
        CFG_BOOL("writes", cfg_false, CFGF_NONE),
        CFG_STR("confirm", "position", CFGF_NONE),
        CFG_STR("age", "0s", CFGF_NONE),
        CFG_STR("deadline", "2s", CFGF_NONE),
        CFG_END(),
    };
    static cfg_opt_t options[] = {
        CFG_SEC("data-centre", data_centre_options, SECTION_FLAGS),
        CFG_SEC("rank", rank_options, SECTION_FLAGS),
        CFG_SEC("kind", kind_options, SECTION_FLAGS),
        CFG_SEC("database", database_options, SECTION_FLAGS),
        CFG_END(),
    };
    static const char *const tracked_options[] = {
        "data-centre|region",
        "rank|floor",
        "kind|rank",
        "kind|writes",
        "kind|confirm",
        "kind|age",
        "kind|deadline",
        "database|endpoint|data-centre",
        "database|endpoint|address",
        "database|endpoint|connections",
        "database|endpoint|slots",
        "database|endpoint|leaving",
    };
    cfg_t *parser = cfg_init(options, CFGF_NONE);

    if (parser == NULL) {
        return NULL;
    }
    cfg_set_error_function(parser, record_first_error);
    for (size_t i = 0;
         i < sizeof(tracked_options) / sizeof(tracked_options[0]); i++) {
        cfg_set_validate_func(parser, tracked_options[i], record_option_line);
    }
    return parser;
}

/* Gives the section that begins at `line` a unique title, so that the next
 * parse gets past the duplicate. Returns a new text that the caller frees, or
 * NULL when there is no title or memory ran out. */
static char *
rename_section(char *text, int line, int number)
{
    char *start = text;
    char *title;
    char *renamed;
    size_t title_length;

    for (int i = 1; i < line; i++) {
        start = strchr(start, '\n') + 1;
    }
    title = start + strspn(start, " \t");
    title += strcspn(title, " \t\n");
    title += strspn(title, " \t");
    title_length = strcspn(title, " \t{\n");
    if (title_length == 0 ||
        asprintf(&renamed, "%.*sduplicate.%d%s", (int)(title - text), text,
                 number, title + title_length) < 0) {
        return NULL;
    }
    return renamed;
}

/* Blanks a line, so that the next parse gets past its error. Returns whether
 * it held anything. */
static bool
blank_line(char *text, int line)
{
    char *start = text;
    bool had_content = false;

    for (int i = 1; i < line && start != NULL; i++) {
        start = strchr(start, '\n');
        start = start != NULL ? start + 1 : NULL;
    }
    if (start == NULL) {
        return false;
    }
    for (; *start != '\0' && *start != '\n'; start++) {
        had_content = had_content || !isspace((unsigned char)*start);
        *start = ' ';
    }
    return had_content;
}

/* Modifies the text so that the next parse gets past the error just found.
 * Returns whether that was possible. */
static bool
skip_error(const parse_context_t *context, char **text, int number)
{
    char *renamed;

    if (strncmp(context->error_text, DUPLICATE_ERROR,
                strlen(DUPLICATE_ERROR)) != 0) {
        return blank_line(*text, context->error_line);
    }
    renamed = rename_section(*text, context->error_line, number);
    if (renamed == NULL) {
        return false;
    }
    free(*text);
    *text = renamed;
    return true;
}

/* Parses the text once. Returns whether it has no syntax error. */
static bool
parse_once(parse_context_t *context, cfg_t *parser, const char *text)
{
    bool ok;

    context->line_count = 0;
    context->error_line = 0;
    current_context = context;
    ok = cfg_parse_buf(parser, text) == CFG_SUCCESS;
    current_context = NULL;
    return ok;
}

/* After a syntax error the text is parsed again without the erroneous line or
 * title, so that all errors are found. */
cfg_t *
CbwInventoryParser_Parse(parse_context_t *context, char **text)
{
    for (int attempt = 0; attempt < SYNTAX_ERRORS_MAX; attempt++) {
        cfg_t *parser = new_parser();
        if (parser == NULL) {
            return NULL;
        }
        if (parse_once(context, parser, *text)) {
            return parser;
        }
        cfg_free(parser);
        if (context->error_line == 0) {
            context->error_line = 1;
            snprintf(context->error_text, sizeof(context->error_text),
                     "the inventory cannot be parsed");
        }
        CbwFindings_Add(context->findings, context->source,
                        context->error_line, "%s", context->error_text);
        if (!skip_error(context, text, attempt)) {
            return NULL;
        }
    }
    return NULL;
}
