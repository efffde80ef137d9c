/* Announcements of lost VMs that wait for a second one. */
#include <radishdeal/evidence.h>

struct unconfirmed {
	GHashTable *first; /* name -> struct first_announcement */
};

struct first_announcement {
	uint64_t incarnation;
	uint64_t sequence;
};

struct unconfirmed *unconfirmed_create(void)
{
	struct unconfirmed *unconfirmed = g_new0(struct unconfirmed, 1);

	unconfirmed->first = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, g_free);
	return unconfirmed;
}

void unconfirmed_destroy(struct unconfirmed *unconfirmed)
{
	if (!unconfirmed)
		return;
	g_hash_table_unref(unconfirmed->first);
	g_free(unconfirmed);
}

static bool is_lost(const struct view *view, int64_t now_ms,
		    const struct vm_report *report)
{
	const struct view_vm *seen = view_find(view, report->name);

	return seen && seen->report.incarnation == report->incarnation &&
	       !view_alive(view, seen, now_ms);
}

static void keep_first(struct unconfirmed *unconfirmed,
		       const struct vm_report *report)
{
	struct first_announcement *first = g_new(struct first_announcement, 1);

	*first = (struct first_announcement){ report->incarnation,
					      report->sequence };
	g_hash_table_replace(unconfirmed->first, g_strdup(report->name), first);
}

bool unconfirmed_hold(struct unconfirmed *unconfirmed, const struct view *view,
		      int64_t now_ms, const struct vm_report *report)
{
	const struct first_announcement *first;

	if (report->leaving || !is_lost(view, now_ms, report)) {
		g_hash_table_remove(unconfirmed->first, report->name);
		return false;
	}
	first = g_hash_table_lookup(unconfirmed->first, report->name);
	if (first && first->incarnation == report->incarnation)
		return report->sequence <= first->sequence;
	keep_first(unconfirmed, report);
	return true;
}
