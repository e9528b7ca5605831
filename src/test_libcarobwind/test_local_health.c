#include <glib.h>

#include "carobwind/local_health.h"
#include "suites.h"

#define TICK (20 * Cbw_MSEC)

/* Guards against a host that attributes its own delay to others and declares
 * them dead, and against one that attributes a slow or distant peer or a
 * partition to its own delay and detects dead hosts too late. */
static void
test_delay(void)
{
    static const struct {
        const char *name;
        cbw_time_t tick_delay; /* of one tick */
        cbw_time_t round_trips[6];
        cbw_time_t after; /* from the last event until the check */
        cbw_time_t expected;
    } cases[] = {
        {"nothing seen", 0, {0}, 0, 0},
        {"ordinary ticks", 30 * Cbw_MSEC, {0}, 0, 0},
        {"late loop", 250 * Cbw_MSEC, {0}, 0, 250 * Cbw_MSEC},
        {"late loop, long ago", 250 * Cbw_MSEC, {0}, 3 * Cbw_SEC, 0},
        {"stopped for long", 9 * Cbw_SEC, {0}, 0, Cbw_LOCAL_HEALTH_DELAY_MAX},
        {"far hosts",
         0,
         {60 * Cbw_MSEC, 120 * Cbw_MSEC, 120 * Cbw_MSEC, 130 * Cbw_MSEC,
          60 * Cbw_MSEC, 120 * Cbw_MSEC},
         0,
         0},
        {"one slow peer",
         0,
         {2 * Cbw_MSEC, 250 * Cbw_MSEC, 2 * Cbw_MSEC, 2 * Cbw_MSEC},
         0,
         0},
        {"full link",
         0,
         {2 * Cbw_MSEC, 204 * Cbw_MSEC, 254 * Cbw_MSEC, 224 * Cbw_MSEC},
         0,
         200 * Cbw_MSEC},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cbw_local_health_t health = {0};
        cbw_time_t now = 10 * Cbw_SEC;
        g_test_message("%s", cases[i].name);
        CbwLocalHealth_OnTick(&health, now, TICK);
        now += TICK + cases[i].tick_delay;
        CbwLocalHealth_OnTick(&health, now, TICK);
        for (int j = 0; j < 6 && cases[i].round_trips[j] != 0; j++) {
            CbwLocalHealth_OnAnswer(&health, now, "centre",
                                    cases[i].round_trips[j]);
        }
        now += cases[i].after;
        g_assert_cmpint(CbwLocalHealth_Delay(&health, now), ==,
                        cases[i].expected);
        g_assert_cmpint(CbwLocalHealth_Widen(&health, now, Cbw_SEC), ==,
                        Cbw_SEC + 2 * cases[i].expected);
    }
}

void
Suite_AddLocalHealth(void)
{
    g_test_add_func("/local-health/delay", test_delay);
}
