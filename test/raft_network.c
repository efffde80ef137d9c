#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "test/raft_network.h"
#include "wire/codec.h"

#define DRIFT_PERMILLE 50
#define KEEP_ENTRIES 1000

/* ---- callbacks of the consensus core ---- */

static void on_send(void *ctx, const struct raft_message *message,
		    bool after_sync)
{
	struct server *server = ctx;

	g_ptr_array_add(after_sync ? server->deferred
				   : server->network->messages,
			CODEC_ENCODE(raft_message, message));
}

static void on_hard_state(void *ctx, uint64_t term, uint64_t vote)
{
	struct server *server = ctx;

	server->term = term;
	server->vote = vote;
}

static void on_append(void *ctx, const struct raft_entry *entry)
{
	struct server *server = ctx;
	struct raft_entry *stored = g_memdup2(entry, sizeof(*entry));

	g_bytes_ref(stored->data);
	g_ptr_array_add(server->entries, stored);
}

static void on_truncate(void *ctx, uint64_t from)
{
	struct server *server = ctx;

	g_ptr_array_set_size(server->entries, (gint)from - 1);
	server->durable = MIN(server->durable, (guint)from - 1);
}

static void on_install(void *ctx, uint64_t index, uint64_t term,
		       const struct member_config *config, GBytes *data)
{
	(void)ctx;
	(void)index;
	(void)term;
	(void)config;
	(void)data;
	g_assert_not_reached();
}

static void on_role_changed(void *ctx, enum raft_role role, uint64_t term,
			    uint64_t leader)
{
	(void)ctx;
	(void)role;
	(void)term;
	(void)leader;
}

/* ---- servers ---- */

static void entry_free(gpointer data)
{
	struct raft_entry *entry = data;

	g_bytes_unref(entry->data);
	g_free(entry);
}

void server_start(struct server *server)
{
	struct raft_opts opts = {
		.id = server->id,
		.seed = (uint32_t)server->id,
		.election_ms = ELECTION_MS,
		.heartbeat_ms = HEARTBEAT_MS,
		.drift_permille = DRIFT_PERMILLE,
		.keep_entries = KEEP_ENTRIES,
		.callbacks = { on_send, on_hard_state, on_append, on_truncate,
			       on_install, on_role_changed, server },
		.now_ms = server->network->now_ms,
		.term = server->term,
		.vote = server->vote,
		.config = &server->first,
	};

	server->raft = raft_create(&opts);
	for (guint i = 0; i < server->entries->len; i++) {
		const struct raft_entry *e = server->entries->pdata[i];

		raft_restore_entry(server->raft, e->index, e->term, e->kind,
				   e->data);
	}
}

/* What has not been synced is lost. */
void server_crash(struct server *server)
{
	raft_destroy(server->raft);
	server->raft = NULL;
	g_ptr_array_set_size(server->entries, (gint)server->durable);
	g_ptr_array_set_size(server->deferred, 0);
}

void server_sync(struct server *server)
{
	server->durable = server->entries->len;
	raft_begin_sync(server->raft);
	raft_synced(server->raft, server->network->now_ms);
	g_ptr_array_extend_and_steal(server->network->messages,
				     server->deferred);
	server->deferred =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	while (raft_next_committed(server->raft))
		;
}

void server_replace(struct server *server)
{
	raft_destroy(server->raft);
	server->raft = NULL;
	g_ptr_array_set_size(server->entries, 0);
	g_ptr_array_set_size(server->deferred, 0);
	CODEC_FREE(member_config, &server->first);
	server->durable = 0;
	server->term = server->vote = 0;
	server->id += SERVERS;
	server_start(server);
}

/* ---- the network ---- */

struct server *network_find(struct network *net, uint64_t id)
{
	for (int i = 0; i < SERVERS; i++)
		if (net->servers[i].id == id)
			return &net->servers[i];
	return NULL;
}

static bool is_cut(struct network *net, uint64_t from, const struct server *to)
{
	const struct server *sender = network_find(net, from);

	return sender && net->cut[sender - net->servers][to - net->servers];
}

void network_deliver(struct network *net)
{
	GPtrArray *messages = net->messages;

	net->messages =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	for (guint i = 0; i < messages->len; i++) {
		struct raft_message message = { 0 };
		struct server *to;

		assert_true(CODEC_DECODE(raft_message, messages->pdata[i],
					 &message));
		to = network_find(net, message.to);
		if (to && to->raft && !is_cut(net, message.from, to))
			raft_step(to->raft, net->now_ms, &message);
		CODEC_FREE(raft_message, &message);
	}
	g_ptr_array_unref(messages);
}

void network_step(struct network *net)
{
	net->now_ms += STEP_MS;
	for (int i = 0; i < SERVERS; i++) {
		struct server *server = &net->servers[i];

		if (!server->raft)
			continue;
		raft_tick(server->raft, net->now_ms);
		server_sync(server);
	}
	network_deliver(net);
}

/* Starts all servers; the first `voters` of them form the group. */
void network_init(struct network *net, u_int voters)
{
	memset(net, 0, sizeof(*net));
	net->now_ms = 1000;
	net->messages =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	for (u_int i = 0; i < SERVERS; i++) {
		struct server *server = &net->servers[i];
		struct member_config *first = &server->first;

		server->network = net;
		server->id = i + 1;
		server->entries = g_ptr_array_new_with_free_func(entry_free);
		server->deferred = g_ptr_array_new_with_free_func(
			(GDestroyNotify)g_bytes_unref);
		if (i < voters) {
			first->members.members_len = voters;
			first->members.members_val =
				calloc(voters, sizeof(struct member));
		}
		for (u_int j = 0; j < first->members.members_len; j++) {
			struct member *m = &first->members.members_val[j];

			m->id = m->node = j + 1;
			m->voter = TRUE;
			m->address = strdup("");
			m->data_centre = strdup("");
		}
		server_start(server);
	}
}

void network_clear(struct network *net)
{
	for (int i = 0; i < SERVERS; i++) {
		struct server *server = &net->servers[i];

		raft_destroy(server->raft);
		CODEC_FREE(member_config, &server->first);
		g_ptr_array_unref(server->entries);
		g_ptr_array_unref(server->deferred);
	}
	g_ptr_array_unref(net->messages);
}

/* Returns the leader that has committed an entry of its term, or NULL. */
struct server *ready_leader(struct network *net)
{
	for (int i = 0; i < SERVERS; i++) {
		struct server *server = &net->servers[i];

		if (server->raft && raft_committed_in_term(server->raft))
			return server;
	}
	return NULL;
}

struct server *run_until_leader(struct network *net)
{
	int64_t end_ms = net->now_ms + LIMIT_MS;

	while (!ready_leader(net)) {
		if (net->now_ms > end_ms)
			fail_msg("no leader after %d ms", LIMIT_MS);
		network_step(net);
	}
	return ready_leader(net);
}

static bool committed_by(const struct network *net, uint64_t index,
			 uint64_t up_to_id)
{
	for (uint64_t id = 1; id <= up_to_id; id++) {
		const struct server *server = &net->servers[id - 1];

		if (server->raft && raft_commit_index(server->raft) < index)
			return false;
	}
	return true;
}

/* Runs until the members with ids up to `up_to_id` know it is committed. */
void run_until_committed(struct network *net, uint64_t index, uint64_t up_to_id)
{
	int64_t end_ms = net->now_ms + LIMIT_MS;

	while (!committed_by(net, index, up_to_id)) {
		if (net->now_ms > end_ms)
			fail_msg("index %d not committed after %d ms",
				 (int)index, LIMIT_MS);
		network_step(net);
	}
}

static void set_membership(struct member_config *config, uint64_t id,
			   enum membership membership)
{
	struct member *all = config->members.members_val;
	u_int n = config->members.members_len, at = 0;

	while (at < n && all[at].id != id)
		at++;
	if (at == n) {
		all = realloc(all, (n + 1) * sizeof(*all));
		memset(&all[at], 0, sizeof(*all));
		all[at].id = id;
		all[at].node = (uint32_t)id;
		all[at].address = strdup("");
		all[at].data_centre = strdup("");
		config->members.members_val = all;
		config->members.members_len = ++n;
	}
	all[at].voter = membership == VOTER;
	if (membership != ABSENT)
		return;
	free(all[at].address);
	free(all[at].data_centre);
	all[at] = all[n - 1];
	config->members.members_len = n - 1;
}

uint64_t propose_membership(struct server *leader, uint64_t id,
			    enum membership membership)
{
	struct member_config config = { { 0 } };
	uint64_t index = 0;

	assert_true(
		CODEC_COPY(member_config, raft_config(leader->raft), &config));
	set_membership(&config, id, membership);
	assert_int_equal(RD_OK, raft_propose_config(leader->raft,
						    leader->network->now_ms,
						    &config, &index));
	CODEC_FREE(member_config, &config);
	return index;
}

void change_membership(struct network *net, uint64_t id,
		       enum membership membership)
{
	uint64_t index = propose_membership(run_until_leader(net), id,
					    membership);

	run_until_committed(net, index, id);
}
