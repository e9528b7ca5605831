/* Decides from the answers of a few peers whether a primary that this host
 * does not reach is lost.
 *
 * It is not lost if one peer reaches it. A peer that does not answer is no
 * evidence: its link or this host's may be overloaded. In a small fleet, where
 * that is rare and detection must be fast, such a peer counts as one that does
 * not reach the primary.
 *
 * The module does no I/O. */
#ifndef CAROBWIND_WITNESS_H
#define CAROBWIND_WITNESS_H

#include <stdbool.h>

/* Number of peers that must not reach a primary before it counts as lost;
 * fewer if fewer could be asked. */
#define Cbw_WITNESSES_NEEDED 2

typedef enum {
    CBW_WITNESS_REACHES,
    CBW_WITNESS_DOES_NOT,
    CBW_WITNESS_SILENT,
} cbw_witness_answer_t;

typedef enum {
    CBW_WITNESS_PENDING, /* more answers are awaited */
    CBW_WITNESS_REACHED,
    CBW_WITNESS_LOST,
    CBW_WITNESS_UNKNOWN, /* too few answers */
} cbw_witness_verdict_t;

/* One round of requests. Needs no finish. */
typedef struct {
    bool silence_counts;
    int asked;
    int pending;
    int denied;
} cbw_witnesses_t;

/* `asked` peers are asked. */
void CbwWitness_Begin(cbw_witnesses_t *witnesses, int asked,
                      bool silence_counts);
/* Handles the answer of one of them, and returns the verdict. */
cbw_witness_verdict_t CbwWitness_OnAnswer(cbw_witnesses_t *witnesses,
                                          cbw_witness_answer_t answer);

#endif
