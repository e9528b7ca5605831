/* The owners of the kernel that this host runs, one for each database, with
 * the links to its endpoints; and the kernel's calls to the other tasks. */
#ifndef CAROBWINDD_OWNER_INSTANCE_H
#define CAROBWINDD_OWNER_INSTANCE_H

#include "carobwind/owner.h"
#include "drivers.h"

typedef struct owner_instance owner_instance_t;

typedef struct {
    owner_instance_t *instance;
    int endpoint;
} link_context_t;

struct owner_instance {
    cbw_link_t link;
    uint64_t id;
    cbw_owner_t owner;
    config_t *config;
    endpoint_link_t *links[Cbw_ENDPOINTS_MAX];
    link_context_t link_contexts[Cbw_ENDPOINTS_MAX];
    bool owned;    /* by rendezvous order */
    bool retiring; /* its endpoints changed: takes no new requests */
    cbw_time_t used_at;
    char moved_to[Cbw_NAME_MAX];
    cbw_time_t moved_at;
    int reach_calls_pending;
};

typedef struct {
    daemon_t *daemon;
    const endpoint_driver_t *driver;
    cbw_owner_policies_t policies;
    config_t *config;
    view_t *view;
    cbw_link_t instances;
    uint64_t next_id;
    ev_timer timer;
} owner_task_t;

/* The owner task's state, which both of its files use. */
extern owner_task_t OwnerTask_State;

/* NULL when there is none, or when it takes no new requests. */
owner_instance_t *OwnerInstance_Find(const char *database);
/* Starts an owner for a database of the present configuration. */
owner_instance_t *OwnerInstance_New(const cbw_database_t *database);
void OwnerInstance_Free(owner_instance_t *instance);
/* Tells the kernel which endpoints leave, by the inventory or the list. */
void OwnerInstance_UpdateLeaving(owner_instance_t *instance);
/* Answers to the instances' calls; those of instances that are gone are
 * dropped. */
void OwnerInstance_OnStoreDone(store_call_t *call);
void OwnerInstance_OnReachDone(outbound_t *outbound);

#endif
