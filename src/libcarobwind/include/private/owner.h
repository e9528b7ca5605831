/* Functions shared by the source files of the owner. */
#ifndef CAROBWIND_PRIVATE_OWNER_H
#define CAROBWIND_PRIVATE_OWNER_H

#include "carobwind/owner.h"

/* Adds an entry to the decision log, which CbwOwner_Explain prints. */
void CbwOwner_LogDecision_(cbw_owner_t *owner, cbw_time_t now,
                           const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* Sends a call and sets its id. `request` is NULL for a control call; else it
 * is moved to the `running` list, or to `settling` if it is being settled.
 * Returns false if the call could not be sent. */
bool CbwOwner_Send_(cbw_owner_t *owner, cbw_time_t now, int endpoint,
                    cbw_call_t *call, cbw_request_t *request,
                    cbw_time_t timeout);
/* Returns the outstanding call with this id, or NULL. */
cbw_outstanding_call_t *CbwOwner_FindCall_(cbw_owner_t *owner, uint64_t id);
/* Removes and frees an outstanding call. `latency` is negative when there was
 * no answer to measure. */
void CbwOwner_RemoveCall_(cbw_owner_t *owner,
                          cbw_outstanding_call_t *outstanding,
                          cbw_time_t latency);
/* Finishes the request and hands it back. A call of it that is in flight is
 * detached; its reply will be ignored except for the endpoint's state. */
void CbwOwner_Answer_(cbw_owner_t *owner, cbw_time_t now,
                      cbw_request_t *request, cbw_outcome_t outcome,
                      const char *reason);
/* Returns a request to the front of its queue for a retry. If its deadline has
 * passed, the retry budget is used up or it cannot be rerun safely, it is
 * settled or answered instead. */
void CbwOwner_Requeue_(cbw_owner_t *owner, cbw_time_t now,
                       cbw_request_t *request);
/* Starts to settle the request's key: a CANCEL call finds out the outcome, or
 * tombstones the key. The attempt ends Cbw_OWNER_SETTLE_GRACE after the
 * request's deadline. */
void CbwOwner_Settle_(cbw_owner_t *owner, cbw_time_t now,
                      cbw_request_t *request);
/* Makes an executed request wait for its confirmation by a majority. */
void CbwOwner_AwaitConfirmation_(cbw_owner_t *owner, cbw_time_t now,
                                 cbw_request_t *request);
/* Returns the queue that the request belongs to. */
cbw_queue_t *CbwOwner_SelectQueue_(cbw_owner_t *owner,
                                   const cbw_request_t *request);
/* Sends a request of an open transaction without queueing it: the transaction
 * already holds a connection. */
void CbwOwner_SendInTransaction_(cbw_owner_t *owner, cbw_time_t now,
                                 cbw_request_t *request);
/* Sends queued requests and pending CANCEL calls as far as the limits of the
 * endpoints allow. */
void CbwOwner_Dispatch_(cbw_owner_t *owner, cbw_time_t now);
/* Returns the open transaction with this id, or NULL. */
cbw_transaction_t *CbwOwner_FindTransaction_(cbw_owner_t *owner, uint64_t id);
/* Releases the transaction's connection and frees the transaction; see
 * cbw_owner_ops_t for `clean`. */
void CbwOwner_CloseTransaction_(cbw_owner_t *owner,
                                cbw_transaction_t *transaction, bool clean);

/* Health checks, confirmation rounds, promotion and switchover. */

/* Returns the primary if statements may be sent to it now, else -1. */
int CbwOwner_UsablePrimary_(const cbw_owner_t *owner, cbw_time_t now);
/* Handles a state that an endpoint reported in its reply to a call sent at
 * `sent_at`. */
void CbwOwner_OnState_(cbw_owner_t *owner, cbw_time_t now, int endpoint,
                       cbw_time_t sent_at, const cbw_endpoint_state_t *state);
/* Handles the reply to a call that has no request. */
void CbwOwner_OnControlReply_(cbw_owner_t *owner, cbw_time_t now,
                              const cbw_outstanding_call_t *outstanding,
                              const cbw_reply_t *reply);
/* Sends a state call to each endpoint that is due for one. */
void CbwOwner_SendStateCalls_(cbw_owner_t *owner, cbw_time_t now);
/* Answers the requests whose confirmation is complete. */
void CbwOwner_AnswerConfirmed_(cbw_owner_t *owner, cbw_time_t now);
/* The part of CbwOwner_Tick that does health checks, promotion and switchover.
 */
void CbwOwner_TickHealth_(cbw_owner_t *owner, cbw_time_t now);

#endif
