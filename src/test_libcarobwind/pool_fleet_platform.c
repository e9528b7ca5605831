/* The platform's side of a fleet: the store, the endpoints and the promotion
 * service. */

#include "pool_fleet_world.h"

/* Store. */

static void
deliver_store_answer(fleet_t *fleet, event_t *event)
{
    bool kept;

    if (!PoolFleet_IsDeliverable(fleet, event, &kept)) {
        return;
    }
    if (event->flag) {
        CbwPool_OnSwap(&fleet->hosts[event->host].pool, fleet->now,
                       event->status, event->version);
    }
    else {
        CbwPool_OnRecord(&fleet->hosts[event->host].pool, fleet->now,
                         event->status, event->version, &event->record);
    }
}

static bool
reaches_store(const fleet_t *fleet, int host)
{
    return !fleet->store_down && !fleet->store_cut[host];
}

/* Executes the call at the store. A call that cannot be answered ends as lost
 * at its timeout. */
static void
run_store_call(fleet_t *fleet, event_t *event)
{
    event_t *answer = g_new(event_t, 1);

    *answer = *event;
    answer->run = deliver_store_answer;
    if (event->flag) {
        answer->status = event->version == fleet->version ? CBW_STORE_OK
                                                          : CBW_STORE_CONFLICT;
        if (answer->status == CBW_STORE_OK) {
            fleet->version += 1 + CbwRandom_Below(&fleet->random, 3);
            fleet->record = event->record;
            PoolFleet_Trace(
                fleet,
                "store: version %" G_GUINT64_FORMAT
                " holder %s promoting %d primary %s epoch %" G_GUINT64_FORMAT
                " previous %d",
                fleet->version, fleet->record.holder.host,
                fleet->record.promoting, fleet->record.primary,
                fleet->record.epoch, fleet->record.previous_holder_count);
        }
        answer->version = fleet->version;
    }
    else {
        answer->status =
            fleet->version == 0 ? CBW_STORE_MISSING : CBW_STORE_OK;
        answer->version = fleet->version;
        answer->record = fleet->record;
    }
    if (event->peer != 0) { /* the answer is lost */
        g_free(answer);
        return;
    }
    PoolFleet_Schedule(fleet, PoolFleet_NetworkDelay(fleet), answer);
}

static void
call_store(host_t *host, bool swap, uint64_t version,
           const cbw_tenure_record_t *record)
{
    fleet_t *fleet = host->fleet;
    event_t *call =
        PoolFleet_NewEvent(run_store_call, host->index, host->generation);
    event_t *lost;
    bool answer_lost = fleet->disruptions->lost_swaps &&
                       fleet->now < fleet->disruptions_end &&
                       PoolFleet_Chance(fleet, 6);
    cbw_time_t delay = PoolFleet_NetworkDelay(fleet) + 2 * Cbw_MSEC;

    call->flag = swap;
    call->version = version;
    if (record != NULL) {
        call->record = *record;
    }
    if (!reaches_store(fleet, host->index) || answer_lost) {
        lost = PoolFleet_NewEvent(deliver_store_answer, host->index,
                                  host->generation);
        lost->flag = swap;
        lost->status = CBW_STORE_LOST;
        PoolFleet_Schedule(fleet, STORE_CALL_TIMEOUT, lost);
        if (!answer_lost) {
            g_free(call);
            return;
        }
        call->peer = 1;
        if (PoolFleet_Chance(fleet, 50)) {
            delay = PoolFleet_Between(fleet, 0, 4 * Cbw_SEC);
        }
    }
    PoolFleet_Schedule(fleet, delay, call);
}

void
PoolFleet_OpReadRecord(void *context)
{
    call_store(context, false, 0, NULL);
}

void
PoolFleet_OpSwapRecord(void *context, uint64_t version,
                       const cbw_tenure_record_t *record)
{
    call_store(context, true, version, record);
}

/* Endpoints. */

static void
deliver_reply(fleet_t *fleet, event_t *event)
{
    bool kept;

    if (fleet->endpoint_cut[event->host][event->endpoint] ||
        !PoolFleet_IsDeliverable(fleet, event, &kept)) {
        return;
    }
    event->reply.result = "r";
    event->reply.result_size = 1;
    CbwPool_OnReply(&fleet->hosts[event->host].pool, fleet->now, event->id,
                    &event->reply);
}

static run_t *
find_run(fleet_t *fleet, uint64_t generation, uint64_t call)
{
    gint64 key = (gint64)(generation << 32 | call);

    return g_hash_table_lookup(fleet->runs, &key);
}

run_t *
PoolFleet_NewRun(fleet_t *fleet, uint64_t generation, uint64_t call)
{
    gint64 *key = g_new(gint64, 1);
    run_t *run = g_new0(run_t, 1);

    *key = (gint64)(generation << 32 | call);
    run->endpoint = -1;
    g_hash_table_insert(fleet->runs, key, run);
    return run;
}

static void
fill_state(const endpoint_t *e, cbw_reply_t *reply)
{
    reply->state.term = e->term;
    reply->state.primary = e->primary;
    reply->state.last_term = e->last_term;
    reply->state.position = e->index;
}

static void
run_statement(fleet_t *fleet, event_t *event, cbw_reply_t *reply)
{
    endpoint_t *e = &fleet->endpoints[event->endpoint];
    run_t *run = find_run(fleet, event->generation, event->id);
    bool commits =
        event->verb == CBW_CALL_COMMIT ||
        (event->verb == CBW_CALL_RUN && event->writes && event->term == 0);

    if ((event->writes || event->verb == CBW_CALL_COMMIT ||
         event->fence != 0) &&
        !e->primary) {
        reply->status = CBW_REPLY_NOT_PRIMARY;
        return;
    }
    if (CbwPosition_Compare((cbw_position_t){e->last_term, e->index},
                            event->needed) < 0) {
        reply->status = CBW_REPLY_BEHIND;
        return;
    }
    if (commits) {
        e->index++;
        e->last_term = e->term;
    }
    if (run != NULL) {
        *run = (run_t){
            event->endpoint, e->term, fleet->now, {e->last_term, e->index}};
    }
}

/* With synchronous commits: has one replica receive the leader's log, and
 * others sometimes. Returns whether there is one that follows it. */
static bool
replicate_commit(fleet_t *fleet, int leader)
{
    const endpoint_t *from = &fleet->endpoints[leader];
    int first = (int)CbwRandom_Below(&fleet->random, ENDPOINTS);
    bool received = false;

    for (int i = 0; i < ENDPOINTS && leader == fleet->leader; i++) {
        int index = (first + i) % ENDPOINTS;
        endpoint_t *to = &fleet->endpoints[index];
        if (index == leader || !to->up || to->primary ||
            fleet->group_cut[index][leader] ||
            (received && PoolFleet_Chance(fleet, 30))) {
            continue;
        }
        to->term = from->term;
        to->last_term = from->last_term;
        to->index = from->index;
        received = true;
    }
    return received;
}

static void
run_call(fleet_t *fleet, event_t *event)
{
    endpoint_t *e = &fleet->endpoints[event->endpoint];
    uint64_t index_before = e->index;
    event_t *answer;

    if (!e->up || fleet->endpoint_cut[event->host][event->endpoint]) {
        return;
    }
    answer = g_new(event_t, 1);
    *answer = *event;
    answer->run = deliver_reply;
    answer->reply.status = CBW_REPLY_OK;
    if (event->verb == CBW_CALL_STEP_DOWN) {
        if (e->primary && e->term < event->term) {
            PoolFleet_Trace(fleet, "e%d steps down", event->endpoint);
            e->primary = false;
            e->term = event->term;
        }
    }
    else if (event->verb != CBW_CALL_STATE) {
        run_statement(fleet, event, &answer->reply);
    }
    if (fleet->disruptions->synchronous && e->index > index_before &&
        !replicate_commit(fleet, event->endpoint)) {
        g_free(answer); /* the commit is not acknowledged */
        return;
    }
    fill_state(e, &answer->reply);
    PoolFleet_Schedule(fleet, PoolFleet_NetworkDelay(fleet), answer);
}

int
PoolFleet_EndpointOf(const host_t *host, int slot)
{
    return host->pool.endpoints[slot].info.name[1] - '0';
}

bool
PoolFleet_OpCall(void *context, int slot, const cbw_call_t *call)
{
    host_t *host = context;
    fleet_t *fleet = host->fleet;
    event_t *event =
        PoolFleet_NewEvent(run_call, host->index, host->generation);
    const endpoint_t *e = &fleet->endpoints[PoolFleet_EndpointOf(host, slot)];
    cbw_time_t service = PoolFleet_Between(fleet, 3 * Cbw_MSEC, 9 * Cbw_MSEC) +
                         e->service_time * Cbw_MSEC;

    event->endpoint = PoolFleet_EndpointOf(host, slot);
    event->id = call->id;
    event->verb = call->verb;
    event->writes = call->writes;
    event->term =
        call->verb == CBW_CALL_STEP_DOWN ? call->term : call->transaction;
    event->needed = (cbw_position_t){call->min_term, call->min_position};
    event->fence = call->begins && !call->reads_only;
    if (call->verb == CBW_CALL_ROLLBACK) {
        event->verb = CBW_CALL_STATE;
    }
    PoolFleet_Schedule(fleet, PoolFleet_NetworkDelay(fleet) + service, event);
    return true;
}

bool
PoolFleet_OpAbort(void *context, int slot, uint64_t id)
{
    (void)context;
    (void)slot;
    (void)id;
    return true;
}

void
PoolFleet_OpEndTransaction(void *context, int slot, uint64_t transaction,
                           bool clean)
{
    (void)context;
    (void)slot;
    (void)transaction;
    (void)clean;
}

void
PoolFleet_OpAttach(void *context, int slot, const cbw_endpoint_t *info)
{
    (void)context;
    (void)slot;
    (void)info;
}

void
PoolFleet_OpDetach(void *context, int slot)
{
    (void)context;
    (void)slot;
}

/* Promotions. */

static void
take_effect(fleet_t *fleet, event_t *event)
{
    endpoint_t *e = &fleet->endpoints[event->endpoint];

    if (!e->up || fleet->leader == event->endpoint) {
        return;
    }
    PoolFleet_CheckRestored(fleet, event);
    if (fleet->disruptions->synchronous &&
        CbwPosition_Compare(fleet->acknowledged,
                            (cbw_position_t){e->last_term, e->index}) > 0) {
        PoolFleet_ReportFault(
            fleet, &fleet->result->lost_commits,
            "the promotion of e%d at %" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT
            " loses commits up to %" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT,
            event->endpoint, e->last_term, e->index, fleet->acknowledged.term,
            fleet->acknowledged.index);
    }
    e->term = ++fleet->highest_term;
    e->primary = true;
    fleet->bases[e->term % TERMS_MAX] =
        (cbw_position_t){e->last_term, e->index};
    fleet->leader = event->endpoint;
    fleet->led_since = fleet->now;
    fleet->result->promotions++;
    for (int i = 0; i < ENDPOINTS; i++) {
        fleet->endpoints[i].reaches_leader_since = fleet->now;
    }
    if (CbwPosition_Compare(fleet->acknowledged,
                            (cbw_position_t){e->last_term, e->index}) > 0) {
        /* The promotion discards entries that the new primary lacks. */
        fleet->acknowledged = (cbw_position_t){e->last_term, e->index};
    }
    PoolFleet_Trace(
        fleet, "PROMOTED e%d leads term %" G_GUINT64_FORMAT ", ordered by h%d",
        event->endpoint, e->term, event->host);
}

static void
deliver_promote_reply(fleet_t *fleet, event_t *event)
{
    bool kept;

    if (PoolFleet_IsDeliverable(fleet, event, &kept) &&
        fleet->hosts[event->host].order == event->id) {
        CbwPool_OnPromoteReply(&fleet->hosts[event->host].pool, fleet->now,
                               event->promote_status);
    }
}

static void
receive_order(fleet_t *fleet, event_t *event)
{
    endpoint_t *e = &fleet->endpoints[event->endpoint];
    event_t *answer = g_new(event_t, 1);
    event_t *effect;

    PoolFleet_Trace(fleet,
                    "order of h%d for e%d arrives, fence %" G_GUINT64_FORMAT,
                    event->host, event->endpoint, event->fence);
    if (event->fence < fleet->highest_fence) {
        PoolFleet_ReportFault(fleet, &fleet->result->lower_fences,
                              "order of h%d has a lower fence", event->host);
    }
    if (fleet->last_order_by >= 0 && fleet->last_order_by != event->host &&
        fleet->now - fleet->last_order_at < ORDER_LEASE) {
        PoolFleet_ReportFault(fleet, &fleet->result->orders_in_turn,
                              "orders of h%d and h%d within %.3f s",
                              fleet->last_order_by, event->host,
                              (double)(fleet->now - fleet->last_order_at) /
                                  Cbw_SEC);
    }
    fleet->last_order_by = event->host;
    fleet->last_order_at = fleet->now;
    fleet->highest_fence = MAX(fleet->highest_fence, event->fence);
    *answer = *event;
    answer->run = deliver_promote_reply;
    answer->promote_status = e->up && e->incarnation == (int)event->version
                                 ? CBW_PROMOTE_ACCEPTED
                                 : CBW_PROMOTE_REFUSED;
    if (answer->promote_status == CBW_PROMOTE_ACCEPTED &&
        fleet->leader != event->endpoint) {
        effect = g_new(event_t, 1);
        *effect = *event;
        effect->run = take_effect;
        PoolFleet_Schedule(
            fleet,
            fleet->orders_slow && fleet->now < fleet->disruptions_end
                ? PoolFleet_Between(fleet, PROMOTE_TIME / 2, PROMOTE_TIME_MAX)
                : PROMOTE_TIME,
            effect);
    }
    if (event->flag) {
        g_free(answer);
        return;
    }
    PoolFleet_Schedule(fleet, PoolFleet_NetworkDelay(fleet), answer);
}

void
PoolFleet_OpRequestPromotion(void *context, const char *endpoint,
                             uint64_t fence)
{
    host_t *host = context;
    fleet_t *fleet = host->fleet;
    event_t *event =
        PoolFleet_NewEvent(receive_order, host->index, host->generation);
    bool disrupted = fleet->now < fleet->disruptions_end;
    cbw_time_t delay = PoolFleet_NetworkDelay(fleet);

    if (disrupted && fleet->disruptions->late_orders && fleet->orders_slow) {
        delay = PoolFleet_Between(fleet, 0, 6 * Cbw_SEC);
    }
    event->flag = disrupted && fleet->disruptions->lost_orders &&
                  PoolFleet_Chance(fleet, 30);
    event->endpoint = endpoint[1] - '0';
    event->version = (uint64_t)fleet->endpoints[event->endpoint].incarnation;
    event->fence = fence;
    event->id = ++host->order;
    fleet->result->orders++;
    if (delay > UNACKNOWLEDGED_MAX) {
        g_free(event);
        return;
    }
    PoolFleet_Schedule(fleet, delay, event);
}

/* Delayed orders are lost when their sender cancels the call or terminates. */
void
PoolFleet_DropDelayedOrders(fleet_t *fleet, const host_t *host)
{
    GList *link = fleet->events.head;

    while (link != NULL) {
        GList *next = link->next;
        event_t *event = link->data;
        if (event->run == receive_order && event->host == host->index) {
            g_queue_delete_link(&fleet->events, link);
            g_free(event);
        }
        link = next;
    }
}

void
PoolFleet_OpCancelPromotion(void *context)
{
    host_t *host = context;

    PoolFleet_Trace(host->fleet, "h%d cancels its order", host->index);
    PoolFleet_DropDelayedOrders(host->fleet, host);
    host->order++;
}

/* Endpoints that reach the leader follow it. */
void
PoolFleet_TickEndpoints(fleet_t *fleet)
{
    endpoint_t *leader = &fleet->endpoints[fleet->leader];

    for (int i = 0; i < ENDPOINTS; i++) {
        endpoint_t *e = &fleet->endpoints[i];
        bool reaches = e->up && leader->up && leader->primary &&
                       !fleet->group_cut[i][fleet->leader];
        if (i == fleet->leader) {
            continue;
        }
        if (!reaches) {
            e->reaches_leader_since = 0;
            continue;
        }
        if (e->reaches_leader_since == 0) {
            e->reaches_leader_since = fleet->now;
        }
        if (e->primary &&
            fleet->now - e->reaches_leader_since < STEP_DOWN_AFTER) {
            continue;
        }
        e->primary = false;
        if (PoolFleet_Chance(fleet, 30)) {
            e->term = leader->term;
            e->last_term = leader->last_term;
            e->index = leader->index;
        }
    }
}

void
PoolFleet_UpdateListing(fleet_t *fleet)
{
    bool changed = false;

    for (int i = 0; i < ENDPOINTS; i++) {
        endpoint_t *e = &fleet->endpoints[i];
        bool registers = e->up && e->unregistered_at == 0;
        bool listed =
            registers || (e->unregistered_at != 0 &&
                          fleet->now - e->unregistered_at < UNLISTED_AFTER);
        if (e->listed != listed) {
            e->listed = listed;
            changed = true;
            PoolFleet_Trace(fleet, "e%d %s", i,
                            listed ? "listed" : "unlisted");
        }
    }
    for (int i = 0; i < HOSTS; i++) {
        host_t *host = &fleet->hosts[i];
        host->endpoints_changed |= changed;
        if (host->running && !host->paused && !fleet->store_down &&
            (host->endpoints_changed || PoolFleet_Chance(fleet, 5))) {
            host->endpoints_changed = false;
            PoolFleet_SetEndpoints(fleet, host);
        }
    }
}
