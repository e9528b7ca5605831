/* The owner task: an owner of the kernel for each database that this host
 * owns or was sent requests for, with the links to its endpoints. */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "carobwind/log.h"
#include "carobwind/owner.h"
#include "carobwind/plugin.h"
#include "drivers.h"
#include "reach.h"
#include "share/net.h"

/* Time between ticks while there is work, and while there is none. */
#define BUSY_TICK_SECONDS 0.005
#define IDLE_TICK_SECONDS 0.025
/* An owner of a database that is owned elsewhere goes after this time. */
#define UNUSED_LIMIT (1500 * Cbw_MSEC)
/* Requests are sent on for so long after ownership moved by reach. */
#define MOVED_FOR (3 * Cbw_SEC)
/* Peers that are asked whether they reach a primary. */
#define REACH_PEERS 3
#define REACH_CALL_TIMEOUT (250 * Cbw_MSEC)
#define EXPLAIN_TEXT_MAX 32768
#define GROUP_KEY_FORMAT "group/%s"

typedef struct instance instance_t;

typedef struct {
    instance_t *instance;
    int endpoint;
} binding_t;

struct instance {
    cbw_link_t link;
    uint64_t id;
    cbw_owner_t owner;
    config_t *config;
    endpoint_link_t *links[Cbw_ENDPOINTS_MAX];
    binding_t bindings[Cbw_ENDPOINTS_MAX];
    bool owned;    /* by rendezvous order */
    bool retiring; /* its endpoints changed: takes no new requests */
    cbw_time_t used_at;
    char moved_to[Cbw_NAME_MAX];
    cbw_time_t moved_at;
    int reach_waiting;
};

typedef struct {
    daemon_t *daemon;
    const endpoint_driver_t *driver;
    cbw_owner_policies_t policies;
    config_t *config;
    view_t *view;
    cbw_link_t instances;
    uint64_t next_id;
    ev_timer timer;
} owner_task_t;

static owner_task_t self;

static instance_t *
find_by_id(uint64_t id)
{
    cbw_link_t *link = self.instances.next;

    for (; link != &self.instances; link = link->next) {
        instance_t *instance = Cbw_LIST_ITEM(link, instance_t, link);
        if (instance->id == id) {
            return instance;
        }
    }
    return NULL;
}

static instance_t *
find_by_name(const char *database)
{
    cbw_link_t *link = self.instances.next;

    for (; link != &self.instances; link = link->next) {
        instance_t *instance = Cbw_LIST_ITEM(link, instance_t, link);
        if (!instance->retiring &&
            strcmp(instance->owner.database->name, database) == 0) {
            return instance;
        }
    }
    return NULL;
}

/* The kernel's calls. */

static bool
op_call(void *context, int endpoint, const cbw_call_t *call)
{
    instance_t *instance = context;

    return self.driver->call(instance->links[endpoint], call);
}

static void
op_abort(void *context, int endpoint, uint64_t id)
{
    instance_t *instance = context;

    self.driver->abort(instance->links[endpoint], id);
}

static void
op_end_transaction(void *context, int endpoint, uint64_t transaction,
                   bool clean)
{
    instance_t *instance = context;

    self.driver->end_transaction(instance->links[endpoint], transaction,
                                 clean);
}

static void
op_answer(void *context, cbw_request_t *request)
{
    instance_t *instance = context;
    job_t *job = Cbw_LIST_ITEM(request, job_t, request);

    job->admission_count = (int)instance->config->inventory.rank_count;
    for (int i = 0; i < job->admission_count; i++) {
        job->admission[i] = CbwOwner_Admission(&instance->owner, i);
    }
    if (request->answer.outcome == CBW_OUTCOME_PENDING) {
        memcpy(job->moved_to, instance->moved_to, sizeof(job->moved_to));
    }
    Task_Post(TASK_OWNER, job->reply_to, MESSAGE_JOB_DONE, &job->message);
}

static void
post_store_call(instance_t *instance, store_call_t *call)
{
    call->reply_to = TASK_OWNER;
    call->context = (void *)(uintptr_t)instance->id;
    Task_Post(TASK_OWNER, TASK_STORE, MESSAGE_STORE, &call->message);
}

static void
format_group_key(const instance_t *instance, char *key, size_t size)
{
    snprintf(key, size, GROUP_KEY_FORMAT, instance->owner.database->name);
}

static void
op_read_record(void *context)
{
    char key[Cbw_NAME_MAX + 8];

    format_group_key(context, key, sizeof(key));
    post_store_call(context, StoreCall_New(STORE_GET, key));
}

static void
op_swap_record(void *context, uint64_t version,
               const cbw_group_record_t *record)
{
    char key[Cbw_NAME_MAX + 8];
    store_call_t *call;

    format_group_key(context, key, sizeof(key));
    call = StoreCall_New(STORE_SWAP, key);
    call->version = version;
    if (asprintf(&call->value, "%" PRIu64 " %" PRIu64 " %d", record->term,
                 record->claimant, record->primary) < 0) {
        abort();
    }
    post_store_call(context, call);
}

static void
on_record(instance_t *instance, const store_call_t *call)
{
    cbw_group_record_t record = {.primary = -1};
    cbw_store_status_t status = call->status;

    if (status == CBW_STORE_OK &&
        sscanf(call->value, "%" SCNu64 " %" SCNu64 " %d", &record.term,
               &record.claimant, &record.primary) != 3) {
        status = CBW_STORE_LOST;
        CbwLog_Write(CBW_LOG_ERROR, "owner", "bad-record", "key=%s",
                     call->key);
    }
    CbwOwner_OnRecord(&instance->owner, CbwNet_Now(), status, call->version,
                      &record);
}

static void
on_store_done(store_call_t *call)
{
    instance_t *instance = find_by_id((uint64_t)(uintptr_t)call->context);

    if (instance != NULL && call->verb == STORE_GET) {
        on_record(instance, call);
    }
    else if (instance != NULL) {
        CbwOwner_OnSwap(&instance->owner, CbwNet_Now(), call->status,
                        call->version);
    }
    StoreCall_Free(call);
}

/* Whether peers in other data centres reach a primary that this host does
 * not. */

static void
ask_peer(instance_t *instance, const cbw_member_change_t *peer,
         const char *address)
{
    outbound_t *outbound = Outbound_New(PEER_REACH, peer->address);

    outbound->args.reach.address = strdup(address);
    memcpy(outbound->name, peer->name, sizeof(outbound->name));
    outbound->timeout = REACH_CALL_TIMEOUT;
    outbound->reply_to = TASK_OWNER;
    outbound->context = (void *)(uintptr_t)instance->id;
    instance->reach_waiting++;
    Task_Post(TASK_OWNER, TASK_PEER, MESSAGE_OUTBOUND, &outbound->message);
}

static void
op_ask_reach(void *context, int endpoint)
{
    instance_t *instance = context;
    const cbw_membership_t *members = &self.view->membership;
    const char *own = self.daemon->settings.data_centre;
    size_t offset = (size_t)instance->id;

    instance->reach_waiting = 0;
    for (size_t i = 0;
         i < members->count && instance->reach_waiting < REACH_PEERS; i++) {
        const cbw_member_change_t *peer =
            &members->members[(i + offset) % members->count].public;
        if (peer->state == CBW_MEMBER_ALIVE &&
            !CbwMembership_IsEndpoint(peer) &&
            strcmp(peer->data_centre, own) != 0) {
            ask_peer(instance, peer,
                     instance->owner.database->endpoints[endpoint].address);
        }
    }
    if (instance->reach_waiting == 0) {
        CbwOwner_OnReach(&instance->owner, CbwNet_Now(), NULL);
    }
}

static void
on_reach_done(outbound_t *outbound)
{
    instance_t *instance = find_by_id((uint64_t)(uintptr_t)outbound->context);

    if (instance != NULL) {
        cbw_time_t now = CbwNet_Now();
        instance->reach_waiting--;
        if (outbound->answered && outbound->result.flag) {
            CbwOwner_OnReach(&instance->owner, now, outbound->name);
        }
        else if (instance->reach_waiting == 0) {
            CbwOwner_OnReach(&instance->owner, now, NULL);
        }
    }
    Outbound_Free(outbound);
}

static void
op_move(void *context, const char *host)
{
    instance_t *instance = context;

    CbwLog_Write(CBW_LOG_WARNING, "owner", "moved", "database=%s host=%s",
                 instance->owner.database->name, host);
    snprintf(instance->moved_to, sizeof(instance->moved_to), "%s", host);
    instance->moved_at = CbwNet_Now();
    CbwOwner_Evict(&instance->owner);
}

static const cbw_owner_ops_t owner_ops = {
    .call = op_call,
    .abort = op_abort,
    .end_transaction = op_end_transaction,
    .answer = op_answer,
    .read_record = op_read_record,
    .swap_record = op_swap_record,
    .ask_reach = op_ask_reach,
    .move = op_move,
};

static void
on_reply(void *context, uint64_t id, const cbw_reply_t *reply)
{
    binding_t *binding = context;

    CbwOwner_OnReply(&binding->instance->owner, CbwNet_Now(), id, reply);
}

static const endpoint_events_t endpoint_events = {.on_reply = on_reply};

/* Instances. */

static void
update_leaving(instance_t *instance)
{
    const cbw_database_t *database = instance->owner.database;

    for (int i = 0; i < database->endpoint_count; i++) {
        const cbw_endpoint_t *endpoint = &database->endpoints[i];
        bool listed = self.view != NULL &&
                      CbwMembership_IsEndpointLeaving(&self.view->membership,
                                                      endpoint->address);
        CbwOwner_SetLeaving(&instance->owner, i, endpoint->leaving || listed);
    }
}

static instance_t *
new_instance(const cbw_database_t *database)
{
    instance_t *instance = calloc(1, sizeof(*instance));
    uint64_t nonce;

    if (instance == NULL) {
        abort();
    }
    instance->id = ++self.next_id;
    instance->used_at = CbwNet_Now();
    instance->config = Config_Ref(self.config);
    CbwList_Init(&instance->link);
    CbwList_Append(&self.instances, &instance->link);
    /* Attempts count up in the low bits; instances stay apart. */
    nonce = self.daemon->nonce + (instance->id << 20);
    CbwOwner_Init(&instance->owner, &instance->config->inventory, database,
                  &self.policies, &owner_ops, instance, nonce, CbwNet_Now());
    for (int i = 0; i < database->endpoint_count; i++) {
        instance->bindings[i] = (binding_t){instance, i};
        instance->links[i] =
            self.driver->open(self.daemon, database->endpoints[i].address,
                              instance->owner.group.endpoints[i].limit.maximum,
                              &endpoint_events, &instance->bindings[i]);
    }
    update_leaving(instance);
    CbwLog_Write(CBW_LOG_INFO, "owner", "started", "database=%s",
                 database->name);
    return instance;
}

static void
free_instance(instance_t *instance)
{
    CbwLog_Write(CBW_LOG_INFO, "owner", "stopped", "database=%s",
                 instance->owner.database->name);
    for (int i = 0; i < instance->owner.database->endpoint_count; i++) {
        self.driver->close(instance->links[i]);
    }
    CbwOwner_Finish(&instance->owner, CbwNet_Now());
    CbwList_Remove(&instance->link);
    Config_Unref(instance->config);
    free(instance);
}

static bool
has_same_endpoints(const cbw_database_t *a, const cbw_database_t *b)
{
    if (a->endpoint_count != b->endpoint_count) {
        return false;
    }
    for (int i = 0; i < a->endpoint_count; i++) {
        const cbw_endpoint_t *x = &a->endpoints[i];
        const cbw_endpoint_t *y = &b->endpoints[i];
        if (strcmp(x->address, y->address) != 0 ||
            x->connections != y->connections || x->slots != y->slots) {
            return false;
        }
    }
    return true;
}

/* Carries an instance over to the present configuration. */
static void
update_instance(instance_t *instance)
{
    const cbw_inventory_t *inventory = &self.config->inventory;
    const cbw_database_t *database =
        CbwInventory_Database(inventory, instance->owner.database->name);
    bool same_ranks =
        inventory->rank_count == instance->config->inventory.rank_count;

    if (instance->retiring) {
        return;
    }
    if (database == NULL || !same_ranks ||
        !has_same_endpoints(instance->owner.database, database)) {
        instance->retiring = true;
        return;
    }
    CbwOwner_SetInventory(&instance->owner, inventory, database);
    Config_Unref(instance->config);
    instance->config = Config_Ref(self.config);
    update_leaving(instance);
}

/* Which data centres have members, in the order of the inventory. Most
 * databases belong to another one: for them no order needs to be worked out.
 */
static bool *
find_served_centres(const cbw_inventory_t *inventory)
{
    bool *served = calloc(inventory->data_centre_count + 1, sizeof(*served));

    if (served == NULL) {
        abort();
    }
    for (size_t i = 0; i < inventory->data_centre_count; i++) {
        served[i] = CbwMembership_HasUsable(&self.view->membership,
                                            inventory->data_centres[i].name);
    }
    return served;
}

static bool
is_ours(const cbw_database_t *database, const bool *served)
{
    const cbw_inventory_t *inventory = &self.config->inventory;
    const char *home = database->endpoints[0].data_centre;
    const cbw_data_centre_t *centre = CbwInventory_DataCentre(inventory, home);

    if (strcmp(home, self.daemon->settings.data_centre) != 0 &&
        served[centre - inventory->data_centres]) {
        return false;
    }
    return CbwMembership_Owner(&self.view->membership, database->name, home,
                               NULL) == &self.view->membership.members[0];
}

/* Starts owners for what this host owns by rendezvous order, so that their
 * connections and states are there when requests come. */
static void
claim_databases(void)
{
    const cbw_inventory_t *inventory;
    bool *served;

    if (self.config == NULL || self.view == NULL) {
        return;
    }
    inventory = &self.config->inventory;
    served = find_served_centres(inventory);
    for (size_t i = 0; i < inventory->database_count; i++) {
        const cbw_database_t *database = &inventory->databases[i];
        bool ours = is_ours(database, served);
        instance_t *instance = find_by_name(database->name);
        if (ours && instance == NULL) {
            instance = new_instance(database);
        }
        if (instance != NULL) {
            instance->owned = ours;
        }
    }
    free(served);
}

static void
on_config(config_message_t *message)
{
    cbw_link_t *link;
    cbw_link_t *safe;

    Config_Unref(self.config);
    self.config = message->config;
    free(message);
    Cbw_LIST_FOREACH (&self.instances, link, safe) {
        update_instance(Cbw_LIST_ITEM(link, instance_t, link));
    }
    claim_databases();
}

static void
on_view(view_message_t *message)
{
    cbw_link_t *link;
    cbw_link_t *safe;

    View_Unref(self.view);
    self.view = message->view;
    free(message);
    Cbw_LIST_FOREACH (&self.instances, link, safe) {
        update_leaving(Cbw_LIST_ITEM(link, instance_t, link));
    }
    claim_databases();
}

/* Requests. */

static void
set_tick(double seconds)
{
    if (self.timer.repeat != seconds) {
        self.timer.repeat = seconds;
        ev_timer_again(self.daemon->loop, &self.timer);
    }
}

static void
refuse(job_t *job, const char *reason)
{
    CbwRequest_End(&job->request,
                   job->request.maybe_sent ? CBW_OUTCOME_UNKNOWN
                                           : CBW_OUTCOME_NOTRUN,
                   reason);
    Task_Post(TASK_OWNER, job->reply_to, MESSAGE_JOB_DONE, &job->message);
}

/* Hands the job back to be routed again. */
static void
send_back(job_t *job)
{
    job->request.answer.outcome = CBW_OUTCOME_PENDING;
    Task_Post(TASK_OWNER, job->reply_to, MESSAGE_JOB_DONE, &job->message);
}

static bool
has_moved(const instance_t *instance, const job_t *job, cbw_time_t now)
{
    return instance->moved_to[0] != '\0' &&
           now - instance->moved_at < MOVED_FOR &&
           (job->request.transaction == 0 ||
            job->request.verb == CBW_VERB_BEGIN);
}

static void
submit(job_t *job)
{
    cbw_time_t now = CbwNet_Now();
    instance_t *instance;

    if (self.config == NULL || self.view == NULL) {
        send_back(job); /* not ready: another try will find an owner */
        return;
    }
    instance = find_by_name(job->request.database);
    if (instance == NULL) {
        const cbw_database_t *database = CbwInventory_Database(
            &self.config->inventory, job->request.database);
        if (database == NULL) {
            refuse(job, "unknown database");
            return;
        }
        instance = new_instance(database);
    }
    instance->used_at = now;
    if (has_moved(instance, job, now)) {
        memcpy(job->moved_to, instance->moved_to, sizeof(job->moved_to));
        send_back(job);
        return;
    }
    CbwOwner_Submit(&instance->owner, now, &job->request);
    set_tick(BUSY_TICK_SECONDS);
}

/* Peers and operators. */

static void
answer_explain(inbound_t *inbound)
{
    static char text[EXPLAIN_TEXT_MAX];
    instance_t *instance = find_by_name(inbound->args.text.subject);

    if (instance == NULL) {
        Inbound_SetText(inbound, false, "this host does not own it");
    }
    else {
        CbwOwner_Explain(&instance->owner, CbwNet_Now(), text, sizeof(text));
        Inbound_SetText(inbound, true, text);
    }
    Task_Post(TASK_OWNER, TASK_PEER, MESSAGE_INBOUND_DONE, &inbound->message);
}

static void
on_reach_probed(void *context, bool reached)
{
    inbound_t *inbound = context;

    inbound->result.flag = reached;
    Task_Post(TASK_OWNER, TASK_PEER, MESSAGE_INBOUND_DONE, &inbound->message);
}

static void
answer_inbound(inbound_t *inbound)
{
    if (inbound->procedure == PEER_REACH) {
        Reach_Probe(self.daemon, inbound->args.reach.address, on_reach_probed,
                    inbound);
        return;
    }
    answer_explain(inbound);
}

static void
report_busy(message_t *request)
{
    report_message_t *report =
        Cbw_LIST_ITEM(request, report_message_t, message);
    cbw_link_t *link = self.instances.next;

    report->busy = 0;
    for (; link != &self.instances; link = link->next) {
        const instance_t *instance = Cbw_LIST_ITEM(link, instance_t, link);
        report->busy += !CbwOwner_IsIdle(&instance->owner);
    }
    Task_Post(TASK_OWNER, TASK_MAIN, MESSAGE_REPORT, request);
}

static void
handle(void *state, message_t *message)
{
    (void)state;
    switch (message->type) {
    case MESSAGE_JOB:
        submit(Cbw_LIST_ITEM(message, job_t, message));
        break;
    case MESSAGE_STORE_DONE:
        on_store_done(Cbw_LIST_ITEM(message, store_call_t, message));
        break;
    case MESSAGE_OUTBOUND_DONE:
        on_reach_done(Cbw_LIST_ITEM(message, outbound_t, message));
        break;
    case MESSAGE_INBOUND:
        answer_inbound(Cbw_LIST_ITEM(message, inbound_t, message));
        break;
    case MESSAGE_CONFIG:
        on_config(Cbw_LIST_ITEM(message, config_message_t, message));
        break;
    case MESSAGE_VIEW:
        on_view(Cbw_LIST_ITEM(message, view_message_t, message));
        break;
    case MESSAGE_REPORT:
        report_busy(message);
        break;
    default:
        break;
    }
}

/* Returns whether the instance has work to do. */
static bool
tick_instance(instance_t *instance, cbw_time_t now)
{
    bool unused = instance->retiring ||
                  (!instance->owned && now - instance->used_at > UNUSED_LIMIT);

    CbwOwner_Tick(&instance->owner, now);
    if (!CbwOwner_IsIdle(&instance->owner)) {
        return true;
    }
    if (unused) {
        free_instance(instance);
        return false;
    }
    return CbwPromotion_IsActive(&instance->owner.promotion);
}

static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
    cbw_time_t now = CbwNet_Now();
    bool busy = false;
    cbw_link_t *link;
    cbw_link_t *safe;

    (void)loop;
    (void)watcher;
    (void)events;
    Cbw_LIST_FOREACH (&self.instances, link, safe) {
        busy |= tick_instance(Cbw_LIST_ITEM(link, instance_t, link), now);
    }
    set_tick(busy ? BUSY_TICK_SECONDS : IDLE_TICK_SECONDS);
}

void
OwnerTask_Start(daemon_t *daemon)
{
    const settings_t *settings = &daemon->settings;

    self.daemon = daemon;
    self.driver =
        CbwPlugin_Find(CBW_PLUGIN_ENDPOINT_DRIVER, settings->endpoint_driver);
    self.policies = (cbw_owner_policies_t){
        .queue = CbwQueue_Policy(settings->queue_policy),
        .limit = CbwLimit_Policy(settings->limit_policy),
        .route = CbwRoute_Policy(settings->route_policy),
        .counters = &daemon->counters,
        .traces = &daemon->traces,
    };
    CbwList_Init(&self.instances);
    Task_Register(daemon->loop, TASK_OWNER, handle, NULL);
    ev_timer_init(&self.timer, on_tick, BUSY_TICK_SECONDS, BUSY_TICK_SECONDS);
    ev_timer_start(daemon->loop, &self.timer);
}
