/*
 * Callers, a thread each. A caller goes on using its connection until the
 * daemon closes it, and then goes to another entry.
 */
#include <errno.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>
#include <sys/socket.h>

#include "common/address.h"
#include "soak/soak.h"
#include "test/response.h"

#define THINK_MAX_MS 150
#define RECONNECT_MS 20
#define DEADLINE_MS 12000
/* A caller gives up so much later than its deadline. */
#define GIVE_UP_MS 8000
#define RECEIVE_TIMEOUT_US 200000
/*
 * Every so many callers read slowly, READ_BYTES in an interval: a download
 * takes up to 5.5 s, and is larger than what the kernel buffers of a
 * connection.
 */
#define SLOW_EVERY 6
#define SLOW_BUFFER_BYTES 131072
#define READ_BYTES 49152
#define DOWNLOAD_MIN_BYTES 2000000
#define DOWNLOAD_MAX_BYTES 13000000
#define UPLOAD_MIN_BYTES 300000
#define UPLOAD_MAX_BYTES 2000000
#define PIECE_BYTES 32768
#define PIECE_INTERVAL_US 20000
/* One of so many responses is followed by a new connection. */
#define LEAVE_EVERY 8
/* So much of an incomplete response is reported. */
#define END_BYTES 60

struct caller {
	struct callers *all;
	GThread *thread;
	GRand *random;
	int number;
	bool slow;
	int fd; /* -1 without a connection */
	int node;
	struct process *process; /* at the other end */
	GPtrArray *requests;	 /* of struct request */
	struct response response;
};

struct callers {
	struct soak *soak;
	struct caller *each;
	gint finishing; /* atomic */
	gint running;	/* atomic */
};

static int draw(struct caller *c, int from, int to)
{
	return g_rand_int_range(c->random, from, to + 1);
}

/* ---- connections ---- */

static void disconnect(struct caller *c)
{
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
}

static void go_elsewhere(struct caller *c)
{
	disconnect(c);
	c->node = (c->node - 1 + draw(c, 1, SOAK_NODES - 1)) % SOAK_NODES + 1;
}

static bool connect_entry(struct caller *c)
{
	struct soak *soak = c->all->soak;
	struct timeval timeout = { 0, RECEIVE_TIMEOUT_US };
	int size = SLOW_BUFFER_BYTES;
	struct address address;

	(void)address_parse(soak->cluster->nodes[c->node - 1].callers,
			    &address);
	g_mutex_lock(&soak->lock);
	c->process = soak->current[c->node];
	g_mutex_unlock(&soak->lock);
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(c->fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	if (c->slow)
		setsockopt(c->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	return c->process && !connect(c->fd, (struct sockaddr *)&address.socket,
				      sizeof(address.socket));
}

static bool still_connected(const struct caller *c)
{
	char byte;
	ssize_t n;

	if (c->fd < 0)
		return false;
	n = recv(c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return n < 0 && (errno == EAGAIN || errno == EINTR);
}

/* ---- requests ---- */

static enum request_kind draw_kind(struct caller *c)
{
	int n = draw(c, 0, 99);

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
	int size = draw(c, UPLOAD_MIN_BYTES, UPLOAD_MAX_BYTES);
	int tokens = draw(c, 30, 90);

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
	int bytes = draw(c, DOWNLOAD_MIN_BYTES, DOWNLOAD_MAX_BYTES);

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
		path, c->all->soak->cluster->account_key, r->id, DEADLINE_MS,
		r->kind == REQUEST_BOOKING ? "Idempotency-Key: " : "",
		r->kind == REQUEST_BOOKING ? r->id : "",
		r->kind == REQUEST_BOOKING ? "\r\n" : "", strlen(body), body);

	g_free(path);
	g_free(body);
	return text;
}

static struct request *new_request(struct caller *c)
{
	struct request *r = g_new0(struct request, 1);

	g_snprintf(r->id, sizeof(r->id), "c%d-%u", c->number,
		   c->requests->len + 1);
	r->kind = draw_kind(c);
	r->process = c->process;
	r->begun_us = soak_now_us();
	r->deadline_us = r->begun_us + DEADLINE_MS * 1000;
	g_ptr_array_add(c->requests, r);
	return r;
}

/* After a failure, a response may still be there to be read. */
static void send_request(struct caller *c, struct request *r)
{
	char *text = make_request(c, r);
	size_t size = strlen(text), sent = 0;

	while (sent < size) {
		ssize_t n = send(c->fd, text + sent,
				 MIN(size - sent, PIECE_BYTES), MSG_NOSIGNAL);

		if (n < 0)
			break;
		sent += (size_t)n;
		if (sent < size)
			g_usleep(PIECE_INTERVAL_US);
	}
	if (sent == size)
		r->sent_us = soak_now_us();
	g_free(text);
}

/* Returns how an incomplete response ended; NULL for a complete one. */
static const char *read_response(struct caller *c, struct request *r)
{
	char buffer[READ_BYTES];

	while (!c->response.complete) {
		ssize_t n = recv(c->fd, buffer, sizeof(buffer), 0);

		if (n > 0)
			response_add(&c->response, buffer, (size_t)n);
		else if (!n)
			return "closed";
		else if (errno != EAGAIN && errno != EINTR)
			return g_strerror(errno);
		else if (soak_now_us() > r->deadline_us + GIVE_UP_MS * 1000)
			r->gave_up = true;
		if (r->gave_up)
			return "unanswered";
		if (c->slow)
			g_usleep(PIECE_INTERVAL_US);
	}
	if (r->kind == REQUEST_STREAM && c->response.status == 200 &&
	    !strstr(c->response.body->str, "data: [DONE]"))
		return "ended without [DONE]";
	return NULL;
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
	const struct cluster_node *nodes = c->all->soak->cluster->nodes;

	r->refusal = g_strdup(type && strrchr(type, ':')
				      ? strrchr(type, ':') + 1
				      : "without-type");
	r->not_run = outcome && !strcmp(outcome, "not-run");
	for (int i = 0; address && i < SOAK_NODES; i++)
		if (!strcmp(address, nodes[i].callers))
			c->node = i + 1;
	json_decref(body);
}

static char *describe_end(const struct caller *c, const char *why)
{
	const GString *body = c->response.body;
	char *last = g_strescape(
		body->str + body->len - MIN(body->len, END_BYTES), NULL);
	char *text = g_strdup_printf("%s after %s", why, last);

	g_free(last);
	return text;
}

/* Returns how long to wait before the next request. */
static int make_call(struct caller *c)
{
	struct request *r = new_request(c);
	const char *why;
	int wait_ms;

	response_init(&c->response);
	send_request(c, r);
	why = read_response(c, r);
	r->ended_us = soak_now_us();
	r->complete = !why;
	r->status = c->response.status;
	r->received = c->response.received;
	wait_ms = c->response.retry_after_s * 1000 + draw(c, 0, THINK_MAX_MS);
	if (why)
		r->end = describe_end(c, why);
	else if (r->status != 200)
		read_refusal(c, r);
	if (why || (c->response.close && r->status == 200) ||
	    draw(c, 1, LEAVE_EVERY) == 1)
		go_elsewhere(c);
	else if (c->response.close)
		disconnect(c);
	response_clear(&c->response);
	return wait_ms;
}

static void *run_caller(void *arg)
{
	struct caller *c = arg;
	int wait_ms = draw(c, 0, THINK_MAX_MS);

	while (!g_atomic_int_get(&c->all->finishing)) {
		g_usleep((gulong)wait_ms * 1000);
		wait_ms = RECONNECT_MS;
		if (still_connected(c))
			wait_ms = make_call(c);
		else if (c->fd >= 0 || !connect_entry(c))
			go_elsewhere(c);
		else
			wait_ms = 0;
	}
	g_atomic_int_add(&c->all->running, -1);
	return NULL;
}

/* ---- all callers ---- */

struct callers *callers_create(struct soak *soak)
{
	struct callers *all = g_new0(struct callers, 1);

	all->soak = soak;
	all->running = soak->opts.callers;
	all->each = g_new0(struct caller, soak->opts.callers);
	for (int i = 0; i < soak->opts.callers; i++) {
		struct caller *c = &all->each[i];

		c->all = all;
		c->number = i;
		c->slow = i % SLOW_EVERY == 0;
		c->random = g_rand_new_with_seed(soak->opts.seed * 1000u +
						 (uint32_t)i);
		c->fd = -1;
		c->node = i % SOAK_NODES + 1;
		c->requests = g_ptr_array_new();
		c->thread = g_thread_new("caller", run_caller, c);
	}
	return all;
}

void callers_finish(struct callers *all)
{
	g_atomic_int_set(&all->finishing, 1);
}

int callers_running(struct callers *all)
{
	return g_atomic_int_get(&all->running);
}

void callers_free(struct callers *all)
{
	for (int i = 0; i < all->soak->opts.callers; i++) {
		struct caller *c = &all->each[i];

		g_thread_join(c->thread);
		disconnect(c);
		g_ptr_array_extend_and_steal(all->soak->requests, c->requests);
		g_rand_free(c->random);
	}
	g_free(all->each);
	g_free(all);
}
