#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "carobwind/placement.h"
#include "suites.h"

#define HOSTS 40
#define DATABASES 60
#define CENTRES 4
#define CHANGES 2000

static void
on_probe(void *context, const cbw_member_record_t *target,
         const cbw_member_record_t *via)
{
    (void)context;
    (void)target;
    (void)via;
}

static void
on_change(void *context, const cbw_member_record_t *member,
          cbw_member_state_t before)
{
    (void)context;
    (void)member;
    (void)before;
}

static const cbw_membership_ops_t ops = {.send_probe = on_probe,
                                         .on_change = on_change};

static void
set_state(cbw_membership_t *membership, int host, cbw_member_state_t state,
          uint64_t incarnation)
{
    cbw_member_record_t record = {.state = state, .incarnation = incarnation};

    snprintf(record.name, sizeof(record.name), "h%d", host);
    snprintf(record.data_centre, sizeof(record.data_centre), "c%d",
             host % CENTRES);
    CbwMembership_ApplyUpdate(membership, Cbw_SEC, &record);
}

/* Moves the first endpoint of a database to a data centre; the last one has no
 * host. */
static void
set_centre(cbw_database_t *database, int centre)
{
    database->endpoint_count = 1;
    snprintf(database->endpoints[0].data_centre,
             sizeof(database->endpoints[0].data_centre), "c%d", centre);
}

static void
assert_like_membership(const cbw_placement_t *placement,
                       cbw_membership_t *membership,
                       const cbw_inventory_t *inventory, bool self_usable)
{
    cbw_member_state_t state = membership->members[0].record.state;

    if (self_usable) {
        membership->members[0].record.state = CBW_MEMBER_ALIVE;
    }
    for (size_t i = 0; i < inventory->database_count; i++) {
        const cbw_database_t *database = &inventory->databases[i];
        const cbw_member_t *owner = CbwMembership_FindOwner(
            membership, database->name, database->endpoints[0].data_centre,
            NULL, NULL);
        g_assert_cmpint(CbwPlacement_IsOwn(placement, i), ==,
                        owner == &membership->members[0]);
    }
    membership->members[0].record.state = state;
}

/* After random changes of members and of databases' data centres, the owners
 * are those that the membership names. */
static void
test_random_changes(void)
{
    cbw_membership_t membership;
    cbw_placement_t placement = {.databases = NULL};
    cbw_inventory_t inventory = {.database_count = DATABASES};
    cbw_random_t random;
    uint64_t incarnation = 1;
    bool self_usable = true;

    CbwRandom_Init(&random, 71);
    CbwMembership_Init(&membership, &CbwMembership_DefaultSettings, &ops, NULL,
                       "h0", "c0", "h0:1", 1, 1);
    CbwMembership_BeginJoining(&membership);
    inventory.databases = calloc(DATABASES, sizeof(cbw_database_t));
    g_assert_nonnull(inventory.databases);
    for (int i = 0; i < DATABASES; i++) {
        snprintf(inventory.databases[i].name, Cbw_NAME_MAX, "db%02d", i);
        set_centre(&inventory.databases[i], i % (CENTRES + 1));
    }
    for (int i = 0; i < CHANGES; i++) {
        int host = 1 + (int)CbwRandom_Below(&random, HOSTS - 1);
        switch (CbwRandom_Below(&random, 10)) {
        case 0:
            set_centre(
                &inventory.databases[CbwRandom_Below(&random, DATABASES)],
                (int)CbwRandom_Below(&random, CENTRES + 1));
            break;
        case 1:
            self_usable = !self_usable;
            break;
        case 2:
            inventory.database_count =
                DATABASES - (size_t)CbwRandom_Below(&random, 5);
            break;
        default:
            set_state(&membership, host,
                      (cbw_member_state_t)CbwRandom_Below(&random,
                                                          CBW_MEMBER_DEAD + 1),
                      ++incarnation);
            break;
        }
        CbwPlacement_Update(&placement, &membership, &inventory, self_usable);
        assert_like_membership(&placement, &membership, &inventory,
                               self_usable);
    }
    CbwPlacement_Finish(&placement);
    CbwMembership_Finish(&membership);
    free(inventory.databases);
}

void
Suite_AddPlacement(void)
{
    g_test_add_func("/placement/random-changes", test_random_changes);
}
