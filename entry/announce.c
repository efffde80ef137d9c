/* HTTP and JSON interface for announcements from endpoints. */
#include <string.h>

#include "common/json_text.h"
#include "common/log.h"
#include "entry/entry_internal.h"
#include "wire/codec.h"
#include "wire/rpc_frame.h"

#define TTL_INTERVALS 3

static const struct log announce_log = { "announce" };

static void send_error(struct entry *entry, struct evhttp_request *req,
		       enum rd_result code, const char *detail)
{
	struct problem problem = { .code = code, .detail = detail };

	counters_add(entry->opts.counters, COUNTER_ANNOUNCEMENTS_REFUSED, 1);
	http_send_problem(req, &problem);
}

static bool key_matches(const struct entry *entry, struct evhttp_request *req)
{
	const char *actual = http_bearer(req);
	const char *expected = entry->opts.endpoint_key;

	return actual && strlen(actual) == strlen(expected) &&
	       rpc_equal_const_time((const uint8_t *)actual,
				    (const uint8_t *)expected,
				    strlen(expected));
}

/** Maps a JSON field to a member of struct vm_report. */
struct report_field {
	const char *name;
	size_t offset;
	bool required;
};

#define REPORT_OFFSET(member) offsetof(struct vm_report, member)
static const struct report_field string_fields[] = {
	{ "vm", REPORT_OFFSET(name), true },
	{ "address", REPORT_OFFSET(address), true },
	{ "data_centre", REPORT_OFFSET(data_centre), true },
	{ "domain", REPORT_OFFSET(domain), true },
	{ "service", REPORT_OFFSET(service), false },
	{ "model", REPORT_OFFSET(model), false },
	{ "adapter", REPORT_OFFSET(adapter), false },
	{ "version", REPORT_OFFSET(model_version), false },
};
static const struct report_field bool_fields[] = {
	{ "checks_fencing", REPORT_OFFSET(checks_fencing), false },
	{ "ready", REPORT_OFFSET(ready), false },
	{ "leaving", REPORT_OFFSET(leaving), false },
};
static const struct report_field uint64_fields[] = {
	{ "incarnation", REPORT_OFFSET(incarnation), true },
	{ "sequence", REPORT_OFFSET(sequence), true },
	{ "epoch", REPORT_OFFSET(epoch), false },
	{ "fencing", REPORT_OFFSET(fencing_token), false },
};
static const struct report_field uint32_fields[] = {
	{ "accelerators", REPORT_OFFSET(accelerators), false },
	{ "replica", REPORT_OFFSET(replica), false },
};
static const struct report_field load_fields[] = {
	{ "running", REPORT_OFFSET(load.running), false },
	{ "waiting", REPORT_OFFSET(load.waiting), false },
	{ "step_us", REPORT_OFFSET(load.step_us), false },
};

static bool invalid_field(const struct report_field *f, const char *what,
			  char **why)
{
	*why = g_strdup_printf("%s: %s", f->name, what);
	return false;
}

static bool read_string(json_t *body, const struct report_field *f,
			struct vm_report *report, char **why)
{
	json_t *value = json_object_get(body, f->name);
	const char *text = value ? json_string_value(value) : "";

	if (value && !text)
		return invalid_field(f, "must be a string", why);
	if (f->required && !*text)
		return invalid_field(f, "missing", why);
	if (strlen(text) > RD_NAME_MAX)
		return invalid_field(f, "is over 63 bytes", why);
	*(char **)((char *)report + f->offset) = (char *)text;
	return true;
}

static bool read_number(json_t *body, const struct report_field *f,
			json_int_t max, json_int_t *out, char **why)
{
	json_t *value = json_object_get(body, f->name);

	*out = 0;
	if (!value && !f->required)
		return true;
	if (!json_is_integer(value))
		return invalid_field(
			f, value ? "must be an integer" : "missing", why);
	*out = json_integer_value(value);
	if (*out < 0 || *out > max)
		return invalid_field(f, "is out of range", why);
	return true;
}

static bool read_uint32(json_t *body, const struct report_field *f,
			struct vm_report *report, char **why)
{
	json_int_t n;

	if (!read_number(body, f, UINT32_MAX, &n, why))
		return false;
	*(uint32_t *)((char *)report + f->offset) = (uint32_t)n;
	return true;
}

/* The report's strings are borrowed from the JSON body. */
static bool read_report(json_t *body, struct vm_report *report, char **why)
{
	json_t *load = json_object_get(body, "load");
	json_int_t n;

	for (size_t i = 0; i < G_N_ELEMENTS(string_fields); i++)
		if (!read_string(body, &string_fields[i], report, why))
			return false;
	for (size_t i = 0; i < G_N_ELEMENTS(uint64_fields); i++) {
		if (!read_number(body, &uint64_fields[i], INT64_MAX, &n, why))
			return false;
		*(uint64_t *)((char *)report + uint64_fields[i].offset) =
			(uint64_t)n;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(uint32_fields); i++)
		if (!read_uint32(body, &uint32_fields[i], report, why))
			return false;
	for (size_t i = 0; load && i < G_N_ELEMENTS(load_fields); i++)
		if (!read_uint32(load, &load_fields[i], report, why))
			return false;
	for (size_t i = 0; i < G_N_ELEMENTS(bool_fields); i++) {
		json_t *value = json_object_get(body, bool_fields[i].name);

		if (value && !json_is_boolean(value))
			return invalid_field(&bool_fields[i],
					     "must be true or false", why);
		*(bool_t *)((char *)report + bool_fields[i].offset) =
			json_is_true(value);
	}
	/* Native engines serve as soon as they are ready. */
	report->pool = (char *)"";
	report->serving = report->ready;
	return true;
}

static void send_reply(struct entry *entry, struct evhttp_request *req,
		       const char *vm)
{
	int64_t interval_ms = entry->opts.settings->limits.announce_ms;

	http_send_json(req, 200,
		       json_pack("{s:I,s:I,s:o}", "ttl_ms",
				 (json_int_t)interval_ms * TTL_INTERVALS,
				 "announce_ms", (json_int_t)interval_ms,
				 "homes", addresses_monitors(entry, vm)));
}

static void handle_report(struct entry *entry, struct evhttp_request *req,
			  json_t *body)
{
	struct vm_report report = { 0 };
	char *why = NULL;

	if (!read_report(body, &report, &why)) {
		send_error(entry, req, RD_BAD_REQUEST, why);
		g_free(why);
		return;
	}
	counters_add(entry->opts.counters, COUNTER_ANNOUNCEMENTS, 1);
	if (monitor_handle_announcement(entry->monitor, entry_now_ms(entry),
					&report)) {
		log_info(&announce_log,
			 "VM %s at %s changed state: replica=%u"
			 " epoch=%" G_GUINT64_FORMAT " ready=%d leaving=%d",
			 report.name, report.address, report.replica,
			 report.epoch, report.ready, report.leaving);
		/*
		 * Changes of readiness or leaving are sent at once; load waits
		 * for the next periodic digest.
		 */
		entry_send_digest(entry);
	}
	services_update_load(entry, &report);
	services_update_cache(entry, &report, json_object_get(body, "cache"));
	send_reply(entry, req, report.name);
}

void announce_handle(struct evhttp_request *req, void *ctx)
{
	struct entry *entry = ctx;
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	GBytes *bytes;
	json_t *body;

	if (!path || strcmp(path, "/v1/announce") != 0) {
		send_error(entry, req, RD_NO_ROUTE, NULL);
		return;
	}
	if (evhttp_request_get_command(req) != EVHTTP_REQ_POST) {
		send_error(entry, req, RD_BAD_METHOD, NULL);
		return;
	}
	if (!key_matches(entry, req)) {
		send_error(entry, req, RD_WRONG_KEY, NULL);
		return;
	}
	bytes = http_body(req);
	body = json_text_load(g_bytes_get_data(bytes, NULL),
			      g_bytes_get_size(bytes), JSON_REJECT_DUPLICATES,
			      NULL);
	g_bytes_unref(bytes);
	if (json_is_object(body))
		handle_report(entry, req, body);
	else
		send_error(entry, req, RD_BAD_REQUEST,
			   "body: must be JSON object");
	json_decref(body);
}
