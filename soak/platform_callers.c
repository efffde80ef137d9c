/* Requests of callers on the platform's interface, and what they check. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "soak/platform.h"

#define RESOLVE_TIMEOUT_MS 1000
#define ADDRESSES_MAX 64
#define RETRY_MAX_MS 2500
#define US_PER_S 1000000
/* Some callers keep the addresses for so many times the directory's time. */
#define KEEPS_LONGER 3
#define BIG_SHARE_PERCENT 67
#define MS_PER_S 1000
#define BAD_EVERY 40

/** What a caller knows of the entries. */
struct directory {
	char *addresses[ADDRESSES_MAX];
	int count;
	int64_t until_us;
	int failed_node; /* left out for the next connection */
};

static struct directory *directory_of(struct caller *c)
{
	if (!c->rig_state) {
		c->rig_state = g_new0(struct directory, 1);
		c->node = 0;
	}
	return c->rig_state;
}

/* ---- the directory ---- */

static void forget(struct directory *d)
{
	while (d->count)
		g_free(d->addresses[--d->count]);
}

void platform_free_caller(struct caller *c)
{
	struct directory *d = directory_of(c);

	forget(d);
	g_free(d);
}

static bool read_addresses(struct caller *c, const char *text)
{
	struct directory *d = directory_of(c);
	json_t *body = json_loads(text, 0, NULL);
	json_t *list = json_object_get(body, "addresses");
	int64_t ttl_us =
		(int64_t)(json_number_value(json_object_get(body, "ttlS")) *
			  US_PER_S);

	if (ttl_us && json_array_size(list)) {
		forget(d);
		for (size_t i = 0;
		     i < MIN(json_array_size(list), ADDRESSES_MAX); i++)
			d->addresses[d->count++] = g_strdup(
				json_string_value(json_array_get(list, i)));
		d->until_us = soak_now_us() +
			      ttl_us * (c->number % 3 ? 1 : KEEPS_LONGER);
	}
	json_decref(body);
	return d->count > 0;
}

static bool resolve_at(struct caller *c, int control)
{
	struct fetch_request request = {
		.address = c->soak->cluster->nodes[control].callers,
		.method = "GET",
		.path = "/v1/resolve?name=" PLATFORM_HOST "&region=a&zone=a",
		.timeout_ms = RESOLVE_TIMEOUT_MS,
	};
	struct fetch_response answer;
	bool read = fetch(&request, &answer) && answer.status == 200 &&
		    read_addresses(c, answer.body);

	fetch_clear(&answer);
	return read;
}

static bool is_listed(const struct caller *c, const struct directory *d,
		      int node)
{
	const struct cluster_node *n = &c->soak->cluster->nodes[node - 1];

	for (int i = 0; i < d->count; i++)
		if (!strcmp(d->addresses[i], n->callers))
			return true;
	return false;
}

void platform_choose_entry(struct caller *c)
{
	struct directory *d = directory_of(c);
	const struct soak_rig *rig = c->soak->opts.rig;
	int nodes[SOAK_ENTRIES], count = 0;

	for (int node = rig->first_entry; node <= rig->nodes; node++)
		if (is_listed(c, d, node) && node != c->node)
			nodes[count++] = node;
	c->node = count ? nodes[caller_draw(c, 0, count - 1)] : 0;
}

/* Old addresses are used until there are new ones. */
void platform_refresh_caller(struct caller *c)
{
	struct directory *d = directory_of(c);
	int first = caller_draw(c, 0, PLATFORM_CONTROL_VMS - 1);

	c->patience_ms = PLATFORM_GAP_MS * 8;
	if (soak_now_us() >= d->until_us)
		for (int i = 0; i < PLATFORM_CONTROL_VMS; i++)
			if (resolve_at(c, (first + i) % PLATFORM_CONTROL_VMS))
				break;
	if (!c->node || !is_listed(c, d, c->node))
		caller_go_elsewhere(c);
}

/* ---- requests ---- */

static char *stream_headers(const char *id, const char *model, int prompt,
			    int output)
{
	return g_strdup_printf("Model-Name: %s\r\nToken-Count: %d,%d\r\n"
			       "Prompt-Prefix: 5c1e07a2:%d,%08x:%d\r\n",
			       model, prompt, output, prompt / 2,
			       g_str_hash(id), prompt - prompt / 2);
}

/* Most answers are short, a few long. */
static int draw_output(struct caller *c)
{
	return caller_draw(c, 0, 9) ? caller_draw(c, 30, 180)
				    : caller_draw(c, 180, 500);
}

static enum request_kind draw_kind(struct caller *c)
{
	int n = caller_draw(c, 0, 99);

	if (platform_faults_include(c->soak->opts.platform.faults,
				    PLATFORM_BAD_REQUESTS) &&
	    caller_draw(c, 1, BAD_EVERY) == 1)
		return REQUEST_BAD;
	if (n < 80)
		return REQUEST_STREAM;
	return n < 90 ? REQUEST_CALL : REQUEST_ONCE;
}

static const char *prefix_of(enum request_kind kind)
{
	if (kind == REQUEST_STREAM)
		return "/chat/";
	if (kind == REQUEST_BAD)
		return "/web/bad/";
	return kind == REQUEST_CALL ? "/web/" : "/book/";
}

static int timeout_of(enum request_kind kind)
{
	return kind == REQUEST_STREAM ? PLATFORM_STREAM_MS : PLATFORM_CALL_MS;
}

static char *make_request(struct caller *c, const struct request *r)
{
	static const int sizes[] = { 200, 2000, 30000 };
	bool big = caller_draw(c, 0, 99) < BIG_SHARE_PERCENT;
	char *model = r->kind == REQUEST_STREAM
			      ? stream_headers(r->id, big ? "big" : "small",
					       caller_draw(c, 200, 2000),
					       draw_output(c))
			      : g_strdup("");
	int size = sizes[caller_draw(c, 0, 2)];
	/* All are the same, but for their headers. */
	bool bad = r->kind == REQUEST_BAD;
	char *body = g_strnfill((gsize)(bad ? sizes[0] : size), 'b');
	char *text = g_strdup_printf("POST %s%s "
				     "HTTP/1.1\r\nHost: " PLATFORM_HOST "\r\n"
				     "Attempt-Id: "
				     "%s\r\nX-Api-Key: " PLATFORM_KEY "\r\n"
				     "Request-Deadline: "
				     "%d\r\n%sContent-Length: %zu\r\n\r\n%s",
				     prefix_of(r->kind), bad ? "" : r->id,
				     r->id, timeout_of(r->kind), model,
				     strlen(body), body);

	g_free(model);
	g_free(body);
	return text;
}

/* ---- responses ---- */

static bool promises_not_run(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

static void check_response(struct caller *c, struct request *r)
{
	r->fault = g_strdup(platform_check_response(&c->response, r));
	r->not_run = r->complete && r->kind == REQUEST_ONCE &&
		     promises_not_run(r->status);
	if (r->complete && r->status != 200)
		r->refusal = g_strdup_printf("%d", r->status);
}

/* A caller waits as told, up to a third of the time it has left. */
static int retry_after_ms(const struct caller *c)
{
	char *text = response_header(&c->response, "retry-after");
	double s = text ? g_ascii_strtod(text, NULL) : 0;

	g_free(text);
	return MIN((int)(s * MS_PER_S), RETRY_MAX_MS);
}

int platform_make_call(struct caller *c)
{
	enum request_kind kind = draw_kind(c);
	struct request *r = caller_new_request(c, kind, timeout_of(kind));
	char *text = make_request(c, r);
	const char *why;
	int wait_ms;

	response_init(&c->response);
	caller_send(c, r, text);
	why = caller_receive(c, r);
	caller_record_end(c, r, why);
	check_response(c, r);
	wait_ms = retry_after_ms(c) + caller_draw(c, 0, CALLER_THINK_MAX_MS);
	if (why || r->status != 200 || c->response.close ||
	    caller_draw(c, 1, CALLER_LEAVE_EVERY) == 1)
		caller_go_elsewhere(c);
	response_clear(&c->response);
	g_free(text);
	return wait_ms;
}
