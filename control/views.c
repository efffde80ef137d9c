#include <inttypes.h>
#include <string.h>

#include "control/views.h"

/* ---- services ---- */

static json_t *preset_json(const struct preset_spec *p)
{
	return json_pack("{s:s,s:I,s:s,s:b}", "name", p->name, "replicas",
			 (json_int_t)p->replicas, "version", p->model_version,
			 "admit", p->admit != 0);
}

static json_t *service_summary(const struct service_state *s)
{
	const struct preset_spec *preset = service_active_preset(s);

	return json_pack("{s:s,s:s,s:I,s:s,s:I,s:s}", "name", s->name, "kind",
			 s->spec.is_plain ? "plain" : "model", "revision",
			 (json_int_t)s->revision, "preset", s->preset,
			 "replicas", (json_int_t)preset->replicas, "version",
			 preset->model_version);
}

json_t *views_service(const struct service_state *s)
{
	json_t *body = service_summary(s);
	json_t *presets = json_array();

	for (u_int i = 0; i < s->spec.presets.presets_len; i++)
		json_array_append_new(
			presets, preset_json(&s->spec.presets.presets_val[i]));
	json_object_set_new(body, "presets", presets);
	json_object_set_new(body, "text", json_string(s->text));
	return body;
}

static void add_service(void *ctx, const struct service_state *s)
{
	json_array_append_new(ctx, service_summary(s));
}

json_t *views_services(const struct state *state)
{
	json_t *list = json_array();

	state_each_service(state, add_service, list);
	return json_pack("{s:o}", "services", list);
}

json_t *views_history(const struct service_state *s)
{
	json_t *list = json_array();

	for (u_int i = 0; i < s->history.history_len; i++) {
		const struct revision_record *r = &s->history.history_val[i];

		json_array_append_new(
			list, json_pack("{s:I,s:I,s:s,s:s,s:s,s:s}", "revision",
					(json_int_t)r->revision, "time_ms",
					(json_int_t)r->time_ms, "operator",
					r->operator_name, "what",
					r->description, "preset", r->preset,
					"change_id", r->change_id));
	}
	return json_pack("{s:s,s:o}", "service", s->name, "history", list);
}

static void add_accounts(void *ctx, const struct service_state *s)
{
	for (u_int i = 0; i < s->spec.accounts.accounts_len; i++) {
		const struct account_spec *a =
			&s->spec.accounts.accounts_val[i];

		json_array_append_new(
			ctx,
			json_pack("{s:s,s:s,s:I,s:I,s:I}", "service", s->name,
				  "account", a->name, "weight",
				  (json_int_t)a->weight, "priority",
				  (json_int_t)a->priority, "max_outstanding",
				  (json_int_t)a->max_outstanding));
	}
}

json_t *views_accounts(const struct state *state)
{
	json_t *list = json_array();

	state_each_service(state, add_accounts, list);
	return json_pack("{s:o}", "accounts", list);
}

/* ---- endpoints and replicas ---- */

struct listing {
	const struct control *control;
	json_t *list;
};

static void add_endpoint(void *ctx, const struct view_vm *vm)
{
	struct listing *l = ctx;
	const struct vm_report *r = &vm->report;
	int64_t now = control_now_ms(l->control);
	const char *state = !view_alive(l->control->view, vm, now) ? "lost"
			    : r->leaving			   ? "leaving"
			    : r->ready				   ? "ready"
			    : !r->replica			   ? "free"
								   : "loading";

	json_array_append_new(
		l->list,
		json_pack("{s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:s,s:b,s:I,s:I}",
			  "vm", r->name, "address", r->address, "data_centre",
			  r->data_centre, "domain", r->domain, "state", state,
			  "accelerators", (json_int_t)r->accelerators,
			  "replica", (json_int_t)r->replica, "epoch",
			  (json_int_t)r->epoch, "service", r->service,
			  "checks_fencing", r->checks_fencing != 0, "running",
			  (json_int_t)r->load.running, "losses",
			  (json_int_t)vm->losses));
}

json_t *views_endpoints(const struct control *control)
{
	struct listing l = { control, json_array() };

	view_each(control->view, add_endpoint, &l);
	return json_pack("{s:o}", "endpoints", l.list);
}

static json_t *replica_json(const struct control *control,
			    const struct replica_state *r)
{
	const struct assign_replica *a = &r->assign;
	const char *faulty_vm;
	int64_t valid_until_ms;
	enum replica_fault fault =
		view_check_replica(control->view, a, control_now_ms(control), 0,
				   &faulty_vm, &valid_until_ms);
	json_t *vms = json_array();

	for (u_int i = 0; i < a->vms.vms_len; i++)
		json_array_append_new(vms, json_string(a->vms.vms_val[i].name));
	return json_pack("{s:I,s:s,s:I,s:s,s:s,s:s,s:s,s:o}", "replica",
			 (json_int_t)a->replica, "service", a->service, "epoch",
			 (json_int_t)a->epoch, "version", a->model_version,
			 "state",
			 r->released ? "released" : replica_fault_name(fault),
			 "vm_at_fault", faulty_vm ? faulty_vm : "", "head",
			 a->vms.vms_len ? a->vms.vms_val[0].address : "", "vms",
			 vms);
}

static void add_replica(void *ctx, const struct replica_state *r)
{
	struct listing *l = ctx;

	json_array_append_new(l->list, replica_json(l->control, r));
}

json_t *views_replicas(const struct control *control)
{
	struct listing l = { control, json_array() };

	state_each_replica(group_state(control->group), add_replica, &l);
	return json_pack("{s:o}", "replicas", l.list);
}

struct decision_search {
	const char *needle;
	json_t *list;
};

static void add_decision(void *ctx, const char *line)
{
	struct decision_search *search = ctx;

	if (!search->needle || strstr(line, search->needle))
		json_array_append_new(search->list, json_string(line));
}

json_t *views_decisions(const struct control *control)
{
	struct decision_search search = { NULL, json_array() };

	placer_each_decision(control->placer, add_decision, &search);
	return json_pack("{s:o}", "decisions", search.list);
}

json_t *views_replica(const struct control *control, uint32_t id)
{
	const struct replica_state *r =
		state_replica(group_state(control->group), id);
	char needle[32];
	struct decision_search search = { needle, json_array() };
	json_t *body;

	if (!r) {
		json_decref(search.list);
		return NULL;
	}
	g_snprintf(needle, sizeof(needle), "replica=%u ", id);
	placer_each_decision(control->placer, add_decision, &search);
	body = replica_json(control, r);
	json_object_set_new(body, "decisions", search.list);
	return body;
}

/* ---- members, entries and status ---- */

json_t *views_members(const struct control *control)
{
	const struct raft *raft = group_raft(control->group);
	const struct member_config *config = raft_config(raft);
	json_t *list = json_array();

	for (u_int i = 0; i < config->members.members_len; i++) {
		const struct member *m = &config->members.members_val[i];
		struct raft_progress progress = { 0 };
		char id[24];
		bool known = raft_progress(raft, m->id, &progress);
		json_t *row;

		g_snprintf(id, sizeof(id), "%" PRIx64, m->id);
		row = json_pack("{s:I,s:s,s:s,s:s,s:s,s:b}", "node",
				(json_int_t)m->node, "member", id, "role",
				m->voter ? "voter" : "learner", "data_centre",
				m->data_centre, "address", m->address, "leader",
				m->id == raft_leader(raft));
		if (known) {
			json_object_set_new(
				row, "silent_ms",
				json_integer(control_now_ms(control) -
					     progress.last_reply_ms));
			json_object_set_new(
				row, "match",
				json_integer((json_int_t)progress.match));
		}
		json_array_append_new(list, row);
	}
	return json_pack("{s:o}", "members", list);
}

static void add_entry(void *ctx, const struct feed_entry *e)
{
	struct listing *l = ctx;
	int64_t now = control_now_ms(l->control);

	json_array_append_new(
		l->list,
		json_pack("{s:I,s:s,s:s,s:I,s:b,s:b,s:I}", "node",
			  (json_int_t)e->node, "callers", e->callers_address,
			  "data_centre", e->data_centre, "applied",
			  (json_int_t)e->applied, "lease",
			  now <= e->lease_until_ms, "draining", e->draining,
			  "free_permille", (json_int_t)e->free_permille));
}

json_t *views_status(const struct control *control)
{
	const struct raft *raft = group_raft(control->group);
	struct listing entries = { control, json_array() };
	bool leads = group_is_ready_leader(control->group);

	if (leads)
		feed_each_entry(control->feed, add_entry, &entries);
	return json_pack(
		"{s:I,s:s,s:I,s:b,s:I,s:I,s:I,s:I,s:I,s:I,s:o}", "node",
		(json_int_t)control->opts.settings->node.id, "data_centre",
		control->opts.settings->node.data_centre, "leader",
		(json_int_t)control_leader(control), "leads", leads, "term",
		(json_int_t)raft_term(raft), "commit",
		(json_int_t)raft_commit_index(raft), "applied",
		(json_int_t)raft_applied_index(raft), "log_bytes",
		(json_int_t)group_log_bytes(control->group), "changes",
		(json_int_t)state_change_count(group_state(control->group)),
		"bookings",
		(json_int_t)state_booking_count(group_state(control->group)),
		"entries", entries.list);
}
