/* Replication from a primary: pulls log entries and applies them after the
 * configured lag. */

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "server.h"
#include "share/reaper.h"

/* Delay before reconnecting to the primary. */
#define RECONNECT_DELAY (50 * Cbw_MSEC)
/* Words of an entry in the answer to a pull. Must match commands.c. */
#define PULL_ENTRY_WORDS 5

/* An entry that was received and is applied once the replication lag has
 * passed. */
typedef struct {
    cbw_link_t link;
    cbw_time_t apply_at;
    uint64_t term;
    entry_type_t type;
    gchar *key;
    gchar *statement;
    gchar *result;
} received_entry_t;

struct replica {
    server_t *server;
    uint64_t term;
    char address[Cbw_ADDRESS_MAX];
    cbw_resp_t resp;
    bool connected; /* set, but not read: CbwResp_IsOpen tells */
    cbw_time_t retry_at;
    cbw_link_t received_entries;
    uint64_t received_position; /* of the last received or applied entry */
    uint64_t received_term;     /* its term */
};

static void
free_received(received_entry_t *received)
{
    CbwList_Remove(&received->link);
    g_free(received->key);
    g_free(received->statement);
    g_free(received->result);
    g_free(received);
}

/* Discards the received entries that are not applied yet. */
static void
discard_received(replica_t *replica)
{
    const database_t *database = &replica->server->database;

    while (!CbwList_IsEmpty(&replica->received_entries)) {
        free_received(Cbw_LIST_ITEM(replica->received_entries.next,
                                    received_entry_t, link));
    }
    replica->received_position = Database_Position(database);
    replica->received_term = Database_LastTerm(database);
}

static void
free_replica(void *object)
{
    replica_t *replica = object;

    CbwResp_Finish(&replica->resp);
    g_free(replica);
}

void
Replica_Stop(server_t *server)
{
    replica_t *replica = server->replica;

    if (replica == NULL) {
        return;
    }
    server->replica = NULL;
    discard_received(replica);
    CbwResp_Close(&replica->resp);
    CbwReaper_Defer(free_replica, replica);
}

static void
send_pull(replica_t *replica)
{
    char numbers[3][24];
    const char *words[] = {"PULL", numbers[0], numbers[1], numbers[2]};

    snprintf(numbers[0], 24, "%" PRIu64, replica->term);
    snprintf(numbers[1], 24, "%" PRIu64, replica->received_position);
    snprintf(numbers[2], 24, "%" PRIu64, replica->received_term);
    CbwResp_Send(&replica->resp, 4, words, NULL);
}

static void
on_connected(cbw_resp_t *resp)
{
    replica_t *replica = resp->context;

    replica->connected = true;
    discard_received(replica);
    send_pull(replica);
}

/* The logs diverge at the last entry: removes it, and all entries beyond the
 * primary's log. The next pull shows whether the rest agrees. */
static void
truncate_tail(replica_t *replica, uint64_t primary_position)
{
    database_t *database = &replica->server->database;
    uint64_t position = Database_Position(database);

    discard_received(replica);
    position = position > 0 ? position - 1 : 0;
    if (position > primary_position) {
        position = primary_position;
    }
    Database_Truncate(database, position);
    discard_received(replica);
}

static void
receive_entries(replica_t *replica, const cbw_resp_message_t *message)
{
    cbw_time_t apply_at =
        CbwNet_Now() +
        (cbw_time_t)(replica->server->settings.lag_ms * Cbw_MSEC);

    for (int i = 1; i + PULL_ENTRY_WORDS <= message->count;
         i += PULL_ENTRY_WORDS) {
        received_entry_t *received = g_new0(received_entry_t, 1);
        CbwList_Init(&received->link);
        received->apply_at = apply_at;
        received->term = strtoull(message->words[i], NULL, 10);
        received->type = (entry_type_t)strtol(message->words[i + 1], NULL, 10);
        received->key = g_strdup(message->words[i + 2]);
        received->statement = g_strdup(message->words[i + 3]);
        received->result = g_strdup(message->words[i + 4]);
        CbwList_Append(&replica->received_entries, &received->link);
        replica->received_position++;
        replica->received_term = received->term;
    }
    Replica_Tick(replica->server, CbwNet_Now());
}

static void
on_message(cbw_resp_t *resp, const cbw_resp_message_t *message)
{
    replica_t *replica = resp->context;

    if (strcmp(message->words[0], "entries") == 0) {
        receive_entries(replica, message);
    }
    else if (strcmp(message->words[0], "mismatch") == 0 &&
             message->count == 2) {
        truncate_tail(replica, strtoull(message->words[1], NULL, 10));
    }
    else {
        CbwResp_Close(resp);
        replica->connected = false;
        replica->retry_at = CbwNet_Now() + RECONNECT_DELAY;
        return;
    }
    send_pull(replica);
}

static void
on_close(cbw_resp_t *resp, const char *reason)
{
    replica_t *replica = resp->context;

    (void)reason;
    replica->connected = false;
    replica->retry_at = CbwNet_Now() + RECONNECT_DELAY;
}

static const cbw_resp_ops_t replica_ops = {
    .on_connected = on_connected,
    .on_message = on_message,
    .on_close = on_close,
};

static void
connect_to_primary(replica_t *replica, cbw_time_t now)
{
    char local[CbwNet_IP_MAX];
    const char *listen = replica->server->settings.listen;

    snprintf(local, sizeof(local), "%.*s", (int)strcspn(listen, ":"), listen);
    CbwResp_Finish(&replica->resp);
    replica->retry_at = now + RECONNECT_DELAY;
    CbwResp_Connect(&replica->resp, replica->server->loop, local,
                    replica->address, &CbwResp_ClientLimits, &replica_ops,
                    replica, NULL);
}

void
Replica_Follow(server_t *server, uint64_t term, const char *address)
{
    replica_t *replica = g_new0(replica_t, 1);

    Replica_Stop(server);
    replica->server = server;
    replica->term = term;
    replica->resp.stream.fd = -1;
    snprintf(replica->address, sizeof(replica->address), "%s", address);
    CbwList_Init(&replica->received_entries);
    server->replica = replica;
    connect_to_primary(replica, CbwNet_Now());
}

static void
apply_received(replica_t *replica, cbw_time_t now)
{
    server_t *server = replica->server;
    bool applied = false;

    while (!CbwList_IsEmpty(&replica->received_entries)) {
        received_entry_t *received = Cbw_LIST_ITEM(
            replica->received_entries.next, received_entry_t, link);
        if (received->apply_at > now) {
            break;
        }
        Database_Replicate(&server->database, received->term, received->type,
                           received->key, received->statement,
                           received->result);
        free_received(received);
        applied = true;
    }
    if (applied) {
        Server_OnLogChange(server);
    }
}

void
Replica_Tick(server_t *server, cbw_time_t now)
{
    replica_t *replica = server->replica;

    if (replica == NULL) {
        return;
    }
    apply_received(replica, now);
    if (!CbwResp_IsOpen(&replica->resp) && now >= replica->retry_at) {
        connect_to_primary(replica, now);
    }
}
