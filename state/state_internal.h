/**
 * @file
 * Internal declarations of state/. Each file implements one aggregate and alone
 * changes the aggregate's table, except that deployment.c also changes
 * services.
 */
#ifndef STATE_STATE_INTERNAL_H
#define STATE_STATE_INTERNAL_H

#include <radishdeal/state.h>

struct state {
	uint64_t index;
	uint64_t last_epoch;
	int64_t time_ms; /* latest wall-clock time in an applied command */
	struct document_reader reader;
	struct deployment *deployment; /* NULL before the first one */
	bool deployment_was_completed; /* by the reader */
	GTree *services;	       /* name -> struct service_state */
	GTree *replicas;	       /* number -> struct replica_state */
	GTree *vms;		       /* name -> struct vm_state */
	GHashTable *changes;	       /* change id -> struct change_record */
	GQueue change_order;	    /* of struct change_record, oldest first */
	GHashTable *bookings;	    /* ledger key -> struct booking_state */
	GHashTable *booking_counts; /* "service\naccount" -> count */
	GQueue booking_order;	    /* of struct booking_state, oldest first */
};

/** Appends a line to a list of validation errors. */
void append_error(GString *out, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

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

/** Why a command that would add a service is refused. */
#define TOO_MANY_SERVICES \
	"the state holds " G_STRINGIFY(RD_SERVICES_MAX) " services at most"

/**
 * Makes room for services under new names: of those that operators have
 * removed, the ones that were changed the longest ago leave the state with
 * their histories. Returns false if too many are in use, with nothing changed.
 */
bool service_make_room(struct state *state, u_int added);

/** Whether a service of this name exists or can be added. */
bool service_has_room(const struct state *state, const char *name);

/* history.c */

/** Appends the current revision of a service to its history. */
void history_add(struct service_state *service, const struct command *command,
		 const char *description);
const struct revision_record *history_find(const struct service_state *service,
					   uint64_t revision);

/* deployment.c */

void deployment_apply(struct state *state, const struct command *command,
		      struct apply_result *result);
void deployment_set(struct state *state, const struct deployment *deployment);

/** Whether its services, with those of operators, are not too many. */
bool deployment_has_room(const struct state *state,
			 const struct deployment *deployment);

/**
 * Removes the services of earlier deployments that only deployments changed.
 * Earlier builds kept them in the states that they stored.
 */
void deployment_remove_unused_services(struct state *state);

/** Frees a deployment. NULL is allowed. */
void deployment_free(struct deployment *deployment);

/* replica.c */
void replica_assign(struct state *state, const struct command *command,
		    struct apply_result *result);
void replica_confirm(struct state *state, const struct command *command,
		     struct apply_result *result);
void replica_release(struct state *state, const struct command *command,
		     struct apply_result *result);

/**
 * Removes released replicas but for those with the highest numbers. Earlier
 * builds kept all of them in the states that they stored.
 */
void replica_remove_released(struct state *state);

/* vm.c */

/** Whether a VM is free, or assigned to this replica and not being released. */
bool vm_is_assignable(const struct state *state, const char *vm,
		      uint32_t replica);
void vm_assign(struct state *state, const char *vm, uint32_t replica,
	       uint64_t epoch);

/** Marks a VM as being released, if it is assigned to this replica. */
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
void booking_insert(struct state *state, const struct booking_state *booking);
void booking_free(gpointer booking);

/* change.c */

/**
 * Sets the result of an earlier command with the same change id, and returns
 * true; false if there was none.
 */
bool change_replay(struct state *state, const struct command *command,
		   uint64_t fingerprint, struct apply_result *result);

/** Stores the result of a command under its change id. */
void change_insert_result(struct state *state, const struct command *command,
			  uint64_t fingerprint,
			  const struct apply_result *result);

/** Stores a copy of a record; over the limit the oldest one is evicted. */
void change_insert(struct state *state, const struct change_record *record);

/** Returns a hash of a command that excludes the command's time. */
uint64_t change_fingerprint(const struct command *command);
void change_free(gpointer record);

#endif
