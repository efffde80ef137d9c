/**
 * @file
 * radishdealctl: what its commands share. Single-threaded.
 */
#ifndef CTL_CTL_H
#define CTL_CTL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include <radishdeal/result.h>

/** Options that all commands take. */
struct ctl {
	GPtrArray *addresses; /* of char *, operators' ports to try */
	char *key;
	bool json;
	int64_t wait_ms;       /* 0: not */
	const char *change_id; /* NULL: made up */
	int64_t base;	       /* -1: the current revision */
	bool all;	       /* members in all states */
};

/** For a command that takes so many arguments or more. */
#define CTL_AT_LEAST(n) (-(n))

/** A command: `words` stand in front of its arguments. */
struct ctl_command {
	const char *words;
	const char *arguments; /* as shown in help */
	int count;	       /* of arguments, or CTL_AT_LEAST() */
	const char *summary;
	const char *help; /* as long as a manual page needs */
	/** `arguments` end with NULL. */
	int (*run)(struct ctl *ctl, char **arguments);
};

extern const struct ctl_command ctl_commands[];

/**
 * Asks the addresses in turn until one answers. Prints the error and returns
 * NULL with *exit_status set if none does or it refuses.
 */
json_t *ctl_get(struct ctl *ctl, const char *path, int *exit_status);

/**
 * Makes a change: asks in turn until a leader takes it, resending under the
 * same change id when an answer is lost. Returns the exit status.
 */
int ctl_change(struct ctl *ctl, const char *method, const char *path,
	       const char *query, const char *body, const char *service);

/** A column: heading and the JSON key it shows. */
struct ctl_column {
	const char *heading;
	const char *key;
};

/** Prints an array of objects as a table, or all of `answer` as JSON. */
int ctl_print(const struct ctl *ctl, json_t *answer, const char *list,
	      const struct ctl_column *columns);

#endif
