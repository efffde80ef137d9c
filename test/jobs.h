/**
 * @file
 * Client requests that run in the background of a test, each on a thread of
 * its own.
 *
 * The thread owns the job until job_join() returns. Before that, only
 * `tokens_received` may be read.
 */
#ifndef TEST_JOBS_H
#define TEST_JOBS_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

enum job_result {
	JOB_COMPLETE,  /* status 200 with the complete body */
	JOB_REFUSED,   /* an error response */
	JOB_ABORTED,   /* status 200, then an error event or an early close */
	JOB_TRUNCATED, /* ended as if complete, but with tokens missing */
	JOB_NO_ANSWER, /* no connection, or closed during head or error */
};

struct job {
	char *name;
	char *address;
	char *key;
	char *path;
	char *body;
	char *headers; /* lines ending in CRLF */
	char *method;
	bool stream;
	int tokens;	   /* expected; 0 to accept any body */
	int read_pause_ms; /* pause before each read, for a slow client */

	pthread_t thread;
	bool joined;
	volatile int tokens_received; /* in order, without gaps */
	enum job_result result;
	int status;
	char *answer; /* response body as far as it was received */
	int64_t started_us;
	int64_t first_us; /* first token of a stream; 0 before */
	int64_t ended_us;
};

/** Starts a request; copies the strings of `opts`. */
struct job *job_start(const struct job *opts);

/** Waits until the request has ended. */
void job_join(struct job *job);

/** Joins and frees a job; NULL is allowed. */
void job_free(struct job *job);

/**
 * Describes the result of a joined job: "complete tokens=12",
 * "refused no-replica not-run", ... The caller frees.
 */
char *job_describe(const struct job *job);

/**
 * Runs `callers` clients at once, spread over the addresses in turn; each makes
 * `per_caller` bookings one after the other, each with an idempotency key of
 * its own. `run` distinguishes the keys of several calls. Returns how many
 * bookings got no complete answer.
 */
int jobs_run_bookings(const char *const *addresses, int address_count,
		      const char *key, int callers, int per_caller, int run);

#endif
