/* Quorum confirmation of a primary's answers. An answer may be acknowledged
 * once a majority of the group has replied to state calls that were sent after
 * the answer, and was still in the primary's term; a write may also have to
 * wait until a majority holds its log position in that term.
 *
 * Answers and state calls are numbered from one sequence, so that comparing
 * the numbers tells whether a state call was sent after an answer. */
#ifndef CAROBWIND_CONFIRM_H
#define CAROBWIND_CONFIRM_H

#include "carobwind/endpoint.h"
#include "carobwind/inventory.h"

/* Plain data; may be copied. The arrays are indexed by endpoint. */
typedef struct {
    int endpoint_count;
    uint64_t term;
    uint64_t sequence; /* last number given out */
    /* The latest state call answered from within `term`; 0: none. */
    uint64_t confirmed_sequence[Cbw_ENDPOINTS_MAX];
    /* The highest log position reported in `term`; 0: none. */
    uint64_t confirmed_position[Cbw_ENDPOINTS_MAX];
} cbw_confirm_t;

void CbwConfirm_Init(cbw_confirm_t *confirm, int endpoint_count);
/* Starts over when `term` is new: replies from other terms no longer count. */
void CbwConfirm_SetTerm(cbw_confirm_t *confirm, uint64_t term);
/* Returns the number of an answer that has just arrived: only state calls with
 * a higher number confirm it. */
uint64_t CbwConfirm_NextAnswerSequence(cbw_confirm_t *confirm);
/* Returns the number of a state call that is about to be sent. */
uint64_t CbwConfirm_NextCallSequence(cbw_confirm_t *confirm);
/* Handles the reply of `endpoint` to state call number `sequence`. */
void CbwConfirm_OnState(cbw_confirm_t *confirm, int endpoint,
                        uint64_t sequence, const cbw_endpoint_state_t *state);
/* Returns the highest number such that a majority has answered, from within
 * the term, a state call with this number or a higher one; 0 when none. */
uint64_t CbwConfirm_MajoritySequence(const cbw_confirm_t *confirm);
/* Whether a majority was in the term after `ticket` was taken. */
bool CbwConfirm_IsTermConfirmed(const cbw_confirm_t *confirm, uint64_t ticket);
/* Returns the highest position that a majority holds in the term; 0 when none.
 */
uint64_t CbwConfirm_MajorityPosition(const cbw_confirm_t *confirm);
/* Whether an answer that took `ticket`, of a write at `position`, is confirmed
 * as `level` demands. */
bool CbwConfirm_IsConfirmed(const cbw_confirm_t *confirm,
                            cbw_confirm_level_t level, uint64_t ticket,
                            uint64_t position);

#endif
