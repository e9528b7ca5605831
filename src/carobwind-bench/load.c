#include "load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *const Load_WorkTypeString[] = {"write", "read", "readany",
                                           "transaction"};

static int
parse_work_type(const char *text, work_type_t *type)
{
    for (int i = WORK_WRITE; i <= WORK_TRANSACTION; i++) {
        if (strcmp(text, Load_WorkTypeString[i]) == 0) {
            *type = (work_type_t)i;
            return 0;
        }
    }
    return -1;
}

static int
parse_kind(load_t *load, const char *text, cbw_error_t *error)
{
    load_kind_t *kind = &load->kinds[load->kind_count];
    char type[16];

    if (load->kind_count == LOAD_KINDS_MAX) {
        return CbwError_Set(error, CBW_ERROR_INVALID,
                            "--mix has more than %d kinds", LOAD_KINDS_MAX);
    }
    memset(kind, 0, sizeof(*kind));
    if (sscanf(text, "%47[^:]:%15[^:]:%lf", kind->name, type, &kind->rate) !=
            3 ||
        parse_work_type(type, &kind->type) != 0 || kind->rate < 0) {
        return CbwError_Set(error, CBW_ERROR_INVALID,
                            "--mix: \"%s\" is not KIND:write|read|readany|"
                            "transaction:RATE",
                            text);
    }
    kind->timeline = calloc(LOAD_BUCKETS_MAX, sizeof(*kind->timeline));
    if (kind->timeline == NULL) {
        return CbwError_Set(error, CBW_ERROR_MEMORY, "out of memory");
    }
    load->kind_count++;
    return 0;
}

static int
parse_flood(load_t *load, const char *text, cbw_error_t *error)
{
    load_flood_t *flood = &load->floods[load->flood_count];

    if (load->flood_count == LOAD_FLOODS_MAX) {
        return CbwError_Set(error, CBW_ERROR_INVALID,
                            "--flood has more than %d floods",
                            LOAD_FLOODS_MAX);
    }
    if (sscanf(text, "%47[^:]:%lf:%lf:%lf", flood->kind, &flood->rate,
               &flood->start, &flood->duration) != 4) {
        return CbwError_Set(error, CBW_ERROR_INVALID,
                            "--flood: \"%s\" is not KIND:RATE:START:LENGTH",
                            text);
    }
    load->flood_count++;
    return 0;
}

/* Calls `parse_item` for each item of a comma-separated list. */
static int
parse_list(load_t *load, const char *text,
           int (*parse_item)(load_t *load, const char *item,
                             cbw_error_t *error),
           cbw_error_t *error)
{
    char item[128];

    while (*text != '\0') {
        size_t length = strcspn(text, ",");
        if (length >= sizeof(item)) {
            return CbwError_Set(error, CBW_ERROR_INVALID,
                                "the list item at \"%s\" is too long", text);
        }
        memcpy(item, text, length);
        item[length] = '\0';
        if (length > 0 && parse_item(load, item, error) != 0) {
            return -1;
        }
        text += length + (text[length] == ',');
    }
    return 0;
}

int
Load_ParseMix(load_t *load, const char *text, cbw_error_t *error)
{
    return parse_list(load, text, parse_kind, error);
}

int
Load_ParseFloods(load_t *load, const char *text, cbw_error_t *error)
{
    return parse_list(load, text, parse_flood, error);
}

double
Load_RateAt(const load_t *load, const load_kind_t *kind, double seconds)
{
    double rate = kind->rate;

    for (size_t i = 0; i < load->flood_count; i++) {
        const load_flood_t *flood = &load->floods[i];
        if (strcmp(flood->kind, kind->name) == 0 && seconds >= flood->start &&
            seconds < flood->start + flood->duration) {
            rate += flood->rate;
        }
    }
    return rate;
}

static void
record_gap(load_kind_t *kind, cbw_time_t finished)
{
    if (kind->last_done_at != 0 &&
        finished - kind->last_done_at > kind->gap_max) {
        kind->gap_max = finished - kind->last_done_at;
        kind->gap_max_start = kind->last_done_at;
    }
    kind->last_done_at = finished;
}

void
Load_Record(load_kind_t *kind, cbw_time_t intended, cbw_time_t finished,
            cbw_outcome_t outcome, bool measured)
{
    size_t index = (size_t)(finished / LOAD_BUCKET_DURATION);
    load_bucket_t *bucket =
        &kind->timeline[index < LOAD_BUCKETS_MAX ? index
                                                 : LOAD_BUCKETS_MAX - 1];

    if (outcome == CBW_OUTCOME_DONE) {
        bucket->done++;
        if (finished - intended > bucket->latency_max) {
            bucket->latency_max = finished - intended;
        }
    }
    else {
        bucket->failed++;
    }
    if (!measured) {
        return;
    }
    kind->finished++;
    kind->outcomes[outcome]++;
    if (outcome == CBW_OUTCOME_DONE) {
        CbwHistogram_Add(&kind->latency, finished - intended);
        record_gap(kind, finished);
    }
}
