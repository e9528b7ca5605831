/* The difference of two texts as one replaced stretch: a configuration change
 * touches few lines, so that little needs to be sent. */
#ifndef CAROBWIND_DELTA_H
#define CAROBWIND_DELTA_H

#include <stddef.h>

typedef struct {
    size_t prefix;    /* bytes kept from the start of the base */
    size_t suffix;    /* bytes kept from its end */
    const char *text; /* what stands between them; points into the new text */
    size_t size;
} cbw_delta_t;

/* The delta that leads from `base` to `text`. */
void CbwDelta_Compute(cbw_delta_t *delta, const char *base, const char *text);
/* Applies a delta. Returns a new NUL-terminated text that the caller frees, or
 * NULL when it does not fit the base or memory ran out. */
char *CbwDelta_Apply(const cbw_delta_t *delta, const char *base);

#endif
