/* Tasks: each owns its sockets and state, and receives messages through a
 * mailbox that the event loop delivers. All tasks run in one thread. */
#ifndef CAROBWINDD_TASK_H
#define CAROBWINDD_TASK_H

#include <ev.h>

#include "carobwind/list.h"

/* A process runs one task under each id. Under TASK_ENTRY this is the entry or
 * the session task, under TASK_OWNER the owner or the pool task, and under
 * TASK_CONFIG the config or the registry task (see messages.h). */
typedef enum {
    TASK_ENTRY,  /* caller connections and sessions */
    TASK_ROUTER, /* forwards requests to the owner of their database */
    TASK_OWNER,  /* the databases that this host owns */
    TASK_PEER,   /* connections with other daemons */
    TASK_MEMBER, /* membership protocol */
    TASK_CONFIG, /* configuration and endpoint registrations */
    TASK_STORE,  /* calls to the platform's key-value store */
    TASK_MAIN,   /* startup and graceful shutdown */
    TASK_COUNT_,
} task_id_t;

/* Names of the members of task_id_t, in their order. */
extern const char *const Task_String[];

typedef enum {
    MESSAGE_JOB,           /* job_t: a request to execute */
    MESSAGE_JOB_DONE,      /* job_t: the answered request */
    MESSAGE_CANCEL,        /* cancel_message_t: a request's caller left */
    MESSAGE_VIEW,          /* view_message_t: new membership view */
    MESSAGE_PEERS_KNOWN,   /* view_message_t: the members known at the start */
    MESSAGE_CONFIG,        /* config_message_t: new configuration */
    MESSAGE_STORE,         /* store_call_t: a call to the store */
    MESSAGE_STORE_DONE,    /* store_call_t: the finished call */
    MESSAGE_OUTBOUND,      /* outbound_t: a call to a peer */
    MESSAGE_OUTBOUND_DONE, /* outbound_t: the finished call */
    MESSAGE_INBOUND,       /* inbound_t: a call from a peer */
    MESSAGE_INBOUND_DONE,  /* inbound_t: the answered call */
    MESSAGE_PEER_VERSION,  /* peer_version_message_t: a peer's configuration */
    MESSAGE_DRAIN,         /* message_t: stop gracefully */
    MESSAGE_PREPARED,      /* message_t: ready to serve the databases to own */
    MESSAGE_HANDED_OVER,   /* message_t: the hand-over ended, or failed */
    MESSAGE_DRAIN_REPORT,  /* report_message_t: work left before shutdown */
} message_type_t;

/* Common header of all messages. The last task to handle a message frees it.
 */
typedef struct {
    cbw_link_t link;
    message_type_t type;
    task_id_t from;
} message_t;

typedef void (*task_handler_t)(void *state, message_t *message);

/* Registers the handler of task `id`. Required before Task_Post to it. */
void Task_Register(struct ev_loop *loop, task_id_t id, task_handler_t handler,
                   void *state);
/* Appends a message to the mailbox of task `to` and transfers its ownership.
 * Messages are handled in the order of posting, after the current callback of
 * the event loop has returned. */
void Task_Post(task_id_t from, task_id_t to, message_type_t type,
               message_t *message);

#endif
