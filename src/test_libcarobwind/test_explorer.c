#include <glib.h>
#include <stdlib.h>

#include "explorer.h"
#include "suites.h"

/* States of one case with all rules in place; the environment variable
 * EXPLORER_STATES sets another number. */
#define STATES_DEFAULT 250000
#define STATES_MUTANT 700000

typedef struct {
    const char *name;
    explorer_settings_t settings;
    const char *violation; /* expected; NULL: none */
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
      .states_max = 700000},
     NULL},
    {"all-rules/promoters-alone",
     {.position = true, .promoters = 3, .promotions = 2},
     NULL},
    {"all-rules/two-promoters",
     {.position = true, .writers = 1, .promoters = 3, .promotions = 2},
     NULL},
    {"all-rules/promoter-dies",
     {.position = true,
      .writers = 1,
      .promoters = 3,
      .promotions = 2,
      .crashes = 1},
     NULL},
    {"all-rules/lost-answers",
     {.position = true,
      .writers = 1,
      .promoters = 2,
      .promotions = 1,
      .losses = 2},
     NULL},
    {"all-rules/settled",
     {.position = true,
      .writers = 3,
      .promoters = 2,
      .promotions = 1,
      .cancels = 1,
      .losses = 1},
     NULL},
    {"all-rules/after-a-cut",
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
     {.without = RULE_TICKET,
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
     "the write stands twice in a log"},
    {"without/tombstone",
     {.without = RULE_TOMBSTONE, .position = true, .writers = 3, .cancels = 1},
     "told notrun, but it ran"},
};

static void
test_case(gconstpointer data)
{
    const explorer_case_t *this = data;
    explorer_settings_t settings = this->settings;
    const char *states = g_getenv("EXPLORER_STATES");
    explorer_result_t result;

    settings.depth = 60;
    if (settings.states_max == 0) {
        settings.states_max = STATES_DEFAULT;
    }
    if (states != NULL) {
        settings.states_max = strtoul(states, NULL, 10);
    }
    if (this->violation != NULL) {
        settings.states_max = STATES_MUTANT;
    }
    g_assert_cmpint(Explorer_Run(&settings, &result), ==, 0);
    g_test_message("%s: %zu states, %d steps deep%s%s", this->name,
                   result.states, result.depth,
                   result.complete ? ", all of them" : "",
                   result.violated ? ", violated" : "");
    if (result.violated) {
        g_test_message("%s after:\n%s", result.violation, result.trace);
    }
    if (this->violation == NULL) {
        g_assert_false(result.violated);
        return;
    }
    g_assert_true(result.violated);
    g_assert_cmpstr(result.violation, ==, this->violation);
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
