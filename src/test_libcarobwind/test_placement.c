#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "carobwind/handover.h"
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
                       const cbw_regions_t *regions,
                       const cbw_inventory_t *inventory, bool self_usable)
{
    cbw_member_state_t state = membership->members[0].record.state;

    if (self_usable) {
        membership->members[0].record.state = CBW_MEMBER_ALIVE;
    }
    for (size_t i = 0; i < inventory->database_count; i++) {
        const cbw_database_t *database = &inventory->databases[i];
        const cbw_member_t *owner =
            regions != NULL
                ? CbwPlacement_FindOwner(membership, regions, database, NULL,
                                         NULL)
                : CbwMembership_FindOwner(membership, database->name,
                                          database->endpoints[0].data_centre,
                                          NULL, NULL);
        g_assert_cmpint(CbwPlacement_IsOwn(placement, i), ==,
                        owner == &membership->members[0]);
    }
    membership->members[0].record.state = state;
}

/* After random changes of members and of databases' data centres, the owners
 * are those that a search of all members finds. Without regions these are the
 * owners of CbwMembership_FindOwner. */
static void
check_random_changes(const cbw_regions_t *regions)
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
        CbwPlacement_Update(&placement, &membership, regions, &inventory,
                            self_usable);
        assert_like_membership(&placement, &membership, regions, &inventory,
                               self_usable);
    }
    CbwPlacement_Finish(&placement);
    CbwMembership_Finish(&membership);
    free(inventory.databases);
}

/* The last data centre has no host, but shares a region with others. */
static void
init_regions(cbw_regions_t *regions)
{
    static const char *const names[CENTRES + 1] = {"west", "west", "east",
                                                   "east", "west"};
    char centre[Cbw_NAME_MAX];

    memset(regions, 0, sizeof(*regions));
    for (int i = 0; i <= CENTRES; i++) {
        snprintf(centre, sizeof(centre), "c%d", i);
        g_assert_cmpint(CbwRegions_Add(regions, centre, names[i], NULL), ==,
                        0);
    }
}

static void
test_random_changes(void)
{
    check_random_changes(NULL);
}

static void
test_random_changes_in_regions(void)
{
    cbw_regions_t regions;

    init_regions(&regions);
    check_random_changes(&regions);
}

/* Guards against an owner outside the region while the region has a usable
 * host. */
static void
test_nearest_owner(void)
{
    static const struct {
        const char *home;
        const char *unusable; /* data centres whose hosts are dead */
        const char *expected; /* data centres that the owner may be in */
    } cases[] = {
        {"c0", "", "c0"},
        {"c2", "", "c2"},
        {"c0", "c0", "c1"},
        {"c0", "c0 c1", "c2 c3"},
        {"c4", "", "c0 c1"},
        {"c4", "c0", "c1"},
        {"c4", "c0 c1", "c2 c3"},
        {"c2", "c2", "c3"},
        {"elsewhere", "", "c0 c1 c2 c3"},
    };
    cbw_regions_t regions;

    init_regions(&regions);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cbw_membership_t membership;
        CbwMembership_Init(&membership, &CbwMembership_DefaultSettings, &ops,
                           NULL, "observer", "nowhere", "h:1", 1, 1);
        for (int host = 0; host < HOSTS; host++) {
            char centre[Cbw_NAME_MAX];
            snprintf(centre, sizeof(centre), "c%d", host % CENTRES);
            set_state(&membership, host,
                      strstr(cases[i].unusable, centre) != NULL
                          ? CBW_MEMBER_DEAD
                          : CBW_MEMBER_ALIVE,
                      2);
        }
        CbwMembership_BeginJoining(&membership);
        for (int j = 0; j < DATABASES; j++) {
            cbw_database_t database = {.endpoint_count = 0};
            const cbw_member_t *owner;
            snprintf(database.name, sizeof(database.name), "db%02d", j);
            snprintf(database.home, sizeof(database.home), "%s",
                     cases[i].home);
            owner = CbwPlacement_FindOwner(&membership, &regions, &database,
                                           NULL, NULL);
            g_assert_nonnull(owner);
            g_assert_nonnull(
                strstr(cases[i].expected, owner->record.data_centre));
        }
        CbwMembership_Finish(&membership);
    }
}

/* Guards against an owner that takes a database from a live holder, and
 * against a handover that never ends. */
static void
test_handover(void)
{
    enum { LEARN, OWN, SENT, READY, NOT_READY };
    static const struct {
        bool new_host; /* of another host */
        cbw_time_t at; /* milliseconds after the home moved */
        int event;     /* LEARN: of a home elsewhere, OWN: here */
        bool holds;
        bool may_leave;
        bool assigned; /* after the event */
        bool due;
    } cases[] = {
        /* The holder, from learning of the home to the next owner's tenure. */
        {true, 0, LEARN, true, false, true, false},
        {false, 3000, LEARN, true, true, true, true},
        {false, 3000, SENT, true, true, true, false},
        {false, 3900, NOT_READY, true, true, true, false},
        {false, 4500, LEARN, true, true, true, true},
        {false, 4500, SENT, true, true, true, false},
        {false, 4700, READY, true, true, false, false},
        {false, 9999, LEARN, true, true, false, false},
        /* The home is back before the next owner is ready. */
        {true, 0, LEARN, true, true, true, true},
        {false, 0, SENT, true, true, true, false},
        {false, 100, OWN, true, true, true, false},
        {false, 200, READY, true, true, true, false},
        /* A holder whose next owner never answers serves on unassigned. */
        {true, 9999, LEARN, true, true, true, true},
        {false, 10000, LEARN, true, true, false, false},
        /* The next owner waits, then holds the tenure or stops waiting. */
        {true, 0, OWN, false, true, false, false},
        {false, 9999, OWN, false, true, false, false},
        {false, 500, OWN, true, true, true, false},
        {false, 10000, OWN, false, true, true, false},
        /* A host that neither owns nor holds. */
        {true, 100, LEARN, false, true, false, false},
    };
    const cbw_time_t moved_at = 7 * Cbw_SEC;
    cbw_handover_t handover = {.moved_at = 0};

    /* A home that never moved: as in a fleet with one region. */
    CbwHandover_SetPlacement(&handover, true, 0);
    g_assert_true(CbwHandover_IsAssigned(&handover, 0, false));
    CbwHandover_SetPlacement(&handover, false, 0);
    g_assert_false(CbwHandover_IsAssigned(&handover, 0, true));
    g_assert_false(CbwHandover_IsDue(&handover, 0, true, true));
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cbw_time_t now = moved_at + cases[i].at * Cbw_MSEC;
        if (cases[i].new_host) {
            memset(&handover, 0, sizeof(handover));
        }
        switch (cases[i].event) {
        case LEARN:
        case OWN:
            CbwHandover_SetPlacement(&handover, cases[i].event == OWN,
                                     moved_at);
            break;
        case SENT:
            CbwHandover_OnSent(&handover);
            break;
        default:
            CbwHandover_OnAnswer(&handover, now, cases[i].event == READY);
            break;
        }
        g_test_message("case %zu", i);
        g_assert_cmpint(CbwHandover_IsAssigned(&handover, now, cases[i].holds),
                        ==, cases[i].assigned);
        g_assert_cmpint(CbwHandover_IsDue(&handover, now, cases[i].holds,
                                          cases[i].may_leave),
                        ==, cases[i].due);
    }
}

void
Suite_AddPlacement(void)
{
    g_test_add_func("/placement/random-changes-in-regions",
                    test_random_changes_in_regions);
    g_test_add_func("/placement/nearest-owner", test_nearest_owner);
    g_test_add_func("/placement/handover", test_handover);
    g_test_add_func("/placement/random-changes", test_random_changes);
}
