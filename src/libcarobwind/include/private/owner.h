/* What the parts of the owner share. */
#ifndef CAROBWIND_PRIVATE_OWNER_H
#define CAROBWIND_PRIVATE_OWNER_H

#include "carobwind/owner.h"

/* Notes a decision for CbwOwner_Explain. */
void CbwOwner_LogDecision_(cbw_owner_t *owner, cbw_time_t now,
                           const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* Sends a call; a request's call moves it to `running`. Returns false when no
 * connection is to be had. */
bool CbwOwner_Send_(cbw_owner_t *owner, cbw_time_t now, int endpoint,
                    cbw_call_t *call, cbw_request_t *request,
                    cbw_time_t timeout);
/* The call on its way with this id; NULL: none. */
cbw_outstanding_call_t *CbwOwner_FindCall_(cbw_owner_t *owner, uint64_t id);
/* Forgets an outstanding call. */
void CbwOwner_RemoveCall_(cbw_owner_t *owner,
                          cbw_outstanding_call_t *outstanding,
                          cbw_time_t latency);
/* Ends the request and hands it back. A call of its own that is on its way
 * goes on without it. */
void CbwOwner_Answer_(cbw_owner_t *owner, cbw_time_t now,
                      cbw_request_t *request, cbw_outcome_t outcome,
                      const char *reason);
/* Puts a request back in front of its queue, or settles or ends it when its
 * time is over or it cannot be tried again. */
void CbwOwner_Requeue_(cbw_owner_t *owner, cbw_time_t now,
                       cbw_request_t *request);
/* Begins to settle the request's key; it is given up after a grace time. */
void CbwOwner_Settle_(cbw_owner_t *owner, cbw_time_t now,
                      cbw_request_t *request);
/* Moves a request on to wait for its confirmation. */
void CbwOwner_AwaitConfirmation_(cbw_owner_t *owner, cbw_time_t now,
                                 cbw_request_t *request);
/* The queue that the request belongs to. */
cbw_queue_t *CbwOwner_SelectQueue_(cbw_owner_t *owner,
                                   const cbw_request_t *request);
/* Sends a request of an open transaction at once: it holds its connection. */
void CbwOwner_SendInTransaction_(cbw_owner_t *owner, cbw_time_t now,
                                 cbw_request_t *request);
/* Sends what can be sent. */
void CbwOwner_Dispatch_(cbw_owner_t *owner, cbw_time_t now);
cbw_transaction_t *CbwOwner_FindTransaction_(cbw_owner_t *owner, uint64_t id);
void CbwOwner_CloseTransaction_(cbw_owner_t *owner,
                                cbw_transaction_t *transaction, bool clean);

/* Health, confirmation rounds, promotion and switch-over. */

/* The primary, if writes may go to it now; else -1. */
int CbwOwner_UsablePrimary_(const cbw_owner_t *owner, cbw_time_t now);
/* An endpoint reported its state in answer to what was sent at `sent`. */
void CbwOwner_OnState_(cbw_owner_t *owner, cbw_time_t now, int endpoint,
                       cbw_time_t sent, const cbw_endpoint_state_t *state);
void CbwOwner_OnControlReply_(cbw_owner_t *owner, cbw_time_t now,
                              const cbw_outstanding_call_t *outstanding,
                              const cbw_reply_t *reply);
void CbwOwner_SendStateCalls_(cbw_owner_t *owner, cbw_time_t now);
/* Acknowledges what is proved. */
void CbwOwner_AnswerConfirmed_(cbw_owner_t *owner, cbw_time_t now);
void CbwOwner_TickHealth_(cbw_owner_t *owner, cbw_time_t now);

#endif
