#include <string.h>

#include <xxhash.h>

#include <radishdeal/router.h>

#define DEFAULT_STEP_US 20000.0
#define DEFAULT_PREFILL_US 100.0
#define SMOOTHING 0.2
/* A replica this much slower than the median of its peers is a straggler. */
#define STRAGGLER_RATIO 2.0
/* A straggler gets one request this often, to see whether it recovered. */
#define PROBE_MS 1000
/* Never treat more than one replica in this many as stragglers. */
#define STRAGGLER_SHARE 4
#define MEDIAN_MAX 256
#define SAMPLE 2
#define SUSPECT_MS 2000
/* Late prompts that all entries together may have unread at one replica. */
#define LATE_UNREAD 4u

struct router {
	struct router_opts opts;
	const struct router_policy *policy;
	GRand *random;
	GPtrArray *replicas; /* of struct router_replica, by id */
	GHashTable *by_id;
	GPtrArray *mine; /* this entry's share of `replicas` */
	bool mine_stale;
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
	router->mine = g_ptr_array_new();
	router->median_step_us = DEFAULT_STEP_US;
	return router;
}

void router_destroy(struct router *router)
{
	if (!router)
		return;
	g_rand_free(router->random);
	g_ptr_array_unref(router->mine);
	g_hash_table_unref(router->by_id);
	g_ptr_array_unref(router->replicas);
	g_free(router);
}

static struct router_replica *find(const struct router *router, uint32_t id)
{
	return g_hash_table_lookup(router->by_id, GUINT_TO_POINTER(id));
}

const struct router_replica *router_find(const struct router *router,
					 uint32_t id)
{
	return find(router, id);
}

/* ---- which replicas there are ---- */

static void forget_prefixes(struct router_replica *r)
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
	r->prefill_us = DEFAULT_PREFILL_US;
	r->fresh_until_ms = 0;
	r->fault = "no-evidence";
	r->suspect_until_ms = 0;
	forget_prefixes(r);
}

void router_put(struct router *router, uint32_t id, uint64_t epoch,
		uint32_t slots, const char *address)
{
	struct router_replica *r = find(router, id);

	if (!r) {
		r = g_new0(struct router_replica, 1);
		r->id = id;
		r->prefixes = g_hash_table_new(g_int64_hash, g_int64_equal);
		g_queue_init(&r->prefix_order);
		g_ptr_array_add(router->replicas, r);
		g_hash_table_insert(router->by_id, GUINT_TO_POINTER(id), r);
		router->mine_stale = true;
	}
	if (r->epoch != epoch)
		start_epoch(r, epoch);
	r->slots = slots;
	g_strlcpy(r->address, address, sizeof(r->address));
}

void router_remove(struct router *router, uint32_t id)
{
	struct router_replica *r = find(router, id);

	if (!r)
		return;
	g_hash_table_remove(router->by_id, GUINT_TO_POINTER(id));
	g_ptr_array_remove(router->replicas, r);
	router->mine_stale = true;
	router->median_stale = true;
}

void router_set_health(struct router *router, uint32_t id,
		       int64_t fresh_until_ms, const char *fault)
{
	struct router_replica *r = find(router, id);

	if (!r)
		return;
	r->fresh_until_ms = fresh_until_ms;
	r->fault = fault;
}

void router_suspect(struct router *router, uint32_t id, int64_t now_ms)
{
	struct router_replica *r = find(router, id);

	if (r)
		r->suspect_until_ms = now_ms + SUSPECT_MS;
}

void router_clear_suspect(struct router *router, uint32_t id)
{
	struct router_replica *r = find(router, id);

	if (r)
		r->suspect_until_ms = 0;
}

void router_response_activity(struct router *router, uint32_t id,
			      int64_t now_ms)
{
	struct router_replica *r = find(router, id);

	if (!r)
		return;
	r->last_activity_ms = now_ms;
	r->last_response_ms = now_ms;
}

/* ---- this entry's share ---- */

struct ranked {
	uint64_t rank;
	struct router_replica *replica;
};

static gint compare_ranks(gconstpointer a, gconstpointer b)
{
	const struct ranked *x = a, *y = b;

	return x->rank < y->rank ? -1 : x->rank > y->rank;
}

/* Rendezvous hashing: a lost replica moves no other replica's share. */
static void choose_mine(struct router *router)
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
	g_ptr_array_set_size(router->mine, 0);
	for (guint i = 0; i < keep; i++)
		g_ptr_array_add(router->mine, ranks[i].replica);
	g_free(ranks);
	router->mine_stale = false;
}

/* ---- what replicas report ---- */

void router_set_load(struct router *router, uint32_t id, uint32_t total,
		     uint32_t step_us)
{
	struct router_replica *r = find(router, id);

	if (!r)
		return;
	r->other_requests = total > r->outstanding ? total - r->outstanding : 0;
	/* Own measurements, where there are any, are newer. */
	if (step_us && !r->outstanding && !r->step_measured_ms)
		r->step_us = step_us;
}

void router_set_other_requests(struct router *router, uint32_t id,
			       uint64_t epoch, uint32_t requests)
{
	struct router_replica *r = find(router, id);

	if (r && r->epoch == epoch)
		r->other_requests = requests;
}

static void remember_prefix(struct router *router, struct router_replica *r,
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

static void forget_prefix(struct router_replica *r, uint64_t hash)
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
			 const uint64_t *dropped, uint32_t dropped_count)
{
	struct router_replica *r = find(router, id);

	if (!r)
		return;
	for (uint32_t i = 0; i < dropped_count; i++)
		forget_prefix(r, dropped[i]);
	for (uint32_t i = 0; i < stored_count; i++)
		remember_prefix(router, r, stored[i]);
}

void router_cache_reset(struct router *router, uint32_t id)
{
	struct router_replica *r = find(router, id);

	if (r)
		forget_prefixes(r);
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

/* ---- the cost, in ms until the answer is whole ---- */

static double cost_ms(void *ctx, const struct router_replica *r,
		      const struct router_request *request)
{
	uint32_t present = r->outstanding + r->other_requests;
	uint32_t cached = cached_tokens(r, request);
	double prefill = (request->prompt_tokens - cached) * r->prefill_us;
	double decode = request->output_tokens * r->step_us;
	double queue = 0;

	(void)ctx;
	if (present >= r->slots) {
		double mean = r->outstanding ? (double)r->outstanding_tokens /
						       r->outstanding
					     : request->output_tokens;

		queue = (present - r->slots + 1) * mean * r->step_us / r->slots;
	}
	/* A fuller batch is a slower one; ties go to the emptier replica. */
	return (queue + prefill + decode * (1 + (double)present / r->slots)) /
	       1000;
}

const struct router_policy router_policy_cost = {
	.name = "cost",
	.cost = cost_ms,
	/*
	 * Entries see each other's work late. If all took the best of all,
	 * they would herd to the same replica; of a few drawn at random each
	 * takes its own.
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

	for (guint i = 0; i < router->mine->len && n < MEDIAN_MAX; i++) {
		const struct router_replica *r = router->mine->pdata[i];

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

/* ---- choosing ---- */

static bool avoided(const struct router_request *request, uint32_t id)
{
	for (uint32_t i = 0; i < request->avoid_count; i++)
		if (request->avoid[i] == id)
			return true;
	return false;
}

static void leave_out(struct router_choice *choice,
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
	uint64_t present = (uint64_t)r->outstanding + r->other_requests;

	return max_fill_permille &&
	       present * ROUTER_FILL_FREE_SLOT >=
		       (uint64_t)r->slots * max_fill_permille;
}

static bool usable(const struct router_replica *r, int64_t now_ms,
		   uint32_t max_fill_permille,
		   const struct router_request *request,
		   struct router_choice *choice)
{
	if (now_ms >= r->fresh_until_ms)
		leave_out(choice, r, &choice->stale,
			  r->fresh_until_ms ? "stale" : r->fault);
	else if (now_ms < r->suspect_until_ms)
		leave_out(choice, r, &choice->suspects, "suspect");
	else if (avoided(request, r->id))
		leave_out(choice, r, &choice->avoided, "failed-before");
	else if (is_full(r, max_fill_permille) ||
		 (request->no_pending_prefill && r->pending_prefills))
		leave_out(choice, r, &choice->full, "full");
	else
		return true;
	return false;
}

struct best {
	struct router_replica *replica;
	double cost;
	uint32_t ties;
};

static void compare(struct router *router, struct best *best,
		    struct router_replica *r,
		    const struct router_request *request)
{
	double cost = router->policy->cost(router->policy->ctx, r, request);

	if (best->replica && cost > best->cost)
		return;
	/* Equal candidates are drawn evenly, so that entries do not herd. */
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

static void collect(struct router *router, int64_t now_ms,
		    uint32_t max_fill_permille,
		    const struct router_request *request,
		    struct router_choice *choice, GPtrArray *usables)
{
	for (guint i = 0; i < router->mine->len; i++) {
		struct router_replica *r = router->mine->pdata[i];

		if (usable(r, now_ms, max_fill_permille, request, choice))
			g_ptr_array_add(usables, r);
	}
	choice->candidates = usables->len;
}

/* Drops stragglers, but never more than their share and never the last. */
static struct router_replica *drop_stragglers(struct router *router,
					      int64_t now_ms,
					      GPtrArray *usables,
					      struct router_choice *choice)
{
	guint allowed = usables->len / STRAGGLER_SHARE;

	for (guint i = usables->len; i > 0 && choice->stragglers < allowed;
	     i--) {
		struct router_replica *r = usables->pdata[i - 1];

		if (!is_straggler(router, r))
			continue;
		if (now_ms - MAX(r->probed_ms, r->step_measured_ms) >=
		    PROBE_MS) {
			r->probed_ms = now_ms;
			return r;
		}
		leave_out(choice, r, &choice->stragglers, "straggler");
		g_ptr_array_remove_index_fast(usables, i - 1);
	}
	return NULL;
}

static struct router_replica *longest_prefix(
	GPtrArray *usables, const struct router_request *request)
{
	struct router_replica *holder = NULL;
	uint32_t most = 0;

	for (guint i = 0; request->prefix_count && i < usables->len; i++) {
		uint32_t cached = cached_tokens(usables->pdata[i], request);

		if (cached > most) {
			most = cached;
			holder = usables->pdata[i];
		}
	}
	return holder;
}

static struct router_replica *best_of(struct router *router, GPtrArray *usables,
				      const struct router_request *request,
				      double *cost)
{
	uint32_t sample = router->policy->sample;
	struct best best = { 0 };

	if (!sample || sample >= usables->len) {
		for (guint i = 0; i < usables->len; i++)
			compare(router, &best, usables->pdata[i], request);
	} else {
		for (uint32_t i = 0; i < sample; i++) {
			gint32 at = g_rand_int_range(router->random, 0,
						     (gint32)usables->len);

			compare(router, &best, usables->pdata[at], request);
		}
		if (router->policy->with_prefix_holder) {
			struct router_replica *holder = longest_prefix(usables,
								       request);

			if (holder && holder != best.replica)
				compare(router, &best, holder, request);
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
	GPtrArray *usables;
	struct router_replica *r;

	memset(choice, 0, sizeof(*choice));
	if (router->mine_stale)
		choose_mine(router);
	if (router->median_stale)
		update_median(router);
	usables = g_ptr_array_sized_new(router->mine->len);
	collect(router, now_ms, max_fill_permille, request, choice, usables);
	r = drop_stragglers(router, now_ms, usables, choice);
	if (!r)
		r = best_of(router, usables, request, &choice->cost_ms);
	if (r) {
		choice->replica = r->id;
		choice->epoch = r->epoch;
		choice->address = r->address;
		choice->in_flight = r->outstanding + r->other_requests;
		choice->cached_tokens = cached_tokens(r, request);
	}
	g_ptr_array_unref(usables);
}

/* ---- accounts of what was sent ---- */

void router_sent(struct router *router, uint32_t id, int64_t now_ms,
		 const struct router_request *request)
{
	struct router_replica *r = find(router, id);

	if (!r)
		return;
	if (!r->outstanding)
		r->last_activity_ms = now_ms;
	r->outstanding++;
	r->outstanding_tokens += request->output_tokens;
	r->pending_prefills++;
	r->pending_prefill_tokens += request->prompt_tokens;
	for (uint32_t i = 0; i < request->prefix_count; i++)
		remember_prefix(router, r, request->prefix[i]);
}

void router_prefill_done(struct router *router, uint32_t id, uint64_t epoch,
			 uint32_t prompt_tokens)
{
	struct router_replica *r = find(router, id);

	if (!r || r->epoch != epoch || !r->pending_prefills)
		return;
	r->pending_prefills--;
	r->pending_prefill_tokens -= MIN(r->pending_prefill_tokens,
					 prompt_tokens);
}

static void take_tokens(struct router_replica *r, uint32_t tokens)
{
	r->outstanding_tokens -= MIN(r->outstanding_tokens, tokens);
}

void router_progress(struct router *router, uint32_t id, uint32_t tokens)
{
	struct router_replica *r = find(router, id);

	if (r)
		take_tokens(r, tokens);
}

void router_done(struct router *router, uint32_t id, uint64_t epoch,
		 uint32_t left)
{
	struct router_replica *r = find(router, id);

	if (!r || r->epoch != epoch || !r->outstanding)
		return;
	r->outstanding--;
	take_tokens(r, left);
}

void router_add_step_sample(struct router *router, uint32_t id, int64_t now_ms,
			    uint32_t tokens, int64_t elapsed_us)
{
	struct router_replica *r = find(router, id);
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
	struct router_replica *r = find(router, id);

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
		uint32_t present = r->outstanding + r->other_requests;

		if (now_ms >= r->fresh_until_ms || now_ms < r->suspect_until_ms)
			continue;
		*slots += r->slots;
		*free_slots += present < r->slots ? r->slots - present : 0;
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
	return MAX(1, LATE_UNREAD * usable_count / MAX(entries, 1));
}

void router_each(const struct router *router,
		 void (*visit)(void *ctx, const struct router_replica *r),
		 void *ctx)
{
	for (guint i = 0; i < router->replicas->len; i++)
		visit(ctx, router->replicas->pdata[i]);
}
