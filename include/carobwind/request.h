/* One statement on its way through the system, and its outcome. */
#ifndef CAROBWIND_REQUEST_H
#define CAROBWIND_REQUEST_H

#include "carobwind/inventory.h"
#include "carobwind/list.h"
#include "carobwind/types.h"

typedef enum {
    CBW_VERB_STATEMENT,
    CBW_VERB_BEGIN,
    CBW_VERB_COMMIT,
    CBW_VERB_ROLLBACK,
    CBW_VERB_SETTLE, /* find out or cancel what became of a key */
} cbw_verb_t;

/* Names of the members of cbw_verb_t, in their order. */
extern const char *const CbwRequest_VerbString[];

typedef enum {
    CBW_OUTCOME_PENDING,
    CBW_OUTCOME_DONE,
    CBW_OUTCOME_NOTRUN,  /* it did not run and never will */
    CBW_OUTCOME_UNKNOWN, /* it may or may not have run */
} cbw_outcome_t;

/* Names of the members of cbw_outcome_t, in their order. */
extern const char *const CbwRequest_OutcomeString[];

/* Where a request stands inside the owner. */
typedef enum {
    CBW_REQUEST_QUEUED,
    CBW_REQUEST_PARKED, /* waits for a replica to catch up */
    CBW_REQUEST_RUNNING,
    CBW_REQUEST_CONFIRMING,
    CBW_REQUEST_SETTLING,
    CBW_REQUEST_FINISHED,
} cbw_request_state_t;

/* Why a request was not done, for callers whose protocol tells these apart. */
typedef enum {
    CBW_CAUSE_NONE,
    CBW_CAUSE_BUSY,      /* no room, or no primary in time: never sent */
    CBW_CAUSE_ABORTED,   /* its transaction is lost and rolled back */
    CBW_CAUSE_BEHIND,    /* no endpoint holds what it must see */
    CBW_CAUSE_READ_ONLY, /* its endpoint is no primary any more */
    CBW_CAUSE_FAILED,    /* the endpoint ran it, and it failed */
    CBW_CAUSE_TIMEOUT,   /* sent, and no answer in the time allowed */
    CBW_CAUSE_IN_DOUBT,  /* sent, and the answer is lost */
    CBW_CAUSE_NO_DATABASE,
    CBW_CAUSE_NO_STATEMENT,
    CBW_CAUSE_MALFORMED,
} cbw_cause_t;

/* Names of the members of cbw_cause_t, in their order. */
extern const char *const CbwRequest_CauseString[];

typedef struct {
    cbw_outcome_t outcome;
    cbw_cause_t cause;
    char *result; /* owned by the request; NULL: empty */
    size_t result_size;
    char token[Cbw_TOKEN_MAX];
    char reason[64]; /* why it was not done; short, for people */
    cbw_time_t retry_after;
} cbw_answer_t;

/* Owns `statement`, `values`, `shape` and the answer's result. */
typedef struct {
    cbw_link_t link;
    cbw_verb_t verb;
    char database[Cbw_NAME_MAX];
    char kind_name[Cbw_NAME_MAX];
    char *statement;
    size_t statement_size;
    char key[Cbw_KEY_MAX]; /* writes and commits always have one */
    char token[Cbw_TOKEN_MAX];
    char trace[Cbw_TRACE_MAX];
    cbw_time_t age; /* oldest data accepted; Cbw_NEVER: any */
    cbw_time_t arrived_at;
    cbw_time_t deadline;
    uint64_t transaction; /* 0: none */
    bool maybe_sent;      /* an endpoint may have received it */
    /* Of endpoints without request keys, see cbw_call_t: */
    char *values; /* NULL: none */
    char *shape;  /* NULL: not a prepared statement */
    bool begins;
    bool reads_only;
    cbw_read_consistency_t rule;
    cbw_time_t target;      /* aim of the whole operation; 0: none */
    int64_t config_version; /* that routed it */
    bool takes_over; /* its owner must take over: the holder was not reached */

    /* The owner's part. */
    int rank;
    bool writes;
    cbw_confirm_level_t confirm;
    cbw_request_state_t state;
    int endpoint;
    int attempts;
    uint64_t call;
    cbw_time_t sent_at;
    cbw_time_t settle_deadline;
    uint64_t term;          /* term of the answer */
    uint64_t position;      /* to be confirmed */
    uint64_t confirm_round; /* confirmation round that must complete */
    bool
        confirms_tombstone; /* what is confirmed is the tombstone of the key */
    bool needs_primary;
    cbw_time_t queued_at;
    cbw_time_t answered_at;
    cbw_time_t parked_at;

    cbw_answer_t answer;
} cbw_request_t;

/* Zeroes `request` and links it to nothing. */
void CbwRequest_Init(cbw_request_t *request);
/* Frees what the request owns. */
void CbwRequest_Finish(cbw_request_t *request);
/* Sets the statement to a copy. Returns 0, -1: no memory. */
int CbwRequest_SetStatement(cbw_request_t *request, const char *statement,
                            size_t size);
/* Sets the answer's result to a copy. Returns 0, -1: no memory. */
int CbwRequest_SetResult(cbw_request_t *request, const char *result,
                         size_t size);
/* Sets outcome and reason; a result that was set before is kept. */
void CbwRequest_End(cbw_request_t *request, cbw_outcome_t outcome,
                    const char *reason);

#endif
