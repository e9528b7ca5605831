/* The regions of the data centres, and the home of a database: the data centre
 * to which its owner belongs.
 *
 * A table with fewer than two regions is not in force. Homes are then the data
 * centres of the first endpoints, and the regions of all data centres are "".
 */
#ifndef CAROBWIND_REGION_H
#define CAROBWIND_REGION_H

#include "carobwind/inventory.h"

/* Maximum number of data centres in the table. */
#define Cbw_REGIONS_MAX 128

/* Zero is its initial state. */
typedef struct {
    cbw_data_centre_t data_centres[Cbw_REGIONS_MAX]; /* sorted by name */
    size_t count;
    bool several; /* there are two regions or more */
} cbw_regions_t;

/* Adds a data centre. Returns 0, or -1 with an error when a name is empty or
 * too long, when the table is full, or when it names another region for that
 * data centre already. */
int CbwRegions_Add(cbw_regions_t *regions, const char *data_centre,
                   const char *region, cbw_error_t *error);
/* Returns the region of a data centre, which the table owns; "" when it is not
 * named or the table is not in force. `regions` may be NULL: no table. */
const char *CbwRegions_Find(const cbw_regions_t *regions,
                            const char *data_centre);
/* Returns whether both data centres are in one region. Without a table in
 * force all are. A data centre without a region shares it with none. */
bool CbwRegions_IsSame(const cbw_regions_t *regions, const char *a,
                       const char *b);
/* Returns the home of a database: the data centre of the one endpoint that
 * reports itself as the primary. While none or several do, it is `previous`
 * (NULL: not known) as long as an endpoint is there, else the data centre of
 * the first one, in the inventory's order, that does, or of the first of all.
 * Returns "" for a database without endpoints. The result points into
 * `database`. */
const char *CbwRegions_ChooseHome(const cbw_regions_t *regions,
                                  const cbw_database_t *database,
                                  const char *previous);
/* Returns the endpoint of a database at which reads from `data_centre` are
 * served without the owner: the first one, in the inventory's order, of its
 * region that is a replica, is not leaving and has enough connections for a
 * lease (see read_dispatch.h). NULL: there is none, the home is in that region
 * too, or there is no table in force. */
const cbw_endpoint_t *
CbwRegions_FindReadEndpoint(const cbw_regions_t *regions,
                            const cbw_database_t *database,
                            const char *data_centre);
/* Sets the homes of an inventory's databases. `previous`, the inventory that
 * it replaces, or NULL, provides the previous homes for CbwRegions_ChooseHome;
 * databases without endpoints keep theirs. Does nothing without a table in
 * force. */
void CbwRegions_SetHomes(const cbw_regions_t *regions,
                         cbw_inventory_t *inventory,
                         const cbw_inventory_t *previous, cbw_time_t now);

#endif
