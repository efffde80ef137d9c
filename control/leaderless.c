/*
 * While the group has no leader: one line a second with the members that count,
 * which of them answer, and the votes of the last round.
 */
#include <inttypes.h>

#include "common/log.h"
#include "control/control_internal.h"

/* Time without a leader, in election timeouts, that needs an explanation. */
#define LEADERLESS_ELECTIONS 4
#define LINE_INTERVAL_MS 1000

static const struct log group_log = { "group" };

static const char *answer_name(const struct control *control, uint64_t member)
{
	static const char *const names[] = {
		[RAFT_NO_ANSWER] = "silent",
		[RAFT_GRANTED] = "granted",
		[RAFT_REFUSED] = "refused",
	};

	return names[raft_answer_of(group_raft(control->group), member)];
}

static const char *link_name(const struct control *control, uint32_t node)
{
	const struct peer *peer = control_peer(control, node);

	if (!peer)
		return "unknown";
	return rpc_client_is_ready(peer->client) ? "connected" : "disconnected";
}

/* NODE:ID:voter|learner:self, or :ANSWER:LINK:HEARD, its last message's age. */
static void append_member(const struct control *control, const struct member *m,
			  GString *line)
{
	int64_t heard_ms = group_heard_ms(control->group, m->id);

	g_string_append_printf(line, "%s%u:%" PRIx64 ":%s:",
			       g_str_has_suffix(line->str, "=") ? "" : ",",
			       m->node, m->id, m->voter ? "voter" : "learner");
	if (m->id == group_member_id(control->group)) {
		g_string_append(line, "self");
		return;
	}
	g_string_append_printf(line, "%s:%s:", answer_name(control, m->id),
			       link_name(control, m->node));
	if (heard_ms)
		g_string_append_printf(line, "%" PRId64 "ms",
				       control_now_ms(control) - heard_ms);
	else
		g_string_append(line, "never");
}

static char *leaderless_line(const struct control *control, int64_t elapsed_ms)
{
	const struct raft *raft = group_raft(control->group);
	const struct member_config *config = raft_config(raft);
	GString *line = g_string_new(NULL);

	g_string_append_printf(line,
			       "no leader elapsed_ms=%" PRId64 " term=%" PRIu64
			       " last_index=%" PRIu64 " commit=%" PRIu64 " ",
			       elapsed_ms, raft_term(raft),
			       raft_last_index(raft), raft_commit_index(raft));
	g_string_append(line, "members=");
	for (u_int i = 0; i < config->members.members_len; i++)
		append_member(control, &config->members.members_val[i], line);
	if (!config->members.members_len)
		g_string_append(line, "none");
	return g_string_free(line, FALSE);
}

static void log_end(struct control *control, int64_t now_ms)
{
	if (control->leaderless_line_ms)
		log_note(&group_log,
			 "a leader is known again elapsed_ms=%" PRId64,
			 now_ms - control->leaderless_since_ms);
	control->leaderless_since_ms = 0;
	control->leaderless_line_ms = 0;
}

void leaderless_tick(struct control *control)
{
	int64_t now_ms = control_now_ms(control), elapsed_ms;
	int64_t limit_ms = LEADERLESS_ELECTIONS *
			   control->opts.settings->cluster.election_ms;
	char *line;

	if (!control->group || group_failed(control->group))
		return;
	if (raft_leader(group_raft(control->group))) {
		log_end(control, now_ms);
		return;
	}
	if (!control->leaderless_since_ms)
		control->leaderless_since_ms = now_ms;
	elapsed_ms = now_ms - control->leaderless_since_ms;
	if (elapsed_ms < limit_ms ||
	    now_ms - control->leaderless_line_ms < LINE_INTERVAL_MS)
		return;
	control->leaderless_line_ms = now_ms;
	line = leaderless_line(control, elapsed_ms);
	log_warn(&group_log, "%s", line);
	g_free(line);
}
