#include "explorer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "explorer_world.h"

/* Most steps of a trace. */
#define STEPS_MAX 64

const char *const Explorer_RuleString[] = {
    "none",        "confirmation", "ticket", "last-term",   "fence-majority",
    "highest-log", "one-promoter", "fence",  "request-key", "tombstone",
};

/* The set of states seen, and how each was reached. */
typedef struct {
    uint64_t hash;
    uint32_t parent;
    uint32_t step;
} seen_t;

typedef struct {
    seen_t *items;
    size_t count;
    uint32_t *table; /* index + 1 */
    size_t table_size;
} seen_set_t;

static int
seen_init(seen_set_t *seen, size_t states_max)
{
    memset(seen, 0, sizeof(*seen));
    seen->table_size = 1;
    while (seen->table_size < 2 * states_max) {
        seen->table_size *= 2;
    }
    seen->items = malloc((states_max + 1) * sizeof(*seen->items));
    seen->table = calloc(seen->table_size, sizeof(*seen->table));
    return seen->items != NULL && seen->table != NULL ? 0 : -1;
}

/* Adds a state. Returns its index, or -1 when it was there. */
static long
seen_add(seen_set_t *seen, const world_t *state, uint32_t parent, int step)
{
    uint64_t hash = XXH64(state, sizeof(*state), 0);
    size_t slot = hash & (seen->table_size - 1);

    while (seen->table[slot] != 0) {
        if (seen->items[seen->table[slot] - 1].hash == hash) {
            return -1;
        }
        slot = (slot + 1) & (seen->table_size - 1);
    }
    seen->items[seen->count] = (seen_t){hash, parent, (uint32_t)step};
    seen->table[slot] = (uint32_t)++seen->count;
    return (long)seen->count - 1;
}

/* Writes the steps that led to a state, last first. Returns their number. */
static int
steps_to(const seen_set_t *seen, size_t index, int *steps)
{
    int count = 0;

    for (size_t i = index; i != 0 && count < STEPS_MAX;
         i = seen->items[i].parent) {
        steps[count++] = (int)seen->items[i].step;
    }
    return count;
}

/* Repeats the steps that led to a state, and notes them. */
static void
write_trace(const seen_set_t *seen, size_t index, explorer_result_t *result)
{
    int steps[STEPS_MAX];
    int count = steps_to(seen, index, steps);
    size_t length = 0;
    world_t state;

    ExplorerWorld_Init(&state);
    ExplorerWorld_state = &state;
    while (count > 0 && length < sizeof(result->trace) - 1) {
        count--;
        length += ExplorerWorld_Describe(steps[count], result->trace + length,
                                         sizeof(result->trace) - length);
        ExplorerWorld_TakeStep(steps[count]);
        ExplorerWorld_Normalize(&state);
    }
    ExplorerWorld_state = NULL;
}

/* The state of an index, by repeating the steps that led to it. */
static void
rebuild(const seen_set_t *seen, size_t index, world_t *state)
{
    int steps[STEPS_MAX];
    int count = steps_to(seen, index, steps);

    ExplorerWorld_Init(state);
    ExplorerWorld_state = state;
    while (count > 0) {
        ExplorerWorld_TakeStep(steps[--count]);
        ExplorerWorld_Normalize(state);
    }
    ExplorerWorld_state = NULL;
}

/* Takes every step from one state. Returns -1 when exploring ends. */
static int
expand(size_t index, seen_set_t *seen, explorer_result_t *result)
{
    world_t from;

    rebuild(seen, index, &from);
    for (int step = 0; step < ExplorerWorld_StepCount; step++) {
        world_t state = from;
        const char *violation;
        long added;
        ExplorerWorld_state = &state;
        ExplorerWorld_overflow = false;
        if (!ExplorerWorld_TakeStep(step) || ExplorerWorld_overflow) {
            continue;
        }
        ExplorerWorld_Normalize(&state);
        added = seen_add(seen, &state, (uint32_t)index, step);
        if (added < 0) {
            continue;
        }
        violation = ExplorerWorld_FindViolation();
        if (violation != NULL) {
            result->violated = true;
            snprintf(result->violation, sizeof(result->violation), "%s",
                     violation);
            write_trace(seen, (size_t)added, result);
            return -1;
        }
        if (seen->count >= ExplorerWorld_settings->states_max) {
            return -1;
        }
    }
    return 0;
}

int
Explorer_Run(const explorer_settings_t *chosen, explorer_result_t *result)
{
    seen_set_t seen;
    world_t start;
    bool stopped = false;
    size_t next = 0;

    memset(result, 0, sizeof(*result));
    ExplorerWorld_settings = chosen;
    if (seen_init(&seen, chosen->states_max) != 0) {
        free(seen.items);
        free(seen.table);
        return -1;
    }
    ExplorerWorld_Init(&start);
    seen_add(&seen, &start, 0, 0);
    while (!stopped && next < seen.count && result->depth < chosen->depth) {
        size_t layer_end = seen.count;
        while (!stopped && next < layer_end) {
            stopped = expand(next++, &seen, result) != 0;
        }
        result->depth += !stopped;
    }
    result->states = seen.count;
    result->complete = !stopped;
    free(seen.items);
    free(seen.table);
    return 0;
}
