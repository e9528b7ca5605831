#include "carobwind/delta.h"

#include <stdlib.h>
#include <string.h>

void
CbwDelta_Compute(cbw_delta_t *delta, const char *base, const char *text)
{
    size_t base_size = strlen(base);
    size_t size = strlen(text);
    size_t least = base_size < size ? base_size : size;
    size_t prefix = 0;
    size_t suffix = 0;

    while (prefix < least && base[prefix] == text[prefix]) {
        prefix++;
    }
    while (suffix < least - prefix &&
           base[base_size - 1 - suffix] == text[size - 1 - suffix]) {
        suffix++;
    }
    delta->prefix = prefix;
    delta->suffix = suffix;
    delta->text = text + prefix;
    delta->size = size - prefix - suffix;
}

char *
CbwDelta_Apply(const cbw_delta_t *delta, const char *base)
{
    size_t base_size = strlen(base);
    char *text;

    if (delta->prefix > base_size ||
        delta->suffix > base_size - delta->prefix) {
        return NULL;
    }
    text = malloc(delta->prefix + delta->size + delta->suffix + 1);
    if (text == NULL) {
        return NULL;
    }
    memcpy(text, base, delta->prefix);
    memcpy(text + delta->prefix, delta->text, delta->size);
    memcpy(text + delta->prefix + delta->size,
           base + base_size - delta->suffix, delta->suffix);
    text[delta->prefix + delta->size + delta->suffix] = '\0';
    return text;
}
