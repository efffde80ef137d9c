#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include <event2/keyvalq_struct.h>
#include <xxhash.h>

#include "common/log.h"
#include "entry/attempt.h"
#include "entry/limits.h"

/* A new leader's list lacks the entries that haven't polled it yet. */
#define ENTRY_HOLD_LEASES 2
#define US_PER_MS 1000
#define MS_PER_S 1000.0

static const struct log limits_log = { "limits" };

struct limits {
	struct entry *entry;
	struct request_limits *table;
};

struct limits *limits_create(struct entry *entry)
{
	struct limits *limits = g_new0(struct limits, 1);
	const struct daemon_settings *settings = entry->opts.settings;
	struct request_limits_opts opts = {
		.node = (uint32_t)settings->node.id,
		.seed = g_rand_int(entry->random),
		.entry_hold_ms = (int32_t)(ENTRY_HOLD_LEASES *
					   settings->limits.config_lease_ms),
	};

	limits->entry = entry;
	limits->table = request_limits_create(&opts);
	return limits;
}

void limits_destroy(struct limits *limits)
{
	if (!limits)
		return;
	request_limits_destroy(limits->table);
	g_free(limits);
}

struct request_limits *limits_table(struct limits *limits)
{
	return limits->table;
}

uint64_t limits_endpoint(const char *vm)
{
	return MAX(1, XXH3_64bits(vm, strlen(vm)));
}

/* ---- answers ---- */

enum finding {
	LIMIT_ABSENT,
	LIMIT_NAMED,
	LIMIT_INVALID,
};

/* Of several, the lowest counts. */
static enum finding find_limit(const struct call *call,
			       const struct evkeyvalq *headers, double *per_s)
{
	const char *name = call->format->limit_header;
	enum finding finding = LIMIT_ABSENT;
	struct evkeyval *header;

	TAILQ_FOREACH(header, headers, next)
	{
		double value;

		if (!name || g_ascii_strcasecmp(header->key, name) != 0)
			continue;
		if (!request_limit_parse(header->value, &value)) {
			log_note(&limits_log,
				 "request %s: limit not understood replica=%u "
				 "at=%s value=\"%.32s\"",
				 call->id, call->attempt->replica,
				 call->attempt->address, header->value);
			return LIMIT_INVALID;
		}
		*per_s = finding == LIMIT_NAMED ? MIN(*per_s, value) : value;
		finding = LIMIT_NAMED;
	}
	return finding;
}

static void put(struct limits *limits, const struct call *call, double per_s)
{
	int64_t now = entry_now_ms(limits->entry);
	struct request_limit before = { 0 }, after = { 0 };
	bool known = request_limits_get(limits->table, now,
					call->attempt->endpoint, &before);

	request_limits_put(limits->table, now, call->attempt->endpoint, per_s);
	(void)request_limits_get(limits->table, now, call->attempt->endpoint,
				 &after);
	if (known && before.per_s == after.per_s)
		return;
	log_note(&limits_log,
		 "request %s: limit named replica=%u at=%s service=%s "
		 "per_s=%.3f was=%.3f share_per_s=%.3f",
		 call->id, call->attempt->replica, call->attempt->address,
		 call->service->name, per_s, known ? before.per_s : -1,
		 after.share_per_s);
}

/*
 * Reads how long the endpoint wants no request of this entry; 0 for not at
 * all. Of several values the longest counts.
 */
static int64_t find_rest_ms(const struct call *call,
			    const struct evkeyvalq *headers)
{
	struct evkeyval *header;
	int64_t longest_ms = 0;

	TAILQ_FOREACH(header, headers, next)
	{
		int64_t rest_ms;

		if (g_ascii_strcasecmp(header->key, "Retry-After") != 0)
			continue;
		if (request_limit_parse_rest(header->value, &rest_ms))
			longest_ms = MAX(longest_ms, rest_ms);
		else
			log_note(&limits_log,
				 "request %s: rest not understood replica=%u "
				 "at=%s value=\"%.32s\"",
				 call->id, call->attempt->replica,
				 call->attempt->address, header->value);
	}
	return longest_ms;
}

/* Whatever else is wrong with such an answer, the endpoint has too much. */
static void read_rest(const struct call *call, const struct evkeyvalq *headers)
{
	const struct entry *entry = call->entry;
	int64_t now = entry_now_ms(entry);
	int64_t rest_ms;

	if (call->attempt->response.status != HTTP_SERVUNAVAIL &&
	    call->attempt->response.status != HTTP_TOO_MANY_REQUESTS)
		return;
	rest_ms = find_rest_ms(call, headers);
	if (!rest_ms)
		return;
	request_limits_rest(entry->limits->table, now, call->attempt->endpoint,
			    rest_ms);
	log_note(&limits_log,
		 "request %s: rest asked for replica=%u at=%s service=%s "
		 "status=%d rest_ms=%" PRId64 " left_ms=%" PRId64,
		 call->id, call->attempt->replica, call->attempt->address,
		 call->service->name, call->attempt->response.status, rest_ms,
		 request_limits_rest_ms(entry->limits->table, now,
					call->attempt->endpoint));
	counters_add(entry->opts.counters, COUNTER_RESTS, 1);
}

void limits_read(struct call *call, const struct evkeyvalq *headers)
{
	struct limits *limits = call->entry->limits;
	enum finding finding;
	double per_s = 0;

	if (call->attempt->endpoint)
		read_rest(call, headers);
	/* It may be another endpoint's, which took the address over. */
	if (call->attempt->response.class == RESPONSE_MISMATCHED ||
	    call->attempt->response.status == HTTP_MISDIRECTED ||
	    !call->attempt->endpoint)
		return;
	finding = find_limit(call, headers, &per_s);
	if (finding == LIMIT_NAMED)
		put(limits, call, per_s);
	else if (finding == LIMIT_ABSENT &&
		 request_limits_lift(limits->table, call->attempt->endpoint,
				     call->attempt->sent_us / US_PER_MS))
		log_note(&limits_log,
			 "request %s: limit lifted replica=%u at=%s service=%s",
			 call->id, call->attempt->replica,
			 call->attempt->address, call->service->name);
	counters_set(limits->entry->opts.counters, COUNTER_LIMITED_ENDPOINTS,
		     request_limits_count(limits->table));
}

/* ---- entries ---- */

void limits_update_entries(struct limits *limits)
{
	GArray *nodes = entry_list_nodes(limits->entry);

	request_limits_set_entries(limits->table, entry_now_ms(limits->entry),
				   (uint32_t *)nodes->data, nodes->len);
	g_array_unref(nodes);
}

/* ---- waiting ---- */

struct wait {
	const struct request_limits *table;
	int64_t now_ms;
	uint32_t usable, unlimited;
	double allowed, share_per_s;
	int64_t first_ms; /* until any endpoint may get one */
	int64_t rest_ms;  /* until the first rest ends */
};

static void add_replica(void *ctx, const struct router_replica *r)
{
	struct wait *wait = ctx;
	struct request_limit limit;
	int64_t rest_ms;

	if (wait->now_ms >= r->fresh_until_ms ||
	    wait->now_ms < r->suspect_until_ms)
		return;
	wait->usable++;
	rest_ms = request_limits_rest_ms(wait->table, wait->now_ms,
					 r->endpoint);
	if (rest_ms) {
		wait->rest_ms = MIN(wait->rest_ms, rest_ms);
		return;
	}
	if (!request_limits_get(wait->table, wait->now_ms, r->endpoint,
				&limit)) {
		wait->unlimited++;
		return;
	}
	wait->allowed += limit.allowed;
	wait->share_per_s += limit.share_per_s;
	wait->first_ms = MIN(wait->first_ms, limit.wait_ms);
}

int64_t limits_wait_ms(const struct entry_service *service, uint32_t requests)
{
	const struct entry *entry = service->entry;
	struct wait wait = { .table = entry->limits->table,
			     .now_ms = entry_now_ms(entry),
			     .first_ms = INT64_MAX,
			     .rest_ms = INT64_MAX };
	double missing;
	int64_t limited_ms;

	if (!request_limits_count(wait.table) &&
	    !request_limits_rests(wait.table))
		return 0;
	router_each(service->router, add_replica, &wait);
	if (!wait.usable || wait.unlimited)
		return 0;
	if (!wait.share_per_s)
		return wait.rest_ms;
	missing = MAX(0, requests - wait.allowed);
	limited_ms = MAX(wait.first_ms,
			 (int64_t)ceil(missing / wait.share_per_s * MS_PER_S));
	return MIN(limited_ms, wait.rest_ms);
}
