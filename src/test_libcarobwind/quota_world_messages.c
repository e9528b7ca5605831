#include "quota_world_parts.h"

#include <glib.h>
#include <stdlib.h>

typedef enum { CLAIM, ANSWER, ASK } message_kind_t;

typedef struct {
    cbw_link_t link;
    message_kind_t kind;
    cbw_time_t due;
    int from;
    int to;
    uint64_t to_nonce; /* ANSWER: of the process that made the claim */
    int database;      /* of the owner that claims or is asked */
    uint64_t term;
    uint64_t number;
    cbw_quota_stamp_t stamp;
    size_t count;
    union {
        cbw_quota_claim_t claims[QUOTA_WORKSPACES_MAX];
        cbw_quota_grant_t grants[QUOTA_WORKSPACES_MAX];
        char names[QUOTA_WORKSPACES_MAX][Cbw_NAME_MAX];
    };
} sim_message_t;

static void
post(quota_world_t *world, const sim_message_t *message)
{
    sim_message_t *copy;
    cbw_time_t delay =
        Cbw_MSEC + (cbw_time_t)CbwRandom_Below(&world->random, 10 * Cbw_MSEC);

    if (message->from != message->to) {
        world->message_count++;
        if (world->hosts[message->from].cut_off ||
            world->hosts[message->to].cut_off ||
            CbwRandom_Unit(&world->random) < world->faults.lost_messages) {
            return;
        }
        if (CbwRandom_Unit(&world->random) < world->faults.delayed_messages) {
            delay = (cbw_time_t)CbwRandom_Below(&world->random, 6 * Cbw_SEC);
        }
    }
    copy = malloc(sizeof(*copy));
    g_assert_nonnull(copy);
    *copy = *message;
    CbwList_Init(&copy->link);
    copy->due = world->now + (message->from == message->to ? 0 : delay);
    CbwList_Append(&world->messages, &copy->link);
}

typedef struct {
    quota_world_t *world;
    quota_owner_t *owner;
    int host; /* that the message goes to; -1: not chosen */
} target_t;

static int
database_index(const char *name)
{
    return name[1] - '0';
}

static bool
choose_target(void *context, const char *granter)
{
    target_t *target = context;
    int host = target->world->holders[database_index(granter)];

    if (target->host < 0 &&
        target->world->now - target->owner->message_at[host] >=
            Cbw_QUOTA_CLAIM_INTERVAL) {
        target->host = host;
    }
    return host == target->host;
}

void
QuotaWorld_SendClaims_(quota_world_t *world, int host, int database)
{
    quota_owner_t *owner = &world->hosts[host].owners[database];

    for (;;) {
        target_t target = {world, owner, -1};
        sim_message_t message = {.kind = CLAIM, .from = host};
        message.count = CbwQuota_MakeClaims(
            &owner->quota, world->now, choose_target, &target, message.claims,
            QUOTA_WORKSPACES_MAX, &message.number);
        if (message.count == 0) {
            return;
        }
        owner->message_at[target.host] = world->now;
        message.to = target.host;
        message.to_nonce = world->hosts[host].nonce;
        message.database = database;
        message.term = owner->term;
        post(world, &message);
    }
}

void
QuotaWorld_SendAsks_(quota_world_t *world, int host, int database)
{
    quota_owner_t *owner = &world->hosts[host].owners[database];

    for (int i = 0; i < QUOTA_DATABASES; i++) {
        sim_message_t message = {
            .kind = ASK,
            .from = host,
            .to = world->holders[i],
            .database = i,
            .stamp = {owner->granter.nonce, world->now},
        };
        message.count = CbwQuotaGranter_MakeLendRequests(
            &owner->granter, world->now, world->databases[i].name,
            message.names, QUOTA_WORKSPACES_MAX);
        if (message.count > 0) {
            post(world, &message);
        }
    }
}

static void
answer_claims(quota_world_t *world, const sim_message_t *message)
{
    quota_host_t *host = &world->hosts[message->to];
    sim_message_t answer = {
        .kind = ANSWER,
        .from = message->to,
        .to = message->from,
        .to_nonce = message->to_nonce,
        .database = message->database,
        .number = message->number,
    };

    for (size_t i = 0; i < message->count; i++) {
        const cbw_database_t *granter = CbwQuota_FindGranter(
            &world->inventory, message->claims[i].workspace);
        quota_owner_t *owner = &host->owners[database_index(granter->name)];
        if (owner->exists &&
            CbwQuotaGranter_OnClaim(&owner->granter, world->now,
                                    world->databases[message->database].name,
                                    Cbw_QUOTA_WHOLE / QUOTA_DATABASES,
                                    message->term, message->number,
                                    &message->claims[i],
                                    &answer.grants[answer.count])) {
            answer.count++;
        }
    }
    if (answer.count > 0) {
        post(world, &answer);
    }
}

static void
deliver(quota_world_t *world, const sim_message_t *message)
{
    quota_host_t *host = &world->hosts[message->to];
    quota_owner_t *owner = &host->owners[message->database];

    if (message->kind == CLAIM) {
        answer_claims(world, message);
        return;
    }
    for (size_t i = 0; i < message->count && owner->exists; i++) {
        if (message->kind == ASK) {
            CbwQuota_OnLendRequest(&owner->quota, world->now,
                                   message->names[i], message->stamp);
        }
        else if (message->to_nonce == host->nonce) {
            CbwQuota_OnGrant(&owner->quota, world->now, message->number,
                             &message->grants[i]);
        }
    }
}

void
QuotaWorld_DeliverMessages_(quota_world_t *world)
{
    cbw_link_t *link;
    cbw_link_t *safe;

    Cbw_LIST_FOREACH (&world->messages, link, safe) {
        sim_message_t *message = Cbw_LIST_ITEM(link, sim_message_t, link);
        const quota_host_t *host = &world->hosts[message->to];
        if (world->now < message->due ||
            (host->alive && world->now < host->frozen_until)) {
            continue;
        }
        if (host->alive) {
            deliver(world, message);
        }
        CbwList_Remove(link);
        free(message);
    }
}

void
QuotaWorld_FreeMessages_(quota_world_t *world)
{
    cbw_link_t *link;

    while ((link = CbwList_TakeFirst(&world->messages)) != NULL) {
        free(Cbw_LIST_ITEM(link, sim_message_t, link));
    }
}
