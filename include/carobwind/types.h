/* Basic types and limits that all modules share. */
#ifndef CAROBWIND_TYPES_H
#define CAROBWIND_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A point in time or a duration, in microseconds. Points in time are read by
 * the caller from a monotonic clock that also advances while the host is
 * suspended (CLOCK_BOOTTIME), and are passed as arguments. */
typedef int64_t cbw_time_t;

#define Cbw_MSEC ((cbw_time_t)1000)
#define Cbw_SEC ((cbw_time_t)1000000)
/* As a point in time: never. As an age: unbounded. */
#define Cbw_NEVER INT64_MAX

/* Size of the longest name of a database, endpoint, host, kind or rank,
 * including the NUL. */
#define Cbw_NAME_MAX 48
/* Size of the longest request key, including the NUL. */
#define Cbw_KEY_MAX 64
/* Size of the longest session token, including the NUL. */
#define Cbw_TOKEN_MAX 96
/* Size of the longest trace id, including the NUL. */
#define Cbw_TRACE_MAX 40
/* Size of the longest "address:port", including the NUL. */
#define Cbw_ADDRESS_MAX 32
/* Maximum number of endpoints of one database in an inventory. cbw_pool_t has
 * room for Cbw_POOL_ENDPOINTS_MAX, as it also holds those being replaced. */
#define Cbw_ENDPOINTS_MAX 8
/* Maximum number of ranks of an inventory. */
#define Cbw_RANKS_MAX 6
/* Maximum size of a statement or result, in bytes. */
#define Cbw_STATEMENT_MAX ((size_t)65536)
/* Most bytes of a message to an endpoint of the platform, with its line end.
 */
#define Cbw_ENDPOINT_MESSAGE_MAX ((size_t)1048576)

#endif
