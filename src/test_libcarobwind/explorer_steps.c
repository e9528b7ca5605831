#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "explorer_world.h"

/* A step is the number kind * STEP_ARGUMENTS_MAX + argument. */

/* Kinds of steps. The argument is the index of a message, an owner or an
 * endpoint. */
typedef enum {
    STEP_DELIVER,         /* message: delivers a call or a reply */
    STEP_ROUND_TRIP,      /* message: delivers a call, then its reply */
    STEP_LOSE,            /* message, other than a state call */
    STEP_WRITE,           /* owner: sends the write */
    STEP_CANCEL,          /* owner: sends a CANCEL call for the write */
    STEP_START_PROMOTION, /* owner */
    STEP_TICK,            /* owner: ends the wait for the remaining fences */
    STEP_CRASH,           /* owner */
    STEP_FIND_PRIMARY,    /* owner: finds the primary of the highest term */
    STEP_OTHER_WRITE,     /* endpoint: a primary runs a write of others */
    STEP_FOLLOW,          /* endpoint: follows the highest term's primary */
    STEP_REPLICATE,       /* endpoint: truncates its log to the common prefix
                             and copies the next entry */
    STEP_POLL,            /* owner: sends state calls that nothing requires */
    STEP_KIND_COUNT_,
} step_kind_t;

static const char *const step_strings[] = {
    "deliver",         "round-trip", "lose",  "write",        "cancel",
    "start-promotion", "tick",       "crash", "find-primary", "other-write",
    "follow",          "replicate",  "poll",
};

#define STEP_ARGUMENTS_MAX 16

const int ExplorerWorld_StepCount = STEP_KIND_COUNT_ * STEP_ARGUMENTS_MAX;

static int
find_highest_primary(void)
{
    int best = -1;

    for (int i = 0; i < MODEL_ENDPOINTS; i++) {
        const model_endpoint_t *endpoint = &ExplorerWorld_state->endpoints[i];
        if (endpoint->primary &&
            (best < 0 ||
             endpoint->term > ExplorerWorld_state->endpoints[best].term)) {
            best = i;
        }
    }
    return best;
}

static bool
step_deliver(int index)
{
    model_message_t message = ExplorerWorld_state->messages[index];

    if (message.call == CALL_NONE) {
        return false;
    }
    if (!message.is_reply) {
        ExplorerWorld_DeliverCall(&ExplorerWorld_state->messages[index]);
        if (ExplorerWorld_state->owners[message.owner].crashed) {
            ExplorerWorld_state->messages[index].call = CALL_NONE;
        }
        return true;
    }
    memset(&ExplorerWorld_state->messages[index], 0, sizeof(message));
    if (!ExplorerWorld_state->owners[message.owner].crashed) {
        ExplorerWorld_DeliverReply(&message);
    }
    return true;
}

static bool
step_round_trip(int index)
{
    return !ExplorerWorld_state->messages[index].is_reply &&
           step_deliver(index) && step_deliver(index);
}

static bool
step_lose(int index)
{
    model_message_t message = ExplorerWorld_state->messages[index];

    if (message.call == CALL_NONE || message.call == CALL_STATE ||
        ExplorerWorld_state->losses >= ExplorerWorld_settings->losses) {
        return false;
    }
    ExplorerWorld_state->losses++;
    memset(&ExplorerWorld_state->messages[index], 0, sizeof(message));
    ExplorerWorld_LoseMessage(&message);
    return true;
}

static bool
step_send(int index, model_call_t call)
{
    model_owner_t *owner = &ExplorerWorld_state->owners[index];
    model_message_t *message;

    if (owner->crashed || !owner->has_primary || owner->request_sent ||
        owner->confirming ||
        !(ExplorerWorld_settings->writers & (1U << index))) {
        return false;
    }
    if (call == CALL_CANCEL &&
        ExplorerWorld_state->cancels >= ExplorerWorld_settings->cancels) {
        return false;
    }
    message = ExplorerWorld_NewMessage(index, call, owner->primary);
    if (message == NULL) {
        return false;
    }
    message->term = owner->term;
    owner->request_sent = true;
    ExplorerWorld_state->cancels += call == CALL_CANCEL;
    return true;
}

static bool
step_start_promotion(int index)
{
    model_owner_t *owner = &ExplorerWorld_state->owners[index];

    if (owner->crashed ||
        ExplorerWorld_state->promotions >=
            ExplorerWorld_settings->promotions ||
        !(ExplorerWorld_settings->promoters & (1U << index)) ||
        !CbwPromotion_Start(&owner->promotion, MODEL_NOW, owner->term, 0,
                            &ExplorerWorld_promotion_ops,
                            &ExplorerWorld_contexts[index])) {
        return false;
    }
    ExplorerWorld_state->promotions++;
    return true;
}

static bool
step_tick(int index)
{
    model_owner_t *owner = &ExplorerWorld_state->owners[index];

    if (owner->crashed || owner->promotion.state != CBW_PROMOTION_FENCING ||
        owner->promotion.majority_fenced_at == 0) {
        return false;
    }
    CbwPromotion_Tick(
        &owner->promotion, MODEL_NOW + Cbw_PROMOTION_STRAGGLER_WAIT,
        &ExplorerWorld_promotion_ops, &ExplorerWorld_contexts[index]);
    return true;
}

static bool
step_crash(int index)
{
    if (ExplorerWorld_state->owners[index].crashed ||
        ExplorerWorld_state->crashes >= ExplorerWorld_settings->crashes) {
        return false;
    }
    ExplorerWorld_state->crashes++;
    memset(&ExplorerWorld_state->owners[index], 0,
           sizeof(ExplorerWorld_state->owners[index]));
    ExplorerWorld_state->owners[index].crashed = true;
    return true;
}

static bool
step_find_primary(int index)
{
    model_owner_t *owner = &ExplorerWorld_state->owners[index];
    int primary = find_highest_primary();

    if (owner->crashed || primary < 0 ||
        (owner->has_primary &&
         owner->term >= ExplorerWorld_state->endpoints[primary].term)) {
        return false;
    }
    owner->has_primary = true;
    owner->primary = (unsigned char)primary;
    owner->term = ExplorerWorld_state->endpoints[primary].term;
    owner->request_sent = false;
    owner->confirming = false;
    CbwConfirm_SetTerm(&owner->confirm, owner->term);
    return true;
}

static bool
step_other_write(int index)
{
    model_endpoint_t *endpoint = &ExplorerWorld_state->endpoints[index];

    if (!endpoint->primary || ExplorerWorld_state->other_writes >=
                                  ExplorerWorld_settings->other_writes) {
        return false;
    }
    ExplorerWorld_state->other_writes++;
    ExplorerWorld_Append(endpoint, endpoint->term, ENTRY_OTHER);
    return true;
}

static int
find_primary_of_term(int term)
{
    for (int i = 0; i < MODEL_ENDPOINTS; i++) {
        if (ExplorerWorld_state->endpoints[i].primary &&
            ExplorerWorld_state->endpoints[i].term == term) {
            return i;
        }
    }
    return -1;
}

static bool
step_follow(int index)
{
    model_endpoint_t *endpoint = &ExplorerWorld_state->endpoints[index];
    int primary = find_highest_primary();
    int term;

    if (primary < 0 || primary == index) {
        return false;
    }
    term = ExplorerWorld_state->endpoints[primary].term;
    if (term < endpoint->term || endpoint->follows == term ||
        (endpoint->primary && endpoint->term == term)) {
        return false;
    }
    endpoint->term = (unsigned char)term;
    endpoint->primary = 0;
    endpoint->follows = (unsigned char)term;
    return true;
}

static bool
step_replicate(int index)
{
    model_endpoint_t *endpoint = &ExplorerWorld_state->endpoints[index];
    int primary = find_primary_of_term(endpoint->follows);
    const model_endpoint_t *source;
    int common = 0;

    if (endpoint->follows == 0 || primary < 0) {
        return false;
    }
    source = &ExplorerWorld_state->endpoints[primary];
    while (common < endpoint->length && common < source->length &&
           memcmp(&endpoint->log[common], &source->log[common],
                  sizeof(model_entry_t)) == 0) {
        common++;
    }
    if (common == endpoint->length && common == source->length) {
        return false;
    }
    memset(&endpoint->log[common], 0,
           (size_t)(MODEL_LOG_MAX - common) * sizeof(model_entry_t));
    endpoint->length = (unsigned char)common;
    if (common < source->length) {
        ExplorerWorld_Append(endpoint, source->log[common].term,
                             (model_entry_type_t)source->log[common].type);
    }
    return true;
}

static bool
step_poll(int index)
{
    if (ExplorerWorld_state->owners[index].crashed ||
        ExplorerWorld_state->polls >= ExplorerWorld_settings->polls) {
        return false;
    }
    ExplorerWorld_state->polls++;
    ExplorerWorld_SendStateCalls(index);
    return true;
}

bool
ExplorerWorld_TakeStep(int step)
{
    int argument = step % STEP_ARGUMENTS_MAX;

    switch ((step_kind_t)(step / STEP_ARGUMENTS_MAX)) {
    case STEP_DELIVER:
        return argument < MODEL_MESSAGES_MAX && step_deliver(argument);
    case STEP_ROUND_TRIP:
        return argument < MODEL_MESSAGES_MAX && step_round_trip(argument);
    case STEP_LOSE:
        return argument < MODEL_MESSAGES_MAX && step_lose(argument);
    case STEP_WRITE:
        return argument < MODEL_OWNERS && step_send(argument, CALL_RUN);
    case STEP_CANCEL:
        return argument < MODEL_OWNERS && step_send(argument, CALL_CANCEL);
    case STEP_START_PROMOTION:
        return argument < MODEL_OWNERS && step_start_promotion(argument);
    case STEP_TICK:
        return argument < MODEL_OWNERS && step_tick(argument);
    case STEP_CRASH:
        return argument < MODEL_OWNERS && step_crash(argument);
    case STEP_FIND_PRIMARY:
        return argument < MODEL_OWNERS && step_find_primary(argument);
    case STEP_OTHER_WRITE:
        return argument < MODEL_ENDPOINTS && step_other_write(argument);
    case STEP_FOLLOW:
        return argument < MODEL_ENDPOINTS && step_follow(argument);
    case STEP_REPLICATE:
        return argument < MODEL_ENDPOINTS && step_replicate(argument);
    case STEP_POLL:
        return argument < MODEL_OWNERS && step_poll(argument);
    default:
        return false;
    }
}

size_t
ExplorerWorld_Describe(int step, char *text, size_t size)
{
    int kind = step / STEP_ARGUMENTS_MAX;
    int argument = step % STEP_ARGUMENTS_MAX;
    const model_message_t *message = &ExplorerWorld_state->messages[argument];

    if (kind <= STEP_LOSE) {
        return (size_t)snprintf(
            text, size, "%s %s %s owner %d endpoint %d term %d\n",
            step_strings[kind], message->is_reply ? "reply to" : "call",
            ExplorerWorld_CallString[message->call], message->owner,
            message->endpoint, message->term);
    }
    return (size_t)snprintf(text, size, "%s %d\n", step_strings[kind],
                            argument);
}

const char *
ExplorerWorld_FindViolation(void)
{
    int primary = find_highest_primary();

    for (int i = 0; i < MODEL_ENDPOINTS; i++) {
        const model_endpoint_t *endpoint = &ExplorerWorld_state->endpoints[i];
        int writes = 0;
        for (int j = 0; j < endpoint->length; j++) {
            writes += endpoint->log[j].type == ENTRY_WRITE;
        }
        if (writes > 1) {
            return "the write is in a log twice";
        }
        for (int j = 0; j < i; j++) {
            if (endpoint->primary &&
                ExplorerWorld_state->endpoints[j].primary &&
                endpoint->term == ExplorerWorld_state->endpoints[j].term) {
                return "two primaries in one term";
            }
        }
    }
    if (ExplorerWorld_state->acknowledged_superseded) {
        return "acknowledged by a superseded primary";
    }
    /* The log of a primary whose term is below that of the latest answer is
     * not checked: with all rules in force, a majority has left that term, and
     * what this primary answers from then on is not confirmed. */
    if (primary < 0 || ExplorerWorld_state->endpoints[primary].term <
                           ExplorerWorld_state->answered_term) {
        return NULL;
    }
    /* With confirm = term, a promotion may lose an acknowledged write. */
    if (ExplorerWorld_state->acknowledged &&
        ExplorerWorld_settings->position &&
        ExplorerWorld_FindEntry(&ExplorerWorld_state->endpoints[primary],
                                ENTRY_WRITE) == 0) {
        return "an acknowledged write is lost";
    }
    if (ExplorerWorld_state->answered_notrun &&
        ExplorerWorld_FindEntry(&ExplorerWorld_state->endpoints[primary],
                                ENTRY_WRITE) != 0) {
        return "answered notrun, but the write ran";
    }
    return NULL;
}

/* Resets the times and the backoff, in which equal states may differ, and what
 * an inactive promotion has left behind. */
static void
normalize_promotion(cbw_promotion_t *promotion)
{
    promotion->step_deadline = MODEL_NOW + Cbw_PROMOTION_STEP_TIMEOUT;
    promotion->backoff_until = 0;
    promotion->consecutive_failures = 0;
    if (promotion->majority_fenced_at != 0) {
        promotion->majority_fenced_at = MODEL_NOW;
    }
    if (!CbwPromotion_IsActive(promotion)) {
        promotion->state = CBW_PROMOTION_IDLE;
        promotion->fenced_mask = 0;
        promotion->failed_mask = 0;
        memset(promotion->states, 0, sizeof(promotion->states));
    }
}

/* Orders messages by their content, so that states that differ only in the
 * messages' slots become equal. */
static int
compare_messages(const void *left, const void *right)
{
    return memcmp(left, right, sizeof(model_message_t));
}

/* Maps the sequence numbers of an owner's state calls to SEQUENCE_AFTER_ANSWER
 * if the call was sent after the answer that is being confirmed, and to 1 in a
 * call or 0 in `confirmed_sequence` otherwise. */
static void
normalize_sequences(model_state_t *state, int index)
{
    model_owner_t *owner = &state->owners[index];
    unsigned char answer_sequence =
        owner->confirming ? owner->answer_sequence : UINT8_MAX;

    if (ExplorerWorld_settings->without == RULE_ANSWER_SEQUENCE) {
        answer_sequence = 0; /* every state call counts */
    }

    for (int i = 0; i < MODEL_ENDPOINTS; i++) {
        owner->confirm.confirmed_sequence[i] =
            owner->confirm.confirmed_sequence[i] > answer_sequence
                ? SEQUENCE_AFTER_ANSWER
                : 0;
    }
    for (int i = 0; i < MODEL_MESSAGES_MAX; i++) {
        model_message_t *message = &state->messages[i];
        if (message->call == CALL_STATE && message->owner == index) {
            message->call_sequence = message->call_sequence > answer_sequence
                                         ? SEQUENCE_AFTER_ANSWER
                                         : 1;
        }
    }
    owner->answer_sequence =
        owner->confirming && answer_sequence > 0 ? SEQUENCE_OF_ANSWER : 0;
    owner->confirm.sequence = SEQUENCE_AFTER_ANSWER;
}

void
ExplorerWorld_Normalize(model_state_t *state)
{
    for (int i = 0; i < MODEL_OWNERS; i++) {
        if (!state->owners[i].crashed) {
            normalize_sequences(state, i);
        }
    }
    qsort(state->messages, MODEL_MESSAGES_MAX, sizeof(model_message_t),
          compare_messages);
    for (int i = 0; i < MODEL_OWNERS; i++) {
        if (!state->owners[i].crashed) {
            normalize_promotion(&state->owners[i].promotion);
        }
    }
}

/* Starts in term 2, of which endpoint 1 is primary. Endpoint 0 is partitioned
 * off: it still is primary of term 1, and its log is longer and has diverged.
 */
static void
init_after_partition(model_state_t *state)
{
    state->endpoints[0].length = 3;
    state->endpoints[0].log[1] = (model_entry_t){1, ENTRY_OTHER};
    state->endpoints[0].log[2] = (model_entry_t){1, ENTRY_OTHER};
    for (int i = 1; i < MODEL_ENDPOINTS; i++) {
        state->endpoints[i].term = 2;
        state->endpoints[i].primary = i == 1;
        state->endpoints[i].follows = i == 1 ? 0 : 2;
    }
    state->endpoints[1].length = 2;
    state->endpoints[1].log[1] = (model_entry_t){2, ENTRY_BEGIN};
    state->record_term = 2;
    state->record_version = 2;
    for (int i = 0; i < MODEL_OWNERS; i++) {
        state->owners[i].primary = 1;
        state->owners[i].term = 2;
        CbwConfirm_SetTerm(&state->owners[i].confirm, 2);
    }
}

void
ExplorerWorld_Init(model_state_t *state)
{
    memset(state, 0, sizeof(*state));
    for (int i = 0; i < MODEL_ENDPOINTS; i++) {
        model_endpoint_t *endpoint = &state->endpoints[i];
        endpoint->term = 1;
        endpoint->primary = i == 0;
        endpoint->follows = i != 0; /* the primary of term 1 */
        endpoint->length = 1;
        endpoint->log[0] = (model_entry_t){1, ENTRY_BEGIN};
    }
    state->record_version = 1;
    state->record_term = 1;
    for (int i = 0; i < MODEL_OWNERS; i++) {
        model_owner_t *owner = &state->owners[i];
        CbwConfirm_Init(&owner->confirm, MODEL_ENDPOINTS);
        CbwConfirm_SetTerm(&owner->confirm, 1);
        CbwPromotion_Init(&owner->promotion, MODEL_ENDPOINTS,
                          (uint64_t)(i + 1) * 1000);
        owner->has_primary = true;
        owner->term = 1;
    }
    if (ExplorerWorld_settings->after_partition) {
        init_after_partition(state);
    }
    ExplorerWorld_Normalize(state);
}
