#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include "common/address.h"
#include "common/answer_guard.h"
#include "common/fetch.h"

#define STATUS_CONTINUE 100

struct fetch_state {
	struct event_base *base;
	const struct fetch_request *request;
	struct fetch_response *response;
	struct answer_guard guard;
	struct evbuffer *body;
	bool complete, cut;
};

static void on_output(struct evbuffer *buffer,
		      const struct evbuffer_cb_info *info, void *arg)
{
	struct fetch_state *f = arg;

	(void)buffer;
	if (info->n_deleted)
		f->response->sent = true;
}

static void on_exceeded(void *ctx)
{
	struct fetch_state *f = ctx;

	f->cut = true;
	event_base_loopbreak(f->base);
}

static int on_head(struct evhttp_request *req, void *arg)
{
	struct fetch_state *f = arg;
	const char *coding = evhttp_find_header(
		evhttp_request_get_input_headers(req), "Transfer-Encoding");

	/* evhttp starts over after this status. */
	if (evhttp_request_get_response_code(req) != STATUS_CONTINUE)
		answer_guard_head_done(
			&f->guard, coding && !g_ascii_strcasecmp(coding, "chunk"
									 "ed"));
	return 0;
}

static void on_chunk(struct evhttp_request *req, void *arg)
{
	struct fetch_state *f = arg;
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t size = evbuffer_get_length(in);

	answer_guard_delivered(&f->guard, size);
	if (size > FETCH_BODY_MAX_BYTES - evbuffer_get_length(f->body))
		on_exceeded(f);
	else
		evbuffer_add(f->body, evbuffer_pullup(in, -1), size);
}

static void on_done(struct evhttp_request *req, void *arg)
{
	struct fetch_state *f = arg;
	const char *wanted = f->request->wanted_header;
	struct evkeyvalq *headers;
	const char *type;

	event_base_loopbreak(f->base);
	if (f->cut || !req || !evhttp_request_get_response_code(req))
		return;
	headers = evhttp_request_get_input_headers(req);
	type = evhttp_find_header(headers, "Content-Type");
	f->complete = true;
	f->response->status = evhttp_request_get_response_code(req);
	f->response->type = g_strdup(type ? type : "");
	if (wanted)
		f->response->header =
			g_strdup(evhttp_find_header(headers, wanted));
	f->response->size = evbuffer_get_length(f->body);
	f->response->body = g_malloc0(f->response->size + 1);
	evbuffer_copyout(f->body, f->response->body, f->response->size);
}

static enum evhttp_cmd_type command_of(const char *method)
{
	if (!strcmp(method, "POST"))
		return EVHTTP_REQ_POST;
	if (!strcmp(method, "PUT"))
		return EVHTTP_REQ_PUT;
	if (!strcmp(method, "DELETE"))
		return EVHTTP_REQ_DELETE;
	return EVHTTP_REQ_GET;
}

static void fill_request(struct evhttp_request *req,
			 const struct fetch_request *r)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	gsize size = 0;

	evhttp_add_header(headers, "Connection", "close");
	if (r->key) {
		char *bearer = g_strdup_printf("Bearer %s", r->key);

		evhttp_add_header(headers, "Authorization", bearer);
		g_free(bearer);
	}
	if (r->type)
		evhttp_add_header(headers, "Content-Type", r->type);
	for (int i = 0; r->headers && r->headers[i]; i += 2)
		evhttp_add_header(headers, r->headers[i], r->headers[i + 1]);
	if (!evhttp_find_header(headers, "Host"))
		evhttp_add_header(headers, "Host", r->address);
	if (r->body)
		size = r->body_size < 0 ? strlen(r->body) : (gsize)r->body_size;
	evbuffer_add(evhttp_request_get_output_buffer(req), r->body, size);
}

bool fetch(const struct fetch_request *r, struct fetch_response *response)
{
	struct fetch_state f = { .request = r, .response = response };
	struct timeval timeout = { r->timeout_ms / 1000,
				   (r->timeout_ms % 1000) * 1000 };
	struct evhttp_connection *conn;
	struct evhttp_request *req;
	struct address address;
	struct bufferevent *bev;

	memset(response, 0, sizeof(*response));
	if (!address_parse(r->address, &address))
		return false;
	f.base = event_base_new();
	conn = evhttp_connection_base_new(f.base, NULL, address.host,
					  address.port);
	evhttp_connection_set_retries(conn, 0);
	evhttp_connection_set_timeout_tv(conn, &timeout);
	bev = evhttp_connection_get_bufferevent(conn);
	evbuffer_add_cb(bufferevent_get_output(bev), on_output, &f);
	evhttp_connection_set_max_headers_size(conn, ANSWER_HEADERS_MAX_BYTES);
	f.body = evbuffer_new();
	f.guard = (struct answer_guard){
		.bev = bev,
		.pending_max_bytes = FETCH_BODY_MAX_BYTES,
		.exceeded = on_exceeded,
		.ctx = &f,
	};
	answer_guard_start(&f.guard);
	req = evhttp_request_new(on_done, &f);
	evhttp_request_set_header_cb(req, on_head);
	evhttp_request_set_chunked_cb(req, on_chunk);
	fill_request(req, r);
	evhttp_make_request(conn, req, command_of(r->method), r->path);
	event_base_loopexit(f.base, &timeout);
	event_base_dispatch(f.base);
	answer_guard_stop(&f.guard);
	evhttp_connection_free(conn);
	event_base_free(f.base);
	evbuffer_free(f.body);
	return f.complete;
}

void fetch_clear(struct fetch_response *response)
{
	g_free(response->type);
	g_free(response->header);
	g_free(response->body);
	memset(response, 0, sizeof(*response));
}
