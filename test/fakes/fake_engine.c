/*
 * Fake model engine: one process acts as the VMs of one or more fabric domains.
 * Its control port kills, revives, pauses, resumes and slows down VMs, and
 * makes them leave.
 */
#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "test/fakes/engine.h"

struct arguments {
	struct engine_opts engine;
	const char *domains; /* DC/DOMAIN:COUNT,... */
	const char *prefix;
	const char *entries;
	const char *key_file;
	const char *control_file;
	int accelerators;
};

static const struct argp_option options[] = {
	{ "host", 'h', "IP", 0, "address to listen on", 0 },
	{ "domains", 'd', "DC/DOMAIN:N,...", 0, "VMs in each domain", 0 },
	{ "prefix", 'p', "TEXT", 0, "start of the VMs' names", 0 },
	{ "entries", 'e', "IP:PORT,...", 0, "entries to announce to at first",
	  0 },
	{ "key", 'k', "FILE", 0, "key for announcing", 0 },
	{ "control", 'c', "FILE", 0, "file to write the control address to",
	  0 },
	{ "accelerators", 'a', "N", 0, "accelerators of each VM", 0 },
	{ "step-us", 's', "US", 0, "duration of a decode step", 0 },
	{ "prefill-us", 'f', "US", 0, "prefill time of a prompt token", 0 },
	{ "load-ms", 'l', "MS", 0, "time to load weights", 0 },
	{ "store-loads", 'w', "N", 0, "concurrent weight loads", 0 },
	{ "cache-parts", 'm', "N", 0, "prompt blocks cached by a replica", 0 },
	{ "cache-loss", 'x', "N", 0, "lose every Nth cache report", 0 },
	{ "ignore-fencing", 'i', NULL, 0, "obey orders with any fencing token",
	  0 },
	{ "crash-text", 't', "TEXT", 0,
	  "a prompt with it ends the VM that begins to answer", 0 },
	{ "log", 'o', "FILE", 0, "log of orders and requests", 0 },
	{ 0 }
};

static error_t parse_argument(int key, char *arg, struct argp_state *state)
{
	struct arguments *a = state->input;

	switch (key) {
	case 'h':
		a->engine.host = arg;
		break;
	case 'd':
		a->domains = arg;
		break;
	case 'p':
		a->prefix = arg;
		break;
	case 'e':
		a->entries = arg;
		break;
	case 'k':
		a->key_file = arg;
		break;
	case 'c':
		a->control_file = arg;
		break;
	case 'a':
		a->accelerators = atoi(arg);
		break;
	case 's':
		a->engine.step_us = atoi(arg);
		break;
	case 'f':
		a->engine.prefill_us = atoi(arg);
		break;
	case 'l':
		a->engine.load_ms = atoi(arg);
		break;
	case 'w':
		a->engine.max_loads = atoi(arg);
		break;
	case 'm':
		a->engine.cache_blocks = atoi(arg);
		break;
	case 'x':
		a->engine.cache_report_loss = atoi(arg);
		break;
	case 'i':
		a->engine.checks_fencing = false;
		break;
	case 't':
		a->engine.crash_text = arg;
		break;
	case 'o':
		a->engine.log_path = arg;
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static const struct argp argp = { .options = options,
				  .parser = parse_argument };

/* ---- a VM ---- */

static void handle(struct evhttp_request *req, void *ctx)
{
	struct engine_vm *vm = ctx;
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));

	if (!vm->alive || vm->paused)
		return; /* never answered */
	if (!strcmp(path, "/v1/order"))
		engine_handle_order(vm, req);
	else if (!strcmp(path, "/v1/chat/completions"))
		batch_add_request(vm, req);
	else
		http_send_json(req, 404, json_pack("{s:s}", "error", "path"));
}

static const struct engine_vm *head_of(const struct engine_vm *vm)
{
	if (!vm->members || !vm->members->len)
		return vm;
	return engine_find_vm(vm->engine, vm->members->pdata[0]);
}

static json_t *cache_report(struct engine_vm *vm)
{
	int every = vm->engine->opts.cache_report_loss;
	json_t *report;

	if (every && ++vm->reports % every == 0) {
		json_array_clear(vm->stored);
		json_array_clear(vm->dropped);
		vm->cache_gap = true;
	}
	report = json_pack("{s:b,s:o,s:o}", "reset", vm->cache_gap, "stored",
			   vm->stored, "dropped", vm->dropped);
	vm->cache_gap = false;
	vm->stored = json_array();
	vm->dropped = json_array();
	return report;
}

static json_t *announcement(void *ctx)
{
	struct engine_vm *vm = ctx;
	const struct engine_vm *head = head_of(vm);
	int running = 0, waiting = 0;
	json_t *body;

	if (!vm->alive || vm->paused)
		return NULL;
	if (head)
		batch_count(head->batch, &running, &waiting);
	body = json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:I,s:I,s:b,s:b,s:b,s:I,s:I,s:I,"
		"s:s,s:s,s:s,s:{s:i,s:i,s:i},s:o}",
		"vm", vm->name, "address", vm->address, "data_centre",
		vm->data_centre, "domain", vm->domain, "accelerators",
		vm->accelerators, "incarnation", (json_int_t)vm->incarnation,
		"sequence", (json_int_t)++vm->sequence, "checks_fencing",
		vm->engine->opts.checks_fencing, "ready", vm->ready, "leaving",
		vm->leaving, "replica", (json_int_t)vm->replica, "epoch",
		(json_int_t)vm->epoch, "fencing", (json_int_t)vm->fencing,
		"model", vm->model, "adapter", vm->adapter, "version",
		vm->version, "load", "running", running, "waiting", waiting,
		"step_us", (int)(vm->engine->opts.step_us * vm->step_factor),
		"cache", cache_report(vm));
	return body;
}

static void add_vm(struct engine *engine, const struct arguments *a,
		   const char *centre, const char *domain, int number,
		   const char *const *entries, const char *key)
{
	struct engine_vm *vm = g_new0(struct engine_vm, 1);
	struct announcer_opts opts = {
		.base = engine->base,
		.entries = entries,
		.key = key,
		.first_delay_ms = number % 10,
		.body = announcement,
		.ctx = vm,
	};

	vm->engine = engine;
	g_snprintf(vm->name, sizeof(vm->name), "%s%s-%d", a->prefix, domain,
		   number);
	g_strlcpy(vm->data_centre, centre, sizeof(vm->data_centre));
	g_strlcpy(vm->domain, domain, sizeof(vm->domain));
	vm->accelerators = a->accelerators;
	vm->alive = true;
	vm->step_factor = 1;
	vm->slots = 1;
	vm->incarnation = fake_now_us() / 1000;
	vm->cache = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					  NULL);
	g_queue_init(&vm->cache_order);
	vm->stored = json_array();
	vm->dropped = json_array();
	vm->http = fake_listen(engine->base, a->engine.host, handle, vm,
			       vm->address, sizeof(vm->address));
	vm->load_timer = engine_load_timer(vm);
	vm->announcer = announcer_create(&opts);
	g_ptr_array_add(engine->vms, vm);
}

static void add_vms(struct engine *engine, const struct arguments *a,
		    const char *const *entries, const char *key)
{
	char **groups = g_strsplit(a->domains, ",", 0);

	for (int i = 0; groups[i]; i++) {
		char centre[64], domain[64];
		int count = 0;

		if (sscanf(groups[i], "%63[^/]/%63[^:]:%d", centre, domain,
			   &count) != 3) {
			fprintf(stderr,
				"--domains: expected DC/DOMAIN:N, got %s\n",
				groups[i]);
			exit(1);
		}
		for (int j = 0; j < count; j++)
			add_vm(engine, a, centre, domain, j, entries, key);
	}
	g_strfreev(groups);
}

/* ---- the control port ---- */

static void revive_vm(struct engine_vm *vm)
{
	vm->alive = true;
	vm->leaving = false;
	vm->incarnation = MAX(vm->incarnation + 1, fake_now_us() / 1000);
	vm->sequence = 0;
	vm->fencing = 0;
	*vm->model = *vm->adapter = *vm->version = '\0';
	g_hash_table_remove_all(vm->cache);
	g_queue_clear(&vm->cache_order);
	vm->cache_gap = true;
}

static bool change_vm(struct engine_vm *vm, const char *what)
{
	if (!strcmp(what, "kill"))
		engine_kill_vm(vm);
	else if (!strcmp(what, "revive"))
		revive_vm(vm);
	else if (!strcmp(what, "pause"))
		vm->paused = true;
	else if (!strcmp(what, "resume"))
		vm->paused = false;
	else if (!strcmp(what, "leave"))
		vm->leaving = true;
	else if (g_str_has_prefix(what, "straggle:"))
		vm->step_factor = g_ascii_strtod(strchr(what, ':') + 1, NULL);
	else
		return false;
	fake_log(vm->engine->log,
		 json_pack("{s:I,s:s,s:s,s:s}", "t_us",
			   (json_int_t)fake_now_us(), "event", "change", "vm",
			   vm->name, "what", what));
	if (vm->alive && !vm->paused)
		announcer_send_now(vm->announcer);
	return true;
}

static json_t *list_vms(const struct engine *engine)
{
	json_t *list = json_array();

	for (guint i = 0; i < engine->vms->len; i++) {
		const struct engine_vm *vm = engine->vms->pdata[i];

		json_array_append_new(
			list,
			json_pack("{s:s,s:s,s:s,s:b,s:b,s:I,s:I}", "vm",
				  vm->name, "domain", vm->domain, "address",
				  vm->address, "alive", vm->alive, "ready",
				  vm->ready, "replica", (json_int_t)vm->replica,
				  "epoch", (json_int_t)vm->epoch));
	}
	return list;
}

/*
 * POST /set?vm=NAME&what=CHANGE, or domain=NAME for all VMs of a domain.
 * CHANGE: kill, revive, pause, resume, leave, straggle:FACTOR.
 */
static void change_vms(struct engine *engine, struct evhttp_request *req)
{
	char *name = http_query(req, "vm");
	char *domain = http_query(req, "domain");
	char *what = http_query(req, "what");
	int changed = 0;

	for (guint i = 0; what && i < engine->vms->len; i++) {
		struct engine_vm *vm = engine->vms->pdata[i];

		if ((name && !strcmp(name, vm->name)) ||
		    (domain && !strcmp(domain, vm->domain)))
			changed += change_vm(vm, what);
	}
	http_send_json(req, changed ? 200 : 404,
		       json_pack("{s:i}", "changed", changed));
	g_free(name);
	g_free(domain);
	g_free(what);
}

static void handle_control(struct evhttp_request *req, void *ctx)
{
	struct engine *engine = ctx;
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));

	if (!strcmp(path, "/set"))
		change_vms(engine, req);
	else
		http_send_json(req, 200, list_vms(engine));
}

int main(int argc, char **argv)
{
	struct arguments a = {
		.engine = { .host = "127.0.0.1",
			    .step_us = 10000,
			    .prefill_us = 20,
			    .load_ms = 300,
			    .max_loads = 4,
			    .cache_blocks = 2000,
			    .checks_fencing = true },
		.domains = "a/a1:2",
		.prefix = "vm-",
		.accelerators = 8,
	};
	struct engine engine = { .vms = g_ptr_array_new() };
	char control[64];
	char **entries;

	argp_parse(&argp, argc, argv, 0, NULL, &a);
	if (!a.entries || !a.key_file || !a.control_file) {
		fprintf(stderr, "--entries, --key and --control are "
				"required\n");
		return 1;
	}
	signal(SIGPIPE, SIG_IGN);
	engine.opts = a.engine;
	engine.base = event_base_new();
	if (a.engine.log_path)
		engine.log = fopen(a.engine.log_path, "a");
	entries = g_strsplit(a.entries, ",", 0);
	add_vms(&engine, &a, (const char *const *)entries,
		fake_read_key(a.key_file));
	fake_listen(engine.base, a.engine.host, handle_control, &engine,
		    control, sizeof(control));
	fake_write_address(a.control_file, control);
	event_base_dispatch(engine.base);
	return 0;
}
