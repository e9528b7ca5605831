/* Counts the traffic with peers, for the peer task. */
#ifndef CAROBWINDD_PEER_TRAFFIC_H
#define CAROBWINDD_PEER_TRAFFIC_H

#include "messages.h"
#include "share/net.h"
#include "share/rpc.h"

/* The place of a peer that connected to this host. Zero-initialized
 * except for `ip`. */
typedef struct {
    char ip[CbwNet_IP_MAX];
    cbw_traffic_place_t place;
    bool known;
} peer_place_t;

/* Returns the place of the member that listens at `address`, or OUTSIDE when
 * there is none in `view`, which may be NULL. */
cbw_traffic_place_t PeerPlace_OfAddress(const view_t *view,
                                        const char *address);
/* Returns the place of a peer that connected. It is looked up until it is
 * known, since peers connect before the first view. */
cbw_traffic_place_t PeerPlace_Find(peer_place_t *place, const view_t *view);
/* Counts a message that was sent. */
void PeerTraffic_CountSent(daemon_t *daemon, cbw_traffic_place_t place,
                           uint32_t procedure, size_t bytes);
/* Counts the message that `rpc` dispatches. `kind` is its procedure, or
 * Cbw_TRAFFIC_LATE. */
void PeerTraffic_CountReceived(daemon_t *daemon, cbw_traffic_place_t place,
                               uint32_t kind, const cbw_rpc_t *rpc);

#endif
