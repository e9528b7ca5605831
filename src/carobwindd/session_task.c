/* The entry task for callers with sessions: one session a connection, one
 * statement of it at a time on its way. */

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "carobwind/log.h"
#include "carobwind/plugin.h"
#include "carobwind/session.h"
#include "drivers.h"
#include "share/reaper.h"
#include "share/stream.h"

#define TICK_SECONDS 0.1
#define SESSIONS_MAX 16384
/* A drain first waits so long before it closes idle sessions: the balancer
 * hears that this host is not ready, and what is on its way arrives. */
#define DRAIN_IDLE (300 * Cbw_MSEC)
/* Open transactions are cut off so long after a drain began: half of the
 * platform's grace. */
#define DRAIN_TRANSACTIONS (3 * Cbw_SEC)
/* The balancer sends callers for so long: it asks once a second, and two
 * misses take a host out. */
#define DRAIN_LISTEN (2200 * Cbw_MSEC)
/* A database that is not known here is looked for so long: the configuration
 * may be on its way. */
#define UNKNOWN_WAIT (1500 * Cbw_MSEC)

typedef struct {
    cbw_link_t link;
    cbw_stream_t stream;
    cbw_session_t session;
    char database[Cbw_NAME_MAX]; /* by the caller's name; "": not started */
    GString *input;
    job_t *job; /* on its way; NULL: none */
    bool gone;
    cbw_time_t start_before;    /* waits for its database; 0: no */
    char host[Cbw_NAME_MAX];    /* where the transaction is */
    char service[Cbw_NAME_MAX]; /* of the transaction */
    cbw_time_t used_at;
} session_t;

typedef struct {
    daemon_t *daemon;
    const caller_driver_t *driver;
    config_t *config;
    cbw_link_t sessions;
    size_t session_count;
    size_t jobs;
    uint64_t next_number;
    bool draining;
    cbw_time_t drain_at;
    ev_io listener;
    ev_timer timer;
} session_task_t;

static session_task_t self;

static void read_messages(session_t *session);

static void
release_session(void *object)
{
    session_t *session = object;

    CbwSession_Finish(&session->session);
    g_string_free(session->input, TRUE);
    free(session);
}

static const cbw_kind_t *
find_kind(const char *name)
{
    return self.config != NULL
               ? CbwInventory_FindKind(&self.config->inventory, name)
               : NULL;
}

/* Tells the owner that a transaction is rolled back; nobody waits. */
static void
roll_back(const session_t *session, uint64_t transaction)
{
    job_t *job = Job_New();
    cbw_request_t *request = &job->request;

    request->verb = CBW_VERB_ROLLBACK;
    memcpy(request->database, session->service, Cbw_NAME_MAX);
    CbwRequest_SetStatement(request, "", 0);
    request->transaction = transaction;
    request->arrived_at = CbwNet_Now();
    request->deadline = request->arrived_at + 2 * Cbw_SEC;
    memcpy(job->host, session->host, Cbw_NAME_MAX);
    job->reply_to = TASK_ENTRY;
    self.jobs++;
    Task_Post(TASK_ENTRY, TASK_ROUTER, MESSAGE_JOB, &job->message);
}

static void
end_session(session_t *session)
{
    if (!session->gone) {
        session->gone = true;
        CbwStream_Close(&session->stream);
        CbwList_Remove(&session->link);
        self.session_count--;
    }
    if (session->job != NULL) {
        return; /* freed when its answer comes */
    }
    if (session->session.begun) {
        roll_back(session, session->session.transaction);
    }
    CbwReaper_Defer(release_session, session);
}

static void
write_answer(session_t *session, const caller_answer_t *answer)
{
    GString *out = g_string_sized_new(256);

    self.driver->encode_answer(out, answer);
    CbwStream_Write(&session->stream, out->str, out->len);
    g_string_free(out, TRUE);
    session->used_at = CbwNet_Now();
}

static void
answer_here(session_t *session, cbw_cause_t cause, const char *reason)
{
    caller_answer_t answer = {.cause = cause,
                              .reason = reason,
                              .state = session->session.state,
                              .token = ""};

    write_answer(session, &answer);
}

/* Answers from the owner. */

static void
log_failure(const session_t *session, const cbw_request_t *request,
            const char *host)
{
    cbw_time_t now = CbwNet_Now();

    if (request->answer.outcome == CBW_OUTCOME_DONE) {
        return;
    }
    CbwLog_Write(
        CBW_LOG_INFO, "entry", "not-done",
        "request=%s database=%s service=%s owner=%s outcome=%s cause=%s "
        "verb=%s transaction=%" PRIx64 " took_ms=%" PRId64
        " configuration=%" PRId64 " reason=\"%s\"",
        request->trace, session->database, request->database, host,
        CbwRequest_OutcomeString[request->answer.outcome],
        CbwRequest_CauseString[request->answer.cause],
        CbwRequest_VerbString[request->verb], request->transaction,
        (now - request->arrived_at) / Cbw_MSEC, request->config_version,
        request->answer.reason);
}

static void
count_outcome(cbw_outcome_t outcome)
{
    static const cbw_counter_id_t counters[] = {
        [CBW_OUTCOME_PENDING] = CBW_COUNTER_UNKNOWN,
        [CBW_OUTCOME_DONE] = CBW_COUNTER_DONE,
        [CBW_OUTCOME_NOTRUN] = CBW_COUNTER_NOTRUN,
        [CBW_OUTCOME_UNKNOWN] = CBW_COUNTER_UNKNOWN,
    };

    CbwCounter_Add(&self.daemon->counters, counters[outcome], 1);
}

/* While this host drains or is isolated, right after an answer: then the
 * caller has not sent the next statement yet. */
static bool
may_close(const session_t *session)
{
    cbw_time_t draining_for = CbwNet_Now() - self.drain_at;

    if (session->session.state == CBW_SESSION_IDLE &&
        Daemon_IsIsolated(self.daemon)) {
        return true;
    }
    return self.draining && ((session->session.state == CBW_SESSION_IDLE &&
                              draining_for > DRAIN_IDLE) ||
                             draining_for > DRAIN_TRANSACTIONS);
}

static void
finish_job(session_t *session, job_t *job)
{
    const cbw_request_t *request = &job->request;
    caller_answer_t answer = {.token = request->answer.token};

    count_outcome(request->answer.outcome);
    CbwLatency_Add(&self.daemon->latencies, CBW_LATENCY_REQUEST, request->rank,
                   CbwNet_Now() - request->arrived_at);
    log_failure(session, request, job->host);
    memcpy(session->host, job->host, Cbw_NAME_MAX);
    CbwSession_OnAnswer(&session->session, request);
    session->job = NULL;
    if (session->gone) {
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
    if (may_close(session)) {
        CbwStream_CloseWhenWritten(&session->stream);
        return;
    }
    read_messages(session);
}

static void
on_job_done(job_t *job)
{
    self.jobs--;
    if (job->origin == NULL) {
        Job_Free(job); /* a rollback that nobody waits for */
        return;
    }
    finish_job(job->origin, job);
}

/* Statements. */

static bool
fill_request(session_t *session, cbw_request_t *request)
{
    const cbw_kind_t *kind = find_kind(session->database);
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
    /* A transaction stays where it began; a change of the route applies from
     * the next one on. */
    if (request->transaction == 0 || request->begins) {
        memcpy(session->service, kind->database, Cbw_NAME_MAX);
    }
    memcpy(request->database, session->service, Cbw_NAME_MAX);
    memcpy(request->token, session->session.token, Cbw_TOKEN_MAX);
    return true;
}

static void
forward(session_t *session, job_t *job)
{
    if (job->request.transaction != 0 && !job->request.begins) {
        memcpy(job->host, session->host, Cbw_NAME_MAX);
    }
    job->origin = session;
    job->reply_to = TASK_ENTRY;
    session->job = job;
    self.jobs++;
    CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_REQUESTS, 1);
    Task_Post(TASK_ENTRY, TASK_ROUTER, MESSAGE_JOB, &job->message);
}

static void
on_statement(session_t *session, const cbw_statement_t *statement)
{
    job_t *job = Job_New();
    cbw_plan_t plan;

    if (strlen(statement->id) >= sizeof(job->request.trace)) {
        answer_here(session, CBW_CAUSE_MALFORMED, "the id is too long");
        Job_Free(job);
        return;
    }
    snprintf(job->request.trace, sizeof(job->request.trace), "%s",
             statement->id);
    CbwSession_Plan(&session->session, statement,
                    self.daemon->nonce + ++self.next_number, &job->request,
                    &plan);
    switch (plan.action) {
    case CBW_PLAN_DONE:
        answer_here(session, CBW_CAUSE_NONE, "");
        break;
    case CBW_PLAN_ERROR:
        answer_here(session, plan.cause, plan.reason);
        break;
    case CBW_PLAN_ROLLBACK:
        answer_here(session, CBW_CAUSE_NONE, "");
        roll_back(session, job->request.transaction);
        break;
    case CBW_PLAN_FORWARD:
        if (fill_request(session, &job->request)) {
            forward(session, job);
            return;
        }
        CbwLog_Write(CBW_LOG_INFO, "entry", "not-done",
                     "request=%s database=%s outcome=notrun cause=nodatabase "
                     "configuration=%" PRId64,
                     statement->id, session->database,
                     self.config->inventory.version);
        answer_here(session, CBW_CAUSE_NO_DATABASE, "no route has this name");
        break;
    }
    Job_Free(job);
}

/* Messages. */

static void
write_started(session_t *session)
{
    GString *out = g_string_new(NULL);

    session->start_before = 0;
    self.driver->encode_session_started(out);
    CbwStream_Write(&session->stream, out->str, out->len);
    g_string_free(out, TRUE);
}

static void
refuse_start(session_t *session)
{
    caller_answer_t answer = {.cause = CBW_CAUSE_NO_DATABASE,
                              .reason = "no route has this name",
                              .token = ""};
    GString *out = g_string_new(NULL);
    char *end;

    CbwLog_Write(CBW_LOG_INFO, "entry", "not-started",
                 "database=%.64s cause=nodatabase configuration=%" PRId64,
                 session->database,
                 self.config != NULL ? self.config->inventory.version : 0);
    self.driver->encode_answer(out, &answer);
    /* A session that does not start is told the error alone. */
    end = strstr(out->str, "\r\n");
    CbwStream_Write(&session->stream, out->str, (size_t)(end - out->str) + 2);
    g_string_free(out, TRUE);
    CbwStream_CloseWhenWritten(&session->stream);
}

static void
on_start(session_t *session, const char *database)
{
    if (session->database[0] != '\0' ||
        strlen(database) >= sizeof(session->database)) {
        refuse_start(session);
        return;
    }
    snprintf(session->database, sizeof(session->database), "%s", database);
    if (find_kind(database) != NULL) {
        write_started(session);
        return;
    }
    session->start_before = CbwNet_Now() + UNKNOWN_WAIT;
}

static void
on_message(session_t *session, const caller_message_t *message)
{
    session->used_at = CbwNet_Now();
    switch (message->type) {
    case CALLER_MESSAGE_START:
        on_start(session, message->database);
        break;
    case CALLER_MESSAGE_STATEMENT:
        if (session->database[0] == '\0') {
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
        if (session->database[0] == '\0') {
            end_session(session);
            return;
        }
        answer_here(session, CBW_CAUSE_MALFORMED, "not understood");
        break;
    }
}

/* Handles whole messages while nothing of the session is on its way. */
static void
read_messages(session_t *session)
{
    while (!session->gone && session->job == NULL &&
           session->start_before == 0 && CbwStream_IsOpen(&session->stream) &&
           !session->stream.close_when_written) {
        ssize_t size = self.driver->message_size(session->input->str,
                                                 session->input->len);
        caller_message_t message;
        char *bytes;
        if (size == 0) {
            return;
        }
        if (size < 0) {
            CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_MALFORMED, 1);
            end_session(session);
            return;
        }
        /* The message, and a copy of it for the statement's parts. */
        bytes = malloc(2 * (size_t)size + 2);
        if (bytes == NULL) {
            abort();
        }
        memcpy(bytes, session->input->str, (size_t)size);
        g_string_erase(session->input, 0, (gssize)size);
        self.driver->decode(bytes, (size_t)size, bytes + size + 1, &message);
        on_message(session, &message);
        free(bytes);
    }
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

static const cbw_stream_ops_t session_ops = {
    .on_bytes = on_bytes,
    .on_close = on_close,
};

static void
accept_all(const ev_io *watcher)
{
    char ip[CbwNet_IP_MAX];
    int fd;

    while (self.session_count < SESSIONS_MAX &&
           (fd = CbwNet_Accept(watcher->fd, ip)) >= 0) {
        session_t *session = calloc(1, sizeof(*session));
        if (session == NULL) {
            abort();
        }
        CbwList_Init(&session->link);
        CbwList_Append(&self.sessions, &session->link);
        self.session_count++;
        CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_SESSIONS, 1);
        session->input = g_string_new(NULL);
        session->used_at = CbwNet_Now();
        CbwSession_Init(&session->session);
        CbwStream_Accept(&session->stream, self.daemon->loop, fd, ip,
                         &session_ops, session);
    }
}

static void
on_acceptable(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    accept_all(watcher);
}

/* Sessions that wait for their database. */
static void
start_waiting(cbw_time_t now)
{
    cbw_link_t *link;
    cbw_link_t *safe;

    Cbw_LIST_FOREACH (&self.sessions, link, safe) {
        session_t *session = Cbw_LIST_ITEM(link, session_t, link);
        if (session->start_before == 0 || session->stream.close_when_written) {
            continue;
        }
        if (find_kind(session->database) != NULL) {
            write_started(session);
            read_messages(session);
        }
        else if (now >= session->start_before) {
            refuse_start(session);
        }
    }
}

static void
on_config(config_message_t *message)
{
    Config_Unref(self.config);
    self.config = message->config;
    free(message);
    start_waiting(CbwNet_Now());
}

/* Graceful shutdown: no new sessions; those without a request go first, then
 * those in a transaction. */

static void
drain(void)
{
    self.draining = true;
    self.drain_at = CbwNet_Now();
}

static void
stop_listening(void)
{
    if (ev_is_active(&self.listener)) {
        accept_all(&self.listener);
        ev_io_stop(self.daemon->loop, &self.listener);
        close(self.listener.fd);
    }
}

static void
close_idle_sessions(cbw_time_t now)
{
    bool late = self.draining && now - self.drain_at > DRAIN_TRANSACTIONS;
    cbw_link_t *link;
    cbw_link_t *safe;

    Cbw_LIST_FOREACH (&self.sessions, link, safe) {
        session_t *session = Cbw_LIST_ITEM(link, session_t, link);
        bool idle = session->session.state == CBW_SESSION_IDLE;
        if (session->job == NULL && (idle || late) &&
            session->input->len == 0 &&
            (late || now - session->used_at > DRAIN_IDLE) &&
            !session->stream.close_when_written) {
            CbwStream_CloseWhenWritten(&session->stream);
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
    start_waiting(now);
    if ((self.draining && now - self.drain_at > DRAIN_IDLE) ||
        Daemon_IsIsolated(self.daemon)) {
        close_idle_sessions(now);
    }
    if (self.draining && now - self.drain_at > DRAIN_TRANSACTIONS) {
        stop_listening();
    }
}

static void
report_busy(message_t *request)
{
    report_message_t *report =
        Cbw_LIST_ITEM(request, report_message_t, message);

    if (self.draining && self.session_count == 0 &&
        CbwNet_Now() - self.drain_at > DRAIN_LISTEN) {
        stop_listening(); /* which takes in what still waits there */
    }
    report->busy_count = self.session_count + self.jobs +
                         (ev_is_active(&self.listener) ? 1 : 0);
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
        drain();
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
    int fd = CbwNet_Listen(daemon->settings.callers_address, error);

    if (fd < 0) {
        return -1;
    }
    self.daemon = daemon;
    self.driver = CbwPlugin_Find(CBW_PLUGIN_CALLER_DRIVER,
                                 daemon->settings.caller_driver);
    CbwList_Init(&self.sessions);
    Task_Register(daemon->loop, TASK_ENTRY, handle, NULL);
    ev_io_init(&self.listener, on_acceptable, fd, EV_READ);
    ev_io_start(daemon->loop, &self.listener);
    ev_timer_init(&self.timer, on_tick, TICK_SECONDS, TICK_SECONDS);
    ev_timer_start(daemon->loop, &self.timer);
    return 0;
}
