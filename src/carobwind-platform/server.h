/* The platform stand-in's server: commands, faults, rates, the host list. */
#ifndef CAROBWIND_PLATFORM_SERVER_H
#define CAROBWIND_PLATFORM_SERVER_H

#include <ev.h>

#include "carobwind/error.h"

typedef struct {
    const char *listen;
    double host_list_lag_ms;
    long reads_per_second;
    long writes_per_second;
} platform_settings_t;

/* Returns 0, or -1 with `error` set. */
int Server_Init(struct ev_loop *loop, const platform_settings_t *settings,
                cbw_error_t *error);

#endif
