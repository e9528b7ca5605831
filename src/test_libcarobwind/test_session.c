#include <glib.h>
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
    static const step_t commit = {.kind = CBW_STATEMENT_COMMIT, .name = ""};
    cbw_session_t session;
    cbw_request_t request;
    cbw_plan_t result;

    CbwSession_Init(&session);
    plan(&session, &begin, &request, &result);
    plan(&session, &read, &request, &result);
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

void
Suite_AddSession(void)
{
    g_test_add_func("/session/cases", test_cases);
    g_test_add_func("/session/first-statement-begins",
                    test_first_statement_begins);
    g_test_add_func("/session/values-are-forwarded",
                    test_values_are_forwarded);
}
