/*
 * The deployment aggregate: services, routes and client accounts, submitted
 * as one document with a revision number. The highest revision is in force; a
 * document with a lower or equal revision is ignored.
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

void deployment_set(struct state *state, const struct deployment *deployment)
{
	deployment_free(state->deployment);
	state->deployment = calloc(1, sizeof(*state->deployment));
	if (!CODEC_COPY(deployment, deployment, state->deployment))
		g_assert_not_reached();
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

static bool deployment_has_service(const struct deployment *deployment,
				   const char *service)
{
	for (u_int i = 0; i < deployment->services.services_len; i++)
		if (!strcmp(deployment->services.services_val[i].name, service))
			return true;
	return false;
}

static gboolean remove_absent_service(gpointer key, gpointer value,
				      gpointer data)
{
	const struct deployment *deployment = data;
	struct service_state *s = value;

	if (s->spec.from_deployment && !deployment_has_service(deployment, key))
		s->removed = TRUE;
	return FALSE;
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
	deployment_set(state, d);
	for (u_int i = 0; i < d->services.services_len; i++)
		upsert_service(state, &d->services.services_val[i],
			       d->revision);
	g_tree_foreach(state->services, remove_absent_service, (gpointer)d);
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
