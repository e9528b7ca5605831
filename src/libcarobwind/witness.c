#include "carobwind/witness.h"

void
CbwWitness_Begin(cbw_witnesses_t *witnesses, int asked, bool silence_counts)
{
    *witnesses = (cbw_witnesses_t){
        .silence_counts = silence_counts, .asked = asked, .pending = asked};
}

cbw_witness_verdict_t
CbwWitness_OnAnswer(cbw_witnesses_t *witnesses, cbw_witness_answer_t answer)
{
    int needed = witnesses->asked < Cbw_WITNESSES_NEEDED
                     ? witnesses->asked
                     : Cbw_WITNESSES_NEEDED;

    witnesses->pending--;
    if (answer == CBW_WITNESS_REACHES) {
        return CBW_WITNESS_REACHED;
    }
    if (answer == CBW_WITNESS_DOES_NOT || witnesses->silence_counts) {
        witnesses->denied++;
    }
    if (witnesses->pending > 0) {
        return CBW_WITNESS_PENDING;
    }
    return witnesses->denied >= needed ? CBW_WITNESS_LOST
                                       : CBW_WITNESS_UNKNOWN;
}
