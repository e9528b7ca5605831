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

/* All simulated callers of a run, with their connections and settings. */
typedef struct {
    struct ev_loop *loop;
    load_t *load;
    const char *local_ip;
    const char *label; /* part of the value names, to distinguish runs */
    char entries[CALLER_ENTRIES_MAX][Cbw_ADDRESS_MAX];
    size_t entry_count;
    char databases[CALLER_DATABASES_MAX][Cbw_NAME_MAX];
    size_t database_count;
    cbw_link_t idle_connections[CALLER_ENTRIES_MAX];
    /* One list for each database, so that a slow database does not affect the
     * requests to others. */
    cbw_link_t idle_sessions[CALLER_DATABASES_MAX];
    /* Arrivals that are waiting for a session, by database. */
    cbw_link_t backlog[CALLER_DATABASES_MAX];
    size_t session_counts[CALLER_DATABASES_MAX];
    size_t backlog_count;
    size_t session_limit; /* for each database */
    size_t session_count;
    cbw_time_t start_time;
    /* The next two are relative to `start_time`. */
    cbw_time_t measure_start; /* end of the warm-up */
    cbw_time_t stop_time;     /* no more arrivals */
    cbw_time_t reply_timeout; /* for each attempt */
    int attempts_max;
    uint64_t run_id; /* part of the request keys, to distinguish runs */
    cbw_random_t random;
    FILE *journal;      /* NULL: none */
    uint64_t in_flight; /* requests of busy sessions */
} callers_t;

/* Initialises the lists of `callers`. Its settings, from `loop` to `run_id`,
 * must be set before. */
void Caller_Init(callers_t *callers);
/* Issues a request of `kind` that was to start at `intended_start`, relative
 * to the start of the run. The request waits while all sessions are busy. */
void Caller_SubmitRequest(callers_t *callers, load_kind_t *kind,
                          cbw_time_t intended_start);
/* Times out attempts without a reply and starts retries that are due. To be
 * called every few milliseconds. */
void Caller_Tick(callers_t *callers);

#endif
