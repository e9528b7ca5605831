#include "carobwind/promotion.h"

#include <assert.h>
#include <stddef.h>
#include <string.h>

const char *const CbwPromotion_StateString[] = {
    "idle",    "reading",   "swapping",   "settling",
    "fencing", "promoting", "publishing", "backoff",
};

const char *const CbwPromotion_StoreStatusString[] = {
    "ok",
    "missing",
    "conflict",
    "lost",
};

void
CbwPromotion_Init(cbw_promotion_t *promotion, int endpoint_count,
                  uint64_t nonce)
{
    assert(endpoint_count > 0 && endpoint_count <= Cbw_ENDPOINTS_MAX);
    memset(promotion, 0, sizeof(*promotion));
    promotion->endpoint_count = endpoint_count;
    promotion->attempt_nonce = nonce;
    promotion->candidate = -1;
}

bool
CbwPromotion_IsActive(const cbw_promotion_t *promotion)
{
    return promotion->state != CBW_PROMOTION_IDLE &&
           promotion->state != CBW_PROMOTION_BACKOFF;
}

static void
enter_state(cbw_promotion_t *promotion, cbw_time_t now,
            cbw_promotion_state_t state)
{
    promotion->state = state;
    promotion->step_deadline = now + Cbw_PROMOTION_STEP_TIMEOUT;
}

/* Ends the attempt without success and backs off. */
static void
fail_attempt(cbw_promotion_t *promotion, cbw_time_t now, const char *reason,
             const cbw_promotion_ops_t *ops, void *context)
{
    cbw_time_t backoff = Cbw_PROMOTION_BACKOFF;

    for (int i = 0; i < promotion->consecutive_failures && i < 8; i++) {
        backoff *= 2;
    }
    if (backoff > Cbw_PROMOTION_BACKOFF_MAX) {
        backoff = Cbw_PROMOTION_BACKOFF_MAX;
    }
    /* Jitter, as owners may try at the same time. */
    backoff += (cbw_time_t)(promotion->attempt_nonce % 97) * Cbw_MSEC;
    promotion->consecutive_failures++;
    promotion->state = CBW_PROMOTION_BACKOFF;
    promotion->backoff_until = now + backoff;
    ops->on_outcome(context, promotion->term, -1, reason);
}

static void
observe_term(cbw_promotion_t *promotion, uint64_t term)
{
    if (term > promotion->highest_term) {
        promotion->highest_term = term;
    }
}

bool
CbwPromotion_Start(cbw_promotion_t *promotion, cbw_time_t now,
                   uint64_t highest_term, unsigned avoid_mask,
                   const cbw_promotion_ops_t *ops, void *context)
{
    if (CbwPromotion_IsActive(promotion) || now < promotion->backoff_until) {
        return false;
    }
    promotion->attempt_nonce++;
    promotion->avoid_mask = avoid_mask;
    promotion->fenced_mask = 0;
    promotion->failed_mask = 0;
    promotion->majority_fenced_at = 0;
    promotion->candidate = -1;
    observe_term(promotion, highest_term);
    enter_state(promotion, now, CBW_PROMOTION_READING);
    ops->read_record(context);
    return true;
}

/* Claims a term above all known ones by a swap of the record. */
static void
claim_term(cbw_promotion_t *promotion, cbw_time_t now, uint64_t version,
           const cbw_promotion_ops_t *ops, void *context)
{
    cbw_group_record_t record;

    promotion->term = promotion->highest_term + 1;
    promotion->record_version = version;
    record = (cbw_group_record_t){
        .term = promotion->term,
        .claimant = promotion->attempt_nonce,
        .primary = -1,
    };
    observe_term(promotion, promotion->term);
    enter_state(promotion, now, CBW_PROMOTION_SWAPPING);
    ops->swap_record(context, version, &record);
}

static void
fence_all(cbw_promotion_t *promotion, cbw_time_t now, uint64_t version,
          const cbw_promotion_ops_t *ops, void *context)
{
    promotion->record_version = version;
    enter_state(promotion, now, CBW_PROMOTION_FENCING);
    for (int i = 0; i < promotion->endpoint_count; i++) {
        ops->fence(context, i, promotion->term);
    }
}

void
CbwPromotion_OnRecord(cbw_promotion_t *promotion, cbw_time_t now,
                      cbw_store_status_t status, uint64_t version,
                      const cbw_group_record_t *record,
                      const cbw_promotion_ops_t *ops, void *context)
{
    bool swap_applied;

    if (promotion->state != CBW_PROMOTION_READING &&
        promotion->state != CBW_PROMOTION_SETTLING) {
        return;
    }
    if (status == CBW_STORE_LOST) {
        if (promotion->state == CBW_PROMOTION_READING) {
            fail_attempt(promotion, now, "the store gave no answer", ops,
                         context);
        }
        return; /* CbwPromotion_Tick reads the record again */
    }
    if (status == CBW_STORE_MISSING) {
        version = 0;
    }
    else {
        observe_term(promotion, record->term);
    }
    if (promotion->state == CBW_PROMOTION_READING) {
        claim_term(promotion, now, version, ops, context);
        return;
    }
    swap_applied = status == CBW_STORE_OK &&
                   record->claimant == promotion->attempt_nonce &&
                   record->term == promotion->term;
    if (swap_applied) {
        fence_all(promotion, now, version, ops, context);
    }
    else {
        fail_attempt(promotion, now, "the swap did not take effect", ops,
                     context);
    }
}

static void
finish_publishing(cbw_promotion_t *promotion)
{
    promotion->state = CBW_PROMOTION_IDLE;
    promotion->consecutive_failures = 0;
}

void
CbwPromotion_OnSwap(cbw_promotion_t *promotion, cbw_time_t now,
                    cbw_store_status_t status, uint64_t version,
                    const cbw_promotion_ops_t *ops, void *context)
{
    if (promotion->state == CBW_PROMOTION_PUBLISHING) {
        finish_publishing(promotion);
        return;
    }
    if (promotion->state != CBW_PROMOTION_SWAPPING) {
        return;
    }
    switch (status) {
    case CBW_STORE_OK:
        fence_all(promotion, now, version, ops, context);
        break;
    case CBW_STORE_LOST:
        enter_state(promotion, now, CBW_PROMOTION_SETTLING);
        ops->read_record(context);
        break;
    case CBW_STORE_MISSING:
    case CBW_STORE_CONFLICT:
        fail_attempt(promotion, now,
                     "another promotion claimed the record first", ops,
                     context);
        break;
    }
}

/* Whether the log of `a` is more recent than that of `b`. */
static bool
is_log_ahead(const cbw_endpoint_state_t *a, const cbw_endpoint_state_t *b)
{
    if (a->last_term != b->last_term) {
        return a->last_term > b->last_term;
    }
    return a->position > b->position;
}

/* Returns the fenced endpoint with the most recent log; among equals, one that
 * is not to be avoided. */
static int
choose_candidate(const cbw_promotion_t *promotion)
{
    int best = -1;

    for (int i = 0; i < promotion->endpoint_count; i++) {
        bool better;
        if (!(promotion->fenced_mask & (1U << i))) {
            continue;
        }
        if (best < 0) {
            best = i;
            continue;
        }
        better = is_log_ahead(&promotion->states[i], &promotion->states[best]);
        if (!better &&
            !is_log_ahead(&promotion->states[best], &promotion->states[i])) {
            better = (promotion->avoid_mask & (1U << best)) &&
                     !(promotion->avoid_mask & (1U << i));
        }
        if (better) {
            best = i;
        }
    }
    return best;
}

/* Promotes the best endpoint once a majority is fenced, and the calls to the
 * others have completed or the wait for them is over. */
static void
promote_if_ready(cbw_promotion_t *promotion, cbw_time_t now,
                 const cbw_promotion_ops_t *ops, void *context)
{
    int fenced_count = __builtin_popcount(promotion->fenced_mask);
    int completed_count =
        __builtin_popcount(promotion->fenced_mask | promotion->failed_mask);

    if (fenced_count <= promotion->endpoint_count / 2) {
        return;
    }
    if (promotion->majority_fenced_at == 0) {
        promotion->majority_fenced_at = now;
    }
    if (completed_count < promotion->endpoint_count &&
        now < promotion->majority_fenced_at + Cbw_PROMOTION_STRAGGLER_WAIT) {
        return;
    }
    promotion->candidate = choose_candidate(promotion);
    enter_state(promotion, now, CBW_PROMOTION_PROMOTING);
    ops->promote(context, promotion->candidate, promotion->term);
}

void
CbwPromotion_OnFence(cbw_promotion_t *promotion, cbw_time_t now, int endpoint,
                     uint64_t term, cbw_reply_status_t status,
                     const cbw_endpoint_state_t *state,
                     const cbw_promotion_ops_t *ops, void *context)
{
    assert(endpoint >= 0 && endpoint < promotion->endpoint_count);
    if (status == CBW_REPLY_SUPERSEDED) {
        observe_term(promotion, state->term);
    }
    if (promotion->state != CBW_PROMOTION_FENCING || term != promotion->term) {
        return;
    }
    if (status == CBW_REPLY_SUPERSEDED) {
        fail_attempt(promotion, now, "an endpoint is at a higher term", ops,
                     context);
        return;
    }
    if (status != CBW_REPLY_OK) {
        promotion->failed_mask |= 1U << endpoint;
    }
    else {
        promotion->fenced_mask |= 1U << endpoint;
        promotion->failed_mask &= ~(1U << endpoint);
        promotion->states[endpoint] = *state;
    }
    promote_if_ready(promotion, now, ops, context);
}

void
CbwPromotion_OnPromote(cbw_promotion_t *promotion, cbw_time_t now,
                       int endpoint, uint64_t term, cbw_reply_status_t status,
                       const cbw_promotion_ops_t *ops, void *context)
{
    cbw_group_record_t record;

    if (promotion->state != CBW_PROMOTION_PROMOTING ||
        term != promotion->term || endpoint != promotion->candidate) {
        return;
    }
    if (status == CBW_REPLY_LOST || status == CBW_REPLY_NO_CONNECTION) {
        /* It may have been promoted, or was not reached: waits for the
         * deadline. */
        return;
    }
    if (status != CBW_REPLY_OK) {
        fail_attempt(promotion, now, "the chosen endpoint refused", ops,
                     context);
        return;
    }
    record = (cbw_group_record_t){
        .term = promotion->term,
        .claimant = promotion->attempt_nonce,
        .primary = endpoint,
    };
    enter_state(promotion, now, CBW_PROMOTION_PUBLISHING);
    ops->on_outcome(context, promotion->term, endpoint, "promoted");
    ops->swap_record(context, promotion->record_version, &record);
}

void
CbwPromotion_Tick(cbw_promotion_t *promotion, cbw_time_t now,
                  const cbw_promotion_ops_t *ops, void *context)
{
    switch (promotion->state) {
    case CBW_PROMOTION_IDLE:
        return;
    case CBW_PROMOTION_BACKOFF:
        if (now >= promotion->backoff_until) {
            promotion->state = CBW_PROMOTION_IDLE;
        }
        return;
    case CBW_PROMOTION_FENCING:
        promote_if_ready(promotion, now, ops, context);
        break;
    default:
        break;
    }
    if (now < promotion->step_deadline) {
        return;
    }
    switch (promotion->state) {
    case CBW_PROMOTION_READING:
        fail_attempt(promotion, now, "the store gave no answer", ops, context);
        break;
    case CBW_PROMOTION_SWAPPING:
    case CBW_PROMOTION_SETTLING:
        enter_state(promotion, now, CBW_PROMOTION_SETTLING);
        ops->read_record(context);
        break;
    case CBW_PROMOTION_FENCING:
        fail_attempt(promotion, now, "no majority was fenced", ops, context);
        break;
    case CBW_PROMOTION_PROMOTING:
        fail_attempt(promotion, now, "the chosen endpoint gave no answer", ops,
                     context);
        break;
    case CBW_PROMOTION_PUBLISHING:
        finish_publishing(promotion);
        break;
    default:
        break;
    }
}
