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
	double context = engine->usual_prompt + engine->usual_answer / 2.0;
	double stride = engine->stride ? engine->stride : 1;
	double prefill = engine_prefill_ms(engine, request->prompt_tokens) +
			 engine_prefill_ms(engine, 1) *
				 (double)r->pending_prefill_tokens +
			 engine_prefill_ms(engine, engine->usual_prompt) *
				 OTHERS_PENDING_PREFILL * r->other_requests;

	return ENGINE_TTFT_PASSES * stride *
		       engine_step_ms(engine, in_flight, context) +
	       prefill;
}
