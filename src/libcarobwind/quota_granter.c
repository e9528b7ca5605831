#include "carobwind/quota.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "private/quota.h"

/* A want is considered for this long after its claim: four intervals. */
#define WANT_VALID_FOR (1 * Cbw_SEC)
/* A party without a lease or a loan is dropped after this time. Claims that
 * arrive after it have no valid stamp. */
#define PARTY_TIMEOUT (6 * Cbw_SEC)

void
CbwQuotaGranter_Init(cbw_quota_granter_t *granter, uint64_t nonce,
                     cbw_counters_t *counters)
{
    memset(granter, 0, sizeof(*granter));
    granter->nonce = nonce;
    granter->counters = counters;
    for (size_t i = 0; i < Cbw_QUOTA_LISTS; i++) {
        CbwList_Init(&granter->lists[i]);
    }
}

static void
free_loans(cbw_quota_granter_t *granter, cbw_quota_loans_t *loans)
{
    cbw_link_t *link;

    while ((link = CbwList_TakeFirst(&loans->parties)) != NULL) {
        free(Cbw_LIST_ITEM(link, cbw_quota_party_t, link));
    }
    CbwList_Remove(&loans->link);
    free(loans);
    granter->count--;
}

void
CbwQuotaGranter_Finish(cbw_quota_granter_t *granter)
{
    for (size_t i = 0; i < Cbw_QUOTA_LISTS; i++) {
        while (!CbwList_IsEmpty(&granter->lists[i])) {
            free_loans(granter, Cbw_LIST_ITEM(granter->lists[i].next,
                                              cbw_quota_loans_t, link));
        }
    }
}

void
CbwQuotaGranter_SetExclusive(cbw_quota_granter_t *granter, cbw_time_t now,
                             bool exclusive)
{
    if (exclusive && granter->exclusive_since == 0) {
        CbwQuotaGranter_Finish(granter);
        granter->exclusive_since = now;
    }
    else if (!exclusive) {
        granter->exclusive_since = 0;
    }
}

/* Records. */

static cbw_quota_loans_t *
find_loans(const cbw_quota_granter_t *granter, const char *workspace)
{
    const cbw_link_t *list = &granter->lists[CbwQuota_ListOf_(workspace)];
    cbw_link_t *link = list->next;

    for (; link != list; link = link->next) {
        cbw_quota_loans_t *loans =
            Cbw_LIST_ITEM(link, cbw_quota_loans_t, link);
        if (strcmp(loans->workspace, workspace) == 0) {
            return loans;
        }
    }
    return NULL;
}

static cbw_quota_loans_t *
get_loans(cbw_quota_granter_t *granter, const char *workspace)
{
    cbw_quota_loans_t *loans = find_loans(granter, workspace);

    if (loans != NULL) {
        return loans;
    }
    loans = calloc(1, sizeof(*loans));
    if (loans == NULL) {
        abort();
    }
    CbwList_Init(&loans->link);
    CbwList_Init(&loans->parties);
    snprintf(loans->workspace, sizeof(loans->workspace), "%s", workspace);
    CbwList_Append(&granter->lists[CbwQuota_ListOf_(workspace)], &loans->link);
    granter->count++;
    return loans;
}

/* Returns the latest owner of `database`, or NULL. */
static cbw_quota_party_t *
find_party(const cbw_quota_loans_t *loans, const char *database)
{
    cbw_link_t *link = loans->parties.next;
    cbw_quota_party_t *latest = NULL;

    for (; link != &loans->parties; link = link->next) {
        cbw_quota_party_t *party =
            Cbw_LIST_ITEM(link, cbw_quota_party_t, link);
        if (strcmp(party->database, database) == 0 &&
            (latest == NULL || party->term > latest->term)) {
            latest = party;
        }
    }
    return latest;
}

static cbw_quota_party_t *
new_party(cbw_quota_loans_t *loans, const char *database)
{
    cbw_quota_party_t *party = calloc(1, sizeof(*party));

    if (party == NULL) {
        abort();
    }
    CbwList_Init(&party->link);
    snprintf(party->database, sizeof(party->database), "%s", database);
    CbwList_Append(&loans->parties, &party->link);
    return party;
}

/* Returns the party that makes a claim, or NULL when the claim is out of date.
 * The record of a previous owner remains until its lease has ended. The share
 * that it lent is part of the new owner's base share, and is counted once. */
static cbw_quota_party_t *
get_claimant(cbw_quota_loans_t *loans, const char *database, uint64_t term,
             uint64_t number)
{
    cbw_quota_party_t *latest = find_party(loans, database);
    cbw_quota_party_t *party = latest;

    if (latest != NULL &&
        (term < latest->term ||
         (term == latest->term && number <= latest->number))) {
        return NULL;
    }
    if (latest == NULL || (latest->term != 0 && latest->term != term)) {
        party = new_party(loans, database);
    }
    if (latest != NULL && party != latest) {
        party->counted = latest->counted;
        party->offer_until = latest->offer_until;
        latest->want = 0;
        latest->offer = 0;
        latest->counted = 0;
    }
    party->term = term;
    party->number = number;
    return party;
}

/* Removes expired leases, offers, counted shares and wants. */
static void
expire_parties(cbw_quota_loans_t *loans, cbw_time_t now)
{
    cbw_link_t *link = loans->parties.next;

    for (; link != &loans->parties; link = link->next) {
        cbw_quota_party_t *party =
            Cbw_LIST_ITEM(link, cbw_quota_party_t, link);
        if (now >= party->leased_until) {
            party->leased = 0;
        }
        if (now >= party->offer_until) {
            party->offer = 0;
        }
        if (now >= party->offer_until + Cbw_QUOTA_LEASE_COUNTED) {
            party->counted = 0;
        }
        if (now - party->heard_at >= WANT_VALID_FOR) {
            party->want = 0;
        }
    }
}

/* Sums over the parties of a workspace. */
typedef struct {
    uint64_t wanted;
    uint64_t leased;
    uint64_t offered;
    uint64_t counted;
} totals_t;

static totals_t
sum_parties(const cbw_quota_loans_t *loans)
{
    totals_t totals = {.wanted = 0};
    const cbw_link_t *link = loans->parties.next;

    for (; link != &loans->parties; link = link->next) {
        const cbw_quota_party_t *party =
            Cbw_LIST_ITEM(link, cbw_quota_party_t, link);
        totals.wanted += party->want;
        totals.leased += party->leased;
        totals.offered += party->offer;
        totals.counted += party->counted;
    }
    return totals;
}

/* Returns the level up to which wants are granted when `offered` is divided by
 * max-min fairness. */
static uint64_t
fair_level(const cbw_quota_loans_t *loans, uint64_t offered)
{
    uint64_t level;
    uint64_t next = 0;

    /* Each round divides what the others leave among those that want more than
     * the level, which rises until it is stable. */
    do {
        uint64_t used = 0;
        uint64_t above = 0;
        const cbw_link_t *link = loans->parties.next;
        level = next;
        for (; link != &loans->parties; link = link->next) {
            const cbw_quota_party_t *party =
                Cbw_LIST_ITEM(link, cbw_quota_party_t, link);
            used += party->want <= level ? party->want : 0;
            above += party->want > level;
        }
        if (above == 0) {
            return level;
        }
        next = used < offered ? (offered - used) / above : 0;
    } while (next > level);
    return level;
}

/* Sets what the claimant lends. An offer is valid from the granter's own
 * stamp, which is older than the claim even if the claim was delayed. */
static void
set_offer(const cbw_quota_granter_t *granter, cbw_quota_party_t *party,
          cbw_time_t now, uint32_t base, const cbw_quota_claim_t *claim)
{
    uint32_t lend = claim->lend < base ? claim->lend : base;
    cbw_time_t until = claim->stamp.at + Cbw_QUOTA_LOAN;

    if (claim->stamp.granter == granter->nonce && claim->stamp.at <= now &&
        now < until) {
        party->offer = lend;
        party->offer_until =
            until > party->offer_until ? until : party->offer_until;
    }
    else if (party->offer > lend) {
        party->offer = lend;
    }
    if (party->counted < party->offer) {
        party->counted = party->offer;
    }
}

/* Stops counting shares that the party no longer lends, except those on which
 * a lease may be based. */
static void
return_shares(const cbw_quota_loans_t *loans, cbw_quota_party_t *party)
{
    totals_t totals = sum_parties(loans);
    uint64_t unused =
        totals.counted > totals.leased ? totals.counted - totals.leased : 0;
    uint32_t surplus = party->counted - party->offer;

    party->counted -= surplus < unused ? surplus : (uint32_t)unused;
}

/* Sets the claimant's lease: its fair share of the offers, limited to what
 * earlier leases of others leave. */
static uint32_t
set_lease(const cbw_quota_loans_t *loans, cbw_quota_party_t *party,
          cbw_time_t now, bool ready)
{
    totals_t totals = sum_parties(loans);
    uint64_t others = totals.leased - party->leased;
    uint64_t available = totals.offered > others ? totals.offered - others : 0;
    uint64_t fair = fair_level(loans, totals.offered);
    uint64_t grant = party->want < fair ? party->want : fair;

    if (!ready) {
        return 0;
    }
    if (grant > available) {
        grant = available;
    }
    /* An earlier lease is used until the answer arrives. */
    if (grant > party->leased) {
        party->leased = (uint32_t)grant;
    }
    party->leased_until = now + Cbw_QUOTA_LEASE_COUNTED;
    return (uint32_t)grant;
}

static bool
is_ready(const cbw_quota_granter_t *granter, cbw_time_t now)
{
    return now >= granter->exclusive_since + Cbw_QUOTA_LEASE_COUNTED;
}

bool
CbwQuotaGranter_OnClaim(cbw_quota_granter_t *granter, cbw_time_t now,
                        const char *database, uint32_t base, uint64_t term,
                        uint64_t number, const cbw_quota_claim_t *claim,
                        cbw_quota_grant_t *grant)
{
    bool ready = is_ready(granter, now);
    cbw_quota_loans_t *loans;
    cbw_quota_party_t *party;

    if (granter->exclusive_since == 0 || term == 0) {
        return false;
    }
    loans = get_loans(granter, claim->workspace);
    party = get_claimant(loans, database, term, number);
    if (party == NULL) {
        return false;
    }
    party->heard_at = now;
    expire_parties(loans, now);
    party->want =
        claim->want < Cbw_QUOTA_WHOLE ? claim->want : Cbw_QUOTA_WHOLE;
    /* Answers to earlier claims were applied before this one was made, or are
     * dropped. */
    if (party->leased > claim->held) {
        party->leased = claim->held;
    }
    set_offer(granter, party, now, base, claim);
    memset(grant, 0, sizeof(*grant));
    memcpy(grant->workspace, claim->workspace, sizeof(grant->workspace));
    grant->grant = set_lease(loans, party, now, ready);
    return_shares(loans, party);
    grant->counted = party->counted;
    grant->confirmed = ready;
    grant->stamp = (cbw_quota_stamp_t){granter->nonce, now};
    return true;
}

/* Requests to lend. */

static bool
is_lend_request_due(const cbw_quota_party_t *party, cbw_time_t now,
                    const totals_t *totals)
{
    bool renews;

    if (totals->wanted == 0) {
        return false;
    }
    if (party == NULL) {
        return totals->offered < totals->wanted;
    }
    renews = party->offer > 0;
    if (party->want > 0 ||
        (party->asked_at != 0 &&
         now - party->asked_at < Cbw_QUOTA_LEND_REQUEST_INTERVAL) ||
        party->offer_until - now >
            Cbw_QUOTA_LOAN - Cbw_QUOTA_LEND_REQUEST_INTERVAL) {
        return false;
    }
    return renews || totals->offered < totals->wanted;
}

size_t
CbwQuotaGranter_MakeLendRequests(cbw_quota_granter_t *granter, cbw_time_t now,
                                 const char *database,
                                 char (*workspaces)[Cbw_NAME_MAX], size_t max)
{
    size_t count = 0;
    cbw_link_t *link;
    cbw_link_t *safe;

    if (granter->exclusive_since == 0 || !is_ready(granter, now)) {
        return 0;
    }
    for (size_t i = 0; i < Cbw_QUOTA_LISTS; i++) {
        Cbw_LIST_FOREACH (&granter->lists[i], link, safe) {
            cbw_quota_loans_t *loans =
                Cbw_LIST_ITEM(link, cbw_quota_loans_t, link);
            cbw_quota_party_t *party = find_party(loans, database);
            totals_t totals;
            if (count == max) {
                return count;
            }
            expire_parties(loans, now);
            totals = sum_parties(loans);
            if (!is_lend_request_due(party, now, &totals)) {
                continue;
            }
            if (party == NULL) {
                party = new_party(loans, database);
            }
            party->asked_at = now;
            memcpy(workspaces[count++], loans->workspace, Cbw_NAME_MAX);
        }
    }
    return count;
}

static bool
is_party_needed(const cbw_quota_party_t *party, cbw_time_t now)
{
    return party->leased > 0 || party->counted > 0 ||
           (party->term != 0 && now - party->heard_at < PARTY_TIMEOUT) ||
           (party->asked_at != 0 && now - party->asked_at < PARTY_TIMEOUT);
}

void
CbwQuotaGranter_Tick(cbw_quota_granter_t *granter, cbw_time_t now)
{
    cbw_link_t *link;
    cbw_link_t *safe;
    cbw_link_t *inner;
    cbw_link_t *inner_safe;

    for (size_t i = 0; i < Cbw_QUOTA_LISTS; i++) {
        Cbw_LIST_FOREACH (&granter->lists[i], link, safe) {
            cbw_quota_loans_t *loans =
                Cbw_LIST_ITEM(link, cbw_quota_loans_t, link);
            expire_parties(loans, now);
            Cbw_LIST_FOREACH (&loans->parties, inner, inner_safe) {
                cbw_quota_party_t *party =
                    Cbw_LIST_ITEM(inner, cbw_quota_party_t, link);
                if (!is_party_needed(party, now)) {
                    CbwList_Remove(inner);
                    free(party);
                }
            }
            if (CbwList_IsEmpty(&loans->parties)) {
                free_loans(granter, loans);
            }
        }
    }
}
