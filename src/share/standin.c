#include "share/standin.h"

#include <signal.h>
#include <stdlib.h>
#include <sysexits.h>

#include "share/fault.h"
#include "share/reaper.h"

struct ev_loop *
CbwStandin_Init(const cbw_program_t *program, int argc, char **argv)
{
    struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
    const char *words[CbwOptions_ARGUMENTS_MAX];
    cbw_findings_t findings;

    CbwFindings_Init(&findings);
    if (CbwOptions_Parse(program, argc, argv, words, &findings) < 0) {
        CbwFindings_Print(&findings, stderr);
        exit(EX_USAGE);
    }
    signal(SIGPIPE, SIG_IGN);
    CbwFault_Enable();
    CbwReaper_Start(loop);
    return loop;
}

static void
on_signal(struct ev_loop *loop, ev_signal *watcher, int events)
{
    (void)watcher;
    (void)events;
    ev_break(loop, EVBREAK_ALL);
}

void
CbwStandin_Run(struct ev_loop *loop)
{
    ev_signal terminate;

    ev_signal_init(&terminate, on_signal, SIGTERM);
    ev_signal_start(loop, &terminate);
    ev_run(loop, 0);
}
