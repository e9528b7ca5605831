/* Parsing of the inventory's text by libconfuse, which stops at its first
 * error and keeps no lines: all errors are found, and lines are noted beside.
 */
#ifndef CAROBWIND_PRIVATE_INVENTORY_PARSER_H
#define CAROBWIND_PRIVATE_INVENTORY_PARSER_H

#include <confuse.h>

#include "carobwind/error.h"

/* Where an option was set; the parser itself does not keep it. */
typedef struct {
    const cfg_t *section;
    const char *option;
    int line;
} option_line_t;

/* What one parse collects; owns its array of lines. */
typedef struct {
    const char *source;
    cbw_findings_t *findings;
    option_line_t *lines;
    size_t line_count;
    size_t line_capacity;
    int error_line;
    char error_text[200];
} parse_context_t;

/* Parses `*text`, which is changed where it has errors. Adds a finding for
 * each syntax error. Returns the parser, to be freed by cfg_free, or NULL. */
cfg_t *CbwInventoryParser_Parse(parse_context_t *context, char **text);
/* Adds a finding at an option, or at its section when it was not set. */
void CbwInventoryParser_AddFinding(const parse_context_t *context,
                                   const cfg_t *section, const char *option,
                                   const char *format, ...)
    __attribute__((format(printf, 4, 5)));

#endif
