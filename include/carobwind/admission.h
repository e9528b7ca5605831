/* Admission at an entry: what a database's owner admits by rank, so that a
 * flood is refused before it costs the owner anything. */
#ifndef CAROBWIND_ADMISSION_H
#define CAROBWIND_ADMISSION_H

#include "carobwind/types.h"

/* What an owner said is forgotten after this time. */
#define Cbw_ADMISSION_SHARES_TTL (1 * Cbw_SEC)
/* Retry-after of what is refused here. */
#define Cbw_ADMISSION_RETRY_AFTER (200 * Cbw_MSEC)

/* Of one database; a zeroed one admits all. */
typedef struct {
    int share_permille[Cbw_RANKS_MAX];  /* in 1/1000 */
    int credit_permille[Cbw_RANKS_MAX]; /* earned by refused requests, in
                                           1/1000 */
    cbw_time_t updated_at;              /* 0: never */
} cbw_admission_t;

/* Takes in the shares that an owner sent with an answer. */
void CbwAdmission_Update(cbw_admission_t *admission, cbw_time_t now,
                         const int *shares, int count);
/* Whether to let a request of `rank` through. */
bool CbwAdmission_Admit(cbw_admission_t *admission, cbw_time_t now, int rank);

#endif
