/* The cost of a replica by its engine's figures. */
#include <radishdeal/engine.h>
#include <radishdeal/router.h>

/* Of other entries' requests at a replica, those whose prompts are unread. */
#define OTHERS_UNREAD 0.15

double router_first_event_ms(void *ctx, const struct router_replica *r,
			     const struct router_request *request)
{
	const struct engine_spec *engine = ctx;
	double present = (double)r->outstanding + r->others;
	double context = engine->usual_prompt + engine->usual_answer / 2.0;
	double stride = engine->stride ? engine->stride : 1;
	double read = engine_read_ms(engine, request->prompt_tokens) +
		      engine_read_ms(engine, 1) * (double)r->unread_tokens +
		      engine_read_ms(engine, engine->usual_prompt) *
			      OTHERS_UNREAD * r->others;

	return ENGINE_FIRST_EVENT_PASSES * stride *
		       engine_step_ms(engine, present, context) +
	       read;
}
