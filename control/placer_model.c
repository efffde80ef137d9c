/*
 * Keeps the planner's services, VMs and replicas up to date with the log and
 * the view of VMs.
 */
#include <string.h>

#include "control/placer_internal.h"

/* Factor on the limit of concurrent weight loads during a cold start. */
#define COLD_START_LOADS_FACTOR 16

/*
 * A preload ends when the VM reports the weights, restarts or is lost, and at
 * its deadline.
 */
static void sync_preload(struct placer *placer, const struct vm_report *r,
			 bool alive)
{
	struct vm_orders *o = g_hash_table_lookup(placer->orders, r->name);

	if (!o || !o->preload_until_ms)
		return;
	if (!alive || r->incarnation != o->preload_incarnation ||
	    o->preload_until_ms < placer_now_ms(placer) ||
	    placer_has_weights(r, o->preload_model, o->preload_version))
		o->preload_until_ms = 0;
	placement_set_preloading(placer->placement, r->name,
				 o->preload_until_ms != 0);
}

static void sync_vm(void *ctx, const struct view_vm *seen)
{
	struct placer *placer = ctx;
	const struct vm_report *r = &seen->report;
	const struct vm_state *held = state_vm(placer_state(placer), r->name);
	struct placement_vm vm = {
		.name = r->name,
		.domain = r->domain,
		.data_centre = r->data_centre,
		.pool = r->pool,
		.model = r->model,
		.adapter = r->adapter,
		.version = r->model_version,
		.staged = (const char *const *)r->staged.staged_val,
		.staged_count = r->staged.staged_len,
		.accelerators = r->accelerators,
		.alive = placer_is_alive(placer, seen),
		.leaving = r->leaving,
		.lost_ms = seen->lost_ms,
	};

	if (*r->service)
		return; /* endpoint of a plain service, which is not placed */
	placement_put_vm(placer->placement, placer_now_ms(placer), &vm);
	placement_set_holder(placer->placement, r->name,
			     held ? held->replica : 0, held && held->releasing);
	sync_preload(placer, r, vm.alive);
}

static void sync_held_vm(void *ctx, const struct vm_state *held)
{
	struct placer *placer = ctx;

	placement_set_holder(placer->placement, held->name, held->replica,
			     held->releasing);
}

static void sync_service(void *ctx, const struct service_state *service)
{
	struct placer *placer = ctx;
	const struct preset_spec *preset = service_active_preset(service);
	const struct service_spec *spec = &service->spec;
	struct placement_service s = {
		.name = service->name,
		.model = spec->model,
		.adapter = spec->adapter,
		.version = preset->model_version,
		.pool = spec->pool,
		.replicas = preset->replicas,
		.vms_per_replica = spec->vms_per_replica,
		.accelerators_per_vm = spec->accelerators_per_vm,
		.cross_domain = spec->cross_domain != 0,
		.downtime_weight = spec->downtime_weight,
		.stranded_weight = spec->stranded_weight,
	};

	if (spec->is_plain)
		return;
	if (spec->share_permille) {
		s.replicas = placer_target_replicas(placer, service);
		s.keep_healthy = true;
	}
	placement_put_service(placer->placement, &s);
	g_hash_table_add(placer->planned_services, g_strdup(service->name));
}

static uint32_t request_count(const struct view *view, const char *vm)
{
	const struct view_vm *seen = view_find(view, vm);

	return seen ? seen->report.load.running + seen->report.load.waiting : 0;
}

/*
 * Entries that have just started use confirmed replicas until VMs have
 * announced themselves to them.
 */
static void propose_confirm(struct placer *placer,
			    const struct replica_state *replica)
{
	struct command command = { .body.kind = CMD_CONFIRM_REPLICA };
	struct confirm_replica *change = &command.body.command_body_u.confirm;

	if (replica->confirmed)
		return;
	change->replica = replica->assign.replica;
	change->epoch = replica->assign.epoch;
	placer_propose(placer, &command);
}

static void sync_replica(void *ctx, const struct replica_state *replica)
{
	struct placer *placer = ctx;
	const struct assign_replica *a = &replica->assign;
	gpointer number = GUINT_TO_POINTER(a->replica);
	gpointer epoch = GSIZE_TO_POINTER(a->epoch + 1);
	const struct view *view = placer->control->view;
	const char *vms[PLACEMENT_VMS_MAX], *faulty_vm;
	int64_t valid_until_ms;
	bool is_ready;

	if (g_hash_table_lookup(placer->planned_epochs, number) != epoch) {
		for (u_int i = 0; i < a->vms.vms_len; i++)
			vms[i] = a->vms.vms_val[i].name;
		placement_put_replica(placer->placement, placer_now_ms(placer),
				      a->replica, a->epoch, a->service,
				      a->model_version, vms, a->vms.vms_len);
		g_hash_table_insert(placer->planned_epochs, number, epoch);
	}
	is_ready = view_check_replica(view, a, placer_now_ms(placer), 0,
				      &faulty_vm,
				      &valid_until_ms) == REPLICA_HEALTHY;
	placement_set_healthy(placer->placement, a->replica, is_ready);
	if (is_ready && g_hash_table_lookup(placer->ready_epochs, number) !=
				GSIZE_TO_POINTER(a->epoch))
		propose_confirm(placer, replica);
	if (is_ready)
		g_hash_table_insert(placer->ready_epochs, number,
				    GSIZE_TO_POINTER(a->epoch));
	placement_set_busy(placer->placement, a->replica,
			   request_count(view, a->vms.vms_val[0].name) > 0);
}

static gboolean remove_if_released(gpointer key, gpointer value, gpointer data)
{
	struct placer *placer = data;
	const struct replica_state *r = state_replica(placer_state(placer),
						      GPOINTER_TO_UINT(key));

	(void)value;
	if (r && !r->released)
		return FALSE;
	placement_remove_replica(placer->placement, GPOINTER_TO_UINT(key));
	return TRUE;
}

static gboolean remove_if_deleted(gpointer key, gpointer value, gpointer data)
{
	struct placer *placer = data;

	(void)value;
	if (state_service(placer_state(placer), key))
		return FALSE;
	placement_remove_service(placer->placement, key);
	return TRUE;
}

void placer_sync_planner(struct placer *placer)
{
	const struct state *state = placer_state(placer);
	const struct deployment *d = state_deployment(state);

	if (d && d->weight_loads_max)
		placement_set_loads_max(
			placer->placement,
			d->weight_loads_max * (placer_in_cold_start(placer)
						       ? COLD_START_LOADS_FACTOR
						       : 1));

	placer_reset_targets(placer);
	state_each_service(state, sync_service, placer);
	g_hash_table_foreach_remove(placer->planned_services, remove_if_deleted,
				    placer);
	view_each(placer->control->view, sync_vm, placer);
	state_each_vm(state, sync_held_vm, placer);
	g_hash_table_foreach_remove(placer->planned_epochs, remove_if_released,
				    placer);
	state_each_replica(state, sync_replica, placer);
}
