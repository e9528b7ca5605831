/* The endpoint driver over RESP: a pool of connections for statements, one
 * statement at a time on each, and two for control calls. */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "carobwind/plugin.h"
#include "drivers.h"
#include "share/reaper.h"
#include "share/resp.h"

/* An unused connection is closed after this time. */
#define IDLE_CLOSE (20 * Cbw_SEC)
/* After the endpoint refused a connection, none is opened for so long. */
#define FULL_PAUSE (50 * Cbw_MSEC)
#define REPLY_WORDS 11
#define CALL_WORDS_MAX 6

typedef enum {
    ROLE_STATEMENTS,
    ROLE_STATE,   /* state calls, which may wait at the endpoint */
    ROLE_CONTROL, /* the other control calls */
} role_t;

typedef struct {
    cbw_link_t link;
    endpoint_link_t *owner;
    cbw_resp_t resp;
    role_t role;
    bool connected;
    cbw_link_t calls; /* of sent_t, oldest first */
    uint64_t transaction;
    cbw_time_t used_at;
    bool dropped;
} connection_t;

typedef struct {
    cbw_link_t link;
    uint64_t id;
} sent_t;

struct endpoint_link {
    daemon_t *daemon;
    char address[Cbw_ADDRESS_MAX];
    int connections_max;
    const endpoint_events_t *events;
    void *context;
    cbw_link_t connections;
    int statement_connections;
    cbw_time_t full_at; /* when a connection was last refused */
    bool closed;
};

static void
release_connection(void *object)
{
    connection_t *connection = object;

    CbwResp_Finish(&connection->resp);
    free(connection);
}

static void
close_connection(connection_t *connection)
{
    if (connection->dropped) {
        return;
    }
    connection->dropped = true;
    CbwResp_Close(&connection->resp);
    CbwList_Remove(&connection->link);
    if (connection->role == ROLE_STATEMENTS) {
        connection->owner->statement_connections--;
    }
    CbwReaper_Defer(release_connection, connection);
}

/* Ends the calls of a connection with `status`. */
static void
fail_calls(connection_t *connection, cbw_reply_status_t status)
{
    endpoint_link_t *owner = connection->owner;
    cbw_reply_t reply = {.status = status};
    cbw_link_t *link;

    while ((link = CbwList_TakeFirst(&connection->calls)) != NULL) {
        sent_t *sent = Cbw_LIST_ITEM(link, sent_t, link);
        uint64_t id = sent->id;
        free(sent);
        if (!owner->closed) {
            owner->events->on_reply(owner->context, id, &reply);
        }
    }
}

static void
drop_connection(connection_t *connection, cbw_reply_status_t status)
{
    CbwCounter_Add(&connection->owner->daemon->counters,
                   CBW_COUNTER_CONNECTIONS_LOST, 1);
    close_connection(connection);
    fail_calls(connection, status);
}

static void
on_connected(cbw_resp_t *resp)
{
    connection_t *connection = resp->context;

    connection->connected = true;
}

static void
on_close(cbw_resp_t *resp, const char *reason)
{
    connection_t *connection = resp->context;

    (void)reason;
    if (!connection->dropped) {
        /* Without a connection nothing was sent. */
        drop_connection(connection, connection->connected
                                        ? CBW_REPLY_LOST
                                        : CBW_REPLY_NO_CONNECTION);
    }
}

/* Replies. */

static bool
parse_status(const char *text, cbw_reply_status_t *status)
{
    for (int i = CBW_REPLY_OK; i <= CBW_REPLY_FAILED; i++) {
        if (strcmp(text, CbwEndpoint_StatusString[i]) == 0) {
            *status = (cbw_reply_status_t)i;
            return true;
        }
    }
    return false;
}

static void
parse_begins(const char *text, cbw_endpoint_state_t *state)
{
    const char *rest = text;

    while (*rest != '\0' && state->begin_count < Cbw_TERM_BEGINS_MAX) {
        cbw_term_begin_t *begin = &state->begins[state->begin_count];
        char *stop;
        begin->term = strtoull(rest, &stop, 10);
        if (*stop != ':') {
            return;
        }
        begin->position = strtoull(stop + 1, &stop, 10);
        state->begin_count++;
        rest = *stop == ',' ? stop + 1 : stop;
    }
}

static bool
parse_reply(const cbw_resp_message_t *message, cbw_reply_t *reply)
{
    char **words = message->words;

    memset(reply, 0, sizeof(*reply));
    if (message->count != REPLY_WORDS ||
        !parse_status(words[1], &reply->status)) {
        return false;
    }
    reply->result = words[2];
    reply->result_size = message->sizes[2];
    reply->entry_term = strtoull(words[3], NULL, 10);
    reply->entry_position = strtoull(words[4], NULL, 10);
    reply->state.term = strtoull(words[5], NULL, 10);
    reply->state.primary = words[6][0] == '1';
    reply->state.follows = strtoull(words[7], NULL, 10);
    reply->state.last_term = strtoull(words[8], NULL, 10);
    reply->state.position = strtoull(words[9], NULL, 10);
    parse_begins(words[10], &reply->state);
    return true;
}

static sent_t *
find_sent(const connection_t *connection, uint64_t id)
{
    const cbw_link_t *link = connection->calls.next;

    for (; link != &connection->calls; link = link->next) {
        sent_t *sent = Cbw_LIST_ITEM(link, sent_t, link);
        if (sent->id == id) {
            return sent;
        }
    }
    return NULL;
}

static void
on_message(cbw_resp_t *resp, const cbw_resp_message_t *message)
{
    connection_t *connection = resp->context;
    endpoint_link_t *owner = connection->owner;
    cbw_reply_t reply;
    sent_t *sent;
    uint64_t id;

    if (connection->dropped) {
        return;
    }
    if (message->is_error) {
        bool full = strstr(message->words[0], "FULL") != NULL;
        if (full) {
            owner->full_at = CbwNet_Now();
        }
        drop_connection(connection,
                        full ? CBW_REPLY_NO_CONNECTION : CBW_REPLY_LOST);
        return;
    }
    id = strtoull(message->words[0], NULL, 10);
    sent = find_sent(connection, id);
    if (sent == NULL || !parse_reply(message, &reply)) {
        drop_connection(connection, CBW_REPLY_LOST);
        return;
    }
    CbwList_Remove(&sent->link);
    free(sent);
    connection->used_at = CbwNet_Now();
    owner->events->on_reply(owner->context, id, &reply);
}

static const cbw_resp_ops_t resp_ops = {
    .on_connected = on_connected,
    .on_message = on_message,
    .on_close = on_close,
};

/* Connections. */

static connection_t *
open_connection(endpoint_link_t *owner, role_t role)
{
    connection_t *connection = calloc(1, sizeof(*connection));

    if (connection == NULL) {
        return NULL;
    }
    if (CbwResp_Connect(&connection->resp, owner->daemon->loop,
                        owner->daemon->local_ip, owner->address,
                        &CbwResp_ClientLimits, &resp_ops, connection,
                        NULL) != 0) {
        free(connection);
        return NULL;
    }
    CbwCounter_Add(&owner->daemon->counters, CBW_COUNTER_CONNECTIONS_OPENED,
                   1);
    connection->owner = owner;
    connection->role = role;
    connection->used_at = CbwNet_Now();
    CbwList_Init(&connection->link);
    CbwList_Init(&connection->calls);
    CbwList_Prepend(&owner->connections, &connection->link);
    if (role == ROLE_STATEMENTS) {
        owner->statement_connections++;
    }
    return connection;
}

static connection_t *
find_control(endpoint_link_t *owner, role_t role)
{
    cbw_link_t *link = owner->connections.next;

    for (; link != &owner->connections; link = link->next) {
        connection_t *connection = Cbw_LIST_ITEM(link, connection_t, link);
        if (connection->role == role) {
            return connection;
        }
    }
    return open_connection(owner, role);
}

static void
close_unused(endpoint_link_t *owner, cbw_time_t now)
{
    cbw_link_t *link;
    cbw_link_t *safe;

    Cbw_LIST_FOREACH (&owner->connections, link, safe) {
        connection_t *connection = Cbw_LIST_ITEM(link, connection_t, link);
        if (connection->role == ROLE_STATEMENTS &&
            CbwList_IsEmpty(&connection->calls) &&
            connection->transaction == 0 &&
            now - connection->used_at > IDLE_CLOSE) {
            close_connection(connection);
        }
    }
}

/* The connection that was used last, so that others can be closed. */
static connection_t *
find_idle(endpoint_link_t *owner)
{
    cbw_link_t *link = owner->connections.next;
    connection_t *best = NULL;

    for (; link != &owner->connections; link = link->next) {
        connection_t *connection = Cbw_LIST_ITEM(link, connection_t, link);
        if (connection->role == ROLE_STATEMENTS &&
            connection->transaction == 0 &&
            CbwList_IsEmpty(&connection->calls) &&
            (best == NULL || connection->used_at > best->used_at)) {
            best = connection;
        }
    }
    return best;
}

static connection_t *
find_transaction(endpoint_link_t *owner, uint64_t transaction)
{
    cbw_link_t *link = owner->connections.next;

    for (; link != &owner->connections; link = link->next) {
        connection_t *connection = Cbw_LIST_ITEM(link, connection_t, link);
        if (connection->transaction == transaction) {
            return connection;
        }
    }
    return NULL;
}

static connection_t *
choose_connection(endpoint_link_t *owner, const cbw_call_t *call)
{
    connection_t *connection;

    if (call->verb == CBW_CALL_STATE) {
        return find_control(owner, ROLE_STATE);
    }
    if (call->verb > CBW_CALL_ROLLBACK) {
        return find_control(owner, ROLE_CONTROL);
    }
    if (call->transaction != 0 && call->verb != CBW_CALL_BEGIN) {
        return find_transaction(owner, call->transaction);
    }
    close_unused(owner, CbwNet_Now());
    connection = find_idle(owner);
    if (connection == NULL &&
        owner->statement_connections < owner->connections_max &&
        CbwNet_Now() - owner->full_at > FULL_PAUSE) {
        connection = open_connection(owner, ROLE_STATEMENTS);
    }
    if (connection != NULL && call->verb == CBW_CALL_BEGIN) {
        connection->transaction = call->transaction;
    }
    return connection;
}

/* Calls. */

static void
send_call(connection_t *connection, const cbw_call_t *call)
{
    char id[24];
    char term[24];
    char position[24];
    char wait[24];
    const char *words[CALL_WORDS_MAX] = {NULL, id, term};
    size_t sizes[CALL_WORDS_MAX];
    int count = 3;

    snprintf(id, sizeof(id), "%" PRIu64, call->id);
    snprintf(term, sizeof(term), "%" PRIu64, call->term);
    switch (call->verb) {
    case CBW_CALL_RUN:
        words[0] = "RUN";
        words[3] = call->writes ? "w" : "r";
        words[4] = call->key;
        words[5] = call->statement != NULL ? call->statement : "";
        count = 6;
        break;
    case CBW_CALL_BEGIN:
        words[0] = "BEGIN";
        break;
    case CBW_CALL_COMMIT:
        words[0] = "COMMIT";
        words[3] = call->key;
        count = 4;
        break;
    case CBW_CALL_ROLLBACK:
        words[0] = "ROLLBACK";
        break;
    case CBW_CALL_CANCEL:
        words[0] = "CANCEL";
        words[3] = call->key;
        count = 4;
        break;
    case CBW_CALL_STATE:
        snprintf(position, sizeof(position), "%" PRIu64, call->wait_position);
        snprintf(wait, sizeof(wait), "%" PRId64, call->wait_timeout);
        words[0] = "STATE";
        words[2] = position;
        words[3] = wait;
        count = 4;
        break;
    case CBW_CALL_FENCE:
        words[0] = "FENCE";
        break;
    case CBW_CALL_PROMOTE:
        words[0] = "PROMOTE";
        break;
    case CBW_CALL_FOLLOW:
        words[0] = "FOLLOW";
        words[3] = call->primary_address;
        count = 4;
        break;
    case CBW_CALL_STEP_DOWN:
        words[0] = "STEPDOWN"; /* of endpoints without fences; not used */
        break;
    }
    for (int i = 0; i < count; i++) {
        sizes[i] = strlen(words[i]);
    }
    if (call->verb == CBW_CALL_RUN) {
        sizes[5] = call->statement_size;
    }
    CbwResp_Send(&connection->resp, count, words, sizes);
}

static bool
driver_call(endpoint_link_t *owner, const cbw_call_t *call)
{
    connection_t *connection = choose_connection(owner, call);
    sent_t *sent;

    if (connection == NULL) {
        return false;
    }
    sent = calloc(1, sizeof(*sent));
    if (sent == NULL) {
        return false;
    }
    sent->id = call->id;
    connection->used_at = CbwNet_Now();
    CbwList_Init(&sent->link);
    CbwList_Append(&connection->calls, &sent->link);
    send_call(connection, call);
    return true;
}

static bool
driver_abort(endpoint_link_t *owner, uint64_t id)
{
    cbw_link_t *link;
    cbw_link_t *safe;

    Cbw_LIST_FOREACH (&owner->connections, link, safe) {
        connection_t *connection = Cbw_LIST_ITEM(link, connection_t, link);
        sent_t *sent = find_sent(connection, id);
        if (sent == NULL) {
            continue;
        }
        CbwList_Remove(&sent->link);
        free(sent);
        drop_connection(connection, CBW_REPLY_LOST);
        return true;
    }
    return true;
}

static void
driver_end_transaction(endpoint_link_t *owner, uint64_t transaction,
                       bool clean)
{
    connection_t *connection = find_transaction(owner, transaction);

    if (connection == NULL) {
        return;
    }
    connection->transaction = 0;
    if (!clean) {
        close_connection(connection); /* which rolls back */
    }
}

static endpoint_link_t *
driver_open(daemon_t *daemon, const char *database,
            const cbw_endpoint_t *endpoint, int connections_max,
            const endpoint_events_t *events, void *context)
{
    endpoint_link_t *owner = calloc(1, sizeof(*owner));

    if (owner == NULL) {
        abort();
    }
    (void)database;
    owner->daemon = daemon;
    owner->connections_max = connections_max;
    owner->events = events;
    owner->context = context;
    snprintf(owner->address, sizeof(owner->address), "%s", endpoint->address);
    CbwList_Init(&owner->connections);
    return owner;
}

static void
release_link(void *object)
{
    free(object);
}

static void
driver_close(endpoint_link_t *owner)
{
    cbw_link_t *link;
    cbw_link_t *safe;

    owner->closed = true;
    Cbw_LIST_FOREACH (&owner->connections, link, safe) {
        connection_t *connection = Cbw_LIST_ITEM(link, connection_t, link);
        close_connection(connection);
        fail_calls(connection, CBW_REPLY_LOST);
    }
    CbwReaper_Defer(release_link, owner);
}

static int
driver_connections(const endpoint_link_t *owner)
{
    return owner->statement_connections;
}

static const endpoint_driver_t driver = {
    .supports_request_keys = true,
    .open = driver_open,
    .close = driver_close,
    .call = driver_call,
    .abort = driver_abort,
    .end_transaction = driver_end_transaction,
    .count_connections = driver_connections,
};

Cbw_PLUGIN_REGISTER(endpoint_resp, CBW_PLUGIN_ENDPOINT_DRIVER, "resp", &driver)
