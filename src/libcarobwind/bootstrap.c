#include "carobwind/bootstrap.h"

#include <string.h>

void
CbwBootstrap_Init(cbw_bootstrap_t *bootstrap, cbw_time_t now)
{
    memset(bootstrap, 0, sizeof(*bootstrap));
    bootstrap->started_at = now;
    bootstrap->timeout = Cbw_BOOTSTRAP_TIMEOUT;
}

static size_t
parent_of(const cbw_bootstrap_t *bootstrap, size_t rank)
{
    size_t fanout =
        bootstrap->large ? Cbw_BOOTSTRAP_FANOUT_LARGE : Cbw_BOOTSTRAP_FANOUT;

    return (rank - Cbw_BOOTSTRAP_READERS) / fanout;
}

/* Returns 1 for the readers and those that ask them, 2 for those that ask the
 * latter, and so on. */
static int
level_of(const cbw_bootstrap_t *bootstrap)
{
    size_t rank = bootstrap->rank;
    int level = 1;

    while (rank >= Cbw_BOOTSTRAP_READERS) {
        rank = parent_of(bootstrap, rank);
        level += rank >= Cbw_BOOTSTRAP_READERS;
    }
    return level;
}

/* Alternates between two peers. */
static void
choose_peer(cbw_bootstrap_t *bootstrap)
{
    size_t turn = bootstrap->failures % 2;
    size_t peer;

    if (bootstrap->rank < Cbw_BOOTSTRAP_READERS) {
        /* Not first another reader, which may be starting too. */
        peer = turn == 0 ? Cbw_BOOTSTRAP_READERS - 1 : 0;
    }
    else {
        /* Its neighbour is at the same level, or above it. */
        peer = parent_of(bootstrap, bootstrap->rank) ^ turn;
    }
    bootstrap->next_peer =
        bootstrap->peer_count > 0 ? peer % bootstrap->peer_count : 0;
}

void
CbwBootstrap_SetPeers(cbw_bootstrap_t *bootstrap, size_t rank,
                      size_t peer_count)
{
    bootstrap->rank = rank;
    bootstrap->peer_count = peer_count;
    choose_peer(bootstrap);
}

/* Whether records have arrived, or a peer was loading them, recently. */
static bool
makes_progress(const cbw_bootstrap_t *bootstrap, cbw_time_t now)
{
    return bootstrap->progress_at != 0 &&
           now - bootstrap->progress_at < Cbw_BOOTSTRAP_WAIT &&
           now - bootstrap->started_at < Cbw_BOOTSTRAP_PROGRESS_MAX;
}

static bool
must_read_store(const cbw_bootstrap_t *bootstrap, cbw_time_t now)
{
    cbw_time_t waited = now - bootstrap->started_at;
    cbw_time_t wait = bootstrap->large && bootstrap->answered
                          ? Cbw_BOOTSTRAP_WAIT_LARGE
                          : Cbw_BOOTSTRAP_WAIT;
    cbw_time_t share = wait * level_of(bootstrap) +
                       Cbw_BOOTSTRAP_STAGGER * (cbw_time_t)bootstrap->rank;

    return bootstrap->read ||
           (waited >= share && !makes_progress(bootstrap, now)) ||
           (!bootstrap->answered && waited >= Cbw_BOOTSTRAP_SILENCE) ||
           (bootstrap->peer_count == 0 && waited >= Cbw_BOOTSTRAP_ALONE_AFTER);
}

cbw_bootstrap_action_t
CbwBootstrap_Next(cbw_bootstrap_t *bootstrap, cbw_time_t now)
{
    if (must_read_store(bootstrap, now)) {
        bootstrap->read = true;
        return CBW_BOOTSTRAP_READ_STORE;
    }
    if (bootstrap->asking || bootstrap->peer_count == 0 ||
        now < bootstrap->ask_at) {
        return CBW_BOOTSTRAP_WAIT;
    }
    bootstrap->asking = true;
    return CBW_BOOTSTRAP_ASK;
}

void
CbwBootstrap_OnPart(cbw_bootstrap_t *bootstrap, cbw_time_t now)
{
    bootstrap->asking = false;
    bootstrap->answered = true;
    bootstrap->progress_at = now;
    bootstrap->ask_at = now;
}

void
CbwBootstrap_OnFailure(cbw_bootstrap_t *bootstrap, cbw_time_t now,
                       cbw_bootstrap_failure_t failure)
{
    bootstrap->asking = false;
    bootstrap->ask_at = now + Cbw_BOOTSTRAP_ASK_INTERVAL;
    if (failure == CBW_BOOTSTRAP_LOADING) {
        bootstrap->answered = true;
        bootstrap->progress_at = now;
    }
    else if (failure == CBW_BOOTSTRAP_EMPTY) {
        bootstrap->answered = true;
        if (bootstrap->large) {
            bootstrap->timeout = Cbw_BOOTSTRAP_TIMEOUT_LARGE;
        }
        /* All hosts start, and this one is among those that the others ask. */
        bootstrap->read |= bootstrap->rank < Cbw_BOOTSTRAP_READERS;
    }
    else if (bootstrap->answered && !bootstrap->large) {
        /* A peer has answered before, so this one is probably slow. */
        bootstrap->timeout *= 2;
        if (bootstrap->timeout > Cbw_BOOTSTRAP_TIMEOUT_MAX) {
            bootstrap->timeout = Cbw_BOOTSTRAP_TIMEOUT_MAX;
        }
    }
    bootstrap->failures++;
    choose_peer(bootstrap);
}
