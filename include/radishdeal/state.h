/**
 * @file
 * Replicated state machine: services with their presets and client accounts,
 * replicas and the VMs assigned to them, bookings (the records of idempotency
 * keys), and the history of changes.
 *
 * Deterministic: every member applies the same commands in the same order and
 * reaches the same state. It does no I/O and reads no clock. One thread owns
 * an instance; pointers returned by queries are valid until the next
 * state_apply() or state_load().
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

/** Reads the document of a deployment; `ctx` is passed first. */
struct document_reader {
	/**
	 * Returns whether the document has a list of client accounts. Asked of
	 * deployments that were stored without any account.
	 */
	bool (*has_account_list)(void *ctx, const struct deployment *d);
	void *ctx;
};

/**
 * Sets the reader of documents, before anything is loaded or applied. With it a
 * deployment that asks for keys does so whichever build has stored it. No
 * command's result depends on it, so members need not have the same reader.
 */
void state_set_document_reader(struct state *state,
			       const struct document_reader *reader);

/** Frees it. NULL is allowed. */
void state_destroy(struct state *state);

/**
 * Applies one committed command. Fills a zeroed result, to be freed with
 * state_result_clear(). A command whose change id was applied before is not
 * applied again: it gets the result of the first time, or RD_INVALID if the
 * command differs from the first.
 */
void state_apply(struct state *state, uint64_t index,
		 const struct command *command, struct apply_result *result);

/**
 * Returns RD_TOO_LARGE, with *why set to a constant text, if applying a command
 * now would add more than the state can hold. Ask before proposing.
 */
enum rd_result state_check_room(const struct state *state,
				const struct command *command,
				const char **why);

/** Frees the contents of a result. */
void state_result_clear(struct apply_result *result);

/** Sets a result's code and text. */
void state_result_set(struct apply_result *result, enum rd_result code,
		      const char *text);

/**
 * Encodes the state as an XDR image, NULL if it exceeds a bound of the
 * encoding. Images for entry VMs are made without bookings, which also leaves
 * out change records and the deployment's source document.
 */
GBytes *state_save(const struct state *state, bool with_bookings);

/** Replaces the state with an image; false if it cannot be decoded. */
bool state_load(struct state *state, GBytes *image);

/** Returns the log index of the last applied command. */
uint64_t state_applied_index(const struct state *state);

/** Whether commands of a kind are sent to entry VMs; bookings are not. */
bool state_sent_to_entries(command_kind kind);

/** Returns the deployment in force, or NULL before the first. */
const struct deployment *state_deployment(const struct state *state);

/**
 * Whether requests need the key of an account, on routes that aren't exempt. A
 * deployment whose list of accounts is empty admits nobody; one without the
 * list asks for no key.
 */
bool deployment_asks_for_keys(const struct deployment *deployment);

/** Makes a deployment without accounts ask for keys. */
void deployment_admit_nobody(struct deployment *deployment);

/**
 * Whether the deployment in force was stored without saying that it asks for
 * keys, so that entries may hold it in that form.
 */
bool state_deployment_was_completed(const struct state *state);

/**
 * Returns the errors of a deployment, one per line and naming the route,
 * service or account, to be freed with g_free(); NULL if it is valid.
 */
char *deployment_validate(const struct deployment *deployment);

/**
 * Returns the errors of a service and of the choice of `preset` ("" for none),
 * one per line, to be freed with g_free(); NULL if it is valid.
 */
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

/** Returns the account of a service with this SHA-256 key hash, or NULL. */
const struct account_spec *service_account_by_key(
	const struct service_state *service, const uint8_t *key_sha256);

/** Whether a call to a plain service must not be repeated. */
bool service_call_is_once_only(const struct service_state *service,
			       const char *method, const char *path);

/** Returns a replica, released lately or not at all, or NULL. */
const struct replica_state *state_replica(const struct state *state,
					  uint32_t replica);

/** Calls visit for each replica that is not released, by number. */
void state_each_replica(const struct state *state,
			void (*visit)(void *ctx,
				      const struct replica_state *replica),
			void *ctx);

/** Returns the assignment of a VM to a replica, or NULL if it is free. */
const struct vm_state *state_vm(const struct state *state, const char *vm);

/** Calls visit for each assigned VM, by name. */
void state_each_vm(const struct state *state,
		   void (*visit)(void *ctx, const struct vm_state *vm),
		   void *ctx);

/** Returns the highest epoch assigned so far. */
uint64_t state_last_epoch(const struct state *state);

/** Returns a number that no replica has used yet. */
uint32_t state_next_replica_number(const struct state *state);

/** Return the number of bookings and of change records, for metrics. */
uint32_t state_booking_count(const struct state *state);
uint32_t state_change_count(const struct state *state);

/** Calls visit for each booking in flight, in order of their first claims. */
void state_each_in_flight_booking(
	const struct state *state,
	void (*visit)(void *ctx, const struct booking_state *booking),
	void *ctx);

#endif
