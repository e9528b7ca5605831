/* Seeded pseudo-random number generator (SplitMix64). */
#ifndef CAROBWIND_RANDOM_H
#define CAROBWIND_RANDOM_H

#include <stdint.h>

typedef struct {
    uint64_t state;
} cbw_random_t;

void CbwRandom_Init(cbw_random_t *random, uint64_t seed);
/* Returns 64 random bits. */
uint64_t CbwRandom_Next(cbw_random_t *random);
/* Returns a number that is uniformly distributed in [0, bound). `bound` must
 * not be 0. */
uint64_t CbwRandom_Below(cbw_random_t *random, uint64_t bound);
/* Returns a number that is uniformly distributed in [0, 1). */
double CbwRandom_Unit(cbw_random_t *random);

#endif
