#include <glib.h>

#include "carobwind/offload.h"
#include "suites.h"

/* Guards against reads that leave the region without need, and against reads
 * that wait here while the other region could serve them. Times are
 * milliseconds. */
static void
test_cases(void)
{
    static const struct {
        const char *what;
        int slots, waiting, latency, lag;         /* here */
        int r_slots, r_waiting, r_latency, r_lag; /* there */
        int load;
        int rank;
        bool leaving; /* before */
        cbw_offload_reason_t expected;
    } cases[] = {
        {"idle", 8, 0, 26, 0, 4, 0, 86, 0, 0, 2, false, CBW_OFFLOAD_STAYS},
        {"short queue", 8, 10, 26, 0, 4, 0, 86, 0, 0, 2, false,
         CBW_OFFLOAD_STAYS},
        {"local endpoints too few in a burst", 8, 40, 26, 0, 4, 0, 86, 0, 0, 2,
         false, CBW_OFFLOAD_QUEUE},
        {"the burst fills the remote side too", 8, 40, 26, 0, 4, 20, 86, 0, 0,
         2, false, CBW_OFFLOAD_STAYS},
        {"between the limits, reads stay", 8, 24, 26, 0, 4, 0, 86, 0, 0, 2,
         false, CBW_OFFLOAD_STAYS},
        {"between the limits, reads leave", 8, 24, 26, 0, 4, 0, 86, 0, 0, 2,
         true, CBW_OFFLOAD_QUEUE},
        {"under both limits", 8, 15, 26, 0, 4, 0, 86, 0, 0, 2, true,
         CBW_OFFLOAD_STAYS},
        {"local replica behind", 4, 0, 15, 400, 4, 0, 75, 0, 0, 1, false,
         CBW_OFFLOAD_BEHIND},
        {"both replicas behind", 4, 0, 15, 400, 4, 0, 75, 400, 0, 1, false,
         CBW_OFFLOAD_STAYS},
        {"region cut off", 8, 200, 26, 0, 0, 0, 0, 0, 0, 0, true,
         CBW_OFFLOAD_STAYS},
        {"link slow", 8, 40, 26, 0, 4, 0, 86, 0, 88, 2, false,
         CBW_OFFLOAD_STAYS},
        {"link slow, long queue", 8, 120, 26, 0, 4, 0, 86, 0, 88, 2, false,
         CBW_OFFLOAD_QUEUE},
        {"link reserved for urgent work", 8, 400, 26, 0, 4, 0, 86, 0, 92, 1,
         false, CBW_OFFLOAD_STAYS},
        {"urgent work over a busy link", 8, 400, 26, 0, 4, 0, 86, 0, 92, 0,
         false, CBW_OFFLOAD_QUEUE},
        {"link full", 8, 400, 26, 0, 4, 0, 86, 0, 97, 0, true,
         CBW_OFFLOAD_STAYS},
        {"remote endpoint slow", 8, 40, 26, 0, 4, 0, 400, 0, 0, 2, false,
         CBW_OFFLOAD_STAYS},
        {"callers moved to a region without endpoints", 0, 30, 0, 0, 4, 50,
         300, 0, 0, 2, false, CBW_OFFLOAD_NO_ENDPOINT},
        {"neither side has endpoints", 0, 30, 0, 0, 0, 0, 0, 0, 0, 2, false,
         CBW_OFFLOAD_STAYS},
        {"path not measured", 8, 20, 26, 0, 4, 0, 0, 0, 0, 2, false,
         CBW_OFFLOAD_STAYS},
        {"path not measured, long queue", 8, 40, 26, 0, 4, 0, 0, 0, 0, 2,
         false, CBW_OFFLOAD_QUEUE},
    };
    static const cbw_offload_link_t link = {.bytes = 1100};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cbw_offload_t offload = {.cost_per_kb = Cbw_OFFLOAD_COST_PER_KB,
                                 .leaving = cases[i].leaving};
        cbw_offload_side_t here = {.slots = cases[i].slots,
                                   .waiting = cases[i].waiting,
                                   .latency = cases[i].latency * Cbw_MSEC,
                                   .lag = cases[i].lag * Cbw_MSEC};
        cbw_offload_side_t there = {.slots = cases[i].r_slots,
                                    .waiting = cases[i].r_waiting,
                                    .latency = cases[i].r_latency * Cbw_MSEC,
                                    .lag = cases[i].r_lag * Cbw_MSEC};
        cbw_offload_link_t loaded = link;
        loaded.load = cases[i].load;
        g_test_message("%s", cases[i].what);
        g_assert_cmpint(
            CbwOffload_Decide(&offload, cases[i].rank, &here, &there, &loaded),
            ==, cases[i].expected);
    }
}

/* Guards against a cost without effect. */
static void
test_price(void)
{
    static const struct {
        int cost_ms; /* per kB */
        cbw_offload_reason_t expected;
    } cases[] = {{0, CBW_OFFLOAD_QUEUE},
                 {5, CBW_OFFLOAD_QUEUE},
                 {50, CBW_OFFLOAD_STAYS}};
    static const cbw_offload_side_t here = {
        .slots = 8, .waiting = 40, .latency = 26 * Cbw_MSEC};
    static const cbw_offload_side_t there = {.slots = 4,
                                             .latency = 86 * Cbw_MSEC};
    static const cbw_offload_link_t link = {.bytes = 2000};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cbw_offload_t offload = {.cost_per_kb = cases[i].cost_ms * Cbw_MSEC};
        g_assert_cmpint(CbwOffload_Decide(&offload, 0, &here, &there, &link),
                        ==, cases[i].expected);
    }
}

/* A burst of 2.5 times the capacity here, for 2 s, in steps of 1 ms: eight
 * slots of 26 ms here, four of 86 ms there. Guards against sending all reads
 * or none: the excess leaves, the slots here stay busy, and nothing leaves
 * once the burst is over. */
static void
test_burst(void)
{
    cbw_offload_t offload = {.cost_per_kb = Cbw_OFFLOAD_COST_PER_KB};
    cbw_offload_link_t link = {.bytes = 1100};
    double waiting = 0;
    double here_free_at = 0; /* ms: when a slot is free next, on average */
    double there_free_at = 0;
    int left = 0;
    int stayed = 0;
    int left_after = 0;

    for (int ms = 0; ms < 12000; ms++) {
        bool burst = ms >= 1000 && ms < 3000;
        waiting += (burst ? 2.5 : 0.2) * 8 / 26;
        while (waiting >= 1 && here_free_at <= ms) {
            here_free_at =
                (here_free_at > ms - 1 ? here_free_at : ms) + 26.0 / 8;
            waiting--;
            stayed++;
        }
        while (waiting >= 1 && there_free_at <= ms) {
            cbw_offload_side_t here = {
                .slots = 8, .waiting = (int)waiting, .latency = 26 * Cbw_MSEC};
            cbw_offload_side_t there = {.slots = 4, .latency = 86 * Cbw_MSEC};
            if (CbwOffload_Decide(&offload, 2, &here, &there, &link) ==
                CBW_OFFLOAD_STAYS) {
                break;
            }
            there_free_at =
                (there_free_at > ms - 1 ? there_free_at : ms) + 86.0 / 4;
            waiting--;
            left++;
            left_after += ms >= 12000 - 1000;
        }
    }
    g_test_message("left %d, stayed %d", left, stayed);
    g_assert_cmpint(left, >, 150); /* four slots for some 4 s */
    g_assert_cmpint(stayed, >, 1700);
    g_assert_cmpint(left_after, ==, 0);
}

void
Suite_AddOffload(void)
{
    g_test_add_func("/offload/cases", test_cases);
    g_test_add_func("/offload/price", test_price);
    g_test_add_func("/offload/burst", test_burst);
}
