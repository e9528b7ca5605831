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
