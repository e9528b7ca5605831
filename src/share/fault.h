/* Network fault injection for tests: a table of IP addresses whose traffic
 * this process discards, in one direction or both. A connection that has lost
 * bytes stays silent permanently, even after the fault is removed, as if a
 * firewall or NAT device had dropped its state of the connection. */
#ifndef CAROBWIND_SHARE_FAULT_H
#define CAROBWIND_SHARE_FAULT_H

#include <stdbool.h>

typedef enum {
    CBW_FAULT_IN = 1,
    CBW_FAULT_OUT = 2,
} cbw_fault_direction_t;

/* Enables CbwFault_Command, which otherwise rejects all commands. */
void CbwFault_Enable(void);
/* Whether bytes from (CBW_FAULT_IN) or to (CBW_FAULT_OUT) `ip` are to be
 * discarded. */
bool CbwFault_IsCut(const char *ip, cbw_fault_direction_t direction);
/* The number of `silence` commands so far. Connections record it when they are
 * opened. */
unsigned CbwFault_SilenceCount(void);
/* Whether a `silence` command applies to a connection with `ip` that recorded
 * `count` when it was opened, that is, one of the later commands. */
bool CbwFault_IsSilenced(const char *ip, unsigned count);
/* Runs one of these commands:
 *   cut IP in|out|both  discard the traffic with IP in that direction
 *   heal                remove all cuts
 *   silence IP|all      silence the existing connections with IP, or all
 * Returns 0, or -1 when the command is malformed, a table is full or fault
 * injection is not enabled. */
int CbwFault_Command(int count, char *const *words);

#endif
