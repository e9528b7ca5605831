/* The hosts of a fleet: their processes, and their calls to each other. */

#include "pool_fleet_world.h"

#include <stdio.h>
#include <string.h>

/* Calls between hosts. */

static bool
counts_as_dead(const fleet_t *fleet, int from, int to)
{
    return fleet->host_cut[from][to] ||
           (fleet->host_lost_at[to] != 0 &&
            fleet->now - fleet->host_lost_at[to] > DEAD_AFTER);
}

static void
deliver_relinquished(fleet_t *fleet, event_t *event)
{
    bool kept;

    if (!PoolFleet_IsDeliverable(fleet, event, &kept)) {
        return;
    }
    if (event->flag) {
        CbwPool_OnRelinquished(&fleet->hosts[event->host].pool, fleet->now,
                               event->nonce);
    }
    else if (event->verb == 1 &&
             counts_as_dead(fleet, event->host, event->peer)) {
        CbwPool_OnHolderUnreachable(&fleet->hosts[event->host].pool,
                                    fleet->now, event->nonce);
    }
}

static void
receive_relinquish(fleet_t *fleet, event_t *event)
{
    host_t *peer = &fleet->hosts[event->peer];
    event_t *answer;

    if (!peer->running || peer->paused ||
        fleet->host_cut[event->host][event->peer]) {
        return;
    }
    answer = g_new(event_t, 1);
    *answer = *event;
    answer->run = deliver_relinquished;
    answer->flag = peer->pool.tenure.self.nonce == event->nonce
                       ? CbwPool_Relinquish(&peer->pool, fleet->now)
                       : fleet->now - peer->started_at >= ORDER_LEASE;
    PoolFleet_Schedule(fleet, PoolFleet_NetworkDelay(fleet), answer);
}

static void
op_ask_to_relinquish(void *context, const cbw_tenure_holder_t *holder)
{
    host_t *host = context;
    fleet_t *fleet = host->fleet;
    event_t *event =
        PoolFleet_NewEvent(receive_relinquish, host->index, host->generation);
    event_t *timeout = PoolFleet_NewEvent(deliver_relinquished, host->index,
                                          host->generation);

    event->peer = timeout->peer = holder->host[1] - '0';
    event->nonce = timeout->nonce = holder->nonce;
    timeout->verb = 1;
    PoolFleet_Schedule(fleet, PoolFleet_NetworkDelay(fleet), event);
    PoolFleet_Schedule(fleet, PEER_CALL_TIMEOUT, timeout);
}

static void
deliver_reach(fleet_t *fleet, event_t *event)
{
    bool kept;
    const char *reached = NULL;

    if (!PoolFleet_IsDeliverable(fleet, event, &kept)) {
        return;
    }
    for (int i = 0; i < HOSTS && event->endpoint >= 0; i++) {
        if (i != event->host && fleet->hosts[i].running &&
            !fleet->hosts[i].paused && !fleet->host_cut[event->host][i] &&
            !fleet->endpoint_cut[i][event->endpoint] &&
            fleet->endpoints[event->endpoint].up) {
            reached = fleet->hosts[i].name;
        }
    }
    CbwPool_OnReach(&fleet->hosts[event->host].pool, fleet->now, reached);
}

static void
op_ask_reach(void *context, int slot)
{
    host_t *host = context;
    event_t *event =
        PoolFleet_NewEvent(deliver_reach, host->index, host->generation);

    event->endpoint = PoolFleet_EndpointOf(host, slot);
    PoolFleet_Schedule(host->fleet, 10 * Cbw_MSEC, event);
}

static bool
op_redirect(void *context, const char *name, bool must_take_over)
{
    host_t *host = context;
    int to = name[1] - '0';

    if (counts_as_dead(host->fleet, host->index, to)) {
        return false;
    }
    host->moved_to = to;
    host->moved_takes = must_take_over;
    host->moved_at = host->fleet->now;
    return true;
}

static void
op_log_decision(void *context, const char *text)
{
    host_t *host = context;

    PoolFleet_Trace(host->fleet, "h%d: %s", host->index, text);
}

/* Processes. */

static const cbw_pool_ops_t ops = {
    .call = PoolFleet_OpCall,
    .abort = PoolFleet_OpAbort,
    .end_transaction = PoolFleet_OpEndTransaction,
    .answer = PoolFleet_OpAnswer,
    .attach = PoolFleet_OpAttach,
    .detach = PoolFleet_OpDetach,
    .read_record = PoolFleet_OpReadRecord,
    .swap_record = PoolFleet_OpSwapRecord,
    .ask_to_relinquish = op_ask_to_relinquish,
    .request_promotion = PoolFleet_OpRequestPromotion,
    .cancel_promotion = PoolFleet_OpCancelPromotion,
    .ask_reach = op_ask_reach,
    .redirect = op_redirect,
    .log_decision = op_log_decision,
};

static const cbw_rank_t ranks[] = {{.name = "urgent"}, {.name = "other"}};

void
PoolFleet_SetEndpoints(fleet_t *fleet, host_t *host)
{
    cbw_endpoint_t list[ENDPOINTS];
    int count = 0;

    memset(list, 0, sizeof(list));
    for (int i = 0; i < ENDPOINTS; i++) {
        const endpoint_t *e = &fleet->endpoints[i];
        cbw_endpoint_t *info = &list[count];
        if (!e->listed) {
            continue;
        }
        snprintf(info->name, sizeof(info->name), "e%d", i);
        snprintf(info->address, sizeof(info->address), "10.0.0.%d:%d", i + 1,
                 e->incarnation + 1);
        info->slots = 3;
        info->connections = 49;
        info->reports_primary = e->primary;
        info->leaving = e->leaving;
        count++;
    }
    CbwPool_SetEndpoints(&host->pool, fleet->now, list, count);
}

void
PoolFleet_StartHost(fleet_t *fleet, host_t *host)
{
    host->running = true;
    host->stopping = false;
    host->released = false;
    host->paused = false;
    host->moved_to = -1;
    host->started_at = fleet->now;
    host->generation = ++fleet->next_generation;
    fleet->host_lost_at[host->index] = 0;
    CbwPool_Init(
        &host->pool, "db",
        CbwQueue_Policy(fleet->disruptions->workspaces ? "fair" : "ranked"),
        ranks, G_N_ELEMENTS(ranks), &ops, host, ++fleet->next_nonce,
        host->name, "north", NULL);
    CbwPool_SetSynchronous(&host->pool, fleet->disruptions->synchronous);
    PoolFleet_SetEndpoints(fleet, host);
    host->assigned = fleet->owner == host->index;
    PoolFleet_Trace(fleet, "h%d starts", host->index);
}

void
PoolFleet_EndHost(fleet_t *fleet, host_t *host)
{
    event_t *event;

    PoolFleet_Trace(fleet, "h%d ends", host->index);
    PoolFleet_DropDelayedOrders(fleet, host);
    host->paused = false;
    host->running = false;
    host->generation = 0; /* nothing reaches it while it ends */
    fleet->host_lost_at[host->index] = fleet->now;
    CbwPool_Finish(&host->pool, fleet->now);
    while ((event = g_queue_pop_head(&host->waiting)) != NULL) {
        g_free(event);
    }
}

void
PoolFleet_Assign(fleet_t *fleet, int owner)
{
    PoolFleet_Trace(fleet, "h%d is assigned", owner);
    fleet->owner = owner;
    for (int i = 0; i < HOSTS; i++) {
        fleet->hosts[i].assigned =
            i == owner ||
            (fleet->disruptions->differing_views &&
             fleet->now < fleet->disruptions_end && i == (owner + 1) % HOSTS);
    }
}

void
PoolFleet_RestartHost(fleet_t *fleet, event_t *event)
{
    host_t *host = &fleet->hosts[event->host];

    if (host->running) {
        return;
    }
    PoolFleet_StartHost(fleet, host);
    if (!fleet->hosts[fleet->owner].running ||
        fleet->hosts[fleet->owner].stopping) {
        PoolFleet_Assign(fleet, host->index);
    }
}

void
PoolFleet_ResumeHost(fleet_t *fleet, event_t *event)
{
    host_t *host = &fleet->hosts[event->host];
    event_t *waiting;

    if (!host->running || host->generation != event->generation ||
        !host->paused) {
        return;
    }
    PoolFleet_Trace(fleet, "h%d resumes", host->index);
    host->paused = false;
    while (host->running && !host->paused &&
           (waiting = g_queue_pop_head(&host->waiting)) != NULL) {
        waiting->run(fleet, waiting);
        PoolFleet_RecordRunningCalls(fleet, host);
        g_free(waiting);
    }
}

/* As the pool task does, see tick_instance. */
void
PoolFleet_TickHost(fleet_t *fleet, host_t *host)
{
    bool needed =
        host->assigned || fleet->now - host->used_at <= 1500 * Cbw_MSEC;
    event_t *event;

    CbwPool_SetAssigned(&host->pool, host->assigned && !host->stopping);
    CbwPool_SetDraining(&host->pool, host->stopping);
    CbwPool_Tick(&host->pool, fleet->now, needed && !host->stopping);
    if (CbwPool_IsIdle(&host->pool) && !needed && !host->released) {
        host->released = CbwPool_Release(&host->pool, fleet->now);
    }
    else if (needed && host->released) {
        host->released = false;
        host->pool.stopping = false;
    }
    if (host->stopping && ((CbwPool_IsIdle(&host->pool) &&
                            !CbwPool_IsPromoting(&host->pool, fleet->now) &&
                            !host->pool.tenure.call_in_flight &&
                            fleet->now - host->stopping_since > 2 * Cbw_SEC) ||
                           fleet->now - host->stopping_since > STOP_LIMIT)) {
        PoolFleet_EndHost(fleet, host);
        event = PoolFleet_NewEvent(PoolFleet_RestartHost, host->index, 0);
        PoolFleet_Schedule(
            fleet, PoolFleet_Between(fleet, 50 * Cbw_MSEC, 900 * Cbw_MSEC),
            event);
    }
}
