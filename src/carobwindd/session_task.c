/* The session task: runs as TASK_ENTRY, in place of the entry task, unless
 * callers speak RESP. Each connection is one session, which has at most one
 * statement in flight.
 *
 * What a caller names as its database when it starts a session is the name of
 * a kind, which is routed to a database; the platform calls the latter a
 * service. In this task's log lines, `database=` is the name that the caller
 * gave and `service=` is the database. */

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cancel.h"
#include "carobwind/log.h"
#include "carobwind/plugin.h"
#include "drivers.h"
#include "session_task.h"
#include "share/reaper.h"
#include "share/tick.h"

#define TICK_SECONDS 0.1
/* New sessions are accepted for at least this long after a drain began. The
 * load balancer sends callers until then: it checks readiness once a second
 * and takes a host out after two failed checks. */
#define DRAIN_LISTEN_TIME (2200 * Cbw_MSEC)
/* A session that names an unknown kind or key waits this long before it is
 * refused: the configuration that has it may not have arrived yet. */
#define ACCESS_WAIT (1500 * Cbw_MSEC)

static session_task_t self;

static void read_messages(session_t *session);

static void
free_session(void *object)
{
    session_t *session = object;

    CbwMemoryAccount_Close(&session->account);
    CbwSession_Finish(&session->session);
    g_string_free(session->input, TRUE);
    free(session);
}

/* Returns the kind called `name`, or NULL. */
static const cbw_kind_t *
find_kind(const char *name)
{
    return self.config != NULL
               ? CbwInventory_FindKind(&self.config->inventory, name)
               : NULL;
}

/* Sends a rollback to the owner; no session waits for the answer. */
static void
send_rollback(const session_t *session, uint64_t transaction)
{
    job_t *job = Job_New();
    cbw_request_t *request = &job->request;

    request->verb = CBW_VERB_ROLLBACK;
    memcpy(request->workspace, session->access.workspace, Cbw_NAME_MAX);
    memcpy(request->database, session->routed_database, Cbw_NAME_MAX);
    CbwRequest_SetStatement(request, "", 0);
    request->transaction = transaction;
    request->arrived_at = CbwNet_Now();
    request->deadline = request->arrived_at + 2 * Cbw_SEC;
    memcpy(job->host, session->host, Cbw_NAME_MAX);
    job->reply_to = TASK_ENTRY;
    self.jobs_in_flight++;
    Task_Post(TASK_ENTRY, TASK_ROUTER, MESSAGE_JOB, &job->message);
}

static void
end_session(session_t *session)
{
    if (!session->closed) {
        if (session->job != NULL) {
            Cancel_Post(session->job);
        }
        session->closed = true;
        CbwStream_Close(&session->stream);
        CbwList_Remove(&session->link);
        CbwAcceptor_Release(&self.listener.acceptor);
    }
    if (session->job != NULL) {
        return; /* its answer ends the session */
    }
    if (session->session.begun) {
        send_rollback(session, session->session.transaction);
    }
    CbwReaper_Defer(free_session, session);
}

static void
write_answer(session_t *session, const caller_answer_t *answer)
{
    GString *out = g_string_sized_new(256);

    self.driver->encode_answer(out, answer);
    CbwStream_Write(&session->stream, out->str, out->len);
    g_string_free(out, TRUE);
    session->last_active_at = CbwNet_Now();
}

/* Answers a statement that does not go to an owner. */
static void
answer_locally(session_t *session, cbw_cause_t cause, const char *reason)
{
    caller_answer_t answer = {.cause = cause,
                              .reason = reason,
                              .state = session->session.state,
                              .token = ""};

    write_answer(session, &answer);
}

/* Answers a statement that was not planned, or whose plan cannot be carried
 * out. */
static void
refuse_statement(session_t *session, cbw_cause_t cause, const char *reason)
{
    CbwSession_Fail(&session->session);
    answer_locally(session, cause, reason);
}

/* Answers from owners. */

static void
finish_job(session_t *session, job_t *job)
{
    const cbw_request_t *request = &job->request;
    caller_answer_t answer = {.token = request->answer.token};

    SessionReport_CountOutcome(self.daemon, request->answer.outcome);
    CbwLatency_Add(&self.daemon->latencies, CBW_LATENCY_REQUEST, request->rank,
                   CbwNet_Now() - request->arrived_at);
    SessionReport_LogFailure(session, request, job->host);
    memcpy(session->host, job->host, Cbw_NAME_MAX);
    if (CbwSession_OnAnswer(&session->session, request)) {
        send_rollback(session, request->transaction);
    }
    session->job = NULL;
    CbwMemoryAccount_Set(&session->account, CBW_MEMORY_STATEMENTS, 0);
    CbwMemoryAccount_OnAnswer(&session->account, SessionLimits_State(session),
                              CbwNet_Now());
    if (session->closed) {
        Job_Free(job);
        end_session(session);
        return;
    }
    if (request->answer.outcome == CBW_OUTCOME_DONE) {
        answer.result =
            request->answer.result != NULL ? request->answer.result : "";
        answer.result_size = request->answer.result_size;
    }
    else {
        answer.cause = request->answer.cause != CBW_CAUSE_NONE
                           ? request->answer.cause
                           : CBW_CAUSE_IN_DOUBT;
        answer.reason = request->answer.reason;
        answer.retry_after = request->answer.retry_after;
    }
    answer.state = session->session.state;
    write_answer(session, &answer);
    Job_Free(job);
    if (!SessionAccess_MayContinue(&self, session)) {
        SessionAccess_Close(&self, session);
        return;
    }
    if (SessionDrain_ShouldClose(&self, session)) {
        CbwStream_CloseWhenWritten(&session->stream);
        return;
    }
    read_messages(session);
}

static void
on_job_done(job_t *job)
{
    self.jobs_in_flight--;
    if (job->origin == NULL) {
        Job_Free(job); /* a rollback that no session waits for */
        return;
    }
    finish_job(job->origin, job);
}

/* Statements. */

static bool
fill_request(session_t *session, cbw_request_t *request)
{
    const cbw_kind_t *kind = find_kind(session->access.kind);
    cbw_time_t now = CbwNet_Now();

    if (kind == NULL) {
        return false;
    }
    request->rank = kind->rank;
    request->rule = kind->rule;
    request->age = kind->age;
    request->target = kind->target;
    request->arrived_at = now;
    request->deadline = now + kind->deadline;
    request->config_version = self.config->inventory.version;
    snprintf(request->kind_name, sizeof(request->kind_name), "%s", kind->name);
    memcpy(request->workspace, session->access.workspace, Cbw_NAME_MAX);
    /* A transaction stays on the database where it began: a changed route of
     * the kind applies from the next transaction on. */
    if (request->transaction == 0 || request->begins) {
        memcpy(session->routed_database, kind->database, Cbw_NAME_MAX);
    }
    memcpy(request->database, session->routed_database, Cbw_NAME_MAX);
    memcpy(request->token, session->session.token, Cbw_TOKEN_MAX);
    return true;
}

static void
submit(session_t *session, job_t *job)
{
    if (job->request.transaction != 0 && !job->request.begins) {
        memcpy(job->host, session->host, Cbw_NAME_MAX);
    }
    else if (self.config->inventory.workspace_count > 0) {
        job->request.id = self.daemon->nonce + ++self.next_request;
    }
    job->origin = session;
    job->reply_to = TASK_ENTRY;
    session->job = job;
    CbwMemoryAccount_Set(
        &session->account, CBW_MEMORY_STATEMENTS,
        job->request.statement_size + session->session.values_size +
            (job->request.shape != NULL ? strlen(job->request.shape) : 0));
    self.jobs_in_flight++;
    CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_REQUESTS, 1);
    Task_Post(TASK_ENTRY, TASK_ROUTER, MESSAGE_JOB, &job->message);
}

static void
on_statement(session_t *session, const cbw_statement_t *statement)
{
    job_t *job = Job_New();
    cbw_plan_t plan;

    if (strlen(statement->id) >= sizeof(job->request.trace)) {
        refuse_statement(session, CBW_CAUSE_MALFORMED, "the id is too long");
        Job_Free(job);
        return;
    }
    if (CbwSession_Keeps(statement) &&
        !ClientLimits_MayKeep(&session->account, strlen(statement->text))) {
        refuse_statement(session, CBW_CAUSE_BUSY,
                         "this host has no memory for it now");
        Job_Free(job);
        return;
    }
    snprintf(job->request.trace, sizeof(job->request.trace), "%s",
             statement->id);
    CbwSession_Plan(&session->session, statement,
                    Job_NewTransaction(self.daemon), &job->request, &plan);
    CbwMemoryAccount_Set(&session->account, CBW_MEMORY_SESSION,
                         session->session.values_size +
                             session->session.prepared_size);
    switch (plan.action) {
    case CBW_PLAN_DONE:
        answer_locally(session, CBW_CAUSE_NONE, "");
        break;
    case CBW_PLAN_ERROR:
        answer_locally(session, plan.cause, plan.reason);
        break;
    case CBW_PLAN_ROLLBACK:
        answer_locally(session, CBW_CAUSE_NONE, "");
        break;
    case CBW_PLAN_FORWARD:
        if (fill_request(session, &job->request)) {
            submit(session, job);
            return;
        }
        CbwLog_Write(CBW_LOG_INFO, "entry", "not-done",
                     "request=%s database=%s outcome=notrun cause=nodatabase "
                     "configuration=%" PRId64,
                     statement->id, session->access.kind,
                     self.config->inventory.version);
        refuse_statement(session, CBW_CAUSE_NO_DATABASE,
                         "no route has this name");
        break;
    }
    if (plan.rolls_back) {
        send_rollback(session, job->request.transaction);
    }
    Job_Free(job);
}

/* Messages. */

static void
confirm_start(session_t *session)
{
    GString *out = g_string_new(NULL);

    session->start_deadline = 0;
    self.driver->encode_session_started(out);
    CbwStream_Write(&session->stream, out->str, out->len);
    g_string_free(out, TRUE);
}

static void
refuse_start(session_t *session, cbw_access_result_t access)
{
    bool key_unknown = access == CBW_ACCESS_NO_KEY;
    caller_answer_t answer = {.cause = key_unknown ? CBW_CAUSE_UNAUTHORIZED
                                                   : CBW_CAUSE_NO_DATABASE,
                              .reason = key_unknown ? "the key is not known"
                                                    : "no route has this name",
                              .token = ""};
    GString *out = g_string_new(NULL);
    char *line_end;

    CbwCounter_Add(
        &self.daemon->counters,
        key_unknown ? CBW_COUNTER_KEYS_REFUSED : CBW_COUNTER_KINDS_REFUSED, 1);
    CbwLog_Write(CBW_LOG_INFO, "entry", "not-started",
                 "database=%.64s cause=%s configuration=%" PRId64,
                 session->access.kind, CbwRequest_CauseString[answer.cause],
                 self.config != NULL ? self.config->inventory.version : 0);
    self.driver->encode_answer(out, &answer);
    /* A session that is refused gets the error line only. */
    line_end = strstr(out->str, "\r\n");
    CbwStream_Write(&session->stream, out->str,
                    (size_t)(line_end - out->str) + 2);
    g_string_free(out, TRUE);
    CbwStream_CloseWhenWritten(&session->stream);
}

static void
on_start(session_t *session, const caller_message_t *message)
{
    cbw_access_t *access = &session->access;

    if (access->kind[0] != '\0' ||
        strlen(message->database) >= sizeof(access->kind)) {
        refuse_start(session, CBW_ACCESS_NO_KIND);
        return;
    }
    snprintf(access->kind, sizeof(access->kind), "%s", message->database);
    access->key = CbwWorkspace_HashKey(message->key);
    if (SessionAccess_Check(&self, session) == CBW_ACCESS_GRANTED) {
        confirm_start(session);
        return;
    }
    session->start_deadline = CbwNet_Now() + ACCESS_WAIT;
}

static void
on_message(session_t *session, const caller_message_t *message)
{
    session->last_active_at = CbwNet_Now();
    switch (message->type) {
    case CALLER_MESSAGE_START:
        on_start(session, message);
        break;
    case CALLER_MESSAGE_STATEMENT:
        if (session->access.kind[0] == '\0') {
            end_session(session);
            return;
        }
        on_statement(session, &message->statement);
        break;
    case CALLER_MESSAGE_END:
        end_session(session);
        break;
    case CALLER_MESSAGE_UNKNOWN:
        CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_MALFORMED, 1);
        if (session->access.kind[0] == '\0') {
            end_session(session);
            return;
        }
        refuse_statement(session, CBW_CAUSE_MALFORMED, "not understood");
        break;
    }
}

/* Whether the next message may be handled: the session waits neither for an
 * answer nor for its kind, and its caller reads the answers. */
static bool
may_handle(const session_t *session)
{
    return !session->closed && session->job == NULL &&
           session->start_deadline == 0 &&
           CbwStream_IsOpen(&session->stream) &&
           !session->stream.close_when_written &&
           !CbwStream_IsOutputFull(&session->stream);
}

/* Removes and handles the first message, which has `size` bytes. */
static void
handle_message(session_t *session, size_t size)
{
    caller_message_t message;
    /* The message, and as much room again for the parts of a statement that
     * the driver copies. */
    char *bytes = malloc(2 * size + 2);

    if (bytes == NULL) {
        abort();
    }
    memcpy(bytes, session->input->str, size);
    if (size == session->input->len && size > Cbw_MEMORY_SMALL) {
        /* Erasing would keep the buffer. */
        g_string_free(session->input, TRUE);
        session->input = g_string_new(NULL);
    }
    else {
        g_string_erase(session->input, 0, (gssize)size);
    }
    self.driver->decode(bytes, size, bytes + size + 1, &message);
    if (message.type == CALLER_MESSAGE_STATEMENT) {
        CbwLog_Write(CBW_LOG_DEBUG, "entry", "statement",
                     "request=%s text=%zu message=%zu", message.statement.id,
                     strlen(message.statement.text), size);
    }
    on_message(session, &message);
    free(bytes);
    CbwMemoryAccount_OnMessage(&session->account, SessionLimits_State(session),
                               CbwNet_Now());
}

/* Handles the complete messages in `input` as long as may_handle() permits.
 * Input that a caller sends ahead is read up to a small limit only. */
static void
read_messages(session_t *session)
{
    ssize_t size = 1;

    while (may_handle(session) && size > 0) {
        size = self.driver->message_size(session->input->str,
                                         session->input->len);
        if (size > 0) {
            handle_message(session, (size_t)size);
        }
        else if (size == -2) {
            SessionLimits_RefuseTooLarge(&self, session);
        }
        else if (size < 0) {
            CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_MALFORMED, 1);
            end_session(session);
        }
    }
    if (session->closed) {
        return;
    }
    SessionLimits_OnInput(session, may_handle(session));
}

static void
on_bytes(cbw_stream_t *stream, const char *bytes, size_t size)
{
    session_t *session = stream->context;

    g_string_append_len(session->input, bytes, (gssize)size);
    read_messages(session);
}

static void
on_close(cbw_stream_t *stream, const char *reason)
{
    (void)reason;
    end_session(stream->context);
}

static void
on_drained(cbw_stream_t *stream)
{
    read_messages(stream->context);
}

static const cbw_stream_ops_t session_ops = {
    .on_bytes = on_bytes,
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
    session->input = g_string_new(NULL);
    session->last_active_at = CbwNet_Now();
    CbwSession_Init(&session->session);
    CbwStream_Accept(&session->stream, self.daemon->loop, fd, ip, &session_ops,
                     session);
    ClientLimits_Open(&session->account, &session->stream, CBW_PORT_CALLERS);
}

/* Starts the sessions whose kind and key are known by now; refuses those whose
 * wait is over. */
static void
retry_pending_starts(cbw_time_t now)
{
    cbw_link_t *link;
    cbw_link_t *safe;

    Cbw_LIST_FOREACH (&self.sessions, link, safe) {
        session_t *session = Cbw_LIST_ITEM(link, session_t, link);
        cbw_access_result_t access;
        if (session->start_deadline == 0 ||
            session->stream.close_when_written) {
            continue;
        }
        access = SessionAccess_Check(&self, session);
        if (access == CBW_ACCESS_GRANTED) {
            confirm_start(session);
            read_messages(session);
        }
        else if (now >= session->start_deadline) {
            refuse_start(session, access);
        }
    }
}

static void
on_config(config_message_t *message)
{
    cbw_time_t now = CbwNet_Now();

    Config_Unref(self.config);
    self.config = message->config;
    free(message);
    retry_pending_starts(now);
    SessionAccess_CloseRevoked(&self);
}

/* Graceful shutdown: closes idle sessions first, then those with an open
 * transaction, and stops listening when the load balancer sends no more
 * callers. */

static void
start_drain(void)
{
    self.draining = true;
    self.drain_started_at = CbwNet_Now();
}

static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
    cbw_time_t now = CbwNet_Now();

    (void)loop;
    (void)watcher;
    (void)events;
    retry_pending_starts(now);
    if (self.revocations_pending) {
        SessionAccess_CloseRevoked(&self);
    }
    if ((self.draining &&
         now - self.drain_started_at > Cbw_SESSION_DRAIN_CLOSE_DELAY) ||
        Daemon_IsIsolated(self.daemon)) {
        SessionDrain_CloseSessions(&self, now);
    }
    if (self.draining &&
        now - self.drain_started_at > Cbw_SESSION_DRAIN_TRANSACTION_LIMIT) {
        CbwAcceptor_Close(&self.listener.acceptor);
    }
}

static void
report_busy(message_t *request)
{
    report_message_t *report =
        Cbw_LIST_ITEM(request, report_message_t, message);

    if (self.draining && self.listener.acceptor.count == 0 &&
        CbwNet_Now() - self.drain_started_at > DRAIN_LISTEN_TIME) {
        CbwAcceptor_Close(&self.listener.acceptor);
    }
    report->busy_count = self.listener.acceptor.count + self.jobs_in_flight +
                         (CbwAcceptor_IsOpen(&self.listener.acceptor) ? 1 : 0);
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
SessionTask_Start(daemon_t *daemon, cbw_error_t *error)
{
    self.daemon = daemon;
    self.driver = CbwPlugin_Find(CBW_PLUGIN_CALLER_DRIVER,
                                 daemon->settings.caller_driver);
    CbwList_Init(&self.sessions);
    Task_Register(daemon->loop, TASK_ENTRY, handle, NULL);
    CbwTick_Init(&self.timer, on_tick, TICK_SECONDS, TICK_SECONDS);
    ev_timer_start(daemon->loop, &self.timer);
    return ClientLimits_Listen(&self.listener, CBW_PORT_CALLERS,
                               daemon->settings.callers_address, on_accept,
                               NULL, error);
}
