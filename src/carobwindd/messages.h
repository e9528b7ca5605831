/* The messages that tasks exchange, and what they share. */
#ifndef CAROBWINDD_MESSAGES_H
#define CAROBWINDD_MESSAGES_H

#include "carobwind/counter.h"
#include "carobwind/inventory.h"
#include "carobwind/latency.h"
#include "carobwind/membership.h"
#include "carobwind/promotion.h"
#include "carobwind/request.h"
#include "carobwind/trace.h"
#include "settings.h"
#include "share/peer_rpc.h"
#include "task.h"

/* What all tasks of the process use. Counters and traces are the process's
 * own; each task adds to them. */
typedef struct {
    struct ev_loop *loop;
    settings_t settings;
    char local_ip[16]; /* outgoing connections come from here */
    uint64_t nonce;    /* unique to this start */
    cbw_counters_t counters;
    cbw_latencies_t latencies;
    cbw_trace_ring_t traces;
    /* Whether the balancer may send callers here. */
    bool configured;              /* a configuration is in force */
    bool joined;                  /* the members are known */
    bool prepares_before_serving; /* to own databases, before it takes work */
    bool draining;
    bool store_reachable; /* itself, not through a peer */
    bool in_minority;     /* most members are not reached */
} daemon_t;

/* Neither the store nor most of the members are reached: callers are served
 * better by other hosts. */
bool Daemon_IsIsolated(const daemon_t *daemon);

/* A configuration in force, shared by reference. */
typedef struct {
    int references;
    char *text;
    int64_t revision; /* that peers compare; grows with each change */
    uint64_t digest;  /* of the content; peers compare it besides */
    cbw_inventory_t inventory;
} config_t;

config_t *Config_Ref(config_t *config);
void Config_Unref(config_t *config); /* NULL is allowed */

/* A copy of the members at one time, shared by reference. */
typedef struct {
    int references;
    cbw_membership_t membership; /* only for look-ups */
} view_t;

view_t *View_Ref(view_t *view);
void View_Unref(view_t *view); /* NULL is allowed */
/* Puts the view of a MESSAGE_VIEW in place of `*view`; the message is freed.
 */
void View_Replace(view_t **view, message_t *message);

typedef struct {
    message_t message;
    view_t *view; /* the receiver's own reference */
} view_message_t;

typedef struct {
    message_t message;
    config_t *config; /* the receiver's own reference */
} config_message_t;

typedef struct {
    message_t message;
    char address[Cbw_ADDRESS_MAX];
    int64_t version;
    bool differs; /* it is the own version, of other content */
} peer_version_message_t;

/* How many things keep a task from stopping. */
typedef struct {
    message_t message;
    size_t busy_count;
} report_message_t;

/* A request on its way. Freed by the task that made it. */
typedef struct {
    message_t message;
    cbw_request_t request;
    task_id_t reply_to;      /* gets MESSAGE_JOB_DONE */
    void *origin;            /* of the task that made it */
    cbw_time_t retry_at;     /* when the router tries again */
    char host[Cbw_NAME_MAX]; /* that it was last sent to */
    char moved_to[Cbw_NAME_MAX];
    bool moved_takes; /* that host must take over, it does not hold yet */
    int admission[Cbw_RANKS_MAX];
    int admission_count;
} job_t;

job_t *Job_New(void);
void Job_Free(job_t *job);

typedef struct inbound inbound_t;

typedef enum {
    STORE_GET,
    STORE_SWAP,
    STORE_WATCH, /* waits for another version */
    STORE_HOSTS,
    STORE_RANGE,   /* all records whose keys begin with `key` */
    STORE_CHANGES, /* waits for changes of these after `version` */
    STORE_DELETE,
} store_verb_t;

/* A record of the store, or its removal. */
typedef struct {
    char *key;
    char *value; /* NULL: removed */
    size_t value_size;
    uint64_t version;
} store_item_t;

/* A call to the store. Freed by the task that made it. */
typedef struct {
    message_t message;
    store_verb_t verb;
    char key[Cbw_NAME_MAX + 16];
    uint64_t version; /* expected, then found */
    char *value;      /* to write, then read; owned */
    cbw_time_t wait;  /* WATCH: how long it may wait */
    cbw_store_status_t status;
    char **words; /* HOSTS: four a host; owned */
    int word_count;
    store_item_t *items; /* RANGE, CHANGES; owned */
    size_t item_count;
    bool unconditional; /* SWAP: whatever the version */
    bool may_be_stale;  /* a cheap answer that lags will do */
    task_id_t reply_to;
    void *context;

    /* The store task's and its driver's part. */
    void *driver_state;
    bool through_peer; /* this host could not make it itself */
    int peers_asked;
    inbound_t *inbound; /* made for a peer; NULL: for a task */
    uint64_t id;
    cbw_time_t deadline;
} store_call_t;

store_call_t *StoreCall_New(store_verb_t verb, const char *key);
void StoreCall_Free(store_call_t *call);

typedef union {
    peer_probe_args probe;
    peer_statement_args statement;
    peer_config_args config;
    peer_reach_args reach;
    peer_text_args text;
    peer_store_args store;
    peer_give_up_args give_up;
    peer_prepare_args prepare;
    peer_registry_args registry;
} peer_args_t;

typedef union {
    peer_probe_result probe;
    peer_statement_result statement;
    peer_config_result config;
    bool_t flag;
    peer_members_result members;
    peer_text_result text;
    peer_store_result store;
} peer_result_t;

/* A call to a peer. The strings in `args` are freed with it. */
typedef struct {
    message_t message;
    uint32_t procedure;
    char address[Cbw_ADDRESS_MAX];
    peer_args_t args;
    peer_result_t result; /* when it was answered */
    bool answered;
    cbw_time_t timeout;
    task_id_t reply_to;
    void *context;
    char name[Cbw_NAME_MAX]; /* for the task that made it */

    /* The peer task's part. */
    uint32_t xid;
    cbw_time_t deadline;
} outbound_t;

outbound_t *Outbound_New(uint32_t procedure, const char *address);
/* Frees the call with its arguments and result. */
void Outbound_Free(outbound_t *outbound);

/* A peer's call, for the task that answers it. */
struct inbound {
    message_t message;
    uint32_t procedure;
    peer_args_t args;
    peer_result_t result;
    void *connection; /* of the peer task */
    uint32_t xid;
};

/* Sets the text of a text result. */
void Inbound_SetText(inbound_t *inbound, bool found, const char *text);

/* The codecs of the peer protocol's procedures. */
typedef struct {
    xdrproc_t args;
    xdrproc_t result;
} peer_codec_t;

/* Indexed by procedure, up to PEER_REGISTRY. */
extern const peer_codec_t Peer_Codecs[];

/* Tasks. Each is created once and lives as long as the process. */
int EntryTask_Start(daemon_t *daemon, cbw_error_t *error);
void RouterTask_Start(daemon_t *daemon);
void OwnerTask_Start(daemon_t *daemon);
/* In place of the entry, owner and config tasks, for drivers with sessions,
 * without request keys, and with registrations. */
int SessionTask_Start(daemon_t *daemon, cbw_error_t *error);
void PoolTask_Start(daemon_t *daemon);
void RegistryTask_Start(daemon_t *daemon);
int PeerTask_Start(daemon_t *daemon, cbw_error_t *error);
int MemberTask_Start(daemon_t *daemon, cbw_error_t *error);
void ConfigTask_Start(daemon_t *daemon);
void StoreTask_Start(daemon_t *daemon);

#endif
