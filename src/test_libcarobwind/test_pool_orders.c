/* Tests of calls that may take effect after the pool has stopped waiting for
 * them: a promotion request and a swap of the record without an answer. */

#include <glib.h>

#include "pool_world.h"
#include "suites.h"

static const endpoint_report_t primary_lost[] = {
    {.unresponsive = true}, {.term = 3}, {.term = 3}};

/* The primary e0 is unlisted, and the pool requests the promotion of e1. */
static void
request_e1(pool_world_t *world)
{
    PoolWorld_Init(world);
    world->unlisted[0] = true;
    PoolWorld_SetEndpoints(world);
    g_assert_true(PoolWorld_RunUntilOrder(world, Cbw_SEC, primary_lost));
    g_assert_cmpstr(world->promotion_target, ==, "e1");
}

/* The swap that publishes e1 has no answer, and e1 no longer responds. While
 * the store may still execute the swap, a promotion of e2 would take effect at
 * a database whose record names e1. */
static void
test_late_publication(void)
{
    static const endpoint_report_t promoted[] = {
        {.unresponsive = true}, {.primary = true, .term = 4}, {.term = 3}};
    static const endpoint_report_t lost[] = {
        {.unresponsive = true}, {.unresponsive = true}, {.term = 4}};
    pool_world_t world;
    uint64_t version;

    request_e1(&world);
    CbwPool_OnPromoteReply(&world.pool, world.now, CBW_PROMOTE_ACCEPTED);
    version = world.version;
    while (world.pool.phase != CBW_POOL_PUBLISHING) {
        world.now += 20 * Cbw_MSEC;
        CbwPool_Tick(&world.pool, world.now, true);
        PoolWorld_AnswerStates(&world, promoted);
    }
    g_assert_true(world.swap_pending);
    world.swap_pending = false;
    world.record.promoting = true; /* the record as it was */
    g_strlcpy(world.record.primary, "e0", sizeof(world.record.primary));
    world.record.term = world.pool.tenure.record.term;
    world.record.history = world.pool.tenure.record.history;
    CbwPool_OnSwap(&world.pool, world.now, CBW_STORE_LOST, 0);
    g_assert_true(PoolWorld_RunUntilOrder(&world, 10 * Cbw_SEC, lost));
    g_assert_cmpstr(world.promotion_target, ==, "e2");
    /* Another version: the swap without an answer fails from now on. */
    g_assert_cmpuint(world.version, >, version);
    PoolWorld_Finish(&world);
}

/* The swap that begins a promotion is executed, but its answer is lost, and
 * the primary is listed again: the promotion continues, since the record says
 * that it has begun. */
static void
test_unanswered_claim(void)
{
    static const endpoint_report_t back[] = {
        {.primary = true, .term = 3}, {.term = 3}, {.term = 3}};
    pool_world_t world;

    PoolWorld_Init(&world);
    world.unlisted[0] = true;
    PoolWorld_SetEndpoints(&world);
    while (!world.swap_pending) {
        world.now += 20 * Cbw_MSEC;
        CbwPool_Tick(&world.pool, world.now, true);
        PoolWorld_AnswerStates(&world, primary_lost);
    }
    g_assert_true(world.record.promoting);
    world.swap_pending = false;
    world.version++;
    CbwPool_OnSwap(&world.pool, world.now, CBW_STORE_LOST, 0);
    world.unlisted[0] = false;
    PoolWorld_SetEndpoints(&world);
    g_assert_true(PoolWorld_RunUntilOrder(&world, 5 * Cbw_SEC, back));
    PoolWorld_Finish(&world);
}

typedef struct {
    const char *name;
    cbw_promote_status_t status;
    bool answered;
} order_case_t;

static const order_case_t order_cases[] = {
    {"no answer", CBW_PROMOTE_LOST, false},
    {"lost", CBW_PROMOTE_LOST, true},
    {"accepted", CBW_PROMOTE_ACCEPTED, true},
};

/* A request that may still take effect keeps the pool from promoting another
 * endpoint until that is over. */
static void
test_order_may_take_effect(void)
{
    static const endpoint_report_t e1_lost[] = {
        {.unresponsive = true}, {.unresponsive = true}, {.term = 3}};

    for (size_t i = 0; i < G_N_ELEMENTS(order_cases); i++) {
        const order_case_t *item = &order_cases[i];
        cbw_time_t over = Cbw_SEC; /* "some hundred ms" after its arrival */
        pool_world_t world;
        cbw_time_t ordered_at;

        g_test_message("%s", item->name);
        request_e1(&world);
        ordered_at = world.now;
        if (item->answered) {
            CbwPool_OnPromoteReply(&world.pool, world.now, item->status);
        }
        else {
            over += Cbw_SEC; /* until it times out */
        }
        world.unlisted[1] = true;
        PoolWorld_SetEndpoints(&world);
        g_assert_true(PoolWorld_RunUntilOrder(&world, 10 * Cbw_SEC, e1_lost));
        g_assert_cmpstr(world.promotion_target, ==, "e2");
        g_assert_cmpint(world.now - ordered_at, >=, over);
        PoolWorld_Finish(&world);
    }
}

/* The pool keeps its tenure meanwhile, so that no other owner promotes. */
static void
test_order_keeps_tenure(void)
{
    static const endpoint_report_t promoted[] = {
        {.unresponsive = true}, {.primary = true, .term = 4}, {.term = 4}};
    pool_world_t world;
    cbw_time_t ordered_at;

    request_e1(&world);
    ordered_at = world.now;
    CbwPool_OnPromoteReply(&world.pool, world.now, CBW_PROMOTE_ACCEPTED);
    PoolWorld_Run(&world, 400 * Cbw_MSEC, promoted);
    g_assert_cmpint(world.pool.phase, ==, CBW_POOL_SERVING);
    g_assert_false(CbwPool_Relinquish(&world.pool, world.now));
    PoolWorld_Run(&world, ordered_at + 3 * Cbw_SEC - world.now, promoted);
    g_assert_true(CbwPool_Relinquish(&world.pool, world.now));
    PoolWorld_Finish(&world);
}

/* A tenure that is about to end does not cover a request. */
static void
test_order_near_end_of_tenure(void)
{
    pool_world_t world;

    PoolWorld_Init(&world);
    world.unlisted[0] = true;
    PoolWorld_SetEndpoints(&world);
    while (world.pool.phase != CBW_POOL_CHOOSING_CANDIDATE) {
        PoolWorld_Tick(&world, 20 * Cbw_MSEC);
    }
    /* The store does not answer for a while, nor do the endpoints. */
    while (world.now + 2 * Cbw_SEC < world.pool.tenure.valid_until) {
        world.now += 50 * Cbw_MSEC;
        CbwPool_Tick(&world.pool, world.now, true);
    }
    for (int i = 0; i < 20; i++) {
        world.now += 50 * Cbw_MSEC;
        CbwPool_Tick(&world.pool, world.now, true);
        PoolWorld_AnswerStates(&world, primary_lost);
    }
    g_assert_true(CbwTenure_IsExclusive(&world.pool.tenure, world.now));
    g_assert_cmpstr(world.promotion_target, ==, "");
    g_assert_true(PoolWorld_RunUntilOrder(&world, 5 * Cbw_SEC, primary_lost));
    PoolWorld_Finish(&world);
}

/* The primary in the record was replaced by e2, as by a request that took
 * effect later than specified. A promotion updates the record. */
static void
test_primary_lost_lead(void)
{
    static const endpoint_report_t promoted[] = {
        {.unresponsive = true}, {.primary = true, .term = 4}, {.term = 4}};
    static const endpoint_report_t replaced[] = {
        {.unresponsive = true},
        {.term = 5, .position = {4, 11}},
        {.primary = true, .term = 5, .position = {4, 11}}};
    pool_world_t world;
    cbw_request_t *write;

    request_e1(&world);
    CbwPool_OnPromoteReply(&world.pool, world.now, CBW_PROMOTE_ACCEPTED);
    PoolWorld_Run(&world, 400 * Cbw_MSEC, promoted);
    g_assert_cmpstr(world.record.primary, ==, "e1");
    g_assert_false(world.record.promoting);
    write = PoolWorld_NewRequest(&world, true, CBW_READ_LATEST);
    PoolWorld_Submit(&world, write);
    PoolWorld_Reply(&world, PoolWorld_LastOpenCall(&world, CBW_CALL_RUN),
                    CBW_REPLY_NOT_PRIMARY, 0);
    g_assert_true(PoolWorld_RunUntilOrder(&world, 6 * Cbw_SEC, replaced));
    g_assert_cmpstr(world.promotion_target, ==, "e2");
    CbwPool_OnPromoteReply(&world.pool, world.now, CBW_PROMOTE_ACCEPTED);
    PoolWorld_Run(&world, 400 * Cbw_MSEC, replaced);
    g_assert_cmpstr(world.record.primary, ==, "e2");
    g_assert_false(world.record.promoting);
    PoolWorld_Finish(&world);
    PoolWorld_FreeRequest(write);
}

/* A host that stops does not repeat a request without a reply, and releases
 * the tenure as soon as the request's lease is over: the next owner may reach
 * the promotion service. */
static void
test_draining_owner_passes_promotion_on(void)
{
    pool_world_t world;

    request_e1(&world);
    CbwPool_SetDraining(&world.pool, true);
    world.promotion_target[0] = '\0';
    PoolWorld_Run(
        &world, Cbw_POOL_ORDER_TIMEOUT + Cbw_POOL_ORDER_LEASE - 100 * Cbw_MSEC,
        primary_lost);
    g_assert_cmpint(world.cancelled_orders, ==, 1);
    g_assert_cmpstr(world.promotion_target, ==, "");
    g_assert_false(CbwPool_Release(&world.pool, world.now));
    PoolWorld_Run(&world, 200 * Cbw_MSEC, primary_lost);
    g_assert_true(CbwPool_Release(&world.pool, world.now));
    PoolWorld_ServeStore(&world);
    g_assert_cmpuint(world.record.holder.nonce, ==, 0);
    g_assert_true(world.record.promoting);
    PoolWorld_Finish(&world);
}

/* Ticks until the pool reads the record, and answers that, or until it sends a
 * swap. Returns whether it did the latter. */
static bool
tick_until_store_call(pool_world_t *world)
{
    while (!world->read_pending && !world->swap_pending) {
        world->now += 20 * Cbw_MSEC;
        CbwPool_Tick(&world->pool, world->now, true);
        PoolWorld_AnswerStates(world, primary_lost);
    }
    if (world->swap_pending) {
        return true;
    }
    world->read_pending = false;
    CbwPool_OnRecord(&world->pool, world->now, CBW_STORE_OK, world->version,
                     &world->record);
    return false;
}

/* The next swap gets no answer. The record stays as it was. */
static void
lose_next_swap(pool_world_t *world)
{
    cbw_tenure_record_t record = world->record;

    while (!tick_until_store_call(world)) {
    }
    world->swap_pending = false;
    world->record = record;
    CbwPool_OnSwap(&world->pool, world->now, CBW_STORE_LOST, 0);
}

/* A swap without an answer may change the record as long as that has the
 * version which the swap expected. */
static void
test_unsettled_swap(void)
{
    pool_world_t world;

    PoolWorld_Init(&world);
    world.unlisted[0] = true;
    PoolWorld_SetEndpoints(&world);
    lose_next_swap(&world);
    g_assert_false(tick_until_store_call(&world));
    g_assert_true(CbwTenure_IsValid(&world.pool.tenure, world.now));
    g_assert_false(CbwTenure_IsExclusive(&world.pool.tenure, world.now));
    PoolWorld_Tick(&world, 20 * Cbw_MSEC);
    g_assert_true(CbwTenure_IsExclusive(&world.pool.tenure, world.now));
    PoolWorld_Finish(&world);
}

/* The release of a tenure that is needed again had no answer: the store may
 * still execute it, and the next owner would not wait for this one. */
static void
test_unanswered_release(void)
{
    pool_world_t world;
    cbw_tenure_record_t record;

    PoolWorld_Init(&world);
    record = world.record;
    g_assert_true(CbwPool_Release(&world.pool, world.now));
    g_assert_true(world.swap_pending);
    world.swap_pending = false;
    world.record = record;
    CbwPool_OnSwap(&world.pool, world.now, CBW_STORE_LOST, 0);
    world.pool.stopping = false;
    g_assert_false(tick_until_store_call(&world));
    g_assert_false(CbwTenure_IsValid(&world.pool.tenure, world.now));
    PoolWorld_Tick(&world, 20 * Cbw_MSEC);
    g_assert_true(CbwTenure_IsValid(&world.pool.tenure, world.now));
    PoolWorld_Finish(&world);
}

/* The report that the candidate leads is seconds old when the promotion can be
 * published. Others may have served the new primary meanwhile, by its
 * confirmation: a replica with the position of that report lacks what they
 * acknowledged. */
static void
test_old_report_of_candidate(void)
{
    static const endpoint_report_t promoted[] = {
        {.unresponsive = true}, {.primary = true, .term = 4}, {.term = 4}};
    pool_world_t world;
    cbw_request_t *read;
    sent_call_t *run;

    request_e1(&world);
    PoolWorld_Run(&world, Cbw_POOL_STATE_POLL_INTERVAL, primary_lost);
    /* A renewal is under way until the store answers again. */
    while (!world.read_pending) {
        world.now += 20 * Cbw_MSEC;
        CbwPool_Tick(&world.pool, world.now, true);
    }
    CbwPool_OnPromoteReply(&world.pool, world.now, CBW_PROMOTE_ACCEPTED);
    world.now += 2 * Cbw_POOL_STATE_POLL_INTERVAL;
    CbwPool_Tick(&world.pool, world.now, true);
    PoolWorld_AnswerStates(&world, promoted);
    world.now += 3 * Cbw_SEC;
    read = PoolWorld_NewRequest(&world, false, CBW_READ_LATEST);
    PoolWorld_Submit(&world, read);
    world.now += 20 * Cbw_MSEC;
    PoolWorld_Run(&world, 60 * Cbw_MSEC, primary_lost);
    g_assert_cmpstr(world.record.primary, ==, "e1");
    run = PoolWorld_LastOpenCall(&world, CBW_CALL_RUN);
    g_assert_nonnull(run);
    PoolWorld_Reply(&world, run, CBW_REPLY_BUSY, 0);
    run = PoolWorld_LastOpenCall(&world, CBW_CALL_RUN);
    g_assert_true(run == NULL || run->endpoint == world.pool.primary);
    PoolWorld_Finish(&world);
    PoolWorld_FreeRequest(read);
}

/* A promotion request that was taken may have promoted its endpoint, though
 * that one was lost, and unlisted, before it was seen to lead. Another
 * endpoint that leads by an earlier unfinished promotion is then not the
 * present primary: its commits count only after its own request has had its
 * effect. */
static void
test_taken_order_is_remembered(void)
{
    static const cbw_promote_status_t statuses[] = {
        CBW_PROMOTE_ACCEPTED, CBW_PROMOTE_LOST, CBW_PROMOTE_REFUSED};
    static const endpoint_report_t before[] = {
        {.primary = true, .term = 3}, {.term = 3}, {.term = 3}};
    static const endpoint_report_t first[] = {
        {.unresponsive = true}, {.unresponsive = true}, {.term = 3}};
    static const endpoint_report_t returned[] = {{.unresponsive = true},
                                                 {.primary = true, .term = 4},
                                                 {.unresponsive = true}};

    for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++) {
        bool taken = statuses[i] != CBW_PROMOTE_REFUSED;
        pool_world_t world;

        PoolWorld_Init(&world);
        PoolWorld_Run(&world, Cbw_SEC, before); /* e0's term becomes known */
        g_assert_true(PoolWorld_RunUntilOrder(&world, 4 * Cbw_SEC, first));
        g_assert_cmpstr(world.promotion_target, ==, "e2");
        CbwPool_OnPromoteReply(&world.pool, world.now, statuses[i]);
        world.unlisted[0] = true;
        world.unlisted[2] = true;
        PoolWorld_SetEndpoints(&world);
        g_assert_true(PoolWorld_RunUntilOrder(&world, 8 * Cbw_SEC, returned));
        g_assert_cmpstr(world.promotion_target, ==, "e1");
        CbwPool_OnPromoteReply(&world.pool, world.now, CBW_PROMOTE_ACCEPTED);
        PoolWorld_Run(&world, 400 * Cbw_MSEC, returned);
        g_assert_cmpint(world.record.promoting, ==, taken);
        PoolWorld_Run(&world, Cbw_POOL_PROMOTION_RETRY_AFTER, returned);
        g_assert_false(world.record.promoting);
        PoolWorld_Finish(&world);
    }
}

void
Suite_AddPoolOrders(void)
{
    g_test_add_func("/pool/taken-order-is-remembered",
                    test_taken_order_is_remembered);
    g_test_add_func("/pool/unsettled-swap", test_unsettled_swap);
    g_test_add_func("/pool/unanswered-release", test_unanswered_release);
    g_test_add_func("/pool/old-report-of-candidate",
                    test_old_report_of_candidate);
    g_test_add_func("/pool/late-publication", test_late_publication);
    g_test_add_func("/pool/unanswered-claim", test_unanswered_claim);
    g_test_add_func("/pool/order-may-take-effect", test_order_may_take_effect);
    g_test_add_func("/pool/order-keeps-tenure", test_order_keeps_tenure);
    g_test_add_func("/pool/order-near-end-of-tenure",
                    test_order_near_end_of_tenure);
    g_test_add_func("/pool/draining-owner-passes-promotion-on",
                    test_draining_owner_passes_promotion_on);
    g_test_add_func("/pool/primary-lost-lead", test_primary_lost_lead);
}
