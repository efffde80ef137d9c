/**
 * @file
 * Resource use of processes, and statistics of samples.
 */
#ifndef BENCH_METER_H
#define BENCH_METER_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include <glib.h>

/** Resource use of a process, from /proc. */
struct process_usage {
	double cpu_us; /* since its start */
	double rss_kb;
	double peak_kb; /* highest resident set size */
};

/** Reads the resource use. Returns false if the process has exited. */
bool meter_usage(pid_t pid, struct process_usage *usage);

/** Returns the value of a metric in the text of /v1/metrics, 0 if missing. */
double meter_parse_metric(const char *text, const char *name);

/** A line fitted by least squares. */
struct fitted_line {
	double slope, intercept;
	double residual; /* root mean square error */
};

void meter_fit_line(const double *x, const double *y, int n,
		    struct fitted_line *line);

/** Returns the p-th percentile (0 to 100). Sorts `values`. */
double meter_percentile(double *values, int n, double p);

/** Prints `NAME VALUE UNIT TARGET VERDICT`; the verdict is met or not-met. */
void meter_report(const char *name, double value, const char *unit,
		  double target, bool met);

#endif
