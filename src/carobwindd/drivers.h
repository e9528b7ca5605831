/* The tables of functions behind which endpoints and the store are reached.
 * A driver registers itself as a plug-in. */
#ifndef CAROBWINDD_DRIVERS_H
#define CAROBWINDD_DRIVERS_H

#include "carobwind/endpoint.h"
#include <glib.h>

#include "carobwind/pool.h"
#include "carobwind/session.h"
#include "messages.h"

/* A driver's state of one endpoint. */
typedef struct endpoint_link endpoint_link_t;

typedef struct {
    /* The reply to a call, within the call or later. */
    void (*on_reply)(void *context, uint64_t id, const cbw_reply_t *reply);
} endpoint_events_t;

typedef struct {
    /* The endpoint keeps request keys and fences; without these the pool, and
     * not the owner, drives it. */
    bool supports_request_keys;
    /* `connections_max` bounds the connections for statements; two more are
     * used for control calls. */
    endpoint_link_t *(*open)(daemon_t *daemon, const char *database,
                             const cbw_endpoint_t *endpoint,
                             int connections_max,
                             const endpoint_events_t *events, void *context);
    /* Closes all connections; no replies follow. */
    void (*close)(endpoint_link_t *link);
    /* Sends a call. Returns false when no connection is to be had. */
    bool (*call)(endpoint_link_t *link, const cbw_call_t *call);
    /* Drops the connection of the call; no reply follows. Returns whether any
     * of it may have reached the endpoint. */
    bool (*abort)(endpoint_link_t *link, uint64_t id);
    /* Frees the transaction's connection. When the end is not `clean`, the
     * connection is dropped, so that the endpoint rolls back. */
    void (*end_transaction)(endpoint_link_t *link, uint64_t transaction,
                            bool clean);
    /* Open connections. */
    int (*count_connections)(const endpoint_link_t *link);
} endpoint_driver_t;

/* Orders the change of a database's primary, where endpoints cannot be told
 * themselves. */
typedef struct {
    /* `done` is called once, later, also when there is no answer. */
    void (*promote)(daemon_t *daemon, const char *database,
                    const char *endpoint, const char *holder, uint64_t fence,
                    void (*done)(void *context, cbw_promote_status_t status),
                    void *context);
} order_driver_t;

/* An answer to a caller. */
typedef struct {
    const char *result; /* as the endpoint's driver gave it; NULL: none */
    size_t result_size;
    cbw_cause_t cause; /* CBW_CAUSE_NONE: done */
    const char *reason;
    cbw_time_t retry_after;
    cbw_session_state_t state;
    const char *token; /* "" when there is none */
} caller_answer_t;

typedef enum {
    CALLER_MESSAGE_START, /* `database` */
    CALLER_MESSAGE_STATEMENT,
    CALLER_MESSAGE_END,
    CALLER_MESSAGE_UNKNOWN,
} caller_message_type_t;

typedef struct {
    caller_message_type_t type;
    const char *database;
    cbw_statement_t statement;
} caller_message_t;

/* A protocol of callers with sessions. */
typedef struct {
    /* The size of the first message in `bytes`; 0: incomplete; -1: it cannot
     * be read. */
    ssize_t (*message_size)(const char *bytes, size_t size);
    /* Decodes a message of that size. `bytes` is changed, and the texts of
     * `message` point into it and into `copy`, of as many bytes. */
    void (*decode)(char *bytes, size_t size, char *copy,
                   caller_message_t *message);
    /* Appends the encoded answer. */
    void (*encode_answer)(GString *out, const caller_answer_t *answer);
    /* Appends the answer to the start of a session. */
    void (*encode_session_started)(GString *out);
} caller_driver_t;

/* What the platform's records of configuration and endpoints say. */
typedef struct {
    const char *config_key;
    const char *endpoints_prefix;
    /* Sets kinds and the rank count of `inventory`, and its databases without
     * endpoints. Returns 0, or -1 with findings. */
    int (*parse_config)(const char *text, cbw_inventory_t *inventory,
                        cbw_findings_t *findings);
    /* Sets an endpoint and its database's name from a record. Returns 0, or -1
     * with `error` set when it names no endpoint to use. */
    int (*parse_endpoint)(const char *name, const char *text,
                          cbw_endpoint_t *endpoint, char *database,
                          cbw_error_t *error);
} registry_driver_t;

typedef struct {
    /* The call is answered; it goes back to its maker. */
    void (*on_done)(store_call_t *call);
} store_events_t;

typedef struct {
    void (*open)(daemon_t *daemon, const store_events_t *events);
    void (*call)(store_call_t *call);
    /* Gives up the call, which gets no answer. */
    void (*cancel)(store_call_t *call);
} store_driver_t;

#endif
