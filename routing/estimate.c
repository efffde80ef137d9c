#include <math.h>

#include <radishdeal/estimate.h>

#define SMOOTHING 0.05
/*
 * Distance of the 90th percentile of a normal distribution from its mean, in
 * mean absolute deviations.
 */
#define P90_DEVIATIONS 1.6

void estimate_add(struct estimate *estimate, double ms)
{
	double error = ms - estimate->mean_ms;

	if (estimate->mean_ms <= 0) {
		estimate->mean_ms = ms;
		return;
	}
	estimate->mean_ms += SMOOTHING * error;
	estimate->deviation_ms += SMOOTHING *
				  (fabs(error) - estimate->deviation_ms);
}

double estimate_p90_ms(const struct estimate *estimate)
{
	return estimate->mean_ms + P90_DEVIATIONS * estimate->deviation_ms;
}
