#include "carobwind/route.h"

#include "carobwind/plugin.h"

const char *const CbwRoute_ResultString[] = {
    "chosen",
    "full",
    "behind",
    "primary",
};

/* Returns whether the endpoint is a healthy replica that is not leaving. */
static bool
is_usable_replica(const cbw_group_t *group, int index, cbw_time_t now)
{
    const cbw_group_endpoint_t *endpoint = &group->endpoints[index];

    return index != group->primary && !endpoint->leaving &&
           CbwGroup_IsHealthy(group, index, now);
}

/* Returns whether the endpoint's last known state satisfies the request's
 * token and maximum age. */
static bool
satisfies_read(const cbw_group_t *group, int index,
               const cbw_request_t *request, const cbw_token_t *token,
               cbw_time_t now)
{
    const cbw_endpoint_state_t *state = &group->endpoints[index].state;

    if (token != NULL &&
        CbwGroup_CheckToken(state, token) == CBW_TOKEN_BEHIND) {
        return false;
    }
    return CbwGroup_IsFresh(group, now, state, request->age);
}

/* Compares the shares of the limits that are in use, without division. */
static bool
is_less_loaded(const cbw_limit_t *a, const cbw_limit_t *b)
{
    return a->in_flight * b->limit < b->in_flight * a->limit;
}

/* Policy "replica": the least loaded replica that satisfies the read. */
static cbw_route_result_t
choose_replica(const cbw_group_t *group, const cbw_request_t *request,
               const cbw_token_t *token, cbw_time_t now, int *endpoint)
{
    int best = -1;
    bool any_usable = false;
    bool any_satisfies = false;

    if (request->age == 0) {
        return CBW_ROUTE_PRIMARY;
    }
    for (int i = 0; i < group->count; i++) {
        const cbw_limit_t *limit = &group->endpoints[i].limit;
        if (!is_usable_replica(group, i, now)) {
            continue;
        }
        any_usable = true;
        if (!satisfies_read(group, i, request, token, now)) {
            continue;
        }
        any_satisfies = true;
        if (!CbwLimit_CanSend(limit)) {
            continue;
        }
        if (best < 0 || is_less_loaded(limit, &group->endpoints[best].limit)) {
            best = i;
        }
    }
    if (best >= 0) {
        *endpoint = best;
        return CBW_ROUTE_CHOSEN;
    }
    if (any_satisfies) {
        return CBW_ROUTE_FULL;
    }
    return any_usable ? CBW_ROUTE_BEHIND : CBW_ROUTE_PRIMARY;
}

/* Policy "primary": each read goes to the primary. For comparison in
 * benchmarks. */
static cbw_route_result_t
choose_primary(const cbw_group_t *group, const cbw_request_t *request,
               const cbw_token_t *token, cbw_time_t now, int *endpoint)
{
    (void)group;
    (void)request;
    (void)token;
    (void)now;
    (void)endpoint;
    return CBW_ROUTE_PRIMARY;
}

static const cbw_route_ops_t replica_ops = {.choose = choose_replica};
static const cbw_route_ops_t primary_ops = {.choose = choose_primary};

Cbw_PLUGIN_REGISTER(route_replica, CBW_PLUGIN_ROUTE, "replica", &replica_ops)
    Cbw_PLUGIN_REGISTER(route_primary, CBW_PLUGIN_ROUTE, "primary",
                        &primary_ops)

        const cbw_route_ops_t *CbwRoute_Policy(const char *name)
{
    return CbwPlugin_Find(CBW_PLUGIN_ROUTE, name);
}

const char *
CbwRoute_Explain(const cbw_group_t *group, int index, cbw_time_t now)
{
    const cbw_group_endpoint_t *endpoint = &group->endpoints[index];

    if (index == group->primary) {
        return endpoint->leaving
                   ? "primary, leaving: handing over"
                   : "primary: writes, and reads that require the primary";
    }
    if (endpoint->leaving) {
        return "not used: leaving";
    }
    if (!CbwGroup_IsHealthy(group, index, now)) {
        return "not used: does not answer";
    }
    if (endpoint->state.last_term != group->term) {
        return "only reads of any age: holds no entry of this term yet";
    }
    return "used for reads that its position and age satisfy";
}
