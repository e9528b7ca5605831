/* Deferred release of objects. A callback may drop an object that its callers
 * on the stack still use; the memory is released once they have returned.
 * Callbacks that must not run before the current function has returned are
 * deferred the same way. */
#ifndef CAROBWIND_SHARE_REAPER_H
#define CAROBWIND_SHARE_REAPER_H

#include <ev.h>

/* Starts the reaper on `loop`; one per process. */
void CbwReaper_Start(struct ev_loop *loop);
/* Calls `release` with `object` before the event loop next waits for events,
 * when no callback is running. */
void CbwReaper_Defer(void (*release)(void *object), void *object);

#endif
