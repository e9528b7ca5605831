/* Settings of the daemon, from command line flags and environment variables.
 * Addresses have the form "IP:PORT"; the strings live as long as the process.
 */
#ifndef CAROBWINDD_SETTINGS_H
#define CAROBWINDD_SETTINGS_H

#include "carobwind/error.h"
#include "carobwind/region.h"
#include "carobwind/types.h"

typedef struct {
    const char *name; /* of this host, unique in the fleet */
    const char *data_centre;
    const char *region; /* of the data centre; "": none */
    /* Regions of the data centres, as text (see region_settings.h) and parsed.
     * The table is in force when it names two regions or more. */
    const char *regions_text;
    cbw_regions_t regions;
    /* Cost of traffic out of the region: milliseconds of waiting that 1,000
     * bytes are worth. */
    long remote_cost_ms;
    const char *callers_address;  /* for callers */
    const char *peers_address;    /* for other daemons and carobwindctl */
    const char *platform_address; /* the platform's key-value store */
    const char *join_addresses;   /* seed peers, separated by commas */
    const char *log_level;
    const char *queue_policy;
    const char *limit_policy;
    const char *route_policy;
    const char *endpoint_driver;
    const char *store_driver;
    const char *caller_driver;     /* "resp", or a plug-in: see drivers.h */
    const char *registry_driver;   /* "": the configuration lists endpoints */
    const char *order_driver;      /* "": the daemons promote endpoints */
    const char *orders_address;    /* where promotions are ordered */
    const char *readiness_address; /* listens for readiness checks; "": none */
    const char *metrics_address;   /* listens for metrics requests; "": none */
    /* "owner", or "direct": each host acts as the owner for its own callers,
     * for comparison in measurements. */
    const char *owner_policy;
    long drain_seconds; /* longest graceful shutdown */
    /* How long an endpoint that is leaving receives requests; 0: while it is
     * listed. As text, "" for 0, and parsed. */
    const char *endpoint_drain_ms;
    cbw_time_t endpoint_drain;
    /* What this process may use of its host: memory in MB, and descriptors.
     * 0: not set. */
    long memory_limit_mb;
    long descriptor_limit;
    bool test_faults; /* allows the FAULT command */
} settings_t;

/* Parses the flags and the environment. Returns 0, or -1 with all errors in
 * `findings`. Prints and exits for --help and --version. */
int Settings_Parse(settings_t *settings, int argc, char **argv,
                   cbw_findings_t *findings);

#endif
