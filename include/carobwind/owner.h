/* The owner of one database whose endpoints keep request keys: queueing by
 * rank, routing, quorum confirmation, settling of unknown outcomes, health
 * checks and promotion. A promotion is a failover when the primary has failed,
 * and a switchover when it is planned because the primary is leaving.
 *
 * The owner does no I/O and reads no clock: it sends calls through
 * cbw_owner_ops_t, replies are passed in, and every function that needs the
 * time takes it as `now`. */
#ifndef CAROBWIND_OWNER_H
#define CAROBWIND_OWNER_H

#include "carobwind/confirm.h"
#include "carobwind/counter.h"
#include "carobwind/group.h"
#include "carobwind/promotion.h"
#include "carobwind/queue.h"
#include "carobwind/retry.h"
#include "carobwind/route.h"
#include "carobwind/trace.h"

/* Interval between state calls to an idle endpoint. */
#define Cbw_OWNER_STATE_INTERVAL (500 * Cbw_MSEC)
/* Admission is recomputed at this interval, to keep the estimated wait in the
 * queue at the target. */
#define Cbw_OWNER_ADMISSION_INTERVAL (20 * Cbw_MSEC)
#define Cbw_OWNER_ADMISSION_TARGET_WAIT (60 * Cbw_MSEC)
/* Maximum pause of writes during a planned switchover, and the time until the
 * next attempt when no replica caught up. */
#define Cbw_OWNER_SWITCHOVER_TIMEOUT (10 * Cbw_SEC)
/* How long a switchover waits for open transactions to end. */
#define Cbw_OWNER_SWITCHOVER_TRANSACTION_WAIT (2 * Cbw_SEC)
/* Interval between state calls to an endpoint that is slow or failed to
 * answer, and while there is no usable primary. */
#define Cbw_OWNER_FAST_STATE_INTERVAL (50 * Cbw_MSEC)
/* A state call that is not answered within this time counts as lost. */
#define Cbw_OWNER_STATE_TIMEOUT (250 * Cbw_MSEC)
/* A statement that is not answered within this time is retried on a new
 * connection; the time doubles with each attempt. */
#define Cbw_OWNER_ATTEMPT_TIMEOUT (400 * Cbw_MSEC)
/* A primary without a reply for this long is replaced. */
#define Cbw_OWNER_PRIMARY_TIMEOUT (450 * Cbw_MSEC)
/* How long after its deadline a request may still be confirmed or settled
 * before it is answered as unknown. */
#define Cbw_OWNER_SETTLE_GRACE (1500 * Cbw_MSEC)
/* An open transaction that is idle for longer is rolled back by closing its
 * connection. */
#define Cbw_OWNER_TRANSACTION_IDLE_TIMEOUT (5 * Cbw_SEC)
/* Longest time that a read waits for a replica to catch up before it goes to
 * the primary. */
#define Cbw_OWNER_REPLICA_WAIT (5 * Cbw_MSEC)
/* Number of recent decisions kept for CbwOwner_Explain. */
#define Cbw_OWNER_DECISIONS_MAX 32

/* Whether hosts in other data centres reach the primary. */
typedef enum {
    CBW_REACH_NOT_ASKED,
    CBW_REACH_ASKED, /* waiting for their answers */
    CBW_REACH_NONE,  /* none reaches it */
    CBW_REACH_MOVED, /* one reaches it, and ownership moves to that host */
} cbw_reach_t;

/* Text of each cbw_reach_t, indexed by value. */
extern const char *const CbwOwner_ReachString[];

/* Operations that the owner needs from its environment. `context` is the
 * pointer that was passed to CbwOwner_Init. */
typedef struct {
    /* Sends `call` to the endpoint; the reply is passed to CbwOwner_OnReply
     * with the call's id, possibly before this function returns. Returns false
     * if no connection is available. */
    bool (*call)(void *context, int endpoint, const cbw_call_t *call);
    /* Closes the connection that carries call `id`; no reply follows. */
    void (*abort)(void *context, int endpoint, uint64_t id);
    /* Releases the connection of a transaction. Unless `clean`, the
     * transaction may still be open on the connection, which is then closed.
     */
    void (*end_transaction)(void *context, int endpoint, uint64_t transaction,
                            bool clean);
    /* Hands a finished request back to whoever submitted it. */
    void (*answer)(void *context, cbw_request_t *request);
    /* Reads the group's record from the store; the result is passed to
     * CbwOwner_OnRecord. */
    void (*read_record)(void *context);
    /* Replaces the record if its version is still `version`; the result is
     * passed to CbwOwner_OnSwap. */
    void (*swap_record)(void *context, uint64_t version,
                        const cbw_group_record_t *record);
    /* Asks hosts in other data centres whether they reach the endpoint; the
     * result is passed to CbwOwner_OnReach. */
    void (*ask_reach)(void *context, int endpoint);
    /* Transfers ownership to `host`, which reaches the primary. */
    void (*move_ownership)(void *context, const char *host);
} cbw_owner_ops_t;

/* Policies that the owner is configured with. */
typedef struct {
    const cbw_queue_ops_t *queue;
    const cbw_limit_ops_t *limit;
    const cbw_route_ops_t *route;
    cbw_counters_t *counters; /* may be NULL */
    cbw_trace_ring_t *traces; /* may be NULL */
} cbw_owner_policies_t;

/* A call that has been sent and not yet answered. */
typedef struct {
    cbw_link_t link;
    uint64_t id;
    int endpoint;
    cbw_call_verb_t verb;
    cbw_time_t sent_at;
    cbw_time_t deadline;
    uint64_t sequence; /* STATE: its number in the confirmation sequence */
    uint64_t term;     /* FENCE, PROMOTE */
    /* NULL for control calls, and once the request has been answered. */
    cbw_request_t *request;
} cbw_outstanding_call_t;

/* An open transaction; it keeps its connection until it ends. */
typedef struct {
    cbw_link_t link;
    uint64_t id;
    int endpoint;
    uint64_t term; /* in which it began */
    cbw_time_t last_used_at;
    bool busy; /* a statement of it is in flight */
} cbw_transaction_t;

/* An entry of the decision log. */
typedef struct {
    cbw_time_t time;
    char text[120];
} cbw_decision_t;

/* The state of one owner. */
typedef struct {
    const cbw_database_t *database;
    const cbw_inventory_t *inventory;
    cbw_owner_policies_t policies;
    const cbw_owner_ops_t *ops;
    void *context;
    cbw_group_t group;
    cbw_queue_t primary_queue; /* writes, and reads that need the primary */
    cbw_queue_t replica_queue; /* reads */
    cbw_link_t parked;         /* reads that wait for a replica to catch up */
    cbw_confirm_t confirm;
    cbw_promotion_t promotion;
    cbw_time_t event_time; /* `now` of the event being handled */
    cbw_retry_budget_t retry_budget;
    cbw_link_t running;    /* requests with a call in flight */
    cbw_link_t confirming; /* requests that wait for a confirmation */
    cbw_link_t settling;   /* requests whose key is being settled */
    cbw_link_t outstanding_calls;
    cbw_link_t transactions;
    uint64_t last_call_id;
    /* The state call in flight to each endpoint; NULL: none. */
    cbw_outstanding_call_t *state_calls[Cbw_ENDPOINTS_MAX];
    cbw_time_t state_call_sent_at[Cbw_ENDPOINTS_MAX]; /* 0: never */
    /* Consecutive state calls that were not sent, not answered in time or not
     * answered with CBW_REPLY_OK. */
    int state_call_failures[Cbw_ENDPOINTS_MAX];
    /* Number of the first state call of the confirmation round; 0: none. */
    uint64_t round_sequence;
    cbw_time_t round_started_at;
    /* A read waits for a more recent confirmation. Currently never set. */
    bool round_wanted;
    cbw_time_t follow_sent_at[Cbw_ENDPOINTS_MAX]; /* last FOLLOW call */
    cbw_reach_t reach;
    /* When `reach` became CBW_REACH_ASKED or CBW_REACH_MOVED. */
    cbw_time_t reach_changed_at;
    cbw_time_t switchover_started_at; /* 0: no switchover under way */
    cbw_time_t switchover_retry_at;
    cbw_time_t started_at;
    cbw_time_t next_admission_at;
    int admission_permille[Cbw_RANKS_MAX];
    cbw_decision_t decisions[Cbw_OWNER_DECISIONS_MAX];
    size_t decision_count; /* ever logged */
} cbw_owner_t;

/* Initializes an owner. `database`, `inventory` and `ops` must outlive it;
 * `nonce` must be unique to this owner in the fleet. */
void CbwOwner_Init(cbw_owner_t *owner, const cbw_inventory_t *inventory,
                   const cbw_database_t *database,
                   const cbw_owner_policies_t *policies,
                   const cbw_owner_ops_t *ops, void *context, uint64_t nonce,
                   cbw_time_t now);
/* Answers every request that the owner still holds and frees all memory. */
void CbwOwner_Finish(cbw_owner_t *owner, cbw_time_t now);
/* Hands back, with outcome pending, the queued requests that were never sent,
 * so that another owner can take them. */
void CbwOwner_ReturnUnsent(cbw_owner_t *owner);
/* Switches to a new inventory, in which this database must have the same
 * endpoints as before. */
void CbwOwner_SetInventory(cbw_owner_t *owner,
                           const cbw_inventory_t *inventory,
                           const cbw_database_t *database);
/* Sets whether the endpoint is leaving, as told by the inventory or by the
 * platform's endpoint list. */
void CbwOwner_SetLeaving(cbw_owner_t *owner, int endpoint, bool leaving);

/* Submits a request. The owner holds it until it passes it to ops->answer,
 * which may happen before this function returns. */
void CbwOwner_Submit(cbw_owner_t *owner, cbw_time_t now,
                     cbw_request_t *request);
/* Passes in the reply to call `id`. Replies to calls that have timed out are
 * ignored. */
void CbwOwner_OnReply(cbw_owner_t *owner, cbw_time_t now, uint64_t id,
                      const cbw_reply_t *reply);
/* Passes in the result of ops->read_record. */
void CbwOwner_OnRecord(cbw_owner_t *owner, cbw_time_t now,
                       cbw_store_status_t status, uint64_t version,
                       const cbw_group_record_t *record);
/* Passes in the result of ops->swap_record. */
void CbwOwner_OnSwap(cbw_owner_t *owner, cbw_time_t now,
                     cbw_store_status_t status, uint64_t version);
/* Passes in the result of ops->ask_reach: the host that reaches the endpoint,
 * or NULL when none does. */
void CbwOwner_OnReach(cbw_owner_t *owner, cbw_time_t now, const char *host);
/* Closes the connection of a transaction whose caller has disconnected, which
 * rolls it back. Does nothing while one of its statements is in flight. */
void CbwOwner_OnCallerDisconnected(cbw_owner_t *owner, uint64_t transaction);
/* Handles timeouts and periodic work. Call it every few milliseconds. */
void CbwOwner_Tick(cbw_owner_t *owner, cbw_time_t now);
/* Whether the owner holds no request and no open transaction. */
bool CbwOwner_IsIdle(const cbw_owner_t *owner);
/* The share of requests of `rank` that entries should admit, in 1/1000. */
int CbwOwner_Admission(const cbw_owner_t *owner, int rank);
/* Writes a description of the owner's state for operators, one
 * "name<TAB>value" line per item, and returns its length. Text that does not
 * fit into `size` bytes is cut off. */
size_t CbwOwner_Explain(const cbw_owner_t *owner, cbw_time_t now, char *text,
                        size_t size);

#endif
