/* Pre-votes and votes, and the rule that protects a leader's lease. */
#include "consensus/raft_internal.h"

/* Whether the log of the candidate is at least as complete as this member's. */
static bool candidate_log_up_to_date(const struct raft *raft,
				     const struct raft_message *message)
{
	uint64_t last = log_last(&raft->log);
	uint64_t last_term = log_term(&raft->log, last);

	if (message->log_term != last_term)
		return message->log_term > last_term;
	return message->log_index >= last;
}

static void request_votes(struct raft *raft, bool pre, bool force)
{
	const struct member_config *config = raft_latest_config(raft);
	uint64_t last = log_last(&raft->log);

	for (u_int i = 0; i < config->members.members_len; i++) {
		const struct member *m = &config->members.members_val[i];
		struct raft_message request = {
			.kind = pre ? RAFT_PRE_VOTE : RAFT_VOTE,
			.to = m->id,
			.term = pre ? raft->term + 1 : raft->term,
			.log_index = last,
			.log_term = log_term(&raft->log, last),
			.leadership_transfer = force,
		};

		if (m->voter && m->id != raft->id)
			raft_send(raft, &request, true);
	}
}

static bool has_quorum(const struct raft *raft)
{
	const struct member_config *config = raft_latest_config(raft);
	int granted = 0;

	for (u_int i = 0; i < config->members.members_len; i++) {
		const struct member *m = &config->members.members_val[i];

		if (m->voter && g_hash_table_contains(raft->votes, &m->id))
			granted++;
	}
	return granted > raft_voter_count(config) / 2;
}

static void record_vote(struct raft *raft, uint64_t id)
{
	g_hash_table_add(raft->votes, g_memdup2(&id, sizeof(id)));
}

static void on_votes_won(struct raft *raft, int64_t now_ms)
{
	if (raft->role == RAFT_PRE_CANDIDATE)
		raft_campaign(raft, now_ms, false, false);
	else
		raft_become_leader(raft, now_ms);
}

/*
 * A member whose vote was taken may be the only one whose log holds that
 * change, so it remains able to become leader until it knows that the change is
 * committed. After a restart the commit index is not known, so each later
 * configuration counts. A candidate counts votes by its latest configuration
 * only, and its own vote only if it is a voter there.
 */
static bool may_campaign(const struct raft *raft)
{
	const GPtrArray *configs = raft->log.configs;

	for (guint i = configs->len; i > 0; i--) {
		const struct log_config *c = configs->pdata[i - 1];

		if (raft_is_voter(&c->config, raft->id))
			return true;
		if (c->index <= raft->commit)
			return false;
	}
	return false;
}

void raft_campaign(struct raft *raft, int64_t now_ms, bool pre, bool force)
{
	raft_reset_election_timer(raft, now_ms);
	if (!may_campaign(raft))
		return;
	g_hash_table_remove_all(raft->votes);
	g_hash_table_remove_all(raft->denials);
	if (!pre)
		raft_set_term(raft, raft->term + 1, raft->id);
	raft_set_role(raft, pre ? RAFT_PRE_CANDIDATE : RAFT_CANDIDATE, 0);
	record_vote(raft, raft->id);
	if (pre && has_quorum(raft))
		on_votes_won(raft, now_ms);
	else
		request_votes(raft, pre, force);
}

/* The only voter of a group wins by its own vote, once that is durable. */
void raft_on_vote_synced(struct raft *raft, int64_t now_ms)
{
	if (raft->role == RAFT_CANDIDATE && has_quorum(raft))
		on_votes_won(raft, now_ms);
}

/*
 * A member that received a message from a leader within the election timeout
 * grants no vote, because that leader's lease may still be valid.
 */
static bool leader_lease_may_hold(const struct raft *raft, int64_t now_ms)
{
	if (raft->role == RAFT_LEADER)
		return true;
	if (raft_at_term_zero(raft))
		return false;
	return now_ms - raft->leader_contact_ms < raft->election_ms;
}

static void record_refusal(struct raft *raft, uint64_t candidate,
			   enum raft_refusal why)
{
	if (why == RAFT_REFUSAL_NONE)
		return;
	raft->refusals.count++;
	raft->refusals.candidate = candidate;
	raft->refusals.last = why;
}

static enum raft_refusal pre_vote_refusal(const struct raft *raft,
					  int64_t now_ms,
					  const struct raft_message *message)
{
	if (message->term <= raft->term)
		return RAFT_REFUSAL_TERM;
	if (leader_lease_may_hold(raft, now_ms))
		return RAFT_REFUSAL_LEASE;
	if (!candidate_log_up_to_date(raft, message))
		return RAFT_REFUSAL_LOG;
	return RAFT_REFUSAL_NONE;
}

static void handle_pre_vote(struct raft *raft, int64_t now_ms,
			    const struct raft_message *message)
{
	enum raft_refusal refusal = pre_vote_refusal(raft, now_ms, message);
	bool granted = refusal == RAFT_REFUSAL_NONE;
	struct raft_message reply = {
		.kind = RAFT_PRE_VOTE_REPLY,
		.to = message->from,
		.term = granted ? message->term : raft->term,
		.granted = granted,
	};

	record_refusal(raft, message->from, refusal);
	raft_send(raft, &reply, true);
}

/* Called after this member has followed the candidate's term, if it may. */
static enum raft_refusal vote_refusal(const struct raft *raft,
				      const struct raft_message *message)
{
	if (message->term > raft->term)
		return RAFT_REFUSAL_LEASE;
	if (message->term < raft->term)
		return RAFT_REFUSAL_TERM;
	if ((raft->vote && raft->vote != message->from) ||
	    raft->role == RAFT_LEADER)
		return RAFT_REFUSAL_VOTED;
	if (!candidate_log_up_to_date(raft, message))
		return RAFT_REFUSAL_LOG;
	return RAFT_REFUSAL_NONE;
}

static void handle_vote(struct raft *raft, int64_t now_ms,
			const struct raft_message *message)
{
	struct raft_message reply = {
		.kind = RAFT_VOTE_REPLY,
		.to = message->from,
	};
	enum raft_refusal refusal;

	if (message->term > raft->term &&
	    (message->leadership_transfer ||
	     !leader_lease_may_hold(raft, now_ms)))
		raft_become_follower(raft, now_ms, message->term, 0);
	refusal = vote_refusal(raft, message);
	record_refusal(raft, message->from, refusal);
	if (refusal == RAFT_REFUSAL_NONE) {
		raft_set_term(raft, raft->term, message->from);
		raft_reset_election_timer(raft, now_ms);
		reply.granted = true;
	}
	reply.term = raft->term;
	raft_send(raft, &reply, true);
}

void raft_on_vote(struct raft *raft, int64_t now_ms,
		  const struct raft_message *message)
{
	if (message->kind == RAFT_PRE_VOTE)
		handle_pre_vote(raft, now_ms, message);
	else
		handle_vote(raft, now_ms, message);
}

void raft_on_vote_reply(struct raft *raft, int64_t now_ms,
			const struct raft_message *message)
{
	bool pre = message->kind == RAFT_PRE_VOTE_REPLY;
	uint64_t requested = pre ? raft->term + 1 : raft->term;

	if (!message->granted) {
		g_hash_table_add(raft->denials,
				 g_memdup2(&message->from,
					   sizeof(message->from)));
		if (message->term > raft->term)
			raft_become_follower(raft, now_ms, message->term, 0);
		return;
	}
	if (raft->role != (pre ? RAFT_PRE_CANDIDATE : RAFT_CANDIDATE) ||
	    message->term != requested)
		return;
	record_vote(raft, message->from);
	if (has_quorum(raft))
		on_votes_won(raft, now_ms);
}

enum raft_answer raft_answer_of(const struct raft *raft, uint64_t id)
{
	if (g_hash_table_contains(raft->votes, &id))
		return RAFT_GRANTED;
	if (g_hash_table_contains(raft->denials, &id))
		return RAFT_REFUSED;
	return RAFT_NO_ANSWER;
}

const struct raft_refusals *raft_refusals(const struct raft *raft)
{
	return &raft->refusals;
}
