/* Cache of connections to an endpoint, each of which belongs to one workspace
 * for its lifetime. Decides which connections are kept.
 *
 * Load pattern: there are more workspaces than connections, a few of them have
 * most of the demand, and a new connection occupies one of the endpoint's
 * slots for a while. The cache estimates how much demand each connection of a
 * workspace serves, and evicts the idle connection that serves the least.
 *
 * The module does no I/O. The connections are the caller's; the cache keeps
 * links to them, and the time is an argument. */
#ifndef CAROBWIND_CONNECTION_CACHE_H
#define CAROBWIND_CONNECTION_CACHE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "carobwind/list.h"
#include "carobwind/types.h"

/* Half-life of the counted demand. Short enough that connections follow a
 * lasting change of demand within a minute, and long enough that a workspace
 * that pauses for a few seconds keeps its own. */
#define Cbw_CONNECTION_DEMAND_HALF_LIFE (10 * Cbw_SEC)
/* Demand is counted by the number of a workspace's connections in use, up to
 * this one. */
#define Cbw_CONNECTION_LEVELS_MAX 8
/* Maximum number of workspaces whose demand at one endpoint is counted. */
#define Cbw_CONNECTION_WORKSPACES_MAX 512
/* How long a refusal for too many connections reduces the limit. Longer than
 * both owners have connections during a hand-over. */
#define Cbw_CONNECTION_REFUSED_FOR (2 * Cbw_SEC)

#define Cbw_CONNECTION_BUCKETS 64

/* The connections of one workspace, and its demand. */
typedef struct {
    cbw_link_t bucket_link;
    cbw_link_t active_link; /* in no list without connections */
    char workspace[Cbw_NAME_MAX];
    cbw_link_t connections; /* most recently used first */
    int count;
    /* Statements by the number of connections that were in use when they came,
     * weighted by rank and decayed until `decayed_at`. */
    double demand[Cbw_CONNECTION_LEVELS_MAX];
    cbw_time_t decayed_at;
} cbw_connection_group_t;

/* A connection, embedded in the caller's. */
typedef struct {
    cbw_link_t link;
    cbw_connection_group_t *group;
    uint64_t used; /* number of its last use */
} cbw_cached_connection_t;

typedef struct cbw_connection_cache cbw_connection_cache_t;

/* Eviction policy: chooses the idle connection to close. */
typedef struct {
    const char *name;
    /* Returns NULL when none is idle. */
    cbw_cached_connection_t *(*choose)(const cbw_connection_cache_t *cache,
                                       cbw_time_t now);
} cbw_connection_policy_t;

struct cbw_connection_cache {
    const cbw_connection_policy_t *policy;
    bool (*is_idle)(const cbw_cached_connection_t *connection);
    int limit;
    int count;
    int refused_limit; /* in force until `refused_until` */
    cbw_time_t refused_until;
    uint64_t uses;
    cbw_link_t buckets[Cbw_CONNECTION_BUCKETS];
    cbw_link_t active;
    size_t group_count;
};

/* Returns the policy called `name`, or NULL when there is none: "demand", or
 * "lru", which chooses the least recently used connection of all. */
const cbw_connection_policy_t *CbwConnectionCache_Policy(const char *name);
/* Initializes an empty cache for at most `limit` connections. `is_idle` tells
 * whether a connection carries neither a call nor a transaction. */
void CbwConnectionCache_Init(
    cbw_connection_cache_t *cache, const cbw_connection_policy_t *policy,
    bool (*is_idle)(const cbw_cached_connection_t *connection), int limit);
/* Frees what the cache owns. It must have no connections. */
void CbwConnectionCache_Finish(cbw_connection_cache_t *cache);
/* Counts a statement of `rank` (0: most urgent) that is about to be sent for
 * `workspace` ("": none). */
void CbwConnectionCache_OnDemand(cbw_connection_cache_t *cache, cbw_time_t now,
                                 const char *workspace, int rank);
/* Adds a connection of `workspace`, as the most recently used one. It must be
 * removed before it is freed. Returns 0, or -1 when out of memory. */
int CbwConnectionCache_Add(cbw_connection_cache_t *cache,
                           cbw_cached_connection_t *connection,
                           const char *workspace);
/* Makes a connection the most recently used one. */
void CbwConnectionCache_Use(cbw_connection_cache_t *cache,
                            cbw_cached_connection_t *connection);
void CbwConnectionCache_Remove(cbw_connection_cache_t *cache,
                               cbw_cached_connection_t *connection);
/* Returns the workspace's connections (cbw_cached_connection_t, most recently
 * used first), or NULL when nothing is known of the workspace. */
cbw_link_t *CbwConnectionCache_Connections(cbw_connection_cache_t *cache,
                                           const char *workspace);
/* Returns whether a connection of the workspace is idle. */
bool CbwConnectionCache_HasIdle(const cbw_connection_cache_t *cache,
                                const char *workspace);
/* Returns whether one more connection may be opened. */
bool CbwConnectionCache_HasRoom(const cbw_connection_cache_t *cache,
                                cbw_time_t now);
/* Returns the idle connection that is to be closed to make room, or NULL when
 * none is idle. */
cbw_cached_connection_t *
CbwConnectionCache_Choose(const cbw_connection_cache_t *cache, cbw_time_t now);
/* The endpoint refused a connection, which has been removed, as it has too
 * many. */
void CbwConnectionCache_OnRefused(cbw_connection_cache_t *cache,
                                  cbw_time_t now);

#endif
