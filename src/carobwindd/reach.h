/* Whether an endpoint answers on a fresh connection from this host. */
#ifndef CAROBWINDD_REACH_H
#define CAROBWINDD_REACH_H

#include "messages.h"

/* Connects, asks for the state and calls `done` once, within 200 ms. */
void Reach_Probe(daemon_t *daemon, const char *address,
                 void (*done)(void *context, bool reached), void *context);

#endif
