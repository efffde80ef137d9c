#include <string.h>

#include "common/http.h"
#include "common/request_reader.h"

#define CHUNK_DIGITS_MAX 16
/* Framing of a body besides that of its bytes: extensions and trailers. */
#define FRAMING_MAX_BYTES 65536
/* The shortest chunks, of a byte, have framing of up to this many. */
#define FRAMING_PER_BODY_BYTE 8
/* Memory that a parsed header takes besides its text. */
#define HEADER_OVERHEAD_BYTES 160
#define BLANKS " \t"

void request_reader_init(struct request_reader *reader,
			 const struct request_limits *limits)
{
	*reader = (struct request_reader){ .limits = *limits };
}

void request_reader_clear(struct request_reader *reader)
{
	if (reader->head)
		g_string_free(reader->head, TRUE);
	if (reader->body)
		evbuffer_free(reader->body);
	request_reader_init(reader, &reader->limits);
}

static void set_fault(struct request_reader *reader, enum request_status fault)
{
	reader->status = fault;
}

static void finish(struct request_reader *reader)
{
	reader->part = PART_DONE;
	reader->status = REQUEST_COMPLETE;
}

/* ---- the head ---- */

/** What the headers say of the body. */
struct framing {
	bool has_length;
	bool chunked;
	uint64_t length;
};

static bool read_length(const char *value, struct framing *framing)
{
	uint64_t length;

	if (!http_is_length(value))
		return false;
	length = g_ascii_strtoull(value, NULL, 10);
	if (framing->has_length && framing->length != length)
		return false;
	framing->has_length = true;
	framing->length = length;
	return true;
}

/*
 * Reads a header, whose line is terminated in place. Returns false for one that
 * leaves the end of the request open. Other readers may trim a name such as
 * "Content-Length ", so names that are no tokens do, too.
 */
static bool read_header(struct request_reader *reader, char *line,
			struct framing *framing)
{
	char *colon = strchr(line, ':');
	char *value;

	if (!colon)
		return false;
	*colon = '\0';
	value = g_strstrip(colon + 1);
	if (!http_is_token(line))
		return false;
	if (!g_ascii_strcasecmp(line, "Content-Length"))
		return read_length(value, framing);
	if (!g_ascii_strcasecmp(line, "Transfer-Encoding")) {
		if (framing->chunked || g_ascii_strcasecmp(value, "chunked"))
			return false;
		framing->chunked = true;
	}
	if (!g_ascii_strcasecmp(line, "Expect") &&
	    !g_ascii_strcasecmp(value, "100-continue"))
		reader->expects_continue = true;
	return true;
}

/* A line that continues a header is joined to it, as other readers do. */
static void unfold(GString *head)
{
	for (char *feed = strchr(head->str, '\n'); feed;
	     feed = strchr(feed + 1, '\n')) {
		if (!strchr(BLANKS, feed[1]) || !feed[1])
			continue;
		*feed = ' ';
		if (feed > head->str && feed[-1] == '\r')
			feed[-1] = ' ';
	}
}

/* Terminates a line in place; returns the next one. */
static char *end_line(char *line)
{
	char *feed = strchr(line, '\n');

	*feed = '\0';
	if (feed > line && feed[-1] == '\r')
		feed[-1] = '\0';
	return feed + 1;
}

/* The head ends with an empty line, the only one in it. */
static bool read_headers(struct request_reader *reader, struct framing *framing)
{
	char *text = g_strdup(reader->head->str);
	char *line = end_line(text), *next;
	bool sound = true;

	for (; sound; line = next) {
		next = end_line(line);
		if (!*line)
			break;
		/* Other readers may take it for the end of a line. */
		sound = !strchr(line, '\r') &&
			read_header(reader, line, framing);
	}
	g_free(text);
	return sound;
}

static void begin_length(struct request_reader *reader, uint64_t length)
{
	reader->part = PART_BODY;
	reader->part_left = length;
	if (length > reader->limits.body_bytes)
		set_fault(reader, REQUEST_BODY_TOO_LARGE);
	else if (!length)
		finish(reader);
}

static void end_head(struct request_reader *reader)
{
	struct framing framing = { 0 };

	if (strlen(reader->head->str) != reader->head->len) {
		set_fault(reader, REQUEST_MALFORMED);
		return;
	}
	unfold(reader->head);
	/* evhttp reads no body of HEAD. */
	if (!read_headers(reader, &framing) ||
	    (framing.chunked && framing.has_length) ||
	    (request_reader_is_head(reader) &&
	     (framing.chunked || framing.length))) {
		set_fault(reader, REQUEST_MALFORMED);
		return;
	}
	reader->body = evbuffer_new();
	reader->chunked = framing.chunked;
	if (framing.chunked)
		reader->part = PART_CHUNK_LENGTH;
	else
		begin_length(reader, framing.length);
}

/* Returns how many bytes belong to the present line, with its end. */
static size_t line_size(const char *data, size_t size, bool *ends)
{
	const char *feed = memchr(data, '\n', size);

	*ends = feed != NULL;
	return feed ? (size_t)(feed - data) + 1 : size;
}

static size_t take_empty_lines(struct request_reader *reader, const char *data,
			       size_t size)
{
	size_t n = 0;

	while (n < size && (data[n] == '\r' || data[n] == '\n'))
		n++;
	reader->empty_bytes += n;
	if (reader->empty_bytes > reader->limits.head_bytes)
		set_fault(reader, REQUEST_HEAD_TOO_LARGE);
	if (n < size) {
		reader->part = PART_HEAD;
		reader->head = g_string_new(NULL);
	}
	return n;
}

static size_t take_head(struct request_reader *reader, const char *data,
			size_t size)
{
	bool ends, empty;
	size_t n = line_size(data, size, &ends);

	if (reader->empty_bytes + reader->head->len + n >
	    reader->limits.head_bytes) {
		set_fault(reader, REQUEST_HEAD_TOO_LARGE);
		return n;
	}
	g_string_append_len(reader->head, data, (gssize)n);
	reader->line_bytes += n;
	if (!ends)
		return n;
	empty = reader->line_bytes == 1 ||
		(reader->line_bytes == 2 &&
		 reader->head->str[reader->head->len - 2] == '\r');
	reader->line_bytes = 0;
	reader->lines++;
	if (empty)
		end_head(reader);
	return n;
}

/* ---- the body ---- */

static size_t take_body(struct request_reader *reader, const char *data,
			size_t size)
{
	size_t n = (size_t)MIN((uint64_t)size, reader->part_left);

	evbuffer_add(reader->body, data, n);
	reader->part_left -= n;
	if (reader->part_left)
		return n;
	if (reader->part == PART_CHUNK)
		reader->part = PART_CHUNK_END;
	else
		finish(reader);
	return n;
}

/* Framing may grow with the body only, so that it ends as well. */
static void count_framing(struct request_reader *reader, size_t bytes)
{
	reader->framing_bytes += bytes;
	if (reader->framing_bytes >
	    FRAMING_MAX_BYTES +
		    FRAMING_PER_BODY_BYTE * evbuffer_get_length(reader->body))
		set_fault(reader, REQUEST_BODY_TOO_LARGE);
}

static void begin_chunk(struct request_reader *reader)
{
	bool last = !reader->part_left;

	if (!reader->digits) {
		set_fault(reader, REQUEST_MALFORMED);
		return;
	}
	reader->digits = 0;
	reader->line_bytes = 0;
	reader->part = last ? PART_TRAILER : PART_CHUNK;
	if (reader->part_left >
	    reader->limits.body_bytes - evbuffer_get_length(reader->body))
		set_fault(reader, REQUEST_BODY_TOO_LARGE);
}

static void take_length_byte(struct request_reader *reader, char byte)
{
	count_framing(reader, 1);
	if (g_ascii_isxdigit(byte) && reader->digits < CHUNK_DIGITS_MAX) {
		reader->part_left = reader->part_left << 4 |
				    (uint64_t)g_ascii_xdigit_value(byte);
		reader->digits++;
	} else if (byte == '\n') {
		begin_chunk(reader);
	} else if (byte == '\r') {
		reader->part = PART_CHUNK_LENGTH_END;
	} else if (reader->digits && strchr(";" BLANKS, byte) && byte) {
		reader->part = PART_CHUNK_EXTENSION;
	} else {
		set_fault(reader, REQUEST_MALFORMED);
	}
}

static size_t take_extension(struct request_reader *reader, const char *data,
			     size_t size)
{
	bool ends;
	size_t n = line_size(data, size, &ends);

	count_framing(reader, n);
	if (ends && reader->status == REQUEST_INCOMPLETE)
		begin_chunk(reader);
	return n;
}

static void take_expected_feed(struct request_reader *reader, char byte)
{
	count_framing(reader, 1);
	if (byte != '\n')
		set_fault(reader, REQUEST_MALFORMED);
	else if (reader->part == PART_CHUNK_LENGTH_END)
		begin_chunk(reader);
	else
		reader->part = PART_CHUNK_LENGTH;
}

static void take_chunk_end(struct request_reader *reader, char byte)
{
	if (byte == '\r')
		count_framing(reader, 1);
	else
		take_expected_feed(reader, byte);
}

/* Trailers are dropped. */
static size_t take_trailer(struct request_reader *reader, const char *data,
			   size_t size)
{
	bool ends;
	size_t n = line_size(data, size, &ends);
	size_t text = n;

	while (text && (data[text - 1] == '\n' || data[text - 1] == '\r'))
		text--;
	count_framing(reader, n);
	reader->line_bytes += text;
	if (ends && !reader->line_bytes && reader->status == REQUEST_INCOMPLETE)
		finish(reader);
	if (ends)
		reader->line_bytes = 0;
	return n;
}

static size_t take_part(struct request_reader *reader, const char *data,
			size_t size)
{
	switch (reader->part) {
	case PART_EMPTY_LINES:
		return take_empty_lines(reader, data, size);
	case PART_HEAD:
		return take_head(reader, data, size);
	case PART_BODY:
	case PART_CHUNK:
		return take_body(reader, data, size);
	case PART_CHUNK_LENGTH:
		take_length_byte(reader, *data);
		return 1;
	case PART_CHUNK_EXTENSION:
		return take_extension(reader, data, size);
	case PART_CHUNK_LENGTH_END:
		take_expected_feed(reader, *data);
		return 1;
	case PART_CHUNK_END:
		take_chunk_end(reader, *data);
		return 1;
	case PART_TRAILER:
		return take_trailer(reader, data, size);
	case PART_DONE:
		break;
	}
	return 0;
}

enum request_status request_reader_take(struct request_reader *reader,
					const char *data, size_t size,
					size_t *taken)
{
	*taken = 0;
	while (*taken < size && reader->status == REQUEST_INCOMPLETE)
		*taken += take_part(reader, data + *taken, size - *taken);
	return reader->status;
}

/* ---- a request as a whole ---- */

bool request_reader_has_begun(const struct request_reader *reader)
{
	return reader->part != PART_EMPTY_LINES || reader->empty_bytes;
}

bool request_reader_has_head(const struct request_reader *reader)
{
	return reader->body != NULL;
}

bool request_reader_is_head(const struct request_reader *reader)
{
	return reader->head && g_str_has_prefix(reader->head->str, "HEAD ");
}

bool request_reader_take_expectation(struct request_reader *reader)
{
	bool expects = reader->expects_continue &&
		       reader->status == REQUEST_INCOMPLETE &&
		       !evbuffer_get_length(reader->body) &&
		       !reader->framing_bytes;

	reader->expects_continue = false;
	return expects;
}

size_t request_reader_held(const struct request_reader *reader)
{
	size_t head = reader->head ? reader->head->len : 0;
	size_t body = reader->body ? evbuffer_get_length(reader->body) : 0;

	return head + (size_t)reader->lines * HEADER_OVERHEAD_BYTES + body;
}

static bool is_named(const char *line, const char *name)
{
	return !g_ascii_strncasecmp(line, name, strlen(name)) &&
	       line[strlen(name)] == ':';
}

/*
 * evhttp would wait for the interim response that is sent already; framing
 * headers describe the body as it came.
 */
static bool is_dropped(const struct request_reader *reader, const char *line)
{
	return is_named(line, "Expect") ||
	       (reader->chunked && is_named(line, "Transfer-Encoding"));
}

static struct evbuffer *format_head(const struct request_reader *reader)
{
	struct evbuffer *out = evbuffer_new();
	const char *line = reader->head->str, *next;

	for (; *line != '\r' && *line != '\n'; line = next) {
		next = strchr(line, '\n') + 1;
		if (!is_dropped(reader, line))
			evbuffer_add(out, line, (size_t)(next - line));
	}
	if (reader->chunked)
		evbuffer_add_printf(out, "Content-Length: %zu\r\n",
				    evbuffer_get_length(reader->body));
	evbuffer_add(out, "\r\n", 2);
	return out;
}

void request_reader_move(struct request_reader *reader, struct evbuffer *out)
{
	struct evbuffer *head = format_head(reader);

	evbuffer_add_buffer(head, reader->body);
	evbuffer_prepend_buffer(out, head);
	evbuffer_free(head);
	request_reader_clear(reader);
}
