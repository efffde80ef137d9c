#include <event2/bufferevent.h>
#include <glib.h>

#include "common/address.h"
#include "common/probe.h"

#define MS_PER_S 1000
#define US_PER_MS 1000

struct probe {
	struct bufferevent *bev; /* NULL if the connect failed at once */
	struct event *timer;
	bool connected;
	int hold_ms;
	probe_done_fn done;
	void *ctx;
};

void probe_cancel(struct probe *probe)
{
	if (probe->bev)
		bufferevent_free(probe->bev);
	event_free(probe->timer);
	g_free(probe);
}

static void finish(struct probe *probe, bool reachable)
{
	probe_done_fn done = probe->done;
	void *ctx = probe->ctx;

	probe_cancel(probe);
	done(ctx, reachable);
}

static void set_timer(struct probe *probe, int ms)
{
	struct timeval after = { ms / MS_PER_S, (ms % MS_PER_S) * US_PER_MS };

	event_add(probe->timer, &after);
}

/* The limit on the connect, or the end of the time to stay open. */
static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct probe *probe = ctx;

	(void)fd;
	(void)what;
	finish(probe, probe->connected);
}

static void on_event(struct bufferevent *bev, short what, void *ctx)
{
	struct probe *probe = ctx;

	(void)bev;
	probe->connected = (what & BEV_EVENT_CONNECTED) &&
			   !(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR));
	if (probe->connected && probe->hold_ms)
		set_timer(probe, probe->hold_ms);
	else
		finish(probe, probe->connected);
}

struct probe *probe_start(struct event_base *base,
			  const struct probe_opts *opts)
{
	struct probe *probe = g_new0(struct probe, 1);
	struct address address;
	bool valid = address_parse(opts->address, &address);

	probe->done = opts->done;
	probe->ctx = opts->ctx;
	probe->hold_ms = opts->hold_ms;
	probe->timer = evtimer_new(base, on_timer, probe);
	set_timer(probe, valid ? opts->timeout_ms : 0);
	if (!valid)
		return probe;
	probe->bev = bufferevent_socket_new(
		base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(probe->bev, NULL, NULL, on_event, probe);
	bufferevent_enable(probe->bev, EV_READ | EV_WRITE);
	if (!bufferevent_socket_connect(probe->bev,
					(struct sockaddr *)&address.socket,
					sizeof(address.socket)))
		return probe;
	bufferevent_free(probe->bev);
	probe->bev = NULL;
	set_timer(probe, 0);
	return probe;
}

char *probe_failure_line(const char *vm, int timeout_ms, int lost_ms)
{
	return g_strdup_printf("connect probe failed while the replica returns "
			       "no data: VM treated as lost vm=%s "
			       "timeout_ms=%d lost_ms=%d",
			       vm, timeout_ms, lost_ms);
}
