/**
 * @file
 * The control task: this VM's member of the consensus group, placement while
 * that member is the leader, the operator API, and the RPC connections to the
 * other processes.
 *
 * Created and destroyed by the daemon; runs on a task of its own. It calls the
 * entry task only through struct control_listener, whose callbacks must post a
 * message and return. Other tasks call it only through the control_post_*
 * functions, which are safe from any thread.
 */
#ifndef CONTROL_CONTROL_H
#define CONTROL_CONTROL_H

#include <stdbool.h>

#include <glib.h>

#include <radishdeal/state.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/task.h"
#include "settings/daemon.h"
#include "wire/rpc.h"

struct control;
struct order_format;

/** A configuration update for the entry; owns `reply`. */
struct config_update {
	struct poll_reply reply;
	int64_t lease_until_ms; /* on clock_system */
	/* Of the poll: the responder known then, entry_status.parts_sent. */
	uint64_t parts_source, parts_sent;
};

/**
 * Callbacks into the entry; all are NULL on a VM without the entry role. Called
 * on the control task; each must post a message to the entry task and return.
 */
struct control_listener {
	/** A new configuration or a renewed lease; takes the update. */
	void (*config)(void *ctx, struct config_update *update);
	/** A digest received from another process; takes the reference. */
	void (*digest)(void *ctx, GBytes *digest);
	/** A receiver missed a digest: the next one must be a full digest. */
	void (*full_digest_needed)(void *ctx);
	/** An operator started or ended the drain of this entry. */
	void (*drain)(void *ctx, bool draining);
	void *ctx;
};

/**
 * An interface to operators and model VMs that replaces the native one. All
 * functions except open and close run on the control task.
 */
struct control_driver {
	/** Opens the interface's ports; NULL with *why set on failure. */
	void *(*open)(struct control *control, char **why);
	void (*close)(void *driver);
	/** Encoding of engine orders and decoding of the responses. */
	const struct order_format *orders;
	/** Of deployments' documents; without a context. */
	struct document_reader documents;
};

struct control_opts {
	const struct control_driver *driver; /* NULL for the native one */
	const struct daemon_settings *settings;
	const struct clock_source *clock;
	struct counters *counters;
	struct task *task;
	const struct rpc_identity *identity; /* control sets incarnation */
	const char *operator_keys;	     /* one "name role key" per line */
	struct control_listener listener;
	bool bootstrap; /* create a new consensus group */
	/** Storage failed; the process must stop, after its requests. */
	void (*fatal)(void *ctx, enum rd_result code);
	void *fatal_ctx;
};

/**
 * Opens storage and ports; call it before the task starts. NULL with *code and
 * *why set on failure.
 */
struct control *control_create(const struct control_opts *opts,
			       enum rd_result *code, char **why);

/**
 * Connects to the peers and starts the timers. Must run on the task, before
 * any other message; `control` is a struct control.
 */
void control_start(void *control);

/** Closes ports and storage. Call after the task has ended; accepts NULL. */
void control_destroy(struct control *control);

/**
 * Incarnation of this daemon; greater after each restart. Counts the opens of
 * the data folder, or is the start time in seconds on a VM without one.
 */
uint64_t control_incarnation(const struct control *control);

/** Status of an entry, reported to the leader in each poll. */
struct entry_status {
	uint64_t applied; /* log index of the configuration in force */
	char callers_address[64];
	char endpoints_address[64];
	uint32_t free_permille; /* spare capacity */
	bool draining;
	GArray *loads;	 /* of struct replica_load; NULL for none */
	GArray *demands; /* of struct service_demand; NULL for none */
	/* Evidence on prompt parts, see poll_request: */
	GArray *parts;	     /* of struct part_record; NULL for none */
	uint64_t parts_sent; /* the entry's change up to which they go */
	uint64_t parts_source, parts_cursor;
	int64_t at_ms; /* when the ages in `parts` applied; on clock_system */
};

/** Whether new callers should be sent to an entry, by its last status. */
bool control_entry_takes_callers(const struct entry_info *entry);

/** Releases the arrays of a status. */
void entry_status_clear(struct entry_status *status);

/**
 * Reports the entry's status; the entry posts it periodically and after each
 * configuration update. Takes the references to the arrays.
 */
void control_post_status(struct control *control,
			 const struct entry_status *status);

/** Sends the entry's digest to all other processes; takes the reference. */
void control_post_digest(struct control *control, GBytes *digest);

/**
 * Completion of a proposal. Called on the control task, so a caller on another
 * task must post a message. `result` is NULL unless `code` is RD_OK.
 */
typedef void (*control_done_fn)(void *ctx, enum rd_result code,
				const struct apply_result *result);

/**
 * Submits an encoded command to the leader, on this VM or another one. Takes
 * the reference to `command`; `done` is called once.
 */
void control_post_proposal(struct control *control, GBytes *command,
			   control_done_fn done, void *ctx);

/** Adds the control VMs of reloaded settings as peers; copies `nodes`. */
void control_post_seeds(struct control *control, const uint32_t *nodes,
			uint32_t count);

/**
 * Stops accepting operators' changes, transfers leadership to another member,
 * if this one leads, and answers what was accepted. Calls done(arg) on the
 * control task once the answers are sent, at the latest after 2 s or at
 * limit_ms of its clock. A repetition gives no more time; until the end it
 * replaces the earlier call's `done`.
 */
void control_post_handover(struct control *control, int64_t limit_ms,
			   task_fn done, void *arg);

#endif
