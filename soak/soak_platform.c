/*
 * Runs daemons on the platform's interface, with model replicas and under load,
 * through seeded series of signals, restarts, changes and faults.
 * usage: soak_platform SEED SEEDS SECONDS [OPTION...]
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "soak/soak.h"

#define MS_PER_S 1000

struct arguments {
	uint32_t first, seeds;
	struct soak_opts opts;
};

enum long_option {
	OPTION_FAULTS = 0x100,
	OPTION_NO_STOPS,
	OPTION_CONTROL_STOPS,
	OPTION_VMS,
	OPTION_PLAIN_VMS,
	OPTION_SHOW,
	OPTION_STRIDE,
};

static const struct argp_option options[] = {
	{ "daemon", 'd', "PATH", 0, "radishdeald of another build", 0 },
	{ "callers", 'c', "N", 0, "number of callers", 0 },
	{ "busy", 'b', "N", 0, "processes that spin", 0 },
	{ "vms", OPTION_VMS, "N", 0, "VMs of the model's pool", 0 },
	{ "plain-vms", OPTION_PLAIN_VMS, "N", 0, "VMs of the plain service",
	  0 },
	{ "faults", OPTION_FAULTS, "LIST", 0,
	  "of endpoints: all, or some of stop, pause, hold, late, slow, crash, "
	  "dark, limit, links, bad",
	  0 },
	{ "stride", OPTION_STRIDE, "N", 0, "tokens of an event", 0 },
	{ "control-stops", OPTION_CONTROL_STOPS, NULL, 0,
	  "in half of the seeds, control VMs are stopped too", 0 },
	{ "show", OPTION_SHOW, "N", 0, "findings printed at most, 0 for all",
	  0 },
	{ "no-stops", OPTION_NO_STOPS, NULL, 0, "no stops and changes", 0 },
	{ 0 }
};

static void parse_positional(struct arguments *a, int index, const char *arg)
{
	if (index == 0)
		a->first = (uint32_t)strtoul(arg, NULL, 10);
	else if (index == 1)
		a->seeds = (uint32_t)strtoul(arg, NULL, 10);
	else
		a->opts.duration_ms = atoi(arg) * MS_PER_S;
}

static error_t parse_argument(int key, char *arg, struct argp_state *state)
{
	struct arguments *a = state->input;
	struct soak_platform_opts *platform = &a->opts.platform;

	switch (key) {
	case 'd':
		platform->daemon = realpath(arg, NULL);
		if (!platform->daemon)
			argp_failure(state, 1, 0, "%s: not found", arg);
		break;
	case 'c':
		a->opts.callers = atoi(arg);
		break;
	case 'b':
		platform->busy = atoi(arg);
		break;
	case OPTION_VMS:
		platform->vms = atoi(arg);
		break;
	case OPTION_PLAIN_VMS:
		platform->plain_vms = atoi(arg);
		break;
	case OPTION_FAULTS:
		if (!platform_faults_known(arg))
			argp_failure(state, 1, 0, "--faults %s: unknown", arg);
		platform->faults = arg;
		break;
	case OPTION_CONTROL_STOPS:
		platform->control_stops = true;
		break;
	case OPTION_STRIDE:
		platform->stride = atoi(arg);
		break;
	case OPTION_SHOW:
		a->opts.shown = (guint)strtoul(arg, NULL, 10);
		break;
	case OPTION_NO_STOPS:
		platform->stops = false;
		break;
	case ARGP_KEY_ARG:
		parse_positional(a, (int)state->arg_num, arg);
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static const struct argp argp = { .options = options,
				  .parser = parse_argument,
				  .args_doc = "SEED SEEDS SECONDS" };

int main(int argc, char **argv)
{
	struct arguments a = {
		.first = 1,
		.seeds = 1,
		.opts = { .rig = &platform_rig,
			  .duration_ms = 20 * MS_PER_S,
			  .callers = 80,
			  .shown = 5,
			  .platform = { .vms = 12,
					.plain_vms = 3,
					.stride = 5,
					.stops = true } },
	};
	uint32_t failed = 0;

	argp_parse(&argp, argc, argv, 0, NULL, &a);
	signal(SIGPIPE, SIG_IGN);
	for (uint32_t seed = a.first; seed < a.first + a.seeds; seed++) {
		struct soak_result result;

		a.opts.seed = seed;
		soak_run(&a.opts, &result);
		failed += result.findings->len != 0;
		soak_result_clear(&result);
	}
	printf("%u seeds, %u failed\n", a.seeds, failed);
	return failed != 0;
}
