#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/log.h"
#include "entry/attempt.h"
#include "entry/reach.h"
#include "entry/relay.h"

/* An entry that took no connection isn't chosen for so long. */
#define PEER_AVOID_MS 2000
/* At the other entry: what it sends counts as the one attempt made here. */
#define ATTEMPTS_EACH 1u
#define HOP_FORMAT "attempts=%" PRIu32 " revision=%" PRIu64
#define HOP_BYTES 64
#define HTTP_BAD_REQUEST_CLASS 4
#define STATUS_CLASS 100
#define MS_PER_S 1000.0

static const struct log relay_log = { "relay" };

struct relay {
	struct entry *entry;
	GHashTable *avoid; /* node -> int64_t, time until which */
};

struct relay *relay_create(struct entry *entry)
{
	struct relay *relay = g_new0(struct relay, 1);

	relay->entry = entry;
	relay->avoid = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return relay;
}

void relay_destroy(struct relay *relay)
{
	if (!relay)
		return;
	g_hash_table_unref(relay->avoid);
	g_free(relay);
}

/* ---- choice ---- */

static bool is_avoided(const struct relay *relay, uint32_t node)
{
	const int64_t *until_ms = g_hash_table_lookup(relay->avoid,
						      GUINT_TO_POINTER(node));

	return until_ms && entry_now_ms(relay->entry) < *until_ms;
}

static bool was_tried(const struct call *call, uint32_t node)
{
	for (uint32_t i = 0; i < call->peers_tried_count; i++)
		if (call->peers_tried[i] == node)
			return true;
	return false;
}

static bool is_candidate(const struct call *call, const struct entry_info *e)
{
	const struct entry *entry = call->entry;

	return e->node != (uint32_t)entry->opts.settings->node.id &&
	       control_entry_takes_callers(e) && !was_tried(call, e->node) &&
	       !is_avoided(entry->relay, e->node);
}

static uint32_t sum_capacity(const struct call *call)
{
	const struct entry *entry = call->entry;
	uint32_t sum = 0;

	if (call->peers_tried_count == G_N_ELEMENTS(call->peers_tried))
		return 0;
	for (uint32_t i = 0; i < entry->known_entry_count; i++)
		if (is_candidate(call, &entry->known_entries[i]))
			sum += entry->known_entries[i].free_permille;
	return sum;
}

/* At random, by free capacity, as callers choose. */
static const struct entry_info *choose(const struct call *call)
{
	const struct entry *entry = call->entry;
	uint32_t sum = sum_capacity(call);
	uint32_t left = sum ? (uint32_t)g_rand_int_range(entry->random, 0,
							 (gint32)sum)
			    : 0;

	for (uint32_t i = 0; sum && i < entry->known_entry_count; i++) {
		const struct entry_info *e = &entry->known_entries[i];

		if (!is_candidate(call, e))
			continue;
		if (left < e->free_permille)
			return e;
		left -= e->free_permille;
	}
	return NULL;
}

/* One hop only; a booking's claim is bound to the entry that made it. */
static bool is_eligible(const struct call *call)
{
	return call->format->relay_headers && !call->relayed &&
	       !call->booking_key;
}

bool relay_wanted(const struct call *call)
{
	return is_eligible(call) &&
	       (!reach_allows(call) || call->unreached >= UNREACHED_MAX);
}

bool relay_possible(const struct call *call)
{
	return is_eligible(call) && sum_capacity(call);
}

bool relay_choose(struct call *call)
{
	const struct entry_info *e = is_eligible(call) ? choose(call) : NULL;

	if (!e)
		return false;
	call->peers_tried[call->peers_tried_count++] = e->node;
	call->attempt->peer = e->node;
	g_strlcpy(call->attempt->address, e->callers_address,
		  sizeof(call->attempt->address));
	return true;
}

void relay_peer_failed(const struct call *call)
{
	int64_t until_ms = entry_now_ms(call->entry) + PEER_AVOID_MS;

	log_note(&relay_log,
		 "request %s: entry takes no connection entry=%u at=%s "
		 "avoided_ms=%d",
		 call->id, call->attempt->peer, call->attempt->address,
		 PEER_AVOID_MS);
	g_hash_table_insert(call->entry->relay->avoid,
			    GUINT_TO_POINTER(call->attempt->peer),
			    g_memdup2(&until_ms, sizeof(until_ms)));
}

/* ---- request and response ---- */

static uint64_t revision_of(const struct entry *entry)
{
	const struct deployment *d = state_deployment(entry->config);

	return d ? d->revision : 0;
}

void relay_add_header(const struct call *call, struct evkeyvalq *out)
{
	char text[HOP_BYTES];

	g_snprintf(text, sizeof(text), HOP_FORMAT, ATTEMPTS_EACH,
		   revision_of(call->entry));
	evhttp_add_header(out, RELAY_HEADER, text);
}

static void read_retry_after(struct call *call, struct evkeyvalq *headers)
{
	const char *text = evhttp_find_header(headers, "Retry-After");

	if (text)
		call->attempt->response.retry_after_ms = (int)CLAMP(
			g_ascii_strtod(text, NULL) * MS_PER_S, 0, G_MAXINT32);
}

enum response_class relay_classify(struct call *call, int status,
				   struct evkeyvalq *headers)
{
	if (!evhttp_find_header(headers, RELAY_HEADER))
		return call->format->classify_response(call, status, headers);
	/* An error of the other entry's own. */
	read_retry_after(call, headers);
	if (status == HTTP_SERVUNAVAIL ||
	    status / STATUS_CLASS == HTTP_BAD_REQUEST_CLASS)
		return RESPONSE_NOT_RUN;
	return RESPONSE_NO_ANSWER;
}

/* ---- at the entry that gets the request ---- */

void relay_read_hop(struct evhttp_request *req, struct relay_hop *hop)
{
	const char *text = http_header(req, RELAY_HEADER);

	*hop = (struct relay_hop){ 0 };
	if (!text)
		return;
	/* What can't be read leaves one attempt, by any revision. */
	if (sscanf(text, "attempts=%" SCNu32 " revision=%" SCNu64,
		   &hop->attempts, &hop->revision) != 2)
		log_note(&relay_log, "header not understood: %.64s", text);
	hop->attempts = MAX(hop->attempts, 1);
}

enum rd_result relay_check_hop(const struct entry_service *service,
			       const struct relay_hop *hop)
{
	if (!hop->attempts)
		return RD_OK;
	if (reach_state(service->reach) == LINKS_DOWN)
		return RD_NO_REPLICA;
	return revision_of(service->entry) < hop->revision ? RD_CUT_OFF : RD_OK;
}

void relay_mark_error(struct evhttp_request *req)
{
	if (http_header(req, RELAY_HEADER))
		evhttp_add_header(evhttp_request_get_output_headers(req),
				  RELAY_HEADER, "error");
}
