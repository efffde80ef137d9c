/*
 * Callers, a thread each. A caller goes on using its connection until the
 * daemon closes it, and then goes to another entry.
 */
#include <errno.h>
#include <string.h>
#include <unistd.h>

#include <sys/socket.h>

#include "common/address.h"
#include "soak/caller.h"
#include "soak/soak.h"

#define RECONNECT_MS 20
/* A caller gives up so much later than its deadline. */
#define GIVE_UP_MS 8000
#define RECEIVE_TIMEOUT_US 200000
/*
 * Every so many callers read slowly, READ_BYTES in an interval, and have a
 * smaller buffer than a download.
 */
#define SLOW_EVERY 6
#define SLOW_BUFFER_BYTES 131072
#define READ_BYTES 49152
#define PIECE_BYTES 32768
#define PIECE_INTERVAL_US 20000
/* So much of an incomplete response is reported. */
#define END_BYTES 60

struct callers {
	struct soak *soak;
	struct caller *each;
	gint finishing; /* atomic */
	gint running;	/* atomic */
};

int caller_draw(struct caller *c, int from, int to)
{
	return g_rand_int_range(c->random, from, to + 1);
}

/* ---- connections ---- */

void caller_disconnect(struct caller *c)
{
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
}

void caller_go_elsewhere(struct caller *c)
{
	caller_disconnect(c);
	c->soak->opts.rig->choose_entry(c);
}

static bool connect_entry(struct caller *c)
{
	struct soak *soak = c->soak;
	struct timeval timeout = { 0, RECEIVE_TIMEOUT_US };
	int size = SLOW_BUFFER_BYTES;
	struct address address;

	if (!c->node)
		return false;
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

struct request *caller_new_request(struct caller *c, enum request_kind kind,
				   int deadline_ms)
{
	struct request *r = g_new0(struct request, 1);

	g_snprintf(r->id, sizeof(r->id), "c%d-%u", c->number,
		   c->requests->len + 1);
	r->kind = kind;
	r->process = c->process;
	r->begun_us = soak_now_us();
	r->deadline_us = r->begun_us + deadline_ms * (int64_t)1000;
	g_ptr_array_add(c->requests, r);
	return r;
}

/* After a failure, a response may still be there to be read. */
void caller_send(struct caller *c, struct request *r, const char *text)
{
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
}

/* Ends the wait for bytes after too long a time. */
static const char *check_patience(const struct caller *c, struct request *r,
				  int64_t last_byte_us)
{
	int64_t now = soak_now_us();

	r->gave_up = now > r->deadline_us + GIVE_UP_MS * 1000;
	if (r->gave_up)
		return "unanswered";
	r->abandoned = c->patience_ms &&
		       now > last_byte_us + c->patience_ms * (int64_t)1000;
	return r->abandoned ? "abandoned" : NULL;
}

const char *caller_receive(struct caller *c, struct request *r)
{
	char buffer[READ_BYTES];
	int64_t last_byte_us = soak_now_us();
	const char *why = NULL;

	while (!c->response.complete && !why) {
		ssize_t n = recv(c->fd, buffer, sizeof(buffer), 0);

		if (n > 0) {
			response_add(&c->response, buffer, (size_t)n);
			last_byte_us = soak_now_us();
		} else if (!n) {
			return "closed";
		} else if (errno != EAGAIN && errno != EINTR) {
			return g_strerror(errno);
		} else {
			why = check_patience(c, r, last_byte_us);
		}
		if (c->slow)
			g_usleep(PIECE_INTERVAL_US);
	}
	return why;
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

void caller_record_end(const struct caller *c, struct request *r,
		       const char *why)
{
	r->ended_us = soak_now_us();
	r->complete = !why;
	r->status = c->response.status;
	r->received = c->response.received;
	if (why)
		r->end = describe_end(c, why);
}

static void *run_caller(void *arg)
{
	struct caller *c = arg;
	const struct soak_rig *rig = c->soak->opts.rig;
	int wait_ms = caller_draw(c, 0, CALLER_THINK_MAX_MS);

	while (!g_atomic_int_get(&c->all->finishing)) {
		g_usleep((gulong)wait_ms * 1000);
		wait_ms = RECONNECT_MS;
		if (rig->refresh_caller)
			rig->refresh_caller(c);
		if (still_connected(c))
			wait_ms = rig->make_call(c);
		else if (c->fd >= 0 || !connect_entry(c))
			caller_go_elsewhere(c);
		else
			wait_ms = 0;
	}
	g_atomic_int_add(&c->all->running, -1);
	return NULL;
}

/* ---- all callers ---- */

static void start_caller(struct callers *all, int number)
{
	struct caller *c = &all->each[number];
	const struct soak *soak = all->soak;

	c->all = all;
	c->soak = all->soak;
	c->number = number;
	c->slow = soak->opts.rig == &native_rig && number % SLOW_EVERY == 0;
	c->random = g_rand_new_with_seed(soak->opts.seed * 1000u +
					 (uint32_t)number);
	c->fd = -1;
	c->node = soak->opts.rig->first_entry + number % SOAK_ENTRIES;
	c->requests = g_ptr_array_new();
	c->thread = g_thread_new("caller", run_caller, c);
}

struct callers *callers_create(struct soak *soak)
{
	struct callers *all = g_new0(struct callers, 1);

	all->soak = soak;
	all->running = soak->opts.callers;
	all->each = g_new0(struct caller, soak->opts.callers);
	for (int i = 0; i < soak->opts.callers; i++)
		start_caller(all, i);
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
	const struct soak_rig *rig = all->soak->opts.rig;

	for (int i = 0; i < all->soak->opts.callers; i++) {
		struct caller *c = &all->each[i];

		g_thread_join(c->thread);
		caller_disconnect(c);
		g_ptr_array_extend_and_steal(all->soak->requests, c->requests);
		g_rand_free(c->random);
		if (rig->free_caller)
			rig->free_caller(c);
	}
	g_free(all->each);
	g_free(all);
}
