#include <glib.h>

#include "pool_world.h"
#include "suites.h"

/* What an endpoint says of itself. */
typedef struct {
    bool silent;
    bool primary;
    uint64_t term;
} word_t;

static const word_t all_agree[] = {
    {.primary = true, .term = 3}, {.term = 3}, {.term = 2}};

static void
answer_statuses(world_t *world, const word_t *words)
{
    int count = world->sent_count;

    for (int i = 0; i < count; i++) {
        sent_t *sent = &world->sent[i];
        const word_t *word = &words[sent->endpoint];
        cbw_reply_t reply = {.status = CBW_REPLY_OK,
                             .state = {.term = word->term,
                                       .primary = word->primary,
                                       .last_term = 3,
                                       .position = 9}};
        if (!sent->open || sent->call.verb != CBW_CALL_STATE || word->silent) {
            continue;
        }
        sent->open = false;
        CbwPool_OnReply(&world->pool, world->now, sent->id, &reply);
    }
}

/* The store is silent for longer than the tenure lasts. */
static void
outlive_tenure(world_t *world)
{
    for (int i = 0; i < 120; i++) {
        world->now += 100 * Cbw_MSEC;
        CbwPool_Tick(&world->pool, world->now, true);
        answer_statuses(world, all_agree);
        world->sent_count = 0;
        if (world->read_pending) {
            world->read_pending = false;
            CbwPool_OnRecord(&world->pool, world->now, CBW_STORE_LOST, 0,
                             NULL);
        }
    }
    g_assert_false(CbwTenure_IsValid(&world->pool.tenure, world->now));
}

/* Asks all endpoints once. */
static void
play_round(world_t *world, const word_t *words)
{
    world->now += Cbw_POOL_CONFIRM_INTERVAL;
    CbwPool_Tick(&world->pool, world->now, true);
    answer_statuses(world, words);
}

typedef struct {
    const char *name;
    word_t words[3]; /* after the request was answered */
    cbw_outcome_t write;
    cbw_outcome_t read; /* PENDING: it waits, or is sent again */
} word_case_t;

static const word_case_t word_cases[] = {
    {"all agree",
     {{.primary = true, .term = 3}, {.term = 3}, {.term = 3}},
     CBW_OUTCOME_DONE,
     CBW_OUTCOME_DONE},
    {"another leads",
     {{.primary = true, .term = 3}, {.primary = true, .term = 4}, {.term = 3}},
     CBW_OUTCOME_UNKNOWN,
     CBW_OUTCOME_PENDING},
    {"one follows in a higher term",
     {{.primary = true, .term = 3}, {.term = 4}, {.term = 3}},
     CBW_OUTCOME_PENDING,
     CBW_OUTCOME_PENDING},
    {"one is silent",
     {{.primary = true, .term = 3}, {.silent = true}, {.term = 3}},
     CBW_OUTCOME_PENDING,
     CBW_OUTCOME_PENDING},
    {"the primary is silent",
     {{.silent = true}, {.term = 3}, {.term = 3}},
     CBW_OUTCOME_PENDING,
     CBW_OUTCOME_PENDING},
    {"it led again in between",
     {{.primary = true, .term = 5}, {.term = 4}, {.term = 4}},
     CBW_OUTCOME_UNKNOWN,
     CBW_OUTCOME_PENDING},
};

static void
check_word(const word_case_t *item, bool writes, cbw_outcome_t expected)
{
    world_t world;
    cbw_request_t *request;

    World_Init(&world);
    outlive_tenure(&world);
    request = World_NewRequest(&world, writes, CBW_READ_LATEST);
    World_Submit(&world, request);
    g_assert_null(
        World_LastSent(&world, CBW_CALL_RUN)); /* nobody's word yet */
    play_round(&world, all_agree);
    World_Reply(&world, World_LastSent(&world, CBW_CALL_RUN), CBW_REPLY_OK, 9);
    g_assert_null(world.last_answered); /* the word is older than the answer */
    play_round(&world, item->words);
    play_round(&world, item->words);
    g_test_message("%s, %s", item->name, writes ? "write" : "read");
    g_assert_cmpint(request->answer.outcome, ==, expected);
    World_Finish(&world);
    World_FreeRequest(request);
}

static void
test_endpoints_word(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(word_cases); i++) {
        check_word(&word_cases[i], true, word_cases[i].write);
        check_word(&word_cases[i], false, word_cases[i].read);
    }
}

/* A read of some age goes to a replica by a position that is confirmed. */
static void
test_word_positions(void)
{
    world_t world;
    cbw_request_t *request;
    const sent_t *run;

    World_Init(&world);
    outlive_tenure(&world);
    request = World_NewRequest(&world, false, CBW_READ_BOUNDED);
    World_Submit(&world, request);
    play_round(&world, all_agree);
    run = World_LastSent(&world, CBW_CALL_RUN);
    g_assert_nonnull(run);
    g_assert_cmpint(run->endpoint, !=, 0);
    g_assert_cmpuint(run->call.min_position, ==, 9);
    World_Finish(&world);
    World_FreeRequest(request);
}

/* Endpoints do not know of a promoter that is choosing its candidate: where
 * commits must outlive a promotion their word is not enough. */
static void
test_word_synchronous(void)
{
    world_t world;
    cbw_request_t *request;

    World_Init(&world);
    CbwPool_SetSynchronous(&world.pool, true);
    outlive_tenure(&world);
    request = World_NewRequest(&world, true, CBW_READ_LATEST);
    World_Submit(&world, request);
    play_round(&world, all_agree);
    g_assert_null(World_LastSent(&world, CBW_CALL_RUN));
    World_Finish(&world);
    World_FreeRequest(request);
}

/* Others may acknowledge by the endpoints' word: a holder that heard nothing
 * of the primary since a read arrived does not know what the read must see. */
static void
test_word_of_others(void)
{
    world_t world;
    cbw_request_t *write;
    cbw_request_t *read;

    World_Init(&world);
    write = World_NewRequest(&world, true, CBW_READ_LATEST);
    World_Submit(&world, write);
    World_Reply(&world, World_LastSent(&world, CBW_CALL_RUN), CBW_REPLY_OK, 5);
    world.now += 300 * Cbw_MSEC;
    read = World_NewRequest(&world, false, CBW_READ_LATEST);
    read->deadline = world.now + 5 * Cbw_SEC;
    World_Submit(&world, read);
    World_Reply(&world, World_LastSent(&world, CBW_CALL_RUN), CBW_REPLY_BUSY,
                0);
    World_Tick(&world, Cbw_TENURE_RENEW_INTERVAL);
    World_Reply(&world, World_LastSent(&world, CBW_CALL_RUN), CBW_REPLY_BUSY,
                0);
    g_assert_null(World_LastSent(&world, CBW_CALL_RUN));
    World_Finish(&world);
    World_FreeRequest(write);
    World_FreeRequest(read);
}

/* When the store answers again, the tenure counts as before. */
static void
test_word_ends(void)
{
    world_t world;
    cbw_request_t *request;

    World_Init(&world);
    outlive_tenure(&world);
    request = World_NewRequest(&world, true, CBW_READ_LATEST);
    World_Submit(&world, request);
    play_round(&world, all_agree);
    World_Reply(&world, World_LastSent(&world, CBW_CALL_RUN), CBW_REPLY_OK, 9);
    g_assert_null(world.last_answered);
    World_Tick(&world, Cbw_TENURE_RETRY_INTERVAL);
    g_assert_true(world.last_answered == request);
    g_assert_cmpint(request->answer.outcome, ==, CBW_OUTCOME_DONE);
    g_assert_false(world.pool.confirming);
    World_Finish(&world);
    World_FreeRequest(request);
}

void
Suite_AddPoolConfirm(void)
{
    g_test_add_func("/pool/endpoints-word", test_endpoints_word);
    g_test_add_func("/pool/word-positions", test_word_positions);
    g_test_add_func("/pool/word-synchronous", test_word_synchronous);
    g_test_add_func("/pool/word-of-others", test_word_of_others);
    g_test_add_func("/pool/word-ends", test_word_ends);
}
