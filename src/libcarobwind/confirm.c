#include "carobwind/confirm.h"

#include <assert.h>
#include <string.h>

void
CbwConfirm_Init(cbw_confirm_t *confirm, int endpoint_count)
{
    assert(endpoint_count > 0 && endpoint_count <= Cbw_ENDPOINTS_MAX);
    memset(confirm, 0, sizeof(*confirm));
    confirm->endpoint_count = endpoint_count;
}

void
CbwConfirm_SetTerm(cbw_confirm_t *confirm, uint64_t term)
{
    if (confirm->term == term) {
        return;
    }
    confirm->term = term;
    memset(confirm->confirmed_sequence, 0,
           sizeof(confirm->confirmed_sequence));
    memset(confirm->confirmed_position, 0,
           sizeof(confirm->confirmed_position));
}

uint64_t
CbwConfirm_NextAnswerSequence(cbw_confirm_t *confirm)
{
    return ++confirm->sequence;
}

uint64_t
CbwConfirm_NextCallSequence(cbw_confirm_t *confirm)
{
    return ++confirm->sequence;
}

void
CbwConfirm_OnState(cbw_confirm_t *confirm, int endpoint, uint64_t sequence,
                   const cbw_endpoint_state_t *state)
{
    assert(endpoint >= 0 && endpoint < confirm->endpoint_count);
    if (state->term != confirm->term) {
        return;
    }
    if (sequence > confirm->confirmed_sequence[endpoint]) {
        confirm->confirmed_sequence[endpoint] = sequence;
    }
    if (state->last_term == confirm->term &&
        state->position > confirm->confirmed_position[endpoint]) {
        confirm->confirmed_position[endpoint] = state->position;
    }
}

/* Returns the highest value that a majority of `values` reaches or exceeds. */
static uint64_t
majority_value(const uint64_t *values, int count)
{
    uint64_t best = 0;

    for (int i = 0; i < count; i++) {
        int reached_by = 0;
        for (int j = 0; j < count; j++) {
            reached_by += values[j] >= values[i];
        }
        if (reached_by > count / 2 && values[i] > best) {
            best = values[i];
        }
    }
    return best;
}

uint64_t
CbwConfirm_MajoritySequence(const cbw_confirm_t *confirm)
{
    return majority_value(confirm->confirmed_sequence,
                          confirm->endpoint_count);
}

bool
CbwConfirm_IsTermConfirmed(const cbw_confirm_t *confirm, uint64_t ticket)
{
    return CbwConfirm_MajoritySequence(confirm) > ticket;
}

uint64_t
CbwConfirm_MajorityPosition(const cbw_confirm_t *confirm)
{
    return majority_value(confirm->confirmed_position,
                          confirm->endpoint_count);
}

bool
CbwConfirm_IsConfirmed(const cbw_confirm_t *confirm, cbw_confirm_level_t level,
                       uint64_t ticket, uint64_t position)
{
    if (level == CBW_CONFIRM_NONE) {
        return true;
    }
    if (!CbwConfirm_IsTermConfirmed(confirm, ticket)) {
        return false;
    }
    return level == CBW_CONFIRM_TERM ||
           CbwConfirm_MajorityPosition(confirm) >= position;
}
