#define G_LOG_USE_STRUCTURED 1
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <jansson.h>

#include "common/log.h"

static GLogLevelFlags lowest_level = G_LOG_LEVEL_MESSAGE;
static enum log_format line_format = LOG_FORMAT_KEY_VALUE;

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

static void write_json(const char *when, const char *level, const char *object,
		       const char *message)
{
	json_t *line = json_pack("{s:s,s:s,s:s,s:s}", "time", when, "level",
				 level, "object", object, "message", message);
	char *text = line ? json_dumps(line, JSON_COMPACT) : NULL;

	if (text)
		fprintf(stderr, "%s\n", text);
	free(text);
	json_decref(line);
}

static GLogWriterOutput writer(GLogLevelFlags level, const GLogField *fields,
			       gsize n, gpointer ctx)
{
	const char *message = field_text(fields, n, "MESSAGE");
	const char *object = field_text(fields, n, "RD_OBJECT");
	char when[48];

	(void)ctx;
	if (!log_enabled(level))
		return G_LOG_WRITER_HANDLED;
	format_time(when, sizeof(when));
	if (line_format == LOG_FORMAT_JSON)
		write_json(when, level_name(level), object, message);
	else
		fprintf(stderr, "%s %s %s: %s\n", when, level_name(level),
			object, message);
	return G_LOG_WRITER_HANDLED;
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
