#include <string.h>

#include <event2/event.h>
#include <glib.h>

#include "common/answer_guard.h"

/* Bytes besides the body: a line of a chunk's length, trailers. */
#define FRAMING_MAX_BYTES 65536
/* The shortest chunks, of a byte, have framing of up to this many. */
#define FRAMING_PER_BODY_BYTE 8

/* evhttp skips empty lines before a chunk's length. */
static void end_line(struct answer_guard *guard)
{
	size_t size = MIN(guard->line_bytes, ANSWER_LINE_START - 1);

	if (size && guard->line[size - 1] == '\r')
		size--;
	guard->line[size] = '\0';
	guard->line_bytes = 0;
	if (!size)
		return;
	guard->chunk_left = g_ascii_strtoll(guard->line, NULL, 16);
	if (!guard->chunk_left)
		guard->chunk_left = -1;
}

/* Returns how many bytes of a line, with its end, were scanned. */
static size_t scan_line(struct answer_guard *guard, const char *data,
			size_t size)
{
	const char *end = memchr(data, '\n', size);
	size_t line = end ? (size_t)(end - data) : size;

	if (guard->line_bytes < ANSWER_LINE_START - 1)
		memcpy(guard->line + guard->line_bytes, data,
		       MIN(line, ANSWER_LINE_START - 1 - guard->line_bytes));
	guard->line_bytes += line;
	if (!end)
		return line;
	end_line(guard);
	return line + 1;
}

static void scan_chunks(struct answer_guard *guard, const char *data,
			size_t size)
{
	while (size && guard->chunk_left >= 0) {
		size_t n = MIN(size, (size_t)guard->chunk_left);

		if (n)
			guard->chunk_left -= (int64_t)n;
		else
			n = scan_line(guard, data, size);
		data += n;
		size -= n;
	}
}

/* Scans the last bytes of the input. */
static void scan_input(struct answer_guard *guard, size_t size)
{
	struct evbuffer *input = bufferevent_get_input(guard->bev);
	struct evbuffer_iovec part;
	struct evbuffer_ptr at;

	if (!guard->chunked || guard->chunk_left < 0)
		return;
	/* Finding the new bytes takes longer the more of a chunk is there. */
	if ((size_t)guard->chunk_left >= size) {
		guard->chunk_left -= (int64_t)size;
		return;
	}
	evbuffer_ptr_set(input, &at, evbuffer_get_length(input) - size,
			 EVBUFFER_PTR_SET);
	while (size && evbuffer_peek(input, -1, &at, &part, 1) > 0) {
		size_t n = MIN(size, part.iov_len);

		scan_chunks(guard, part.iov_base, n);
		size -= n;
		if (evbuffer_ptr_set(input, &at, n, EVBUFFER_PTR_ADD) < 0)
			return;
	}
}

static bool head_exceeds_limits(const struct answer_guard *guard)
{
	return guard->received - guard->early > ANSWER_HEAD_MAX_BYTES ||
	       guard->early > ANSWER_HEAD_MAX_BYTES + guard->pending_max_bytes +
				      FRAMING_MAX_BYTES;
}

static bool exceeds_limits(const struct answer_guard *guard)
{
	size_t pending = evbuffer_get_length(bufferevent_get_input(guard->bev));
	size_t framing;

	if (!guard->in_body)
		return head_exceeds_limits(guard);
	if (pending > guard->pending_max_bytes + FRAMING_MAX_BYTES)
		return true;
	if (guard->line_bytes > FRAMING_MAX_BYTES ||
	    (guard->chunk_left < 0 && pending > FRAMING_MAX_BYTES))
		return true;
	framing = guard->received - guard->delivered - pending;
	return framing / FRAMING_PER_BODY_BYTE >
	       FRAMING_MAX_BYTES / FRAMING_PER_BODY_BYTE + guard->delivered;
}

/* evhttp takes nothing from the input until it has sent the request. */
static bool is_sending(const struct answer_guard *guard)
{
	return evbuffer_get_length(bufferevent_get_output(guard->bev));
}

static void on_input(struct evbuffer *input,
		     const struct evbuffer_cb_info *info, void *arg)
{
	struct answer_guard *guard = arg;

	(void)input;
	guard->received += info->n_added;
	if (is_sending(guard))
		guard->early += info->n_added;
	if (guard->stopped || !info->n_added)
		return;
	scan_input(guard, info->n_added);
	if (!exceeds_limits(guard))
		return;
	guard->stopped = true;
	bufferevent_disable(guard->bev, EV_READ);
	guard->exceeded(guard->ctx);
}

void answer_guard_start(struct answer_guard *guard)
{
	guard->input_cb = evbuffer_add_cb(bufferevent_get_input(guard->bev),
					  on_input, guard);
}

void answer_guard_head_done(struct answer_guard *guard, bool chunked)
{
	guard->in_body = true;
	guard->chunked = chunked;
	guard->received =
		evbuffer_get_length(bufferevent_get_input(guard->bev));
	guard->delivered = 0;
	scan_input(guard, guard->received);
}

void answer_guard_delivered(struct answer_guard *guard, size_t bytes)
{
	guard->delivered += bytes;
}

void answer_guard_stop(struct answer_guard *guard)
{
	if (guard->input_cb)
		evbuffer_remove_cb_entry(bufferevent_get_input(guard->bev),
					 guard->input_cb);
	guard->input_cb = NULL;
	guard->stopped = true;
}
