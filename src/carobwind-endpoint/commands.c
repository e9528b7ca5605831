#include "commands.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "share/fault.h"

/* Maximum number of entries in the answer to a pull. */
#define PULL_ENTRIES_MAX 500
/* Words of an entry in the answer to a pull. Must match replica.c. */
#define PULL_ENTRY_WORDS 5
/* A pull is answered after this time when there are no new entries. */
#define PULL_TIMEOUT (100 * Cbw_MSEC)
#define REPLY_WORD_COUNT 11

/* Replies. */

/* Formats the term beginnings as "TERM:POSITION,...". */
static void
format_term_begins(const cbw_endpoint_state_t *state, char *text, size_t size)
{
    size_t length = 0;

    text[0] = '\0';
    for (int i = 0; i < state->begin_count && length < size; i++) {
        length += (size_t)snprintf(
            text + length, size - length, "%s%" PRIu64 ":%" PRIu64,
            i ? "," : "", state->begins[i].term, state->begins[i].position);
    }
}

/* Sends the id of the call, the status, the result, the term and `position` of
 * the write's entry (0: none), and the state of the endpoint. */
static void
send_reply(const client_call_t *call, cbw_reply_status_t status,
           const char *result, uint64_t position)
{
    const database_t *database = &call->client->server->database;
    const entry_t *entry = Database_Entry(database, position);
    cbw_endpoint_state_t state;
    char numbers[7][24];
    char begins[Cbw_TERM_BEGINS_MAX * 44];
    const char *words[REPLY_WORD_COUNT];

    Database_GetState(database, &state);
    format_term_begins(&state, begins, sizeof(begins));
    snprintf(numbers[0], 24, "%" PRIu64, entry != NULL ? entry->term : 0);
    snprintf(numbers[1], 24, "%" PRIu64, position);
    snprintf(numbers[2], 24, "%" PRIu64, state.term);
    snprintf(numbers[3], 24, "%d", state.primary);
    snprintf(numbers[4], 24, "%" PRIu64, state.follows);
    snprintf(numbers[5], 24, "%" PRIu64, state.last_term);
    snprintf(numbers[6], 24, "%" PRIu64, state.position);
    words[0] = call->words[1];
    words[1] = CbwEndpoint_StatusString[status];
    words[2] = result;
    for (int i = 0; i < 7; i++) {
        words[3 + i] = numbers[i];
    }
    words[10] = begins;
    CbwResp_Send(&call->client->resp, REPLY_WORD_COUNT, words, NULL);
}

uint64_t
Commands_ParseNumber(const client_call_t *call, int index)
{
    return strtoull(call->words[index], NULL, 10);
}

/* Commands. */

/* Refuses a call, and returns false, unless this endpoint is the primary of
 * the call's term. A higher term shows that this endpoint missed a promotion,
 * but does not raise its own term: only FENCE and FOLLOW do. */
static bool
check_term(client_call_t *call)
{
    const database_t *database = &call->client->server->database;

    if (Commands_ParseNumber(call, 2) < database->term) {
        send_reply(call, CBW_REPLY_SUPERSEDED, "", 0);
        return false;
    }
    if (!database->primary ||
        Commands_ParseNumber(call, 2) != database->term) {
        send_reply(call, CBW_REPLY_NOT_PRIMARY, "", 0);
        return false;
    }
    return true;
}

/* Answers a write whose request key is in the log with the recorded outcome.
 * Returns false when the key is not in the log. */
static bool
answer_recorded_key(client_call_t *call, const char *key)
{
    server_t *server = call->client->server;
    uint64_t position = Database_KeyPosition(&server->database, key);
    const entry_t *entry = Database_Entry(&server->database, position);

    if (entry == NULL) {
        return false;
    }
    server->stats.duplicates++;
    if (entry->type == ENTRY_CANCEL) {
        send_reply(call, CBW_REPLY_CANCELLED, "", position);
    }
    else {
        send_reply(call, CBW_REPLY_OK, entry->result, position);
    }
    return true;
}

/* Appends an entry, unless its request key is already in the log, and answers
 * with the outcome. */
static void
write_entry(client_call_t *call, entry_type_t type, const char *key,
            const char *statement)
{
    server_t *server = call->client->server;
    uint64_t position;

    if (!check_term(call) || answer_recorded_key(call, key)) {
        return;
    }
    position = Database_Write(&server->database, type, key, statement);
    if (position == 0) {
        send_reply(call, CBW_REPLY_FAILED,
                   "not \"put NAME VALUE\" or \"add NAME "
                   "NUMBER\"",
                   0);
        return;
    }
    server->stats.writes++;
    if (type == ENTRY_CANCEL) {
        send_reply(call, CBW_REPLY_CANCELLED, "", position);
    }
    else {
        send_reply(call, CBW_REPLY_OK,
                   Database_Entry(&server->database, position)->result,
                   position);
    }
    Server_OnLogChange(server);
}

static void
read_value(client_call_t *call)
{
    const database_t *database = &call->client->server->database;
    char *result = Database_Read(database, call->words[5]);

    if (result == NULL) {
        send_reply(call, CBW_REPLY_FAILED, "not \"get NAME\"", 0);
        return;
    }
    send_reply(call, CBW_REPLY_OK, result, 0);
    g_free(result);
}

/* Executes a read, or adds a write to the open transaction. */
static void
run_in_transaction(client_call_t *call, bool writes)
{
    GString *transaction = call->client->transaction;

    if (!check_term(call)) {
        return;
    }
    if (!writes || strncmp(call->words[5], "get ", 4) == 0) {
        read_value(call);
        return;
    }
    if (!Database_IsWrite(call->words[5])) {
        send_reply(call, CBW_REPLY_FAILED, "not a write", 0);
        return;
    }
    g_string_append_printf(transaction, "%s%s", transaction->len ? "\n" : "",
                           call->words[5]);
    send_reply(call, CBW_REPLY_OK, "queued", 0);
}

/* RUN id term w|r key statement: executes a write or a read */
static void
handle_run(client_call_t *call)
{
    bool writes = call->words[3][0] == 'w';

    call->client->server->stats.statements++;
    if (call->client->transaction != NULL) {
        run_in_transaction(call, writes);
    }
    else if (writes) {
        write_entry(call, ENTRY_STATEMENT, call->words[4], call->words[5]);
    }
    else {
        read_value(call);
    }
}

static void
end_transaction(client_t *client)
{
    if (client->transaction != NULL) {
        g_string_free(client->transaction, TRUE);
        client->transaction = NULL;
    }
}

/* BEGIN id term: opens a transaction on the connection */
static void
handle_begin(client_call_t *call)
{
    if (!check_term(call)) {
        return;
    }
    end_transaction(call->client);
    call->client->transaction = g_string_new("");
    send_reply(call, CBW_REPLY_OK, "begun", 0);
}

/* COMMIT id term key: writes the statements of the transaction as one entry */
static void
handle_commit(client_call_t *call)
{
    GString *transaction = call->client->transaction;

    if (transaction == NULL) {
        send_reply(call, CBW_REPLY_NO_TRANSACTION, "", 0);
        return;
    }
    if (transaction->len == 0) {
        /* The request key can only be recorded in an entry. */
        g_string_append(transaction, "put _ empty");
    }
    write_entry(call, ENTRY_STATEMENT, call->words[3], transaction->str);
    end_transaction(call->client);
}

/* ROLLBACK id term: discards the open transaction */
static void
handle_rollback(client_call_t *call)
{
    end_transaction(call->client);
    send_reply(call, CBW_REPLY_OK, "rolled back", 0);
}

/* CANCEL id term key: writes a tombstone, unless the key is in the log */
static void
handle_cancel(client_call_t *call)
{
    write_entry(call, ENTRY_CANCEL, call->words[3], "");
}

/* Defers the answer to a call until the log reaches `position` or `timeout`
 * has passed. */
static void
start_long_poll(client_call_t *call, uint64_t position, cbw_time_t timeout)
{
    call->position = position;
    call->due_at = CbwNet_Now() + timeout;
    CbwList_Append(&call->client->server->long_polls, &call->link);
}

/* STATE id position wait_us: answers once the log reaches `position` or
 * `wait_us` has passed */
static void
handle_state(client_call_t *call)
{
    server_t *server = call->client->server;
    uint64_t position = Commands_ParseNumber(call, 2);

    if (position > Database_Position(&server->database) &&
        Commands_ParseNumber(call, 3) > 0) {
        start_long_poll(call, position,
                        (cbw_time_t)Commands_ParseNumber(call, 3));
        return;
    }
    send_reply(call, CBW_REPLY_OK, "", 0);
}

/* FENCE id term: refuses lower terms from now on */
static void
handle_fence(client_call_t *call)
{
    server_t *server = call->client->server;
    uint64_t before = server->database.term;

    if (!Database_Fence(&server->database, Commands_ParseNumber(call, 2))) {
        send_reply(call, CBW_REPLY_SUPERSEDED, "", 0);
        return;
    }
    if (server->database.term != before) {
        Replica_Stop(server);
        Server_OnLogChange(server);
    }
    send_reply(call, CBW_REPLY_OK, "", 0);
}

/* PROMOTE id term: becomes primary of the fenced term */
static void
handle_promote(client_call_t *call)
{
    server_t *server = call->client->server;

    if (!Database_Promote(&server->database, Commands_ParseNumber(call, 2))) {
        send_reply(call, CBW_REPLY_SUPERSEDED, "", 0);
        return;
    }
    Replica_Stop(server);
    send_reply(call, CBW_REPLY_OK, "", 0);
    Server_OnLogChange(server);
}

/* FOLLOW id term address: replicates from the primary of `term` */
static void
handle_follow(client_call_t *call)
{
    server_t *server = call->client->server;
    uint64_t term = Commands_ParseNumber(call, 2);

    if (!Database_Fence(&server->database, term) ||
        (server->database.primary && server->database.term == term)) {
        send_reply(call, CBW_REPLY_SUPERSEDED, "", 0);
        return;
    }
    if (server->database.follows != term) {
        server->database.follows = term;
        Replica_Follow(server, term, call->words[3]);
        Server_OnLogChange(server);
    }
    send_reply(call, CBW_REPLY_OK, "", 0);
}

/* Sends the entries after `position`, at most PULL_ENTRIES_MAX. */
static void
send_entries(client_call_t *call, uint64_t position)
{
    const database_t *database = &call->client->server->database;
    uint64_t last = Database_Position(database);
    const char **words;
    char terms[PULL_ENTRIES_MAX][24];
    char types[PULL_ENTRIES_MAX][4];
    int count = 0;

    if (last > position + PULL_ENTRIES_MAX) {
        last = position + PULL_ENTRIES_MAX;
    }
    words = g_new0(const char *, 1 + PULL_ENTRY_WORDS * PULL_ENTRIES_MAX);
    words[count++] = "entries";
    for (uint64_t i = position + 1; i <= last; i++) {
        const entry_t *entry = Database_Entry(database, i);
        size_t entry_index = (size_t)(i - position - 1);
        snprintf(terms[entry_index], sizeof(terms[entry_index]), "%" PRIu64,
                 entry->term);
        /* Types are 0 to 2; "% 10" keeps the text within its buffer. */
        snprintf(types[entry_index], sizeof(types[entry_index]), "%d",
                 (int)entry->type % 10);
        words[count++] = terms[entry_index];
        words[count++] = types[entry_index];
        words[count++] = entry->key;
        words[count++] = entry->statement;
        words[count++] = entry->result;
    }
    CbwResp_Send(&call->client->resp, count, words, NULL);
    g_free(words);
}

/* Answers a pull with
 * - "superseded" unless this endpoint is the primary of the pull's term;
 * - "mismatch" and the position of the last entry of this log, beyond which
 *   the logs cannot agree, when the replica's last entry is not in it;
 * - "entries" and the entries after the replica's last one otherwise. */
static void
answer_pull(client_call_t *call)
{
    const database_t *database = &call->client->server->database;
    uint64_t position = Commands_ParseNumber(call, 2);
    uint64_t last_term = Commands_ParseNumber(call, 3);
    const entry_t *entry = Database_Entry(database, position);

    if (!database->primary ||
        database->term != Commands_ParseNumber(call, 1)) {
        const char *words[] = {"superseded"};
        CbwResp_Send(&call->client->resp, 1, words, NULL);
    }
    else if (position > 0 && (entry == NULL || entry->term != last_term)) {
        char last_position[24];
        const char *words[] = {"mismatch", last_position};
        snprintf(last_position, sizeof(last_position), "%" PRIu64,
                 Database_Position(database));
        CbwResp_Send(&call->client->resp, 2, words, NULL);
    }
    else {
        send_entries(call, position);
    }
}

/* PULL term position last_term: asks the primary of `term` for the entries
 * after `position`; in the replica's log, the entry at `position` has the term
 * `last_term` */
static void
handle_pull(client_call_t *call)
{
    client_t *client = call->client;
    const database_t *database = &client->server->database;

    if (!client->replication) {
        client->replication = true;
        client->counted = false;
        client->server->open_connections--;
    }
    if (database->primary && database->term == Commands_ParseNumber(call, 1) &&
        Commands_ParseNumber(call, 2) == Database_Position(database) &&
        Commands_ParseNumber(call, 3) == Database_LastTerm(database)) {
        start_long_poll(call, Database_Position(database) + 1, PULL_TIMEOUT);
        return;
    }
    answer_pull(call);
}

static void
send_ok(const client_call_t *call)
{
    const char *words[] = {"ok"};

    CbwResp_Send(&call->client->resp, 1, words, NULL);
}

/* SET service_ms|slots|lag_ms|delay_ms value: changes a setting */
static void
handle_set(client_call_t *call)
{
    server_t *server = call->client->server;
    endpoint_settings_t *settings = &server->settings;
    const char *name = call->words[1];
    double value = strtod(call->words[2], NULL);

    if (strcmp(name, "service_ms") == 0) {
        settings->service_ms = value;
    }
    else if (strcmp(name, "slots") == 0) {
        settings->slots = (long)value;
    }
    else if (strcmp(name, "lag_ms") == 0) {
        settings->lag_ms = value;
    }
    else if (strcmp(name, "delay_ms") == 0) {
        settings->delay_ms = value;
    }
    else {
        CbwResp_SendError(&call->client->resp, "unknown setting");
        return;
    }
    send_ok(call);
}

/* FAULT words...: see CbwFault_Command */
static void
handle_fault(client_call_t *call)
{
    if (CbwFault_Command(call->count - 1, call->words + 1) != 0) {
        CbwResp_SendError(&call->client->resp, "fault not understood");
        return;
    }
    send_ok(call);
}

/* DUMP: answers with the term, type, key, statement and result of each entry
 */
static void
handle_dump(client_call_t *call)
{
    const database_t *database = &call->client->server->database;
    GString *text = g_string_new("");
    const char *words[2] = {"dump", NULL};

    for (uint64_t i = 1; i <= Database_Position(database); i++) {
        const entry_t *entry = Database_Entry(database, i);
        char *statement = g_strdelimit(g_strdup(entry->statement), "\n", '|');
        g_string_append_printf(text, "%" PRIu64 "\t%d\t%s\t%s\t%s\n",
                               entry->term, entry->type, entry->key, statement,
                               entry->result);
        g_free(statement);
    }
    words[1] = text->str;
    CbwResp_Send(&call->client->resp, 2, words, NULL);
    g_string_free(text, TRUE);
}

/* STATS: answers with the names and values of endpoint_stats_t */
static void
handle_stats(client_call_t *call)
{
    const endpoint_stats_t *stats = &call->client->server->stats;
    char text[5][24];
    const char *words[] = {
        "connections_highest",
        text[0],
        "connections_refused",
        text[1],
        "statements",
        text[2],
        "writes",
        text[3],
        "duplicates",
        text[4],
    };

    snprintf(text[0], 24, "%" PRIu64, stats->connections_highest);
    snprintf(text[1], 24, "%" PRIu64, stats->connections_refused);
    snprintf(text[2], 24, "%" PRIu64, stats->statements);
    snprintf(text[3], 24, "%" PRIu64, stats->writes);
    snprintf(text[4], 24, "%" PRIu64, stats->duplicates);
    CbwResp_Send(&call->client->resp, 10, words, NULL);
}

static const command_t commands[] = {
    {"RUN", 6, true, handle_run},
    {"BEGIN", 3, true, handle_begin},
    {"COMMIT", 4, true, handle_commit},
    {"ROLLBACK", 3, false, handle_rollback},
    {"CANCEL", 4, false, handle_cancel},
    {"STATE", 4, false, handle_state},
    {"FENCE", 3, false, handle_fence},
    {"PROMOTE", 3, false, handle_promote},
    {"FOLLOW", 4, false, handle_follow},
    {"PULL", 4, false, handle_pull},
    {"SET", 3, false, handle_set},
    {"FAULT", 0, false, handle_fault},
    {"DUMP", 1, false, handle_dump},
    {"STATS", 1, false, handle_stats},
};

const command_t *
Commands_Find(const client_call_t *call)
{
    for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
        const command_t *command = &commands[i];
        if (call->count > 0 && strcmp(call->words[0], command->name) == 0 &&
            (command->words == 0 || command->words == call->count)) {
            return command;
        }
    }
    return NULL;
}

void
Commands_AnswerLongPoll(client_call_t *call)
{
    if (strcmp(call->words[0], "PULL") == 0) {
        answer_pull(call);
    }
    else {
        send_reply(call, CBW_REPLY_OK, "", 0);
    }
}
