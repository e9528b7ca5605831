#include "carobwind/liveness.h"

static cbw_time_t
latest(cbw_time_t a, cbw_time_t b)
{
    return a > b ? a : b;
}

static cbw_liveness_verdict_t
judge_retired(const cbw_liveness_t *liveness, cbw_time_t now)
{
    if (liveness->successor_heard_at != 0 &&
        now - latest(liveness->successor_heard_at, liveness->heard_at) >
            Cbw_LIVENESS_LOST_AFTER + liveness->local_delay) {
        return CBW_LIVENESS_LOST;
    }
    return CBW_LIVENESS_GOOD;
}

cbw_liveness_verdict_t
CbwLiveness_Judge(const cbw_liveness_t *liveness, cbw_time_t now)
{
    cbw_time_t silent_for =
        now - latest(liveness->heard_at, liveness->waiting_since);

    if (liveness->retired_at != 0) {
        return judge_retired(liveness, now);
    }
    if (silent_for > Cbw_LIVENESS_RETIRE_AFTER + 2 * liveness->local_delay) {
        return CBW_LIVENESS_RETIRE;
    }
    return silent_for > Cbw_LIVENESS_PROBE_AFTER && !liveness->probed
               ? CBW_LIVENESS_PROBE
               : CBW_LIVENESS_GOOD;
}
