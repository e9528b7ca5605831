/* Counters of the messages and bytes between hosts, by kind of message,
 * direction and place of the peer, and of the calls to the store by verb; and
 * their Prometheus text format. */
#ifndef CAROBWIND_TRAFFIC_H
#define CAROBWIND_TRAFFIC_H

#include <stddef.h>
#include <stdint.h>

/* Kinds are the numbers of procedures of the peer protocol. Kind 0 is a
 * response that arrived after its call had ended. */
#define Cbw_TRAFFIC_KINDS 32
#define Cbw_TRAFFIC_LATE 0
#define Cbw_TRAFFIC_VERBS 16

typedef enum {
    CBW_TRAFFIC_SENT,
    CBW_TRAFFIC_RECEIVED,
    CBW_TRAFFIC_DIRECTIONS_,
} cbw_traffic_direction_t;

typedef enum {
    CBW_TRAFFIC_INSIDE,  /* the peer is in the data centre of this host */
    CBW_TRAFFIC_OUTSIDE, /* it is not, or its place is not known */
    CBW_TRAFFIC_PLACES_,
} cbw_traffic_place_t;

typedef struct {
    uint64_t messages;
    uint64_t bytes; /* on the wire, without the headers of TCP and IP */
} cbw_traffic_cell_t;

/* Zero is the initial state. */
typedef struct {
    cbw_traffic_cell_t cells[Cbw_TRAFFIC_KINDS][CBW_TRAFFIC_DIRECTIONS_]
                            [CBW_TRAFFIC_PLACES_];
    uint64_t connections_opened[CBW_TRAFFIC_PLACES_]; /* to peers */
    uint64_t store_calls[Cbw_TRAFFIC_VERBS];
} cbw_traffic_t;

/* Counts one message of `bytes`. Kinds out of range are ignored. */
void CbwTraffic_Add(cbw_traffic_t *traffic, uint32_t kind,
                    cbw_traffic_direction_t direction,
                    cbw_traffic_place_t place, size_t bytes);
/* Counts a call to the store. Verbs out of range are ignored. */
void CbwTraffic_AddStoreCall(cbw_traffic_t *traffic, uint32_t verb);
/* Sums up the messages and bytes of a kind, of all directions and places. */
cbw_traffic_cell_t CbwTraffic_Sum(const cbw_traffic_t *traffic, uint32_t kind);
/* Writes the counters that are not zero to `text`, which holds `size` bytes.
 * `kinds` and `verbs` have the names, indexed by their numbers; NULL: the
 * number is written. Output that does not fit is truncated. Returns the length
 * written, without the terminating NUL. */
size_t CbwTraffic_Format(const cbw_traffic_t *traffic,
                         const char *const kinds[Cbw_TRAFFIC_KINDS],
                         const char *const verbs[Cbw_TRAFFIC_VERBS],
                         char *text, size_t size);

#endif
