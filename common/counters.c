#include <inttypes.h>

#include "common/counters.h"

/* Four buckets to each doubling, from 1 us to about 70 minutes. */
#define BUCKETS_PER_DOUBLING 4
#define BUCKETS (32 * BUCKETS_PER_DOUBLING)

struct row {
	const char *name;
	const char *type;
	const char *help;
};

static const struct row counter_rows[] = {
#define ROW(sym, name, type, help) { name, type, help },
	COUNTER_TABLE(ROW)
#undef ROW
};

static const struct row histogram_rows[] = {
#define ROW(sym, name, help) { name, "histogram", help },
	HISTOGRAM_TABLE(ROW)
#undef ROW
};

struct times {
	uint64_t buckets[BUCKETS];
	uint64_t count;
	uint64_t sum_us;
};

struct counters {
	int64_t values[COUNTER_COUNT];
	struct times times[HISTOGRAM_COUNT];
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

/* Upper edge of a bucket. */
static uint64_t bucket_edge_us(int bucket)
{
	int doubling = bucket / BUCKETS_PER_DOUBLING;
	uint64_t quarter = (uint64_t)(bucket % BUCKETS_PER_DOUBLING);
	uint64_t base = UINT64_C(1) << doubling;

	return base + base * (quarter + 1) / BUCKETS_PER_DOUBLING;
}

void counters_record_duration(struct counters *counters, enum histogram which,
			      int64_t us)
{
	struct times *t = &counters->times[which];
	uint64_t value = us > 0 ? (uint64_t)us : 0;

	__atomic_fetch_add(&t->buckets[bucket_of(value)], 1, __ATOMIC_RELAXED);
	__atomic_fetch_add(&t->count, 1, __ATOMIC_RELAXED);
	__atomic_fetch_add(&t->sum_us, value, __ATOMIC_RELAXED);
}

static void print_histogram(const struct times *t, const struct row *row,
			    GString *out)
{
	uint64_t below = 0;

	for (int i = 0; i < BUCKETS; i++) {
		uint64_t n = __atomic_load_n(&t->buckets[i], __ATOMIC_RELAXED);

		if (!n)
			continue;
		below += n;
		g_string_append_printf(out,
				       "radishdeal_%s_bucket{le=\"%" PRIu64
				       "\"} %" PRIu64 "\n",
				       row->name, bucket_edge_us(i), below);
	}
	g_string_append_printf(out,
			       "radishdeal_%s_bucket{le=\"+Inf\"} %" PRIu64
			       "\nradishdeal_%s_sum %" PRIu64
			       "\nradishdeal_%s_count %" PRIu64 "\n",
			       row->name, below, row->name, t->sum_us,
			       row->name, t->count);
}

static void print_head(const struct row *row, GString *out)
{
	g_string_append_printf(out,
			       "# HELP radishdeal_%s %s\n"
			       "# TYPE radishdeal_%s %s\n",
			       row->name, row->help, row->name, row->type);
}

void counters_print(const struct counters *counters, GString *out)
{
	for (int i = 0; i < COUNTER_COUNT; i++) {
		print_head(&counter_rows[i], out);
		g_string_append_printf(out, "radishdeal_%s %" PRId64 "\n",
				       counter_rows[i].name,
				       counters_get(counters, (enum counter)i));
	}
	for (int i = 0; i < HISTOGRAM_COUNT; i++) {
		print_head(&histogram_rows[i], out);
		print_histogram(&counters->times[i], &histogram_rows[i], out);
	}
}
