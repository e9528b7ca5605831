#include "incident.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>
#include <time.h>

/* Time before and after the first line that names a request, in which other
 * lines may explain its outcome. Hosts log that line when the request ends.
 * The time before it covers the longest failover, including the wait for the
 * tenures of previous holders to expire (Cbw_TENURE_VALID_FOR). */
#define SECONDS_BEFORE 12
#define SECONDS_AFTER 1
/* Size of the buffers for the name or the value of a field, in bytes. */
#define FIELD_SIZE 64

typedef struct {
    char *text; /* owned; begins with the timestamp */
    const char *path;
    double time;       /* seconds since 1970 */
    size_t read_order; /* orders lines of the same time */
} log_line_t;

typedef struct {
    log_line_t *items;
    size_t count;
} log_lines_t;

/* Returns the time in seconds since 1970, or -1 when `text` does not begin
 * with a timestamp of the log format. */
static double
parse_time(const char *text)
{
    struct tm calendar_time;
    char *fraction;

    memset(&calendar_time, 0, sizeof(calendar_time));
    fraction = strptime(text, "%Y-%m-%dT%H:%M:%S", &calendar_time);
    if (fraction == NULL || *fraction != '.') {
        return -1;
    }
    return (double)timegm(&calendar_time) + strtod(fraction, NULL);
}

/* Adds a copy of the line, starting at its timestamp. Lines without one are
 * skipped. */
static void
add_line(log_lines_t *lines, const char *text, const char *path)
{
    /* A log collector may have put a prefix before the timestamp, which begins
     * with the century. */
    const char *timestamp = strstr(text, "20");
    double time = -1;

    while (timestamp != NULL && (time = parse_time(timestamp)) < 0) {
        timestamp = strstr(timestamp + 1, "20");
    }
    if (timestamp == NULL) {
        return;
    }
    /* The capacity doubles whenever the count reaches a power of two. */
    if ((lines->count & (lines->count - 1)) == 0) {
        size_t capacity = lines->count == 0 ? 1 : 2 * lines->count;
        lines->items = realloc(lines->items, capacity * sizeof(log_line_t));
        if (lines->items == NULL) {
            abort();
        }
    }
    lines->items[lines->count] =
        (log_line_t){strdup(timestamp), path, time, lines->count};
    lines->count++;
}

static int
read_lines(log_lines_t *lines, const char *path)
{
    FILE *file = fopen(path, "r");
    char *text = NULL;
    size_t buffer_size = 0;

    if (file == NULL) {
        fprintf(stderr, "carobwindctl: cannot read the log file %s\n", path);
        return EX_NOINPUT;
    }
    while (getline(&text, &buffer_size, file) >= 0) {
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
    const log_line_t *x = a;
    const log_line_t *y = b;

    if (x->time != y->time) {
        return x->time < y->time ? -1 : 1;
    }
    return x->read_order < y->read_order ? -1 : 1;
}

/* Whether the line has the field name=value. `value` is truncated to 60 bytes,
 * so that the field fits into the buffer. */
static bool
has_field(const char *line, const char *name, const char *value)
{
    char field[2 * FIELD_SIZE];
    const char *found = line;
    int length = snprintf(field, sizeof(field), " %s=%.60s", name, value);

    while ((found = strstr(found, field)) != NULL) {
        if (found[length] == ' ' || found[length] == '\0') {
            return true;
        }
        found++;
    }
    return false;
}

/* Copies the value of the field `name` into `value`, which holds FIELD_SIZE
 * bytes; "" when the line has no such field. */
static void
get_field(const char *line, const char *name, char *value)
{
    char prefix[FIELD_SIZE];
    const char *found;

    snprintf(prefix, sizeof(prefix), " %s=", name);
    found = strstr(line, prefix);
    value[0] = '\0';
    if (found != NULL) {
        snprintf(value, FIELD_SIZE, "%.*s",
                 (int)strcspn(found + strlen(prefix), " "),
                 found + strlen(prefix));
    }
}

/* Returns the base name of a log file, which names its host. */
static const char *
host_of_log(const char *path)
{
    const char *slash = strrchr(path, '/');

    return slash != NULL ? slash + 1 : path;
}

/* Whether a line that does not name the request may explain its outcome. */
static bool
is_related(const log_line_t *line, const char *database,
           const log_line_t *request)
{
    if (line->time < request->time - SECONDS_BEFORE ||
        line->time > request->time + SECONDS_AFTER) {
        return false;
    }
    return (has_field(line->text, "task", "owner") &&
            has_field(line->text, "database", database)) ||
           has_field(line->text, "task", "store") ||
           has_field(line->text, "task", "main") ||
           (has_field(line->text, "task", "config") &&
            has_field(line->text, "event", "in-force")) ||
           (has_field(line->text, "task", "config") &&
            has_field(line->text, "database", database));
}

/* Prints a line with its host, and marks it if it names the request. */
static void
print_line(const log_line_t *line, bool names_request)
{
    printf("%s %-24.24s %s\n", names_request ? ">" : " ",
           host_of_log(line->path), line->text);
}

/* Returns the first line that names the request, or NULL. */
static const log_line_t *
find_request(const log_lines_t *lines, const char *id)
{
    for (size_t i = 0; i < lines->count; i++) {
        if (has_field(lines->items[i].text, "request", id)) {
            return &lines->items[i];
        }
    }
    return NULL;
}

/* Prints the lines about a request or a database. Returns an exit code. */
static int
print_timeline(const log_lines_t *lines, const char *subject)
{
    const log_line_t *request = find_request(lines, subject);
    char database[FIELD_SIZE];
    int printed = 0;

    if (request != NULL) {
        /* The lines that name a request have its database as "service", the
         * platform's word, and the kind that the caller named as "database". A
         * request that was not routed to a database has no "service". */
        get_field(request->text, "service", database);
        if (database[0] == '\0') {
            get_field(request->text, "database", database);
        }
    }
    for (size_t i = 0; i < lines->count; i++) {
        const log_line_t *line = &lines->items[i];
        bool names_request = has_field(line->text, "request", subject);
        bool relevant =
            names_request ||
            (request != NULL ? is_related(line, database, request)
                             : has_field(line->text, "database", subject) &&
                                   has_field(line->text, "task", "owner"));
        if (relevant) {
            print_line(line, names_request);
            printed++;
        }
    }
    if (printed == 0) {
        fprintf(stderr,
                "carobwindctl: no log line names the request or database %s\n",
                subject);
        return EX_DATAERR;
    }
    return EX_OK;
}

int
Incident_Print(const char *subject, const char *const *files, int file_count)
{
    log_lines_t lines = {NULL, 0};
    int code = EX_OK;

    for (int i = 0; i < file_count && code == EX_OK; i++) {
        code = read_lines(&lines, files[i]);
    }
    if (code == EX_OK) {
        if (lines.count > 0) {
            qsort(lines.items, lines.count, sizeof(log_line_t), compare_lines);
        }
        code = print_timeline(&lines, subject);
    }
    for (size_t i = 0; i < lines.count; i++) {
        free(lines.items[i].text);
    }
    free(lines.items);
    return code;
}
