#include "carobwind/rendezvous.h"

#include <string.h>
#include <xxhash.h>

uint64_t
CbwRendezvous_Seed(const char *key)
{
    return XXH64(key, strlen(key), 0);
}

uint64_t
CbwRendezvous_SeededWeight(uint64_t seed, const char *host)
{
    return XXH64(host, strlen(host), seed);
}

uint64_t
CbwRendezvous_Weight(const char *key, const char *host)
{
    return CbwRendezvous_SeededWeight(CbwRendezvous_Seed(key), host);
}
