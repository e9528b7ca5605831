/* Deferred release of objects. A callback may discard an object that its
 * callers still use; it is released after they have returned. Also defers
 * callbacks that must not run before the current function has returned. */
#ifndef CAROBWIND_SHARE_REAPER_H
#define CAROBWIND_SHARE_REAPER_H

#include <ev.h>

/* Starts the reaper on `loop`; one per process. */
void CbwReaper_Start(struct ev_loop *loop);
/* Calls `release` with `object` before the event loop next waits for events,
 * when no callback is running. */
void CbwReaper_Defer(void (*release)(void *object), void *object);

#endif
