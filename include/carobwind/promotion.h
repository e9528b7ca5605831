/* Ordering a promotion: swap the group's record in the store to a new term,
 * fence a majority, promote the endpoint with the highest log, publish.  Pure
 * and plain data: the explorer copies it. */
#ifndef CAROBWIND_PROMOTION_H
#define CAROBWIND_PROMOTION_H

#include "carobwind/endpoint.h"

typedef enum {
    CBW_PROMOTION_IDLE,
    CBW_PROMOTION_READING,  /* the group's record */
    CBW_PROMOTION_SWAPPING, /* claims a new term */
    CBW_PROMOTION_SETTLING, /* the swap's answer was lost: reads back */
    CBW_PROMOTION_FENCING,
    CBW_PROMOTION_PROMOTING, /* one endpoint only */
    CBW_PROMOTION_PUBLISHING,
    CBW_PROMOTION_BACKOFF,
} cbw_promotion_state_t;

/* Names of the members of cbw_promotion_state_t, in their order. */
extern const char *const CbwPromotion_StateString[];

typedef enum {
    CBW_STORE_OK,
    CBW_STORE_MISSING,  /* no such record; its version counts as 0 */
    CBW_STORE_CONFLICT, /* the version was another */
    CBW_STORE_LOST,     /* no answer: it may have taken effect */
} cbw_store_status_t;

/* Names of the members of cbw_store_status_t, in their order. */
extern const char *const CbwPromotion_StoreStatusString[];

/* The group's record in the store. */
typedef struct {
    uint64_t term;
    uint64_t claimant; /* nonce of the attempt that claimed the term */
    int primary;       /* endpoint index; -1: not yet known */
} cbw_group_record_t;

typedef struct {
    void (*read_record)(void *context);
    void (*swap_record)(void *context, uint64_t version,
                        const cbw_group_record_t *record);
    void (*fence)(void *context, int endpoint, uint64_t term);
    void (*promote)(void *context, int endpoint, uint64_t term);
    /* The promotion ended; `endpoint` is -1 when it did not succeed. */
    void (*ended)(void *context, uint64_t term, int endpoint,
                  const char *reason);
} cbw_promotion_ops_t;

typedef struct {
    cbw_promotion_state_t state;
    int endpoint_count;
    uint64_t attempt_nonce; /* unique in the fleet; grows with each attempt */
    uint64_t term;
    uint64_t highest_term;    /* highest term seen anywhere */
    uint64_t record_version;  /* of the record that our swap is based on */
    unsigned fenced_mask;     /* mask of endpoints */
    unsigned unanswered_mask; /* mask of endpoints that gave no answer */
    cbw_time_t majority_fenced_at; /* when a majority was fenced; 0: not yet */
    cbw_endpoint_state_t states[Cbw_ENDPOINTS_MAX];
    unsigned excluded_mask; /* mask: not to be promoted */
    int candidate;
    cbw_time_t step_deadline;
    cbw_time_t backoff_until;
    int consecutive_failures; /* in a row */
} cbw_promotion_t;

#define Cbw_PROMOTION_STEP_TIMEOUT (300 * Cbw_MSEC)
/* How long a fenced majority waits for the remaining endpoints. */
#define Cbw_PROMOTION_STRAGGLER_WAIT (30 * Cbw_MSEC)
#define Cbw_PROMOTION_BACKOFF (200 * Cbw_MSEC)
#define Cbw_PROMOTION_BACKOFF_MAX (3 * Cbw_SEC)

/* `nonce` must be unique to this process start. */
void CbwPromotion_Init(cbw_promotion_t *promotion, int endpoint_count,
                       uint64_t nonce);
/* Begins unless one is in flight or backing off. `seen_term` is the highest
 * term that the caller saw; endpoints in `excluded` are fenced but not
 * promoted. Returns whether it began. */
bool CbwPromotion_Start(cbw_promotion_t *promotion, cbw_time_t now,
                        uint64_t seen_term, unsigned excluded,
                        const cbw_promotion_ops_t *ops, void *context);
bool CbwPromotion_IsActive(const cbw_promotion_t *promotion);
/* Answers to the table's calls. Those of older steps are ignored. */
void CbwPromotion_OnRecord(cbw_promotion_t *promotion, cbw_time_t now,
                           cbw_store_status_t status, uint64_t version,
                           const cbw_group_record_t *record,
                           const cbw_promotion_ops_t *ops, void *context);
void CbwPromotion_OnSwap(cbw_promotion_t *promotion, cbw_time_t now,
                         cbw_store_status_t status, uint64_t version,
                         const cbw_promotion_ops_t *ops, void *context);
void CbwPromotion_OnFence(cbw_promotion_t *promotion, cbw_time_t now,
                          int endpoint, uint64_t term,
                          cbw_reply_status_t status,
                          const cbw_endpoint_state_t *state,
                          const cbw_promotion_ops_t *ops, void *context);
void CbwPromotion_OnPromote(cbw_promotion_t *promotion, cbw_time_t now,
                            int endpoint, uint64_t term,
                            cbw_reply_status_t status,
                            const cbw_promotion_ops_t *ops, void *context);
/* Time-outs and the end of a back-off. */
void CbwPromotion_Tick(cbw_promotion_t *promotion, cbw_time_t now,
                       const cbw_promotion_ops_t *ops, void *context);

#endif
