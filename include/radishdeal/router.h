/**
 * @file
 * Choice of a replica for a request, and the accounts of what was sent where.
 *
 * A decision core: time and random numbers come in as arguments, nothing is
 * read or sent. One thread owns an instance. How candidates are compared is a
 * policy, a struct of callbacks; the baselines use the same one.
 */
#ifndef RADISHDEAL_ROUTER_H
#define RADISHDEAL_ROUTER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#define ROUTER_PREFIX_MAX 64

/** A request as far as its routing goes. */
struct router_request {
	uint32_t prompt_tokens; /* estimated */
	uint32_t output_tokens; /* estimated, or the caller's limit */
	uint32_t prefix_count;
	uint64_t prefix[ROUTER_PREFIX_MAX]; /* chained hashes of the prompt */
	uint32_t prefix_tokens;		    /* tokens in each part */
	uint32_t avoid_count;
	uint32_t avoid[4];	 /* replicas that failed it before */
	bool no_pending_prefill; /* only where nothing of this entry is unread
				  */
};

/** A replica as the router sees it. */
struct router_replica {
	uint32_t id;
	uint64_t epoch;
	uint32_t slots;
	char address[64];	  /* of the head VM */
	int64_t fresh_until_ms;	  /* 0: not usable */
	const char *fault;	  /* word for why not, if so */
	int64_t suspect_until_ms; /* it failed; 0, or until this or new evidence
				   */
	int64_t last_activity_ms; /* last bytes of an answer, or sent to when
				     idle */

	int64_t last_response_ms;    /* last bytes of an answer */
	uint32_t outstanding;	     /* own requests there */
	uint64_t outstanding_tokens; /* estimated tokens they still need */
	uint32_t pending_prefills;   /* of them, without a first event yet */
	uint64_t pending_prefill_tokens; /* of their prompts */
	uint32_t other_requests;  /* requests of other entries, by reports */
	double step_us;		  /* time of a decoding step, smoothed */
	double prefill_us;	  /* time to read one prompt token, smoothed */
	int64_t probed_ms;	  /* when a straggler was last tried */
	int64_t step_measured_ms; /* when step_us was last measured */

	GHashTable *prefixes; /* hash -> last use */
	GQueue prefix_order;  /* hashes, least recent first */
};

/** How to compare candidates. */
struct router_policy {
	const char *name;
	/** Cost of one candidate; the least wins. */
	double (*cost)(void *ctx, const struct router_replica *replica,
		       const struct router_request *request);
	/** How many random candidates are compared; 0 for all. */
	uint32_t sample;
	/** Whether the replica with the longest cached prefix is compared too.
	 */
	bool with_prefix_holder;
	void *ctx;
};

extern const struct router_policy router_policy_cost;

/**
 * Cost where the engine's figures are known: expected time in ms to the first
 * event. `ctx` is the struct engine_spec.
 */
double router_ttft_ms(void *ctx, const struct router_replica *replica,
		      const struct router_request *request);

struct router;

struct router_opts {
	uint32_t seed;
	uint32_t entry;	     /* this node, for its share of the replicas */
	uint32_t subset;     /* how many replicas one entry uses; 0 for all */
	uint32_t prefix_max; /* hashes remembered per replica */
	const struct router_policy *policy; /* NULL for router_policy_cost */
};

struct router *router_create(const struct router_opts *opts);
void router_destroy(struct router *router);

/** Adds or updates a replica; a new epoch forgets what the old one held. */
void router_put(struct router *router, uint32_t id, uint64_t epoch,
		uint32_t slots, const char *address);

/** Removes a replica; its requests in flight are forgotten. */
void router_remove(struct router *router, uint32_t id);

/** Says until when a replica's evidence serves, or why it does not. */
void router_set_health(struct router *router, uint32_t id,
		       int64_t fresh_until_ms, const char *fault);

/**
 * Marks a replica that failed. Nothing is sent there for a while, unless
 * router_clear_suspect() tells earlier that it is well.
 */
void router_suspect(struct router *router, uint32_t id, int64_t now_ms);
void router_clear_suspect(struct router *router, uint32_t id);

/** Takes a lagging load report: running and waiting in all, step time. */
void router_set_load(struct router *router, uint32_t id, uint32_t total,
		     uint32_t step_us);

/**
 * Takes what all other entries have at a replica under an epoch; an older
 * epoch's word says nothing.
 */
void router_set_other_requests(struct router *router, uint32_t id,
			       uint64_t epoch, uint32_t requests);

/** Takes cache events: hashes now held, or no longer held. */
void router_update_cache(struct router *router, uint32_t id,
			 const uint64_t *stored, uint32_t stored_count,
			 const uint64_t *dropped, uint32_t dropped_count);

/** Forgets what a replica's cache holds, after a gap in its events. */
void router_cache_reset(struct router *router, uint32_t id);

/** Why candidates were left out, for the log. */
struct router_choice {
	uint32_t replica; /* 0 if there is none */
	uint64_t epoch;
	const char *address; /* borrowed until the next change */
	double cost_ms;
	uint32_t present; /* requests there, as far as is known */
	uint32_t cached_tokens;
	uint32_t candidates;
	uint32_t stale, suspects, full, avoided,
		stragglers; /* full or unread */
	char excluded[64];  /* id and fault of one candidate left out */
};

/** Any replica, also one whose slots are all taken. */
#define ROUTER_FILL_UNLIMITED 0u
/** A replica with a free slot. */
#define ROUTER_FILL_FREE_SLOT 1000u

/**
 * Chooses. Replicas with `max_fill_permille` of their slots taken are left out.
 * Nothing is counted until router_sent().
 */
void router_choose(struct router *router, int64_t now_ms,
		   uint32_t max_fill_permille,
		   const struct router_request *request,
		   struct router_choice *choice);

/** Counts a request as sent. */
void router_sent(struct router *router, uint32_t id, int64_t now_ms,
		 const struct router_request *request);

/** Counts a request's prompt as read: its first event came, or never will. */
void router_prefill_done(struct router *router, uint32_t id, uint64_t epoch,
			 uint32_t prompt_tokens);

/** Notes that bytes of some answer came. */
void router_response_activity(struct router *router, uint32_t id,
			      int64_t now_ms);

/** Takes tokens off what is still expected. */
void router_progress(struct router *router, uint32_t id, uint32_t tokens);

/** Counts a request as ended; `left` is what was still expected of it. */
void router_done(struct router *router, uint32_t id, uint64_t epoch,
		 uint32_t left);

/** Learns the pace of a replica from one stream. */
void router_add_step_sample(struct router *router, uint32_t id, int64_t now_ms,
			    uint32_t tokens, int64_t elapsed_us);

/** Learns the time to first token beyond queueing. */
void router_add_prefill_sample(struct router *router, uint32_t id,
			       uint32_t tokens, int64_t elapsed_us);

/** Time that a request takes once begun, by the usual pace here. */
int64_t router_expected_service_ms(const struct router *router,
				   const struct router_request *request);

const struct router_replica *router_find(const struct router *router,
					 uint32_t id);

/** Free slots over the usable replicas of this entry, and slots in all. */
void router_capacity(const struct router *router, int64_t now_ms,
		     uint32_t *free_slots, uint32_t *slots);

/** How many late requests one entry may have unread at all replicas. */
uint32_t router_overdue_limit(const struct router *router, int64_t now_ms,
			      uint32_t entries);

/** Visits all replicas by number. */
void router_each(const struct router *router,
		 void (*visit)(void *ctx, const struct router_replica *r),
		 void *ctx);

#endif
