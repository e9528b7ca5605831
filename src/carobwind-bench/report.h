/* What a run showed: a table, JSON, and a plot. */
#ifndef CAROBWIND_BENCH_REPORT_H
#define CAROBWIND_BENCH_REPORT_H

#include "load.h"

/* `seconds` is the time that was measured. */
void Report_PrintTable(const load_t *load, double seconds);
void Report_PrintJson(const load_t *load, double seconds);
/* Writes an SVG of latency and throughput by kind over time. Returns 0, or -1
 * with `error` set. */
int Report_Plot(const load_t *load, const char *path, double seconds,
                cbw_error_t *error);

#endif
