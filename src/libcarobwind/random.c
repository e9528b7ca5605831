#include "carobwind/random.h"

#include <assert.h>

void
CbwRandom_Init(cbw_random_t *random, uint64_t seed)
{
    random->state = seed;
}

uint64_t
CbwRandom_Next(cbw_random_t *random)
{
    uint64_t z;

    random->state += UINT64_C(0x9e3779b97f4a7c15);
    z = random->state;
    z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
    return z ^ (z >> 31);
}

uint64_t
CbwRandom_Below(cbw_random_t *random, uint64_t bound)
{
    assert(bound > 0);
    return CbwRandom_Next(random) % bound;
}

double
CbwRandom_Unit(cbw_random_t *random)
{
    /* The upper 53 bits, which a double holds exactly, divided by 2^53. */
    return (double)(CbwRandom_Next(random) >> 11) / 9007199254740992.0;
}
