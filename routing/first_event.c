/* The cost of a replica by its engine's figures. */
#include <radishdeal/engine.h>
#include <radishdeal/router.h>

/* Of other entries' requests at a replica, those whose prompts are unread. */
#define OTHERS_UNREAD 0.15

double router_ttft_ms(void *ctx, const struct router_replica *r,
		      const struct router_request *request)
{
	const struct engine_spec *engine = ctx;
	double present = (double)r->outstanding + r->other_requests;
	double context = engine->usual_prompt + engine->usual_answer / 2.0;
	double stride = engine->stride ? engine->stride : 1;
	double read = engine_prefill_ms(engine, request->prompt_tokens) +
		      engine_prefill_ms(engine, 1) *
			      (double)r->pending_prefill_tokens +
		      engine_prefill_ms(engine, engine->usual_prompt) *
			      OTHERS_UNREAD * r->other_requests;

	return ENGINE_TTFT_PASSES * stride *
		       engine_step_ms(engine, present, context) +
	       read;
}
