#include "carobwind/limit.h"

#include <assert.h>
#include <stddef.h>

#include "carobwind/plugin.h"

/* Replies in a window, at the least. */
#define WINDOW_REPLIES 20
/* Windows until the minimum latency is measured anew. */
#define MINIMUM_WINDOWS 50
/* Requests estimated to queue inside the endpoint: grow below, shrink above.
 */
#define QUEUE_LOW 1.0
#define QUEUE_HIGH 2.0

void
CbwLimit_Init(cbw_limit_t *limit, int slots, int maximum)
{
    assert(slots > 0 && maximum > 0);
    *limit = (cbw_limit_t){
        .limit = slots + 1 < maximum ? slots + 1 : maximum,
        .maximum = maximum,
        .window_minimum = Cbw_NEVER,
    };
}

bool
CbwLimit_HasRoom(const cbw_limit_t *limit)
{
    return limit->in_flight < limit->limit;
}

void
CbwLimit_OnSend(cbw_limit_t *limit)
{
    limit->in_flight++;
    if (limit->in_flight >= limit->limit) {
        limit->window_full = true;
    }
}

void
CbwLimit_OnEnd(cbw_limit_t *limit, const cbw_limit_ops_t *ops,
               cbw_time_t latency)
{
    assert(limit->in_flight > 0);
    limit->in_flight--;
    if (latency >= 0) {
        ops->on_reply(limit, latency);
    }
}

static void
fixed_on_reply(cbw_limit_t *limit, cbw_time_t latency)
{
    (void)limit;
    (void)latency;
}

static void
close_window(cbw_limit_t *limit)
{
    double average = (double)limit->window_sum / limit->window_count;
    double queued;

    if (limit->minimum_latency == 0 ||
        limit->window_minimum < limit->minimum_latency ||
        limit->windows >= MINIMUM_WINDOWS) {
        limit->minimum_latency = limit->window_minimum;
        limit->windows = 0;
    }
    queued = limit->limit * (1.0 - (double)limit->minimum_latency / average);
    if (queued < QUEUE_LOW && limit->window_full &&
        limit->limit < limit->maximum) {
        limit->limit++;
    }
    else if (queued > QUEUE_HIGH && limit->limit > 1) {
        limit->limit--;
    }
    limit->windows++;
    limit->window_minimum = Cbw_NEVER;
    limit->window_sum = 0;
    limit->window_count = 0;
    limit->window_full = false;
}

static void
adaptive_on_reply(cbw_limit_t *limit, cbw_time_t latency)
{
    latency = latency > 0 ? latency : 1;
    limit->window_sum += latency;
    limit->window_count++;
    if (latency < limit->window_minimum) {
        limit->window_minimum = latency;
    }
    if (limit->window_count >= WINDOW_REPLIES) {
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
