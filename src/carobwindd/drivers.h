/* The tables of functions behind which endpoints and the store are reached.
 * A driver registers itself as a plug-in. */
#ifndef CAROBWINDD_DRIVERS_H
#define CAROBWINDD_DRIVERS_H

#include "carobwind/endpoint.h"
#include "messages.h"

/* A driver's state of one endpoint. */
typedef struct endpoint_link endpoint_link_t;

typedef struct {
    /* The reply to a call, within the call or later. */
    void (*on_reply)(void *context, uint64_t id, const cbw_reply_t *reply);
} endpoint_events_t;

typedef struct {
    /* `connections_max` bounds the connections for statements; two more are
     * used for control calls. */
    endpoint_link_t *(*open)(daemon_t *daemon, const char *address,
                             int connections_max,
                             const endpoint_events_t *events, void *context);
    /* Closes all connections; no replies follow. */
    void (*close)(endpoint_link_t *link);
    /* Sends a call. Returns false when no connection is to be had. */
    bool (*call)(endpoint_link_t *link, const cbw_call_t *call);
    /* Drops the connection of the call; no reply follows. */
    void (*abort)(endpoint_link_t *link, uint64_t id);
    /* Frees the transaction's connection. When the end is not `clean`, the
     * connection is dropped, so that the endpoint rolls back. */
    void (*end_transaction)(endpoint_link_t *link, uint64_t transaction,
                            bool clean);
    /* Open connections. */
    int (*connections)(const endpoint_link_t *link);
} endpoint_driver_t;

typedef struct {
    /* The call is answered; it goes back to its maker. */
    void (*on_done)(store_call_t *call);
} store_events_t;

typedef struct {
    void (*open)(daemon_t *daemon, const store_events_t *events);
    void (*call)(store_call_t *call);
    /* Gives up the call, which gets no answer. */
    void (*forget)(store_call_t *call);
} store_driver_t;

#endif
