/* A caller's session: its session values, prepared statements and transaction.
 * Decides which statements are answered locally and which are forwarded to an
 * endpoint.  The module does no I/O. */
#ifndef CAROBWIND_SESSION_H
#define CAROBWIND_SESSION_H

#include "carobwind/request.h"
#include "carobwind/statement.h"

/* Limits of one session. */
#define Cbw_SESSION_VALUES_MAX 256
#define Cbw_SESSION_PREPARED_MAX 1024
/* Bytes of all values, and of all prepared statements, of one session with
 * their names. Values are sent to the owner with each statement, in a field of
 * the peer protocol of this size; prepared statements one by one. */
#define Cbw_SESSION_VALUES_SIZE_MAX ((size_t)262144)
#define Cbw_SESSION_PREPARED_SIZE_MAX ((size_t)4 * 1024 * 1024)
/* Bytes of the shape of one prepared statement, and of the arguments of one
 * EXECUTE with its id: the rest of the largest message to an endpoint is for
 * the words around them and the endpoint's name for the statement. */
#define Cbw_SESSION_SHAPE_MAX (Cbw_ENDPOINT_MESSAGE_MAX - 40)
#define Cbw_SESSION_ARGUMENTS_MAX (Cbw_ENDPOINT_MESSAGE_MAX - 32)

typedef enum {
    CBW_SESSION_IDLE,
    CBW_SESSION_IN_TRANSACTION,
    CBW_SESSION_FAILED, /* the transaction failed; the caller has to end it */
} cbw_session_state_t;

/* Texts for the members of cbw_session_state_t, in their order. */
extern const char *const CbwSession_StateString[];

/* A session value, as set by the statement SET. */
typedef struct {
    char *name;
    char *value;
} cbw_session_value_t;

/* A prepared statement. */
typedef struct {
    char *name;
    /* The shape of the statement (its text without arguments) after "READ " or
     * "WRITE ", as it is sent to endpoints. */
    char *shape;
    bool writes;
} cbw_prepared_statement_t;

/* Owns its arrays and strings. Finished with CbwSession_Finish. */
typedef struct {
    cbw_session_value_t *values;
    size_t value_count;
    cbw_prepared_statement_t *prepared;
    size_t prepared_count;
    size_t values_size; /* bytes, see Cbw_SESSION_VALUES_SIZE_MAX */
    size_t prepared_size;
    char *encoded_values; /* a line "name value" each; NULL: out of date */
    cbw_session_state_t state;
    bool reads_only;  /* the open transaction only reads */
    bool begun;       /* an endpoint has opened the transaction */
    bool has_written; /* in the open transaction */
    /* The transaction failed at the entry; the endpoint still has it open. */
    bool failed_locally;
    uint64_t transaction;      /* its id; 0: not forwarded yet */
    char token[Cbw_TOKEN_MAX]; /* of this session's latest write or commit */
} cbw_session_t;

/* How a statement is to be handled. */
typedef enum {
    CBW_PLAN_DONE,     /* answered locally */
    CBW_PLAN_ERROR,    /* answered locally with `cause` and `reason` */
    CBW_PLAN_FORWARD,  /* forwarded as `request`, which is filled in */
    CBW_PLAN_ROLLBACK, /* answered locally; also forwarded to an endpoint */
} cbw_plan_action_t;

/* The result of CbwSession_Plan. */
typedef struct {
    cbw_plan_action_t action;
    cbw_cause_t cause;
    const char *reason; /* a static text, for the caller */
    /* The endpoint's transaction, `transaction` of the request, is to be
     * rolled back besides. */
    bool rolls_back;
} cbw_plan_t;

/* Initializes an empty session. */
void CbwSession_Init(cbw_session_t *session);
/* Frees what the session owns. */
void CbwSession_Finish(cbw_session_t *session);
/* Whether the session keeps parts of the statement. */
bool CbwSession_Keeps(const cbw_statement_t *statement);
/* Decides how `statement` is handled. For FORWARD, sets the verb, statement,
 * values, shape and transaction members of `request`. `transaction` is the id
 * for a transaction that begins with this statement. */
void CbwSession_Plan(cbw_session_t *session, const cbw_statement_t *statement,
                     uint64_t transaction, cbw_request_t *request,
                     cbw_plan_t *plan);
/* A statement failed without being forwarded: fails the open transaction, if
 * there is one. The caller has to end it. */
void CbwSession_Fail(cbw_session_t *session);
/* Updates the session by the answer to a forwarded request. Returns whether
 * the request's transaction, which the endpoint still has open, is to be
 * rolled back. */
bool CbwSession_OnAnswer(cbw_session_t *session, const cbw_request_t *request);

/* How long a drain waits before it closes sessions, and how long a session
 * must have been quiet: meanwhile the load balancer learns that this host is
 * not ready, and messages in transit arrive. */
#define Cbw_SESSION_DRAIN_CLOSE_DELAY (300 * Cbw_MSEC)
/* Sessions with open transactions are closed this long after a drain began:
 * half of the grace period that the platform gives a process to stop. */
#define Cbw_SESSION_DRAIN_TRANSACTION_LIMIT (3 * Cbw_SEC)
/* Returns whether a host that has been draining for `draining_for` may close a
 * session that waits for no answer, and from which nothing has come for
 * `quiet_for`. */
bool CbwSession_MayClose(cbw_session_state_t state, cbw_time_t draining_for,
                         cbw_time_t quiet_for);

#endif
