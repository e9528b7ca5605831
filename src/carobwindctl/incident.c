#include "incident.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>
#include <time.h>

/* What happened so long before a request's end may be its cause: a change of
 * primary with the longest wait for former holders. */
#define SECONDS_BEFORE 12
#define SECONDS_AFTER 1
#define NAME_MAX_ 64

typedef struct {
    char *text; /* owned */
    const char *file;
    double time; /* seconds since 1970 */
    size_t number;
} line_t;

typedef struct {
    line_t *items;
    size_t count;
} lines_t;

static double
parse_time(const char *text)
{
    struct tm parts;
    char *rest;

    memset(&parts, 0, sizeof(parts));
    rest = strptime(text, "%Y-%m-%dT%H:%M:%S", &parts);
    if (rest == NULL || *rest != '.') {
        return -1;
    }
    return (double)timegm(&parts) + strtod(rest, NULL);
}

static void
add_line(lines_t *lines, const char *text, const char *file)
{
    /* Whatever a collector put before the time is passed over. */
    const char *begin = strstr(text, "20");
    double time = -1;

    while (begin != NULL && (time = parse_time(begin)) < 0) {
        begin = strstr(begin + 1, "20");
    }
    if (begin == NULL) {
        return;
    }
    if ((lines->count & (lines->count - 1)) == 0) {
        size_t room = lines->count == 0 ? 1 : 2 * lines->count;
        lines->items = realloc(lines->items, room * sizeof(line_t));
        if (lines->items == NULL) {
            abort();
        }
    }
    lines->items[lines->count] =
        (line_t){strdup(begin), file, time, lines->count};
    lines->count++;
}

static int
read_lines(lines_t *lines, const char *path)
{
    FILE *file = fopen(path, "r");
    char *text = NULL;
    size_t room = 0;

    if (file == NULL) {
        fprintf(stderr, "carobwindctl: cannot read %s\n", path);
        return EX_NOINPUT;
    }
    while (getline(&text, &room, file) >= 0) {
        text[strcspn(text, "\n")] = '\0';
        add_line(lines, text, path);
    }
    free(text);
    fclose(file);
    return EX_OK;
}

static int
compare_lines(const void *a, const void *b)
{
    const line_t *x = a;
    const line_t *y = b;

    if (x->time != y->time) {
        return x->time < y->time ? -1 : 1;
    }
    return x->number < y->number ? -1 : 1; /* as they were read */
}

/* Whether the line has the pair name=value. */
static bool
has_pair(const char *line, const char *name, const char *value)
{
    char pair[2 * NAME_MAX_];
    const char *found = line;
    int length = snprintf(pair, sizeof(pair), " %s=%.60s", name, value);

    while ((found = strstr(found, pair)) != NULL) {
        if (found[length] == ' ' || found[length] == '\0') {
            return true;
        }
        found++;
    }
    return false;
}

/* Copies the value of `name` in the line; "" when there is none. */
static void
get_value(const char *line, const char *name, char *value)
{
    char start[NAME_MAX_];
    const char *found;

    snprintf(start, sizeof(start), " %s=", name);
    found = strstr(line, start);
    value[0] = '\0';
    if (found != NULL) {
        snprintf(value, NAME_MAX_, "%.*s",
                 (int)strcspn(found + strlen(start), " "),
                 found + strlen(start));
    }
}

/* The base name of a file: the host whose log it is. */
static const char *
host_of(const char *path)
{
    const char *slash = strrchr(path, '/');

    return slash != NULL ? slash + 1 : path;
}

static bool
is_context(const line_t *line, const char *database, const line_t *request)
{
    if (line->time < request->time - SECONDS_BEFORE ||
        line->time > request->time + SECONDS_AFTER) {
        return false;
    }
    return (has_pair(line->text, "task", "owner") &&
            has_pair(line->text, "database", database)) ||
           has_pair(line->text, "task", "store") ||
           has_pair(line->text, "task", "main") ||
           (has_pair(line->text, "task", "config") &&
            has_pair(line->text, "event", "in-force")) ||
           (has_pair(line->text, "task", "config") &&
            has_pair(line->text, "database", database));
}

static void
print_line(const line_t *line, bool is_request)
{
    printf("%s %-24.24s %s\n", is_request ? ">" : " ", host_of(line->file),
           line->text);
}

static const line_t *
find_request(const lines_t *lines, const char *id)
{
    for (size_t i = 0; i < lines->count; i++) {
        if (has_pair(lines->items[i].text, "request", id)) {
            return &lines->items[i];
        }
    }
    return NULL;
}

static int
print_story(const lines_t *lines, const char *subject)
{
    const line_t *request = find_request(lines, subject);
    char database[NAME_MAX_];
    int printed = 0;

    if (request != NULL) {
        get_value(request->text, "service", database);
        if (database[0] == '\0') {
            get_value(request->text, "database", database);
        }
    }
    for (size_t i = 0; i < lines->count; i++) {
        const line_t *line = &lines->items[i];
        bool own = has_pair(line->text, "request", subject);
        bool shown = own || (request != NULL
                                 ? is_context(line, database, request)
                                 : has_pair(line->text, "database", subject) &&
                                       has_pair(line->text, "task", "owner"));
        if (shown) {
            print_line(line, own);
            printed++;
        }
    }
    if (printed == 0) {
        fprintf(stderr, "carobwindctl: no line names %s\n", subject);
        return EX_DATAERR;
    }
    return EX_OK;
}

int
Incident_Print(const char *subject, const char *const *files, int file_count)
{
    lines_t lines = {NULL, 0};
    int code = EX_OK;

    for (int i = 0; i < file_count && code == EX_OK; i++) {
        code = read_lines(&lines, files[i]);
    }
    if (code == EX_OK) {
        if (lines.count > 0) {
            qsort(lines.items, lines.count, sizeof(line_t), compare_lines);
        }
        code = print_story(&lines, subject);
    }
    for (size_t i = 0; i < lines.count; i++) {
        free(lines.items[i].text);
    }
    free(lines.items);
    return code;
}
