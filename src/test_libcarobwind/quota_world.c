#include "quota_world_parts.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TENURE (6 * Cbw_SEC)
/* How long an owner whose tenure has ended serves by confirmation of the
 * endpoints. */
#define CONFIRMED_FOR (500 * Cbw_MSEC)

/* Owners. */

static void
start_owner(quota_world_t *world, int host, int database)
{
    quota_host_t *h = &world->hosts[host];
    quota_owner_t *owner = &h->owners[database];

    if (!owner->exists) {
        memset(owner, 0, sizeof(*owner));
        owner->exists = true;
        CbwQuota_Init(&owner->quota, world->now, NULL);
        CbwQuota_SetInventory(&owner->quota, world->now, &world->inventory);
        CbwQuotaGranter_Init(&owner->granter, h->nonce, NULL);
    }
    owner->serves_until = Cbw_NEVER;
}

static void
finish_owner(quota_owner_t *owner)
{
    if (owner->exists) {
        CbwQuota_Finish(&owner->quota);
        CbwQuotaGranter_Finish(&owner->granter);
        memset(owner, 0, sizeof(*owner));
    }
}

static void
take_tenure(quota_world_t *world, int host, int database)
{
    quota_owner_t *owner = &world->hosts[host].owners[database];

    start_owner(world, host, database);
    owner->holds = true;
    owner->term = ++world->last_term;
    owner->valid_until = world->now + TENURE;
    world->holders[database] = host;
    CbwQuota_BeginTerm(&owner->quota, world->now, owner->term);
}

bool
QuotaWorld_IsRunning_(const quota_world_t *world, const quota_host_t *host)
{
    return host->alive && world->now >= host->frozen_until;
}

/* Renews the tenure of each holder that reaches the store. Another host takes
 * one over that has expired. */
static void
update_tenures(quota_world_t *world)
{
    for (int i = 0; i < QUOTA_DATABASES; i++) {
        quota_host_t *host = &world->hosts[world->holders[i]];
        quota_owner_t *owner = &host->owners[i];
        int next = (world->holders[i] + 5) % QUOTA_HOSTS;
        if (QuotaWorld_IsRunning_(world, host) && !host->cut_off) {
            if (owner->exists && owner->holds) {
                owner->valid_until = world->now + TENURE;
            }
            else {
                take_tenure(world, world->holders[i], i);
            }
        }
        else if (host->owners[i].exists ? world->now >= owner->valid_until
                                        : world->now >= host->back_at) {
            if (QuotaWorld_IsRunning_(world, &world->hosts[next]) &&
                !world->hosts[next].cut_off) {
                owner->holds = false;
                owner->serves_until = world->now + CONFIRMED_FOR;
                take_tenure(world, next, i);
            }
        }
    }
}

static void
start_host(quota_world_t *world, int host)
{
    quota_host_t *h = &world->hosts[host];

    h->alive = true;
    h->nonce = ++world->last_nonce;
}

/* The world. */

quota_world_t *
QuotaWorld_New(uint64_t seed)
{
    quota_world_t *world = calloc(1, sizeof(*world));

    g_assert_nonnull(world);
    CbwRandom_Init(&world->random, seed);
    CbwList_Init(&world->messages);
    CbwList_Init(&world->operations);
    world->now = 100 * Cbw_SEC;
    world->inventory.databases = world->databases;
    world->inventory.database_count = QUOTA_DATABASES;
    world->inventory.workspaces = world->limits;
    for (int i = 0; i < QUOTA_DATABASES; i++) {
        snprintf(world->databases[i].name, Cbw_NAME_MAX, "d%d", i);
        world->holders[i] = i;
    }
    for (int i = 0; i < QUOTA_HOSTS; i++) {
        start_host(world, i);
    }
    return world;
}

void
QuotaWorld_Free(quota_world_t *world)
{
    for (int i = 0; i < QUOTA_HOSTS; i++) {
        for (int j = 0; j < QUOTA_DATABASES; j++) {
            finish_owner(&world->hosts[i].owners[j]);
        }
    }
    QuotaWorld_FreeMessages_(world);
    QuotaWorld_FreeOperations_(world);
    for (size_t i = 0; i < world->inventory.workspace_count; i++) {
        free(world->workspaces[i].history);
    }
    free(world);
}

int
QuotaWorld_AddWorkspace(quota_world_t *world, double rate, double burst)
{
    int index = (int)world->inventory.workspace_count++;

    snprintf(world->limits[index].name, Cbw_NAME_MAX, "w%d", index);
    world->workspaces[index].history = calloc(HISTORY_MAX, sizeof(cbw_time_t));
    world->workspaces[index].demand.database = -1;
    QuotaWorld_SetLimit(world, index, rate, burst);
    return index;
}

void
QuotaWorld_SetLimit(quota_world_t *world, int workspace, double rate,
                    double burst)
{
    sim_workspace_t *w = &world->workspaces[workspace];

    if (w->limit_count == LIMITS_MAX) {
        memmove(&w->limits[0], &w->limits[1],
                (LIMITS_MAX - 1) * sizeof(w->limits[0]));
        w->limit_count--;
    }
    w->limits[w->limit_count++] =
        (sim_limit_t){world->now, (rate * 5 + burst) * 1.1 + 20};
    world->limits[workspace].rate = rate;
    world->limits[workspace].burst = burst;
    for (int i = 0; i < QUOTA_HOSTS; i++) {
        for (int j = 0; j < QUOTA_DATABASES; j++) {
            quota_owner_t *owner = &world->hosts[i].owners[j];
            if (owner->exists) {
                CbwQuota_SetInventory(&owner->quota, world->now,
                                      &world->inventory);
            }
        }
    }
}

quota_demand_t *
QuotaWorld_Demand(quota_world_t *world, int workspace)
{
    return &world->workspaces[workspace].demand;
}

quota_faults_t *
QuotaWorld_Faults(quota_world_t *world)
{
    return &world->faults;
}

cbw_random_t *
QuotaWorld_Random(quota_world_t *world)
{
    return &world->random;
}

quota_host_t *
QuotaWorld_Host(quota_world_t *world, int host)
{
    return &world->hosts[host];
}

cbw_time_t
QuotaWorld_Now(const quota_world_t *world)
{
    return world->now;
}

void
QuotaWorld_Kill(quota_world_t *world, int host, cbw_time_t duration)
{
    quota_host_t *h = &world->hosts[host];

    h->alive = false;
    h->back_at = world->now + duration;
    for (int i = 0; i < QUOTA_DATABASES; i++) {
        finish_owner(&h->owners[i]);
    }
}

void
QuotaWorld_Freeze(quota_world_t *world, int host, cbw_time_t duration)
{
    world->hosts[host].frozen_until = world->now + duration;
}

void
QuotaWorld_Move(quota_world_t *world, int database, cbw_time_t overlap)
{
    quota_host_t *from = &world->hosts[world->holders[database]];
    quota_owner_t *owner = &from->owners[database];
    int next = (world->holders[database] + 1) % QUOTA_HOSTS;

    if (!QuotaWorld_IsRunning_(world, from) || from->cut_off ||
        !owner->exists || !QuotaWorld_IsRunning_(world, &world->hosts[next]) ||
        world->hosts[next].cut_off) {
        return;
    }
    owner->holds = false;
    owner->valid_until = 0;
    owner->serves_until = world->now + overlap;
    take_tenure(world, next, database);
}

static void
tick_owner(quota_world_t *world, int host, int database)
{
    quota_owner_t *owner = &world->hosts[host].owners[database];
    bool valid = owner->holds && world->now < owner->valid_until;

    CbwQuotaGranter_SetExclusive(&owner->granter, world->now, valid);
    CbwQuota_SetMayLend(&owner->quota, valid);
    if (world->now < owner->serves_until) {
        QuotaWorld_SendClaims_(world, host, database);
    }
    QuotaWorld_SendAsks_(world, host, database);
    CbwQuota_Tick(&owner->quota, world->now);
    CbwQuotaGranter_Tick(&owner->granter, world->now);
}

static void
step(quota_world_t *world)
{
    world->now += QUOTA_STEP;
    for (int i = 0; i < QUOTA_HOSTS; i++) {
        if (!world->hosts[i].alive && world->now >= world->hosts[i].back_at) {
            start_host(world, i);
        }
    }
    update_tenures(world);
    for (int i = 0; i < (int)world->inventory.workspace_count; i++) {
        QuotaWorld_AskForOperations_(world, i);
    }
    QuotaWorld_SendOperations_(world);
    for (int i = 0; i < QUOTA_HOSTS; i++) {
        for (int j = 0; j < QUOTA_DATABASES; j++) {
            if (QuotaWorld_IsRunning_(world, &world->hosts[i]) &&
                world->hosts[i].owners[j].exists) {
                tick_owner(world, i, j);
            }
        }
    }
    QuotaWorld_DeliverMessages_(world);
}

void
QuotaWorld_Run(quota_world_t *world, cbw_time_t duration)
{
    cbw_time_t end = world->now + duration;

    while (world->now < end) {
        step(world);
    }
}

void
QuotaWorld_ResetCounts(quota_world_t *world)
{
    for (size_t i = 0; i < world->inventory.workspace_count; i++) {
        world->workspaces[i].demand.asked = 0;
        world->workspaces[i].demand.ran = 0;
    }
}

uint64_t
QuotaWorld_Messages(const quota_world_t *world)
{
    return world->message_count;
}

double
QuotaWorld_Peak(const quota_world_t *world)
{
    return world->peak;
}

size_t
QuotaWorld_States(const quota_world_t *world)
{
    size_t states = 0;

    for (int i = 0; i < QUOTA_HOSTS; i++) {
        for (int j = 0; j < QUOTA_DATABASES; j++) {
            const quota_owner_t *owner = &world->hosts[i].owners[j];
            states +=
                owner->exists ? owner->quota.count + owner->granter.count : 0;
        }
    }
    return states;
}
