#include <string.h>

#include <glib.h>

#include "entry/status_line.h"

#define VERSION "HTTP/1."
#define VERSION_BYTES (sizeof(VERSION) - 1)
/* Position of the status: after the minor version and a space. */
#define STATUS_AT (VERSION_BYTES + 2)
#define STATUS_DIGITS 3
#define STATUS_END (STATUS_AT + STATUS_DIGITS)

G_STATIC_ASSERT(STATUS_END + 1 == STATUS_LINE_START);

/* Without a carriage return before the end of the line. */
static size_t text_bytes(const struct status_line_scan *scan)
{
	size_t size = scan->line_bytes;

	if (size && size <= STATUS_LINE_START && scan->start[size - 1] == '\r')
		size--;
	return size;
}

static bool has_status(const struct status_line_scan *scan)
{
	size_t size = text_bytes(scan);

	if (size < STATUS_END ||
	    strncmp(scan->start, VERSION, VERSION_BYTES) != 0 ||
	    !g_ascii_isdigit(scan->start[VERSION_BYTES]) ||
	    scan->start[STATUS_AT - 1] != ' ')
		return false;
	for (size_t i = STATUS_AT; i < STATUS_END; i++)
		if (!g_ascii_isdigit(scan->start[i]))
			return false;
	return size == STATUS_END || scan->start[STATUS_END] == ' ';
}

static void end_line(struct status_line_scan *scan)
{
	if (!scan->in_fields) {
		scan->malformed |= !has_status(scan);
		/* evhttp goes on to another head after 100 only. */
		scan->interim = !strncmp(scan->start + STATUS_AT, "100",
					 STATUS_DIGITS);
		scan->in_fields = true;
	} else if (!text_bytes(scan)) {
		scan->in_fields = false;
		scan->done = !scan->interim;
	}
	scan->line_bytes = 0;
	memset(scan->start, 0, sizeof(scan->start));
}

static void add_to_line(struct status_line_scan *scan, const char *data,
			size_t size)
{
	if (scan->line_bytes < STATUS_LINE_START)
		memcpy(scan->start + scan->line_bytes, data,
		       MIN(size, STATUS_LINE_START - scan->line_bytes));
	scan->line_bytes += size;
}

void status_line_read(struct status_line_scan *scan, const char *data,
		      size_t size)
{
	while (size && !scan->done) {
		const char *end = memchr(data, '\n', size);
		size_t n = end ? (size_t)(end - data) : size;

		add_to_line(scan, data, n);
		if (!end)
			return;
		end_line(scan);
		data += n + 1;
		size -= n + 1;
	}
}
