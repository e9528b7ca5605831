#include "fake_group.h"

#include <string.h>

const fake_settings_t FakeGroup_Defaults = {
    .queue_policy = "ranked",
    .limit_policy = "adaptive",
    .route_policy = "replica",
    .slots = 3,
    .service_time = 5 * Cbw_MSEC,
    .network_delay = 500,
    .replication_lag = 1 * Cbw_MSEC,
    .seed = 1,
};

/* Kinds that write: "payment" (confirm = position), "quick" (term), "bare"
 * (none) and "reading" (position; a write despite its name). Kinds that read:
 * "balance" (data of an age up to 2 s), "account" (any age) and "latest". */
static const char default_inventory[] =
    "data-centre n { region = \"r\" }\n"
    "rank urgent { floor = 0 }\n"
    "rank standard { floor = 20 }\n"
    "rank lookup { floor = 10 }\n"
    "kind payment { rank = \"urgent\" writes = true deadline = 2s }\n"
    "kind quick { rank = \"urgent\" writes = true confirm = \"term\" deadline "
    "= 2s }\n"
    "kind bare { rank = \"urgent\" writes = true confirm = \"none\" }\n"
    "kind reading { rank = \"standard\" writes = true deadline = 2s }\n"
    "kind balance { rank = \"lookup\" age = \"2s\" deadline = 1s }\n"
    "kind account { rank = \"lookup\" age = \"any\" deadline = 1s }\n"
    "kind latest { rank = \"lookup\" age = \"0s\" deadline = 1s }\n"
    "database db {\n"
    "endpoint a { data-centre = \"n\" address = \"127.0.0.1:1\" connections = "
    "100 slots = 3 }\n"
    "endpoint b { data-centre = \"n\" address = \"127.0.0.1:2\" connections = "
    "100 slots = 3 }\n"
    "endpoint c { data-centre = \"n\" address = \"127.0.0.1:3\" connections = "
    "100 slots = 3 }\n"
    "}\n";

typedef enum {
    EVENT_CALL,           /* a call reaches an endpoint */
    EVENT_STATEMENT_DONE, /* an endpoint has executed a statement */
    EVENT_REPLY,          /* a reply reaches the owner */
    EVENT_STATE_DUE,      /* the wait of a state call ends */
    EVENT_PULL,           /* a replica copies its primary's log */
    EVENT_READ_RECORD,    /* the store answers a read */
    EVENT_SWAP_RECORD,    /* the store executes and answers a swap */
    EVENT_TICK,           /* periodic call of CbwOwner_Tick */
} event_type_t;

typedef struct {
    cbw_time_t due_at;
    uint64_t sequence; /* orders events that are due at the same time */
    event_type_t type;
    int endpoint;
    cbw_call_t call;
    char key[Cbw_KEY_MAX]; /* what call.key points to */
    cbw_reply_t reply;
    uint64_t version; /* SWAP_RECORD: the expected version */
    cbw_group_record_t record;
    guint length; /* PULL: number of log entries to copy */
} event_t;

static gint
compare_events(gconstpointer left, gconstpointer right, gpointer data)
{
    const event_t *a = left;
    const event_t *b = right;

    (void)data;
    if (a->due_at != b->due_at) {
        return a->due_at < b->due_at ? -1 : 1;
    }
    return a->sequence < b->sequence ? -1 : a->sequence > b->sequence;
}

/* Queues a copy of an event that is due after `delay`. */
static void
schedule(fake_group_t *group, const event_t *template, cbw_time_t delay)
{
    event_t *event = g_new(event_t, 1);

    *event = *template;
    event->due_at = group->now + delay;
    event->sequence = ++group->event_count;
    event->call.key = event->key;
    g_sequence_insert_sorted(group->pending_events, event, compare_events,
                             NULL);
}

/* Simulation of the endpoints. */

static fake_log_entry_t *
entry_at(const fake_endpoint_t *endpoint, guint index)
{
    return &g_array_index(endpoint->log, fake_log_entry_t, index);
}

static void
fill_state(const fake_endpoint_t *endpoint, cbw_endpoint_state_t *state)
{
    memset(state, 0, sizeof(*state));
    state->term = endpoint->term;
    state->primary = endpoint->primary;
    state->follows = endpoint->follows;
    state->position = endpoint->log->len;
    for (guint i = endpoint->log->len; i > 0; i--) {
        const fake_log_entry_t *entry = entry_at(endpoint, i - 1);
        bool begins = i == 1 || entry_at(endpoint, i - 2)->term != entry->term;
        if (state->last_term == 0) {
            state->last_term = entry->term;
        }
        if (begins && state->begin_count < Cbw_TERM_BEGINS_MAX) {
            state->begins[state->begin_count++] =
                (cbw_term_begin_t){entry->term, i};
        }
    }
}

/* Appends to a primary's log and schedules the replicas' copies, which are
 * made 1 us after the replication lag. */
static void
append(fake_group_t *group, int index, const char *key, bool tombstone)
{
    fake_endpoint_t *endpoint = &group->endpoints[index];
    fake_log_entry_t entry = {.term = endpoint->term, .tombstone = tombstone};
    event_t event = {.type = EVENT_PULL, .length = endpoint->log->len + 1};

    g_strlcpy(entry.key, key, sizeof(entry.key));
    g_array_append_val(endpoint->log, entry);
    for (event.endpoint = 0; event.endpoint < FAKE_ENDPOINTS;
         event.endpoint++) {
        if (event.endpoint != index) {
            schedule(group, &event, group->settings.replication_lag + 1);
        }
    }
}

/* Returns the position of the latest entry with this key; 0 when there is none
 * or the key is empty. */
static int
find_position(const fake_endpoint_t *endpoint, const char *key)
{
    for (guint i = endpoint->log->len; key[0] != '\0' && i > 0; i--) {
        if (strcmp(entry_at(endpoint, i - 1)->key, key) == 0) {
            return (int)i;
        }
    }
    return 0;
}

int
FakeGroup_CountKey(const fake_group_t *group, int endpoint, const char *key)
{
    const fake_endpoint_t *source = &group->endpoints[endpoint];
    int count = 0;

    for (guint i = 0; i < source->log->len; i++) {
        const fake_log_entry_t *entry = entry_at(source, i);
        count += !entry->tombstone && strcmp(entry->key, key) == 0;
    }
    return count;
}

int
FakeGroup_Primary(const fake_group_t *group)
{
    int best = -1;

    for (int i = 0; i < FAKE_ENDPOINTS; i++) {
        const fake_endpoint_t *endpoint = &group->endpoints[i];
        if (endpoint->primary && !endpoint->down &&
            (best < 0 || endpoint->term > group->endpoints[best].term)) {
            best = i;
        }
    }
    return best;
}

/* Replaces a replica's log by the first `length` entries of the log of the
 * primary that it follows. */
static void
pull(fake_group_t *group, int index, guint length)
{
    fake_endpoint_t *endpoint = &group->endpoints[index];

    for (int i = 0; i < FAKE_ENDPOINTS; i++) {
        const fake_endpoint_t *source = &group->endpoints[i];
        if (endpoint->down || source->down || !source->primary ||
            source->term != endpoint->follows) {
            continue;
        }
        if (length > source->log->len) {
            length = source->log->len;
        }
        if (endpoint->log->len > 0 && length < endpoint->log->len &&
            entry_at(endpoint, endpoint->log->len - 1)->term == source->term) {
            return; /* it has copied more already */
        }
        g_array_set_size(endpoint->log, 0);
        g_array_append_vals(endpoint->log, source->log->data, length);
    }
}

static void
send_reply(fake_group_t *group, int index, event_t *event)
{
    event->type = EVENT_REPLY;
    event->endpoint = index;
    fill_state(&group->endpoints[index], &event->reply.state);
    schedule(group, event, group->settings.network_delay);
}

/* Executes a write or a cancellation unless the log has an entry with its
 * request key already. The reply has the term and the position of that entry,
 * or of the new one. */
static void
execute_once(fake_group_t *group, int index, event_t *event)
{
    fake_endpoint_t *endpoint = &group->endpoints[index];
    int position = find_position(endpoint, event->key);
    const fake_log_entry_t *entry;

    if (position == 0) {
        append(group, index, event->key, event->call.verb == CBW_CALL_CANCEL);
        position = (int)endpoint->log->len;
    }
    entry = entry_at(endpoint, (guint)position - 1);
    event->reply.status =
        entry->tombstone ? CBW_REPLY_CANCELLED : CBW_REPLY_OK;
    event->reply.entry_term = entry->term;
    event->reply.entry_position = (uint64_t)position;
}

/* Executes a RUN, BEGIN, COMMIT, ROLLBACK or CANCEL call. All but reads need
 * the primary of the call's term. */
static void
execute(fake_group_t *group, int index, event_t *event)
{
    fake_endpoint_t *endpoint = &group->endpoints[index];
    cbw_call_verb_t verb = event->call.verb;
    bool needs_primary = verb != CBW_CALL_RUN || event->call.writes;
    bool logs = verb == CBW_CALL_CANCEL || verb == CBW_CALL_COMMIT ||
                (event->call.writes && event->call.transaction == 0);

    endpoint->statement_count++;
    event->reply.status = CBW_REPLY_OK;
    event->reply.result = "";
    if (needs_primary && event->call.term < endpoint->term) {
        event->reply.status = CBW_REPLY_SUPERSEDED;
    }
    else if (needs_primary &&
             (!endpoint->primary || event->call.term != endpoint->term)) {
        event->reply.status = CBW_REPLY_NOT_PRIMARY;
    }
    else if (logs) {
        execute_once(group, index, event);
    }
    send_reply(group, index, event);
}

/* Starts queued statements while slots are free. A service time is uniformly
 * distributed between half and one and a half times the mean. */
static void
start_queued(fake_group_t *group, int index)
{
    fake_endpoint_t *endpoint = &group->endpoints[index];

    while (endpoint->busy_slots < group->settings.slots) {
        event_t *event = g_queue_pop_head(&endpoint->queue);
        cbw_time_t service = group->settings.service_time;
        if (event == NULL) {
            return;
        }
        endpoint->busy_slots++;
        event->type = EVENT_STATEMENT_DONE;
        service = service / 2 + (cbw_time_t)CbwRandom_Below(
                                    &group->random, (uint64_t)service + 1);
        schedule(group, event, service);
        g_free(event);
    }
}

/* Handles FENCE, PROMOTE and FOLLOW calls. */
static void
change_role(fake_group_t *group, int index, event_t *event)
{
    fake_endpoint_t *endpoint = &group->endpoints[index];
    uint64_t term = event->call.term;
    bool promotes = event->call.verb == CBW_CALL_PROMOTE;

    event->reply.status = CBW_REPLY_OK;
    if (term < endpoint->term || (promotes && term != endpoint->term)) {
        event->reply.status = CBW_REPLY_SUPERSEDED;
        send_reply(group, index, event);
        return;
    }
    if (term > endpoint->term) {
        endpoint->term = term;
        endpoint->primary = false;
        endpoint->follows = 0;
    }
    if (promotes && !endpoint->primary) {
        endpoint->primary = true;
        append(group, index, "", false);
    }
    if (event->call.verb == CBW_CALL_FOLLOW && !endpoint->primary) {
        event_t catch_up = {
            .type = EVENT_PULL, .endpoint = index, .length = G_MAXUINT};
        endpoint->follows = term;
        schedule(group, &catch_up, group->settings.replication_lag + 1);
    }
    send_reply(group, index, event);
}

/* Answers a state call. One that waits for a position is held back first,
 * until replicas have copied what the primary has appended by now, for at most
 * its timeout. Then it is answered whether or not the position is reached. */
static void
answer_state(fake_group_t *group, int index, event_t *event)
{
    bool waits = event->type == EVENT_CALL &&
                 event->call.wait_position > group->endpoints[index].log->len;

    if (waits && event->call.wait_timeout > 0) {
        event->type = EVENT_STATE_DUE;
        schedule(group, event,
                 MIN(event->call.wait_timeout,
                     group->settings.replication_lag + 2));
        return;
    }
    event->reply.status = CBW_REPLY_OK;
    send_reply(group, index, event);
}

static void
handle_call(fake_group_t *group, event_t *event)
{
    int index = event->endpoint;
    fake_endpoint_t *endpoint = &group->endpoints[index];

    if (endpoint->down) {
        return;
    }
    switch (event->call.verb) {
    case CBW_CALL_RUN:
    case CBW_CALL_BEGIN:
    case CBW_CALL_COMMIT:
        if (!endpoint->ignores_statements) {
            g_queue_push_tail(&endpoint->queue,
                              g_memdup2(event, sizeof(*event)));
            event_t *queued = g_queue_peek_tail(&endpoint->queue);
            queued->call.key = queued->key;
            start_queued(group, index);
        }
        break;
    case CBW_CALL_CANCEL:
        if (endpoint->ignores_cancels) {
            break;
        }
        /* fall through */
    case CBW_CALL_ROLLBACK:
        execute(group, index, event);
        break;
    case CBW_CALL_STATE:
        answer_state(group, index, event);
        break;
    default:
        change_role(group, index, event);
        break;
    }
}

/* Operations of the owner. */

static bool
op_call(void *context, int endpoint, const cbw_call_t *call)
{
    fake_group_t *group = context;
    event_t event = {.type = EVENT_CALL, .endpoint = endpoint, .call = *call};

    if (call->key != NULL) {
        g_strlcpy(event.key, call->key, sizeof(event.key));
    }
    schedule(group, &event, group->settings.network_delay);
    return true;
}

static void
op_abort(void *context, int endpoint, uint64_t id)
{
    (void)context;
    (void)endpoint;
    (void)id;
}

static void
op_end_transaction(void *context, int endpoint, uint64_t transaction,
                   bool clean)
{
    (void)context;
    (void)endpoint;
    (void)transaction;
    (void)clean;
}

static void
op_answer(void *context, cbw_request_t *request)
{
    fake_group_t *group = context;

    group->outcome_counts[request->answer.outcome]++;
    group->last_answer = request->answer;
    group->last_answer.result = NULL;
    if (group->on_answer != NULL) {
        group->on_answer(group, request);
    }
    CbwRequest_Finish(request);
    g_free(request);
}

static void
op_read_record(void *context)
{
    event_t event = {.type = EVENT_READ_RECORD};

    schedule(context, &event, 2 * Cbw_MSEC);
}

static void
op_swap_record(void *context, uint64_t version,
               const cbw_group_record_t *record)
{
    event_t event = {
        .type = EVENT_SWAP_RECORD, .version = version, .record = *record};

    schedule(context, &event, 2 * Cbw_MSEC);
}

static void
op_ask_reach(void *context, int endpoint)
{
    fake_group_t *group = context;

    (void)endpoint;
    CbwOwner_OnReach(&group->owner, group->now,
                     group->peers_reach_primary ? "peer" : NULL);
}

static void
op_move_ownership(void *context, const char *host)
{
    fake_group_t *group = context;

    (void)host;
    group->ownership_moves++;
}

static const cbw_owner_ops_t owner_ops = {
    .call = op_call,
    .abort = op_abort,
    .end_transaction = op_end_transaction,
    .answer = op_answer,
    .read_record = op_read_record,
    .swap_record = op_swap_record,
    .ask_reach = op_ask_reach,
    .move_ownership = op_move_ownership,
};

/* Simulation of the store. */

static void
answer_read_record(fake_group_t *group)
{
    CbwOwner_OnRecord(&group->owner, group->now,
                      group->store_down            ? CBW_STORE_LOST
                      : group->record_version == 0 ? CBW_STORE_MISSING
                                                   : CBW_STORE_OK,
                      group->record_version, &group->record);
}

static void
answer_swap_record(fake_group_t *group, const event_t *event)
{
    cbw_store_status_t status = CBW_STORE_OK;

    if (group->store_down) {
        status = CBW_STORE_LOST;
    }
    else if (event->version != group->record_version) {
        status = CBW_STORE_CONFLICT;
    }
    else {
        group->record = event->record;
        group->record_version++;
        if (group->lose_swap_reply) {
            group->lose_swap_reply = false;
            status = CBW_STORE_LOST;
        }
    }
    CbwOwner_OnSwap(&group->owner, group->now, status, group->record_version);
}

static void
handle_event(fake_group_t *group, event_t *event)
{
    fake_endpoint_t *endpoint = &group->endpoints[event->endpoint];

    event->call.key = event->key;
    switch (event->type) {
    case EVENT_CALL:
        handle_call(group, event);
        break;
    case EVENT_STATEMENT_DONE:
        endpoint->busy_slots--;
        if (!endpoint->down) {
            execute(group, event->endpoint, event);
        }
        start_queued(group, event->endpoint);
        break;
    case EVENT_STATE_DUE:
        answer_state(group, event->endpoint, event);
        break;
    case EVENT_REPLY:
        if (!endpoint->down) {
            CbwOwner_OnReply(&group->owner, group->now, event->call.id,
                             &event->reply);
        }
        break;
    case EVENT_PULL:
        pull(group, event->endpoint, event->length);
        break;
    case EVENT_READ_RECORD:
        answer_read_record(group);
        break;
    case EVENT_SWAP_RECORD:
        answer_swap_record(group, event);
        break;
    case EVENT_TICK:
        CbwOwner_Tick(&group->owner, group->now);
        schedule(group, event, FAKE_TICK_INTERVAL);
        break;
    }
}

void
FakeGroup_Run(fake_group_t *group, cbw_time_t until)
{
    GSequenceIter *first = g_sequence_get_begin_iter(group->pending_events);

    while (!g_sequence_iter_is_end(first)) {
        event_t *event = g_sequence_get(first);
        event_t copy = *event;
        if (copy.due_at > until) {
            break;
        }
        g_sequence_remove(first);
        group->now = copy.due_at;
        handle_event(group, &copy);
        first = g_sequence_get_begin_iter(group->pending_events);
    }
    group->now = until;
}

void
FakeGroup_SubmitTraced(fake_group_t *group, cbw_verb_t verb, const char *kind,
                       const char *key, const char *token,
                       uint64_t transaction, const char *trace)
{
    cbw_request_t *request = g_new0(cbw_request_t, 1);
    const cbw_kind_t *kind_settings =
        CbwInventory_FindKind(&group->inventory, kind);

    CbwRequest_Init(request);
    CbwRequest_SetStatement(request, "s", 1);
    request->verb = verb;
    g_strlcpy(request->database, "db", sizeof(request->database));
    g_strlcpy(request->kind_name, kind, sizeof(request->kind_name));
    g_strlcpy(request->key, key, sizeof(request->key));
    g_strlcpy(request->token, token, sizeof(request->token));
    g_strlcpy(request->trace, trace, sizeof(request->trace));
    request->age = kind_settings->age;
    request->arrived_at = group->now;
    request->deadline = group->now + kind_settings->deadline;
    request->transaction = transaction;
    group->request_count++;
    CbwOwner_Submit(&group->owner, group->now, request);
}

void
FakeGroup_Submit(fake_group_t *group, cbw_verb_t verb, const char *kind,
                 const char *key, const char *token, uint64_t transaction)
{
    FakeGroup_SubmitTraced(group, verb, kind, key, token, transaction, "");
}

static void
init_endpoints(fake_group_t *group)
{
    fake_log_entry_t begin = {.term = 1};

    for (int i = 0; i < FAKE_ENDPOINTS; i++) {
        fake_endpoint_t *endpoint = &group->endpoints[i];
        endpoint->term = 1;
        endpoint->primary = i == 0;
        endpoint->follows = i != 0; /* the primary of term 1 */
        endpoint->log = g_array_new(FALSE, FALSE, sizeof(fake_log_entry_t));
        g_array_append_val(endpoint->log, begin);
        g_queue_init(&endpoint->queue);
    }
}

void
FakeGroup_Init(fake_group_t *group, const fake_settings_t *settings)
{
    cbw_owner_policies_t policies = {
        .queue = CbwQueue_Policy(settings->queue_policy),
        .limit = CbwLimit_Policy(settings->limit_policy),
        .route = CbwRoute_Policy(settings->route_policy),
    };
    const char *text =
        settings->inventory ? settings->inventory : default_inventory;
    event_t tick = {.type = EVENT_TICK};
    cbw_findings_t findings;

    memset(group, 0, sizeof(*group));
    group->settings = *settings;
    group->now = 10 * Cbw_SEC;
    group->pending_events = g_sequence_new(g_free);
    policies.counters = &group->counters;
    CbwRandom_Init(&group->random, settings->seed);
    CbwFindings_Init(&findings);
    g_assert_cmpint(
        CbwInventory_Parse(&group->inventory, text, "fake", &findings), ==, 0);
    init_endpoints(group);
    CbwOwner_Init(&group->owner, &group->inventory,
                  &group->inventory.databases[0], &policies, &owner_ops, group,
                  1000 /* nonce */, group->now);
    schedule(group, &tick, 0);
    FakeGroup_Run(group, group->now + 700 * Cbw_MSEC);
}

void
FakeGroup_Finish(fake_group_t *group)
{
    CbwOwner_Finish(&group->owner, group->now);
    for (int i = 0; i < FAKE_ENDPOINTS; i++) {
        g_queue_clear_full(&group->endpoints[i].queue, g_free);
        g_array_free(group->endpoints[i].log, TRUE);
    }
    g_sequence_free(group->pending_events);
    CbwInventory_Finish(&group->inventory);
}
