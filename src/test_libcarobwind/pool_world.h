/* Fixture for tests of the pool: a pool with three endpoints, of which e0 is
 * the primary, and a store. The test answers the pool's calls. */
#ifndef TEST_LIBCAROBWIND_POOL_WORLD_H
#define TEST_LIBCAROBWIND_POOL_WORLD_H

#include "carobwind/pool.h"

#define CALLS_MAX 64
#define NONCE 42

/* What an endpoint reports in reply to a state call or a step-down call. */
typedef struct {
    bool unresponsive;
    bool primary;
    uint64_t term;
    cbw_position_t position; /* term 0: 3.9 */
} endpoint_report_t;

/* A call that the pool sent. */
typedef struct {
    uint64_t id;
    int endpoint;
    cbw_call_t call;
    bool open; /* neither answered nor aborted */
} sent_call_t;

typedef struct {
    cbw_pool_t pool;
    cbw_time_t now;
    sent_call_t sent[CALLS_MAX];
    int sent_count;
    /* The inventory's entries of the endpoints. */
    bool unlisted[3];
    bool leaving[3];
    cbw_time_t leaving_since[3]; /* set by PoolWorld_SetEndpoints */
    bool reports_primary[3];
    const char *data_centres[3]; /* NULL: "" */
    const char *suffixes[3];     /* of the names; NULL: "" */
    int64_t started_at[3];
    bool abort_may_have_sent; /* result of ops.abort: whether the endpoint may
                                 have received the aborted call */
    /* Workspace of the endpoint's idle connections; "": none. */
    char idle_connections[3][Cbw_NAME_MAX];
    cbw_request_t *last_answered;
    int answer_count;
    bool read_pending;
    bool swap_pending;
    uint64_t version;
    cbw_tenure_record_t record;
    char promotion_target[Cbw_NAME_MAX];
    uint64_t fence;
    int cancelled_orders;
    int relinquish_requests;
    int restarts;   /* of the owner */
    int step_downs; /* step-down calls sent */
    char redirected_to[Cbw_NAME_MAX];
    bool carries_nothing;        /* ops.can_carry refuses each request */
    int transactions_ended;      /* calls of ops.end_transaction */
    bool witnesses_unresponsive; /* too few peers answer ops.ask_reach */
} pool_world_t;

/* Initializes the world without endpoints and without a record. */
void PoolWorld_InitPool(pool_world_t *world);
/* Initializes the world and has the pool acquire the tenure. */
void PoolWorld_Init(pool_world_t *world);
void PoolWorld_Finish(pool_world_t *world);
/* Replaces the pool by that of another host's owner, which knows nothing but
 * what the store and the endpoints tell. */
void PoolWorld_RestartOwner(pool_world_t *world);
/* Passes the endpoints that are listed to the pool. */
void PoolWorld_SetEndpoints(pool_world_t *world);
/* Answers the open state calls and step-down calls. */
void PoolWorld_AnswerStates(pool_world_t *world,
                            const endpoint_report_t reports[3]);
/* Makes room for further calls in `sent`. */
void PoolWorld_DiscardClosedCalls(pool_world_t *world);
/* Answers the pending calls to the store, and those that the pool makes in
 * response. */
void PoolWorld_ServeStore(pool_world_t *world);
/* Advances the time by `step`. Then ticks the pool, which is to hold the
 * tenure, and answers its calls to the store, and does both once more, since
 * the pool acts on the answers in the next tick. */
void PoolWorld_Tick(pool_world_t *world, cbw_time_t step);
/* Ticks for `duration`, answering the store and the state calls. */
void PoolWorld_Run(pool_world_t *world, cbw_time_t duration,
                   const endpoint_report_t reports[3]);
/* As PoolWorld_Run, until the pool requests a promotion (of
 * world->promotion_target), for `limit` at most. Returns whether it did. */
bool PoolWorld_RunUntilOrder(pool_world_t *world, cbw_time_t limit,
                             const endpoint_report_t reports[3]);
/* Ticks without a store until the tenure has expired. */
void PoolWorld_ExpireTenure(pool_world_t *world,
                            const endpoint_report_t reports[3]);
/* Ticks after Cbw_POOL_CONFIRM_INTERVAL and answers the state calls, as when
 * the endpoints are polled while the store does not answer. */
void PoolWorld_PollEndpoints(pool_world_t *world,
                             const endpoint_report_t reports[3]);
/* Creates a request, to be freed with PoolWorld_FreeRequest. `writes` alone
 * makes it a write: the statement's text is always the same. */
cbw_request_t *PoolWorld_NewRequest(pool_world_t *world, bool writes,
                                    cbw_read_consistency_t consistency);
void PoolWorld_FreeRequest(cbw_request_t *request);
void PoolWorld_Submit(pool_world_t *world, cbw_request_t *request);
/* Returns the latest open call with this verb, or NULL. */
sent_call_t *PoolWorld_LastOpenCall(pool_world_t *world, cbw_call_verb_t verb);
/* Answers a call with a position of term 3; 0: without a position. */
void PoolWorld_Reply(pool_world_t *world, sent_call_t *sent,
                     cbw_reply_status_t status, uint64_t position);

#endif
