/* The peer task: RPC between daemons, over one client connection to each
 * peer that is called, and over server connections that peers opened. A call
 * without an answer by its deadline ends unanswered. A client connection
 * that receives nothing while calls are in flight is probed, then replaced by
 * a new one (liveness.h). */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "carobwind/liveness.h"
#include "carobwind/log.h"
#include "messages.h"
#include "peer_server.h"
#include "peer_traffic.h"
#include "share/reaper.h"
#include "share/rpc.h"
#include "share/tick.h"

#define TICK_SECONDS 0.02
/* An unused connection is closed after this time. */
#define IDLE_TIMEOUT (30 * Cbw_SEC)

/* A connection that this host opened, to call a peer. */
typedef struct {
    cbw_link_t link;
    cbw_rpc_t rpc;
    char address[Cbw_ADDRESS_MAX];
    cbw_traffic_place_t place;
    cbw_link_t calls; /* outbound_t that wait for a reply */
    uint32_t next_xid;
    uint32_t probe_xid;        /* of the liveness probe in flight; 0: none */
    cbw_time_t waiting_since;  /* when `calls` last became non-empty */
    cbw_time_t used_at;        /* when a call was last sent */
    cbw_time_t first_heard_at; /* first answer; 0: none */
    cbw_time_t retired_at;     /* takes no more calls; 0: it does */
} client_connection_t;

static daemon_t *local_daemon;
static view_t *view; /* NULL until the members are known */
static cbw_link_t clients;
static GHashTable *clients_by_address; /* the same, by peer; owns nothing */
static ev_timer timer;

/* Client connections. */

static void
finish_call(outbound_t *call)
{
    CbwList_Remove(&call->message.link);
    Task_Post(TASK_PEER, call->reply_to, MESSAGE_OUTBOUND_DONE,
              &call->message);
}

static void
fail_call(outbound_t *call, outbound_failure_t failure)
{
    call->failure = failure;
    finish_call(call);
}

static void
free_client(void *object)
{
    client_connection_t *client = object;

    CbwRpc_Finish(&client->rpc);
    free(client);
}

static void
drop_client(client_connection_t *client, const char *reason)
{
    cbw_link_t *link;

    CbwLog_Write(CBW_LOG_DEBUG, "peer", "disconnected", "address=%s reason=%s",
                 client->address, reason);
    CbwRpc_Close(&client->rpc);
    CbwList_Remove(&client->link);
    if (client->retired_at == 0) {
        g_hash_table_remove(clients_by_address, client->address);
    }
    while ((link = client->calls.next) != &client->calls) {
        fail_call(Cbw_LIST_ITEM(link, outbound_t, message.link),
                  OUTBOUND_LOST);
    }
    CbwReaper_Defer(free_client, client);
}

static outbound_t *
find_call(const client_connection_t *client, uint32_t xid)
{
    const cbw_link_t *link = client->calls.next;

    for (; link != &client->calls; link = link->next) {
        outbound_t *call = Cbw_LIST_ITEM(link, outbound_t, message.link);
        if (call->xid == xid) {
            return call;
        }
    }
    return NULL;
}

static void
on_client_reply(cbw_rpc_t *rpc, uint32_t xid, XDR *result)
{
    client_connection_t *client = rpc->context;
    outbound_t *call;
    xdrproc_t decode;

    if (client->first_heard_at == 0) {
        client->first_heard_at = CbwNet_Now();
    }
    if (xid == client->probe_xid) {
        PeerTraffic_CountReceived(local_daemon, client->place, PEER_PROBE,
                                  rpc);
        client->probe_xid = 0;
        return;
    }
    call = find_call(client, xid);
    if (call == NULL) {
        PeerTraffic_CountReceived(local_daemon, client->place,
                                  Cbw_TRAFFIC_LATE, rpc);
        return; /* its deadline has passed */
    }
    PeerTraffic_CountReceived(local_daemon, client->place, call->procedure,
                              rpc);
    decode = Peer_Codecs[call->procedure].result;
    if (result == NULL) {
        /* Peers reject calls only before they start them. */
        fail_call(call, OUTBOUND_REFUSED);
        return;
    }
    if (decode(result, &call->result)) {
        call->answered = true;
        finish_call(call);
        return;
    }
    xdr_free(decode, &call->result);
    memset(&call->result, 0, sizeof(call->result));
    fail_call(call, OUTBOUND_LOST);
}

static bool
on_client_call(cbw_rpc_t *rpc, uint32_t xid, uint32_t procedure, XDR *args)
{
    (void)rpc;
    (void)xid;
    (void)procedure;
    (void)args;
    return false; /* peers make calls on connections that they opened */
}

static void
on_client_close(cbw_rpc_t *rpc, const char *reason)
{
    drop_client(rpc->context, reason);
}

static const cbw_rpc_ops_t client_ops = {
    .on_call = on_client_call,
    .on_reply = on_client_reply,
    .on_close = on_client_close,
};

/* Calls to peers. */

static client_connection_t *
open_client(const char *address)
{
    client_connection_t *client = calloc(1, sizeof(*client));

    if (client == NULL) {
        return NULL;
    }
    if (CbwRpc_Connect(&client->rpc, local_daemon->loop,
                       local_daemon->local_ip, address, &client_ops, client,
                       NULL) != 0) {
        free(client);
        return NULL;
    }
    client->place = PeerPlace_OfAddress(view, address);
    /* Traffic within a data centre is free, so compressing it would only cost
     * CPU time. */
    client->rpc.compress_output = client->place == CBW_TRAFFIC_OUTSIDE;
    local_daemon->traffic.connections_opened[client->place]++;
    snprintf(client->address, sizeof(client->address), "%s", address);
    CbwList_Init(&client->link);
    CbwList_Init(&client->calls);
    CbwList_Append(&clients, &client->link);
    g_hash_table_insert(clients_by_address, client->address, client);
    return client;
}

static uint32_t
next_xid(client_connection_t *client)
{
    client->next_xid++;
    if (client->next_xid == 0) {
        client->next_xid++;
    }
    return client->next_xid;
}

static void
send_call(outbound_t *call)
{
    cbw_time_t now = CbwNet_Now();
    client_connection_t *client =
        g_hash_table_lookup(clients_by_address, call->address);
    size_t bytes;

    if (client == NULL) {
        client = open_client(call->address);
    }
    if (client == NULL) {
        fail_call(call, OUTBOUND_UNSENT);
        return;
    }
    if (CbwList_IsEmpty(&client->calls)) {
        client->waiting_since = now;
    }
    client->used_at = now;
    call->xid = next_xid(client);
    call->deadline = now + call->timeout;
    CbwList_Append(&client->calls, &call->message.link);
    bytes = CbwRpc_Call(&client->rpc, call->xid, call->procedure,
                        Peer_Codecs[call->procedure].args, &call->args);
    PeerTraffic_CountSent(local_daemon, client->place, call->procedure, bytes);
    if (bytes == 0) {
        fail_call(call, OUTBOUND_REFUSED);
    }
}

static void
send_liveness_probe(client_connection_t *client)
{
    peer_probe_args args = {.target = (char *)"",
                            .target_address = (char *)""};

    client->probe_xid = next_xid(client);
    PeerTraffic_CountSent(local_daemon, client->place, PEER_PROBE,
                          CbwRpc_Call(&client->rpc, client->probe_xid,
                                      PEER_PROBE, Peer_Codecs[PEER_PROBE].args,
                                      &args));
}

static void
expire_calls(client_connection_t *client, cbw_time_t now)
{
    cbw_link_t *link;
    cbw_link_t *safe;

    Cbw_LIST_FOREACH (&client->calls, link, safe) {
        outbound_t *call = Cbw_LIST_ITEM(link, outbound_t, message.link);
        if (now >= call->deadline) {
            fail_call(call, OUTBOUND_LOST);
        }
    }
}

/* Replaces an unresponsive connection by a new one, and fails the calls that
 * can be repeated. */
static void
retire_client(client_connection_t *client, cbw_time_t now)
{
    client_connection_t *successor;
    cbw_link_t *link;
    cbw_link_t *safe;

    CbwLog_Write(CBW_LOG_INFO, "peer", "silent", "address=%s",
                 client->address);
    client->retired_at = now;
    g_hash_table_remove(clients_by_address, client->address);
    successor = open_client(client->address);
    if (successor != NULL) {
        send_liveness_probe(successor);
    }
    Cbw_LIST_FOREACH (&client->calls, link, safe) {
        outbound_t *call = Cbw_LIST_ITEM(link, outbound_t, message.link);
        if (!call->patient) {
            fail_call(call, OUTBOUND_LOST);
        }
    }
}

static cbw_liveness_t
describe_liveness(const client_connection_t *client)
{
    const client_connection_t *successor =
        client->retired_at != 0
            ? g_hash_table_lookup(clients_by_address, client->address)
            : NULL;

    return (cbw_liveness_t){
        .waiting_since = client->waiting_since,
        .heard_at = client->rpc.stream.last_received_at,
        .probed = client->probe_xid != 0,
        .local_delay = local_daemon->local_delay,
        .retired_at = client->retired_at,
        .successor_heard_at =
            successor != NULL ? successor->first_heard_at : 0,
    };
}

static void
check_client(client_connection_t *client, cbw_time_t now)
{
    cbw_liveness_t liveness;

    if (CbwList_IsEmpty(&client->calls)) {
        if (client->retired_at != 0 || now - client->used_at > IDLE_TIMEOUT) {
            drop_client(client, "unused");
        }
        return;
    }
    liveness = describe_liveness(client);
    switch (CbwLiveness_Judge(&liveness, now)) {
    case CBW_LIVENESS_PROBE:
        send_liveness_probe(client);
        break;
    case CBW_LIVENESS_RETIRE:
        retire_client(client, now);
        break;
    case CBW_LIVENESS_LOST:
        drop_client(client, "silent while a fresh connection works");
        return;
    case CBW_LIVENESS_GOOD:
        break;
    }
    expire_calls(client, now);
}

static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
    cbw_time_t now = CbwNet_Now();
    cbw_link_t *link;
    cbw_link_t *safe;

    (void)loop;
    (void)watcher;
    (void)events;
    Cbw_LIST_FOREACH (&clients, link, safe) {
        check_client(Cbw_LIST_ITEM(link, client_connection_t, link), now);
    }
}

static void
handle(void *state, message_t *message)
{
    (void)state;
    switch (message->type) {
    case MESSAGE_OUTBOUND:
        send_call(Cbw_LIST_ITEM(message, outbound_t, message));
        break;
    case MESSAGE_INBOUND_DONE:
        PeerServer_FinishCall(Cbw_LIST_ITEM(message, inbound_t, message));
        break;
    case MESSAGE_JOB_DONE:
        PeerServer_FinishStatement(Cbw_LIST_ITEM(message, job_t, message));
        break;
    case MESSAGE_VIEW:
        View_Replace(&view, message);
        break;
    default:
        break;
    }
}

int
PeerTask_Start(daemon_t *daemon, cbw_error_t *error)
{
    local_daemon = daemon;
    CbwList_Init(&clients);
    clients_by_address = g_hash_table_new(g_str_hash, g_str_equal);
    CbwTick_Init(&timer, on_tick, TICK_SECONDS, TICK_SECONDS);
    ev_timer_start(daemon->loop, &timer);
    Task_Register(daemon->loop, TASK_PEER, handle, NULL);
    return PeerServer_Start(daemon, &view, error);
}
