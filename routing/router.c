#include <string.h>

#include <xxhash.h>

#include <radishdeal/router.h>

#define DEFAULT_STEP_US 20000.0
#define DEFAULT_PREFILL_US 100.0
#define SMOOTHING 0.2
/* Ratio to the median step duration above which a replica is a straggler. */
#define STRAGGLER_RATIO 2.0
/* Interval of the requests sent to a straggler to detect its recovery. */
#define PROBE_MS 1000
/* At most one replica in this many is excluded as a straggler. */
#define STRAGGLER_SHARE 4
#define MEDIAN_MAX 256
#define SAMPLE 2
#define SUSPECT_MS 2000
/* Overdue requests per replica awaiting their first event, of all entries. */
#define OVERDUE_PENDING_PREFILLS 4u

struct router {
	struct router_opts opts;
	const struct router_policy *policy;
	GRand *random;
	GPtrArray *replicas; /* of struct router_replica, as added */
	GHashTable *by_id;
	GPtrArray *subset; /* the replicas that this entry uses */
	bool subset_stale;
	double median_step_us;
	bool median_stale;
};

static void replica_free(gpointer data)
{
	struct router_replica *r = data;

	g_hash_table_unref(r->prefixes);
	g_queue_clear_full(&r->prefix_order, g_free);
	g_free(r);
}

struct router *router_create(const struct router_opts *opts)
{
	struct router *router = g_new0(struct router, 1);

	router->opts = *opts;
	router->policy = opts->policy ? opts->policy : &router_policy_cost;
	router->random = g_rand_new_with_seed(opts->seed);
	router->replicas = g_ptr_array_new_with_free_func(replica_free);
	router->by_id = g_hash_table_new(NULL, NULL);
	router->subset = g_ptr_array_new();
	router->median_step_us = DEFAULT_STEP_US;
	return router;
}

void router_destroy(struct router *router)
{
	if (!router)
		return;
	g_rand_free(router->random);
	g_ptr_array_unref(router->subset);
	g_hash_table_unref(router->by_id);
	g_ptr_array_unref(router->replicas);
	g_free(router);
}

static struct router_replica *find_replica(const struct router *router,
					   uint32_t id)
{
	return g_hash_table_lookup(router->by_id, GUINT_TO_POINTER(id));
}

const struct router_replica *router_find(const struct router *router,
					 uint32_t id)
{
	return find_replica(router, id);
}

/* ---- replicas ---- */

static void clear_prefixes(struct router_replica *r)
{
	g_hash_table_remove_all(r->prefixes);
	g_queue_clear_full(&r->prefix_order, g_free);
}

static void start_epoch(struct router_replica *r, uint64_t epoch)
{
	r->epoch = epoch;
	r->outstanding = 0;
	r->outstanding_tokens = 0;
	r->last_response_ms = 0;
	r->pending_prefills = 0;
	r->pending_prefill_tokens = 0;
	r->other_requests = 0;
	r->step_us = DEFAULT_STEP_US;
	r->step_measured_ms = 0;
	r->prefill_us = DEFAULT_PREFILL_US;
	r->fresh_until_ms = 0;
	r->fault = "no-evidence";
	r->suspected_ms = 0;
	r->suspect_until_ms = 0;
	clear_prefixes(r);
}

void router_put(struct router *router, uint32_t id, uint64_t epoch,
		uint32_t slots, const char *address)
{
	struct router_replica *r = find_replica(router, id);

	if (!r) {
		r = g_new0(struct router_replica, 1);
		r->id = id;
		r->prefixes = g_hash_table_new(g_int64_hash, g_int64_equal);
		g_queue_init(&r->prefix_order);
		g_ptr_array_add(router->replicas, r);
		g_hash_table_insert(router->by_id, GUINT_TO_POINTER(id), r);
		router->subset_stale = true;
	}
	if (r->epoch != epoch) {
		start_epoch(r, epoch);
		router->median_stale = true;
	}
	r->slots = slots;
	g_strlcpy(r->address, address, sizeof(r->address));
}

void router_set_endpoint(struct router *router, uint32_t id, uint64_t endpoint)
{
	struct router_replica *r = find_replica(router, id);

	if (r)
		r->endpoint = endpoint;
}

void router_remove(struct router *router, uint32_t id)
{
	struct router_replica *r = find_replica(router, id);

	if (!r)
		return;
	g_hash_table_remove(router->by_id, GUINT_TO_POINTER(id));
	g_ptr_array_remove(router->replicas, r);
	router->subset_stale = true;
	router->median_stale = true;
}

void router_set_health(struct router *router, uint32_t id,
		       int64_t fresh_until_ms, const char *fault)
{
	struct router_replica *r = find_replica(router, id);

	if (!r)
		return;
	r->fresh_until_ms = fresh_until_ms;
	r->fault = fault;
}

void router_suspect(struct router *router, uint32_t id, int64_t now_ms,
		    enum suspicion why)
{
	struct router_replica *r = find_replica(router, id);

	if (!r)
		return;
	r->suspected_ms = now_ms;
	if (now_ms < r->suspect_until_ms && why < r->suspicion)
		return;
	r->suspicion = why;
	r->suspect_until_ms = now_ms + SUSPECT_MS;
}

void router_heard(struct router *router, uint32_t id)
{
	struct router_replica *r = find_replica(router, id);

	if (r && r->suspicion == SUSPECT_UNREACHABLE)
		r->suspect_until_ms = 0;
}

void router_response_activity(struct router *router, uint32_t id,
			      int64_t now_ms)
{
	struct router_replica *r = find_replica(router, id);

	if (!r)
		return;
	r->last_activity_ms = now_ms;
	r->last_response_ms = now_ms;
	if (r->suspicion == SUSPECT_STALLED)
		r->suspect_until_ms = 0;
}

/* ---- subset of this entry ---- */

struct ranked {
	uint64_t rank;
	struct router_replica *replica;
};

static gint compare_ranks(gconstpointer a, gconstpointer b)
{
	const struct ranked *x = a, *y = b;

	return x->rank < y->rank ? -1 : x->rank > y->rank;
}

/*
 * Rendezvous hashing: when a replica is removed, only the entries that used it
 * change their subset.
 */
static void choose_subset(struct router *router)
{
	guint n = router->replicas->len;
	guint keep = router->opts.subset ? MIN(router->opts.subset, n) : n;
	struct ranked *ranks = g_new(struct ranked, n + 1);

	for (guint i = 0; i < n; i++) {
		struct router_replica *r = router->replicas->pdata[i];
		uint32_t pair[2] = { router->opts.entry, r->id };

		ranks[i].rank = XXH64(pair, sizeof(pair), 0);
		ranks[i].replica = r;
	}
	qsort(ranks, n, sizeof(ranks[0]), compare_ranks);
	g_ptr_array_set_size(router->subset, 0);
	for (guint i = 0; i < keep; i++)
		g_ptr_array_add(router->subset, ranks[i].replica);
	g_free(ranks);
	router->subset_stale = false;
}

/* ---- reports of replicas ---- */

void router_set_load(struct router *router, uint32_t id, uint32_t total,
		     uint32_t step_us)
{
	struct router_replica *r = find_replica(router, id);

	if (!r)
		return;
	r->other_requests = total > r->outstanding ? total - r->outstanding : 0;
	/* This entry's own measurements are more recent than reports. */
	if (step_us && !r->outstanding && !r->step_measured_ms)
		r->step_us = step_us;
}

void router_set_other_requests(struct router *router, uint32_t id,
			       uint64_t epoch, uint32_t requests)
{
	struct router_replica *r = find_replica(router, id);

	if (r && r->epoch == epoch)
		r->other_requests = requests;
}

static void store_prefix(struct router *router, struct router_replica *r,
			 uint64_t hash)
{
	GList *link = g_hash_table_lookup(r->prefixes, &hash);
	uint64_t *kept;

	if (link) {
		g_queue_unlink(&r->prefix_order, link);
		g_queue_push_tail_link(&r->prefix_order, link);
		return;
	}
	if (!router->opts.prefix_max)
		return;
	if (r->prefix_order.length >= router->opts.prefix_max) {
		uint64_t *oldest = g_queue_pop_head(&r->prefix_order);

		g_hash_table_remove(r->prefixes, oldest);
		g_free(oldest);
	}
	kept = g_memdup2(&hash, sizeof(hash));
	g_queue_push_tail(&r->prefix_order, kept);
	g_hash_table_insert(r->prefixes, kept, r->prefix_order.tail);
}

static void evict_prefix(struct router_replica *r, uint64_t hash)
{
	GList *link = g_hash_table_lookup(r->prefixes, &hash);

	if (!link)
		return;
	g_hash_table_remove(r->prefixes, &hash);
	g_free(link->data);
	g_queue_delete_link(&r->prefix_order, link);
}

void router_update_cache(struct router *router, uint32_t id,
			 const uint64_t *stored, uint32_t stored_count,
			 const uint64_t *evicted, uint32_t evicted_count)
{
	struct router_replica *r = find_replica(router, id);

	if (!r)
		return;
	for (uint32_t i = 0; i < evicted_count; i++)
		evict_prefix(r, evicted[i]);
	for (uint32_t i = 0; i < stored_count; i++)
		store_prefix(router, r, stored[i]);
}

void router_cache_reset(struct router *router, uint32_t id)
{
	struct router_replica *r = find_replica(router, id);

	if (r)
		clear_prefixes(r);
}

static uint32_t cached_tokens(const struct router_replica *r,
			      const struct router_request *request)
{
	uint32_t parts = 0;

	while (parts < request->prefix_count &&
	       g_hash_table_contains(r->prefixes, &request->prefix[parts]))
		parts++;
	return MIN(parts * request->prefix_tokens, request->prompt_tokens);
}

/* ---- cost: estimated time in ms until the response is complete ---- */

static double cost_ms(void *ctx, const struct router_replica *r,
		      const struct router_request *request)
{
	uint32_t in_flight = r->outstanding + r->other_requests;
	uint32_t cached = cached_tokens(r, request);
	double prefill = (request->prompt_tokens - cached) * r->prefill_us;
	double decode = request->output_tokens * r->step_us;
	double queue = 0;

	(void)ctx;
	if (in_flight >= r->slots) {
		double mean = r->outstanding ? (double)r->outstanding_tokens /
						       r->outstanding
					     : request->output_tokens;

		queue = (in_flight - r->slots + 1) * mean * r->step_us /
			r->slots;
	}
	/* Larger batches decode slower; this also favours emptier replicas. */
	return (queue + prefill + decode * (1 + (double)in_flight / r->slots)) /
	       1000;
}

const struct router_policy router_policy_cost = {
	.name = "cost",
	.cost = cost_ms,
	/*
	 * Entries receive the counts of each other's requests with a delay. If
	 * all chose the best of all replicas, they would choose the same one;
	 * the best of a few random ones differs between them.
	 */
	.sample = SAMPLE,
	.with_prefix_holder = true,
};

/* ---- stragglers ---- */

static gint compare_doubles(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static void update_median(struct router *router)
{
	double steps[MEDIAN_MAX];
	guint n = 0;

	for (guint i = 0; i < router->subset->len && n < MEDIAN_MAX; i++) {
		const struct router_replica *r = router->subset->pdata[i];

		if (r->step_measured_ms)
			steps[n++] = r->step_us;
	}
	qsort(steps, n, sizeof(steps[0]), compare_doubles);
	router->median_step_us = n ? steps[n / 2] : DEFAULT_STEP_US;
	router->median_stale = false;
}

static bool is_straggler(const struct router *router,
			 const struct router_replica *r)
{
	return r->step_measured_ms &&
	       r->step_us > STRAGGLER_RATIO * router->median_step_us;
}

/* ---- choice ---- */

static bool is_avoided(const struct router_request *request, uint32_t id)
{
	for (uint32_t i = 0; i < request->avoid_count; i++)
		if (request->avoid[i] == id)
			return true;
	return false;
}

static void exclude(struct router_choice *choice,
		    const struct router_replica *r, uint32_t *count,
		    const char *why)
{
	(*count)++;
	if (!*choice->excluded)
		g_snprintf(choice->excluded, sizeof(choice->excluded), "%u:%s",
			   r->id, why);
}

static bool is_full(const struct router_replica *r, uint32_t max_fill_permille)
{
	uint64_t in_flight = (uint64_t)r->outstanding + r->other_requests;

	return max_fill_permille &&
	       in_flight * ROUTER_FILL_FREE_SLOT >=
		       (uint64_t)r->slots * max_fill_permille;
}

/* Whether the endpoint has asked this entry for rest. */
static bool is_resting(const struct router *router,
		       const struct router_replica *r, int64_t now_ms)
{
	return router->opts.limits && r->endpoint &&
	       request_limits_rest_ms(router->opts.limits, now_ms, r->endpoint);
}

/* Whether the endpoint's limit leaves no request to this entry now. */
static bool is_limited(const struct router *router,
		       const struct router_replica *r, int64_t now_ms)
{
	return router->opts.limits && r->endpoint &&
	       !request_limits_allow(router->opts.limits, now_ms, r->endpoint);
}

static bool is_candidate(const struct router *router,
			 const struct router_replica *r, int64_t now_ms,
			 uint32_t max_fill_permille,
			 const struct router_request *request,
			 struct router_choice *choice)
{
	if (now_ms >= r->fresh_until_ms)
		exclude(choice, r, &choice->stale,
			r->fresh_until_ms ? "stale" : r->fault);
	else if (now_ms < r->suspect_until_ms)
		exclude(choice, r, &choice->suspects, "suspect");
	else if (is_avoided(request, r->id))
		exclude(choice, r, &choice->avoided, "failed-before");
	else if (is_full(r, max_fill_permille) ||
		 (request->no_pending_prefill && r->pending_prefills))
		exclude(choice, r, &choice->full, "full");
	else if (is_resting(router, r, now_ms))
		exclude(choice, r, &choice->limited, "resting");
	else if (is_limited(router, r, now_ms))
		exclude(choice, r, &choice->limited, "limited");
	else
		return true;
	return false;
}

struct best {
	struct router_replica *replica;
	double cost;
	uint32_t ties;
};

static void compare_candidate(struct router *router, struct best *best,
			      struct router_replica *r,
			      const struct router_request *request)
{
	double cost = router->policy->cost(router->policy->ctx, r, request);

	if (best->replica && cost > best->cost)
		return;
	/* Random, so that entries do not all choose the same replica. */
	if (best->replica && cost == best->cost) {
		best->ties++;
		if (g_rand_int_range(router->random, 0, (gint32)best->ties + 1))
			return;
	} else {
		best->ties = 0;
	}
	best->replica = r;
	best->cost = cost;
}

static void collect_candidates(struct router *router, int64_t now_ms,
			       uint32_t max_fill_permille,
			       const struct router_request *request,
			       struct router_choice *choice,
			       GPtrArray *candidates)
{
	for (guint i = 0; i < router->subset->len; i++) {
		struct router_replica *r = router->subset->pdata[i];

		if (is_candidate(router, r, now_ms, max_fill_permille, request,
				 choice))
			g_ptr_array_add(candidates, r);
	}
	choice->candidates = candidates->len;
}

/*
 * Removes stragglers from the candidates, at most one in STRAGGLER_SHARE, so
 * never the last candidate. Returns a straggler that is due for a probe.
 */
static struct router_replica *remove_stragglers(struct router *router,
						int64_t now_ms,
						GPtrArray *candidates,
						struct router_choice *choice)
{
	guint allowed = candidates->len / STRAGGLER_SHARE;

	for (guint i = candidates->len; i > 0 && choice->stragglers < allowed;
	     i--) {
		struct router_replica *r = candidates->pdata[i - 1];

		if (!is_straggler(router, r))
			continue;
		if (now_ms - MAX(r->probed_ms, r->step_measured_ms) >=
		    PROBE_MS) {
			r->probed_ms = now_ms;
			return r;
		}
		exclude(choice, r, &choice->stragglers, "straggler");
		g_ptr_array_remove_index_fast(candidates, i - 1);
	}
	return NULL;
}

static struct router_replica *find_prefix_holder(
	GPtrArray *candidates, const struct router_request *request)
{
	struct router_replica *holder = NULL;
	uint32_t most = 0;

	for (guint i = 0; request->prefix_count && i < candidates->len; i++) {
		uint32_t cached = cached_tokens(candidates->pdata[i], request);

		if (cached > most) {
			most = cached;
			holder = candidates->pdata[i];
		}
	}
	return holder;
}

static struct router_replica *choose_best(struct router *router,
					  GPtrArray *candidates,
					  const struct router_request *request,
					  double *cost)
{
	uint32_t sample = router->policy->sample;
	struct best best = { 0 };

	if (!sample || sample >= candidates->len) {
		for (guint i = 0; i < candidates->len; i++)
			compare_candidate(router, &best, candidates->pdata[i],
					  request);
	} else {
		for (uint32_t i = 0; i < sample; i++) {
			gint32 at = g_rand_int_range(router->random, 0,
						     (gint32)candidates->len);

			compare_candidate(router, &best, candidates->pdata[at],
					  request);
		}
		if (router->policy->with_prefix_holder) {
			struct router_replica *holder =
				find_prefix_holder(candidates, request);

			if (holder && holder != best.replica)
				compare_candidate(router, &best, holder,
						  request);
		}
	}
	*cost = best.cost;
	return best.replica;
}

void router_choose(struct router *router, int64_t now_ms,
		   uint32_t max_fill_permille,
		   const struct router_request *request,
		   struct router_choice *choice)
{
	GPtrArray *candidates;
	struct router_replica *r;

	memset(choice, 0, sizeof(*choice));
	if (router->subset_stale)
		choose_subset(router);
	if (router->median_stale)
		update_median(router);
	candidates = g_ptr_array_sized_new(router->subset->len);
	collect_candidates(router, now_ms, max_fill_permille, request, choice,
			   candidates);
	r = remove_stragglers(router, now_ms, candidates, choice);
	if (!r)
		r = choose_best(router, candidates, request, &choice->cost_ms);
	if (r) {
		choice->replica = r->id;
		choice->epoch = r->epoch;
		choice->address = r->address;
		choice->endpoint = r->endpoint;
		choice->in_flight = r->outstanding + r->other_requests;
		choice->cached_tokens = cached_tokens(r, request);
	}
	g_ptr_array_unref(candidates);
}

/* ---- requests in flight ---- */

void router_sent(struct router *router, uint32_t id, int64_t now_ms,
		 const struct router_request *request)
{
	struct router_replica *r = find_replica(router, id);

	if (!r)
		return;
	if (!r->outstanding)
		r->last_activity_ms = now_ms;
	if (router->opts.limits && r->endpoint)
		request_limits_take(router->opts.limits, now_ms, r->endpoint);
	r->outstanding++;
	r->outstanding_tokens += request->output_tokens;
	r->pending_prefills++;
	r->pending_prefill_tokens += request->prompt_tokens;
	for (uint32_t i = 0; i < request->prefix_count; i++)
		store_prefix(router, r, request->prefix[i]);
}

void router_prefill_done(struct router *router, uint32_t id, uint64_t epoch,
			 uint32_t prompt_tokens)
{
	struct router_replica *r = find_replica(router, id);

	if (!r || r->epoch != epoch || !r->pending_prefills)
		return;
	r->pending_prefills--;
	r->pending_prefill_tokens -= MIN(r->pending_prefill_tokens,
					 prompt_tokens);
}

static void subtract_tokens(struct router_replica *r, uint32_t tokens)
{
	r->outstanding_tokens -= MIN(r->outstanding_tokens, tokens);
}

void router_progress(struct router *router, uint32_t id, uint32_t tokens)
{
	struct router_replica *r = find_replica(router, id);

	if (r)
		subtract_tokens(r, tokens);
}

void router_done(struct router *router, uint32_t id, uint64_t epoch,
		 uint32_t left)
{
	struct router_replica *r = find_replica(router, id);

	if (!r || r->epoch != epoch || !r->outstanding)
		return;
	r->outstanding--;
	subtract_tokens(r, left);
}

void router_add_step_sample(struct router *router, uint32_t id, int64_t now_ms,
			    uint32_t tokens, int64_t elapsed_us)
{
	struct router_replica *r = find_replica(router, id);
	double measured;

	if (!r || !tokens)
		return;
	measured = (double)elapsed_us / tokens;
	r->step_us = r->step_measured_ms
			     ? r->step_us + SMOOTHING * (measured - r->step_us)
			     : measured;
	r->step_measured_ms = now_ms;
	router->median_stale = true;
}

void router_add_prefill_sample(struct router *router, uint32_t id,
			       uint32_t tokens, int64_t elapsed_us)
{
	struct router_replica *r = find_replica(router, id);

	if (r && tokens)
		r->prefill_us += SMOOTHING *
				 ((double)elapsed_us / tokens - r->prefill_us);
}

int64_t router_expected_service_ms(const struct router *router,
				   const struct router_request *request)
{
	return (int64_t)(request->prompt_tokens * DEFAULT_PREFILL_US +
			 request->output_tokens * router->median_step_us) /
	       1000;
}

void router_capacity(const struct router *router, int64_t now_ms,
		     uint32_t *free_slots, uint32_t *slots)
{
	*free_slots = 0;
	*slots = 0;
	for (guint i = 0; i < router->replicas->len; i++) {
		const struct router_replica *r = router->replicas->pdata[i];
		uint32_t in_flight = r->outstanding + r->other_requests;

		if (now_ms >= r->fresh_until_ms || now_ms < r->suspect_until_ms)
			continue;
		*slots += r->slots;
		*free_slots += in_flight < r->slots ? r->slots - in_flight : 0;
	}
}

uint32_t router_overdue_limit(const struct router *router, int64_t now_ms,
			      uint32_t entries)
{
	uint32_t usable_count = 0;

	for (guint i = 0; i < router->replicas->len; i++) {
		const struct router_replica *r = router->replicas->pdata[i];

		usable_count += now_ms < r->fresh_until_ms &&
				now_ms >= r->suspect_until_ms;
	}
	return MAX(1,
		   OVERDUE_PENDING_PREFILLS * usable_count / MAX(entries, 1));
}

void router_each(const struct router *router,
		 void (*visit)(void *ctx, const struct router_replica *r),
		 void *ctx)
{
	for (guint i = 0; i < router->replicas->len; i++)
		visit(ctx, router->replicas->pdata[i]);
}
