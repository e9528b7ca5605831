/* A bounded model checker for the confirmation and promotion code of the
 * kernel (libcarobwind). It runs that code with three fake endpoints and a
 * fake store through the possible orders of their messages, and checks the
 * invariants of ExplorerWorld_FindViolation in each new state.
 *
 * The search is not exhaustive: it stops at the limits of explorer_settings_t,
 * omits steps that exceed a fixed size of the model (explorer_world.h), and
 * treats states with equal 64-bit hashes as equal. */
#ifndef TEST_LIBCAROBWIND_EXPLORER_H
#define TEST_LIBCAROBWIND_EXPLORER_H

#include <stdbool.h>
#include <stddef.h>

/* A safety rule to disable, in order to test that the explorer finds the
 * violation that this causes. The comments say what the model does without the
 * rule. */
typedef enum {
    RULE_NONE,            /* all rules are in force */
    RULE_CONFIRM,         /* acknowledges without confirmation by a majority */
    RULE_ANSWER_SEQUENCE, /* counts state calls sent before the answer */
    RULE_LAST_TERM,       /* counts positions of entries of other terms */
    RULE_FENCE_MAJORITY,  /* promotes after fencing a single endpoint */
    RULE_HIGHEST_LOG,  /* promotes a fenced endpoint regardless of its log */
    RULE_ONE_PROMOTER, /* the store swaps without comparing versions */
    RULE_FENCE,        /* fenced primaries stay primary and execute
                          calls of lower terms */
    RULE_REQUEST_KEY,  /* endpoints execute a known request key again */
    RULE_TOMBSTONE,    /* answers notrun without writing a tombstone */
    RULE_COUNT_,
} explorer_rule_t;

/* Name of each explorer_rule_t. */
extern const char *const Explorer_RuleString[];

/* Limits of the exploration. All counts except states_max apply to one path,
 * the sequence of steps from the initial state to another. */
typedef struct {
    explorer_rule_t without; /* the disabled rule */
    bool position;           /* writes have confirm = position, else term */
    int depth;               /* maximum steps of a path */
    size_t states_max;       /* maximum distinct states */
    unsigned writers;        /* mask of owners that send the write */
    unsigned promoters;      /* mask of owners that start promotions */
    int promotions;          /* promotions started */
    int crashes;             /* owners that crash */
    int losses;       /* calls and replies lost, except of state calls */
    int other_writes; /* writes of other callers at a primary */
    /* Rounds of state calls that no answer is waiting for. They may be sent
     * before an answer, which they must not confirm (RULE_ANSWER_SEQUENCE). */
    int polls;
    /* Begins in term 2, with the primary of term 1 partitioned off and its log
     * diverged. */
    bool after_partition;
    int cancels; /* CANCEL calls that settle the write's key */
} explorer_settings_t;

typedef struct {
    size_t states; /* distinct states found */
    int depth;     /* depth to which all paths were explored */
    /* Neither a violation nor settings.states_max ended the exploration. Steps
     * that exceed a size of the model and paths longer than settings.depth are
     * still omitted. */
    bool complete;
    bool violated;
    char violation[128];
    char trace[4096]; /* a shortest path to the violation, one step a line */
} explorer_result_t;

/* Explores breadth first until a violation or a limit is reached. Returns 0,
 * or -1 when memory ran out. */
int Explorer_Run(const explorer_settings_t *settings,
                 explorer_result_t *result);

#endif
