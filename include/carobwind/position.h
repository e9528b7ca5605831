/* Positions in the logs of endpoints. */
#ifndef CAROBWIND_POSITION_H
#define CAROBWIND_POSITION_H

#include <stdint.h>

/* A position in an endpoint's log. Positions are ordered by term, then by
 * index. */
typedef struct {
    uint64_t term;
    uint64_t index; /* called `position` in tokens, calls and replies */
} cbw_position_t;

/* Returns a value less than, equal to or greater than 0, as memcmp does. */
int CbwPosition_Compare(cbw_position_t a, cbw_position_t b);

#endif
