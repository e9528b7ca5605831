/* Rendezvous (highest random weight) hashing of keys onto hosts. A key names a
 * database or a role. */
#ifndef CAROBWIND_RENDEZVOUS_H
#define CAROBWIND_RENDEZVOUS_H

#include <stdint.h>

/* Returns the weight of `host` for `key`. The host of the highest weight is
 * the first choice, that of the next one its successor. */
uint64_t CbwRendezvous_Weight(const char *key, const char *host);

/* The same in two steps, for the weights of many hosts for one key. */
uint64_t CbwRendezvous_Seed(const char *key);
uint64_t CbwRendezvous_SeededWeight(uint64_t seed, const char *host);

#endif
