/* Declarations that the source files of pool_fleet.h share. */
#ifndef TEST_LIBCAROBWIND_POOL_FLEET_WORLD_H
#define TEST_LIBCAROBWIND_POOL_FLEET_WORLD_H

#include <glib.h>

#include "carobwind/pool.h"
#include "carobwind/random.h"
#include "pool_fleet.h"

#define HOSTS 3
#define ENDPOINTS 3
#define TICK (10 * Cbw_MSEC)
#define PROMOTE_TIME (600 * Cbw_MSEC)
#define PROMOTE_TIME_MAX (900 * Cbw_MSEC)
/* Within this time of an order no other host may order. */
#define ORDER_LEASE (3 * Cbw_SEC)
#define STEP_DOWN_AFTER Cbw_SEC
/* TCP discards bytes that stay unacknowledged for this long. */
#define UNACKNOWLEDGED_MAX (2 * Cbw_SEC)
#define STORE_CALL_TIMEOUT (700 * Cbw_MSEC)
#define PEER_CALL_TIMEOUT (250 * Cbw_MSEC)
/* Longest time that a host takes to stop. */
#define STOP_LIMIT (6 * Cbw_SEC)
#define DEAD_AFTER (1200 * Cbw_MSEC)
#define UNLISTED_AFTER (3600 * Cbw_MSEC)
#define QUIET_TIME (25 * Cbw_SEC)
#define QUIET_MEASURED (5 * Cbw_SEC)
#define FIRST_TERM 3
/* Exceeds the number of promotions of a run. */
#define TERMS_MAX 256

typedef struct fleet fleet_t;

/* An event: `run` is called with it at its time. The other fields are its
 * arguments; some mean another thing in each kind of event:
 *
 * - store call: `flag` is a swap, `peer` not 0 that its answer is lost;
 * - call to an endpoint: `term` is the transaction (of a step-down call, the
 *   term), `fence` not 0 that it begins one which writes;
 * - promotion request: `id` is the host's number of it, `version` the
 *   endpoint's incarnation, `flag` that its answer is lost;
 * - request to relinquish: `verb` 1 is its timeout, `flag` that `peer` has
 *   relinquished. */
typedef struct event {
    cbw_time_t at;
    uint64_t sequence;
    void (*run)(fleet_t *fleet, struct event *event);
    int host;
    uint64_t generation; /* of the host's process; another one ignores it */
    int endpoint;
    int peer;
    uint64_t id;
    uint64_t version;
    cbw_call_verb_t verb;
    bool writes;
    bool flag;
    cbw_store_status_t status;
    cbw_promote_status_t promote_status;
    uint64_t fence;
    uint64_t nonce;
    uint64_t term;
    cbw_position_t needed;
    cbw_reply_t reply;
    cbw_tenure_record_t record;
    char name[Cbw_NAME_MAX];
    void *object;
} event_t;

typedef struct {
    bool up;
    bool listed;
    bool leaving;
    bool primary;
    uint64_t term;
    uint64_t last_term;
    uint64_t index;
    int incarnation;
    cbw_time_t reaches_leader_since;
    cbw_time_t unregistered_at; /* it does not renew its registration */
    int service_time;           /* extra, in ms */
} endpoint_t;

typedef struct {
    fleet_t *fleet;
    int index;
    char name[Cbw_NAME_MAX];
    bool running;
    bool stopping;
    bool paused;
    cbw_time_t stopping_since;
    uint64_t generation;
    bool assigned;
    bool released;
    cbw_time_t used_at;
    cbw_pool_t pool;
    GQueue waiting; /* events that came during a pause */
    int moved_to;   /* -1: none */
    bool moved_takes;
    cbw_time_t moved_at;
    bool endpoints_changed;
    uint64_t order; /* count of orders; a reply to another one is ignored */
    cbw_time_t started_at;
} host_t;

/* How a statement ran at an endpoint. */
typedef struct run {
    int endpoint; /* -1: did not run */
    uint64_t term;
    cbw_time_t at;
    cbw_position_t end; /* of the endpoint's log */
} run_t;

/* A caller's operation: a write, a read, or a transaction with two writes. */
typedef struct {
    cbw_request_t request;
    int host;
    uint64_t generation;
    int step; /* statements of the transaction that were sent; -1: single */
    uint64_t transaction;
    cbw_time_t begun_at;
    bool measured;
    cbw_position_t needed; /* highest acknowledged as the operation began */
    uint64_t recorded_call;
    struct run *run; /* of the latest call; NULL: none */
} operation_t;

struct fleet {
    cbw_random_t random;
    const fleet_disruptions_t *disruptions;
    fleet_result_t *result;
    bool verbose;
    cbw_time_t now;
    cbw_time_t disruptions_end;
    cbw_time_t end;
    uint64_t sequence;
    GQueue events;
    host_t hosts[HOSTS];
    endpoint_t endpoints[ENDPOINTS];
    bool host_cut[HOSTS][HOSTS];
    bool endpoint_cut[HOSTS][ENDPOINTS];
    bool group_cut[ENDPOINTS][ENDPOINTS];
    bool store_cut[HOSTS];
    bool store_down;
    bool orders_slow;
    cbw_time_t host_lost_at[HOSTS]; /* 0: running */
    uint64_t version;
    cbw_tenure_record_t record;
    int leader; /* the endpoint that was promoted last */
    uint64_t highest_term;
    uint64_t highest_fence;
    int last_order_by; /* -1: no order yet */
    cbw_time_t last_order_at;
    cbw_time_t led_since;
    cbw_position_t acknowledged; /* highest in a log that was not discarded */
    cbw_position_t bases[TERMS_MAX]; /* end of the log that led each term */
    uint64_t commits_of_term[TERMS_MAX]; /* highest index acknowledged */
    bool read_in_term[TERMS_MAX];        /* a read was answered */
    uint64_t next_transaction;
    uint64_t next_nonce;
    uint64_t next_generation;
    GHashTable *runs; /* by the host's generation and the call's id */
    int owner;        /* to which callers' requests go */
};

/* Events. */

void PoolFleet_Trace(const fleet_t *fleet, const char *format, ...);
void PoolFleet_ReportFault(fleet_t *fleet, int *count, const char *format,
                           ...);
bool PoolFleet_Chance(fleet_t *fleet, int percent);
cbw_time_t PoolFleet_Between(fleet_t *fleet, cbw_time_t from, cbw_time_t to);
event_t *PoolFleet_NewEvent(void (*run)(fleet_t *, event_t *), int host,
                            uint64_t generation);
void PoolFleet_Schedule(fleet_t *fleet, cbw_time_t delay, event_t *event);
cbw_time_t PoolFleet_NetworkDelay(fleet_t *fleet);
bool PoolFleet_IsDeliverable(fleet_t *fleet, event_t *event, bool *kept);

/* The store, the endpoints and the promotion service (pool_fleet_platform.c).
 */

void PoolFleet_OpReadRecord(void *context);
void PoolFleet_OpSwapRecord(void *context, uint64_t version,
                            const cbw_tenure_record_t *record);
run_t *PoolFleet_NewRun(fleet_t *fleet, uint64_t generation, uint64_t call);
int PoolFleet_EndpointOf(const host_t *host, int slot);
bool PoolFleet_OpCall(void *context, int slot, const cbw_call_t *call);
bool PoolFleet_OpAbort(void *context, int slot, uint64_t id);
void PoolFleet_OpEndTransaction(void *context, int slot, uint64_t transaction,
                                bool clean);
void PoolFleet_OpAttach(void *context, int slot, const cbw_endpoint_t *info);
void PoolFleet_OpDetach(void *context, int slot);
void PoolFleet_OpRequestPromotion(void *context, const char *endpoint,
                                  uint64_t fence);
void PoolFleet_DropDelayedOrders(fleet_t *fleet, const host_t *host);
void PoolFleet_OpCancelPromotion(void *context);
void PoolFleet_TickEndpoints(fleet_t *fleet);
void PoolFleet_UpdateListing(fleet_t *fleet);

/* Logs (pool_fleet_logs.c). */

/* To be called before the promotion that `order` requests takes effect. */
void PoolFleet_CheckRestored(fleet_t *fleet, const event_t *order);

/* Hosts (pool_fleet_hosts.c). */

void PoolFleet_SetEndpoints(fleet_t *fleet, host_t *host);
void PoolFleet_StartHost(fleet_t *fleet, host_t *host);
void PoolFleet_EndHost(fleet_t *fleet, host_t *host);
void PoolFleet_Assign(fleet_t *fleet, int owner);
void PoolFleet_RestartHost(fleet_t *fleet, event_t *event);
void PoolFleet_ResumeHost(fleet_t *fleet, event_t *event);
void PoolFleet_TickHost(fleet_t *fleet, host_t *host);

/* Callers (pool_fleet_callers.c). */

void PoolFleet_OpAnswer(void *context, cbw_request_t *request);
void PoolFleet_RecordRunningCalls(fleet_t *fleet, host_t *host);
void PoolFleet_NewOperation(fleet_t *fleet, event_t *event);

/* Disruptions (pool_fleet_disruptions.c). */

void PoolFleet_Disrupt(fleet_t *fleet, event_t *event);

#endif
