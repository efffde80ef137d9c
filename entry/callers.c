/*
 * HTTP API for callers: entry addresses, chat completions and plain services.
 */
#include <string.h>

#include <event2/keyvalq_struct.h>

#include <radishdeal/prefix.h>
#include <radishdeal/quarantine.h>

#include "common/key_hash.h"
#include "common/json_text.h"
#include "common/log.h"
#include "entry/native.h"

#define CHAT_PATH "/v1/chat/completions"
#define SERVICES_PATH "/services/"
#define BYTES_PER_TOKEN 4
#define DEFAULT_OUTPUT_TOKENS 256
#define OUTPUT_TOKENS_MAX 1000000
#define BOOKING_KEY_MAX 255
#define ATTEMPTS_MAX 4

static void send_error(struct entry *entry, struct evhttp_request *req,
		       enum rd_result code, const char *detail, const char *id)
{
	struct problem problem = {
		.code = code,
		.detail = detail,
		.request_id = id,
		.close = entry->draining,
	};

	counters_add(entry->opts.counters, COUNTER_NOT_RUN, 1);
	if (rd_result_info(code)->http_status == 503)
		problem.retry_after_ms = RETRY_AFTER_MS;
	if (code == RD_CUT_OFF || code == RD_DRAINING)
		problem.extension_members = json_pack("{s:o}", "addresses",
						      addresses_json(entry));
	http_send_problem(req, &problem);
	json_decref(problem.extension_members);
}

/* ---- authorization and request ids ---- */

struct key_search {
	const uint8_t *hash;
	bool found;
};

static void match_key(void *ctx, const struct service_state *service)
{
	struct key_search *search = ctx;

	if (service_account_by_key(service, search->hash))
		search->found = true;
}

static enum rd_result authorize(const struct entry *entry,
				struct evhttp_request *req,
				const struct service_state *service,
				const struct account_spec **account)
{
	const char *key = http_bearer(req);
	uint8_t hash[KEY_HASH_BYTES];
	struct key_search search = { .hash = hash };

	if (!key)
		return RD_NO_KEY;
	key_hash_compute(key, hash);
	*account = service ? service_account_by_key(service, hash) : NULL;
	if (*account)
		return RD_OK;
	/* The configuration in force may know the key and the service. */
	if (!entry_has_lease(entry))
		return entry->draining ? RD_DRAINING : RD_CUT_OFF;
	state_each_service(entry->config, match_key, &search);
	if (!search.found)
		return RD_WRONG_KEY;
	return service ? RD_WRONG_SERVICE : RD_NO_SERVICE;
}

static bool request_id_allowed(const char *id)
{
	size_t n = strlen(id);

	if (!n || n >= REQUEST_ID_MAX)
		return false;
	for (; *id; id++)
		if (!g_ascii_isalnum(*id) && !strchr("-_.:", *id))
			return false;
	return true;
}

static void make_request_id(struct entry *entry, struct evhttp_request *req,
			    char *out)
{
	const char *requested = http_header(req, "X-Request-Id");

	if (requested && request_id_allowed(requested))
		g_strlcpy(out, requested, REQUEST_ID_MAX);
	else
		g_snprintf(out, REQUEST_ID_MAX, "%d-%08x-%" G_GUINT64_FORMAT,
			   (int)entry->opts.settings->node.id,
			   g_rand_int(entry->random), ++entry->next_request);
}

/* ---- admission ---- */

static enum rd_result check_admission(const struct entry *entry,
				      const struct service_state *service)
{
	if (entry->draining)
		return RD_DRAINING;
	if (!entry_has_lease(entry) && !(entry->ever_configured && service &&
					 service->spec.on_control_loss))
		return RD_CUT_OFF;
	if (!service)
		return RD_NO_SERVICE;
	if (!service_active_preset(service)->admit)
		return RD_MAINTENANCE;
	return RD_OK;
}

static int64_t request_deadline_ms(const struct entry *entry,
				   struct evhttp_request *req,
				   const struct service_state *service)
{
	const char *text = http_header(req, "X-Deadline-Ms");
	int64_t requested = text ? g_ascii_strtoll(text, NULL, 10) : 0;
	int64_t limit_ms = service->spec.deadline_ms;

	return entry_now_ms(entry) +
	       (requested > 0 ? MIN(requested, limit_ms) : limit_ms);
}

/* ---- chat ---- */

static void hash_prompt(const char *text, size_t size,
			struct router_request *route)
{
	route->prompt_tokens = (uint32_t)(size / BYTES_PER_TOKEN + 1);
	route->prefix_tokens = PREFIX_BLOCK_BYTES / BYTES_PER_TOKEN;
	route->prefix_count = prefix_hash(text, size, route->prefix,
					  ROUTER_PREFIX_MAX);
}

/* The last block holds text of the request itself. */
static void copy_shared_blocks(const struct router_request *route,
			       struct prompt_parts *parts)
{
	for (uint32_t i = 0;
	     i + 1 < route->prefix_count && i < PROMPT_PARTS_MAX; i++)
		parts->ids[parts->count++] = route->prefix[i] &
					     ~QUARANTINE_CONTENT;
}

static void estimate_chat_tokens(json_t *chat, struct router_request *route)
{
	json_t *limit = json_object_get(chat, "max_tokens");
	char *text = json_dumps(json_object_get(chat, "messages"),
				JSON_COMPACT);
	json_int_t tokens = json_is_integer(limit) ? json_integer_value(limit)
						   : DEFAULT_OUTPUT_TOKENS;

	route->output_tokens = (uint32_t)CLAMP(tokens, 1, OUTPUT_TOKENS_MAX);
	if (text)
		hash_prompt(text, strlen(text), route);
	free(text);
}

static const char *check_chat(json_t *chat)
{
	json_t *stream;

	if (!json_is_object(chat))
		return "body: must be a JSON object";
	if (!json_is_string(json_object_get(chat, "model")))
		return "model: must be a string";
	if (!json_is_array(json_object_get(chat, "messages")))
		return "messages: must be an array";
	stream = json_object_get(chat, "stream");
	if (stream && !json_is_boolean(stream))
		return "stream: must be true or false";
	if (json_object_get(chat, "resume"))
		return "resume: is not for callers";
	return NULL;
}

static void start_chat_call(struct entry *entry, struct evhttp_request *req,
			    json_t *chat, GBytes *body)
{
	const char *name = json_string_value(json_object_get(chat, "model"));
	const struct service_state *service = state_service(entry->config,
							    name);
	const struct account_spec *account = NULL;
	char id[REQUEST_ID_MAX];
	enum rd_result code;
	struct call_opts opts = {
		.req = req,
		.id = id,
		.format = &native_engine_calls,
		.stream = json_is_true(json_object_get(chat, "stream")),
		.path = CHAT_PATH,
		.attempts_max = ATTEMPTS_MAX,
	};

	make_request_id(entry, req, id);
	code = authorize(entry, req, service, &account);
	if (!code && service->spec.is_plain)
		code = RD_WRONG_SERVICE;
	if (!code)
		code = check_admission(entry, service);
	if (code) {
		send_error(entry, req, code, NULL, id);
		return;
	}
	opts.service = services_find(entry, name);
	opts.account = account->name;
	opts.priority = account->priority;
	opts.deadline_covers_output = !opts.stream;
	opts.deadline_ms = request_deadline_ms(entry, req, service);
	opts.body = g_bytes_ref(body);
	opts.data = native_data_new("application/json", json_incref(chat));
	estimate_chat_tokens(chat, &opts.route);
	copy_shared_blocks(&opts.route, &opts.parts);
	call_start(entry, &opts);
}

static void handle_chat(struct entry *entry, struct evhttp_request *req)
{
	GBytes *body;
	json_t *chat;
	const char *error;

	if (evhttp_request_get_command(req) != EVHTTP_REQ_POST) {
		send_error(entry, req, RD_BAD_METHOD, NULL, NULL);
		return;
	}
	if (!http_bearer(req)) {
		send_error(entry, req, RD_NO_KEY, NULL, NULL);
		return;
	}
	body = http_body(req);
	chat = json_text_load(g_bytes_get_data(body, NULL),
			      g_bytes_get_size(body), JSON_REJECT_DUPLICATES,
			      NULL);
	error = check_chat(chat);
	if (error)
		send_error(entry, req, RD_BAD_REQUEST, error, NULL);
	else
		start_chat_call(entry, req, chat, body);
	json_decref(chat);
	g_bytes_unref(body);
}

/* ---- plain services ---- */

static bool split_plain_path(const char *path, char **service,
			     const char **endpoint_path)
{
	const char *name = path + strlen(SERVICES_PATH);
	const char *slash = strchr(name, '/');

	if (!slash || slash == name)
		return false;
	*service = g_strndup(name, (gsize)(slash - name));
	*endpoint_path = slash;
	return true;
}

static void start_plain_call(struct entry *entry, struct evhttp_request *req,
			     const char *name, const char *path)
{
	const struct service_state *service = state_service(entry->config,
							    name);
	const struct account_spec *account = NULL;
	const char *query =
		evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req));
	const char *type = http_header(req, "Content-Type");
	const char *key = http_header(req, "Idempotency-Key");
	char id[REQUEST_ID_MAX];
	enum rd_result code;
	struct call_opts opts = {
		.req = req,
		.id = id,
		.format = &native_plain_calls,
		.attempts_max = ATTEMPTS_MAX,
	};
	char *full_path;

	make_request_id(entry, req, id);
	code = authorize(entry, req, service, &account);
	if (!code && !service->spec.is_plain)
		code = RD_WRONG_SERVICE;
	if (!code)
		code = check_admission(entry, service);
	if (!code && key && (!*key || strlen(key) > BOOKING_KEY_MAX))
		code = RD_BAD_REQUEST;
	if (code) {
		send_error(entry, req, code, NULL, id);
		return;
	}
	full_path = query ? g_strdup_printf("%s?%s", path, query)
			  : g_strdup(path);
	opts.service = services_find(entry, name);
	opts.account = account->name;
	opts.priority = account->priority;
	opts.deadline_ms = request_deadline_ms(entry, req, service);
	opts.path = full_path;
	opts.data = native_data_new(type ? type : "application/octet-stream",
				    NULL);
	opts.body = http_body(req);
	opts.once_only = service_call_is_once_only(service, http_method(req),
						   path);
	opts.booking_key = opts.once_only ? key : NULL;
	opts.route.output_tokens = 1;
	call_start(entry, &opts);
	g_free(full_path);
}

static void handle_plain(struct entry *entry, struct evhttp_request *req,
			 const char *path)
{
	const char *endpoint_path = NULL;
	char *name = NULL;

	if (!http_bearer(req))
		send_error(entry, req, RD_NO_KEY, NULL, NULL);
	else if (!split_plain_path(path, &name, &endpoint_path))
		send_error(entry, req, RD_NO_ROUTE, NULL, NULL);
	else
		start_plain_call(entry, req, name, endpoint_path);
	g_free(name);
}

/* ---- routes ---- */

void callers_handle(struct evhttp_request *req, void *ctx)
{
	struct entry *entry = ctx;
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));

	counters_add(entry->opts.counters, COUNTER_REQUESTS, 1);
	if (!path)
		send_error(entry, req, RD_NO_ROUTE, NULL, NULL);
	else if (!strcmp(path, "/v1/addresses"))
		addresses_handle(entry, req);
	else if (!strcmp(path, CHAT_PATH))
		handle_chat(entry, req);
	else if (g_str_has_prefix(path, SERVICES_PATH))
		handle_plain(entry, req, path);
	else
		send_error(entry, req, RD_NO_ROUTE, NULL, NULL);
}
