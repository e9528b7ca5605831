/* The path of a statement from the bytes that a caller sends to those that an
 * endpoint receives, without sockets: caller driver, session, endpoint driver.
 * A message ends at CR LF; all other bytes except NUL belong to it. A text
 * with a line feed is not sent to endpoints, as some end a message there. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "carobwind/plugin.h"
#include "carobwind/random.h"
#include "carobwind/session.h"
#include "carobwindd/drivers.h"
#include "platform/backend_text.h"
#include "suites.h"

#define RANDOM_ROUNDS 20000
#define RANDOM_TEXT_MAX 12

/* What an endpoint has received on one connection. */
typedef struct {
    GHashTable *values;   /* session values by name */
    GHashTable *prepared; /* shapes by name */
    char *statement;      /* the latest; of EXECUTE, the text after the name */
    char *shape;          /* of the latest; "" unless EXECUTE */
    int statements;       /* of callers */
} received_t;

typedef struct {
    cbw_session_t session;
    backend_session_t backend;
    received_t received;
} path_t;

static void
init_path(path_t *path)
{
    memset(path, 0, sizeof(*path));
    CbwSession_Init(&path->session);
    Backend_InitSession(&path->backend);
    path->received.values =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    path->received.prepared =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void
finish_path(path_t *path)
{
    CbwSession_Finish(&path->session);
    Backend_FinishSession(&path->backend);
    g_hash_table_unref(path->received.values);
    g_hash_table_unref(path->received.prepared);
    g_free(path->received.statement);
    g_free(path->received.shape);
}

/* Replaces the first blank by a NUL and returns the text after it; returns the
 * end of the text if there is none. */
static char *
split_word(char *text)
{
    char *blank = strchr(text, ' ');

    if (blank == NULL) {
        return text + strlen(text);
    }
    *blank = '\0';
    return blank + 1;
}

static void
receive_statement(received_t *received, char *text)
{
    char *rest;

    received->statements++;
    g_free(received->statement);
    g_free(received->shape);
    if (!g_str_has_prefix(text, "EXECUTE ")) {
        received->statement = g_strdup(text);
        received->shape = g_strdup("");
        return;
    }
    text += strlen("EXECUTE ");
    rest = split_word(text);
    received->statement = g_strdup(rest);
    received->shape = g_strdup(g_hash_table_lookup(received->prepared, text));
}

static void
receive_message(received_t *received, char *line)
{
    char *id = split_word(line);
    char *text = split_word(id);
    char *rest;

    g_assert_cmpstr(line, ==, "QUERY");
    if (strcmp(id, "-") != 0) {
        receive_statement(received, text);
        return;
    }
    rest = split_word(text);
    if (strcmp(text, "DISCARD") == 0) {
        g_hash_table_remove_all(received->values);
        g_hash_table_remove_all(received->prepared);
    }
    else if (strcmp(text, "SET") == 0 || strcmp(text, "PREPARE") == 0) {
        char *value = split_word(rest);
        g_hash_table_insert(text[0] == 'S' ? received->values
                                           : received->prepared,
                            g_strdup(rest), g_strdup(value));
    }
}

static void
receive(received_t *received, const GString *bytes)
{
    char *line = bytes->str;
    char *end;

    while ((end = strstr(line, "\r\n")) != NULL) {
        *end = '\0';
        receive_message(received, line);
        line = end + 2;
    }
    g_assert_cmpstr(line, ==, "");
}

static void
forward(path_t *path, const cbw_request_t *request)
{
    const cbw_call_t call = {
        .verb = CBW_CALL_RUN,
        .trace = request->trace,
        .statement = request->statement,
        .statement_size = request->statement_size,
        .values = request->values != NULL ? request->values : "",
        .shape = request->shape != NULL ? request->shape : "",
    };
    GString *setup = g_string_new(NULL);
    GString *statement = g_string_new(NULL);
    bool can_carry = Backend_CanCarry(request);

    g_assert_true(can_carry);
    Backend_FormatCall(&path->backend, &call, false, setup, statement);
    g_string_append_len(setup, statement->str, (gssize)statement->len);
    receive(&path->received, setup);
    g_string_free(setup, TRUE);
    g_string_free(statement, TRUE);
}

typedef enum {
    MISREAD, /* not decoded as one statement */
    REFUSED,
    ACCEPTED,
} sent_t;

/* Sends a statement with the id "a". */
static sent_t
send_statement(path_t *path, const char *text)
{
    const caller_driver_t *driver =
        CbwPlugin_Find(CBW_PLUGIN_CALLER_DRIVER, "wire");
    char *bytes = g_strdup_printf("QUERY a %s\r\n", text);
    size_t size = strlen(bytes);
    char *copy = g_malloc(size + 1);
    caller_message_t message;
    cbw_request_t request;
    cbw_plan_t plan = {.action = CBW_PLAN_ERROR};
    bool whole = driver->message_size(bytes, size - 1) == 0 &&
                 driver->message_size(bytes, size) == (ssize_t)size;

    CbwRequest_Init(&request);
    if (whole) {
        driver->decode(bytes, size, copy, &message);
        whole = message.type == CALLER_MESSAGE_STATEMENT;
    }
    if (whole) {
        snprintf(request.trace, sizeof(request.trace), "%s",
                 message.statement.id);
        CbwSession_Plan(&path->session, &message.statement, 1, &request,
                        &plan);
    }
    if (plan.action == CBW_PLAN_FORWARD) {
        forward(path, &request);
    }
    CbwRequest_Finish(&request);
    g_free(bytes);
    g_free(copy);
    return !whole                          ? MISREAD
           : plan.action == CBW_PLAN_ERROR ? REFUSED
                                           : ACCEPTED;
}

/* Texts that end or continue in unusual ways. */
static const char *const odd_texts[] = {
    "v",
    "v ",
    "v  ",
    " v",
    "a  b",
    "\tv\t",
    "v\r",
    "v\r\r",
    "v \r",
    "\r",
    "v\n",
    "v\n\n",
    "v\n\r",
    "\nv",
    "\n v",
    "a\nb",
    "a\n b\n\n c",
    "a\rb",
    "x\nQUERY nobody WRITE k v",
    "x\nn2 y",
    "x\\nn2 y",
    "\xc3\xa9\xff",
};

/* Where the text of a case stands: %s in one of these statements. */
typedef struct {
    const char *name;
    const char *setup[2]; /* statements before; NULL: none */
    const char *statement;
    const char *received; /* by the endpoint */
    const char *shape;    /* that it executes */
    const char *value;    /* of the session values v1 and v2; NULL: not set */
} position_t;

enum {
    POSITION_STATEMENT,
    POSITION_READ,
    POSITION_EXECUTE,
    POSITION_SHAPE,
    POSITION_VALUES,
    POSITION_COUNT,
};

static const position_t positions[POSITION_COUNT] = {
    {"statement", {NULL}, "WRITE k %s", "WRITE k %s", "", NULL},
    {"read", {NULL}, "READ %s", "READ %s", "", NULL},
    {"execute",
     {"PREPARE s1 WRITE q1"},
     "EXECUTE s1 k %s",
     "k %s",
     "WRITE q1",
     NULL},
    {"shape",
     {"PREPARE s1 WRITE %s"},
     "EXECUTE s1 k v",
     "k v",
     "WRITE %s",
     NULL},
    {"values", {"SET v1 %s", "SET v2 %s"}, "READ k", "READ k", "", "%s"},
};

/* Replaces %s. The caller frees the result. */
static char *
insert_text(const char *pattern, const char *text)
{
    const char *place = strstr(pattern, "%s");

    if (place == NULL) {
        return g_strdup(pattern);
    }
    return g_strdup_printf("%.*s%s%s", (int)(place - pattern), pattern, text,
                           place + 2);
}

static bool
is_received(const path_t *path, const position_t *position, const char *text)
{
    char *received = insert_text(position->received, text);
    char *shape = insert_text(position->shape, text);
    bool same = path->received.statements == 1 &&
                g_strcmp0(path->received.statement, received) == 0 &&
                g_strcmp0(path->received.shape, shape) == 0;

    if (position->value != NULL) {
        same = same && g_hash_table_size(path->received.values) == 2 &&
               g_strcmp0(g_hash_table_lookup(path->received.values, "v1"),
                         text) == 0 &&
               g_strcmp0(g_hash_table_lookup(path->received.values, "v2"),
                         text) == 0;
    }
    g_free(received);
    g_free(shape);
    return same;
}

/* Returns whether the statements that hold the text are refused, and nothing
 * of them reaches the endpoint. */
static bool
is_refused(const position_t *position, const char *text)
{
    const char *const patterns[] = {position->setup[0], position->setup[1],
                                    position->statement};
    path_t path;
    bool refused = true;

    init_path(&path);
    for (size_t i = 0; i < G_N_ELEMENTS(patterns); i++) {
        char *statement;
        if (patterns[i] == NULL || strstr(patterns[i], "%s") == NULL) {
            continue;
        }
        statement = insert_text(patterns[i], text);
        refused = refused && send_statement(&path, statement) == REFUSED;
        g_free(statement);
    }
    refused = refused && path.received.statements == 0 &&
              g_hash_table_size(path.received.values) == 0 &&
              g_hash_table_size(path.received.prepared) == 0;
    finish_path(&path);
    return refused;
}

/* Returns whether the endpoint receives exactly what the caller sends. */
static bool
is_unchanged(const position_t *position, const char *text)
{
    path_t path;
    bool accepted = true;
    char *statement;

    init_path(&path);
    for (int i = 0; i < 2 && position->setup[i] != NULL; i++) {
        statement = insert_text(position->setup[i], text);
        accepted = accepted && send_statement(&path, statement) == ACCEPTED;
        g_free(statement);
    }
    statement = insert_text(position->statement, text);
    accepted = accepted && send_statement(&path, statement) == ACCEPTED;
    g_free(statement);
    accepted = accepted && is_received(&path, position, text);
    finish_path(&path);
    return accepted;
}

static void
check_text(const position_t *position, const char *text)
{
    bool has_line_feed = strchr(text, '\n') != NULL;

    if (has_line_feed ? !is_refused(position, text)
                      : !is_unchanged(position, text)) {
        char *shown = g_strescape(text, NULL);
        g_test_message("%s: \"%s\" is not %s", position->name, shown,
                       has_line_feed ? "refused" : "received unchanged");
        g_free(shown);
        g_test_fail();
    }
}

/* Guards against the loss of a blank or a carriage return at the end of a
 * text, and against a line feed that ends the message. */
static void
test_text_is_cut(gconstpointer data)
{
    for (size_t i = 0; i < G_N_ELEMENTS(odd_texts); i++) {
        check_text(data, odd_texts[i]);
    }
}

/* The same with random texts. */
static void
test_random_text_is_cut(void)
{
    static const char alphabet[] = {' ', '\t', '\r', '\n', 'a', '-', '\\'};
    cbw_random_t random;

    CbwRandom_Init(&random, 42);
    for (int i = 0; i < RANDOM_ROUNDS && !g_test_failed(); i++) {
        char text[RANDOM_TEXT_MAX + 1];
        size_t size = 1 + CbwRandom_Below(&random, RANDOM_TEXT_MAX);
        for (size_t j = 0; j < size; j++) {
            text[j] = alphabet[CbwRandom_Below(&random, sizeof(alphabet))];
        }
        text[size] = '\0';
        if (strstr(text, "\r\n") == NULL) {
            check_text(&positions[i % POSITION_COUNT], text);
        }
    }
}

/* Guards against refusing COMMIT with a trailing blank, which the decoder
 * accepts. */
static void
test_commit_is_refused(void)
{
    static const char *const texts[] = {"BEGIN", "WRITE k v", "COMMIT "};
    path_t path;

    init_path(&path);
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        sent_t sent = send_statement(&path, texts[i]);
        g_assert_cmpint(sent, ==, ACCEPTED);
    }
    g_assert_cmpstr(path.received.statement, ==, "COMMIT ");
    finish_path(&path);
}

/* Each byte except NUL and the line feed arrives as it was sent, also at the
 * ends of a text. */
static void
test_byte_is_lost(void)
{
    for (int byte = 1; byte < 256; byte++) {
        char text[] = {(char)byte, 'a', (char)byte, (char)byte, '\0'};
        if (byte == '\n') {
            continue;
        }
        for (size_t i = 0; i < POSITION_COUNT; i++) {
            check_text(&positions[i], text);
        }
    }
}

/* Guards against joined or split messages of one packet, and against the early
 * end of a message that arrives in parts. */
static void
test_messages_are_joined(void)
{
    static const char *const parts[] = {
        "QUERY a WRITE k v\r\r\n", "\r\n",          "QUERY b READ  \n\n\r\n",
        "QUERY c READ \rk \r\n",   "TERMINATE\r\n",
    };
    const caller_driver_t *driver =
        CbwPlugin_Find(CBW_PLUGIN_CALLER_DRIVER, "wire");
    GString *bytes = g_string_new(NULL);
    size_t start = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
        g_string_append(bytes, parts[i]);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
        size_t size = strlen(parts[i]);
        for (size_t length = 1; start + length <= bytes->len; length++) {
            g_assert_cmpint(driver->message_size(bytes->str + start, length),
                            ==, length < size ? 0 : (int)size);
        }
        start += size;
    }
    g_string_free(bytes, TRUE);
}

/* A request from a peer or from a RESP caller. NULL: the default of the test.
 */
typedef struct {
    const char *name;
    cbw_verb_t verb;
    const char *statement;
    size_t nul_at; /* 0: no NUL in the statement */
    const char *shape;
    const char *trace;
    const char *workspace;
    uint64_t transaction;
    bool fits;
} carried_case_t;

static const carried_case_t carried_cases[] = {
    {.name = "read", .statement = "READ k", .fits = true},
    {.name = "write", .statement = "WRITE k v \r", .fits = true},
    {.name = "execute",
     .statement = "k v \r",
     .shape = "WRITE q\r",
     .fits = 1},
    {.name = "commit", CBW_VERB_COMMIT, "COMMIT", .transaction = 1, .fits = 1},
    {.name = "commit and a blank",
     CBW_VERB_COMMIT,
     "COMMIT ",
     .transaction = 1,
     .fits = 1},
    {.name = "rollback", CBW_VERB_ROLLBACK, "", .transaction = 1, .fits = 1},
    {.name = "id with CR",
     .statement = "READ k",
     .trace = "a\r",
     .fits = true},
    {.name = "CR LF", .statement = "READ k\r\nQUERY b WRITE k v"},
    {.name = "LF", .statement = "READ k\nQUERY b WRITE k v"},
    {.name = "NUL", .statement = "READ k v", .nul_at = 6},
    {.name = "id with CR LF",
     .statement = "READ k",
     .trace = "a READ k\r\nQUERY b"},
    {.name = "id with LF", .statement = "READ k", .trace = "a\nb"},
    {.name = "id with a blank", .statement = "READ k", .trace = "a WRITE k v"},
    {.name = "shape with CR LF",
     .statement = "k",
     .shape = "READ q\r\nQUERY b WRITE k v"},
    {.name = "execute without an item", .statement = "", .shape = "READ q"},
    {.name = "invalid shape", .statement = "k", .shape = "q"},
    {.name = "workspace with CR LF",
     .statement = "READ k",
     .workspace = "w\r\nQUERY b WRITE k v"},
    {.name = "workspace with a blank",
     .statement = "READ k",
     .workspace = "w x"},
    {.name = "value on a pooled connection", .statement = "SET a b"},
    {.name = "name on a pooled connection", .statement = "PREPARE p READ q"},
    {.name = "reset unknown to the driver", .statement = "DISCARD"},
    {.name = "control", .statement = "STEPDOWN 9"},
    {.name = "transaction unknown to the driver", .statement = "BEGIN"},
    {.name = "empty", .statement = ""},
    {.name = "text of COMMIT", CBW_VERB_COMMIT, "WRITE k v", .transaction = 1},
    {.name = "rollback of nothing", CBW_VERB_ROLLBACK, ""},
    {.name = "verb for request keys", CBW_VERB_BEGIN, "", .transaction = 1},
};

/* Guards against sending a request whose texts end a message or a field of it.
 */
static void
test_request_holds_messages(void)
{
    const endpoint_driver_t *driver =
        CbwPlugin_Find(CBW_PLUGIN_ENDPOINT_DRIVER, "wire");

    for (size_t i = 0; i < G_N_ELEMENTS(carried_cases); i++) {
        const carried_case_t *item = &carried_cases[i];
        cbw_request_t request;

        CbwRequest_Init(&request);
        request.verb = item->verb;
        CbwRequest_SetStatement(&request, item->statement,
                                strlen(item->statement));
        if (item->nul_at > 0) {
            request.statement[item->nul_at] = '\0';
        }
        request.shape = item->shape != NULL ? strdup(item->shape) : NULL;
        g_strlcpy(request.trace, item->trace != NULL ? item->trace : "a",
                  sizeof(request.trace));
        g_strlcpy(request.workspace,
                  item->workspace != NULL ? item->workspace : "",
                  sizeof(request.workspace));
        request.transaction = item->transaction;
        if (driver->can_carry(&request) != item->fits) {
            g_test_message("%s: %s", item->name,
                           item->fits ? "refused" : "sent");
            g_test_fail();
        }
        CbwRequest_Finish(&request);
    }
}

void
Suite_AddStatementText(void)
{
    g_test_add_func("/statement-text/commit-is-refused",
                    test_commit_is_refused);
    g_test_add_func("/statement-text/byte-is-lost", test_byte_is_lost);
    g_test_add_func("/statement-text/messages-are-joined",
                    test_messages_are_joined);
    g_test_add_func("/statement-text/request-holds-messages",
                    test_request_holds_messages);
    g_test_add_data_func("/statement-text/statement-is-cut",
                         &positions[POSITION_STATEMENT], test_text_is_cut);
    g_test_add_data_func("/statement-text/read-is-cut",
                         &positions[POSITION_READ], test_text_is_cut);
    g_test_add_data_func("/statement-text/execute-is-cut",
                         &positions[POSITION_EXECUTE], test_text_is_cut);
    g_test_add_data_func("/statement-text/shape-is-cut",
                         &positions[POSITION_SHAPE], test_text_is_cut);
    g_test_add_data_func("/statement-text/values-are-cut",
                         &positions[POSITION_VALUES], test_text_is_cut);
    g_test_add_func("/statement-text/random-text-is-cut",
                    test_random_text_is_cut);
}
