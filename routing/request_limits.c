#include <math.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include <radishdeal/request_limits.h>

/*
 * Each entry that shares a limit may save up one request, or so much of its
 * share. So only so many entries share a limit, and each request a second of
 * it.
 */
#define BURST_S 0.5
#define USERS_MIN 2
#define USERS_PER_REQUEST 2
/* Requests a second, of all other entries, to an endpoint whatever its limit.
 */
#define PROBES_PER_S 0.25
/* How long a probe may be sent once it is due, lest all send theirs at once. */
#define PROBE_OPEN_MS 1000
/* Endpoints come back under new names, and their old limits stay unused. */
#define LIMITS_MAX 8192u
#define LIMIT_CHARS_MAX 16
/* A longer rest is taken for a mistake; the endpoint can ask again. */
#define REST_MAX_MS 600000
#define MS_PER_S 1000.0

struct limit_entry {
	uint64_t endpoint;
	double per_s;
	double share_per_s;
	double tokens; /* at `filled_ms` */
	int64_t filled_ms;
	int64_t named_ms; /* by the last answer */
	bool probes_only;
	double probe_phase; /* of the time between two probes, 0 to 1 */
	int64_t last_probe; /* its number */
};

struct sharing_node {
	uint32_t node;
	int64_t listed_ms;
};

struct request_limits {
	struct request_limits_opts opts;
	GRand *random;
	GHashTable *by_endpoint; /* -> struct limit_entry */
	GHashTable *rests;	 /* endpoint -> int64_t, end of its rest */
	GArray *nodes;		 /* of struct sharing_node, but for this one */
};

struct request_limits *request_limits_create(
	const struct request_limits_opts *opts)
{
	struct request_limits *limits = g_new0(struct request_limits, 1);

	limits->opts = *opts;
	limits->random = g_rand_new_with_seed(opts->seed);
	limits->by_endpoint = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    NULL, g_free);
	limits->rests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, g_free);
	limits->nodes = g_array_new(FALSE, FALSE, sizeof(struct sharing_node));
	return limits;
}

void request_limits_destroy(struct request_limits *limits)
{
	if (!limits)
		return;
	g_array_unref(limits->nodes);
	g_hash_table_unref(limits->by_endpoint);
	g_hash_table_unref(limits->rests);
	g_rand_free(limits->random);
	g_free(limits);
}

static struct limit_entry *find(const struct request_limits *limits,
				uint64_t endpoint)
{
	if (!g_hash_table_size(limits->by_endpoint))
		return NULL;
	return g_hash_table_lookup(limits->by_endpoint, &endpoint);
}

/* ---- shares ---- */

static uint64_t rank(uint32_t node, uint64_t endpoint)
{
	return XXH3_64bits_withSeed(&node, sizeof(node), endpoint);
}

/* Rendezvous hashing, so that the entries agree on who shares a limit. */
static bool is_user(const struct request_limits *limits, uint64_t endpoint,
		    uint32_t users)
{
	uint64_t own = rank(limits->opts.node, endpoint);
	uint32_t before = 0;

	for (guint i = 0; i < limits->nodes->len; i++)
		before += rank(g_array_index(limits->nodes, struct sharing_node,
					     i)
				       .node,
			       endpoint) < own;
	return before < users;
}

static uint32_t count_users(double per_s, uint32_t nodes)
{
	double users = USERS_MIN + USERS_PER_REQUEST * per_s;

	return users < nodes ? (uint32_t)users : nodes;
}

/* Sets whether this entry shares the limit, and how much it gets. */
static void divide(const struct request_limits *limits,
		   struct limit_entry *entry)
{
	uint32_t nodes = limits->nodes->len + 1;
	uint32_t users = count_users(entry->per_s, nodes);
	double share = entry->per_s / users;
	uint32_t others = nodes - users;

	entry->probes_only = !is_user(limits, entry->endpoint, users);
	/* So little that a probe comes earlier. */
	if (share < PROBES_PER_S / nodes) {
		entry->probes_only = true;
		others = nodes;
	}
	entry->share_per_s = entry->probes_only ? PROBES_PER_S / others : share;
}

static double depth(const struct limit_entry *entry)
{
	return MAX(1, entry->share_per_s * BURST_S);
}

static double tokens_at(const struct limit_entry *entry, int64_t now_ms)
{
	double elapsed_s = (double)(now_ms - entry->filled_ms) / MS_PER_S;

	return MIN(depth(entry),
		   entry->tokens + MAX(0, elapsed_s) * entry->share_per_s);
}

static void set_share(struct request_limits *limits, struct limit_entry *entry,
		      int64_t now_ms)
{
	entry->tokens = tokens_at(entry, now_ms);
	entry->filled_ms = now_ms;
	divide(limits, entry);
	entry->tokens = MIN(entry->tokens, depth(entry));
}

/* ---- probes ---- */

static double probe_period_ms(const struct limit_entry *entry)
{
	return MS_PER_S / entry->share_per_s;
}

/* Returns the number of the last probe that has come due. */
static int64_t due_probe(const struct limit_entry *entry, int64_t now_ms)
{
	return (int64_t)floor((double)now_ms / probe_period_ms(entry) -
			      entry->probe_phase);
}

static int64_t probe_due_ms(const struct limit_entry *entry, int64_t number)
{
	return (int64_t)ceil(((double)number + entry->probe_phase) *
			     probe_period_ms(entry));
}

static int64_t probe_wait_ms(const struct limit_entry *entry, int64_t now_ms)
{
	int64_t number = due_probe(entry, now_ms);

	if (number != entry->last_probe &&
	    now_ms - probe_due_ms(entry, number) < PROBE_OPEN_MS)
		return 0;
	return MAX(1, probe_due_ms(entry, number + 1) - now_ms);
}

/* Returns the time until this entry may send a request. */
static int64_t wait_ms(const struct limit_entry *entry, int64_t now_ms)
{
	double missing;

	if (entry->probes_only)
		return probe_wait_ms(entry, now_ms);
	missing = MAX(0, 1 - tokens_at(entry, now_ms));
	return (int64_t)ceil(missing / entry->share_per_s * MS_PER_S);
}

/* ---- entries ---- */

/* Returns whether a node was removed. */
static bool remove_unlisted(struct request_limits *limits, int64_t now_ms)
{
	guint before = limits->nodes->len;

	for (guint i = before; i > 0; i--) {
		const struct sharing_node *known = &g_array_index(
			limits->nodes, struct sharing_node, i - 1);

		if (now_ms - known->listed_ms > limits->opts.entry_hold_ms)
			g_array_remove_index_fast(limits->nodes, i - 1);
	}
	return limits->nodes->len != before;
}

/* Returns whether the node was added. */
static bool note_listed(struct request_limits *limits, int64_t now_ms,
			uint32_t node)
{
	struct sharing_node listed = { node, now_ms };

	for (guint i = 0; i < limits->nodes->len; i++) {
		struct sharing_node *known =
			&g_array_index(limits->nodes, struct sharing_node, i);

		if (known->node == node) {
			known->listed_ms = now_ms;
			return false;
		}
	}
	g_array_append_val(limits->nodes, listed);
	return true;
}

void request_limits_set_entries(struct request_limits *limits, int64_t now_ms,
				const uint32_t *nodes, uint32_t count)
{
	GHashTableIter iter;
	gpointer value;
	bool changed = false;

	for (uint32_t i = 0; i < count; i++)
		if (nodes[i] != limits->opts.node)
			changed |= note_listed(limits, now_ms, nodes[i]);
	changed |= remove_unlisted(limits, now_ms);
	if (!changed)
		return;
	g_hash_table_iter_init(&iter, limits->by_endpoint);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		set_share(limits, value, now_ms);
}

/* ---- limits ---- */

static void drop_oldest(struct request_limits *limits)
{
	struct limit_entry *oldest = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, limits->by_endpoint);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct limit_entry *entry = value;

		if (!oldest || entry->named_ms < oldest->named_ms)
			oldest = entry;
	}
	if (oldest)
		g_hash_table_remove(limits->by_endpoint, &oldest->endpoint);
}

/*
 * All entries learn of a limit at about the same time. What each may send first
 * is random, so that they don't all send then.
 */
static struct limit_entry *add_limit(struct request_limits *limits,
				     int64_t now_ms, uint64_t endpoint)
{
	struct limit_entry *entry = g_new0(struct limit_entry, 1);

	if (g_hash_table_size(limits->by_endpoint) >= LIMITS_MAX)
		drop_oldest(limits);
	entry->endpoint = endpoint;
	entry->tokens = g_rand_double(limits->random);
	entry->probe_phase = g_rand_double(limits->random);
	entry->last_probe = INT64_MIN;
	entry->filled_ms = now_ms;
	g_hash_table_insert(limits->by_endpoint, &entry->endpoint, entry);
	return entry;
}

void request_limits_put(struct request_limits *limits, int64_t now_ms,
			uint64_t endpoint, double per_s)
{
	struct limit_entry *entry = find(limits, endpoint);

	if (!entry)
		entry = add_limit(limits, now_ms, endpoint);
	entry->named_ms = now_ms;
	if (entry->per_s == per_s && entry->share_per_s > 0)
		return;
	entry->per_s = per_s;
	set_share(limits, entry, now_ms);
}

bool request_limits_lift(struct request_limits *limits, uint64_t endpoint,
			 int64_t sent_ms)
{
	struct limit_entry *entry = find(limits, endpoint);

	if (!entry || sent_ms <= entry->named_ms)
		return false;
	g_hash_table_remove(limits->by_endpoint, &endpoint);
	return true;
}

bool request_limits_get(const struct request_limits *limits, int64_t now_ms,
			uint64_t endpoint, struct request_limit *out)
{
	const struct limit_entry *entry = find(limits, endpoint);

	if (!entry)
		return false;
	out->per_s = entry->per_s;
	out->share_per_s = entry->share_per_s;
	out->wait_ms = wait_ms(entry, now_ms);
	out->allowed = entry->probes_only ? !out->wait_ms
					  : tokens_at(entry, now_ms);
	return true;
}

bool request_limits_allow(const struct request_limits *limits, int64_t now_ms,
			  uint64_t endpoint)
{
	const struct limit_entry *entry = find(limits, endpoint);

	return !request_limits_rest_ms(limits, now_ms, endpoint) &&
	       (!entry || !wait_ms(entry, now_ms));
}

void request_limits_take(struct request_limits *limits, int64_t now_ms,
			 uint64_t endpoint)
{
	struct limit_entry *entry = find(limits, endpoint);

	if (!entry)
		return;
	entry->last_probe = due_probe(entry, now_ms);
	entry->tokens = tokens_at(entry, now_ms) - 1;
	entry->filled_ms = now_ms;
}

uint32_t request_limits_count(const struct request_limits *limits)
{
	return g_hash_table_size(limits->by_endpoint);
}

/* ---- rests ---- */

static gboolean is_over(gpointer key, gpointer value, gpointer now_ms)
{
	(void)key;
	return *(const int64_t *)value <= *(const int64_t *)now_ms;
}

void request_limits_rest(struct request_limits *limits, int64_t now_ms,
			 uint64_t endpoint, int64_t rest_ms)
{
	int64_t until_ms = now_ms + rest_ms;
	int64_t *known = g_hash_table_lookup(limits->rests, &endpoint);

	if (known) {
		*known = MAX(*known, until_ms);
		return;
	}
	/* So that endpoints that are gone don't fill the table. */
	g_hash_table_foreach_remove(limits->rests, is_over, &now_ms);
	g_hash_table_insert(limits->rests,
			    g_memdup2(&endpoint, sizeof(endpoint)),
			    g_memdup2(&until_ms, sizeof(until_ms)));
}

int64_t request_limits_rest_ms(const struct request_limits *limits,
			       int64_t now_ms, uint64_t endpoint)
{
	const int64_t *until_ms;

	if (!g_hash_table_size(limits->rests))
		return 0;
	until_ms = g_hash_table_lookup(limits->rests, &endpoint);
	return until_ms ? MAX(0, *until_ms - now_ms) : 0;
}

uint32_t request_limits_rests(const struct request_limits *limits)
{
	return g_hash_table_size(limits->rests);
}

bool request_limit_parse_rest(const char *text, int64_t *rest_ms)
{
	double seconds;

	if (!request_limit_parse(text, &seconds))
		return false;
	*rest_ms = (int64_t)MIN(seconds * MS_PER_S, (double)REST_MAX_MS);
	return true;
}

bool request_limit_parse(const char *text, double *per_s)
{
	size_t whole = strspn(text, G_CSET_DIGITS);
	size_t size = whole;

	if (whole && text[whole] == '.')
		size += 1 + strspn(text + whole + 1, G_CSET_DIGITS);
	if (!whole || text[size] || size > LIMIT_CHARS_MAX)
		return false;
	*per_s = g_ascii_strtod(text, NULL);
	return true;
}
