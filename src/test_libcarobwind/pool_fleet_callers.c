/* The callers of a fleet, and the check of their answers. */

#include <stdio.h>

#include "pool_fleet_world.h"

/* Callers. */

static void submit(fleet_t *fleet, operation_t *operation, int host_index);

static void
free_operation(operation_t *operation)
{
    CbwRequest_Finish(&operation->request);
    g_free(operation);
}

/* Whether a later promotion discarded the entry. */
static bool
is_discarded(const fleet_t *fleet, cbw_position_t entry)
{
    for (uint64_t term = entry.term + 1; term <= fleet->highest_term; term++) {
        if (CbwPosition_Compare(entry, fleet->bases[term % TERMS_MAX]) > 0) {
            return true;
        }
    }
    return false;
}

static void
check_answer(fleet_t *fleet, const operation_t *operation)
{
    const cbw_request_t *request = &operation->request;
    bool commits = request->transaction == 0
                       ? request->writes
                       : request->verb == CBW_VERB_COMMIT;
    const run_t *run = operation->run;

    if (request->answer.outcome != CBW_OUTCOME_DONE || run == NULL ||
        run->endpoint < 0) {
        return;
    }
    if (!commits) {
        if (request->transaction == 0) {
            fleet->result->reads_done++;
            fleet->read_in_term[run->term] = true;
            if (CbwPosition_Compare(run->end, operation->needed) < 0 &&
                !is_discarded(fleet, operation->needed)) {
                PoolFleet_ReportFault(fleet, &fleet->result->stale_reads,
                                      "read at e%d, term %" G_GUINT64_FORMAT,
                                      run->endpoint, run->term);
            }
        }
        return;
    }
    fleet->result->commits_acknowledged++;
    fleet->commits_of_term[run->end.term] =
        MAX(fleet->commits_of_term[run->end.term], run->end.index);
    if (run->at > fleet->led_since && run->term < fleet->highest_term) {
        PoolFleet_ReportFault(fleet, &fleet->result->superseded_commits,
                              "h%d acknowledges a commit at e%d in term "
                              "%" G_GUINT64_FORMAT
                              " at %.3f, e%d leads since %.3f",
                              operation->host, run->endpoint, run->term,
                              (double)run->at / Cbw_SEC, fleet->leader,
                              (double)fleet->led_since / Cbw_SEC);
    }
    if (run->term == fleet->highest_term && run->endpoint == fleet->leader &&
        CbwPosition_Compare(run->end, fleet->acknowledged) > 0) {
        fleet->acknowledged = run->end;
    }
}

static void
next_statement(fleet_t *fleet, event_t *event)
{
    operation_t *operation = event->object;

    submit(fleet, operation, operation->host);
}

static void
resubmit(fleet_t *fleet, event_t *event)
{
    submit(fleet, event->object, event->peer);
}

static void
finish_operation(fleet_t *fleet, operation_t *operation)
{
    bool done = operation->request.answer.outcome == CBW_OUTCOME_DONE;

    if (operation->measured) {
        fleet->result->quiet_successes += done;
        fleet->result->quiet_failures += !done;
    }
    free_operation(operation);
}

void
PoolFleet_OpAnswer(void *context, cbw_request_t *request)
{
    host_t *host = context;
    fleet_t *fleet = host->fleet;
    operation_t *operation = (operation_t *)request;
    event_t *event;

    if (request->answer.outcome == CBW_OUTCOME_PENDING) {
        int to = host->moved_to >= 0 ? host->moved_to : fleet->owner;
        request->takes_over = host->moved_to >= 0 && host->moved_takes;
        if (fleet->now >= request->deadline) {
            free_operation(operation);
            return;
        }
        event = PoolFleet_NewEvent(resubmit, 0, 0);
        event->object = operation;
        event->peer = to;
        PoolFleet_Schedule(fleet, PoolFleet_NetworkDelay(fleet), event);
        return;
    }
    check_answer(fleet, operation);
    if (operation->step < 0 || operation->step >= 2 ||
        request->answer.outcome != CBW_OUTCOME_DONE) {
        finish_operation(fleet, operation);
        return;
    }
    operation->step++;
    event = PoolFleet_NewEvent(next_statement, 0, 0);
    event->object = operation;
    PoolFleet_Schedule(fleet,
                       PoolFleet_Chance(fleet, 20)
                           ? PoolFleet_Between(fleet, 0, 900 * Cbw_MSEC)
                           : PoolFleet_Between(fleet, 0, 20 * Cbw_MSEC),
                       event);
}

static void
leave(fleet_t *fleet, event_t *event)
{
    for (int i = 0; i < HOSTS; i++) {
        host_t *host = &fleet->hosts[i];
        if (host->running && !host->paused) {
            CbwPool_Cancel(&host->pool, fleet->now, event->id);
        }
    }
}

/* Puts the request into a workspace. A tenth of the callers leaves. */
static void
choose_workspace(fleet_t *fleet, cbw_request_t *request)
{
    uint64_t number = CbwRandom_Below(&fleet->random, 5);
    event_t *event;

    snprintf(request->workspace, sizeof(request->workspace), "w%d",
             (int)number);
    request->weight = (double)(1 + number);
    if (request->transaction != 0 && !request->begins) {
        return;
    }
    request->id = ++fleet->next_transaction;
    if (PoolFleet_Chance(fleet, 10)) {
        event = PoolFleet_NewEvent(leave, 0, 0);
        event->id = request->id;
        PoolFleet_Schedule(fleet, PoolFleet_Between(fleet, 0, 100 * Cbw_MSEC),
                           event);
    }
}

static void
prepare_request(fleet_t *fleet, operation_t *operation, bool first)
{
    cbw_request_t *request = &operation->request;
    cbw_time_t deadline = operation->begun_at + 1500 * Cbw_MSEC;
    bool takes_over = request->takes_over;

    if (!first) {
        CbwRequest_Finish(request);
    }
    CbwRequest_Init(request);
    CbwRequest_SetStatement(request, "WRITE k v", 9);
    request->takes_over = takes_over;
    request->rule = CBW_READ_LATEST;
    request->age = Cbw_SEC;
    request->arrived_at = fleet->now;
    request->deadline = deadline;
    request->target = 150 * Cbw_MSEC;
    request->writes = operation->step != 2 && operation->transaction != 1;
    if (operation->step >= 0) {
        request->transaction = operation->transaction;
        request->begins = operation->step == 0;
        request->verb =
            operation->step == 2 ? CBW_VERB_COMMIT : CBW_VERB_STATEMENT;
    }
    if (fleet->disruptions->workspaces) {
        choose_workspace(fleet, request);
    }
    operation->run = NULL;
    operation->recorded_call = 0;
}

static void
submit(fleet_t *fleet, operation_t *operation, int host_index)
{
    host_t *host = &fleet->hosts[host_index];
    cbw_request_t *request = &operation->request;
    bool continues = operation->step > 0;

    if (!host->running || host->paused ||
        (continues && operation->generation != host->generation) ||
        fleet->now >= operation->begun_at + 1500 * Cbw_MSEC) {
        finish_operation(fleet, operation);
        return;
    }
    if (request->statement == NULL || continues) {
        prepare_request(fleet, operation, request->statement == NULL);
    }
    else {
        request->answer.outcome = CBW_OUTCOME_PENDING;
        CbwList_Init(&request->link);
    }
    if (host->moved_to >= 0 && !request->takes_over && !continues &&
        fleet->now - host->moved_at <
            (host->moved_takes ? 3 * Cbw_SEC : Cbw_POOL_DEFER_INTERVAL) &&
        host->moved_to != host_index) {
        host_index = host->moved_to;
        request->takes_over = host->moved_takes;
        host = &fleet->hosts[host_index];
        if (!host->running || host->paused) {
            finish_operation(fleet, operation);
            return;
        }
    }
    operation->host = host_index;
    operation->generation = host->generation;
    host->used_at = fleet->now;
    CbwPool_Submit(&host->pool, fleet->now, request);
}

/* `op_call` does not get the request: finds it in the pool's list of running
 * requests. */
void
PoolFleet_RecordRunningCalls(fleet_t *fleet, host_t *host)
{
    cbw_link_t *link = host->pool.running.next;

    for (; link != &host->pool.running; link = link->next) {
        cbw_request_t *request = Cbw_LIST_ITEM(link, cbw_request_t, link);
        operation_t *operation = (operation_t *)request;
        if (operation->recorded_call != request->call) {
            operation->recorded_call = request->call;
            operation->run =
                PoolFleet_NewRun(fleet, host->generation, request->call);
        }
    }
}

void
PoolFleet_NewOperation(fleet_t *fleet, event_t *event)
{
    int owner_percent = fleet->disruptions->differing_views ? 45 : 97;
    operation_t *operation = g_new0(operation_t, 1);
    event_t *again;

    operation->begun_at = fleet->now;
    operation->needed = fleet->acknowledged;
    operation->measured = fleet->now >= fleet->end - QUIET_MEASURED;
    operation->step = -1;
    switch (CbwRandom_Below(&fleet->random, 3)) {
    case 0:
        operation->step = 0;
        operation->transaction = ++fleet->next_transaction;
        break;
    case 1:
        operation->transaction = 1; /* a read */
        break;
    default:
        break;
    }
    (void)event;
    if (fleet->now < fleet->end - 2 * Cbw_SEC) {
        again = PoolFleet_NewEvent(PoolFleet_NewOperation, 0, 0);
        PoolFleet_Schedule(
            fleet, PoolFleet_Between(fleet, 2 * Cbw_MSEC, 24 * Cbw_MSEC),
            again);
    }
    /* Entries whose views differ send to another host. */
    submit(fleet, operation,
           PoolFleet_Chance(fleet, owner_percent) ||
                   fleet->now >= fleet->disruptions_end
               ? fleet->owner
               : (int)CbwRandom_Below(&fleet->random, HOSTS));
}
