/* The messages that the daemon's tasks exchange, and the state that all of
 * them share. */
#ifndef CAROBWINDD_MESSAGES_H
#define CAROBWINDD_MESSAGES_H

#include "carobwind/counter.h"
#include "carobwind/inventory.h"
#include "carobwind/latency.h"
#include "carobwind/membership.h"
#include "carobwind/promotion.h"
#include "carobwind/request.h"
#include "carobwind/trace.h"
#include "carobwind/traffic.h"
#include "settings.h"
#include "share/peer_rpc.h"
#include "task.h"

/* State shared by all tasks of the process. Counters, latencies and traces are
 * kept per process; each task adds to them. */
typedef struct {
    struct ev_loop *loop;
    settings_t settings;
    char local_ip[16];     /* source address of outgoing connections */
    uint64_t nonce;        /* random, differs with each start of the process */
    uint64_t owner_nonce;  /* base of the nonces of owners that hold tenures,
                              see nonce.h */
    uint64_t transactions; /* ids given by Job_NewTransaction */
    cbw_counters_t counters;
    cbw_traffic_t traffic;
    cbw_latencies_t latencies;
    cbw_trace_ring_t traces;
    /* Inputs of the load balancer's readiness check: whether a configuration
     * is in force (set by the registry task; the config task does not set it),
     * and whether the membership was published to the tasks. */
    bool configured;
    bool view_published;
    /* This host joins the membership without work and takes it only once it is
     * ready to serve the databases that it will own. It also writes its own
     * record to the platform's host list. Set where the pool task runs. */
    bool prepares_before_serving;
    bool draining;
    bool store_reachable; /* by this host itself, not through a peer */
    bool in_minority;     /* fewer than half of the members answer */
    /* Delay of this host's own event loop and link, see local_health.h; set by
     * the member task. */
    cbw_time_t local_delay;
} daemon_t;

/* Whether this host reaches neither the store nor half of the members. Callers
 * are then better served by other hosts. */
bool Daemon_IsIsolated(const daemon_t *daemon);

/* A configuration in force. Immutable and reference-counted. */
typedef struct {
    int references;
    char *text; /* as the operators wrote it; NULL: from a registry */
    /* Grows with each change; peers compare it. The registry revision or,
     * without a registry, the configuration version. */
    int64_t revision;
    uint64_t digest; /* tells apart different contents of one revision */
    cbw_inventory_t inventory;
} config_t;

/* Adds a reference and returns `config`. */
config_t *Config_Ref(config_t *config);
/* Drops a reference and frees `config` with the last one. NULL is allowed. */
void Config_Unref(config_t *config);

/* A snapshot of the membership. Reference-counted. */
typedef struct {
    int references;
    /* For look-ups. */
    cbw_membership_t membership;
} view_t;

/* Adds a reference and returns `view`. */
view_t *View_Ref(view_t *view);
/* Drops a reference and frees `view` with the last one. NULL is allowed. */
void View_Unref(view_t *view);
/* Replaces `*view` by the view of `message`, a MESSAGE_VIEW. Drops the old
 * reference, takes over the message's one and frees the message. */
void View_Replace(view_t **view, message_t *message);

/* MESSAGE_VIEW, and MESSAGE_PEERS_KNOWN, which goes to the registry task only:
 * before the first view, the members that this host has heard of. */
typedef struct {
    message_t message;
    view_t *view; /* a reference that passes to the receiver */
} view_message_t;

/* MESSAGE_CONFIG. */
typedef struct {
    message_t message;
    config_t *config; /* a reference that passes to the receiver */
} config_message_t;

/* MESSAGE_PEER_VERSION: the peer's configuration has a higher
 * config_t.revision than this host's, or the same with another digest. */
typedef struct {
    message_t message;
    char address[Cbw_ADDRESS_MAX]; /* of the peer */
    int64_t peer_revision;         /* config_t.revision of the peer */
    uint64_t digest;               /* config_t.digest of the peer */
    bool local;                    /* the peer is in this host's data centre */
} peer_version_message_t;

/* MESSAGE_DRAIN_REPORT. The main task sends it while the host drains, and the
 * task sends it back filled in. */
typedef struct {
    message_t message;
    size_t busy_count; /* pieces of work that keep the task from stopping */
} report_message_t;

/* MESSAGE_JOB and MESSAGE_JOB_DONE: a request in flight between tasks. It is
 * created and freed by the task that received the request (entry, session or
 * peer task). */
typedef struct {
    message_t message;
    cbw_request_t request;
    task_id_t reply_to;          /* gets MESSAGE_JOB_DONE */
    void *origin;                /* for the task that created the job */
    bool to_owner;               /* not to a read dispatcher (again) */
    cbw_time_t retry_at;         /* when the router tries again */
    char host[Cbw_NAME_MAX];     /* the host that it was last sent to */
    char moved_to[Cbw_NAME_MAX]; /* set by an owner that hands the job back:
                                    the host to try instead; "": none */
    /* `moved_to` has to take the tenure, a time-limited right held in the
     * store, over from the present holder. Set by pools only. */
    bool moved_takes;
    int admission[Cbw_RANKS_MAX]; /* the share that the owner admits, by rank,
                                     in 1/1000 */
    int admission_count;          /* 0: the owner sent no shares */
    bool cancelled; /* its caller left: the router does not route it again */
} job_t;

/* Job_New aborts the process when there is no memory. */
job_t *Job_New(void);
/* Returns an id for a transaction, unique among all hosts and their restarts.
 */
uint64_t Job_NewTransaction(daemon_t *daemon);
void Job_Free(job_t *job);

typedef struct inbound inbound_t;

/* Operations of the store. Their numbers are sent in PEER_STORE calls. */
typedef enum {
    STORE_GET,
    STORE_SWAP,  /* compares the version and swaps the value */
    STORE_WATCH, /* long poll for another version of a record */
    STORE_HOSTS, /* the platform's host list */
    STORE_RANGE, /* all records whose keys begin with `key` */
    /* Long poll for changes, after `version`, of records whose keys begin with
     * `key`. */
    STORE_CHANGES,
    STORE_DELETE,
    /* Succeeds if the record has the version still, else ends as
     * CBW_STORE_CONFLICT. Returns no value. */
    STORE_CHECK,
} store_verb_t;

/* A record of the store, or its removal. */
typedef struct {
    char *key;
    char *value; /* NULL: removed */
    size_t value_size;
    uint64_t version;
} store_item_t;

/* MESSAGE_STORE and MESSAGE_STORE_DONE: a call to the store. Freed by the task
 * that made it. */
typedef struct {
    message_t message;
    store_verb_t verb;
    char key[Cbw_NAME_MAX + 16];
    /* The expected version, or the one after which CHANGES reports; in the
     * answer, the one found. GET, SWAP, WATCH: of the record. RANGE, CHANGES:
     * the store revision. */
    uint64_t version;
    char *value;     /* to be written; in the answer, as read; owned */
    cbw_time_t wait; /* WATCH, CHANGES: longest time of the poll */
    cbw_store_status_t status;
    char **words; /* HOSTS: name, data centre, peer address and state of each
                     host; owned */
    int word_count;
    store_item_t *items; /* RANGE, CHANGES; owned */
    size_t item_count;
    bool unconditional; /* SWAP: writes whatever the version is */
    bool may_be_stale;  /* a stale answer, which costs less, is sufficient */
    task_id_t reply_to; /* gets MESSAGE_STORE_DONE */
    void *context;      /* for the task that made the call */

    /* Set by the store task and its driver. */
    void *driver_state;
    /* A peer makes the call, because this host cannot. Also read by the
     * registry task. */
    bool through_peer;
    int peers_asked;
    /* The peer's call for which this one is made; NULL: a task of this host
     * made it. */
    inbound_t *inbound;
    uint64_t id;
    cbw_time_t deadline;
} store_call_t;

store_call_t *StoreCall_New(store_verb_t verb, const char *key);
void StoreCall_Free(store_call_t *call);

/* Arguments of a procedure of the peer protocol. */
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
    peer_registry_diff_args registry_diff;
    peer_members_diff_args members_diff;
    peer_quota_args quota;
    peer_cancel_args cancel;
    peer_sample_args sample;
    peer_accept_loss_args accept_loss;
} peer_args_t;

/* Result of a procedure of the peer protocol. */
typedef union {
    peer_probe_result probe;
    peer_statement_result statement;
    peer_config_result config;
    bool_t flag;
    peer_members_result members;
    peer_text_result text;
    peer_store_result store;
    peer_quota_result quota;
    peer_sample_result sample;
} peer_result_t;

/* Why a call to a peer has no answer. */
typedef enum {
    OUTBOUND_LOST,    /* the peer may have received it */
    OUTBOUND_UNSENT,  /* there is no connection: it was not sent */
    OUTBOUND_REFUSED, /* it could not be encoded, or the peer could not decode
                         it: it was not started, and would not be later */
} outbound_failure_t;

/* MESSAGE_OUTBOUND and MESSAGE_OUTBOUND_DONE: a call to a peer. It owns the
 * strings and arrays in `args` and `result`. Freed by the task that made it.
 */
typedef struct {
    message_t message;
    uint32_t procedure;
    char address[Cbw_ADDRESS_MAX]; /* of the peer */
    peer_args_t args;
    peer_result_t result; /* set when `answered` */
    bool answered;
    outbound_failure_t failure; /* unless `answered` */
    cbw_time_t timeout;         /* from when it is sent */
    /* Must not be repeated: waits for the answer until its timeout, also while
     * the peer is unresponsive. */
    bool patient;
    task_id_t reply_to; /* gets MESSAGE_OUTBOUND_DONE */
    void *context;      /* for the task that made the call */
    /* Also for the task that made the call: the host that the call is about,
     * and the round of PEER_REACH calls. */
    char name[Cbw_NAME_MAX];
    uint32_t reach_round;

    /* Used by the peer task only. */
    uint32_t xid;
    cbw_time_t deadline;
} outbound_t;

/* Aborts the process when there is no memory. */
outbound_t *Outbound_New(uint32_t procedure, const char *address);
/* Frees the call with its arguments and result. */
void Outbound_Free(outbound_t *outbound);

/* MESSAGE_INBOUND and MESSAGE_INBOUND_DONE: a peer's call. The task that gets
 * it sets `result` and sends it back to the peer task, which frees it. */
struct inbound {
    message_t message;
    uint32_t procedure;
    peer_args_t args;
    peer_result_t result;
    void *connection; /* that the call came on; the peer task's */
    uint32_t xid;
};

/* Sets a peer_text_result to a copy of `text`. `found` tells the caller
 * whether the subject of its call exists here. */
void Inbound_SetText(inbound_t *inbound, bool found, const char *text);

/* XDR codecs of one procedure of the peer protocol. */
typedef struct {
    xdrproc_t args;
    xdrproc_t result;
} peer_codec_t;

/* Indexed by procedure, up to PEER_MEMBERS_DIFF. Unassigned numbers have no
 * codecs. */
extern const peer_codec_t Peer_Codecs[];
/* Metric names of the procedures, and of store_verb_t, by their numbers. */
extern const char *const Peer_KindString[Cbw_TRAFFIC_KINDS];
extern const char *const Store_VerbString[Cbw_TRAFFIC_VERBS];

/* The tasks. Each is started once and runs as long as the process. Those that
 * can fail return 0, or -1 with `error` set. */
int EntryTask_Start(daemon_t *daemon, cbw_error_t *error);
void RouterTask_Start(daemon_t *daemon);
void OwnerTask_Start(daemon_t *daemon);
/* Runs in place of the entry task unless callers speak RESP. */
int SessionTask_Start(daemon_t *daemon, cbw_error_t *error);
/* Runs in place of the owner task when endpoints keep no request keys. */
void PoolTask_Start(daemon_t *daemon);
/* Runs in place of the config task when endpoints register themselves. */
void RegistryTask_Start(daemon_t *daemon);
int PeerTask_Start(daemon_t *daemon, cbw_error_t *error);
int MemberTask_Start(daemon_t *daemon, cbw_error_t *error);
void ConfigTask_Start(daemon_t *daemon);
void StoreTask_Start(daemon_t *daemon);

#endif
