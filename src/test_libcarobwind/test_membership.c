#include <glib.h>
#include <string.h>

#include "carobwind/membership.h"
#include "suites.h"

#define HOSTS_MAX 24
#define STEP (10 * Cbw_MSEC)

/* A fleet in virtual time. Messages arrive at once, unless the network drops
 * them. */
typedef struct {
    int count;
    cbw_membership_t members[HOSTS_MAX];
    bool down[HOSTS_MAX]; /* frozen or dead */
    int side[HOSTS_MAX];  /* hosts of different sides do not reach another */
    cbw_time_t now;
} fleet_t;

static fleet_t fleet;

static int
host_number(const char *name)
{
    return (int)g_ascii_strtoll(name + 1, NULL, 10);
}

static bool
reaches(int from, int to)
{
    return !fleet.down[from] && !fleet.down[to] &&
           fleet.side[from] == fleet.side[to];
}

static void
carry(int from, int to)
{
    cbw_member_record_t changes[Cbw_MEMBER_UPDATES_MAX];
    char name[8];
    size_t count;

    g_snprintf(name, sizeof(name), "h%d", to);
    count = CbwMembership_Piggyback(&fleet.members[from], name, changes,
                                    Cbw_MEMBER_UPDATES_MAX);
    CbwMembership_ApplyUpdate(&fleet.members[to], fleet.now,
                              &fleet.members[from].members[0].record);
    for (size_t i = 0; i < count; i++) {
        CbwMembership_ApplyUpdate(&fleet.members[to], fleet.now, &changes[i]);
    }
}

static void
exchange(int from, int to)
{
    carry(from, to);
    carry(to, from);
}

/* A probe on its way; it arrives after the tick that sent it. */
typedef struct {
    int from;
    int to;
    int via; /* -1: none */
} probe_t;

static probe_t probes[1024];
static int probe_count;

static void
op_probe(void *context, const cbw_member_record_t *target,
         const cbw_member_record_t *via)
{
    g_assert_cmpint(probe_count, <, (int)G_N_ELEMENTS(probes));
    probes[probe_count++] =
        (probe_t){.from = (int)(intptr_t)context,
                  .to = host_number(target->name),
                  .via = via != NULL ? host_number(via->name) : -1};
}

static void
arrive(const probe_t *probe)
{
    int from = probe->from;
    int to = probe->to;
    int first = probe->via >= 0 ? probe->via : to;
    char name[8];

    if (!reaches(from, first)) {
        return;
    }
    exchange(from, first);
    if (first != to) {
        if (!reaches(first, to)) {
            return;
        }
        exchange(first, to);
    }
    g_snprintf(name, sizeof(name), "h%d", to);
    CbwMembership_OnAck(&fleet.members[from], fleet.now, name);
}

static void
op_changed(void *context, const cbw_member_record_t *member,
           cbw_member_state_t before)
{
    (void)context;
    (void)member;
    (void)before;
}

static const cbw_membership_ops_t ops = {.send_probe = op_probe,
                                         .on_change = op_changed};

static void
start_host(int i, uint64_t incarnation)
{
    char name[8];
    char address[24];

    g_snprintf(name, sizeof(name), "h%d", i);
    g_snprintf(address, sizeof(address), "127.0.0.%d:7100", i + 1);
    g_assert_cmpint(CbwMembership_Init(&fleet.members[i],
                                       &CbwMembership_DefaultSettings, &ops,
                                       (void *)(intptr_t)i, name,
                                       i % 2 ? "south" : "north", address,
                                       incarnation, (uint64_t)i + 1),
                    ==, 0);
    for (int j = 0; j < fleet.count; j++) {
        cbw_member_record_t listed = {.state = CBW_MEMBER_ALIVE};
        g_snprintf(listed.name, sizeof(listed.name), "h%d", j);
        g_snprintf(listed.data_centre, sizeof(listed.data_centre), "%s",
                   j % 2 ? "south" : "north");
        if (j != i) {
            CbwMembership_ApplyListedHost(&fleet.members[i], fleet.now,
                                          &listed);
        }
    }
}

static void
start_fleet(int count)
{
    memset(&fleet, 0, sizeof(fleet));
    fleet.count = count;
    fleet.now = Cbw_SEC;
    for (int i = 0; i < count; i++) {
        start_host(i, 100);
    }
}

static void
run_for(cbw_time_t length)
{
    cbw_time_t end = fleet.now + length;

    while (fleet.now < end) {
        fleet.now += STEP;
        for (int i = 0; i < fleet.count; i++) {
            if (!fleet.down[i]) {
                CbwMembership_Tick(&fleet.members[i], fleet.now);
            }
        }
        for (int i = 0; i < probe_count; i++) {
            arrive(&probes[i]);
        }
        probe_count = 0;
    }
}

static void
finish_fleet(void)
{
    for (int i = 0; i < fleet.count; i++) {
        CbwMembership_Finish(&fleet.members[i]);
    }
}

static cbw_member_state_t
seen_state(int by, int of)
{
    char name[8];
    const cbw_member_t *member;

    g_snprintf(name, sizeof(name), "h%d", of);
    member = CbwMembership_Find(&fleet.members[by], name);
    return member != NULL ? member->record.state : CBW_MEMBER_DEAD;
}

/* How many running hosts see `of` in `state`. */
static int
count_seen(int of, cbw_member_state_t state)
{
    int count = 0;

    for (int i = 0; i < fleet.count; i++) {
        count += i != of && !fleet.down[i] && seen_state(i, of) == state;
    }
    return count;
}

static void
test_joins(void)
{
    start_fleet(HOSTS_MAX);
    run_for(3 * Cbw_SEC);
    for (int i = 0; i < fleet.count; i++) {
        g_assert_cmpint(count_seen(i, CBW_MEMBER_ALIVE), ==, HOSTS_MAX - 1);
    }
    finish_fleet();
}

static void
test_death_is_found(void)
{
    start_fleet(16);
    run_for(3 * Cbw_SEC);
    fleet.down[5] = true;
    run_for(4 * Cbw_SEC);
    g_assert_cmpint(count_seen(5, CBW_MEMBER_DEAD), ==, 15);
    finish_fleet();
}

static void
test_thawed_host_returns(void)
{
    start_fleet(16);
    run_for(3 * Cbw_SEC);
    fleet.down[5] = true;
    run_for(4 * Cbw_SEC);
    fleet.down[5] = false;
    run_for(5 * Cbw_SEC);
    g_assert_cmpint(count_seen(5, CBW_MEMBER_ALIVE), ==, 15);
    finish_fleet();
}

static void
test_partition_heals(void)
{
    start_fleet(16);
    run_for(3 * Cbw_SEC);
    for (int i = 0; i < 4; i++) {
        fleet.side[i] = 1;
    }
    run_for(5 * Cbw_SEC);
    g_assert_cmpint(seen_state(0, 10), ==, CBW_MEMBER_DEAD);
    g_assert_cmpint(seen_state(10, 0), ==, CBW_MEMBER_DEAD);
    for (int i = 0; i < 4; i++) {
        fleet.side[i] = 0;
    }
    run_for(10 * Cbw_SEC);
    for (int i = 0; i < fleet.count; i++) {
        g_assert_cmpint(count_seen(i, CBW_MEMBER_ALIVE), ==, 15);
    }
    finish_fleet();
}

static void
test_one_way_trouble_is_no_death(void)
{
    start_fleet(8);
    run_for(3 * Cbw_SEC);
    /* One host is slow to answer once: suspicion is refuted. */
    fleet.down[3] = true;
    run_for(400 * Cbw_MSEC);
    fleet.down[3] = false;
    run_for(5 * Cbw_SEC);
    g_assert_cmpint(count_seen(3, CBW_MEMBER_ALIVE), ==, 7);
    finish_fleet();
}

static void
test_leaving_spreads(void)
{
    start_fleet(16);
    run_for(3 * Cbw_SEC);
    CbwMembership_Leave(&fleet.members[2], fleet.now);
    run_for(1500 * Cbw_MSEC);
    g_assert_cmpint(count_seen(2, CBW_MEMBER_LEAVING), ==, 15);
    for (int i = 0; i < fleet.count; i++) {
        const cbw_member_t *owner = CbwMembership_FindOwner(
            &fleet.members[i], "any", "north", NULL, NULL);
        g_assert_cmpstr(owner->record.name, !=, "h2");
    }
    finish_fleet();
}

static void
test_endpoint_leaving_spreads(void)
{
    start_fleet(16);
    run_for(3 * Cbw_SEC);
    CbwMembership_SetEndpointLeaving(&fleet.members[0], fleet.now,
                                     "127.0.9.1:7400", true);
    run_for(2 * Cbw_SEC);
    for (int i = 0; i < fleet.count; i++) {
        g_assert_true(CbwMembership_IsEndpointLeaving(&fleet.members[i],
                                                      "127.0.9.1:7400"));
    }
    CbwMembership_SetEndpointLeaving(&fleet.members[3], fleet.now,
                                     "127.0.9.1:7400", false);
    run_for(2 * Cbw_SEC);
    for (int i = 0; i < fleet.count; i++) {
        g_assert_false(CbwMembership_IsEndpointLeaving(&fleet.members[i],
                                                       "127.0.9.1:7400"));
    }
    finish_fleet();
}

/* All hosts name the same owner, one in the wanted data centre, and little
 * moves when a host dies. */
static void
test_owner_agreement(void)
{
    const char *before[50] = {NULL};
    int moved = 0;

    start_fleet(16);
    run_for(3 * Cbw_SEC);
    for (int d = 0; d < 50; d++) {
        char database[16];
        g_snprintf(database, sizeof(database), "db%d", d);
        for (int i = 0; i < fleet.count; i++) {
            const cbw_member_t *owner = CbwMembership_FindOwner(
                &fleet.members[i], database, "south", NULL, NULL);
            g_assert_cmpstr(owner->record.data_centre, ==, "south");
            if (i == 0) {
                before[d] = g_strdup(owner->record.name);
            }
            g_assert_cmpstr(owner->record.name, ==, before[d]);
        }
    }
    fleet.down[5] = true;
    run_for(4 * Cbw_SEC);
    for (int d = 0; d < 50; d++) {
        char database[16];
        const cbw_member_t *owner;
        g_snprintf(database, sizeof(database), "db%d", d);
        owner = CbwMembership_FindOwner(&fleet.members[0], database, "south",
                                        NULL, NULL);
        g_assert_cmpstr(owner->record.name, !=, "h5");
        moved += strcmp(owner->record.name, before[d]) != 0 &&
                 strcmp(before[d], "h5") != 0;
        g_free((char *)before[d]);
    }
    g_assert_cmpint(moved, ==, 0);
    finish_fleet();
}

static void
assert_one_owner(void)
{
    for (int d = 0; d < 50; d++) {
        char database[16];
        const char *first = NULL;
        g_snprintf(database, sizeof(database), "db%d", d);
        for (int i = 0; i < fleet.count; i++) {
            const cbw_member_t *owner = CbwMembership_FindOwner(
                &fleet.members[i], database, "south", NULL, NULL);
            if (fleet.down[i]) {
                continue;
            }
            g_assert_nonnull(owner);
            first = first != NULL ? first : owner->record.name;
            g_assert_cmpstr(owner->record.name, ==, first);
        }
    }
}

/* After a loss of power of all, hosts know each other from the list only: they
 * name the same owners before they have heard of each other. */
static void
test_cold_start(void)
{
    start_fleet(16);
    for (int i = 0; i < fleet.count; i++) {
        CbwMembership_BeginJoining(&fleet.members[i]);
        CbwMembership_DetectColdStart(&fleet.members[i], fleet.now);
    }
    assert_one_owner();
    run_for(200 * Cbw_MSEC);
    assert_one_owner();
    for (int i = 0; i < fleet.count; i++) {
        CbwMembership_FinishJoining(&fleet.members[i], fleet.now);
        run_for(STEP);
        assert_one_owner();
    }
    run_for(3 * Cbw_SEC);
    assert_one_owner();
    g_assert_cmpint(fleet.members[0].cold_start_until, ==, 0);
    finish_fleet();
}

/* A listed host that does not come owns nothing once its probe has failed. */
static void
test_cold_start_without_one(void)
{
    start_fleet(8);
    fleet.down[5] = true;
    for (int i = 0; i < fleet.count; i++) {
        CbwMembership_BeginJoining(&fleet.members[i]);
        CbwMembership_DetectColdStart(&fleet.members[i], fleet.now);
    }
    run_for(500 * Cbw_MSEC);
    for (int d = 0; d < 50; d++) {
        char database[16];
        g_snprintf(database, sizeof(database), "db%d", d);
        g_assert_cmpstr(CbwMembership_FindOwner(&fleet.members[0], database,
                                                "south", NULL, NULL)
                            ->record.name,
                        !=, "h5");
    }
    finish_fleet();
}

/* A host that joins a fleet that serves does not take it for a cold start. */
static void
test_joining_is_not_cold(void)
{
    start_fleet(8);
    run_for(2 * Cbw_SEC);
    CbwMembership_Finish(&fleet.members[7]);
    start_host(7, 200);
    CbwMembership_BeginJoining(&fleet.members[7]);
    run_for(200 * Cbw_MSEC);
    CbwMembership_DetectColdStart(&fleet.members[7], fleet.now);
    g_assert_cmpint(fleet.members[7].cold_start_until, ==, 0);
    finish_fleet();
}

void
Suite_AddMembership(void)
{

    g_test_add_func("/membership/joins", test_joins);
    g_test_add_func("/membership/death", test_death_is_found);
    g_test_add_func("/membership/thaw", test_thawed_host_returns);
    g_test_add_func("/membership/heal", test_partition_heals);
    g_test_add_func("/membership/refute", test_one_way_trouble_is_no_death);
    g_test_add_func("/membership/leaving", test_leaving_spreads);
    g_test_add_func("/membership/endpoint-leaving",
                    test_endpoint_leaving_spreads);
    g_test_add_func("/membership/owner", test_owner_agreement);
    g_test_add_func("/membership/cold-start", test_cold_start);
    g_test_add_func("/membership/cold-start-without-one",
                    test_cold_start_without_one);
    g_test_add_func("/membership/joining-is-not-cold",
                    test_joining_is_not_cold);
}
