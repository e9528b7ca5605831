/* The pools of the kernel that this host runs, one for each database, with the
 * links to their endpoints; and the kernel's calls to the other tasks. */
#ifndef CAROBWINDD_POOL_INSTANCE_H
#define CAROBWINDD_POOL_INSTANCE_H

#include "carobwind/pool.h"
#include "drivers.h"

typedef struct pool_instance pool_instance_t;

typedef struct {
    pool_instance_t *instance;
    int endpoint;
} link_context_t;

struct pool_instance {
    cbw_link_t link;
    uint64_t id;
    cbw_pool_t pool;
    endpoint_link_t *links[Cbw_POOL_ENDPOINTS_MAX];
    link_context_t link_contexts[Cbw_POOL_ENDPOINTS_MAX];
    bool owned;   /* by rendezvous order */
    bool retired; /* the database is not configured any more */
    bool released;
    cbw_time_t used_at;
    char moved_to[Cbw_NAME_MAX];
    bool moved_takes;
    cbw_time_t moved_at;
    int reach_calls_pending;
    inbound_t *prepare_call; /* a peer waits until this host can serve */
    cbw_time_t prepare_deadline;
};

typedef struct {
    daemon_t *daemon;
    const endpoint_driver_t *driver;
    const order_driver_t *orders;
    config_t *config;
    view_t *view;
    cbw_link_t instances;
    uint64_t next_id;
    bool draining;
    bool prepared;               /* takes work as an owner */
    cbw_time_t startup_deadline; /* at the latest; 0: nothing is claimed yet */
    int handovers_pending; /* databases whose next owner is not ready yet */
    ev_timer timer;
} pool_task_t;

/* The pool task's state, which both of its files use. */
extern pool_task_t PoolTask_State;

/* NULL when there is none, or when the database is not configured any more. */
pool_instance_t *PoolInstance_Find(const char *database);
/* Starts a pool for a database of the present configuration. */
pool_instance_t *PoolInstance_New(const cbw_database_t *database);
void PoolInstance_Free(pool_instance_t *instance);
/* Takes over the endpoints of the present configuration. */
void PoolInstance_UpdateEndpoints(pool_instance_t *instance);
/* Answers the peer that waits until this host can serve. */
void PoolInstance_AnswerPrepare(pool_instance_t *instance);
/* Answers to the instances' calls; those of instances that are gone are
 * dropped. */
void PoolInstance_OnStoreDone(store_call_t *call);
void PoolInstance_OnReachDone(outbound_t *outbound);
void PoolInstance_OnGiveUpDone(outbound_t *outbound);

#endif
