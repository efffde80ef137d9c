/**
 * @file
 * A limit on the bytes that many connections hold together, and the choice of
 * the one that gives way when it is exceeded.
 *
 * Holders that get on are spared as long as others hold much without getting
 * on; small ones have a part of the room to themselves. No I/O and no clock;
 * used on one thread.
 */
#ifndef COMMON_ROOM_H
#define COMMON_ROOM_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>

/* A holder of no more is small. */
#define ROOM_SMALL_BYTES 65536u
/* Part of the room that only small holders may use. */
#define ROOM_RESERVE_SHARE 4

struct room {
	size_t limit_bytes; /* 0: none */
	size_t bytes;
	size_t large_bytes; /* of holders that aren't small */
	GQueue holders;	    /* that hold any; the first got on longest ago */
};

/** A connection's part of a room. Zeroed: holds nothing. */
struct room_holder {
	GList link;
	size_t bytes;
	bool fixed; /* can't give way: its request is in progress */
	void *owner;
};

/** Changes what a holder holds. */
void room_set(struct room *room, struct room_holder *holder, size_t bytes);

/** Notes that a holder has got on. */
void room_got_on(struct room *room, struct room_holder *holder);

/**
 * Returns the holder that gives way, or NULL while the limit is kept, or none
 * can. `mover` is the one that grew.
 */
struct room_holder *room_pick(const struct room *room,
			      struct room_holder *mover);

#endif
