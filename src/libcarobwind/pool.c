#include "carobwind/pool.h"

#include <assert.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "private/pool.h"

const char *const CbwPool_PromoteStatusString[] = {"taken", "refused", "lost"};

const char *const CbwPool_PhaseString[] = {
    "serving", "asking-reach", "draining",  "claiming",
    "waiting", "ordering",     "following", "publishing",
};

static void
op_read_record(void *context)
{
    cbw_pool_t *pool = context;

    pool->ops->read_record(pool->context);
}

static void
op_swap_record(void *context, uint64_t version,
               const cbw_tenure_record_t *record)
{
    cbw_pool_t *pool = context;

    pool->ops->swap_record(pool->context, version, record);
}

static void
op_ask_to_relinquish(void *context, const cbw_tenure_holder_t *holder)
{
    cbw_pool_t *pool = context;

    pool->ops->ask_to_relinquish(pool->context, holder);
}

static const cbw_tenure_ops_t tenure_ops = {
    .ask_to_relinquish = op_ask_to_relinquish,
    .read_record = op_read_record,
    .swap_record = op_swap_record,
};

void
CbwPool_Init(cbw_pool_t *pool, const char *database,
             const cbw_queue_ops_t *queue_policy, const cbw_rank_t *ranks,
             size_t rank_count, const cbw_pool_ops_t *ops, void *context,
             uint64_t nonce, const char *host, const char *data_centre,
             cbw_counters_t *counters)
{
    memset(pool, 0, sizeof(*pool));
    snprintf(pool->database, sizeof(pool->database), "%s", database);
    snprintf(pool->data_centre, sizeof(pool->data_centre), "%s", data_centre);
    pool->ops = ops;
    pool->context = context;
    pool->queue_policy = queue_policy;
    pool->counters = counters;
    pool->assigned = true;
    pool->primary = -1;
    pool->primary_base = Cbw_TERM_BASE_UNKNOWN;
    pool->candidate = -1;
    CbwTenure_Init(&pool->tenure, &tenure_ops, pool, nonce, host);
    CbwQueue_Init(&pool->primary_queue, ranks, rank_count);
    CbwQueue_Init(&pool->replica_queue, ranks, rank_count);
    CbwList_Init(&pool->running);
    CbwList_Init(&pool->held_answers);
    CbwList_Init(&pool->outstanding);
    CbwList_Init(&pool->transactions);
    pool->transaction_idle_timeout = Cbw_POOL_TRANSACTION_IDLE_TIMEOUT;
    pool->offload.cost_per_kb = Cbw_OFFLOAD_COST_PER_KB;
}

void
CbwPool_SetTransactionIdleTimeout(cbw_pool_t *pool, cbw_time_t timeout)
{
    pool->transaction_idle_timeout =
        timeout > 0 ? timeout : Cbw_POOL_TRANSACTION_IDLE_TIMEOUT;
}

void
CbwPool_SetLeavingLimit(cbw_pool_t *pool, cbw_time_t limit)
{
    pool->leaving_limit = limit;
}

void
CbwPool_SetDraining(cbw_pool_t *pool, bool draining)
{
    pool->draining = draining;
}

void
CbwPool_SetSynchronous(cbw_pool_t *pool, bool synchronous)
{
    pool->synchronous = synchronous;
}

static void
fail_queued(cbw_pool_t *pool, cbw_queue_t *queue, cbw_outcome_t outcome)
{
    cbw_request_t *request;

    while ((request = pool->queue_policy->pop(queue)) != NULL) {
        CbwPool_Answer_(pool, request, outcome, CBW_CAUSE_BUSY,
                        "the owner stopped");
    }
}

void
CbwPool_Finish(cbw_pool_t *pool, cbw_time_t now)
{
    cbw_link_t *link;

    CbwPool_CancelOrder_(pool, now);
    fail_queued(pool, &pool->primary_queue, CBW_OUTCOME_NOTRUN);
    fail_queued(pool, &pool->replica_queue, CBW_OUTCOME_NOTRUN);
    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        if (pool->endpoints[i].used) {
            CbwPool_AbortCalls_(pool, now, i);
            pool->ops->detach(pool->context, i);
        }
    }
    /* Aborted requests that may be repeated have been queued again. */
    fail_queued(pool, &pool->primary_queue, CBW_OUTCOME_NOTRUN);
    fail_queued(pool, &pool->replica_queue, CBW_OUTCOME_NOTRUN);
    while ((link = CbwList_TakeFirst(&pool->held_answers)) != NULL) {
        CbwPool_Answer_(pool, Cbw_LIST_ITEM(link, cbw_request_t, link),
                        CBW_OUTCOME_UNKNOWN, CBW_CAUSE_IN_DOUBT,
                        "the owner stopped");
    }
    while ((link = CbwList_TakeFirst(&pool->outstanding)) != NULL) {
        free(Cbw_LIST_ITEM(link, cbw_pool_call_t, link));
    }
    CbwQueue_Finish(&pool->primary_queue);
    CbwQueue_Finish(&pool->replica_queue);
}

void
CbwPool_LogDecision_(cbw_pool_t *pool, cbw_time_t now, const char *format, ...)
{
    cbw_pool_decision_t *decision =
        &pool->decisions[pool->decision_count++ % Cbw_POOL_DECISIONS_MAX];
    va_list arguments;

    decision->time = now;
    va_start(arguments, format);
    vsnprintf(decision->text, sizeof(decision->text), format, arguments);
    va_end(arguments);
    pool->ops->log_decision(pool->context, decision->text);
}

void
CbwPool_Answer_(cbw_pool_t *pool, cbw_request_t *request,
                cbw_outcome_t outcome, cbw_cause_t cause, const char *reason)
{
    CbwList_Remove(&request->link);
    CbwPool_UpdateToken_(pool, 0, request, CBW_POOL_TOKEN_ENDED);
    request->answer.cause = cause;
    CbwRequest_End(request, outcome, reason);
    pool->ops->answer(pool->context, request);
}

/* Calls. */

cbw_call_verb_t
CbwPool_CallVerb_(const cbw_request_t *request)
{
    return request->verb == CBW_VERB_COMMIT     ? CBW_CALL_COMMIT
           : request->verb == CBW_VERB_ROLLBACK ? CBW_CALL_ROLLBACK
                                                : CBW_CALL_RUN;
}

bool
CbwPool_Send_(cbw_pool_t *pool, cbw_time_t now, int endpoint, cbw_call_t *call,
              cbw_request_t *request, cbw_time_t timeout)
{
    cbw_pool_call_t *sent = calloc(1, sizeof(*sent));
    cbw_pool_endpoint_t *e = &pool->endpoints[endpoint];

    if (sent == NULL) {
        return false;
    }
    CbwList_Init(&sent->link);
    sent->id = ++pool->last_call_id;
    sent->endpoint = endpoint;
    sent->verb = call->verb;
    sent->sent_at = now;
    sent->deadline = now + timeout;
    sent->sent_under_tenure = CbwTenure_IsValid(&pool->tenure, now);
    sent->sent_to_primary = endpoint == pool->primary;
    sent->generation = pool->generation;
    sent->request = request;
    call->id = sent->id;
    if (e->unanswered_since == 0) {
        e->unanswered_since = now;
    }
    CbwList_Append(&pool->outstanding, &sent->link);
    if (request != NULL) {
        e->in_flight++;
        if (e->in_flight + e->transactions > e->peak_connections) {
            e->peak_connections = e->in_flight + e->transactions;
        }
        request->state = CBW_REQUEST_RUNNING;
        request->call = sent->id;
        request->endpoint = endpoint;
        request->sent_at = now;
        request->attempts++;
        CbwList_Remove(&request->link);
        CbwList_Append(&pool->running, &request->link);
    }
    if (pool->ops->call(pool->context, endpoint, call)) {
        if (request != NULL) {
            CbwPool_UpdateToken_(pool, now, request, CBW_POOL_TOKEN_SENT);
        }
        return true;
    }
    CbwPool_RemoveCall_(pool, sent);
    return false;
}

void
CbwPool_RemoveCall_(cbw_pool_t *pool, cbw_pool_call_t *call)
{
    cbw_pool_endpoint_t *e = &pool->endpoints[call->endpoint];
    cbw_link_t *link;
    cbw_time_t oldest = 0;

    CbwList_Remove(&call->link);
    if (call->request != NULL) {
        e->in_flight--;
        call->request->call = 0;
        CbwList_Remove(&call->request->link);
    }
    if (e->state_call_id == call->id) {
        e->state_call_id = 0;
    }
    for (link = pool->outstanding.next; link != &pool->outstanding;
         link = link->next) {
        cbw_pool_call_t *other = Cbw_LIST_ITEM(link, cbw_pool_call_t, link);
        if (other->endpoint == call->endpoint) {
            oldest = other->sent_at;
            break;
        }
    }
    e->unanswered_since = oldest;
    free(call);
}

void
CbwPool_AbortCalls_(cbw_pool_t *pool, cbw_time_t now, int endpoint)
{
    cbw_link_t *link;
    cbw_link_t *safe;
    cbw_link_t aborted;

    CbwList_Init(&aborted);
    Cbw_LIST_FOREACH (&pool->outstanding, link, safe) {
        cbw_pool_call_t *call = Cbw_LIST_ITEM(link, cbw_pool_call_t, link);
        cbw_request_t *request = call->request;
        if (call->endpoint != endpoint) {
            continue;
        }
        if (request != NULL) {
            request->maybe_sent =
                pool->ops->abort(pool->context, endpoint, call->id);
        }
        else {
            pool->ops->abort(pool->context, endpoint, call->id);
        }
        CbwPool_RemoveCall_(pool, call);
        if (request != NULL) {
            CbwList_Append(&aborted, &request->link);
        }
    }
    Cbw_LIST_FOREACH (&pool->transactions, link, safe) {
        cbw_pool_transaction_t *transaction =
            Cbw_LIST_ITEM(link, cbw_pool_transaction_t, link);
        if (transaction->endpoint == endpoint && !transaction->busy) {
            CbwPool_DropTransaction_(pool, transaction, false);
        }
    }
    while ((link = CbwList_TakeFirst(&aborted)) != NULL) {
        cbw_request_t *request = Cbw_LIST_ITEM(link, cbw_request_t, link);
        if (request->maybe_sent) {
            CbwPool_OnAnswerLost_(pool, now, request, CBW_CAUSE_IN_DOUBT);
        }
        else {
            CbwPool_OnNotRun_(pool, now, request, CBW_CAUSE_BUSY);
        }
    }
}

/* Transactions. */

cbw_pool_transaction_t *
CbwPool_FindTransaction_(cbw_pool_t *pool, uint64_t id)
{
    cbw_link_t *link = pool->transactions.next;

    for (; link != &pool->transactions; link = link->next) {
        cbw_pool_transaction_t *transaction =
            Cbw_LIST_ITEM(link, cbw_pool_transaction_t, link);
        if (transaction->id == id) {
            return transaction;
        }
    }
    return NULL;
}

void
CbwPool_DropTransaction_(cbw_pool_t *pool, cbw_pool_transaction_t *transaction,
                         bool clean)
{
    pool->endpoints[transaction->endpoint].transactions--;
    pool->ops->end_transaction(pool->context, transaction->endpoint,
                               transaction->id, clean);
    CbwList_Remove(&transaction->link);
    free(transaction);
}

static void
expire_transactions(cbw_pool_t *pool, cbw_time_t now)
{
    cbw_link_t *link;
    cbw_link_t *safe;

    Cbw_LIST_FOREACH (&pool->transactions, link, safe) {
        cbw_pool_transaction_t *transaction =
            Cbw_LIST_ITEM(link, cbw_pool_transaction_t, link);
        if (!transaction->busy &&
            now - transaction->last_used_at > pool->transaction_idle_timeout) {
            CbwPool_DropTransaction_(pool, transaction, false);
        }
    }
}

/* Submission. */

static void
continue_transaction(cbw_pool_t *pool, cbw_time_t now, cbw_request_t *request)
{
    cbw_pool_transaction_t *transaction =
        CbwPool_FindTransaction_(pool, request->transaction);
    cbw_call_t call = {
        .verb = CbwPool_CallVerb_(request),
        .writes = request->writes,
        .key = "",
        .trace = request->trace,
        .workspace = request->workspace,
        .rank = request->rank,
        .statement = request->statement,
        .statement_size = request->statement_size,
        .transaction = request->transaction,
        .values = request->values != NULL ? request->values : "",
        .shape = request->shape != NULL ? request->shape : "",
    };

    if (transaction == NULL || transaction->busy) {
        CbwPool_Answer_(pool, request, CBW_OUTCOME_NOTRUN, CBW_CAUSE_ABORTED,
                        "the transaction is lost: nothing of it is kept");
        return;
    }
    transaction->busy = true;
    transaction->last_used_at = now;
    transaction->has_written |= request->writes;
    /* The commit of a transaction without writes does not count as a write. */
    request->writes |=
        request->verb == CBW_VERB_COMMIT && transaction->has_written;
    if (!CbwPool_Send_(pool, now, transaction->endpoint, &call, request,
                       request->deadline - now)) {
        CbwPool_DropTransaction_(pool, transaction, false);
        CbwPool_Answer_(pool, request, CBW_OUTCOME_NOTRUN, CBW_CAUSE_ABORTED,
                        "the transaction's connection is lost");
    }
}

/* Refuses a request that the endpoints' protocol cannot carry. Its transaction
 * is rolled back, as the entry assumes after this answer. */
static void
refuse_unsupported(cbw_pool_t *pool, cbw_request_t *request)
{
    cbw_pool_transaction_t *transaction =
        request->begins ? NULL
                        : CbwPool_FindTransaction_(pool, request->transaction);

    if (transaction != NULL && !transaction->busy) {
        CbwPool_DropTransaction_(pool, transaction, false);
    }
    CbwCounter_Add(pool->counters, CBW_COUNTER_MALFORMED, 1);
    CbwPool_Answer_(
        pool, request,
        request->maybe_sent ? CBW_OUTCOME_UNKNOWN : CBW_OUTCOME_NOTRUN,
        CBW_CAUSE_MALFORMED, "the endpoints' protocol cannot carry it");
}

void
CbwPool_SetAssigned(cbw_pool_t *pool, bool assigned)
{
    pool->assigned = assigned;
}

void
CbwPool_Submit(cbw_pool_t *pool, cbw_time_t now, cbw_request_t *request)
{
    if (pool->ops->can_carry != NULL &&
        !pool->ops->can_carry(pool->context, request)) {
        refuse_unsupported(pool, request);
        return;
    }
    if (request->takes_over) {
        pool->take_over_until = now + Cbw_POOL_TAKE_OVER_WINDOW;
        pool->redirected_until = 0;
        pool->redirected_to_promoter = false;
    }
    request->needs_primary = request->rule == CBW_READ_LATEST ||
                             (request->writes && !request->reads_only) ||
                             (request->begins && !request->reads_only);
    request->queued_at = now;
    pool->last_submit_at = now;
    if (request->transaction != 0 && !request->begins) {
        continue_transaction(pool, now, request);
        return;
    }
    if (CbwPool_RefuseByQuota_(pool, now, request)) {
        return;
    }
    if (!CbwPool_RefuseOnArrival_(pool, now, request)) {
        pool->queue_policy->push(CbwPool_SelectQueue_(pool, request), request);
    }
    CbwPool_Dispatch_(pool, now);
}

static void
return_queue(cbw_pool_t *pool, cbw_queue_t *queue)
{
    cbw_request_t *request;

    while ((request = pool->queue_policy->pop(queue)) != NULL) {
        CbwList_Remove(&request->link);
        CbwPool_UpdateToken_(pool, 0, request, CBW_POOL_TOKEN_ENDED);
        request->answer.outcome = CBW_OUTCOME_PENDING;
        pool->ops->answer(pool->context, request);
    }
}

void
CbwPool_ReturnUnsent(cbw_pool_t *pool)
{
    return_queue(pool, &pool->primary_queue);
    return_queue(pool, &pool->replica_queue);
}

bool
CbwPool_IsIdle(const cbw_pool_t *pool)
{
    return pool->primary_queue.length == 0 &&
           pool->replica_queue.length == 0 &&
           CbwList_IsEmpty(&pool->running) &&
           CbwList_IsEmpty(&pool->held_answers) &&
           CbwList_IsEmpty(&pool->transactions);
}

/* Timeouts. */

static void
expire_calls(cbw_pool_t *pool, cbw_time_t now)
{
    cbw_link_t *link;
    cbw_link_t *safe;
    cbw_link_t late;

    CbwList_Init(&late);
    Cbw_LIST_FOREACH (&pool->outstanding, link, safe) {
        cbw_pool_call_t *call = Cbw_LIST_ITEM(link, cbw_pool_call_t, link);
        if (now >= call->deadline) {
            CbwList_Remove(link);
            CbwList_Append(&late, link);
        }
    }
    while (!CbwList_IsEmpty(&late)) {
        cbw_pool_call_t *call =
            Cbw_LIST_ITEM(late.next, cbw_pool_call_t, link);
        cbw_reply_t lost = {.status = CBW_REPLY_LOST};
        uint64_t id = call->id;
        /* CbwPool_OnReply finds the call in this list. */
        CbwList_Remove(&call->link);
        CbwList_Append(&pool->outstanding, &call->link);
        CbwCounter_Add(pool->counters, CBW_COUNTER_CALLS_TIMED_OUT, 1);
        if (!pool->ops->abort(pool->context, call->endpoint, id)) {
            lost.status = CBW_REPLY_NO_CONNECTION;
        }
        CbwPool_OnReply(pool, now, id, &lost);
    }
}

void
CbwPool_Tick(cbw_pool_t *pool, cbw_time_t now, bool hold_tenure)
{
    CbwPool_RedirectToHolder_(pool, now);
    CbwPool_EndLeases_(pool, now);
    CbwPool_UpdateCopies_(pool, now);
    if (hold_tenure && !pool->stopping &&
        (now >= pool->redirected_until || pool->redirected_to_promoter)) {
        CbwTenure_Tick(&pool->tenure, now, CbwPool_FirstPrimary_(pool));
    }
    expire_calls(pool, now);
    CbwPool_ExpireQueues_(pool, now);
    expire_transactions(pool, now);
    CbwPool_TickHealth_(pool, now);
    CbwPool_ReleaseHeldAnswers_(pool, now);
    CbwPool_Dispatch_(pool, now);
}

bool
CbwPool_Relinquish(cbw_pool_t *pool, cbw_time_t now)
{
    if (pool->phase >= CBW_POOL_CLAIMING || CbwPool_IsPromoting(pool, now) ||
        CbwPool_SuspendLeases_(pool, now)) {
        return false;
    }
    CbwTenure_Relinquish(&pool->tenure, now);
    CbwPool_LogDecision_(pool, now,
                         "relinquished its tenure to another owner");
    return true;
}

void
CbwPool_OnHolderUnreachable(cbw_pool_t *pool, cbw_time_t now, uint64_t nonce)
{
    CbwTenure_OnHolderUnreachable(&pool->tenure, now, nonce);
}

void
CbwPool_OnRelinquished(cbw_pool_t *pool, cbw_time_t now, uint64_t nonce)
{
    CbwTenure_OnRelinquished(&pool->tenure, now, nonce);
}

bool
CbwPool_Release(cbw_pool_t *pool, cbw_time_t now)
{
    if (CbwPool_IsPromoting(pool, now) || CbwPool_SuspendLeases_(pool, now)) {
        return false;
    }
    CbwTenure_Release(&pool->tenure, now);
    pool->phase = CBW_POOL_SERVING;
    pool->stopping = true;
    return true;
}
