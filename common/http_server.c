#include <errno.h>
#include <string.h>
#include <unistd.h>

#include <event2/listener.h>

#include "common/address.h"
#include "common/http_conn.h"
#include "common/log.h"

#define LISTEN_BACKLOG 1024
/* Interval at which times are compared; they are counted in it. */
#define SWEEP_MS 1000
#define RETRY_AFTER_MS 1000

static const struct log server_log = { "http" };

/* evhttp -> struct http_server, of all threads. */
static GHashTable *servers;
static GMutex servers_lock;

static struct http_server *find_server(struct evhttp *http)
{
	struct http_server *server;

	g_mutex_lock(&servers_lock);
	server = servers ? g_hash_table_lookup(servers, http) : NULL;
	g_mutex_unlock(&servers_lock);
	return server;
}

struct http_conn *http_conn_find(struct evhttp_connection *conn)
{
	struct http_server *server =
		find_server(evhttp_connection_get_server(conn));

	return server ? g_hash_table_lookup(
				server->by_bev,
				evhttp_connection_get_bufferevent(conn))
		      : NULL;
}

void http_server_count(const struct http_server *server, enum counter which,
		       int64_t n)
{
	if (server->opts.counters)
		counters_add(server->opts.counters, which, n);
}

/* ---- accepting ---- */

static void adopt_accepted(struct http_server *server)
{
	for (GList *l = server->conns.tail; l; l = l->prev) {
		struct http_conn *c = l->data;

		if (c->conn)
			return;
		http_conn_adopt(c);
	}
}

/* Runs in the turn of the event loop that it became due in. */
static void on_later(evutil_socket_t fd, short what, void *arg)
{
	struct http_server *server = arg;

	(void)fd;
	(void)what;
	adopt_accepted(server);
	http_conn_read_due(server);
}

static bool is_idle(const struct http_conn *c)
{
	return c->state == CONN_RECEIVING && !c->receiving;
}

/*
 * The connection that gives way to a new one: the longest idle, or else the one
 * whose request began first of those that aren't whole. NULL for none.
 */
static struct http_conn *pick_connection(const struct http_server *server)
{
	struct http_conn *picked = NULL;

	for (GList *l = server->conns.head; l; l = l->next) {
		struct http_conn *c = l->data;

		if (c->state != CONN_RECEIVING)
			continue;
		if (!picked || (is_idle(c) && !is_idle(picked)) ||
		    (is_idle(c) == is_idle(picked) &&
		     c->since_sweep < picked->since_sweep))
			picked = c;
	}
	return picked;
}

/* Returns false if no connection can give way. */
static bool end_a_connection(struct http_server *server)
{
	struct http_conn *c = pick_connection(server);

	if (!c)
		return false;
	http_server_count(server, COUNTER_CLIENTS_BEYOND_CONNECTIONS, 1);
	http_conn_adopt(c);
	http_conn_end(c);
	return true;
}

static bool is_full(const struct http_server *server)
{
	int limit = server->opts.server.connections;

	return limit && (int)server->conns.length >= limit;
}

static struct bufferevent *accept_connection(struct event_base *base, void *arg)
{
	struct http_server *server = arg;
	struct bufferevent *bev = bufferevent_socket_new(base, -1, 0);
	/* Those that end now are closed in the next turn. */
	bool has_place = !is_full(server) || end_a_connection(server);

	if (!bev)
		return NULL;
	http_conn_create(server, bev, has_place ? RD_OK : RD_NO_ROOM);
	event_active(server->later, EV_TIMEOUT, 0);
	return bev;
}

static void on_accept_error(struct evconnlistener *listener, void *http)
{
	struct http_server *server = find_server(http);

	(void)listener;
	accept_rest_begin(&server->rest);
	(void)end_a_connection(server);
}

/* ---- times ---- */

/* Whether `limit_ms` are over for sure: a sweep counts as one interval. */
static bool is_over(const struct http_conn *c, int limit_ms)
{
	uint32_t sweeps = c->server->sweeps - c->since_sweep;

	return limit_ms && sweeps > 1 &&
	       (int64_t)(sweeps - 1) * SWEEP_MS >= limit_ms;
}

static void check_times(struct http_conn *c)
{
	const struct http_client_limits *limits = &c->server->opts.client;

	if (c->state != CONN_RECEIVING)
		return;
	if (is_idle(c)) {
		if (is_over(c, limits->idle_ms))
			http_conn_end(c);
		return;
	}
	if (is_over(c, limits->receive_ms) ||
	    (!request_reader_has_head(&c->reader) &&
	     is_over(c, limits->head_ms)))
		http_conn_refuse(c, RD_SLOW_REQUEST, COUNTER_CLIENTS_SLOW);
}

static void show_bytes(struct http_server *server)
{
	http_server_count(server, COUNTER_CLIENT_REQUEST_BYTES,
			  (int64_t)server->requests.bytes -
				  (int64_t)server->shown_request_bytes);
	http_server_count(server, COUNTER_CLIENT_UNREAD_BYTES,
			  (int64_t)server->unread.bytes -
				  (int64_t)server->shown_unread_bytes);
	server->shown_request_bytes = server->requests.bytes;
	server->shown_unread_bytes = server->unread.bytes;
}

/* A paused process counts one interval, however long its pause was. */
static void on_sweep(evutil_socket_t fd, short what, void *arg)
{
	struct http_server *server = arg;

	(void)fd;
	(void)what;
	server->sweeps++;
	for (GList *l = server->conns.head; l; l = l->next) {
		http_conn_adopt(l->data);
		check_times(l->data);
	}
	if (server->refused || server->ended)
		log_info(&server_log,
			 "%s: refused=%u closed=%u connections=%u "
			 "request_bytes=%zu unread_bytes=%zu",
			 server->opts.address, server->refused, server->ended,
			 server->conns.length, server->requests.bytes,
			 server->unread.bytes);
	server->refused = 0;
	server->ended = 0;
	show_bytes(server);
}

/* ---- requests ---- */

static int retry_after_ms(enum rd_result code)
{
	return rd_result_info(code)->http_status == 503 ? RETRY_AFTER_MS : 0;
}

static void handle(struct evhttp_request *req, void *arg)
{
	struct http_server *server = arg;
	const struct http_conn *c =
		http_conn_find(evhttp_request_get_connection(req));
	struct problem problem = { .outcome = OUTCOME_NOT_RUN, .close = true };

	if (!c || !c->refusal) {
		server->opts.handle(req, server->opts.ctx);
		return;
	}
	problem.code = c->refusal;
	problem.retry_after_ms = retry_after_ms(c->refusal);
	if (server->opts.refuse)
		server->opts.refuse(req, &problem);
	else
		http_send_problem(req, &problem);
}

/* ---- opening and closing ---- */

static void server_free(struct http_server *server)
{
	g_hash_table_unref(server->by_bev);
	event_free(server->later);
	event_free(server->sweep);
	accept_rest_clear(&server->rest);
	g_free((char *)server->opts.address);
	g_free(server);
}

static struct http_server *server_new(const struct http_listen_opts *opts)
{
	struct http_server *server = g_new0(struct http_server, 1);
	struct timeval interval = { SWEEP_MS / 1000, SWEEP_MS % 1000 * 1000 };

	server->opts = *opts;
	server->opts.address = g_strdup(opts->address);
	server->requests.limit_bytes = opts->server.request_bytes;
	server->unread.limit_bytes = opts->server.unread_bytes;
	server->by_bev = g_hash_table_new(NULL, NULL);
	server->later = event_new(opts->base, -1, 0, on_later, server);
	server->sweep = event_new(opts->base, -1, EV_PERSIST, on_sweep, server);
	event_add(server->sweep, &interval);
	return server;
}

static void register_server(struct http_server *server)
{
	g_mutex_lock(&servers_lock);
	if (!servers)
		servers = g_hash_table_new(NULL, NULL);
	g_hash_table_insert(servers, server->http, server);
	g_mutex_unlock(&servers_lock);
}

static struct evhttp *open_http(const struct http_listen_opts *opts, int fd)
{
	struct http_server *server = server_new(opts);
	struct evhttp_bound_socket *bound = NULL;
	struct evconnlistener *listener;

	server->http = evhttp_new(opts->base);
	if (server->http)
		bound = evhttp_accept_socket_with_handle(server->http, fd);
	if (!bound) {
		if (server->http)
			evhttp_free(server->http);
		server_free(server);
		return NULL;
	}
	listener = evhttp_bound_socket_get_listener(bound);
	accept_rest_init(&server->rest, opts->base, listener,
			 server->opts.address);
	evconnlistener_set_error_cb(listener, on_accept_error);
	evhttp_set_timeout(server->http, opts->timeout_s);
	evhttp_set_allowed_methods(
		server->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
				      EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
				      EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH |
				      EVHTTP_REQ_OPTIONS);
	evhttp_set_bevcb(server->http, accept_connection, server);
	evhttp_set_gencb(server->http, handle, server);
	register_server(server);
	log_info(&server_log,
		 "%s: opened; limits connections=%d request_bytes=%zu "
		 "unread_bytes=%zu",
		 opts->address, opts->server.connections,
		 opts->server.request_bytes, opts->server.unread_bytes);
	return server->http;
}

static struct evhttp *open_server(const struct http_listen_opts *opts,
				  int *port)
{
	struct address address;
	struct evhttp *http;
	int fd;

	errno = EINVAL;
	if (!address_parse(opts->address, &address))
		return NULL;
	fd = address_listen(&address, LISTEN_BACKLOG);
	if (fd < 0)
		return NULL;
	http = open_http(opts, fd);
	if (!http) {
		close(fd);
		return NULL;
	}
	*port = address_local_port(fd);
	return http;
}

struct evhttp *http_listen(const struct http_listen_opts *opts, int *port,
			   char **why)
{
	struct evhttp *http = open_server(opts, port);

	if (!http && why)
		*why = g_strdup_printf("%s%s%s: %s",
				       opts->setting ? opts->setting : "",
				       opts->setting ? " " : "", opts->address,
				       g_strerror(errno));
	return http;
}

void http_close(struct evhttp *http)
{
	struct http_server *server = find_server(http);

	/* Those that aren't adopted yet have no callback for their end. */
	for (GList *l = server->conns.head; l; l = l->next)
		http_conn_adopt(l->data);
	evhttp_free(http);
	g_mutex_lock(&servers_lock);
	g_hash_table_remove(servers, http);
	g_mutex_unlock(&servers_lock);
	server_free(server);
}

void http_set_client_limits(struct evhttp *http,
			    const struct http_client_limits *limits)
{
	find_server(http)->opts.client = *limits;
}
