#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "carobwind/session.h"
#include "suites.h"

#define TRANSACTION 77

/* A statement, and the plan and session state expected after it. */
typedef struct {
    cbw_statement_kind_t kind;
    const char *name;
    const char *rest;
    cbw_plan_action_t action;
    cbw_cause_t cause;
    cbw_session_state_t state;
} step_t;

typedef struct {
    const char *name;
    step_t steps[8];
} case_t;

static const case_t cases[] = {
    {"set-prepare-execute",
     {{CBW_STATEMENT_SET, "zone", "a b", CBW_PLAN_DONE, CBW_CAUSE_NONE,
       CBW_SESSION_IDLE},
      {CBW_STATEMENT_PREPARE_WRITE, "s1", "q2", CBW_PLAN_DONE, CBW_CAUSE_NONE,
       CBW_SESSION_IDLE},
      {CBW_STATEMENT_EXECUTE, "s1", "k v", CBW_PLAN_FORWARD, CBW_CAUSE_NONE,
       CBW_SESSION_IDLE},
      {CBW_STATEMENT_DEALLOCATE, "s1", "", CBW_PLAN_DONE, CBW_CAUSE_NONE,
       CBW_SESSION_IDLE},
      {CBW_STATEMENT_EXECUTE, "s1", "k v", CBW_PLAN_ERROR,
       CBW_CAUSE_NO_STATEMENT, CBW_SESSION_IDLE}}},
    {"unknown-name",
     {{CBW_STATEMENT_DEALLOCATE, "s9", "", CBW_PLAN_ERROR,
       CBW_CAUSE_NO_STATEMENT, CBW_SESSION_IDLE}}},
    {"unrecognized-statement",
     {{CBW_STATEMENT_OTHER, "", "", CBW_PLAN_ERROR, CBW_CAUSE_MALFORMED,
       CBW_SESSION_IDLE}}},
    {"commit-without-begin",
     {{CBW_STATEMENT_COMMIT, "", "", CBW_PLAN_ERROR, CBW_CAUSE_MALFORMED,
       CBW_SESSION_IDLE}}},
    {"begin-twice",
     {{CBW_STATEMENT_BEGIN, "", "", CBW_PLAN_DONE, CBW_CAUSE_NONE,
       CBW_SESSION_IN_TRANSACTION},
      {CBW_STATEMENT_BEGIN, "", "", CBW_PLAN_ERROR, CBW_CAUSE_MALFORMED,
       CBW_SESSION_FAILED},
      {CBW_STATEMENT_READ, "", "", CBW_PLAN_ERROR, CBW_CAUSE_MALFORMED,
       CBW_SESSION_FAILED},
      {CBW_STATEMENT_COMMIT, "", "", CBW_PLAN_ERROR, CBW_CAUSE_ABORTED,
       CBW_SESSION_IDLE}}},
    {"write-in-read-transaction",
     {{CBW_STATEMENT_BEGIN_READ, "", "", CBW_PLAN_DONE, CBW_CAUSE_NONE,
       CBW_SESSION_IN_TRANSACTION},
      {CBW_STATEMENT_WRITE, "", "", CBW_PLAN_ERROR, CBW_CAUSE_READ_ONLY,
       CBW_SESSION_FAILED},
      {CBW_STATEMENT_ROLLBACK, "", "", CBW_PLAN_DONE, CBW_CAUSE_NONE,
       CBW_SESSION_IDLE}}},
    {"empty-transaction",
     {{CBW_STATEMENT_BEGIN, "", "", CBW_PLAN_DONE, CBW_CAUSE_NONE,
       CBW_SESSION_IN_TRANSACTION},
      {CBW_STATEMENT_ROLLBACK, "", "", CBW_PLAN_DONE, CBW_CAUSE_NONE,
       CBW_SESSION_IDLE}}},
};

static void
plan(cbw_session_t *session, const step_t *step, cbw_request_t *request,
     cbw_plan_t *result)
{
    cbw_statement_t statement = {.kind = step->kind,
                                 .id = "id",
                                 .text = "READ k",
                                 .name = step->name,
                                 .rest = step->rest};

    CbwRequest_Init(request);
    CbwSession_Plan(session, &statement, TRANSACTION, request, result);
}

static void
test_cases(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cbw_session_t session;
        CbwSession_Init(&session);
        for (const step_t *step = cases[i].steps; step->name != NULL; step++) {
            cbw_request_t request;
            cbw_plan_t result;
            plan(&session, step, &request, &result);
            g_test_message("%s: %s", cases[i].name,
                           CbwStatement_KindString[step->kind]);
            g_assert_cmpint(result.action, ==, step->action);
            g_assert_cmpint(result.cause, ==, step->cause);
            g_assert_cmpint(session.state, ==, step->state);
            CbwRequest_Finish(&request);
        }
        CbwSession_Finish(&session);
    }
}

/* The first statement of a transaction begins it at the endpoint. A commit
 * advances the session's token, and a read does not change it. */
static void
test_first_statement_begins(void)
{
    static const step_t begin = {.kind = CBW_STATEMENT_BEGIN, .name = ""};
    static const step_t read = {.kind = CBW_STATEMENT_READ, .name = ""};
    static const step_t write = {.kind = CBW_STATEMENT_WRITE, .name = ""};
    static const step_t commit = {.kind = CBW_STATEMENT_COMMIT, .name = ""};
    cbw_session_t session;
    cbw_request_t request;
    cbw_plan_t result;

    CbwSession_Init(&session);
    plan(&session, &begin, &request, &result);
    plan(&session, &write, &request, &result);
    g_assert_true(request.begins);
    g_assert_cmpuint(request.transaction, ==, TRANSACTION);
    request.answer.outcome = CBW_OUTCOME_DONE;
    CbwSession_OnAnswer(&session, &request);
    CbwRequest_Finish(&request);
    plan(&session, &read, &request, &result);
    g_assert_false(request.begins);
    CbwRequest_Finish(&request);
    plan(&session, &commit, &request, &result);
    g_assert_cmpint(request.verb, ==, CBW_VERB_COMMIT);
    request.answer.outcome = CBW_OUTCOME_DONE;
    strcpy(request.answer.token, "db:3:9");
    CbwSession_OnAnswer(&session, &request);
    g_assert_cmpint(session.state, ==, CBW_SESSION_IDLE);
    g_assert_cmpstr(session.token, ==, "db:3:9");
    CbwRequest_Finish(&request);
    /* The position of a read at a lagging replica does not move it back. */
    plan(&session, &read, &request, &result);
    request.answer.outcome = CBW_OUTCOME_DONE;
    strcpy(request.answer.token, "db:3:4");
    CbwSession_OnAnswer(&session, &request);
    g_assert_cmpstr(session.token, ==, "db:3:9");
    CbwRequest_Finish(&request);
    CbwSession_Finish(&session);
}

/* Guards against a request that begins a transaction and is sent twice under
 * one id, after which the session would continue in the transaction of the
 * wrong copy. */
static void
test_begun_again(void)
{
    static const cbw_statement_kind_t kinds[] = {
        CBW_STATEMENT_READ, CBW_STATEMENT_WRITE, CBW_STATEMENT_COMMIT};
    static const step_t begin = {.kind = CBW_STATEMENT_BEGIN, .name = ""};
    cbw_session_t session;
    cbw_request_t request;
    cbw_plan_t result;

    CbwSession_Init(&session);
    plan(&session, &begin, &request, &result);
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        step_t step = {.kind = kinds[i], .name = ""};
        plan(&session, &step, &request, &result);
        /* Only the first statement begins the transaction. */
        CbwRequest_RenameTransaction(&request, TRANSACTION + 1 + i);
        g_assert_cmpuint(request.transaction, ==, TRANSACTION + 1);
        request.answer.outcome = CBW_OUTCOME_DONE;
        CbwSession_OnAnswer(&session, &request);
        CbwRequest_Finish(&request);
    }
    g_assert_cmpint(session.state, ==, CBW_SESSION_IDLE);
    CbwSession_Finish(&session);
}

/* The latest session values are forwarded with each statement. */
static void
test_values_are_forwarded(void)
{
    static const step_t steps[] = {
        {.kind = CBW_STATEMENT_SET, .name = "a", .rest = "1"},
        {.kind = CBW_STATEMENT_SET, .name = "b", .rest = "x y"},
        {.kind = CBW_STATEMENT_SET, .name = "a", .rest = "2"},
        {.kind = CBW_STATEMENT_READ, .name = "", .rest = ""},
    };
    cbw_session_t session;
    cbw_request_t request;
    cbw_plan_t result;

    CbwSession_Init(&session);
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        plan(&session, &steps[i], &request, &result);
    }
    g_assert_cmpstr(request.values, ==, "a 2\nb x y\n");
    CbwRequest_Finish(&request);
    CbwSession_Finish(&session);
}

/* A value with a line feed could set other values of the encoding. */
static void
test_value_sets_another(void)
{
    static const step_t steps[] = {
        {.kind = CBW_STATEMENT_SET, .name = "a", .rest = "1\nb 2"},
        {.kind = CBW_STATEMENT_SET, .name = "a\nb", .rest = "2"},
    };
    cbw_session_t session;
    cbw_request_t request;
    cbw_plan_t result;

    CbwSession_Init(&session);
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        plan(&session, &steps[i], &request, &result);
        g_assert_cmpint(result.action, ==, CBW_PLAN_ERROR);
        g_assert_cmpint(result.cause, ==, CBW_CAUSE_MALFORMED);
        g_assert_cmpuint(session.value_count, ==, 0);
    }
    CbwSession_Finish(&session);
}

/* Begins a transaction at the endpoint with a statement of `kind`. */
static void
begin_at_endpoint(cbw_session_t *session, cbw_statement_kind_t kind,
                  const char *token)
{
    step_t step = {.kind = CBW_STATEMENT_BEGIN, .name = ""};
    cbw_request_t request;
    cbw_plan_t result;

    plan(session, &step, &request, &result);
    step.kind = kind;
    plan(session, &step, &request, &result);
    request.answer.outcome = CBW_OUTCOME_DONE;
    snprintf(request.answer.token, sizeof(request.answer.token), "%s", token);
    CbwSession_OnAnswer(session, &request);
    CbwRequest_Finish(&request);
}

/* A statement that the entry rejects fails the transaction without notice to
 * the endpoint: its transaction, with its connection, is rolled back when the
 * caller ends it. */
static void
test_local_error_rolls_back(void)
{
    static const step_t unknown = {.kind = CBW_STATEMENT_EXECUTE,
                                   .name = "unknown"};
    static const struct {
        cbw_statement_kind_t end;
        cbw_plan_action_t action;
    } cases_of_end[] = {
        {CBW_STATEMENT_ROLLBACK, CBW_PLAN_ROLLBACK},
        {CBW_STATEMENT_COMMIT, CBW_PLAN_ERROR},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases_of_end); i++) {
        step_t end = {.kind = cases_of_end[i].end, .name = ""};
        cbw_session_t session;
        cbw_request_t request;
        cbw_plan_t result;
        CbwSession_Init(&session);
        begin_at_endpoint(&session, CBW_STATEMENT_WRITE, "");
        plan(&session, &unknown, &request, &result);
        g_assert_cmpint(result.cause, ==, CBW_CAUSE_NO_STATEMENT);
        g_assert_cmpint(session.state, ==, CBW_SESSION_FAILED);
        plan(&session, &end, &request, &result);
        g_assert_cmpint(result.action, ==, cases_of_end[i].action);
        g_assert_true(result.rolls_back);
        g_assert_cmpuint(request.transaction, ==, TRANSACTION);
        g_assert_cmpint(session.state, ==, CBW_SESSION_IDLE);
        CbwRequest_Finish(&request);
        CbwSession_Finish(&session);
    }
}

/* A transaction that failed at the endpoint was rolled back there. */
static void
test_endpoint_error_needs_no_rollback(void)
{
    static const step_t read = {.kind = CBW_STATEMENT_READ, .name = ""};
    static const step_t end = {.kind = CBW_STATEMENT_ROLLBACK, .name = ""};
    cbw_session_t session;
    cbw_request_t request;
    cbw_plan_t result;

    CbwSession_Init(&session);
    begin_at_endpoint(&session, CBW_STATEMENT_READ, "");
    plan(&session, &read, &request, &result);
    request.answer.outcome = CBW_OUTCOME_NOTRUN;
    CbwSession_OnAnswer(&session, &request);
    CbwRequest_Finish(&request);
    plan(&session, &end, &request, &result);
    g_assert_cmpint(result.action, ==, CBW_PLAN_DONE);
    g_assert_false(result.rolls_back);
    CbwRequest_Finish(&request);
    CbwSession_Finish(&session);
}

/* A statement that the entry refuses before it is planned: guards against a
 * transaction that can be committed without it. */
static void
test_refused_before_plan(void)
{
    static const step_t begin = {.kind = CBW_STATEMENT_BEGIN, .name = ""};
    static const step_t read = {.kind = CBW_STATEMENT_READ, .name = ""};
    static const step_t commit = {.kind = CBW_STATEMENT_COMMIT, .name = ""};

    for (int begun = 0; begun < 2; begun++) {
        cbw_session_t session;
        cbw_request_t request;
        cbw_plan_t result;
        g_test_message("begun at the endpoint: %d", begun);
        CbwSession_Init(&session);
        CbwSession_Fail(&session);
        g_assert_cmpint(session.state, ==, CBW_SESSION_IDLE);
        if (begun) {
            begin_at_endpoint(&session, CBW_STATEMENT_WRITE, "");
        }
        else {
            plan(&session, &begin, &request, &result);
            CbwRequest_Finish(&request);
        }
        /* The second time it has failed already. */
        for (int i = 0; i < 2; i++) {
            CbwSession_Fail(&session);
            g_assert_cmpint(session.state, ==, CBW_SESSION_FAILED);
        }
        plan(&session, &read, &request, &result);
        g_assert_cmpint(result.cause, ==, CBW_CAUSE_MALFORMED);
        CbwRequest_Finish(&request);
        plan(&session, &commit, &request, &result);
        g_assert_cmpint(result.cause, ==, CBW_CAUSE_ABORTED);
        g_assert_cmpint(result.rolls_back, ==, begun);
        g_assert_cmpint(session.state, ==, CBW_SESSION_IDLE);
        CbwRequest_Finish(&request);
        CbwSession_Finish(&session);
    }
}

/* A statement or COMMIT that the owner did not take: guards against a
 * transaction that stays open at the endpoint, as its owner does not know that
 * it failed. */
static void
test_undelivered_rolls_back(void)
{
    static const struct {
        cbw_statement_kind_t kind;
        bool begun; /* at the endpoint */
        bool undelivered;
        bool rolls_back;
        cbw_session_state_t state;
    } kinds[] = {
        {CBW_STATEMENT_READ, true, true, true, CBW_SESSION_FAILED},
        {CBW_STATEMENT_COMMIT, true, true, true, CBW_SESSION_IDLE},
        {CBW_STATEMENT_READ, true, false, false, CBW_SESSION_FAILED},
        {CBW_STATEMENT_COMMIT, true, false, false, CBW_SESSION_IDLE},
        {CBW_STATEMENT_READ, false, true, false, CBW_SESSION_FAILED},
    };
    static const step_t begin = {.kind = CBW_STATEMENT_BEGIN, .name = ""};

    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        step_t step = {.kind = kinds[i].kind, .name = ""};
        cbw_session_t session;
        cbw_request_t request;
        cbw_plan_t result;
        g_test_message("case %zu", i);
        CbwSession_Init(&session);
        if (kinds[i].begun) {
            begin_at_endpoint(&session, CBW_STATEMENT_WRITE, "");
        }
        else {
            plan(&session, &begin, &request, &result);
            CbwRequest_Finish(&request);
        }
        plan(&session, &step, &request, &result);
        request.answer.outcome = CBW_OUTCOME_NOTRUN;
        request.answer.undelivered = kinds[i].undelivered;
        g_assert_cmpint(CbwSession_OnAnswer(&session, &request), ==,
                        kinds[i].rolls_back);
        g_assert_cmpint(session.state, ==, kinds[i].state);
        CbwRequest_Finish(&request);
        CbwSession_Finish(&session);
    }
}

/* The token advances with the commit of a transaction that wrote, not with its
 * writes, and not with a commit after reads, which may come from a replica. */
static void
test_token_advances_with_commit(void)
{
    static const struct {
        cbw_statement_kind_t kind;
        const char *token; /* expected after the commit */
    } kinds[] = {
        {CBW_STATEMENT_WRITE, "db:3:9"},
        {CBW_STATEMENT_READ, ""},
    };
    static const step_t commit = {.kind = CBW_STATEMENT_COMMIT, .name = ""};

    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        cbw_session_t session;
        cbw_request_t request;
        cbw_plan_t result;
        CbwSession_Init(&session);
        begin_at_endpoint(&session, kinds[i].kind, "db:3:7");
        g_assert_cmpstr(session.token, ==, "");
        plan(&session, &commit, &request, &result);
        request.answer.outcome = CBW_OUTCOME_DONE;
        strcpy(request.answer.token, "db:3:9");
        CbwSession_OnAnswer(&session, &request);
        g_assert_cmpstr(session.token, ==, kinds[i].token);
        CbwRequest_Finish(&request);
        CbwSession_Finish(&session);
    }
}

/* When a draining host may close a session to which it owes nothing. Times are
 * in milliseconds. */
static void
test_close_while_draining(void)
{
    static const struct {
        cbw_session_state_t state;
        int draining_for;
        int quiet_for;
        bool closes;
    } times[] = {
        {CBW_SESSION_IDLE, 0, 5000, false}, /* the balancer must notice it */
        {CBW_SESSION_IDLE, 400, 100, false},
        {CBW_SESSION_IDLE, 400, 400, true},
        {CBW_SESSION_IN_TRANSACTION, 2000, 1000, false},
        {CBW_SESSION_FAILED, 2000, 1000, false},
        {CBW_SESSION_IN_TRANSACTION, 3100, 10, true},
        {CBW_SESSION_FAILED, 3100, 10, true},
        /* Accepted at the last moment: its first message is on its way. */
        {CBW_SESSION_IDLE, 3100, 10, false},
        {CBW_SESSION_IDLE, 3400, 310, true},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(times); i++) {
        g_assert_cmpint(CbwSession_MayClose(times[i].state,
                                            times[i].draining_for * Cbw_MSEC,
                                            times[i].quiet_for * Cbw_MSEC),
                        ==, times[i].closes);
    }
}

/* What a session keeps, and what an EXECUTE carries, must fit into a message
 * to an endpoint. A statement that does not is refused when it is sent: one
 * that was accepted can be executed. */
static void
test_texts_that_fit_no_message(void)
{
    static const struct {
        cbw_statement_kind_t kind;
        size_t name_size;
        size_t rest_size;
        cbw_plan_action_t action;
        cbw_cause_t cause;
    } texts[] = {
        {CBW_STATEMENT_PREPARE_READ, 1, Cbw_SESSION_SHAPE_MAX, CBW_PLAN_DONE,
         CBW_CAUSE_NONE},
        {CBW_STATEMENT_PREPARE_READ, 1, Cbw_SESSION_SHAPE_MAX + 1,
         CBW_PLAN_ERROR, CBW_CAUSE_MALFORMED},
        {CBW_STATEMENT_PREPARE_WRITE, 1, 1048576 - 24, CBW_PLAN_ERROR,
         CBW_CAUSE_MALFORMED},
        {CBW_STATEMENT_PREPARE_WRITE, 1000000, Cbw_SESSION_SHAPE_MAX,
         CBW_PLAN_DONE, CBW_CAUSE_NONE},
        {CBW_STATEMENT_SET, 1, 262144 - 4, CBW_PLAN_DONE, CBW_CAUSE_NONE},
        {CBW_STATEMENT_SET, 1, 262144 - 3, CBW_PLAN_ERROR,
         CBW_CAUSE_MALFORMED},
        {CBW_STATEMENT_EXECUTE, 1, Cbw_SESSION_ARGUMENTS_MAX - 2,
         CBW_PLAN_FORWARD, CBW_CAUSE_NONE},
        {CBW_STATEMENT_EXECUTE, 1, Cbw_SESSION_ARGUMENTS_MAX - 1,
         CBW_PLAN_ERROR, CBW_CAUSE_TOO_LARGE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        char *name = g_strnfill(texts[i].name_size, 'n');
        char *rest = g_strnfill(texts[i].rest_size, 'x');
        char *text = g_strdup_printf("EXECUTE %s %s", name, rest);
        cbw_statement_t statement = {.kind = texts[i].kind,
                                     .id = "id",
                                     .text = text,
                                     .name = name,
                                     .rest = rest};
        const step_t prepare = {CBW_STATEMENT_PREPARE_READ,
                                name,
                                "q",
                                CBW_PLAN_DONE,
                                CBW_CAUSE_NONE,
                                CBW_SESSION_IDLE};
        cbw_session_t session;
        cbw_request_t request;
        cbw_plan_t result;
        CbwSession_Init(&session);
        if (texts[i].kind == CBW_STATEMENT_EXECUTE) {
            plan(&session, &prepare, &request, &result);
            CbwRequest_Finish(&request);
        }
        CbwRequest_Init(&request);
        CbwSession_Plan(&session, &statement, TRANSACTION, &request, &result);
        g_test_message("case %zu", i);
        g_assert_cmpint(result.action, ==, texts[i].action);
        g_assert_cmpint(result.cause, ==, texts[i].cause);
        CbwRequest_Finish(&request);
        CbwSession_Finish(&session);
        g_free(name);
        g_free(rest);
        g_free(text);
    }
}

void
Suite_AddSession(void)
{
    g_test_add_func("/session/texts-that-fit-no-message",
                    test_texts_that_fit_no_message);
    g_test_add_func("/session/cases", test_cases);
    g_test_add_func("/session/begun-again", test_begun_again);
    g_test_add_func("/session/first-statement-begins",
                    test_first_statement_begins);
    g_test_add_func("/session/local-error-rolls-back",
                    test_local_error_rolls_back);
    g_test_add_func("/session/endpoint-error-needs-no-rollback",
                    test_endpoint_error_needs_no_rollback);
    g_test_add_func("/session/refused-before-plan", test_refused_before_plan);
    g_test_add_func("/session/undelivered-rolls-back",
                    test_undelivered_rolls_back);
    g_test_add_func("/session/token-advances-with-commit",
                    test_token_advances_with_commit);
    g_test_add_func("/session/close-while-draining",
                    test_close_while_draining);
    g_test_add_func("/session/values-are-forwarded",
                    test_values_are_forwarded);
    g_test_add_func("/session/value-sets-another", test_value_sets_another);
}
