/* The tool's calls to the platform's key-value service; each waits for its
 * answer, for a few seconds. */
#ifndef CAROBWINDCTL_PLATFORM_CLIENT_H
#define CAROBWINDCTL_PLATFORM_CLIENT_H

#include <stdint.h>

#include "carobwind/error.h"

/* Reads a value, "" with version 0 when there is none; the caller frees it.
 * Returns 0, or -1 with `error` set. */
int PlatformClient_Get(const char *address, const char *key, uint64_t *version,
                       char **value, cbw_error_t *error);
/* Swaps a value; a lost answer is settled by reading back. Sets `present` to
 * the new version. Returns 0, or -1 with `error` set: CBW_ERROR_CONFLICT when
 * the version was another. */
int PlatformClient_Swap(const char *address, const char *key, uint64_t version,
                        const char *value, uint64_t *present,
                        cbw_error_t *error);

#endif
