#include <glib.h>

#include "carobwind/liveness.h"
#include "suites.h"

#define STEP (10 * Cbw_MSEC)
#define RUN_TIME (3 * Cbw_SEC)

/* What happens to a connection on which a call waits from time 0 on. Times are
 * in milliseconds; -1: never. */
typedef struct {
    const char *what;
    int unresponsive_from; /* bytes arrive each 50 ms before that */
    int unresponsive_to;   /* and after that */
    int successor_heard; /* the fresh connection carries an answer from then */
    int probe;           /* expected times */
    int retire;
    int lost;
    int local_delay; /* of this host */
} liveness_case_t;

static const liveness_case_t cases[] = {
    {"answers all the time", -1, -1, -1, -1, -1, -1, 0},
    {"pauses briefly", 500, 600, -1, -1, -1, -1, 0},
    {"unresponsive for 250 ms: probed, not retired", 500, 750, -1, 630, -1, -1,
     0},
    {"frozen for a second: retired, not lost", 500, 1500, 1500, 630, 810, -1,
     0},
    {"unresponsive, like its successor", 500, 9999, -1, 630, 810, -1, 0},
    {"connection lost, its successor works", 500, 9999, 820, 630, 810, 1030,
     0},
    {"responds again after its successor", 500, 1100, 1000, 630, 810, -1, 0},
    {"unresponsive within the local delay: not retired", 500, 1000, -1, 630,
     -1, -1, 200},
    {"unresponsive for longer than that", 500, 9999, -1, 630, 1210, -1, 200},
};

static void
test_cases(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const liveness_case_t *c = &cases[i];
        cbw_liveness_t liveness = {.waiting_since = 0,
                                   .local_delay = c->local_delay * Cbw_MSEC};
        int probe = -1;
        int retire = -1;
        int lost = -1;
        for (cbw_time_t now = STEP; now <= RUN_TIME && lost < 0; now += STEP) {
            int ms = (int)(now / Cbw_MSEC);
            bool unresponsive = c->unresponsive_from >= 0 &&
                                ms > c->unresponsive_from &&
                                ms < c->unresponsive_to;
            if (!unresponsive && ms % 50 == 0) {
                liveness.heard_at = now;
                liveness.probed = false;
            }
            if (liveness.retired_at != 0 && c->successor_heard >= 0 &&
                ms >= c->successor_heard && liveness.successor_heard_at == 0) {
                liveness.successor_heard_at = now;
            }
            switch (CbwLiveness_Judge(&liveness, now)) {
            case CBW_LIVENESS_PROBE:
                liveness.probed = true;
                probe = probe < 0 ? ms : probe;
                break;
            case CBW_LIVENESS_RETIRE:
                liveness.retired_at = now;
                retire = ms;
                break;
            case CBW_LIVENESS_LOST:
                lost = ms;
                break;
            case CBW_LIVENESS_GOOD:
                break;
            }
        }
        g_test_message("%s", c->what);
        g_assert_cmpint(probe, ==, c->probe);
        g_assert_cmpint(retire, ==, c->retire);
        g_assert_cmpint(lost, ==, c->lost);
    }
}

void
Suite_AddLiveness(void)
{
    g_test_add_func("/liveness/cases", test_cases);
}
