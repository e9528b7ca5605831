#include "carobwind/admission.h"

#include <assert.h>

/* Unit of shares and credits. */
#define PERMILLE 1000

void
CbwAdmission_Update(cbw_admission_t *admission, cbw_time_t now,
                    const int *shares, int count)
{
    admission->updated_at = now;
    for (int i = 0; i < Cbw_RANKS_MAX; i++) {
        admission->share_permille[i] = i < count ? shares[i] : PERMILLE;
    }
}

bool
CbwAdmission_Admit(cbw_admission_t *admission, cbw_time_t now, int rank)
{
    assert(rank >= 0 && rank < Cbw_RANKS_MAX);
    if (admission->updated_at == 0 ||
        now - admission->updated_at > Cbw_ADMISSION_SHARES_TTL) {
        return true;
    }
    admission->credit_permille[rank] += admission->share_permille[rank];
    if (admission->credit_permille[rank] < PERMILLE) {
        return false;
    }
    admission->credit_permille[rank] -= PERMILLE;
    return true;
}
