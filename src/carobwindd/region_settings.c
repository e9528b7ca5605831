#include "region_settings.h"

#include <jansson.h>
#include <string.h>

#define REGION_FLAG "--region"
#define REGIONS_FLAG "--regions"

static void
add_data_centre(cbw_regions_t *regions, const char *name, const json_t *value,
                cbw_findings_t *findings)
{
    const char *region = json_string_value(value);
    cbw_error_t error;

    if (json_is_null(value) || (region != NULL && region[0] == '\0')) {
        return;
    }
    if (region == NULL || json_string_length(value) != strlen(region)) {
        CbwFindings_Add(findings, REGIONS_FLAG, 0,
                        "the region of data centre \"%.60s\" is not a text",
                        name);
        return;
    }
    if (CbwRegions_Add(regions, name, region, &error) != 0) {
        CbwFindings_Add(findings, REGIONS_FLAG, 0, "%s", error.text);
    }
}

/* Other hosts know this host's region only from the table. */
static void
check_own_region(const cbw_regions_t *regions, const char *data_centre,
                 const char *region, cbw_findings_t *findings)
{
    const char *listed = CbwRegions_Find(regions, data_centre);

    if (region[0] != '\0' && regions->several && strcmp(listed, region) != 0) {
        CbwFindings_Add(findings, REGION_FLAG, 0,
                        "\"%.60s\", but " REGIONS_FLAG
                        " has \"%s\" for data centre \"%.60s\"",
                        region, listed, data_centre);
    }
}

void
RegionSettings_Parse(cbw_regions_t *regions, const char *text,
                     const char *data_centre, const char *region,
                     cbw_findings_t *findings)
{
    json_error_t error;
    json_t *root;
    const char *name;
    json_t *value;

    memset(regions, 0, sizeof(*regions));
    if (strlen(region) >= Cbw_NAME_MAX) {
        CbwFindings_Add(findings, REGION_FLAG, 0, "more than %d characters",
                        Cbw_NAME_MAX - 1);
    }
    if (text[0] == '\0') {
        return;
    }
    root = json_loads(text, JSON_REJECT_DUPLICATES, &error);
    if (!json_is_object(root)) {
        CbwFindings_Add(findings, REGIONS_FLAG, 0, "%s",
                        root != NULL ? "not an object of data centres and "
                                       "regions"
                                     : error.text);
        json_decref(root);
        return;
    }
    json_object_foreach(root, name, value)
    {
        add_data_centre(regions, name, value, findings);
    }
    json_decref(root);
    check_own_region(regions, data_centre, region, findings);
}
