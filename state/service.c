/* The service aggregate: its presets, client accounts and revisions. */
#include <stdlib.h>
#include <string.h>

#include "state/state_internal.h"
#include "wire/codec.h"

#define VMS_PER_REPLICA_MAX 64u

void service_free(struct service_state *service)
{
	CODEC_FREE(service_state, service);
	free(service);
}

/* ---- validation ---- */

static bool name_allowed(const char *name)
{
	if (!*name)
		return false;
	for (; *name; name++)
		if (!g_ascii_isalnum(*name) && !strchr("-_.", *name))
			return false;
	return true;
}

static const struct preset_spec *find_preset(const struct service_spec *spec,
					     const char *name)
{
	for (u_int i = 0; i < spec->presets.presets_len; i++)
		if (!strcmp(spec->presets.presets_val[i].name, name))
			return &spec->presets.presets_val[i];
	return NULL;
}

static void check_presets(const struct service_spec *spec, const char *preset,
			  GString *out)
{
	if (!spec->presets.presets_len)
		append_error(out, "preset: at least one is needed");
	for (u_int i = 0; i < spec->presets.presets_len; i++) {
		const struct preset_spec *p = &spec->presets.presets_val[i];

		if (!name_allowed(p->name))
			append_error(out,
				     "preset %u: name \"%s\" is not allowed",
				     i + 1, p->name);
		if (find_preset(spec, p->name) != p)
			append_error(out, "preset %s: named twice", p->name);
		if (p->admit && !p->replicas)
			append_error(out,
				     "preset %s: admits work but has no "
				     "replicas",
				     p->name);
	}
	if (*preset && !find_preset(spec, preset))
		append_error(out, "preset: \"%s\" is not one of the presets",
			     preset);
}

static void check_accounts(const struct service_spec *spec, GString *out)
{
	for (u_int i = 0; i < spec->accounts.accounts_len; i++) {
		const struct account_spec *a = &spec->accounts.accounts_val[i];

		if (!name_allowed(a->name))
			append_error(out,
				     "account %u: name \"%s\" is not allowed",
				     i + 1, a->name);
		if (!a->weight)
			append_error(out, "account %s: weight must not be 0",
				     a->name);
		for (u_int j = 0; j < i; j++) {
			const struct account_spec *b =
				&spec->accounts.accounts_val[j];

			if (!strcmp(a->name, b->name))
				append_error(out, "account %s: named twice",
					     a->name);
			if (!memcmp(a->key_sha256, b->key_sha256,
				    sizeof(a->key_sha256)))
				append_error(out,
					     "account %s: has the key of "
					     "account "
					     "%s",
					     a->name, b->name);
		}
	}
}

char *service_validate(const struct service_spec *spec, const char *preset)
{
	GString *out = g_string_new(NULL);

	if (!name_allowed(spec->name))
		append_error(out, "name: \"%s\" is not allowed", spec->name);
	if (!spec->vms_per_replica ||
	    spec->vms_per_replica > VMS_PER_REPLICA_MAX)
		append_error(out, "vms_per_replica: is %u, must be 1 to %u",
			     spec->vms_per_replica, VMS_PER_REPLICA_MAX);
	if (spec->is_plain && spec->vms_per_replica != 1)
		append_error(out, "vms_per_replica: a plain service has 1");
	if (!spec->is_plain && !*spec->model)
		append_error(out, "model: a model service needs one");
	if (!spec->slots_per_replica)
		append_error(out, "slots_per_replica: must not be 0");
	check_presets(spec, preset, out);
	check_accounts(spec, out);
	return g_string_free(out, out->len == 0);
}

/* ---- changes ---- */

static void reject_conflict(const struct command *command, uint64_t current,
			    struct apply_result *result)
{
	char *text = g_strdup_printf("made against revision %" G_GUINT64_FORMAT
				     ", current is %" G_GUINT64_FORMAT,
				     command->base_revision, current);

	state_result_set(result, RD_CONFLICT, text);
	result->revision = current;
	g_free(text);
}

/* Finds removed services too. */
static struct service_state *lookup_service(struct state *state,
					    const char *name)
{
	return g_tree_lookup(state->services, name);
}

/*
 * Returns a service that a command may change. If there is none or its
 * revision is not the expected one, returns NULL and sets the result.
 */
static struct service_state *find_service_to_change(
	struct state *state, const char *name, const struct command *command,
	struct apply_result *result)
{
	struct service_state *service = lookup_service(state, name);

	if (!service || service->removed) {
		state_result_set(result, RD_NO_SERVICE, name);
		return NULL;
	}
	if (command->base_revision != service->revision) {
		reject_conflict(command, service->revision, result);
		return NULL;
	}
	return service;
}

static void replace_string(char **at, const char *text)
{
	free(*at);
	*at = strdup(text);
}

static void replace_spec(struct service_state *service,
			 const struct service_spec *spec, const char *text)
{
	CODEC_FREE(service_spec, &service->spec);
	if (!CODEC_COPY(service_spec, spec, &service->spec))
		g_assert_not_reached();
	replace_string(&service->text, text);
}

static void record_revision(struct service_state *service,
			    const struct command *command,
			    const char *description,
			    struct apply_result *result)
{
	service->revision++;
	history_add(service, command, description);
	state_result_set(result, RD_OK, description);
	result->revision = service->revision;
}

/* ---- room for further services ---- */

struct removed_search {
	struct service_state *oldest; /* NULL: none was removed */
	u_int removed;
};

static int64_t last_change_ms(const struct service_state *service)
{
	u_int n = service->history.history_len;

	return n ? service->history.history_val[n - 1].time_ms : 0;
}

static gboolean search_removed(gpointer key, gpointer value, gpointer data)
{
	struct removed_search *search = data;
	struct service_state *service = value;

	(void)key;
	if (!service->removed)
		return FALSE;
	search->removed++;
	if (!search->oldest ||
	    last_change_ms(service) < last_change_ms(search->oldest))
		search->oldest = service;
	return FALSE;
}

static struct removed_search find_removed(const struct state *state)
{
	struct removed_search search = { NULL, 0 };

	g_tree_foreach(state->services, search_removed, &search);
	return search;
}

static u_int count_services(const struct state *state)
{
	return (u_int)g_tree_nnodes(state->services);
}

/* Whether there is room once all that were removed have left. */
static bool can_hold(const struct state *state, u_int added)
{
	return count_services(state) - find_removed(state).removed + added <=
	       RD_SERVICES_MAX;
}

bool service_make_room(struct state *state, u_int added)
{
	if (!can_hold(state, added))
		return false;
	while (count_services(state) + added > RD_SERVICES_MAX)
		g_tree_remove(state->services,
			      find_removed(state).oldest->name);
	return true;
}

bool service_has_room(const struct state *state, const char *name)
{
	return g_tree_lookup(state->services, name) || can_hold(state, 1);
}

/* ---- applying ---- */

static struct service_state *add_service(struct state *state, const char *name)
{
	struct service_state *service = calloc(1, sizeof(*service));

	service->name = strdup(name);
	service->preset = strdup("");
	service->text = strdup("");
	g_tree_insert(state->services, service->name, service);
	return service;
}

/*
 * Returns the preset in force after a change: an existing service keeps its
 * preset; a new one gets the preset in the command, or else its first.
 */
static const char *preset_after_apply(const struct service_state *service,
				      const struct apply_service *apply)
{
	if (service && !service->removed)
		return service->preset;
	if (*apply->preset)
		return apply->preset;
	return apply->spec.presets.presets_len
		       ? apply->spec.presets.presets_val[0].name
		       : "";
}

void service_apply(struct state *state, const struct command *command,
		   struct apply_result *result)
{
	const struct apply_service *apply = &command->body.command_body_u.apply;
	struct service_state *service = lookup_service(state, apply->spec.name);
	uint64_t current = service && !service->removed ? service->revision : 0;
	char *preset;
	char *errors;

	if (command->base_revision != current) {
		reject_conflict(command, current, result);
		return;
	}
	preset = g_strdup(preset_after_apply(service, apply));
	errors = service_validate(&apply->spec, preset);
	if (errors) {
		state_result_set(result, RD_INVALID, errors);
		result->revision = current;
		goto done;
	}
	if (!service && !service_make_room(state, 1)) {
		state_result_set(result, RD_TOO_LARGE, TOO_MANY_SERVICES);
		goto done;
	}
	if (!service)
		service = add_service(state, apply->spec.name);
	service->removed = FALSE;
	replace_spec(service, &apply->spec, apply->text);
	replace_string(&service->preset, preset);
	record_revision(service, command, "apply", result);
done:
	g_free(preset);
	g_free(errors);
}

void service_switch_preset(struct state *state, const struct command *command,
			   struct apply_result *result)
{
	const struct switch_preset *change =
		&command->body.command_body_u.preset;
	struct service_state *service =
		find_service_to_change(state, change->service, command, result);
	char *description;

	if (!service)
		return;
	if (!find_preset(&service->spec, change->preset)) {
		state_result_set(result, RD_NO_PRESET, change->preset);
		result->revision = service->revision;
		return;
	}
	replace_string(&service->preset, change->preset);
	description = g_strdup_printf("preset %s", change->preset);
	record_revision(service, command, description, result);
	g_free(description);
}

void service_rollback(struct state *state, const struct command *command,
		      struct apply_result *result)
{
	const struct rollback_service *change =
		&command->body.command_body_u.rollback;
	struct service_state *service =
		find_service_to_change(state, change->service, command, result);
	const struct revision_record *old;
	char *description;

	if (!service)
		return;
	old = history_find(service, change->to_revision);
	if (!old) {
		state_result_set(result, RD_NO_REVISION, change->service);
		result->revision = service->revision;
		return;
	}
	replace_spec(service, &old->spec, old->text);
	replace_string(&service->preset, old->preset);
	description = g_strdup_printf("rollback to %" G_GUINT64_FORMAT,
				      change->to_revision);
	record_revision(service, command, description, result);
	g_free(description);
}

void service_remove(struct state *state, const struct command *command,
		    struct apply_result *result)
{
	struct service_state *service = find_service_to_change(
		state, command->body.command_body_u.service, command, result);

	if (!service)
		return;
	if (service_active_preset(service)->admit) {
		state_result_set(result, RD_INVALID,
				 "switch to a preset that admits no work "
				 "first");
		result->revision = service->revision;
		return;
	}
	service->removed = TRUE;
	record_revision(service, command, "remove", result);
}

/* ---- queries ---- */

const struct service_state *state_service(const struct state *state,
					  const char *name)
{
	struct service_state *service = g_tree_lookup(state->services, name);

	return service && !service->removed ? service : NULL;
}

struct visit_services {
	void (*visit)(void *ctx, const struct service_state *service);
	void *ctx;
};

static gboolean visit_service(gpointer key, gpointer value, gpointer data)
{
	struct visit_services *v = data;
	struct service_state *service = value;

	(void)key;
	if (!service->removed)
		v->visit(v->ctx, service);
	return FALSE;
}

void state_each_service(const struct state *state,
			void (*visit)(void *ctx,
				      const struct service_state *service),
			void *ctx)
{
	struct visit_services v = { visit, ctx };

	g_tree_foreach(state->services, visit_service, &v);
}

const struct preset_spec *service_active_preset(
	const struct service_state *service)
{
	return find_preset(&service->spec, service->preset);
}

static bool hash_equal(const uint8_t *a, const uint8_t *b, size_t size)
{
	uint8_t difference = 0;

	for (size_t i = 0; i < size; i++)
		difference |= (uint8_t)(a[i] ^ b[i]);
	return !difference;
}

const struct account_spec *service_account_by_key(
	const struct service_state *service, const uint8_t *key_sha256)
{
	const struct account_spec *found = NULL;

	/* Compares every account, so that the time taken reveals nothing. */
	for (u_int i = 0; i < service->spec.accounts.accounts_len; i++) {
		const struct account_spec *a =
			&service->spec.accounts.accounts_val[i];

		if (hash_equal((const uint8_t *)a->key_sha256, key_sha256,
			       sizeof(a->key_sha256)))
			found = a;
	}
	return found;
}

bool service_call_is_once_only(const struct service_state *service,
			       const char *method, const char *path)
{
	for (u_int i = 0; i < service->spec.once_only.once_only_len; i++) {
		const struct call_pattern *rule =
			&service->spec.once_only.once_only_val[i];

		if (!strcmp(rule->method, method) &&
		    g_str_has_prefix(path, rule->path_prefix))
			return true;
	}
	return false;
}
