/* Admission control at an entry host.
 *
 * An owner reports with its answers which share of the requests of each rank
 * it can take. The entries refuse the rest, so that an overload is rejected at
 * no cost to the owner. */
#ifndef CAROBWIND_ADMISSION_H
#define CAROBWIND_ADMISSION_H

#include "carobwind/types.h"

/* How long reported shares are valid. Without valid shares all requests are
 * admitted. */
#define Cbw_ADMISSION_SHARES_TTL (1 * Cbw_SEC)
/* The retry-after time of a request that is refused at the entry. */
#define Cbw_ADMISSION_RETRY_AFTER (200 * Cbw_MSEC)

/* Admission state of one database. A zeroed one admits every request. */
typedef struct {
    /* Share of the requests to admit, by rank, in 1/1000. */
    int share_permille[Cbw_RANKS_MAX];
    /* Credit by rank, in 1/1000 of a request. A request that arrives adds its
     * rank's share; one that is admitted takes 1000. */
    int credit_permille[Cbw_RANKS_MAX];
    cbw_time_t updated_at; /* 0: never */
} cbw_admission_t;

/* Stores the shares, in 1/1000, that an owner sent with an answer. Ranks from
 * `count` on are admitted in full. */
void CbwAdmission_Update(cbw_admission_t *admission, cbw_time_t now,
                         const int *shares, int count);
/* Returns whether to admit a request of `rank`. */
bool CbwAdmission_Admit(cbw_admission_t *admission, cbw_time_t now, int rank);

#endif
