#include "carobwind/rendezvous.h"

#include <string.h>
#include <xxhash.h>

uint64_t
CbwRendezvous_Weight(const char *key, const char *host)
{
    return XXH64(host, strlen(host), XXH64(key, strlen(key), 0));
}
