/* A stand-in for the platform, three backends of one database, and its clients, for the scripts of
 * review/N/run.sh. One process, so that all times are of one clock.
 *
 *   standin NETWORK RECORD TROUBLE    e.g. standin 127.40.7 record.txt 6
 *
 * TROUBLE is the number of the case whose disruptions are played; 0: none.
 *
 * NETWORK.100:7300  the platform's store (kv-key, kv-range, kv-watch, kv-txn) and POST /failover
 * NETWORK.101 to .103, port 7400: the backends; NETWORK.1 to .3: the machines of carobwind
 * (port 7000: clients, port 7200: readiness).
 *
 * A position is the term and number of the last entry of a backend's log. A replica receives an
 * entry LAG_MS after the commit. A backend that crashes closes its connections and comes back under
 * a new id at its address, with its log, as a replica if another backend was promoted meanwhile. A
 * replica that reaches the primary takes over the primary's log.
 *
 * Exits with 1 if STALE was broken, 0 if it held, 2 if the case could not run. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define BACKENDS 3
#define MACHINES 3
#define CLIENTS 9
#define SOCKETS_MAX 512
#define LOG_MAX 20000
#define READS_MAX 60000
#define EVENTS_MAX 20000
#define KEYS_MAX 200
#define TIMERS_MAX 4000
#define LAG_MS 30
#define WORK_MS 4
#define PROMOTE_MS 300
#define HEARTBEAT_MS 1200
#define PAUSE_MS 15

static const char *network;
static FILE *record;
static int trouble;
static double started;

static double
now_ms(void)
{
    struct timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return (double)t.tv_sec * 1000 + (double)t.tv_nsec / 1e6;
}

static void
note(const char *format, ...)
{
    va_list list;
    fprintf(record, "%10.1f ", now_ms() - started);
    va_start(list, format);
    vfprintf(record, format, list);
    va_end(list);
    fputc('\n', record);
}

/* Sockets. */

typedef enum { FREE, LISTEN_HTTP, LISTEN_WIRE, HTTP, WIRE, CLIENT, PROBE } type_t;

typedef struct {
    type_t type;
    int fd;
    int serial; /* of the use of this slot */
    int owner;  /* backend or client */
    char *in;
    size_t in_size;
    bool started; /* WIRE: STARTUP was read */
    /* HTTP: a watch that waits */
    bool watching;
    char prefix[128];
    uint64_t after;
    double watch_until;
} sock_t;

static sock_t socks[SOCKETS_MAX];
static int serials;

static sock_t *
add_socket(type_t type, int fd, int owner)
{
    int one = 1;
    for (int i = 0; i < SOCKETS_MAX; i++) {
        if (socks[i].type == FREE) {
            memset(&socks[i], 0, sizeof(socks[i]));
            socks[i].type = type;
            socks[i].fd = fd;
            socks[i].owner = owner;
            socks[i].serial = ++serials;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            return &socks[i];
        }
    }
    exit(2);
}

static void
drop_socket(sock_t *s)
{
    if (s->type != FREE) {
        close(s->fd);
        free(s->in);
        s->type = FREE;
        s->in = NULL;
    }
}

static void
send_text(sock_t *s, const char *text)
{
    size_t size = strlen(text);
    while (size > 0) {
        ssize_t n = send(s->fd, text, size, MSG_NOSIGNAL);
        if (n < 0) {
            if (errno == EAGAIN || errno == EINTR) {
                continue;
            }
            return; /* the read reports it */
        }
        text += n;
        size -= (size_t)n;
    }
}

static struct sockaddr_in
make_address(int host, int port)
{
    struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
    char text[64];
    snprintf(text, sizeof(text), "%s.%d", network, host);
    if (inet_pton(AF_INET, text, &a.sin_addr) != 1) {
        exit(2);
    }
    return a;
}

static int
open_listener(int host, int port)
{
    struct sockaddr_in a = make_address(host, port);
    int one = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(fd, (struct sockaddr *)&a, sizeof(a)) != 0 || listen(fd, 256) != 0) {
        fprintf(stderr, "cannot listen on %s.%d:%d\n", network, host, port);
        exit(2);
    }
    return fd;
}

/* Timers. */

typedef void (*timer_fn)(int a, int b, char *text);
typedef struct {
    double at;
    timer_fn fn;
    int a;
    int b;
    char *text;
} timer_entry_t;

static timer_entry_t timers[TIMERS_MAX];
static int timer_count;

static void
after(double ms, timer_fn fn, int a, int b, const char *text)
{
    if (timer_count == TIMERS_MAX) {
        exit(2);
    }
    timers[timer_count++] =
        (timer_entry_t){now_ms() + ms, fn, a, b, text != NULL ? strdup(text) : NULL};
}

static void
run_timers(void)
{
    for (;;) {
        int first = -1;
        timer_entry_t t;
        for (int i = 0; i < timer_count; i++) {
            if (timers[i].at <= now_ms() && (first < 0 || timers[i].at < timers[first].at)) {
                first = i;
            }
        }
        if (first < 0) {
            return;
        }
        t = timers[first];
        /* Keeps the order of timers that are due at the same time. */
        memmove(&timers[first], &timers[first + 1],
                (size_t)(timer_count - first - 1) * sizeof(t));
        timer_count--;
        t.fn(t.a, t.b, t.text);
        free(t.text);
    }
}

/* The store. */

typedef struct {
    char key[128];
    char *value; /* base64; NULL: deleted */
    uint64_t revision;
    uint64_t created;
} item_t;

static item_t items[KEYS_MAX];
static int item_count;
static item_t history[EVENTS_MAX];
static int history_count;
static uint64_t revision = 10;

static const char b64[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

static char *
encode64(const char *text)
{
    size_t size = strlen(text);
    char *out = calloc(1, size * 4 / 3 + 8);
    char *p = out;
    for (size_t i = 0; i < size; i += 3) {
        unsigned v = (unsigned char)text[i] << 16;
        v |= i + 1 < size ? (unsigned)(unsigned char)text[i + 1] << 8 : 0;
        v |= i + 2 < size ? (unsigned char)text[i + 2] : 0;
        *p++ = b64[v >> 18];
        *p++ = b64[(v >> 12) & 63];
        *p++ = i + 1 < size ? b64[(v >> 6) & 63] : '=';
        *p++ = i + 2 < size ? b64[v & 63] : '=';
    }
    return out;
}

static item_t *
find_item(const char *key)
{
    for (int i = 0; i < item_count; i++) {
        if (strcmp(items[i].key, key) == 0) {
            return &items[i];
        }
    }
    return NULL;
}

static void wake_watches(void);

/* Stores a base64 text, or removes the key. */
static void
put(const char *key, const char *value)
{
    item_t *item = find_item(key);
    if (value == NULL && (item == NULL || item->value == NULL)) {
        return;
    }
    if (item == NULL) {
        if (item_count == KEYS_MAX || history_count == EVENTS_MAX) {
            exit(2);
        }
        item = &items[item_count++];
        snprintf(item->key, sizeof(item->key), "%s", key);
    }
    revision++;
    if (item->value == NULL) {
        item->created = revision;
    }
    free(item->value);
    item->value = value != NULL ? strdup(value) : NULL;
    item->revision = revision;
    history[history_count] = *item;
    history[history_count++].value = value != NULL ? strdup(value) : NULL;
}

static void
put_text(const char *key, const char *text)
{
    char *value = encode64(text);
    put(key, value);
    free(value);
    wake_watches();
}

static json_t *
describe(const item_t *item)
{
    if (item->value == NULL) {
        return json_pack("{s:s,s:I,s:b}", "key", item->key, "revision",
                         (json_int_t)item->revision, "deleted", 1);
    }
    return json_pack("{s:s,s:s,s:I,s:I,s:i}", "key", item->key, "value", item->value, "revision",
                     (json_int_t)item->revision, "created", (json_int_t)item->created, "lease", 0);
}

static void
respond(sock_t *s, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    char head[160];
    snprintf(head, sizeof(head),
             "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
             status, strlen(text));
    send_text(s, head);
    send_text(s, text);
    free(text);
    json_decref(body);
}

static bool
answer_watch(sock_t *s, bool expired)
{
    json_t *events = json_array();
    for (int i = 0; i < history_count; i++) {
        if (history[i].revision > s->after &&
            strncmp(history[i].key, s->prefix, strlen(s->prefix)) == 0) {
            json_array_append_new(events, describe(&history[i]));
        }
    }
    if (json_array_size(events) == 0 && !expired) {
        json_decref(events);
        return false;
    }
    s->watching = false;
    respond(s, 200, json_pack("{s:o,s:I}", "events", events, "storeRevision",
                              (json_int_t)revision));
    return true;
}

static void
wake_watches(void)
{
    for (int i = 0; i < SOCKETS_MAX; i++) {
        if (socks[i].type == HTTP && socks[i].watching) {
            answer_watch(&socks[i], now_ms() >= socks[i].watch_until);
        }
    }
}

static void
query_field(const char *query, const char *name, char *out, size_t size)
{
    char pattern[32];
    const char *p;
    size_t n = 0;
    snprintf(pattern, sizeof(pattern), "%s=", name);
    out[0] = '\0';
    for (p = strstr(query, pattern); p != NULL && p[-1] != '?' && p[-1] != '&';
         p = strstr(p + 1, pattern)) {
    }
    if (p == NULL) {
        return;
    }
    for (p += strlen(pattern); *p != '\0' && *p != '&' && n + 1 < size; p++) {
        unsigned code;
        if (*p == '%' && sscanf(p + 1, "%2x", &code) == 1) {
            out[n++] = (char)code;
            p += 2;
        }
        else {
            out[n++] = *p;
        }
    }
    out[n] = '\0';
}

static int
compare_items(const void *a, const void *b)
{
    return strcmp((*(item_t *const *)a)->key, (*(item_t *const *)b)->key);
}

static void
handle_range(sock_t *s, const char *path)
{
    char prefix[128];
    char from[128];
    item_t *found[KEYS_MAX];
    int count = 0;
    json_t *list = json_array();
    query_field(path, "prefix", prefix, sizeof(prefix));
    query_field(path, "after", from, sizeof(from));
    for (int i = 0; i < item_count; i++) {
        if (items[i].value != NULL && strncmp(items[i].key, prefix, strlen(prefix)) == 0 &&
            strcmp(items[i].key, from) > 0) {
            found[count++] = &items[i];
        }
    }
    qsort(found, (size_t)count, sizeof(found[0]), compare_items);
    for (int i = 0; i < count; i++) {
        json_array_append_new(list, describe(found[i]));
    }
    respond(s, 200, json_pack("{s:o,s:b,s:I}", "items", list, "hasMore", 0, "storeRevision",
                              (json_int_t)revision));
}

static void
handle_txn(sock_t *s, const char *body)
{
    json_t *root = json_loads(body, 0, NULL);
    json_t *row;
    size_t i;
    bool conflict = false;
    json_t *current = json_array();
    json_array_foreach(json_object_get(root, "expectedRev"), i, row)
    {
        const item_t *item = find_item(json_string_value(json_object_get(row, "key")));
        uint64_t is = item != NULL && item->value != NULL ? item->revision : 0;
        conflict |= is != (uint64_t)json_integer_value(json_object_get(row, "revision"));
        if (is != 0) {
            json_array_append_new(current, describe(item));
        }
    }
    if (conflict) {
        respond(s, 412, json_pack("{s:o,s:I}", "items", current, "storeRevision",
                                  (json_int_t)revision));
        json_decref(root);
        return;
    }
    json_decref(current);
    json_array_foreach(json_object_get(root, "puts"), i, row)
    {
        put(json_string_value(json_object_get(row, "key")),
            json_string_value(json_object_get(row, "value")));
    }
    json_array_foreach(json_object_get(root, "deletes"), i, row)
    {
        put(json_string_value(row), NULL);
    }
    respond(s, 200, json_pack("{s:I}", "revision", (json_int_t)revision));
    json_decref(root);
    wake_watches();
}

/* The backends. */

typedef struct {
    int term;
    int write; /* index of the client's write */
} entry_t;

typedef struct {
    char id[32];
    int incarnation;
    bool up;
    bool primary;
    bool deaf;
    int term;
    entry_t log[LOG_MAX];
    int length;
    double beat_at;
    bool listed;
} backend_t;

static backend_t backends[BACKENDS];
static int highest_term = 1;
static const char *service = "ledger";

/* Writes and reads of the clients. */

typedef struct {
    double acknowledged; /* 0: no */
    char id[24];
} write_t;

typedef struct {
    char id[24];
    double sent;
    bool answered;
    int backend;
    int length;        /* of the log on which it ran */
    int term;          /* of its last entry */
    unsigned char *has; /* the writes that the log held */
    int has_count;
    double ran;
} read_t;

static write_t writes[LOG_MAX];
static int write_count;
static read_t reads[READS_MAX];
static int read_count;

static void
register_backend(int i)
{
    backend_t *b = &backends[i];
    char key[64];
    char text[512];
    static int sequence;
    snprintf(key, sizeof(key), "servers/%s", b->id);
    snprintf(text, sizeof(text),
             "{\"service\":\"%s\",\"address\":\"%s.%d:7400\",\"zone\":\"z%d\",\"version\":\"v1\","
             "\"slots\":3,\"state\":\"ready\",\"coldLeftMs\":0,\"dbRole\":\"%s\",\"sequence\":%d,"
             "\"born\":%lld}",
             service, network, 101 + i, i + 1, b->primary ? "primary" : "replica", ++sequence,
             1700000000000LL + b->incarnation * 1000 + i);
    put_text(key, text);
    b->listed = true;
    b->beat_at = now_ms() + HEARTBEAT_MS;
}

/* Removes the entry of a backend that has been silent for three heartbeats. */
static void
expire_entry(int i, int incarnation, char *id)
{
    char key[64];
    (void)i;
    (void)incarnation;
    snprintf(key, sizeof(key), "servers/%s", id);
    put(key, NULL);
    wake_watches();
    note("the store removes the entry of %s", id);
}

static int
find_leader(void)
{
    int found = -1;
    for (int i = 0; i < BACKENDS; i++) {
        if (backends[i].up && backends[i].primary &&
            (found < 0 || backends[i].term > backends[found].term)) {
            found = i;
        }
    }
    return found;
}

/* A replica takes over the log and the term of the primary, if it can reach one of a later or the
 * same term. */
static void
follow(int i)
{
    int leader = find_leader();
    backend_t *b = &backends[i];
    if (leader < 0 || leader == i || !b->up || b->deaf || b->primary ||
        backends[leader].term < b->term) {
        return;
    }
    memcpy(b->log, backends[leader].log, sizeof(entry_t) * (size_t)backends[leader].length);
    b->length = backends[leader].length;
    b->term = backends[leader].term;
}

static void
replicate(int leader, int incarnation, char *text)
{
    (void)text;
    if (!backends[leader].up || backends[leader].incarnation != incarnation) {
        return;
    }
    for (int i = 0; i < BACKENDS; i++) {
        if (i != leader) {
            follow(i);
        }
    }
}

static void
step_down(int i, int incarnation, char *text)
{
    (void)text;
    if (backends[i].incarnation == incarnation && backends[i].primary &&
        backends[i].term < highest_term) {
        backends[i].primary = false;
        note("%s becomes a replica", backends[i].id);
        follow(i);
        register_backend(i);
    }
}

static void
promote(int i, int incarnation, char *text)
{
    backend_t *b = &backends[i];
    (void)text;
    if (!b->up || b->incarnation != incarnation || (b->primary && b->term == highest_term)) {
        return;
    }
    b->primary = true;
    b->term = ++highest_term;
    note("%s leads term %d, its log ends at %d.%d", b->id, b->term,
         b->length > 0 ? b->log[b->length - 1].term : 1, b->length);
    register_backend(i);
    for (int j = 0; j < BACKENDS; j++) {
        if (j != i && backends[j].up && backends[j].primary) {
            after(1000, step_down, j, backends[j].incarnation, NULL);
        }
        follow(j);
    }
}

static void
crash(int i, int unused, char *text)
{
    backend_t *b = &backends[i];
    (void)unused;
    (void)text;
    if (i < 0) {
        i = find_leader();
        if (i < 0) {
            return;
        }
        b = &backends[i];
    }
    note("%s (%s) crashes", b->id, b->primary ? "primary" : "replica");
    b->up = false;
    b->listed = false;
    after(3 * HEARTBEAT_MS, expire_entry, i, b->incarnation, b->id);
    for (int j = 0; j < SOCKETS_MAX; j++) {
        if ((socks[j].type == WIRE || socks[j].type == LISTEN_WIRE) && socks[j].owner == i) {
            drop_socket(&socks[j]);
        }
    }
}

static void
start_backend(int i, int unused, char *text)
{
    backend_t *b = &backends[i];
    (void)unused;
    (void)text;
    if (b->up) {
        return;
    }
    b->up = true;
    b->incarnation++;
    snprintf(b->id, sizeof(b->id), "i-%d%02d", i + 1, b->incarnation);
    if (b->primary && b->term < highest_term) {
        b->primary = false;
    }
    add_socket(LISTEN_WIRE, open_listener(101 + i, 7400), i);
    note("%s starts at %s.%d:7400 as a %s of term %d, its log ends at %d.%d", b->id, network,
         101 + i, b->primary ? "primary" : "replica", b->term,
         b->length > 0 ? b->log[b->length - 1].term : 1, b->length);
    follow(i);
    register_backend(i);
}

static void
set_deaf(int i, int deaf, char *text)
{
    (void)text;
    backends[i].deaf = deaf != 0;
    note("%s %s", backends[i].id, deaf ? "receives nothing from now on" : "receives again");
    follow(i);
}

static void
handle_failover(sock_t *s, const char *head, const char *body)
{
    json_t *root = json_loads(body, 0, NULL);
    const char *id = json_string_value(json_object_get(root, "id"));
    const char *fence = strcasestr(head, "X-Fencing-Token:");
    int found = -1;
    for (int i = 0; id != NULL && i < BACKENDS; i++) {
        if (backends[i].up && strcmp(backends[i].id, id) == 0) {
            found = i;
        }
    }
    note("failover to %s, token %ld: %s", id != NULL ? id : "-",
         fence != NULL ? atol(fence + 16) : 0, found >= 0 ? "taken" : "409");
    respond(s, found >= 0 ? 200 : 409, json_object());
    if (found >= 0) {
        after(PROMOTE_MS, promote, found, backends[found].incarnation, NULL);
    }
    json_decref(root);
}

/* HTTP. */

static void
handle_http(sock_t *s, char *head, const char *body)
{
    char method[8];
    char path[512];
    char field[160];
    if (sscanf(head, "%7s %511s", method, path) != 2) {
        drop_socket(s);
        return;
    }
    if (strncmp(path, "/carobwind/kv-key", 17) == 0) {
        const item_t *item;
        json_t *reply;
        query_field(path, "key", field, sizeof(field));
        item = find_item(field);
        if (item == NULL || item->value == NULL) {
            respond(s, 404, json_pack("{s:I}", "storeRevision", (json_int_t)revision));
            return;
        }
        reply = describe(item);
        json_object_set_new(reply, "storeRevision", json_integer((json_int_t)revision));
        respond(s, 200, reply);
    }
    else if (strncmp(path, "/carobwind/kv-range", 19) == 0) {
        handle_range(s, path);
    }
    else if (strncmp(path, "/carobwind/kv-watch", 19) == 0) {
        query_field(path, "prefix", s->prefix, sizeof(s->prefix));
        query_field(path, "after", field, sizeof(field));
        s->after = strtoull(field, NULL, 10);
        query_field(path, "waitMs", field, sizeof(field));
        s->watch_until = now_ms() + atof(field);
        s->watching = true;
        answer_watch(s, false);
    }
    else if (strcmp(path, "/carobwind/kv-txn") == 0) {
        handle_txn(s, body);
    }
    else if (strcmp(path, "/failover") == 0) {
        handle_failover(s, head, body);
    }
    else {
        respond(s, 404, json_object());
    }
}

static void
read_http(sock_t *s)
{
    char *end;
    while (s->type == HTTP && s->in != NULL && (end = strstr(s->in, "\r\n\r\n")) != NULL) {
        size_t head_size = (size_t)(end - s->in) + 4;
        const char *length = strcasestr(s->in, "Content-Length:");
        size_t body_size = length != NULL && length < end ? (size_t)atol(length + 15) : 0;
        char *head;
        char *body;
        int serial = s->serial;
        if (s->in_size < head_size + body_size) {
            return;
        }
        head = strndup(s->in, head_size);
        body = strndup(s->in + head_size, body_size);
        s->in_size -= head_size + body_size;
        memmove(s->in, s->in + head_size + body_size, s->in_size + 1);
        handle_http(s, head, body);
        free(head);
        free(body);
        if (s->serial != serial) {
            return;
        }
    }
}

/* The backends' wire. */

static void
position(const backend_t *b, char *text)
{
    sprintf(text, "%d.%d", b->length > 0 ? b->log[b->length - 1].term : 1, b->length);
}

static void
reply(int slot, int serial, char *text)
{
    if (socks[slot].type == WIRE && socks[slot].serial == serial) {
        send_text(&socks[slot], text);
    }
}

static void
run_read(backend_t *b, int index, const char *id)
{
    for (int i = read_count - 1; i >= 0; i--) {
        if (strcmp(reads[i].id, id) == 0) {
            read_t *r = &reads[i];
            free(r->has);
            r->has = calloc(1, (size_t)write_count + 1);
            r->has_count = write_count;
            for (int k = 0; k < b->length; k++) {
                r->has[b->log[k].write] = 1;
            }
            r->backend = index;
            r->length = b->length;
            r->term = b->length > 0 ? b->log[b->length - 1].term : 1;
            r->ran = now_ms() - started;
            return;
        }
    }
}

/* Runs a statement and returns its answer. */
static void
run_statement(sock_t *s, const char *id, char *text, char *out, size_t size)
{
    backend_t *b = &backends[s->owner];
    char at[48];
    int term;
    int number;
    int used = 0;
    if (sscanf(text, "AFTER %d.%d %n", &term, &number, &used) == 2 && used > 0) {
        position(b, at);
        if (number > b->length || (number > 0 && b->log[number - 1].term != term)) {
            snprintf(out, size, "ERROR LAGGING %s\r\nREADY I %s\r\n", b->id, at);
            return;
        }
        text += used;
    }
    if (strcmp(text, "STATUS") == 0 || sscanf(text, "STEPDOWN %d", &term) == 1) {
        if (text[1] == 'T' && text[2] == 'E' && b->primary && b->term < term) {
            b->primary = false;
            note("%s is told to step down", b->id);
            follow(s->owner);
            register_backend(s->owner);
        }
        position(b, at);
        snprintf(out, size, "DATAROW %s %d %s 0 0 0 1\r\nCOMPLETE -\r\nREADY I %s\r\n",
                 b->primary ? "primary" : "replica", b->term, at, at);
        return;
    }
    if (strncmp(text, "READ ", 5) == 0) {
        run_read(b, s->owner, id);
        position(b, at);
        snprintf(out, size, "DATAROW %s\r\nCOMPLETE %s.%s\r\nREADY I %s\r\n", at, b->id, id, at);
        return;
    }
    if (strncmp(text, "WRITE ", 6) == 0) {
        if (!b->primary) {
            position(b, at);
            snprintf(out, size, "ERROR READONLY %s\r\nREADY I %s\r\n", b->id, at);
            return;
        }
        if (b->length == LOG_MAX) {
            exit(2);
        }
        b->log[b->length++] = (entry_t){b->term, atoi(text + 6 + 1)};
        after(LAG_MS, replicate, s->owner, b->incarnation, NULL);
        position(b, at);
        snprintf(out, size, "COMPLETE %s.%s\r\nREADY I %s\r\n", b->id, id, at);
        return;
    }
    position(b, at);
    snprintf(out, size, "COMPLETE -\r\nREADY I %s\r\n", at);
}

static void
read_wire(sock_t *s)
{
    char *end;
    while (s->type == WIRE && s->in != NULL && (end = strstr(s->in, "\r\n")) != NULL) {
        char *line = strndup(s->in, (size_t)(end - s->in));
        size_t size = (size_t)(end - s->in) + 2;
        char out[1024];
        char at[48];
        s->in_size -= size;
        memmove(s->in, s->in + size, s->in_size + 1);
        if (!s->started) {
            char name[64] = "";
            char user[64] = "";
            char id[64] = "";
            sscanf(line, "STARTUP %63s %63s %63s", name, user, id);
            if (strcmp(name, service) != 0 ||
                (id[0] != '\0' && strcmp(id, backends[s->owner].id) != 0)) {
                send_text(s, "ERROR WRONGNODE -\r\n");
                drop_socket(s);
                free(line);
                return;
            }
            s->started = true;
            position(&backends[s->owner], at);
            snprintf(out, sizeof(out), "READY I %s\r\n", at);
            send_text(s, out);
        }
        else if (strncmp(line, "QUERY ", 6) == 0) {
            char *id = line + 6;
            char *text = strchr(id, ' ');
            if (text != NULL) {
                *text++ = '\0';
                run_statement(s, id, text, out, sizeof(out));
                after(strcmp(id, "-") == 0 ? 0 : WORK_MS, reply, (int)(s - socks), s->serial, out);
            }
        }
        else if (strcmp(line, "TERMINATE") == 0) {
            drop_socket(s);
        }
        free(line);
    }
}

/* The clients. Each has one session on the route `pay` (primary) and does one operation after the
 * other: a write, then two reads. After an error or a close it goes on at the next machine. */

typedef struct {
    int slot; /* -1: not connected */
    int machine;
    bool ready;
    int step;
    int read;  /* outstanding; -1: none */
    int write; /* likewise */
    int served;
    int failed;
} client_t;

static client_t clients[CLIENTS];
static bool stopping;
static int served;
static int failed;

static void connect_client(int c, int unused, char *text);

static void
next_operation(int c, int serial, char *text)
{
    client_t *client = &clients[c];
    char line[128];
    (void)text;
    if (stopping || client->slot < 0 || socks[client->slot].serial != serial) {
        return;
    }
    if (client->step++ % 3 == 0) {
        write_t *w = &writes[write_count];
        if (write_count == LOG_MAX) {
            return;
        }
        snprintf(w->id, sizeof(w->id), "w%08d", write_count);
        client->write = write_count++;
        snprintf(line, sizeof(line), "QUERY %s WRITE k%d v%d\r\n", w->id, client->write,
                 client->write);
        note("%s sent by client %d to machine %d", w->id, c, client->machine + 1);
    }
    else {
        read_t *r = &reads[read_count];
        if (read_count == READS_MAX) {
            return;
        }
        snprintf(r->id, sizeof(r->id), "r%08d", read_count);
        r->backend = -1;
        r->sent = now_ms();
        client->read = read_count++;
        snprintf(line, sizeof(line), "QUERY %s READ k%d\r\n", r->id, c);
    }
    send_text(&socks[client->slot], line);
}

static void
leave_machine(int c)
{
    client_t *client = &clients[c];
    if (client->slot >= 0) {
        drop_socket(&socks[client->slot]);
    }
    client->slot = -1;
    client->ready = false;
    client->read = client->write = -1;
    client->machine = (client->machine + 1) % MACHINES;
    after(60, connect_client, c, 0, NULL);
}

static void
connect_client(int c, int unused, char *text)
{
    struct sockaddr_in a = make_address(clients[c].machine + 1, 7000);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    sock_t *s;
    (void)unused;
    (void)text;
    if (stopping) {
        close(fd);
        return;
    }
    if (connect(fd, (struct sockaddr *)&a, sizeof(a)) != 0) {
        close(fd);
        leave_machine(c);
        return;
    }
    fcntl(fd, F_SETFL, O_NONBLOCK);
    s = add_socket(CLIENT, fd, c);
    clients[c].slot = (int)(s - socks);
    send_text(s, "STARTUP pay tester\r\n");
}

static void
end_operation(int c, const char *outcome)
{
    client_t *client = &clients[c];
    bool done = strcmp(outcome, "done") == 0;
    if (client->write >= 0) {
        if (done) {
            writes[client->write].acknowledged = now_ms();
        }
        note("%s %s", writes[client->write].id, done ? "acknowledged" : outcome);
    }
    if (client->read >= 0 && done) {
        reads[client->read].answered = true;
    }
    client->write = client->read = -1;
    served += done;
    failed += !done;
    after(done ? PAUSE_MS : 50, next_operation, c, socks[client->slot].serial, NULL);
}

static void
read_client(sock_t *s)
{
    int c = s->owner;
    char *end;
    static char outcome[CLIENTS][64];
    while (s->type == CLIENT && s->in != NULL && (end = strstr(s->in, "\r\n")) != NULL) {
        char *line = strndup(s->in, (size_t)(end - s->in));
        size_t size = (size_t)(end - s->in) + 2;
        s->in_size -= size;
        memmove(s->in, s->in + size, s->in_size + 1);
        if (strncmp(line, "COMPLETE", 8) == 0) {
            strcpy(outcome[c], "done");
        }
        else if (strncmp(line, "ERROR ", 6) == 0) {
            snprintf(outcome[c], sizeof(outcome[c]), "%.50s", line + 6);
            if (!clients[c].ready) {
                free(line);
                leave_machine(c);
                return;
            }
        }
        else if (strncmp(line, "READY", 5) == 0) {
            if (!clients[c].ready) {
                clients[c].ready = true;
                after(PAUSE_MS, next_operation, c, s->serial, NULL);
            }
            else {
                end_operation(c, outcome[c]);
            }
        }
        free(line);
    }
}

/* The loop. */

static void
on_event(sock_t *s)
{
    char buffer[65536];
    ssize_t n;
    if (s->type == LISTEN_HTTP || s->type == LISTEN_WIRE) {
        int fd = accept4(s->fd, NULL, NULL, SOCK_NONBLOCK);
        if (fd >= 0) {
            add_socket(s->type == LISTEN_HTTP ? HTTP : WIRE, fd, s->owner);
        }
        return;
    }
    n = read(s->fd, buffer, sizeof(buffer));
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n <= 0) {
        if (s->type == CLIENT) {
            leave_machine(s->owner);
        }
        else {
            drop_socket(s);
        }
        return;
    }
    s->in = realloc(s->in, s->in_size + (size_t)n + 1);
    memcpy(s->in + s->in_size, buffer, (size_t)n);
    s->in_size += (size_t)n;
    s->in[s->in_size] = '\0';
    if (s->type == HTTP) {
        read_http(s);
    }
    else if (s->type == WIRE) {
        read_wire(s);
    }
    else if (s->type == CLIENT) {
        read_client(s);
    }
}

static void
run_for(double ms)
{
    double until = now_ms() + ms;
    while (now_ms() < until) {
        struct pollfd fds[SOCKETS_MAX];
        int slots[SOCKETS_MAX];
        int serial[SOCKETS_MAX];
        int count = 0;
        run_timers();
        wake_watches();
        for (int i = 0; i < BACKENDS; i++) {
            if (backends[i].up && now_ms() >= backends[i].beat_at) {
                register_backend(i);
            }
        }
        for (int i = 0; i < SOCKETS_MAX; i++) {
            if (socks[i].type != FREE) {
                fds[count] = (struct pollfd){socks[i].fd, POLLIN, 0};
                serial[count] = socks[i].serial;
                slots[count++] = i;
            }
        }
        poll(fds, (nfds_t)count, 1);
        for (int i = 0; i < count; i++) {
            if (fds[i].revents != 0 && socks[slots[i]].type != FREE &&
                socks[slots[i]].serial == serial[i]) {
                on_event(&socks[slots[i]]);
            }
        }
    }
}

/* Asks whether a machine is ready, as the platform does. The question must not wait for this
 * process, so it is asked with short time-outs. */
static bool
is_ready(int machine)
{
    struct sockaddr_in a = make_address(machine + 1, 7200);
    struct timeval limit = {0, 50000};
    char text[256] = "";
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    const char *request = "GET /carobwind/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    bool ready = false;
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    if (connect(fd, (struct sockaddr *)&a, sizeof(a)) == 0 &&
        send(fd, request, strlen(request), MSG_NOSIGNAL) > 0 &&
        recv(fd, text, sizeof(text) - 1, 0) > 0) {
        ready = strncmp(text, "HTTP/1.1 200", 12) == 0;
    }
    close(fd);
    return ready;
}

/* STALE, on a `primary` route: a read that was answered with success ran on a log that lacks a
 * commit which was acknowledged before the read was sent. Commits that a promotion rolled back,
 * which the log of the last primary lacks, don't count. */
static int
judge(void)
{
    int leader = find_leader();
    int stale = 0;
    int acknowledged = 0;
    int kept = 0;
    char *final = calloc(1, LOG_MAX + 1);
    if (leader < 0) {
        note("no backend leads in the end");
        return 2;
    }
    for (int k = 0; k < backends[leader].length; k++) {
        final[backends[leader].log[k].write] = 1;
    }
    for (int w = 0; w < write_count; w++) {
        acknowledged += writes[w].acknowledged > 0;
        kept += writes[w].acknowledged > 0 && final[w];
    }
    for (int i = 0; i < read_count; i++) {
        read_t *r = &reads[i];
        int missing = 0;
        int first = -1;
        fprintf(record, "%s sent at %.1f, ran at %.1f on backend %d at %d.%d, %s\n", r->id,
                r->sent - started, r->ran, r->backend + 1, r->term, r->length,
                r->answered ? "answered" : "no success");
        if (!r->answered || r->has == NULL) {
            continue;
        }
        for (int w = 0; w < r->has_count; w++) {
            if (writes[w].acknowledged > 0 && writes[w].acknowledged < r->sent && final[w] &&
                !r->has[w]) {
                first = first < 0 ? w : first;
                missing++;
            }
        }
        if (missing > 0) {
            stale++;
            if (stale <= 10) {
                note("STALE: %s, sent at %.1f, ran at %.1f on backend %d, whose log ended at "
                     "%d.%d, without %d commits acknowledged before, the first is %s, "
                     "acknowledged at %.1f",
                     r->id, r->sent - started, r->ran, r->backend + 1, r->term, r->length,
                     missing, writes[first].id, writes[first].acknowledged - started);
            }
        }
    }
    note("%d operations served, %d failed; %d writes acknowledged, %d of them in the log of the "
         "last primary; %d reads answered against STALE",
         served, failed, acknowledged, kept, stale);
    printf("%d operations served, %d failed; %d writes acknowledged, %d of them kept; %d reads "
           "broke STALE\n",
           served, failed, acknowledged, kept, stale);
    return stale > 0 ? 1 : served > 500 ? 0 : 2;
}

int
main(int argc, char **argv)
{
    const char *config =
        "{\"version\":3,\"routes\":[{\"name\":\"r1\",\"database\":\"pay\",\"routeType\":"
        "\"primary\",\"timeoutMs\":800,\"targetLatencyMs\":150,\"priority\":0,\"service\":"
        "\"ledger\"}],\"services\":[{\"name\":\"ledger\",\"maxConns\":88,\"syncReplicas\":0}],"
        "\"limits\":{\"idleTxMs\":3000}}";
    int ready = 0;
    if (argc < 4) {
        return 2;
    }
    network = argv[1];
    record = fopen(argv[2], "w");
    trouble = atoi(argv[3]);
    if (record == NULL) {
        return 2;
    }
    setvbuf(record, NULL, _IOLBF, 0);
    signal(SIGPIPE, SIG_IGN);
    started = now_ms();
    add_socket(LISTEN_HTTP, open_listener(100, 7300), 0);
    put_text("op/config", config);
    for (int i = 0; i < BACKENDS; i++) {
        backends[i].primary = i == 0;
        backends[i].term = 1;
        start_backend(i, 0, NULL);
    }
    for (int i = 0; i < 100 && ready < MACHINES; i++) {
        run_for(200);
        ready = 0;
        for (int m = 0; m < MACHINES; m++) {
            ready += is_ready(m);
        }
    }
    if (ready < MACHINES) {
        note("the machines are not ready");
        return 2;
    }
    note("all machines are ready");
    for (int c = 0; c < CLIENTS; c++) {
        clients[c] = (client_t){.slot = -1, .machine = c % MACHINES, .read = -1, .write = -1};
        connect_client(c, 0, NULL);
    }
    run_for(1000);
    if (trouble == 6) {
        after(1000, set_deaf, 1, 1, NULL);
        after(1000, set_deaf, 2, 1, NULL);
        after(2500, crash, 0, 0, NULL);
        after(3000, set_deaf, 1, 0, NULL);
        after(3000, set_deaf, 2, 0, NULL);
        after(5000, set_deaf, 0, 1, NULL);
        after(5500, start_backend, 0, 0, NULL);
        after(7900, set_deaf, 2, 1, NULL);
        after(8000, crash, 1, 0, NULL);
        after(8100, set_deaf, 2, 0, NULL);
        after(8500, set_deaf, 1, 1, NULL);
        after(9500, start_backend, 1, 0, NULL);
        after(11000, crash, 2, 0, NULL);
        after(11400, set_deaf, 0, 0, NULL);
        after(11400, set_deaf, 1, 0, NULL);
        after(14500, start_backend, 2, 0, NULL);
    }
    else if (trouble) {
        after(1000, crash, 2, 0, NULL);
        after(2000, set_deaf, 1, 1, NULL);
        after(3300, crash, 0, 0, NULL);
        after(5250, crash, 1, 0, NULL);
        after(6500, start_backend, 0, 0, NULL);
        after(8000, start_backend, 2, 0, NULL);
        after(8500, set_deaf, 1, 0, NULL);
        after(12250, start_backend, 1, 0, NULL);
    }
    run_for(trouble == 6 ? 17000 : 15000);
    stopping = true;
    run_for(1000);
    return judge();
}
