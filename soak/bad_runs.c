#include <string.h>

#include <jansson.h>

#include "soak/bad_runs.h"

#define US_PER_S 1000000
/* For all entries to know, from the last end that may come about. */
#define KNOWN_US (3 * US_PER_S)
#define ENDS_MAX 3u
#define LATE_RUNS_MAX 3u

struct bad_run {
	int64_t at_us;
	char *request; /* its id */
};

struct bad_runs {
	GHashTable *table; /* name of the event -> GArray of struct bad_run */
};

static const char arrived[] = "will end its VM";
static const char ended[] = "ends its VM";

static void clear_run(gpointer data)
{
	struct bad_run *run = data;

	g_free(run->request);
}

static GArray *new_list(void)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct bad_run));

	g_array_set_clear_func(list, clear_run);
	return list;
}

struct bad_runs *bad_runs_create(void)
{
	struct bad_runs *runs = g_new0(struct bad_runs, 1);

	runs->table = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    (GDestroyNotify)g_array_unref);
	g_hash_table_insert(runs->table, (gpointer)arrived, new_list());
	g_hash_table_insert(runs->table, (gpointer)ended, new_list());
	return runs;
}

void bad_runs_free(struct bad_runs *runs)
{
	if (!runs)
		return;
	g_hash_table_unref(runs->table);
	g_free(runs);
}

static void add_event(GHashTable *table, json_t *line)
{
	const char *event = json_string_value(json_object_get(line, "event"));
	const char *id = json_string_value(json_object_get(line, "request"));
	GArray *list = event ? g_hash_table_lookup(table, event) : NULL;
	struct bad_run run = {
		.at_us = json_integer_value(json_object_get(line, "t_us")),
	};

	if (!list || !id)
		return;
	run.request = g_strdup(id);
	g_array_append_val(list, run);
}

void bad_runs_read_log(struct bad_runs *runs, const char *path)
{
	soak_read_log(path, "its VM", add_event, runs->table);
}

static guint count_late(const struct soak *soak, int64_t from_us)
{
	const GArray *list = g_hash_table_lookup(soak->bad_runs->table,
						 arrived);
	GHashTable *by_id = soak_index_requests(soak);
	guint late = 0;

	for (guint i = 0; i < list->len; i++) {
		const struct bad_run *run = &g_array_index(list, struct bad_run,
							   i);
		const struct request *r = g_hash_table_lookup(by_id,
							      run->request);

		late += r && run->at_us > from_us &&
			process_in_touch(r->process, run->at_us);
	}
	g_hash_table_unref(by_id);
	return late;
}

void bad_runs_check(const struct soak *soak, struct soak_result *result)
{
	const GArray *ends = g_hash_table_lookup(soak->bad_runs->table, ended);
	int64_t last_us;
	guint late;

	result->bad_ends = (int)ends->len;
	if (ends->len < ENDS_MAX)
		return;
	last_us = g_array_index(ends, struct bad_run, ENDS_MAX - 1).at_us;
	late = count_late(soak, last_us + KNOWN_US);
	if (late > LATE_RUNS_MAX)
		g_ptr_array_add(result->findings,
				g_strdup_printf("BUDGET a request ended %u "
						"endpoints and reached %u "
						"later than %d s after the "
						"third end, allowed %u",
						ends->len, late,
						KNOWN_US / US_PER_S,
						LATE_RUNS_MAX));
}
