#include "carobwind/placement.h"

#include <stdio.h>
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

/* Returns the hash of a data centre's region; 0: it has none. */
static uint64_t
hash_region(const cbw_regions_t *regions, const char *data_centre)
{
    const char *region = CbwRegions_Find(regions, data_centre);

    return region[0] != '\0' ? hash_name(region) : 0;
}

static cbw_nearness_t
nearness_of(const cbw_placed_database_t *database, uint64_t data_centre,
            uint64_t region)
{
    if (data_centre == database->data_centre) {
        return CBW_NEARNESS_DATA_CENTRE;
    }
    return region != 0 && region == database->region ? CBW_NEARNESS_REGION
                                                     : CBW_NEARNESS_ELSEWHERE;
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

/* Makes a member, an entry of the table, the owner if it is nearer than the
 * present one, or as near and of a higher weight. */
static void
offer_database(cbw_placed_database_t *database,
               const cbw_placed_member_t *member, const char *name)
{
    cbw_nearness_t nearness =
        nearness_of(database, member->data_centre, member->region);
    uint64_t weight;

    if (database->owner != 0 && nearness < database->nearness) {
        return;
    }
    weight = CbwRendezvous_SeededWeight(database->seed, name);
    if (database->owner == 0 || nearness > database->nearness ||
        weight > database->weight) {
        database->owner = member->name;
        database->weight = weight;
        database->nearness = nearness;
    }
}

/* Chooses the owner among all usable members. */
static void
place(const cbw_placement_t *placement, const cbw_membership_t *membership,
      cbw_placed_database_t *database)
{
    database->owner = 0;
    database->weight = 0;
    database->nearness = CBW_NEARNESS_ELSEWHERE;
    for (size_t i = 0; i < membership->count; i++) {
        const char *name = membership->members[i].record.name;
        const cbw_placed_member_t *member = find_slot(
            placement->members, placement->capacity, hash_name(name));
        if (member->usable) {
            offer_database(database, member, name);
        }
    }
}

/* Sets up the databases of the inventory. Unchanged ones keep their owners. */
static void
apply_inventory(cbw_placement_t *placement, const cbw_membership_t *membership,
                const cbw_regions_t *regions, const cbw_inventory_t *inventory)
{
    size_t count = inventory->database_count;
    cbw_placed_database_t *databases = allocate(count + 1, sizeof(*databases));

    for (size_t i = 0; i < count; i++) {
        const cbw_database_t *from = &inventory->databases[i];
        cbw_placed_database_t *to = &databases[i];
        to->seed = CbwRendezvous_Seed(from->name);
        to->data_centre = hash_name(CbwInventory_Home(from));
        to->region = hash_region(regions, CbwInventory_Home(from));
        if (i < placement->database_count &&
            placement->databases[i].seed == to->seed &&
            placement->databases[i].data_centre == to->data_centre) {
            *to = placement->databases[i];
        }
        else {
            place(placement, membership, to);
        }
    }
    free(placement->databases);
    placement->databases = databases;
    placement->database_count = count;
}

/* Members. */

/* A member has become usable: it takes the databases for which it has the
 * highest weight. */
static void
on_usable(cbw_placement_t *placement, const char *name,
          const cbw_placed_member_t *member)
{
    for (size_t i = 0; i < placement->database_count; i++) {
        offer_database(&placement->databases[i], member, name);
    }
}

/* Members are no longer usable: places the databases that they owned. */
static void
replace_owners(cbw_placement_t *placement, const cbw_membership_t *membership)
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
            place(placement, membership, database);
        }
    }
}

/* Returns a table with the members of `membership`. */
static cbw_placed_member_t *
make_table(const cbw_membership_t *membership, const cbw_regions_t *regions,
           bool self_usable, size_t *capacity)
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
            .region = hash_region(regions, member->record.data_centre),
            .usable = (i == 0 && self_usable) ||
                      CbwMembership_IsUsable(membership, member),
        };
    }
    return members;
}

static void
apply_members(cbw_placement_t *placement, const cbw_membership_t *membership,
              const cbw_regions_t *regions, bool self_usable)
{
    cbw_placed_member_t *before = placement->members;
    size_t capacity_before = placement->capacity;
    size_t capacity;
    cbw_placed_member_t *members =
        make_table(membership, regions, self_usable, &capacity);

    placement->members = members;
    placement->capacity = capacity;
    replace_owners(placement, membership);
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
            on_usable(placement, record->name, member);
        }
    }
    free(before);
}

void
CbwPlacement_Update(cbw_placement_t *placement,
                    const cbw_membership_t *membership,
                    const cbw_regions_t *regions,
                    const cbw_inventory_t *inventory, bool self_usable)
{
    placement->self = hash_name(membership->members[0].record.name);
    apply_members(placement, membership, regions, self_usable);
    apply_inventory(placement, membership, regions, inventory);
}

bool
CbwPlacement_IsOwn(const cbw_placement_t *placement, size_t database)
{
    return database < placement->database_count &&
           placement->databases[database].owner == placement->self;
}

const cbw_member_t *
CbwPlacement_FindOwner(const cbw_membership_t *membership,
                       const cbw_regions_t *regions,
                       const cbw_database_t *database,
                       cbw_member_filter_t is_excluded, void *context)
{
    const char *home = CbwInventory_Home(database);
    uint64_t seed = CbwRendezvous_Seed(database->name);
    const cbw_member_t *best = NULL;
    cbw_nearness_t best_nearness = CBW_NEARNESS_ELSEWHERE;
    uint64_t best_weight = 0;

    if (regions == NULL || !regions->several) {
        return CbwMembership_FindOwner(membership, database->name, home,
                                       is_excluded, context);
    }
    for (size_t i = 0; i < membership->count; i++) {
        const cbw_member_t *member = &membership->members[i];
        const char *data_centre = member->record.data_centre;
        cbw_nearness_t nearness = CBW_NEARNESS_ELSEWHERE;
        uint64_t weight;
        if (strcmp(data_centre, home) == 0) {
            nearness = CBW_NEARNESS_DATA_CENTRE;
        }
        else if (CbwRegions_IsSame(regions, data_centre, home)) {
            nearness = CBW_NEARNESS_REGION;
        }
        if ((best != NULL && nearness < best_nearness) ||
            !CbwMembership_IsUsable(membership, member) ||
            (is_excluded != NULL &&
             is_excluded(context, member->record.name))) {
            continue;
        }
        weight = CbwRendezvous_SeededWeight(seed, member->record.name);
        if (best == NULL || nearness > best_nearness || weight > best_weight) {
            best = member;
            best_nearness = nearness;
            best_weight = weight;
        }
    }
    return best;
}

const cbw_member_t *
CbwPlacement_FindReadDispatcher(const cbw_membership_t *membership,
                                const cbw_regions_t *regions,
                                const cbw_database_t *database,
                                const char *data_centre)
{
    const cbw_endpoint_t *endpoint =
        CbwRegions_FindReadEndpoint(regions, database, data_centre);
    const cbw_member_t *found;
    cbw_database_t role = {.endpoint_count = 0};

    if (endpoint == NULL) {
        return NULL;
    }
    /* Another order than that of the owners. The end of a long name is left
     * out. */
    snprintf(role.name, sizeof(role.name), "reads/%.41s", database->name);
    snprintf(role.home, sizeof(role.home), "%s", endpoint->data_centre);
    found = CbwPlacement_FindOwner(membership, regions, &role, NULL, NULL);
    return found != NULL && CbwRegions_IsSame(regions, data_centre,
                                              found->record.data_centre)
               ? found
               : NULL;
}
