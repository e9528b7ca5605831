/* The part of the peer task that answers calls, on connections that peers or
 * carobwindctl opened. */

#include "peer_server.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "client_limits.h"
#include "peer_traffic.h"
#include "share/reaper.h"
#include "share/rpc.h"

/* Calls in progress at which a connection is not read any further: statements,
 * and other calls, which are fewer but have long replies. */
#define SERVER_STATEMENTS_MAX 1024
#define SERVER_CALLS_MAX 64

/* A connection that a peer opened, to call this host. */
typedef struct {
    cbw_rpc_t rpc;
    cbw_memory_account_t account;
    peer_place_t place;
    int references;    /* of the socket, and of each call in flight */
    bool closed;       /* replies are dropped */
    size_t statements; /* in flight */
    size_t statement_bytes;
    size_t calls; /* other ones in flight */
} server_connection_t;

static daemon_t *local_daemon;
static view_t *const *view; /* the peer task's */
static client_listener_t listener;

static void
free_server(void *object)
{
    server_connection_t *server = object;

    CbwRpc_Finish(&server->rpc);
    CbwMemoryAccount_Close(&server->account);
    free(server);
}

static void
unref_server(server_connection_t *server)
{
    if (--server->references == 0) {
        CbwReaper_Defer(free_server, server);
    }
}

static void
on_server_close(cbw_rpc_t *rpc, const char *reason)
{
    server_connection_t *server = rpc->context;

    (void)reason;
    if (!server->closed) {
        server->closed = true;
        CbwAcceptor_Release(&listener.acceptor);
        unref_server(server);
    }
}

static cbw_client_state_t
server_state(const server_connection_t *server)
{
    return server->statements + server->calls > 0 ? CBW_CLIENT_BUSY
                                                  : CBW_CLIENT_IDLE;
}

/* Called when a reply was sent or is not needed any more. */
static void
end_call(server_connection_t *server)
{
    CbwMemoryAccount_OnAnswer(&server->account, server_state(server),
                              CbwNet_Now());
    CbwRpc_Continue(&server->rpc);
    unref_server(server);
}

static void
copy_text(char *target, size_t size, const char *source)
{
    snprintf(target, size, "%s", source);
}

static job_t *
decode_statement(const peer_statement_args *args)
{
    job_t *job = Job_New();
    cbw_request_t *request = &job->request;
    cbw_time_t now = CbwNet_Now();

    request->verb = (cbw_verb_t)args->verb;
    copy_text(request->database, sizeof(request->database), args->database);
    copy_text(request->kind_name, sizeof(request->kind_name), args->kind);
    copy_text(request->key, sizeof(request->key), args->key);
    copy_text(request->token, sizeof(request->token), args->token);
    copy_text(request->trace, sizeof(request->trace), args->trace);
    copy_text(request->workspace, sizeof(request->workspace), args->workspace);
    CbwRequest_SetStatement(request, args->statement.statement_val,
                            args->statement.statement_len);
    request->age = args->age;
    request->arrived_at = now;
    request->deadline = now + args->remaining;
    request->transaction = args->transaction;
    request->maybe_sent = args->maybe_sent;
    if (args->values[0] != '\0') {
        request->values = strdup(args->values);
    }
    if (args->shape[0] != '\0') {
        request->shape = strdup(args->shape);
    }
    request->begins = args->begins;
    request->reads_only = args->reads_only;
    request->rule = (cbw_read_consistency_t)args->rule;
    request->rank = (int)args->rank;
    request->writes = args->writes;
    request->target = args->target;
    request->config_version = args->config_version;
    request->takes_over = args->takes_over;
    request->id = args->id;
    request->dispatches = args->dispatches;
    return job;
}

static bool
is_valid_statement(const peer_statement_args *args)
{
    return args->verb <= CBW_VERB_SETTLE && args->remaining >= 0 &&
           args->remaining <= 3600 * Cbw_SEC && args->age >= 0 &&
           args->rule <= CBW_READ_LATEST && args->rank < Cbw_RANKS_MAX;
}

static task_id_t
task_for_procedure(uint32_t procedure)
{
    switch (procedure) {
    case PEER_EXPLAIN:
    case PEER_REACH:
    case PEER_GIVE_UP:
    case PEER_PREPARE:
    case PEER_QUOTA:
    case PEER_CANCEL:
    case PEER_SAMPLE:
    case PEER_ACCEPT_LOSS:
        return TASK_OWNER;
    case PEER_CONFIG:
    case PEER_REGISTRY:
    case PEER_REGISTRY_DIFF:
        return TASK_CONFIG;
    case PEER_STORE:
        return TASK_STORE;
    case PEER_DRAIN:
        return TASK_MAIN;
    default:
        return TASK_MEMBER;
    }
}

typedef struct {
    char text[16384];
    size_t length;
} span_text_t;

static void
append_span(void *context, const cbw_span_t *span)
{
    span_text_t *out = context;
    int written =
        snprintf(out->text + out->length, sizeof(out->text) - out->length,
                 "%s\t%s\t%lld\t%lld\t%s\n", local_daemon->settings.name,
                 CbwTrace_HopString[span->hop], (long long)span->start,
                 (long long)(span->end - span->start), span->detail);

    if (out->length + (size_t)written < sizeof(out->text)) {
        out->length += (size_t)written;
    }
    else {
        out->text[out->length] = '\0';
    }
}

/* Answers a call that needs only the state of the process. Returns false when
 * a task must answer. */
static bool
answer_locally(inbound_t *inbound)
{
    static char counters[16384];
    span_text_t spans = {.length = 0};

    switch (inbound->procedure) {
    case PEER_TRACE:
        spans.text[0] = '\0';
        CbwTrace_Find(&local_daemon->traces, inbound->args.text.subject,
                      append_span, &spans);
        Inbound_SetText(inbound, spans.length > 0, spans.text);
        return true;
    case PEER_COUNTERS:
        CbwCounter_Format(&local_daemon->counters, counters, sizeof(counters));
        Inbound_SetText(inbound, true, counters);
        return true;
    default:
        return false;
    }
}

void
PeerServer_FinishCall(inbound_t *inbound)
{
    server_connection_t *server = inbound->connection;
    const peer_codec_t *codec = &Peer_Codecs[inbound->procedure];

    if (!server->closed) {
        size_t bytes = CbwRpc_Reply(&server->rpc, inbound->xid, codec->result,
                                    &inbound->result);
        PeerTraffic_CountSent(local_daemon,
                              PeerPlace_Find(&server->place, *view),
                              inbound->procedure, bytes);
    }
    xdr_free(codec->args, &inbound->args);
    xdr_free(codec->result, &inbound->result);
    free(inbound);
    server->calls--;
    end_call(server);
}

/* Where the answer to a peer's statement is sent. */
typedef struct {
    server_connection_t *server;
    uint32_t xid;
    size_t bytes; /* of the statement and what is sent with it */
} statement_origin_t;

static void
start_statement(server_connection_t *server, uint32_t xid,
                const inbound_t *inbound)
{
    job_t *job = decode_statement(&inbound->args.statement);
    statement_origin_t *origin = calloc(1, sizeof(*origin));

    if (origin == NULL) {
        abort();
    }
    origin->server = server;
    origin->xid = xid;
    origin->bytes = job->request.statement_size +
                    strlen(inbound->args.statement.values) +
                    strlen(inbound->args.statement.shape);
    server->references++;
    server->statements++;
    server->statement_bytes += origin->bytes;
    CbwMemoryAccount_Set(&server->account, CBW_MEMORY_STATEMENTS,
                         server->statement_bytes);
    job->reply_to = TASK_PEER;
    job->origin = origin;
    Task_Post(TASK_PEER, TASK_OWNER, MESSAGE_JOB, &job->message);
}

static bool
on_server_call(cbw_rpc_t *rpc, uint32_t xid, uint32_t procedure, XDR *args)
{
    server_connection_t *server = rpc->context;
    inbound_t *inbound;

    if (Peer_Codecs[procedure].args == NULL) {
        return false; /* no such procedure */
    }
    inbound = calloc(1, sizeof(*inbound));
    if (inbound == NULL) {
        return false;
    }
    PeerTraffic_CountReceived(
        local_daemon, PeerPlace_Find(&server->place, *view), procedure, rpc);
    CbwMemoryAccount_OnMessage(&server->account, CBW_CLIENT_BUSY,
                               CbwNet_Now());
    CbwList_Init(&inbound->message.link);
    inbound->procedure = procedure;
    inbound->connection = server;
    inbound->xid = xid;
    if (!Peer_Codecs[procedure].args(args, &inbound->args) ||
        (procedure == PEER_STATEMENT &&
         !is_valid_statement(&inbound->args.statement))) {
        xdr_free(Peer_Codecs[procedure].args, &inbound->args);
        free(inbound);
        return false;
    }
    if (procedure == PEER_STATEMENT) {
        start_statement(server, xid, inbound);
        xdr_free(Peer_Codecs[procedure].args, &inbound->args);
        free(inbound);
        return true;
    }
    server->references++;
    server->calls++;
    if (answer_locally(inbound)) {
        PeerServer_FinishCall(inbound);
    }
    else {
        Task_Post(TASK_PEER, task_for_procedure(procedure), MESSAGE_INBOUND,
                  &inbound->message);
    }
    return true;
}

static void
reply_to_statement(server_connection_t *server, uint32_t xid,
                   peer_statement_result *result)
{
    xdrproc_t encode = Peer_Codecs[PEER_STATEMENT].result;
    size_t bytes = CbwRpc_Reply(&server->rpc, xid, encode, result);

    if (bytes == 0) {
        /* Without a reply the peer would consider this host lost. */
        result->outcome = CBW_OUTCOME_UNKNOWN;
        result->cause = CBW_CAUSE_IN_DOUBT;
        result->reason = (char *)"its answer is too large to pass on";
        result->result.result_len = 0;
        bytes = CbwRpc_Reply(&server->rpc, xid, encode, result);
    }
    PeerTraffic_CountSent(local_daemon, PeerPlace_Find(&server->place, *view),
                          PEER_STATEMENT, bytes);
}

void
PeerServer_FinishStatement(job_t *job)
{
    statement_origin_t *origin = job->origin;
    server_connection_t *server = origin->server;
    const cbw_answer_t *answer = &job->request.answer;
    peer_statement_result result = {
        .outcome = answer->outcome,
        .cause = answer->cause,
        .token = (char *)answer->token,
        .reason = (char *)answer->reason,
        .retry_after = answer->retry_after,
        .moved_to = job->moved_to,
        .moved_takes = job->moved_takes,
        .refusal = answer->refusal,
    };

    result.result.result_val = answer->result;
    result.result.result_len = (u_int)answer->result_size;
    result.admission.admission_val = job->admission;
    result.admission.admission_len = (u_int)job->admission_count;
    if (!server->closed) {
        reply_to_statement(server, origin->xid, &result);
    }
    server->statements--;
    server->statement_bytes -= origin->bytes;
    CbwMemoryAccount_Set(&server->account, CBW_MEMORY_STATEMENTS,
                         server->statement_bytes);
    end_call(server);
    free(origin);
    Job_Free(job);
}

static void
on_server_reply(cbw_rpc_t *rpc, uint32_t xid, XDR *result)
{
    (void)rpc;
    (void)xid;
    (void)result;
}

static bool
may_handle_call(cbw_rpc_t *rpc)
{
    const server_connection_t *server = rpc->context;

    return server->statements < SERVER_STATEMENTS_MAX &&
           server->calls < SERVER_CALLS_MAX &&
           !CbwStream_IsOutputFull(&rpc->stream);
}

static const cbw_rpc_ops_t server_ops = {
    .on_call = on_server_call,
    .on_reply = on_server_reply,
    .on_close = on_server_close,
    .may_handle = may_handle_call,
};

static void
on_accept(void *context, int fd, const char *ip)
{
    server_connection_t *server = calloc(1, sizeof(*server));

    (void)context;
    if (server == NULL) {
        abort();
    }
    server->references = 1;
    memcpy(server->place.ip, ip, sizeof(server->place.ip));
    CbwRpc_Accept(&server->rpc, local_daemon->loop, fd, ip, &server_ops,
                  server);
    ClientLimits_Open(&server->account, &server->rpc.stream, CBW_PORT_PEERS);
}

int
PeerServer_Start(daemon_t *daemon, view_t *const *present_view,
                 cbw_error_t *error)
{
    local_daemon = daemon;
    view = present_view;
    return ClientLimits_Listen(&listener, CBW_PORT_PEERS,
                               daemon->settings.peers_address, on_accept, NULL,
                               error);
}
