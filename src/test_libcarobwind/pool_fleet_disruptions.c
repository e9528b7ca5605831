/* The disruptions of a fleet, drawn at random. */

#include "pool_fleet_world.h"

#include <stdarg.h>
#include <stdio.h>

/* Disruptions. */

typedef void (*undo_t)(fleet_t *, event_t *);

static void
undo_bool(fleet_t *fleet, event_t *event)
{
    bool *flag = event->object;

    PoolFleet_Trace(fleet, "ends: %s", event->name);
    *flag = false;
}

static void
set_for(fleet_t *fleet, bool *flag, cbw_time_t length, const char *format, ...)
{
    event_t *event = PoolFleet_NewEvent(undo_bool, 0, 0);
    va_list arguments;

    va_start(arguments, format);
    vsnprintf(event->name, sizeof(event->name), format, arguments);
    va_end(arguments);
    PoolFleet_Trace(fleet, "begins: %s", event->name);
    *flag = true;
    event->object = flag;
    PoolFleet_Schedule(fleet, length, event);
}

static void
return_endpoint(fleet_t *fleet, event_t *event)
{
    endpoint_t *e = &fleet->endpoints[event->endpoint];

    if (e->up) {
        return;
    }
    e->up = true;
    e->unregistered_at = 0;
    e->primary = fleet->leader == event->endpoint;
    PoolFleet_Trace(fleet, "e%d returns", event->endpoint);
}

static void
crash_endpoint(fleet_t *fleet, int index)
{
    event_t *event = PoolFleet_NewEvent(return_endpoint, 0, 0);
    cbw_time_t longest =
        fleet->disruptions->long_crashes && PoolFleet_Chance(fleet, 30)
            ? 40 * Cbw_SEC
            : 9 * Cbw_SEC;

    if (fleet->now + longest > fleet->disruptions_end + 9 * Cbw_SEC) {
        longest = 9 * Cbw_SEC;
    }
    if (!fleet->endpoints[index].up) {
        g_free(event);
        return;
    }
    PoolFleet_Trace(fleet, "e%d crashes", index);
    fleet->endpoints[index].up = false;
    fleet->endpoints[index].unregistered_at = fleet->now;
    event->endpoint = index;
    PoolFleet_Schedule(
        fleet, PoolFleet_Between(fleet, 500 * Cbw_MSEC, longest), event);
}

/* An endpoint receives nothing from the others for `length`. */
static void
cut_off_endpoint(fleet_t *fleet, int index, cbw_time_t length)
{
    for (int i = 0; i < ENDPOINTS; i++) {
        if (i != index) {
            set_for(fleet, &fleet->group_cut[index][i], length, "cut e%d-e%d",
                    index, i);
            set_for(fleet, &fleet->group_cut[i][index], length, "cut e%d-e%d",
                    i, index);
        }
    }
}

static void
crash_later(fleet_t *fleet, event_t *event)
{
    crash_endpoint(fleet, event->endpoint);
}

/* An endpoint misses what the leader writes, and the leader crashes. */
static void
crash_before_deaf_endpoint(fleet_t *fleet, int deaf, cbw_time_t length)
{
    event_t *event = PoolFleet_NewEvent(crash_later, 0, 0);

    cut_off_endpoint(fleet, deaf, length);
    event->endpoint = fleet->leader;
    PoolFleet_Schedule(
        fleet, PoolFleet_Between(fleet, 100 * Cbw_MSEC, 2 * Cbw_SEC), event);
}

static void
end_unregistered(fleet_t *fleet, event_t *event)
{
    if (fleet->endpoints[event->endpoint].up) {
        fleet->endpoints[event->endpoint].unregistered_at = 0;
    }
}

static void
end_leaving(fleet_t *fleet, event_t *event)
{
    endpoint_t *e = &fleet->endpoints[event->endpoint];

    /* Its log moves to a new endpoint at another address. */
    if (e->up && e->leaving && fleet->leader != event->endpoint) {
        e->incarnation++;
        e->primary = false;
    }
    e->leaving = false;
    for (int i = 0; i < HOSTS; i++) {
        fleet->hosts[i].endpoints_changed = true;
    }
}

static void
leave_endpoint(fleet_t *fleet, int index)
{
    event_t *event = PoolFleet_NewEvent(end_leaving, 0, 0);

    PoolFleet_Trace(fleet, "e%d leaves", index);
    fleet->endpoints[index].leaving = true;
    for (int i = 0; i < HOSTS; i++) {
        fleet->hosts[i].endpoints_changed = true;
    }
    event->endpoint = index;
    PoolFleet_Schedule(fleet, 7 * Cbw_SEC, event);
}

/* Another host is assigned the database. */
static void
reassign(fleet_t *fleet, int from)
{
    for (int i = 1; i < HOSTS; i++) {
        const host_t *next = &fleet->hosts[(from + i) % HOSTS];
        if (next->running && !next->stopping) {
            PoolFleet_Assign(fleet, next->index);
            return;
        }
    }
}

static void
stop_host(fleet_t *fleet, host_t *host)
{
    event_t *event;

    if (!host->running || host->stopping) {
        return;
    }
    if (PoolFleet_Chance(fleet, 50)) {
        PoolFleet_EndHost(fleet, host);
        event = PoolFleet_NewEvent(PoolFleet_RestartHost, host->index, 0);
        PoolFleet_Schedule(
            fleet, PoolFleet_Between(fleet, 50 * Cbw_MSEC, 3 * Cbw_SEC),
            event);
        if (fleet->owner == host->index) {
            reassign(fleet, host->index);
        }
        return;
    }
    PoolFleet_Trace(fleet, "h%d is told to stop", host->index);
    host->stopping = true;
    host->assigned = false;
    host->stopping_since = fleet->now;
    if (fleet->owner == host->index) {
        reassign(fleet, host->index);
    }
}

static void
pause_host(fleet_t *fleet, host_t *host)
{
    event_t *event;

    if (!host->running || host->paused) {
        return;
    }
    PoolFleet_Trace(fleet, "h%d pauses", host->index);
    host->paused = true;
    event = PoolFleet_NewEvent(PoolFleet_ResumeHost, host->index,
                               host->generation);
    PoolFleet_Schedule(
        fleet, PoolFleet_Between(fleet, 100 * Cbw_MSEC, 9 * Cbw_SEC), event);
}

/* Disruptions that concern the hosts. */
static void
disrupt_hosts(fleet_t *fleet, int which, int host, cbw_time_t length)
{
    const fleet_disruptions_t *disruptions = fleet->disruptions;
    int other =
        (host + 1 + (int)CbwRandom_Below(&fleet->random, HOSTS - 1)) % HOSTS;

    switch (which) {
    case 0:
        if (disruptions->store_cuts) {
            set_for(fleet, &fleet->store_cut[host], length, "store cut h%d",
                    host);
        }
        break;
    case 1:
        if (disruptions->store_cuts && PoolFleet_Chance(fleet, 30)) {
            set_for(fleet, &fleet->store_down, length, "store down");
        }
        break;
    case 2:
        if (disruptions->host_cuts) {
            set_for(fleet, &fleet->host_cut[host][other], length,
                    "cut h%d-h%d", host, other);
            set_for(fleet, &fleet->host_cut[other][host], length,
                    "cut h%d-h%d", other, host);
        }
        break;
    case 3:
        if (disruptions->restarts) {
            stop_host(fleet, &fleet->hosts[host]);
        }
        break;
    case 4:
        if (disruptions->pauses) {
            pause_host(fleet, &fleet->hosts[host]);
        }
        break;
    default:
        if (fleet->hosts[host].running && !fleet->hosts[host].stopping) {
            PoolFleet_Assign(fleet, host);
        }
        break;
    }
}

/* Disruptions that concern the endpoints. */
static void
disrupt_endpoints(fleet_t *fleet, int which, int host, cbw_time_t length)
{
    const fleet_disruptions_t *disruptions = fleet->disruptions;
    int e = PoolFleet_Chance(fleet, 60)
                ? fleet->leader
                : (int)CbwRandom_Below(&fleet->random, ENDPOINTS);
    int other = (e + 1 + (int)CbwRandom_Below(&fleet->random, ENDPOINTS - 1)) %
                ENDPOINTS;

    switch (which) {
    case 0:
        if (disruptions->endpoint_crashes) {
            crash_endpoint(fleet, e);
        }
        break;
    case 1:
        if (disruptions->endpoint_cuts) {
            set_for(fleet, &fleet->endpoint_cut[host][e], length,
                    "cut h%d-e%d", host, e);
        }
        break;
    case 2:
        if (disruptions->deaf_crashes) {
            crash_before_deaf_endpoint(fleet, other, length);
        }
        else if (disruptions->group_cuts) {
            set_for(fleet, &fleet->group_cut[e][other], length, "cut e%d-e%d",
                    e, other);
            set_for(fleet, &fleet->group_cut[other][e], length, "cut e%d-e%d",
                    other, e);
        }
        break;
    case 3:
        if (disruptions->releases) {
            leave_endpoint(fleet, e);
        }
        break;
    case 4:
        if ((disruptions->endpoint_cuts || disruptions->store_losses) &&
            fleet->endpoints[e].up &&
            fleet->endpoints[e].unregistered_at == 0) {
            event_t *event = PoolFleet_NewEvent(end_unregistered, 0, 0);
            PoolFleet_Trace(fleet, "e%d loses the store", e);
            fleet->endpoints[e].unregistered_at = fleet->now;
            event->endpoint = e;
            PoolFleet_Schedule(fleet, length, event);
        }
        break;
    default:
        if (disruptions->late_orders) {
            set_for(fleet, &fleet->orders_slow, length, "orders slow");
        }
        break;
    }
}

void
PoolFleet_Disrupt(fleet_t *fleet, event_t *event)
{
    int host = PoolFleet_Chance(fleet, 60)
                   ? fleet->owner
                   : (int)CbwRandom_Below(&fleet->random, HOSTS);
    int which = (int)CbwRandom_Below(&fleet->random, 12);
    cbw_time_t length = PoolFleet_Between(fleet, 200 * Cbw_MSEC, 9 * Cbw_SEC);

    (void)event;
    if (fleet->now >= fleet->disruptions_end) {
        return;
    }
    if (which < 6) {
        disrupt_hosts(fleet, which, host, length);
    }
    else {
        disrupt_endpoints(fleet, which - 6, host, length);
    }
    PoolFleet_Schedule(
        fleet, PoolFleet_Between(fleet, 20 * Cbw_MSEC, 2500 * Cbw_MSEC),
        PoolFleet_NewEvent(PoolFleet_Disrupt, 0, 0));
}
