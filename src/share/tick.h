/* Timers for the timeouts of expected messages. */
#ifndef SHARE_TICK_H
#define SHARE_TICK_H

#include <ev.h>

/* Initialises a timer (in seconds; see ev_timer_init) whose callback runs
 * after those of the sockets that became readable in the same iteration of the
 * loop. libev runs timers first: a process that was suspended or is overloaded
 * would time out calls whose answers have arrived but have not been read. */
#define CbwTick_Init(timer, callback, after, repeat)                          \
    do {                                                                      \
        ev_timer_init((timer), (callback), (after), (repeat));                \
        ev_set_priority((timer), EV_MINPRI);                                  \
    } while (0)

#endif
