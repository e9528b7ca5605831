#include "read_pool.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "carobwind/placement.h"
#include "share/net.h"

/* An instance is freed when no read has arrived for this long. */
#define UNUSED_TIMEOUT (1500 * Cbw_MSEC)
/* How long the host that another one named as the owner is asked in place of
 * the first in rendezvous order. */
#define NAMED_OWNER_VALID_FOR (3 * Cbw_SEC)

static pool_instance_t *
find_instance(const char *database)
{
    cbw_link_t *link = PoolTask_State.instances.next;

    for (; link != &PoolTask_State.instances; link = link->next) {
        pool_instance_t *instance = Cbw_LIST_ITEM(link, pool_instance_t, link);
        if (instance->dispatches && !instance->unconfigured &&
            strcmp(instance->pool.database, database) == 0) {
            return instance;
        }
    }
    return NULL;
}

static const cbw_database_t *
find_database(const char *name)
{
    return CbwInventory_FindDatabase(&PoolTask_State.config->inventory, name);
}

bool
ReadPool_Submit(job_t *job, cbw_time_t now)
{
    const cbw_request_t *request = &job->request;
    pool_instance_t *instance = find_instance(request->database);
    const cbw_database_t *database;

    if (request->transaction != 0 && !request->begins) {
        if (instance == NULL ||
            !CbwPool_HasTransaction(&instance->pool, request->transaction)) {
            return false;
        }
    }
    else if (!request->dispatches) {
        return false;
    }
    if (instance == NULL) {
        database = find_database(request->database);
        if (database == NULL || PoolTask_State.draining) {
            job->request.answer.outcome = CBW_OUTCOME_PENDING;
            Task_Post(TASK_OWNER, job->reply_to, MESSAGE_JOB_DONE,
                      &job->message);
            return true;
        }
        instance = PoolInstance_NewForReads(database);
    }
    instance->used_at = now;
    CbwReadDispatch_OnRead(&instance->reads, now);
    CbwPool_Submit(&instance->pool, now, &job->request);
    return true;
}

void
ReadPool_UpdateEndpoints(pool_instance_t *instance)
{
    cbw_time_t now = CbwNet_Now();
    const cbw_database_t *database = find_database(instance->pool.database);
    const cbw_endpoint_t *endpoint =
        database != NULL
            ? CbwRegions_FindReadEndpoint(
                  &PoolTask_State.daemon->settings.regions, database,
                  PoolTask_State.daemon->settings.data_centre)
            : NULL;

    if (endpoint != NULL &&
        (!CbwReadDispatch_MayServe(&instance->reads, now) ||
         strcmp(endpoint->name, instance->leased_endpoint) != 0)) {
        endpoint = NULL;
    }
    if (endpoint == NULL ||
        instance->attached_connections != instance->reads.connections) {
        /* The number of connections is set as an endpoint is attached. */
        CbwPool_SetEndpoints(&instance->pool, now, NULL, 0);
        instance->attached_connections = 0;
    }
    if (endpoint != NULL) {
        instance->attached_connections = instance->reads.connections;
        CbwPool_SetEndpoints(&instance->pool, now, endpoint, 1);
    }
}

/* Returns the owner to ask, or NULL. */
static const cbw_member_t *
find_owner(const pool_instance_t *instance, const cbw_database_t *database,
           cbw_time_t now)
{
    const cbw_membership_t *members = &PoolTask_State.view->membership;
    const cbw_member_t *named =
        now < instance->asked_owner_until
            ? CbwMembership_Find(members, instance->asked_owner)
            : NULL;
    const cbw_member_t *owner =
        named != NULL
            ? named
            : CbwPlacement_FindOwner(members,
                                     &PoolTask_State.daemon->settings.regions,
                                     database, NULL, NULL);

    return owner != &members->members[0] ? owner : NULL;
}

static void
ask_owner(pool_instance_t *instance, cbw_time_t now)
{
    const cbw_database_t *database = find_database(instance->pool.database);
    const cbw_endpoint_t *endpoint;
    const cbw_member_t *owner;
    outbound_t *outbound;

    if (database == NULL) {
        return;
    }
    endpoint = CbwRegions_FindReadEndpoint(
        &PoolTask_State.daemon->settings.regions, database,
        PoolTask_State.daemon->settings.data_centre);
    owner = find_owner(instance, database, now);
    if (endpoint == NULL || owner == NULL) {
        return;
    }
    snprintf(instance->asked_endpoint, sizeof(instance->asked_endpoint), "%s",
             endpoint->name);
    outbound = Outbound_New(PEER_SAMPLE, owner->record.address);
    outbound->args.sample.database = strdup(database->name);
    outbound->args.sample.endpoint = strdup(endpoint->name);
    outbound->args.sample.holder = instance->pool.tenure.self.nonce;
    outbound->timeout = Cbw_READ_SAMPLE_TIMEOUT;
    outbound->reply_to = TASK_OWNER;
    outbound->context = (void *)(uintptr_t)instance->id;
    CbwReadDispatch_OnAsked(&instance->reads, now);
    CbwCounter_Add(&PoolTask_State.daemon->counters, CBW_COUNTER_SAMPLES_ASKED,
                   1);
    Task_Post(TASK_OWNER, TASK_PEER, MESSAGE_OUTBOUND, &outbound->message);
}

static void
apply_answer(pool_instance_t *instance, const peer_sample_result *result,
             cbw_time_t now)
{
    cbw_read_offer_t offer = {
        .owner = result->owner,
        .term = result->term,
        .position = {result->position_term, result->position_index},
        .age = result->age,
        .lease = result->lease,
        .connections = result->connections,
        .slots = result->slots,
    };

    if (!result->valid) {
        CbwReadDispatch_OnAnswer(&instance->reads, now, NULL);
        if (result->moved_to[0] != '\0') {
            snprintf(instance->asked_owner, sizeof(instance->asked_owner),
                     "%s", result->moved_to);
            instance->asked_owner_until = now + NAMED_OWNER_VALID_FOR;
        }
        return;
    }
    CbwReadDispatch_OnAnswer(&instance->reads, now, &offer);
    memcpy(instance->leased_endpoint, instance->asked_endpoint,
           sizeof(instance->leased_endpoint));
    if (instance->attached_connections != instance->reads.connections) {
        ReadPool_UpdateEndpoints(instance);
    }
}

void
ReadPool_OnSampleDone(outbound_t *outbound)
{
    pool_instance_t *instance =
        PoolInstance_FindById((uint64_t)(uintptr_t)outbound->context);
    cbw_time_t now = CbwNet_Now();

    if (instance != NULL && outbound->answered) {
        apply_answer(instance, &outbound->result.sample, now);
    }
    else if (instance != NULL) {
        CbwReadDispatch_OnAnswer(&instance->reads, now, NULL);
        instance->asked_owner_until = 0;
    }
    Outbound_Free(outbound);
}

bool
ReadPool_Tick(pool_instance_t *instance, cbw_time_t now)
{
    bool idle = CbwPool_IsIdle(&instance->pool);

    if (!idle) {
        /* Open transactions keep the lease. */
        CbwReadDispatch_OnRead(&instance->reads, now);
    }
    if (!instance->unconfigured && PoolTask_State.view != NULL &&
        CbwReadDispatch_IsAskDue(&instance->reads, now)) {
        ask_owner(instance, now);
    }
    if (instance->attached_connections > 0 &&
        !CbwReadDispatch_MayServe(&instance->reads, now)) {
        ReadPool_UpdateEndpoints(instance);
    }
    CbwPool_Tick(&instance->pool, now, false);
    if (CbwPool_IsIdle(&instance->pool) &&
        (instance->unconfigured || now - instance->used_at > UNUSED_TIMEOUT)) {
        PoolInstance_Free(instance);
        return false;
    }
    return !idle || instance->reads.asking ||
           CbwReadDispatch_MayServe(&instance->reads, now);
}

void
ReadPool_AnswerSample(inbound_t *inbound)
{
    const peer_sample_args *args = &inbound->args.sample;
    peer_sample_result *result = &inbound->result.sample;
    pool_instance_t *instance = PoolInstance_Find(args->database);
    cbw_time_t now = CbwNet_Now();
    cbw_read_offer_t offer;
    const char *moved_to = "";

    if (instance != NULL &&
        CbwPool_OfferReads(&instance->pool, now, args->holder, args->endpoint,
                           &offer)) {
        result->valid = TRUE;
        result->owner = offer.owner;
        result->term = offer.term;
        result->position_term = offer.position.term;
        result->position_index = offer.position.index;
        result->age = offer.age;
        result->lease = offer.lease;
        result->connections = offer.connections;
        result->slots = offer.slots;
    }
    else if (instance != NULL &&
             now - instance->moved_at < NAMED_OWNER_VALID_FOR) {
        moved_to = instance->moved_to;
    }
    result->moved_to = strdup(moved_to);
    Task_Post(TASK_OWNER, TASK_PEER, MESSAGE_INBOUND_DONE, &inbound->message);
}
