/*
 * Requests that come before this entry knows any configuration. All processes
 * may have started anew a moment ago, and the configuration is then here
 * within a second or so; a refusal would cost callers longer than the wait.
 */
#include "common/log.h"
#include "entry/take.h"

#define EARLY_MAX 1024u

static const struct log early_log = { "early" };

/** A request that waits; owns its data, its strings are the connection's. */
struct early {
	struct entry *entry;
	struct caller_request request;
	struct http_watch watch;
	int64_t until_ms;
};

static void on_caller_left(void *ctx)
{
	struct early *early = ctx;

	log_info(&early_log, "request %s: caller left", early->request.id);
	counters_add(early->entry->opts.counters, COUNTER_CALLER_LEFT, 1);
	g_queue_remove(&early->entry->early, early);
	/* Only frees it, its connection being gone. */
	evhttp_send_reply_end(early->request.req);
	early->request.format->free_data(early->request.data);
	g_free(early);
}

/* Takes or refuses it, by what is known now. */
static void end_wait(struct early *early)
{
	struct entry *entry = early->entry;

	g_queue_remove(&entry->early, early);
	http_unwatch(early->request.req,
		     (int)entry->opts.settings->limits.slow_sender_s);
	entry_handle_held_request(entry, &early->request);
	g_free(early);
}

bool early_hold(struct entry *entry, const struct caller_request *request)
{
	int64_t now = entry_now_ms(entry);
	int64_t wait_ms = entry->opts.settings->limits.early_wait_ms;
	struct early *early;

	if (entry->early.length >= EARLY_MAX || entry->draining ||
	    now - entry->began_ms >= wait_ms)
		return false;
	/* Half of its patience is left for the answer. */
	if (request->caller_timeout_ms)
		wait_ms = MIN(wait_ms, request->caller_timeout_ms / 2);
	early = g_new0(struct early, 1);
	early->entry = entry;
	early->request = *request;
	early->request.arrived_ms = now;
	early->until_ms = now + wait_ms;
	early->watch = (struct http_watch){ on_caller_left, early };
	http_watch(request->req, &early->watch);
	g_queue_push_tail(&entry->early, early);
	log_info(&early_log,
		 "request %s: waits up to %d ms for a configuration",
		 request->id, (int)wait_ms);
	return true;
}

void early_go_on(struct entry *entry)
{
	struct early *early;

	while ((early = g_queue_peek_head(&entry->early)))
		end_wait(early);
}

void early_tick(struct entry *entry, int64_t now_ms)
{
	GList *link = entry->early.head;

	while (link) {
		struct early *early = link->data;

		link = link->next;
		if (now_ms >= early->until_ms)
			end_wait(early);
	}
}

void early_drop(struct entry *entry)
{
	struct early *early;

	while ((early = g_queue_pop_head(&entry->early))) {
		http_unwatch(early->request.req, 1);
		early->request.format->free_data(early->request.data);
		g_free(early);
	}
}
