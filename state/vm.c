/* The VM aggregate: a VM is assigned to at most one replica. */
#include <stdlib.h>
#include <string.h>

#include "state/state_internal.h"

bool vm_is_assignable(const struct state *state, const char *vm,
		      uint32_t replica)
{
	const struct vm_state *assignment = g_tree_lookup(state->vms, vm);

	return !assignment ||
	       (assignment->replica == replica && !assignment->releasing);
}

void vm_assign(struct state *state, const char *vm, uint32_t replica,
	       uint64_t epoch)
{
	struct vm_state *assignment = g_tree_lookup(state->vms, vm);

	if (!assignment) {
		assignment = calloc(1, sizeof(*assignment));
		assignment->name = strdup(vm);
		g_tree_insert(state->vms, assignment->name, assignment);
	}
	assignment->replica = replica;
	assignment->epoch = epoch;
}

void vm_begin_release(struct state *state, const char *vm, uint32_t replica)
{
	struct vm_state *assignment = g_tree_lookup(state->vms, vm);

	if (assignment && assignment->replica == replica)
		assignment->releasing = TRUE;
}

void vm_free(struct state *state, const struct command *command,
	     struct apply_result *result)
{
	const struct free_vm *change = &command->body.command_body_u.freed;
	struct vm_state *assignment = g_tree_lookup(state->vms, change->vm);

	if (!assignment || assignment->replica != change->replica ||
	    assignment->epoch != change->epoch || !assignment->releasing) {
		state_result_set(result, RD_STALE_EPOCH, change->vm);
		return;
	}
	g_tree_remove(state->vms, change->vm);
	state_result_set(result, RD_OK, "");
}

const struct vm_state *state_vm(const struct state *state, const char *vm)
{
	return g_tree_lookup(state->vms, vm);
}

struct visit_vms {
	void (*visit)(void *ctx, const struct vm_state *vm);
	void *ctx;
};

static gboolean visit_vm(gpointer key, gpointer value, gpointer data)
{
	struct visit_vms *v = data;

	(void)key;
	v->visit(v->ctx, value);
	return FALSE;
}

void state_each_vm(const struct state *state,
		   void (*visit)(void *ctx, const struct vm_state *vm),
		   void *ctx)
{
	struct visit_vms v = { visit, ctx };

	g_tree_foreach(state->vms, visit_vm, &v);
}
