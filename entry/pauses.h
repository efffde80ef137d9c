/**
 * @file
 * Times in which this process itself did not run, or ran late. What waited in
 * its sockets then says nothing about the silence of others.
 *
 * The module does no I/O and takes the time as an argument.
 */
#ifndef ENTRY_PAUSES_H
#define ENTRY_PAUSES_H

#include <stdbool.h>
#include <stdint.h>

#define PAUSES_MAX 16

struct pause {
	int64_t from_ms, until_ms;
};

struct pauses {
	int64_t tick_ms; /* interval of the ticks */
	int64_t last_tick_ms;
	bool just_ended; /* the sockets may not have been read since */
	uint32_t count;	 /* of all, of which the last PAUSES_MAX are kept */
	struct pause kept[PAUSES_MAX];
};

void pauses_init(struct pauses *pauses, int64_t tick_ms, int64_t now_ms);

/** Notes a tick. Returns the length of the pause that it ends, or 0. */
int64_t pauses_tick(struct pauses *pauses, int64_t now_ms);

/** Returns the time since `since_ms` without the pauses in it. */
int64_t pauses_awake_ms(const struct pauses *pauses, int64_t since_ms,
			int64_t now_ms);

#endif
