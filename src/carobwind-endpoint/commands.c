#include "commands.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "share/fault.h"

/* Most entries of one answer to a pull. */
#define PULL_ENTRIES_MAX 500
#define PULL_ENTRY_WORDS 5
/* A pull without news is answered after this time. */
#define PULL_WAIT (100 * Cbw_MSEC)
#define REPLY_WORDS 11

/* Replies. */

static void
format_begins(const cbw_endpoint_state_t *state, char *text, size_t size)
{
    size_t length = 0;

    text[0] = '\0';
    for (int i = 0; i < state->begin_count && length < size; i++) {
        length += (size_t)snprintf(
            text + length, size - length, "%s%" PRIu64 ":%" PRIu64,
            i ? "," : "", state->begins[i].term, state->begins[i].position);
    }
}

/* Answers with status, result, the write's entry and the state. */
static void
reply(const client_call_t *work, cbw_reply_status_t status, const char *result,
      uint64_t position)
{
    const database_t *database = &work->client->server->database;
    const entry_t *entry = Database_Entry(database, position);
    cbw_endpoint_state_t state;
    char numbers[7][24];
    char begins[Cbw_TERM_BEGINS_MAX * 44];
    const char *words[REPLY_WORDS];

    Database_GetState(database, &state);
    format_begins(&state, begins, sizeof(begins));
    snprintf(numbers[0], 24, "%" PRIu64, entry != NULL ? entry->term : 0);
    snprintf(numbers[1], 24, "%" PRIu64, position);
    snprintf(numbers[2], 24, "%" PRIu64, state.term);
    snprintf(numbers[3], 24, "%d", state.primary);
    snprintf(numbers[4], 24, "%" PRIu64, state.follows);
    snprintf(numbers[5], 24, "%" PRIu64, state.last_term);
    snprintf(numbers[6], 24, "%" PRIu64, state.position);
    words[0] = work->words[1];
    words[1] = CbwEndpoint_StatusString[status];
    words[2] = result;
    for (int i = 0; i < 7; i++) {
        words[3 + i] = numbers[i];
    }
    words[10] = begins;
    CbwResp_Send(&work->client->resp, REPLY_WORDS, words, NULL);
}

uint64_t
Commands_ParseNumber(const client_call_t *work, int index)
{
    return strtoull(work->words[index], NULL, 10);
}

/* Commands. */

/* Refuses calls of another term. A higher one than ours shows that we missed
 * a promotion, which only a fence may tell us. */
static bool
check_term(client_call_t *work)
{
    const database_t *database = &work->client->server->database;

    if (Commands_ParseNumber(work, 2) < database->term) {
        reply(work, CBW_REPLY_SUPERSEDED, "", 0);
        return false;
    }
    if (!database->primary ||
        Commands_ParseNumber(work, 2) != database->term) {
        reply(work, CBW_REPLY_NOT_PRIMARY, "", 0);
        return false;
    }
    return true;
}

/* Answers from the record of the key, if there is one. */
static bool
answer_from_key(client_call_t *work, const char *key)
{
    server_t *server = work->client->server;
    uint64_t position = Database_KeyPosition(&server->database, key);
    const entry_t *entry = Database_Entry(&server->database, position);

    if (entry == NULL) {
        return false;
    }
    server->stats.duplicates++;
    if (entry->type == ENTRY_CANCEL) {
        reply(work, CBW_REPLY_CANCELLED, "", position);
    }
    else {
        reply(work, CBW_REPLY_OK, entry->result, position);
    }
    return true;
}

static void
write_entry(client_call_t *work, entry_type_t type, const char *key,
            const char *statement)
{
    server_t *server = work->client->server;
    uint64_t position;

    if (!check_term(work) || answer_from_key(work, key)) {
        return;
    }
    position = Database_Write(&server->database, type, key, statement);
    if (position == 0) {
        reply(work, CBW_REPLY_FAILED,
              "not \"put NAME VALUE\" or \"add NAME "
              "NUMBER\"",
              0);
        return;
    }
    server->stats.writes++;
    if (type == ENTRY_CANCEL) {
        reply(work, CBW_REPLY_CANCELLED, "", position);
    }
    else {
        reply(work, CBW_REPLY_OK,
              Database_Entry(&server->database, position)->result, position);
    }
    Server_OnLogChange(server);
}

static void
read_value(client_call_t *work)
{
    const database_t *database = &work->client->server->database;
    char *result = Database_Read(database, work->words[5]);

    if (result == NULL) {
        reply(work, CBW_REPLY_FAILED, "not \"get NAME\"", 0);
        return;
    }
    reply(work, CBW_REPLY_OK, result, 0);
    g_free(result);
}

static void
run_in_transaction(client_call_t *work, bool writes)
{
    GString *transaction = work->client->transaction;

    if (!check_term(work)) {
        return;
    }
    if (!writes || strncmp(work->words[5], "get ", 4) == 0) {
        read_value(work);
        return;
    }
    if (!Database_IsWrite(work->words[5])) {
        reply(work, CBW_REPLY_FAILED, "not a write", 0);
        return;
    }
    g_string_append_printf(transaction, "%s%s", transaction->len ? "\n" : "",
                           work->words[5]);
    reply(work, CBW_REPLY_OK, "queued", 0);
}

/* RUN id term w|r key statement */
static void
handle_run(client_call_t *work)
{
    bool writes = work->words[3][0] == 'w';

    work->client->server->stats.statements++;
    if (work->client->transaction != NULL) {
        run_in_transaction(work, writes);
    }
    else if (writes) {
        write_entry(work, ENTRY_STATEMENT, work->words[4], work->words[5]);
    }
    else {
        read_value(work);
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

/* BEGIN id term */
static void
handle_begin(client_call_t *work)
{
    if (!check_term(work)) {
        return;
    }
    end_transaction(work->client);
    work->client->transaction = g_string_new("");
    reply(work, CBW_REPLY_OK, "begun", 0);
}

/* COMMIT id term key */
static void
handle_commit(client_call_t *work)
{
    GString *transaction = work->client->transaction;

    if (transaction == NULL) {
        reply(work, CBW_REPLY_NO_TRANSACTION, "", 0);
        return;
    }
    if (transaction->len == 0) {
        g_string_append(transaction, "put _ empty");
    }
    write_entry(work, ENTRY_STATEMENT, work->words[3], transaction->str);
    end_transaction(work->client);
}

/* ROLLBACK id term */
static void
handle_rollback(client_call_t *work)
{
    end_transaction(work->client);
    reply(work, CBW_REPLY_OK, "rolled back", 0);
}

/* CANCEL id term key */
static void
handle_cancel(client_call_t *work)
{
    write_entry(work, ENTRY_CANCEL, work->words[3], "");
}

static void
park(client_call_t *work, uint64_t position, cbw_time_t limit)
{
    work->position = position;
    work->due_at = CbwNet_Now() + limit;
    CbwList_Append(&work->client->server->long_polls, &work->link);
}

/* STATE id position wait_us */
static void
handle_state(client_call_t *work)
{
    server_t *server = work->client->server;
    uint64_t position = Commands_ParseNumber(work, 2);

    if (position > Database_Position(&server->database) &&
        Commands_ParseNumber(work, 3) > 0) {
        park(work, position, (cbw_time_t)Commands_ParseNumber(work, 3));
        return;
    }
    reply(work, CBW_REPLY_OK, "", 0);
}

/* FENCE id term */
static void
handle_fence(client_call_t *work)
{
    server_t *server = work->client->server;
    uint64_t before = server->database.term;

    if (!Database_Fence(&server->database, Commands_ParseNumber(work, 2))) {
        reply(work, CBW_REPLY_SUPERSEDED, "", 0);
        return;
    }
    if (server->database.term != before) {
        Replica_Stop(server);
        Server_OnLogChange(server);
    }
    reply(work, CBW_REPLY_OK, "", 0);
}

/* PROMOTE id term */
static void
handle_promote(client_call_t *work)
{
    server_t *server = work->client->server;

    if (!Database_Promote(&server->database, Commands_ParseNumber(work, 2))) {
        reply(work, CBW_REPLY_SUPERSEDED, "", 0);
        return;
    }
    Replica_Stop(server);
    reply(work, CBW_REPLY_OK, "", 0);
    Server_OnLogChange(server);
}

/* FOLLOW id term address */
static void
handle_follow(client_call_t *work)
{
    server_t *server = work->client->server;
    uint64_t term = Commands_ParseNumber(work, 2);

    if (!Database_Fence(&server->database, term) ||
        (server->database.primary && server->database.term == term)) {
        reply(work, CBW_REPLY_SUPERSEDED, "", 0);
        return;
    }
    if (server->database.follows != term) {
        server->database.follows = term;
        Replica_Follow(server, term, work->words[3]);
        Server_OnLogChange(server);
    }
    reply(work, CBW_REPLY_OK, "", 0);
}

static void
send_entries(client_call_t *work, uint64_t position)
{
    const database_t *database = &work->client->server->database;
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
        size_t row = (size_t)(i - position - 1);
        snprintf(terms[row], sizeof(terms[row]), "%" PRIu64, entry->term);
        snprintf(types[row], sizeof(types[row]), "%d", (int)entry->type % 10);
        words[count++] = terms[row];
        words[count++] = types[row];
        words[count++] = entry->key;
        words[count++] = entry->statement;
        words[count++] = entry->result;
    }
    CbwResp_Send(&work->client->resp, count, words, NULL);
    g_free(words);
}

/* Answers a pull with entries, or says up to where the logs may agree. */
static void
answer_pull(client_call_t *work)
{
    const database_t *database = &work->client->server->database;
    uint64_t position = Commands_ParseNumber(work, 2);
    uint64_t last_term = Commands_ParseNumber(work, 3);
    const entry_t *entry = Database_Entry(database, position);

    if (!database->primary ||
        database->term != Commands_ParseNumber(work, 1)) {
        const char *words[] = {"superseded"};
        CbwResp_Send(&work->client->resp, 1, words, NULL);
    }
    else if (position > 0 && (entry == NULL || entry->term != last_term)) {
        char most[24];
        const char *words[] = {"mismatch", most};
        snprintf(most, sizeof(most), "%" PRIu64, Database_Position(database));
        CbwResp_Send(&work->client->resp, 2, words, NULL);
    }
    else {
        send_entries(work, position);
    }
}

/* PULL term position last_term */
static void
handle_pull(client_call_t *work)
{
    client_t *client = work->client;
    const database_t *database = &client->server->database;

    if (!client->replication) {
        client->replication = true;
        client->counted = false;
        client->server->open_connections--;
    }
    if (database->primary && database->term == Commands_ParseNumber(work, 1) &&
        Commands_ParseNumber(work, 2) == Database_Position(database) &&
        Commands_ParseNumber(work, 3) == Database_LastTerm(database)) {
        park(work, Database_Position(database) + 1, PULL_WAIT);
        return;
    }
    answer_pull(work);
}

static void
send_ok(const client_call_t *work)
{
    const char *words[] = {"ok"};

    CbwResp_Send(&work->client->resp, 1, words, NULL);
}

/* SET service_ms|slots|lag_ms|delay_ms value */
static void
handle_set(client_call_t *work)
{
    server_t *server = work->client->server;
    endpoint_settings_t *settings = &server->settings;
    const char *name = work->words[1];
    double value = strtod(work->words[2], NULL);

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
        CbwResp_SendError(&work->client->resp, "unknown setting");
        return;
    }
    send_ok(work);
}

/* FAULT words... */
static void
handle_fault(client_call_t *work)
{
    if (CbwFault_Command(work->count - 1, work->words + 1) != 0) {
        CbwResp_SendError(&work->client->resp, "fault not understood");
        return;
    }
    send_ok(work);
}

/* DUMP: term, type, key, statement and result of each entry */
static void
handle_dump(client_call_t *work)
{
    const database_t *database = &work->client->server->database;
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
    CbwResp_Send(&work->client->resp, 2, words, NULL);
    g_string_free(text, TRUE);
}

/* STATS */
static void
handle_stats(client_call_t *work)
{
    const endpoint_stats_t *stats = &work->client->server->stats;
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
    CbwResp_Send(&work->client->resp, 10, words, NULL);
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
Commands_Find(const client_call_t *work)
{
    for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
        const command_t *command = &commands[i];
        if (work->count > 0 && strcmp(work->words[0], command->name) == 0 &&
            (command->words == 0 || command->words == work->count)) {
            return command;
        }
    }
    return NULL;
}

void
Commands_AnswerLongPoll(client_call_t *work)
{
    if (strcmp(work->words[0], "PULL") == 0) {
        answer_pull(work);
    }
    else {
        reply(work, CBW_REPLY_OK, "", 0);
    }
}
