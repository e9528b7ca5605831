/* The network of large_fleet.h: messages, connections, links and processors.
 * There is one fleet at a time. */
#ifndef TEST_LIBCAROBWIND_LARGE_FLEET_NET_H
#define TEST_LIBCAROBWIND_LARGE_FLEET_NET_H

#include "large_fleet.h"

/* Headers of an RPC call and response, with the record mark. */
#define CALL_HEADER 44
#define RESPONSE_HEADER 28
#define PROBE_TIME_LIMIT (300 * Cbw_MSEC)

typedef struct {
    uint16_t host;
    uint16_t state;
    uint32_t incarnation;
} compact_t;

/* The next step of a message. */
typedef enum { STAGE_CONNECTED, STAGE_ARRIVED, STAGE_RECEIVED } stage_t;

typedef struct message {
    cbw_time_t at;
    stage_t stage;
    bool opens_connection;
    uint64_t order;
    int from;
    int to;
    uint32_t kind;
    bool response;
    int target; /* of an indirect probe; -1: none */
    int origin; /* of an indirect probe's second leg: who asked; -1: none */
    cbw_time_t called_at;
    cbw_time_t limit; /* of the call */
    uint64_t to_life; /* incarnation of the caller's process */
    bool reached;
    size_t size;
    uint32_t *digests;
    size_t digest_count;
    size_t count;
    compact_t records[];
} message_t;

extern large_fleet_t *LargeNet_Fleet;
extern message_t **LargeNet_Messages; /* a heap by time */
extern size_t LargeNet_MessageCount;
extern size_t LargeNet_MessageCapacity;
/* When the connection from one host to another was last used, in seconds. */
extern float *LargeNet_UsedAt;
extern size_t LargeNet_MemberSize; /* of a record */

/* Removes the message that is due first. */
message_t *LargeNet_Pop(void);
/* Returns whether two hosts are on the same side of a cut. */
bool LargeNet_CanReach(int a, int b);
/* Returns the host called `name`. */
int LargeNet_IndexOf(const char *name);
/* Fills the record of a host, as alive. */
void LargeNet_FillRecord(cbw_member_record_t *record, int host);
/* Returns a record in the short form of messages. */
compact_t LargeNet_Compact(const cbw_member_record_t *record);
/* Returns the record of a short form. */
cbw_member_record_t LargeNet_Expand(const compact_t *from);
/* Returns the bytes of a record in XDR. */
size_t LargeNet_MeasureMember(void);
/* Returns whether the hosts are in one data centre. */
cbw_traffic_place_t LargeNet_PlaceOf(int a, int b);
/* Puts a message on the link of its sender. */
void LargeNet_PutOnLink(message_t *message);
/* Sends a message and takes ownership of it. */
void LargeNet_Transmit(message_t *message);
/* The last byte of a message has reached the link of its receiver. */
void LargeNet_OnArrived(message_t *message);
/* Returns a call with `count` records, to be sent or freed. */
message_t *LargeNet_NewMessage(int from, int to, uint32_t kind, size_t count);

#endif
