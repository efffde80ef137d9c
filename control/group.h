/**
 * @file
 * One member of the state group: the consensus core, its storage and the
 * replicated state, driven in turns.
 *
 * Owned by the control task; everything runs on its thread. A turn takes all
 * inputs that arrived, makes one group commit, then sends what depends on it.
 * Files, clock and seed are passed in, so that tests drive the same code.
 */
#ifndef CONTROL_GROUP_H
#define CONTROL_GROUP_H

#include <radishdeal/raft.h>
#include <radishdeal/state.h>

#include "common/clock.h"
#include "common/counters.h"
#include "settings/daemon.h"
#include "storage/fs.h"

struct group;

/** A committed command and what became of it. */
struct group_applied {
	uint64_t index;
	const struct command *command;
	const struct apply_result *result;
};

/** Where the group's outputs go; `ctx` is passed first. */
struct group_events {
	/** Sends an encoded raft_message to a member. */
	void (*send)(void *ctx, uint64_t member, GBytes *message);
	/** Tells of every applied command, on every member. */
	void (*applied)(void *ctx, const struct group_applied *applied);
	/** The state was replaced as a whole. */
	void (*state_replaced)(void *ctx);
	/** Role, term or leader changed. */
	void (*changed)(void *ctx);
	/** A turn is due at once; may be told again before it is taken. */
	void (*wakeup)(void *ctx);
	/** Storage failed: nothing may be acknowledged any more. */
	void (*failed)(void *ctx, enum rd_result code, const char *why);
	void *ctx;
};

struct group_opts {
	const struct storage_fs *fs;
	const struct clock_source *clock;
	const struct daemon_settings *settings;
	struct counters *counters;
	struct group_events events;
	bool bootstrap; /* make a new group out of the settings' voters */
	uint32_t seed;
	uint64_t new_member;  /* id if the folder is new and not bootstrapped */
	int32_t keep_entries; /* kept behind a snapshot; 0 for the usual */
};

/** A group is to be given a turn this often, and when it wants one. */
#define GROUP_TICK_MS 40

/** Reads the data folder. NULL with *code and *why set on failure. */
struct group *group_create(const struct group_opts *opts, enum rd_result *code,
			   char **why);
void group_destroy(struct group *group);

/** Lets time pass, commits what arrived, sends and applies. */
void group_process(struct group *group);

/**
 * Takes a message that came from a node; false if it cannot be decoded. A
 * member that is not in the configuration yet answers by that node.
 */
bool group_receive(struct group *group, uint32_t node, const void *data,
		   size_t size);

/** Called once with the result; `result` is NULL if it was lost track of. */
typedef void (*group_done_fn)(void *ctx, enum rd_result code,
			      const struct apply_result *result);

/** Proposes an encoded command; done is called on every path. */
void group_propose(struct group *group, GBytes *command, group_done_fn done,
		   void *ctx);

/** Proposes a membership; RD_OK means accepted, not yet committed. */
enum rd_result group_propose_config(struct group *group,
				    const struct member_config *config);

/** Hands leadership over, before a planned stop. */
void group_transfer_leadership(struct group *group);

const struct raft *group_raft(const struct group *group);
const struct state *group_state(const struct group *group);
uint64_t group_member_id(const struct group *group);
uint64_t group_incarnation(const struct group *group);

/** Whether this member leads by a valid lease and has caught up. */
bool group_is_ready_leader(const struct group *group);

/** Node number of a member, 0 if unknown. */
uint32_t group_node_of(const struct group *group, uint64_t member);

/** Bytes of log on disk. */
uint64_t group_log_bytes(const struct group *group);

#endif
