#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/address.h"
#include "test/strict_http.h"

#define READ_BYTES 4096
#define STATUS_LINE_MIN 13 /* "HTTP/1.1 200 " */
#define FIRST_STATUS 200
#define LAST_STATUS 599

struct reader {
	int fd;
	GString *input;
	struct strict_response *response;
	bool has_length, is_chunked;
	guint64 length;
};

int strict_connect(const char *text, int timeout_s)
{
	struct timeval timeout = { timeout_s, 0 };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct address address;

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	if (address_parse(text, &address) &&
	    !connect(fd, (struct sockaddr *)&address.socket,
		     sizeof(address.socket)))
		return fd;
	close(fd);
	return -1;
}

static enum strict_result malformed(struct reader *r, const char *why)
{
	r->response->why = g_strdup(why);
	return STRICT_MALFORMED;
}

/* Appends to the input. A close is STRICT_CUT, also one by a reset. */
static enum strict_result read_more(struct reader *r, bool *reset)
{
	char bytes[READ_BYTES];
	ssize_t n;

	do
		n = recv(r->fd, bytes, sizeof(bytes), 0);
	while (n < 0 && errno == EINTR);
	if (n > 0) {
		g_string_append_len(r->input, bytes, n);
		return STRICT_COMPLETE;
	}
	if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
		return STRICT_TIMEOUT;
	if (reset)
		*reset = n < 0;
	return STRICT_CUT;
}

/* Sets `size` to the length of the line without its CRLF. */
static enum strict_result read_line(struct reader *r, size_t *size)
{
	for (;;) {
		const char *end = memchr(r->input->str, '\n', r->input->len);
		enum strict_result result;

		if (end) {
			*size = (size_t)(end - r->input->str);
			if (!*size || end[-1] != '\r')
				return malformed(r, "a line ends with a bare "
						    "LF");
			--*size;
			if (memchr(r->input->str, '\r', *size) ||
			    memchr(r->input->str, '\0', *size))
				return malformed(r, "bare CR or NUL in a line");
			return STRICT_COMPLETE;
		}
		result = read_more(r, NULL);
		if (result != STRICT_COMPLETE)
			return result;
	}
}

static bool is_text(const char *text)
{
	for (; *text; text++)
		if (((unsigned char)*text < ' ' && *text != '\t') ||
		    *text == 0x7f)
			return false;
	return true;
}

static bool is_token(const char *name)
{
	size_t size = strlen(name);

	return size && strspn(name, "!#$%&'*+-.^_`|~" G_CSET_DIGITS G_CSET_a_2_z
					    G_CSET_A_2_Z) == size;
}

static bool is_number(const char *text)
{
	size_t size = strlen(text);

	return size && size < 18 && strspn(text, G_CSET_DIGITS) == size;
}

static enum strict_result parse_status_line(struct reader *r, const char *line)
{
	struct strict_response *response = r->response;

	if (strlen(line) < STATUS_LINE_MIN ||
	    strncmp(line, "HTTP/1.1 ", 9) != 0 ||
	    strspn(line + 9, G_CSET_DIGITS) != 3 || line[12] != ' ' ||
	    !is_text(line))
		return malformed(r, "not a status line");
	response->status = (int)g_ascii_strtoll(line + 9, NULL, 10);
	if (response->status < FIRST_STATUS || response->status > LAST_STATUS)
		return malformed(r, "not a final status");
	return STRICT_COMPLETE;
}

static enum strict_result parse_known_field(struct reader *r, const char *name,
					    const char *value)
{
	if (!g_ascii_strcasecmp(name, "Content-Length")) {
		if (r->has_length || !is_number(value))
			return malformed(r, "not one length");
		r->has_length = true;
		r->length = g_ascii_strtoull(value, NULL, 10);
	}
	if (!g_ascii_strcasecmp(name, "Transfer-Encoding")) {
		if (r->is_chunked || g_ascii_strcasecmp(value, "chunked") != 0)
			return malformed(r, "not one transfer coding");
		r->is_chunked = true;
	}
	if (!g_ascii_strcasecmp(name, "Content-Encoding"))
		return malformed(r, "a content coding");
	if (!g_ascii_strcasecmp(name, "Connection") &&
	    !g_ascii_strcasecmp(value, "close"))
		r->response->close = true;
	if (!g_ascii_strcasecmp(name, "Response-Seal")) {
		if (r->response->seal)
			return malformed(r, "two seals");
		r->response->seal = g_strdup(value);
	}
	return STRICT_COMPLETE;
}

static enum strict_result parse_field(struct reader *r, const char *line)
{
	char **parts = g_strsplit(line, ":", 2);
	enum strict_result result;

	if (!parts[1] || !is_token(parts[0]) || !is_text(parts[1]))
		result = malformed(r, "not a header field");
	else
		result = parse_known_field(r, parts[0], g_strstrip(parts[1]));
	g_strfreev(parts);
	return result;
}

static enum strict_result read_head(struct reader *r)
{
	for (int lines = 0;; lines++) {
		enum strict_result result;
		size_t size;
		char *line;

		result = read_line(r, &size);
		if (result == STRICT_CUT && !lines && !r->input->len)
			return STRICT_CLOSED;
		if (result != STRICT_COMPLETE)
			return result;
		line = g_strndup(r->input->str, size);
		g_string_erase(r->input, 0, (gssize)size + 2);
		if (lines && size)
			result = parse_field(r, line);
		else if (!lines)
			result = parse_status_line(r, line);
		g_free(line);
		if (result != STRICT_COMPLETE || (lines && !size))
			return result;
	}
}

static enum strict_result read_bytes(struct reader *r, guint64 size)
{
	while (r->input->len < size) {
		enum strict_result result = read_more(r, NULL);

		if (result != STRICT_COMPLETE)
			return result;
	}
	g_string_append_len(r->response->body, r->input->str, (gssize)size);
	g_string_erase(r->input, 0, (gssize)size);
	return STRICT_COMPLETE;
}

static enum strict_result read_chunk_size(struct reader *r, guint64 *chunk)
{
	enum strict_result result;
	size_t size;

	result = read_line(r, &size);
	if (result != STRICT_COMPLETE)
		return result;
	if (!size || size > 8 ||
	    strspn(r->input->str, "0123456789abcdefABCDEF") != size)
		return malformed(r, "not the size of a chunk");
	*chunk = g_ascii_strtoull(r->input->str, NULL, 16);
	g_string_erase(r->input, 0, (gssize)size + 2);
	return STRICT_COMPLETE;
}

static enum strict_result read_chunks(struct reader *r)
{
	for (;;) {
		enum strict_result result;
		guint64 chunk;
		size_t size;

		result = read_chunk_size(r, &chunk);
		if (result == STRICT_COMPLETE && chunk)
			result = read_bytes(r, chunk);
		if (result == STRICT_COMPLETE)
			result = read_line(r, &size);
		if (result != STRICT_COMPLETE)
			return result;
		if (size)
			return malformed(r, "no line end after a chunk");
		g_string_erase(r->input, 0, 2);
		if (!chunk)
			return STRICT_COMPLETE;
	}
}

static enum strict_result read_until_close(struct reader *r)
{
	enum strict_result result;
	bool reset = false;

	r->response->close = true;
	do
		result = read_more(r, &reset);
	while (result == STRICT_COMPLETE);
	if (result == STRICT_CUT && !reset)
		result = STRICT_COMPLETE;
	g_string_append_len(r->response->body, r->input->str,
			    (gssize)r->input->len);
	g_string_truncate(r->input, 0);
	return result;
}

enum strict_result strict_read(int fd, GString *input,
			       struct strict_response *response)
{
	struct reader r = { .fd = fd, .input = input, .response = response };
	enum strict_result result;

	*response = (struct strict_response){ .body = g_string_new(NULL) };
	result = read_head(&r);
	if (result != STRICT_COMPLETE)
		return result;
	if (r.has_length && r.is_chunked)
		return malformed(&r, "a length and a transfer coding");
	if (response->status == 204 || response->status == 304)
		return STRICT_COMPLETE;
	if (r.is_chunked)
		return read_chunks(&r);
	return r.has_length ? read_bytes(&r, r.length) : read_until_close(&r);
}

void strict_clear(struct strict_response *response)
{
	g_free(response->seal);
	g_free(response->why);
	g_string_free(response->body, TRUE);
}

bool strict_has_bytes(int fd, const GString *input)
{
	char byte;

	return input->len || recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}
