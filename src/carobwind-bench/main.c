/* The load generator. Its load is open-loop: requests arrive at a set rate,
 * however long the replies take. */

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
/* Timeout for the remaining replies after the end of the arrivals. */
#define FINAL_REPLY_TIMEOUT (8 * Cbw_SEC)

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
static long reply_timeout_ms = 6000; /* for each attempt: --patience-ms */
static long seed = 1;
static bool json;
static bool quiet;

static const cbw_option_t options[] = {
    {CBW_OPTION_STRING, "entries", "IP:PORT,...",
     "entry hosts to send requests to", &entries, 0, 0},
    {CBW_OPTION_STRING, "databases", "NAME,...", "databases to use",
     &databases, 0, 0},
    {CBW_OPTION_STRING, "mix", "KIND:TYPE:RATE,...",
     "kinds of work with type and rate", &mix, 0, 0},
    {CBW_OPTION_STRING, "flood", "KIND:RATE:START:LENGTH,...",
     "additional load of a kind for some time", &floods, 0, 0},
    {CBW_OPTION_STRING, "journal", "FILE",
     "write a line for each request to this file", &journal_path, 0, 0},
    {CBW_OPTION_STRING, "plot", "FILE", "write a plot to this SVG file",
     &plot_path, 0, 0},
    {CBW_OPTION_STRING, "local-ip", "IP", "source address of the callers",
     &local_ip, 0, 0},
    {CBW_OPTION_STRING, "label", "NAME",
     "part of the value names; tells runs apart", &label, 0, 0},
    {CBW_OPTION_DOUBLE, "seconds", "S", "length of the run", &seconds, 0, 0},
    {CBW_OPTION_DOUBLE, "warmup", "S", "start of the run that is not measured",
     &warmup, 0, 0},
    {CBW_OPTION_INTEGER, "sessions", "N", "most sessions, over all databases",
     &sessions, 1, 20000},
    {CBW_OPTION_INTEGER, "attempts", "N", "most attempts for a request",
     &attempts, 1, 1000},
    {CBW_OPTION_INTEGER, "patience-ms", "MS", "timeout of one attempt",
     &reply_timeout_ms, 1, 600000},
    {CBW_OPTION_INTEGER, "seed", "N", "seed of the random choices", &seed, 0,
     1000000000},
    {CBW_OPTION_FLAG, "json", NULL, "print JSON at the end", &json, 0, 0},
    {CBW_OPTION_FLAG, "quiet", NULL, "do not print the progress", &quiet, 0,
     0},
};

static const cbw_program_t program = {
    .program = "carobwind-bench",
    .summary =
        "Sends a mix of kinds of work to entry hosts at a set rate, and "
        "reports the\n"
        "latency and the outcomes of each kind.\n"
        "\n"
        "TYPE is write, read (with the session's token), readany (without a "
        "token) or\n"
        "transaction (two writes and a commit). RATE is in requests per "
        "second, START\n"
        "and LENGTH are in seconds.",
    .options = options,
    .option_count = sizeof(options) / sizeof(options[0]),
};

static callers_t callers;
static load_t load;
static double next_progress = PROGRESS_SECONDS;

/* Draws the time to the next arrival of a Poisson process, in seconds. */
static double
draw_interval(double rate)
{
    return -log(1.0 - CbwRandom_Unit(&callers.random)) / rate;
}

/* Issues the requests of a kind that are due by `now` (seconds). */
static void
generate_arrivals(load_kind_t *kind, double now)
{
    while (kind->next_arrival <= now) {
        double rate = Load_RateAt(&load, kind, kind->next_arrival);
        if (rate <= 0) {
            /* A flood may start later: checks again after 10 ms. */
            kind->next_arrival += 0.01;
            continue;
        }
        Caller_SubmitRequest(&callers, kind,
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
    cbw_time_t elapsed = CbwNet_Now() - callers.start_time;
    double now = (double)elapsed / Cbw_SEC;

    (void)timer;
    (void)events;
    Caller_Tick(&callers);
    if (elapsed < callers.stop_time) {
        for (size_t i = 0; i < load.kind_count; i++) {
            generate_arrivals(&load.kinds[i], now);
        }
        print_progress(now);
        return;
    }
    if ((callers.in_flight == 0 && callers.backlog_count == 0) ||
        elapsed > callers.stop_time + FINAL_REPLY_TIMEOUT) {
        ev_break(loop, EVBREAK_ALL);
    }
}

/* Splits a comma-separated list into an array of items of `size` bytes each.
 * Empty and overlong items are skipped. Returns the number of items. */
static size_t
split(const char *text, char *items, size_t size, size_t items_max)
{
    size_t count = 0;

    while (*text != '\0' && count < items_max) {
        size_t length = strcspn(text, ",");
        if (length > 0 && length < size) {
            memcpy(items + count * size, text, length);
            items[count * size + length] = '\0';
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
    callers.load = &load;
    callers.local_ip = local_ip;
    callers.label = label;
    callers.entry_count = split(entries, callers.entries[0], Cbw_ADDRESS_MAX,
                                CALLER_ENTRIES_MAX);
    callers.database_count = split(databases, callers.databases[0],
                                   Cbw_NAME_MAX, CALLER_DATABASES_MAX);
    if (callers.entry_count == 0 || callers.database_count == 0) {
        return CbwError_Set(error, CBW_ERROR_INVALID,
                            "--entries and --databases each need at least one "
                            "item");
    }
    callers.session_limit = ((size_t)sessions + callers.database_count - 1) /
                            callers.database_count;
    callers.attempts_max = (int)attempts;
    callers.reply_timeout = reply_timeout_ms * Cbw_MSEC;
    callers.measure_start = (cbw_time_t)(warmup * Cbw_SEC);
    callers.stop_time = (cbw_time_t)(seconds * Cbw_SEC);
    CbwRandom_Init(&callers.random, (uint64_t)seed);
    if (journal_path[0] != '\0') {
        callers.journal = fopen(journal_path, "w");
        if (callers.journal == NULL) {
            return CbwError_Set(error, CBW_ERROR_IO,
                                "cannot write the journal %s", journal_path);
        }
    }
    return 0;
}

static void
print_report(void)
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
    if (callers.journal != NULL) {
        fclose(callers.journal);
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
    callers.loop = loop;
    callers.start_time = CbwNet_Now();
    callers.run_id = (uint64_t)callers.start_time ^ ((uint64_t)seed << 48);
    Caller_Init(&callers);
    ev_timer_init(&timer, on_tick, TICK_SECONDS, TICK_SECONDS);
    ev_timer_start(loop, &timer);
    ev_run(loop, 0);
    print_report();
    return EX_OK;
}
