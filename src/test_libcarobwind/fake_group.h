/* A simulated database group: one owner (cbw_owner_t) with three fake
 * endpoints and a fake store. It runs in virtual time and is deterministic for
 * a seed, so that every run gives the same figures. */
#ifndef TEST_LIBCAROBWIND_FAKE_GROUP_H
#define TEST_LIBCAROBWIND_FAKE_GROUP_H

#include <glib.h>

#include "carobwind/owner.h"
#include "carobwind/random.h"

#define FAKE_ENDPOINTS 3
/* Interval of CbwOwner_Tick. */
#define FAKE_TICK_INTERVAL (5 * Cbw_MSEC)

typedef struct {
    /* Names of the owner's policies. */
    const char *queue_policy;
    const char *limit_policy;
    const char *route_policy;
    /* Inventory text, whose first database is simulated; NULL: a default. */
    const char *inventory;
    /* Statements that each endpoint executes at once. The inventory may
     * declare another number. */
    int slots;
    cbw_time_t service_time;    /* mean execution time of a statement */
    cbw_time_t network_delay;   /* one way, between owner and endpoint */
    cbw_time_t replication_lag; /* from an append until replicas copy it */
    uint64_t seed;
} fake_settings_t;

extern const fake_settings_t FakeGroup_Defaults;

/* A log entry: a write or, as a tombstone, the cancellation of its key. The
 * entry that begins a term has no key. */
typedef struct {
    uint64_t term;
    char key[Cbw_KEY_MAX];
    bool tombstone;
} fake_log_entry_t;

typedef struct {
    /* Faults that the test injects. */
    bool down;               /* answers nothing */
    bool ignores_statements; /* gives RUN, BEGIN and COMMIT calls no answer */
    bool ignores_cancels;    /* gives CANCEL calls no answer */
    /* State of the endpoint. */
    uint64_t term;
    bool primary;
    uint64_t follows; /* term of the primary it replicates; 0: none */
    GArray *log;      /* of fake_log_entry_t; position 1 is the first */
    GQueue queue;     /* of events: statements that wait for a slot */
    int busy_slots;
    uint64_t statement_count; /* executed, with cancellations and rollbacks */
} fake_endpoint_t;

typedef struct fake_group fake_group_t;

/* Called with each answered request, before it is freed. */
typedef void (*fake_answer_callback_t)(fake_group_t *group,
                                       const cbw_request_t *request);

struct fake_group {
    fake_settings_t settings;
    cbw_time_t now;            /* virtual time */
    GSequence *pending_events; /* sorted by due time */
    uint64_t event_count;      /* ever scheduled */
    cbw_inventory_t inventory;
    cbw_owner_t owner;
    cbw_counters_t counters;
    fake_endpoint_t endpoints[FAKE_ENDPOINTS];
    bool store_down;      /* calls to the store end with CBW_STORE_LOST */
    bool lose_swap_reply; /* the next swap takes effect but ends as lost */
    uint64_t record_version;
    cbw_group_record_t record;
    cbw_random_t random;
    bool peers_reach_primary;         /* result of the owner's ask_reach */
    int ownership_moves;              /* calls of the owner's move_ownership */
    fake_answer_callback_t on_answer; /* NULL: none */
    void *context;
    uint64_t request_count; /* submitted */
    uint64_t outcome_counts[CBW_OUTCOME_UNKNOWN + 1];
    cbw_answer_t last_answer; /* without its result */
};

/* Initializes a group whose endpoint 0 is primary of term 1, and runs it for
 * 700 ms. */
void FakeGroup_Init(fake_group_t *group, const fake_settings_t *settings);
void FakeGroup_Finish(fake_group_t *group);
/* Submits a request with the age and the deadline of its kind. `key` and
 * `token` may be ""; `transaction` is 0 outside of transactions. */
void FakeGroup_Submit(fake_group_t *group, cbw_verb_t verb, const char *kind,
                      const char *key, const char *token,
                      uint64_t transaction);
/* Like FakeGroup_Submit, with a trace id. */
void FakeGroup_SubmitTraced(fake_group_t *group, cbw_verb_t verb,
                            const char *kind, const char *key,
                            const char *token, uint64_t transaction,
                            const char *trace);
/* Advances the virtual time to `until` and handles the events that are due. */
void FakeGroup_Run(fake_group_t *group, cbw_time_t until);
/* Returns how many entries of the endpoint's log are writes with this key;
 * tombstones do not count. */
int FakeGroup_CountKey(const fake_group_t *group, int endpoint,
                       const char *key);
/* Returns the running endpoint that is primary in the highest term; -1 when
 * none is. */
int FakeGroup_Primary(const fake_group_t *group);

#endif
