#include <inttypes.h>
#include <string.h>

#include "common/log.h"
#include "entry/take.h"

#define NO_ACCOUNT ""
/* How long a request without a stated patience is kept, at most. */
#define PATIENCE_MAX_MS 600000
/* What a request spends between its caller and here, both ways. */
#define CALLER_MS 15

static const struct log take_log = { "take" };

struct taking {
	struct entry *entry;
	const struct caller_request *request;
	const struct route_spec *route;
	const struct client_account *account; /* NULL where none is needed */
	struct entry_service *service;
};

static void refuse(const struct taking *t, enum rd_result code)
{
	const struct caller_request *request = t->request;
	const struct deployment *d = state_deployment(t->entry->config);
	struct problem problem = {
		.code = code,
		.outcome = OUTCOME_NOT_RUN,
		.request_id = request->id,
		.close = t->entry->draining,
	};

	if (rd_result_info(code)->http_status == 503)
		problem.retry_after_ms = RETRY_AFTER_MS;
	counters_add(t->entry->opts.counters, COUNTER_NOT_RUN, 1);
	log_note(&take_log,
		 "request %s: refused code=%s outcome=not-run revision=%" PRIu64
		 " host=%s target=%s",
		 request->id, rd_result_info(code)->name, d ? d->revision : 0,
		 request->host, request->target);
	request->format->refuse(request->req, &problem);
	request->format->free_data(request->data);
}

static enum rd_result find_account(struct taking *t)
{
	const struct deployment *d = state_deployment(t->entry->config);
	const char *key = t->request->key;

	if (!d->accounts.accounts_len || t->route->without_key)
		return RD_OK;
	if (!key || !*key)
		return RD_NO_KEY;
	t->account = routes_account(t->entry->routes, key);
	return t->account ? RD_OK : RD_WRONG_KEY;
}

static const char *draw_pool(const struct taking *t)
{
	const struct route_spec *route = t->route;
	uint64_t sum = 0, drawn;

	for (u_int i = 0; i < route->split.split_len; i++)
		sum += route->split.split_val[i].weight;
	drawn = (uint64_t)(g_rand_double(t->entry->random) * (double)sum);
	for (u_int i = 0; i < route->split.split_len; i++) {
		const struct split_part *part = &route->split.split_val[i];

		if (drawn < part->weight)
			return part->pool;
		drawn -= part->weight;
	}
	return route->split.split_val[0].pool;
}

struct model_search {
	const char *pool, *model;
	const struct service_spec *found;
};

static void search_model(void *ctx, const struct service_state *service)
{
	struct model_search *search = ctx;
	const struct service_spec *spec = &service->spec;

	if (strcmp(spec->plain ? spec->name : spec->pool, search->pool) != 0)
		return;
	if (spec->plain || !search->model ||
	    !strcmp(spec->model, search->model))
		search->found = spec;
}

static enum rd_result find_service(struct taking *t)
{
	struct model_search search = { draw_pool(t), t->request->model, NULL };

	state_each_service(t->entry->config, search_model, &search);
	if (search.found)
		t->service = services_find(t->entry, search.found->name);
	return t->service ? RD_OK : RD_NO_REPLICA;
}

static enum rd_result admit(struct taking *t)
{
	struct entry *entry = t->entry;
	enum rd_result code;

	if (!entry->routes)
		return RD_CUT_OFF;
	t->route = routes_find(entry->routes, t->request->host,
			       t->request->target);
	if (!t->route)
		return RD_NO_ROUTE;
	code = find_account(t);
	if (code)
		return code;
	if (entry->refusing)
		return RD_DRAINING;
	return find_service(t);
}

/* Until when it must be sent so that its first event comes in time. */
static int64_t objective_deadline_ms(const struct taking *t, int64_t now)
{
	int64_t target = t->route->target_ms;
	double first = estimate_p90_ms(&t->service->first);

	if (!target)
		return 0;
	first = CLAMP(first, (double)target / 4, (double)target * 3 / 4);
	return now + target - (int64_t)first - CALLER_MS;
}

static void start(const struct taking *t)
{
	const struct caller_request *request = t->request;
	const struct route_spec *route = t->route;
	struct entry *entry = t->entry;
	int64_t patience = request->patience_ms ? request->patience_ms
						: PATIENCE_MAX_MS;
	int64_t now = request->arrived_ms ? request->arrived_ms
					  : entry_now_ms(entry);
	int64_t until = now + MIN(patience, (int64_t)route->timeout_ms);
	bool stream = route->kind == ROUTE_STREAM;
	struct call_opts opts = {
		.service = t->service,
		.req = request->req,
		.format = request->format,
		.data = request->data,
		.stream = stream,
		.id = request->id,
		.account = t->account ? t->account->name : NO_ACCOUNT,
		.priority = t->account && t->account->has_priority
				    ? t->account->priority
				    : route->priority,
		.deadline_ms = until,
		.whole_by_ms = until,
		.objective_deadline_ms = objective_deadline_ms(t, now),
		.path = request->target,
		.body = http_body(request->req),
		.once_only = route->kind == ROUTE_ONCE ||
			     (stream && !route->resumable),
		.attempts_max = route->attempts_max,
		.route = request->route,
	};

	admission_put_account(t->service->admission, opts.account, 1,
			      opts.priority, 0);
	call_start(entry, &opts);
}

const char *entry_account_name(const struct call *call)
{
	return *call->account ? call->account : NULL;
}

void entry_take_again(struct entry *entry, const struct caller_request *request)
{
	struct taking t = { .entry = entry, .request = request };
	enum rd_result code = admit(&t);

	if (code)
		refuse(&t, code);
	else
		start(&t);
}

void entry_take(struct entry *entry, const struct caller_request *request)
{
	counters_add(entry->opts.counters, COUNTER_REQUESTS, 1);
	if (!entry->routes && early_hold(entry, request))
		return;
	entry_take_again(entry, request);
}
