#include "carobwind/token.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Parses decimal digits up to the character `end`, and sets `rest` to what
 * follows it. Returns 0, or -1 if anything else stands before `end`. */
static int
parse_number(const char *text, char end, uint64_t *value, const char **rest)
{
    char *parsed_end;

    if (*text < '0' || *text > '9') {
        return -1;
    }
    *value = strtoull(text, &parsed_end, 10);
    if (*parsed_end != end) {
        return -1;
    }
    *rest = parsed_end + 1;
    return 0;
}

/* Replaces a character of a name. A token has blanks in place of a name's
 * colons; names have no blanks. */
static void
replace_character(char *name, char from, char to)
{
    for (; *name != '\0'; name++) {
        if (*name == from) {
            *name = to;
        }
    }
}

int
CbwToken_Parse(cbw_token_t *token, const char *text)
{
    const char *colon = strchr(text, ':');
    const char *rest;
    size_t length;

    memset(token, 0, sizeof(*token));
    if (colon == NULL) {
        return -1;
    }
    length = (size_t)(colon - text);
    if (length == 0 || length >= sizeof(token->database)) {
        return -1;
    }
    memcpy(token->database, text, length);
    replace_character(token->database, ' ', ':');
    if (parse_number(colon + 1, ':', &token->term, &rest) != 0) {
        return -1;
    }
    return parse_number(rest, '\0', &token->position, &rest);
}

void
CbwToken_Format(const cbw_token_t *token, char *text)
{
    char database[Cbw_NAME_MAX];

    memcpy(database, token->database, sizeof(database));
    replace_character(database, ':', ' ');
    snprintf(text, Cbw_TOKEN_MAX, "%s:%" PRIu64 ":%" PRIu64, database,
             token->term, token->position);
}
