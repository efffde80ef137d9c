/**
 * @file
 * The state's parts, shared by the aggregates of state/. Each file owns the
 * rules of its aggregate; only it changes that aggregate's table.
 */
#ifndef STATE_STATE_INTERNAL_H
#define STATE_STATE_INTERNAL_H

#include <radishdeal/state.h>

struct state {
	uint64_t index;
	uint64_t last_epoch;
	int64_t time_ms;	       /* greatest proposer's time seen */
	struct deployment *deployment; /* NULL before the first */
	GTree *services;	       /* name -> struct service_state */
	GTree *replicas;	       /* number -> struct replica_state */
	GTree *vms;		       /* name -> struct vm_state */
	GHashTable *changes;	       /* change id -> struct change_record */
	GQueue change_order;	    /* of struct change_record, oldest first */
	GHashTable *bookings;	    /* ledger key -> struct booking_state */
	GHashTable *booking_counts; /* service\naccount -> number */
	GQueue booking_order;	    /* of struct booking_state, oldest first */
};

/** Adds a line to what is wrong with something. */
void state_complain(GString *out, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

/* service.c */
void service_apply(struct state *state, const struct command *command,
		   struct apply_result *result);
void service_switch_preset(struct state *state, const struct command *command,
			   struct apply_result *result);
void service_rollback(struct state *state, const struct command *command,
		      struct apply_result *result);
void service_remove(struct state *state, const struct command *command,
		    struct apply_result *result);
void service_free(struct service_state *service);

/* history.c */
void history_add(struct service_state *service, const struct command *command,
		 const char *what);
const struct revision_record *history_find(const struct service_state *service,
					   uint64_t revision);

/* deployment.c */
void deployment_apply(struct state *state, const struct command *command,
		      struct apply_result *result);
void deployment_restore(struct state *state,
			const struct deployment *deployment);
void deployment_free(struct deployment *deployment);

/* replica.c */
void replica_assign(struct state *state, const struct command *command,
		    struct apply_result *result);
void replica_confirm(struct state *state, const struct command *command,
		     struct apply_result *result);
void replica_release(struct state *state, const struct command *command,
		     struct apply_result *result);

/* vm.c */
bool vm_may_join(const struct state *state, const char *vm, uint32_t replica);
void vm_take(struct state *state, const char *vm, uint32_t replica,
	     uint64_t epoch);
void vm_begin_release(struct state *state, const char *vm, uint32_t replica);
void vm_free(struct state *state, const struct command *command,
	     struct apply_result *result);

/* booking.c */
void booking_claim(struct state *state, const struct command *command,
		   struct apply_result *result);
void booking_finish(struct state *state, const struct command *command,
		    struct apply_result *result);
void booking_expire(struct state *state, const struct command *command,
		    struct apply_result *result);
void booking_restore(struct state *state, const struct booking_state *booking);
void booking_free(gpointer booking);

/* change.c */
bool change_replay(struct state *state, const struct command *command,
		   uint64_t fingerprint, struct apply_result *result);
void change_remember(struct state *state, const struct command *command,
		     uint64_t fingerprint, const struct apply_result *result);
void change_restore(struct state *state, const struct change_record *record);
uint64_t change_fingerprint(const struct command *command);
void change_free(gpointer record);

#endif
