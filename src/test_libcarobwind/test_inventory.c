#include <glib.h>
#include <string.h>

#include "carobwind/inventory.h"
#include "suites.h"

#define VALID_HEAD                                                            \
    "data-centre north { region = \"r\" }\n"                                  \
    "rank urgent { floor = 0 }\n"                                             \
    "kind pay { rank = \"urgent\" writes = true }\n"

#define ENDPOINT(name, address)                                               \
    "endpoint " name " { data-centre = \"north\" address = \"" address        \
    "\" connections = 50 slots = 3 }\n"

#define VALID_DATABASE "database d {\n" ENDPOINT("d-a", "127.0.0.1:7400") "}\n"

typedef struct {
    const char *name;
    const char *text;
    /* Expected findings as "line: substring of the text", up to NULL. Line 0
     * stands for any line. */
    const char *findings[6];
} inventory_case_t;

static const inventory_case_t cases[] = {
    {"valid", VALID_HEAD VALID_DATABASE, {NULL}},
    {"empty",
     "",
     {"0: no data-centre", "0: no database", "0: no kind", "0: no rank"}},
    {"unknown-key",
     VALID_HEAD "colour = 3\n" VALID_DATABASE "shape = 4\n",
     {"4: no such option 'colour'", "8: no such option 'shape'"}},
    {"unknown-key-inside",
     VALID_HEAD "database d {\nendpoint d-a { data-centre = \"north\"\n"
                "weight = 3\naddress = \"127.0.0.1:7400\"\nconnections = 50\n"
                "slots = 3 }\n}\n",
     {"6: no such option 'weight'"}},
    {"unknown-data-centre",
     VALID_HEAD
     "database d {\nendpoint d-a { data-centre = \"south\" address = "
     "\"127.0.0.1:7400\" connections = 50 slots = 3 }\n}\n",
     {"5: unknown data-centre"}},
    {"zero-limits",
     VALID_HEAD
     "database d {\nendpoint d-a {\ndata-centre = \"north\"\naddress = "
     "\"127.0.0.1:7400\"\nconnections = 0\nslots = 0 }\n}\n",
     {"8: connections is 0", "9: slots is 0"}},
    {"unknown-rank",
     VALID_HEAD "kind read { rank = \"slow\" }\n" VALID_DATABASE,
     {"4: rank \"slow\""}},
    {"bad-age",
     VALID_HEAD "kind read {\nrank = \"urgent\"\nage = \"soon\"\ndeadline = "
                "\"0s\"\n}\n" VALID_DATABASE,
     {"6: age \"soon\"", "7: deadline"}},
    {"bad-confirm",
     VALID_HEAD
     "kind k { rank = \"urgent\" confirm = \"maybe\" }\n" VALID_DATABASE,
     {"4: confirm \"maybe\""}},
    {"duplicates",
     VALID_HEAD
     "kind pay { rank = \"urgent\" }\nrank urgent { floor = 1 }\n"
     "data-centre north { region = \"r\" }\n" VALID_DATABASE VALID_DATABASE,
     {"4: title 'pay'", "5: title 'urgent'", "6: title 'north'", "11: address",
      "10: title 'd'", "11: endpoint \"d-a\""}},
    {"floors",
     VALID_HEAD "rank a { floor = 60 }\nrank b { floor = 50 }\n"
                "rank c { floor = 101 }\n" VALID_DATABASE,
     {"5: over 100%", "6: must be 0 to 100"}},
    {"bad-address",
     VALID_HEAD "database d {\n" ENDPOINT("d-a", "localhost:7400")
         ENDPOINT("d-b", "127.0.0.1") ENDPOINT("d-c", "127.0.0.256:1") "}\n",
     {"5: \"localhost:7400\"", "6: \"127.0.0.1\"", "7: \"127.0.0.256:1\""}},
    {"no-endpoint", VALID_HEAD "database d {\n}\n", {"5: has 0 endpoints"}},
    {"bad-name",
     VALID_HEAD "database \"a b\" {\n" ENDPOINT("d-a", "127.0.0.1:7400") "}\n",
     {"6: database name \"a b\""}},
    {"unclosed-section", VALID_HEAD "database d {\n", {"0: "}},
};

/* Checks that the list has the expected finding. */
static void
check_finding(const cbw_findings_t *findings, const char *expected)
{
    int line = (int)g_ascii_strtoll(expected, NULL, 10);
    const char *expected_text = strchr(expected, ' ') + 1;

    for (size_t i = 0; i < findings->count; i++) {
        if ((line == 0 || findings->items[i].line == line) &&
            strstr(findings->items[i].text, expected_text) != NULL) {
            return;
        }
    }
    for (size_t i = 0; i < findings->count; i++) {
        g_test_message("found %d: %s", findings->items[i].line,
                       findings->items[i].text);
    }
    g_test_message("missing: %s", expected);
    g_test_fail();
}

/* Valid texts are parsed; in others every problem is found, with its line. */
static void
test_parse(gconstpointer data)
{
    const inventory_case_t *inventory_case = data;
    cbw_inventory_t inventory;
    cbw_findings_t findings;
    int result;

    CbwFindings_Init(&findings);
    result = CbwInventory_Parse(&inventory, inventory_case->text, "test",
                                &findings);
    g_assert_cmpint(result, ==, inventory_case->findings[0] == NULL ? 0 : -1);
    for (int i = 0; i < 6 && inventory_case->findings[i] != NULL; i++) {
        check_finding(&findings, inventory_case->findings[i]);
    }
    CbwInventory_Finish(&inventory);
    CbwFindings_Finish(&findings);
}

static void
test_durations(void)
{
    static const struct {
        const char *text;
        cbw_time_t value;
    } durations[] = {
        {"250ms", 250 * Cbw_MSEC},
        {"2s", 2 * Cbw_SEC},
        {"1.5s", 1500 * Cbw_MSEC},
        {"5m", 300 * Cbw_SEC},
        {"any", Cbw_NEVER},
        {"", -1},
        {"5", -1},
        {"-5s", -1},
        {"5 s", -1},
        {"5h", -1},
        {"s", -1},
        {"nan", -1},
        {"99999999s", -1},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(durations); i++) {
        g_assert_cmpint(CbwInventory_ParseDuration(durations[i].text), ==,
                        durations[i].value);
    }
}

static void
append_line(void *context, const char *line)
{
    g_string_append_printf(context, "%s\n", line);
}

/* Each added, removed or changed item gives one line. */
static void
test_diff(void)
{
    cbw_inventory_t before;
    cbw_inventory_t after;
    cbw_findings_t findings;
    GString *lines = g_string_new("");

    CbwFindings_Init(&findings);
    CbwInventory_Parse(&before, VALID_HEAD VALID_DATABASE, "before",
                       &findings);
    CbwInventory_Parse(
        &after,
        "data-centre north { region = \"r\" }\n"
        "rank urgent { floor = 5 }\n"
        "kind pay { rank = \"urgent\" writes = true deadline = 1s }\n"
        "kind look { rank = \"urgent\" }\n"
        "database d {\nendpoint d-a { data-centre = \"north\" address = "
        "\"127.0.0.1:7400\" connections = 50 slots = 3 leaving = true "
        "}\n" ENDPOINT("d-b", "127.0.0.2:7400") "}\n",
        "after", &findings);
    g_assert_cmpuint(findings.count, ==, 0);
    CbwInventory_Diff(&before, &after, append_line, lines);
    g_assert_cmpstr(lines->str, ==,
                    "~ rank number 1: floor 0 -> 5\n"
                    "~ kind pay: deadline us 2000000 -> 1000000\n"
                    "+ kind look\n"
                    "~ endpoint d-a: leaving false -> true\n"
                    "+ endpoint d-b\n");
    g_string_free(lines, TRUE);
    CbwInventory_Finish(&before);
    CbwInventory_Finish(&after);
    CbwFindings_Finish(&findings);
}

void
Suite_AddInventory(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *path = g_strdup_printf("/inventory/%s", cases[i].name);
        g_test_add_data_func(path, &cases[i], test_parse);
        g_free(path);
    }
    g_test_add_func("/inventory/durations", test_durations);
    g_test_add_func("/inventory/diff", test_diff);
}
