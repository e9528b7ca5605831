/* Drives the product's confirmation and promotion code over three fake
 * endpoints and a fake store through every order of their messages, and checks
 * after each step that nothing acknowledged is lost or doubled. */
#ifndef TEST_LIBCAROBWIND_EXPLORER_H
#define TEST_LIBCAROBWIND_EXPLORER_H

#include <stdbool.h>
#include <stddef.h>

/* A safety rule that is taken out, to see that its lack is found. */
typedef enum {
    RULE_NONE,           /* all rules hold */
    RULE_CONFIRM,        /* acknowledges the primary's answer alone */
    RULE_TICKET,         /* counts questions asked before the answer */
    RULE_LAST_TERM,      /* counts positions of entries of other terms */
    RULE_FENCE_MAJORITY, /* promotes after one fence */
    RULE_HIGHEST_LOG,    /* promotes any fenced endpoint */
    RULE_ONE_PROMOTER,   /* swaps without comparing */
    RULE_FENCE,          /* fenced endpoints take calls of lower terms */
    RULE_REQUEST_KEY,    /* endpoints do not look for the key */
    RULE_TOMBSTONE,      /* says notrun without a tombstone */
    RULE_COUNT_,
} explorer_rule_t;

extern const char *const Explorer_RuleString[];

typedef struct {
    explorer_rule_t without;
    bool position; /* confirm = position, else term */
    int depth;     /* most steps */
    size_t states_max;
    unsigned writers;     /* mask of owners that send the write */
    unsigned promoters;   /* mask of owners that start promotions */
    int promotions;       /* promotions that may be started */
    int crashes;          /* owners that may die */
    int losses;           /* messages that may be lost */
    int other_writes;     /* writes of other callers at a primary */
    int polls;            /* rounds of state calls without need */
    bool after_partition; /* begins in the second term; the first primary was
                       cut off with a log of its own */
    int cancels;          /* settlements that may be begun */
} explorer_settings_t;

typedef struct {
    size_t states;
    int depth;     /* that was explored whole */
    bool complete; /* no state was left out within settings.depth */
    bool violated;
    char violation[128];
    char trace[4096]; /* the shortest one, a step a line */
} explorer_result_t;

/* Explores breadth first. Returns 0, -1 when memory ran out. */
int Explorer_Run(const explorer_settings_t *settings,
                 explorer_result_t *result);

#endif
