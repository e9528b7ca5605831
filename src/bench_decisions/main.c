/* The decision benchmark: the kernel alone, in virtual time, with a seed. The
 * figures are the same in each run. Each measure stands beside its baseline
 * and its bound; the exit code tells whether all bounds are kept. */

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "carobwind/admission.h"
#include "carobwind/histogram.h"
#include "size.h"
#include "test_libcarobwind/fake_group.h"

#define RANKS 3
#define SESSIONS 200
#define POSITIONS_MAX 400000

/* Arrivals of one kind. */
typedef struct {
    const char *kind;
    int rank;
    double rate; /* a second */
    bool with_token;
    double next;
} source_t;

typedef struct {
    fake_group_t group;
    cbw_random_t random;
    source_t sources[4];
    int source_count;
    cbw_time_t measure_from;
    char tokens[SESSIONS][Cbw_TOKEN_MAX];
    cbw_admission_t admission;
    cbw_histogram_t latency[RANKS];
    uint64_t done[RANKS];
    uint64_t refused[RANKS];
    cbw_time_t last_done[RANKS];
    cbw_time_t gap[RANKS];
    cbw_time_t *written_at; /* of each position at the primary */
    guint written;
    uint64_t reads;
    uint64_t best_reads; /* that some replica could have served */
    uint64_t keys;
} run_t;

static run_t run;
static int failures;
static bool quiet;

static void
report(const char *measure, double value, const char *unit, const char *what,
       double bound, bool at_most)
{
    bool ok = at_most ? value <= bound : value >= bound;

    failures += !ok;
    printf("%-46s %10.3f %-6s %s %8.3f  %-4s %s\n", measure, value, unit,
           at_most ? "<=" : ">=", bound, ok ? "ok" : "MISS", what);
}

static void
report_baseline(const char *measure, double value, const char *unit)
{
    if (!quiet) {
        printf("%-46s %10.3f %-6s\n", measure, value, unit);
    }
}

/* What a reader that knows every position could do. */

static void
note_written(void)
{
    const GArray *log = run.group.endpoints[0].log;

    while (run.written < log->len && run.written < POSITIONS_MAX) {
        run.written_at[run.written++] = run.group.now;
    }
}

static bool
replica_could_serve(const char *token_text, cbw_time_t age)
{
    guint needed = 0;
    cbw_token_t token;

    if (token_text[0] != '\0' && CbwToken_Parse(&token, token_text) == 0) {
        needed = (guint)token.position;
    }
    if (age != Cbw_NEVER) {
        guint old = run.written;
        while (old > 0 && run.written_at[old - 1] > run.group.now - age) {
            old--;
        }
        needed = MAX(needed, old);
    }
    for (int i = 1; i < FAKE_ENDPOINTS; i++) {
        if (run.group.endpoints[i].log->len >= needed) {
            return true;
        }
    }
    return false;
}

/* Answers. */

static int
rank_of(const cbw_request_t *request)
{
    return CbwInventory_FindKind(&run.group.inventory, request->kind_name)
        ->rank;
}

static void
on_answer(fake_group_t *group, const cbw_request_t *request)
{
    int rank = rank_of(request);
    int session = atoi(request->trace);
    int shares[RANKS];

    for (int i = 0; i < RANKS; i++) {
        shares[i] = CbwOwner_Admission(&group->owner, i);
    }
    CbwAdmission_Update(&run.admission, group->now, shares, RANKS);
    if (request->answer.outcome != CBW_OUTCOME_DONE) {
        run.refused[rank] += request->arrived_at >= run.measure_from;
        return;
    }
    g_strlcpy(run.tokens[session], request->answer.token, Cbw_TOKEN_MAX);
    if (request->arrived_at < run.measure_from) {
        return;
    }
    run.done[rank]++;
    CbwHistogram_Add(&run.latency[rank], group->now - request->arrived_at);
    if (run.last_done[rank] != 0) {
        run.gap[rank] = MAX(run.gap[rank], group->now - run.last_done[rank]);
    }
    run.last_done[rank] = group->now;
}

/* Arrivals. */

static void
submit(const source_t *source)
{
    int session = (int)CbwRandom_Below(&run.random, SESSIONS);
    const cbw_kind_t *kind =
        CbwInventory_FindKind(&run.group.inventory, source->kind);
    const char *token = source->with_token ? run.tokens[session] : "";
    char key[Cbw_KEY_MAX] = "";
    char trace[Cbw_TRACE_MAX];

    if (!CbwAdmission_Admit(&run.admission, run.group.now, kind->rank)) {
        run.refused[kind->rank] += run.group.now >= run.measure_from;
        return;
    }
    if (kind->writes) {
        g_snprintf(key, sizeof(key), "k%" G_GUINT64_FORMAT, ++run.keys);
    }
    else if (run.group.now >= run.measure_from) {
        run.reads++;
        run.best_reads += replica_could_serve(token, kind->age);
    }
    g_snprintf(trace, sizeof(trace), "%d", session);
    FakeGroup_SubmitTraced(&run.group, CBW_VERB_STATEMENT, source->kind, key,
                           token, 0, trace);
}

static source_t *
next_source(void)
{
    source_t *best = &run.sources[0];

    for (int i = 1; i < run.source_count; i++) {
        if (run.sources[i].next < best->next) {
            best = &run.sources[i];
        }
    }
    return best;
}

static void
run_until(cbw_time_t end)
{
    while (true) {
        source_t *source = next_source();
        cbw_time_t at = (cbw_time_t)(source->next * Cbw_SEC);
        if (at >= end) {
            break;
        }
        FakeGroup_Run(&run.group, at);
        note_written();
        submit(source);
        source->next += -log(1.0 - CbwRandom_Unit(&run.random)) / source->rate;
    }
    FakeGroup_Run(&run.group, end);
}

static void
begin(const fake_settings_t *settings, const source_t *sources, int count)
{
    g_free(run.written_at);
    memset(&run, 0, sizeof(run));
    run.written_at = g_new0(cbw_time_t, POSITIONS_MAX);
    CbwRandom_Init(&run.random, settings->seed);
    FakeGroup_Init(&run.group, settings);
    run.group.on_answer = on_answer;
    run.source_count = count;
    memcpy(run.sources, sources, (size_t)count * sizeof(*sources));
    for (int i = 0; i < count; i++) {
        run.sources[i].next = (double)run.group.now / Cbw_SEC;
    }
    run.measure_from = run.group.now + 2 * Cbw_SEC;
}

static double
p99_ms(int rank)
{
    return (double)CbwHistogram_Percentile(&run.latency[rank], 99) / Cbw_MSEC;
}

/* Measures. */

static void
measure_replica_share(void)
{
    static const struct {
        const char *name;
        cbw_time_t lag;
    } lags[] = {{"0 s", 0},
                {"0.1 s", 100 * Cbw_MSEC},
                {"1 s", 1 * Cbw_SEC},
                {"10 s", 10 * Cbw_SEC}};
    static const struct {
        const char *name;
        source_t reads;
    } reads[] = {
        {"own writes", {.kind = "account", .rate = 300, .with_token = true}},
        {"age 2 s", {.kind = "balance", .rate = 300}},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(reads); i++) {
        for (size_t j = 0; j < G_N_ELEMENTS(lags); j++) {
            fake_settings_t settings = FakeGroup_Defaults;
            source_t sources[] = {{.kind = "quick", .rate = 60},
                                  reads[i].reads};
            uint64_t served;
            char name[64];
            settings.replication_lag = lags[j].lag;
            begin(&settings, sources, 2);
            run_until(run.measure_from);
            served = run.group.counters.values[CBW_COUNTER_READS_REPLICA];
            run_until(run.measure_from + 30 * Cbw_SEC);
            served =
                run.group.counters.values[CBW_COUNTER_READS_REPLICA] - served;
            g_snprintf(name, sizeof(name), "replica share, %s, lag %s",
                       reads[i].name, lags[j].name);
            report_baseline(name, (double)served / (double)run.reads, "");
            if (run.best_reads * 100 < run.reads) {
                FakeGroup_Finish(&run.group);
                continue; /* no replica could serve */
            }
            g_snprintf(name, sizeof(name), "  of the best possible");
            report(name,
                   run.best_reads == 0
                       ? 1
                       : (double)served / (double)run.best_reads,
                   "", "a reader that knows every position; naive: 0", 0.9,
                   false);
            FakeGroup_Finish(&run.group);
        }
    }
}

static const source_t usual[] = {
    {.kind = "payment", .rate = 50},
    {.kind = "reading", .rate = 80},
    {.kind = "balance", .rate = 200},
};

/* Service of all ranks with some sources multiplied. Three endpoints of three
 * slots and 5 ms serve 1800 statements a second, of which 600 writes. */
static void
run_flood(const char *policy, double urgent, double lookups,
          cbw_time_t fail_at)
{
    fake_settings_t settings = FakeGroup_Defaults;
    source_t sources[3];

    memcpy(sources, usual, sizeof(usual));
    settings.queue_policy = policy;
    settings.network_delay = 1500;
    sources[0].rate = urgent;
    sources[2].rate = lookups;
    begin(&settings, sources, 3);
    if (fail_at > 0) {
        run_until(run.group.now + fail_at);
        run.group.endpoints[0].down = true;
    }
    run_until(run.measure_from + 10 * Cbw_SEC);
    FakeGroup_Finish(&run.group);
}

static void
measure_floods(void)
{
    double unloaded;
    double total;

    run_flood("ranked", 50, 200, 0);
    unloaded = p99_ms(0);
    report_baseline("urgent p99, unloaded", unloaded, "ms");

    run_flood("fifo", 50, 9000, 0);
    report_baseline("urgent p99, lookups x5, first come", p99_ms(0), "ms");
    run_flood("ranked", 50, 9000, 0);
    report("urgent p99, lookups x5, over unloaded", p99_ms(0) / unloaded, "x",
           "aim of the issue", 1.5, true);
    total = (double)(run.done[0] + run.done[1] + run.done[2]) / 10;
    report("goodput, lookups x5, of capacity", total / 1800, "",
           "aim of the issue", 0.95, false);

    run_flood("ranked", 3000, 200, 0);
    report("standard kept, urgent x5, of its floor's share",
           (double)run.done[1] / 10 / MIN(80, 0.2 * 600), "",
           "floor 20% of 600 writes/s, asks for 80", 0.95, false);
    report("lookups kept, urgent x5, of what is asked",
           (double)run.done[2] / 10 / 200, "", "replicas are free", 0.95,
           false);
    report("urgent goodput, urgent x5, of the primary",
           (double)run.done[0] / 10 / (600 - 80), "", "aim of the issue", 0.95,
           false);
    run_flood("fifo", 3000, 200, 0);
    report_baseline("standard kept, urgent x5, first come",
                    (double)run.done[1] / 10 / 80, "");

    run_flood("ranked", 50, 9000, 6 * Cbw_SEC);
    report("urgent gap, failover in a flood of lookups",
           (double)run.gap[0] / Cbw_MSEC, "ms", "aim 1 s (bound 19 s)", 1000,
           true);
}

static void
measure_failover(void)
{
    static const struct {
        const char *name;
        cbw_time_t lag;
    } cases[] = {{"lag 1 ms", 1 * Cbw_MSEC}, {"lag 0.5 s", 500 * Cbw_MSEC}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        fake_settings_t settings = FakeGroup_Defaults;
        char name[64];
        settings.replication_lag = cases[i].lag;
        begin(&settings, usual, 3);
        run_until(run.group.now + 6 * Cbw_SEC);
        run.group.endpoints[0].down = true;
        run_until(run.group.now + 8 * Cbw_SEC);
        g_snprintf(name, sizeof(name), "urgent gap, primary silent, %s",
                   cases[i].name);
        /* Payments wait for a majority's position, so for the lag. */
        report(name, (double)(run.gap[0] - cases[i].lag) / Cbw_MSEC, "ms",
               "aim 1 s past the lag (bound 19 s)", 1000, true);
        g_snprintf(name, sizeof(name), "lookup gap, primary silent, %s",
                   cases[i].name);
        report(name, (double)run.gap[2] / Cbw_MSEC, "ms", "replicas go on",
               1000, true);
        FakeGroup_Finish(&run.group);
    }
}

static double
run_limit(const char *policy, int real_slots)
{
    fake_settings_t settings = FakeGroup_Defaults;
    source_t sources[] = {{.kind = "account", .rate = 20000}};

    settings.limit_policy = policy;
    settings.slots = real_slots;
    settings.network_delay = 1500;
    begin(&settings, sources, 1);
    run.measure_from += 8 * Cbw_SEC;
    run_until(run.measure_from + 10 * Cbw_SEC);
    FakeGroup_Finish(&run.group);
    return (double)run.done[2] / 10 / (3.0 * real_slots * 200);
}

static void
measure_limits(void)
{
    static const int real[] = {1, 3, 12};

    for (size_t i = 0; i < G_N_ELEMENTS(real); i++) {
        char name[64];
        g_snprintf(name, sizeof(name),
                   "goodput, sheet says 3 slots, real %d, fixed", real[i]);
        report_baseline(name, run_limit("fixed", real[i]), "");
        g_snprintf(name, sizeof(name), "goodput, sheet says 3 slots, real %d",
                   real[i]);
        report(name, run_limit("adaptive", real[i]), "",
               "aim of the issue, of capacity", 0.95, false);
        g_snprintf(name, sizeof(name), "  p99 of what is done");
        report_baseline(name, p99_ms(2), "ms");
    }
}

static void
measure_confirm(void)
{
    static const char *const kinds[] = {"bare", "quick", "payment"};
    static const char *const levels[] = {"none", "term", "position"};

    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        fake_settings_t settings = FakeGroup_Defaults;
        source_t sources[] = {{.kind = kinds[i], .rate = 50}};
        char name[64];
        settings.network_delay = 1500;
        begin(&settings, sources, 1);
        run_until(run.measure_from + 10 * Cbw_SEC);
        g_snprintf(name, sizeof(name), "write p50, confirm = %s", levels[i]);
        report_baseline(name,
                        (double)CbwHistogram_Percentile(&run.latency[0], 50) /
                            Cbw_MSEC,
                        "ms");
        FakeGroup_Finish(&run.group);
    }
}

/* A fixed load, whose instructions are counted from outside. */
static void
run_steadily(void)
{
    fake_settings_t settings = FakeGroup_Defaults;

    begin(&settings, usual, 3);
    run_until(run.measure_from + 4 * Cbw_SEC);
    printf("requests %" G_GUINT64_FORMAT "\n", run.group.request_count);
    FakeGroup_Finish(&run.group);
}

int
main(int argc, char **argv)
{
    if (argc > 1 && strcmp(argv[1], "steady") == 0) {
        run_steadily();
        return 0;
    }
    if (argc > 1 && strcmp(argv[1], "size") == 0) {
        Size_Report();
        return 0;
    }
    quiet = argc > 1 && strcmp(argv[1], "--quiet") == 0;
    measure_replica_share();
    measure_floods();
    measure_failover();
    measure_limits();
    measure_confirm();
    g_free(run.written_at);
    printf("%d bounds missed\n", failures);
    return failures > 0;
}
