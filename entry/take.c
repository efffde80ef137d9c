#include <inttypes.h>
#include <string.h>

#include "common/log.h"
#include "entry/shutdown.h"
#include "entry/take.h"

#define NO_ACCOUNT ""
/* Limit on the time of a request without a timeout stated by its caller. */
#define TIMEOUT_MAX_MS 600000
/* Allowance for the network between caller and entry, both ways. */
#define CALLER_RTT_MS 15

static const struct log take_log = { "take" };

struct routed_request {
	struct entry *entry;
	const struct caller_request *request;
	const struct route_spec *route;
	const struct client_account *account; /* NULL if not needed */
	struct entry_service *service;
};

static void send_error(const struct routed_request *r, enum rd_result code)
{
	const struct caller_request *request = r->request;
	const struct deployment *d = state_deployment(r->entry->config);
	struct problem problem = {
		.code = code,
		.outcome = OUTCOME_NOT_RUN,
		.request_id = request->id,
		.close = r->entry->draining,
	};

	if (rd_result_info(code)->http_status == 503)
		problem.retry_after_ms = RETRY_AFTER_MS;
	counters_add(r->entry->opts.counters, COUNTER_NOT_RUN, 1);
	log_note(&take_log,
		 "request %s: refused code=%s outcome=not-run revision=%" PRIu64
		 " host=%s target=%s",
		 request->id, rd_result_info(code)->name, d ? d->revision : 0,
		 request->host, request->target);
	request->format->send_error(request->req, &problem);
	request->format->free_data(request->data);
}

static enum rd_result find_account(struct routed_request *r)
{
	const struct deployment *d = state_deployment(r->entry->config);
	const char *key = r->request->key;

	if (!deployment_asks_for_keys(d) || r->route->auth_exempt)
		return RD_OK;
	if (!key || !*key)
		return RD_NO_KEY;
	r->account = routes_account(r->entry->routes, key);
	return r->account ? RD_OK : RD_WRONG_KEY;
}

static const char *pick_pool(const struct routed_request *r)
{
	const struct route_spec *route = r->route;
	uint64_t sum = 0, remainder;

	for (u_int i = 0; i < route->split.split_len; i++)
		sum += route->split.split_val[i].weight;
	remainder = (uint64_t)(g_rand_double(r->entry->random) * (double)sum);
	for (u_int i = 0; i < route->split.split_len; i++) {
		const struct split_target *part = &route->split.split_val[i];

		if (remainder < part->weight)
			return part->pool;
		remainder -= part->weight;
	}
	return route->split.split_val[0].pool;
}

struct model_search {
	const char *pool, *model;
	const struct service_spec *found;
};

static void match_model(void *ctx, const struct service_state *service)
{
	struct model_search *search = ctx;
	const struct service_spec *spec = &service->spec;

	if (strcmp(spec->is_plain ? spec->name : spec->pool, search->pool) != 0)
		return;
	if (spec->is_plain || !search->model ||
	    !strcmp(spec->model, search->model))
		search->found = spec;
}

static enum rd_result find_service(struct routed_request *r)
{
	struct model_search search = { pick_pool(r), r->request->model, NULL };

	state_each_service(r->entry->config, match_model, &search);
	if (search.found)
		r->service = services_find(r->entry, search.found->name);
	return r->service ? RD_OK : RD_NO_REPLICA;
}

static int64_t arrival_ms(const struct routed_request *r)
{
	return r->request->arrived_ms ? r->request->arrived_ms
				      : entry_now_ms(r->entry);
}

static int64_t deadline_ms(const struct routed_request *r)
{
	int64_t timeout_ms = r->request->caller_timeout_ms
				     ? r->request->caller_timeout_ms
				     : TIMEOUT_MAX_MS;

	return arrival_ms(r) + MIN(timeout_ms, (int64_t)r->route->timeout_ms);
}

/* Whether the request's call can end before the entry does. */
static bool has_time(const struct routed_request *r)
{
	struct shutdown_question question = {
		.id = r->request->id,
		.prospect = { .service = r->service,
			      .route = &r->request->route,
			      .since = SINCE_ARRIVAL },
		.new_stream = r->route->kind == ROUTE_STREAM,
		.ends_by_ms = deadline_ms(r),
	};
	struct call_class *call_class = call_class_ref(
		r->service, r->route->name, r->request->route.output_tokens);
	bool has_time;

	question.prospect.call_class = call_class;
	has_time = shutdown_leaves_time(&question);
	call_class_unref(call_class);
	return has_time;
}

static enum rd_result route_request(struct routed_request *r)
{
	struct entry *entry = r->entry;
	enum rd_result code;

	if (!entry->routes)
		return RD_CUT_OFF;
	r->route = routes_find(entry->routes, r->request->host,
			       r->request->target);
	if (!r->route)
		return RD_NO_ROUTE;
	code = find_account(r);
	if (code)
		return code;
	if (shutdown_rejects(entry))
		return RD_DRAINING;
	code = find_service(r);
	if (!code)
		code = relay_check_hop(r->service, &r->request->hop);
	if (!code && !has_time(r))
		return RD_DRAINING;
	return code;
}

/*
 * Latest time of dispatch at which the first event is expected to meet the
 * route's objective; 0 without an objective.
 */
static int64_t objective_deadline_ms(const struct routed_request *r,
				     int64_t now)
{
	int64_t target = r->route->target_latency_ms;
	double first_byte_ms = estimate_p90_ms(&r->service->first_byte);

	if (!target)
		return 0;
	first_byte_ms = CLAMP(first_byte_ms, (double)target / 4,
			      (double)target * 3 / 4);
	return now + target - (int64_t)first_byte_ms - CALLER_RTT_MS;
}

static void start_call(const struct routed_request *r)
{
	const struct caller_request *request = r->request;
	const struct route_spec *route = r->route;
	struct entry *entry = r->entry;
	int64_t ends_by_ms = deadline_ms(r);
	bool stream = route->kind == ROUTE_STREAM;
	struct call_opts opts = {
		.service = r->service,
		.route_name = route->name,
		.req = request->req,
		.format = request->format,
		.data = request->data,
		.stream = stream,
		.id = request->id,
		.account = r->account ? r->account->name : NO_ACCOUNT,
		.priority = r->account && r->account->has_priority
				    ? r->account->priority
				    : route->priority,
		.deadline_ms = ends_by_ms,
		.completion_deadline_ms = ends_by_ms,
		.objective_deadline_ms = objective_deadline_ms(r,
							       arrival_ms(r)),
		.host = request->host,
		.path = request->target,
		.body = http_body(request->req),
		.once_only = route->kind == ROUTE_ONCE ||
			     (stream && !route->resumable),
		.relayed = request->hop.attempts,
		.attempts_max = request->hop.attempts
					? MIN(request->hop.attempts,
					      route->attempts_max)
					: route->attempts_max,
		.route = request->route,
		.parts = request->parts,
	};

	admission_put_account(r->service->admission, opts.account, 1,
			      opts.priority, 0);
	call_start(entry, &opts);
}

const char *call_account_name(const struct call *call)
{
	return *call->account ? call->account : NULL;
}

void entry_handle_held_request(struct entry *entry,
			       const struct caller_request *request)
{
	struct routed_request r = { .entry = entry, .request = request };
	enum rd_result code = route_request(&r);

	if (code)
		send_error(&r, code);
	else
		start_call(&r);
}

void entry_handle_request(struct entry *entry,
			  const struct caller_request *request)
{
	counters_add(entry->opts.counters, COUNTER_REQUESTS, 1);
	if (!entry->routes && !request->hop.attempts &&
	    early_hold_request(entry, request))
		return;
	entry_handle_held_request(entry, request);
}
