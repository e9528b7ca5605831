/* The endpoint driver's connections by workspace, against a server on
 * loopback. */
#include <ev.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "carobwind/plugin.h"
#include "carobwindd/drivers.h"
#include "endpoint_server.h"
#include "suites.h"

#define STATEMENTS_MAX 8
/* Of the endpoint: one connection for statements of one owner, and 3 for
 * control calls. */
#define ALLOWANCE 4
#define LIMIT 4

typedef struct {
    endpoint_server_t base;
    /* Of the connections, as named at STARTUP. */
    char workspaces[EndpointServer_CONNECTIONS_MAX][Cbw_NAME_MAX];
    bool refuses; /* new connections */
    /* Sent instead of the replies to a message that is not a STARTUP; NULL:
     * success. */
    const char *reply;
    /* Statements that arrived on a connection of another workspace. */
    int misplaced;
    /* The answer to statements; NULL: one without rows. Its first bytes arrive
     * before the rest. */
    const char *answer;
    size_t answer_size;
    size_t first_size;
} server_t;

static struct ev_loop *loop;
static int replies;
static void (*after_reply)(void); /* NULL: nothing */
static cbw_reply_status_t last_status;
static cbw_position_t last_position;
static GString *last_result;

static void
on_reply(void *context, uint64_t id, const cbw_reply_t *reply)
{
    (void)context;
    (void)id;
    replies++;
    last_status = reply->status;
    last_position =
        (cbw_position_t){reply->state.last_term, reply->state.position};
    if (last_result != NULL) {
        g_string_truncate(last_result, 0);
        g_string_append_len(last_result, reply->result,
                            (gssize)reply->result_size);
    }
    if (after_reply != NULL) {
        after_reply();
    }
}

static void
send_bytes(int fd, const char *bytes, size_t size)
{
    g_assert_cmpint(write(fd, bytes, size), ==, (int)size);
}

static void
send_answer(const server_t *server, int fd)
{
    send_bytes(fd, server->answer, server->first_size);
    ev_run(loop, EVRUN_NOWAIT);
    if (server->first_size < server->answer_size) {
        send_bytes(fd, server->answer + server->first_size,
                   server->answer_size - server->first_size);
    }
}

static void
answer(void *context, int index)
{
    server_t *server = context;
    int fd = server->base.fds[index];
    char text[1024];
    char name[64];
    const char *reply = "COMPLETE -\r\nREADY I 1.1\r\n";
    ssize_t size = read(fd, text, sizeof(text) - 1);

    if (size <= 0) {
        return;
    }
    text[size] = '\0';
    if (sscanf(text, "STARTUP db %63s", name) == 1) {
        reply = server->refuses ? "ERROR TOOMANYCON none left\r\n"
                                : "READY I -\r\n";
        g_strlcpy(server->workspaces[index], name, Cbw_NAME_MAX);
    }
    else if (server->reply != NULL) {
        reply = server->reply;
    }
    else if (strstr(text, server->workspaces[index]) == NULL) {
        server->misplaced++;
    }
    else if (server->answer != NULL) {
        send_answer(server, fd);
        return;
    }
    send_bytes(fd, reply, strlen(reply));
}

/* Sends a statement that names its workspace. */
static void
run_statement(server_t *server, const endpoint_driver_t *driver,
              endpoint_link_t *endpoint_link, const char *workspace)
{
    /* The name of connections without a workspace at STARTUP. */
    const char *text = workspace[0] != '\0' ? workspace : "carobwind";
    const cbw_call_t call = {.id = 1,
                             .verb = CBW_CALL_RUN,
                             .key = "",
                             .statement = text,
                             .statement_size = strlen(text),
                             .trace = "t",
                             .workspace = workspace,
                             .values = "",
                             .shape = ""};

    replies = 0;
    g_assert_true(driver->call(endpoint_link, &call));
    EndpointServer_Serve(&server->base, &replies);
}

typedef struct {
    const char *name;
    const char *workspaces[STATEMENTS_MAX]; /* of statements in their order */
    int refused_from; /* the server refuses from this one on; 0: never */
    int opened;
    uint64_t opened_for;
    uint64_t closed_for;
    int connections; /* in the end */
} driver_case_t;

static const driver_case_t driver_cases[] = {
    {.name = "without workspaces",
     .workspaces = {"", "", "", ""},
     .opened = 1,
     .connections = 1},
    {.name = "one connection for each",
     .workspaces = {"a", "b", "a", "b", "a"},
     .opened = 2,
     .opened_for = 1,
     .connections = 2},
    {.name = "public routes beside",
     .workspaces = {"", "a", "", "a"},
     .opened = 2,
     .opened_for = 1,
     .connections = 2},
    {.name = "more workspaces than connections",
     .workspaces = {"a", "b", "c", "d", "e", "f"},
     .opened = 6,
     .opened_for = 5,
     .closed_for = 2,
     .connections = LIMIT},
    {.name = "refused: none beyond those that there are",
     .workspaces = {"a", "b", "c", "d"},
     .refused_from = 2,
     .opened = 4,
     .opened_for = 3,
     .closed_for = 1,
     .connections = 1},
};

/* Opens the driver's connections to a new server. */
static endpoint_link_t *
open_link(server_t *server, const endpoint_driver_t *driver, daemon_t *daemon)
{
    static const endpoint_server_ops_t ops = {.on_poll = answer};
    static const endpoint_events_t events = {.on_reply = on_reply};

    server->base.loop = loop;
    server->base.ops = &ops;
    server->base.context = server;
    server->base.endpoint.connections = ALLOWANCE;
    return EndpointServer_Open(&server->base, driver, daemon, 2 * LIMIT,
                               &events);
}

static void
check_driver(const driver_case_t *item)
{
    const endpoint_driver_t *driver =
        CbwPlugin_Find(CBW_PLUGIN_ENDPOINT_DRIVER, "wire");
    daemon_t *daemon = g_new0(daemon_t, 1);
    server_t server = {.refuses = false};
    endpoint_link_t *endpoint_link = open_link(&server, driver, daemon);

    for (int i = 0; i < STATEMENTS_MAX && item->workspaces[i] != NULL; i++) {
        server.refuses = item->refused_from != 0 && i >= item->refused_from;
        run_statement(&server, driver, endpoint_link, item->workspaces[i]);
        g_assert_cmpint(last_status, ==,
                        server.refuses ? CBW_REPLY_BUSY : CBW_REPLY_OK);
        g_assert_true(
            server.refuses ==
            !driver->has_idle_connection(endpoint_link, item->workspaces[i]));
    }
    g_test_message("%s", item->name);
    g_assert_cmpint(server.base.count, ==, item->opened);
    g_assert_cmpint(server.misplaced, ==, 0);
    g_assert_cmpint(driver->count_connections(endpoint_link), ==,
                    item->connections);
    g_assert_cmpuint(
        daemon->counters.values[CBW_COUNTER_CONNECTIONS_OPENED_FOR_WORKSPACE],
        ==, item->opened_for);
    g_assert_cmpuint(
        daemon->counters.values[CBW_COUNTER_CONNECTIONS_CLOSED_FOR_WORKSPACE],
        ==, item->closed_for);
    EndpointServer_Close(&server.base, driver, endpoint_link);
    g_free(daemon);
}

/* A connection carries statements of its workspace only; the limit holds, also
 * after a refusal; without workspaces there is one. */
static void
test_driver(void)
{
    loop = ev_loop_new(0);
    for (size_t i = 0; i < G_N_ELEMENTS(driver_cases); i++) {
        check_driver(&driver_cases[i]);
    }
    ev_loop_destroy(loop);
}

#define ANSWER_END "COMPLETE 7.1f\r\nREADY I 3.9\r\n"
#define TEXT(text) text, sizeof(text) - 1

typedef struct {
    const char *name;
    const char *rows;
    size_t size;
    bool lost; /* the driver closes the connection */
} answer_case_t;

static const answer_case_t answer_cases[] = {
    {"no rows", TEXT(""), false},
    {"blanks at the end", TEXT("DATAROW v  \r\nDATAROW \r\n"), false},
    {"carriage returns", TEXT("DATAROW \rv\r\r\r\n"), false},
    {"line feeds", TEXT("DATAROW \nv\n\r\n"), false},
    {"the end of an answer", TEXT("DATAROW v\nREADY I 9.9\n\r\n"), false},
    {"an error", TEXT("DATAROW v\nERROR BUSY x\r\n"), false},
    {"words of the protocol", TEXT("DATAROW READY I 9.9\r\nDATAROW ERROR\r\n"),
     false},
    {"control and other bytes",
     TEXT("DATAROW \x01\x08\t\x0b\x1f\x7f\x80\xc3\xa9\xff\r\n"), false},
    {"NUL", TEXT("DATAROW a\0b\r\n"), true},
};

/* Has the server answer a statement with the case's rows, of which the first
 * bytes arrive separately, and a statement after it. */
static void
check_answer(const answer_case_t *item, size_t first_size)
{
    const endpoint_driver_t *driver =
        CbwPlugin_Find(CBW_PLUGIN_ENDPOINT_DRIVER, "wire");
    daemon_t *daemon = g_new0(daemon_t, 1);
    GString *answer = g_string_new_len(item->rows, (gssize)item->size);
    server_t server = {.refuses = false};
    endpoint_link_t *endpoint_link;

    g_string_append(answer, ANSWER_END);
    server.answer = answer->str;
    server.answer_size = answer->len;
    server.first_size = MIN(first_size, answer->len);
    endpoint_link = open_link(&server, driver, daemon);
    for (int i = 0; i < 2; i++) {
        run_statement(&server, driver, endpoint_link, "");
        g_assert_cmpint(last_status, ==,
                        item->lost ? CBW_REPLY_LOST : CBW_REPLY_OK);
        if (!item->lost) {
            g_assert_cmpuint(last_position.term, ==, 3);
            g_assert_cmpuint(last_position.index, ==, 9);
            g_assert_cmpmem(last_result->str, last_result->len, answer->str,
                            answer->len - strlen("READY I 3.9\r\n"));
        }
    }
    g_assert_cmpint(server.base.count, ==, item->lost ? 2 : 1);
    EndpointServer_Close(&server.base, driver, endpoint_link);
    g_string_free(answer, TRUE);
    g_free(daemon);
}

/* Guards against a row whose data resembles the protocol and ends the answer,
 * and against changes of an answer that arrives in parts. */
static void
test_row_ends_answer(void)
{
    loop = ev_loop_new(0);
    last_result = g_string_new(NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(answer_cases); i++) {
        size_t size = answer_cases[i].size + strlen(ANSWER_END);
        g_test_message("%s", answer_cases[i].name);
        /* An answer that closes the connection is sent in one part. */
        for (size_t first = answer_cases[i].lost ? size : 1; first <= size;
             first++) {
            check_answer(&answer_cases[i], first);
        }
    }
    g_string_free(last_result, TRUE);
    last_result = NULL;
    ev_loop_destroy(loop);
}

static const endpoint_driver_t *next_driver;
static endpoint_link_t *next_link;

static void
send_next(void)
{
    const cbw_call_t call = {.id = 2,
                             .verb = CBW_CALL_RUN,
                             .key = "",
                             .statement = "carobwind",
                             .statement_size = strlen("carobwind"),
                             .trace = "next",
                             .workspace = "",
                             .values = "",
                             .shape = ""};

    after_reply = NULL;
    g_assert_true(next_driver->call(next_link, &call));
}

/* Guards against taking bytes after an answer for the answer to the next
 * statement, which has not run yet. */
static void
test_next_statement_gets_rest(void)
{
    daemon_t *daemon = g_new0(daemon_t, 1);
    server_t server = {.refuses = false};

    loop = ev_loop_new(0);
    next_driver = CbwPlugin_Find(CBW_PLUGIN_ENDPOINT_DRIVER, "wire");
    server.answer = ANSWER_END ANSWER_END;
    server.answer_size = strlen(server.answer);
    server.first_size = server.answer_size;
    next_link = open_link(&server, next_driver, daemon);
    after_reply = send_next;
    run_statement(&server, next_driver, next_link, "");
    g_assert_cmpint(last_status, ==, CBW_REPLY_OK);
    replies = 0;
    EndpointServer_Serve(&server.base, &replies);
    g_assert_cmpint(server.base.count, ==, 2); /* on another connection */
    EndpointServer_Close(&server.base, next_driver, next_link);
    g_free(daemon);
    ev_loop_destroy(loop);
}

/* Guards against a name of a database or an endpoint that is sent as a
 * separate message. */
static void
test_name_is_message(void)
{
    static const char *const names[][2] = {
        {"db\r\nQUERY - STEPDOWN 9", "ep1"},
        {"db x", "ep1"},
        {"db", "ep1\nQUERY - STEPDOWN 9"},
    };
    static const endpoint_events_t events = {.on_reply = on_reply};
    const cbw_call_t call = {.id = 1, .verb = CBW_CALL_STATE, .key = ""};
    const endpoint_driver_t *driver =
        CbwPlugin_Find(CBW_PLUGIN_ENDPOINT_DRIVER, "wire");
    daemon_t *daemon = g_new0(daemon_t, 1);

    loop = ev_loop_new(0);
    daemon->loop = loop;
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        cbw_endpoint_t endpoint = {.address = "127.0.0.1:1"};
        endpoint_link_t *endpoint_link;
        bool sent;

        g_strlcpy(endpoint.name, names[i][1], sizeof(endpoint.name));
        endpoint_link =
            driver->open(daemon, names[i][0], &endpoint, LIMIT, &events, NULL);
        sent = driver->call(endpoint_link, &call);
        g_assert_false(sent);
        driver->close(endpoint_link);
    }
    ev_run(loop, EVRUN_NOWAIT);
    g_free(daemon);
    ev_loop_destroy(loop);
}

#define OK "COMPLETE -\r\nREADY I 1.1\r\n"
#define FAIL(code) "ERROR " code " ep1\r\nREADY I 1.1\r\n"

/* A prepared statement is executed until it is done twice, without a setup the
 * second time. */
typedef struct {
    const char *name;
    const char *replies[4]; /* to each try, to its setup first */
    cbw_reply_status_t status[4];
    int opened; /* connections, in the end */
} session_case_t;

static const session_case_t session_cases[] = {
    {"done", {OK OK, OK}, {CBW_REPLY_OK, CBW_REPLY_OK}, 1},
    {"busy",
     {OK OK, FAIL("BUSY"), OK},
     {CBW_REPLY_OK, CBW_REPLY_BUSY, CBW_REPLY_OK},
     1},
    /* Replaced, as later statements would fail likewise. */
    {"name unknown",
     {OK OK, FAIL("NOSTMT"), OK OK, OK},
     {CBW_REPLY_OK, CBW_REPLY_BUSY, CBW_REPLY_OK, CBW_REPLY_OK},
     2},
    {"PREPARE refused",
     {FAIL("BUSY") FAIL("NOSTMT"), OK OK, OK},
     {CBW_REPLY_LOST, CBW_REPLY_OK, CBW_REPLY_OK},
     2},
};

/* A connection whose endpoint lacks a statement that the driver considers
 * prepared must not be used again. */
static void
test_unknown_statement(void)
{
    const endpoint_driver_t *driver =
        CbwPlugin_Find(CBW_PLUGIN_ENDPOINT_DRIVER, "wire");
    const cbw_call_t call = {.id = 1,
                             .verb = CBW_CALL_RUN,
                             .key = "",
                             .statement = "k",
                             .statement_size = 1,
                             .trace = "t",
                             .workspace = "",
                             .values = "",
                             .shape = "READ q"};

    loop = ev_loop_new(0);
    for (size_t i = 0; i < G_N_ELEMENTS(session_cases); i++) {
        const session_case_t *item = &session_cases[i];
        daemon_t *daemon = g_new0(daemon_t, 1);
        server_t server = {.refuses = false};
        endpoint_link_t *endpoint_link = open_link(&server, driver, daemon);
        g_test_message("%s", item->name);
        for (int j = 0; j < 4 && item->replies[j] != NULL; j++) {
            server.reply = item->replies[j];
            replies = 0;
            g_assert_true(driver->call(endpoint_link, &call));
            EndpointServer_Serve(&server.base, &replies);
            g_assert_cmpint(last_status, ==, item->status[j]);
        }
        g_assert_cmpint(server.base.count, ==, item->opened);
        EndpointServer_Close(&server.base, driver, endpoint_link);
        g_free(daemon);
    }
    ev_loop_destroy(loop);
}

void
Suite_AddConnectionDriver(void)
{
    g_test_add_func("/connection-driver/name-is-message",
                    test_name_is_message);
    g_test_add_func("/connection-driver/next-statement-gets-rest",
                    test_next_statement_gets_rest);
    g_test_add_func("/connection-driver/row-ends-answer",
                    test_row_ends_answer);
    g_test_add_func("/connection-driver/unknown-statement",
                    test_unknown_statement);
    g_test_add_func("/connection-driver/workspaces", test_driver);
}
