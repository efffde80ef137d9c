/*
 * The deployment aggregate: services, routes and client accounts, submitted
 * as one document with a revision number. The highest revision is in force; a
 * document with a lower or equal revision is ignored.
 *
 * A service that a later document has no more leaves the state, unless
 * operators have changed it: its revisions are those of the documents, which
 * only grow, so nothing of it is needed if its name returns.
 */
#include <stdlib.h>
#include <string.h>

#include "common/key_hash.h"
#include "state/state_internal.h"
#include "wire/codec.h"

void deployment_free(struct deployment *deployment)
{
	if (!deployment)
		return;
	CODEC_FREE(deployment, deployment);
	free(deployment);
}

/*
 * The stored form has no field for an empty list: an account without a name and
 * keys stands for it.
 */
void deployment_admit_nobody(struct deployment *deployment)
{
	g_assert(!deployment->accounts.accounts_len);
	free(deployment->accounts.accounts_val);
	deployment->accounts.accounts_len = 1;
	deployment->accounts.accounts_val =
		calloc(1, sizeof(struct client_account));
	deployment->accounts.accounts_val[0].name = strdup("");
}

bool deployment_asks_for_keys(const struct deployment *deployment)
{
	return deployment->accounts.accounts_len != 0;
}

/* Some earlier builds stored an empty list as none. */
static void complete_accounts(struct state *state)
{
	struct deployment *d = state->deployment;
	const struct document_reader *reader = &state->reader;

	state->deployment_was_completed =
		!deployment_asks_for_keys(d) && reader->has_account_list &&
		reader->has_account_list(reader->ctx, d);
	if (state->deployment_was_completed)
		deployment_admit_nobody(d);
}

void deployment_set(struct state *state, const struct deployment *deployment)
{
	deployment_free(state->deployment);
	state->deployment = calloc(1, sizeof(*state->deployment));
	if (!CODEC_COPY(deployment, deployment, state->deployment))
		g_assert_not_reached();
	complete_accounts(state);
}

bool state_deployment_was_completed(const struct state *state)
{
	return state->deployment_was_completed;
}

const struct deployment *state_deployment(const struct state *state)
{
	return state->deployment;
}

/* ---- services of a deployment ---- */

static void upsert_service(struct state *state, const struct service_spec *spec,
			   uint64_t revision)
{
	struct service_state *s = g_tree_lookup(state->services, spec->name);

	if (s) {
		CODEC_FREE(service_spec, &s->spec);
		free(s->preset);
	} else {
		s = calloc(1, sizeof(*s));
		s->name = strdup(spec->name);
		s->text = strdup("");
		g_tree_insert(state->services, s->name, s);
	}
	s->revision = revision;
	s->removed = FALSE;
	s->preset = strdup(spec->presets.presets_val[0].name);
	if (!CODEC_COPY(service_spec, spec, &s->spec))
		g_assert_not_reached();
}

/* Returns the set of the names of a deployment's services. */
static GHashTable *service_names(const struct deployment *deployment)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);

	for (u_int i = 0; i < deployment->services.services_len; i++)
		g_hash_table_add(names,
				 deployment->services.services_val[i].name);
	return names;
}

struct absent_services {
	GHashTable *present; /* names of services that stay */
	GPtrArray *names;    /* of services that leave the state */
};

static gboolean remove_absent_service(gpointer key, gpointer value,
				      gpointer data)
{
	struct absent_services *absent = data;
	struct service_state *s = value;

	if (!s->spec.from_deployment ||
	    g_hash_table_contains(absent->present, key))
		return FALSE;
	s->removed = TRUE;
	if (!s->history.history_len)
		g_ptr_array_add(absent->names, key);
	return FALSE;
}

void deployment_remove_unused_services(struct state *state)
{
	struct absent_services absent;

	if (!state->deployment)
		return;
	absent.present = service_names(state->deployment);
	absent.names = g_ptr_array_new();
	g_tree_foreach(state->services, remove_absent_service, &absent);
	for (guint i = 0; i < absent.names->len; i++)
		g_tree_remove(state->services, absent.names->pdata[i]);
	g_ptr_array_unref(absent.names);
	g_hash_table_unref(absent.present);
}

struct service_count {
	GHashTable *present;
	u_int others;
};

static gboolean count_other_service(gpointer key, gpointer value, gpointer data)
{
	struct service_count *count = data;
	const struct service_state *s = value;

	if (!s->removed && !s->spec.from_deployment &&
	    !g_hash_table_contains(count->present, key))
		count->others++;
	return FALSE;
}

bool deployment_has_room(const struct state *state,
			 const struct deployment *deployment)
{
	struct service_count count = { .present = service_names(deployment) };

	g_tree_foreach(state->services, count_other_service, &count);
	g_hash_table_unref(count.present);
	return count.others + deployment->services.services_len <=
	       RD_SERVICES_MAX;
}

static u_int count_new_services(const struct state *state,
				const struct deployment *deployment)
{
	u_int count = 0;

	for (u_int i = 0; i < deployment->services.services_len; i++)
		count +=
			g_tree_lookup(state->services,
				      deployment->services.services_val[i].name)
				? 0
				: 1;
	return count;
}

void deployment_apply(struct state *state, const struct command *command,
		      struct apply_result *result)
{
	const struct deployment *d = &command->body.command_body_u.deploy;

	state_result_set(result, RD_OK, "");
	if (state->deployment && d->revision <= state->deployment->revision) {
		result->revision = state->deployment->revision;
		return;
	}
	if (!deployment_has_room(state, d)) {
		state_result_set(result, RD_TOO_LARGE, TOO_MANY_SERVICES);
		return;
	}
	deployment_set(state, d);
	deployment_remove_unused_services(state);
	(void)service_make_room(state, count_new_services(state, d));
	for (u_int i = 0; i < d->services.services_len; i++)
		upsert_service(state, &d->services.services_val[i],
			       d->revision);
	result->revision = d->revision;
}

/* ---- validation ---- */

/* Returns the names of pools and plain services that a route may refer to. */
static GHashTable *route_targets(const struct deployment *deployment)
{
	GHashTable *targets = g_hash_table_new(g_str_hash, g_str_equal);

	for (u_int i = 0; i < deployment->services.services_len; i++) {
		struct service_spec *s = &deployment->services.services_val[i];

		g_hash_table_add(targets, s->is_plain ? s->name : s->pool);
	}
	return targets;
}

static void check_split(const struct route_spec *route, GHashTable *targets,
			GString *out)
{
	uint64_t sum = 0;

	for (u_int i = 0; i < route->split.split_len; i++) {
		const struct split_target *part = &route->split.split_val[i];

		sum += part->weight;
		if (!g_hash_table_contains(targets, part->pool))
			append_error(out,
				     "route %s: service \"%s\" is not known",
				     route->name, part->pool);
	}
	if (!sum)
		append_error(out, "route %s: its weights add up to 0",
			     route->name);
}

static void check_prefix(const struct route_spec *route, GString *out)
{
	size_t size = strlen(route->path_prefix);

	if (!size || route->path_prefix[0] != '/' ||
	    route->path_prefix[size - 1] != '/')
		append_error(out,
			     "route %s: prefix \"%s\" must begin and end "
			     "with a slash",
			     route->name, route->path_prefix);
}

/* Returns the host, in lower case, and prefix that a route matches. */
static char *route_match_key(const struct route_spec *route)
{
	char *host = g_ascii_strdown(route->host, -1);
	char *key = g_strconcat(host, "\n", route->path_prefix, NULL);

	g_free(host);
	return key;
}

static void check_routes(const struct deployment *deployment, GString *out)
{
	GHashTable *targets = route_targets(deployment);
	GHashTable *match_keys = g_hash_table_new_full(g_str_hash, g_str_equal,
						       g_free, NULL);

	for (u_int i = 0; i < deployment->routes.routes_len; i++) {
		const struct route_spec *r = &deployment->routes.routes_val[i];

		check_prefix(r, out);
		check_split(r, targets, out);
		if (!r->timeout_ms)
			append_error(out, "route %s: its timeout is 0",
				     r->name);
		if (!g_hash_table_add(match_keys, route_match_key(r)))
			append_error(out,
				     "route %s: another has host %s and "
				     "prefix %s",
				     r->name, r->host, r->path_prefix);
	}
	g_hash_table_unref(match_keys);
	g_hash_table_unref(targets);
}

static void check_accounts(const struct deployment *deployment, GString *out)
{
	GHashTable *accounts_by_key = g_hash_table_new(key_hash_code,
						       key_hash_equal);

	for (u_int i = 0; i < deployment->accounts.accounts_len; i++) {
		struct client_account *a =
			&deployment->accounts.accounts_val[i];

		for (u_int j = 0; j < a->keys.keys_len; j++) {
			struct key_hash *key = &a->keys.keys_val[j];
			const char *owner = g_hash_table_lookup(accounts_by_key,
								key->sha256);

			if (owner && strcmp(owner, a->name) != 0)
				append_error(out,
					     "account %s: shares a key with "
					     "account %s",
					     a->name, owner);
			g_hash_table_insert(accounts_by_key, key->sha256,
					    a->name);
		}
	}
	g_hash_table_unref(accounts_by_key);
}

char *deployment_validate(const struct deployment *deployment)
{
	GString *out = g_string_new(NULL);

	for (u_int i = 0; i < deployment->services.services_len; i++) {
		const struct service_spec *s =
			&deployment->services.services_val[i];
		char *errors = service_validate(s, "");

		if (errors)
			append_error(out, "service %s: %s", s->name, errors);
		g_free(errors);
	}
	check_routes(deployment, out);
	check_accounts(deployment, out);
	return g_string_free(out, out->len == 0);
}
