/* A caller's session: its values, its prepared statements and its transaction.
 * Decides what is answered here and what goes to an endpoint.  Pure. */
#ifndef CAROBWIND_SESSION_H
#define CAROBWIND_SESSION_H

#include "carobwind/request.h"
#include "carobwind/statement.h"

/* Most values, and most prepared statements, of one session. */
#define Cbw_SESSION_VALUES_MAX 256
#define Cbw_SESSION_PREPARED_MAX 1024

typedef enum {
    CBW_SESSION_IDLE,
    CBW_SESSION_IN_TRANSACTION,
    CBW_SESSION_FAILED, /* until the caller ends the transaction */
} cbw_session_state_t;

/* Names of the members of cbw_session_state_t, in their order. */
extern const char *const CbwSession_StateString[];

typedef struct {
    char *name;
    char *value;
} cbw_session_value_t;

typedef struct {
    char *name;
    char *shape; /* "READ shape" or "WRITE shape" */
    bool writes;
} cbw_prepared_statement_t;

/* Owns its arrays and texts. */
typedef struct {
    cbw_session_value_t *values;
    size_t value_count;
    cbw_prepared_statement_t *prepared;
    size_t prepared_count;
    char *
        encoded_values; /* the values, "name value" a line; NULL: to be made */
    cbw_session_state_t state;
    bool reads_only;           /* the transaction */
    bool begun;                /* an endpoint may have opened it */
    uint64_t transaction;      /* its id; 0: none */
    char token[Cbw_TOKEN_MAX]; /* of the latest commit of the session */
} cbw_session_t;

typedef enum {
    CBW_PLAN_DONE,     /* answered here */
    CBW_PLAN_ERROR,    /* answered here with `cause` */
    CBW_PLAN_FORWARD,  /* `request` is filled in */
    CBW_PLAN_ROLLBACK, /* answered here; an endpoint is told besides */
} cbw_plan_action_t;

typedef struct {
    cbw_plan_action_t action;
    cbw_cause_t cause;
    const char *reason;
} cbw_plan_t;

void CbwSession_Init(cbw_session_t *session);
void CbwSession_Finish(cbw_session_t *session);
/* What to do with `statement`. For FORWARD, sets verb, statement, values,
 * shape and the transaction's part of `request`; `transaction` is the id that
 * a transaction begun now gets. */
void CbwSession_Plan(cbw_session_t *session, const cbw_statement_t *statement,
                     uint64_t transaction, cbw_request_t *request,
                     cbw_plan_t *plan);
/* Takes in the answer to a forwarded request. */
void CbwSession_OnAnswer(cbw_session_t *session, const cbw_request_t *request);

#endif
