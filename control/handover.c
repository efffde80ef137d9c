/*
 * Stop of the control task: hands over leadership, then waits until the work
 * that was accepted is answered and the answers are sent.
 */
#include "common/http.h"
#include "control/control_internal.h"

#define HANDOVER_TIMEOUT_MS 1500
/* Time after that for sending the answers to what did not complete. */
#define SEND_TIMEOUT_MS 500

static bool must_hand_over(const struct control *control)
{
	return control->group && !group_failed(control->group) &&
	       raft_role(group_raft(control->group)) == RAFT_LEADER;
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

static void run_handover(void *arg)
{
	struct handover_message *m = arg;
	struct control *control = m->control;
	int64_t deadline_ms = MIN(control_now_ms(control) + HANDOVER_TIMEOUT_MS,
				  m->limit_ms - SEND_TIMEOUT_MS);

	if (!control->stopping)
		control->handover_deadline_ms = deadline_ms;
	control->stopping = true;
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
