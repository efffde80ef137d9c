#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "common/address.h"
#include "test/endless_endpoint.h"

#define LISTEN_BACKLOG 64
#define REQUEST_MAX 65536
#define PIECE_BYTES 16384
/* Keeps what the peer has not received out of the count of sent bytes. */
#define SEND_BUFFER_BYTES 131072
#define SLOW_MS 1000
#define CHUNKED "Transfer-Encoding: chunked\r\n"
#define EVENTS "Content-Type: text/event-stream\r\n" CHUNKED
/* The path of a sound answer that precedes the reading of a body. */
#define EARLY_PATH " /book/early "
#define EARLY_BODY_BYTES 300000
#define FIRST_EVENT "10\r\nid: 1\ndata: xy\n\n\r\n"

/**
 * An answer: the status line, the id and the seal if `head`, then `start`, then
 * `repeat` again and again, or a byte of it a second if `slow`.
 */
struct play {
	const char *name;
	const char *id; /* instead of the request's */
	const char *start, *repeat;
	bool head, slow;
};

static const struct play plays[] = {
	{ "body-length", NULL, "Content-Length: 1099511627776\r\n\r\n", "x",
	  true, false },
	{ "body-chunked", NULL, CHUNKED "\r\n", "10\r\npieces of a body\r\n",
	  true, false },
	{ "body-close", NULL, "\r\n", "x", true, false },
	{ "mismatched", "another", CHUNKED "\r\n", "4\r\nbody\r\n", true,
	  false },
	{ "status-line", NULL, "HTTP/1.1 200 ", "x", false, false },
	{ "header-line", NULL, "X-Long: ", "x", true, false },
	{ "headers", NULL, "", "X-Some: x\r\n", true, false },
	{ "continue", NULL, "", "HTTP/1.1 100 Continue\r\n\r\n", false, false },
	{ "continue-headers", NULL, "",
	  "HTTP/1.1 100 Continue\r\nX-Some: x\r\n\r\n", false, false },
	{ "chunk-line", NULL, CHUNKED "\r\n4;", "x", true, false },
	{ "chunk-blank", NULL, CHUNKED "\r\n", "\r\n", true, false },
	{ "chunk-padding", NULL, CHUNKED "\r\n",
	  "1 xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\nx\r\n", true, false },
	{ "chunk", NULL, CHUNKED "\r\nffffffffff\r\n", "x", true, false },
	{ "trailers", NULL, CHUNKED "\r\n4\r\nbody\r\n0\r\n", "X-Some: x\r\n",
	  true, false },
	{ "trailer-line", NULL, CHUNKED "\r\n4\r\nbody\r\n0\r\nX-Long: ", "x",
	  true, false },
	{ "after", NULL, "Content-Length: 5\r\n\r\nwhole", "x", true, false },
	{ "event", NULL, EVENTS "\r\n", "4\r\nbody\r\n", true, false },
	{ "event-chunk", NULL, EVENTS "\r\nffffffffff\r\n", "x", true, false },
	{ "slow-head", NULL, "X-Long: ", "x", true, true },
	{ "slow-body", NULL, "Content-Length: 1000\r\n\r\n", "x", true, true },
	{ "slow-first-event", NULL, EVENTS "\r\n", "1\r\n:\r\n", true, true },
	{ "slow-event", NULL, EVENTS "\r\n" FIRST_EVENT, "1\r\n:\r\n", true,
	  true },
	{ 0 },
};

struct endless_endpoint {
	int fd;
	bool sound;
	GThread *thread;
	GMutex lock;
	GCond changed;
	int begun, open, connections;
	int64_t sent;
	volatile gint stop;
};

struct connection {
	struct endless_endpoint *endpoint;
	int fd;
};

/* Returns whether the socket became ready for `events` before a stop. */
static bool wait_ready(struct endless_endpoint *e, int fd, short events)
{
	while (!g_atomic_int_get(&e->stop)) {
		struct pollfd ready = { .fd = fd, .events = events };

		if (poll(&ready, 1, 100) > 0)
			return true;
	}
	return false;
}

static bool send_all(struct endless_endpoint *e, int fd, const char *data,
		     size_t size, int64_t *sent)
{
	while (size) {
		ssize_t n;

		if (!wait_ready(e, fd, POLLOUT))
			return false;
		n = send(fd, data, size, MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n < 0 && errno != EAGAIN)
			return false;
		if (n < 0)
			continue;
		data += n;
		size -= (size_t)n;
		*sent += n;
	}
	return true;
}

/* Returns a head up to its last line, or NULL once the peer has closed. */
static char *read_request(struct endless_endpoint *e, int fd)
{
	GString *text = g_string_new(NULL);
	char buffer[4096];
	ssize_t n;

	while (!strstr(text->str, "\r\n\r\n") && text->len < REQUEST_MAX) {
		n = wait_ready(e, fd, POLLIN)
			    ? recv(fd, buffer, sizeof(buffer), 0)
			    : 0;
		if (n <= 0) {
			g_string_free(text, TRUE);
			return NULL;
		}
		g_string_append_len(text, buffer, n);
	}
	return g_string_free(text, FALSE);
}

static char *request_header(const char *request, const char *name)
{
	char *start = g_strdup_printf("\r\n%s: ", name);
	const char *at = strstr(request, start);
	char *value = NULL;

	if (at) {
		at += strlen(start);
		value = g_strndup(at, strcspn(at, "\r"));
	}
	g_free(start);
	return value;
}

static char *answer_head(const char *request, const char *id)
{
	char *own_id = request_header(request, "Attempt-Id");
	char *head = g_strdup_printf("HTTP/1.1 200 OK\r\nResponse-Seal: seal"
				     "\r\nAttempt-Id: %s\r\n",
				     id	      ? id
				     : own_id ? own_id
					      : "-");

	g_free(own_id);
	return head;
}

/* Waits a second, or until the peer closes. */
static bool wait_slowly(struct endless_endpoint *e, int fd)
{
	struct pollfd closed = { .fd = fd, .events = POLLRDHUP };

	return !g_atomic_int_get(&e->stop) && poll(&closed, 1, SLOW_MS) == 0;
}

static void send_without_end(struct endless_endpoint *e, int fd,
			     const struct play *play, int64_t *sent)
{
	GString *piece = g_string_new(NULL);

	do
		g_string_append(piece, play->repeat);
	while (!play->slow && piece->len < PIECE_BYTES);
	while (send_all(e, fd, piece->str, piece->len, sent) &&
	       (!play->slow || wait_slowly(e, fd)))
		;
	g_string_free(piece, TRUE);
}

static void run_play(struct endless_endpoint *e, int fd,
		     const struct play *play, const char *request)
{
	char *head = answer_head(request, play->id);
	int64_t sent = 0;

	g_mutex_lock(&e->lock);
	e->begun++;
	e->open++;
	g_mutex_unlock(&e->lock);
	if ((!play->head || send_all(e, fd, head, strlen(head), &sent)) &&
	    send_all(e, fd, play->start, strlen(play->start), &sent))
		send_without_end(e, fd, play, &sent);
	g_mutex_lock(&e->lock);
	e->open--;
	e->sent += sent;
	g_cond_broadcast(&e->changed);
	g_mutex_unlock(&e->lock);
	g_free(head);
}

static bool send_whole(struct endless_endpoint *e, int fd, const char *request)
{
	bool resumed = strstr(request, "\r\nLast-Event-Id:") != NULL;
	bool stream = strstr(request, " /streams/") != NULL;
	char *head = answer_head(request, NULL);
	char *text = g_strdup_printf("%s%s", head,
				     !stream ? "Content-Length: 5\r\n\r\nwhole"
				     : resumed ? EVENTS "\r\n10\r\nid: "
							"2\ndata: "
							"zz\n\n\r\n0\r\n\r\n"
					       : EVENTS "\r\n" FIRST_EVENT
							"10\r\nid: 2\ndata: "
							"zz\n\n\r\n0\r\n\r\n");
	int64_t sent = 0;
	bool ok = send_all(e, fd, text, strlen(text), &sent);

	g_free(text);
	g_free(head);
	return ok;
}

static bool read_body(struct endless_endpoint *e, int fd, const char *request)
{
	char *length = request_header(request, "Content-Length");
	const char *body = strstr(request, "\r\n\r\n") + strlen("\r\n\r\n");
	int64_t left = length ? g_ascii_strtoll(length, NULL, 10) : 0;
	char buffer[65536];

	left -= (int64_t)strlen(body);
	while (left > 0) {
		ssize_t n = wait_ready(e, fd, POLLIN)
				    ? recv(fd, buffer, sizeof(buffer), 0)
				    : 0;

		if (n <= 0)
			break;
		left -= n;
	}
	g_free(length);
	return left <= 0;
}

static bool send_early(struct endless_endpoint *e, int fd, const char *request)
{
	char *head = answer_head(request, NULL);
	char *body = g_strnfill(EARLY_BODY_BYTES, 'x');
	char *text = g_strdup_printf("%sContent-Length: %d\r\n\r\n%s", head,
				     EARLY_BODY_BYTES, body);
	int64_t sent = 0;
	bool ok = send_all(e, fd, text, strlen(text), &sent) &&
		  read_body(e, fd, request);

	g_free(text);
	g_free(body);
	g_free(head);
	return ok;
}

static bool answer_request(struct endless_endpoint *e, int fd,
			   const char *request)
{
	return strstr(request, EARLY_PATH) ? send_early(e, fd, request)
					   : send_whole(e, fd, request);
}

static const struct play *find_play(const char *request)
{
	size_t size = strcspn(request, " ");
	const char *target = request + size + (request[size] ? 1 : 0);
	char *text = g_strndup(target, strcspn(target, " \r"));
	char *named = request_header(request, "X-Play");
	const char *slash = strrchr(text, '/');
	const char *name = named ? named : slash ? slash + 1 : "";
	const struct play *play = plays;

	while (play->name && strcmp(play->name, name) != 0)
		play++;
	g_free(text);
	g_free(named);
	return play->name ? play : NULL;
}

static gpointer run_connection(gpointer ctx)
{
	struct connection *c = ctx;
	struct endless_endpoint *e = c->endpoint;
	const struct play *play = NULL;
	char *request;

	while (!play && (request = read_request(e, c->fd))) {
		play = e->sound ? NULL : find_play(request);
		if (play)
			run_play(e, c->fd, play, request);
		else if (!answer_request(e, c->fd, request))
			play = plays;
		g_free(request);
	}
	close(c->fd);
	g_mutex_lock(&e->lock);
	e->connections--;
	g_cond_broadcast(&e->changed);
	g_mutex_unlock(&e->lock);
	g_free(c);
	return NULL;
}

static gpointer run_endpoint(gpointer ctx)
{
	struct endless_endpoint *e = ctx;
	const int buffer = SEND_BUFFER_BYTES, on = 1;

	while (wait_ready(e, e->fd, POLLIN)) {
		struct connection *c;
		int fd = accept(e->fd, NULL, NULL);

		if (fd < 0)
			continue;
		(void)setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &buffer,
				 sizeof(buffer));
		(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		c = g_new0(struct connection, 1);
		c->endpoint = e;
		c->fd = fd;
		g_mutex_lock(&e->lock);
		e->connections++;
		g_mutex_unlock(&e->lock);
		g_thread_unref(g_thread_new("endless", run_connection, c));
	}
	return NULL;
}

struct endless_endpoint *endless_endpoint_create(const char *address,
						 bool sound)
{
	struct endless_endpoint *e = g_new0(struct endless_endpoint, 1);
	struct address parsed;

	e->sound = sound;
	g_mutex_init(&e->lock);
	g_cond_init(&e->changed);
	if (!address_parse(address, &parsed))
		g_error("%s is no address", address);
	e->fd = address_listen(&parsed, LISTEN_BACKLOG);
	if (e->fd < 0)
		g_error("%s: %s", address, g_strerror(errno));
	e->thread = g_thread_new("endless", run_endpoint, e);
	return e;
}

void endless_endpoint_destroy(struct endless_endpoint *e)
{
	if (!e)
		return;
	g_atomic_int_set(&e->stop, 1);
	g_thread_join(e->thread);
	g_mutex_lock(&e->lock);
	while (e->connections)
		g_cond_wait(&e->changed, &e->lock);
	g_mutex_unlock(&e->lock);
	close(e->fd);
	g_mutex_clear(&e->lock);
	g_cond_clear(&e->changed);
	g_free(e);
}

int endless_endpoint_port(const struct endless_endpoint *e)
{
	return address_local_port(e->fd);
}

int endless_endpoint_plays(struct endless_endpoint *e)
{
	int begun;

	g_mutex_lock(&e->lock);
	begun = e->begun;
	g_mutex_unlock(&e->lock);
	return begun;
}

int64_t endless_endpoint_wait(struct endless_endpoint *e, int timeout_ms)
{
	gint64 until = g_get_monotonic_time() + (gint64)timeout_ms * 1000;
	int64_t sent;

	g_mutex_lock(&e->lock);
	while (e->open && g_cond_wait_until(&e->changed, &e->lock, until))
		;
	sent = e->open ? -1 : e->sent;
	e->sent = 0;
	g_mutex_unlock(&e->lock);
	return sent;
}
