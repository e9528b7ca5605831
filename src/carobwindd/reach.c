#include "reach.h"

#include <stdlib.h>

#include "share/reaper.h"
#include "share/resp.h"
#include "share/tick.h"

#define CHECK_TIMEOUT_SECONDS 0.2

typedef struct {
    cbw_resp_t resp;
    ev_timer timer;
    void (*done)(void *context, bool reached);
    void *context;
    struct ev_loop *loop;
} reach_check_t;

static void
free_check(void *object)
{
    reach_check_t *check = object;

    CbwResp_Finish(&check->resp);
    free(check);
}

static void
finish_check(reach_check_t *check, bool reached)
{
    ev_timer_stop(check->loop, &check->timer);
    CbwResp_Close(&check->resp);
    check->done(check->context, reached);
    CbwReaper_Defer(free_check, check);
}

static void
on_message(cbw_resp_t *resp, const cbw_resp_message_t *message)
{
    finish_check(resp->context, !message->is_error);
}

static void
on_close(cbw_resp_t *resp, const char *reason)
{
    (void)reason;
    finish_check(resp->context, false);
}

static void
on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    finish_check(timer->data, false);
}

static const cbw_resp_ops_t resp_ops = {
    .on_message = on_message,
    .on_close = on_close,
};

void
Reach_Check(daemon_t *daemon, const char *address,
            void (*done)(void *context, bool reached), void *context)
{
    static const char *const words[] = {"STATE", "1", "0", "0"};
    reach_check_t *check = calloc(1, sizeof(*check));

    if (check == NULL ||
        CbwResp_Connect(&check->resp, daemon->loop, daemon->local_ip, address,
                        &CbwResp_ClientLimits, &resp_ops, check, NULL) != 0) {
        free(check);
        done(context, false);
        return;
    }
    check->loop = daemon->loop;
    check->done = done;
    check->context = context;
    CbwTick_Init(&check->timer, on_timeout, CHECK_TIMEOUT_SECONDS, 0);
    check->timer.data = check;
    ev_timer_start(daemon->loop, &check->timer);
    CbwResp_Send(&check->resp, 4, words, NULL);
}
