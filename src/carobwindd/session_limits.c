/* Limits of one session, and its account in the process's memory budget. */

#include <string.h>

#include "session_task.h"
#include "share/net.h"

cbw_client_state_t
SessionLimits_State(const session_t *session)
{
    if (session->job != NULL) {
        return CBW_CLIENT_BUSY;
    }
    if (session->access.kind[0] == '\0' || session->start_deadline != 0) {
        return CBW_CLIENT_NEW;
    }
    return session->session.state == CBW_SESSION_IDLE
               ? CBW_CLIENT_IDLE
               : CBW_CLIENT_IN_TRANSACTION;
}

void
SessionLimits_RefuseTooLarge(const session_task_t *task, session_t *session)
{
    caller_answer_t answer = {.cause = CBW_CAUSE_TOO_LARGE,
                              .reason = "the message exceeds the limit",
                              .token = ""};
    GString *out = g_string_new(NULL);

    ClientLimits_OnTooLarge(&session->stream);
    task->driver->encode_answer(out, &answer);
    CbwStream_Write(&session->stream, out->str,
                    (size_t)(strstr(out->str, "\r\n") - out->str) + 2);
    g_string_free(out, TRUE);
    g_string_free(session->input, TRUE);
    session->input = g_string_new(NULL);
    CbwMemoryAccount_OnMessage(&session->account, CBW_CLIENT_CLOSING,
                               CbwNet_Now());
    CbwStream_CloseWhenRead(&session->stream);
}

void
SessionLimits_OnInput(session_t *session, bool may_handle)
{
    CbwMemoryAccount_SetInput(&session->account, session->input->len,
                              CbwNet_Now());
    if (!may_handle && session->input->len > Cbw_MEMORY_SMALL) {
        CbwStream_Pause(&session->stream);
    }
    else {
        CbwStream_Resume(&session->stream);
    }
}
