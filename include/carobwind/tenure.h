/* A tenure is a lease on a database. Its holder, the owner of the database,
 * may acknowledge what the database's primary did.
 *
 * One record for each database in the store names the holder. An owner that
 * requests a promotion first swaps the record, which grants it the tenure, and
 * then waits until the previous holders' tenures have expired or were
 * relinquished.
 *
 * The module does no I/O: calls to the store go out through cbw_tenure_ops_t,
 * and their answers come in through CbwTenure_OnRecord and CbwTenure_OnSwap.
 */
#ifndef CAROBWIND_TENURE_H
#define CAROBWIND_TENURE_H

#include "carobwind/log_copies.h"
#include "carobwind/promotion.h"
#include "carobwind/term_history.h"
#include "carobwind/types.h"

/* Duration of a tenure, from the sending of the call that renewed it. Longer
 * than the specified store outages (4.5 s), so that service continues during
 * them. An owner that takes the tenure over from another one waits for up to
 * this long before it requests a promotion, unless that one relinquishes its
 * tenure. */
#define Cbw_TENURE_VALID_FOR (6 * Cbw_SEC)
/* Renewal interval. A shorter one leaves more of the tenure at the start of a
 * store outage, but costs more calls to the store. */
#define Cbw_TENURE_RENEW_INTERVAL (1200 * Cbw_MSEC)
/* Pause after a call to the store that got no answer. */
#define Cbw_TENURE_RETRY_INTERVAL (250 * Cbw_MSEC)
/* Minimum time between two take-overs of the tenure by one owner, and between
 * relinquishing it and taking it over, so that two contending owners do not
 * flood the store. */
#define Cbw_TENURE_TAKE_OVER_INTERVAL (1500 * Cbw_MSEC)

/* Another owner's promotion may be taken over after this time without a change
 * of the record. Longer than the steps of a promotion take. */
#define Cbw_TENURE_PROMOTION_TIMEOUT (Cbw_TENURE_VALID_FOR + 3 * Cbw_SEC)
/* Interval at which the record is rewritten in a promotion that waits. */
#define Cbw_TENURE_KEEP_INTERVAL (3 * Cbw_SEC)

/* The store counts as unresponsive when a call has been in flight for this
 * long. Longer than the slowest specified answers (240 ms). */
#define Cbw_TENURE_UNRESPONSIVE_AFTER (300 * Cbw_MSEC)

/* Maximum number of previous holders that a record names. If there are more, a
 * new holder has to wait until their tenures expire. */
#define Cbw_TENURE_PREVIOUS_HOLDERS_MAX 6
/* Number of previous holders for which the time of first sight is kept. */
#define Cbw_TENURE_FIRST_SEEN_MAX 24
/* Interval between requests to a previous holder to relinquish its tenure. */
#define Cbw_TENURE_RELINQUISH_INTERVAL (300 * Cbw_MSEC)

/* The current or a previous holder. */
typedef struct {
    uint64_t nonce; /* of the owner */
    char host[Cbw_NAME_MAX];
    /* Of a previous holder: the record's version when it was superseded, which
     * distinguishes several tenures of one owner. 0: the current holder. */
    uint64_t version;
} cbw_tenure_holder_t;

/* The record in the store. */
typedef struct {
    uint64_t epoch;             /* incremented by each promotion */
    cbw_tenure_holder_t holder; /* nonce 0: released */
    bool promoting;             /* the holder may have requested a promotion */
    /* The current primary; while promoting, the previous one. */
    char primary[Cbw_NAME_MAX];
    /* That primary's term, as it reported it; 0: not known. Each promotion
     * begins a higher term. */
    uint64_t term;
    /* The terms of that primary's log; `term` is the last one, if it is known.
     */
    cbw_term_history_t history;
    /* With synchronous commits, the processes that may have acknowledged
     * commits: the next owner awaits their logs, listed or not. */
    cbw_log_copies_t copies;
    /* Number of holders whose tenure may not have expired when the current one
     * took over. -1: more than the record can name. */
    int previous_holder_count;
    cbw_tenure_holder_t previous_holders[Cbw_TENURE_PREVIOUS_HOLDERS_MAX];
} cbw_tenure_record_t;

/* Size of a buffer for a record's text, with its NUL. */
#define Cbw_TENURE_TEXT_MAX 4096
/* Writes the stored form of `record` to `text` of Cbw_TENURE_TEXT_MAX bytes.
 */
void CbwTenure_FormatRecord(const cbw_tenure_record_t *record, char *text);
/* Parses the stored form. Earlier versions neither write nor read its last
 * words, the log copies; still earlier ones the terms before the present one;
 * still earlier ones no term at all. Where copies are missing, none is known;
 * where terms are, only a log of the term just before the present one is taken
 * for valid. Returns 0, or -1 when the text is malformed. The record
 * then has no holder, an unknown number of previous holders, and a promotion
 * in progress: an owner that takes it over waits for all tenures to expire and
 * carries out a promotion before it serves. */
int CbwTenure_ParseRecord(cbw_tenure_record_t *record, const char *text);

typedef struct {
    /* Reads the record; answered by CbwTenure_OnRecord. */
    void (*read_record)(void *context);
    /* Replaces the record if its version is `version` (0: if there is none);
     * answered by CbwTenure_OnSwap. */
    void (*swap_record)(void *context, uint64_t version,
                        const cbw_tenure_record_t *record);
    /* Asks a holder to relinquish its tenure; answered by
     * CbwTenure_OnRelinquished or CbwTenure_OnHolderUnreachable. */
    void (*ask_to_relinquish)(void *context,
                              const cbw_tenure_holder_t *holder);
} cbw_tenure_ops_t;

/* One owner's view of the tenure of one database. */
typedef struct {
    const cbw_tenure_ops_t *ops;
    void *context;
    cbw_tenure_holder_t self;
    bool record_known; /* `record` and `version` are those last read */
    cbw_tenure_record_t record;
    uint64_t version;             /* 0: there is no record yet */
    bool call_in_flight;          /* to the store */
    bool swap_in_flight;          /* that call is a swap to `proposed` */
    cbw_tenure_record_t proposed; /* of the last swap */
    cbw_log_copies_t copies;      /* see CbwTenure_SetCopies */
    cbw_time_t call_sent_at;
    bool last_call_lost; /* the last call got no answer */
    /* A swap got no answer: the store may still carry it out as long as the
     * record has the version that the swap expected. */
    bool swap_unsettled;
    uint64_t unsettled_version;
    bool release_unsettled; /* that swap removes this owner from the record */
    cbw_time_t next_call_at;
    cbw_time_t valid_until; /* end of this owner's tenure; 0: none */
    /* This owner became the record's holder, and has neither relinquished the
     * tenure since nor read that another owner holds it. Stays set when the
     * tenure expires. */
    bool held;
    /* A promotion that another owner requested may still take effect. */
    bool inherited_promotion;
    /* When this owner last took over or relinquished the tenure; 0: never. The
     * next take-over is Cbw_TENURE_TAKE_OVER_INTERVAL later at the earliest.
     */
    cbw_time_t take_over_delayed_from;
    /* When `version` was first seen. Set back if the promotion of that version
     * may be taken over at once. */
    cbw_time_t version_seen_at;
    unsigned relinquished; /* mask of the record's previous holders */
    /* When an owner was first seen among the previous holders: it last renewed
     * its tenure before then. A ring of the latest ones. */
    struct {
        uint64_t nonce;
        uint64_t version;
        cbw_time_t at;
    } first_seen[Cbw_TENURE_FIRST_SEEN_MAX];
    size_t first_seen_count; /* ever written */
    cbw_time_t relinquish_asked_at;
    cbw_time_t relinquished_at; /* answers to earlier calls are ignored */
    cbw_time_t exclusive_from;  /* others' tenures have ended by then */
} cbw_tenure_t;

/* Initializes the view of an owner without a tenure. `nonce` must be unique to
 * this owner in the fleet; `host` is the name of its host. */
void CbwTenure_Init(cbw_tenure_t *tenure, const cbw_tenure_ops_t *ops,
                    void *context, uint64_t nonce, const char *host);
/* Returns whether this owner has a valid tenure: no promotion that it did not
 * request has taken effect before `now`. */
bool CbwTenure_IsValid(const cbw_tenure_t *tenure, cbw_time_t now);
/* Returns whether it has a valid tenure, no other owner has one, and no swap
 * of its own may still change the record. */
bool CbwTenure_IsExclusive(const cbw_tenure_t *tenure, cbw_time_t now);
/* Returns whether the store does not answer this owner. */
bool CbwTenure_IsStoreUnresponsive(const cbw_tenure_t *tenure, cbw_time_t now);
/* Renews the tenure, or takes it over, if that is due. `primary` is written to
 * a record that does not exist yet; "" when it is not known. */
void CbwTenure_Tick(cbw_tenure_t *tenure, cbw_time_t now, const char *primary);
/* Sets the log copies that this owner, the holder, writes with the record from
 * now on. If the record has others, a swap is due soon. */
void CbwTenure_SetCopies(cbw_tenure_t *tenure, cbw_time_t now,
                         const cbw_log_copies_t *copies);
/* Makes a renewal due at once, unless a call is in flight or was sent within
 * Cbw_TENURE_RETRY_INTERVAL. */
void CbwTenure_RenewEarly(cbw_tenure_t *tenure, cbw_time_t now);
/* Swap the record: to `promoting` with the next epoch, or to the end of the
 * promotion with its `primary`. `term` is that of the record's primary, which
 * the promotion replaces (0: not known; a term that the record has is kept),
 * or of the new one, and `base` the end of the new one's log when it began
 * that term, all zero if not known: then all logs of earlier terms count as
 * discarded. Return false when a call is in flight or this owner is not the
 * holder. */
bool CbwTenure_BeginPromotion(cbw_tenure_t *tenure, cbw_time_t now,
                              uint64_t term);
bool CbwTenure_EndPromotion(cbw_tenure_t *tenure, cbw_time_t now,
                            const char *primary, uint64_t term,
                            cbw_position_t base);
/* Keeps other owners from taking over this owner's promotion: changes the
 * record's version if that is Cbw_TENURE_KEEP_INTERVAL old. To be called as
 * long as the promotion waits. */
void CbwTenure_KeepPromotion(cbw_tenure_t *tenure, cbw_time_t now);
/* Asks previous holders to relinquish their tenures, which a promotion would
 * otherwise have to wait for. To be called until the tenure is exclusive. */
void CbwTenure_AskToRelinquish(cbw_tenure_t *tenure, cbw_time_t now);
/* Ends this owner's tenure now, at the request of another owner. The record is
 * not changed. */
void CbwTenure_Relinquish(cbw_tenure_t *tenure, cbw_time_t now);
/* The host of the owner with `nonce` is unreachable. A promotion that it has
 * begun may be taken over, but its tenure lasts until it expires. */
void CbwTenure_OnHolderUnreachable(cbw_tenure_t *tenure, cbw_time_t now,
                                   uint64_t nonce);
/* The owner with `nonce` no longer has a tenure. */
void CbwTenure_OnRelinquished(cbw_tenure_t *tenure, cbw_time_t now,
                              uint64_t nonce);
/* Leaves the tenure to the holder that the record names, and reads the record
 * again at `until`. */
void CbwTenure_Defer(cbw_tenure_t *tenure, cbw_time_t until);
/* Ends the tenure and removes this owner from the record, so that the next
 * owner need not wait for the expiry. While a call is in flight the record is
 * left as it is. */
void CbwTenure_Release(cbw_tenure_t *tenure, cbw_time_t now);

/* Handle the answers to ops->read_record and ops->swap_record. */
void CbwTenure_OnRecord(cbw_tenure_t *tenure, cbw_time_t now,
                        cbw_store_status_t status, uint64_t version,
                        const cbw_tenure_record_t *record);
void CbwTenure_OnSwap(cbw_tenure_t *tenure, cbw_time_t now,
                      cbw_store_status_t status, uint64_t version);

#endif
