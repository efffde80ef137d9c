#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <radishdeal/state.h>

#include "settings/options.h"
#include "settings/service.h"

#define SHA256_BYTES 32

/* Filled by the option tables and converted to a service_spec. */
struct parsed_preset {
	char *name;
	int64_t replicas;
	char *version;
	bool admit;
};

struct parsed_account {
	char *name;
	char *key_sha256;
	int64_t weight;
	int64_t priority;
	int64_t max_outstanding;
};

struct parsed_service {
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
static const char *const cross_domain_names[] = { "never", "last-resort",
						  NULL };
static const char *const control_loss_names[] = { "refuse", "serve", NULL };

static const struct option_spec preset_options[] = {
	{ .key = "name",
	  .type = OPT_STRING,
	  .offset = offsetof(struct parsed_preset, name),
	  .min = 1,
	  .max = 63,
	  .required = TRUE,
	  .help = "name, such as ordinary, peak or maintenance" },
	{ .key = "replicas",
	  .type = OPT_INT,
	  .offset = offsetof(struct parsed_preset, replicas),
	  .max = 100000,
	  .required = TRUE,
	  .help = "target number of replicas" },
	{ .key = "version",
	  .type = OPT_STRING,
	  .offset = offsetof(struct parsed_preset, version),
	  .max = 63,
	  .help = "version of the model's weights" },
	{ .key = "admit",
	  .type = OPT_BOOL,
	  .offset = offsetof(struct parsed_preset, admit),
	  .default_value = 1,
	  .help = "whether new requests are admitted" },
	{ 0 }
};
static const struct option_group preset_group = { "preset",
						  sizeof(struct parsed_preset),
						  preset_options };

static const struct option_spec account_options[] = {
	{ .key = "name",
	  .type = OPT_STRING,
	  .offset = offsetof(struct parsed_account, name),
	  .min = 1,
	  .max = 63,
	  .required = TRUE,
	  .help = "name of the client account" },
	{ .key = "key_sha256",
	  .type = OPT_STRING,
	  .offset = offsetof(struct parsed_account, key_sha256),
	  .min = 64,
	  .max = 64,
	  .required = TRUE,
	  .help = "SHA-256 of the account's key, in hex" },
	{ .key = "weight",
	  .type = OPT_INT,
	  .offset = offsetof(struct parsed_account, weight),
	  .min = 1,
	  .max = 1000000,
	  .default_value = 1,
	  .help = "share of the service under contention" },
	{ .key = "priority",
	  .type = OPT_INT,
	  .offset = offsetof(struct parsed_account, priority),
	  .max = 9,
	  .default_value = 5,
	  .help = "priority of its requests; 0 is served first" },
	{ .key = "max_outstanding",
	  .type = OPT_INT,
	  .offset = offsetof(struct parsed_account, max_outstanding),
	  .max = 1000000,
	  .help = "limit of requests in flight over all entries; 0: no limit" },
	{ 0 }
};
static const struct option_group account_group = {
	"account", sizeof(struct parsed_account), account_options
};

#define FIELD(field) offsetof(struct parsed_service, field)
#define INT_OPTION(name, low, high, initial, units, text)                \
	{                                                                \
		.key = #name, .type = OPT_INT, .offset = FIELD(name),    \
		.min = (low), .max = (high), .default_value = (initial), \
		.unit = (units), .help = (text)                          \
	}
#define STRING_OPTION(name, is_required, text)                           \
	{                                                                \
		.key = #name, .type = OPT_STRING, .offset = FIELD(name), \
		.max = 63, .required = (is_required), .help = (text)     \
	}
#define CHOICE_OPTION(name, list, text)                                  \
	{                                                                \
		.key = #name, .type = OPT_CHOICE, .offset = FIELD(name), \
		.choices = (list), .help = (text)                        \
	}
static const struct option_spec service_options[] = {
	STRING_OPTION(name, TRUE, "name of the service"),
	CHOICE_OPTION(kind, kind_names, "kind of its endpoints"),
	STRING_OPTION(model, FALSE, "model to load"),
	STRING_OPTION(adapter, FALSE, "adapter to load with the model"),
	INT_OPTION(vms_per_replica, 1, 64, 1, NULL,
		   "number of VMs of a replica"),
	INT_OPTION(accelerators_per_vm, 0, 1024, 0, NULL,
		   "accelerators required of each VM"),
	CHOICE_OPTION(cross_domain, cross_domain_names,
		      "whether a replica may span fabric domains"),
	INT_OPTION(downtime_weight, 1, 1000000, 10, NULL,
		   "cost of a missing replica per minute"),
	INT_OPTION(stranded_weight, 0, 1000000, 1, NULL,
		   "cost of an idle accelerator per minute"),
	CHOICE_OPTION(on_control_loss, control_loss_names,
		      "whether entries serve while no leader is reachable"),
	INT_OPTION(slots_per_replica, 1, 100000, 16, NULL,
		   "requests that a replica processes concurrently"),
	INT_OPTION(deadline_ms, 1, 86400000, 60000, "ms",
		   "deadline of requests that give none"),
	INT_OPTION(booking_keep_s, 1, 31536000, 86400, "s",
		   "how long responses to bookings are kept"),
	INT_OPTION(booking_max, 1, 1000000, 10000, NULL,
		   "bookings kept per client account"),
	STRING_OPTION(preset, FALSE,
		      "preset in force when the service is created"),
	{ .key = "once_only",
	  .type = OPT_STRINGS,
	  .offset = FIELD(once_only),
	  .min = 3,
	  .max = 255,
	  .help = "calls that must not be retried, as METHOD /path/prefix" },
	{ .key = "presets",
	  .type = OPT_TABLES,
	  .offset = FIELD(presets),
	  .min = 1,
	  .max = 8,
	  .subtable = &preset_group,
	  .required = TRUE,
	  .help = "presets" },
	{ .key = "accounts",
	  .type = OPT_TABLES,
	  .offset = FIELD(accounts),
	  .max = 256,
	  .subtable = &account_group,
	  .help = "client accounts" },
	{ 0 }
};
static const struct option_group service_group = {
	"service", sizeof(struct parsed_service), service_options
};

static void convert_presets(const struct parsed_service *from,
			    struct service_spec *to)
{
	guint n = from->presets->len;

	to->presets.presets_len = n;
	to->presets.presets_val = calloc(n + 1, sizeof(struct preset_spec));
	for (guint i = 0; i < n; i++) {
		const struct parsed_preset *p = from->presets->pdata[i];
		struct preset_spec *q = &to->presets.presets_val[i];

		q->name = strdup(p->name);
		q->replicas = (uint32_t)p->replicas;
		q->model_version = strdup(p->version);
		q->admit = p->admit;
	}
}

static bool parse_sha256(const char *hex, char *out)
{
	/* The text is empty if options_read() rejected its length. */
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

static void convert_accounts(const struct parsed_service *from,
			     struct service_spec *to,
			     struct option_errors *errors)
{
	guint n = from->accounts->len;

	to->accounts.accounts_len = n;
	to->accounts.accounts_val = calloc(n + 1, sizeof(struct account_spec));
	for (guint i = 0; i < n; i++) {
		const struct parsed_account *a = from->accounts->pdata[i];
		struct account_spec *b = &to->accounts.accounts_val[i];

		b->name = strdup(a->name);
		b->weight = (uint32_t)a->weight;
		b->priority = (uint32_t)a->priority;
		b->max_outstanding = (uint32_t)a->max_outstanding;
		if (!parse_sha256(a->key_sha256, b->key_sha256))
			option_errors_add(errors, 0, "accounts.key_sha256",
					  "of %s is not hex", a->name);
	}
}

static void convert_once_only(const struct parsed_service *from,
			      struct service_spec *to,
			      struct option_errors *errors)
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

static void convert_service(const struct parsed_service *from,
			    struct apply_service *to,
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
	convert_once_only(from, spec, errors);
}

enum rd_result service_settings_read(const char *file, const char *text,
				     struct apply_service *change,
				     char **errors)
{
	struct parsed_service parsed = { 0 };
	struct option_errors collected;
	char *reasons = NULL;

	option_errors_init(&collected, file);
	if (strlen(text) > RD_TEXT_MAX)
		option_errors_add(&collected, 0, "file", "is over %d bytes",
				  RD_TEXT_MAX);
	(void)options_read_text(&service_group, text, &parsed, &collected);
	convert_service(&parsed, change, &collected);
	change->text = strdup(strlen(text) > RD_TEXT_MAX ? "" : text);
	if (!collected.lines->len)
		reasons = service_validate(&change->spec, change->preset);
	if (reasons)
		option_errors_add(&collected, 0, "service", "%s", reasons);
	g_free(reasons);
	options_clear(&service_group, &parsed);
	*errors = collected.lines->len ? option_errors_text(&collected) : NULL;
	option_errors_clear(&collected);
	return *errors ? RD_SETTINGS : RD_OK;
}

void service_settings_append_reference(GString *out)
{
	options_append_reference(&service_group, out);
}
