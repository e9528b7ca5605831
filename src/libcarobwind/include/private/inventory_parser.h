/* Parsing of the inventory text with libconfuse.
 *
 * libconfuse stops at the first error and does not keep the lines of options.
 * This wrapper finds all syntax errors and records the line of each option. */
#ifndef CAROBWIND_PRIVATE_INVENTORY_PARSER_H
#define CAROBWIND_PRIVATE_INVENTORY_PARSER_H

#include <confuse.h>

#include "carobwind/error.h"

/* The line in which an option was set. */
typedef struct {
    const cfg_t *section;
    const char *option;
    int line;
} option_line_t;

/* State of one parse. Owns its array of lines. */
typedef struct {
    const char *source;
    cbw_findings_t *findings;
    option_line_t *lines;
    size_t line_count;
    size_t line_capacity;
    int error_line; /* first error of the current attempt; 0: none */
    char error_text[200];
} parse_context_t;

/* Parses `*text`, an allocated string. Adds a finding for each syntax error;
 * to get past it, modifies `*text` or replaces it by another allocated string.
 * The caller frees `*text`. Returns the parsed text, which the caller frees
 * with cfg_free, or NULL when memory ran out, an error can't be skipped or
 * there are too many of them. */
cfg_t *CbwInventoryParser_Parse(parse_context_t *context, char **text);
/* Adds a finding at an option or, when it is not set, at its section. */
void CbwInventoryParser_AddFinding(const parse_context_t *context,
                                   const cfg_t *section, const char *option,
                                   const char *format, ...)
    __attribute__((format(printf, 4, 5)));

#endif
