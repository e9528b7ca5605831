#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "carobwind/inventory.h"

typedef void (*report_t)(void *context, const char *line);

/* One property of an item, as text. */
typedef struct {
    const char *item;
    const char *property;
    char before[64];
    char after[64];
} change_t;

static void
report_change(const change_t *change, report_t report, void *context)
{
    char line[256];

    if (strcmp(change->before, change->after) == 0) {
        return;
    }
    snprintf(line, sizeof(line), "~ %s: %s %s -> %s", change->item,
             change->property, change->before, change->after);
    report(context, line);
}

static void
report_number(const char *item, const char *property, long before, long after,
              report_t report, void *context)
{
    change_t change = {.item = item, .property = property};

    snprintf(change.before, sizeof(change.before), "%ld", before);
    snprintf(change.after, sizeof(change.after), "%ld", after);
    report_change(&change, report, context);
}

static void
report_text(const char *item, const char *property, const char *before,
            const char *after, report_t report, void *context)
{
    change_t change = {.item = item, .property = property};

    snprintf(change.before, sizeof(change.before), "%s", before);
    snprintf(change.after, sizeof(change.after), "%s", after);
    report_change(&change, report, context);
}

static void
report_item(char sign, const char *type, const char *name, report_t report,
            void *context)
{
    char line[128];

    snprintf(line, sizeof(line), "%c %s %s", sign, type, name);
    report(context, line);
}

static const cbw_endpoint_t *
find_endpoint(const cbw_database_t *database, const char *name)
{
    for (int i = 0; i < database->endpoint_count; i++) {
        if (strcmp(database->endpoints[i].name, name) == 0) {
            return &database->endpoints[i];
        }
    }
    return NULL;
}

static void
diff_endpoint(const cbw_endpoint_t *a, const cbw_endpoint_t *b,
              report_t report, void *context)
{
    char item[80];

    snprintf(item, sizeof(item), "endpoint %s", a->name);
    report_text(item, "data-centre", a->data_centre, b->data_centre, report,
                context);
    report_text(item, "address", a->address, b->address, report, context);
    report_number(item, "connections", a->connections, b->connections, report,
                  context);
    report_number(item, "slots", a->slots, b->slots, report, context);
    report_text(item, "leaving", a->leaving ? "true" : "false",
                b->leaving ? "true" : "false", report, context);
}

static void
diff_database(const cbw_database_t *a, const cbw_database_t *b,
              report_t report, void *context)
{
    for (int i = 0; i < a->endpoint_count; i++) {
        const cbw_endpoint_t *other = find_endpoint(b, a->endpoints[i].name);
        if (other != NULL) {
            diff_endpoint(&a->endpoints[i], other, report, context);
        }
        else {
            report_item('-', "endpoint", a->endpoints[i].name, report,
                        context);
        }
    }
    for (int i = 0; i < b->endpoint_count; i++) {
        if (find_endpoint(a, b->endpoints[i].name) == NULL) {
            report_item('+', "endpoint", b->endpoints[i].name, report,
                        context);
        }
    }
}

static void
diff_databases(const cbw_inventory_t *before, const cbw_inventory_t *after,
               report_t report, void *context)
{
    for (size_t i = 0; i < before->database_count; i++) {
        const cbw_database_t *a = &before->databases[i];
        const cbw_database_t *b = CbwInventory_FindDatabase(after, a->name);
        if (b != NULL) {
            diff_database(a, b, report, context);
        }
        else {
            report_item('-', "database", a->name, report, context);
        }
    }
    for (size_t i = 0; i < after->database_count; i++) {
        const char *name = after->databases[i].name;
        if (CbwInventory_FindDatabase(before, name) == NULL) {
            report_item('+', "database", name, report, context);
        }
    }
}

static void
diff_kinds(const cbw_inventory_t *before, const cbw_inventory_t *after,
           report_t report, void *context)
{
    for (size_t i = 0; i < after->kind_count; i++) {
        const cbw_kind_t *b = &after->kinds[i];
        const cbw_kind_t *a = CbwInventory_FindKind(before, b->name);
        char item[Cbw_NAME_MAX + 8];
        if (a == NULL) {
            report_item('+', "kind", b->name, report, context);
            continue;
        }
        snprintf(item, sizeof(item), "kind %s", b->name);
        report_text(item, "rank", before->ranks[a->rank].name,
                    after->ranks[b->rank].name, report, context);
        report_text(item, "writes", a->writes ? "true" : "false",
                    b->writes ? "true" : "false", report, context);
        report_text(item, "confirm", CbwInventory_ConfirmString[a->confirm],
                    CbwInventory_ConfirmString[b->confirm], report, context);
        report_number(item, "age us", a->age, b->age, report, context);
        report_number(item, "deadline us", a->deadline, b->deadline, report,
                      context);
    }
    for (size_t i = 0; i < before->kind_count; i++) {
        const char *name = before->kinds[i].name;
        if (CbwInventory_FindKind(after, name) == NULL) {
            report_item('-', "kind", name, report, context);
        }
    }
}

static void
diff_ranks(const cbw_inventory_t *before, const cbw_inventory_t *after,
           report_t report, void *context)
{
    size_t count = before->rank_count > after->rank_count ? before->rank_count
                                                          : after->rank_count;

    for (size_t i = 0; i < count; i++) {
        bool in_before = i < before->rank_count;
        bool in_after = i < after->rank_count;
        char item[40];
        snprintf(item, sizeof(item), "rank number %zu", i + 1);
        report_text(item, "name", in_before ? before->ranks[i].name : "none",
                    in_after ? after->ranks[i].name : "none", report, context);
        report_number(
            item, "floor", in_before ? before->ranks[i].floor_percent : 0,
            in_after ? after->ranks[i].floor_percent : 0, report, context);
    }
}

static void
diff_data_centres(const cbw_inventory_t *before, const cbw_inventory_t *after,
                  report_t report, void *context)
{
    for (size_t i = 0; i < after->data_centre_count; i++) {
        const char *name = after->data_centres[i].name;
        if (CbwInventory_FindDataCentre(before, name) == NULL) {
            report_item('+', "data-centre", name, report, context);
        }
    }
    for (size_t i = 0; i < before->data_centre_count; i++) {
        const char *name = before->data_centres[i].name;
        if (CbwInventory_FindDataCentre(after, name) == NULL) {
            report_item('-', "data-centre", name, report, context);
        }
    }
}

void
CbwInventory_Diff(const cbw_inventory_t *before, const cbw_inventory_t *after,
                  void (*report)(void *context, const char *line),
                  void *context)
{
    diff_data_centres(before, after, report, context);
    diff_ranks(before, after, report, context);
    diff_kinds(before, after, report, context);
    diff_databases(before, after, report, context);
}
