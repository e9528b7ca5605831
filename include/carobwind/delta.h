/* Difference of two texts as the replacement of a single range.
 *
 * A configuration change touches few lines, so that sending the delta instead
 * of the whole text saves most of the bytes. */
#ifndef CAROBWIND_DELTA_H
#define CAROBWIND_DELTA_H

#include <stddef.h>

typedef struct {
    size_t prefix; /* bytes kept from the start of the base */
    size_t suffix; /* bytes kept from the end of the base */
    /* The bytes between prefix and suffix. CbwDelta_Compute lets it point
     * into the new text, which must live as long. */
    const char *text;
    size_t size; /* of `text`, in bytes */
} cbw_delta_t;

/* Computes the delta that turns `base` into `text`. */
void CbwDelta_Compute(cbw_delta_t *delta, const char *base, const char *text);
/* Applies a delta to `base`. Returns a new NUL-terminated text that the caller
 * frees, or NULL when prefix and suffix are longer than the base or memory ran
 * out. */
char *CbwDelta_Apply(const cbw_delta_t *delta, const char *base);

#endif
