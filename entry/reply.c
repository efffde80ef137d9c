#include <assert.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "common/log.h"
#include "entry/reply.h"

enum reply_state {
	REPLY_DUE,
	REPLY_STREAMING,
	REPLY_ENDED,
	REPLY_CUT_OFF,
	REPLY_CALLER_LEFT,
	REPLY_ABANDONED,
};

struct reply {
	struct reply_opts opts; /* opts.req is NULL unless open */
	struct http_disconnect_watch watch;
	enum reply_state state;
	bool started; /* a stream */
	int status;   /* 0 for an error */
	size_t bytes; /* of a body or stream */
};

static const struct log reply_log = { "reply" };

/* ---- transitions ---- */

static void log_close(const struct reply *reply, GLogLevelFlags level)
{
	static const char *const how[] = {
		[REPLY_DUE] = "due",
		[REPLY_STREAMING] = "streaming",
		[REPLY_ENDED] = "ended",
		[REPLY_CUT_OFF] = "cut-off",
		[REPLY_CALLER_LEFT] = "caller-left",
		[REPLY_ABANDONED] = "abandoned",
	};

	log_at(&reply_log, level,
	       "request %s: response to the caller closed how=%s status=%d "
	       "stream=%s bytes=%zu",
	       reply->opts.request_id, how[reply->state], reply->status,
	       reply->started ? "yes" : "no", reply->bytes);
}

/* Enters a final state; returns the request for its last call to evhttp. */
static struct evhttp_request *close_reply(struct reply *reply,
					  enum reply_state state,
					  GLogLevelFlags level)
{
	struct evhttp_request *req = reply->opts.req;

	assert(reply_is_open(reply));
	assert(state > REPLY_STREAMING);
	reply->state = state;
	reply->opts.req = NULL;
	log_close(reply, level);
	return req;
}

static struct evhttp_request *close_and_unwatch(struct reply *reply)
{
	struct evhttp_request *req = close_reply(reply, REPLY_ENDED,
						 G_LOG_LEVEL_INFO);

	http_unwatch_disconnect(req, reply->opts.slow_reader_s);
	return req;
}

static void on_disconnected(void *ctx)
{
	struct reply *reply = ctx;

	/* The connection is closed, so this only frees the request. */
	evhttp_send_reply_end(
		close_reply(reply, REPLY_CALLER_LEFT, G_LOG_LEVEL_INFO));
	reply->opts.caller_left(reply->opts.ctx);
}

/* ---- interface ---- */

struct reply *reply_create(const struct reply_opts *opts)
{
	struct reply *reply = g_new0(struct reply, 1);

	reply->opts = *opts;
	reply->watch = (struct http_disconnect_watch){ on_disconnected, reply };
	http_watch_disconnect(opts->req, &reply->watch);
	return reply;
}

void reply_destroy(struct reply *reply)
{
	assert(!reply_is_open(reply));
	g_free(reply);
}

bool reply_is_open(const struct reply *reply)
{
	return reply->state == REPLY_DUE || reply->state == REPLY_STREAMING;
}

bool reply_has_started(const struct reply *reply)
{
	return reply->started;
}

struct evkeyvalq *reply_headers(struct reply *reply)
{
	assert(reply->state == REPLY_DUE);
	return evhttp_request_get_output_headers(reply->opts.req);
}

void reply_send(struct reply *reply, int status, struct evbuffer *body)
{
	struct evhttp_request *req;

	assert(reply->state == REPLY_DUE);
	reply->status = status;
	reply->bytes = evbuffer_get_length(body);
	req = close_and_unwatch(reply);
	evbuffer_add_buffer(evhttp_request_get_output_buffer(req), body);
	http_send_reply(req, status, NULL);
}

void reply_send_error(struct reply *reply,
		      void (*send)(struct evhttp_request *req,
				   const struct problem *problem),
		      const struct problem *problem)
{
	assert(reply->state == REPLY_DUE);
	send(close_and_unwatch(reply), problem);
}

void reply_start_stream(struct reply *reply)
{
	assert(reply->state == REPLY_DUE);
	reply->state = REPLY_STREAMING;
	reply->started = true;
	reply->status = HTTP_OK;
	http_start_response(reply->opts.req, HTTP_OK, "OK");
}

size_t reply_send_events(struct reply *reply, struct evbuffer *events,
			 void (*drained)(struct evhttp_connection *conn,
					 void *ctx),
			 void *ctx)
{
	struct evhttp_connection *conn;
	struct bufferevent *bev;

	assert(reply->state == REPLY_STREAMING);
	reply->bytes += evbuffer_get_length(events);
	evhttp_send_reply_chunk_with_cb(reply->opts.req, events, drained, ctx);
	conn = evhttp_request_get_connection(reply->opts.req);
	bev = evhttp_connection_get_bufferevent(conn);
	return evbuffer_get_length(bufferevent_get_output(bev));
}

void reply_end_stream(struct reply *reply)
{
	struct evhttp_request *req;

	assert(reply->state == REPLY_STREAMING);
	req = close_and_unwatch(reply);
	http_track_response(req);
	evhttp_send_reply_end(req);
}

void reply_cut_off(struct reply *reply, struct evbuffer *last)
{
	struct evhttp_request *req;

	assert(reply->state == REPLY_STREAMING);
	reply->bytes += evbuffer_get_length(last);
	req = close_reply(reply, REPLY_CUT_OFF, G_LOG_LEVEL_MESSAGE);
	if (evbuffer_get_length(last))
		evhttp_send_reply_chunk(req, last);
	http_abort_response(req, reply->opts.slow_reader_s);
}

void reply_abandon(struct reply *reply)
{
	http_unwatch_disconnect(
		close_reply(reply, REPLY_ABANDONED, G_LOG_LEVEL_MESSAGE), 1);
}
