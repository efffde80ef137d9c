#define G_LOG_USE_STRUCTURED 1
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "common/log.h"
#include "common/log_json.h"
#include "common/log_sink.h"

#define QUEUED_BYTES_MAX (1u << 20)

static GLogLevelFlags lowest_level = G_LOG_LEVEL_MESSAGE;
static enum log_format line_format = LOG_FORMAT_KEY_VALUE;
static struct log_sink *sink; /* NULL: lines are written to stderr directly */

static const char *level_name(GLogLevelFlags level)
{
	if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
		return "error";
	if (level & G_LOG_LEVEL_WARNING)
		return "warn";
	if (level & G_LOG_LEVEL_MESSAGE)
		return "note";
	if (level & G_LOG_LEVEL_INFO)
		return "info";
	return "debug";
}

static const char *field_text(const GLogField *fields, gsize n, const char *key)
{
	for (gsize i = 0; i < n; i++)
		if (!strcmp(fields[i].key, key))
			return fields[i].value;
	return "";
}

static void format_time(char *out, size_t size)
{
	struct timespec ts;
	struct tm tm;
	char day[32];

	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	strftime(day, sizeof(day), "%Y-%m-%dT%H:%M:%S", &tm);
	snprintf(out, size, "%s.%03ldZ", day, ts.tv_nsec / 1000000);
}

/*
 * Most lines are about requests without errors, at info and below. They are
 * dropped first.
 */
static enum log_kind kind_of(GLogLevelFlags level)
{
	return (level & G_LOG_LEVEL_MASK) >= G_LOG_LEVEL_INFO ? LOG_KIND_TRAFFIC
							      : LOG_KIND_OTHER;
}

static char *make_line(const char *level, const char *object,
		       const char *message)
{
	char when[48];

	format_time(when, sizeof(when));
	if (line_format == LOG_FORMAT_JSON)
		return log_json_line(when, level, object, message);
	return g_strdup_printf("%s %s %s: %s\n", when, level, object, message);
}

static GLogWriterOutput writer(GLogLevelFlags level, const GLogField *fields,
			       gsize n, gpointer ctx)
{
	char *line;

	(void)ctx;
	if (!log_enabled(level))
		return G_LOG_WRITER_HANDLED;
	line = make_line(level_name(level), field_text(fields, n, "RD_OBJECT"),
			 field_text(fields, n, "MESSAGE"));
	if (line && sink)
		log_sink_write(sink, kind_of(level), line, strlen(line));
	else if (line)
		fputs(line, stderr);
	g_free(line);
	return G_LOG_WRITER_HANDLED;
}

static char *format_dropped_line(const uint64_t *counts)
{
	char message[96];

	g_snprintf(message, sizeof(message),
		   "lines dropped: log reader is too slow traffic=%" PRIu64
		   " others=%" PRIu64,
		   counts[LOG_KIND_TRAFFIC], counts[LOG_KIND_OTHER]);
	return make_line("warn", "log", message);
}

void log_start_writer(int fd)
{
	struct log_sink_opts opts = {
		.fd = fd,
		.max_queued_bytes = QUEUED_BYTES_MAX,
		.format_dropped_line = format_dropped_line,
	};

	g_assert(!sink);
	sink = log_sink_create(&opts);
}

void log_stop_writer(void)
{
	struct log_sink *old = sink;

	sink = NULL;
	log_sink_destroy(old);
}

uint64_t log_dropped_count(void)
{
	uint64_t count = 0;

	for (int i = 0; sink && i < LOG_KIND_COUNT; i++)
		count += log_sink_dropped_count(sink, (enum log_kind)i);
	return count;
}

void log_setup(GLogLevelFlags lowest, enum log_format format)
{
	lowest_level = lowest;
	line_format = format;
	g_log_set_writer_func(writer, NULL, NULL);
}

gboolean log_enabled(GLogLevelFlags level)
{
	return (level & G_LOG_LEVEL_MASK) <= lowest_level;
}

void log_line(const struct log *log, GLogLevelFlags level, const char *fmt, ...)
{
	char message[2048];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(message, sizeof(message), fmt, ap);
	va_end(ap);

	const GLogField fields[] = {
		{ "MESSAGE", message, -1 },
		{ "RD_OBJECT", log ? log->name : "-", -1 },
	};
	g_log_structured_array(level, fields, G_N_ELEMENTS(fields));
}
