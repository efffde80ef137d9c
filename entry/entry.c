#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "common/address.h"
#include "common/http_server.h"
#include "common/log.h"
#include "common/pack.h"
#include "entry/call_class.h"
#include "entry/leaving.h"
#include "entry/limits.h"
#include "entry/parts.h"
#include "entry/reach.h"
#include "entry/relay.h"
#include "entry/shutdown.h"
#include "entry/take.h"
#include "settings/ports.h"
#include "wire/codec.h"

#define TICK_MS 50
#define STATUS_MS 100
#define ENDPOINT_BODY_BYTES 65536
#define ENDPOINT_HEADER_BYTES 8192
#define PERMILLE_FULL 1000

static const struct log entry_log = { "entry" };

int64_t entry_now_ms(const struct entry *entry)
{
	return clock_now_ms(entry->opts.clock);
}

int64_t entry_now_us(const struct entry *entry)
{
	return clock_now_us(entry->opts.clock);
}

bool entry_has_lease(const struct entry *entry)
{
	return entry_now_ms(entry) < entry->lease_until_ms;
}

GArray *entry_list_nodes(const struct entry *entry)
{
	GArray *nodes = g_array_new(FALSE, FALSE, sizeof(uint32_t));

	for (uint32_t i = 0; i < entry->known_entry_count; i++)
		if (*entry->known_entries[i].callers_address)
			g_array_append_val(nodes, entry->known_entries[i].node);
	return nodes;
}

void entry_schedule_dispatch(struct entry *entry)
{
	struct timeval no_delay = { 0, 0 };

	if (entry->dispatch_event &&
	    !evtimer_pending(entry->dispatch_event, NULL))
		event_add(entry->dispatch_event, &no_delay);
}

/* ---- status and digests ---- */

/*
 * Counts only this entry's calls. Replicas are shared by all entries, so
 * callers gain nothing by choosing another entry when replicas are full.
 */
static uint32_t free_permille(const struct entry *entry)
{
	uint32_t calls = g_hash_table_size(entry->calls);
	int64_t limit = entry->opts.settings->limits.connections;

	/* Another entry would have to serve its callers. */
	if (calls >= limit || reach_lost_most(entry))
		return 0;
	return (uint32_t)(PERMILLE_FULL - calls * PERMILLE_FULL / limit);
}

void entry_send_status(struct entry *entry)
{
	struct entry_status status = {
		.applied = state_applied_index(entry->config),
		.free_permille = free_permille(entry),
		.draining = entry->draining,
	};

	if (shutdown_finished(entry))
		return;
	status.loads = services_collect_loads(entry);
	status.demands = services_collect_demands(entry);
	parts_fill_status(entry->parts, &status);
	g_strlcpy(status.callers_address, entry->callers_address,
		  sizeof(status.callers_address));
	g_strlcpy(status.endpoints_address, entry->endpoints_address,
		  sizeof(status.endpoints_address));
	entry->status_sent_ms = entry_now_ms(entry);
	control_post_status(entry->opts.control, &status);
}

void entry_send_digest(struct entry *entry)
{
	struct digest digest;
	GBytes *bytes;

	if (shutdown_finished(entry))
		return;
	monitor_make_digest(entry->monitor, entry_now_ms(entry),
			    entry->full_digest_due, &digest);
	entry->full_digest_due = false;
	if (!view_merge(entry->view, entry_now_ms(entry), &digest))
		entry->full_digest_due = true;
	bytes = CODEC_ENCODE(digest, &digest);
	monitor_digest_clear(&digest);
	if (bytes) {
		control_post_digest(entry->opts.control, bytes);
	} else {
		counters_add(entry->opts.counters, COUNTER_ENCODINGS_FAILED, 1);
		log_error(&entry_log, "digest not sent: exceeds a size limit");
	}
	/* It renews evidence even without a new version, as in run_digest(). */
	services_update_health(entry);
}

/* ---- timers ---- */

static void tick_calls(struct entry *entry)
{
	int64_t now = entry_now_ms(entry);
	/* Checking a call may end it and start others. */
	GPtrArray *calls = call_list(entry);

	for (guint i = 0; i < calls->len; i++)
		if (g_hash_table_contains(entry->calls, calls->pdata[i]))
			call_tick(calls->pdata[i], now);
	g_ptr_array_unref(calls);
}

static void on_tick(evutil_socket_t fd, short what, void *ctx)
{
	struct entry *entry = ctx;
	int64_t paused_ms = pauses_tick(&entry->pauses, entry_now_ms(entry));

	(void)fd;
	(void)what;
	if (paused_ms)
		log_note(&entry_log,
			 "this process paused ms=%" PRId64 " open=%u",
			 paused_ms, g_hash_table_size(entry->calls));
	view_expire(entry->view, entry_now_ms(entry));
	if (view_version(entry->view) != entry->health_version)
		services_update_health(entry);
	early_tick(entry, entry_now_ms(entry));
	reach_tick(entry);
	ends_tick(entry->ends);
	parts_tick(entry->parts);
	/* First, lest a call is moved from one stalled replica to another. */
	services_check_stalls(entry);
	tick_calls(entry);
	services_dispatch_queued(entry);
	if (entry_now_ms(entry) - entry->status_sent_ms >= STATUS_MS)
		entry_send_status(entry);
	shutdown_tick(entry);
}

static void on_digest(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	entry_send_digest(ctx);
}

static void on_dispatch(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	services_dispatch_queued(ctx);
}

/* ---- creation and destruction ---- */

static struct evhttp *open_port(struct entry *entry, const char *address,
				const struct http_listen_opts *limits,
				char *out, char **why)
{
	struct http_listen_opts opts = *limits;
	struct address parsed;
	struct evhttp *http;
	int port = 0;

	opts.base = entry->base;
	opts.address = address;
	opts.ctx = entry;
	opts.counters = entry->opts.counters;
	http = http_listen(&opts, &port, why);
	if (!http)
		return NULL;
	(void)address_parse(address, &parsed);
	g_snprintf(out, ADDRESS_MAX, "%s:%d", parsed.host, port);
	return http;
}

static bool open_ports(struct entry *entry, char **why)
{
	const struct daemon_settings *settings = entry->opts.settings;
	struct http_listen_opts callers = {
		.client = ports_client_limits(
			settings, (size_t)settings->limits.header_bytes,
			(size_t)settings->limits.body_bytes),
		.server = ports_server_limits(settings, CLIENT_PORT_CALLERS),
		.timeout_s = (int)settings->limits.slow_sender_s,
		.handle = callers_handle,
	};
	struct http_listen_opts endpoints = {
		.client = ports_client_limits(settings, ENDPOINT_HEADER_BYTES,
					      ENDPOINT_BODY_BYTES),
		.server = ports_server_limits(settings, CLIENT_PORT_ENDPOINTS),
		.timeout_s = (int)settings->limits.slow_sender_s,
		.handle = announce_handle,
	};

	if (entry->opts.driver) {
		entry->driver = entry->opts.driver->open(entry, why);
		return entry->driver != NULL;
	}
	entry->callers = open_port(entry, settings->listen.callers, &callers,
				   entry->callers_address, why);
	if (!entry->callers)
		return false;
	entry->endpoints = open_port(entry, settings->listen.endpoints,
				     &endpoints, entry->endpoints_address, why);
	return entry->endpoints != NULL;
}

struct entry *entry_create(const struct entry_opts *opts, char **why)
{
	struct entry *entry = g_new0(struct entry, 1);
	const struct limit_settings *limits = &opts->settings->limits;
	struct monitor_opts monitor = {
		.node = (uint32_t)opts->settings->node.id,
		.incarnation = control_incarnation(opts->control),
		.silence_ms = (int32_t)limits->vm_silence_ms,
	};
	struct view_opts view = {
		.silence_ms =
			daemon_settings_monitor_timeout_ms(opts->settings),
	};

	entry->opts = *opts;
	entry->base = task_base(opts->task);
	entry->config = state_create();
	entry->monitor = monitor_create(&monitor);
	entry->view = view_create(&view);
	entry->full_digest_due = true;
	entry->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						entry_service_free);
	entry->calls = g_hash_table_new(NULL, NULL);
	entry->call_classes = call_classes_create();
	entry->unrecorded = g_hash_table_new(NULL, NULL);
	entry->pool = upstream_pool_create(entry->base);
	entry->peer_pool = upstream_pool_create(entry->base);
	entry->answers.limit_bytes = ports_answer_bytes(opts->settings);
	entry->ends = ends_create(entry);
	entry->parts = parts_create(entry);
	entry->started_ms = entry_now_ms(entry);
	pauses_init(&entry->pauses, TICK_MS, entry->started_ms);
	g_queue_init(&entry->held_requests);
	entry->random = g_rand_new_with_seed(opts->seed);
	entry->limits = limits_create(entry);
	entry->leaving = leaving_create(entry);
	entry->relay = relay_create(entry);
	if (open_ports(entry, why))
		return entry;
	entry_destroy(entry);
	return NULL;
}

void entry_start(void *arg)
{
	struct entry *entry = arg;
	const struct limit_settings *limits = &entry->opts.settings->limits;
	struct timeval tick = { 0, TICK_MS * 1000 };
	struct timeval digest = { limits->digest_ms / 1000,
				  (limits->digest_ms % 1000) * 1000 };

	entry->dispatch_event = evtimer_new(entry->base, on_dispatch, entry);
	entry->tick = event_new(entry->base, -1, EV_PERSIST, on_tick, entry);
	event_add(entry->tick, &tick);
	if (entry->endpoints) {
		entry->digest_timer = event_new(entry->base, -1, EV_PERSIST,
						on_digest, entry);
		event_add(entry->digest_timer, &digest);
	}
	entry_send_status(entry);
}

static void free_events(struct entry *entry)
{
	if (entry->dispatch_event)
		event_free(entry->dispatch_event);
	if (entry->tick)
		event_free(entry->tick);
	if (entry->digest_timer)
		event_free(entry->digest_timer);
	entry->dispatch_event = NULL;
}

static void drop_calls(struct entry *entry)
{
	GHashTableIter iter;
	gpointer key;

	for (;;) {
		g_hash_table_iter_init(&iter, entry->calls);
		if (!g_hash_table_iter_next(&iter, &key, NULL))
			return;
		call_abandon(key);
	}
}

static void clear_known_entries(struct entry *entry)
{
	for (uint32_t i = 0; i < entry->known_entry_count; i++)
		CODEC_FREE(entry_info, &entry->known_entries[i]);
	g_free(entry->known_entries);
	entry->known_entries = NULL;
	entry->known_entry_count = 0;
}

void entry_destroy(struct entry *entry)
{
	if (!entry)
		return;
	free_events(entry);
	early_drop(entry);
	drop_calls(entry);
	upstream_pool_destroy(entry->pool);
	upstream_pool_destroy(entry->peer_pool);
	ends_destroy(entry->ends);
	parts_destroy(entry->parts);
	if (entry->driver)
		entry->opts.driver->close(entry->driver);
	routes_destroy(entry->routes);
	if (entry->callers)
		http_close(entry->callers);
	if (entry->endpoints)
		http_close(entry->endpoints);
	g_hash_table_unref(entry->calls);
	g_hash_table_unref(entry->call_classes);
	booking_drop_unrecorded(entry);
	g_hash_table_unref(entry->services);
	limits_destroy(entry->limits);
	leaving_destroy(entry->leaving);
	relay_destroy(entry->relay);
	clear_known_entries(entry);
	monitor_destroy(entry->monitor);
	view_destroy(entry->view);
	state_destroy(entry->config);
	g_rand_free(entry->random);
	g_free(entry);
}

/* ---- messages from the control task ---- */

struct message {
	struct entry *entry;
	struct config_update *update;
	GBytes *bytes;
	bool draining;
	task_fn done;
	void *arg;
};

static void post(struct entry *entry, task_fn fn, const struct message *m)
{
	struct message *copy = g_memdup2(m, sizeof(*m));

	copy->entry = entry;
	task_post(entry->opts.task, fn, copy);
}

static bool apply_snapshot(struct entry *entry, const struct poll_reply *reply)
{
	GBytes *encoded = unpack(reply->snapshot.snapshot_val,
				 reply->snapshot.snapshot_len,
				 reply->snapshot_bytes);
	bool loaded = encoded && state_load(entry->config, encoded);

	if (!loaded)
		log_error(&entry_log, "cannot load a state snapshot; "
				      "configuration unchanged");
	if (encoded)
		g_bytes_unref(encoded);
	return loaded;
}

static bool apply_deltas(struct entry *entry, const struct poll_reply *reply)
{
	bool changed = false;

	for (u_int i = 0; i < reply->deltas.deltas_len; i++) {
		const struct indexed_command *c = &reply->deltas.deltas_val[i];
		struct apply_result result = { 0 };

		if (c->index <= state_applied_index(entry->config))
			continue;
		state_apply(entry->config, c->index, &c->cmd, &result);
		state_result_clear(&result);
		changed = true;
	}
	return changed;
}

static void update_known_entries(struct entry *entry, struct poll_reply *reply)
{
	clear_known_entries(entry);
	entry->known_entry_count = reply->entries.entries_len;
	entry->known_entries = g_new0(struct entry_info,
				      entry->known_entry_count + 1);
	for (uint32_t i = 0; i < entry->known_entry_count; i++)
		if (!CODEC_COPY(entry_info, &reply->entries.entries_val[i],
				&entry->known_entries[i]))
			g_assert_not_reached();
}

static bool includes_deployment(const struct poll_reply *reply)
{
	for (u_int i = 0; i < reply->deltas.deltas_len; i++)
		if (reply->deltas.deltas_val[i].cmd.body.kind == CMD_DEPLOY)
			return true;
	return reply->snapshot.snapshot_len != 0;
}

/* The routes point into the deployment, so they are rebuilt with it. */
static void update_routes(struct entry *entry)
{
	const struct deployment *d = state_deployment(entry->config);

	routes_destroy(entry->routes);
	entry->routes = d ? routes_create(d) : NULL;
	if (d && entry->driver)
		entry->opts.driver->apply_limits(entry->driver, &d->limits);
	if (d)
		log_info(&entry_log,
			 "applied deployment %" G_GUINT64_FORMAT ": %u "
			 "routes, %u "
			 "accounts",
			 d->revision, d->routes.routes_len,
			 d->accounts.accounts_len);
}

static bool is_stale(const struct entry *entry, const struct poll_reply *reply)
{
	return reply->commit_index < state_applied_index(entry->config);
}

/*
 * Applies a configuration update completely before any other event of this
 * task, so that no call sees a part of it.
 */
static void run_config(void *arg)
{
	struct message *m = arg;
	struct entry *entry = m->entry;
	struct poll_reply *reply = &m->update->reply;
	uint32_t previous_count = entry->known_entry_count;
	bool changed = false;

	if (!is_stale(entry, reply)) {
		if (reply->snapshot.snapshot_len)
			changed = apply_snapshot(entry, reply);
		else
			changed = apply_deltas(entry, reply);
		update_known_entries(entry, reply);
		limits_update_entries(entry->limits);
		entry->lease_until_ms = MAX(entry->lease_until_ms,
					    m->update->lease_until_ms);
		entry->ever_configured = true;
	}
	parts_apply_reply(entry->parts, m->update);
	if (changed && includes_deployment(reply))
		update_routes(entry);
	if (changed)
		entry_send_status(entry);
	if (changed || entry->known_entry_count != previous_count)
		services_update(entry);
	if (entry->routes)
		early_release(entry);
	services_apply_peer_loads(entry, reply->loads.loads_val,
				  reply->loads.loads_len);
	CODEC_FREE(poll_reply, reply);
	g_free(m->update);
	g_free(m);
}

void entry_post_config(struct entry *entry, struct config_update *update)
{
	post(entry, run_config, &(struct message){ .update = update });
}

static void run_digest(void *arg)
{
	struct message *m = arg;
	struct entry *entry = m->entry;
	struct digest digest = { 0 };

	if (CODEC_DECODE(digest, m->bytes, &digest)) {
		(void)view_merge(entry->view, entry_now_ms(entry), &digest);
		for (u_int i = 0; i < digest.changed_vms.changed_vms_len; i++)
			services_update_load(
				entry, &digest.changed_vms.changed_vms_val[i]);
		CODEC_FREE(digest, &digest);
	}
	/*
	 * A digest also extends the validity of evidence, so health is updated
	 * even if the version of the view has not changed.
	 */
	services_update_health(entry);
	g_bytes_unref(m->bytes);
	g_free(m);
}

void entry_post_digest(struct entry *entry, GBytes *digest)
{
	post(entry, run_digest, &(struct message){ .bytes = digest });
}

static void run_request_full_digest(void *arg)
{
	struct message *m = arg;

	m->entry->full_digest_due = true;
	g_free(m);
}

void entry_post_request_full_digest(struct entry *entry)
{
	post(entry, run_request_full_digest, &(struct message){ 0 });
}

static void run_drain(void *arg)
{
	struct message *m = arg;

	if (shutdown_begun(m->entry)) {
		log_note(&entry_log, "already stopping; drain=%d ignored",
			 m->draining);
		g_free(m);
		return;
	}
	log_note(&entry_log, "%s",
		 m->draining ? "draining" : "no longer draining");
	m->entry->draining = m->draining;
	entry_send_status(m->entry);
	g_free(m);
}

void entry_post_drain(struct entry *entry, bool draining)
{
	post(entry, run_drain, &(struct message){ .draining = draining });
}

static void run_shutdown(void *arg)
{
	struct message *m = arg;

	shutdown_begin(m->entry, m->done, m->arg);
	g_free(m);
}

void entry_post_shutdown(struct entry *entry, task_fn done, void *arg)
{
	post(entry, run_shutdown,
	     &(struct message){ .done = done, .arg = arg });
}
