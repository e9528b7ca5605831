#include "caller.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "share/net.h"
#include "share/reaper.h"

#define STATEMENT_MAX 256
#define WORDS_MAX 16
/* Delay before a retry. */
#define RETRY_DELAY (10 * Cbw_MSEC)
/* Maximum number of arrivals that wait for a session. Further ones are
 * discarded and not reported. */
#define BACKLOG_MAX 200000

typedef struct session session_t;

typedef struct {
    cbw_link_t link;
    callers_t *callers;
    size_t entry;
    cbw_resp_t resp;
    session_t *session; /* whose request is in flight; NULL: idle */
    bool connected;
    bool draining; /* of the entry host: do not reuse the connection */
    bool closed;   /* freed when no callback is running */
} connection_t;

/* A request that waits for a session. */
typedef struct {
    cbw_link_t link;
    load_kind_t *kind;
    cbw_time_t intended_start;
} arrival_t;

/* The steps of a transaction. */
typedef enum { STEP_BEGIN, STEP_FIRST, STEP_SECOND, STEP_COMMIT } step_t;

struct session {
    cbw_link_t link; /* in the list of idle or of busy sessions */
    callers_t *callers;
    uint64_t number;
    size_t database;
    char last_token[Cbw_TOKEN_MAX];
    uint64_t sequence; /* of its latest write */
    connection_t *connection;

    /* The request in flight. */
    load_kind_t *kind;
    cbw_time_t intended_start;
    cbw_time_t sent_at;  /* of the first attempt */
    cbw_time_t deadline; /* of this attempt */
    cbw_time_t retry_at; /* 0: no retry is scheduled */
    int attempts;
    step_t step;
    char key[Cbw_KEY_MAX];
    char statement[STATEMENT_MAX];
    /* An earlier attempt without a definite outcome may have been executed. */
    bool maybe_executed;
};

static cbw_link_t busy_sessions;

static cbw_time_t
elapsed(const callers_t *callers)
{
    return CbwNet_Now() - callers->start_time;
}

void
Caller_Init(callers_t *callers)
{
    for (size_t i = 0; i < callers->entry_count; i++) {
        CbwList_Init(&callers->idle_connections[i]);
    }
    for (size_t i = 0; i < callers->database_count; i++) {
        CbwList_Init(&callers->idle_sessions[i]);
        CbwList_Init(&callers->backlog[i]);
    }
    CbwList_Init(&busy_sessions);
}

/* Connections. */

static void on_reply(session_t *session, const cbw_resp_message_t *message);
static void on_attempt_failed(session_t *session);

static void
free_connection(void *object)
{
    connection_t *connection = object;

    CbwResp_Finish(&connection->resp);
    free(connection);
}

static void
close_connection(connection_t *connection)
{
    if (connection->closed) {
        return;
    }
    connection->closed = true;
    CbwList_Remove(&connection->link);
    CbwResp_Close(&connection->resp);
    CbwReaper_Defer(free_connection, connection);
}

static void
on_message(cbw_resp_t *resp, const cbw_resp_message_t *message)
{
    connection_t *connection = resp->context;
    session_t *session = connection->session;

    if (connection->closed || session == NULL) {
        return;
    }
    on_reply(session, message);
}

static void
on_close(cbw_resp_t *resp, const char *reason)
{
    connection_t *connection = resp->context;
    session_t *session = connection->session;

    (void)reason;
    close_connection(connection);
    if (session == NULL) {
        return;
    }
    session->connection = NULL;
    if (!connection->connected &&
        elapsed(connection->callers) < session->deadline) {
        /* Nothing was sent: retries with a random entry, as behind a load
         * balancer, without counting the attempt. */
        session->attempts--;
        session->retry_at = elapsed(connection->callers) + RETRY_DELAY;
        return;
    }
    on_attempt_failed(session);
}

static void
on_connected(cbw_resp_t *resp)
{
    connection_t *connection = resp->context;

    connection->connected = true;
}

static const cbw_resp_ops_t resp_ops = {
    .on_connected = on_connected,
    .on_message = on_message,
    .on_close = on_close,
};

static connection_t *
open_connection(callers_t *callers, size_t entry)
{
    connection_t *connection = calloc(1, sizeof(*connection));

    if (connection == NULL) {
        abort();
    }
    CbwList_Init(&connection->link);
    connection->callers = callers;
    connection->entry = entry;
    if (CbwResp_Connect(&connection->resp, callers->loop, callers->local_ip,
                        callers->entries[entry], &CbwResp_ClientLimits,
                        &resp_ops, connection, NULL) != 0) {
        free(connection);
        return NULL;
    }
    return connection;
}

/* Returns an idle or a new connection to a random entry host: sessions are not
 * bound to an entry. Returns NULL when the socket cannot be opened. */
static connection_t *
take_connection(callers_t *callers)
{
    size_t entry =
        (size_t)CbwRandom_Below(&callers->random, callers->entry_count);
    cbw_link_t *link = CbwList_TakeFirst(&callers->idle_connections[entry]);

    if (link != NULL) {
        return Cbw_LIST_ITEM(link, connection_t, link);
    }
    return open_connection(callers, entry);
}

/* Returns the session's connection to the list of idle ones. */
static void
return_connection(session_t *session)
{
    connection_t *connection = session->connection;

    session->connection = NULL;
    if (connection == NULL || connection->closed) {
        return;
    }
    connection->session = NULL;
    if (connection->draining) {
        close_connection(connection);
        return;
    }
    CbwList_Prepend(&session->callers->idle_connections[connection->entry],
                    &connection->link);
}

/* Requests. */

/* Each session uses an account of its own, so that its reads can be checked
 * against its writes. */
static void
format_statement(session_t *session)
{
    char *text = session->statement;

    switch (session->kind->type) {
    case WORK_WRITE:
        snprintf(text, STATEMENT_MAX, "put account.%s.%" PRIu64 " %" PRIu64,
                 session->callers->label, session->number, session->sequence);
        break;
    case WORK_READ:
    case WORK_READ_ANY:
        snprintf(text, STATEMENT_MAX, "get account.%s.%" PRIu64,
                 session->callers->label, session->number);
        break;
    case WORK_TRANSACTION:
        snprintf(text, STATEMENT_MAX, "put pair.%s.%" PRIu64 ".%s %" PRIu64,
                 session->callers->label, session->number,
                 session->step == STEP_FIRST ? "a" : "b", session->sequence);
        break;
    }
}

static void
send_request(session_t *session)
{
    callers_t *callers = session->callers;
    work_type_t type = session->kind->type;
    const char *words[WORDS_MAX];
    int count = 0;

    format_statement(session);
    if (type == WORK_TRANSACTION && session->step == STEP_BEGIN) {
        words[count++] = "BEGIN";
    }
    else if (type == WORK_TRANSACTION && session->step == STEP_COMMIT) {
        words[count++] = "COMMIT";
    }
    else {
        words[count++] = "STMT";
    }
    words[count++] = callers->databases[session->database];
    words[count++] = session->kind->name;
    if (words[0][0] == 'S') { /* STMT */
        words[count++] = session->statement;
    }
    if (type == WORK_WRITE || words[0][0] == 'C') { /* COMMIT */
        words[count++] = "KEY";
        words[count++] = session->key;
    }
    if (type == WORK_READ && session->last_token[0] != '\0') {
        words[count++] = "TOKEN";
        words[count++] = session->last_token;
    }
    if (type == WORK_WRITE && session->maybe_executed) {
        words[count++] = "AGAIN";
        words[count++] = "1";
    }
    session->deadline = elapsed(callers) + callers->reply_timeout;
    CbwResp_Send(&session->connection->resp, count, words, NULL);
}

static void
begin_attempt(session_t *session)
{
    session->retry_at = 0;
    session->attempts++;
    session->step = STEP_BEGIN;
    session->connection = take_connection(session->callers);
    if (session->connection == NULL) {
        on_attempt_failed(session);
        return;
    }
    session->connection->session = session;
    send_request(session);
}

/* Writes one line with the tab-separated fields start, end, session, database,
 * kind, type, request key, statement, outcome, result, the session's token
 * before the reply, the token of the reply, and attempts. */
static void
write_journal(const session_t *session, cbw_outcome_t outcome,
              const char *result, const char *token)
{
    const callers_t *callers = session->callers;

    if (callers->journal == NULL) {
        return;
    }
    fprintf(callers->journal,
            "%" PRId64 "\t%" PRId64 "\t%" PRIu64 "\t%s\t%s\t%s\t%s\t%s\t%s\t"
            "%s\t%s\t%s\t%d\n",
            session->sent_at, elapsed(callers), session->number,
            callers->databases[session->database], session->kind->name,
            Load_WorkTypeString[session->kind->type], session->key,
            session->statement,
            outcome == CBW_OUTCOME_PENDING ? "noanswer"
                                           : CbwRequest_OutcomeString[outcome],
            result, session->last_token, token, session->attempts);
}

static void start_next_request(session_t *session);

static void
finish_request(session_t *session, cbw_outcome_t outcome, const char *result,
               const char *token)
{
    callers_t *callers = session->callers;
    cbw_time_t now = elapsed(callers);

    write_journal(session, outcome, result, token);
    if (outcome == CBW_OUTCOME_DONE && token[0] != '\0') {
        snprintf(session->last_token, sizeof(session->last_token), "%s",
                 token);
    }
    Load_Record(session->kind, session->intended_start, now, outcome,
                session->intended_start >= callers->measure_start &&
                    session->intended_start < callers->stop_time);
    return_connection(session);
    CbwList_Remove(&session->link);
    callers->in_flight--;
    start_next_request(session);
}

/* The attempt ended without an outcome: no valid reply, or no connection.
 * Retries under the same request key, unless the attempts are used up.
 * Transactions are not retried. */
static void
on_attempt_failed(session_t *session)
{
    callers_t *callers = session->callers;

    if (session->connection != NULL) {
        connection_t *connection = session->connection;
        connection->session = NULL;
        session->connection = NULL;
        close_connection(connection);
    }
    session->maybe_executed = true;
    if (session->kind->type == WORK_TRANSACTION ||
        session->attempts >= callers->attempts_max) {
        finish_request(session, CBW_OUTCOME_PENDING, "", "");
        return;
    }
    session->retry_at = elapsed(callers) + RETRY_DELAY;
}

static cbw_outcome_t
parse_outcome(const char *word)
{
    for (int i = CBW_OUTCOME_DONE; i <= CBW_OUTCOME_UNKNOWN; i++) {
        if (strcmp(word, CbwRequest_OutcomeString[i]) == 0) {
            return (cbw_outcome_t)i;
        }
    }
    return CBW_OUTCOME_UNKNOWN;
}

static void
on_reply(session_t *session, const cbw_resp_message_t *message)
{
    cbw_outcome_t outcome;

    if (message->is_error || message->count < 4) {
        on_attempt_failed(session);
        return;
    }
    outcome = parse_outcome(message->words[0]);
    /* A fifth word means that the entry host is draining. */
    session->connection->draining = message->count > 4;
    if (outcome == CBW_OUTCOME_UNKNOWN &&
        session->kind->type != WORK_TRANSACTION &&
        session->attempts < session->callers->attempts_max) {
        return_connection(session);
        session->maybe_executed = true;
        session->retry_at = elapsed(session->callers) + RETRY_DELAY;
        return;
    }
    if (session->kind->type == WORK_TRANSACTION &&
        session->step != STEP_COMMIT && outcome == CBW_OUTCOME_DONE) {
        session->step++;
        send_request(session);
        return;
    }
    finish_request(session, outcome, message->words[1], message->words[2]);
}

/* Sessions. */

static void
start_request(session_t *session, load_kind_t *kind, cbw_time_t intended_start)
{
    callers_t *callers = session->callers;

    session->kind = kind;
    session->intended_start = intended_start;
    session->sent_at = elapsed(callers);
    session->attempts = 0;
    session->maybe_executed = false;
    session->key[0] = '\0';
    if (kind->type == WORK_WRITE || kind->type == WORK_TRANSACTION) {
        session->sequence++;
        snprintf(session->key, sizeof(session->key),
                 "%" PRIx64 "-%" PRIu64 "-%" PRIu64, callers->run_id,
                 session->number, session->sequence);
    }
    CbwList_Append(&busy_sessions, &session->link);
    callers->in_flight++;
    begin_attempt(session);
}

static session_t *
new_session(callers_t *callers, size_t database)
{
    session_t *session = calloc(1, sizeof(*session));

    if (session == NULL) {
        abort();
    }
    CbwList_Init(&session->link);
    session->callers = callers;
    session->number = ++callers->session_count;
    session->database = database;
    callers->session_counts[database]++;
    return session;
}

static void
start_next_request(session_t *session)
{
    callers_t *callers = session->callers;
    cbw_link_t *link = CbwList_TakeFirst(&callers->backlog[session->database]);
    arrival_t *arrival;

    if (link == NULL) {
        CbwList_Append(&callers->idle_sessions[session->database],
                       &session->link);
        return;
    }
    callers->backlog_count--;
    arrival = Cbw_LIST_ITEM(link, arrival_t, link);
    start_request(session, arrival->kind, arrival->intended_start);
    free(arrival);
}

void
Caller_SubmitRequest(callers_t *callers, load_kind_t *kind,
                     cbw_time_t intended_start)
{
    size_t database =
        (size_t)CbwRandom_Below(&callers->random, callers->database_count);
    cbw_link_t *link;
    arrival_t *arrival;

    /* Creates sessions up to the limit before reusing an idle one. */
    if (callers->session_counts[database] < callers->session_limit) {
        start_request(new_session(callers, database), kind, intended_start);
        return;
    }
    link = CbwList_TakeFirst(&callers->idle_sessions[database]);
    if (link != NULL) {
        start_request(Cbw_LIST_ITEM(link, session_t, link), kind,
                      intended_start);
        return;
    }
    if (callers->backlog_count >= BACKLOG_MAX) {
        return;
    }
    arrival = calloc(1, sizeof(*arrival));
    if (arrival == NULL) {
        abort();
    }
    arrival->kind = kind;
    arrival->intended_start = intended_start;
    CbwList_Init(&arrival->link);
    CbwList_Append(&callers->backlog[database], &arrival->link);
    callers->backlog_count++;
}

void
Caller_Tick(callers_t *callers)
{
    cbw_time_t now = elapsed(callers);
    cbw_link_t *link;
    cbw_link_t *safe;

    Cbw_LIST_FOREACH (&busy_sessions, link, safe) {
        session_t *session = Cbw_LIST_ITEM(link, session_t, link);
        if (session->retry_at != 0) {
            if (now >= session->retry_at) {
                begin_attempt(session);
            }
        }
        else if (now >= session->deadline) {
            on_attempt_failed(session);
        }
    }
}
