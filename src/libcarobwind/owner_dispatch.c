#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "carobwind/owner.h"
#include "private/owner.h"

/* A statement is sent only if more time than this is left until its deadline.
 */
#define MIN_SERVICE_TIME (1 * Cbw_MSEC)

/* Maximum number of times that the timeout of a request's attempts doubles. */
#define MAX_TIMEOUT_DOUBLINGS 4

static const cbw_call_verb_t call_verbs[] = {
    [CBW_VERB_STATEMENT] = CBW_CALL_RUN,
    [CBW_VERB_BEGIN] = CBW_CALL_BEGIN,
    [CBW_VERB_COMMIT] = CBW_CALL_COMMIT,
    [CBW_VERB_ROLLBACK] = CBW_CALL_ROLLBACK,
    [CBW_VERB_SETTLE] = CBW_CALL_CANCEL,
};

/* Parses the request's session token into `token`. Returns NULL if there is
 * none for this database. */
static const cbw_token_t *
parse_token(const cbw_owner_t *owner, const cbw_request_t *request,
            cbw_token_t *token)
{
    if (request->token[0] == '\0' ||
        CbwToken_Parse(token, request->token) != 0 ||
        strcmp(token->database, owner->database->name) != 0) {
        return NULL;
    }
    return token;
}

/* Settles or answers a dequeued request whose deadline is too near. Returns
 * whether it did. */
static bool
end_if_expired(cbw_owner_t *owner, cbw_time_t now, cbw_request_t *request)
{
    if (now + MIN_SERVICE_TIME < request->deadline) {
        return false;
    }
    if (request->maybe_sent && request->key[0] != '\0') {
        CbwOwner_Settle_(owner, now, request);
        return true;
    }
    CbwCounter_Add(owner->policies.counters, CBW_COUNTER_EXPIRED_IN_QUEUE, 1);
    CbwOwner_Answer_(owner, now, request,
                     request->maybe_sent ? CBW_OUTCOME_UNKNOWN
                                         : CBW_OUTCOME_NOTRUN,
                     "the deadline passed in the queue");
    return true;
}

/* The timeout doubles with each attempt, so that a statement that is slow but
 * not lost can finish before its retries fill the endpoint's slots. */
static cbw_time_t
attempt_timeout(const cbw_request_t *request)
{
    int doublings = request->attempts < MAX_TIMEOUT_DOUBLINGS
                        ? request->attempts
                        : MAX_TIMEOUT_DOUBLINGS;

    return Cbw_OWNER_ATTEMPT_TIMEOUT << doublings;
}

static bool
send_request(cbw_owner_t *owner, cbw_time_t now, int endpoint,
             cbw_request_t *request)
{
    cbw_call_t call = {
        .verb = call_verbs[request->verb],
        .term = owner->group.term,
        .writes = request->writes,
        .key = request->key,
        .statement = request->statement,
        .statement_size = request->statement_size,
        .transaction = request->transaction,
    };

    request->state = CBW_REQUEST_RUNNING;
    return CbwOwner_Send_(owner, now, endpoint, &call, request,
                          attempt_timeout(request));
}

void
CbwOwner_SendInTransaction_(cbw_owner_t *owner, cbw_time_t now,
                            cbw_request_t *request)
{
    cbw_transaction_t *transaction =
        CbwOwner_FindTransaction_(owner, request->transaction);

    if (transaction == NULL || transaction->busy ||
        transaction->term != owner->group.term) {
        CbwOwner_Answer_(owner, now, request, CBW_OUTCOME_NOTRUN,
                         "the transaction is lost: nothing of it ran");
        return;
    }
    transaction->busy = true;
    transaction->last_used_at = now;
    if (!send_request(owner, now, transaction->endpoint, request)) {
        CbwOwner_CloseTransaction_(owner, transaction, false);
        CbwOwner_Answer_(owner, now, request, CBW_OUTCOME_NOTRUN,
                         "the transaction's connection is lost");
    }
}

/* Registers the transaction that `request` begins. Returns false if out of
 * memory. */
static bool
add_transaction(cbw_owner_t *owner, cbw_time_t now, int endpoint,
                const cbw_request_t *request)
{
    cbw_transaction_t *transaction = calloc(1, sizeof(*transaction));

    if (transaction == NULL) {
        return false;
    }
    CbwList_Init(&transaction->link);
    transaction->id = request->transaction;
    transaction->endpoint = endpoint;
    transaction->term = owner->group.term;
    transaction->last_used_at = now;
    transaction->busy = true;
    CbwList_Append(&owner->transactions, &transaction->link);
    CbwCounter_Add(owner->policies.counters, CBW_COUNTER_TRANSACTIONS, 1);
    return true;
}

static void
trace_queue_wait(cbw_owner_t *owner, cbw_time_t now,
                 const cbw_request_t *request, int endpoint)
{
    CbwTrace_Add(owner->policies.traces, request->trace, CBW_HOP_QUEUE,
                 request->queued_at, now,
                 owner->database->endpoints[endpoint].name);
}

/* Sends the next request of the primary's queue. Returns whether to call it
 * again. */
static bool
dispatch_primary(cbw_owner_t *owner, cbw_time_t now)
{
    int primary = CbwOwner_UsablePrimary_(owner, now);
    const cbw_queue_ops_t *policy = owner->policies.queue;
    cbw_request_t *request;

    if (primary < 0 ||
        !CbwLimit_CanSend(&owner->group.endpoints[primary].limit)) {
        return false;
    }
    request = policy->pop(&owner->primary_queue);
    if (request == NULL) {
        return false;
    }
    if (end_if_expired(owner, now, request)) {
        return true;
    }
    if (request->verb == CBW_VERB_BEGIN &&
        !add_transaction(owner, now, primary, request)) {
        CbwOwner_Answer_(owner, now, request, CBW_OUTCOME_NOTRUN,
                         "out of memory");
        return true;
    }
    trace_queue_wait(owner, now, request, primary);
    if (!send_request(owner, now, primary, request)) {
        if (request->transaction != 0) {
            cbw_transaction_t *transaction =
                CbwOwner_FindTransaction_(owner, request->transaction);
            CbwOwner_CloseTransaction_(owner, transaction, false);
            CbwOwner_Answer_(owner, now, request, CBW_OUTCOME_NOTRUN,
                             "no connection for the transaction");
            return true;
        }
        CbwList_Remove(&request->link);
        policy->push_front(&owner->primary_queue, request);
        return false;
    }
    CbwQueue_OnDispatch(&owner->primary_queue, now, request->rank);
    return true;
}

/* Whether the primary can also take reads: its queue is empty and it has fewer
 * statements in flight than its limit. */
static bool
primary_has_spare_capacity(const cbw_owner_t *owner, cbw_time_t now)
{
    int primary = CbwOwner_UsablePrimary_(owner, now);

    return primary >= 0 && owner->primary_queue.length == 0 &&
           CbwLimit_CanSend(&owner->group.endpoints[primary].limit);
}

static void
park_read(cbw_owner_t *owner, cbw_time_t now, cbw_request_t *request)
{
    request->state = CBW_REQUEST_PARKED;
    request->parked_at = now;
    CbwList_Append(&owner->parked, &request->link);
}

/* Sends the next request of the replicas' queue. Returns whether to call it
 * again. */
static bool
dispatch_replica(cbw_owner_t *owner, cbw_time_t now)
{
    const cbw_queue_ops_t *policy = owner->policies.queue;
    cbw_request_t *request = policy->pop(&owner->replica_queue);
    cbw_token_t parsed;
    const cbw_token_t *token;
    cbw_route_result_t result;
    int endpoint = -1;

    if (request == NULL) {
        return false;
    }
    if (end_if_expired(owner, now, request)) {
        return true;
    }
    token = parse_token(owner, request, &parsed);
    result = owner->policies.route->choose(&owner->group, request, token, now,
                                           &endpoint);
    if (result == CBW_ROUTE_FULL && primary_has_spare_capacity(owner, now)) {
        result = CBW_ROUTE_PRIMARY;
    }
    switch (result) {
    case CBW_ROUTE_CHOSEN:
        break;
    case CBW_ROUTE_FULL:
        policy->push_front(&owner->replica_queue, request);
        return false;
    case CBW_ROUTE_BEHIND:
        if (request->parked_at == 0) {
            park_read(owner, now, request);
            return true;
        }
        /* fall through */
    case CBW_ROUTE_PRIMARY:
        request->needs_primary = true;
        policy->push(&owner->primary_queue, request);
        return true;
    }
    trace_queue_wait(owner, now, request, endpoint);
    if (!send_request(owner, now, endpoint, request)) {
        CbwList_Remove(&request->link);
        policy->push_front(&owner->replica_queue, request);
        return false;
    }
    CbwQueue_OnDispatch(&owner->replica_queue, now, request->rank);
    return true;
}

/* Sends CANCEL calls for the requests that are being settled. */
static void
send_cancel_calls(cbw_owner_t *owner, cbw_time_t now)
{
    int primary = CbwOwner_UsablePrimary_(owner, now);
    cbw_link_t *link;
    cbw_link_t *next;

    if (primary < 0) {
        return;
    }
    Cbw_LIST_FOREACH (&owner->settling, link, next) {
        cbw_request_t *request = Cbw_LIST_ITEM(link, cbw_request_t, link);
        cbw_call_t call = {
            .verb = CBW_CALL_CANCEL,
            .term = owner->group.term,
            .key = request->key,
        };
        if (request->call != 0) {
            continue;
        }
        if (!CbwOwner_Send_(owner, now, primary, &call, request,
                            Cbw_OWNER_ATTEMPT_TIMEOUT)) {
            return;
        }
    }
}

void
CbwOwner_Dispatch_(cbw_owner_t *owner, cbw_time_t now)
{
    if (!CbwList_IsEmpty(&owner->settling)) {
        send_cancel_calls(owner, now);
    }
    while (dispatch_primary(owner, now)) {
    }
    while (dispatch_replica(owner, now)) {
    }
    /* Reads that dispatch_replica moved to the primary's queue. */
    while (dispatch_primary(owner, now)) {
    }
}

void
CbwOwner_Settle_(cbw_owner_t *owner, cbw_time_t now, cbw_request_t *request)
{
    CbwCounter_Add(owner->policies.counters, CBW_COUNTER_KEYS_SETTLED, 1);
    request->state = CBW_REQUEST_SETTLING;
    request->queued_at = now;
    CbwList_Remove(&request->link);
    CbwList_Append(&owner->settling, &request->link);
}

void
CbwOwner_Requeue_(cbw_owner_t *owner, cbw_time_t now, cbw_request_t *request)
{
    bool can_rerun =
        !request->maybe_sent || !request->writes || request->key[0] != '\0';

    CbwList_Remove(&request->link);
    if (request->state == CBW_REQUEST_SETTLING) {
        CbwOwner_Settle_(owner, now, request);
        return;
    }
    if (request->maybe_sent && !CbwRetry_Take(&owner->retry_budget)) {
        CbwCounter_Add(owner->policies.counters, CBW_COUNTER_RETRIES_DENIED,
                       1);
        can_rerun = false;
    }
    if (now >= request->deadline || !can_rerun) {
        if (request->maybe_sent && request->key[0] != '\0') {
            CbwOwner_Settle_(owner, now, request);
            return;
        }
        CbwOwner_Answer_(owner, now, request,
                         request->maybe_sent ? CBW_OUTCOME_UNKNOWN
                                             : CBW_OUTCOME_NOTRUN,
                         "it could not be tried again in time");
        return;
    }
    CbwCounter_Add(owner->policies.counters, CBW_COUNTER_RETRIES, 1);
    if (!request->writes && !request->needs_primary) {
        request->parked_at = now; /* do not park it again */
    }
    owner->policies.queue->push_front(CbwOwner_SelectQueue_(owner, request),
                                      request);
}
