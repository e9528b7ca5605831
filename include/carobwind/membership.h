/* Membership of the fleet of daemons, after the SWIM protocol: randomised
 * probes, indirect probes, suspicion, and updates with incarnation numbers
 * that are piggybacked on the probes.
 *
 * Does no I/O and reads no clock: messages are sent through a function table
 * and the time is an argument. Leaving endpoints are gossiped as records
 * beside the members, but are not members. */
#ifndef CAROBWIND_MEMBERSHIP_H
#define CAROBWIND_MEMBERSHIP_H

#include "carobwind/local_health.h"
#include "carobwind/random.h"
#include "carobwind/types.h"

typedef enum {
    CBW_MEMBER_ALIVE,
    CBW_MEMBER_SUSPECT,
    /* Answers, but is given no new work: it is leaving the fleet, or has not
     * finished joining it. */
    CBW_MEMBER_LEAVING,
    CBW_MEMBER_DEAD,
} cbw_member_state_t;

/* Name of each cbw_member_state_t. */
extern const char *const CbwMembership_StateString[];

/* How long a cold start lasts. By then each member has been probed, and has
 * either announced its state or been declared dead. */
#define Cbw_MEMBERSHIP_COLD_START_DURATION (2 * Cbw_SEC)
/* The same in a large fleet, where updates take longer to reach all hosts. */
#define Cbw_MEMBERSHIP_COLD_START_DURATION_LARGE (5 * Cbw_SEC)

/* Maximum number of hosts that CbwMembership_PeerOrder returns. */
#define Cbw_PEER_ORDER_MAX 24

/* A fleet with more members than this counts as large. In a smaller one each
 * host probes all others. In a large one that would open a connection for
 * nearly every probe, so each host probes only those that follow it in the
 * order of the hashes of names: some of its data centre and some of all. Each
 * member is probed by the same number of hosts. */
#define Cbw_MEMBERSHIP_SMALL 150
#define Cbw_MEMBERSHIP_WATCHED_LOCAL 32
#define Cbw_MEMBERSHIP_WATCHED_ANY 16

/* Maximum number of buckets of members whose digests are compared. */
#define Cbw_MEMBERSHIP_BUCKETS_MAX 256

/* Maximum number of updates in one message. */
#define Cbw_MEMBER_UPDATES_MAX 12

/* State of a member, as hosts exchange it. */
typedef struct {
    char name[Cbw_NAME_MAX];
    char data_centre[Cbw_NAME_MAX];
    char address[Cbw_ADDRESS_MAX]; /* of the peer protocol, "ip:port" */
    cbw_member_state_t state;
    /* Orders the updates about a member. 0: known from a list only. */
    uint64_t incarnation;
} cbw_member_record_t;

/* A member as this host sees it. */
typedef struct {
    cbw_member_record_t record;
    uint32_t name_hash;
    cbw_time_t changed_at;    /* when the record last changed */
    int transmissions_left;   /* of the latest update about it */
    cbw_time_t probe_sent_at; /* 0: no probe is outstanding */
    cbw_time_t last_probe_at; /* 0: never probed */
    bool indirect_sent;       /* for the outstanding probe */
    bool watched;             /* this host probes it */
    bool sampled;             /* likewise, chosen among all data centres */
} cbw_member_t;

/* Functions that the membership calls. They must not call it in turn. */
typedef struct {
    /* Sends a probe to `target` or, unless `via` is NULL, asks the member
     * `via` to send it. An answer is passed to CbwMembership_OnAck. */
    void (*send_probe)(void *context, const cbw_member_record_t *target,
                       const cbw_member_record_t *via);
    /* The state of a record changed, or the record was added; `old_state` is
     * then CBW_MEMBER_DEAD. Not called for a host that is added from the
     * platform's list. */
    void (*on_change)(void *context, const cbw_member_record_t *member,
                      cbw_member_state_t old_state);
} cbw_membership_ops_t;

typedef struct {
    cbw_time_t probe_interval;
    cbw_time_t probe_timeout; /* until indirect probes are sent */
    /* Until a suspect counts as dead; extended in a large fleet, see
     * CbwMembership_SuspectLimit_. */
    cbw_time_t suspect_timeout;
    cbw_time_t forget_after; /* until a dead member is removed */
} cbw_membership_settings_t;

/* Owns its array of members. The first one is this host. */
typedef struct {
    const cbw_membership_ops_t *ops;
    void *context;
    cbw_membership_settings_t settings;
    cbw_random_t random;
    cbw_member_t *members;
    size_t count;
    size_t capacity;
    /* Version of the assignment of databases to owners: grows with each change
     * that may alter it. Unrelated to the epoch of a tenure. */
    uint64_t epoch;
    cbw_time_t cold_start_until; /* 0: there is no cold start, or it is over */
    size_t next_probe_index;
    cbw_time_t next_probe_at;
    /* Delay of this host, which widens the time limits. The caller reports
     * round trips; ticks are reported by CbwMembership_Tick. */
    cbw_local_health_t health;
    bool watch_stale; /* members were added or removed since `watched` was set
                       */
    /* See CbwMembership_ChooseListPeer. */
    cbw_random_t list_random;
    cbw_time_t next_list_at;
    cbw_time_t next_regular_list_at;
    cbw_time_t lists_until;    /* lists are fetched often until then */
    cbw_time_t list_budget_at; /* until then earlier lists use up the budget */
} cbw_membership_t;

extern const cbw_membership_settings_t CbwMembership_DefaultSettings;

/* Initialises the membership with this host as the only member. `incarnation`
 * must grow with each start of a host of this name; wall-clock milliseconds
 * do. Returns 0, or -1 when memory ran out. */
int CbwMembership_Init(cbw_membership_t *membership,
                       const cbw_membership_settings_t *settings,
                       const cbw_membership_ops_t *ops, void *context,
                       const char *name, const char *data_centre,
                       const char *address, uint64_t incarnation,
                       uint64_t seed);
void CbwMembership_Finish(cbw_membership_t *membership);

/* Applies an update that a peer sent, if it supersedes the known record. */
void CbwMembership_ApplyUpdate(cbw_membership_t *membership, cbw_time_t now,
                               const cbw_member_record_t *update);
/* Returns a member whose whole list of members is to be fetched now, or NULL.
 * Lists deliver what updates have missed. A message carries few updates: when
 * many hosts change their states at once, as when all start or a partition
 * heals, the fleet would not converge for many seconds by updates alone. */
const cbw_member_t *CbwMembership_ChooseListPeer(cbw_membership_t *membership,
                                                 cbw_time_t now);
/* A list of `count` records was received: the next one is delayed until it
 * fits the budget of bytes for lists. */
void CbwMembership_OnList(cbw_membership_t *membership, cbw_time_t now,
                          size_t count);
/* Returns the number of buckets by which this host asks for the records that
 * differ from its own. */
size_t CbwMembership_BucketCount(const cbw_membership_t *membership);
/* Writes the digests of `count` buckets, at most Cbw_MEMBERSHIP_BUCKETS_MAX.
 * Dead members count as unknown ones: hosts forget them at different times. */
void CbwMembership_BucketDigests(const cbw_membership_t *membership,
                                 uint32_t *digests, size_t count);
/* Returns the bucket of `count` in which the record is. */
size_t CbwMembership_BucketOf(const cbw_member_t *member, size_t count);
/* Applies a record of a member list that was fetched. */
void CbwMembership_ApplyListed(cbw_membership_t *membership, cbw_time_t now,
                               const cbw_member_record_t *update);
/* Applies an entry of the platform's host list. As the list lags, an unknown
 * host is added as dead until it answers a probe. A host that is leaving is
 * marked as such. */
void CbwMembership_ApplyListedHost(cbw_membership_t *membership,
                                   cbw_time_t now,
                                   const cbw_member_record_t *host);
/* Stores whether the platform's list shows the endpoint at `address` as
 * leaving, and gossips it. */
void CbwMembership_SetEndpointLeaving(cbw_membership_t *membership,
                                      cbw_time_t now, const char *address,
                                      bool leaving);
/* Returns whether the list shows the endpoint at `address` as leaving. */
bool CbwMembership_IsEndpointLeaving(const cbw_membership_t *membership,
                                     const char *address);
/* Returns whether the record is of an endpoint, not of a member. */
bool CbwMembership_IsEndpoint(const cbw_member_record_t *record);
/* The member `name` answered a probe, directly or through another member. */
void CbwMembership_OnAck(cbw_membership_t *membership, cbw_time_t now,
                         const char *name);
/* The member `name` answered a direct probe after `round_trip`. */
void CbwMembership_OnRoundTrip(cbw_membership_t *membership, cbw_time_t now,
                               const char *name, cbw_time_t round_trip);
/* Fills `updates` with at most `limit` updates to piggyback on a message to
 * `target` (NULL: to any member). Returns their number. */
size_t CbwMembership_Piggyback(cbw_membership_t *membership,
                               const char *target,
                               cbw_member_record_t *updates, size_t limit);
/* Marks this host as one that answers but is not usable yet, until
 * CbwMembership_FinishJoining. To be called before the first message. */
void CbwMembership_BeginJoining(cbw_membership_t *membership);
/* Announces that this host is usable. */
void CbwMembership_FinishJoining(cbw_membership_t *membership, cbw_time_t now);
/* Detects a cold start. To be called when the members are known and before
 * work is sent to any of them. A member is usable when work may be sent to it.
 *
 * When hardly any member is usable, the whole fleet is starting. For
 * Cbw_MEMBERSHIP_COLD_START_DURATION a member that is in state
 * CBW_MEMBER_LEAVING, or is listed and has neither answered nor missed its
 * first probe, then counts as usable too, so that all hosts choose the same
 * owners before they have heard from each other. */
void CbwMembership_DetectColdStart(cbw_membership_t *membership,
                                   cbw_time_t now);
/* Returns whether any other member is alive. */
bool CbwMembership_HasOtherAlive(const cbw_membership_t *membership);
/* Returns whether at least half of the members, this host included, are not
 * dead. In a large fleet, where it takes too long to detect that all others
 * are dead, at least a quarter of the members that this host probes in any
 * data centre must not be dead either. */
bool CbwMembership_IsHalfReachable(const cbw_membership_t *membership);
/* Announces that this host is leaving. */
void CbwMembership_Leave(cbw_membership_t *membership, cbw_time_t now);
/* Sends probes and handles timeouts that are due. To be called every 20 ms: a
 * longer interval counts as a delay of this host (local_health.h). */
void CbwMembership_Tick(cbw_membership_t *membership, cbw_time_t now);

/* Returns the time after which a probe of `member`, sent now, counts as
 * unanswered, its indirect probes included. */
cbw_time_t CbwMembership_ProbeLimit(const cbw_membership_t *membership,
                                    cbw_time_t now,
                                    const cbw_member_record_t *member);
/* Returns whether work may be sent to the member. */
bool CbwMembership_IsUsable(const cbw_membership_t *membership,
                            const cbw_member_t *member);
/* Returns whether the data centre has a usable member. */
bool CbwMembership_HasUsable(const cbw_membership_t *membership,
                             const char *data_centre);
/* Returns how many usable members precede this host in the rendezvous order of
 * `role`. Some roles are taken by the first few members only. */
int CbwMembership_RoleIndex(const cbw_membership_t *membership,
                            const char *role);
/* Fills `peers` with at most `limit` hosts of a data centre (NULL: of all),
 * first in the rendezvous order of `role` first, without this host and those
 * that are known to be dead. Returns their number, and in `rank` how many
 * hosts precede this one in that order. */
size_t CbwMembership_PeerOrder(const cbw_membership_t *membership,
                               const char *role, const char *data_centre,
                               const cbw_member_t **peers, size_t limit,
                               size_t *rank);
/* Returns the record called `name`, or NULL. */
const cbw_member_t *CbwMembership_Find(const cbw_membership_t *membership,
                                       const char *name);
/* Returns whether to exclude the member `name`. */
typedef bool (*cbw_member_filter_t)(void *context, const char *name);
/* Returns the owner of `database`: the first usable member in rendezvous
 * order, among those of `data_centre` (where the primary is) if there are any,
 * else among all. Returns NULL when there is none. Members for which
 * `is_excluded` returns true are skipped; it may be NULL. */
const cbw_member_t *CbwMembership_FindOwner(const cbw_membership_t *membership,
                                            const char *database,
                                            const char *data_centre,
                                            cbw_member_filter_t is_excluded,
                                            void *context);

#endif
