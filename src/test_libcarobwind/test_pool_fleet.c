/* Runs of a fleet of pools with random disruptions, see pool_fleet.h. For
 * manual runs: POOL_FLEET_SEEDS=2000 for more seeds of each case,
 * POOL_FLEET_FIRST=36 for the first one, POOL_FLEET_TRACE=1 to print all
 * events. */

#include <glib.h>
#include <stdlib.h>

#include "pool_fleet.h"
#include "suites.h"

#define SEEDS 30
#define DURATION (60 * Cbw_SEC)

static const fleet_disruptions_t cases[] = {
    {.name = "quiet"},
    {.name = "endpoints",
     .endpoint_crashes = true,
     .endpoint_cuts = true,
     .group_cuts = true},
    {.name = "releases",
     .releases = true,
     .endpoint_crashes = true,
     .host_cuts = true},
    {.name = "hosts",
     .store_cuts = true,
     .host_cuts = true,
     .restarts = true,
     .pauses = true,
     .endpoint_cuts = true},
    {.name = "all",
     .store_cuts = true,
     .endpoint_crashes = true,
     .endpoint_cuts = true,
     .group_cuts = true,
     .host_cuts = true,
     .restarts = true,
     .pauses = true,
     .releases = true},
    {.name = "lost-swaps",
     .store_cuts = true,
     .lost_swaps = true,
     .endpoint_crashes = true,
     .endpoint_cuts = true,
     .group_cuts = true,
     .host_cuts = true,
     .restarts = true,
     .pauses = true,
     .releases = true},
    {.name = "differing-views",
     .store_cuts = true,
     .lost_swaps = true,
     .endpoint_crashes = true,
     .endpoint_cuts = true,
     .group_cuts = true,
     .host_cuts = true,
     .restarts = true,
     .pauses = true,
     .releases = true,
     .differing_views = true},
    {.name = "late-orders",
     .store_cuts = true,
     .endpoint_crashes = true,
     .endpoint_cuts = true,
     .group_cuts = true,
     .host_cuts = true,
     .restarts = true,
     .pauses = true,
     .releases = true,
     .late_orders = true,
     .lost_orders = true},
    {.name = "branches",
     .store_cuts = true,
     .endpoint_crashes = true,
     .deaf_crashes = true,
     .restarts = true},
    {.name = "long-branches",
     .store_cuts = true,
     .endpoint_crashes = true,
     .long_crashes = true,
     .deaf_crashes = true,
     .restarts = true},
    {.name = "synchronous",
     .synchronous = true,
     .endpoint_crashes = true,
     .store_losses = true,
     .deaf_crashes = true},
    {.name = "synchronous-hosts",
     .synchronous = true,
     .store_cuts = true,
     .lost_swaps = true,
     .endpoint_crashes = true,
     .endpoint_cuts = true,
     .deaf_crashes = true,
     .host_cuts = true,
     .restarts = true,
     .pauses = true,
     .releases = true},
    {.name = "workspaces",
     .store_cuts = true,
     .endpoint_crashes = true,
     .endpoint_cuts = true,
     .group_cuts = true,
     .host_cuts = true,
     .restarts = true,
     .pauses = true,
     .releases = true,
     .workspaces = true},
};

static uint64_t
read_number(const char *name, uint64_t missing)
{
    const char *text = g_getenv(name);

    return text != NULL ? g_ascii_strtoull(text, NULL, 10) : missing;
}

static void
check_result(const char *name, uint64_t seed, const fleet_result_t *result)
{
    if (result->superseded_commits == 0 && result->stale_reads == 0 &&
        result->restored_logs == 0 && result->lost_commits == 0 &&
        result->lower_fences == 0 && result->orders_in_turn == 0 &&
        result->quiet_successes > result->quiet_failures) {
        return;
    }
    g_test_message(
        "%s, seed %" G_GUINT64_FORMAT
        ": %d commits at a replaced primary, %d stale reads, %d restored "
        "logs, %d promotions with lost commits, %d lower fences, %d orders in "
        "turn, %d of %d served in the "
        "end; first at %s",
        name, seed, result->superseded_commits, result->stale_reads,
        result->restored_logs, result->lost_commits, result->lower_fences,
        result->orders_in_turn, result->quiet_successes,
        result->quiet_successes + result->quiet_failures, result->first_fault);
    g_test_fail();
}

static void
play_case(gconstpointer data)
{
    const fleet_disruptions_t *disruptions = data;
    uint64_t first = read_number("POOL_FLEET_FIRST", 1);
    uint64_t end = first + read_number("POOL_FLEET_SEEDS", SEEDS);
    bool verbose = read_number("POOL_FLEET_TRACE", 0) != 0;
    fleet_result_t result;
    int promotions = 0;
    int commits = 0;

    for (uint64_t seed = first; seed < end; seed++) {
        PoolFleet_Run(seed, disruptions, DURATION, verbose, &result);
        check_result(disruptions->name, seed, &result);
        promotions += result.promotions;
        commits += result.commits_acknowledged;
    }
    g_test_message("%s: %" G_GUINT64_FORMAT
                   " seeds, %d promotions, %d commits acknowledged",
                   disruptions->name, end - first, promotions, commits);
}

void
Suite_AddPoolFleet(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *path = g_strdup_printf("/pool-fleet/%s", cases[i].name);
        g_test_add_data_func(path, &cases[i], play_case);
        g_free(path);
    }
}
