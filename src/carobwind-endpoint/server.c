#include "commands.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "share/reaper.h"

#define TICK_SECONDS 0.001

static void start_waiting(server_t *server);

static void
release_client(void *object)
{
    client_t *client = object;

    if (client->call_count > 0) {
        CbwReaper_Defer(release_client, client);
        return;
    }
    CbwResp_Finish(&client->resp);
    if (client->transaction != NULL) {
        g_string_free(client->transaction, TRUE);
    }
    g_free(client);
}

static void
drop_client(client_t *client)
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
    CbwReaper_Defer(release_client, client);
}

static void
free_work(client_call_t *work)
{
    CbwList_Remove(&work->link);
    work->client->call_count--;
    g_strfreev(work->words);
    g_free(work);
}

/* Handles work and frees it, unless it was parked. */
static void
handle_work(client_call_t *work, const command_t *command)
{
    CbwList_Remove(&work->link);
    /* A statement that has begun runs even when its caller is gone. */
    if (!work->client->closed || command->needs_slot) {
        command->handle(work);
    }
    if (CbwList_IsEmpty(&work->link)) {
        free_work(work);
    }
}

static void
on_serviced(struct ev_loop *loop, ev_timer *timer, int events)
{
    client_call_t *work = timer->data;
    server_t *server = work->client->server;

    (void)loop;
    (void)events;
    server->busy_slots--;
    handle_work(work, Commands_Find(work));
    start_waiting(server);
}

/* Half to one and a half times the set service time. */
static double
service_seconds(server_t *server)
{
    double unit;

    server->random_state =
        server->random_state * UINT64_C(6364136223846793005) +
        UINT64_C(1442695041);
    unit = (double)(server->random_state >> 33) / (double)(UINT64_C(1) << 31);
    return server->settings.service_ms * (0.5 + unit) / 1000.0;
}

static void
start_waiting(server_t *server)
{
    while (server->busy_slots < server->settings.slots) {
        cbw_link_t *link = CbwList_TakeFirst(&server->slot_queue);
        client_call_t *work;
        if (link == NULL) {
            return;
        }
        work = Cbw_LIST_ITEM(link, client_call_t, link);
        server->busy_slots++;
        ev_timer_init(&work->service_timer, on_serviced,
                      service_seconds(server), 0);
        work->service_timer.data = work;
        ev_timer_start(server->loop, &work->service_timer);
    }
}

static void
admit_work(client_call_t *work)
{
    const command_t *command = Commands_Find(work);

    CbwList_Remove(&work->link);
    if (command == NULL) {
        if (!work->client->closed) {
            CbwResp_SendError(&work->client->resp,
                              "unknown command or wrong number of words");
        }
        free_work(work);
    }
    else if (command->needs_slot) {
        CbwList_Append(&work->client->server->slot_queue, &work->link);
        start_waiting(work->client->server);
    }
    else {
        handle_work(work, command);
    }
}

/* Time. */

static void
tick_delayed(server_t *server, cbw_time_t now)
{
    while (!CbwList_IsEmpty(&server->delayed)) {
        client_call_t *work =
            Cbw_LIST_ITEM(server->delayed.next, client_call_t, link);
        if (work->due_at > now) {
            return;
        }
        admit_work(work);
    }
}

static void
answer_parked(client_call_t *work)
{
    CbwList_Remove(&work->link);
    if (!work->client->closed) {
        Commands_AnswerLongPoll(work);
    }
    free_work(work);
}

/* Answers parked work whose position is reached or, with `now`, whose time is
 * over; all of it when the term changed. */
static void
wake_parked(server_t *server, cbw_time_t now)
{
    cbw_link_t *link;
    cbw_link_t *safe;

    Cbw_LIST_FOREACH (&server->long_polls, link, safe) {
        client_call_t *work = Cbw_LIST_ITEM(link, client_call_t, link);
        bool pull = strcmp(work->words[0], "PULL") == 0;
        if (work->position <= Database_Position(&server->database) ||
            now >= work->due_at || work->client->closed ||
            (pull && Commands_ParseNumber(work, 1) != server->database.term)) {
            answer_parked(work);
        }
    }
}

void
Server_OnLogChange(server_t *server)
{
    wake_parked(server, 0);
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
    server_t *server = timer->data;
    cbw_time_t now = CbwNet_Now();

    (void)loop;
    (void)events;
    tick_delayed(server, now);
    wake_parked(server, now);
    Replica_Tick(server, now);
}

/* Connections. */

static void
on_message(cbw_resp_t *resp, const cbw_resp_message_t *message)
{
    client_t *client = resp->context;
    server_t *server = client->server;
    client_call_t *work = g_new0(client_call_t, 1);

    CbwList_Init(&work->link);
    work->client = client;
    work->count = message->count;
    work->words = g_new0(gchar *, (gsize)message->count + 1);
    for (int i = 0; i < message->count; i++) {
        work->words[i] = g_strdup(message->words[i]);
    }
    client->call_count++;
    if (server->settings.delay_ms > 0) {
        work->due_at =
            CbwNet_Now() + (cbw_time_t)(server->settings.delay_ms * Cbw_MSEC);
        CbwList_Append(&server->delayed, &work->link);
        return;
    }
    admit_work(work);
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
on_acceptable(struct ev_loop *loop, ev_io *watcher, int events)
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
    ev_io_init(&server->listener, on_acceptable, fd, EV_READ);
    server->listener.data = server;
    ev_io_start(loop, &server->listener);
    ev_timer_init(&server->tick_timer, on_tick, TICK_SECONDS, TICK_SECONDS);
    server->tick_timer.data = server;
    ev_timer_start(loop, &server->tick_timer);
    return 0;
}
