/* The load: kinds of work with their arrival rates, floods, and the results by
 * kind. */
#ifndef CAROBWIND_BENCH_LOAD_H
#define CAROBWIND_BENCH_LOAD_H

#include "carobwind/error.h"
#include "carobwind/histogram.h"
#include "carobwind/request.h"

#define LOAD_KINDS_MAX 8
#define LOAD_FLOODS_MAX 4
/* Length of a bucket of the timeline. */
#define LOAD_BUCKET_DURATION (100 * Cbw_MSEC)
/* Number of buckets of the timeline. Later requests count in the last one. */
#define LOAD_BUCKETS_MAX 6000

typedef enum {
    WORK_WRITE,
    WORK_READ,        /* with the session's token */
    WORK_READ_ANY,    /* without a token */
    WORK_TRANSACTION, /* two writes and a commit */
} work_type_t;

/* Name of each work_type_t, indexed by value. */
extern const char *const Load_WorkTypeString[];

/* The requests that finished in one bucket of the timeline. */
typedef struct {
    uint32_t done;
    uint32_t failed;
    cbw_time_t latency_max; /* of the requests that were done */
} load_bucket_t;

/* A kind of work and its results. `finished` to `gap_max_start` cover the
 * requests whose intended start was after the warm-up. */
typedef struct {
    char name[Cbw_NAME_MAX];
    work_type_t type;
    double rate;         /* arrivals per second, without floods */
    double next_arrival; /* seconds from the start */

    uint64_t finished; /* whatever the outcome; "sent" in the report */
    /* The finished requests by outcome; CBW_OUTCOME_PENDING: no reply. */
    uint64_t outcomes[CBW_OUTCOME_UNKNOWN + 1];
    cbw_histogram_t latency; /* of done requests, from the intended start */
    cbw_time_t last_done_at;
    cbw_time_t gap_max; /* longest time without a done request */
    cbw_time_t gap_max_start;
    load_bucket_t *timeline;
} load_kind_t;

/* Additional arrivals of a kind for a limited time. */
typedef struct {
    char kind[Cbw_NAME_MAX];
    double rate;     /* arrivals per second */
    double start;    /* seconds from the start of the run */
    double duration; /* seconds */
} load_flood_t;

typedef struct {
    size_t kind_count;
    load_kind_t kinds[LOAD_KINDS_MAX];
    size_t flood_count;
    load_flood_t floods[LOAD_FLOODS_MAX];
} load_t;

/* Parses "KIND:TYPE:RATE,..." and adds the kinds. Returns 0, or -1 with
 * `error` set. */
int Load_ParseMix(load_t *load, const char *text, cbw_error_t *error);
/* Parses "KIND:RATE:START:LENGTH,..." and adds the floods. Returns 0, or -1
 * with `error` set. */
int Load_ParseFloods(load_t *load, const char *text, cbw_error_t *error);
/* Returns the arrivals per second of a kind at `seconds` from the start of the
 * run, including floods. */
double Load_RateAt(const load_t *load, const load_kind_t *kind,
                   double seconds);
/* Records a finished request. The times are relative to the start of the run.
 * Unless `measured`, the request is recorded in the timeline only. */
void Load_Record(load_kind_t *kind, cbw_time_t intended_start,
                 cbw_time_t finished, cbw_outcome_t outcome, bool measured);

#endif
