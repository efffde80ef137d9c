/**
 * @file
 * Load balancing: chooses a replica for a request and tracks the requests that
 * were sent to each replica.
 *
 * Clients send their requests to entry VMs, "entries" below. Each entry routes
 * independently and uses a subset of the replicas.
 *
 * The module does no I/O; the time is an argument, and the random seed an
 * option. An instance must be used from one thread only. A policy (a struct of
 * callbacks) compares the candidates; the baselines in bench/ implement it too.
 */
#ifndef RADISHDEAL_ROUTER_H
#define RADISHDEAL_ROUTER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include <radishdeal/request_limits.h>

#define ROUTER_PREFIX_MAX 64

/** The properties of a request that matter for its routing. */
struct router_request {
	uint32_t prompt_tokens; /* estimated */
	uint32_t output_tokens; /* estimated, or the client's limit */
	uint32_t prefix_count;
	uint64_t prefix[ROUTER_PREFIX_MAX]; /* see prefix_hash() */
	uint32_t prefix_tokens;		    /* tokens in each prefix block */
	uint32_t avoid_count;
	uint32_t avoid[4];	 /* replicas where it has failed before */
	bool no_pending_prefill; /* only replicas without pending prefills of
				  * this entry */
};

/** Why a replica is suspect. */
enum suspicion {
	SUSPECT_UNREACHABLE, /* it didn't take a request */
	SUSPECT_STALLED,     /* it sends nothing of any response */
	SUSPECT_FAULTY,	     /* it answers badly */
};

/** State of a replica in the router. */
struct router_replica {
	uint32_t id;
	uint64_t epoch;
	uint32_t slots;
	char address[64];	     /* of the head VM */
	uint64_t endpoint;	     /* names the head VM in limits; 0: none */
	int64_t fresh_until_ms;	     /* expiry of its health; 0: unhealthy */
	const char *fault;	     /* name of the fault if unhealthy */
	int64_t suspect_until_ms;    /* a request failed there: not used until
				      * then, or until cleared; 0 if not */
	int64_t suspected_ms;	     /* when it was last marked so; 0: never */
	enum suspicion suspicion;    /* until `suspect_until_ms` */
	int64_t last_activity_ms;    /* last progress, or last request sent
				      * while it was idle */
	int64_t last_response_ms;    /* last progress */
	uint32_t outstanding;	     /* requests of this entry */
	uint64_t outstanding_tokens; /* estimate of their remaining output */
	uint32_t pending_prefills;   /* of them, without a first event yet */
	uint64_t pending_prefill_tokens; /* of their prompts */
	uint32_t other_requests;	 /* of other entries, as reported */
	double step_us;		  /* duration of a decode step, smoothed */
	double prefill_us;	  /* prefill time per token, smoothed */
	int64_t probed_ms;	  /* last probe while a straggler */
	int64_t step_measured_ms; /* last sample of step_us; 0: none */

	GHashTable *prefixes; /* hash -> its link in prefix_order */
	GQueue prefix_order;  /* hashes, least recently used first */
};

/** Compares candidates. */
struct router_policy {
	const char *name;
	/** Returns the cost of a candidate; the least cost wins. */
	double (*cost)(void *ctx, const struct router_replica *replica,
		       const struct router_request *request);
	/** Number of random candidates to compare; 0: all. */
	uint32_t sample;
	/** Whether to add the longest cached prefix's replica to the sample. */
	bool with_prefix_holder;
	void *ctx;
};

/** The default: estimated time in ms until the response is complete. */
extern const struct router_policy router_policy_cost;

/**
 * Cost function for engines with known timings: expected time to the first
 * event in ms. `ctx` is the struct engine_spec.
 */
double router_ttft_ms(void *ctx, const struct router_replica *replica,
		      const struct router_request *request);

struct router;

struct router_opts {
	uint32_t seed;
	uint32_t entry;	     /* this node, which determines its subset */
	uint32_t subset;     /* replicas that one entry uses; 0: all */
	uint32_t prefix_max; /* hashes stored per replica */
	const struct router_policy *policy; /* NULL: router_policy_cost */
	/** Of all routers of this entry; not owned. NULL: none. */
	struct request_limits *limits;
};

struct router *router_create(const struct router_opts *opts);
void router_destroy(struct router *router);

/** Adds or updates a replica. A new epoch resets health, counts and cache. */
void router_put(struct router *router, uint32_t id, uint64_t epoch,
		uint32_t slots, const char *address);

/** Sets the endpoint whose request limit applies to a replica. */
void router_set_endpoint(struct router *router, uint32_t id, uint64_t endpoint);

/** Removes a replica and the counts of its requests in flight. */
void router_remove(struct router *router, uint32_t id);

/**
 * Sets until when a replica counts as healthy; 0 if it is not. `fault` is the
 * name of its fault, a static string.
 */
void router_set_health(struct router *router, uint32_t id,
		       int64_t fresh_until_ms, const char *fault);

/**
 * Marks a replica as suspect. It is excluded for a fixed time, or until
 * evidence against this suspicion; a lesser one doesn't replace a graver one.
 */
void router_suspect(struct router *router, uint32_t id, int64_t now_ms,
		    enum suspicion why);

/**
 * Its head VM has reported: ends the suspicion that it is unreachable. A report
 * tells nothing of its answers.
 */
void router_heard(struct router *router, uint32_t id);

/**
 * Applies a replica's load report, which may be outdated. `total` is the number
 * of its requests running and waiting. `step_us` is the duration of a decode
 * step, 0 if unknown; it is ignored while this entry has requests there, and
 * once it has measured the duration itself.
 */
void router_set_load(struct router *router, uint32_t id, uint32_t total,
		     uint32_t step_us);

/**
 * Sets the number of requests that all other entries have at a replica. A
 * report for another epoch than the current one is ignored.
 */
void router_set_other_requests(struct router *router, uint32_t id,
			       uint64_t epoch, uint32_t requests);

/** Applies cache events: the hashes that were stored and evicted. */
void router_update_cache(struct router *router, uint32_t id,
			 const uint64_t *stored, uint32_t stored_count,
			 const uint64_t *evicted, uint32_t evicted_count);

/** Clears the known cache contents of a replica, after a gap in its events. */
void router_cache_reset(struct router *router, uint32_t id);

/** Result of a choice, and why candidates were excluded, for the log. */
struct router_choice {
	uint32_t replica; /* 0: none */
	uint64_t epoch;
	const char *address; /* valid until the next change of the router */
	uint64_t endpoint;
	double cost_ms;
	uint32_t in_flight; /* known requests at the replica */
	uint32_t cached_tokens;
	uint32_t candidates;
	/* Excluded by reason; `full` includes those with pending prefills. */
	uint32_t stale, suspects, full, avoided, stragglers, limited;
	char excluded[64]; /* "id:reason" of the first one excluded */
};

/** Any replica, even one without a free slot. */
#define ROUTER_FILL_UNLIMITED 0u
/** Only replicas with a free slot. */
#define ROUTER_FILL_FREE_SLOT 1000u

/**
 * Chooses a replica for a request. Replicas with `max_fill_permille` or more of
 * their slots in use are excluded. The request is not counted until
 * router_sent().
 */
void router_choose(struct router *router, int64_t now_ms,
		   uint32_t max_fill_permille,
		   const struct router_request *request,
		   struct router_choice *choice);

/** Counts a request as sent to a replica. */
void router_sent(struct router *router, uint32_t id, int64_t now_ms,
		 const struct router_request *request);

/**
 * Ends a pending prefill, on the first event of the response or on its failure.
 */
void router_prefill_done(struct router *router, uint32_t id, uint64_t epoch,
			 uint32_t prompt_tokens);

/**
 * Records progress of a response from a replica: an event of a stream, or bytes
 * of another response.
 */
void router_response_activity(struct router *router, uint32_t id,
			      int64_t now_ms);

/** Subtracts generated tokens from a replica's outstanding tokens. */
void router_progress(struct router *router, uint32_t id, uint32_t tokens);

/** Ends a request; `left` is the part of its tokens still outstanding. */
void router_done(struct router *router, uint32_t id, uint64_t epoch,
		 uint32_t left);

/** Adds a sample of the decode step duration, from one stream. */
void router_add_step_sample(struct router *router, uint32_t id, int64_t now_ms,
			    uint32_t tokens, int64_t elapsed_us);

/** Adds a sample of the prefill time: `elapsed_us` for a whole prompt. */
void router_add_prefill_sample(struct router *router, uint32_t id,
			       uint32_t tokens, int64_t elapsed_us);

/** Returns the typical duration in ms of a request once it is dispatched. */
int64_t router_expected_service_ms(const struct router *router,
				   const struct router_request *request);

/** Returns a replica by id, or NULL. */
const struct router_replica *router_find(const struct router *router,
					 uint32_t id);

/** Counts the free slots and all slots of the replicas that are usable. */
void router_capacity(const struct router *router, int64_t now_ms,
		     uint32_t *free_slots, uint32_t *slots);

/**
 * Returns the maximum number of overdue requests, over all replicas, that one
 * entry may have awaiting their first event. `entries` is the number of entries
 * that share the limit.
 */
uint32_t router_overdue_limit(const struct router *router, int64_t now_ms,
			      uint32_t entries);

/** Calls `visit` for every replica, in the order in which they were added. */
void router_each(const struct router *router,
		 void (*visit)(void *ctx, const struct router_replica *r),
		 void *ctx);

#endif
