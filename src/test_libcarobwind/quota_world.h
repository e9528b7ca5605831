/* A fleet of owners and granters in virtual time, for tests of quotas. Owners
 * take over databases by a model of the tenure, exchange messages that may be
 * delayed or lost, and run operations. The times of all operations are kept,
 * and each is checked against the bound on a sliding window. */
#ifndef TEST_LIBCAROBWIND_QUOTA_WORLD_H
#define TEST_LIBCAROBWIND_QUOTA_WORLD_H

#include "carobwind/quota.h"
#include "carobwind/random.h"

#define QUOTA_DATABASES 8
#define QUOTA_HOSTS 12
#define QUOTA_WORKSPACES_MAX 6
#define QUOTA_STEP (10 * Cbw_MSEC)

/* The owner of one database at one host. */
typedef struct {
    bool exists;
    bool holds; /* the tenure model names it the holder */
    uint64_t term;
    cbw_time_t valid_until;  /* end of its tenure */
    cbw_time_t serves_until; /* a previous owner; Cbw_NEVER: the present one */
    cbw_quota_t quota;
    cbw_quota_granter_t granter;
    cbw_time_t message_at[QUOTA_HOSTS]; /* of the last one to each host */
} quota_owner_t;

typedef struct {
    bool alive;
    uint64_t nonce;
    cbw_time_t back_at;      /* when not alive */
    cbw_time_t frozen_until; /* does nothing and keeps its messages */
    bool cut_off;            /* from the others and from the store */
    quota_owner_t owners[QUOTA_DATABASES];
} quota_host_t;

/* Demand for a workspace, in operations per second. */
typedef struct {
    double rate;
    int database; /* -1: all, at random */
    /* Operations that were asked for and that ran, since the last reset. */
    uint64_t asked;
    uint64_t ran;
} quota_demand_t;

/* Probabilities of faults, 0 to 1. */
typedef struct {
    double lost_messages;
    double delayed_messages; /* by up to 6 s */
    double held_back;        /* operations sent up to 0.9 s later */
    double not_run;          /* operations that did not run and are repeated */
} quota_faults_t;

typedef struct quota_world quota_world_t;

/* Initializes a world of alive hosts, in which host i owns database i. Limits
 * are added with QuotaWorld_AddWorkspace before the first run. */
quota_world_t *QuotaWorld_New(uint64_t seed);
void QuotaWorld_Free(quota_world_t *world);
int QuotaWorld_AddWorkspace(quota_world_t *world, double rate, double burst);
void QuotaWorld_SetLimit(quota_world_t *world, int workspace, double rate,
                         double burst);
quota_demand_t *QuotaWorld_Demand(quota_world_t *world, int workspace);
quota_faults_t *QuotaWorld_Faults(quota_world_t *world);
cbw_random_t *QuotaWorld_Random(quota_world_t *world);
quota_host_t *QuotaWorld_Host(quota_world_t *world, int host);
cbw_time_t QuotaWorld_Now(const quota_world_t *world);
/* Events. A killed host returns after `duration`. */
void QuotaWorld_Kill(quota_world_t *world, int host, cbw_time_t duration);
void QuotaWorld_Freeze(quota_world_t *world, int host, cbw_time_t duration);
/* Hands `database` over to another host; the present owner serves for
 * `overlap` longer. */
void QuotaWorld_Move(quota_world_t *world, int database, cbw_time_t overlap);
/* Runs for `duration`. Fails the test when the bound is exceeded. */
void QuotaWorld_Run(quota_world_t *world, cbw_time_t duration);
/* Sets the counts of `asked` and `ran` to 0. */
void QuotaWorld_ResetCounts(quota_world_t *world);
/* Messages between different hosts since the start. */
uint64_t QuotaWorld_Messages(const quota_world_t *world);
/* Largest share of the bound that a window used so far; 1: all of it. */
double QuotaWorld_Peak(const quota_world_t *world);
/* Buckets and granter's workspaces that the fleet holds. */
size_t QuotaWorld_States(const quota_world_t *world);

#endif
