/* The owner of one database: queue by rank, routing, confirmation, settlement
 * of unknown outcomes, promotion.  Pure: calls go out through a table of
 * functions, answers come in, `now` is an argument. */
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

/* How often an idle endpoint is asked for its state. */
#define Cbw_OWNER_STATE_INTERVAL (500 * Cbw_MSEC)
/* Admission is worked out this often, from the wait in the queue. */
#define Cbw_OWNER_ADMISSION_INTERVAL (20 * Cbw_MSEC)
#define Cbw_OWNER_ADMISSION_TARGET_WAIT (60 * Cbw_MSEC)
/* Longest pause of writes while the primary hands over, and time until the
 * next try when no replica caught up. */
#define Cbw_OWNER_SWITCHOVER_TIMEOUT (10 * Cbw_SEC)
#define Cbw_OWNER_SWITCHOVER_TRANSACTION_WAIT (2 * Cbw_SEC)
/* How often an endpoint is asked that owes an answer, or while there is no
 * usable primary. */
#define Cbw_OWNER_FAST_STATE_INTERVAL (50 * Cbw_MSEC)
/* A state call without an answer for so long counts as lost. */
#define Cbw_OWNER_STATE_TIMEOUT (250 * Cbw_MSEC)
/* A statement without an answer for so long is tried on a new connection. */
#define Cbw_OWNER_ATTEMPT_TIMEOUT (400 * Cbw_MSEC)
/* A primary that gives no sign of life for so long is replaced. */
#define Cbw_OWNER_PRIMARY_TIMEOUT (450 * Cbw_MSEC)
/* How long past its deadline a request may take to be settled. */
#define Cbw_OWNER_SETTLE_GRACE (1500 * Cbw_MSEC)
/* An open transaction without a statement for so long is rolled back. */
#define Cbw_OWNER_TRANSACTION_IDLE_TIMEOUT (5 * Cbw_SEC)
/* Longest wait for a replica to catch up before the primary is read. */
#define Cbw_OWNER_REPLICA_WAIT (5 * Cbw_MSEC)
#define Cbw_OWNER_DECISIONS_MAX 32

/* Whether peers in other data centres reach the primary. */
typedef enum {
    CBW_REACH_NOT_ASKED,
    CBW_REACH_ASKED,
    CBW_REACH_NONE,
    CBW_REACH_MOVED, /* one does: ownership moved there */
} cbw_reach_t;

/* Names of the members of cbw_reach_t, in their order. */
extern const char *const CbwOwner_ReachString[];

typedef struct {
    /* Sends `call` to the endpoint; the reply comes as CbwOwner_OnReply with
     * its id. Returns false when no connection is to be had now. */
    bool (*call)(void *context, int endpoint, const cbw_call_t *call);
    /* Drops the connection that carries call `id`; no reply follows. */
    void (*abort)(void *context, int endpoint, uint64_t id);
    /* Frees the connection of a transaction. When the end is not `clean`, the
     * connection may still hold it, and is dropped. */
    void (*end_transaction)(void *context, int endpoint, uint64_t transaction,
                            bool clean);
    void (*answer)(void *context, cbw_request_t *request);
    /* The store's record of this group. */
    void (*read_record)(void *context);
    void (*swap_record)(void *context, uint64_t version,
                        const cbw_group_record_t *record);
    /* Asks peers in other data centres whether they reach the endpoint;
     * answered by CbwOwner_OnReach. */
    void (*ask_reach)(void *context, int endpoint);
    /* Ownership should move to `host`, which reaches the primary. */
    void (*move_ownership)(void *context, const char *host);
} cbw_owner_ops_t;

typedef struct {
    const cbw_queue_ops_t *queue;
    const cbw_limit_ops_t *limit;
    const cbw_route_ops_t *route;
    cbw_counters_t *counters; /* may be NULL */
    cbw_trace_ring_t *traces; /* may be NULL */
} cbw_owner_policies_t;

/* One call on its way. */
typedef struct {
    cbw_link_t link;
    uint64_t id;
    int endpoint;
    cbw_call_verb_t verb;
    cbw_time_t sent_at;
    cbw_time_t deadline;
    uint64_t sequence;      /* STATE: number of the confirmation question */
    uint64_t term;          /* FENCE, PROMOTE */
    cbw_request_t *request; /* NULL for control calls */
} cbw_outstanding_call_t;

typedef struct {
    cbw_link_t link;
    uint64_t id;
    int endpoint;
    uint64_t term;
    cbw_time_t last_used_at;
    bool busy;
} cbw_transaction_t;

typedef struct {
    cbw_time_t time;
    char text[120];
} cbw_decision_t;

typedef struct {
    const cbw_database_t *database;
    const cbw_inventory_t *inventory;
    cbw_owner_policies_t policies;
    const cbw_owner_ops_t *ops;
    void *context;
    cbw_group_t group;
    cbw_queue_t primary_queue; /* writes, and reads that need the primary */
    cbw_queue_t replica_queue; /* reads */
    cbw_link_t parked;         /* reads that wait for a replica */
    cbw_confirm_t confirm;
    cbw_promotion_t promotion;
    cbw_time_t event_time; /* time of the event being handled */
    cbw_retry_budget_t retry_budget;
    cbw_link_t running;    /* requests with a call on its way */
    cbw_link_t confirming; /* requests that wait for a confirmation */
    cbw_link_t settling;   /* requests whose key is being settled */
    cbw_link_t outstanding_calls;
    cbw_link_t transactions;
    uint64_t last_call_id;
    cbw_outstanding_call_t *state_calls[Cbw_ENDPOINTS_MAX];
    cbw_time_t state_call_sent_at[Cbw_ENDPOINTS_MAX];
    int state_timeouts[Cbw_ENDPOINTS_MAX]; /* in a row */
    uint64_t round_sequence; /* question whose proof dates `proof_sent` */
    cbw_time_t round_started_at;
    bool round_wanted; /* a read waits for a fresher proof */
    cbw_time_t follow_sent_at[Cbw_ENDPOINTS_MAX]; /* last told to follow */
    cbw_reach_t reach;
    cbw_time_t reach_asked_at;
    cbw_time_t switchover_started_at; /* 0: the primary is not leaving */
    cbw_time_t switchover_retry_at;
    cbw_time_t started_at;
    cbw_time_t next_admission_at;
    int admission_permille[Cbw_RANKS_MAX]; /* in 1/1000 */
    cbw_decision_t decisions[Cbw_OWNER_DECISIONS_MAX];
    size_t decision_count;
} cbw_owner_t;

/* `database` and `inventory` must outlive the owner. `nonce` is unique to this
 * owner in the fleet. */
void CbwOwner_Init(cbw_owner_t *owner, const cbw_inventory_t *inventory,
                   const cbw_database_t *database,
                   const cbw_owner_policies_t *policies,
                   const cbw_owner_ops_t *ops, void *context, uint64_t nonce,
                   cbw_time_t now);
/* Answers every request that is still inside; frees all memory. */
void CbwOwner_Finish(cbw_owner_t *owner, cbw_time_t now);
/* Hands back the queued requests that were never sent, as pending, so that
 * another owner can take them. */
void CbwOwner_ReturnUnsent(cbw_owner_t *owner);
/* A new inventory that still has this database with the same endpoints. */
void CbwOwner_SetInventory(cbw_owner_t *owner,
                           const cbw_inventory_t *inventory,
                           const cbw_database_t *database);
/* Marks an endpoint that the platform's list says is leaving. */
void CbwOwner_SetLeaving(cbw_owner_t *owner, int endpoint, bool leaving);

/* Takes in a request; it stays with the owner until ops->answer. */
void CbwOwner_Submit(cbw_owner_t *owner, cbw_time_t now,
                     cbw_request_t *request);
void CbwOwner_OnReply(cbw_owner_t *owner, cbw_time_t now, uint64_t id,
                      const cbw_reply_t *reply);
void CbwOwner_OnRecord(cbw_owner_t *owner, cbw_time_t now,
                       cbw_store_status_t status, uint64_t version,
                       const cbw_group_record_t *record);
void CbwOwner_OnSwap(cbw_owner_t *owner, cbw_time_t now,
                     cbw_store_status_t status, uint64_t version);
/* A peer reaches the endpoint (`host` names it), or none does (NULL). */
void CbwOwner_OnReach(cbw_owner_t *owner, cbw_time_t now, const char *host);
/* The caller of a transaction went away. */
void CbwOwner_EndTransaction(cbw_owner_t *owner, uint64_t transaction);
/* Runs what is due. Call it every few milliseconds. */
void CbwOwner_Tick(cbw_owner_t *owner, cbw_time_t now);
/* No request is inside. */
bool CbwOwner_IsIdle(const cbw_owner_t *owner);
/* The share of requests of `rank` that entries should let through, in 1/1000.
 */
int CbwOwner_Admission(const cbw_owner_t *owner, int rank);
/* Writes a description for operators. Returns its length. */
size_t CbwOwner_Explain(const cbw_owner_t *owner, cbw_time_t now, char *text,
                        size_t size);

#endif
