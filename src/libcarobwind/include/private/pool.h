/* What the files of the pool share. */
#ifndef CAROBWIND_PRIVATE_POOL_H
#define CAROBWIND_PRIVATE_POOL_H

#include "carobwind/pool.h"

/* One call on its way. */
typedef struct {
    cbw_link_t link;
    uint64_t id;
    int endpoint;
    cbw_call_verb_t verb;
    cbw_time_t sent_at;
    cbw_time_t deadline;
    bool sent_under_tenure; /* the tenure was, when it was sent */
    cbw_request_t *request; /* NULL: a control call */
} cbw_pool_call_t;

typedef struct {
    cbw_link_t link;
    uint64_t id;
    int endpoint;
    bool reads_only;
    bool has_written;
    bool busy;
    cbw_time_t last_used_at;
} cbw_pool_transaction_t;

void CbwPool_LogDecision_(cbw_pool_t *pool, cbw_time_t now, const char *format,
                          ...) __attribute__((format(printf, 3, 4)));
void CbwPool_Answer_(cbw_pool_t *pool, cbw_request_t *request,
                     cbw_outcome_t outcome, cbw_cause_t cause,
                     const char *reason);
bool CbwPool_Send_(cbw_pool_t *pool, cbw_time_t now, int endpoint,
                   cbw_call_t *call, cbw_request_t *request,
                   cbw_time_t timeout);
/* Forgets a call; its request, if any, is linked to nothing. */
void CbwPool_RemoveCall_(cbw_pool_t *pool, cbw_pool_call_t *call);
void CbwPool_Dispatch_(cbw_pool_t *pool, cbw_time_t now);
/* Queues a request that has not run, or ends it. */
void CbwPool_Requeue_(cbw_pool_t *pool, cbw_time_t now, cbw_request_t *request,
                      cbw_cause_t cause);
/* Ends a request whose answer is lost, or tries it elsewhere. */
void CbwPool_OnAnswerLost_(cbw_pool_t *pool, cbw_time_t now,
                           cbw_request_t *request, cbw_cause_t cause);
/* A request did not run: tries it again, or ends it. */
void CbwPool_OnNotRun_(cbw_pool_t *pool, cbw_time_t now,
                       cbw_request_t *request, cbw_cause_t cause);
cbw_pool_transaction_t *CbwPool_FindTransaction_(cbw_pool_t *pool,
                                                 uint64_t id);
void CbwPool_DropTransaction_(cbw_pool_t *pool,
                              cbw_pool_transaction_t *transaction, bool clean);
/* Takes back all that is on its way to the endpoint. */
void CbwPool_AbortCalls_(cbw_pool_t *pool, cbw_time_t now, int endpoint);
/* The primary, if statements may go to it now; else -1. */
int CbwPool_UsablePrimary_(const cbw_pool_t *pool, cbw_time_t now);
/* The place of the endpoint called `name`; -1: it has none. */
int CbwPool_FindEndpoint_(const cbw_pool_t *pool, const char *name);
bool CbwPool_HasCapacity_(const cbw_pool_t *pool, int endpoint);
/* Releases answered requests whose proof has come, or ends them. */
void CbwPool_ReleaseHeldAnswers_(cbw_pool_t *pool, cbw_time_t now);
/* Ends all answered requests that are not proven. */
void CbwPool_FailHeldAnswers_(cbw_pool_t *pool, cbw_time_t now);
/* Notes where the primary's log ends, by what was asked at `sent`. */
void CbwPool_ObservePosition_(cbw_pool_t *pool, cbw_time_t sent,
                              cbw_position_t position);
/* The position that a read which arrived at `arrived` must see, by age.
 * Returns false when that is not known. */
bool CbwPool_PositionAt_(const cbw_pool_t *pool, cbw_time_t time,
                         cbw_position_t *position);
void CbwPool_RequestStatus_(cbw_pool_t *pool, cbw_time_t now, int endpoint);
/* Asks endpoints who leads, while the store is silent. */
void CbwPool_TickConfirmation_(cbw_pool_t *pool, cbw_time_t now);
/* An endpoint has said what it is. */
void CbwPool_UpdateConfirmation_(cbw_pool_t *pool, cbw_time_t now);
/* Keeps where the primary's log ends until it is confirmed. */
void CbwPool_ObserveUnconfirmed_(cbw_pool_t *pool, cbw_time_t sent,
                                 cbw_position_t position);
/* Endpoints said shortly ago that the primary leads. */
bool CbwPool_IsConfirmed_(const cbw_pool_t *pool, cbw_time_t now);
/* Requests may be sent, by the tenure or by the endpoints' word. */
bool CbwPool_MayServe_(const cbw_pool_t *pool, cbw_time_t now);
/* Nobody else had been promoted by `time`. Endpoints that were asked in the
 * same moment do not prove it: time stands still while an event is handled. */
bool CbwPool_IsConfirmedAfter_(const cbw_pool_t *pool, cbw_time_t now,
                               cbw_time_t time);
void CbwPool_TickHealth_(cbw_pool_t *pool, cbw_time_t now);
/* Sends queued requests on to the record's holder, if it is left to that. */
void CbwPool_RedirectToHolder_(cbw_pool_t *pool, cbw_time_t now);
void CbwPool_OnControlReply_(cbw_pool_t *pool, cbw_time_t now,
                             const cbw_pool_call_t *call,
                             const cbw_reply_t *reply);
/* The endpoint's connection failed, or a call to it timed out. */
void CbwPool_OnEndpointFailure_(cbw_pool_t *pool, cbw_time_t now,
                                int endpoint);

#endif
