#include <stdlib.h>
#include <string.h>

#include "carobwind/pool.h"
#include "carobwind/token.h"
#include "private/pool.h"

void
CbwPool_OnAnswerLost_(cbw_pool_t *pool, cbw_time_t now, cbw_request_t *request,
                      cbw_cause_t cause)
{
    cbw_pool_transaction_t *transaction =
        CbwPool_FindTransaction_(pool, request->transaction);
    bool commit = request->verb == CBW_VERB_COMMIT;

    if (request->transaction != 0) {
        if (transaction != NULL) {
            CbwPool_DropTransaction_(pool, transaction, false);
        }
        if (commit && request->writes) {
            CbwPool_Answer_(pool, request, CBW_OUTCOME_UNKNOWN, cause,
                            "the commit was sent, and its answer is lost");
        }
        else if (request->begins) {
            /* Its connection is closed, so nothing of it can be committed. */
            CbwPool_Requeue_(pool, now, request, CBW_CAUSE_ABORTED);
        }
        else {
            CbwPool_Answer_(pool, request, CBW_OUTCOME_NOTRUN,
                            CBW_CAUSE_ABORTED,
                            "the transaction's connection is lost");
        }
        return;
    }
    if (request->writes) {
        CbwPool_Answer_(pool, request, CBW_OUTCOME_UNKNOWN, cause,
                        "the write was sent, and its answer is lost");
        return;
    }
    if (now >= request->deadline) {
        CbwPool_Answer_(pool, request, CBW_OUTCOME_UNKNOWN, CBW_CAUSE_TIMEOUT,
                        "no answer in the time allowed");
        return;
    }
    CbwPool_Requeue_(pool, now, request, CBW_CAUSE_BUSY);
}

static void
set_result(cbw_pool_t *pool, cbw_request_t *request, const cbw_reply_t *reply)
{
    cbw_token_t token = {.term = reply->state.last_term,
                         .position = reply->state.position};

    if (CbwRequest_SetResult(request, reply->result, reply->result_size) !=
        0) {
        abort();
    }
    if (token.term != 0) {
        memcpy(token.database, pool->database, sizeof(token.database));
        CbwToken_Format(&token, request->answer.token);
    }
}

/* Returns whether the request commits writes: a write outside of a
 * transaction, or the commit of a transaction with writes. */
static bool
is_commit(const cbw_request_t *request)
{
    return request->writes &&
           (request->transaction == 0 || request->verb == CBW_VERB_COMMIT);
}

/* Returns whether another endpoint may be the primary, or may be about to be
 * promoted. */
static bool
is_superseded(const cbw_pool_t *pool, cbw_time_t now, int endpoint)
{
    const cbw_tenure_t *tenure = &pool->tenure;

    return endpoint != pool->primary || pool->phase >= CBW_POOL_CLAIMING ||
           ((tenure->record.promoting || tenure->inherited_promotion) &&
            !CbwPool_IsConfirmedByEndpoints_(pool, now));
}

/* Holds an answer until it is confirmed that its endpoint was the primary. */
static void
hold_answer(cbw_pool_t *pool, cbw_time_t now, cbw_request_t *request,
            int endpoint)
{
    request->state = CBW_REQUEST_CONFIRMING;
    request->answered_at = now;
    request->endpoint = endpoint;
    CbwList_Append(&pool->held_answers, &request->link);
    CbwTenure_RenewEarly(&pool->tenure, now);
}

/* Acknowledges a commit if no promotion has begun and the tenure is valid.
 * Otherwise the answer is held until a later confirmation. `term` is that of
 * the commit; 0: not known. A commit of unknown term that was sent before
 * a change of the primary may be of an earlier one. */
static void
on_committed(cbw_pool_t *pool, cbw_time_t now, cbw_request_t *request,
             const cbw_pool_call_t *call, uint64_t term)
{
    if (term != 0 && term < pool->highest_term) {
        CbwCounter_Add(pool->counters, CBW_COUNTER_COMMITS_SUPERSEDED, 1);
        CbwPool_Answer_(pool, request, CBW_OUTCOME_UNKNOWN, CBW_CAUSE_IN_DOUBT,
                        "it was committed in a superseded term");
        return;
    }
    if (is_superseded(pool, now, call->endpoint) ||
        (term == 0 && call->generation != pool->generation)) {
        CbwCounter_Add(pool->counters, CBW_COUNTER_COMMITS_SUPERSEDED, 1);
        CbwPool_Answer_(pool, request, CBW_OUTCOME_UNKNOWN, CBW_CAUSE_IN_DOUBT,
                        "a promotion began before the answer came");
        return;
    }
    if (CbwTenure_IsValid(&pool->tenure, now)) {
        CbwPool_Answer_(pool, request, CBW_OUTCOME_DONE, CBW_CAUSE_NONE, "");
        return;
    }
    hold_answer(pool, now, request, call->endpoint);
}

/* Returns the time up to which it must be proved that no other endpoint had
 * been promoted: when a commit was answered, or when a read was sent. */
static cbw_time_t
required_confirmation_time(const cbw_request_t *request)
{
    return is_commit(request) ? request->answered_at : request->sent_at;
}

/* Ends or repeats a request whose held answer cannot be confirmed. */
static void
fail_held_answer(cbw_pool_t *pool, cbw_time_t now, cbw_request_t *request)
{
    if (is_commit(request)) {
        CbwPool_Answer_(pool, request, CBW_OUTCOME_UNKNOWN, CBW_CAUSE_IN_DOUBT,
                        "no proof that the primary is still the one");
        return;
    }
    CbwList_Remove(&request->link);
    request->answer.token[0] = '\0'; /* its log may be discarded */
    /* An answer that cannot be confirmed is treated like a lost one. */
    CbwPool_OnAnswerLost_(pool, now, request, CBW_CAUSE_IN_DOUBT);
}

void
CbwPool_FailHeldAnswers_(cbw_pool_t *pool, cbw_time_t now)
{
    cbw_link_t *link;
    cbw_link_t *safe;

    Cbw_LIST_FOREACH (&pool->held_answers, link, safe) {
        fail_held_answer(pool, now, Cbw_LIST_ITEM(link, cbw_request_t, link));
    }
}

void
CbwPool_ReleaseHeldAnswers_(cbw_pool_t *pool, cbw_time_t now)
{
    cbw_link_t *link;
    cbw_link_t *safe;

    Cbw_LIST_FOREACH (&pool->held_answers, link, safe) {
        cbw_request_t *request = Cbw_LIST_ITEM(link, cbw_request_t, link);
        bool superseded = is_superseded(pool, now, request->endpoint);
        if (!superseded &&
            CbwPool_WasPrimaryAt_(pool, now,
                                  required_confirmation_time(request))) {
            CbwPool_Answer_(pool, request, CBW_OUTCOME_DONE, CBW_CAUSE_NONE,
                            "");
        }
        else if (superseded || now >= request->deadline ||
                 (!is_commit(request) && !pool->confirming)) {
            fail_held_answer(pool, now, request);
        }
    }
}

/* Returns whether a read, or the first statement of a transaction, was sent to
 * the primary without a valid tenure: its answer counts only if the endpoints
 * confirm that this was the primary. Later statements of a transaction need no
 * check: they see the same data as its first one. */
static bool
needs_confirmation(const cbw_request_t *request, const cbw_pool_call_t *call)
{
    return call->sent_to_primary && !call->sent_under_tenure &&
           (request->transaction == 0 || request->begins);
}

/* Returns whether a replica answered a read, or the first statement of a
 * transaction, from a log with discarded entries. Since it was chosen, it may
 * have received them, or a promotion may have discarded them. */
static bool
shows_discarded_entries(const cbw_pool_t *pool, const cbw_request_t *request,
                        const cbw_pool_call_t *call, const cbw_reply_t *reply)
{
    cbw_position_t position = {reply->state.last_term, reply->state.position};

    return !call->sent_to_primary && position.term != 0 &&
           (request->transaction == 0 || request->begins) &&
           !CbwPool_MayShowLog_(pool, position);
}

static void
on_done(cbw_pool_t *pool, cbw_time_t now, cbw_request_t *request,
        const cbw_reply_t *reply, const cbw_pool_call_t *call)
{
    set_result(pool, request, reply);
    if (is_commit(request)) {
        on_committed(pool, now, request, call, reply->state.last_term);
        return;
    }
    if (shows_discarded_entries(pool, request, call, reply)) {
        CbwCounter_Add(pool->counters, CBW_COUNTER_REPLICA_ANSWERS_REJECTED,
                       1);
        fail_held_answer(pool, now, request);
        return;
    }
    if (needs_confirmation(request, call)) {
        if (call->generation != pool->generation) {
            /* A later confirmation is of another primary, or of the same one
             * after it had been superseded. */
            fail_held_answer(pool, now, request);
            return;
        }
        if (!CbwPool_WasPrimaryAt_(pool, now, request->sent_at)) {
            hold_answer(pool, now, request, call->endpoint);
            return;
        }
    }
    CbwPool_Answer_(pool, request, CBW_OUTCOME_DONE, CBW_CAUSE_NONE, "");
}

void
CbwPool_OnNotRun_(cbw_pool_t *pool, cbw_time_t now, cbw_request_t *request,
                  cbw_cause_t cause)
{
    cbw_pool_transaction_t *transaction;

    CbwPool_UpdateToken_(pool, now, request, CBW_POOL_TOKEN_NOT_RUN);
    if (request->transaction == 0 || request->begins) {
        transaction = CbwPool_FindTransaction_(pool, request->transaction);
        if (transaction != NULL) {
            CbwPool_DropTransaction_(pool, transaction, false);
        }
        CbwPool_Requeue_(pool, now, request, cause);
        return;
    }
    CbwPool_Answer_(pool, request, CBW_OUTCOME_NOTRUN, CBW_CAUSE_ABORTED,
                    "a statement of the transaction did not run");
}

static void
update_transaction(cbw_pool_t *pool, cbw_time_t now,
                   const cbw_request_t *request, cbw_reply_status_t status)
{
    cbw_pool_transaction_t *transaction;
    bool succeeded = status == CBW_REPLY_OK;
    bool ends;

    if (request->transaction == 0) {
        return;
    }
    transaction = CbwPool_FindTransaction_(pool, request->transaction);
    if (transaction == NULL) {
        return;
    }
    transaction->busy = false;
    transaction->last_used_at = now;
    ends =
        request->verb == CBW_VERB_COMMIT || request->verb == CBW_VERB_ROLLBACK;
    if (ends || !succeeded) {
        /* After an error the connection is closed, which rolls back. */
        CbwPool_DropTransaction_(pool, transaction, ends && succeeded);
    }
}

static void
back_off_lagging(cbw_pool_endpoint_t *e, cbw_time_t now)
{
    e->lag_backoff =
        e->lag_backoff == 0 ? Cbw_POOL_LAG_BACKOFF : 2 * e->lag_backoff;
    if (e->lag_backoff > Cbw_POOL_LAG_BACKOFF_MAX) {
        e->lag_backoff = Cbw_POOL_LAG_BACKOFF_MAX;
    }
    e->lag_backoff_until = now + e->lag_backoff;
}

/* Handles a request that ran outside of its transaction, or in an unknown one:
 * a write may or may not have been committed, nor is it known how the
 * transaction that the endpoint no longer has open has ended. */
static void
on_misplaced(cbw_pool_t *pool, cbw_time_t now, cbw_request_t *request)
{
    if (request->writes || (request->transaction != 0 && !request->begins)) {
        CbwPool_Answer_(pool, request, CBW_OUTCOME_UNKNOWN, CBW_CAUSE_IN_DOUBT,
                        "it did not run in its transaction");
        return;
    }
    CbwPool_OnAnswerLost_(pool, now, request, CBW_CAUSE_IN_DOUBT);
}

static void
on_request_reply(cbw_pool_t *pool, cbw_time_t now, const cbw_pool_call_t *call,
                 const cbw_reply_t *reply)
{
    cbw_pool_endpoint_t *e = &pool->endpoints[call->endpoint];
    cbw_request_t *request = call->request;

    if (reply->status != CBW_REPLY_LOST) {
        update_transaction(pool, now, request, reply->status);
    }
    switch (reply->status) {
    case CBW_REPLY_OK:
        e->lag_backoff = 0;
        on_done(pool, now, request, reply, call);
        break;
    case CBW_REPLY_BUSY:
    case CBW_REPLY_NO_CONNECTION:
        e->skip_until = now + Cbw_POOL_BUSY_BACKOFF;
        CbwPool_OnNotRun_(pool, now, request, CBW_CAUSE_BUSY);
        break;
    case CBW_REPLY_BEHIND:
        back_off_lagging(e, now);
        request->needs_primary |=
            CbwPool_UsablePrimary_(pool, now) >= 0 && !request->reads_only;
        CbwPool_OnNotRun_(pool, now, request, CBW_CAUSE_BEHIND);
        break;
    case CBW_REPLY_SUPERSEDED:
    case CBW_REPLY_NOT_PRIMARY:
        e->skip_until = now + Cbw_POOL_LAG_BACKOFF;
        CbwTenure_RenewEarly(&pool->tenure, now);
        CbwPool_SendStateCall_(pool, now, call->endpoint);
        CbwPool_OnNotRun_(pool, now, request, CBW_CAUSE_BUSY);
        break;
    case CBW_REPLY_FAILED:
        set_result(pool, request, reply);
        CbwPool_Answer_(pool, request, CBW_OUTCOME_UNKNOWN, CBW_CAUSE_FAILED,
                        "the endpoint ran it, and it failed");
        break;
    case CBW_REPLY_TIMEOUT:
        CbwPool_Answer_(pool, request, CBW_OUTCOME_UNKNOWN, CBW_CAUSE_TIMEOUT,
                        "the endpoint gave it up");
        break;
    case CBW_REPLY_TOO_LARGE:
        /* A retry would return the same result. */
        CbwPool_Answer_(pool, request, CBW_OUTCOME_UNKNOWN,
                        is_commit(request) ? CBW_CAUSE_IN_DOUBT
                                           : CBW_CAUSE_FAILED,
                        "it ran, and its result is too large to pass on");
        break;
    case CBW_REPLY_MISPLACED:
        on_misplaced(pool, now, request);
        break;
    default:
        CbwPool_OnAnswerLost_(pool, now, request,
                              now >= request->deadline ? CBW_CAUSE_TIMEOUT
                                                       : CBW_CAUSE_IN_DOUBT);
        break;
    }
}

/* Whether the reply to a call reports the end of the primary's log. The reply
 * to a control call does so only if the endpoint leads the highest known term:
 * the record may still name a superseded primary. */
static bool
has_primary_position(const cbw_pool_t *pool, const cbw_pool_call_t *call,
                     const cbw_reply_t *reply)
{
    if (call->endpoint != pool->primary ||
        call->generation != pool->generation) {
        return false;
    }
    return call->request != NULL ||
           (reply->state.primary && reply->state.term >= pool->highest_term);
}

static void
update_endpoint(cbw_pool_t *pool, cbw_time_t now, const cbw_pool_call_t *call,
                const cbw_reply_t *reply)
{
    cbw_pool_endpoint_t *e = &pool->endpoints[call->endpoint];
    cbw_position_t position = {reply->state.last_term, reply->state.position};

    if (reply->status == CBW_REPLY_LOST && call->request != NULL) {
        e->suspect = true;
        return;
    }
    if (reply->status == CBW_REPLY_LOST ||
        reply->status == CBW_REPLY_NO_CONNECTION) {
        CbwPool_OnEndpointFailure_(pool, now, call->endpoint);
        return;
    }
    e->last_reply_at = now;
    e->consecutive_failures = 0;
    e->suspect = false;
    if (e->down) {
        e->down = false;
        CbwPool_LogDecision_(pool, now, "endpoint %s is up again",
                             e->info.name);
    }
    CbwPool_ObserveTerm_(pool, reply->state.term);
    if (pool->reads != NULL) {
        CbwReadDispatch_OnTerm(pool->reads, reply->state.term);
    }
    if (position.term == 0) {
        return;
    }
    CbwPool_ObserveTerm_(pool, position.term);
    e->position = position;
    if (!has_primary_position(pool, call, reply)) {
        return;
    }
    if (call->sent_under_tenure && !pool->tenure.record.promoting) {
        CbwPool_ObservePosition_(pool, call->sent_at, position);
    }
    else {
        CbwPool_ObserveUnconfirmed_(pool, call->sent_at, position);
    }
}

void
CbwPool_OnReply(cbw_pool_t *pool, cbw_time_t now, uint64_t id,
                const cbw_reply_t *reply)
{
    cbw_link_t *link = pool->outstanding.next;
    cbw_pool_call_t *found = NULL;
    cbw_pool_call_t call;

    for (; link != &pool->outstanding && found == NULL; link = link->next) {
        cbw_pool_call_t *other = Cbw_LIST_ITEM(link, cbw_pool_call_t, link);
        if (other->id == id) {
            found = other;
        }
    }
    if (found == NULL) {
        return; /* the call was aborted before */
    }
    call = *found;
    CbwPool_RemoveCall_(pool, found);
    update_endpoint(pool, now, &call, reply);
    CbwPool_Measure_(pool, now, &call, reply);
    if (call.request != NULL) {
        CbwLatency_Add(pool->latencies, CBW_LATENCY_ENDPOINT,
                       call.request->rank, now - call.sent_at);
        on_request_reply(pool, now, &call, reply);
    }
    else {
        CbwPool_OnControlReply_(pool, now, &call, reply);
    }
    CbwPool_Dispatch_(pool, now);
}
