#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <radishdeal/state.h>

#include "settings/options.h"
#include "settings/service.h"

#define SHA256_BYTES 32

/* What the option tables fill, before it becomes a service_spec. */
struct preset_text {
	char *name;
	int64_t replicas;
	char *version;
	bool admit;
};

struct account_text {
	char *name;
	char *key_sha256;
	int64_t weight;
	int64_t priority;
	int64_t max_outstanding;
};

struct service_text {
	char *name;
	int32_t kind;
	char *model;
	char *adapter;
	int64_t vms_per_replica;
	int64_t accelerators_per_vm;
	int32_t cross_domain;
	int64_t downtime_weight;
	int64_t stranded_weight;
	int32_t on_control_loss;
	int64_t slots_per_replica;
	int64_t deadline_ms;
	int64_t booking_keep_s;
	int64_t booking_max;
	char *preset;
	GPtrArray *once_only;
	GPtrArray *presets;
	GPtrArray *accounts;
};

static const char *const kind_names[] = { "model", "plain", NULL };
static const char *const cross_names[] = { "never", "last-resort", NULL };
static const char *const loss_names[] = { "refuse", "serve", NULL };

static const struct option_row preset_options[] = {
	{ .key = "name",
	  .type = OPT_STRING,
	  .offset = offsetof(struct preset_text, name),
	  .min = 1,
	  .max = 63,
	  .required = TRUE,
	  .help = "name, as in ordinary, peak, maintenance" },
	{ .key = "replicas",
	  .type = OPT_INT,
	  .offset = offsetof(struct preset_text, replicas),
	  .max = 100000,
	  .required = TRUE,
	  .help = "whole replicas wanted" },
	{ .key = "version",
	  .type = OPT_STRING,
	  .offset = offsetof(struct preset_text, version),
	  .max = 63,
	  .help = "version of the model's weights" },
	{ .key = "admit",
	  .type = OPT_BOOL,
	  .offset = offsetof(struct preset_text, admit),
	  .fallback = 1,
	  .help = "whether new work is taken" },
	{ 0 }
};
static const struct option_group preset_group = { "preset",
						  sizeof(struct preset_text),
						  preset_options };

static const struct option_row account_options[] = {
	{ .key = "name",
	  .type = OPT_STRING,
	  .offset = offsetof(struct account_text, name),
	  .min = 1,
	  .max = 63,
	  .required = TRUE,
	  .help = "name of the client account" },
	{ .key = "key_sha256",
	  .type = OPT_STRING,
	  .offset = offsetof(struct account_text, key_sha256),
	  .min = 64,
	  .max = 64,
	  .required = TRUE,
	  .help = "SHA-256 of its key, in hex" },
	{ .key = "weight",
	  .type = OPT_INT,
	  .offset = offsetof(struct account_text, weight),
	  .min = 1,
	  .max = 1000000,
	  .fallback = 1,
	  .help = "share of the service under contention" },
	{ .key = "priority",
	  .type = OPT_INT,
	  .offset = offsetof(struct account_text, priority),
	  .max = 9,
	  .fallback = 5,
	  .help = "0 is served first" },
	{ .key = "max_outstanding",
	  .type = OPT_INT,
	  .offset = offsetof(struct account_text, max_outstanding),
	  .max = 1000000,
	  .help = "requests in flight over all entries; 0 is no limit" },
	{ 0 }
};
static const struct option_group account_group = { "account",
						   sizeof(struct account_text),
						   account_options };

#define TEXT(field) offsetof(struct service_text, field)
#define INT_OPTION(name, low, high, standard, measure, text)         \
	{                                                            \
		.key = #name, .type = OPT_INT, .offset = TEXT(name), \
		.min = (low), .max = (high), .fallback = (standard), \
		.unit = (measure), .help = (text)                    \
	}
#define STRING_OPTION(name, need, text)                                 \
	{                                                               \
		.key = #name, .type = OPT_STRING, .offset = TEXT(name), \
		.max = 63, .required = (need), .help = (text)           \
	}
#define CHOICE_OPTION(name, list, text)                                 \
	{                                                               \
		.key = #name, .type = OPT_CHOICE, .offset = TEXT(name), \
		.choices = (list), .help = (text)                       \
	}
static const struct option_row service_options[] = {
	STRING_OPTION(name, TRUE, "name of the service"),
	CHOICE_OPTION(kind, kind_names, "what its endpoints are"),
	STRING_OPTION(model, FALSE, "model to load"),
	STRING_OPTION(adapter, FALSE, "adapter to load with it"),
	INT_OPTION(vms_per_replica, 1, 64, 1, NULL, "VMs of one replica"),
	INT_OPTION(accelerators_per_vm, 0, 1024, 0, NULL,
		   "accelerators a VM must have"),
	CHOICE_OPTION(cross_domain, cross_names,
		      "whether a replica may span fabric domains"),
	INT_OPTION(downtime_weight, 1, 1000000, 10, NULL,
		   "price of a minute of a missing replica"),
	INT_OPTION(stranded_weight, 0, 1000000, 1, NULL,
		   "price of a minute of an idle accelerator"),
	CHOICE_OPTION(on_control_loss, loss_names,
		      "what entries do when no leader can be reached"),
	INT_OPTION(slots_per_replica, 1, 100000, 16, NULL,
		   "requests a replica works on at once"),
	INT_OPTION(deadline_ms, 1, 86400000, 60000, "ms",
		   "time a request has if it names none"),
	INT_OPTION(booking_keep_s, 1, 31536000, 86400, "s",
		   "how long answers to bookings are kept"),
	INT_OPTION(booking_max, 1, 1000000, 10000, NULL,
		   "bookings kept per client account"),
	STRING_OPTION(preset, FALSE, "preset in force at first"),
	{ .key = "once_only",
	  .type = OPT_STRINGS,
	  .offset = TEXT(once_only),
	  .min = 3,
	  .max = 255,
	  .help = "calls that may not be repeated, as METHOD /path/prefix" },
	{ .key = "presets",
	  .type = OPT_TABLES,
	  .offset = TEXT(presets),
	  .min = 1,
	  .max = 8,
	  .sub = &preset_group,
	  .required = TRUE,
	  .help = "presets" },
	{ .key = "accounts",
	  .type = OPT_TABLES,
	  .offset = TEXT(accounts),
	  .max = 256,
	  .sub = &account_group,
	  .help = "client accounts" },
	{ 0 }
};
static const struct option_group service_group = { "service",
						   sizeof(struct service_text),
						   service_options };

static void convert_presets(const struct service_text *from,
			    struct service_spec *to)
{
	guint n = from->presets->len;

	to->presets.presets_len = n;
	to->presets.presets_val = calloc(n + 1, sizeof(struct preset_spec));
	for (guint i = 0; i < n; i++) {
		const struct preset_text *p = from->presets->pdata[i];
		struct preset_spec *q = &to->presets.presets_val[i];

		q->name = strdup(p->name);
		q->replicas = (uint32_t)p->replicas;
		q->model_version = strdup(p->version);
		q->admit = p->admit;
	}
}

static bool parse_hash(const char *hex, char *out)
{
	/* One whose length was refused is empty here. */
	if (strlen(hex) != (size_t)2 * SHA256_BYTES)
		return false;
	for (int i = 0; i < SHA256_BYTES; i++) {
		int high = g_ascii_xdigit_value(hex[(ptrdiff_t)2 * i]);
		int low = g_ascii_xdigit_value(hex[(ptrdiff_t)2 * i + 1]);

		if (high < 0 || low < 0)
			return false;
		out[i] = (char)(high << 4 | low);
	}
	return true;
}

static void convert_accounts(const struct service_text *from,
			     struct service_spec *to,
			     struct option_errors *errors)
{
	guint n = from->accounts->len;

	to->accounts.accounts_len = n;
	to->accounts.accounts_val = calloc(n + 1, sizeof(struct account_spec));
	for (guint i = 0; i < n; i++) {
		const struct account_text *a = from->accounts->pdata[i];
		struct account_spec *b = &to->accounts.accounts_val[i];

		b->name = strdup(a->name);
		b->weight = (uint32_t)a->weight;
		b->priority = (uint32_t)a->priority;
		b->max_outstanding = (uint32_t)a->max_outstanding;
		if (!parse_hash(a->key_sha256, b->key_sha256))
			option_errors_add(errors, 0, "accounts.key_sha256",
					  "of %s is not hex", a->name);
	}
}

static void convert_rules(const struct service_text *from,
			  struct service_spec *to, struct option_errors *errors)
{
	guint n = from->once_only->len;

	to->once_only.once_only_len = n;
	to->once_only.once_only_val = calloc(n + 1,
					     sizeof(struct call_pattern));
	for (guint i = 0; i < n; i++) {
		const char *text = from->once_only->pdata[i];
		const char *space = strchr(text, ' ');
		struct call_pattern *rule = &to->once_only.once_only_val[i];

		if (!space || space == text || space[1] != '/' ||
		    space - text > 15) {
			option_errors_add(errors, 0, "once_only",
					  "\"%s\" must be METHOD /path", text);
			rule->method = strdup("");
			rule->path_prefix = strdup("");
			continue;
		}
		rule->method = strndup(text, (size_t)(space - text));
		rule->path_prefix = strdup(space + 1);
	}
}

static void convert(const struct service_text *from, struct apply_service *to,
		    struct option_errors *errors)
{
	struct service_spec *spec = &to->spec;

	spec->name = strdup(from->name);
	spec->pool = strdup("");
	spec->is_plain = (uint32_t)from->kind;
	spec->model = strdup(from->model);
	spec->adapter = strdup(from->adapter);
	spec->vms_per_replica = (uint32_t)from->vms_per_replica;
	spec->accelerators_per_vm = (uint32_t)from->accelerators_per_vm;
	spec->cross_domain = (uint32_t)from->cross_domain;
	spec->downtime_weight = (uint32_t)from->downtime_weight;
	spec->stranded_weight = (uint32_t)from->stranded_weight;
	spec->on_control_loss = (uint32_t)from->on_control_loss;
	spec->slots_per_replica = (uint32_t)from->slots_per_replica;
	spec->deadline_ms = (uint32_t)from->deadline_ms;
	spec->booking_retention_s = (uint32_t)from->booking_keep_s;
	spec->booking_max = (uint32_t)from->booking_max;
	to->preset = strdup(from->preset);
	convert_presets(from, spec);
	convert_accounts(from, spec, errors);
	convert_rules(from, spec, errors);
}

enum rd_result service_settings_read(const char *file, const char *text,
				     struct apply_service *change,
				     char **errors)
{
	struct service_text read = { 0 };
	struct option_errors found;
	char *reasons = NULL;

	option_errors_init(&found, file);
	if (strlen(text) > RD_TEXT_MAX)
		option_errors_add(&found, 0, "file", "is over %d bytes",
				  RD_TEXT_MAX);
	(void)options_read_text(&service_group, text, &read, &found);
	convert(&read, change, &found);
	change->text = strdup(strlen(text) > RD_TEXT_MAX ? "" : text);
	if (!found.lines->len)
		reasons = service_validate(&change->spec, change->preset);
	if (reasons)
		option_errors_add(&found, 0, "service", "%s", reasons);
	g_free(reasons);
	options_clear(&service_group, &read);
	*errors = found.lines->len ? option_errors_text(&found) : NULL;
	option_errors_clear(&found);
	return *errors ? RD_SETTINGS : RD_OK;
}

void service_settings_print(GString *out)
{
	options_print(&service_group, out);
}
