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

/* Injected faults. Commands of type COMMAND_ADMIN are answered in all modes.
 */
typedef enum {
    MODE_UP,
    MODE_DOWN,         /* ignores commands */
    MODE_SLOW,         /* handles commands after a delay */
    MODE_LOSE_REPLIES, /* executes SWAP commands, but closes the connection
                          instead of replying; other commands as in MODE_UP */
} platform_mode_t;

/* Numbers of commands since the start, reported by COUNTS. */
typedef struct {
    uint64_t reads;
    uint64_t writes;
    uint64_t watches;
    uint64_t host_lists;
    uint64_t refused; /* over the rate limits */
} command_counts_t;

/* A change of a host, which the host list shows from `visible_from` on. */
typedef struct {
    char *name;
    char *data_centre;
    char *address;
    char *state; /* live, leaving or gone */
    cbw_time_t visible_from;
} host_change_t;

typedef struct {
    struct ev_loop *loop;
    platform_settings_t settings;
    store_t store;
    GPtrArray *host_changes; /* of host_change_t, oldest first */
    cbw_link_t pending;      /* of pending_command_t */
    platform_mode_t mode;
    cbw_time_t reply_delay; /* MODE_SLOW */
    long replies_to_lose;   /* MODE_LOSE_REPLIES */
    bool watches_silent;    /* open watches are not answered */
    command_counts_t counts;
    double read_tokens; /* of the token buckets that limit the rates */
    double write_tokens;
    cbw_time_t refilled_at;
} platform_t;

typedef struct {
    cbw_resp_t resp;
    int pending_count; /* pending commands that refer to this client */
    bool closed;       /* freed once it has no pending commands */
} client_t;

/* A command that is answered later: a watch, or any in MODE_SLOW. */
typedef struct {
    cbw_link_t link;
    client_t *client;
    gchar **words;
    int count;
    cbw_time_t due_at;
    bool is_watch;
} pending_command_t;

static platform_t platform;

static void
free_client(void *object)
{
    client_t *client = object;

    /* Retries later while pending commands refer to the client. */
    if (client->pending_count > 0) {
        CbwReaper_Defer(free_client, client);
        return;
    }
    CbwResp_Finish(&client->resp);
    g_free(client);
}

static void
close_client(client_t *client)
{
    if (client->closed) {
        return;
    }
    client->closed = true;
    CbwResp_Close(&client->resp);
    CbwReaper_Defer(free_client, client);
}

static void
send_reply(client_t *client, const char *id, const char *status,
           const char *version, const char *value)
{
    const char *words[] = {id, status, version, value};

    CbwResp_Send(&client->resp, 4, words, NULL);
}

/* Replies with a record, or with "missing" when it is NULL. */
static void
send_record(client_t *client, const char *id, const record_t *record)
{
    char version[24];

    if (record == NULL) {
        send_reply(client, id, "missing", "0", "");
        return;
    }
    snprintf(version, sizeof(version), "%" PRIu64, record->version);
    send_reply(client, id, "ok", version, record->value);
}

/* Refills both token buckets and takes one token from `tokens`. Returns false,
 * and counts a refusal, when it is empty. */
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

/* GET id key: replies with the value and its version */
static void
handle_get(client_t *client, int count, char **words)
{
    (void)count;
    platform.counts.reads++;
    send_record(client, words[1], Store_Get(&platform.store, words[2]));
}

/* Makes the next tick answer the watches of `key`. */
static void
make_watches_due(const char *key)
{
    cbw_link_t *link;
    cbw_link_t *safe;

    Cbw_LIST_FOREACH (&platform.pending, link, safe) {
        pending_command_t *pending =
            Cbw_LIST_ITEM(link, pending_command_t, link);
        if (pending->is_watch && strcmp(pending->words[2], key) == 0) {
            pending->due_at = 0;
        }
    }
}

/* SWAP id key version value: replaces the value if its version is `version` */
static void
handle_swap(client_t *client, int count, char **words)
{
    uint64_t version;
    char text[24];

    (void)count;
    platform.counts.writes++;
    if (strlen(words[4]) > VALUE_SIZE_MAX) {
        send_reply(client, words[1], "toolong", "0", "");
        return;
    }
    version = Store_Swap(&platform.store, words[2],
                         strtoull(words[3], NULL, 10), words[4]);
    if (version > 0) {
        make_watches_due(words[2]);
    }
    if (platform.mode == MODE_LOSE_REPLIES && platform.replies_to_lose > 0) {
        platform.replies_to_lose--;
        close_client(client);
        return;
    }
    snprintf(text, sizeof(text), "%" PRIu64, version);
    send_reply(client, words[1], version > 0 ? "ok" : "conflict", text, "");
}

/* LEASE id name holder ms: acquires or renews a lease */
static void
handle_lease(client_t *client, int count, char **words)
{
    cbw_time_t duration = strtoll(words[4], NULL, 10) * Cbw_MSEC;

    (void)count;
    platform.counts.writes++;
    send_reply(client, words[1],
               Store_AcquireLease(&platform.store, CbwNet_Now(), words[2],
                                  words[3], duration)
                   ? "ok"
                   : "held",
               "0", "");
}

/* Returns the latest visible change of the host `name`, or NULL. */
static const host_change_t *
find_latest_change(const char *name, cbw_time_t now)
{
    const host_change_t *found = NULL;

    for (guint i = 0; i < platform.host_changes->len; i++) {
        const host_change_t *change =
            g_ptr_array_index(platform.host_changes, i);
        if (change->visible_from <= now && strcmp(change->name, name) == 0) {
            found = change;
        }
    }
    return found;
}

/* HOSTS id: replies with name, data centre, address and state of each host, by
 * its latest visible change, unless it is gone */
static void
handle_hosts(client_t *client, int count, char **words)
{
    cbw_time_t now = CbwNet_Now();
    GPtrArray *list = g_ptr_array_new();

    (void)count;
    platform.counts.host_lists++;
    g_ptr_array_add(list, words[1]);
    g_ptr_array_add(list, (void *)"hosts");
    for (guint i = 0; i < platform.host_changes->len; i++) {
        host_change_t *change = g_ptr_array_index(platform.host_changes, i);
        if (find_latest_change(change->name, now) == change &&
            strcmp(change->state, "gone") != 0) {
            g_ptr_array_add(list, change->name);
            g_ptr_array_add(list, change->data_centre);
            g_ptr_array_add(list, change->address);
            g_ptr_array_add(list, change->state);
        }
    }
    CbwResp_Send(&client->resp, (int)list->len,
                 (const char *const *)list->pdata, NULL);
    g_ptr_array_free(list, TRUE);
}

/* HOST id name data-centre address live|leaving|gone: changes the host list */
static void
handle_host(client_t *client, int count, char **words)
{
    host_change_t *change = g_new0(host_change_t, 1);

    (void)count;
    change->name = g_strdup(words[2]);
    change->data_centre = g_strdup(words[3]);
    change->address = g_strdup(words[4]);
    change->state = g_strdup(words[5]);
    change->visible_from =
        CbwNet_Now() +
        (cbw_time_t)(platform.settings.host_list_lag_ms * Cbw_MSEC);
    g_ptr_array_add(platform.host_changes, change);
    send_reply(client, words[1], "ok", "0", "");
}

/* MODE id up|down|slow|lose|deafwatch number: injects a fault. `number` is the
 * delay in ms for slow, the number of lost replies to SWAP for lose, and
 * otherwise ignored. deafwatch leaves open watches unanswered until the next
 * MODE command and keeps the mode, to which `number` then applies. */
static void
handle_mode(client_t *client, int count, char **words)
{
    static const struct {
        const char *name;
        platform_mode_t mode;
    } modes[] = {{"up", MODE_UP},
                 {"down", MODE_DOWN},
                 {"slow", MODE_SLOW},
                 {"lose", MODE_LOSE_REPLIES}};
    long number = strtol(words[3], NULL, 10);

    (void)count;
    platform.watches_silent = strcmp(words[2], "deafwatch") == 0;
    platform.reply_delay = number * Cbw_MSEC;
    platform.replies_to_lose = number;
    for (size_t i = 0; i < sizeof(modes) / sizeof(modes[0]); i++) {
        if (strcmp(words[2], modes[i].name) == 0) {
            platform.mode = modes[i].mode;
        }
    }
    send_reply(client, words[1], "ok", "0", "");
}

/* COUNTS id: replies with names and values of the command counts */
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
    send_reply(client, words[1], "ok", "0", text);
}

/* FAULT id words...: see CbwFault_Command */
static void
handle_fault(client_t *client, int count, char **words)
{
    bool ok = CbwFault_Command(count - 2, words + 2) == 0;

    send_reply(client, words[1], ok ? "ok" : "refused", "0", "");
}

typedef enum { COMMAND_READ, COMMAND_WRITE, COMMAND_ADMIN } command_type_t;

typedef struct {
    const char *name;
    int words; /* including the name; 0: any number */
    command_type_t type;
    void (*handle)(client_t *client, int count, char **words);
} command_t;

static const command_t commands[] = {
    {"GET", 3, COMMAND_READ, handle_get},
    {"SWAP", 5, COMMAND_WRITE, handle_swap},
    {"LEASE", 5, COMMAND_WRITE, handle_lease},
    {"HOSTS", 2, COMMAND_READ, handle_hosts},
    {"HOST", 6, COMMAND_ADMIN, handle_host},
    {"MODE", 4, COMMAND_ADMIN, handle_mode},
    {"COUNTS", 2, COMMAND_ADMIN, handle_counts},
    {"FAULT", 0, COMMAND_ADMIN, handle_fault},
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

/* Handles a command within the rate limits. */
static void
dispatch_command(client_t *client, int count, char **words)
{
    const command_t *command = find_command(count, words);
    bool admitted = true;

    if (command == NULL) {
        CbwResp_SendError(&client->resp,
                          "unknown command or wrong number of words");
        return;
    }
    if (command->type == COMMAND_READ) {
        admitted = take_token(&platform.read_tokens);
    }
    else if (command->type == COMMAND_WRITE) {
        admitted = take_token(&platform.write_tokens);
    }
    if (!admitted) {
        send_reply(client, words[1], "busy", "0", "");
        return;
    }
    command->handle(client, count, words);
}

static void
add_pending(client_t *client, const cbw_resp_message_t *message,
            cbw_time_t due_at, bool is_watch)
{
    pending_command_t *pending = g_new0(pending_command_t, 1);

    CbwList_Init(&pending->link);
    pending->client = client;
    pending->count = message->count;
    pending->due_at = due_at;
    pending->is_watch = is_watch;
    pending->words = g_new0(gchar *, (gsize)message->count + 1);
    for (int i = 0; i < message->count; i++) {
        pending->words[i] = g_strdup(message->words[i]);
    }
    client->pending_count++;
    CbwList_Append(&platform.pending, &pending->link);
}

/* WATCH id key version wait_ms: replies with the record once its version
 * differs from `version` or `wait_ms` has passed. Returns false when the
 * message is another command. */
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
        send_reply(client, words[1], "busy", "0", "");
        return true;
    }
    record = Store_Get(&platform.store, words[2]);
    if (record != NULL && record->version != strtoull(words[3], NULL, 10)) {
        send_record(client, words[1], record);
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

    return command != NULL && command->type == COMMAND_ADMIN;
}

static void
on_message(cbw_resp_t *resp, const cbw_resp_message_t *message)
{
    client_t *client = resp->context;

    if (is_admin(message)) {
        dispatch_command(client, message->count, message->words);
        return;
    }
    if (platform.mode == MODE_DOWN) {
        return;
    }
    if (handle_watch(client, message)) {
        return;
    }
    if (platform.mode == MODE_SLOW) {
        add_pending(client, message, CbwNet_Now() + platform.reply_delay,
                    false);
        return;
    }
    dispatch_command(client, message->count, message->words);
}

/* Answers and frees a pending command. */
static void
finish_pending(pending_command_t *pending)
{
    client_t *client = pending->client;
    char **words = pending->words;

    CbwList_Remove(&pending->link);
    if (!client->closed && platform.mode != MODE_DOWN) {
        if (pending->is_watch) {
            send_record(client, words[1],
                        Store_Get(&platform.store, words[2]));
        }
        else {
            dispatch_command(client, pending->count, words);
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
        pending_command_t *pending =
            Cbw_LIST_ITEM(link, pending_command_t, link);
        bool is_silent = pending->is_watch && platform.watches_silent;
        if (pending->client->closed ||
            (now >= pending->due_at && !is_silent)) {
            finish_pending(pending);
        }
    }
}

static void
on_close(cbw_resp_t *resp, const char *reason)
{
    (void)reason;
    close_client(resp->context);
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
on_accept_ready(struct ev_loop *loop, ev_io *watcher, int events)
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
    platform.host_changes = g_ptr_array_new();
    CbwList_Init(&platform.pending);
    Store_Init(&platform.store);
    fd = CbwNet_Listen(settings->listen, error);
    if (fd < 0) {
        return -1;
    }
    ev_io_init(&listener, on_accept_ready, fd, EV_READ);
    ev_io_start(loop, &listener);
    ev_timer_init(&timer, on_tick, TICK_SECONDS, TICK_SECONDS);
    ev_timer_start(loop, &timer);
    return 0;
}
