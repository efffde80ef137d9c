/**
 * @file
 * Exponentially weighted mean and mean deviation of a duration. An instance
 * must be used from one thread only.
 */
#ifndef RADISHDEAL_ESTIMATE_H
#define RADISHDEAL_ESTIMATE_H

/** All zero: no samples yet. */
struct estimate {
	double mean_ms;
	double deviation_ms; /* mean absolute deviation */
};

/** Adds a sample. */
void estimate_add(struct estimate *estimate, double ms);

/**
 * Returns an estimate of the 90th percentile, assuming a normal distribution;
 * 0 without samples.
 */
double estimate_p90_ms(const struct estimate *estimate);

#endif
