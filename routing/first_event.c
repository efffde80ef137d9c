/* Cost of a replica by the timings of its engine. */
#include <radishdeal/engine.h>
#include <radishdeal/router.h>

/* Share of the other entries' requests that are still awaiting prefill. */
#define OTHERS_PENDING_PREFILL 0.15

double router_ttft_ms(void *ctx, const struct router_replica *r,
		      const struct router_request *request)
{
	const struct engine_spec *engine = ctx;
	double in_flight = (double)r->outstanding + r->other_requests;
	double context = engine->mean_prompt_tokens +
			 engine->mean_output_tokens / 2.0;
	double steps_per_pass = engine->steps_per_pass ? engine->steps_per_pass
						       : 1;
	double prefill = engine_prefill_ms(engine, request->prompt_tokens) +
			 engine_prefill_ms(engine, 1) *
				 (double)r->pending_prefill_tokens +
			 engine_prefill_ms(engine, engine->mean_prompt_tokens) *
				 OTHERS_PENDING_PREFILL * r->other_requests;

	return ENGINE_TTFT_PASSES * steps_per_pass *
		       engine_step_ms(engine, in_flight, context) +
	       prefill;
}
