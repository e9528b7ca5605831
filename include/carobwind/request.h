/* A request: one statement on its way through the system, and its outcome. */
#ifndef CAROBWIND_REQUEST_H
#define CAROBWIND_REQUEST_H

#include "carobwind/inventory.h"
#include "carobwind/list.h"
#include "carobwind/quota.h"
#include "carobwind/types.h"

/* What a request asks for. */
typedef enum {
    CBW_VERB_STATEMENT,
    CBW_VERB_BEGIN,
    CBW_VERB_COMMIT,
    CBW_VERB_ROLLBACK,
    CBW_VERB_SETTLE, /* find out the outcome of a request key, or cancel it */
} cbw_verb_t;

/* Texts for the members of cbw_verb_t, in their order. */
extern const char *const CbwRequest_VerbString[];

/* Whether a request was executed. */
typedef enum {
    CBW_OUTCOME_PENDING,
    CBW_OUTCOME_DONE,
    CBW_OUTCOME_NOTRUN,  /* it did not run and never will run */
    CBW_OUTCOME_UNKNOWN, /* it may or may not have run */
} cbw_outcome_t;

/* Texts for the members of cbw_outcome_t, in their order. */
extern const char *const CbwRequest_OutcomeString[];

/* The state of a request at its owner. */
typedef enum {
    CBW_REQUEST_QUEUED,
    CBW_REQUEST_PARKED,     /* waits for a replica to catch up */
    CBW_REQUEST_RUNNING,    /* sent to an endpoint */
    CBW_REQUEST_CONFIRMING, /* answered; the answer awaits confirmation */
    CBW_REQUEST_SETTLING,   /* its answer was lost; its key is looked up */
    CBW_REQUEST_FINISHED,
} cbw_request_state_t;

/* Why a request was not done, for caller protocols that make the distinction.
 */
typedef enum {
    CBW_CAUSE_NONE,
    CBW_CAUSE_BUSY,    /* no capacity, or no primary in time: did not run */
    CBW_CAUSE_ABORTED, /* its transaction was lost and is rolled back */
    CBW_CAUSE_BEHIND,  /* no endpoint has the log position that it requires */
    CBW_CAUSE_READ_ONLY, /* a write in a transaction that only reads */
    CBW_CAUSE_FAILED,    /* the endpoint executed it, and it failed */
    CBW_CAUSE_TIMEOUT,   /* sent, and not answered in the time allowed */
    CBW_CAUSE_IN_DOUBT,  /* sent, and the answer was lost */
    CBW_CAUSE_NO_DATABASE,
    CBW_CAUSE_NO_STATEMENT,
    CBW_CAUSE_MALFORMED,
    CBW_CAUSE_UNAUTHORIZED, /* the caller's key is not known */
    CBW_CAUSE_TOO_LARGE,    /* the message exceeds the protocol's limit */
    CBW_CAUSE_COUNT_,
} cbw_cause_t;

/* Texts for the members of cbw_cause_t, in their order. */
extern const char *const CbwRequest_CauseString[];

/* Why an owner refused a request with CBW_CAUSE_BUSY. Sent to peers by number.
 */
typedef enum {
    CBW_REFUSAL_NONE,
    CBW_REFUSAL_QUOTA,       /* its workspace is beyond its limit */
    CBW_REFUSAL_NO_CAPACITY, /* it would be, or was, served too late */
    CBW_REFUSAL_NO_ENDPOINT, /* no endpoint may serve it */
    CBW_REFUSAL_COUNT_,
} cbw_refusal_t;

/* Texts for the members of cbw_refusal_t, in their order. */
extern const char *const CbwRequest_RefusalString[];

/* The answer to a request. */
typedef struct {
    cbw_outcome_t outcome;
    cbw_cause_t cause;
    cbw_refusal_t refusal;
    char *result; /* owned by the request; NULL: empty */
    size_t result_size;
    char token[Cbw_TOKEN_MAX]; /* log position that the answer reflects */
    char reason[64];           /* why it was not done; for people */
    cbw_time_t retry_after;    /* 0: not suggested */
    /* Its owner did not take it, and does not know that it failed. */
    bool undelivered;
} cbw_answer_t;

/* A request's place in a queue of the policy "fair". */
typedef struct {
    void *node;        /* in the order of its rank; NULL: not in one */
    double start;      /* in the virtual time of its rank */
    uint64_t sequence; /* orders requests with the same start */
    bool behind;       /* queued after those that can be served in time */
} cbw_queue_place_t;

/* Owns `statement`, `values`, `shape` and the result of `answer`. */
typedef struct {
    cbw_link_t link;
    cbw_verb_t verb;
    char database[Cbw_NAME_MAX];
    char kind_name[Cbw_NAME_MAX];
    char workspace[Cbw_NAME_MAX]; /* of the caller; "": none */
    char *statement;
    size_t statement_size;
    /* The request key. Writes and commits always have one, except for
     * endpoints without request keys. "": none. */
    char key[Cbw_KEY_MAX];
    char token[Cbw_TOKEN_MAX]; /* of the session; "": none */
    char trace[Cbw_TRACE_MAX];
    cbw_time_t age; /* most staleness accepted; Cbw_NEVER: any */
    cbw_time_t arrived_at;
    cbw_time_t deadline;
    uint64_t transaction; /* 0: none */
    bool maybe_sent;      /* an endpoint may have received it */
    /* For endpoints without request keys, see cbw_call_t: */
    char *values;    /* session values; NULL: none */
    char *shape;     /* as in cbw_prepared_statement_t; NULL: not prepared */
    bool begins;     /* the first statement of its transaction */
    bool reads_only; /* its transaction only reads */
    cbw_read_consistency_t rule; /* how recent the data must be */
    cbw_time_t target; /* latency target of the whole operation; 0: none */
    int64_t config_version; /* of the inventory that routed it */
    bool dispatches;        /* for a read dispatcher, not for the owner */
    bool takes_over; /* holder unreachable: the owner takes over the tenure */
    /* Unique in the fleet; identifies the request when its caller leaves and
     * it is removed from its queue. 0: it is not removed. */
    uint64_t id;

    /* Set by the owner: */
    int rank;
    bool writes;
    cbw_confirm_level_t confirm;
    cbw_request_state_t state;
    int endpoint;
    int attempts;
    uint64_t call; /* id of the call in flight; 0: none */
    cbw_time_t sent_at;
    cbw_time_t settle_deadline;
    uint64_t term;            /* of the answer */
    uint64_t position;        /* to be confirmed */
    uint64_t answer_sequence; /* only later state calls confirm it */
    bool confirms_tombstone;  /* the tombstone of its key is to be confirmed */
    bool needs_primary;
    cbw_time_t queued_at;
    cbw_quota_token_t quota_token; /* of its workspace; pools only */
    cbw_time_t answered_at;
    /* 0: may be parked. A retry sets it too, so that the read is not parked
     * again. */
    cbw_time_t parked_at;
    /* Share of the dispatches, relative to that of other workspaces: the
     * operations per second that its workspace may send to the database; 0: 1.
     */
    double weight;
    cbw_queue_place_t place;
    bool reviewed; /* see hold.h */

    cbw_answer_t answer;
} cbw_request_t;

/* Initializes a request that is in no list. */
void CbwRequest_Init(cbw_request_t *request);
/* Frees what the request owns. */
void CbwRequest_Finish(cbw_request_t *request);
/* Sets the statement to a copy. Returns 0, or -1 when out of memory. */
int CbwRequest_SetStatement(cbw_request_t *request, const char *statement,
                            size_t size);
/* Sets the answer's result to a copy. Returns 0, or -1 when out of memory. */
int CbwRequest_SetResult(cbw_request_t *request, const char *result,
                         size_t size);
/* Assigns another id to the transaction that a request begins. To be called
 * before such a request is resent without a reply: the first copy may still
 * begin a transaction, and each must have its own id. Does nothing for other
 * requests. */
void CbwRequest_RenameTransaction(cbw_request_t *request,
                                  uint64_t transaction);
/* Finishes a request with an outcome and a reason. A result that was set
 * before is kept. */
void CbwRequest_End(cbw_request_t *request, cbw_outcome_t outcome,
                    const char *reason);

#endif
