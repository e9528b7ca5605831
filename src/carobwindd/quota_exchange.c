#include "quota_exchange.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "carobwind/log.h"
#include "carobwind/placement.h"
#include "carobwind/quota.h"
#include "share/net.h"

/* Timeout of a call. Later answers are ignored: the next claim was made. */
#define CALL_TIMEOUT Cbw_QUOTA_CLAIM_INTERVAL
/* Most owners that a granter asks to lend in Cbw_QUOTA_CLAIM_INTERVAL, so that
 * the messages for a workspace near its limit do not grow with the number of
 * databases. */
#define ASKED_OWNERS_MAX 16

/* How often claims are made; pools tick more often than that. */
#define CLAIM_TICK (50 * Cbw_MSEC)
/* Owners that are looked up once in a round of claims. */
#define KNOWN_OWNERS_MAX 16

/* A host that this instance sent claims to within the last interval. */
typedef struct {
    cbw_link_t link;
    char host[Cbw_NAME_MAX];
    cbw_time_t sent_at;
} recent_host_t;

struct quota_exchange {
    cbw_quota_t quota;
    cbw_quota_granter_t granter;
    bool held;      /* as of the last tick, see cbw_tenure_t */
    bool exclusive; /* the granter's tenure is */
    cbw_link_t recent_hosts;
    cbw_time_t claims_at; /* when claims were last made */
    cbw_time_t asked_at;  /* when owners were last asked to lend */
    size_t next_database; /* the first one to be asked then */
};

static const cbw_inventory_t *
inventory(void)
{
    return &PoolTask_State.config->inventory;
}

static void
report_limited(void *context, const char *workspace, bool limited)
{
    const pool_instance_t *instance = context;

    CbwLog_Write(CBW_LOG_INFO, "owner", "quota",
                 "database=%s workspace=%s state=%s", instance->pool.database,
                 workspace, limited ? "limited" : "not-limited");
}

static quota_exchange_t *
new_exchange(pool_instance_t *instance, cbw_time_t now)
{
    quota_exchange_t *exchange = calloc(1, sizeof(*exchange));
    daemon_t *daemon = PoolTask_State.daemon;

    if (exchange == NULL) {
        abort();
    }
    CbwList_Init(&exchange->recent_hosts);
    CbwQuota_Init(&exchange->quota, now, &daemon->counters);
    exchange->quota.report = report_limited;
    exchange->quota.context = instance;
    CbwQuotaGranter_Init(&exchange->granter, daemon->nonce, &daemon->counters);
    return exchange;
}

void
QuotaExchange_Configure(pool_instance_t *instance, cbw_time_t now)
{
    if (inventory()->workspace_count == 0) {
        QuotaExchange_Finish(instance);
        return;
    }
    if (instance->quotas == NULL) {
        instance->quotas = new_exchange(instance, now);
        instance->pool.quota = &instance->quotas->quota;
    }
    CbwQuota_SetInventory(&instance->quotas->quota, now, inventory());
}

void
QuotaExchange_Finish(pool_instance_t *instance)
{
    quota_exchange_t *exchange = instance->quotas;
    cbw_link_t *link;

    if (exchange == NULL) {
        return;
    }
    instance->pool.quota = NULL;
    instance->quotas = NULL;
    CbwQuota_Finish(&exchange->quota);
    CbwQuotaGranter_Finish(&exchange->granter);
    while ((link = CbwList_TakeFirst(&exchange->recent_hosts)) != NULL) {
        free(Cbw_LIST_ITEM(link, recent_host_t, link));
    }
    free(exchange);
}

/* Applies the state of the tenure. Once exclusive, it stays so until it ends:
 * a renewal whose answer is lost gives it to no one else. */
static void
follow_tenure(pool_instance_t *instance, cbw_time_t now)
{
    quota_exchange_t *exchange = instance->quotas;
    const cbw_tenure_t *tenure = &instance->pool.tenure;
    bool valid = CbwTenure_IsValid(tenure, now) && tenure->held;
    bool exclusive = CbwTenure_IsExclusive(tenure, now);

    if (tenure->held && !exchange->held) {
        CbwQuota_BeginTerm(&exchange->quota, now, tenure->version);
    }
    exchange->held = tenure->held;
    exchange->exclusive = exclusive || (exchange->exclusive && valid);
    CbwQuota_SetMayLend(&exchange->quota, valid);
    CbwQuota_SetOverlaps(&exchange->quota, now,
                         PoolTask_State.draining || !instance->owned ||
                             !tenure->held);
    CbwQuotaGranter_SetExclusive(&exchange->granter, now, exchange->exclusive);
}

/* Hosts. */

/* Returns the host that owns a database by rendezvous order, or NULL. */
static const cbw_member_t *
find_owner(const cbw_database_t *database)
{
    return CbwPlacement_FindOwner(&PoolTask_State.view->membership,
                                  &PoolTask_State.daemon->settings.regions,
                                  database, NULL, NULL);
}

static bool
is_this_host(const char *name)
{
    return strcmp(name, PoolTask_State.daemon->settings.name) == 0;
}

/* Removes the hosts to which claims may be sent again. */
static void
expire_recent_hosts(quota_exchange_t *exchange, cbw_time_t now)
{
    cbw_link_t *link;
    cbw_link_t *safe;

    Cbw_LIST_FOREACH (&exchange->recent_hosts, link, safe) {
        recent_host_t *recent = Cbw_LIST_ITEM(link, recent_host_t, link);
        if (now - recent->sent_at >= Cbw_QUOTA_CLAIM_INTERVAL) {
            CbwList_Remove(link);
            free(recent);
        }
    }
}

static bool
is_recent_host(const quota_exchange_t *exchange, const char *host)
{
    const cbw_link_t *link = exchange->recent_hosts.next;

    for (; link != &exchange->recent_hosts; link = link->next) {
        if (strcmp(Cbw_LIST_ITEM(link, recent_host_t, link)->host, host) ==
            0) {
            return true;
        }
    }
    return false;
}

static void
add_recent_host(quota_exchange_t *exchange, const char *host, cbw_time_t now)
{
    recent_host_t *recent = calloc(1, sizeof(*recent));

    if (recent == NULL) {
        abort();
    }
    CbwList_Init(&recent->link);
    snprintf(recent->host, sizeof(recent->host), "%s", host);
    recent->sent_at = now;
    CbwList_Append(&exchange->recent_hosts, &recent->link);
}

/* Claims. */

/* Answers a claim if the granter of its workspace is at this host. */
static bool
answer_claim(const char *database, uint64_t term, uint64_t number,
             const cbw_quota_claim_t *claim, cbw_quota_grant_t *grant,
             cbw_time_t now)
{
    const cbw_database_t *granter =
        CbwQuota_FindGranter(inventory(), claim->workspace);
    pool_instance_t *instance =
        granter != NULL ? PoolInstance_Find(granter->name) : NULL;

    if (instance == NULL || instance->quotas == NULL) {
        return false;
    }
    /* The tenure may have been relinquished since the last tick. */
    follow_tenure(instance, now);
    return CbwQuotaGranter_OnClaim(&instance->quotas->granter, now, database,
                                   Cbw_QUOTA_WHOLE /
                                       (uint32_t)inventory()->database_count,
                                   term, number, claim, grant);
}

/* The host that a message goes to, and the owners that were looked up. */
typedef struct {
    const quota_exchange_t *exchange;
    const cbw_member_t *host; /* NULL: not chosen yet */
    struct {
        const cbw_database_t *database;
        const cbw_member_t *host;
    } known[KNOWN_OWNERS_MAX];
    size_t known_count;
} claim_target_t;

static const cbw_member_t *
find_known_owner(claim_target_t *target, const cbw_database_t *database)
{
    const cbw_member_t *host;

    for (size_t i = 0; i < target->known_count; i++) {
        if (target->known[i].database == database) {
            return target->known[i].host;
        }
    }
    host = find_owner(database);
    if (target->known_count < KNOWN_OWNERS_MAX) {
        target->known[target->known_count].database = database;
        target->known[target->known_count++].host = host;
    }
    return host;
}

static bool
accept_claim(void *context, const char *granter)
{
    claim_target_t *target = context;
    const cbw_database_t *database =
        CbwInventory_FindDatabase(inventory(), granter);
    const cbw_member_t *host =
        database != NULL ? find_known_owner(target, database) : NULL;

    if (host == NULL) {
        return false;
    }
    if (target->host == NULL &&
        !is_recent_host(target->exchange, host->record.name)) {
        target->host = host;
    }
    return host == target->host;
}

static void
send_claims(const pool_instance_t *instance, const cbw_member_t *host,
            const cbw_quota_claim_t *claims, size_t count, uint64_t number)
{
    outbound_t *outbound = Outbound_New(PEER_QUOTA, host->record.address);
    peer_quota_args *args = &outbound->args.quota;

    args->database = strdup(instance->pool.database);
    args->term = instance->quotas->quota.term;
    args->number = number;
    args->claims.claims_val = calloc(count, sizeof(peer_quota_claim));
    if (args->claims.claims_val == NULL) {
        abort();
    }
    args->claims.claims_len = (u_int)count;
    for (size_t i = 0; i < count; i++) {
        args->claims.claims_val[i] = (peer_quota_claim){
            .workspace = strdup(claims[i].workspace),
            .want = claims[i].want,
            .held = claims[i].held,
            .lend = claims[i].lend,
            .stamp = {claims[i].stamp.granter, claims[i].stamp.at},
        };
    }
    outbound->timeout = CALL_TIMEOUT;
    outbound->reply_to = TASK_OWNER;
    outbound->context = (void *)(uintptr_t)instance->id;
    CbwCounter_Add(&PoolTask_State.daemon->counters,
                   CBW_COUNTER_QUOTA_MESSAGES, 1);
    Task_Post(TASK_OWNER, TASK_PEER, MESSAGE_OUTBOUND, &outbound->message);
}

static void
answer_own_claims(pool_instance_t *instance, cbw_time_t now,
                  const cbw_quota_claim_t *claims, size_t count,
                  uint64_t number)
{
    cbw_quota_t *quota = &instance->quotas->quota;
    cbw_quota_grant_t grant;

    for (size_t i = 0; i < count; i++) {
        if (answer_claim(instance->pool.database, quota->term, number,
                         &claims[i], &grant, now)) {
            CbwQuota_OnGrant(quota, now, number, &grant);
        }
    }
}

static void
make_claims(pool_instance_t *instance, cbw_time_t now)
{
    static cbw_quota_claim_t claims[Cbw_QUOTA_MESSAGE_MAX];
    quota_exchange_t *exchange = instance->quotas;
    claim_target_t target = {.exchange = exchange};
    uint64_t number;
    size_t count;

    for (;;) {
        target.host = NULL;
        count =
            CbwQuota_MakeClaims(&exchange->quota, now, accept_claim, &target,
                                claims, Cbw_QUOTA_MESSAGE_MAX, &number);
        if (count == 0) {
            return;
        }
        add_recent_host(exchange, target.host->record.name, now);
        if (is_this_host(target.host->record.name)) {
            answer_own_claims(instance, now, claims, count, number);
        }
        else {
            send_claims(instance, target.host, claims, count, number);
        }
    }
}

/* Requests to lend. */

static void
ask_locally(const char *database, char (*workspaces)[Cbw_NAME_MAX],
            size_t count, cbw_quota_stamp_t stamp, cbw_time_t now)
{
    pool_instance_t *instance = PoolInstance_Find(database);

    if (instance == NULL || instance->quotas == NULL) {
        return;
    }
    follow_tenure(instance, now);
    for (size_t i = 0; i < count; i++) {
        CbwQuota_OnLendRequest(&instance->quotas->quota, now, workspaces[i],
                               stamp);
    }
}

static void
send_asks(const cbw_member_t *host, const char *database,
          char (*workspaces)[Cbw_NAME_MAX], size_t count,
          cbw_quota_stamp_t stamp)
{
    outbound_t *outbound = Outbound_New(PEER_QUOTA, host->record.address);
    peer_quota_args *args = &outbound->args.quota;

    args->database = strdup(database);
    args->stamp = (peer_quota_stamp){stamp.granter, stamp.at};
    args->asked.asked_val = calloc(count, sizeof(peer_quota_name));
    if (args->asked.asked_val == NULL) {
        abort();
    }
    args->asked.asked_len = (u_int)count;
    for (size_t i = 0; i < count; i++) {
        args->asked.asked_val[i].workspace = strdup(workspaces[i]);
    }
    outbound->timeout = CALL_TIMEOUT;
    outbound->reply_to = TASK_OWNER;
    CbwCounter_Add(&PoolTask_State.daemon->counters,
                   CBW_COUNTER_QUOTA_MESSAGES, 1);
    Task_Post(TASK_OWNER, TASK_PEER, MESSAGE_OUTBOUND, &outbound->message);
}

static void
ask_owner(quota_exchange_t *exchange, const cbw_database_t *database,
          cbw_time_t now, size_t *asked)
{
    static char workspaces[Cbw_QUOTA_MESSAGE_MAX][Cbw_NAME_MAX];
    const cbw_member_t *host = find_owner(database);
    cbw_quota_stamp_t stamp = {exchange->granter.nonce, now};
    size_t count;

    if (host == NULL) {
        return;
    }
    count = CbwQuotaGranter_MakeLendRequests(&exchange->granter, now,
                                             database->name, workspaces,
                                             Cbw_QUOTA_MESSAGE_MAX);
    if (count == 0) {
        return;
    }
    (*asked)++;
    if (is_this_host(host->record.name)) {
        ask_locally(database->name, workspaces, count, stamp, now);
    }
    else {
        send_asks(host, database->name, workspaces, count, stamp);
    }
}

static void
ask_owners(quota_exchange_t *exchange, cbw_time_t now)
{
    size_t count = inventory()->database_count;
    size_t asked = 0;

    if (exchange->granter.count == 0 || count == 0 ||
        now - exchange->asked_at < Cbw_QUOTA_CLAIM_INTERVAL) {
        return;
    }
    for (size_t i = 0; i < count && asked < ASKED_OWNERS_MAX; i++) {
        size_t index = exchange->next_database++ % count;
        ask_owner(exchange, &inventory()->databases[index], now, &asked);
    }
    if (asked > 0) {
        exchange->asked_at = now;
    }
}

void
QuotaExchange_Tick(pool_instance_t *instance, cbw_time_t now)
{
    quota_exchange_t *exchange = instance->quotas;

    if (exchange == NULL || PoolTask_State.view == NULL) {
        return;
    }
    follow_tenure(instance, now);
    if (exchange->quota.count > 0 && now - exchange->claims_at >= CLAIM_TICK) {
        exchange->claims_at = now;
        expire_recent_hosts(exchange, now);
        make_claims(instance, now);
        CbwQuota_Tick(&exchange->quota, now);
    }
    if (exchange->granter.count > 0) {
        ask_owners(exchange, now);
        CbwQuotaGranter_Tick(&exchange->granter, now);
    }
}

/* Calls of peers, and answers to calls. */

static void
decode_claim(const peer_quota_claim *from, cbw_quota_claim_t *claim)
{
    *claim = (cbw_quota_claim_t){
        .want = from->want,
        .held = from->held,
        .lend = from->lend,
        .stamp = {from->stamp.granter, from->stamp.at},
    };
    snprintf(claim->workspace, sizeof(claim->workspace), "%s",
             from->workspace);
}

void
QuotaExchange_Answer(inbound_t *inbound)
{
    const peer_quota_args *args = &inbound->args.quota;
    peer_quota_result *result = &inbound->result.quota;
    cbw_time_t now = CbwNet_Now();
    size_t count = 0;

    if (PoolTask_State.config == NULL || inventory()->workspace_count == 0) {
        return;
    }
    for (u_int i = 0; i < args->asked.asked_len; i++) {
        char names[1][Cbw_NAME_MAX];
        snprintf(names[0], Cbw_NAME_MAX, "%s",
                 args->asked.asked_val[i].workspace);
        ask_locally(args->database, names, 1,
                    (cbw_quota_stamp_t){args->stamp.granter, args->stamp.at},
                    now);
    }
    if (args->claims.claims_len == 0) {
        return;
    }
    result->grants.grants_val =
        calloc(args->claims.claims_len, sizeof(peer_quota_grant));
    if (result->grants.grants_val == NULL) {
        abort();
    }
    for (u_int i = 0; i < args->claims.claims_len; i++) {
        cbw_quota_claim_t claim;
        cbw_quota_grant_t grant;
        decode_claim(&args->claims.claims_val[i], &claim);
        if (answer_claim(args->database, args->term, args->number, &claim,
                         &grant, now)) {
            result->grants.grants_val[count++] = (peer_quota_grant){
                .workspace = strdup(grant.workspace),
                .grant = grant.grant,
                .counted = grant.counted,
                .confirmed = grant.confirmed,
                .stamp = {grant.stamp.granter, grant.stamp.at},
            };
        }
    }
    result->grants.grants_len = (u_int)count;
}

static quota_exchange_t *
find_exchange(uint64_t id)
{
    cbw_link_t *link = PoolTask_State.instances.next;

    for (; link != &PoolTask_State.instances; link = link->next) {
        pool_instance_t *instance = Cbw_LIST_ITEM(link, pool_instance_t, link);
        if (instance->id == id) {
            return instance->quotas;
        }
    }
    return NULL;
}

void
QuotaExchange_OnDone(outbound_t *outbound)
{
    quota_exchange_t *exchange =
        find_exchange((uint64_t)(uintptr_t)outbound->context);
    const peer_quota_result *result = &outbound->result.quota;
    cbw_time_t now = CbwNet_Now();

    if (exchange != NULL && outbound->answered) {
        for (u_int i = 0; i < result->grants.grants_len; i++) {
            const peer_quota_grant *from = &result->grants.grants_val[i];
            cbw_quota_grant_t grant = {
                .grant = from->grant,
                .counted = from->counted,
                .confirmed = from->confirmed,
                .stamp = {from->stamp.granter, from->stamp.at},
            };
            snprintf(grant.workspace, sizeof(grant.workspace), "%s",
                     from->workspace);
            CbwQuota_OnGrant(&exchange->quota, now,
                             outbound->args.quota.number, &grant);
        }
    }
    Outbound_Free(outbound);
}
