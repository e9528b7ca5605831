#include "carobwind/connection_cache.h"

#include <limits.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

static cbw_link_t *
find_bucket(const cbw_connection_cache_t *cache, const char *workspace)
{
    uint64_t hash = XXH3_64bits(workspace, strlen(workspace));

    return (cbw_link_t *)&cache->buckets[hash % Cbw_CONNECTION_BUCKETS];
}

static cbw_connection_group_t *
find_group(const cbw_connection_cache_t *cache, const char *workspace)
{
    const cbw_link_t *bucket = find_bucket(cache, workspace);

    for (cbw_link_t *link = bucket->next; link != bucket; link = link->next) {
        cbw_connection_group_t *group =
            Cbw_LIST_ITEM(link, cbw_connection_group_t, bucket_link);
        if (strcmp(group->workspace, workspace) == 0) {
            return group;
        }
    }
    return NULL;
}

/* Returns the share that is left of demand counted until `since`. */
static double
decay(cbw_time_t since, cbw_time_t now)
{
    return exp2(-(double)(now - since) /
                (double)Cbw_CONNECTION_DEMAND_HALF_LIFE);
}

/* Returns the demand that arrived while `in_use` or more connections were in
 * use, as of `decayed_at`. */
static double
demand_from(const cbw_connection_group_t *group, int in_use)
{
    double demand = 0;

    if (in_use > Cbw_CONNECTION_LEVELS_MAX - 1) {
        in_use = Cbw_CONNECTION_LEVELS_MAX - 1;
    }
    for (int i = in_use; i < Cbw_CONNECTION_LEVELS_MAX; i++) {
        demand += group->demand[i];
    }
    return demand;
}

static void
drop_group(cbw_connection_cache_t *cache, cbw_connection_group_t *group)
{
    CbwList_Remove(&group->bucket_link);
    cache->group_count--;
    free(group);
}

/* Drops the workspace with the least demand among those without connections.
 */
static void
drop_least_demanded(cbw_connection_cache_t *cache, cbw_time_t now)
{
    cbw_connection_group_t *least = NULL;
    double least_demand = INFINITY;

    for (size_t i = 0; i < Cbw_CONNECTION_BUCKETS; i++) {
        const cbw_link_t *bucket = &cache->buckets[i];
        for (cbw_link_t *link = bucket->next; link != bucket;
             link = link->next) {
            cbw_connection_group_t *group =
                Cbw_LIST_ITEM(link, cbw_connection_group_t, bucket_link);
            double demand =
                demand_from(group, 0) * decay(group->decayed_at, now);
            if (group->count == 0 && demand < least_demand) {
                least = group;
                least_demand = demand;
            }
        }
    }
    if (least != NULL) {
        drop_group(cache, least);
    }
}

static cbw_connection_group_t *
find_or_add_group(cbw_connection_cache_t *cache, const char *workspace)
{
    cbw_connection_group_t *group = find_group(cache, workspace);

    if (group != NULL) {
        return group;
    }
    group = calloc(1, sizeof(*group));
    if (group == NULL) {
        return NULL;
    }
    CbwList_Init(&group->bucket_link);
    CbwList_Init(&group->active_link);
    CbwList_Init(&group->connections);
    snprintf(group->workspace, sizeof(group->workspace), "%s", workspace);
    CbwList_Append(find_bucket(cache, workspace), &group->bucket_link);
    cache->group_count++;
    return group;
}

/* Policies. */

static cbw_cached_connection_t *
last_idle(const cbw_connection_cache_t *cache,
          const cbw_connection_group_t *group)
{
    const cbw_link_t *list = &group->connections;

    for (cbw_link_t *link = list->previous; link != list;
         link = link->previous) {
        cbw_cached_connection_t *connection =
            Cbw_LIST_ITEM(link, cbw_cached_connection_t, link);
        if (cache->is_idle(connection)) {
            return connection;
        }
    }
    return NULL;
}

static cbw_cached_connection_t *
choose_least_recently_used(const cbw_connection_cache_t *cache, cbw_time_t now)
{
    cbw_cached_connection_t *chosen = NULL;

    (void)now;
    for (cbw_link_t *link = cache->active.next; link != &cache->active;
         link = link->next) {
        cbw_cached_connection_t *connection = last_idle(
            cache, Cbw_LIST_ITEM(link, cbw_connection_group_t, active_link));
        if (connection != NULL &&
            (chosen == NULL || connection->used < chosen->used)) {
            chosen = connection;
        }
    }
    return chosen;
}

/* Returns the number of the group's last use. */
static uint64_t
last_use(const cbw_connection_group_t *group)
{
    return Cbw_LIST_ITEM(group->connections.next, cbw_cached_connection_t,
                         link)
        ->used;
}

/* Returns the binary exponent of the demand that the group's last connection
 * serves. */
static int
demand_exponent(const cbw_connection_group_t *group, cbw_time_t now)
{
    double demand =
        demand_from(group, group->count - 1) * decay(group->decayed_at, now);
    int exponent;

    if (demand == 0) {
        return INT_MIN;
    }
    (void)frexp(demand, &exponent);
    return exponent;
}

/* Demands with the same exponent count as equal; of those groups, the one used
 * last is chosen. With the least recently used one, groups of equal demand
 * that take turns would always evict the one that is used next. */
static cbw_cached_connection_t *
choose_least_demanded(const cbw_connection_cache_t *cache, cbw_time_t now)
{
    cbw_cached_connection_t *chosen = NULL;
    int chosen_exponent = 0;

    for (cbw_link_t *link = cache->active.next; link != &cache->active;
         link = link->next) {
        const cbw_connection_group_t *group =
            Cbw_LIST_ITEM(link, cbw_connection_group_t, active_link);
        cbw_cached_connection_t *connection = last_idle(cache, group);
        int exponent;
        if (connection == NULL) {
            continue;
        }
        exponent = demand_exponent(group, now);
        if (chosen == NULL || exponent < chosen_exponent ||
            (exponent == chosen_exponent &&
             last_use(group) > last_use(chosen->group))) {
            chosen = connection;
            chosen_exponent = exponent;
        }
    }
    return chosen;
}

static const cbw_connection_policy_t policies[] = {
    {.name = "demand", .choose = choose_least_demanded},
    {.name = "lru", .choose = choose_least_recently_used},
};

const cbw_connection_policy_t *
CbwConnectionCache_Policy(const char *name)
{
    for (size_t i = 0; i < sizeof(policies) / sizeof(policies[0]); i++) {
        if (strcmp(policies[i].name, name) == 0) {
            return &policies[i];
        }
    }
    return NULL;
}

/* The cache. */

void
CbwConnectionCache_Init(
    cbw_connection_cache_t *cache, const cbw_connection_policy_t *policy,
    bool (*is_idle)(const cbw_cached_connection_t *connection), int limit)
{
    memset(cache, 0, sizeof(*cache));
    cache->policy = policy;
    cache->is_idle = is_idle;
    cache->limit = limit;
    CbwList_Init(&cache->active);
    for (size_t i = 0; i < Cbw_CONNECTION_BUCKETS; i++) {
        CbwList_Init(&cache->buckets[i]);
    }
}

void
CbwConnectionCache_Finish(cbw_connection_cache_t *cache)
{
    for (size_t i = 0; i < Cbw_CONNECTION_BUCKETS; i++) {
        cbw_link_t *link;
        cbw_link_t *safe;
        Cbw_LIST_FOREACH (&cache->buckets[i], link, safe) {
            drop_group(cache, Cbw_LIST_ITEM(link, cbw_connection_group_t,
                                            bucket_link));
        }
    }
}

void
CbwConnectionCache_OnDemand(cbw_connection_cache_t *cache, cbw_time_t now,
                            const char *workspace, int rank)
{
    cbw_connection_group_t *group;
    double left;
    int in_use = 0;

    if (cache->group_count >= Cbw_CONNECTION_WORKSPACES_MAX &&
        find_group(cache, workspace) == NULL) {
        drop_least_demanded(cache, now);
    }
    group = find_or_add_group(cache, workspace);
    if (group == NULL) {
        return; /* out of memory: the demand is not counted */
    }
    left = decay(group->decayed_at, now);
    group->decayed_at = now;
    for (int i = 0; i < Cbw_CONNECTION_LEVELS_MAX; i++) {
        group->demand[i] *= left;
    }
    for (const cbw_link_t *link = group->connections.next;
         link != &group->connections; link = link->next) {
        in_use += !cache->is_idle(
            Cbw_LIST_ITEM(link, cbw_cached_connection_t, link));
    }
    if (in_use > Cbw_CONNECTION_LEVELS_MAX - 1) {
        in_use = Cbw_CONNECTION_LEVELS_MAX - 1;
    }
    group->demand[in_use] += 1.0 / (1 + rank);
}

int
CbwConnectionCache_Add(cbw_connection_cache_t *cache,
                       cbw_cached_connection_t *connection,
                       const char *workspace)
{
    cbw_connection_group_t *group = find_or_add_group(cache, workspace);

    if (group == NULL) {
        return -1;
    }
    CbwList_Init(&connection->link);
    connection->group = group;
    if (group->count++ == 0) {
        CbwList_Append(&cache->active, &group->active_link);
    }
    cache->count++;
    CbwConnectionCache_Use(cache, connection);
    return 0;
}

void
CbwConnectionCache_Use(cbw_connection_cache_t *cache,
                       cbw_cached_connection_t *connection)
{
    connection->used = ++cache->uses;
    CbwList_Remove(&connection->link);
    CbwList_Prepend(&connection->group->connections, &connection->link);
}

void
CbwConnectionCache_Remove(cbw_connection_cache_t *cache,
                          cbw_cached_connection_t *connection)
{
    cbw_connection_group_t *group = connection->group;

    CbwList_Remove(&connection->link);
    connection->group = NULL;
    cache->count--;
    if (--group->count == 0) {
        CbwList_Remove(&group->active_link);
    }
}

cbw_link_t *
CbwConnectionCache_Connections(cbw_connection_cache_t *cache,
                               const char *workspace)
{
    cbw_connection_group_t *group = find_group(cache, workspace);

    return group != NULL ? &group->connections : NULL;
}

bool
CbwConnectionCache_HasIdle(const cbw_connection_cache_t *cache,
                           const char *workspace)
{
    const cbw_connection_group_t *group = find_group(cache, workspace);

    return group != NULL && last_idle(cache, group) != NULL;
}

bool
CbwConnectionCache_HasRoom(const cbw_connection_cache_t *cache, cbw_time_t now)
{
    int limit = cache->limit;

    if (now < cache->refused_until && cache->refused_limit < limit) {
        limit = cache->refused_limit;
    }
    return cache->count < limit;
}

cbw_cached_connection_t *
CbwConnectionCache_Choose(const cbw_connection_cache_t *cache, cbw_time_t now)
{
    return cache->policy->choose(cache, now);
}

void
CbwConnectionCache_OnRefused(cbw_connection_cache_t *cache, cbw_time_t now)
{
    cache->refused_limit = cache->count > 0 ? cache->count : 1;
    cache->refused_until = now + Cbw_CONNECTION_REFUSED_FOR;
}
