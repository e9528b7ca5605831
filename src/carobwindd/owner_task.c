/* The owner task for endpoints that keep request keys. Runs an owner instance
 * for each database that this host owns or was sent requests for. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "carobwind/log.h"
#include "carobwind/owner.h"
#include "carobwind/plugin.h"
#include "owner_instance.h"
#include "reach.h"
#include "share/net.h"
#include "share/tick.h"

/* Interval between ticks while there is work, and while there is none. */
#define BUSY_TICK_SECONDS 0.005
#define IDLE_TICK_SECONDS 0.025
/* An unused owner of a database that another host owns is freed after this
 * time. */
#define UNUSED_TIMEOUT (1500 * Cbw_MSEC)
/* How long requests are redirected to a host that reaches the primary while
 * this one does not. */
#define MOVE_VALID_FOR (3 * Cbw_SEC)
#define EXPLAIN_TEXT_MAX 32768

static bool
have_same_endpoints(const cbw_database_t *a, const cbw_database_t *b)
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

/* Applies the present configuration to an instance, or retires the instance
 * when its database is gone or its endpoints or rank count changed. */
static void
update_instance(owner_instance_t *instance)
{
    const cbw_inventory_t *inventory = &OwnerTask_State.config->inventory;
    const cbw_database_t *database =
        CbwInventory_FindDatabase(inventory, instance->owner.database->name);
    bool same_ranks =
        inventory->rank_count == instance->config->inventory.rank_count;

    if (instance->retiring) {
        return;
    }
    if (database == NULL || !same_ranks ||
        !have_same_endpoints(instance->owner.database, database)) {
        instance->retiring = true;
        return;
    }
    CbwOwner_SetInventory(&instance->owner, inventory, database);
    Config_Unref(instance->config);
    instance->config = Config_Ref(OwnerTask_State.config);
    OwnerInstance_UpdateLeaving(instance);
}

/* Returns which data centres have usable members, in the order of the
 * inventory; the caller frees the array. */
static bool *
find_usable_data_centres(const cbw_inventory_t *inventory)
{
    bool *usable = calloc(inventory->data_centre_count + 1, sizeof(*usable));

    if (usable == NULL) {
        abort();
    }
    for (size_t i = 0; i < inventory->data_centre_count; i++) {
        usable[i] = CbwMembership_HasUsable(&OwnerTask_State.view->membership,
                                            inventory->data_centres[i].name);
    }
    return usable;
}

/* Whether this host owns the database. `usable` is from
 * find_usable_data_centres: if another data centre is the database's home and
 * has usable members, the owner is there. This holds for most databases, and
 * saves computing the rendezvous order for them. */
static bool
is_owned_here(const cbw_database_t *database, const bool *usable)
{
    const cbw_inventory_t *inventory = &OwnerTask_State.config->inventory;
    const char *home = database->endpoints[0].data_centre;
    const cbw_data_centre_t *home_data_centre =
        CbwInventory_FindDataCentre(inventory, home);

    if (strcmp(home, OwnerTask_State.daemon->settings.data_centre) != 0 &&
        usable[home_data_centre - inventory->data_centres]) {
        return false;
    }
    return CbwMembership_FindOwner(&OwnerTask_State.view->membership,
                                   database->name, home, NULL, NULL) ==
           &OwnerTask_State.view->membership.members[0];
}

/* Starts an owner for each database that this host owns by rendezvous order,
 * so that its connections are open and its endpoints' states known when
 * requests come. */
static void
claim_databases(void)
{
    const cbw_inventory_t *inventory;
    bool *usable;

    if (OwnerTask_State.config == NULL || OwnerTask_State.view == NULL) {
        return;
    }
    inventory = &OwnerTask_State.config->inventory;
    usable = find_usable_data_centres(inventory);
    for (size_t i = 0; i < inventory->database_count; i++) {
        const cbw_database_t *database = &inventory->databases[i];
        bool owned_here = is_owned_here(database, usable);
        owner_instance_t *instance = OwnerInstance_Find(database->name);
        if (owned_here && instance == NULL) {
            instance = OwnerInstance_New(database);
        }
        if (instance != NULL) {
            instance->owned = owned_here;
        }
    }
    free(usable);
}

static void
on_config(config_message_t *message)
{
    cbw_link_t *link;
    cbw_link_t *safe;

    Config_Unref(OwnerTask_State.config);
    OwnerTask_State.config = message->config;
    free(message);
    Cbw_LIST_FOREACH (&OwnerTask_State.instances, link, safe) {
        update_instance(Cbw_LIST_ITEM(link, owner_instance_t, link));
    }
    claim_databases();
}

static void
on_view(message_t *message)
{
    cbw_link_t *link;
    cbw_link_t *safe;

    View_Replace(&OwnerTask_State.view, message);
    Cbw_LIST_FOREACH (&OwnerTask_State.instances, link, safe) {
        OwnerInstance_UpdateLeaving(
            Cbw_LIST_ITEM(link, owner_instance_t, link));
    }
    claim_databases();
}

/* Requests. */

static void
set_tick_interval(double seconds)
{
    if (OwnerTask_State.timer.repeat != seconds) {
        OwnerTask_State.timer.repeat = seconds;
        ev_timer_again(OwnerTask_State.daemon->loop, &OwnerTask_State.timer);
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
hand_back(job_t *job)
{
    job->request.answer.outcome = CBW_OUTCOME_PENDING;
    Task_Post(TASK_OWNER, job->reply_to, MESSAGE_JOB_DONE, &job->message);
}

/* Whether the request should go to the host that ownership moved to. */
static bool
has_moved(const owner_instance_t *instance, const job_t *job, cbw_time_t now)
{
    return instance->moved_to[0] != '\0' &&
           now - instance->moved_at < MOVE_VALID_FOR &&
           (job->request.transaction == 0 ||
            job->request.verb == CBW_VERB_BEGIN);
}

static void
submit(job_t *job)
{
    cbw_time_t now = CbwNet_Now();
    owner_instance_t *instance;

    if (OwnerTask_State.config == NULL || OwnerTask_State.view == NULL) {
        hand_back(job); /* not ready: a retry finds an owner */
        return;
    }
    instance = OwnerInstance_Find(job->request.database);
    if (instance == NULL) {
        const cbw_database_t *database = CbwInventory_FindDatabase(
            &OwnerTask_State.config->inventory, job->request.database);
        if (database == NULL) {
            refuse(job, "unknown database");
            return;
        }
        instance = OwnerInstance_New(database);
    }
    instance->used_at = now;
    if (has_moved(instance, job, now)) {
        memcpy(job->moved_to, instance->moved_to, sizeof(job->moved_to));
        hand_back(job);
        return;
    }
    CbwOwner_Submit(&instance->owner, now, &job->request);
    set_tick_interval(BUSY_TICK_SECONDS);
}

/* Peers and operators. */

static void
answer_explain(inbound_t *inbound)
{
    static char text[EXPLAIN_TEXT_MAX];
    owner_instance_t *instance =
        OwnerInstance_Find(inbound->args.text.subject);

    if (instance == NULL) {
        Inbound_SetText(inbound, false,
                        "this host runs no owner of this database");
    }
    else {
        CbwOwner_Explain(&instance->owner, CbwNet_Now(), text, sizeof(text));
        Inbound_SetText(inbound, true, text);
    }
    Task_Post(TASK_OWNER, TASK_PEER, MESSAGE_INBOUND_DONE, &inbound->message);
}

static void
on_reach_checked(void *context, bool reached)
{
    inbound_t *inbound = context;

    inbound->result.flag = reached;
    Task_Post(TASK_OWNER, TASK_PEER, MESSAGE_INBOUND_DONE, &inbound->message);
}

static void
answer_inbound(inbound_t *inbound)
{
    if (inbound->procedure == PEER_REACH) {
        Reach_Check(OwnerTask_State.daemon, inbound->args.reach.address,
                    on_reach_checked, inbound);
        return;
    }
    if (inbound->procedure == PEER_QUOTA) {
        /* Quotas are applied by pools only: the result is empty. */
        Task_Post(TASK_OWNER, TASK_PEER, MESSAGE_INBOUND_DONE,
                  &inbound->message);
        return;
    }
    if (inbound->procedure == PEER_CANCEL) {
        /* Not supported with request keys: callers may retry the request. */
        inbound->result.flag = FALSE;
        Task_Post(TASK_OWNER, TASK_PEER, MESSAGE_INBOUND_DONE,
                  &inbound->message);
        return;
    }
    if (inbound->procedure == PEER_ACCEPT_LOSS) {
        /* With request keys, no promotion waits for a log. */
        Inbound_SetText(inbound, false, "no promotion waits for a log");
        Task_Post(TASK_OWNER, TASK_PEER, MESSAGE_INBOUND_DONE,
                  &inbound->message);
        return;
    }
    answer_explain(inbound);
}

static void
report_busy(message_t *request)
{
    report_message_t *report =
        Cbw_LIST_ITEM(request, report_message_t, message);
    cbw_link_t *link = OwnerTask_State.instances.next;

    report->busy_count = 0;
    for (; link != &OwnerTask_State.instances; link = link->next) {
        const owner_instance_t *instance =
            Cbw_LIST_ITEM(link, owner_instance_t, link);
        report->busy_count += !CbwOwner_IsIdle(&instance->owner);
    }
    Task_Post(TASK_OWNER, TASK_MAIN, MESSAGE_DRAIN_REPORT, request);
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
        OwnerInstance_OnStoreDone(
            Cbw_LIST_ITEM(message, store_call_t, message));
        break;
    case MESSAGE_OUTBOUND_DONE:
        OwnerInstance_OnReachDone(Cbw_LIST_ITEM(message, outbound_t, message));
        break;
    case MESSAGE_INBOUND:
        answer_inbound(Cbw_LIST_ITEM(message, inbound_t, message));
        break;
    case MESSAGE_CONFIG:
        on_config(Cbw_LIST_ITEM(message, config_message_t, message));
        break;
    case MESSAGE_VIEW:
        on_view(message);
        break;
    case MESSAGE_DRAIN_REPORT:
        report_busy(message);
        break;
    case MESSAGE_DRAIN:
        /* Nothing to prepare: the other hosts choose the next owners once this
         * one leaves the membership. */
        Task_Post(TASK_OWNER, TASK_MAIN, MESSAGE_HANDED_OVER, message);
        break;
    default:
        break;
    }
}

/* Returns whether the instance has work to do. */
static bool
tick_instance(owner_instance_t *instance, cbw_time_t now)
{
    bool unneeded =
        instance->retiring ||
        (!instance->owned && now - instance->used_at > UNUSED_TIMEOUT);

    CbwOwner_Tick(&instance->owner, now);
    if (!CbwOwner_IsIdle(&instance->owner)) {
        return true;
    }
    if (unneeded) {
        OwnerInstance_Free(instance);
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
    Cbw_LIST_FOREACH (&OwnerTask_State.instances, link, safe) {
        busy |=
            tick_instance(Cbw_LIST_ITEM(link, owner_instance_t, link), now);
    }
    set_tick_interval(busy ? BUSY_TICK_SECONDS : IDLE_TICK_SECONDS);
}

void
OwnerTask_Start(daemon_t *daemon)
{
    const settings_t *settings = &daemon->settings;

    OwnerTask_State.daemon = daemon;
    OwnerTask_State.driver =
        CbwPlugin_Find(CBW_PLUGIN_ENDPOINT_DRIVER, settings->endpoint_driver);
    OwnerTask_State.policies = (cbw_owner_policies_t){
        .queue = CbwQueue_Policy(settings->queue_policy),
        .limit = CbwLimit_Policy(settings->limit_policy),
        .route = CbwRoute_Policy(settings->route_policy),
        .counters = &daemon->counters,
        .traces = &daemon->traces,
    };
    CbwList_Init(&OwnerTask_State.instances);
    Task_Register(daemon->loop, TASK_OWNER, handle, NULL);
    CbwTick_Init(&OwnerTask_State.timer, on_tick, BUSY_TICK_SECONDS,
                 BUSY_TICK_SECONDS);
    ev_timer_start(daemon->loop, &OwnerTask_State.timer);
}
