#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "carobwind/region.h"
#include "carobwindd/region_settings.h"
#include "suites.h"

#define TWO_REGIONS "{\"a1\":\"west\",\"b1\":\"east\",\"a2\":\"west\"}"

/* Guards against tables that hosts interpret differently, and against a start
 * with half of a table. */
static void
test_settings(void)
{
    static const struct {
        const char *text;
        const char *data_centre;
        const char *region;
        bool several;
        size_t findings;
    } cases[] = {
        {"", "a1", "", false, 0},
        {"", "a1", "west", false, 0}, /* the others' regions are not known */
        {"{}", "a1", "", false, 0},
        {"{\"a1\":\"west\",\"a2\":\"west\"}", "a1", "west", false, 0},
        {"{\"a1\":\"\",\"a2\":null}", "a1", "", false, 0},
        {TWO_REGIONS, "a1", "west", true, 0},
        {TWO_REGIONS, "a1", "", true, 0},
        {TWO_REGIONS, "b1", "west", true, 1}, /* contradicts the table */
        {TWO_REGIONS, "c1", "west", true, 1}, /* not in the table */
        {TWO_REGIONS, "c1", "", true, 0},
        {"[\"a1\"]", "a1", "", false, 1},
        {"{\"a1\":", "a1", "", false, 1},
        {"{\"a1\":\"west\",\"a1\":\"east\"}", "a1", "", false, 1},
        {"{\"a1\":\"west\",\"b1\":7,\"b2\":\"east\"}", "a1", "west", true, 1},
        {"{\"\":\"west\"}", "a1", "", false, 1},
        {"", "a1", "a region with far more characters than any name may have",
         false, 1},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cbw_regions_t regions;
        cbw_findings_t findings;
        CbwFindings_Init(&findings);
        RegionSettings_Parse(&regions, cases[i].text, cases[i].data_centre,
                             cases[i].region, &findings);
        g_test_message("case %zu", i);
        g_assert_cmpuint(findings.count, ==, cases[i].findings);
        g_assert_cmpint(regions.several, ==, cases[i].several);
        CbwFindings_Finish(&findings);
    }
}

/* Guards against a table that depends on the order in which it is filled, and
 * against more data centres than it has room for. */
static void
test_table(void)
{
    cbw_regions_t regions = {.count = 0};
    cbw_error_t error;
    char name[Cbw_NAME_MAX];

    for (int i = 0; i < Cbw_REGIONS_MAX; i++) {
        int number = (i * 37) % Cbw_REGIONS_MAX;
        snprintf(name, sizeof(name), "c%d", number);
        g_assert_cmpint(CbwRegions_Add(&regions, name,
                                       number % 2 == 0 ? "even" : "odd",
                                       &error),
                        ==, 0);
    }
    g_assert_cmpint(CbwRegions_Add(&regions, "c0", "even", &error), ==, 0);
    g_assert_cmpint(CbwRegions_Add(&regions, "c0", "odd", &error), !=, 0);
    g_assert_cmpint(CbwRegions_Add(&regions, "more", "odd", &error), !=, 0);
    for (int i = 0; i < Cbw_REGIONS_MAX; i++) {
        snprintf(name, sizeof(name), "c%d", i);
        g_assert_cmpstr(CbwRegions_Find(&regions, name), ==,
                        i % 2 == 0 ? "even" : "odd");
    }
    g_assert_cmpstr(CbwRegions_Find(&regions, "more"), ==, "");
    g_assert_true(CbwRegions_IsSame(&regions, "c0", "c2"));
    g_assert_false(CbwRegions_IsSame(&regions, "c0", "c1"));
    g_assert_false(CbwRegions_IsSame(&regions, "c0", "more"));
    g_assert_false(CbwRegions_IsSame(&regions, "less", "more"));
    g_assert_true(CbwRegions_IsSame(&regions, "more", "more"));
    g_assert_true(CbwRegions_IsSame(NULL, "c0", "c1"));
}

static void
init_regions(cbw_regions_t *regions, const char *text)
{
    cbw_findings_t findings;

    CbwFindings_Init(&findings);
    RegionSettings_Parse(regions, text, "", "", &findings);
    g_assert_cmpuint(findings.count, ==, 0);
    CbwFindings_Finish(&findings);
}

/* `primaries` has a letter for each endpoint, in the data centres a1, a2 and
 * b1: 'p' reports itself as the primary, 'r' does not, '-' is not listed. */
static void
init_database(cbw_database_t *database, const char *primaries)
{
    static const char *const centres[] = {"a1", "a2", "b1"};

    memset(database, 0, sizeof(*database));
    snprintf(database->name, sizeof(database->name), "db");
    for (int i = 0; primaries[i] != '\0'; i++) {
        cbw_endpoint_t *endpoint;
        if (primaries[i] == '-') {
            continue;
        }
        endpoint = &database->endpoints[database->endpoint_count++];
        snprintf(endpoint->name, sizeof(endpoint->name), "e%d", i);
        snprintf(endpoint->data_centre, sizeof(endpoint->data_centre), "%s",
                 centres[i]);
        endpoint->reports_primary = primaries[i] == 'p';
    }
}

/* Guards against an owner that moves back and forth while the primary changes,
 * and against hosts that choose differently when one endpoint is the primary.
 */
static void
test_choose_home(void)
{
    static const struct {
        const char *endpoints;
        const char *previous;
        const char *home;
    } cases[] = {
        {"prr", NULL, "a1"},
        {"rrp", NULL, "b1"},
        {"rrp", "a1", "b1"}, /* promoted into the other region */
        {"rpr", "a1", "a2"},
        {"rrr", "b1", "b1"}, /* none: as before */
        {"prp", "b1", "b1"}, /* two: as before */
        {"prp", "a1", "a1"},
        {"prp", "a2", "a2"},
        {"rrr", NULL, "a1"}, /* no previous home */
        {"rpp", NULL, "a2"},
        {"-rr", "a1", "a2"}, /* the previous home has no endpoint */
        {"-pp", "a1", "a2"},
        {"---", "a1", ""},
    };
    cbw_regions_t regions;
    cbw_database_t database;

    init_regions(&regions, TWO_REGIONS);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        init_database(&database, cases[i].endpoints);
        g_assert_cmpstr(
            CbwRegions_ChooseHome(&regions, &database, cases[i].previous), ==,
            cases[i].home);
    }
    /* One region: the first endpoint, whoever is the primary. */
    init_regions(&regions, "{\"a1\":\"west\",\"b1\":\"west\"}");
    init_database(&database, "rrp");
    g_assert_cmpstr(CbwRegions_ChooseHome(&regions, &database, "b1"), ==,
                    "a1");
    g_assert_cmpstr(CbwRegions_ChooseHome(NULL, &database, "b1"), ==, "a1");
}

/* A series of registrations, as hosts see them during a promotion into the
 * other region: the home moves once, and when is known. */
static void
test_home_moves_once(void)
{
    static const char *const series[] = {"prr", "prr", "rrr", "prp", "rrp",
                                         "---", "rrr", "-rp", "rrp"};
    cbw_regions_t regions;
    cbw_database_t databases[2];
    cbw_inventory_t before = {.database_count = 0};
    cbw_inventory_t after = {.database_count = 1};
    int moves = 0;

    init_regions(&regions, TWO_REGIONS);
    for (size_t i = 0; i < G_N_ELEMENTS(series); i++) {
        cbw_time_t now = (cbw_time_t)(i + 1) * Cbw_SEC;
        init_database(&databases[i % 2], series[i]);
        after.databases = &databases[i % 2];
        CbwRegions_SetHomes(&regions, &after, i > 0 ? &before : NULL, now);
        moves += databases[i % 2].home_moved_at == now;
        g_assert_cmpstr(CbwInventory_Home(&databases[i % 2]), ==,
                        i < 4 ? "a1" : "b1");
        before = after;
    }
    g_assert_cmpint(moves, ==, 1);
    g_assert_cmpint(databases[0].home_moved_at, ==, 5 * Cbw_SEC);
}

/* Guards a fleet with one region: its databases have no home of their own. */
static void
test_one_region_sets_no_homes(void)
{
    cbw_database_t database;
    cbw_inventory_t inventory = {.databases = &database, .database_count = 1};

    init_database(&database, "rrp");
    CbwRegions_SetHomes(NULL, &inventory, NULL, Cbw_SEC);
    g_assert_cmpstr(database.home, ==, "");
    g_assert_cmpint(database.home_moved_at, ==, 0);
    g_assert_cmpstr(CbwInventory_Home(&database), ==, "a1");
}

/* Guards against reads that go to a dispatcher which can never serve them. The
 * endpoints are in a1, a2 (west) and b1 (east). */
static void
test_read_endpoint(void)
{
    static const struct {
        const char *endpoints; /* as for init_database(); 'l': leaving */
        int connections;
        const char *data_centre; /* of the callers */
        const char *expected;    /* NULL: none */
    } cases[] = {
        {"prr", 46, "b1", "e2"}, {"prr", 46, "a1", NULL},
        {"prr", 46, "a2", NULL}, {"rrp", 46, "a2", "e0"},
        {"-rp", 46, "a1", "e1"}, {"lrp", 46, "a1", "e1"},
        {"prl", 46, "b1", NULL}, {"prr", 20, "b1", "e2"},
        {"prr", 19, "b1", NULL}, {"pr-", 46, "b1", NULL},
        {"prr", 46, "c1", NULL}, /* in no region: nothing is near */
    };
    cbw_regions_t regions;

    init_regions(&regions, TWO_REGIONS);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cbw_inventory_t inventory = {.database_count = 1};
        cbw_database_t database;
        const cbw_endpoint_t *found;
        init_database(&database, cases[i].endpoints);
        for (int j = 0; j < database.endpoint_count; j++) {
            cbw_endpoint_t *endpoint = &database.endpoints[j];
            endpoint->connections = cases[i].connections;
            endpoint->leaving =
                cases[i].endpoints[endpoint->name[1] - '0'] == 'l';
        }
        inventory.databases = &database;
        CbwRegions_SetHomes(&regions, &inventory, NULL, Cbw_SEC);
        found = CbwRegions_FindReadEndpoint(&regions, &database,
                                            cases[i].data_centre);
        g_test_message("case %zu", i);
        g_assert_cmpstr(found != NULL ? found->name : NULL, ==,
                        cases[i].expected);
        g_assert_null(CbwRegions_FindReadEndpoint(NULL, &database,
                                                  cases[i].data_centre));
    }
}

void
Suite_AddRegions(void)
{
    g_test_add_func("/regions/read-endpoint", test_read_endpoint);
    g_test_add_func("/regions/settings", test_settings);
    g_test_add_func("/regions/table", test_table);
    g_test_add_func("/regions/choose-home", test_choose_home);
    g_test_add_func("/regions/home-moves-once", test_home_moves_once);
    g_test_add_func("/regions/one-region-sets-no-homes",
                    test_one_region_sets_no_homes);
}
