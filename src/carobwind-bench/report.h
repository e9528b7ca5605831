/* Reports the results of a run as a table, as JSON or as a plot. */
#ifndef CAROBWIND_BENCH_REPORT_H
#define CAROBWIND_BENCH_REPORT_H

#include "load.h"

/* `seconds` is the length of the measurement, without the warm-up. "sent" is
 * the number of finished requests. Requests without a reply ("noanswer" in the
 * journal) count as "unknown". */
void Report_PrintTable(const load_t *load, double seconds);
void Report_PrintJson(const load_t *load, double seconds);
/* Writes an SVG file that plots the latency and the throughput of each kind
 * over the first `seconds` of the run. Returns 0, or -1 with `error` set. */
int Report_Plot(const load_t *load, const char *path, double seconds,
                cbw_error_t *error);

#endif
