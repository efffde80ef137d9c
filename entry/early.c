/*
 * Requests received before this entry has any configuration. After a restart of
 * all processes the configuration arrives within about a second; holding a
 * request costs its caller less time than an error and a retry.
 */
#include "common/log.h"
#include "entry/take.h"

#define HELD_REQUESTS_MAX 1024u

static const struct log early_log = { "early" };

/** A held request. Owns its data; its strings belong to the connection. */
struct held_request {
	struct entry *entry;
	struct caller_request request;
	struct http_disconnect_watch watch;
	int64_t until_ms;
};

static void on_caller_disconnected(void *ctx)
{
	struct held_request *held = ctx;

	log_info(&early_log, "request %s: caller disconnected",
		 held->request.id);
	counters_add(held->entry->opts.counters, COUNTER_CALLER_DISCONNECTED,
		     1);
	g_queue_remove(&held->entry->held_requests, held);
	/* The connection is closed, so this only frees the request. */
	evhttp_send_reply_end(held->request.req);
	held->request.format->free_data(held->request.data);
	g_free(held);
}

/* Admits or rejects a request according to the current configuration. */
static void release_request(struct held_request *held)
{
	struct entry *entry = held->entry;

	g_queue_remove(&entry->held_requests, held);
	http_unwatch_disconnect(
		held->request.req,
		(int)entry->opts.settings->limits.slow_sender_s);
	entry_handle_held_request(entry, &held->request);
	g_free(held);
}

bool early_hold_request(struct entry *entry,
			const struct caller_request *request)
{
	int64_t now = entry_now_ms(entry);
	int64_t wait_ms = entry->opts.settings->limits.early_wait_ms;
	struct held_request *held;

	if (entry->held_requests.length >= HELD_REQUESTS_MAX ||
	    entry->draining || now - entry->started_ms >= wait_ms)
		return false;
	/* Half of the caller's timeout is left for the response. */
	if (request->caller_timeout_ms)
		wait_ms = MIN(wait_ms, request->caller_timeout_ms / 2);
	held = g_new0(struct held_request, 1);
	held->entry = entry;
	held->request = *request;
	held->request.arrived_ms = now;
	held->until_ms = now + wait_ms;
	held->watch = (struct http_disconnect_watch){ on_caller_disconnected,
						      held };
	http_watch_disconnect(request->req, &held->watch);
	g_queue_push_tail(&entry->held_requests, held);
	log_info(&early_log,
		 "request %s: held for up to %d ms without a configuration",
		 request->id, (int)wait_ms);
	return true;
}

void early_release(struct entry *entry)
{
	struct held_request *held;

	while ((held = g_queue_peek_head(&entry->held_requests)))
		release_request(held);
}

void early_tick(struct entry *entry, int64_t now_ms)
{
	GList *link = entry->held_requests.head;

	while (link) {
		struct held_request *held = link->data;

		link = link->next;
		if (now_ms >= held->until_ms)
			release_request(held);
	}
}

void early_drop(struct entry *entry)
{
	struct held_request *held;

	while ((held = g_queue_pop_head(&entry->held_requests))) {
		http_unwatch_disconnect(held->request.req, 1);
		held->request.format->free_data(held->request.data);
		g_free(held);
	}
}
