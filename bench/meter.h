/**
 * @file
 * Reading what a process used, and straight lines through measurements.
 */
#ifndef BENCH_METER_H
#define BENCH_METER_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include <glib.h>

/** What a process has used so far, by the kernel's account of it. */
struct usage {
	double cpu_us;
	double rss_kb;
	double peak_kb;
};

bool meter_usage(pid_t pid, struct usage *usage);

/** A value out of /v1/metrics' text, 0 if it is not there. */
double meter_metric(const char *text, const char *name);

/** Least squares through points. */
struct line {
	double slope, intercept;
	double residual; /* root mean square */
};

void meter_fit(const double *x, const double *y, int n, struct line *line);

/** The p-th percentile (0 to 100) of values, which are sorted by this. */
double meter_percentile(double *values, int n, double p);

/** Prints `name value unit target verdict`. */
void meter_verdict(const char *name, double value, const char *unit,
		   double target, bool met);

#endif
