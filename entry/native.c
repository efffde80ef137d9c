/* Call formats of the native HTTP interface. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/attempt.h"
#include "entry/native.h"

struct native_data *native_data_new(const char *content_type, json_t *chat)
{
	struct native_data *data = g_new0(struct native_data, 1);

	data->content_type = g_strdup(content_type);
	data->chat = chat;
	sse_init(&data->sse);
	return data;
}

static void free_data(void *arg)
{
	struct native_data *data = arg;

	g_free(data->content_type);
	json_decref(data->chat);
	sse_clear(&data->sse);
	g_free(data);
}

static void request_headers(const struct call *call, struct evkeyvalq *out)
{
	const struct native_data *data = call->data;
	char value[24];

	evhttp_add_header(out, "Content-Type", data->content_type);
	evhttp_add_header(out, "X-Request-Id", call->id);
	snprintf(value, sizeof(value), "%u", call->attempt->replica);
	evhttp_add_header(out, "X-Replica", value);
	snprintf(value, sizeof(value), "%" PRIu64, call->attempt->epoch);
	evhttp_add_header(out, "X-Epoch", value);
	snprintf(value, sizeof(value), "%u", call->priority);
	evhttp_add_header(out, "X-Priority", value);
	snprintf(value, sizeof(value), "%" PRId64,
		 call->deadline_ms - entry_now_ms(call->entry));
	evhttp_add_header(out, "X-Deadline-Ms", value);
	if (call->booking_key)
		evhttp_add_header(out, "Idempotency-Key", call->booking_key);
}

/*
 * For a resumed stream, the body includes the output that the caller already
 * has.
 */
static GBytes *request_body(const struct call *call)
{
	const struct native_data *data = call->data;
	json_t *text, *body;
	char *quoted, *dumped;

	if (!call->tokens || !data->chat)
		return g_bytes_ref(call->body);
	quoted = g_strdup_printf("\"%s\"", data->sse.text->str);
	text = json_loads(quoted, JSON_DECODE_ANY, NULL);
	g_free(quoted);
	body = json_copy(data->chat);
	json_object_set_new(body, "resume",
			    json_pack("{s:I,s:o}", "after",
				      (json_int_t)call->tokens, "text",
				      text ? text : json_string("")));
	dumped = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return g_bytes_new_with_free_func(dumped, strlen(dumped), free, dumped);
}

/*
 * Engines reject a request with 409 or 503, without running it, if they are not
 * the replica or not in the epoch that it names.
 */
static enum response_class classify_engine_response(
	const struct call *call, int status, const struct evkeyvalq *headers)
{
	(void)call;
	(void)headers;
	return status == HTTP_SERVUNAVAIL || status == 409 ? RESPONSE_NOT_RUN
							   : RESPONSE_FORWARD;
}

static enum response_class classify_plain_response(
	const struct call *call, int status, const struct evkeyvalq *headers)
{
	(void)call;
	(void)status;
	(void)headers;
	return RESPONSE_FORWARD;
}

static void response_headers(const struct call *call, struct evkeyvalq *out)
{
	if (call->stream && call->attempt->response.status == HTTP_OK) {
		evhttp_add_header(out, "Content-Type", "text/event-stream");
		evhttp_add_header(out, "Cache-Control", "no-store");
	}
	evhttp_add_header(out, "X-Request-Id", call->id);
}

static uint32_t move_events(struct call *call, struct evbuffer *in,
			    struct evbuffer *out)
{
	struct native_data *data = call->data;

	return sse_move_events(&data->sse, in, out);
}

static bool stream_complete(const struct call *call)
{
	const struct native_data *data = call->data;

	return data->sse.done;
}

static void append_stream_error(const struct problem *problem,
				struct evbuffer *out)
{
	char *text = http_problem_text(problem);

	evbuffer_add_printf(out, "event: error\ndata: %s\n\n", text);
	free(text);
}

/*
 * The formats differ only in how they classify a status: that of a plain
 * endpoint does not tell whether the call ran.
 */
#define NATIVE_CALLS(classify)                                                 \
	{                                                                      \
		.limit_header = "X-Request-Limit",                             \
		.leaving_header = "X-Leaving",                                 \
		.request_headers = request_headers,                            \
		.request_body = request_body, .classify_response = (classify), \
		.response_headers = response_headers,                          \
		.move_events = move_events,                                    \
		.stream_complete = stream_complete,                            \
		.send_error = http_send_problem,                               \
		.append_stream_error = append_stream_error,                    \
		.free_data = free_data,                                        \
	}

const struct call_format native_engine_calls =
	NATIVE_CALLS(classify_engine_response);
const struct call_format native_plain_calls =
	NATIVE_CALLS(classify_plain_response);
