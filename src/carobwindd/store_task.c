/* The store task: calls to the platform's service, within a budget and with
 * deadlines. A call without an answer ends as lost. */

#include <stdlib.h>

#include "carobwind/log.h"
#include "carobwind/plugin.h"
#include "drivers.h"
#include "share/net.h"

#define TICK_SECONDS 0.02
#define CALL_TIMEOUT (800 * Cbw_MSEC)
/* Calls a second that one host makes at the most, and in a burst. */
#define CALLS_PER_SECOND 40.0
#define CALLS_BURST 80.0

typedef struct {
    daemon_t *daemon;
    const store_driver_t *driver;
    cbw_link_t calls;
    uint64_t next_id;
    double tokens;
    cbw_time_t refilled_at;
    bool answering; /* as far as the last call shows */
    ev_timer timer;
} store_task_t;

static store_task_t self;

static void
note_health(bool answering)
{
    if (answering != self.answering) {
        self.answering = answering;
        CbwLog_Write(answering ? CBW_LOG_INFO : CBW_LOG_WARNING, "store",
                     answering ? "answers" : "silent", "address=%s",
                     self.daemon->settings.platform);
    }
}

static void
finish(store_call_t *call)
{
    CbwList_Remove(&call->message.link);
    if (call->status == CBW_STORE_LOST) {
        CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_STORE_FAILURES, 1);
    }
    if (call->verb != STORE_WATCH) {
        note_health(call->status != CBW_STORE_LOST);
    }
    Task_Post(TASK_STORE, call->reply_to, MESSAGE_STORE_DONE, &call->message);
}

static bool
take_budget(cbw_time_t now)
{
    self.tokens +=
        (double)(now - self.refilled_at) / Cbw_SEC * CALLS_PER_SECOND;
    self.refilled_at = now;
    if (self.tokens > CALLS_BURST) {
        self.tokens = CALLS_BURST;
    }
    if (self.tokens < 1) {
        return false;
    }
    self.tokens -= 1;
    return true;
}

static void
start(store_call_t *call)
{
    cbw_time_t now = CbwNet_Now();

    CbwList_Append(&self.calls, &call->message.link);
    call->status = CBW_STORE_LOST;
    if (!take_budget(now)) {
        finish(call);
        return;
    }
    call->id = ++self.next_id;
    call->deadline = now + CALL_TIMEOUT + call->wait;
    CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_STORE_CALLS, 1);
    self.driver->call(call);
}

static store_call_t *
find_expired(cbw_time_t now)
{
    cbw_link_t *link = self.calls.next;

    for (; link != &self.calls; link = link->next) {
        store_call_t *call = Cbw_LIST_ITEM(link, store_call_t, message.link);
        if (now >= call->deadline) {
            return call;
        }
    }
    return NULL;
}

static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
    cbw_time_t now = CbwNet_Now();
    store_call_t *call;

    (void)loop;
    (void)watcher;
    (void)events;
    /* Giving up one call can end others: the search starts anew. */
    while ((call = find_expired(now)) != NULL) {
        self.driver->forget(call);
        call->status = CBW_STORE_LOST;
        finish(call);
    }
}

static void
handle(void *state, message_t *message)
{
    (void)state;
    if (message->type == MESSAGE_STORE) {
        start(Cbw_LIST_ITEM(message, store_call_t, message));
    }
}

static const store_events_t store_events = {.on_done = finish};

void
StoreTask_Start(daemon_t *daemon)
{
    self.daemon = daemon;
    self.driver =
        CbwPlugin_Find(CBW_PLUGIN_STORE_DRIVER, daemon->settings.store_driver);
    self.tokens = CALLS_BURST;
    self.refilled_at = CbwNet_Now();
    self.answering = true;
    CbwList_Init(&self.calls);
    self.driver->open(daemon, &store_events);
    Task_Register(daemon->loop, TASK_STORE, handle, NULL);
    ev_timer_init(&self.timer, on_tick, TICK_SECONDS, TICK_SECONDS);
    ev_timer_start(daemon->loop, &self.timer);
}
