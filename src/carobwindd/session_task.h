/* The state of the session task, and its functions that are defined in other
 * files. */
#ifndef CAROBWINDD_SESSION_TASK_H
#define CAROBWINDD_SESSION_TASK_H

#include <glib.h>

#include "carobwind/access.h"
#include "carobwind/session.h"
#include "client_limits.h"
#include "drivers.h"
#include "messages.h"
#include "share/stream.h"

typedef struct {
    cbw_link_t link;
    cbw_stream_t stream;
    cbw_memory_account_t account;
    cbw_session_t session;
    cbw_access_t access; /* its kind is what the caller named as database */
    GString *input;      /* received and not yet decoded */
    job_t *job;          /* in flight; NULL: none */
    bool closed;         /* freed once `job` is answered */
    cbw_time_t start_deadline; /* of the wait for its access; 0: none */
    char host[Cbw_NAME_MAX];   /* the owner's host that answered last; an
                                  open transaction runs there */
    /* The database of the kind; kept during a transaction. */
    char routed_database[Cbw_NAME_MAX];
    cbw_time_t last_active_at; /* last message or answer */
} session_t;

typedef struct {
    daemon_t *daemon;
    const caller_driver_t *driver;
    config_t *config;
    cbw_link_t sessions;
    size_t jobs_in_flight;
    uint64_t next_request;
    /* A session goes on for a while after its access was revoked. */
    bool revocations_pending;
    bool draining;
    cbw_time_t drain_started_at;
    client_listener_t listener;
    ev_timer timer;
} session_task_t;

/* Counts the outcome of a request. */
void SessionReport_CountOutcome(daemon_t *daemon, cbw_outcome_t outcome);
/* Logs a request that was not done, which the owner on `host` answered. */
void SessionReport_LogFailure(const session_t *session,
                              const cbw_request_t *request, const char *host);

/* Checks by the present configuration whether the session may start. */
cbw_access_result_t SessionAccess_Check(const session_task_t *task,
                                        session_t *session);
/* Whether the session may go on by the present configuration. */
bool SessionAccess_MayContinue(session_task_t *task, session_t *session);
/* Closes a session whose access was revoked. A transaction is rolled back. */
void SessionAccess_Close(session_task_t *task, session_t *session);
/* Closes the sessions whose kind or key is gone. One with a statement in
 * flight is checked again when its answer comes. */
void SessionAccess_CloseRevoked(session_task_t *task);

/* Whether to close the session, as this host drains or is isolated. Asked
 * right after an answer, when the caller has not sent its next statement yet.
 */
bool SessionDrain_ShouldClose(const session_task_t *task,
                              const session_t *session);
/* Closes the sessions that may be closed. Called while this host drains or is
 * isolated (Daemon_IsIsolated); when it is isolated, idle sessions are closed.
 */
void SessionDrain_CloseSessions(session_task_t *task, cbw_time_t now);

/* Returns the state of the session's account. */
cbw_client_state_t SessionLimits_State(const session_t *session);
/* Answers a message over the limit with one line, and closes the session once
 * the caller could read it. */
void SessionLimits_RefuseTooLarge(const session_task_t *task,
                                  session_t *session);
/* Notes what is left of the input. What a caller sends ahead while its next
 * message may not be handled is read only up to a little. */
void SessionLimits_OnInput(session_t *session, bool may_handle);

#endif
