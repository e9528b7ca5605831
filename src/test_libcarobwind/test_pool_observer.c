#include <glib.h>

#include "pool_world.h"
#include "suites.h"

/* How an owner handles a primary that is unresponsive for a while. Times are
 * in milliseconds. */
typedef struct {
    const char *name;
    int observer_delay;
    bool witnesses_unresponsive;
    int unresponsive_for; /* the primary */
    /* When a promotion may be requested, after the primary became
     * unresponsive; `latest` 0: never. */
    int earliest;
    int latest;
} observer_case_t;

/* Guards against the replacement of a live primary by a host whose own link is
 * saturated, so that its state calls time out. */
static void
test_cases(void)
{
    static const observer_case_t cases[] = {
        {"in time, the primary is dead", 0, false, 20000, 0, 1900},
        {"late, the primary is dead", 200, false, 20000, 4000, 7500},
        {"late, the primary answers late", 200, false, 2500, 0, 0},
        {"in time, the witnesses are unresponsive", 0, true, 20000, 600, 3000},
    };
    static const endpoint_report_t unresponsive[] = {
        {.unresponsive = true}, {.term = 3}, {.term = 3}};
    static const endpoint_report_t responsive[] = {
        {.primary = true, .term = 3}, {.term = 3}, {.term = 3}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const observer_case_t *c = &cases[i];
        pool_world_t world;
        cbw_time_t began;
        bool ordered;

        g_test_message("%s", c->name);
        PoolWorld_Init(&world);
        world.witnesses_unresponsive = c->witnesses_unresponsive;
        CbwPool_SetObserver(&world.pool, c->observer_delay * Cbw_MSEC,
                            c->witnesses_unresponsive);
        began = world.now;
        ordered = PoolWorld_RunUntilOrder(
            &world,
            (c->latest != 0 ? c->latest : c->unresponsive_for) * Cbw_MSEC,
            unresponsive);
        g_test_message("requested after %d ms",
                       ordered ? (int)((world.now - began) / Cbw_MSEC) : -1);
        g_assert_cmpint(ordered, ==, c->latest != 0);
        if (ordered) {
            g_assert_cmpint(world.now - began, >=, c->earliest * Cbw_MSEC);
        }
        else {
            g_assert_false(
                PoolWorld_RunUntilOrder(&world, 8 * Cbw_SEC, responsive));
        }
        PoolWorld_Finish(&world);
    }
}

void
Suite_AddPoolObserver(void)
{
    g_test_add_func("/pool/observer", test_cases);
}
