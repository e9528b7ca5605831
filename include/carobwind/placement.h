/* The owner of each database, updated incrementally as members join and leave.
 *
 * Load pattern: hundreds of hosts that serve hundreds of databases restart in
 * turn or start at once. Each change of a member moves few databases, but
 * choosing all owners anew costs hosts times databases on every host. A
 * placement evaluates only the members that changed.
 *
 * The owners are those of CbwPlacement_FindOwner. The module does no I/O. */
#ifndef CAROBWIND_PLACEMENT_H
#define CAROBWIND_PLACEMENT_H

#include "carobwind/inventory.h"
#include "carobwind/membership.h"
#include "carobwind/region.h"

/* Proximity of a host to a database's home. */
typedef enum {
    CBW_NEARNESS_ELSEWHERE,
    CBW_NEARNESS_REGION,
    CBW_NEARNESS_DATA_CENTRE,
} cbw_nearness_t;

/* A database and its owner. Hosts and data centres are named by the hashes of
 * their names. */
typedef struct {
    uint64_t seed;           /* of the weights */
    uint64_t data_centre;    /* its home */
    uint64_t region;         /* of its home; 0: none */
    uint64_t owner;          /* 0: none */
    uint64_t weight;         /* of the owner */
    cbw_nearness_t nearness; /* of the owner */
} cbw_placed_database_t;

/* A member as of the last update. */
typedef struct {
    uint64_t name;
    uint64_t data_centre;
    uint64_t region; /* 0: none */
    bool usable;
    bool seen; /* in the membership that is being applied */
} cbw_placed_member_t;

/* Owns its arrays. Zero is its initial state. */
typedef struct {
    cbw_placed_database_t *databases; /* in the inventory's order */
    size_t database_count;
    cbw_placed_member_t *members; /* hash table by name */
    size_t capacity;              /* of the table: a power of two */
    uint64_t self;
} cbw_placement_t;

/* Frees what the placement owns. */
void CbwPlacement_Finish(cbw_placement_t *placement);
/* Applies a membership and an inventory. `regions`, which may be NULL, must be
 * the same in all calls. `self_usable`: this host counts as usable in any
 * state. */
void CbwPlacement_Update(cbw_placement_t *placement,
                         const cbw_membership_t *membership,
                         const cbw_regions_t *regions,
                         const cbw_inventory_t *inventory, bool self_usable);
/* Returns whether this host owns the database with that index in the inventory
 * that was applied last. */
bool CbwPlacement_IsOwn(const cbw_placement_t *placement, size_t database);
/* Returns the owner of a database, chosen among all members: the first usable
 * one in rendezvous order of the database's home, else of the home's region,
 * else of all. NULL: there is none. Members for which `is_excluded` returns
 * true are skipped; it may be NULL. */
const cbw_member_t *CbwPlacement_FindOwner(const cbw_membership_t *membership,
                                           const cbw_regions_t *regions,
                                           const cbw_database_t *database,
                                           cbw_member_filter_t is_excluded,
                                           void *context);
/* Returns the read dispatcher of a database for callers in `data_centre`: the
 * first usable member in rendezvous order in the data centre of the endpoint
 * that CbwRegions_FindReadEndpoint returns, else in that region. NULL: there
 * is none. */
const cbw_member_t *CbwPlacement_FindReadDispatcher(
    const cbw_membership_t *membership, const cbw_regions_t *regions,
    const cbw_database_t *database, const char *data_centre);

#endif
