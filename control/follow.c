/*
 * Polls the leader for configuration updates, reports the entry's status with
 * each poll, and passes the replies to the entry. Also answers the polls of
 * other processes.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "control/control_internal.h"
#include "wire/codec.h"

#define TICK_MS 50
#define POLL_TIMEOUT_MS 800
#define POLLS_PER_LEASE 8

static const struct log follow_log = { "follow" };

struct follow {
	struct control *control;
	struct event *tick;
	struct entry_status status;
	struct poll *in_flight; /* the latest poll; NULL if it has ended */
	bool poll_requested;
	int64_t last_poll_ms;
	uint32_t leader; /* node that leads, from the last reply; 0: unknown */
	uint64_t term;	 /* term of that leader */
	guint next_peer; /* index to poll next while no leader is known */
};

/** A poll in flight. */
struct poll {
	struct follow *follow;
	uint32_t node; /* polled node */
	int64_t sent_ms;
	uint64_t parts_source, parts_sent; /* as in config_update */
};

uint32_t follow_leader(const struct follow *follow)
{
	return follow->leader;
}

/* ---- answering polls ---- */

static void add_control_nodes(const struct control *control,
			      struct poll_reply *reply)
{
	const struct member_config *config;

	if (!control->group)
		return;
	config = raft_config(group_raft(control->group));
	reply->control_nodes.control_nodes_val =
		calloc(config->members.members_len + 1, sizeof(uint32_t));
	reply->control_nodes.control_nodes_len = config->members.members_len;
	for (u_int i = 0; i < config->members.members_len; i++)
		reply->control_nodes.control_nodes_val[i] =
			config->members.members_val[i].node;
}

/* Logs it once for each state, as entries go on polling. */
static void report_unsent(struct control *control, uint32_t node)
{
	uint64_t index = state_applied_index(group_state(control->group));

	counters_add(control->opts.counters, COUNTER_ENCODINGS_FAILED, 1);
	if (control->unsent_index == index)
		return;
	control->unsent_index = index;
	log_error(&follow_log,
		  "configuration not sent to node %u: the state at index "
		  "%" PRIu64 " exceeds a bound of its encoding",
		  node, index);
}

void follow_serve_poll(struct control *control,
		       const struct poll_request *request,
		       struct poll_reply *reply)
{
	add_control_nodes(control, reply);
	if (control->group && group_is_ready_leader(control->group)) {
		const struct raft *raft = group_raft(control->group);

		feed_poll(control->feed, control_now_ms(control),
			  group_state(control->group), request, reply);
		reply->leader = (uint32_t)control->opts.settings->node.id;
		reply->term = raft_term(raft);
		if (reply->code)
			report_unsent(control, request->node);
		return;
	}
	reply->code = RD_NOT_LEADER;
	reply->leader = control_leader(control);
	if (control->group)
		reply->term = raft_term(group_raft(control->group));
}

/* ---- polling ---- */

/*
 * Handles the reply of a node that is not the leader. The leader named in it
 * may be outdated, as the node may be partitioned from the group or be a former
 * leader: it is used only if its term is not older than the known one.
 */
static void handle_not_leader(struct follow *follow, uint32_t polled_node,
			      const struct poll_reply *reply)
{
	if (follow->leader == polled_node)
		follow->leader = 0;
	if (reply->leader && reply->leader != polled_node &&
	    reply->term >= follow->term) {
		follow->leader = reply->leader;
		follow->term = reply->term;
	}
	follow->next_peer++;
	follow->poll_requested = true;
}

static void handle_refusal(struct follow *follow, uint32_t polled_node,
			   const struct poll_reply *reply)
{
	if (reply->code == RD_NOT_LEADER) {
		handle_not_leader(follow, polled_node, reply);
		return;
	}
	log_error(&follow_log, "node %u refused a poll: %s", polled_node,
		  rd_result_info((enum rd_result)reply->code)->name);
}

/* Handles the reply to `poll`, which may be abandoned; takes its contents. */
static void handle_reply(struct follow *follow, const struct poll *poll,
			 struct poll_reply *reply)
{
	struct control *control = follow->control;
	struct config_update *update;

	/*
	 * Replies list the control nodes also when no leader is known, so that
	 * a new leader can be found among them.
	 */
	for (u_int i = 0; i < reply->control_nodes.control_nodes_len; i++)
		(void)control_get_or_add_peer(
			control, reply->control_nodes.control_nodes_val[i],
			true);
	if (reply->code) {
		handle_refusal(follow, poll->node, reply);
		CODEC_FREE(poll_reply, reply);
		return;
	}
	follow->leader = reply->leader;
	follow->term = reply->term;
	if (control->group) {
		for (u_int i = 0; i < reply->entries.entries_len; i++)
			(void)control_get_or_add_peer(
				control, reply->entries.entries_val[i].node,
				false);
		control_set_entries(control, reply);
	}
	if (!control->opts.listener.config) {
		CODEC_FREE(poll_reply, reply);
		return;
	}
	update = g_new0(struct config_update, 1);
	update->reply = *reply;
	/*
	 * Counts from when this poll was sent, so that it does not end later
	 * than at the leader.
	 */
	update->lease_until_ms = poll->sent_ms + reply->lease_ms;
	update->parts_source = poll->parts_source;
	update->parts_sent = poll->parts_sent;
	control->opts.listener.config(control->opts.listener.ctx, update);
}

static void on_reply(void *ctx, const void *result, size_t size)
{
	const struct poll poll = *(struct poll *)ctx;
	struct follow *follow = poll.follow;
	struct poll_reply reply = { 0 };

	if (follow->in_flight == ctx)
		follow->in_flight = NULL;
	g_free(ctx);
	if (!result) {
		if (follow->leader == poll.node)
			follow->leader = 0;
		follow->next_peer++;
		return;
	}
	if (!codec_decode((xdrproc_t)xdr_poll_reply, result, size, &reply)) {
		log_warn(&follow_log, "poll reply cannot be decoded: ignored");
		return;
	}
	handle_reply(follow, &poll, &reply);
}

static uint32_t older(uint32_t age_ms, int64_t by_ms)
{
	return (uint32_t)MIN(age_ms + MAX(by_ms, 0), (int64_t)UINT32_MAX);
}

/* Brings the ages in the records of the status to the present. */
static void update_ages(struct entry_status *status, int64_t now_ms)
{
	int64_t by_ms = now_ms - status->at_ms;

	for (guint i = 0; i < status->parts->len; i++) {
		struct part_record *r = &g_array_index(status->parts,
						       struct part_record, i);

		r->success_age_ms = older(r->success_age_ms, by_ms);
		for (u_int j = 0; j < r->ends.ends_len; j++)
			r->ends.ends_val[j].age_ms =
				older(r->ends.ends_val[j].age_ms, by_ms);
	}
	status->at_ms = now_ms;
}

static void fill_parts(struct follow *follow, struct poll_request *request)
{
	struct entry_status *status = &follow->status;

	request->parts_source = status->parts_source;
	request->parts_cursor = status->parts_cursor;
	if (!status->parts)
		return;
	update_ages(status, follow->last_poll_ms);
	request->parts.parts_val = (struct part_record *)status->parts->data;
	request->parts.parts_len = status->parts->len;
}

static void fill_request(struct follow *follow, struct poll_request *request)
{
	struct control *control = follow->control;

	request->node = (uint32_t)control->opts.settings->node.id;
	request->incarnation = control->identity.incarnation;
	request->member_id = control->group ? group_member_id(control->group)
					    : 0;
	/* A VM without an entry gets the configuration from the log only. */
	request->applied_index =
		control->opts.listener.config
			? follow->status.applied
			: state_applied_index(group_state(control->group));
	request->callers_address = follow->status.callers_address;
	request->endpoints_address = follow->status.endpoints_address;
	request->data_centre = control->opts.settings->node.data_centre;
	request->free_permille = follow->status.free_permille;
	/* A VM with the control role says so before it ends, too. */
	request->draining = follow->status.draining || control->stopping;
	if (follow->status.loads) {
		request->loads.loads_val =
			(struct replica_load *)follow->status.loads->data;
		request->loads.loads_len = follow->status.loads->len;
	}
	if (follow->status.demands) {
		request->demands.demands_val =
			(struct service_demand *)follow->status.demands->data;
		request->demands.demands_len = follow->status.demands->len;
	}
	fill_parts(follow, request);
}

static bool poll_self(struct follow *follow, const struct poll_request *request)
{
	struct control *control = follow->control;
	struct poll poll = {
		.follow = follow,
		.node = (uint32_t)control->opts.settings->node.id,
		.sent_ms = follow->last_poll_ms,
		.parts_source = follow->status.parts_source,
		.parts_sent = follow->status.parts_sent,
	};
	struct poll_reply reply = { 0 };

	if (!control->group || !group_is_ready_leader(control->group))
		return false;
	follow_serve_poll(control, request, &reply);
	handle_reply(follow, &poll, &reply);
	return true;
}

static struct peer *choose_peer(struct follow *follow)
{
	struct control *control = follow->control;
	uint32_t leader = control_leader(control);
	struct peer *peer = leader ? control_peer(control, leader) : NULL;

	if (peer && rpc_client_is_ready(peer->client))
		return peer;
	for (guint i = 0; i < control->peers->len; i++) {
		guint at = (follow->next_peer + i) % control->peers->len;

		peer = control->peers->pdata[at];
		if (peer->is_control && rpc_client_is_ready(peer->client))
			return peer;
	}
	return NULL;
}

static void send_poll(struct follow *follow)
{
	struct poll_request request = { 0 };
	struct peer *peer;
	struct poll *poll;
	GBytes *bytes;

	follow->poll_requested = false;
	follow->last_poll_ms = control_now_ms(follow->control);
	fill_request(follow, &request);
	if (poll_self(follow, &request))
		return;
	peer = choose_peer(follow);
	if (!peer)
		return;
	bytes = CODEC_ENCODE(poll_request, &request);
	if (!bytes) {
		counters_add(follow->control->opts.counters,
			     COUNTER_ENCODINGS_FAILED, 1);
		log_error(&follow_log, "poll not sent: the entry's status "
				       "exceeds a bound of its encoding");
		return;
	}
	poll = g_new(struct poll, 1);
	*poll = (struct poll){
		.follow = follow,
		.node = peer->node,
		.sent_ms = follow->last_poll_ms,
		.parts_source = follow->status.parts_source,
		.parts_sent = follow->status.parts_sent,
	};
	follow->in_flight = poll;
	if (!rpc_client_call(peer->client, RPC_POLL, bytes, POLL_TIMEOUT_MS,
			     on_reply, poll)) {
		follow->in_flight = NULL;
		g_free(poll);
	}
	g_bytes_unref(bytes);
}

static void on_tick(evutil_socket_t fd, short what, void *ctx)
{
	struct follow *follow = ctx;
	int64_t interval_ms =
		follow->control->opts.settings->limits.config_lease_ms /
		POLLS_PER_LEASE;

	(void)fd;
	(void)what;
	if (follow->in_flight)
		return;
	if (follow->poll_requested ||
	    control_now_ms(follow->control) - follow->last_poll_ms >=
		    interval_ms)
		send_poll(follow);
}

void follow_poll_now(struct follow *follow)
{
	follow->poll_requested = true;
	if (!follow->in_flight)
		event_active(follow->tick, EV_TIMEOUT, 0);
}

void follow_on_update(struct follow *follow, uint32_t leader)
{
	if (follow->leader != leader) {
		/* Do not wait for the former leader's reply. */
		follow->leader = leader;
		follow->in_flight = NULL;
	}
	follow_poll_now(follow);
}

void follow_set_status(struct follow *follow, const struct entry_status *status)
{
	bool advanced = status->applied > follow->status.applied;

	entry_status_clear(&follow->status);
	follow->status = *status;
	/* The leader reports a change as in force only after this poll. */
	if (advanced)
		follow_poll_now(follow);
}

struct follow *follow_create(struct control *control)
{
	struct follow *follow = g_new0(struct follow, 1);
	struct timeval tick = { 0, TICK_MS * 1000 };

	follow->control = control;
	follow->tick = event_new(control->base, -1, EV_PERSIST, on_tick,
				 follow);
	event_add(follow->tick, &tick);
	return follow;
}

void follow_destroy(struct follow *follow)
{
	if (!follow)
		return;
	event_free(follow->tick);
	entry_status_clear(&follow->status);
	g_free(follow);
}
