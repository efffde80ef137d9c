/**
 * @file
 * The control task: a member of the state group, the placement leader while
 * it leads, the operators' API, and this VM's link to the other processes.
 *
 * Created and destroyed by the daemon; runs on its own task. The entry task
 * is reached only by the callbacks below, which must post, and reaches this
 * one only by the control_post_* functions, callable from any thread.
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

/** A new configuration for the entry; owns its reply. */
struct config_update {
	struct poll_reply reply;
	int64_t lease_until_ms; /* by clock_system */
};

/** The entry's side; called on the control task, must post and return. */
struct control_listener {
	void (*config)(void *ctx, struct config_update *update);
	void (*digest)(void *ctx, GBytes *digest);
	/** Some process missed a digest: the next one must be full. */
	void (*full_digest_needed)(void *ctx);
	void (*drain)(void *ctx, bool draining);
	void *ctx;
};

/**
 * A way to face operators and announcing VMs other than the native one. Its
 * functions run on the control task, but for open and close.
 */
struct control_driver {
	/** Opens its ports; NULL with *why set on failure. */
	void *(*open)(struct control *control, char **why);
	void (*close)(void *driver);
	/** What it writes into orders and reads out of their answers. */
	const struct order_format *orders;
};

struct control_opts {
	const struct control_driver *driver; /* NULL for the native one */
	const struct daemon_settings *settings;
	const struct clock_source *clock;
	struct counters *counters;
	struct task *task;
	const struct rpc_identity *identity; /* incarnation set by control */
	const char *operator_keys; /* text: name role key, a line each */
	struct control_listener listener;
	bool bootstrap;
	void (*fatal)(void *ctx, enum rd_result code);
	void *fatal_ctx;
};

/** Opens storage and ports before the task starts; NULL with *why set. */
struct control *control_create(const struct control_opts *opts,
			       enum rd_result *code, char **why);

/** Begins to work; the first message to post on the task. */
void control_start(void *control);

/** Closes ports and storage; after the task has ended. NULL is allowed. */
void control_destroy(struct control *control);

/** Counts the starts of this VM's daemon. */
uint64_t control_incarnation(const struct control *control);

/** What an entry tells with its polls. */
struct entry_status {
	uint64_t applied;
	char callers_address[64];
	char endpoints_address[64];
	uint32_t free_permille;
	bool draining;
	GArray *loads;	 /* of struct replica_load; NULL for none */
	GArray *demands; /* of struct service_demand; NULL for none */
};

/** Drops the lists of a status. */
void entry_status_clear(struct entry_status *status);

/**
 * From the entry: status, posted after each update and now and then. Takes
 * the references of its lists.
 */
void control_post_status(struct control *control,
			 const struct entry_status *status);

/** From the entry: a digest for all others; takes the reference. */
void control_post_digest(struct control *control, GBytes *digest);

/** Result of a proposal, called on the control task; must post. */
typedef void (*control_done_fn)(void *ctx, enum rd_result code,
				const struct apply_result *result);

/** From the entry: a command for the log; takes the reference. */
void control_post_proposal(struct control *control, GBytes *command,
			   control_done_fn done, void *ctx);

/** The settings name other control VMs now; `nodes` is copied. */
void control_post_seeds(struct control *control, const uint32_t *nodes,
			uint32_t count);

/** Hands over leadership, then calls done(arg) on the control task. */
void control_post_handover(struct control *control, task_fn done, void *arg);

#endif
