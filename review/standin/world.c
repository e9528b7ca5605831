#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define STORE_PORT 8783
#define BACKEND_PORT 8149
#define CONTROL_PORT 8782
#define FRONT_PORT 8784
#define READY_PORT 8785
#define QUEUE_MAX 24

static char network[12]; /* "127.a.b" */
static char temporary[100];
static FILE *record_file;
static struct timespec started;

ms_t
now_ms(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (ms_t)(now.tv_sec - started.tv_sec) * 1000 +
           (now.tv_nsec - started.tv_nsec) / 1000000;
}

static long
unix_ms(void)
{
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    return now.tv_sec * 1000L + now.tv_nsec / 1000000;
}

void
record(const char *format, ...)
{
    va_list arguments;

    fprintf(record_file, "%7.3f ", (double)now_ms() / 1000);
    va_start(arguments, format);
    vfprintf(record_file, format, arguments);
    va_end(arguments);
    fputc('\n', record_file);
    fflush(record_file);
}

static void *
grow(void *block, size_t size)
{
    void *grown = realloc(block, size);

    if (grown == NULL) {
        abort();
    }
    return grown;
}

static const char *const zones[] = {"bm-centre", "fquih-bensalah",
                                    "kasba-tadla", "azilal"};

/* Timers. */

typedef struct timer {
    ms_t at;
    void (*function)(void *);
    void *argument;
    struct timer *next;
} task_t;

static task_t *timers;

void
after(ms_t delay, void (*function)(void *), void *argument)
{
    task_t *timer = grow(NULL, sizeof(*timer));
    task_t **place = &timers;

    *timer = (task_t){now_ms() + delay, function, argument, NULL};
    while (*place != NULL && (*place)->at <= timer->at) {
        place = &(*place)->next;
    }
    timer->next = *place;
    *place = timer;
}

/* Connections. */

static connection_t *connections;

static connection_t *
add_connection(int fd, const char *peer_ip, void *owner,
               void (*on_input)(connection_t *),
               void (*on_closed)(connection_t *))
{
    connection_t *connection = calloc(1, sizeof(*connection));
    int enable = 1;

    if (connection == NULL) {
        abort();
    }
    fcntl(fd, F_SETFL, O_NONBLOCK);
    fcntl(fd, F_SETFD, FD_CLOEXEC);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
    connection->fd = fd;
    snprintf(connection->peer_ip, sizeof(connection->peer_ip), "%s", peer_ip);
    connection->owner = owner;
    connection->on_input = on_input;
    connection->on_closed = on_closed;
    connection->next = connections;
    connections = connection;
    return connection;
}

static void
close_connection(connection_t *connection)
{
    if (!connection->closed) {
        connection->closed = true;
        close(connection->fd);
        if (connection->on_closed != NULL) {
            connection->on_closed(connection);
        }
    }
}

static void
flush_connection(connection_t *connection)
{
    while (!connection->closed && !connection->connecting &&
           connection->out_size > 0) {
        ssize_t size = send(connection->fd, connection->out,
                            connection->out_size, MSG_NOSIGNAL);
        if (size < 0) {
            if (errno != EAGAIN) {
                close_connection(connection);
            }
            return;
        }
        memmove(connection->out, connection->out + size,
                connection->out_size - (size_t)size);
        connection->out_size -= (size_t)size;
    }
}

static void
send_bytes(connection_t *connection, const char *bytes, size_t size)
{
    if (connection->closed) {
        return;
    }
    if (connection->out_size + size > connection->out_capacity) {
        connection->out_capacity = 2 * (connection->out_size + size);
        connection->out = grow(connection->out, connection->out_capacity);
    }
    memcpy(connection->out + connection->out_size, bytes, size);
    connection->out_size += size;
    flush_connection(connection);
}

static void
send_text(connection_t *connection, const char *format, ...)
{
    char *text;
    va_list arguments;

    va_start(arguments, format);
    if (vasprintf(&text, format, arguments) < 0) {
        abort();
    }
    va_end(arguments);
    send_bytes(connection, text, strlen(text));
    free(text);
}

static void
consume(connection_t *connection, size_t size)
{
    memmove(connection->in, connection->in + size, connection->in_size - size);
    connection->in_size -= size;
}

static void
read_connection(connection_t *connection)
{
    ssize_t size;

    if (connection->connecting) {
        int error = 0;
        socklen_t length = sizeof(error);
        getsockopt(connection->fd, SOL_SOCKET, SO_ERROR, &error, &length);
        connection->connecting = false;
        if (error != 0) {
            close_connection(connection);
            return;
        }
        flush_connection(connection);
        return;
    }
    if (connection->in_capacity - connection->in_size < 65537) {
        connection->in_capacity = 2 * connection->in_capacity + 131072;
        connection->in = grow(connection->in, connection->in_capacity);
    }
    size = recv(connection->fd, connection->in + connection->in_size,
                connection->in_capacity - connection->in_size - 1, 0);
    if (size > 0) {
        connection->in_size += (size_t)size;
        connection->in[connection->in_size] = '\0';
        connection->on_input(connection);
    }
    else if (size == 0 || errno != EAGAIN) {
        close_connection(connection);
    }
}

/* Listeners. */

typedef struct {
    int fd;
    void *owner;
    void (*on_accept)(void *owner, int fd, const char *ip);
} listener_t;

static listener_t listeners[32];
static int listener_count;

static int
add_listener(const char *ip, int port, void *owner,
             void (*on_accept)(void *, int, const char *))
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    int enable = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

    inet_pton(AF_INET, ip, &address.sin_addr);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
    if (fd < 0 ||
        bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, 256) != 0) {
        close(fd);
        return -1;
    }
    listeners[listener_count++] = (listener_t){fd, owner, on_accept};
    return fd;
}

static void
reap_connections(void)
{
    connection_t **place = &connections;

    while (*place != NULL) {
        connection_t *connection = *place;
        if (connection->closed) {
            *place = connection->next;
            free(connection->in);
            free(connection->out);
            free(connection);
        }
        else {
            place = &connection->next;
        }
    }
}

void
run_until(ms_t end)
{
    while (now_ms() < end) {
        static struct pollfd polled[8192];
        static connection_t *owners[8192];
        int count = 0;
        ms_t wait = end - now_ms();
        while (timers != NULL && timers->at <= now_ms()) {
            task_t *timer = timers;
            timers = timer->next;
            timer->function(timer->argument);
            free(timer);
        }
        reap_connections();
        if (timers != NULL && timers->at - now_ms() < wait) {
            wait = timers->at - now_ms();
        }
        for (int i = 0; i < listener_count; i++) {
            polled[count] = (struct pollfd){listeners[i].fd, POLLIN, 0};
            owners[count++] = NULL;
        }
        for (connection_t *connection = connections;
             connection != NULL && count < 8192;
             connection = connection->next) {
            short events = connection->held ? 0 : POLLIN;
            if (connection->connecting || connection->out_size > 0) {
                events |= POLLOUT;
            }
            if (events == 0) {
                continue;
            }
            polled[count] = (struct pollfd){connection->fd, events, 0};
            owners[count++] = connection;
        }
        if (poll(polled, (nfds_t)count, wait > 0 ? (int)wait : 0) <= 0) {
            continue;
        }
        for (int i = 0; i < count; i++) {
            if (polled[i].revents == 0) {
                continue;
            }
            if (owners[i] == NULL) {
                struct sockaddr_in peer;
                socklen_t length = sizeof(peer);
                char ip[16];
                int fd =
                    accept(polled[i].fd, (struct sockaddr *)&peer, &length);
                if (fd >= 0) {
                    inet_ntop(AF_INET, &peer.sin_addr, ip, sizeof(ip));
                    listeners[i].on_accept(listeners[i].owner, fd, ip);
                }
                continue;
            }
            if (owners[i]->closed) {
                continue;
            }
            if (!owners[i]->connecting && (polled[i].revents & POLLOUT)) {
                flush_connection(owners[i]);
            }
            if (!owners[i]->closed &&
                (owners[i]->connecting || (polled[i].revents & ~POLLOUT))) {
                read_connection(owners[i]);
            }
        }
    }
}

/* HTTP. */

typedef struct {
    char method[8];
    char path[2048];
    char holder[64];
    char fence[32];
    const char *body;
    size_t body_size;
} request_t;

static void
respond(connection_t *connection, int status, const char *body)
{
    send_text(connection,
              "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
              "Content-Length: %zu\r\n\r\n%s",
              status, strlen(body), body);
}

static void
find_header(const char *head, const char *name, char *value, size_t size)
{
    const char *line = strcasestr(head, name);
    size_t length;

    value[0] = '\0';
    if (line == NULL) {
        return;
    }
    line += strlen(name) + 1;
    line += strspn(line, " ");
    length = strcspn(line, "\r\n");
    snprintf(value, size, "%.*s", (int)length, line);
}

/* Takes one request off the input. Returns whether there was one. */
static bool
take_request(connection_t *connection, request_t *request, char **buffer)
{
    char *end =
        connection->in_size > 0 ? strstr(connection->in, "\r\n\r\n") : NULL;
    char length[24];
    size_t head;
    size_t total;

    if (end == NULL) {
        return false;
    }
    head = (size_t)(end - connection->in) + 4;
    *buffer = strndup(connection->in, head);
    find_header(*buffer, "content-length", length, sizeof(length));
    total = head + (size_t)atol(length);
    free(*buffer);
    if (connection->in_size < total) {
        return false;
    }
    *buffer = grow(NULL, total + 1);
    memcpy(*buffer, connection->in, total);
    (*buffer)[total] = '\0';
    consume(connection, total);
    connection->in[connection->in_size] = '\0';
    request->body = *buffer + head;
    request->body_size = total - head;
    (*buffer)[head - 1] = '\0';
    sscanf(*buffer, "%7s %2047s", request->method, request->path);
    find_header(*buffer, "x-lease-holder", request->holder,
                sizeof(request->holder));
    find_header(*buffer, "x-fencing-token", request->fence,
                sizeof(request->fence));
    return true;
}

static void
url_parameter(const char *path, const char *name, char *value, size_t size)
{
    const char *query = strchr(path, '?');
    size_t length = strlen(name);

    value[0] = '\0';
    for (; query != NULL; query = strchr(query, '&')) {
        query++;
        if (strncmp(query, name, length) == 0 && query[length] == '=') {
            const char *from = query + length + 1;
            size_t used = 0;
            for (; *from != '\0' && *from != '&' && used + 1 < size; from++) {
                if (*from == '%') {
                    unsigned code;
                    sscanf(from + 1, "%2x", &code);
                    value[used++] = (char)code;
                    from += 2;
                }
                else {
                    value[used++] = *from;
                }
            }
            value[used] = '\0';
            return;
        }
    }
}

/* The store. */

typedef struct {
    char key[208];
    char *value; /* base64; NULL: deleted */
    uint64_t revision, created;
} item_t;

typedef struct watch {
    connection_t *connection;
    char prefix[208];
    uint64_t after;
    ms_t until;
    struct watch *next;
} watch_t;

store_control_t store_control;
static item_t items[512];
static int item_count;
static uint64_t revision = 100;
static watch_t *watches;

static const char base64_letters[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

static char *
encode_base64(const char *text)
{
    size_t size = strlen(text);
    char *encoded = grow(NULL, size / 3 * 4 + 8);
    size_t used = 0;

    for (size_t i = 0; i < size; i += 3) {
        unsigned a = (unsigned char)text[i];
        unsigned b = i + 1 < size ? (unsigned char)text[i + 1] : 0;
        unsigned c = i + 2 < size ? (unsigned char)text[i + 2] : 0;
        unsigned bits = a << 16 | b << 8 | c;
        encoded[used++] = base64_letters[bits >> 18];
        encoded[used++] = base64_letters[bits >> 12 & 63];
        encoded[used++] = i + 1 < size ? base64_letters[bits >> 6 & 63] : '=';
        encoded[used++] = i + 2 < size ? base64_letters[bits & 63] : '=';
    }
    encoded[used] = '\0';
    return encoded;
}

static char *
decode_base64(const char *text)
{
    char *decoded = grow(NULL, strlen(text) + 4);
    size_t used = 0;
    unsigned bits = 0;
    int have = 0;

    for (; *text != '\0' && *text != '='; text++) {
        const char *place = strchr(base64_letters, *text);
        if (place == NULL) {
            continue;
        }
        bits = bits << 6 | (unsigned)(place - base64_letters);
        have += 6;
        if (have >= 8) {
            have -= 8;
            decoded[used++] = (char)(bits >> have);
        }
    }
    decoded[used] = '\0';
    return decoded;
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

static json_t *
item_json(const item_t *item)
{
    if (item->value == NULL) {
        return json_pack("{s:s, s:I, s:b}", "key", item->key, "revision",
                         (json_int_t)item->revision, "deleted", 1);
    }
    return json_pack("{s:s, s:s, s:I, s:I, s:i}", "key", item->key, "value",
                     item->value, "revision", (json_int_t)item->revision,
                     "created", (json_int_t)item->created, "lease", 0);
}

static void
respond_json(connection_t *connection, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);

    respond(connection, status, text);
    free(text);
    json_decref(body);
}

static bool
answer_watch(const watch_t *watch, bool even_if_empty)
{
    json_t *events = json_array();

    for (int i = 0; i < item_count; i++) {
        if (items[i].revision > watch->after &&
            strncmp(items[i].key, watch->prefix, strlen(watch->prefix)) == 0) {
            json_array_append_new(events, item_json(&items[i]));
        }
    }
    if (json_array_size(events) == 0 && !even_if_empty) {
        json_decref(events);
        return false;
    }
    respond_json(watch->connection, 200,
                 json_pack("{s:o, s:I}", "events", events, "storeRevision",
                           (json_int_t)revision));
    return true;
}

static void
check_watches(void)
{
    watch_t **place = &watches;

    while (*place != NULL) {
        watch_t *watch = *place;
        if (answer_watch(watch, now_ms() >= watch->until)) {
            *place = watch->next;
            free(watch);
        }
        else {
            place = &watch->next;
        }
    }
}

static void
drop_watches(connection_t *connection)
{
    watch_t **place = &watches;

    while (*place != NULL) {
        watch_t *watch = *place;
        if (watch->connection == connection) {
            *place = watch->next;
            free(watch);
        }
        else {
            place = &watch->next;
        }
    }
}

/* Takes over `value`. */
static void
set_item(const char *key, char *value)
{
    item_t *item = find_item(key);

    if (item == NULL) {
        if (item_count == 512) {
            abort();
        }
        item = &items[item_count++];
        snprintf(item->key, sizeof(item->key), "%s", key);
    }
    if (item->value == NULL) {
        item->created = revision;
    }
    free(item->value);
    item->value = value;
    item->revision = revision;
}

void
store_put(const char *key, const char *value)
{
    revision++;
    set_item(key, encode_base64(value));
    check_watches();
}

const char *
store_holder(void)
{
    static char holder[64];
    char key[128];
    item_t *item;
    char *text;

    snprintf(key, sizeof(key), "carobwind/group/%s", service_name);
    item = find_item(key);
    holder[0] = '\0';
    if (item != NULL && item->value != NULL) {
        text = decode_base64(item->value);
        sscanf(text, "%*s %*s %63s", holder);
        free(text);
    }
    return holder;
}

void
store_delete(const char *key)
{
    revision++;
    set_item(key, NULL);
    check_watches();
}

static void
transact(connection_t *connection, const request_t *request)
{
    json_t *root = json_loadb(request->body, request->body_size, 0, NULL);
    const json_t *row;
    size_t i;
    bool lost = false;

    if (store_control.loses_answer != NULL) {
        const json_t *put = json_array_get(json_object_get(root, "puts"), 0);
        const char *value = json_string_value(json_object_get(put, "value"));
        char *text = decode_base64(value != NULL ? value : "");
        const char *key = json_string_value(json_object_get(put, "key"));
        lost = key != NULL &&
               store_control.loses_answer(connection->peer_ip, key, text);
        free(text);
    }
    json_array_foreach(json_object_get(root, "expectedRev"), i, row)
    {
        const char *key = json_string_value(json_object_get(row, "key"));
        const item_t *item = find_item(key);
        uint64_t present =
            item != NULL && item->value != NULL ? item->revision : 0;
        if ((json_int_t)present !=
            json_integer_value(json_object_get(row, "revision"))) {
            json_t *list = json_array();
            if (present != 0) {
                json_array_append_new(list, item_json(item));
            }
            respond_json(connection, 412, json_pack("{s:o}", "items", list));
            json_decref(root);
            return;
        }
    }
    if (json_array_size(json_object_get(root, "puts")) +
            json_array_size(json_object_get(root, "deletes")) >
        0) {
        revision++;
    }
    json_array_foreach(json_object_get(root, "puts"), i, row)
    {
        const char *key = json_string_value(json_object_get(row, "key"));
        set_item(key,
                 strdup(json_string_value(json_object_get(row, "value"))));
        if (strncmp(key, "carobwind/group/", 16) == 0) {
            char *text = decode_base64(
                json_string_value(json_object_get(row, "value")));
            record("store: %s = %s, revision %llu, from %s%s", key, text,
                   (unsigned long long)revision, connection->peer_ip,
                   lost ? ", its answer is lost" : "");
            free(text);
        }
    }
    json_array_foreach(json_object_get(root, "deletes"), i, row)
    {
        set_item(json_string_value(row), NULL);
    }
    json_decref(root);
    if (lost) {
        connection->held = true; /* it returns nothing further */
    }
    else {
        respond_json(connection, 200,
                     json_pack("{s:I}", "revision", (json_int_t)revision));
    }
    check_watches();
}

static int
compare_items(const void *a, const void *b)
{
    return strcmp((*(item_t *const *)a)->key, (*(item_t *const *)b)->key);
}

static void
answer_range(connection_t *connection, const char *prefix)
{
    item_t *sorted[512];
    int count = 0;
    json_t *list = json_array();

    for (int i = 0; i < item_count; i++) {
        if (items[i].value != NULL &&
            strncmp(items[i].key, prefix, strlen(prefix)) == 0) {
            sorted[count++] = &items[i];
        }
    }
    qsort(sorted, (size_t)count, sizeof(sorted[0]), compare_items);
    for (int i = 0; i < count; i++) {
        json_array_append_new(list, item_json(sorted[i]));
    }
    respond_json(connection, 200,
                 json_pack("{s:o, s:b, s:I}", "items", list, "hasMore", 0,
                           "storeRevision", (json_int_t)revision));
}

typedef struct {
    int fd;
    char ip[16];
    request_t request;
    char *buffer;
    connection_t *connection;
} delayed_t;

static bool
is_open(connection_t *connection)
{
    for (connection_t *other = connections; other != NULL;
         other = other->next) {
        if (other == connection) {
            return !other->closed;
        }
    }
    return false;
}

static void
handle_store(void *argument)
{
    delayed_t *delayed = argument;
    connection_t *connection = delayed->connection;
    const request_t *request = &delayed->request;
    char text[256];

    if (!is_open(connection) || store_control.silent) {
        free(delayed->buffer);
        free(delayed);
        return;
    }
    if (strncmp(request->path, "/carobwind/kv-key?", 18) == 0) {
        item_t *item;
        url_parameter(request->path, "key", text, sizeof(text));
        item = find_item(text);
        if (item == NULL || item->value == NULL) {
            respond(connection, 404, "{}");
        }
        else {
            json_t *body = item_json(item);
            json_object_set_new(body, "storeRevision",
                                json_integer((json_int_t)revision));
            respond_json(connection, 200, body);
        }
    }
    else if (strncmp(request->path, "/carobwind/kv-range?", 20) == 0) {
        url_parameter(request->path, "prefix", text, sizeof(text));
        answer_range(connection, text);
    }
    else if (strncmp(request->path, "/carobwind/kv-watch?", 20) == 0) {
        watch_t *watch = calloc(1, sizeof(*watch));
        watch->connection = connection;
        url_parameter(request->path, "after", text, sizeof(text));
        watch->after = strtoull(text, NULL, 10);
        url_parameter(request->path, "waitMs", text, sizeof(text));
        watch->until = now_ms() + atol(text);
        url_parameter(request->path, "prefix", watch->prefix,
                      sizeof(watch->prefix));
        watch->next = watches;
        watches = watch;
        check_watches();
    }
    else if (strcmp(request->path, "/carobwind/kv-txn") == 0) {
        transact(connection, request);
    }
    else {
        respond(connection, 404, "{}");
    }
    free(delayed->buffer);
    free(delayed);
}

static void
on_store_input(connection_t *connection)
{
    request_t request;
    char *buffer;

    while (!connection->closed &&
           take_request(connection, &request, &buffer)) {
        delayed_t *delayed = calloc(1, sizeof(*delayed));
        delayed->request = request;
        delayed->buffer = buffer;
        delayed->connection = connection;
        after(4, handle_store, delayed); /* 4 ms an answer */
    }
}

static void
on_store_accept(void *owner, int fd, const char *ip)
{
    add_connection(fd, ip, owner, on_store_input, drop_watches);
}

static void
tick_watches(void *argument)
{
    (void)argument;
    check_watches();
    after(100, tick_watches, NULL);
}

/* Backends. */

backend_t backends[BACKENDS_MAX];
int backend_count;
char service_name[64] = "facturation-a";
backend_settings_t backend_settings = {.slots = 3,
                                       .connections = 49,
                                       .handshake_ms = 12,
                                       .network_ms = 1,
                                       .lag_ms = 60,
                                       .read_ms = 18,
                                       .write_ms = 6,
                                       .sync_replicas = 0};
void (*on_promoted)(backend_t *);
void (*on_run)(backend_t *, const char *, const char *);

typedef struct {
    backend_t *backend;
    connection_t *connection; /* NULL: closed */
    bool started;
    char state;
    bool reads_only;
    uint64_t begun_in_term;
    entry_t writes[16];
    int write_count;
    char names[64][24], shapes[64][64];
    int name_count;
    bool busy;
    struct operation *waiting, *waiting_last;
    int references;
} link_t;

typedef struct operation {
    link_t *link;
    char *line;
    uint64_t wait_number; /* for a replica to receive */
    struct operation *next;
} operation_t;

static void start_operations(backend_t *backend);
static void take_next(link_t *link);
static void on_backend_input(connection_t *connection);

backend_t *
current_primary(void)
{
    backend_t *best = NULL;

    for (int i = 0; i < backend_count; i++) {
        if (backends[i].primary &&
            (best == NULL || backends[i].term > best->term)) {
            best = &backends[i];
        }
    }
    return best;
}

static entry_t
position(const backend_t *backend, size_t count)
{
    return count > 0 ? backend->log[count - 1]
                     : (entry_t){.term = 3, .number = 1200};
}

void
backend_register(backend_t *backend)
{
    char key[64];
    char text[512];

    snprintf(key, sizeof(key), "servers/%s", backend->id);
    snprintf(text, sizeof(text),
             "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\","
             "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
             "\"coldLeftMs\":0,\"dbRole\":\"%s\",\"sequence\":%d,"
             "\"born\":%ld}",
             service_name, backend->ip, BACKEND_PORT, backend->zone,
             backend_settings.slots, backend->draining ? "draining" : "ready",
             backend->primary ? "primary" : "replica", ++backend->sequence,
             (long)backend->born);
    store_put(key, text);
}

static void
append_entry(backend_t *backend, const entry_t *entry)
{
    if (backend->received == backend->capacity) {
        backend->capacity = 2 * backend->capacity + 64;
        backend->log = grow(backend->log, backend->capacity * sizeof(entry_t));
    }
    backend->log[backend->received++] = *entry;
}

/* The log of `to` becomes that of `from`, up to `count` entries. */
static void
copy_log(backend_t *to, const backend_t *from, size_t count)
{
    size_t same = 0;

    while (same < to->received && same < count &&
           to->log[same].term == from->log[same].term &&
           strcmp(to->log[same].id, from->log[same].id) == 0) {
        same++;
    }
    to->received = same;
    if (to->applied > same) {
        to->applied = same;
    }
    for (size_t i = same; i < count; i++) {
        append_entry(to, &from->log[i]);
    }
}

typedef struct {
    backend_t *from, *to;
    size_t count;
    uint64_t term;
} transfer_t;

static void finish_waiting(backend_t *primary);

static void
apply_transfer(void *argument)
{
    transfer_t *transfer = argument;

    if (!transfer->to->primary && transfer->to->term == transfer->term &&
        transfer->count <= transfer->to->received &&
        transfer->count > transfer->to->applied) {
        transfer->to->applied = transfer->count;
    }
    free(transfer);
}

static void
receive_transfer(void *argument)
{
    transfer_t *transfer = argument;
    backend_t *to = transfer->to;

    if (to->primary || to->dark || to->deaf || to->term != transfer->term ||
        transfer->from->dark || !transfer->from->primary) {
        free(transfer);
        return;
    }
    if (transfer->count > to->received) {
        copy_log(to, transfer->from, transfer->count);
    }
    finish_waiting(transfer->from);
    after(backend_settings.lag_ms, apply_transfer, transfer);
}

static void
replicate(backend_t *primary)
{
    for (int i = 0; i < backend_count; i++) {
        transfer_t *transfer;
        if (&backends[i] == primary || backends[i].term != primary->term) {
            continue;
        }
        transfer = grow(NULL, sizeof(*transfer));
        *transfer = (transfer_t){primary, &backends[i], primary->received,
                                 primary->term};
        after(backend_settings.network_ms, receive_transfer, transfer);
    }
}

/* Replicas that missed something ask for it again. */
static void
tick_replication(void *argument)
{
    backend_t *primary = current_primary();

    (void)argument;
    if (primary != NULL && !primary->dark) {
        replicate(primary);
    }
    after(100, tick_replication, NULL);
}

void
backend_go_dark(backend_t *backend)
{
    backend->dark = true;
    record("backend %s goes dark", backend->id);
    for (connection_t *connection = connections; connection != NULL;
         connection = connection->next) {
        link_t *link = connection->owner;
        if (connection->on_input == on_backend_input && link != NULL &&
            link->backend == backend) {
            connection->held = true;
        }
    }
}

void
backend_return(backend_t *backend)
{
    backend_t *primary = current_primary();

    backend->dark = false;
    backend->busy = 0;
    record("backend %s is back", backend->id);
    if (primary != backend && primary != NULL) {
        backend->primary = false;
        backend->term = primary->term;
    }
    for (connection_t *connection = connections; connection != NULL;
         connection = connection->next) {
        link_t *link = connection->owner;
        if (connection->on_input == on_backend_input && link != NULL &&
            connection->held && link->backend == backend) {
            connection->held = false;
            close_connection(connection);
        }
    }
    backend_register(backend);
}

static void
release_link(link_t *link)
{
    if (--link->references == 0) {
        free(link);
    }
}

static void
reply(link_t *link, const char *format, ...)
{
    char *text;
    va_list arguments;
    entry_t at = position(link->backend, link->backend->applied);

    if (link->connection == NULL || link->backend->dark) {
        return;
    }
    va_start(arguments, format);
    if (vasprintf(&text, format, arguments) < 0) {
        abort();
    }
    va_end(arguments);
    send_text(link->connection, "%sREADY %c %llu.%llu\r\n", text, link->state,
              (unsigned long long)at.term, (unsigned long long)at.number);
    free(text);
}

static void
reply_error(link_t *link, const char *code)
{
    if (link->state == 'T') {
        link->state = 'E';
    }
    reply(link, "ERROR %s %s\r\n", code, link->backend->id);
}

static void
reply_done(link_t *link, const char *id, const char *row)
{
    if (row != NULL) {
        reply(link, "DATAROW %s\r\nCOMPLETE sig.%s.%s\r\n", row,
              link->backend->id, id);
    }
    else {
        reply(link, "COMPLETE sig.%s.%s\r\n", link->backend->id, id);
    }
}

/* Commits that wait for a replica. */

typedef struct waiting {
    link_t *link;
    char id[64];
    size_t count;
    struct waiting *next;
} waiting_t;

static waiting_t *waiting_commits;

static void
finish_waiting(backend_t *primary)
{
    waiting_t **place = &waiting_commits;

    while (*place != NULL) {
        waiting_t *commit = *place;
        bool received = false;
        for (int i = 0; i < backend_count; i++) {
            received |= &backends[i] != primary &&
                        backends[i].term == primary->term &&
                        backends[i].received >= commit->count;
        }
        if (commit->link->backend == primary && received) {
            *place = commit->next;
            reply_done(commit->link, commit->id, NULL);
            commit->link->busy = false;
            take_next(commit->link);
            release_link(commit->link);
            free(commit);
        }
        else {
            place = &commit->next;
        }
    }
}

/* Returns whether the answer is given later. */
static bool
commit_writes(link_t *link, const char *id)
{
    backend_t *backend = link->backend;

    for (int i = 0; i < link->write_count; i++) {
        entry_t entry = link->writes[i];
        entry.term = backend->term;
        entry.number = position(backend, backend->received).number + 1;
        snprintf(entry.id, sizeof(entry.id), "%s", id);
        append_entry(backend, &entry);
    }
    backend->applied = backend->received;
    if (link->write_count == 0) {
        return false;
    }
    link->write_count = 0;
    replicate(backend);
    if (backend_settings.sync_replicas > 0) {
        waiting_t *commit = calloc(1, sizeof(*commit));
        commit->link = link;
        commit->count = backend->received;
        snprintf(commit->id, sizeof(commit->id), "%s", id);
        commit->next = waiting_commits;
        waiting_commits = commit;
        link->references++;
        return true;
    }
    return false;
}

static const char *
value_of(const link_t *link, const char *item)
{
    const backend_t *backend = link->backend;

    for (int i = link->write_count; i-- > 0;) {
        if (strcmp(link->writes[i].item, item) == 0) {
            return link->writes[i].data;
        }
    }
    for (size_t i = backend->applied; i-- > 0;) {
        if (strcmp(backend->log[i].item, item) == 0) {
            return backend->log[i].data;
        }
    }
    return "none";
}

static char *
next_word(char **text)
{
    char *word = *text;
    size_t length = strcspn(word, " ");

    *text = word + length + (word[length] == ' ');
    word[length] = '\0';
    return word;
}

/* Runs a statement. Returns whether its answer is given later. */
static bool
run_statement(link_t *link, const char *id, char *text)
{
    backend_t *backend = link->backend;
    char whole[4200];
    char *rest = text;
    char *word;
    bool lost_lead;

    if (strncmp(rest, "AFTER ", 6) == 0) {
        unsigned long long term;
        unsigned long long number;
        entry_t at = position(backend, backend->applied);
        rest += 6;
        sscanf(next_word(&rest), "%llu.%llu", &term, &number);
        if (at.term < term || (at.term == term && at.number < number)) {
            reply_error(link, "LAGGING");
            return false;
        }
    }
    snprintf(whole, sizeof(whole), "%s", rest);
    word = next_word(&rest);
    lost_lead = link->state == 'T' && !link->reads_only && !backend->primary;
    if (link->state == 'E' && strcmp(word, "ROLLBACK") != 0 &&
        strcmp(word, "COMMIT") != 0) {
        reply(link, "ERROR MALFORMED %s\r\n", backend->id);
        return false;
    }
    if (strcmp(word, "BEGIN") == 0) {
        link->reads_only = strcmp(rest, "READ") == 0;
        if (!link->reads_only && !backend->primary) {
            reply_error(link, "READONLY");
            return false;
        }
        link->state = 'T';
        link->write_count = 0;
        reply(link, "COMPLETE -\r\n");
        return false;
    }
    if (strcmp(word, "ROLLBACK") == 0 ||
        (strcmp(word, "COMMIT") == 0 && link->state == 'E')) {
        link->state = 'I';
        link->write_count = 0;
        reply(link, strcmp(word, "COMMIT") == 0 ? "ERROR ABORTED x\r\n"
                                                : "COMPLETE -\r\n");
        return false;
    }
    if (strcmp(word, "SET") == 0) {
        reply(link, "COMPLETE -\r\n");
        return false;
    }
    if (strcmp(word, "DISCARD") == 0) {
        link->name_count = 0;
        reply(link, "COMPLETE -\r\n");
        return false;
    }
    if (strcmp(word, "PREPARE") == 0) {
        if (link->name_count < 64) {
            snprintf(link->names[link->name_count], 24, "%s",
                     next_word(&rest));
            snprintf(link->shapes[link->name_count++], 64, "%s", rest);
        }
        reply(link, "COMPLETE -\r\n");
        return false;
    }
    if (strcmp(word, "STATUS") == 0 || strcmp(word, "STEPDOWN") == 0) {
        entry_t at = position(backend, backend->received);
        if (strcmp(word, "STEPDOWN") == 0 && backend->primary &&
            strtoull(rest, NULL, 10) > backend->term) {
            backend_t *primary = current_primary();
            backend->primary = false;
            if (primary != NULL) {
                backend->term = primary->term;
            }
            record("backend %s steps down", backend->id);
            backend_register(backend);
        }
        reply(link, "DATAROW %s %llu %llu.%llu 0 %d %d %d\r\nCOMPLETE -\r\n",
              backend->primary ? "primary" : "replica",
              (unsigned long long)backend->term, (unsigned long long)at.term,
              (unsigned long long)at.number,
              backend->primary ? 0 : backend_settings.lag_ms, backend->busy,
              backend->connections);
        return false;
    }
    if (lost_lead &&
        !(strcmp(word, "COMMIT") == 0 && link->write_count == 0)) {
        reply_error(link, "READONLY");
        return false;
    }
    if (strcmp(word, "EXECUTE") == 0) {
        const char *name = next_word(&rest);
        int found = -1;
        for (int i = 0; i < link->name_count; i++) {
            if (strcmp(link->names[i], name) == 0) {
                found = i;
            }
        }
        if (found < 0) {
            reply_error(link, "NOSTMT");
            return false;
        }
        word = strncmp(link->shapes[found], "WRITE", 5) == 0 ? (char *)"WRITE"
                                                             : (char *)"READ";
    }
    if (strcmp(word, "READ") == 0) {
        record("run: %s %s at %s", id, whole, backend->id);
        if (on_run != NULL) {
            on_run(backend, id, whole);
        }
        reply_done(link, id, value_of(link, rest));
        return false;
    }
    if (strcmp(word, "WRITE") == 0) {
        entry_t *entry = &link->writes[link->write_count];
        if (!backend->primary) {
            reply_error(link, "READONLY");
            return false;
        }
        if (link->write_count == 16) {
            reply_error(link, "FAILED");
            return false;
        }
        record("run: %s %s at %s", id, whole, backend->id);
        if (on_run != NULL) {
            on_run(backend, id, whole);
        }
        memset(entry, 0, sizeof(*entry));
        snprintf(entry->item, sizeof(entry->item), "%s", next_word(&rest));
        snprintf(entry->data, sizeof(entry->data), "%s", rest);
        link->write_count++;
        if (link->state != 'T') {
            if (commit_writes(link, id)) {
                return true;
            }
        }
        reply_done(link, id, NULL);
        return false;
    }
    if (strcmp(word, "COMMIT") == 0 && link->state == 'T') {
        record("run: %s %s at %s", id, whole, backend->id);
        if (on_run != NULL) {
            on_run(backend, id, whole);
        }
        link->state = 'I';
        if (commit_writes(link, id)) {
            return true;
        }
        reply_done(link, id, NULL);
        return false;
    }
    reply_error(link, "MALFORMED");
    return false;
}

static int
operation_ms(const char *line)
{
    const char *text = strstr(line, " ");
    const char *after_word;

    if (strncmp(line, "STARTUP", 7) == 0) {
        return backend_settings.handshake_ms;
    }
    text = text != NULL ? strstr(text + 1, " ") : NULL;
    if (text == NULL) {
        return 0;
    }
    text++;
    if (strncmp(text, "AFTER ", 6) == 0) {
        after_word = strchr(text + 6, ' ');
        text = after_word != NULL ? after_word + 1 : text;
    }
    if (strncmp(text, "READ ", 5) == 0) {
        return backend_settings.read_ms;
    }
    if (strncmp(text, "WRITE ", 6) == 0 || strncmp(text, "EXECUTE ", 8) == 0) {
        return backend_settings.write_ms;
    }
    if (strncmp(text, "COMMIT", 6) == 0 || strncmp(text, "STATUS", 6) == 0 ||
        strncmp(text, "STEPDOWN", 8) == 0) {
        return 1;
    }
    return 0;
}

static void
free_operation(operation_t *operation)
{
    release_link(operation->link);
    free(operation->line);
    free(operation);
}

/* Carries out what a line asks for. */
static void
carry_out(operation_t *operation)
{
    link_t *link = operation->link;
    backend_t *backend = link->backend;
    char *rest = operation->line;
    char *word = next_word(&rest);
    bool later = false;

    if (link->connection != NULL && !backend->dark) {
        if (strcmp(word, "STARTUP") == 0) {
            const char *service = next_word(&rest);
            next_word(&rest);
            if (strcmp(service, service_name) != 0 ||
                (rest[0] != '\0' && strcmp(rest, backend->id) != 0)) {
                send_text(link->connection, "ERROR WRONGNODE %s\r\n",
                          backend->id);
                close_connection(link->connection);
            }
            else if (backend->connections > backend_settings.connections) {
                send_text(link->connection, "ERROR TOOMANYCON %s\r\n",
                          backend->id);
                close_connection(link->connection);
            }
            else {
                link->started = true;
                reply(link, "%s", "");
            }
        }
        else if (strcmp(word, "QUERY") == 0 && link->started) {
            char id[64];
            snprintf(id, sizeof(id), "%s", next_word(&rest));
            later = run_statement(link, id, rest);
        }
        else if (strcmp(word, "TERMINATE") == 0) {
            close_connection(link->connection);
        }
        else {
            close_connection(link->connection);
        }
    }
    if (!later) {
        link->busy = false;
        take_next(link);
    }
    free_operation(operation);
}

static void
end_operation(void *argument)
{
    operation_t *operation = argument;
    backend_t *backend = operation->link->backend;

    if (backend->busy > 0) {
        backend->busy--;
    }
    carry_out(operation);
    start_operations(backend);
}

static void
start_operations(backend_t *backend)
{
    while (backend->queue != NULL && backend->busy < backend_settings.slots) {
        operation_t *operation = backend->queue;
        backend->queue = operation->next;
        backend->queued--;
        backend->busy++;
        after(operation_ms(operation->line), end_operation, operation);
    }
}

/* Starts the connection's next line, if none is running. */
static void
take_next(link_t *link)
{
    backend_t *backend = link->backend;
    operation_t *operation = link->waiting;

    if (operation == NULL || link->busy) {
        return;
    }
    link->waiting = operation->next;
    operation->next = NULL;
    link->busy = true;
    if (operation_ms(operation->line) == 0) {
        carry_out(operation);
        return;
    }
    if (backend->queued >= QUEUE_MAX) {
        reply_error(link, "BUSY");
        link->busy = false;
        free_operation(operation);
        take_next(link);
        return;
    }
    if (backend->queue == NULL) {
        backend->queue = operation;
    }
    else {
        backend->queue_last->next = operation;
    }
    backend->queue_last = operation;
    backend->queued++;
    start_operations(backend);
}

static void
on_backend_input(connection_t *connection)
{
    link_t *link = connection->owner;
    char *end;

    link->references++;
    while (link->connection != NULL &&
           (end = memmem(connection->in, connection->in_size, "\r\n", 2)) !=
               NULL) {
        operation_t *operation = calloc(1, sizeof(*operation));
        size_t length = (size_t)(end - connection->in);
        operation->link = link;
        operation->line = strndup(connection->in, length);
        link->references++;
        consume(connection, length + 2);
        if (link->waiting == NULL) {
            link->waiting = operation;
        }
        else {
            link->waiting_last->next = operation;
        }
        link->waiting_last = operation;
        take_next(link);
    }
    release_link(link);
}

static void
on_backend_closed(connection_t *connection)
{
    link_t *link = connection->owner;

    link->connection = NULL;
    link->write_count = 0; /* it rolls back */
    link->backend->connections--;
    while (link->waiting != NULL) {
        operation_t *operation = link->waiting;
        link->waiting = operation->next;
        free_operation(operation);
    }
    connection->owner = NULL;
    release_link(link);
}

static void
on_backend_accept(void *owner, int fd, const char *ip)
{
    backend_t *backend = owner;
    link_t *link = calloc(1, sizeof(*link));

    link->backend = backend;
    link->state = 'I';
    link->references = 1;
    backend->connections++;
    link->connection =
        add_connection(fd, ip, link, on_backend_input, on_backend_closed);
    link->connection->held = backend->dark;
}

backend_t *
backend_add(void)
{
    unsigned char number = (unsigned char)backend_count++;
    backend_t *backend = &backends[number];
    backend_t *primary = current_primary();

    /* Later backends have later ids, so that a case knows their order. */
    snprintf(backend->id, sizeof(backend->id), "i-%02x%06lx", number,
             random() & 0xffffff);
    snprintf(backend->ip, sizeof(backend->ip), "%.11s.%d", network,
             11 + number);
    snprintf(backend->zone, sizeof(backend->zone), "%s", zones[number % 4]);
    backend->primary = number == 0;
    backend->term = primary != NULL ? primary->term : 3;
    backend->born = unix_ms();
    if (primary != NULL) {
        copy_log(backend, primary, primary->received);
        backend->applied = backend->received;
    }
    backend->listener =
        add_listener(backend->ip, BACKEND_PORT, backend, on_backend_accept);
    if (backend->listener < 0) {
        world_end(2);
    }
    backend_register(backend);
    record("backend %s: %s in %s", backend->id,
           backend->primary ? "primary" : "replica", backend->zone);
    return backend;
}

/* The promotion service. */

cloud_control_t cloud_control = {.promote_ms = 600};
order_t orders[1000];
int order_count;
static connection_t *held_orders[64];
static int held_order_count;

static void
step_aside(void *argument)
{
    backend_t *backend = argument;
    backend_t *primary = current_primary();

    if (backend->primary && primary != backend && primary->dark) {
        after(1000, step_aside, backend); /* it doesn't reach the new one */
        return;
    }
    if (backend->primary && primary != backend && !backend->dark) {
        backend->primary = false;
        backend->term = primary->term;
        record("backend %s has met the new primary and follows it",
               backend->id);
        backend_register(backend);
    }
}

static void
promote(void *argument)
{
    backend_t *backend = argument;
    uint64_t term = 0;

    if (backend == current_primary() || backend->dark) {
        return;
    }
    for (int i = 0; i < backend_count; i++) {
        term = backends[i].term > term ? backends[i].term : term;
    }
    backend->primary = true;
    backend->deaf = false;
    backend->term = term + 1;
    backend->applied = backend->received;
    record("backend %s leads term %llu from %llu.%llu on", backend->id,
           (unsigned long long)backend->term,
           (unsigned long long)position(backend, backend->received).term,
           (unsigned long long)position(backend, backend->received).number);
    if (on_promoted != NULL) {
        on_promoted(backend);
    }
    for (int i = 0; i < backend_count; i++) {
        if (&backends[i] != backend && !backends[i].dark) {
            if (backends[i].primary) {
                after(1000, step_aside, &backends[i]);
                continue;
            }
            backends[i].term = backend->term;
            copy_log(&backends[i], backend, backend->received);
            backends[i].applied = backends[i].received;
        }
    }
    backend_register(backend);
}

static void
handle_order(connection_t *connection, const request_t *request)
{
    json_t *root = json_loadb(request->body, request->body_size, 0, NULL);
    const char *id = json_string_value(json_object_get(root, "id"));
    backend_t *found = NULL;
    order_t *order = &orders[order_count++ % 1000];

    for (int i = 0; id != NULL && i < backend_count; i++) {
        if (strcmp(backends[i].id, id) == 0 && !backends[i].dark) {
            found = &backends[i];
        }
    }
    order->at = now_ms();
    order->fence = strtoull(request->fence, NULL, 10);
    order->result = found != NULL ? 200 : 409;
    snprintf(order->holder, sizeof(order->holder), "%s", request->holder);
    snprintf(order->backend, sizeof(order->backend), "%s",
             id != NULL ? id : "");
    record("order: promote %s, holder %s, token %s: %d", order->backend,
           request->holder, request->fence, order->result);
    if (found != NULL && found != current_primary()) {
        after(cloud_control.promote_ms, promote, found);
    }
    respond(connection, order->result, "{}");
    json_decref(root);
}

static void
on_cloud_input(connection_t *connection)
{
    request_t request;
    char *buffer;

    while (!connection->closed &&
           take_request(connection, &request, &buffer)) {
        handle_order(connection, &request);
        free(buffer);
    }
}

static void
on_cloud_accept(void *owner, int fd, const char *ip)
{
    connection_t *connection =
        add_connection(fd, ip, owner, on_cloud_input, NULL);

    if (strcmp(ip, cloud_control.cut_host_ip) == 0 && held_order_count < 64) {
        connection->held = true;
        held_orders[held_order_count++] = connection;
    }
}

void
cloud_release(void)
{
    cloud_control.cut_host_ip[0] = '\0';
    for (int i = 0; i < held_order_count; i++) {
        held_orders[i]->held = false;
    }
    held_order_count = 0;
}

/* Hosts. */

host_t hosts[HOSTS_MAX];
int host_count;

void
host_start(host_t *host)
{
    char log[600];
    char text[10][160];
    char seeds[160];

    snprintf(log, sizeof(log), "%s/%s-%d.log", temporary, host->name,
             ++host->starts);
    snprintf(seeds, sizeof(seeds), "%s.201:%d,%s.202:%d,%s.203:%d", network,
             CONTROL_PORT, network, CONTROL_PORT, network, CONTROL_PORT);
    snprintf(text[0], 160, "--name=%s", host->name);
    snprintf(text[1], 160, "--data-centre=%s", host->zone);
    snprintf(text[2], 160, "--callers=%s:%d", host->ip, FRONT_PORT);
    snprintf(text[3], 160, "--peers=%s:%d", host->ip, CONTROL_PORT);
    snprintf(text[4], 160, "--join=%.150s", seeds);
    snprintf(text[5], 160, "--platform=%s.1:%d", network, STORE_PORT);
    snprintf(text[6], 160, "--orders=%s.2:%d", network, STORE_PORT);
    snprintf(text[7], 160, "--readiness=%s:%d", host->ip, READY_PORT);
    record("host %s starts", host->name);
    host->pid = fork();
    if (host->pid == 0) {
        int fd = open(log, O_CREAT | O_WRONLY | O_TRUNC, 0644);
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(fd, 1);
        dup2(fd, 2);
        execl("target/bin/carobwindd", "carobwindd", text[0], text[1], text[2],
              text[3], text[4], text[5], text[6], text[7],
              "--caller-driver=wire", "--endpoint-driver=wire",
              "--store-driver=kv", "--registry-driver=platform",
              "--order-driver=duty", "--drain-seconds=5", (char *)NULL);
        _exit(127);
    }
}

void
host_signal(host_t *host, int signal)
{
    record("host %s gets signal %d (%s)", host->name, signal,
           strsignal(signal));
    if (host->pid > 0) {
        kill(host->pid, signal);
    }
}

bool
host_exited(host_t *host)
{
    int status;

    if (host->pid > 0 && waitpid(host->pid, &status, WNOHANG) == host->pid) {
        record("host %s has ended: %s %d", host->name,
               WIFSIGNALED(status) ? "signal" : "exit",
               WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
        host->pid = 0;
    }
    return host->pid == 0;
}

host_t *
host_by_name(const char *name)
{
    for (int i = 0; i < host_count; i++) {
        if (strcmp(hosts[i].name, name) == 0) {
            return &hosts[i];
        }
    }
    return NULL;
}

static bool
is_ready(const host_t *host)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(READY_PORT)};
    struct timeval limit = {.tv_usec = 200000};
    char text[64] = "";
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const char *question = "GET /carobwind/ready HTTP/1.1\r\nHost: x\r\n\r\n";

    inet_pton(AF_INET, host->ip, &address.sin_addr);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0 &&
        send(fd, question, strlen(question), MSG_NOSIGNAL) > 0) {
        ssize_t size = recv(fd, text, sizeof(text) - 1, 0);
        text[size > 0 ? size : 0] = '\0';
    }
    close(fd);
    return strncmp(text, "HTTP/1.1 200", 12) == 0;
}

void
world_end(int result)
{
    record("result: %d (0: the rule held, 1: it was broken, 2: could not run)",
           result);
    for (int i = 0; i < host_count; i++) {
        if (hosts[i].pid > 0) {
            kill(hosts[i].pid, SIGKILL);
            waitpid(hosts[i].pid, NULL, 0);
        }
    }
    if (getenv("KEEP") == NULL) {
        for (int i = 0; i < host_count; i++) {
            for (int j = 1; j <= hosts[i].starts; j++) {
                char *log;
                if (asprintf(&log, "%s/%s-%d.log", temporary, hosts[i].name,
                             j) >= 0) {
                    unlink(log);
                    free(log);
                }
            }
        }
        rmdir(temporary);
    }
    else {
        fprintf(stderr, "logs in %s\n", temporary);
    }
    exit(result);
}

void
world_start(int hosts_wanted, int backends_wanted, const char *configuration)
{
    const char *path = getenv("RECORD");
    char ip[24];
    int tries = 0;
    int ready = 0;

    clock_gettime(CLOCK_MONOTONIC, &started);
    record_file = fopen(path != NULL ? path : "record.txt", "w");
    if (record_file == NULL) {
        exit(2);
    }
    srandom((unsigned)(unix_ms() ^ getpid()));
    snprintf(temporary, sizeof(temporary), "%s/review-XXXXXX",
             getenv("TMPDIR") != NULL ? getenv("TMPDIR") : "/tmp");
    if (mkdtemp(temporary) == NULL) {
        exit(2);
    }
    for (;;) { /* a free block of loopback addresses */
        snprintf(network, sizeof(network), "127.%u.%u",
                 (unsigned)(16 + random() % 200) & 255U,
                 (unsigned)(1 + random() % 250) & 255U);
        snprintf(ip, sizeof(ip), "%.11s.1", network);
        if (add_listener(ip, STORE_PORT, NULL, on_store_accept) >= 0) {
            break;
        }
        if (++tries == 20) {
            exit(2);
        }
    }
    snprintf(ip, sizeof(ip), "%.11s.2", network);
    if (add_listener(ip, STORE_PORT, NULL, on_cloud_accept) < 0) {
        exit(2);
    }
    store_put("op/config", configuration);
    for (int i = 0; i < backends_wanted; i++) {
        backend_add();
    }
    after(100, tick_watches, NULL);
    after(100, tick_replication, NULL);
    for (int i = 0; i < hosts_wanted; i++) {
        host_t *host = &hosts[host_count++];
        snprintf(host->name, sizeof(host->name), "frontend-%.16s-1",
                 zones[i % 4]);
        snprintf(host->ip, sizeof(host->ip), "%.11s.%d", network, 201 + i);
        snprintf(host->zone, sizeof(host->zone), "%s", zones[i % 4]);
        host_start(host);
    }
    for (tries = 0; tries < 50 && ready < host_count; tries++) {
        run_until(now_ms() + 300);
        ready = 0;
        for (int i = 0; i < host_count; i++) {
            ready += is_ready(&hosts[i]);
        }
    }
    if (ready < host_count) {
        record("the hosts did not become ready");
        world_end(2);
    }
    record("all hosts are ready");
}

/* Clients. */

static int query_count;

static void
finish_query(session_t *session)
{
    session->busy = false;
    session->on_answer(session);
}

static void
on_session_line(session_t *session, char *line)
{
    char *rest = line;
    char *word = next_word(&rest);

    if (strcmp(word, "READY") == 0) {
        session->state = rest[0];
        if (!session->ready) {
            session->ready = true;
            session->on_started(session, true);
        }
        else if (session->busy) {
            finish_query(session);
        }
    }
    else if (strcmp(word, "ERROR") == 0) {
        snprintf(session->code, sizeof(session->code), "%s", next_word(&rest));
    }
    else if (strcmp(word, "COMPLETE") == 0) {
        snprintf(session->signature, sizeof(session->signature), "%s", rest);
    }
    else if (strcmp(word, "DATAROW") == 0) {
        size_t length = strlen(session->rows);
        snprintf(session->rows + length, sizeof(session->rows) - length,
                 "%s%s", length > 0 ? "|" : "", rest);
    }
}

static void
on_session_input(connection_t *connection)
{
    session_t *session = connection->owner;
    char *end;

    while (!connection->closed && session->connection == connection &&
           (end = memmem(connection->in, connection->in_size, "\r\n", 2)) !=
               NULL) {
        size_t length = (size_t)(end - connection->in);
        char *line = strndup(connection->in, length);
        consume(connection, length + 2);
        on_session_line(session, line);
        free(line);
    }
}

static void
on_session_closed(connection_t *connection)
{
    session_t *session = connection->owner;

    if (session == NULL || session->connection != connection) {
        return;
    }
    session->connection = NULL;
    if (!session->ready) {
        session->on_started(session, false);
    }
    else if (session->busy) {
        snprintf(session->code, sizeof(session->code), "closed");
        finish_query(session);
    }
}

session_t *
session_open(host_t *host, const char *database, void *owner,
             void (*on_started)(session_t *, bool),
             void (*on_answer)(session_t *))
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(FRONT_PORT)};
    session_t *session = calloc(1, sizeof(*session));
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

    session->host = host;
    session->owner = owner;
    session->on_started = on_started;
    session->on_answer = on_answer;
    snprintf(session->database, sizeof(session->database), "%s", database);
    inet_pton(AF_INET, host->ip, &address.sin_addr);
    session->connection = add_connection(fd, host->ip, session,
                                         on_session_input, on_session_closed);
    session->connection->connecting = true;
    connect(fd, (struct sockaddr *)&address, sizeof(address));
    send_text(session->connection, "STARTUP %s u1\r\n", database);
    return session;
}

const char *
session_query(session_t *session, const char *text)
{
    snprintf(session->query_id, sizeof(session->query_id), "%08x%08x",
             (unsigned)getpid(), (unsigned)++query_count);
    session->code[0] = '\0';
    session->signature[0] = '\0';
    session->rows[0] = '\0';
    session->busy = true;
    if (session->connection != NULL) {
        char *line;
        if (asprintf(&line, "QUERY %s %s\r\n", session->query_id, text) < 0) {
            abort();
        }
        send_bytes(session->connection, line, strlen(line));
        free(line);
    }
    return session->query_id;
}

void
session_close(session_t *session)
{
    connection_t *connection = session->connection;

    session->connection = NULL;
    session->busy = false;
    if (connection != NULL) {
        connection->owner = NULL;
        send_text(connection, "TERMINATE\r\n");
        close_connection(connection);
    }
}
