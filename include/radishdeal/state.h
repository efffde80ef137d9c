/**
 * @file
 * The replicated state: services with their presets and client accounts,
 * replicas and the VMs they hold, bookings, and the history of changes.
 *
 * A deterministic state machine: every member applies the same commands in
 * the same order and reaches the same state. No clock, file or socket. One
 * thread owns an instance; what queries return is borrowed until the next
 * state_apply().
 */
#ifndef RADISHDEAL_STATE_H
#define RADISHDEAL_STATE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include <radishdeal/result.h>

#include "wire/radishdeal.h"

struct state;

struct state *state_create(void);
void state_destroy(struct state *state);

/**
 * Applies one committed command. Fills a zeroed result, to be freed by
 * state_result_clear(). A change id seen before gives its first result.
 */
void state_apply(struct state *state, uint64_t index,
		 const struct command *command, struct apply_result *result);

/** Frees what a result owns. */
void state_result_clear(struct apply_result *result);

/** Fills a result with a code and text; for refusals outside the log. */
void state_result_set(struct apply_result *result, enum rd_result code,
		      const char *text);

/** Writes the whole state as one XDR image. */
GBytes *state_save(const struct state *state, bool with_bookings);

/** Replaces the state by an image; false if it cannot be decoded. */
bool state_load(struct state *state, GBytes *image);

/** Index of the last applied command. */
uint64_t state_applied_index(const struct state *state);

/** Whether entries need a command (bookings stay with the voters). */
bool state_sent_to_entries(command_kind kind);

/** Returns the deployment in force, or NULL before the first. */
const struct deployment *state_deployment(const struct state *state);

/**
 * Lists what is wrong with a deployment, a line each naming route, service or
 * account; NULL if nothing is.
 */
char *deployment_validate(const struct deployment *deployment);

/** Lists what is wrong with a service, a line each; NULL if nothing is. */
char *service_validate(const struct service_spec *spec, const char *preset);

/** Returns a service that is not removed, or NULL. */
const struct service_state *state_service(const struct state *state,
					  const char *name);

/** Calls visit for each service that is not removed, by name. */
void state_each_service(const struct state *state,
			void (*visit)(void *ctx,
				      const struct service_state *service),
			void *ctx);

/** Returns the preset in force; never NULL for a valid service. */
const struct preset_spec *service_active_preset(
	const struct service_state *service);

/** Finds the account of a service whose key hashes to this, or NULL. */
const struct account_spec *service_account_by_key(
	const struct service_state *service, const uint8_t *key_sha256);

/** Whether a call to a plain service may not be repeated. */
bool service_call_is_once_only(const struct service_state *service,
			       const char *method, const char *path);

/** Returns a replica, released or not, or NULL. */
const struct replica_state *state_replica(const struct state *state,
					  uint32_t replica);

/** Calls visit for each replica that is not released, by number. */
void state_each_replica(const struct state *state,
			void (*visit)(void *ctx,
				      const struct replica_state *replica),
			void *ctx);

/** Returns who holds a VM, or NULL if it is free. */
const struct vm_state *state_vm(const struct state *state, const char *vm);

/** Calls visit for each held VM, by name. */
void state_each_vm(const struct state *state,
		   void (*visit)(void *ctx, const struct vm_state *vm),
		   void *ctx);

/** The highest epoch given out so far. */
uint64_t state_last_epoch(const struct state *state);

/** A number no replica has used yet. */
uint32_t state_next_replica_number(const struct state *state);

/** Counts, for metrics. */
uint32_t state_booking_count(const struct state *state);
uint32_t state_change_count(const struct state *state);

/** Calls visit for each booking of an entry that is in flight. */
void state_each_in_flight_booking(
	const struct state *state,
	void (*visit)(void *ctx, const struct booking_state *booking),
	void *ctx);

#endif
