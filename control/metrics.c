/* HTTP server on listen.metrics that exports the counters at /metrics. */
#include <string.h>

#include "common/http_server.h"
#include "common/log.h"
#include "control/control_internal.h"
#include "settings/ports.h"

#define METRICS_PATH "/metrics"
#define HEADER_BYTES 8192
#define BODY_BYTES 1024
#define TIMEOUT_S 30

void metrics_send(const struct control *control, struct evhttp_request *req)
{
	GString *text = g_string_new(NULL);

	counters_set(control->opts.counters, COUNTER_LOG_DROPPED,
		     (int64_t)log_dropped_count());
	counters_print(control->opts.counters, text);
	http_send_text(req, HTTP_OK, "text/plain; version=0.0.4", text->str);
	g_string_free(text, TRUE);
}

static void handle(struct evhttp_request *req, void *ctx)
{
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	struct problem problem = { .code = RD_NO_ROUTE };

	if (path && !strcmp(path, METRICS_PATH))
		metrics_send(ctx, req);
	else
		http_send_problem(req, &problem);
}

struct evhttp *metrics_open(struct control *control, char **why)
{
	struct http_listen_opts opts = {
		.base = control->base,
		.setting = "listen.metrics",
		.address = control->opts.settings->listen.metrics,
		.client = ports_client_limits(control->opts.settings,
					      HEADER_BYTES, BODY_BYTES),
		.server = ports_server_limits(control->opts.settings,
					      CLIENT_PORT_METRICS),
		.counters = control->opts.counters,
		.timeout_s = TIMEOUT_S,
		.handle = handle,
		.ctx = control,
	};
	int port;

	return http_listen(&opts, &port, why);
}
