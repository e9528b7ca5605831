#include <math.h>
#include <string.h>

#include "carobwind/quota.h"
#include "private/quota.h"

/* Factor by which a share that is requested or kept exceeds the demand. */
#define DEMAND_HEADROOM 1.5
/* The measured demand of a Poisson process of rate d varies by the square root
 * of d / (2 x Cbw_QUOTA_DEMAND_SECONDS_). */
#define NOISE_DEVIATIONS 2.0
/* A workspace that was refused an operation within this time requests the
 * whole limit: the smoothed demand follows a sudden load too slowly. */
#define REFUSED_RECENTLY (500 * Cbw_MSEC)

/* Returns the share of the limit that the demand needs. */
static uint32_t
needed_share(const cbw_quota_bucket_t *bucket, cbw_time_t now)
{
    double share = CbwQuota_DemandAt_(bucket, now) * DEMAND_HEADROOM /
                   bucket->limit.rate * Cbw_QUOTA_WHOLE;

    if (bucket->refused_at != 0 &&
        now - bucket->refused_at < REFUSED_RECENTLY) {
        return Cbw_QUOTA_WHOLE;
    }
    return share < Cbw_QUOTA_WHOLE ? (uint32_t)share : Cbw_QUOTA_WHOLE;
}

/* Returns the share to request in addition to the base share. A bucket that is
 * at least half full does not start a lease. */
static uint32_t
wanted_share(const cbw_quota_t *quota, const cbw_quota_bucket_t *bucket,
             cbw_time_t now)
{
    uint32_t needed = needed_share(bucket, now);

    if (needed <= quota->base ||
        (CbwQuota_LeasedShare_(bucket, now) == 0 &&
         bucket->level >= CbwQuota_CapacityOf_(quota, bucket, now) / 2)) {
        return 0;
    }
    return needed - quota->base;
}

/* Returns the share that the owner keeps while it lends. A smaller share
 * reduces the capacity, and tokens above that are lost, so a margin for the
 * noise of the measured demand is added. Where the capacity that is lent is
 * less than a token, a full bucket does not need its share. */
static uint32_t
share_to_keep(const cbw_quota_t *quota, const cbw_quota_bucket_t *bucket,
              cbw_time_t now)
{
    double demand = CbwQuota_DemandAt_(bucket, now);
    double noise =
        NOISE_DEVIATIONS * sqrt(demand / (2 * Cbw_QUOTA_DEMAND_SECONDS_));
    double share = (double)needed_share(bucket, now) +
                   noise / bucket->limit.rate * Cbw_QUOTA_WHOLE;

    if (bucket->limit.burst * CbwQuota_AsFraction_(quota->base) < 1 &&
        bucket->level >= CbwQuota_CapacityOf_(quota, bucket, now)) {
        return 0;
    }
    return share < quota->base ? (uint32_t)share : quota->base;
}

static uint32_t
share_to_lend(const cbw_quota_t *quota, const cbw_quota_bucket_t *bucket,
              cbw_time_t now)
{
    if (!quota->may_lend || bucket->asked_at == 0 ||
        now - bucket->asked_at >= Cbw_QUOTA_LOAN) {
        return 0;
    }
    return quota->base - share_to_keep(quota, bucket, now);
}

static bool
is_claim_due(const cbw_quota_t *quota, const cbw_quota_bucket_t *bucket,
             cbw_time_t now)
{
    if (bucket->limit.rate <= 0 ||
        (bucket->claim != 0 &&
         now - bucket->claimed_at < Cbw_QUOTA_CLAIM_INTERVAL)) {
        return false;
    }
    return bucket->lend_request_pending ||
           wanted_share(quota, bucket, now) > 0 ||
           (CbwQuota_HasDemand_(bucket, now) &&
            CbwQuota_LentShare_(quota, bucket, now) >
                share_to_lend(quota, bucket, now));
}

static void
make_claim(cbw_quota_t *quota, cbw_quota_bucket_t *bucket, cbw_time_t now,
           cbw_quota_claim_t *claim)
{
    uint32_t lend = share_to_lend(quota, bucket, now);
    uint32_t before = CbwQuota_LentShare_(quota, bucket, now);

    *claim = (cbw_quota_claim_t){
        .want = lend > 0 ? 0 : wanted_share(quota, bucket, now),
        .held = CbwQuota_LeasedShare_(bucket, now),
        .lend = lend,
        .stamp = bucket->stamp,
    };
    memcpy(claim->workspace, bucket->limit.name, sizeof(claim->workspace));
    if (lend > 0 && (before == 0 || bucket->claimed_lend == 0)) {
        CbwCounter_Add(quota->counters, CBW_COUNTER_QUOTA_LENT, 1);
    }
    bucket->claim = quota->last_claim;
    bucket->claimed_at = now;
    bucket->claimed_lend = lend;
    bucket->lend_request_pending = false;
    bucket->lent = lend > before ? lend : before;
    if (lend > 0) {
        bucket->lent_until = now + Cbw_QUOTA_RETURN_AFTER;
        CbwQuota_CutLevel_(quota, bucket, now);
    }
}

size_t
CbwQuota_MakeClaims(cbw_quota_t *quota, cbw_time_t now,
                    cbw_quota_filter_t accept, void *context,
                    cbw_quota_claim_t *claims, size_t max, uint64_t *number)
{
    size_t count = 0;
    cbw_link_t *link;
    cbw_link_t *safe;

    if (quota->term == 0) {
        return 0;
    }
    *number = ++quota->last_claim;
    for (size_t i = 0; i < Cbw_QUOTA_LISTS; i++) {
        Cbw_LIST_FOREACH (&quota->lists[i], link, safe) {
            cbw_quota_bucket_t *bucket =
                Cbw_LIST_ITEM(link, cbw_quota_bucket_t, link);
            if (count == max) {
                return count;
            }
            CbwQuota_Fill_(quota, bucket, now);
            if (is_claim_due(quota, bucket, now) &&
                accept(context, bucket->granter)) {
                make_claim(quota, bucket, now, &claims[count++]);
            }
        }
    }
    return count;
}

void
CbwQuota_OnGrant(cbw_quota_t *quota, cbw_time_t now, uint64_t number,
                 const cbw_quota_grant_t *grant)
{
    cbw_quota_bucket_t *bucket = CbwQuota_FindBucket_(quota, grant->workspace);
    cbw_time_t until;

    if (bucket == NULL || bucket->claim != number) {
        return;
    }
    CbwQuota_Fill_(quota, bucket, now);
    until = bucket->claimed_at + Cbw_QUOTA_LEASE;
    if (now < until) {
        if (grant->grant > 0 && CbwQuota_LeasedShare_(bucket, now) == 0) {
            CbwCounter_Add(quota->counters, CBW_COUNTER_QUOTA_BORROWED, 1);
        }
        bucket->leased = CbwQuota_MinShare_(grant->grant, Cbw_QUOTA_WHOLE);
        bucket->leased_until = until;
    }
    if (grant->confirmed && CbwQuota_LentShare_(quota, bucket, now) > 0) {
        uint32_t counted = grant->counted > bucket->claimed_lend
                               ? grant->counted
                               : bucket->claimed_lend;
        bucket->lent = CbwQuota_MinShare_(counted, bucket->lent);
    }
    bucket->stamp = grant->stamp;
    CbwQuota_CutLevel_(quota, bucket, now);
}

void
CbwQuota_OnLendRequest(cbw_quota_t *quota, cbw_time_t now,
                       const char *workspace, cbw_quota_stamp_t stamp)
{
    cbw_quota_bucket_t *bucket =
        quota->may_lend ? CbwQuota_GetBucket_(quota, now, workspace) : NULL;

    if (bucket == NULL) {
        return;
    }
    CbwQuota_Fill_(quota, bucket, now);
    bucket->stamp = stamp;
    bucket->asked_at = now;
    bucket->lend_request_pending =
        share_to_lend(quota, bucket, now) > 0 || bucket->lend_request_pending;
}
