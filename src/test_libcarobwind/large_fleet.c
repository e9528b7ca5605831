#include "large_fleet.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "large_fleet_net.h"
#include "share/peer_rpc.h"

#define TICK (20 * Cbw_MSEC)
#define LIST_TIME_LIMIT (500 * Cbw_MSEC)
/* Time from the first messages until a host that joins takes work. */
#define PREPARE_TIME (900 * Cbw_MSEC)
#define STATE_ANNOUNCEMENTS 5

/* A probe or a response to one, with updates. */
static message_t *
new_probe(int from, int to)
{
    cbw_member_record_t updates[Cbw_MEMBER_UPDATES_MAX];
    cbw_membership_t *membership = &LargeNet_Fleet->hosts[from].membership;
    cbw_member_record_t target;
    size_t count;
    message_t *message;

    LargeNet_FillRecord(&target, to);
    count = CbwMembership_Piggyback(membership, target.name, updates,
                                    Cbw_MEMBER_UPDATES_MAX);
    message = LargeNet_NewMessage(from, to, PEER_PROBE, count + 1);
    message->records[0] = LargeNet_Compact(&membership->members[0].record);
    for (size_t i = 0; i < count; i++) {
        message->records[i + 1] = LargeNet_Compact(&updates[i]);
    }
    message->size =
        CALL_HEADER + 4 + 4 + 16 + 4 + message->count * LargeNet_MemberSize;
    return message;
}

static void
on_send_probe(void *context, const cbw_member_record_t *target,
              const cbw_member_record_t *via)
{
    int from = (int)(intptr_t)context;
    int to = LargeNet_IndexOf((via != NULL ? via : target)->name);
    message_t *message = new_probe(from, to);

    message->limit = CbwMembership_ProbeLimit(
        &LargeNet_Fleet->hosts[from].membership, LargeNet_Fleet->now, target);
    if (via != NULL) {
        message->target = LargeNet_IndexOf(target->name);
        message->size += 40;
    }
    LargeNet_Transmit(message);
}

static bool
is_running(int host)
{
    return !LargeNet_Fleet->hosts[host].down &&
           LargeNet_Fleet->now >= LargeNet_Fleet->hosts[host].paused_until;
}

static void
on_change(void *context, const cbw_member_record_t *member,
          cbw_member_state_t before)
{
    int observer = (int)(intptr_t)context;
    int host = LargeNet_IndexOf(member->name);
    bool wrong = is_running(host) && !LargeNet_Fleet->hosts[host].slow &&
                 LargeNet_CanReach(observer, host);

    (void)before;
    if (member->state == CBW_MEMBER_SUSPECT) {
        LargeNet_Fleet->suspicions += wrong;
    }
    else if (member->state == CBW_MEMBER_DEAD) {
        LargeNet_Fleet->deaths++;
        LargeNet_Fleet->false_deaths += wrong;
    }
}

static const cbw_membership_ops_t ops = {.send_probe = on_send_probe,
                                         .on_change = on_change};

static void
apply_updates(int host, const message_t *message, bool listed)
{
    cbw_membership_t *membership = &LargeNet_Fleet->hosts[host].membership;

    for (size_t i = 0; i < message->count; i++) {
        cbw_member_record_t record = LargeNet_Expand(&message->records[i]);
        if (listed) {
            CbwMembership_ApplyListed(membership, LargeNet_Fleet->now,
                                      &record);
        }
        else {
            CbwMembership_ApplyUpdate(membership, LargeNet_Fleet->now,
                                      &record);
        }
    }
}

/* Lists. */

static void
request_list(int from, int to)
{
    message_t *message = LargeNet_NewMessage(from, to, PEER_MEMBERS, 0);

    message->size = CALL_HEADER;
    LargeNet_Transmit(message);
}

static void
request_differing(int from, int to)
{
    const cbw_membership_t *membership =
        &LargeNet_Fleet->hosts[from].membership;
    message_t *message = LargeNet_NewMessage(from, to, PEER_MEMBERS_DIFF, 0);

    message->digest_count = CbwMembership_BucketCount(membership);
    message->digests = g_new(uint32_t, message->digest_count);
    CbwMembership_BucketDigests(membership, message->digests,
                                message->digest_count);
    message->size = CALL_HEADER + 4 + 4 * message->digest_count;
    LargeNet_Transmit(message);
}

static void
answer_list(const message_t *call)
{
    const cbw_membership_t *membership =
        &LargeNet_Fleet->hosts[call->to].membership;
    message_t *message = LargeNet_NewMessage(call->to, call->from, call->kind,
                                             membership->count);
    uint32_t own[Cbw_MEMBERSHIP_BUCKETS_MAX];

    message->count = 0;
    CbwMembership_BucketDigests(membership, own, call->digest_count);
    for (size_t i = 0; i < membership->count; i++) {
        const cbw_member_t *member = &membership->members[i];
        size_t bucket =
            call->digest_count > 0
                ? CbwMembership_BucketOf(member, call->digest_count)
                : 0;
        if (call->digest_count == 0 || own[bucket] != call->digests[bucket]) {
            message->records[message->count++] =
                LargeNet_Compact(&member->record);
        }
    }
    message->response = true;
    message->called_at = call->called_at;
    message->limit = call->limit;
    message->to_life = call->to_life;
    message->size = RESPONSE_HEADER + 4 + message->count * LargeNet_MemberSize;
    LargeNet_Transmit(message);
}

static void
answer_probe(const message_t *call)
{
    message_t *message;

    apply_updates(call->to, call, false);
    message = new_probe(call->to, call->from);
    if (call->target >= 0) {
        /* Probes on behalf of the caller, and answers after that. */
        message_t *second = new_probe(call->to, call->target);
        second->origin = call->from;
        second->target = -1;
        second->called_at = call->called_at;
        second->limit = call->limit;
        second->to_life = call->to_life;
        g_free(message);
        LargeNet_Transmit(second);
        return;
    }
    message->response = true;
    message->origin = call->origin;
    message->called_at = call->called_at;
    message->limit = call->limit;
    message->to_life = call->to_life;
    message->reached = true;
    message->target = call->to;
    LargeNet_Transmit(message);
}

static void
on_probe_response(const message_t *response)
{
    large_host_t *host = &LargeNet_Fleet->hosts[response->to];
    cbw_member_record_t target;

    if (LargeNet_Fleet->now - response->called_at > response->limit) {
        LargeNet_Fleet->late++;
        return;
    }
    apply_updates(response->to, response, false);
    if (response->origin >= 0) {
        message_t *message = new_probe(response->to, response->origin);
        message->response = true;
        message->called_at = response->called_at;
        message->limit = response->limit;
        message->to_life = response->to_life;
        message->target = response->target;
        LargeNet_Transmit(message);
        return;
    }
    LargeNet_FillRecord(&target, response->target);
    if (response->from == response->target) {
        CbwMembership_OnRoundTrip(&host->membership, LargeNet_Fleet->now,
                                  target.name,
                                  LargeNet_Fleet->now - response->called_at);
    }
    CbwMembership_OnAck(&host->membership, LargeNet_Fleet->now, target.name);
}

static void
deliver(message_t *message)
{
    large_host_t *host = &LargeNet_Fleet->hosts[message->to];

    if (host->down || !LargeNet_CanReach(message->from, message->to) ||
        (message->response && message->origin < 0 &&
         host->incarnation != message->to_life)) {
        return;
    }
    CbwTraffic_Add(&host->traffic, message->kind, CBW_TRAFFIC_RECEIVED,
                   LargeNet_PlaceOf(message->from, message->to),
                   message->size);
    if (message->kind == PEER_PROBE) {
        if (message->response) {
            on_probe_response(message);
        }
        else {
            answer_probe(message);
        }
    }
    else if (!message->response) {
        answer_list(message);
    }
    else if (LargeNet_Fleet->now - message->called_at <= LIST_TIME_LIMIT) {
        CbwMembership_OnList(&host->membership, LargeNet_Fleet->now,
                             message->count);
        apply_updates(message->to, message, true);
    }
}

static void
advance(message_t *message)
{
    switch (message->stage) {
    case STAGE_CONNECTED:
        LargeNet_PutOnLink(message);
        return;
    case STAGE_ARRIVED:
        LargeNet_OnArrived(message);
        return;
    case STAGE_RECEIVED:
        deliver(message);
        g_free(message->digests);
        g_free(message);
        return;
    }
}

/* The fleet. */

static void
start_host(int index, bool known)
{
    large_host_t *host = &LargeNet_Fleet->hosts[index];
    cbw_member_record_t self;

    LargeNet_FillRecord(&self, index);
    host->incarnation++;
    host->down = false;
    host->started_at = LargeNet_Fleet->now;
    host->busy_until = host->output_until = host->input_until =
        LargeNet_Fleet->now;
    g_assert_cmpint(
        CbwMembership_Init(&host->membership, &CbwMembership_DefaultSettings,
                           &ops, (void *)(intptr_t)index, self.name,
                           self.data_centre, self.address,
                           host->incarnation * 1000, (uint64_t)index + 1),
        ==, 0);
    for (int i = 0; i < LargeNet_Fleet->count; i++) {
        cbw_member_record_t record;
        LargeNet_FillRecord(&record, i);
        if (i == index) {
            continue;
        }
        if (known) {
            record.incarnation = 1000;
            CbwMembership_ApplyListed(&host->membership, LargeNet_Fleet->now,
                                      &record);
        }
        else {
            CbwMembership_ApplyListedHost(&host->membership,
                                          LargeNet_Fleet->now, &record);
        }
    }
    if (known) {
        for (size_t i = 0; i < host->membership.count; i++) {
            host->membership.members[i].transmissions_left = 0;
        }
    }
}

void
LargeFleet_Start(large_fleet_t *new_fleet, int count)
{
    LargeNet_Fleet = new_fleet;
    memset(LargeNet_Fleet, 0, sizeof(*LargeNet_Fleet));
    g_assert_cmpint(count, <=, LARGE_FLEET_HOSTS_MAX);
    LargeNet_Fleet->count = count;
    LargeNet_Fleet->now = Cbw_SEC;
    LargeNet_Fleet->hosts = g_new0(large_host_t, (size_t)count);
    LargeNet_UsedAt = g_new0(float, (size_t)count *LARGE_FLEET_HOSTS_MAX);
    LargeNet_MemberSize = LargeNet_MeasureMember();
    for (int i = 0; i < count; i++) {
        start_host(i, true);
    }
}

void
LargeFleet_Restart(large_fleet_t *restarted, int index, bool cold)
{
    large_host_t *host = &restarted->hosts[index];

    CbwMembership_Finish(&host->membership);
    start_host(index, false);
    CbwMembership_BeginJoining(&host->membership);
    for (int i = 0; i < restarted->count; i++) {
        LargeNet_UsedAt[index * LARGE_FLEET_HOSTS_MAX + i] = 0;
        LargeNet_UsedAt[i * LARGE_FLEET_HOSTS_MAX + index] = 0;
    }
    host->ready_at = LargeNet_Fleet->now + PREPARE_TIME;
    if (cold) {
        CbwMembership_DetectColdStart(&host->membership, LargeNet_Fleet->now);
    }
    else {
        /* Fetches the member lists of two hosts. */
        request_list(index, (index + 1) % restarted->count);
        request_list(index, (index + 2) % restarted->count);
    }
}

static void
announce_state(int index)
{
    cbw_membership_t *membership = &LargeNet_Fleet->hosts[index].membership;

    for (int i = 0; i < STATE_ANNOUNCEMENTS && membership->count > 1; i++) {
        size_t other = 1 + (size_t)CbwRandom_Below(&membership->random,
                                                   membership->count - 1);
        const cbw_member_record_t *member = &membership->members[other].record;
        if (member->state <= CBW_MEMBER_SUSPECT) {
            LargeNet_Transmit(
                new_probe(index, LargeNet_IndexOf(member->name)));
        }
    }
}

static void
tick_host(int index)
{
    large_host_t *host = &LargeNet_Fleet->hosts[index];
    const cbw_member_t *peer;

    if (host->down || LargeNet_Fleet->now < host->paused_until) {
        return;
    }
    /* A busy event loop delays the tick. */
    if (host->busy_until > LargeNet_Fleet->now + TICK) {
        return;
    }
    if (host->ready_at != 0 && LargeNet_Fleet->now >= host->ready_at) {
        host->ready_at = 0;
        CbwMembership_FinishJoining(&host->membership, LargeNet_Fleet->now);
        announce_state(index);
    }
    CbwMembership_Tick(&host->membership, LargeNet_Fleet->now);
    peer =
        CbwMembership_ChooseListPeer(&host->membership, LargeNet_Fleet->now);
    if (peer != NULL) {
        request_differing(index, LargeNet_IndexOf(peer->record.name));
    }
}

void
LargeFleet_Run(large_fleet_t *run, cbw_time_t length)
{
    cbw_time_t end = run->now + length;

    while (run->now < end) {
        cbw_time_t next = run->now + Cbw_MSEC;
        while (LargeNet_MessageCount > 0 && LargeNet_Messages[0]->at <= next) {
            message_t *message = LargeNet_Pop();
            if (message->at > run->now) {
                run->now = message->at;
            }
            advance(message);
        }
        run->now = next;
        /* Hosts tick at different times. */
        for (int i = (int)(next / Cbw_MSEC % 20); i < run->count; i += 20) {
            tick_host(i);
        }
    }
}

void
LargeFleet_Finish(large_fleet_t *finished)
{
    while (LargeNet_MessageCount > 0) {
        message_t *message = LargeNet_Pop();
        g_free(message->digests);
        g_free(message);
    }
    for (int i = 0; i < finished->count; i++) {
        CbwMembership_Finish(&finished->hosts[i].membership);
    }
    g_free(finished->hosts);
    g_free(LargeNet_UsedAt);
    g_free(LargeNet_Messages);
    LargeNet_Messages = NULL;
    LargeNet_MessageCapacity = 0;
}
