#include "report.h"

#include <errno.h>
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define PLOT_WIDTH 900
#define PANEL_HEIGHT 220
#define MARGIN 60

static const char *const colours[] = {"#b2182b", "#2166ac", "#1b7837",
                                      "#762a83", "#8c510a", "#35978f",
                                      "#666666", "#e08214"};

static double
to_milliseconds(cbw_time_t time)
{
    return (double)time / (double)Cbw_MSEC;
}

void
Report_PrintTable(const load_t *load, double seconds)
{
    printf("%-14s %8s %8s %8s %8s %8s %9s %9s %9s %9s\n", "kind", "sent",
           "done", "notrun", "unknown", "done/s", "p50 ms", "p99 ms",
           "p99.9 ms", "gap ms");
    for (size_t i = 0; i < load->kind_count; i++) {
        const load_kind_t *kind = &load->kinds[i];
        printf("%-14s %8" PRIu64 " %8" PRIu64 " %8" PRIu64 " %8" PRIu64
               " %8.1f %9.2f %9.2f %9.2f %9.1f\n",
               kind->name, kind->finished, kind->outcomes[CBW_OUTCOME_DONE],
               kind->outcomes[CBW_OUTCOME_NOTRUN],
               kind->outcomes[CBW_OUTCOME_UNKNOWN] +
                   kind->outcomes[CBW_OUTCOME_PENDING],
               (double)kind->outcomes[CBW_OUTCOME_DONE] / seconds,
               to_milliseconds(CbwHistogram_Percentile(&kind->latency, 50)),
               to_milliseconds(CbwHistogram_Percentile(&kind->latency, 99)),
               to_milliseconds(CbwHistogram_Percentile(&kind->latency, 99.9)),
               to_milliseconds(kind->gap_max));
    }
}

void
Report_PrintJson(const load_t *load, double seconds)
{
    printf("{\"seconds\": %.3f, \"kinds\": {", seconds);
    for (size_t i = 0; i < load->kind_count; i++) {
        const load_kind_t *kind = &load->kinds[i];
        printf("%s\"%s\": {\"sent\": %" PRIu64 ", \"done\": %" PRIu64
               ", \"notrun\": %" PRIu64 ", \"unknown\": %" PRIu64
               ", \"p50_ms\": %.3f, \"p99_ms\": %.3f, \"p999_ms\": %.3f, "
               "\"gap_ms\": %.1f, \"gap_at_ms\": %.1f}",
               i > 0 ? ", " : "", kind->name, kind->finished,
               kind->outcomes[CBW_OUTCOME_DONE],
               kind->outcomes[CBW_OUTCOME_NOTRUN],
               kind->outcomes[CBW_OUTCOME_UNKNOWN] +
                   kind->outcomes[CBW_OUTCOME_PENDING],
               to_milliseconds(CbwHistogram_Percentile(&kind->latency, 50)),
               to_milliseconds(CbwHistogram_Percentile(&kind->latency, 99)),
               to_milliseconds(CbwHistogram_Percentile(&kind->latency, 99.9)),
               to_milliseconds(kind->gap_max),
               to_milliseconds(kind->gap_max_start));
    }
    printf("}}\n");
}

/* One diagram of the plot. */
typedef struct {
    FILE *file;
    double seconds;
    size_t bucket_count;
    double value_max;  /* value at the upper edge */
    double top_offset; /* y coordinate of the upper edge */
    bool logarithmic;  /* the lower edge is 1 instead of 0 */
} panel_t;

static double
panel_x(const panel_t *panel, double seconds)
{
    return MARGIN + seconds / panel->seconds * (PLOT_WIDTH - 2 * MARGIN);
}

static double
panel_y(const panel_t *panel, double value)
{
    double fraction = value / panel->value_max;

    if (panel->logarithmic) {
        fraction = value <= 1 ? 0 : log10(value) / log10(panel->value_max);
    }
    return panel->top_offset +
           PANEL_HEIGHT * (1 - (fraction > 1 ? 1 : fraction));
}

static void
plot_axes(const panel_t *panel, const char *label)
{
    FILE *file = panel->file;

    fprintf(file,
            "<rect x=\"%d\" y=\"%g\" width=\"%d\" height=\"%d\" fill=\"none\" "
            "stroke=\"#999\"/>\n",
            MARGIN, panel->top_offset, PLOT_WIDTH - 2 * MARGIN, PANEL_HEIGHT);
    fprintf(file, "<text x=\"%d\" y=\"%g\">%s</text>\n", MARGIN,
            panel->top_offset - 6, label);
    for (int i = 0; i <= 4; i++) {
        double value = panel->logarithmic ? pow(panel->value_max, i / 4.0)
                                          : panel->value_max * i / 4.0;
        fprintf(file,
                "<text x=\"%d\" y=\"%g\" text-anchor=\"end\">%.4g</text>\n",
                MARGIN - 4, panel_y(panel, value) + 4, value);
    }
    for (int i = 0; i <= 10; i++) {
        double tick_seconds = panel->seconds * i / 10.0;
        fprintf(file,
                "<text x=\"%g\" y=\"%g\" text-anchor=\"middle\">%.3g s"
                "</text>\n",
                panel_x(panel, tick_seconds),
                panel->top_offset + PANEL_HEIGHT + 14, tick_seconds);
    }
}

static void
plot_kind(const panel_t *panel, const load_kind_t *kind, size_t colour,
          double (*value)(const load_bucket_t *bucket))
{
    fprintf(panel->file,
            "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"1.2\" "
            "points=\"",
            colours[colour % (sizeof(colours) / sizeof(colours[0]))]);
    for (size_t i = 0; i < panel->bucket_count; i++) {
        fprintf(panel->file, "%.1f,%.1f ",
                panel_x(panel, (double)(i * LOAD_BUCKET_DURATION) / Cbw_SEC),
                panel_y(panel, value(&kind->timeline[i])));
    }
    fprintf(panel->file, "\"/>\n");
}

static double
bucket_latency(const load_bucket_t *bucket)
{
    return to_milliseconds(bucket->latency_max);
}

static double
bucket_throughput(const load_bucket_t *bucket)
{
    return bucket->done * ((double)Cbw_SEC / (double)LOAD_BUCKET_DURATION);
}

/* Returns the highest value of all kinds, at least 10. */
static double
highest_value(const load_t *load, size_t buckets,
              double (*value)(const load_bucket_t *bucket))
{
    double highest = 10;

    for (size_t i = 0; i < load->kind_count; i++) {
        for (size_t j = 0; j < buckets; j++) {
            double bucket_value = value(&load->kinds[i].timeline[j]);
            highest = bucket_value > highest ? bucket_value : highest;
        }
    }
    return highest;
}

static void
plot_panel(panel_t *panel, const load_t *load, const char *label,
           double (*value)(const load_bucket_t *bucket))
{
    panel->value_max = highest_value(load, panel->bucket_count, value);
    plot_axes(panel, label);
    for (size_t i = 0; i < load->kind_count; i++) {
        plot_kind(panel, &load->kinds[i], i, value);
    }
}

static void
plot_legend(const load_t *load, FILE *file)
{
    for (size_t i = 0; i < load->kind_count; i++) {
        fprintf(file, "<text x=\"%zu\" y=\"16\" fill=\"%s\">%s</text>\n",
                MARGIN + i * 130,
                colours[i % (sizeof(colours) / sizeof(colours[0]))],
                load->kinds[i].name);
    }
}

int
Report_Plot(const load_t *load, const char *path, double seconds,
            cbw_error_t *error)
{
    FILE *file = fopen(path, "w");
    panel_t panel = {.file = file, .seconds = seconds, .top_offset = 50};

    if (file == NULL) {
        return CbwError_Set(error, CBW_ERROR_IO, "cannot write %s: %s", path,
                            strerror(errno));
    }
    panel.bucket_count =
        (size_t)(seconds * (double)Cbw_SEC / (double)LOAD_BUCKET_DURATION);
    if (panel.bucket_count > LOAD_BUCKETS_MAX) {
        panel.bucket_count = LOAD_BUCKETS_MAX;
    }
    fprintf(file,
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
            "height=\"%d\" font-family=\"sans-serif\" font-size=\"11\">\n"
            "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
            PLOT_WIDTH, 2 * PANEL_HEIGHT + 150);
    plot_legend(load, file);
    panel.logarithmic = true;
    plot_panel(&panel, load, "highest latency in 100 ms, ms (log scale)",
               bucket_latency);
    panel.logarithmic = false;
    panel.top_offset += PANEL_HEIGHT + 50;
    plot_panel(&panel, load, "requests done per second", bucket_throughput);
    fprintf(file, "</svg>\n");
    fclose(file);
    return 0;
}
