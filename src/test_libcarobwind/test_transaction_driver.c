/* The endpoint driver's connections and transactions, against an endpoint on
 * loopback that tracks in which transaction each statement runs. */
#include <ev.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "carobwind/plugin.h"
#include "carobwindd/drivers.h"
#include "endpoint_server.h"
#include "suites.h"

#define CONNECTIONS_MAX 8
#define STEPS_MAX 8

/* How the endpoint deviates from the protocol, or its state from what the
 * driver assumes. */
typedef enum {
    CONFORMS,
    IGNORES_BEGIN,        /* answers BEGIN with COMPLETE and state I */
    ENDS_AFTER_FIRST,     /* the second statement runs outside */
    STAYS_OPEN_AFTER_END, /* COMMIT and ROLLBACK leave the transaction */
    OPENS_BY_ITSELF,      /* a statement on its own leaves state T */
    FAILS_IN_OPEN_STATE,  /* refuses a statement on its own in state T */
} behaviour_t;

typedef struct {
    int fd;
    GString *input;
    bool open;      /* a transaction is open */
    char owner;     /* client whose transaction it is; 0: not yet known */
    int statements; /* since the transaction began */
} server_connection_t;

typedef struct {
    endpoint_server_t base;
    behaviour_t behaviour;
    server_connection_t connections[CONNECTIONS_MAX];
    int in_foreign; /* statements in the transaction of another client */
    int outside;    /* statements of a transaction that ran on their own */
} server_t;

static struct ev_loop *loop;
static int replies;
static cbw_reply_status_t last_status;

static void
on_reply(void *context, uint64_t id, const cbw_reply_t *reply)
{
    (void)context;
    (void)id;
    replies++;
    last_status = reply->status;
}

static void
begin(server_t *server, server_connection_t *connection)
{
    server->in_foreign += connection->open;
    connection->open = server->behaviour != IGNORES_BEGIN;
    connection->owner = 0;
    connection->statements = 0;
}

/* Runs a statement of the client that the first letter of `trace` names. A
 * capital letter: it belongs to a transaction. Returns the reply. */
static const char *
run(server_t *server, server_connection_t *connection, const char *trace)
{
    if (server->behaviour == ENDS_AFTER_FIRST && connection->statements == 1) {
        connection->open = false;
    }
    if (server->behaviour == OPENS_BY_ITSELF ||
        server->behaviour == FAILS_IN_OPEN_STATE) {
        connection->open = true;
    }
    if (connection->open && connection->owner == 0) {
        connection->owner = trace[0];
    }
    server->in_foreign += connection->open && connection->owner != trace[0];
    server->outside += !connection->open && g_ascii_isupper(trace[0]);
    connection->statements++;
    return server->behaviour == FAILS_IN_OPEN_STATE ? "ERROR BUSY now"
                                                    : "COMPLETE 1.1";
}

static void
answer_line(server_t *server, server_connection_t *connection,
            const char *line)
{
    const char *reply = "COMPLETE -";
    char trace[64] = "";
    char verb[64] = "";
    char text[256];

    if (strncmp(line, "STARTUP ", 8) == 0) {
        g_assert_cmpint(write(connection->fd, "READY I -\r\n", 11), ==, 11);
        return;
    }
    g_assert_cmpint(sscanf(line, "QUERY %63s %63s", trace, verb), ==, 2);
    if (strcmp(verb, "BEGIN") == 0) {
        begin(server, connection);
    }
    else if (strcmp(verb, "COMMIT") == 0 || strcmp(verb, "ROLLBACK") == 0) {
        connection->open = server->behaviour == STAYS_OPEN_AFTER_END;
    }
    else if (strcmp(verb, "SET") != 0 && strcmp(verb, "DISCARD") != 0) {
        reply = run(server, connection, trace);
    }
    else if (server->behaviour == ENDS_AFTER_FIRST &&
             connection->statements == 1) {
        connection->open = false;
    }
    snprintf(text, sizeof(text), "%s\r\nREADY %c 1.1\r\n", reply,
             connection->open ? 'T' : 'I');
    g_assert_cmpint(write(connection->fd, text, strlen(text)), ==,
                    (int)strlen(text));
}

static void
on_accept(void *context, int index)
{
    server_t *server = context;

    g_assert_cmpint(index, <, CONNECTIONS_MAX);
    server->connections[index] = (server_connection_t){
        .fd = server->base.fds[index], .input = g_string_new(NULL)};
}

static void
read_connection(void *context, int index)
{
    server_t *server = context;
    server_connection_t *connection = &server->connections[index];
    char bytes[1024];
    ssize_t size = read(connection->fd, bytes, sizeof(bytes));
    char *end;

    if (size <= 0) {
        return;
    }
    g_string_append_len(connection->input, bytes, size);
    while ((end = strstr(connection->input->str, "\r\n")) != NULL) {
        *end = '\0';
        answer_line(server, connection, connection->input->str);
        g_string_erase(connection->input, 0, end + 2 - connection->input->str);
    }
}

/* A call of the pool. */
typedef struct {
    cbw_call_verb_t verb;
    const char *trace;    /* see `run`; NULL: none, `end` is called */
    uint64_t transaction; /* 0: none */
    bool begins;
    const char *values;        /* NULL: none */
    cbw_reply_status_t status; /* expected */
    /* Afterwards the pool ends the transaction: it has committed or rolled
     * back (clean), or a statement has failed. */
    bool ends;
    bool clean;
} step_t;

typedef struct {
    const char *name;
    behaviour_t behaviour;
    step_t steps[STEPS_MAX];
    int outside;
    int idle; /* whether an idle connection is left */
} transaction_case_t;

static void
run_step(server_t *server, const endpoint_driver_t *driver,
         endpoint_link_t *endpoint_link, const step_t *step)
{
    const char *text = step->verb == CBW_CALL_COMMIT     ? "COMMIT"
                       : step->verb == CBW_CALL_ROLLBACK ? "ROLLBACK"
                                                         : "WRITE k v";
    const cbw_call_t call = {.id = 1,
                             .verb = step->verb,
                             .writes = true,
                             .key = "",
                             .statement = text,
                             .statement_size = strlen(text),
                             .trace = step->trace,
                             .transaction = step->transaction,
                             .begins = step->begins,
                             .values =
                                 step->values != NULL ? step->values : "",
                             .shape = ""};

    replies = 0;
    ev_now_update(loop); /* the driver's timers start from its time */
    g_assert_true(driver->call(endpoint_link, &call));
    EndpointServer_Serve(&server->base, &replies);
    g_assert_cmpint(last_status, ==, step->status);
    if (step->ends) {
        driver->end_transaction(endpoint_link, step->transaction, step->clean);
    }
}

static void
check_transaction(const transaction_case_t *item)
{
    static const endpoint_server_ops_t ops = {on_accept, read_connection};
    static const endpoint_events_t events = {.on_reply = on_reply};
    const endpoint_driver_t *driver =
        CbwPlugin_Find(CBW_PLUGIN_ENDPOINT_DRIVER, "wire");
    daemon_t *daemon = g_new0(daemon_t, 1);
    server_t server = {
        .base = {.loop = loop,
                 .ops = &ops,
                 .context = &server,
                 .endpoint = {.connections = 40}},
        .behaviour = item->behaviour,
    };
    endpoint_link_t *endpoint_link;

    g_test_message("%s", item->name);
    endpoint_link =
        EndpointServer_Open(&server.base, driver, daemon, 8, &events);
    for (int i = 0; i < STEPS_MAX && item->steps[i].trace != NULL; i++) {
        run_step(&server, driver, endpoint_link, &item->steps[i]);
    }
    g_assert_cmpint(server.in_foreign, ==, 0);
    g_assert_cmpint(server.outside, ==, item->outside);
    g_assert_cmpint(driver->has_idle_connection(endpoint_link, ""), ==,
                    item->idle);
    EndpointServer_Close(&server.base, driver, endpoint_link);
    for (int i = 0; i < server.base.count; i++) {
        g_string_free(server.connections[i].input, TRUE);
    }
    g_free(daemon);
}

/* Guards against a statement that runs in the transaction of another client:
 * when a request has begun two transactions, the pool ends one, and the driver
 * would consider the other's connection idle. */
static void
test_begun_twice(void)
{
    static const cbw_call_verb_t ends[] = {CBW_CALL_COMMIT, CBW_CALL_ROLLBACK};

    for (size_t i = 0; i < G_N_ELEMENTS(ends); i++) {
        const transaction_case_t item = {
            .name = "begun twice",
            .steps = {{.trace = "A", .transaction = 7, .begins = true},
                      {.trace = "A", .transaction = 7, .begins = true},
                      {.verb = ends[i],
                       .trace = "A",
                       .transaction = 7,
                       .ends = true,
                       .clean = true},
                      {.trace = "B", .transaction = 8, .begins = true},
                      {.trace = "c"},
                      {.trace = "B", .transaction = 8}},
            .idle = true};
        check_transaction(&item);
    }
}

/* Guards against a statement that runs outside its transaction, or in an
 * unknown one, and is reported as done, and against reusing its connection. */
static void
test_other_state(void)
{
    static const transaction_case_t cases[] = {
        {.name = "conforming endpoint",
         .steps = {{.trace = "A", .transaction = 7, .begins = true},
                   {.trace = "A", .transaction = 7, .values = "zone north\n"},
                   {.verb = CBW_CALL_COMMIT,
                    .trace = "A",
                    .transaction = 7,
                    .ends = true,
                    .clean = true},
                   {.trace = "b"}},
         .idle = true},
        {.name = "begun and committed at once",
         .steps = {{.verb = CBW_CALL_COMMIT,
                    .trace = "A",
                    .transaction = 7,
                    .begins = true,
                    .ends = true,
                    .clean = true}},
         .idle = true},
        {.name = "BEGIN has no effect",
         .behaviour = IGNORES_BEGIN,
         .steps = {{.trace = "A",
                    .transaction = 7,
                    .begins = true,
                    .status = CBW_REPLY_NO_CONNECTION,
                    .ends = true}}},
        {.name = "the transaction has ended",
         .behaviour = ENDS_AFTER_FIRST,
         .steps = {{.trace = "A", .transaction = 7, .begins = true},
                   {.trace = "A",
                    .transaction = 7,
                    .status = CBW_REPLY_MISPLACED,
                    .ends = true}},
         .outside = 1},
        {.name = "the transaction has ended, new values",
         .behaviour = ENDS_AFTER_FIRST,
         .steps = {{.trace = "A", .transaction = 7, .begins = true},
                   {.trace = "A",
                    .transaction = 7,
                    .values = "zone north\n",
                    .status = CBW_REPLY_MISPLACED,
                    .ends = true}},
         .outside = 1},
        {.name = "COMMIT leaves it open",
         .behaviour = STAYS_OPEN_AFTER_END,
         .steps = {{.trace = "A", .transaction = 7, .begins = true},
                   {.verb = CBW_CALL_COMMIT,
                    .trace = "A",
                    .transaction = 7,
                    .status = CBW_REPLY_MISPLACED,
                    .ends = true},
                   {.trace = "b"}},
         .idle = true},
        {.name = "on its own, in an open transaction",
         .behaviour = OPENS_BY_ITSELF,
         .steps = {{.trace = "b", .status = CBW_REPLY_MISPLACED}}},
        {.name = "refused in an open transaction",
         .behaviour = FAILS_IN_OPEN_STATE,
         .steps = {{.trace = "b", .status = CBW_REPLY_BUSY}}},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        check_transaction(&cases[i]);
    }
}

void
Suite_AddTransactionDriver(void)
{
    loop = ev_loop_new(0);
    g_test_add_func("/transaction-driver/begun-twice", test_begun_twice);
    g_test_add_func("/transaction-driver/other-state", test_other_state);
}
