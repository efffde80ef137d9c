#include <errno.h>
#include <string.h>

#include "common/http_server.h"
#include "common/log.h"
#include "control/control_internal.h"
#include "wire/codec.h"
#include "wire/rpc_frame.h"

#define TICK_MS 50
#define FEED_COMMANDS_MAX 1024
#define PROPOSAL_TIMEOUT_MS 4000
#define ORPHAN_CHECK_INTERVAL_MS 1000
/*
 * Bookings in flight get the outcome "unknown" once their entry has not polled
 * for this long after the end of its lease.
 */
#define ORPHAN_GRACE_MS 5000

static const struct log control_log = { "control" };

int64_t control_now_ms(const struct control *control)
{
	return clock_now_ms(control->opts.clock);
}

uint32_t control_leader(const struct control *control)
{
	/* After a failure the group still shows the leader of that time. */
	uint64_t leader = control->group && !group_failed(control->group)
				  ? raft_leader(group_raft(control->group))
				  : 0;

	if (leader)
		return group_node_of(control->group, leader);
	return control->follow ? follow_leader(control->follow) : 0;
}

/* ---- group callbacks ---- */

static void on_group_send(void *ctx, uint64_t member, GBytes *message)
{
	peers_send_raft(ctx, member, message);
}

static void on_group_applied(void *ctx, const struct group_applied *applied)
{
	struct control *control = ctx;

	/* Rejected and repeated commands do not change the configuration. */
	if (!state_sent_to_entries(applied->command->body.kind) ||
	    applied->result->code || applied->result->index != applied->index)
		return;
	feed_add(control->feed, applied->index, applied->command);
	if (raft_role(group_raft(control->group)) == RAFT_LEADER)
		peers_notify_update(control);
}

static void on_group_state_replaced(void *ctx)
{
	struct control *control = ctx;

	feed_reset(control->feed,
		   state_applied_index(group_state(control->group)));
}

static void on_group_changed(void *ctx)
{
	(void)ctx;
}

static void on_group_wakeup(void *ctx)
{
	struct control *control = ctx;
	struct timeval now = { 0, 0 };

	if (!evtimer_pending(control->group_wakeup, NULL))
		event_add(control->group_wakeup, &now);
}

static void on_group_failed(void *ctx, enum rd_result code, const char *why)
{
	struct control *control = ctx;

	log_error(&control_log, "group failed: %s: %s",
		  rd_result_info(code)->name, why);
	control->opts.fatal(control->opts.fatal_ctx, code);
}

static void finish_group_job(void *arg)
{
	struct control *control = arg;

	group_finish_job(control->group);
}

/* On the thread of control->disk. */
static void run_group_job(void *arg)
{
	struct control *control = arg;

	group_run_job(control->group);
	task_post(control->opts.task, finish_group_job, control);
}

static void on_group_start_job(void *ctx)
{
	struct control *control = ctx;

	task_post(control->disk, run_group_job, control);
}

/* ---- orphaned bookings: in flight on a lost or restarted entry ---- */

static void ignore_result(void *ctx, enum rd_result code,
			  const struct apply_result *result)
{
	(void)ctx;
	(void)code;
	(void)result;
}

static void expire_if_orphaned(void *ctx, const struct booking_state *booking)
{
	struct control *control = ctx;
	uint64_t claim_id_end =
		feed_expired_claims_end(control->feed, control_now_ms(control),
					booking->claim.entry, ORPHAN_GRACE_MS);
	struct command command = {
		.change_id = (char *)"",
		.operator_name = (char *)"booking",
		.time_ms = g_get_real_time() / 1000,
		.body.kind = CMD_EXPIRE_BOOKINGS,
	};
	GBytes *bytes;

	if (booking->claim.claim_id >= claim_id_end)
		return;
	log_info(&control_log,
		 "entry on node %u restarted or its lease expired: expiring "
		 "its earlier bookings, outcome unknown",
		 booking->claim.entry);
	command.body.command_body_u.expire.dead_entry = booking->claim.entry;
	command.body.command_body_u.expire.claim_id_end = claim_id_end;
	bytes = CODEC_ENCODE(command, &command);
	group_propose(control->group, bytes, ignore_result, NULL);
	g_bytes_unref(bytes);
}

static void expire_orphaned_bookings(struct control *control)
{
	int64_t now = control_now_ms(control);

	if (now - control->orphans_checked_ms < ORPHAN_CHECK_INTERVAL_MS)
		return;
	control->orphans_checked_ms = now;
	state_each_in_flight_booking(group_state(control->group),
				     expire_if_orphaned, control);
}

/* ---- leader duties and timers ---- */

static void start_leader_duties(struct control *control)
{
	log_note(&control_log,
		 "became leader; leases of earlier leaders end within %d ms "
		 "plus clock drift",
		 (int)control->opts.settings->limits.config_lease_ms);
	control->silent_voter = 0;
	feed_start_leading(control->feed, control_now_ms(control));
	if (state_deployment_was_completed(group_state(control->group)))
		feed_send_state_first(control->feed);
	placer_start_leading(control->placer);
	peers_notify_update(control);
}

static void leader_tick(struct control *control)
{
	uint64_t term = raft_term(group_raft(control->group));

	if (!control->leader_duties_active || control->leading_term != term) {
		control->leader_duties_active = true;
		control->leading_term = term;
		start_leader_duties(control);
	}
	members_tick(control);
	expire_orphaned_bookings(control);
	placer_tick(control->placer);
}

static void on_tick(evutil_socket_t fd, short what, void *ctx)
{
	struct control *control = ctx;

	(void)fd;
	(void)what;
	view_expire(control->view, control_now_ms(control));
	counters_set(control->opts.counters, COUNTER_RPC_BYTES,
		     (int64_t)rpc_bytes_sent());
	if (control->group && group_is_ready_leader(control->group)) {
		leader_tick(control);
	} else if (control->leader_duties_active &&
		   (!control->group ||
		    raft_role(group_raft(control->group)) != RAFT_LEADER)) {
		control->leader_duties_active = false;
		placer_stop_leading(control->placer);
		log_note(&control_log, "no longer leader; placement stopped");
	}
	leaderless_tick(control);
	peers_tick(control);
	if (control->operators)
		operators_tick(control->operators);
	handover_tick(control);
}

/* ---- creation and destruction ---- */

static struct feed *create_feed(const struct daemon_settings *settings)
{
	const GPtrArray *peers = settings->cluster.peers;
	uint32_t *nodes = g_new(uint32_t, peers->len);
	struct feed_opts opts = {
		.lease_ms = (int32_t)settings->limits.config_lease_ms,
		.drift_permille = (int32_t)settings->cluster.drift_permille,
		.commands_max = FEED_COMMANDS_MAX,
		.nodes = nodes,
		.node_count = peers->len,
		.entries_may_join = daemon_settings_uses_seeds(settings),
	};
	struct feed *feed;

	rpc_random_bytes(&opts.parts_source, sizeof(opts.parts_source));
	for (guint i = 0; i < peers->len; i++)
		nodes[i] =
			(uint32_t)((struct peer_settings *)peers->pdata[i])->id;
	feed = feed_create(&opts);
	g_free(nodes);
	return feed;
}

static void on_group_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct control *control = ctx;

	(void)fd;
	(void)what;
	group_process(control->group);
}

static enum rd_result open_folder(struct control *control, char **why)
{
	const char *path = control->opts.settings->node.data_folder;
	int error = 0;

	control->folder = fs_folder_open(path, &error);
	if (control->folder)
		return RD_OK;
	*why = g_strdup_printf("%s: %s", path, g_strerror(-error));
	return error == -EWOULDBLOCK ? RD_LOCKED : RD_IO;
}

static enum rd_result open_group(struct control *control, char **why)
{
	enum rd_result code = RD_OK;
	struct group_opts opts = {
		.clock = control->opts.clock,
		.settings = control->opts.settings,
		.counters = control->opts.counters,
		.events = { on_group_send, on_group_applied,
			    on_group_state_replaced, on_group_changed,
			    on_group_wakeup, on_group_failed,
			    on_group_start_job, control },
		.bootstrap = control->opts.bootstrap,
		.incarnation_min = control->identity.incarnation,
	};

	if (control->opts.driver)
		opts.documents = control->opts.driver->documents;
	if (!(control->opts.settings->node.roles & ROLE_CONTROL))
		return RD_OK;
	code = open_folder(control, why);
	if (code)
		return code;
	control->group_wakeup = evtimer_new(control->base, on_group_timer,
					    control);
	control->disk = task_create("disk");
	if (!control->disk || task_start(control->disk, NULL, NULL)) {
		*why = g_strdup("cannot start the disk thread");
		return RD_IO;
	}
	opts.fs = fs_folder_driver(control->folder);
	rpc_random_bytes(&opts.seed, sizeof(opts.seed));
	rpc_random_bytes(&opts.new_member, sizeof(opts.new_member));
	control->group = group_create(&opts, &code, why);
	if (!control->group)
		return code;
	control->identity.incarnation = group_incarnation(control->group);
	feed_reset(control->feed,
		   state_applied_index(group_state(control->group)));
	return RD_OK;
}

static enum rd_result open_interface(struct control *control, char **why)
{
	const struct control_driver *driver = control->opts.driver;

	if (*control->opts.settings->listen.metrics) {
		control->metrics = metrics_open(control, why);
		if (!control->metrics)
			return RD_IO;
	}
	if (!driver) {
		control->operators = operators_create(control, why);
		return control->operators ? RD_OK : RD_IO;
	}
	if (!control->group)
		return RD_OK; /* drivers need the control role */
	control->announcements = announcements_create(control);
	control->driver = driver->open(control, why);
	return control->driver ? RD_OK : RD_IO;
}

struct control *control_create(const struct control_opts *opts,
			       enum rd_result *code, char **why)
{
	struct control *control = g_new0(struct control, 1);
	struct view_opts view_opts = {
		.silence_ms =
			daemon_settings_monitor_timeout_ms(opts->settings),
	};

	control->opts = *opts;
	control->identity = *opts->identity;
	/*
	 * The start time is the incarnation, or the least one where a data
	 * folder counts restarts: it also grows when that folder is lost.
	 */
	control->identity.incarnation = (uint64_t)(g_get_real_time() / 1000000);
	control->base = task_base(opts->task);
	control->started_ms = control_now_ms(control);
	control->feed = create_feed(opts->settings);
	control->view = view_create(&view_opts);
	control->proposals = proposals_create(control);
	control->placer = placer_create(control);
	*code = open_group(control, why);
	if (*code)
		goto fail;
	*code = peers_open(control, why);
	if (*code)
		goto fail;
	*code = open_interface(control, why);
	if (!*code)
		return control;
fail:
	control_destroy(control);
	return NULL;
}

void control_start(void *arg)
{
	struct control *control = arg;
	struct timeval tick = { 0, TICK_MS * 1000 };
	struct timeval group_tick = { 0, GROUP_TICK_MS * 1000 };

	control->follow = follow_create(control);
	peers_connect(control);
	if (control->announcements)
		announcements_start(control->announcements);
	control->tick = event_new(control->base, -1, EV_PERSIST, on_tick,
				  control);
	event_add(control->tick, &tick);
	if (!control->group)
		return;
	control->group_tick = event_new(control->base, -1, EV_PERSIST,
					on_group_timer, control);
	event_add(control->group_tick, &group_tick);
}

void control_destroy(struct control *control)
{
	if (!control)
		return;
	if (control->tick)
		event_free(control->tick);
	if (control->group_tick)
		event_free(control->group_tick);
	peers_close(control);
	if (control->disk)
		task_stop(control->disk);
	task_destroy(control->disk);
	group_destroy(control->group);
	if (control->group_wakeup)
		event_free(control->group_wakeup);
	fs_folder_close(control->folder);
	proposals_destroy(control->proposals);
	operators_destroy(control->operators);
	if (control->metrics)
		http_close(control->metrics);
	if (control->driver)
		control->opts.driver->close(control->driver);
	announcements_destroy(control->announcements);
	control_set_entries(control, NULL);
	placer_destroy(control->placer);
	follow_destroy(control->follow);
	feed_destroy(control->feed);
	view_destroy(control->view);
	g_free(control);
}

uint64_t control_incarnation(const struct control *control)
{
	return control->identity.incarnation;
}

/* ---- entry list and leader, as drivers use them ---- */

void control_set_entries(struct control *control, struct poll_reply *reply)
{
	for (uint32_t i = 0; i < control->entry_count; i++)
		CODEC_FREE(entry_info, &control->entries[i]);
	g_free(control->entries);
	control->entries = NULL;
	control->entry_count = reply ? reply->entries.entries_len : 0;
	if (!control->entry_count)
		return;
	control->entries = g_new0(struct entry_info, control->entry_count);
	for (uint32_t i = 0; i < control->entry_count; i++)
		if (!CODEC_COPY(entry_info, &reply->entries.entries_val[i],
				&control->entries[i]))
			g_assert_not_reached();
}

bool control_can_reach_leader(const struct control *control)
{
	const struct raft *raft = group_raft(control->group);

	if (raft_role(raft) == RAFT_LEADER)
		return group_is_ready_leader(control->group);
	return raft_leader(raft) || !raft_term(raft);
}

const struct state *control_leader_state(const struct control *control)
{
	/* While the lease is valid, no other member can have been elected. */
	if (!control->group || !group_is_ready_leader(control->group))
		return NULL;
	return group_state(control->group);
}

/* ---- messages from other tasks ---- */

void entry_status_clear(struct entry_status *status)
{
	if (status->loads)
		g_array_unref(status->loads);
	if (status->demands)
		g_array_unref(status->demands);
	if (status->parts)
		g_array_unref(status->parts);
	status->loads = NULL;
	status->demands = NULL;
	status->parts = NULL;
}

struct status_message {
	struct control *control;
	struct entry_status status;
};

static void run_status(void *arg)
{
	struct status_message *m = arg;

	if (m->control->follow)
		follow_set_status(m->control->follow, &m->status);
	else
		entry_status_clear(&m->status);
	g_free(m);
}

void control_post_status(struct control *control,
			 const struct entry_status *status)
{
	struct status_message *m = g_new(struct status_message, 1);

	m->control = control;
	m->status = *status;
	task_post(control->opts.task, run_status, m);
}

struct bytes_message {
	struct control *control;
	GBytes *bytes;
	control_done_fn done;
	void *ctx;
};

static void run_digest(void *arg)
{
	struct bytes_message *m = arg;
	struct digest digest = { 0 };

	if (CODEC_DECODE(digest, m->bytes, &digest)) {
		(void)view_merge(m->control->view, control_now_ms(m->control),
				 &digest);
		CODEC_FREE(digest, &digest);
	}
	peers_send_digest(m->control, m->bytes);
	g_bytes_unref(m->bytes);
	g_free(m);
}

static struct bytes_message *new_message(struct control *control, GBytes *bytes)
{
	struct bytes_message *m = g_new0(struct bytes_message, 1);

	m->control = control;
	m->bytes = bytes;
	return m;
}

void control_post_digest(struct control *control, GBytes *digest)
{
	task_post(control->opts.task, run_digest, new_message(control, digest));
}

static void run_proposal(void *arg)
{
	struct bytes_message *m = arg;

	proposals_submit(m->control->proposals, m->bytes, PROPOSAL_TIMEOUT_MS,
			 m->done, m->ctx);
	g_bytes_unref(m->bytes);
	g_free(m);
}

void control_post_proposal(struct control *control, GBytes *command,
			   control_done_fn done, void *ctx)
{
	struct bytes_message *m = new_message(control, command);

	m->done = done;
	m->ctx = ctx;
	task_post(control->opts.task, run_proposal, m);
}

struct seeds_message {
	struct control *control;
	uint32_t count;
	uint32_t nodes[];
};

static void run_seeds(void *arg)
{
	struct seeds_message *m = arg;

	for (uint32_t i = 0; i < m->count; i++)
		(void)control_get_or_add_peer(m->control, m->nodes[i], true);
	g_free(m);
}

void control_post_seeds(struct control *control, const uint32_t *nodes,
			uint32_t count)
{
	struct seeds_message *m =
		g_malloc0(sizeof(*m) + count * sizeof(*nodes));

	m->control = control;
	m->count = count;
	memcpy(m->nodes, nodes, count * sizeof(*nodes));
	task_post(control->opts.task, run_seeds, m);
}
