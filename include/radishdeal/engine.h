/**
 * @file
 * How a model engine spends its time, by the figures that its service states.
 *
 * A replica works in passes: each takes the stated number of decoding steps
 * for all requests that write, and reads prompts in pieces between them. Pure
 * functions; any thread may call.
 */
#ifndef RADISHDEAL_ENGINE_H
#define RADISHDEAL_ENGINE_H

#include <stdbool.h>
#include <stdint.h>

#include "wire/radishdeal.h"

/** A request waits for half a pass, and the next makes its first event. */
#define ENGINE_TTFT_PASSES 1.5

/** Whether the service says how its engine spends its time. */
bool engine_has_timings(const struct engine_spec *engine);

/**
 * Time in ms of one decoding step with `running` requests that write, each
 * with so many tokens of context.
 */
double engine_step_ms(const struct engine_spec *engine, double running,
		      double context_tokens);

/** Time in ms to read a prompt. */
double engine_prefill_ms(const struct engine_spec *engine,
			 double prompt_tokens);

/** What one replica is asked for. */
struct engine_load {
	double requests_per_ms;
	double prompt_tokens; /* of one request */
	double answer_tokens;
};

/**
 * The share of a replica's time that a load needs with `slots` requests in
 * its batch, where it works fastest; above 1 it cannot keep up.
 */
double engine_utilization(const struct engine_spec *engine,
			  const struct engine_load *load, double slots);

/**
 * Expected time in ms from a request's arrival to its first event. Overloaded
 * replicas take longer than any other, the more so the more they lack.
 */
double engine_ttft_ms(const struct engine_spec *engine,
		      const struct engine_load *load, double slots);

#endif
