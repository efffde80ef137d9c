#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "bench/meter.h"

static double status_kb(const char *text, const char *key)
{
	const char *pos = strstr(text, key);

	return pos ? g_ascii_strtod(pos + strlen(key), NULL) : 0;
}

bool meter_usage(pid_t pid, struct process_usage *usage)
{
	char path[64];
	char *text = NULL;
	char *pos;
	unsigned long user = 0, system = 0;

	memset(usage, 0, sizeof(*usage));
	g_snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
	if (!g_file_get_contents(path, &text, NULL, NULL))
		return false;
	pos = strrchr(text, ')');
	if (pos)
		sscanf(pos + 2,
		       "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
		       &user, &system);
	usage->cpu_us = (double)(user + system) * 1e6 /
			(double)sysconf(_SC_CLK_TCK);
	g_free(text);
	g_snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	if (!g_file_get_contents(path, &text, NULL, NULL))
		return false;
	usage->rss_kb = status_kb(text, "VmRSS:");
	usage->peak_kb = status_kb(text, "VmHWM:");
	g_free(text);
	return true;
}

double meter_parse_metric(const char *text, const char *name)
{
	char *line = g_strdup_printf("\nradishdeal_%s ", name);
	const char *pos = strstr(text, line);
	double value = pos ? g_ascii_strtod(pos + strlen(line), NULL) : 0;

	g_free(line);
	return value;
}

void meter_fit_line(const double *x, const double *y, int n,
		    struct fitted_line *line)
{
	double sx = 0, sy = 0, sxx = 0, sxy = 0, squared_errors = 0, d;

	for (int i = 0; i < n; i++) {
		sx += x[i];
		sy += y[i];
		sxx += x[i] * x[i];
		sxy += x[i] * y[i];
	}
	d = n * sxx - sx * sx;
	line->slope = d != 0 ? (n * sxy - sx * sy) / d : 0;
	line->intercept = (sy - line->slope * sx) / n;
	for (int i = 0; i < n; i++) {
		double error = y[i] - line->slope * x[i] - line->intercept;

		squared_errors += error * error;
	}
	line->residual = sqrt(squared_errors / n);
}

static int compare(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

double meter_percentile(double *values, int n, double p)
{
	int pos;

	if (!n)
		return 0;
	qsort(values, (size_t)n, sizeof(*values), compare);
	pos = (int)ceil(p / 100 * n) - 1;
	return values[CLAMP(pos, 0, n - 1)];
}

void meter_report(const char *name, double value, const char *unit,
		  double target, bool met)
{
	printf("%s %.4g %s %.4g %s\n", name, value, unit, target,
	       met ? "met" : "not-met");
	fflush(stdout);
}
