/* The store driver for the platform's key-value store over RESP. After a lost
 * call its connection is closed, and the next call opens a new one. */

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "carobwind/plugin.h"
#include "drivers.h"
#include "share/reaper.h"
#include "share/resp.h"

#define PENDING_CALLS_MAX 256

/* Watches have a separate connection. A call without an answer is cancelled at
 * its deadline, which closes its connection: so an unanswered watch is
 * detected without losing the other calls. */
typedef enum { CHANNEL_CALLS, CHANNEL_WATCH, CHANNEL_COUNT_ } channel_t;

typedef struct {
    cbw_resp_t resp;
    channel_t channel;
} connection_t;

static daemon_t *daemon_;
static const store_events_t *store_events;
static connection_t *connections[CHANNEL_COUNT_];
static store_call_t *pending_calls[PENDING_CALLS_MAX];

static channel_t
channel_of(const store_call_t *call)
{
    return call->verb == STORE_WATCH ? CHANNEL_WATCH : CHANNEL_CALLS;
}

static void
release_connection(void *object)
{
    connection_t *connection = object;

    CbwResp_Finish(&connection->resp);
    free(connection);
}

static void
finish_call(int index, cbw_store_status_t status)
{
    store_call_t *call = pending_calls[index];

    pending_calls[index] = NULL;
    call->status = status;
    store_events->on_done(call);
}

/* Closes the channel's connection; its pending calls end as lost. */
static void
drop_connection(channel_t channel)
{
    connection_t *connection = connections[channel];

    if (connection == NULL) {
        return;
    }
    connections[channel] = NULL;
    CbwResp_Close(&connection->resp);
    CbwReaper_Defer(release_connection, connection);
    for (int i = 0; i < PENDING_CALLS_MAX; i++) {
        if (pending_calls[i] != NULL &&
            channel_of(pending_calls[i]) == channel) {
            finish_call(i, CBW_STORE_LOST);
        }
    }
}

static int
find_call(uint64_t id)
{
    for (int i = 0; i < PENDING_CALLS_MAX; i++) {
        if (pending_calls[i] != NULL && pending_calls[i]->id == id) {
            return i;
        }
    }
    return -1;
}

static cbw_store_status_t
parse_status(const char *text)
{
    if (strcmp(text, "ok") == 0) {
        return CBW_STORE_OK;
    }
    if (strcmp(text, "missing") == 0) {
        return CBW_STORE_MISSING;
    }
    return strcmp(text, "conflict") == 0 ? CBW_STORE_CONFLICT : CBW_STORE_LOST;
}

static void
copy_hosts(store_call_t *call, const cbw_resp_message_t *message)
{
    call->word_count = message->count - 2;
    call->words = calloc((size_t)call->word_count + 1, sizeof(char *));
    if (call->words == NULL) {
        abort();
    }
    for (int i = 0; i < call->word_count; i++) {
        call->words[i] = strdup(message->words[i + 2]);
    }
}

static void
on_message(cbw_resp_t *resp, const cbw_resp_message_t *message)
{
    connection_t *connection = resp->context;
    int index;

    if (message->is_error || message->count < 2) {
        drop_connection(connection->channel);
        return;
    }
    index = find_call(strtoull(message->words[0], NULL, 10));
    if (index < 0) {
        return; /* cancelled before */
    }
    if (strcmp(message->words[1], "hosts") == 0) {
        copy_hosts(pending_calls[index], message);
        finish_call(index, CBW_STORE_OK);
        return;
    }
    if (message->count < 4) {
        finish_call(index, CBW_STORE_LOST);
        return;
    }
    pending_calls[index]->version = strtoull(message->words[2], NULL, 10);
    if (pending_calls[index]->verb != STORE_SWAP) {
        free(pending_calls[index]->value);
        pending_calls[index]->value = strdup(message->words[3]);
    }
    finish_call(index, parse_status(message->words[1]));
}

static void
on_close(cbw_resp_t *resp, const char *reason)
{
    connection_t *connection = resp->context;

    (void)reason;
    if (connections[connection->channel] == connection) {
        drop_connection(connection->channel);
    }
}

static const cbw_resp_ops_t resp_ops = {
    .on_message = on_message,
    .on_close = on_close,
};

static connection_t *
open_connection(channel_t channel)
{
    connection_t *connection = calloc(1, sizeof(*connection));

    if (connection == NULL) {
        return NULL;
    }
    connection->channel = channel;
    if (CbwResp_Connect(&connection->resp, daemon_->loop, daemon_->local_ip,
                        daemon_->settings.platform_address,
                        &CbwResp_ClientLimits, &resp_ops, connection,
                        NULL) != 0) {
        free(connection);
        return NULL;
    }
    connections[channel] = connection;
    return connection;
}

/* The commands of this protocol, by store_verb_t. It lacks the other verbs,
 * which a peer may ask for. */
static const char *const verbs[] = {"GET", "SWAP", "WATCH", "HOSTS"};
static const int word_counts[] = {3, 5, 5, 2};
#define VERB_COUNT (sizeof(verbs) / sizeof(verbs[0]))

static void
send_call(connection_t *connection, const store_call_t *call)
{
    char id[24];
    char version[24];
    char wait[24];
    const char *words[5] = {verbs[call->verb], id, call->key, version, wait};

    snprintf(id, sizeof(id), "%" PRIu64, call->id);
    snprintf(version, sizeof(version), "%" PRIu64, call->version);
    snprintf(wait, sizeof(wait), "%" PRId64, call->wait / Cbw_MSEC);
    if (call->verb == STORE_SWAP) {
        words[4] = call->value;
    }
    CbwResp_Send(&connection->resp, word_counts[call->verb], words, NULL);
}

static void
driver_call(store_call_t *call)
{
    channel_t channel = channel_of(call);
    connection_t *connection = connections[channel];
    int index = 0;

    if (call->verb >= VERB_COUNT) {
        call->status = CBW_STORE_LOST;
        store_events->on_done(call);
        return;
    }
    if (connection == NULL) {
        connection = open_connection(channel);
    }
    while (index < PENDING_CALLS_MAX && pending_calls[index] != NULL) {
        index++;
    }
    if (connection == NULL || index == PENDING_CALLS_MAX) {
        call->status = CBW_STORE_LOST;
        store_events->on_done(call);
        return;
    }
    pending_calls[index] = call;
    send_call(connection, call);
}

static void
driver_cancel(store_call_t *call)
{
    int index = find_call(call->id);

    if (index >= 0) {
        pending_calls[index] = NULL;
    }
    /* The connection may be dead: the next call opens a new one. */
    drop_connection(channel_of(call));
}

static void
driver_open(daemon_t *daemon, const store_events_t *events)
{
    daemon_ = daemon;
    store_events = events;
}

static const store_driver_t driver = {
    .open = driver_open,
    .call = driver_call,
    .cancel = driver_cancel,
};

Cbw_PLUGIN_REGISTER(store_resp, CBW_PLUGIN_STORE_DRIVER, "resp", &driver)
