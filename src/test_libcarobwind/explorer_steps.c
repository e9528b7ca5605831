#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "explorer_world.h"

/* Steps. Each is a number; `ExplorerWorld_Describe` names it. */

typedef enum {
    STEP_DELIVER,  /* a message, by its place */
    STEP_EXCHANGE, /* a call and its reply at once */
    STEP_LOSE,
    STEP_WRITE,  /* by owner */
    STEP_CANCEL, /* by owner */
    STEP_START,  /* by owner */
    STEP_TICK,   /* by owner */
    STEP_DIE,    /* by owner */
    STEP_LEARN,  /* by owner: finds the primary of the highest term */
    STEP_OTHER,  /* by endpoint */
    STEP_FOLLOW, /* by endpoint */
    STEP_PULL,   /* by endpoint */
    STEP_POLL,   /* by owner: asks for states without need */
    STEP_KINDS_,
} step_kind_t;

static const char *const step_strings[] = {
    "deliver",         "exchange",  "lose", "write", "cancel",
    "start-promotion", "tick",      "die",  "learn", "other-write",
    "follow",          "replicate", "poll",
};

#define STEP_WIDTH 16

const int ExplorerWorld_StepCount = STEP_KINDS_ * STEP_WIDTH;

static int
highest_primary(void)
{
    int best = -1;

    for (int i = 0; i < MODEL_ENDPOINTS; i++) {
        const fake_endpoint_t *endpoint = &ExplorerWorld_state->endpoints[i];
        if (endpoint->primary &&
            (best < 0 ||
             endpoint->term > ExplorerWorld_state->endpoints[best].term)) {
            best = i;
        }
    }
    return best;
}

static bool
step_deliver(int place)
{
    message_t message = ExplorerWorld_state->messages[place];

    if (message.call == CALL_NONE) {
        return false;
    }
    if (!message.is_reply) {
        ExplorerWorld_DeliverCall(&ExplorerWorld_state->messages[place]);
        if (ExplorerWorld_state->owners[message.owner].crashed) {
            ExplorerWorld_state->messages[place].call = CALL_NONE;
        }
        return true;
    }
    memset(&ExplorerWorld_state->messages[place], 0, sizeof(message));
    if (!ExplorerWorld_state->owners[message.owner].crashed) {
        ExplorerWorld_DeliverReply(&message);
    }
    return true;
}

static bool
step_exchange(int place)
{
    return !ExplorerWorld_state->messages[place].is_reply &&
           step_deliver(place) && step_deliver(place);
}

static bool
step_lose(int place)
{
    message_t message = ExplorerWorld_state->messages[place];

    if (message.call == CALL_NONE || message.call == CALL_STATE ||
        ExplorerWorld_state->losses >= ExplorerWorld_settings->losses) {
        return false;
    }
    ExplorerWorld_state->losses++;
    memset(&ExplorerWorld_state->messages[place], 0, sizeof(message));
    ExplorerWorld_LoseMessage(&message);
    return true;
}

static bool
step_send(int number, call_t call)
{
    model_owner_t *owner = &ExplorerWorld_state->owners[number];
    message_t *message;

    if (owner->crashed || !owner->has_primary || owner->request_sent ||
        owner->confirming ||
        !(ExplorerWorld_settings->writers & (1U << number))) {
        return false;
    }
    if (call == CALL_CANCEL &&
        ExplorerWorld_state->cancels >= ExplorerWorld_settings->cancels) {
        return false;
    }
    message = ExplorerWorld_NewMessage(number, call, owner->primary);
    if (message == NULL) {
        return false;
    }
    message->term = owner->term;
    owner->request_sent = true;
    ExplorerWorld_state->cancels += call == CALL_CANCEL;
    return true;
}

static bool
step_start(int number)
{
    model_owner_t *owner = &ExplorerWorld_state->owners[number];

    if (owner->crashed ||
        ExplorerWorld_state->promotions >=
            ExplorerWorld_settings->promotions ||
        !(ExplorerWorld_settings->promoters & (1U << number)) ||
        !CbwPromotion_Start(&owner->promotion, MODEL_NOW, owner->term, 0,
                            &ExplorerWorld_promotion_ops,
                            &ExplorerWorld_contexts[number])) {
        return false;
    }
    ExplorerWorld_state->promotions++;
    return true;
}

/* The wait for the remaining fences ends. */
static bool
step_tick(int number)
{
    model_owner_t *owner = &ExplorerWorld_state->owners[number];

    if (owner->crashed || owner->promotion.state != CBW_PROMOTION_FENCING ||
        owner->promotion.majority_fenced_at == 0) {
        return false;
    }
    CbwPromotion_Tick(
        &owner->promotion, MODEL_NOW + Cbw_PROMOTION_STRAGGLER_WAIT,
        &ExplorerWorld_promotion_ops, &ExplorerWorld_contexts[number]);
    return true;
}

static bool
step_die(int number)
{
    if (ExplorerWorld_state->owners[number].crashed ||
        ExplorerWorld_state->crashes >= ExplorerWorld_settings->crashes) {
        return false;
    }
    ExplorerWorld_state->crashes++;
    memset(&ExplorerWorld_state->owners[number], 0,
           sizeof(ExplorerWorld_state->owners[number]));
    ExplorerWorld_state->owners[number].crashed = true;
    return true;
}

static bool
step_learn(int number)
{
    model_owner_t *owner = &ExplorerWorld_state->owners[number];
    int primary = highest_primary();

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
step_other(int number)
{
    fake_endpoint_t *endpoint = &ExplorerWorld_state->endpoints[number];

    if (!endpoint->primary || ExplorerWorld_state->other_writes >=
                                  ExplorerWorld_settings->other_writes) {
        return false;
    }
    ExplorerWorld_state->other_writes++;
    ExplorerWorld_Append(endpoint, endpoint->term, ENTRY_OTHER);
    return true;
}

static int
primary_of_term(int term)
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
step_follow(int number)
{
    fake_endpoint_t *endpoint = &ExplorerWorld_state->endpoints[number];
    int primary = highest_primary();
    int term;

    if (primary < 0 || primary == number) {
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
step_pull(int number)
{
    fake_endpoint_t *endpoint = &ExplorerWorld_state->endpoints[number];
    int primary = primary_of_term(endpoint->follows);
    const fake_endpoint_t *source;
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
step_poll(int number)
{
    if (ExplorerWorld_state->owners[number].crashed ||
        ExplorerWorld_state->polls >= ExplorerWorld_settings->polls) {
        return false;
    }
    ExplorerWorld_state->polls++;
    ExplorerWorld_SendStateCalls(number);
    return true;
}

bool
ExplorerWorld_TakeStep(int step)
{
    int number = step % STEP_WIDTH;

    switch ((step_kind_t)(step / STEP_WIDTH)) {
    case STEP_DELIVER:
        return number < MODEL_MESSAGES_MAX && step_deliver(number);
    case STEP_EXCHANGE:
        return number < MODEL_MESSAGES_MAX && step_exchange(number);
    case STEP_LOSE:
        return number < MODEL_MESSAGES_MAX && step_lose(number);
    case STEP_WRITE:
        return number < OWNERS && step_send(number, CALL_RUN);
    case STEP_CANCEL:
        return number < OWNERS && step_send(number, CALL_CANCEL);
    case STEP_START:
        return number < OWNERS && step_start(number);
    case STEP_TICK:
        return number < OWNERS && step_tick(number);
    case STEP_DIE:
        return number < OWNERS && step_die(number);
    case STEP_LEARN:
        return number < OWNERS && step_learn(number);
    case STEP_OTHER:
        return number < MODEL_ENDPOINTS && step_other(number);
    case STEP_FOLLOW:
        return number < MODEL_ENDPOINTS && step_follow(number);
    case STEP_PULL:
        return number < MODEL_ENDPOINTS && step_pull(number);
    case STEP_POLL:
        return number < OWNERS && step_poll(number);
    default:
        return false;
    }
}

size_t
ExplorerWorld_Describe(int step, char *text, size_t size)
{
    int kind = step / STEP_WIDTH;
    int number = step % STEP_WIDTH;
    const message_t *message = &ExplorerWorld_state->messages[number];

    if (kind <= STEP_LOSE) {
        return (size_t)snprintf(
            text, size, "%s %s %s owner %d endpoint %d term %d\n",
            step_strings[kind], message->is_reply ? "reply to" : "call",
            ExplorerWorld_CallString[message->call], message->owner,
            message->endpoint, message->term);
    }
    return (size_t)snprintf(text, size, "%s %d\n", step_strings[kind], number);
}

/* What must always hold. Returns what is violated, or NULL. */
const char *
ExplorerWorld_FindViolation(void)
{
    int primary = highest_primary();

    for (int i = 0; i < MODEL_ENDPOINTS; i++) {
        const fake_endpoint_t *endpoint = &ExplorerWorld_state->endpoints[i];
        int writes = 0;
        for (int j = 0; j < endpoint->length; j++) {
            writes += endpoint->log[j].type == ENTRY_WRITE;
        }
        if (writes > 1) {
            return "the write stands twice in a log";
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
    /* A primary of an older term is cut off: nobody confirms its answers. */
    if (primary < 0 || ExplorerWorld_state->endpoints[primary].term <
                           ExplorerWorld_state->answered_term) {
        return NULL;
    }
    if (ExplorerWorld_state->acknowledged &&
        ExplorerWorld_settings->position &&
        ExplorerWorld_FindEntry(&ExplorerWorld_state->endpoints[primary],
                                ENTRY_WRITE) == 0) {
        return "an acknowledged write is lost";
    }
    if (ExplorerWorld_state->answered_notrun &&
        ExplorerWorld_FindEntry(&ExplorerWorld_state->endpoints[primary],
                                ENTRY_WRITE) != 0) {
        return "told notrun, but it ran";
    }
    return NULL;
}

/* Times are made alike, so that they do not tell states apart. */
static void
forget_times(cbw_promotion_t *promotion)
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

/* Messages in a fixed order, so that their places do not tell states apart. */
static int
compare_messages(const void *left, const void *right)
{
    return memcmp(left, right, sizeof(message_t));
}

/* Numbers of questions count only as before or after the ticket. */
static void
forget_numbers(world_t *state, int number)
{
    model_owner_t *owner = &state->owners[number];
    unsigned char ticket = owner->confirming ? owner->ticket : UINT8_MAX;

    if (ExplorerWorld_settings->without == RULE_TICKET) {
        ticket = 0; /* all of them count */
    }

    for (int i = 0; i < MODEL_ENDPOINTS; i++) {
        owner->confirm.confirmed_sequence[i] =
            owner->confirm.confirmed_sequence[i] > ticket
                ? SEQUENCE_AFTER_TICKET
                : 0;
    }
    for (int i = 0; i < MODEL_MESSAGES_MAX; i++) {
        message_t *message = &state->messages[i];
        if (message->call == CALL_STATE && message->owner == number) {
            message->call_sequence =
                message->call_sequence > ticket ? SEQUENCE_AFTER_TICKET : 1;
        }
    }
    owner->ticket = owner->confirming && ticket > 0 ? SEQUENCE_OF_TICKET : 0;
    owner->confirm.sequence = SEQUENCE_AFTER_TICKET;
}

void
ExplorerWorld_Normalize(world_t *state)
{
    for (int i = 0; i < OWNERS; i++) {
        if (!state->owners[i].crashed) {
            forget_numbers(state, i);
        }
    }
    qsort(state->messages, MODEL_MESSAGES_MAX, sizeof(message_t),
          compare_messages);
    for (int i = 0; i < OWNERS; i++) {
        if (!state->owners[i].crashed) {
            forget_times(&state->owners[i].promotion);
        }
    }
}

/* The second term has begun, while the first primary was cut off with a long
 * log of its own and does not know of it. */
static void
begin_after_cut(world_t *state)
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
    for (int i = 0; i < OWNERS; i++) {
        state->owners[i].primary = 1;
        state->owners[i].term = 2;
        CbwConfirm_SetTerm(&state->owners[i].confirm, 2);
    }
}

void
ExplorerWorld_Init(world_t *state)
{
    memset(state, 0, sizeof(*state));
    for (int i = 0; i < MODEL_ENDPOINTS; i++) {
        fake_endpoint_t *endpoint = &state->endpoints[i];
        endpoint->term = 1;
        endpoint->primary = i == 0;
        endpoint->follows = i != 0;
        endpoint->length = 1;
        endpoint->log[0] = (model_entry_t){1, ENTRY_BEGIN};
    }
    state->record_version = 1;
    state->record_term = 1;
    for (int i = 0; i < OWNERS; i++) {
        model_owner_t *owner = &state->owners[i];
        CbwConfirm_Init(&owner->confirm, MODEL_ENDPOINTS);
        CbwConfirm_SetTerm(&owner->confirm, 1);
        CbwPromotion_Init(&owner->promotion, MODEL_ENDPOINTS,
                          (uint64_t)(i + 1) * 1000);
        owner->has_primary = true;
        owner->term = 1;
    }
    if (ExplorerWorld_settings->after_partition) {
        begin_after_cut(state);
    }
    ExplorerWorld_Normalize(state);
}
