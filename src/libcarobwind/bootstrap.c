#include "carobwind/bootstrap.h"

#include <string.h>

void
CbwBootstrap_Init(cbw_bootstrap_t *bootstrap, cbw_time_t now)
{
    memset(bootstrap, 0, sizeof(*bootstrap));
    bootstrap->started_at = now;
}

void
CbwBootstrap_SetPeers(cbw_bootstrap_t *bootstrap, size_t rank,
                      size_t peer_count)
{
    if (bootstrap->peer_count == 0 && rank < Cbw_BOOTSTRAP_READERS &&
        peer_count >= Cbw_BOOTSTRAP_READERS) {
        /* Not another reader, which may be starting too. */
        bootstrap->next_peer = Cbw_BOOTSTRAP_READERS - 1;
    }
    bootstrap->rank = rank;
    bootstrap->peer_count = peer_count;
    if (bootstrap->next_peer >= peer_count) {
        bootstrap->next_peer = 0;
    }
}

static bool
must_read_store(const cbw_bootstrap_t *bootstrap, cbw_time_t now)
{
    cbw_time_t waited = now - bootstrap->started_at;

    return bootstrap->read || waited >= Cbw_BOOTSTRAP_WAIT ||
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
CbwBootstrap_OnFailure(cbw_bootstrap_t *bootstrap, cbw_time_t now,
                       cbw_bootstrap_failure_t failure)
{
    bootstrap->asking = false;
    bootstrap->ask_at = now + Cbw_BOOTSTRAP_ASK_INTERVAL;
    if (failure == CBW_BOOTSTRAP_EMPTY) {
        bootstrap->answered = true;
        /* A start of all: this host is one of those that the others ask. */
        bootstrap->read |= bootstrap->rank < Cbw_BOOTSTRAP_READERS;
    }
    /* The readers, by turns: they come first in the order. */
    bootstrap->next_peer++;
    if (bootstrap->next_peer >= bootstrap->peer_count ||
        bootstrap->next_peer >= Cbw_BOOTSTRAP_READERS) {
        bootstrap->next_peer = 0;
    }
}
