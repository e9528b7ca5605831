#include "carobwind/owner.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "private/owner.h"

/* A request is refused if its estimated wait exceeds the time left until its
 * deadline, divided by this. */
#define MAX_WAIT_DIVISOR 2

/* Relative change of the admitted share per interval: the gain on the relative
 * error of the wait, and the largest decrease. */
#define ADMISSION_GAIN 0.05
#define ADMISSION_MAX_DECREASE 0.15

const char *const CbwOwner_ReachString[] = {"not asked", "asked", "none",
                                            "moved"};

void
CbwOwner_Init(cbw_owner_t *owner, const cbw_inventory_t *inventory,
              const cbw_database_t *database,
              const cbw_owner_policies_t *policies, const cbw_owner_ops_t *ops,
              void *context, uint64_t nonce, cbw_time_t now)
{
    memset(owner, 0, sizeof(*owner));
    owner->database = database;
    owner->inventory = inventory;
    owner->policies = *policies;
    owner->ops = ops;
    owner->context = context;
    owner->started_at = now;
    CbwGroup_Init(&owner->group, database);
    CbwQueue_Init(&owner->primary_queue, inventory->ranks,
                  inventory->rank_count);
    CbwQueue_Init(&owner->replica_queue, inventory->ranks,
                  inventory->rank_count);
    CbwConfirm_Init(&owner->confirm, database->endpoint_count);
    CbwPromotion_Init(&owner->promotion, database->endpoint_count, nonce);
    CbwRetry_Init(&owner->retry_budget);
    CbwList_Init(&owner->parked);
    CbwList_Init(&owner->running);
    CbwList_Init(&owner->confirming);
    CbwList_Init(&owner->settling);
    CbwList_Init(&owner->outstanding_calls);
    CbwList_Init(&owner->transactions);
    for (int i = 0; i < Cbw_RANKS_MAX; i++) {
        owner->admission_permille[i] = 1000;
    }
}

/* Answers the requests of `list` because the owner stops. */
static void
answer_list_on_stop(cbw_owner_t *owner, cbw_time_t now, cbw_link_t *list)
{
    cbw_link_t *link;
    cbw_link_t *next;

    Cbw_LIST_FOREACH (list, link, next) {
        cbw_request_t *request = Cbw_LIST_ITEM(link, cbw_request_t, link);
        bool never_sent =
            !request->maybe_sent && (request->state == CBW_REQUEST_QUEUED ||
                                     request->state == CBW_REQUEST_PARKED);
        CbwOwner_Answer_(owner, now, request,
                         never_sent ? CBW_OUTCOME_NOTRUN : CBW_OUTCOME_UNKNOWN,
                         "the owner stopped");
    }
}

/* Answers the requests of `queue` because the owner stops. */
static void
answer_queue_on_stop(cbw_owner_t *owner, cbw_time_t now, cbw_queue_t *queue)
{
    cbw_request_t *request;

    while ((request = owner->policies.queue->pop(queue)) != NULL) {
        CbwOwner_Answer_(owner, now, request,
                         request->maybe_sent ? CBW_OUTCOME_UNKNOWN
                                             : CBW_OUTCOME_NOTRUN,
                         "the owner stopped");
    }
    CbwQueue_Finish(queue);
}

void
CbwOwner_Finish(cbw_owner_t *owner, cbw_time_t now)
{
    cbw_link_t *link;

    answer_queue_on_stop(owner, now, &owner->primary_queue);
    answer_queue_on_stop(owner, now, &owner->replica_queue);
    answer_list_on_stop(owner, now, &owner->parked);
    answer_list_on_stop(owner, now, &owner->running);
    answer_list_on_stop(owner, now, &owner->confirming);
    answer_list_on_stop(owner, now, &owner->settling);
    while ((link = CbwList_TakeFirst(&owner->outstanding_calls)) != NULL) {
        free(Cbw_LIST_ITEM(link, cbw_outstanding_call_t, link));
    }
    while ((link = CbwList_TakeFirst(&owner->transactions)) != NULL) {
        free(Cbw_LIST_ITEM(link, cbw_transaction_t, link));
    }
}

/* Hands back the requests of `list`, a list of `queue`, that were never sent.
 */
static void
return_unsent(cbw_owner_t *owner, cbw_queue_t *queue, cbw_link_t *list)
{
    cbw_link_t *link;
    cbw_link_t *next;

    Cbw_LIST_FOREACH (list, link, next) {
        cbw_request_t *request = Cbw_LIST_ITEM(link, cbw_request_t, link);
        if (request->maybe_sent) {
            continue; /* only this owner knows that it may have run */
        }
        CbwQueue_Remove(queue, request);
        request->answer.outcome = CBW_OUTCOME_PENDING;
        owner->ops->answer(owner->context, request);
    }
}

void
CbwOwner_ReturnUnsent(cbw_owner_t *owner)
{
    cbw_queue_t *queues[] = {&owner->primary_queue, &owner->replica_queue};

    for (size_t i = 0; i < 2; i++) {
        return_unsent(owner, queues[i], &queues[i]->fifo_requests);
        for (size_t rank = 0; rank < queues[i]->rank_count; rank++) {
            return_unsent(owner, queues[i], &queues[i]->ranks[rank].requests);
        }
    }
}

void
CbwOwner_SetInventory(cbw_owner_t *owner, const cbw_inventory_t *inventory,
                      const cbw_database_t *database)
{
    owner->inventory = inventory;
    owner->database = database;
    for (size_t i = 0; i < inventory->rank_count; i++) {
        double floor = inventory->ranks[i].floor_percent / 100.0;
        owner->primary_queue.ranks[i].floor = floor;
        owner->replica_queue.ranks[i].floor = floor;
    }
    for (int i = 0; i < owner->group.count; i++) {
        CbwOwner_SetLeaving(owner, i, database->endpoints[i].leaving);
    }
}

void
CbwOwner_SetLeaving(cbw_owner_t *owner, int endpoint, bool leaving)
{
    assert(endpoint >= 0 && endpoint < owner->group.count);
    owner->group.endpoints[endpoint].leaving = leaving;
}

void
CbwOwner_LogDecision_(cbw_owner_t *owner, cbw_time_t now, const char *format,
                      ...)
{
    cbw_decision_t *decision =
        &owner->decisions[owner->decision_count++ % Cbw_OWNER_DECISIONS_MAX];
    va_list arguments;

    decision->time = now;
    va_start(arguments, format);
    vsnprintf(decision->text, sizeof(decision->text), format, arguments);
    va_end(arguments);
}

cbw_outstanding_call_t *
CbwOwner_FindCall_(cbw_owner_t *owner, uint64_t id)
{
    cbw_link_t *link;
    cbw_link_t *next;

    Cbw_LIST_FOREACH (&owner->outstanding_calls, link, next) {
        cbw_outstanding_call_t *outstanding =
            Cbw_LIST_ITEM(link, cbw_outstanding_call_t, link);
        if (outstanding->id == id) {
            return outstanding;
        }
    }
    return NULL;
}

/* Detaches a call in flight from its request, if it has one. */
static void
detach_request(cbw_owner_t *owner, cbw_outstanding_call_t *outstanding,
               cbw_time_t latency)
{
    if (outstanding->request == NULL) {
        return;
    }
    outstanding->request->call = 0;
    outstanding->request = NULL;
    CbwLimit_OnComplete(&owner->group.endpoints[outstanding->endpoint].limit,
                        owner->policies.limit, latency);
}

void
CbwOwner_Answer_(cbw_owner_t *owner, cbw_time_t now, cbw_request_t *request,
                 cbw_outcome_t outcome, const char *reason)
{
    (void)now;
    if (request->call != 0) {
        detach_request(owner, CbwOwner_FindCall_(owner, request->call), -1);
    }
    CbwList_Remove(&request->link);
    CbwRequest_End(request, outcome, reason);
    owner->ops->answer(owner->context, request);
}

bool
CbwOwner_Send_(cbw_owner_t *owner, cbw_time_t now, int endpoint,
               cbw_call_t *call, cbw_request_t *request, cbw_time_t timeout)
{
    cbw_outstanding_call_t *outstanding = calloc(1, sizeof(*outstanding));

    if (outstanding == NULL) {
        return false;
    }
    CbwList_Init(&outstanding->link);
    outstanding->id = ++owner->last_call_id;
    outstanding->endpoint = endpoint;
    outstanding->verb = call->verb;
    outstanding->term = call->term;
    outstanding->sent_at = now;
    outstanding->deadline = now + timeout;
    outstanding->request = request;
    call->id = outstanding->id;
    /* Listed before it is sent: the driver may reply from within `call`. */
    CbwList_Append(&owner->outstanding_calls, &outstanding->link);
    if (request != NULL) {
        CbwLimit_OnSend(&owner->group.endpoints[endpoint].limit);
        request->call = call->id;
        request->endpoint = endpoint;
        request->sent_at = now;
        request->attempts++;
        CbwList_Remove(&request->link);
        CbwList_Append(request->state == CBW_REQUEST_SETTLING
                           ? &owner->settling
                           : &owner->running,
                       &request->link);
    }
    if (call->verb == CBW_CALL_STATE) {
        outstanding->sequence = CbwConfirm_NextCallSequence(&owner->confirm);
        owner->state_calls[endpoint] = outstanding;
    }
    if (owner->ops->call(owner->context, endpoint, call)) {
        return true;
    }
    CbwOwner_RemoveCall_(owner, outstanding, -1);
    return false;
}

void
CbwOwner_RemoveCall_(cbw_owner_t *owner, cbw_outstanding_call_t *outstanding,
                     cbw_time_t latency)
{
    int endpoint = outstanding->endpoint;

    detach_request(owner, outstanding, latency);
    if (owner->state_calls[endpoint] == outstanding) {
        owner->state_calls[endpoint] = NULL;
    }
    CbwList_Remove(&outstanding->link);
    free(outstanding);
}

/* Transactions. */

cbw_transaction_t *
CbwOwner_FindTransaction_(cbw_owner_t *owner, uint64_t id)
{
    cbw_link_t *link;
    cbw_link_t *next;

    Cbw_LIST_FOREACH (&owner->transactions, link, next) {
        cbw_transaction_t *transaction =
            Cbw_LIST_ITEM(link, cbw_transaction_t, link);
        if (transaction->id == id) {
            return transaction;
        }
    }
    return NULL;
}

void
CbwOwner_CloseTransaction_(cbw_owner_t *owner, cbw_transaction_t *transaction,
                           bool clean)
{
    owner->ops->end_transaction(owner->context, transaction->endpoint,
                                transaction->id, clean);
    CbwList_Remove(&transaction->link);
    free(transaction);
}

void
CbwOwner_OnCallerDisconnected(cbw_owner_t *owner, uint64_t id)
{
    cbw_transaction_t *transaction = CbwOwner_FindTransaction_(owner, id);

    if (transaction != NULL && !transaction->busy) {
        CbwOwner_CloseTransaction_(owner, transaction, false);
    }
}

static void
expire_transactions(cbw_owner_t *owner, cbw_time_t now)
{
    cbw_link_t *link;
    cbw_link_t *next;

    Cbw_LIST_FOREACH (&owner->transactions, link, next) {
        cbw_transaction_t *transaction =
            Cbw_LIST_ITEM(link, cbw_transaction_t, link);
        if (!transaction->busy && now - transaction->last_used_at >
                                      Cbw_OWNER_TRANSACTION_IDLE_TIMEOUT) {
            CbwOwner_CloseTransaction_(owner, transaction, false);
        }
    }
}

/* Submitting requests. */

cbw_queue_t *
CbwOwner_SelectQueue_(cbw_owner_t *owner, const cbw_request_t *request)
{
    return request->needs_primary ? &owner->primary_queue
                                  : &owner->replica_queue;
}

/* Refuses a request whose estimated wait is too long for its deadline. Returns
 * whether it did. */
static bool
refuse_if_wait_too_long(cbw_owner_t *owner, cbw_time_t now,
                        cbw_request_t *request)
{
    cbw_queue_t *queue = CbwOwner_SelectQueue_(owner, request);
    cbw_time_t wait =
        owner->policies.queue->estimate_wait(queue, request->rank);

    if (request->maybe_sent ||
        wait <= (request->deadline - now) / MAX_WAIT_DIVISOR) {
        return false;
    }
    CbwCounter_Add(owner->policies.counters, CBW_COUNTER_REFUSED_BY_OWNER, 1);
    request->answer.retry_after = wait;
    CbwOwner_Answer_(owner, now, request, CBW_OUTCOME_NOTRUN,
                     "the queue is too long for the deadline");
    return true;
}

void
CbwOwner_Submit(cbw_owner_t *owner, cbw_time_t now, cbw_request_t *request)
{
    const cbw_kind_t *kind =
        CbwInventory_FindKind(owner->inventory, request->kind_name);

    if (kind == NULL) {
        CbwOwner_Answer_(owner, now, request, CBW_OUTCOME_NOTRUN,
                         "unknown kind of work");
        return;
    }
    request->rank = kind->rank;
    request->writes = kind->writes;
    request->confirm = kind->confirm;
    request->needs_primary = request->writes || request->transaction != 0 ||
                             request->verb != CBW_VERB_STATEMENT;
    request->settle_deadline = request->deadline + Cbw_OWNER_SETTLE_GRACE;
    CbwRetry_OnRequest(&owner->retry_budget);
    request->queued_at = now;
    if (request->verb == CBW_VERB_SETTLE) {
        CbwOwner_Settle_(owner, now, request);
    }
    else if (request->transaction != 0 && request->verb != CBW_VERB_BEGIN) {
        CbwOwner_SendInTransaction_(owner, now, request);
        return;
    }
    else if (!refuse_if_wait_too_long(owner, now, request)) {
        owner->policies.queue->push(CbwOwner_SelectQueue_(owner, request),
                                    request);
    }
    CbwOwner_Dispatch_(owner, now);
}

bool
CbwOwner_IsIdle(const cbw_owner_t *owner)
{
    return owner->primary_queue.length == 0 &&
           owner->replica_queue.length == 0 &&
           CbwList_IsEmpty(&owner->parked) &&
           CbwList_IsEmpty(&owner->running) &&
           CbwList_IsEmpty(&owner->confirming) &&
           CbwList_IsEmpty(&owner->settling) &&
           CbwList_IsEmpty(&owner->transactions);
}

/* Timeouts of calls and requests. */

static void
time_out_call(cbw_owner_t *owner, cbw_time_t now,
              cbw_outstanding_call_t *outstanding)
{
    cbw_reply_t lost = {.status = CBW_REPLY_LOST};

    CbwCounter_Add(owner->policies.counters, CBW_COUNTER_CALLS_TIMED_OUT, 1);
    owner->ops->abort(owner->context, outstanding->endpoint, outstanding->id);
    CbwOwner_OnReply(owner, now, outstanding->id, &lost);
}

static void
time_out_calls(cbw_owner_t *owner, cbw_time_t now)
{
    cbw_link_t *link;
    cbw_link_t *next;
    uint64_t expired_ids[64];
    size_t count = 0;

    /* Collected first, since a timeout may remove other calls from the list;
     * those that do not fit are left for the next tick. */
    Cbw_LIST_FOREACH (&owner->outstanding_calls, link, next) {
        cbw_outstanding_call_t *outstanding =
            Cbw_LIST_ITEM(link, cbw_outstanding_call_t, link);
        if (now >= outstanding->deadline && count < 64) {
            expired_ids[count++] = outstanding->id;
        }
    }
    for (size_t i = 0; i < count; i++) {
        cbw_outstanding_call_t *outstanding =
            CbwOwner_FindCall_(owner, expired_ids[i]);
        if (outstanding != NULL) {
            time_out_call(owner, now, outstanding);
        }
    }
}

/* Answers the requests of `list`, which wait to be confirmed or settled, as
 * unknown when their time has run out. */
static void
expire_unresolved_list(cbw_owner_t *owner, cbw_time_t now, cbw_link_t *list)
{
    cbw_link_t *link;
    cbw_link_t *next;

    Cbw_LIST_FOREACH (list, link, next) {
        cbw_request_t *request = Cbw_LIST_ITEM(link, cbw_request_t, link);
        if (now >= request->settle_deadline) {
            CbwOwner_Answer_(owner, now, request, CBW_OUTCOME_UNKNOWN,
                             "no proof within the deadline");
        }
    }
}

/* Settles or answers the requests of `list` whose deadline passed while they
 * were in `queue`. */
static void
expire_queued_list(cbw_owner_t *owner, cbw_time_t now, cbw_queue_t *queue,
                   cbw_link_t *list)
{
    cbw_link_t *link;
    cbw_link_t *next;

    Cbw_LIST_FOREACH (list, link, next) {
        cbw_request_t *request = Cbw_LIST_ITEM(link, cbw_request_t, link);
        if (now < request->deadline) {
            continue;
        }
        CbwQueue_Remove(queue, request);
        if (request->maybe_sent && request->key[0] != '\0') {
            CbwOwner_Settle_(owner, now, request);
            continue;
        }
        CbwCounter_Add(owner->policies.counters, CBW_COUNTER_EXPIRED_IN_QUEUE,
                       1);
        CbwOwner_Answer_(owner, now, request,
                         request->maybe_sent ? CBW_OUTCOME_UNKNOWN
                                             : CBW_OUTCOME_NOTRUN,
                         "the deadline passed in the queue");
    }
}

static void
expire_queues(cbw_owner_t *owner, cbw_time_t now)
{
    cbw_queue_t *queues[] = {&owner->primary_queue, &owner->replica_queue};

    for (size_t i = 0; i < 2; i++) {
        expire_queued_list(owner, now, queues[i], &queues[i]->fifo_requests);
        for (size_t rank = 0; rank < queues[i]->rank_count; rank++) {
            expire_queued_list(owner, now, queues[i],
                               &queues[i]->ranks[rank].requests);
        }
    }
}

/* Moves reads that waited too long for a replica to catch up to the primary's
 * queue. */
static void
requeue_parked_reads(cbw_owner_t *owner, cbw_time_t now)
{
    cbw_link_t *link;
    cbw_link_t *next;

    Cbw_LIST_FOREACH (&owner->parked, link, next) {
        cbw_request_t *request = Cbw_LIST_ITEM(link, cbw_request_t, link);
        if (now - request->parked_at >= Cbw_OWNER_REPLICA_WAIT) {
            CbwList_Remove(&request->link);
            request->needs_primary = true;
            owner->policies.queue->push(&owner->primary_queue, request);
        }
    }
}

/* Updates the throughput of the primary and of the usable replicas, for the
 * estimates of the wait. */
static void
update_throughput(cbw_owner_t *owner, cbw_time_t now)
{
    const cbw_group_t *group = &owner->group;
    double replica_throughput = 0;

    for (int i = 0; i < group->count; i++) {
        const cbw_group_endpoint_t *endpoint = &group->endpoints[i];
        if (i != group->primary && !endpoint->leaving &&
            CbwGroup_IsHealthy(group, i, now)) {
            replica_throughput += CbwLimit_Throughput(&endpoint->limit);
        }
    }
    CbwQueue_SetThroughput(&owner->replica_queue, replica_throughput);
    if (group->primary >= 0) {
        CbwQueue_SetThroughput(
            &owner->primary_queue,
            CbwLimit_Throughput(&group->endpoints[group->primary].limit));
    }
}

/* Returns the admitted share that brings the wait closer to the target, by a
 * step proportional to the error. */
static int
adjust_admission(int admission, cbw_time_t wait)
{
    double error = 1.0 - (double)wait / Cbw_OWNER_ADMISSION_TARGET_WAIT;
    double step = error * ADMISSION_GAIN;

    if (step < -ADMISSION_MAX_DECREASE) {
        step = -ADMISSION_MAX_DECREASE;
    }
    /* The 1 makes up for rounding small increases down. */
    return (int)(admission * (1.0 + step) + (error > 0 ? 1.0 : 0));
}

/* Recomputes the share of each rank that entries admit: it falls while the
 * rank's estimated wait is above the target. */
static void
update_admission(cbw_owner_t *owner, cbw_time_t now)
{
    if (now < owner->next_admission_at) {
        return;
    }
    owner->next_admission_at = now + Cbw_OWNER_ADMISSION_INTERVAL;
    update_throughput(owner, now);
    for (size_t i = 0; i < owner->inventory->rank_count; i++) {
        const cbw_queue_ops_t *policy = owner->policies.queue;
        cbw_time_t wait = policy->estimate_wait(&owner->primary_queue, (int)i);
        cbw_time_t replica_wait =
            policy->estimate_wait(&owner->replica_queue, (int)i);
        int *admission = &owner->admission_permille[i];

        if (replica_wait > wait) {
            wait = replica_wait;
        }
        *admission = adjust_admission(*admission, wait);
        if (*admission < 10) {
            *admission = 10;
        }
        if (*admission > 1000) {
            *admission = 1000;
        }
    }
}

int
CbwOwner_Admission(const cbw_owner_t *owner, int rank)
{
    assert(rank >= 0 && rank < Cbw_RANKS_MAX);
    return owner->admission_permille[rank];
}

void
CbwOwner_Tick(cbw_owner_t *owner, cbw_time_t now)
{
    time_out_calls(owner, now);
    expire_queues(owner, now);
    expire_unresolved_list(owner, now, &owner->confirming);
    expire_unresolved_list(owner, now, &owner->settling);
    expire_transactions(owner, now);
    requeue_parked_reads(owner, now);
    CbwOwner_TickHealth_(owner, now);
    update_admission(owner, now);
    CbwOwner_Dispatch_(owner, now);
}
