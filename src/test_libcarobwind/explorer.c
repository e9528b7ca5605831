#include "explorer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "explorer_world.h"

/* Longest path that can be rebuilt. Must not be less than the `depth` of the
 * settings. */
#define PATH_MAX_STEPS 64

const char *const Explorer_RuleString[] = {
    "none",        "confirmation", "ticket", "last-term",   "fence-majority",
    "highest-log", "one-promoter", "fence",  "request-key", "tombstone",
};

/* A visited state: only its hash is stored, so that states with equal hashes
 * count as one. `step` leads to it from the state with index `parent`. */
typedef struct {
    uint64_t hash;
    uint32_t parent;
    uint32_t step;
} visited_t;

/* The visited states, indexed by an open-addressing hash table. */
typedef struct {
    visited_t *items;
    size_t count;
    uint32_t *table;   /* index in `items` + 1; 0: free */
    size_t table_size; /* a power of 2 */
} visited_set_t;

static int
visited_init(visited_set_t *visited, size_t states_max)
{
    memset(visited, 0, sizeof(*visited));
    visited->table_size = 1;
    while (visited->table_size < 2 * states_max) {
        visited->table_size *= 2;
    }
    visited->items = malloc((states_max + 1) * sizeof(*visited->items));
    visited->table = calloc(visited->table_size, sizeof(*visited->table));
    return visited->items != NULL && visited->table != NULL ? 0 : -1;
}

/* Adds a state. Returns its index, or -1 when it was visited before. */
static long
visited_add(visited_set_t *visited, const model_state_t *state,
            uint32_t parent, int step)
{
    uint64_t hash = XXH64(state, sizeof(*state), 0);
    size_t slot = hash & (visited->table_size - 1);

    while (visited->table[slot] != 0) {
        if (visited->items[visited->table[slot] - 1].hash == hash) {
            return -1;
        }
        slot = (slot + 1) & (visited->table_size - 1);
    }
    visited->items[visited->count] = (visited_t){hash, parent, (uint32_t)step};
    visited->table[slot] = (uint32_t)++visited->count;
    return (long)visited->count - 1;
}

/* Writes the steps that led to a state to `steps`, the last one first. Returns
 * their number. */
static int
find_path(const visited_set_t *visited, size_t index, int *steps)
{
    int count = 0;

    for (size_t i = index; i != 0 && count < PATH_MAX_STEPS;
         i = visited->items[i].parent) {
        steps[count++] = (int)visited->items[i].step;
    }
    return count;
}

/* Repeats the steps that led to a state and describes each in the trace. */
static void
write_trace(const visited_set_t *visited, size_t index,
            explorer_result_t *result)
{
    int steps[PATH_MAX_STEPS];
    int count = find_path(visited, index, steps);
    size_t length = 0;
    model_state_t state;

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

/* Rebuilds a state by repeating the steps that led to it. */
static void
rebuild(const visited_set_t *visited, size_t index, model_state_t *state)
{
    int steps[PATH_MAX_STEPS];
    int count = find_path(visited, index, steps);

    ExplorerWorld_Init(state);
    ExplorerWorld_state = state;
    while (count > 0) {
        ExplorerWorld_TakeStep(steps[--count]);
        ExplorerWorld_Normalize(state);
    }
    ExplorerWorld_state = NULL;
}

/* Takes every possible step from one state, except those that exceed a size of
 * the model. Returns 0, or -1 when the exploration ends: at a violation or the
 * limit of states. */
static int
expand(size_t index, visited_set_t *visited, explorer_result_t *result)
{
    model_state_t from;

    rebuild(visited, index, &from);
    for (int step = 0; step < ExplorerWorld_StepCount; step++) {
        model_state_t state = from;
        const char *violation;
        long added;
        ExplorerWorld_state = &state;
        ExplorerWorld_overflow = false;
        if (!ExplorerWorld_TakeStep(step) || ExplorerWorld_overflow) {
            continue;
        }
        ExplorerWorld_Normalize(&state);
        added = visited_add(visited, &state, (uint32_t)index, step);
        if (added < 0) {
            continue;
        }
        violation = ExplorerWorld_FindViolation();
        if (violation != NULL) {
            result->violated = true;
            snprintf(result->violation, sizeof(result->violation), "%s",
                     violation);
            write_trace(visited, (size_t)added, result);
            return -1;
        }
        if (visited->count >= ExplorerWorld_settings->states_max) {
            return -1;
        }
    }
    return 0;
}

int
Explorer_Run(const explorer_settings_t *settings, explorer_result_t *result)
{
    visited_set_t visited;
    model_state_t initial;
    bool stopped = false;
    size_t next = 0;

    memset(result, 0, sizeof(*result));
    ExplorerWorld_settings = settings;
    if (visited_init(&visited, settings->states_max) != 0) {
        free(visited.items);
        free(visited.table);
        return -1;
    }
    ExplorerWorld_Init(&initial);
    visited_add(&visited, &initial, 0, 0);
    while (!stopped && next < visited.count &&
           result->depth < settings->depth) {
        size_t layer_end = visited.count;
        while (!stopped && next < layer_end) {
            stopped = expand(next++, &visited, result) != 0;
        }
        result->depth += !stopped;
    }
    result->states = visited.count;
    result->complete = !stopped;
    free(visited.items);
    free(visited.table);
    return 0;
}
