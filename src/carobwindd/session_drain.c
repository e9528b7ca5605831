/* Which sessions are closed while this host drains or is isolated. */

#include "session_task.h"
#include "share/net.h"

bool
SessionDrain_ShouldClose(const session_task_t *task, const session_t *session)
{
    cbw_time_t draining_for = CbwNet_Now() - task->drain_started_at;

    if (session->session.state == CBW_SESSION_IDLE &&
        Daemon_IsIsolated(task->daemon)) {
        return true;
    }
    return task->draining &&
           ((session->session.state == CBW_SESSION_IDLE &&
             draining_for > Cbw_SESSION_DRAIN_CLOSE_DELAY) ||
            draining_for > Cbw_SESSION_DRAIN_TRANSACTION_LIMIT);
}

void
SessionDrain_CloseSessions(session_task_t *task, cbw_time_t now)
{
    cbw_time_t draining_for = task->draining
                                  ? now - task->drain_started_at
                                  : Cbw_SESSION_DRAIN_CLOSE_DELAY + 1;
    cbw_link_t *link;
    cbw_link_t *safe;

    Cbw_LIST_FOREACH (&task->sessions, link, safe) {
        session_t *session = Cbw_LIST_ITEM(link, session_t, link);
        if (session->job == NULL && session->input->len == 0 &&
            !session->stream.close_when_written &&
            CbwSession_MayClose(session->session.state, draining_for,
                                now - session->last_active_at)) {
            CbwStream_CloseWhenWritten(&session->stream);
        }
    }
}
