#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "carobwind/pool.h"
#include "private/pool.h"

void
CbwPool_SetPhase_(cbw_pool_t *pool, cbw_time_t now, cbw_pool_phase_t phase)
{
    pool->phase = phase;
    pool->phase_since = now;
}

/* Failures of endpoints. */

void
CbwPool_OnEndpointFailure_(cbw_pool_t *pool, cbw_time_t now, int endpoint)
{
    cbw_pool_endpoint_t *e = &pool->endpoints[endpoint];

    e->consecutive_failures++;
    e->skip_until = now + Cbw_POOL_LAG_BACKOFF;
    if (e->down || e->consecutive_failures < Cbw_POOL_FAILURES_UNTIL_DOWN) {
        return;
    }
    e->down = true;
    e->down_since = now;
    e->state_call_due_at = now + Cbw_POOL_DOWN_RETRY_INTERVAL;
    CbwPool_LogDecision_(
        pool, now,
        "endpoint %s is down: %d failures, last heard %" PRId64 " ms ago",
        e->info.name, e->consecutive_failures,
        (now - e->last_reply_at) / Cbw_MSEC);
    CbwPool_AbortCalls_(pool, now, endpoint);
}

/* Whether the endpoint has had an unanswered call, and has sent no reply, for
 * Cbw_POOL_STATE_CALL_AFTER. */
static bool
is_unresponsive(const cbw_pool_endpoint_t *e, cbw_time_t now)
{
    return e->unanswered_since != 0 &&
           now - e->unanswered_since > Cbw_POOL_STATE_CALL_AFTER &&
           now - e->last_reply_at > Cbw_POOL_STATE_CALL_AFTER;
}

/* A state call that opens a connection takes several round trips, which are
 * long to other regions. The delay of this host is not the endpoint's. */
static cbw_time_t
state_call_timeout(const cbw_pool_t *pool, const cbw_pool_endpoint_t *e)
{
    cbw_time_t timeout =
        Cbw_POOL_STATE_CALL_ROUND_TRIPS * e->shortest_round_trip;

    if (timeout < Cbw_POOL_STATE_CALL_TIMEOUT) {
        timeout = Cbw_POOL_STATE_CALL_TIMEOUT;
    }
    if (timeout > Cbw_POOL_STATE_CALL_TIMEOUT_MAX) {
        timeout = Cbw_POOL_STATE_CALL_TIMEOUT_MAX;
    }
    return timeout + 2 * pool->observer_delay;
}

void
CbwPool_SendStateCall_(cbw_pool_t *pool, cbw_time_t now, int endpoint)
{
    cbw_pool_endpoint_t *e = &pool->endpoints[endpoint];
    cbw_call_t call = {.verb = CBW_CALL_STATE, .key = ""};

    if (e->state_call_id != 0) {
        return;
    }
    CbwCounter_Add(pool->counters, CBW_COUNTER_STATE_CALLS, 1);
    /* A connection is opened only if the existing ones may be lost: opening
     * one occupies a slot for longer than the call. */
    call.new_connection =
        e->consecutive_failures > 0 || e->suspect || is_unresponsive(e, now);
    e->state_call_due_at = now + Cbw_POOL_IDLE_STATE_CALL_INTERVAL;
    e->state_call_id = pool->last_call_id + 1;
    if (!CbwPool_Send_(pool, now, endpoint, &call, NULL,
                       state_call_timeout(pool, e))) {
        e->state_call_id = 0;
        CbwPool_OnEndpointFailure_(pool, now, endpoint);
    }
}

/* Whether the registry lists the endpoint as a primary, but the record names
 * another one or does not exist yet. With a record, only the holder of the
 * tenure checks such endpoints. */
static bool
is_unrecorded_primary(const cbw_pool_t *pool, int endpoint)
{
    return endpoint != pool->primary &&
           pool->endpoints[endpoint].info.reports_primary &&
           (pool->tenure.held ||
            (pool->tenure.record_known && pool->tenure.version == 0));
}

static bool
is_state_call_due(const cbw_pool_t *pool, cbw_time_t now, int endpoint)
{
    const cbw_pool_endpoint_t *e = &pool->endpoints[endpoint];

    if (e->down) {
        return now >= e->state_call_due_at;
    }
    if (e->consecutive_failures > 0 || e->suspect) {
        return true;
    }
    if (is_unresponsive(e, now)) {
        return true;
    }
    if (now < e->state_call_due_at) {
        return false;
    }
    if (endpoint != pool->primary) {
        return is_unrecorded_primary(pool, endpoint) ||
               CbwPool_HasDiscardedEntries_(pool, e->position);
    }
    return now - e->last_reply_at > Cbw_POOL_IDLE_STATE_CALL_INTERVAL ||
           (pool->tenure.held && CbwPool_RecordPrimaryTerm_(pool) == 0);
}

/* Tells a superseded primary to step down. */
static void
send_step_down(cbw_pool_t *pool, cbw_time_t now, int endpoint)
{
    cbw_pool_endpoint_t *e = &pool->endpoints[endpoint];
    cbw_call_t call = {
        .verb = CBW_CALL_STEP_DOWN, .key = "", .term = e->step_down_term};

    if (e->step_down_term == 0 || now < e->step_down_due_at) {
        return;
    }
    e->step_down_due_at = now + Cbw_POOL_DOWN_RETRY_INTERVAL;
    CbwPool_Send_(pool, now, endpoint, &call, NULL,
                  Cbw_POOL_STATE_CALL_TIMEOUT);
}

static void
on_promotion_published(cbw_pool_t *pool, cbw_time_t now)
{
    int previous = CbwPool_FindEndpoint_(pool, pool->previous_primary);

    CbwPool_SetPhase_(pool, now, CBW_POOL_SERVING);
    CbwPool_ForgetTakenOrders_(pool);
    if (pool->promotion_term == pool->primary_term) {
        CbwPool_ObservePromotion_(pool);
    }
    CbwCounter_Add(pool->counters, CBW_COUNTER_PROMOTIONS_WON, 1);
    CbwPool_LogDecision_(pool, now, "primary is %s, epoch %" PRIu64,
                         pool->tenure.record.primary,
                         pool->tenure.record.epoch);
    if (previous >= 0 && previous != pool->primary) {
        pool->endpoints[previous].step_down_term = pool->promotion_term;
        pool->endpoints[previous].step_down_due_at = now;
    }
}

/* Whether the record shows a promotion that this owner began. */
static bool
is_promotion_claimed(const cbw_pool_t *pool)
{
    return pool->tenure.record_known && pool->tenure.record.promoting &&
           !pool->tenure.inherited_promotion;
}

/* The record shows the result of a swap that had no answer: a promotion has
 * begun or ended. */
static void
resume_from_record(cbw_pool_t *pool, cbw_time_t now)
{
    if (!pool->tenure.held || !pool->tenure.record_known ||
        pool->tenure.call_in_flight) {
        return;
    }
    if (pool->tenure.record.promoting) {
        pool->tenure.inherited_promotion |= pool->phase < CBW_POOL_CLAIMING;
    }
    else if (pool->phase > CBW_POOL_CLAIMING) {
        on_promotion_published(pool, now);
    }
}

static void
on_tenure_changed(cbw_pool_t *pool, cbw_time_t now)
{
    if (pool->tenure.record_known && pool->tenure.version == 0) {
        CbwPool_ForgetHistory_(pool);
    }
    else {
        CbwPool_ObserveTerm_(pool, pool->tenure.record.term);
    }
    CbwPool_UpdatePrimary_(pool, now);
    if (pool->redirected_to_promoter && pool->tenure.record_known &&
        !pool->tenure.record.promoting) {
        pool->redirected_to_promoter = false;
        pool->redirected_until = 0;
    }
    if (pool->phase >= CBW_POOL_CLAIMING && !pool->tenure.held) {
        CbwPool_CancelOrder_(pool, now);
        CbwPool_SetPhase_(pool, now, CBW_POOL_SERVING);
        CbwPool_LogDecision_(pool, now,
                             "another owner took over the promotion");
        return;
    }
    if (pool->phase == CBW_POOL_CLAIMING && !pool->tenure.call_in_flight) {
        CbwPool_SetPhase_(pool, now,
                          is_promotion_claimed(pool)
                              ? CBW_POOL_CHOOSING_CANDIDATE
                              : CBW_POOL_SERVING);
    }
    resume_from_record(pool, now);
    if (pool->phase == CBW_POOL_PUBLISHING && !pool->tenure.call_in_flight &&
        pool->tenure.record_known) {
        CbwPool_SetPhase_(pool, now, CBW_POOL_POLLING_CANDIDATE);
    }
}

void
CbwPool_OnRecord(cbw_pool_t *pool, cbw_time_t now, cbw_store_status_t status,
                 uint64_t version, const cbw_tenure_record_t *record)
{
    CbwTenure_OnRecord(&pool->tenure, now, status, version, record);
    on_tenure_changed(pool, now);
    CbwPool_ReleaseHeldAnswers_(pool, now);
    CbwPool_Dispatch_(pool, now);
}

/* Whether the swap in flight changes nothing but the record's version. */
static bool
is_renewal(const cbw_tenure_t *tenure)
{
    const cbw_tenure_record_t *record = &tenure->record;
    const cbw_tenure_record_t *proposed = &tenure->proposed;

    return tenure->record_known && proposed->epoch == record->epoch &&
           proposed->promoting == record->promoting &&
           proposed->holder.nonce == record->holder.nonce &&
           strcmp(proposed->primary, record->primary) == 0;
}

void
CbwPool_OnSwap(cbw_pool_t *pool, cbw_time_t now, cbw_store_status_t status,
               uint64_t version)
{
    bool is_notable = status != CBW_STORE_OK || !is_renewal(&pool->tenure);

    CbwTenure_OnSwap(&pool->tenure, now, status, version);
    if (status == CBW_STORE_LOST) {
        CbwCounter_Add(pool->counters, CBW_COUNTER_SWAPS_UNANSWERED, 1);
    }
    if (is_notable) {
        CbwPool_LogDecision_(pool, now, "record swap: %s, version %" PRIu64,
                             CbwPromotion_StoreStatusString[status], version);
    }
    on_tenure_changed(pool, now);
    CbwPool_ReleaseHeldAnswers_(pool, now);
    CbwPool_Dispatch_(pool, now);
}

static bool
has_running_writes(const cbw_pool_t *pool)
{
    const cbw_link_t *link = pool->running.next;

    for (; link != &pool->running; link = link->next) {
        const cbw_request_t *request =
            Cbw_LIST_ITEM(link, cbw_request_t, link);
        if (request->writes && request->endpoint == pool->primary) {
            return true;
        }
    }
    for (link = pool->transactions.next; link != &pool->transactions;
         link = link->next) {
        const cbw_pool_transaction_t *transaction =
            Cbw_LIST_ITEM(link, cbw_pool_transaction_t, link);
        if (!transaction->reads_only &&
            transaction->endpoint == pool->primary) {
            return true;
        }
    }
    return !CbwList_IsEmpty(&pool->held_answers);
}

/* Whether this owner knows a position of the primary's log that covers what
 * previous holders of the tenure acknowledged. */
static bool
knows_primary_position(const cbw_pool_t *pool)
{
    size_t last = pool->sample_count + Cbw_POOL_SAMPLES_MAX - 1;

    return pool->sample_count > 0 &&
           pool->samples[last % Cbw_POOL_SAMPLES_MAX].time >=
               pool->tenure.exclusive_from;
}

/* Discarded entries may follow the end of the primary's log. */
static bool
is_caught_up(const cbw_pool_t *pool, cbw_position_t position,
             cbw_position_t end)
{
    return CbwPosition_Compare(position, end) >= 0 &&
           !CbwPool_HasDiscardedEntries_(pool, position);
}

/* Returns whether a replica that is not leaving has received everything that
 * the primary wrote; otherwise polls the replicas. An owner that does not know
 * the end of the primary's log asks the primary first. */
static bool
has_caught_up_replica(cbw_pool_t *pool, cbw_time_t now)
{
    const cbw_pool_endpoint_t *primary = &pool->endpoints[pool->primary];
    cbw_position_t end = pool->primary_position;
    bool found = false;

    if (!knows_primary_position(pool) &&
        primary->reported_as_of < pool->phase_since) {
        CbwPool_SendStateCall_(pool, now, pool->primary);
        return false;
    }
    if (CbwPosition_Compare(primary->reported_position, end) > 0) {
        end = primary->reported_position;
    }
    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        cbw_pool_endpoint_t *e = &pool->endpoints[i];
        if (i == pool->primary || !e->used || e->down || e->info.leaving) {
            continue;
        }
        if (is_caught_up(pool, e->reported_position, end) ||
            is_caught_up(pool, e->position, end)) {
            found = true;
        }
        else if (now - e->reported_as_of >= Cbw_POOL_STATE_POLL_INTERVAL) {
            CbwPool_SendStateCall_(pool, now, i);
        }
    }
    return found;
}

/* Whether a replica can replace the primary: one with discarded entries would
 * restore them. */
static bool
has_remaining_replica(const cbw_pool_t *pool)
{
    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        const cbw_pool_endpoint_t *e = &pool->endpoints[i];
        if (i != pool->primary && e->used && !e->down && !e->info.leaving &&
            !CbwPool_HasDiscardedEntries_(pool, e->position)) {
            return true;
        }
    }
    return false;
}

/* Returns whether requests are to be redirected to the record's holder: to one
 * that carries out a promotion, and to any holder if the database is not
 * assigned to this owner. */
static bool
should_defer(const cbw_pool_t *pool, cbw_time_t now)
{
    const cbw_tenure_t *tenure = &pool->tenure;

    if (tenure->held || tenure->record.holder.nonce == 0 ||
        now < pool->redirected_until ||
        strcmp(tenure->record.holder.host, tenure->self.host) == 0) {
        return false;
    }
    if (tenure->record.promoting) {
        return !CbwTenure_IsValid(tenure, now);
    }
    return tenure->record_known && !pool->assigned &&
           now >= pool->take_over_until;
}

/* The holder knows the state of the database better than this owner. */
void
CbwPool_RedirectToHolder_(cbw_pool_t *pool, cbw_time_t now)
{
    cbw_tenure_t *tenure = &pool->tenure;

    if (!should_defer(pool, now) ||
        !pool->ops->redirect(pool->context, tenure->record.holder.host,
                             false)) {
        return;
    }
    if (tenure->record.promoting) {
        pool->redirected_until = now + Cbw_TENURE_RETRY_INTERVAL;
        pool->redirected_to_promoter = true;
    }
    else {
        pool->redirected_until = now + Cbw_POOL_DEFER_INTERVAL;
        pool->redirected_to_promoter = false;
        CbwTenure_Defer(tenure, pool->redirected_until);
    }
    CbwPool_ReturnUnsent(pool);
}

/* Whether the record's primary has reported itself as a replica since its
 * promotion. A report from before its promotion has a lower term. */
static bool
has_been_demoted(const cbw_pool_t *pool, const cbw_pool_endpoint_t *primary)
{
    return pool->tenure.record.term != 0 && primary->reported_as_of != 0 &&
           !primary->is_primary &&
           primary->reported_term >= pool->tenure.record.term;
}

static void
check_primary(cbw_pool_t *pool, cbw_time_t now)
{
    const cbw_pool_endpoint_t *e;

    if (!pool->tenure.held || pool->stopping) {
        return;
    }
    if (pool->tenure.inherited_promotion) {
        CbwPool_StartPromotion_(pool, now,
                                "another owner's promotion is unfinished");
        return;
    }
    if (!CbwTenure_IsValid(&pool->tenure, now) ||
        now < pool->redirected_until) {
        return;
    }
    if (pool->primary < 0) {
        CbwPool_StartPromotion_(pool, now, "the primary is no longer listed");
        return;
    }
    e = &pool->endpoints[pool->primary];
    if (e->down) {
        if (now < pool->primary_unreachable_until) {
            CbwPool_StartPromotion_(pool, now, "no peer reaches the primary");
            return;
        }
        if (now < pool->reach_due_at) {
            return;
        }
        CbwPool_SetPhase_(pool, now, CBW_POOL_ASKING_REACH);
        pool->ops->ask_reach(pool->context, pool->primary);
        return;
    }
    pool->reach_rounds = 0;
    if (has_been_demoted(pool, e)) {
        CbwPool_StartPromotion_(pool, now, "the primary leads no more");
        return;
    }
    if (e->info.leaving && has_remaining_replica(pool) &&
        (now >= pool->drain_due_at ||
         CbwPool_IsDrainOver_(pool, now, pool->primary))) {
        CbwPool_SetPhase_(pool, now, CBW_POOL_DRAINING);
        CbwPool_LogDecision_(pool, now, "%s is leaving: new writes wait",
                             e->info.name);
    }
}

/* Lets the leaving primary serve again, to be drained later. Has no effect
 * once it receives no more statements. */
static void
abort_drain(cbw_pool_t *pool, cbw_time_t now)
{
    if (CbwPool_IsDrainOver_(pool, now, pool->primary)) {
        return;
    }
    CbwPool_SetPhase_(pool, now, CBW_POOL_SERVING);
    pool->drain_due_at = now + Cbw_POOL_PROMOTION_RETRY_AFTER;
    CbwPool_LogDecision_(pool, now,
                         "%s leads on: no replica that stays has its log",
                         pool->endpoints[pool->primary].info.name);
}

static void
drain_primary(cbw_pool_t *pool, cbw_time_t now)
{
    bool caught_up = false;
    bool idle;

    if (pool->primary < 0 || pool->endpoints[pool->primary].down) {
        CbwPool_SetPhase_(pool, now, CBW_POOL_SERVING);
        return;
    }
    idle = !has_running_writes(pool);
    /* With synchronous commits, the result is needed even if writes continue.
     */
    if (idle || pool->synchronous) {
        caught_up = has_caught_up_replica(pool, now);
    }
    if (caught_up && idle) {
        CbwPool_StartPromotion_(pool, now, "the primary is leaving");
        return;
    }
    if (now - pool->phase_since <= Cbw_POOL_DRAIN_TIMEOUT) {
        return;
    }
    if (pool->synchronous && !caught_up) {
        /* A promotion would lose commits that were acknowledged. */
        abort_drain(pool, now);
        return;
    }
    CbwPool_StartPromotion_(pool, now, "the primary is leaving");
}

static void
run_phase(cbw_pool_t *pool, cbw_time_t now)
{
    switch (pool->phase) {
    case CBW_POOL_SERVING:
        check_primary(pool, now);
        break;
    case CBW_POOL_ASKING_REACH:
        if (now - pool->phase_since <= Cbw_POOL_REACH_TIMEOUT) {
            break;
        }
        if (pool->strict_witnesses) {
            CbwPool_OnReachUnknown(pool, now);
        }
        else {
            CbwPool_OnReach(pool, now, NULL);
        }
        break;
    case CBW_POOL_DRAINING:
        drain_primary(pool, now);
        break;
    case CBW_POOL_CHOOSING_CANDIDATE:
        CbwPool_ChooseWhenReady_(pool, now);
        break;
    case CBW_POOL_REQUESTING_PROMOTION:
        if (now - pool->phase_since >= Cbw_POOL_ORDER_TIMEOUT) {
            CbwPool_CancelOrder_(pool, now);
            CbwPool_OnPromoteReply(pool, now, CBW_PROMOTE_LOST);
        }
        break;
    case CBW_POOL_POLLING_CANDIDATE:
        CbwPool_PollCandidate_(pool, now);
        break;
    case CBW_POOL_CLAIMING:
    case CBW_POOL_PUBLISHING:
        break;
    }
}

/* Records the term of the primary, and makes a superseded primary step down.
 */
static void
check_reported_primary(cbw_pool_t *pool, cbw_time_t now, int endpoint)
{
    cbw_pool_endpoint_t *e = &pool->endpoints[endpoint];

    if (e->step_down_term != 0 &&
        (!e->is_primary || e->reported_term >= e->step_down_term)) {
        CbwPool_LogDecision_(
            pool, now, "%s is %s in term %" PRIu64, e->info.name,
            e->is_primary ? "primary" : "replica", e->reported_term);
        e->step_down_term = 0;
    }
    if (!e->is_primary) {
        return;
    }
    CbwPool_ObserveStart_(pool, e->reported_term, e->reported_position);
    if (endpoint == pool->primary) {
        memcpy(pool->reported_primary, e->info.name,
               sizeof(pool->reported_primary));
        pool->reported_primary_term = e->reported_term;
    }
    else if (e->reported_term < pool->highest_term && e->step_down_term == 0) {
        CbwPool_LogDecision_(pool, now,
                             "%s still leads term %" PRIu64
                             ", which term %" PRIu64 " has superseded",
                             e->info.name, e->reported_term,
                             pool->highest_term);
        e->step_down_term = pool->highest_term;
        e->step_down_due_at = now;
    }
}

void
CbwPool_OnControlReply_(cbw_pool_t *pool, cbw_time_t now,
                        const cbw_pool_call_t *call, const cbw_reply_t *reply)
{
    cbw_pool_endpoint_t *e = &pool->endpoints[call->endpoint];

    if (reply->status != CBW_REPLY_OK) {
        return;
    }
    if (call->verb == CBW_CALL_STATE &&
        (e->shortest_round_trip == 0 ||
         now - call->sent_at < e->shortest_round_trip)) {
        e->shortest_round_trip = now - call->sent_at;
    }
    e->is_primary = reply->state.primary;
    e->reported_term = reply->state.term;
    e->reported_position =
        (cbw_position_t){reply->state.last_term, reply->state.position};
    e->reported_as_of = call->sent_at;
    check_reported_primary(pool, now, call->endpoint);
    CbwPool_UpdateConfirmation_(pool, now);
    run_phase(pool, now);
}

void
CbwPool_TickHealth_(cbw_pool_t *pool, cbw_time_t now)
{
    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        if (!pool->endpoints[i].used) {
            continue;
        }
        if (is_state_call_due(pool, now, i)) {
            CbwPool_SendStateCall_(pool, now, i);
        }
        send_step_down(pool, now, i);
    }
    CbwPool_TickConfirmation_(pool, now);
    run_phase(pool, now);
}
