#include "carobwind/group.h"

#include <assert.h>
#include <string.h>

/* The share of an endpoint's connection allowance that one owner uses. Below
 * 50, so that the connections of two owners fit into the allowance. */
#define CONNECTION_SHARE_PERCENT 40

static int
connection_limit(const cbw_endpoint_t *endpoint)
{
    int limit = endpoint->connections * CONNECTION_SHARE_PERCENT / 100;

    /* Two connections are reserved for control calls. */
    limit -= 2;
    return limit > 1 ? limit : 1;
}

void
CbwGroup_Init(cbw_group_t *group, const cbw_database_t *database)
{
    assert(database->endpoint_count > 0 &&
           database->endpoint_count <= Cbw_ENDPOINTS_MAX);
    memset(group, 0, sizeof(*group));
    group->count = database->endpoint_count;
    group->primary = -1;
    for (int i = 0; i < group->count; i++) {
        const cbw_endpoint_t *endpoint = &database->endpoints[i];
        group->endpoints[i].leaving = endpoint->leaving;
        CbwLimit_Init(&group->endpoints[i].limit, endpoint->slots,
                      connection_limit(endpoint));
    }
}

/* Adds a sample of the primary's position, unless the last one is too recent.
 */
static void
add_sample(cbw_group_t *group, cbw_time_t sent_at, uint64_t position)
{
    cbw_position_sample_t *sample;

    if (group->sample_count > 0) {
        const cbw_position_sample_t *last =
            &group->samples[(group->sample_count - 1) % Cbw_GROUP_SAMPLES_MAX];
        if (sent_at < last->time + Cbw_GROUP_SAMPLE_INTERVAL) {
            return;
        }
    }
    sample = &group->samples[group->sample_count++ % Cbw_GROUP_SAMPLES_MAX];
    sample->time = sent_at;
    sample->position = position;
}

static bool
update_primary(cbw_group_t *group, int index,
               const cbw_endpoint_state_t *state)
{
    int primary_before = group->primary;
    uint64_t term_before = group->term;

    if (state->term > group->term) {
        group->term = state->term;
        group->primary = -1;
        group->sample_count = 0;
        group->term_confirmed_at = 0;
    }
    if (state->term == group->term) {
        if (state->primary) {
            group->primary = index;
        }
        else if (group->primary == index) {
            group->primary = -1;
        }
    }
    return group->primary != primary_before || group->term != term_before;
}

bool
CbwGroup_OnState(cbw_group_t *group, int index, cbw_time_t sent_at,
                 cbw_time_t now, const cbw_endpoint_state_t *state)
{
    cbw_group_endpoint_t *endpoint;
    bool changed;

    assert(index >= 0 && index < group->count);
    endpoint = &group->endpoints[index];
    if (now > endpoint->last_heard_at) {
        endpoint->last_heard_at = now;
    }
    if (state->term < endpoint->state.term ||
        (state->term == endpoint->state.term &&
         sent_at < endpoint->state_requested_at)) {
        return false;
    }
    endpoint->state = *state;
    endpoint->state_requested_at = sent_at;
    changed = update_primary(group, index, state);
    if (group->primary == index) {
        add_sample(group, sent_at, state->position);
    }
    return changed;
}

cbw_time_t
CbwGroup_DataAge(const cbw_group_t *group, cbw_time_t now, uint64_t position)
{
    size_t stored = group->sample_count < Cbw_GROUP_SAMPLES_MAX
                        ? group->sample_count
                        : Cbw_GROUP_SAMPLES_MAX;

    for (size_t i = 0; i < stored; i++) {
        const cbw_position_sample_t *sample =
            &group->samples[(group->sample_count - 1 - i) %
                            Cbw_GROUP_SAMPLES_MAX];
        if (sample->position <= position) {
            cbw_time_t as_of = sample->time < group->term_confirmed_at
                                   ? sample->time
                                   : group->term_confirmed_at;
            return as_of == 0 ? Cbw_NEVER : now - as_of;
        }
    }
    return Cbw_NEVER;
}

cbw_token_check_t
CbwGroup_CheckToken(const cbw_endpoint_state_t *state,
                    const cbw_token_t *token)
{
    if (token->term > state->last_term) {
        return CBW_TOKEN_BEHIND;
    }
    if (token->term == state->last_term) {
        return token->position <= state->position ? CBW_TOKEN_SATISFIED
                                                  : CBW_TOKEN_BEHIND;
    }
    /* The log holds an older term's entries up to the position where the next
     * known term began. */
    for (int i = state->begin_count - 1; i >= 0; i--) {
        if (state->begins[i].term > token->term) {
            return token->position < state->begins[i].position
                       ? CBW_TOKEN_SATISFIED
                       : CBW_TOKEN_LOST;
        }
    }
    return CBW_TOKEN_LOST;
}

bool
CbwGroup_IsHealthy(const cbw_group_t *group, int index, cbw_time_t now)
{
    cbw_time_t heard_at = group->endpoints[index].last_heard_at;

    return heard_at != 0 && now - heard_at < Cbw_GROUP_HEALTH_TIMEOUT;
}

bool
CbwGroup_IsFresh(const cbw_group_t *group, cbw_time_t now,
                 const cbw_endpoint_state_t *state, cbw_time_t age)
{
    if (age == Cbw_NEVER) {
        return true;
    }
    if (state->last_term != group->term) {
        return false;
    }
    return CbwGroup_DataAge(group, now, state->position) <= age;
}
