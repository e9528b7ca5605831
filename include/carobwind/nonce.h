/* Nonces of the owners that hold tenures. The upper half of a nonce is a hash
 * of the address at which the owner's process listens for peers. Only one
 * process at a time uses an address, so a process knows that owners of earlier
 * processes at its address have ended. It knows nothing about owners at other
 * addresses, whatever the name of their host. */
#ifndef CAROBWIND_NONCE_H
#define CAROBWIND_NONCE_H

#include "carobwind/pool.h"

/* Returns the nonce from which a process numbers its owners, by adding 1, 2
 * and so on; the upper half is the same for 2^31 of them. `random` must differ
 * with each start of the process. */
uint64_t CbwNonce_New(const char *address, uint64_t random);
/* Returns whether an owner that does not run in this process has ended, and
 * the leases of its promotion requests are over (Cbw_POOL_ORDER_LEASE). `own`
 * is the nonce of this process; `orders_until` is the time until which owners
 * of its address that have ended sent such requests. */
bool CbwNonce_HasEnded(uint64_t nonce, uint64_t own, cbw_time_t now,
                       cbw_time_t orders_until);

#endif
