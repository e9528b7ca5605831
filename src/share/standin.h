/* What the stand-ins have in common: settings, signals, faults, the loop. */
#ifndef CAROBWIND_SHARE_STANDIN_H
#define CAROBWIND_SHARE_STANDIN_H

#include <ev.h>

#include "share/options.h"

/* Parses the settings and prepares the process. Returns the event loop; ends
 * the process with EX_USAGE when the settings are wrong. */
struct ev_loop *CbwStandin_Init(const cbw_program_t *program, int argc,
                                char **argv);
/* Runs until SIGTERM. */
void CbwStandin_Run(struct ev_loop *loop);

#endif
