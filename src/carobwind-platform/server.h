/* The server of the platform stand-in: its commands, rate limits, host list
 * and injected faults. */
#ifndef CAROBWIND_PLATFORM_SERVER_H
#define CAROBWIND_PLATFORM_SERVER_H

#include <ev.h>

#include "carobwind/error.h"

typedef struct {
    const char *listen;      /* "ip:port" */
    double host_list_lag_ms; /* delay until the list shows a change */
    long reads_per_second;   /* limit; watches and host lists count */
    long writes_per_second;  /* limit; leases count */
} platform_settings_t;

/* Starts listening. Returns 0, or -1 with `error` set. */
int Server_Init(struct ev_loop *loop, const platform_settings_t *settings,
                cbw_error_t *error);

#endif
