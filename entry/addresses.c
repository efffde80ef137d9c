/* Which entries callers and endpoints are told to use. */
#include <string.h>

#include <xxhash.h>

#include "entry/entry_internal.h"

/* An entry with less than this free takes no new callers. */
#define FREE_PERMILLE_MIN 50u

static bool takes_callers(const struct entry_info *e)
{
	return !e->draining && e->free_permille >= FREE_PERMILLE_MIN;
}

struct ranked {
	double rank;
	const struct entry_info *entry;
};

static gint compare_ranks(gconstpointer a, gconstpointer b)
{
	const struct ranked *x = a, *y = b;

	return x->rank > y->rank ? -1 : x->rank < y->rank;
}

/*
 * The order is drawn with weights: an entry comes first in proportion to what
 * it has free, so that callers who keep the answer spread by capacity.
 */
json_t *addresses_json(struct entry *entry)
{
	struct ranked *ranks = g_new(struct ranked,
				     entry->known_entry_count + 1);
	json_t *list = json_array();
	guint n = 0;

	for (uint32_t i = 0; i < entry->known_entry_count; i++) {
		const struct entry_info *e = &entry->known_entries[i];
		double draw = g_rand_double_range(entry->random, 1e-9, 1.0);

		if (!takes_callers(e))
			continue;
		/* Largest of u^(1/w): Efraimidis and Spirakis (2006). */
		ranks[n].rank = -(-__builtin_log(draw)) / e->free_permille;
		ranks[n++].entry = e;
	}
	qsort(ranks, n, sizeof(ranks[0]), compare_ranks);
	for (guint i = 0; i < n; i++)
		json_array_append_new(list,
				      json_pack("{s:s,s:s}", "address",
						ranks[i].entry->callers_address,
						"data_centre",
						ranks[i].entry->data_centre));
	g_free(ranks);
	return list;
}

void addresses_answer(struct entry *entry, struct evhttp_request *req)
{
	int64_t max_age = entry->opts.settings->limits.address_max_age_s;
	char control[48];

	g_snprintf(control, sizeof(control), "max-age=%d", (int)max_age);
	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Cache-Control", control);
	http_send_json(req, 200,
		       json_pack("{s:o,s:I}", "addresses",
				 addresses_json(entry), "max_age_s",
				 (json_int_t)max_age));
}

static uint64_t home_rank(const struct entry_info *e, const char *vm)
{
	return XXH64(vm, strlen(vm), e->node);
}

static const struct entry_info *best_home(const struct entry *entry,
					  const char *vm,
					  const struct entry_info *first)
{
	const struct entry_info *best = NULL;
	bool best_apart = false;

	for (uint32_t i = 0; i < entry->known_entry_count; i++) {
		const struct entry_info *e = &entry->known_entries[i];
		bool apart = !first ||
			     strcmp(e->data_centre, first->data_centre) != 0;

		if (e == first || e->draining)
			continue;
		if (best && (best_apart > apart ||
			     (best_apart == apart &&
			      home_rank(best, vm) >= home_rank(e, vm))))
			continue;
		best = e;
		best_apart = apart;
	}
	return best;
}

/* Two homes in two data centres; each VM has its own pair. */
json_t *addresses_home_entries(struct entry *entry, const char *vm)
{
	const struct entry_info *first = best_home(entry, vm, NULL);
	const struct entry_info *second = first ? best_home(entry, vm, first)
						: NULL;
	json_t *list = json_array();

	if (first)
		json_array_append_new(list,
				      json_string(first->endpoints_address));
	if (second)
		json_array_append_new(list,
				      json_string(second->endpoints_address));
	return list;
}
