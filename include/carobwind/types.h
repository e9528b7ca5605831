/* Basic types and limits that every module shares. */
#ifndef CAROBWIND_TYPES_H
#define CAROBWIND_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A point in time or a duration, in microseconds.  Points in time come from
 * the host's clock that also counts while it is suspended, and are passed in
 * by the caller. */
typedef int64_t cbw_time_t;

#define Cbw_MSEC ((cbw_time_t)1000)
#define Cbw_SEC ((cbw_time_t)1000000)
#define Cbw_NEVER INT64_MAX

/* Longest name of a database, endpoint, host, kind or rank, with its NUL. */
#define Cbw_NAME_MAX 48
/* Longest request key, with its NUL. */
#define Cbw_KEY_MAX 64
/* Longest session token, with its NUL. */
#define Cbw_TOKEN_MAX 96
/* Longest trace id, with its NUL. */
#define Cbw_TRACE_MAX 40
/* Longest "address:port", with its NUL. */
#define Cbw_ADDRESS_MAX 32
/* Most endpoints of one database. */
#define Cbw_ENDPOINTS_MAX 8
/* Most ranks of work. */
#define Cbw_RANKS_MAX 6
/* Longest statement or result, in bytes. */
#define Cbw_STATEMENT_MAX ((size_t)65536)

#endif
