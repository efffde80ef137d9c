/**
 * @file
 * The entry task: accepts callers' requests, routes them to replicas and
 * receives announcements from endpoints.
 *
 * The daemon creates and destroys the entry, which runs on its own task. The
 * control task uses only the entry_post_* functions, which any thread may call.
 */
#ifndef ENTRY_ENTRY_H
#define ENTRY_ENTRY_H

#include "control/control.h"

struct entry;

/**
 * An alternative to the native HTTP interface for callers. `open` is called in
 * entry_create() and `close` in entry_destroy().
 */
struct entry_driver {
	/** Opens the ports. Returns NULL and sets *why on failure. */
	void *(*open)(struct entry *entry, char **why);
	void (*close)(void *driver);
	/** Applies a deployment's limits on callers; 0 in a field: none. */
	void (*apply_limits)(void *driver, const struct caller_limits *limits);
};

struct entry_opts {
	const struct entry_driver *driver; /* NULL for the native interface */
	const struct daemon_settings *settings;
	const struct clock_source *clock;
	struct counters *counters;
	struct task *task;
	struct control *control;
	const char *endpoint_key;
	uint32_t seed;
};

/**
 * Creates an entry and opens its ports. Returns NULL and sets *why on failure.
 */
struct entry *entry_create(const struct entry_opts *opts, char **why);

/** Starts the timers. Pass it to task_start() as the `init` function. */
void entry_start(void *entry);

/**
 * Closes the ports and frees all calls without a response. Call it after the
 * task has ended; NULL is allowed.
 */
void entry_destroy(struct entry *entry);

/** Posts a configuration update; takes ownership of it. */
void entry_post_config(struct entry *entry, struct config_update *update);

/** Posts an encoded digest of another monitor; takes the reference. */
void entry_post_digest(struct entry *entry, GBytes *digest);

/** Requests that the next digest carry the full state. */
void entry_post_request_full_digest(struct entry *entry);

/**
 * Starts or stops draining. A draining entry is not advertised, closes a
 * caller's connection when its call ends and, on the native interface, rejects
 * new requests.
 */
void entry_post_drain(struct entry *entry, bool draining);

/**
 * Drains for at least limits.linger_ms, then calls done(arg) on the entry task
 * once no calls are left or limits.drain_ms has passed.
 */
void entry_post_shutdown(struct entry *entry, task_fn done, void *arg);

#endif
