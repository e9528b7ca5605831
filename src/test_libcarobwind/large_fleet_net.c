#include "large_fleet_net.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "share/peer_rpc.h"

/* 10 Mbit/s, in bytes a second, and the processor of a small host. */
#define LINK_RATE 1250000.0
#define PROCESSOR_SHARE 0.1
#define MICROSECOND (Cbw_MSEC / 1000)
/* Processor time of a message and of a byte of it, and of a new connection at
 * either end, on a whole core (docs/CAPACITY.md). */
#define MESSAGE_COST (60 * MICROSECOND)
#define BYTE_COST_NS 8
#define CONNECTION_COST (60 * MICROSECOND)
#define IDLE_TIMEOUT (30 * Cbw_SEC)

large_fleet_t *LargeNet_Fleet;
message_t **LargeNet_Messages;
size_t LargeNet_MessageCount;
size_t LargeNet_MessageCapacity;
float *LargeNet_UsedAt;
size_t LargeNet_MemberSize;

static uint64_t next_order;

/* Events. */

static bool
is_before(const message_t *a, const message_t *b)
{
    return a->at != b->at ? a->at < b->at : a->order < b->order;
}

static void
push(message_t *message)
{
    size_t i = LargeNet_MessageCount++;

    if (LargeNet_MessageCount > LargeNet_MessageCapacity) {
        LargeNet_MessageCapacity = LargeNet_MessageCapacity != 0
                                       ? 2 * LargeNet_MessageCapacity
                                       : 1024;
        LargeNet_Messages =
            g_renew(message_t *, LargeNet_Messages, LargeNet_MessageCapacity);
    }
    message->order = next_order++;
    for (; i > 0 && is_before(message, LargeNet_Messages[(i - 1) / 2]);
         i = (i - 1) / 2) {
        LargeNet_Messages[i] = LargeNet_Messages[(i - 1) / 2];
    }
    LargeNet_Messages[i] = message;
}

message_t *
LargeNet_Pop(void)
{
    message_t *first = LargeNet_Messages[0];
    message_t *last = LargeNet_Messages[--LargeNet_MessageCount];
    size_t i = 0;

    for (;;) {
        size_t child = 2 * i + 1;
        if (child >= LargeNet_MessageCount) {
            break;
        }
        if (child + 1 < LargeNet_MessageCount &&
            is_before(LargeNet_Messages[child + 1],
                      LargeNet_Messages[child])) {
            child++;
        }
        if (!is_before(LargeNet_Messages[child], last)) {
            break;
        }
        LargeNet_Messages[i] = LargeNet_Messages[child];
        i = child;
    }
    LargeNet_Messages[i] = last;
    return first;
}

/* Hosts. */

static int
centre_of(int host)
{
    return host % LARGE_FLEET_CENTRES;
}

static int
region_of(int host)
{
    return centre_of(host) / LARGE_FLEET_CENTRES_PER_REGION;
}

static cbw_time_t
path_time(int a, int b)
{
    if (region_of(a) != region_of(b)) {
        return 30 * Cbw_MSEC;
    }
    return centre_of(a) != centre_of(b) ? 1400 * MICROSECOND
                                        : 200 * MICROSECOND;
}

bool
LargeNet_CanReach(int a, int b)
{
    return LargeNet_Fleet->hosts[a].region_cut ==
           LargeNet_Fleet->hosts[b].region_cut;
}

int
LargeNet_IndexOf(const char *name)
{
    return (int)strtol(name + strlen("frontend-"), NULL, 10);
}

void
LargeNet_FillRecord(cbw_member_record_t *record, int host)
{
    memset(record, 0, sizeof(*record));
    g_snprintf(record->name, sizeof(record->name), "frontend-%04d", host);
    g_snprintf(record->data_centre, sizeof(record->data_centre), "centre-%d",
               centre_of(host));
    g_snprintf(record->address, sizeof(record->address), "10.%d.%d.%d:7100",
               100 + centre_of(host), 100 + host / 100, 100 + host % 100);
}

compact_t
LargeNet_Compact(const cbw_member_record_t *record)
{
    return (compact_t){.host = (uint16_t)LargeNet_IndexOf(record->name),
                       .state = record->state,
                       .incarnation = (uint32_t)record->incarnation};
}

cbw_member_record_t
LargeNet_Expand(const compact_t *from)
{
    cbw_member_record_t record;

    LargeNet_FillRecord(&record, from->host);
    record.state = (cbw_member_state_t)from->state;
    record.incarnation = from->incarnation;
    return record;
}

size_t
LargeNet_MeasureMember(void)
{
    cbw_member_record_t record;
    peer_member member;

    LargeNet_FillRecord(&record, 1234);
    member = (peer_member){.name = record.name,
                           .data_centre = record.data_centre,
                           .address = record.address};
    return xdr_sizeof((xdrproc_t)(void (*)(void))xdr_peer_member, &member);
}

/* Messages. */

/* Occupies the processor of a host for `cost`, from `at` at the earliest.
 * Returns when this ends. */
static cbw_time_t
work(large_host_t *host, cbw_time_t at, cbw_time_t cost)
{
    cbw_time_t start = at > host->busy_until ? at : host->busy_until;

    if (start < host->paused_until) {
        start = host->paused_until;
    }
    host->busy_until = start + (cbw_time_t)((double)cost / PROCESSOR_SHARE);
    return host->busy_until;
}

static cbw_time_t
pass_link(cbw_time_t *until, const large_host_t *host, cbw_time_t at,
          size_t size)
{
    double rate = LINK_RATE * (1 - host->load);
    cbw_time_t start = at > *until ? at : *until;

    *until = start + (cbw_time_t)((double)size / rate * Cbw_SEC);
    return *until;
}

cbw_traffic_place_t
LargeNet_PlaceOf(int a, int b)
{
    return centre_of(a) == centre_of(b) ? CBW_TRAFFIC_INSIDE
                                        : CBW_TRAFFIC_OUTSIDE;
}

static cbw_time_t
message_cost(size_t size)
{
    return MESSAGE_COST + (cbw_time_t)(size * BYTE_COST_NS / 1000);
}

static void
push_at(message_t *message, stage_t stage, cbw_time_t at)
{
    message->stage = stage;
    message->at = at;
    push(message);
}

void
LargeNet_PutOnLink(message_t *message)
{
    large_host_t *from = &LargeNet_Fleet->hosts[message->from];
    cbw_time_t at =
        work(from, LargeNet_Fleet->now, message_cost(message->size));

    at = pass_link(&from->output_until, from, at, message->size);
    push_at(message, STAGE_ARRIVED,
            at + path_time(message->from, message->to));
}

/* Sends a message, which this owns from then on. */
void
LargeNet_Transmit(message_t *message)
{
    large_host_t *from = &LargeNet_Fleet->hosts[message->from];
    float *used =
        &LargeNet_UsedAt[message->from * LARGE_FLEET_HOSTS_MAX + message->to];

    CbwTraffic_Add(&from->traffic, message->kind, CBW_TRAFFIC_SENT,
                   LargeNet_PlaceOf(message->from, message->to),
                   message->size);
    if (!message->response) {
        message->opens_connection =
            *used == 0 ||
            LargeNet_Fleet->now - (cbw_time_t)(*used * Cbw_SEC) > IDLE_TIMEOUT;
        *used = (float)((double)LargeNet_Fleet->now / Cbw_SEC);
    }
    if (!message->opens_connection) {
        LargeNet_PutOnLink(message);
        return;
    }
    LargeNet_Fleet->connections++;
    from->traffic
        .connections_opened[LargeNet_PlaceOf(message->from, message->to)]++;
    push_at(message, STAGE_CONNECTED,
            work(from, LargeNet_Fleet->now, CONNECTION_COST) +
                2 * path_time(message->from, message->to));
}

/* The last byte of a message has reached the receiver's link. */
void
LargeNet_OnArrived(message_t *message)
{
    large_host_t *to = &LargeNet_Fleet->hosts[message->to];
    cbw_time_t at =
        pass_link(&to->input_until, to, LargeNet_Fleet->now, message->size);

    push_at(message, STAGE_RECEIVED,
            work(to, at,
                 message_cost(message->size) +
                     (message->opens_connection ? CONNECTION_COST : 0)));
}

message_t *
LargeNet_NewMessage(int from, int to, uint32_t kind, size_t count)
{
    message_t *message =
        g_malloc0(sizeof(*message) + count * sizeof(compact_t));

    message->from = from;
    message->to = to;
    message->kind = kind;
    message->target = -1;
    message->origin = -1;
    message->called_at = LargeNet_Fleet->now;
    message->limit = PROBE_TIME_LIMIT;
    message->to_life = LargeNet_Fleet->hosts[from].incarnation;
    message->count = count;
    return message;
}
