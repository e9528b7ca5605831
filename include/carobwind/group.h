/* What an owner knows of a database's endpoints: terms, positions, health and
 * the history of the primary's positions. */
#ifndef CAROBWIND_GROUP_H
#define CAROBWIND_GROUP_H

#include "carobwind/endpoint.h"
#include "carobwind/inventory.h"
#include "carobwind/limit.h"
#include "carobwind/token.h"

#define Cbw_GROUP_SAMPLES_MAX 256
#define Cbw_GROUP_SAMPLE_INTERVAL (5 * Cbw_MSEC)
/* An endpoint without a sign of life for so long is not chosen. */
#define Cbw_GROUP_HEALTH_TIMEOUT (1200 * Cbw_MSEC)

typedef struct {
    cbw_endpoint_state_t state;
    cbw_time_t state_requested_at; /* when the question for `state` was sent */
    cbw_time_t last_heard_at;      /* last sign of life; 0: never */
    bool leaving;
    cbw_limit_t limit;
} cbw_group_endpoint_t;

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
    size_t sample_count;          /* samples written ever */
    cbw_time_t term_confirmed_at; /* a majority was in the term at this time */
} cbw_group_t;

void CbwGroup_Init(cbw_group_t *group, const cbw_database_t *database);
/* Endpoint `index` reported `state` in an answer to what was sent at `sent`.
 * Returns whether the primary or the term changed. */
bool CbwGroup_OnState(cbw_group_t *group, int index, cbw_time_t sent,
                      cbw_time_t now, const cbw_endpoint_state_t *state);
/* An upper bound of the age of data that includes the primary's log up to
 * `position`; Cbw_NEVER when it cannot be told. */
cbw_time_t CbwGroup_DataAge(const cbw_group_t *group, cbw_time_t now,
                            uint64_t position);
typedef enum {
    CBW_TOKEN_SATISFIED,
    CBW_TOKEN_BEHIND, /* the endpoint does not hold it yet */
    CBW_TOKEN_LOST,   /* names a write that a failover dropped */
} cbw_token_check_t;
/* Whether `state` includes what `token` has seen. */
cbw_token_check_t CbwGroup_CheckToken(const cbw_endpoint_state_t *state,
                                      const cbw_token_t *token);
/* Whether the endpoint gave a sign of life lately. */
bool CbwGroup_IsHealthy(const cbw_group_t *group, int index, cbw_time_t now);
/* Whether `state` holds enough for a read that accepts data of `age`. */
bool CbwGroup_IsFresh(const cbw_group_t *group, cbw_time_t now,
                      const cbw_endpoint_state_t *state, cbw_time_t age);

#endif
