/* State of a database's endpoints as known to an owner: terms, log positions,
 * health, and recent samples of the primary's log position, from which the age
 * of a replica's data is computed. */
#ifndef CAROBWIND_GROUP_H
#define CAROBWIND_GROUP_H

#include "carobwind/endpoint.h"
#include "carobwind/inventory.h"
#include "carobwind/limit.h"
#include "carobwind/token.h"

/* Number of samples of the primary's log position that are kept. */
#define Cbw_GROUP_SAMPLES_MAX 256
/* Minimum time between two samples. */
#define Cbw_GROUP_SAMPLE_INTERVAL (5 * Cbw_MSEC)
/* An endpoint without a reply for this long counts as unhealthy. */
#define Cbw_GROUP_HEALTH_TIMEOUT (1200 * Cbw_MSEC)

typedef struct {
    cbw_endpoint_state_t state;    /* last reported */
    cbw_time_t state_requested_at; /* when the call for `state` was sent */
    cbw_time_t last_heard_at;      /* 0: never */
    bool leaving;                  /* announced as about to leave the group */
    cbw_limit_t limit;             /* of statements in flight */
} cbw_group_endpoint_t;

/* At `time`, the primary's log did not go beyond `position`. */
typedef struct {
    cbw_time_t time;
    uint64_t position;
} cbw_position_sample_t;

typedef struct {
    int count;
    cbw_group_endpoint_t endpoints[Cbw_ENDPOINTS_MAX];
    int primary; /* index; -1: not known */
    uint64_t term;
    cbw_position_sample_t samples[Cbw_GROUP_SAMPLES_MAX];
    size_t sample_count; /* ever added in this term */
    /* The last time at which a majority is known to have been in `term`; 0:
     * not known. */
    cbw_time_t term_confirmed_at;
} cbw_group_t;

/* Initializes the group from the inventory; nothing is known of its endpoints.
 */
void CbwGroup_Init(cbw_group_t *group, const cbw_database_t *database);
/* Handles a state that endpoint `index` reported in its reply to a call sent
 * at `sent_at`. States that are older than the last one are dropped. Returns
 * whether the primary or the term changed. */
bool CbwGroup_OnState(cbw_group_t *group, int index, cbw_time_t sent_at,
                      cbw_time_t now, const cbw_endpoint_state_t *state);
/* Returns an upper bound of the age of data that includes the primary's log up
 * to `position`, or Cbw_NEVER when no bound is known. */
cbw_time_t CbwGroup_DataAge(const cbw_group_t *group, cbw_time_t now,
                            uint64_t position);

/* How an endpoint's log relates to a session token. */
typedef enum {
    CBW_TOKEN_SATISFIED, /* the log includes the token's position */
    CBW_TOKEN_BEHIND,    /* the log does not include it yet */
    CBW_TOKEN_LOST,      /* a promotion discarded the token's position */
} cbw_token_check_t;

/* Compares an endpoint's state with what a session has seen. */
cbw_token_check_t CbwGroup_CheckToken(const cbw_endpoint_state_t *state,
                                      const cbw_token_t *token);
/* Whether the endpoint was heard from within Cbw_GROUP_HEALTH_TIMEOUT. */
bool CbwGroup_IsHealthy(const cbw_group_t *group, int index, cbw_time_t now);
/* Whether an endpoint with `state` may serve a read that accepts data up to
 * `age` old. */
bool CbwGroup_IsFresh(const cbw_group_t *group, cbw_time_t now,
                      const cbw_endpoint_state_t *state, cbw_time_t age);

#endif
