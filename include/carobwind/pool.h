/* The owner of one database whose endpoints keep no request keys: what was
 * sent and not answered cannot be settled, so it ends as unknown at once.
 * Queue by rank, choice of endpoint by known positions, transactions, and the
 * order of a promotion under a tenure.  Pure: calls go out through a table of
 * functions, answers come in, `now` is an argument. */
#ifndef CAROBWIND_POOL_H
#define CAROBWIND_POOL_H

#include "carobwind/counter.h"
#include "carobwind/endpoint.h"
#include "carobwind/inventory.h"
#include "carobwind/latency.h"
#include "carobwind/limit.h"
#include "carobwind/queue.h"
#include "carobwind/tenure.h"

/* Endpoints of one database that come and go during a replacement. */
#define Cbw_POOL_ENDPOINTS_MAX 12
#define Cbw_POOL_SAMPLES_MAX 256
/* Positions of the primary are kept this far apart. */
#define Cbw_POOL_SAMPLE_INTERVAL (10 * Cbw_MSEC)
/* An endpoint that owes an answer is asked for its status after this silence:
 * above the longest statement of the users' sheets but for its tail. */
#define Cbw_POOL_PROBE_AFTER (200 * Cbw_MSEC)
/* A status call without an answer for so long has failed. */
#define Cbw_POOL_PROBE_TIMEOUT (250 * Cbw_MSEC)
/* Failed calls in a row after which an endpoint counts as down. */
#define Cbw_POOL_FAILURES_UNTIL_DOWN 2
/* How often an endpoint that is down is tried. */
#define Cbw_POOL_DOWN_RETRY_INTERVAL (300 * Cbw_MSEC)
/* How often a primary without traffic is asked for its status. */
#define Cbw_POOL_IDLE_PROBE_INTERVAL (500 * Cbw_MSEC)
/* A replica that lacked a position is passed over for so long; longer each
 * time that it still does. */
#define Cbw_POOL_LAG_BACKOFF (30 * Cbw_MSEC)
#define Cbw_POOL_LAG_BACKOFF_MAX (480 * Cbw_MSEC)
/* An endpoint that had no room is passed over for so long. */
#define Cbw_POOL_BUSY_BACKOFF (5 * Cbw_MSEC)
/* Most tries of one request. */
#define Cbw_POOL_ATTEMPTS_MAX 6
/* Longest wait for statements and transactions before a planned promotion. */
#define Cbw_POOL_DRAIN_TIMEOUT (1500 * Cbw_MSEC)
/* How long statuses are gathered before a candidate is chosen. */
#define Cbw_POOL_CANDIDATE_STATUS_TIMEOUT (80 * Cbw_MSEC)
/* How often a candidate is asked whether it is the primary by now. */
#define Cbw_POOL_STATUS_POLL_INTERVAL (50 * Cbw_MSEC)
/* After this time without a new primary, the order is given again. */
#define Cbw_POOL_PROMOTION_RETRY_AFTER (2500 * Cbw_MSEC)
#define Cbw_POOL_REACHABILITY_TIMEOUT (300 * Cbw_MSEC)
/* An open transaction without a statement for so long is rolled back, unless
 * the operators' configuration sets it. */
#define Cbw_POOL_TRANSACTION_IDLE_TIMEOUT (3 * Cbw_SEC)
#define Cbw_POOL_DECISIONS_MAX 32
/* A request that no endpoint may take now is told to come back after this part
 * of its aim; the users price what is held longer without being offered. */
#define Cbw_POOL_BLOCKED_WAIT_DIVISOR 4
/* One that waits while others are served is refused after this part of its
 * aim. Past three quarters the statement itself would end late; with 60 the
 * third try of the users' callers that have three aims until their deadline
 * is not held for over half of the time that it has. */
#define Cbw_POOL_QUEUE_WAIT_PERCENT 60
/* When it may come back: about what a promotion takes. */
#define Cbw_POOL_REFUSED_RETRY_AFTER (300 * Cbw_MSEC)
/* How long an owner leaves the database to the one that the record names
 * before it reads the record again: a fraction of the time in which a dead
 * host is found. */
#define Cbw_POOL_DEFER_INTERVAL (500 * Cbw_MSEC)
/* How often endpoints are asked who leads while the store is silent: what it
 * adds to an answer is a small part of the shortest aim (150 ms). */
#define Cbw_POOL_CONFIRM_INTERVAL (40 * Cbw_MSEC)
/* Nothing new is sent by an older word of the endpoints. */
#define Cbw_POOL_CONFIRM_VALID_FOR (500 * Cbw_MSEC)
/* They are asked so long before the tenure ends, so that service goes on. */
#define Cbw_POOL_CONFIRM_HEAD_START (250 * Cbw_MSEC)
/* They are not asked when no request came for so long. */
#define Cbw_POOL_CONFIRM_IDLE_TIMEOUT Cbw_SEC
/* How long one request that its entry could not bring to the holder lets this
 * owner take over; as long as entries avoid a host that is lost. */
#define Cbw_POOL_TAKE_OVER_WINDOW (600 * Cbw_MSEC)

/* A place in an endpoint's log; terms come first. */
typedef struct {
    uint64_t term;
    uint64_t index;
} cbw_position_t;

/* Less than, equal to or greater than 0, as for memcmp. */
int CbwPosition_Compare(cbw_position_t a, cbw_position_t b);

typedef struct {
    /* Sends `call`; the reply comes as CbwPool_OnReply with its id. Returns
     * false when no connection is to be had. */
    bool (*call)(void *context, int endpoint, const cbw_call_t *call);
    /* Drops the connection that carries the call; no reply follows. Returns
     * whether any of the call may have reached the endpoint. */
    bool (*abort)(void *context, int endpoint, uint64_t id);
    void (*end_transaction)(void *context, int endpoint, uint64_t transaction,
                            bool clean);
    void (*answer)(void *context, cbw_request_t *request);
    /* The endpoint in this place is new, or gone. */
    void (*attach)(void *context, int endpoint, const cbw_endpoint_t *info);
    void (*detach)(void *context, int endpoint);
    void (*read_record)(void *context);
    void (*swap_record)(void *context, uint64_t version,
                        const cbw_tenure_record_t *record);
    void (*ask_to_relinquish)(void *context,
                              const cbw_tenure_holder_t *former);
    /* Orders a promotion; answered by CbwPool_OnPromoteReply. */
    void (*request_promotion)(void *context, const char *endpoint,
                              uint64_t fence);
    /* Asks peers whether they reach the endpoint; CbwPool_OnReachability. */
    void (*ask_reachability)(void *context, int endpoint);
    /* The owner should be `host`; `takes`: it must take over from this one,
     * else it holds already. Returns whether that host is there. */
    bool (*redirect)(void *context, const char *host, bool takes);
    /* A line for the log. */
    void (*log_decision)(void *context, const char *text);
} cbw_pool_ops_t;

typedef enum {
    CBW_PROMOTE_ACCEPTED,
    CBW_PROMOTE_REFUSED, /* the candidate is not running */
    CBW_PROMOTE_LOST,    /* no answer: it may have been taken */
} cbw_promote_status_t;

/* Names of the members of cbw_promote_status_t, in their order. */
extern const char *const CbwPool_PromoteStatusString[];

typedef enum {
    CBW_POOL_SERVING,
    CBW_POOL_CHECKING_REACHABILITY, /* do peers reach the primary? */
    CBW_POOL_DRAINING,        /* a planned change waits for what is running */
    CBW_POOL_CLAIMING,        /* swaps the record */
    CBW_POOL_AWAITING_EXPIRY, /* for the end of others' rights */
    CBW_POOL_REQUESTING_PROMOTION,
    CBW_POOL_POLLING_CANDIDATE, /* until the candidate is the primary */
    CBW_POOL_PUBLISHING,        /* swaps the record back */
} cbw_pool_phase_t;

/* Names of the members of cbw_pool_phase_t, in their order. */
extern const char *const CbwPool_PhaseString[];

typedef struct {
    bool used;
    bool listed; /* in the present inventory */
    cbw_endpoint_t info;
    int in_flight;
    int transactions;
    cbw_position_t position;        /* latest of its log that was heard of */
    cbw_position_t status_position; /* of its last status */
    uint64_t status_term;           /* of its last status */
    bool is_primary;                /* by its last status */
    cbw_time_t status_sent_at;      /* when that was asked; 0: never */
    cbw_time_t last_reply_at;
    cbw_time_t unanswered_since; /* of the oldest call without an answer */
    cbw_time_t skip_until;
    cbw_time_t lag_backoff_until; /* it lacked a position; tried again then */
    cbw_time_t lag_backoff;       /* the present one */
    bool is_local;                /* in the data centre of the owner */
    int consecutive_failures;     /* of new connections, in a row */
    bool suspect; /* a call was lost: a new connection will tell */
    bool down;
    uint64_t status_call_id; /* 0: none is on its way */
    cbw_time_t status_due_at;
    uint64_t step_down_term; /* it has to be told; 0: no */
    cbw_time_t step_down_due_at;
} cbw_pool_endpoint_t;

typedef struct {
    cbw_time_t time;         /* all that was acknowledged by then ... */
    cbw_position_t position; /* ... is in the log up to here */
} cbw_pool_sample_t;

typedef struct {
    cbw_time_t time;
    char text[160];
} cbw_pool_decision_t;

typedef struct {
    char database[Cbw_NAME_MAX];
    char data_centre[Cbw_NAME_MAX]; /* of the owner */
    const cbw_pool_ops_t *ops;
    void *context;
    const cbw_queue_ops_t *queue_policy;
    cbw_counters_t *counters;   /* may be NULL */
    cbw_latencies_t *latencies; /* may be NULL, as after init */
    cbw_tenure_t tenure;
    cbw_pool_endpoint_t endpoints[Cbw_POOL_ENDPOINTS_MAX];
    int primary; /* place of the record's primary; -1: not listed */
    cbw_queue_t primary_queue; /* writes, and reads of the latest */
    cbw_queue_t replica_queue; /* other reads */
    cbw_link_t running;
    cbw_link_t held_answers; /* answered, and not proven yet */
    cbw_link_t outstanding;
    cbw_link_t transactions;
    uint64_t next_call;
    cbw_position_t
        primary_position; /* of the primary's log, as far as heard */
    cbw_position_t
        promotion_position;  /* where the present primary began to lead */
    uint64_t promotion_term; /* of the primary at the floor; 0: not known */
    cbw_pool_sample_t samples[Cbw_POOL_SAMPLES_MAX];
    size_t sample_count; /* samples written ever */
    bool synchronous;
    bool confirming;         /* endpoints are asked, as the store is silent */
    cbw_time_t confirmed_at; /* nobody else had been promoted; 0: unknown */
    uint64_t confirmed_term; /* of the primary by its endpoints */
    cbw_pool_sample_t unconfirmed_sample; /* newer than that; time 0: none */
    cbw_time_t last_submit_at;            /* when the last request came */
    cbw_pool_phase_t phase;
    cbw_time_t phase_since;
    bool planned;
    int candidate;
    unsigned refused_candidates; /* candidates that turned out not to run */
    char previous_primary[Cbw_NAME_MAX]; /* primary before the promotion */
    uint64_t previous_primary_term;
    cbw_time_t primary_unreachable_until; /* no peer reached the primary */
    bool assigned; /* the fleet's order names this owner */
    cbw_time_t
        take_over_until; /* requests say that the holder does not answer */
    cbw_time_t redirected_until;
    cbw_time_t transaction_idle_timeout; /* then it is rolled back */
    bool stopping;
    cbw_pool_decision_t decisions[Cbw_POOL_DECISIONS_MAX];
    size_t decision_count;
} cbw_pool_t;

/* `nonce` is unique to this owner in the fleet. */
void CbwPool_Init(cbw_pool_t *pool, const char *database,
                  const cbw_queue_ops_t *queue_policy, const cbw_rank_t *ranks,
                  size_t rank_count, const cbw_pool_ops_t *ops, void *context,
                  uint64_t nonce, const char *host, const char *data_centre,
                  cbw_counters_t *counters);
/* Answers every request that is still inside; frees all memory. */
void CbwPool_Finish(cbw_pool_t *pool, cbw_time_t now);
/* Whether the fleet's order names this owner, as it is taken to until told
 * otherwise. One that it does not name sends requests on to the owner that the
 * record names, instead of taking over: hosts differ in whom they see. */
void CbwPool_SetAssigned(cbw_pool_t *pool, bool owned);
/* The endpoints of the present inventory. */
void CbwPool_SetEndpoints(cbw_pool_t *pool, cbw_time_t now,
                          const cbw_endpoint_t *endpoints, int count);
/* How long an open transaction may rest; 0: Cbw_POOL_TRANSACTION_IDLE_TIMEOUT.
 */
void CbwPool_SetTransactionIdleTimeout(cbw_pool_t *pool, cbw_time_t idle);
/* Whether a commit is kept by a replica before its answer comes. Then nothing
 * may be acknowledged once a promoter has begun to choose a candidate, which
 * endpoints do not know. */
void CbwPool_SetSynchronous(cbw_pool_t *pool, bool synchronous);
/* Hands back queued requests as pending, for another owner. */
void CbwPool_Evict(cbw_pool_t *pool);
/* Takes in a request; it stays with the pool until ops->answer. */
void CbwPool_Submit(cbw_pool_t *pool, cbw_time_t now, cbw_request_t *request);
void CbwPool_OnReply(cbw_pool_t *pool, cbw_time_t now, uint64_t id,
                     const cbw_reply_t *reply);
void CbwPool_OnRecord(cbw_pool_t *pool, cbw_time_t now,
                      cbw_store_status_t status, uint64_t version,
                      const cbw_tenure_record_t *record);
void CbwPool_OnSwap(cbw_pool_t *pool, cbw_time_t now,
                    cbw_store_status_t status, uint64_t version);
void CbwPool_OnPromoteReply(cbw_pool_t *pool, cbw_time_t now,
                            cbw_promote_status_t status);
/* A peer reaches the primary (`host` names it), or none does (NULL). */
void CbwPool_OnReachability(cbw_pool_t *pool, cbw_time_t now,
                            const char *host);
/* Runs what is due; `wanted`: whether this host should own the database. */
void CbwPool_Tick(cbw_pool_t *pool, cbw_time_t now, bool wanted);
/* Another owner asks for this one's right. Returns whether it has none now. */
bool CbwPool_Relinquish(cbw_pool_t *pool, cbw_time_t now);
void CbwPool_OnHolderUnreachable(cbw_pool_t *pool, cbw_time_t now,
                                 uint64_t nonce);
void CbwPool_OnRelinquished(cbw_pool_t *pool, cbw_time_t now, uint64_t nonce);
/* Gives the tenure back: this host no longer owns the database. */
void CbwPool_Release(cbw_pool_t *pool, cbw_time_t now);
/* No request and no open transaction is inside. */
bool CbwPool_IsIdle(const cbw_pool_t *pool);
/* Writes a description for operators. Returns its length. */
size_t CbwPool_Explain(const cbw_pool_t *pool, cbw_time_t now, char *text,
                       size_t size);

#endif
