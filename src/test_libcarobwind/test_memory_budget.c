#include <glib.h>
#include <string.h>

#include "carobwind/memory_budget.h"
#include "suites.h"

#define LARGE (Cbw_MEMORY_SMALL + 1)
/* Room for three grants and a little more beside the reserve. */
#define LIMIT (4 * Cbw_MEMORY_GRANT + (size_t)131072)
#define ACCOUNTS 8

typedef struct {
    cbw_memory_budget_t budget;
    cbw_memory_account_t accounts[ACCOUNTS];
} world_t;

static void
start(world_t *world, const char *const *workspaces)
{
    CbwMemoryBudget_Init(&world->budget, LIMIT);
    for (int i = 0; i < ACCOUNTS; i++) {
        CbwMemoryAccount_Open(&world->accounts[i], &world->budget,
                              CBW_PORT_CALLERS, i, NULL);
        if (workspaces != NULL) {
            CbwMemoryAccount_SetWorkspace(&world->accounts[i], workspaces[i]);
        }
    }
}

/* Closes all accounts and checks that the sums return to 0: memory lost from
 * them would never be available again. */
static void
finish(world_t *world)
{
    for (int i = 0; i < ACCOUNTS; i++) {
        CbwMemoryAccount_Close(&world->accounts[i]);
        CbwMemoryAccount_Close(&world->accounts[i]); /* no effect */
    }
    g_assert_cmpuint(world->budget.used, ==, 0);
    g_assert_cmpuint(world->budget.grants, ==, 0);
    g_assert_true(CbwList_IsEmpty(&world->budget.waiting));
    g_assert_true(CbwList_IsEmpty(&world->budget.shares));
    CbwMemoryBudget_Finish(&world->budget);
}

static bool
ask(world_t *world, int i, size_t input)
{
    CbwMemoryAccount_SetInput(&world->accounts[i], input, 100);
    return CbwMemoryAccount_MayRead(&world->accounts[i], 100);
}

/* Guards against large messages that take all memory, and against small ones
 * that have to wait for them. */
static void
test_grants(void)
{
    static const struct {
        int account;
        size_t input;
        bool reads;
    } cases[] = {
        {0, LARGE, true},  {1, LARGE, true},  {2, LARGE, true},
        {3, LARGE, false}, {3, LARGE, false}, {4, Cbw_MEMORY_SMALL, true},
        {5, 0, true},      {0, 900000, true}, {6, LARGE, false},
    };
    world_t world;

    start(&world, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_message("case %zu", i);
        g_assert_cmpint(ask(&world, cases[i].account, cases[i].input), ==,
                        cases[i].reads);
    }
    g_assert_null(CbwMemoryBudget_NextToResume(&world.budget, 200));
    /* A message is handled: its grant lasts as long as its statement. */
    CbwMemoryAccount_Set(&world.accounts[0], CBW_MEMORY_STATEMENTS, LARGE);
    CbwMemoryAccount_SetInput(&world.accounts[0], 0, 200);
    g_assert_null(CbwMemoryBudget_NextToResume(&world.budget, 200));
    CbwMemoryAccount_Set(&world.accounts[0], CBW_MEMORY_STATEMENTS, 0);
    g_assert_true(CbwMemoryBudget_NextToResume(&world.budget, 200) ==
                  &world.accounts[3]);
    g_assert_null(CbwMemoryBudget_NextToResume(&world.budget, 200));
    /* A connection that ends releases its grant, or its place among those that
     * wait. */
    CbwMemoryAccount_Detach(&world.accounts[6]);
    CbwMemoryAccount_Close(&world.accounts[1]);
    g_assert_null(CbwMemoryBudget_NextToResume(&world.budget, 200));
    finish(&world);
}

/* Guards against a connection that ends with a statement in flight: its memory
 * is still in use. */
static void
test_detached(void)
{
    world_t world;

    start(&world, NULL);
    g_assert_true(ask(&world, 0, LARGE));
    CbwMemoryAccount_Set(&world.accounts[0], CBW_MEMORY_STATEMENTS, LARGE);
    CbwMemoryAccount_Detach(&world.accounts[0]);
    g_assert_cmpuint(world.budget.used, ==, Cbw_MEMORY_GRANT);
    g_assert_true(world.accounts[0].state == CBW_CLIENT_GONE);
    CbwMemoryAccount_Set(&world.accounts[0], CBW_MEMORY_STATEMENTS, 0);
    g_assert_cmpuint(world.budget.used, ==, 0);
    finish(&world);
}

/* Guards against a message inside the limits that is never read, under a
 * budget that is smaller than a grant. */
static void
test_single_message(void)
{
    cbw_memory_budget_t budget;
    cbw_memory_account_t account;

    CbwMemoryBudget_Init(&budget, Cbw_MEMORY_GRANT / 2);
    CbwMemoryAccount_Open(&account, &budget, CBW_PORT_CALLERS, 0, NULL);
    CbwMemoryAccount_SetInput(&account, LARGE, 0);
    g_assert_true(CbwMemoryAccount_MayRead(&account, 0));
    CbwMemoryAccount_Close(&account);
    CbwMemoryBudget_Finish(&budget);
}

/* Guards against a workspace that takes the grants of others. */
static void
test_workspaces(void)
{
    static const char *const workspaces[ACCOUNTS] = {"a", "a", "a", "a",
                                                     "b", "b", "c", ""};
    world_t world;

    start(&world, workspaces);
    g_assert_true(ask(&world, 0, LARGE));
    g_assert_false(ask(&world, 1, LARGE)); /* more than half of the grants */
    g_assert_false(ask(&world, 2, LARGE));
    g_assert_false(ask(&world, 4, LARGE)); /* behind, but comes first */
    g_assert_false(ask(&world, 6, LARGE));
    g_assert_true(CbwMemoryBudget_NextToResume(&world.budget, 200) ==
                  &world.accounts[4]);
    g_assert_true(CbwMemoryBudget_NextToResume(&world.budget, 200) ==
                  &world.accounts[6]);
    g_assert_null(CbwMemoryBudget_NextToResume(&world.budget, 200));
    CbwMemoryAccount_SetInput(&world.accounts[0], 0, 200);
    g_assert_true(CbwMemoryBudget_NextToResume(&world.budget, 200) ==
                  &world.accounts[1]);
    /* A session that gets a workspace keeps its grant. */
    CbwMemoryAccount_SetWorkspace(&world.accounts[1], "c");
    g_assert_cmpuint(world.accounts[6].share->granted, ==,
                     2 * Cbw_MEMORY_GRANT);
    finish(&world);
}

/* The largest is closed first, then the least served, and one that waits for
 * an answer only when nothing else is left. */
static void
test_next_to_close(void)
{
    world_t world;

    start(&world, NULL);
    for (int i = 0; i < ACCOUNTS; i++) {
        cbw_memory_account_t *account = &world.accounts[i];
        CbwMemoryAccount_OnAnswer(account, CBW_CLIENT_IDLE, 10);
        CbwMemoryAccount_SetOutput(account, LIMIT / ACCOUNTS, false, 10);
    }
    g_assert_null(CbwMemoryBudget_NextToClose(&world.budget));
    CbwMemoryAccount_OnAnswer(&world.accounts[2], CBW_CLIENT_IDLE, 10);
    CbwMemoryAccount_SetOutput(&world.accounts[2], LIMIT / 2, true, 10);
    CbwMemoryAccount_OnMessage(&world.accounts[3], CBW_CLIENT_BUSY, 10);
    CbwMemoryAccount_SetOutput(&world.accounts[3], LIMIT, true, 10);
    g_assert_true(CbwMemoryBudget_NextToClose(&world.budget) ==
                  &world.accounts[2]);
    CbwMemoryAccount_Detach(&world.accounts[2]);
    for (int i = 0; i < ACCOUNTS - 2; i++) {
        cbw_memory_account_t *account =
            CbwMemoryBudget_NextToClose(&world.budget);
        g_assert_nonnull(account);
        g_assert_true(account != &world.accounts[3]);
        CbwMemoryAccount_Close(account);
    }
    CbwMemoryAccount_Set(&world.accounts[3], CBW_MEMORY_SESSION, 1);
    g_assert_true(CbwMemoryBudget_NextToClose(&world.budget) ==
                  &world.accounts[3]);
    finish(&world);
}

/* Which connection is closed for a new one. */
static void
test_least_served(void)
{
    static const struct {
        cbw_client_state_t states[4];
        uint64_t served[4];
        cbw_time_t quiet_since[4];
        int closed; /* -1: none */
    } cases[] = {
        {{CBW_CLIENT_NEW, CBW_CLIENT_IDLE, CBW_CLIENT_NEW, CBW_CLIENT_BUSY},
         {0, 0, 0, 0},
         {5, 1, 4, 0},
         2},
        {{CBW_CLIENT_IDLE, CBW_CLIENT_IDLE, CBW_CLIENT_IDLE, CBW_CLIENT_BUSY},
         {9, 2, 2, 0},
         {1, 7, 6, 0},
         2},
        {{CBW_CLIENT_BUSY, CBW_CLIENT_IN_TRANSACTION, CBW_CLIENT_BUSY,
          CBW_CLIENT_IN_TRANSACTION},
         {0, 5, 0, 6},
         {0, 0, 0, 0},
         1},
        {{CBW_CLIENT_BUSY, CBW_CLIENT_IN_TRANSACTION, CBW_CLIENT_GONE,
          CBW_CLIENT_BUSY},
         {0, 0, 0, 0},
         {0, 9 * Cbw_SEC, 0, 0}, /* the transaction is active */
         -1},
        {{CBW_CLIENT_IDLE, CBW_CLIENT_IN_TRANSACTION, CBW_CLIENT_IDLE,
          CBW_CLIENT_CLOSING},
         {0, 0, 0, 3},
         {0, 0, 0, 0},
         3},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cbw_memory_budget_t budget;
        cbw_memory_account_t accounts[4];
        const cbw_memory_account_t *closed;
        CbwMemoryBudget_Init(&budget, LIMIT);
        for (int j = 0; j < 4; j++) {
            CbwMemoryAccount_Open(&accounts[j], &budget, CBW_PORT_CALLERS,
                                  cases[i].quiet_since[j], NULL);
            accounts[j].state = cases[i].states[j];
            accounts[j].served = cases[i].served[j];
        }
        g_test_message("case %zu", i);
        closed = CbwMemoryBudget_LeastServed(&budget, CBW_PORT_CALLERS,
                                             10 * Cbw_SEC);
        g_assert_true(
            closed ==
            (cases[i].closed < 0 ? NULL : &accounts[cases[i].closed]));
        g_assert_null(CbwMemoryBudget_LeastServed(&budget, CBW_PORT_PEERS,
                                                  10 * Cbw_SEC));
        for (int j = 0; j < 4; j++) {
            CbwMemoryAccount_Close(&accounts[j]);
        }
        CbwMemoryBudget_Finish(&budget);
    }
}

typedef enum {
    STEP_OPEN,     /* opened at START */
    STEP_STARTED,  /* its first message arrived immediately */
    STEP_PARTIAL,  /* then a part of a second one */
    STEP_UNREAD,   /* or output that is not taken */
    STEP_WAITING,  /* a large part that waits for a grant */
    STEP_GRANTED,  /* a large part with a grant, and no more input */
    STEP_PROGRESS, /* the same, at a sufficient rate */
    STEP_CLOSING,
    STEP_BUSY, /* a part of a further message during a request */
} step_t;

#define START (5 * Cbw_SEC)

/* When each kind of silent connection is closed. */
static void
test_deadlines(void)
{
    static const struct {
        step_t step;
        bool others_wait;
        cbw_time_t now;
        cbw_close_reason_t reason;
    } cases[] = {
        {STEP_OPEN, false, 10 * Cbw_SEC, CBW_CLOSE_NONE},
        {STEP_OPEN, false, 10 * Cbw_SEC + 1, CBW_CLOSE_FIRST_MESSAGE},
        {STEP_STARTED, false, 9999 * Cbw_SEC, CBW_CLOSE_NONE},
        {STEP_PARTIAL, false, 30 * Cbw_SEC, CBW_CLOSE_NONE},
        {STEP_PARTIAL, false, 31 * Cbw_SEC, CBW_CLOSE_MESSAGE},
        {STEP_PARTIAL, true, 29 * Cbw_SEC, CBW_CLOSE_NONE},
        {STEP_UNREAD, false, 30 * Cbw_SEC, CBW_CLOSE_NONE},
        {STEP_UNREAD, false, 31 * Cbw_SEC, CBW_CLOSE_OUTPUT},
        {STEP_WAITING, true, 9999 * Cbw_SEC, CBW_CLOSE_NONE},
        {STEP_GRANTED, false, 29 * Cbw_SEC, CBW_CLOSE_NONE},
        {STEP_GRANTED, true, 1 * Cbw_SEC, CBW_CLOSE_NONE},
        {STEP_GRANTED, true, 3 * Cbw_SEC, CBW_CLOSE_STALLED},
        {STEP_PROGRESS, true, 3 * Cbw_SEC, CBW_CLOSE_NONE},
        {STEP_CLOSING, false, 1 * Cbw_SEC, CBW_CLOSE_NONE},
        {STEP_CLOSING, false, 3 * Cbw_SEC, CBW_CLOSE_DELIVERED},
        {STEP_BUSY, false, 9999 * Cbw_SEC, CBW_CLOSE_NONE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cbw_memory_budget_t budget;
        cbw_memory_account_t one;
        cbw_memory_account_t other;
        step_t step = cases[i].step;
        CbwMemoryBudget_Init(&budget, 1);
        CbwMemoryAccount_Open(&one, &budget, CBW_PORT_CALLERS, START, NULL);
        CbwMemoryAccount_Open(&other, &budget, CBW_PORT_CALLERS, START, NULL);
        if (step == STEP_WAITING) {
            CbwMemoryAccount_SetInput(&other, LARGE, START);
            g_assert_true(CbwMemoryAccount_MayRead(&other, START));
        }
        if (step != STEP_OPEN) {
            CbwMemoryAccount_OnMessage(
                &one, step == STEP_BUSY ? CBW_CLIENT_BUSY : CBW_CLIENT_IDLE,
                START);
        }
        if (step == STEP_PARTIAL || step == STEP_BUSY) {
            CbwMemoryAccount_SetInput(&one, 10, START);
        }
        if (step == STEP_UNREAD) {
            CbwMemoryAccount_SetOutput(&one, 10, false, START);
        }
        if (step == STEP_WAITING || step == STEP_GRANTED ||
            step == STEP_PROGRESS) {
            CbwMemoryAccount_SetInput(&one, LARGE, START);
            CbwMemoryAccount_MayRead(&one, START);
        }
        if (step == STEP_PROGRESS) {
            CbwMemoryAccount_SetInput(&one, 100000, START + 1);
        }
        if (step == STEP_CLOSING) {
            one.state = CBW_CLIENT_CLOSING;
        }
        if (cases[i].others_wait && step != STEP_WAITING) {
            CbwMemoryAccount_SetInput(&other, LARGE, START);
            CbwMemoryAccount_MayRead(&other, START);
        }
        g_test_message("case %zu", i);
        g_assert_cmpint(CbwMemoryAccount_Judge(&one, START + cases[i].now), ==,
                        cases[i].reason);
        CbwMemoryAccount_Close(&one);
        CbwMemoryAccount_Close(&other);
        CbwMemoryBudget_Finish(&budget);
    }
}

/* Guards against sessions whose values fill the memory that large messages
 * and small requests need. */
static void
test_kept(void)
{
    world_t world;

    start(&world, NULL);
    g_assert_true(CbwMemoryAccount_MayKeep(&world.accounts[0], LARGE));
    CbwMemoryAccount_Set(&world.accounts[0], CBW_MEMORY_SESSION,
                         LIMIT - LIMIT / Cbw_MEMORY_RESERVE_DIVISOR);
    g_assert_false(CbwMemoryAccount_MayKeep(&world.accounts[1], LARGE));
    g_assert_true(CbwMemoryAccount_MayKeep(&world.accounts[1], 100));
    finish(&world);
}

/* The descriptors of the platform's hosts, and small ones. The sum of the
 * shares leaves some for connections that this process opens. */
static void
test_descriptors(void)
{
    static const size_t limits[] = {64, 400, 1024, 2940, 3010, 8192, 20000};

    for (size_t i = 0; i < G_N_ELEMENTS(limits); i++) {
        cbw_descriptor_shares_t shares;
        size_t sum = 0;
        CbwMemory_DivideDescriptors(limits[i], &shares);
        for (int port = 0; port < CBW_PORT_COUNT_; port++) {
            g_assert_cmpuint(shares.ports[port], >=, 4);
            sum += shares.ports[port];
        }
        g_assert_cmpuint(sum + limits[i] / 16, <, limits[i]);
        if (limits[i] >= 1024) {
            /* Up to 300 sessions reconnect to one host at once. */
            g_assert_cmpuint(shares.ports[CBW_PORT_CALLERS], >=, 300);
        }
    }
}

void
Suite_AddMemoryBudget(void)
{
    g_test_add_func("/memory-budget/grants", test_grants);
    g_test_add_func("/memory-budget/detached", test_detached);
    g_test_add_func("/memory-budget/single-message", test_single_message);
    g_test_add_func("/memory-budget/workspaces", test_workspaces);
    g_test_add_func("/memory-budget/next-to-close", test_next_to_close);
    g_test_add_func("/memory-budget/least-served", test_least_served);
    g_test_add_func("/memory-budget/deadlines", test_deadlines);
    g_test_add_func("/memory-budget/kept", test_kept);
    g_test_add_func("/memory-budget/descriptors", test_descriptors);
}
