#include <glib.h>

#include "common/accept_rest.h"
#include "common/log.h"

#define REST_MS 100

static const struct log rest_log = { "accept" };

static void on_resume(evutil_socket_t fd, short what, void *arg)
{
	struct accept_rest *rest = arg;

	(void)fd;
	(void)what;
	evconnlistener_enable(rest->listener);
}

void accept_rest_init(struct accept_rest *rest, struct event_base *base,
		      struct evconnlistener *listener, const char *address)
{
	rest->listener = listener;
	rest->address = address;
	rest->resume = event_new(base, -1, 0, on_resume, rest);
}

void accept_rest_clear(struct accept_rest *rest)
{
	if (rest->resume)
		event_free(rest->resume);
}

void accept_rest_begin(struct accept_rest *rest)
{
	struct timeval interval = { 0, REST_MS * 1000 };

	log_warn(&rest_log, "%s: connection not accepted: %s", rest->address,
		 g_strerror(EVUTIL_SOCKET_ERROR()));
	evconnlistener_disable(rest->listener);
	event_add(rest->resume, &interval);
}
