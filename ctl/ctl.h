/**
 * @file
 * radishdealctl: the types and functions shared by its commands. The program
 * is single-threaded.
 */
#ifndef CTL_CTL_H
#define CTL_CTL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include <radishdeal/result.h>

/** Options common to all commands. */
struct ctl {
	GPtrArray *addresses;  /* of char *: operators' ports, tried in turn */
	char *key;	       /* of the operator */
	bool json;	       /* print JSON */
	int64_t wait_ms;       /* for a change to be applied by all entries;
				* 0: does not wait */
	const char *change_id; /* NULL: a random one is generated */
	int64_t base_revision; /* of a change; -1: the current one */
	bool all;	       /* not used by any command */
};

/** Value of argument_count for a command with `n` or more arguments. */
#define CTL_AT_LEAST(n) (-(n))

struct ctl_command {
	const char *name;      /* one or two words, separated by a space */
	const char *arguments; /* as shown in help */
	int argument_count;    /* or CTL_AT_LEAST() */
	const char *summary;
	const char *help; /* full description */
	/** Returns the exit status. `arguments` end with NULL. */
	int (*run)(struct ctl *ctl, char **arguments);
};

/** All commands; the last has a NULL name. */
extern const struct ctl_command ctl_commands[];

/**
 * Sends a GET request to the addresses in turn until one answers, and returns
 * the JSON body, which the caller owns. Prints an error, sets *exit_status and
 * returns NULL if none answers or the answer is an error.
 */
json_t *ctl_get(struct ctl *ctl, const char *path, int *exit_status);

/**
 * Sends a change to the addresses in turn until a leader accepts or rejects it.
 * A change without an answer is sent again with the same change id, so that it
 * is applied once. `query` holds further query parameters or is empty;
 * `service` is the service whose current revision is the base, or NULL if there
 * is none. Prints the result and returns the exit status.
 */
int ctl_change(struct ctl *ctl, const char *method, const char *path,
	       const char *query, const char *body, const char *service);

/** A column of a table. */
struct ctl_column {
	const char *heading;
	const char *key; /* of the JSON value that it shows */
};

/**
 * Prints the array of objects under the key `list` as a table, or with --json
 * all of `answer`. `columns` ends with a NULL heading. Releases `answer` and
 * returns the exit status.
 */
int ctl_print(const struct ctl *ctl, json_t *answer, const char *list,
	      const struct ctl_column *columns);

#endif
