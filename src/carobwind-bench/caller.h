/* Simulated callers: sessions with one request in flight each. Each attempt
 * goes to a random entry host; a request whose reply is lost is retried under
 * the same request key. Finished requests are written to a journal. */
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
    const char *label; /* part of the accounts' names: tells runs apart */
    char entries[CALLER_ENTRIES_MAX][Cbw_ADDRESS_MAX];
    size_t entry_count;
    char databases[CALLER_DATABASES_MAX][Cbw_NAME_MAX];
    size_t database_count;
    cbw_link_t idle_connections[CALLER_ENTRIES_MAX];
    /* One list for each database, so that requests for a slow one are not sent
     * to another. */
    cbw_link_t idle_sessions[CALLER_DATABASES_MAX];
    /* Arrivals that wait for a session, by database. */
    cbw_link_t backlog[CALLER_DATABASES_MAX];
    size_t session_counts[CALLER_DATABASES_MAX];
    size_t backlog_count;
    size_t session_limit; /* for each database */
    size_t session_count;
    cbw_time_t start_time;
    /* The next two count from `start_time`. */
    cbw_time_t measure_start; /* end of the warm-up */
    cbw_time_t stop_time;     /* no more arrivals */
    cbw_time_t reply_timeout; /* for each attempt */
    int attempts_max;
    uint64_t run_id; /* part of the request keys: tells runs apart */
    cbw_random_t random;
    FILE *journal;      /* NULL: none */
    uint64_t in_flight; /* requests of busy sessions */
} callers_t;

/* Initialises the lists of `pool`. Its settings, from `loop` to `run_id`, must
 * be set before. */
void Caller_Init(callers_t *pool);
/* Issues a request of `kind` whose intended start was `intended`, counted from
 * the start of the run. The request waits while all sessions are busy. */
void Caller_SubmitRequest(callers_t *pool, load_kind_t *kind,
                          cbw_time_t intended);
/* Times out attempts without a reply and starts retries that are due. To be
 * called every few milliseconds. */
void Caller_Tick(callers_t *pool);

#endif
