/* The tool's calls to a daemon over ONC RPC; each waits for its answer. */
#ifndef CAROBWIND_SHARE_PEER_CLIENT_H
#define CAROBWIND_SHARE_PEER_CLIENT_H

#include "carobwind/error.h"
#include "share/peer_rpc.h"

/* Calls EXPLAIN, TRACE, STATUS or COUNTERS. `text` is freed by the caller.
 * Returns 0, or -1 with `error` set: CBW_ERROR_INVALID when the daemon has
 * nothing on the subject. */
int PeerClient_FetchText(const char *address, uint32_t procedure,
                         const char *subject, char **text, cbw_error_t *error);
/* The members that a daemon knows; freed with PeerClient_FreeMembers. */
int PeerClient_FetchMembers(const char *address, peer_members_result *members,
                            cbw_error_t *error);
void PeerClient_FreeMembers(peer_members_result *members);
/* Begins the graceful shutdown of a daemon. */
int PeerClient_Drain(const char *address, cbw_error_t *error);

#endif
