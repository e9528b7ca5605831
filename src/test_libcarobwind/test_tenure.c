#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "carobwind/random.h"
#include "carobwind/tenure.h"
#include "suites.h"

/* A store with one record. Calls wait in a list until the test lets them take
 * effect and be answered, in any order, late or never. */

#define OWNERS 3
#define CALLS_MAX 64
#define ROUNDS 3000
#define STEPS 400

typedef struct world world_t;

typedef struct {
    bool used;
    int owner;
    bool swap;
    bool done;     /* it took effect; only its answer is on its way */
    bool given_up; /* nobody waits for its answer any more */
    uint64_t expected;
    cbw_tenure_record_t record;
    cbw_store_status_t status;
    uint64_t version;
} call_t;

typedef struct {
    world_t *world;
    int index;
    cbw_tenure_t tenure;
    bool promoting; /* wants a promotion */
    bool ordered;   /* the promotion may take effect at any time now */
} owner_t;

struct world {
    uint64_t version; /* 0: no record */
    uint64_t revision;
    cbw_tenure_record_t record;
    call_t calls[CALLS_MAX];
    owner_t owners[OWNERS];
    uint64_t asked[OWNERS]; /* nonce of a former that was asked; 0: none */
    cbw_random_t random;
    cbw_time_t now;
};

static call_t *
new_call(owner_t *owner)
{
    for (int i = 0; i < CALLS_MAX; i++) {
        call_t *call = &owner->world->calls[i];
        if (!call->used) {
            memset(call, 0, sizeof(*call));
            call->used = true;
            call->owner = owner->index;
            return call;
        }
    }
    return NULL;
}

static void
op_read(void *context)
{
    new_call(context);
}

static void
op_swap(void *context, uint64_t version, const cbw_tenure_record_t *record)
{
    call_t *call = new_call(context);

    if (call != NULL) {
        call->swap = true;
        call->expected = version;
        call->record = *record;
    }
}

static void
op_ask(void *context, const cbw_tenure_holder_t *former)
{
    owner_t *owner = context;

    owner->world->asked[owner->index] = former->nonce;
}

static const cbw_tenure_ops_t ops = {.read_record = op_read,
                                     .swap_record = op_swap,
                                     .ask_to_relinquish = op_ask};

static void
init_world(world_t *world, uint64_t seed)
{
    memset(world, 0, sizeof(*world));
    CbwRandom_Init(&world->random, seed);
    world->now = 100 * Cbw_SEC;
    world->revision = 10;
    for (int i = 0; i < OWNERS; i++) {
        char host[16];
        world->owners[i].world = world;
        world->owners[i].index = i;
        snprintf(host, sizeof(host), "h%d", i);
        CbwTenure_Init(&world->owners[i].tenure, &ops, &world->owners[i],
                       (uint64_t)i + 1, host);
    }
}

/* The call takes effect at the store. */
static void
execute(world_t *world, call_t *call)
{
    call->done = true;
    if (call->swap && call->expected != world->version) {
        call->status = CBW_STORE_CONFLICT;
        return;
    }
    if (call->swap) {
        world->version = ++world->revision;
        world->record = call->record;
    }
    call->status = world->version == 0 ? CBW_STORE_MISSING : CBW_STORE_OK;
    call->version = world->version;
    if (!call->swap) {
        call->record = world->record;
    }
}

static void
answer(world_t *world, call_t *call, bool lost)
{
    cbw_tenure_t *tenure = &world->owners[call->owner].tenure;
    call_t copy = *call;

    /* A lost swap may still take effect later. */
    call->used = lost && call->swap && !call->done;
    call->given_up = true;
    if (lost) {
        copy.status = CBW_STORE_LOST;
    }
    if (copy.swap) {
        CbwTenure_OnSwap(tenure, world->now, copy.status, copy.version);
    }
    else {
        CbwTenure_OnRecord(tenure, world->now, copy.status, copy.version,
                           &copy.record);
    }
}

/* Runs all calls at once. */
static void
settle(world_t *world)
{
    for (int i = 0; i < CALLS_MAX; i++) {
        if (world->calls[i].used) {
            execute(world, &world->calls[i]);
            answer(world, &world->calls[i], false);
        }
    }
}

/* Lets one owner read the record and take it over, if it would. */
static void
take(world_t *world, int owner)
{
    cbw_tenure_t *tenure = &world->owners[owner].tenure;

    for (int i = 0; i < 3; i++) {
        CbwTenure_Tick(tenure, world->now, "p");
        settle(world);
        if (!CbwTenure_IsValid(tenure, world->now)) {
            world->now += Cbw_TENURE_RETRY_INTERVAL;
        }
    }
}

static void
test_valid_from_sending(void)
{
    static world_t world; /* large */
    cbw_tenure_t *tenure = &world.owners[0].tenure;
    call_t *call;

    init_world(&world, 1);
    take(&world, 0);
    g_assert_true(CbwTenure_IsExclusive(tenure, world.now));
    world.now += Cbw_TENURE_RENEW_INTERVAL;
    CbwTenure_Tick(tenure, world.now, "p");
    call = &world.calls[0];
    g_assert_true(call->used && !call->swap);
    execute(&world, call);
    world.now += 5 * Cbw_SEC; /* its answer was long on its way */
    answer(&world, call, false);
    g_assert_true(CbwTenure_IsValid(tenure, world.now));
    g_assert_false(CbwTenure_IsValid(tenure, world.now + Cbw_SEC));
}

static void
test_promoter_waits(void)
{
    static world_t world; /* large */
    cbw_tenure_t *second = &world.owners[1].tenure;

    init_world(&world, 2);
    take(&world, 0);
    world.now += Cbw_SEC;
    take(&world, 1);
    g_assert_true(CbwTenure_IsValid(second, world.now));
    g_assert_false(CbwTenure_IsExclusive(second, world.now));
    g_assert_true(CbwTenure_BeginPromotion(second, world.now));
    settle(&world);
    CbwTenure_AskToRelinquish(second, world.now);
    g_assert_cmpuint(world.asked[1], ==, 1);
    CbwTenure_Relinquish(&world.owners[0].tenure, world.now);
    g_assert_false(CbwTenure_IsValid(&world.owners[0].tenure, world.now));
    CbwTenure_OnRelinquished(second, world.now, 1);
    g_assert_true(CbwTenure_IsExclusive(second, world.now));
}

/* Found by the scenario wire-primary-killed: an owner that took the record
 * back stood among the former holders, asked itself, and refused. */
static void
test_back_again_is_not_former(void)
{
    static world_t world; /* large */

    init_world(&world, 7);
    take(&world, 0);
    take(&world, 1);
    world.now += Cbw_TENURE_TAKE_OVER_INTERVAL;
    take(&world, 0);
    g_assert_cmpuint(world.record.holder.nonce, ==, 1);
    g_assert_cmpint(world.record.previous_holder_count, ==, 1);
    g_assert_cmpuint(world.record.previous_holders[0].nonce, ==, 2);
    for (int i = 0; i < 6; i++) { /* past the end of the other's right */
        world.now += Cbw_TENURE_RENEW_INTERVAL;
        take(&world, 0);
    }
    g_assert_cmpint(world.record.previous_holder_count, ==, 0);
    g_assert_true(CbwTenure_IsExclusive(&world.owners[0].tenure, world.now));
}

/* Found by trouble-3 of Tadla: holders that followed each other within the
 * length of a right each waited for all who had ever held. */
static void
test_old_formers_are_not_waited_for(void)
{
    static world_t world; /* large */
    cbw_tenure_t *third = &world.owners[2].tenure;
    cbw_time_t lost_at;

    init_world(&world, 8);
    take(&world, 2);
    take(&world, 0);
    lost_at = world.now;
    take(&world, 1);
    world.now += Cbw_TENURE_RENEW_INTERVAL;
    CbwTenure_Tick(third, world.now, "p"); /* sees who held before */
    settle(&world);
    world.now = lost_at + Cbw_TENURE_VALID_FOR - Cbw_SEC;
    take(&world, 2);
    CbwTenure_OnRelinquished(third, world.now, 2);
    g_assert_false(CbwTenure_IsExclusive(third, world.now));
    g_assert_cmpint(third->exclusive_from, <,
                    lost_at + Cbw_TENURE_VALID_FOR + 3 * Cbw_SEC);
}

static void
test_lost_swap_is_not_sole(void)
{
    static world_t world; /* large */
    cbw_tenure_t *second = &world.owners[1].tenure;

    init_world(&world, 3);
    take(&world, 0);
    CbwTenure_Tick(second, world.now, "p");
    execute(&world, &world.calls[0]);
    answer(&world, &world.calls[0], false); /* it read the other's record */
    CbwTenure_Tick(second, world.now, "p");
    g_assert_true(world.calls[0].swap);
    execute(&world, &world.calls[0]);
    answer(&world, &world.calls[0], true);
    world.now += Cbw_TENURE_RETRY_INTERVAL;
    take(&world, 1);
    g_assert_true(CbwTenure_IsValid(second, world.now));
    g_assert_false(CbwTenure_IsExclusive(second, world.now));
    world.now += Cbw_TENURE_VALID_FOR;
    take(&world, 1);
    g_assert_true(CbwTenure_IsExclusive(second, world.now));
}

static void
test_given_up_before_the_answer(void)
{
    static world_t world; /* large */
    cbw_tenure_t *tenure = &world.owners[0].tenure;

    init_world(&world, 4);
    take(&world, 0);
    world.now += Cbw_TENURE_RENEW_INTERVAL;
    CbwTenure_Tick(tenure, world.now, "p");
    execute(&world, &world.calls[0]);
    CbwTenure_Relinquish(tenure, world.now);
    answer(&world, &world.calls[0], false);
    g_assert_false(CbwTenure_IsValid(tenure, world.now));
}

static void
test_promotion_is_left_to_its_owner(void)
{
    static world_t world; /* large */
    cbw_tenure_t *second = &world.owners[1].tenure;

    init_world(&world, 5);
    take(&world, 0);
    g_assert_true(
        CbwTenure_BeginPromotion(&world.owners[0].tenure, world.now));
    settle(&world);
    CbwTenure_Tick(second, world.now, "p");
    settle(&world);
    world.now += Cbw_TENURE_RETRY_INTERVAL;
    CbwTenure_Tick(second, world.now, "p");
    settle(&world);
    g_assert_cmpuint(world.record.holder.nonce, ==, 1);
    /* Its host is gone. */
    CbwTenure_OnHolderUnreachable(second, world.now, 1);
    world.now += Cbw_TENURE_RETRY_INTERVAL;
    take(&world, 1);
    g_assert_cmpuint(world.record.holder.nonce, ==, 2);
    g_assert_true(second->inherited_promotion);
    g_assert_false(CbwTenure_IsValid(second, world.now));
}

/* Random orders of calls, losses, late effects, silence and wishes to promote.
 * Returns whether some owner could acknowledge after another had ordered a
 * promotion, which breaks the rule of one primary. */

static bool
is_broken(const world_t *world)
{
    for (int i = 0; i < OWNERS; i++) {
        for (int j = 0; j < OWNERS; j++) {
            const owner_t *other = &world->owners[j];
            if (i != j && world->owners[i].ordered &&
                CbwTenure_IsValid(&other->tenure, world->now) &&
                !other->tenure.record.promoting &&
                other->tenure.record.epoch <
                    world->owners[i].tenure.record.epoch) {
                return true;
            }
        }
    }
    return false;
}

static void
step_owner(world_t *world, owner_t *owner, bool waits)
{
    cbw_tenure_t *tenure = &owner->tenure;

    CbwTenure_Tick(tenure, world->now, "p");
    if (!tenure->held) {
        owner->promoting = false; /* another took it over */
        owner->ordered = false;
    }
    if (owner->promoting && tenure->held && tenure->record.promoting &&
        !tenure->call_in_flight && !tenure->inherited_promotion) {
        CbwTenure_AskToRelinquish(tenure, world->now);
        owner->ordered |= !waits || world->now >= tenure->exclusive_from;
    }
    else if (CbwRandom_Below(&world->random, 40) == 0 && tenure->held) {
        owner->promoting = CbwTenure_BeginPromotion(tenure, world->now);
    }
    if (owner->ordered && !tenure->call_in_flight &&
        CbwRandom_Below(&world->random, 8) == 0 &&
        CbwTenure_EndPromotion(tenure, world->now, "p")) {
        owner->promoting = false;
        owner->ordered = false;
    }
}

static void
step_call(world_t *world, call_t *call)
{
    uint64_t choice = CbwRandom_Below(&world->random, 10);

    if (!call->done && choice < 6) {
        execute(world, call);
        call->used = !call->given_up;
    }
    else if (call->done && choice < 8) {
        answer(world, call, false);
    }
    else if (choice == 9 && !call->given_up) {
        answer(world, call, true);
    }
}

static void
step_asked(world_t *world, int asker)
{
    uint64_t nonce = world->asked[asker];
    owner_t *former;

    world->asked[asker] = 0;
    if (nonce == 0 || nonce > OWNERS ||
        CbwRandom_Below(&world->random, 2) == 0) {
        return; /* the question is lost */
    }
    former = &world->owners[nonce - 1];
    if (!former->promoting) {
        CbwTenure_Relinquish(&former->tenure, world->now);
        CbwTenure_OnRelinquished(&world->owners[asker].tenure, world->now,
                                 nonce);
    }
}

static bool
run_random(uint64_t seed, bool waits)
{
    static world_t world;
    uint64_t pick;

    init_world(&world, seed);
    for (int step = 0; step < STEPS; step++) {
        world.now += (cbw_time_t)CbwRandom_Below(&world.random, 60) * Cbw_MSEC;
        if (CbwRandom_Below(&world.random, 50) == 0) {
            world.now += 2 * Cbw_SEC; /* all stand still */
        }
        pick = CbwRandom_Below(&world.random, OWNERS);
        step_owner(&world, &world.owners[pick], waits);
        step_asked(&world, (int)pick);
        for (int i = 0; i < CALLS_MAX; i++) {
            if (world.calls[i].used) {
                step_call(&world, &world.calls[i]);
            }
        }
        if (is_broken(&world)) {
            return true;
        }
    }
    return false;
}

static void
test_random_orders(void)
{
    for (uint64_t seed = 1; seed <= ROUNDS; seed++) {
        if (run_random(seed, true)) {
            g_test_message("seed %" G_GUINT64_FORMAT, seed);
            g_test_fail();
            return;
        }
    }
}

/* The check objects when a promoter does not wait for others' rights. */
static void
test_random_without_waiting(void)
{
    for (uint64_t seed = 1; seed <= ROUNDS; seed++) {
        if (run_random(seed, false)) {
            return;
        }
    }
    g_test_fail();
}

static void
test_record_texts(void)
{
    static const char *const bad[] = {
        "",
        "1",
        "1 2 h 2 p 0",
        "1 2 h 0 p 9",
        "1 2 h 0 p 1",
        "x 2 h 0 p 0",
        "1 2 h 0 p -2",
    };
    cbw_tenure_record_t record = {
        .epoch = 7,
        .holder = {9, "host-1", 0},
        .promoting = true,
        .primary = "i-1",
        .previous_holder_count = 2,
        .previous_holders = {{3, "a", 5}, {4, "b", 6}}};
    cbw_tenure_record_t parsed;
    char text[Cbw_TENURE_TEXT_MAX];
    char mutated[Cbw_TENURE_TEXT_MAX];
    cbw_random_t random;

    CbwTenure_FormatRecord(&record, text);
    g_assert_cmpint(CbwTenure_ParseRecord(&parsed, text), ==, 0);
    g_assert_cmpmem(&parsed, sizeof(parsed), &record, sizeof(record));
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        g_assert_cmpint(CbwTenure_ParseRecord(&parsed, bad[i]), ==, -1);
    }
    CbwRandom_Init(&random, 6);
    for (int i = 0; i < 20000; i++) {
        snprintf(mutated, sizeof(mutated), "%s", text);
        for (int j = 0; j < 3; j++) {
            mutated[CbwRandom_Below(&random, strlen(text))] =
                (char)(1 + CbwRandom_Below(&random, 255));
        }
        CbwTenure_ParseRecord(&parsed, mutated);
    }
}

void
Suite_AddTenure(void)
{
    g_test_add_func("/tenure/valid-from-sending", test_valid_from_sending);
    g_test_add_func("/tenure/promoter-waits", test_promoter_waits);
    g_test_add_func("/tenure/back-again", test_back_again_is_not_former);
    g_test_add_func("/tenure/old-formers",
                    test_old_formers_are_not_waited_for);
    g_test_add_func("/tenure/lost-swap", test_lost_swap_is_not_sole);
    g_test_add_func("/tenure/given-up", test_given_up_before_the_answer);
    g_test_add_func("/tenure/left-to-its-owner",
                    test_promotion_is_left_to_its_owner);
    g_test_add_func("/tenure/random-orders", test_random_orders);
    g_test_add_func("/tenure/without-waiting", test_random_without_waiting);
    g_test_add_func("/tenure/record-texts", test_record_texts);
}
