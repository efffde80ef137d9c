/*
 * Fake endpoints on the platform's interface: all VMs of a model's pool, or of
 * a plain service, in one process, each with an address of its own.
 */
#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "common/http.h"
#include "test/fakes/announcer.h"
#include "test/fakes/platform_vm.h"

#define US_PER_MS 1000
#define REVIVE_MS 1500

struct arguments {
	const char *network, *control_file, *log_file, *controls;
	int first, count;
	uint32_t seed;
	struct platform_pool pool;
};

enum long_option {
	OPTION_PLAIN = 0x100,
	OPTION_STEP,
	OPTION_PER_REQUEST,
	OPTION_CONTEXT,
	OPTION_READ,
	OPTION_CHUNK,
	OPTION_STRIDE,
	OPTION_SLOTS,
	OPTION_QUEUE,
	OPTION_CACHE,
	OPTION_LOAD,
	OPTION_WARM,
	OPTION_OPEN,
	OPTION_STALL,
};

static const struct argp_option options[] = {
	{ "network", 'h', "IP", 0, "first three parts of the addresses", 0 },
	{ "first", 'f', "N", 0, "last part of the first VM's address", 0 },
	{ "count", 'm', "N", 0, "number of VMs", 0 },
	{ "service", 'n', "NAME", 0, "name of the service", 0 },
	{ "controls", 'e', "IP:PORT,...", 0, "control VMs", 0 },
	{ "control", 'c', "FILE", 0, "file for the control address", 0 },
	{ "log", 'o', "FILE", 0, "log of requests and groups", 0 },
	{ "heartbeat-ms", 'b', "MS", 0, "between two heartbeats", 0 },
	{ "seed", 's', "N", 0, "of the delays", 0 },
	{ "plain-ms", OPTION_PLAIN, "MS", 0, "plain service: time of a call",
	  0 },
	{ "step-ms", OPTION_STEP, "MS", 0, "token step", 0 },
	{ "per-request-ms", OPTION_PER_REQUEST, "MS", 0,
	  "added to a step by a request", 0 },
	{ "context-ms", OPTION_CONTEXT, "MS", 0,
	  "added to a step by 1000 tokens of context", 0 },
	{ "read-per-s", OPTION_READ, "TOKENS", 0, "prefill speed", 0 },
	{ "chunk", OPTION_CHUNK, "TOKENS", 0, "prefill in a step", 0 },
	{ "stride", OPTION_STRIDE, "STEPS", 0, "token steps of a pass", 0 },
	{ "slots", OPTION_SLOTS, "N", 0, "requests of a group at once", 0 },
	{ "queue", OPTION_QUEUE, "N", 0, "requests that wait", 0 },
	{ "cache", OPTION_CACHE, "TOKENS", 0, "memory of a group", 0 },
	{ "load-ms", OPTION_LOAD, "MS", 0, "load of weights", 0 },
	{ "warm-ms", OPTION_WARM, "MS", 0, "join with staged weights", 0 },
	{ "open-ms", OPTION_OPEN, "MS", 0, "from an open order to open", 0 },
	{ "stall-ms", OPTION_STALL, "MS", 0,
	  "from the loss of a member to broken", 0 },
	{ 0 }
};

static error_t parse_engine(int key, const char *arg,
			    struct platform_engine_opts *e)
{
	switch (key) {
	case OPTION_STEP:
		e->step_ms = g_ascii_strtod(arg, NULL);
		break;
	case OPTION_PER_REQUEST:
		e->per_request_ms = g_ascii_strtod(arg, NULL);
		break;
	case OPTION_CONTEXT:
		e->context_ms_per_k = g_ascii_strtod(arg, NULL);
		break;
	case OPTION_READ:
		e->prefill_tokens_per_s = g_ascii_strtod(arg, NULL);
		break;
	case OPTION_CHUNK:
		e->prefill_chunk_tokens = atoi(arg);
		break;
	case OPTION_STRIDE:
		e->steps_per_pass = atoi(arg);
		break;
	case OPTION_SLOTS:
		e->slots = atoi(arg);
		break;
	case OPTION_QUEUE:
		e->queue = atoi(arg);
		break;
	case OPTION_CACHE:
		e->cache_tokens = atoi(arg);
		break;
	case OPTION_LOAD:
		e->load_ms = atoi(arg);
		break;
	case OPTION_WARM:
		e->warm_ms = atoi(arg);
		break;
	case OPTION_OPEN:
		e->open_ms = atoi(arg);
		break;
	case OPTION_STALL:
		e->stall_ms = atoi(arg);
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static error_t parse_argument(int key, char *arg, struct argp_state *state)
{
	struct arguments *a = state->input;

	switch (key) {
	case 'h':
		a->network = arg;
		break;
	case 'f':
		a->first = atoi(arg);
		break;
	case 'm':
		a->count = atoi(arg);
		break;
	case 'n':
		a->pool.service = arg;
		break;
	case 'e':
		a->controls = arg;
		break;
	case 'c':
		a->control_file = arg;
		break;
	case 'o':
		a->log_file = arg;
		break;
	case 'b':
		a->pool.heartbeat_ms = atoi(arg);
		break;
	case 's':
		a->seed = (uint32_t)strtoul(arg, NULL, 10);
		break;
	case OPTION_PLAIN:
		a->pool.plain = true;
		a->pool.plain_ms = atoi(arg);
		break;
	default:
		return parse_engine(key, arg, &a->pool.engine);
	}
	return 0;
}

static const struct argp argp = { .options = options,
				  .parser = parse_argument };

/* ---- the control port ---- */

static int64_t after_ms(int ms)
{
	return fake_now_us() + ms * (int64_t)US_PER_MS;
}

static bool change_vm(struct platform_vm *vm, const char *what, int ms)
{
	if (!strcmp(what, "pause"))
		vm->paused_until_us = after_ms(ms);
	else if (!strcmp(what, "dark"))
		vm->dark_until_us = after_ms(ms);
	else if (!strcmp(what, "hold"))
		vm->held_until_us = after_ms(ms);
	else if (!strcmp(what, "skip-beats"))
		platform_beats_delay(vm->beats, -1, after_ms(ms));
	else if (g_str_has_prefix(what, "late-beats:"))
		platform_beats_delay(vm->beats, atoi(strchr(what, ':') + 1),
				     after_ms(ms));
	else if (g_str_has_prefix(what, "slow:")) {
		vm->slow = g_ascii_strtod(strchr(what, ':') + 1, NULL);
		vm->slow_until_us = after_ms(ms);
	} else if (g_str_has_prefix(what, "limit:")) {
		vm->limit = g_ascii_strtod(strchr(what, ':') + 1, NULL);
		vm->limited_until_us = after_ms(ms);
		vm->limit_named = false;
	} else if (g_str_has_prefix(what, "cut:") ||
		   g_str_has_prefix(what, "reset:")) {
		vm->pool->cut_pid = (pid_t)atoi(strchr(what, ':') + 1);
		vm->pool->cut_resets = *what == 'r';
		vm->pool->cut_until_us = after_ms(ms);
	} else if (!strcmp(what, "crash"))
		platform_vm_crash_for(vm, REVIVE_MS);
	else
		return false;
	platform_log(vm, "change",
		     json_pack("{s:s,s:i}", "what", what, "ms", ms));
	return true;
}

/*
 * POST /set?vm=N|all&what=CHANGE&ms=DURATION. N counts from 0. CHANGE: pause,
 * dark, hold, skip-beats, late-beats:MS, slow:FACTOR, limit:PER_S, crash; and
 * of the whole pool cut:PID, reset:PID: what that process sends isn't read, or
 * its connections are reset.
 */
static void handle_control(struct evhttp_request *req, void *ctx)
{
	struct platform_pool *pool = ctx;
	char *number = http_query(req, "vm");
	char *what = http_query(req, "what");
	char *ms = http_query(req, "ms");
	int changed = 0;

	for (guint i = 0; number && what && i < pool->vms->len; i++)
		if (!strcmp(number, "all") || atoi(number) == (int)i)
			changed += change_vm(pool->vms->pdata[i], what,
					     ms ? atoi(ms) : 0);
	http_send_json(req, changed ? 200 : 404,
		       json_pack("{s:i}", "changed", changed));
	g_free(number);
	g_free(what);
	g_free(ms);
}

int main(int argc, char **argv)
{
	struct arguments a = {
		.network = "127.0.0",
		.first = 100,
		.count = 2,
		.seed = 1,
		.pool = { .service = "models",
			  .zone = "a",
			  .heartbeat_ms = 500,
			  .engine = { .step_ms = 6,
				      .per_request_ms = 0.25,
				      .context_ms_per_k = 0.005,
				      .prefill_tokens_per_s = 46000,
				      .prefill_chunk_tokens = 2048,
				      .steps_per_pass = 5,
				      .slots = 26,
				      .queue = 8,
				      .cache_tokens = 1400000,
				      .load_ms = 1600,
				      .warm_ms = 160,
				      .open_ms = 300,
				      .stall_ms = 5000 } },
	};
	char *host, control[64];

	argp_parse(&argp, argc, argv, 0, NULL, &a);
	if (!a.controls || !a.control_file) {
		fprintf(stderr, "--controls and --control are required\n");
		return 1;
	}
	signal(SIGPIPE, SIG_IGN);
	a.pool.base = event_base_new();
	a.pool.vms = g_ptr_array_new();
	a.pool.random = g_rand_new_with_seed(a.seed);
	a.pool.controls = g_strsplit(a.controls, ",", 0);
	if (a.log_file)
		a.pool.log = fopen(a.log_file, "a");
	for (int i = 0; i < a.count; i++) {
		host = g_strdup_printf("%s.%d", a.network, a.first + i);
		platform_vm_add(&a.pool, host);
		g_free(host);
	}
	host = g_strdup_printf("%s.%d", a.network, a.first);
	fake_listen(a.pool.base, host, handle_control, &a.pool, control,
		    sizeof(control));
	fake_write_address(a.control_file, control);
	g_free(host);
	event_base_dispatch(a.pool.base);
	return 0;
}
