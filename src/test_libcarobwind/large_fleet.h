/* Simulates the membership of a fleet of up to several thousand hosts in
 * virtual time. Messages are delayed by the network, by the links of both
 * hosts and by their processors, which are those of small hosts; a message on
 * a connection that was idle for 30 s waits for a new one. Message sizes are
 * those of the XDR codecs, without TCP/IP headers. */
#ifndef TEST_LIBCAROBWIND_LARGE_FLEET_H
#define TEST_LIBCAROBWIND_LARGE_FLEET_H

#include "carobwind/membership.h"
#include "carobwind/traffic.h"

#define LARGE_FLEET_HOSTS_MAX 1536
#define LARGE_FLEET_CENTRES 6
#define LARGE_FLEET_CENTRES_PER_REGION 3

typedef struct {
    cbw_membership_t membership;
    cbw_traffic_t traffic;
    bool down;
    int region_cut; /* hosts with different values cannot reach each other */
    uint64_t incarnation;
    cbw_time_t started_at;
    cbw_time_t ready_at;     /* when it enters service; 0: in service */
    cbw_time_t busy_until;   /* the processor */
    cbw_time_t output_until; /* the link, in each direction */
    cbw_time_t input_until;
    cbw_time_t paused_until; /* the process is suspended until then */
    bool slow;               /* findings about it do not count as false */
    double load;             /* share of the link that statements take */
} large_host_t;

typedef struct {
    int count;
    large_host_t *hosts;
    cbw_time_t now;
    uint64_t suspicions;   /* of hosts that run and can be reached */
    uint64_t false_deaths; /* likewise */
    uint64_t deaths;
    uint64_t connections;
    uint64_t late; /* probes answered after their time limit */
} large_fleet_t;

/* Starts `count` hosts, each of which knows all others. */
void LargeFleet_Start(large_fleet_t *fleet, int count);
void LargeFleet_Finish(large_fleet_t *fleet);
/* Restarts a host at the current time. It knows the others from a list. */
void LargeFleet_Restart(large_fleet_t *fleet, int host, bool cold);
void LargeFleet_Run(large_fleet_t *fleet, cbw_time_t length);
/* Resets the counts to 0. */
void LargeFleet_ResetCounts(large_fleet_t *fleet);
/* Returns the number of pairs of running hosts on one side of a cut of which
 * the first does not see the second as alive. */
size_t LargeFleet_CountDisagreements(const large_fleet_t *fleet);
/* Bytes sent and received by a host. */
uint64_t LargeFleet_BytesOf(const large_host_t *host);
/* The median and the maximum of the bytes of a host. */
void LargeFleet_Spread(const large_fleet_t *fleet, uint64_t *median,
                       uint64_t *busiest);

#endif
