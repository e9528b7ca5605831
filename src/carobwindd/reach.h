/* Reachability check for the owner task (owner_task.c): whether an endpoint
 * that speaks RESP answers this host on a new connection. The pool task, which
 * may run in its place, makes its own check with the endpoint driver. */
#ifndef CAROBWINDD_REACH_H
#define CAROBWINDD_REACH_H

#include "messages.h"

/* Connects to `address`, asks for the endpoint's state and calls `done` once,
 * within 200 ms. `reached` is whether the endpoint answered by then, without
 * an error. `done` may be called before Reach_Check returns. */
void Reach_Check(daemon_t *daemon, const char *address,
                 void (*done)(void *context, bool reached), void *context);

#endif
