#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include "common/address.h"
#include "common/clock.h"
#include "common/http.h"
#include "common/http_server.h"
#include "common/log.h"

#define MS_PER_S 1000
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

static _Thread_local unsigned unsent_responses;

static void on_response_lost(struct evhttp_connection *conn, void *arg)
{
	(void)conn;
	(void)arg;
	/* Servers are freed on another thread, whose count is 0. */
	if (unsent_responses)
		unsent_responses--;
}

static void on_response_sent(struct evhttp_request *req, void *arg)
{
	struct evhttp_connection *conn = evhttp_request_get_connection(req);

	http_conn_set_closed(conn, NULL, NULL);
	on_response_lost(conn, arg);
	http_conn_answered(conn);
}

void http_track_response(struct evhttp_request *req)
{
	struct evhttp_connection *conn = evhttp_request_get_connection(req);

	if (!conn)
		return;
	unsent_responses++;
	evhttp_request_set_on_complete_cb(req, on_response_sent, NULL);
	http_conn_set_closed(conn, on_response_lost, NULL);
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

	unsent_responses++;
	http_conn_set_closed(conn, on_aborted, req);
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

	evbuffer_remove(in, data, size);
	data[size] = '\0';
	return g_bytes_new_take(data, size);
}

bool http_is_token(const char *name)
{
	size_t size = strlen(name);

	return size && strspn(name, TOKEN_CHARACTERS) == size;
}

bool http_is_length(const char *text)
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
		    (!http_is_length(header->value) ||
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

	(void)conn;
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
	http_conn_set_closed(conn, on_close, watch);
	/*
	 * evhttp treats data that arrives before the response is sent as an
	 * internal error and ends the process, so its read callback is removed.
	 * An end of file still reaches its event callback.
	 */
	bufferevent_getcb(bev, NULL, &write_cb, &event_cb, &cb_arg);
	bufferevent_setcb(bev, NULL, write_cb, event_cb, cb_arg);
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
	http_conn_set_closed(conn, NULL, NULL);
	bev = evhttp_connection_get_bufferevent(conn);
	bufferevent_set_timeouts(bev, &timeout, &timeout);
}
