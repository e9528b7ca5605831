/* A promotion, from its start until the candidate is the primary: which
 * endpoint is chosen, and how its promotion is requested and observed. */

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "carobwind/pool.h"
#include "private/pool.h"

static bool
is_previous_primary(const cbw_pool_t *pool, const cbw_pool_endpoint_t *e)
{
    return strcmp(e->info.name, pool->previous_primary) == 0;
}

bool
CbwPool_IsPromoting(const cbw_pool_t *pool, cbw_time_t now)
{
    bool leased = pool->order_ended_at != 0 &&
                  now - pool->order_ended_at < Cbw_POOL_ORDER_LEASE;

    return leased || pool->order_in_flight ||
           (pool->phase >= CBW_POOL_REQUESTING_PROMOTION &&
            now < pool->tenure.valid_until);
}

void
CbwPool_CancelOrder_(cbw_pool_t *pool, cbw_time_t now)
{
    if (!pool->order_in_flight) {
        return;
    }
    pool->ops->cancel_promotion(pool->context);
    CbwCounter_Add(pool->counters, CBW_COUNTER_ORDERS_CANCELLED, 1);
    CbwPool_LogDecision_(pool, now,
                         "cancels the request to promote %s: it may take "
                         "effect for %d ms",
                         pool->ordered,
                         (int)(Cbw_POOL_ORDER_EFFECT / Cbw_MSEC));
    pool->order_in_flight = false;
    pool->order_ended_at = now;
    pool->order_settled_at = now + Cbw_POOL_ORDER_EFFECT;
}

/* Whether an earlier request may still promote another endpoint than `e`. */
static bool
is_order_pending(const cbw_pool_t *pool, cbw_time_t now,
                 const cbw_pool_endpoint_t *e)
{
    return now < pool->order_settled_at &&
           strcmp(pool->ordered, e->info.name) != 0;
}

static bool
is_candidate(const cbw_pool_t *pool, cbw_time_t now, int index)
{
    const cbw_pool_endpoint_t *e = &pool->endpoints[index];

    return e->used && !e->down && !is_order_pending(pool, now, e) &&
           (pool->refused_candidates & (1U << index)) == 0 &&
           (pool->previous_allowed || !is_previous_primary(pool, e));
}

/* Returns the end of the endpoint's log without discarded entries. */
static cbw_position_t
valid_position(const cbw_pool_t *pool, const cbw_pool_endpoint_t *e)
{
    return CbwPool_ValidPosition_(pool, e->reported_position);
}

/* Whether the endpoint's log has discarded entries or none at all: beside one
 * with entries, an empty log is no better, as its promotion discards all. */
static bool
is_last_resort(const cbw_pool_t *pool, const cbw_pool_endpoint_t *e)
{
    return e->reported_position.index == 0 ||
           CbwPool_HasDiscardedEntries_(pool, e->reported_position);
}

/* Whether `a` is the better candidate. The promotion of an endpoint with
 * discarded entries would restore them, though reads since then have not shown
 * them; if all have some, the one that keeps the most of the present log is
 * best. One that was cut off from the last primary lacks what may still
 * return. The previous primary, if allowed, comes after the others: the
 * promotion began because it was lost or is leaving. Next, an endpoint that
 * stays is preferred to one
 * that is leaving, and then the higher log position. With synchronous commits,
 * a single replica may have received what was acknowledged, so the log
 * position comes before everything but the previous primary. Among equals, an
 * endpoint in the owner's region is preferred: a promotion into another region
 * moves the owner. */
static bool
is_better_candidate(const cbw_pool_t *pool, const cbw_pool_endpoint_t *a,
                    const cbw_pool_endpoint_t *b)
{
    bool a_discarded = is_last_resort(pool, a);
    bool b_discarded = is_last_resort(pool, b);
    bool a_cut_off = CbwPool_WasCutOff_(pool, a->reported_position);
    bool b_cut_off = CbwPool_WasCutOff_(pool, b->reported_position);
    int order =
        CbwPosition_Compare(valid_position(pool, a), valid_position(pool, b));

    if (!pool->synchronous && a_discarded != b_discarded) {
        return b_discarded;
    }
    if (!pool->synchronous && a_cut_off != b_cut_off) {
        return b_cut_off;
    }
    if (is_previous_primary(pool, a) != is_previous_primary(pool, b)) {
        return is_previous_primary(pool, b);
    }
    if (pool->synchronous && order != 0) {
        return order > 0;
    }
    if (a_discarded != b_discarded) {
        return b_discarded;
    }
    if (a_discarded && order != 0) {
        return order > 0;
    }
    if (a->info.leaving != b->info.leaving) {
        return b->info.leaving;
    }
    order = CbwPosition_Compare(a->reported_position, b->reported_position);
    return order > 0 || (order == 0 && a->is_in_region && !b->is_in_region);
}

/* Whether the choice of a candidate waits for the endpoint's state. With
 * synchronous commits it waits for any endpoint that is listed, down or not,
 * unless it finds a complete log before: any of them may be the only one that
 * received what was acknowledged. The previous
 * primary, unless it is a candidate, is asked only for its term, see
 * is_present_primary. */
static bool
is_awaited(const cbw_pool_t *pool, cbw_time_t now, int index)
{
    const cbw_pool_endpoint_t *e = &pool->endpoints[index];

    if (e->used && is_previous_primary(pool, e)) {
        return !e->down && (pool->previous_allowed ||
                            CbwPool_RecordPrimaryTerm_(pool) == 0);
    }
    return pool->synchronous ? e->used : is_candidate(pool, now, index);
}

/* Whether the endpoint may be chosen as far as the previous primary goes. */
static bool
is_allowed(const cbw_pool_t *pool, int index)
{
    return pool->previous_allowed ||
           !is_previous_primary(pool, &pool->endpoints[index]);
}

/* Returns the best of the candidates that are known to have all acknowledged
 * commits, or -1. */
static int
choose_complete_candidate(const cbw_pool_t *pool, cbw_time_t now)
{
    int best = -1;

    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        const cbw_pool_endpoint_t *e = &pool->endpoints[i];
        if (is_candidate(pool, now, i) &&
            e->reported_as_of >= pool->phase_since &&
            CbwPool_IsComplete_(pool, e) &&
            (best < 0 ||
             is_better_candidate(pool, e, &pool->endpoints[best]))) {
            best = i;
        }
    }
    return best;
}

/* Returns the best of the endpoints that have reported their states, or -1 if
 * there is none or it is no candidate at present. */
static int
choose_candidate(const cbw_pool_t *pool, cbw_time_t now)
{
    int best = pool->synchronous ? choose_complete_candidate(pool, now) : -1;

    if (best >= 0) {
        return best;
    }
    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        const cbw_pool_endpoint_t *e = &pool->endpoints[i];
        if (!is_awaited(pool, now, i) ||
            e->reported_as_of < pool->phase_since || !is_allowed(pool, i)) {
            continue;
        }
        if (best < 0 || is_better_candidate(pool, e, &pool->endpoints[best])) {
            best = i;
        }
    }
    return best >= 0 && is_candidate(pool, now, best) ? best : -1;
}

static void
request_candidate_states(cbw_pool_t *pool, cbw_time_t now)
{
    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        if (is_awaited(pool, now, i) && !pool->endpoints[i].down &&
            pool->endpoints[i].reported_as_of < pool->phase_since) {
            CbwPool_SendStateCall_(pool, now, i);
        }
    }
}

/* Returns an endpoint whose state is awaited, or -1. One that is down is
 * returned only if all others have answered. */
static int
find_unanswered_candidate(const cbw_pool_t *pool, cbw_time_t now)
{
    int found = -1;

    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        const cbw_pool_endpoint_t *e = &pool->endpoints[i];
        if (is_awaited(pool, now, i) &&
            e->reported_as_of < pool->phase_since) {
            found = i;
            if (!e->down) {
                return i;
            }
        }
    }
    return found;
}

/* Whether a candidate may be chosen. Endpoints that are down or do not answer
 * in time are passed over; with synchronous commits, see may_lack_commits. */
static bool
is_choice_ready(const cbw_pool_t *pool, cbw_time_t now)
{
    int unanswered = find_unanswered_candidate(pool, now);

    return unanswered < 0 || pool->endpoints[unanswered].down ||
           now - pool->phase_since > Cbw_POOL_CANDIDATE_STATE_TIMEOUT;
}

/* Records that the endpoint of the latest request may have been promoted, also
 * if it is lost or unlisted before it is seen to lead. */
static void
remember_taken_order(cbw_pool_t *pool)
{
    if (pool->taken_order[0] == '\0') {
        snprintf(pool->taken_order, sizeof(pool->taken_order), "%s",
                 pool->ordered);
    }
    else if (strcmp(pool->taken_order, pool->ordered) != 0) {
        pool->several_orders_taken = true;
    }
}

void
CbwPool_ForgetTakenOrders_(cbw_pool_t *pool)
{
    pool->taken_order[0] = '\0';
    pool->several_orders_taken = false;
}

void
CbwPool_StartPromotion_(cbw_pool_t *pool, cbw_time_t now, const char *reason)
{
    if (!CbwTenure_BeginPromotion(&pool->tenure, now,
                                  CbwPool_RecordPrimaryTerm_(pool))) {
        return;
    }
    CbwPool_KeepLastLog_(pool);
    snprintf(pool->previous_primary, sizeof(pool->previous_primary), "%s",
             pool->tenure.record.primary);
    pool->previous_primary_term = pool->primary_position.term;
    pool->refused_candidates = 0;
    pool->previous_allowed = false;
    pool->promotion_since = now;
    pool->promotion_inherited = pool->tenure.inherited_promotion;
    if (!pool->promotion_inherited) {
        CbwPool_ForgetTakenOrders_(pool);
    }
    pool->awaits_valid_log = false;
    pool->accepted_log[0] = '\0';
    pool->candidate = -1;
    CbwPool_SetPhase_(pool, now, CBW_POOL_CLAIMING);
    CbwCounter_Add(pool->counters, CBW_COUNTER_PROMOTIONS_STARTED, 1);
    CbwPool_LogDecision_(pool, now, "promotion begins: %s", reason);
    /* From here on, nothing that the previous primary did is acknowledged. */
    if (pool->primary >= 0) {
        CbwPool_AbortCalls_(pool, now, pool->primary);
    }
}

/* Whether a request of this promotion may have promoted another endpoint. */
static bool
may_have_promoted_other(const cbw_pool_t *pool, const cbw_pool_endpoint_t *e)
{
    return pool->several_orders_taken ||
           (pool->taken_order[0] != '\0' &&
            strcmp(pool->taken_order, e->info.name) != 0);
}

/* Whether the candidate, which reports itself as the primary, is known to be
 * the present one, and no request of this promotion may have promoted another
 * endpoint. Either it leads the record's term, as when the primary that the
 * promotion replaces returns under another name. Or it leads a later one, and
 * no other endpoint reports a higher term: this happens when a promotion was
 * taken over or is repeated. */
static bool
is_present_primary(const cbw_pool_t *pool, int candidate)
{
    uint64_t term = pool->endpoints[candidate].reported_term;
    uint64_t previous_term = CbwPool_RecordPrimaryTerm_(pool);
    bool previous_answered = pool->previous_primary[0] == '\0';

    if (term < pool->highest_term || term < previous_term ||
        may_have_promoted_other(pool, &pool->endpoints[candidate])) {
        return false;
    }
    if (term == previous_term) {
        return previous_term != 0 && !pool->promotion_inherited;
    }
    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        const cbw_pool_endpoint_t *e = &pool->endpoints[i];
        bool answered = e->reported_as_of >= pool->phase_since;
        if (!e->used || i == candidate) {
            continue;
        }
        if (is_previous_primary(pool, e)) {
            previous_answered = answered;
        }
        else if (!answered) {
            return false;
        }
    }
    return previous_term != 0 || previous_answered;
}

/* Logs what the other endpoints reported when the candidate was chosen: the
 * log of the host is then enough to tell why it was preferred. */
static void
log_other_reports(cbw_pool_t *pool, cbw_time_t now)
{
    const char *missing;

    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        const cbw_pool_endpoint_t *e = &pool->endpoints[i];
        if (!e->used || i == pool->candidate) {
            continue;
        }
        if (e->reported_as_of < pool->phase_since) {
            CbwPool_LogDecision_(pool, now, "passes over %s: %s", e->info.name,
                                 e->down ? "down" : "no report in time");
            continue;
        }
        CbwPool_LogDecision_(
            pool, now,
            "passes over %s: %s in term %" PRIu64 ", position %" PRIu64
            ".%" PRIu64 ", valid up to %" PRIu64,
            e->info.name, e->is_primary ? "primary" : "replica",
            e->reported_term, e->reported_position.term,
            e->reported_position.index, valid_position(pool, e).index);
    }
    missing = CbwPool_FindMissingCopy_(pool);
    if (missing != NULL) {
        CbwPool_LogDecision_(pool, now, "passes over %s: not listed", missing);
    }
}

/* Whether the promotion of the candidate would restore discarded entries:
 * reads that were answered without them would be stale, however long ago that
 * was. With synchronous commits, entries that were acknowledged are never
 * discarded. */
static bool
restores_discarded_entries(const cbw_pool_t *pool,
                           const cbw_pool_endpoint_t *e)
{
    return !pool->synchronous &&
           CbwPool_HasDiscardedEntries_(pool, e->reported_position);
}

/* Whether the promotion of the candidate would discard entries that were
 * acknowledged long before the primary was lost, and the primary may still
 * return with them. A primary that answers is being replaced by intention. */
static bool
must_await_lost_primary(const cbw_pool_t *pool, cbw_time_t now,
                        const cbw_pool_endpoint_t *e)
{
    int previous = CbwPool_FindEndpoint_(pool, pool->previous_primary);

    return !pool->synchronous &&
           now - pool->promotion_since < Cbw_POOL_LOST_PRIMARY_TIMEOUT &&
           (pool->awaits_valid_log || previous < 0 ||
            pool->endpoints[previous].down) &&
           CbwPool_WasCutOff_(pool, e->reported_position);
}

/* Whether commits that were acknowledged with synchronous replication may be
 * missing from the candidate's log: it does not have all that this owner knows
 * of, and another process that may have them has not reported its log. If all
 * have, the longest log is complete in the last primary's term; to have all of
 * the terms before, it must reach that term's begin. */
static bool
may_lack_commits(const cbw_pool_t *pool, cbw_time_t now,
                 const cbw_pool_endpoint_t *e)
{
    return pool->synchronous && !CbwPool_IsComplete_(pool, e) &&
           (find_unanswered_candidate(pool, now) >= 0 ||
            CbwPool_FindMissingCopy_(pool) != NULL ||
            !CbwPool_HasPresentTerm_(pool, valid_position(pool, e)));
}

/* Returns what the candidate's log lacks while another log is awaited; NULL:
 * the candidate may be promoted. */
static const char *
find_defect(const cbw_pool_t *pool, cbw_time_t now)
{
    const cbw_pool_endpoint_t *e = &pool->endpoints[pool->candidate];

    if (strcmp(pool->accepted_log, e->info.name) == 0) {
        return NULL;
    }
    if (may_lack_commits(pool, now, e)) {
        return "with all acknowledged commits";
    }
    if (restores_discarded_entries(pool, e)) {
        return "without discarded entries";
    }
    return must_await_lost_primary(pool, now, e)
               ? "with the last primary's entries"
               : NULL;
}

/* Even the previous primary is better than any other endpoint now. */
static void
await_valid_log(cbw_pool_t *pool, cbw_time_t now, const char *defect)
{
    const cbw_pool_endpoint_t *best = &pool->endpoints[pool->candidate];

    if (!pool->awaits_valid_log) {
        pool->awaits_valid_log = true;
        pool->previous_allowed = true;
        pool->best_log[0] = '\0';
        CbwCounter_Add(pool->counters, CBW_COUNTER_VALID_LOG_WAITS, 1);
    }
    if (strcmp(pool->best_log, best->info.name) == 0) {
        return;
    }
    snprintf(pool->best_log, sizeof(pool->best_log), "%s", best->info.name);
    log_other_reports(pool, now);
    CbwPool_LogDecision_(
        pool, now,
        "waits for a log %s: the best is that of %s, valid up to %" PRIu64
        " of %" PRIu64,
        defect, best->info.name, valid_position(pool, best).index,
        best->reported_position.index);
}

int
CbwPool_AcceptLoss(cbw_pool_t *pool, cbw_time_t now, const char *endpoint,
                   cbw_error_t *error)
{
    if (pool->phase != CBW_POOL_CHOOSING_CANDIDATE ||
        !pool->awaits_valid_log) {
        return CbwError_Set(error, CBW_ERROR_INVALID,
                            "no promotion of %s waits for a log",
                            pool->database);
    }
    if (strcmp(endpoint, pool->best_log) != 0) {
        return CbwError_Set(error, CBW_ERROR_INVALID,
                            "the best log is that of %s", pool->best_log);
    }
    snprintf(pool->accepted_log, sizeof(pool->accepted_log), "%s", endpoint);
    CbwCounter_Add(pool->counters, CBW_COUNTER_LOSSES_ACCEPTED, 1);
    CbwPool_LogDecision_(pool, now,
                         "an operator accepts the loss of entries: %s may be "
                         "promoted",
                         endpoint);
    return 0;
}

bool
CbwPool_IsValidLogAwaited_(const cbw_pool_t *pool, cbw_time_t now)
{
    int unanswered = find_unanswered_candidate(pool, now);

    return pool->phase == CBW_POOL_CHOOSING_CANDIDATE &&
           pool->awaits_valid_log &&
           (unanswered < 0 || pool->endpoints[unanswered].down);
}

cbw_time_t
CbwPool_LogWaitRetryAfter_(const cbw_pool_t *pool, cbw_time_t now)
{
    cbw_time_t wait =
        (now - pool->promotion_since) / Cbw_POOL_LOG_WAIT_RETRY_DIVISOR;

    if (wait < Cbw_POOL_LOG_WAIT_RETRY_MIN) {
        return Cbw_POOL_LOG_WAIT_RETRY_MIN;
    }
    return wait < Cbw_POOL_LOG_WAIT_RETRY_MAX ? wait
                                              : Cbw_POOL_LOG_WAIT_RETRY_MAX;
}

static void
report_losses(cbw_pool_t *pool, cbw_time_t now)
{
    const cbw_pool_endpoint_t *e = &pool->endpoints[pool->candidate];

    if (CbwPool_WasCutOff_(pool, e->reported_position)) {
        CbwCounter_Add(pool->counters, CBW_COUNTER_KNOWN_LOSSES, 1);
        CbwPool_LogDecision_(pool, now,
                             "the promotion of %s discards entries: the last "
                             "primary's log was at %" PRIu64 ".%" PRIu64
                             " or later",
                             e->info.name, pool->last_log.replicated.term,
                             pool->last_log.replicated.index);
    }
    if (!CbwPool_HasDiscardedEntries_(pool, e->reported_position)) {
        return;
    }
    CbwCounter_Add(pool->counters, CBW_COUNTER_DISCARDED_LOGS_PROMOTED, 1);
    CbwPool_LogDecision_(
        pool, now,
        "the promotion of %s restores the entries from %" PRIu64
        " to %" PRIu64,
        e->info.name, valid_position(pool, e).index + 1,
        e->reported_position.index);
}

static void
request_promotion(cbw_pool_t *pool, cbw_time_t now)
{
    const cbw_pool_endpoint_t *e;
    const char *defect;

    if (pool->draining && pool->order_lost) {
        return;
    }
    if (now + Cbw_POOL_ORDER_TIMEOUT + Cbw_POOL_ORDER_LEASE >
        pool->tenure.valid_until) {
        CbwTenure_RenewEarly(&pool->tenure, now);
        return;
    }
    pool->candidate = choose_candidate(pool, now);
    defect = pool->candidate >= 0 ? find_defect(pool, now) : NULL;
    if (defect != NULL) {
        await_valid_log(pool, now, defect);
        pool->candidate = -1;
    }
    if (pool->candidate < 0) {
        if (now - pool->phase_since > Cbw_POOL_PROMOTION_RETRY_AFTER) {
            pool->refused_candidates = 0;
            pool->previous_allowed = true;
            /* Requests the states of all candidates again. */
            CbwPool_SetPhase_(pool, now, CBW_POOL_CHOOSING_CANDIDATE);
        }
        return;
    }
    pool->awaits_valid_log = false;
    log_other_reports(pool, now);
    report_losses(pool, now);
    e = &pool->endpoints[pool->candidate];
    pool->candidate_leads =
        e->is_primary && e->reported_term >= pool->highest_term;
    pool->superseded_term =
        pool->candidate_leads && is_present_primary(pool, pool->candidate)
            ? e->reported_term - 1
            : pool->highest_term;
    CbwPool_SetPhase_(pool, now, CBW_POOL_REQUESTING_PROMOTION);
    CbwPool_LogDecision_(
        pool, now,
        "requests the promotion of %s, %s in term %" PRIu64
        ", position %" PRIu64 ".%" PRIu64 ", valid up to %" PRIu64
        ", fencing token %" PRIu64 ", to lead a term above %" PRIu64,
        e->info.name, e->is_primary ? "primary" : "replica", e->reported_term,
        e->reported_position.term, e->reported_position.index,
        valid_position(pool, e).index, pool->tenure.version,
        pool->superseded_term);
    pool->earlier_order_settled_at =
        strcmp(pool->ordered, e->info.name) == 0 ? pool->order_settled_at : 0;
    snprintf(pool->ordered, sizeof(pool->ordered), "%s", e->info.name);
    pool->order_settled_at =
        now + Cbw_POOL_ORDER_TIMEOUT + Cbw_POOL_ORDER_EFFECT;
    pool->order_in_flight = true;
    pool->ops->request_promotion(pool->context, e->info.name,
                                 pool->tenure.version);
}

void
CbwPool_OnPromoteReply(cbw_pool_t *pool, cbw_time_t now,
                       cbw_promote_status_t status)
{
    if (pool->phase != CBW_POOL_REQUESTING_PROMOTION) {
        return;
    }
    pool->order_lost = status == CBW_PROMOTE_LOST;
    pool->order_in_flight = false;
    pool->order_ended_at = now;
    pool->order_settled_at = status == CBW_PROMOTE_REFUSED
                                 ? pool->earlier_order_settled_at
                                 : now + Cbw_POOL_ORDER_EFFECT;
    CbwPool_LogDecision_(pool, now, "promotion request: %s",
                         CbwPool_PromoteStatusString[status]);
    if (status == CBW_PROMOTE_REFUSED) {
        pool->refused_candidates |= 1U << pool->candidate;
        CbwPool_SetPhase_(pool, now, CBW_POOL_CHOOSING_CANDIDATE);
        return;
    }
    remember_taken_order(pool);
    pool->promote_accepted = status == CBW_PROMOTE_ACCEPTED;
    CbwPool_SetPhase_(pool, now, CBW_POOL_POLLING_CANDIDATE);
}

/* Returns the end of the endpoint's log when it began the term that it leads.
 * Once it has an entry of that term, this is known only if it was observed
 * before; all zero: not known. */
static cbw_position_t
term_base(const cbw_pool_t *pool, const cbw_pool_endpoint_t *e)
{
    if (e->reported_position.term < e->reported_term) {
        return e->reported_position;
    }
    if (pool->promotion_term == e->reported_term &&
        pool->promotion_position.term < e->reported_term) {
        return pool->promotion_position;
    }
    return (cbw_position_t){0, 0};
}

/* The candidate has become the primary. The new term begins with the log that
 * it has received so far. */
static void
on_candidate_promoted(cbw_pool_t *pool, cbw_time_t now)
{
    const cbw_pool_endpoint_t *e = &pool->endpoints[pool->candidate];

    if (!CbwTenure_EndPromotion(&pool->tenure, now, e->info.name,
                                e->reported_term, term_base(pool, e))) {
        return;
    }
    CbwPool_LogDecision_(
        pool, now, "%s leads term %" PRIu64 ", position %" PRIu64 ".%" PRIu64,
        e->info.name, e->reported_term, e->reported_position.term,
        e->reported_position.index);
    CbwPool_SetPhase_(pool, now, CBW_POOL_PUBLISHING);
    pool->promotion_position = e->reported_position;
    pool->promotion_term = e->reported_term;
    pool->promotion_as_of = e->reported_as_of;
    pool->primary_position = (cbw_position_t){0, 0};
    pool->sample_count = 0;
    CbwPool_ObservePromotion_(pool);
}

/* Whether the candidate leads a term that began with its promotion. If it is
 * the present primary already, its promotion may begin no term: then it counts
 * as promoted Cbw_POOL_PROMOTION_RETRY_AFTER after the request was accepted.
 */
static bool
is_candidate_promoted(const cbw_pool_t *pool, cbw_time_t now)
{
    const cbw_pool_endpoint_t *e = &pool->endpoints[pool->candidate];

    if (!e->used || !e->is_primary || e->reported_as_of < pool->phase_since) {
        return false;
    }
    return e->reported_term > pool->superseded_term ||
           (pool->candidate_leads && pool->promote_accepted &&
            e->reported_term >= pool->highest_term &&
            now - pool->phase_since > Cbw_POOL_PROMOTION_RETRY_AFTER);
}

void
CbwPool_PollCandidate_(cbw_pool_t *pool, cbw_time_t now)
{
    const cbw_pool_endpoint_t *e;

    if (pool->candidate < 0) {
        CbwPool_SetPhase_(pool, now, CBW_POOL_CHOOSING_CANDIDATE);
        return;
    }
    e = &pool->endpoints[pool->candidate];
    if (is_candidate_promoted(pool, now)) {
        on_candidate_promoted(pool, now);
        return;
    }
    if (!e->used || e->down ||
        (!pool->promote_accepted && now >= pool->order_settled_at) ||
        now - pool->phase_since > Cbw_POOL_PROMOTION_RETRY_AFTER) {
        CbwPool_SetPhase_(pool, now, CBW_POOL_CHOOSING_CANDIDATE);
        return;
    }
    if (e->state_call_id == 0 &&
        now - e->reported_as_of >= Cbw_POOL_STATE_POLL_INTERVAL) {
        CbwPool_SendStateCall_(pool, now, pool->candidate);
    }
}

void
CbwPool_ChooseWhenReady_(cbw_pool_t *pool, cbw_time_t now)
{
    /* A tenure that has expired, as after a pause of this host, is not
     * exclusive until it is renewed. */
    bool exclusive = CbwTenure_IsExclusive(&pool->tenure, now);
    /* Reports from before this time are out of date: previous holders may have
     * acknowledged commits until then, or an earlier request of this owner may
     * have taken effect. */
    cbw_time_t reports_from = pool->tenure.exclusive_from;

    CbwTenure_KeepPromotion(&pool->tenure, now);
    CbwTenure_AskToRelinquish(&pool->tenure, now);
    if (pool->order_settled_at > reports_from &&
        now >= pool->order_settled_at) {
        reports_from = pool->order_settled_at;
    }
    if (exclusive && pool->phase_since < reports_from) {
        CbwPool_SetPhase_(pool, now, CBW_POOL_CHOOSING_CANDIDATE);
    }
    request_candidate_states(pool, now);
    if (exclusive && !CbwPool_HasLease(pool, now) &&
        is_choice_ready(pool, now)) {
        request_promotion(pool, now);
    }
}
