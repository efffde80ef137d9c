#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "common/address.h"
#include "entry/upstream.h"

#define IDLE_CONNECTIONS_PER_ADDRESS 64
#define HEADER_BYTES 65536

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
	bool is_framed; /* the response has a length or is chunked */
	bool cancelled;
	bool closed;	   /* by the endpoint, before the response's end */
	bool not_reusable; /* opts.head() ruled out reuse of `conn` */
	enum upstream_result end;
	struct evbuffer_cb_entry *output_cb;
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

static void release_connection(struct upstream *u, bool reusable)
{
	struct upstream_pool *pool = u->pool;
	GQueue *queue = g_hash_table_lookup(pool->idle, u->address);

	g_hash_table_remove(pool->active, u);
	if (u->output_cb)
		evbuffer_remove_cb_entry(
			bufferevent_get_output(
				evhttp_connection_get_bufferevent(u->conn)),
			u->output_cb);
	if (!queue) {
		queue = g_queue_new();
		g_hash_table_insert(pool->idle, g_strdup(u->address), queue);
	}
	if (reusable && queue->length < IDLE_CONNECTIONS_PER_ADDRESS)
		g_queue_push_tail(queue, u->conn);
	else
		evhttp_connection_free(u->conn);
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
	enum upstream_result end = u->end;

	(void)fd;
	(void)what;
	if (u->cancelled)
		return;
	/*
	 * Releases the connection first, so that calls started by the `end`
	 * callback can reuse it.
	 */
	release_connection(u, end == UPSTREAM_COMPLETE && !opts.once_only &&
				      !u->not_reusable);
	opts.end(opts.ctx, end);
}

static void on_output(struct evbuffer *buffer,
		      const struct evbuffer_cb_info *info, void *arg)
{
	struct upstream *u = arg;

	(void)buffer;
	if (info->n_deleted)
		u->bytes_sent = true;
}

static bool has_framing(struct evhttp_request *req)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(req);
	const char *coding = evhttp_find_header(headers, "Transfer-Encoding");
	int status = evhttp_request_get_response_code(req);

	return evhttp_find_header(headers, "Content-Length") ||
	       (coding && !g_ascii_strcasecmp(coding, "chunked")) ||
	       status == HTTP_NOCONTENT || status == HTTP_NOTMODIFIED ||
	       evhttp_request_get_command(req) == EVHTTP_REQ_HEAD;
}

static int on_head(struct evhttp_request *req, void *arg)
{
	struct upstream *u = arg;

	if (u->cancelled)
		return -1;
	u->is_framed = has_framing(req);
	if (u->opts.head)
		u->not_reusable = !u->opts.head(
			u->opts.ctx, evhttp_request_get_response_code(req),
			evhttp_request_get_input_headers(req));
	return 0;
}

static void on_chunk(struct evhttp_request *req, void *arg)
{
	struct upstream *u = arg;

	if (!u->cancelled)
		u->opts.data(u->opts.ctx, evhttp_request_get_input_buffer(req));
}

/* Runs before on_done(). */
static void on_error(enum evhttp_request_error error, void *arg)
{
	struct upstream *u = arg;

	u->closed = error == EVREQ_HTTP_EOF;
}

static void on_done(struct evhttp_request *req, void *arg)
{
	struct upstream *u = arg;
	struct timeval no_delay = { 0, 0 };
	bool answered = req && evhttp_request_get_response_code(req) != 0;

	u->req = NULL;
	if (u->cancelled)
		return;
	u->end = u->closed ? UPSTREAM_CLOSED : UPSTREAM_FAILED;
	/*
	 * evhttp reports a connection reset as a missing response, so a
	 * close-delimited response that is present ended with an orderly close.
	 */
	if (answered && (u->is_framed || u->opts.close_delimited))
		u->end = UPSTREAM_COMPLETE;
	else if (!answered && !u->bytes_sent)
		u->end = UPSTREAM_NOT_SENT;
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

	if (queue && queue->length && !once_only)
		return g_queue_pop_tail(queue);
	if (!address_parse(text, &address))
		memset(&address, 0, sizeof(address));
	conn = evhttp_connection_base_new(
		pool->base, NULL, *address.host ? address.host : "127.0.0.1",
		address.port);
	/* Disables evhttp's own retries, which could send a request twice. */
	evhttp_connection_set_retries(conn, 0);
	evhttp_connection_set_max_headers_size(conn, HEADER_BYTES);
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
	struct timeval idle = { request->idle_timeout_ms / 1000,
				(request->idle_timeout_ms % 1000) * 1000 };
	struct bufferevent *bev;

	u->pool = pool;
	u->opts = *request;
	u->address = g_strdup(request->address);
	u->conn = acquire_connection(pool, u->address, request->once_only);
	evhttp_connection_set_timeout_tv(u->conn, &idle);
	bev = evhttp_connection_get_bufferevent(u->conn);
	u->output_cb = evbuffer_add_cb(bufferevent_get_output(bev), on_output,
				       u);
	u->req = evhttp_request_new(on_done, u);
	evhttp_request_set_header_cb(u->req, on_head);
	evhttp_request_set_chunked_cb(u->req, on_chunk);
	evhttp_request_set_error_cb(u->req, on_error);
	add_headers(u);
	add_body(u);
	g_hash_table_add(pool->active, u);
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

void upstream_pause(struct upstream *u, bool paused)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(u->conn);

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
		evhttp_connection_free(u->conn);
		g_free(u->address);
		g_free(u);
	}
	g_hash_table_unref(pool->active);
	g_hash_table_unref(pool->idle);
	g_free(pool);
}
