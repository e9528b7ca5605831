#include "pool_fleet_world.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

void
PoolFleet_Trace(const fleet_t *fleet, const char *format, ...)
{
    va_list arguments;

    if (!fleet->verbose) {
        return;
    }
    printf("%10.3f ", (double)fleet->now / Cbw_SEC);
    va_start(arguments, format);
    vprintf(format, arguments);
    va_end(arguments);
    printf("\n");
}

void
PoolFleet_ReportFault(fleet_t *fleet, int *count, const char *format, ...)
{
    char text[256];
    va_list arguments;

    va_start(arguments, format);
    vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    if ((*count)++ == 0 && fleet->result->first_fault[0] == '\0') {
        snprintf(fleet->result->first_fault,
                 sizeof(fleet->result->first_fault), "%.3f %.200s",
                 (double)fleet->now / Cbw_SEC, text);
    }
    PoolFleet_Trace(fleet, "FAULT %s", text);
}

bool
PoolFleet_Chance(fleet_t *fleet, int percent)
{
    return CbwRandom_Below(&fleet->random, 100) < (uint64_t)percent;
}

cbw_time_t
PoolFleet_Between(fleet_t *fleet, cbw_time_t from, cbw_time_t to)
{
    return from +
           (cbw_time_t)CbwRandom_Below(&fleet->random, (uint64_t)(to - from));
}

/* Events. */

static gint
compare_events(gconstpointer a, gconstpointer b, gpointer data)
{
    const event_t *x = a;
    const event_t *y = b;

    (void)data;
    if (x->at != y->at) {
        return x->at < y->at ? -1 : 1;
    }
    return x->sequence < y->sequence ? -1 : 1;
}

event_t *
PoolFleet_NewEvent(void (*run)(fleet_t *, event_t *), int host,
                   uint64_t generation)
{
    event_t *event = g_new0(event_t, 1);

    event->run = run;
    event->host = host;
    event->generation = generation;
    return event;
}

void
PoolFleet_Schedule(fleet_t *fleet, cbw_time_t delay, event_t *event)
{
    event->at = fleet->now + delay;
    event->sequence = ++fleet->sequence;
    g_queue_insert_sorted(&fleet->events, event, compare_events, NULL);
}

cbw_time_t
PoolFleet_NetworkDelay(fleet_t *fleet)
{
    return PoolFleet_Between(fleet, Cbw_MSEC / 2, 2 * Cbw_MSEC);
}

/* Returns whether the process that the event is for can handle it now. A
 * paused process handles it later; `*kept` is set then. */
bool
PoolFleet_IsDeliverable(fleet_t *fleet, event_t *event, bool *kept)
{
    host_t *host = &fleet->hosts[event->host];
    event_t *copy;

    *kept = false;
    if (!host->running || host->generation != event->generation) {
        return false;
    }
    if (!host->paused) {
        return true;
    }
    copy = g_new(event_t, 1);
    *copy = *event;
    g_queue_push_tail(&host->waiting, copy);
    *kept = true;
    return false;
}

static void
tick(fleet_t *fleet, event_t *event)
{
    (void)event;
    PoolFleet_TickEndpoints(fleet);
    PoolFleet_UpdateListing(fleet);
    for (int i = 0; i < HOSTS; i++) {
        if (fleet->hosts[i].running && !fleet->hosts[i].paused) {
            PoolFleet_TickHost(fleet, &fleet->hosts[i]);
        }
    }
    if (fleet->now < fleet->end) {
        PoolFleet_Schedule(fleet, TICK, PoolFleet_NewEvent(tick, 0, 0));
    }
}

static void
set_up(fleet_t *fleet)
{
    g_queue_init(&fleet->events);
    fleet->last_order_by = -1;
    fleet->runs =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    fleet->highest_term = FIRST_TERM;
    for (int i = 0; i < ENDPOINTS; i++) {
        fleet->endpoints[i].up = true;
        fleet->endpoints[i].listed = true;
        fleet->endpoints[i].term = FIRST_TERM;
        fleet->endpoints[i].last_term = FIRST_TERM;
        fleet->endpoints[i].index = 9;
    }
    fleet->endpoints[0].primary = true;
    for (int i = 0; i < HOSTS; i++) {
        host_t *host = &fleet->hosts[i];
        host->fleet = fleet;
        host->index = i;
        snprintf(host->name, sizeof(host->name), "h%d", i);
        g_queue_init(&host->waiting);
        PoolFleet_StartHost(fleet, host);
    }
    PoolFleet_Assign(fleet, 0);
}

static void
free_event(gpointer event)
{
    g_free(event);
}

static void
tear_down(fleet_t *fleet)
{
    for (int i = 0; i < HOSTS; i++) {
        if (fleet->hosts[i].running) {
            PoolFleet_EndHost(fleet, &fleet->hosts[i]);
        }
    }
    g_queue_clear_full(&fleet->events, free_event);
    g_hash_table_destroy(fleet->runs);
}

void
PoolFleet_Run(uint64_t seed, const fleet_disruptions_t *disruptions,
              cbw_time_t duration, bool verbose, fleet_result_t *result)
{
    fleet_t *fleet = g_new0(fleet_t, 1);
    event_t *event;

    memset(result, 0, sizeof(*result));
    CbwRandom_Init(&fleet->random, seed);
    fleet->disruptions = disruptions;
    fleet->result = result;
    fleet->verbose = verbose;
    fleet->now = 1000 * Cbw_SEC;
    fleet->disruptions_end = fleet->now + duration;
    fleet->end = fleet->disruptions_end + QUIET_TIME;
    set_up(fleet);
    PoolFleet_Schedule(fleet, 0, PoolFleet_NewEvent(tick, 0, 0));
    PoolFleet_Schedule(fleet, Cbw_SEC,
                       PoolFleet_NewEvent(PoolFleet_NewOperation, 0, 0));
    PoolFleet_Schedule(fleet, 2 * Cbw_SEC,
                       PoolFleet_NewEvent(PoolFleet_Disrupt, 0, 0));
    while ((event = g_queue_pop_head(&fleet->events)) != NULL &&
           event->at <= fleet->end) {
        fleet->now = event->at;
        event->run(fleet, event);
        for (int i = 0; i < HOSTS; i++) {
            if (fleet->hosts[i].running) {
                PoolFleet_RecordRunningCalls(fleet, &fleet->hosts[i]);
            }
        }
        g_free(event);
    }
    g_free(event);
    tear_down(fleet);
    g_free(fleet);
}
