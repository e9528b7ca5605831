/* Owner instances: libcarobwind's owner (carobwind/owner.h) of each database
 * that this host runs, its endpoint links, and its outgoing calls to drivers
 * and other tasks. */
#ifndef CAROBWINDD_OWNER_INSTANCE_H
#define CAROBWINDD_OWNER_INSTANCE_H

#include "carobwind/owner.h"
#include "drivers.h"

typedef struct owner_instance owner_instance_t;

/* Context that an endpoint link hands back with each reply. */
typedef struct {
    owner_instance_t *instance;
    int endpoint; /* index into the instance's endpoint links */
} endpoint_context_t;

struct owner_instance {
    cbw_link_t link; /* in OwnerTask_State.instances */
    uint64_t id;     /* context of calls to other tasks, as the instance may be
                        freed before the answer comes */
    cbw_owner_t owner;
    config_t *config; /* holds the inventory that the owner refers to */
    endpoint_link_t *endpoint_links[Cbw_ENDPOINTS_MAX];
    endpoint_context_t endpoint_contexts[Cbw_ENDPOINTS_MAX];
    bool owned; /* this host comes first in rendezvous order */
    /* Its database is gone, or the endpoints or the rank count changed: it
     * takes no requests and ends once idle. */
    bool retiring;
    cbw_time_t used_at;
    char moved_to[Cbw_NAME_MAX]; /* the host that should own the database; "":
                                    this one */
    cbw_time_t moved_at;         /* when `moved_to` was set */
    int reach_calls_pending;
};

typedef struct {
    daemon_t *daemon;
    const endpoint_driver_t *driver;
    cbw_owner_policies_t policies;
    config_t *config; /* NULL until one is in force */
    view_t *view;     /* NULL until the members are known */
    cbw_link_t instances;
    uint64_t next_id;
    ev_timer timer;
} owner_task_t;

/* State of the owner task, shared by owner_task.c and owner_instance.c. */
extern owner_task_t OwnerTask_State;

/* Returns the instance of a database. NULL when there is none, or when it
 * takes no new requests. */
owner_instance_t *OwnerInstance_Find(const char *database);
/* Starts an owner for a database of the present configuration. */
owner_instance_t *OwnerInstance_New(const cbw_database_t *database);
/* Answers its requests, closes the links and frees the instance. */
void OwnerInstance_Free(owner_instance_t *instance);
/* Tells the owner which endpoints are leaving, according to the inventory or
 * to the platform's list. */
void OwnerInstance_UpdateLeaving(owner_instance_t *instance);
/* Handle and free the answers to the instances' calls. An answer to an
 * instance that has ended is dropped. */
void OwnerInstance_OnStoreDone(store_call_t *call);
void OwnerInstance_OnReachDone(outbound_t *outbound);

#endif
