#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "carobwind/pool.h"
#include "private/pool.h"

/* Failures of the endpoint. */

static void
set_phase(cbw_pool_t *pool, cbw_time_t now, cbw_pool_phase_t phase)
{
    pool->phase = phase;
    pool->phase_since = now;
}

void
CbwPool_OnFailure_(cbw_pool_t *pool, cbw_time_t now, int endpoint)
{
    cbw_pool_endpoint_t *e = &pool->endpoints[endpoint];

    e->failures++;
    e->passed_over_until = now + Cbw_POOL_BEHIND_PAUSE;
    if (e->down || e->failures < Cbw_POOL_FAILURES_DOWN) {
        return;
    }
    e->down = true;
    e->status_due = now + Cbw_POOL_RETRY_DOWN;
    CbwPool_Decide_(pool, now,
                    "endpoint %s is down: %d failures, last heard %" PRId64
                    " ms ago",
                    e->info.name, e->failures, (now - e->heard_at) / Cbw_MSEC);
    CbwPool_Abandon_(pool, now, endpoint);
}

void
CbwPool_AskStatus_(cbw_pool_t *pool, cbw_time_t now, int endpoint)
{
    cbw_pool_endpoint_t *e = &pool->endpoints[endpoint];
    cbw_call_t call = {.verb = CBW_CALL_STATE, .key = ""};

    if (e->status_call != 0) {
        return;
    }
    CbwCounter_Add(pool->counters, CBW_COUNTER_STATE_CALLS, 1);
    /* While the endpoints are asked all the time, new connections would cost
     * more slots than the answers. */
    call.new_connection = e->failures > 0 || e->suspect ||
                          (e->waiting_since != 0 && !pool->confirming);
    e->status_due = now + Cbw_POOL_IDLE_INTERVAL;
    e->status_call = pool->next_call + 1;
    if (!CbwPool_Send_(pool, now, endpoint, &call, NULL,
                       Cbw_POOL_PROBE_TIMEOUT)) {
        e->status_call = 0;
        CbwPool_OnFailure_(pool, now, endpoint);
    }
}

static bool
is_status_due(const cbw_pool_t *pool, cbw_time_t now, int endpoint)
{
    const cbw_pool_endpoint_t *e = &pool->endpoints[endpoint];

    if (e->down) {
        return now >= e->status_due;
    }
    if (e->failures > 0 || e->suspect) {
        return true;
    }
    if (e->waiting_since != 0 &&
        now - e->waiting_since > Cbw_POOL_PROBE_AFTER &&
        now - e->heard_at > Cbw_POOL_PROBE_AFTER) {
        return true;
    }
    return endpoint == pool->primary && now >= e->status_due &&
           now - e->heard_at > Cbw_POOL_IDLE_INTERVAL;
}

/* Former primaries are told that they are not any more. */
static void
tell_step_down(cbw_pool_t *pool, cbw_time_t now, int endpoint)
{
    cbw_pool_endpoint_t *e = &pool->endpoints[endpoint];
    cbw_call_t call = {
        .verb = CBW_CALL_STEP_DOWN, .key = "", .term = e->step_down_term};

    if (e->step_down_term == 0 || now < e->step_down_at) {
        return;
    }
    e->step_down_at = now + Cbw_POOL_RETRY_DOWN;
    CbwPool_Send_(pool, now, endpoint, &call, NULL, Cbw_POOL_PROBE_TIMEOUT);
}

/* Promotion. */

static bool
is_candidate(const cbw_pool_t *pool, int index)
{
    const cbw_pool_endpoint_t *e = &pool->endpoints[index];

    return e->used && !e->down && (pool->refused & (1U << index)) == 0 &&
           strcmp(e->info.name, pool->former) != 0;
}

/* The endpoint that has received most; one that stays goes before one that
 * leaves. -1 when there is none. */
static int
choose_candidate(const cbw_pool_t *pool)
{
    int best = -1;

    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        const cbw_pool_endpoint_t *e = &pool->endpoints[i];
        const cbw_pool_endpoint_t *b;
        if (!is_candidate(pool, i) || e->status_at < pool->phase_since) {
            continue;
        }
        if (best < 0) {
            best = i;
            continue;
        }
        b = &pool->endpoints[best];
        if (e->info.leaving != b->info.leaving) {
            best = b->info.leaving ? i : best;
            continue;
        }
        if (CbwPosition_Compare(e->received, b->received) > 0) {
            best = i;
        }
    }
    return best;
}

static void
ask_candidates(cbw_pool_t *pool, cbw_time_t now)
{
    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        if (is_candidate(pool, i) &&
            pool->endpoints[i].status_at < pool->phase_since) {
            CbwPool_AskStatus_(pool, now, i);
        }
    }
}

static bool
all_candidates_answered(const cbw_pool_t *pool)
{
    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        if (is_candidate(pool, i) &&
            pool->endpoints[i].status_at < pool->phase_since) {
            return false;
        }
    }
    return true;
}

static void
claim(cbw_pool_t *pool, cbw_time_t now, const char *reason)
{
    if (!CbwTenure_BeginPromotion(&pool->tenure, now)) {
        return;
    }
    snprintf(pool->former, sizeof(pool->former), "%s",
             pool->tenure.record.primary);
    pool->former_term = pool->newest.term;
    pool->refused = 0;
    pool->candidate = -1;
    set_phase(pool, now, CBW_POOL_CLAIMING);
    CbwCounter_Add(pool->counters, CBW_COUNTER_PROMOTIONS_STARTED, 1);
    CbwPool_Decide_(pool, now, "promotion begins: %s", reason);
    /* From here on nothing of the former primary is acknowledged. */
    if (pool->primary >= 0) {
        CbwPool_Abandon_(pool, now, pool->primary);
    }
}

static void
order(cbw_pool_t *pool, cbw_time_t now)
{
    pool->candidate = choose_candidate(pool);
    if (pool->candidate < 0) {
        if (now - pool->phase_since > Cbw_POOL_ORDER_AGAIN) {
            pool->refused = 0;
            set_phase(pool, now, CBW_POOL_WAITING); /* asks them all again */
        }
        return;
    }
    set_phase(pool, now, CBW_POOL_ORDERING);
    CbwPool_Decide_(pool, now,
                    "orders %s to lead, received %" PRIu64 ".%" PRIu64
                    ", fence %" PRIu64,
                    pool->endpoints[pool->candidate].info.name,
                    pool->endpoints[pool->candidate].received.term,
                    pool->endpoints[pool->candidate].received.number,
                    pool->tenure.version);
    pool->ops->order(pool->context, pool->endpoints[pool->candidate].info.name,
                     pool->tenure.version);
}

void
CbwPool_OnOrdered(cbw_pool_t *pool, cbw_time_t now, cbw_order_status_t status)
{
    if (pool->phase != CBW_POOL_ORDERING) {
        return;
    }
    CbwPool_Decide_(pool, now, "the order is %s", CbwPool_OrderString[status]);
    if (status == CBW_ORDER_REFUSED) {
        pool->refused |= 1U << pool->candidate;
        set_phase(pool, now, CBW_POOL_WAITING);
        return;
    }
    set_phase(pool, now, CBW_POOL_FOLLOWING);
}

/* The candidate leads: its log so far is what the new term begins with. */
static void
on_new_primary(cbw_pool_t *pool, cbw_time_t now)
{
    const cbw_pool_endpoint_t *e = &pool->endpoints[pool->candidate];

    if (!CbwTenure_EndPromotion(&pool->tenure, now, e->info.name)) {
        return;
    }
    set_phase(pool, now, CBW_POOL_PUBLISHING);
    pool->floor = e->received;
    pool->lead_term = e->held_term;
    pool->newest = e->received;
    pool->history_count = 0;
    CbwPool_NotePosition_(pool, now, e->received);
}

static void
follow(cbw_pool_t *pool, cbw_time_t now)
{
    const cbw_pool_endpoint_t *e;

    if (pool->candidate < 0) {
        set_phase(pool, now, CBW_POOL_WAITING);
        return;
    }
    e = &pool->endpoints[pool->candidate];
    if (e->used && e->is_primary && e->status_at >= pool->phase_since) {
        on_new_primary(pool, now);
        return;
    }
    if (!e->used || e->down ||
        now - pool->phase_since > Cbw_POOL_ORDER_AGAIN) {
        set_phase(pool, now, CBW_POOL_WAITING);
        return;
    }
    if (e->status_call == 0 &&
        now - e->status_at >= Cbw_POOL_FOLLOW_INTERVAL) {
        CbwPool_AskStatus_(pool, now, pool->candidate);
    }
}

static void
on_published(cbw_pool_t *pool, cbw_time_t now)
{
    int former = CbwPool_Find_(pool, pool->former);

    set_phase(pool, now, CBW_POOL_SERVING);
    CbwCounter_Add(pool->counters, CBW_COUNTER_PROMOTIONS_WON, 1);
    CbwPool_Decide_(pool, now, "primary is %s, epoch %" PRIu64,
                    pool->tenure.record.primary, pool->tenure.record.epoch);
    if (former >= 0 && former != pool->primary) {
        pool->endpoints[former].step_down_term = pool->newest.term;
        pool->endpoints[former].step_down_at = now;
    }
}

static void
update_primary(cbw_pool_t *pool, cbw_time_t now)
{
    int place;

    if (!pool->tenure.known) {
        return; /* what was known holds until it is read again */
    }
    if (CbwPool_IsConfirmed_(pool, now)) {
        return; /* the endpoints know better */
    }
    place = pool->tenure.version != 0
                ? CbwPool_Find_(pool, pool->tenure.record.primary)
                : -1;
    if (place == pool->primary) {
        return;
    }
    pool->primary = place;
    CbwPool_Decide_(pool, now, "primary by the record: %s%s",
                    pool->tenure.record.primary,
                    place < 0 ? " (not listed)" : "");
}

static void
on_tenure_changed(cbw_pool_t *pool, cbw_time_t now)
{
    update_primary(pool, now);
    if (pool->phase >= CBW_POOL_CLAIMING && !pool->tenure.held) {
        set_phase(pool, now, CBW_POOL_SERVING);
        CbwPool_Decide_(pool, now, "another owner took the promotion over");
        return;
    }
    if (pool->phase == CBW_POOL_CLAIMING && !pool->tenure.asking) {
        set_phase(pool, now,
                  pool->tenure.record.promoting ? CBW_POOL_WAITING
                                                : CBW_POOL_SERVING);
    }
    if (pool->phase == CBW_POOL_PUBLISHING && !pool->tenure.asking &&
        pool->tenure.known) {
        if (!pool->tenure.record.promoting) {
            on_published(pool, now);
        }
        else {
            set_phase(pool, now, CBW_POOL_FOLLOWING);
        }
    }
}

void
CbwPool_OnRecord(cbw_pool_t *pool, cbw_time_t now, cbw_store_status_t status,
                 uint64_t version, const cbw_tenure_record_t *record)
{
    CbwTenure_OnRecord(&pool->tenure, now, status, version, record);
    on_tenure_changed(pool, now);
    CbwPool_Prove_(pool, now);
    CbwPool_Dispatch_(pool, now);
}

void
CbwPool_OnSwap(cbw_pool_t *pool, cbw_time_t now, cbw_store_status_t status,
               uint64_t version)
{
    CbwTenure_OnSwap(&pool->tenure, now, status, version);
    CbwPool_Decide_(pool, now, "swap of the record: %s, version %" PRIu64,
                    CbwPromotion_StoreStatusString[status], version);
    on_tenure_changed(pool, now);
    CbwPool_Prove_(pool, now);
    CbwPool_Dispatch_(pool, now);
}

void
CbwPool_OnReach(cbw_pool_t *pool, cbw_time_t now, const char *host)
{
    if (pool->phase != CBW_POOL_ASKING_REACH) {
        return;
    }
    set_phase(pool, now, CBW_POOL_SERVING);
    if (host == NULL) {
        pool->reach_known_until = now + Cbw_POOL_ORDER_AGAIN;
        return;
    }
    CbwPool_Decide_(pool, now, "%s reaches the primary: ownership moves",
                    host);
    pool->moved_until = now + Cbw_POOL_ORDER_AGAIN;
    pool->ops->move(pool->context, host, true);
    CbwPool_Evict(pool);
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
    return !CbwList_IsEmpty(&pool->proving);
}

/* A replica that stays has received all that the primary wrote. */
static bool
has_caught_up(cbw_pool_t *pool, cbw_time_t now)
{
    bool found = false;

    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        cbw_pool_endpoint_t *e = &pool->endpoints[i];
        if (i == pool->primary || !e->used || e->down || e->info.leaving) {
            continue;
        }
        if (CbwPosition_Compare(e->received, pool->newest) >= 0 ||
            CbwPosition_Compare(e->position, pool->newest) >= 0) {
            found = true;
        }
        else if (now - e->status_at >= Cbw_POOL_FOLLOW_INTERVAL) {
            CbwPool_AskStatus_(pool, now, i);
        }
    }
    return found;
}

static bool
has_replica_that_stays(const cbw_pool_t *pool)
{
    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        const cbw_pool_endpoint_t *e = &pool->endpoints[i];
        if (i != pool->primary && e->used && !e->down && !e->info.leaving) {
            return true;
        }
    }
    return false;
}

/* Whether the database is left to the holder that the record names: to one
 * that carries a promotion out, and to any when the fleet's order does not
 * name this owner. */
static bool
defers(const cbw_pool_t *pool, cbw_time_t now)
{
    const cbw_tenure_t *tenure = &pool->tenure;

    if (tenure->held || tenure->record.holder.nonce == 0 ||
        now < pool->moved_until ||
        strcmp(tenure->record.holder.host, tenure->self.host) == 0) {
        return false;
    }
    if (tenure->record.promoting) {
        return !CbwTenure_IsValid(tenure, now);
    }
    return tenure->known && !pool->owned && now >= pool->claimed_until;
}

/* Requests go to the holder, which knows the database better. */
void
CbwPool_MoveToHolder_(cbw_pool_t *pool, cbw_time_t now)
{
    cbw_tenure_t *tenure = &pool->tenure;

    if (!defers(pool, now) ||
        !pool->ops->move(pool->context, tenure->record.holder.host, false)) {
        return;
    }
    if (tenure->record.promoting) {
        pool->moved_until = now + Cbw_TENURE_RETRY_INTERVAL;
    }
    else {
        pool->moved_until = now + Cbw_POOL_DEFER_FOR;
        CbwTenure_Defer(tenure, pool->moved_until);
    }
    CbwPool_Evict(pool);
}

static void
serve(cbw_pool_t *pool, cbw_time_t now)
{
    const cbw_pool_endpoint_t *e;

    if (!pool->tenure.held || pool->stopping) {
        return;
    }
    if (pool->tenure.inherited) {
        claim(pool, now, "a promotion was begun by another owner");
        return;
    }
    if (!CbwTenure_IsValid(&pool->tenure, now) || now < pool->moved_until) {
        return;
    }
    if (pool->primary < 0) {
        claim(pool, now, "the primary is not listed any more");
        return;
    }
    e = &pool->endpoints[pool->primary];
    if (e->down) {
        if (now < pool->reach_known_until) {
            claim(pool, now, "nobody reaches the primary");
            return;
        }
        set_phase(pool, now, CBW_POOL_ASKING_REACH);
        pool->ops->ask_reach(pool->context, pool->primary);
        return;
    }
    if (e->info.leaving && has_replica_that_stays(pool)) {
        set_phase(pool, now, CBW_POOL_DRAINING);
        CbwPool_Decide_(pool, now, "%s is leaving: writes wait", e->info.name);
    }
}

static void
drain_primary(cbw_pool_t *pool, cbw_time_t now)
{
    if (pool->primary < 0 || pool->endpoints[pool->primary].down) {
        set_phase(pool, now, CBW_POOL_SERVING);
        return;
    }
    if ((!has_running_writes(pool) && has_caught_up(pool, now)) ||
        now - pool->phase_since > Cbw_POOL_SWITCH_WAIT) {
        claim(pool, now, "the primary is leaving");
    }
}

static void
run_phase(cbw_pool_t *pool, cbw_time_t now)
{
    switch (pool->phase) {
    case CBW_POOL_SERVING:
        serve(pool, now);
        break;
    case CBW_POOL_ASKING_REACH:
        if (now - pool->phase_since > Cbw_POOL_REACH_WAIT) {
            CbwPool_OnReach(pool, now, NULL);
        }
        break;
    case CBW_POOL_DRAINING:
        drain_primary(pool, now);
        break;
    case CBW_POOL_WAITING:
        ask_candidates(pool, now);
        CbwTenure_AskFormers(&pool->tenure, now);
        if (now >= pool->tenure.sole_since &&
            (all_candidates_answered(pool) ||
             now - pool->phase_since > Cbw_POOL_SURVEY_WAIT)) {
            order(pool, now);
        }
        break;
    case CBW_POOL_ORDERING:
        if (now - pool->phase_since > Cbw_POOL_ORDER_AGAIN) {
            CbwPool_OnOrdered(pool, now, CBW_ORDER_LOST);
        }
        break;
    case CBW_POOL_FOLLOWING:
        follow(pool, now);
        break;
    case CBW_POOL_CLAIMING:
    case CBW_POOL_PUBLISHING:
        break;
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
    e->is_primary = reply->state.primary;
    e->held_term = reply->state.term;
    e->received =
        (cbw_position_t){reply->state.last_term, reply->state.position};
    e->status_at = call->sent_at;
    if (e->step_down_term != 0 &&
        (call->verb == CBW_CALL_STEP_DOWN || !e->is_primary)) {
        e->step_down_term = 0;
        CbwPool_Decide_(pool, now, "%s stepped down", e->info.name);
    }
    CbwPool_OnStatus_(pool, now);
    run_phase(pool, now);
}

void
CbwPool_TickHealth_(cbw_pool_t *pool, cbw_time_t now)
{
    for (int i = 0; i < Cbw_POOL_ENDPOINTS_MAX; i++) {
        if (!pool->endpoints[i].used) {
            continue;
        }
        if (is_status_due(pool, now, i)) {
            CbwPool_AskStatus_(pool, now, i);
        }
        tell_step_down(pool, now, i);
    }
    CbwPool_TickConfirmation_(pool, now);
    run_phase(pool, now);
}
