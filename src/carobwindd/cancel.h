/* Cancellation of a request whose caller left.
 *
 * Callers that time out early retry on new connections, mostly while an owner
 * is short of capacity. Their old requests would wait in its queue and be
 * dispatched, although nobody reads the answers.
 *
 * The session task tells the router task, and the router task the owner, with
 * one message that is not repeated. If it is lost, the request stays in the
 * queue until its wait limit. */
#ifndef CAROBWINDD_CANCEL_H
#define CAROBWINDD_CANCEL_H

#include "messages.h"

/* MESSAGE_CANCEL: the caller of a request left. From the session task to the
 * router task, and from there to the owner task on the same host. */
typedef struct {
    message_t message;
    uint64_t id; /* of the request */
    char database[Cbw_NAME_MAX];
} cancel_message_t;

/* Tells the router task that the caller of `job` left. Does nothing when the
 * job's request has no id. */
void Cancel_Post(const job_t *job);
/* Makes the owner to which the router task sent `job` remove it from its
 * queue, by `cancel`, whose ownership passes, or by PEER_CANCEL. `view` may be
 * NULL. */
void Cancel_AtOwner(const view_t *view, const job_t *job,
                    cancel_message_t *cancel);

#endif
