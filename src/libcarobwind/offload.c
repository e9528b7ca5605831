#include "carobwind/offload.h"

#define PERCENT 100
#define BYTES_PER_KB 1000

cbw_time_t
CbwOffload_Expect(const cbw_offload_side_t *side)
{
    return side->lag + side->latency +
           side->latency * side->waiting / (side->slots > 0 ? side->slots : 1);
}

static bool
is_link_closed(const cbw_offload_link_t *link, int rank)
{
    return link->load >= Cbw_OFFLOAD_LINK_FULL ||
           (link->load >= Cbw_OFFLOAD_LINK_URGENT && rank > 0);
}

/* Returns the expected completion of one more read there, including the price
 * of its bytes. */
static cbw_time_t
expect_there(const cbw_offload_t *offload, const cbw_offload_side_t *here,
             const cbw_offload_side_t *there, const cbw_offload_link_t *link)
{
    cbw_offload_side_t measured = *there;
    cbw_time_t price =
        offload->cost_per_kb * (cbw_time_t)link->bytes / BYTES_PER_KB;
    cbw_time_t expected;

    if (measured.latency == 0) {
        measured.latency = here->latency + Cbw_OFFLOAD_PATH_UNMEASURED;
    }
    expected = CbwOffload_Expect(&measured);
    if (link->load > Cbw_OFFLOAD_LINK_SLOW) {
        /* As with a queue in front of the link: doubled at a load of 85 %. */
        expected = expected * (PERCENT - Cbw_OFFLOAD_LINK_SLOW) /
                   (link->load < PERCENT ? PERCENT - link->load : 1);
    }
    return expected + price;
}

cbw_offload_reason_t
CbwOffload_Decide(cbw_offload_t *offload, int rank,
                  const cbw_offload_side_t *here,
                  const cbw_offload_side_t *there,
                  const cbw_offload_link_t *link)
{
    cbw_time_t expected_here = CbwOffload_Expect(here);
    cbw_time_t expected_there;
    int percent = offload->leaving ? PERCENT : Cbw_OFFLOAD_START_PERCENT;

    if (there->slots == 0 || is_link_closed(link, rank)) {
        offload->leaving = false;
        return CBW_OFFLOAD_STAYS;
    }
    if (here->slots == 0) {
        offload->leaving = true;
        return CBW_OFFLOAD_NO_ENDPOINT;
    }
    expected_there = expect_there(offload, here, there, link);
    offload->leaving = expected_here * PERCENT > expected_there * percent;
    if (!offload->leaving) {
        return CBW_OFFLOAD_STAYS;
    }
    return here->lag > expected_here - here->lag ? CBW_OFFLOAD_BEHIND
                                                 : CBW_OFFLOAD_QUEUE;
}
