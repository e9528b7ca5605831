#include "carobwind/log_copies.h"

#include <stdio.h>
#include <string.h>

void
CbwLogCopy_Init(cbw_log_copy_t *copy, const cbw_endpoint_t *endpoint)
{
    memset(copy, 0, sizeof(*copy));
    snprintf(copy->name, sizeof(copy->name), "%s", endpoint->name);
    snprintf(copy->address, sizeof(copy->address), "%s", endpoint->address);
    copy->started_at = endpoint->started_at;
}

bool
CbwLogCopy_IsProcess(const cbw_log_copy_t *copy,
                     const cbw_endpoint_t *endpoint)
{
    return strcmp(copy->name, endpoint->name) == 0 &&
           strcmp(copy->address, endpoint->address) == 0 &&
           copy->started_at == endpoint->started_at;
}

bool
CbwLogCopy_IsSuccessor(const cbw_log_copy_t *copy,
                       const cbw_endpoint_t *endpoint)
{
    return strcmp(copy->name, endpoint->name) != 0 &&
           strcmp(copy->address, endpoint->address) == 0;
}

bool
CbwLogCopies_IsSame(const cbw_log_copies_t *a, const cbw_log_copies_t *b)
{
    if (a->count != b->count) {
        return false;
    }
    for (int i = 0; i < a->count; i++) {
        const cbw_log_copy_t *x = &a->items[i];
        const cbw_log_copy_t *y = &b->items[i];
        if (strcmp(x->name, y->name) != 0 ||
            strcmp(x->address, y->address) != 0 ||
            x->started_at != y->started_at) {
            return false;
        }
    }
    return true;
}
