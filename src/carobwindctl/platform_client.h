/* Blocking calls to the platform's key-value store. Each waits for its reply
 * with a timeout of two seconds. */
#ifndef CAROBWINDCTL_PLATFORM_CLIENT_H
#define CAROBWINDCTL_PLATFORM_CLIENT_H

#include <stdint.h>

#include "carobwind/error.h"

/* Reads the value of `key` and its version: "" and 0 when the key does not
 * exist. The caller frees `value`. Returns 0, or -1 with `error` set. */
int PlatformClient_Get(const char *address, const char *key, uint64_t *version,
                       char **value, cbw_error_t *error);
/* Replaces the value of `key` if its version is `expected_version`. When the
 * reply is lost, reads the key to find out whether the swap was applied.
 * Returns 0 with `new_version` set, or -1 with `error` set: CBW_ERROR_CONFLICT
 * when the key had another version. On an error the content of `new_version`
 * is unspecified. */
int PlatformClient_Swap(const char *address, const char *key,
                        uint64_t expected_version, const char *value,
                        uint64_t *new_version, cbw_error_t *error);

#endif
