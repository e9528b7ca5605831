#include "carobwind/nonce.h"

#include <string.h>
#include <xxhash.h>

uint64_t
CbwNonce_New(const char *address, uint64_t random)
{
    return (uint64_t)XXH32(address, strlen(address), 0) << 32 |
           (random & INT32_MAX);
}

bool
CbwNonce_HasEnded(uint64_t nonce, uint64_t own, cbw_time_t now,
                  cbw_time_t orders_until)
{
    return nonce >> 32 == own >> 32 &&
           now >= orders_until + Cbw_POOL_ORDER_LEASE;
}
