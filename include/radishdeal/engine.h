/**
 * @file
 * Performance model of an inference engine, from the timings in the service's
 * specification.
 *
 * A replica works in passes. Each pass takes the configured number of decode
 * steps for all requests that are generating; prompts are prefilled in chunks
 * between them. All functions are pure and may be called from any thread.
 */
#ifndef RADISHDEAL_ENGINE_H
#define RADISHDEAL_ENGINE_H

#include <stdbool.h>
#include <stdint.h>

#include "wire/radishdeal.h"

/**
 * Mean number of passes until a request's first event: half a pass until the
 * next one starts, and that one, which emits the event.
 */
#define ENGINE_TTFT_PASSES 1.5

/** Whether the service specifies its engine's timings. */
bool engine_has_timings(const struct engine_spec *engine);

/**
 * Returns the duration in ms of one decode step with `running` requests that
 * are generating, each with `context_tokens` of context.
 */
double engine_step_ms(const struct engine_spec *engine, double running,
		      double context_tokens);

/** Returns the time in ms to prefill a prompt. */
double engine_prefill_ms(const struct engine_spec *engine,
			 double prompt_tokens);

/** The load on one replica. */
struct engine_load {
	double requests_per_ms;
	double prompt_tokens; /* mean per request */
	double answer_tokens; /* mean per request */
};

/**
 * Returns the utilization of a replica under a load, with all `slots` of its
 * batch in use, where its throughput is highest. Above 1 the replica is
 * overloaded.
 */
double engine_utilization(const struct engine_spec *engine,
			  const struct engine_load *load, double slots);

/**
 * Returns the expected time to the first token in ms. For an overloaded replica
 * the result exceeds that of any replica that is not, and grows with the
 * utilization.
 */
double engine_ttft_ms(const struct engine_spec *engine,
		      const struct engine_load *load, double slots);

#endif
