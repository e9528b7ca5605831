#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "carobwind/plugin.h"
#include "carobwind/pool.h"
#include "carobwind/random.h"
#include "carobwind/session.h"
#include "carobwindd/drivers.h"
#include "platform/backend_text.h"
#include "platform/wire.h"
#include "suites.h"

#define ROUNDS 40000
#define INPUT_MAX 512

static void
mutate(cbw_random_t *random, char *bytes, size_t size)
{
    for (int i = 0; i < 4; i++) {
        bytes[CbwRandom_Below(random, size)] =
            (char)CbwRandom_Below(random, 256);
    }
}

/* Messages of callers and their expected decoding. */
typedef struct {
    const char *line;
    caller_message_type_t type;
    cbw_statement_kind_t kind;
    const char *name;
    const char *rest;
} message_case_t;

static const message_case_t message_cases[] = {
    {"STARTUP db u1\r\n", CALLER_MESSAGE_START, 0, "", ""},
    {"TERMINATE\r\n", CALLER_MESSAGE_END, 0, "", ""},
    {"QUERY a READ k\r\n", CALLER_MESSAGE_STATEMENT, CBW_STATEMENT_READ, "",
     "k"},
    {"QUERY a WRITE k v w\r\n", CALLER_MESSAGE_STATEMENT, CBW_STATEMENT_WRITE,
     "", "k v w"},
    {"QUERY a BEGIN\r\n", CALLER_MESSAGE_STATEMENT, CBW_STATEMENT_BEGIN, "",
     ""},
    {"QUERY a BEGIN READ\r\n", CALLER_MESSAGE_STATEMENT,
     CBW_STATEMENT_BEGIN_READ, "", "READ"},
    {"QUERY a BEGIN WRITE\r\n", CALLER_MESSAGE_STATEMENT, CBW_STATEMENT_OTHER,
     "", "WRITE"},
    {"QUERY a COMMIT now\r\n", CALLER_MESSAGE_STATEMENT, CBW_STATEMENT_OTHER,
     "", "now"},
    {"QUERY a SET n v x\r\n", CALLER_MESSAGE_STATEMENT, CBW_STATEMENT_SET, "n",
     "v x"},
    {"QUERY a SET n\r\n", CALLER_MESSAGE_STATEMENT, CBW_STATEMENT_OTHER, "n",
     ""},
    {"QUERY a SET n \r\n", CALLER_MESSAGE_STATEMENT, CBW_STATEMENT_OTHER, "n",
     ""},
    {"QUERY a SET n  \r\n", CALLER_MESSAGE_STATEMENT, CBW_STATEMENT_SET, "n",
     " "},
    {"QUERY a PREPARE s READ q\r\n", CALLER_MESSAGE_STATEMENT,
     CBW_STATEMENT_PREPARE_READ, "s", "q"},
    {"QUERY a PREPARE s WRITE q\r\n", CALLER_MESSAGE_STATEMENT,
     CBW_STATEMENT_PREPARE_WRITE, "s", "q"},
    {"QUERY a PREPARE s DROP q\r\n", CALLER_MESSAGE_STATEMENT,
     CBW_STATEMENT_OTHER, "s", "q"},
    {"QUERY a EXECUTE s k v\r\n", CALLER_MESSAGE_STATEMENT,
     CBW_STATEMENT_EXECUTE, "s", "k v"},
    {"QUERY a AFTER 3.1 READ k\r\n", CALLER_MESSAGE_STATEMENT,
     CBW_STATEMENT_OTHER, "", ""},
    {"QUERY a STATUS\r\n", CALLER_MESSAGE_STATEMENT, CBW_STATEMENT_OTHER, "",
     ""},
    {"QUERY a READ\r\n", CALLER_MESSAGE_STATEMENT, CBW_STATEMENT_OTHER, "",
     ""},
    {"QUERY a WRITE k v \r\r\n", CALLER_MESSAGE_STATEMENT, CBW_STATEMENT_WRITE,
     "", "k v \r"},
    {"QUERY a WRITE k v\nw\r\n", CALLER_MESSAGE_STATEMENT, CBW_STATEMENT_OTHER,
     "", ""},
    {"QUERY a EXECUTE s \r\n", CALLER_MESSAGE_STATEMENT, CBW_STATEMENT_OTHER,
     "s", ""},
    {"QUERY a\nb READ k\r\n", CALLER_MESSAGE_UNKNOWN, 0, "", ""},
    {"QUERY a\r\n", CALLER_MESSAGE_UNKNOWN, 0, "", ""},
    {"HELLO\r\n", CALLER_MESSAGE_UNKNOWN, 0, "", ""},
    {"\r\n", CALLER_MESSAGE_UNKNOWN, 0, "", ""},
};

static void
test_messages(void)
{
    const caller_driver_t *driver =
        CbwPlugin_Find(CBW_PLUGIN_CALLER_DRIVER, "wire");

    for (size_t i = 0; i < G_N_ELEMENTS(message_cases); i++) {
        const message_case_t *c = &message_cases[i];
        char bytes[INPUT_MAX];
        char copy[INPUT_MAX];
        caller_message_t message;
        snprintf(bytes, sizeof(bytes), "%s", c->line);
        g_assert_cmpint(driver->message_size(bytes, strlen(bytes)), ==,
                        strlen(c->line));
        driver->decode(bytes, strlen(c->line), copy, &message);
        g_test_message("%s", c->line);
        g_assert_cmpint(message.type, ==, c->type);
        if (c->type == CALLER_MESSAGE_STATEMENT) {
            g_assert_cmpint(message.statement.kind, ==, c->kind);
            g_assert_cmpstr(message.statement.id, ==, "a");
            g_assert_cmpstr(message.statement.name, ==, c->name);
            if (c->kind != CBW_STATEMENT_OTHER) {
                g_assert_cmpstr(message.statement.rest, ==, c->rest);
            }
        }
    }
}

/* Messages end at CR LF, and at neither alone. NUL bytes and more than
 * Wire_MESSAGE_MAX bytes are errors. */
static void
test_message_size(void)
{
    char *large = g_malloc(Wire_MESSAGE_MAX + 2);

    memset(large, 'x', Wire_MESSAGE_MAX + 2);
    g_assert_cmpint(Wire_MessageSize("READ", 4), ==, 0);
    g_assert_cmpint(Wire_MessageSize("a\nb", 3), ==, 0);
    g_assert_cmpint(Wire_MessageSize("a\rb", 3), ==, 0);
    g_assert_cmpint(Wire_MessageSize("a\r", 2), ==, 0);
    g_assert_cmpint(Wire_MessageSize("a\r\nb", 4), ==, 3);
    g_assert_cmpint(Wire_MessageSize("a\nb\r\r\nc", 7), ==, 6);
    memset(large, '\n', 200);
    large[198] = '\r';
    for (size_t size = 1; size < 200; size++) {
        g_assert_cmpint(Wire_MessageSize(large, size), ==, 0);
        g_assert_cmpint(Wire_MessageSize(large + 200 - size, size), ==,
                        size == 1 ? 0 : (int)size);
    }
    memset(large, 'x', 200);
    g_assert_cmpint(Wire_MessageSize("a\0\n", 3), ==, -1);
    g_assert_cmpint(Wire_MessageSize(large, Wire_MESSAGE_MAX), ==, 0);
    g_assert_cmpint(Wire_MessageSize(large, Wire_MESSAGE_MAX + 1), ==,
                    Wire_TOO_LARGE);
    g_free(large);
}

/* Random damage to the messages must not make the decoder overrun them. */
static void
test_messages_random(void)
{
    const caller_driver_t *driver =
        CbwPlugin_Find(CBW_PLUGIN_CALLER_DRIVER, "wire");
    cbw_random_t random;

    CbwRandom_Init(&random, 21);
    for (int i = 0; i < ROUNDS; i++) {
        const char *line =
            message_cases[i % (int)G_N_ELEMENTS(message_cases)].line;
        size_t size = strlen(line);
        /* Allocated to exact size, so that the sanitizer detects an overrun.
         */
        char *bytes = g_malloc(size + 1);
        char *copy = g_malloc(size + 1);
        caller_message_t message;
        ssize_t measured;
        memcpy(bytes, line, size + 1);
        mutate(&random, bytes, size);
        measured = driver->message_size(bytes, size);
        if (measured > 0) {
            driver->decode(bytes, (size_t)measured, copy, &message);
        }
        g_free(bytes);
        g_free(copy);
    }
}

#define GOOD_ENDPOINT                                                         \
    "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","          \
    "\"version\":\"v1\",\"slots\":3,\"state\":\"ready\",\"coldLeftMs\":0,"    \
    "\"dbRole\":\"replica\",\"sequence\":4,\"born\":1700000000000}"

/* Registrations, including malformed ones: other programs write them too. */
static const struct {
    const char *text;
    bool usable;
} endpoint_cases[] = {
    {GOOD_ENDPOINT, true},
    {"", false},
    {"null", false},
    {"[]", false},
    {"{}", false},
    {"{\"service\":3}", false},
    {"\xff\xfe", false},
    {"{\"service\":\"s\",\"address\":\"10.0.0.1\",\"zone\":\"z\",\"slots\":3,"
     "\"state\":\"ready\",\"dbRole\":\"primary\"}",
     false},
    {"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
     "\"slots\":\"3\",\"state\":\"ready\",\"dbRole\":\"primary\"}",
     false},
    {"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
     "\"slots\":0,\"state\":\"ready\",\"dbRole\":\"primary\"}",
     false},
    {"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
     "\"slots\":3,\"state\":\"resting\",\"dbRole\":\"primary\"}",
     false},
    {"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
     "\"slots\":3,\"state\":\"ready\",\"dbRole\":\"arbiter\"}",
     false},
    {"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
     "\"slots\":3,\"state\":\"ready\",\"dbRole\":\"primary\",\"born\":1.5}",
     false},
    {"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
     "\"slots\":3,\"state\":\"draining\",\"dbRole\":\"primary\"}",
     true},
};

/* Malformed registrations are rejected, and randomly damaged ones must not
 * crash the parser. */
static void
test_registrations(void)
{
    const registry_driver_t *driver =
        CbwPlugin_Find(CBW_PLUGIN_REGISTRY_DRIVER, "platform");
    char mutated[INPUT_MAX];
    cbw_random_t random;
    cbw_endpoint_t endpoint;
    char database[Cbw_NAME_MAX];
    cbw_error_t error;

    for (size_t i = 0; i < G_N_ELEMENTS(endpoint_cases); i++) {
        g_test_message("%s", endpoint_cases[i].text);
        g_assert_cmpint(driver->parse_endpoint("i-1", endpoint_cases[i].text,
                                               &endpoint, database, &error),
                        ==, endpoint_cases[i].usable ? 0 : -1);
    }
    CbwRandom_Init(&random, 22);
    for (int i = 0; i < ROUNDS; i++) {
        snprintf(mutated, sizeof(mutated), "%s", GOOD_ENDPOINT);
        mutate(&random, mutated, strlen(GOOD_ENDPOINT));
        driver->parse_endpoint("i-1", mutated, &endpoint, database, &error);
    }
}

#define GOOD_CONFIG                                                           \
    "{\"version\":7,\"routes\":[{\"name\":\"r\",\"database\":\"d\","          \
    "\"routeType\":\"bounded_staleness\",\"timeoutMs\":800,"                  \
    "\"targetLatencyMs\":150,\"priority\":2,\"service\":\"s\","               \
    "\"maxStalenessMs\":1500}],\"services\":[{\"name\":\"s\","                \
    "\"maxConns\":49}],\"limits\":{\"idleTxMs\":3000}}"

/* A valid configuration is parsed, malformed ones are rejected with findings,
 * and randomly damaged ones must not crash the parser. */
static void
test_configuration(void)
{
    static const char *const bad[] = {
        "",
        "{}",
        "[1]",
        "{\"version\":\"7\"}",
        "{\"version\":7,",
        "{\"version\":7,\"routes\":[{}],\"services\":[]}",
    };
    const registry_driver_t *driver =
        CbwPlugin_Find(CBW_PLUGIN_REGISTRY_DRIVER, "platform");
    cbw_inventory_t inventory;
    cbw_findings_t findings;
    const cbw_kind_t *kind;
    char mutated[INPUT_MAX];
    cbw_random_t random;

    CbwFindings_Init(&findings);
    g_assert_cmpint(driver->parse_config(GOOD_CONFIG, &inventory, &findings),
                    ==, 0);
    kind = CbwInventory_FindKind(&inventory, "d");
    g_assert_nonnull(kind);
    g_assert_cmpstr(kind->database, ==, "s");
    g_assert_cmpint(kind->rule, ==, CBW_READ_BOUNDED);
    g_assert_cmpint(kind->age, ==, 1500 * Cbw_MSEC);
    g_assert_cmpint(kind->rank, ==, 2);
    CbwInventory_Finish(&inventory);
    CbwFindings_Finish(&findings);
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        CbwFindings_Init(&findings);
        g_assert_cmpint(driver->parse_config(bad[i], &inventory, &findings),
                        ==, -1);
        g_assert_cmpint(findings.count, >, 0);
        CbwInventory_Finish(&inventory);
        CbwFindings_Finish(&findings);
    }
    CbwRandom_Init(&random, 23);
    for (int i = 0; i < ROUNDS / 4; i++) {
        snprintf(mutated, sizeof(mutated), "%s", GOOD_CONFIG);
        mutate(&random, mutated, strlen(GOOD_CONFIG));
        CbwFindings_Init(&findings);
        driver->parse_config(mutated, &inventory, &findings);
        CbwInventory_Finish(&inventory);
        CbwFindings_Finish(&findings);
    }
}

/* Successive calls on one connection: each is sent with the setup that the
 * session state of the connection lacks. */
typedef struct {
    cbw_call_t call;
    bool in_transaction;
    const char *setup;
    int setup_replies; /* number of replies to the messages of `setup` */
    const char *statement;
} call_case_t;

#define CALL(call_verb, session_values, ...)                                  \
    {                                                                         \
        .verb = call_verb, .trace = "t", .shape = "",                         \
        .values = session_values, .statement = "READ k", .statement_size = 6, \
        __VA_ARGS__                                                           \
    }

static const call_case_t call_cases[] = {
    {CALL(CBW_CALL_RUN, ""), false, "", 0, "QUERY t READ k\r\n"},
    {CALL(CBW_CALL_RUN, "", .min_term = 3, .min_position = 9), false, "", 0,
     "QUERY t AFTER 3.9 READ k\r\n"},
    {CALL(CBW_CALL_RUN, "a 1\nb 2"), false,
     "QUERY - SET a 1\r\nQUERY - SET b 2\r\n", 2, "QUERY t READ k\r\n"},
    {CALL(CBW_CALL_RUN, "a 1\nb 2"), false, "", 0, "QUERY t READ k\r\n"},
    {CALL(CBW_CALL_RUN, "a 1\nb 2\nc 3"), true,
     "QUERY - SET a 1\r\nQUERY - SET b 2\r\nQUERY - SET c 3\r\n", 3,
     "QUERY t READ k\r\n"},
    {CALL(CBW_CALL_RUN, "", .begins = true, .reads_only = true, .min_term = 3,
          .min_position = 9),
     false, "QUERY - DISCARD\r\nQUERY - AFTER 3.9 BEGIN READ\r\n", 2,
     "QUERY t READ k\r\n"},
    {CALL(CBW_CALL_STATE, ""), false, "", 0, "QUERY - STATUS\r\n"},
    {CALL(CBW_CALL_STEP_DOWN, "", .term = 4), false, "", 0,
     "QUERY - STEPDOWN 4\r\n"},
    {CALL(CBW_CALL_ROLLBACK, ""), true, "", 0, "QUERY - ROLLBACK\r\n"},
};

static void
test_backend_calls(void)
{
    backend_session_t session;
    GString *setup = g_string_new(NULL);
    GString *statement = g_string_new(NULL);

    Backend_InitSession(&session);
    for (size_t i = 0; i < G_N_ELEMENTS(call_cases); i++) {
        g_string_truncate(setup, 0);
        g_assert_cmpint(Backend_FormatCall(&session, &call_cases[i].call,
                                           call_cases[i].in_transaction, setup,
                                           statement),
                        ==, call_cases[i].setup_replies);
        g_assert_cmpstr(setup->str, ==, call_cases[i].setup);
        g_assert_cmpstr(statement->str, ==, call_cases[i].statement);
    }
    Backend_FinishSession(&session);
    g_string_free(setup, TRUE);
    g_string_free(statement, TRUE);
}

/* Formats an EXECUTE. */
static void
format_execute(backend_session_t *session, const char *shape,
               const char *values, bool in_transaction, bool begins,
               GString *setup, GString *statement)
{
    const cbw_call_t call = {.verb = CBW_CALL_RUN,
                             .trace = "t",
                             .shape = shape,
                             .values = values,
                             .statement = "k",
                             .statement_size = 1,
                             .begins = begins};

    Backend_FormatCall(session, &call, in_transaction, setup, statement);
}

/* Executes a prepared statement at an endpoint that has `prepared`, a map of
 * names to shapes. Returns whether a DISCARD preceded it. */
static bool
execute_at(backend_session_t *session, GHashTable *prepared, const char *shape,
           const char *values, bool in_transaction, bool begins)
{
    GString *setup = g_string_new(NULL);
    GString *statement = g_string_new(NULL);
    bool discarded = false;
    char **lines;
    char **words;

    format_execute(session, shape, values, in_transaction, begins, setup,
                   statement);
    lines = g_strsplit(setup->str, "\r\n", 0);
    for (int i = 0; lines[i] != NULL; i++) {
        words = g_strsplit(lines[i], " ", 5);
        if (g_str_has_prefix(lines[i], "QUERY - DISCARD")) {
            g_hash_table_remove_all(prepared);
            discarded = true;
        }
        else if (g_str_has_prefix(lines[i], "QUERY - PREPARE ")) {
            g_hash_table_replace(prepared, g_strdup(words[3]),
                                 g_strdup(words[4]));
        }
        g_strfreev(words);
    }
    words = g_strsplit(statement->str, " ", 0);
    g_assert_cmpstr(words[2], ==, "EXECUTE");
    g_assert_cmpstr(g_hash_table_lookup(prepared, words[3]), ==, shape);
    g_strfreev(words);
    g_strfreev(lines);
    g_string_free(setup, TRUE);
    g_string_free(statement, TRUE);
    return discarded;
}

/* Executes a prepared statement and returns the name under which it runs.
 * `prepares` tells whether it was prepared for that. */
static char *
execute(backend_session_t *session, const char *shape, bool *prepares)
{
    GString *setup = g_string_new(NULL);
    GString *statement = g_string_new(NULL);
    char **words;
    char *name;

    format_execute(session, shape, "", false, false, setup, statement);
    words = g_strsplit(statement->str, " ", 0);
    name = g_strdup(words[3]);
    *prepares = strstr(setup->str, "PREPARE") != NULL;
    g_strfreev(words);
    g_string_free(setup, TRUE);
    g_string_free(statement, TRUE);
    return name;
}

/* A statement prepared as one text must not be executed as another one, also
 * when a caller chose two texts with the same XXH64 hash. */
static void
test_names_tell_texts_apart(void)
{
    static const char *const shapes[] = {"READ abcdefghijk",
                                         "READ bTMyQ4meh_d"};
    backend_session_t session;
    bool prepares;
    char *names[2];
    char *again;

    g_assert_cmpuint(XXH64(shapes[0], strlen(shapes[0]), 0), ==,
                     XXH64(shapes[1], strlen(shapes[1]), 0));
    Backend_InitSession(&session);
    for (int i = 0; i < 2; i++) {
        names[i] = execute(&session, shapes[i], &prepares);
        g_assert_true(prepares);
    }
    g_assert_cmpstr(names[0], !=, names[1]);
    for (int i = 0; i < 2; i++) {
        again = execute(&session, shapes[i], &prepares);
        g_assert_false(prepares);
        g_assert_cmpstr(again, ==, names[i]);
        g_free(again);
        g_free(names[i]);
    }
    Backend_FinishSession(&session);
}

/* After a DISCARD, which clears names at the endpoint, or in a transaction
 * with more statements than the list holds, no statement is executed under a
 * name that the endpoint does not have, or has for another text. */
static void
test_names_after_full_list(void)
{
    static const struct {
        const char *name;
        bool in_transaction;
        bool begins;
        const char *values; /* of every second statement */
        bool discards;      /* in 3 rounds of all statements */
    } cases[] = {
        {"single statements", false, false, "", true},
        {"transactions of one statement", false, true, "", true},
        {"one long transaction", true, false, "", false},
        {"other sessions between", false, false, "a 1\n", true},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        /* What the endpoint has: name to shape. */
        GHashTable *prepared =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        backend_session_t session;
        bool discarded = false;
        size_t most = 0;
        g_test_message("%s", cases[i].name);
        Backend_InitSession(&session);
        for (int j = 0; j < 3 * (Backend_PREPARED_MAX + 8); j++) {
            char *shape =
                g_strdup_printf("READ %d", j % (Backend_PREPARED_MAX + 8));
            discarded |= execute_at(&session, prepared, shape,
                                    j % 2 == 0 ? "" : cases[i].values,
                                    cases[i].in_transaction, cases[i].begins);
            most = MAX(most, g_hash_table_size(prepared));
            g_free(shape);
        }
        g_assert_cmpint(discarded, ==, cases[i].discards);
        if (cases[i].discards) {
            /* The endpoint's list does not grow without bound. */
            g_assert_cmpuint(most, <=, Backend_PREPARED_MAX);
        }
        Backend_FinishSession(&session);
        g_hash_table_destroy(prepared);
    }
}

/* The messages for the longest texts that sessions accept, on a connection
 * whose names are long, must not exceed what an endpoint takes. */
static void
test_longest_messages(void)
{
    char *shape = g_strnfill(strlen("WRITE ") + Cbw_SESSION_SHAPE_MAX, 'q');
    char *arguments =
        g_strnfill(Cbw_SESSION_ARGUMENTS_MAX - (Cbw_TRACE_MAX - 1), 'k');
    char *read = g_strnfill(Cbw_POOL_POSITIONED_STATEMENT_MAX, 'k');
    char *id = g_strnfill(Cbw_TRACE_MAX - 1, 'i');
    const cbw_call_t calls[] = {
        {.verb = CBW_CALL_RUN,
         .trace = id,
         .shape = shape,
         .statement = arguments,
         .statement_size = strlen(arguments)},
        {.verb = CBW_CALL_RUN,
         .trace = id,
         .shape = shape,
         .statement = read,
         .statement_size = strlen(read),
         .min_term = UINT64_MAX,
         .min_position = UINT64_MAX},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(calls); i++) {
        backend_session_t session;
        GString *setup = g_string_new(NULL);
        GString *statement = g_string_new(NULL);
        Backend_InitSession(&session);
        session.last_number = UINT32_MAX - 1;
        g_assert_cmpint(
            Backend_FormatCall(&session, &calls[i], false, setup, statement),
            ==, 1);
        g_assert_cmpuint(setup->len, <=, Wire_MESSAGE_MAX);
        g_assert_cmpuint(statement->len, <=, Wire_MESSAGE_MAX);
        Backend_FinishSession(&session);
        g_string_free(setup, TRUE);
        g_string_free(statement, TRUE);
    }
    g_free(shape);
    g_free(arguments);
    g_free(read);
    g_free(id);
}

typedef struct {
    const char *row;
    bool primary;
    uint64_t term;
    uint64_t last_term;
    uint64_t position;
} status_case_t;

/* The higher of term and held term (fields 2 and 4, see Backend_ParseStatus)
 * becomes the term of the state: the held term of a paused replica can be
 * above its term. Malformed rows leave the state unchanged. */
static void
test_backend_status(void)
{
    static const status_case_t cases[] = {
        {"DATAROW replica 3 3.1209 0 12 2 17", false, 3, 3, 1209},
        {"DATAROW replica 3 3.1209 5 12 2 17", false, 5, 3, 1209},
        {"DATAROW primary 4 3.7 0 0 0 1", true, 4, 3, 7},
        {"DATAROW primary 4 - 0 0 0 1", true, 4, 0, 0},
        {"DATAROW primary", false, 0, 0, 0},
        {"", false, 0, 0, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cbw_endpoint_state_t state = {0};
        Backend_ParseStatus(cases[i].row, &state);
        g_assert_cmpint(state.primary, ==, cases[i].primary);
        g_assert_cmpuint(state.term, ==, cases[i].term);
        g_assert_cmpuint(state.last_term, ==, cases[i].last_term);
        g_assert_cmpuint(state.position, ==, cases[i].position);
    }
}

void
Suite_AddPlatform(void)
{
    g_test_add_func("/platform/backend-calls", test_backend_calls);
    g_test_add_func("/platform/longest-messages", test_longest_messages);
    g_test_add_func("/platform/names-tell-texts-apart",
                    test_names_tell_texts_apart);
    g_test_add_func("/platform/names-after-full-list",
                    test_names_after_full_list);
    g_test_add_func("/platform/backend-status", test_backend_status);
    g_test_add_func("/platform/messages", test_messages);
    g_test_add_func("/platform/message-size", test_message_size);
    g_test_add_func("/platform/messages-random", test_messages_random);
    g_test_add_func("/platform/registrations", test_registrations);
    g_test_add_func("/platform/configuration", test_configuration);
}
