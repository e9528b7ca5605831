#include <glib.h>
#include <string.h>

#include "carobwind/limit.h"
#include "carobwind/plugin.h"
#include "carobwind/queue.h"
#include "carobwind/random.h"
#include "carobwind/route.h"
#include "suites.h"

#define REQUESTS 3000

static const cbw_rank_t ranks[] = {
    {.name = "urgent", .floor_percent = 0},
    {.name = "standard", .floor_percent = 20},
    {.name = "lookup", .floor_percent = 10},
};

/* Queues `queued` requests of each rank and pops `dispatches` requests, each
 * of which is queued again. Counts in `served` those of each rank. */
static void
run_saturated(const char *policy, const int *queued, int *served,
              int dispatches)
{
    const cbw_queue_ops_t *ops = CbwQueue_Policy(policy);
    cbw_request_t *requests = g_new0(cbw_request_t, REQUESTS);
    cbw_queue_t queue;
    int next = 0;

    g_assert_nonnull(ops);
    CbwQueue_Init(&queue, ranks, G_N_ELEMENTS(ranks));
    for (int rank = 0; rank < 3; rank++) {
        for (int i = 0; i < queued[rank]; i++) {
            CbwRequest_Init(&requests[next]);
            requests[next].rank = rank;
            ops->push(&queue, &requests[next++]);
        }
    }
    for (int i = 0; i < dispatches; i++) {
        cbw_request_t *request = ops->pop(&queue);
        g_assert_nonnull(request);
        served[request->rank]++;
        ops->push(&queue, request);
    }
    g_free(requests);
}

/* Of 1000 dispatches each rank with work gets at least its floor, and the most
 * urgent one the rest. */
static void
test_floors(void)
{
    static const struct {
        int queued[3];
        int minimum[3];
    } cases[] = {
        {{100, 100, 100}, {690, 199, 99}}, /* all ranks are saturated */
        {{100, 100, 0}, {790, 199, 0}},    {{100, 0, 100}, {890, 0, 99}},
        {{0, 100, 100}, {0, 890, 99}},     {{0, 0, 100}, {0, 0, 1000}},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        int served[3] = {0};
        run_saturated("ranked", cases[i].queued, served, 1000);
        for (int rank = 0; rank < 3; rank++) {
            g_assert_cmpint(served[rank], >=, cases[i].minimum[rank]);
        }
    }
}

/* A rank without work accumulates no credit, which it would later spend in a
 * burst ahead of more urgent work. */
static void
test_idle_rank_earns_no_credit(void)
{
    const cbw_queue_ops_t *ops = CbwQueue_Policy("ranked");
    cbw_request_t requests[40];
    cbw_queue_t queue;
    int lookups_served = 0;

    CbwQueue_Init(&queue, ranks, G_N_ELEMENTS(ranks));
    for (int i = 0; i < 1000; i++) {
        CbwRequest_Init(&requests[0]);
        requests[0].rank = 0;
        ops->push(&queue, &requests[0]);
        g_assert_true(ops->pop(&queue) == &requests[0]);
    }
    for (int i = 0; i < 40; i++) {
        CbwRequest_Init(&requests[i]);
        requests[i].rank = i < 20 ? 2 : 0;
        ops->push(&queue, &requests[i]);
    }
    for (int i = 0; i < 10; i++) {
        lookups_served += ops->pop(&queue)->rank == 2;
    }
    g_assert_cmpint(lookups_served, <=, 2);
}

/* The "fifo" policy serves in the order of arrival, regardless of the rank. */
static void
test_fifo_order(void)
{
    static const int queued[3] = {10, 10, 10};
    int served[3] = {0};

    run_saturated("fifo", queued, served, 20);
    g_assert_cmpint(served[0], ==, 10);
    g_assert_cmpint(served[1], ==, 10);
}

/* Returns the latency of an endpoint that runs `slots` statements of 5 ms on
 * average at once, when `in_flight` statements are sent to it. */
static cbw_time_t
simulated_latency(int in_flight, int slots, cbw_random_t *random)
{
    cbw_time_t service = 2500 + (cbw_time_t)CbwRandom_Below(random, 5000);

    return in_flight <= slots ? service : service * in_flight / slots;
}

/* The adaptive limit approaches the number of slots that the endpoint really
 * has, also when the configured number is wrong. */
static void
test_limit_adapts_to_slots(void)
{
    static const struct {
        int configured;
        int actual;
    } cases[] = {{3, 3}, {3, 1}, {3, 8}, {10, 3}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const cbw_limit_ops_t *ops = CbwLimit_Policy("adaptive");
        cbw_random_t random;
        cbw_limit_t limit;
        CbwRandom_Init(&random, 7);
        CbwLimit_Init(&limit, cases[i].configured, 40);
        for (int reply = 0; reply < 20000; reply++) {
            while (CbwLimit_CanSend(&limit)) {
                CbwLimit_OnSend(&limit);
            }
            CbwLimit_OnComplete(
                &limit, ops,
                simulated_latency(limit.in_flight, cases[i].actual, &random));
        }
        g_test_message("configured %d, actual %d: limit %d",
                       cases[i].configured, cases[i].actual, limit.limit);
        /* Enough to keep all slots busy, without a long queue in the
         * endpoint. */
        g_assert_cmpint(limit.limit, >=, cases[i].actual);
        g_assert_cmpint(limit.limit, <=, 3 * cases[i].actual + 2);
    }
}

/* A group of three endpoints: 0 is the primary, 2 lags at position 5 of 10. */
static void
init_group(cbw_group_t *group, cbw_time_t now)
{
    cbw_database_t database = {.endpoint_count = 3};

    for (int i = 0; i < 3; i++) {
        database.endpoints[i].slots = 3;
        database.endpoints[i].connections = 50;
    }
    CbwGroup_Init(group, &database);
    for (int i = 0; i < 3; i++) {
        cbw_endpoint_state_t state = {.term = 1,
                                      .primary = i == 0,
                                      .last_term = 1,
                                      .position = i == 2 ? 5 : 10};
        CbwGroup_OnState(group, i, now, now, &state);
    }
    group->term_confirmed_at = now;
}

/* Table test of the "replica" policy. */
static void
test_route_replica(void)
{
    static const struct {
        const char *name;
        uint64_t token; /* 0: none */
        cbw_time_t age;
        bool leaving; /* endpoint 1 */
        bool full;    /* endpoint 1 */
        cbw_route_result_t result;
        int endpoint;
    } cases[] = {
        {"token held by one", 10, Cbw_NEVER, false, false, CBW_ROUTE_CHOSEN,
         1},
        {"token held by none", 11, Cbw_NEVER, false, false, CBW_ROUTE_BEHIND,
         -1},
        {"fresh enough", 0, 2 * Cbw_SEC, false, false, CBW_ROUTE_CHOSEN, 1},
        {"always the latest", 0, 0, false, false, CBW_ROUTE_PRIMARY, -1},
        {"leaving", 10, Cbw_NEVER, true, false, CBW_ROUTE_BEHIND, -1},
        {"full", 10, Cbw_NEVER, false, true, CBW_ROUTE_FULL, -1},
        {"any age", 0, Cbw_NEVER, false, true, CBW_ROUTE_CHOSEN, 2},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const cbw_route_ops_t *ops = CbwRoute_Policy("replica");
        cbw_token_t token = {.term = 1, .position = cases[i].token};
        cbw_request_t request;
        cbw_group_t group;
        int endpoint = -1;
        cbw_route_result_t result;
        CbwRequest_Init(&request);
        request.age = cases[i].age;
        init_group(&group, Cbw_SEC);
        group.endpoints[1].leaving = cases[i].leaving;
        if (cases[i].full) {
            group.endpoints[1].limit.in_flight =
                group.endpoints[1].limit.limit;
        }
        result = ops->choose(&group, &request, cases[i].token ? &token : NULL,
                             Cbw_SEC + 100 * Cbw_MSEC, &endpoint);
        g_test_message("%s", cases[i].name);
        g_assert_cmpstr(CbwRoute_ResultString[result], ==,
                        CbwRoute_ResultString[cases[i].result]);
        g_assert_cmpint(endpoint, ==, cases[i].endpoint);
    }
}

static void
count_plugin(void *context, const cbw_plugin_t *plugin)
{
    int *count = context;

    g_assert_nonnull(plugin->ops);
    (*count)++;
}

/* Plug-ins are found by type and name. */
static void
test_plugins(void)
{
    int count = 0;

    CbwPlugin_ForEach(count_plugin, &count);
    g_assert_cmpint(count, >=, 6);
    g_assert_nonnull(CbwPlugin_Find(CBW_PLUGIN_ROUTE, "primary"));
    g_assert_null(CbwPlugin_Find(CBW_PLUGIN_ROUTE, "fifo"));
}

void
Suite_AddPolicies(void)
{
    g_test_add_func("/queue/floors", test_floors);
    g_test_add_func("/queue/idle-rank-earns-no-credit",
                    test_idle_rank_earns_no_credit);
    g_test_add_func("/queue/fifo", test_fifo_order);
    g_test_add_func("/limit/adapts-to-slots", test_limit_adapts_to_slots);
    g_test_add_func("/route/replica", test_route_replica);
    g_test_add_func("/plugin/find", test_plugins);
}
