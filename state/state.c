#include <stdlib.h>
#include <string.h>

#include "state/state_internal.h"
#include "wire/codec.h"

/* ---- creation and destruction ---- */

static gint compare_names(gconstpointer a, gconstpointer b, gpointer ctx)
{
	(void)ctx;
	return strcmp(a, b);
}

static gint compare_numbers(gconstpointer a, gconstpointer b, gpointer ctx)
{
	guint x = GPOINTER_TO_UINT(a), y = GPOINTER_TO_UINT(b);

	(void)ctx;
	return x < y ? -1 : x > y;
}

static void destroy_service(gpointer data)
{
	service_free(data);
}

static void destroy_replica(gpointer data)
{
	CODEC_FREE(replica_state, (struct replica_state *)data);
	free(data);
}

static void destroy_vm(gpointer data)
{
	CODEC_FREE(vm_state, (struct vm_state *)data);
	free(data);
}

static void create_tables(struct state *state)
{
	state->services = g_tree_new_full(compare_names, NULL, NULL,
					  destroy_service);
	state->replicas = g_tree_new_full(compare_numbers, NULL, NULL,
					  destroy_replica);
	state->vms = g_tree_new_full(compare_names, NULL, NULL, destroy_vm);
	state->changes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       change_free);
	g_queue_init(&state->change_order);
	state->bookings = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						booking_free);
	state->booking_counts = g_hash_table_new_full(g_str_hash, g_str_equal,
						      g_free, NULL);
	g_queue_init(&state->booking_order);
}

static void free_tables(struct state *state)
{
	deployment_free(state->deployment);
	state->deployment = NULL;
	g_tree_unref(state->services);
	g_tree_unref(state->replicas);
	g_tree_unref(state->vms);
	g_queue_clear(&state->change_order);
	g_hash_table_unref(state->changes);
	g_queue_clear(&state->booking_order);
	g_hash_table_unref(state->bookings);
	g_hash_table_unref(state->booking_counts);
}

struct state *state_create(void)
{
	struct state *state = g_new0(struct state, 1);

	create_tables(state);
	return state;
}

void state_set_document_reader(struct state *state,
			       const struct document_reader *reader)
{
	state->reader = *reader;
}

void state_destroy(struct state *state)
{
	if (!state)
		return;
	free_tables(state);
	g_free(state);
}

/* ---- results ---- */

void state_result_set(struct apply_result *result, enum rd_result code,
		      const char *text)
{
	result->code = code;
	free(result->text);
	result->text = strndup(text, MIN(strlen(text), RD_TEXT_MAX));
	if (!result->response.content_type)
		result->response.content_type = strdup("");
}

void append_error(GString *out, const char *fmt, ...)
{
	va_list ap;

	if (out->len)
		g_string_append_c(out, '\n');
	va_start(ap, fmt);
	g_string_append_vprintf(out, fmt, ap);
	va_end(ap);
}

void state_result_clear(struct apply_result *result)
{
	CODEC_FREE(apply_result, result);
}

/* ---- applying commands ---- */

struct handler {
	void (*apply)(struct state *state, const struct command *command,
		      struct apply_result *result);
	command_kind kind;
	bool for_entries;
};

static const struct handler handlers[] = {
	{ service_apply, CMD_APPLY_SERVICE, true },
	{ service_switch_preset, CMD_SWITCH_PRESET, true },
	{ service_rollback, CMD_ROLLBACK, true },
	{ service_remove, CMD_REMOVE_SERVICE, true },
	{ deployment_apply, CMD_DEPLOY, true },
	{ replica_assign, CMD_ASSIGN_REPLICA, true },
	{ replica_release, CMD_RELEASE_REPLICA, true },
	{ replica_confirm, CMD_CONFIRM_REPLICA, true },
	{ vm_free, CMD_FREE_VM, true },
	{ booking_claim, CMD_CLAIM_BOOKING, false },
	{ booking_finish, CMD_FINISH_BOOKING, false },
	{ booking_expire, CMD_EXPIRE_BOOKINGS, false },
};

static const struct handler *find_handler(command_kind kind)
{
	for (size_t i = 0; i < G_N_ELEMENTS(handlers); i++)
		if (handlers[i].kind == kind)
			return &handlers[i];
	return NULL;
}

bool state_sent_to_entries(command_kind kind)
{
	const struct handler *handler = find_handler(kind);

	return handler && handler->for_entries;
}

void state_apply(struct state *state, uint64_t index,
		 const struct command *command, struct apply_result *result)
{
	const struct handler *handler = find_handler(command->body.kind);
	bool has_change_id = *command->change_id != '\0';
	uint64_t fingerprint = has_change_id ? change_fingerprint(command) : 0;

	state->index = index;
	state->time_ms = MAX(state->time_ms, command->time_ms);
	if (has_change_id && change_replay(state, command, fingerprint, result))
		return;
	result->index = index;
	if (handler)
		handler->apply(state, command, result);
	else
		state_result_set(result, RD_OK, "");
	if (has_change_id)
		change_insert_result(state, command, fingerprint, result);
}

enum rd_result state_check_room(const struct state *state,
				const struct command *command, const char **why)
{
	const struct command_body *body = &command->body;
	bool has_room = true;

	if (body->kind == CMD_APPLY_SERVICE)
		has_room = service_has_room(
			state, body->command_body_u.apply.spec.name);
	else if (body->kind == CMD_DEPLOY)
		has_room = deployment_has_room(state,
					       &body->command_body_u.deploy);
	*why = has_room ? NULL : TOO_MANY_SERVICES;
	return has_room ? RD_OK : RD_TOO_LARGE;
}

/* ---- images ---- */

static gboolean append_value(gpointer key, gpointer value, gpointer data)
{
	(void)key;
	g_ptr_array_add(data, value);
	return FALSE;
}

/*
 * Copies the values of a tree into an array, to be freed with g_free(). The
 * copies are shallow.
 */
static void *flatten(GTree *tree, size_t size, u_int *count)
{
	GPtrArray *values = g_ptr_array_new();
	char *flat;

	g_tree_foreach(tree, append_value, values);
	flat = g_malloc0(values->len * size + 1);
	for (guint i = 0; i < values->len; i++)
		memcpy(flat + i * size, values->pdata[i], size);
	*count = values->len;
	g_ptr_array_unref(values);
	return flat;
}

static void *flatten_queue(const GQueue *queue, size_t size, u_int *count)
{
	char *flat = g_malloc0(queue->length * size + 1);
	char *at = flat;

	for (GList *link = queue->head; link; link = link->next, at += size)
		memcpy(at, link->data, size);
	*count = queue->length;
	return flat;
}

/* Makes a shallow copy. Entry VMs get no document, as they do not need it. */
static void save_deployment(const struct state *state, bool with_document,
			    struct deployment *copy, struct state_image *image)
{
	if (!state->deployment)
		return;
	*copy = *state->deployment;
	if (!with_document)
		copy->document.document_len = 0;
	image->deployed.deployed_len = 1;
	image->deployed.deployed_val = copy;
}

GBytes *state_save(const struct state *state, bool with_bookings)
{
	struct state_image image = { 0 };
	struct deployment deployment;
	GBytes *bytes;

	image.index = state->index;
	image.last_epoch = state->last_epoch;
	image.time_ms = state->time_ms;
	save_deployment(state, with_bookings, &deployment, &image);
	image.services.services_val = flatten(state->services,
					      sizeof(struct service_state),
					      &image.services.services_len);
	image.replicas.replicas_val = flatten(state->replicas,
					      sizeof(struct replica_state),
					      &image.replicas.replicas_len);
	image.vms.vms_val = flatten(state->vms, sizeof(struct vm_state),
				    &image.vms.vms_len);
	if (with_bookings) {
		image.changes.changes_val = flatten_queue(
			&state->change_order, sizeof(struct change_record),
			&image.changes.changes_len);
		image.bookings.bookings_val = flatten_queue(
			&state->booking_order, sizeof(struct booking_state),
			&image.bookings.bookings_len);
	}
	bytes = CODEC_ENCODE(state_image, &image);
	g_free(image.services.services_val);
	g_free(image.replicas.replicas_val);
	g_free(image.vms.vms_val);
	g_free(image.changes.changes_val);
	g_free(image.bookings.bookings_val);
	return bytes;
}

static void load_services(struct state *state, struct state_image *image)
{
	for (u_int i = 0; i < image->services.services_len; i++) {
		struct service_state *s = calloc(1, sizeof(*s));

		CODEC_COPY(service_state, &image->services.services_val[i], s);
		g_tree_insert(state->services, s->name, s);
	}
}

static void load_replicas(struct state *state, struct state_image *image)
{
	for (u_int i = 0; i < image->replicas.replicas_len; i++) {
		struct replica_state *r = calloc(1, sizeof(*r));

		CODEC_COPY(replica_state, &image->replicas.replicas_val[i], r);
		g_tree_insert(state->replicas,
			      GUINT_TO_POINTER(r->assign.replica), r);
	}
}

static void load_vms(struct state *state, struct state_image *image)
{
	for (u_int i = 0; i < image->vms.vms_len; i++) {
		struct vm_state *v = calloc(1, sizeof(*v));

		CODEC_COPY(vm_state, &image->vms.vms_val[i], v);
		g_tree_insert(state->vms, v->name, v);
	}
}

bool state_load(struct state *state, GBytes *bytes)
{
	struct state_image image = { 0 };

	if (!CODEC_DECODE(state_image, bytes, &image))
		return false;
	free_tables(state);
	create_tables(state);
	state->index = image.index;
	state->last_epoch = image.last_epoch;
	state->time_ms = image.time_ms;
	if (image.deployed.deployed_len)
		deployment_set(state, image.deployed.deployed_val);
	load_services(state, &image);
	deployment_remove_unused_services(state);
	load_replicas(state, &image);
	replica_remove_released(state);
	load_vms(state, &image);
	for (u_int i = 0; i < image.changes.changes_len; i++)
		change_insert(state, &image.changes.changes_val[i]);
	for (u_int i = 0; i < image.bookings.bookings_len; i++)
		booking_insert(state, &image.bookings.bookings_val[i]);
	CODEC_FREE(state_image, &image);
	return true;
}

uint64_t state_applied_index(const struct state *state)
{
	return state->index;
}

uint64_t state_last_epoch(const struct state *state)
{
	return state->last_epoch;
}
