/**
 * @file
 * An endpoint whose answers are garbled in ways that its seed draws: second
 * answers, broken heads, framings and bodies, statuses that don't exist. It
 * writes bytes on raw sockets and records for each request what it ran and
 * which answers it gave.
 */
#ifndef TEST_GARBLED_ENDPOINT_H
#define TEST_GARBLED_ENDPOINT_H

#include <stdbool.h>

#include <glib.h>

#define GARBLED_ENDPOINTS 3
/** Requests whose ids begin with this get whole answers. */
#define GARBLED_SOUND_PREFIX "sound"

/** One answer that the endpoint gave, or began to give. */
struct garbled_answer {
	const char *kind; /* of what is wrong with it */
	bool executed;	  /* the request ran for this answer */
	bool whole;	  /* it may be taken for a whole answer */
	bool sound;	  /* nothing is wrong, nor was on its connection */
	int status;
	char *seal;
	GString *body;
	GString *bytes; /* as written */
};

/** A caller's request, and all that the endpoint did for it. */
struct garbled_subject {
	char *id, *method, *path, *body;
	bool stream;
	int first_event, last_event;
	GPtrArray *answers; /* of struct garbled_answer */
	bool done;	    /* the caller has its answer */
	bool changed;	    /* it arrived with other bytes than were sent */
};

struct garbled_endpoint;

/** Listens on `HOST.9` to `HOST.11`, at one port that the kernel chooses. */
struct garbled_endpoint *garbled_endpoint_start(const char *network);
void garbled_endpoint_stop(struct garbled_endpoint *endpoint);
int garbled_endpoint_port(const struct garbled_endpoint *endpoint);

/**
 * Adds a request that a caller is about to send. A stream's events are
 * `first_event` to `last_event`.
 */
struct garbled_subject *garbled_endpoint_expect(
	struct garbled_endpoint *endpoint,
	const struct garbled_subject *subject);

/**
 * From now on, only answers of this kind are given; NULL for all kinds. Closes
 * all connections, on which second answers may be due.
 */
void garbled_endpoint_limit(struct garbled_endpoint *endpoint,
			    const char *kind);

/** Says that a caller has its answer; second answers may now come. */
void garbled_endpoint_done(struct garbled_endpoint *endpoint,
			   struct garbled_subject *subject);

/** Requests that arrived and that no caller sent. */
int garbled_endpoint_unknown(struct garbled_endpoint *endpoint);

/** Appends the events of a stream from one number to another. */
void garbled_append_events(GString *out, const char *id, int from, int to);

#endif
