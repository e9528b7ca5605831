/* Faults of the network for tests: a table of IP numbers whose bytes this
 * process drops, one way or both. A connection that lost bytes stays silent
 * for good, as when something between the two ends has lost track of it. */
#ifndef CAROBWIND_SHARE_FAULT_H
#define CAROBWIND_SHARE_FAULT_H

#include <stdbool.h>

typedef enum {
    CBW_FAULT_IN = 1,
    CBW_FAULT_OUT = 2,
} cbw_fault_direction_t;

/* Allows the commands below; without it they are refused. */
void CbwFault_Enable(void);
/* Whether bytes from (IN) or to (OUT) `ip` are dropped. */
bool CbwFault_IsCut(const char *ip, cbw_fault_direction_t direction);
/* Grows with each `silence` command. */
unsigned CbwFault_SilenceCount(void);
/* Whether connections with `ip` that existed at silence number `count` are to
 * be silent. */
bool CbwFault_IsSilenced(const char *ip, unsigned count);
/* Runs "cut IP in|out|both", "heal" or "silence IP|all". Returns 0, or -1 when
 * it is not understood or faults are not enabled. */
int CbwFault_Command(int count, char *const *words);

#endif
