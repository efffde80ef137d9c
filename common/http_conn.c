#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/buffer.h>

#include "common/http_conn.h"
#include "common/log.h"

/* Read of what follows a request before its response is sent. */
#define READ_AHEAD_MAX 16384
#define CONTINUE "HTTP/1.1 100 Continue\r\n\r\n"

static const struct log conn_log = { "http" };

static _Thread_local unsigned receiving_requests;

static void on_input(struct evbuffer *input,
		     const struct evbuffer_cb_info *info, void *arg);
static void on_output(struct evbuffer *output,
		      const struct evbuffer_cb_info *info, void *arg);

unsigned http_receiving_requests(void)
{
	return receiving_requests;
}

/* ---- connections ---- */

static void set_receiving(struct http_conn *c, bool receiving)
{
	if (c->receiving == receiving)
		return;
	c->receiving = receiving;
	if (receiving)
		receiving_requests++;
	else if (receiving_requests)
		/* Servers are closed on another thread, whose count is 0. */
		receiving_requests--;
}

static void conn_free(struct http_conn *c)
{
	struct http_server *server = c->server;

	evbuffer_remove_cb(bufferevent_get_input(c->bev), on_input, c);
	evbuffer_remove_cb(bufferevent_get_output(c->bev), on_output, c);
	set_receiving(c, false);
	room_set(&server->requests, &c->request, 0);
	room_set(&server->unread, &c->unread, 0);
	g_queue_unlink(&server->conns, &c->link);
	if (c->due_link.data)
		g_queue_unlink(&server->due, &c->due_link);
	g_hash_table_remove(server->by_bev, c->bev);
	http_server_count(server, COUNTER_CLIENT_CONNECTIONS, -1);
	request_reader_clear(&c->reader);
	evbuffer_free(c->behind);
	g_free(c);
}

static void on_conn_closed(struct evhttp_connection *conn, void *arg)
{
	struct http_conn *c = arg;
	http_closed_cb closed = c->closed;
	void *closed_arg = c->closed_arg;

	evhttp_connection_set_closecb(conn, NULL, NULL);
	conn_free(c);
	if (closed)
		closed(conn, closed_arg);
}

/* The connection's callbacks have it as their argument. */
void http_conn_adopt(struct http_conn *c)
{
	void *conn;

	if (c->conn)
		return;
	bufferevent_getcb(c->bev, NULL, NULL, NULL, &conn);
	c->conn = conn;
	evhttp_connection_set_closecb(c->conn, on_conn_closed, c);
}

void http_conn_set_closed(struct evhttp_connection *conn, http_closed_cb closed,
			  void *arg)
{
	struct http_conn *c = http_conn_find(conn);

	if (!c)
		return;
	c->closed = closed;
	c->closed_arg = arg;
}

/*
 * evhttp must not be freed within its callback, so it sees the connection's
 * end. A client sees a reset, as the end could complete a response.
 */
void http_conn_end(struct http_conn *c)
{
	struct sockaddr nowhere = { .sa_family = AF_UNSPEC };
	int fd = bufferevent_getfd(c->bev);
	bool answered = !c->unread.bytes;

	c->state = CONN_ENDING;
	c->server->ended++;
	set_receiving(c, false);
	room_set(&c->server->requests, &c->request, 0);
	room_set(&c->server->unread, &c->unread, 0);
	/* On Linux, connecting to no address sends a reset. */
	if (answered || connect(fd, &nowhere, sizeof(nowhere)))
		(void)shutdown(fd, SHUT_RDWR);
}

/* ---- handing over to evhttp ---- */

/* What is prepended isn't received. */
static void begin_hand_over(struct http_conn *c, struct evbuffer *input)
{
	c->handing_over = true;
	set_receiving(c, false);
	evbuffer_drain(input, evbuffer_get_length(input));
}

static void end_hand_over(struct http_conn *c)
{
	c->handing_over = false;
	c->state = CONN_ANSWERING;
}

/* Both buffers together hold no more than may be read ahead. */
static void limit_read_ahead(struct http_conn *c)
{
	size_t behind = evbuffer_get_length(c->behind);

	/* 0 would mean no limit. */
	bufferevent_setwatermark(
		c->bev, EV_READ, 0,
		behind < READ_AHEAD_MAX ? READ_AHEAD_MAX - behind : 1);
}

static void hand_over_request(struct http_conn *c)
{
	struct evbuffer *input = bufferevent_get_input(c->bev);

	/* In the hands of evhttp and its handler, it can't give way. */
	c->request.fixed = true;
	begin_hand_over(c, input);
	request_reader_move(&c->reader, input);
	end_hand_over(c);
	limit_read_ahead(c);
}

/*
 * Makes evhttp answer with an error, by a request in place of the one that is
 * being received. The connection is closed after it.
 */
static void hand_over_refusal(struct http_conn *c, enum rd_result code)
{
	struct evbuffer *input = bufferevent_get_input(c->bev);
	struct evbuffer *request = evbuffer_new();

	c->refusal = code;
	c->server->refused++;
	evbuffer_add_printf(
		request, "%s / HTTP/1.1\r\nConnection: close\r\n\r\n",
		request_reader_is_head(&c->reader) ? "HEAD" : "GET");
	request_reader_clear(&c->reader);
	evbuffer_drain(c->behind, evbuffer_get_length(c->behind));
	room_set(&c->server->requests, &c->request, 0);
	begin_hand_over(c, input);
	evbuffer_prepend_buffer(input, request);
	end_hand_over(c);
	evbuffer_free(request);
}

static void refuse(struct http_conn *c, enum rd_result code, enum counter kind)
{
	http_server_count(c->server, kind, 1);
	hand_over_refusal(c, code);
}

static void refuse_fault(struct http_conn *c)
{
	switch (c->reader.status) {
	case REQUEST_HEAD_TOO_LARGE:
		refuse(c, RD_HEAD_TOO_LARGE, COUNTER_CLIENTS_OVER_HEAD);
		break;
	case REQUEST_BODY_TOO_LARGE:
		refuse(c, RD_TOO_LARGE, COUNTER_CLIENTS_OVER_BODY);
		break;
	default:
		refuse(c, RD_BAD_REQUEST, COUNTER_CLIENTS_MALFORMED);
		break;
	}
}

/* Lets evhttp read what was handed over, on its event's own callback. */
static void trigger_later(struct http_conn *c)
{
	bufferevent_trigger(c->bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

void http_conn_refuse(struct http_conn *c, enum rd_result code,
		      enum counter kind)
{
	refuse(c, code, kind);
	trigger_later(c);
}

/* ---- receiving ---- */

/* Returns false if the connection itself has given way. */
static bool make_room(struct http_conn *c)
{
	struct room *room = &c->server->requests;
	struct room_holder *holder;

	while ((holder = room_pick(room, &c->request))) {
		struct http_conn *other = holder->owner;

		if (other == c) {
			refuse(c, RD_NO_ROOM, COUNTER_CLIENTS_WITHOUT_ROOM);
			return false;
		}
		http_conn_refuse(other, RD_NO_ROOM,
				 COUNTER_CLIENTS_WITHOUT_ROOM);
	}
	return true;
}

static void invite_body(struct http_conn *c)
{
	/* Nothing else is being written, so the socket takes these bytes. */
	if (request_reader_take_expectation(&c->reader) &&
	    send(bufferevent_getfd(c->bev), CONTINUE, strlen(CONTINUE),
		 MSG_NOSIGNAL | MSG_DONTWAIT) < 0)
		log_debug(&conn_log, "interim response not sent: %s",
			  g_strerror(errno));
}

/* Moves bytes from `in` to the reader, up to the end of the request. */
static void read_request(struct http_conn *c, struct evbuffer *in)
{
	struct evbuffer_iovec piece;
	size_t taken;

	while (c->reader.status == REQUEST_INCOMPLETE &&
	       evbuffer_peek(in, -1, NULL, &piece, 1) > 0) {
		(void)request_reader_take(&c->reader, piece.iov_base,
					  piece.iov_len, &taken);
		evbuffer_drain(in, taken);
	}
}

static size_t limit_or_none(size_t limit)
{
	return limit ? limit : SIZE_MAX / 2;
}

static void begin_request(struct http_conn *c)
{
	const struct http_client_limits *limits = &c->server->opts.client;

	if (request_reader_has_begun(&c->reader))
		return;
	c->reader.limits = (struct request_limits){
		.head_bytes = limit_or_none(limits->head_bytes),
		.body_bytes = limit_or_none(limits->body_bytes),
	};
}

static void note_begun(struct http_conn *c)
{
	if (c->receiving || !request_reader_has_begun(&c->reader))
		return;
	set_receiving(c, true);
	c->since_sweep = c->server->sweeps;
}

/*
 * Reads from `in` until a request is whole or refused, in which case it is in
 * the input buffer for evhttp. Returns false if it isn't.
 */
static bool receive(struct http_conn *c, struct evbuffer *in)
{
	struct room *room = &c->server->requests;

	begin_request(c);
	if (c->refusal) {
		hand_over_refusal(c, c->refusal);
		return true;
	}
	read_request(c, in);
	note_begun(c);
	room_set(room, &c->request,
		 request_reader_held(&c->reader) +
			 evbuffer_get_length(c->behind));
	room_got_on(room, &c->request);
	if (c->reader.status > REQUEST_COMPLETE) {
		refuse_fault(c);
		return true;
	}
	if (!make_room(c))
		return true;
	if (c->reader.status == REQUEST_COMPLETE) {
		if (in != c->behind)
			evbuffer_add_buffer(c->behind, in);
		hand_over_request(c);
		return true;
	}
	if (in == c->behind)
		limit_read_ahead(c);
	invite_body(c);
	return false;
}

/*
 * Reads from the input buffer what was received after what waits behind the
 * last response.
 */
static void receive_input(struct http_conn *c, struct evbuffer *input)
{
	if (!evbuffer_get_length(c->behind)) {
		(void)receive(c, input);
		return;
	}
	evbuffer_add_buffer(c->behind, input);
	(void)receive(c, c->behind);
}

static bool evhttp_reads(const struct http_conn *c)
{
	bufferevent_data_cb read_cb;

	bufferevent_getcb(c->bev, &read_cb, NULL, NULL, NULL);
	return read_cb != NULL;
}

/*
 * Runs before evhttp's read callback, which finds a request or nothing. evhttp
 * has no read callback while a response is pending; then, bytes stay in the
 * input buffer up to its high watermark.
 */
static void on_input(struct evbuffer *input,
		     const struct evbuffer_cb_info *info, void *arg)
{
	struct http_conn *c = arg;

	if (c->handing_over || !info->n_added)
		return;
	http_conn_adopt(c);
	if (c->state == CONN_ENDING || (c->refusal && !evhttp_reads(c)))
		evbuffer_drain(input, evbuffer_get_length(input));
	else if (evhttp_reads(c))
		receive_input(c, input);
	else
		room_set(&c->server->requests, &c->request,
			 c->request.bytes + info->n_added);
}

static void go_idle(struct http_conn *c)
{
	c->state = CONN_RECEIVING;
	c->since_sweep = c->server->sweeps;
	c->request.fixed = false;
	room_set(&c->server->requests, &c->request,
		 evbuffer_get_length(c->behind));
}

void http_conn_answered(struct evhttp_connection *conn)
{
	struct http_conn *c = http_conn_find(conn);

	if (!c || c->state != CONN_ANSWERING)
		return;
	/* evhttp would read it without asking on_input(). */
	evbuffer_add_buffer(c->behind, bufferevent_get_input(c->bev));
	limit_read_ahead(c);
	go_idle(c);
	if (!evbuffer_get_length(c->behind))
		return;
	c->due_link = (GList){ .data = c };
	g_queue_push_tail_link(&c->server->due, &c->due_link);
	event_active(c->server->later, EV_TIMEOUT, 0);
}

void http_conn_read_due(struct http_server *server)
{
	GList *l;

	while ((l = g_queue_pop_head_link(&server->due))) {
		struct http_conn *c = l->data;

		c->due_link.data = NULL;
		if (c->state == CONN_RECEIVING && receive(c, c->behind))
			bufferevent_trigger(c->bev, EV_READ, 0);
	}
}

/* ---- sending ---- */

static void end_slowest_reader(struct http_conn *c)
{
	struct http_server *server = c->server;
	struct room_holder *holder;

	while ((holder = room_pick(&server->unread, &c->unread))) {
		http_server_count(server, COUNTER_CLIENTS_UNREAD, 1);
		http_conn_end(holder->owner);
	}
}

static void on_output(struct evbuffer *output,
		      const struct evbuffer_cb_info *info, void *arg)
{
	struct http_conn *c = arg;

	if (c->state == CONN_ENDING)
		return;
	room_set(&c->server->unread, &c->unread, evbuffer_get_length(output));
	if (info->n_deleted)
		room_got_on(&c->server->unread, &c->unread);
	if (info->n_added)
		end_slowest_reader(c);
}

/* ---- creation ---- */

void http_conn_create(struct http_server *server, struct bufferevent *bev,
		      enum rd_result refusal)
{
	struct http_conn *c = g_new0(struct http_conn, 1);

	c->server = server;
	c->bev = bev;
	c->behind = evbuffer_new();
	c->since_sweep = server->sweeps;
	c->request.owner = c;
	c->unread.owner = c;
	c->refusal = refusal;
	c->link = (GList){ .data = c };
	g_queue_push_tail_link(&server->conns, &c->link);
	g_hash_table_insert(server->by_bev, bev, c);
	http_server_count(server, COUNTER_CLIENT_CONNECTIONS, 1);
	evbuffer_add_cb(bufferevent_get_input(bev), on_input, c);
	evbuffer_add_cb(bufferevent_get_output(bev), on_output, c);
	limit_read_ahead(c);
}
