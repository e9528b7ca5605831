#include <string.h>

#include "explorer_world.h"

const char *const ExplorerWorld_CallString[] = {
    "none", "run", "cancel", "state", "fence", "promote", "read", "swap",
};

model_state_t *ExplorerWorld_state;
const explorer_settings_t *ExplorerWorld_settings;
bool ExplorerWorld_overflow;
model_owner_context_t ExplorerWorld_contexts[MODEL_OWNERS] = {{0}, {1}};

/* Messages and the operations of the promotion. */

model_message_t *
ExplorerWorld_NewMessage(int owner, model_call_t call, int endpoint)
{
    for (int i = 0; i < MODEL_MESSAGES_MAX; i++) {
        model_message_t *message = &ExplorerWorld_state->messages[i];
        if (message->call == CALL_NONE) {
            memset(message, 0, sizeof(*message));
            message->call = (unsigned char)call;
            message->owner = (unsigned char)owner;
            message->endpoint = (unsigned char)endpoint;
            return message;
        }
    }
    ExplorerWorld_overflow = true;
    return NULL;
}

static void
op_read_record(void *context)
{
    ExplorerWorld_NewMessage(((model_owner_context_t *)context)->owner,
                             CALL_READ_RECORD, 0);
}

static void
op_swap_record(void *context, uint64_t version,
               const cbw_group_record_t *record)
{
    model_message_t *message = ExplorerWorld_NewMessage(
        ((model_owner_context_t *)context)->owner, CALL_SWAP_RECORD, 0);

    if (message != NULL) {
        message->version = (unsigned char)version;
        message->term = (unsigned char)record->term;
        message->claimant = record->claimant;
        message->primary = (unsigned char)(record->primary + 1);
    }
}

static void
op_fence(void *context, int endpoint, uint64_t term)
{
    model_message_t *message = ExplorerWorld_NewMessage(
        ((model_owner_context_t *)context)->owner, CALL_FENCE, endpoint);

    if (message != NULL) {
        message->term = (unsigned char)term;
    }
}

static void
op_promote(void *context, int endpoint, uint64_t term)
{
    model_message_t *message = ExplorerWorld_NewMessage(
        ((model_owner_context_t *)context)->owner, CALL_PROMOTE, endpoint);

    if (message != NULL) {
        message->term = (unsigned char)term;
    }
}

static void
op_on_outcome(void *context, uint64_t term, int endpoint, const char *reason)
{
    model_owner_t *owner =
        &ExplorerWorld_state
             ->owners[((model_owner_context_t *)context)->owner];

    (void)reason;
    if (endpoint >= 0) {
        owner->has_primary = true;
        owner->primary = (unsigned char)endpoint;
        owner->term = (unsigned char)term;
        owner->request_sent = false;
        owner->confirming = false;
        CbwConfirm_SetTerm(&owner->confirm, term);
    }
}

const cbw_promotion_ops_t ExplorerWorld_promotion_ops = {
    .read_record = op_read_record,
    .swap_record = op_swap_record,
    .fence = op_fence,
    .promote = op_promote,
    .on_outcome = op_on_outcome,
};

/* Endpoints. */

int
ExplorerWorld_FindEntry(const model_endpoint_t *endpoint,
                        model_entry_type_t type)
{
    for (int i = 0; i < endpoint->length; i++) {
        if (endpoint->log[i].type == type) {
            return i + 1;
        }
    }
    return 0;
}

int
ExplorerWorld_Append(model_endpoint_t *endpoint, int term,
                     model_entry_type_t type)
{
    if (endpoint->length == MODEL_LOG_MAX) {
        ExplorerWorld_overflow = true;
        return 0;
    }
    endpoint->log[endpoint->length].term = (unsigned char)term;
    endpoint->log[endpoint->length].type = (unsigned char)type;
    return ++endpoint->length;
}

static bool
has_higher_primary(int term)
{
    for (int i = 0; i < MODEL_ENDPOINTS; i++) {
        if (ExplorerWorld_state->endpoints[i].primary &&
            ExplorerWorld_state->endpoints[i].term > term) {
            return true;
        }
    }
    return false;
}

static void
fill_state(const model_endpoint_t *endpoint, model_message_t *message)
{
    int length = endpoint->length;

    message->state_term = endpoint->term;
    message->state_primary = endpoint->primary;
    message->state_position = (unsigned char)length;
    message->state_last_term = length > 0 ? endpoint->log[length - 1].term : 0;
    for (int i = 0; i < length; i++) {
        if (endpoint->log[i].type == ENTRY_BEGIN) {
            message->state_begin = (unsigned char)(i + 1);
        }
    }
}

/* Executes a RUN or CANCEL call: appends the write or its tombstone, unless
 * the log has either already. */
static void
execute_once(model_endpoint_t *endpoint, model_message_t *message)
{
    int write = ExplorerWorld_FindEntry(endpoint, ENTRY_WRITE);
    int tombstone = ExplorerWorld_FindEntry(endpoint, ENTRY_TOMBSTONE);
    bool fenced = message->term < endpoint->term &&
                  ExplorerWorld_settings->without != RULE_FENCE;
    int position;

    if (fenced || !endpoint->primary) {
        message->status = CBW_REPLY_SUPERSEDED;
        return;
    }
    message->status = CBW_REPLY_OK;
    message->superseded = has_higher_primary(message->term);
    if (ExplorerWorld_settings->without == RULE_REQUEST_KEY) {
        write = 0;
        tombstone = 0;
    }
    if (write > 0 || tombstone > 0) {
        position = write > 0 ? write : tombstone;
        message->cancelled = write == 0;
        message->entry_term = endpoint->log[position - 1].term;
        message->entry_position = (unsigned char)position;
        return;
    }
    message->cancelled = message->call == CALL_CANCEL;
    if (message->cancelled &&
        ExplorerWorld_settings->without == RULE_TOMBSTONE) {
        message->entry_term = endpoint->log[endpoint->length - 1].term;
        message->entry_position = endpoint->length;
        return;
    }
    position = ExplorerWorld_Append(endpoint, message->term,
                                    message->cancelled ? ENTRY_TOMBSTONE
                                                       : ENTRY_WRITE);
    message->entry_term = message->term;
    message->entry_position = (unsigned char)position;
}

static void
fence_endpoint(model_endpoint_t *endpoint, model_message_t *message)
{
    if (message->term < endpoint->term) {
        message->status = CBW_REPLY_SUPERSEDED;
        return;
    }
    if (message->term > endpoint->term) {
        endpoint->term = message->term;
        if (ExplorerWorld_settings->without != RULE_FENCE) {
            endpoint->primary = 0;
        }
        endpoint->follows = 0;
    }
    message->status = CBW_REPLY_OK;
}

static void
promote_endpoint(model_endpoint_t *endpoint, model_message_t *message)
{
    if (message->term != endpoint->term) {
        message->status = CBW_REPLY_SUPERSEDED;
        return;
    }
    if (!endpoint->primary) {
        endpoint->primary = 1;
        endpoint->follows = 0;
        ExplorerWorld_Append(endpoint, message->term, ENTRY_BEGIN);
    }
    message->status = CBW_REPLY_OK;
}

static void
execute_swap_record(model_message_t *message)
{
    bool skip_compare = ExplorerWorld_settings->without == RULE_ONE_PROMOTER;

    if (message->version != ExplorerWorld_state->record_version &&
        !skip_compare) {
        message->status = CBW_STORE_CONFLICT;
        return;
    }
    ExplorerWorld_state->record_version++;
    ExplorerWorld_state->record_term = message->term;
    ExplorerWorld_state->record_claimant = message->claimant;
    ExplorerWorld_state->record_primary = message->primary;
    message->version = ExplorerWorld_state->record_version;
    message->status = CBW_STORE_OK;
}

static void
execute_read_record(model_message_t *message)
{
    message->status = CBW_STORE_OK;
    message->version = ExplorerWorld_state->record_version;
    message->term = ExplorerWorld_state->record_term;
    message->claimant = ExplorerWorld_state->record_claimant;
    message->primary = ExplorerWorld_state->record_primary;
}

void
ExplorerWorld_DeliverCall(model_message_t *message)
{
    model_endpoint_t *endpoint =
        &ExplorerWorld_state->endpoints[message->endpoint];

    message->is_reply = 1;
    switch (message->call) {
    case CALL_RUN:
    case CALL_CANCEL:
        execute_once(endpoint, message);
        break;
    case CALL_FENCE:
        fence_endpoint(endpoint, message);
        break;
    case CALL_PROMOTE:
        promote_endpoint(endpoint, message);
        break;
    case CALL_SWAP_RECORD:
        execute_swap_record(message);
        return;
    case CALL_READ_RECORD:
        execute_read_record(message);
        return;
    default:
        break;
    }
    fill_state(endpoint, message);
}

/* Owners. */

static cbw_endpoint_state_t
reply_state(const model_message_t *message)
{
    cbw_endpoint_state_t state = {
        .term = message->state_term,
        .primary = message->state_primary,
        .last_term = message->state_last_term,
        .position = message->state_position,
    };

    return state;
}

void
ExplorerWorld_SendStateCalls(int index)
{
    model_owner_t *owner = &ExplorerWorld_state->owners[index];

    for (int i = 0; i < MODEL_ENDPOINTS; i++) {
        model_message_t *message;
        if (owner->state_call_in_flight[i]) {
            continue;
        }
        message = ExplorerWorld_NewMessage(index, CALL_STATE, i);
        if (message != NULL) {
            owner->state_call_in_flight[i] = true;
            message->call_sequence =
                (unsigned char)CbwConfirm_NextCallSequence(&owner->confirm);
        }
    }
}

/* Answers the writer once its answer is confirmed. */
static void
check_confirmation(int index)
{
    model_owner_t *owner = &ExplorerWorld_state->owners[index];
    cbw_confirm_level_t level =
        ExplorerWorld_settings->position || owner->cancelled
            ? CBW_CONFIRM_POSITION
            : CBW_CONFIRM_TERM;

    if (ExplorerWorld_settings->without == RULE_CONFIRM) {
        level = CBW_CONFIRM_NONE;
    }
    if (!owner->confirming ||
        !CbwConfirm_IsConfirmed(&owner->confirm, level, owner->answer_sequence,
                                owner->position)) {
        return;
    }
    owner->confirming = false;
    ExplorerWorld_state->answered_term = owner->term;
    if (owner->cancelled) {
        ExplorerWorld_state->answered_notrun = true;
    }
    else {
        ExplorerWorld_state->acknowledged = true;
        ExplorerWorld_state->acknowledged_superseded |= owner->superseded;
    }
}

static void
on_run_reply(const model_message_t *message)
{
    model_owner_t *owner = &ExplorerWorld_state->owners[message->owner];

    if (message->status != CBW_REPLY_OK || owner->confirming ||
        message->term != owner->term) {
        return;
    }
    owner->confirming = true;
    owner->cancelled = message->cancelled;
    owner->superseded = message->superseded;
    /* An entry of an earlier term is confirmed by the entry that began this
     * term, which follows it in the log. */
    owner->position = message->entry_term == owner->term
                          ? message->entry_position
                          : message->state_begin;
    owner->answer_sequence =
        (unsigned char)CbwConfirm_NextAnswerSequence(&owner->confirm);
    if (ExplorerWorld_settings->without == RULE_ANSWER_SEQUENCE) {
        owner->answer_sequence = 0;
    }
    ExplorerWorld_SendStateCalls(message->owner);
    check_confirmation(message->owner);
}

static void
on_state_reply(const model_message_t *message)
{
    model_owner_t *owner = &ExplorerWorld_state->owners[message->owner];
    cbw_endpoint_state_t state = reply_state(message);

    owner->state_call_in_flight[message->endpoint] = false;
    if (ExplorerWorld_settings->without == RULE_LAST_TERM) {
        state.last_term = owner->confirm.term;
    }
    CbwConfirm_OnState(&owner->confirm, message->endpoint,
                       message->call_sequence, &state);
    check_confirmation(message->owner);
    if (owner->confirming) {
        ExplorerWorld_SendStateCalls(message->owner);
    }
}

static void
on_fence_reply(const model_message_t *message)
{
    model_owner_t *owner = &ExplorerWorld_state->owners[message->owner];
    model_owner_context_t *context = &ExplorerWorld_contexts[message->owner];
    cbw_endpoint_state_t state = reply_state(message);

    if (ExplorerWorld_settings->without == RULE_HIGHEST_LOG) {
        /* All logs look the same. */
        state.last_term = 0;
        state.position = 0;
    }
    CbwPromotion_OnFence(&owner->promotion, MODEL_NOW, message->endpoint,
                         message->term, (cbw_reply_status_t)message->status,
                         &state, &ExplorerWorld_promotion_ops, context);
    if (ExplorerWorld_settings->without != RULE_FENCE_MAJORITY ||
        message->status != CBW_REPLY_OK) {
        return;
    }
    /* The other endpoints count as fenced, with an empty log. */
    for (int i = 0; i < MODEL_ENDPOINTS; i++) {
        cbw_endpoint_state_t none = {.term = message->term};
        if (i != message->endpoint) {
            CbwPromotion_OnFence(&owner->promotion, MODEL_NOW, i,
                                 message->term, CBW_REPLY_OK, &none,
                                 &ExplorerWorld_promotion_ops, context);
        }
    }
}

void
ExplorerWorld_DeliverReply(const model_message_t *message)
{
    model_owner_t *owner = &ExplorerWorld_state->owners[message->owner];
    model_owner_context_t *context = &ExplorerWorld_contexts[message->owner];
    cbw_group_record_t record = {
        .term = message->term,
        .claimant = message->claimant,
        .primary = message->primary - 1,
    };

    switch (message->call) {
    case CALL_RUN:
    case CALL_CANCEL:
        on_run_reply(message);
        break;
    case CALL_STATE:
        on_state_reply(message);
        break;
    case CALL_FENCE:
        on_fence_reply(message);
        break;
    case CALL_PROMOTE:
        CbwPromotion_OnPromote(&owner->promotion, MODEL_NOW, message->endpoint,
                               message->term,
                               (cbw_reply_status_t)message->status,
                               &ExplorerWorld_promotion_ops, context);
        break;
    case CALL_SWAP_RECORD:
        CbwPromotion_OnSwap(
            &owner->promotion, MODEL_NOW, (cbw_store_status_t)message->status,
            message->version, &ExplorerWorld_promotion_ops, context);
        break;
    case CALL_READ_RECORD:
        CbwPromotion_OnRecord(
            &owner->promotion, MODEL_NOW, (cbw_store_status_t)message->status,
            message->version, &record, &ExplorerWorld_promotion_ops, context);
        break;
    default:
        break;
    }
}

void
ExplorerWorld_LoseMessage(const model_message_t *message)
{
    model_message_t lost = *message;
    model_owner_t *owner = &ExplorerWorld_state->owners[message->owner];

    if (owner->crashed) {
        return;
    }
    switch (message->call) {
    case CALL_RUN:
    case CALL_CANCEL:
        owner->request_sent = false; /* may be sent again */
        break;
    case CALL_STATE:
        owner->state_call_in_flight[message->endpoint] = false;
        break;
    case CALL_FENCE:
    case CALL_PROMOTE:
        lost.status = CBW_REPLY_LOST;
        ExplorerWorld_DeliverReply(&lost);
        break;
    default:
        lost.status = CBW_STORE_LOST;
        ExplorerWorld_DeliverReply(&lost);
        break;
    }
}
