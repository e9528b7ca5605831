/* Blocking ONC RPC calls from the operators' tool to a daemon. Each call opens
 * its own connection and waits for the reply. */
#ifndef CAROBWIND_SHARE_PEER_CLIENT_H
#define CAROBWIND_SHARE_PEER_CLIENT_H

#include "carobwind/error.h"
#include "share/peer_rpc.h"

/* Calls PEER_EXPLAIN, PEER_TRACE, PEER_STATUS or PEER_COUNTERS. `subject` is
 * the argument of the first two. On success `text` is set and the caller frees
 * it. Returns 0, or -1 with `error` set: CBW_ERROR_INVALID when the daemon
 * has no information on the subject. */
int PeerClient_FetchText(const char *address, uint32_t procedure,
                         const char *subject, char **text, cbw_error_t *error);
/* Fetches the members of the fleet that the daemon knows, which the caller
 * frees with PeerClient_FreeMembers. Returns 0, or -1 with `error` set. */
int PeerClient_FetchMembers(const char *address, peer_members_result *members,
                            cbw_error_t *error);
void PeerClient_FreeMembers(peer_members_result *members);
/* Orders the daemon, if it owns `database`, to accept losses with the log of
 * `endpoint`, see CbwPool_AcceptLoss. Returns 0, or -1 with `error` set:
 * CBW_ERROR_INVALID when it is not the owner or refuses. */
int PeerClient_AcceptLoss(const char *address, const char *database,
                          const char *endpoint, cbw_error_t *error);
/* Starts the graceful shutdown of a daemon. Returns 0, or -1 with `error`
 * set. */
int PeerClient_Drain(const char *address, cbw_error_t *error);

#endif
