#include <errno.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "common/log_sink.h"

/* Delay before writing, to batch lines into fewer writes. */
#define BATCH_DELAY_US 20000
/* Longest wait for a reader that makes no progress while the sink closes. */
#define FLUSH_TIMEOUT_MS 2000

struct log_sink {
	struct log_sink_opts opts;
	GMutex lock;
	GCond work;
	GString *queue;
	uint64_t dropped[LOG_KIND_COUNT];
	uint64_t reported[LOG_KIND_COUNT]; /* of `dropped`, logged already */
	gboolean closing;
	GThread *writer;
};

/*
 * Waits until the descriptor is writable. Returns false on an error, or when
 * the wait times out while the sink closes.
 */
static gboolean wait_writable(struct log_sink *sink)
{
	struct pollfd p = { .fd = sink->opts.fd, .events = POLLOUT };
	gboolean closing;
	int ready;

	for (;;) {
		g_mutex_lock(&sink->lock);
		closing = sink->closing;
		g_mutex_unlock(&sink->lock);
		ready = poll(&p, 1, FLUSH_TIMEOUT_MS);
		if (ready > 0)
			return (p.revents & POLLOUT) != 0;
		if (closing || (ready < 0 && errno != EINTR))
			return FALSE;
	}
}

static void write_out(struct log_sink *sink, const GString *text)
{
	gsize done = 0;

	while (done < text->len) {
		gsize piece = MIN(text->len - done, PIPE_BUF);
		ssize_t n;

		if (!wait_writable(sink))
			return;
		/* A writable pipe accepts PIPE_BUF bytes without blocking. */
		n = write(sink->opts.fd, text->str + done, piece);
		if (n < 0 && errno != EINTR && errno != EAGAIN)
			return;
		done += n > 0 ? (gsize)n : 0;
	}
}

static gboolean has_work(const struct log_sink *sink)
{
	return sink->queue->len || memcmp(sink->reported, sink->dropped,
					  sizeof(sink->reported)) != 0;
}

/*
 * Returns all queued lines, followed by a line about those dropped since the
 * last report, and empties the queue. The caller holds the lock.
 */
static GString *dequeue_all(struct log_sink *sink)
{
	GString *text = sink->queue;
	uint64_t counts[LOG_KIND_COUNT];
	char *line;

	sink->queue = g_string_new(NULL);
	if (!memcmp(sink->reported, sink->dropped, sizeof(sink->reported)))
		return text;
	for (int i = 0; i < LOG_KIND_COUNT; i++)
		counts[i] = sink->dropped[i] - sink->reported[i];
	memcpy(sink->reported, sink->dropped, sizeof(sink->reported));
	line = sink->opts.format_dropped_line(counts);
	g_string_append(text, line);
	g_free(line);
	return text;
}

static gpointer run_writer(gpointer ctx)
{
	struct log_sink *sink = ctx;
	gboolean closing = FALSE;

	while (!closing) {
		GString *text;

		g_mutex_lock(&sink->lock);
		while (!has_work(sink) && !sink->closing)
			g_cond_wait(&sink->work, &sink->lock);
		closing = sink->closing;
		g_mutex_unlock(&sink->lock);
		if (!closing)
			g_usleep(BATCH_DELAY_US);
		g_mutex_lock(&sink->lock);
		text = dequeue_all(sink);
		g_mutex_unlock(&sink->lock);
		write_out(sink, text);
		g_string_free(text, TRUE);
	}
	return NULL;
}

struct log_sink *log_sink_create(const struct log_sink_opts *opts)
{
	struct log_sink *sink = g_new0(struct log_sink, 1);

	sink->opts = *opts;
	g_mutex_init(&sink->lock);
	g_cond_init(&sink->work);
	sink->queue = g_string_new(NULL);
	sink->writer = g_thread_new("log", run_writer, sink);
	return sink;
}

void log_sink_write(struct log_sink *sink, enum log_kind kind, const char *line,
		    size_t size)
{
	size_t limit = sink->opts.max_queued_bytes;
	gboolean was_idle;

	if (kind == LOG_KIND_TRAFFIC)
		limit /= 2;
	g_mutex_lock(&sink->lock);
	was_idle = !has_work(sink);
	if (sink->queue->len + size > limit)
		sink->dropped[kind]++;
	else
		g_string_append_len(sink->queue, line, (gssize)size);
	/* The writer sleeps only while there is nothing to write. */
	if (was_idle)
		g_cond_signal(&sink->work);
	g_mutex_unlock(&sink->lock);
}

uint64_t log_sink_dropped_count(struct log_sink *sink, enum log_kind kind)
{
	uint64_t count;

	g_mutex_lock(&sink->lock);
	count = sink->dropped[kind];
	g_mutex_unlock(&sink->lock);
	return count;
}

void log_sink_destroy(struct log_sink *sink)
{
	if (!sink)
		return;
	g_mutex_lock(&sink->lock);
	sink->closing = TRUE;
	g_cond_signal(&sink->work);
	g_mutex_unlock(&sink->lock);
	g_thread_join(sink->writer);
	g_string_free(sink->queue, TRUE);
	g_mutex_clear(&sink->lock);
	g_cond_clear(&sink->work);
	g_free(sink);
}
