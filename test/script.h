/**
 * @file
 * Scripted tests: a NAME.script file has one command per line, and
 * NAME.expected beside it the expected output. Lines that start with # are
 * comments. With UPDATE set in the environment the expected file is written
 * instead of compared; with TRACE set each command is printed before it runs.
 */
#ifndef TEST_SCRIPT_H
#define TEST_SCRIPT_H

#include <stdbool.h>

#include <glib.h>

#define SCRIPT_WORDS_MAX 64

/** The line being run; words[0] is the command. */
struct script {
	const char *path;
	int line;
	char *words[SCRIPT_WORDS_MAX + 1];
	int word_count;
	GString *output;
	void *ctx;
};

struct script_command {
	const char *name;
	int min_args; /* arguments besides the command */
	void (*run)(struct script *script);
};

/** Runs a file and appends to `output`; the commands end with a NULL name. */
void script_run(const char *path, const struct script_command *commands,
		void *ctx, GString *output);

/**
 * Runs a file; fails the current cmocka test if the output is not the expected
 * one.
 */
void script_check(const char *path, const struct script_command *commands,
		  void *ctx);

/**
 * Calls run() for each script in a folder; fails the current cmocka test if
 * there is none.
 */
void script_check_folder(const char *folder,
			 const struct script_command *commands,
			 void (*run)(const char *path,
				     const struct script_command *commands));

/** Appends a line to the output. */
void script_print(struct script *script, const char *fmt, ...)
	G_GNUC_PRINTF(2, 3);

/** Returns the value of a `key=value` argument, or the fallback. */
const char *script_value(const struct script *script, const char *key,
			 const char *fallback);
gint64 script_number(const struct script *script, const char *key,
		     gint64 fallback);

/** Returns the number of a signal by its name, such as SIGTERM. */
int script_signal(const struct script *script, const char *name);

/** Reports an error in the script itself with its line, and exits. */
void script_fail(const struct script *script, const char *fmt, ...)
	G_GNUC_PRINTF(2, 3) G_GNUC_NORETURN;

#endif
