/* The part of the peer task that answers calls from peers and carobwindctl. */
#ifndef CAROBWINDD_PEER_SERVER_H
#define CAROBWINDD_PEER_SERVER_H

#include "messages.h"

/* Listens for peers. Returns 0, or -1 with `error` set. */
int PeerServer_Start(daemon_t *daemon, cbw_error_t *error);
/* Sends the result of a call that a task has answered, and frees it. */
void PeerServer_FinishCall(inbound_t *inbound);
/* Sends the answer to a peer's statement, and frees the job. */
void PeerServer_FinishStatement(job_t *job);
/* Counts bytes sent to peers by kind, and the messages that carry no
 * statements. */
void PeerServer_CountTraffic(daemon_t *daemon, uint32_t procedure,
                             size_t bytes);

#endif
