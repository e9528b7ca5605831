#include "carobwind/term_history.h"

#include <stdbool.h>
#include <string.h>

static void
remove_oldest(cbw_term_history_t *history)
{
    cbw_term_start_t *starts = history->starts;

    /* Keeps the lower base: entries are never taken for valid by mistake. */
    if (starts[0].base < starts[1].base) {
        starts[1].base = starts[0].base;
    }
    history->count--;
    memmove(&starts[0], &starts[1],
            (size_t)history->count * sizeof(starts[0]));
}

void
CbwTermHistory_Add(cbw_term_history_t *history, cbw_term_start_t start)
{
    if (history->count == Cbw_TERM_HISTORY_MAX) {
        remove_oldest(history);
    }
    history->starts[history->count++] = start;
}

void
CbwTermHistory_Truncate(cbw_term_history_t *history, uint64_t term)
{
    bool empty = history->count == 0;

    while (history->count > 0 &&
           history->starts[history->count - 1].term > term) {
        history->count--;
        memset(&history->starts[history->count], 0,
               sizeof(history->starts[0]));
    }
    if (!empty && term != 0 &&
        (history->count == 0 ||
         history->starts[history->count - 1].term != term)) {
        CbwTermHistory_Add(history, (cbw_term_start_t){term, 0});
    }
}

/* Returns the term of the history's log that has the entry at `index`. */
static uint64_t
term_at(const cbw_term_history_t *history, uint64_t index)
{
    uint64_t term = history->starts[0].term;

    for (int i = 1; i < history->count; i++) {
        if (history->starts[i].base < index) {
            term = history->starts[i].term;
        }
    }
    return term;
}

/* Limits a log that ends in a term which is not one of the history's log.
 * Where its last term began is not known: not before the term of the history
 * that it follows, and that term's entries may be missing. */
static uint64_t
limit_of_foreign_term(const cbw_term_start_t *before, uint64_t index,
                      uint64_t limit)
{
    uint64_t base = before->base == Cbw_TERM_BASE_UNKNOWN ? 0 : before->base;

    if (base < limit) {
        limit = base;
    }
    return limit == index && index > 0 ? index - 1 : limit;
}

cbw_position_t
CbwTermHistory_Valid(const cbw_term_history_t *history,
                     cbw_position_t position)
{
    uint64_t limit = position.index;
    int before = -1; /* the last term up to the log's */

    for (int i = 0; i < history->count; i++) {
        const cbw_term_start_t *start = &history->starts[i];
        if (start->term <= position.term) {
            before = i;
        }
        else if (start->base < limit) {
            limit = start->base;
        }
    }
    if (before >= 0 && before < history->count - 1 &&
        history->starts[before].term != position.term) {
        limit = limit_of_foreign_term(&history->starts[before], position.index,
                                      limit);
    }
    if (limit == position.index) {
        return position;
    }
    return (cbw_position_t){term_at(history, limit), limit};
}
