#include <string.h>

#include "entry/sse.h"

#define DATA_FIELD "data: "
#define DONE_EVENT "data: [DONE]"
#define CONTENT_KEY "\"content\":\""

void sse_init(struct sse *sse)
{
	memset(sse, 0, sizeof(*sse));
	sse->text = g_string_new(NULL);
}

void sse_clear(struct sse *sse)
{
	g_string_free(sse->text, TRUE);
	sse->text = NULL;
}

/*
 * Appends the JSON string that starts at `from`, still escaped, to the text.
 * Returns false if it is empty or incomplete.
 */
static bool append_content(struct sse *sse, const char *from, const char *end)
{
	const char *at = from;

	while (at < end && *at != '"')
		at += *at == '\\' ? 2 : 1;
	if (at >= end || at == from)
		return false;
	g_string_append_len(sse->text, from, at - from);
	return true;
}

static bool parse_event(struct sse *sse, const char *event, size_t size)
{
	const char *content;

	if (size >= strlen(DONE_EVENT) &&
	    !memcmp(event, DONE_EVENT, strlen(DONE_EVENT))) {
		sse->done = true;
		return false;
	}
	if (size < strlen(DATA_FIELD) ||
	    memcmp(event, DATA_FIELD, strlen(DATA_FIELD)) != 0)
		return false;
	content = memmem(event, size, CONTENT_KEY, strlen(CONTENT_KEY));
	if (!content)
		return false;
	return append_content(sse, content + strlen(CONTENT_KEY), event + size);
}

size_t sse_event_length(struct evbuffer *in)
{
	struct evbuffer_ptr at = evbuffer_search(in, "\n\n", 2, NULL);

	return at.pos < 0 ? 0 : (size_t)at.pos + 2;
}

uint32_t sse_move_events(struct sse *sse, struct evbuffer *in,
			 struct evbuffer *out)
{
	uint32_t before = sse->tokens;
	size_t size;

	while (!sse->done && (size = sse_event_length(in))) {
		const char *event =
			(const char *)evbuffer_pullup(in, (ev_ssize_t)size);

		if (parse_event(sse, event, size))
			sse->tokens++;
		evbuffer_remove_buffer(in, out, size);
	}
	return sse->tokens - before;
}
