/* Stand-in for the platform, for tests and demos. */

#include <stdio.h>
#include <sysexits.h>

#include "carobwind/log.h"
#include "server.h"
#include "share/standin.h"

static platform_settings_t settings = {
    .listen = "127.0.0.1:7300",
    .host_list_lag_ms = 500,
    .reads_per_second = 2000,
    .writes_per_second = 400,
};

static const cbw_option_t options[] = {
    {CBW_OPTION_STRING, "listen", "IP:PORT", "address to listen on",
     &settings.listen, 0, 0},
    {CBW_OPTION_DOUBLE, "list-lag-ms", "MS",
     "delay of changes to the host list", &settings.host_list_lag_ms, 0, 0},
    {CBW_OPTION_INTEGER, "reads-per-second", "N", "limit on reads and watches",
     &settings.reads_per_second, 1, 1000000},
    {CBW_OPTION_INTEGER, "writes-per-second", "N", "limit on writes",
     &settings.writes_per_second, 1, 1000000},
};

static const cbw_program_t program = {
    .program = "carobwind-platform",
    .summary =
        "Stands in for the platform's key-value store and host list, in "
        "tests\n"
        "and demos.",
    .options = options,
    .option_count = sizeof(options) / sizeof(options[0]),
};

int
main(int argc, char **argv)
{
    struct ev_loop *loop = CbwStandin_Init(&program, argc, argv);
    cbw_error_t error = {0};

    if (Server_Init(loop, &settings, &error) != 0) {
        fprintf(stderr, "carobwind-platform: %s\n", error.text);
        return EX_UNAVAILABLE;
    }
    CbwLog_Write(CBW_LOG_INFO, "platform", "started", "listen=%s",
                 settings.listen);
    CbwStandin_Run(loop);
    return EX_OK;
}
