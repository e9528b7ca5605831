/* The world that the explorer drives: fake endpoints, a fake store, messages,
 * and owners around the product's confirmation and promotion code. */
#ifndef TEST_LIBCAROBWIND_EXPLORER_WORLD_H
#define TEST_LIBCAROBWIND_EXPLORER_WORLD_H

#include "carobwind/confirm.h"
#include "carobwind/promotion.h"
#include "explorer.h"

#define ENDPOINTS 3
#define OWNERS 2
#define LOG_MAX 7
#define MESSAGES_MAX 12
/* Numbers that stand for all questions after a ticket, and the ticket. */
#define AFTER_TICKET 3
#define TICKET 2
#define NOW ((cbw_time_t)1000000)

typedef enum { ENTRY_BEGIN, ENTRY_WRITE, ENTRY_OTHER, ENTRY_TOMBSTONE } what_t;

typedef struct {
    unsigned char term;
    unsigned char what;
} fake_entry_t;

typedef struct {
    unsigned char term;
    unsigned char primary;
    unsigned char follows;
    unsigned char length;
    fake_entry_t log[LOG_MAX];
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
    unsigned char reply; /* on its way back */
    unsigned char owner;
    unsigned char endpoint;
    unsigned char status;
    unsigned char term;     /* of the call; or claimed by a swap */
    unsigned char question; /* number of a state call */
    unsigned char version;  /* of the record */
    unsigned char primary;  /* of the record, + 1 */
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
    bool dead;
    bool known; /* has a primary */
    unsigned char primary;
    unsigned char term;
    bool asked;   /* run or cancel is on its way or was answered */
    bool waiting; /* for the confirmation */
    bool cancelled;
    bool superseded;
    unsigned char position;
    unsigned char ticket;
    bool state_asked[ENDPOINTS];
    cbw_confirm_t confirm;
    cbw_promotion_t promotion;
} fake_owner_t;

typedef struct {
    fake_endpoint_t endpoints[ENDPOINTS];
    unsigned char record_version;
    unsigned char record_term;
    uint64_t record_claimant;
    unsigned char record_primary;
    fake_owner_t owners[OWNERS];
    message_t messages[MESSAGES_MAX];
    unsigned char starts;
    unsigned char deaths;
    unsigned char losses;
    unsigned char others;
    unsigned char cancels;
    unsigned char polls;
    bool acknowledged;
    bool told_notrun;
    bool acknowledged_superseded;
    unsigned char told_term; /* of the owner when it told the outcome */
} world_t;

/* The world that a step acts on, and by which settings. The product's calls
 * carry no context beyond the owner's number, so that these are global. */
extern world_t *ExplorerWorld_present;
extern const explorer_settings_t *ExplorerWorld_settings;
/* A step did not fit the world's fixed sizes. */
extern bool ExplorerWorld_overflow;

typedef struct {
    int owner;
} owner_context_t;

extern owner_context_t ExplorerWorld_contexts[OWNERS];
extern const cbw_promotion_ops_t ExplorerWorld_ops;
/* Names of the members of call_t, in their order. */
extern const char *const ExplorerWorld_CallString[];

/* Messages, endpoints, the store and owners (explorer_fakes.c). */

message_t *ExplorerWorld_NewMessage(int owner, call_t call, int endpoint);
/* The position of the first entry of a type; 0 when there is none. */
int ExplorerWorld_FindEntry(const fake_endpoint_t *endpoint, what_t what);
int ExplorerWorld_Append(fake_endpoint_t *endpoint, int term, what_t what);
/* A call arrives; its reply sets out. */
void ExplorerWorld_DeliverCall(message_t *message);
void ExplorerWorld_DeliverReply(const message_t *message);
/* The other side never hears: what the owner makes of it. */
void ExplorerWorld_LoseMessage(const message_t *message);
void ExplorerWorld_AskStates(int owner);

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
