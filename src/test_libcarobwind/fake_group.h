/* Three fake endpoints and a fake store around one owner of the kernel, in
 * virtual time: the same figures in each run. */
#ifndef TEST_LIBCAROBWIND_FAKE_GROUP_H
#define TEST_LIBCAROBWIND_FAKE_GROUP_H

#include <glib.h>

#include "carobwind/owner.h"
#include "carobwind/random.h"

#define FAKE_ENDPOINTS 3
/* Time between ticks of the owner. */
#define FAKE_TICK_INTERVAL (5 * Cbw_MSEC)

typedef struct {
    const char *queue_policy;
    const char *limit_policy;
    const char *route_policy;
    const char *inventory;    /* its first database is used; NULL: a default */
    int slots;                /* real ones of each endpoint */
    cbw_time_t service_time;  /* mean time of a statement */
    cbw_time_t network_delay; /* one way to the endpoints */
    cbw_time_t replication_lag; /* of the replication */
    uint64_t seed;
} fake_settings_t;

extern const fake_settings_t FakeGroup_Defaults;

typedef struct {
    uint64_t term;
    char key[Cbw_KEY_MAX];
    bool tombstone;
} fake_log_entry_t;

typedef struct {
    bool down;               /* answers nothing */
    bool ignores_statements; /* statements get no answer; control calls do */
    bool ignores_cancels;    /* nor do cancellations */
    uint64_t term;
    bool primary;
    uint64_t follows;
    GArray *log; /* of fake_log_entry_t */
    GQueue queue;
    int busy_slots;
    uint64_t statement_count;
} fake_endpoint_t;

typedef struct fake_group fake_group_t;

typedef void (*fake_answer_callback_t)(fake_group_t *group,
                                       const cbw_request_t *request);

struct fake_group {
    fake_settings_t settings;
    cbw_time_t now;
    GSequence *pending_events;
    uint64_t event_count;
    cbw_inventory_t inventory;
    cbw_owner_t owner;
    cbw_counters_t counters;
    fake_endpoint_t endpoints[FAKE_ENDPOINTS];
    bool store_down;
    bool lose_swap_reply; /* the next swap takes effect, its answer is lost */
    uint64_t record_version;
    cbw_group_record_t record;
    cbw_random_t random;
    bool peers_reach_primary;
    int ownership_moves;
    fake_answer_callback_t on_answer;
    void *context;
    uint64_t request_count;
    uint64_t outcome_counts[CBW_OUTCOME_UNKNOWN + 1];
    cbw_answer_t last_answer; /* without its result */
};

void FakeGroup_Init(fake_group_t *group, const fake_settings_t *settings);
void FakeGroup_Finish(fake_group_t *group);
/* Submits a request; `key` and `token` may be "". */
void FakeGroup_Submit(fake_group_t *group, cbw_verb_t verb, const char *kind,
                      const char *key, const char *token,
                      uint64_t transaction);
void FakeGroup_SubmitTraced(fake_group_t *group, cbw_verb_t verb,
                            const char *kind, const char *key,
                            const char *token, uint64_t transaction,
                            const char *trace);
/* Lets time pass up to `until`. */
void FakeGroup_Run(fake_group_t *group, cbw_time_t until);
/* How often a key stands in an endpoint's log as a statement. */
int FakeGroup_CountKey(const fake_group_t *group, int endpoint,
                       const char *key);
/* The endpoint that is primary in the highest term; -1: none. */
int FakeGroup_Primary(const fake_group_t *group);

#endif
