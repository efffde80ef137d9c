/*
 * Selects the log lines about one request from the logs of several processes,
 * and those about the replicas that it was sent to and their VMs.
 */
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "ctl/explain.h"

/* Events of a replica are included from this long before the request. */
#define LOOKBACK_US (3 * G_USEC_PER_SEC)

/** A line of a log. */
struct record {
	int64_t time_us;
	char *process; /* name of the process that wrote it */
	json_t *line;
	guint order; /* position in the input */
};

struct explain {
	GPtrArray *records;	/* of struct record, of all files */
	GHashTable *replicas;	/* ids, as text, of those it was sent to */
	GHashTable *vms;	/* names of VMs that made a replica unhealthy */
	int64_t from_us, to_us; /* period of related events */
};

static void record_free(gpointer data)
{
	struct record *record = data;

	json_decref(record->line);
	g_free(record->process);
	g_free(record);
}

static const char *get_string(const json_t *line, const char *key)
{
	const char *text = json_string_value(json_object_get(line, key));

	return text ? text : "";
}

static char *format_integer(const json_t *line, const char *key)
{
	const json_t *value = json_object_get(line, key);

	return json_is_integer(value)
		       ? g_strdup_printf("%" JSON_INTEGER_FORMAT,
					 json_integer_value(value))
		       : NULL;
}

/* ---- reading ---- */

/* A log collector may put a time and the process name before each line. */
static char *get_process_name(const char *line, const char *json,
			      const char *file)
{
	char *prefix = g_strndup(line, (gsize)(json - line));
	char **words = g_strsplit_set(g_strstrip(prefix), " \t", -1);
	guint n = g_strv_length(words);
	char *process = n && *words[n - 1] ? g_strdup(words[n - 1])
					   : g_path_get_basename(file);

	g_strfreev(words);
	g_free(prefix);
	return process;
}

/* Adds the record of a line; a line that is not JSON with a time is skipped. */
static void parse_line(struct explain *x, const char *line, const char *file)
{
	const char *json = strchr(line, '{');
	json_t *value = json ? json_loads(json, JSON_DISABLE_EOF_CHECK, NULL)
			     : NULL;
	GDateTime *time =
		g_date_time_new_from_iso8601(get_string(value, "time"), NULL);
	struct record *record;

	if (!json_is_object(value) || !time) {
		json_decref(value);
		if (time)
			g_date_time_unref(time);
		return;
	}
	record = g_new0(struct record, 1);
	record->time_us = g_date_time_to_unix(time) * G_USEC_PER_SEC +
			  g_date_time_get_microsecond(time);
	record->process = get_process_name(line, json, file);
	record->line = value;
	record->order = x->records->len;
	g_ptr_array_add(x->records, record);
	g_date_time_unref(time);
}

static bool read_file(struct explain *x, const char *path)
{
	char *text;
	GError *error = NULL;
	char **lines;

	if (!g_file_get_contents(path, &text, NULL, &error)) {
		fprintf(stderr, "radishdealctl: %s\n", error->message);
		g_error_free(error);
		return false;
	}
	lines = g_strsplit(text, "\n", -1);
	for (char **line = lines; *line; line++)
		parse_line(x, *line, path);
	g_strfreev(lines);
	g_free(text);
	return true;
}

static gint compare_records(gconstpointer a, gconstpointer b)
{
	const struct record *x = *(struct record *const *)a;
	const struct record *y = *(struct record *const *)b;

	if (x->time_us != y->time_us)
		return x->time_us < y->time_us ? -1 : 1;
	return x->order < y->order ? -1 : x->order > y->order;
}

/* ---- selection ---- */

static bool is_of_request(const struct record *record, const char *id)
{
	return !strcmp(get_string(record->line, "request"), id);
}

/*
 * Finds the period of a request and the replicas that it was sent to; the
 * records must be sorted. Returns the request's last record, or NULL.
 */
static const struct record *find_request(struct explain *x, const char *id)
{
	const struct record *last = NULL;

	for (guint i = 0; i < x->records->len; i++) {
		const struct record *record = x->records->pdata[i];
		char *replica;

		if (!is_of_request(record, id))
			continue;
		if (!last)
			x->from_us = record->time_us - LOOKBACK_US;
		x->to_us = record->time_us;
		last = record;
		replica = format_integer(record->line, "replica");
		if (replica)
			g_hash_table_add(x->replicas, replica);
	}
	return last;
}

/* Whether a record is about a replica of the request, but about no request. */
static bool is_of_replica(const struct explain *x, const struct record *record)
{
	char *replica = format_integer(record->line, "replica");
	bool named = replica && g_hash_table_contains(x->replicas, replica);

	g_free(replica);
	return named && !*get_string(record->line, "request");
}

/* Collects the VMs named in records about the request's replicas; "-": none. */
static void find_vms(struct explain *x)
{
	for (guint i = 0; i < x->records->len; i++) {
		const struct record *record = x->records->pdata[i];
		const char *vm = get_string(record->line, "vm");

		if (record->time_us >= x->from_us &&
		    record->time_us <= x->to_us && is_of_replica(x, record) &&
		    strlen(vm) > 1)
			g_hash_table_add(x->vms, (gpointer)vm);
	}
}

static bool is_related(const struct explain *x, const struct record *record,
		       const char *id)
{
	if (is_of_request(record, id))
		return true;
	if (record->time_us < x->from_us || record->time_us > x->to_us)
		return false;
	return is_of_replica(x, record) ||
	       g_hash_table_contains(x->vms, get_string(record->line, "vm"));
}

/* ---- output ---- */

static void print_record(const struct record *record, const char *id)
{
	static const char *const printed[] = { "time", "level", "object",
					       "request", "event" };
	const char *key;
	json_t *value;

	printf("%s %s %s%s: %s", get_string(record->line, "time"),
	       record->process, is_of_request(record, id) ? "" : "(meanwhile) ",
	       get_string(record->line, "object"),
	       get_string(record->line, "event"));
	json_object_foreach(record->line, key, value)
	{
		bool skip = false;

		for (guint i = 0; i < G_N_ELEMENTS(printed); i++)
			skip |= !strcmp(printed[i], key);
		if (skip)
			continue;
		if (json_is_integer(value))
			printf(" %s=%" JSON_INTEGER_FORMAT, key,
			       json_integer_value(value));
		else
			printf(" %s=%s", key, json_string_value(value));
	}
	putchar('\n');
}

static void print_verdict(const struct record *last, const char *id)
{
	const char *code = get_string(last->line, "code");
	const char *detail = get_string(last->line, "detail");

	if (*code)
		printf("verdict: %s was refused: %s, outcome %s%s%s\n", id,
		       code, get_string(last->line, "outcome"),
		       strlen(detail) > 1 ? ", " : "",
		       strlen(detail) > 1 ? detail : "");
	else
		printf("verdict: %s: %s\n", id,
		       get_string(last->line, "event"));
}

int explain_request(const char *id, char *const *files)
{
	struct explain x = {
		.records = g_ptr_array_new_with_free_func(record_free),
		.replicas = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, NULL),
		.vms = g_hash_table_new(g_str_hash, g_str_equal),
	};
	const struct record *last;
	int status = EXIT_FAILURE;

	for (; *files; files++)
		if (!read_file(&x, *files))
			goto done;
	g_ptr_array_sort(x.records, compare_records);
	last = find_request(&x, id);
	if (!last) {
		fprintf(stderr, "radishdealctl: no line about request %s\n",
			id);
		goto done;
	}
	find_vms(&x);
	for (guint i = 0; i < x.records->len; i++)
		if (is_related(&x, x.records->pdata[i], id))
			print_record(x.records->pdata[i], id);
	print_verdict(last, id);
	status = EXIT_SUCCESS;
done:
	g_hash_table_unref(x.vms);
	g_hash_table_unref(x.replicas);
	g_ptr_array_unref(x.records);
	return status;
}
