/**
 * @file
 * Whether an entry VM itself has lost its links to all endpoints.
 *
 * An entry sees an endpoint through its own connections only, where the loss of
 * a link looks like the loss of the endpoint. But all links fail at once, and
 * many endpoints seldom do. So the module collects what all attempts show. If
 * it looks as if no endpoint can be reached, its user opens a few fresh
 * connections, as probes, and their outcome decides. While the links are down,
 * probes go on; once these succeed, single requests are sent as trials before
 * the links count as up again.
 *
 * The module does no I/O and takes the time as an argument. An instance must be
 * used from one thread only. Endpoints are named by numbers other than 0.
 */
#ifndef RADISHDEAL_LINKS_H
#define RADISHDEAL_LINKS_H

#include <stdbool.h>
#include <stdint.h>

struct links;

enum links_state {
	LINKS_UP,
	LINKS_DOWN,  /* no endpoint can be reached */
	LINKS_TRIED, /* probes succeed; a request has to show that all is well
		      */
};

struct links *links_create(int64_t now_ms);
void links_destroy(struct links *links);

/** A request was given to a connection to the endpoint. */
void links_sent(struct links *links, int64_t now_ms, uint64_t endpoint);

/** Bytes of a response came, other than its head. */
void links_heard(struct links *links, int64_t now_ms, uint64_t endpoint);

/**
 * The head of a response came. `fresh`: on a connection that no earlier request
 * had used.
 */
void links_answered(struct links *links, int64_t now_ms, uint64_t endpoint,
		    bool fresh);

/** The endpoint's connection could not be opened, or broke. */
void links_failed(struct links *links, int64_t now_ms, uint64_t endpoint);

/** A request that was sent has ended, or is given up. After links_failed(). */
void links_ended(struct links *links, uint64_t endpoint);

/** This process did not run for a while, so its silences say nothing. */
void links_paused(struct links *links, int64_t now_ms);

/** What the attempts of now show; for the log and for tests. */
struct links_evidence {
	int64_t silent_ms; /* of all endpoints with requests; 0 without any */
	int64_t usual_ms;  /* the longest silence that is usual */
	uint32_t waiting;  /* endpoints with requests */
	uint32_t silent;   /* of them, those silent for as long as is unusual */
	uint32_t failed;   /* endpoints that failed since one was reached */
};

void links_get_evidence(const struct links *links, int64_t now_ms,
			struct links_evidence *out);

/**
 * Whether probes should be sent now. If so a round of them has begun, which
 * links_probed() ends. `usable` is the number of endpoints to choose from.
 */
bool links_probe_due(struct links *links, int64_t now_ms, uint32_t usable);

/**
 * Ends a round of probes; `reached` of `probes` were accepted. 0 `probes`: the
 * round says nothing.
 */
void links_probed(struct links *links, int64_t now_ms, uint32_t probes,
		  uint32_t reached);

/** Applies the limits on time. Call it every few ms. */
void links_tick(struct links *links, int64_t now_ms, uint32_t usable);

enum links_state links_state(const struct links *links);

/**
 * Whether links_state() may soon be LINKS_DOWN: a round of probes is open, or
 * its reason has just come up.
 */
bool links_in_doubt(const struct links *links, int64_t now_ms);

/**
 * Whether a request may be sent to an endpoint: the links are up, or none is
 * out as a trial. `repeatable` requests only can be trials.
 */
bool links_allow(const struct links *links, bool repeatable);

/** Returns the name of a state for the log. */
const char *links_state_name(enum links_state state);

#endif
