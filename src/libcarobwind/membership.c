#include "carobwind/membership.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "carobwind/rendezvous.h"
#include "private/membership.h"

const char *const CbwMembership_StateString[] = {"alive", "suspect", "leaving",
                                                 "dead"};

const cbw_membership_settings_t CbwMembership_DefaultSettings = {
    .probe_interval = 200 * Cbw_MSEC,
    .probe_timeout = 100 * Cbw_MSEC,
    .suspect_timeout = 600 * Cbw_MSEC,
    .forget_after = 60 * Cbw_SEC,
};

/* Number of members that send indirect probes to an unresponsive member. */
#define INDIRECT_PROBES 3
/* Longest interval between ticks that does not count as a delay. */
#define TICK_INTERVAL (20 * Cbw_MSEC)
/* Maximum number of first probes to listed members in one tick. */
#define FIRST_PROBES_PER_TICK 4
/* Interval of probes to a dead member, which detect the end of a partition. */
#define DEAD_PROBE_INTERVAL (3 * Cbw_SEC)
/* A start is cold when fewer than one in this many members are usable. A
 * host that joins a running fleet learns of most of its members from the first
 * peer, so its share of usable members is well above this. */
#define COLD_START_DIVISOR 4
/* An update is sent this many times for each bit of the number of members. */
#define RETRANSMIT_FACTOR 1

/* A host with more unsent updates than this, or in a cold start, fetches lists
 * at this interval. A random time of up to the same length is added to it. */
#define LIST_BACKLOG Cbw_MEMBER_UPDATES_MAX
#define LIST_INTERVAL (150 * Cbw_MSEC)
/* How long it continues after the backlog, to get the last changes. */
#define LIST_LINGER (600 * Cbw_MSEC)
/* Otherwise the interval is this time for each member: missed updates are
 * delivered, at the same cost per second in a fleet of any size. */
#define LIST_PERIOD_PER_MEMBER (100 * Cbw_MSEC)
/* One list in this many comes from any data centre, the others from this
 * host's own, to limit the traffic between data centres. */
#define REMOTE_LIST_DIVISOR 3
/* Transmissions of an update from a list; few, as others fetch lists too. */
#define LIST_TRANSMISSIONS 2

/* First character of the names of endpoint records, which are kept beside the
 * members while the endpoints leave. */
#define ENDPOINT_NAME_PREFIX '@'

static uint32_t
hash_name(const char *name)
{
    return XXH32(name, strlen(name), 0);
}

/* Returns the index of a record by name, or -1 when there is none. */
static long
find_index(const cbw_membership_t *membership, const char *name)
{
    uint32_t hash = hash_name(name);

    for (size_t i = 0; i < membership->count; i++) {
        if (membership->members[i].name_hash == hash &&
            strcmp(membership->members[i].record.name, name) == 0) {
            return (long)i;
        }
    }
    return -1;
}

/* Returns how many times an update is sent, which grows with the logarithm of
 * the number of members. */
static int
retransmit_limit(const cbw_membership_t *membership)
{
    int bits = 1;

    for (size_t n = membership->count; n > 1; n /= 2) {
        bits++;
    }
    return RETRANSMIT_FACTOR * bits;
}

/* Adds a record. Returns NULL when memory ran out. */
static cbw_member_t *
add_member(cbw_membership_t *membership, const cbw_member_record_t *record)
{
    cbw_member_t *member;
    size_t index;

    if (membership->count == membership->capacity) {
        size_t capacity = membership->capacity ? 2 * membership->capacity : 16;
        cbw_member_t *members =
            realloc(membership->members, capacity * sizeof(*members));
        if (members == NULL) {
            return NULL;
        }
        membership->members = members;
        membership->capacity = capacity;
    }
    index = membership->count++;
    if (index > 1) {
        /* Inserted at random, so that hosts do not probe in the same order. */
        size_t other = 1 + (size_t)CbwRandom_Below(&membership->random, index);
        membership->members[index] = membership->members[other];
        index = other;
    }
    member = &membership->members[index];
    memset(member, 0, sizeof(*member));
    member->record = *record;
    member->name_hash = hash_name(record->name);
    membership->watch_stale = true;
    return member;
}

int
CbwMembership_Init(cbw_membership_t *membership,
                   const cbw_membership_settings_t *settings,
                   const cbw_membership_ops_t *ops, void *context,
                   const char *name, const char *data_centre,
                   const char *address, uint64_t incarnation, uint64_t seed)
{
    cbw_member_record_t self = {.state = CBW_MEMBER_ALIVE,
                                .incarnation = incarnation};
    cbw_member_t *member;

    memset(membership, 0, sizeof(*membership));
    membership->ops = ops;
    membership->context = context;
    membership->settings = *settings;
    membership->epoch = 1;
    CbwRandom_Init(&membership->random, seed);
    CbwRandom_Init(&membership->list_random, seed + 1);
    snprintf(self.name, sizeof(self.name), "%s", name);
    snprintf(self.data_centre, sizeof(self.data_centre), "%s", data_centre);
    snprintf(self.address, sizeof(self.address), "%s", address);
    member = add_member(membership, &self);
    if (member == NULL) {
        return -1;
    }
    member->transmissions_left = retransmit_limit(membership);
    return 0;
}

void
CbwMembership_Finish(cbw_membership_t *membership)
{
    free(membership->members);
    memset(membership, 0, sizeof(*membership));
}

static void
set_state(cbw_membership_t *membership, cbw_time_t now, cbw_member_t *member,
          cbw_member_state_t state, uint64_t incarnation)
{
    cbw_member_state_t old_state = member->record.state;

    member->record.state = state;
    member->record.incarnation = incarnation;
    member->changed_at = now;
    member->transmissions_left = retransmit_limit(membership);
    if (state == old_state) {
        return;
    }
    /* A suspect remains an owner until it is declared dead. */
    if (!(old_state == CBW_MEMBER_ALIVE && state == CBW_MEMBER_SUSPECT) &&
        !(old_state == CBW_MEMBER_SUSPECT && state == CBW_MEMBER_ALIVE)) {
        membership->epoch++;
    }
    membership->ops->on_change(membership->context, &member->record,
                               old_state);
}

/* Applies an update about this host. A wrong state is refuted with a higher
 * incarnation. */
static void
apply_update_about_self(cbw_membership_t *membership, cbw_time_t now,
                        const cbw_member_record_t *update)
{
    cbw_member_t *self = &membership->members[0];

    /* A leaving record of another incarnation is about an earlier process of
     * this name. */
    if (update->state == CBW_MEMBER_LEAVING &&
        update->incarnation == self->record.incarnation) {
        CbwMembership_Leave(membership, now);
        return;
    }
    if (update->incarnation < self->record.incarnation ||
        update->state == self->record.state) {
        return;
    }
    self->record.incarnation = update->incarnation + 1;
    self->changed_at = now;
    self->transmissions_left = retransmit_limit(membership);
}

/* Returns whether an update supersedes the current record: it has a higher
 * incarnation or, within the same one, a worse state. */
static bool
supersedes(const cbw_member_record_t *update,
           const cbw_member_record_t *current)
{
    if (update->incarnation != current->incarnation) {
        return update->incarnation > current->incarnation;
    }
    return update->state > current->state;
}

/* Adds a record that was not known, and gossips it. */
static void
add_and_announce(cbw_membership_t *membership, cbw_time_t now,
                 const cbw_member_record_t *record)
{
    cbw_member_t *member = add_member(membership, record);

    if (member == NULL) {
        return;
    }
    member->changed_at = now;
    member->transmissions_left = retransmit_limit(membership);
    membership->epoch++;
    membership->ops->on_change(membership->context, &member->record,
                               CBW_MEMBER_DEAD);
}

void
CbwMembership_ApplyUpdate(cbw_membership_t *membership, cbw_time_t now,
                          const cbw_member_record_t *update)
{
    long index = find_index(membership, update->name);
    cbw_member_t *member;

    if (index == 0) {
        apply_update_about_self(membership, now, update);
        return;
    }
    if (index < 0) {
        if (update->state != CBW_MEMBER_DEAD) {
            add_and_announce(membership, now, update);
        }
        return;
    }
    member = &membership->members[index];
    if (!supersedes(update, &member->record)) {
        /* The sender believes the member to be in a better state than the
         * current record says, because its information is older; the sender
         * may be the member itself. The record is sent once more. */
        if (update->state < member->record.state &&
            member->transmissions_left == 0) {
            member->transmissions_left = 1;
        }
        return;
    }
    memcpy(member->record.address, update->address, sizeof(update->address));
    memcpy(member->record.data_centre, update->data_centre,
           sizeof(update->data_centre));
    if (update->incarnation > member->record.incarnation) {
        /* Only the member itself raises it, so it was alive after the probe in
         * flight was sent. When all hosts start, those not up yet at the probe
         * would otherwise be declared dead once they are. */
        member->probe_sent_at = 0;
    }
    set_state(membership, now, member, update->state, update->incarnation);
}

void
CbwMembership_ApplyListed(cbw_membership_t *membership, cbw_time_t now,
                          const cbw_member_record_t *update)
{
    long index = find_index(membership, update->name);
    uint64_t incarnation =
        index > 0 ? membership->members[index].record.incarnation : 0;
    cbw_member_state_t state =
        index > 0 ? membership->members[index].record.state : CBW_MEMBER_DEAD;

    CbwMembership_ApplyUpdate(membership, now, update);
    index = find_index(membership, update->name);
    if (index > 0 &&
        (membership->members[index].record.incarnation != incarnation ||
         membership->members[index].record.state != state)) {
        membership->members[index].transmissions_left = LIST_TRANSMISSIONS;
    }
}

/* Returns whether more updates wait than the next messages carry, or this is a
 * cold start. */
static bool
has_backlog(const cbw_membership_t *membership)
{
    size_t backlog = 0;

    for (size_t i = 0; i < membership->count; i++) {
        backlog += membership->members[i].transmissions_left > 0;
    }
    return backlog > LIST_BACKLOG || membership->cold_start_until != 0;
}

const cbw_member_t *
CbwMembership_ChooseListPeer(cbw_membership_t *membership, cbw_time_t now)
{
    cbw_random_t *random = &membership->list_random;
    cbw_time_t interval = LIST_INTERVAL;
    bool local;

    if (now < membership->next_list_at || now < membership->list_budget_at) {
        return NULL;
    }
    if (has_backlog(membership)) {
        membership->lists_until = now + LIST_LINGER;
    }
    if (now >= membership->lists_until) {
        if (now < membership->next_regular_list_at) {
            return NULL;
        }
        interval = LIST_PERIOD_PER_MEMBER * (cbw_time_t)membership->count;
    }
    interval += (cbw_time_t)CbwRandom_Below(random, (uint64_t)interval);
    membership->next_list_at =
        now + LIST_INTERVAL +
        (cbw_time_t)CbwRandom_Below(random, LIST_INTERVAL);
    membership->next_regular_list_at = now + interval;
    local = CbwRandom_Below(random, REMOTE_LIST_DIVISOR) != 0;
    for (size_t tries = 0; tries < 2 * membership->count; tries++) {
        const cbw_member_t *member =
            &membership->members[CbwRandom_Below(random, membership->count)];
        if (member != &membership->members[0] &&
            member->record.state != CBW_MEMBER_DEAD &&
            !CbwMembership_IsEndpoint(&member->record) &&
            (!local || tries >= membership->count ||
             strcmp(member->record.data_centre,
                    membership->members[0].record.data_centre) == 0)) {
            return member;
        }
    }
    return NULL;
}

void
CbwMembership_ApplyListedHost(cbw_membership_t *membership, cbw_time_t now,
                              const cbw_member_record_t *host)
{
    long index = find_index(membership, host->name);
    cbw_member_t *member;

    if (index < 0) {
        /* The list may be out of date: the host counts as dead until it
         * answers a probe. */
        cbw_member_record_t listed = *host;
        listed.state = CBW_MEMBER_DEAD;
        listed.incarnation = 0;
        member = add_member(membership, &listed);
        if (member != NULL) {
            member->changed_at = now;
            /* During a cold start the host counts as usable, so that it may
             * be an owner. */
            membership->epoch += membership->cold_start_until != 0;
        }
        return;
    }
    member = &membership->members[index];
    if (host->state == CBW_MEMBER_LEAVING &&
        member->record.state < CBW_MEMBER_LEAVING) {
        set_state(membership, now, member, CBW_MEMBER_LEAVING,
                  member->record.incarnation);
    }
}

void
CbwMembership_OnAck(cbw_membership_t *membership, cbw_time_t now,
                    const char *name)
{
    long index = find_index(membership, name);

    (void)now;
    if (index > 0) {
        membership->members[index].probe_sent_at = 0;
    }
}

size_t
CbwMembership_Piggyback(cbw_membership_t *membership, const char *target,
                        cbw_member_record_t *updates, size_t limit)
{
    size_t count = 0;
    long index = target != NULL ? find_index(membership, target) : -1;
    size_t start =
        membership->count > 1
            ? (size_t)CbwRandom_Below(&membership->random, membership->count)
            : 0;

    /* Tells the target the state that this host has of it, so that it can
     * refute it. */
    if (index > 0 && limit > 0 &&
        membership->members[index].record.state != CBW_MEMBER_ALIVE) {
        updates[count++] = membership->members[index].record;
    }
    for (size_t i = 0; i < membership->count && count < limit; i++) {
        cbw_member_t *member =
            &membership->members[(start + i) % membership->count];
        if (member->transmissions_left > 0) {
            member->transmissions_left--;
            updates[count++] = member->record;
        }
    }
    return count;
}

void
CbwMembership_Leave(cbw_membership_t *membership, cbw_time_t now)
{
    cbw_member_t *self = &membership->members[0];

    if (self->record.state == CBW_MEMBER_LEAVING) {
        return;
    }
    set_state(membership, now, self, CBW_MEMBER_LEAVING,
              self->record.incarnation + 1);
}

void
CbwMembership_BeginJoining(cbw_membership_t *membership)
{
    membership->members[0].record.state = CBW_MEMBER_LEAVING;
}

void
CbwMembership_FinishJoining(cbw_membership_t *membership, cbw_time_t now)
{
    cbw_member_t *self = &membership->members[0];

    set_state(membership, now, self, CBW_MEMBER_ALIVE,
              self->record.incarnation + 1);
}

bool
CbwMembership_HasOtherAlive(const cbw_membership_t *membership)
{
    for (size_t i = 1; i < membership->count; i++) {
        const cbw_member_record_t *member = &membership->members[i].record;
        if (member->state == CBW_MEMBER_ALIVE &&
            !CbwMembership_IsEndpoint(member)) {
            return true;
        }
    }
    return false;
}

bool
CbwMembership_IsHalfReachable(const cbw_membership_t *membership)
{
    size_t total = 0;
    size_t answering = 0;

    for (size_t i = 0; i < membership->count; i++) {
        const cbw_member_record_t *member = &membership->members[i].record;
        if (!CbwMembership_IsEndpoint(member)) {
            total++;
            answering += member->state != CBW_MEMBER_DEAD;
        }
    }
    return 2 * answering >= total && !CbwMembership_IsSampleLost_(membership);
}

void
CbwMembership_SetEndpointLeaving(cbw_membership_t *membership, cbw_time_t now,
                                 const char *address, bool leaving)
{
    cbw_member_record_t record = {.incarnation = 1};
    long index;

    record.state = leaving ? CBW_MEMBER_LEAVING : CBW_MEMBER_ALIVE;
    snprintf(record.name, sizeof(record.name), "%c%s", ENDPOINT_NAME_PREFIX,
             address);
    snprintf(record.address, sizeof(record.address), "%s", address);
    index = find_index(membership, record.name);
    if (index < 0) {
        if (leaving) {
            add_and_announce(membership, now, &record);
        }
        return;
    }
    if (membership->members[index].record.state != record.state) {
        set_state(membership, now, &membership->members[index], record.state,
                  membership->members[index].record.incarnation + 1);
    }
}

bool
CbwMembership_IsEndpointLeaving(const cbw_membership_t *membership,
                                const char *address)
{
    char name[Cbw_NAME_MAX];
    long index;

    snprintf(name, sizeof(name), "%c%s", ENDPOINT_NAME_PREFIX, address);
    index = find_index(membership, name);
    return index >= 0 &&
           membership->members[index].record.state == CBW_MEMBER_LEAVING;
}

bool
CbwMembership_IsEndpoint(const cbw_member_record_t *record)
{
    return record->name[0] == ENDPOINT_NAME_PREFIX;
}

/* Returns whether the member is due for another probe. */
static bool
is_probe_due(const cbw_member_t *member, cbw_time_t now)
{
    if (member->probe_sent_at != 0 || !member->watched ||
        CbwMembership_IsEndpoint(&member->record)) {
        return false;
    }
    return member->record.state != CBW_MEMBER_DEAD ||
           now - member->last_probe_at >= DEAD_PROBE_INTERVAL;
}

static void
send_probe_to(cbw_membership_t *membership, cbw_time_t now,
              cbw_member_t *member)
{
    member->probe_sent_at = now;
    member->last_probe_at = now;
    member->indirect_sent = false;
    membership->ops->send_probe(membership->context, &member->record, NULL);
}

/* Probes some of the listed members that were never probed before. */
static void
send_first_probes(cbw_membership_t *membership, cbw_time_t now)
{
    int probed = 0;

    for (size_t i = 1; i < membership->count && probed < FIRST_PROBES_PER_TICK;
         i++) {
        cbw_member_t *member = &membership->members[i];
        if (member->last_probe_at == 0 && member->record.incarnation == 0 &&
            member->watched) {
            send_probe_to(membership, now, member);
            probed++;
        }
    }
}

/* Probes the next member that is due. Round robin over the members, which are
 * in random order, bounds the time until each has been probed. */
static void
probe_next(cbw_membership_t *membership, cbw_time_t now)
{
    for (size_t i = 0; i < membership->count; i++) {
        cbw_member_t *member;
        membership->next_probe_index++;
        if (membership->next_probe_index >= membership->count) {
            membership->next_probe_index = 1;
        }
        if (membership->count < 2) {
            return;
        }
        member = &membership->members[membership->next_probe_index];
        if (is_probe_due(member, now)) {
            send_probe_to(membership, now, member);
            return;
        }
    }
}

/* Asks a few random alive members to probe `target`. */
static void
probe_indirectly(cbw_membership_t *membership, const cbw_member_t *target)
{
    int asked = 0;

    for (int tries = 0; tries < 4 * INDIRECT_PROBES; tries++) {
        size_t index = 1 + (size_t)CbwRandom_Below(&membership->random,
                                                   membership->count - 1);
        const cbw_member_t *via = &membership->members[index];
        if (via == target || CbwMembership_IsEndpoint(&via->record) ||
            via->record.state != CBW_MEMBER_ALIVE) {
            continue;
        }
        membership->ops->send_probe(membership->context, &target->record,
                                    &via->record);
        if (++asked == INDIRECT_PROBES) {
            return;
        }
    }
}

/* Sends indirect probes when a probe is overdue; later suspects the member, or
 * declares it dead if it was leaving. */
static void
check_probe(cbw_membership_t *membership, cbw_time_t now, cbw_member_t *member)
{
    cbw_time_t elapsed = now - member->probe_sent_at;

    if (member->probe_sent_at == 0) {
        return;
    }
    if (!member->indirect_sent &&
        elapsed >=
            CbwMembership_IndirectAfter_(membership, now, &member->record)) {
        member->indirect_sent = true;
        probe_indirectly(membership, member);
    }
    if (elapsed >=
        CbwMembership_ProbeLimit(membership, now, &member->record)) {
        member->probe_sent_at = 0;
        /* During a cold start a listed host counts as usable until its first
         * probe times out. */
        membership->epoch += membership->cold_start_until != 0 &&
                             member->record.incarnation == 0;
        if (member->record.state == CBW_MEMBER_ALIVE) {
            set_state(membership, now, member, CBW_MEMBER_SUSPECT,
                      member->record.incarnation);
        }
        else if (member->record.state == CBW_MEMBER_LEAVING) {
            set_state(membership, now, member, CBW_MEMBER_DEAD,
                      member->record.incarnation);
        }
    }
}

/* Handles the timeouts of probes, of suspicion and of dead members' records.
 */
static void
check_members(cbw_membership_t *membership, cbw_time_t now)
{
    const cbw_membership_settings_t *settings = &membership->settings;
    cbw_time_t suspect_limit = CbwMembership_SuspectLimit_(membership, now);
    /* In a small fleet the age is that of the state before check_probe: a
     * member that has just become a suspect there is declared dead at once,
     * for faster detection. In a large fleet, and on a delayed host, a suspect
     * has the time limit to refute the suspicion. */
    bool waits_for_refutation =
        CbwMembership_IsLarge_(membership) ||
        CbwLocalHealth_Delay(&membership->health, now) > 0;

    for (size_t i = 1; i < membership->count; i++) {
        cbw_member_t *member = &membership->members[i];
        cbw_time_t in_state_for = now - member->changed_at;
        check_probe(membership, now, member);
        if (waits_for_refutation) {
            in_state_for = now - member->changed_at;
        }
        if (member->record.state == CBW_MEMBER_SUSPECT &&
            in_state_for >= suspect_limit) {
            set_state(membership, now, member, CBW_MEMBER_DEAD,
                      member->record.incarnation);
        }
        else if (member->record.state == CBW_MEMBER_DEAD &&
                 in_state_for >= settings->forget_after) {
            membership->members[i--] =
                membership->members[--membership->count];
            membership->watch_stale = true;
        }
    }
}

void
CbwMembership_Tick(cbw_membership_t *membership, cbw_time_t now)
{
    if (membership->cold_start_until != 0 &&
        now >= membership->cold_start_until) {
        membership->cold_start_until = 0;
        membership->epoch++;
    }
    CbwLocalHealth_OnTick(&membership->health, now, TICK_INTERVAL);
    CbwMembership_UpdateWatch_(membership);
    check_members(membership, now);
    send_first_probes(membership, now);
    if (now >= membership->next_probe_at) {
        membership->next_probe_at = now + membership->settings.probe_interval;
        probe_next(membership, now);
    }
}

const cbw_member_t *
CbwMembership_Find(const cbw_membership_t *membership, const char *name)
{
    long index = find_index(membership, name);

    return index < 0 ? NULL : &membership->members[index];
}

/* Returns whether the member is known from a list only and its first probe is
 * neither answered nor timed out. */
static bool
is_first_probe_pending(const cbw_member_t *member)
{
    return member->record.incarnation == 0 &&
           (member->last_probe_at == 0 || member->probe_sent_at != 0);
}

bool
CbwMembership_IsUsable(const cbw_membership_t *membership,
                       const cbw_member_t *member)
{
    if (CbwMembership_IsEndpoint(&member->record)) {
        return false;
    }
    return member->record.state <= CBW_MEMBER_SUSPECT ||
           (membership->cold_start_until != 0 &&
            (member->record.state == CBW_MEMBER_LEAVING ||
             is_first_probe_pending(member)));
}

void
CbwMembership_DetectColdStart(cbw_membership_t *membership, cbw_time_t now)
{
    size_t total = 0;
    size_t usable = 0;

    for (size_t i = 1; i < membership->count; i++) {
        const cbw_member_t *member = &membership->members[i];
        if (!CbwMembership_IsEndpoint(&member->record)) {
            total++;
            usable += CbwMembership_IsUsable(membership, member);
        }
    }
    if (usable * COLD_START_DIVISOR < total) {
        membership->cold_start_until =
            now + (CbwMembership_IsLarge_(membership)
                       ? Cbw_MEMBERSHIP_COLD_START_DURATION_LARGE
                       : Cbw_MEMBERSHIP_COLD_START_DURATION);
        membership->epoch++;
    }
}

int
CbwMembership_RoleIndex(const cbw_membership_t *membership, const char *role)
{
    uint64_t own_weight =
        CbwRendezvous_Weight(role, membership->members[0].record.name);
    int preceding = 0;

    for (size_t i = 1; i < membership->count; i++) {
        const cbw_member_t *member = &membership->members[i];
        if (CbwMembership_IsUsable(membership, member) &&
            CbwRendezvous_Weight(role, member->record.name) > own_weight) {
            preceding++;
        }
    }
    return preceding;
}

size_t
CbwMembership_PeerOrder(const cbw_membership_t *membership, const char *role,
                        const char *data_centre, const cbw_member_t **peers,
                        size_t limit, size_t *rank)
{
    const cbw_member_record_t *self = &membership->members[0].record;
    uint64_t own_weight = CbwRendezvous_Weight(role, self->name);
    uint64_t weights[Cbw_PEER_ORDER_MAX];
    size_t count = 0;

    *rank = 0;
    limit = limit < Cbw_PEER_ORDER_MAX ? limit : Cbw_PEER_ORDER_MAX;
    for (size_t i = 1; i < membership->count; i++) {
        const cbw_member_t *member = &membership->members[i];
        uint64_t weight;
        size_t place = count;
        if (CbwMembership_IsEndpoint(&member->record) ||
            (member->record.state == CBW_MEMBER_DEAD &&
             !is_first_probe_pending(member)) ||
            (data_centre != NULL &&
             strcmp(member->record.data_centre, data_centre) != 0)) {
            continue;
        }
        weight = CbwRendezvous_Weight(role, member->record.name);
        *rank += weight > own_weight;
        while (place > 0 && weights[place - 1] < weight) {
            place--;
        }
        if (place == limit) {
            continue;
        }
        count += count < limit;
        for (size_t j = count - 1; j > place; j--) {
            weights[j] = weights[j - 1];
            peers[j] = peers[j - 1];
        }
        weights[place] = weight;
        peers[place] = member;
    }
    return count;
}

bool
CbwMembership_HasUsable(const cbw_membership_t *membership,
                        const char *data_centre)
{
    for (size_t i = 0; i < membership->count; i++) {
        const cbw_member_t *member = &membership->members[i];
        if (CbwMembership_IsUsable(membership, member) &&
            strcmp(member->record.data_centre, data_centre) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns the first usable member in rendezvous order, of one data centre or,
 * when `data_centre` is NULL, of all. */
static const cbw_member_t *
first_in_rendezvous_order(const cbw_membership_t *membership,
                          const char *database, const char *data_centre,
                          cbw_member_filter_t is_excluded, void *context)
{
    const cbw_member_t *best = NULL;
    uint64_t best_weight = 0;
    uint64_t seed = CbwRendezvous_Seed(database);

    for (size_t i = 0; i < membership->count; i++) {
        const cbw_member_t *member = &membership->members[i];
        uint64_t weight;
        if (!CbwMembership_IsUsable(membership, member) ||
            (data_centre != NULL &&
             strcmp(member->record.data_centre, data_centre) != 0) ||
            (is_excluded != NULL &&
             is_excluded(context, member->record.name))) {
            continue;
        }
        weight = CbwRendezvous_SeededWeight(seed, member->record.name);
        if (best == NULL || weight > best_weight) {
            best = member;
            best_weight = weight;
        }
    }
    return best;
}

const cbw_member_t *
CbwMembership_FindOwner(const cbw_membership_t *membership,
                        const char *database, const char *data_centre,
                        cbw_member_filter_t is_excluded, void *context)
{
    const cbw_member_t *local_owner = first_in_rendezvous_order(
        membership, database, data_centre, is_excluded, context);

    return local_owner != NULL
               ? local_owner
               : first_in_rendezvous_order(membership, database, NULL,
                                           is_excluded, context);
}
