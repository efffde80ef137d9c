/**
 * @file
 * Shared state and internal interfaces of the control task's modules. All of
 * it belongs to the control task's thread.
 */
#ifndef CONTROL_CONTROL_INTERNAL_H
#define CONTROL_CONTROL_INTERNAL_H

#include <event2/http.h>

#include <radishdeal/evidence.h>

#include "consensus/membership.h"
#include "control/control.h"
#include "control/feed.h"
#include "control/group.h"

struct follow;
struct operators;
struct placer;
struct proposals;

/** Another process of the system and the RPC client connected to it. */
struct peer {
	struct control *control;
	uint32_t node;
	bool is_control;	    /* has the control role: answers polls */
	bool discovered;	    /* not listed in the settings */
	int64_t last_referenced_ms; /* last control_get_or_add_peer() */
	int64_t lost_ms;	    /* without a connection since; 0: has one */
	struct rpc_client *client;
};

struct control {
	struct control_opts opts;
	struct rpc_identity identity;
	struct event_base *base;
	struct rpc_server *server;
	GPtrArray *peers; /* of struct peer, without this process */
	struct fs_folder *folder;
	struct group *group; /* NULL without the control role */
	struct task *disk;   /* runs the group's jobs; NULL without a group */
	struct event *group_tick;   /* every GROUP_TICK_MS */
	struct event *group_wakeup; /* requested by the group */
	struct feed *feed;
	struct view *view;
	struct follow *follow;
	struct proposals *proposals;
	struct evhttp *metrics;	     /* NULL unless listen.metrics is set */
	struct operators *operators; /* NULL unless the interface is native */
	/* NULL where VMs announce themselves to the entries instead. */
	struct announcements *announcements;
	struct entry_info *entries; /* from the leader's last poll reply */
	uint32_t entry_count;
	void *driver; /* returned by opts.driver->open; may be NULL */
	struct placer *placer;
	struct event *tick;
	int64_t started_ms;
	bool leader_duties_active;
	uint64_t leading_term;	 /* term for which they were started */
	uint32_t silent_voter;	 /* node that was logged; 0: none */
	uint32_t refused_member; /* node for which no room was logged; 0 */
	uint64_t unsent_index;	 /* of the state that was too large to send */
	int64_t leaderless_since_ms; /* 0: a leader is known */
	int64_t leaderless_line_ms;  /* of the last line about it; 0: none */
	int64_t orphans_checked_ms;
	bool stopping; /* since control_post_handover() */
	task_fn handover_done;
	void *handover_arg;
	int64_t handover_deadline_ms;
	int64_t successor_deadline_ms; /* for a learner to take its vote */
	bool successor_awaited;
	u_int voters_at_stop;
};

/** Current time of the clock given in the options. */
int64_t control_now_ms(const struct control *control);

/** Returns the peer with this node number, or NULL. */
struct peer *control_peer(const struct control *control, uint32_t node);

/**
 * Returns the peer with this node number; adds it and starts to connect if it
 * is not known yet. Each call restarts the expiry of a discovered peer. NULL
 * for this process, for node 0, and for a node that is not listed in a system
 * without seeds.
 */
struct peer *control_get_or_add_peer(struct control *control, uint32_t node,
				     bool is_control);

/** Returns the node number of the last known leader, 0 if unknown. */
uint32_t control_leader(const struct control *control);

/** Copies the entry list of the leader's reply; NULL clears it. */
void control_set_entries(struct control *control, struct poll_reply *reply);

/**
 * Whether reports received here can reach a leader: this member is a leader
 * with a valid lease, or it knows the leader of its term, or the group has not
 * held its first election yet.
 */
bool control_can_reach_leader(const struct control *control);

/**
 * Returns the replicated state for a linearizable read: only on a leader with
 * a valid lease, NULL elsewhere.
 */
const struct state *control_leader_state(const struct control *control);

/* peers.c: RPC server and clients */

/** Opens the RPC server on listen.peers; sets *why on failure. */
enum rd_result peers_open(struct control *control, char **why);
/** Starts connecting to the peers listed in the settings. */
void peers_connect(struct control *control);
void peers_close(struct control *control);
void peers_send_raft(struct control *control, uint64_t member, GBytes *bytes);
/** Returns this process's connection to a node; if unknown, as if open. */
struct member_link peers_link(const struct control *control, uint32_t node);
/** Notifies all processes, this one included, to poll the leader now. */
void peers_notify_update(struct control *control);
/** Whether bytes to peers, or replies to their calls, are not sent yet. */
bool peers_unsent(const struct control *control);
/** Removes discovered peers whose expiry has passed. */
void peers_tick(struct control *control);
/** Sends a digest to all peers; requests a full one if a peer lacks one. */
void peers_send_digest(struct control *control, GBytes *digest);

/* follow.c: polls the leader for configuration updates */
struct follow *follow_create(struct control *control);
void follow_destroy(struct follow *follow);
/** Polls at once, or as soon as the poll in flight has ended. */
void follow_poll_now(struct follow *follow);
/** The current leader, node `leader`, has new commands to fetch. */
void follow_on_update(struct follow *follow, uint32_t leader);
/** Sets the entry status sent with polls; takes its arrays. */
void follow_set_status(struct follow *follow,
		       const struct entry_status *status);
/** Answers another process's poll; fills a zeroed reply. */
void follow_serve_poll(struct control *control,
		       const struct poll_request *request,
		       struct poll_reply *reply);
/** Returns the leader's node number learnt from polls, 0 if unknown. */
uint32_t follow_leader(const struct follow *follow);

/* proposals.c: submits commands to the current leader */
struct proposals *proposals_create(struct control *control);
void proposals_destroy(struct proposals *proposals);
/**
 * Submits an encoded command, retrying until the timeout. Calls `done` once:
 * with the result if it was applied, with RD_OVERLOADED or RD_TOO_LARGE if it
 * was refused (also if it is NULL, as it couldn't be encoded), and after the
 * timeout with RD_CHANGE_UNKNOWN if it may have been accepted, RD_NO_QUORUM if
 * it certainly was not.
 */
void proposals_submit(struct proposals *proposals, GBytes *command,
		      int timeout_ms, control_done_fn done, void *ctx);
/** Whether a submitted command has no result yet. */
bool proposals_pending(const struct proposals *proposals);
/**
 * Ends all submissions at once, as if their timeouts had passed. A result that
 * arrives later is ignored.
 */
void proposals_give_up(struct proposals *proposals);

/* operators.c: the operator API */
struct operators *operators_create(struct control *control, char **why);
void operators_destroy(struct operators *operators);
/** Answers waiting changes that are in force or whose wait has timed out. */
void operators_tick(struct operators *operators);
/** Answers all waiting changes with RD_CHANGE_UNKNOWN. */
void operators_end_waits(struct operators *operators);

/* leaderless.c */

/** Logs, about once a second, why the group still has no leader. */
void leaderless_tick(struct control *control);

/* handover.c: the stop of the control task */
void handover_tick(struct control *control);

/* announcements.c: VMs that announce themselves to this control VM */
struct announcements *announcements_create(struct control *control);
void announcements_destroy(struct announcements *a);
/** Starts to send digests periodically. */
void announcements_start(struct announcements *a);
/** Returns the log line about a changed announcement; free it. */
char *announcements_line(const struct vm_report *report);

void announcements_receive(struct announcements *a,
			   const struct vm_report *report);
/** Handles a VM's announcement that it is about to stop. */
void announcements_deregister(struct announcements *a, const char *vm);
/** Makes the next digest a full one, after a receiver missed a digest. */
void announcements_request_full_digest(struct announcements *a);

/* metrics.c */

/** Answers a request with all counters in Prometheus text format. */
void metrics_send(const struct control *control, struct evhttp_request *req);
/** Opens listen.metrics; NULL with *why set on failure. */
struct evhttp *metrics_open(struct control *control, char **why);

/* placer.c: placement while this member leads */
struct placer *placer_create(struct control *control);
void placer_destroy(struct placer *placer);
void placer_start_leading(struct placer *placer);
void placer_stop_leading(struct placer *placer);
void placer_tick(struct placer *placer);

/** Visits the recent placement decisions with their reasons, oldest first. */
void placer_each_decision(const struct placer *placer,
			  void (*visit)(void *ctx, const char *line),
			  void *ctx);

/* members.c: automatic and operator-requested membership changes */

/** Proposes the next automatic change, if one is due; leader only. */
void members_tick(struct control *control);

/**
 * Returns the log line about the voter that is lost, or about its end; NULL if
 * nothing has changed. `node` is 0 if there is none, and `health` unused then;
 * `reported` is the node of the last line. The caller frees.
 */
char *members_lost_line(uint32_t *reported, uint32_t node,
			const struct member_health *health, int64_t limit_ms);

/**
 * Proposes an operator's change: promote, demote or remove the member on a
 * node. RD_OK means accepted, not yet committed. May set *why on failure.
 */
enum rd_result members_change(struct control *control, const char *action,
			      uint32_t node, char **why);

#endif
