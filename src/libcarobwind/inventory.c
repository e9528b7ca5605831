#include "carobwind/inventory.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "private/inventory.h"
#include "private/inventory_parser.h"

const char *const CbwInventory_ConfirmString[] = {"none", "term", "position"};
const char *const CbwInventory_ConsistencyString[] = {"session", "bounded",
                                                      "latest"};

/* Maximum size of a text that is parsed, in bytes. */
#define TEXT_SIZE_MAX ((size_t)16 * 1024 * 1024)

cbw_time_t
CbwInventory_ParseDuration(const char *text)
{
    static const struct {
        const char *unit;
        cbw_time_t length;
    } units[] = {{"ms", Cbw_MSEC}, {"s", Cbw_SEC}, {"m", 60 * Cbw_SEC}};
    char *rest;
    double value;

    if (strcmp(text, "any") == 0) {
        return Cbw_NEVER;
    }
    if (!isdigit((unsigned char)text[0])) {
        return -1;
    }
    value = strtod(text, &rest);
    if (value > 1e6) {
        return -1;
    }
    for (size_t i = 0; i < sizeof(units) / sizeof(units[0]); i++) {
        if (strcmp(rest, units[i].unit) == 0) {
            return (cbw_time_t)(value * (double)units[i].length);
        }
    }
    return -1;
}

/* Returns whether the text is a valid name. The characters are restricted as
 * names become part of keys, tokens and tables. */
static bool
is_valid_name(const char *text)
{
    size_t length = strlen(text);

    if (length == 0 || length >= Cbw_NAME_MAX) {
        return false;
    }
    for (size_t i = 0; i < length; i++) {
        if (!isalnum((unsigned char)text[i]) &&
            strchr("-_.", text[i]) == NULL) {
            return false;
        }
    }
    return true;
}

bool
CbwInventory_IsAddress(const char *text)
{
    unsigned a, b, c, d, port;
    char rest;

    return strlen(text) < Cbw_ADDRESS_MAX &&
           sscanf(text, "%3u.%3u.%3u.%3u:%5u%c", &a, &b, &c, &d, &port,
                  &rest) == 5 &&
           a < 256 && b < 256 && c < 256 && d < 256 && port > 0 &&
           port < 65536;
}

static void
copy_name(parse_context_t *context, const cfg_t *section,
          const char *item_type, char *target)
{
    const char *title = cfg_title((cfg_t *)section);

    if (title == NULL || !is_valid_name(title)) {
        CbwInventoryParser_AddFinding(
            context, section, "",
            "%s name \"%s\" must consist of letters, digits, "
            "'-', '_' and '.', at most %d",
            item_type, title ? title : "", Cbw_NAME_MAX - 1);
        return;
    }
    snprintf(target, Cbw_NAME_MAX, "%s", title);
}

static cbw_time_t
read_duration(parse_context_t *context, cfg_t *section, const char *option)
{
    const char *text = cfg_getstr(section, option);
    cbw_time_t value = CbwInventory_ParseDuration(text);

    if (value < 0) {
        CbwInventoryParser_AddFinding(
            context, section, option,
            "%s \"%s\" is not a duration such as 250ms, 2s, 5m or any", option,
            text);
    }
    return value;
}

static int
read_positive(parse_context_t *context, cfg_t *section, const char *option,
              long highest)
{
    long value = cfg_getint(section, option);

    if (value < 1 || value > highest) {
        CbwInventoryParser_AddFinding(context, section, option,
                                      "%s is %ld, must be 1 to %ld", option,
                                      value, highest);
        return 1;
    }
    return (int)value;
}

static void
read_data_centres(parse_context_t *context, cfg_t *root,
                  cbw_inventory_t *inventory)
{
    size_t count = cfg_size(root, "data-centre");

    inventory->data_centres = calloc(count + 1, sizeof(cbw_data_centre_t));
    for (size_t i = 0; i < count; i++) {
        cfg_t *section = cfg_getnsec(root, "data-centre", (unsigned)i);
        cbw_data_centre_t *centre =
            &inventory->data_centres[inventory->data_centre_count];
        copy_name(context, section, "data-centre", centre->name);
        snprintf(centre->region, sizeof(centre->region), "%s",
                 cfg_getstr(section, "region"));
        inventory->data_centre_count++;
    }
    if (count == 0) {
        CbwInventoryParser_AddFinding(context, root, "",
                                      "no data-centre is defined");
    }
}

static int
rank_index(const cbw_inventory_t *inventory, const char *name)
{
    for (size_t i = 0; i < inventory->rank_count; i++) {
        if (strcmp(inventory->ranks[i].name, name) == 0) {
            return (int)i;
        }
    }
    return -1;
}

static void
read_ranks(parse_context_t *context, cfg_t *root, cbw_inventory_t *inventory)
{
    size_t count = cfg_size(root, "rank");
    long sum = 0;

    for (size_t i = 0; i < count; i++) {
        cfg_t *section = cfg_getnsec(root, "rank", (unsigned)i);
        long floor = cfg_getint(section, "floor");
        cbw_rank_t *rank;
        if (inventory->rank_count == Cbw_RANKS_MAX) {
            CbwInventoryParser_AddFinding(context, section, "",
                                          "there are more than %d ranks",
                                          Cbw_RANKS_MAX);
            break;
        }
        rank = &inventory->ranks[inventory->rank_count++];
        copy_name(context, section, "rank", rank->name);
        if (floor < 0 || floor > 100) {
            CbwInventoryParser_AddFinding(context, section, "floor",
                                          "floor is %ld, must be 0 to 100",
                                          floor);
            continue;
        }
        rank->floor_percent = (int)floor;
        sum += floor;
        if (sum > 100) {
            CbwInventoryParser_AddFinding(
                context, section, "floor",
                "the floors up to this rank add up to %ld%%, over 100%%", sum);
        }
    }
    if (count == 0) {
        CbwInventoryParser_AddFinding(context, root, "", "no rank is defined");
    }
}

static cbw_confirm_level_t
read_confirm(parse_context_t *context, cfg_t *section)
{
    const char *text = cfg_getstr(section, "confirm");

    for (int i = CBW_CONFIRM_NONE; i <= CBW_CONFIRM_POSITION; i++) {
        if (strcmp(text, CbwInventory_ConfirmString[i]) == 0) {
            return (cbw_confirm_level_t)i;
        }
    }
    CbwInventoryParser_AddFinding(
        context, section, "confirm",
        "confirm \"%s\" is not none, term or position", text);
    return CBW_CONFIRM_POSITION;
}

static void
read_kind(parse_context_t *context, cfg_t *section, cbw_inventory_t *inventory,
          cbw_kind_t *kind)
{
    const char *rank = cfg_getstr(section, "rank");

    copy_name(context, section, "kind", kind->name);
    kind->rank = rank != NULL ? rank_index(inventory, rank) : -1;
    if (kind->rank < 0) {
        CbwInventoryParser_AddFinding(context, section, "rank",
                                      "rank \"%s\" is not defined",
                                      rank ? rank : "");
        kind->rank = 0;
    }
    kind->writes = cfg_getbool(section, "writes");
    kind->confirm = read_confirm(context, section);
    kind->age = read_duration(context, section, "age");
    kind->deadline = read_duration(context, section, "deadline");
    if (kind->deadline == Cbw_NEVER || kind->deadline == 0) {
        CbwInventoryParser_AddFinding(context, section, "deadline",
                                      "deadline must be a duration above 0");
    }
}

static void
read_kinds(parse_context_t *context, cfg_t *root, cbw_inventory_t *inventory)
{
    size_t count = cfg_size(root, "kind");

    inventory->kinds = calloc(count + 1, sizeof(cbw_kind_t));
    for (size_t i = 0; i < count; i++) {
        cfg_t *section = cfg_getnsec(root, "kind", (unsigned)i);
        read_kind(context, section, inventory,
                  &inventory->kinds[inventory->kind_count]);
        inventory->kind_count++;
    }
    if (count == 0) {
        CbwInventoryParser_AddFinding(context, root, "",
                                      "no kind of work is defined");
    }
}

/* A name or address that must be unique. Sorted to find duplicates. */
typedef struct {
    const char *text;
    const cfg_t *section;
} unique_value_t;

static int
compare_unique_values(const void *left, const void *right)
{
    return strcmp(((const unique_value_t *)left)->text,
                  ((const unique_value_t *)right)->text);
}

static void
find_duplicates(parse_context_t *context, unique_value_t *items, size_t count,
                const char *item_type, const char *option)
{
    if (count == 0) {
        return;
    }
    qsort(items, count, sizeof(*items), compare_unique_values);
    for (size_t i = 1; i < count; i++) {
        if (strcmp(items[i].text, items[i - 1].text) == 0) {
            CbwInventoryParser_AddFinding(context, items[i].section, option,
                                          "%s \"%s\" is used more than once",
                                          item_type, items[i].text);
        }
    }
}

static void
read_endpoint(parse_context_t *context, cfg_t *section,
              const cbw_inventory_t *inventory, cbw_endpoint_t *endpoint)
{
    const char *centre = cfg_getstr(section, "data-centre");
    const char *address = cfg_getstr(section, "address");

    copy_name(context, section, "endpoint", endpoint->name);
    if (centre == NULL ||
        CbwInventory_FindDataCentre(inventory, centre) == NULL) {
        CbwInventoryParser_AddFinding(
            context, section, "data-centre",
            "endpoint \"%s\" is in the unknown data-centre \"%s\"",
            cfg_title(section), centre ? centre : "");
    }
    else {
        snprintf(endpoint->data_centre, sizeof(endpoint->data_centre), "%s",
                 centre);
    }
    if (address == NULL || !CbwInventory_IsAddress(address)) {
        CbwInventoryParser_AddFinding(context, section, "address",
                                      "address \"%s\" is not ip:port",
                                      address ? address : "");
    }
    else {
        snprintf(endpoint->address, sizeof(endpoint->address), "%s", address);
    }
    endpoint->connections =
        read_positive(context, section, "connections", 100000);
    endpoint->slots = read_positive(context, section, "slots", 10000);
    endpoint->leaving = cfg_getbool(section, "leaving");
}

const char *
CbwInventory_Home(const cbw_database_t *database)
{
    if (database->home[0] != '\0') {
        return database->home;
    }
    return database->endpoint_count > 0 ? database->endpoints[0].data_centre
                                        : "";
}

static void
read_database(parse_context_t *context, cfg_t *section,
              const cbw_inventory_t *inventory, cbw_database_t *database)
{
    size_t count = cfg_size(section, "endpoint");

    copy_name(context, section, "database", database->name);
    if (count == 0 || count > Cbw_ENDPOINTS_MAX) {
        CbwInventoryParser_AddFinding(
            context, section, "",
            "database \"%s\" has %zu endpoints, must have 1 "
            "to %d",
            cfg_title(section), count, Cbw_ENDPOINTS_MAX);
    }
    for (size_t i = 0; i < count && i < Cbw_ENDPOINTS_MAX; i++) {
        read_endpoint(context, cfg_getnsec(section, "endpoint", (unsigned)i),
                      inventory, &database->endpoints[i]);
        database->endpoint_count++;
    }
}

/* Checks that the names and the addresses of endpoints are unique over all
 * databases. */
static void
check_duplicates(parse_context_t *context, cfg_t *root)
{
    size_t databases = cfg_size(root, "database");
    size_t capacity = databases * Cbw_ENDPOINTS_MAX + 1;
    unique_value_t *endpoints = calloc(capacity, sizeof(unique_value_t));
    unique_value_t *addresses = calloc(capacity, sizeof(unique_value_t));
    size_t count = 0;

    for (size_t i = 0; endpoints && addresses && i < databases; i++) {
        cfg_t *section = cfg_getnsec(root, "database", (unsigned)i);
        for (size_t j = 0; j < cfg_size(section, "endpoint"); j++) {
            cfg_t *endpoint = cfg_getnsec(section, "endpoint", (unsigned)j);
            const char *address = cfg_getstr(endpoint, "address");
            if (count + 1 < capacity) {
                endpoints[count] =
                    (unique_value_t){cfg_title(endpoint), endpoint};
                addresses[count] =
                    (unique_value_t){address ? address : "", endpoint};
                count++;
            }
        }
    }
    if (endpoints && addresses) {
        find_duplicates(context, endpoints, count, "endpoint", "");
        find_duplicates(context, addresses, count, "address", "address");
    }
    free(endpoints);
    free(addresses);
}

static void
read_databases(parse_context_t *context, cfg_t *root,
               cbw_inventory_t *inventory)
{
    size_t count = cfg_size(root, "database");

    inventory->databases = calloc(count + 1, sizeof(cbw_database_t));
    for (size_t i = 0; i < count; i++) {
        read_database(context, cfg_getnsec(root, "database", (unsigned)i),
                      inventory, &inventory->databases[i]);
        inventory->database_count++;
    }
    if (count == 0) {
        CbwInventoryParser_AddFinding(context, root, "",
                                      "no database is defined");
    }
    check_duplicates(context, root);
}

static int
compare_databases(const void *left, const void *right)
{
    return strcmp(((const cbw_database_t *)left)->name,
                  ((const cbw_database_t *)right)->name);
}

int
CbwInventory_Parse(cbw_inventory_t *inventory, const char *text,
                   const char *source, cbw_findings_t *findings)
{
    parse_context_t context = {.source = source, .findings = findings};
    size_t findings_before = findings->count;
    char *copy = NULL;
    cfg_t *root = NULL;

    memset(inventory, 0, sizeof(*inventory));
    if (strlen(text) > TEXT_SIZE_MAX) {
        CbwFindings_Add(findings, source, 0, "the inventory exceeds %zu bytes",
                        TEXT_SIZE_MAX);
        return -1;
    }
    copy = strdup(text);
    if (copy != NULL) {
        root = CbwInventoryParser_Parse(&context, &copy);
    }
    if (root != NULL) {
        read_data_centres(&context, root, inventory);
        read_ranks(&context, root, inventory);
        read_kinds(&context, root, inventory);
        read_databases(&context, root, inventory);
        cfg_free(root);
    }
    free(copy);
    free(context.lines);
    if (root == NULL || findings->count > findings_before) {
        CbwInventory_Finish(inventory);
        return -1;
    }
    qsort(inventory->databases, inventory->database_count,
          sizeof(*inventory->databases), compare_databases);
    return 0;
}

void
CbwInventory_Finish(cbw_inventory_t *inventory)
{
    free(inventory->data_centres);
    free(inventory->databases);
    free(inventory->kinds);
    free(inventory->workspaces);
    free(inventory->keys);
    memset(inventory, 0, sizeof(*inventory));
}

static int
compare_name(const void *name, const void *database)
{
    return strcmp(name, ((const cbw_database_t *)database)->name);
}

const cbw_database_t *
CbwInventory_FindDatabase(const cbw_inventory_t *inventory, const char *name)
{
    if (inventory->database_count == 0) {
        return NULL;
    }
    return bsearch(name, inventory->databases, inventory->database_count,
                   sizeof(*inventory->databases), compare_name);
}

static int
compare_kind_name(const void *name, const void *kind)
{
    return strcmp(name, ((const cbw_kind_t *)kind)->name);
}

const cbw_kind_t *
CbwInventory_FindKind(const cbw_inventory_t *inventory, const char *name)
{
    if (inventory->kinds_sorted && inventory->kind_count > 0) {
        return bsearch(name, inventory->kinds, inventory->kind_count,
                       sizeof(*inventory->kinds), compare_kind_name);
    }
    for (size_t i = 0; i < inventory->kind_count; i++) {
        if (strcmp(inventory->kinds[i].name, name) == 0) {
            return &inventory->kinds[i];
        }
    }
    return NULL;
}

const cbw_data_centre_t *
CbwInventory_FindDataCentre(const cbw_inventory_t *inventory, const char *name)
{
    for (size_t i = 0; i < inventory->data_centre_count; i++) {
        if (strcmp(inventory->data_centres[i].name, name) == 0) {
            return &inventory->data_centres[i];
        }
    }
    return NULL;
}
