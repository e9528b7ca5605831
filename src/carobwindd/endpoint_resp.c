/* Endpoint driver over RESP. It keeps a set of connections for statements,
 * with one statement in flight on each, and two connections for control calls.
 */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "carobwind/plugin.h"
#include "drivers.h"
#include "share/reaper.h"
#include "share/resp.h"

/* An idle statement connection is closed after this time. */
#define IDLE_TIMEOUT (20 * Cbw_SEC)
/* No statement connection is opened for this time after the endpoint refused
 * one. */
#define FULL_PAUSE (50 * Cbw_MSEC)
#define REPLY_WORDS 11
#define CALL_WORDS_MAX 6

typedef enum {
    ROLE_STATEMENTS,
    /* State calls. The endpoint may delay a reply until its log includes the
     * call's `wait_position`. */
    ROLE_STATE,
    ROLE_CONTROL, /* the other control calls */
} role_t;

typedef struct {
    cbw_link_t link;
    endpoint_link_t *endpoint_link;
    cbw_resp_t resp;
    role_t role;
    bool connected;
    cbw_link_t calls;     /* pending_call_t, oldest first */
    uint64_t transaction; /* that it is reserved for; 0: none */
    cbw_time_t used_at;
    bool closed; /* freed after the callbacks */
} connection_t;

/* A call that waits for its reply. */
typedef struct {
    cbw_link_t link;
    uint64_t id;
} pending_call_t;

struct endpoint_link {
    daemon_t *daemon;
    char address[Cbw_ADDRESS_MAX];
    int connections_max;
    const endpoint_events_t *events;
    void *context;
    cbw_link_t connections;
    int statement_connections;
    cbw_time_t full_at; /* when the endpoint last refused a connection */
    bool closed;
};

static void
free_connection(void *object)
{
    connection_t *connection = object;

    CbwResp_Finish(&connection->resp);
    free(connection);
}

static void
close_connection(connection_t *connection)
{
    if (connection->closed) {
        return;
    }
    connection->closed = true;
    CbwResp_Close(&connection->resp);
    CbwList_Remove(&connection->link);
    if (connection->role == ROLE_STATEMENTS) {
        connection->endpoint_link->statement_connections--;
    }
    CbwReaper_Defer(free_connection, connection);
}

/* Answers the connection's pending calls with `status`. */
static void
fail_calls(connection_t *connection, cbw_reply_status_t status)
{
    endpoint_link_t *endpoint_link = connection->endpoint_link;
    cbw_reply_t reply = {.status = status};
    cbw_link_t *link;

    while ((link = CbwList_TakeFirst(&connection->calls)) != NULL) {
        pending_call_t *pending_call =
            Cbw_LIST_ITEM(link, pending_call_t, link);
        uint64_t id = pending_call->id;
        free(pending_call);
        if (!endpoint_link->closed) {
            endpoint_link->events->on_reply(endpoint_link->context, id,
                                            &reply);
        }
    }
}

/* Closes a connection that was lost or cannot be used any more, and answers
 * its pending calls with `status`. */
static void
drop_connection(connection_t *connection, cbw_reply_status_t status)
{
    CbwCounter_Add(&connection->endpoint_link->daemon->counters,
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
    if (!connection->closed) {
        /* Nothing is sent before the connection is established. */
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

static pending_call_t *
find_pending_call(const connection_t *connection, uint64_t id)
{
    const cbw_link_t *link = connection->calls.next;

    for (; link != &connection->calls; link = link->next) {
        pending_call_t *pending_call =
            Cbw_LIST_ITEM(link, pending_call_t, link);
        if (pending_call->id == id) {
            return pending_call;
        }
    }
    return NULL;
}

static void
on_message(cbw_resp_t *resp, const cbw_resp_message_t *message)
{
    connection_t *connection = resp->context;
    endpoint_link_t *endpoint_link = connection->endpoint_link;
    cbw_reply_t reply;
    pending_call_t *pending_call;
    uint64_t id;

    if (connection->closed) {
        return;
    }
    if (message->is_error) {
        bool full = strstr(message->words[0], "FULL") != NULL;
        if (full) {
            endpoint_link->full_at = CbwNet_Now();
        }
        drop_connection(connection,
                        full ? CBW_REPLY_NO_CONNECTION : CBW_REPLY_LOST);
        return;
    }
    id = strtoull(message->words[0], NULL, 10);
    pending_call = find_pending_call(connection, id);
    if (pending_call == NULL || !parse_reply(message, &reply)) {
        drop_connection(connection, CBW_REPLY_LOST);
        return;
    }
    CbwList_Remove(&pending_call->link);
    free(pending_call);
    connection->used_at = CbwNet_Now();
    endpoint_link->events->on_reply(endpoint_link->context, id, &reply);
}

static const cbw_resp_ops_t resp_ops = {
    .on_connected = on_connected,
    .on_message = on_message,
    .on_close = on_close,
};

/* Connections. */

static connection_t *
open_connection(endpoint_link_t *endpoint_link, role_t role)
{
    connection_t *connection = calloc(1, sizeof(*connection));

    if (connection == NULL) {
        return NULL;
    }
    if (CbwResp_Connect(&connection->resp, endpoint_link->daemon->loop,
                        endpoint_link->daemon->local_ip,
                        endpoint_link->address, &CbwResp_ClientLimits,
                        &resp_ops, connection, NULL) != 0) {
        free(connection);
        return NULL;
    }
    CbwCounter_Add(&endpoint_link->daemon->counters,
                   CBW_COUNTER_CONNECTIONS_OPENED, 1);
    connection->endpoint_link = endpoint_link;
    connection->role = role;
    connection->used_at = CbwNet_Now();
    CbwList_Init(&connection->link);
    CbwList_Init(&connection->calls);
    CbwList_Prepend(&endpoint_link->connections, &connection->link);
    if (role == ROLE_STATEMENTS) {
        endpoint_link->statement_connections++;
    }
    return connection;
}

static connection_t *
find_or_open_control(endpoint_link_t *endpoint_link, role_t role)
{
    cbw_link_t *link = endpoint_link->connections.next;

    for (; link != &endpoint_link->connections; link = link->next) {
        connection_t *connection = Cbw_LIST_ITEM(link, connection_t, link);
        if (connection->role == role) {
            return connection;
        }
    }
    return open_connection(endpoint_link, role);
}

static void
close_idle_connections(endpoint_link_t *endpoint_link, cbw_time_t now)
{
    cbw_link_t *link;
    cbw_link_t *safe;

    Cbw_LIST_FOREACH (&endpoint_link->connections, link, safe) {
        connection_t *connection = Cbw_LIST_ITEM(link, connection_t, link);
        if (connection->role == ROLE_STATEMENTS &&
            CbwList_IsEmpty(&connection->calls) &&
            connection->transaction == 0 &&
            now - connection->used_at > IDLE_TIMEOUT) {
            close_connection(connection);
        }
    }
}

/* Returns the idle connection that was used latest, so that the others reach
 * their idle timeout; NULL: there is none. */
static connection_t *
find_idle_connection(endpoint_link_t *endpoint_link)
{
    cbw_link_t *link = endpoint_link->connections.next;
    connection_t *best = NULL;

    for (; link != &endpoint_link->connections; link = link->next) {
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
find_transaction_connection(endpoint_link_t *endpoint_link,
                            uint64_t transaction)
{
    cbw_link_t *link = endpoint_link->connections.next;

    for (; link != &endpoint_link->connections; link = link->next) {
        connection_t *connection = Cbw_LIST_ITEM(link, connection_t, link);
        if (connection->transaction == transaction) {
            return connection;
        }
    }
    return NULL;
}

static connection_t *
choose_connection(endpoint_link_t *endpoint_link, const cbw_call_t *call)
{
    connection_t *connection;

    if (call->verb == CBW_CALL_STATE) {
        return find_or_open_control(endpoint_link, ROLE_STATE);
    }
    /* The verbs after ROLLBACK are control calls. */
    if (call->verb > CBW_CALL_ROLLBACK) {
        return find_or_open_control(endpoint_link, ROLE_CONTROL);
    }
    if (call->transaction != 0 && call->verb != CBW_CALL_BEGIN) {
        return find_transaction_connection(endpoint_link, call->transaction);
    }
    close_idle_connections(endpoint_link, CbwNet_Now());
    connection = find_idle_connection(endpoint_link);
    if (connection == NULL &&
        endpoint_link->statement_connections <
            endpoint_link->connections_max &&
        CbwNet_Now() - endpoint_link->full_at > FULL_PAUSE) {
        connection = open_connection(endpoint_link, ROLE_STATEMENTS);
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
        /* Not reached: only pools send it, to endpoints without fences. */
        words[0] = "STEPDOWN";
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
driver_call(endpoint_link_t *endpoint_link, const cbw_call_t *call)
{
    connection_t *connection = choose_connection(endpoint_link, call);
    pending_call_t *pending_call;

    if (connection == NULL) {
        return false;
    }
    pending_call = calloc(1, sizeof(*pending_call));
    if (pending_call == NULL) {
        return false;
    }
    pending_call->id = call->id;
    connection->used_at = CbwNet_Now();
    CbwList_Init(&pending_call->link);
    CbwList_Append(&connection->calls, &pending_call->link);
    send_call(connection, call);
    return true;
}

/* Returns true also when no connection carries the call: the owner does not
 * use the result. */
static bool
driver_abort(endpoint_link_t *endpoint_link, uint64_t id)
{
    cbw_link_t *link;
    cbw_link_t *safe;

    Cbw_LIST_FOREACH (&endpoint_link->connections, link, safe) {
        connection_t *connection = Cbw_LIST_ITEM(link, connection_t, link);
        pending_call_t *pending_call = find_pending_call(connection, id);
        if (pending_call == NULL) {
            continue;
        }
        CbwList_Remove(&pending_call->link);
        free(pending_call);
        drop_connection(connection, CBW_REPLY_LOST);
        return true;
    }
    return true;
}

static void
driver_end_transaction(endpoint_link_t *endpoint_link, uint64_t transaction,
                       bool clean)
{
    connection_t *connection =
        find_transaction_connection(endpoint_link, transaction);

    if (connection == NULL) {
        return;
    }
    connection->transaction = 0;
    if (!clean) {
        close_connection(connection); /* the endpoint then rolls back */
    }
}

static endpoint_link_t *
driver_open(daemon_t *daemon, const char *database,
            const cbw_endpoint_t *endpoint, int connections_max,
            const endpoint_events_t *events, void *context)
{
    endpoint_link_t *endpoint_link = calloc(1, sizeof(*endpoint_link));

    if (endpoint_link == NULL) {
        abort();
    }
    (void)database;
    endpoint_link->daemon = daemon;
    endpoint_link->connections_max = connections_max;
    endpoint_link->events = events;
    endpoint_link->context = context;
    snprintf(endpoint_link->address, sizeof(endpoint_link->address), "%s",
             endpoint->address);
    CbwList_Init(&endpoint_link->connections);
    return endpoint_link;
}

static void
free_link(void *object)
{
    free(object);
}

static void
driver_close(endpoint_link_t *endpoint_link)
{
    cbw_link_t *link;
    cbw_link_t *safe;

    endpoint_link->closed = true;
    Cbw_LIST_FOREACH (&endpoint_link->connections, link, safe) {
        connection_t *connection = Cbw_LIST_ITEM(link, connection_t, link);
        close_connection(connection);
        fail_calls(connection, CBW_REPLY_LOST);
    }
    CbwReaper_Defer(free_link, endpoint_link);
}

static int
driver_connections(const endpoint_link_t *endpoint_link)
{
    return endpoint_link->statement_connections;
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
