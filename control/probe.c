#include <event2/bufferevent.h>
#include <glib.h>

#include "common/address.h"
#include "control/probe.h"

struct probe {
	struct bufferevent *bev;
	probe_done_fn done;
	void *ctx;
};

static void finish_probe(struct probe *probe, bool reachable)
{
	probe->done(probe->ctx, reachable);
	bufferevent_free(probe->bev);
	g_free(probe);
}

static void on_event(struct bufferevent *bev, short what, void *ctx)
{
	(void)bev;
	finish_probe(ctx, (what & BEV_EVENT_CONNECTED) != 0);
}

void probe_start(struct event_base *base, const char *address, int timeout_ms,
		 probe_done_fn done, void *ctx)
{
	struct probe *probe = g_new0(struct probe, 1);
	struct timeval limit = { timeout_ms / 1000,
				 (timeout_ms % 1000) * 1000 };
	struct address parsed;

	probe->done = done;
	probe->ctx = ctx;
	probe->bev = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(probe->bev, NULL, NULL, on_event, probe);
	/* These timeouts also limit the connect. */
	bufferevent_set_timeouts(probe->bev, &limit, &limit);
	bufferevent_enable(probe->bev, EV_READ | EV_WRITE);
	if (!address_parse(address, &parsed) ||
	    bufferevent_socket_connect(probe->bev,
				       (struct sockaddr *)&parsed.socket,
				       sizeof(parsed.socket)))
		finish_probe(probe, false);
}

char *probe_failure_line(const char *vm, int timeout_ms, int lost_ms)
{
	return g_strdup_printf("connect probe failed while the replica returns "
			       "no data: VM treated as lost vm=%s "
			       "timeout_ms=%d lost_ms=%d",
			       vm, timeout_ms, lost_ms);
}
