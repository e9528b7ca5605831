#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "pool_world.h"
#include "suites.h"

/* The pool's use of a quota: what it counts, and what it refuses. */

/* Room of the bucket: its burst and Cbw_QUOTA_EXTRA_BURST, with one database
 * in the inventory, and the filling of Cbw_QUOTA_EXTRA_TIME. */
#define ROOM (10 + 16)

typedef struct {
    pool_world_t pool_world;
    cbw_database_t database;
    cbw_workspace_t workspace;
    cbw_inventory_t inventory;
    cbw_quota_t quota;
    cbw_counters_t counters;
} quota_pool_t;

static void
init_world(quota_pool_t *world)
{
    memset(world, 0, sizeof(*world));
    PoolWorld_Init(&world->pool_world);
    snprintf(world->database.name, Cbw_NAME_MAX, "d");
    world->workspace = (cbw_workspace_t){.name = "w", .rate = 1, .burst = 10};
    world->inventory.databases = &world->database;
    world->inventory.database_count = 1;
    world->inventory.workspaces = &world->workspace;
    world->inventory.workspace_count = 1;
    /* The owner has served long enough to fill its bucket. */
    CbwQuota_Init(&world->quota, world->pool_world.now - 60 * Cbw_SEC,
                  &world->counters);
    world->pool_world.pool.counters = &world->counters;
    CbwQuota_SetInventory(&world->quota, world->pool_world.now,
                          &world->inventory);
    world->pool_world.pool.quota = &world->quota;
}

static void
finish_world(quota_pool_t *world)
{
    PoolWorld_Finish(&world->pool_world);
    CbwQuota_Finish(&world->quota);
}

static cbw_request_t *
new_request(quota_pool_t *world, const char *workspace, bool writes)
{
    cbw_request_t *request =
        PoolWorld_NewRequest(&world->pool_world, writes, CBW_READ_LATEST);

    snprintf(request->workspace, sizeof(request->workspace), "%s", workspace);
    return request;
}

static sent_call_t *
last_call(quota_pool_t *world)
{
    return PoolWorld_LastOpenCall(&world->pool_world, CBW_CALL_RUN);
}

/* Returns how many tokens can be reserved now, without the pool. */
static int
count_tokens(quota_pool_t *world)
{
    int count = 0;
    cbw_quota_token_t token;
    cbw_time_t retry_after;

    while (CbwQuota_Reserve(&world->quota, world->pool_world.now, "w", &token,
                            &retry_after)) {
        count++;
    }
    return count;
}

/* What one request costs, by what happens to it. */
static void
test_costs(void)
{
    static const struct {
        const char *name;
        bool writes;
        cbw_reply_status_t replies[2]; /* to its calls */
        int reply_count;
        int cost;
    } cases[] = {
        {"done", true, {CBW_REPLY_OK}, 1, 1},
        {"failed at the endpoint", true, {CBW_REPLY_FAILED}, 1, 1},
        {"a write whose answer is lost", true, {CBW_REPLY_LOST}, 1, 1},
        {"refused by the endpoint, then done",
         true,
         {CBW_REPLY_BUSY, CBW_REPLY_OK},
         2,
         1},
        {"a read that ran twice", false, {CBW_REPLY_LOST, CBW_REPLY_OK}, 2, 2},
        {"in flight", true, {CBW_REPLY_OK}, 0, 1},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        quota_pool_t world;
        cbw_request_t *request;
        g_test_message("%s", cases[i].name);
        init_world(&world);
        request = new_request(&world, "w", cases[i].writes);
        PoolWorld_Submit(&world.pool_world, request);
        for (int j = 0; j < cases[i].reply_count; j++) {
            g_assert_nonnull(last_call(&world));
            PoolWorld_Reply(&world.pool_world, last_call(&world),
                            cases[i].replies[j], 7);
            PoolWorld_Tick(&world.pool_world, 10 * Cbw_MSEC);
        }
        g_assert_cmpint(count_tokens(&world), ==, ROOM - cases[i].cost);
        finish_world(&world);
        PoolWorld_FreeRequest(request);
    }
}

/* Requests that were never sent cost nothing: the pool returns or refuses them
 * while no primary is usable. */
static void
test_not_sent(void)
{
    for (int returned = 0; returned < 2; returned++) {
        quota_pool_t world;
        cbw_request_t *request;
        g_test_message("returned: %d", returned);
        init_world(&world);
        request = new_request(&world, "w", true);
        world.pool_world.pool.redirected_until = Cbw_NEVER;
        PoolWorld_Submit(&world.pool_world, request);
        g_assert_null(last_call(&world));
        if (returned) {
            CbwPool_ReturnUnsent(&world.pool_world.pool);
        }
        else {
            world.pool_world.now = request->deadline;
            CbwPool_Tick(&world.pool_world.pool, world.pool_world.now, true);
        }
        g_assert_true(world.pool_world.last_answered == request);
        g_assert_cmpint(count_tokens(&world), ==, ROOM);
        finish_world(&world);
        PoolWorld_FreeRequest(request);
    }
}

/* A transaction counts at its first statement, and an open one is not refused
 * when the limit is reached. */
static void
test_transaction(void)
{
    quota_pool_t world;
    cbw_request_t *first;
    cbw_request_t *second;

    init_world(&world);
    first = new_request(&world, "w", true);
    first->transaction = 5;
    first->begins = true;
    PoolWorld_Submit(&world.pool_world, first);
    PoolWorld_Reply(&world.pool_world, last_call(&world), CBW_REPLY_OK, 7);
    g_assert_cmpint(first->answer.outcome, ==, CBW_OUTCOME_DONE);
    g_assert_cmpint(count_tokens(&world), ==, ROOM - 1);
    second = new_request(&world, "w", true);
    second->transaction = 5;
    PoolWorld_Submit(&world.pool_world, second);
    PoolWorld_Reply(&world.pool_world, last_call(&world), CBW_REPLY_OK, 8);
    g_assert_cmpint(second->answer.outcome, ==, CBW_OUTCOME_DONE);
    finish_world(&world);
    PoolWorld_FreeRequest(first);
    PoolWorld_FreeRequest(second);
}

/* Above the limit a request is refused at once, with the retry time and the
 * quota's name. Requests of other workspaces are not. */
static void
test_refusal(void)
{
    static const struct {
        const char *workspace;
        bool refused;
    } cases[] = {{"w", true}, {"", false}, {"other", false}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        quota_pool_t world;
        cbw_request_t *request;
        g_test_message("workspace '%s'", cases[i].workspace);
        init_world(&world);
        count_tokens(&world);
        request = new_request(&world, cases[i].workspace, true);
        PoolWorld_Submit(&world.pool_world, request);
        g_assert_cmpint(world.pool_world.last_answered == request, ==,
                        cases[i].refused);
        g_assert_cmpint(last_call(&world) == NULL, ==, cases[i].refused);
        if (cases[i].refused) {
            g_assert_cmpint(request->answer.outcome, ==, CBW_OUTCOME_NOTRUN);
            g_assert_cmpint(request->answer.cause, ==, CBW_CAUSE_BUSY);
            g_assert_cmpint(request->answer.retry_after, >, 0);
            g_assert_cmpstr(request->answer.reason, ==,
                            "the quota of workspace w is used up");
            g_assert_cmpint(request->answer.refusal, ==, CBW_REFUSAL_QUOTA);
            g_assert_cmpuint(world.counters.values[CBW_COUNTER_REFUSED_QUOTA],
                             ==, 1);
        }
        finish_world(&world);
        PoolWorld_FreeRequest(request);
    }
}

void
Suite_AddPoolQuota(void)
{
    g_test_add_func("/pool-quota/costs", test_costs);
    g_test_add_func("/pool-quota/not-sent", test_not_sent);
    g_test_add_func("/pool-quota/transaction", test_transaction);
    g_test_add_func("/pool-quota/refusal", test_refusal);
}
