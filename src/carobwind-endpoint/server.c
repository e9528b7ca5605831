#include "commands.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "share/reaper.h"

#define TICK_SECONDS 0.001

static void start_queued_calls(server_t *server);

static void
free_client(void *object)
{
    client_t *client = object;

    /* Retries later while calls refer to the client. */
    if (client->call_count > 0) {
        CbwReaper_Defer(free_client, client);
        return;
    }
    CbwResp_Finish(&client->resp);
    if (client->transaction != NULL) {
        g_string_free(client->transaction, TRUE);
    }
    g_free(client);
}

static void
close_client(client_t *client)
{
    if (client->closed) {
        return;
    }
    client->closed = true;
    if (client->counted) {
        client->server->open_connections--;
    }
    ev_timer_stop(client->server->loop, &client->opening_timer);
    CbwList_Remove(&client->link);
    CbwResp_Close(&client->resp);
    CbwReaper_Defer(free_client, client);
}

static void
free_call(client_call_t *call)
{
    CbwList_Remove(&call->link);
    call->client->call_count--;
    g_strfreev(call->words);
    g_free(call);
}

/* Handles a call and frees it, unless it became a long poll. */
static void
handle_call(client_call_t *call, const command_t *command)
{
    CbwList_Remove(&call->link);
    /* A statement that holds a slot runs even if its client has disconnected.
     */
    if (!call->client->closed || command->needs_slot) {
        command->handle(call);
    }
    if (CbwList_IsEmpty(&call->link)) {
        free_call(call);
    }
}

static void
on_service_done(struct ev_loop *loop, ev_timer *timer, int events)
{
    client_call_t *call = timer->data;
    server_t *server = call->client->server;

    (void)loop;
    (void)events;
    server->busy_slots--;
    handle_call(call, Commands_Find(call));
    start_queued_calls(server);
}

/* Draws a service time in seconds, uniformly from half to one and a half times
 * the configured one. */
static double
draw_service_time(server_t *server)
{
    double fraction;

    server->random_state =
        server->random_state * UINT64_C(6364136223846793005) +
        UINT64_C(1442695041);
    fraction =
        (double)(server->random_state >> 33) / (double)(UINT64_C(1) << 31);
    return server->settings.service_ms * (0.5 + fraction) / 1000.0;
}

/* Starts queued calls while slots are free. */
static void
start_queued_calls(server_t *server)
{
    while (server->busy_slots < server->settings.slots) {
        cbw_link_t *link = CbwList_TakeFirst(&server->slot_queue);
        client_call_t *call;
        if (link == NULL) {
            return;
        }
        call = Cbw_LIST_ITEM(link, client_call_t, link);
        server->busy_slots++;
        ev_timer_init(&call->service_timer, on_service_done,
                      draw_service_time(server), 0);
        call->service_timer.data = call;
        ev_timer_start(server->loop, &call->service_timer);
    }
}

/* Queues a call for a slot, or handles it at once if it needs none. */
static void
admit_call(client_call_t *call)
{
    const command_t *command = Commands_Find(call);

    CbwList_Remove(&call->link);
    if (command == NULL) {
        if (!call->client->closed) {
            CbwResp_SendError(&call->client->resp,
                              "unknown command or wrong number of words");
        }
        free_call(call);
    }
    else if (command->needs_slot) {
        CbwList_Append(&call->client->server->slot_queue, &call->link);
        start_queued_calls(call->client->server);
    }
    else {
        handle_call(call, command);
    }
}

/* Network delay and long polls. */

/* Admits the calls whose network delay has passed. */
static void
admit_delayed_calls(server_t *server, cbw_time_t now)
{
    while (!CbwList_IsEmpty(&server->delayed)) {
        client_call_t *call =
            Cbw_LIST_ITEM(server->delayed.next, client_call_t, link);
        if (call->due_at > now) {
            return;
        }
        admit_call(call);
    }
}

static void
answer_long_poll(client_call_t *call)
{
    CbwList_Remove(&call->link);
    if (!call->client->closed) {
        Commands_AnswerLongPoll(call);
    }
    free_call(call);
}

/* Answers the long polls whose log position is reached, which have timed out
 * at `now` or whose client has disconnected, and the pulls of another term. */
static void
answer_due_long_polls(server_t *server, cbw_time_t now)
{
    cbw_link_t *link;
    cbw_link_t *safe;

    Cbw_LIST_FOREACH (&server->long_polls, link, safe) {
        client_call_t *call = Cbw_LIST_ITEM(link, client_call_t, link);
        bool is_pull = strcmp(call->words[0], "PULL") == 0;
        if (call->position <= Database_Position(&server->database) ||
            now >= call->due_at || call->client->closed ||
            (is_pull &&
             Commands_ParseNumber(call, 1) != server->database.term)) {
            answer_long_poll(call);
        }
    }
}

void
Server_OnLogChange(server_t *server)
{
    /* Time 0, so that no long poll counts as timed out. */
    answer_due_long_polls(server, 0);
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
    server_t *server = timer->data;
    cbw_time_t now = CbwNet_Now();

    (void)loop;
    (void)events;
    admit_delayed_calls(server, now);
    answer_due_long_polls(server, now);
    Replica_Tick(server, now);
}

/* Connections. */

static void
on_message(cbw_resp_t *resp, const cbw_resp_message_t *message)
{
    client_t *client = resp->context;
    server_t *server = client->server;
    client_call_t *call = g_new0(client_call_t, 1);

    CbwList_Init(&call->link);
    call->client = client;
    call->count = message->count;
    call->words = g_new0(gchar *, (gsize)message->count + 1);
    for (int i = 0; i < message->count; i++) {
        call->words[i] = g_strdup(message->words[i]);
    }
    client->call_count++;
    if (server->settings.delay_ms > 0) {
        call->due_at =
            CbwNet_Now() + (cbw_time_t)(server->settings.delay_ms * Cbw_MSEC);
        CbwList_Append(&server->delayed, &call->link);
        return;
    }
    admit_call(call);
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

/* Starts reading commands once the simulated connection time has passed. */
static void
on_opened(struct ev_loop *loop, ev_timer *timer, int events)
{
    client_t *client = timer->data;

    (void)loop;
    (void)events;
    CbwResp_Resume(&client->resp);
}

static void
refuse_client(client_t *client)
{
    client->server->stats.connections_refused++;
    CbwResp_Reject(&client->resp, "FULL");
}

static void
add_client(server_t *server, int fd, const char *ip)
{
    client_t *client = g_new0(client_t, 1);

    client->server = server;
    CbwList_Init(&client->link);
    CbwList_Append(&server->clients, &client->link);
    CbwResp_Accept(&client->resp, server->loop, fd, ip, &CbwResp_ServerLimits,
                   &client_ops, client);
    client->counted = true;
    server->open_connections++;
    ev_timer_init(&client->opening_timer, on_opened,
                  server->settings.connect_ms / 1000.0, 0);
    client->opening_timer.data = client;
    if (server->open_connections > server->settings.connections) {
        refuse_client(client);
        return;
    }
    if ((uint64_t)server->open_connections >
        server->stats.connections_highest) {
        server->stats.connections_highest = (uint64_t)server->open_connections;
    }
    CbwResp_Pause(&client->resp);
    ev_timer_start(server->loop, &client->opening_timer);
}

static void
on_accept_ready(struct ev_loop *loop, ev_io *watcher, int events)
{
    server_t *server = watcher->data;
    char ip[CbwNet_IP_MAX];
    int fd;

    (void)loop;
    (void)events;
    while ((fd = CbwNet_Accept(watcher->fd, ip)) >= 0) {
        add_client(server, fd, ip);
    }
}

int
Server_Init(server_t *server, struct ev_loop *loop,
            const endpoint_settings_t *settings, cbw_error_t *error)
{
    int fd;

    memset(server, 0, sizeof(*server));
    server->loop = loop;
    server->settings = *settings;
    server->random_state = (uint64_t)settings->seed;
    CbwList_Init(&server->clients);
    CbwList_Init(&server->delayed);
    CbwList_Init(&server->slot_queue);
    CbwList_Init(&server->long_polls);
    if (Database_Init(&server->database, settings->data, settings->primary,
                      error) != 0) {
        return -1;
    }
    fd = CbwNet_Listen(settings->listen, error);
    if (fd < 0) {
        return -1;
    }
    ev_io_init(&server->listener, on_accept_ready, fd, EV_READ);
    server->listener.data = server;
    ev_io_start(loop, &server->listener);
    ev_timer_init(&server->tick_timer, on_tick, TICK_SECONDS, TICK_SECONDS);
    server->tick_timer.data = server;
    ev_timer_start(loop, &server->tick_timer);
    return 0;
}
