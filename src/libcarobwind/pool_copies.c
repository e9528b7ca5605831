/* Which endpoints may have commits that were acknowledged with synchronous
 * replication, and which logs are known to have all of them. That an endpoint
 * is not listed says nothing of its log. */

#include <string.h>

#include "carobwind/pool.h"
#include "private/pool.h"

/* Returns the listed endpoint that is the copy's process, or has taken over
 * its log and is known to have one; -1: there is none. */
static int
find_listed_copy(const cbw_pool_t *pool, const cbw_log_copy_t *copy)
{
    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        const cbw_pool_endpoint_t *e = &pool->endpoints[i];
        if (e->used &&
            (CbwLogCopy_IsProcess(copy, &e->info) ||
             (CbwLogCopy_IsSuccessor(copy, &e->info) &&
              e->reported_as_of != 0 && e->reported_position.index > 0))) {
            return i;
        }
    }
    return -1;
}

/* Takes the copies that earlier owners knew of: an owner that is lost leaves
 * nothing but the record. */
static void
read_copies(cbw_pool_t *pool, cbw_time_t now)
{
    const cbw_log_copies_t *copies = &pool->tenure.record.copies;

    if (pool->copies_read) {
        return;
    }
    pool->copies_read = true;
    for (int i = 0; i < copies->count; i++) {
        pool->copies[i] = (cbw_pool_copy_t){.process = copies->items[i],
                                            .unlisted_since = now};
    }
    pool->copy_count = copies->count;
}

static void
write_copies(cbw_pool_t *pool, cbw_time_t now)
{
    cbw_log_copies_t copies = {.count = pool->copy_count};

    for (int i = 0; i < pool->copy_count; i++) {
        copies.items[i] = pool->copies[i].process;
    }
    CbwTenure_SetCopies(&pool->tenure, now, &copies);
}

/* Makes room for another copy: gives up the one that has been unlisted for the
 * longest time. Returns false when all are listed. */
static bool
drop_oldest(cbw_pool_t *pool, cbw_time_t now)
{
    cbw_pool_copy_t *oldest = NULL;

    for (int i = 0; i < pool->copy_count; i++) {
        cbw_pool_copy_t *copy = &pool->copies[i];
        if (copy->unlisted_since != 0 &&
            (oldest == NULL ||
             copy->unlisted_since < oldest->unlisted_since)) {
            oldest = copy;
        }
    }
    if (oldest == NULL) {
        return false;
    }
    CbwPool_LogDecision_(pool, now,
                         "the log of %s is not awaited any more: too many "
                         "endpoints",
                         oldest->process.name);
    *oldest = pool->copies[--pool->copy_count];
    return true;
}

static void
add_listed(cbw_pool_t *pool, cbw_time_t now, const cbw_endpoint_t *info)
{
    cbw_pool_copy_t *copy;

    for (int i = 0; i < pool->copy_count; i++) {
        if (CbwLogCopy_IsProcess(&pool->copies[i].process, info)) {
            pool->copies[i].unlisted_since = 0;
            return;
        }
    }
    if (pool->copy_count == Cbw_LOG_COPIES_MAX && !drop_oldest(pool, now)) {
        return;
    }
    copy = &pool->copies[pool->copy_count++];
    memset(copy, 0, sizeof(*copy));
    CbwLogCopy_Init(&copy->process, info);
}

/* When a copy that is not listed any more can have received its last commit.
 * An endpoint that was leaving goes on as well, until its process ends. */
static cbw_time_t
last_commit_at(const cbw_pool_copy_t *copy)
{
    return copy->unlisted_since + Cbw_POOL_COPY_FORGET_AFTER;
}

/* Whether a listed replica has everything that the primary had at `time`;
 * otherwise asks the replicas for their positions. */
static bool
is_replicated(cbw_pool_t *pool, cbw_time_t now, cbw_time_t time)
{
    cbw_position_t needed;

    if (!CbwPool_PositionAt_(pool, time, &needed)) {
        return false;
    }
    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        const cbw_pool_endpoint_t *e = &pool->endpoints[i];
        if (!e->used || e->down || i == pool->primary) {
            continue;
        }
        if (CbwPosition_Compare(e->position, needed) >= 0 &&
            !CbwPool_HasDiscardedEntries_(pool, e->position)) {
            return true;
        }
        if (now - e->reported_as_of >= Cbw_POOL_IDLE_STATE_CALL_INTERVAL) {
            CbwPool_SendStateCall_(pool, now, i);
        }
    }
    return false;
}

/* Whether no acknowledged commit can depend on the copy any more: its log has
 * passed to a listed endpoint, or a replica has all that it can have. */
static bool
is_dispensable(cbw_pool_t *pool, cbw_time_t now, const cbw_pool_copy_t *copy)
{
    if (find_listed_copy(pool, &copy->process) >= 0) {
        return true;
    }
    return pool->phase == CBW_POOL_SERVING && pool->primary >= 0 &&
           !pool->endpoints[pool->primary].down &&
           CbwTenure_IsExclusive(&pool->tenure, now) &&
           now >= last_commit_at(copy) &&
           is_replicated(pool, now, last_commit_at(copy));
}

void
CbwPool_UpdateCopies_(cbw_pool_t *pool, cbw_time_t now)
{
    bool listed[Cbw_LOG_COPIES_MAX] = {false};

    if (!pool->tenure.held) {
        pool->copy_count = 0;
        pool->copies_read = false;
        return;
    }
    if (!pool->synchronous) {
        pool->copy_count = 0;
        if (pool->tenure.copies.count > 0) {
            write_copies(pool, now);
        }
        return;
    }
    read_copies(pool, now);
    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        if (pool->endpoints[i].used) {
            add_listed(pool, now, &pool->endpoints[i].info);
        }
    }
    for (int i = 0; i < pool->copy_count; i++) {
        for (int j = 0; j < Cbw_POOL_ENDPOINTS_MAX; j++) {
            listed[i] |= pool->endpoints[j].used &&
                         CbwLogCopy_IsProcess(&pool->copies[i].process,
                                              &pool->endpoints[j].info);
        }
    }
    for (int i = pool->copy_count - 1; i >= 0; i--) {
        cbw_pool_copy_t *copy = &pool->copies[i];
        if (listed[i]) {
            continue;
        }
        if (copy->unlisted_since == 0) {
            copy->unlisted_since = now;
        }
        if (is_dispensable(pool, now, copy)) {
            *copy = pool->copies[--pool->copy_count];
        }
    }
    write_copies(pool, now);
}

const char *
CbwPool_FindMissingCopy_(const cbw_pool_t *pool)
{
    for (int i = 0; i < pool->copy_count; i++) {
        const cbw_pool_copy_t *copy = &pool->copies[i];
        if (strcmp(copy->process.name, pool->previous_primary) != 0 &&
            find_listed_copy(pool, &copy->process) < 0) {
            return copy->process.name;
        }
    }
    return NULL;
}

/* Whether `last_log.end` covers what all owners acknowledged: it does if it
 * was observed after the tenures of the others had ended. */
static bool
knows_last_log(const cbw_pool_t *pool)
{
    return pool->last_log.term != 0 &&
           pool->last_log.term == CbwPool_RecordPrimaryTerm_(pool) &&
           pool->last_log.as_of >= pool->tenure.exclusive_from;
}

bool
CbwPool_IsComplete_(const cbw_pool_t *pool, const cbw_pool_endpoint_t *e)
{
    uint64_t term = CbwPool_RecordPrimaryTerm_(pool);

    /* A primary of a later term than the record's was promoted as a complete
     * log, and nothing has been acknowledged since. */
    if (e->is_primary && term != 0 && e->reported_term >= term &&
        e->reported_term >= pool->highest_term) {
        return true;
    }
    return knows_last_log(pool) &&
           CbwPosition_Compare(e->reported_position, pool->last_log.end) >= 0;
}

bool
CbwPool_HasPresentTerm_(const cbw_pool_t *pool, cbw_position_t position)
{
    const cbw_term_history_t *history = &pool->tenure.record.history;
    uint64_t base = history->count > 0
                        ? history->starts[history->count - 1].base
                        : Cbw_TERM_BASE_UNKNOWN;

    return base == Cbw_TERM_BASE_UNKNOWN || position.index >= base;
}
