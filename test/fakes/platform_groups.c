/* Orders: groups of VMs that run a model together. */
#include <stdlib.h>
#include <string.h>

#include "common/http.h"
#include "test/fakes/announcer.h"
#include "test/fakes/platform_vm.h"

#define REJOIN_MS 200 /* of the model of the VM's last group */
#define US_PER_MS 1000
#define MS_PER_S 1000

const char *platform_group_state_name(enum group_state state)
{
	static const char *const names[] = {
		[GROUP_NONE] = "none",	   [GROUP_JOINING] = "joining",
		[GROUP_READY] = "ready",   [GROUP_OPEN] = "open",
		[GROUP_BROKEN] = "broken",
	};

	return names[state];
}

static void start_timer(struct event *timer, int ms)
{
	struct timeval after = { ms / MS_PER_S, ms % MS_PER_S * US_PER_MS };

	event_add(timer, &after);
}

static void set_state(struct platform_vm *vm, enum group_state state)
{
	vm->state = state;
	platform_log(vm, "group",
		     json_pack("{s:s,s:I,s:s}", "group", vm->group, "epoch",
			       (json_int_t)vm->epoch, "state",
			       platform_group_state_name(state)));
	platform_beats_send_now(vm->beats);
}

/* ---- members ---- */

static bool is_member(const struct platform_vm *head, const char *id)
{
	const struct platform_vm *vm = platform_find_vm(head->pool, id);

	return vm && vm->alive && vm->epoch == head->epoch &&
	       vm->state >= GROUP_READY && !strcmp(vm->group, head->group);
}

bool platform_group_lost(const struct platform_vm *head)
{
	int64_t now = fake_now_us();

	for (guint i = 0; i < head->members->len; i++) {
		const char *id = head->members->pdata[i];

		if (!is_member(head, id) ||
		    now < platform_find_vm(head->pool, id)->dark_until_us)
			return true;
	}
	return !head->members->len;
}

bool platform_group_whole(const struct platform_vm *head)
{
	for (guint i = 0; i < head->members->len; i++)
		if (!is_member(head, head->members->pdata[i]) ||
		    !platform_vm_runs(platform_find_vm(
			    head->pool, head->members->pdata[i])))
			return false;
	return head->members->len > 0;
}

double platform_group_slowness(const struct platform_vm *head)
{
	double slowest = 1;

	for (guint i = 0; i < head->members->len; i++) {
		const struct platform_vm *vm =
			platform_find_vm(head->pool, head->members->pdata[i]);

		if (vm)
			slowest = MAX(slowest, platform_vm_slowness(vm));
	}
	return slowest;
}

static bool is_head(const struct platform_vm *vm)
{
	return vm->members->len && !strcmp(vm->members->pdata[0], vm->id);
}

/* ---- timers ---- */

static void on_joined(evutil_socket_t fd, short what, void *ctx)
{
	struct platform_vm *vm = ctx;

	(void)fd;
	(void)what;
	if (vm->state != GROUP_JOINING)
		return;
	g_strlcpy(vm->staged, vm->model, sizeof(vm->staged));
	g_strlcpy(vm->last_model, vm->model, sizeof(vm->last_model));
	set_state(vm, GROUP_READY);
}

static void on_staged(evutil_socket_t fd, short what, void *ctx)
{
	struct platform_vm *vm = ctx;

	(void)fd;
	(void)what;
	g_strlcpy(vm->staged, vm->staging, sizeof(vm->staged));
	*vm->staging = '\0';
	platform_beats_send_now(vm->beats);
}

static void on_opened(evutil_socket_t fd, short what, void *ctx)
{
	struct platform_vm *vm = ctx;

	(void)fd;
	(void)what;
	if (vm->state == GROUP_READY)
		set_state(vm, GROUP_OPEN);
}

void platform_groups_init(struct platform_vm *vm)
{
	vm->join_timer = evtimer_new(vm->pool->base, on_joined, vm);
	vm->stage_timer = evtimer_new(vm->pool->base, on_staged, vm);
	vm->open_timer = evtimer_new(vm->pool->base, on_opened, vm);
}

static void leave_group(struct platform_vm *vm)
{
	platform_batch_abort(vm, "group left");
	evtimer_del(vm->join_timer);
	evtimer_del(vm->open_timer);
	g_ptr_array_set_size(vm->members, 0);
	*vm->group = '\0';
	vm->epoch = 0;
	vm->broken_at_us = 0;
	vm->state = GROUP_NONE;
}

void platform_groups_reset(struct platform_vm *vm)
{
	leave_group(vm);
	evtimer_del(vm->stage_timer);
	*vm->last_model = *vm->staging = '\0';
	vm->fence = vm->epoch_seen = 0;
	vm->orders = 0;
}

/* ---- orders ---- */

static const char *text_of(json_t *order, const char *key)
{
	const char *text = json_string_value(json_object_get(order, key));

	return text ? text : "";
}

static bool same_members(const struct platform_vm *vm, json_t *members)
{
	if (vm->members->len != json_array_size(members))
		return false;
	for (guint i = 0; i < vm->members->len; i++)
		if (g_strcmp0(vm->members->pdata[i],
			      json_string_value(json_array_get(members, i))) !=
		    0)
			return false;
	return true;
}

static bool is_current(const struct platform_vm *vm, json_t *order)
{
	return vm->state != GROUP_NONE &&
	       !strcmp(vm->group, text_of(order, "group")) &&
	       vm->epoch == json_integer_value(json_object_get(order, "epoch"));
}

static int join_ms(const struct platform_vm *vm)
{
	const struct platform_engine_opts *engine = &vm->pool->engine;

	if (!strcmp(vm->last_model, vm->model))
		return REJOIN_MS;
	if (!strcmp(vm->staged, vm->model) || !strcmp(vm->staging, vm->model))
		return engine->warm_ms;
	return engine->load_ms;
}

static int join(struct platform_vm *vm, json_t *order)
{
	int64_t epoch = json_integer_value(json_object_get(order, "epoch"));
	json_t *members = json_object_get(order, "members");

	if (is_current(vm, order))
		return same_members(vm, members) ? 200 : 412;
	if (epoch < vm->epoch_seen)
		return 412;
	leave_group(vm);
	vm->epoch_seen = vm->epoch = epoch;
	g_strlcpy(vm->group, text_of(order, "group"), sizeof(vm->group));
	g_strlcpy(vm->model, text_of(order, "model"), sizeof(vm->model));
	for (size_t i = 0; i < json_array_size(members); i++)
		g_ptr_array_add(vm->members,
				g_strdup(json_string_value(
					json_array_get(members, i))));
	start_timer(vm->join_timer, join_ms(vm));
	set_state(vm, GROUP_JOINING);
	return 202;
}

static int open_group(struct platform_vm *vm, json_t *order)
{
	if (!is_current(vm, order) || !is_head(vm))
		return 409;
	if (vm->state == GROUP_OPEN)
		return 200;
	if (vm->state != GROUP_READY)
		return 409;
	start_timer(vm->open_timer, vm->pool->engine.open_ms);
	return 202;
}

static int close_group(struct platform_vm *vm, json_t *order)
{
	if (!is_current(vm, order))
		return 409;
	if (vm->state == GROUP_OPEN)
		set_state(vm, GROUP_READY);
	return 200;
}

static int leave(struct platform_vm *vm, json_t *order)
{
	if (!is_current(vm, order))
		return vm->state == GROUP_NONE ? 200 : 409;
	leave_group(vm);
	set_state(vm, GROUP_NONE);
	return 200;
}

static int stage(struct platform_vm *vm, json_t *order)
{
	const char *model = text_of(order, "model");

	if (!strcmp(vm->staged, model) || !strcmp(vm->staging, model))
		return 200;
	g_strlcpy(vm->staging, model, sizeof(vm->staging));
	start_timer(vm->stage_timer, vm->pool->engine.load_ms);
	return 202;
}

static int execute(struct platform_vm *vm, json_t *order)
{
	const char *operation = text_of(order, "operation");
	int64_t fence = json_integer_value(json_object_get(order, "fence"));

	if (fence < vm->fence)
		return 412;
	vm->fence = fence;
	if (!strcmp(operation, "join"))
		return join(vm, order);
	if (!strcmp(operation, "open"))
		return open_group(vm, order);
	if (!strcmp(operation, "close"))
		return close_group(vm, order);
	if (!strcmp(operation, "leave"))
		return leave(vm, order);
	return !strcmp(operation, "stage") ? stage(vm, order) : 400;
}

void platform_handle_order(struct platform_vm *vm, struct evhttp_request *req)
{
	GBytes *body = http_body(req);
	json_t *order = json_loadb(g_bytes_get_data(body, NULL),
				   g_bytes_get_size(body), 0, NULL);
	json_t *expected = json_object_get(order, "expected");
	int status = 400;

	if (json_is_integer(expected) &&
	    json_integer_value(expected) != vm->orders)
		status = 409;
	else if (json_is_object(order))
		status = execute(vm, order);
	vm->orders += status == 202;
	platform_log(vm, "order",
		     json_pack("{s:i,s:O}", "status", status, "order",
			       order ? order : json_null()));
	http_send_json(req, status, json_object());
	json_decref(order);
	g_bytes_unref(body);
}
