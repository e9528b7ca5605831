/* The endpoint stand-in's server: connections, slots, transactions, and the
 * replication between endpoints. */
#ifndef CAROBWIND_ENDPOINT_SERVER_H
#define CAROBWIND_ENDPOINT_SERVER_H

#include <ev.h>

#include "carobwind/list.h"
#include "database.h"
#include "share/resp.h"

typedef struct {
    const char *listen;
    const char *data;
    bool primary;
    long connections;
    long slots;
    double service_ms;
    double connect_ms;
    double delay_ms; /* round trip to the hosts */
    double lag_ms;
    long seed;
} endpoint_settings_t;

typedef struct {
    uint64_t connections_highest;
    uint64_t connections_refused;
    uint64_t statements;
    uint64_t writes;
    uint64_t duplicates; /* writes whose key was recorded before */
} endpoint_stats_t;

typedef struct replica replica_t;

typedef struct {
    struct ev_loop *loop;
    endpoint_settings_t settings;
    database_t database;
    cbw_link_t clients;
    cbw_link_t delayed;    /* messages that are still on the wire */
    cbw_link_t slot_queue; /* work that waits for a slot */
    cbw_link_t long_polls; /* state calls and pulls that wait for a position */
    long busy_slots;
    long open_connections;
    ev_io listener;
    ev_timer tick_timer;
    replica_t *replica;
    endpoint_stats_t stats;
    uint64_t random_state;
} server_t;

int Server_Init(server_t *server, struct ev_loop *loop,
                const endpoint_settings_t *settings, cbw_error_t *error);
/* The log grew, or the term changed: wakes what waits for it. */
void Server_OnLogChange(server_t *server);

/* Begins to replicate the log of `term` from `address`. */
void Replica_Follow(server_t *server, uint64_t term, const char *address);
/* Stops replicating; what has not been applied is dropped. */
void Replica_Stop(server_t *server);
/* Runs what is due. */
void Replica_Tick(server_t *server, cbw_time_t now);

#endif
