#include <radishdeal/engine.h>

#include "entry/attempt.h"
#include "entry/call.h"
#include "entry/call_class.h"

/* Completed calls that are remembered. */
#define RECENT_MAX 64u
/* Share of calls that take no longer than expected. */
#define EXPECTED_PERMILLE 950u
/* More classes than this are forgotten, and measured again. */
#define CLASSES_MAX 4096u

/* The times of the last completed calls, overwritten in turn. */
struct recent_times {
	int64_t ms[RECENT_MAX];
	uint32_t count;
	uint32_t next;
};

/* Reference-counted, since calls outlive the table's entries. */
struct call_class {
	struct recent_times recent[CALL_SINCE_COUNT];
};

GHashTable *call_classes_create(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     g_rc_box_release);
}

struct call_class *call_class_ref(const struct entry_service *service,
				  const char *route, uint32_t output_tokens)
{
	GHashTable *classes = service->entry->call_classes;
	char *key = g_strdup_printf("%s\n%s\n%u", service->name, route,
				    g_bit_storage(output_tokens));
	struct call_class *found = g_hash_table_lookup(classes, key);

	if (found) {
		g_free(key);
		return g_rc_box_acquire(found);
	}
	if (g_hash_table_size(classes) >= CLASSES_MAX)
		g_hash_table_remove_all(classes);
	found = g_rc_box_new0(struct call_class);
	g_hash_table_insert(classes, key, found);
	return g_rc_box_acquire(found);
}

void call_class_unref(struct call_class *call_class)
{
	g_rc_box_release(call_class);
}

static void add_recent(struct recent_times *recent, int64_t ms)
{
	recent->ms[recent->next] = ms;
	recent->next = (recent->next + 1) % RECENT_MAX;
	recent->count = MIN(recent->count + 1, RECENT_MAX);
}

static int64_t age_ms(const struct call *call, enum call_since since)
{
	int64_t from_us = since == SINCE_ARRIVAL ? call->started_us
						 : call->attempt->sent_us;

	return (entry_now_us(call->entry) - from_us) / 1000;
}

void call_class_add_complete(const struct call *call)
{
	struct recent_times *recent = call->call_class->recent;

	/* An error takes less time than what was asked for. */
	if (call->attempt->response.status >= HTTP_BADREQUEST)
		return;
	add_recent(&recent[SINCE_ARRIVAL], age_ms(call, SINCE_ARRIVAL));
	/* The last attempt of a resumed stream is a part of it. */
	if (call->attempts == 1)
		add_recent(&recent[SINCE_DISPATCH],
			   age_ms(call, SINCE_DISPATCH));
}

static gint compare_ms(gconstpointer a, gconstpointer b)
{
	const int64_t *x = a, *y = b;

	return (*x > *y) - (*x < *y);
}

/* Sorts the times. Returns -1 if there are none. */
static int64_t expected_of(GArray *times)
{
	if (!times->len)
		return -1;
	g_array_sort(times, compare_ms);
	return g_array_index(times, int64_t,
			     (times->len - 1) * EXPECTED_PERMILLE / 1000);
}

static bool is_measured(const struct call *call, enum call_since since)
{
	return since == SINCE_ARRIVAL || call->state == CALL_DISPATCHED;
}

/* An open call counts once it is older than those that have ended. */
static void add_open(GArray *times, const struct call_prospect *prospect)
{
	int64_t known_ms = expected_of(times);
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, prospect->service->entry->calls);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct call *call = key;
		int64_t ms;

		if (call->call_class != prospect->call_class ||
		    !is_measured(call, prospect->since))
			continue;
		ms = age_ms(call, prospect->since);
		if (ms > known_ms)
			g_array_append_val(times, ms);
	}
}

/* From the timings of the service's engine; -1 without them. */
static int64_t specified_by_engine_ms(const struct call_prospect *prospect)
{
	const struct engine_spec *engine = &prospect->service->engine;
	const struct router_request *route = prospect->route;
	uint32_t output = route->output_tokens;

	if (!engine_has_timings(engine))
		return -1;
	/* The caller's token limit usually exceeds the actual output. */
	if (engine->mean_output_tokens)
		output = MIN(output, engine->mean_output_tokens);
	return (int64_t)(engine_prefill_ms(engine, route->prompt_tokens) +
			 output * engine_step_ms(engine, 1,
						 route->prompt_tokens));
}

int64_t call_class_expected_ms(const struct call_prospect *prospect)
{
	const struct recent_times *recent =
		&prospect->call_class->recent[prospect->since];
	GArray *times = g_array_new(FALSE, FALSE, sizeof(int64_t));
	int64_t specified_ms = specified_by_engine_ms(prospect);
	int64_t expected_ms;

	g_array_append_vals(times, recent->ms, recent->count);
	if (!recent->count && specified_ms >= 0)
		g_array_append_val(times, specified_ms);
	/* Open calls alone tell only what is too short. */
	if (times->len)
		add_open(times, prospect);
	expected_ms = expected_of(times);
	g_array_unref(times);
	return expected_ms;
}
