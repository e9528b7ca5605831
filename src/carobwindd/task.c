#include "task.h"

#include <assert.h>
#include <stddef.h>

const char *const Task_String[] = {"entry",  "router", "owner", "peer",
                                   "member", "config", "store", "main"};

typedef struct {
    struct ev_loop *loop;
    task_handler_t handler;
    void *state;
    cbw_link_t mailbox;
    ev_timer wake; /* never started; Task_Post queues its event */
} task_t;

static task_t tasks[TASK_COUNT_];

static void
on_wake(struct ev_loop *loop, ev_timer *watcher, int events)
{
    task_t *task = watcher->data;
    cbw_link_t *link;

    (void)loop;
    (void)events;
    while ((link = CbwList_TakeFirst(&task->mailbox)) != NULL) {
        task->handler(task->state, Cbw_LIST_ITEM(link, message_t, link));
    }
}

void
Task_Register(struct ev_loop *loop, task_id_t id, task_handler_t handler,
              void *state)
{
    task_t *task = &tasks[id];

    task->loop = loop;
    task->handler = handler;
    task->state = state;
    CbwList_Init(&task->mailbox);
    ev_timer_init(&task->wake, on_wake, 0, 0);
    task->wake.data = task;
}

void
Task_Post(task_id_t from, task_id_t to, message_type_t type,
          message_t *message)
{
    task_t *task = &tasks[to];

    assert(task->handler != NULL);
    message->type = type;
    message->from = from;
    CbwList_Append(&task->mailbox, &message->link);
    if (!ev_is_pending(&task->wake)) {
        ev_feed_event(task->loop, &task->wake, EV_CUSTOM);
    }
}
