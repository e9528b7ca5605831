/* Records of the platform's store that another writer left: nested deeply,
 * with numbers out of range, or with names that would change the meaning of
 * the messages and records they are copied into. Such a registration names no
 * endpoint; the others stay in use. */

#include <glib.h>
#include <string.h>

#include "carobwind/plugin.h"
#include "carobwindd/registry_records.h"
#include "suites.h"

#define NESTING 100000
#define MANY_ROUTES 3000
#define MEGABYTE ((size_t)1 << 20)
#define PREFIX "servers/"
#define CONFIG                                                                \
    "{\"version\":7,\"routes\":[{\"database\":\"d\",\"service\":\"s\","       \
    "\"routeType\":\"primary\"%s}],\"services\":[{\"name\":\"s\"%s}],"        \
    "\"limits\":{%s}}"

static const registry_driver_t *
platform_driver(void)
{
    return CbwPlugin_Find(CBW_PLUGIN_REGISTRY_DRIVER, "platform");
}

/* Returns a registration in which `field` has the JSON text `value`; a field
 * that is not among the usual ones is added. The caller frees it. */
static char *
registration_with(const char *field, const char *value)
{
    static const char *const usual[][2] = {
        {"service", "\"s\""},   {"address", "\"10.0.0.1:80\""},
        {"zone", "\"z\""},      {"slots", "3"},
        {"state", "\"ready\""}, {"dbRole", "\"primary\""},
    };
    GString *text = g_string_new("{");
    bool found = false;

    for (size_t i = 0; i < G_N_ELEMENTS(usual); i++) {
        bool replaced = strcmp(usual[i][0], field) == 0;
        g_string_append_printf(text, "%s\"%s\":%s", i > 0 ? "," : "",
                               usual[i][0], replaced ? value : usual[i][1]);
        found |= replaced;
    }
    if (!found) {
        g_string_append_printf(text, ",\"%s\":%s", field, value);
    }
    g_string_append_c(text, '}');
    return g_string_free(text, FALSE);
}

static int
parse_endpoint(const char *name, const char *text)
{
    cbw_endpoint_t endpoint;
    char database[Cbw_NAME_MAX];
    cbw_error_t error;

    return platform_driver()->parse_endpoint(name, text, &endpoint, database,
                                             &error);
}

static char *
repeat(char byte, size_t count)
{
    char *text = g_malloc(count + 1);

    memset(text, byte, count);
    text[count] = '\0';
    return text;
}

/* Values of single fields. */
static void
test_fields(void)
{
    static const struct {
        const char *field;
        const char *value;
        bool usable;
    } cases[] = {
        {"slots", "3", true},
        {"slots", "4294967299", false},
        {"slots", "99999999999999999999", false},
        {"slots", "1e999", false},
        {"slots", "-1", false},
        {"born", "1700000000000", true},
        {"born", "-9223372036854775809", false},
        {"born", "1e400", false},
        {"extra", "18446744073709551616", false},
        {"extra", "{\"a\":[1,{}]}", true},
        {"address", "\"10.0.0.1:0\"", false},
        {"address", "\"10.0.0.1:65535\"", true},
        {"address", "\"10.0.0.1:65536\"", false},
        {"address", "\"10.0.0.1:4294967376\"", false},
        {"address", "\"10.0.0.1:99999999999999999999\"", false},
        {"address", "\"10.0.0.1:-80\"", false},
        {"address", "\"10.0.0.1:+80\"", false},
        {"address", "\"10.0.0.1: 80\"", false},
        {"address", "\"10.0.0.1:\"", false},
        {"address", "\"10.0.0.1:80:80\"", false},
        {"address", "80", false},
        {"service", "\"s\\nx\"", false},
        {"service", "\"s x\"", false},
        {"zone", "\"z\\r\\n\"", false},
        {"zone", "\"z\\u0000\"", false},
        {"zone", "\"\xff\"", false},
        {"zone", "\"b\xc3\xa9ni\"", true},
        {"state", "\"ready\",\"state\":\"draining\"", false}, /* twice */
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *text = registration_with(cases[i].field, cases[i].value);
        g_test_message("%s", text);
        g_assert_cmpint(parse_endpoint("i-1", text), ==,
                        cases[i].usable ? 0 : -1);
        g_free(text);
    }
}

/* The name of a registration becomes a word of a message to the endpoint, and
 * of the tenure record. */
static void
test_names(void)
{
    static const struct {
        const char *name;
        bool usable;
    } cases[] = {
        {"i-7f3a91c2", true},
        {"", false},
        {"a b", false},
        {"a\tb", false},
        {"a\r\nQUERY x WRITE k v", false},
        {"a/b", false},
        {"\x7f", false},
    };
    char *text = registration_with("slots", "3");
    char *long_name = repeat('i', Cbw_NAME_MAX);

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_message("%s", cases[i].name);
        g_assert_cmpint(parse_endpoint(cases[i].name, text), ==,
                        cases[i].usable ? 0 : -1);
    }
    g_assert_cmpint(parse_endpoint(long_name, text), ==, -1);
    g_free(long_name);
    g_free(text);
}

/* Deep nesting, alone, unfinished and inside a field, and a very long text. */
static void
test_size(void)
{
    char *opening = repeat('[', NESTING);
    char *closing = repeat(']', NESTING);
    char *nested = g_strconcat(opening, closing, NULL);
    char *in_field = registration_with("extra", nested);
    char *long_text = repeat('x', MEGABYTE);
    char *quoted = g_strdup_printf("\"%s\"", long_text);
    char *long_field = registration_with("extra", quoted);

    g_assert_cmpint(parse_endpoint("i-1", opening), ==, -1);
    g_assert_cmpint(parse_endpoint("i-1", nested), ==, -1);
    g_assert_cmpint(parse_endpoint("i-1", in_field), ==, -1);
    g_assert_cmpint(parse_endpoint("i-1", long_text), ==, -1);
    g_assert_cmpint(parse_endpoint("i-1", long_field), ==, -1);
    g_free(opening);
    g_free(closing);
    g_free(nested);
    g_free(in_field);
    g_free(long_text);
    g_free(quoted);
    g_free(long_field);
}

static void
apply(registry_records_t *records, const char *name, const char *text,
      size_t size, uint64_t version)
{
    char *key = g_strconcat(PREFIX, name, NULL);
    store_item_t item = {.key = key,
                         .value = (char *)text,
                         .value_size = size,
                         .version = version};

    RegistryRecords_Apply(records, &item, Cbw_SEC);
    g_free(key);
}

/* An odd registration is counted; those before and after it are used. One that
 * was usable before is in use no longer. */
static void
test_others_are_followed(void)
{
    static const char binary[] = {'{', '\0', '\xff', '}', '\0'};
    char *good = registration_with("slots", "3");
    char *nested = repeat('[', NESTING);
    cbw_counters_t counters = {.values = {0}};
    registry_records_t records;
    config_t *config;
    store_item_t config_item = {.key = (char *)"op/config", .version = 1};

    RegistryRecords_Init(&records, platform_driver(), &counters);
    config_item.value = g_strdup_printf(CONFIG, "", "", "");
    RegistryRecords_Apply(&records, &config_item, Cbw_SEC);
    apply(&records, "i-1", good, strlen(good), 2);
    apply(&records, "i-2", good, strlen(good), 3);
    apply(&records, "i-9", nested, strlen(nested), 4);
    apply(&records, "i-8", binary, sizeof(binary) - 1, 5);
    apply(&records, "a b", good, strlen(good), 6);
    apply(&records, "i-2", nested, strlen(nested), 7);
    apply(&records, "i-3", good, strlen(good), 8);
    config = RegistryRecords_MakeConfig(&records);
    g_assert_cmpint(config->inventory.databases[0].endpoint_count, ==, 2);
    g_assert_cmpstr(config->inventory.databases[0].endpoints[0].name, ==,
                    "i-1");
    g_assert_cmpstr(config->inventory.databases[0].endpoints[1].name, ==,
                    "i-3");
    g_assert_cmpuint(counters.values[CBW_COUNTER_RECORDS_UNUSABLE], ==, 4);
    Config_Unref(config);
    RegistryRecords_Finish(&records);
    g_free(config_item.value);
    g_free(good);
    g_free(nested);
}

/* Numbers of the configuration out of range: the bounds or the defaults hold.
 */
static void
test_configuration_numbers(void)
{
    static const struct {
        const char *route;
        const char *service;
        const char *limits;
        int rank;
        int connections;
        cbw_time_t deadline;
        cbw_time_t transaction_idle_timeout;
    } cases[] = {
        {"", "", "", 3, 100000, 2 * Cbw_SEC, 0},
        {",\"priority\":1", ",\"maxConns\":49", "\"idleTxMs\":3000", 1, 49,
         2 * Cbw_SEC, 3 * Cbw_SEC},
        {",\"priority\":4294967296", ",\"maxConns\":4294967297", "", 3, 100000,
         2 * Cbw_SEC, 0},
        {",\"priority\":-1", ",\"maxConns\":-4294967247", "", 3, 100000,
         2 * Cbw_SEC, 0},
        {",\"timeoutMs\":1e300", "", "\"idleTxMs\":9223372036854775807", 3,
         100000, 3600 * Cbw_SEC, 3600 * Cbw_SEC},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *text = g_strdup_printf(CONFIG, cases[i].route, cases[i].service,
                                     cases[i].limits);
        cbw_inventory_t inventory;
        cbw_findings_t findings;
        g_test_message("%s", text);
        CbwFindings_Init(&findings);
        g_assert_cmpint(
            platform_driver()->parse_config(text, &inventory, &findings), ==,
            0);
        g_assert_cmpint(inventory.kinds[0].rank, ==, cases[i].rank);
        g_assert_cmpint(inventory.databases[0].connections, ==,
                        cases[i].connections);
        g_assert_cmpint(inventory.kinds[0].deadline, ==, cases[i].deadline);
        g_assert_cmpint(inventory.transaction_idle_timeout, ==,
                        cases[i].transaction_idle_timeout);
        CbwInventory_Finish(&inventory);
        CbwFindings_Finish(&findings);
        g_free(text);
    }
}

/* Thousands of routes, not sorted by name: each is found. */
static void
test_many_routes(void)
{
    GString *text = g_string_new("{\"version\":7,\"routes\":[");
    cbw_inventory_t inventory;
    cbw_findings_t findings;
    char name[16];

    for (int i = 0; i < MANY_ROUTES; i++) {
        g_string_append_printf(text,
                               "%s{\"database\":\"d%d\",\"service\":\"s\","
                               "\"routeType\":\"primary\"}",
                               i > 0 ? "," : "", i * 7 % MANY_ROUTES);
    }
    g_string_append(text, "],\"services\":[{\"name\":\"s\"}]}");
    CbwFindings_Init(&findings);
    g_assert_cmpint(
        platform_driver()->parse_config(text->str, &inventory, &findings), ==,
        0);
    for (int i = 0; i < MANY_ROUTES; i++) {
        const cbw_kind_t *kind;
        snprintf(name, sizeof(name), "d%d", i);
        kind = CbwInventory_FindKind(&inventory, name);
        g_assert_nonnull(kind);
        g_assert_cmpstr(kind->name, ==, name);
    }
    g_assert_null(CbwInventory_FindKind(&inventory, "e"));
    g_assert_true(inventory.kinds_sorted);
    CbwInventory_Finish(&inventory);
    CbwFindings_Finish(&findings);
    g_string_free(text, TRUE);
}

void
Suite_AddOddRecords(void)
{
    g_test_add_func("/odd-records/fields", test_fields);
    g_test_add_func("/odd-records/names", test_names);
    g_test_add_func("/odd-records/size", test_size);
    g_test_add_func("/odd-records/others-are-followed",
                    test_others_are_followed);
    g_test_add_func("/odd-records/many-routes", test_many_routes);
    g_test_add_func("/odd-records/configuration-numbers",
                    test_configuration_numbers);
}
