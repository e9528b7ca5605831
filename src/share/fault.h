/* Network fault injection for tests: a table of IP addresses whose traffic
 * this process discards, in one direction or both. A connection that has lost
 * bytes stays silent for good, even after the fault is removed, as when a
 * device between the two ends has dropped its state of the connection. */
#ifndef CAROBWIND_SHARE_FAULT_H
#define CAROBWIND_SHARE_FAULT_H

#include <stdbool.h>

typedef enum {
    CBW_FAULT_IN = 1,
    CBW_FAULT_OUT = 2,
} cbw_fault_direction_t;

/* Enables CbwFault_Command, which otherwise refuses every command. */
void CbwFault_Enable(void);
/* Whether bytes from (CBW_FAULT_IN) or to (CBW_FAULT_OUT) `ip` are to be
 * discarded. */
bool CbwFault_IsCut(const char *ip, cbw_fault_direction_t direction);
/* The number of `silence` commands so far. A connection notes it when it
 * opens. */
unsigned CbwFault_SilenceCount(void);
/* Whether a `silence` command that applies to `ip` came after the first
 * `count` ones, that is, after the connection that noted `count` was
 * opened. */
bool CbwFault_IsSilenced(const char *ip, unsigned count);
/* Runs one of these commands:
 *   cut IP in|out|both  discard the traffic with IP in that direction
 *   heal                remove all cuts
 *   silence IP|all      silence the connections with IP that exist now
 * Returns 0, or -1 when the command is malformed, a table is full or fault
 * injection is not enabled. */
int CbwFault_Command(int count, char *const *words);

#endif
