#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>

#include "common/address.h"
#include "common/clock.h"
#include "common/http.h"
#include "test/fakes/announcer.h"

#define DEFAULT_EVERY_MS 300
#define ANSWER_LIMIT_S 1
#define HOMES_MAX 4
#define BODY_MAX (8 * 1024 * 1024)

struct announcer {
	struct announcer_opts opts;
	struct event *timer;
	char *homes[HOMES_MAX];
	int home_count;
	GHashTable *conns; /* address -> kept evhttp_connection */
	guint next_entry;
	int every_ms;
	int in_flight;
};

struct sending {
	struct announcer *announcer;
	char *home;
};

int64_t fake_now_us(void)
{
	return clock_now_us(&clock_system);
}

static void forget_home(struct announcer *a, const char *home)
{
	for (int i = 0; i < a->home_count; i++) {
		if (strcmp(a->homes[i], home) != 0)
			continue;
		g_free(a->homes[i]);
		a->homes[i] = a->homes[--a->home_count];
		return;
	}
}

static void take_homes(struct announcer *a, json_t *answer)
{
	json_t *homes = json_object_get(answer, "homes");
	json_t *every = json_object_get(answer, "announce_ms");

	if (json_is_integer(every) && json_integer_value(every) > 0)
		a->every_ms = (int)json_integer_value(every);
	if (!json_array_size(homes))
		return;
	while (a->home_count)
		g_free(a->homes[--a->home_count]);
	for (size_t i = 0; i < json_array_size(homes) && i < HOMES_MAX; i++)
		a->homes[a->home_count++] =
			g_strdup(json_string_value(json_array_get(homes, i)));
}

static void on_answer(struct evhttp_request *req, void *arg)
{
	struct sending *s = arg;
	struct announcer *a = s->announcer;

	a->in_flight--;
	if (req && evhttp_request_get_response_code(req) == 200) {
		struct evbuffer *in = evhttp_request_get_input_buffer(req);
		size_t size = evbuffer_get_length(in);
		json_t *answer = json_loadb(
			(const char *)evbuffer_pullup(in, -1), size, 0, NULL);

		take_homes(a, answer);
		json_decref(answer);
	} else {
		forget_home(a, s->home);
	}
	g_free(s->home);
	g_free(s);
}

/* One that broke connects again by itself with the next request. */
static struct evhttp_connection *connection_to(struct announcer *a,
					       const char *home)
{
	struct evhttp_connection *conn = g_hash_table_lookup(a->conns, home);
	struct address address;

	if (conn)
		return conn;
	(void)address_parse(home, &address);
	conn = evhttp_connection_base_new(a->opts.base, NULL, address.host,
					  address.port);
	evhttp_connection_set_timeout(conn, ANSWER_LIMIT_S);
	g_hash_table_insert(a->conns, g_strdup(home), conn);
	return conn;
}

static void send_to(struct announcer *a, const char *home, const char *text)
{
	struct sending *s = g_new0(struct sending, 1);
	struct evhttp_request *req = evhttp_request_new(on_answer, s);
	char *bearer = g_strdup_printf("Bearer %s", a->opts.key);

	s->announcer = a;
	s->home = g_strdup(home);
	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Authorization", bearer);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host", home);
	evbuffer_add(evhttp_request_get_output_buffer(req), text, strlen(text));
	a->in_flight++;
	evhttp_make_request(connection_to(a, home), req, EVHTTP_REQ_POST,
			    "/v1/announce");
	g_free(bearer);
}

void announcer_now(struct announcer *a)
{
	char *homes[HOMES_MAX];
	int n = 0;
	json_t *body = a->opts.body(a->opts.ctx);
	char *text;

	if (!body)
		return;
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	for (int i = 0; i < a->home_count; i++)
		homes[n++] = g_strdup(a->homes[i]);
	if (!n && a->opts.entries[0]) {
		if (!a->opts.entries[a->next_entry])
			a->next_entry = 0;
		homes[n++] = g_strdup(a->opts.entries[a->next_entry++]);
	}
	for (int i = 0; i < n; i++) {
		send_to(a, homes[i], text);
		g_free(homes[i]);
	}
	free(text);
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct announcer *a = ctx;
	struct timeval next;

	(void)fd;
	(void)what;
	announcer_now(a);
	next.tv_sec = a->every_ms / 1000;
	next.tv_usec = (a->every_ms % 1000) * 1000;
	event_add(a->timer, &next);
}

struct announcer *announcer_create(const struct announcer_opts *opts)
{
	struct announcer *a = g_new0(struct announcer, 1);
	struct timeval first = { opts->first_delay_ms / 1000,
				 (opts->first_delay_ms % 1000) * 1000 };

	a->opts = *opts;
	a->every_ms = DEFAULT_EVERY_MS;
	a->conns =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)evhttp_connection_free);
	a->timer = evtimer_new(opts->base, on_timer, a);
	event_add(a->timer, &first);
	return a;
}

void announcer_destroy(struct announcer *a)
{
	if (!a)
		return;
	event_free(a->timer);
	g_hash_table_unref(a->conns);
	while (a->home_count)
		g_free(a->homes[--a->home_count]);
	g_free(a);
}

struct evhttp *fake_listen(struct event_base *base, const char *host,
			   void (*handle)(struct evhttp_request *req,
					  void *ctx),
			   void *ctx, char *address, size_t size)
{
	char wanted[64];
	int port = 0;
	struct http_listen_opts opts = {
		.base = base,
		.address = wanted,
		.header_bytes = 65536,
		.body_bytes = BODY_MAX,
		.timeout_s = 600,
		.handle = handle,
		.ctx = ctx,
	};
	struct evhttp *http;

	g_snprintf(wanted, sizeof(wanted), "%s:0", host);
	http = http_listen(&opts, &port, NULL);
	if (!http) {
		perror("listen");
		exit(1);
	}
	g_snprintf(address, size, "%s:%d", host, port);
	return http;
}

char *fake_read_key(const char *path)
{
	char *text = NULL;

	if (!g_file_get_contents(path, &text, NULL, NULL)) {
		fprintf(stderr, "%s: cannot be read\n", path);
		exit(1);
	}
	return g_strstrip(text);
}

void fake_tell_address(const char *path, const char *address)
{
	char *temporary = g_strdup_printf("%s.tmp", path);

	if (!g_file_set_contents(temporary, address, -1, NULL) ||
	    rename(temporary, path))
		exit(1);
	g_free(temporary);
}

void fake_log(FILE *log, json_t *line)
{
	char *text = json_dumps(line, JSON_COMPACT);

	if (log) {
		fprintf(log, "%s\n", text);
		fflush(log);
	}
	free(text);
	json_decref(line);
}
