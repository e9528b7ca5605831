/* Settings of the daemon, from flags and environment variables. */
#ifndef CAROBWINDD_SETTINGS_H
#define CAROBWINDD_SETTINGS_H

#include "carobwind/error.h"
#include "carobwind/types.h"

typedef struct {
    const char *name;
    const char *data_centre;
    const char *callers_address;  /* address for callers */
    const char *peers_address;    /* address for other daemons and the tool */
    const char *platform_address; /* address of the platform's service */
    const char *join_addresses;   /* peers to ask first, separated by commas */
    const char *log_level;
    const char *queue_policy;
    const char *limit_policy;
    const char *route_policy;
    const char *endpoint_driver;
    const char *store_driver;
    const char *caller_driver;     /* "resp", or a plug-in with sessions */
    const char *registry_driver;   /* "": the operators' text in the store */
    const char *order_driver;      /* "": endpoints are told themselves */
    const char *orders_address;    /* address for orders of promotions */
    const char *readiness_address; /* address for the balancer; "": none */
    const char *metrics_address;   /* address for counters; "": none */
    const char *owner_policy;      /* "owner", or "direct": the baseline */
    long drain_seconds;
    bool test_faults;
} settings_t;

/* Returns 0, or -1 with all that is wrong in `findings`. */
int Settings_Parse(settings_t *settings, int argc, char **argv,
                   cbw_findings_t *findings);

#endif
