#include <stdlib.h>
#include <string.h>

#include "common/address.h"
#include "common/log.h"
#include "common/pack.h"
#include "entry/take.h"
#include "wire/codec.h"

#define TICK_MS 50
#define STATUS_MS 100
#define ENDPOINT_BODY_BYTES 65536
#define ENDPOINT_HEADER_BYTES 8192
#define PERMILLE 1000

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

void entry_want_pump(struct entry *entry)
{
	struct timeval at_once = { 0, 0 };

	if (entry->pump && !evtimer_pending(entry->pump, NULL))
		event_add(entry->pump, &at_once);
}

/* ---- what this entry tells ---- */

/* Full replicas are everybody's; callers gain nothing by moving. */
static uint32_t free_permille(const struct entry *entry)
{
	uint32_t calls = g_hash_table_size(entry->calls);
	int64_t most = entry->opts.settings->limits.connections;

	if (calls >= most)
		return 0;
	return (uint32_t)(PERMILLE - calls * PERMILLE / most);
}

void entry_send_status(struct entry *entry)
{
	struct entry_status status = {
		.applied = state_applied_index(entry->config),
		.free_permille = free_permille(entry),
		.draining = entry->draining,
		.loads = services_loads(entry),
		.demands = services_demands(entry),
	};

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

	home_digest(entry->home, entry_now_ms(entry), entry->want_full,
		    &digest);
	entry->want_full = false;
	if (!view_merge(entry->view, entry_now_ms(entry), &digest))
		entry->want_full = true;
	bytes = CODEC_ENCODE(digest, &digest);
	home_digest_clear(&digest);
	if (bytes)
		control_post_digest(entry->opts.control, bytes);
	if (view_version(entry->view) != entry->judged_version)
		services_judge(entry);
}

/* ---- timers ---- */

static void tick_calls(struct entry *entry)
{
	int64_t now = entry_now_ms(entry);
	GPtrArray *calls =
		g_ptr_array_sized_new(g_hash_table_size(entry->calls));
	GHashTableIter iter;
	gpointer key;

	/* A call may end, and with it others start, while it is checked. */
	g_hash_table_iter_init(&iter, entry->calls);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(calls, key);
	for (guint i = 0; i < calls->len; i++)
		if (g_hash_table_contains(entry->calls, calls->pdata[i]))
			call_tick(calls->pdata[i], now);
	g_ptr_array_unref(calls);
}

static void check_leaving(struct entry *entry)
{
	if (!entry->leave_done)
		return;
	/* Callers still come until they have heard that this entry goes. */
	if (entry_now_ms(entry) < entry->refuse_from_ms)
		return;
	entry->refusing = true;
	if (g_hash_table_size(entry->calls) &&
	    entry_now_ms(entry) < entry->leave_until_ms)
		return;
	log_note(&entry_log, "drained: %u calls left",
		 g_hash_table_size(entry->calls));
	entry->leave_done(entry->leave_arg);
	entry->leave_done = NULL;
}

static void on_tick(evutil_socket_t fd, short what, void *ctx)
{
	struct entry *entry = ctx;

	(void)fd;
	(void)what;
	view_tick(entry->view, entry_now_ms(entry));
	if (view_version(entry->view) != entry->judged_version)
		services_judge(entry);
	early_tick(entry, entry_now_ms(entry));
	tick_calls(entry);
	services_watch(entry);
	services_pump(entry);
	if (entry_now_ms(entry) - entry->status_sent_ms >= STATUS_MS)
		entry_send_status(entry);
	check_leaving(entry);
}

static void on_digest(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	entry_send_digest(ctx);
}

static void on_pump(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	services_pump(ctx);
}

/* ---- life ---- */

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
		.header_bytes = (size_t)settings->limits.header_bytes,
		.body_bytes = (size_t)settings->limits.body_bytes,
		.timeout_s = (int)settings->limits.slow_sender_s,
		.handle = callers_handle,
	};
	struct http_listen_opts endpoints = {
		.header_bytes = ENDPOINT_HEADER_BYTES,
		.body_bytes = ENDPOINT_BODY_BYTES,
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
	struct home_opts home = {
		.node = (uint32_t)opts->settings->node.id,
		.incarnation = control_incarnation(opts->control),
		.silence_ms = (int32_t)limits->vm_silence_ms,
	};
	struct view_opts view = {
		.silence_ms = daemon_settings_home_silence_ms(opts->settings),
	};

	entry->opts = *opts;
	entry->base = task_base(opts->task);
	entry->config = state_create();
	entry->home = home_create(&home);
	entry->view = view_create(&view);
	entry->want_full = true;
	entry->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						service_drop);
	entry->calls = g_hash_table_new(NULL, NULL);
	entry->pool = upstream_pool_create(entry->base);
	entry->began_ms = entry_now_ms(entry);
	g_queue_init(&entry->early);
	entry->random = g_rand_new_with_seed(opts->seed);
	if (open_ports(entry, why))
		return entry;
	entry_destroy(entry);
	return NULL;
}

void entry_begin(void *arg)
{
	struct entry *entry = arg;
	const struct limit_settings *limits = &entry->opts.settings->limits;
	struct timeval tick = { 0, TICK_MS * 1000 };
	struct timeval digest = { limits->digest_ms / 1000,
				  (limits->digest_ms % 1000) * 1000 };

	entry->pump = evtimer_new(entry->base, on_pump, entry);
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
	if (entry->pump)
		event_free(entry->pump);
	if (entry->tick)
		event_free(entry->tick);
	if (entry->digest_timer)
		event_free(entry->digest_timer);
	entry->pump = NULL;
}

static void drop_calls(struct entry *entry)
{
	GHashTableIter iter;
	gpointer key;

	for (;;) {
		g_hash_table_iter_init(&iter, entry->calls);
		if (!g_hash_table_iter_next(&iter, &key, NULL))
			return;
		call_destroy(key);
	}
}

static void forget_others(struct entry *entry)
{
	for (uint32_t i = 0; i < entry->other_count; i++)
		CODEC_FREE(entry_info, &entry->others[i]);
	g_free(entry->others);
	entry->others = NULL;
	entry->other_count = 0;
}

void entry_destroy(struct entry *entry)
{
	if (!entry)
		return;
	free_events(entry);
	early_drop(entry);
	drop_calls(entry);
	upstream_pool_destroy(entry->pool);
	if (entry->driver)
		entry->opts.driver->close(entry->driver);
	routes_destroy(entry->routes);
	if (entry->callers)
		evhttp_free(entry->callers);
	if (entry->endpoints)
		evhttp_free(entry->endpoints);
	g_hash_table_unref(entry->calls);
	g_hash_table_unref(entry->services);
	forget_others(entry);
	home_destroy(entry->home);
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
	bool flag;
	task_fn done;
	void *arg;
};

static void post(struct entry *entry, task_fn fn, const struct message *m)
{
	struct message *copy = g_memdup2(m, sizeof(*m));

	copy->entry = entry;
	task_post(entry->opts.task, fn, copy);
}

static bool apply_image(struct entry *entry, const struct poll_reply *reply)
{
	GBytes *image = unpack(reply->snapshot.snapshot_val,
			       reply->snapshot.snapshot_len,
			       reply->snapshot_bytes);
	bool ok = image && state_load(entry->config, image);

	if (!ok)
		log_error(&entry_log, "an image of the state cannot be read");
	if (image)
		g_bytes_unref(image);
	return ok;
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

static void take_others(struct entry *entry, struct poll_reply *reply)
{
	forget_others(entry);
	entry->other_count = reply->entries.entries_len;
	entry->others = g_new0(struct entry_info, entry->other_count + 1);
	for (uint32_t i = 0; i < entry->other_count; i++)
		if (!CODEC_COPY(entry_info, &reply->entries.entries_val[i],
				&entry->others[i]))
			g_assert_not_reached();
}

static bool brings_deployment(const struct poll_reply *reply)
{
	for (u_int i = 0; i < reply->deltas.deltas_len; i++)
		if (reply->deltas.deltas_val[i].cmd.body.kind == CMD_DEPLOY)
			return true;
	return reply->snapshot.snapshot_len != 0;
}

/* The routes point into the deployment, so they are made anew with it. */
static void update_routes(struct entry *entry)
{
	const struct deployment *d = state_deployment(entry->config);

	routes_destroy(entry->routes);
	entry->routes = d ? routes_create(d) : NULL;
	if (d)
		log_info(&entry_log,
			 "serves by deployment %" G_GUINT64_FORMAT ": %u "
			 "routes, %u "
			 "accounts",
			 d->revision, d->routes.routes_len,
			 d->accounts.accounts_len);
}

static bool older(const struct entry *entry, const struct poll_reply *reply)
{
	return reply->commit < state_applied_index(entry->config);
}

/* A configuration is applied as a whole between two events of this task. */
static void run_config(void *arg)
{
	struct message *m = arg;
	struct entry *entry = m->entry;
	struct poll_reply *reply = &m->update->reply;
	uint32_t others = entry->other_count;
	bool changed = false;

	if (!older(entry, reply)) {
		if (reply->snapshot.snapshot_len)
			changed = apply_image(entry, reply);
		else
			changed = apply_deltas(entry, reply);
		take_others(entry, reply);
		entry->lease_until_ms = MAX(entry->lease_until_ms,
					    m->update->lease_until_ms);
		entry->ever_configured = true;
	}
	if (changed && brings_deployment(reply))
		update_routes(entry);
	if (changed)
		entry_send_status(entry);
	if (changed || entry->other_count != others)
		services_update(entry);
	if (entry->routes)
		early_go_on(entry);
	services_take_loads(entry, reply->loads.loads_val,
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
		for (u_int i = 0; i < digest.changed.changed_len; i++)
			services_load(entry, &digest.changed.changed_val[i]);
		CODEC_FREE(digest, &digest);
	}
	/* Also extends until when evidence serves, so always judged anew. */
	services_judge(entry);
	g_bytes_unref(m->bytes);
	g_free(m);
}

void entry_post_digest(struct entry *entry, GBytes *digest)
{
	post(entry, run_digest, &(struct message){ .bytes = digest });
}

static void run_want_full(void *arg)
{
	struct message *m = arg;

	m->entry->want_full = true;
	g_free(m);
}

void entry_post_want_full(struct entry *entry)
{
	post(entry, run_want_full, &(struct message){ 0 });
}

static void run_drain(void *arg)
{
	struct message *m = arg;

	log_note(&entry_log, "%s", m->flag ? "draining" : "no longer draining");
	m->entry->draining = m->flag;
	entry_send_status(m->entry);
	g_free(m);
}

void entry_post_drain(struct entry *entry, bool draining)
{
	post(entry, run_drain, &(struct message){ .flag = draining });
}

static void run_leave(void *arg)
{
	struct message *m = arg;
	struct entry *entry = m->entry;

	entry->draining = true;
	entry_send_status(entry);
	entry->leave_done = m->done;
	entry->leave_arg = m->arg;
	entry->leave_until_ms = entry_now_ms(entry) +
				entry->opts.settings->limits.drain_ms;
	entry->refuse_from_ms = entry_now_ms(entry) +
				entry->opts.settings->limits.linger_ms;
	g_free(m);
}

void entry_post_leave(struct entry *entry, task_fn done, void *arg)
{
	post(entry, run_leave, &(struct message){ .done = done, .arg = arg });
}
