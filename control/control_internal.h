/**
 * @file
 * The control task's parts and what they share. All on the control task.
 */
#ifndef CONTROL_CONTROL_INTERNAL_H
#define CONTROL_CONTROL_INTERNAL_H

#include <event2/http.h>

#include <radishdeal/evidence.h>

#include "control/control.h"
#include "control/feed.h"
#include "control/group.h"

struct follow;
struct operators;
struct placer;
struct proposals;

/** Another process of the system. */
struct peer {
	struct control *control;
	uint32_t node;
	bool is_control;       /* may be asked who leads */
	bool discovered;       /* not listed in the settings */
	int64_t last_named_ms; /* when it was last heard of, if found */
	struct rpc_client *client;
};

struct control {
	struct control_opts opts;
	struct rpc_identity identity;
	struct event_base *base;
	struct rpc_server *server;
	GPtrArray *peers; /* of struct peer, not this process */
	struct fs_folder *folder;
	struct group *group;
	struct event *group_tick;
	struct event *group_wakeup;
	struct feed *feed;
	struct view *view;
	struct follow *follow;
	struct proposals *proposals;
	struct evhttp *metrics;	     /* NULL without an address for it */
	struct operators *operators; /* NULL unless the interface is native */
	struct announcements *announcements; /* NULL if entries are homes */
	struct entry_info *entries;	     /* as the leader last told */
	uint32_t entry_count;
	void *driver; /* of opts.driver; NULL without one */
	struct placer *placer;
	struct event *tick;
	int64_t started_ms;
	bool was_leading;
	uint64_t leading_term;
	int64_t orphans_checked_ms;
	task_fn handover_done;
	void *handover_arg;
	int64_t handover_deadline_ms;
};

int64_t control_now_ms(const struct control *control);

/** The peer with a node number, or NULL. */
struct peer *control_peer(const struct control *control, uint32_t node);

/**
 * The peer with a node number, connecting to it if it is new. NULL if it is
 * this process, or not listed in a system without seeds.
 */
struct peer *control_get_or_add_peer(struct control *control, uint32_t node,
				     bool is_control);

/** Node of the leader as far as known here, 0 if unknown. */
uint32_t control_leader(const struct control *control);

/** Keeps the entries of a leader's reply; NULL forgets them. */
void control_set_entries(struct control *control, struct poll_reply *reply);

/**
 * Whether what is heard here reaches a leader: this member leads by a valid
 * lease or follows one, or none has ever been.
 */
bool control_can_reach_leader(const struct control *control);

/** The state if it is surely the newest: only at a leader; else NULL. */
const struct state *control_leader_state(const struct control *control);

/* peers.c */
enum rd_result peers_open(struct control *control, char **why);
void peers_connect(struct control *control);
void peers_close(struct control *control);
void peers_send_raft(struct control *control, uint64_t member, GBytes *bytes);
void peers_notify_update(struct control *control);
void peers_tick(struct control *control);
void peers_send_digest(struct control *control, GBytes *digest);

/* follow.c: this VM's entry as a subscriber to the configuration */
struct follow *follow_create(struct control *control);
void follow_destroy(struct follow *follow);
void follow_poll_now(struct follow *follow);
/** The node that leads now says that there is something new. */
void follow_on_update(struct follow *follow, uint32_t leader);
void follow_set_status(struct follow *follow,
		       const struct entry_status *status);
void follow_serve_poll(struct control *control,
		       const struct poll_request *request,
		       struct poll_reply *reply);
uint32_t follow_leader(const struct follow *follow);

/* proposals.c: getting a command to whoever leads */
struct proposals *proposals_create(struct control *control);
void proposals_destroy(struct proposals *proposals);
void proposals_submit(struct proposals *proposals, GBytes *command,
		      int timeout_ms, control_done_fn done, void *ctx);

/* operators.c */
struct operators *operators_create(struct control *control, char **why);
void operators_destroy(struct operators *operators);
void operators_tick(struct operators *operators);

/* announcements.c: VMs that announce themselves here */
struct announcements *announcements_create(struct control *control);
void announcements_destroy(struct announcements *a);
void announcements_start(struct announcements *a);
void announcements_receive(struct announcements *a,
			   const struct vm_report *report);
/** A VM said that it is about to go. */
void announcements_deregister(struct announcements *a, const char *vm);
/** Some process missed a digest. */
void announcements_request_full_digest(struct announcements *a);

/* metrics.c */
void metrics_send(const struct control *control, struct evhttp_request *req);
/** Opens listen.metrics; NULL with *why set on failure. */
struct evhttp *metrics_open(struct control *control, char **why);

/* placer.c: placement while this member leads */
struct placer *placer_create(struct control *control);
void placer_destroy(struct placer *placer);
void placer_start_leading(struct placer *placer);
void placer_stop_leading(struct placer *placer);
void placer_tick(struct placer *placer);

/** Visits what the placer last decided and why, newest last. */
void placer_each_decision(const struct placer *placer,
			  void (*visit)(void *ctx, const char *line),
			  void *ctx);

/* members.c: membership by itself and by operators */
void members_tick(struct control *control);
enum rd_result members_change(struct control *control, const char *action,
			      uint32_t node, char **why);

#endif
