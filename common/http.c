#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include "common/address.h"
#include "common/clock.h"
#include "common/http.h"
#include "common/log.h"

#define LISTEN_BACKLOG 1024
#define MS_PER_S 1000
#define READ_AHEAD_MAX 65536
#define LOOP_END_RETRY_US 1000
/* Connections on which sent data stays unacknowledged for longer are closed. */
#define RESPONSE_ACK_TIMEOUT_MS 30000
#define BEARER "Bearer "
#define LENGTH_DIGITS_MAX 18 /* evhttp keeps lengths in 64 bits */
#define TOKEN_CHARACTERS \
	"!#$%&'*+-.^_`|~" G_CSET_DIGITS G_CSET_a_2_z G_CSET_A_2_Z

static json_t *problem_json(const struct problem *p)
{
	const struct rd_result_info *info = rd_result_info(p->code);
	char type[96];
	json_t *body;

	g_snprintf(type, sizeof(type), "urn:radishdeal:result:%s", info->name);
	body = json_pack("{s:s,s:s,s:i,s:s,s:i,s:s}", "type", type, "title",
			 info->text, "status", info->http_status, "detail",
			 p->detail ? p->detail : info->text, "code",
			 (int)info->code, "outcome",
			 p->outcome == OUTCOME_NOT_RUN ? "not-run" : "unknown");
	if (!body)
		body = json_pack("{s:i}", "code", (int)info->code);
	if (p->request_id)
		json_object_set_new(body, "request",
				    json_string(p->request_id));
	if (p->extension_members)
		json_object_update(body, p->extension_members);
	return body;
}

char *http_problem_text(const struct problem *problem)
{
	json_t *body = problem_json(problem);
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	return text;
}

static const struct log http_log = { "http" };

/* Bytes of a request besides its head and body. */
#define FRAMING_MAX_BYTES 65536
/* As much framing is allowed for each byte of the largest body. */
#define FRAMING_PER_BODY_BYTE 4

/* Limits of a server on what it takes of one request. */
struct receive_limits {
	size_t pending_bytes; /* not yet taken by evhttp */
	size_t bytes;
};

/* Server -> its struct receive_limits, of all threads. */
static GHashTable *limits_by_server;
static GMutex limits_lock;

static void set_limits(struct evhttp *http, const struct http_listen_opts *opts)
{
	struct receive_limits *limits = g_new(struct receive_limits, 1);
	size_t once = opts->header_bytes + opts->body_bytes + FRAMING_MAX_BYTES;

	limits->pending_bytes = once;
	limits->bytes = once + FRAMING_PER_BODY_BYTE * opts->body_bytes;
	g_mutex_lock(&limits_lock);
	if (!limits_by_server)
		limits_by_server = g_hash_table_new_full(NULL, NULL, NULL,
							 g_free);
	/* Replaces those of a server that was freed and had its address. */
	g_hash_table_insert(limits_by_server, http, limits);
	g_mutex_unlock(&limits_lock);
}

static bool exceeds_limits(struct evhttp_connection *conn, size_t pending,
			   size_t received)
{
	const struct receive_limits *limits;
	bool exceeds;

	g_mutex_lock(&limits_lock);
	limits = g_hash_table_lookup(limits_by_server,
				     evhttp_connection_get_server(conn));
	exceeds = limits &&
		  (pending > limits->pending_bytes || received > limits->bytes);
	g_mutex_unlock(&limits_lock);
	return exceeds;
}

/*
 * evhttp must not be freed within its callback, so it sees an end of file; the
 * kernel resets the connection when more arrives.
 */
static void cut_request(struct bufferevent *bev, struct evbuffer *input)
{
	evbuffer_drain(input, evbuffer_get_length(input));
	(void)shutdown(bufferevent_getfd(bev), SHUT_RDWR);
}

/*
 * The thread's connections on which a request is being received, and the bytes
 * of it.
 */
static GPrivate receiving = G_PRIVATE_INIT((GDestroyNotify)g_hash_table_unref);

static void forget_receiving(struct evhttp_connection *conn)
{
	GHashTable *conns = g_private_get(&receiving);

	if (conns)
		g_hash_table_remove(conns, conn);
}

static void on_receiving_lost(struct evhttp_connection *conn, void *arg)
{
	(void)arg;
	evhttp_connection_set_closecb(conn, NULL, NULL);
	forget_receiving(conn);
}

static void on_input(struct evbuffer *input,
		     const struct evbuffer_cb_info *info, void *arg)
{
	GHashTable *conns = g_private_get(&receiving);
	bufferevent_data_cb read_cb;
	void *conn;
	size_t received;

	/*
	 * evhttp passes the connection to its callbacks, and has no read
	 * callback while a response is pending.
	 */
	bufferevent_getcb(arg, &read_cb, NULL, NULL, &conn);
	if (!read_cb)
		return;
	if (!conns) {
		conns = g_hash_table_new(NULL, NULL);
		g_private_set(&receiving, conns);
	}
	received = GPOINTER_TO_SIZE(g_hash_table_lookup(conns, conn)) +
		   info->n_added;
	if (g_hash_table_insert(conns, conn, GSIZE_TO_POINTER(received)))
		evhttp_connection_set_closecb(conn, on_receiving_lost, NULL);
	if (!info->n_added ||
	    !exceeds_limits(conn, evbuffer_get_length(input), received))
		return;
	log_info(&http_log, "request cut: %zu bytes without its end", received);
	cut_request(arg, input);
}

static struct bufferevent *watched_bufferevent(struct event_base *base,
					       void *arg)
{
	struct bufferevent *bev = bufferevent_socket_new(base, -1, 0);

	(void)arg;
	if (bev)
		evbuffer_add_cb(bufferevent_get_input(bev), on_input, bev);
	return bev;
}

unsigned http_receiving_requests(void)
{
	GHashTable *conns = g_private_get(&receiving);

	return conns ? g_hash_table_size(conns) : 0;
}

static _Thread_local unsigned unsent_responses;

static void on_response_lost(struct evhttp_connection *conn, void *arg)
{
	(void)arg;
	evhttp_connection_set_closecb(conn, NULL, NULL);
	/* Servers are freed on another thread, whose count is 0. */
	if (unsent_responses)
		unsent_responses--;
}

static void on_response_sent(struct evhttp_request *req, void *arg)
{
	on_response_lost(evhttp_request_get_connection(req), arg);
}

void http_track_response(struct evhttp_request *req)
{
	struct evhttp_connection *conn = evhttp_request_get_connection(req);

	if (!conn)
		return;
	forget_receiving(conn);
	unsent_responses++;
	evhttp_request_set_on_complete_cb(req, on_response_sent, NULL);
	evhttp_connection_set_closecb(conn, on_response_lost, NULL);
}

static bool has_no_body(const struct evhttp_request *req, int status)
{
	return evhttp_request_get_command(req) == EVHTTP_REQ_HEAD ||
	       status == HTTP_NOCONTENT || status == HTTP_NOTMODIFIED;
}

void http_send_reply(struct evhttp_request *req, int status, const char *reason)
{
	struct evbuffer *body = evhttp_request_get_output_buffer(req);

	/* evhttp omits only the length of such a body. */
	if (has_no_body(req, status))
		evbuffer_drain(body, evbuffer_get_length(body));
	http_track_response(req);
	evhttp_send_reply(req, status, reason, NULL);
}

/* Without chunks, the end of the connection ends the body. */
static bool has_chunks(const struct evhttp_request *req)
{
	return req->major > 1 || (req->major == 1 && req->minor >= 1);
}

void http_start_response(struct evhttp_request *req, int status,
			 const char *reason)
{
	/* evhttp would keep the connection open after the response. */
	if (!has_chunks(req)) {
		evhttp_remove_header(evhttp_request_get_input_headers(req),
				     "Connection");
		evhttp_add_header(evhttp_request_get_output_headers(req),
				  "Connection", "close");
	}
	evhttp_send_reply_start(req, status, reason);
}

static void on_aborted(struct evhttp_connection *conn, void *arg)
{
	struct evhttp_request *req = arg;

	on_response_lost(conn, NULL);
	/* After an error the connection doesn't own it; this only frees it. */
	if (!evhttp_request_get_connection(req))
		evhttp_send_reply_end(req);
}

static void on_abort_sent(struct bufferevent *bev, void *conn)
{
	(void)bev;
	evhttp_connection_free(conn);
}

/* On Linux, connecting to no address sends a reset. */
static void on_unframed_abort_sent(struct bufferevent *bev, void *conn)
{
	struct sockaddr nowhere = { .sa_family = AF_UNSPEC };

	(void)connect(bufferevent_getfd(bev), &nowhere, sizeof(nowhere));
	evhttp_connection_free(conn);
}

void http_abort_response(struct evhttp_request *req, int timeout_s)
{
	struct evhttp_connection *conn = evhttp_request_get_connection(req);
	struct bufferevent *bev = evhttp_connection_get_bufferevent(conn);
	struct timeval timeout = { timeout_s, 0 };
	bufferevent_data_cb sent_cb = has_chunks(req) ? on_abort_sent
						      : on_unframed_abort_sent;
	bufferevent_event_cb event_cb;
	void *cb_arg;

	forget_receiving(conn);
	unsent_responses++;
	evhttp_connection_set_closecb(conn, on_aborted, req);
	if (!evbuffer_get_length(bufferevent_get_output(bev))) {
		sent_cb(bev, conn);
		return;
	}
	/* The argument of all of evhttp's callbacks is the connection. */
	bufferevent_getcb(bev, NULL, NULL, &event_cb, &cb_arg);
	bufferevent_setcb(bev, NULL, sent_cb, event_cb, cb_arg);
	bufferevent_set_timeouts(bev, &timeout, &timeout);
}

unsigned http_unsent_responses(void)
{
	return unsent_responses;
}

struct loop_end {
	struct event_base *base;
	int64_t until_ms;
};

static void try_end_loop(evutil_socket_t fd, short what, void *arg)
{
	struct loop_end *end = arg;
	struct timeval retry = { 0, LOOP_END_RETRY_US };

	(void)fd;
	(void)what;
	if (unsent_responses && clock_now_ms(&clock_system) < end->until_ms) {
		event_base_once(end->base, -1, EV_TIMEOUT, try_end_loop, end,
				&retry);
		return;
	}
	/* No other callback of this turn runs, which might read a request. */
	event_base_loopbreak(end->base);
	g_free(end);
}

void http_end_loop(struct event_base *base, int timeout_ms)
{
	struct loop_end *end = g_new(struct loop_end, 1);

	end->base = base;
	end->until_ms = clock_now_ms(&clock_system) + timeout_ms;
	try_end_loop(-1, EV_TIMEOUT, end);
}

static void send_text(struct evhttp_request *req, int status,
		      const char *reason, const char *type, const char *text)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	struct evbuffer *out = evhttp_request_get_output_buffer(req);

	evhttp_remove_header(headers, "Content-Type");
	evhttp_add_header(headers, "Content-Type", type);
	evbuffer_add(out, text, strlen(text));
	http_send_reply(req, status, reason);
}

void http_send_problem(struct evhttp_request *req,
		       const struct problem *problem)
{
	const struct rd_result_info *info = rd_result_info(problem->code);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	char *text = http_problem_text(problem);
	char seconds[16];

	if (problem->close)
		evhttp_add_header(headers, "Connection", "close");
	if (problem->retry_after_ms) {
		g_snprintf(seconds, sizeof(seconds), "%d",
			   (problem->retry_after_ms + MS_PER_S - 1) / MS_PER_S);
		evhttp_add_header(headers, "Retry-After", seconds);
	}
	if (info->http_status == 401)
		evhttp_add_header(headers, "WWW-Authenticate", "Bearer");
	send_text(req, info->http_status, info->name,
		  "application/problem+json", text);
	free(text);
}

void http_send_json(struct evhttp_request *req, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	send_text(req, status, NULL, "application/json", text ? text : "{}");
	free(text);
}

void http_send_text(struct evhttp_request *req, int status, const char *type,
		    const char *text)
{
	send_text(req, status, NULL, type, text);
}

const char *http_header(struct evhttp_request *req, const char *name)
{
	return evhttp_find_header(evhttp_request_get_input_headers(req), name);
}

const char *http_bearer(struct evhttp_request *req)
{
	const char *value = http_header(req, "Authorization");

	if (!value || g_ascii_strncasecmp(value, BEARER, strlen(BEARER)))
		return NULL;
	value += strlen(BEARER);
	while (*value == ' ')
		value++;
	return *value ? value : NULL;
}

GBytes *http_body(struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t size = evbuffer_get_length(in);
	char *data = g_malloc(size + 1);

	evbuffer_copyout(in, data, size);
	data[size] = '\0';
	return g_bytes_new_take(data, size);
}

bool http_is_token(const char *name)
{
	size_t size = strlen(name);

	return size && strspn(name, TOKEN_CHARACTERS) == size;
}

/* Other readers may trim a name such as "Content-Length ". */
static bool has_malformed_name(const struct evkeyvalq *headers)
{
	struct evkeyval *header;

	TAILQ_FOREACH(header, headers, next)
	if (!http_is_token(header->key))
		return true;
	return false;
}

static bool is_length(const char *text)
{
	size_t size = strlen(text);

	return size && size <= LENGTH_DIGITS_MAX &&
	       strspn(text, G_CSET_DIGITS) == size;
}

bool http_has_ambiguous_framing(const struct evkeyvalq *headers)
{
	const char *length = evhttp_find_header(headers, "Content-Length");
	struct evkeyval *header;
	int codings = 0;

	TAILQ_FOREACH(header, headers, next)
	{
		if (!g_ascii_strcasecmp(header->key, "Content-Length") &&
		    (!is_length(header->value) ||
		     strcmp(header->value, length) != 0))
			return true;
		if (g_ascii_strcasecmp(header->key, "Transfer-Encoding") != 0)
			continue;
		if (g_ascii_strcasecmp(header->value, "chunked") != 0)
			return true;
		codings++;
	}
	return codings > 1 || (codings && length);
}

bool http_has_unknown_framing(struct evhttp_request *req)
{
	const struct evkeyvalq *headers = evhttp_request_get_input_headers(req);
	const char *length = http_header(req, "Content-Length");

	if (evhttp_request_get_command(req) == EVHTTP_REQ_HEAD &&
	    (http_header(req, "Transfer-Encoding") ||
	     (length && strcmp(length, "0") != 0)))
		return true;
	return has_malformed_name(headers) ||
	       http_has_ambiguous_framing(headers);
}

const char *http_method(struct evhttp_request *req)
{
	switch (evhttp_request_get_command(req)) {
	case EVHTTP_REQ_GET:
		return "GET";
	case EVHTTP_REQ_POST:
		return "POST";
	case EVHTTP_REQ_HEAD:
		return "HEAD";
	case EVHTTP_REQ_PUT:
		return "PUT";
	case EVHTTP_REQ_DELETE:
		return "DELETE";
	case EVHTTP_REQ_OPTIONS:
		return "OPTIONS";
	case EVHTTP_REQ_PATCH:
		return "PATCH";
	default:
		return "OTHER";
	}
}

char *http_query(struct evhttp_request *req, const char *name)
{
	const char *query =
		evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req));
	struct evkeyvalq params;
	const char *value;
	char *copy = NULL;

	if (!query || evhttp_parse_query_str(query, &params))
		return NULL;
	value = evhttp_find_header(&params, name);
	if (value)
		copy = g_strdup(value);
	evhttp_clear_headers(&params);
	return copy;
}

static void on_close(struct evhttp_connection *conn, void *arg)
{
	struct http_disconnect_watch *watch = arg;

	evhttp_connection_set_closecb(conn, NULL, NULL);
	watch->closed(watch->ctx);
}

void http_watch_disconnect(struct evhttp_request *req,
			   struct http_disconnect_watch *watch)
{
	struct evhttp_connection *conn = evhttp_request_get_connection(req);
	struct bufferevent *bev = evhttp_connection_get_bufferevent(conn);
	bufferevent_data_cb write_cb;
	bufferevent_event_cb event_cb;
	void *cb_arg;

	/* Tokens must not wait for the acknowledgement of earlier ones. */
	address_set_tcp_options(bufferevent_getfd(bev),
				RESPONSE_ACK_TIMEOUT_MS);
	forget_receiving(conn);
	evhttp_connection_set_closecb(conn, on_close, watch);
	/*
	 * evhttp treats data that arrives before the response is sent as an
	 * internal error and ends the process, so its read callback is removed.
	 * An end of file still reaches its event callback.
	 */
	bufferevent_getcb(bev, NULL, &write_cb, &event_cb, &cb_arg);
	bufferevent_setcb(bev, NULL, write_cb, event_cb, cb_arg);
	bufferevent_setwatermark(bev, EV_READ, 0, READ_AHEAD_MAX);
	/* The timeouts are meant for slow senders, not for waiting callers. */
	bufferevent_set_timeouts(bev, NULL, NULL);
	bufferevent_enable(bev, EV_READ);
}

void http_unwatch_disconnect(struct evhttp_request *req, int timeout_s)
{
	struct evhttp_connection *conn = evhttp_request_get_connection(req);
	struct timeval timeout = { timeout_s, 0 };
	struct bufferevent *bev;

	if (!conn)
		return;
	evhttp_connection_set_closecb(conn, NULL, NULL);
	bev = evhttp_connection_get_bufferevent(conn);
	/* evhttp needs all of the next request's body in the buffer. */
	bufferevent_setwatermark(bev, EV_READ, 0, 0);
	bufferevent_set_timeouts(bev, &timeout, &timeout);
}

static struct evhttp *open_server(const struct http_listen_opts *opts,
				  int *port)
{
	struct address address;
	struct evhttp *http = NULL;
	int fd = -1;

	errno = EINVAL;
	if (!address_parse(opts->address, &address))
		return NULL;
	fd = address_listen(&address, LISTEN_BACKLOG);
	if (fd < 0)
		return NULL;
	http = evhttp_new(opts->base);
	if (!http || !evhttp_accept_socket_with_handle(http, fd))
		goto fail;
	set_limits(http, opts);
	evhttp_set_max_headers_size(http, (ev_ssize_t)opts->header_bytes);
	evhttp_set_max_body_size(http, (ev_ssize_t)opts->body_bytes);
	evhttp_set_timeout(http, opts->timeout_s);
	evhttp_set_allowed_methods(
		http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
			      EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
			      EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS);
	evhttp_set_bevcb(http, watched_bufferevent, NULL);
	evhttp_set_gencb(http, opts->handle, opts->ctx);
	*port = address_local_port(fd);
	return http;
fail:
	if (http)
		evhttp_free(http);
	close(fd);
	return NULL;
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
