/* Calls to an endpoint and its replies, independent of the wire protocol,
 * which the endpoint drivers implement. */
#ifndef CAROBWIND_ENDPOINT_H
#define CAROBWIND_ENDPOINT_H

#include "carobwind/types.h"

typedef enum {
    CBW_CALL_RUN, /* runs a statement */
    CBW_CALL_BEGIN,
    CBW_CALL_COMMIT,
    CBW_CALL_ROLLBACK,
    CBW_CALL_CANCEL,    /* tombstones a request key that has not run */
    CBW_CALL_STATE,     /* asks for the endpoint's state */
    CBW_CALL_FENCE,     /* refuses lower terms from now on */
    CBW_CALL_PROMOTE,   /* becomes primary of the fenced term */
    CBW_CALL_FOLLOW,    /* replicates from `primary_address` */
    CBW_CALL_STEP_DOWN, /* a primary of a lower term becomes a replica */
} cbw_call_verb_t;

/* Text of each cbw_call_verb_t, indexed by value. */
extern const char *const CbwEndpoint_VerbString[];

typedef enum {
    CBW_REPLY_OK,
    CBW_REPLY_CANCELLED,      /* the key is tombstoned: it never ran */
    CBW_REPLY_SUPERSEDED,     /* the endpoint is at a higher term */
    CBW_REPLY_NOT_PRIMARY,    /* a write reached a replica */
    CBW_REPLY_NO_TRANSACTION, /* the connection has no open transaction */
    CBW_REPLY_NO_CONNECTION,  /* no connection available: not sent */
    CBW_REPLY_FAILED,         /* the statement itself failed */
    CBW_REPLY_LOST,      /* sent, and the connection lost before a reply */
    CBW_REPLY_BUSY,      /* the endpoint is overloaded: not run */
    CBW_REPLY_BEHIND,    /* its log lacks `min_position`: not run */
    CBW_REPLY_TIMEOUT,   /* it ran, and did not finish in time */
    CBW_REPLY_TOO_LARGE, /* it ran; its result exceeds Cbw_RESULT_MAX */
    /* It ran, outside of its transaction or in an unknown one: a write may
     * have been committed. */
    CBW_REPLY_MISPLACED,
} cbw_reply_status_t;

/* Text of each cbw_reply_status_t, indexed by value. */
extern const char *const CbwEndpoint_StatusString[];

/* Most term beginnings in a state; the latest ones are reported. */
#define Cbw_TERM_BEGINS_MAX 8

/* The position in the log where a term began. */
typedef struct {
    uint64_t term;
    uint64_t position; /* of the term's first entry */
} cbw_term_begin_t;

/* The state that an endpoint reports about itself. */
typedef struct {
    uint64_t term; /* the endpoint refuses lower terms */
    bool primary;
    /* Term of the primary that it replicates from; 0: none. */
    uint64_t follows;
    uint64_t last_term; /* term of the last log entry */
    uint64_t position;  /* of the last log entry */
    /* Where the latest terms began, latest first. */
    int begin_count;
    cbw_term_begin_t begins[Cbw_TERM_BEGINS_MAX];
} cbw_endpoint_state_t;

/* A call to an endpoint. The sender owns the strings. */
typedef struct {
    uint64_t id; /* set by the sender; the reply is matched by it */
    cbw_call_verb_t verb;
    uint64_t term;
    bool writes;
    const char *key; /* "" when there is none */
    const char *statement;
    size_t statement_size;
    uint64_t transaction;        /* 0: none, any idle connection will do */
    const char *primary_address; /* FOLLOW: address of the primary */
    /* For endpoints without request keys: */
    const char *trace; /* id for tracing, passed on unchanged */
    /* The workspace for which the connection was started; "" or NULL: none. */
    const char *workspace;
    int rank;           /* of the request; 0: most urgent, or a control call */
    const char *values; /* session values, one "name value" per line */
    const char *shape;  /* as in cbw_prepared_statement_t; "": not prepared */
    bool new_connection; /* open one: existing ones may be dead */
    bool begins;         /* RUN: opens the transaction first */
    bool reads_only;     /* `begins`: the transaction is read-only */
    /* RUN: the log must include position `min_position` of `min_term`; term 0:
     * no such requirement. */
    uint64_t min_term;
    uint64_t min_position;
    uint64_t wait_position;  /* STATE: reply once the log includes this */
    cbw_time_t wait_timeout; /* or after this time; 0: reply at once */
} cbw_call_t;

/* Most bytes of a result with all its rows: the limit of the peer protocol.
 */
#define Cbw_RESULT_MAX ((size_t)4 * 1024 * 1024)

/* An endpoint's reply. */
typedef struct {
    cbw_reply_status_t status;
    const char *result; /* owned by the driver */
    size_t result_size;
    uint64_t entry_term;     /* RUN, COMMIT: term of the write's entry */
    uint64_t entry_position; /* RUN, COMMIT: position of the write's entry */
    cbw_endpoint_state_t state;
} cbw_reply_t;

#endif
