#include "server.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "carobwind/list.h"
#include "share/fault.h"
#include "share/reaper.h"
#include "share/resp.h"
#include "store.h"

#define TICK_SECONDS 0.002

/* Faults of the service. */
typedef enum {
    MODE_UP,
    MODE_DOWN, /* takes messages and answers none */
    MODE_SLOW, /* answers late */
    MODE_LOSE, /* carries out swaps, then drops the connection */
} platform_mode_t;

typedef struct {
    uint64_t reads;
    uint64_t writes;
    uint64_t watches;
    uint64_t host_lists;
    uint64_t refused; /* over the rate */
} call_counts_t;

/* A host as the list will show it, from `visible_at` on. */
typedef struct {
    char *name;
    char *data_centre;
    char *address;
    char *state;
    cbw_time_t visible_at;
} host_t;

typedef struct {
    struct ev_loop *loop;
    platform_settings_t settings;
    store_t store;
    GPtrArray *hosts; /* in the order of the changes */
    cbw_link_t pending;
    platform_mode_t mode;
    cbw_time_t slow_for;
    long lose_left;
    bool watches_dead; /* watches that are open never answer */
    call_counts_t counts;
    double read_tokens;
    double write_tokens;
    cbw_time_t refilled_at;
} platform_t;

typedef struct {
    cbw_resp_t resp;
    int pending_count;
    bool closed;
} client_t;

/* A message that is not answered yet: late, or a watch. */
typedef struct {
    cbw_link_t link;
    client_t *client;
    gchar **words;
    int count;
    cbw_time_t due;
    bool watch;
} pending_t;

static platform_t platform;

static void
release_client(void *object)
{
    client_t *client = object;

    if (client->pending_count > 0) {
        CbwReaper_Defer(release_client, client);
        return;
    }
    CbwResp_Finish(&client->resp);
    g_free(client);
}

static void
drop_client(client_t *client)
{
    if (client->closed) {
        return;
    }
    client->closed = true;
    CbwResp_Close(&client->resp);
    CbwReaper_Defer(release_client, client);
}

static void
answer(client_t *client, const char *id, const char *status,
       const char *version, const char *value)
{
    const char *words[] = {id, status, version, value};

    CbwResp_Send(&client->resp, 4, words, NULL);
}

static void
answer_record(client_t *client, const char *id, const record_t *record)
{
    char version[24];

    if (record == NULL) {
        answer(client, id, "missing", "0", "");
        return;
    }
    snprintf(version, sizeof(version), "%" PRIu64, record->version);
    answer(client, id, "ok", version, record->value);
}

/* Takes one call from the budget of reads or writes. */
static bool
take_token(double *tokens)
{
    cbw_time_t now = CbwNet_Now();
    double seconds = (double)(now - platform.refilled_at) / Cbw_SEC;

    platform.refilled_at = now;
    platform.read_tokens +=
        seconds * (double)platform.settings.reads_per_second;
    platform.write_tokens +=
        seconds * (double)platform.settings.writes_per_second;
    if (platform.read_tokens > (double)platform.settings.reads_per_second) {
        platform.read_tokens = (double)platform.settings.reads_per_second;
    }
    if (platform.write_tokens > (double)platform.settings.writes_per_second) {
        platform.write_tokens = (double)platform.settings.writes_per_second;
    }
    if (*tokens < 1) {
        platform.counts.refused++;
        return false;
    }
    *tokens -= 1;
    return true;
}

/* GET id key */
static void
handle_get(client_t *client, int count, char **words)
{
    (void)count;
    platform.counts.reads++;
    answer_record(client, words[1], Store_Get(&platform.store, words[2]));
}

static void
wake_watches(const char *key)
{
    cbw_link_t *link;
    cbw_link_t *safe;

    Cbw_LIST_FOREACH (&platform.pending, link, safe) {
        pending_t *pending = Cbw_LIST_ITEM(link, pending_t, link);
        if (pending->watch && strcmp(pending->words[2], key) == 0) {
            pending->due = 0;
        }
    }
}

/* SWAP id key version value */
static void
handle_swap(client_t *client, int count, char **words)
{
    uint64_t version;
    char text[24];

    (void)count;
    platform.counts.writes++;
    if (strlen(words[4]) > VALUE_SIZE_MAX) {
        answer(client, words[1], "toolong", "0", "");
        return;
    }
    version = Store_Swap(&platform.store, words[2],
                         strtoull(words[3], NULL, 10), words[4]);
    if (version > 0) {
        wake_watches(words[2]);
    }
    if (platform.mode == MODE_LOSE && platform.lose_left > 0) {
        platform.lose_left--;
        drop_client(client);
        return;
    }
    snprintf(text, sizeof(text), "%" PRIu64, version);
    answer(client, words[1], version > 0 ? "ok" : "conflict", text, "");
}

/* LEASE id name holder ms */
static void
handle_lease(client_t *client, int count, char **words)
{
    cbw_time_t length = strtoll(words[4], NULL, 10) * Cbw_MSEC;

    (void)count;
    platform.counts.writes++;
    answer(client, words[1],
           Store_AcquireLease(&platform.store, CbwNet_Now(), words[2],
                              words[3], length)
               ? "ok"
               : "held",
           "0", "");
}

static const host_t *
visible_host(const char *name, cbw_time_t now)
{
    const host_t *found = NULL;

    for (guint i = 0; i < platform.hosts->len; i++) {
        const host_t *host = g_ptr_array_index(platform.hosts, i);
        if (host->visible_at <= now && strcmp(host->name, name) == 0) {
            found = host;
        }
    }
    return found;
}

/* HOSTS id: name, data centre, address and state of each host */
static void
handle_hosts(client_t *client, int count, char **words)
{
    cbw_time_t now = CbwNet_Now();
    GPtrArray *list = g_ptr_array_new();

    (void)count;
    platform.counts.host_lists++;
    g_ptr_array_add(list, words[1]);
    g_ptr_array_add(list, (void *)"hosts");
    for (guint i = 0; i < platform.hosts->len; i++) {
        host_t *host = g_ptr_array_index(platform.hosts, i);
        if (visible_host(host->name, now) == host &&
            strcmp(host->state, "gone") != 0) {
            g_ptr_array_add(list, host->name);
            g_ptr_array_add(list, host->data_centre);
            g_ptr_array_add(list, host->address);
            g_ptr_array_add(list, host->state);
        }
    }
    CbwResp_Send(&client->resp, (int)list->len,
                 (const char *const *)list->pdata, NULL);
    g_ptr_array_free(list, TRUE);
}

/* HOST id name data-centre address live|leaving|gone */
static void
handle_host(client_t *client, int count, char **words)
{
    host_t *host = g_new0(host_t, 1);

    (void)count;
    host->name = g_strdup(words[2]);
    host->data_centre = g_strdup(words[3]);
    host->address = g_strdup(words[4]);
    host->state = g_strdup(words[5]);
    host->visible_at =
        CbwNet_Now() +
        (cbw_time_t)(platform.settings.host_list_lag_ms * Cbw_MSEC);
    g_ptr_array_add(platform.hosts, host);
    answer(client, words[1], "ok", "0", "");
}

/* MODE id up|down|slow|lose|deafwatch number */
static void
handle_mode(client_t *client, int count, char **words)
{
    static const struct {
        const char *name;
        platform_mode_t mode;
    } modes[] = {{"up", MODE_UP},
                 {"down", MODE_DOWN},
                 {"slow", MODE_SLOW},
                 {"lose", MODE_LOSE}};
    long number = strtol(words[3], NULL, 10);

    (void)count;
    platform.watches_dead = strcmp(words[2], "deafwatch") == 0;
    platform.slow_for = number * Cbw_MSEC;
    platform.lose_left = number;
    for (size_t i = 0; i < sizeof(modes) / sizeof(modes[0]); i++) {
        if (strcmp(words[2], modes[i].name) == 0) {
            platform.mode = modes[i].mode;
        }
    }
    answer(client, words[1], "ok", "0", "");
}

/* COUNTS id */
static void
handle_counts(client_t *client, int count, char **words)
{
    char text[160];

    (void)count;
    snprintf(text, sizeof(text),
             "reads %" PRIu64 " writes %" PRIu64 " watches %" PRIu64
             " host_lists %" PRIu64 " refused %" PRIu64,
             platform.counts.reads, platform.counts.writes,
             platform.counts.watches, platform.counts.host_lists,
             platform.counts.refused);
    answer(client, words[1], "ok", "0", text);
}

/* FAULT id words... */
static void
handle_fault(client_t *client, int count, char **words)
{
    bool ok = CbwFault_Command(count - 2, words + 2) == 0;

    answer(client, words[1], ok ? "ok" : "refused", "0", "");
}

typedef enum { CALL_READ, CALL_WRITE, CALL_ADMIN } call_type_t;

typedef struct {
    const char *name;
    int words; /* with the name; 0: any number */
    call_type_t type;
    void (*handle)(client_t *client, int count, char **words);
} command_t;

static const command_t commands[] = {
    {"GET", 3, CALL_READ, handle_get},
    {"SWAP", 5, CALL_WRITE, handle_swap},
    {"LEASE", 5, CALL_WRITE, handle_lease},
    {"HOSTS", 2, CALL_READ, handle_hosts},
    {"HOST", 6, CALL_ADMIN, handle_host},
    {"MODE", 4, CALL_ADMIN, handle_mode},
    {"COUNTS", 2, CALL_ADMIN, handle_counts},
    {"FAULT", 0, CALL_ADMIN, handle_fault},
};

static const command_t *
find_command(int count, char *const *words)
{
    for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
        const command_t *command = &commands[i];
        if (strcmp(words[0], command->name) == 0 &&
            (command->words == 0 ? count >= 2 : command->words == count)) {
            return command;
        }
    }
    return NULL;
}

static void
handle(client_t *client, int count, char **words)
{
    const command_t *command = find_command(count, words);
    bool admitted = true;

    if (command == NULL) {
        CbwResp_SendError(&client->resp,
                          "unknown command or wrong number of words");
        return;
    }
    if (command->type == CALL_READ) {
        admitted = take_token(&platform.read_tokens);
    }
    else if (command->type == CALL_WRITE) {
        admitted = take_token(&platform.write_tokens);
    }
    if (!admitted) {
        answer(client, words[1], "busy", "0", "");
        return;
    }
    command->handle(client, count, words);
}

static void
add_pending(client_t *client, const cbw_resp_message_t *message,
            cbw_time_t due, bool watch)
{
    pending_t *pending = g_new0(pending_t, 1);

    CbwList_Init(&pending->link);
    pending->client = client;
    pending->count = message->count;
    pending->due = due;
    pending->watch = watch;
    pending->words = g_new0(gchar *, (gsize)message->count + 1);
    for (int i = 0; i < message->count; i++) {
        pending->words[i] = g_strdup(message->words[i]);
    }
    client->pending_count++;
    CbwList_Append(&platform.pending, &pending->link);
}

/* WATCH id key version wait_ms: answers once the version is another. */
static bool
handle_watch(client_t *client, const cbw_resp_message_t *message)
{
    char **words = message->words;
    const record_t *record;

    if (message->count != 5 || strcmp(words[0], "WATCH") != 0) {
        return false;
    }
    platform.counts.watches++;
    if (!take_token(&platform.read_tokens)) {
        answer(client, words[1], "busy", "0", "");
        return true;
    }
    record = Store_Get(&platform.store, words[2]);
    if (record != NULL && record->version != strtoull(words[3], NULL, 10)) {
        answer_record(client, words[1], record);
        return true;
    }
    add_pending(client, message,
                CbwNet_Now() + strtoll(words[4], NULL, 10) * Cbw_MSEC, true);
    return true;
}

static bool
is_admin(const cbw_resp_message_t *message)
{
    const command_t *command = find_command(message->count, message->words);

    return command != NULL && command->type == CALL_ADMIN;
}

static void
on_message(cbw_resp_t *resp, const cbw_resp_message_t *message)
{
    client_t *client = resp->context;

    if (is_admin(message)) {
        handle(client, message->count, message->words);
        return;
    }
    if (platform.mode == MODE_DOWN) {
        return;
    }
    if (handle_watch(client, message)) {
        return;
    }
    if (platform.mode == MODE_SLOW) {
        add_pending(client, message, CbwNet_Now() + platform.slow_for, false);
        return;
    }
    handle(client, message->count, message->words);
}

static void
end_pending(pending_t *pending)
{
    client_t *client = pending->client;
    char **words = pending->words;

    CbwList_Remove(&pending->link);
    if (!client->closed && platform.mode != MODE_DOWN) {
        if (pending->watch) {
            answer_record(client, words[1],
                          Store_Get(&platform.store, words[2]));
        }
        else {
            handle(client, pending->count, words);
        }
    }
    client->pending_count--;
    g_strfreev(words);
    g_free(pending);
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
    cbw_time_t now = CbwNet_Now();
    cbw_link_t *link;
    cbw_link_t *safe;

    (void)loop;
    (void)timer;
    (void)events;
    Cbw_LIST_FOREACH (&platform.pending, link, safe) {
        pending_t *pending = Cbw_LIST_ITEM(link, pending_t, link);
        bool dead = pending->watch && platform.watches_dead;
        if (pending->client->closed || (now >= pending->due && !dead)) {
            end_pending(pending);
        }
    }
}

static void
on_close(cbw_resp_t *resp, const char *reason)
{
    (void)reason;
    drop_client(resp->context);
}

static const cbw_resp_ops_t client_ops = {
    .on_message = on_message,
    .on_malformed = CbwResp_Reject,
    .on_close = on_close,
};

static const cbw_resp_limits_t client_limits = {
    .words_max = 24,
    .word_max = 2 * VALUE_SIZE_MAX,
    .input_max = 3 * VALUE_SIZE_MAX,
};

static void
on_acceptable(struct ev_loop *loop, ev_io *watcher, int events)
{
    char ip[CbwNet_IP_MAX];
    int fd;

    (void)events;
    while ((fd = CbwNet_Accept(watcher->fd, ip)) >= 0) {
        client_t *client = g_new0(client_t, 1);
        CbwResp_Accept(&client->resp, loop, fd, ip, &client_limits,
                       &client_ops, client);
    }
}

static ev_io listener;
static ev_timer timer;

int
Server_Init(struct ev_loop *loop, const platform_settings_t *settings,
            cbw_error_t *error)
{
    int fd;

    platform.loop = loop;
    platform.settings = *settings;
    platform.refilled_at = CbwNet_Now();
    platform.hosts = g_ptr_array_new();
    CbwList_Init(&platform.pending);
    Store_Init(&platform.store);
    fd = CbwNet_Listen(settings->listen, error);
    if (fd < 0) {
        return -1;
    }
    ev_io_init(&listener, on_acceptable, fd, EV_READ);
    ev_io_start(loop, &listener);
    ev_timer_init(&timer, on_tick, TICK_SECONDS, TICK_SECONDS);
    ev_timer_start(loop, &timer);
    return 0;
}
