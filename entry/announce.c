/* The adapter through which endpoints announce themselves: HTTP and JSON. */
#include <string.h>

#include "common/log.h"
#include "entry/entry_internal.h"
#include "wire/codec.h"
#include "wire/rpc_frame.h"

#define TTL_ANNOUNCES 3

static const struct log announce_log = { "announce" };

static void refuse(struct entry *entry, struct evhttp_request *req,
		   enum rd_result code, const char *detail)
{
	struct problem problem = { .code = code, .detail = detail };

	counters_add(entry->opts.counters, COUNTER_BAD_ANNOUNCES, 1);
	http_send_problem(req, &problem);
}

static bool key_fits(const struct entry *entry, struct evhttp_request *req)
{
	const char *given = http_bearer(req);
	const char *wanted = entry->opts.endpoint_key;

	return given && strlen(given) == strlen(wanted) &&
	       rpc_equal((const uint8_t *)given, (const uint8_t *)wanted,
			 strlen(wanted));
}

/** How a JSON field goes into a vm_report. */
struct field {
	const char *name;
	size_t offset;
	bool required;
};

#define REPORT(member) offsetof(struct vm_report, member)
static const struct field strings[] = {
	{ "vm", REPORT(name), true },
	{ "address", REPORT(address), true },
	{ "data_centre", REPORT(data_centre), true },
	{ "domain", REPORT(domain), true },
	{ "service", REPORT(service), false },
	{ "model", REPORT(model), false },
	{ "adapter", REPORT(adapter), false },
	{ "version", REPORT(model_version), false },
};
static const struct field booleans[] = {
	{ "checks_fencing", REPORT(checks_fencing), false },
	{ "ready", REPORT(ready), false },
	{ "leaving", REPORT(leaving), false },
};
static const struct field wides[] = {
	{ "incarnation", REPORT(incarnation), true },
	{ "sequence", REPORT(sequence), true },
	{ "epoch", REPORT(epoch), false },
	{ "fencing", REPORT(fencing), false },
};
static const struct field numbers[] = {
	{ "accelerators", REPORT(accelerators), false },
	{ "replica", REPORT(replica), false },
};
static const struct field loads[] = {
	{ "running", REPORT(load.running), false },
	{ "waiting", REPORT(load.waiting), false },
	{ "step_us", REPORT(load.step_us), false },
};

static bool wrong(const struct field *f, const char *what, char **why)
{
	*why = g_strdup_printf("%s: %s", f->name, what);
	return false;
}

static bool read_string(json_t *body, const struct field *f,
			struct vm_report *report, char **why)
{
	json_t *value = json_object_get(body, f->name);
	const char *text = value ? json_string_value(value) : "";

	if (value && !text)
		return wrong(f, "must be a string", why);
	if (f->required && !*text)
		return wrong(f, "missing", why);
	if (strlen(text) > RD_NAME_MAX)
		return wrong(f, "is over 63 bytes", why);
	*(char **)((char *)report + f->offset) = (char *)text;
	return true;
}

static bool read_number(json_t *body, const struct field *f, json_int_t max,
			json_int_t *out, char **why)
{
	json_t *value = json_object_get(body, f->name);

	*out = 0;
	if (!value && !f->required)
		return true;
	if (!json_is_integer(value))
		return wrong(f, value ? "must be an integer" : "missing", why);
	*out = json_integer_value(value);
	if (*out < 0 || *out > max)
		return wrong(f, "is out of range", why);
	return true;
}

static bool read_small(json_t *body, const struct field *f,
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

	for (size_t i = 0; i < G_N_ELEMENTS(strings); i++)
		if (!read_string(body, &strings[i], report, why))
			return false;
	for (size_t i = 0; i < G_N_ELEMENTS(wides); i++) {
		if (!read_number(body, &wides[i], INT64_MAX, &n, why))
			return false;
		*(uint64_t *)((char *)report + wides[i].offset) = (uint64_t)n;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++)
		if (!read_small(body, &numbers[i], report, why))
			return false;
	for (size_t i = 0; load && i < G_N_ELEMENTS(loads); i++)
		if (!read_small(load, &loads[i], report, why))
			return false;
	for (size_t i = 0; i < G_N_ELEMENTS(booleans); i++) {
		json_t *value = json_object_get(body, booleans[i].name);

		if (value && !json_is_boolean(value))
			return wrong(&booleans[i], "must be true or false",
				     why);
		*(bool_t *)((char *)report + booleans[i].offset) =
			json_is_true(value);
	}
	/* The project's own engines serve as soon as they are ready. */
	report->pool = (char *)"";
	report->serving = report->ready;
	return true;
}

static void answer(struct entry *entry, struct evhttp_request *req,
		   const char *vm)
{
	int64_t every_ms = entry->opts.settings->limits.announce_ms;

	http_send_json(req, 200,
		       json_pack("{s:I,s:I,s:o}", "ttl_ms",
				 (json_int_t)every_ms * TTL_ANNOUNCES,
				 "announce_ms", (json_int_t)every_ms, "homes",
				 addresses_homes(entry, vm)));
}

static void take(struct entry *entry, struct evhttp_request *req, json_t *body)
{
	struct vm_report report = { 0 };
	char *why = NULL;

	if (!read_report(body, &report, &why)) {
		refuse(entry, req, RD_BAD_REQUEST, why);
		g_free(why);
		return;
	}
	counters_add(entry->opts.counters, COUNTER_ANNOUNCES, 1);
	if (monitor_handle_announcement(entry->monitor, entry_now_ms(entry),
					&report)) {
		log_info(&announce_log,
			 "VM %s at %s: replica=%u epoch=%" G_GUINT64_FORMAT
			 " ready=%d leaving=%d",
			 report.name, report.address, report.replica,
			 report.epoch, report.ready, report.leaving);
		/* Readiness and leaving are told at once, loads in time. */
		entry_send_digest(entry);
	}
	services_load(entry, &report);
	services_cache(entry, &report, json_object_get(body, "cache"));
	answer(entry, req, report.name);
}

void announce_handle(struct evhttp_request *req, void *ctx)
{
	struct entry *entry = ctx;
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	GBytes *bytes;
	json_t *body;

	if (!path || strcmp(path, "/v1/announce") != 0) {
		refuse(entry, req, RD_NO_ROUTE, NULL);
		return;
	}
	if (evhttp_request_get_command(req) != EVHTTP_REQ_POST) {
		refuse(entry, req, RD_BAD_METHOD, NULL);
		return;
	}
	if (!key_fits(entry, req)) {
		refuse(entry, req, RD_WRONG_KEY, NULL);
		return;
	}
	bytes = http_body(req);
	body = json_loadb(g_bytes_get_data(bytes, NULL),
			  g_bytes_get_size(bytes), JSON_REJECT_DUPLICATES,
			  NULL);
	g_bytes_unref(bytes);
	if (json_is_object(body))
		take(entry, req, body);
	else
		refuse(entry, req, RD_BAD_REQUEST, "body: must be JSON object");
	json_decref(body);
}
