#include <errno.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "common/log_sink.h"

/* Lines are written together that come within this time. */
#define LINGER_US 20000
/* At the end, the reader gets this long to take what waits. */
#define LAST_WRITE_MS 2000

struct log_sink {
	struct log_sink_opts opts;
	GMutex lock;
	GCond news;
	GString *waiting;
	uint64_t dropped[LOG_KIND_COUNT];
	uint64_t told[LOG_KIND_COUNT]; /* of them, in lines written before */
	gboolean ending;
	GThread *writer;
};

/* Whether the reader takes more; while the sink ends, not for ever. */
static gboolean may_write(struct log_sink *sink)
{
	struct pollfd p = { .fd = sink->opts.fd, .events = POLLOUT };
	gboolean ending;
	int ready;

	for (;;) {
		g_mutex_lock(&sink->lock);
		ending = sink->ending;
		g_mutex_unlock(&sink->lock);
		ready = poll(&p, 1, LAST_WRITE_MS);
		if (ready > 0)
			return (p.revents & POLLOUT) != 0;
		if (ending || (ready < 0 && errno != EINTR))
			return FALSE;
	}
}

static void write_out(struct log_sink *sink, const GString *text)
{
	gsize done = 0;

	while (done < text->len) {
		gsize piece = MIN(text->len - done, PIPE_BUF);
		ssize_t n;

		if (!may_write(sink))
			return;
		/* A pipe that is ready has room for as much as this. */
		n = write(sink->opts.fd, text->str + done, piece);
		if (n < 0 && errno != EINTR && errno != EAGAIN)
			return;
		done += n > 0 ? (gsize)n : 0;
	}
}

static gboolean has_news(const struct log_sink *sink)
{
	return sink->waiting->len ||
	       memcmp(sink->told, sink->dropped, sizeof(sink->told)) != 0;
}

/* Takes all that waits, and a line on what was dropped since the last. */
static GString *take(struct log_sink *sink)
{
	GString *text = sink->waiting;
	uint64_t counts[LOG_KIND_COUNT];
	char *line;

	sink->waiting = g_string_new(NULL);
	if (!memcmp(sink->told, sink->dropped, sizeof(sink->told)))
		return text;
	for (int i = 0; i < LOG_KIND_COUNT; i++)
		counts[i] = sink->dropped[i] - sink->told[i];
	memcpy(sink->told, sink->dropped, sizeof(sink->told));
	line = sink->opts.format_dropped_line(counts);
	g_string_append(text, line);
	g_free(line);
	return text;
}

static gpointer run(gpointer ctx)
{
	struct log_sink *sink = ctx;
	gboolean ending = FALSE;

	while (!ending) {
		GString *text;

		g_mutex_lock(&sink->lock);
		while (!has_news(sink) && !sink->ending)
			g_cond_wait(&sink->news, &sink->lock);
		ending = sink->ending;
		g_mutex_unlock(&sink->lock);
		if (!ending)
			g_usleep(LINGER_US);
		g_mutex_lock(&sink->lock);
		text = take(sink);
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
	g_cond_init(&sink->news);
	sink->waiting = g_string_new(NULL);
	sink->writer = g_thread_new("log", run, sink);
	return sink;
}

void log_sink_write(struct log_sink *sink, enum log_kind kind, const char *line,
		    size_t size)
{
	size_t most = sink->opts.max_queued_bytes;
	gboolean first;

	if (kind == LOG_KIND_TRAFFIC)
		most /= 2;
	g_mutex_lock(&sink->lock);
	first = !has_news(sink);
	if (sink->waiting->len + size > most)
		sink->dropped[kind]++;
	else
		g_string_append_len(sink->waiting, line, (gssize)size);
	/* The writer is awake while there is something to write. */
	if (first)
		g_cond_signal(&sink->news);
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
	sink->ending = TRUE;
	g_cond_signal(&sink->news);
	g_mutex_unlock(&sink->lock);
	g_thread_join(sink->writer);
	g_string_free(sink->waiting, TRUE);
	g_mutex_clear(&sink->lock);
	g_cond_clear(&sink->news);
	g_free(sink);
}
