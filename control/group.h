/**
 * @file
 * One member of the consensus group: the consensus core, its storage and the
 * replicated state.
 *
 * Owned by the control task; everything but group_run_job() runs on its thread.
 * All writes since the last group commit are made durable by the next one,
 * after which the messages that depend on it are sent. Meanwhile the group goes
 * on: it receives, sends heartbeats and applies committed commands. File
 * system, clock and random seed are passed in, so that tests can run the same
 * code against simulated ones.
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

/** A committed command and the result of applying it. */
struct group_applied {
	uint64_t index;
	const struct command *command;
	const struct apply_result *result;
};

/** Callbacks of a group, required unless noted; `ctx` is passed first. */
struct group_events {
	/** Sends an encoded raft_message to a member. */
	void (*send)(void *ctx, uint64_t member, GBytes *message);
	/** Called for every applied command, on every member. */
	void (*applied)(void *ctx, const struct group_applied *applied);
	/** A snapshot from the leader replaced the whole state. */
	void (*state_replaced)(void *ctx);
	/** Role, term, leader or membership changed. */
	void (*changed)(void *ctx);
	/** group_process() is due; may be called again before it runs. */
	void (*wakeup)(void *ctx);
	/**
	 * Storage failed, or what it holds cannot be decoded, as `why` says;
	 * this member acknowledges nothing from now on.
	 */
	void (*failed)(void *ctx, enum rd_result code, const char *why);
	/**
	 * Makes some thread call group_run_job() once, and then the group's
	 * thread group_finish_job(). NULL: the group runs its jobs itself, and
	 * waits for the disk.
	 */
	void (*start_job)(void *ctx);
	void *ctx;
};

struct group_opts {
	const struct storage_fs *fs;
	const struct clock_source *clock;
	const struct daemon_settings *settings;
	struct counters *counters;
	struct group_events events;
	struct document_reader documents; /* for the state; may be empty */
	bool bootstrap; /* create a new group of the voters in the settings */
	uint32_t seed;	/* of the election timeouts */
	/* Random id for a new folder; bootstrap voters use the node number. */
	uint64_t new_member;
	/* Least incarnation, so that a new folder's exceeds a lost one's. */
	uint64_t incarnation_min;
	/* Log entries kept before a snapshot for slow followers; 0: default. */
	int32_t keep_entries;
};

/** Interval at which to call group_process(), besides after a wakeup. */
#define GROUP_TICK_MS 40

/** Recovers from the data folder. NULL with *code and *why set on failure. */
struct group *group_create(const struct group_opts *opts, enum rd_result *code,
			   char **why);
void group_destroy(struct group *group);

/**
 * Advances timers, starts a group commit if one is due and applies committed
 * entries. After a storage failure it only ends the proposals whose time is
 * over.
 */
void group_process(struct group *group);

/** Writes to the disk and waits for it; touches nothing else of the group. */
void group_run_job(struct group *group);

/** Handles the result of the job that group_run_job() has run. */
void group_finish_job(struct group *group);

/**
 * Handles an encoded raft_message received from a node; false if it cannot be
 * decoded. Replies to a sender that is not in this member's configuration yet
 * go to the node that its last message came from.
 */
bool group_receive(struct group *group, uint32_t node, const void *data,
		   size_t size);

/**
 * Called with the outcome of a proposal; `result` is NULL unless `code` is
 * RD_OK. RD_CHANGE_UNKNOWN: the command may still be committed.
 */
typedef void (*group_done_fn)(void *ctx, enum rd_result code,
			      const struct apply_result *result);

/**
 * Proposes an encoded command. `done` is called once, possibly before this
 * returns. One that is NULL or cannot be decoded is refused with RD_TOO_LARGE:
 * a committed one would fail the group.
 */
void group_propose(struct group *group, GBytes *command, group_done_fn done,
		   void *ctx);

/** Proposes a new membership; RD_OK means accepted, not yet committed. */
enum rd_result group_propose_config(struct group *group,
				    const struct member_config *config);

/** Transfers leadership to another voter; used before a planned stop. */
void group_transfer_leadership(struct group *group);

/** Whether its storage has failed, so that it takes no further part. */
bool group_failed(const struct group *group);
/** Whether a proposal has no outcome yet. */
bool group_has_proposals(const struct group *group);
/** Whether messages wait for a sync before they are sent. */
bool group_has_deferred(const struct group *group);

const struct raft *group_raft(const struct group *group);
const struct state *group_state(const struct group *group);
uint64_t group_member_id(const struct group *group);
uint64_t group_incarnation(const struct group *group);

/**
 * Whether this member is the leader, its lease is valid and it has applied all
 * that earlier leaders acknowledged, so that reads here are linearizable.
 */
bool group_is_ready_leader(const struct group *group);

/** Returns the node number of a member, 0 if unknown. */
uint32_t group_node_of(const struct group *group, uint64_t member);

/** Returns the time of a member's last message, 0 if there was none. */
int64_t group_heard_ms(const struct group *group, uint64_t member);

/** Returns the size of the log on disk in bytes. */
uint64_t group_log_bytes(const struct group *group);

#endif
