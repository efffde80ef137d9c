/*
 * Scripted tests of placement, routing, admission and settings in simulated
 * time, and tests of storage on damaged files and failing disks.
 */
#include <errno.h>
#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include <radishdeal/admission.h>
#include <radishdeal/demand.h>
#include <radishdeal/engine.h>
#include <radishdeal/estimate.h>
#include <radishdeal/placement.h>
#include <radishdeal/router.h>

#include "settings/daemon.h"
#include "settings/service.h"
#include "storage/storage.h"
#include "test/memory_fs.h"
#include "test/script.h"
#include "wire/codec.h"

/* ---- placement ---- */

struct placement_test {
	struct placement *placement;
	gint64 now_ms;
	struct script *script;
	uint64_t epoch;
};

static void place_opts(struct script *s)
{
	struct placement_test *p = s->ctx;
	struct placement_opts opts = {
		.pause_wait_ms = (int32_t)script_number(s, "pause_wait", 1000),
		.drain_ms = (int32_t)script_number(s, "drain", 30000),
		.flap_wait_ms = (int32_t)script_number(s, "flap_wait", 2000),
		.flap_forget_ms = 60000,
		.loads_max = (uint32_t)script_number(s, "loads_max", 4),
		.no_preload = script_number(s, "preload", 0) == 0,
		.load_first = script_number(s, "load_first", 0) != 0,
		.spread = script_number(s, "spread", 0) != 0,
		.loads_by_vm = script_number(s, "loads_by_vm", 0) != 0,
		.stage_all = script_number(s, "stage_all", 0) != 0,
	};

	placement_destroy(p->placement);
	p->placement = placement_create(&opts);
}

static void place_service(struct script *s)
{
	struct placement_test *p = s->ctx;
	struct placement_service service = {
		.name = s->words[1],
		.model = s->words[1],
		.adapter = "",
		.version = script_value(s, "version", "1"),
		.replicas = (uint32_t)script_number(s, "replicas", 1),
		.vms_per_replica = (uint32_t)script_number(s, "vms", 2),
		.accelerators_per_vm = 8,
		.cross_domain = script_number(s, "cross_domain", 0) != 0,
		.downtime_weight = (uint32_t)script_number(s, "downtime_weight",
							   10),
		.stranded_weight = 1,
		.pool = script_value(s, "pool", ""),
		.keep_healthy = script_number(s, "keep_healthy", 0) != 0,
	};

	placement_put_service(p->placement, &service);
}

/*
 * vm NAME DOMAIN [state=dead|leaving|straggling] [loaded=SERVICE]
 * [staged=SERVICE] [pool=POOL] [accelerators=N]
 */
static void place_vm(struct script *s)
{
	struct placement_test *p = s->ctx;
	const char *state = script_value(s, "state", "");
	const char *loaded = script_value(s, "loaded", "");
	const char *staged = script_value(s, "staged", "");
	struct placement_vm vm = {
		.name = s->words[1],
		.domain = s->words[2],
		.data_centre = "a",
		.pool = script_value(s, "pool", ""),
		.model = loaded,
		.adapter = "",
		.version = *loaded || *staged ? "1" : "",
		.staged = &staged,
		.staged_count = *staged ? 1 : 0,
		.accelerators = (uint32_t)script_number(s, "accelerators", 8),
		.alive = strcmp(state, "dead") != 0,
		.leaving = !strcmp(state, "leaving"),
		.straggling = !strcmp(state, "straggling"),
		.lost_ms = !strcmp(state, "dead") ? p->now_ms : 0,
	};

	placement_put_vm(p->placement, p->now_ms, &vm);
}

/* replica ID SERVICE VM[,VM] [version=] [healthy=0] [busy=1] */
static void place_replica(struct script *s)
{
	struct placement_test *p = s->ctx;
	char **vms = g_strsplit(s->words[3], ",", 0);
	uint32_t id = (uint32_t)atoi(s->words[1]);

	placement_put_replica(p->placement, p->now_ms, id, ++p->epoch,
			      s->words[2], script_value(s, "version", "1"),
			      (const char *const *)vms, g_strv_length(vms));
	placement_set_healthy(p->placement, id,
			      script_number(s, "healthy", 1) != 0);
	placement_set_busy(p->placement, id, script_number(s, "busy", 0) != 0);
	g_strfreev(vms);
}

static void place_at(struct script *s)
{
	((struct placement_test *)s->ctx)->now_ms = atoll(s->words[1]);
}

static void print_decision(void *ctx, const struct placement_decision *d)
{
	struct placement_test *p = ctx;
	GString *vms = g_string_new(NULL);

	for (uint32_t i = 0; i < d->vm_count; i++)
		g_string_append_printf(vms, "%s%s",
				       i ? "," : " vms=", d->vms[i]);
	script_print(p->script, "%s %s replica=%u%s: %s",
		     placement_action_name(d->action), d->service, d->replica,
		     vms->str, d->reason);
	g_string_free(vms, TRUE);
}

static void place_plan(struct script *s)
{
	struct placement_test *p = s->ctx;

	p->script = s;
	script_print(s, "plan at %d", (int)p->now_ms);
	placement_plan(p->placement, p->now_ms, print_decision, p);
}

static double work_per_replica(const void *ctx, uint32_t replicas)
{
	const double *work = ctx;

	return *work / replicas;
}

/*
 * divide SPARE_PERMILLE WORK:VMS_PER_REPLICA[,...] DOMAIN_VMS[,...]: divides a
 * pool between models; prints the replicas of each and the VMs per replica.
 */
static void place_divide(struct script *s)
{
	char **specs = g_strsplit(s->words[2], ",", 0);
	char **domains = g_strsplit(s->words[3], ",", 0);
	uint32_t share_count = g_strv_length(specs);
	uint32_t domain_count = g_strv_length(domains);
	struct pool_share *shares = g_new0(struct pool_share, share_count + 1);
	uint32_t *vms = g_new0(uint32_t, domain_count + 1);
	double *work = g_new0(double, share_count + 1);
	GString *line = g_string_new("replicas x VMs:");

	for (uint32_t i = 0; i < share_count; i++) {
		work[i] = atof(specs[i]);
		shares[i].cost = work_per_replica;
		shares[i].ctx = &work[i];
		shares[i].vms_per_replica =
			(uint32_t)atoi(strchr(specs[i], ':') + 1);
	}
	for (uint32_t i = 0; i < domain_count; i++)
		vms[i] = (uint32_t)atoi(domains[i]);
	placement_divide(shares, share_count, vms, domain_count,
			 (uint32_t)atoi(s->words[1]));
	for (uint32_t i = 0; i < share_count; i++)
		g_string_append_printf(line, " %ux%u", shares[i].replicas,
				       shares[i].vms_per_replica);
	script_print(s, "%s", line->str);
	g_string_free(line, TRUE);
	g_free(shares);
	g_free(vms);
	g_free(work);
	g_strfreev(specs);
	g_strfreev(domains);
}

static const struct script_command place_commands[] = {
	{ "divide", 3, place_divide },	 { "opts", 0, place_opts },
	{ "service", 1, place_service }, { "vm", 2, place_vm },
	{ "replica", 3, place_replica }, { "at", 1, place_at },
	{ "plan", 0, place_plan },	 { 0 }
};

/* ---- routing ---- */

struct routing_test {
	struct router *router;
	struct request_limits *limits;
	struct admission *admission;
	GHashTable *tickets; /* name -> struct admission_ticket */
	struct demand demand;
	struct estimate estimate;
	gint64 now_ms;
};

/*
 * A decode step takes 6 ms and 0.25 ms per request; 50 prompt tokens are
 * prefilled per ms.
 */
static struct engine_spec engine_timings = {
	.step_us = 6000,
	.step_request_us = 250,
	.prefill_tokens_per_s = 50000,
	.attention_us_per_m_pairs = 1000,
	.steps_per_pass = 5,
	.time_scale_permille = 1000,
	.mean_prompt_tokens = 1000,
	.mean_output_tokens = 100,
};

static const struct router_policy ttft_policy = {
	.name = "ttft",
	.cost = router_ttft_ms,
	.ctx = &engine_timings,
};

/*
 * opts [subset=] [prefixes=] [engine=1] [limits=1]: engine=1 ranks by expected
 * TTFT; limits=1: replicas' endpoints have their ids, and may have limits
 */
static void route_opts(struct script *s)
{
	struct routing_test *r = s->ctx;
	struct router_opts opts = {
		.policy = script_number(s, "engine", 0) ? &ttft_policy : NULL,
		.seed = 1,
		.entry = 1,
		.subset = (uint32_t)script_number(s, "subset", 0),
		.prefix_max = (uint32_t)script_number(s, "prefixes", 8),
	};
	struct request_limits_opts limits = { .node = 1, .seed = 1 };

	if (script_number(s, "limits", 0))
		r->limits = request_limits_create(&limits);
	opts.limits = r->limits;
	router_destroy(r->router);
	r->router = router_create(&opts);
}

static void route_replica(struct script *s)
{
	struct routing_test *r = s->ctx;
	uint32_t id = (uint32_t)atoi(s->words[1]);

	router_put(r->router, id, (uint64_t)script_number(s, "epoch", 1),
		   (uint32_t)script_number(s, "slots", 2), "10.0.0.1:1");
	router_set_endpoint(r->router, id, id);
	router_set_health(r->router, id,
			  script_number(s, "healthy_until", 1000000),
			  script_value(s, "fault", "whole"));
}

static void fill_request(struct script *s, struct router_request *request)
{
	const char *prefix = script_value(s, "prefix", NULL);
	const char *avoid = script_value(s, "avoid", NULL);

	memset(request, 0, sizeof(*request));
	request->prompt_tokens = (uint32_t)script_number(s, "prompt", 100);
	request->output_tokens = (uint32_t)script_number(s, "output", 10);
	request->prefix_tokens = 64;
	request->no_pending_prefill = script_number(s, "no_pending_prefill",
						    0) != 0;
	for (; prefix && *prefix; prefix++)
		request->prefix[request->prefix_count++] = (uint64_t)*prefix;
	if (avoid)
		request->avoid[request->avoid_count++] = (uint32_t)atoi(avoid);
}

/*
 * choose [prompt=] [output=] [prefix=LETTERS] [avoid=ID] [max_fill=PERMILLE]
 * [no_pending_prefill=1] [send=0]: each letter stands for a prefix block
 */
static void route_choose(struct script *s)
{
	struct routing_test *r = s->ctx;
	struct router_request request;
	struct router_choice c;

	fill_request(s, &request);
	router_choose(r->router, r->now_ms,
		      (uint32_t)script_number(s, "max_fill",
					      ROUTER_FILL_FREE_SLOT),
		      &request, &c);
	script_print(s,
		     "replica %u cached=%u candidates=%u stale=%u suspects=%u "
		     "full=%u avoided=%u stragglers=%u%s excluded=%s",
		     c.replica, c.cached_tokens, c.candidates, c.stale,
		     c.suspects, c.full, c.avoided, c.stragglers,
		     c.limited ? " limited" : "",
		     *c.excluded ? c.excluded : "-");
	if (c.replica && script_number(s, "send", 1))
		router_sent(r->router, c.replica, r->now_ms, &request);
}

static void route_done(struct script *s)
{
	struct routing_test *r = s->ctx;

	router_done(r->router, (uint32_t)atoi(s->words[1]), 1, 10);
}

/* prefill-done ID PROMPT: the first event of a response has arrived */
static void route_prefill_done(struct script *s)
{
	struct routing_test *r = s->ctx;

	router_prefill_done(r->router, (uint32_t)atoi(s->words[1]), 1,
			    (uint32_t)atoi(s->words[2]));
}

/* other-requests ID REQUESTS: requests of other entries at a replica */
static void route_other_requests(struct script *s)
{
	struct routing_test *r = s->ctx;

	router_set_other_requests(r->router, (uint32_t)atoi(s->words[1]), 1,
				  (uint32_t)atoi(s->words[2]));
}

/*
 * overdue-limit ENTRIES: overdue requests that one entry may have awaiting
 * their first event
 */
static void route_overdue_limit(struct script *s)
{
	struct routing_test *r = s->ctx;

	script_print(s, "overdue limit %u",
		     router_overdue_limit(r->router, r->now_ms,
					  (uint32_t)atoi(s->words[1])));
}

/* limit ID PER_S: an answer of the replica's endpoint names its limit */
static void route_limit(struct script *s)
{
	struct routing_test *r = s->ctx;

	request_limits_put(r->limits, r->now_ms, (uint64_t)atoi(s->words[1]),
			   atof(s->words[2]));
}

/* ttft-sample MS */
static void add_ttft_sample(struct script *s)
{
	struct routing_test *r = s->ctx;

	estimate_add(&r->estimate, atof(s->words[1]));
	script_print(s, "TTFT p90 %.1f ms", estimate_p90_ms(&r->estimate));
}

/* step-samples ID US: 30 decode steps of this duration */
static void route_step_samples(struct script *s)
{
	struct routing_test *r = s->ctx;

	for (int i = 0; i < 30; i++)
		router_add_step_sample(r->router, (uint32_t)atoi(s->words[1]),
				       r->now_ms, 1, atoll(s->words[2]));
}

/* suspect ID [stalled=1|faulty=1] */
static void route_suspect(struct script *s)
{
	struct routing_test *r = s->ctx;
	enum suspicion why = SUSPECT_UNREACHABLE;

	if (script_number(s, "stalled", 0))
		why = SUSPECT_STALLED;
	if (script_number(s, "faulty", 0))
		why = SUSPECT_FAULTY;
	router_suspect(r->router, (uint32_t)atoi(s->words[1]), r->now_ms, why);
}

/* activity ID: something of a response has come from it */
static void route_activity(struct script *s)
{
	struct routing_test *r = s->ctx;

	router_response_activity(r->router, (uint32_t)atoi(s->words[1]),
				 r->now_ms);
}

/* heard ID: its head VM has reported */
static void route_heard(struct script *s)
{
	struct routing_test *r = s->ctx;

	router_heard(r->router, (uint32_t)atoi(s->words[1]));
}

/* load ID REQUESTS [step_us=]: a load report of a replica */
static void route_load(struct script *s)
{
	struct routing_test *r = s->ctx;

	router_set_load(r->router, (uint32_t)atoi(s->words[1]),
			(uint32_t)atoi(s->words[2]),
			(uint32_t)script_number(s, "step_us", 0));
}

static void print_step(void *ctx, const struct router_replica *r)
{
	script_print(ctx, "replica %u: step %.0f us, %s", r->id, r->step_us,
		     r->step_measured_ms ? "measured" : "not measured");
}

static void route_steps(struct script *s)
{
	struct routing_test *r = s->ctx;

	router_each(r->router, print_step, s);
}

static void route_cache_reset(struct script *s)
{
	struct routing_test *r = s->ctx;

	router_cache_reset(r->router, (uint32_t)atoi(s->words[1]));
}

static void route_at(struct script *s)
{
	((struct routing_test *)s->ctx)->now_ms = atoll(s->words[1]);
}

/* arrival TOKENS: a request with a prompt of this size has arrived */
static void demand_arrival(struct script *s)
{
	struct routing_test *r = s->ctx;

	demand_add(&r->demand, r->now_ms, (uint32_t)atoi(s->words[1]));
}

static void demand_print(struct script *s)
{
	struct routing_test *r = s->ctx;
	uint32_t per_ks, prompt;

	demand_rate(&r->demand, r->now_ms, &per_ks, &prompt);
	script_print(s, "demand: %u requests in 1000 s, mean prompt %u tokens",
		     per_ks, prompt);
}

/*
 * engine REQUESTS_PER_S PROMPT ANSWER [pace=PERMILLE]: expected TTFT and
 * utilization of a replica under this load
 */
static void engine_estimate(struct script *s)
{
	struct engine_spec engine = engine_timings;
	const struct engine_load load = {
		.requests_per_ms = atof(s->words[1]) / 1000,
		.prompt_tokens = atof(s->words[2]),
		.answer_tokens = atof(s->words[3]),
	};

	engine.time_scale_permille = (uint32_t)script_number(s, "pace", 1000);
	script_print(s, "TTFT %.1f ms, utilization %.3f",
		     engine_ttft_ms(&engine, &load, 20),
		     engine_utilization(&engine, &load, 20));
}

static void admit_account(struct script *s)
{
	struct routing_test *r = s->ctx;

	admission_put_account(r->admission, s->words[1],
			      (uint32_t)script_number(s, "weight", 1),
			      (uint32_t)script_number(s, "priority", 5),
			      (uint32_t)script_number(s, "limit", 0));
}

/* enqueue TICKET ACCOUNT [cost=] [deadline=] [objective=] [least_wait=] */
static void admit_enqueue(struct script *s)
{
	struct routing_test *r = s->ctx;
	struct admission_ticket *t = g_new0(struct admission_ticket, 1);
	char *name = g_strdup(s->words[1]);
	int64_t retry_ms = 0;
	enum rd_result code;

	t->ctx = name;
	t->objective_deadline_ms = script_number(s, "objective", 0);
	t->least_wait_ms = script_number(s, "least_wait", 0);
	g_hash_table_insert(r->tickets, name, t);
	code = admission_enqueue(r->admission, r->now_ms, t, s->words[2],
				 (double)script_number(s, "cost", 10),
				 script_number(s, "deadline", 1000000),
				 &retry_ms);
	if (code)
		script_print(s, "%s: refused %s, retry after %d ms", name,
			     rd_result_info(code)->name, (int)retry_ms);
}

/* ahead ACCOUNT: queued requests that go before its next one */
static void admit_ahead(struct script *s)
{
	struct routing_test *r = s->ctx;

	script_print(s, "%s: %u ahead", s->words[1],
		     admission_ahead(r->admission, s->words[1]));
}

/* dequeue [COUNT] */
static void admit_dequeue(struct script *s)
{
	struct routing_test *r = s->ctx;
	int count = s->word_count > 1 ? atoi(s->words[1]) : 1;

	while (count--) {
		struct admission_ticket *t = admission_peek(r->admission,
							    r->now_ms);

		script_print(s, "dequeued: %s", t ? (char *)t->ctx : "none");
		if (t)
			admission_dequeue(r->admission, t);
	}
}

static void admit_finish(struct script *s)
{
	struct routing_test *r = s->ctx;
	struct admission_ticket *t = g_hash_table_lookup(r->tickets,
							 s->words[1]);

	admission_finish(r->admission, r->now_ms, t,
			 (double)script_number(s, "cost", (gint64)t->cost));
}

static void admit_expired(struct script *s)
{
	struct routing_test *r = s->ctx;
	struct admission_ticket *t;

	while ((t = admission_pop_expired(r->admission, r->now_ms)))
		script_print(s, "expired: %s", (char *)t->ctx);
}

static const struct script_command route_commands[] = {
	{ "opts", 0, route_opts },
	{ "replica", 1, route_replica },
	{ "choose", 0, route_choose },
	{ "done", 1, route_done },
	{ "prefill-done", 2, route_prefill_done },
	{ "other-requests", 2, route_other_requests },
	{ "overdue-limit", 1, route_overdue_limit },
	{ "ttft-sample", 1, add_ttft_sample },
	{ "step-samples", 2, route_step_samples },
	{ "suspect", 1, route_suspect },
	{ "heard", 1, route_heard },
	{ "activity", 1, route_activity },
	{ "load", 2, route_load },
	{ "steps", 0, route_steps },
	{ "cache-reset", 1, route_cache_reset },
	{ "limit", 2, route_limit },
	{ "at", 1, route_at },
	{ "arrival", 1, demand_arrival },
	{ "demand", 0, demand_print },
	{ "engine", 3, engine_estimate },
	{ "account", 1, admit_account },
	{ "enqueue", 2, admit_enqueue },
	{ "ahead", 1, admit_ahead },
	{ "dequeue", 0, admit_dequeue },
	{ "finish", 1, admit_finish },
	{ "expired", 0, admit_expired },
	{ 0 }
};

/* ---- settings ---- */

static void settings_daemon(struct script *s)
{
	struct daemon_settings settings;
	char *errors = NULL;

	(void)daemon_settings_load(s->words[1], &settings, &errors);
	script_print(s, "%s", errors ? errors : "ok");
	g_free(errors);
	daemon_settings_clear(&settings);
}

/* stop FILE: how long the parts of a planned stop may take */
static void settings_stop(struct script *s)
{
	struct daemon_settings settings;
	char *errors = NULL;

	if (daemon_settings_load(s->words[1], &settings, &errors))
		script_print(s, "%s", errors);
	else
		script_print(s,
			     "linger %" PRId64 " ms, drain %" PRId64
			     " ms, stop %" PRId64 " ms",
			     daemon_settings_linger_ms(&settings),
			     daemon_settings_drain_ms(&settings),
			     daemon_settings_stop_ms(&settings));
	g_free(errors);
	daemon_settings_clear(&settings);
}

static void settings_service(struct script *s)
{
	struct apply_service change = { 0 };
	char *errors = NULL, *text = NULL;

	if (!g_file_get_contents(s->words[1], &text, NULL, NULL))
		script_fail(s, "%s cannot be read", s->words[1]);
	(void)service_settings_read(s->words[1], text, &change, &errors);
	script_print(s, "%s", errors ? errors : "ok");
	CODEC_FREE(apply_service, &change);
	g_free(errors);
	g_free(text);
}

static const struct script_command settings_commands[] = {
	{ "daemon", 1, settings_daemon },
	{ "stop", 1, settings_stop },
	{ "service", 1, settings_service },
	{ 0 }
};

static void run_placement(const char *path,
			  const struct script_command *commands)
{
	struct placement_test p = { 0 };

	script_check(path, commands, &p);
	placement_destroy(p.placement);
}

static void run_routing(const char *path, const struct script_command *commands)
{
	struct routing_test r = { 0 };

	r.admission = admission_create();
	r.tickets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  g_free);
	script_check(path, commands, &r);
	router_destroy(r.router);
	request_limits_destroy(r.limits);
	admission_destroy(r.admission);
	g_hash_table_unref(r.tickets);
}

static void run_plain(const char *path, const struct script_command *commands)
{
	script_check(path, commands, NULL);
}

static void test_placement(void **state)
{
	(void)state;
	script_check_folder("test/cases/placement", place_commands,
			    run_placement);
}

static void test_routing(void **state)
{
	(void)state;
	script_check_folder("test/cases/routing", route_commands, run_routing);
}

static void test_settings(void **state)
{
	(void)state;
	script_check_folder("test/cases/settings", settings_commands,
			    run_plain);
}

/* ---- storage on damaged files and failing disks ---- */

static enum rd_result open_storage(struct memory_fs *fs, const char *cluster,
				   uint32_t node, struct storage **storage,
				   struct storage_recovered *recovered)
{
	struct storage_opts opts = {
		.fs = memory_fs_driver(fs),
		.cluster = cluster,
		.node = node,
		.new_member = 7,
		.segment_bytes = 4096,
	};
	char *why = NULL;
	enum rd_result code = storage_open(&opts, storage, recovered, &why);

	g_free(why);
	return code;
}

static void put_entry(struct storage *storage, uint64_t index)
{
	struct raft_entry entry = { .index = index,
				    .term = 1,
				    .kind = RAFT_ENTRY_COMMAND };

	entry.data = g_bytes_new("payload", 7);
	storage_put_entry(storage, &entry);
	g_bytes_unref(entry.data);
}

static struct memory_fs *folder_with_entries(int count)
{
	struct memory_fs *fs = memory_fs_create(1);
	struct storage *storage;
	struct storage_recovered r;

	assert_int_equal(open_storage(fs, "c", 1, &storage, &r), RD_OK);
	storage_recovered_clear(&r);
	for (int i = 1; i <= count; i++)
		put_entry(storage, (uint64_t)i);
	assert_int_equal(storage_sync(storage), RD_OK);
	storage_close(storage);
	return fs;
}

static GByteArray *last_log(struct memory_fs *fs)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	GByteArray *data;

	memory_fs_list(fs, "log-", names);
	data = memory_fs_file(fs, names->pdata[names->len - 1]);
	g_ptr_array_unref(names);
	return data;
}

static void expect_open(struct memory_fs *fs, const char *cluster,
			uint32_t node, enum rd_result wanted, guint entries)
{
	struct storage *storage = NULL;
	struct storage_recovered r;

	assert_int_equal(open_storage(fs, cluster, node, &storage, &r), wanted);
	if (wanted)
		return;
	assert_int_equal(r.entries->len, entries);
	storage_recovered_clear(&r);
	storage_close(storage);
}

static void test_storage_torn_tail(void **state)
{
	struct memory_fs *fs = folder_with_entries(10);

	(void)state;
	g_byte_array_set_size(last_log(fs), last_log(fs)->len - 3);
	expect_open(fs, "c", 1, RD_OK, 9);
	memory_fs_destroy(fs);
}

static void test_storage_damage(void **state)
{
	struct memory_fs *fs = folder_with_entries(10);

	(void)state;
	last_log(fs)->data[last_log(fs)->len / 2] ^= 1;
	expect_open(fs, "c", 1, RD_DAMAGED, 0);
	memory_fs_destroy(fs);
}

static void test_storage_foreign(void **state)
{
	struct memory_fs *fs = folder_with_entries(3);

	(void)state;
	expect_open(fs, "other", 1, RD_FOREIGN_FOLDER, 0);
	expect_open(fs, "c", 2, RD_FOREIGN_FOLDER, 0);
	expect_open(fs, "c", 1, RD_OK, 3);
	memory_fs_destroy(fs);
}

/* After a failed sync, later ones fail as well, even if the disk recovers. */
static void test_storage_failures(void **state)
{
	static const struct {
		int error;
		enum rd_result code;
	} cases[] = { { EIO, RD_IO }, { ENOSPC, RD_DISK_FULL } };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct memory_fs *fs = folder_with_entries(3);
		struct storage *storage;
		struct storage_recovered r;

		assert_int_equal(open_storage(fs, "c", 1, &storage, &r), RD_OK);
		storage_recovered_clear(&r);
		put_entry(storage, 4);
		memory_fs_fail_after(fs, 2, cases[i].error);
		assert_int_equal(storage_sync(storage), cases[i].code);
		memory_fs_fail_after(fs, 0, 0);
		assert_int_equal(storage_sync(storage), cases[i].code);
		storage_close(storage);
		memory_fs_destroy(fs);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_placement),
		cmocka_unit_test(test_routing),
		cmocka_unit_test(test_settings),
		cmocka_unit_test(test_storage_torn_tail),
		cmocka_unit_test(test_storage_damage),
		cmocka_unit_test(test_storage_foreign),
		cmocka_unit_test(test_storage_failures),
	};

	return cmocka_run_group_tests_name("cores", tests, NULL, NULL);
}
