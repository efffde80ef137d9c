#include <glib.h>

#include <radishdeal/demand.h>

#define MS_PER_S 1000
#define PER_KS 1000u

void demand_add(struct demand *demand, int64_t now_ms, uint32_t prompt_tokens)
{
	int64_t second = now_ms / MS_PER_S;
	struct demand_slot *slot = &demand->slots[second % DEMAND_SLOTS];

	if (slot->second != second)
		*slot = (struct demand_slot){ .second = second };
	slot->requests++;
	slot->prompt_tokens += prompt_tokens;
}

void demand_rate(const struct demand *demand, int64_t now_ms,
		 uint32_t *requests_per_ks, uint32_t *prompt_tokens)
{
	int64_t now = now_ms / MS_PER_S, oldest = now;
	uint64_t requests = 0, tokens = 0;

	*requests_per_ks = 0;
	*prompt_tokens = 0;
	for (int i = 0; i < DEMAND_SLOTS; i++) {
		const struct demand_slot *slot = &demand->slots[i];

		/* The current second is incomplete. */
		if (!slot->requests || slot->second >= now ||
		    slot->second <= now - DEMAND_SLOTS)
			continue;
		oldest = MIN(oldest, slot->second);
		requests += slot->requests;
		tokens += slot->prompt_tokens;
	}
	if (!requests)
		return;
	*requests_per_ks =
		(uint32_t)(requests * PER_KS / (uint64_t)(now - oldest));
	*prompt_tokens = (uint32_t)(tokens / requests);
}
