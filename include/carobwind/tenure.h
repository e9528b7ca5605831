/* The right to acknowledge what a database's primary did.  One record a
 * database in the store names the owner that holds it; whoever orders a
 * promotion first swaps the record, then waits until the former holder's right
 * has ended.  Pure: store calls go out through a table of functions. */
#ifndef CAROBWIND_TENURE_H
#define CAROBWIND_TENURE_H

#include "carobwind/promotion.h"
#include "carobwind/types.h"

/* How long a right lasts, from the sending of the call that proved it: longer
 * than the outages of the store that the users' sheets name (4.5 s), so that
 * service outlives them; a promoter that was not the holder waits for it. */
#define Cbw_TENURE_VALID_FOR (6 * Cbw_SEC)
/* How often it is proved anew; a fifth of a second more than the least at
 * which three owners cost 0.002 of the users' worth. */
#define Cbw_TENURE_RENEW_INTERVAL (1200 * Cbw_MSEC)
/* Pause after a call that got no answer. */
#define Cbw_TENURE_RETRY_INTERVAL (250 * Cbw_MSEC)
/* Least time between two take-overs by one owner, so that two that contend do
 * not flood the store. */
#define Cbw_TENURE_TAKE_OVER_INTERVAL (1500 * Cbw_MSEC)

/* A promotion is left to its owner for so long, unless the record changes:
 * longer than a promotion takes with all its waits. */
#define Cbw_TENURE_PROMOTION_TIMEOUT (Cbw_TENURE_VALID_FOR + 3 * Cbw_SEC)

/* A store whose answer is due for so long counts as silent: above the slow
 * answers of the users' sheets (4 ms, 60 times as long). */
#define Cbw_TENURE_UNRESPONSIVE_AFTER (300 * Cbw_MSEC)

/* Former holders that a record names; with more, all must be waited for. */
#define Cbw_TENURE_PREVIOUS_HOLDERS_MAX 6
/* Former holders that are remembered with the time when they were seen. */
#define Cbw_TENURE_FIRST_SEEN_MAX 24
/* How often a former holder is asked to give its right up. */
#define Cbw_TENURE_RELINQUISH_INTERVAL (300 * Cbw_MSEC)

typedef struct {
    uint64_t nonce; /* of the owner */
    char host[Cbw_NAME_MAX];
    /* Of a former holder: the record's version when another took over; 0: it
     * holds. Sets apart the times at which one owner held. */
    uint64_t version;
} cbw_tenure_holder_t;

/* The record in the store. */
typedef struct {
    uint64_t epoch;             /* grows with each promotion */
    cbw_tenure_holder_t holder; /* nonce 0: given back */
    bool promoting;             /* the holder may have ordered a promotion */
    char primary[Cbw_NAME_MAX]; /* or, while promoting, the former one */
    /* Holders whose right may not have ended when the present one took over;
     * -1: more than can be named. */
    int previous_holder_count;
    cbw_tenure_holder_t previous_holders[Cbw_TENURE_PREVIOUS_HOLDERS_MAX];
} cbw_tenure_record_t;

/* Writes the record's text to `text` of Cbw_TENURE_TEXT_MAX bytes. */
#define Cbw_TENURE_TEXT_MAX 1024
void CbwTenure_FormatRecord(const cbw_tenure_record_t *record, char *text);
/* Returns 0, or -1 when the text is no record. */
int CbwTenure_ParseRecord(cbw_tenure_record_t *record, const char *text);

typedef struct {
    void (*read_record)(void *context);
    void (*swap_record)(void *context, uint64_t version,
                        const cbw_tenure_record_t *record);
    /* Asks a former holder to give up its right; CbwTenure_OnRelinquished. */
    void (*ask_to_relinquish)(void *context,
                              const cbw_tenure_holder_t *former);
} cbw_tenure_ops_t;

typedef struct {
    const cbw_tenure_ops_t *ops;
    void *context;
    cbw_tenure_holder_t self;
    bool record_known; /* `record` and `version` are as last read */
    cbw_tenure_record_t record;
    uint64_t version;    /* 0: there is no record yet */
    bool call_in_flight; /* a call is on its way */
    bool swap_in_flight; /* it is a swap, of `wanted` */
    cbw_tenure_record_t proposed;
    cbw_time_t call_sent_at;
    bool last_call_lost; /* the last call ended without an answer */
    cbw_time_t next_call_at;
    cbw_time_t valid_until;   /* 0: not held */
    bool held;                /* without a break since `sole_since` was set */
    bool inherited_promotion; /* a promotion that another ordered may still
                                 happen */
    cbw_time_t took_over_at;
    cbw_time_t version_seen_at; /* when `version` was first seen */
    unsigned relinquished;      /* mask of the record's formers */
    /* When holders were first seen among the former ones, the latest ones:
     * they proved their rights before. */
    struct {
        uint64_t nonce;
        uint64_t version;
        cbw_time_t at;
    } first_seen[Cbw_TENURE_FIRST_SEEN_MAX];
    size_t first_seen_count; /* ever */
    cbw_time_t relinquish_asked_at;
    cbw_time_t relinquished_at; /* answers to earlier calls do not count */
    cbw_time_t exclusive_from;  /* other holders' rights have ended by then */
} cbw_tenure_t;

void CbwTenure_Init(cbw_tenure_t *tenure, const cbw_tenure_ops_t *ops,
                    void *context, uint64_t nonce, const char *host);
/* No promotion that this owner did not order has taken effect before `now`. */
bool CbwTenure_IsValid(const cbw_tenure_t *tenure, cbw_time_t now);
/* Besides, no other owner has the right any more. */
bool CbwTenure_IsExclusive(const cbw_tenure_t *tenure, cbw_time_t now);
/* The store does not answer this owner. */
bool CbwTenure_IsStoreUnresponsive(const cbw_tenure_t *tenure, cbw_time_t now);
/* Proves, takes over or takes back the right where that is due. `primary` is
 * for a record that does not exist yet; "" when it is not known. */
void CbwTenure_Tick(cbw_tenure_t *tenure, cbw_time_t now, const char *primary);
/* Asks for a proof at once, unless a call is on its way. */
void CbwTenure_RenewEarly(cbw_tenure_t *tenure, cbw_time_t now);
/* Swaps the record: `promoting` with the next epoch, or the end of a promotion
 * with its `primary`. Returns false when a call is on its way or the right is
 * not held. */
bool CbwTenure_BeginPromotion(cbw_tenure_t *tenure, cbw_time_t now);
bool CbwTenure_EndPromotion(cbw_tenure_t *tenure, cbw_time_t now,
                            const char *primary);
/* Asks former holders to give up their rights, where a promotion would have to
 * wait for their end; call it until the owner is the only one. */
void CbwTenure_AskToRelinquish(cbw_tenure_t *tenure, cbw_time_t now);
/* Another owner asks for the right of the one with `nonce`, which is this one:
 * it ends now. */
void CbwTenure_Relinquish(cbw_tenure_t *tenure, cbw_time_t now);
/* The host of the owner with `nonce` is not there: its promotion need not be
 * left to it, but its right lasts until it ends by itself. */
void CbwTenure_OnHolderUnreachable(cbw_tenure_t *tenure, cbw_time_t now,
                                   uint64_t nonce);
/* The owner with `nonce` has no right any more. */
void CbwTenure_OnRelinquished(cbw_tenure_t *tenure, cbw_time_t now,
                              uint64_t nonce);
/* Leaves the record to the holder that it names; reads it again at `until`. */
void CbwTenure_Defer(cbw_tenure_t *tenure, cbw_time_t until);
/* Gives the right back, so that the next owner need not wait. */
void CbwTenure_Release(cbw_tenure_t *tenure, cbw_time_t now);

void CbwTenure_OnRecord(cbw_tenure_t *tenure, cbw_time_t now,
                        cbw_store_status_t status, uint64_t version,
                        const cbw_tenure_record_t *record);
void CbwTenure_OnSwap(cbw_tenure_t *tenure, cbw_time_t now,
                      cbw_store_status_t status, uint64_t version);

#endif
