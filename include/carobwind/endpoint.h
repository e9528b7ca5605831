/* What the kernel says to an endpoint and hears from it, free of any wire
 * format.  Endpoint drivers carry it. */
#ifndef CAROBWIND_ENDPOINT_H
#define CAROBWIND_ENDPOINT_H

#include "carobwind/types.h"

typedef enum {
    CBW_CALL_RUN,
    CBW_CALL_BEGIN,
    CBW_CALL_COMMIT,
    CBW_CALL_ROLLBACK,
    CBW_CALL_CANCEL,    /* tombstones a request key */
    CBW_CALL_STATE,     /* asks for term and position */
    CBW_CALL_FENCE,     /* refuse lower terms from now on */
    CBW_CALL_PROMOTE,   /* become primary of the fenced term */
    CBW_CALL_FOLLOW,    /* replicate from `target` */
    CBW_CALL_STEP_DOWN, /* a primary of a lower term becomes a replica */
} cbw_call_verb_t;

/* Names of the members of cbw_call_verb_t, in their order. */
extern const char *const CbwEndpoint_VerbString[];

typedef enum {
    CBW_REPLY_OK,
    CBW_REPLY_CANCELLED,      /* the key is tombstoned: never ran */
    CBW_REPLY_SUPERSEDED,     /* the endpoint is at a higher term */
    CBW_REPLY_NOT_PRIMARY,    /* a write reached a replica */
    CBW_REPLY_NO_TRANSACTION, /* the connection has no open transaction */
    CBW_REPLY_NO_CONNECTION,  /* no connection to be had: not sent */
    CBW_REPLY_FAILED,         /* the statement itself is wrong */
    CBW_REPLY_LOST,           /* sent, connection lost before an answer */
    CBW_REPLY_BUSY,           /* no room at the endpoint: not run */
    CBW_REPLY_BEHIND,         /* its log lacks the asked position: not run */
    CBW_REPLY_TIMEOUT,        /* it ran, and did not end in time */
} cbw_reply_status_t;

/* Names of the members of cbw_reply_status_t, in their order. */
extern const char *const CbwEndpoint_StatusString[];

/* Most term beginnings that a report carries, the latest ones. */
#define Cbw_TERM_BEGINS_MAX 8

/* Where a term began in the log. */
typedef struct {
    uint64_t term;
    uint64_t position; /* of the term's first entry */
} cbw_term_begin_t;

/* An endpoint's report of itself. */
typedef struct {
    uint64_t term; /* lower terms are refused */
    bool primary;
    uint64_t follows;   /* term of the primary it replicates from; 0: none */
    uint64_t last_term; /* term of the last log entry */
    uint64_t position;  /* of the last log entry */
    int begin_count;
    cbw_term_begin_t begins[Cbw_TERM_BEGINS_MAX]; /* latest first */
} cbw_endpoint_state_t;

typedef struct {
    uint64_t id;
    cbw_call_verb_t verb;
    uint64_t term;
    bool writes;
    const char *key; /* "" when there is none */
    const char *statement;
    size_t statement_size;
    uint64_t transaction;        /* 0: any idle connection */
    const char *primary_address; /* FOLLOW: address of the primary */
    /* Of endpoints without request keys: */
    const char *trace;   /* the statement's id, passed on unchanged */
    const char *values;  /* session values, "name value" a line; "": none */
    const char *shape;   /* of a prepared statement; "": not one */
    bool new_connection; /* on a new connection: others may be silent */
    bool begins;         /* RUN: opens the transaction first */
    bool reads_only;     /* begins: the transaction only reads */
    uint64_t min_term;   /* the log must hold this position; 0: any */
    uint64_t min_position;
    uint64_t wait_position;  /* STATE: answer once this is held, ... */
    cbw_time_t wait_timeout; /* ... or after this time; 0: at once */
} cbw_call_t;

typedef struct {
    cbw_reply_status_t status;
    const char *result;
    size_t result_size;
    uint64_t entry_term;     /* RUN, COMMIT: term of the write's entry */
    uint64_t entry_position; /* RUN, COMMIT: position of the write's entry */
    cbw_endpoint_state_t state;
} cbw_reply_t;

#endif
