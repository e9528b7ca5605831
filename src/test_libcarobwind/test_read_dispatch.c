#include <glib.h>
#include <string.h>

#include "carobwind/random.h"
#include "carobwind/read_dispatch.h"
#include "suites.h"

#define BEGIN (100 * Cbw_SEC)

/* Asks at `asked` and passes the answer on at `answered`. */
static void
exchange(cbw_read_dispatch_t *dispatch, cbw_time_t asked, cbw_time_t answered,
         const cbw_read_offer_t *offer)
{
    CbwReadDispatch_OnAsked(dispatch, asked);
    CbwReadDispatch_OnAnswer(dispatch, answered, offer);
}

/* Guards against an age that is counted from the arrival of the answer, or by
 * the owner's clock, and against a lease that outlives its end. Times are
 * milliseconds after the question. */
static void
test_one_sample(void)
{
    static const struct {
        int age;      /* as the owner states it */
        int lease;    /* likewise */
        int answered; /* when the answer arrives */
        int now;
        int time; /* by which everything acknowledged must be seen */
        bool found;
    } cases[] = {
        {10, 500, 60, 60, -10, true},
        {10, 500, 60, 60, -9, false},
        {0, 500, 60, 60, 0, true},
        {0, 500, 60, 60, 1, false},    /* after the question */
        {10, 500, 240, 240, 0, false}, /* a delayed answer proves no more */
        {10, 500, 240, 240, -10, true},
        {10, 500, 60, 499, -10, true},
        {10, 500, 60, 500, -10, false},  /* the lease is over */
        {10, 500, 600, 600, -10, false}, /* before the answer arrived */
        {10, 0, 60, 60, -10, false},     /* no lease */
        {-1, 500, 60, 60, -10, false},   /* malformed */
        {1000000, 500, 60, 60, -10, false},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cbw_read_dispatch_t dispatch = {.asking = false};
        cbw_read_offer_t offer = {.owner = 1,
                                  .term = 3,
                                  .position = {3, 9},
                                  .age = cases[i].age * Cbw_MSEC,
                                  .lease = cases[i].lease * Cbw_MSEC};
        cbw_position_t position = {0, 0};
        exchange(&dispatch, BEGIN, BEGIN + cases[i].answered * Cbw_MSEC,
                 &offer);
        g_test_message("case %zu", i);
        g_assert_cmpint(CbwReadDispatch_PositionAt(
                            &dispatch, BEGIN + cases[i].now * Cbw_MSEC,
                            BEGIN + cases[i].time * Cbw_MSEC, &position),
                        ==, cases[i].found);
        g_assert_cmpuint(position.index, ==, cases[i].found ? 9 : 0);
    }
}

/* Guards against samples of a previous owner or term, and against reads that
 * go to the owner although an older sample covers them. */
static void
test_series(void)
{
    static const struct {
        uint64_t owner;
        uint64_t term;
        uint64_t index;
        int reply_term;   /* of an endpoint, before the read; 0: none */
        int time;         /* milliseconds before the last question */
        uint64_t expects; /* index of the required position; 0: none known */
    } cases[] = {
        {1, 3, 10, 0, 0, 10},
        {1, 3, 20, 0, 50, 10},
        {1, 3, 30, 0, 50, 20},
        {1, 3, 30, 0, 150, 10},
        {1, 3, 31, 0, 400, 10},
        {2, 3, 40, 0, 50, 40}, /* another owner: its one sample only */
        {2, 3, 41, 0, 0, 41},
        {2, 4, 42, 0, 50, 42}, /* another term */
        {2, 4, 43, 0, 50, 42},
        {2, 4, 44, 4, 50, 43},
        {2, 4, 45, 5, 0, 0}, /* an endpoint knows of a promotion */
        {2, 4, 46, 0, 0, 46},
        {1, 3, 47, 0, 50, 47},
    };
    cbw_read_dispatch_t dispatch = {.asking = false};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cbw_time_t asked = BEGIN + (cbw_time_t)i * Cbw_READ_SAMPLE_INTERVAL;
        cbw_read_offer_t offer = {.owner = cases[i].owner,
                                  .term = cases[i].term,
                                  .position = {cases[i].term, cases[i].index},
                                  .lease = Cbw_READ_LEASE};
        cbw_position_t position = {0, 0};
        exchange(&dispatch, asked, asked, &offer);
        if (cases[i].reply_term != 0) {
            CbwReadDispatch_OnTerm(&dispatch, (uint64_t)cases[i].reply_term);
        }
        CbwReadDispatch_PositionAt(
            &dispatch, asked, asked - cases[i].time * Cbw_MSEC, &position);
        g_test_message("case %zu", i);
        g_assert_cmpuint(position.index, ==, cases[i].expects);
    }
}

/* Guards against sample requests without reads, and against concurrent ones.
 */
static void
test_asks(void)
{
    cbw_read_dispatch_t dispatch = {.asking = false};
    cbw_time_t now = BEGIN;

    g_assert_false(CbwReadDispatch_IsAskDue(&dispatch, now));
    CbwReadDispatch_OnRead(&dispatch, now);
    g_assert_true(CbwReadDispatch_IsAskDue(&dispatch, now));
    CbwReadDispatch_OnAsked(&dispatch, now);
    now += Cbw_READ_SAMPLE_TIMEOUT;
    g_assert_false(CbwReadDispatch_IsAskDue(&dispatch, now));
    CbwReadDispatch_OnAnswer(&dispatch, now, NULL);
    g_assert_false(CbwReadDispatch_IsAskDue(&dispatch, now));
    now += Cbw_READ_SAMPLE_INTERVAL;
    g_assert_true(CbwReadDispatch_IsAskDue(&dispatch, now));
    now = BEGIN + Cbw_READ_IDLE_TIMEOUT;
    g_assert_false(CbwReadDispatch_IsAskDue(&dispatch, now));
}

#define STEPS 20000
#define STEP (10 * Cbw_MSEC)

/* A simulation with one log of writes, two owners, promotions, delayed answers
 * and a dispatcher that sometimes freezes. */
typedef struct {
    cbw_random_t random;
    cbw_read_dispatch_t dispatch;
    cbw_read_offer_t offer; /* on its way */
    cbw_time_t arrives;     /* when it does; 0: none is on its way */
    cbw_time_t frozen_until;
    int step;
    uint64_t acknowledged[STEPS]; /* end of the log, by step */
    uint64_t term;
    uint64_t owner;
    int moved; /* last step of the log that the previous owner knows */
    size_t served;
    size_t refused;
} world_t;

static bool
happens(world_t *world, int once_in)
{
    return CbwRandom_Below(&world->random, (uint64_t)once_in) == 0;
}

static cbw_time_t
up_to_ms(world_t *world, int milliseconds)
{
    return (cbw_time_t)CbwRandom_Below(&world->random,
                                       (uint64_t)milliseconds) *
           Cbw_MSEC;
}

static void
change_world(world_t *world, cbw_time_t now)
{
    uint64_t before =
        world->step > 0 ? world->acknowledged[world->step - 1] : 1;

    world->acknowledged[world->step] =
        before + CbwRandom_Below(&world->random, 3);
    if (happens(world, 1000)) {
        world->term++; /* a promotion; the log continues */
    }
    if (happens(world, 700)) {
        world->owner++; /* the tenure moves */
        world->moved = world->step;
    }
    if (happens(world, 400)) {
        world->frozen_until = now + up_to_ms(world, 4000);
    }
}

/* Asks an owner. It answers with its state of some steps ago; the previous
 * owner, with its state when its tenure moved. The answer is delayed by up to
 * 400 ms. */
static void
ask(world_t *world, cbw_time_t now)
{
    bool former = happens(world, 4);
    int known = former ? world->step - world->moved
                       : (int)CbwRandom_Below(&world->random, 20);

    known = known > world->step ? world->step : known;
    CbwReadDispatch_OnAsked(&world->dispatch, now);
    world->offer = (cbw_read_offer_t){
        .owner = former ? world->owner - 1 : world->owner,
        .term = world->term,
        .position = {world->term, world->acknowledged[world->step - known]},
        .age = known * STEP,
        .lease = Cbw_READ_LEASE};
    world->arrives = now + up_to_ms(world, 400) + 1;
}

static void
run_dispatcher(world_t *world, cbw_time_t now)
{
    cbw_read_dispatch_t *dispatch = &world->dispatch;

    if (world->arrives != 0 && now >= world->arrives) {
        bool late = now - dispatch->asked_at > Cbw_READ_SAMPLE_TIMEOUT;
        world->arrives = 0;
        CbwReadDispatch_OnAnswer(dispatch, now, late ? NULL : &world->offer);
    }
    CbwReadDispatch_OnRead(dispatch, now);
    if (CbwReadDispatch_IsAskDue(dispatch, now)) {
        ask(world, now);
    }
}

/* A read that is to see what was acknowledged up to 3 s ago. */
static void
read_in_world(world_t *world, cbw_time_t now)
{
    int age = (int)CbwRandom_Below(&world->random, 300); /* in steps */
    cbw_position_t position;

    if (age > world->step) {
        return;
    }
    if (CbwReadDispatch_PositionAt(&world->dispatch, now, now - age * STEP,
                                   &position)) {
        world->served++;
        g_assert_cmpuint(position.index, >=,
                         world->acknowledged[world->step - age]);
        g_assert_cmpint(now - world->dispatch.asked_at, <, Cbw_READ_LEASE);
    }
    else {
        world->refused++;
    }
}

/* Guards against stale reads: each read that the dispatcher would serve sees
 * all writes that were acknowledged by the time that it asks for. */
static void
test_never_stale(void)
{
    static world_t world;
    size_t served = 0;
    size_t refused = 0;

    for (uint64_t seed = 1; seed <= 5; seed++) {
        memset(&world, 0, sizeof(world));
        CbwRandom_Init(&world.random, seed);
        world.term = 3;
        world.owner = 1;
        for (; world.step < STEPS; world.step++) {
            cbw_time_t now = BEGIN + world.step * STEP;
            change_world(&world, now);
            if (now >= world.frozen_until) {
                run_dispatcher(&world, now);
                read_in_world(&world, now);
            }
        }
        served += world.served;
        refused += world.refused;
    }
    /* The test proves nothing if hardly any read is served. */
    g_assert_cmpuint(served, >, refused / 4);
}

void
Suite_AddReadDispatch(void)
{
    g_test_add_func("/read-dispatch/one-sample", test_one_sample);
    g_test_add_func("/read-dispatch/series", test_series);
    g_test_add_func("/read-dispatch/asks", test_asks);
    g_test_add_func("/read-dispatch/never-stale", test_never_stale);
}
