#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "carobwind/access.h"
#include "carobwind/plugin.h"
#include "carobwindd/drivers.h"
#include "suites.h"

#define CONFIG_TEXT_MAX 2048

/* A configuration with a route that requires a key and a public one. */
static const char config_format[] =
    "{\"version\":7,\"routes\":["
    "{\"database\":\"closed\",\"routeType\":\"primary\",\"service\":\"s\"},"
    "{\"database\":\"open\",\"routeType\":\"primary\",\"service\":\"s\","
    "\"public\":true}],\"services\":[{\"name\":\"s\"}],\"limits\":{}%s}";

#define ACME "{\"name\":\"acme\",\"apiKeys\":[\"ka\",\"kb\"],"
#define LIMITS "\"priority\":1,\"ratePerS\":20,\"burst\":30}"
#define BOTH                                                                  \
    ",\"tenants\":[{\"name\":\"zoo\",\"apiKeys\":[\"kz\"]}," ACME LIMITS "]"
#define ONLY_KB                                                               \
    ",\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[\"kb\"]," LIMITS "]"
#define NINE_KEYS "[\"kx\",\"1\",\"2\",\"3\",\"4\",\"5\",\"6\",\"7\",\"8\"]"
#define RENAMED                                                               \
    ",\"tenants\":[{\"name\":\"acme2\",\"apiKeys\":[\"ka\"]," LIMITS "]"

static const registry_driver_t *
find_driver(void)
{
    return CbwPlugin_Find(CBW_PLUGIN_REGISTRY_DRIVER, "platform");
}

static int
parse(const char *tenants, cbw_inventory_t *inventory,
      cbw_findings_t *findings)
{
    char text[CONFIG_TEXT_MAX];

    snprintf(text, sizeof(text), config_format, tenants);
    CbwFindings_Init(findings);
    return find_driver()->parse_config(text, inventory, findings);
}

static cbw_access_t
make_access(const char *kind, const char *key)
{
    cbw_access_t access = {.key = CbwWorkspace_HashKey(key)};

    snprintf(access.kind, sizeof(access.kind), "%s", kind);
    return access;
}

/* The result of the start of a session. Guards against callers without a known
 * key that are served, and against the name of another workspace. */
static void
test_start(void)
{
    static const struct {
        const char *tenants;
        const char *kind;
        const char *key;
        cbw_access_result_t result;
        const char *workspace;
    } cases[] = {
        {"", "closed", "", CBW_ACCESS_GRANTED, ""},
        {"", "closed", "ka", CBW_ACCESS_GRANTED, ""},
        {"", "none", "ka", CBW_ACCESS_NO_KIND, ""},
        {BOTH, "closed", "ka", CBW_ACCESS_GRANTED, "acme"},
        {BOTH, "closed", "kb", CBW_ACCESS_GRANTED, "acme"},
        {BOTH, "closed", "kz", CBW_ACCESS_GRANTED, "zoo"},
        {BOTH, "closed", "kq", CBW_ACCESS_NO_KEY, ""},
        {BOTH, "closed", "", CBW_ACCESS_NO_KEY, ""},
        {BOTH, "closed", "acme", CBW_ACCESS_NO_KEY, ""},
        {BOTH, "none", "ka", CBW_ACCESS_NO_KIND, ""},
        {BOTH, "open", "", CBW_ACCESS_GRANTED, ""},
        {BOTH, "open", "ka", CBW_ACCESS_GRANTED, ""},
        {ONLY_KB, "closed", "ka", CBW_ACCESS_NO_KEY, ""},
        {RENAMED, "closed", "ka", CBW_ACCESS_GRANTED, "acme2"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cbw_access_t access = make_access(cases[i].kind, cases[i].key);
        cbw_inventory_t inventory;
        cbw_findings_t findings;
        g_test_message("case %zu", i);
        g_assert_cmpint(parse(cases[i].tenants, &inventory, &findings), ==, 0);
        g_assert_cmpint(CbwAccess_Check(&access, &inventory), ==,
                        cases[i].result);
        g_assert_cmpstr(access.workspace, ==, cases[i].workspace);
        CbwInventory_Finish(&inventory);
        CbwFindings_Finish(&findings);
    }
}

/* A configuration changes during a session. Guards against revoked keys that
 * stay usable, and against sessions that are closed although their key
 * remains. */
static void
test_change(void)
{
    static const struct {
        const char *tenants; /* after the change */
        const char *kind;
        bool in_transaction;
        cbw_time_t after; /* the change */
        bool may_continue;
        const char *workspace;
    } cases[] = {
        {BOTH, "closed", false, 0, true, "acme"},
        {ONLY_KB, "closed", false, 0, false, "acme"},
        {ONLY_KB, "closed", true, 0, true, "acme"},
        {ONLY_KB, "closed", true, Cbw_ACCESS_TRANSACTION_GRACE - 1, true,
         "acme"},
        {ONLY_KB, "closed", true, Cbw_ACCESS_TRANSACTION_GRACE, false, "acme"},
        {ONLY_KB, "open", false, 0, true, ""},
        {RENAMED, "closed", false, 0, true, "acme2"},
        {RENAMED, "closed", true, Cbw_SEC, true, "acme"},
        {"", "closed", false, 0, true, "acme"},
    };
    const cbw_time_t changed_at = 100 * Cbw_SEC;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        cbw_access_t access = make_access(cases[i].kind, "ka");
        cbw_inventory_t inventory;
        cbw_findings_t findings;
        g_test_message("case %zu", i);
        parse(BOTH, &inventory, &findings);
        g_assert_cmpint(CbwAccess_Check(&access, &inventory), ==,
                        CBW_ACCESS_GRANTED);
        CbwInventory_Finish(&inventory);
        CbwFindings_Finish(&findings);
        parse(cases[i].tenants, &inventory, &findings);
        CbwAccess_MayContinue(&access, changed_at, &inventory,
                              cases[i].in_transaction);
        g_assert_cmpint(
            CbwAccess_MayContinue(&access, changed_at + cases[i].after,
                                  &inventory, cases[i].in_transaction),
            ==, cases[i].may_continue);
        g_assert_cmpstr(access.workspace, ==, cases[i].workspace);
        CbwInventory_Finish(&inventory);
        CbwFindings_Finish(&findings);
    }
}

/* Guards against an unusable workspace that invalidates others, or whose keys
 * remain in force. */
static void
test_unusable_workspaces(void)
{
    static const char *const bad[] = {
        "{\"apiKeys\":[\"kx\"]}",
        "{\"name\":\"a b\",\"apiKeys\":[\"kx\"]}",
        "{\"name\":\"x\",\"apiKeys\":\"kx\"}",
        "{\"name\":\"x\",\"apiKeys\":[\"kx\",7]}",
        "{\"name\":\"x\",\"apiKeys\":[\"kx\",\"\"]}",
        "{\"name\":\"x\",\"apiKeys\":[\"kx\"],\"ratePerS\":\"9\"}",
        "{\"name\":\"x\",\"apiKeys\":[\"kx\"],\"burst\":[]}",
        ("{\"name\":\"x\",\"apiKeys\":" NINE_KEYS "}"),
        "{\"name\":\"x\",\"keyHashes\":[\"kx\"]}",
        "7",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        cbw_access_t access = make_access("closed", "kz");
        cbw_access_t refused = make_access("closed", "kx");
        char tenants[CONFIG_TEXT_MAX / 2];
        cbw_inventory_t inventory;
        cbw_findings_t findings;
        snprintf(tenants, sizeof(tenants),
                 ",\"tenants\":[%s,{\"name\":\"zoo\",\"apiKeys\":[\"kz\"]}]",
                 bad[i]);
        g_test_message("case %zu", i);
        g_assert_cmpint(parse(tenants, &inventory, &findings), ==, -1);
        g_assert_cmpuint(findings.count, ==, 1);
        g_assert_cmpuint(inventory.workspace_count, ==, 1);
        g_assert_cmpint(CbwAccess_Check(&access, &inventory), ==,
                        CBW_ACCESS_GRANTED);
        g_assert_cmpstr(access.workspace, ==, "zoo");
        g_assert_cmpint(CbwAccess_Check(&refused, &inventory), ==,
                        CBW_ACCESS_NO_KEY);
        CbwInventory_Finish(&inventory);
        CbwFindings_Finish(&findings);
    }
}

/* Guards against keys in the record that hosts forward to each other, and
 * against a host that interprets it differently. */
static void
test_hidden_keys(void)
{
    char text[CONFIG_TEXT_MAX];
    char *hidden;
    cbw_inventory_t inventory;
    cbw_findings_t findings;
    cbw_access_t access = make_access("closed", "kb");
    const cbw_workspace_t *workspace;

    snprintf(text, sizeof(text), config_format, "");
    g_assert_null(find_driver()->hide_keys(text));
    hidden = find_driver()->hide_keys("{\"tenants\":[{\"apiKeys\":[\"ka\"]},");
    g_assert_cmpstr(hidden, ==, "");
    free(hidden);
    snprintf(text, sizeof(text), config_format, BOTH);
    hidden = find_driver()->hide_keys(text);
    g_assert_nonnull(hidden);
    g_assert_null(strstr(hidden, "\"ka\""));
    g_assert_null(strstr(hidden, "\"kb\""));
    g_assert_null(strstr(hidden, "apiKeys"));
    CbwFindings_Init(&findings);
    g_assert_cmpint(find_driver()->parse_config(hidden, &inventory, &findings),
                    ==, 0);
    g_assert_cmpint(CbwAccess_Check(&access, &inventory), ==,
                    CBW_ACCESS_GRANTED);
    workspace = CbwInventory_FindWorkspace(&inventory, "acme");
    g_assert_nonnull(workspace);
    g_assert_cmpint(workspace->rank, ==, 1);
    g_assert_cmpfloat(workspace->rate, ==, 20);
    g_assert_cmpfloat(workspace->burst, ==, 30);
    CbwInventory_Finish(&inventory);
    CbwFindings_Finish(&findings);
    free(hidden);
}

void
Suite_AddAccess(void)
{
    g_test_add_func("/access/start", test_start);
    g_test_add_func("/access/change", test_change);
    g_test_add_func("/access/unusable-workspaces", test_unusable_workspaces);
    g_test_add_func("/access/hidden-keys", test_hidden_keys);
}
