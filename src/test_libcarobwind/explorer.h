/* A model checker for the confirmation and promotion code of the kernel. It
 * runs that code with three fake endpoints and a fake store through every
 * order of their messages, and checks in each state that is reached that no
 * acknowledged write is lost and that no write is executed twice. */
#ifndef TEST_LIBCAROBWIND_EXPLORER_H
#define TEST_LIBCAROBWIND_EXPLORER_H

#include <stdbool.h>
#include <stddef.h>

/* A safety rule to disable, in order to test that the explorer finds the
 * violation that this causes. The comments tell what happens without it. */
typedef enum {
    RULE_NONE,           /* all rules are in force */
    RULE_CONFIRM,        /* acknowledges without confirmation by a majority */
    RULE_TICKET,         /* counts state calls sent before the answer */
    RULE_LAST_TERM,      /* counts positions of entries of other terms */
    RULE_FENCE_MAJORITY, /* promotes after fencing a single endpoint */
    RULE_HIGHEST_LOG,    /* promotes any fenced endpoint */
    RULE_ONE_PROMOTER,   /* the store swaps without comparing versions */
    RULE_FENCE,          /* fenced endpoints accept calls of lower terms */
    RULE_REQUEST_KEY,    /* endpoints execute a known request key again */
    RULE_TOMBSTONE,      /* answers notrun without writing a tombstone */
    RULE_COUNT_,
} explorer_rule_t;

/* Name of each explorer_rule_t. */
extern const char *const Explorer_RuleString[];

/* What the explorer may do. All counts are limits for one path, the sequence
 * of steps from the initial state to another. */
typedef struct {
    explorer_rule_t without; /* the disabled rule */
    bool position;           /* writes have confirm = position, else term */
    int depth;               /* most steps of a path */
    size_t states_max;       /* most distinct states */
    unsigned writers;        /* mask of owners that send the write */
    unsigned promoters;      /* mask of owners that start promotions */
    int promotions;          /* promotions started */
    int crashes;             /* owners that crash */
    int losses;              /* messages lost */
    int other_writes;        /* writes of other callers at a primary */
    int polls;               /* rounds of state calls that nothing requires */
    /* Begins in term 2, with the primary of term 1 partitioned off and its log
     * diverged. */
    bool after_partition;
    int cancels; /* CANCEL calls that settle the write's key */
} explorer_settings_t;

typedef struct {
    size_t states; /* distinct states found */
    int depth;     /* up to which all states were explored */
    bool complete; /* no state within settings.depth was left out */
    bool violated;
    char violation[128];
    char trace[4096]; /* a shortest path to the violation, one step per line */
} explorer_result_t;

/* Explores breadth first until a violation or a limit is reached. Returns 0,
 * or -1 when memory ran out. */
int Explorer_Run(const explorer_settings_t *settings,
                 explorer_result_t *result);

#endif
