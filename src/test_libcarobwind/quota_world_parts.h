/* Declarations that the source files of quota_world.h share. */
#ifndef TEST_LIBCAROBWIND_QUOTA_WORLD_PARTS_H
#define TEST_LIBCAROBWIND_QUOTA_WORLD_PARTS_H

#include "quota_world.h"

/* Times of operations that are kept for the sliding window. */
#define HISTORY_MAX 65536
/* Maximum number of changes of a limit that a window is checked against. */
#define LIMITS_MAX 16

typedef struct {
    cbw_time_t from;
    double allowed; /* operations in a window */
} sim_limit_t;

typedef struct {
    quota_demand_t demand;
    cbw_time_t *history; /* a ring */
    size_t first;
    size_t count; /* ever added */
    sim_limit_t limits[LIMITS_MAX];
    int limit_count;
} sim_workspace_t;

struct quota_world {
    cbw_time_t now;
    cbw_random_t random;
    cbw_inventory_t inventory;
    cbw_database_t databases[QUOTA_DATABASES];
    cbw_workspace_t limits[QUOTA_WORKSPACES_MAX];
    sim_workspace_t workspaces[QUOTA_WORKSPACES_MAX];
    quota_host_t hosts[QUOTA_HOSTS];
    int holders[QUOTA_DATABASES];
    uint64_t last_term;
    uint64_t last_nonce;
    quota_faults_t faults;
    cbw_link_t messages;
    cbw_link_t operations;
    uint64_t message_count;
    double peak;
};

/* Returns whether the host's process runs at present. */
bool QuotaWorld_IsRunning_(const quota_world_t *world,
                           const quota_host_t *host);
/* Sends the claims, or the requests to lend, of an owner that are due. */
void QuotaWorld_SendClaims_(quota_world_t *world, int host, int database);
void QuotaWorld_SendAsks_(quota_world_t *world, int host, int database);
void QuotaWorld_DeliverMessages_(quota_world_t *world);
void QuotaWorld_FreeMessages_(quota_world_t *world);
/* Asks for the operations that arrive in a step. */
void QuotaWorld_AskForOperations_(quota_world_t *world, int workspace);
/* Sends the accepted operations that are due. */
void QuotaWorld_SendOperations_(quota_world_t *world);
void QuotaWorld_FreeOperations_(quota_world_t *world);

#endif
