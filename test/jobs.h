/**
 * @file
 * Client requests that run in the background of a test, each on a thread of
 * its own.
 *
 * The thread owns the job until job_join() returns. Before that, only
 * `tokens_received`, `sent` and `ended` may be read and job_release() called.
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

/** Where a client pauses until job_release(). */
enum job_hold {
	JOB_HOLD_NONE,
	JOB_HOLD_IDLE, /* before the request, once connected */
	JOB_HOLD_SEND, /* after half of the request */
	JOB_HOLD_READ, /* before it reads the response */
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
	int receive_bytes; /* size of the receive buffer; 0 for the default */
	int upload_bytes;  /* size of a generated body, instead of `body` */
	int behind_bytes;  /* size of a further request that is sent behind */
	bool kept;	   /* the connection has already served a request */
	enum job_hold hold;
	volatile gint released;

	pthread_t thread;
	bool joined;
	volatile int tokens_received; /* in order, without gaps */
	volatile gint sent;	      /* the whole request */
	volatile gint ended;
	enum job_result result;
	int status;
	bool closes;  /* the response announces the end of the connection */
	char *answer; /* response body as far as it was received */
	int64_t started_us;
	int64_t first_us; /* first token of a stream; 0 before */
	int64_t ended_us;
};

/** Starts a request; copies the strings of `opts`. */
struct job *job_start(const struct job *opts);

/** Lets a client that pauses continue. */
void job_release(struct job *job);

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
