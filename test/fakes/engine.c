#include <stdlib.h>
#include <string.h>

#include "test/fakes/engine.h"

struct engine_vm *engine_find_vm(const struct engine *engine, const char *name)
{
	for (guint i = 0; i < engine->vms->len; i++) {
		struct engine_vm *vm = engine->vms->pdata[i];

		if (!strcmp(vm->name, name))
			return vm;
	}
	return NULL;
}

bool engine_replica_healthy(const struct engine_vm *head)
{
	for (guint i = 0; head->members && i < head->members->len; i++) {
		const struct engine_vm *vm =
			engine_find_vm(head->engine, head->members->pdata[i]);

		/* A VM of another process counts as healthy. */
		if (vm &&
		    (!vm->alive || vm->paused || !vm->ready ||
		     vm->replica != head->replica || vm->epoch != head->epoch))
			return false;
	}
	return head->replica != 0;
}

static void log_order(const struct engine_vm *vm, json_t *order,
		      const char *result)
{
	json_t *line = json_pack("{s:I,s:s,s:s,s:s,s:I}", "t_us",
				 (json_int_t)fake_now_us(), "event", "order",
				 "vm", vm->name, "result", result,
				 "incarnation", (json_int_t)vm->incarnation);

	json_object_set(line, "order", json_object_get(order, "order"));
	json_object_set(line, "replica", json_object_get(order, "replica"));
	json_object_set(line, "epoch", json_object_get(order, "epoch"));
	json_object_set(line, "fencing", json_object_get(order, "fencing"));
	fake_log(vm->engine->log, line);
}

void engine_leave_replica(struct engine_vm *vm)
{
	batch_destroy(vm->batch);
	if (vm->loading)
		vm->engine->active_loads--;
	vm->loading = false;
	event_del(vm->load_timer);
	vm->ready = false;
	vm->replica = 0;
	vm->epoch = 0;
	if (vm->members)
		g_ptr_array_unref(vm->members);
	vm->members = NULL;
}

void engine_kill_vm(struct engine_vm *vm)
{
	engine_leave_replica(vm);
	vm->alive = false;
}

static void copy_string(char *out, size_t size, json_t *value)
{
	const char *text = json_string_value(value);

	g_strlcpy(out, text ? text : "", size);
}

static bool weights_loaded(const struct engine_vm *vm)
{
	return !strcmp(vm->model, vm->target_model) &&
	       !strcmp(vm->adapter, vm->target_adapter) &&
	       !strcmp(vm->version, vm->target_version);
}

static void start_load(struct engine_vm *vm);

static void on_load(evutil_socket_t fd, short what, void *ctx)
{
	struct engine_vm *vm = ctx;

	(void)fd;
	(void)what;
	if (!vm->loading) {
		start_load(vm);
		return;
	}
	vm->loading = false;
	vm->engine->active_loads--;
	g_strlcpy(vm->model, vm->target_model, sizeof(vm->model));
	g_strlcpy(vm->adapter, vm->target_adapter, sizeof(vm->adapter));
	g_strlcpy(vm->version, vm->target_version, sizeof(vm->version));
	vm->ready = vm->replica != 0;
	announcer_send_now(vm->announcer);
}

/* Starts a load, or retries later while the weight store is at its limit. */
static void start_load(struct engine_vm *vm)
{
	struct timeval retry = { 0, 20000 };
	struct timeval load = { vm->engine->opts.load_ms / 1000,
				(vm->engine->opts.load_ms % 1000) * 1000 };

	if (vm->engine->active_loads >= vm->engine->opts.max_loads) {
		event_add(vm->load_timer, &retry);
		return;
	}
	vm->loading = true;
	vm->engine->active_loads++;
	event_add(vm->load_timer, &load);
}

struct event *engine_load_timer(struct engine_vm *vm)
{
	return evtimer_new(vm->engine->base, on_load, vm);
}

static void set_target_weights(struct engine_vm *vm, json_t *order)
{
	copy_string(vm->target_model, sizeof(vm->target_model),
		    json_object_get(order, "model"));
	copy_string(vm->target_adapter, sizeof(vm->target_adapter),
		    json_object_get(order, "adapter"));
	copy_string(vm->target_version, sizeof(vm->target_version),
		    json_object_get(order, "version"));
}

/* Loads weights on a VM that is in no replica. */
static void preload_weights(struct engine_vm *vm, json_t *order)
{
	if (vm->replica || vm->loading)
		return;
	set_target_weights(vm, order);
	if (!weights_loaded(vm))
		start_load(vm);
}

static void form_replica(struct engine_vm *vm, json_t *order)
{
	json_t *vms = json_object_get(order, "vms");

	engine_leave_replica(vm);
	vm->replica = (uint32_t)json_integer_value(json_object_get(order, "repl"
									  "ic"
									  "a"));
	vm->epoch = json_integer_value(json_object_get(order, "epoch"));
	vm->rank = (int)json_integer_value(json_object_get(order, "rank"));
	vm->slots = (int)json_integer_value(json_object_get(order, "slots"));
	vm->members = g_ptr_array_new_with_free_func(g_free);
	for (size_t i = 0; i < json_array_size(vms); i++)
		g_ptr_array_add(vm->members,
				g_strdup(json_string_value(json_object_get(
					json_array_get(vms, i), "vm"))));
	set_target_weights(vm, order);
	if (weights_loaded(vm))
		vm->ready = true;
	else
		start_load(vm);
}

static const char *execute_order(struct engine_vm *vm, json_t *order)
{
	const char *what = json_string_value(json_object_get(order, "order"));
	int64_t fencing = json_integer_value(json_object_get(order, "fencing"));
	int64_t epoch = json_integer_value(json_object_get(order, "epoch"));
	bool is_form = what && !strcmp(what, "form");

	if (vm->engine->opts.checks_fencing && fencing < vm->fencing)
		return "stale";
	vm->fencing = MAX(vm->fencing, fencing);
	/* A repeated order is idempotent. */
	if (is_form && vm->epoch == epoch)
		return "accepted";
	if (is_form)
		form_replica(vm, order);
	else if (what && !strcmp(what, "load"))
		preload_weights(vm, order);
	else if (vm->replica && vm->epoch <= epoch)
		engine_leave_replica(vm);
	return "accepted";
}

void engine_handle_order(struct engine_vm *vm, struct evhttp_request *req)
{
	GBytes *body = http_body(req);
	json_t *order = json_loadb(g_bytes_get_data(body, NULL),
				   g_bytes_get_size(body), 0, NULL);
	const char *result;

	g_bytes_unref(body);
	if (!json_is_object(order)) {
		http_send_json(req, 400, json_pack("{s:s}", "error", "JSON"));
		return;
	}
	result = execute_order(vm, order);
	log_order(vm, order, result);
	http_send_json(req, strcmp(result, "stale") ? 200 : 409,
		       json_pack("{s:s,s:I}", "result", result, "fencing",
				 (json_int_t)vm->fencing));
	json_decref(order);
	announcer_send_now(vm->announcer);
}
