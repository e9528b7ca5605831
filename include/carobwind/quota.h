/* Quotas: a workspace's limit on operations, which binds the sum over all
 * hosts. The owner of a database has a token bucket for each workspace with
 * recent demand; it fills at the owner's share of the limit. Owners that need
 * less than an equal share lend, through the workspace's granter, to those
 * that need more. See docs/design/quotas.md.
 *
 * In every window of Cbw_QUOTA_WINDOW, the tokens that are spent for a
 * workspace are at most
 *
 *     (rate x 5 s + burst) x 1.1 + 20
 *
 * The module does no I/O, and the time is an argument. */
#ifndef CAROBWIND_QUOTA_H
#define CAROBWIND_QUOTA_H

#include "carobwind/counter.h"
#include "carobwind/inventory.h"
#include "carobwind/list.h"
#include "carobwind/types.h"
#include "carobwind/workspace.h"

/* Length of the sliding window for which the bound holds. */
#define Cbw_QUOTA_WINDOW (5 * Cbw_SEC)
/* Shares of a limit are whole numbers of millionths, so that their sums are
 * exact. */
#define Cbw_QUOTA_WHOLE 1000000U

/* The bound leaves a margin of 20 operations and a tenth of what the rate
 * allows in a window. The following use 16 + 4 operations, and 0.1 s + 0.1 s
 * of the rate. The rest is for owners of one database that overlap at a
 * hand-over. */

/* Added to each burst. It is divided equally among the databases and never
 * lent, so that an owner that lent its share can run an operation at once, and
 * a workspace with a small rate is not refused below it. */
#define Cbw_QUOTA_EXTRA_BURST 16.0
/* The tokens of this time are added to each burst, since tokens are taken only
 * when requests arrive and the event loop runs. */
#define Cbw_QUOTA_EXTRA_TIME (100 * Cbw_MSEC)
/* Operations of a new owner until it knows whether its share is lent: its
 * share of this number, and the tokens of this time. */
#define Cbw_QUOTA_START_EXTRA 4.0
/* Percentage of its base share that it may use in addition until then. After a
 * restart of all hosts callers get no more until the granters are known. */
#define Cbw_QUOTA_START_SHARE_PERCENT 50
#define Cbw_QUOTA_START_TIME (100 * Cbw_MSEC)

/* How long a holder uses a lease, from the sending of its claim. */
#define Cbw_QUOTA_LEASE (500 * Cbw_MSEC)
/* How long the granter counts a lease, from the sending of its answer. */
#define Cbw_QUOTA_LEASE_COUNTED (Cbw_QUOTA_LEASE + 250 * Cbw_MSEC)
/* Grants may be based on a loan for this long after its stamp. Leases based on
 * it end before Cbw_QUOTA_RETURN_AFTER. */
#define Cbw_QUOTA_LOAN (1000 * Cbw_MSEC)
/* An owner uses the share that it lent after this time without a
 * confirmation. */
#define Cbw_QUOTA_RETURN_AFTER (1800 * Cbw_MSEC)
/* Minimum time between two claims for one workspace, and between two messages
 * of an owner to one host. */
#define Cbw_QUOTA_CLAIM_INTERVAL (250 * Cbw_MSEC)
/* How often an owner is asked to lend. A third of Cbw_QUOTA_LOAN, so that a
 * lost request does not end the loan. */
#define Cbw_QUOTA_LEND_REQUEST_INTERVAL (300 * Cbw_MSEC)
/* A bucket without demand is dropped after this time, once it is full. */
#define Cbw_QUOTA_IDLE_TIMEOUT (5 * Cbw_SEC)
/* Maximum number of workspaces in one message. */
#define Cbw_QUOTA_MESSAGE_MAX 256
/* Number of lists of a hash table of workspaces. */
#define Cbw_QUOTA_LISTS 64

/* State of a request's token. */
typedef enum {
    CBW_QUOTA_TOKEN_NONE,     /* no limit applies */
    CBW_QUOTA_TOKEN_RESERVED, /* accepted and not sent yet */
    CBW_QUOTA_TOKEN_SPENT,    /* sent to an endpoint */
} cbw_quota_token_t;

/* A reading of a granter's clock. */
typedef struct {
    uint64_t granter; /* nonce of its process; 0: none */
    cbw_time_t at;
} cbw_quota_stamp_t;

/* An owner's claim to a granter, for one workspace. Shares are in millionths
 * of the limit. */
typedef struct {
    char workspace[Cbw_NAME_MAX];
    uint32_t want;           /* beyond the base share */
    uint32_t held;           /* currently leased */
    uint32_t lend;           /* of the base share */
    cbw_quota_stamp_t stamp; /* received last */
} cbw_quota_claim_t;

/* The answer to a claim. */
typedef struct {
    char workspace[Cbw_NAME_MAX];
    uint32_t grant;   /* leased, in place of earlier leases */
    uint32_t counted; /* of the claimant's base share, that others may use */
    bool confirmed;   /* `counted` is complete */
    cbw_quota_stamp_t stamp;
} cbw_quota_grant_t;

/* The bucket and share of one workspace at one owner. */
typedef struct {
    cbw_link_t link;
    cbw_workspace_t limit;      /* its name, rate and burst */
    char granter[Cbw_NAME_MAX]; /* database of the granter */
    /* Tokens that can be reserved; negative after operations that ran twice.
     */
    double level;
    double credit; /* tokens of a new owner, used first */
    int reserved;  /* tokens of requests that are not sent yet */
    cbw_time_t filled_at;
    double demand;         /* operations per second, smoothed */
    double slow_demand;    /* the same over a longer time */
    cbw_time_t demand_at;  /* of the last operation asked for */
    cbw_time_t refused_at; /* last; 0: never */
    bool is_limited;       /* refused recently */
    uint32_t lent;         /* not to be used before `lent_until` */
    cbw_time_t lent_until;
    uint32_t leased; /* to be used until `leased_until` */
    cbw_time_t leased_until;
    uint64_t claim; /* number of the last one; 0: none */
    cbw_time_t claimed_at;
    uint32_t claimed_lend;
    cbw_quota_stamp_t stamp;   /* of the granter, received last */
    cbw_time_t asked_at;       /* when asked to lend; 0: never */
    bool lend_request_pending; /* not answered by a claim yet */
} cbw_quota_bucket_t;

/* Reports that a workspace became limited, that is, was refused an operation,
 * or is no longer limited. */
typedef void (*cbw_quota_report_t)(void *context, const char *workspace,
                                   bool limited);

/* All quotas at the owner of one database. */
typedef struct {
    const cbw_inventory_t *inventory; /* not owned */
    cbw_counters_t *counters;         /* may be NULL */
    cbw_quota_report_t report;        /* may be NULL */
    void *context;                    /* of `report` */
    uint32_t base;                    /* the base share */
    uint64_t term; /* tenure version of this ownership; 0: never held it */
    /* Loans of a previous owner have ended by then. */
    cbw_time_t known_from;
    bool may_lend;
    bool overlaps; /* see CbwQuota_SetOverlaps */
    uint64_t last_claim;
    cbw_link_t lists[Cbw_QUOTA_LISTS];
    size_t count; /* of buckets */
} cbw_quota_t;

/* Initializes the quotas of an owner that begins at `now`. `counters` may be
 * NULL and must outlive the quotas. */
void CbwQuota_Init(cbw_quota_t *quota, cbw_time_t now,
                   cbw_counters_t *counters);
/* Frees all buckets. */
void CbwQuota_Finish(cbw_quota_t *quota);
/* Applies the limits of `inventory`, which must stay valid until the next call
 * or until CbwQuota_Finish. */
void CbwQuota_SetInventory(cbw_quota_t *quota, cbw_time_t now,
                           const cbw_inventory_t *inventory);
/* Begins an ownership under a new tenure: `term` is the version of its record,
 * higher than those of all earlier tenures. What the previous owner lent is
 * unknown until the granter confirms it or Cbw_QUOTA_RETURN_AFTER has passed.
 */
void CbwQuota_BeginTerm(cbw_quota_t *quota, cbw_time_t now, uint64_t term);
/* Sets whether the owner may lend, which requires a valid tenure. */
void CbwQuota_SetMayLend(cbw_quota_t *quota, bool may_lend);
/* Sets whether another owner of the database may serve at the same time: this
 * one is about to leave, or has no tenure yet. Both then use half of the base
 * share. */
void CbwQuota_SetOverlaps(cbw_quota_t *quota, cbw_time_t now, bool overlaps);

/* Reserves a token for an operation. Returns false when the limit is reached:
 * `retry_after` is then the time until a token is expected. `token` is NONE if
 * the workspace has no limit. */
bool CbwQuota_Reserve(cbw_quota_t *quota, cbw_time_t now,
                      const char *workspace, cbw_quota_token_t *token,
                      cbw_time_t *retry_after);
/* The operation was sent to an endpoint. */
void CbwQuota_Spend(cbw_quota_t *quota, const char *workspace,
                    cbw_quota_token_t *token);
/* The operation was sent and did not run, or its answer is lost (`ran`), and
 * it is queued again. */
void CbwQuota_Requeue(cbw_quota_t *quota, cbw_time_t now,
                      const char *workspace, cbw_quota_token_t *token,
                      bool ran);
/* The operation ended. A reserved token is returned. */
void CbwQuota_End(cbw_quota_t *quota, const char *workspace,
                  cbw_quota_token_t *token);

/* Drops buckets that are no longer needed, and reports workspaces that are no
 * longer limited. */
void CbwQuota_Tick(cbw_quota_t *quota, cbw_time_t now);

/* Returns whether claims to the granter at this database are to be part of a
 * message. */
typedef bool (*cbw_quota_filter_t)(void *context, const char *granter);
/* Makes claims that are due, `max` at most, to granters for which `accept`
 * returns true. Returns their count, and sets `number`, which the answer
 * repeats. */
size_t CbwQuota_MakeClaims(cbw_quota_t *quota, cbw_time_t now,
                           cbw_quota_filter_t accept, void *context,
                           cbw_quota_claim_t *claims, size_t max,
                           uint64_t *number);
/* Handles the answer to the claims of `number`. */
void CbwQuota_OnGrant(cbw_quota_t *quota, cbw_time_t now, uint64_t number,
                      const cbw_quota_grant_t *grant);
/* A granter asks to lend. */
void CbwQuota_OnLendRequest(cbw_quota_t *quota, cbw_time_t now,
                            const char *workspace, cbw_quota_stamp_t stamp);
/* Returns the bucket of a workspace, or NULL. */
const cbw_quota_bucket_t *CbwQuota_Find(const cbw_quota_t *quota,
                                        const char *workspace);

/* Returns the database whose owner is the granter of a workspace. NULL: there
 * is no database. */
const cbw_database_t *CbwQuota_FindGranter(const cbw_inventory_t *inventory,
                                           const char *workspace);

/* State of one owner at a granter, for one workspace. */
typedef struct {
    cbw_link_t link;
    char database[Cbw_NAME_MAX];
    uint64_t term;   /* of its latest claim; 0: it made none */
    uint64_t number; /* of its latest claim */
    cbw_time_t heard_at;
    uint32_t want;
    uint32_t leased; /* counted until `leased_until` */
    cbw_time_t leased_until;
    uint32_t offer; /* usable for grants until `offer_until` */
    cbw_time_t offer_until;
    uint32_t counted;    /* at least `offer`: leases may be based on it */
    cbw_time_t asked_at; /* when it was asked to lend; 0: never */
} cbw_quota_party_t;

/* A workspace at its granter. */
typedef struct {
    cbw_link_t link;
    char workspace[Cbw_NAME_MAX];
    cbw_link_t parties;
} cbw_quota_loans_t;

/* The granter at one database, for the workspaces that hash to it. */
typedef struct {
    uint64_t nonce;             /* of its process */
    cbw_counters_t *counters;   /* may be NULL */
    cbw_time_t exclusive_since; /* 0: no tenure */
    cbw_link_t lists[Cbw_QUOTA_LISTS];
    size_t count; /* of workspaces */
} cbw_quota_granter_t;

/* Initializes a granter without a tenure. `nonce` must not be 0 and must
 * differ with each start of the process. */
void CbwQuotaGranter_Init(cbw_quota_granter_t *granter, uint64_t nonce,
                          cbw_counters_t *counters);
/* Frees what the granter owns. */
void CbwQuotaGranter_Finish(cbw_quota_granter_t *granter);
/* Sets whether the granter's owner has a valid tenure, and no other owner has
 * one. When that begins, all earlier state is dropped. */
void CbwQuotaGranter_SetExclusive(cbw_quota_granter_t *granter, cbw_time_t now,
                                  bool exclusive);
/* Answers a claim of the owner of `database`. `base`: the base share. Returns
 * false without an answer when the claim is out of date, or when there is no
 * exclusive tenure. */
bool CbwQuotaGranter_OnClaim(cbw_quota_granter_t *granter, cbw_time_t now,
                             const char *database, uint32_t base,
                             uint64_t term, uint64_t number,
                             const cbw_quota_claim_t *claim,
                             cbw_quota_grant_t *grant);
/* Collects the workspaces for which the owner of `database` is to be asked to
 * lend, `max` at most, and marks them as asked. Returns their count. */
size_t CbwQuotaGranter_MakeLendRequests(cbw_quota_granter_t *granter,
                                        cbw_time_t now, const char *database,
                                        char (*workspaces)[Cbw_NAME_MAX],
                                        size_t max);
/* Drops state that is no longer needed. */
void CbwQuotaGranter_Tick(cbw_quota_granter_t *granter, cbw_time_t now);

#endif
