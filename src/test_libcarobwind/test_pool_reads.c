#include <glib.h>
#include <string.h>

#include "pool_world.h"
#include "suites.h"

#define DISPATCHER 7
#define OTHER_DISPATCHER 8

static const endpoint_report_t serving[] = {
    {.primary = true, .term = 3}, {.term = 3}, {.term = 3}};
static const endpoint_report_t lost[] = {
    {.unresponsive = true}, {.term = 3}, {.term = 3}};

static cbw_regions_t regions;

/* An owner in "north" with e0 and e1 in its region, and e2 in the other. */
static void
init_owner(pool_world_t *world)
{
    memset(&regions, 0, sizeof(regions));
    CbwRegions_Add(&regions, "north", "N", NULL);
    CbwRegions_Add(&regions, "south", "S", NULL);
    PoolWorld_InitPool(world);
    CbwPool_SetRegions(&world->pool, &regions);
    world->data_centres[0] = "north";
    world->data_centres[1] = "north";
    world->data_centres[2] = "south";
    PoolWorld_SetEndpoints(world);
    PoolWorld_Run(world, Cbw_SEC, serving);
}

static bool
ask(pool_world_t *world, uint64_t holder, cbw_read_offer_t *offer)
{
    return CbwPool_OfferReads(&world->pool, world->now, holder, "e2", offer);
}

/* Guards against samples of an owner that cannot know of a promotion. */
static void
test_offer(void)
{
    pool_world_t world;
    cbw_read_offer_t offer;

    PoolWorld_InitPool(&world);
    g_assert_false(ask(&world, DISPATCHER, &offer)); /* no tenure */
    PoolWorld_Finish(&world);
    init_owner(&world);
    g_assert_true(ask(&world, DISPATCHER, &offer));
    g_assert_cmpuint(offer.owner, ==, NONCE);
    g_assert_cmpuint(offer.term, ==, 3);
    g_assert_cmpuint(offer.position.index, ==, 9);
    g_assert_cmpint(offer.age, >=, 0);
    g_assert_cmpint(offer.age, <=,
                    Cbw_POOL_IDLE_STATE_CALL_INTERVAL + Cbw_SEC);
    g_assert_cmpint(offer.lease, ==, Cbw_READ_LEASE);
    g_assert_cmpint(offer.connections, ==, 4);
    g_assert_cmpint(offer.slots, ==, 2);
    /* A superseded primary: an endpoint knows of a higher term. */
    world.pool.highest_term = 4;
    g_assert_false(ask(&world, DISPATCHER, &offer));
    world.pool.highest_term = 3;
    /* The tenure ends without a renewal. */
    world.now = world.pool.tenure.valid_until;
    g_assert_false(ask(&world, DISPATCHER, &offer));
    PoolWorld_Finish(&world);
}

/* Guards `maxConns`: one lease on an endpoint at a time, the owner leaves that
 * share alone until it is over, and does not lease what it may have opened. */
static void
test_lease(void)
{
    pool_world_t world;
    cbw_read_offer_t offer;
    cbw_pool_endpoint_t *e;

    init_owner(&world);
    e = &world.pool.endpoints[2];
    e->peak_connections = 40 * 9 / 20 - 4 + 1;
    g_assert_true(ask(&world, DISPATCHER, &offer));
    g_assert_cmpint(offer.lease, ==, 0);
    e->peak_connections = 40 * 9 / 20 - 4;
    g_assert_true(ask(&world, DISPATCHER, &offer));
    g_assert_cmpint(offer.lease, ==, Cbw_READ_LEASE);
    g_assert_true(ask(&world, OTHER_DISPATCHER, &offer));
    g_assert_cmpint(offer.lease, ==, 0);
    e->in_flight = 0;
    e->transactions = 40 * 9 / 20 - 4 - 1;
    g_assert_cmpint(e->leased_connections, ==, 4);
    g_assert_cmpint(e->leased_slots, ==, 2);
    g_assert_true(CbwPool_HasLease(&world.pool, world.now));
    e->transactions = 0;
    world.now += Cbw_READ_LEASE + Cbw_READ_LEASE_MARGIN - 1;
    PoolWorld_Tick(&world, 0);
    g_assert_cmpint(e->leased_connections, ==, 4);
    g_assert_true(ask(&world, OTHER_DISPATCHER, &offer));
    g_assert_cmpint(offer.lease, ==, 0);
    PoolWorld_Tick(&world, 1);
    g_assert_cmpint(e->leased_connections, ==, 0);
    g_assert_false(CbwPool_HasLease(&world.pool, world.now));
    PoolWorld_Run(&world, Cbw_SEC, serving);
    g_assert_true(ask(&world, OTHER_DISPATCHER, &offer));
    g_assert_cmpint(offer.lease, ==, Cbw_READ_LEASE);
    /* Not on an endpoint of the owner's region, nor on one that leaves. */
    g_assert_true(
        CbwPool_OfferReads(&world.pool, world.now, DISPATCHER, "e1", &offer));
    g_assert_cmpint(offer.lease, ==, 0);
    PoolWorld_Run(&world, Cbw_SEC, serving);
    world.leaving[2] = true;
    PoolWorld_SetEndpoints(&world);
    g_assert_true(ask(&world, DISPATCHER, &offer));
    g_assert_cmpint(offer.lease, ==, 0);
    PoolWorld_Finish(&world);
}

/* Guards against a promotion, by this owner or after it released the tenure,
 * while a dispatcher may serve what the promotion discards. */
static void
test_promotion_waits_for_lease(void)
{
    pool_world_t world;
    cbw_read_offer_t offer;
    cbw_time_t end;

    init_owner(&world);
    g_assert_true(ask(&world, DISPATCHER, &offer));
    end = world.pool.leases_until;
    g_assert_false(CbwPool_Relinquish(&world.pool, world.now));
    g_assert_false(CbwPool_Release(&world.pool, world.now));
    world.unlisted[0] = true;
    PoolWorld_SetEndpoints(&world);
    g_assert_true(PoolWorld_RunUntilOrder(&world, 2 * Cbw_SEC, lost));
    g_assert_cmpint(world.now, >=, end);
    g_assert_cmpint(world.now, <, end + 200 * Cbw_MSEC);
    g_assert_false(ask(&world, DISPATCHER, &offer));
    PoolWorld_Finish(&world);
}

/* Guards against a dispatcher whose repeated requests delay another owner's
 * promotion indefinitely. */
static void
test_relinquish_ends_leases(void)
{
    pool_world_t world;
    cbw_read_offer_t offer;
    cbw_time_t begin;

    init_owner(&world);
    g_assert_true(ask(&world, DISPATCHER, &offer));
    begin = world.now;
    while (!CbwPool_Relinquish(&world.pool, world.now)) {
        g_assert_cmpint(world.now - begin, <=,
                        Cbw_READ_LEASE + Cbw_READ_LEASE_MARGIN);
        PoolWorld_Run(&world, Cbw_READ_SAMPLE_INTERVAL, serving);
        ask(&world, DISPATCHER, &offer);
        g_assert_cmpint(offer.lease, ==, 0);
    }
    PoolWorld_Finish(&world);
}

/* Guards against an owner's reads that leave the region while it has capacity
 * or the queue is short, and against a queue that waits while the other region
 * could help. */
static void
test_owner_stays_in_region(void)
{
    enum { FEW = 12, MANY = 40 };
    pool_world_t world;
    cbw_request_t *reads[MANY];
    int sent[3] = {0, 0, 0};

    init_owner(&world);
    for (int i = 0; i < 3; i++) {
        world.pool.endpoints[i].mean_latency = (i == 2 ? 80 : 20) * Cbw_MSEC;
    }
    for (int i = 0; i < MANY; i++) {
        reads[i] = PoolWorld_NewRequest(&world, false, CBW_READ_BOUNDED);
        PoolWorld_Submit(&world, reads[i]);
        g_assert_cmpint(world.pool.endpoints[2].in_flight > 0 && i < FEW, ==,
                        0);
    }
    for (int i = 0; i < world.sent_count; i++) {
        if (world.sent[i].call.verb == CBW_CALL_RUN) {
            sent[world.sent[i].endpoint]++;
        }
    }
    g_assert_cmpint(sent[0], ==, 3);
    g_assert_cmpint(sent[1], ==, 3);
    g_assert_cmpint(sent[2], ==, 3);
    PoolWorld_Finish(&world);
    for (int i = 0; i < MANY; i++) {
        PoolWorld_FreeRequest(reads[i]);
    }
}

/* The pool of a dispatcher, which may use e2. */
static void
init_dispatcher(pool_world_t *world, cbw_read_dispatch_t *dispatch)
{
    cbw_read_offer_t offer = {.owner = 1,
                              .term = 3,
                              .position = {3, 9},
                              .lease = Cbw_READ_LEASE,
                              .connections = 4,
                              .slots = 2};

    PoolWorld_InitPool(world);
    memset(dispatch, 0, sizeof(*dispatch));
    CbwPool_SetReadDispatch(&world->pool, dispatch);
    world->unlisted[0] = true;
    world->unlisted[1] = true;
    PoolWorld_SetEndpoints(world);
    CbwReadDispatch_OnAsked(dispatch, world->now);
    CbwReadDispatch_OnAnswer(dispatch, world->now, &offer);
}

/* Guards against reads of a dispatcher without the position that the owner
 * proved, and against reads that wait there though only the owner can serve
 * them. */
static void
test_dispatcher(void)
{
    static const struct {
        cbw_read_consistency_t rule;
        int age;           /* milliseconds */
        const char *token; /* of the session */
        int later;         /* milliseconds after the sample */
        uint64_t position; /* that the call demands; 0: handed back */
    } cases[] = {
        {CBW_READ_BOUNDED, 100, "", 100, 9},
        {CBW_READ_BOUNDED, 99, "", 100, 0},
        {CBW_READ_SESSION, 1000, "db:3:12", 100, 12},
        {CBW_READ_SESSION, 1000, "db:3:5", 100, 9},
        {CBW_READ_SESSION, 99, "db:3:12", 100, 0},
        {CBW_READ_BOUNDED, 1000, "", 500, 0}, /* the lease is over */
        {CBW_READ_LATEST, 1000, "", 0, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        pool_world_t world;
        cbw_read_dispatch_t dispatch;
        cbw_request_t *read;
        sent_call_t *call;
        init_dispatcher(&world, &dispatch);
        world.now += cases[i].later * Cbw_MSEC;
        read = PoolWorld_NewRequest(&world, false, cases[i].rule);
        read->age = cases[i].age * Cbw_MSEC;
        g_strlcpy(read->token, cases[i].token, sizeof(read->token));
        PoolWorld_Submit(&world, read);
        CbwPool_Tick(&world.pool, world.now, false);
        call = PoolWorld_LastOpenCall(&world, CBW_CALL_RUN);
        g_test_message("case %zu", i);
        if (cases[i].position == 0) {
            g_assert_null(call);
            g_assert_true(world.last_answered == read);
            g_assert_cmpint(read->answer.outcome, ==, CBW_OUTCOME_PENDING);
        }
        else {
            g_assert_nonnull(call);
            g_assert_cmpuint(call->call.min_term, ==, 3);
            g_assert_cmpuint(call->call.min_position, ==, cases[i].position);
            /* The replica lacks it: handed back to the owner at once. */
            PoolWorld_Reply(&world, call, CBW_REPLY_BEHIND, 8);
            g_assert_true(world.last_answered == read);
            g_assert_cmpint(read->answer.outcome, ==, CBW_OUTCOME_PENDING);
        }
        g_assert_false(world.swap_pending || world.read_pending);
        PoolWorld_Finish(&world);
        PoolWorld_FreeRequest(read);
    }
}

/* Guards the leased share: no more requests at once than slots, and none with
 * one connection, which control calls need. */
static void
test_dispatcher_share(void)
{
    pool_world_t world;
    cbw_read_dispatch_t dispatch;
    cbw_request_t *reads[3];
    int sent = 0;

    init_dispatcher(&world, &dispatch);
    world.now +=
        Cbw_POOL_LAG_BACKOFF; /* what the replica holds is not known */
    for (size_t i = 0; i < G_N_ELEMENTS(reads); i++) {
        reads[i] = PoolWorld_NewRequest(&world, false, CBW_READ_BOUNDED);
        PoolWorld_Submit(&world, reads[i]);
    }
    for (int i = 0; i < world.sent_count; i++) {
        sent += world.sent[i].call.verb == CBW_CALL_RUN;
    }
    g_assert_cmpint(sent, ==, 2);
    PoolWorld_Finish(&world);
    for (size_t i = 0; i < G_N_ELEMENTS(reads); i++) {
        PoolWorld_FreeRequest(reads[i]);
    }
}

void
Suite_AddPoolReads(void)
{
    g_test_add_func("/pool-reads/offer", test_offer);
    g_test_add_func("/pool-reads/lease", test_lease);
    g_test_add_func("/pool-reads/promotion-waits-for-lease",
                    test_promotion_waits_for_lease);
    g_test_add_func("/pool-reads/relinquish-ends-leases",
                    test_relinquish_ends_leases);
    g_test_add_func("/pool-reads/owner-stays-in-region",
                    test_owner_stays_in_region);
    g_test_add_func("/pool-reads/dispatcher", test_dispatcher);
    g_test_add_func("/pool-reads/dispatcher-share", test_dispatcher_share);
}
