#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "carobwind/membership.h"
#include "private/membership.h"

/* In a large fleet the time limit of a suspect grows by this percentage for
 * each member over Cbw_MEMBERSHIP_SMALL, up to the maximum: the refutation of
 * a host that has paused for a second must reach all others first. */
#define SUSPECT_PERCENT_PER_MEMBER 2
#define SUSPECT_PERCENT_MAX 400
/* A probe takes two round trips if it has to open a connection; half a round
 * trip is added as a margin. */
#define INDIRECT_ROUND_TRIPS_PERCENT 250
/* CbwMembership_ProbeLimit allows one probe timeout less than this for the
 * indirect probes. */
#define LIMIT_FACTOR 3
/* Budget for lists in bytes per second, and size of a record in bytes. */
#define LIST_BYTES_PER_SECOND 80000
#define RECORD_BYTES 70
/* Members per bucket, until the number of buckets is at its maximum. */
#define BUCKET_MEMBERS 2
#define BUCKETS_MIN 16

bool
CbwMembership_IsLarge_(const cbw_membership_t *membership)
{
    return membership->count > Cbw_MEMBERSHIP_SMALL;
}

/* A member by its distance from this host in the order of hashes. */
typedef struct {
    uint32_t distance;
    size_t index;
} candidate_t;

static int
compare_candidates(const void *a, const void *b)
{
    const candidate_t *left = a;
    const candidate_t *right = b;

    if (left->distance != right->distance) {
        return left->distance < right->distance ? -1 : 1;
    }
    return left->index < right->index ? -1 : left->index > right->index;
}

static void
choose_watched(cbw_membership_t *membership, candidate_t *candidates)
{
    const char *centre = membership->members[0].record.data_centre;
    size_t local = 0;
    size_t any = 0;
    size_t count = 0;

    for (size_t i = 1; i < membership->count; i++) {
        cbw_member_t *member = &membership->members[i];
        member->watched = false;
        member->sampled = false;
        if (!CbwMembership_IsEndpoint(&member->record)) {
            candidates[count++] = (candidate_t){
                member->name_hash - membership->members[0].name_hash, i};
        }
    }
    qsort(candidates, count, sizeof(*candidates), compare_candidates);
    for (size_t i = 0; i < count; i++) {
        cbw_member_t *member = &membership->members[candidates[i].index];
        if (any < Cbw_MEMBERSHIP_WATCHED_ANY) {
            any++;
            member->watched = true;
            member->sampled = true;
        }
        if (local < Cbw_MEMBERSHIP_WATCHED_LOCAL &&
            strcmp(member->record.data_centre, centre) == 0) {
            local++;
            member->watched = true;
        }
    }
}

void
CbwMembership_UpdateWatch_(cbw_membership_t *membership)
{
    candidate_t *candidates;

    if (!membership->watch_stale) {
        return;
    }
    membership->watch_stale = false;
    candidates = CbwMembership_IsLarge_(membership)
                     ? calloc(membership->count, sizeof(*candidates))
                     : NULL;
    if (candidates == NULL) {
        /* A small fleet, or out of memory: all members are probed. */
        for (size_t i = 1; i < membership->count; i++) {
            membership->members[i].watched = true;
            membership->members[i].sampled = false;
        }
        return;
    }
    choose_watched(membership, candidates);
    free(candidates);
}

bool
CbwMembership_IsSampleLost_(const cbw_membership_t *membership)
{
    size_t sampled = 0;
    size_t answering = 0;

    if (!CbwMembership_IsLarge_(membership)) {
        return false;
    }
    for (size_t i = 1; i < membership->count; i++) {
        const cbw_member_t *member = &membership->members[i];
        sampled += member->sampled;
        answering +=
            member->sampled && member->record.state != CBW_MEMBER_DEAD;
    }
    return 4 * answering < sampled;
}

/* Time limits. */

cbw_time_t
CbwMembership_IndirectAfter_(const cbw_membership_t *membership,
                             cbw_time_t now, const cbw_member_record_t *member)
{
    cbw_time_t limit = membership->settings.probe_timeout;
    cbw_time_t path =
        CbwLocalHealth_RoundTrip(&membership->health, member->data_centre) *
        INDIRECT_ROUND_TRIPS_PERCENT / 100;

    /* At most twice the limit: a path that was slow once must not delay the
     * detection of dead hosts much. */
    if (path > limit) {
        limit = path < 2 * limit ? path : 2 * limit;
    }
    return CbwLocalHealth_Widen(&membership->health, now, limit);
}

cbw_time_t
CbwMembership_ProbeLimit(const cbw_membership_t *membership, cbw_time_t now,
                         const cbw_member_record_t *member)
{
    return CbwMembership_IndirectAfter_(membership, now, member) +
           (LIMIT_FACTOR - 1) * membership->settings.probe_timeout;
}

cbw_time_t
CbwMembership_SuspectLimit_(const cbw_membership_t *membership, cbw_time_t now)
{
    cbw_time_t percent = 100;

    if (CbwMembership_IsLarge_(membership)) {
        percent += SUSPECT_PERCENT_PER_MEMBER *
                   (cbw_time_t)(membership->count - Cbw_MEMBERSHIP_SMALL);
        percent =
            percent < SUSPECT_PERCENT_MAX ? percent : SUSPECT_PERCENT_MAX;
    }
    return CbwLocalHealth_Widen(&membership->health, now,
                                membership->settings.suspect_timeout *
                                    percent / 100);
}

void
CbwMembership_OnRoundTrip(cbw_membership_t *membership, cbw_time_t now,
                          const char *name, cbw_time_t round_trip)
{
    const cbw_member_t *member = CbwMembership_Find(membership, name);

    if (member != NULL) {
        CbwLocalHealth_OnAnswer(&membership->health, now,
                                member->record.data_centre, round_trip);
    }
}

/* Lists. */

void
CbwMembership_OnList(cbw_membership_t *membership, cbw_time_t now,
                     size_t count)
{
    cbw_time_t cost =
        (cbw_time_t)count * RECORD_BYTES * Cbw_SEC / LIST_BYTES_PER_SECOND;

    if (membership->list_budget_at < now) {
        membership->list_budget_at = now;
    }
    membership->list_budget_at += cost;
}

size_t
CbwMembership_BucketCount(const cbw_membership_t *membership)
{
    size_t count = BUCKETS_MIN;

    while (count < Cbw_MEMBERSHIP_BUCKETS_MAX &&
           count * BUCKET_MEMBERS < membership->count) {
        count *= 2;
    }
    return count;
}

size_t
CbwMembership_BucketOf(const cbw_member_t *member, size_t count)
{
    return member->name_hash % count;
}

void
CbwMembership_BucketDigests(const cbw_membership_t *membership,
                            uint32_t *digests, size_t count)
{
    memset(digests, 0, count * sizeof(*digests));
    for (size_t i = 0; count > 0 && i < membership->count; i++) {
        const cbw_member_t *member = &membership->members[i];
        uint64_t text[3] = {member->name_hash, member->record.state,
                            member->record.incarnation};
        if (member->record.state != CBW_MEMBER_DEAD) {
            digests[CbwMembership_BucketOf(member, count)] +=
                XXH32(text, sizeof(text), 0);
        }
    }
}
