/* The load generator: arrivals at a set rate, whatever the answers take. */

#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "caller.h"
#include "report.h"
#include "share/net.h"
#include "share/options.h"
#include "share/reaper.h"

#define TICK_SECONDS 0.001
#define PROGRESS_SECONDS 5
/* Longest wait for answers after the last arrival. */
#define LAST_ANSWERS (8 * Cbw_SEC)

static const char *entries = "127.0.0.1:7000";
static const char *databases = "billing-1";
static const char *mix = "payment:write:20,balance:read:80";
static const char *floods = "";
static const char *journal_path = "";
static const char *plot_path = "";
static const char *local_ip = "";
static const char *label = "bench";
static double seconds = 10;
static double warmup = 1;
static long sessions = 200;
static long attempts = 5;
static long patience_ms = 6000;
static long seed = 1;
static bool json;
static bool quiet;

static const cbw_option_t options[] = {
    {CBW_OPTION_STRING, "entries", "IP:PORT,...", "entry hosts", &entries, 0,
     0},
    {CBW_OPTION_STRING, "databases", "NAME,...", "databases to use",
     &databases, 0, 0},
    {CBW_OPTION_STRING, "mix", "KIND:TYPE:RATE,...",
     "kinds of work, write, read, readany or transaction, and arrivals a "
     "second",
     &mix, 0, 0},
    {CBW_OPTION_STRING, "flood", "KIND:RATE:START:LENGTH,...",
     "further arrivals for a time", &floods, 0, 0},
    {CBW_OPTION_STRING, "journal", "FILE", "writes a line for each request",
     &journal_path, 0, 0},
    {CBW_OPTION_STRING, "plot", "FILE", "writes an SVG", &plot_path, 0, 0},
    {CBW_OPTION_STRING, "local-ip", "IP", "address of the callers", &local_ip,
     0, 0},
    {CBW_OPTION_STRING, "label", "NAME", "part of the accounts' names", &label,
     0, 0},
    {CBW_OPTION_DOUBLE, "seconds", "S", "how long requests arrive", &seconds,
     0, 0},
    {CBW_OPTION_DOUBLE, "warmup", "S", "left out of the figures", &warmup, 0,
     0},
    {CBW_OPTION_INTEGER, "sessions", "N", "most sessions at once", &sessions,
     1, 20000},
    {CBW_OPTION_INTEGER, "attempts", "N", "tries under one key", &attempts, 1,
     1000},
    {CBW_OPTION_INTEGER, "patience-ms", "MS", "wait for one answer",
     &patience_ms, 1, 600000},
    {CBW_OPTION_INTEGER, "seed", "N", "of the arrivals", &seed, 0, 1000000000},
    {CBW_OPTION_FLAG, "json", NULL, "print JSON at the end", &json, 0, 0},
    {CBW_OPTION_FLAG, "quiet", NULL, "no progress", &quiet, 0, 0},
};

static const cbw_program_t program = {
    .program = "carobwind-bench",
    .summary = "Sends a mix of work through entry hosts and reports service "
               "by kind.",
    .options = options,
    .option_count = sizeof(options) / sizeof(options[0]),
};

static caller_pool_t pool;
static load_t load;
static double next_progress = PROGRESS_SECONDS;

/* Time to the next arrival of a Poisson process. */
static double
draw_interval(double rate)
{
    return -log(1.0 - CbwRandom_Unit(&pool.random)) / rate;
}

static void
arrive(load_kind_t *kind, double now)
{
    while (kind->next_arrival <= now) {
        double rate = Load_RateAt(&load, kind, kind->next_arrival);
        if (rate <= 0) {
            kind->next_arrival += 0.01;
            continue;
        }
        Caller_SubmitRequest(&pool, kind,
                             (cbw_time_t)(kind->next_arrival * Cbw_SEC));
        kind->next_arrival += draw_interval(rate);
    }
}

static void
print_progress(double now)
{
    if (quiet || now < next_progress) {
        return;
    }
    next_progress += PROGRESS_SECONDS;
    fprintf(stderr, "%.0f s:", now);
    for (size_t i = 0; i < load.kind_count; i++) {
        fprintf(stderr, " %s %llu done", load.kinds[i].name,
                (unsigned long long)load.kinds[i].outcomes[CBW_OUTCOME_DONE]);
    }
    fprintf(stderr, "\n");
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
    cbw_time_t elapsed = CbwNet_Now() - pool.start_time;
    double now = (double)elapsed / Cbw_SEC;

    (void)timer;
    (void)events;
    Caller_Tick(&pool);
    if (elapsed < pool.stop_time) {
        for (size_t i = 0; i < load.kind_count; i++) {
            arrive(&load.kinds[i], now);
        }
        print_progress(now);
        return;
    }
    if ((pool.in_flight == 0 && pool.backlog_count == 0) ||
        elapsed > pool.stop_time + LAST_ANSWERS) {
        ev_break(loop, EVBREAK_ALL);
    }
}

/* Splits a list at commas into rows of `size` bytes. */
static size_t
split(const char *text, char *rows, size_t size, size_t rows_max)
{
    size_t count = 0;

    while (*text != '\0' && count < rows_max) {
        size_t length = strcspn(text, ",");
        if (length > 0 && length < size) {
            memcpy(rows + count * size, text, length);
            rows[count * size + length] = '\0';
            count++;
        }
        text += length + (text[length] == ',');
    }
    return count;
}

static int
prepare(cbw_error_t *error)
{
    if (Load_ParseMix(&load, mix, error) != 0 ||
        Load_ParseFloods(&load, floods, error) != 0) {
        return -1;
    }
    pool.load = &load;
    pool.local_ip = local_ip;
    pool.label = label;
    pool.entry_count =
        split(entries, pool.entries[0], Cbw_ADDRESS_MAX, CALLER_ENTRIES_MAX);
    pool.database_count = split(databases, pool.databases[0], Cbw_NAME_MAX,
                                CALLER_DATABASES_MAX);
    if (pool.entry_count == 0 || pool.database_count == 0) {
        return CbwError_Set(error, CBW_ERROR_INVALID,
                            "entries and databases must not be empty");
    }
    pool.session_limit =
        ((size_t)sessions + pool.database_count - 1) / pool.database_count;
    pool.attempts_max = (int)attempts;
    pool.reply_timeout = patience_ms * Cbw_MSEC;
    pool.measure_start = (cbw_time_t)(warmup * Cbw_SEC);
    pool.stop_time = (cbw_time_t)(seconds * Cbw_SEC);
    CbwRandom_Init(&pool.random, (uint64_t)seed);
    if (journal_path[0] != '\0') {
        pool.journal = fopen(journal_path, "w");
        if (pool.journal == NULL) {
            return CbwError_Set(error, CBW_ERROR_IO, "cannot write %s",
                                journal_path);
        }
    }
    return 0;
}

static void
report(void)
{
    double measured = seconds - warmup;
    cbw_error_t error;

    if (json) {
        Report_PrintJson(&load, measured);
    }
    else {
        Report_PrintTable(&load, measured);
    }
    if (plot_path[0] != '\0' &&
        Report_Plot(&load, plot_path, seconds, &error) != 0) {
        fprintf(stderr, "%s\n", error.text);
    }
    if (pool.journal != NULL) {
        fclose(pool.journal);
    }
}

int
main(int argc, char **argv)
{
    struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
    const char *words[CbwOptions_ARGUMENTS_MAX];
    cbw_findings_t findings;
    cbw_error_t error = {0};
    ev_timer timer;

    CbwFindings_Init(&findings);
    if (CbwOptions_Parse(&program, argc, argv, words, &findings) < 0) {
        CbwFindings_Print(&findings, stderr);
        return EX_USAGE;
    }
    if (prepare(&error) != 0) {
        fprintf(stderr, "carobwind-bench: %s\n", error.text);
        return EX_USAGE;
    }
    signal(SIGPIPE, SIG_IGN);
    CbwReaper_Start(loop);
    pool.loop = loop;
    pool.start_time = CbwNet_Now();
    pool.run_id = (uint64_t)pool.start_time ^ ((uint64_t)seed << 48);
    Caller_Init(&pool);
    ev_timer_init(&timer, on_tick, TICK_SECONDS, TICK_SECONDS);
    ev_timer_start(loop, &timer);
    ev_run(loop, 0);
    report();
    return EX_OK;
}
