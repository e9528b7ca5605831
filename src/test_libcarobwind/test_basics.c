#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "carobwind/admission.h"
#include "carobwind/confirm.h"
#include "carobwind/delta.h"
#include "carobwind/group.h"
#include "carobwind/histogram.h"
#include "carobwind/retry.h"
#include "carobwind/token.h"
#include "suites.h"

/* A valid token that is parsed and formatted gives the same text; malformed
 * ones are rejected. */
static void
test_token_text(void)
{
    static const struct {
        const char *text;
        int result;
    } cases[] = {
        {"billing-1:3:17", 0},
        {"a:0:0", 0},
        {"", -1},
        {":1:2", -1},
        {"billing-1", -1},
        {"billing-1:3", -1},
        {"billing-1:3:", -1},
        {"billing-1:x:1", -1},
        {"billing-1:3:17x", -1},
        {"billing-1:-3:17", -1},
        {"billing-1: 3:17", -1},
        {"billing-1:3:17:4", -1},
        {"a-name-that-is-longer-than-any-name-may-be-here-x:1:2", -1},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cbw_token_t token;
        char text[Cbw_TOKEN_MAX];
        g_assert_cmpint(CbwToken_Parse(&token, cases[i].text), ==,
                        cases[i].result);
        if (cases[i].result == 0) {
            CbwToken_Format(&token, text);
            g_assert_cmpstr(text, ==, cases[i].text);
        }
    }
}

/* The platform's names of databases may have colons, which also separate the
 * parts of a token: without its position a session would not read its writes.
 */
static void
test_token_of_name_with_colons(void)
{
    static const char *const names[] = {"pay", "pay:eu", ":", "a::1:2",
                                        "a-name-of-some-length-:1234567890"};

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        cbw_token_t token = {.term = UINT64_MAX, .position = 17};
        cbw_token_t parsed;
        char text[Cbw_TOKEN_MAX];
        g_strlcpy(token.database, names[i], sizeof(token.database));
        CbwToken_Format(&token, text);
        g_test_message("%s", text);
        g_assert_cmpint(CbwToken_Parse(&parsed, text), ==, 0);
        g_assert_cmpstr(parsed.database, ==, token.database);
        g_assert_cmpuint(parsed.term, ==, token.term);
        g_assert_cmpuint(parsed.position, ==, token.position);
    }
}

/* State of an endpoint whose log of 30 entries is of term 1 from position 1,
 * of term 2 from 10 and of term 4 from 20. */
static const cbw_endpoint_state_t state_of_three_terms = {
    .term = 4,
    .last_term = 4,
    .position = 30,
    .begin_count = 3,
    .begins = {{4, 20}, {2, 10}, {1, 1}},
};

/* Whether an endpoint holds a token's write depends on where its terms begin:
 * a later term that begins at or before the position has dropped the write. */
static void
test_token_against_state(void)
{
    static const struct {
        uint64_t term;
        uint64_t position;
        cbw_token_check_t result;
    } cases[] = {
        {4, 30, CBW_TOKEN_SATISFIED}, {4, 31, CBW_TOKEN_BEHIND},
        {5, 1, CBW_TOKEN_BEHIND},     {1, 9, CBW_TOKEN_SATISFIED},
        {1, 10, CBW_TOKEN_LOST},      {2, 19, CBW_TOKEN_SATISFIED},
        {2, 20, CBW_TOKEN_LOST},      {3, 19, CBW_TOKEN_SATISFIED},
        {3, 25, CBW_TOKEN_LOST},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cbw_token_t token = {.term = cases[i].term,
                             .position = cases[i].position};
        g_assert_cmpint(CbwGroup_CheckToken(&state_of_three_terms, &token), ==,
                        cases[i].result);
    }
}

/* A term is confirmed by a majority that replies, in the same term, to state
 * calls sent after the answer. A position is confirmed by a majority of
 * endpoints whose last entry is of that term. */
static void
test_confirm_levels(void)
{
    cbw_endpoint_state_t in_term = {.term = 2, .last_term = 2, .position = 5};
    cbw_endpoint_state_t with_older_log = {
        .term = 2, .last_term = 1, .position = 9};
    cbw_endpoint_state_t in_newer_term = {
        .term = 3, .last_term = 2, .position = 5};
    cbw_confirm_t confirm;
    uint64_t old_call_sequence;
    uint64_t answer_sequence;

    CbwConfirm_Init(&confirm, 3);
    CbwConfirm_SetTerm(&confirm, 2);
    old_call_sequence = CbwConfirm_NextCallSequence(&confirm);
    answer_sequence = CbwConfirm_NextAnswerSequence(&confirm);
    CbwConfirm_OnState(&confirm, 0, old_call_sequence, &in_term);
    CbwConfirm_OnState(&confirm, 1, old_call_sequence, &in_term);
    g_assert_false(CbwConfirm_IsTermConfirmed(&confirm, answer_sequence));
    CbwConfirm_OnState(&confirm, 0, CbwConfirm_NextCallSequence(&confirm),
                       &in_term);
    CbwConfirm_OnState(&confirm, 2, CbwConfirm_NextCallSequence(&confirm),
                       &in_newer_term);
    g_assert_false(CbwConfirm_IsTermConfirmed(&confirm, answer_sequence));
    CbwConfirm_OnState(&confirm, 1, CbwConfirm_NextCallSequence(&confirm),
                       &with_older_log);
    g_assert_true(CbwConfirm_IsTermConfirmed(&confirm, answer_sequence));
    g_assert_cmpuint(CbwConfirm_MajorityPosition(&confirm), ==, 5);
    g_assert_false(CbwConfirm_IsConfirmed(&confirm, CBW_CONFIRM_POSITION,
                                          answer_sequence, 6));
    CbwConfirm_SetTerm(&confirm, 3);
    g_assert_cmpuint(CbwConfirm_MajorityPosition(&confirm), ==, 0);
}

/* The budget allows a burst of retries, and then a share of the requests. */
static void
test_retry_budget(void)
{
    cbw_retry_budget_t budget;
    int taken = 0;

    CbwRetry_Init(&budget);
    while (CbwRetry_Take(&budget)) {
        taken++;
    }
    g_assert_cmpint(taken, ==, (int)Cbw_RETRY_BURST);
    for (int i = 0; i < 100; i++) {
        CbwRetry_OnRequest(&budget);
    }
    taken = 0;
    while (CbwRetry_Take(&budget)) {
        taken++;
    }
    /* The share accumulates in fractions, so that the count may round down. */
    g_assert_cmpint(taken, >=, (int)(100 * Cbw_RETRY_RATIO) - 1);
    g_assert_cmpint(taken, <=, (int)(100 * Cbw_RETRY_RATIO));
}

/* The reported share of each rank's requests is admitted. All requests are
 * admitted before the first report, and after the last one has expired. */
static void
test_admission_share(void)
{
    static const int shares[] = {1000, 250, 0};
    cbw_admission_t admission = {0};
    int admitted[3] = {0};

    g_assert_true(CbwAdmission_Admit(&admission, 1, 2));
    CbwAdmission_Update(&admission, 1, shares, 3);
    for (int i = 0; i < 1000; i++) {
        for (int rank = 0; rank < 3; rank++) {
            admitted[rank] += CbwAdmission_Admit(&admission, 2, rank);
        }
    }
    g_assert_cmpint(admitted[0], ==, 1000);
    g_assert_cmpint(admitted[1], ==, 250);
    g_assert_cmpint(admitted[2], ==, 0);
    g_assert_true(
        CbwAdmission_Admit(&admission, 2 + Cbw_ADMISSION_SHARES_TTL, 2));
}

/* A delta, applied to its base, gives the new text. */
static void
test_delta_round_trip(void)
{
    static const struct {
        const char *base;
        const char *text;
    } cases[] = {
        {"", ""},        {"", "abc"},
        {"abc", ""},     {"abc", "abc"},
        {"abc", "abXc"}, {"aaaa", "aa"},
        {"aa", "aaaa"},  {"abab", "abXab"},
        {"abc", "xyz"},  {"line\n", "line\nline\n"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cbw_delta_t delta;
        char *text;
        CbwDelta_Compute(&delta, cases[i].base, cases[i].text);
        text = CbwDelta_Apply(&delta, cases[i].base);
        g_assert_cmpstr(text, ==, cases[i].text);
        free(text);
    }
}

/* A delta whose prefix and suffix exceed the base is rejected. */
static void
test_delta_out_of_range(void)
{
    cbw_delta_t delta = {.prefix = 2, .suffix = 2, .text = "x", .size = 1};

    g_assert_null(CbwDelta_Apply(&delta, "abc"));
    delta.prefix = SIZE_MAX;
    g_assert_null(CbwDelta_Apply(&delta, "abcdef"));
}

/* A percentile is off by at most 1/32 and 1 us. */
static void
test_histogram_precision(void)
{
    for (cbw_time_t value = 1; value < 100 * Cbw_SEC; value += value / 7 + 1) {
        cbw_histogram_t histogram;
        cbw_time_t percentile;
        CbwHistogram_Init(&histogram);
        CbwHistogram_Add(&histogram, value);
        percentile = CbwHistogram_Percentile(&histogram, 50);
        g_assert_cmpint(llabs(percentile - value), <=, value / 32 + 1);
    }
}

/* The age of data up to a position follows from the samples of the primary's
 * positions and from the last confirmation of its term. */
static void
test_data_age(void)
{
    cbw_database_t database = {.endpoint_count = 3};
    cbw_endpoint_state_t state = {.term = 1, .primary = true, .last_term = 1};
    cbw_group_t group;
    cbw_time_t now = 0;

    for (int i = 0; i < 3; i++) {
        database.endpoints[i].slots = 3;
        database.endpoints[i].connections = 50;
    }
    CbwGroup_Init(&group, &database);
    for (uint64_t i = 1; i <= 100; i++) {
        now = (cbw_time_t)i * 10 * Cbw_MSEC;
        state.position = i;
        CbwGroup_OnState(&group, 0, now, now, &state);
    }
    /* The age is unknown until it is confirmed that the primary was not
     * superseded. */
    g_assert_cmpint(CbwGroup_DataAge(&group, now, 100), ==, Cbw_NEVER);
    group.term_confirmed_at = now;
    g_assert_cmpint(CbwGroup_DataAge(&group, now, 100), ==, 0);
    g_assert_cmpint(CbwGroup_DataAge(&group, now, 90), ==, 100 * Cbw_MSEC);
    g_assert_cmpint(CbwGroup_DataAge(&group, now, 0), ==, Cbw_NEVER);
    group.term_confirmed_at = now - 300 * Cbw_MSEC;
    g_assert_cmpint(CbwGroup_DataAge(&group, now, 100), ==, 300 * Cbw_MSEC);
}

void
Suite_AddBasics(void)
{
    g_test_add_func("/token/text", test_token_text);
    g_test_add_func("/token/name-with-colons", test_token_of_name_with_colons);
    g_test_add_func("/token/check", test_token_against_state);
    g_test_add_func("/confirm/levels", test_confirm_levels);
    g_test_add_func("/retry/budget", test_retry_budget);
    g_test_add_func("/admission/share", test_admission_share);
    g_test_add_func("/delta/round-trip", test_delta_round_trip);
    g_test_add_func("/delta/out-of-range", test_delta_out_of_range);
    g_test_add_func("/histogram/precision", test_histogram_precision);
    g_test_add_func("/group/age", test_data_age);
}
