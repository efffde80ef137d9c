/* The merged view of all homes' digests. */
#include <stdlib.h>
#include <string.h>

#include <radishdeal/evidence.h>

#include "wire/codec.h"

/** What is known of a home. */
struct view_monitor {
	uint32_t node;
	uint64_t incarnation;
	uint64_t seq;
	int64_t heard_ms;
};

struct view {
	struct view_opts opts;
	GTree *vms;	      /* name -> struct view_vm */
	GHashTable *monitors; /* node -> struct view_monitor */
	uint64_t version;
};

static gint compare_names(gconstpointer a, gconstpointer b, gpointer ctx)
{
	(void)ctx;
	return strcmp(a, b);
}

static void vm_drop(gpointer data)
{
	struct view_vm *vm = data;

	g_array_unref(vm->monitors);
	CODEC_FREE(vm_report, &vm->report);
	g_free(vm);
}

struct view *view_create(const struct view_opts *opts)
{
	struct view *view = g_new0(struct view, 1);

	view->opts = *opts;
	view->vms = g_tree_new_full(compare_names, NULL, g_free, vm_drop);
	view->monitors = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return view;
}

void view_destroy(struct view *view)
{
	if (!view)
		return;
	g_tree_unref(view->vms);
	g_hash_table_unref(view->monitors);
	g_free(view);
}

static struct view_monitor *get_monitor(struct view *view, uint32_t node)
{
	gpointer key = GUINT_TO_POINTER(node);
	struct view_monitor *monitor = g_hash_table_lookup(view->monitors, key);

	if (!monitor) {
		monitor = g_new0(struct view_monitor, 1);
		monitor->node = node;
		g_hash_table_insert(view->monitors, key, monitor);
	}
	return monitor;
}

static struct view_vm *get_vm(struct view *view, const char *name)
{
	struct view_vm *vm = g_tree_lookup(view->vms, name);

	if (!vm) {
		vm = g_new0(struct view_vm, 1);
		vm->monitors = g_array_new(FALSE, FALSE, sizeof(uint32_t));
		g_tree_insert(view->vms, g_strdup(name), vm);
	}
	return vm;
}

static int monitor_index(const struct view_vm *vm, uint32_t node)
{
	for (guint i = 0; i < vm->monitors->len; i++)
		if (g_array_index(vm->monitors, uint32_t, i) == node)
			return (int)i;
	return -1;
}

static void lose(struct view *view, struct view_vm *vm, int64_t now_ms)
{
	vm->fresh_until_ms = 0;
	vm->lost_ms = now_ms;
	vm->losses++;
	view->version++;
}

static int64_t vouched_until(const struct view *view, const struct view_vm *vm)
{
	int64_t until = 0;

	for (guint i = 0; i < vm->monitors->len; i++) {
		uint32_t node = g_array_index(vm->monitors, uint32_t, i);
		const struct view_monitor *monitor = g_hash_table_lookup(
			view->monitors, GUINT_TO_POINTER(node));

		until = MAX(until, monitor->heard_ms + view->opts.silence_ms);
	}
	return until;
}

static void remove_monitor(struct view *view, struct view_vm *vm, uint32_t node,
			   int64_t now_ms)
{
	int at = monitor_index(vm, node);

	if (at < 0)
		return;
	g_array_remove_index_fast(vm->monitors, (guint)at);
	vm->fresh_until_ms = vouched_until(view, vm);
	if (!vm->monitors->len)
		lose(view, vm, now_ms);
}

static bool is_newer(const struct vm_report *a, const struct vm_report *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	return a->sequence > b->sequence;
}

/*
 * Weights stay in a VM's memory while it belongs to no replica or joins the
 * next one, though it then says nothing of them.
 */
static char *still_loaded(const struct vm_report *known,
			  const struct vm_report *report)
{
	if (!known->name || *report->model ||
	    known->incarnation != report->incarnation)
		return NULL;
	return g_strdup(known->model);
}

static void keep_loaded(struct vm_report *report, char *model)
{
	if (!model)
		return;
	free(report->model);
	report->model = strdup(model);
	g_free(model);
}

static void take_report(struct view *view, uint32_t node,
			const struct vm_report *report, int64_t now_ms)
{
	struct view_vm *vm = get_vm(view, report->name);
	char *loaded;
	bool leaving;

	if (!vm->monitors->len)
		vm->alive_since_ms = now_ms;
	if (monitor_index(vm, node) < 0)
		g_array_append_val(vm->monitors, node);
	if (vm->report.name && !is_newer(report, &vm->report))
		return;
	leaving = vm->report.name && vm->report.leaving &&
		  vm->report.incarnation == report->incarnation;
	loaded = still_loaded(&vm->report, report);
	CODEC_FREE(vm_report, &vm->report);
	if (!CODEC_COPY(vm_report, report, &vm->report))
		g_assert_not_reached();
	keep_loaded(&vm->report, loaded);
	/* Who once said that it leaves stays so until it starts anew. */
	vm->report.leaving |= leaving;
	view->version++;
}

struct forgetting {
	struct view *view;
	const struct digest *digest;
	GHashTable *named;
	int64_t now_ms;
};

static gboolean forget_unnamed(gpointer key, gpointer value, gpointer data)
{
	struct forgetting *f = data;

	if (!g_hash_table_contains(f->named, key))
		remove_monitor(f->view, value, f->digest->home, f->now_ms);
	return FALSE;
}

/* A full digest names all that its home hears; the rest it has lost. */
static void forget_others(struct view *view, const struct digest *digest,
			  int64_t now_ms)
{
	struct forgetting f = {
		.view = view,
		.digest = digest,
		.named = g_hash_table_new(g_str_hash, g_str_equal),
		.now_ms = now_ms,
	};

	for (u_int i = 0; i < digest->changed.changed_len; i++)
		g_hash_table_add(f.named, digest->changed.changed_val[i].name);
	g_tree_foreach(view->vms, forget_unnamed, &f);
	g_hash_table_unref(f.named);
}

struct refreshing {
	struct view *view;
	const struct view_monitor *monitor;
};

static gboolean refresh_vm(gpointer key, gpointer value, gpointer data)
{
	struct refreshing *r = data;
	struct view_vm *vm = value;

	(void)key;
	if (monitor_index(vm, r->monitor->node) >= 0)
		vm->fresh_until_ms = vouched_until(r->view, vm);
	return FALSE;
}

bool view_merge(struct view *view, int64_t now_ms, const struct digest *digest)
{
	struct view_monitor *monitor = get_monitor(view, digest->home);
	bool gap = monitor->incarnation != digest->incarnation ||
		   monitor->seq + 1 != digest->seq;
	struct refreshing refreshing = { view, monitor };

	if (digest->incarnation < monitor->incarnation ||
	    (digest->incarnation == monitor->incarnation &&
	     digest->seq <= monitor->seq))
		return true; /* late; nothing new in it */
	/*
	 * Behind a gap a loss may hide, so until the full digest comes this
	 * home's word is not renewed.
	 */
	if (!gap || digest->full) {
		monitor->incarnation = digest->incarnation;
		monitor->seq = digest->seq;
		monitor->heard_ms = now_ms;
	}
	for (u_int i = 0; i < digest->changed.changed_len; i++)
		take_report(view, digest->home, &digest->changed.changed_val[i],
			    now_ms);
	for (u_int i = 0; i < digest->lost.lost_len; i++) {
		struct view_vm *vm = g_tree_lookup(view->vms,
						   digest->lost.lost_val[i]);

		if (vm)
			remove_monitor(view, vm, digest->home, now_ms);
	}
	if (digest->full)
		forget_others(view, digest, now_ms);
	g_tree_foreach(view->vms, refresh_vm, &refreshing);
	return !gap || digest->full;
}

struct ticking {
	struct view *view;
	int64_t now_ms;
};

static gboolean tick_vm(gpointer key, gpointer value, gpointer data)
{
	struct ticking *t = data;
	struct view_vm *vm = value;

	(void)key;
	if (!vm->monitors->len || t->now_ms < vm->fresh_until_ms)
		return FALSE;
	g_array_set_size(vm->monitors, 0);
	lose(t->view, vm, t->now_ms);
	return FALSE;
}

void view_expire(struct view *view, int64_t now_ms)
{
	struct ticking t = { view, now_ms };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, view->monitors);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct view_monitor *monitor = value;

		/* What it says next must be everything. */
		if (now_ms - monitor->heard_ms >= view->opts.silence_ms)
			monitor->seq = 0;
	}
	g_tree_foreach(view->vms, tick_vm, &t);
}

const struct view_vm *view_find(const struct view *view, const char *name)
{
	return g_tree_lookup(view->vms, name);
}

bool view_alive(const struct view *view, const struct view_vm *vm,
		int64_t now_ms)
{
	(void)view;
	return vm->monitors->len && now_ms < vm->fresh_until_ms &&
	       now_ms >= vm->suspected_until_ms;
}

void view_suspect(struct view *view, const char *name, int64_t now_ms,
		  int64_t for_ms)
{
	struct view_vm *vm = g_tree_lookup(view->vms, name);

	if (!vm)
		return;
	vm->suspected_until_ms = now_ms + for_ms;
	vm->lost_ms = now_ms;
	view->version++;
}

struct visiting {
	void (*visit)(void *ctx, const struct view_vm *vm);
	void *ctx;
};

static gboolean visit_vm(gpointer key, gpointer value, gpointer data)
{
	struct visiting *v = data;

	(void)key;
	v->visit(v->ctx, value);
	return FALSE;
}

void view_each(const struct view *view,
	       void (*visit)(void *ctx, const struct view_vm *vm), void *ctx)
{
	struct visiting v = { visit, ctx };

	g_tree_foreach(view->vms, visit_vm, &v);
}

uint64_t view_version(const struct view *view)
{
	return view->version;
}

const char *replica_fault_name(enum replica_fault fault)
{
	static const char *const names[] = {
		[REPLICA_HEALTHY] = "whole",
		[REPLICA_VM_UNKNOWN] = "vm-unknown",
		[REPLICA_VM_SILENT] = "vm-silent",
		[REPLICA_VM_LEAVING] = "vm-leaving",
		[REPLICA_VM_NOT_READY] = "vm-not-ready",
		[REPLICA_VM_OTHER_EPOCH] = "vm-other-epoch",
	};

	return names[fault];
}

static enum replica_fault judge_vm(const struct view *view,
				   const struct assign_replica *replica,
				   const struct view_vm *vm, bool is_head,
				   int64_t now_ms)
{
	if (!vm)
		return REPLICA_VM_UNKNOWN;
	/*
	 * What it last said goes before its silence: one that left must not
	 * be taken for one that is only cut off.
	 */
	if (vm->report.leaving)
		return REPLICA_VM_LEAVING;
	if (vm->report.replica != replica->replica ||
	    vm->report.epoch != replica->epoch)
		return REPLICA_VM_OTHER_EPOCH;
	if (!vm->report.ready || (is_head && !vm->report.serving))
		return REPLICA_VM_NOT_READY;
	return view_alive(view, vm, now_ms) ? REPLICA_HEALTHY
					    : REPLICA_VM_SILENT;
}

enum replica_fault view_check_replica(const struct view *view,
				      const struct assign_replica *replica,
				      int64_t now_ms, int64_t presumed_until_ms,
				      const char **culprit,
				      int64_t *fresh_until_ms)
{
	bool presumed = now_ms < presumed_until_ms;
	enum replica_fault worst = REPLICA_HEALTHY;

	*culprit = NULL;
	*fresh_until_ms = INT64_MAX;
	for (u_int i = 0; i < replica->vms.vms_len; i++) {
		const char *name = replica->vms.vms_val[i].name;
		const struct view_vm *vm = view_find(view, name);
		enum replica_fault fault = judge_vm(view, replica, vm, !i,
						    now_ms);

		if (fault == REPLICA_VM_UNKNOWN && presumed) {
			*fresh_until_ms = MIN(*fresh_until_ms,
					      presumed_until_ms);
		} else if (!fault) {
			*fresh_until_ms = MIN(*fresh_until_ms,
					      vm->fresh_until_ms);
		} else if (!worst || worst == REPLICA_VM_SILENT) {
			/* Silence says less than anything that was said. */
			worst = fault;
			*culprit = name;
		}
	}
	if (worst)
		*fresh_until_ms = 0;
	return worst;
}
