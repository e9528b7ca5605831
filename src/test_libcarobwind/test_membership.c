#include <glib.h>
#include <string.h>

#include "carobwind/membership.h"
#include "carobwind/rendezvous.h"
#include "suites.h"

#define HOSTS_MAX 96
#define TICK_INTERVAL (10 * Cbw_MSEC)
#define SETTLE_TIME (600 * Cbw_MSEC)

/* A simulated fleet in virtual time. Messages are delivered at once, or
 * dropped when a host is down or in another partition. */
typedef struct {
    int count;
    cbw_membership_t members[HOSTS_MAX];
    bool is_down[HOSTS_MAX];  /* frozen or dead */
    int partition[HOSTS_MAX]; /* hosts of different partitions can't reach each
                                 other */
    cbw_time_t now;
} fleet_t;

static fleet_t fleet;
static int lists_fetched;

static int
host_index(const char *name)
{
    return (int)g_ascii_strtoll(name + 1, NULL, 10);
}

static bool
can_reach(int from, int to)
{
    return !fleet.is_down[from] && !fleet.is_down[to] &&
           fleet.partition[from] == fleet.partition[to];
}

/* Delivers what a message from one host to another carries: the sender's own
 * record and the piggybacked updates. */
static void
send_message(int from, int to)
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
exchange_messages(int from, int to)
{
    send_message(from, to);
    send_message(to, from);
}

/* A probe in flight. It is delivered after the tick that sent it. */
typedef struct {
    int from;
    int to;
    int via; /* member that is asked to probe; -1: none */
} probe_t;

static probe_t probes_in_flight[8192];
static int probes_in_flight_count;

static void
on_send_probe(void *context, const cbw_member_record_t *target,
              const cbw_member_record_t *via)
{
    g_assert_cmpint(probes_in_flight_count, <,
                    (int)G_N_ELEMENTS(probes_in_flight));
    probes_in_flight[probes_in_flight_count++] =
        (probe_t){.from = (int)(intptr_t)context,
                  .to = host_index(target->name),
                  .via = via != NULL ? host_index(via->name) : -1};
}

/* Delivers a probe and its answer, through the intermediate member if there is
 * one. */
static void
deliver_probe(const probe_t *probe)
{
    int from = probe->from;
    int to = probe->to;
    int first_hop = probe->via >= 0 ? probe->via : to;
    char name[8];

    if (!can_reach(from, first_hop)) {
        return;
    }
    exchange_messages(from, first_hop);
    if (first_hop != to) {
        if (!can_reach(first_hop, to)) {
            return;
        }
        exchange_messages(first_hop, to);
    }
    g_snprintf(name, sizeof(name), "h%d", to);
    CbwMembership_OnAck(&fleet.members[from], fleet.now, name);
}

static void
on_member_change(void *context, const cbw_member_record_t *member,
                 cbw_member_state_t before)
{
    (void)context;
    (void)member;
    (void)before;
}

static const cbw_membership_ops_t ops = {.send_probe = on_send_probe,
                                         .on_change = on_member_change};

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

/* Hosts that lack many updates fetch the whole list of another one. */
static void
exchange_lists(void)
{
    for (int i = 0; i < fleet.count; i++) {
        const cbw_member_t *peer;
        int from;
        if (fleet.is_down[i] || (peer = CbwMembership_ChooseListPeer(
                                     &fleet.members[i], fleet.now)) == NULL) {
            continue;
        }
        from = host_index(peer->record.name);
        lists_fetched += can_reach(i, from);
        for (size_t j = 0; can_reach(i, from) && j < fleet.members[from].count;
             j++) {
            CbwMembership_ApplyListed(&fleet.members[i], fleet.now,
                                      &fleet.members[from].members[j].record);
        }
    }
}

static void
run_for(cbw_time_t length)
{
    cbw_time_t end = fleet.now + length;

    while (fleet.now < end) {
        fleet.now += TICK_INTERVAL;
        for (int i = 0; i < fleet.count; i++) {
            if (!fleet.is_down[i]) {
                CbwMembership_Tick(&fleet.members[i], fleet.now);
            }
        }
        for (int i = 0; i < probes_in_flight_count; i++) {
            deliver_probe(&probes_in_flight[i]);
        }
        probes_in_flight_count = 0;
        exchange_lists();
    }
}

static void
finish_fleet(void)
{
    for (int i = 0; i < fleet.count; i++) {
        CbwMembership_Finish(&fleet.members[i]);
    }
}

/* Returns the state of a host as another one sees it. An unknown host counts
 * as dead. */
static cbw_member_state_t
state_seen_by(int observer, int host)
{
    char name[8];
    const cbw_member_t *member;

    g_snprintf(name, sizeof(name), "h%d", host);
    member = CbwMembership_Find(&fleet.members[observer], name);
    return member != NULL ? member->record.state : CBW_MEMBER_DEAD;
}

/* Counts the running hosts that see `host` in `state`. */
static int
count_observers(int host, cbw_member_state_t state)
{
    int count = 0;

    for (int i = 0; i < fleet.count; i++) {
        count +=
            i != host && !fleet.is_down[i] && state_seen_by(i, host) == state;
    }
    return count;
}

/* Hosts that know each other only from the list see each other alive after the
 * start. */
static void
test_hosts_join(void)
{
    start_fleet(HOSTS_MAX);
    run_for(3 * Cbw_SEC);
    for (int i = 0; i < fleet.count; i++) {
        g_assert_cmpint(count_observers(i, CBW_MEMBER_ALIVE), ==,
                        HOSTS_MAX - 1);
    }
    finish_fleet();
}

/* A host that stops answering is dead to all others within 4 s. */
static void
test_crash_detected(void)
{
    start_fleet(16);
    run_for(3 * Cbw_SEC);
    fleet.is_down[5] = true;
    run_for(4 * Cbw_SEC);
    g_assert_cmpint(count_observers(5, CBW_MEMBER_DEAD), ==, 15);
    finish_fleet();
}

/* A host that was frozen until it was found dead refutes that when it runs
 * again. */
static void
test_unfrozen_host_rejoins(void)
{
    start_fleet(16);
    run_for(3 * Cbw_SEC);
    fleet.is_down[5] = true;
    run_for(4 * Cbw_SEC);
    fleet.is_down[5] = false;
    run_for(5 * Cbw_SEC);
    g_assert_cmpint(count_observers(5, CBW_MEMBER_ALIVE), ==, 15);
    finish_fleet();
}

/* The two sides of a partition find each other dead, and alive again after the
 * partition has ended. */
static void
test_partition_heals(void)
{
    start_fleet(16);
    run_for(3 * Cbw_SEC);
    for (int i = 0; i < 4; i++) {
        fleet.partition[i] = 1;
    }
    run_for(5 * Cbw_SEC);
    g_assert_cmpint(state_seen_by(0, 10), ==, CBW_MEMBER_DEAD);
    g_assert_cmpint(state_seen_by(10, 0), ==, CBW_MEMBER_DEAD);
    for (int i = 0; i < 4; i++) {
        fleet.partition[i] = 0;
    }
    run_for(10 * Cbw_SEC);
    for (int i = 0; i < fleet.count; i++) {
        g_assert_cmpint(count_observers(i, CBW_MEMBER_ALIVE), ==, 15);
    }
    finish_fleet();
}

/* A host that does not answer for a short time refutes the suspicion before it
 * is found dead. */
static void
test_suspicion_refuted(void)
{
    start_fleet(8);
    run_for(3 * Cbw_SEC);
    fleet.is_down[3] = true;
    run_for(400 * Cbw_MSEC);
    fleet.is_down[3] = false;
    run_for(5 * Cbw_SEC);
    g_assert_cmpint(count_observers(3, CBW_MEMBER_ALIVE), ==, 7);
    finish_fleet();
}

/* All hosts learn that a member leaves, and none considers it an owner. */
static void
test_leaving_spreads(void)
{
    start_fleet(16);
    run_for(3 * Cbw_SEC);
    CbwMembership_Leave(&fleet.members[2], fleet.now);
    run_for(1500 * Cbw_MSEC);
    g_assert_cmpint(count_observers(2, CBW_MEMBER_LEAVING), ==, 15);
    for (int i = 0; i < fleet.count; i++) {
        const cbw_member_t *owner = CbwMembership_FindOwner(
            &fleet.members[i], "any", "north", NULL, NULL);
        g_assert_cmpstr(owner->record.name, !=, "h2");
    }
    finish_fleet();
}

/* All hosts learn that an endpoint leaves, and that it no longer does. */
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

/* All hosts agree on the owner of each database, which is in the requested
 * data centre. When a host dies, only the databases that it owned change
 * owner. */
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
    fleet.is_down[5] = true;
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

/* Checks that all running hosts find the same owner of each database. */
static void
assert_owners_agree(void)
{
    for (int d = 0; d < 50; d++) {
        char database[16];
        const char *first = NULL;
        g_snprintf(database, sizeof(database), "db%d", d);
        for (int i = 0; i < fleet.count; i++) {
            const cbw_member_t *owner = CbwMembership_FindOwner(
                &fleet.members[i], database, "south", NULL, NULL);
            if (fleet.is_down[i]) {
                continue;
            }
            g_assert_nonnull(owner);
            first = first != NULL ? first : owner->record.name;
            g_assert_cmpstr(owner->record.name, ==, first);
        }
    }
}

/* After a power loss of the whole fleet the hosts know each other from the
 * list only. They must agree on the owners before they exchange messages, and
 * at each step of the start. */
static void
test_cold_start(void)
{
    start_fleet(16);
    for (int i = 0; i < fleet.count; i++) {
        CbwMembership_BeginJoining(&fleet.members[i]);
        CbwMembership_DetectColdStart(&fleet.members[i], fleet.now);
    }
    assert_owners_agree();
    run_for(200 * Cbw_MSEC);
    assert_owners_agree();
    for (int i = 0; i < fleet.count; i++) {
        CbwMembership_FinishJoining(&fleet.members[i], fleet.now);
        run_for(TICK_INTERVAL);
        assert_owners_agree();
    }
    run_for(3 * Cbw_SEC);
    assert_owners_agree();
    g_assert_cmpint(fleet.members[0].cold_start_until, ==, 0);
    finish_fleet();
}

/* Guards against a cold start of a large fleet after which hosts see others as
 * joining, or dead, for many seconds: a probe carries a few updates only, and
 * each host changes its state twice. All hosts must agree shortly after the
 * end of the cold start, since requests are forwarded to wrong owners from
 * then on. */
static void
test_cold_start_large(void)
{
    start_fleet(95);
    for (int i = 0; i < fleet.count; i++) {
        CbwMembership_BeginJoining(&fleet.members[i]);
        CbwMembership_DetectColdStart(&fleet.members[i], fleet.now);
    }
    for (int i = 0; i < fleet.count; i++) {
        if (i % 2 == 0) {
            run_for(TICK_INTERVAL);
        }
        CbwMembership_FinishJoining(&fleet.members[i], fleet.now);
    }
    run_for(fleet.members[0].cold_start_until + SETTLE_TIME - fleet.now);
    for (int i = 0; i < fleet.count; i++) {
        g_assert_cmpint(count_observers(i, CBW_MEMBER_ALIVE), ==,
                        fleet.count - 1);
    }
    finish_fleet();
}

/* In a cold start a listed host that does not come up is no owner any more
 * once its first probe has failed. */
static void
test_cold_start_missing_host(void)
{
    start_fleet(8);
    fleet.is_down[5] = true;
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

/* A host that restarts and joins a running fleet does not assume a cold start.
 */
static void
test_join_is_no_cold_start(void)
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

/* The order of the hosts of one data centre is the same for each of them,
 * except for itself; dead hosts are omitted, those known from a list only are
 * not. */
static void
test_peer_order(void)
{
    cbw_membership_t membership;
    const cbw_member_t *peers[Cbw_PEER_ORDER_MAX];
    size_t rank;
    size_t own_rank;
    size_t count;

    CbwMembership_Init(&membership, &CbwMembership_DefaultSettings, &ops, NULL,
                       "h0", "near", "h0:1", 1, 1);
    for (int i = 1; i <= 8; i++) {
        cbw_member_record_t record = {.incarnation = 1};
        g_snprintf(record.name, sizeof(record.name), "h%d", i);
        g_strlcpy(record.data_centre, i <= 5 ? "near" : "far",
                  sizeof(record.data_centre));
        CbwMembership_ApplyUpdate(&membership, Cbw_SEC, &record);
        if (i == 5) {
            record.state = CBW_MEMBER_DEAD;
            CbwMembership_ApplyUpdate(&membership, Cbw_SEC, &record);
        }
    }
    count = CbwMembership_PeerOrder(&membership, "role", "near", peers,
                                    G_N_ELEMENTS(peers), &rank);
    g_assert_cmpuint(count, ==, 4);
    g_assert_cmpuint(rank, <=, 4);
    for (size_t i = 0; i < count; i++) {
        uint64_t weight = CbwRendezvous_Weight("role", peers[i]->record.name);
        g_assert_cmpstr(peers[i]->record.data_centre, ==, "near");
        g_assert_cmpstr(peers[i]->record.name, !=, "h5");
        g_assert_true(
            i == 0 ||
            weight < CbwRendezvous_Weight("role", peers[i - 1]->record.name));
        g_assert_cmpint(weight > CbwRendezvous_Weight("role", "h0"), ==,
                        i < rank);
    }
    g_assert_cmpuint(
        CbwMembership_PeerOrder(&membership, "role", "near", peers, 2, &rank),
        ==, 2);
    g_assert_cmpuint(CbwMembership_PeerOrder(&membership, "role", "far", peers,
                                             G_N_ELEMENTS(peers), &rank),
                     ==, 3);
    g_assert_cmpuint(CbwMembership_PeerOrder(&membership, "role", "none",
                                             peers, G_N_ELEMENTS(peers),
                                             &rank),
                     ==, 0);
    g_assert_cmpuint(CbwMembership_PeerOrder(&membership, "role", NULL, peers,
                                             G_N_ELEMENTS(peers), &rank),
                     ==, 7);
    g_assert_cmpuint(
        CbwMembership_PeerOrder(&membership, "role", NULL, NULL, 0, &own_rank),
        ==, 0);
    g_assert_cmpuint(own_rank, ==, rank);
    CbwMembership_Finish(&membership);
}

void
Suite_AddMembership(void)
{
    g_test_add_func("/membership/peer-order", test_peer_order);

    g_test_add_func("/membership/join", test_hosts_join);
    g_test_add_func("/membership/crash-detected", test_crash_detected);
    g_test_add_func("/membership/unfrozen-host-rejoins",
                    test_unfrozen_host_rejoins);
    g_test_add_func("/membership/partition-heals", test_partition_heals);
    g_test_add_func("/membership/suspicion-refuted", test_suspicion_refuted);
    g_test_add_func("/membership/leaving", test_leaving_spreads);
    g_test_add_func("/membership/endpoint-leaving",
                    test_endpoint_leaving_spreads);
    g_test_add_func("/membership/owner-agreement", test_owner_agreement);
    g_test_add_func("/membership/cold-start", test_cold_start);
    g_test_add_func("/membership/cold-start-large", test_cold_start_large);
    g_test_add_func("/membership/cold-start-missing-host",
                    test_cold_start_missing_host);
    g_test_add_func("/membership/join-is-no-cold-start",
                    test_join_is_no_cold_start);
}
