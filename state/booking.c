/*
 * The booking aggregate: a ledger of Idempotency-Keys. A request's key is
 * claimed before the request is dispatched. A key can be claimed once, and
 * again only if the request is known not to have run.
 */
#include <stdlib.h>
#include <string.h>

#include "state/state_internal.h"
#include "wire/codec.h"

#define MS_PER_S 1000

void booking_free(gpointer data)
{
	struct booking_state *booking = data;

	CODEC_FREE(booking_state, booking);
	free(booking);
}

static char *ledger_key(const char *service, const char *account,
			const char *key)
{
	return g_strdup_printf("%s\n%s\n%s", service, account, key);
}

static struct booking_state *find_booking(struct state *state,
					  const char *service,
					  const char *account, const char *key)
{
	char *name = ledger_key(service, account, key);
	struct booking_state *booking = g_hash_table_lookup(state->bookings,
							    name);

	g_free(name);
	return booking;
}

static guint count_account(const struct state *state, const char *service,
			   const char *account)
{
	char *name = g_strdup_printf("%s\n%s", service, account);
	guint count = GPOINTER_TO_UINT(
		g_hash_table_lookup(state->booking_counts, name));

	g_free(name);
	return count;
}

static void adjust_count(struct state *state, const struct claim_booking *claim,
			 int change)
{
	guint count = count_account(state, claim->service, claim->account);

	g_hash_table_insert(state->booking_counts,
			    g_strdup_printf("%s\n%s", claim->service,
					    claim->account),
			    GUINT_TO_POINTER(count + (guint)change));
}

void booking_insert(struct state *state, const struct booking_state *booking)
{
	struct booking_state *copy = calloc(1, sizeof(*copy));

	if (!CODEC_COPY(booking_state, booking, copy))
		g_assert_not_reached();
	g_hash_table_insert(state->bookings,
			    ledger_key(copy->claim.service, copy->claim.account,
				       copy->claim.key),
			    copy);
	g_queue_push_tail(&state->booking_order, copy);
	adjust_count(state, &copy->claim, 1);
}

static void remove_booking(struct state *state, GList *link)
{
	struct booking_state *booking = link->data;
	char *name = ledger_key(booking->claim.service, booking->claim.account,
				booking->claim.key);

	adjust_count(state, &booking->claim, -1);
	g_queue_delete_link(&state->booking_order, link);
	g_hash_table_remove(state->bookings, name);
	g_free(name);
}

static bool is_expired(const struct state *state,
		       const struct booking_state *booking)
{
	const struct service_state *service =
		state_service(state, booking->claim.service);
	int64_t retention_ms;

	if (booking->outcome == BOOKING_IN_FLIGHT)
		return false;
	if (!service)
		return true;
	retention_ms = (int64_t)service->spec.booking_retention_s * MS_PER_S;
	return state->time_ms - booking->time_ms > retention_ms;
}

/* The queue is in order of first claims, the oldest bookings at its head. */
static void remove_expired_bookings(struct state *state)
{
	GList *link = state->booking_order.head;

	while (link) {
		GList *next = link->next;
		struct booking_state *booking = link->data;

		if (is_expired(state, booking))
			remove_booking(state, link);
		else if (booking->outcome != BOOKING_IN_FLIGHT)
			return;
		link = next;
	}
}

static void add_claim(struct state *state, const struct command *command,
		      struct apply_result *result)
{
	struct booking_state claimed = {
		.claim = command->body.command_body_u.claim,
		.outcome = BOOKING_IN_FLIGHT,
		.time_ms = state->time_ms,
		.response.content_type = (char *)"",
	};

	booking_insert(state, &claimed);
	state_result_set(result, RD_OK, "");
	result->outcome = BOOKING_IN_FLIGHT;
}

static void copy_answer(const struct booking_state *booking,
			struct apply_result *result)
{
	CODEC_FREE(booking_response, &result->response);
	if (!CODEC_COPY(booking_response, &booking->response,
			&result->response))
		g_assert_not_reached();
	result->outcome = booking->outcome;
}

/* Claim ids are unique only within one entry VM. */
static bool same_claim(const struct booking_state *booking, uint32_t entry,
		       uint64_t claim_id)
{
	return booking->claim.entry == entry &&
	       booking->claim.claim_id == claim_id;
}

static void claim_existing_booking(struct state *state,
				   struct booking_state *booking,
				   const struct command *command,
				   struct apply_result *result)
{
	const struct claim_booking *claim = &command->body.command_body_u.claim;

	if (booking->claim.body_hash != claim->body_hash) {
		state_result_set(result, RD_KEY_REUSED, claim->key);
		return;
	}
	switch (booking->outcome) {
	case BOOKING_ANSWERED:
		state_result_set(result, RD_OK, "");
		copy_answer(booking, result);
		return;
	case BOOKING_UNKNOWN:
		state_result_set(result, RD_OUTCOME_UNKNOWN, "");
		result->outcome = BOOKING_UNKNOWN;
		return;
	case BOOKING_NOT_RUN:
		booking->claim.claim_id = claim->claim_id;
		booking->claim.entry = claim->entry;
		booking->outcome = BOOKING_IN_FLIGHT;
		booking->time_ms = state->time_ms;
		state_result_set(result, RD_OK, "");
		result->outcome = BOOKING_IN_FLIGHT;
		return;
	case BOOKING_IN_FLIGHT:
		break;
	}
	/* An entry proposes a claim again if it received no reply. */
	state_result_set(result,
			 same_claim(booking, claim->entry, claim->claim_id)
				 ? RD_OK
				 : RD_IN_FLIGHT,
			 "");
	result->outcome = BOOKING_IN_FLIGHT;
}

void booking_claim(struct state *state, const struct command *command,
		   struct apply_result *result)
{
	const struct claim_booking *claim = &command->body.command_body_u.claim;
	const struct service_state *service = state_service(state,
							    claim->service);
	struct booking_state *booking;

	remove_expired_bookings(state);
	if (!service) {
		state_result_set(result, RD_NO_SERVICE, claim->service);
		return;
	}
	booking = find_booking(state, claim->service, claim->account,
			       claim->key);
	if (booking) {
		claim_existing_booking(state, booking, command, result);
		return;
	}
	if (count_account(state, claim->service, claim->account) >=
	    service->spec.booking_max) {
		/* Evicting a booking early would let its request run twice. */
		state_result_set(result, RD_OVER_LIMIT,
				 "the client account's ledger is full");
		return;
	}
	add_claim(state, command, result);
}

void booking_finish(struct state *state, const struct command *command,
		    struct apply_result *result)
{
	const struct finish_booking *finish =
		&command->body.command_body_u.finish;
	struct booking_state *booking = find_booking(
		state, finish->service, finish->account, finish->key);

	/* An entry proposes an outcome again if it received no reply. */
	if (booking && same_claim(booking, finish->entry, finish->claim_id) &&
	    booking->outcome == finish->outcome) {
		state_result_set(result, RD_OK, "");
		result->outcome = finish->outcome;
		return;
	}
	if (!booking || !same_claim(booking, finish->entry, finish->claim_id) ||
	    booking->outcome == BOOKING_ANSWERED ||
	    booking->outcome == BOOKING_NOT_RUN) {
		state_result_set(result, RD_STALE_EPOCH, finish->key);
		return;
	}
	booking->outcome = finish->outcome;
	CODEC_FREE(booking_response, &booking->response);
	if (!CODEC_COPY(booking_response, &finish->response,
			&booking->response))
		g_assert_not_reached();
	state_result_set(result, RD_OK, "");
	result->outcome = finish->outcome;
}

void booking_expire(struct state *state, const struct command *command,
		    struct apply_result *result)
{
	const struct expire_bookings *change =
		&command->body.command_body_u.expire;
	uint32_t count = 0;

	for (GList *link = state->booking_order.head; link; link = link->next) {
		struct booking_state *b = link->data;

		if (b->outcome != BOOKING_IN_FLIGHT ||
		    b->claim.entry != change->dead_entry ||
		    b->claim.claim_id >= change->claim_id_end)
			continue;
		b->outcome = BOOKING_UNKNOWN;
		count++;
	}
	state_result_set(result, RD_OK, "");
	result->revision = count;
}

uint32_t state_booking_count(const struct state *state)
{
	return g_hash_table_size(state->bookings);
}

void state_each_in_flight_booking(
	const struct state *state,
	void (*visit)(void *ctx, const struct booking_state *booking),
	void *ctx)
{
	for (GList *link = state->booking_order.head; link; link = link->next) {
		const struct booking_state *b = link->data;

		if (b->outcome == BOOKING_IN_FLIGHT)
			visit(ctx, b);
	}
}
