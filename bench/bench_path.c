/*
 * Through one entry against straight to the stand-in, interleaved in one run.
 * usage: bench_path
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "bench/meter.h"
#include "test/cluster.h"
#include "test/jobs.h"

#define ROUNDS 400
#define TOKENS 20
#define LOAD_THREADS 48
#define LOAD_MS 5000
#define LOAD_TOKENS 64

static void start_service(struct cluster *c)
{
	char *hash = cluster_key_hash(c->account_key);
	char *text = g_strdup_printf("name = \"assistant\"\nmodel = "
				     "\"m\"\nvms_per_replica = 1\n"
				     "slots_per_replica = 64\ndeadline_ms = "
				     "600000\n"
				     "[[presets]]\nname = "
				     "\"ordinary\"\nreplicas = 4\n"
				     "[[accounts]]\nname = "
				     "\"studio\"\nkey_sha256 = \"%s\"\n",
				     hash);

	cluster_apply_service(c, text);
	g_free(hash);
	g_free(text);
}

struct target {
	char address[64];
	char headers[160];
};

/* Where a replica can be asked without the entry. */
static void find_direct(struct cluster *c, struct target *out)
{
	json_t *body, *row;

	cluster_wait_healthy(c, 4);
	body = cluster_get(c, cluster_wait_leader(c), "/v1/replicas");
	row = json_array_get(json_object_get(body, "replicas"), 0);
	g_strlcpy(out->address, json_string_value(json_object_get(row, "head")),
		  sizeof(out->address));
	g_snprintf(out->headers, sizeof(out->headers),
		   "X-Replica: %lld\r\nX-Epoch: %lld\r\n",
		   (long long)json_integer_value(json_object_get(row, "replic"
								      "a")),
		   (long long)json_integer_value(json_object_get(row, "epoc"
								      "h")));
	json_decref(body);
}

static struct job *ask(struct cluster *c, const struct target *direct,
		       int tokens)
{
	char body[160];
	struct job opts = {
		.name = (char *)"s",
		.address = direct ? (char *)direct->address
				  : c->nodes[0].callers,
		.key = c->account_key,
		.path = (char *)"/v1/chat/completions",
		.body = body,
		.headers = direct ? (char *)direct->headers : NULL,
		.stream = true,
		.tokens = tokens,
	};

	g_snprintf(body, sizeof(body),
		   "{\"model\":\"assistant\",\"stream\":true,"
		   "\"max_tokens\":%d,\"messages\":[]}",
		   tokens);
	return job_start(&opts);
}

static void latency(struct cluster *c, const struct target *direct)
{
	double first[2][ROUNDS], between[2][ROUNDS];
	static const double points[] = { 50, 95, 99 };

	for (int i = 0; i < ROUNDS; i++)
		for (int way = 0; way < 2; way++) {
			struct job *job = ask(c, way ? NULL : direct, TOKENS);

			job_join(job);
			if (job->result != JOB_COMPLETE)
				cluster_fail("a request was not whole");
			first[way][i] =
				(double)(job->first_us - job->started_us) /
				1000;
			between[way][i] =
				(double)(job->ended_us - job->first_us) / 1000 /
				(TOKENS - 1);
			job_free(job);
		}
	for (int p = 0; p < 3; p++) {
		double a = meter_percentile(first[0], ROUNDS, points[p]);
		double b = meter_percentile(first[1], ROUNDS, points[p]);
		double d = meter_percentile(between[0], ROUNDS, points[p]);
		double e = meter_percentile(between[1], ROUNDS, points[p]);

		printf("# p%.0f first token ms direct %.3f entry %.3f; "
		       "between tokens direct %.3f entry %.3f\n",
		       points[p], a, b, d, e);
		if (points[p] == 95)
			meter_verdict("added_first_token_p95", b - a, "ms", 1,
				      b - a < 1);
	}
}

struct loader {
	struct cluster *cluster;
	pthread_t thread;
	gint64 until;
	int whole, failed;
	int tokens;
};

static void *load(void *arg)
{
	struct loader *l = arg;

	while (cluster_now_ms() < l->until) {
		struct job *job = ask(l->cluster, NULL, l->tokens);

		job_join(job);
		if (job->result == JOB_COMPLETE)
			l->whole++;
		else
			l->failed++;
		job_free(job);
	}
	return NULL;
}

static void rate(struct cluster *c, int tokens, double *requests_s,
		 double *tokens_s, double *cpu_us)
{
	struct loader loaders[LOAD_THREADS] = { 0 };
	struct usage before, after;
	gint64 started = g_get_monotonic_time();
	double seconds;
	int whole = 0, failed = 0;

	meter_usage(c->nodes[0].pid, &before);
	for (int i = 0; i < LOAD_THREADS; i++) {
		loaders[i].cluster = c;
		loaders[i].tokens = tokens;
		loaders[i].until = cluster_now_ms() + LOAD_MS;
		pthread_create(&loaders[i].thread, NULL, load, &loaders[i]);
	}
	for (int i = 0; i < LOAD_THREADS; i++) {
		pthread_join(loaders[i].thread, NULL);
		whole += loaders[i].whole;
		failed += loaders[i].failed;
	}
	meter_usage(c->nodes[0].pid, &after);
	seconds = (double)(g_get_monotonic_time() - started) / 1e6;
	*requests_s = whole / seconds;
	*tokens_s = whole * tokens / seconds;
	*cpu_us = (after.cpu_us - before.cpu_us) / MAX(whole, 1);
	printf("# %d tokens a request: %.0f requests/s, %.0f tokens/s, "
	       "%.0f us of entry per request, %.0f%% of a core, %d failed\n",
	       tokens, *requests_s, *tokens_s, *cpu_us,
	       (after.cpu_us - before.cpu_us) / seconds / 1e4, failed);
}

int main(void)
{
	struct cluster *c = cluster_create(false);
	const char *const engine[] = { "--domains", "a/a1:4",	    "--step-us",
				       "200",	    "--prefill-us", "0",
				       NULL };
	struct target direct;
	double requests, tokens, cpu_one, cpu_many, per_token;

	signal(SIGPIPE, SIG_IGN);
	cluster_start(c, 3);
	cluster_start_fake(c, "fake_engine", "eng", engine);
	start_service(c);
	find_direct(c, &direct);
	usleep(500000);
	latency(c, &direct);
	rate(c, 1, &requests, &tokens, &cpu_one);
	meter_verdict("requests_s", requests, "1/s", 1240, requests >= 1240);
	rate(c, LOAD_TOKENS, &requests, &tokens, &cpu_many);
	per_token = (cpu_many - cpu_one) / (LOAD_TOKENS - 1);
	meter_verdict("tokens_s", tokens, "1/s", 280000, tokens >= 280000);
	meter_verdict("cpu_us_per_token", per_token, "us", 1e6 / 280000,
		      per_token <= 1e6 / 280000);
	cluster_destroy(c);
	return 0;
}
