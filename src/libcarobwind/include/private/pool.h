/* Declarations that the source files of the pool share. */
#ifndef CAROBWIND_PRIVATE_POOL_H
#define CAROBWIND_PRIVATE_POOL_H

#include "carobwind/pool.h"

/* A call in flight. */
typedef struct {
    cbw_link_t link;
    uint64_t id;
    int endpoint;
    cbw_call_verb_t verb;
    cbw_time_t sent_at;
    cbw_time_t deadline;
    bool sent_under_tenure; /* the tenure was valid at `sent_at` */
    bool sent_to_primary;   /* to the primary of that time */
    uint64_t generation;    /* of the pool at `sent_at` */
    cbw_request_t *request; /* NULL: a control call */
} cbw_pool_call_t;

/* An open transaction. */
typedef struct {
    cbw_link_t link;
    uint64_t id;
    int endpoint;
    bool reads_only;
    bool has_written;
    bool busy; /* a statement of it is in flight */
    cbw_time_t last_used_at;
} cbw_pool_transaction_t;

/* Adds a decision to the list for operators and to the log. */
void CbwPool_LogDecision_(cbw_pool_t *pool, cbw_time_t now, const char *format,
                          ...) __attribute__((format(printf, 3, 4)));
/* Removes a request from its list and answers it. */
void CbwPool_Answer_(cbw_pool_t *pool, cbw_request_t *request,
                     cbw_outcome_t outcome, cbw_cause_t cause,
                     const char *reason);
/* Steps of a request that its workspace's quota counts. */
typedef enum {
    CBW_POOL_TOKEN_SENT,    /* to an endpoint */
    CBW_POOL_TOKEN_NOT_RUN, /* it did not run there */
    CBW_POOL_TOKEN_REQUEUED,
    CBW_POOL_TOKEN_ENDED, /* `now` is not used */
} cbw_pool_token_step_t;

/* Reserves a token of the request's workspace. When its limit is reached,
 * answers the request and returns true. */
bool CbwPool_RefuseByQuota_(cbw_pool_t *pool, cbw_time_t now,
                            cbw_request_t *request);
/* Spends or returns the request's token. */
void CbwPool_UpdateToken_(cbw_pool_t *pool, cbw_time_t now,
                          cbw_request_t *request, cbw_pool_token_step_t step);
/* Returns the verb of the call that carries the request. */
cbw_call_verb_t CbwPool_CallVerb_(const cbw_request_t *request);
/* Sends `call` to an endpoint, for `request` or, with NULL, as a control call.
 * Returns false when it could not be sent; the request is then in no list. */
bool CbwPool_Send_(cbw_pool_t *pool, cbw_time_t now, int endpoint,
                   cbw_call_t *call, cbw_request_t *request,
                   cbw_time_t timeout);
/* Removes and frees a call. Its request, if any, is in no list afterwards. */
void CbwPool_RemoveCall_(cbw_pool_t *pool, cbw_pool_call_t *call);
/* Refuses a request that is in no list: it has not run. Counts it by
 * `refusal`. */
void CbwPool_Refuse_(cbw_pool_t *pool, cbw_time_t now, cbw_request_t *request,
                     cbw_refusal_t refusal, cbw_time_t retry_after,
                     const char *reason);
/* Returns the queue that the request belongs to. */
cbw_queue_t *CbwPool_SelectQueue_(cbw_pool_t *pool,
                                  const cbw_request_t *request);
/* Refuses a new request that would not be sent in time. Returns whether it
 * did. */
bool CbwPool_RefuseOnArrival_(cbw_pool_t *pool, cbw_time_t now,
                              cbw_request_t *request);
/* Refuses queued requests that have waited too long or would be served too
 * late, and moves others behind those that can be served in time. */
void CbwPool_ExpireQueues_(cbw_pool_t *pool, cbw_time_t now);
/* Returns whether a replica can take a request of the primary's queue now. */
bool CbwPool_MayReplicaServe_(const cbw_pool_t *pool, cbw_time_t now,
                              const cbw_request_t *request);
/* Sends as many queued requests as the endpoints have capacity for. */
void CbwPool_Dispatch_(cbw_pool_t *pool, cbw_time_t now);
/* Queues again a request that did not run, or answers it with `cause` if its
 * attempts or its time are used up. */
void CbwPool_Requeue_(cbw_pool_t *pool, cbw_time_t now, cbw_request_t *request,
                      cbw_cause_t cause);
/* Handles a request that was sent and whose answer is lost or cannot be
 * confirmed: answers it, or queues it again if it is safe to repeat. */
void CbwPool_OnAnswerLost_(cbw_pool_t *pool, cbw_time_t now,
                           cbw_request_t *request, cbw_cause_t cause);
/* Handles a request that did not run: queues it again, or answers it. */
void CbwPool_OnNotRun_(cbw_pool_t *pool, cbw_time_t now,
                       cbw_request_t *request, cbw_cause_t cause);
/* Returns the open transaction `id`, or NULL. */
cbw_pool_transaction_t *CbwPool_FindTransaction_(cbw_pool_t *pool,
                                                 uint64_t id);
/* Ends and frees a transaction, see end_transaction of cbw_pool_ops_t. */
void CbwPool_DropTransaction_(cbw_pool_t *pool,
                              cbw_pool_transaction_t *transaction, bool clean);
/* Aborts all calls in flight to an endpoint and drops its transactions. */
void CbwPool_AbortCalls_(cbw_pool_t *pool, cbw_time_t now, int endpoint);
/* Returns whether the endpoint is leaving and receives no more statements, see
 * CbwPool_SetLeavingLimit. */
bool CbwPool_IsDrainOver_(const cbw_pool_t *pool, cbw_time_t now,
                          int endpoint);
/* Returns the index of the primary if statements may be sent to it now,
 * else -1. */
int CbwPool_UsablePrimary_(const cbw_pool_t *pool, cbw_time_t now);
/* Returns the index of the endpoint called `name`, or -1. */
int CbwPool_FindEndpoint_(const cbw_pool_t *pool, const char *name);
/* Returns whether an endpoint has capacity for one more request. */
bool CbwPool_HasCapacity_(const cbw_pool_t *pool, int endpoint);
/* Answers a request as pending, to be sent to another host. */
void CbwPool_HandBack_(cbw_pool_t *pool, cbw_request_t *request);
/* Returns the share of an endpoint that a read dispatcher may use for
 * requests: one connection of the lease is reserved for control calls. */
void CbwPool_LeasedShare_(const cbw_pool_t *pool, int *connections,
                          int *slots);
/* Grants no leases for a while, as the tenure is to be released. Returns
 * whether one is still in force. */
bool CbwPool_SuspendLeases_(cbw_pool_t *pool, cbw_time_t now);
/* Records the latency of a request, and its size together with the answer. */
void CbwPool_Measure_(cbw_pool_t *pool, cbw_time_t now,
                      const cbw_pool_call_t *call, const cbw_reply_t *reply);
/* Returns whether a read that was taken from the replica queue may be sent to
 * an endpoint of another region. */
bool CbwPool_MayLeaveRegion_(cbw_pool_t *pool, cbw_time_t now,
                             const cbw_request_t *request);
/* Reclaims the shares whose lease has ended. */
void CbwPool_EndLeases_(cbw_pool_t *pool, cbw_time_t now);
/* Releases the held answers that are confirmed by now, and fails those that
 * cannot be confirmed any more. */
void CbwPool_ReleaseHeldAnswers_(cbw_pool_t *pool, cbw_time_t now);
/* Fails all held answers. */
void CbwPool_FailHeldAnswers_(cbw_pool_t *pool, cbw_time_t now);
/* Records that `term` has begun. */
void CbwPool_ObserveTerm_(cbw_pool_t *pool, uint64_t term);
/* Sets the primary (-1: not listed) and the term that it leads (0: not known).
 * If either changes, begins a generation: forgets the samples of the primary's
 * log and the confirmation, and fails the held answers. A lower term of the
 * present primary is ignored. Returns whether another endpoint is the primary
 * now. */
bool CbwPool_SetPrimary_(cbw_pool_t *pool, cbw_time_t now, int index,
                         uint64_t term);
/* Sets the primary to the record's, unless the endpoints' states are more
 * recent. */
void CbwPool_UpdatePrimary_(cbw_pool_t *pool, cbw_time_t now);
/* Forgets all terms and log positions. To be called when there is no record:
 * operators remove it when they recreate the database's group of endpoints,
 * whose terms and positions start again. */
void CbwPool_ForgetHistory_(cbw_pool_t *pool);
/* Forgets the endpoints' confirmation of the primary. */
void CbwPool_ResetConfirmation_(cbw_pool_t *pool);
/* Records that an endpoint leads `term` with a log that ends at `position`. */
void CbwPool_ObserveStart_(cbw_pool_t *pool, uint64_t term,
                           cbw_position_t position);
/* Returns the end of the part of a log, which ends at `position`, that no
 * later term is known to have discarded: by the record, or by the report of an
 * endpoint whose promotion was not recorded. */
cbw_position_t CbwPool_ValidPosition_(const cbw_pool_t *pool,
                                      cbw_position_t position);
/* Returns whether that part is not all of the log. */
bool CbwPool_HasDiscardedEntries_(const cbw_pool_t *pool,
                                  cbw_position_t position);
/* Returns whether reads may see a log that ends at `position`: as far as the
 * record or the primary's replies tell, it has no entries which the present
 * primary lacked when it began its term. */
bool CbwPool_MayShowLog_(const cbw_pool_t *pool, cbw_position_t position);
/* Returns the name of the endpoint that the first record of the database is to
 * name as the primary, or "" if it is not known. */
const char *CbwPool_FirstPrimary_(const cbw_pool_t *pool);
/* Keeps what was observed of the primary's log beyond the end of its
 * generation, see `last_log`. To be called before the samples are cleared. */
void CbwPool_KeepLastLog_(cbw_pool_t *pool);
/* Updates the processes that may have acknowledged commits, see `copies`. */
void CbwPool_UpdateCopies_(cbw_pool_t *pool, cbw_time_t now);
/* Returns the name of such a process that is not listed, neither itself nor as
 * a process that took over its log, or NULL. The previous primary does not
 * count: a replica has each commit, too. */
const char *CbwPool_FindMissingCopy_(const cbw_pool_t *pool);
/* Returns whether the endpoint's reported log is known to have everything that
 * was acknowledged with synchronous commits, whatever others report. */
bool CbwPool_IsComplete_(const cbw_pool_t *pool, const cbw_pool_endpoint_t *e);
/* Returns whether a log whose valid part ends at `position` reaches the begin
 * of the record's term. Up to there, what was acknowledged in earlier terms
 * may be in the log of that term's primary only. */
bool CbwPool_HasPresentTerm_(const cbw_pool_t *pool, cbw_position_t position);
/* Returns whether the endpoint's log, which ends at `position`, lacks entries
 * that the last primary's replicas should have. */
bool CbwPool_WasCutOff_(const cbw_pool_t *pool, cbw_position_t position);
/* Records that the primary's log reached `position`, as reported by a call
 * that was sent at `sent`. */
void CbwPool_ObservePosition_(cbw_pool_t *pool, cbw_time_t sent,
                              cbw_position_t position);
/* Observes the position that the candidate reported when it was found to lead,
 * see `promotion_position`. */
void CbwPool_ObservePromotion_(cbw_pool_t *pool);
/* Finds a log position that covers everything acknowledged by `time`. Returns
 * false when none is known. */
bool CbwPool_PositionAt_(const cbw_pool_t *pool, cbw_time_t time,
                         cbw_position_t *position);
/* Sends a state call unless one is in flight. */
void CbwPool_SendStateCall_(cbw_pool_t *pool, cbw_time_t now, int endpoint);
/* Starts, continues or stops polling the endpoints for confirmation of the
 * primary, see pool_confirm.c. */
void CbwPool_TickConfirmation_(cbw_pool_t *pool, cbw_time_t now);
/* Evaluates the endpoints' states after one of them has changed. */
void CbwPool_UpdateConfirmation_(cbw_pool_t *pool, cbw_time_t now);
/* Keeps a position of the primary's log for CbwPool_ObservePosition_ until the
 * primary is confirmed. */
void CbwPool_ObserveUnconfirmed_(cbw_pool_t *pool, cbw_time_t sent,
                                 cbw_position_t position);
/* Returns whether the endpoints' last confirmation of the primary is recent
 * enough to send requests. */
bool CbwPool_IsConfirmedByEndpoints_(const cbw_pool_t *pool, cbw_time_t now);
/* Returns whether requests may be sent, under the tenure or by the endpoints'
 * confirmation. */
bool CbwPool_MayServe_(const cbw_pool_t *pool, cbw_time_t now);
/* Returns whether the tenure or the endpoints' confirmation proves that no
 * other endpoint had been promoted by `time`. The confirmation has to be later
 * than `time`: as `now` does not change while an event is handled, equal times
 * do not tell which came first. */
bool CbwPool_WasPrimaryAt_(const cbw_pool_t *pool, cbw_time_t now,
                           cbw_time_t time);
/* Enters a phase, also again: `phase_since` is then the time from which states
 * of endpoints count. */
void CbwPool_SetPhase_(cbw_pool_t *pool, cbw_time_t now,
                       cbw_pool_phase_t phase);
/* Returns the term of the record's primary; 0: not known. */
uint64_t CbwPool_RecordPrimaryTerm_(const cbw_pool_t *pool);
/* Begins a promotion, unless the tenure does not allow it now. */
void CbwPool_StartPromotion_(cbw_pool_t *pool, cbw_time_t now,
                             const char *reason);
/* Chooses a candidate and requests its promotion, as soon as the tenure is
 * exclusive and the endpoints' states allow the choice. */
void CbwPool_ChooseWhenReady_(cbw_pool_t *pool, cbw_time_t now);
/* Returns whether a promotion waits for a better log (see `awaits_valid_log`),
 * and no endpoint that answers has one: nothing can be served until one
 * returns. */
bool CbwPool_IsValidLogAwaited_(const cbw_pool_t *pool, cbw_time_t now);
/* Returns the retry-after time of a request that is refused meanwhile. */
cbw_time_t CbwPool_LogWaitRetryAfter_(const cbw_pool_t *pool, cbw_time_t now);
/* The promotion has ended, and with it what its requests may have done. */
void CbwPool_ForgetTakenOrders_(cbw_pool_t *pool);
/* Cancels the promotion request in flight, if any. */
void CbwPool_CancelOrder_(cbw_pool_t *pool, cbw_time_t now);
/* Asks the candidate whether it has become the primary. Chooses again if that
 * takes too long. */
void CbwPool_PollCandidate_(cbw_pool_t *pool, cbw_time_t now);
/* Sends the state calls that are due, and advances the promotion. */
void CbwPool_TickHealth_(cbw_pool_t *pool, cbw_time_t now);
/* Redirects queued requests to the record's holder if this owner defers to
 * it. */
void CbwPool_RedirectToHolder_(cbw_pool_t *pool, cbw_time_t now);
/* Handles the reply to a control call. */
void CbwPool_OnControlReply_(cbw_pool_t *pool, cbw_time_t now,
                             const cbw_pool_call_t *call,
                             const cbw_reply_t *reply);
/* Counts a failure of an endpoint: a connection failed, or a control call had
 * no reply. */
void CbwPool_OnEndpointFailure_(cbw_pool_t *pool, cbw_time_t now,
                                int endpoint);

#endif
