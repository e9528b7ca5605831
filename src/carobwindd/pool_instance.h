/* Pool instances: libcarobwind's pool (carobwind/pool.h) of each database that
 * this host runs, its endpoint links, and its outgoing calls to drivers and
 * other tasks. A pool serves its database under a tenure, a time-limited right
 * held in the store. */
#ifndef CAROBWINDD_POOL_INSTANCE_H
#define CAROBWINDD_POOL_INSTANCE_H

#include "carobwind/handover.h"
#include "carobwind/pool.h"
#include "carobwind/witness.h"
#include "drivers.h"

typedef struct pool_instance pool_instance_t;
/* See quota_exchange.h. */
typedef struct quota_exchange quota_exchange_t;

/* Context that an endpoint link hands back with each reply. */
typedef struct {
    pool_instance_t *instance;
    int endpoint; /* index into the instance's endpoint links */
} endpoint_context_t;

struct pool_instance {
    cbw_link_t link; /* in PoolTask_State.instances */
    uint64_t id;     /* context of calls to other tasks, as the instance may be
                        freed before the answer comes */
    cbw_pool_t pool;
    endpoint_link_t *endpoint_links[Cbw_POOL_ENDPOINTS_MAX];
    endpoint_context_t endpoint_contexts[Cbw_POOL_ENDPOINTS_MAX];
    bool owned; /* this host is first in rendezvous order, or will be once
                   it takes work; false once it drains */
    /* This host is the read dispatcher of the database for its region, and
     * this instance its pool, see read_pool.h. */
    bool dispatches;
    cbw_read_dispatch_t reads;
    char asked_endpoint[Cbw_NAME_MAX];  /* of the last PEER_SAMPLE call */
    char leased_endpoint[Cbw_NAME_MAX]; /* of the lease */
    int attached_connections;           /* of the lease that is in use */
    char asked_owner[Cbw_NAME_MAX]; /* as another host named it; "": none */
    cbw_time_t asked_owner_until;
    cbw_handover_t handover; /* to another owner after the home moved */
    bool unconfigured;       /* the database is not configured any more */
    /* The unused pool has released its tenure (CbwPool_Release). It
     * relinquishes its tenure, in contrast, when another owner asks for it. */
    bool released;
    cbw_time_t used_at;
    char moved_to[Cbw_NAME_MAX]; /* the host that should own the database; "":
                                    this one */
    /* `moved_to` has to take the tenure over from this host. */
    bool moved_takes;
    /* `moved_to` has the tenure: this host handed the database over to it. */
    bool handed_over;
    cbw_time_t moved_at; /* when `moved_to` was set */
    /* The latest round of PEER_REACH calls, and its number. */
    cbw_witnesses_t witnesses;
    uint32_t reach_round;
    order_t *order;              /* promotion request in flight; NULL: none */
    inbound_t *prepare_call;     /* PEER_PREPARE call of a host that is about
                                    to leave or to hand the database over,
                                    answered once this one can serve; NULL:
                                    none */
    quota_exchange_t *quotas;    /* NULL: no workspaces are configured */
    cbw_time_t prepare_deadline; /* when the call is answered at the latest */
};

typedef struct {
    daemon_t *daemon;
    const endpoint_driver_t *driver;
    const order_driver_t *promotion_driver; /* the order driver; NULL: unset */
    config_t *config;                       /* NULL until one is in force */
    view_t *view; /* NULL until the members are known */
    cbw_link_t instances;
    uint64_t next_id;
    /* Time until which owners at this address that have ended may have
     * requested promotions: owners of an earlier process until this one
     * started, and owners that were freed during a promotion. */
    cbw_time_t orders_until;
    bool draining;
    bool prepared; /* startup is complete: this host accepts work */
    cbw_time_t startup_deadline; /* when startup completes at the latest; 0:
                                    no databases are claimed yet */
    /* Counts as the limit of workspaces that have none, see
     * CbwWorkspace_MeanRate. */
    double mean_rate;
    int handovers_pending; /* databases whose next owner is not ready yet */
    ev_timer timer;
} pool_task_t;

/* State of the pool task, shared by pool_task.c and pool_instance.c. */
extern pool_task_t PoolTask_State;

/* Returns the instance of a database, other than a read dispatcher's. NULL
 * when there is none, or when the database is not configured any more. */
pool_instance_t *PoolInstance_Find(const char *database);
/* Returns the instance with this `id`, or NULL. */
pool_instance_t *PoolInstance_FindById(uint64_t id);
/* Starts a pool for a database of the present configuration. */
pool_instance_t *PoolInstance_New(const cbw_database_t *database);
/* Starts the pool of a read dispatcher. */
pool_instance_t *PoolInstance_NewForReads(const cbw_database_t *database);
/* Answers its requests, closes the links and frees the instance. */
void PoolInstance_Free(pool_instance_t *instance);
/* Applies the present configuration to the pool: its endpoints and options. */
void PoolInstance_UpdateEndpoints(pool_instance_t *instance);
/* Returns the weight of a request of `workspace` in a queue: its limit divided
 * by the number of databases. */
double PoolInstance_Weight(const char *workspace);
/* Removes a request whose caller left from the database's queue. Returns
 * whether it was queued. */
bool PoolInstance_Cancel(const char *database, uint64_t id);
/* Answers `prepare_call`, which must be set: whether the pool has the tenure.
 */
void PoolInstance_AnswerPrepare(pool_instance_t *instance);
/* Handle and free the answers to the instances' calls. An answer to an
 * instance that has ended is dropped. */
void PoolInstance_OnStoreDone(store_call_t *call);
void PoolInstance_OnReachDone(outbound_t *outbound);
void PoolInstance_OnRelinquishDone(outbound_t *outbound);

#endif
