/**
 * @file
 * A running estimate of a duration, with its spread. One thread owns it.
 */
#ifndef RADISHDEAL_ESTIMATE_H
#define RADISHDEAL_ESTIMATE_H

/** All zero: nothing is known yet. */
struct estimate {
	double mean_ms;
	double deviation_ms; /* mean, of the absolute difference */
};

/** Takes one more duration. */
void estimate_add(struct estimate *estimate, double ms);

/** What most durations stay below; 0 while nothing is known. */
double estimate_p90_ms(const struct estimate *estimate);

#endif
