#include "common/room.h"

static size_t large_part(size_t bytes)
{
	return bytes > ROOM_SMALL_BYTES ? bytes : 0;
}

void room_set(struct room *room, struct room_holder *holder, size_t bytes)
{
	bool held = holder->bytes != 0;

	room->bytes += bytes - holder->bytes;
	room->large_bytes += large_part(bytes) - large_part(holder->bytes);
	holder->bytes = bytes;
	if (bytes && !held) {
		holder->link = (GList){ .data = holder };
		g_queue_push_tail_link(&room->holders, &holder->link);
	} else if (!bytes && held) {
		g_queue_unlink(&room->holders, &holder->link);
	}
}

void room_got_on(struct room *room, struct room_holder *holder)
{
	if (!holder->bytes)
		return;
	g_queue_unlink(&room->holders, &holder->link);
	g_queue_push_tail_link(&room->holders, &holder->link);
}

struct room_holder *room_pick(const struct room *room,
			      struct room_holder *mover)
{
	size_t limit = room->limit_bytes;
	bool large_exceed = room->large_bytes >
			    limit - limit / ROOM_RESERVE_SHARE;
	size_t fair;

	if (!limit || (!large_exceed && room->bytes <= limit))
		return NULL;
	fair = limit / MAX(room->holders.length, 1);
	if (large_exceed)
		fair = MAX(fair, ROOM_SMALL_BYTES);
	for (GList *l = room->holders.head; l; l = l->next) {
		struct room_holder *holder = l->data;

		if (!holder->fixed && holder->bytes > fair)
			return holder;
	}
	if (mover->fixed ||
	    (room->bytes <= limit && mover->bytes <= ROOM_SMALL_BYTES))
		return NULL;
	return mover;
}
