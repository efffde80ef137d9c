#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>
#include <sys/socket.h>

#include "common/address.h"
#include "test/jobs.h"
#include "test/response.h"

#define READ_TIMEOUT_S 60
#define RELEASE_POLL_US 1000

static int connect_address(const char *text, int receive_bytes)
{
	struct address address;
	struct timeval timeout = { READ_TIMEOUT_S, 0 };
	int fd;

	if (!address_parse(text, &address))
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	if (receive_bytes)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
			   sizeof(receive_bytes));
	if (!connect(fd, (struct sockaddr *)&address.socket,
		     sizeof(address.socket)))
		return fd;
	close(fd);
	return -1;
}

static bool send_all(int fd, const char *text, size_t size)
{
	while (size) {
		ssize_t n = send(fd, text, size, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		text += n;
		size -= (size_t)n;
	}
	return true;
}

/** State of reading one response. */
struct response_reader {
	struct job *job;
	int fd;
	struct response response;
	size_t scanned; /* bytes of the body searched for tokens */
	bool done_seen, error_seen;
};

/* Counts the tokens w0, w1, w2, ... up to the first gap. */
static void count_tokens(struct response_reader *r)
{
	const char *body = r->response.body->str;
	char expected[32];
	const char *found;

	for (;;) {
		g_snprintf(expected, sizeof(expected), "\"w%d \"",
			   r->job->tokens_received);
		found = strstr(body + r->scanned, expected);
		if (!found)
			break;
		r->scanned = (size_t)(found - body) + strlen(expected);
		if (!r->job->tokens_received)
			r->job->first_us = g_get_monotonic_time();
		r->job->tokens_received++;
	}
	if (strstr(body + r->scanned, "data: [DONE]"))
		r->done_seen = true;
	if (strstr(body + r->scanned, "event: error"))
		r->error_seen = true;
}

static bool read_more(struct response_reader *r)
{
	char buffer[16384];
	ssize_t n;

	if (r->job->read_pause_ms)
		usleep((useconds_t)r->job->read_pause_ms * 1000);
	n = recv(r->fd, buffer, sizeof(buffer), 0);
	if (n <= 0)
		return false;
	response_add(&r->response, buffer, (size_t)n);
	r->job->status = r->response.status;
	r->job->closes = r->response.close;
	if (r->job->stream)
		count_tokens(r);
	return true;
}

/* Counts the tokens of a plain answer; -1 unless it is "w0 w1 w2 ...". */
static int count_answer_tokens(const char *answer)
{
	json_t *body = json_loads(answer, 0, NULL);
	json_t *choice = json_array_get(json_object_get(body, "choices"), 0);
	const char *text = json_string_value(
		json_object_get(json_object_get(choice, "message"), "content"));
	GString *expected = g_string_new(NULL);
	int n = 0;

	while (text && expected->len < strlen(text))
		g_string_append_printf(expected, "w%d ", n++);
	if (!text || strcmp(text, expected->str) != 0)
		n = -1;
	g_string_free(expected, TRUE);
	json_decref(body);
	return n;
}

static enum job_result classify_result(struct response_reader *r)
{
	struct job *job = r->job;

	if (!r->response.head_done)
		return JOB_NO_ANSWER;
	if (job->status != 200)
		return r->response.complete ? JOB_REFUSED : JOB_NO_ANSWER;
	if (!r->response.complete || r->error_seen)
		return JOB_ABORTED;
	if (!job->tokens)
		return JOB_COMPLETE;
	if (!job->stream)
		job->tokens_received =
			count_answer_tokens(r->response.body->str);
	else if (!r->done_seen)
		return JOB_TRUNCATED;
	return job->tokens_received == job->tokens ? JOB_COMPLETE
						   : JOB_TRUNCATED;
}

static void wait_for_release(const struct job *job, enum job_hold at)
{
	while (job->hold == at && !g_atomic_int_get(&job->released))
		usleep(RELEASE_POLL_US);
}

static char *format_request(const struct job *job)
{
	char *upload = g_strnfill((gsize)job->upload_bytes, 'u');
	const char *body = job->upload_bytes ? upload : job->body;
	char *behind = g_strnfill((gsize)job->behind_bytes, 'b');
	GString *text = g_string_new(NULL);

	g_string_printf(text,
			"%s %s HTTP/1.1\r\nHost: %s\r\n"
			"Authorization: Bearer %s\r\n%s%s"
			"Content-Length: %zu\r\n\r\n%s",
			job->method, job->path, job->address, job->key,
			job->behind_bytes || job->kept ? ""
						       : "Connection: "
							 "close\r\n",
			job->headers, strlen(body), body);
	if (job->behind_bytes)
		g_string_append_printf(text,
				       "POST %s HTTP/1.1\r\nHost: %s\r\n"
				       "Authorization: Bearer %s\r\n"
				       "Content-Length: %d\r\n\r\n%s",
				       job->path, job->address, job->key,
				       job->behind_bytes, behind);
	g_free(upload);
	g_free(behind);
	return g_string_free(text, FALSE);
}

static bool send_request(const struct job *job, int fd)
{
	char *text = format_request(job);
	size_t size = strlen(text);
	size_t half = job->hold == JOB_HOLD_SEND ? size / 2 : 0;
	bool sent;

	wait_for_release(job, JOB_HOLD_IDLE);
	sent = send_all(fd, text, half);
	wait_for_release(job, JOB_HOLD_SEND);
	sent = sent && send_all(fd, text + half, size - half);
	g_free(text);
	return sent;
}

/* Makes a request whose response leaves the connection open. */
static bool use_connection(struct response_reader *r)
{
	char *text = g_strdup_printf("GET /v1/addresses HTTP/1.1\r\n"
				     "Host: %s\r\n\r\n",
				     r->job->address);
	bool sent = send_all(r->fd, text, strlen(text));

	g_free(text);
	while (sent && !r->response.complete)
		if (!read_more(r))
			return false;
	response_clear(&r->response);
	response_init(&r->response);
	r->job->status = 0;
	return sent;
}

static void *run_job(void *arg)
{
	struct job *job = arg;
	struct response_reader r = { .job = job };

	response_init(&r.response);
	r.fd = connect_address(job->address, job->receive_bytes);
	job->result = JOB_NO_ANSWER;
	if (r.fd >= 0 && (!job->kept || use_connection(&r)) &&
	    send_request(job, r.fd)) {
		g_atomic_int_set(&job->sent, 1);
		wait_for_release(job, JOB_HOLD_READ);
		while (!r.response.complete && read_more(&r))
			;
		job->result = classify_result(&r);
	}
	if (r.fd >= 0)
		close(r.fd);
	job->ended_us = g_get_monotonic_time();
	job->answer = g_strdup(r.response.body->str);
	response_clear(&r.response);
	g_atomic_int_set(&job->ended, 1);
	return NULL;
}

struct job *job_start(const struct job *opts)
{
	struct job *job = g_new0(struct job, 1);

	job->name = g_strdup(opts->name);
	job->address = g_strdup(opts->address);
	job->key = g_strdup(opts->key);
	job->path = g_strdup(opts->path);
	job->body = g_strdup(opts->body ? opts->body : "");
	job->headers = g_strdup(opts->headers ? opts->headers : "");
	job->method = g_strdup(opts->method ? opts->method : "POST");
	job->stream = opts->stream;
	job->tokens = opts->tokens;
	job->read_pause_ms = opts->read_pause_ms;
	job->receive_bytes = opts->receive_bytes;
	job->upload_bytes = opts->upload_bytes;
	job->behind_bytes = opts->behind_bytes;
	job->kept = opts->kept;
	job->hold = opts->hold;
	job->started_us = g_get_monotonic_time();
	if (pthread_create(&job->thread, NULL, run_job, job))
		abort();
	return job;
}

void job_release(struct job *job)
{
	g_atomic_int_set(&job->released, 1);
}

void job_join(struct job *job)
{
	job_release(job);
	if (!job->joined)
		pthread_join(job->thread, NULL);
	job->joined = true;
}

void job_free(struct job *job)
{
	if (!job)
		return;
	job_join(job);
	g_free(job->name);
	g_free(job->address);
	g_free(job->key);
	g_free(job->path);
	g_free(job->body);
	g_free(job->headers);
	g_free(job->method);
	g_free(job->answer);
	g_free(job);
}

static char *describe_refusal(const struct job *job)
{
	json_t *body = json_loads(job->answer, 0, NULL);
	const char *type = json_string_value(json_object_get(body, "type"));
	const char *outcome = json_string_value(json_object_get(body, "outcom"
								      "e"));
	const char *name = type ? strrchr(type, ':') : NULL;
	char *text = g_strdup_printf("refused %s %s",
				     name ? name + 1 : "without-type",
				     outcome ? outcome : "without-outcome");

	json_decref(body);
	return text;
}

char *job_describe(const struct job *job)
{
	switch (job->result) {
	case JOB_COMPLETE:
		if (job->tokens)
			return g_strdup_printf("complete tokens=%d",
					       job->tokens_received);
		return g_strdup("complete");
	case JOB_REFUSED:
		return describe_refusal(job);
	case JOB_ABORTED:
		return g_strdup("aborted");
	case JOB_TRUNCATED:
		return g_strdup_printf("TRUNCATED tokens=%d of %d",
				       job->tokens_received, job->tokens);
	default:
		return g_strdup("no answer");
	}
}

/** One of the clients that make bookings at once. */
struct caller {
	pthread_t thread;
	const char *address;
	const char *key;
	int number, per_caller, failed, run;
};

static void *make_bookings(void *arg)
{
	struct caller *caller = arg;

	for (int i = 0; i < caller->per_caller; i++) {
		char *headers = g_strdup_printf("Idempotency-Key: "
						"storm-%d-%d-%d\r\n",
						caller->run, caller->number, i);
		struct job opts = {
			.name = (char *)"booking",
			.address = (char *)caller->address,
			.key = (char *)caller->key,
			.path = (char *)"/services/queue/bookings",
			.headers = headers,
			.body = (char *)"slot=1",
		};
		struct job *job = job_start(&opts);

		job_join(job);
		caller->failed += job->result != JOB_COMPLETE;
		job_free(job);
		g_free(headers);
	}
	return NULL;
}

int jobs_run_bookings(const char *const *addresses, int address_count,
		      const char *key, int callers, int per_caller, int run)
{
	struct caller *all = g_new0(struct caller, callers);
	int failed = 0;

	for (int i = 0; i < callers; i++) {
		all[i].address = addresses[i % address_count];
		all[i].key = key;
		all[i].number = i;
		all[i].per_caller = per_caller;
		all[i].run = run;
		if (pthread_create(&all[i].thread, NULL, make_bookings,
				   &all[i]))
			abort();
	}
	for (int i = 0; i < callers; i++) {
		pthread_join(all[i].thread, NULL);
		failed += all[i].failed;
	}
	g_free(all);
	return failed;
}
