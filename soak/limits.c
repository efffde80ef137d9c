/* Request limits that endpoints name, and whether entries keep to them. */
#include <string.h>

#include <jansson.h>

#include "soak/limits.h"

#define US_PER_S 1000000
/* For all entries to know of a limit. */
#define KNOWN_US (3 * US_PER_S)
/* What a limit allows in a window: one and a half times as much, and some. */
#define WINDOW_S 4
#define TOLERANCE 1.5
#define EXTRA 5

struct limits_arrival {
	int64_t at_us;
	char *request; /* its id */
};

/** A time in which a VM named one limit. */
struct limits_period {
	int64_t named_us, until_us;
	double per_s;
};

struct limits_vm {
	GArray *arrivals; /* of struct limits_arrival, in their order */
	GArray *periods;  /* of struct limits_period */
};

static void clear_arrival(gpointer data)
{
	struct limits_arrival *arrival = data;

	g_free(arrival->request);
}

static void vm_free(gpointer data)
{
	struct limits_vm *vm = data;

	g_array_unref(vm->arrivals);
	g_array_unref(vm->periods);
	g_free(vm);
}

GHashTable *limits_table_create(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, vm_free);
}

/* ---- reading ---- */

static struct limits_vm *find_or_add(GHashTable *vms, const char *id)
{
	struct limits_vm *vm = g_hash_table_lookup(vms, id);

	if (vm)
		return vm;
	vm = g_new0(struct limits_vm, 1);
	vm->arrivals = g_array_new(FALSE, FALSE, sizeof(struct limits_arrival));
	vm->periods = g_array_new(FALSE, FALSE, sizeof(struct limits_period));
	g_array_set_clear_func(vm->arrivals, clear_arrival);
	g_hash_table_insert(vms, g_strdup(id), vm);
	return vm;
}

/* A new limit ends the one before. */
static void add_period(GArray *periods, const struct limits_period *period)
{
	struct limits_period *last;

	if (periods->len) {
		last = &g_array_index(periods, struct limits_period,
				      periods->len - 1);
		last->until_us = MIN(last->until_us, period->named_us);
	}
	g_array_append_val(periods, *period);
}

static void add_event(GHashTable *vms, json_t *line)
{
	const char *id = json_string_value(json_object_get(line, "vm"));
	const char *event = json_string_value(json_object_get(line, "event"));
	const char *request = json_string_value(json_object_get(line, "reques"
								      "t"));
	int64_t at_us = json_integer_value(json_object_get(line, "t_us"));
	struct limits_arrival arrival = { .at_us = at_us };
	struct limits_period period = {
		.named_us = at_us,
		.until_us = json_integer_value(json_object_get(line, "until_"
								     "us")),
		.per_s = json_number_value(json_object_get(line, "per_s")),
	};

	if (!id || !event)
		return;
	if (!strcmp(event, "limit named")) {
		add_period(find_or_add(vms, id)->periods, &period);
	} else if (request &&
		   (!strcmp(event, "received") || !strcmp(event, "rejected"))) {
		arrival.request = g_strdup(request);
		g_array_append_val(find_or_add(vms, id)->arrivals, arrival);
	}
}

void limits_read_log(GHashTable *vms, const char *path)
{
	soak_read_log(path, "", add_event, vms);
}

/* ---- checking ---- */

static bool counts(GHashTable *by_id, const struct limits_arrival *arrival)
{
	const struct request *r = g_hash_table_lookup(by_id, arrival->request);

	return r && process_in_touch(r->process, arrival->at_us);
}

/* Returns the most requests in a window that lies within the period. */
static guint most_in_window(const struct limits_vm *vm,
			    const struct limits_period *period,
			    GHashTable *by_id)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(int64_t));
	guint first = 0, most = 0;

	for (guint i = 0; i < vm->arrivals->len; i++) {
		const struct limits_arrival *a =
			&g_array_index(vm->arrivals, struct limits_arrival, i);

		if (a->at_us < period->named_us + KNOWN_US ||
		    a->at_us > period->until_us || !counts(by_id, a))
			continue;
		g_array_append_val(times, a->at_us);
		while (a->at_us - g_array_index(times, int64_t, first) >=
		       WINDOW_S * US_PER_S)
			first++;
		most = MAX(most, times->len - first);
	}
	g_array_unref(times);
	return most;
}

static void check_period(const struct soak *soak, const char *id,
			 const struct limits_period *period, guint most,
			 struct soak_result *result)
{
	double allowed = TOLERANCE * period->per_s * WINDOW_S + EXTRA;
	double at_s = (double)(period->named_us - soak->began_us) / US_PER_S;

	if (most > allowed)
		g_ptr_array_add(result->findings,
				g_strdup_printf("LIMIT %s named %.1f a second "
						"at "
						"%.3f s and got %u requests in "
						"%d s, "
						"allowed %.1f",
						id, period->per_s, at_s, most,
						WINDOW_S, allowed));
}

void limits_check(const struct soak *soak, struct soak_result *result)
{
	GHashTable *by_id = soak_index_requests(soak);
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, soak->limits);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct limits_vm *vm = value;

		for (guint i = 0; i < vm->periods->len; i++) {
			const struct limits_period *period = &g_array_index(
				vm->periods, struct limits_period, i);

			result->limits++;
			check_period(soak, key, period,
				     most_in_window(vm, period, by_id), result);
		}
	}
	g_hash_table_unref(by_id);
}
