/* Monitor: the VMs that announce themselves to one node. */
#include <stdlib.h>
#include <string.h>

#include <radishdeal/evidence.h>

#include "wire/codec.h"

struct monitor_vm {
	struct vm_report report;
	int64_t last_announced_ms;
	bool changed; /* since the last digest */
};

struct monitor {
	struct monitor_opts opts;
	GHashTable *vms; /* name -> struct monitor_vm */
	GPtrArray *lost; /* names lost since the last digest */
	uint64_t seq;
};

static void vm_free(gpointer data)
{
	struct monitor_vm *vm = data;

	CODEC_FREE(vm_report, &vm->report);
	g_free(vm);
}

struct monitor *monitor_create(const struct monitor_opts *opts)
{
	struct monitor *monitor = g_new0(struct monitor, 1);

	monitor->opts = *opts;
	monitor->vms = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     vm_free);
	monitor->lost = g_ptr_array_new_with_free_func(g_free);
	return monitor;
}

void monitor_destroy(struct monitor *monitor)
{
	if (!monitor)
		return;
	g_hash_table_unref(monitor->vms);
	g_ptr_array_unref(monitor->lost);
	g_free(monitor);
}

static bool same_staged(const struct vm_report *a, const struct vm_report *b)
{
	if (a->staged.staged_len != b->staged.staged_len)
		return false;
	for (u_int i = 0; i < a->staged.staged_len; i++)
		if (strcmp(a->staged.staged_val[i], b->staged.staged_val[i]) !=
		    0)
			return false;
	return true;
}

static bool same_status(const struct vm_report *a, const struct vm_report *b)
{
	return a->incarnation == b->incarnation && a->ready == b->ready &&
	       a->serving == b->serving && a->broken == b->broken &&
	       a->slots == b->slots && a->leaving == b->leaving &&
	       a->replica == b->replica && a->epoch == b->epoch &&
	       a->fencing_token == b->fencing_token &&
	       !strcmp(a->address, b->address) &&
	       !strcmp(a->domain, b->domain) && !strcmp(a->model, b->model) &&
	       !strcmp(a->adapter, b->adapter) &&
	       !strcmp(a->model_version, b->model_version) &&
	       !strcmp(a->service, b->service) && !strcmp(a->pool, b->pool) &&
	       a->accelerators == b->accelerators && same_staged(a, b);
}

/*
 * Returns the number of bits of a load, so that only changes of its magnitude
 * are sent in digests.
 */
static uint32_t load_level(uint32_t n)
{
	/* g_bit_storage(0) is 1, like that of 1; idle must differ from busy. */
	return n ? (uint32_t)g_bit_storage(n) : 0;
}

static bool same_load(const struct load_report *a, const struct load_report *b)
{
	return load_level(a->running) == load_level(b->running) &&
	       load_level(a->waiting) == load_level(b->waiting) &&
	       a->step_us / 1024 == b->step_us / 1024;
}

/*
 * A VM that has announced its leaving remains leaving until it restarts with a
 * new incarnation. Returns `report`, or a copy in `leaving` with the mark set.
 */
static const struct vm_report *keep_leaving(const struct vm_report *known,
					    const struct vm_report *report,
					    struct vm_report *leaving)
{
	if (!known || !known->leaving || report->leaving ||
	    known->incarnation != report->incarnation)
		return report;
	*leaving = *report;
	leaving->leaving = TRUE;
	return leaving;
}

bool monitor_handle_announcement(struct monitor *monitor, int64_t now_ms,
				 const struct vm_report *report)
{
	struct monitor_vm *vm = g_hash_table_lookup(monitor->vms, report->name);
	struct vm_report leaving;
	bool status_changed;

	if (vm && report->incarnation < vm->report.incarnation)
		return false;
	if (vm && report->incarnation == vm->report.incarnation &&
	    report->sequence <= vm->report.sequence)
		return false;
	report = keep_leaving(vm ? &vm->report : NULL, report, &leaving);
	status_changed = !vm || !same_status(&vm->report, report);
	if (!vm)
		vm = g_new0(struct monitor_vm, 1);
	else
		g_hash_table_steal(monitor->vms, report->name);
	vm->changed |= status_changed ||
		       !same_load(&vm->report.load, &report->load);
	CODEC_FREE(vm_report, &vm->report);
	if (!CODEC_COPY(vm_report, report, &vm->report))
		g_assert_not_reached();
	vm->last_announced_ms = now_ms;
	g_hash_table_insert(monitor->vms, vm->report.name, vm);
	return status_changed;
}

/*
 * Above all that is known of the VM, for views that drop what is outdated as a
 * whole.
 */
static uint64_t next_sequence(const struct vm_report *own,
			      const struct vm_report *known)
{
	uint64_t last = own->sequence;

	if (known && known->incarnation == own->incarnation)
		last = MAX(last, known->sequence);
	return last + 1;
}

bool monitor_mark_leaving(struct monitor *monitor, int64_t now_ms,
			  const struct vm_report *known, const char *name)
{
	struct monitor_vm *vm = g_hash_table_lookup(monitor->vms, name);
	struct vm_report report;

	if (vm) {
		if (vm->report.leaving)
			return false;
		vm->report.leaving = TRUE;
		vm->report.sequence = next_sequence(&vm->report, known);
		vm->last_announced_ms = now_ms;
		vm->changed = true;
		return true;
	}
	if (!known || known->leaving)
		return false;
	report = *known;
	report.leaving = TRUE;
	report.sequence = next_sequence(known, NULL);
	return monitor_handle_announcement(monitor, now_ms, &report);
}

static void collect_lost(struct monitor *monitor, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, monitor->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct monitor_vm *vm = value;

		if (now_ms - vm->last_announced_ms <= monitor->opts.silence_ms)
			continue;
		g_ptr_array_add(monitor->lost, g_strdup(vm->report.name));
		g_hash_table_iter_remove(&iter);
	}
}

static void add_changed(struct monitor *monitor, bool full,
			struct digest *digest)
{
	u_int n = 0;
	GHashTableIter iter;
	gpointer value;

	digest->changed_vms.changed_vms_val = calloc(
		g_hash_table_size(monitor->vms) + 1, sizeof(struct vm_report));
	g_hash_table_iter_init(&iter, monitor->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct monitor_vm *vm = value;

		if (!full && !vm->changed)
			continue;
		if (!CODEC_COPY(vm_report, &vm->report,
				&digest->changed_vms.changed_vms_val[n++]))
			g_assert_not_reached();
		vm->changed = false;
	}
	digest->changed_vms.changed_vms_len = n;
}

void monitor_make_digest(struct monitor *monitor, int64_t now_ms, bool full,
			 struct digest *digest)
{
	memset(digest, 0, sizeof(*digest));
	collect_lost(monitor, now_ms);
	digest->monitor_node = monitor->opts.node;
	digest->incarnation = monitor->opts.incarnation;
	digest->sequence = ++monitor->seq;
	digest->full = full;
	add_changed(monitor, full, digest);
	digest->lost_vms.lost_vms_val = calloc(monitor->lost->len + 1,
					       sizeof(vm_name));
	digest->lost_vms.lost_vms_len = monitor->lost->len;
	for (guint i = 0; i < monitor->lost->len; i++)
		digest->lost_vms.lost_vms_val[i] =
			strdup(monitor->lost->pdata[i]);
	g_ptr_array_set_size(monitor->lost, 0);
}

void monitor_digest_clear(struct digest *digest)
{
	CODEC_FREE(digest, digest);
}

uint32_t monitor_vm_count(const struct monitor *monitor)
{
	return g_hash_table_size(monitor->vms);
}
