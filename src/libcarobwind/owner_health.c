#include <inttypes.h>
#include <string.h>

#include "carobwind/owner.h"
#include "private/owner.h"

/* If no primary is known, no promotion starts before this time has passed
 * since the owner's start; the endpoints' states are collected meanwhile. */
#define STARTUP_GRACE (600 * Cbw_MSEC)
/* An endpoint counts towards the majority that a promotion needs if it was
 * heard from within this time. */
#define MAJORITY_HEARD_WITHIN (600 * Cbw_MSEC)
/* Longest wait for hosts in other data centres to say whether they reach the
 * primary. */
#define REACH_TIMEOUT (300 * Cbw_MSEC)
/* For this long after ownership was moved to a host that reaches the primary,
 * no failover starts here. */
#define OWNERSHIP_MOVE_HOLD (2 * Cbw_SEC)
/* A statement in flight for longer makes state calls to its endpoint more
 * frequent. */
#define SLOW_STATEMENT_TIME (100 * Cbw_MSEC)
/* Longest time that an endpoint delays its reply to a state call until its log
 * includes the requested position. */
#define STATE_WAIT_TIMEOUT (100 * Cbw_MSEC)
/* Minimum time between two FOLLOW calls to an endpoint. */
#define FOLLOW_INTERVAL (200 * Cbw_MSEC)
/* Number of consecutive failed state calls after which an endpoint is
 * suspected to be down. A suspected primary is sent no statements. */
#define SUSPECT_FAILURES 2

int
CbwOwner_UsablePrimary_(const cbw_owner_t *owner, cbw_time_t now)
{
    int primary = owner->group.primary;

    (void)now;
    if (primary < 0 || owner->switchover_started_at != 0 ||
        owner->state_call_failures[primary] >= SUSPECT_FAILURES) {
        return -1;
    }
    return primary;
}

/* Confirmation rounds. */

/* What must be confirmed before the request is answered. An answer that its
 * key was cancelled requires that a majority holds the tombstone. */
static cbw_confirm_level_t
confirm_level(const cbw_request_t *request)
{
    return request->confirms_tombstone ? CBW_CONFIRM_POSITION
                                       : request->confirm;
}

void
CbwOwner_AnswerConfirmed_(cbw_owner_t *owner, cbw_time_t now)
{
    cbw_link_t *link;
    cbw_link_t *next;

    Cbw_LIST_FOREACH (&owner->confirming, link, next) {
        cbw_request_t *request = Cbw_LIST_ITEM(link, cbw_request_t, link);
        if (!CbwConfirm_IsConfirmed(&owner->confirm, confirm_level(request),
                                    request->answer_sequence,
                                    request->position)) {
            continue;
        }
        CbwTrace_Add(owner->policies.traces, request->trace, CBW_HOP_CONFIRM,
                     request->answered_at, now,
                     CbwInventory_ConfirmString[confirm_level(request)]);
        CbwOwner_Answer_(owner, now, request,
                         request->confirms_tombstone ? CBW_OUTCOME_NOTRUN
                                                     : CBW_OUTCOME_DONE,
                         request->confirms_tombstone ? "the key is cancelled"
                                                     : "");
    }
}

/* Returns the log position up to which endpoints may delay their replies to
 * state calls: the lowest one that a request waits to see confirmed. Returns 0
 * (no delay) if there is none, or if some request waits only for replies from
 * the current term. */
static uint64_t
lowest_unconfirmed_position(const cbw_owner_t *owner)
{
    const cbw_link_t *link = owner->confirming.next;
    uint64_t lowest = UINT64_MAX;

    for (; link != &owner->confirming; link = link->next) {
        const cbw_request_t *request =
            Cbw_LIST_ITEM(link, cbw_request_t, link);
        if (confirm_level(request) != CBW_CONFIRM_POSITION) {
            return 0;
        }
        if (request->position < lowest) {
            lowest = request->position;
        }
    }
    return lowest == UINT64_MAX ? 0 : lowest;
}

/* Whether a statement has been in flight to the endpoint for too long. */
static bool
has_slow_statement(const cbw_owner_t *owner, int endpoint, cbw_time_t now)
{
    const cbw_link_t *link = owner->outstanding_calls.next;

    for (; link != &owner->outstanding_calls; link = link->next) {
        const cbw_outstanding_call_t *call =
            Cbw_LIST_ITEM(link, cbw_outstanding_call_t, link);
        if (call->endpoint == endpoint && call->request != NULL &&
            now - call->sent_at > SLOW_STATEMENT_TIME) {
            return true;
        }
    }
    return false;
}

static bool
is_state_call_due(const cbw_owner_t *owner, int endpoint, cbw_time_t now)
{
    cbw_time_t waited = now - owner->state_call_sent_at[endpoint];

    if (owner->state_call_sent_at[endpoint] == 0 ||
        waited >= Cbw_OWNER_STATE_INTERVAL) {
        return true;
    }
    if (waited < Cbw_OWNER_FAST_STATE_INTERVAL) {
        /* While requests wait for confirmation, calls follow each other at
         * once, except after a failed one. */
        return !CbwList_IsEmpty(&owner->confirming) &&
               owner->state_call_failures[endpoint] == 0;
    }
    return !CbwList_IsEmpty(&owner->confirming) ||
           CbwOwner_UsablePrimary_(owner, now) < 0 ||
           owner->state_call_failures[endpoint] > 0 || owner->round_wanted ||
           has_slow_statement(owner, endpoint, now);
}

static void
send_state_call(cbw_owner_t *owner, cbw_time_t now, int endpoint,
                uint64_t wait_position)
{
    cbw_call_t call = {
        .verb = CBW_CALL_STATE,
        .wait_position = wait_position,
        .wait_timeout = wait_position > 0 ? STATE_WAIT_TIMEOUT : 0,
    };

    owner->state_call_sent_at[endpoint] = now;
    CbwCounter_Add(owner->policies.counters, CBW_COUNTER_STATE_CALLS, 1);
    if (owner->round_sequence == 0) {
        owner->round_sequence = owner->confirm.sequence + 1;
        owner->round_started_at = now;
    }
    if (!CbwOwner_Send_(owner, now, endpoint, &call, NULL,
                        Cbw_OWNER_STATE_TIMEOUT)) {
        owner->state_call_failures[endpoint]++;
    }
}

void
CbwOwner_SendStateCalls_(cbw_owner_t *owner, cbw_time_t now)
{
    uint64_t wait_position = lowest_unconfirmed_position(owner);

    for (int i = 0; i < owner->group.count; i++) {
        if (owner->state_calls[i] == NULL &&
            is_state_call_due(owner, i, now)) {
            send_state_call(owner, now, i, wait_position);
        }
    }
}

/* Completes the confirmation round once a majority has answered a state call
 * of it from within the term. */
static void
complete_round(cbw_owner_t *owner)
{
    if (owner->round_sequence != 0 &&
        CbwConfirm_MajoritySequence(&owner->confirm) >=
            owner->round_sequence) {
        owner->group.term_confirmed_at = owner->round_started_at;
        owner->round_sequence = 0;
        owner->round_wanted = false;
        CbwCounter_Add(owner->policies.counters,
                       CBW_COUNTER_CONFIRMATION_ROUNDS, 1);
    }
}

/* Change of primary. */

/* Ends the wait of those requests of `list` that the former primary may have
 * executed: they are retried under the same key, settled or answered. */
static void
requeue_for_new_primary(cbw_owner_t *owner, cbw_time_t now, cbw_link_t *list)
{
    cbw_link_t affected;
    cbw_link_t *link;
    cbw_link_t *next;

    CbwList_Init(&affected);
    Cbw_LIST_FOREACH (list, link, next) {
        cbw_request_t *request = Cbw_LIST_ITEM(link, cbw_request_t, link);
        if (request->needs_primary ||
            request->state == CBW_REQUEST_CONFIRMING) {
            CbwList_Remove(link);
            CbwList_Append(&affected, link);
        }
    }
    while ((link = CbwList_TakeFirst(&affected)) != NULL) {
        cbw_request_t *request = Cbw_LIST_ITEM(link, cbw_request_t, link);
        cbw_reply_t lost = {.status = CBW_REPLY_LOST};
        if (request->call != 0) {
            owner->ops->abort(owner->context, request->endpoint,
                              request->call);
            CbwOwner_OnReply(owner, now, request->call, &lost);
            continue;
        }
        request->maybe_sent = true;
        request->confirms_tombstone = false;
        if (request->transaction != 0) {
            CbwOwner_Settle_(owner, now, request);
        }
        else {
            CbwOwner_Requeue_(owner, now, request);
        }
    }
}

static void
on_primary_change(cbw_owner_t *owner, cbw_time_t now)
{
    int primary = owner->group.primary;

    CbwConfirm_SetTerm(&owner->confirm, owner->group.term);
    owner->round_sequence = 0;
    owner->switchover_started_at = 0;
    owner->reach = CBW_REACH_NOT_ASKED;
    if (primary >= 0) {
        owner->state_call_failures[primary] = 0;
        CbwOwner_LogDecision_(owner, now, "primary is %s in term %" PRIu64,
                              owner->database->endpoints[primary].name,
                              owner->group.term);
    }
    else {
        CbwOwner_LogDecision_(owner, now,
                              "no primary is known in term %" PRIu64,
                              owner->group.term);
    }
    requeue_for_new_primary(owner, now, &owner->running);
    requeue_for_new_primary(owner, now, &owner->confirming);
}

void
CbwOwner_OnState_(cbw_owner_t *owner, cbw_time_t now, int endpoint,
                  cbw_time_t sent_at, const cbw_endpoint_state_t *state)
{
    owner->state_call_failures[endpoint] = 0;
    if (endpoint == owner->group.primary) {
        owner->reach = CBW_REACH_NOT_ASKED;
    }
    if (CbwGroup_OnState(&owner->group, endpoint, sent_at, now, state)) {
        on_primary_change(owner, now);
    }
}

/* Promotion. */

static void
op_read_record(void *context)
{
    cbw_owner_t *owner = context;

    owner->ops->read_record(owner->context);
}

static void
op_swap_record(void *context, uint64_t version,
               const cbw_group_record_t *record)
{
    cbw_owner_t *owner = context;

    owner->ops->swap_record(owner->context, version, record);
}

/* Sends a call of a promotion. The promotion's operations take no `now`, so
 * the caller must have set `event_time`. */
static void
send_promotion_call(cbw_owner_t *owner, int endpoint, cbw_call_verb_t verb,
                    uint64_t term)
{
    cbw_call_t call = {.verb = verb, .term = term};

    CbwOwner_Send_(owner, owner->event_time, endpoint, &call, NULL,
                   Cbw_PROMOTION_STEP_TIMEOUT);
}

static void
op_fence(void *context, int endpoint, uint64_t term)
{
    send_promotion_call(context, endpoint, CBW_CALL_FENCE, term);
}

static void
op_promote(void *context, int endpoint, uint64_t term)
{
    send_promotion_call(context, endpoint, CBW_CALL_PROMOTE, term);
}

static void
op_promotion_outcome(void *context, uint64_t term, int endpoint,
                     const char *reason)
{
    cbw_owner_t *owner = context;
    bool succeeded = endpoint >= 0;

    CbwCounter_Add(owner->policies.counters,
                   succeeded ? CBW_COUNTER_PROMOTIONS_WON
                             : CBW_COUNTER_PROMOTIONS_LOST,
                   1);
    CbwOwner_LogDecision_(
        owner, owner->event_time, "promotion to term %" PRIu64 ": %s%s%s",
        term, reason, succeeded ? " " : "",
        succeeded ? owner->database->endpoints[endpoint].name : "");
}

static const cbw_promotion_ops_t promotion_ops = {
    .read_record = op_read_record,
    .swap_record = op_swap_record,
    .fence = op_fence,
    .promote = op_promote,
    .on_outcome = op_promotion_outcome,
};

void
CbwOwner_OnRecord(cbw_owner_t *owner, cbw_time_t now,
                  cbw_store_status_t status, uint64_t version,
                  const cbw_group_record_t *record)
{
    owner->event_time = now;
    CbwPromotion_OnRecord(&owner->promotion, now, status, version, record,
                          &promotion_ops, owner);
}

void
CbwOwner_OnSwap(cbw_owner_t *owner, cbw_time_t now, cbw_store_status_t status,
                uint64_t version)
{
    owner->event_time = now;
    CbwPromotion_OnSwap(&owner->promotion, now, status, version,
                        &promotion_ops, owner);
}

void
CbwOwner_OnReach(cbw_owner_t *owner, cbw_time_t now, const char *host)
{
    if (owner->reach != CBW_REACH_ASKED) {
        return;
    }
    if (host == NULL) {
        owner->reach = CBW_REACH_NONE;
        return;
    }
    owner->reach = CBW_REACH_MOVED;
    owner->reach_changed_at = now;
    CbwOwner_LogDecision_(owner, now,
                          "%s reaches the primary: ownership moves", host);
    owner->ops->move_ownership(owner->context, host);
}

void
CbwOwner_OnControlReply_(cbw_owner_t *owner, cbw_time_t now,
                         const cbw_outstanding_call_t *outstanding,
                         const cbw_reply_t *reply)
{
    int endpoint = outstanding->endpoint;

    owner->event_time = now;
    switch (outstanding->verb) {
    case CBW_CALL_STATE:
        if (reply->status != CBW_REPLY_OK) {
            owner->state_call_failures[endpoint]++;
            break;
        }
        CbwConfirm_OnState(&owner->confirm, endpoint, outstanding->sequence,
                           &reply->state);
        complete_round(owner);
        CbwOwner_AnswerConfirmed_(owner, now);
        CbwOwner_SendStateCalls_(owner, now);
        break;
    case CBW_CALL_FENCE:
        CbwPromotion_OnFence(&owner->promotion, now, endpoint,
                             outstanding->term, reply->status, &reply->state,
                             &promotion_ops, owner);
        break;
    case CBW_CALL_PROMOTE:
        CbwPromotion_OnPromote(&owner->promotion, now, endpoint,
                               outstanding->term, reply->status,
                               &promotion_ops, owner);
        break;
    default:
        break;
    }
}

static unsigned
leaving_mask(const cbw_owner_t *owner)
{
    unsigned mask = 0;

    for (int i = 0; i < owner->group.count; i++) {
        if (owner->group.endpoints[i].leaving) {
            mask |= 1U << i;
        }
    }
    return mask;
}

static void
start_promotion(cbw_owner_t *owner, cbw_time_t now, unsigned avoid_mask,
                const char *reason)
{
    owner->event_time = now;
    if (CbwPromotion_Start(&owner->promotion, now, owner->group.term,
                           avoid_mask, &promotion_ops, owner)) {
        CbwCounter_Add(owner->policies.counters,
                       CBW_COUNTER_PROMOTIONS_STARTED, 1);
        CbwOwner_LogDecision_(owner, now, "promotion started: %s", reason);
    }
}

/* Whether the endpoints other than the primary that were heard from recently
 * are a majority of the whole group, as a promotion needs. */
static bool
has_responsive_majority(const cbw_owner_t *owner, cbw_time_t now)
{
    int heard_count = 0;

    for (int i = 0; i < owner->group.count; i++) {
        cbw_time_t heard_at = owner->group.endpoints[i].last_heard_at;
        if (i != owner->group.primary && heard_at != 0 &&
            now - heard_at < MAJORITY_HEARD_WITHIN) {
            heard_count++;
        }
    }
    return heard_count > owner->group.count / 2;
}

/* Whether there is no primary, or it has not been heard from for too long. */
static bool
is_primary_down(const cbw_owner_t *owner, cbw_time_t now)
{
    int primary = owner->group.primary;

    if (primary < 0) {
        return now - owner->started_at > STARTUP_GRACE;
    }
    return owner->state_call_failures[primary] >= SUSPECT_FAILURES &&
           now - owner->group.endpoints[primary].last_heard_at >
               Cbw_OWNER_PRIMARY_TIMEOUT;
}

/* Asks hosts in other data centres whether they reach the primary, since only
 * this host may be cut off from it. Returns whether a promotion may start, as
 * no host has reported within REACH_TIMEOUT that it reaches the primary. */
static bool
check_peer_reach(cbw_owner_t *owner, cbw_time_t now)
{
    switch (owner->reach) {
    case CBW_REACH_NOT_ASKED:
        owner->reach = CBW_REACH_ASKED;
        owner->reach_changed_at = now;
        owner->ops->ask_reach(owner->context, owner->group.primary);
        return owner->reach == CBW_REACH_NONE;
    case CBW_REACH_ASKED:
        if (now - owner->reach_changed_at > REACH_TIMEOUT) {
            owner->reach = CBW_REACH_NONE;
        }
        return owner->reach == CBW_REACH_NONE;
    case CBW_REACH_NONE:
        return true;
    case CBW_REACH_MOVED:
        if (now - owner->reach_changed_at > OWNERSHIP_MOVE_HOLD) {
            owner->reach = CBW_REACH_NOT_ASKED;
        }
        return false;
    }
    return false;
}

/* Starts a failover (an unplanned promotion) if the primary is down. */
static void
check_failover(cbw_owner_t *owner, cbw_time_t now)
{
    int primary = owner->group.primary;
    unsigned avoid_mask = leaving_mask(owner);

    if (!is_primary_down(owner, now) || !has_responsive_majority(owner, now) ||
        CbwPromotion_IsActive(&owner->promotion)) {
        return;
    }
    if (primary >= 0) {
        if (!check_peer_reach(owner, now)) {
            return;
        }
        avoid_mask |= 1U << primary;
    }
    start_promotion(owner, now, avoid_mask,
                    primary >= 0 ? "the primary does not respond"
                                 : "the term has no primary");
}

/* Planned switchover from a leaving primary. */

/* Whether a usable replica has the same log as the primary had at a state call
 * sent after writes were paused. */
static bool
has_caught_up_replica(const cbw_owner_t *owner, cbw_time_t now)
{
    const cbw_group_t *group = &owner->group;
    const cbw_endpoint_state_t *primary =
        &group->endpoints[group->primary].state;

    for (int i = 0; i < group->count; i++) {
        const cbw_group_endpoint_t *endpoint = &group->endpoints[i];
        if (i != group->primary && !endpoint->leaving &&
            CbwGroup_IsHealthy(group, i, now) &&
            endpoint->state.last_term == primary->last_term &&
            endpoint->state.position == primary->position &&
            group->endpoints[group->primary].state_requested_at >=
                owner->switchover_started_at) {
            return true;
        }
    }
    return false;
}

/* Whether the primary has statements in flight, or transactions are open that
 * the switchover still waits for. */
static bool
has_unfinished_work(const cbw_owner_t *owner, cbw_time_t now)
{
    const cbw_limit_t *limit =
        &owner->group.endpoints[owner->group.primary].limit;
    bool open_transactions = !CbwList_IsEmpty(&owner->transactions) &&
                             now - owner->switchover_started_at <
                                 Cbw_OWNER_SWITCHOVER_TRANSACTION_WAIT;

    return limit->in_flight > 0 || open_transactions;
}

/* Starts, completes or abandons a switchover: pauses writes while the primary
 * is leaving, and promotes another endpoint once a replica has caught up. */
static void
check_switchover(cbw_owner_t *owner, cbw_time_t now)
{
    int primary = owner->group.primary;

    if (primary < 0 || !owner->group.endpoints[primary].leaving) {
        owner->switchover_started_at = 0;
        return;
    }
    if (now < owner->switchover_retry_at ||
        CbwPromotion_IsActive(&owner->promotion)) {
        return;
    }
    if (owner->switchover_started_at == 0) {
        owner->switchover_started_at = now;
        CbwOwner_LogDecision_(owner, now, "%s is leaving: writes are paused",
                              owner->database->endpoints[primary].name);
        return;
    }
    if (now - owner->switchover_started_at > Cbw_OWNER_SWITCHOVER_TIMEOUT) {
        owner->switchover_started_at = 0;
        owner->switchover_retry_at = now + Cbw_OWNER_SWITCHOVER_TIMEOUT;
        CbwOwner_LogDecision_(owner, now,
                              "no replica caught up: writes are resumed");
        return;
    }
    if (!has_unfinished_work(owner, now) &&
        has_caught_up_replica(owner, now)) {
        start_promotion(owner, now, leaving_mask(owner),
                        "the primary is leaving");
    }
}

/* Tells endpoints that do not follow the current primary to do so. */
static void
send_follow_calls(cbw_owner_t *owner, cbw_time_t now)
{
    const cbw_group_t *group = &owner->group;

    if (group->primary < 0) {
        return;
    }
    for (int i = 0; i < group->count; i++) {
        const cbw_group_endpoint_t *endpoint = &group->endpoints[i];
        cbw_call_t call = {
            .verb = CBW_CALL_FOLLOW,
            .term = group->term,
            .primary_address =
                owner->database->endpoints[group->primary].address,
        };
        if (i == group->primary || endpoint->last_heard_at == 0 ||
            endpoint->state.follows == group->term ||
            !CbwGroup_IsHealthy(group, i, now) ||
            now - owner->follow_sent_at[i] < FOLLOW_INTERVAL) {
            continue;
        }
        owner->follow_sent_at[i] = now;
        CbwOwner_Send_(owner, now, i, &call, NULL, Cbw_OWNER_STATE_TIMEOUT);
    }
}

void
CbwOwner_TickHealth_(cbw_owner_t *owner, cbw_time_t now)
{
    owner->event_time = now;
    CbwPromotion_Tick(&owner->promotion, now, &promotion_ops, owner);
    CbwOwner_SendStateCalls_(owner, now);
    check_failover(owner, now);
    check_switchover(owner, now);
    send_follow_calls(owner, now);
}
