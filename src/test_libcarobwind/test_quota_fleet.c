#include <glib.h>
#include <stdlib.h>

#include "quota_world.h"
#include "suites.h"

/* Runs of the random schedules, by default. QUOTA_SEEDS sets another number,
 * and QUOTA_FIRST the first seed. */
#define SCHEDULES 40

/* A fleet without faults. */

/* Returns what ran as a share of what was asked for and allowed. */
static double
share_served(const quota_demand_t *demand, double allowed)
{
    double asked = (double)demand->asked;

    return (double)demand->ran / MIN(asked, allowed);
}

/* With demand above its limit, a workspace gets at least 0.95 of it, also when
 * all its work is on one database, and then within a second. With demand below
 * the limit few requests are refused: random arrivals are clustered, and a
 * small limit without a burst has no room for a cluster on each database. */
static void
test_stable_fleet(void)
{
    static const struct {
        const char *name;
        double rate;
        double burst;
        double demand; /* per second */
        int database;  /* -1: all */
        double least;  /* of the smaller of limit and demand */
    } cases[] = {
        {"large, all databases", 500, 500, 1000, -1, 0.95},
        {"large, one database", 500, 500, 1000, 3, 0.95},
        {"large, all, usual rate", 500, 500, 312, -1, 0.99},
        {"large, all, nine tenths of the limit", 500, 500, 450, -1, 0.95},
        {"large, one database, demand at the limit", 500, 500, 500, 3, 0.95},
        {"large, one database, no burst", 500, 0, 1000, 3, 0.95},
        {"medium, all databases", 40, 40, 200, -1, 0.95},
        {"medium, one database", 40, 40, 200, 5, 0.95},
        {"medium, all, nine tenths of the limit", 40, 40, 36, -1, 0.95},
        {"medium, all, usual rate", 40, 40, 25, -1, 0.99},
        {"medium, all, usual rate, no burst", 40, 0, 25, -1, 0.8},
        {"10 per s, all, usual rate", 10, 10, 6.25, -1, 0.95},
        {"10 per s, one, usual rate", 10, 10, 6.25, 1, 0.97},
        {"small, all databases", 2, 2, 20, -1, 0.95},
        {"small, one database", 2, 2, 20, 1, 0.95},
        {"small, all, usual rate", 2, 2, 1.25, -1, 0.9},
        {"small, one, usual rate", 2, 2, 1.25, 1, 0.93},
        {"small, all, no burst, usual rate", 2, 0, 1.25, -1, 0.9},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        quota_world_t *world = QuotaWorld_New(i + 1);
        int w = QuotaWorld_AddWorkspace(world, cases[i].rate, cases[i].burst);
        quota_demand_t *demand = QuotaWorld_Demand(world, w);
        double first;
        double later;
        QuotaWorld_Run(world, 20 * Cbw_SEC);
        demand->rate = cases[i].demand;
        demand->database = cases[i].database;
        QuotaWorld_Run(world, Cbw_SEC);
        QuotaWorld_ResetCounts(world);
        QuotaWorld_Run(world, 4 * Cbw_SEC);
        first = share_served(demand, cases[i].rate * 4);
        QuotaWorld_Run(world, 596 * Cbw_SEC);
        later = share_served(demand, cases[i].rate * 600);
        g_test_message("%s: %.3f from 1 to 5 s, %.3f in 600 s, peak %.3f, "
                       "%.1f messages per s",
                       cases[i].name, first, later, QuotaWorld_Peak(world),
                       (double)QuotaWorld_Messages(world) / 601);
        if (cases[i].rate >= 40 && cases[i].least >= 0.95) {
            g_assert_cmpfloat(first, >=, cases[i].least);
        }
        g_assert_cmpfloat(later, >=, cases[i].least);
        QuotaWorld_Free(world);
    }
}

/* State and messages end with the demand, and do not grow with the number of
 * hosts. */
static void
test_idle_fleet(void)
{
    quota_world_t *world = QuotaWorld_New(3);
    uint64_t messages;

    for (int i = 0; i < QUOTA_WORKSPACES_MAX; i++) {
        int w = QuotaWorld_AddWorkspace(world, 100, 100);
        QuotaWorld_Demand(world, w)->rate = 300;
        QuotaWorld_Demand(world, w)->database = i;
    }
    QuotaWorld_Run(world, 10 * Cbw_SEC);
    g_assert_cmpuint(QuotaWorld_States(world), <=,
                     (size_t)QUOTA_WORKSPACES_MAX * (QUOTA_DATABASES + 1));
    for (int i = 0; i < QUOTA_WORKSPACES_MAX; i++) {
        QuotaWorld_Demand(world, i)->rate = 0;
    }
    QuotaWorld_Run(world, 8 * Cbw_SEC);
    messages = QuotaWorld_Messages(world);
    QuotaWorld_Run(world, 12 * Cbw_SEC);
    g_assert_cmpuint(QuotaWorld_Messages(world), ==, messages);
    g_assert_cmpuint(QuotaWorld_States(world), ==, 0);
    QuotaWorld_Free(world);
}

/* Random schedules of faults: the bound holds in every window. */

static void
change_demand(quota_world_t *world, int workspace, double rate)
{
    cbw_random_t *random = QuotaWorld_Random(world);
    quota_demand_t *demand = QuotaWorld_Demand(world, workspace);

    demand->rate = CbwRandom_Below(random, 4) == 0
                       ? 0
                       : rate * (0.5 + 4 * CbwRandom_Unit(random));
    demand->database =
        (int)CbwRandom_Below(random, (uint64_t)2 * QUOTA_DATABASES);
    if (demand->database >= QUOTA_DATABASES) {
        demand->database = -1;
    }
}

static void
inject_fault(quota_world_t *world)
{
    cbw_random_t *random = QuotaWorld_Random(world);
    int host = (int)CbwRandom_Below(random, QUOTA_HOSTS);
    cbw_time_t duration = (cbw_time_t)CbwRandom_Below(random, 8 * Cbw_SEC);

    switch (CbwRandom_Below(random, 7)) {
    case 0:
        QuotaWorld_Kill(world, host, duration / 4);
        break;
    case 1:
        QuotaWorld_Freeze(world, host, duration);
        break;
    case 2:
        for (int i = 0; i < 4; i++) {
            QuotaWorld_Host(world, (host + i) % QUOTA_HOSTS)->cut_off = true;
        }
        break;
    case 3:
        QuotaWorld_Move(world, host % QUOTA_DATABASES, duration / 8);
        break;
    case 4:
        QuotaWorld_Faults(world)->lost_messages = 0.2;
        break;
    case 5:
        QuotaWorld_Faults(world)->delayed_messages = 0.2;
        break;
    default:
        break;
    }
}

static void
end_faults(quota_world_t *world)
{
    *QuotaWorld_Faults(world) =
        (quota_faults_t){.held_back = 0.2, .not_run = 0.05};
    for (int i = 0; i < QUOTA_HOSTS; i++) {
        QuotaWorld_Host(world, i)->cut_off = false;
    }
}

static void
run_schedule(uint64_t seed)
{
    static const double rates[] = {2, 20, 200, 1000};
    quota_world_t *world = QuotaWorld_New(seed);
    cbw_random_t *random = QuotaWorld_Random(world);

    g_test_message("seed %d", (int)seed);
    for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
        QuotaWorld_AddWorkspace(world, rates[i],
                                rates[i] * (double)CbwRandom_Below(random, 3));
    }
    for (int i = 0; i < 30; i++) {
        size_t changed = CbwRandom_Below(random, G_N_ELEMENTS(rates));
        for (size_t j = 0; j < G_N_ELEMENTS(rates); j++) {
            change_demand(world, (int)j, rates[j]);
        }
        if (i % 3 == 0) {
            end_faults(world);
        }
        inject_fault(world);
        if (i % 10 == 9) { /* all restart at once */
            cbw_time_t down = (cbw_time_t)CbwRandom_Below(random, Cbw_SEC);
            for (int j = 0; j < QUOTA_HOSTS; j++) {
                QuotaWorld_Kill(world, j, down);
            }
        }
        if (CbwRandom_Below(random, 3) == 0) {
            double factor = CbwRandom_Below(random, 2) == 0 ? 0.3 : 1;
            QuotaWorld_SetLimit(world, (int)changed, rates[changed] * factor,
                                rates[changed] * factor);
        }
        QuotaWorld_Run(
            world, Cbw_SEC + (cbw_time_t)CbwRandom_Below(random, 2 * Cbw_SEC));
    }
    g_test_message("largest share of the bound: %.3f", QuotaWorld_Peak(world));
    QuotaWorld_Free(world);
}

static uint64_t
number_from_environment(const char *name, uint64_t otherwise)
{
    const char *text = g_getenv(name);

    return text != NULL ? strtoull(text, NULL, 10) : otherwise;
}

static void
test_random_schedules(void)
{
    uint64_t first = number_from_environment("QUOTA_FIRST", 1);
    uint64_t seeds = number_from_environment("QUOTA_SEEDS", SCHEDULES);

    for (uint64_t seed = first; seed < first + seeds; seed++) {
        run_schedule(seed);
    }
}

void
Suite_AddQuotaFleet(void)
{
    g_test_add_func("/quota/stable-fleet", test_stable_fleet);
    g_test_add_func("/quota/idle-fleet", test_idle_fleet);
    g_test_add_func("/quota/random-schedules", test_random_schedules);
}
