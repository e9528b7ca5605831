#include "cancel.h"

#include <stdlib.h>
#include <string.h>

/* Time for the answer to a PEER_CANCEL call. */
#define ANSWER_TIMEOUT (500 * Cbw_MSEC)

void
Cancel_Post(const job_t *job)
{
    cancel_message_t *cancel;

    if (job->request.id == 0) {
        return;
    }
    cancel = calloc(1, sizeof(*cancel));
    if (cancel == NULL) {
        abort();
    }
    CbwList_Init(&cancel->message.link);
    cancel->id = job->request.id;
    memcpy(cancel->database, job->request.database, Cbw_NAME_MAX);
    Task_Post(TASK_ENTRY, TASK_ROUTER, MESSAGE_CANCEL, &cancel->message);
}

void
Cancel_AtOwner(const view_t *view, const job_t *job, cancel_message_t *cancel)
{
    const cbw_member_t *owner =
        view != NULL ? CbwMembership_Find(&view->membership, job->host) : NULL;
    outbound_t *outbound;

    if (owner == NULL) {
        free(cancel);
        return;
    }
    if (owner == &view->membership.members[0]) {
        Task_Post(TASK_ROUTER, TASK_OWNER, MESSAGE_CANCEL, &cancel->message);
        return;
    }
    outbound = Outbound_New(PEER_CANCEL, owner->record.address);
    outbound->args.cancel.database = strdup(cancel->database);
    outbound->args.cancel.id = cancel->id;
    outbound->timeout = ANSWER_TIMEOUT;
    outbound->reply_to = TASK_ROUTER;
    Task_Post(TASK_ROUTER, TASK_PEER, MESSAGE_OUTBOUND, &outbound->message);
    free(cancel);
}
