/* The owner task for endpoints without request keys: a pool of the kernel for
 * each database that this host owns or was sent requests for, with the links
 * to its endpoints. */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "carobwind/log.h"
#include "carobwind/plugin.h"
#include "carobwind/pool.h"
#include "drivers.h"
#include "share/net.h"

/* Time between ticks while there is work, and while there is none. */
#define BUSY_TICK_SECONDS 0.01
#define IDLE_TICK_SECONDS 0.05
/* A pool of a database that is owned elsewhere goes after this time. */
#define UNUSED_LIMIT (1500 * Cbw_MSEC)
/* Requests are sent on for so long after ownership moved by reach. */
#define MOVED_FOR (3 * Cbw_SEC)
/* Peers that are asked whether they reach a primary. */
#define REACH_PEERS 3
#define REACH_CALL_TIMEOUT (250 * Cbw_MSEC)
#define REACH_PROBE_SECONDS 0.2
/* A peer that leaves waits so long for this host to be ready. */
#define PREPARE_TIMEOUT (900 * Cbw_MSEC)
/* Control calls have connections beside those for statements. */
#define CONTROL_CONNECTIONS 3
#define EXPLAIN_TEXT_MAX 32768
#define RECORD_KEY_FORMAT "group/%s"

typedef struct instance instance_t;

typedef struct {
    instance_t *instance;
    int place;
} binding_t;

struct instance {
    cbw_link_t link;
    uint64_t id;
    cbw_pool_t pool;
    endpoint_link_t *links[Cbw_POOL_ENDPOINTS_MAX];
    binding_t bindings[Cbw_POOL_ENDPOINTS_MAX];
    bool owned;   /* by rendezvous order */
    bool retired; /* the database is not configured any more */
    bool released;
    cbw_time_t used_at;
    char moved_to[Cbw_NAME_MAX];
    cbw_time_t moved_at;
    int reach_waiting;
    inbound_t *preparing; /* a peer waits until this host can serve */
    cbw_time_t prepared_by;
};

typedef struct {
    daemon_t *daemon;
    const endpoint_driver_t *driver;
    const order_driver_t *orders;
    config_t *config;
    view_t *view;
    cbw_link_t instances;
    uint64_t next_id;
    bool draining;
    bool arrived;         /* takes work as an owner */
    cbw_time_t arrive_by; /* at the latest; 0: nothing is claimed yet */
    int handing_over;     /* databases whose next owner is not ready yet */
    ev_timer timer;
} pool_task_t;

static pool_task_t self;

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
find_instance(const char *database)
{
    cbw_link_t *link = self.instances.next;

    for (; link != &self.instances; link = link->next) {
        instance_t *instance = Cbw_LIST_ITEM(link, instance_t, link);
        if (!instance->retired &&
            strcmp(instance->pool.database, database) == 0) {
            return instance;
        }
    }
    return NULL;
}

static void
set_tick(double seconds)
{
    if (self.timer.repeat != seconds) {
        self.timer.repeat = seconds;
        ev_timer_again(self.daemon->loop, &self.timer);
    }
}

/* The kernel's calls. */

static bool
op_call(void *context, int place, const cbw_call_t *call)
{
    instance_t *instance = context;

    return self.driver->call(instance->links[place], call);
}

static bool
op_abort(void *context, int place, uint64_t id)
{
    instance_t *instance = context;

    return self.driver->abort(instance->links[place], id);
}

static void
op_end_transaction(void *context, int place, uint64_t transaction, bool clean)
{
    instance_t *instance = context;

    self.driver->end_transaction(instance->links[place], transaction, clean);
}

static void
op_answer(void *context, cbw_request_t *request)
{
    instance_t *instance = context;
    job_t *job = Cbw_LIST_ITEM(request, job_t, request);

    job->admission_count = 0;
    if (request->answer.outcome == CBW_OUTCOME_PENDING) {
        memcpy(job->moved_to, instance->moved_to, sizeof(job->moved_to));
    }
    Task_Post(TASK_OWNER, job->reply_to, MESSAGE_JOB_DONE, &job->message);
}

static void
on_reply(void *context, uint64_t id, const cbw_reply_t *reply)
{
    binding_t *binding = context;

    CbwPool_OnReply(&binding->instance->pool, CbwNet_Now(), id, reply);
}

static const endpoint_events_t endpoint_events = {.on_reply = on_reply};

static void
op_attach(void *context, int place, const cbw_endpoint_t *info)
{
    instance_t *instance = context;

    instance->bindings[place] = (binding_t){instance, place};
    instance->links[place] =
        self.driver->open(self.daemon, instance->pool.database, info,
                          info->connections / 2 + CONTROL_CONNECTIONS,
                          &endpoint_events, &instance->bindings[place]);
}

static void
op_detach(void *context, int place)
{
    instance_t *instance = context;

    self.driver->close(instance->links[place]);
    instance->links[place] = NULL;
}

static store_call_t *
new_record_call(const instance_t *instance, store_verb_t verb)
{
    char key[Cbw_NAME_MAX + 8];
    store_call_t *call;

    snprintf(key, sizeof(key), RECORD_KEY_FORMAT, instance->pool.database);
    call = StoreCall_New(verb, key);
    call->reply_to = TASK_OWNER;
    call->context = (void *)(uintptr_t)instance->id;
    return call;
}

static void
op_read_record(void *context)
{
    store_call_t *call = new_record_call(context, STORE_GET);

    Task_Post(TASK_OWNER, TASK_STORE, MESSAGE_STORE, &call->message);
}

static void
op_swap_record(void *context, uint64_t version,
               const cbw_tenure_record_t *record)
{
    store_call_t *call = new_record_call(context, STORE_SWAP);

    call->version = version;
    call->value = malloc(Cbw_TENURE_TEXT_MAX);
    if (call->value == NULL) {
        abort();
    }
    CbwTenure_FormatRecord(record, call->value);
    Task_Post(TASK_OWNER, TASK_STORE, MESSAGE_STORE, &call->message);
}

static void
on_store_done(store_call_t *call)
{
    instance_t *instance = find_by_id((uint64_t)(uintptr_t)call->context);
    cbw_tenure_record_t record = {.epoch = 0};
    cbw_store_status_t status = call->status;

    if (instance != NULL && call->verb == STORE_SWAP) {
        CbwPool_OnSwap(&instance->pool, CbwNet_Now(), status, call->version);
    }
    else if (instance != NULL) {
        if (status == CBW_STORE_OK &&
            CbwTenure_ParseRecord(&record, call->value) != 0) {
            CbwLog_Write(CBW_LOG_ERROR, "owner", "bad-record", "key=%s",
                         call->key);
            status = CBW_STORE_LOST;
        }
        CbwPool_OnRecord(&instance->pool, CbwNet_Now(), status, call->version,
                         &record);
    }
    StoreCall_Free(call);
}

static void
on_ordered(void *context, cbw_order_status_t status)
{
    instance_t *instance = find_by_id((uint64_t)(uintptr_t)context);

    if (instance != NULL) {
        CbwPool_OnOrdered(&instance->pool, CbwNet_Now(), status);
    }
}

static void
op_order(void *context, const char *endpoint, uint64_t fence)
{
    instance_t *instance = context;

    self.orders->promote(self.daemon, instance->pool.database, endpoint,
                         self.daemon->settings.name, fence, on_ordered,
                         (void *)(uintptr_t)instance->id);
}

static void
op_decide(void *context, const char *text)
{
    instance_t *instance = context;

    CbwLog_Write(CBW_LOG_INFO, "owner", "decision", "database=%s what=\"%s\"",
                 instance->pool.database, text);
}

/* Whether peers in other data centres reach a primary that this host does
 * not. */

static void
ask_peer(instance_t *instance, const cbw_member_change_t *peer,
         const cbw_endpoint_t *endpoint)
{
    outbound_t *outbound = Outbound_New(PEER_REACH, peer->address);

    outbound->args.reach.address = strdup(endpoint->address);
    outbound->args.reach.database = strdup(instance->pool.database);
    outbound->args.reach.endpoint = strdup(endpoint->name);
    memcpy(outbound->name, peer->name, sizeof(outbound->name));
    outbound->timeout = REACH_CALL_TIMEOUT;
    outbound->reply_to = TASK_OWNER;
    outbound->context = (void *)(uintptr_t)instance->id;
    instance->reach_waiting++;
    Task_Post(TASK_OWNER, TASK_PEER, MESSAGE_OUTBOUND, &outbound->message);
}

static void
op_ask_reach(void *context, int place)
{
    instance_t *instance = context;
    const cbw_membership_t *members = &self.view->membership;
    size_t offset = (size_t)CbwNet_Now();

    instance->reach_waiting = 0;
    for (size_t i = 0;
         i < members->count && instance->reach_waiting < REACH_PEERS; i++) {
        const cbw_member_change_t *peer =
            &members->members[(i + offset) % members->count].public;
        if (peer->state == CBW_MEMBER_ALIVE &&
            peer != &members->members[0].public) {
            ask_peer(instance, peer, &instance->pool.endpoints[place].info);
        }
    }
    if (instance->reach_waiting == 0) {
        CbwPool_OnReach(&instance->pool, CbwNet_Now(), NULL);
    }
}

/* A former holder that is not a member any more cannot be asked. */
static void
op_ask_former(void *context, const cbw_tenure_holder_t *former)
{
    instance_t *instance = context;
    const cbw_member_t *member =
        CbwMembership_Find(&self.view->membership, former->host);
    outbound_t *outbound;

    if (member == NULL || member->public.state == CBW_MEMBER_DEAD) {
        CbwPool_OnUnreachable(&instance->pool, CbwNet_Now(), former->nonce);
        return;
    }
    outbound = Outbound_New(PEER_GIVE_UP, member->public.address);
    outbound->args.give_up.database = strdup(instance->pool.database);
    outbound->args.give_up.nonce = former->nonce;
    outbound->timeout = REACH_CALL_TIMEOUT;
    outbound->reply_to = TASK_OWNER;
    outbound->context = (void *)(uintptr_t)instance->id;
    Task_Post(TASK_OWNER, TASK_PEER, MESSAGE_OUTBOUND, &outbound->message);
}

static void
on_give_up_done(outbound_t *outbound)
{
    instance_t *instance = find_by_id((uint64_t)(uintptr_t)outbound->context);

    if (instance != NULL && outbound->answered && outbound->result.flag) {
        CbwPool_OnGivenUp(&instance->pool, CbwNet_Now(),
                          outbound->args.give_up.nonce);
    }
    Outbound_Free(outbound);
}

/* An owner that is not here any more has no right. */
static void
answer_give_up(inbound_t *inbound)
{
    cbw_link_t *link = self.instances.next;

    inbound->result.flag = TRUE;
    for (; link != &self.instances; link = link->next) {
        instance_t *instance = Cbw_LIST_ITEM(link, instance_t, link);
        if (instance->pool.tenure.self.nonce == inbound->args.give_up.nonce) {
            inbound->result.flag =
                CbwPool_GiveUp(&instance->pool, CbwNet_Now());
        }
    }
    Task_Post(TASK_OWNER, TASK_PEER, MESSAGE_INBOUND_DONE, &inbound->message);
}

static void
on_reach_done(outbound_t *outbound)
{
    instance_t *instance = find_by_id((uint64_t)(uintptr_t)outbound->context);

    if (instance != NULL) {
        instance->reach_waiting--;
        if (outbound->answered && outbound->result.flag) {
            CbwPool_OnReach(&instance->pool, CbwNet_Now(), outbound->name);
        }
        else if (instance->reach_waiting == 0) {
            CbwPool_OnReach(&instance->pool, CbwNet_Now(), NULL);
        }
    }
    Outbound_Free(outbound);
}

static bool
op_move(void *context, const char *host)
{
    instance_t *instance = context;
    const cbw_member_t *member =
        CbwMembership_Find(&self.view->membership, host);

    if (member == NULL || member->public.state == CBW_MEMBER_DEAD) {
        return false;
    }
    snprintf(instance->moved_to, sizeof(instance->moved_to), "%s", host);
    instance->moved_at = CbwNet_Now();
    return true;
}

static const cbw_pool_ops_t pool_ops = {
    .call = op_call,
    .abort = op_abort,
    .end_transaction = op_end_transaction,
    .answer = op_answer,
    .attach = op_attach,
    .detach = op_detach,
    .read_record = op_read_record,
    .swap_record = op_swap_record,
    .ask_former = op_ask_former,
    .order = op_order,
    .ask_reach = op_ask_reach,
    .move = op_move,
    .decide = op_decide,
};

/* Instances. */

static void
update_endpoints(instance_t *instance)
{
    const cbw_database_t *database = CbwInventory_Database(
        &self.config->inventory, instance->pool.database);

    instance->retired = database == NULL;
    if (database != NULL) {
        CbwPool_SetEndpoints(&instance->pool, CbwNet_Now(),
                             database->endpoints, database->endpoint_count);
    }
}

static instance_t *
new_instance(const cbw_database_t *database)
{
    instance_t *instance = calloc(1, sizeof(*instance));
    const cbw_inventory_t *inventory = &self.config->inventory;

    if (instance == NULL) {
        abort();
    }
    instance->id = ++self.next_id;
    instance->used_at = CbwNet_Now();
    CbwList_Init(&instance->link);
    CbwList_Append(&self.instances, &instance->link);
    CbwPool_Init(&instance->pool, database->name,
                 CbwQueue_Policy(self.daemon->settings.queue_policy),
                 inventory->ranks, inventory->rank_count, &pool_ops, instance,
                 self.daemon->nonce + instance->id, self.daemon->settings.name,
                 self.daemon->settings.data_centre, &self.daemon->counters);
    instance->pool.latencies = &self.daemon->latencies;
    update_endpoints(instance);
    CbwLog_Write(CBW_LOG_INFO, "owner", "started", "database=%s",
                 database->name);
    return instance;
}

static void finish_preparing(instance_t *instance);

static void
free_instance(instance_t *instance)
{
    CbwLog_Write(CBW_LOG_INFO, "owner", "stopped", "database=%s",
                 instance->pool.database);
    if (instance->preparing != NULL) {
        finish_preparing(instance);
    }
    CbwPool_Finish(&instance->pool, CbwNet_Now());
    CbwList_Remove(&instance->link);
    free(instance);
}

static const char *
home_of(const cbw_database_t *database)
{
    return database->endpoint_count > 0 ? database->endpoints[0].data_centre
                                        : "";
}

/* Whether this host owns the database, or will once it takes work. */
static bool
is_ours(const cbw_database_t *database)
{
    cbw_member_t *own = &self.view->membership.members[0];
    cbw_member_state_t state = own->public.state;
    bool ours;

    if (!self.arrived) {
        own->public.state = CBW_MEMBER_ALIVE;
    }
    ours = CbwMembership_Owner(&self.view->membership, database->name,
                               home_of(database), NULL, NULL) == own;
    own->public.state = state;
    return ours;
}

/* Tells the membership when all that this host will own can be served. */
static void
check_arrival(cbw_time_t now)
{
    cbw_link_t *link = self.instances.next;
    message_t *message;

    if (self.arrived || self.config == NULL || self.view == NULL) {
        return;
    }
    if (self.arrive_by == 0) {
        self.arrive_by = now + PREPARE_TIMEOUT;
    }
    for (; link != &self.instances; link = link->next) {
        const instance_t *instance = Cbw_LIST_ITEM(link, instance_t, link);
        if (instance->owned && now < self.arrive_by &&
            !CbwTenure_IsValid(&instance->pool.tenure, now)) {
            return;
        }
    }
    self.arrived = true;
    message = calloc(1, sizeof(*message));
    if (message == NULL) {
        abort();
    }
    CbwList_Init(&message->link);
    Task_Post(TASK_OWNER, TASK_MEMBER, MESSAGE_PREPARED, message);
}

/* Starts pools for what this host owns by rendezvous order, so that they are
 * there when requests come. */
static void
claim_databases(void)
{
    const cbw_inventory_t *inventory;

    if (self.config == NULL || self.view == NULL) {
        return;
    }
    inventory = &self.config->inventory;
    for (size_t i = 0; i < inventory->database_count; i++) {
        const cbw_database_t *database = &inventory->databases[i];
        bool ours = !self.draining && is_ours(database);
        instance_t *instance = find_instance(database->name);
        if (ours && instance == NULL && database->endpoint_count > 0) {
            instance = new_instance(database);
        }
        if (instance != NULL) {
            instance->owned = ours;
        }
    }
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
        update_endpoints(Cbw_LIST_ITEM(link, instance_t, link));
    }
    claim_databases();
}

static void
on_view(view_message_t *message)
{
    View_Unref(self.view);
    self.view = message->view;
    free(message);
    claim_databases();
}

/* Requests. */

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
           (job->request.transaction == 0 || job->request.begins);
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
    instance = find_instance(job->request.database);
    if (instance == NULL) {
        const cbw_database_t *database = CbwInventory_Database(
            &self.config->inventory, job->request.database);
        if (database == NULL || self.draining) {
            send_back(job); /* this host's configuration may be older */
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
    CbwPool_Submit(&instance->pool, now, &job->request);
    set_tick(BUSY_TICK_SECONDS);
}

/* Peers and operators. */

typedef struct {
    inbound_t *inbound;
    endpoint_link_t *link;
    ev_timer timer;
} reach_probe_t;

static void
finish_probe(reach_probe_t *probe, bool reached)
{
    ev_timer_stop(self.daemon->loop, &probe->timer);
    self.driver->close(probe->link);
    probe->inbound->result.flag = reached;
    Task_Post(TASK_OWNER, TASK_PEER, MESSAGE_INBOUND_DONE,
              &probe->inbound->message);
    free(probe);
}

static void
on_probe_reply(void *context, uint64_t id, const cbw_reply_t *reply)
{
    (void)id;
    finish_probe(context, reply->status == CBW_REPLY_OK ||
                              reply->status == CBW_REPLY_BUSY);
}

static const endpoint_events_t probe_events = {.on_reply = on_probe_reply};

static void
on_probe_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    finish_probe(timer->data, false);
}

static void
start_probe(inbound_t *inbound)
{
    reach_probe_t *probe = calloc(1, sizeof(*probe));
    cbw_call_t call = {.id = 1, .verb = CBW_CALL_STATE, .key = ""};
    cbw_endpoint_t endpoint = {.slots = 1};

    if (probe == NULL) {
        abort();
    }
    snprintf(endpoint.name, sizeof(endpoint.name), "%s",
             inbound->args.reach.endpoint);
    snprintf(endpoint.address, sizeof(endpoint.address), "%s",
             inbound->args.reach.address);
    probe->inbound = inbound;
    probe->link = self.driver->open(self.daemon, inbound->args.reach.database,
                                    &endpoint, 1, &probe_events, probe);
    ev_timer_init(&probe->timer, on_probe_timeout, REACH_PROBE_SECONDS, 0);
    probe->timer.data = probe;
    ev_timer_start(self.daemon->loop, &probe->timer);
    if (!self.driver->call(probe->link, &call)) {
        finish_probe(probe, false);
    }
}

static void
finish_preparing(instance_t *instance)
{
    inbound_t *inbound = instance->preparing;

    instance->preparing = NULL;
    inbound->result.flag = TRUE;
    Task_Post(TASK_OWNER, TASK_PEER, MESSAGE_INBOUND_DONE, &inbound->message);
}

/* Starts to own a database while its owner, which leaves, still serves. */
static void
start_preparing(inbound_t *inbound)
{
    const char *name = inbound->args.prepare.database;
    instance_t *instance = find_instance(name);
    const cbw_database_t *database =
        self.config != NULL
            ? CbwInventory_Database(&self.config->inventory, name)
            : NULL;

    if (instance == NULL && database != NULL && !self.draining &&
        self.view != NULL) {
        instance = new_instance(database);
    }
    if (instance == NULL || instance->preparing != NULL) {
        inbound->result.flag = FALSE;
        Task_Post(TASK_OWNER, TASK_PEER, MESSAGE_INBOUND_DONE,
                  &inbound->message);
        return;
    }
    instance->used_at = CbwNet_Now();
    instance->preparing = inbound;
    instance->prepared_by = CbwNet_Now() + PREPARE_TIMEOUT;
    set_tick(BUSY_TICK_SECONDS);
}

static void
answer_inbound(inbound_t *inbound)
{
    static char text[EXPLAIN_TEXT_MAX];
    instance_t *instance;

    if (inbound->procedure == PEER_REACH) {
        start_probe(inbound);
        return;
    }
    if (inbound->procedure == PEER_GIVE_UP) {
        answer_give_up(inbound);
        return;
    }
    if (inbound->procedure == PEER_PREPARE) {
        start_preparing(inbound);
        return;
    }
    instance = find_instance(inbound->args.text.subject);
    if (instance == NULL) {
        Inbound_SetText(inbound, false, "this host does not own it");
    }
    else {
        CbwPool_Explain(&instance->pool, CbwNet_Now(), text, sizeof(text));
        Inbound_SetText(inbound, true, text);
    }
    Task_Post(TASK_OWNER, TASK_PEER, MESSAGE_INBOUND_DONE, &inbound->message);
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
        report->busy +=
            !CbwPool_IsIdle(&instance->pool) || instance->pool.tenure.asking;
    }
    Task_Post(TASK_OWNER, TASK_MAIN, MESSAGE_REPORT, request);
}

static void
report_handed_over(void)
{
    message_t *message = calloc(1, sizeof(*message));

    if (message == NULL) {
        abort();
    }
    CbwList_Init(&message->link);
    Task_Post(TASK_OWNER, TASK_MAIN, MESSAGE_HANDED_OVER, message);
}

static void
on_prepared(outbound_t *outbound)
{
    Outbound_Free(outbound);
    if (--self.handing_over == 0) {
        report_handed_over();
    }
}

static void
on_outbound_done(outbound_t *outbound)
{
    if (outbound->procedure == PEER_PREPARE) {
        on_prepared(outbound);
    }
    else if (outbound->procedure == PEER_GIVE_UP) {
        on_give_up_done(outbound);
    }
    else {
        on_reach_done(outbound);
    }
}

static bool
is_self(void *context, const char *name)
{
    (void)context;
    return strcmp(name, self.daemon->settings.name) == 0;
}

/* The owner that comes after this host. */
static void
hand_over(const instance_t *instance)
{
    const cbw_database_t *database = CbwInventory_Database(
        &self.config->inventory, instance->pool.database);
    const cbw_member_t *next;
    outbound_t *outbound;

    if (!instance->owned || database == NULL) {
        return;
    }
    next = CbwMembership_Owner(&self.view->membership, database->name,
                               home_of(database), is_self, NULL);
    if (next == NULL) {
        return;
    }
    outbound = Outbound_New(PEER_PREPARE, next->public.address);
    outbound->args.prepare.database = strdup(database->name);
    outbound->timeout = PREPARE_TIMEOUT;
    outbound->reply_to = TASK_OWNER;
    self.handing_over++;
    Task_Post(TASK_OWNER, TASK_PEER, MESSAGE_OUTBOUND, &outbound->message);
}

/* The databases are handed over before peers hear that this host leaves; it
 * serves them until then. */
static void
on_drain(void)
{
    cbw_link_t *link = self.instances.next;

    for (; link != &self.instances; link = link->next) {
        hand_over(Cbw_LIST_ITEM(link, instance_t, link));
    }
    self.draining = true;
    if (self.handing_over == 0) {
        report_handed_over();
    }
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
        on_outbound_done(Cbw_LIST_ITEM(message, outbound_t, message));
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
    case MESSAGE_DRAIN:
        on_drain();
        free(message);
        break;
    default:
        break;
    }
}

/* Returns whether the instance has work to do. */
static bool
tick_instance(instance_t *instance, cbw_time_t now)
{
    bool used = instance->owned || now - instance->used_at <= UNUSED_LIMIT;
    bool idle;

    /* A host that leaves serves on under the right that it has. */
    CbwPool_Tick(&instance->pool, now,
                 used && !instance->retired && !self.draining);
    if (instance->preparing != NULL &&
        (CbwTenure_IsValid(&instance->pool.tenure, now) ||
         now >= instance->prepared_by)) {
        finish_preparing(instance);
    }
    idle = CbwPool_IsIdle(&instance->pool);
    if (idle && !used && !instance->released) {
        /* So that the next owner need not wait for the end of the right. */
        instance->released = true;
        CbwPool_Release(&instance->pool, now);
        return true;
    }
    if (used && instance->released) {
        instance->released = false;
        instance->pool.stopping = false;
    }
    if (idle && !used && !instance->pool.tenure.asking) {
        free_instance(instance);
        return false;
    }
    return !idle || instance->pool.phase != CBW_POOL_SERVING ||
           instance->preparing != NULL;
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
    check_arrival(now);
    busy |= !self.arrived;
    set_tick(busy ? BUSY_TICK_SECONDS : IDLE_TICK_SECONDS);
}

void
PoolTask_Start(daemon_t *daemon)
{
    const settings_t *settings = &daemon->settings;

    self.daemon = daemon;
    daemon->prepares = true;
    self.driver =
        CbwPlugin_Find(CBW_PLUGIN_ENDPOINT_DRIVER, settings->endpoint_driver);
    self.orders =
        CbwPlugin_Find(CBW_PLUGIN_ORDER_DRIVER, settings->order_driver);
    CbwList_Init(&self.instances);
    Task_Register(daemon->loop, TASK_OWNER, handle, NULL);
    ev_timer_init(&self.timer, on_tick, IDLE_TICK_SECONDS, IDLE_TICK_SECONDS);
    ev_timer_start(daemon->loop, &self.timer);
}
