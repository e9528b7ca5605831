/* What the router makes of a call to another host that has no answer: one that
 * was lost may have run, one that was rejected or not sent has not. */
#include <arpa/inet.h>
#include <ev.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "carobwindd/client_limits.h"
#include "carobwindd/messages.h"
#include "share/net.h"
#include "share/reaper.h"
#include "share/rpc.h"
#include "suites.h"

/* Rounds of the event loop, 1 ms each, until a wait has failed. */
#define ROUNDS_MAX 2000
#define DEADLINE (300 * Cbw_MSEC)
#define CONNECTIONS_MAX 16
#define TRANSACTION 77

/* How the peers treat a statement. */
typedef enum {
    PEERS_REJECT, /* as one that they cannot decode */
    PEERS_CLOSE,  /* close the connection without an answer */
    PEERS_ABSENT, /* have an address that cannot be connected to */
} peers_t;

typedef struct {
    const char *name;
    peers_t peers;
    size_t size; /* of the statement */
    cbw_verb_t verb;
    bool writes;
    bool in_transaction; /* which the owner, "h2", has begun */
    bool maybe_sent;     /* before */
    cbw_outcome_t outcome;
    cbw_cause_t cause;
    int calls_max; /* statements that the peers receive */
    bool avoided;  /* the next request goes to another host */
} case_t;

static const case_t cases[] = {
    {"rejected write", PEERS_REJECT, 10, CBW_VERB_STATEMENT, true, false,
     false, CBW_OUTCOME_NOTRUN, CBW_CAUSE_BUSY, 1, false},
    {"rejected read", PEERS_REJECT, 10, CBW_VERB_STATEMENT, false, false,
     false, CBW_OUTCOME_NOTRUN, CBW_CAUSE_BUSY, 1, false},
    {"rejected in a transaction", PEERS_REJECT, 10, CBW_VERB_STATEMENT, true,
     true, false, CBW_OUTCOME_NOTRUN, CBW_CAUSE_ABORTED, 1, false},
    {"rejected commit", PEERS_REJECT, 0, CBW_VERB_COMMIT, false, true, false,
     CBW_OUTCOME_NOTRUN, CBW_CAUSE_ABORTED, 1, false},
    {"rejected write after a lost copy", PEERS_REJECT, 10, CBW_VERB_STATEMENT,
     true, false, true, CBW_OUTCOME_UNKNOWN, CBW_CAUSE_IN_DOUBT, 1, false},
    {"write that is not encoded", PEERS_REJECT, PEER_STATEMENT_MAX + 1,
     CBW_VERB_STATEMENT, true, false, false, CBW_OUTCOME_NOTRUN,
     CBW_CAUSE_BUSY, 0, false},
    {"lost write", PEERS_CLOSE, 10, CBW_VERB_STATEMENT, true, false, false,
     CBW_OUTCOME_UNKNOWN, CBW_CAUSE_IN_DOUBT, 1, true},
    {"lost commit", PEERS_CLOSE, 0, CBW_VERB_COMMIT, false, true, false,
     CBW_OUTCOME_UNKNOWN, CBW_CAUSE_IN_DOUBT, 1, true},
    {"unsent write", PEERS_ABSENT, 10, CBW_VERB_STATEMENT, true, false, false,
     CBW_OUTCOME_NOTRUN, CBW_CAUSE_BUSY, 0, true},
    {"unsent commit", PEERS_ABSENT, 0, CBW_VERB_COMMIT, false, true, false,
     CBW_OUTCOME_NOTRUN, CBW_CAUSE_ABORTED, 0, true},
};

static struct ev_loop *loop;
static daemon_t local;
static peers_t peers;
static int calls;
static job_t *done; /* the last answered job */

/* The peers: one listener stands for all. */

static cbw_rpc_t connections[CONNECTIONS_MAX];
static int connection_count;

static bool
on_call(cbw_rpc_t *rpc, uint32_t xid, uint32_t procedure, XDR *args)
{
    (void)xid;
    (void)args;
    calls += procedure == PEER_STATEMENT;
    if (peers == PEERS_CLOSE) {
        CbwRpc_Close(rpc);
        return true;
    }
    return false;
}

static void
on_reply(cbw_rpc_t *rpc, uint32_t xid, XDR *result)
{
    (void)rpc;
    (void)xid;
    (void)result;
}

static void
on_close(cbw_rpc_t *rpc, const char *reason)
{
    (void)rpc;
    (void)reason;
}

static const cbw_rpc_ops_t peer_ops = {
    .on_call = on_call,
    .on_reply = on_reply,
    .on_close = on_close,
};

static void
accept_connections(int listener)
{
    char ip[CbwNet_IP_MAX];
    int fd;

    while (connection_count < CONNECTIONS_MAX &&
           (fd = CbwNet_Accept(listener, ip)) >= 0) {
        CbwRpc_Accept(&connections[connection_count++], loop, fd, ip,
                      &peer_ops, NULL);
    }
}

/* The host. */

static void
on_entry_message(void *state, message_t *message)
{
    (void)state;
    g_assert_cmpint(message->type, ==, MESSAGE_JOB_DONE);
    done = Cbw_LIST_ITEM(message, job_t, message);
}

static void
on_probe(void *context, const cbw_member_record_t *target,
         const cbw_member_record_t *via)
{
    (void)context;
    (void)target;
    (void)via;
}

static void
on_change(void *context, const cbw_member_record_t *member,
          cbw_member_state_t old_state)
{
    (void)context;
    (void)member;
    (void)old_state;
}

/* Posts a view of this host, which serves no database, and two peers, "h2" of
 * its data centre and "h3" of `other_centre`. */
static void
post_view(const char *address, const char *other_centre)
{
    static const cbw_membership_ops_t ops = {on_probe, on_change};
    static const char *const names[] = {"h2", "h3"};
    view_message_t *message = calloc(1, sizeof(*message));
    view_t *view = calloc(1, sizeof(*view));

    g_assert_nonnull(message);
    g_assert_nonnull(view);
    CbwMembership_Init(&view->membership, &CbwMembership_DefaultSettings, &ops,
                       NULL, "h1", "z1", "127.0.0.1:1", 1, 1);
    view->membership.members[0].record.state = CBW_MEMBER_LEAVING;
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        cbw_member_record_t record = {.state = CBW_MEMBER_ALIVE,
                                      .incarnation = 1};
        snprintf(record.data_centre, sizeof(record.data_centre), "%s",
                 i == 0 ? "z1" : other_centre);
        snprintf(record.name, sizeof(record.name), "%s", names[i]);
        snprintf(record.address, sizeof(record.address), "%s", address);
        CbwMembership_ApplyUpdate(&view->membership, CbwNet_Now(), &record);
    }
    view->references = 1;
    message->view = view;
    CbwList_Init(&message->message.link);
    Task_Post(TASK_MEMBER, TASK_ROUTER, MESSAGE_VIEW, &message->message);
}

/* Posts a configuration with one database, whose home is a data centre, and
 * which has a replica in this host's. */
static void
post_config(const char *home)
{
    config_message_t *message = calloc(1, sizeof(*message));
    config_t *config = calloc(1, sizeof(*config));
    cbw_inventory_t *inventory;

    g_assert_nonnull(message);
    g_assert_nonnull(config);
    inventory = &config->inventory;
    inventory->databases = calloc(1, sizeof(*inventory->databases));
    g_assert_nonnull(inventory->databases);
    inventory->database_count = 1;
    strcpy(inventory->databases[0].name, "d");
    snprintf(inventory->databases[0].home, Cbw_NAME_MAX, "%s", home);
    inventory->databases[0].endpoint_count = 1;
    strcpy(inventory->databases[0].endpoints[0].data_centre, "z1");
    inventory->databases[0].endpoints[0].connections = 100;
    config->references = 1;
    message->config = config;
    CbwList_Init(&message->message.link);
    Task_Post(TASK_CONFIG, TASK_ROUTER, MESSAGE_CONFIG, &message->message);
}

/* Routes a request and waits for its answer. */
static job_t *
run_job(const case_t *item, int listener)
{
    job_t *job = Job_New();
    cbw_request_t *request = &job->request;
    char *text = g_strnfill(item->size, 'x');

    strcpy(request->database, "d");
    request->verb = item->verb;
    request->writes = item->writes;
    request->maybe_sent = item->maybe_sent;
    CbwRequest_SetStatement(request, text, item->size);
    if (item->in_transaction) {
        request->transaction = TRANSACTION;
        strcpy(job->host, "h2");
    }
    g_free(text);
    request->arrived_at = CbwNet_Now();
    request->deadline = request->arrived_at + DEADLINE;
    done = NULL;
    Task_Post(TASK_ENTRY, TASK_ROUTER, MESSAGE_JOB, &job->message);
    for (int i = 0; i < ROUNDS_MAX && done == NULL; i++) {
        ev_run(loop, EVRUN_NOWAIT);
        accept_connections(listener);
        g_usleep(1000);
    }
    g_assert_true(done == job);
    return job;
}

/* Starts the peers' listener and, for the first test, the host. Returns the
 * listener, and its address in `text`. */
static int
start(char *text)
{
    struct sockaddr_in address = {.sin_port = 0};
    socklen_t length = sizeof(address);
    int listener = CbwNet_Listen("127.0.0.1:0", NULL);

    g_assert_cmpint(listener, >=, 0);
    getsockname(listener, (struct sockaddr *)&address, &length);
    snprintf(text, Cbw_ADDRESS_MAX, "127.0.0.1:%d", ntohs(address.sin_port));
    calls = 0;
    if (loop != NULL) {
        return listener;
    }
    loop = ev_loop_new(EVFLAG_AUTO);
    local.loop = loop;
    local.settings.peers_address = "127.0.0.1:0";
    local.settings.owner_policy = "rendezvous";
    local.settings.data_centre = "z1";
    strcpy(local.local_ip, "127.0.0.1");
    CbwReaper_Start(loop);
    ClientLimits_Start(&local);
    Task_Register(loop, TASK_ENTRY, on_entry_message, NULL);
    RouterTask_Start(&local);
    g_assert_cmpint(PeerTask_Start(&local, NULL), ==, 0);
    return listener;
}

/* Guards against a call that an owner rejects, or that cannot be sent, being
 * taken for one that it lost: its caller was told that it may have run, or it
 * was sent again until its deadline, and the owner lost its databases. */
static void
test_failures(void)
{
    char text[Cbw_ADDRESS_MAX];
    int listener = start(text);

    post_config("z1");
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const case_t *item = &cases[i];
        const case_t next = {.peers = item->peers, .writes = true};
        char host[Cbw_NAME_MAX];
        job_t *job;
        g_test_message("%s", item->name);
        peers = item->peers;
        post_view(item->peers == PEERS_ABSENT ? "nowhere" : text, "z1");
        calls = 0;
        job = run_job(item, listener);
        g_assert_cmpint(job->request.answer.outcome, ==, item->outcome);
        g_assert_cmpint(job->request.answer.cause, ==, item->cause);
        g_assert_cmpint(calls, <=, item->calls_max);
        /* Only of those is an open transaction rolled back by the entry. */
        g_assert_cmpint(job->request.answer.undelivered, ==, !item->avoided);
        memcpy(host, job->host, sizeof(host));
        Job_Free(job);
        if (item->peers != PEERS_ABSENT && !item->in_transaction) {
            job = run_job(&next, listener);
            g_assert_cmpint(strcmp(job->host, host) != 0, ==, item->avoided);
            Job_Free(job);
        }
        /* Until no host is avoided. */
        for (int j = 0; item->avoided && j < 700; j++) {
            ev_run(loop, EVRUN_NOWAIT);
            accept_connections(listener);
            g_usleep(1000);
        }
    }
    close(listener);
}

/* Guards against a read that a read dispatcher rejects being refused without
 * the owner, which may take it, being asked; or asked more than once. */
static void
test_rejected_by_dispatcher(void)
{
    static const case_t read = {.size = 10};
    char text[Cbw_ADDRESS_MAX];
    int listener = start(text);
    job_t *job;

    CbwRegions_Add(&local.settings.regions, "z1", "r1", NULL);
    CbwRegions_Add(&local.settings.regions, "z2", "r2", NULL);
    g_assert_true(local.settings.regions.several);
    post_config("z2");
    post_view(text, "z2");
    peers = PEERS_REJECT;
    job = run_job(&read, listener);
    g_assert_cmpint(calls, ==, 2);
    g_assert_cmpstr(job->host, ==, "h3");
    g_assert_cmpint(job->request.answer.outcome, ==, CBW_OUTCOME_NOTRUN);
    g_assert_cmpint(job->request.answer.cause, ==, CBW_CAUSE_BUSY);
    Job_Free(job);
    memset(&local.settings.regions, 0, sizeof(local.settings.regions));
    close(listener);
}

void
Suite_AddPeerCalls(void)
{
    g_test_add_func("/peer-calls/failures", test_failures);
    g_test_add_func("/peer-calls/rejected-by-dispatcher",
                    test_rejected_by_dispatcher);
}
