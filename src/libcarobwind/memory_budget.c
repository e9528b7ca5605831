#include "carobwind/memory_budget.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Number of descriptors reserved for files, but at most half of all. */
#define FILES_MAX 200
/* Sizes are compared in these steps, so that among connections of similar size
 * the number of answers decides. */
#define SIZE_STEP ((size_t)16384)

const char *const CbwMemory_PortString[] = {"callers", "peers", "http"};

const char *const CbwMemory_CloseString[] = {
    "none",         "first-message", "message",     "output-unread",
    "message-slow", "memory",        "descriptors", "delivered",
};

static size_t
larger(size_t one, size_t other)
{
    return one > other ? one : other;
}

/* Total bytes that may be granted or kept. */
static size_t
grantable(const cbw_memory_budget_t *budget)
{
    return budget->limit - budget->limit / Cbw_MEMORY_RESERVE_DIVISOR;
}

void
CbwMemoryBudget_Init(cbw_memory_budget_t *budget, size_t limit)
{
    memset(budget, 0, sizeof(*budget));
    budget->limit = limit;
    for (int i = 0; i < CBW_PORT_COUNT_; i++) {
        CbwList_Init(&budget->accounts[i]);
    }
    CbwList_Init(&budget->waiting);
    CbwList_Init(&budget->shares);
}

void
CbwMemoryBudget_Finish(cbw_memory_budget_t *budget)
{
    cbw_link_t *link;

    while ((link = CbwList_TakeFirst(&budget->shares)) != NULL) {
        free(Cbw_LIST_ITEM(link, cbw_memory_share_t, link));
    }
}

/* Shares. */

static cbw_memory_share_t *
find_share(cbw_memory_budget_t *budget, const char *workspace)
{
    cbw_link_t *link;
    cbw_link_t *safe;
    cbw_memory_share_t *share;

    Cbw_LIST_FOREACH (&budget->shares, link, safe) {
        share = Cbw_LIST_ITEM(link, cbw_memory_share_t, link);
        if (strcmp(share->workspace, workspace) == 0) {
            return share;
        }
    }
    share = calloc(1, sizeof(*share));
    if (share == NULL) {
        abort();
    }
    snprintf(share->workspace, sizeof(share->workspace), "%s", workspace);
    CbwList_Init(&share->link);
    CbwList_Append(&budget->shares, &share->link);
    return share;
}

static void
join_share(cbw_memory_account_t *account, const char *workspace)
{
    account->share = find_share(account->budget, workspace);
    account->share->accounts++;
    account->share->granted += account->granted;
}

static void
leave_share(cbw_memory_account_t *account)
{
    cbw_memory_share_t *share = account->share;

    share->granted -= account->granted;
    if (--share->accounts == 0) {
        CbwList_Remove(&share->link);
        free(share);
    }
    account->share = NULL;
}

void
CbwMemoryAccount_SetWorkspace(cbw_memory_account_t *account,
                              const char *workspace)
{
    if (strcmp(account->share->workspace, workspace) != 0) {
        leave_share(account);
        join_share(account, workspace);
    }
}

/* Accounts. */

void
CbwMemoryAccount_Open(cbw_memory_account_t *account,
                      cbw_memory_budget_t *budget, cbw_client_port_t port,
                      cbw_time_t now, void *owner)
{
    memset(account, 0, sizeof(*account));
    account->budget = budget;
    account->port = port;
    account->quiet_since = now;
    account->owner = owner;
    CbwList_Init(&account->link);
    CbwList_Init(&account->waiting_link);
    CbwList_Append(&budget->accounts[port], &account->link);
    join_share(account, "");
}

static void
set_granted(cbw_memory_account_t *account, size_t granted)
{
    cbw_memory_budget_t *budget = account->budget;

    budget->used -= larger(account->total, account->granted);
    account->share->granted -= account->granted;
    budget->grants -= account->granted > 0 ? 1 : 0;
    account->granted = granted;
    budget->grants += account->granted > 0 ? 1 : 0;
    account->share->granted += account->granted;
    budget->used += larger(account->total, account->granted);
}

void
CbwMemoryAccount_Close(cbw_memory_account_t *account)
{
    if (account->budget == NULL) {
        return;
    }
    set_granted(account, 0);
    account->budget->used -= account->total;
    CbwList_Remove(&account->link);
    CbwList_Remove(&account->waiting_link);
    leave_share(account);
    account->budget = NULL;
}

void
CbwMemoryAccount_Set(cbw_memory_account_t *account, cbw_memory_kind_t kind,
                     size_t bytes)
{
    cbw_memory_budget_t *budget = account->budget;

    if (budget == NULL) {
        return;
    }
    budget->used -= larger(account->total, account->granted);
    account->total = account->total - account->held[kind] + bytes;
    account->held[kind] = bytes;
    budget->used += larger(account->total, account->granted);
    if (account->granted > 0 &&
        account->held[CBW_MEMORY_INPUT] <= Cbw_MEMORY_SMALL &&
        account->held[CBW_MEMORY_STATEMENTS] <= Cbw_MEMORY_SMALL) {
        set_granted(account, 0);
    }
}

void
CbwMemoryAccount_Detach(cbw_memory_account_t *account)
{
    if (account->budget == NULL) {
        return;
    }
    CbwList_Remove(&account->waiting_link);
    account->state = CBW_CLIENT_GONE;
    account->output_since = 0;
    account->message_since = 0;
    CbwMemoryAccount_Set(account, CBW_MEMORY_OUTPUT, 0);
    CbwMemoryAccount_Set(account, CBW_MEMORY_INPUT, 0);
}

void
CbwMemoryAccount_SetOutput(cbw_memory_account_t *account, size_t bytes,
                           bool progressed, cbw_time_t now)
{
    if (bytes == 0) {
        account->output_since = 0;
    }
    else if (progressed || account->output_since == 0) {
        account->output_since = now;
    }
    CbwMemoryAccount_Set(account, CBW_MEMORY_OUTPUT, bytes);
}

void
CbwMemoryAccount_SetInput(cbw_memory_account_t *account, size_t bytes,
                          cbw_time_t now)
{
    if (bytes == 0) {
        account->message_since = 0;
    }
    else if (account->message_since == 0) {
        account->message_since = now;
    }
    CbwMemoryAccount_Set(account, CBW_MEMORY_INPUT, bytes);
}

void
CbwMemoryAccount_OnMessage(cbw_memory_account_t *account,
                           cbw_client_state_t state, cbw_time_t now)
{
    if (account->state < CBW_CLIENT_CLOSING) {
        account->state = state;
    }
    account->quiet_since = now;
    account->message_since = 0;
}

void
CbwMemoryAccount_OnAnswer(cbw_memory_account_t *account,
                          cbw_client_state_t state, cbw_time_t now)
{
    if (account->state < CBW_CLIENT_CLOSING) {
        account->state = state;
    }
    account->quiet_since = now;
    if (account->message_since != 0) {
        account->message_since = now; /* reading was paused */
    }
    account->served++;
}

/* Grants. */

static bool
has_room(const cbw_memory_account_t *account)
{
    const cbw_memory_budget_t *budget = account->budget;
    size_t more = Cbw_MEMORY_GRANT - (account->total < Cbw_MEMORY_GRANT
                                          ? account->total
                                          : Cbw_MEMORY_GRANT);

    /* The first grant is always possible. A workspace with a grant gets no
     * more above half of what may be granted; the rest is for the others. */
    if (budget->grants == 0) {
        return true;
    }
    if (account->share->workspace[0] != '\0' && account->share->granted > 0 &&
        account->share->granted + Cbw_MEMORY_GRANT > grantable(budget) / 2) {
        return false;
    }
    return budget->used + more <= grantable(budget);
}

static void
grant(cbw_memory_account_t *account, cbw_time_t now)
{
    CbwList_Remove(&account->waiting_link);
    set_granted(account, Cbw_MEMORY_GRANT);
    account->granted_at = now;
    account->granted_input = account->held[CBW_MEMORY_INPUT];
    if (account->message_since != 0) {
        account->message_since = now;
    }
}

bool
CbwMemoryAccount_MayRead(cbw_memory_account_t *account, cbw_time_t now)
{
    if (account->budget == NULL || account->granted > 0 ||
        account->held[CBW_MEMORY_INPUT] <= Cbw_MEMORY_SMALL) {
        return true;
    }
    if (!CbwList_IsEmpty(&account->waiting_link)) {
        return false;
    }
    if (CbwList_IsEmpty(&account->budget->waiting) && has_room(account)) {
        grant(account, now);
        return true;
    }
    CbwList_Append(&account->budget->waiting, &account->waiting_link);
    return false;
}

bool
CbwMemoryAccount_MayKeep(const cbw_memory_account_t *account, size_t bytes)
{
    const cbw_memory_budget_t *budget = account->budget;

    return bytes <= Cbw_MEMORY_SMALL
               ? budget->used + bytes <= budget->limit
               : budget->used + bytes <= grantable(budget);
}

cbw_memory_account_t *
CbwMemoryBudget_NextToResume(cbw_memory_budget_t *budget, cbw_time_t now)
{
    cbw_memory_account_t *best = NULL;
    cbw_link_t *link;
    cbw_link_t *safe;

    Cbw_LIST_FOREACH (&budget->waiting, link, safe) {
        cbw_memory_account_t *account =
            Cbw_LIST_ITEM(link, cbw_memory_account_t, waiting_link);
        if ((best == NULL || account->share->granted < best->share->granted) &&
            has_room(account)) {
            best = account;
        }
    }
    if (best != NULL) {
        grant(best, now);
    }
    return best;
}

/* Which connections are closed. */

/* Whether to close `one` rather than `other`. */
static bool
goes_before(const cbw_memory_account_t *one, const cbw_memory_account_t *other)
{
    bool one_busy = one->state == CBW_CLIENT_BUSY;
    bool other_busy = other->state == CBW_CLIENT_BUSY;

    if (one_busy != other_busy) {
        return other_busy;
    }
    if (one->total / SIZE_STEP != other->total / SIZE_STEP) {
        return one->total > other->total;
    }
    return one->served < other->served;
}

cbw_memory_account_t *
CbwMemoryBudget_NextToClose(const cbw_memory_budget_t *budget)
{
    cbw_memory_account_t *worst = NULL;

    if (budget->used <= budget->limit) {
        return NULL;
    }
    for (int port = 0; port < CBW_PORT_COUNT_; port++) {
        const cbw_link_t *list = &budget->accounts[port];
        for (cbw_link_t *link = list->next; link != list; link = link->next) {
            cbw_memory_account_t *account =
                Cbw_LIST_ITEM(link, cbw_memory_account_t, link);
            if (account->total > 0 && account->state != CBW_CLIENT_GONE &&
                (worst == NULL || goes_before(account, worst))) {
                worst = account;
            }
        }
    }
    return worst;
}

/* Returns the place of a connection in the order of closing for new ones, the
 * lowest first; -1: it is not closed. */
static int
closing_class(const cbw_memory_account_t *account, cbw_time_t now)
{
    switch (account->state) {
    case CBW_CLIENT_CLOSING:
        return 0;
    case CBW_CLIENT_NEW:
        return 1;
    case CBW_CLIENT_IDLE:
        return 2;
    case CBW_CLIENT_IN_TRANSACTION:
        return now - account->quiet_since > Cbw_MEMORY_TRANSACTION_QUIET_TIME
                   ? 3
                   : -1;
    default:
        return -1;
    }
}

cbw_memory_account_t *
CbwMemoryBudget_LeastServed(const cbw_memory_budget_t *budget,
                            cbw_client_port_t port, cbw_time_t now)
{
    const cbw_link_t *list = &budget->accounts[port];
    cbw_memory_account_t *best = NULL;
    int best_class = 0;

    for (cbw_link_t *link = list->next; link != list; link = link->next) {
        cbw_memory_account_t *account =
            Cbw_LIST_ITEM(link, cbw_memory_account_t, link);
        int class = closing_class(account, now);
        if (class < 0 || (best != NULL && class > best_class)) {
            continue;
        }
        if (best == NULL || class < best_class ||
            account->served < best->served ||
            (account->served == best->served &&
             account->quiet_since < best->quiet_since)) {
            best = account;
            best_class = class;
        }
    }
    return best;
}

/* Whether the message of an account with a grant arrives too slowly. */
static bool
is_stalled(const cbw_memory_account_t *account, cbw_time_t now)
{
    cbw_time_t elapsed = now - account->granted_at;
    size_t received =
        account->held[CBW_MEMORY_INPUT] > account->granted_input
            ? account->held[CBW_MEMORY_INPUT] - account->granted_input
            : 0;

    return account->granted > 0 && account->message_since != 0 &&
           !CbwList_IsEmpty(&account->budget->waiting) &&
           elapsed > Cbw_MEMORY_STALL_TIME &&
           (cbw_time_t)received <
               elapsed / Cbw_MSEC * Cbw_MEMORY_STALL_RATE / 1000;
}

cbw_close_reason_t
CbwMemoryAccount_Judge(const cbw_memory_account_t *account, cbw_time_t now)
{
    if (account->state == CBW_CLIENT_GONE) {
        return CBW_CLOSE_NONE;
    }
    if (account->state == CBW_CLIENT_CLOSING) {
        return now - account->quiet_since > Cbw_MEMORY_CLOSING_TIME
                   ? CBW_CLOSE_DELIVERED
                   : CBW_CLOSE_NONE;
    }
    if (account->output_since != 0 &&
        now - account->output_since > Cbw_MEMORY_OUTPUT_TIME) {
        return CBW_CLOSE_OUTPUT;
    }
    if (!CbwList_IsEmpty(&account->waiting_link)) {
        return CBW_CLOSE_NONE; /* this process does not read from it */
    }
    if (account->state == CBW_CLIENT_NEW && !account->lazy_start &&
        now - account->quiet_since > Cbw_MEMORY_FIRST_MESSAGE_TIME) {
        return CBW_CLOSE_FIRST_MESSAGE;
    }
    if (account->state != CBW_CLIENT_BUSY && account->message_since != 0 &&
        now - account->message_since > Cbw_MEMORY_MESSAGE_TIME) {
        return CBW_CLOSE_MESSAGE;
    }
    return is_stalled(account, now) ? CBW_CLOSE_STALLED : CBW_CLOSE_NONE;
}

void
CbwMemory_DivideDescriptors(size_t limit, cbw_descriptor_shares_t *shares)
{
    size_t files = limit / 2 < FILES_MAX ? limit / 2 : FILES_MAX;
    size_t sockets = limit - files;

    shares->ports[CBW_PORT_CALLERS] = sockets / 2;
    shares->ports[CBW_PORT_PEERS] = sockets / 4;
    shares->ports[CBW_PORT_HTTP] = larger(sockets / 16, 4);
}
