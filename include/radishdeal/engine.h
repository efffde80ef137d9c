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

/** Whether the service says how its engine spends its time. */
bool engine_is_known(const struct engine_spec *engine);

/**
 * Time in ms of one decoding step with `running` requests that write, each
 * with so many tokens of context.
 */
double engine_step_ms(const struct engine_spec *engine, double running,
		      double context_tokens);

/** Time in ms to read a prompt. */
double engine_read_ms(const struct engine_spec *engine, double prompt_tokens);

/**
 * Time in ms that a replica gives to one request of the usual size if it
 * always has `running` of them.
 */
double engine_usual_ms(const struct engine_spec *engine, double running);

#endif
