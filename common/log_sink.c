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
	gboolean failed;		   /* the last write */
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

/* Returns the number of bytes written: fewer than all after an error. */
static gsize write_out(struct log_sink *sink, const GString *text)
{
	gsize done = 0;

	while (done < text->len) {
		gsize piece = MIN(text->len - done, PIPE_BUF);
		ssize_t n;

		if (!wait_writable(sink))
			return done;
		/* A writable pipe accepts PIPE_BUF bytes without blocking. */
		n = write(sink->opts.fd, text->str + done, piece);
		if (n < 0 && errno != EINTR && errno != EAGAIN)
			return done;
		done += n > 0 ? (gsize)n : 0;
	}
	return done;
}

static gboolean has_unreported(const struct log_sink *sink)
{
	return memcmp(sink->reported, sink->dropped, sizeof(sink->reported)) !=
	       0;
}

/* After an error, the next line is written before anything is reported. */
static gboolean has_work(const struct log_sink *sink)
{
	return sink->queue->len || (!sink->failed && has_unreported(sink));
}

/* Lines to be written, and those dropped that the last of them reports. */
struct log_batch {
	GString *text;
	gsize report_at; /* offset of the report; the text's size: none */
	uint64_t dropped[LOG_KIND_COUNT];
};

/*
 * Returns all queued lines, followed by a line about those dropped since the
 * last report, and empties the queue. The caller holds the lock.
 */
static struct log_batch dequeue_all(struct log_sink *sink)
{
	struct log_batch batch = { .text = sink->queue,
				   .report_at = sink->queue->len };
	uint64_t counts[LOG_KIND_COUNT];
	char *line;

	sink->queue = g_string_new(NULL);
	memcpy(batch.dropped, sink->dropped, sizeof(batch.dropped));
	if (!has_unreported(sink))
		return batch;
	for (int i = 0; i < LOG_KIND_COUNT; i++)
		counts[i] = sink->dropped[i] - sink->reported[i];
	line = sink->opts.format_dropped_line(counts);
	g_string_append(batch.text, line);
	g_free(line);
	return batch;
}

static uint64_t count_lines(const struct log_batch *batch, gsize from)
{
	uint64_t count = 0;

	for (gsize i = from; i < batch->report_at; i++)
		count += batch->text->str[i] == '\n';
	return count;
}

/* Counts lines that were not written as dropped. The caller holds the lock. */
static void note_written(struct log_sink *sink, const struct log_batch *batch,
			 gsize written)
{
	sink->failed = written < batch->text->len;
	if (sink->failed)
		sink->dropped[LOG_KIND_OTHER] += count_lines(batch, written);
	else
		memcpy(sink->reported, batch->dropped, sizeof(sink->reported));
}

static gpointer run_writer(gpointer ctx)
{
	struct log_sink *sink = ctx;
	gboolean closing = FALSE;

	while (!closing) {
		struct log_batch batch;
		gsize written;

		g_mutex_lock(&sink->lock);
		while (!has_work(sink) && !sink->closing)
			g_cond_wait(&sink->work, &sink->lock);
		closing = sink->closing;
		g_mutex_unlock(&sink->lock);
		if (!closing)
			g_usleep(BATCH_DELAY_US);
		g_mutex_lock(&sink->lock);
		batch = dequeue_all(sink);
		g_mutex_unlock(&sink->lock);
		written = write_out(sink, batch.text);
		g_mutex_lock(&sink->lock);
		note_written(sink, &batch, written);
		g_mutex_unlock(&sink->lock);
		g_string_free(batch.text, TRUE);
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
