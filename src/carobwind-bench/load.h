/* The load: kinds of work with their rates, floods, and what was measured of
 * each. */
#ifndef CAROBWIND_BENCH_LOAD_H
#define CAROBWIND_BENCH_LOAD_H

#include "carobwind/error.h"
#include "carobwind/histogram.h"
#include "carobwind/request.h"

#define LOAD_KINDS_MAX 8
#define LOAD_FLOODS_MAX 4
/* One sample of the timeline. */
#define LOAD_BUCKET_DURATION (100 * Cbw_MSEC)
#define LOAD_BUCKETS_MAX 6000

typedef enum {
    WORK_WRITE,
    WORK_READ,        /* with the session's token */
    WORK_READ_ANY,    /* without a token */
    WORK_TRANSACTION, /* two writes and a commit */
} work_type_t;

/* Names of the members of work_type_t, in their order. */
extern const char *const Load_WorkTypeString[];

typedef struct {
    uint32_t done;
    uint32_t failed;
    cbw_time_t latency_max; /* latency of what was done */
} load_bucket_t;

typedef struct {
    char name[Cbw_NAME_MAX];
    work_type_t type;
    double rate;         /* arrivals a second */
    double next_arrival; /* seconds from the start */

    uint64_t sent;
    uint64_t outcomes[CBW_OUTCOME_UNKNOWN + 1]; /* PENDING: no answer */
    cbw_histogram_t latency; /* of what was done, from the intended time */
    cbw_time_t last_done_at;
    cbw_time_t gap_max; /* longest time from one done to the next */
    cbw_time_t gap_max_start;
    load_bucket_t *timeline;
} load_kind_t;

/* More arrivals of a kind for a time. */
typedef struct {
    char kind[Cbw_NAME_MAX];
    double rate;
    double start; /* seconds */
    double duration;
} load_flood_t;

typedef struct {
    size_t kind_count;
    load_kind_t kinds[LOAD_KINDS_MAX];
    size_t flood_count;
    load_flood_t floods[LOAD_FLOODS_MAX];
} load_t;

/* Parses "KIND:TYPE:RATE,..." and "KIND:RATE:START:LENGTH,...". Returns 0, or
 * -1 with `error` set. */
int Load_ParseMix(load_t *load, const char *text, cbw_error_t *error);
int Load_ParseFloods(load_t *load, const char *text, cbw_error_t *error);
/* The rate of a kind at a time, floods included. */
double Load_RateAt(const load_t *load, const load_kind_t *kind,
                   double seconds);
/* Takes in one finished request. Times count from the start. */
void Load_Record(load_kind_t *kind, cbw_time_t intended, cbw_time_t finished,
                 cbw_outcome_t outcome, bool measured);

#endif
