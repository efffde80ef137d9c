/* The rig on the native interface. */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "soak/caller.h"
#include "soak/soak.h"

#define MODEL_REPLICAS 4
#define OPERATOR_TIMEOUT_MS 2000
#define DEADLINE_MS 12000
/* A download takes a slow caller up to 5.5 s. */
#define DOWNLOAD_MIN_BYTES 2000000
#define DOWNLOAD_MAX_BYTES 13000000
#define UPLOAD_MIN_BYTES 300000
#define UPLOAD_MAX_BYTES 2000000

/* ---- set-up ---- */

static char *service_text(const struct cluster *c, const char *name, bool plain)
{
	char *hash = cluster_key_hash(c->account_key);
	char *text = g_strdup_printf(
		"name = \"%s\"\nkind = \"%s\"\nmodel = \"%s\"\n"
		"vms_per_replica = 1\naccelerators_per_vm = %d\n"
		"slots_per_replica = 16\ndeadline_ms = 20000\n"
		"once_only = [%s]\nbooking_max = 10000\n"
		"[[presets]]\nname = \"ordinary\"\nreplicas = %d\n"
		"version = \"1\"\n"
		"[[presets]]\nname = \"peak\"\nreplicas = %d\n"
		"version = \"1\"\n"
		"[[accounts]]\nname = \"studio\"\nkey_sha256 = \"%s\"\n",
		name, plain ? "plain" : "model", plain ? "" : "tuner",
		plain ? 0 : 8, plain ? "\"POST /bookings\"" : "",
		plain ? 1 : MODEL_REPLICAS, plain ? 1 : MODEL_REPLICAS + 1,
		hash);

	g_free(hash);
	return text;
}

static void apply_service(struct cluster *c, const char *name, bool plain)
{
	char *text = service_text(c, name, plain);

	cluster_apply_service(c, text);
	g_free(text);
}

static void start_endpoints(struct cluster *c)
{
	char *engine_log = cluster_path(c, "engine.jsonl");
	char *plain_log = cluster_path(c, "plain.jsonl");
	char *runs = cluster_path(c, "plain.runs");
	const char *const engine[] = { "--domains", "a/a1:3,b/b1:3",
				       "--step-us", "25000",
				       "--log",	    engine_log,
				       NULL };
	const char *const plain[] = { "--count",    "3",     "--runs",
				      runs,	    "--log", plain_log,
				      "--delay-ms", "60",    NULL };

	cluster_start_fake(c, "fake_engine", "engine", engine);
	cluster_start_fake(c, "fake_service", "plain", plain);
	g_free(engine_log);
	g_free(plain_log);
	g_free(runs);
}

static struct cluster *set_up(struct soak *soak)
{
	struct cluster *c = cluster_create(false);

	g_free(c->limits);
	c->limits = g_strdup_printf("grace_s = %d\nlinger_ms = %d\n"
				    "drain_ms = %d\n"
				    "vm_silence_ms = 3200\n"
				    "home_silence_ms = 6500\n"
				    "config_lease_ms = 1500\n"
				    "queue_ms = 1400\nstall_ms = 1000\n"
				    "presume_ms = 2800\nbody_bytes = "
				    "16777216\n",
				    SOAK_GRACE_MS / 1000, SOAK_LINGER_MS,
				    SOAK_DRAIN_MS);
	(void)soak;
	cluster_start(c, SOAK_ENTRIES);
	start_endpoints(c);
	apply_service(c, "assistant", false);
	apply_service(c, "queue", true);
	cluster_wait_healthy(c, MODEL_REPLICAS);
	return c;
}

/* ---- changes ---- */

static int64_t read_revision(struct cluster *cluster, int node)
{
	struct fetch_response answer;
	json_t *body = NULL;
	int64_t revision;

	if (cluster_operator_request(cluster, node, "GET",
				     "/v1/services/assistant", NULL, &answer) &&
	    answer.status == 200)
		body = json_loads(answer.body, 0, NULL);
	fetch_clear(&answer);
	revision = json_integer_value(json_object_get(body, "revision"));
	json_decref(body);
	return revision;
}

/* Changes a preset. A refused change is not repeated. */
static void change_preset(struct soak *soak, int node, int n)
{
	struct cluster *cluster = soak->cluster;
	struct fetch_response answer;
	char *path = g_strdup_printf("/v1/services/assistant/"
				     "preset?change_id=soak-%d&base=%d"
				     "&wait_ms=%d&preset=%s",
				     n, (int)read_revision(cluster, node),
				     OPERATOR_TIMEOUT_MS,
				     n % 2 ? "peak" : "ordinary");

	cluster_operator_request(cluster, node, "POST", path, "", &answer);
	fetch_clear(&answer);
	g_free(path);
}

/* ---- callers ---- */

static enum request_kind draw_kind(struct caller *c)
{
	int n = caller_draw(c, 0, 99);

	if (c->slow && n < 50)
		return REQUEST_DOWNLOAD;
	if (n < 65)
		return REQUEST_STREAM;
	if (n < 75)
		return REQUEST_CHAT;
	if (n < 85)
		return REQUEST_CALL;
	if (n < 91)
		return REQUEST_BOOKING;
	return n < 96 ? REQUEST_ONCE : REQUEST_UPLOAD;
}

static char *make_body(struct caller *c, const struct request *r)
{
	int size = caller_draw(c, UPLOAD_MIN_BYTES, UPLOAD_MAX_BYTES);
	int tokens = caller_draw(c, 30, 90);

	if (r->kind == REQUEST_UPLOAD)
		return g_strnfill((gsize)size, 'x');
	if (r->kind != REQUEST_STREAM && r->kind != REQUEST_CHAT)
		return g_strdup("slot=1");
	return g_strdup_printf("{\"model\":\"assistant\",\"stream\":%s,"
			       "\"max_tokens\":%d,\"messages\":[{\"role\":"
			       "\"user\",\"content\":\"%s\"}]}",
			       r->kind == REQUEST_STREAM ? "true" : "false",
			       tokens, r->id);
}

static char *make_path(struct caller *c, enum request_kind kind)
{
	int bytes = caller_draw(c, DOWNLOAD_MIN_BYTES, DOWNLOAD_MAX_BYTES);

	if (kind == REQUEST_STREAM || kind == REQUEST_CHAT)
		return g_strdup("/v1/chat/completions");
	if (kind == REQUEST_BOOKING || kind == REQUEST_ONCE)
		return g_strdup("/services/queue/bookings");
	if (kind == REQUEST_DOWNLOAD)
		return g_strdup_printf("/services/queue/jobs?bytes=%d", bytes);
	return g_strdup("/services/queue/jobs");
}

static char *make_request(struct caller *c, const struct request *r)
{
	char *path = make_path(c, r->kind);
	char *body = make_body(c, r);
	char *text = g_strdup_printf(
		"POST %s HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s"
		"\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s%s%s"
		"Content-Length: %zu\r\n\r\n%s",
		path, c->soak->cluster->account_key, r->id, DEADLINE_MS,
		r->kind == REQUEST_BOOKING ? "Idempotency-Key: " : "",
		r->kind == REQUEST_BOOKING ? r->id : "",
		r->kind == REQUEST_BOOKING ? "\r\n" : "", strlen(body), body);

	g_free(path);
	g_free(body);
	return text;
}

/* Notes the outcome, and the entry that a refusal names first. */
static void read_refusal(struct caller *c, struct request *r)
{
	json_t *body = json_loads(c->response.body->str, 0, NULL);
	json_t *list = json_object_get(body, "addresses");
	const char *outcome = json_string_value(json_object_get(body, "outcom"
								      "e"));
	const char *address = json_string_value(
		json_object_get(json_array_get(list, 0), "address"));
	const char *type = json_string_value(json_object_get(body, "type"));
	const struct cluster_node *nodes = c->soak->cluster->nodes;

	r->refusal = g_strdup(type && strrchr(type, ':')
				      ? strrchr(type, ':') + 1
				      : "without-type");
	r->not_run = outcome && !strcmp(outcome, "not-run");
	for (int i = 0; address && i < SOAK_ENTRIES; i++)
		if (!strcmp(address, nodes[i].callers))
			c->node = i + 1;
	json_decref(body);
}

static void choose_entry(struct caller *c)
{
	c->node = (c->node - 1 + caller_draw(c, 1, SOAK_ENTRIES - 1)) %
			  SOAK_ENTRIES +
		  1;
}

static const char *check_end(const struct caller *c, const struct request *r)
{
	if (r->kind == REQUEST_STREAM && c->response.status == 200 &&
	    !strstr(c->response.body->str, "data: [DONE]"))
		return "ended without [DONE]";
	return NULL;
}

static int make_call(struct caller *c)
{
	struct request *r = caller_new_request(c, draw_kind(c), DEADLINE_MS);
	char *text = make_request(c, r);
	const char *why;
	int wait_ms;

	response_init(&c->response);
	caller_send(c, r, text);
	why = caller_receive(c, r);
	if (!why)
		why = check_end(c, r);
	caller_record_end(c, r, why);
	wait_ms = c->response.retry_after_s * 1000 +
		  caller_draw(c, 0, CALLER_THINK_MAX_MS);
	if (!why && r->status != 200)
		read_refusal(c, r);
	if (why || (c->response.close && r->status == 200) ||
	    caller_draw(c, 1, CALLER_LEAVE_EVERY) == 1)
		caller_go_elsewhere(c);
	else if (c->response.close)
		caller_disconnect(c);
	response_clear(&c->response);
	g_free(text);
	return wait_ms;
}

static const char *const logs[] = { "engine.jsonl", "plain.jsonl", NULL };

const struct soak_rig native_rig = {
	.first_entry = 1,
	.nodes = SOAK_ENTRIES,
	.logs = logs,
	.set_up = set_up,
	.change = change_preset,
	.choose_entry = choose_entry,
	.make_call = make_call,
};
