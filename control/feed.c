#include <stdlib.h>
#include <string.h>

#include <radishdeal/quarantine.h>

#include "common/pack.h"
#include "control/demands.h"
#include "control/feed.h"
#include "wire/codec.h"

/* An entry with less free capacity is not advertised to callers. */
#define FREE_PERMILLE_MIN 50u

struct feed {
	struct feed_opts opts;
	uint32_t *nodes;
	GQueue commands;	  /* of struct indexed_command */
	uint64_t discarded_index; /* commands up to it are no longer kept */
	uint64_t last_index;	  /* of the commands sent to entries */
	int64_t grace_until_ms;	  /* end of previous leaders' leases */
	GHashTable *entries;	  /* node -> struct feed_entry */
	bool send_state_first;	  /* feed_send_state_first() */
	GBytes *snapshot; /* compressed, at snapshot_index; may be NULL */
	uint32_t snapshot_bytes; /* size before compression */
	uint64_t snapshot_index;
	struct quarantine *quarantine; /* passes evidence on */
};

static void free_command(gpointer data)
{
	struct indexed_command *c = data;

	CODEC_FREE(indexed_command, c);
	g_free(c);
}

static void free_entry(gpointer data)
{
	struct feed_entry *e = data;

	g_array_unref(e->loads);
	g_array_unref(e->demands);
	g_free(e);
}

struct feed *feed_create(const struct feed_opts *opts)
{
	struct feed *feed = g_new0(struct feed, 1);

	feed->opts = *opts;
	feed->nodes = g_memdup2(opts->nodes,
				opts->node_count * sizeof(uint32_t));
	g_queue_init(&feed->commands);
	feed->entries = g_hash_table_new_full(NULL, NULL, NULL, free_entry);
	feed->quarantine = quarantine_create(&(struct quarantine_opts){ 0 });
	return feed;
}

void feed_destroy(struct feed *feed)
{
	if (!feed)
		return;
	g_queue_clear_full(&feed->commands, free_command);
	g_hash_table_unref(feed->entries);
	quarantine_destroy(feed->quarantine);
	if (feed->snapshot)
		g_bytes_unref(feed->snapshot);
	g_free(feed->nodes);
	g_free(feed);
}

void feed_add(struct feed *feed, uint64_t index, const struct command *command)
{
	struct indexed_command *copy;
	struct indexed_command added = { index, *command };

	/* Makes up most of the state: a snapshot is hardly larger than it. */
	if (command->body.kind == CMD_DEPLOY) {
		feed_reset(feed, index);
		return;
	}
	copy = g_new0(struct indexed_command, 1);
	if (!CODEC_COPY(indexed_command, &added, copy))
		g_assert_not_reached();
	g_queue_push_tail(&feed->commands, copy);
	feed->last_index = index;
	while (g_queue_get_length(&feed->commands) > feed->opts.commands_max) {
		struct indexed_command *oldest =
			g_queue_pop_head(&feed->commands);

		feed->discarded_index = oldest->index;
		free_command(oldest);
	}
}

void feed_reset(struct feed *feed, uint64_t index)
{
	g_queue_clear_full(&feed->commands, free_command);
	feed->discarded_index = index;
	feed->last_index = index;
}

const struct feed_entry *feed_find_entry(const struct feed *feed, uint32_t node)
{
	return g_hash_table_lookup(feed->entries, GUINT_TO_POINTER(node));
}

/* Longest time that a lease can last if the entry's clock is slow. */
static int64_t max_lease_ms(const struct feed *feed)
{
	return (int64_t)feed->opts.lease_ms *
	       (1000 + feed->opts.drift_permille) / 1000;
}

void feed_start_leading(struct feed *feed, int64_t now_ms)
{
	g_hash_table_remove_all(feed->entries);
	feed->send_state_first = false;
	feed->grace_until_ms = now_ms + max_lease_ms(feed);
}

void feed_send_state_first(struct feed *feed)
{
	feed->send_state_first = true;
}

/*
 * Whether a poll was sent before the last one that was taken: by a data folder
 * that its VM had before, or by an earlier incarnation. The incarnations of two
 * folders can't be compared. No poll is delayed by a lease, but a clock that
 * was set back, or a folder that was restored, lasts longer.
 */
static bool is_delayed(const struct feed_entry *e, int64_t now_ms,
		       const struct poll_request *request)
{
	if (now_ms > e->lease_until_ms)
		return false;
	if (request->member_id != e->member)
		return e->former_member &&
		       request->member_id == e->former_member;
	return request->incarnation < e->incarnation;
}

static void update_entry(struct feed *feed, int64_t now_ms,
			 const struct poll_request *request)
{
	gpointer key = GUINT_TO_POINTER(request->node);
	struct feed_entry *e = g_hash_table_lookup(feed->entries, key);

	if (!e) {
		e = g_new0(struct feed_entry, 1);
		e->node = request->node;
		e->loads = g_array_new(FALSE, FALSE,
				       sizeof(struct replica_load));
		e->demands = demands_create();
		e->member = request->member_id;
		g_hash_table_insert(feed->entries, key, e);
	}
	if (is_delayed(e, now_ms, request))
		return;
	if (request->member_id != e->member)
		e->former_member = e->member;
	if (request->incarnation != e->incarnation ||
	    now_ms > e->lease_until_ms)
		e->first_poll_ms = now_ms;
	e->incarnation = request->incarnation;
	e->member = request->member_id;
	e->applied = request->applied_index;
	e->last_poll_ms = now_ms;
	e->lease_until_ms = now_ms + max_lease_ms(feed);
	e->free_permille = request->free_permille;
	e->draining = request->draining;
	g_array_set_size(e->loads, 0);
	g_array_append_vals(e->loads, request->loads.loads_val,
			    request->loads.loads_len);
	g_array_set_size(e->demands, 0);
	for (u_int i = 0; i < request->demands.demands_len; i++)
		demands_add(e->demands, &request->demands.demands_val[i]);
	g_strlcpy(e->callers_address, request->callers_address,
		  sizeof(e->callers_address));
	g_strlcpy(e->endpoints_address, request->endpoints_address,
		  sizeof(e->endpoints_address));
	g_strlcpy(e->data_centre, request->data_centre, sizeof(e->data_centre));
}

bool control_entry_takes_callers(const struct entry_info *entry)
{
	return !entry->draining && entry->free_permille >= FREE_PERMILLE_MIN;
}

static void add_deltas(const struct feed *feed, uint64_t applied,
		       struct poll_reply *reply)
{
	u_int n = 0;

	reply->deltas.deltas_val = calloc(feed->commands.length + 1,
					  sizeof(struct indexed_command));
	for (GList *link = feed->commands.head; link; link = link->next) {
		const struct indexed_command *c = link->data;

		if (c->index > applied &&
		    CODEC_COPY(indexed_command, c,
			       &reply->deltas.deltas_val[n]))
			n++;
	}
	reply->deltas.deltas_len = n;
}

/*
 * Returns the compressed snapshot at the current index, cached for all polls at
 * that index. The feed owns it. NULL if the state cannot be saved.
 */
static GBytes *current_snapshot(struct feed *feed, const struct state *state)
{
	GBytes *raw;
	gsize size;
	const void *data;

	if (feed->snapshot &&
	    feed->snapshot_index == state_applied_index(state))
		return feed->snapshot;
	if (feed->snapshot)
		g_bytes_unref(feed->snapshot);
	feed->snapshot = NULL;
	raw = state_save(state, false);
	if (!raw)
		return NULL;
	data = g_bytes_get_data(raw, &size);
	feed->snapshot = pack(data, size);
	feed->snapshot_bytes = (uint32_t)size;
	feed->snapshot_index = state_applied_index(state);
	g_bytes_unref(raw);
	return feed->snapshot;
}

static void add_snapshot(struct feed *feed, const struct state *state,
			 struct poll_reply *reply)
{
	GBytes *snapshot = current_snapshot(feed, state);
	gsize size;
	const void *data;

	if (!snapshot) {
		reply->code = RD_TOO_LARGE;
		return;
	}
	data = g_bytes_get_data(snapshot, &size);
	reply->snapshot.snapshot_val = malloc(size);
	memcpy(reply->snapshot.snapshot_val, data, size);
	reply->snapshot.snapshot_len = (u_int)size;
	reply->snapshot_bytes = feed->snapshot_bytes;
}

static void add_entries(const struct feed *feed, int64_t now_ms,
			struct poll_reply *reply)
{
	GHashTableIter iter;
	gpointer value;
	u_int n = 0;

	reply->entries.entries_val =
		calloc(g_hash_table_size(feed->entries) + 1,
		       sizeof(struct entry_info));
	g_hash_table_iter_init(&iter, feed->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct feed_entry *e = value;
		struct entry_info *info = &reply->entries.entries_val[n];

		if (now_ms > e->lease_until_ms)
			continue;
		info->node = e->node;
		info->callers_address = strdup(e->callers_address);
		info->endpoints_address = strdup(e->endpoints_address);
		info->data_centre = strdup(e->data_centre);
		info->free_permille = e->free_permille;
		info->draining = e->draining;
		n++;
	}
	reply->entries.entries_len = n;
}

static gint compare_loads(gconstpointer a, gconstpointer b)
{
	const struct replica_load *x = a, *y = b;

	if (x->replica != y->replica)
		return x->replica < y->replica ? -1 : 1;
	return x->epoch < y->epoch ? -1 : x->epoch > y->epoch;
}

static void accumulate_load(struct replica_load *sum,
			    const struct replica_load *load)
{
	sum->last_byte_age_ms = MIN(sum->last_byte_age_ms,
				    load->last_byte_age_ms);
	sum->requests += load->requests;
}

/* Merges the loads of each replica and epoch into one. */
static void merge_loads(GArray *loads)
{
	struct replica_load *all = (struct replica_load *)loads->data;
	guint sums = 0;

	g_array_sort(loads, compare_loads);
	for (guint i = 0; i < loads->len; i++) {
		if (sums && !compare_loads(&all[sums - 1], &all[i]))
			accumulate_load(&all[sums - 1], &all[i]);
		else
			all[sums++] = all[i];
	}
	g_array_set_size(loads, sums);
}

static const struct replica_load *find_load(const struct feed_entry *e,
					    uint32_t replica, uint64_t epoch)
{
	for (guint i = 0; i < e->loads->len; i++) {
		const struct replica_load *load =
			&g_array_index(e->loads, struct replica_load, i);

		if (load->replica == replica && load->epoch == epoch)
			return load;
	}
	return NULL;
}

bool feed_sum_load(const struct feed *feed, int64_t now_ms, uint32_t replica,
		   uint64_t epoch, struct replica_load *sum)
{
	GHashTableIter iter;
	gpointer value;

	*sum = (struct replica_load){ replica, epoch, 0, UINT32_MAX };
	g_hash_table_iter_init(&iter, feed->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct feed_entry *e = value;
		const struct replica_load *found =
			now_ms <= e->lease_until_ms
				? find_load(e, replica, epoch)
				: NULL;
		struct replica_load load;

		if (!found)
			continue;
		load = *found;
		load.last_byte_age_ms += (uint32_t)(now_ms - e->last_poll_ms);
		accumulate_load(sum, &load);
	}
	return sum->requests != 0;
}

/* Adds the loads that entries other than the requester last reported. */
static void add_other_loads(const struct feed *feed, int64_t now_ms,
			    uint32_t requester, struct poll_reply *reply)
{
	GArray *loads = g_array_new(FALSE, FALSE, sizeof(struct replica_load));
	GHashTableIter iter;
	gpointer value;
	gsize size;

	g_hash_table_iter_init(&iter, feed->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct feed_entry *e = value;

		if (e->node == requester || now_ms > e->lease_until_ms)
			continue;
		g_array_append_vals(loads, e->loads->data, e->loads->len);
	}
	merge_loads(loads);
	size = loads->len * sizeof(struct replica_load);
	reply->loads.loads_len = loads->len;
	reply->loads.loads_val = malloc(size + 1);
	if (size)
		memcpy(reply->loads.loads_val, loads->data, size);
	g_array_unref(loads);
}

/* Takes an entry's evidence on prompt parts, and adds what it may not have. */
static void exchange_parts(struct feed *feed, int64_t now_ms,
			   const struct poll_request *request,
			   struct poll_reply *reply)
{
	GArray *records = g_array_new(FALSE, FALSE, sizeof(struct part_record));
	bool knows = request->parts_source == feed->opts.parts_source;
	gsize size;

	quarantine_merge(feed->quarantine, now_ms, request->parts.parts_val,
			 request->parts.parts_len);
	reply->parts_source = feed->opts.parts_source;
	reply->parts_cursor =
		quarantine_report(feed->quarantine, now_ms,
				  knows ? request->parts_cursor : 0, records);
	size = records->len * sizeof(struct part_record);
	reply->parts.parts_len = records->len;
	reply->parts.parts_val = malloc(size + 1);
	if (size)
		memcpy(reply->parts.parts_val, records->data, size);
	g_array_unref(records);
}

/* A reply may be lost, but not all of a lease. */
static bool must_send_state(const struct feed *feed, int64_t now_ms,
			    uint32_t node)
{
	const struct feed_entry *e = feed_find_entry(feed, node);

	return feed->send_state_first &&
	       now_ms - e->first_poll_ms <= max_lease_ms(feed);
}

void feed_poll(struct feed *feed, int64_t now_ms, const struct state *state,
	       const struct poll_request *request, struct poll_reply *reply)
{
	update_entry(feed, now_ms, request);
	reply->code = RD_OK;
	reply->commit_index = state_applied_index(state);
	reply->lease_ms = (uint32_t)feed->opts.lease_ms;
	if (request->applied_index < feed->discarded_index ||
	    must_send_state(feed, now_ms, request->node))
		add_snapshot(feed, state, reply);
	else if (request->applied_index < feed->last_index)
		add_deltas(feed, request->applied_index, reply);
	add_entries(feed, now_ms, reply);
	add_other_loads(feed, now_ms, request->node, reply);
	exchange_parts(feed, now_ms, request, reply);
}

void feed_sum_demand(const struct feed *feed, int64_t now_ms,
		     const char *service, struct service_demand *sum)
{
	GHashTableIter iter;
	gpointer value;

	memset(sum, 0, sizeof(*sum));
	g_hash_table_iter_init(&iter, feed->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct feed_entry *e = value;

		if (now_ms > e->lease_until_ms)
			continue;
		for (guint i = 0; i < e->demands->len; i++) {
			const struct service_demand *d = &g_array_index(
				e->demands, struct service_demand, i);

			if (!strcmp(d->service, service))
				demands_accumulate(sum, d);
		}
	}
}

uint64_t feed_last_index(const struct feed *feed)
{
	return feed->last_index;
}

static gint compare_nodes(gconstpointer a, gconstpointer b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

/* Returns listed entries and those that have polled, sorted by node. */
static GArray *list_nodes(const struct feed *feed)
{
	GArray *nodes = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	GHashTableIter iter;
	gpointer key;

	for (uint32_t i = 0; i < feed->opts.node_count; i++)
		if (!g_hash_table_contains(feed->entries,
					   GUINT_TO_POINTER(feed->nodes[i])))
			g_array_append_val(nodes, feed->nodes[i]);
	g_hash_table_iter_init(&iter, feed->entries);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		uint32_t node = GPOINTER_TO_UINT(key);

		g_array_append_val(nodes, node);
	}
	g_array_sort(nodes, compare_nodes);
	return nodes;
}

/* Whether the entry may still act on a configuration older than `index`. */
static bool may_lag(const struct feed *feed, int64_t now_ms, uint64_t index,
		    uint32_t node)
{
	const struct feed_entry *e = feed_find_entry(feed, node);

	if (!e)
		return now_ms <= feed->grace_until_ms;
	return e->applied < index && now_ms <= e->lease_until_ms;
}

bool feed_in_force(const struct feed *feed, int64_t now_ms, uint64_t index,
		   GArray *laggards)
{
	bool in_force = !feed->opts.entries_may_join ||
			now_ms > feed->grace_until_ms;
	GArray *nodes = list_nodes(feed);

	for (guint i = 0; i < nodes->len; i++) {
		uint32_t node = g_array_index(nodes, uint32_t, i);

		if (!may_lag(feed, now_ms, index, node))
			continue;
		in_force = false;
		if (laggards)
			g_array_append_val(laggards, node);
	}
	g_array_unref(nodes);
	return in_force;
}

uint64_t feed_expired_claims_end(const struct feed *feed, int64_t now_ms,
				 uint32_t node, int32_t wait_ms)
{
	const struct feed_entry *e = feed_find_entry(feed, node);
	int64_t until_ms = e ? e->lease_until_ms : feed->grace_until_ms;

	if (now_ms > until_ms + wait_ms)
		return UINT64_MAX;
	return e ? e->incarnation << 32 : 0;
}

void feed_each_entry(const struct feed *feed,
		     void (*visit)(void *ctx, const struct feed_entry *entry),
		     void *ctx)
{
	GArray *nodes = list_nodes(feed);

	for (guint i = 0; i < nodes->len; i++) {
		uint32_t node = g_array_index(nodes, uint32_t, i);
		const struct feed_entry *e = feed_find_entry(feed, node);

		if (e)
			visit(ctx, e);
	}
	g_array_unref(nodes);
}
