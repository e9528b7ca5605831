/* The decision benchmark. It runs only the kernel (libcarobwind), in virtual
 * time and with a fixed seed, so that all runs give the same results. It
 * prints each measure with its bound, and baselines for comparison. The exit
 * status is 0 when all bounds are met.
 *
 *     bench_decisions [--quiet]   --quiet leaves out the baselines
 *     bench_decisions steady      runs a fixed load (bench/instructions.tcl)
 *     bench_decisions size        time and memory at the target size */

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
/* Maximum number of log positions whose write time is recorded. */
#define POSITIONS_MAX 400000

/* A Poisson process of requests of one kind. */
typedef struct {
    const char *kind;
    int rank;
    double rate;     /* arrivals per second */
    bool with_token; /* sends the session's token */
    double next_at;  /* time of the next arrival, in seconds */
} source_t;

/* State of one run. Arrays of RANKS are indexed by rank. */
typedef struct {
    fake_group_t group;
    cbw_random_t random;
    source_t sources[4];
    int source_count;
    cbw_time_t measure_from; /* requests that arrive earlier do not count */
    char tokens[SESSIONS][Cbw_TOKEN_MAX];
    cbw_admission_t admission; /* of the entry host */
    cbw_histogram_t latency[RANKS];
    uint64_t done[RANKS];
    uint64_t refused[RANKS];
    cbw_time_t last_done_at[RANKS];
    cbw_time_t longest_gap[RANKS]; /* without a request being done */
    cbw_time_t *written_at;        /* when each position was first seen */
    guint written_count;
    uint64_t reads;
    uint64_t replica_reads_possible; /* reads that a replica could serve */
    uint64_t key_count;
} run_t;

static run_t run;
static int bounds_missed;
static bool quiet; /* do not print the baselines */

/* Prints a measure and whether it meets its bound, a maximum if `at_most` is
 * set and a minimum otherwise. */
static void
report(const char *measure, double value, const char *unit, const char *note,
       double bound, bool at_most)
{
    bool ok = at_most ? value <= bound : value >= bound;

    bounds_missed += !ok;
    printf("%-46s %10.3f %-6s %s %8.3f  %-4s %s\n", measure, value, unit,
           at_most ? "<=" : ">=", bound, ok ? "ok" : "MISS", note);
}

static void
report_baseline(const char *measure, double value, const char *unit)
{
    if (!quiet) {
        printf("%-46s %10.3f %-6s\n", measure, value, unit);
    }
}

/* The optimum with which the routing of reads is compared: the reads that some
 * replica could serve on arrival, according to the replicas' logs. A router
 * that does not know the positions would send none of them to a replica. */

/* Sets the write time of the positions that endpoint 0 has added. */
static void
record_writes(void)
{
    const GArray *log = run.group.endpoints[0].log;

    while (run.written_count < log->len && run.written_count < POSITIONS_MAX) {
        run.written_at[run.written_count++] = run.group.now;
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
        /* A replica needs every write that is at least `age` old. */
        guint aged = run.written_count;
        while (aged > 0 && run.written_at[aged - 1] > run.group.now - age) {
            aged--;
        }
        needed = MAX(needed, aged);
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
find_rank(const cbw_request_t *request)
{
    return CbwInventory_FindKind(&run.group.inventory, request->kind_name)
        ->rank;
}

static void
on_answer(fake_group_t *group, const cbw_request_t *request)
{
    int rank = find_rank(request);
    int session = atoi(request->trace); /* written by submit() */
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
    if (run.last_done_at[rank] != 0) {
        run.longest_gap[rank] =
            MAX(run.longest_gap[rank], group->now - run.last_done_at[rank]);
    }
    run.last_done_at[rank] = group->now;
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
        g_snprintf(key, sizeof(key), "k%" G_GUINT64_FORMAT, ++run.key_count);
    }
    else if (run.group.now >= run.measure_from) {
        run.reads++;
        run.replica_reads_possible += replica_could_serve(token, kind->age);
    }
    g_snprintf(trace, sizeof(trace), "%d", session);
    FakeGroup_SubmitTraced(&run.group, CBW_VERB_STATEMENT, source->kind, key,
                           token, 0, trace);
}

static source_t *
find_next_source(void)
{
    source_t *best = &run.sources[0];

    for (int i = 1; i < run.source_count; i++) {
        if (run.sources[i].next_at < best->next_at) {
            best = &run.sources[i];
        }
    }
    return best;
}

static void
run_until(cbw_time_t end)
{
    while (true) {
        source_t *source = find_next_source();
        cbw_time_t at = (cbw_time_t)(source->next_at * Cbw_SEC);
        if (at >= end) {
            break;
        }
        FakeGroup_Run(&run.group, at);
        record_writes();
        submit(source);
        source->next_at +=
            -log(1.0 - CbwRandom_Unit(&run.random)) / source->rate;
    }
    FakeGroup_Run(&run.group, end);
}

static void
start_run(const fake_settings_t *settings, const source_t *sources, int count)
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
        run.sources[i].next_at = (double)run.group.now / Cbw_SEC;
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
        cbw_time_t replication_lag;
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
            settings.replication_lag = lags[j].replication_lag;
            start_run(&settings, sources, 2);
            run_until(run.measure_from);
            served = run.group.counters.values[CBW_COUNTER_READS_REPLICA];
            run_until(run.measure_from + 30 * Cbw_SEC);
            served =
                run.group.counters.values[CBW_COUNTER_READS_REPLICA] - served;
            g_snprintf(name, sizeof(name), "replica share, %s, lag %s",
                       reads[i].name, lags[j].name);
            report_baseline(name, (double)served / (double)run.reads, "");
            if (run.replica_reads_possible * 100 < run.reads) {
                FakeGroup_Finish(&run.group);
                continue; /* replicas could serve less than 1 % of the reads */
            }
            g_snprintf(name, sizeof(name), "  of the optimum");
            report(name,
                   run.replica_reads_possible == 0
                       ? 1
                       : (double)served / (double)run.replica_reads_possible,
                   "", "optimum: every replica's position known", 0.9, false);
            FakeGroup_Finish(&run.group);
        }
    }
}

static const source_t normal_load[] = {
    {.kind = "payment", .rate = 50},
    {.kind = "reading", .rate = 80},
    {.kind = "balance", .rate = 200},
};

/* Runs the normal load with other rates of payments and lookups; the primary
 * fails after `fail_after` unless that is 0. The capacity is 1800 statements a
 * second, from three endpoints with three slots and 5 ms per statement each;
 * 600 of them can be writes. Five times the capacity ("x5") is 9000 lookups or
 * 3000 writes a second. Of the writes, rank "standard" has a floor of 20 % and
 * is offered 80 a second. */
static void
run_overload(const char *queue_policy, double urgent_rate, double lookup_rate,
             cbw_time_t fail_after)
{
    fake_settings_t settings = FakeGroup_Defaults;
    source_t sources[3];

    memcpy(sources, normal_load, sizeof(normal_load));
    settings.queue_policy = queue_policy;
    settings.network_delay = 1500;
    sources[0].rate = urgent_rate;
    sources[2].rate = lookup_rate;
    start_run(&settings, sources, 3);
    if (fail_after > 0) {
        run_until(run.group.now + fail_after);
        run.group.endpoints[0].down = true;
    }
    run_until(run.measure_from + 10 * Cbw_SEC);
    FakeGroup_Finish(&run.group);
}

static void
measure_overload(void)
{
    double unloaded;
    double total;

    run_overload("ranked", 50, 200, 0);
    unloaded = p99_ms(0);
    report_baseline("urgent p99, unloaded", unloaded, "ms");

    run_overload("fifo", 50, 9000, 0);
    report_baseline("urgent p99, lookups x5, fifo", p99_ms(0), "ms");
    run_overload("ranked", 50, 9000, 0);
    report("urgent p99, lookups x5, over unloaded", p99_ms(0) / unloaded, "x",
           "target", 1.5, true);
    total = (double)(run.done[0] + run.done[1] + run.done[2]) / 10;
    report("goodput, lookups x5, of capacity", total / 1800, "", "target",
           0.95, false);

    run_overload("ranked", 3000, 200, 0);
    report("standard goodput, urgent x5, of its floor",
           (double)run.done[1] / 10 / MIN(80, 0.2 * 600), "",
           "floor 20% of 600 writes/s, offered 80", 0.95, false);
    report("lookup goodput, urgent x5, of offered load",
           (double)run.done[2] / 10 / 200, "", "replicas have capacity", 0.95,
           false);
    report("urgent goodput, urgent x5, of the primary",
           (double)run.done[0] / 10 / (600 - 80), "", "target", 0.95, false);
    run_overload("fifo", 3000, 200, 0);
    report_baseline("standard goodput, urgent x5, fifo",
                    (double)run.done[1] / 10 / 80, "");

    run_overload("ranked", 50, 9000, 6 * Cbw_SEC);
    report("urgent gap, failover with lookups x5",
           (double)run.longest_gap[0] / Cbw_MSEC, "ms",
           "the users' target is 19 s", 1000, true);
}

static void
measure_failover(void)
{
    static const struct {
        const char *name;
        cbw_time_t replication_lag;
    } cases[] = {{"lag 1 ms", 1 * Cbw_MSEC}, {"lag 0.5 s", 500 * Cbw_MSEC}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        fake_settings_t settings = FakeGroup_Defaults;
        char name[64];
        settings.replication_lag = cases[i].replication_lag;
        start_run(&settings, normal_load, 3);
        run_until(run.group.now + 6 * Cbw_SEC);
        run.group.endpoints[0].down = true;
        run_until(run.group.now + 8 * Cbw_SEC);
        g_snprintf(name, sizeof(name), "urgent gap, primary down, %s",
                   cases[i].name);
        /* Payments wait until a majority holds their position, so their gap
         * includes the lag. */
        report(name,
               (double)(run.longest_gap[0] - cases[i].replication_lag) /
                   Cbw_MSEC,
               "ms", "past the lag; the users' target is 19 s", 1000, true);
        g_snprintf(name, sizeof(name), "lookup gap, primary down, %s",
                   cases[i].name);
        report(name, (double)run.longest_gap[2] / Cbw_MSEC, "ms",
               "replicas keep serving", 1000, true);
        FakeGroup_Finish(&run.group);
    }
}

/* Runs an overload of lookups against endpoints with `real_slots` slots, where
 * the inventory declares 3. Returns the goodput as a share of the capacity. */
static double
run_limit(const char *limit_policy, int real_slots)
{
    fake_settings_t settings = FakeGroup_Defaults;
    source_t sources[] = {{.kind = "account", .rate = 20000}};

    settings.limit_policy = limit_policy;
    settings.slots = real_slots;
    settings.network_delay = 1500;
    start_run(&settings, sources, 1);
    run.measure_from += 8 * Cbw_SEC; /* time for the limit to adapt */
    run_until(run.measure_from + 10 * Cbw_SEC);
    FakeGroup_Finish(&run.group);
    /* 10 s; three endpoints, 200 statements a second in each slot. */
    return (double)run.done[2] / 10 / (3.0 * real_slots * 200);
}

static void
measure_limits(void)
{
    static const int real_slots[] = {1, 3, 12};

    for (size_t i = 0; i < G_N_ELEMENTS(real_slots); i++) {
        char name[64];
        g_snprintf(name, sizeof(name),
                   "goodput, 3 slots declared, real %d, fixed", real_slots[i]);
        report_baseline(name, run_limit("fixed", real_slots[i]), "");
        g_snprintf(name, sizeof(name), "goodput, 3 slots declared, real %d",
                   real_slots[i]);
        report(name, run_limit("adaptive", real_slots[i]), "",
               "target, of capacity", 0.95, false);
        g_snprintf(name, sizeof(name), "  p99 of completed requests");
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
        start_run(&settings, sources, 1);
        run_until(run.measure_from + 10 * Cbw_SEC);
        g_snprintf(name, sizeof(name), "write p50, confirm = %s", levels[i]);
        report_baseline(name,
                        (double)CbwHistogram_Percentile(&run.latency[0], 50) /
                            Cbw_MSEC,
                        "ms");
        FakeGroup_Finish(&run.group);
    }
}

/* Runs a fixed load, for counting the instructions with callgrind. */
static void
run_steady_load(void)
{
    fake_settings_t settings = FakeGroup_Defaults;

    start_run(&settings, normal_load, 3);
    run_until(run.measure_from + 4 * Cbw_SEC);
    printf("requests %" G_GUINT64_FORMAT "\n", run.group.request_count);
    FakeGroup_Finish(&run.group);
}

int
main(int argc, char **argv)
{
    if (argc > 1 && strcmp(argv[1], "steady") == 0) {
        run_steady_load();
        return 0;
    }
    if (argc > 1 && strcmp(argv[1], "size") == 0) {
        Size_Report();
        return 0;
    }
    quiet = argc > 1 && strcmp(argv[1], "--quiet") == 0;
    measure_replica_share();
    measure_overload();
    measure_failover();
    measure_limits();
    measure_confirm();
    g_free(run.written_at);
    printf("%d bounds missed\n", bounds_missed);
    return bounds_missed > 0;
}
