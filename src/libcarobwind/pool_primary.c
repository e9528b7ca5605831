/* Which endpoint is the primary, and where its log ends. A change of the
 * primary, or of its term, begins a generation: what was learned in an earlier
 * one does not prove that an answer is up to date. */

#include <string.h>

#include "carobwind/pool.h"
#include "private/pool.h"

int
CbwPosition_Compare(cbw_position_t a, cbw_position_t b)
{
    if (a.term != b.term) {
        return a.term < b.term ? -1 : 1;
    }
    if (a.index != b.index) {
        return a.index < b.index ? -1 : 1;
    }
    return 0;
}

void
CbwPool_ObserveTerm_(cbw_pool_t *pool, uint64_t term)
{
    if (term > pool->highest_term) {
        pool->highest_term = term;
    }
}

void
CbwPool_ObserveStart_(cbw_pool_t *pool, uint64_t term, cbw_position_t position)
{
    uint64_t base = position.term < term ? position.index : 0;

    if (term > pool->reported_start.term) {
        pool->reported_start = (cbw_term_start_t){term, base};
    }
}

cbw_position_t
CbwPool_ValidPosition_(const cbw_pool_t *pool, cbw_position_t position)
{
    const cbw_term_start_t *start = &pool->reported_start;

    if (pool->tenure.record.term != 0 &&
        start->term > pool->tenure.record.term &&
        position.term < start->term && position.index > start->base) {
        position.index = start->base;
    }
    return CbwTermHistory_Valid(&pool->tenure.record.history, position);
}

bool
CbwPool_HasDiscardedEntries_(const cbw_pool_t *pool, cbw_position_t position)
{
    return CbwPool_ValidPosition_(pool, position).index < position.index;
}

bool
CbwPool_MayShowLog_(const cbw_pool_t *pool, cbw_position_t position)
{
    return !CbwPool_HasDiscardedEntries_(pool, position) &&
           (position.term >= pool->primary_term ||
            position.index <= pool->primary_base);
}

uint64_t
CbwPool_RecordPrimaryTerm_(const cbw_pool_t *pool)
{
    const cbw_tenure_record_t *record = &pool->tenure.record;

    if (record->term != 0) {
        return record->term;
    }
    return strcmp(pool->reported_primary, record->primary) == 0
               ? pool->reported_primary_term
               : 0;
}

const char *
CbwPool_FirstPrimary_(const cbw_pool_t *pool)
{
    const cbw_pool_endpoint_t *first = NULL;
    int count = 0;
    bool all_answered = true;

    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        const cbw_pool_endpoint_t *e = &pool->endpoints[i];
        if (!e->used || !e->info.reports_primary) {
            continue;
        }
        count++;
        all_answered = all_answered && e->reported_as_of != 0;
        if (first == NULL ||
            (e->is_primary && (!first->is_primary ||
                               e->reported_term > first->reported_term))) {
            first = e;
        }
    }
    if (count == 1 || (count > 1 && all_answered && first->is_primary)) {
        return first->info.name;
    }
    return "";
}

/* Whether an endpoint that leads `term` is the present primary and has been so
 * without interruption. Of two known terms of one endpoint, the lower one is
 * the older information. If one is not known, the record's epoch decides. */
static bool
is_unchanged_primary(const cbw_pool_t *pool, int index, uint64_t term)
{
    if (index != pool->primary) {
        return false;
    }
    return term != 0 && pool->primary_term != 0
               ? term <= pool->primary_term
               : pool->tenure.record.epoch == pool->primary_epoch;
}

bool
CbwPool_SetPrimary_(cbw_pool_t *pool, cbw_time_t now, int index, uint64_t term)
{
    bool unchanged = is_unchanged_primary(pool, index, term);
    bool moved = index != pool->primary;

    pool->primary_epoch = pool->tenure.record.epoch;
    if (unchanged) {
        pool->primary_term =
            pool->primary_term != 0 ? pool->primary_term : term;
        return false;
    }
    CbwPool_KeepLastLog_(pool);
    pool->primary = index;
    pool->primary_term = term;
    pool->generation++;
    pool->sample_count = 0;
    pool->primary_position = (cbw_position_t){0, 0};
    pool->primary_base = Cbw_TERM_BASE_UNKNOWN;
    CbwPool_ResetConfirmation_(pool);
    CbwPool_FailHeldAnswers_(pool, now);
    return moved;
}

void
CbwPool_UpdatePrimary_(cbw_pool_t *pool, cbw_time_t now)
{
    int index;

    if (!pool->tenure.record_known) {
        return; /* keeps the last primary until the record is read again */
    }
    if (CbwPool_IsConfirmedByEndpoints_(pool, now)) {
        return; /* the endpoints' states are more recent */
    }
    index = pool->tenure.version != 0
                ? CbwPool_FindEndpoint_(pool, pool->tenure.record.primary)
                : -1;
    if (CbwPool_SetPrimary_(pool, now, index,
                            CbwPool_RecordPrimaryTerm_(pool))) {
        CbwPool_LogDecision_(
            pool, now, "primary according to the record: %s%s",
            pool->tenure.record.primary, index < 0 ? " (not listed)" : "");
    }
}

void
CbwPool_ForgetHistory_(cbw_pool_t *pool)
{
    pool->highest_term = 0;
    pool->reported_start = (cbw_term_start_t){0, 0};
    pool->reported_primary[0] = '\0';
    pool->primary_position = (cbw_position_t){0, 0};
    pool->promotion_position = (cbw_position_t){0, 0};
    pool->promotion_term = 0;
    pool->promotion_as_of = 0;
    pool->primary_term = 0;
    pool->primary_base = Cbw_TERM_BASE_UNKNOWN;
    pool->sample_count = 0;
    memset(&pool->last_log, 0, sizeof(pool->last_log));
}

/* Samples of the primary's log. */

bool
CbwPool_PositionAt_(const cbw_pool_t *pool, cbw_time_t time,
                    cbw_position_t *position)
{
    size_t count = pool->sample_count;
    size_t kept = count < Cbw_POOL_SAMPLES_MAX ? count : Cbw_POOL_SAMPLES_MAX;
    bool found = false;

    /* Takes the oldest sample that is not older than `time`. Unlike the
     * positions that this owner acknowledged, it covers the writes that other
     * owners acknowledged by the endpoints' confirmation. */
    for (size_t i = 0; i < kept; i++) {
        const cbw_pool_sample_t *sample =
            &pool->samples[(count - 1 - i) % Cbw_POOL_SAMPLES_MAX];
        if (sample->time < time) {
            break;
        }
        *position = sample->position;
        found = true;
    }
    if (found &&
        CbwPosition_Compare(*position, pool->promotion_position) < 0) {
        *position = pool->promotion_position;
    }
    return found;
}

void
CbwPool_KeepLastLog_(cbw_pool_t *pool)
{
    size_t kept = pool->sample_count < Cbw_POOL_SAMPLES_MAX
                      ? pool->sample_count
                      : Cbw_POOL_SAMPLES_MAX;
    const cbw_pool_sample_t *last;

    if (kept == 0 || pool->primary_term == 0) {
        return;
    }
    last = &pool->samples[(pool->sample_count - 1) % Cbw_POOL_SAMPLES_MAX];
    pool->last_log = (cbw_pool_last_log_t){.term = pool->primary_term,
                                           .end = pool->primary_position,
                                           .as_of = last->time};
    for (size_t i = 1; i < kept; i++) {
        const cbw_pool_sample_t *sample =
            &pool->samples[(pool->sample_count - 1 - i) %
                           Cbw_POOL_SAMPLES_MAX];
        if (last->time - sample->time >= Cbw_POOL_REPLICATION_DELAY_MAX) {
            pool->last_log.replicated = sample->position;
            return;
        }
    }
}

bool
CbwPool_WasCutOff_(const cbw_pool_t *pool, cbw_position_t position)
{
    return pool->last_log.term != 0 &&
           pool->last_log.term == CbwPool_RecordPrimaryTerm_(pool) &&
           CbwPosition_Compare(position, pool->last_log.replicated) < 0;
}

void
CbwPool_ObservePosition_(cbw_pool_t *pool, cbw_time_t sent,
                         cbw_position_t position)
{
    cbw_pool_sample_t *last =
        &pool->samples[(pool->sample_count + Cbw_POOL_SAMPLES_MAX - 1) %
                       Cbw_POOL_SAMPLES_MAX];

    if (CbwPosition_Compare(position, pool->primary_position) > 0) {
        pool->primary_position = position;
    }
    if (position.term < pool->primary_term) {
        pool->primary_base = position.index;
    }
    if (pool->sample_count > 0 &&
        sent - last->time < Cbw_POOL_SAMPLE_INTERVAL) {
        return;
    }
    pool->samples[pool->sample_count++ % Cbw_POOL_SAMPLES_MAX] =
        (cbw_pool_sample_t){.time = sent, .position = pool->primary_position};
}

void
CbwPool_ObservePromotion_(cbw_pool_t *pool)
{
    /* Valid from the time when the call was sent. The record may be published
     * much later, and other owners may have acknowledged writes of the new
     * primary since, by the endpoints' confirmation. */
    CbwPool_ObservePosition_(pool, pool->promotion_as_of,
                             pool->promotion_position);
}

void
CbwPool_ObserveUnconfirmed_(cbw_pool_t *pool, cbw_time_t sent,
                            cbw_position_t position)
{
    if (pool->confirming && pool->unconfirmed_sample.time == 0) {
        pool->unconfirmed_sample =
            (cbw_pool_sample_t){.time = sent, .position = position};
    }
}
