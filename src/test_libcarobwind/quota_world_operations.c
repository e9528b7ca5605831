#include "quota_world_parts.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>

/* An operation that was accepted and is sent later. */
typedef struct {
    cbw_link_t link;
    cbw_time_t due;
    int host;
    int database;
    int workspace;
    uint64_t nonce;
    uint64_t term;
    cbw_quota_token_t token;
    int attempts_left; /* that do not run */
} sim_operation_t;

/* Returns the maximum that any limit of the last two windows allows: a lowered
 * limit is binding one window after it takes effect. */
static double
allowed_now(const quota_world_t *world, const sim_workspace_t *workspace)
{
    double allowed = 0;

    for (int i = 0; i < workspace->limit_count; i++) {
        const sim_limit_t *limit = &workspace->limits[i];
        bool in_force =
            i + 1 == workspace->limit_count ||
            workspace->limits[i + 1].from > world->now - 2 * Cbw_QUOTA_WINDOW;
        if (in_force && limit->allowed > allowed) {
            allowed = limit->allowed;
        }
    }
    return allowed;
}

static void
record_operation(quota_world_t *world, int index)
{
    sim_workspace_t *workspace = &world->workspaces[index];
    double allowed = allowed_now(world, workspace);
    double used;

    workspace->demand.ran++;
    workspace->history[workspace->count++ % HISTORY_MAX] = world->now;
    while (workspace->history[workspace->first % HISTORY_MAX] <=
           world->now - Cbw_QUOTA_WINDOW) {
        workspace->first++;
    }
    used = (double)(workspace->count - workspace->first);
    g_assert_cmpuint(workspace->count - workspace->first, <, HISTORY_MAX);
    if (used / allowed > world->peak) {
        world->peak = used / allowed;
        if (used > allowed) {
            g_test_message("w%d: %g operations in a window, %g allowed", index,
                           used, allowed);
        }
    }
    g_assert_cmpfloat(used, <=, allowed);
}

/* Sends an operation. Returns false when it did not run and waits again. */
static bool
send_operation(quota_world_t *world, sim_operation_t *operation)
{
    quota_host_t *host = &world->hosts[operation->host];
    quota_owner_t *owner = &host->owners[operation->database];
    const char *name = world->limits[operation->workspace].name;

    if (!host->alive || host->nonce != operation->nonce || !owner->exists) {
        return true; /* its process has ended */
    }
    CbwQuota_Spend(&owner->quota, name, &operation->token);
    if (operation->attempts_left-- > 0) {
        CbwQuota_Requeue(&owner->quota, world->now, name, &operation->token,
                         false);
        operation->due = world->now + (cbw_time_t)CbwRandom_Below(
                                          &world->random, 100 * Cbw_MSEC);
        return false;
    }
    record_operation(world, operation->workspace);
    return true;
}

void
QuotaWorld_SendOperations_(quota_world_t *world)
{
    cbw_link_t *link;
    cbw_link_t *safe;

    Cbw_LIST_FOREACH (&world->operations, link, safe) {
        sim_operation_t *operation =
            Cbw_LIST_ITEM(link, sim_operation_t, link);
        if (world->now >= operation->due &&
            (!world->hosts[operation->host].alive ||
             QuotaWorld_IsRunning_(world, &world->hosts[operation->host])) &&
            send_operation(world, operation)) {
            CbwList_Remove(link);
            free(operation);
        }
    }
}

/* Returns a host that serves the database, the holder or a previous owner that
 * still serves; -1 when there is none. */
static int
find_server(quota_world_t *world, int database)
{
    int candidates[QUOTA_HOSTS];
    size_t count = 0;

    for (int i = 0; i < QUOTA_HOSTS; i++) {
        quota_host_t *host = &world->hosts[i];
        if (QuotaWorld_IsRunning_(world, host) &&
            host->owners[database].exists &&
            world->now < host->owners[database].serves_until) {
            candidates[count++] = i;
        }
    }
    return count == 0 ? -1
                      : candidates[CbwRandom_Below(&world->random, count)];
}

static void
ask_for_operation(quota_world_t *world, int index)
{
    sim_workspace_t *workspace = &world->workspaces[index];
    int database = workspace->demand.database >= 0
                       ? workspace->demand.database
                       : (int)CbwRandom_Below(&world->random, QUOTA_DATABASES);
    int host = find_server(world, database);
    sim_operation_t operation = {.workspace = index, .database = database};
    cbw_time_t retry_after;

    workspace->demand.asked++;
    if (host < 0) {
        return;
    }
    operation.host = host;
    operation.nonce = world->hosts[host].nonce;
    operation.due = world->now;
    if (!CbwQuota_Reserve(&world->hosts[host].owners[database].quota,
                          world->now, world->limits[index].name,
                          &operation.token, &retry_after)) {
        g_assert_cmpint(retry_after, >, 0);
        return;
    }
    if (CbwRandom_Unit(&world->random) < world->faults.held_back) {
        operation.due +=
            (cbw_time_t)CbwRandom_Below(&world->random, 900 * Cbw_MSEC);
    }
    operation.attempts_left =
        CbwRandom_Unit(&world->random) < world->faults.not_run;
    if (world->now < operation.due || !send_operation(world, &operation)) {
        sim_operation_t *copy = malloc(sizeof(*copy));
        g_assert_nonnull(copy);
        *copy = operation;
        CbwList_Init(&copy->link);
        CbwList_Append(&world->operations, &copy->link);
    }
}

/* Returns a number with a Poisson distribution. */
static int
random_arrivals(quota_world_t *world, double mean)
{
    double limit = exp(-mean);
    double product = CbwRandom_Unit(&world->random);
    int count = 0;

    while (product > limit) {
        product *= CbwRandom_Unit(&world->random);
        count++;
    }
    return count;
}

void
QuotaWorld_FreeOperations_(quota_world_t *world)
{
    cbw_link_t *link;

    while ((link = CbwList_TakeFirst(&world->operations)) != NULL) {
        free(Cbw_LIST_ITEM(link, sim_operation_t, link));
    }
}

void
QuotaWorld_AskForOperations_(quota_world_t *world, int workspace)
{
    double rate = world->workspaces[workspace].demand.rate;
    int arrivals = random_arrivals(world, rate * QUOTA_STEP / Cbw_SEC);

    for (; arrivals > 0; arrivals--) {
        ask_for_operation(world, workspace);
    }
}
