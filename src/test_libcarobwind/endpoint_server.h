/* A server on loopback for the connections of an endpoint driver. The test
 * answers the messages. */
#ifndef TEST_LIBCAROBWIND_ENDPOINT_SERVER_H
#define TEST_LIBCAROBWIND_ENDPOINT_SERVER_H

#include <ev.h>

#include "carobwindd/drivers.h"

#define EndpointServer_CONNECTIONS_MAX 16

typedef struct {
    /* Called after the connection `index` was accepted. NULL: nothing. */
    void (*on_accept)(void *context, int index);
    /* Called in each round of the event loop: reads what has arrived on the
     * connection `index`, if anything, and answers it. */
    void (*on_poll)(void *context, int index);
} endpoint_server_ops_t;

typedef struct {
    struct ev_loop *loop;
    const endpoint_server_ops_t *ops;
    void *context; /* of ops */
    int listener;
    /* Inventory entry, of which the test sets `connections`. */
    cbw_endpoint_t endpoint;
    int fds[EndpointServer_CONNECTIONS_MAX];
    int count; /* of accepted connections, which stay open until the end */
} endpoint_server_t;

/* Starts the server and opens the driver's link to it. `events` get no
 * context. */
endpoint_link_t *EndpointServer_Open(endpoint_server_t *server,
                                     const endpoint_driver_t *driver,
                                     daemon_t *daemon, int connections_max,
                                     const endpoint_events_t *events);

/* Runs the event loop and the server until `*replies`, which the events count,
 * is not 0. Fails the test if it does not become 1. */
void EndpointServer_Serve(endpoint_server_t *server, const int *replies);

/* Closes the link, the connections and the server. */
void EndpointServer_Close(endpoint_server_t *server,
                          const endpoint_driver_t *driver,
                          endpoint_link_t *endpoint_link);

#endif
