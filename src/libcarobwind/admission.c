#include "carobwind/admission.h"

#include <assert.h>

#define FULL_SHARE 1000

void
CbwAdmission_Hear(cbw_admission_t *admission, cbw_time_t now,
                  const int *shares, int count)
{
    admission->heard_at = now;
    for (int i = 0; i < Cbw_RANKS_MAX; i++) {
        admission->share[i] = i < count ? shares[i] : FULL_SHARE;
    }
}

bool
CbwAdmission_Admit(cbw_admission_t *admission, cbw_time_t now, int rank)
{
    assert(rank >= 0 && rank < Cbw_RANKS_MAX);
    if (admission->heard_at == 0 ||
        now - admission->heard_at > Cbw_ADMISSION_VALID_FOR) {
        return true;
    }
    admission->saved[rank] += admission->share[rank];
    if (admission->saved[rank] < FULL_SHARE) {
        return false;
    }
    admission->saved[rank] -= FULL_SHARE;
    return true;
}
