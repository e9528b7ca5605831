/* Declarations that the source files of the quotas share. */
#ifndef CAROBWIND_PRIVATE_QUOTA_H
#define CAROBWIND_PRIVATE_QUOTA_H

#include "carobwind/quota.h"

/* Time constant of the measured demand, in seconds. */
#define Cbw_QUOTA_DEMAND_SECONDS_ 1.0

static inline uint32_t
CbwQuota_MinShare_(uint32_t a, uint32_t b)
{
    return a < b ? a : b;
}

/* Returns a share as a number between 0 and 1. */
static inline double
CbwQuota_AsFraction_(double share)
{
    return share / Cbw_QUOTA_WHOLE;
}

/* Returns the index of a workspace's list in a hash table of
 * Cbw_QUOTA_LISTS. */
size_t CbwQuota_ListOf_(const char *workspace);
/* Returns the part of the base share that is lent, and must not be used now.
 */
uint32_t CbwQuota_LentShare_(const cbw_quota_t *quota,
                             const cbw_quota_bucket_t *bucket, cbw_time_t now);
/* Returns the leased share that may be used now. */
uint32_t CbwQuota_LeasedShare_(const cbw_quota_bucket_t *bucket,
                               cbw_time_t now);
/* Returns the bucket's capacity in tokens, including reserved ones. */
double CbwQuota_CapacityOf_(const cbw_quota_t *quota,
                            const cbw_quota_bucket_t *bucket, cbw_time_t now);
/* Reduces the level to the capacity that reserved tokens leave. */
void CbwQuota_CutLevel_(const cbw_quota_t *quota, cbw_quota_bucket_t *bucket,
                        cbw_time_t now);
/* Adds the tokens earned since the last call. To be called before a share
 * changes. */
void CbwQuota_Fill_(const cbw_quota_t *quota, cbw_quota_bucket_t *bucket,
                    cbw_time_t now);
/* Returns the bucket of a workspace, or NULL. */
cbw_quota_bucket_t *CbwQuota_FindBucket_(const cbw_quota_t *quota,
                                         const char *workspace);
/* Returns the bucket of a workspace, and creates it if there is none. NULL:
 * the workspace has no limit. */
cbw_quota_bucket_t *CbwQuota_GetBucket_(cbw_quota_t *quota, cbw_time_t now,
                                        const char *workspace);
/* Returns the measured demand, in operations per second. */
double CbwQuota_DemandAt_(const cbw_quota_bucket_t *bucket, cbw_time_t now);
/* Returns whether there was demand within Cbw_QUOTA_IDLE_TIMEOUT. */
bool CbwQuota_HasDemand_(const cbw_quota_bucket_t *bucket, cbw_time_t now);

#endif
