/* Driver interfaces: the tables of functions through which the daemon reaches
 * endpoints, the key-value store, callers and the platform's records. A driver
 * registers itself as a plug-in (carobwind/plugin.h), and the settings select
 * it by name. */
#ifndef CAROBWINDD_DRIVERS_H
#define CAROBWINDD_DRIVERS_H

#include "carobwind/endpoint.h"
#include <glib.h>

#include "carobwind/pool.h"
#include "carobwind/session.h"
#include "messages.h"

/* Connections to one endpoint for control calls, in addition to those for
 * statements. */
#define Endpoint_CONTROL_CONNECTIONS 3

/* A driver's connections to one endpoint; opaque to its users. */
typedef struct endpoint_link endpoint_link_t;

/* Callbacks of an endpoint driver. */
typedef struct {
    /* Delivers the reply to call `id`, either before `call` returns or later.
     */
    void (*on_reply)(void *context, uint64_t id, const cbw_reply_t *reply);
} endpoint_events_t;

/* Runs calls on endpoints. */
typedef struct {
    /* Endpoints store request keys and enforce fences, and the daemon runs the
     * owner task for them. Without this it runs the pool task instead. */
    bool supports_request_keys;
    /* Prepares for calls to one endpoint, with at most `connections_max`
     * connections. A driver that supports request keys counts only those for
     * statements and may open two more for control calls; any other driver
     * counts all of them. */
    endpoint_link_t *(*open)(daemon_t *daemon, const char *database,
                             const cbw_endpoint_t *endpoint,
                             int connections_max,
                             const endpoint_events_t *events, void *context);
    /* Closes all connections and frees the link; no replies follow. */
    void (*close)(endpoint_link_t *link);
    /* Returns whether the protocol can carry the request unchanged. NULL: it
     * carries all. */
    bool (*can_carry)(const cbw_request_t *request);
    /* Sends a call. Returns false when no connection is available, and then
     * no reply follows. */
    bool (*call)(endpoint_link_t *link, const cbw_call_t *call);
    /* Closes the connection that carries the call; no reply follows. The
     * driver may also close idle connections, which may be dead too. Returns
     * whether any part of the call may have reached the endpoint. */
    bool (*abort)(endpoint_link_t *link, uint64_t id);
    /* Releases the connection that a transaction holds. Unless the
     * transaction ended `clean`, the connection is closed, so that the
     * endpoint rolls back. */
    void (*end_transaction)(endpoint_link_t *link, uint64_t transaction,
                            bool clean);
    /* Returns the number of open connections that count towards
     * `connections_max`. */
    int (*count_connections)(const endpoint_link_t *link);
    /* Returns whether a connection of the workspace ("": none) is idle. NULL:
     * unknown. */
    bool (*has_idle_connection)(const endpoint_link_t *link,
                                const char *workspace);
} endpoint_driver_t;

/* An order that has not ended; opaque to its users. */
typedef struct order order_t;

/* Orders promotions from the platform, where endpoints do not take such orders
 * directly. */
typedef struct {
    /* Asks for `endpoint` to become the primary of `database`. `holder` and
     * `fence` are the lease holder and fencing token to present. `done` is
     * called exactly once, after this function has returned, also when the
     * connection fails, but not when the platform does not answer. Returns the
     * order, which is valid until `done` is called. */
    order_t *(*promote)(daemon_t *daemon, const char *database,
                        const char *endpoint, const char *holder,
                        uint64_t fence,
                        void (*done)(void *context,
                                     cbw_promote_status_t status),
                        void *context);
    /* Cancels an order; `done` is not called. Data that the platform has not
     * received yet never reaches it. An order that it has received in full may
     * still be carried out. */
    void (*cancel)(order_t *order);
} order_driver_t;

/* The answer to a caller's statement, before encoding. */
typedef struct {
    const char *result; /* as the endpoint driver returned it; NULL: none */
    size_t result_size;
    cbw_cause_t cause; /* CBW_CAUSE_NONE: success */
    const char *reason;
    cbw_time_t retry_after;
    cbw_session_state_t state;
    const char *token; /* "": none */
} caller_answer_t;

/* Type of a message in a protocol whose callers start and end sessions with
 * messages. Callers over RESP send commands instead (caller_command_t). */
typedef enum {
    CALLER_MESSAGE_START,     /* starts a session on `database` */
    CALLER_MESSAGE_STATEMENT, /* runs `statement` */
    CALLER_MESSAGE_END,       /* ends the session */
    CALLER_MESSAGE_UNKNOWN,
} caller_message_type_t;

typedef struct {
    caller_message_type_t type;
    const char *database;
    const char *key; /* START: identifies the caller; "": none */
    cbw_statement_t statement;
} caller_message_t;

/* Codec of a protocol whose callers start and end sessions with messages. */
typedef struct {
    /* Returns the size of the first message in `bytes`, 0 when it is
     * incomplete, -1 when it is malformed, or -2 when it exceeds the
     * protocol's limit, whether it is complete or not. */
    ssize_t (*message_size)(const char *bytes, size_t size);
    /* Decodes a message of that size. Modifies `bytes`; the strings of
     * `message` point into `bytes` and into `copy`, which must have room for
     * `size` bytes. */
    void (*decode)(char *bytes, size_t size, char *copy,
                   caller_message_t *message);
    /* Appends the encoded answer to `out`. */
    void (*encode_answer)(GString *out, const caller_answer_t *answer);
    /* Appends the confirmation that a session has started to `out`. */
    void (*encode_session_started)(GString *out);
} caller_driver_t;

/* Parses the platform's configuration and endpoint records. */
typedef struct {
    const char *config_key;       /* key of the configuration record */
    const char *endpoints_prefix; /* key prefix of endpoint registrations */
    /* Parses the configuration record into `inventory`: kinds, rank count, and
     * databases without endpoints. Returns 0, or -1 with `findings`; the valid
     * parts of the record are in `inventory` in both cases. */
    int (*parse_config)(const char *text, cbw_inventory_t *inventory,
                        cbw_findings_t *findings);
    /* Parses the registration of endpoint `name`, and sets `endpoint` and the
     * name of its database (Cbw_NAME_MAX bytes). Returns 0, or -1 with `error`
     * set when the record describes no usable endpoint. */
    int (*parse_endpoint)(const char *name, const char *text,
                          cbw_endpoint_t *endpoint, char *database,
                          cbw_error_t *error);
    /* Returns the configuration record with the hashes of the callers' keys in
     * place of the keys, for sending it to peers. parse_config accepts both
     * forms. The caller frees it; NULL when the text has no keys, "" when it
     * cannot be parsed. */
    char *(*hide_keys)(const char *text);
} registry_driver_t;

/* Callbacks of a store driver. */
typedef struct {
    /* The call has ended with `call->status`, and its answer is filled in.
     * Called before `call` returns or later. */
    void (*on_done)(store_call_t *call);
} store_events_t;

/* Runs calls on the platform's key-value store. */
typedef struct {
    void (*open)(daemon_t *daemon, const store_events_t *events);
    /* Starts a call; `on_done` reports its end. */
    void (*call)(store_call_t *call);
    /* Cancels a call; `on_done` is not called for it. */
    void (*cancel)(store_call_t *call);
} store_driver_t;

#endif
