/* Frees memory after the present round of event callbacks, so that a callback
 * may give up an object that its callers still touch. */
#ifndef CAROBWIND_SHARE_REAPER_H
#define CAROBWIND_SHARE_REAPER_H

#include <ev.h>

/* Starts the reaper of `loop`; one per process. */
void CbwReaper_Start(struct ev_loop *loop);
/* Calls `release` with `object` once the callbacks have returned. */
void CbwReaper_Defer(void (*release)(void *object), void *object);

#endif
