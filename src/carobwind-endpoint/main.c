/* Stand-in for a database endpoint, for tests and demos. */

#include <stdio.h>
#include <sysexits.h>

#include "carobwind/log.h"
#include "server.h"
#include "share/standin.h"

static endpoint_settings_t settings = {
    .listen = "127.0.0.1:7400",
    .data = "",
    .connections = 50,
    .slots = 3,
    .service_ms = 5,
    .connect_ms = 12,
    .seed = 1,
};

static const cbw_option_t options[] = {
    {CBW_OPTION_STRING, "listen", "IP:PORT", "address to listen on",
     &settings.listen, 0, 0},
    {CBW_OPTION_STRING, "data", "FILE", "database file (default: in memory)",
     &settings.data, 0, 0},
    {CBW_OPTION_FLAG, "primary", NULL, "begin as the primary of term 1",
     &settings.primary, 0, 0},
    {CBW_OPTION_INTEGER, "connections", "N", "connection limit",
     &settings.connections, 1, 100000},
    {CBW_OPTION_INTEGER, "slots", "N", "most statements that run at once",
     &settings.slots, 1, 10000},
    {CBW_OPTION_DOUBLE, "service-ms", "MS",
     "mean execution time of a statement", &settings.service_ms, 0, 0},
    {CBW_OPTION_DOUBLE, "connect-ms", "MS", "time to open a connection",
     &settings.connect_ms, 0, 0},
    {CBW_OPTION_DOUBLE, "delay-ms", "MS", "network round trip to the hosts",
     &settings.delay_ms, 0, 0},
    {CBW_OPTION_DOUBLE, "lag-ms", "MS", "replication lag", &settings.lag_ms, 0,
     0},
    {CBW_OPTION_INTEGER, "seed", "N", "seed of the execution times",
     &settings.seed, 0, 1000000000},
};

static const cbw_program_t program = {
    .program = "carobwind-endpoint",
    .summary = "Stands in for one database endpoint in tests and demos.",
    .options = options,
    .option_count = sizeof(options) / sizeof(options[0]),
};

int
main(int argc, char **argv)
{
    static server_t server;
    struct ev_loop *loop = CbwStandin_Init(&program, argc, argv);
    cbw_error_t error = {0};

    if (Server_Init(&server, loop, &settings, &error) != 0) {
        fprintf(stderr, "carobwind-endpoint: %s\n", error.text);
        return EX_UNAVAILABLE;
    }
    CbwLog_Write(CBW_LOG_INFO, "endpoint", "started", "listen=%s primary=%d",
                 settings.listen, settings.primary);
    CbwStandin_Run(loop);
    return EX_OK;
}
