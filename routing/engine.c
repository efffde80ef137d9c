#include <radishdeal/engine.h>

#define US_PER_MS 1e3
#define NS_PER_MS 1e6
#define MS_PER_S 1e3
#define TOKENS_PER_K 1e3
#define PAIRS_PER_M 1e6
#define PERMILLE 1e3

bool engine_is_known(const struct engine_spec *engine)
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

double engine_read_ms(const struct engine_spec *engine, double prompt_tokens)
{
	double pairs = prompt_tokens * prompt_tokens / 2;
	double ms = pairs / PAIRS_PER_M * engine->pairs_us / US_PER_MS;

	if (engine->read_per_s)
		ms += prompt_tokens * MS_PER_S / engine->read_per_s;
	return pace(engine) * ms;
}

double engine_usual_ms(const struct engine_spec *engine, double running)
{
	double prompt = engine->usual_prompt, answer = engine->usual_answer;
	double step = engine_step_ms(engine, running, prompt + answer / 2);

	return engine_read_ms(engine, prompt) + answer * step / running;
}
