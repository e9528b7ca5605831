/* The member task: runs the membership protocol over the peer task. A few
 * hosts also read the platform's host list, on behalf of the fleet. */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "carobwind/log.h"
#include "messages.h"
#include "share/net.h"
#include "share/tick.h"

#define TICK_SECONDS 0.02
/* Number of members that read the host list on behalf of the fleet. */
#define HOST_LIST_READERS 3
#define HOST_LIST_INTERVAL (1 * Cbw_SEC)
/* The same for a list that the hosts write themselves: it is needed only by
 * hosts that know no other, and to remove the records of dead ones. */
#define OWN_LIST_INTERVAL (6 * Cbw_SEC)
/* Known members (from the host list) that one join round asks, besides the
 * seed peers. */
#define JOIN_KNOWN_MEMBERS 2
/* How long a dead host's record stays in the host list. */
#define DEAD_RECORD_RETENTION (30 * Cbw_SEC)
#define HOST_RECORD_KEY_FORMAT "hosts/%s"
/* Time between join rounds, and the timeout of the calls that they make. */
#define JOIN_INTERVAL (250 * Cbw_MSEC)
#define JOIN_TIMEOUT (500 * Cbw_MSEC)
/* Time from the start until the first view may be published, with and without
 * a member list from a peer. A host that does not know the others would
 * consider itself the owner of all databases. */
#define SETTLE_TIME_JOINED (200 * Cbw_MSEC)
#define SETTLE_TIME_ALONE (1500 * Cbw_MSEC)
#define STATUS_TEXT_MAX 262144
/* Shortest time between two views of a large fleet. A view is a copy of all
 * members from which the tasks recompute the owners of all databases: one for
 * each change would be costly while many hosts start. */
#define LARGE_VIEW_INTERVAL (100 * Cbw_MSEC)
/* Members that are probed at once after a change of this host's state, and
 * after one of its configuration, in its data centre and in any. */
#define STATE_ANNOUNCEMENTS 5
#define LOCAL_ANNOUNCEMENTS 4
#define REMOTE_ANNOUNCEMENTS 2

typedef struct {
    daemon_t *daemon;
    cbw_membership_t membership;
    uint64_t published_epoch;
    cbw_time_t published_at;
    /* config_t.revision of the configuration in force, named like the field of
     * the probes that carries it. It is not the configuration version of the
     * inventory. */
    int64_t config_version;
    uint64_t config_digest;
    cbw_time_t next_list_at;
    bool list_pending;
    cbw_time_t next_join_at;
    bool joined;             /* a peer has sent its member list */
    bool service_entry_done; /* has entered service, or leaves and must not */
    bool leaving;
    bool registered; /* the host list holds this host's record */
    cbw_time_t started_at;
    ev_timer timer;
} member_task_t;

static member_task_t self;

static void
encode_member(peer_member *to, const cbw_member_record_t *from)
{
    to->name = strdup(from->name);
    to->data_centre = strdup(from->data_centre);
    to->address = strdup(from->address);
    to->state = from->state;
    to->incarnation = from->incarnation;
}

/* Returns false when the record is invalid. */
static bool
decode_member(cbw_member_record_t *to, const peer_member *from)
{
    memset(to, 0, sizeof(*to));
    if (from->state > CBW_MEMBER_DEAD || from->name[0] == '\0') {
        return false;
    }
    snprintf(to->name, sizeof(to->name), "%s", from->name);
    snprintf(to->data_centre, sizeof(to->data_centre), "%s",
             from->data_centre);
    snprintf(to->address, sizeof(to->address), "%s", from->address);
    to->state = (cbw_member_state_t)from->state;
    to->incarnation = from->incarnation;
    return true;
}

static void
apply_members(const peer_member *members, u_int count)
{
    for (u_int i = 0; i < count; i++) {
        cbw_member_record_t update;
        if (decode_member(&update, &members[i])) {
            CbwMembership_ApplyUpdate(&self.membership, CbwNet_Now(), &update);
        }
    }
}

/* Encodes the updates to piggyback on a message to `target`: this host's own
 * record first, then what the membership has to disseminate. */
static void
encode_updates(const char *target, peer_member **members, u_int *count)
{
    cbw_member_record_t updates[Cbw_MEMBER_UPDATES_MAX];
    size_t found = CbwMembership_Piggyback(&self.membership, target, updates,
                                           Cbw_MEMBER_UPDATES_MAX);

    *members = calloc(found + 1, sizeof(**members));
    if (*members == NULL) {
        abort();
    }
    encode_member(&(*members)[0], &self.membership.members[0].record);
    for (size_t i = 0; i < found; i++) {
        encode_member(&(*members)[i + 1], &updates[i]);
    }
    *count = (u_int)found + 1;
}

/* Tells the config task about a peer's configuration when its revision is
 * higher than this host's, or the same with another digest. */
static void
report_peer_version(const char *address, const char *data_centre,
                    int64_t peer_revision, uint64_t digest)
{
    bool differs =
        peer_revision == self.config_version && digest != self.config_digest;
    peer_version_message_t *message;

    if (peer_revision <= self.config_version && !differs) {
        return;
    }
    message = calloc(1, sizeof(*message));
    if (message == NULL) {
        return;
    }
    CbwList_Init(&message->message.link);
    snprintf(message->address, sizeof(message->address), "%s", address);
    message->peer_revision = peer_revision;
    message->digest = digest;
    message->local =
        strcmp(data_centre, self.daemon->settings.data_centre) == 0;
    if (digest == self.config_digest) {
        self.config_version = peer_revision; /* as the config task does */
    }
    Task_Post(TASK_MEMBER, TASK_CONFIG, MESSAGE_PEER_VERSION,
              &message->message);
}

/* Outgoing probes. */

/* `inbound` is the call of the peer that asked for an indirect probe; NULL:
 * the probe is this host's own. The timeout is the time after which the
 * membership suspects a member that has not answered; it includes the indirect
 * probes, which are sent after one `probe_timeout`. */
static outbound_t *
new_probe(const char *address, const char *name, inbound_t *inbound)
{
    outbound_t *outbound = Outbound_New(PEER_PROBE, address);
    peer_probe_args *args = &outbound->args.probe;

    snprintf(outbound->name, sizeof(outbound->name), "%s", name);
    args->target = strdup("");
    args->target_address = strdup("");
    args->config_version = self.config_version;
    args->config_digest = self.config_digest;
    encode_updates(name, &args->changes.changes_val,
                   &args->changes.changes_len);
    outbound->timeout = 3 * self.membership.settings.probe_timeout;
    outbound->reply_to = TASK_MEMBER;
    outbound->context = inbound;
    return outbound;
}

static void
op_probe(void *context, const cbw_member_record_t *target,
         const cbw_member_record_t *via)
{
    outbound_t *outbound = new_probe(
        via != NULL ? via->address : target->address, target->name, NULL);

    (void)context;
    outbound->timeout =
        CbwMembership_ProbeLimit(&self.membership, CbwNet_Now(), target);
    CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_PROBES, 1);
    if (via != NULL) {
        free(outbound->args.probe.target);
        free(outbound->args.probe.target_address);
        outbound->args.probe.target = strdup(target->name);
        outbound->args.probe.target_address = strdup(target->address);
    }
    Task_Post(TASK_MEMBER, TASK_PEER, MESSAGE_OUTBOUND, &outbound->message);
}

static void
op_changed(void *context, const cbw_member_record_t *member,
           cbw_member_state_t before)
{
    (void)context;
    CbwLog_Write(CBW_LOG_INFO, "member", "changed",
                 "host=%s from=%s to=%s incarnation=%" PRIu64, member->name,
                 CbwMembership_StateString[before],
                 CbwMembership_StateString[member->state],
                 member->incarnation);
}

static const cbw_membership_ops_t membership_ops = {
    .send_probe = op_probe,
    .on_change = op_changed,
};

static void
on_probe_done(outbound_t *outbound)
{
    inbound_t *inbound = outbound->context;
    bool reached =
        outbound->answered && (outbound->result.probe.reached ||
                               outbound->args.probe.target[0] == '\0');

    if (outbound->answered) {
        const peer_probe_result *result = &outbound->result.probe;
        apply_members(result->changes.changes_val,
                      result->changes.changes_len);
        if (result->changes.changes_len > 0) {
            report_peer_version(outbound->address,
                                result->changes.changes_val[0].data_centre,
                                result->config_version, result->config_digest);
        }
    }
    if (reached && inbound == NULL && outbound->args.probe.target[0] == '\0') {
        cbw_time_t sent_at = outbound->deadline - outbound->timeout;
        CbwMembership_OnRoundTrip(&self.membership, CbwNet_Now(),
                                  outbound->name, CbwNet_Now() - sent_at);
    }
    if (reached) {
        CbwMembership_OnAck(&self.membership, CbwNet_Now(), outbound->name);
    }
    if (inbound != NULL) {
        inbound->result.probe.reached = reached;
        Task_Post(TASK_MEMBER, TASK_PEER, MESSAGE_INBOUND_DONE,
                  &inbound->message);
    }
    Outbound_Free(outbound);
}

/* Membership views for the other tasks. */

static view_t *
copy_view(void)
{
    view_t *view = calloc(1, sizeof(*view));
    size_t size = self.membership.count * sizeof(cbw_member_t);

    if (view == NULL) {
        abort();
    }
    view->references = 1;
    view->membership = self.membership;
    view->membership.members = malloc(size);
    if (view->membership.members == NULL) {
        abort();
    }
    memcpy(view->membership.members, self.membership.members, size);
    view->membership.capacity = self.membership.count;
    return view;
}

/* Tells the registry task which members are known before the first view is
 * published, so that it can fetch the records from a peer. */
static void
announce_peers(void)
{
    view_message_t *message;

    if (!self.daemon->prepares_before_serving || self.daemon->view_published) {
        return;
    }
    message = calloc(1, sizeof(*message));
    if (message == NULL) {
        abort();
    }
    CbwList_Init(&message->message.link);
    message->view = copy_view();
    Task_Post(TASK_MEMBER, TASK_CONFIG, MESSAGE_PEERS_KNOWN,
              &message->message);
}

/* Joining: fetches a peer's whole member list, since each probe carries only a
 * few updates. */

/* Fetches the whole list. */
static void
request_members(const char *address)
{
    outbound_t *outbound = Outbound_New(PEER_MEMBERS, address);

    outbound->timeout = JOIN_TIMEOUT;
    outbound->reply_to = TASK_MEMBER;
    Task_Post(TASK_MEMBER, TASK_PEER, MESSAGE_OUTBOUND, &outbound->message);
}

/* Fetches the records that differ from this host's. */
static void
request_differing_members(const char *address)
{
    outbound_t *outbound = Outbound_New(PEER_MEMBERS_DIFF, address);
    peer_members_diff_args *args = &outbound->args.members_diff;
    size_t count = CbwMembership_BucketCount(&self.membership);

    args->digests.digests_val = calloc(count, sizeof(u_int));
    if (args->digests.digests_val == NULL) {
        abort();
    }
    args->digests.digests_len = (u_int)count;
    CbwMembership_BucketDigests(&self.membership, args->digests.digests_val,
                                count);
    outbound->timeout = JOIN_TIMEOUT;
    outbound->reply_to = TASK_MEMBER;
    Task_Post(TASK_MEMBER, TASK_PEER, MESSAGE_OUTBOUND, &outbound->message);
}

static void
request_join(cbw_time_t now)
{
    const char *list = self.daemon->settings.join_addresses;

    if (self.joined || now < self.next_join_at) {
        return;
    }
    self.next_join_at = now + JOIN_INTERVAL;
    while (*list != '\0') {
        size_t length = strcspn(list, ",");
        char address[Cbw_ADDRESS_MAX];
        if (length > 0 && length < sizeof(address)) {
            memcpy(address, list, length);
            address[length] = '\0';
            request_members(address);
        }
        list += length + (list[length] == ',');
    }
    for (size_t i = 1; i < self.membership.count && i <= JOIN_KNOWN_MEMBERS;
         i++) {
        size_t index = 1 + (size_t)CbwRandom_Below(&self.membership.random,
                                                   self.membership.count - 1);
        request_members(self.membership.members[index].record.address);
    }
}

static void
on_members_done(outbound_t *outbound)
{
    if (outbound->answered) {
        const peer_members_result *result = &outbound->result.members;
        self.joined |= outbound->procedure == PEER_MEMBERS;
        CbwMembership_OnList(&self.membership, CbwNet_Now(),
                             result->members.members_len);
        for (u_int i = 0; i < result->members.members_len; i++) {
            cbw_member_record_t update;
            if (decode_member(&update, &result->members.members_val[i])) {
                CbwMembership_ApplyListed(&self.membership, CbwNet_Now(),
                                          &update);
            }
        }
        announce_peers();
    }
    else if (outbound->procedure == PEER_MEMBERS_DIFF &&
             CbwNet_Now() < outbound->deadline) {
        /* Refused: the peer's version does not support this call. A peer that
         * lets it time out is slow, and is not asked for more. */
        request_members(outbound->address);
    }
    Outbound_Free(outbound);
}

/* The platform's host list. */

static void
request_host_list(cbw_time_t now)
{
    store_call_t *call;

    if (self.list_pending || now < self.next_list_at) {
        return;
    }
    self.next_list_at = now + HOST_LIST_INTERVAL;
    /* A host that is not in the list, or knows no other member, always reads
     * it itself. */
    if (self.registered && self.membership.count > 1) {
        if (CbwMembership_RoleIndex(&self.membership, "host-list") >=
            HOST_LIST_READERS) {
            return;
        }
        if (self.daemon->prepares_before_serving) {
            self.next_list_at = now + OWN_LIST_INTERVAL;
        }
    }
    self.list_pending = true;
    call = StoreCall_New(STORE_HOSTS, "");
    call->reply_to = TASK_MEMBER;
    Task_Post(TASK_MEMBER, TASK_STORE, MESSAGE_STORE, &call->message);
}

/* Applies one entry of the host list. Entries whose names begin with
 * "endpoint/" are database servers, which are not members of the fleet: only
 * whether they are leaving is used. */
static void
apply_listed_host(const char *name, const char *data_centre,
                  const char *address, const char *state)
{
    cbw_member_record_t record = {.state = CBW_MEMBER_ALIVE};
    bool leaving = strcmp(state, "leaving") == 0;

    if (strncmp(name, "endpoint/", 9) == 0) {
        CbwMembership_SetEndpointLeaving(&self.membership, CbwNet_Now(),
                                         address, leaving);
        return;
    }
    if (strcmp(name, self.daemon->settings.name) == 0 && !leaving) {
        return;
    }
    if (leaving) {
        record.state = CBW_MEMBER_LEAVING;
    }
    snprintf(record.name, sizeof(record.name), "%s", name);
    snprintf(record.data_centre, sizeof(record.data_centre), "%s",
             data_centre);
    snprintf(record.address, sizeof(record.address), "%s", address);
    CbwMembership_ApplyListedHost(&self.membership, CbwNet_Now(), &record);
}

/* Writes this host's record with `state`, or deletes it with NULL. The records
 * survive a power loss of the whole fleet, so that hosts then find each other
 * without the seed peers. Called only if `prepares_before_serving` is set. */
static void
write_host_record(const char *state)
{
    const settings_t *settings = &self.daemon->settings;
    char key[Cbw_NAME_MAX + 16];
    store_call_t *call;

    snprintf(key, sizeof(key), HOST_RECORD_KEY_FORMAT, settings->name);
    call = StoreCall_New(state != NULL ? STORE_SWAP : STORE_DELETE, key);
    call->unconditional = true;
    call->reply_to = TASK_MEMBER;
    if (state != NULL &&
        asprintf(&call->value, "%s %s %s %s", settings->name,
                 settings->data_centre, settings->peers_address, state) < 0) {
        abort();
    }
    Task_Post(TASK_MEMBER, TASK_STORE, MESSAGE_STORE, &call->message);
}

/* Deletes the record of a host that has been dead for DEAD_RECORD_RETENTION.
 */
static void
remove_dead_host_record(const char *name, cbw_time_t now)
{
    const cbw_member_t *member = CbwMembership_Find(&self.membership, name);
    char key[Cbw_NAME_MAX + 16];
    store_call_t *call;

    if (!self.daemon->prepares_before_serving || member == NULL ||
        member->record.state != CBW_MEMBER_DEAD ||
        now - member->changed_at < DEAD_RECORD_RETENTION ||
        CbwMembership_RoleIndex(&self.membership, "host-list") != 0) {
        return;
    }
    snprintf(key, sizeof(key), HOST_RECORD_KEY_FORMAT, name);
    call = StoreCall_New(STORE_DELETE, key);
    call->reply_to = TASK_MEMBER;
    Task_Post(TASK_MEMBER, TASK_STORE, MESSAGE_STORE, &call->message);
}

/* Writes this host's record unless the list already holds it. After a restart
 * the list still does, so a fleet that starts again as a whole does not write
 * one record per host. */
static void
ensure_host_record(const store_call_t *call)
{
    const settings_t *settings = &self.daemon->settings;

    if (!self.daemon->prepares_before_serving || self.leaving) {
        return;
    }
    self.registered = false;
    for (int i = 0; i + 4 <= call->word_count; i += 4) {
        self.registered |=
            strcmp(call->words[i], settings->name) == 0 &&
            strcmp(call->words[i + 2], settings->peers_address) == 0;
    }
    if (!self.registered) {
        write_host_record("alive");
    }
}

static void
on_store_done(store_call_t *call)
{
    if (call->verb != STORE_HOSTS) {
        if (call->verb == STORE_SWAP) {
            /* After a failure, the next read of the list retries it. */
            self.registered = call->status == CBW_STORE_OK;
        }
        StoreCall_Free(call);
        return;
    }
    self.list_pending = false;
    if (call->status == CBW_STORE_OK) {
        ensure_host_record(call);
        for (int i = 0; i + 4 <= call->word_count; i += 4) {
            apply_listed_host(call->words[i], call->words[i + 1],
                              call->words[i + 2], call->words[i + 3]);
            remove_dead_host_record(call->words[i], CbwNet_Now());
        }
        announce_peers();
        if (!self.joined) {
            self.next_join_at = 0; /* asks the listed hosts at once */
            request_join(CbwNet_Now());
        }
    }
    StoreCall_Free(call);
}

/* Calls from peers. */

static void
answer_probe(inbound_t *inbound)
{
    const peer_probe_args *args = &inbound->args.probe;
    peer_probe_result *result = &inbound->result.probe;
    const char *sender = NULL;

    apply_members(args->changes.changes_val, args->changes.changes_len);
    if (args->changes.changes_len > 0) {
        sender = args->changes.changes_val[0].name;
        report_peer_version(args->changes.changes_val[0].address,
                            args->changes.changes_val[0].data_centre,
                            args->config_version, args->config_digest);
    }
    result->config_version = self.config_version;
    result->config_digest = self.config_digest;
    encode_updates(sender, &result->changes.changes_val,
                   &result->changes.changes_len);
    if (args->target[0] != '\0') {
        outbound_t *probe =
            new_probe(args->target_address, args->target, inbound);
        Task_Post(TASK_MEMBER, TASK_PEER, MESSAGE_OUTBOUND, &probe->message);
        return;
    }
    result->reached = TRUE;
    Task_Post(TASK_MEMBER, TASK_PEER, MESSAGE_INBOUND_DONE, &inbound->message);
}

static void
answer_members(inbound_t *inbound)
{
    peer_members_result *result = &inbound->result.members;
    const u_int *digests = NULL;
    uint32_t own[Cbw_MEMBERSHIP_BUCKETS_MAX];
    size_t buckets = 0;
    size_t count = self.membership.count;

    if (inbound->procedure == PEER_MEMBERS_DIFF) {
        digests = inbound->args.members_diff.digests.digests_val;
        buckets = inbound->args.members_diff.digests.digests_len;
        CbwMembership_BucketDigests(&self.membership, own, buckets);
    }
    if (count > PEER_MEMBERS_MAX) {
        count = PEER_MEMBERS_MAX;
    }
    result->members.members_val = calloc(count, sizeof(peer_member));
    if (result->members.members_val == NULL) {
        abort();
    }
    for (size_t i = 0; i < count; i++) {
        const cbw_member_t *member = &self.membership.members[i];
        size_t bucket =
            buckets > 0 ? CbwMembership_BucketOf(member, buckets) : 0;
        if (buckets == 0 || own[bucket] != digests[bucket]) {
            encode_member(
                &result->members.members_val[result->members.members_len++],
                &member->record);
        }
    }
    Task_Post(TASK_MEMBER, TASK_PEER, MESSAGE_INBOUND_DONE, &inbound->message);
}

static void
answer_status(inbound_t *inbound)
{
    static char text[STATUS_TEXT_MAX];
    size_t length = (size_t)snprintf(
        text, sizeof(text), "host\t%s\nconfiguration\t%" PRId64 "\n",
        self.daemon->settings.name, self.config_version);

    for (size_t i = 0; i < self.membership.count && length < sizeof(text);
         i++) {
        const cbw_member_record_t *member = &self.membership.members[i].record;
        length += (size_t)snprintf(text + length, sizeof(text) - length,
                                   "member.%s\t%s %s %s\n", member->name,
                                   CbwMembership_StateString[member->state],
                                   member->data_centre, member->address);
    }
    Inbound_SetText(inbound, true, text);
    Task_Post(TASK_MEMBER, TASK_PEER, MESSAGE_INBOUND_DONE, &inbound->message);
}

static void
answer_inbound(inbound_t *inbound)
{
    switch (inbound->procedure) {
    case PEER_PROBE:
        answer_probe(inbound);
        break;
    case PEER_MEMBERS:
    case PEER_MEMBERS_DIFF:
        answer_members(inbound);
        break;
    default:
        answer_status(inbound);
        break;
    }
}

static bool
is_settled(cbw_time_t now)
{
    cbw_time_t settle_time =
        self.joined ? SETTLE_TIME_JOINED : SETTLE_TIME_ALONE;

    return now - self.started_at >= settle_time;
}

/* Probes up to `limit` random members at once: the probes carry this host's
 * new state without waiting for the next probe interval. */
static void
probe_random_members(bool local, size_t limit)
{
    size_t sent = 0;

    for (size_t i = 1; i < self.membership.count && sent < limit; i++) {
        size_t index = 1 + (size_t)CbwRandom_Below(&self.membership.random,
                                                   self.membership.count - 1);
        const cbw_member_record_t *member =
            &self.membership.members[index].record;
        if (member->state <= CBW_MEMBER_SUSPECT &&
            !CbwMembership_IsEndpoint(member) &&
            (!local || strcmp(member->data_centre,
                              self.daemon->settings.data_centre) == 0)) {
            op_probe(NULL, member, NULL);
            sent++;
        }
    }
}

/* Announces that this host accepts work. A host that joins a running fleet
 * does so only when it is `prepared` to own its databases, which their current
 * owners serve until then. */
static void
enter_service(bool prepared)
{
    if (self.service_entry_done ||
        (!prepared && CbwMembership_HasOtherAlive(&self.membership))) {
        return;
    }
    self.service_entry_done = true;
    CbwMembership_FinishJoining(&self.membership, CbwNet_Now());
    probe_random_members(false, STATE_ANNOUNCEMENTS);
}

static void
publish_view(void)
{
    static const task_id_t subscribers[] = {
        TASK_ROUTER, TASK_OWNER, TASK_CONFIG, TASK_STORE, TASK_PEER};
    view_t *view;

    if (self.published_epoch == self.membership.epoch ||
        !is_settled(CbwNet_Now()) ||
        (self.membership.count > Cbw_MEMBERSHIP_SMALL &&
         self.published_at != 0 &&
         CbwNet_Now() - self.published_at < LARGE_VIEW_INTERVAL)) {
        return;
    }
    if (!self.daemon->view_published) {
        CbwMembership_DetectColdStart(&self.membership, CbwNet_Now());
    }
    enter_service(false);
    self.published_epoch = self.membership.epoch;
    self.published_at = CbwNet_Now();
    self.daemon->view_published = true;
    view = copy_view();
    for (size_t i = 0; i < sizeof(subscribers) / sizeof(subscribers[0]); i++) {
        view_message_t *message = calloc(1, sizeof(*message));
        if (message == NULL) {
            abort();
        }
        CbwList_Init(&message->message.link);
        message->view = View_Ref(view);
        Task_Post(TASK_MEMBER, subscribers[i], MESSAGE_VIEW,
                  &message->message);
    }
    View_Unref(view);
}

static void
on_config(config_message_t *message)
{
    self.config_version = message->config->revision;
    self.config_digest = message->config->digest;
    Config_Unref(message->config);
    free(message);
    /* Most hosts wait until a host of their own data centre has a change. */
    probe_random_members(true, LOCAL_ANNOUNCEMENTS);
    probe_random_members(false, REMOTE_ANNOUNCEMENTS);
}

static void
on_drain(void)
{
    self.service_entry_done = true; /* a leaving host must not enter service */
    self.leaving = true;
    if (self.daemon->prepares_before_serving) {
        write_host_record(NULL);
    }
    CbwMembership_Leave(&self.membership, CbwNet_Now());
    probe_random_members(false, STATE_ANNOUNCEMENTS);
}

static void
on_outbound_done(outbound_t *outbound)
{
    if (outbound->procedure == PEER_MEMBERS ||
        outbound->procedure == PEER_MEMBERS_DIFF) {
        on_members_done(outbound);
    }
    else {
        on_probe_done(outbound);
    }
}

static void
handle(void *state, message_t *message)
{
    (void)state;
    switch (message->type) {
    case MESSAGE_INBOUND:
        answer_inbound(Cbw_LIST_ITEM(message, inbound_t, message));
        break;
    case MESSAGE_OUTBOUND_DONE:
        on_outbound_done(Cbw_LIST_ITEM(message, outbound_t, message));
        break;
    case MESSAGE_STORE_DONE:
        on_store_done(Cbw_LIST_ITEM(message, store_call_t, message));
        break;
    case MESSAGE_CONFIG:
        on_config(Cbw_LIST_ITEM(message, config_message_t, message));
        break;
    case MESSAGE_PREPARED:
        enter_service(true);
        free(message);
        break;
    case MESSAGE_DRAIN:
        on_drain();
        free(message);
        break;
    default:
        break;
    }
    publish_view();
}

static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
    cbw_time_t now = CbwNet_Now();
    const cbw_member_t *list_peer;

    (void)loop;
    (void)watcher;
    (void)events;
    CbwMembership_Tick(&self.membership, now);
    self.daemon->local_delay =
        CbwLocalHealth_Delay(&self.membership.health, now);
    self.daemon->in_minority =
        !CbwMembership_IsHalfReachable(&self.membership);
    request_host_list(now);
    request_join(now);
    list_peer = CbwMembership_ChooseListPeer(&self.membership, now);
    if (list_peer != NULL) {
        request_differing_members(list_peer->record.address);
    }
    publish_view();
}

/* The initial incarnation number. If the clock was set back since an earlier
 * process of the same name, the membership raises it. */
static uint64_t
wall_clock_ms(void)
{
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

int
MemberTask_Start(daemon_t *daemon, cbw_error_t *error)
{
    const settings_t *settings = &daemon->settings;

    self.daemon = daemon;
    self.started_at = CbwNet_Now();
    if (CbwMembership_Init(&self.membership, &CbwMembership_DefaultSettings,
                           &membership_ops, NULL, settings->name,
                           settings->data_centre, settings->peers_address,
                           wall_clock_ms(), daemon->nonce) != 0) {
        return CbwError_Set(error, CBW_ERROR_MEMORY, "out of memory");
    }
    self.service_entry_done = !daemon->prepares_before_serving;
    if (daemon->prepares_before_serving) {
        CbwMembership_BeginJoining(&self.membership);
    }
    Task_Register(daemon->loop, TASK_MEMBER, handle, NULL);
    self.registered = !daemon->prepares_before_serving;
    CbwTick_Init(&self.timer, on_tick, TICK_SECONDS, TICK_SECONDS);
    ev_timer_start(daemon->loop, &self.timer);
    return 0;
}
