#include "owner_instance.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "carobwind/log.h"
#include "share/net.h"

/* How many peers are asked whether they reach a primary. */
#define REACH_PEERS 3
#define REACH_CALL_TIMEOUT (250 * Cbw_MSEC)
#define GROUP_KEY_FORMAT "group/%s"

owner_task_t OwnerTask_State;

static owner_instance_t *
find_by_id(uint64_t id)
{
    cbw_link_t *link = OwnerTask_State.instances.next;

    for (; link != &OwnerTask_State.instances; link = link->next) {
        owner_instance_t *instance =
            Cbw_LIST_ITEM(link, owner_instance_t, link);
        if (instance->id == id) {
            return instance;
        }
    }
    return NULL;
}

owner_instance_t *
OwnerInstance_Find(const char *database)
{
    cbw_link_t *link = OwnerTask_State.instances.next;

    for (; link != &OwnerTask_State.instances; link = link->next) {
        owner_instance_t *instance =
            Cbw_LIST_ITEM(link, owner_instance_t, link);
        if (!instance->retiring &&
            strcmp(instance->owner.database->name, database) == 0) {
            return instance;
        }
    }
    return NULL;
}

/* Operations that the kernel's owner calls. */

static bool
op_call(void *context, int endpoint, const cbw_call_t *call)
{
    owner_instance_t *instance = context;

    return OwnerTask_State.driver->call(instance->endpoint_links[endpoint],
                                        call);
}

static void
op_abort(void *context, int endpoint, uint64_t id)
{
    owner_instance_t *instance = context;

    OwnerTask_State.driver->abort(instance->endpoint_links[endpoint], id);
}

static void
op_end_transaction(void *context, int endpoint, uint64_t transaction,
                   bool clean)
{
    owner_instance_t *instance = context;

    OwnerTask_State.driver->end_transaction(instance->endpoint_links[endpoint],
                                            transaction, clean);
}

static void
op_answer(void *context, cbw_request_t *request)
{
    owner_instance_t *instance = context;
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
post_store_call(owner_instance_t *instance, store_call_t *call)
{
    call->reply_to = TASK_OWNER;
    call->context = (void *)(uintptr_t)instance->id;
    Task_Post(TASK_OWNER, TASK_STORE, MESSAGE_STORE, &call->message);
}

static void
format_group_key(const owner_instance_t *instance, char *key, size_t size)
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
on_record(owner_instance_t *instance, const store_call_t *call)
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

void
OwnerInstance_OnStoreDone(store_call_t *call)
{
    owner_instance_t *instance =
        find_by_id((uint64_t)(uintptr_t)call->context);

    if (instance != NULL && call->verb == STORE_GET) {
        on_record(instance, call);
    }
    else if (instance != NULL) {
        CbwOwner_OnSwap(&instance->owner, CbwNet_Now(), call->status,
                        call->version);
    }
    StoreCall_Free(call);
}

/* Asks peers in other data centres whether they reach a primary that this host
 * does not reach. */

static void
ask_peer(owner_instance_t *instance, const cbw_member_record_t *peer,
         const char *address)
{
    outbound_t *outbound = Outbound_New(PEER_REACH, peer->address);

    outbound->args.reach.address = strdup(address);
    outbound->args.reach.database = strdup("");
    outbound->args.reach.endpoint = strdup("");
    memcpy(outbound->name, peer->name, sizeof(outbound->name));
    outbound->timeout = REACH_CALL_TIMEOUT;
    outbound->reply_to = TASK_OWNER;
    outbound->context = (void *)(uintptr_t)instance->id;
    instance->reach_calls_pending++;
    Task_Post(TASK_OWNER, TASK_PEER, MESSAGE_OUTBOUND, &outbound->message);
}

static void
op_ask_reach(void *context, int endpoint)
{
    owner_instance_t *instance = context;
    const cbw_membership_t *members = &OwnerTask_State.view->membership;
    const char *own = OwnerTask_State.daemon->settings.data_centre;
    size_t offset = (size_t)instance->id;

    instance->reach_calls_pending = 0;
    for (size_t i = 0;
         i < members->count && instance->reach_calls_pending < REACH_PEERS;
         i++) {
        const cbw_member_record_t *peer =
            &members->members[(i + offset) % members->count].record;
        if (peer->state == CBW_MEMBER_ALIVE &&
            !CbwMembership_IsEndpoint(peer) &&
            strcmp(peer->data_centre, own) != 0) {
            ask_peer(instance, peer,
                     instance->owner.database->endpoints[endpoint].address);
        }
    }
    if (instance->reach_calls_pending == 0) {
        CbwOwner_OnReach(&instance->owner, CbwNet_Now(), NULL);
    }
}

void
OwnerInstance_OnReachDone(outbound_t *outbound)
{
    owner_instance_t *instance =
        find_by_id((uint64_t)(uintptr_t)outbound->context);

    if (instance != NULL) {
        cbw_time_t now = CbwNet_Now();
        instance->reach_calls_pending--;
        if (outbound->answered && outbound->result.flag) {
            CbwOwner_OnReach(&instance->owner, now, outbound->name);
        }
        else if (instance->reach_calls_pending == 0) {
            CbwOwner_OnReach(&instance->owner, now, NULL);
        }
    }
    Outbound_Free(outbound);
}

static void
op_move(void *context, const char *host)
{
    owner_instance_t *instance = context;

    CbwLog_Write(CBW_LOG_WARNING, "owner", "moved", "database=%s host=%s",
                 instance->owner.database->name, host);
    snprintf(instance->moved_to, sizeof(instance->moved_to), "%s", host);
    instance->moved_at = CbwNet_Now();
    CbwOwner_ReturnUnsent(&instance->owner);
}

static const cbw_owner_ops_t owner_ops = {
    .call = op_call,
    .abort = op_abort,
    .end_transaction = op_end_transaction,
    .answer = op_answer,
    .read_record = op_read_record,
    .swap_record = op_swap_record,
    .ask_reach = op_ask_reach,
    .move_ownership = op_move,
};

static void
on_reply(void *context, uint64_t id, const cbw_reply_t *reply)
{
    endpoint_context_t *link_context = context;

    CbwOwner_OnReply(&link_context->instance->owner, CbwNet_Now(), id, reply);
}

static const endpoint_events_t endpoint_events = {.on_reply = on_reply};

/* Instances. */

void
OwnerInstance_UpdateLeaving(owner_instance_t *instance)
{
    const cbw_database_t *database = instance->owner.database;

    for (int i = 0; i < database->endpoint_count; i++) {
        const cbw_endpoint_t *endpoint = &database->endpoints[i];
        bool listed =
            OwnerTask_State.view != NULL &&
            CbwMembership_IsEndpointLeaving(&OwnerTask_State.view->membership,
                                            endpoint->address);
        CbwOwner_SetLeaving(&instance->owner, i, endpoint->leaving || listed);
    }
}

owner_instance_t *
OwnerInstance_New(const cbw_database_t *database)
{
    owner_instance_t *instance = calloc(1, sizeof(*instance));
    uint64_t nonce;

    if (instance == NULL) {
        abort();
    }
    instance->id = ++OwnerTask_State.next_id;
    instance->used_at = CbwNet_Now();
    instance->config = Config_Ref(OwnerTask_State.config);
    CbwList_Init(&instance->link);
    CbwList_Append(&OwnerTask_State.instances, &instance->link);
    /* Each promotion attempt adds 1 to its instance's nonce: the low 20 bits
     * are left for attempts, so that instances do not collide. */
    nonce = OwnerTask_State.daemon->nonce + (instance->id << 20);
    CbwOwner_Init(&instance->owner, &instance->config->inventory, database,
                  &OwnerTask_State.policies, &owner_ops, instance, nonce,
                  CbwNet_Now());
    for (int i = 0; i < database->endpoint_count; i++) {
        instance->endpoint_contexts[i] = (endpoint_context_t){instance, i};
        instance->endpoint_links[i] = OwnerTask_State.driver->open(
            OwnerTask_State.daemon, database->name, &database->endpoints[i],
            instance->owner.group.endpoints[i].limit.maximum, &endpoint_events,
            &instance->endpoint_contexts[i]);
    }
    OwnerInstance_UpdateLeaving(instance);
    CbwLog_Write(CBW_LOG_INFO, "owner", "started", "database=%s",
                 database->name);
    return instance;
}

void
OwnerInstance_Free(owner_instance_t *instance)
{
    CbwLog_Write(CBW_LOG_INFO, "owner", "stopped", "database=%s",
                 instance->owner.database->name);
    for (int i = 0; i < instance->owner.database->endpoint_count; i++) {
        OwnerTask_State.driver->close(instance->endpoint_links[i]);
    }
    CbwOwner_Finish(&instance->owner, CbwNet_Now());
    CbwList_Remove(&instance->link);
    Config_Unref(instance->config);
    free(instance);
}
