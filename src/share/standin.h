/* Common initialization and event loop of the stand-ins: test programs that
 * replace the platform and the endpoints. */
#ifndef CAROBWIND_SHARE_STANDIN_H
#define CAROBWIND_SHARE_STANDIN_H

#include <ev.h>

#include "share/options.h"

/* Parses the settings, ignores SIGPIPE, enables fault injection and starts the
 * reaper. Returns the event loop. Prints the errors and exits with EX_USAGE
 * when the settings are invalid. */
struct ev_loop *CbwStandin_Init(const cbw_program_t *program, int argc,
                                char **argv);
/* Runs the event loop until SIGTERM. */
void CbwStandin_Run(struct ev_loop *loop);

#endif
