#include "size.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "carobwind/delta.h"
#include "carobwind/inventory.h"
#include "carobwind/membership.h"
#include "carobwind/owner.h"

#define HOSTS 1500
#define DATABASES 3800
#define DATA_CENTRES 20

static void
print_row(const char *measure, double value, const char *unit)
{
    printf("%-52s %12.3f %s\n", measure, value, unit);
}

static double
milliseconds_since(gint64 begin)
{
    return (double)(g_get_monotonic_time() - begin) / 1000.0;
}

/* Returns the text of an inventory of the target size. */
static char *
make_inventory(void)
{
    GString *text = g_string_new("rank urgent { floor = 0 }\n"
                                 "kind pay { rank = \"urgent\" }\n");

    for (int i = 0; i < DATA_CENTRES; i++) {
        g_string_append_printf(
            text, "data-centre centre-%02d { region = \"region-%d\" }\n", i,
            i % 7);
    }
    for (int d = 0; d < DATABASES; d++) {
        g_string_append_printf(text, "database database-%04d {\n", d);
        for (int e = 0; e < 3; e++) {
            g_string_append_printf(
                text,
                "    endpoint database-%04d-%c { data-centre = "
                "\"centre-%02d\" "
                "address = \"10.%d.%d.%d:7400\" connections = 90 slots = 3 "
                "}\n",
                d, 'a' + e, (d + e) % DATA_CENTRES, e, d / 250, d % 250);
        }
        g_string_append(text, "}\n");
    }
    return g_string_free(text, FALSE);
}

static void
report_inventory(char *text, cbw_inventory_t *inventory)
{
    cbw_findings_t findings;
    gint64 begin = g_get_monotonic_time();

    CbwFindings_Init(&findings);
    if (CbwInventory_Parse(inventory, text, "size", &findings) != 0) {
        CbwFindings_Print(&findings, stderr);
        exit(1);
    }
    print_row("inventory, text", (double)strlen(text) / 1024, "KB");
    print_row("inventory, parse", milliseconds_since(begin), "ms");
    print_row("inventory, memory of the databases",
              (double)(inventory->database_count * sizeof(cbw_database_t)) /
                  1024,
              "KB");
    CbwFindings_Finish(&findings);
}

static void
report_delta(const char *text)
{
    char *changed = g_strdup(text);
    char *slots = strstr(changed + strlen(changed) / 2, "slots = 3");
    cbw_delta_t delta;
    gint64 begin;

    slots[8] = '4'; /* instead of the 3 */
    begin = g_get_monotonic_time();
    CbwDelta_Compute(&delta, text, changed);
    print_row("delta of one change, size", (double)delta.size, "bytes");
    print_row("delta of one change, computing", milliseconds_since(begin),
              "ms");
    begin = g_get_monotonic_time();
    free(CbwDelta_Apply(&delta, text));
    print_row("delta of one change, applying", milliseconds_since(begin),
              "ms");
    g_free(changed);
}

static void
ignore_probe(void *context, const cbw_member_record_t *target,
             const cbw_member_record_t *via)
{
    (void)context;
    (void)target;
    (void)via;
}

static void
ignore_change(void *context, const cbw_member_record_t *member,
              cbw_member_state_t old_state)
{
    (void)context;
    (void)member;
    (void)old_state;
}

static const cbw_membership_ops_t membership_ops = {
    .send_probe = ignore_probe, .on_change = ignore_change};

static cbw_member_record_t
make_member(int number, uint64_t incarnation)
{
    cbw_member_record_t record = {.state = CBW_MEMBER_ALIVE,
                                  .incarnation = incarnation};

    g_snprintf(record.name, sizeof(record.name), "host-%04d", number);
    g_snprintf(record.data_centre, sizeof(record.data_centre), "centre-%02d",
               number % DATA_CENTRES);
    g_snprintf(record.address, sizeof(record.address), "10.9.%d.%d:7100",
               number / 250, number % 250);
    return record;
}

static void
fill_membership(cbw_membership_t *members)
{
    CbwMembership_Init(members, &CbwMembership_DefaultSettings,
                       &membership_ops, NULL, "host-0000", "centre-00",
                       "10.9.0.0:7100", 1, 1);
    for (int i = 1; i < HOSTS; i++) {
        cbw_member_record_t update = make_member(i, 1);
        CbwMembership_ApplyUpdate(members, Cbw_SEC, &update);
    }
}

static void
report_membership(cbw_membership_t *members)
{
    cbw_member_record_t updates[Cbw_MEMBER_UPDATES_MAX];
    gint64 begin = g_get_monotonic_time();
    int rounds = 1000;

    for (int i = 0; i < rounds; i++) {
        cbw_member_record_t update = make_member(1 + i % (HOSTS - 1), 1);
        CbwMembership_ApplyUpdate(members, Cbw_SEC, &update);
    }
    print_row("membership, applying one update",
              1000 * milliseconds_since(begin) / rounds, "us");
    begin = g_get_monotonic_time();
    for (int i = 0; i < rounds; i++) {
        CbwMembership_Tick(members, Cbw_SEC + 1);
    }
    print_row("membership, one tick",
              1000 * milliseconds_since(begin) / rounds, "us");
    begin = g_get_monotonic_time();
    for (int i = 0; i < rounds; i++) {
        CbwMembership_Piggyback(members, NULL, updates,
                                Cbw_MEMBER_UPDATES_MAX);
    }
    print_row("membership, updates for one probe",
              1000 * milliseconds_since(begin) / rounds, "us");
    print_row("membership, memory",
              (double)(HOSTS * sizeof(cbw_member_t)) / 1024, "KB");
}

/* Measures what each host computes when the members change: the databases that
 * it owns and, as an entry, the owner of every database. */
static void
report_owners(const cbw_membership_t *members,
              const cbw_inventory_t *inventory)
{
    gint64 begin = g_get_monotonic_time();
    int owned = 0;

    for (size_t i = 0; i < inventory->database_count; i++) {
        const cbw_database_t *database = &inventory->databases[i];
        if (strcmp(database->endpoints[0].data_centre, "centre-00") == 0) {
            owned +=
                CbwMembership_FindOwner(members, database->name, "centre-00",
                                        NULL, NULL) == &members->members[0];
        }
    }
    print_row("owners, all of one data centre", milliseconds_since(begin),
              "ms");
    print_row("owners, databases of this host", owned, "");
    begin = g_get_monotonic_time();
    for (size_t i = 0; i < inventory->database_count; i++) {
        const cbw_database_t *database = &inventory->databases[i];
        CbwMembership_FindOwner(members, database->name,
                                database->endpoints[0].data_centre, NULL,
                                NULL);
    }
    print_row("owners, all databases (entry, after a change)",
              milliseconds_since(begin), "ms");
    print_row("owner of one database, memory",
              (double)sizeof(cbw_owner_t) / 1024, "KB");
}

void
Size_Report(void)
{
    char *text = make_inventory();
    cbw_inventory_t inventory;
    cbw_membership_t members;

    report_inventory(text, &inventory);
    report_delta(text);
    fill_membership(&members);
    report_membership(&members);
    report_owners(&members, &inventory);
    CbwMembership_Finish(&members);
    CbwInventory_Finish(&inventory);
    g_free(text);
}
