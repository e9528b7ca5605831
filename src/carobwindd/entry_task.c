/* The entry task: accepts callers' connections over RESP and submits their
 * requests to the router. A session has at most one request in flight, so its
 * answers come in the order of its requests. */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "caller_protocol.h"
#include "carobwind/admission.h"
#include "carobwind/log.h"
#include "client_limits.h"
#include "messages.h"
#include "share/fault.h"
#include "share/reaper.h"
#include "share/resp.h"
#include "share/tick.h"

#define TICK_SECONDS 0.05
/* During a drain, a session is closed once the drain has lasted, and the
 * session has been idle, for longer than this. */
#define DRAIN_CLOSE_DELAY (300 * Cbw_MSEC)

typedef struct {
    cbw_link_t link;
    cbw_resp_t resp;
    cbw_memory_account_t account;
    job_t *job;           /* in flight; NULL: none */
    bool closed;          /* freed once `job` is answered */
    uint64_t transaction; /* the open one; 0: none */
    char transaction_database[Cbw_NAME_MAX];
    char transaction_kind[Cbw_NAME_MAX];
    char transaction_host[Cbw_NAME_MAX];
    cbw_time_t idle_since; /* accepted, or last answered */
} session_t;

typedef struct {
    daemon_t *daemon;
    config_t *config;
    cbw_admission_t *admissions; /* by the database's index in `config` */
    cbw_link_t sessions;
    size_t jobs_in_flight;
    uint64_t next_id; /* for keys and traces */
    bool draining;
    cbw_time_t drain_started_at;
    client_listener_t listener;
    ev_timer timer;
} entry_task_t;

static entry_task_t self;

static void
free_session(void *object)
{
    session_t *session = object;

    CbwResp_Finish(&session->resp);
    CbwMemoryAccount_Close(&session->account);
    free(session);
}

static void submit(session_t *session, job_t *job);

/* Rolls back the transaction of a caller that disconnected. */
static void
send_rollback(session_t *session)
{
    job_t *job = Job_New();
    cbw_request_t *request = &job->request;

    request->verb = CBW_VERB_ROLLBACK;
    memcpy(request->database, session->transaction_database, Cbw_NAME_MAX);
    memcpy(request->kind_name, session->transaction_kind, Cbw_NAME_MAX);
    request->transaction = session->transaction;
    request->arrived_at = CbwNet_Now();
    request->deadline = request->arrived_at + 2 * Cbw_SEC;
    memcpy(job->host, session->transaction_host, Cbw_NAME_MAX);
    session->transaction = 0;
    job->reply_to = TASK_ENTRY;
    self.jobs_in_flight++;
    Task_Post(TASK_ENTRY, TASK_ROUTER, MESSAGE_JOB, &job->message);
}

static void
end_session(session_t *session)
{
    if (!session->closed) {
        session->closed = true;
        CbwResp_Close(&session->resp);
        CbwList_Remove(&session->link);
        CbwAcceptor_Release(&self.listener.acceptor);
    }
    if (session->job != NULL) {
        return; /* its answer ends the session */
    }
    if (session->transaction != 0) {
        send_rollback(session);
    }
    CbwReaper_Defer(free_session, session);
}

/* Sends the answer: outcome, result or reason, token and trace id. While this
 * host drains it adds "closing", which asks the caller to use another
 * connection. */
static void
send_answer(session_t *session, const cbw_request_t *request)
{
    const cbw_answer_t *answer = &request->answer;
    char reason[160];
    const char *words[] = {CbwRequest_OutcomeString[answer->outcome], reason,
                           answer->token, request->trace, "closing"};
    size_t sizes[5];
    int count = self.draining ? 5 : 4;

    if (answer->retry_after > 0) {
        snprintf(reason, sizeof(reason), "%s; retry after %" PRId64 " ms",
                 answer->reason, answer->retry_after / Cbw_MSEC + 1);
    }
    else {
        snprintf(reason, sizeof(reason), "%s", answer->reason);
    }
    for (int i = 0; i < count; i++) {
        sizes[i] = strlen(words[i]);
    }
    if (answer->outcome == CBW_OUTCOME_DONE) {
        words[1] = answer->result != NULL ? answer->result : "";
        sizes[1] = answer->result_size;
    }
    CbwResp_Send(&session->resp, count, words, sizes);
}

static void
count_outcome(cbw_outcome_t outcome)
{
    static const cbw_counter_id_t counters[] = {
        /* Not reached: the router retries pending requests. */
        [CBW_OUTCOME_PENDING] = CBW_COUNTER_UNKNOWN,
        [CBW_OUTCOME_DONE] = CBW_COUNTER_DONE,
        [CBW_OUTCOME_NOTRUN] = CBW_COUNTER_NOTRUN,
        [CBW_OUTCOME_UNKNOWN] = CBW_COUNTER_UNKNOWN,
    };

    CbwCounter_Add(&self.daemon->counters, counters[outcome], 1);
}

/* Updates the session's transaction from the answer to one of its requests. A
 * statement that the endpoint refused leaves the transaction open; it is
 * recognized by the reason that the owner gives (owner_reply.c). */
static void
track_transaction(session_t *session, const job_t *job)
{
    const cbw_request_t *request = &job->request;
    bool done = request->answer.outcome == CBW_OUTCOME_DONE;

    if (request->transaction == 0) {
        return;
    }
    if (request->verb == CBW_VERB_BEGIN && done) {
        session->transaction = request->transaction;
        memcpy(session->transaction_database, request->database, Cbw_NAME_MAX);
        memcpy(session->transaction_kind, request->kind_name, Cbw_NAME_MAX);
        memcpy(session->transaction_host, job->host, Cbw_NAME_MAX);
    }
    else if (request->verb != CBW_VERB_STATEMENT ||
             (!done && strcmp(request->answer.reason,
                              "the endpoint refused the statement") != 0)) {
        session->transaction = 0;
    }
}

static void
update_admission(const job_t *job)
{
    const cbw_database_t *database;

    if (self.config == NULL || job->admission_count == 0) {
        return;
    }
    database = CbwInventory_FindDatabase(&self.config->inventory,
                                         job->request.database);
    if (database != NULL) {
        CbwAdmission_Update(
            &self.admissions[database - self.config->inventory.databases],
            CbwNet_Now(), job->admission, job->admission_count);
    }
}

/* Continues with the caller's requests, unless it does not read its answers.
 */
static void
resume_if_read(session_t *session)
{
    if (session->job == NULL &&
        !CbwStream_IsOutputFull(&session->resp.stream)) {
        CbwResp_Resume(&session->resp);
    }
}

static void
finish_job(session_t *session, job_t *job)
{
    cbw_time_t now = CbwNet_Now();

    count_outcome(job->request.answer.outcome);
    CbwTrace_Add(&self.daemon->traces, job->request.trace, CBW_HOP_ENTRY,
                 job->request.arrived_at, now,
                 CbwRequest_OutcomeString[job->request.answer.outcome]);
    track_transaction(session, job);
    session->job = NULL;
    session->idle_since = now;
    CbwMemoryAccount_Set(&session->account, CBW_MEMORY_STATEMENTS, 0);
    CbwMemoryAccount_OnAnswer(&session->account,
                              session->transaction != 0
                                  ? CBW_CLIENT_IN_TRANSACTION
                                  : CBW_CLIENT_IDLE,
                              now);
    if (session->closed) {
        Job_Free(job);
        end_session(session);
        return;
    }
    send_answer(session, &job->request);
    Job_Free(job);
    resume_if_read(session);
}

static void
on_job_done(job_t *job)
{
    self.jobs_in_flight--;
    update_admission(job);
    if (job->origin == NULL) {
        Job_Free(job); /* the rollback of a closed session */
        return;
    }
    finish_job(job->origin, job);
}

/* Requests. */

static void
refuse(session_t *session, job_t *job, const char *reason,
       cbw_time_t retry_after)
{
    CbwRequest_End(&job->request, CBW_OUTCOME_NOTRUN, reason);
    job->request.answer.retry_after = retry_after;
    finish_job(session, job);
}

/* Formats an id that is unique among all hosts and their restarts. */
static void
format_unique_id(char *text, size_t size, char prefix)
{
    snprintf(text, size, "%c%" PRIx64 "-%" PRIx64, prefix, self.daemon->nonce,
             ++self.next_id);
}

static bool
admit(const cbw_database_t *database, const cbw_kind_t *kind)
{
    cbw_admission_t *admission =
        &self.admissions[database - self.config->inventory.databases];

    return CbwAdmission_Admit(admission, CbwNet_Now(), kind->rank);
}

/* Checks whether the session's transaction permits the request. If so, sets
 * the request's transaction and, while one is open, the job's host. Returns
 * the reason to refuse the request, or NULL. */
static const char *
check_transaction(session_t *session, job_t *job)
{
    cbw_request_t *request = &job->request;

    if (request->verb == CBW_VERB_BEGIN) {
        if (session->transaction != 0) {
            return "a transaction is open";
        }
        request->transaction = Job_NewTransaction(self.daemon);
        return NULL;
    }
    if (session->transaction == 0) {
        return request->verb == CBW_VERB_STATEMENT ? NULL
                                                   : "no transaction is open";
    }
    if (strcmp(request->database, session->transaction_database) != 0) {
        return "the open transaction is of another database";
    }
    request->transaction = session->transaction;
    memcpy(job->host, session->transaction_host, Cbw_NAME_MAX);
    return NULL;
}

static void
submit(session_t *session, job_t *job)
{
    cbw_request_t *request = &job->request;
    cbw_time_t now = CbwNet_Now();
    const cbw_database_t *database;
    const cbw_kind_t *kind;
    const char *problem;

    request->arrived_at = now;
    if (request->trace[0] == '\0') {
        format_unique_id(request->trace, sizeof(request->trace), 't');
    }
    if (self.config == NULL) {
        refuse(session, job, "this host has no configuration yet",
               Cbw_ADMISSION_RETRY_AFTER);
        return;
    }
    database =
        CbwInventory_FindDatabase(&self.config->inventory, request->database);
    kind = CbwInventory_FindKind(&self.config->inventory, request->kind_name);
    if (database == NULL || kind == NULL) {
        refuse(session, job,
               database == NULL ? "unknown database" : "unknown kind of work",
               0);
        return;
    }
    request->age = request->age < 0 ? kind->age : request->age;
    request->deadline =
        now + (request->deadline < 0 ? kind->deadline : request->deadline);
    problem = check_transaction(session, job);
    if (problem != NULL) {
        refuse(session, job, problem, 0);
        return;
    }
    if ((request->transaction == 0 || request->verb == CBW_VERB_BEGIN) &&
        !request->maybe_sent && !admit(database, kind)) {
        CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_REFUSED_AT_ENTRY,
                       1);
        refuse(session, job, "the owner admits no more of this rank now",
               Cbw_ADMISSION_RETRY_AFTER);
        return;
    }
    if ((kind->writes || request->verb == CBW_VERB_COMMIT) &&
        request->key[0] == '\0') {
        format_unique_id(request->key, sizeof(request->key), 'k');
    }
    job->origin = session;
    job->reply_to = TASK_ENTRY;
    self.jobs_in_flight++;
    Task_Post(TASK_ENTRY, TASK_ROUTER, MESSAGE_JOB, &job->message);
}

static void
start_job(session_t *session, job_t *job)
{
    CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_REQUESTS, 1);
    session->job = job;
    CbwMemoryAccount_OnMessage(&session->account, CBW_CLIENT_BUSY,
                               CbwNet_Now());
    CbwMemoryAccount_Set(&session->account, CBW_MEMORY_STATEMENTS,
                         job->request.statement_size);
    CbwResp_Pause(&session->resp);
    submit(session, job);
}

static void
reject(session_t *session, const char *reason)
{
    CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_MALFORMED, 1);
    CbwResp_Reject(&session->resp, reason);
}

static void
send_word(session_t *session, const char *word)
{
    const char *words[] = {word};

    CbwResp_Send(&session->resp, 1, words, NULL);
    CbwMemoryAccount_OnMessage(&session->account,
                               session->transaction != 0
                                   ? CBW_CLIENT_IN_TRANSACTION
                                   : CBW_CLIENT_IDLE,
                               CbwNet_Now());
    if (CbwStream_IsOutputFull(&session->resp.stream)) {
        CbwResp_Pause(&session->resp);
    }
}

static void
on_message(cbw_resp_t *resp, const cbw_resp_message_t *message)
{
    session_t *session = resp->context;
    job_t *job = Job_New();
    cbw_error_t error;

    switch (CallerProtocol_Parse(message->count, message->words,
                                 message->sizes, &job->request, &error)) {
    case CALLER_REQUEST:
        start_job(session, job);
        return;
    case CALLER_PING:
        send_word(session, "pong");
        break;
    case CALLER_FAULT:
        if (CbwFault_Command(message->count - 1, message->words + 1) == 0) {
            send_word(session, "ok");
        }
        else {
            reject(session, "faults are not enabled, or not understood");
        }
        break;
    default:
        reject(session, error.text);
        break;
    }
    Job_Free(job);
}

static void
on_malformed(cbw_resp_t *resp, const char *reason)
{
    reject(resp->context, reason);
}

static void
on_close(cbw_resp_t *resp, const char *reason)
{
    (void)reason;
    end_session(resp->context);
}

static void
on_drained(cbw_resp_t *resp)
{
    resume_if_read(resp->context);
}

static const cbw_resp_ops_t session_ops = {
    .on_message = on_message,
    .on_malformed = on_malformed,
    .on_close = on_close,
    .on_drained = on_drained,
};

static void
on_accept(void *context, int fd, const char *ip)
{
    session_t *session = calloc(1, sizeof(*session));

    (void)context;
    if (session == NULL) {
        abort();
    }
    CbwList_Init(&session->link);
    CbwList_Append(&self.sessions, &session->link);
    CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_SESSIONS, 1);
    if (CbwResp_Accept(&session->resp, self.daemon->loop, fd, ip,
                       &CbwResp_ServerLimits, &session_ops, session) != 0) {
        abort();
    }
    session->idle_since = CbwNet_Now();
    ClientLimits_Open(&session->account, &session->resp.stream,
                      CBW_PORT_CALLERS);
    /* RESP callers may open connections before they need them. */
    session->account.lazy_start = true;
}

static void
on_config(config_message_t *message)
{
    size_t count = message->config->inventory.database_count;

    Config_Unref(self.config);
    self.config = message->config;
    free(self.admissions);
    self.admissions = calloc(count + 1, sizeof(*self.admissions));
    if (self.admissions == NULL) {
        abort();
    }
    free(message);
}

/* Graceful shutdown: accepts the connections that are in the listener's
 * backlog, then no new ones, and closes idle sessions. */

static void
start_drain(void)
{
    self.draining = true;
    self.drain_started_at = CbwNet_Now();
    CbwAcceptor_Close(&self.listener.acceptor);
}

static void
close_idle_sessions(cbw_time_t now)
{
    cbw_link_t *link;
    cbw_link_t *safe;

    Cbw_LIST_FOREACH (&self.sessions, link, safe) {
        session_t *session = Cbw_LIST_ITEM(link, session_t, link);
        if (session->job == NULL && session->transaction == 0 &&
            now - session->idle_since > DRAIN_CLOSE_DELAY &&
            !session->resp.stream.close_when_written) {
            CbwStream_CloseWhenWritten(&session->resp.stream);
        }
    }
}

static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
    cbw_time_t now = CbwNet_Now();

    (void)loop;
    (void)watcher;
    (void)events;
    if (self.draining && now - self.drain_started_at > DRAIN_CLOSE_DELAY) {
        close_idle_sessions(now);
    }
}

static void
report_busy(message_t *request)
{
    report_message_t *report =
        Cbw_LIST_ITEM(request, report_message_t, message);

    report->busy_count = self.listener.acceptor.count + self.jobs_in_flight;
    Task_Post(TASK_ENTRY, TASK_MAIN, MESSAGE_DRAIN_REPORT, request);
}

static void
handle(void *state, message_t *message)
{
    (void)state;
    switch (message->type) {
    case MESSAGE_JOB_DONE:
        on_job_done(Cbw_LIST_ITEM(message, job_t, message));
        break;
    case MESSAGE_CONFIG:
        on_config(Cbw_LIST_ITEM(message, config_message_t, message));
        break;
    case MESSAGE_DRAIN:
        start_drain();
        free(message);
        break;
    case MESSAGE_DRAIN_REPORT:
        report_busy(message);
        break;
    default:
        break;
    }
}

int
EntryTask_Start(daemon_t *daemon, cbw_error_t *error)
{
    self.daemon = daemon;
    CbwList_Init(&self.sessions);
    Task_Register(daemon->loop, TASK_ENTRY, handle, NULL);
    CbwTick_Init(&self.timer, on_tick, TICK_SECONDS, TICK_SECONDS);
    ev_timer_start(daemon->loop, &self.timer);
    return ClientLimits_Listen(&self.listener, CBW_PORT_CALLERS,
                               daemon->settings.callers_address, on_accept,
                               NULL, error);
}
