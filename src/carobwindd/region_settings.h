/* The settings --region and --regions, as the platform fills them in. */
#ifndef CAROBWINDD_REGION_SETTINGS_H
#define CAROBWINDD_REGION_SETTINGS_H

#include "carobwind/region.h"

/* Parses `text`, the JSON object of --regions: the name of each data centre
 * and its region, a string; "" and null: none. "" in place of the object: no
 * table. `data_centre` and `region` are those of this host, "" when not given,
 * and are checked against the table. Adds each problem to `findings`. */
void RegionSettings_Parse(cbw_regions_t *regions, const char *text,
                          const char *data_centre, const char *region,
                          cbw_findings_t *findings);

#endif
