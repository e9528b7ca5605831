/* Which sessions the present configuration allows. */

#include <inttypes.h>

#include "carobwind/log.h"
#include "session_task.h"
#include "share/net.h"

cbw_access_result_t
SessionAccess_Check(const session_task_t *task, session_t *session)
{
    cbw_access_result_t result =
        task->config != NULL
            ? CbwAccess_Check(&session->access, &task->config->inventory)
            : CBW_ACCESS_NO_KIND;

    if (result == CBW_ACCESS_GRANTED) {
        CbwMemoryAccount_SetWorkspace(&session->account,
                                      session->access.workspace);
    }
    return result;
}

bool
SessionAccess_MayContinue(session_task_t *task, session_t *session)
{
    bool in_transaction = session->session.state != CBW_SESSION_IDLE;
    bool may = CbwAccess_MayContinue(&session->access, CbwNet_Now(),
                                     &task->config->inventory, in_transaction);

    task->revocations_pending |= may && session->access.revoked_at != 0;
    return may;
}

void
SessionAccess_Close(session_task_t *task, session_t *session)
{
    CbwCounter_Add(&task->daemon->counters, CBW_COUNTER_SESSIONS_REVOKED, 1);
    CbwLog_Write(CBW_LOG_INFO, "entry", "access-revoked",
                 "database=%s workspace=%s state=%s configuration=%" PRId64,
                 session->access.kind, session->access.workspace,
                 CbwSession_StateString[session->session.state],
                 task->config->inventory.version);
    CbwStream_CloseWhenWritten(&session->stream);
}

void
SessionAccess_CloseRevoked(session_task_t *task)
{
    cbw_link_t *link;
    cbw_link_t *safe;

    task->revocations_pending = false;
    Cbw_LIST_FOREACH (&task->sessions, link, safe) {
        session_t *session = Cbw_LIST_ITEM(link, session_t, link);
        if (session->access.kind[0] != '\0' && session->start_deadline == 0 &&
            session->job == NULL && !session->stream.close_when_written &&
            !SessionAccess_MayContinue(task, session)) {
            SessionAccess_Close(task, session);
        }
    }
}
