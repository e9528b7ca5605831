#include "carobwind/quota.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "carobwind/rendezvous.h"
#include "carobwind/tenure.h"
#include "private/quota.h"

/* Time constant of the measured demand at low rates, and the rate per second
 * up to which it counts. With the short time constant a workspace with one
 * operation per second would lose its share between two of them. */
#define SLOW_DEMAND_SECONDS 3.0
#define SLOW_DEMAND_MAX 2.0
/* A workspace counts as limited until this time after the last refusal. */
#define LIMITED_FOR (5 * Cbw_SEC)
/* Bounds of the retry-after time of a refusal. A share can be borrowed within
 * the upper one. */
#define RETRY_AFTER_MIN (50 * Cbw_MSEC)
#define RETRY_AFTER_MAX (1 * Cbw_SEC)

size_t
CbwQuota_ListOf_(const char *workspace)
{
    return CbwRendezvous_Seed(workspace) % Cbw_QUOTA_LISTS;
}

/* Shares and tokens. */

static cbw_time_t
clamp_time(cbw_time_t time, cbw_time_t least, cbw_time_t most)
{
    return time < least ? least : time > most ? most : time;
}

uint32_t
CbwQuota_LentShare_(const cbw_quota_t *quota, const cbw_quota_bucket_t *bucket,
                    cbw_time_t now)
{
    return now < bucket->lent_until
               ? CbwQuota_MinShare_(bucket->lent, quota->base)
               : 0;
}

uint32_t
CbwQuota_LeasedShare_(const cbw_quota_bucket_t *bucket, cbw_time_t now)
{
    return now < bucket->leased_until ? bucket->leased : 0;
}

/* Returns the part of the base share that is left when `lent` of it is lent,
 * or when another owner may use half of it. */
static uint32_t
own_share(const cbw_quota_t *quota, uint32_t lent)
{
    uint32_t left = quota->base - lent;

    return quota->overlaps ? CbwQuota_MinShare_(left, quota->base / 2) : left;
}

/* Returns the share of the limit that the owner may use. */
static uint32_t
usable_share(const cbw_quota_t *quota, const cbw_quota_bucket_t *bucket,
             cbw_time_t now)
{
    return own_share(quota, CbwQuota_LentShare_(quota, bucket, now)) +
           CbwQuota_LeasedShare_(bucket, now);
}

double
CbwQuota_CapacityOf_(const cbw_quota_t *quota,
                     const cbw_quota_bucket_t *bucket, cbw_time_t now)
{
    double burst = bucket->limit.burst +
                   bucket->limit.rate * Cbw_QUOTA_EXTRA_TIME / Cbw_SEC;

    return burst * CbwQuota_AsFraction_(usable_share(quota, bucket, now)) +
           Cbw_QUOTA_EXTRA_BURST * CbwQuota_AsFraction_(quota->base);
}

void
CbwQuota_CutLevel_(const cbw_quota_t *quota, cbw_quota_bucket_t *bucket,
                   cbw_time_t now)
{
    double room = CbwQuota_CapacityOf_(quota, bucket, now) - bucket->reserved;

    if (room < 0) {
        room = 0;
    }
    if (bucket->level > room) {
        bucket->level = room;
    }
}

void
CbwQuota_Fill_(const cbw_quota_t *quota, cbw_quota_bucket_t *bucket,
               cbw_time_t now)
{
    cbw_time_t from = bucket->filled_at;
    cbw_time_t returned;
    double share_time;

    if (now <= from) {
        return;
    }
    returned = clamp_time(bucket->lent_until, from, now);
    share_time =
        (double)own_share(quota, CbwQuota_LentShare_(quota, bucket, from)) *
            (double)(returned - from) +
        (double)own_share(quota, 0) * (double)(now - returned) +
        (double)CbwQuota_LeasedShare_(bucket, from) *
            (double)(clamp_time(bucket->leased_until, from, now) - from);
    bucket->level +=
        bucket->limit.rate * CbwQuota_AsFraction_(share_time) / Cbw_SEC;
    bucket->filled_at = now;
    CbwQuota_CutLevel_(quota, bucket, now);
    if (now >= quota->known_from) {
        bucket->credit = 0;
    }
}

/* Sets the tokens and the share of a new owner. The previous owner may have
 * lent the base share. */
static void
begin_bucket(const cbw_quota_t *quota, cbw_quota_bucket_t *bucket,
             cbw_time_t now)
{
    bucket->leased = 0;
    bucket->level = 0;
    if (now < quota->known_from) {
        bucket->lent =
            quota->base - quota->base * Cbw_QUOTA_START_SHARE_PERCENT / 100;
        bucket->lent_until = quota->known_from;
        bucket->credit = (bucket->limit.rate * Cbw_QUOTA_START_TIME / Cbw_SEC +
                          Cbw_QUOTA_START_EXTRA) *
                         CbwQuota_AsFraction_(quota->base);
        bucket->filled_at = now;
        return;
    }
    bucket->filled_at = quota->known_from;
    CbwQuota_Fill_(quota, bucket, now);
}

/* Buckets. */

void
CbwQuota_Init(cbw_quota_t *quota, cbw_time_t now, cbw_counters_t *counters)
{
    memset(quota, 0, sizeof(*quota));
    quota->counters = counters;
    quota->known_from = now + Cbw_QUOTA_RETURN_AFTER;
    for (size_t i = 0; i < Cbw_QUOTA_LISTS; i++) {
        CbwList_Init(&quota->lists[i]);
    }
}

static void
free_bucket(cbw_quota_t *quota, cbw_quota_bucket_t *bucket)
{
    CbwList_Remove(&bucket->link);
    free(bucket);
    quota->count--;
}

void
CbwQuota_Finish(cbw_quota_t *quota)
{
    for (size_t i = 0; i < Cbw_QUOTA_LISTS; i++) {
        while (!CbwList_IsEmpty(&quota->lists[i])) {
            free_bucket(quota, Cbw_LIST_ITEM(quota->lists[i].next,
                                             cbw_quota_bucket_t, link));
        }
    }
}

cbw_quota_bucket_t *
CbwQuota_FindBucket_(const cbw_quota_t *quota, const char *workspace)
{
    const cbw_link_t *list = &quota->lists[CbwQuota_ListOf_(workspace)];
    cbw_link_t *link = list->next;

    for (; link != list; link = link->next) {
        cbw_quota_bucket_t *bucket =
            Cbw_LIST_ITEM(link, cbw_quota_bucket_t, link);
        if (strcmp(bucket->limit.name, workspace) == 0) {
            return bucket;
        }
    }
    return NULL;
}

const cbw_quota_bucket_t *
CbwQuota_Find(const cbw_quota_t *quota, const char *workspace)
{
    return CbwQuota_FindBucket_(quota, workspace);
}

const cbw_database_t *
CbwQuota_FindGranter(const cbw_inventory_t *inventory, const char *workspace)
{
    uint64_t seed = CbwRendezvous_Seed(workspace);
    const cbw_database_t *best = NULL;
    uint64_t best_weight = 0;

    for (size_t i = 0; i < inventory->database_count; i++) {
        const cbw_database_t *database = &inventory->databases[i];
        uint64_t weight = CbwRendezvous_SeededWeight(seed, database->name);
        if (best == NULL || weight > best_weight) {
            best = database;
            best_weight = weight;
        }
    }
    return best;
}

static void
set_limit(const cbw_quota_t *quota, cbw_quota_bucket_t *bucket,
          const cbw_workspace_t *limit)
{
    const cbw_database_t *granter =
        CbwQuota_FindGranter(quota->inventory, limit->name);

    bucket->limit = *limit;
    bucket->granter[0] = '\0';
    if (granter != NULL) {
        memcpy(bucket->granter, granter->name, sizeof(bucket->granter));
    }
}

cbw_quota_bucket_t *
CbwQuota_GetBucket_(cbw_quota_t *quota, cbw_time_t now, const char *workspace)
{
    cbw_quota_bucket_t *bucket = CbwQuota_FindBucket_(quota, workspace);
    const cbw_workspace_t *limit;

    if (bucket != NULL) {
        return bucket->limit.rate > 0 ? bucket : NULL;
    }
    limit = quota->inventory != NULL
                ? CbwInventory_FindWorkspace(quota->inventory, workspace)
                : NULL;
    if (limit == NULL || limit->rate <= 0) {
        return NULL;
    }
    bucket = calloc(1, sizeof(*bucket));
    if (bucket == NULL) {
        abort();
    }
    CbwList_Init(&bucket->link);
    CbwList_Append(&quota->lists[CbwQuota_ListOf_(workspace)], &bucket->link);
    quota->count++;
    set_limit(quota, bucket, limit);
    begin_bucket(quota, bucket, now);
    return bucket;
}

void
CbwQuota_SetInventory(cbw_quota_t *quota, cbw_time_t now,
                      const cbw_inventory_t *inventory)
{
    uint32_t base = inventory->database_count > 0
                        ? Cbw_QUOTA_WHOLE / (uint32_t)inventory->database_count
                        : 0;
    cbw_link_t *link;
    cbw_link_t *safe;

    for (size_t i = 0; i < Cbw_QUOTA_LISTS; i++) {
        Cbw_LIST_FOREACH (&quota->lists[i], link, safe) {
            CbwQuota_Fill_(quota,
                           Cbw_LIST_ITEM(link, cbw_quota_bucket_t, link), now);
        }
    }
    quota->inventory = inventory;
    quota->base = base;
    for (size_t i = 0; i < Cbw_QUOTA_LISTS; i++) {
        Cbw_LIST_FOREACH (&quota->lists[i], link, safe) {
            cbw_quota_bucket_t *bucket =
                Cbw_LIST_ITEM(link, cbw_quota_bucket_t, link);
            const cbw_workspace_t *limit =
                CbwInventory_FindWorkspace(inventory, bucket->limit.name);
            if (limit == NULL) {
                bucket->limit.rate = 0; /* CbwQuota_Tick drops it */
                continue;
            }
            set_limit(quota, bucket, limit);
            CbwQuota_CutLevel_(quota, bucket, now);
        }
    }
}

void
CbwQuota_BeginTerm(cbw_quota_t *quota, cbw_time_t now, uint64_t term)
{
    cbw_link_t *link;
    cbw_link_t *safe;

    quota->term = term;
    quota->known_from = now + Cbw_QUOTA_RETURN_AFTER;
    for (size_t i = 0; i < Cbw_QUOTA_LISTS; i++) {
        Cbw_LIST_FOREACH (&quota->lists[i], link, safe) {
            cbw_quota_bucket_t *bucket =
                Cbw_LIST_ITEM(link, cbw_quota_bucket_t, link);
            begin_bucket(quota, bucket, now);
            bucket->claim = 0; /* answers to earlier claims do not apply */
        }
    }
}

void
CbwQuota_SetMayLend(cbw_quota_t *quota, bool may_lend)
{
    quota->may_lend = may_lend;
}

void
CbwQuota_SetOverlaps(cbw_quota_t *quota, cbw_time_t now, bool overlaps)
{
    cbw_link_t *link;
    cbw_link_t *safe;

    if (overlaps == quota->overlaps) {
        return;
    }
    for (size_t i = 0; i < Cbw_QUOTA_LISTS; i++) {
        Cbw_LIST_FOREACH (&quota->lists[i], link, safe) {
            CbwQuota_Fill_(quota,
                           Cbw_LIST_ITEM(link, cbw_quota_bucket_t, link), now);
        }
    }
    quota->overlaps = overlaps;
    for (size_t i = 0; i < Cbw_QUOTA_LISTS; i++) {
        Cbw_LIST_FOREACH (&quota->lists[i], link, safe) {
            CbwQuota_CutLevel_(
                quota, Cbw_LIST_ITEM(link, cbw_quota_bucket_t, link), now);
        }
    }
}

/* Operations. */

static double
decayed(double demand, cbw_time_t elapsed, double seconds)
{
    return demand * exp(-(double)elapsed / Cbw_SEC / seconds);
}

/* Returns the demand in operations per second. The slow average counts up to
 * SLOW_DEMAND_MAX, since the fast one is too noisy at low rates. */
double
CbwQuota_DemandAt_(const cbw_quota_bucket_t *bucket, cbw_time_t now)
{
    cbw_time_t elapsed = now - bucket->demand_at;
    double fast = decayed(bucket->demand, elapsed, Cbw_QUOTA_DEMAND_SECONDS_);
    double slow = decayed(bucket->slow_demand, elapsed, SLOW_DEMAND_SECONDS);

    if (slow > SLOW_DEMAND_MAX) {
        slow = SLOW_DEMAND_MAX;
    }
    return fast > slow ? fast : slow;
}

bool
CbwQuota_HasDemand_(const cbw_quota_bucket_t *bucket, cbw_time_t now)
{
    return bucket->demand > 0 &&
           now - bucket->demand_at < Cbw_QUOTA_IDLE_TIMEOUT;
}

static void
add_demand(cbw_quota_bucket_t *bucket, cbw_time_t now)
{
    cbw_time_t elapsed = now - bucket->demand_at;

    bucket->demand =
        decayed(bucket->demand, elapsed, Cbw_QUOTA_DEMAND_SECONDS_) +
        1 / Cbw_QUOTA_DEMAND_SECONDS_;
    bucket->slow_demand =
        decayed(bucket->slow_demand, elapsed, SLOW_DEMAND_SECONDS) +
        1 / SLOW_DEMAND_SECONDS;
    bucket->demand_at = now;
}

static void
set_limited(cbw_quota_t *quota, cbw_quota_bucket_t *bucket, bool limited)
{
    if (bucket->is_limited == limited) {
        return;
    }
    bucket->is_limited = limited;
    if (quota->report != NULL) {
        quota->report(quota->context, bucket->limit.name, limited);
    }
}

/* Returns the time until the bucket has a token. */
static cbw_time_t
time_to_token(const cbw_quota_t *quota, const cbw_quota_bucket_t *bucket,
              cbw_time_t now)
{
    double rate = bucket->limit.rate *
                  CbwQuota_AsFraction_(usable_share(quota, bucket, now));
    double missing = 1 - bucket->level - bucket->credit;

    if (rate * RETRY_AFTER_MAX <= missing * Cbw_SEC) {
        return RETRY_AFTER_MAX;
    }
    return clamp_time((cbw_time_t)(missing / rate * Cbw_SEC), RETRY_AFTER_MIN,
                      RETRY_AFTER_MAX);
}

bool
CbwQuota_Reserve(cbw_quota_t *quota, cbw_time_t now, const char *workspace,
                 cbw_quota_token_t *token, cbw_time_t *retry_after)
{
    cbw_quota_bucket_t *bucket = CbwQuota_GetBucket_(quota, now, workspace);
    double from_credit;

    *token = CBW_QUOTA_TOKEN_NONE;
    if (bucket == NULL) {
        return true;
    }
    CbwQuota_Fill_(quota, bucket, now);
    add_demand(bucket, now);
    if (bucket->level + bucket->credit < 1) {
        bucket->refused_at = now;
        set_limited(quota, bucket, true);
        *retry_after = time_to_token(quota, bucket, now);
        return false;
    }
    from_credit = bucket->credit < 1 ? bucket->credit : 1;
    bucket->credit -= from_credit;
    bucket->level -= 1 - from_credit;
    bucket->reserved++;
    *token = CBW_QUOTA_TOKEN_RESERVED;
    return true;
}

void
CbwQuota_Spend(cbw_quota_t *quota, const char *workspace,
               cbw_quota_token_t *token)
{
    cbw_quota_bucket_t *bucket;

    if (*token != CBW_QUOTA_TOKEN_RESERVED) {
        return;
    }
    *token = CBW_QUOTA_TOKEN_SPENT;
    bucket = CbwQuota_FindBucket_(quota, workspace);
    if (bucket != NULL) {
        bucket->reserved--;
    }
}

void
CbwQuota_Requeue(cbw_quota_t *quota, cbw_time_t now, const char *workspace,
                 cbw_quota_token_t *token, bool ran)
{
    cbw_quota_bucket_t *bucket;
    double excess;

    if (*token != CBW_QUOTA_TOKEN_SPENT) {
        return;
    }
    bucket = CbwQuota_GetBucket_(quota, now, workspace);
    if (bucket == NULL) {
        *token = CBW_QUOTA_TOKEN_NONE;
        return;
    }
    *token = CBW_QUOTA_TOKEN_RESERVED;
    CbwQuota_Fill_(quota, bucket, now);
    bucket->reserved++;
    if (ran) {
        bucket->level -= 1;
    }
    else {
        /* A token that has been refilled since is not returned. */
        excess = bucket->reserved - CbwQuota_CapacityOf_(quota, bucket, now);
        bucket->level -= excess < 0 ? 0 : excess > 1 ? 1 : excess;
    }
    CbwQuota_CutLevel_(quota, bucket, now);
}

void
CbwQuota_End(cbw_quota_t *quota, const char *workspace,
             cbw_quota_token_t *token)
{
    cbw_quota_bucket_t *bucket;
    bool reserved = *token == CBW_QUOTA_TOKEN_RESERVED;

    *token = CBW_QUOTA_TOKEN_NONE;
    if (!reserved) {
        return;
    }
    bucket = CbwQuota_FindBucket_(quota, workspace);
    if (bucket != NULL) {
        bucket->reserved--;
        bucket->level += 1;
    }
}

static bool
is_needed(const cbw_quota_t *quota, const cbw_quota_bucket_t *bucket,
          cbw_time_t now)
{
    if (bucket->reserved > 0) {
        return true;
    }
    return bucket->limit.rate > 0 &&
           (CbwQuota_HasDemand_(bucket, now) ||
            CbwQuota_LentShare_(quota, bucket, now) > 0 ||
            CbwQuota_LeasedShare_(bucket, now) > 0 ||
            (bucket->asked_at != 0 &&
             now - bucket->asked_at < Cbw_QUOTA_IDLE_TIMEOUT) ||
            bucket->level < CbwQuota_CapacityOf_(quota, bucket, now));
}

void
CbwQuota_Tick(cbw_quota_t *quota, cbw_time_t now)
{
    cbw_link_t *link;
    cbw_link_t *safe;

    for (size_t i = 0; i < Cbw_QUOTA_LISTS; i++) {
        Cbw_LIST_FOREACH (&quota->lists[i], link, safe) {
            cbw_quota_bucket_t *bucket =
                Cbw_LIST_ITEM(link, cbw_quota_bucket_t, link);
            CbwQuota_Fill_(quota, bucket, now);
            if (bucket->is_limited &&
                now - bucket->refused_at >= LIMITED_FOR) {
                set_limited(quota, bucket, false);
            }
            if (!is_needed(quota, bucket, now)) {
                free_bucket(quota, bucket);
            }
        }
    }
}
