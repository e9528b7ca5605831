#include "carobwind/membership.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "carobwind/rendezvous.h"

const char *const CbwMembership_StateString[] = {"alive", "suspect", "leaving",
                                                 "dead"};

const cbw_membership_settings_t CbwMembership_DefaultSettings = {
    .probe_interval = 200 * Cbw_MSEC,
    .probe_timeout = 100 * Cbw_MSEC,
    .suspect_timeout = 600 * Cbw_MSEC,
    .forget_after = 60 * Cbw_SEC,
};

/* Members asked to probe in this host's place. */
#define INDIRECT_PROBES 3
/* Listed members that are probed in one tick before they were ever heard. */
#define UNHEARD_PROBES 4
/* A dead member is probed this often, so that healed partitions are found. */
#define DEAD_PROBE_INTERVAL (3 * Cbw_SEC)
/* The start is a cold one when less than one in so many members takes work: a
 * host that joins a fleet which serves learns of most from the first peer. */
#define COLD_PART 4
/* A change is sent this many times, for each power of two of the fleet. */
#define TRANSMISSIONS_FACTOR 1

/* First character of the names of endpoints, which are listed beside the
 * members while they leave. */
#define ENDPOINT_MARK '@'

/* Finds a member's index by name; -1 when unknown. */
static long
find_index(const cbw_membership_t *membership, const char *name)
{
    for (size_t i = 0; i < membership->count; i++) {
        if (strcmp(membership->members[i].record.name, name) == 0) {
            return (long)i;
        }
    }
    return -1;
}

static int
transmissions(const cbw_membership_t *membership)
{
    int bits = 1;

    for (size_t n = membership->count; n > 1; n /= 2) {
        bits++;
    }
    return TRANSMISSIONS_FACTOR * bits;
}

static cbw_member_t *
add_member(cbw_membership_t *membership, const cbw_member_record_t *change)
{
    cbw_member_t *member;
    size_t place;

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
    place = membership->count++;
    if (place > 1) {
        /* A random place: hosts must not probe in the same order. */
        size_t other = 1 + (size_t)CbwRandom_Below(&membership->random, place);
        membership->members[place] = membership->members[other];
        place = other;
    }
    member = &membership->members[place];
    memset(member, 0, sizeof(*member));
    member->record = *change;
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
    snprintf(self.name, sizeof(self.name), "%s", name);
    snprintf(self.data_centre, sizeof(self.data_centre), "%s", data_centre);
    snprintf(self.address, sizeof(self.address), "%s", address);
    member = add_member(membership, &self);
    if (member == NULL) {
        return -1;
    }
    member->transmissions_left = transmissions(membership);
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
    cbw_member_state_t before = member->record.state;

    member->record.state = state;
    member->record.incarnation = incarnation;
    member->changed_at = now;
    member->transmissions_left = transmissions(membership);
    if (state == before) {
        return;
    }
    /* A suspect keeps its work until it is found dead. */
    if (!(before == CBW_MEMBER_ALIVE && state == CBW_MEMBER_SUSPECT) &&
        !(before == CBW_MEMBER_SUSPECT && state == CBW_MEMBER_ALIVE)) {
        membership->epoch++;
    }
    membership->ops->on_change(membership->context, &member->record, before);
}

/* News about this host itself: a higher incarnation answers what is wrong. */
static void
hear_of_self(cbw_membership_t *membership, cbw_time_t now,
             const cbw_member_record_t *change)
{
    cbw_member_t *self = &membership->members[0];

    /* Of another incarnation: an earlier process of this name has left. */
    if (change->state == CBW_MEMBER_LEAVING &&
        change->incarnation == self->record.incarnation) {
        CbwMembership_Leave(membership, now);
        return;
    }
    if (change->incarnation < self->record.incarnation ||
        change->state == self->record.state) {
        return;
    }
    self->record.incarnation = change->incarnation + 1;
    self->changed_at = now;
    self->transmissions_left = transmissions(membership);
}

/* Whether the news outranks what is known: a higher incarnation, or within
 * the same one a worse state. */
static bool
is_newer(const cbw_member_record_t *change, const cbw_member_record_t *known)
{
    if (change->incarnation != known->incarnation) {
        return change->incarnation > known->incarnation;
    }
    return change->state > known->state;
}

static void
add_heard(cbw_membership_t *membership, cbw_time_t now,
          const cbw_member_record_t *change)
{
    cbw_member_t *member = add_member(membership, change);

    if (member == NULL) {
        return;
    }
    member->changed_at = now;
    member->transmissions_left = transmissions(membership);
    membership->epoch++;
    membership->ops->on_change(membership->context, &member->record,
                               CBW_MEMBER_DEAD);
}

void
CbwMembership_ApplyUpdate(cbw_membership_t *membership, cbw_time_t now,
                          const cbw_member_record_t *change)
{
    long index = find_index(membership, change->name);
    cbw_member_t *member;

    if (index == 0) {
        hear_of_self(membership, now, change);
        return;
    }
    if (index < 0) {
        if (change->state != CBW_MEMBER_DEAD) {
            add_heard(membership, now, change);
        }
        return;
    }
    member = &membership->members[index];
    if (!is_newer(change, &member->record)) {
        /* Someone takes it for alive that is not, perhaps itself. */
        if (change->state < member->record.state &&
            member->transmissions_left == 0) {
            member->transmissions_left = 1;
        }
        return;
    }
    memcpy(member->record.address, change->address, sizeof(change->address));
    memcpy(member->record.data_centre, change->data_centre,
           sizeof(change->data_centre));
    set_state(membership, now, member, change->state, change->incarnation);
}

void
CbwMembership_ApplyListedHost(cbw_membership_t *membership, cbw_time_t now,
                              const cbw_member_record_t *change)
{
    long index = find_index(membership, change->name);
    cbw_member_t *member;

    if (index < 0) {
        /* Counts as dead until it answers a probe: the list lags. */
        cbw_member_record_t listed = *change;
        listed.state = CBW_MEMBER_DEAD;
        listed.incarnation = 0;
        member = add_member(membership, &listed);
        if (member != NULL) {
            member->changed_at = now;
            membership->epoch += membership->cold_start_until != 0;
        }
        return;
    }
    member = &membership->members[index];
    if (change->state == CBW_MEMBER_LEAVING &&
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
                        cbw_member_record_t *changes, size_t limit)
{
    size_t count = 0;
    long index = target != NULL ? find_index(membership, target) : -1;
    size_t start =
        membership->count > 1
            ? (size_t)CbwRandom_Below(&membership->random, membership->count)
            : 0;

    /* The target learns what is said of it, and can answer. */
    if (index > 0 && limit > 0 &&
        membership->members[index].record.state != CBW_MEMBER_ALIVE) {
        changes[count++] = membership->members[index].record;
    }
    for (size_t i = 0; i < membership->count && count < limit; i++) {
        cbw_member_t *member =
            &membership->members[(start + i) % membership->count];
        if (member->transmissions_left > 0) {
            member->transmissions_left--;
            changes[count++] = member->record;
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
    size_t known = 0;
    size_t answering = 0;

    for (size_t i = 0; i < membership->count; i++) {
        const cbw_member_record_t *member = &membership->members[i].record;
        if (!CbwMembership_IsEndpoint(member)) {
            known++;
            answering += member->state != CBW_MEMBER_DEAD;
        }
    }
    return 2 * answering >= known;
}

void
CbwMembership_SetEndpointLeaving(cbw_membership_t *membership, cbw_time_t now,
                                 const char *address, bool leaving)
{
    cbw_member_record_t change = {.incarnation = 1};
    long index;

    change.state = leaving ? CBW_MEMBER_LEAVING : CBW_MEMBER_ALIVE;
    snprintf(change.name, sizeof(change.name), "%c%s", ENDPOINT_MARK, address);
    snprintf(change.address, sizeof(change.address), "%s", address);
    index = find_index(membership, change.name);
    if (index < 0) {
        if (leaving) {
            add_heard(membership, now, &change);
        }
        return;
    }
    if (membership->members[index].record.state != change.state) {
        set_state(membership, now, &membership->members[index], change.state,
                  membership->members[index].record.incarnation + 1);
    }
}

bool
CbwMembership_IsEndpointLeaving(const cbw_membership_t *membership,
                                const char *address)
{
    char name[Cbw_NAME_MAX];
    long index;

    snprintf(name, sizeof(name), "%c%s", ENDPOINT_MARK, address);
    index = find_index(membership, name);
    return index >= 0 &&
           membership->members[index].record.state == CBW_MEMBER_LEAVING;
}

bool
CbwMembership_IsEndpoint(const cbw_member_record_t *member)
{
    return member->name[0] == ENDPOINT_MARK;
}

static bool
can_probe(const cbw_member_t *member, cbw_time_t now)
{
    if (member->probe_sent_at != 0 ||
        CbwMembership_IsEndpoint(&member->record)) {
        return false;
    }
    return member->record.state != CBW_MEMBER_DEAD ||
           now - member->last_probe_at >= DEAD_PROBE_INTERVAL;
}

static void
probe(cbw_membership_t *membership, cbw_time_t now, cbw_member_t *member)
{
    member->probe_sent_at = now;
    member->last_probe_at = now;
    member->indirect_sent = false;
    membership->ops->send_probe(membership->context, &member->record, NULL);
}

/* Probes some of the listed members that were never heard of. */
static void
probe_unheard(cbw_membership_t *membership, cbw_time_t now)
{
    int probed = 0;

    for (size_t i = 1; i < membership->count && probed < UNHEARD_PROBES; i++) {
        cbw_member_t *member = &membership->members[i];
        if (member->last_probe_at == 0 && member->record.incarnation == 0) {
            probe(membership, now, member);
            probed++;
        }
    }
}

/* Round robin from a random start, which bounds the time until each member
 * has been probed. */
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
        if (can_probe(member, now)) {
            probe(membership, now, member);
            return;
        }
    }
}

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

static void
check_probe(cbw_membership_t *membership, cbw_time_t now, cbw_member_t *member)
{
    const cbw_membership_settings_t *settings = &membership->settings;
    cbw_time_t waited = now - member->probe_sent_at;

    if (member->probe_sent_at == 0) {
        return;
    }
    if (!member->indirect_sent && waited >= settings->probe_timeout) {
        member->indirect_sent = true;
        probe_indirectly(membership, member);
    }
    if (waited >= 3 * settings->probe_timeout) {
        member->probe_sent_at = 0;
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

static void
check_members(cbw_membership_t *membership, cbw_time_t now)
{
    const cbw_membership_settings_t *settings = &membership->settings;

    for (size_t i = 1; i < membership->count; i++) {
        cbw_member_t *member = &membership->members[i];
        cbw_time_t since = now - member->changed_at;
        check_probe(membership, now, member);
        if (member->record.state == CBW_MEMBER_SUSPECT &&
            since >= settings->suspect_timeout) {
            set_state(membership, now, member, CBW_MEMBER_DEAD,
                      member->record.incarnation);
        }
        else if (member->record.state == CBW_MEMBER_DEAD &&
                 since >= settings->forget_after) {
            membership->members[i--] =
                membership->members[--membership->count];
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
    check_members(membership, now);
    probe_unheard(membership, now);
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

/* Whether the member is listed, and neither has answered nor failed to. */
static bool
is_unheard(const cbw_member_t *member)
{
    return member->record.incarnation == 0 &&
           (member->last_probe_at == 0 || member->probe_sent_at != 0);
}

/* Whether work may go to the member. */
static bool
is_usable(const cbw_membership_t *membership, const cbw_member_t *member)
{
    if (CbwMembership_IsEndpoint(&member->record)) {
        return false;
    }
    return member->record.state <= CBW_MEMBER_SUSPECT ||
           (membership->cold_start_until != 0 &&
            (member->record.state == CBW_MEMBER_LEAVING ||
             is_unheard(member)));
}

void
CbwMembership_DetectColdStart(cbw_membership_t *membership, cbw_time_t now)
{
    size_t known = 0;
    size_t serving = 0;

    for (size_t i = 1; i < membership->count; i++) {
        const cbw_member_t *member = &membership->members[i];
        if (!CbwMembership_IsEndpoint(&member->record)) {
            known++;
            serving += is_usable(membership, member);
        }
    }
    if (serving * COLD_PART < known) {
        membership->cold_start_until =
            now + Cbw_MEMBERSHIP_COLD_START_DURATION;
        membership->epoch++;
    }
}

int
CbwMembership_RoleIndex(const cbw_membership_t *membership, const char *role)
{
    uint64_t own =
        CbwRendezvous_Weight(role, membership->members[0].record.name);
    int rank = 0;

    for (size_t i = 1; i < membership->count; i++) {
        const cbw_member_t *member = &membership->members[i];
        if (is_usable(membership, member) &&
            CbwRendezvous_Weight(role, member->record.name) > own) {
            rank++;
        }
    }
    return rank;
}

bool
CbwMembership_HasUsable(const cbw_membership_t *membership,
                        const char *data_centre)
{
    for (size_t i = 0; i < membership->count; i++) {
        const cbw_member_t *member = &membership->members[i];
        if (is_usable(membership, member) &&
            strcmp(member->record.data_centre, data_centre) == 0) {
            return true;
        }
    }
    return false;
}

/* The first in rendezvous order; `data_centre` is NULL for all of them. */
static const cbw_member_t *
first_in_order(const cbw_membership_t *membership, const char *database,
               const char *data_centre, cbw_member_filter_t skip,
               void *context)
{
    const cbw_member_t *best = NULL;
    uint64_t best_weight = 0;

    for (size_t i = 0; i < membership->count; i++) {
        const cbw_member_t *member = &membership->members[i];
        uint64_t weight;
        if (!is_usable(membership, member) ||
            (data_centre != NULL &&
             strcmp(member->record.data_centre, data_centre) != 0) ||
            (skip != NULL && skip(context, member->record.name))) {
            continue;
        }
        weight = CbwRendezvous_Weight(database, member->record.name);
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
                        cbw_member_filter_t skip, void *context)
{
    const cbw_member_t *near =
        first_in_order(membership, database, data_centre, skip, context);

    return near != NULL
               ? near
               : first_in_order(membership, database, NULL, skip, context);
}
