/* The endpoints' logs in a fleet: each promotion begins a branch. Finds the
 * promotions that restore entries which an earlier one had discarded: reads
 * that were answered in between lack them. */

#include <string.h>

#include "pool_fleet_world.h"

/* The terms of the present leader's log: index of the last entry of each, 0
 * for a term that has none in it. */
typedef struct {
    uint64_t ends[TERMS_MAX];
} branch_t;

static void
find_present_branch(const fleet_t *fleet, branch_t *branch)
{
    cbw_position_t end = {fleet->highest_term, UINT64_MAX};

    memset(branch, 0, sizeof(*branch));
    branch->ends[end.term] = end.index;
    while (end.term > FIRST_TERM) {
        end = fleet->bases[end.term % TERMS_MAX];
        branch->ends[end.term] = end.index;
    }
}

/* Whether a read was answered in a later term of the present branch. */
static bool
was_read_after(const fleet_t *fleet, const branch_t *branch, uint64_t term)
{
    for (uint64_t later = term + 1; later <= fleet->highest_term; later++) {
        if (branch->ends[later] != 0 && fleet->read_in_term[later]) {
            return true;
        }
    }
    return false;
}

void
PoolFleet_CheckRestored(fleet_t *fleet, const event_t *order)
{
    const endpoint_t *e = &fleet->endpoints[order->endpoint];
    cbw_position_t end = {e->last_term, e->index};
    branch_t branch;

    find_present_branch(fleet, &branch);
    for (;;) {
        uint64_t kept = branch.ends[end.term];
        uint64_t acknowledged =
            MIN(fleet->commits_of_term[end.term], end.index);
        if (acknowledged > kept && was_read_after(fleet, &branch, end.term)) {
            PoolFleet_ReportFault(fleet, &fleet->result->restored_logs,
                                  "the promotion of e%d restores entries of "
                                  "term %" G_GUINT64_FORMAT
                                  " up to %" G_GUINT64_FORMAT,
                                  order->endpoint, end.term, acknowledged);
            return;
        }
        if (kept != 0 || end.term <= FIRST_TERM) {
            return;
        }
        end = fleet->bases[end.term % TERMS_MAX];
    }
}
