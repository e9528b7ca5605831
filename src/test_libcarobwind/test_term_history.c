/* Tests of the history of a log's terms. */

#include <glib.h>
#include <stdbool.h>

#include "carobwind/term_history.h"
#include "suites.h"

/* A term, and the end of the log that it began with. */
typedef struct {
    uint64_t term;
    cbw_position_t base;
} promotion_t;

#define PROMOTIONS_MAX 4

typedef struct {
    const char *name;
    promotion_t promotions[PROMOTIONS_MAX]; /* up to the first term 0 */
    cbw_position_t log;
    cbw_position_t valid;
} valid_case_t;

/* Term 1 is the first one: its begin is not known. */
static const valid_case_t valid_cases[] = {
    {"no promotion is known", {{0}}, {1, 90}, {1, 90}},
    {"a log that follows", {{2, {1, 30}}}, {2, 90}, {2, 90}},
    {"a log that lags", {{2, {1, 30}}}, {1, 20}, {1, 20}},
    {"a log that ends at the begin of the term",
     {{2, {1, 30}}},
     {1, 30},
     {1, 30}},
    {"entries that the last promotion discarded",
     {{2, {1, 30}}},
     {1, 31},
     {1, 30}},
    {"entries that an earlier promotion discarded",
     {{2, {1, 30}}, {3, {2, 100}}},
     {1, 50},
     {1, 30}},
    {"entries of the term before that the last promotion discarded",
     {{2, {1, 30}}, {3, {2, 100}}},
     {2, 150},
     {2, 100}},
    {"a later promotion with a shorter log",
     {{2, {1, 30}}, {3, {2, 100}}, {4, {1, 20}}},
     {2, 40},
     {1, 0}},
    {"a term that the promoted log does not continue",
     {{2, {1, 30}}, {3, {1, 40}}},
     {2, 35},
     {1, 0}},
    {"the log of such a term promoted again",
     {{2, {1, 30}}, {3, {2, 100}}, {4, {2, 150}}},
     {2, 150},
     {2, 150}},
    {"a log of the term that this gave up",
     {{2, {1, 30}}, {3, {2, 100}}, {4, {2, 150}}},
     {3, 120},
     {1, 30}},
    {"a term after the last one continues it",
     {{2, {1, 30}}},
     {3, 90},
     {3, 90}},
    {"the begin of the last term is not known",
     {{2, {1, 30}}, {4, {0, 0}}},
     {2, 40},
     {4, 0}},
    {"the promoted log ends in a term without a record",
     {{2, {1, 30}}, {4, {3, 60}}},
     {2, 40},
     {1, 0}},
};

static void
promote(cbw_term_history_t *history, uint64_t term, cbw_position_t base)
{
    CbwTermHistory_Truncate(history, base.term);
    CbwTermHistory_Add(history, (cbw_term_start_t){term, base.index});
}

static void
test_valid(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(valid_cases); i++) {
        const valid_case_t *c = &valid_cases[i];
        cbw_term_history_t history = {0};
        cbw_position_t valid;

        g_test_message("%s", c->name);
        CbwTermHistory_Add(&history,
                           (cbw_term_start_t){1, Cbw_TERM_BASE_UNKNOWN});
        for (int j = 0; j < PROMOTIONS_MAX && c->promotions[j].term != 0;
             j++) {
            promote(&history, c->promotions[j].term, c->promotions[j].base);
        }
        valid = CbwTermHistory_Valid(&history, c->log);
        g_assert_cmpuint(valid.term, ==, c->valid.term);
        g_assert_cmpuint(valid.index, ==, c->valid.index);
    }
}

/* After more promotions than are kept, no discarded entry is taken for valid,
 * and logs of the kept terms are valid as far as they are. */
static void
test_oldest_terms_are_merged(void)
{
    const uint64_t terms = 300;
    cbw_term_history_t history = {0};

    CbwTermHistory_Add(&history, (cbw_term_start_t){1, Cbw_TERM_BASE_UNKNOWN});
    for (uint64_t term = 2; term <= terms; term++) {
        promote(&history, term, (cbw_position_t){term - 1, 10 * term});
    }
    g_assert_cmpint(history.count, ==, Cbw_TERM_HISTORY_MAX);
    for (uint64_t term = 1; term < terms; term++) {
        uint64_t end = 10 * (term + 1); /* of its valid entries */
        bool is_kept = term > terms - Cbw_TERM_HISTORY_MAX + 1;
        cbw_position_t valid =
            CbwTermHistory_Valid(&history, (cbw_position_t){term, end});
        g_assert_cmpuint(valid.index, <=, end);
        g_assert_true(!is_kept || valid.index == end);
        valid =
            CbwTermHistory_Valid(&history, (cbw_position_t){term, end + 1});
        g_assert_cmpuint(valid.index, <=, end);
    }
}

void
Suite_AddTermHistory(void)
{
    g_test_add_func("/term-history/valid", test_valid);
    g_test_add_func("/term-history/oldest-terms-are-merged",
                    test_oldest_terms_are_merged);
}
