/**
 * @file
 * The entry task: faces callers and endpoints.
 *
 * Created and destroyed by the daemon; runs on its own task. The control task
 * reaches it only by the entry_post_* functions, callable from any thread.
 */
#ifndef ENTRY_ENTRY_H
#define ENTRY_ENTRY_H

#include "control/control.h"

struct entry;

/**
 * A way to face callers other than the native one. Open and close are called
 * as entry_create() and entry_destroy().
 */
struct entry_driver {
	/** Opens its ports; NULL with *why set on failure. */
	void *(*open)(struct entry *entry, char **why);
	void (*close)(void *driver);
};

struct entry_opts {
	const struct entry_driver *driver; /* NULL for the native one */
	const struct daemon_settings *settings;
	const struct clock_source *clock;
	struct counters *counters;
	struct task *task;
	struct control *control;
	const char *endpoint_key;
	uint32_t seed;
};

/** Opens the ports; NULL with *why set on failure. */
struct entry *entry_create(const struct entry_opts *opts, char **why);

/** Begins to work; the first message to post on the task. */
void entry_start(void *entry);

/** Closes the ports and drops all calls; after the task has ended. */
void entry_destroy(struct entry *entry);

/** Takes the ownership of an update. */
void entry_post_config(struct entry *entry, struct config_update *update);

/** Takes the reference of an encoded digest of another home. */
void entry_post_digest(struct entry *entry, GBytes *digest);

/** The next digest must be full. */
void entry_post_request_full_digest(struct entry *entry);

/** Starts or ends draining: no new work, addresses no longer given out. */
void entry_post_drain(struct entry *entry, bool draining);

/** Drains, then calls done(arg) on the entry task once nothing is left. */
void entry_post_shutdown(struct entry *entry, task_fn done, void *arg);

#endif
