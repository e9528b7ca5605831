/* The config task: distributes the configuration text. A few hosts watch it in
 * the store; the others fetch it from peers. An older version never replaces a
 * newer one. */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "carobwind/delta.h"
#include "carobwind/log.h"
#include "carobwind/random.h"
#include "messages.h"
#include "share/net.h"
#include "share/tick.h"

/* Key of the configuration record, and name of the role of its watchers. */
#define CONFIG_KEY "config"
#define TICK_SECONDS 0.05
/* Number of members that watch the store on behalf of the fleet. */
#define WATCHER_COUNT 3
/* Long-poll time of a watch. */
#define WATCH_WAIT (5 * Cbw_SEC)
/* Shortest delay before a failed call to the store is retried. A random time
 * of up to the same length is added. */
#define RETRY_INTERVAL (500 * Cbw_MSEC)
#define FETCH_TIMEOUT (1 * Cbw_SEC)
/* Number of latest versions that are kept, so that peers that have one of them
 * are sent only the difference. */
#define HISTORY_MAX 8

typedef struct {
    daemon_t *daemon;
    config_t *history[HISTORY_MAX]; /* latest first; [0] is in force */
    view_t *view;
    bool store_call_pending;
    cbw_time_t next_store_call_at;
    bool fetching;            /* a fetch from a peer is in flight */
    int64_t rejected_version; /* of the last text with parse errors */
    cbw_random_t random;
    ev_timer timer;
} config_task_t;

static config_task_t self;

static int64_t
current_version(void)
{
    return self.history[0] != NULL ? self.history[0]->inventory.version : 0;
}

static void
publish_config(void)
{
    static const task_id_t subscribers[] = {TASK_ENTRY, TASK_ROUTER,
                                            TASK_OWNER, TASK_MEMBER};

    for (size_t i = 0; i < sizeof(subscribers) / sizeof(subscribers[0]); i++) {
        config_message_t *message = calloc(1, sizeof(*message));
        if (message == NULL) {
            abort();
        }
        CbwList_Init(&message->message.link);
        message->config = Config_Ref(self.history[0]);
        Task_Post(TASK_CONFIG, subscribers[i], MESSAGE_CONFIG,
                  &message->message);
    }
}

static void
push_history(config_t *config)
{
    Config_Unref(self.history[HISTORY_MAX - 1]);
    memmove(&self.history[1], &self.history[0],
            sizeof(self.history) - sizeof(config_t *));
    self.history[0] = config;
}

/* Parses a text and puts it in force, if its version is higher than the
 * current one. `source` is for the log. */
static void
apply_text(int64_t version, const char *text, const char *source)
{
    config_t *config;
    cbw_findings_t findings;

    if (version <= current_version() || version == self.rejected_version) {
        return;
    }
    config = calloc(1, sizeof(*config));
    if (config == NULL) {
        abort();
    }
    CbwFindings_Init(&findings);
    if (CbwInventory_Parse(&config->inventory, text, CONFIG_KEY, &findings) !=
        0) {
        self.rejected_version = version;
        CbwLog_Write(CBW_LOG_ERROR, "config", "refused",
                     "version=%" PRId64 " findings=%zu first=\"%s\"", version,
                     findings.count, findings.items[0].text);
        free(config);
    }
    else {
        config->references = 1;
        config->inventory.version = version;
        config->revision = version;
        config->text = strdup(text);
        push_history(config);
        CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_CONFIG_APPLIED, 1);
        CbwLog_Write(CBW_LOG_INFO, "config", "in-force",
                     "version=%" PRId64 " source=%s", version, source);
        publish_config();
    }
    CbwFindings_Finish(&findings);
}

/* Store. */

static bool
is_watcher(void)
{
    if (self.view == NULL) {
        return true;
    }
    return CbwMembership_RoleIndex(&self.view->membership, CONFIG_KEY) <
           WATCHER_COUNT;
}

static void
call_store(cbw_time_t now)
{
    bool initial = self.history[0] == NULL;
    store_call_t *call;

    if (self.store_call_pending || now < self.next_store_call_at ||
        (!initial && !is_watcher())) {
        return;
    }
    self.store_call_pending = true;
    call = StoreCall_New(initial ? STORE_GET : STORE_WATCH, CONFIG_KEY);
    call->version = (uint64_t)current_version();
    call->wait = initial ? 0 : WATCH_WAIT;
    call->reply_to = TASK_CONFIG;
    Task_Post(TASK_CONFIG, TASK_STORE, MESSAGE_STORE, &call->message);
}

static void
on_store_done(store_call_t *call)
{
    cbw_time_t now = CbwNet_Now();

    self.store_call_pending = false;
    if (call->status == CBW_STORE_OK) {
        apply_text((int64_t)call->version, call->value, "store");
        self.next_store_call_at = now;
    }
    else {
        self.next_store_call_at =
            now + RETRY_INTERVAL +
            (cbw_time_t)CbwRandom_Below(&self.random, RETRY_INTERVAL);
    }
    StoreCall_Free(call);
}

/* Peers. */

static void
fetch_from_peer(const char *address)
{
    outbound_t *outbound = Outbound_New(PEER_CONFIG, address);

    self.fetching = true;
    outbound->args.config.since = current_version();
    outbound->timeout = FETCH_TIMEOUT;
    outbound->reply_to = TASK_CONFIG;
    Task_Post(TASK_CONFIG, TASK_PEER, MESSAGE_OUTBOUND, &outbound->message);
}

static void
on_peer_version(peer_version_message_t *message)
{
    if (message->peer_revision > current_version() &&
        message->peer_revision != self.rejected_version && !self.fetching) {
        fetch_from_peer(message->address);
    }
    free(message);
}

static void
on_fetch_done(outbound_t *outbound)
{
    const peer_config_result *result = &outbound->result.config;
    const char *base = "";
    cbw_delta_t delta;
    char *text;

    self.fetching = false;
    if (outbound->answered && result->text_version > current_version() &&
        (result->base == 0 || result->base == current_version())) {
        if (result->base != 0) {
            base = self.history[0]->text;
        }
        delta.prefix = result->prefix;
        delta.suffix = result->suffix;
        delta.text = result->text.text_val;
        delta.size = result->text.text_len;
        text = CbwDelta_Apply(&delta, base);
        if (text != NULL) {
            CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_CONFIG_FETCHED,
                           1);
            apply_text(result->text_version, text, outbound->address);
            free(text);
        }
    }
    Outbound_Free(outbound);
}

static const config_t *
find_in_history(int64_t version)
{
    for (int i = 0; i < HISTORY_MAX; i++) {
        if (self.history[i] != NULL &&
            self.history[i]->inventory.version == version) {
            return self.history[i];
        }
    }
    return NULL;
}

static void
answer_config(inbound_t *inbound)
{
    peer_config_result *result = &inbound->result.config;
    const config_t *base = find_in_history(inbound->args.config.since);
    cbw_delta_t delta;

    if (self.history[0] != NULL) {
        CbwDelta_Compute(&delta, base != NULL ? base->text : "",
                         self.history[0]->text);
        result->text_version = current_version();
        result->base = base != NULL ? base->inventory.version : 0;
        result->prefix = (u_int)delta.prefix;
        result->suffix = (u_int)delta.suffix;
        result->text.text_val = malloc(delta.size + 1);
        if (result->text.text_val == NULL) {
            abort();
        }
        memcpy(result->text.text_val, delta.text, delta.size);
        result->text.text_len = (u_int)delta.size;
    }
    Task_Post(TASK_CONFIG, TASK_PEER, MESSAGE_INBOUND_DONE, &inbound->message);
}

static void
handle(void *state, message_t *message)
{
    (void)state;
    switch (message->type) {
    case MESSAGE_STORE_DONE:
        on_store_done(Cbw_LIST_ITEM(message, store_call_t, message));
        break;
    case MESSAGE_PEER_VERSION:
        on_peer_version(
            Cbw_LIST_ITEM(message, peer_version_message_t, message));
        break;
    case MESSAGE_OUTBOUND_DONE:
        on_fetch_done(Cbw_LIST_ITEM(message, outbound_t, message));
        break;
    case MESSAGE_INBOUND:
        answer_config(Cbw_LIST_ITEM(message, inbound_t, message));
        break;
    case MESSAGE_VIEW:
        View_Replace(&self.view, message);
        break;
    default:
        break;
    }
}

static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)watcher;
    (void)events;
    call_store(CbwNet_Now());
}

void
ConfigTask_Start(daemon_t *daemon)
{
    self.daemon = daemon;
    CbwRandom_Init(&self.random, daemon->nonce);
    Task_Register(daemon->loop, TASK_CONFIG, handle, NULL);
    CbwTick_Init(&self.timer, on_tick, TICK_SECONDS, TICK_SECONDS);
    ev_timer_start(daemon->loop, &self.timer);
}
