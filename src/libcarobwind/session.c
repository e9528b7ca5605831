#include "carobwind/session.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *const CbwStatement_KindString[] = {
    "other",        "read",          "write",    "begin",
    "begin-read",   "commit",        "rollback", "set",
    "prepare-read", "prepare-write", "execute",  "deallocate",
};

const char *const CbwSession_StateString[] = {"idle", "transaction", "failed"};

void
CbwSession_Init(cbw_session_t *session)
{
    memset(session, 0, sizeof(*session));
}

void
CbwSession_Finish(cbw_session_t *session)
{
    for (size_t i = 0; i < session->value_count; i++) {
        free(session->values[i].name);
        free(session->values[i].value);
    }
    for (size_t i = 0; i < session->prepared_count; i++) {
        free(session->prepared[i].name);
        free(session->prepared[i].shape);
    }
    free(session->values);
    free(session->prepared);
    free(session->encoded_values);
    memset(session, 0, sizeof(*session));
}

/* Returns `array` with room for one more item, or NULL when out of memory. */
static void *
grow(void *array, size_t count, size_t item_size)
{
    /* The capacity is always a power of two. */
    if ((count & (count - 1)) != 0) {
        return array;
    }
    return realloc(array, (count == 0 ? 1 : count * 2) * item_size);
}

/* Bytes of a value as it is encoded: "name value" and a line end. */
static size_t
encoded_size(const char *name, const char *value)
{
    return strlen(name) + strlen(value) + 2;
}

static bool
set_value(cbw_session_t *session, const char *name, const char *value)
{
    cbw_session_value_t *values;
    cbw_session_value_t *known = NULL;
    size_t size = session->values_size + encoded_size(name, value);

    /* In their encoding values are separated by line feeds. */
    if (strchr(name, '\n') != NULL || strchr(value, '\n') != NULL) {
        return false;
    }
    for (size_t i = 0; known == NULL && i < session->value_count; i++) {
        if (strcmp(session->values[i].name, name) == 0) {
            known = &session->values[i];
            size -= encoded_size(name, known->value);
        }
    }
    if (size >= Cbw_SESSION_VALUES_SIZE_MAX ||
        (known == NULL && session->value_count == Cbw_SESSION_VALUES_MAX)) {
        return false;
    }
    free(session->encoded_values);
    session->encoded_values = NULL;
    session->values_size = size;
    if (known != NULL) {
        free(known->value);
        known->value = strdup(value);
        return true;
    }
    values = grow(session->values, session->value_count, sizeof(*values));
    if (values == NULL) {
        return false;
    }
    session->values = values;
    values[session->value_count++] =
        (cbw_session_value_t){strdup(name), strdup(value)};
    return true;
}

static cbw_prepared_statement_t *
find_prepared_statement(cbw_session_t *session, const char *name)
{
    for (size_t i = 0; i < session->prepared_count; i++) {
        if (strcmp(session->prepared[i].name, name) == 0) {
            return &session->prepared[i];
        }
    }
    return NULL;
}

static char *
qualify_shape(const char *shape, bool writes)
{
    char *text;

    if (asprintf(&text, "%s %s", writes ? "WRITE" : "READ", shape) < 0) {
        abort();
    }
    return text;
}

static size_t
prepared_size(const cbw_prepared_statement_t *prepared)
{
    return strlen(prepared->name) + strlen(prepared->shape);
}

static bool
prepare(cbw_session_t *session, const char *name, const char *shape,
        bool writes)
{
    cbw_prepared_statement_t *known = find_prepared_statement(session, name);
    cbw_prepared_statement_t *prepared;
    size_t size = session->prepared_size -
                  (known != NULL ? prepared_size(known) : 0) + strlen(name) +
                  strlen(shape) + strlen("WRITE ");

    if (strlen(shape) > Cbw_SESSION_SHAPE_MAX ||
        size > Cbw_SESSION_PREPARED_SIZE_MAX) {
        return false;
    }
    if (known == NULL) {
        if (session->prepared_count == Cbw_SESSION_PREPARED_MAX) {
            return false;
        }
        prepared = grow(session->prepared, session->prepared_count,
                        sizeof(*prepared));
        if (prepared == NULL) {
            return false;
        }
        session->prepared = prepared;
        known = &prepared[session->prepared_count++];
        *known = (cbw_prepared_statement_t){.name = strdup(name)};
    }
    else {
        session->prepared_size -= prepared_size(known);
        free(known->shape);
    }
    known->shape = qualify_shape(shape, writes);
    known->writes = writes;
    session->prepared_size += prepared_size(known);
    return true;
}

static bool
deallocate(cbw_session_t *session, const char *name)
{
    cbw_prepared_statement_t *known = find_prepared_statement(session, name);

    if (known == NULL) {
        return false;
    }
    session->prepared_size -= prepared_size(known);
    free(known->name);
    free(known->shape);
    *known = session->prepared[--session->prepared_count];
    return true;
}

static const char *
encode_values(cbw_session_t *session)
{
    size_t size = 1;
    size_t length = 0;

    if (session->encoded_values != NULL) {
        return session->encoded_values;
    }
    for (size_t i = 0; i < session->value_count; i++) {
        size += strlen(session->values[i].name) +
                strlen(session->values[i].value) + 2;
    }
    session->encoded_values = malloc(size);
    if (session->encoded_values == NULL) {
        abort();
    }
    session->encoded_values[0] = '\0';
    for (size_t i = 0; i < session->value_count; i++) {
        length += (size_t)snprintf(
            session->encoded_values + length, size - length, "%s %s\n",
            session->values[i].name, session->values[i].value);
    }
    return session->encoded_values;
}

void
CbwSession_Fail(cbw_session_t *session)
{
    if (session->state == CBW_SESSION_IN_TRANSACTION) {
        session->state = CBW_SESSION_FAILED;
        session->failed_locally = session->begun;
    }
}

/* Planning. */

static void
plan_error(cbw_session_t *session, cbw_plan_t *plan, cbw_cause_t cause,
           const char *reason)
{
    CbwSession_Fail(session);
    *plan = (cbw_plan_t){CBW_PLAN_ERROR, cause, reason, false};
}

static void
end_transaction(cbw_session_t *session)
{
    session->state = CBW_SESSION_IDLE;
    session->transaction = 0;
    session->begun = false;
    session->has_written = false;
    session->failed_locally = false;
    session->reads_only = false;
}

static void
plan_forward(cbw_session_t *session, const cbw_statement_t *statement,
             uint64_t transaction, cbw_request_t *request, cbw_plan_t *plan)
{
    const char *text = statement->text;

    if (statement->kind == CBW_STATEMENT_EXECUTE) {
        const cbw_prepared_statement_t *prepared =
            find_prepared_statement(session, statement->name);
        if (prepared == NULL) {
            plan_error(session, plan, CBW_CAUSE_NO_STATEMENT,
                       "no prepared statement has this name");
            return;
        }
        if (strlen(statement->id) + strlen(statement->rest) >
            Cbw_SESSION_ARGUMENTS_MAX) {
            plan_error(session, plan, CBW_CAUSE_TOO_LARGE,
                       "the arguments leave no room for the prepared name");
            return;
        }
        request->shape = strdup(prepared->shape);
        request->writes = prepared->writes;
        text = statement->rest;
    }
    else {
        request->writes = statement->kind == CBW_STATEMENT_WRITE;
    }
    request->verb = statement->kind == CBW_STATEMENT_COMMIT
                        ? CBW_VERB_COMMIT
                        : CBW_VERB_STATEMENT;
    if (session->state == CBW_SESSION_IN_TRANSACTION) {
        if (session->reads_only && request->writes) {
            plan_error(session, plan, CBW_CAUSE_READ_ONLY,
                       "the transaction only reads");
            return;
        }
        request->begins = !session->begun;
        request->reads_only = session->reads_only;
        if (session->transaction == 0) {
            session->transaction = transaction;
        }
        request->transaction = session->transaction;
    }
    if (CbwRequest_SetStatement(request, text, strlen(text)) != 0) {
        abort();
    }
    if (session->value_count > 0) {
        request->values = strdup(encode_values(session));
    }
    *plan = (cbw_plan_t){CBW_PLAN_FORWARD, CBW_CAUSE_NONE, "", false};
}

static void
plan_transaction_end(cbw_session_t *session, const cbw_statement_t *statement,
                     uint64_t transaction, cbw_request_t *request,
                     cbw_plan_t *plan)
{
    bool commits = statement->kind == CBW_STATEMENT_COMMIT;

    if (session->state == CBW_SESSION_IDLE) {
        plan_error(session, plan, CBW_CAUSE_MALFORMED,
                   "no transaction is open");
        return;
    }
    if (session->state == CBW_SESSION_FAILED) {
        /* The endpoint has rolled back when a statement failed there. */
        plan->rolls_back = session->failed_locally;
        request->transaction = session->transaction;
        plan->action = commits            ? CBW_PLAN_ERROR
                       : plan->rolls_back ? CBW_PLAN_ROLLBACK
                                          : CBW_PLAN_DONE;
        plan->cause = commits ? CBW_CAUSE_ABORTED : CBW_CAUSE_NONE;
        plan->reason = commits ? "the transaction had failed" : "";
        end_transaction(session);
        return;
    }
    if (commits) {
        plan_forward(session, statement, transaction, request, plan);
        return;
    }
    request->transaction = session->transaction;
    *plan = (cbw_plan_t){session->begun ? CBW_PLAN_ROLLBACK : CBW_PLAN_DONE,
                         CBW_CAUSE_NONE, "", session->begun};
    end_transaction(session);
}

static void
plan_local(cbw_session_t *session, const cbw_statement_t *statement,
           cbw_plan_t *plan)
{
    bool done = false;
    cbw_cause_t cause = CBW_CAUSE_MALFORMED;

    switch (statement->kind) {
    case CBW_STATEMENT_BEGIN:
    case CBW_STATEMENT_BEGIN_READ:
        done = session->state == CBW_SESSION_IDLE;
        if (done) {
            session->state = CBW_SESSION_IN_TRANSACTION;
            session->reads_only = statement->kind == CBW_STATEMENT_BEGIN_READ;
        }
        break;
    case CBW_STATEMENT_SET:
        done = set_value(session, statement->name, statement->rest);
        break;
    case CBW_STATEMENT_PREPARE_READ:
    case CBW_STATEMENT_PREPARE_WRITE:
        done = prepare(session, statement->name, statement->rest,
                       statement->kind == CBW_STATEMENT_PREPARE_WRITE);
        break;
    case CBW_STATEMENT_DEALLOCATE:
        done = deallocate(session, statement->name);
        cause = CBW_CAUSE_NO_STATEMENT;
        break;
    default:
        break;
    }
    if (!done) {
        plan_error(session, plan, cause,
                   "the statement does not fit the session");
    }
}

bool
CbwSession_Keeps(const cbw_statement_t *statement)
{
    return statement->kind == CBW_STATEMENT_SET ||
           statement->kind == CBW_STATEMENT_PREPARE_READ ||
           statement->kind == CBW_STATEMENT_PREPARE_WRITE;
}

void
CbwSession_Plan(cbw_session_t *session, const cbw_statement_t *statement,
                uint64_t transaction, cbw_request_t *request, cbw_plan_t *plan)
{
    bool ends = statement->kind == CBW_STATEMENT_COMMIT ||
                statement->kind == CBW_STATEMENT_ROLLBACK;

    *plan = (cbw_plan_t){CBW_PLAN_DONE, CBW_CAUSE_NONE, "", false};
    if (session->state == CBW_SESSION_FAILED && !ends) {
        *plan = (cbw_plan_t){CBW_PLAN_ERROR, CBW_CAUSE_MALFORMED,
                             "the transaction has failed: end it", false};
        return;
    }
    switch (statement->kind) {
    case CBW_STATEMENT_READ:
    case CBW_STATEMENT_WRITE:
    case CBW_STATEMENT_EXECUTE:
        plan_forward(session, statement, transaction, request, plan);
        break;
    case CBW_STATEMENT_COMMIT:
    case CBW_STATEMENT_ROLLBACK:
        plan_transaction_end(session, statement, transaction, request, plan);
        break;
    default:
        plan_local(session, statement, plan);
        break;
    }
}

bool
CbwSession_OnAnswer(cbw_session_t *session, const cbw_request_t *request)
{
    bool done = request->answer.outcome == CBW_OUTCOME_DONE;
    bool commits =
        request->transaction == 0
            ? request->writes
            : request->verb == CBW_VERB_COMMIT && session->has_written;
    bool rolls_back;

    /* Only what commits the session's own writes advances its token. A read
     * may have seen an older position, which must not move the token back. */
    if (done && request->answer.token[0] != '\0' && commits) {
        memcpy(session->token, request->answer.token, sizeof(session->token));
    }
    if (request->transaction == 0) {
        return false;
    }
    rolls_back = session->begun && request->answer.undelivered;
    if (request->verb == CBW_VERB_COMMIT) {
        end_transaction(session);
    }
    else if (done) {
        session->begun = true;
        session->transaction = request->transaction; /* may be renamed */
        session->has_written |= request->writes;
    }
    else {
        session->state = CBW_SESSION_FAILED;
    }
    return rolls_back;
}

bool
CbwSession_MayClose(cbw_session_state_t state, cbw_time_t draining_for,
                    cbw_time_t quiet_for)
{
    if (state != CBW_SESSION_IDLE) {
        return draining_for > Cbw_SESSION_DRAIN_TRANSACTION_LIMIT;
    }
    return draining_for > Cbw_SESSION_DRAIN_CLOSE_DELAY &&
           quiet_for > Cbw_SESSION_DRAIN_CLOSE_DELAY;
}
