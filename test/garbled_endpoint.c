#include <arpa/inet.h>
#include <errno.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/address.h"
#include "test/garbled_endpoint.h"

#define BACKLOG 256
#define READ_BYTES 4096
#define FIRST_HOST 9
#define IDLE_WAIT_US (2 * G_TIME_SPAN_SECOND)
#define SOUND_IN_10 3 /* answers in ten that nothing is wrong with */

struct garbled_endpoint {
	GMutex lock;
	GCond changed;
	GHashTable *subjects; /* id -> struct garbled_subject */
	GPtrArray *listeners; /* of GThread */
	int connections;      /* threads that serve one */
	GArray *sockets;      /* of int; listening and accepted ones */
	int port;
	int unknown;
	const char *only_kind; /* NULL: all */
	bool stopping;
};

struct connection {
	struct garbled_endpoint *endpoint;
	int fd;
	GString *input;
	GString *late; /* to be sent once the next request is here */
	bool tainted;  /* bytes that belong to no request were sent */
};

/* A request as it arrived. */
struct arrival {
	char *method, *path, *id, *resume_id;
	gsize body_size;
	char *body;
};

enum framing { FRAMED_BY_LENGTH, FRAMED_BY_CHUNKS, FRAMED_BY_CLOSE, FRAMINGS };
enum ending { KEEP, CLOSE, RESET };
enum moment { SAME_WRITE, IDLE, NEXT_REQUEST, MOMENTS };

/* An answer before it is written. */
struct draft {
	GRand *random;
	const struct garbled_subject *subject;
	struct garbled_answer *answer;
	GString *prelude; /* before the head */
	GString *fields;  /* further header lines */
	const char *status_line;
	const char *framing_lines; /* in place of the proper ones */
	bool no_id, no_seal, not_run;
	bool taints; /* leaves bytes that belong to no request */
	enum framing framing;
	enum ending ending;
	GString *body;	/* as written, without chunks */
	GString *bytes; /* the whole */
	size_t head_size;
	GString *second;
	enum moment second_at;
};

struct kind {
	const char *name;
	void (*change)(struct draft *draft);   /* before it is rendered */
	void (*mutilate)(struct draft *draft); /* afterwards */
};

static int below(struct draft *d, int end)
{
	return g_rand_int_range(d->random, 0, end);
}

#define PICK(d, list) ((list)[below(d, (int)G_N_ELEMENTS(list))])

void garbled_append_events(GString *out, const char *id, int from, int to)
{
	for (int i = from; i <= to; i++) {
		if (i % 3 == 1)
			g_string_append_printf(out, "weight-versions: %d\n", i);
		g_string_append_printf(out, "id: %d\ndata: %s piece %d\n\n", i,
				       id, i);
	}
}

/* ---- what is wrong ---- */

static void no_change(struct draft *d)
{
	(void)d;
}

static void set_broken(struct draft *d, enum ending ending)
{
	d->answer->whole = false;
	d->ending = ending;
}

static enum ending draw_end(struct draft *d)
{
	return below(d, 2) ? CLOSE : RESET;
}

static void change_second(struct draft *d)
{
	static const char *const statuses[] = {
		"200 OK",	   "200 OK",
		"500 Failed",	   "421 Misdirected Request",
		"503 Unavailable", "429 Too Many Requests",
		"503 Unavailable",
	};
	const char *status = PICK(d, statuses);
	const char *id = d->subject->id;
	bool refusal = status[0] == '4' || status[0] == '5';
	bool named = below(d, 2);

	d->second = g_string_new(NULL);
	g_string_append_printf(d->second, "HTTP/1.1 %s\r\n", status);
	if (named)
		g_string_append_printf(d->second, "Attempt-Id: %s\r\n", id);
	if (refusal && strncmp(status, "500", 3) != 0)
		g_string_append(d->second, "Not-Executed: 1\r\n");
	g_string_append_printf(d->second,
			       "Response-Seal: second.%s\r\n"
			       "Content-Length: %zu\r\n\r\nsecond of %s",
			       id, strlen("second of ") + strlen(id), id);
	if (d->framing == FRAMED_BY_CLOSE)
		d->framing = FRAMED_BY_LENGTH;
	d->ending = KEEP;
	d->second_at = (enum moment)below(d, MOMENTS);
}

static void change_extra(struct draft *d)
{
	change_second(d);
	d->second_at = SAME_WRITE;
}

static void change_status(struct draft *d)
{
	static const char *const lines[] = {
		"HTTP/1.1 0 Zero",	 "HTTP/1.1 7 Seven",
		"HTTP/1.1 42 Answer",	 "HTTP/1.1 101 Switching Protocols",
		"HTTP/1.1 103 Hints",	 "HTTP/1.1 600 Beyond",
		"HTTP/1.1 999 Last",	 "HTTP/1.1 1000 More",
		"HTTP/1.1 -200 Minus",	 "HTTP/1.1 2 00",
		"HTTP/1.1 199 Before",	 "HTTP/1.1",
		"HTTP/3.0 200 OK",	 "HTTP/1.1 OK 200",
		"HTTP/1.1 \001 Control", "HTTP/1.1 000 Zero",
		"HTTP/1.1 099 Before",	 "HTTP/1.1 20 Short",
		"HTTP/1.1 0200 OK",	 "HTTP/1.1 +200 OK",
		"HTTP/1.1 200x OK",	 "HTTP/1.1 4294967496 OK",
	};

	d->status_line = PICK(d, lines);
	set_broken(d, CLOSE);
}

static void change_interim(struct draft *d)
{
	static const char *const heads[] = {
		"HTTP/1.1 100 Continue\r\n\r\n",
		"HTTP/1.1 100 Continue\r\nAttempt-Id: other\r\n"
		"Response-Seal: other\r\nContent-Length: 1\r\n\r\n",
		"HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n",
	};

	g_string_append(d->prelude, PICK(d, heads));
}

static void mutilate_interim_only(struct draft *d)
{
	g_string_assign(d->bytes, "HTTP/1.1 100 Continue\r\n\r\n");
	set_broken(d, draw_end(d));
}

static void change_no_body(struct draft *d)
{
	d->answer->status = below(d, 2) ? 204 : 304;
	g_string_truncate(d->answer->body, 0);
	if (below(d, 2))
		g_string_truncate(d->body, 0);
	d->taints = d->body->len;
	d->framing = FRAMED_BY_LENGTH;
}

static void change_lengths(struct draft *d)
{
	static const char *const lines[] = {
		"Content-Length: 5\r\nContent-Length: 7\r\n",
		"Content-Length: 5, 7\r\n",
		"Content-Length: 5x\r\n",
		"Content-Length: -1\r\n",
		"Content-Length: +5\r\n",
		"Content-Length: 0x5\r\n",
		"Content-Length:\r\n",
		"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
		"Content-Length: 99999999999999999999\r\n",
		"Content-Length : 5\r\n",
	};

	d->framing_lines = PICK(d, lines);
	d->framing = below(d, 2) ? FRAMED_BY_CHUNKS : FRAMED_BY_LENGTH;
	set_broken(d, CLOSE);
}

/* One length all the same. */
static void change_repeated_length(struct draft *d)
{
	d->framing = FRAMED_BY_LENGTH;
	g_string_append_printf(d->fields, "content-length: %zu\r\n",
			       d->body->len);
}

static void change_coding(struct draft *d)
{
	static const char *const lines[] = {
		"Transfer-Encoding: gzip\r\n",
		"Transfer-Encoding: gzip, chunked\r\n",
		"Transfer-Encoding: identity\r\n",
		"Transfer-Encoding: chunked, chunked\r\n",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
		"Transfer-Encoding: xchunked\r\n",
	};

	d->framing_lines = PICK(d, lines);
	d->framing = below(d, 2) ? FRAMED_BY_CHUNKS : FRAMED_BY_CLOSE;
	set_broken(d, CLOSE);
}

static void change_encoding(struct draft *d)
{
	g_string_append(d->fields, below(d, 2) ? "Content-Encoding: gzip\r\n"
					       : "content-encoding: br\r\n");
	d->answer->whole = false;
}

/* A reader may refuse these, or pass on what it can. */
static void change_fields(struct draft *d)
{
	static const char *const lines[] = {
		"Bad Name: x\r\n",
		"Bad\001Name: x\r\n",
		": x\r\n",
		"Spaced : x\r\n",
		"Value: a\001b\r\n",
		"Value: a\r b\r\n",
		"Value: a\x7f\r\n",
		"Folded: a\r\n b\r\n",
		"Tabbed: a\r\n\tb\r\n",
		"Bare: a\n",
		"Bra(cket): a\r\n",
		"Latin: \xe9\r\n",
		"Connection: close, Value\r\nValue: a\r\n",
		"Set-Cookie: a\r\nSet-Cookie: b\r\n",
		"No colon\r\n",
		"Value: a\rb\r\n",
		"Keep-Alive: timeout=1\r\nTrailer: Late\r\nUpgrade: h2c\r\n",
	};

	g_string_append(d->fields, PICK(d, lines));
}

/* The connection's end is the body's, whatever this field says. */
static void change_to_kept(struct draft *d)
{
	g_string_append(d->fields, below(d, 2) ? "Connection: keep-alive\r\n"
					       : "Connection: Seal, Close\r\n");
	d->framing = FRAMED_BY_CLOSE;
}

static void mutilate_by_nul(struct draft *d)
{
	gsize start =
		(gsize)(strstr(d->bytes->str, "Attempt-Id: ") - d->bytes->str);
	gsize at = start + (gsize)below(d, (int)(d->head_size - start));

	g_string_insert_c(d->bytes, (gssize)at, '\0');
	set_broken(d, CLOSE);
}

static void change_to_chunks(struct draft *d)
{
	d->framing = FRAMED_BY_CHUNKS;
	set_broken(d, draw_end(d));
}

static void mutilate_chunk_size(struct draft *d)
{
	static const char *const sizes[] = { "5x",
					     "-5",
					     "G",
					     "FFFFFFFFFFFFFFFFF",
					     "HTTP/1.1 200 OK\r\n",
					     "\001",
					     "7fffffffffffffff" };

	g_string_insert(d->bytes, (gssize)d->head_size, "\r\n");
	g_string_insert(d->bytes, (gssize)d->head_size, PICK(d, sizes));
}

static void mutilate_chunk_end(struct draft *d)
{
	/* The last chunk, "0 CRLF CRLF", is missing in whole or in part. */
	g_string_truncate(d->bytes, d->bytes->len - 1 - (gsize)below(d, 5));
}

static void mutilate_last_chunk(struct draft *d)
{
	g_string_truncate(d->bytes, d->bytes->len - 2);
	g_string_append(d->bytes, "HTTP/1.1 200 OK\r\n\r\n");
}

static void mutilate_head(struct draft *d)
{
	g_string_truncate(d->bytes, (gsize)below(d, (int)d->head_size));
	set_broken(d, draw_end(d));
}

static void mutilate_body(struct draft *d)
{
	gsize rest = d->bytes->len - d->head_size;

	if (d->framing == FRAMED_BY_CLOSE)
		set_broken(d, RESET);
	else
		set_broken(d, draw_end(d));
	g_string_truncate(d->bytes,
			  d->head_size + (gsize)below(d, (int)MAX(rest, 1)));
}

static void mutilate_by_garbage(struct draft *d)
{
	static const char *const garbage[] = {
		"\r\n",	     "garbage", "garbage\r\n", "\001\002\003\r\n\r\n",
		"0\r\n\r\n",
	};

	g_string_prepend(d->bytes, PICK(d, garbage));
	set_broken(d, CLOSE);
}

static void change_not_run(struct draft *d)
{
	static const int statuses[] = { 503, 429, 421, 503, 400 };

	d->answer->status = PICK(d, statuses);
	d->answer->executed = false;
	d->answer->whole = true;
	d->not_run = d->answer->status != 421 || below(d, 2);
	d->no_seal = true;
	d->no_id = d->answer->status == 400 || below(d, 2);
	g_string_assign(d->body, "refused\n");
	g_string_assign(d->answer->body, d->body->str);
	if (below(d, 2))
		d->ending = CLOSE;
}

/* Promises that the endpoint has no right to: the request ran. */
static void change_to_false_promise(struct draft *d)
{
	static const int statuses[] = { 503, 429, 408 };

	d->answer->status = PICK(d, statuses);
	g_string_assign(d->body, "ran\n");
	g_string_assign(d->answer->body, d->body->str);
}

static void change_to_failure(struct draft *d)
{
	static const int statuses[] = { 500, 404, 400, 504, 403 };

	d->answer->status = PICK(d, statuses);
	g_string_assign(d->body, "failed\n");
	g_string_assign(d->answer->body, d->body->str);
}

static void change_unnamed(struct draft *d)
{
	if (below(d, 2))
		d->no_id = true;
	else
		d->no_seal = true;
	d->answer->whole = false;
}

static void mutilate_whole(struct draft *d)
{
	g_string_truncate(d->bytes, 0);
	set_broken(d, draw_end(d));
}

static const struct kind kinds[] = {
	{ "second answer", change_second, no_change },
	{ "second answer", change_second, no_change },
	{ "second answer", change_second, no_change },
	{ "extra bytes", change_extra, no_change },
	{ "status", change_status, no_change },
	{ "interim", change_interim, no_change },
	{ "interim only", no_change, mutilate_interim_only },
	{ "no body", change_no_body, no_change },
	{ "lengths", change_lengths, no_change },
	{ "repeated length", change_repeated_length, no_change },
	{ "coding", change_coding, no_change },
	{ "encoding", change_encoding, no_change },
	{ "fields", change_fields, no_change },
	{ "fields", change_fields, no_change },
	{ "kept", change_to_kept, no_change },
	{ "NUL", no_change, mutilate_by_nul },
	{ "chunk size", change_to_chunks, mutilate_chunk_size },
	{ "chunk end", change_to_chunks, mutilate_chunk_end },
	{ "last chunk", change_to_chunks, mutilate_last_chunk },
	{ "head cut", no_change, mutilate_head },
	{ "body cut", no_change, mutilate_body },
	{ "garbage", no_change, mutilate_by_garbage },
	{ "not run", change_not_run, no_change },
	{ "not run", change_not_run, no_change },
	{ "false promise", change_to_false_promise, no_change },
	{ "failure", change_to_failure, no_change },
	{ "unnamed", change_unnamed, no_change },
	{ "nothing", no_change, mutilate_whole },
};

/* ---- what is wrong with a stream ---- */

static int draw_event(struct draft *d)
{
	return d->subject->first_event +
	       below(d, d->subject->last_event - d->subject->first_event + 1);
}

/* The answer's own part ends before the event; `text` follows. */
static void put_in_stream(struct draft *d, int event, const char *text)
{
	g_string_truncate(d->body, 0);
	garbled_append_events(d->body, d->subject->id, d->subject->first_event,
			      event - 1);
	g_string_append(d->body, text);
	set_broken(d, CLOSE);
}

/* Without a length, the connection's end is the stream's. */
static void change_inside_event(struct draft *d)
{
	put_in_stream(d, draw_event(d), "id: 1000\ndata: in");
	d->framing = below(d, 2) ? FRAMED_BY_CLOSE : FRAMED_BY_CHUNKS;
}

static void change_between_events(struct draft *d)
{
	put_in_stream(d, draw_event(d), "");
	d->framing = FRAMED_BY_CLOSE;
	d->ending = RESET;
}

static void change_order(struct draft *d)
{
	int event = draw_event(d);

	put_in_stream(d, event + 1, "");
	garbled_append_events(d->body, d->subject->id, event,
			      d->subject->last_event);
}

static void change_second_inside(struct draft *d)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text,
			       "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
			       "Content-Type: text/event-stream\r\n%s"
			       "Response-Seal: second.%s\r\n\r\n",
			       d->subject->id,
			       below(d, 2) ? "Content-Length: 20\r\n" : "",
			       d->subject->id);
	garbled_append_events(text, d->subject->id, d->subject->first_event,
			      d->subject->last_event);
	put_in_stream(d, d->subject->last_event + 1, text->str);
	d->framing = FRAMED_BY_CLOSE;
	g_string_free(text, TRUE);
}

/* Of a resumed stream, nothing may be left. */
static void change_to_empty(struct draft *d)
{
	if (d->subject->first_event > 1)
		return;
	put_in_stream(d, d->subject->first_event, "");
}

static void change_to_no_events(struct draft *d)
{
	static const char *const texts[] = {
		"garbage\n\n",	     "<html>\n</html>\n\n",
		"{\"error\":1}\n\n", "HTTP/1.1 500 Failed\n\n",
		"\001\002\n\n",
	};

	put_in_stream(d, draw_event(d), PICK(d, texts));
}

static const struct kind stream_kinds[] = {
	{ "inside event", change_inside_event, no_change },
	{ "between events", change_between_events, no_change },
	{ "order", change_order, no_change },
	{ "second inside", change_second_inside, no_change },
	{ "no events", change_to_no_events, no_change },
	{ "empty", change_to_empty, no_change },
};

/* ---- writing an answer ---- */

static void append_chunks(struct draft *d)
{
	const char *at = d->body->str;
	gsize left = d->body->len;

	while (left) {
		gsize size = 1 + (gsize)below(d, (int)MIN(left, 40));

		g_string_append_printf(d->bytes, "%zx\r\n", size);
		g_string_append_len(d->bytes, at, (gssize)size);
		g_string_append(d->bytes, "\r\n");
		at += size;
		left -= size;
	}
	g_string_append(d->bytes, "0\r\n\r\n");
}

static void append_framing_lines(struct draft *d)
{
	if (d->framing_lines)
		g_string_append(d->bytes, d->framing_lines);
	else if (d->framing == FRAMED_BY_LENGTH)
		g_string_append_printf(d->bytes, "Content-Length: %zu\r\n",
				       d->body->len);
	else if (d->framing == FRAMED_BY_CHUNKS)
		g_string_append(d->bytes, "Transfer-Encoding: chunked\r\n");
	else if (d->ending == KEEP)
		d->ending = CLOSE;
}

static void render(struct draft *d)
{
	const struct garbled_answer *answer = d->answer;

	g_string_append(d->bytes, d->prelude->str);
	if (d->status_line)
		g_string_append_printf(d->bytes, "%s\r\n", d->status_line);
	else
		g_string_append_printf(d->bytes, "HTTP/1.1 %d Status\r\n",
				       answer->status);
	if (!d->no_id)
		g_string_append_printf(d->bytes, "Attempt-Id: %s\r\n",
				       d->subject->id);
	if (!d->no_seal)
		g_string_append_printf(d->bytes, "Response-Seal: %s\r\n",
				       answer->seal);
	if (d->not_run)
		g_string_append(d->bytes, "Not-Executed: 1\r\n");
	if (d->subject->stream && answer->status == 200)
		g_string_append(d->bytes, "Content-Type: "
					  "text/event-stream\r\n");
	g_string_append(d->bytes, d->fields->str);
	append_framing_lines(d);
	if (d->ending == CLOSE && below(d, 2))
		g_string_append(d->bytes, "Connection: close\r\n");
	g_string_append(d->bytes, "\r\n");
	d->head_size = d->bytes->len;
	if (d->framing == FRAMED_BY_CHUNKS)
		append_chunks(d);
	else
		g_string_append_len(d->bytes, d->body->str,
				    (gssize)d->body->len);
}

static const struct kind *draw_of(struct draft *d, const struct kind *list,
				  size_t count, const char *only)
{
	const struct kind *matching[G_N_ELEMENTS(kinds)];
	int matches = 0;

	for (size_t i = 0; i < count; i++)
		if (!only || !strcmp(list[i].name, only))
			matching[matches++] = &list[i];
	return matches ? matching[below(d, matches)] : NULL;
}

static const struct kind *draw_kind(struct draft *d, const char *only)
{
	const struct kind *kind = NULL;

	if (below(d, 10) < SOUND_IN_10 ||
	    d->subject->first_event > d->subject->last_event ||
	    g_str_has_prefix(d->subject->id, GARBLED_SOUND_PREFIX))
		return NULL;
	if (d->subject->stream && (only || below(d, 2)))
		kind = draw_of(d, stream_kinds, G_N_ELEMENTS(stream_kinds),
			       only);
	return kind ? kind : draw_of(d, kinds, G_N_ELEMENTS(kinds), only);
}

static void fill_body(struct draft *d, int from)
{
	if (d->subject->stream)
		garbled_append_events(d->body, d->subject->id, from,
				      d->subject->last_event);
	else
		g_string_append_printf(d->body, "body of %s to %s: %0*d\n",
				       d->answer->seal, d->subject->body,
				       1 + below(d, 200), 0);
	g_string_assign(d->answer->body, d->body->str);
}

/* Decides on an answer; the caller holds the lock. */
static void draw_answer(struct draft *d, const struct garbled_subject *subject,
			const char *resume_id, const struct connection *c)
{
	struct garbled_answer *answer = g_new0(struct garbled_answer, 1);
	guint number = subject->answers->len;
	struct garbled_subject from = *subject;
	const struct kind *kind;

	d->random = g_rand_new_with_seed(g_str_hash(subject->id) + number);
	d->answer = answer;
	answer->status = 200;
	answer->seal = g_strdup_printf("seal.%s.%u", subject->id, number);
	answer->body = g_string_new(NULL);
	answer->executed = answer->whole = true;
	if (resume_id)
		from.first_event = atoi(resume_id) + 1;
	d->subject = &from;
	d->prelude = g_string_new(NULL);
	d->fields = g_string_new(NULL);
	d->body = g_string_new(NULL);
	d->bytes = g_string_new(NULL);
	d->framing = (enum framing)below(d, FRAMINGS);
	fill_body(d, from.first_event);
	kind = draw_kind(d, c->endpoint->only_kind);
	answer->kind = kind ? kind->name : "sound";
	answer->sound = !kind && !c->tainted;
	if (kind)
		kind->change(d);
	render(d);
	if (kind)
		kind->mutilate(d);
	d->subject = subject;
	answer->bytes = g_string_new_len(d->bytes->str, (gssize)d->bytes->len);
	g_ptr_array_add(subject->answers, answer);
}

static void clear_draft(struct draft *d)
{
	g_rand_free(d->random);
	g_string_free(d->prelude, TRUE);
	g_string_free(d->fields, TRUE);
	g_string_free(d->body, TRUE);
	g_string_free(d->bytes, TRUE);
	if (d->second)
		g_string_free(d->second, TRUE);
}

/* ---- connections ---- */

static void send_all(int fd, const GString *bytes)
{
	gsize sent = 0;

	while (sent < bytes->len) {
		ssize_t n = send(fd, bytes->str + sent, bytes->len - sent,
				 MSG_NOSIGNAL);

		if (n <= 0)
			return;
		sent += (gsize)n;
	}
}

static bool read_more(struct connection *c)
{
	char bytes[READ_BYTES];
	ssize_t n = recv(c->fd, bytes, sizeof(bytes), 0);

	if (n > 0)
		g_string_append_len(c->input, bytes, n);
	return n > 0;
}

static char *find_field(char **lines, const char *name)
{
	gsize size = strlen(name);

	for (int i = 1; lines[i]; i++)
		if (!g_ascii_strncasecmp(lines[i], name, size) &&
		    lines[i][size] == ':')
			return g_strstrip(g_strdup(lines[i] + size + 1));
	return NULL;
}

static void parse_head(struct arrival *a, char *head)
{
	char **lines = g_strsplit(head, "\r\n", 0);
	char **words = g_strsplit(lines[0], " ", 3);
	char *length = find_field(lines, "Content-Length");

	a->method = g_strdup(words[0]);
	a->path = g_strdup(words[0] && words[1] ? words[1] : "");
	a->id = find_field(lines, "Attempt-Id");
	a->resume_id = find_field(lines, "Last-Event-Id");
	a->body_size = length ? (gsize)g_ascii_strtoull(length, NULL, 10) : 0;
	g_free(length);
	g_strfreev(words);
	g_strfreev(lines);
}

static bool read_request(struct connection *c, struct arrival *a)
{
	char *end;
	gsize head;

	while (!(end = strstr(c->input->str, "\r\n\r\n")))
		if (!read_more(c))
			return false;
	*end = '\0';
	head = (gsize)(end - c->input->str) + 4;
	parse_head(a, c->input->str);
	g_string_erase(c->input, 0, (gssize)head);
	while (c->input->len < a->body_size)
		if (!read_more(c))
			return false;
	a->body = g_strndup(c->input->str, a->body_size);
	g_string_erase(c->input, 0, (gssize)a->body_size);
	return true;
}

static void clear_arrival(struct arrival *a)
{
	g_free(a->method);
	g_free(a->path);
	g_free(a->id);
	g_free(a->resume_id);
	g_free(a->body);
}

static bool same(const char *a, const char *b)
{
	return !g_strcmp0(a ? a : "", b ? b : "");
}

/* Finds the request, and notes if it isn't what its caller sent. */
static struct garbled_subject *find_subject(struct garbled_endpoint *endpoint,
					    const struct arrival *a)
{
	struct garbled_subject *subject = NULL;

	if (a->id)
		subject = g_hash_table_lookup(endpoint->subjects, a->id);
	if (!subject)
		endpoint->unknown++;
	else if (!same(subject->method, a->method) ||
		 !same(subject->path, a->path) || !same(subject->body, a->body))
		subject->changed = true;
	return subject;
}

/* Sends the second answer at its moment. */
static void send_second(struct connection *c, struct draft *d)
{
	struct garbled_endpoint *endpoint = c->endpoint;
	gint64 until = g_get_monotonic_time() + IDLE_WAIT_US;

	c->tainted = true;
	if (d->second_at == NEXT_REQUEST) {
		c->late = d->second;
		d->second = NULL;
		return;
	}
	if (d->second_at != IDLE)
		return;
	g_mutex_lock(&endpoint->lock);
	while (!d->subject->done && !endpoint->stopping &&
	       g_cond_wait_until(&endpoint->changed, &endpoint->lock, until))
		;
	g_mutex_unlock(&endpoint->lock);
	send_all(c->fd, d->second);
}

static void end_connection(struct connection *c, enum ending ending)
{
	struct linger linger = { .l_onoff = 1 };

	if (ending == RESET)
		setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &linger,
			   sizeof(linger));
}

/* Answers one request; returns whether the connection goes on. */
static bool serve_request(struct connection *c)
{
	struct garbled_endpoint *endpoint = c->endpoint;
	struct garbled_subject *subject;
	struct draft draft = { 0 };
	struct arrival arrival = { 0 };
	enum ending ending = CLOSE;

	if (!read_request(c, &arrival))
		goto out;
	if (c->late) {
		send_all(c->fd, c->late);
		g_string_free(c->late, TRUE);
		c->late = NULL;
	}
	g_mutex_lock(&endpoint->lock);
	subject = find_subject(endpoint, &arrival);
	if (subject)
		draw_answer(&draft, subject, arrival.resume_id, c);
	g_mutex_unlock(&endpoint->lock);
	if (!subject)
		goto out;
	if (draft.second && draft.second_at == SAME_WRITE)
		g_string_append(draft.bytes, draft.second->str);
	send_all(c->fd, draft.bytes);
	if (draft.second)
		send_second(c, &draft);
	c->tainted |= draft.taints;
	ending = draft.ending;
	clear_draft(&draft);
out:
	clear_arrival(&arrival);
	end_connection(c, ending);
	return ending == KEEP;
}

static void remember_socket(struct garbled_endpoint *endpoint, int fd)
{
	g_array_append_val(endpoint->sockets, fd);
}

static void end_thread(struct garbled_endpoint *endpoint, int fd)
{
	g_mutex_lock(&endpoint->lock);
	for (guint i = 0; i < endpoint->sockets->len; i++)
		if (g_array_index(endpoint->sockets, int, i) == fd) {
			g_array_remove_index_fast(endpoint->sockets, i);
			break;
		}
	close(fd);
	endpoint->connections--;
	g_cond_broadcast(&endpoint->changed);
	g_mutex_unlock(&endpoint->lock);
}

static gpointer run_connection(gpointer ctx)
{
	struct connection *c = ctx;

	c->input = g_string_new(NULL);
	while (serve_request(c))
		;
	if (c->late)
		g_string_free(c->late, TRUE);
	g_string_free(c->input, TRUE);
	end_thread(c->endpoint, c->fd);
	g_free(c);
	return NULL;
}

struct listener {
	struct garbled_endpoint *endpoint;
	int fd;
};

static gpointer run_listener(gpointer ctx)
{
	struct listener *listener = ctx;
	struct garbled_endpoint *endpoint = listener->endpoint;
	int fd;

	while ((fd = accept(listener->fd, NULL, NULL)) >= 0) {
		struct connection *c = g_new0(struct connection, 1);

		c->endpoint = endpoint;
		c->fd = fd;
		g_mutex_lock(&endpoint->lock);
		remember_socket(endpoint, fd);
		if (endpoint->stopping)
			shutdown(fd, SHUT_RDWR);
		endpoint->connections++;
		g_thread_unref(g_thread_new("connection", run_connection, c));
		g_mutex_unlock(&endpoint->lock);
	}
	g_free(listener);
	return NULL;
}

/* ---- starting and stopping ---- */

static void free_answer(gpointer data)
{
	struct garbled_answer *answer = data;

	g_free(answer->seal);
	g_string_free(answer->body, TRUE);
	g_string_free(answer->bytes, TRUE);
	g_free(answer);
}

static void free_subject(gpointer data)
{
	struct garbled_subject *subject = data;

	g_free(subject->id);
	g_free(subject->method);
	g_free(subject->path);
	g_free(subject->body);
	g_ptr_array_unref(subject->answers);
	g_free(subject);
}

static int listen_at(const char *network, int host, int port)
{
	struct sockaddr_in where = { .sin_family = AF_INET };
	char *text = g_strdup_printf("%s.%d", network, host);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	where.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, text, &where.sin_addr);
	g_free(text);
	if (bind(fd, (struct sockaddr *)&where, sizeof(where)) ||
	    listen(fd, BACKLOG))
		g_error("endpoint: %s", g_strerror(errno));
	return fd;
}

struct garbled_endpoint *garbled_endpoint_start(const char *network)
{
	struct garbled_endpoint *endpoint = g_new0(struct garbled_endpoint, 1);

	g_mutex_init(&endpoint->lock);
	g_cond_init(&endpoint->changed);
	endpoint->subjects = g_hash_table_new_full(g_str_hash, g_str_equal,
						   NULL, free_subject);
	endpoint->listeners = g_ptr_array_new();
	endpoint->sockets = g_array_new(FALSE, FALSE, sizeof(int));
	for (int i = 0; i < GARBLED_ENDPOINTS; i++) {
		struct listener *listener = g_new0(struct listener, 1);

		listener->endpoint = endpoint;
		listener->fd = listen_at(network, FIRST_HOST + i,
					 endpoint->port);
		endpoint->port = address_local_port(listener->fd);
		g_mutex_lock(&endpoint->lock);
		remember_socket(endpoint, listener->fd);
		g_ptr_array_add(endpoint->listeners,
				g_thread_new("listener", run_listener,
					     listener));
		g_mutex_unlock(&endpoint->lock);
	}
	return endpoint;
}

void garbled_endpoint_stop(struct garbled_endpoint *endpoint)
{
	g_mutex_lock(&endpoint->lock);
	endpoint->stopping = true;
	g_cond_broadcast(&endpoint->changed);
	for (guint i = 0; i < endpoint->sockets->len; i++)
		shutdown(g_array_index(endpoint->sockets, int, i), SHUT_RDWR);
	g_mutex_unlock(&endpoint->lock);
	for (guint i = 0; i < endpoint->listeners->len; i++)
		g_thread_join(endpoint->listeners->pdata[i]);
	g_mutex_lock(&endpoint->lock);
	while (endpoint->connections)
		g_cond_wait(&endpoint->changed, &endpoint->lock);
	g_mutex_unlock(&endpoint->lock);
	/* What remains are the listening sockets. */
	for (guint i = 0; i < endpoint->sockets->len; i++)
		close(g_array_index(endpoint->sockets, int, i));
	g_ptr_array_unref(endpoint->listeners);
	g_array_unref(endpoint->sockets);
	g_hash_table_unref(endpoint->subjects);
	g_cond_clear(&endpoint->changed);
	g_mutex_clear(&endpoint->lock);
	g_free(endpoint);
}

int garbled_endpoint_port(const struct garbled_endpoint *endpoint)
{
	return endpoint->port;
}

struct garbled_subject *garbled_endpoint_expect(
	struct garbled_endpoint *endpoint,
	const struct garbled_subject *expected)
{
	struct garbled_subject *subject = g_new0(struct garbled_subject, 1);

	*subject = *expected;
	subject->id = g_strdup(expected->id);
	subject->method = g_strdup(expected->method);
	subject->path = g_strdup(expected->path);
	subject->body = g_strdup(expected->body);
	subject->answers = g_ptr_array_new_with_free_func(free_answer);
	g_mutex_lock(&endpoint->lock);
	g_hash_table_insert(endpoint->subjects, subject->id, subject);
	g_mutex_unlock(&endpoint->lock);
	return subject;
}

void garbled_endpoint_limit(struct garbled_endpoint *endpoint, const char *kind)
{
	g_mutex_lock(&endpoint->lock);
	endpoint->only_kind = kind;
	/* The listening sockets come first. */
	for (guint i = GARBLED_ENDPOINTS; i < endpoint->sockets->len; i++)
		shutdown(g_array_index(endpoint->sockets, int, i), SHUT_RDWR);
	g_mutex_unlock(&endpoint->lock);
}

void garbled_endpoint_done(struct garbled_endpoint *endpoint,
			   struct garbled_subject *subject)
{
	g_mutex_lock(&endpoint->lock);
	subject->done = true;
	g_cond_broadcast(&endpoint->changed);
	g_mutex_unlock(&endpoint->lock);
}

int garbled_endpoint_unknown(struct garbled_endpoint *endpoint)
{
	int unknown;

	g_mutex_lock(&endpoint->lock);
	unknown = endpoint->unknown;
	g_mutex_unlock(&endpoint->lock);
	return unknown;
}
