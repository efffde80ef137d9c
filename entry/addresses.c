/* Selection of the entries that are advertised to callers and endpoints. */
#include <string.h>

#include <xxhash.h>

#include "entry/entry_internal.h"

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
 * Weighted random order: an entry comes first with a probability proportional
 * to its free capacity, so that callers who keep the result spread by capacity.
 */
json_t *addresses_json(struct entry *entry)
{
	struct ranked *ranks = g_new(struct ranked,
				     entry->known_entry_count + 1);
	json_t *list = json_array();
	guint n = 0;

	for (uint32_t i = 0; i < entry->known_entry_count; i++) {
		const struct entry_info *e = &entry->known_entries[i];
		double uniform = g_rand_double_range(entry->random, 1e-9, 1.0);

		if (!control_entry_takes_callers(e))
			continue;
		/* Orders as u^(1/w) does: Efraimidis and Spirakis (2006). */
		ranks[n].rank = -(-__builtin_log(uniform)) / e->free_permille;
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

void addresses_handle(struct entry *entry, struct evhttp_request *req)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	int64_t max_age = entry->opts.settings->limits.address_max_age_s;
	char control[48];

	g_snprintf(control, sizeof(control), "max-age=%d", (int)max_age);
	evhttp_add_header(headers, "Cache-Control", control);
	if (entry->draining)
		evhttp_add_header(headers, "Connection", "close");
	http_send_json(req, 200,
		       json_pack("{s:o,s:I}", "addresses",
				 addresses_json(entry), "max_age_s",
				 (json_int_t)max_age));
}

static uint64_t monitor_weight(const struct entry_info *e, const char *vm)
{
	return XXH64(vm, strlen(vm), e->node);
}

static const struct entry_info *best_monitor(const struct entry *entry,
					     const char *vm,
					     const struct entry_info *first)
{
	const struct entry_info *best = NULL;
	bool best_is_remote = false;

	for (uint32_t i = 0; i < entry->known_entry_count; i++) {
		const struct entry_info *e = &entry->known_entries[i];
		bool remote = !first ||
			      strcmp(e->data_centre, first->data_centre) != 0;

		if (e == first || e->draining)
			continue;
		if (best &&
		    (best_is_remote > remote ||
		     (best_is_remote == remote &&
		      monitor_weight(best, vm) >= monitor_weight(e, vm))))
			continue;
		best = e;
		best_is_remote = remote;
	}
	return best;
}

/*
 * Each VM has its own pair of entries as monitors, chosen by rendezvous hashing
 * and in two data centres if possible.
 */
json_t *addresses_monitors(struct entry *entry, const char *vm)
{
	const struct entry_info *first = best_monitor(entry, vm, NULL);
	const struct entry_info *second = first ? best_monitor(entry, vm, first)
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
