/*
 * Change records: make operators' changes idempotent. A change that is sent
 * again with the same change id gets the result of the first time.
 */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "state/state_internal.h"
#include "wire/codec.h"

#define CHANGE_RECORDS_MAX 65536u

void change_free(gpointer data)
{
	struct change_record *record = data;

	CODEC_FREE(change_record, record);
	free(record);
}

uint64_t change_fingerprint(const struct command *command)
{
	struct command without_time = *command;
	GBytes *bytes;
	uint64_t hash;
	gsize size;
	const void *data;

	/* A repeated change differs from the first only in its time. */
	without_time.time_ms = 0;
	bytes = CODEC_ENCODE(command, &without_time);
	data = g_bytes_get_data(bytes, &size);
	hash = XXH64(data, size, 0);
	g_bytes_unref(bytes);
	return hash;
}

bool change_replay(struct state *state, const struct command *command,
		   uint64_t fingerprint, struct apply_result *result)
{
	const struct change_record *first =
		g_hash_table_lookup(state->changes, command->change_id);

	if (!first)
		return false;
	if (first->fingerprint != fingerprint)
		state_result_set(result, RD_INVALID,
				 "the change id was used for another change");
	else if (!CODEC_COPY(apply_result, &first->result, result))
		g_assert_not_reached();
	return true;
}

void change_insert(struct state *state, const struct change_record *record)
{
	struct change_record *copy = calloc(1, sizeof(*copy));

	if (!CODEC_COPY(change_record, record, copy))
		g_assert_not_reached();
	g_hash_table_insert(state->changes, copy->change_id, copy);
	g_queue_push_tail(&state->change_order, copy);
	if (g_queue_get_length(&state->change_order) > CHANGE_RECORDS_MAX) {
		struct change_record *oldest =
			g_queue_pop_head(&state->change_order);

		g_hash_table_remove(state->changes, oldest->change_id);
	}
}

void change_insert_result(struct state *state, const struct command *command,
			  uint64_t fingerprint,
			  const struct apply_result *result)
{
	struct change_record record = {
		.change_id = command->change_id,
		.fingerprint = fingerprint,
		.result = *result,
	};

	change_insert(state, &record);
}

uint32_t state_change_count(const struct state *state)
{
	return g_hash_table_size(state->changes);
}
