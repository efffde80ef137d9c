#include <math.h>

#include <radishdeal/estimate.h>

#define SMOOTHING 0.05
/* About nine in ten of a normal spread lie below so many deviations. */
#define DEVIATIONS 1.6

void estimate_add(struct estimate *estimate, double ms)
{
	double off = ms - estimate->mean_ms;

	if (estimate->mean_ms <= 0) {
		estimate->mean_ms = ms;
		return;
	}
	estimate->mean_ms += SMOOTHING * off;
	estimate->deviation_ms += SMOOTHING *
				  (fabs(off) - estimate->deviation_ms);
}

double estimate_p90_ms(const struct estimate *estimate)
{
	return estimate->mean_ms + DEVIATIONS * estimate->deviation_ms;
}
