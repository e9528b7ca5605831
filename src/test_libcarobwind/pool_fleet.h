/* A fleet in virtual time: several pools of one database, each the owner on
 * its host, with the store, the promotion service, the endpoints and callers.
 * The seed determines the disruptions. The simulation records when promotions
 * take effect and checks the answers to callers against that. */
#ifndef TEST_LIBCAROBWIND_POOL_FLEET_H
#define TEST_LIBCAROBWIND_POOL_FLEET_H

#include "carobwind/types.h"

/* Disruptions of a run. */
typedef struct {
    const char *name;
    bool store_cuts;       /* hosts lose the store, or it is down for all */
    bool lost_swaps;       /* answers of the store are lost; swaps run late */
    bool endpoint_crashes; /* endpoints crash and come back with their log */
    bool long_crashes;     /* some of them only after up to 40 s */
    bool endpoint_cuts;    /* between hosts and endpoints; store_losses, too */
    bool store_losses;     /* endpoints lose the store, and are unlisted */
    bool group_cuts;       /* between the endpoints */
    bool deaf_crashes;     /* an endpoint is cut off, and the leader crashes */
    bool host_cuts;        /* between hosts */
    bool restarts;         /* hosts are killed, or stopped and started */
    bool pauses;           /* hosts pause */
    bool releases;         /* endpoints leave and are replaced */
    bool late_orders;      /* promotion requests arrive up to seconds late */
    bool lost_orders;      /* answers of the promotion service are lost */
    bool differing_views;  /* callers use all hosts, and two are assigned */
    bool workspaces;       /* callers belong to workspaces, and some leave */
    bool synchronous;      /* a replica has each acknowledged commit */
} fleet_disruptions_t;

typedef struct {
    int commits_acknowledged;
    int reads_done;
    int promotions; /* that took effect */
    int orders;
    /* Commits at a replaced primary that were acknowledged. */
    int superseded_commits;
    /* Reads of the latest data that lack an acknowledged commit. */
    int stale_reads;
    /* Promotions that restored acknowledged entries which reads had lacked
     * since an earlier promotion discarded them. */
    int restored_logs;
    int lost_commits; /* promotions that lost synchronous commits */
    int lower_fences; /* promotion requests with a token below an earlier one's
                       */
    int orders_in_turn; /* requests of two hosts within the lease of 3 s */
    int quiet_failures; /* requests that failed after the disruptions ended */
    int quiet_successes;
    char first_fault[256];
} fleet_result_t;

/* Simulates `duration` with `disruptions`, then some seconds without.
 * `verbose` prints each event. */
void PoolFleet_Run(uint64_t seed, const fleet_disruptions_t *disruptions,
                   cbw_time_t duration, bool verbose, fleet_result_t *result);

#endif
