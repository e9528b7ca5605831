/* The world that the explorer drives: fake endpoints, a fake store, messages,
 * and owners around the product's confirmation and promotion code. */
#ifndef TEST_LIBCAROBWIND_EXPLORER_WORLD_H
#define TEST_LIBCAROBWIND_EXPLORER_WORLD_H

#include "carobwind/confirm.h"
#include "carobwind/promotion.h"
#include "explorer.h"

#define MODEL_ENDPOINTS 3
#define OWNERS 2
#define MODEL_LOG_MAX 7
#define MODEL_MESSAGES_MAX 12
/* Numbers that stand for all questions after a ticket, and the ticket. */
#define SEQUENCE_AFTER_TICKET 3
#define SEQUENCE_OF_TICKET 2
#define MODEL_NOW ((cbw_time_t)1000000)

typedef enum {
    ENTRY_BEGIN,
    ENTRY_WRITE,
    ENTRY_OTHER,
    ENTRY_TOMBSTONE
} model_entry_type_t;

typedef struct {
    unsigned char term;
    unsigned char type;
} model_entry_t;

typedef struct {
    unsigned char term;
    unsigned char primary;
    unsigned char follows;
    unsigned char length;
    model_entry_t log[MODEL_LOG_MAX];
} fake_endpoint_t;

typedef enum {
    CALL_NONE,
    CALL_RUN,
    CALL_CANCEL,
    CALL_STATE,
    CALL_FENCE,
    CALL_PROMOTE,
    CALL_READ,
    CALL_SWAP,
} call_t;

typedef struct {
    unsigned char call;
    unsigned char is_reply; /* on its way back */
    unsigned char owner;
    unsigned char endpoint;
    unsigned char status;
    unsigned char term;          /* of the call; or claimed by a swap */
    unsigned char call_sequence; /* number of a state call */
    unsigned char version;       /* of the record */
    unsigned char primary;       /* of the record, + 1 */
    unsigned char cancelled;
    unsigned char superseded; /* when it ran, a higher primary was there */
    unsigned char entry_term;
    unsigned char entry_position;
    unsigned char state_term;
    unsigned char state_primary;
    unsigned char state_last_term;
    unsigned char state_position;
    unsigned char state_begin;
    uint64_t claimant;
} message_t;

/* An owner's part for the one write that is followed. */
typedef struct {
    bool crashed;
    bool has_primary; /* has a primary */
    unsigned char primary;
    unsigned char term;
    bool request_sent; /* run or cancel is on its way or was answered */
    bool confirming;   /* for the confirmation */
    bool cancelled;
    bool superseded;
    unsigned char position;
    unsigned char ticket;
    bool state_call_in_flight[MODEL_ENDPOINTS];
    cbw_confirm_t confirm;
    cbw_promotion_t promotion;
} model_owner_t;

typedef struct {
    fake_endpoint_t endpoints[MODEL_ENDPOINTS];
    unsigned char record_version;
    unsigned char record_term;
    uint64_t record_claimant;
    unsigned char record_primary;
    model_owner_t owners[OWNERS];
    message_t messages[MODEL_MESSAGES_MAX];
    unsigned char promotions;
    unsigned char crashes;
    unsigned char losses;
    unsigned char other_writes;
    unsigned char cancels;
    unsigned char polls;
    bool acknowledged;
    bool answered_notrun;
    bool acknowledged_superseded;
    unsigned char answered_term; /* of the owner when it told the outcome */
} world_t;

/* The world that a step acts on, and by which settings. The product's calls
 * carry no context beyond the owner's number, so that these are global. */
extern world_t *ExplorerWorld_state;
extern const explorer_settings_t *ExplorerWorld_settings;
/* A step did not fit the world's fixed sizes. */
extern bool ExplorerWorld_overflow;

typedef struct {
    int owner;
} model_owner_context_t;

extern model_owner_context_t ExplorerWorld_contexts[OWNERS];
extern const cbw_promotion_ops_t ExplorerWorld_promotion_ops;
/* Names of the members of call_t, in their order. */
extern const char *const ExplorerWorld_CallString[];

/* Messages, endpoints, the store and owners (explorer_fakes.c). */

message_t *ExplorerWorld_NewMessage(int owner, call_t call, int endpoint);
/* The position of the first entry of a type; 0 when there is none. */
int ExplorerWorld_FindEntry(const fake_endpoint_t *endpoint,
                            model_entry_type_t what);
int ExplorerWorld_Append(fake_endpoint_t *endpoint, int term,
                         model_entry_type_t what);
/* A call arrives; its reply sets out. */
void ExplorerWorld_DeliverCall(message_t *message);
void ExplorerWorld_DeliverReply(const message_t *message);
/* The other side never hears: what the owner makes of it. */
void ExplorerWorld_LoseMessage(const message_t *message);
void ExplorerWorld_SendStateCalls(int owner);

/* Steps (explorer_steps.c). */

/* Steps are numbered from 0 up to here. */
extern const int ExplorerWorld_StepCount;
void ExplorerWorld_Init(world_t *world);
/* Takes a step in the present world. Returns whether it could be taken. */
bool ExplorerWorld_TakeStep(int step);
/* Writes what a step does to `text`. Returns the length. */
size_t ExplorerWorld_Describe(int step, char *text, size_t size);
/* What is violated that must always hold, or NULL. */
const char *ExplorerWorld_FindViolation(void);
/* Makes states alike that differ only in what does not matter. */
void ExplorerWorld_Normalize(world_t *world);

#endif
