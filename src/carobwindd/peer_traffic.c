#include "peer_traffic.h"

#include <stdio.h>
#include <string.h>

/* Returns the member whose address begins with `prefix`; NULL: none does. */
static const cbw_member_record_t *
find_by_address(const view_t *view, const char *prefix)
{
    for (size_t i = 0; view != NULL && i < view->membership.count; i++) {
        const cbw_member_record_t *record =
            &view->membership.members[i].record;
        if (!CbwMembership_IsEndpoint(record) &&
            strncmp(record->address, prefix, strlen(prefix)) == 0) {
            return record;
        }
    }
    return NULL;
}

/* The first member of a view is this host. */
static cbw_traffic_place_t
place_of(const view_t *view, const cbw_member_record_t *record)
{
    return record != NULL &&
                   strcmp(record->data_centre,
                          view->membership.members[0].record.data_centre) == 0
               ? CBW_TRAFFIC_INSIDE
               : CBW_TRAFFIC_OUTSIDE;
}

cbw_traffic_place_t
PeerPlace_OfAddress(const view_t *view, const char *address)
{
    return place_of(view, find_by_address(view, address));
}

cbw_traffic_place_t
PeerPlace_Find(peer_place_t *place, const view_t *view)
{
    if (!place->known) {
        char prefix[CbwNet_IP_MAX + 1];
        const cbw_member_record_t *record;
        snprintf(prefix, sizeof(prefix), "%s:", place->ip);
        record = find_by_address(view, prefix);
        place->place = place_of(view, record);
        place->known = record != NULL;
    }
    return place->place;
}

static cbw_counter_id_t
byte_counter(uint32_t procedure)
{
    switch (procedure) {
    case PEER_STATEMENT:
        return CBW_COUNTER_PEER_BYTES_STATEMENTS;
    case PEER_PROBE:
        return CBW_COUNTER_PEER_BYTES_PROBES;
    case PEER_MEMBERS:
    case PEER_MEMBERS_DIFF:
        return CBW_COUNTER_PEER_BYTES_MEMBERS;
    case PEER_REGISTRY:
    case PEER_REGISTRY_DIFF:
        return CBW_COUNTER_PEER_BYTES_REGISTRY;
    default:
        return CBW_COUNTER_PEER_BYTES_OTHER;
    }
}

void
PeerTraffic_CountSent(daemon_t *daemon, cbw_traffic_place_t place,
                      uint32_t procedure, size_t bytes)
{
    CbwTraffic_Add(&daemon->traffic, procedure, CBW_TRAFFIC_SENT, place,
                   bytes);
    CbwCounter_Add(&daemon->counters, byte_counter(procedure), bytes);
    if (procedure != PEER_STATEMENT) {
        CbwCounter_Add(&daemon->counters, CBW_COUNTER_PEER_MESSAGES, 1);
        CbwCounter_Add(&daemon->counters, CBW_COUNTER_PEER_BYTES, bytes);
    }
}

void
PeerTraffic_CountReceived(daemon_t *daemon, cbw_traffic_place_t place,
                          uint32_t kind, const cbw_rpc_t *rpc)
{
    CbwTraffic_Add(&daemon->traffic, kind, CBW_TRAFFIC_RECEIVED, place,
                   rpc->received_bytes);
}
