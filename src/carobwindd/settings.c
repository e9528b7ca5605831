#include "settings.h"

#include <stdlib.h>
#include <string.h>

#include "carobwind/log.h"
#include "carobwind/offload.h"
#include "carobwind/plugin.h"
#include "region_settings.h"
#include "share/net.h"
#include "share/options.h"

#define DRAIN_MAX_MS 3600000

static settings_t values = {
    .name = "",
    .data_centre = "",
    .region = "",
    .regions_text = "",
    .remote_cost_ms = Cbw_OFFLOAD_COST_PER_KB / Cbw_MSEC,
    .callers_address = "127.0.0.1:7000",
    .peers_address = "127.0.0.1:7100",
    .platform_address = "127.0.0.1:7300",
    .join_addresses = "",
    .log_level = "info",
    .queue_policy = "ranked",
    .limit_policy = "adaptive",
    .route_policy = "replica",
    .endpoint_driver = "resp",
    .store_driver = "resp",
    .caller_driver = "resp",
    .registry_driver = "",
    .order_driver = "",
    .orders_address = "",
    .readiness_address = "",
    .metrics_address = "",
    .owner_policy = "owner",
    .drain_seconds = 15,
    .endpoint_drain_ms = "",
};

static const cbw_option_t options[] = {
    {CBW_OPTION_STRING, "name", "NAME",
     "name of this host, unique in the fleet", &values.name, 0, 0},
    {CBW_OPTION_STRING, "data-centre", "NAME", "data centre of this host",
     &values.data_centre, 0, 0},
    {CBW_OPTION_STRING, "region", "NAME",
     "region of this host's data centre; unset: none", &values.region, 0, 0},
    {CBW_OPTION_STRING, "regions", "JSON",
     "object of all data centres and their regions; unset: one region",
     &values.regions_text, 0, 0},
    {CBW_OPTION_INTEGER, "remote-cost", "MS",
     "waiting that 1,000 bytes out of the region are worth, 0 to 10000 ms",
     &values.remote_cost_ms, 0, 10000},
    {CBW_OPTION_STRING, "callers", "IP:PORT", "listen address for callers",
     &values.callers_address, 0, 0},
    {CBW_OPTION_STRING, "peers", "IP:PORT",
     "listen address for peers and carobwindctl", &values.peers_address, 0, 0},
    {CBW_OPTION_STRING, "platform", "IP:PORT",
     "address of the platform's key-value store", &values.platform_address, 0,
     0},
    {CBW_OPTION_STRING, "join", "IP:PORT,...",
     "seed peers to contact first, comma-separated", &values.join_addresses, 0,
     0},
    {CBW_OPTION_STRING, "log-level", "LEVEL",
     "lowest level: debug, info, warning, error", &values.log_level, 0, 0},
    {CBW_OPTION_STRING, "queue-policy", "NAME",
     "order of queued requests: ranked or fifo", &values.queue_policy, 0, 0},
    {CBW_OPTION_STRING, "limit-policy", "NAME",
     "concurrency limit: adaptive or fixed", &values.limit_policy, 0, 0},
    {CBW_OPTION_STRING, "route-policy", "NAME",
     "where reads go: replica or primary", &values.route_policy, 0, 0},
    {CBW_OPTION_STRING, "endpoint-driver", "NAME",
     "protocol to endpoints: resp or wire", &values.endpoint_driver, 0, 0},
    {CBW_OPTION_STRING, "store-driver", "NAME",
     "protocol to the store: resp or kv", &values.store_driver, 0, 0},
    {CBW_OPTION_STRING, "caller-driver", "NAME",
     "protocol with callers: resp or wire", &values.caller_driver, 0, 0},
    {CBW_OPTION_STRING, "registry-driver", "NAME",
     "source of endpoints: platform; unset: config", &values.registry_driver,
     0, 0},
    {CBW_OPTION_STRING, "order-driver", "NAME",
     "who promotes: duty (platform); unset: daemons", &values.order_driver, 0,
     0},
    {CBW_OPTION_STRING, "orders", "IP:PORT",
     "where to order promotions (order-driver)", &values.orders_address, 0, 0},
    {CBW_OPTION_STRING, "readiness", "IP:PORT",
     "listen address for readiness checks", &values.readiness_address, 0, 0},
    {CBW_OPTION_STRING, "metrics", "IP:PORT", "listen address for the metrics",
     &values.metrics_address, 0, 0},
    {CBW_OPTION_STRING, "owner-policy", "NAME",
     "owner, or direct (each host for its callers)", &values.owner_policy, 0,
     0},
    {CBW_OPTION_INTEGER, "drain-seconds", "N",
     "longest graceful shutdown, 1 to 3600 seconds", &values.drain_seconds, 1,
     3600},
    {CBW_OPTION_STRING, "endpoint-drain-ms", "N",
     "how long a leaving endpoint receives requests; unset: while it is "
     "listed",
     &values.endpoint_drain_ms, 0, 0},
    {CBW_OPTION_FLAG, "test-faults", NULL,
     "allow the FAULT command (tests only)", &values.test_faults, 0, 0},
};

static const cbw_program_t program = {
    .program = "carobwindd",
    .summary = "Daemon of an entry host: serves callers and owns some of the "
               "databases.",
    .options = options,
    .option_count = sizeof(options) / sizeof(options[0]),
};

static void
check_name(const char *flag, const char *value, cbw_findings_t *findings)
{
    size_t length = strlen(value);

    if (length == 0 || length >= Cbw_NAME_MAX) {
        CbwFindings_Add(findings, flag, 0, "required, with 1 to %d characters",
                        Cbw_NAME_MAX - 1);
    }
}

static void
check_address(const char *flag, const char *value, cbw_findings_t *findings)
{
    struct sockaddr_in address;
    cbw_error_t error;

    if (CbwNet_ParseAddress(value, &address, &error) != 0) {
        CbwFindings_Add(findings, flag, 0, "%s", error.text);
    }
}

static void
check_plugin(const char *flag, cbw_plugin_type_t type, const char *value,
             cbw_findings_t *findings)
{
    if (CbwPlugin_Find(type, value) == NULL) {
        CbwFindings_Add(findings, flag, 0, "no %s plug-in is named \"%s\"",
                        CbwPlugin_TypeString[type], value);
    }
}

/* Parses a number of milliseconds, which may be a fraction. */
static void
check_milliseconds(const char *flag, const char *value, cbw_time_t *parsed,
                   cbw_findings_t *findings)
{
    char *end;
    double milliseconds = strtod(value, &end);

    *parsed = 0;
    if (*end != '\0' || !(milliseconds >= 0 && milliseconds <= DRAIN_MAX_MS)) {
        CbwFindings_Add(findings, flag, 0,
                        "\"%s\" is not a number from 0 to %d", value,
                        DRAIN_MAX_MS);
        return;
    }
    *parsed = (cbw_time_t)(milliseconds * (double)Cbw_MSEC);
}

int
Settings_Parse(settings_t *settings, int argc, char **argv,
               cbw_findings_t *findings)
{
    const char *words[CbwOptions_ARGUMENTS_MAX];

    /* Its errors are reported together with those below. */
    CbwOptions_Parse(&program, argc, argv, words, findings);
    check_name("--name", values.name, findings);
    check_name("--data-centre", values.data_centre, findings);
    RegionSettings_Parse(&values.regions, values.regions_text,
                         values.data_centre, values.region, findings);
    check_address("--callers", values.callers_address, findings);
    check_address("--peers", values.peers_address, findings);
    check_address("--platform", values.platform_address, findings);
    check_plugin("--queue-policy", CBW_PLUGIN_QUEUE, values.queue_policy,
                 findings);
    check_plugin("--limit-policy", CBW_PLUGIN_LIMIT, values.limit_policy,
                 findings);
    check_plugin("--route-policy", CBW_PLUGIN_ROUTE, values.route_policy,
                 findings);
    check_plugin("--endpoint-driver", CBW_PLUGIN_ENDPOINT_DRIVER,
                 values.endpoint_driver, findings);
    check_plugin("--store-driver", CBW_PLUGIN_STORE_DRIVER,
                 values.store_driver, findings);
    if (strcmp(values.caller_driver, "resp") != 0) {
        check_plugin("--caller-driver", CBW_PLUGIN_CALLER_DRIVER,
                     values.caller_driver, findings);
    }
    if (values.registry_driver[0] != '\0') {
        check_plugin("--registry-driver", CBW_PLUGIN_REGISTRY_DRIVER,
                     values.registry_driver, findings);
    }
    if (values.order_driver[0] != '\0') {
        check_plugin("--order-driver", CBW_PLUGIN_ORDER_DRIVER,
                     values.order_driver, findings);
        check_address("--orders", values.orders_address, findings);
    }
    if (values.readiness_address[0] != '\0') {
        check_address("--readiness", values.readiness_address, findings);
    }
    if (values.metrics_address[0] != '\0') {
        check_address("--metrics", values.metrics_address, findings);
    }
    check_milliseconds("--endpoint-drain-ms", values.endpoint_drain_ms,
                       &values.endpoint_drain, findings);
    if (CbwLog_LevelFromString(values.log_level) < 0) {
        CbwFindings_Add(findings, "--log-level", 0,
                        "\"%s\" is none of debug, info, warning, error",
                        values.log_level);
    }
    if (strcmp(values.owner_policy, "owner") != 0 &&
        strcmp(values.owner_policy, "direct") != 0) {
        CbwFindings_Add(findings, "--owner-policy", 0,
                        "\"%s\" is neither owner nor direct",
                        values.owner_policy);
    }
    *settings = values;
    return findings->count > 0 ? -1 : 0;
}
