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
enter(cbw_promotion_t *promotion, cbw_time_t now, cbw_promotion_state_t state)
{
    promotion->state = state;
    promotion->step_deadline = now + Cbw_PROMOTION_STEP_TIMEOUT;
}

static void
fail(cbw_promotion_t *promotion, cbw_time_t now, const char *reason,
     const cbw_promotion_ops_t *ops, void *context)
{
    cbw_time_t pause = Cbw_PROMOTION_BACKOFF;

    for (int i = 0; i < promotion->consecutive_failures && i < 8; i++) {
        pause *= 2;
    }
    if (pause > Cbw_PROMOTION_BACKOFF_MAX) {
        pause = Cbw_PROMOTION_BACKOFF_MAX;
    }
    /* Spreads the owners that may try at the same time. */
    pause += (cbw_time_t)(promotion->attempt_nonce % 97) * Cbw_MSEC;
    promotion->consecutive_failures++;
    promotion->state = CBW_PROMOTION_BACKOFF;
    promotion->backoff_until = now + pause;
    ops->ended(context, promotion->term, -1, reason);
}

static void
see_term(cbw_promotion_t *promotion, uint64_t term)
{
    if (term > promotion->highest_term) {
        promotion->highest_term = term;
    }
}

bool
CbwPromotion_Start(cbw_promotion_t *promotion, cbw_time_t now,
                   uint64_t seen_term, unsigned excluded,
                   const cbw_promotion_ops_t *ops, void *context)
{
    if (CbwPromotion_IsActive(promotion) || now < promotion->backoff_until) {
        return false;
    }
    promotion->attempt_nonce++;
    promotion->excluded_mask = excluded;
    promotion->fenced_mask = 0;
    promotion->unanswered_mask = 0;
    promotion->majority_fenced_at = 0;
    promotion->candidate = -1;
    see_term(promotion, seen_term);
    enter(promotion, now, CBW_PROMOTION_READING);
    ops->read_record(context);
    return true;
}

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
    see_term(promotion, promotion->term);
    enter(promotion, now, CBW_PROMOTION_SWAPPING);
    ops->swap_record(context, version, &record);
}

static void
fence_all(cbw_promotion_t *promotion, cbw_time_t now, uint64_t version,
          const cbw_promotion_ops_t *ops, void *context)
{
    promotion->record_version = version;
    enter(promotion, now, CBW_PROMOTION_FENCING);
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
    bool ours;

    if (promotion->state != CBW_PROMOTION_READING &&
        promotion->state != CBW_PROMOTION_SETTLING) {
        return;
    }
    if (status == CBW_STORE_LOST) {
        if (promotion->state == CBW_PROMOTION_READING) {
            fail(promotion, now, "the store gave no answer", ops, context);
        }
        return; /* settling goes on at the next tick */
    }
    if (status == CBW_STORE_MISSING) {
        version = 0;
    }
    else {
        see_term(promotion, record->term);
    }
    if (promotion->state == CBW_PROMOTION_READING) {
        claim_term(promotion, now, version, ops, context);
        return;
    }
    ours = status == CBW_STORE_OK &&
           record->claimant == promotion->attempt_nonce &&
           record->term == promotion->term;
    if (ours) {
        fence_all(promotion, now, version, ops, context);
    }
    else {
        fail(promotion, now, "the swap did not take effect", ops, context);
    }
}

static void
publish_ended(cbw_promotion_t *promotion)
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
        publish_ended(promotion);
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
        enter(promotion, now, CBW_PROMOTION_SETTLING);
        ops->read_record(context);
        break;
    case CBW_STORE_MISSING:
    case CBW_STORE_CONFLICT:
        fail(promotion, now, "another promotion was first", ops, context);
        break;
    }
}

static bool
is_higher_log(const cbw_endpoint_state_t *a, const cbw_endpoint_state_t *b)
{
    if (a->last_term != b->last_term) {
        return a->last_term > b->last_term;
    }
    return a->position > b->position;
}

/* The fenced endpoint with the highest log; among equals one that is not
 * excluded. */
static int
choose(const cbw_promotion_t *promotion)
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
        better =
            is_higher_log(&promotion->states[i], &promotion->states[best]);
        if (!better &&
            !is_higher_log(&promotion->states[best], &promotion->states[i])) {
            better = (promotion->excluded_mask & (1U << best)) &&
                     !(promotion->excluded_mask & (1U << i));
        }
        if (better) {
            best = i;
        }
    }
    return best;
}

static void
promote_if_ready(cbw_promotion_t *promotion, cbw_time_t now,
                 const cbw_promotion_ops_t *ops, void *context)
{
    int fenced = __builtin_popcount(promotion->fenced_mask);
    int answered = __builtin_popcount(promotion->fenced_mask |
                                      promotion->unanswered_mask);

    if (fenced <= promotion->endpoint_count / 2) {
        return;
    }
    if (promotion->majority_fenced_at == 0) {
        promotion->majority_fenced_at = now;
    }
    if (answered < promotion->endpoint_count &&
        now < promotion->majority_fenced_at + Cbw_PROMOTION_STRAGGLER_WAIT) {
        return;
    }
    promotion->candidate = choose(promotion);
    enter(promotion, now, CBW_PROMOTION_PROMOTING);
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
        see_term(promotion, state->term);
    }
    if (promotion->state != CBW_PROMOTION_FENCING || term != promotion->term) {
        return;
    }
    if (status == CBW_REPLY_SUPERSEDED) {
        fail(promotion, now, "an endpoint is at a higher term", ops, context);
        return;
    }
    if (status != CBW_REPLY_OK) {
        promotion->unanswered_mask |= 1U << endpoint;
    }
    else {
        promotion->fenced_mask |= 1U << endpoint;
        promotion->unanswered_mask &= ~(1U << endpoint);
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
        return; /* the step's deadline decides */
    }
    if (status != CBW_REPLY_OK) {
        fail(promotion, now, "the chosen endpoint refused", ops, context);
        return;
    }
    record = (cbw_group_record_t){
        .term = promotion->term,
        .claimant = promotion->attempt_nonce,
        .primary = endpoint,
    };
    enter(promotion, now, CBW_PROMOTION_PUBLISHING);
    ops->ended(context, promotion->term, endpoint, "promoted");
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
        fail(promotion, now, "the store gave no answer", ops, context);
        break;
    case CBW_PROMOTION_SWAPPING:
    case CBW_PROMOTION_SETTLING:
        enter(promotion, now, CBW_PROMOTION_SETTLING);
        ops->read_record(context);
        break;
    case CBW_PROMOTION_FENCING:
        fail(promotion, now, "no majority was fenced", ops, context);
        break;
    case CBW_PROMOTION_PROMOTING:
        fail(promotion, now, "the chosen endpoint gave no answer", ops,
             context);
        break;
    case CBW_PROMOTION_PUBLISHING:
        publish_ended(promotion);
        break;
    default:
        break;
    }
}
