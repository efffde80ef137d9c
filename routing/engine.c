#include <glib.h>

#include <radishdeal/engine.h>

#define US_PER_MS 1e3
#define NS_PER_MS 1e6
#define MS_PER_S 1e3
#define TOKENS_PER_K 1e3
#define PAIRS_PER_M 1e6
#define PERMILLE 1e3
/* Exceeds the time to first token of any replica that is not overloaded. */
#define OVERLOADED_TTFT_MS 1e5

bool engine_has_timings(const struct engine_spec *engine)
{
	return engine->step_us != 0;
}

static double time_factor(const struct engine_spec *engine)
{
	return engine->time_scale_permille
		       ? engine->time_scale_permille / PERMILLE
		       : 1;
}

double engine_step_ms(const struct engine_spec *engine, double running,
		      double context_tokens)
{
	double each = engine->step_request_us / US_PER_MS +
		      engine->step_context_ns / NS_PER_MS * context_tokens /
			      TOKENS_PER_K;

	return time_factor(engine) *
	       (engine->step_us / US_PER_MS + running * each);
}

double engine_prefill_ms(const struct engine_spec *engine, double prompt_tokens)
{
	double pairs = prompt_tokens * prompt_tokens / 2;
	double ms = pairs / PAIRS_PER_M * engine->attention_us_per_m_pairs /
		    US_PER_MS;

	if (engine->prefill_tokens_per_s)
		ms += prompt_tokens * MS_PER_S / engine->prefill_tokens_per_s;
	return time_factor(engine) * ms;
}

/* Returns the time in ms that each request adds to a decode step. */
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
	double prefill = engine_prefill_ms(engine, load->prompt_tokens);

	return load->requests_per_ms *
	       (prefill + load->answer_tokens * step / slots);
}

double engine_ttft_ms(const struct engine_spec *engine,
		      const struct engine_load *load, double slots)
{
	double prefill = engine_prefill_ms(engine, load->prompt_tokens);
	double decode_share = 1 - load->requests_per_ms * prefill;
	double fixed = engine_step_ms(engine, 0, 0);
	double each = request_step_ms(engine, load);
	double token_rate, running, pass;

	if (decode_share <= 0)
		goto overloaded;
	/*
	 * A step with n requests in the batch takes fixed + n * each. In
	 * equilibrium n is such that steps yield the requested token rate.
	 */
	token_rate = load->requests_per_ms * load->answer_tokens / decode_share;
	if (token_rate * each >= 1)
		goto overloaded;
	running = token_rate * fixed / (1 - token_rate * each);
	if (running > slots)
		goto overloaded;
	pass = MAX(engine->steps_per_pass, 1) * (fixed + running * each) /
	       decode_share;
	return ENGINE_TTFT_PASSES * pass + prefill;
overloaded:
	return OVERLOADED_TTFT_MS * engine_utilization(engine, load, slots);
}
