/* Tasks: each owns its sockets and state, and gets messages through a mailbox
 * on the event loop. */
#ifndef CAROBWINDD_TASK_H
#define CAROBWINDD_TASK_H

#include <ev.h>

#include "carobwind/list.h"

typedef enum {
    TASK_ENTRY,  /* callers and their sessions */
    TASK_ROUTER, /* the way of a request to its owner */
    TASK_OWNER,  /* the databases that this host owns */
    TASK_PEER,   /* connections with other daemons */
    TASK_MEMBER, /* membership */
    TASK_CONFIG, /* the operators' text */
    TASK_STORE,  /* the platform's service */
    TASK_MAIN,   /* start and stop */
    TASK_COUNT_,
} task_id_t;

/* Names of the members of task_id_t, in their order. */
extern const char *const Task_String[];

typedef enum {
    MESSAGE_JOB,           /* job_t: a request to carry out */
    MESSAGE_JOB_DONE,      /* job_t: it is answered */
    MESSAGE_VIEW,          /* view_message_t: the members changed */
    MESSAGE_CONFIG,        /* config_message_t: a new configuration */
    MESSAGE_STORE,         /* store_call_t: a call to the store */
    MESSAGE_STORE_DONE,    /* store_call_t: its answer */
    MESSAGE_OUTBOUND,      /* outbound_t: a call to a peer */
    MESSAGE_OUTBOUND_DONE, /* outbound_t: its answer */
    MESSAGE_INBOUND,       /* inbound_t: a peer's call */
    MESSAGE_INBOUND_DONE,  /* inbound_t: the answer to it */
    MESSAGE_PEER_VERSION,  /* peer_version_message_t: what a peer runs */
    MESSAGE_DRAIN,         /* stop gracefully */
    MESSAGE_PREPARED,      /* message_t: what this host will own is ready */
    MESSAGE_HANDED_OVER,   /* message_t: the next owners are ready */
    MESSAGE_DRAIN_REPORT,  /* report_message_t: how far a task has stopped */
} message_type_t;

/* Head of each message; who handles it last frees it. */
typedef struct {
    cbw_link_t link;
    message_type_t type;
    task_id_t from;
} message_t;

typedef void (*task_handler_t)(void *state, message_t *message);

/* Registers the task's handler. */
void Task_Register(struct ev_loop *loop, task_id_t id, task_handler_t handler,
                   void *state);
/* Puts a message into a task's mailbox, which takes it over. It is handled
 * after the present callback, in the order of posting. */
void Task_Post(task_id_t from, task_id_t to, message_type_t type,
               message_t *message);

#endif
