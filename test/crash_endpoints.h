/**
 * @file
 * Endpoints of a plain service that end when they begin to answer a request
 * whose prompt has a certain part, or with a certain path: all their
 * connections are reset, new ones are refused, and after a while the endpoint
 * is back under another name. Some may name a limit on the requests that they
 * take.
 *
 * They run and announce themselves on threads of their own; every function may
 * be called from any thread.
 */
#ifndef TEST_CRASH_ENDPOINTS_H
#define TEST_CRASH_ENDPOINTS_H

#include <stdbool.h>
#include <sys/types.h>

#include <glib.h>

struct crash_endpoints;

/** What an endpoint does when it begins to answer such a request. */
enum crash_mode {
	CRASH_END,    /* all its connections are reset */
	CRASH_CUT,    /* as CRASH_END, after a head without a length; the
		       * connection of that request is closed in order */
	CRASH_RESET,  /* none; the first one resets any request, alone */
	CRASH_LEAVE,  /* as CRASH_END, after it has announced its leaving */
	CRASH_STALL,  /* it never answers */
	CRASH_REFUSE, /* it answers that it didn't run the request */
};

struct crash_endpoints_opts {
	const char *network; /* first three parts of the addresses */
	int count;
	const char *service;
	const char *part; /* hexadecimal id, as in requests; or NULL */
	const char *path; /* instead, as in requests; or NULL */
	enum crash_mode mode;
	int answer_ms; /* from a request to the begin of its answer */
	int back_ms;   /* from an end to the return */
	/** Addresses that take announcements. */
	char *const *control;
};

struct crash_endpoints *crash_endpoints_start(
	const struct crash_endpoints_opts *opts);
void crash_endpoints_stop(struct crash_endpoints *endpoints);

/** Changes the mode for later requests. */
void crash_endpoints_set_mode(struct crash_endpoints *endpoints,
			      enum crash_mode mode);

/**
 * The first `count` endpoints name `limit` in all answers from now on; none do
 * if it is 0.
 */
void crash_endpoints_set_limit(struct crash_endpoints *endpoints, int count,
			       const char *limit);

/**
 * The first `count` endpoints turn one request away and ask for `rest_s` of
 * rest, again and again; none do if it is 0.
 */
void crash_endpoints_set_rest(struct crash_endpoints *endpoints, int count,
			      int rest_s);

/**
 * Returns the most requests that came in one rest, from GRACE_MS after it was
 * asked for. Meant for a single entry.
 */
int crash_endpoints_most_in_rest(struct crash_endpoints *endpoints);

/** The first `count` endpoints say in all answers that they leave. */
void crash_endpoints_set_leaving(struct crash_endpoints *endpoints, int count);

/** How a process is cut off from all endpoints. */
enum cut_mode {
	CUT_RESET,  /* its connections are reset, new ones at their request */
	CUT_SILENT, /* nothing more comes on any of its connections */
};

/**
 * Cuts a process off from all endpoints; the others still reach them. 0 ends
 * it, and connections that were cut stay so.
 */
void crash_endpoints_cut_off(struct crash_endpoints *endpoints, pid_t pid,
			     enum cut_mode how);

/**
 * From now on requests of this process are answered 500, and those of others
 * are reset; 0 ends it.
 */
void crash_endpoints_fail_at(struct crash_endpoints *endpoints, pid_t pid);

/**
 * Returns the most times that a request with one Attempt-Id ran at endpoints,
 * not counting those of a process that is cut off.
 */
int crash_endpoints_most_runs(struct crash_endpoints *endpoints);

/** Ends all endpoints at once, as the loss of a rack does. */
void crash_endpoints_end_all(struct crash_endpoints *endpoints);

/** Number of ends so far. */
int crash_endpoints_ends(struct crash_endpoints *endpoints);

/** Time of the n-th end, from 1, by cluster_now_ms(); 0 before it. */
gint64 crash_endpoints_end_ms(struct crash_endpoints *endpoints, int n);

/** Number of requests with the part that arrived at `since_ms` or later. */
int crash_endpoints_arrivals(struct crash_endpoints *endpoints,
			     gint64 since_ms);

/**
 * Returns the most requests that an endpoint got in any `window_ms` that began
 * at `since_ms` or later.
 */
int crash_endpoints_most(struct crash_endpoints *endpoints, int endpoint,
			 gint64 since_ms, int window_ms);

#endif
