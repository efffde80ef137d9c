/*
 * Runs the placement planner while this member leads, and proposes its
 * decisions to the log.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "control/placer_internal.h"
#include "wire/codec.h"

#define FLAP_WAIT_MS 2000
#define FLAP_FORGET_MS 60000
/* A preload not finished within this time may be planned again. */
#define PRELOAD_TIMEOUT_MS 120000
#define DECISIONS_MAX 256
#define WAIT_LOG_INTERVAL_MS 5000
/* Sliding window of the rate limit on weight loads. */
#define LOAD_WINDOW_MS 5000
/* Time after a cold start in which the load rate limit does not apply. */
#define COLD_START_MS 8000
/* Spare VMs are known only once all VMs have announced themselves. */
#define COLD_START_PRELOAD_DELAY_MS 2500
/* Delay of a cold start's first plan: VMs announce themselves one by one. */
#define COLD_START_DELAY_MS 300

static const struct log placer_log = { "placer" };

static void free_vm_orders(gpointer data)
{
	struct vm_orders *o = data;

	g_free(o->name);
	g_free(o);
}

struct placer *placer_create(struct control *control)
{
	const struct limit_settings *limits = &control->opts.settings->limits;
	struct placer *placer = g_new0(struct placer, 1);
	struct placement_opts opts = {
		.pause_wait_ms = (int32_t)limits->pause_wait_ms,
		.drain_ms = (int32_t)limits->drain_ms,
		.flap_wait_ms = FLAP_WAIT_MS,
		.flap_forget_ms = FLAP_FORGET_MS,
		.loads_max = (uint32_t)limits->weight_loads,
		.loads_by_vm = control->opts.driver != NULL,
		.spread = control->opts.driver != NULL,
		.load_first = control->opts.driver != NULL,
		.stage_all = control->opts.driver != NULL,
	};

	placer->control = control;
	placer->placement = placement_create(&opts);
	placer->orders = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       free_vm_orders);
	placer->planned_epochs = g_hash_table_new(NULL, NULL);
	placer->ready_epochs = g_hash_table_new(NULL, NULL);
	placer->target_replicas = g_hash_table_new_full(g_str_hash, g_str_equal,
							g_free, NULL);
	placer->allocated_pools = g_hash_table_new_full(g_str_hash, g_str_equal,
							g_free, NULL);
	placer->short_since_ms = g_hash_table_new_full(g_str_hash, g_str_equal,
						       g_free, g_free);
	placer->serving_heads = g_hash_table_new_full(
		NULL, NULL, NULL, (GDestroyNotify)g_ptr_array_unref);
	placer->load_starts = g_array_new(FALSE, FALSE, sizeof(int64_t));
	placer->planned_services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	placer->wait_logged_ms = g_hash_table_new_full(g_str_hash, g_str_equal,
						       g_free, g_free);
	g_queue_init(&placer->decisions);
	return placer;
}

void placer_destroy(struct placer *placer)
{
	if (!placer)
		return;
	placement_destroy(placer->placement);
	g_hash_table_unref(placer->orders);
	g_hash_table_unref(placer->planned_epochs);
	g_hash_table_unref(placer->ready_epochs);
	g_hash_table_unref(placer->target_replicas);
	g_hash_table_unref(placer->short_since_ms);
	g_hash_table_unref(placer->allocated_pools);
	g_hash_table_unref(placer->serving_heads);
	g_array_unref(placer->load_starts);
	g_hash_table_unref(placer->planned_services);
	g_hash_table_unref(placer->wait_logged_ms);
	g_queue_clear_full(&placer->decisions, g_free);
	g_free(placer);
}

int64_t placer_now_ms(const struct placer *placer)
{
	return control_now_ms(placer->control);
}

const struct state *placer_state(const struct placer *placer)
{
	return group_state(placer->control->group);
}

const struct order_format *placer_order_format(const struct placer *placer)
{
	const struct control_driver *driver = placer->control->opts.driver;

	return driver ? driver->orders : &native_orders;
}

struct vm_orders *placer_orders(struct placer *placer, const char *name)
{
	struct vm_orders *o = g_hash_table_lookup(placer->orders, name);

	if (!o) {
		o = g_new0(struct vm_orders, 1);
		o->placer = placer;
		o->name = g_strdup(name);
		g_hash_table_insert(placer->orders, o->name, o);
	}
	return o;
}

static uint32_t loads_per_window(const struct placer *placer)
{
	const struct deployment *d = state_deployment(placer_state(placer));

	return d ? d->weight_loads_per_s * LOAD_WINDOW_MS / 1000 : 0;
}

static void count_load_in_progress(void *ctx, const struct view_vm *seen)
{
	struct placer *placer = ctx;
	const struct vm_report *r = &seen->report;
	int64_t now = placer_now_ms(placer);

	if (r->replica && !r->ready)
		g_array_append_val(placer->load_starts, now);
}

void placer_start_leading(struct placer *placer)
{
	const struct limit_settings *limits =
		&placer->control->opts.settings->limits;
	int64_t now = placer_now_ms(placer);

	g_hash_table_remove_all(placer->target_replicas);
	g_hash_table_remove_all(placer->short_since_ms);
	placer->cold_start = state_next_replica_number(placer_state(placer)) ==
			     1;
	if (placer->cold_start) {
		placer->active_from_ms = now + COLD_START_DELAY_MS;
		return;
	}
	/*
	 * Orders of the previous leader may still arrive within
	 * ORDER_DELIVERY_LIMIT_MS, unless all engines refuse orders of earlier
	 * leaders. And a VM unknown to this process may be alive: its
	 * announcements may not have reached it since its start.
	 */
	placer->active_from_ms =
		MAX(placer_order_format(placer)->fences_old_leaders
			    ? now
			    : now + ORDER_DELIVERY_LIMIT_MS,
		    placer->control->started_ms + limits->vm_silence_ms +
			    2 * limits->digest_ms);
	/* The previous leader may have just started the loads in progress. */
	g_array_set_size(placer->load_starts, 0);
	view_each(placer->control->view, count_load_in_progress, placer);
}

/* ---- rate limit of the weight store ---- */

bool placer_has_weights(const struct vm_report *r, const char *model,
			const char *version)
{
	if (strcmp(r->model_version, version) != 0)
		return false;
	if (!strcmp(r->model, model))
		return true;
	for (u_int i = 0; i < r->staged.staged_len; i++)
		if (!strcmp(r->staged.staged_val[i], model))
			return true;
	return false;
}

/* Before requests arrive, weight loads are fast and delay none. */
bool placer_in_cold_start(const struct placer *placer)
{
	return placer->cold_start &&
	       placer_now_ms(placer) - placer->active_from_ms < COLD_START_MS;
}

bool placer_admit_load(struct placer *placer)
{
	uint32_t limit = loads_per_window(placer);
	int64_t now = placer_now_ms(placer);

	while (placer->load_starts->len &&
	       now - g_array_index(placer->load_starts, int64_t, 0) >=
		       LOAD_WINDOW_MS)
		g_array_remove_index(placer->load_starts, 0);
	if (limit && placer->load_starts->len >= limit &&
	    !placer_in_cold_start(placer))
		return false;
	g_array_append_val(placer->load_starts, now);
	return true;
}

void placer_stop_leading(struct placer *placer)
{
	placer->active_from_ms = 0;
	/* on_proposed() may still be called; it does not count below 0. */
	placer->pending_proposals = 0;
}

/* ---- carrying out decisions ---- */

static void on_proposed(void *ctx, enum rd_result code,
			const struct apply_result *result)
{
	struct placer *placer = ctx;

	if (placer->pending_proposals > 0)
		placer->pending_proposals--;
	if (code)
		log_info(&placer_log,
			 "placement command not confirmed as committed: %s",
			 rd_result_info(code)->name);
	else if (result->code)
		log_info(&placer_log, "placement command rejected: %s %s",
			 rd_result_info(result->code)->name, result->text);
}

void placer_propose(struct placer *placer, struct command *command)
{
	GBytes *bytes;

	command->change_id = (char *)"";
	command->operator_name = (char *)"placement";
	command->time_ms = g_get_real_time() / 1000;
	bytes = CODEC_ENCODE(command, command);
	placer->pending_proposals++;
	group_propose(placer->control->group, bytes, on_proposed, placer);
	g_bytes_unref(bytes);
}

static void fill_ref(const struct placer *placer, const char *name,
		     struct vm_ref *ref)
{
	const struct view_vm *seen = view_find(placer->control->view, name);

	g_assert(seen);
	ref->name = (char *)name;
	ref->address = seen->report.address;
	ref->domain = seen->report.domain;
	ref->data_centre = seen->report.data_centre;
	ref->accelerators = seen->report.accelerators;
}

static void propose_assign(struct placer *placer,
			   const struct placement_decision *d)
{
	struct vm_ref refs[PLACEMENT_VMS_MAX];
	struct command command = { .body.kind = CMD_ASSIGN_REPLICA };
	struct assign_replica *assign = &command.body.command_body_u.assign;

	for (uint32_t i = 0; i < d->vm_count; i++)
		fill_ref(placer, d->vms[i], &refs[i]);
	assign->replica = d->replica ? d->replica : placer->next_replica++;
	assign->service = (char *)d->service;
	assign->epoch = ++placer->next_epoch;
	assign->model_version = (char *)d->version;
	assign->vms.vms_len = d->vm_count;
	assign->vms.vms_val = refs;
	placer_propose(placer, &command);
}

static void propose_release(struct placer *placer,
			    const struct placement_decision *d)
{
	const struct replica_state *r = state_replica(placer_state(placer),
						      d->replica);
	struct command command = { .body.kind = CMD_RELEASE_REPLICA };

	if (!r)
		return;
	command.body.command_body_u.release.replica = d->replica;
	command.body.command_body_u.release.epoch = r->assign.epoch;
	placer_propose(placer, &command);
}

static void keep_decision(struct placer *placer, const char *line)
{
	g_queue_push_tail(&placer->decisions, g_strdup(line));
	if (placer->decisions.length > DECISIONS_MAX)
		g_free(g_queue_pop_head(&placer->decisions));
}

/* Limits repeats of the same wait to one log line per WAIT_LOG_INTERVAL_MS. */
static bool should_log_wait(struct placer *placer,
			    const struct placement_decision *d)
{
	char *key = g_strdup_printf("%s/%u/%.16s", d->service, d->replica,
				    d->reason);
	int64_t now = placer_now_ms(placer);
	int64_t *last = g_hash_table_lookup(placer->wait_logged_ms, key);

	if (last && now - *last < WAIT_LOG_INTERVAL_MS) {
		g_free(key);
		return false;
	}
	g_hash_table_replace(placer->wait_logged_ms, key,
			     g_memdup2(&now, sizeof(now)));
	return true;
}

static void log_decision(struct placer *placer,
			 const struct placement_decision *d)
{
	GString *line = g_string_new(NULL);

	if (d->action == PLACEMENT_WAIT && !should_log_wait(placer, d))
		goto done;
	g_string_append_printf(line, "%s service=%s replica=%u",
			       placement_action_name(d->action), d->service,
			       d->replica);
	if (d->vm_count)
		g_string_append(line, " vms=");
	for (uint32_t i = 0; i < d->vm_count; i++)
		g_string_append_printf(line, "%s%s", i ? "," : "", d->vms[i]);
	g_string_append_printf(line, " reason=\"%s\"", d->reason);
	log_note(&placer_log, "%s", line->str);
	keep_decision(placer, line->str);
done:
	g_string_free(line, TRUE);
}

void placer_each_decision(const struct placer *placer,
			  void (*visit)(void *ctx, const char *line), void *ctx)
{
	for (GList *link = placer->decisions.head; link; link = link->next)
		visit(ctx, link->data);
}

static void send_preload(struct placer *placer,
			 const struct placement_decision *d)
{
	const struct view_vm *seen = view_find(placer->control->view,
					       d->vms[0]);
	const struct service_state *service =
		state_service(placer_state(placer), d->service);
	struct vm_orders *o = placer_orders(placer, d->vms[0]);
	struct order_intent intent = {
		.kind = ORDER_LOAD,
		.epoch = state_last_epoch(placer_state(placer)),
		.version = d->version,
	};

	if (placer->cold_start &&
	    placer_now_ms(placer) - placer->active_from_ms <
		    COLD_START_PRELOAD_DELAY_MS)
		return;
	if (!seen || !service || !placer_order_is_due(placer, o) ||
	    !placer_admit_load(placer))
		return;
	log_decision(placer, d);
	intent.service = service->name;
	intent.model = service->spec.model;
	intent.adapter = service->spec.adapter;
	o->preload_until_ms = placer_now_ms(placer) + PRELOAD_TIMEOUT_MS;
	o->preload_incarnation = seen->report.incarnation;
	g_strlcpy(o->preload_model, service->spec.model,
		  sizeof(o->preload_model));
	g_strlcpy(o->preload_version, d->version, sizeof(o->preload_version));
	placement_set_preloading(placer->placement, d->vms[0], true);
	placement_set_preload_weights(placer->placement, d->vms[0],
				      service->spec.model,
				      service->spec.adapter, d->version);
	placer_send_order(placer, seen, &intent);
}

static void on_decision(void *ctx, const struct placement_decision *d)
{
	struct placer *placer = ctx;

	if (d->action != PLACEMENT_PRELOAD)
		log_decision(placer, d);
	if (d->action == PLACEMENT_FORM || d->action == PLACEMENT_REPAIR)
		propose_assign(placer, d);
	else if (d->action == PLACEMENT_RELEASE)
		propose_release(placer, d);
	else if (d->action == PLACEMENT_PRELOAD)
		send_preload(placer, d);
}

void placer_tick(struct placer *placer)
{
	const struct state *state = placer_state(placer);

	if (!placer->active_from_ms ||
	    placer_now_ms(placer) < placer->active_from_ms ||
	    !group_is_ready_leader(placer->control->group))
		return;
	placer_probe_stalled(placer);
	placer_sync_planner(placer);
	if (!placer->pending_proposals) {
		placer->next_replica = state_next_replica_number(state);
		placer->next_epoch = state_last_epoch(state);
		placement_plan(placer->placement, placer_now_ms(placer),
			       on_decision, placer);
	}
	placer_reconcile(placer);
}
