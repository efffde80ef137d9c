#include <glib.h>

#include "entry/pauses.h"

/* A tick that is late by less ends no pause. */
#define PAUSE_MIN_MS 200

void pauses_init(struct pauses *pauses, int64_t tick_ms, int64_t now_ms)
{
	*pauses = (struct pauses){ .tick_ms = tick_ms, .last_tick_ms = now_ms };
}

int64_t pauses_tick(struct pauses *pauses, int64_t now_ms)
{
	struct pause pause = { pauses->last_tick_ms + pauses->tick_ms, now_ms };
	int64_t length_ms = now_ms - pause.from_ms;

	pauses->last_tick_ms = now_ms;
	pauses->just_ended = length_ms >= PAUSE_MIN_MS;
	if (!pauses->just_ended)
		return 0;
	pauses->kept[pauses->count++ % PAUSES_MAX] = pause;
	return length_ms;
}

int64_t pauses_awake_ms(const struct pauses *pauses, int64_t since_ms,
			int64_t now_ms)
{
	uint32_t kept = MIN(pauses->count, PAUSES_MAX);
	int64_t awake_ms = now_ms - since_ms;

	for (uint32_t i = 0; i < kept; i++) {
		const struct pause *p = &pauses->kept[i];
		int64_t from_ms = MAX(p->from_ms, since_ms);

		awake_ms -= MAX(0, MIN(p->until_ms, now_ms) - from_ms);
	}
	return awake_ms;
}
