/* The quotas of a pool instance (carobwind/quota.h): the owner's buckets, the
 * granter of the workspaces that hash to its database, and their messages,
 * PEER_QUOTA. An instance has them only while workspaces are configured. */
#ifndef CAROBWINDD_QUOTA_EXCHANGE_H
#define CAROBWINDD_QUOTA_EXCHANGE_H

#include "pool_instance.h"

/* Applies the present configuration to the instance. */
void QuotaExchange_Configure(pool_instance_t *instance, cbw_time_t now);
/* Ends the instance's quotas. */
void QuotaExchange_Finish(pool_instance_t *instance);
/* Sends what is due, at most one message to each host in
 * Cbw_QUOTA_CLAIM_INTERVAL, and drops what is not needed. */
void QuotaExchange_Tick(pool_instance_t *instance, cbw_time_t now);
/* Sets the result of a peer's PEER_QUOTA call. */
void QuotaExchange_Answer(inbound_t *inbound);
/* Handles and frees the answer to a call of this host. */
void QuotaExchange_OnDone(outbound_t *outbound);

#endif
