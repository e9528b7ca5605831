#include <glib.h>
#include <stdlib.h>

#include "explorer.h"
#include "suites.h"

/* Limit of the states of a case with all rules in force. The environment
 * variable EXPLORER_STATES sets another one for all of these cases. */
#define STATES_MAX_DEFAULT 250000
/* Limit of the states of a case with a rule disabled, which EXPLORER_STATES
 * does not change. */
#define STATES_MAX_RULE_DISABLED 700000

typedef struct {
    const char *name;
    explorer_settings_t settings;
    const char *violation; /* that must be found; NULL: none */
} explorer_case_t;

static const explorer_case_t cases[] = {
    {"all-rules/position",
     {.position = true, .writers = 1, .promoters = 2, .promotions = 1},
     NULL},
    {"all-rules/term",
     {.writers = 1,
      .promoters = 2,
      .promotions = 1,
      .polls = 1,
      /* Reaches as many steps as the shortest violation of without/ticket,
       * whose other settings are the same, has. */
      .states_max = 700000},
     NULL},
    {"all-rules/promoters-alone",
     {.position = true, .promoters = 3, .promotions = 2},
     NULL},
    {"all-rules/two-promoters",
     {.position = true, .writers = 1, .promoters = 3, .promotions = 2},
     NULL},
    {"all-rules/promoter-crashes",
     {.position = true,
      .writers = 1,
      .promoters = 3,
      .promotions = 2,
      .crashes = 1},
     NULL},
    {"all-rules/lost-messages",
     {.position = true,
      .writers = 1,
      .promoters = 2,
      .promotions = 1,
      .losses = 2},
     NULL},
    {"all-rules/cancelled",
     {.position = true,
      .writers = 3,
      .promoters = 2,
      .promotions = 1,
      .cancels = 1,
      .losses = 1},
     NULL},
    {"all-rules/after-partition",
     {.position = true,
      .writers = 1,
      .promoters = 1,
      .promotions = 1,
      .after_partition = true},
     NULL},
    {"without/confirmation",
     {.without = RULE_CONFIRM,
      .position = true,
      .writers = 1,
      .promoters = 2,
      .promotions = 1},
     "an acknowledged write is lost"},
    {"without/ticket",
     {.without = RULE_ANSWER_SEQUENCE,
      .writers = 1,
      .promoters = 2,
      .promotions = 1,
      .polls = 1},
     "acknowledged by a superseded primary"},
    {"without/last-term",
     {.without = RULE_LAST_TERM,
      .position = true,
      .writers = 1,
      .promoters = 1,
      .promotions = 1,
      .after_partition = true},
     "an acknowledged write is lost"},
    {"without/fence-majority",
     {.without = RULE_FENCE_MAJORITY,
      .position = true,
      .writers = 1,
      .promoters = 2,
      .promotions = 1},
     "an acknowledged write is lost"},
    {"without/highest-log",
     {.without = RULE_HIGHEST_LOG,
      .position = true,
      .writers = 1,
      .promoters = 2,
      .promotions = 1},
     "an acknowledged write is lost"},
    {"without/one-promoter",
     {.without = RULE_ONE_PROMOTER,
      .position = true,
      .promoters = 3,
      .promotions = 2},
     "two primaries in one term"},
    {"without/fence",
     {.without = RULE_FENCE,
      .position = true,
      .writers = 1,
      .promoters = 2,
      .promotions = 1},
     "two primaries in one term"},
    {"without/request-key",
     {.without = RULE_REQUEST_KEY, .position = true, .writers = 3},
     "the write is in a log twice"},
    {"without/tombstone",
     {.without = RULE_TOMBSTONE, .position = true, .writers = 3, .cancels = 1},
     "answered notrun, but the write ran"},
};

/* With all rules in force no violation may be found within the limit of the
 * states. With a rule disabled the explorer must find the violation that the
 * rule prevents, which shows that it detects such faults. */
static void
test_case(gconstpointer data)
{
    const explorer_case_t *test = data;
    explorer_settings_t settings = test->settings;
    const char *states = g_getenv("EXPLORER_STATES");
    explorer_result_t result;

    settings.depth = 60; /* less than PATH_MAX_STEPS of explorer.c */
    if (settings.states_max == 0) {
        settings.states_max = STATES_MAX_DEFAULT;
    }
    if (states != NULL) {
        settings.states_max = strtoul(states, NULL, 10);
    }
    if (test->violation != NULL) {
        settings.states_max = STATES_MAX_RULE_DISABLED;
    }
    g_assert_cmpint(Explorer_Run(&settings, &result), ==, 0);
    g_test_message("%s: %zu states, %d steps deep%s%s", test->name,
                   result.states, result.depth,
                   result.complete ? ", limit not reached" : "",
                   result.violated ? ", violated" : "");
    if (result.violated) {
        g_test_message("%s after:\n%s", result.violation, result.trace);
    }
    if (test->violation == NULL) {
        g_assert_false(result.violated);
        return;
    }
    g_assert_true(result.violated);
    g_assert_cmpstr(result.violation, ==, test->violation);
}

void
Suite_AddExplorer(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *path = g_strdup_printf("/explorer/%s", cases[i].name);
        g_test_add_data_func(path, &cases[i], test_case);
        g_free(path);
    }
}
