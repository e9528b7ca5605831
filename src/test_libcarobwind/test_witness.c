#include <glib.h>

#include "carobwind/witness.h"
#include "suites.h"

#define R CBW_WITNESS_REACHES
#define N CBW_WITNESS_DOES_NOT
#define S CBW_WITNESS_SILENT

/* Guards against needless promotions when unresponsive peers count as evidence
 * of a lost primary, and against a lost primary that a few unresponsive peers
 * hide. */
static void
test_verdicts(void)
{
    static const struct {
        bool silence_counts;
        int count;
        cbw_witness_answer_t answers[3];
        cbw_witness_verdict_t expected;
    } cases[] = {
        {false, 3, {N, N, N}, CBW_WITNESS_LOST},
        {false, 3, {N, S, N}, CBW_WITNESS_LOST},
        {false, 3, {N, S, S}, CBW_WITNESS_UNKNOWN},
        {false, 3, {S, S, S}, CBW_WITNESS_UNKNOWN},
        {false, 3, {N, N, R}, CBW_WITNESS_REACHED},
        {false, 1, {N}, CBW_WITNESS_LOST},
        {false, 1, {S}, CBW_WITNESS_UNKNOWN},
        {true, 3, {S, S, S}, CBW_WITNESS_LOST},
        {true, 3, {S, N, S}, CBW_WITNESS_LOST},
        {true, 3, {S, S, R}, CBW_WITNESS_REACHED},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cbw_witnesses_t witnesses;
        g_test_message("case %zu", i);
        CbwWitness_Begin(&witnesses, cases[i].count, cases[i].silence_counts);
        for (int j = 0; j < cases[i].count; j++) {
            g_assert_cmpint(
                CbwWitness_OnAnswer(&witnesses, cases[i].answers[j]), ==,
                j + 1 < cases[i].count ? CBW_WITNESS_PENDING
                                       : cases[i].expected);
        }
    }
}

void
Suite_AddWitness(void)
{
    g_test_add_func("/witness/verdicts", test_verdicts);
}
