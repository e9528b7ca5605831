/* Nonces of the owners that hold tenures. The upper half of a nonce is a hash
 * of the address at which the owner's process listens for peers. An address
 * has one process at a time: the present one knows that the owners of former
 * ones at its address have ended, and nothing of owners elsewhere, whatever
 * their host is called. */
#ifndef CAROBWIND_NONCE_H
#define CAROBWIND_NONCE_H

#include "carobwind/pool.h"

/* Returns the nonce from which a process numbers its owners, by adding 1, 2
 * and so on: 2^31 of them leave the upper half as it is. `random` differs with
 * each start of the process. */
uint64_t CbwNonce_New(const char *address, uint64_t random);
/* Returns whether an owner that does not run in this process has ended, and
 * the leases of its promotion requests are over (Cbw_POOL_ORDER_LEASE). `own`
 * is the nonce of this process; `orders_until` is the time until which owners
 * of its address that have ended sent such requests. */
bool CbwNonce_HasEnded(uint64_t nonce, uint64_t own, cbw_time_t now,
                       cbw_time_t orders_until);

#endif
