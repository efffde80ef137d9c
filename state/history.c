/* The history aggregate: numbered, immutable revisions of a service. */
#include <stdlib.h>
#include <string.h>

#include "state/state_internal.h"
#include "wire/codec.h"

#define HISTORY_MAX 256u

static void remove_oldest(struct service_state *service)
{
	revision_record *first = service->history.history_val;

	CODEC_FREE(revision_record, first);
	service->history.history_len--;
	memmove(first, first + 1,
		service->history.history_len * sizeof(*first));
}

void history_add(struct service_state *service, const struct command *command,
		 const char *description)
{
	u_int len = service->history.history_len;
	struct revision_record added = {
		.revision = service->revision,
		.time_ms = command->time_ms,
		.change_id = command->change_id,
		.operator_name = command->operator_name,
		.description = (char *)description,
		.spec = service->spec,
		.preset = service->preset,
		.text = service->text,
	};

	service->history.history_val =
		realloc(service->history.history_val,
			(len + 1) * sizeof(struct revision_record));
	memset(&service->history.history_val[len], 0,
	       sizeof(struct revision_record));
	if (!CODEC_COPY(revision_record, &added,
			&service->history.history_val[len]))
		g_assert_not_reached();
	service->history.history_len = len + 1;
	if (service->history.history_len > HISTORY_MAX)
		remove_oldest(service);
}

const struct revision_record *history_find(const struct service_state *service,
					   uint64_t revision)
{
	for (u_int i = 0; i < service->history.history_len; i++)
		if (service->history.history_val[i].revision == revision)
			return &service->history.history_val[i];
	return NULL;
}
