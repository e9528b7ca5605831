/* The owner of one database whose endpoints keep no request keys.  It queues
 * requests by rank, chooses an endpoint by its known log position, tracks
 * transactions, and promotes a replica when the primary fails or leaves.
 *
 * Without request keys, a write that was sent but not answered cannot be
 * looked up or repeated safely, so its outcome is reported as unknown.
 *
 * A promotion is made under a tenure (see tenure.h), and the version of the
 * tenure record is its fencing token.
 *
 * The module does no I/O: outgoing calls go through cbw_pool_ops_t, replies
 * come in through the CbwPool_On... functions, and the time is an argument. */
#ifndef CAROBWIND_POOL_H
#define CAROBWIND_POOL_H

#include "carobwind/counter.h"
#include "carobwind/endpoint.h"
#include "carobwind/error.h"
#include "carobwind/gate.h"
#include "carobwind/inventory.h"
#include "carobwind/latency.h"
#include "carobwind/limit.h"
#include "carobwind/log_copies.h"
#include "carobwind/offload.h"
#include "carobwind/position.h"
#include "carobwind/queue.h"
#include "carobwind/quota.h"
#include "carobwind/read_dispatch.h"
#include "carobwind/region.h"
#include "carobwind/tenure.h"

/* Most endpoints of one database, including those of a replacement in
 * progress. */
#define Cbw_POOL_ENDPOINTS_MAX 12
/* Number of position samples kept, see cbw_pool_sample_t. */
#define Cbw_POOL_SAMPLES_MAX 256
/* Least time between two position samples. */
#define Cbw_POOL_SAMPLE_INTERVAL (10 * Cbw_MSEC)
/* A state call is sent to an endpoint that has had an unanswered call and has
 * sent no reply for this long. Longer than most statements take. */
#define Cbw_POOL_STATE_CALL_AFTER (200 * Cbw_MSEC)
/* Timeout of a state call, and of a step-down call. */
#define Cbw_POOL_STATE_CALL_TIMEOUT (250 * Cbw_MSEC)
/* Number of `consecutive_failures` of an endpoint after which it is considered
 * down. */
#define Cbw_POOL_FAILURES_UNTIL_DOWN 2
/* How often a state call is sent to an endpoint that is down, and how often a
 * step-down call is repeated. */
#define Cbw_POOL_DOWN_RETRY_INTERVAL (300 * Cbw_MSEC)
/* How often a state call is sent to a primary without traffic. */
#define Cbw_POOL_IDLE_STATE_CALL_INTERVAL (500 * Cbw_MSEC)
/* After a replica answered that it lacks a required position, it receives no
 * reads that need a position it is not known to hold. This lasts for
 * Cbw_POOL_LAG_BACKOFF, and twice as long each time that it still lags, up to
 * Cbw_POOL_LAG_BACKOFF_MAX.
 *
 * Any endpoint is skipped for Cbw_POOL_LAG_BACKOFF after a failure (see
 * `consecutive_failures`) unless Cbw_POOL_BUSY_BACKOFF applies, and after it
 * answered that it is not the primary or has a higher term.
 *
 * A replica that last replied at least Cbw_POOL_LAG_BACKOFF ago may have
 * caught up since, so it may receive a read that needs a position it is not
 * known to hold. */
#define Cbw_POOL_LAG_BACKOFF (30 * Cbw_MSEC)
#define Cbw_POOL_LAG_BACKOFF_MAX (480 * Cbw_MSEC)
/* How long an endpoint is skipped after the reply to a request was that the
 * endpoint is overloaded or that no connection was available. */
#define Cbw_POOL_BUSY_BACKOFF (5 * Cbw_MSEC)
/* Most attempts for one request. */
#define Cbw_POOL_ATTEMPTS_MAX 6
/* Longest statement that can be sent with a required log position. The
 * position, the id and the line end need the rest of the largest message to an
 * endpoint. */
#define Cbw_POOL_POSITIONED_STATEMENT_MAX (Cbw_ENDPOINT_MESSAGE_MAX - 128)
/* How long a switchover waits for running writes and transactions, and for a
 * replica to catch up. */
#define Cbw_POOL_DRAIN_TIMEOUT (1500 * Cbw_MSEC)
/* How long the candidates' states are awaited before one is chosen, without
 * synchronous commits. */
#define Cbw_POOL_CANDIDATE_STATE_TIMEOUT (80 * Cbw_MSEC)
/* A replica that lacks an entry which the primary had for this long was cut
 * off from it, and not only slow. */
#define Cbw_POOL_REPLICATION_DELAY_MAX Cbw_SEC
/* With synchronous commits, an endpoint that is not listed any more may still
 * receive commits for this long, as when it has lost the store. */
#define Cbw_POOL_COPY_FORGET_AFTER (60 * Cbw_SEC)
/* How long a promotion without synchronous commits waits for the lost primary,
 * if all candidates were cut off from it before. With the longest wait for
 * earlier tenures (Cbw_TENURE_VALID_FOR) and 3 s for the promotion itself, a
 * change of the primary ends within 19 s (PROMISES.md). */
#define Cbw_POOL_LOST_PRIMARY_TIMEOUT (10 * Cbw_SEC)
/* The retry-after time of a request that is refused while a promotion waits
 * for a valid log (see `awaits_valid_log`) is the time that it has waited,
 * divided by the first of these and within the other two: callers prolong an
 * outage by a quarter at most, and a long one costs few attempts. */
#define Cbw_POOL_LOG_WAIT_RETRY_DIVISOR 4
#define Cbw_POOL_LOG_WAIT_RETRY_MIN Cbw_SEC
#define Cbw_POOL_LOG_WAIT_RETRY_MAX (10 * Cbw_SEC)
/* How often a candidate is asked whether it has become the primary, and a
 * replica whether it has caught up. */
#define Cbw_POOL_STATE_POLL_INTERVAL (50 * Cbw_MSEC)
/* How long a promotion waits in each step: for a candidate, for the reply to
 * its request, and for the candidate to become the primary. If that yields no
 * primary, a promotion is requested again.
 *
 * The peers' answer to whether they reach the primary is used for the same
 * time: either a failover may start, as no peer reaches it, or requests are
 * redirected to a peer that does. */
#define Cbw_POOL_PROMOTION_RETRY_AFTER (2500 * Cbw_MSEC)
/* A promotion request without a reply is cancelled after this time. */
#define Cbw_POOL_ORDER_TIMEOUT Cbw_SEC
/* A promotion takes effect within this time after its request has arrived. */
#define Cbw_POOL_ORDER_EFFECT Cbw_SEC
/* No other owner may request a promotion for this long after the last moment
 * at which this one's request can have arrived. Longer than
 * Cbw_POOL_ORDER_EFFECT. */
#define Cbw_POOL_ORDER_LEASE (3 * Cbw_SEC)
/* How long peers' answers to whether they reach the primary are awaited. */
#define Cbw_POOL_REACH_TIMEOUT (300 * Cbw_MSEC)
/* Pause before peers are asked again, when too few of them answered or this
 * host itself is delayed. */
#define Cbw_POOL_REACH_PAUSE (300 * Cbw_MSEC)
/* Rounds with too few answers after which the primary counts as lost: the
 * peers may have failed together with it. */
#define Cbw_POOL_REACH_ROUNDS 3
/* A host that is itself delayed neither promotes nor redirects for this long
 * after it found the primary down. */
#define Cbw_POOL_OBSERVER_LATE_MAX (4 * Cbw_SEC)
/* Timeout of a state call in round trips to the endpoint, the shortest one
 * measured: a connection may have to be opened and accepted first. */
#define Cbw_POOL_STATE_CALL_ROUND_TRIPS 6
#define Cbw_POOL_STATE_CALL_TIMEOUT_MAX (500 * Cbw_MSEC)
/* A transaction without a statement for this long is rolled back, unless the
 * inventory sets another limit. */
#define Cbw_POOL_TRANSACTION_IDLE_TIMEOUT (3 * Cbw_SEC)
/* Number of decisions kept for CbwPool_Explain. */
#define Cbw_POOL_DECISIONS_MAX 32
/* While the queue of a request cannot be served, the request is refused after
 * its target divided by this: its caller has time for another attempt. */
#define Cbw_POOL_BLOCKED_WAIT_DIVISOR 4
/* While other requests are served, a queued request is refused after this
 * percentage of its target. The rest is left for the endpoint and for the
 * caller's retries. */
#define Cbw_POOL_QUEUE_WAIT_PERCENT 60
/* The retry-after time of a refused request: about the length of a
 * promotion. */
#define Cbw_POOL_REFUSED_RETRY_AFTER (300 * Cbw_MSEC)
/* How long requests are redirected to the record's holder before the record
 * is read again. Shorter than the time in which the membership detects a dead
 * host. */
#define Cbw_POOL_DEFER_INTERVAL (500 * Cbw_MSEC)
/* How often state calls are sent to all endpoints while the store is
 * unresponsive. This delays the answers that await confirmation. */
#define Cbw_POOL_CONFIRM_INTERVAL (40 * Cbw_MSEC)
/* How long a confirmation by the endpoints allows new requests to be sent. */
#define Cbw_POOL_CONFIRM_VALID_FOR (500 * Cbw_MSEC)
/* Polling starts this long before the tenure expires, so that service is not
 * interrupted. */
#define Cbw_POOL_CONFIRM_HEAD_START (250 * Cbw_MSEC)
/* Polling stops when no request has arrived for this long. */
#define Cbw_POOL_CONFIRM_IDLE_TIMEOUT Cbw_SEC
/* How long this owner may take over the tenure, counted from the arrival of a
 * request whose entry could not reach the holder. An entry avoids an
 * unreachable host for the same time. */
#define Cbw_POOL_TAKE_OVER_WINDOW (600 * Cbw_MSEC)

/* The pool's outgoing calls. `endpoint` is an index into cbw_pool_t.endpoints.
 */
typedef struct {
    /* Returns whether the endpoints' protocol can carry the request unchanged.
     * NULL: it can carry any request. */
    bool (*can_carry)(void *context, const cbw_request_t *request);
    /* Sends `call`. The reply is passed to CbwPool_OnReply with the call's id.
     * Returns false when no connection is available. */
    bool (*call)(void *context, int endpoint, const cbw_call_t *call);
    /* Returns whether a connection of the workspace is idle. NULL: not known.
     */
    bool (*has_idle_connection)(void *context, int endpoint,
                                const char *workspace);
    /* Closes the connection that carries the call; no reply follows. Returns
     * whether any part of the call may have reached the endpoint. */
    bool (*abort)(void *context, int endpoint, uint64_t id);
    /* Frees the transaction's connection; unless `clean`, it is closed, which
     * rolls the transaction back. */
    void (*end_transaction)(void *context, int endpoint, uint64_t transaction,
                            bool clean);
    /* Returns an answered request to its sender. The outcome is pending if
     * CbwPool_ReturnUnsent returned it. */
    void (*answer)(void *context, cbw_request_t *request);
    /* An endpoint was added at this index, or removed from it. */
    void (*attach)(void *context, int endpoint, const cbw_endpoint_t *info);
    void (*detach)(void *context, int endpoint);
    /* Read or swap the tenure record in the store; answered by
     * CbwPool_OnRecord and CbwPool_OnSwap. */
    void (*read_record)(void *context);
    void (*swap_record)(void *context, uint64_t version,
                        const cbw_tenure_record_t *record);
    /* Asks a holder to relinquish its tenure; answered by
     * CbwPool_OnRelinquished or CbwPool_OnHolderUnreachable. */
    void (*ask_to_relinquish)(void *context,
                              const cbw_tenure_holder_t *holder);
    /* Requests the promotion of `endpoint` with the fencing token `fence`;
     * answered by CbwPool_OnPromoteReply. */
    void (*request_promotion)(void *context, const char *endpoint,
                              uint64_t fence);
    /* Ends a request without a reply: it takes effect within
     * Cbw_POOL_ORDER_EFFECT or never, and no reply follows. */
    void (*cancel_promotion)(void *context);
    /* Asks peers whether they reach the endpoint; answered by
     * CbwPool_OnReach. */
    void (*ask_reach)(void *context, int endpoint);
    /* Requests that CbwPool_ReturnUnsent returns after this call go to the
     * owner at `host`. It either holds the tenure already or, with
     * `must_take_over`, has to take it over from this owner. Returns whether
     * that host is available. */
    bool (*redirect)(void *context, const char *host, bool must_take_over);
    /* Writes a decision to the log. */
    void (*log_decision)(void *context, const char *text);
} cbw_pool_ops_t;

/* The reply to a promotion request. */
typedef enum {
    CBW_PROMOTE_ACCEPTED,
    CBW_PROMOTE_REFUSED, /* the candidate is not running */
    CBW_PROMOTE_LOST,    /* no reply: it may have been accepted */
} cbw_promote_status_t;

/* Texts for the members of cbw_promote_status_t, in their order. */
extern const char *const CbwPool_PromoteStatusString[];

/* What the pool does about its primary. A promotion runs through the phases
 * from CLAIMING on in their order. It returns to CHOOSING_CANDIDATE if the
 * candidate refuses it or does not become the primary in time. Before a
 * failover, peers are asked whether they reach the primary; before a
 * switchover, the primary is drained. From CLAIMING on, nothing that the
 * previous primary did is acknowledged any more. */
typedef enum {
    /* This owner carries out no change of primary. Whether requests are sent
     * depends on the tenure and on the primary. */
    CBW_POOL_SERVING,
    /* The primary is down for this host; peers are asked whether they reach
     * it. */
    CBW_POOL_ASKING_REACH,
    /* The primary is leaving; new writes wait until the running ones end. */
    CBW_POOL_DRAINING,
    /* Writes the start of the promotion to the tenure record. */
    CBW_POOL_CLAIMING,
    /* Waits until the tenures of previous holders have ended, and until the
     * candidates have reported their states or
     * Cbw_POOL_CANDIDATE_STATE_TIMEOUT has passed; then chooses one. With
     * synchronous commits it waits for a log that is known to have all that
     * was acknowledged, otherwise for a log without discarded entries or an
     * operator's order, and for up to Cbw_POOL_LOST_PRIMARY_TIMEOUT for one
     * that was not cut off. */
    CBW_POOL_CHOOSING_CANDIDATE,
    /* A promotion request is in flight. */
    CBW_POOL_REQUESTING_PROMOTION,
    /* Polls the candidate until it reports itself as the primary. */
    CBW_POOL_POLLING_CANDIDATE,
    /* Writes the new primary to the tenure record. */
    CBW_POOL_PUBLISHING,
} cbw_pool_phase_t;

/* Texts for the members of cbw_pool_phase_t, in their order, as
 * CbwPool_Explain shows them. */
extern const char *const CbwPool_PhaseString[];

/* An endpoint and what is known of it. */
typedef struct {
    bool used;
    bool listed; /* set for each used endpoint; not read */
    cbw_endpoint_t info;
    int in_flight;    /* requests */
    int transactions; /* that are open */
    /* End of its log according to its latest reply to any call. Reads are
     * routed by it. */
    cbw_position_t position;
    /* From its latest reply to a state or step-down call, which was sent at
     * `reported_as_of` (0: never). Candidates are compared by this position.
     */
    cbw_position_t reported_position;
    uint64_t reported_term;
    bool is_primary;
    cbw_time_t reported_as_of;
    cbw_time_t last_reply_at;
    cbw_time_t unanswered_since;  /* send time of the oldest call in flight */
    cbw_time_t skip_until;        /* receives no requests until then */
    cbw_time_t lag_backoff_until; /* it lacked a required position */
    cbw_time_t lag_backoff;       /* present length; 0: none */
    bool is_local;                /* in the owner's data centre */
    bool is_in_region;            /* in the owner's region */
    /* Calls that could not be sent and control calls without a reply, in a
     * row. A reply from the endpoint resets it; a request whose answer is lost
     * does not count. */
    int consecutive_failures;
    /* A request's answer was lost. A state call on a new connection decides
     * whether the endpoint failed. */
    bool suspect;
    bool down;
    cbw_time_t down_since; /* while `down` */
    /* Shortest round trip of a state call; 0: none was answered. */
    cbw_time_t shortest_round_trip;
    uint64_t state_call_id; /* in flight; 0: none */
    cbw_time_t state_call_due_at;
    /* Most connections that this owner may have opened: the highest sum of
     * `in_flight` and `transactions`. */
    int peak_connections;
    /* Share that is leased to a read dispatcher until then; 0: none. */
    cbw_time_t lease_until;
    uint64_t lease_holder;
    int leased_connections;
    int leased_slots;
    cbw_time_t mean_latency; /* of requests, path included; 0: not measured */
    uint64_t step_down_term; /* to be sent in a step-down call; 0: none */
    cbw_time_t step_down_due_at;
} cbw_pool_endpoint_t;

/* Everything acknowledged up to `time` is in the primary's log at or before
 * `position`. */
typedef struct {
    cbw_time_t time;
    cbw_position_t position;
} cbw_pool_sample_t;

/* The log of the last primary, as far as this owner observed it. */
typedef struct {
    uint64_t term; /* that the primary led; 0: nothing is known */
    /* Its replicas should have received it up to here, as its log had reached
     * that position Cbw_POOL_REPLICATION_DELAY_MAX before the end of the
     * observation; all zero: not known. */
    cbw_position_t replicated;
    /* Its highest known position, and the time of the last sample: everything
     * acknowledged by then, or by this owner at any time, is up to there. */
    cbw_position_t end;
    cbw_time_t as_of;
} cbw_pool_last_log_t;

/* With synchronous commits: a process that may have acknowledged commits. */
typedef struct {
    cbw_log_copy_t process;
    cbw_time_t unlisted_since; /* 0: it is listed */
} cbw_pool_copy_t;

/* A decision, as CbwPool_Explain lists it. */
typedef struct {
    cbw_time_t time;
    char text[160];
} cbw_pool_decision_t;

/* The pool of one database. */
typedef struct {
    char database[Cbw_NAME_MAX];
    char data_centre[Cbw_NAME_MAX]; /* of the owner */
    const cbw_regions_t *regions;   /* see CbwPool_SetRegions */
    cbw_read_dispatch_t *reads;     /* see CbwPool_SetReadDispatch */
    cbw_time_t leases_until;        /* see CbwPool_HasLease */
    cbw_time_t no_leases_until;     /* the tenure is to be released */
    cbw_offload_t offload;          /* of reads to other regions */
    size_t mean_bytes;              /* of a statement and its answer */
    const cbw_pool_ops_t *ops;
    void *context;
    const cbw_queue_ops_t *queue_policy;
    cbw_counters_t *counters;   /* may be NULL */
    cbw_latencies_t *latencies; /* may be NULL, as after init */
    cbw_quota_t *quota; /* NULL, as after init: operations have no limits */
    cbw_tenure_t tenure;
    cbw_pool_endpoint_t endpoints[Cbw_POOL_ENDPOINTS_MAX];
    int primary;            /* index of the primary; -1: not listed */
    uint64_t primary_term;  /* that it leads; 0: not known */
    uint64_t primary_epoch; /* of the record when the primary was set */
    /* Index of the primary's last log entry when it began `primary_term`, as
     * far as this owner observed it; else Cbw_TERM_BASE_UNKNOWN. */
    uint64_t primary_base;
    /* Counts the changes of `primary` and `primary_term`. Calls carry the
     * generation in which they were sent. */
    uint64_t generation;
    cbw_queue_t primary_queue; /* writes, and reads of the latest data */
    cbw_queue_t replica_queue; /* other reads */
    cbw_gate_t primary_gate;   /* of the queues */
    cbw_gate_t replica_gate;
    cbw_time_t primary_blocked_since; /* no usable primary since; 0: usable */
    cbw_link_t running;               /* requests in flight */
    /* Requests answered by an endpoint that is not yet confirmed to have been
     * the primary. */
    cbw_link_t held_answers;
    cbw_link_t outstanding; /* calls in flight */
    cbw_link_t transactions;
    uint64_t last_call_id; /* ids are assigned from 1 on; 0: no call yet */
    cbw_position_t primary_position; /* highest known of the primary's log */
    /* Log position and term of the present primary at its promotion. */
    cbw_position_t promotion_position;
    uint64_t promotion_term; /* 0: not known */
    /* When the call was sent whose reply reported them. */
    cbw_time_t promotion_as_of;
    /* Highest term known to have begun, by any endpoint's reply or by the
     * record. An endpoint that reports itself as the primary in a lower one
     * has been superseded. */
    uint64_t highest_term;
    /* The highest term that an endpoint leads as far as it reported, with the
     * end of its log then: base 0 once it has entries of that term. Beyond the
     * record's term, it tells of a promotion that was not recorded. */
    cbw_term_start_t reported_start;
    /* Name and term of the endpoint that last reported itself as the primary.
     * Used for a record without a term. */
    char reported_primary[Cbw_NAME_MAX];
    uint64_t reported_primary_term;
    cbw_pool_sample_t samples[Cbw_POOL_SAMPLES_MAX]; /* a ring */
    size_t sample_count;                             /* ever written */
    cbw_pool_last_log_t last_log;
    /* With synchronous commits, as far as this owner knows; while it does not
     * hold the tenure, there are none. */
    cbw_pool_copy_t copies[Cbw_LOG_COPIES_MAX];
    int copy_count;
    bool copies_read; /* from the record, since this owner holds the tenure */
    bool synchronous; /* see CbwPool_SetSynchronous */
    /* The store is unresponsive, and the endpoints are polled to confirm the
     * primary. */
    bool confirming;
    /* No other endpoint had been promoted by this time; 0: not confirmed. */
    cbw_time_t confirmed_at;
    /* Term of the primary, as it reports itself; 0: none seen since polling
     * last began. */
    uint64_t primary_reported_term;
    /* A sample that is newer than the confirmation; time 0: none. */
    cbw_pool_sample_t unconfirmed_sample;
    cbw_time_t last_submit_at; /* when the last request arrived */
    cbw_pool_phase_t phase;
    cbw_time_t phase_since;
    bool planned;               /* not used */
    cbw_time_t drain_due_at;    /* a leaving primary is not drained before */
    cbw_time_t promotion_since; /* the present promotion began */
    /* Each endpoint that could be promoted has discarded entries, was cut off
     * from the last primary or, with synchronous commits, may lack
     * acknowledged ones: the promotion waits for another log, or for
     * CbwPool_AcceptLoss. */
    bool awaits_valid_log;
    /* During that wait, the endpoint with the best log; "": none yet. */
    char best_log[Cbw_NAME_MAX];
    /* The endpoint that CbwPool_AcceptLoss named; "": none. */
    char accepted_log[Cbw_NAME_MAX];
    int candidate; /* endpoint to be promoted; -1: none */
    /* The candidate is the new primary once it leads a term above this one. */
    uint64_t superseded_term;
    /* The candidate led the highest known term when it was chosen. If it is
     * the present primary, its promotion changes nothing, not even the term.
     */
    bool candidate_leads;
    bool promote_accepted; /* the reply to the promotion request */
    bool draining;         /* see CbwPool_SetDraining */
    /* The present promotion continues another owner's. */
    bool promotion_inherited;
    /* Endpoint of a request of the present promotion that was not refused; "":
     * none. */
    char taken_order[Cbw_NAME_MAX];
    bool several_orders_taken; /* for other endpoints, too */
    bool order_lost;           /* the latest request had no reply */
    bool order_in_flight;      /* the request has no reply yet */
    /* The endpoint of the latest request. Until `order_settled_at` it may
     * still be promoted, and no other endpoint is requested. */
    char ordered[Cbw_NAME_MAX];
    cbw_time_t order_settled_at;
    cbw_time_t earlier_order_settled_at; /* of earlier requests for it */
    cbw_time_t order_ended_at;           /* answered or cancelled; 0: never */
    /* Mask of the endpoints whose promotion was refused because they were not
     * running. */
    unsigned refused_candidates;
    char previous_primary[Cbw_NAME_MAX];
    /* No other endpoint could be promoted: the previous primary may be, if it
     * answers by now. */
    bool previous_allowed;
    uint64_t previous_primary_term;
    /* No peer reached the primary; this result is used until then. */
    cbw_time_t primary_unreachable_until;
    cbw_time_t reach_due_at; /* peers are not asked before */
    int reach_rounds;        /* consecutive ones with too few answers */
    /* See CbwPool_SetObserver. */
    cbw_time_t observer_delay;
    bool strict_witnesses;
    bool assigned; /* see CbwPool_SetAssigned */
    /* A request reported the holder as unreachable: this owner may take over
     * the tenure until then. */
    cbw_time_t take_over_until;
    /* Requests go to another owner until then. */
    cbw_time_t redirected_until;
    /* That owner carries out a promotion. The record is read meanwhile. */
    bool redirected_to_promoter;
    cbw_time_t transaction_idle_timeout;
    cbw_time_t leaving_limit; /* see CbwPool_SetLeavingLimit */
    bool stopping;
    cbw_pool_decision_t decisions[Cbw_POOL_DECISIONS_MAX]; /* a ring */
    size_t decision_count;                                 /* ever made */
} cbw_pool_t;

/* Initializes a pool without endpoints. `nonce` must be unique to this owner
 * in the fleet. `ops`, `context` and `counters` (which may be NULL) must
 * outlive the pool. */
void CbwPool_Init(cbw_pool_t *pool, const char *database,
                  const cbw_queue_ops_t *queue_policy, const cbw_rank_t *ranks,
                  size_t rank_count, const cbw_pool_ops_t *ops, void *context,
                  uint64_t nonce, const char *host, const char *data_centre,
                  cbw_counters_t *counters);
/* Answers every request that the pool still has, and frees all memory. */
void CbwPool_Finish(cbw_pool_t *pool, cbw_time_t now);
/* Sets whether the fleet's rendezvous order assigns the database to this
 * owner, which is the default. An owner that is not assigned redirects
 * requests to the record's holder instead of taking over the tenure: hosts may
 * differ in the members that they see, and would otherwise take the database
 * from each other. */
void CbwPool_SetAssigned(cbw_pool_t *pool, bool assigned);
/* Returns how many connections for requests one owner may have to an endpoint:
 * less than half of the endpoint's allowance (9/20), as another owner may use
 * it at the same time for a while. */
int CbwPool_ConnectionsMax(const cbw_endpoint_t *endpoint);
/* Sets the regions of the data centres, which must outlive the pool; NULL, the
 * default: there is one region. To be called before CbwPool_SetEndpoints. */
void CbwPool_SetRegions(cbw_pool_t *pool, const cbw_regions_t *regions);
/* Sets the price of sending 1,000 bytes of a read to another region, as a
 * waiting time. */
void CbwPool_SetRemoteCost(cbw_pool_t *pool, cbw_time_t cost_per_kb);
/* Makes the pool that of a read dispatcher (see read_dispatch.h), not of an
 * owner: it never has a tenure, and serves reads under `reads`, which must
 * outlive it. Requests that it cannot serve are answered as pending, to be
 * sent to the owner. Its endpoints are the leased ones. */
void CbwPool_SetReadDispatch(cbw_pool_t *pool, cbw_read_dispatch_t *reads);
/* Handles the request of the read dispatcher `holder` for a sample and for a
 * lease on an endpoint of another region. Returns false when this owner has no
 * sample that it can vouch for now. */
bool CbwPool_OfferReads(cbw_pool_t *pool, cbw_time_t now, uint64_t holder,
                        const char *endpoint, cbw_read_offer_t *offer);
/* Returns whether a lease is in force. Until its end this owner neither
 * requests a promotion nor releases the tenure: the dispatcher could serve
 * entries that the promotion discards. */
bool CbwPool_HasLease(const cbw_pool_t *pool, cbw_time_t now);
/* Returns whether the pool has an open transaction with that id. */
bool CbwPool_HasTransaction(cbw_pool_t *pool, uint64_t id);
/* Replaces the endpoints by those of the present inventory. Endpoints that are
 * not in it are dropped, and requests in flight to them end or are retried. */
void CbwPool_SetEndpoints(cbw_pool_t *pool, cbw_time_t now,
                          const cbw_endpoint_t *endpoints, int count);
/* Sets how long an open transaction may stay without a statement;
 * 0: Cbw_POOL_TRANSACTION_IDLE_TIMEOUT. */
void CbwPool_SetTransactionIdleTimeout(cbw_pool_t *pool, cbw_time_t timeout);
/* Sets how long an endpoint that is leaving receives statements, other than
 * those of open transactions; 0: as long as it is listed. */
void CbwPool_SetLeavingLimit(cbw_pool_t *pool, cbw_time_t limit);
/* Sets whether this owner's host is draining. A promotion request without a
 * reply is not repeated then: the next owner may reach the promotion service.
 */
void CbwPool_SetDraining(cbw_pool_t *pool, bool draining);
/* Sets whether a replica holds each commit before it is answered. Such commits
 * must survive a promotion, so this owner may acknowledge nothing once another
 * owner has begun to choose a candidate. Endpoints do not know of that choice:
 * their confirmation (see `confirming`) is not used if `synchronous` is set.
 */
void CbwPool_SetSynchronous(cbw_pool_t *pool, bool synchronous);
/* Replaces the queue policy; queued requests stay queued. */
void CbwPool_SetQueuePolicy(cbw_pool_t *pool, const cbw_queue_ops_t *policy);
/* Removes the request with this id from its queue and answers it as not run,
 * as its caller left. Returns false, and does nothing, when it is not queued
 * or the policy cannot look up requests. */
bool CbwPool_Cancel(cbw_pool_t *pool, cbw_time_t now, uint64_t id);
/* Answers all queued requests as pending, to be sent to another owner. This
 * includes those that were queued again after an attempt; none is in flight.
 */
void CbwPool_ReturnUnsent(cbw_pool_t *pool);
/* Accepts a request. The pool keeps it until ops->answer. */
void CbwPool_Submit(cbw_pool_t *pool, cbw_time_t now, cbw_request_t *request);
/* Handles the reply to call `id`. Replies to unknown calls are ignored. */
void CbwPool_OnReply(cbw_pool_t *pool, cbw_time_t now, uint64_t id,
                     const cbw_reply_t *reply);
/* Handle the answers to ops->read_record and ops->swap_record. */
void CbwPool_OnRecord(cbw_pool_t *pool, cbw_time_t now,
                      cbw_store_status_t status, uint64_t version,
                      const cbw_tenure_record_t *record);
void CbwPool_OnSwap(cbw_pool_t *pool, cbw_time_t now,
                    cbw_store_status_t status, uint64_t version);
/* Handles the answer to ops->request_promotion. */
void CbwPool_OnPromoteReply(cbw_pool_t *pool, cbw_time_t now,
                            cbw_promote_status_t status);
/* Sets the delay of this host itself (see local_health.h; 0: none), and
 * whether peers that do not answer are ignored as witnesses. Otherwise a
 * missing answer counts as a report that the primary is not reached. */
void CbwPool_SetObserver(cbw_pool_t *pool, cbw_time_t delay,
                         bool strict_witnesses);
/* Handles the answer to ops->ask_reach when too few peers answered. */
void CbwPool_OnReachUnknown(cbw_pool_t *pool, cbw_time_t now);
/* Handles the answer to ops->ask_reach: `host` is a peer that reaches
 * the primary, or NULL if none does. */
void CbwPool_OnReach(cbw_pool_t *pool, cbw_time_t now, const char *host);
/* Runs everything that is due. `hold_tenure`: whether this owner should
 * acquire and renew the tenure. */
void CbwPool_Tick(cbw_pool_t *pool, cbw_time_t now, bool hold_tenure);
/* Returns whether this owner has requested a promotion and waits for it, or
 * has requested one so recently that no other owner may do so yet. The pool is
 * not to be freed then. */
bool CbwPool_IsPromoting(const cbw_pool_t *pool, cbw_time_t now);
/* Another owner asks this one to relinquish its tenure. Returns whether it
 * did; it refuses while it carries out a promotion, and while
 * CbwPool_IsPromoting. */
bool CbwPool_Relinquish(cbw_pool_t *pool, cbw_time_t now);
/* Handle the answer to ops->ask_to_relinquish: the host of the holder with
 * `nonce` is not a member or is dead, or the holder has no tenure any more. */
void CbwPool_OnHolderUnreachable(cbw_pool_t *pool, cbw_time_t now,
                                 uint64_t nonce);
void CbwPool_OnRelinquished(cbw_pool_t *pool, cbw_time_t now, uint64_t nonce);
/* Releases the tenure and stops: this host no longer owns the database.
 * Returns whether it did; it refuses while CbwPool_IsPromoting. */
bool CbwPool_Release(cbw_pool_t *pool, cbw_time_t now);
/* An operator's order: the promotion that waits for a valid log may promote
 * `endpoint`, which has the best log of those that answer. Entries that it
 * lacks are lost, and discarded ones that it has are restored. The order ends
 * with the promotion, or when the endpoint is no longer listed. Returns 0, or
 * -1 with `error` set when no promotion waits or another log is better. */
int CbwPool_AcceptLoss(cbw_pool_t *pool, cbw_time_t now, const char *endpoint,
                       cbw_error_t *error);
/* Returns whether the pool has no request and no open transaction. */
bool CbwPool_IsIdle(const cbw_pool_t *pool);
/* Writes a description for operators to `text` of `size` bytes. Returns its
 * length. */
size_t CbwPool_Explain(const cbw_pool_t *pool, cbw_time_t now, char *text,
                       size_t size);

#endif
