/* The config task: the operators' text, from the store on a few hosts and from
 * peers on the others. A version never goes back. */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "carobwind/delta.h"
#include "carobwind/log.h"
#include "carobwind/random.h"
#include "messages.h"
#include "share/net.h"

#define CONFIG_KEY "config"
#define TICK_SECONDS 0.05
/* Members that watch the store for all. */
#define WATCHERS 3
#define WATCH_WAIT (5 * Cbw_SEC)
/* Time until a failed call to the store is made again, with jitter. */
#define RETRY_INTERVAL (500 * Cbw_MSEC)
#define FETCH_TIMEOUT (1 * Cbw_SEC)
/* Texts that are kept to send differences from. */
#define KEPT_TEXTS 8

typedef struct {
    daemon_t *daemon;
    config_t *kept[KEPT_TEXTS]; /* latest first; [0] is in force */
    view_t *view;
    bool store_asked;
    cbw_time_t store_at;
    bool fetching;
    int64_t refused_version; /* of a text that did not parse */
    cbw_random_t random;
    ev_timer timer;
} config_task_t;

static config_task_t self;

static int64_t
present_version(void)
{
    return self.kept[0] != NULL ? self.kept[0]->inventory.version : 0;
}

static void
publish(void)
{
    static const task_id_t readers[] = {TASK_ENTRY, TASK_ROUTER, TASK_OWNER,
                                        TASK_MEMBER};

    for (size_t i = 0; i < sizeof(readers) / sizeof(readers[0]); i++) {
        config_message_t *message = calloc(1, sizeof(*message));
        if (message == NULL) {
            abort();
        }
        CbwList_Init(&message->message.link);
        message->config = Config_Ref(self.kept[0]);
        Task_Post(TASK_CONFIG, readers[i], MESSAGE_CONFIG, &message->message);
    }
}

static void
keep(config_t *config)
{
    Config_Unref(self.kept[KEPT_TEXTS - 1]);
    memmove(&self.kept[1], &self.kept[0],
            sizeof(self.kept) - sizeof(config_t *));
    self.kept[0] = config;
}

/* Puts a text in force, unless its version is not higher than the present. */
static void
take_text(int64_t version, const char *text, const char *source)
{
    config_t *config;
    cbw_findings_t findings;

    if (version <= present_version() || version == self.refused_version) {
        return;
    }
    config = calloc(1, sizeof(*config));
    if (config == NULL) {
        abort();
    }
    CbwFindings_Init(&findings);
    if (CbwInventory_Parse(&config->inventory, text, CONFIG_KEY, &findings) !=
        0) {
        self.refused_version = version;
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
        keep(config);
        CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_CONFIG_APPLIED, 1);
        CbwLog_Write(CBW_LOG_INFO, "config", "in-force",
                     "version=%" PRId64 " source=%s", version, source);
        publish();
    }
    CbwFindings_Finish(&findings);
}

/* The store. */

static bool
is_watcher(void)
{
    if (self.view == NULL) {
        return true;
    }
    return CbwMembership_RoleIndex(&self.view->membership, CONFIG_KEY) <
           WATCHERS;
}

static void
ask_store(cbw_time_t now)
{
    bool first = self.kept[0] == NULL;
    store_call_t *call;

    if (self.store_asked || now < self.store_at || (!first && !is_watcher())) {
        return;
    }
    self.store_asked = true;
    call = StoreCall_New(first ? STORE_GET : STORE_WATCH, CONFIG_KEY);
    call->version = (uint64_t)present_version();
    call->wait = first ? 0 : WATCH_WAIT;
    call->reply_to = TASK_CONFIG;
    Task_Post(TASK_CONFIG, TASK_STORE, MESSAGE_STORE, &call->message);
}

static void
on_store_done(store_call_t *call)
{
    cbw_time_t now = CbwNet_Now();

    self.store_asked = false;
    if (call->status == CBW_STORE_OK) {
        take_text((int64_t)call->version, call->value, "store");
        self.store_at = now;
    }
    else {
        self.store_at =
            now + RETRY_INTERVAL +
            (cbw_time_t)CbwRandom_Below(&self.random, RETRY_INTERVAL);
    }
    StoreCall_Free(call);
}

/* Peers. */

static void
fetch(const char *address)
{
    outbound_t *outbound = Outbound_New(PEER_CONFIG, address);

    self.fetching = true;
    outbound->args.config.since = present_version();
    outbound->timeout = FETCH_TIMEOUT;
    outbound->reply_to = TASK_CONFIG;
    Task_Post(TASK_CONFIG, TASK_PEER, MESSAGE_OUTBOUND, &outbound->message);
}

static void
on_peer_version(peer_version_message_t *message)
{
    if (message->version > present_version() &&
        message->version != self.refused_version && !self.fetching) {
        fetch(message->address);
    }
    free(message);
}

static void
on_fetched(outbound_t *outbound)
{
    const peer_config_result *result = &outbound->result.config;
    const char *base = "";
    cbw_delta_t delta;
    char *text;

    self.fetching = false;
    if (outbound->answered && result->text_version > present_version() &&
        (result->base == 0 || result->base == present_version())) {
        if (result->base != 0) {
            base = self.kept[0]->text;
        }
        delta.prefix = result->prefix;
        delta.suffix = result->suffix;
        delta.text = result->text.text_val;
        delta.size = result->text.text_len;
        text = CbwDelta_Apply(&delta, base);
        if (text != NULL) {
            CbwCounter_Add(&self.daemon->counters, CBW_COUNTER_CONFIG_FETCHED,
                           1);
            take_text(result->text_version, text, outbound->address);
            free(text);
        }
    }
    Outbound_Free(outbound);
}

static const config_t *
find_kept(int64_t version)
{
    for (int i = 0; i < KEPT_TEXTS; i++) {
        if (self.kept[i] != NULL &&
            self.kept[i]->inventory.version == version) {
            return self.kept[i];
        }
    }
    return NULL;
}

static void
answer_config(inbound_t *inbound)
{
    peer_config_result *result = &inbound->result.config;
    const config_t *base = find_kept(inbound->args.config.since);
    cbw_delta_t delta;

    if (self.kept[0] != NULL) {
        CbwDelta_Compute(&delta, base != NULL ? base->text : "",
                         self.kept[0]->text);
        result->text_version = present_version();
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
        on_fetched(Cbw_LIST_ITEM(message, outbound_t, message));
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
    ask_store(CbwNet_Now());
}

void
ConfigTask_Start(daemon_t *daemon)
{
    self.daemon = daemon;
    CbwRandom_Init(&self.random, daemon->nonce);
    Task_Register(daemon->loop, TASK_CONFIG, handle, NULL);
    ev_timer_init(&self.timer, on_tick, TICK_SECONDS, TICK_SECONDS);
    ev_timer_start(daemon->loop, &self.timer);
}
