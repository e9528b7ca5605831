/* Tests of promotions among logs that earlier promotions have cut back: the
 * logs of a database's endpoints are then branches of each other. */

#include <glib.h>

#include "pool_world.h"
#include "suites.h"

/* Long enough for several polls. */
#define POLLS (400 * Cbw_MSEC)
/* Longer than a promotion takes, also one by a new owner. */
#define PROMOTION_LIMIT (30 * Cbw_SEC)

/* A promotion: what the endpoints report until the pool requests it, which one
 * is chosen, and what they report afterwards. */
typedef struct {
    endpoint_report_t before[3];
    const char *chosen; /* NULL: no further step */
    endpoint_report_t after[3];
    bool restart; /* of the owner, afterwards */
} step_t;

#define STEPS_MAX 4

/* What happens between the promotions. */
typedef struct {
    const char *name;
    bool synchronous;
    step_t steps[STEPS_MAX];
} branch_case_t;

#define DOWN                                                                  \
    {                                                                         \
        .unresponsive = true                                                  \
    }

/* e0 leads term 3. e1 begins term 4 at 3.9, while e0, which is down, goes on
 * to 3.15. */
#define E1_LEADS_TERM_4                                                       \
    {                                                                         \
        .before = {DOWN, {.term = 3}, {.term = 3}}, .chosen = "e1",           \
        .after = {                                                            \
            DOWN,                                                             \
            {.primary = true, .term = 4},                                     \
            {.term = 4}                                                       \
        }                                                                     \
    }
/* e2 begins term 5 at 4.20, while e1, which is down, goes on to 4.25. */
#define E2_LEADS_TERM_5                                                       \
    .before = {{.term = 4, .position = {3, 15}},                              \
               DOWN,                                                          \
               {.term = 4, .position = {4, 20}}},                             \
    .chosen = "e2",                                                           \
    .after = {{.term = 4, .position = {3, 15}},                               \
              DOWN,                                                           \
              {.primary = true, .term = 5, .position = {4, 20}}}
/* e2 is down; e0 still has the log of term 3, and e1 ends at 4.`INDEX`. */
#define E1_IS_CHOSEN(INDEX)                                                   \
    {                                                                         \
        .before = {{.term = 4, .position = {3, 15}},                          \
                   {.term = 5, .position = {4, INDEX}},                       \
                   DOWN},                                                     \
        .chosen = "e1"                                                        \
    }

static const branch_case_t branch_cases[] = {
    {.name = "discarded by the last promotion but one",
     .steps = {E1_LEADS_TERM_4, {E2_LEADS_TERM_5}, E1_IS_CHOSEN(25)}},
    {.name = "by an owner that has seen none of the promotions",
     .steps = {E1_LEADS_TERM_4,
               {E2_LEADS_TERM_5, .restart = true},
               E1_IS_CHOSEN(25)}},
    {.name = "a log without discarded entries, though a shorter one",
     .steps = {E1_LEADS_TERM_4, {E2_LEADS_TERM_5}, E1_IS_CHOSEN(12)}},
    {.name = "with synchronous commits",
     .synchronous = true,
     .steps = {E1_LEADS_TERM_4, {E2_LEADS_TERM_5}, E1_IS_CHOSEN(25)}},
};

static void
promote(pool_world_t *world, const step_t *step)
{
    g_assert_true(
        PoolWorld_RunUntilOrder(world, PROMOTION_LIMIT, step->before));
    g_assert_cmpstr(world->promotion_target, ==, step->chosen);
    CbwPool_OnPromoteReply(&world->pool, world->now, CBW_PROMOTE_ACCEPTED);
    PoolWorld_Run(world, POLLS, step->after);
}

/* After review/6: entries that a promotion has discarded stay discarded after
 * the next ones, and their log is not preferred to one that lost less. */
static void
test_discarded_by_earlier_promotion(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(branch_cases); i++) {
        const branch_case_t *c = &branch_cases[i];
        pool_world_t world;

        g_test_message("%s", c->name);
        PoolWorld_Init(&world);
        CbwPool_SetSynchronous(&world.pool, c->synchronous);
        for (int j = 0; j < STEPS_MAX && c->steps[j].chosen != NULL; j++) {
            promote(&world, &c->steps[j]);
            if (c->steps[j].restart) {
                PoolWorld_RestartOwner(&world);
            }
        }
        PoolWorld_Finish(&world);
    }
}

/* The present primary may be promoted again in its own term: that term's begin
 * stays where it was, and so do the entries that it has discarded. */
static void
test_repeated_promotion_keeps_base(void)
{
    static const step_t first = E1_LEADS_TERM_4;
    static const endpoint_report_t written[] = {
        DOWN, {.primary = true, .term = 4, .position = {4, 30}}, DOWN};
    static const endpoint_report_t lost[] = {
        {.term = 4, .position = {3, 15}}, DOWN, {.term = 4}};
    pool_world_t world;

    PoolWorld_Init(&world);
    promote(&world, &first);
    /* Another owner claims a promotion, and fails before it requests one. */
    world.record.holder.nonce = NONCE + 7;
    world.record.promoting = true;
    world.record.epoch++;
    world.version++;
    PoolWorld_RestartOwner(&world);
    CbwPool_OnHolderUnreachable(&world.pool, world.now, NONCE + 7);
    g_assert_true(PoolWorld_RunUntilOrder(&world, PROMOTION_LIMIT, written));
    g_assert_cmpstr(world.promotion_target, ==, "e1");
    CbwPool_OnPromoteReply(&world.pool, world.now, CBW_PROMOTE_ACCEPTED);
    PoolWorld_Run(&world, Cbw_POOL_PROMOTION_RETRY_AFTER + POLLS, written);
    g_assert_false(world.record.promoting);
    g_assert_true(PoolWorld_RunUntilOrder(&world, PROMOTION_LIMIT, lost));
    g_assert_cmpstr(world.promotion_target, ==, "e2");
    PoolWorld_Finish(&world);
}

void
Suite_AddPoolBranches(void)
{
    g_test_add_func("/pool/discarded-by-earlier-promotion",
                    test_discarded_by_earlier_promotion);
    g_test_add_func("/pool/repeated-promotion-keeps-base",
                    test_repeated_promotion_keeps_base);
}
