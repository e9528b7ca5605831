#include "carobwind/limit.h"

#include <assert.h>
#include <stddef.h>

#include "carobwind/plugin.h"

/* Number of replies in a window. */
#define WINDOW_REPLIES 40
/* Number of windows between two measurements of the base latency. */
#define BASE_PROBE_WINDOWS 40
/* Reciprocal of the weight of a reply in the average latency. */
#define LATENCY_SMOOTHING 16
/* Statements estimated to queue inside the endpoint: the limit grows below
 * ENDPOINT_QUEUE_LOW and shrinks above ENDPOINT_QUEUE_HIGH. */
#define ENDPOINT_QUEUE_LOW 1.0
#define ENDPOINT_QUEUE_HIGH 2.0

void
CbwLimit_Init(cbw_limit_t *limit, int slots, int maximum)
{
    assert(slots > 0 && maximum > 0);
    *limit = (cbw_limit_t){
        .limit = slots + 1 < maximum ? slots + 1 : maximum,
        .maximum = maximum,
    };
}

bool
CbwLimit_CanSend(const cbw_limit_t *limit)
{
    int allowed = limit->probing ? (limit->limit + 1) / 2 : limit->limit;

    return limit->in_flight < allowed;
}

void
CbwLimit_OnSend(cbw_limit_t *limit)
{
    limit->in_flight++;
    if (limit->in_flight >= limit->limit) {
        limit->limit_reached = true;
    }
}

void
CbwLimit_OnComplete(cbw_limit_t *limit, const cbw_limit_ops_t *ops,
                    cbw_time_t latency)
{
    assert(limit->in_flight > 0);
    limit->in_flight--;
    if (latency < 0) {
        return;
    }
    if (limit->average_latency == 0) {
        limit->average_latency = latency;
    }
    limit->average_latency +=
        (latency - limit->average_latency) / LATENCY_SMOOTHING;
    ops->on_reply(limit, latency);
}

double
CbwLimit_Throughput(const cbw_limit_t *limit)
{
    if (limit->average_latency <= 0) {
        return 0;
    }
    return (double)limit->limit * Cbw_SEC / (double)limit->average_latency;
}

static void
fixed_on_reply(cbw_limit_t *limit, cbw_time_t latency)
{
    (void)limit;
    (void)latency;
}

/* Grows or shrinks the limit by the estimated queue inside the endpoint, which
 * is the limit times the share of the latency above the base latency. */
static void
adjust_limit(cbw_limit_t *limit, cbw_time_t average)
{
    double queued;

    if (average < limit->base_latency) {
        limit->base_latency = average;
    }
    queued =
        limit->limit * (1.0 - (double)limit->base_latency / (double)average);
    if (queued < ENDPOINT_QUEUE_LOW && limit->limit_reached &&
        limit->limit < limit->maximum) {
        limit->limit++;
    }
    else if (queued > ENDPOINT_QUEUE_HIGH && limit->limit > 1) {
        limit->limit--;
    }
}

/* Evaluates a full window of replies and starts the next one. Every
 * BASE_PROBE_WINDOWS windows one is used to measure the base latency. */
static void
close_window(cbw_limit_t *limit)
{
    cbw_time_t average = limit->window_latency_sum / limit->window_replies;

    if (limit->probing) {
        limit->base_latency = average;
        limit->probing = false;
        limit->windows_since_probe = 0;
    }
    else if (limit->base_latency == 0 ||
             limit->windows_since_probe >= BASE_PROBE_WINDOWS) {
        limit->probing = true;
    }
    else {
        adjust_limit(limit, average);
    }
    limit->windows_since_probe++;
    limit->window_latency_sum = 0;
    limit->window_replies = 0;
    limit->limit_reached = false;
}

static void
adaptive_on_reply(cbw_limit_t *limit, cbw_time_t latency)
{
    limit->window_latency_sum += latency > 0 ? latency : 1;
    limit->window_replies++;
    if (limit->window_replies >= WINDOW_REPLIES) {
        close_window(limit);
    }
}

static const cbw_limit_ops_t fixed_ops = {.on_reply = fixed_on_reply};
static const cbw_limit_ops_t adaptive_ops = {.on_reply = adaptive_on_reply};

Cbw_PLUGIN_REGISTER(limit_fixed, CBW_PLUGIN_LIMIT, "fixed", &fixed_ops)
    Cbw_PLUGIN_REGISTER(limit_adaptive, CBW_PLUGIN_LIMIT, "adaptive",
                        &adaptive_ops)

        const cbw_limit_ops_t *CbwLimit_Policy(const char *name)
{
    return CbwPlugin_Find(CBW_PLUGIN_LIMIT, name);
}
