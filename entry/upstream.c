#include <errno.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "common/address.h"
#include "common/answer_guard.h"
#include "common/clock.h"
#include "common/log.h"
#include "entry/response_head.h"
#include "entry/status_line.h"
#include "entry/upstream.h"

#define IDLE_CONNECTIONS_PER_ADDRESS 64
#define STATUS_CONTINUE 100
/*
 * A response is given up after so many checks in a row without a byte. Time in
 * which this process doesn't run counts as one of them, as it may have left
 * bytes unread.
 */
#define SILENT_CHECKS 5
/* evhttp's own timeout doesn't look for unread bytes, so it must not be met. */
#define EVHTTP_TIMEOUT_S 86400
#define US_PER_S 1000000
#define US_PER_MS 1000

static const struct log upstream_log = { "upstream" };

struct upstream_pool {
	struct event_base *base;
	GHashTable *idle;   /* address -> GQueue of evhttp_connection */
	GHashTable *active; /* set of struct upstream */
};

struct upstream {
	struct upstream_pool *pool;
	struct upstream_request opts;
	char *address;
	struct evhttp_connection *conn;
	struct evhttp_request *req; /* NULL once evhttp has freed it */
	bool bytes_sent;	    /* some of the request was sent */
	bool cancelled;
	bool cut;	   /* ended here, before its response was */
	bool closed;	   /* by the endpoint, before the response's end */
	bool not_reusable; /* opts.head() ruled out reuse of `conn` */
	bool paused;
	struct event *check; /* for silence */
	int silent_checks;
	int64_t active_us; /* when bytes were last received or sent */
	struct upstream_end end;
	bool head_done; /* the final response's */
	bool head_has_nul;
	struct status_line_scan status_line;
	struct evbuffer_cb_entry *input_cb;
	struct evbuffer_cb_entry *output_cb;
	struct answer_guard guard;
};

static void queue_free(gpointer data)
{
	g_queue_free_full(data, (GDestroyNotify)evhttp_connection_free);
}

struct upstream_pool *upstream_pool_create(struct event_base *base)
{
	struct upstream_pool *pool = g_new0(struct upstream_pool, 1);

	pool->base = base;
	pool->idle = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   queue_free);
	pool->active = g_hash_table_new(NULL, NULL);
	return pool;
}

/*
 * Whether a connection without a request can take one. Bytes on it are no
 * response to any; evhttp would take them for the response to the next.
 */
static bool is_idle(struct evhttp_connection *conn, const char *address)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(conn);
	evutil_socket_t fd = bufferevent_getfd(bev);
	ssize_t size = (ssize_t)evbuffer_get_length(bufferevent_get_input(bev));
	char byte;

	if (fd < 0)
		return false;
	if (!size)
		size = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	if (size > 0)
		log_note(&upstream_log,
			 "connection not reused: bytes without a request "
			 "at=%s",
			 address);
	return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

static struct timeval timeval_of(int64_t us)
{
	return (struct timeval){ us / US_PER_S, us % US_PER_S };
}

static void release_connection(struct upstream *u, bool reusable)
{
	struct upstream_pool *pool = u->pool;
	GQueue *queue = g_hash_table_lookup(pool->idle, u->address);
	struct timeval idle =
		timeval_of((int64_t)u->opts.unsent_timeout_ms * US_PER_MS);

	g_hash_table_remove(pool->active, u);
	event_free(u->check);
	if (u->input_cb)
		evbuffer_remove_cb_entry(
			bufferevent_get_input(
				evhttp_connection_get_bufferevent(u->conn)),
			u->input_cb);
	answer_guard_stop(&u->guard);
	if (u->output_cb)
		evbuffer_remove_cb_entry(
			bufferevent_get_output(
				evhttp_connection_get_bufferevent(u->conn)),
			u->output_cb);
	if (!queue) {
		queue = g_queue_new();
		g_hash_table_insert(pool->idle, g_strdup(u->address), queue);
	}
	if (reusable && queue->length < IDLE_CONNECTIONS_PER_ADDRESS &&
	    is_idle(u->conn, u->address)) {
		evhttp_connection_set_timeout_tv(u->conn, &idle);
		g_queue_push_tail(queue, u->conn);
	} else {
		evhttp_connection_free(u->conn);
	}
	g_free(u->address);
	g_free(u);
}

/*
 * A connection must not be freed within one of evhttp's own callbacks, so
 * cancelling and finishing are deferred to the event loop.
 */
static void on_deferred_cancel(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	release_connection(arg, false);
}

static void on_deferred_finish(evutil_socket_t fd, short what, void *arg)
{
	struct upstream *u = arg;
	struct upstream_request opts = u->opts;
	struct upstream_end end = u->end;

	(void)fd;
	(void)what;
	if (u->cancelled)
		return;
	/*
	 * Releases the connection first, so that calls started by the `end`
	 * callback can reuse it.
	 */
	release_connection(u, end.result == UPSTREAM_COMPLETE &&
				      !opts.once_only && !u->not_reusable);
	opts.end(opts.ctx, &end);
}

static void note_activity(struct upstream *u)
{
	u->silent_checks = 0;
	u->active_us = clock_now_us(&clock_system);
}

static void on_output(struct evbuffer *buffer,
		      const struct evbuffer_cb_info *info, void *arg)
{
	struct upstream *u = arg;

	(void)buffer;
	if (!info->n_deleted)
		return;
	u->bytes_sent = true;
	note_activity(u);
}

/* Reads status lines in the input from a position on. */
static void read_status_lines(struct upstream *u, struct evbuffer *input,
			      size_t from)
{
	struct evbuffer_iovec part;
	struct evbuffer_ptr at;

	if (u->status_line.done ||
	    evbuffer_ptr_set(input, &at, from, EVBUFFER_PTR_SET) < 0)
		return;
	while (evbuffer_peek(input, -1, &at, &part, 1) > 0 && part.iov_len) {
		status_line_read(&u->status_line, part.iov_base, part.iov_len);
		if (evbuffer_ptr_set(input, &at, part.iov_len,
				     EVBUFFER_PTR_ADD) < 0)
			return;
	}
}

/* Runs before evhttp reads what has arrived. */
static void on_input(struct evbuffer *input,
		     const struct evbuffer_cb_info *info, void *arg)
{
	struct upstream *u = arg;
	size_t before = evbuffer_get_length(input) - info->n_added;

	if (info->n_added) {
		note_activity(u);
		read_status_lines(u, input, before);
	}
	/* A head isn't longer; what comes early may be, and was searched. */
	if (info->n_added && !u->head_done &&
	    before < ANSWER_HEADERS_MAX_BYTES && response_head_has_nul(input))
		u->head_has_nul = true;
}

static bool is_chunked(struct evhttp_request *req)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(req);
	const char *coding = evhttp_find_header(headers, "Transfer-Encoding");

	return coding && !g_ascii_strcasecmp(coding, "chunked");
}

static enum upstream_framing framing_of(struct evhttp_request *req)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(req);
	int status = evhttp_request_get_response_code(req);

	if (status == HTTP_NOCONTENT || status == HTTP_NOTMODIFIED ||
	    evhttp_request_get_command(req) == EVHTTP_REQ_HEAD)
		return FRAMING_BODILESS;
	if (is_chunked(req))
		return FRAMING_CHUNKS;
	return evhttp_find_header(headers, "Content-Length") ? FRAMING_LENGTH
							     : FRAMING_CLOSE;
}

const char *upstream_framing_name(enum upstream_framing framing)
{
	static const char *const names[] = {
		[FRAMING_UNKNOWN] = "unknown", [FRAMING_BODILESS] = "bodiless",
		[FRAMING_LENGTH] = "length",   [FRAMING_CHUNKS] = "chunks",
		[FRAMING_CLOSE] = "close",
	};

	return names[framing];
}

/*
 * evhttp takes the body for empty if a response without framing has a
 * Connection field other than "close", although it ends with the connection.
 */
static void read_until_close(struct evkeyvalq *headers)
{
	while (!evhttp_remove_header(headers, "Connection"))
		;
	evhttp_add_header(headers, "Connection", "close");
}

/* Returns whether the response is refused: it then counts as broken off. */
static bool refuse_head(struct upstream *u, int status,
			struct evkeyvalq *headers)
{
	const char *fault = response_head_fault(status, headers);

	if (u->head_has_nul)
		fault = "nul-in-head";
	if (u->status_line.malformed)
		fault = "malformed-status-line";
	if (fault)
		log_note(&upstream_log,
			 "request %s: response not taken failure=%s status=%d "
			 "at=%s",
			 u->opts.id ? u->opts.id : "-", fault, status,
			 u->address);
	u->end.failure = fault;
	return fault;
}

/* Whether the response is still being received. */
static bool is_open(const struct upstream *u)
{
	/* A response that ended before has its finish scheduled. */
	return !u->cancelled && !u->cut && u->req;
}

/* Ends the request before its response. */
static void cut(struct upstream *u, enum upstream_result result)
{
	struct timeval no_delay = { 0, 0 };

	u->cut = true;
	u->end.result = result;
	event_base_once(u->pool->base, -1, EV_TIMEOUT, on_deferred_finish, u,
			&no_delay);
}

static void on_exceeded(void *ctx)
{
	struct upstream *u = ctx;

	if (is_open(u))
		cut(u, UPSTREAM_EXCEEDED);
}

/* ---- silence ---- */

static int64_t check_interval_us(const struct upstream *u)
{
	int limit_ms = u->bytes_sent ? u->opts.idle_timeout_ms
				     : u->opts.unsent_timeout_ms;

	return (int64_t)MAX(1, limit_ms) * US_PER_MS / SILENT_CHECKS;
}

static void schedule_check(struct upstream *u, int64_t after_us)
{
	struct timeval after = timeval_of(after_us);

	event_add(u->check, &after);
}

static void on_check(evutil_socket_t fd, short what, void *arg)
{
	struct upstream *u = arg;
	int64_t next_us = check_interval_us(u);
	int64_t due_us = (u->silent_checks + 1) * next_us;
	int64_t silent_us = clock_now_us(&clock_system) - u->active_us;

	(void)fd;
	(void)what;
	if (!is_open(u))
		return;
	if (u->paused)
		note_activity(u);
	else if (silent_us >= due_us)
		u->silent_checks++;
	else
		next_us = due_us - silent_us;
	if (u->silent_checks < SILENT_CHECKS) {
		schedule_check(u, next_us);
		return;
	}
	u->end.failure = "timeout";
	cut(u, u->bytes_sent ? UPSTREAM_FAILED : UPSTREAM_NOT_SENT);
}

/* ---- evhttp's callbacks ---- */

static int on_head(struct evhttp_request *req, void *arg)
{
	struct upstream *u = arg;
	struct evkeyvalq *headers = evhttp_request_get_input_headers(req);
	int status = evhttp_request_get_response_code(req);

	if (u->cancelled || u->cut)
		return -1;
	/* evhttp goes on to the final response, and keeps these headers. */
	if (status == STATUS_CONTINUE && !u->status_line.malformed) {
		evhttp_clear_headers(headers);
		return 0;
	}
	u->head_done = true;
	if (refuse_head(u, status, headers))
		return -1;
	u->end.framing = framing_of(req);
	answer_guard_head_done(&u->guard, u->end.framing == FRAMING_CHUNKS);
	if (u->opts.head)
		u->not_reusable = !u->opts.head(u->opts.ctx, status, headers);
	if (u->end.framing == FRAMING_CLOSE)
		read_until_close(headers);
	return 0;
}

static void on_chunk(struct evhttp_request *req, void *arg)
{
	struct upstream *u = arg;

	struct evbuffer *data = evhttp_request_get_input_buffer(req);

	if (u->cancelled || u->cut)
		return;
	answer_guard_delivered(&u->guard, evbuffer_get_length(data));
	u->opts.data(u->opts.ctx, data);
}

static void on_failure(enum evhttp_request_error error, void *arg)
{
	static const char *const names[] = {
		[EVREQ_HTTP_TIMEOUT] = "timeout",
		[EVREQ_HTTP_EOF] = "closed-early",
		[EVREQ_HTTP_INVALID_HEADER] = "invalid-head",
		[EVREQ_HTTP_BUFFER_ERROR] = "io-error",
		[EVREQ_HTTP_REQUEST_CANCEL] = "cancelled",
		[EVREQ_HTTP_DATA_TOO_LONG] = "too-long",
	};
	struct upstream *u = arg;

	u->closed = error == EVREQ_HTTP_EOF;
	if (!u->end.failure)
		u->end.failure = (size_t)error < G_N_ELEMENTS(names)
					 ? names[error]
					 : "other";
}

static void on_done(struct evhttp_request *req, void *arg)
{
	struct upstream *u = arg;
	struct timeval no_delay = { 0, 0 };
	/* evhttp skips only status 100, and passes on other interim ones. */
	bool answered = req && evhttp_request_get_response_code(req) >= HTTP_OK;

	u->req = NULL;
	if (u->cancelled || u->cut)
		return;
	u->end.result = u->closed ? UPSTREAM_CLOSED : UPSTREAM_FAILED;
	/*
	 * evhttp reports a connection reset as a missing response, so a
	 * close-delimited response that is present ended with an orderly close.
	 */
	if (answered &&
	    (u->end.framing != FRAMING_CLOSE || u->opts.close_delimited))
		u->end.result = UPSTREAM_COMPLETE;
	else if (!answered && !u->bytes_sent)
		u->end.result = UPSTREAM_NOT_SENT;
	event_base_once(u->pool->base, -1, EV_TIMEOUT, on_deferred_finish, u,
			&no_delay);
}

static struct evhttp_connection *acquire_connection(struct upstream_pool *pool,
						    const char *text,
						    bool once_only)
{
	GQueue *queue = g_hash_table_lookup(pool->idle, text);
	struct evhttp_connection *conn;
	struct address address;

	while (queue && queue->length && !once_only) {
		conn = g_queue_pop_tail(queue);
		if (is_idle(conn, text))
			return conn;
		evhttp_connection_free(conn);
	}
	if (!address_parse(text, &address))
		memset(&address, 0, sizeof(address));
	conn = evhttp_connection_base_new(
		pool->base, NULL, *address.host ? address.host : "127.0.0.1",
		address.port);
	/* Disables evhttp's own retries, which could send a request twice. */
	evhttp_connection_set_retries(conn, 0);
	evhttp_connection_set_max_headers_size(conn, ANSWER_HEADERS_MAX_BYTES);
	return conn;
}

static void add_headers(struct upstream *u)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(u->req);

	if (u->opts.add_headers)
		u->opts.add_headers(u->opts.ctx, headers);
	if (!evhttp_find_header(headers, "Host"))
		evhttp_add_header(headers, "Host", u->address);
	if (u->opts.once_only)
		evhttp_add_header(headers, "Connection", "close");
}

static void unref_bytes(const void *data, size_t size, void *bytes)
{
	(void)data;
	(void)size;
	g_bytes_unref(bytes);
}

static void add_body(struct upstream *u)
{
	struct evbuffer *out = evhttp_request_get_output_buffer(u->req);
	char length[24];
	gsize size;
	const void *data;

	if (!u->opts.body)
		return;
	data = g_bytes_get_data(u->opts.body, &size);
	if (!size)
		return;
	/*
	 * evhttp adds Content-Length for some methods only, but sends the body
	 * for all.
	 */
	g_snprintf(length, sizeof(length), "%zu", size);
	evhttp_add_header(evhttp_request_get_output_headers(u->req),
			  "Content-Length", length);
	evbuffer_add_reference(out, data, size, unref_bytes,
			       g_bytes_ref(u->opts.body));
}

struct upstream *upstream_send(struct upstream_pool *pool,
			       const struct upstream_request *request)
{
	struct upstream *u = g_new0(struct upstream, 1);
	struct timeval evhttp_timeout = { EVHTTP_TIMEOUT_S, 0 };
	struct bufferevent *bev;

	u->pool = pool;
	u->opts = *request;
	u->address = g_strdup(request->address);
	u->conn = acquire_connection(pool, u->address, request->once_only);
	evhttp_connection_set_timeout_tv(u->conn, &evhttp_timeout);
	bev = evhttp_connection_get_bufferevent(u->conn);
	/* evhttp connects again if the connection was closed since. */
	u->end.reused_connection = bufferevent_getfd(bev) >= 0;
	read_status_lines(u, bufferevent_get_input(bev), 0);
	u->input_cb = evbuffer_add_cb(bufferevent_get_input(bev), on_input, u);
	u->output_cb = evbuffer_add_cb(bufferevent_get_output(bev), on_output,
				       u);
	u->guard = (struct answer_guard){
		.bev = bev,
		.pending_max_bytes = request->pending_max_bytes,
		.exceeded = on_exceeded,
		.ctx = u,
	};
	answer_guard_start(&u->guard);
	u->req = evhttp_request_new(on_done, u);
	evhttp_request_set_header_cb(u->req, on_head);
	evhttp_request_set_chunked_cb(u->req, on_chunk);
	evhttp_request_set_error_cb(u->req, on_failure);
	add_headers(u);
	add_body(u);
	g_hash_table_add(pool->active, u);
	u->check = evtimer_new(pool->base, on_check, u);
	note_activity(u);
	schedule_check(u, check_interval_us(u));
	/* A failure is reported through on_done(), as any other. */
	(void)evhttp_make_request(u->conn, u->req, request->method,
				  request->path);
	return u;
}

void upstream_cancel(struct upstream *u)
{
	struct timeval no_delay = { 0, 0 };

	if (!u || u->cancelled)
		return;
	u->cancelled = true;
	event_base_once(u->pool->base, -1, EV_TIMEOUT, on_deferred_cancel, u,
			&no_delay);
}

bool upstream_is_reused(const struct upstream *u)
{
	return u->end.reused_connection;
}

bool upstream_is_connecting(const struct upstream *u)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(u->conn);
	struct sockaddr_storage peer;
	socklen_t size = sizeof(peer);
	evutil_socket_t fd = bufferevent_getfd(bev);

	return is_open(u) && !u->bytes_sent &&
	       (fd < 0 || getpeername(fd, (struct sockaddr *)&peer, &size));
}

size_t upstream_unread_bytes(const struct upstream *u)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(u->conn);
	evutil_socket_t fd = bufferevent_getfd(bev);
	int in_socket = 0;

	if (fd >= 0 && ioctl(fd, FIONREAD, &in_socket) < 0)
		in_socket = 0;
	return (size_t)in_socket +
	       evbuffer_get_length(bufferevent_get_input(bev));
}

bool upstream_end_pending(const struct upstream *u)
{
	return !u->req;
}

bool upstream_can_wait(const struct upstream *u)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(u->conn);

	return is_open(u) && u->bytes_sent &&
	       !evbuffer_get_length(bufferevent_get_output(bev));
}

void upstream_pause(struct upstream *u, bool paused)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(u->conn);

	u->paused = paused;
	note_activity(u);
	if (paused)
		bufferevent_disable(bev, EV_READ);
	else
		bufferevent_enable(bev, EV_READ);
}

void upstream_pool_destroy(struct upstream_pool *pool)
{
	GHashTableIter iter;
	gpointer key;

	if (!pool)
		return;
	g_hash_table_iter_init(&iter, pool->active);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct upstream *u = key;

		u->cancelled = true;
		event_free(u->check);
		answer_guard_stop(&u->guard);
		evhttp_connection_free(u->conn);
		g_free(u->address);
		g_free(u);
	}
	g_hash_table_unref(pool->active);
	g_hash_table_unref(pool->idle);
	g_free(pool);
}
