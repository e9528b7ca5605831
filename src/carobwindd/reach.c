#include "reach.h"

#include <stdlib.h>

#include "share/reaper.h"
#include "share/resp.h"

#define PROBE_SECONDS 0.2

typedef struct {
    cbw_resp_t resp;
    ev_timer timer;
    void (*done)(void *context, bool reached);
    void *context;
    struct ev_loop *loop;
} probe_t;

static void
free_probe(void *object)
{
    probe_t *probe = object;

    CbwResp_Finish(&probe->resp);
    free(probe);
}

static void
finish_probe(probe_t *probe, bool reached)
{
    ev_timer_stop(probe->loop, &probe->timer);
    CbwResp_Close(&probe->resp);
    probe->done(probe->context, reached);
    CbwReaper_Defer(free_probe, probe);
}

static void
on_message(cbw_resp_t *resp, const cbw_resp_message_t *message)
{
    finish_probe(resp->context, !message->is_error);
}

static void
on_close(cbw_resp_t *resp, const char *reason)
{
    (void)reason;
    finish_probe(resp->context, false);
}

static void
on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    finish_probe(timer->data, false);
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
    probe_t *probe = calloc(1, sizeof(*probe));

    if (probe == NULL ||
        CbwResp_Connect(&probe->resp, daemon->loop, daemon->local_ip, address,
                        &CbwResp_ClientLimits, &resp_ops, probe, NULL) != 0) {
        free(probe);
        done(context, false);
        return;
    }
    probe->loop = daemon->loop;
    probe->done = done;
    probe->context = context;
    ev_timer_init(&probe->timer, on_timeout, PROBE_SECONDS, 0);
    probe->timer.data = probe;
    ev_timer_start(daemon->loop, &probe->timer);
    CbwResp_Send(&probe->resp, 4, words, NULL);
}
