/* Proof that a primary's answer may be acknowledged: a majority of the group,
 * asked after the answer, is still in the primary's term, or holds the
 * statement's log position in that term. */
#ifndef CAROBWIND_CONFIRM_H
#define CAROBWIND_CONFIRM_H

#include "carobwind/endpoint.h"
#include "carobwind/inventory.h"

/* Plain data; may be copied. */
typedef struct {
    int endpoint_count;
    uint64_t term;
    uint64_t sequence; /* of the latest question or ticket */
    uint64_t confirmed_sequence[Cbw_ENDPOINTS_MAX]; /* sequence last proved in
                                                       term */
    uint64_t confirmed_position[Cbw_ENDPOINTS_MAX]; /* position held in term */
} cbw_confirm_t;

void CbwConfirm_Init(cbw_confirm_t *confirm, int endpoint_count);
/* Starts over for `term`; evidence of other terms is dropped. */
void CbwConfirm_SetTerm(cbw_confirm_t *confirm, uint64_t term);
/* A ticket for an answer that has just come in: only questions asked after it
 * count. */
uint64_t CbwConfirm_TakeTicket(cbw_confirm_t *confirm);
/* The number of a question that is sent now. */
uint64_t CbwConfirm_NextSequence(cbw_confirm_t *confirm);
/* Endpoint `endpoint` answered question `question` with `state`. */
void CbwConfirm_OnState(cbw_confirm_t *confirm, int endpoint,
                        uint64_t question, const cbw_endpoint_state_t *state);
/* The latest question that a majority has answered, or a later one, from
 * within the term; 0 when none. */
uint64_t CbwConfirm_MajoritySequence(const cbw_confirm_t *confirm);
/* A majority was in the term after `ticket` was taken. */
bool CbwConfirm_IsTermConfirmed(const cbw_confirm_t *confirm, uint64_t ticket);
/* The position that a majority holds in the term; 0 when none. */
uint64_t CbwConfirm_MajorityPosition(const cbw_confirm_t *confirm);
/* Whether a write at `position`, answered at `ticket`, meets `level`. */
bool CbwConfirm_IsConfirmed(const cbw_confirm_t *confirm,
                            cbw_confirm_level_t level, uint64_t ticket,
                            uint64_t position);

#endif
