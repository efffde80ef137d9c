/*
 * The operator API: HTTP with JSON bodies, authorised by bearer keys, each of
 * which has a role.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "common/http_server.h"
#include "common/log.h"
#include "control/control_internal.h"
#include "control/views.h"
#include "settings/service.h"
#include "wire/codec.h"
#include "wire/rpc_frame.h"
#include "settings/ports.h"

#define HEADER_BYTES 16384
#define BODY_BYTES (256 * 1024)
#define TIMEOUT_S 30
#define PROPOSAL_TIMEOUT_MS 8000
#define MAX_WAIT_MS 60000
#define RETRY_AFTER_MS 1000

static const struct log operators_log = { "operators" };

enum operator_role {
	OPERATOR_READ = 1,
	OPERATOR_CHANGE = 2,
	OPERATOR_MEMBERSHIP = 3, /* each role includes the lower ones */
};

static const char *const role_names[] = { "", "read", "change", "membership" };

struct operator_key {
	char *name;
	enum operator_role role;
	char *key;
};

struct operators {
	struct control *control;
	struct evhttp *http;
	GPtrArray *keys; /* of struct operator_key */
	/* Of struct pending_change: accepted, but not in force yet. */
	GPtrArray *waiting_changes;
};

/** A submitted change whose HTTP request has not been answered yet. */
struct pending_change {
	struct operators *operators;
	struct evhttp_request *req;
	struct http_disconnect_watch watch;
	bool disconnected;
	int64_t wait_ms;
	int64_t wait_deadline_ms;
	uint64_t index;
	uint64_t revision;
};

/** An authenticated request. */
struct request {
	struct operators *operators;
	struct evhttp_request *req;
	const struct operator_key *operator_key;
	char **path; /* segments after /v1/ */
	guint segment_count;
};

/* ---- keys ---- */

static void key_free(gpointer data)
{
	struct operator_key *key = data;

	g_free(key->name);
	g_free(key->key);
	g_free(key);
}

static bool parse_key(struct operators *o, const char *line, char **why)
{
	char **words = g_strsplit_set(line, " \t", 0);
	struct operator_key *key;
	bool ok = false;

	if (g_strv_length(words) != 3)
		goto done;
	key = g_new0(struct operator_key, 1);
	for (int i = OPERATOR_READ; i <= OPERATOR_MEMBERSHIP; i++)
		if (!strcmp(role_names[i], words[1]))
			key->role = (enum operator_role)i;
	key->name = g_strdup(words[0]);
	key->key = g_strdup(words[2]);
	g_ptr_array_add(o->keys, key);
	ok = key->role != 0;
done:
	if (!ok)
		*why = g_strdup("operator keys: each line must be: name "
				"read|change|membership key");
	g_strfreev(words);
	return ok;
}

static bool parse_keys(struct operators *o, const char *text, char **why)
{
	char **lines = g_strsplit(text, "\n", 0);
	bool ok = true;

	for (int i = 0; ok && lines[i]; i++)
		if (*g_strstrip(lines[i]))
			ok = parse_key(o, lines[i], why);
	g_strfreev(lines);
	return ok;
}

static const struct operator_key *find_key(const struct operators *o,
					   const char *presented_key)
{
	const struct operator_key *found = NULL;

	for (guint i = 0; i < o->keys->len; i++) {
		const struct operator_key *k = o->keys->pdata[i];
		size_t size = strlen(k->key);

		if (strlen(presented_key) == size &&
		    rpc_equal_const_time((const uint8_t *)presented_key,
					 (const uint8_t *)k->key, size))
			found = k;
	}
	return found;
}

/* ---- responses ---- */

static void send_error(struct evhttp_request *req, enum rd_result code,
		       const char *detail)
{
	struct problem problem = { .code = code, .detail = detail };

	http_send_problem(req, &problem);
}

static void on_client_disconnected(void *ctx)
{
	struct pending_change *change = ctx;

	change->disconnected = true;
}

static void unwatch_client(struct pending_change *change)
{
	if (!change->disconnected)
		http_unwatch_disconnect(change->req, TIMEOUT_S);
}

static void send_accepted(struct pending_change *change, GArray *laggards)
{
	json_t *body = json_pack("{s:I,s:I,s:b}", "revision",
				 (json_int_t)change->revision, "index",
				 (json_int_t)change->index, "in_force",
				 !laggards->len && change->wait_ms);
	json_t *nodes = json_array();

	for (guint i = 0; i < laggards->len; i++)
		json_array_append_new(nodes, json_integer(g_array_index(
						     laggards, uint32_t, i)));
	json_object_set_new(body, "laggards", nodes);
	unwatch_client(change);
	http_send_json(change->req, 200, body);
	g_free(change);
}

static void send_laggards(struct pending_change *change, GArray *laggards)
{
	struct problem problem = { .code = RD_LAGGARDS,
				   .outcome = OUTCOME_UNKNOWN };
	GString *detail = g_string_new("accepted; not yet applied on nodes");

	for (guint i = 0; i < laggards->len; i++)
		g_string_append_printf(detail, " %u",
				       g_array_index(laggards, uint32_t, i));
	problem.detail = detail->str;
	problem.extension_members =
		json_pack("{s:I,s:I}", "revision", (json_int_t)change->revision,
			  "index", (json_int_t)change->index);
	unwatch_client(change);
	http_send_problem(change->req, &problem);
	json_decref(problem.extension_members);
	g_string_free(detail, TRUE);
	g_free(change);
}

static void send_unknown(struct pending_change *change)
{
	struct problem problem = { .code = RD_CHANGE_UNKNOWN,
				   .outcome = OUTCOME_UNKNOWN };

	unwatch_client(change);
	http_send_problem(change->req, &problem);
	g_free(change);
}

/*
 * Answers a change that is in force on all entries, whose wait has timed out,
 * or that only another member, the new leader, can tell more about. Returns
 * whether it has to wait further.
 */
static bool update_waiting_change(struct operators *o,
				  struct pending_change *change)
{
	struct control *control = o->control;
	GArray *laggards = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	int64_t now = control_now_ms(control);
	bool leads = group_is_ready_leader(control->group);
	bool done = leads &&
		    feed_in_force(control->feed, now, change->index, laggards);
	bool waiting = false;

	if (done)
		send_accepted(change, laggards);
	else if (raft_role(group_raft(control->group)) != RAFT_LEADER)
		send_unknown(change);
	else if (now >= change->wait_deadline_ms)
		send_laggards(change, laggards);
	else
		waiting = true;
	g_array_unref(laggards);
	return waiting;
}

void operators_tick(struct operators *o)
{
	for (guint i = o->waiting_changes->len; i > 0; i--)
		if (!update_waiting_change(o, o->waiting_changes->pdata[i - 1]))
			g_ptr_array_remove_index_fast(o->waiting_changes,
						      i - 1);
}

void operators_end_waits(struct operators *o)
{
	for (guint i = 0; i < o->waiting_changes->len; i++)
		send_unknown(o->waiting_changes->pdata[i]);
	g_ptr_array_set_size(o->waiting_changes, 0);
}

static void on_change_done(void *ctx, enum rd_result code,
			   const struct apply_result *result)
{
	struct pending_change *change = ctx;
	struct problem problem = {
		.code = code ? code : (enum rd_result)result->code,
		.outcome = code == RD_CHANGE_UNKNOWN ? OUTCOME_UNKNOWN
						     : OUTCOME_NOT_RUN,
		.detail = code ? NULL : result->text,
	};
	GArray *no_laggards;

	if (problem.code) {
		if (!code)
			problem.extension_members =
				json_pack("{s:I}", "revision",
					  (json_int_t)result->revision);
		unwatch_client(change);
		http_send_problem(change->req, &problem);
		json_decref(problem.extension_members);
		g_free(change);
		return;
	}
	change->index = result->index;
	change->revision = result->revision;
	if (change->wait_ms) {
		change->wait_deadline_ms =
			control_now_ms(change->operators->control) +
			change->wait_ms;
		g_ptr_array_add(change->operators->waiting_changes, change);
		return;
	}
	no_laggards = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	send_accepted(change, no_laggards);
	g_array_unref(no_laggards);
}

static int64_t query_number(struct evhttp_request *req, const char *name)
{
	char *text = http_query(req, name);
	int64_t n = text ? g_ascii_strtoll(text, NULL, 10) : 0;

	g_free(text);
	return n;
}

/*
 * A request that waits for its change to be in force must go to the leader:
 * only the leader tracks which index each entry has applied.
 */
static bool needs_leader(const struct request *r)
{
	return query_number(r->req, "wait_ms") > 0 &&
	       !(r->operators->control->group &&
		 group_is_ready_leader(r->operators->control->group));
}

static void send_not_leader(const struct request *r)
{
	struct problem problem = { .code = RD_NOT_LEADER };
	uint32_t leader = control_leader(r->operators->control);

	problem.extension_members = json_pack("{s:I}", "leader",
					      (json_int_t)leader);
	problem.retry_after_ms = RETRY_AFTER_MS;
	http_send_problem(r->req, &problem);
	json_decref(problem.extension_members);
}

/* Whether the change exceeds a bound of the state, which is answered here. */
static bool refuse_without_room(const struct request *r,
				const struct command *command)
{
	const struct group *group = r->operators->control->group;
	const char *why = NULL;
	enum rd_result code = group ? state_check_room(group_state(group),
						       command, &why)
				    : RD_OK;

	if (code)
		send_error(r->req, code, why);
	return code != RD_OK;
}

static void submit_change(const struct request *r, struct command *command)
{
	struct control *control = r->operators->control;
	struct pending_change *change;
	char *id, *base;
	GBytes *bytes;

	if (control->stopping) {
		send_error(r->req, RD_NO_QUORUM, "this VM is stopping");
		return;
	}
	if (needs_leader(r)) {
		send_not_leader(r);
		return;
	}
	if (refuse_without_room(r, command))
		return;
	id = http_query(r->req, "change_id");
	base = http_query(r->req, "base");
	if (!id || !*id || strlen(id) > RD_NAME_MAX || !base) {
		send_error(r->req, RD_BAD_REQUEST,
			   "change_id (1 to 63 bytes) and base are needed");
		goto done;
	}
	command->change_id = id;
	command->base_revision = g_ascii_strtoull(base, NULL, 10);
	command->operator_name = r->operator_key->name;
	command->time_ms = g_get_real_time() / 1000;
	bytes = CODEC_ENCODE(command, command);
	if (!bytes) {
		send_error(r->req, RD_TOO_LARGE, "the change is too large");
		goto done;
	}
	log_note(&operators_log, "change %s by operator %s kind=%d base=%s", id,
		 r->operator_key->name, (int)command->body.kind, base);
	change = g_new0(struct pending_change, 1);
	change->operators = r->operators;
	change->req = r->req;
	change->wait_ms = MIN(query_number(r->req, "wait_ms"), MAX_WAIT_MS);
	change->watch = (struct http_disconnect_watch){ on_client_disconnected,
							change };
	http_watch_disconnect(r->req, &change->watch);
	proposals_submit(control->proposals, bytes, PROPOSAL_TIMEOUT_MS,
			 on_change_done, change);
	g_bytes_unref(bytes);
done:
	g_free(id);
	g_free(base);
}

/* ---- changes ---- */

static void post_service(const struct request *r)
{
	struct command command = { .body.kind = CMD_APPLY_SERVICE };
	struct apply_service *change = &command.body.command_body_u.apply;
	GBytes *body = http_body(r->req);
	char *file = http_query(r->req, "file");
	char *errors = NULL;

	if (service_settings_read(file ? file : "service",
				  g_bytes_get_data(body, NULL), change,
				  &errors))
		send_error(r->req, RD_SETTINGS, errors);
	else
		submit_change(r, &command);
	CODEC_FREE(apply_service, change);
	g_free(errors);
	g_free(file);
	g_bytes_unref(body);
}

static void post_preset(const struct request *r)
{
	struct command command = { .body.kind = CMD_SWITCH_PRESET };
	char *preset = http_query(r->req, "preset");

	if (!preset || strlen(preset) > RD_NAME_MAX) {
		send_error(r->req, RD_BAD_REQUEST, "preset is needed");
	} else {
		command.body.command_body_u.preset.service = r->path[1];
		command.body.command_body_u.preset.preset = preset;
		submit_change(r, &command);
	}
	g_free(preset);
}

static void post_rollback(const struct request *r)
{
	struct command command = { .body.kind = CMD_ROLLBACK };

	command.body.command_body_u.rollback.service = r->path[1];
	command.body.command_body_u.rollback.to_revision =
		(uint64_t)query_number(r->req, "to");
	submit_change(r, &command);
}

static void delete_service(const struct request *r)
{
	struct command command = { .body.kind = CMD_REMOVE_SERVICE };

	command.body.command_body_u.service = r->path[1];
	submit_change(r, &command);
}

static void post_member(const struct request *r)
{
	char *action = http_query(r->req, "action");
	char *why = NULL;
	enum rd_result result =
		members_change(r->operators->control, action ? action : "",
			       (uint32_t)query_number(r->req, "node"), &why);

	if (result == RD_NOT_LEADER)
		send_not_leader(r);
	else if (result)
		send_error(r->req, result, why);
	else
		http_send_json(r->req, 200, json_pack("{s:b}", "accepted", 1));
	g_free(why);
	g_free(action);
}

static void post_drain(const struct request *r)
{
	struct control *control = r->operators->control;
	bool enabled = query_number(r->req, "on") != 0;

	if (!control->opts.listener.drain) {
		send_error(r->req, RD_NO_ROUTE,
			   "this VM does not have the entry role; ask one "
			   "that has");
		return;
	}
	control->opts.listener.drain(control->opts.listener.ctx, enabled);
	http_send_json(r->req, 200, json_pack("{s:b}", "draining", enabled));
}

/* ---- reading ---- */

static const struct state *applied_state(const struct request *r)
{
	return group_state(r->operators->control->group);
}

static void get_status(const struct request *r)
{
	http_send_json(r->req, 200, views_status(r->operators->control));
}

static void get_services(const struct request *r)
{
	http_send_json(r->req, 200, views_services(applied_state(r)));
}

static void get_service(const struct request *r)
{
	const struct service_state *s = state_service(applied_state(r),
						      r->path[1]);

	if (s)
		http_send_json(r->req, 200, views_service(s));
	else
		send_error(r->req, RD_NO_SERVICE, r->path[1]);
}

static void get_history(const struct request *r)
{
	const struct service_state *s = state_service(applied_state(r),
						      r->path[1]);

	if (s)
		http_send_json(r->req, 200, views_history(s));
	else
		send_error(r->req, RD_NO_SERVICE, r->path[1]);
}

static void get_endpoints(const struct request *r)
{
	http_send_json(r->req, 200, views_endpoints(r->operators->control));
}

static void get_replicas(const struct request *r)
{
	http_send_json(r->req, 200, views_replicas(r->operators->control));
}

static void get_replica(const struct request *r)
{
	json_t *body =
		views_replica(r->operators->control,
			      (uint32_t)g_ascii_strtoull(r->path[1], NULL, 10));

	if (body)
		http_send_json(r->req, 200, body);
	else
		send_error(r->req, RD_NO_ROUTE, "no such replica");
}

static void get_accounts(const struct request *r)
{
	http_send_json(r->req, 200, views_accounts(applied_state(r)));
}

static void get_members(const struct request *r)
{
	http_send_json(r->req, 200, views_members(r->operators->control));
}

static void get_decisions(const struct request *r)
{
	http_send_json(r->req, 200, views_decisions(r->operators->control));
}

static void get_metrics(const struct request *r)
{
	metrics_send(r->operators->control, r->req);
}

/* ---- routes ---- */

/** `path` is relative to /v1/; `*` matches one segment. */
struct route {
	const char *method;
	const char *path;
	enum operator_role role;
	void (*handle)(const struct request *r);
};

static const struct route routes[] = {
	{ "GET", "status", OPERATOR_READ, get_status },
	{ "GET", "services", OPERATOR_READ, get_services },
	{ "GET", "services/*", OPERATOR_READ, get_service },
	{ "GET", "services/*/history", OPERATOR_READ, get_history },
	{ "POST", "services", OPERATOR_CHANGE, post_service },
	{ "POST", "services/*/preset", OPERATOR_CHANGE, post_preset },
	{ "POST", "services/*/rollback", OPERATOR_CHANGE, post_rollback },
	{ "DELETE", "services/*", OPERATOR_CHANGE, delete_service },
	{ "GET", "endpoints", OPERATOR_READ, get_endpoints },
	{ "GET", "replicas", OPERATOR_READ, get_replicas },
	{ "GET", "replicas/*", OPERATOR_READ, get_replica },
	{ "GET", "accounts", OPERATOR_READ, get_accounts },
	{ "GET", "members", OPERATOR_READ, get_members },
	{ "POST", "members", OPERATOR_MEMBERSHIP, post_member },
	{ "GET", "decisions", OPERATOR_READ, get_decisions },
	{ "POST", "drain", OPERATOR_CHANGE, post_drain },
	{ "GET", "metrics", OPERATOR_READ, get_metrics },
};

static bool path_matches(const struct route *route, char **path,
			 guint segment_count)
{
	char **pattern = g_strsplit(route->path, "/", 0);
	bool same = g_strv_length(pattern) == segment_count;

	for (guint i = 0; same && i < segment_count; i++)
		same = !strcmp(pattern[i], "*") || !strcmp(pattern[i], path[i]);
	g_strfreev(pattern);
	return same;
}

static void dispatch(struct request *r)
{
	const char *method = http_method(r->req);
	bool path_known = false;

	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		if (!path_matches(&routes[i], r->path, r->segment_count))
			continue;
		path_known = true;
		if (strcmp(routes[i].method, method) != 0)
			continue;
		if (r->operator_key->role < routes[i].role)
			send_error(r->req, RD_FORBIDDEN, NULL);
		else
			routes[i].handle(r);
		return;
	}
	send_error(r->req, path_known ? RD_BAD_METHOD : RD_NO_ROUTE, NULL);
}

static void handle(struct evhttp_request *req, void *ctx)
{
	struct operators *o = ctx;
	const char *presented_key = http_bearer(req);
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);
	const char *path = evhttp_uri_get_path(uri);
	char **segments;
	struct request r = { .operators = o, .req = req };

	if (!presented_key) {
		send_error(req, RD_NO_KEY, NULL);
		return;
	}
	r.operator_key = find_key(o, presented_key);
	if (!r.operator_key) {
		send_error(req, RD_WRONG_KEY, NULL);
		return;
	}
	if (!o->control->group) {
		send_error(req, RD_NO_ROUTE,
			   "this VM does not have the control "
			   "role; ask one that has");
		return;
	}
	if (!path || !g_str_has_prefix(path, "/v1/")) {
		send_error(req, RD_NO_ROUTE, NULL);
		return;
	}
	segments = g_strsplit(path + strlen("/v1/"), "/", 0);
	r.path = segments;
	r.segment_count = g_strv_length(segments);
	dispatch(&r);
	g_strfreev(segments);
}

struct operators *operators_create(struct control *control, char **why)
{
	struct operators *o = g_new0(struct operators, 1);
	int port;
	struct http_listen_opts opts = {
		.base = control->base,
		.setting = "listen.operators",
		.address = control->opts.settings->listen.operators,
		.client = ports_client_limits(control->opts.settings,
					      HEADER_BYTES, BODY_BYTES),
		.server = ports_server_limits(control->opts.settings,
					      CLIENT_PORT_OPERATORS),
		.counters = control->opts.counters,
		.timeout_s = TIMEOUT_S,
		.handle = handle,
		.ctx = o,
	};

	o->control = control;
	o->keys = g_ptr_array_new_with_free_func(key_free);
	o->waiting_changes = g_ptr_array_new();
	if (!parse_keys(o, control->opts.operator_keys, why))
		goto fail;
	o->http = http_listen(&opts, &port, why);
	if (o->http)
		return o;
fail:
	operators_destroy(o);
	return NULL;
}

void operators_destroy(struct operators *o)
{
	if (!o)
		return;
	operators_end_waits(o);
	g_ptr_array_unref(o->waiting_changes);
	if (o->http)
		http_close(o->http);
	g_ptr_array_unref(o->keys);
	g_free(o);
}
