#include <inttypes.h>

#include "common/counters.h"

/* Four buckets per power of two, from 1 us to about 70 minutes. */
#define BUCKETS_PER_DOUBLING 4
#define BUCKETS (32 * BUCKETS_PER_DOUBLING)

struct metric_info {
	const char *name;
	const char *type;
	const char *help;
};

static const struct metric_info counter_info[] = {
#define ROW(sym, name, type, help) { name, type, help },
	COUNTER_TABLE(ROW)
#undef ROW
};

static const struct metric_info histogram_info[] = {
#define ROW(sym, name, help) { name, "histogram", help },
	HISTOGRAM_TABLE(ROW)
#undef ROW
};

struct histogram_data {
	uint64_t buckets[BUCKETS];
	uint64_t count;
	uint64_t sum_us;
};

struct counters {
	int64_t values[COUNTER_COUNT];
	struct histogram_data histograms[HISTOGRAM_COUNT];
};

struct counters *counters_create(void)
{
	return g_new0(struct counters, 1);
}

void counters_destroy(struct counters *counters)
{
	g_free(counters);
}

void counters_add(struct counters *counters, enum counter which, int64_t n)
{
	__atomic_fetch_add(&counters->values[which], n, __ATOMIC_RELAXED);
}

void counters_set(struct counters *counters, enum counter which, int64_t n)
{
	__atomic_store_n(&counters->values[which], n, __ATOMIC_RELAXED);
}

int64_t counters_get(const struct counters *counters, enum counter which)
{
	return __atomic_load_n(&counters->values[which], __ATOMIC_RELAXED);
}

static int bucket_of(uint64_t us)
{
	int doubling, quarter, bucket;

	if (us < 1)
		return 0;
	doubling = 63 - __builtin_clzll(us);
	quarter = doubling >= 2 ? (int)(us >> (doubling - 2) & 3) : 0;
	bucket = doubling * BUCKETS_PER_DOUBLING + quarter;
	return MIN(bucket, BUCKETS - 1);
}

static uint64_t bucket_upper_bound_us(int bucket)
{
	int doubling = bucket / BUCKETS_PER_DOUBLING;
	uint64_t quarter = (uint64_t)(bucket % BUCKETS_PER_DOUBLING);
	uint64_t base = UINT64_C(1) << doubling;

	return base + base * (quarter + 1) / BUCKETS_PER_DOUBLING;
}

void counters_record_duration(struct counters *counters, enum histogram which,
			      int64_t us)
{
	struct histogram_data *h = &counters->histograms[which];
	uint64_t value = us > 0 ? (uint64_t)us : 0;

	__atomic_fetch_add(&h->buckets[bucket_of(value)], 1, __ATOMIC_RELAXED);
	__atomic_fetch_add(&h->count, 1, __ATOMIC_RELAXED);
	__atomic_fetch_add(&h->sum_us, value, __ATOMIC_RELAXED);
}

static void print_histogram(const struct histogram_data *h,
			    const struct metric_info *info, GString *out)
{
	uint64_t cumulative = 0;

	for (int i = 0; i < BUCKETS; i++) {
		uint64_t n = __atomic_load_n(&h->buckets[i], __ATOMIC_RELAXED);

		if (!n)
			continue;
		cumulative += n;
		g_string_append_printf(out,
				       "radishdeal_%s_bucket{le=\"%" PRIu64
				       "\"} %" PRIu64 "\n",
				       info->name, bucket_upper_bound_us(i),
				       cumulative);
	}
	g_string_append_printf(out,
			       "radishdeal_%s_bucket{le=\"+Inf\"} %" PRIu64
			       "\nradishdeal_%s_sum %" PRIu64
			       "\nradishdeal_%s_count %" PRIu64 "\n",
			       info->name, cumulative, info->name, h->sum_us,
			       info->name, h->count);
}

static void print_header(const struct metric_info *info, GString *out)
{
	g_string_append_printf(out,
			       "# HELP radishdeal_%s %s\n"
			       "# TYPE radishdeal_%s %s\n",
			       info->name, info->help, info->name, info->type);
}

void counters_print(const struct counters *counters, GString *out)
{
	for (int i = 0; i < COUNTER_COUNT; i++) {
		print_header(&counter_info[i], out);
		g_string_append_printf(out, "radishdeal_%s %" PRId64 "\n",
				       counter_info[i].name,
				       counters_get(counters, (enum counter)i));
	}
	for (int i = 0; i < HISTOGRAM_COUNT; i++) {
		print_header(&histogram_info[i], out);
		print_histogram(&counters->histograms[i], &histogram_info[i],
				out);
	}
}
