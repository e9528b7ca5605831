/* The model that the explorer checks: fake endpoints, a fake store, the
 * messages in flight, and reduced owners that use the confirmation and
 * promotion code of the kernel (libcarobwind). The model tracks one write. */
#ifndef TEST_LIBCAROBWIND_EXPLORER_WORLD_H
#define TEST_LIBCAROBWIND_EXPLORER_WORLD_H

#include "carobwind/confirm.h"
#include "carobwind/promotion.h"
#include "explorer.h"

#define MODEL_ENDPOINTS 3
#define MODEL_OWNERS 2
#define MODEL_LOG_MAX 7
#define MODEL_MESSAGES_MAX 12
/* Normalized sequence numbers: of a state call that was sent after the answer,
 * and of the answer itself. A state call that was sent before the answer gets
 * 1, and the confirmation of one counts as none (0). */
#define SEQUENCE_AFTER_ANSWER 3
#define SEQUENCE_OF_ANSWER 2
/* The model has no clock: every call gets the same time. */
#define MODEL_NOW ((cbw_time_t)1000000)

typedef enum {
    ENTRY_BEGIN,    /* begins a term */
    ENTRY_WRITE,    /* the tracked write */
    ENTRY_OTHER,    /* a write of another caller */
    ENTRY_TOMBSTONE /* cancels the tracked write */
} model_entry_type_t;

typedef struct {
    unsigned char term;
    unsigned char type; /* model_entry_type_t */
} model_entry_t;

typedef struct {
    unsigned char term;
    unsigned char primary;
    unsigned char follows; /* term of the primary it replicates; 0: none */
    unsigned char length;
    model_entry_t log[MODEL_LOG_MAX];
} model_endpoint_t;

typedef enum {
    CALL_NONE,
    CALL_RUN,
    CALL_CANCEL,
    CALL_STATE,
    CALL_FENCE,
    CALL_PROMOTE,
    CALL_READ_RECORD,
    CALL_SWAP_RECORD,
} model_call_t;

/* A call in flight, or its reply. */
typedef struct {
    unsigned char call; /* model_call_t; CALL_NONE: the slot is free */
    unsigned char is_reply;
    unsigned char owner;
    unsigned char endpoint;
    unsigned char status;        /* cbw_reply_status_t or cbw_store_status_t */
    unsigned char term;          /* of the call, or of the record */
    unsigned char call_sequence; /* of a STATE call */
    unsigned char version;       /* of the record */
    unsigned char primary;       /* of the record, + 1; 0: none */
    unsigned char cancelled;     /* the write's key has a tombstone */
    unsigned char superseded;    /* a primary of a higher term existed when the
                                    call was executed */
    unsigned char entry_term;
    unsigned char entry_position;
    /* The endpoint's state, in a reply. */
    unsigned char state_term;
    unsigned char state_primary;
    unsigned char state_last_term;
    unsigned char state_position;
    unsigned char state_begin; /* position of the latest ENTRY_BEGIN */
    uint64_t claimant;
} model_message_t;

/* An owner, reduced to the state that concerns the tracked write. */
typedef struct {
    bool crashed;
    bool has_primary; /* `primary` and `term` are valid */
    unsigned char primary;
    unsigned char term;
    bool request_sent; /* RUN or CANCEL, in flight or answered */
    bool confirming;   /* the answer waits for its confirmation */
    bool cancelled;    /* the answer being confirmed reports a tombstone */
    bool superseded;   /* see model_message_t */
    unsigned char position;
    unsigned char answer_sequence;
    bool state_call_in_flight[MODEL_ENDPOINTS];
    cbw_confirm_t confirm;
    cbw_promotion_t promotion;
} model_owner_t;

/* A state of the model. The explorer hashes its bytes. */
typedef struct {
    model_endpoint_t endpoints[MODEL_ENDPOINTS];
    unsigned char record_version;
    unsigned char record_term;
    uint64_t record_claimant;
    unsigned char record_primary; /* + 1; 0: none */
    model_owner_t owners[MODEL_OWNERS];
    model_message_t messages[MODEL_MESSAGES_MAX];
    /* Steps taken so far, limited by explorer_settings_t. */
    unsigned char promotions;
    unsigned char crashes;
    unsigned char losses;
    unsigned char other_writes;
    unsigned char cancels;
    unsigned char polls;
    /* What the writer has been answered. */
    bool acknowledged;
    bool answered_notrun;
    bool acknowledged_superseded; /* by a primary that was superseded */
    unsigned char answered_term;  /* the owner's term at the latest answer */
} model_state_t;

/* The state that a step changes, and the settings. They are global because the
 * context of a promotion's operations (model_owner_context_t) holds only an
 * owner's index. */
extern model_state_t *ExplorerWorld_state;
extern const explorer_settings_t *ExplorerWorld_settings;
/* Set when a step exceeds a fixed size of the model. The explorer then leaves
 * the step out. */
extern bool ExplorerWorld_overflow;

/* Context of the operations of an owner's promotion. */
typedef struct {
    int owner;
} model_owner_context_t;

extern model_owner_context_t ExplorerWorld_contexts[MODEL_OWNERS];
extern const cbw_promotion_ops_t ExplorerWorld_promotion_ops;
/* Name of each model_call_t. */
extern const char *const ExplorerWorld_CallString[];

/* Messages, endpoints, store and owners (explorer_fakes.c). */

/* Adds a call to the messages in flight. Returns NULL and sets
 * ExplorerWorld_overflow when there are too many. */
model_message_t *ExplorerWorld_NewMessage(int owner, model_call_t call,
                                          int endpoint);
/* Returns the position of the first entry of a type; 0 when there is none. */
int ExplorerWorld_FindEntry(const model_endpoint_t *endpoint,
                            model_entry_type_t type);
/* Appends to the log. Returns the position, or 0 and sets
 * ExplorerWorld_overflow when the log is full. */
int ExplorerWorld_Append(model_endpoint_t *endpoint, int term,
                         model_entry_type_t type);
/* Executes a call at its endpoint or the store, and turns the message into the
 * reply. */
void ExplorerWorld_DeliverCall(model_message_t *message);
/* Passes a reply to its owner. */
void ExplorerWorld_DeliverReply(const model_message_t *message);
/* Handles at the owner that a call or its reply was lost. */
void ExplorerWorld_LoseMessage(const model_message_t *message);
/* Sends a state call to each endpoint to which none is in flight. */
void ExplorerWorld_SendStateCalls(int owner);

/* Steps (explorer_steps.c). */

/* Steps are numbered from 0 to ExplorerWorld_StepCount - 1. */
extern const int ExplorerWorld_StepCount;
/* Initializes `state` to the initial state that the settings demand. */
void ExplorerWorld_Init(model_state_t *state);
/* Takes a step in ExplorerWorld_state. Returns whether it was possible. */
bool ExplorerWorld_TakeStep(int step);
/* Writes a line that describes a step to `text`. Returns its length. */
size_t ExplorerWorld_Describe(int step, char *text, size_t size);
/* Returns the invariant that ExplorerWorld_state violates, or NULL. */
const char *ExplorerWorld_FindViolation(void);
/* Replaces a state by the representative of all states that count as equal to
 * it. */
void ExplorerWorld_Normalize(model_state_t *state);

#endif
