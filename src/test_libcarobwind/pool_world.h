/* A pool over three endpoints, of which the first leads, and a store; the
 * test answers their calls. */
#ifndef TEST_LIBCAROBWIND_POOL_WORLD_H
#define TEST_LIBCAROBWIND_POOL_WORLD_H

#include "carobwind/pool.h"

#define CALLS_MAX 64
#define NONCE 42

typedef struct {
    uint64_t id;
    int endpoint;
    cbw_call_t call;
    bool open;
} sent_t;

typedef struct {
    cbw_pool_t pool;
    cbw_time_t now;
    sent_t sent[CALLS_MAX];
    int sent_count;
    bool abort_may_have_sent; /* what an abort says of its call */
    cbw_request_t *last_answered;
    int answer_count;
    bool read_pending;
    bool swap_pending;
    uint64_t version;
    cbw_tenure_record_t record;
    char promotion_target[Cbw_NAME_MAX];
    uint64_t fence;
    int relinquish_requests;
    char redirected_to[Cbw_NAME_MAX];
} world_t;

void World_Init(world_t *world);
void World_Finish(world_t *world);
/* The present inventory names the three endpoints. */
void World_SetEndpoints(world_t *world, bool primary_leaves);
/* The store answers what was asked of it. */
void World_ServeStore(world_t *world);
void World_Tick(world_t *world, cbw_time_t step);
/* The caller frees it with World_FreeRequest. */
cbw_request_t *World_NewRequest(world_t *world, bool writes,
                                cbw_read_consistency_t rule);
void World_FreeRequest(cbw_request_t *request);
void World_Submit(world_t *world, cbw_request_t *request);
/* The latest call that still waits for its answer; NULL: none. */
sent_t *World_LastSent(world_t *world, cbw_call_verb_t verb);
/* Answers a call; `position` is of term 3, 0: it says none. */
void World_Reply(world_t *world, sent_t *sent, cbw_reply_status_t status,
                 uint64_t position);

#endif
