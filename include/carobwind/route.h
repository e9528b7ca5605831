/* Choosing the endpoint of a read, behind a table of functions. */
#ifndef CAROBWIND_ROUTE_H
#define CAROBWIND_ROUTE_H

#include "carobwind/group.h"
#include "carobwind/request.h"

typedef enum {
    CBW_ROUTE_CHOSEN,
    CBW_ROUTE_FULL,    /* replicas fit, but none has room now */
    CBW_ROUTE_BEHIND,  /* a replica may fit soon */
    CBW_ROUTE_PRIMARY, /* only the primary fits */
} cbw_route_result_t;

/* Names of the members of cbw_route_result_t, in their order. */
extern const char *const CbwRoute_ResultString[];

typedef struct {
    /* Chooses a replica for a read; sets `endpoint` when one is chosen.
     * `token` is NULL when the request has none. */
    cbw_route_result_t (*choose)(const cbw_group_t *group,
                                 const cbw_request_t *request,
                                 const cbw_token_t *token, cbw_time_t now,
                                 int *endpoint);
} cbw_route_ops_t;

/* Why endpoint `index` is or is not used for reads; for operators. */
const char *CbwRoute_Explain(const cbw_group_t *group, int index,
                             cbw_time_t now);

/* The policy called `name` ("replica" or "primary"), or NULL. */
const cbw_route_ops_t *CbwRoute_Policy(const char *name);

#endif
