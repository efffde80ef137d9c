/*
 * The replica aggregate: the VMs that form a replica, and its epoch. An
 * assignment under a new epoch may keep VMs of the previous one; all other VMs
 * must be free.
 */
#include <stdlib.h>
#include <string.h>

#include "state/state_internal.h"
#include "wire/codec.h"

/*
 * Released replicas that stay for operators to look at. The last number given
 * must stay, so that it isn't given again.
 */
#define RELEASED_KEPT 32u

static bool assignment_has_vm(const struct assign_replica *assign,
			      const char *vm)
{
	for (u_int i = 0; i < assign->vms.vms_len; i++)
		if (!strcmp(assign->vms.vms_val[i].name, vm))
			return true;
	return false;
}

static bool has_duplicate_vm(const struct assign_replica *assign)
{
	for (u_int i = 0; i < assign->vms.vms_len; i++)
		for (u_int j = 0; j < i; j++)
			if (!strcmp(assign->vms.vms_val[i].name,
				    assign->vms.vms_val[j].name))
				return true;
	return false;
}

static enum rd_result check_assign(const struct state *state,
				   const struct assign_replica *assign,
				   const char **detail)
{
	const struct service_state *service = state_service(state,
							    assign->service);
	const struct replica_state *old = state_replica(state, assign->replica);

	*detail = assign->service;
	if (!service)
		return RD_NO_SERVICE;
	if (assign->epoch <= state->last_epoch)
		return RD_STALE_EPOCH;
	if (old && !old->released &&
	    strcmp(old->assign.service, assign->service) != 0)
		return RD_INVALID;
	if (!assign->replica || has_duplicate_vm(assign) ||
	    assign->vms.vms_len != service->spec.vms_per_replica)
		return RD_INVALID;
	for (u_int i = 0; i < assign->vms.vms_len; i++) {
		*detail = assign->vms.vms_val[i].name;
		if (!vm_is_assignable(state, *detail, assign->replica))
			return RD_VM_TAKEN;
	}
	return RD_OK;
}

/* Begins to release the VMs that `assign` omits, or all VMs if it is NULL. */
static void release_unassigned_vms(struct state *state,
				   const struct replica_state *old,
				   const struct assign_replica *assign)
{
	for (u_int i = 0; i < old->assign.vms.vms_len; i++) {
		const char *vm = old->assign.vms.vms_val[i].name;

		if (!assign || !assignment_has_vm(assign, vm))
			vm_begin_release(state, vm, old->assign.replica);
	}
}

void replica_assign(struct state *state, const struct command *command,
		    struct apply_result *result)
{
	const struct assign_replica *assign =
		&command->body.command_body_u.assign;
	gpointer number = GUINT_TO_POINTER(assign->replica);
	const char *detail = "";
	enum rd_result code = check_assign(state, assign, &detail);
	struct replica_state *replica;

	state_result_set(result, code, detail);
	if (code)
		return;
	replica = g_tree_lookup(state->replicas, number);
	if (replica) {
		release_unassigned_vms(state, replica, assign);
		CODEC_FREE(replica_state, replica);
	} else {
		replica = calloc(1, sizeof(*replica));
		g_tree_insert(state->replicas, number, replica);
	}
	if (!CODEC_COPY(assign_replica, assign, &replica->assign))
		g_assert_not_reached();
	replica->released = FALSE;
	replica->confirmed = FALSE;
	state->last_epoch = assign->epoch;
	for (u_int i = 0; i < assign->vms.vms_len; i++)
		vm_assign(state, assign->vms.vms_val[i].name, assign->replica,
			  assign->epoch);
	result->revision = assign->epoch;
}

static gboolean append_released(gpointer key, gpointer value, gpointer data)
{
	const struct replica_state *replica = value;

	if (replica->released)
		g_ptr_array_add(data, key);
	return FALSE;
}

void replica_remove_released(struct state *state)
{
	GPtrArray *numbers = g_ptr_array_new();

	g_tree_foreach(state->replicas, append_released, numbers);
	for (guint i = 0; i + RELEASED_KEPT < numbers->len; i++)
		g_tree_remove(state->replicas, numbers->pdata[i]);
	g_ptr_array_unref(numbers);
}

/* Returns the replica if it is at this epoch and not released, or NULL. */
static struct replica_state *find_at_epoch(const struct state *state,
					   uint32_t number, uint64_t epoch)
{
	struct replica_state *replica = g_tree_lookup(state->replicas,
						      GUINT_TO_POINTER(number));

	return replica && !replica->released && replica->assign.epoch == epoch
		       ? replica
		       : NULL;
}

void replica_release(struct state *state, const struct command *command,
		     struct apply_result *result)
{
	const struct release_replica *change =
		&command->body.command_body_u.release;
	struct replica_state *replica = find_at_epoch(state, change->replica,
						      change->epoch);

	if (!replica) {
		state_result_set(result, RD_STALE_EPOCH, "");
		return;
	}
	release_unassigned_vms(state, replica, NULL);
	replica->released = TRUE;
	replica_remove_released(state);
	state_result_set(result, RD_OK, "");
}

void replica_confirm(struct state *state, const struct command *command,
		     struct apply_result *result)
{
	const struct confirm_replica *change =
		&command->body.command_body_u.confirm;
	struct replica_state *replica = find_at_epoch(state, change->replica,
						      change->epoch);

	if (!replica) {
		state_result_set(result, RD_STALE_EPOCH, "");
		return;
	}
	replica->confirmed = TRUE;
	state_result_set(result, RD_OK, "");
}

const struct replica_state *state_replica(const struct state *state,
					  uint32_t replica)
{
	return g_tree_lookup(state->replicas, GUINT_TO_POINTER(replica));
}

struct visit_replicas {
	void (*visit)(void *ctx, const struct replica_state *replica);
	void *ctx;
};

static gboolean visit_replica(gpointer key, gpointer value, gpointer data)
{
	struct visit_replicas *v = data;
	struct replica_state *replica = value;

	(void)key;
	if (!replica->released)
		v->visit(v->ctx, replica);
	return FALSE;
}

void state_each_replica(const struct state *state,
			void (*visit)(void *ctx,
				      const struct replica_state *replica),
			void *ctx)
{
	struct visit_replicas v = { visit, ctx };

	g_tree_foreach(state->replicas, visit_replica, &v);
}

uint32_t state_next_replica_number(const struct state *state)
{
	GTreeNode *last = g_tree_node_last(state->replicas);

	return last ? GPOINTER_TO_UINT(g_tree_node_key(last)) + 1 : 1;
}
