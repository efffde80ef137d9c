/* View: the merged digests of all monitors. */
#include <stdlib.h>
#include <string.h>

#include <radishdeal/evidence.h>

#include "wire/codec.h"

/** State of a monitor's digests. */
struct view_monitor {
	uint32_t node;
	uint64_t incarnation;
	uint64_t seq;
	int64_t last_digest_ms; /* last one that was full or without a gap */
};

/** A monitor that reports a VM alive. */
struct view_source {
	uint32_t node;
	int64_t reported_ms; /* when it last listed the VM in a digest */
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

static void vm_free(gpointer data)
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
	view->vms = g_tree_new_full(compare_names, NULL, g_free, vm_free);
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
		vm->monitors = g_array_new(FALSE, FALSE,
					   sizeof(struct view_source));
		g_tree_insert(view->vms, g_strdup(name), vm);
	}
	return vm;
}

static struct view_source *source_at(const struct view_vm *vm, guint at)
{
	return &g_array_index(vm->monitors, struct view_source, at);
}

static int monitor_index(const struct view_vm *vm, uint32_t node)
{
	for (guint i = 0; i < vm->monitors->len; i++)
		if (source_at(vm, i)->node == node)
			return (int)i;
	return -1;
}

static void mark_lost(struct view *view, struct view_vm *vm, int64_t now_ms)
{
	vm->fresh_until_ms = 0;
	vm->lost_ms = now_ms;
	vm->losses++;
	view->version++;
}

/*
 * A VM is renewed by the digests that list it, and by those without a gap that
 * don't.
 */
static void renew(const struct view *view, struct view_vm *vm)
{
	int64_t heard_ms = 0;

	for (guint i = 0; i < vm->monitors->len; i++) {
		const struct view_source *source = source_at(vm, i);
		const struct view_monitor *monitor = g_hash_table_lookup(
			view->monitors, GUINT_TO_POINTER(source->node));

		heard_ms = MAX(heard_ms, MAX(monitor->last_digest_ms,
					     source->reported_ms));
	}
	vm->heard_ms = MAX(vm->heard_ms, heard_ms);
	vm->fresh_until_ms = heard_ms + view->opts.silence_ms;
}

static void add_source(struct view_vm *vm, uint32_t node, int64_t now_ms)
{
	struct view_source source = { node, now_ms };
	int at = monitor_index(vm, node);

	if (at < 0)
		g_array_append_val(vm->monitors, source);
	else
		source_at(vm, (guint)at)->reported_ms = now_ms;
}

static void remove_monitor(struct view *view, struct view_vm *vm, uint32_t node,
			   int64_t now_ms)
{
	int at = monitor_index(vm, node);

	if (at < 0)
		return;
	g_array_remove_index_fast(vm->monitors, (guint)at);
	if (vm->monitors->len)
		renew(view, vm);
	else
		mark_lost(view, vm, now_ms);
}

static bool is_newer(const struct vm_report *a, const struct vm_report *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	return a->sequence > b->sequence;
}

/*
 * A VM keeps its weights in memory while it belongs to no replica or joins
 * another one, although it does not report them then. Returns a copy of the
 * model that is still loaded, or NULL.
 */
static char *get_loaded_model(const struct vm_report *known,
			      const struct vm_report *report)
{
	if (!known->name || *report->model ||
	    known->incarnation != report->incarnation)
		return NULL;
	return g_strdup(known->model);
}

/* Takes ownership of `model`, which may be NULL: no change. */
static void set_loaded_model(struct vm_report *report, char *model)
{
	if (!model)
		return;
	free(report->model);
	report->model = strdup(model);
	g_free(model);
}

/*
 * Leaving is final until the VM restarts with a new incarnation, whichever of
 * its monitors was told and whichever has its last announcement.
 */
static void take_leaving(struct view *view, struct vm_report *known,
			 const struct vm_report *report)
{
	if (!report->leaving || known->leaving ||
	    known->incarnation != report->incarnation)
		return;
	known->leaving = TRUE;
	view->version++;
}

static void apply_report(struct view *view, uint32_t node,
			 const struct vm_report *report, int64_t now_ms)
{
	struct view_vm *vm = get_vm(view, report->name);
	char *loaded;
	bool leaving;

	if (!vm->monitors->len) {
		vm->alive_since_ms = now_ms;
		view->version++;
	}
	add_source(vm, node, now_ms);
	if (vm->report.name && !is_newer(report, &vm->report)) {
		take_leaving(view, &vm->report, report);
		return;
	}
	leaving = vm->report.name && vm->report.leaving &&
		  vm->report.incarnation == report->incarnation;
	loaded = get_loaded_model(&vm->report, report);
	CODEC_FREE(vm_report, &vm->report);
	if (!CODEC_COPY(vm_report, report, &vm->report))
		g_assert_not_reached();
	set_loaded_model(&vm->report, loaded);
	vm->report.leaving |= leaving;
	view->version++;
}

struct removal {
	struct view *view;
	const struct digest *digest;
	GHashTable *listed;
	int64_t now_ms;
};

static gboolean remove_if_unlisted(gpointer key, gpointer value, gpointer data)
{
	struct removal *r = data;

	if (!g_hash_table_contains(r->listed, key))
		remove_monitor(r->view, value, r->digest->monitor_node,
			       r->now_ms);
	return FALSE;
}

/* A full digest lists all VMs of its monitor, which has lost any other VM. */
static void remove_unlisted(struct view *view, const struct digest *digest,
			    int64_t now_ms)
{
	struct removal r = {
		.view = view,
		.digest = digest,
		.listed = g_hash_table_new(g_str_hash, g_str_equal),
		.now_ms = now_ms,
	};

	for (u_int i = 0; i < digest->changed_vms.changed_vms_len; i++)
		g_hash_table_add(r.listed,
				 digest->changed_vms.changed_vms_val[i].name);
	g_tree_foreach(view->vms, remove_if_unlisted, &r);
	g_hash_table_unref(r.listed);
}

struct renewal {
	struct view *view;
	const struct view_monitor *monitor;
};

static gboolean renew_vm(gpointer key, gpointer value, gpointer data)
{
	struct renewal *r = data;
	struct view_vm *vm = value;

	(void)key;
	if (monitor_index(vm, r->monitor->node) >= 0)
		renew(r->view, vm);
	return FALSE;
}

bool view_merge(struct view *view, int64_t now_ms, const struct digest *digest)
{
	struct view_monitor *monitor = get_monitor(view, digest->monitor_node);
	bool gap = monitor->incarnation != digest->incarnation ||
		   monitor->seq + 1 != digest->sequence;
	struct renewal renewal = { view, monitor };

	if (digest->incarnation < monitor->incarnation ||
	    (digest->incarnation == monitor->incarnation &&
	     digest->sequence <= monitor->seq))
		return true; /* outdated */
	/*
	 * A missing digest may have reported a loss. Until the full digest
	 * arrives, this monitor's digests do not renew the liveness of its VMs.
	 */
	if (!gap || digest->full) {
		monitor->incarnation = digest->incarnation;
		monitor->seq = digest->sequence;
		monitor->last_digest_ms = now_ms;
	}
	for (u_int i = 0; i < digest->changed_vms.changed_vms_len; i++)
		apply_report(view, digest->monitor_node,
			     &digest->changed_vms.changed_vms_val[i], now_ms);
	for (u_int i = 0; i < digest->lost_vms.lost_vms_len; i++) {
		struct view_vm *vm = g_tree_lookup(
			view->vms, digest->lost_vms.lost_vms_val[i]);

		if (vm)
			remove_monitor(view, vm, digest->monitor_node, now_ms);
	}
	if (digest->full)
		remove_unlisted(view, digest, now_ms);
	g_tree_foreach(view->vms, renew_vm, &renewal);
	return !gap || digest->full;
}

struct expiry {
	struct view *view;
	int64_t now_ms;
};

static gboolean expire_vm(gpointer key, gpointer value, gpointer data)
{
	struct expiry *e = data;
	struct view_vm *vm = value;

	(void)key;
	if (!vm->monitors->len || e->now_ms < vm->fresh_until_ms)
		return FALSE;
	g_array_set_size(vm->monitors, 0);
	mark_lost(e->view, vm, e->now_ms);
	return FALSE;
}

void view_expire(struct view *view, int64_t now_ms)
{
	struct expiry e = { view, now_ms };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, view->monitors);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct view_monitor *monitor = value;

		if (now_ms - monitor->last_digest_ms < view->opts.silence_ms)
			continue;
		/*
		 * Creates a gap, so that a full digest is requested, of any
		 * incarnation: the clock that it was taken from may have been
		 * set back.
		 */
		monitor->seq = 0;
		monitor->incarnation = 0;
	}
	g_tree_foreach(view->vms, expire_vm, &e);
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

struct visitor {
	void (*visit)(void *ctx, const struct view_vm *vm);
	void *ctx;
};

static gboolean visit_vm(gpointer key, gpointer value, gpointer data)
{
	struct visitor *v = data;

	(void)key;
	v->visit(v->ctx, value);
	return FALSE;
}

void view_each(const struct view *view,
	       void (*visit)(void *ctx, const struct view_vm *vm), void *ctx)
{
	struct visitor v = { visit, ctx };

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

static enum replica_fault check_vm(const struct view *view,
				   const struct assign_replica *replica,
				   const struct view_vm *vm, bool is_head,
				   int64_t now_ms)
{
	if (!vm)
		return REPLICA_VM_UNKNOWN;
	/*
	 * The last report takes precedence over silence: a VM that has left
	 * must not be mistaken for one that is only disconnected.
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
				      const char **faulty_vm,
				      int64_t *fresh_until_ms)
{
	bool presumed = now_ms < presumed_until_ms;
	enum replica_fault worst = REPLICA_HEALTHY;

	*faulty_vm = NULL;
	*fresh_until_ms = INT64_MAX;
	for (u_int i = 0; i < replica->vms.vms_len; i++) {
		const char *name = replica->vms.vms_val[i].name;
		const struct view_vm *vm = view_find(view, name);
		enum replica_fault fault = check_vm(view, replica, vm, !i,
						    now_ms);

		if (fault == REPLICA_VM_UNKNOWN && presumed) {
			*fresh_until_ms = MIN(*fresh_until_ms,
					      presumed_until_ms);
		} else if (!fault) {
			*fresh_until_ms = MIN(*fresh_until_ms,
					      vm->fresh_until_ms);
		} else if (!worst || worst == REPLICA_VM_SILENT) {
			/* Any reported fault is more specific than silence. */
			worst = fault;
			*faulty_vm = name;
		}
	}
	if (worst)
		*fresh_until_ms = 0;
	return worst;
}
