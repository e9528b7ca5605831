/* A small seeded pseudo-random generator (SplitMix64). */
#ifndef CAROBWIND_RANDOM_H
#define CAROBWIND_RANDOM_H

#include <stdint.h>

typedef struct {
    uint64_t state;
} cbw_random_t;

void CbwRandom_Init(cbw_random_t *random, uint64_t seed);
uint64_t CbwRandom_Next(cbw_random_t *random);
/* Uniform in [0, limit); `limit` must not be 0. */
uint64_t CbwRandom_Below(cbw_random_t *random, uint64_t limit);
/* Uniform in [0, 1). */
double CbwRandom_Unit(cbw_random_t *random);

#endif
