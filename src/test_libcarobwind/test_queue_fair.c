#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "carobwind/hold.h"
#include "carobwind/queue.h"
#include "suites.h"

#define REQUESTS_MAX 600
/* Requests that a workspace may send ahead of its share, at a low weight. */
#define ALLOWANCE 8

static const cbw_rank_t ranks[] = {
    {.name = "urgent", .floor_percent = 0},
    {.name = "standard", .floor_percent = 20},
    {.name = "lookup", .floor_percent = 10},
};

/* A queue of the policy "fair" and the requests made for it. */
typedef struct {
    const cbw_queue_ops_t *ops;
    cbw_queue_t queue;
    cbw_request_t requests[REQUESTS_MAX];
    int count;
} fixture_t;

static void
init(fixture_t *fixture)
{
    memset(fixture, 0, sizeof(*fixture));
    fixture->ops = CbwQueue_Policy("fair");
    g_assert_nonnull(fixture->ops);
    CbwQueue_Init(&fixture->queue, ranks, G_N_ELEMENTS(ranks));
}

static void
finish(fixture_t *fixture)
{
    while (fixture->ops->pop(&fixture->queue) != NULL) {
    }
    CbwQueue_Finish(&fixture->queue);
}

static cbw_request_t *
new_request(fixture_t *fixture, int rank, const char *workspace, double weight)
{
    cbw_request_t *request = &fixture->requests[fixture->count++];

    g_assert_cmpint(fixture->count, <=, REQUESTS_MAX);
    CbwRequest_Init(request);
    request->rank = rank;
    request->weight = weight;
    request->id = (uint64_t)fixture->count;
    g_strlcpy(request->workspace, workspace, sizeof(request->workspace));
    return request;
}

static cbw_request_t *
push(fixture_t *fixture, int rank, const char *workspace, double weight)
{
    cbw_request_t *request = new_request(fixture, rank, workspace, weight);

    fixture->ops->push(&fixture->queue, request);
    return request;
}

static void
push_many(fixture_t *fixture, int count, const char *workspace, double weight)
{
    for (int i = 0; i < count; i++) {
        push(fixture, 1, workspace, weight);
    }
}

/* Pops `dispatches` requests and returns how many were of the workspace. */
static int
count_popped(fixture_t *fixture, int dispatches, const char *workspace)
{
    int count = 0;

    for (int i = 0; i < dispatches; i++) {
        const cbw_request_t *request = fixture->ops->pop(&fixture->queue);
        g_assert_nonnull(request);
        count += strcmp(request->workspace, workspace) == 0;
    }
    return count;
}

/* Guards against a workspace that takes the dispatches of others by queueing
 * more: shares follow the weights, regardless of the number of requests. */
static void
test_shares(void)
{
    static const struct {
        int queued[2];
        double weight[2];
        int expected; /* of the first workspace, in 40 dispatches */
    } cases[] = {
        {{100, 100}, {1, 1}, 20}, {{300, 60}, {1, 1}, 20},
        {{300, 60}, {1, 3}, 10},  {{300, 100}, {0.1, 0.4}, 8},
        {{300, 21}, {1, 1}, 27}, /* what the other does not use */
        {{300, 100}, {0, 1}, 20},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        static fixture_t fixture;
        int served;
        init(&fixture);
        push_many(&fixture, cases[i].queued[0], "first", cases[i].weight[0]);
        push_many(&fixture, cases[i].queued[1], "second", cases[i].weight[1]);
        /* Both are ahead of their shares by the allowance. */
        count_popped(&fixture, 2 * ALLOWANCE, "first");
        served = count_popped(&fixture, 40, "first");
        g_test_message("case %zu: %d", i, served);
        g_assert_cmpint(ABS(served - cases[i].expected), <=, 1);
        finish(&fixture);
    }
}

/* Guards against a small workspace that waits behind the backlog of others: a
 * single request goes right behind the one dispatched last. */
static void
test_single_request_is_next(void)
{
    static fixture_t fixture;

    init(&fixture);
    push_many(&fixture, 100, "flood", 10);
    count_popped(&fixture, 20, "flood");
    push(&fixture, 1, "small", 0.1);
    g_assert_cmpint(count_popped(&fixture, 2, "small"), ==, 1);
    finish(&fixture);
}

/* Guards against credit for a pause: a workspace that returns shares from then
 * on, and is not served alone until it has caught up. */
static void
test_no_credit_for_a_pause(void)
{
    static fixture_t fixture;

    init(&fixture);
    push_many(&fixture, 200, "steady", 1);
    count_popped(&fixture, 100, "steady");
    push_many(&fixture, 100, "returns", 1);
    g_assert_cmpint(count_popped(&fixture, 40, "returns"), <=, 20 + ALLOWANCE);
    finish(&fixture);
}

/* Floors and urgency as in "ranked", also when one workspace fills a rank. */
static void
test_floors(void)
{
    static const struct {
        int queued[3];
        int minimum[3];
    } cases[] = {
        {{200, 200, 200}, {69, 19, 9}},
        {{200, 200, 0}, {79, 19, 0}},
        {{0, 200, 200}, {0, 89, 9}},
        {{0, 0, 200}, {0, 0, 100}},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        static fixture_t fixture;
        int served[3] = {0};
        init(&fixture);
        for (int rank = 0; rank < 3; rank++) {
            for (int j = 0; j < cases[i].queued[rank]; j++) {
                push(&fixture, rank, j % 10 == 0 ? "small" : "flood", 1);
            }
        }
        for (int j = 0; j < 100; j++) {
            served[fixture.ops->pop(&fixture.queue)->rank]++;
        }
        for (int rank = 0; rank < 3; rank++) {
            g_assert_cmpint(served[rank], >=, cases[i].minimum[rank]);
        }
        finish(&fixture);
    }
}

/* Guards against a request that loses its place when no endpoint has capacity:
 * it comes back to the front, and the shares are as without the attempt. */
static void
test_push_front(void)
{
    static fixture_t fixture;
    cbw_request_t *first;
    int served = 0;

    init(&fixture);
    push_many(&fixture, 100, "first", 1);
    push_many(&fixture, 100, "second", 1);
    for (int i = 0; i < 40; i++) {
        for (int attempt = 0; attempt < 5; attempt++) {
            first = fixture.ops->pop(&fixture.queue);
            fixture.ops->push_front(&fixture.queue, first);
            g_assert_cmpuint(fixture.queue.length, ==, (size_t)(200 - i));
        }
        g_assert_true(fixture.ops->pop(&fixture.queue) == first);
        served += strcmp(first->workspace, "first") == 0;
    }
    g_assert_cmpint(ABS(served - 20), <=, 1);
    /* One that was dispatched long ago and did not run. */
    fixture.ops->push_front(&fixture.queue, &fixture.requests[0]);
    g_assert_true(fixture.ops->pop(&fixture.queue) == &fixture.requests[0]);
    finish(&fixture);
}

/* Guards against a workspace that pays for requests which left the queue: its
 * next ones take their place. */
static void
test_removed_requests_are_not_charged(void)
{
    static fixture_t fixture;
    cbw_request_t *leaving[20];

    init(&fixture);
    push_many(&fixture, 100, "other", 1);
    for (int i = 0; i < 20; i++) {
        leaving[i] = push(&fixture, 1, "leaves", 1);
    }
    for (int i = 1; i < 20; i++) {
        CbwQueue_Remove(&fixture.queue, leaving[i]);
    }
    push_many(&fixture, 19, "leaves", 1);
    g_assert_cmpint(count_popped(&fixture, 40, "leaves"), >=, 19);
    finish(&fixture);
}

/* Guards against late requests that delay those which are in time. */
static void
test_put_behind(void)
{
    static fixture_t fixture;
    cbw_request_t *late;
    cbw_request_t *other;

    init(&fixture);
    late = push(&fixture, 1, "a", 1);
    other = push(&fixture, 1, "b", 1);
    fixture.ops->put_behind(&fixture.queue, late);
    g_assert_cmpuint(fixture.ops->count_ahead(&fixture.queue, late), ==, 1);
    g_assert_cmpuint(fixture.ops->count_ahead(&fixture.queue, other), ==, 0);
    g_assert_true(fixture.ops->pop(&fixture.queue) == other);
    g_assert_true(fixture.ops->pop(&fixture.queue) == late);
    finish(&fixture);
}

/* What is ahead on arrival: little for a workspace within its share, the whole
 * of its own backlog and the expected arrivals of others for a flood. */
static void
test_count_ahead(void)
{
    static fixture_t fixture;
    cbw_request_t *request;

    init(&fixture);
    request = new_request(&fixture, 1, "flood", 1);
    g_assert_cmpuint(fixture.ops->count_ahead(&fixture.queue, request), ==, 0);
    push_many(&fixture, 100, "flood", 1);
    g_assert_cmpuint(fixture.ops->count_ahead(&fixture.queue, request), ==,
                     100);
    request = new_request(&fixture, 1, "small", 1);
    g_assert_cmpuint(fixture.ops->count_ahead(&fixture.queue, request), <=,
                     ALLOWANCE + 1);
    request = new_request(&fixture, 2, "small", 1);
    g_assert_cmpuint(fixture.ops->count_ahead(&fixture.queue, request), ==,
                     100);
    /* Others take three of four dispatches. */
    for (int i = 0; i < 60; i++) {
        char name[8];
        snprintf(name, sizeof(name), "w%d", i % 3);
        push(&fixture, 1, name, 1);
        fixture.ops->pop(&fixture.queue);
        if (i % 3 == 2) {
            fixture.ops->pop(&fixture.queue);
        }
    }
    request = new_request(&fixture, 1, "flood", 1);
    g_test_message("%zu ahead of %zu queued",
                   fixture.ops->count_ahead(&fixture.queue, request),
                   fixture.queue.length);
    g_assert_cmpuint(fixture.ops->count_ahead(&fixture.queue, request), >=,
                     2 * fixture.queue.length);
    finish(&fixture);
}

static void
test_find(void)
{
    static fixture_t fixture;
    cbw_request_t *request;

    init(&fixture);
    g_assert_null(fixture.ops->find(&fixture.queue, 1));
    request = push(&fixture, 1, "a", 1);
    g_assert_true(fixture.ops->find(&fixture.queue, request->id) == request);
    g_assert_null(fixture.ops->find(&fixture.queue, request->id + 1));
    CbwQueue_Remove(&fixture.queue, request);
    g_assert_null(fixture.ops->find(&fixture.queue, request->id));
    finish(&fixture);
}

/* When a queued request is kept, looked at, put behind and refused. Guards
 * against requests that are held for more than a quarter of their target and
 * then not served, and against those held until their deadline. */
static void
test_hold(void)
{
    static const struct {
        cbw_hold_t hold; /* arrived at 0 */
        cbw_time_t now;
        cbw_hold_decision_t expected;
    } cases[] = {
        {{.target = 400, .deadline = 4000}, 79, CBW_HOLD_KEEP},
        {{.target = 400, .deadline = 4000}, 80, CBW_HOLD_REVIEW},
        {{.target = 400, .deadline = 4000, .reviewed = true},
         239,
         CBW_HOLD_KEEP},
        {{.target = 400, .deadline = 4000, .reviewed = true},
         240,
         CBW_HOLD_PUT_BEHIND},
        {{.target = 400, .deadline = 4000, .reviewed = true, .behind = true},
         399,
         CBW_HOLD_KEEP},
        {{.target = 400, .deadline = 4000, .reviewed = true, .behind = true},
         400,
         CBW_HOLD_REFUSE},
        {{.target = 400, .deadline = 4000, .blocked = true},
         79,
         CBW_HOLD_KEEP},
        {{.target = 400, .deadline = 4000, .blocked = true},
         80,
         CBW_HOLD_REFUSE},
        {{.target = 400, .deadline = 4000, .stalled = true, .reviewed = true},
         239,
         CBW_HOLD_KEEP},
        {{.target = 400, .deadline = 4000, .stalled = true, .reviewed = true},
         240,
         CBW_HOLD_REFUSE},
        /* Never until the deadline, with a short one or without a target. */
        {{.target = 400, .deadline = 400, .reviewed = true, .behind = true},
         300,
         CBW_HOLD_REFUSE},
        {{.deadline = 400, .reviewed = true, .behind = true},
         300,
         CBW_HOLD_REFUSE},
        {{.deadline = 400, .blocked = true}, 80, CBW_HOLD_REFUSE},
    };
    static const cbw_hold_t hold = {.target = 400, .deadline = 4000};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_message("case %zu", i);
        g_assert_cmpint(CbwHold_Decide(&cases[i].hold, cases[i].now), ==,
                        cases[i].expected);
    }
    g_assert_false(CbwHold_IsTooLate(&hold, 100, 0));
    g_assert_false(CbwHold_IsTooLate(&hold, 100, 70));
    g_assert_true(CbwHold_IsTooLate(&hold, 100, 71));
}

void
Suite_AddQueueFair(void)
{
    g_test_add_func("/queue-fair/shares", test_shares);
    g_test_add_func("/queue-fair/single-request-is-next",
                    test_single_request_is_next);
    g_test_add_func("/queue-fair/no-credit-for-a-pause",
                    test_no_credit_for_a_pause);
    g_test_add_func("/queue-fair/floors", test_floors);
    g_test_add_func("/queue-fair/push-front", test_push_front);
    g_test_add_func("/queue-fair/removed-requests-are-not-charged",
                    test_removed_requests_are_not_charged);
    g_test_add_func("/queue-fair/put-behind", test_put_behind);
    g_test_add_func("/queue-fair/count-ahead", test_count_ahead);
    g_test_add_func("/queue-fair/find", test_find);
    g_test_add_func("/queue-fair/hold", test_hold);
}
