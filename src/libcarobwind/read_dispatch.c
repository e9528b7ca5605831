#include "carobwind/read_dispatch.h"

void
CbwReadDispatch_OnRead(cbw_read_dispatch_t *dispatch, cbw_time_t now)
{
    dispatch->last_read_at = now;
}

bool
CbwReadDispatch_IsAskDue(const cbw_read_dispatch_t *dispatch, cbw_time_t now)
{
    return !dispatch->asking && dispatch->last_read_at != 0 &&
           now - dispatch->last_read_at < Cbw_READ_IDLE_TIMEOUT &&
           now >= dispatch->next_ask_at;
}

void
CbwReadDispatch_OnAsked(cbw_read_dispatch_t *dispatch, cbw_time_t now)
{
    dispatch->asking = true;
    dispatch->asked_at = now;
    dispatch->next_ask_at = now + Cbw_READ_SAMPLE_INTERVAL;
}

/* Invalidates all samples, and the lease that came with them. */
static void
drop_samples(cbw_read_dispatch_t *dispatch)
{
    dispatch->sample_count = 0;
    dispatch->lease_until = 0;
}

static void
add_sample(cbw_read_dispatch_t *dispatch, cbw_time_t covers,
           cbw_position_t position)
{
    size_t count = dispatch->sample_count;

    if (count > 0 &&
        covers <=
            dispatch->samples[(count - 1) % Cbw_READ_SAMPLES_MAX].covers) {
        return;
    }
    dispatch->samples[dispatch->sample_count++ % Cbw_READ_SAMPLES_MAX] =
        (cbw_read_sample_t){.covers = covers, .position = position};
}

void
CbwReadDispatch_OnAnswer(cbw_read_dispatch_t *dispatch, cbw_time_t now,
                         const cbw_read_offer_t *offer)
{
    if (!dispatch->asking) {
        return;
    }
    dispatch->asking = false;
    if (offer == NULL) {
        dispatch->next_ask_at = now + Cbw_READ_SAMPLE_INTERVAL;
        return;
    }
    if (offer->owner != dispatch->owner || offer->term != dispatch->term) {
        drop_samples(dispatch);
        dispatch->owner = offer->owner;
        dispatch->term = offer->term;
    }
    if (offer->age < 0 || offer->position.term > offer->term) {
        return;
    }
    add_sample(dispatch, dispatch->asked_at - offer->age, offer->position);
    dispatch->connections = offer->connections;
    dispatch->slots = offer->slots;
    dispatch->lease_until =
        offer->lease > 0 ? dispatch->asked_at + offer->lease : 0;
}

void
CbwReadDispatch_OnTerm(cbw_read_dispatch_t *dispatch, uint64_t term)
{
    if (term > dispatch->term) {
        drop_samples(dispatch);
    }
}

bool
CbwReadDispatch_MayServe(const cbw_read_dispatch_t *dispatch, cbw_time_t now)
{
    return now < dispatch->lease_until;
}

bool
CbwReadDispatch_PositionAt(const cbw_read_dispatch_t *dispatch, cbw_time_t now,
                           cbw_time_t time, cbw_position_t *position)
{
    size_t count = dispatch->sample_count;
    size_t kept = count < Cbw_READ_SAMPLES_MAX ? count : Cbw_READ_SAMPLES_MAX;
    bool found = false;

    if (!CbwReadDispatch_MayServe(dispatch, now)) {
        return false;
    }
    /* The oldest one that covers `time`: replicas reach its position first. */
    for (size_t i = 0; i < kept; i++) {
        const cbw_read_sample_t *sample =
            &dispatch->samples[(count - 1 - i) % Cbw_READ_SAMPLES_MAX];
        if (sample->covers < time) {
            break;
        }
        *position = sample->position;
        found = true;
    }
    return found;
}
