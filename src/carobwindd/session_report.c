/* Logs and counts the outcomes of the session task's requests. */

#include <inttypes.h>

#include "carobwind/log.h"
#include "session_task.h"
#include "share/net.h"

void
SessionReport_LogFailure(const session_t *session,
                         const cbw_request_t *request, const char *host)
{
    cbw_time_t now = CbwNet_Now();

    if (request->answer.outcome == CBW_OUTCOME_DONE) {
        return;
    }
    CbwLog_Write(
        CBW_LOG_INFO, "entry", "not-done",
        "request=%s database=%s service=%s owner=%s outcome=%s cause=%s "
        "verb=%s transaction=%" PRIx64 " took_ms=%" PRId64
        " configuration=%" PRId64 " workspace=%s refusal=%s reason=\"%s\"",
        request->trace, session->access.kind, request->database, host,
        CbwRequest_OutcomeString[request->answer.outcome],
        CbwRequest_CauseString[request->answer.cause],
        CbwRequest_VerbString[request->verb], request->transaction,
        (now - request->arrived_at) / Cbw_MSEC, request->config_version,
        request->workspace, CbwRequest_RefusalString[request->answer.refusal],
        request->answer.reason);
}

void
SessionReport_CountOutcome(daemon_t *daemon, cbw_outcome_t outcome)
{
    static const cbw_counter_id_t counters[] = {
        /* Not reached: the router retries pending requests. */
        [CBW_OUTCOME_PENDING] = CBW_COUNTER_UNKNOWN,
        [CBW_OUTCOME_DONE] = CBW_COUNTER_DONE,
        [CBW_OUTCOME_NOTRUN] = CBW_COUNTER_NOTRUN,
        [CBW_OUTCOME_UNKNOWN] = CBW_COUNTER_UNKNOWN,
    };

    CbwCounter_Add(&daemon->counters, counters[outcome], 1);
}
