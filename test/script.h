/**
 * @file
 * Scripted tests: a file of commands, run one a line, and the output expected
 * of them beside it. With UPDATE set in the environment the expected file is
 * written instead of compared.
 */
#ifndef TEST_SCRIPT_H
#define TEST_SCRIPT_H

#include <stdbool.h>

#include <glib.h>

#define SCRIPT_WORDS_MAX 64

/** The line being run. */
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
	int min_args; /* arguments */
	void (*run)(struct script *script);
};

/** Runs a file; the commands end with a NULL name. */
void script_run(const char *path, const struct script_command *commands,
		void *ctx, GString *output);

/** Runs a file and compares; fails the current cmocka test if it differs. */
void script_check(const char *path, const struct script_command *commands,
		  void *ctx);

/**
 * Has run() check each script of a folder; fails the current cmocka test if
 * there is none.
 */
void script_check_folder(const char *folder,
			 const struct script_command *commands,
			 void (*run)(const char *path,
				     const struct script_command *commands));

/** Appends a line to the output. */
void script_print(struct script *script, const char *fmt, ...)
	G_GNUC_PRINTF(2, 3);

/** Value of a `key=value` word, or the fallback. */
const char *script_value(const struct script *script, const char *key,
			 const char *fallback);
gint64 script_number(const struct script *script, const char *key,
		     gint64 fallback);

/** Ends the program: the script itself is wrong. */
void script_fail(const struct script *script, const char *fmt, ...)
	G_GNUC_PRINTF(2, 3) G_GNUC_NORETURN;

#endif
