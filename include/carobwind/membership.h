/* Membership of the daemons: random probes, indirect probes, suspicion and
 * piggybacked changes with incarnation numbers (SWIM).  Pure: messages go out
 * through a table of functions, `now` is an argument. */
#ifndef CAROBWIND_MEMBERSHIP_H
#define CAROBWIND_MEMBERSHIP_H

#include "carobwind/random.h"
#include "carobwind/types.h"

typedef enum {
    CBW_MEMBER_ALIVE,
    CBW_MEMBER_SUSPECT,
    CBW_MEMBER_LEAVING, /* or joining: answers, but receives no new work */
    CBW_MEMBER_DEAD,
} cbw_member_state_t;

/* Names of the members of cbw_member_state_t, in their order. */
extern const char *const CbwMembership_StateString[];

/* A cold start counts as over after this time; a member has then been probed
 * and has told, or is dead. */
#define Cbw_MEMBERSHIP_COLD_START_DURATION (2 * Cbw_SEC)

/* Most changes that one probe carries. */
#define Cbw_MEMBER_UPDATES_MAX 12

typedef struct {
    char name[Cbw_NAME_MAX];
    char data_centre[Cbw_NAME_MAX];
    char address[Cbw_ADDRESS_MAX]; /* of the peer protocol, "ip:port" */
    cbw_member_state_t state;
    uint64_t incarnation;
} cbw_member_record_t;

typedef struct {
    cbw_member_record_t record;
    cbw_time_t changed_at;
    int transmissions_left;   /* of the latest change */
    cbw_time_t probe_sent_at; /* 0 when no probe is outstanding */
    cbw_time_t last_probe_at; /* of the last probe */
    bool indirect_sent;
} cbw_member_t;

/* The functions must not call the membership. */
typedef struct {
    /* Sends a probe; with `via`, asks that member to probe `target`.
     * The answer comes back as CbwMembership_OnAck. */
    void (*send_probe)(void *context, const cbw_member_record_t *target,
                       const cbw_member_record_t *via);
    /* A member's state changed, or it was added. */
    void (*on_change)(void *context, const cbw_member_record_t *member,
                      cbw_member_state_t before);
} cbw_membership_ops_t;

typedef struct {
    cbw_time_t probe_interval;
    cbw_time_t probe_timeout;   /* then indirect probes */
    cbw_time_t suspect_timeout; /* then dead */
    cbw_time_t forget_after;    /* the dead are removed */
} cbw_membership_settings_t;

/* Owns its array of members. The first member is the host itself. */
typedef struct {
    const cbw_membership_ops_t *ops;
    void *context;
    cbw_membership_settings_t settings;
    cbw_random_t random;
    cbw_member_t *members;
    size_t count;
    size_t capacity;
    uint64_t epoch; /* grows with each change that may move an owner */
    cbw_time_t cold_start_until; /* of a cold start; 0: it is none, or over */
    size_t next_probe_index;
    cbw_time_t next_probe_at;
} cbw_membership_t;

extern const cbw_membership_settings_t CbwMembership_DefaultSettings;

/* Inits with the host itself as only member. `incarnation` must grow with each
 * start of the same name; wall-clock milliseconds do. Returns 0, -1: no
 * memory. */
int CbwMembership_Init(cbw_membership_t *membership,
                       const cbw_membership_settings_t *settings,
                       const cbw_membership_ops_t *ops, void *context,
                       const char *name, const char *data_centre,
                       const char *address, uint64_t incarnation,
                       uint64_t seed);
void CbwMembership_Finish(cbw_membership_t *membership);

/* Takes in a change heard from a peer or the host list. */
void CbwMembership_ApplyUpdate(cbw_membership_t *membership, cbw_time_t now,
                               const cbw_member_record_t *change);
/* A host of the platform's list, which lags: one that is not known is added
 * as dead until it answers a probe; one that leaves is marked. */
void CbwMembership_ApplyListedHost(cbw_membership_t *membership,
                                   cbw_time_t now,
                                   const cbw_member_record_t *change);
/* The platform's list says whether the endpoint at `address` is leaving. Such
 * endpoints are spread beside the members, but are none. */
void CbwMembership_SetEndpointLeaving(cbw_membership_t *membership,
                                      cbw_time_t now, const char *address,
                                      bool leaving);
/* Whether that list says that the endpoint at `address` leaves. */
bool CbwMembership_IsEndpointLeaving(const cbw_membership_t *membership,
                                     const char *address);
/* Whether the record is of an endpoint. */
bool CbwMembership_IsEndpoint(const cbw_member_record_t *member);
/* `name` answered a probe, directly or through another. */
void CbwMembership_OnAck(cbw_membership_t *membership, cbw_time_t now,
                         const char *name);
/* Fills `changes` with what to piggyback on a message to `target` (NULL: to
 * anybody); returns their number. */
size_t CbwMembership_Piggyback(cbw_membership_t *membership,
                               const char *target,
                               cbw_member_record_t *changes, size_t limit);
/* Declares, before the first message, that this host answers but takes no work
 * yet; CbwMembership_FinishJoining ends that. */
void CbwMembership_BeginJoining(cbw_membership_t *membership);
void CbwMembership_FinishJoining(cbw_membership_t *membership, cbw_time_t now);
/* Call it when the members are known and before work is sent to any: where
 * hardly any of them takes work the whole fleet starts, and each member that
 * may come counts as one that takes work for
 * Cbw_MEMBERSHIP_COLD_START_DURATION. So all hosts choose the same owners
 * before they have heard of each other. */
void CbwMembership_DetectColdStart(cbw_membership_t *membership,
                                   cbw_time_t now);
/* Whether any other member takes work. */
bool CbwMembership_HasOtherAlive(const cbw_membership_t *membership);
/* Whether at least half of the members answer, this host included. */
bool CbwMembership_IsHalfReachable(const cbw_membership_t *membership);
/* Declares that this host leaves. */
void CbwMembership_Leave(cbw_membership_t *membership, cbw_time_t now);
/* Runs what is due. Call it every few tens of milliseconds. */
void CbwMembership_Tick(cbw_membership_t *membership, cbw_time_t now);

/* Whether the data centre has a member that work may go to. */
bool CbwMembership_HasUsable(const cbw_membership_t *membership,
                             const char *data_centre);
/* How many usable members come before this host in rendezvous order for
 * `role`: a few roles are kept by the first members only. */
int CbwMembership_RoleIndex(const cbw_membership_t *membership,
                            const char *role);
const cbw_member_t *CbwMembership_Find(const cbw_membership_t *membership,
                                       const char *name);
/* The owner of `database`: the first usable member in rendezvous order among
 * those of `data_centre` (of the primary), then among all others; NULL when
 * there is none. `skip` (may be NULL) says which members to pass over. */
typedef bool (*cbw_member_filter_t)(void *context, const char *name);
const cbw_member_t *CbwMembership_FindOwner(const cbw_membership_t *membership,
                                            const char *database,
                                            const char *data_centre,
                                            cbw_member_filter_t skip,
                                            void *context);

#endif
