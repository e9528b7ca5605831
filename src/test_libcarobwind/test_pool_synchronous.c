/* Tests of promotions with synchronous commits: what one replica has received
 * was acknowledged, and must be in the log of the endpoint that is promoted.
 */

#include <glib.h>

#include "pool_world.h"
#include "suites.h"

/* The choice between e1, which is leaving, and e2, after a crash of e0. */
typedef struct {
    const char *name;
    bool synchronous;
    uint64_t positions[3];
    const char *promoted;
} choice_case_t;

static const choice_case_t choice_cases[] = {
    {"the longer log wins", true, {0, 9, 7}, "e1"},
    {"among equals, one that stays", true, {0, 9, 9}, "e2"},
    {"a replica that stays, without synchronous commits",
     false,
     {0, 9, 7},
     "e2"},
};

/* A leaving replica may be the only one that received the last commits. */
static void
test_longest_log_is_promoted(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(choice_cases); i++) {
        const choice_case_t *c = &choice_cases[i];
        const endpoint_report_t reports[] = {
            {.unresponsive = true},
            {.term = 3, .position = {3, c->positions[1]}},
            {.term = 3, .position = {3, c->positions[2]}}};
        pool_world_t world;

        g_test_message("%s", c->name);
        PoolWorld_Init(&world);
        CbwPool_SetSynchronous(&world.pool, c->synchronous);
        world.leaving[1] = true;
        PoolWorld_SetEndpoints(&world);
        g_assert_true(PoolWorld_RunUntilOrder(&world, 4 * Cbw_SEC, reports));
        g_assert_cmpstr(world.promotion_target, ==, c->promoted);
        PoolWorld_Finish(&world);
    }
}

void
Suite_AddPoolSynchronous(void)
{
    g_test_add_func("/pool/longest-log-is-promoted",
                    test_longest_log_is_promoted);
}
