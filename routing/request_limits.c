#include <math.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include <radishdeal/request_limits.h>

/* What an entry may save up of its share, beside one request. */
#define BURST_S 0.5
/* So many entries share each request a second, and so many any limit. */
#define USERS_PER_REQUEST 2
#define USERS_MIN 4u
/* Requests a second, of all entries, to an endpoint whatever its limit. */
#define PROBES_PER_S 0.5
/* Endpoints come back under new names, and their old limits stay unused. */
#define LIMITS_MAX 8192u
#define LIMIT_CHARS_MAX 16
#define MS_PER_S 1000.0

struct limit_entry {
	uint64_t endpoint;
	double per_s;
	double share_per_s;
	double tokens; /* at `filled_ms` */
	int64_t filled_ms;
	int64_t named_ms; /* by the last answer */
};

struct sharing_node {
	uint32_t node;
	int64_t listed_ms;
};

struct request_limits {
	struct request_limits_opts opts;
	GRand *random;
	GHashTable *by_endpoint; /* -> struct limit_entry */
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
	limits->nodes = g_array_new(FALSE, FALSE, sizeof(struct sharing_node));
	return limits;
}

void request_limits_destroy(struct request_limits *limits)
{
	if (!limits)
		return;
	g_array_unref(limits->nodes);
	g_hash_table_unref(limits->by_endpoint);
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

static double share_of(const struct request_limits *limits, uint64_t endpoint,
		       double per_s)
{
	uint32_t nodes = limits->nodes->len + 1;
	uint32_t users = nodes;
	double probe = PROBES_PER_S / nodes;

	if (per_s * USERS_PER_REQUEST < nodes)
		users = MIN(nodes, MAX(USERS_MIN,
				       (uint32_t)(per_s * USERS_PER_REQUEST)));
	if (!is_user(limits, endpoint, users))
		return probe;
	return MAX(per_s / users, probe);
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
	entry->share_per_s = share_of(limits, entry->endpoint, entry->per_s);
	entry->tokens = MIN(entry->tokens, depth(entry));
}

/* ---- entries ---- */

static bool contains(const uint32_t *nodes, uint32_t count, uint32_t node)
{
	for (uint32_t i = 0; i < count; i++)
		if (nodes[i] == node)
			return true;
	return false;
}

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
		if (nodes[i] != limits->opts.node &&
		    !contains(nodes, i, nodes[i]))
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
	double missing;

	if (!entry)
		return false;
	out->per_s = entry->per_s;
	out->share_per_s = entry->share_per_s;
	out->allowed = tokens_at(entry, now_ms);
	missing = MAX(0, 1 - out->allowed);
	out->wait_ms = (int64_t)ceil(missing / entry->share_per_s * MS_PER_S);
	return true;
}

bool request_limits_allow(const struct request_limits *limits, int64_t now_ms,
			  uint64_t endpoint)
{
	const struct limit_entry *entry = find(limits, endpoint);

	return !entry || tokens_at(entry, now_ms) >= 1;
}

void request_limits_take(struct request_limits *limits, int64_t now_ms,
			 uint64_t endpoint)
{
	struct limit_entry *entry = find(limits, endpoint);

	if (!entry)
		return;
	entry->tokens = tokens_at(entry, now_ms) - 1;
	entry->filled_ms = now_ms;
}

uint32_t request_limits_count(const struct request_limits *limits)
{
	return g_hash_table_size(limits->by_endpoint);
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
