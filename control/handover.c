/*
 * Stop of the control task: hands over leadership, gives up its vote to a
 * learner that can take its place, then waits until the work that was accepted
 * is answered and the answers are sent.
 */
#include "common/http.h"
#include "common/log.h"
#include "control/control_internal.h"

#define HANDOVER_TIMEOUT_MS 1500
/*
 * For a learner to take this member's vote: an election, if the leader is lost
 * meanwhile, and two changes of members.
 */
#define SUCCESSOR_TIMEOUT_MS 4000
/* Time after that for sending the answers to what did not complete. */
#define SEND_TIMEOUT_MS 500

static const struct log handover_log = { "handover" };

static bool must_hand_over(const struct control *control)
{
	return control->group && !group_failed(control->group) &&
	       raft_role(group_raft(control->group)) == RAFT_LEADER;
}

static bool awaits_successor(const struct control *control)
{
	return membership_awaits_successor(
		group_raft(control->group), group_member_id(control->group),
		daemon_settings_voter_count(control->opts.settings));
}

/* Whether a leader has begun to change the votes since the stop began. */
static bool votes_change(const struct control *control)
{
	const struct raft *raft = group_raft(control->group);

	return membership_count_voters(raft_config(raft)) !=
	       control->voters_at_stop;
}

/*
 * While this member is a voter that ends, the group bears one loss less, though
 * a learner may hold all data. A leader that doesn't begin the change within
 * the time for a handover has no learner that is well.
 */
static bool must_await_successor(const struct control *control)
{
	const struct raft *raft;
	int64_t now = control_now_ms(control);

	if (!control->group || group_failed(control->group))
		return false;
	raft = group_raft(control->group);
	if (!awaits_successor(control))
		return false;
	if (raft_leader(raft) && now >= control->handover_deadline_ms &&
	    !votes_change(control))
		return false;
	return now < control->successor_deadline_ms;
}

static void log_successor_wait(struct control *control)
{
	if (!control->successor_awaited)
		log_note(&handover_log, "waits until its vote is taken");
	control->successor_awaited = true;
}

static void end_successor_wait(struct control *control)
{
	if (!control->successor_awaited)
		return;
	control->successor_awaited = false;
	/* What is left to be sent has its time from here on. */
	control->handover_deadline_ms = MAX(control->handover_deadline_ms,
					    control_now_ms(control));
	log_note(&handover_log, "no longer waits: %s",
		 awaits_successor(control) ? "it still has its vote"
					   : "its vote is taken");
}

static bool work_pending(const struct control *control)
{
	return proposals_pending(control->proposals) ||
	       (control->group && group_has_proposals(control->group));
}

static bool output_unsent(const struct control *control)
{
	return http_unsent_responses() || peers_unsent(control) ||
	       (control->group && group_has_deferred(control->group));
}

void handover_tick(struct control *control)
{
	int64_t now = control_now_ms(control);
	bool expired = now >= control->handover_deadline_ms;

	if (!control->handover_done)
		return;
	if (!expired && must_hand_over(control)) {
		group_transfer_leadership(control->group);
		return;
	}
	if (must_await_successor(control)) {
		log_successor_wait(control);
		return;
	}
	end_successor_wait(control);
	if (control->operators)
		operators_end_waits(control->operators);
	if (!expired && work_pending(control))
		return;
	proposals_give_up(control->proposals);
	if (output_unsent(control) &&
	    now < control->handover_deadline_ms + SEND_TIMEOUT_MS)
		return;
	control->handover_done(control->handover_arg);
	control->handover_done = NULL;
}

struct handover_message {
	struct control *control;
	int64_t limit_ms;
	task_fn done;
	void *arg;
};

/* The leader learns of the stop by the next poll. */
static void begin_successor_wait(struct control *control, int64_t limit_ms)
{
	const struct raft *raft = group_raft(control->group);

	control->voters_at_stop = membership_count_voters(raft_config(raft));
	control->successor_deadline_ms =
		MIN(control_now_ms(control) + SUCCESSOR_TIMEOUT_MS,
		    limit_ms - SEND_TIMEOUT_MS);
	follow_poll_now(control->follow);
}

static void run_handover(void *arg)
{
	struct handover_message *m = arg;
	struct control *control = m->control;
	int64_t deadline_ms = MIN(control_now_ms(control) + HANDOVER_TIMEOUT_MS,
				  m->limit_ms - SEND_TIMEOUT_MS);

	if (!control->stopping)
		control->handover_deadline_ms = deadline_ms;
	control->stopping = true;
	if (control->group)
		begin_successor_wait(control, m->limit_ms);
	control->handover_done = m->done;
	control->handover_arg = m->arg;
	g_free(m);
}

void control_post_handover(struct control *control, int64_t limit_ms,
			   task_fn done, void *arg)
{
	struct handover_message *m = g_new(struct handover_message, 1);

	m->control = control;
	m->limit_ms = limit_ms;
	m->done = done;
	m->arg = arg;
	task_post(control->opts.task, run_handover, m);
}
