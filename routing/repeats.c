#include <string.h>

#include <glib.h>

#include <radishdeal/repeats.h>

#define PERMILLE 1000u

void retry_budget_init(struct retry_budget *budget,
		       const struct retry_budget_opts *opts)
{
	memset(budget, 0, sizeof(*budget));
	budget->opts = *opts;
	for (int i = 0; i < RETRY_BUDGET_SLOTS; i++)
		budget->slots[i].index = -1;
}

void retry_budget_set_reserve(struct retry_budget *budget, uint32_t reserve)
{
	budget->reserve = reserve;
}

static int64_t slot_index(const struct retry_budget *budget, int64_t now_ms)
{
	return now_ms / MAX(budget->opts.window_ms / RETRY_BUDGET_SLOTS, 1);
}

static struct retry_budget_slot *slot_at(struct retry_budget *budget,
					 int64_t now_ms)
{
	int64_t index = slot_index(budget, now_ms);
	struct retry_budget_slot *slot =
		&budget->slots[index % RETRY_BUDGET_SLOTS];

	if (slot->index != index)
		*slot = (struct retry_budget_slot){ .index = index };
	return slot;
}

void retry_budget_add_request(struct retry_budget *budget, int64_t now_ms)
{
	slot_at(budget, now_ms)->requests++;
}

bool retry_budget_available(const struct retry_budget *budget, int64_t now_ms)
{
	int64_t current = slot_index(budget, now_ms);
	uint64_t requests = 0, retries = 0;

	for (int i = 0; i < RETRY_BUDGET_SLOTS; i++) {
		const struct retry_budget_slot *slot = &budget->slots[i];

		if (slot->index < 0 ||
		    slot->index + RETRY_BUDGET_SLOTS <= current)
			continue;
		requests += slot->requests;
		retries += slot->retries;
	}
	return retries + 1 <=
	       budget->reserve + requests * budget->opts.permille / PERMILLE;
}

bool retry_budget_take(struct retry_budget *budget, int64_t now_ms)
{
	if (!retry_budget_available(budget, now_ms))
		return false;
	slot_at(budget, now_ms)->retries++;
	return true;
}
