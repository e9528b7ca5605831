/* Where the terms of a database's log began, and what this tells of a log that
 * ends in one of them.
 *
 * Each term continues the log that its primary had when it was promoted, and
 * discards what other endpoints had beyond that. An endpoint that has not
 * followed since may still have discarded entries, of any earlier term: to
 * compare its log, the begin of each term since then is needed.
 *
 * Source: the comparison of logs by term and index in "In Search of an
 * Understandable Consensus Algorithm" (Ongaro, Ousterhout, 2014), here with
 * promotions that may begin with a shorter log. */
#ifndef CAROBWIND_TERM_HISTORY_H
#define CAROBWIND_TERM_HISTORY_H

#include "carobwind/position.h"

/* Terms kept. Beyond that, the two oldest are merged. */
#define Cbw_TERM_HISTORY_MAX 16
/* `base` of a term whose begin is not known, as it is older than the first
 * promotion. */
#define Cbw_TERM_BASE_UNKNOWN UINT64_MAX

/* The begin of a term. */
typedef struct {
    uint64_t term;
    uint64_t base; /* index of the last entry of the terms before it */
} cbw_term_start_t;

/* The terms of one log, ascending: a term between two of them has no entry in
 * that log. All zero: nothing is known. */
typedef struct {
    int count;
    cbw_term_start_t starts[Cbw_TERM_HISTORY_MAX];
} cbw_term_history_t;

/* Adds a term after all others. If the history is full, the two oldest terms
 * are merged: logs that end in the older one then count as discarded from
 * their last entries of the terms before it on. */
void CbwTermHistory_Add(cbw_term_history_t *history, cbw_term_start_t start);
/* Removes the terms after `term`, in which a promoted log ends. If that one is
 * missing from the history, adds it with base 0, since its begin is not known;
 * an empty history stays empty. `term` 0: not known, removes all. */
void CbwTermHistory_Truncate(cbw_term_history_t *history, uint64_t term);
/* Returns the end of the part that a log which ends at `position` has in
 * common with the history's log: `position` itself if the log has no discarded
 * entries. A term after the history's last one is taken for its continuation.
 */
cbw_position_t CbwTermHistory_Valid(const cbw_term_history_t *history,
                                    cbw_position_t position);

#endif
