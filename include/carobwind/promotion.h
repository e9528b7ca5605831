/* Promotion of a new primary: claims a new term by compare-and-swap of the
 * group's record in the store, fences a majority of the endpoints, promotes
 * the fenced endpoint with the most recent log and publishes it in the record.
 *
 * The state machine does no I/O, reads no clock and is plain data, so that the
 * state-space explorer of the tests can copy it. */
#ifndef CAROBWIND_PROMOTION_H
#define CAROBWIND_PROMOTION_H

#include "carobwind/endpoint.h"

typedef enum {
    CBW_PROMOTION_IDLE,
    CBW_PROMOTION_READING,  /* reads the group's record */
    CBW_PROMOTION_SWAPPING, /* claims a new term in the record */
    CBW_PROMOTION_SETTLING, /* the swap got no answer: reads the record back */
    CBW_PROMOTION_FENCING,  /* raises the term of the endpoints */
    CBW_PROMOTION_PROMOTING,  /* promotes the chosen endpoint */
    CBW_PROMOTION_PUBLISHING, /* writes the new primary to the record */
    CBW_PROMOTION_BACKOFF,
} cbw_promotion_state_t;

/* Text of each cbw_promotion_state_t, indexed by value. */
extern const char *const CbwPromotion_StateString[];

/* Result of a call to the store. */
typedef enum {
    CBW_STORE_OK,
    CBW_STORE_MISSING,  /* no such record; its version counts as 0 */
    CBW_STORE_CONFLICT, /* the record has another version than expected */
    CBW_STORE_LOST,     /* no answer: a swap may have taken effect */
} cbw_store_status_t;

/* Text of each cbw_store_status_t, indexed by value. */
extern const char *const CbwPromotion_StoreStatusString[];

/* A group's record in the store. */
typedef struct {
    uint64_t term;
    uint64_t claimant; /* nonce of the attempt that claimed the term */
    int primary;       /* endpoint index; -1: none in this term yet */
} cbw_group_record_t;

/* Operations that a promotion needs from its environment. The results of the
 * first four are passed to the CbwPromotion_On... functions. */
typedef struct {
    /* Reads the group's record. */
    void (*read_record)(void *context);
    /* Replaces the group's record if its version is still `version`. */
    void (*swap_record)(void *context, uint64_t version,
                        const cbw_group_record_t *record);
    /* Makes the endpoint refuse terms below `term`. */
    void (*fence)(void *context, int endpoint, uint64_t term);
    /* Makes the endpoint the primary of `term`. */
    void (*promote)(void *context, int endpoint, uint64_t term);
    /* Called when the outcome is known: `endpoint` is the new primary, which
     * is not published in the record yet, or -1 if the promotion failed.
     * `reason` describes the outcome. */
    void (*on_outcome)(void *context, uint64_t term, int endpoint,
                       const char *reason);
} cbw_promotion_ops_t;

typedef struct {
    cbw_promotion_state_t state;
    int endpoint_count;
    uint64_t attempt_nonce;  /* unique in the fleet; grows with each attempt */
    uint64_t term;           /* claimed by the current attempt */
    uint64_t highest_term;   /* seen in records and replies */
    uint64_t record_version; /* of the record, for the next swap */
    unsigned fenced_mask;    /* endpoints that are fenced */
    unsigned failed_mask;    /* fence call failed or got no answer */
    cbw_time_t majority_fenced_at;                  /* 0: no majority yet */
    cbw_endpoint_state_t states[Cbw_ENDPOINTS_MAX]; /* when fenced */
    /* Endpoints to promote only if no other fenced one has as recent a log. */
    unsigned avoid_mask;
    int candidate; /* endpoint being promoted; -1: none yet */
    cbw_time_t step_deadline;
    cbw_time_t backoff_until;
    int consecutive_failures;
} cbw_promotion_t;

/* Timeout of each step and of each call to an endpoint. */
#define Cbw_PROMOTION_STEP_TIMEOUT (300 * Cbw_MSEC)
/* How long to wait for the other endpoints once a majority is fenced, since
 * one of them may have a more recent log. */
#define Cbw_PROMOTION_STRAGGLER_WAIT (30 * Cbw_MSEC)
/* Pause after a failed attempt; it doubles with each consecutive failure. */
#define Cbw_PROMOTION_BACKOFF (200 * Cbw_MSEC)
#define Cbw_PROMOTION_BACKOFF_MAX (3 * Cbw_SEC)

/* Initializes a promotion. `nonce` must be unique to this owner in the fleet;
 * each attempt adds 1 to it. */
void CbwPromotion_Init(cbw_promotion_t *promotion, int endpoint_count,
                       uint64_t nonce);
/* Starts a promotion unless one is active or backing off; returns whether it
 * started. `highest_term` is the highest term that the caller has seen.
 * Endpoints in `avoid_mask` are fenced too, but promoted only when no other
 * fenced endpoint has a log as recent as theirs. */
bool CbwPromotion_Start(cbw_promotion_t *promotion, cbw_time_t now,
                        uint64_t highest_term, unsigned avoid_mask,
                        const cbw_promotion_ops_t *ops, void *context);
/* Whether a promotion is in progress; false while backing off. */
bool CbwPromotion_IsActive(const cbw_promotion_t *promotion);
/* Results of the operations. Those that the current state does not expect are
 * ignored, except that CbwPromotion_OnFence records a higher term. */
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
/* Handles timeouts and the end of a backoff. */
void CbwPromotion_Tick(cbw_promotion_t *promotion, cbw_time_t now,
                       const cbw_promotion_ops_t *ops, void *context);

#endif
