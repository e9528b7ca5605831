#include "carobwind/region.h"

#include <stdio.h>
#include <string.h>

#include "carobwind/read_dispatch.h"

static const cbw_data_centre_t *
find(const cbw_regions_t *regions, const char *data_centre)
{
    size_t low = 0;
    size_t high = regions->count;

    while (low < high) {
        size_t middle = low + (high - low) / 2;
        int order = strcmp(regions->data_centres[middle].name, data_centre);
        if (order == 0) {
            return &regions->data_centres[middle];
        }
        if (order < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return NULL;
}

static bool
is_valid_name(const char *name)
{
    size_t length = strlen(name);

    return length > 0 && length < Cbw_NAME_MAX;
}

int
CbwRegions_Add(cbw_regions_t *regions, const char *data_centre,
               const char *region, cbw_error_t *error)
{
    const cbw_data_centre_t *known;
    size_t at = regions->count;

    if (!is_valid_name(data_centre) || !is_valid_name(region)) {
        return CbwError_Set(error, CBW_ERROR_INVALID,
                            "data centre \"%.60s\", region \"%.60s\": 1 to %d "
                            "characters are required",
                            data_centre, region, Cbw_NAME_MAX - 1);
    }
    known = find(regions, data_centre);
    if (known != NULL) {
        if (strcmp(known->region, region) == 0) {
            return 0;
        }
        return CbwError_Set(error, CBW_ERROR_INVALID,
                            "data centre \"%s\" is in region \"%s\" and "
                            "\"%s\"",
                            data_centre, known->region, region);
    }
    if (regions->count == Cbw_REGIONS_MAX) {
        return CbwError_Set(error, CBW_ERROR_INVALID,
                            "more than %d data centres", Cbw_REGIONS_MAX);
    }
    for (;
         at > 0 && strcmp(regions->data_centres[at - 1].name, data_centre) > 0;
         at--) {
        regions->data_centres[at] = regions->data_centres[at - 1];
    }
    memset(&regions->data_centres[at], 0, sizeof(regions->data_centres[at]));
    memcpy(regions->data_centres[at].name, data_centre, strlen(data_centre));
    memcpy(regions->data_centres[at].region, region, strlen(region));
    regions->count++;
    regions->several |=
        strcmp(regions->data_centres[0].region, region) != 0 ||
        strcmp(regions->data_centres[regions->count - 1].region, region) != 0;
    return 0;
}

const char *
CbwRegions_Find(const cbw_regions_t *regions, const char *data_centre)
{
    const cbw_data_centre_t *known = regions != NULL && regions->several
                                         ? find(regions, data_centre)
                                         : NULL;

    return known != NULL ? known->region : "";
}

bool
CbwRegions_IsSame(const cbw_regions_t *regions, const char *a, const char *b)
{
    const char *region = CbwRegions_Find(regions, a);

    if (regions == NULL || !regions->several || strcmp(a, b) == 0) {
        return true;
    }
    return region[0] != '\0' &&
           strcmp(region, CbwRegions_Find(regions, b)) == 0;
}

const char *
CbwRegions_ChooseHome(const cbw_regions_t *regions,
                      const cbw_database_t *database, const char *previous)
{
    const cbw_endpoint_t *primary = NULL;
    const char *kept = NULL;
    int primaries = 0;

    if (database->endpoint_count == 0) {
        return "";
    }
    if (regions == NULL || !regions->several) {
        return database->endpoints[0].data_centre;
    }
    for (int i = 0; i < database->endpoint_count; i++) {
        const cbw_endpoint_t *endpoint = &database->endpoints[i];
        if (endpoint->reports_primary) {
            primaries++;
            primary = primary != NULL ? primary : endpoint;
        }
        if (previous != NULL && strcmp(endpoint->data_centre, previous) == 0) {
            kept = endpoint->data_centre;
        }
    }
    if (primaries != 1 && kept != NULL) {
        return kept;
    }
    return primary != NULL ? primary->data_centre
                           : database->endpoints[0].data_centre;
}

static void
set_home(const cbw_regions_t *regions, cbw_database_t *database,
         const cbw_database_t *previous, cbw_time_t now)
{
    bool known = previous != NULL && previous->home[0] != '\0';
    const char *home = CbwRegions_ChooseHome(regions, database,
                                             known ? previous->home : NULL);

    if (known) {
        database->home_moved_at = previous->home_moved_at;
        if (home[0] == '\0') {
            home = previous->home;
        }
        else if (strcmp(home, previous->home) != 0) {
            database->home_moved_at = now;
        }
    }
    snprintf(database->home, sizeof(database->home), "%s", home);
}

void
CbwRegions_SetHomes(const cbw_regions_t *regions, cbw_inventory_t *inventory,
                    const cbw_inventory_t *previous, cbw_time_t now)
{
    if (regions == NULL || !regions->several) {
        return;
    }
    for (size_t i = 0; i < inventory->database_count; i++) {
        cbw_database_t *database = &inventory->databases[i];
        set_home(regions, database,
                 previous != NULL
                     ? CbwInventory_FindDatabase(previous, database->name)
                     : NULL,
                 now);
    }
}

const cbw_endpoint_t *
CbwRegions_FindReadEndpoint(const cbw_regions_t *regions,
                            const cbw_database_t *database,
                            const char *data_centre)
{
    if (CbwRegions_IsSame(regions, data_centre, CbwInventory_Home(database))) {
        return NULL;
    }
    for (int i = 0; i < database->endpoint_count; i++) {
        const cbw_endpoint_t *endpoint = &database->endpoints[i];
        if (!endpoint->leaving && !endpoint->reports_primary &&
            endpoint->connections >= Cbw_READ_CONNECTIONS_MIN &&
            CbwRegions_IsSame(regions, data_centre, endpoint->data_centre)) {
            return endpoint;
        }
    }
    return NULL;
}
