#include "client_limits.h"

#include <sys/resource.h>

#include "carobwind/log.h"
#include "share/tick.h"

#define TICK_SECONDS 0.25
#define MEMORY_DEFAULT_MB 4096
/* Connections may use the memory limit divided by this. The rest is for the
 * process itself, its endpoints, peers and records, and for the copies of the
 * message that it is handling. */
#define MEMORY_DIVISOR 2
#define CALLERS_MAX ((size_t)16384)

static daemon_t *local_daemon;
static cbw_memory_budget_t budget;
static cbw_descriptor_shares_t shares;
static ev_prepare prepare_watcher;
static ev_timer timer;

static const cbw_counter_id_t close_counters[] = {
    [CBW_CLOSE_NONE] = CBW_COUNTER_CLIENTS_CLOSED_SLOW, /* not used */
    [CBW_CLOSE_FIRST_MESSAGE] = CBW_COUNTER_CLIENTS_CLOSED_SLOW,
    [CBW_CLOSE_MESSAGE] = CBW_COUNTER_CLIENTS_CLOSED_SLOW,
    [CBW_CLOSE_OUTPUT] = CBW_COUNTER_CLIENTS_CLOSED_UNREAD,
    [CBW_CLOSE_STALLED] = CBW_COUNTER_CLIENTS_CLOSED_SLOW,
    [CBW_CLOSE_MEMORY] = CBW_COUNTER_CLIENTS_CLOSED_MEMORY,
    [CBW_CLOSE_DESCRIPTORS] = CBW_COUNTER_CLIENTS_CLOSED_DESCRIPTORS,
    [CBW_CLOSE_DELIVERED] = CBW_COUNTER_CLIENTS_CLOSED_DELIVERED,
};

static void
close_client(const cbw_memory_account_t *account, cbw_close_reason_t reason)
{
    cbw_stream_t *stream = account->owner;

    CbwCounter_Add(&local_daemon->counters, close_counters[reason], 1);
    CbwLog_Write(CBW_LOG_WARNING, "clients", "client-closed",
                 "reason=%s port=%s address=%s workspace=%s held=%zu "
                 "served=%llu",
                 CbwMemory_CloseString[reason],
                 CbwMemory_PortString[account->port], stream->ip,
                 account->share->workspace, account->total,
                 (unsigned long long)account->served);
    CbwStream_Abort(stream, CbwMemory_CloseString[reason]);
}

/* Runs before the event loop waits, after all callbacks. */
static void
on_prepare(struct ev_loop *loop, ev_prepare *watcher, int events)
{
    cbw_memory_account_t *account;
    cbw_time_t now;

    (void)loop;
    (void)watcher;
    (void)events;
    while ((account = CbwMemoryBudget_NextToClose(&budget)) != NULL) {
        close_client(account, CBW_CLOSE_MEMORY);
    }
    if (CbwList_IsEmpty(&budget.waiting)) {
        return;
    }
    now = CbwNet_Now();
    while ((account = CbwMemoryBudget_NextToResume(&budget, now)) != NULL) {
        CbwStream_OnGranted(account->owner);
    }
}

static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
    cbw_time_t now = CbwNet_Now();

    (void)loop;
    (void)watcher;
    (void)events;
    for (int port = 0; port < CBW_PORT_COUNT_; port++) {
        cbw_link_t *link;
        cbw_link_t *safe;
        Cbw_LIST_FOREACH (&budget.accounts[port], link, safe) {
            const cbw_memory_account_t *account =
                Cbw_LIST_ITEM(link, cbw_memory_account_t, link);
            cbw_close_reason_t reason = CbwMemoryAccount_Judge(account, now);
            if (reason != CBW_CLOSE_NONE) {
                close_client(account, reason);
            }
        }
    }
}

static bool
make_room(void *context)
{
    const client_listener_t *listener = context;
    const cbw_memory_account_t *account =
        CbwMemoryBudget_LeastServed(&budget, listener->port, CbwNet_Now());

    if (account == NULL) {
        return false;
    }
    close_client(account, CBW_CLOSE_DESCRIPTORS);
    return true;
}

static void
on_accept(void *context, int fd, const char *ip)
{
    const client_listener_t *listener = context;

    listener->on_accept(listener->context, fd, ip);
}

static void
on_pause(void *context)
{
    const client_listener_t *listener = context;

    CbwCounter_Add(&local_daemon->counters, CBW_COUNTER_ACCEPTS_PAUSED, 1);
    CbwLog_Write(CBW_LOG_WARNING, "clients", "accept-paused",
                 "port=%s connections=%zu limit=%zu",
                 CbwMemory_PortString[listener->port],
                 listener->acceptor.count, listener->acceptor.limit);
}

static const cbw_acceptor_ops_t acceptor_ops = {
    .on_accept = on_accept,
    .make_room = make_room,
    .on_pause = on_pause,
};

int
ClientLimits_Listen(client_listener_t *listener, cbw_client_port_t port,
                    const char *address,
                    void (*accepted)(void *context, int fd, const char *ip),
                    void *context, cbw_error_t *error)
{
    listener->port = port;
    listener->on_accept = accepted;
    listener->context = context;
    return CbwAcceptor_Start(&listener->acceptor, local_daemon->loop, address,
                             shares.ports[port], &acceptor_ops, listener,
                             error);
}

void
ClientLimits_Open(cbw_memory_account_t *account, cbw_stream_t *stream,
                  cbw_client_port_t port)
{
    CbwMemoryAccount_Open(account, &budget, port, CbwNet_Now(), stream);
    CbwStream_SetAccount(stream, account);
}

void
ClientLimits_OnTooLarge(const cbw_stream_t *stream)
{
    CbwCounter_Add(&local_daemon->counters, CBW_COUNTER_MESSAGES_TOO_LARGE, 1);
    CbwLog_Write(CBW_LOG_WARNING, "clients", "message-too-large", "address=%s",
                 stream->ip);
}

bool
ClientLimits_MayKeep(const cbw_memory_account_t *account, size_t bytes)
{
    if (CbwMemoryAccount_MayKeep(account, bytes)) {
        return true;
    }
    CbwCounter_Add(&local_daemon->counters, CBW_COUNTER_SESSION_DATA_REFUSED,
                   1);
    CbwLog_Write(CBW_LOG_WARNING, "clients", "session-data-refused",
                 "workspace=%s bytes=%zu held=%zu", account->share->workspace,
                 bytes, account->total);
    return false;
}

/* Returns how many descriptors this process may open: its setting, but at most
 * what the system allows. */
static size_t
descriptor_limit(void)
{
    struct rlimit system = {.rlim_cur = RLIM_INFINITY};
    size_t limit = (size_t)local_daemon->settings.descriptor_limit;

    getrlimit(RLIMIT_NOFILE, &system);
    if (limit == 0 ||
        (system.rlim_cur != RLIM_INFINITY && system.rlim_cur < limit)) {
        limit = system.rlim_cur == RLIM_INFINITY ? 4 * CALLERS_MAX
                                                 : system.rlim_cur;
    }
    return limit;
}

void
ClientLimits_Start(daemon_t *daemon)
{
    size_t memory_mb = daemon->settings.memory_limit_mb > 0
                           ? (size_t)daemon->settings.memory_limit_mb
                           : MEMORY_DEFAULT_MB;

    local_daemon = daemon;
    CbwMemoryBudget_Init(&budget, memory_mb * 1024 * 1024 / MEMORY_DIVISOR);
    CbwMemory_DivideDescriptors(descriptor_limit(), &shares);
    if (shares.ports[CBW_PORT_CALLERS] > CALLERS_MAX) {
        shares.ports[CBW_PORT_CALLERS] = CALLERS_MAX;
    }
    ev_prepare_init(&prepare_watcher, on_prepare);
    ev_prepare_start(daemon->loop, &prepare_watcher);
    CbwTick_Init(&timer, on_tick, TICK_SECONDS, TICK_SECONDS);
    ev_timer_start(daemon->loop, &timer);
}
