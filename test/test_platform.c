/*
 * Scripted tests of the platform's protocols and of the modules behind them,
 * without sockets and in simulated time: configuration documents, routes,
 * announcements and failure detection, orders, event streams, the
 * configuration feed, release and the retry budget. Also the port probe.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <unistd.h>

#include <event2/keyvalq_struct.h>

#include <cmocka.h>

#include <radishdeal/evidence.h>
#include <radishdeal/repeats.h>
#include <radishdeal/state.h>

#include "common/address.h"
#include "control/feed.h"
#include "common/probe.h"
#include "control/release.h"
#include "entry/entry_internal.h"
#include "platform/answers.h"
#include "platform/config.h"
#include "platform/engine.h"
#include "platform/events.h"
#include "test/script.h"
#include "wire/codec.h"

#define PARTS_SOURCE 7u
#define FEED_NODES_MAX 8

/** State of a script. */
struct platform_test {
	struct state *state;
	struct routes *routes;
	struct event_reader events;
	struct evbuffer *in, *out;
	struct retry_budget retry_budget;
	struct feed *feed;
	uint64_t parts_cursor[FEED_NODES_MAX]; /* by node */
	struct monitor *monitor;
	struct view *view;
	int64_t now_ms;
	uint64_t index;
};

/* Joins the words of a line from one on. */
static char *join_words_from(const struct script *s, int from)
{
	return g_strjoinv(" ", (char **)s->words + from);
}

static char *case_file(const struct script *s, const char *name)
{
	char *folder = g_path_get_dirname(s->path);
	char *path = g_build_filename(folder, name, NULL);

	g_free(folder);
	return path;
}

/* ---- documents ---- */

static void apply_deployment(struct platform_test *t,
			     const struct deployment *deployment)
{
	struct command command = {
		.change_id = (char *)"",
		.operator_name = (char *)"",
		.body.kind = CMD_DEPLOY,
	};
	struct apply_result result = { 0 };

	command.body.command_body_u.deploy = *deployment;
	state_apply(t->state, ++t->index, &command, &result);
	state_result_clear(&result);
	routes_destroy(t->routes);
	t->routes = routes_create(state_deployment(t->state));
}

static void print_services(struct script *s, const struct deployment *d)
{
	for (u_int i = 0; i < d->services.services_len; i++) {
		const struct service_spec *spec = &d->services.services_val[i];

		script_print(s,
			     "  service %s pool=%s model=%s vms=%u slots=%u "
			     "share=%u plain=%u step_us=%u",
			     spec->name, spec->pool, spec->model,
			     spec->vms_per_replica, spec->slots_per_replica,
			     spec->share_permille, spec->is_plain,
			     spec->engine.step_us);
	}
}

/* As some earlier builds stored an empty list of accounts. */
static void store_without_list(struct deployment *d)
{
	for (u_int i = 0; i < d->accounts.accounts_len; i++)
		CODEC_FREE(client_account, &d->accounts.accounts_val[i]);
	d->accounts.accounts_len = 0;
}

/*
 * deploy FILE [version=] [without_list=1]: VERSION in the file is replaced by
 * the number.
 */
static void deploy(struct script *s)
{
	struct platform_test *t = s->ctx;
	char *path = case_file(s, s->words[1]);
	char *raw = NULL, *why = NULL;
	bool without_list = script_number(s, "without_list", 0) != 0;
	struct deployment d = { 0 };
	enum rd_result code;
	char **parts;
	char *text;

	if (!g_file_get_contents(path, &raw, NULL, NULL))
		script_fail(s, "%s: cannot be read", path);
	parts = g_strsplit(raw, "VERSION", 2);
	text = g_strjoinv(script_value(s, "version", "1"), parts);
	code = config_decode(text, strlen(text), &d, &why);
	if (code) {
		script_print(s, "%d %s: %s", (int)code,
			     rd_result_info(code)->name, why);
	} else {
		if (without_list)
			store_without_list(&d);
		apply_deployment(t, &d);
		script_print(s, "deployed revision: %d",
			     (int)state_deployment(t->state)->revision);
	}
	CODEC_FREE(deployment, &d);
	g_strfreev(parts);
	g_free(text);
	g_free(raw);
	g_free(why);
	g_free(path);
}

static void show(struct script *s)
{
	struct platform_test *t = s->ctx;
	const struct deployment *d = state_deployment(t->state);

	script_print(s, "revision %d: %u services, %u routes, %u accounts",
		     (int)d->revision, d->services.services_len,
		     d->routes.routes_len, d->accounts.accounts_len);
	print_services(s, d);
}

/* reload [text=0]: saves and loads the state, with or without the document */
static void reload(struct script *s)
{
	struct platform_test *t = s->ctx;
	bool with_text = script_number(s, "text", 1) != 0;
	GBytes *image = state_save(t->state, with_text);
	GBytes *text;

	assert_true(state_load(t->state, image));
	g_bytes_unref(image);
	routes_destroy(t->routes);
	t->routes = routes_create(state_deployment(t->state));
	text = config_document(state_deployment(t->state));
	script_print(s, "document: %s", text ? "present" : "absent");
	if (text)
		g_bytes_unref(text);
}

/* Prints the start and the size of the document as callers read it back. */
static void print_document(struct script *s)
{
	struct platform_test *t = s->ctx;
	GBytes *text = config_document(state_deployment(t->state));
	gsize size;
	const char *data = g_bytes_get_data(text, &size);

	script_print(s, "%.*s...", 24, data);
	script_print(s, "%zu bytes", size);
	g_bytes_unref(text);
}

/* route HOST PATH */
static void find_route(struct script *s)
{
	struct platform_test *t = s->ctx;
	const struct route_spec *r = routes_find(t->routes, s->words[1],
						 s->words[2]);

	script_print(s, "%s %s: %s", s->words[1], s->words[2],
		     r ? r->name : "no route");
}

/* key API-KEY */
static void find_account(struct script *s)
{
	struct platform_test *t = s->ctx;
	const struct client_account *a = routes_account(t->routes, s->words[1]);

	script_print(s, "%s: %s", s->words[1], a ? a->name : "no account");
}

/* read-documents 0|1: whether the state has a reader of them */
static void set_document_reader(struct script *s)
{
	struct platform_test *t = s->ctx;
	struct document_reader reader = { NULL, NULL };

	if (atoi(s->words[1]))
		reader.has_account_list = config_has_account_list;
	state_set_document_reader(t->state, &reader);
}

static void print_asks_for_keys(struct script *s)
{
	struct platform_test *t = s->ctx;

	script_print(s, "asks for keys: %s, completed: %s",
		     deployment_asks_for_keys(state_deployment(t->state)) ? "ye"
									    "s"
									  : "n"
									    "o",
		     state_deployment_was_completed(t->state) ? "yes" : "no");
}

/* ---- announcements and failure detection ---- */

/* announce VM JSON: prints the report, and whether a digest is due */
static void announce(struct script *s)
{
	struct platform_test *t = s->ctx;
	char *text = join_words_from(s, 2);
	json_t *body = json_loads(text, 0, NULL);
	struct vm_report r;
	char *why;

	if (!body)
		script_fail(s, "the announcement is not valid JSON");
	why = announcement_decode(s->words[1], body, &r);
	if (why)
		script_print(s, "refused: %s", why);
	else
		script_print(
			s,
			"%s at %s service=%s pool=%s domain=%s replica=%u "
			"epoch=%d ready=%d serving=%d broken=%d "
			"leaving=%d weights=%s staged=%u slots=%u%s",
			r.name, r.address, r.service, r.pool, r.domain,
			r.replica, (int)r.epoch, r.ready, r.serving, r.broken,
			r.leaving, r.model, r.staged.staged_len, r.slots,
			monitor_handle_announcement(t->monitor, t->now_ms, &r)
				? " changed"
				: "");
	announcement_clear(&r);
	g_free(why);
	free(text);
	json_decref(body);
}

/*
 * response ID STATUS [reused] [Header:value ...]: ID is - for a request without
 * one; `reused` says that the connection has carried earlier ones.
 */
static void classify_response(struct script *s)
{
	static const char *const names[] = {
		[RESPONSE_FORWARD] = "forward",
		[RESPONSE_NOT_RUN] = "not run",
		[RESPONSE_FAILED] = "failed",
		[RESPONSE_MISMATCHED] = "mismatched",
	};
	const char *id = strcmp(s->words[1], "-") ? s->words[1] : NULL;
	enum response_class class;
	const char *why;
	bool reused = s->word_count > 3 && !strcmp(s->words[3], "reused");
	struct evkeyvalq headers;

	TAILQ_INIT(&headers);
	for (int i = reused ? 4 : 3; i < s->word_count; i++) {
		char **parts = g_strsplit(s->words[i], ":", 2);

		evhttp_add_header(&headers, parts[0], parts[1]);
		g_strfreev(parts);
	}
	class = response_classify(id, reused, atoi(s->words[2]), &headers,
				  &why);
	script_print(s, "%s%s%s", names[class], why ? ": " : "",
		     why ? why : "");
	evhttp_clear_headers(&headers);
}

/* document-failure CODE: the response when a document was not stored */
static void print_document_problem(struct script *s)
{
	struct problem problem =
		document_problem((enum rd_result)atoi(s->words[1]));
	const struct rd_result_info *info = rd_result_info(problem.code);

	script_print(s, "%d %s, outcome %s: %s", info->http_status, info->name,
		     problem.outcome == OUTCOME_NOT_RUN ? "not-run" : "unknown",
		     problem.detail ? problem.detail : info->text);
}

static struct command *replica_command(struct script *s, command_kind kind,
				       struct command *command)
{
	memset(command, 0, sizeof(*command));
	command->change_id = (char *)"";
	command->operator_name = (char *)"placement";
	command->body.kind = kind;
	if (kind == CMD_CONFIRM_REPLICA) {
		struct confirm_replica *c =
			&command->body.command_body_u.confirm;

		c->replica = (uint32_t)atoi(s->words[1]);
		c->epoch = (uint64_t)atoi(s->words[2]);
	} else {
		struct assign_replica *a = &command->body.command_body_u.assign;

		a->replica = (uint32_t)atoi(s->words[1]);
		a->epoch = (uint64_t)atoi(s->words[2]);
		a->service = s->words[3];
		a->model_version = (char *)"1";
	}
	return command;
}

static void apply_replica(struct script *s, const struct command *command)
{
	struct platform_test *t = s->ctx;
	struct apply_result result = { 0 };

	state_apply(t->state, ++t->index, command, &result);
	script_print(s, "%s", rd_result_info(result.code)->name);
	state_result_clear(&result);
}

/* assign REPLICA EPOCH SERVICE VM... */
static void assign(struct script *s)
{
	struct command command;
	struct assign_replica *a = &replica_command(s, CMD_ASSIGN_REPLICA,
						    &command)
					    ->body.command_body_u.assign;
	struct vm_ref vms[SCRIPT_WORDS_MAX];

	a->vms.vms_val = vms;
	for (int i = 4; i < s->word_count; i++)
		vms[a->vms.vms_len++] = (struct vm_ref){
			.name = s->words[i],
			.address = (char *)"10.0.0.1:80",
			.domain = (char *)"d",
			.data_centre = (char *)"a",
		};
	apply_replica(s, &command);
}

/* confirm REPLICA EPOCH: the replica was healthy under this epoch */
static void confirm(struct script *s)
{
	struct command command;

	apply_replica(s, replica_command(s, CMD_CONFIRM_REPLICA, &command));
}

/*
 * health REPLICA [presumed_until=MS]: prints the health, until when it is valid
 * and whether the replica was confirmed healthy under its epoch
 */
static void check_replica(struct script *s)
{
	struct platform_test *t = s->ctx;
	const struct replica_state *r =
		state_replica(t->state, (uint32_t)atoi(s->words[1]));
	const char *faulty_vm;
	int64_t fresh_until_ms;
	enum replica_fault fault;

	if (!r)
		script_fail(s, "no such replica");
	fault = view_check_replica(t->view, &r->assign, t->now_ms,
				   script_number(s, "presumed_until", 0),
				   &faulty_vm, &fresh_until_ms);
	script_print(s, "%s at %d until %d%s", replica_fault_name(fault),
		     (int)t->now_ms, (int)fresh_until_ms,
		     r->confirmed ? ", confirmed" : "");
}

/* suspect VM MS */
static void suspect_vm(struct script *s)
{
	struct platform_test *t = s->ctx;

	view_suspect(t->view, s->words[1], t->now_ms, atoll(s->words[2]));
}

/* digest [at=MS]: passes a digest from the monitor to the view */
static void pass_digest(struct script *s)
{
	struct platform_test *t = s->ctx;
	struct digest d;

	t->now_ms = script_number(s, "at", t->now_ms);
	monitor_make_digest(t->monitor, t->now_ms, false, &d);
	(void)view_merge(t->view, t->now_ms, &d);
	monitor_digest_clear(&d);
	view_expire(t->view, t->now_ms);
}

/* mark-leaving VM: prints whether this changed its status */
static void mark_leaving(struct script *s)
{
	struct platform_test *t = s->ctx;
	const struct view_vm *seen = view_find(t->view, s->words[1]);

	script_print(s, "%s marked as leaving: %s", s->words[1],
		     monitor_mark_leaving(t->monitor, t->now_ms,
					  seen ? &seen->report : NULL,
					  s->words[1])
			     ? "changed"
			     : "unchanged");
}

/* vm VM: prints whether the view has it alive and leaving */
static void print_vm(struct script *s)
{
	struct platform_test *t = s->ctx;
	const struct view_vm *seen = view_find(t->view, s->words[1]);

	script_print(s, "%s: %s leaving=%d", s->words[1],
		     seen && view_alive(t->view, seen, t->now_ms) ? "alive"
								  : "lost",
		     seen ? seen->report.leaving : 0);
}

/* ---- orders ---- */

/* order form|open|release|load|warm: prints the header and body */
static void print_order(struct script *s)
{
	static const char *const kinds[] = { "form", "open", "release", "load",
					     "warm" };
	struct vm_ref vms[] = { { .name = (char *)"i-1" },
				{ .name = (char *)"i-2" } };
	struct order_intent intent = {
		.vm = "i-2",
		.replica = 7,
		.epoch = 12,
		.term = 3,
		.model = "m1",
		.vms = vms,
		.vm_count = G_N_ELEMENTS(vms),
	};
	char *body, *headers;

	for (int i = 0; i < (int)G_N_ELEMENTS(kinds); i++)
		if (!strcmp(kinds[i], s->words[1]))
			intent.kind = (enum order_kind)i;
	if (intent.kind == ORDER_OPEN || intent.kind == ORDER_RELEASE)
		intent.model = NULL;
	body = platform_orders.body(&intent);
	headers = platform_orders.headers(&intent);
	script_print(s, "%s: %s %s", s->words[1], g_strchomp(headers), body);
	free(body);
	g_free(headers);
}

/* order-status HTTP-STATUS: prints the result of an order */
static void classify_order_status(struct script *s)
{
	static const char *const names[] = { "accepted", "stale", "refused",
					     "withheld", "lost" };

	script_print(s, "%s: %s", s->words[1],
		     names[platform_orders.classify_status(atoi(s->words[1]))]);
}

/* ---- event streams ---- */

/* stream TEXT: appends to the input; "/" stands for a line break */
static void append_stream(struct script *s)
{
	struct platform_test *t = s->ctx;
	char *text = join_words_from(s, 1);
	uint32_t moved;

	g_strdelimit(text, "/", '\n');
	evbuffer_add(t->in, text, strlen(text));
	moved = event_reader_move_events(&t->events, t->in, t->out);
	script_print(s, "%u events moved, %zu bytes left, last id %s%s%s",
		     moved, evbuffer_get_length(t->in),
		     event_reader_last_id(&t->events)
			     ? event_reader_last_id(&t->events)
			     : "none",
		     t->events.fault ? ": " : "",
		     t->events.fault ? t->events.fault : "");
	/* The next attempt begins anew. */
	if (t->events.fault)
		evbuffer_drain(t->in, evbuffer_get_length(t->in));
	g_free(text);
}

/* ---- configuration feed ---- */

/* demand=SERVICE:REQUESTS_PER_KS:PROMPT */
static void read_demand(const char *text, struct service_demand *demand)
{
	char **parts = g_strsplit(text, ":", 3);

	demand->service = g_strdup(parts[0]);
	demand->requests_per_ks = (uint32_t)atoi(parts[1]);
	demand->prompt_tokens = (uint32_t)atoi(parts[2]);
	g_strfreev(parts);
}

/* demand SERVICE: sum over all entries */
static void sum_demand(struct script *s)
{
	struct platform_test *t = s->ctx;
	struct service_demand sum;

	feed_sum_demand(t->feed, t->now_ms, s->words[1], &sum);
	script_print(s, "%s: %u requests in 1000 s, mean prompt %u tokens",
		     s->words[1], sum.requests_per_ks, sum.prompt_tokens);
}

/* load REPLICA: sum over all entries */
static void sum_load(struct script *s)
{
	struct platform_test *t = s->ctx;
	struct replica_load load;
	bool any = feed_sum_load(t->feed, t->now_ms,
				 (uint32_t)atoi(s->words[1]), 1, &load);

	if (any)
		script_print(s,
			     "replica %s: %u requests, no response bytes for "
			     "%u ms",
			     s->words[1], load.requests, load.last_byte_age_ms);
	else
		script_print(s, "replica %s: no requests", s->words[1]);
}

/* end=PART:REPLICA:AGE_MS */
static void read_part_end(const char *text, struct part_record *record,
			  struct replica_end *end)
{
	char **parts = g_strsplit(text, ":", 3);

	*end = (struct replica_end){ .replica = (uint32_t)atoi(parts[1]),
				     .epoch = 1,
				     .age_ms = (uint32_t)atoi(parts[2]) };
	*record = (struct part_record){
		.part = g_ascii_strtoull(parts[0], NULL, 16),
		.success_age_ms = UINT32_MAX,
		.ends = { 1, end },
	};
	g_strfreev(parts);
}

static void print_parts(struct script *s, const struct poll_reply *reply)
{
	GString *text = g_string_new(NULL);

	for (u_int i = 0; i < reply->parts.parts_len; i++) {
		const struct part_record *r = &reply->parts.parts_val[i];

		g_string_append_printf(
			text, " part %" G_GINT64_MODIFIER "x:", r->part);
		for (u_int j = 0; j < r->ends.ends_len; j++)
			g_string_append_printf(text, " replica %u %u ms ago",
					       r->ends.ends_val[j].replica,
					       r->ends.ends_val[j].age_ms);
	}
	script_print(s, "node %s learns%s", s->words[1],
		     text->len ? text->str : " nothing");
	g_string_free(text, TRUE);
}

/*
 * poll NODE applied= [load=REPLICA:REQUESTS] [quiet_ms=] [demand=...]
 * [parts=known|new] [end=...]: with `parts` as an entry that knows the feed's
 * records up to its last poll, or none, and prints what it learns of parts
 */
static void poll_feed(struct script *s)
{
	struct platform_test *t = s->ctx;
	const char *load = script_value(s, "load", NULL);
	const char *demand = script_value(s, "demand", NULL);
	struct replica_load own = { .epoch = 1 };
	struct service_demand asked = { 0 };
	struct poll_request request = {
		.node = (uint32_t)atoi(s->words[1]),
		.incarnation = 1,
		.applied_index = (uint64_t)script_number(s, "applied", 0),
		.callers_address = (char *)"10.0.0.1:1",
		.endpoints_address = (char *)"",
		.data_centre = (char *)"a",
	};
	const char *parts = script_value(s, "parts", NULL);
	const char *end = script_value(s, "end", NULL);
	struct part_record record;
	struct replica_end ended;
	struct poll_reply reply = { 0 };
	GString *loads = g_string_new(NULL);

	if (load) {
		own.replica = (uint32_t)atoi(load);
		own.requests = (uint32_t)atoi(strchr(load, ':') + 1);
		own.last_byte_age_ms = (uint32_t)script_number(s, "quiet_ms",
							       0);
		request.loads.loads_val = &own;
		request.loads.loads_len = 1;
	}
	if (demand) {
		read_demand(demand, &asked);
		request.demands.demands_val = &asked;
		request.demands.demands_len = 1;
	}
	if (parts && !strcmp(parts, "known")) {
		request.parts_source = PARTS_SOURCE;
		request.parts_cursor = t->parts_cursor[request.node];
	}
	if (end) {
		read_part_end(end, &record, &ended);
		request.parts.parts_val = &record;
		request.parts.parts_len = 1;
	}
	feed_poll(t->feed, t->now_ms, t->state, &request, &reply);
	t->parts_cursor[request.node] = reply.parts_cursor;
	for (u_int i = 0; i < reply.loads.loads_len; i++)
		g_string_append_printf(loads, "%s%u", i ? "+" : "",
				       reply.loads.loads_val[i].requests);
	script_print(s,
		     "node %s: %s, %u deltas, %u entries, %s requests at %u "
		     "replicas",
		     s->words[1],
		     reply.snapshot.snapshot_len ? "snapshot" : "no snapshot",
		     reply.deltas.deltas_len, reply.entries.entries_len,
		     loads->len ? loads->str : "0", reply.loads.loads_len);
	g_string_free(loads, TRUE);
	if (parts)
		print_parts(s, &reply);
	g_free(asked.service);
	CODEC_FREE(poll_reply, &reply);
}

/* committed deploy|other: adds a command to the feed at the current index */
static void feed_command(struct script *s)
{
	struct platform_test *t = s->ctx;
	struct command command = {
		.change_id = (char *)"",
		.operator_name = (char *)"",
		.body.kind = !strcmp(s->words[1], "deploy") ? CMD_DEPLOY
							    : CMD_FREE_VM,
	};
	struct free_vm *freed = &command.body.command_body_u.freed;

	if (command.body.kind == CMD_FREE_VM)
		freed->vm = (char *)"i-1";
	feed_add(t->feed, t->index, &command);
}

/* ---- release of a VM ---- */

/* release LOG-EPOCH REPORTED-REPLICA REPORTED-EPOCH RELEASED-EPOCH */
static void release(struct script *s)
{
	struct vm_state held = { .replica = 4,
				 .epoch = (uint64_t)atoll(s->words[1]) };
	struct vm_report report = {
		.replica = (uint32_t)atoi(s->words[2]),
		.epoch = (uint64_t)atoll(s->words[3]),
	};

	if (release_confirmed(&held, &report, (uint64_t)atoll(s->words[4])))
		script_print(s, "release confirmed");
	else
		script_print(s, "release epoch %d",
			     (int)release_epoch(&held, &report));
}

/* ---- retry budget ---- */

/* requests COUNT */
static void add_requests(struct script *s)
{
	struct platform_test *t = s->ctx;

	for (int i = atoi(s->words[1]); i > 0; i--)
		retry_budget_add_request(&t->retry_budget, t->now_ms);
}

/* retry COUNT */
static void take_retries(struct script *s)
{
	struct platform_test *t = s->ctx;
	int allowed = 0;

	for (int i = atoi(s->words[1]); i > 0; i--)
		allowed += retry_budget_take(&t->retry_budget, t->now_ms);
	script_print(s, "%d of %s retries allowed", allowed, s->words[1]);
}

static void at(struct script *s)
{
	((struct platform_test *)s->ctx)->now_ms = atoll(s->words[1]);
}

static const struct script_command commands[] = {
	{ "deploy", 1, deploy },
	{ "show", 0, show },
	{ "reload", 0, reload },
	{ "document", 0, print_document },
	{ "route", 2, find_route },
	{ "key", 1, find_account },
	{ "demand", 1, sum_demand },
	{ "read-documents", 1, set_document_reader },
	{ "asks-for-keys", 0, print_asks_for_keys },
	{ "announce", 2, announce },
	{ "response", 2, classify_response },
	{ "document-failure", 1, print_document_problem },
	{ "suspect", 2, suspect_vm },
	{ "load", 1, sum_load },
	{ "assign", 4, assign },
	{ "confirm", 2, confirm },
	{ "health", 1, check_replica },
	{ "digest", 0, pass_digest },
	{ "mark-leaving", 1, mark_leaving },
	{ "vm", 1, print_vm },
	{ "order", 1, print_order },
	{ "order-status", 1, classify_order_status },
	{ "stream", 1, append_stream },
	{ "poll", 1, poll_feed },
	{ "committed", 1, feed_command },
	{ "release", 4, release },
	{ "requests", 1, add_requests },
	{ "retry", 1, take_retries },
	{ "at", 1, at },
	{ 0 },
};

static void run_case(const char *path, const struct script_command *table)
{
	struct monitor_opts monitor = { 1, 1, 3000 };
	struct view_opts view = { 6000 };
	struct feed_opts feed = { .lease_ms = 1000,
				  .commands_max = 8,
				  .parts_source = PARTS_SOURCE,
				  .entries_may_join = true };
	struct retry_budget_opts retry_budget = { 200, 10000 };
	struct platform_test t = { .state = state_create() };

	t.in = evbuffer_new();
	t.out = evbuffer_new();
	t.monitor = monitor_create(&monitor);
	t.view = view_create(&view);
	t.feed = feed_create(&feed);
	event_reader_init(&t.events, NULL);
	retry_budget_init(&t.retry_budget, &retry_budget);
	retry_budget_set_reserve(&t.retry_budget, 2);
	script_check(path, table, &t);
	routes_destroy(t.routes);
	state_destroy(t.state);
	evbuffer_free(t.in);
	evbuffer_free(t.out);
	feed_destroy(t.feed);
	monitor_destroy(t.monitor);
	view_destroy(t.view);
	event_reader_clear(&t.events);
}

/* ---- port probe ---- */

static void on_probed(void *ctx, bool reachable)
{
	*(int *)ctx = reachable;
}

static int probe_port(struct event_base *base, int port)
{
	char *address = g_strdup_printf("127.0.0.1:%d", port);
	int reachable = -1;

	(void)probe_start(base, &(struct probe_opts){
					.address = address,
					.timeout_ms = 2000,
					.done = on_probed,
					.ctx = &reachable,
				});
	assert_int_equal(reachable, -1);
	event_base_dispatch(base);
	g_free(address);
	return reachable;
}

static void test_probe(void **state)
{
	struct event_base *base = event_base_new();
	struct address address;
	int fd, port;

	(void)state;
	assert_true(address_parse("127.0.0.1:0", &address));
	fd = address_listen(&address, 1);
	assert_true(fd >= 0);
	port = address_local_port(fd);
	assert_int_equal(probe_port(base, port), true);
	close(fd);
	assert_int_equal(probe_port(base, port), false);
	assert_int_equal(probe_port(base, 0), false);
	event_base_free(base);
}

static void test_platform(void **state)
{
	(void)state;
	script_check_folder("test/cases/platform", commands, run_case);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_platform),
		cmocka_unit_test(test_probe),
	};

	return cmocka_run_group_tests_name("platform", tests, NULL, NULL);
}
