#include <string.h>

#include <glib.h>

#include <radishdeal/repeats.h>

#define PERMILLE 1000u

void repeats_init(struct repeats *repeats, const struct repeats_opts *opts)
{
	memset(repeats, 0, sizeof(*repeats));
	repeats->opts = *opts;
	for (int i = 0; i < REPEATS_SLOTS; i++)
		repeats->slots[i].number = -1;
}

void repeats_set_slack(struct repeats *repeats, uint32_t slack)
{
	repeats->slack = slack;
}

static struct repeats_slot *slot_at(struct repeats *repeats, int64_t now_ms)
{
	int64_t length = MAX(repeats->opts.window_ms / REPEATS_SLOTS, 1);
	int64_t number = now_ms / length;
	struct repeats_slot *slot = &repeats->slots[number % REPEATS_SLOTS];

	if (slot->number != number)
		*slot = (struct repeats_slot){ .number = number };
	return slot;
}

void repeats_request(struct repeats *repeats, int64_t now_ms)
{
	slot_at(repeats, now_ms)->requests++;
}

bool repeats_take(struct repeats *repeats, int64_t now_ms)
{
	struct repeats_slot *now = slot_at(repeats, now_ms);
	uint64_t requests = 0, done = 0;

	for (int i = 0; i < REPEATS_SLOTS; i++) {
		const struct repeats_slot *slot = &repeats->slots[i];

		if (slot->number < 0 ||
		    slot->number + REPEATS_SLOTS <= now->number)
			continue;
		requests += slot->requests;
		done += slot->repeats;
	}
	if (done + 1 >
	    repeats->slack + requests * repeats->opts.permille / PERMILLE)
		return false;
	now->repeats++;
	return true;
}
