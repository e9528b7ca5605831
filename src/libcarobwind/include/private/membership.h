/* Declarations that the source files of the membership share. */
#ifndef CAROBWIND_PRIVATE_MEMBERSHIP_H
#define CAROBWIND_PRIVATE_MEMBERSHIP_H

#include "carobwind/membership.h"

/* Chooses the members that this host probes, if members were added or removed
 * since. */
void CbwMembership_UpdateWatch_(cbw_membership_t *membership);
/* Returns whether the fleet is a large one. */
bool CbwMembership_IsLarge_(const cbw_membership_t *membership);
/* Returns how long a suspect may take to refute the suspicion before it counts
 * as dead. */
cbw_time_t CbwMembership_SuspectLimit_(const cbw_membership_t *membership,
                                       cbw_time_t now);
/* Returns the time until indirect probes of `member` are sent. */
cbw_time_t CbwMembership_IndirectAfter_(const cbw_membership_t *membership,
                                        cbw_time_t now,
                                        const cbw_member_record_t *member);
/* Returns whether so few of the sampled members are not dead that this host
 * must be cut off. */
bool CbwMembership_IsSampleLost_(const cbw_membership_t *membership);

#endif
