#include <glib.h>

#include <radishdeal/engine.h>

#define US_PER_MS 1e3
#define NS_PER_MS 1e6
#define MS_PER_S 1e3
#define TOKENS_PER_K 1e3
#define PAIRS_PER_M 1e6
#define PERMILLE 1e3
/* Above what a replica that keeps up takes. */
#define OVERLOADED_MS 1e5

bool engine_has_timings(const struct engine_spec *engine)
{
	return engine->step_us != 0;
}

static double pace(const struct engine_spec *engine)
{
	return engine->pace_permille ? engine->pace_permille / PERMILLE : 1;
}

double engine_step_ms(const struct engine_spec *engine, double running,
		      double context_tokens)
{
	double each = engine->step_request_us / US_PER_MS +
		      engine->step_context_ns / NS_PER_MS * context_tokens /
			      TOKENS_PER_K;

	return pace(engine) * (engine->step_us / US_PER_MS + running * each);
}

double engine_prefill_ms(const struct engine_spec *engine, double prompt_tokens)
{
	double pairs = prompt_tokens * prompt_tokens / 2;
	double ms = pairs / PAIRS_PER_M * engine->pairs_us / US_PER_MS;

	if (engine->read_per_s)
		ms += prompt_tokens * MS_PER_S / engine->read_per_s;
	return pace(engine) * ms;
}

/* Time in ms that each request adds to a step. */
static double request_step_ms(const struct engine_spec *engine,
			      const struct engine_load *load)
{
	double context = load->prompt_tokens + load->answer_tokens / 2;

	return engine_step_ms(engine, 1, context) -
	       engine_step_ms(engine, 0, context);
}

double engine_utilization(const struct engine_spec *engine,
			  const struct engine_load *load, double slots)
{
	double step = engine_step_ms(engine, 0, 0) +
		      slots * request_step_ms(engine, load);
	double read = engine_prefill_ms(engine, load->prompt_tokens);

	return load->requests_per_ms *
	       (read + load->answer_tokens * step / slots);
}

double engine_ttft_ms(const struct engine_spec *engine,
		      const struct engine_load *load, double slots)
{
	double read = engine_prefill_ms(engine, load->prompt_tokens);
	double writing = 1 - load->requests_per_ms * read;
	double fixed = engine_step_ms(engine, 0, 0);
	double each = request_step_ms(engine, load);
	double tokens, running, pass;

	if (writing <= 0)
		goto overloaded;
	/*
	 * With n requests in the batch a step takes fixed + n * each, and n
	 * grows until it yields the tokens that are asked for.
	 */
	tokens = load->requests_per_ms * load->answer_tokens / writing;
	if (tokens * each >= 1)
		goto overloaded;
	running = tokens * fixed / (1 - tokens * each);
	if (running > slots)
		goto overloaded;
	pass = MAX(engine->stride, 1) * (fixed + running * each) / writing;
	return ENGINE_TTFT_PASSES * pass + read;
overloaded:
	return OVERLOADED_MS * engine_utilization(engine, load, slots);
}
