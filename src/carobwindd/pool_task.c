/* The pool task: runs as TASK_OWNER, in place of the owner task, when
 * endpoints keep no request keys. Runs a pool instance for each database that
 * this host owns or was sent requests for. A pool serves its database under a
 * tenure, a time-limited right held in the store. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cancel.h"
#include "carobwind/log.h"
#include "carobwind/nonce.h"
#include "carobwind/placement.h"
#include "carobwind/plugin.h"
#include "pool_handover.h"
#include "pool_instance.h"
#include "quota_exchange.h"
#include "read_pool.h"
#include "share/net.h"
#include "share/tick.h"

/* Interval between ticks while there is work, and while there is none. */
#define BUSY_TICK_SECONDS 0.01
#define IDLE_TICK_SECONDS 0.05
/* An unused pool of a database that another host owns is freed after this
 * time. */
#define UNUSED_TIMEOUT (1500 * Cbw_MSEC)
/* How long requests are redirected to a host that reaches the primary while
 * this one does not. */
#define MOVE_VALID_FOR (3 * Cbw_SEC)
#define REACH_CHECK_TIMEOUT_SECONDS 0.2
/* How long a host that is delayed itself continues to wait: longer than the
 * host that asked it. */
#define REACH_CHECK_ABSTAIN_SECONDS 0.5
#define EXPLAIN_TEXT_MAX 32768

static cbw_placement_t placement;

static void
set_tick_interval(double seconds)
{
    if (PoolTask_State.timer.repeat != seconds) {
        PoolTask_State.timer.repeat = seconds;
        ev_timer_again(PoolTask_State.daemon->loop, &PoolTask_State.timer);
    }
}

/* Makes the pool with this nonce relinquish its tenure. Returns whether that
 * pool has no tenure any more. */
static bool
relinquish(uint64_t nonce, cbw_time_t now)
{
    cbw_link_t *link = PoolTask_State.instances.next;

    for (; link != &PoolTask_State.instances; link = link->next) {
        pool_instance_t *instance = Cbw_LIST_ITEM(link, pool_instance_t, link);
        if (instance->pool.tenure.self.nonce == nonce) {
            return CbwPool_Relinquish(&instance->pool, now);
        }
    }
    return CbwNonce_HasEnded(nonce, PoolTask_State.daemon->owner_nonce, now,
                             PoolTask_State.orders_until);
}

/* Answers PEER_GIVE_UP. */
static void
answer_relinquish(inbound_t *inbound)
{
    inbound->result.flag =
        relinquish(inbound->args.give_up.nonce, CbwNet_Now());
    Task_Post(TASK_OWNER, TASK_PEER, MESSAGE_INBOUND_DONE, &inbound->message);
}

/* After the start, tells the member task when this host holds the tenure of
 * each database that it will own, or when POOL_PREPARE_TIMEOUT has passed. */
static void
check_prepared(cbw_time_t now)
{
    cbw_link_t *link = PoolTask_State.instances.next;
    message_t *message;

    if (PoolTask_State.prepared || PoolTask_State.config == NULL ||
        PoolTask_State.view == NULL) {
        return;
    }
    if (PoolTask_State.startup_deadline == 0) {
        PoolTask_State.startup_deadline = now + POOL_PREPARE_TIMEOUT;
    }
    for (; link != &PoolTask_State.instances; link = link->next) {
        const pool_instance_t *instance =
            Cbw_LIST_ITEM(link, pool_instance_t, link);
        if (instance->owned && now < PoolTask_State.startup_deadline &&
            !CbwTenure_IsValid(&instance->pool.tenure, now)) {
            return;
        }
    }
    PoolTask_State.prepared = true;
    message = calloc(1, sizeof(*message));
    if (message == NULL) {
        abort();
    }
    CbwList_Init(&message->link);
    Task_Post(TASK_OWNER, TASK_MEMBER, MESSAGE_PREPARED, message);
}

/* Starts a pool for each database that this host owns by rendezvous order, so
 * that it is ready when requests come. */
static void
claim_databases(void)
{
    const cbw_inventory_t *inventory;

    if (PoolTask_State.config == NULL || PoolTask_State.view == NULL) {
        return;
    }
    inventory = &PoolTask_State.config->inventory;
    /* A host that is not prepared yet starts what it will own. */
    CbwPlacement_Update(&placement, &PoolTask_State.view->membership,
                        &PoolTask_State.daemon->settings.regions, inventory,
                        !PoolTask_State.prepared);
    for (size_t i = 0; i < inventory->database_count; i++) {
        const cbw_database_t *database = &inventory->databases[i];
        bool owned_here =
            !PoolTask_State.draining && CbwPlacement_IsOwn(&placement, i);
        pool_instance_t *instance = PoolInstance_Find(database->name);
        if (owned_here && instance == NULL && database->endpoint_count > 0) {
            instance = PoolInstance_New(database);
        }
        if (instance != NULL) {
            instance->owned = owned_here;
            CbwHandover_SetPlacement(&instance->handover, owned_here,
                                     database->home_moved_at);
        }
    }
}

static void
on_config(config_message_t *message)
{
    cbw_link_t *link;
    cbw_link_t *safe;

    Config_Unref(PoolTask_State.config);
    PoolTask_State.config = message->config;
    free(message);
    PoolTask_State.mean_rate = CbwWorkspace_MeanRate(
        PoolTask_State.config->inventory.workspaces,
        PoolTask_State.config->inventory.workspace_count);
    Cbw_LIST_FOREACH (&PoolTask_State.instances, link, safe) {
        PoolInstance_UpdateEndpoints(
            Cbw_LIST_ITEM(link, pool_instance_t, link));
    }
    claim_databases();
}

static void
on_view(message_t *message)
{
    View_Replace(&PoolTask_State.view, message);
    claim_databases();
}

/* Requests. */

/* Hands the job back to be routed again. */
static void
hand_back(job_t *job)
{
    job->request.answer.outcome = CBW_OUTCOME_PENDING;
    Task_Post(TASK_OWNER, job->reply_to, MESSAGE_JOB_DONE, &job->message);
}

/* Whether the request should go to the host that ownership moved to. If that
 * host neither takes over nor was handed the database, it is the tenure's
 * holder, and the tenure record is read again after Cbw_POOL_DEFER_INTERVAL.
 */
static bool
has_moved(const pool_instance_t *instance, const job_t *job, cbw_time_t now)
{
    cbw_time_t valid_for = instance->moved_takes || instance->handed_over
                               ? MOVE_VALID_FOR
                               : Cbw_POOL_DEFER_INTERVAL;

    return instance->moved_to[0] != '\0' && !job->request.takes_over &&
           now - instance->moved_at < valid_for &&
           (job->request.transaction == 0 || job->request.begins);
}

/* Whether the request's workspace is gone by a later configuration than the
 * one by which its entry routed it. */
static bool
is_workspace_gone(const cbw_request_t *request)
{
    const cbw_inventory_t *inventory = &PoolTask_State.config->inventory;

    return request->workspace[0] != '\0' &&
           inventory->version > request->config_version &&
           (request->transaction == 0 || request->begins) &&
           CbwInventory_FindWorkspace(inventory, request->workspace) == NULL;
}

static void
refuse_workspace(job_t *job)
{
    CbwCounter_Add(&PoolTask_State.daemon->counters,
                   CBW_COUNTER_WORKSPACE_UNKNOWN, 1);
    job->request.answer.cause = CBW_CAUSE_UNAUTHORIZED;
    CbwRequest_End(&job->request, CBW_OUTCOME_NOTRUN,
                   "the workspace does not exist any more");
    Task_Post(TASK_OWNER, job->reply_to, MESSAGE_JOB_DONE, &job->message);
}

static void
on_cancel(cancel_message_t *message)
{
    PoolInstance_Cancel(message->database, message->id);
    free(message);
}

static void
submit(job_t *job)
{
    cbw_time_t now = CbwNet_Now();
    pool_instance_t *instance;

    if (PoolTask_State.config == NULL || PoolTask_State.view == NULL) {
        hand_back(job); /* not ready: a retry finds an owner */
        return;
    }
    if (is_workspace_gone(&job->request)) {
        refuse_workspace(job);
        return;
    }
    if (ReadPool_Submit(job, now)) {
        set_tick_interval(BUSY_TICK_SECONDS);
        return;
    }
    instance = PoolInstance_Find(job->request.database);
    if (instance == NULL) {
        const cbw_database_t *database = CbwInventory_FindDatabase(
            &PoolTask_State.config->inventory, job->request.database);
        if (database == NULL || PoolTask_State.draining) {
            hand_back(job); /* its sender may have a newer configuration */
            return;
        }
        instance = PoolInstance_New(database);
    }
    instance->used_at = now;
    if (has_moved(instance, job, now)) {
        memcpy(job->moved_to, instance->moved_to, sizeof(job->moved_to));
        job->moved_takes = instance->moved_takes;
        hand_back(job);
        return;
    }
    job->request.weight = PoolInstance_Weight(job->request.workspace);
    CbwPool_Submit(&instance->pool, now, &job->request);
    set_tick_interval(BUSY_TICK_SECONDS);
}

/* Peers and operators. */

/* A peer's PEER_REACH call while a state call to the endpoint is in flight. */
typedef struct {
    inbound_t *inbound;
    endpoint_link_t *link;
    ev_timer timer;
} reach_check_t;

static void
finish_reach_check(reach_check_t *check, bool reached)
{
    ev_timer_stop(PoolTask_State.daemon->loop, &check->timer);
    PoolTask_State.driver->close(check->link);
    check->inbound->result.flag = reached;
    Task_Post(TASK_OWNER, TASK_PEER, MESSAGE_INBOUND_DONE,
              &check->inbound->message);
    free(check);
}

static void
on_reach_check_reply(void *context, uint64_t id, const cbw_reply_t *reply)
{
    (void)id;
    finish_reach_check(context, reply->status == CBW_REPLY_OK ||
                                    reply->status == CBW_REPLY_BUSY);
}

static const endpoint_events_t reach_check_events = {.on_reply =
                                                         on_reach_check_reply};

/* A witness that is delayed itself must not report the endpoint as
 * unreachable: it waits until its answer comes too late to count. */
static void
on_reach_check_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    if (PoolTask_State.daemon->local_delay > 0 && timer->repeat == 0) {
        timer->repeat = REACH_CHECK_ABSTAIN_SECONDS;
        ev_timer_again(PoolTask_State.daemon->loop, timer);
        return;
    }
    finish_reach_check(timer->data, false);
}

static void
start_reach_check(inbound_t *inbound)
{
    reach_check_t *check = calloc(1, sizeof(*check));
    cbw_call_t call = {.id = 1, .verb = CBW_CALL_STATE, .key = ""};
    cbw_endpoint_t endpoint = {.slots = 1};

    if (check == NULL) {
        abort();
    }
    snprintf(endpoint.name, sizeof(endpoint.name), "%s",
             inbound->args.reach.endpoint);
    snprintf(endpoint.address, sizeof(endpoint.address), "%s",
             inbound->args.reach.address);
    check->inbound = inbound;
    check->link = PoolTask_State.driver->open(
        PoolTask_State.daemon, inbound->args.reach.database, &endpoint, 1,
        &reach_check_events, check);
    CbwTick_Init(&check->timer, on_reach_check_timeout,
                 REACH_CHECK_TIMEOUT_SECONDS, 0);
    check->timer.data = check;
    ev_timer_start(PoolTask_State.daemon->loop, &check->timer);
    if (!PoolTask_State.driver->call(check->link, &call)) {
        finish_reach_check(check, false);
    }
}

/* Prepares to own a database that the present owner still serves. The call is
 * answered when this host is ready. */
static void
start_preparing(inbound_t *inbound)
{
    const char *name = inbound->args.prepare.database;
    pool_instance_t *instance = PoolInstance_Find(name);
    const cbw_database_t *database =
        PoolTask_State.config != NULL
            ? CbwInventory_FindDatabase(&PoolTask_State.config->inventory,
                                        name)
            : NULL;

    if (instance == NULL && database != NULL && !PoolTask_State.draining &&
        PoolTask_State.view != NULL) {
        instance = PoolInstance_New(database);
    }
    if (instance == NULL || instance->prepare_call != NULL) {
        inbound->result.flag = FALSE;
        Task_Post(TASK_OWNER, TASK_PEER, MESSAGE_INBOUND_DONE,
                  &inbound->message);
        return;
    }
    instance->used_at = CbwNet_Now();
    instance->prepare_call = inbound;
    instance->prepare_deadline = CbwNet_Now() + POOL_PREPARE_TIMEOUT;
    set_tick_interval(BUSY_TICK_SECONDS);
}

static void
answer_accept_loss(inbound_t *inbound)
{
    const peer_accept_loss_args *args = &inbound->args.accept_loss;
    pool_instance_t *instance = PoolInstance_Find(args->database);
    cbw_error_t error = {.text = "this host runs no owner of this database"};
    bool accepted =
        instance != NULL && CbwPool_AcceptLoss(&instance->pool, CbwNet_Now(),
                                               args->endpoint, &error) == 0;

    Inbound_SetText(inbound, accepted, accepted ? "" : error.text);
    Task_Post(TASK_OWNER, TASK_PEER, MESSAGE_INBOUND_DONE, &inbound->message);
}

static void
answer_inbound(inbound_t *inbound)
{
    static char text[EXPLAIN_TEXT_MAX];
    pool_instance_t *instance;

    if (inbound->procedure == PEER_REACH) {
        start_reach_check(inbound);
        return;
    }
    if (inbound->procedure == PEER_GIVE_UP) {
        answer_relinquish(inbound);
        return;
    }
    if (inbound->procedure == PEER_PREPARE) {
        start_preparing(inbound);
        return;
    }
    if (inbound->procedure == PEER_QUOTA) {
        QuotaExchange_Answer(inbound);
        Task_Post(TASK_OWNER, TASK_PEER, MESSAGE_INBOUND_DONE,
                  &inbound->message);
        return;
    }
    if (inbound->procedure == PEER_CANCEL) {
        inbound->result.flag = PoolInstance_Cancel(
            inbound->args.cancel.database, inbound->args.cancel.id);
        Task_Post(TASK_OWNER, TASK_PEER, MESSAGE_INBOUND_DONE,
                  &inbound->message);
        return;
    }
    if (inbound->procedure == PEER_SAMPLE) {
        ReadPool_AnswerSample(inbound);
        return;
    }
    if (inbound->procedure == PEER_ACCEPT_LOSS) {
        answer_accept_loss(inbound);
        return;
    }
    instance = PoolInstance_Find(inbound->args.text.subject);
    if (instance == NULL) {
        Inbound_SetText(inbound, false,
                        "this host runs no owner of this database");
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
    cbw_time_t now = CbwNet_Now();
    cbw_link_t *link = PoolTask_State.instances.next;

    report->busy_count = 0;
    for (; link != &PoolTask_State.instances; link = link->next) {
        const pool_instance_t *instance =
            Cbw_LIST_ITEM(link, pool_instance_t, link);
        /* The lease of a promotion that has ended is not waited for: the
         * tenure is kept in the record then. */
        bool promoting = instance->pool.phase >= CBW_POOL_CHOOSING_CANDIDATE &&
                         CbwPool_IsPromoting(&instance->pool, now);
        report->busy_count += !CbwPool_IsIdle(&instance->pool) || promoting ||
                              instance->pool.tenure.call_in_flight;
    }
    Task_Post(TASK_OWNER, TASK_MAIN, MESSAGE_DRAIN_REPORT, request);
}

static void
report_handover(void)
{
    message_t *message = calloc(1, sizeof(*message));

    if (message == NULL) {
        abort();
    }
    CbwList_Init(&message->link);
    Task_Post(TASK_OWNER, TASK_MAIN, MESSAGE_HANDED_OVER, message);
}

static void
on_prepare_done(outbound_t *outbound)
{
    Outbound_Free(outbound);
    if (--PoolTask_State.handovers_pending == 0) {
        report_handover();
    }
}

static void
on_outbound_done(outbound_t *outbound)
{
    if (outbound->procedure == PEER_PREPARE && outbound->context != NULL) {
        PoolHandover_OnDone(outbound);
    }
    else if (outbound->procedure == PEER_PREPARE) {
        on_prepare_done(outbound);
    }
    else if (outbound->procedure == PEER_QUOTA) {
        QuotaExchange_OnDone(outbound);
    }
    else if (outbound->procedure == PEER_SAMPLE) {
        ReadPool_OnSampleDone(outbound);
    }
    else if (outbound->procedure == PEER_GIVE_UP) {
        PoolInstance_OnRelinquishDone(outbound);
    }
    else {
        PoolInstance_OnReachDone(outbound);
    }
}

/* Asks the database's next owner to prepare, as this host leaves. */
static void
prepare_next_owner(pool_instance_t *instance)
{
    if ((instance->owned ||
         CbwHandover_IsPending(&instance->handover, CbwNet_Now(),
                               instance->pool.tenure.held)) &&
        PoolHandover_AskNextOwner(instance, NULL)) {
        PoolTask_State.handovers_pending++;
    }
}

/* Databases are handed over before peers are told that this host leaves; it
 * serves them meanwhile. */
static void
on_drain(void)
{
    cbw_link_t *link = PoolTask_State.instances.next;

    for (; link != &PoolTask_State.instances; link = link->next) {
        prepare_next_owner(Cbw_LIST_ITEM(link, pool_instance_t, link));
    }
    PoolTask_State.draining = true;
    if (PoolTask_State.handovers_pending == 0) {
        report_handover();
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
    case MESSAGE_CANCEL:
        on_cancel(Cbw_LIST_ITEM(message, cancel_message_t, message));
        break;
    case MESSAGE_STORE_DONE:
        PoolInstance_OnStoreDone(
            Cbw_LIST_ITEM(message, store_call_t, message));
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
        on_view(message);
        break;
    case MESSAGE_DRAIN_REPORT:
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

/* Returns whether the instance carries out a promotion that must end before
 * the instance does. A promotion of a database that is not configured any more
 * may never end, and nobody waits for it: it is abandoned with the tenure. */
static bool
has_promotion_to_end(const pool_instance_t *instance, cbw_time_t now)
{
    return CbwPool_IsPromoting(&instance->pool, now) &&
           (!instance->unconfigured ||
            CbwTenure_IsValid(&instance->pool.tenure, now));
}

/* Returns whether the instance has work to do. */
static bool
tick_instance(pool_instance_t *instance, cbw_time_t now)
{
    bool handing_over = CbwHandover_IsPending(&instance->handover, now,
                                              instance->pool.tenure.held);
    bool needed = instance->owned || handing_over ||
                  now - instance->used_at <= UNUSED_TIMEOUT;
    bool idle;

    PoolHandover_Tick(instance, now);
    CbwPool_SetAssigned(&instance->pool, instance->prepare_call != NULL ||
                                             CbwHandover_IsAssigned(
                                                 &instance->handover, now,
                                                 instance->pool.tenure.held));
    CbwPool_SetDraining(&instance->pool, PoolTask_State.draining);
    CbwPool_SetObserver(&instance->pool, PoolTask_State.daemon->local_delay,
                        PoolTask_State.view != NULL &&
                            PoolTask_State.view->membership.count >
                                Cbw_MEMBERSHIP_SMALL);
    /* A draining host continues to serve under the tenure that it holds, but
     * renews it only to end a promotion. */
    CbwPool_Tick(&instance->pool, now,
                 !instance->unconfigured &&
                     ((needed && !PoolTask_State.draining) ||
                      instance->pool.phase >= CBW_POOL_CLAIMING));
    QuotaExchange_Tick(instance, now);
    if (instance->prepare_call != NULL &&
        (CbwTenure_IsValid(&instance->pool.tenure, now) ||
         now >= instance->prepare_deadline)) {
        PoolInstance_AnswerPrepare(instance);
    }
    needed = needed || has_promotion_to_end(instance, now) ||
             CbwPool_HasLease(&instance->pool, now);
    idle = CbwPool_IsIdle(&instance->pool);
    if (idle && !needed && !instance->released &&
        CbwPool_Release(&instance->pool, now)) {
        /* The next owner then need not wait for the tenure to expire. */
        instance->released = true;
        return true;
    }
    if (needed && instance->released) {
        instance->released = false;
        instance->pool.stopping = false; /* set by CbwPool_Release */
    }
    if (idle && !needed && !instance->pool.tenure.call_in_flight) {
        PoolInstance_Free(instance);
        return false;
    }
    return !idle || instance->pool.phase != CBW_POOL_SERVING ||
           instance->prepare_call != NULL;
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
    Cbw_LIST_FOREACH (&PoolTask_State.instances, link, safe) {
        pool_instance_t *instance = Cbw_LIST_ITEM(link, pool_instance_t, link);
        busy |= instance->dispatches ? ReadPool_Tick(instance, now)
                                     : tick_instance(instance, now);
    }
    check_prepared(now);
    busy |= !PoolTask_State.prepared;
    set_tick_interval(busy ? BUSY_TICK_SECONDS : IDLE_TICK_SECONDS);
}

void
PoolTask_Start(daemon_t *daemon)
{
    const settings_t *settings = &daemon->settings;

    PoolTask_State.daemon = daemon;
    PoolTask_State.orders_until = CbwNet_Now();
    daemon->prepares_before_serving = true;
    PoolTask_State.driver =
        CbwPlugin_Find(CBW_PLUGIN_ENDPOINT_DRIVER, settings->endpoint_driver);
    PoolTask_State.promotion_driver =
        CbwPlugin_Find(CBW_PLUGIN_ORDER_DRIVER, settings->order_driver);
    CbwList_Init(&PoolTask_State.instances);
    Task_Register(daemon->loop, TASK_OWNER, handle, NULL);
    CbwTick_Init(&PoolTask_State.timer, on_tick, IDLE_TICK_SECONDS,
                 IDLE_TICK_SECONDS);
    ev_timer_start(daemon->loop, &PoolTask_State.timer);
}
