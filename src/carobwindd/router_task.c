/* The router task: sends each request to the owner of its database, on this
 * host or on a peer, and retries it when the owner is lost or has moved. */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "cancel.h"
#include "carobwind/log.h"
#include "carobwind/owner.h"
#include "carobwind/placement.h"
#include "carobwind/retry.h"
#include "share/net.h"
#include "share/tick.h"

#define TICK_SECONDS 0.01
/* Delay before a request is routed again. */
#define RETRY_DELAY (20 * Cbw_MSEC)
/* How long a host is avoided after a request to it got no answer. */
#define AVOID_TIME (600 * Cbw_MSEC)
/* How long a host to which an owner redirected requests, such as one that
 * reaches the primary, is used in place of the first in rendezvous order. */
#define MOVE_VALID_FOR (3 * Cbw_SEC)
/* Allowance for answers that come a little after the owner's own deadline. */
#define ANSWER_MARGIN (200 * Cbw_MSEC)
#define AVOIDED_MAX 16
/* In a large fleet an owner that the members hold alive must have been
 * unresponsive for this long before the next one takes over a database, so
 * that a short pause of a host or a link does not move owners. */
#define TAKE_OVER_SILENCE (1200 * Cbw_MSEC)
/* A request that finds no owner is refused after its target time divided by
 * this, so that its caller can retry in time. */
#define EARLY_REFUSAL_DIVISOR 2
/* Likewise, where workspaces are configured and no owner is known to try. */
#define NO_OWNER_REFUSAL_DIVISOR 4
#define EARLY_REFUSAL_RETRY_AFTER (300 * Cbw_MSEC)

/* The cached owner of a database. */
typedef struct {
    uint64_t epoch;              /* of the membership that `owner` is from */
    const cbw_member_t *owner;   /* by rendezvous order; NULL: not looked up */
    char moved_to[Cbw_NAME_MAX]; /* overrides `owner`; "": ownership did not
                                    move */
    /* `moved_to` has to take over the tenure, a time-limited right held in the
     * store, from the present holder. */
    bool moved_takes;
    cbw_time_t moved_at; /* when `moved_to` was set */
    /* The read dispatcher for this host's callers; NULL: none. */
    const cbw_member_t *dispatcher;
    uint64_t dispatcher_epoch; /* as `epoch`, for `dispatcher` */
    bool dispatcher_known;     /* `dispatcher` was looked up */
} cached_owner_t;

/* A host that did not answer a request recently. */
typedef struct {
    char name[Cbw_NAME_MAX];
    cbw_time_t since; /* avoided continuously */
    cbw_time_t until;
} avoided_host_t;

typedef struct {
    daemon_t *daemon;
    config_t *config;
    view_t *view;
    cached_owner_t *cached_owners; /* by the database's index in `config` */
    avoided_host_t avoided[AVOIDED_MAX];
    cbw_link_t delayed_jobs; /* to be routed at their `retry_at` */
    GHashTable *jobs_by_id;  /* in flight, and may be cancelled */
    cbw_retry_budget_t retry_budget;
    ev_timer timer;
} router_task_t;

static router_task_t self;

static void
post_done(job_t *job)
{
    if (job->request.id != 0) {
        g_hash_table_remove(self.jobs_by_id, &job->request.id);
    }
    Task_Post(TASK_ROUTER, TASK_ENTRY, MESSAGE_JOB_DONE, &job->message);
}

static void
end_job(job_t *job, cbw_outcome_t outcome, const char *reason)
{
    CbwRequest_End(&job->request, outcome, reason);
    post_done(job);
}

/* Returns the time at which the router gives up a request. One that was sent
 * with a request key gets time after its deadline, in which its outcome is
 * looked up by the key. One with a target time, without a key and certainly
 * without effect fails early, so that its caller can retry. */
static cbw_time_t
routing_deadline(const cbw_request_t *request)
{
    bool needs_settling = request->maybe_sent && request->key[0] != '\0';
    bool may_have_written = request->maybe_sent && request->writes;

    if (request->target > 0 && request->key[0] == '\0' && !may_have_written) {
        return request->arrived_at + request->target / EARLY_REFUSAL_DIVISOR;
    }

    return request->deadline + (needs_settling ? Cbw_OWNER_SETTLE_GRACE : 0);
}

/* Whether a request that is given up may have had an effect: a read may have
 * run, but has none. */
static bool
may_have_effect(const cbw_request_t *request)
{
    return request->maybe_sent && (request->writes || request->key[0] != '\0');
}

static void
fail_without_answer(job_t *job)
{
    bool in_doubt = may_have_effect(&job->request);

    job->request.answer.retry_after = in_doubt ? 0 : EARLY_REFUSAL_RETRY_AFTER;
    job->request.answer.cause = in_doubt ? CBW_CAUSE_TIMEOUT : CBW_CAUSE_BUSY;
    if (!in_doubt) {
        job->request.answer.refusal = CBW_REFUSAL_NO_ENDPOINT;
        CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_REFUSED_NO_ENDPOINT,
                       1);
        CbwLatency_Add(&self.daemon->latencies,
                       CBW_LATENCY_REFUSED_NO_ENDPOINT, job->request.rank,
                       CbwNet_Now() - job->request.arrived_at);
    }
    end_job(job, in_doubt ? CBW_OUTCOME_UNKNOWN : CBW_OUTCOME_NOTRUN,
            "no owner answered within the deadline");
}

/* Hosts that did not answer a request recently. */

static void
avoid_host(const char *name)
{
    cbw_time_t now = CbwNet_Now();
    avoided_host_t *slot = &self.avoided[0];

    for (int i = 0; i < AVOIDED_MAX; i++) {
        if (strcmp(self.avoided[i].name, name) == 0) {
            slot = &self.avoided[i];
            break;
        }
        if (self.avoided[i].until < slot->until) {
            slot = &self.avoided[i];
        }
    }
    if (strcmp(slot->name, name) != 0 || slot->until <= now) {
        slot->since = now;
    }
    memcpy(slot->name, name, Cbw_NAME_MAX);
    slot->until = now + AVOID_TIME;
}

/* Returns the time since which a host has been avoided continuously, or
 * Cbw_NEVER when it is not avoided. */
static cbw_time_t
avoided_since(const char *name, cbw_time_t now)
{
    for (int i = 0; i < AVOIDED_MAX; i++) {
        if (self.avoided[i].until > now &&
            strcmp(self.avoided[i].name, name) == 0) {
            return self.avoided[i].since;
        }
    }
    return Cbw_NEVER;
}

static bool
is_avoided(void *context, const char *name)
{
    return avoided_since(name, *(const cbw_time_t *)context) != Cbw_NEVER;
}

/* Returns whether an owner that is avoided keeps its databases: it may only be
 * pausing. */
static bool
may_be_pausing(const cbw_membership_t *members, const cbw_member_t *owner,
               cbw_time_t now)
{
    return members->count > Cbw_MEMBERSHIP_SMALL &&
           owner != &members->members[0] &&
           owner->record.state <= CBW_MEMBER_SUSPECT &&
           now - avoided_since(owner->record.name, now) < TAKE_OVER_SILENCE;
}

/* Owners. */

static const cbw_member_t *
find_moved_owner(cached_owner_t *cached, cbw_time_t now)
{
    const cbw_member_t *member;

    if (cached->moved_to[0] == '\0') {
        return NULL;
    }
    member = CbwMembership_Find(&self.view->membership, cached->moved_to);
    if (now - cached->moved_at > MOVE_VALID_FOR || member == NULL ||
        member->record.state > CBW_MEMBER_SUSPECT) {
        cached->moved_to[0] = '\0';
        return NULL;
    }
    return member;
}

/* Returns the owner to send a request to; NULL: there is none. Sets
 * `takes_over` when that host has to take over the tenure from the present
 * holder. */
static const cbw_member_t *
find_owner(const cbw_database_t *database, cbw_time_t now, bool *takes_over)
{
    const cbw_membership_t *members = &self.view->membership;
    const cbw_regions_t *regions = &self.daemon->settings.regions;
    cached_owner_t *cached =
        &self.cached_owners[database - self.config->inventory.databases];
    const cbw_member_t *owner = find_moved_owner(cached, now);

    *takes_over = owner != NULL && cached->moved_takes;
    if (strcmp(self.daemon->settings.owner_policy, "direct") == 0) {
        return &members->members[0];
    }
    if (owner == NULL) {
        if (cached->owner == NULL || cached->epoch != members->epoch) {
            cached->owner =
                CbwPlacement_FindOwner(members, regions, database, NULL, NULL);
            cached->epoch = members->epoch;
        }
        owner = cached->owner;
    }
    if (owner != NULL && is_avoided(&now, owner->record.name) &&
        !may_be_pausing(members, owner, now)) {
        const cbw_member_t *next = CbwPlacement_FindOwner(
            members, regions, database, is_avoided, &now);
        *takes_over = next != NULL;
        return next != NULL ? next : owner;
    }
    return owner;
}

/* Read dispatchers. */

/* Whether a replica may serve the request. */
static bool
is_read(const cbw_request_t *request)
{
    return request->verb == CBW_VERB_STATEMENT && request->key[0] == '\0' &&
           !request->writes && request->rule != CBW_READ_LATEST &&
           (request->transaction == 0 ||
            (request->begins && request->reads_only));
}

/* Returns the host that serves the request in this host's region without the
 * owner, or NULL. With workspaces all reads go to the owners, which count
 * them. */
static const cbw_member_t *
find_dispatcher(const cbw_database_t *database, const job_t *job,
                cbw_time_t now)
{
    const settings_t *settings = &self.daemon->settings;
    const cbw_membership_t *members = &self.view->membership;
    cached_owner_t *cached =
        &self.cached_owners[database - self.config->inventory.databases];

    if (!settings->regions.several || job->to_owner ||
        self.config->inventory.workspace_count > 0 ||
        !is_read(&job->request)) {
        return NULL;
    }
    if (!cached->dispatcher_known ||
        cached->dispatcher_epoch != members->epoch) {
        cached->dispatcher = CbwPlacement_FindReadDispatcher(
            members, &settings->regions, database, settings->data_centre);
        cached->dispatcher_epoch = members->epoch;
        cached->dispatcher_known = true;
    }
    return cached->dispatcher != NULL &&
                   !is_avoided(&now, cached->dispatcher->record.name)
               ? cached->dispatcher
               : NULL;
}

/* Sending. */

static void
encode_statement(peer_statement_args *args, const cbw_request_t *request,
                 cbw_time_t now)
{
    cbw_time_t remaining = request->deadline - now;

    args->verb = request->verb;
    args->database = strdup(request->database);
    args->kind = strdup(request->kind_name);
    args->statement.statement_val = malloc(request->statement_size + 1);
    if (args->statement.statement_val == NULL) {
        abort();
    }
    if (request->statement_size > 0) {
        memcpy(args->statement.statement_val, request->statement,
               request->statement_size);
    }
    args->statement.statement_len = (u_int)request->statement_size;
    args->key = strdup(request->key);
    args->token = strdup(request->token);
    args->trace = strdup(request->trace);
    args->age = request->age;
    args->remaining = remaining > 0 ? remaining : 0;
    args->transaction = request->transaction;
    args->maybe_sent = request->maybe_sent;
    args->values = strdup(request->values != NULL ? request->values : "");
    args->shape = strdup(request->shape != NULL ? request->shape : "");
    args->begins = request->begins;
    args->reads_only = request->reads_only;
    args->rule = request->rule;
    args->rank = (u_int)request->rank;
    args->writes = request->writes;
    args->target = request->target;
    args->config_version = request->config_version;
    args->takes_over = request->takes_over;
    args->workspace = strdup(request->workspace);
    args->id = request->id;
    args->dispatches = request->dispatches;
}

/* Whether the outcome of a request is unknown when its answer is lost. A
 * transaction that was not told to commit is rolled back, and can begin
 * again. */
static bool
is_in_doubt_without_answer(const cbw_request_t *request)
{
    return request->key[0] == '\0' &&
           (request->verb == CBW_VERB_COMMIT ||
            (request->writes && request->transaction == 0));
}

static void
forward(job_t *job, const cbw_member_t *owner, cbw_time_t now)
{
    outbound_t *outbound = Outbound_New(PEER_STATEMENT, owner->record.address);
    cbw_time_t until =
        job->request.deadline +
        (job->request.key[0] != '\0' ? Cbw_OWNER_SETTLE_GRACE : 0);

    memcpy(job->host, owner->record.name, Cbw_NAME_MAX);
    encode_statement(&outbound->args.statement, &job->request, now);
    outbound->timeout = until + ANSWER_MARGIN - now;
    outbound->patient = is_in_doubt_without_answer(&job->request);
    outbound->reply_to = TASK_ROUTER;
    outbound->context = job;
    CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_FORWARDED, 1);
    Task_Post(TASK_ROUTER, TASK_PEER, MESSAGE_OUTBOUND, &outbound->message);
}

/* Routes the job again after RETRY_DELAY. */
static void
route_later(job_t *job)
{
    job->retry_at = CbwNet_Now() + RETRY_DELAY;
    CbwList_Append(&self.delayed_jobs, &job->message.link);
    if (!ev_is_active(&self.timer)) {
        ev_timer_again(self.daemon->loop, &self.timer);
    }
}

static void
route(job_t *job)
{
    cbw_time_t now = CbwNet_Now();
    const cbw_database_t *database;
    const cbw_member_t *owner;

    if (job->cancelled) {
        job->request.answer.cause = CBW_CAUSE_BUSY;
        end_job(job, CBW_OUTCOME_NOTRUN, "its caller left");
        return;
    }
    if (now >= routing_deadline(&job->request)) {
        fail_without_answer(job);
        return;
    }
    if (self.config == NULL || self.view == NULL) {
        route_later(job); /* the host is starting */
        return;
    }
    database = CbwInventory_FindDatabase(&self.config->inventory,
                                         job->request.database);
    if (database == NULL) {
        job->request.answer.cause = CBW_CAUSE_NO_DATABASE;
        end_job(job, CBW_OUTCOME_NOTRUN, "unknown database");
        return;
    }
    /* A transaction stays on the host where it began. */
    if (job->request.transaction != 0 && job->host[0] != '\0' &&
        job->request.verb != CBW_VERB_SETTLE &&
        job->request.verb != CBW_VERB_BEGIN && !job->request.begins) {
        owner = CbwMembership_Find(&self.view->membership, job->host);
    }
    else {
        owner = find_dispatcher(database, job, now);
        job->request.dispatches = owner != NULL;
        if (owner == NULL) {
            owner = find_owner(database, now, &job->request.takes_over);
        }
    }
    if (owner == NULL) {
        /* Also without a transaction, when no member is usable. */
        job->request.answer.cause = CBW_CAUSE_ABORTED;
        end_job(job, CBW_OUTCOME_NOTRUN, "the transaction's owner is gone");
        return;
    }
    memcpy(job->host, owner->record.name, Cbw_NAME_MAX);
    if (owner == &self.view->membership.members[0]) {
        job->reply_to = TASK_ROUTER;
        Task_Post(TASK_ROUTER, TASK_OWNER, MESSAGE_JOB, &job->message);
        return;
    }
    forward(job, owner, now);
}

static void
retry_later(job_t *job)
{
    CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_FORWARD_RETRIES, 1);
    route_later(job);
}

/* The peer did not answer: the request may have run, if it was sent. */
static void
on_forward_lost(job_t *job, bool sent)
{
    cbw_request_t *request = &job->request;

    avoid_host(job->host);
    job->to_owner |= request->dispatches;
    request->maybe_sent |= sent;
    if (sent && is_in_doubt_without_answer(request)) {
        request->answer.cause =
            CBW_CAUSE_IN_DOUBT; /* no key to settle it by */
        end_job(job, CBW_OUTCOME_UNKNOWN, "the owner is lost");
        return;
    }
    if (sent && request->transaction != 0 &&
        request->verb == CBW_VERB_COMMIT) {
        request->verb = CBW_VERB_SETTLE;
    }
    else if (request->transaction != 0 && request->verb != CBW_VERB_SETTLE &&
             !request->begins) {
        /* Without its owner the transaction is never committed. */
        request->answer.cause = CBW_CAUSE_ABORTED;
        end_job(job, CBW_OUTCOME_NOTRUN, "the transaction's owner is lost");
        return;
    }
    if (!CbwRetry_Take(&self.retry_budget)) {
        CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_RETRIES_DENIED, 1);
        fail_without_answer(job);
        return;
    }
    CbwRequest_RenameTransaction(request, Job_NewTransaction(self.daemon));
    retry_later(job);
}

/* The request cannot be passed on to the peer, for example because the peer is
 * of an earlier version with lower limits. It did not run there, and would
 * not when it is sent again. The peer works otherwise. */
static void
on_forward_refused(job_t *job)
{
    cbw_request_t *request = &job->request;
    bool in_doubt = may_have_effect(request); /* by an earlier copy */

    if (request->dispatches) {
        job->to_owner = true;
        route(job);
        return;
    }
    request->answer.undelivered = true;
    request->answer.cause = in_doubt ? CBW_CAUSE_IN_DOUBT
                            : request->transaction != 0 && !request->begins
                                ? CBW_CAUSE_ABORTED
                                : CBW_CAUSE_BUSY;
    end_job(job, in_doubt ? CBW_OUTCOME_UNKNOWN : CBW_OUTCOME_NOTRUN,
            "it cannot be passed on to the owner");
}

static void
on_forward_failed(job_t *job, outbound_failure_t failure)
{
    switch (failure) {
    case OUTBOUND_LOST:
        on_forward_lost(job, true);
        break;
    case OUTBOUND_UNSENT:
        on_forward_lost(job, false);
        break;
    case OUTBOUND_REFUSED:
        on_forward_refused(job);
        break;
    }
}

static void
remember_move(const job_t *job)
{
    const cbw_database_t *database = CbwInventory_FindDatabase(
        &self.config->inventory, job->request.database);
    cached_owner_t *cached;

    if (database == NULL) {
        return;
    }
    cached = &self.cached_owners[database - self.config->inventory.databases];
    memcpy(cached->moved_to, job->moved_to, sizeof(cached->moved_to));
    cached->moved_takes = job->moved_takes;
    cached->moved_at = CbwNet_Now();
}

/* Whether a request that was handed back without another owner's name has
 * waited long enough: all that could be done is to wait for an owner. */
static bool
waited_for_owner(const job_t *job)
{
    const cbw_request_t *request = &job->request;

    return self.config != NULL && self.config->inventory.workspace_count > 0 &&
           request->target > 0 && !request->maybe_sent &&
           CbwNet_Now() + RETRY_DELAY >=
               request->arrived_at +
                   request->target / NO_OWNER_REFUSAL_DIVISOR;
}

/* The owner answered the request, or handed it back to be routed again. */
static void
on_answer(job_t *job)
{
    bool moved = job->moved_to[0] != '\0';

    if (moved) {
        remember_move(job);
        job->moved_to[0] = '\0';
    }
    if (job->request.answer.outcome == CBW_OUTCOME_PENDING && !moved &&
        waited_for_owner(job)) {
        fail_without_answer(job);
        return;
    }
    if (job->request.answer.outcome == CBW_OUTCOME_PENDING) {
        if (job->request.dispatches) {
            job->to_owner = true;
            route(job);
            return;
        }
        retry_later(job);
        return;
    }
    post_done(job);
}

static void
decode_answer(job_t *job, const peer_statement_result *result)
{
    cbw_answer_t *answer = &job->request.answer;

    answer->outcome = result->outcome <= CBW_OUTCOME_UNKNOWN
                          ? (cbw_outcome_t)result->outcome
                          : CBW_OUTCOME_UNKNOWN;
    CbwRequest_SetResult(&job->request, result->result.result_val,
                         result->result.result_len);
    answer->cause = result->cause < CBW_CAUSE_COUNT_
                        ? (cbw_cause_t)result->cause
                        : CBW_CAUSE_IN_DOUBT;
    snprintf(answer->token, sizeof(answer->token), "%s", result->token);
    snprintf(answer->reason, sizeof(answer->reason), "%s", result->reason);
    snprintf(job->moved_to, sizeof(job->moved_to), "%s", result->moved_to);
    job->moved_takes = result->moved_takes;
    answer->retry_after = result->retry_after;
    answer->refusal = result->refusal < CBW_REFUSAL_COUNT_
                          ? (cbw_refusal_t)result->refusal
                          : CBW_REFUSAL_NONE;
    job->admission_count = (int)result->admission.admission_len;
    for (int i = 0; i < job->admission_count; i++) {
        job->admission[i] = result->admission.admission_val[i];
    }
}

static void
on_outbound_done(outbound_t *outbound)
{
    job_t *job = outbound->context;

    if (outbound->procedure == PEER_CANCEL) {
        Outbound_Free(outbound);
        return;
    }
    if (outbound->answered) {
        decode_answer(job, &outbound->result.statement);
        on_answer(job);
    }
    else {
        on_forward_failed(job, outbound->failure);
    }
    Outbound_Free(outbound);
}

static void
on_config(config_message_t *message)
{
    size_t count = message->config->inventory.database_count;

    Config_Unref(self.config);
    self.config = message->config;
    free(self.cached_owners);
    self.cached_owners = calloc(count + 1, sizeof(*self.cached_owners));
    if (self.cached_owners == NULL) {
        abort();
    }
    free(message);
}

static void
on_view(message_t *message)
{
    size_t count = self.config ? self.config->inventory.database_count : 0;

    View_Replace(&self.view, message);
    for (size_t i = 0; i < count; i++) {
        /* They pointed into the old view. */
        self.cached_owners[i].owner = NULL;
        self.cached_owners[i].dispatcher_known = false;
    }
}

static void
start_job(job_t *job)
{
    CbwRetry_OnRequest(&self.retry_budget);
    if (job->request.id != 0) {
        g_hash_table_insert(self.jobs_by_id, &job->request.id, job);
    }
    route(job);
}

static void
on_cancel(cancel_message_t *cancel)
{
    job_t *job = g_hash_table_lookup(self.jobs_by_id, &cancel->id);
    cbw_link_t *link;
    cbw_link_t *safe;

    if (job == NULL) {
        free(cancel); /* it is answered */
        return;
    }
    job->cancelled = true;
    Cbw_LIST_FOREACH (&self.delayed_jobs, link, safe) {
        if (link == &job->message.link) {
            CbwList_Remove(link);
            route(job); /* which ends it */
            free(cancel);
            return;
        }
    }
    Cancel_AtOwner(self.view, job, cancel);
}

static void
handle(void *state, message_t *message)
{
    (void)state;
    switch (message->type) {
    case MESSAGE_JOB:
        start_job(Cbw_LIST_ITEM(message, job_t, message));
        break;
    case MESSAGE_CANCEL:
        on_cancel(Cbw_LIST_ITEM(message, cancel_message_t, message));
        break;
    case MESSAGE_JOB_DONE:
        on_answer(Cbw_LIST_ITEM(message, job_t, message));
        break;
    case MESSAGE_OUTBOUND_DONE:
        on_outbound_done(Cbw_LIST_ITEM(message, outbound_t, message));
        break;
    case MESSAGE_CONFIG:
        on_config(Cbw_LIST_ITEM(message, config_message_t, message));
        break;
    case MESSAGE_VIEW:
        on_view(message);
        break;
    default:
        break;
    }
}

static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
    cbw_time_t now = CbwNet_Now();
    cbw_link_t *link;
    cbw_link_t *safe;

    (void)loop;
    (void)watcher;
    (void)events;
    Cbw_LIST_FOREACH (&self.delayed_jobs, link, safe) {
        job_t *job = Cbw_LIST_ITEM(link, job_t, message.link);
        if (now >= job->retry_at) {
            CbwList_Remove(link);
            route(job);
        }
    }
    if (CbwList_IsEmpty(&self.delayed_jobs)) {
        ev_timer_stop(self.daemon->loop, &self.timer);
    }
}

void
RouterTask_Start(daemon_t *daemon)
{
    self.daemon = daemon;
    CbwList_Init(&self.delayed_jobs);
    self.jobs_by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
    CbwRetry_Init(&self.retry_budget);
    Task_Register(daemon->loop, TASK_ROUTER, handle, NULL);
    CbwTick_Init(&self.timer, on_tick, 0, TICK_SECONDS);
}
