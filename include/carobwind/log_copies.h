/* The processes of endpoints that may have commits which were acknowledged
 * with synchronous replication. A commit is acknowledged once the primary and
 * one replica have it, and any replica may be that one, also one that is not
 * listed at present: after the loss of the primary, the longest log is known
 * to be complete once each of these processes has reported its log. */
#ifndef CAROBWIND_LOG_COPIES_H
#define CAROBWIND_LOG_COPIES_H

#include <stdbool.h>

#include "carobwind/inventory.h"

/* Most processes kept: those of a group of three endpoints and of several
 * replacements. */
#define Cbw_LOG_COPIES_MAX 12

/* One process of an endpoint. It may come back with its log under another name
 * at its address; under its own name it comes back without one, with another
 * `started_at`. */
typedef struct {
    char name[Cbw_NAME_MAX];
    char address[Cbw_ADDRESS_MAX]; /* "ip:port" */
    int64_t started_at; /* Unix time in milliseconds; 0: not known */
} cbw_log_copy_t;

/* A set of processes; all zero: empty. */
typedef struct {
    int count;
    cbw_log_copy_t items[Cbw_LOG_COPIES_MAX];
} cbw_log_copies_t;

/* Returns whether both sets have the same processes in the same order. */
bool CbwLogCopies_IsSame(const cbw_log_copies_t *a, const cbw_log_copies_t *b);
/* Makes the entry of the process that `endpoint` is at present. */
void CbwLogCopy_Init(cbw_log_copy_t *copy, const cbw_endpoint_t *endpoint);
/* Returns whether `endpoint` is that process. */
bool CbwLogCopy_IsProcess(const cbw_log_copy_t *copy,
                          const cbw_endpoint_t *endpoint);
/* Returns whether `endpoint` is a process that took over the log: another one
 * at the same address. Whether it has that log, its state tells. */
bool CbwLogCopy_IsSuccessor(const cbw_log_copy_t *copy,
                            const cbw_endpoint_t *endpoint);

#endif
