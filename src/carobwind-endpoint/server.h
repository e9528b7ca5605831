/* The server of the endpoint stand-in: its connections, the slots that limit
 * how many statements run concurrently, and the replication from another
 * endpoint. */
#ifndef CAROBWIND_ENDPOINT_SERVER_H
#define CAROBWIND_ENDPOINT_SERVER_H

#include <ev.h>

#include "carobwind/list.h"
#include "database.h"
#include "share/resp.h"

typedef struct {
    const char *listen; /* "ip:port" */
    const char *data;   /* path of the data file; "": in memory */
    bool primary;       /* an empty database begins as the primary of term 1 */
    long connections;   /* limit; replication does not count */
    long slots;         /* number of statements that run concurrently */
    double service_ms;  /* mean time that a statement takes */
    double connect_ms;  /* delay of the first command of a connection */
    double delay_ms;    /* round trip to the hosts */
    double lag_ms;      /* replication lag */
    long seed;
} endpoint_settings_t;

typedef struct {
    uint64_t connections_highest;
    uint64_t connections_refused;
    uint64_t statements;
    uint64_t writes;
    uint64_t duplicates; /* writes whose request key was recorded before */
} endpoint_stats_t;

typedef struct replica replica_t;

typedef struct {
    struct ev_loop *loop;
    endpoint_settings_t settings;
    database_t database;
    cbw_link_t clients;
    cbw_link_t delayed;    /* calls within the network delay, oldest first */
    cbw_link_t slot_queue; /* calls waiting for a slot, oldest first */
    cbw_link_t long_polls; /* STATE and PULL calls waiting for a position */
    long busy_slots;
    long open_connections;
    ev_io listener;
    ev_timer tick_timer;
    replica_t *replica; /* NULL: does not replicate */
    endpoint_stats_t stats;
    uint64_t random_state; /* of the service times */
} server_t;

/* Opens the database and starts listening. Returns 0, or -1 with `error` set.
 */
int Server_Init(server_t *server, struct ev_loop *loop,
                const endpoint_settings_t *settings, cbw_error_t *error);
/* Answers the long polls that are due after the log has grown or the term has
 * changed. */
void Server_OnLogChange(server_t *server);

/* Replication (replica.c). */

/* Starts replicating from the primary of `term` at `address`, instead of from
 * the previous primary, if any. */
void Replica_Follow(server_t *server, uint64_t term, const char *address);
/* Stops replicating and discards the received entries that are not applied
 * yet. No effect when the server does not replicate. */
void Replica_Stop(server_t *server);
/* Applies the received entries whose lag has passed, and reconnects if the
 * connection to the primary is lost. */
void Replica_Tick(server_t *server, cbw_time_t now);

#endif
