/* Callers: sessions that send one request at a time through any entry, try
 * again under the same key when an answer is lost, and keep a journal. */
#ifndef CAROBWIND_BENCH_CALLER_H
#define CAROBWIND_BENCH_CALLER_H

#include <ev.h>
#include <stdio.h>

#include "carobwind/list.h"
#include "carobwind/random.h"
#include "load.h"
#include "share/resp.h"

#define CALLER_ENTRIES_MAX 64
#define CALLER_DATABASES_MAX 512

typedef struct {
    struct ev_loop *loop;
    load_t *load;
    const char *local_ip;
    const char *label; /* keeps the accounts of different runs apart */
    char entries[CALLER_ENTRIES_MAX][Cbw_ADDRESS_MAX];
    size_t entry_count;
    char databases[CALLER_DATABASES_MAX][Cbw_NAME_MAX];
    size_t database_count;
    cbw_link_t idle_connections[CALLER_ENTRIES_MAX];
    /* One list for each database, so that arrivals at one that is slow do not
     * go to another. */
    cbw_link_t idle_sessions[CALLER_DATABASES_MAX];
    cbw_link_t backlog[CALLER_DATABASES_MAX]; /* wait for a session */
    size_t session_counts[CALLER_DATABASES_MAX];
    size_t backlog_count;
    size_t session_limit; /* for each database */
    size_t session_count;
    cbw_time_t start_time;
    cbw_time_t measure_start; /* from the start */
    cbw_time_t stop_time;     /* from the start */
    cbw_time_t reply_timeout; /* wait for one answer */
    int attempts_max;
    uint64_t run_id; /* keeps keys of different runs apart */
    cbw_random_t random;
    FILE *journal; /* NULL: none */
    uint64_t in_flight;
} caller_pool_t;

/* `pool` is filled in up to `run_id`, lists apart. */
void Caller_Init(caller_pool_t *pool);
/* One request of `kind`, which was due at `intended` (from the start). */
void Caller_SubmitRequest(caller_pool_t *pool, load_kind_t *kind,
                          cbw_time_t intended);
/* Gives up answers that are overdue. Call it every few milliseconds. */
void Caller_Tick(caller_pool_t *pool);

#endif
