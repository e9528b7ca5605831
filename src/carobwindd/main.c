/* Startup and graceful shutdown of the daemon. */

#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <sysexits.h>
#include <unistd.h>

#include "carobwind/log.h"
#include "carobwind/nonce.h"
#include "carobwind/plugin.h"
#include "client_limits.h"
#include "drivers.h"
#include "messages.h"
#include "platform/probe.h"
#include "share/fault.h"
#include "share/log_output.h"
#include "share/net.h"
#include "share/reaper.h"
#include "share/tick.h"

#define DRAIN_TICK_SECONDS 0.05
/* Shortest drain: the membership change needs this time to spread. */
#define DRAIN_TIME_MIN (1200 * Cbw_MSEC)
/* Longest wait for the next owners to prepare, before this host announces that
 * it leaves. */
#define HAND_OVER_TIMEOUT (1 * Cbw_SEC)
/* Buffers of at least this many bytes are returned to the system when they are
 * freed. */
#define LARGE_BUFFER (128 * 1024)
/* How long TASK_ENTRY and TASK_OWNER must have reported no work before the
 * process ends. */
#define DRAIN_IDLE_TIME (300 * Cbw_MSEC)

typedef struct {
    daemon_t *daemon;
    bool draining;
    bool leaving; /* peers have been told that this host leaves */
    cbw_time_t drain_started_at;
    cbw_time_t last_busy_at; /* when a task last reported pending work */
    ev_timer timer;
} main_task_t;

static daemon_t the_daemon;
static main_task_t self;

/* Posts MESSAGE_DRAIN or MESSAGE_DRAIN_REPORT. Only the latter is a
 * report_message_t; receivers of MESSAGE_DRAIN use only its message_t. */
static void
post_to(task_id_t task, message_type_t type)
{
    report_message_t *message = calloc(1, sizeof(*message));

    if (message == NULL) {
        abort();
    }
    CbwList_Init(&message->message.link);
    Task_Post(TASK_MAIN, task, type, &message->message);
}

static void
announce_leaving(void)
{
    if (!self.leaving) {
        self.leaving = true;
        post_to(TASK_MEMBER, MESSAGE_DRAIN);
    }
}

static void
on_drain_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
    cbw_time_t now = CbwNet_Now();
    cbw_time_t limit = self.daemon->settings.drain_seconds * Cbw_SEC;

    (void)watcher;
    (void)events;
    if (now - self.drain_started_at > limit) {
        CbwLog_Write(CBW_LOG_WARNING, "main", "drain-limit", "seconds=%ld",
                     self.daemon->settings.drain_seconds);
        ev_break(loop, EVBREAK_ALL);
        return;
    }
    if (now - self.drain_started_at > HAND_OVER_TIMEOUT) {
        announce_leaving();
    }
    if (now - self.drain_started_at > DRAIN_TIME_MIN &&
        now - self.last_busy_at > DRAIN_IDLE_TIME) {
        ev_break(loop, EVBREAK_ALL);
        return;
    }
    post_to(TASK_ENTRY, MESSAGE_DRAIN_REPORT);
    post_to(TASK_OWNER, MESSAGE_DRAIN_REPORT);
}

static void
begin_drain(void)
{
    if (self.draining) {
        return;
    }
    self.draining = true;
    self.daemon->draining = true;
    self.drain_started_at = CbwNet_Now();
    self.last_busy_at = self.drain_started_at;
    CbwLog_Write(CBW_LOG_INFO, "main", "draining", "host=%s",
                 self.daemon->settings.name);
    post_to(TASK_ENTRY, MESSAGE_DRAIN);
    post_to(TASK_OWNER, MESSAGE_DRAIN);
    CbwTick_Init(&self.timer, on_drain_tick, DRAIN_TICK_SECONDS,
                 DRAIN_TICK_SECONDS);
    ev_timer_start(self.daemon->loop, &self.timer);
}

static void
on_terminate(struct ev_loop *loop, ev_signal *watcher, int events)
{
    (void)loop;
    (void)watcher;
    (void)events;
    begin_drain();
}

/* Logs SIGHUP, which has no other effect. */
static void
on_hangup(struct ev_loop *loop, ev_signal *watcher, int events)
{
    (void)loop;
    (void)watcher;
    (void)events;
    CbwLog_Write(CBW_LOG_INFO, "main", "reload", "host=%s",
                 self.daemon->settings.name);
}

static void
handle(void *state, message_t *message)
{
    (void)state;
    if (message->type == MESSAGE_DRAIN_REPORT) {
        report_message_t *report =
            Cbw_LIST_ITEM(message, report_message_t, message);
        if (report->busy_count > 0) {
            self.last_busy_at = CbwNet_Now();
        }
        free(report);
    }
    else if (message->type == MESSAGE_HANDED_OVER) {
        announce_leaving();
        free(message);
    }
    else if (message->type == MESSAGE_INBOUND) {
        inbound_t *inbound = Cbw_LIST_ITEM(message, inbound_t, message);
        begin_drain();
        inbound->result.flag = TRUE;
        Task_Post(TASK_MAIN, TASK_PEER, MESSAGE_INBOUND_DONE,
                  &inbound->message);
    }
}

static void
init_daemon(daemon_t *daemon, struct ev_loop *loop)
{
    const char *peers = daemon->settings.peers_address;

    daemon->loop = loop;
    snprintf(daemon->local_ip, sizeof(daemon->local_ip), "%.*s",
             (int)strcspn(peers, ":"), peers);
    if (getrandom(&daemon->nonce, sizeof(daemon->nonce), 0) !=
        sizeof(daemon->nonce)) {
        abort();
    }
    daemon->owner_nonce = CbwNonce_New(peers, daemon->nonce);
    CbwLog_SetLevel(
        (cbw_log_level_t)CbwLog_LevelFromString(daemon->settings.log_level));
    if (daemon->settings.test_faults) {
        CbwFault_Enable();
    }
}

static int
start_tasks(daemon_t *daemon, cbw_error_t *error)
{
    const settings_t *settings = &daemon->settings;
    const endpoint_driver_t *endpoints =
        CbwPlugin_Find(CBW_PLUGIN_ENDPOINT_DRIVER, settings->endpoint_driver);

    Task_Register(daemon->loop, TASK_MAIN, handle, NULL);
    ClientLimits_Start(daemon);
    StoreTask_Start(daemon);
    if (settings->registry_driver[0] != '\0') {
        RegistryTask_Start(daemon);
    }
    else {
        ConfigTask_Start(daemon);
    }
    RouterTask_Start(daemon);
    if (endpoints->supports_request_keys) {
        OwnerTask_Start(daemon);
    }
    else {
        PoolTask_Start(daemon);
    }
    if (MemberTask_Start(daemon, error) != 0 ||
        PeerTask_Start(daemon, error) != 0) {
        return -1;
    }
    if (Probe_Start(daemon, error) != 0) {
        return -1;
    }
    return strcmp(settings->caller_driver, "resp") == 0
               ? EntryTask_Start(daemon, error)
               : SessionTask_Start(daemon, error);
}

int
main(int argc, char **argv)
{
    struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
    cbw_findings_t findings;
    cbw_error_t error = {0};
    ev_signal signals[3];

    CbwFindings_Init(&findings);
    if (Settings_Parse(&the_daemon.settings, argc, argv, &findings) != 0) {
        CbwFindings_Print(&findings, stderr);
        return EX_USAGE;
    }
    signal(SIGPIPE, SIG_IGN);
    /* The C library raises this threshold with the first large buffer that is
     * freed, and then keeps the memory of all later ones. */
    mallopt(M_MMAP_THRESHOLD, LARGE_BUFFER);
    mallopt(M_TRIM_THRESHOLD, LARGE_BUFFER);
    CbwLogOutput_Start(loop, STDOUT_FILENO);
    self.daemon = &the_daemon;
    init_daemon(&the_daemon, loop);
    CbwReaper_Start(loop);
    if (start_tasks(&the_daemon, &error) != 0) {
        fprintf(stderr, "carobwindd: %s\n", error.text);
        return EX_UNAVAILABLE;
    }
    ev_signal_init(&signals[0], on_terminate, SIGTERM);
    ev_signal_init(&signals[1], on_terminate, SIGINT);
    ev_signal_start(loop, &signals[0]);
    ev_signal_start(loop, &signals[1]);
    ev_signal_init(&signals[2], on_hangup, SIGHUP);
    ev_signal_start(loop, &signals[2]);
    CbwLog_Write(CBW_LOG_INFO, "main", "started",
                 "host=%s data-centre=%s callers=%s peers=%s",
                 the_daemon.settings.name, the_daemon.settings.data_centre,
                 the_daemon.settings.callers_address,
                 the_daemon.settings.peers_address);
    ev_run(loop, 0);
    CbwLog_Write(CBW_LOG_INFO, "main", "stopped", "host=%s",
                 the_daemon.settings.name);
    CbwLogOutput_Flush();
    return EX_OK;
}
