/* Routing policies, which select the endpoint of a read. */
#ifndef CAROBWIND_ROUTE_H
#define CAROBWIND_ROUTE_H

#include "carobwind/group.h"
#include "carobwind/request.h"

typedef enum {
    CBW_ROUTE_CHOSEN,
    CBW_ROUTE_FULL,    /* suitable replicas are at their limits */
    CBW_ROUTE_BEHIND,  /* no replica has caught up far enough yet */
    CBW_ROUTE_PRIMARY, /* only the primary may serve it */
} cbw_route_result_t;

/* Name of each cbw_route_result_t. */
extern const char *const CbwRoute_ResultString[];

typedef struct {
    /* Selects a replica for a read. Sets `endpoint` to its index only when it
     * returns CBW_ROUTE_CHOSEN. `token` is the session's token, NULL when the
     * request carries none. */
    cbw_route_result_t (*choose)(const cbw_group_t *group,
                                 const cbw_request_t *request,
                                 const cbw_token_t *token, cbw_time_t now,
                                 int *endpoint);
} cbw_route_ops_t;

/* Returns a text for operators on why endpoint `index` is or is not used for
 * reads. */
const char *CbwRoute_Explain(const cbw_group_t *group, int index,
                             cbw_time_t now);

/* Returns the policy called `name` ("replica" or "primary"), or NULL when
 * there is none. */
const cbw_route_ops_t *CbwRoute_Policy(const char *name);

#endif
