#include <string.h>

#include "carobwind/owner.h"
#include "private/owner.h"

/* The retry-after time of a read whose token is ahead of the primary. */
#define TOKEN_RETRY_AFTER (100 * Cbw_MSEC)

static void
set_answer_token(const cbw_owner_t *owner, cbw_request_t *request,
                 uint64_t term, uint64_t position)
{
    cbw_token_t token = {.term = term, .position = position};

    memcpy(token.database, owner->database->name, sizeof(token.database));
    CbwToken_Format(&token, request->answer.token);
}

void
CbwOwner_AwaitConfirmation_(cbw_owner_t *owner, cbw_time_t now,
                            cbw_request_t *request)
{
    request->state = CBW_REQUEST_CONFIRMING;
    request->answered_at = now;
    request->answer_sequence = CbwConfirm_NextAnswerSequence(&owner->confirm);
    CbwList_Remove(&request->link);
    CbwList_Append(&owner->confirming, &request->link);
    CbwOwner_AnswerConfirmed_(owner, now);
    CbwOwner_SendStateCalls_(owner, now);
}

/* Returns the position that a majority must hold in the current term to
 * confirm the reply. A log entry of an older term is confirmed through the
 * entry that began the current term. */
static uint64_t
position_to_confirm(const cbw_owner_t *owner, const cbw_reply_t *reply)
{
    if (reply->entry_term == owner->group.term ||
        reply->state.begin_count == 0) {
        return reply->entry_position;
    }
    return reply->state.begins[0].position;
}

/* Handles the success of a request whose outcome is an entry in the log: a
 * write, a COMMIT, or a settled key. Counts each of them as a write. */
static void
on_logged_reply(cbw_owner_t *owner, cbw_time_t now, cbw_request_t *request,
                const cbw_reply_t *reply)
{
    if (CbwRequest_SetResult(request, reply->result, reply->result_size) !=
        0) {
        CbwOwner_Answer_(owner, now, request, CBW_OUTCOME_UNKNOWN,
                         "out of memory");
        return;
    }
    set_answer_token(owner, request, reply->entry_term, reply->entry_position);
    request->term = reply->entry_term;
    request->position = position_to_confirm(owner, reply);
    CbwCounter_Add(owner->policies.counters, CBW_COUNTER_WRITES, 1);
    CbwOwner_AwaitConfirmation_(owner, now, request);
}

/* Handles a reply that the key is tombstoned: the request is answered once a
 * majority holds the tombstone. */
static void
on_cancelled(cbw_owner_t *owner, cbw_time_t now, cbw_request_t *request,
             const cbw_reply_t *reply)
{
    request->confirms_tombstone = true;
    request->position = position_to_confirm(owner, reply);
    CbwOwner_AwaitConfirmation_(owner, now, request);
}

/* Retries a read at the primary, since the replica's data is not recent enough
 * for it. */
static void
retry_at_primary(cbw_owner_t *owner, cbw_time_t now, cbw_request_t *request)
{
    CbwCounter_Add(owner->policies.counters,
                   CBW_COUNTER_REPLICA_ANSWERS_REJECTED, 1);
    request->needs_primary = true;
    CbwOwner_Requeue_(owner, now, request);
}

/* Returns whether the endpoint's log includes what the request's token has
 * seen. If not, retries the request at the primary or answers it. */
static bool
validate_read_token(cbw_owner_t *owner, cbw_time_t now, cbw_request_t *request,
                    const cbw_reply_t *reply, int endpoint)
{
    cbw_token_t token;
    cbw_token_check_t check;

    if (request->token[0] == '\0' ||
        CbwToken_Parse(&token, request->token) != 0 ||
        strcmp(token.database, owner->database->name) != 0) {
        return true;
    }
    check = CbwGroup_CheckToken(&reply->state, &token);
    if (check == CBW_TOKEN_SATISFIED) {
        return true;
    }
    if (check == CBW_TOKEN_LOST) {
        CbwOwner_Answer_(owner, now, request, CBW_OUTCOME_NOTRUN,
                         "the token names a write lost in a failover");
    }
    else if (endpoint == owner->group.primary) {
        request->answer.retry_after = TOKEN_RETRY_AFTER;
        CbwOwner_Answer_(owner, now, request, CBW_OUTCOME_NOTRUN,
                         "the primary does not hold the token's position");
    }
    else {
        retry_at_primary(owner, now, request);
    }
    return false;
}

/* Returns whether the data that a read saw is recent enough for the request.
 * If not, retries the request at the primary or answers it. */
static bool
validate_read(cbw_owner_t *owner, cbw_time_t now, cbw_request_t *request,
              const cbw_reply_t *reply, int endpoint)
{
    if (!validate_read_token(owner, now, request, reply, endpoint)) {
        return false;
    }
    if (endpoint != owner->group.primary &&
        !CbwGroup_IsFresh(&owner->group, now, &reply->state, request->age)) {
        retry_at_primary(owner, now, request);
        return false;
    }
    return true;
}

static void
on_read_done(cbw_owner_t *owner, cbw_time_t now, cbw_request_t *request,
             const cbw_reply_t *reply, int endpoint)
{
    bool from_primary = endpoint == owner->group.primary;

    if (!validate_read(owner, now, request, reply, endpoint)) {
        return;
    }
    if (CbwRequest_SetResult(request, reply->result, reply->result_size) !=
        0) {
        CbwOwner_Answer_(owner, now, request, CBW_OUTCOME_UNKNOWN,
                         "out of memory");
        return;
    }
    set_answer_token(owner, request, reply->state.last_term,
                     reply->state.position);
    CbwCounter_Add(owner->policies.counters,
                   from_primary ? CBW_COUNTER_READS_PRIMARY
                                : CBW_COUNTER_READS_REPLICA,
                   1);
    /* The primary may have been superseded, so that its data is older than the
     * request allows: confirms its term first. */
    if (from_primary && request->age != Cbw_NEVER &&
        (owner->group.term_confirmed_at == 0 ||
         now - owner->group.term_confirmed_at > request->age)) {
        request->confirm = CBW_CONFIRM_TERM;
        CbwOwner_AwaitConfirmation_(owner, now, request);
        return;
    }
    CbwOwner_Answer_(owner, now, request, CBW_OUTCOME_DONE, "");
}

/* Handles the success of a request in a transaction other than its COMMIT. It
 * has no outcome of its own before COMMIT, so its reply needs no confirmation.
 */
static void
on_uncommitted_reply(cbw_owner_t *owner, cbw_time_t now,
                     cbw_request_t *request, const cbw_reply_t *reply)
{
    if (CbwRequest_SetResult(request, reply->result, reply->result_size) !=
        0) {
        CbwOwner_Answer_(owner, now, request, CBW_OUTCOME_NOTRUN,
                         "out of memory");
        return;
    }
    CbwOwner_Answer_(owner, now, request, CBW_OUTCOME_DONE, "");
}

static void
on_request_ok(cbw_owner_t *owner, cbw_time_t now, cbw_request_t *request,
              const cbw_reply_t *reply, int endpoint)
{
    bool uncommitted =
        request->transaction != 0 && request->verb != CBW_VERB_COMMIT;
    bool settling = request->state == CBW_REQUEST_SETTLING;

    if (uncommitted && !settling) {
        on_uncommitted_reply(owner, now, request, reply);
    }
    else if (settling || request->writes || request->verb == CBW_VERB_COMMIT) {
        on_logged_reply(owner, now, request, reply);
    }
    else {
        on_read_done(owner, now, request, reply, endpoint);
    }
}

/* Handles a statement whose transaction lost its connection or its primary. */
static void
on_transaction_lost(cbw_owner_t *owner, cbw_time_t now, cbw_request_t *request)
{
    if (request->verb == CBW_VERB_COMMIT && request->maybe_sent) {
        CbwOwner_Settle_(owner, now, request);
        return;
    }
    CbwOwner_Answer_(owner, now, request, CBW_OUTCOME_NOTRUN,
                     "the transaction is lost: nothing of it ran");
}

/* Handles a reply without a result: the request did not run, or may have run
 * and its result is not known. */
static void
on_no_result(cbw_owner_t *owner, cbw_time_t now, cbw_request_t *request,
             const cbw_reply_t *reply)
{
    if (reply->status == CBW_REPLY_LOST) {
        request->maybe_sent = true;
    }
    if (request->transaction != 0 && request->state != CBW_REQUEST_SETTLING) {
        on_transaction_lost(owner, now, request);
        return;
    }
    CbwOwner_Requeue_(owner, now, request);
}

/* Updates the request's transaction after a reply: closes it if the request
 * ended it or got no result. */
static void
update_transaction(cbw_owner_t *owner, cbw_time_t now,
                   const cbw_request_t *request, cbw_reply_status_t status)
{
    cbw_transaction_t *transaction;
    bool answered = status == CBW_REPLY_OK || status == CBW_REPLY_FAILED;
    bool ends;

    if (request->transaction == 0 || request->state == CBW_REQUEST_SETTLING) {
        return;
    }
    transaction = CbwOwner_FindTransaction_(owner, request->transaction);
    if (transaction == NULL) {
        return;
    }
    transaction->busy = false;
    transaction->last_used_at = now;
    ends =
        request->verb == CBW_VERB_COMMIT || request->verb == CBW_VERB_ROLLBACK;
    if (ends || !answered) {
        CbwOwner_CloseTransaction_(owner, transaction, ends && answered);
    }
}

static void
on_request_reply(cbw_owner_t *owner, cbw_time_t now, cbw_request_t *request,
                 const cbw_reply_t *reply, int endpoint)
{
    update_transaction(owner, now, request, reply->status);
    switch (reply->status) {
    case CBW_REPLY_OK:
        on_request_ok(owner, now, request, reply, endpoint);
        break;
    case CBW_REPLY_CANCELLED:
        on_cancelled(owner, now, request, reply);
        break;
    case CBW_REPLY_FAILED:
        CbwRequest_SetResult(request, reply->result, reply->result_size);
        CbwOwner_Answer_(owner, now, request, CBW_OUTCOME_NOTRUN,
                         "the endpoint refused the statement");
        break;
    case CBW_REPLY_SUPERSEDED:
    case CBW_REPLY_NOT_PRIMARY:
    case CBW_REPLY_NO_TRANSACTION:
    case CBW_REPLY_NO_CONNECTION:
    case CBW_REPLY_LOST:
    case CBW_REPLY_BUSY:
    case CBW_REPLY_BEHIND:
    case CBW_REPLY_TIMEOUT:
    case CBW_REPLY_TOO_LARGE:
    case CBW_REPLY_MISPLACED:
        on_no_result(owner, now, request, reply);
        break;
    }
}

/* Whether a reply with this status reports the endpoint's state. */
static bool
carries_state(cbw_reply_status_t status)
{
    return status == CBW_REPLY_OK || status == CBW_REPLY_CANCELLED ||
           status == CBW_REPLY_SUPERSEDED || status == CBW_REPLY_NOT_PRIMARY;
}

void
CbwOwner_OnReply(cbw_owner_t *owner, cbw_time_t now, uint64_t id,
                 const cbw_reply_t *reply)
{
    cbw_outstanding_call_t *found = CbwOwner_FindCall_(owner, id);
    cbw_outstanding_call_t outstanding;
    cbw_request_t *request;
    cbw_time_t latency = -1;

    if (found == NULL) {
        return; /* the call timed out before */
    }
    outstanding = *found;
    request = outstanding.request;
    if (reply->status == CBW_REPLY_OK && request != NULL) {
        latency = now - outstanding.sent_at;
        CbwTrace_Add(owner->policies.traces, request->trace, CBW_HOP_ENDPOINT,
                     outstanding.sent_at, now,
                     owner->database->endpoints[outstanding.endpoint].name);
    }
    CbwOwner_RemoveCall_(owner, found, latency);
    if (request != NULL) {
        /* Removed from the list of running requests, so that it is not handled
         * as one in flight if the reply reveals a change of primary. */
        CbwList_Remove(&request->link);
    }
    if (carries_state(reply->status)) {
        CbwOwner_OnState_(owner, now, outstanding.endpoint,
                          outstanding.sent_at, &reply->state);
    }
    if (request != NULL) {
        on_request_reply(owner, now, request, reply, outstanding.endpoint);
    }
    else {
        CbwOwner_OnControlReply_(owner, now, &outstanding, reply);
    }
    CbwOwner_Dispatch_(owner, now);
}
