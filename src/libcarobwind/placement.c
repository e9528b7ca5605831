#include "carobwind/placement.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "carobwind/rendezvous.h"

/* Slots of the table for each member. */
#define TABLE_FACTOR 2
#define TABLE_MIN 16

static uint64_t
hash_name(const char *name)
{
    uint64_t hash = XXH64(name, strlen(name), 0);

    return hash != 0 ? hash : 1; /* 0: an empty slot, or no owner */
}

void
CbwPlacement_Finish(cbw_placement_t *placement)
{
    free(placement->databases);
    free(placement->members);
    memset(placement, 0, sizeof(*placement));
}

/* Databases. */

static void *
allocate(size_t count, size_t size)
{
    void *array = calloc(count, size);

    if (array == NULL) {
        abort();
    }
    return array;
}

/* Chooses the owner among all usable members. */
static void
place(const cbw_membership_t *membership, bool self_usable,
      cbw_placed_database_t *database)
{
    database->owner = 0;
    database->weight = 0;
    database->local = false;
    for (size_t i = 0; i < membership->count; i++) {
        const cbw_member_t *member = &membership->members[i];
        bool local;
        uint64_t weight;
        if (!(i == 0 && self_usable) &&
            !CbwMembership_IsUsable(membership, member)) {
            continue;
        }
        local = hash_name(member->record.data_centre) == database->data_centre;
        if (database->local && !local) {
            continue;
        }
        weight =
            CbwRendezvous_SeededWeight(database->seed, member->record.name);
        if (database->owner == 0 || local > database->local ||
            weight > database->weight) {
            database->owner = hash_name(member->record.name);
            database->weight = weight;
            database->local = local;
        }
    }
}

/* Sets up the databases of the inventory. Those that stay as they were keep
 * their owners. */
static void
apply_inventory(cbw_placement_t *placement, const cbw_membership_t *membership,
                const cbw_inventory_t *inventory, bool self_usable)
{
    size_t count = inventory->database_count;
    cbw_placed_database_t *databases = allocate(count + 1, sizeof(*databases));

    for (size_t i = 0; i < count; i++) {
        const cbw_database_t *from = &inventory->databases[i];
        cbw_placed_database_t *to = &databases[i];
        to->seed = CbwRendezvous_Seed(from->name);
        to->data_centre = hash_name(
            from->endpoint_count > 0 ? from->endpoints[0].data_centre : "");
        if (i < placement->database_count &&
            placement->databases[i].seed == to->seed &&
            placement->databases[i].data_centre == to->data_centre) {
            *to = placement->databases[i];
        }
        else {
            place(membership, self_usable, to);
        }
    }
    free(placement->databases);
    placement->databases = databases;
    placement->database_count = count;
}

/* Members. */

/* Returns the slot of a member, or the empty one where it belongs. */
static cbw_placed_member_t *
find_slot(cbw_placed_member_t *members, size_t capacity, uint64_t name)
{
    size_t slot = (size_t)name & (capacity - 1);

    while (members[slot].name != 0 && members[slot].name != name) {
        slot = (slot + 1) & (capacity - 1);
    }
    return &members[slot];
}

/* A member has become usable: it takes the databases for which it has the
 * highest weight. */
static void
on_usable(cbw_placement_t *placement, const cbw_member_record_t *record,
          const cbw_placed_member_t *member)
{
    for (size_t i = 0; i < placement->database_count; i++) {
        cbw_placed_database_t *database = &placement->databases[i];
        bool local = member->data_centre == database->data_centre;
        uint64_t weight;
        if (database->local && !local) {
            continue;
        }
        weight = CbwRendezvous_SeededWeight(database->seed, record->name);
        if (database->owner == 0 || local > database->local ||
            weight > database->weight) {
            database->owner = member->name;
            database->weight = weight;
            database->local = local;
        }
    }
}

/* Members are no longer usable: places the databases that they owned. */
static void
replace_owners(cbw_placement_t *placement, const cbw_membership_t *membership,
               bool self_usable)
{
    for (size_t i = 0; i < placement->database_count; i++) {
        cbw_placed_database_t *database = &placement->databases[i];
        const cbw_placed_member_t *owner;
        if (database->owner == 0) {
            continue;
        }
        owner = find_slot(placement->members, placement->capacity,
                          database->owner);
        if (owner->name == 0 || !owner->usable) {
            place(membership, self_usable, database);
        }
    }
}

/* Returns a table with the members of `membership`. */
static cbw_placed_member_t *
make_table(const cbw_membership_t *membership, bool self_usable,
           size_t *capacity)
{
    cbw_placed_member_t *members;

    *capacity = TABLE_MIN;
    while (*capacity < TABLE_FACTOR * membership->count) {
        *capacity *= 2;
    }
    members = allocate(*capacity, sizeof(*members));
    for (size_t i = 0; i < membership->count; i++) {
        const cbw_member_t *member = &membership->members[i];
        uint64_t name = hash_name(member->record.name);
        cbw_placed_member_t *slot = find_slot(members, *capacity, name);
        *slot = (cbw_placed_member_t){
            .name = name,
            .data_centre = hash_name(member->record.data_centre),
            .usable = (i == 0 && self_usable) ||
                      CbwMembership_IsUsable(membership, member),
        };
    }
    return members;
}

static void
apply_members(cbw_placement_t *placement, const cbw_membership_t *membership,
              bool self_usable)
{
    cbw_placed_member_t *before = placement->members;
    size_t capacity_before = placement->capacity;
    size_t capacity;
    cbw_placed_member_t *members =
        make_table(membership, self_usable, &capacity);

    placement->members = members;
    placement->capacity = capacity;
    replace_owners(placement, membership, self_usable);
    for (size_t i = 0; i < membership->count; i++) {
        const cbw_member_record_t *record = &membership->members[i].record;
        const cbw_placed_member_t *member =
            find_slot(members, capacity, hash_name(record->name));
        const cbw_placed_member_t *known =
            before != NULL ? find_slot(before, capacity_before, member->name)
                           : NULL;
        if (member->usable &&
            (known == NULL || known->name == 0 || !known->usable ||
             known->data_centre != member->data_centre)) {
            on_usable(placement, record, member);
        }
    }
    free(before);
}

void
CbwPlacement_Update(cbw_placement_t *placement,
                    const cbw_membership_t *membership,
                    const cbw_inventory_t *inventory, bool self_usable)
{
    placement->self = hash_name(membership->members[0].record.name);
    apply_members(placement, membership, self_usable);
    apply_inventory(placement, membership, inventory, self_usable);
}

bool
CbwPlacement_IsOwn(const cbw_placement_t *placement, size_t database)
{
    return database < placement->database_count &&
           placement->databases[database].owner == placement->self;
}
